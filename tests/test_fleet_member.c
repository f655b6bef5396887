// Membership with real processes and bj-fault between them: who knows whom, and within which time,
// after each kind of failure.

#include "fleet.h"
#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define DAEMONS 6      // three in each of two failure domains
#define BOUND_MS 10000 // for everyone to know of a failure or a return
#define CLOSED_PORT 9

typedef struct
{
  Fleet *fleet;
  const char *expected; // DAEMONS rows of DAEMONS: 1 knows, 0 does not, - does not run
} Matrix;

typedef struct
{
  const char *name;
  void (*act) (Fleet *f);
  const char *expected;
  void (*undo) (Fleet *f);
} Case;

static void kill_one (Fleet *f);
static void start_one (Fleet *f);
static void pause_one (Fleet *f);
static void resume_one (Fleet *f);
static void cut_both (Fleet *f);
static void cut_one_way (Fleet *f);
static void heal (Fleet *f);
static void replace_at_once (Fleet *f);
static void do_nothing (Fleet *f);
static bool hello_is_refused (int port);
static bool holds (void *data);
static bool knows (Fleet *f, int i, int j);
static char *read_text (Fleet *f, int i, const char *path);

static const char all[] = "111111 111111 111111 111111 111111 111111";
static const char halves[] = "111000 111000 111000 000111 000111 000111";
static const char without_last[] = "111110 111110 111110 111110 111110 ------";

static const Case cases[] = {
  { "kill -9, then a new process of the same name", kill_one, without_last, start_one },
  { "replaced at once, before anyone noticed", replace_at_once, all, do_nothing },
  { "paused beyond every timeout, then resumed", pause_one, without_last, resume_one },
  { "failure domains cut off from each other, the platform down", cut_both, halves, heal },
  { "one direction cut", cut_one_way, halves, heal },
};

static void
test_failures (void **state)
{
  static FleetNode nodes[DAEMONS];
  static Fleet f;
  Matrix m = { &f, all };

  (void)state;
  for (int i = 0; i < DAEMONS; i++)
    {
      g_snprintf (nodes[i].name, FLEET_TEXT_MAX, "up-%d", i);
      g_strlcpy (nodes[i].domain, i < DAEMONS / 2 ? "north-a" : "south-a", FLEET_TEXT_MAX);
      g_strlcpy (nodes[i].region, i < DAEMONS / 2 ? "north" : "south", FLEET_TEXT_MAX);
    }
  fleet_init (&f, nodes, DAEMONS);
  f.use_fault = true;
  assert_true (fleet_start (&f));
  assert_true (fleet_until (holds, &m, BOUND_MS));
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      print_message ("%s\n", cases[i].name);
      cases[i].act (&f);
      m.expected = cases[i].expected;
      assert_true (fleet_until (holds, &m, BOUND_MS));
      cases[i].undo (&f);
      m.expected = all;
      assert_true (fleet_until (holds, &m, BOUND_MS));
    }
  fleet_stop (&f);
}

// The seeds of the settings are dead: the object in the platform's store leads to the others.
static void
test_dead_seeds (void **state)
{
  static FleetNode nodes[4];
  static Fleet f;
  Matrix m = { &f, "1110-- 1110-- 1110-- ------ ------ ------" };
  char path[64];

  (void)state;
  for (int i = 0; i < 4; i++)
    {
      g_snprintf (nodes[i].name, FLEET_TEXT_MAX, "up-%d", i);
      g_strlcpy (nodes[i].domain, "north-a", FLEET_TEXT_MAX);
      g_strlcpy (nodes[i].region, "north", FLEET_TEXT_MAX);
    }
  fleet_init (&f, nodes, 4);
  fleet_start_platform (&f);
  for (int i = 0; i < 3; i++)
    fleet_start_daemon (&f, i);
  assert_true (fleet_until (holds, &m, BOUND_MS));
  g_snprintf (path, sizeof path, "/apis/boragejunction/v1/members/north-a");
  for (BjTime until = bj_clock_now () + 3 * BOUND_MS;
       fleet_http ("GET", f.platform_port, path, NULL, NULL, NULL) != 200;)
    assert_true (bj_clock_now () < until);
  g_snprintf (f.seed_addresses, sizeof f.seed_addresses, "\"127.0.0.1:%d\"", CLOSED_PORT);
  fleet_start_daemon (&f, 3);
  m.expected = "1111-- 1111-- 1111-- 1111-- ------ ------";
  assert_true (fleet_until (holds, &m, BOUND_MS));
  fleet_stop (&f);
}

typedef struct
{
  const char *name;
  const char *key; // content of the key file, NULL for no such file
  int expected;    // exit code
  const char *line;
} KeyCase;

static const KeyCase key_cases[] = {
  { "no such file", NULL, 2, "No such file" },
  { "too short", "short", 2, "settings.key_file" },
  { "empty", "", 2, "settings.key_file" },
};

static void
test_bad_keys (void **state)
{
  static FleetNode node = { .name = "up-0", .domain = "north-a", .region = "north" };
  static Fleet f;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (key_cases); i++)
    {
      char *key;
      char *log;
      char *text = NULL;

      fleet_init (&f, &node, 1);
      key = g_strdup_printf ("%s/key", f.dir);
      log = g_strdup_printf ("%s/up-0.log", f.dir);
      if (key_cases[i].key != NULL)
        g_file_set_contents (key, key_cases[i].key, -1, NULL);
      g_snprintf (f.extra_settings, sizeof f.extra_settings, ", \"key_file\": \"%s\"", key);
      fleet_start_daemon (&f, 0);
      assert_int_equal (fleet_wait_exit (&f.members[0].daemon, BOUND_MS), key_cases[i].expected);
      g_file_get_contents (log, &text, NULL, NULL);
      if (text == NULL || strstr (text, key_cases[i].line) == NULL)
        fail_msg ("%s: %s", key_cases[i].name, text);
      g_free (text);
      g_free (key);
      g_free (log);
      fleet_stop (&f);
    }
}

// Daemons with the deployment key find each other; one with another key and one without stay out.
static void
test_keys (void **state)
{
  static FleetNode nodes[4];
  static Fleet f;
  static const char *const keys[] = { "the key of the deployment",
                                      "the key of the deployment",
                                      "some other key of the same length",
                                      NULL };
  Matrix m = { &f, "1100-- 1100-- 0010-- 0001-- ------ ------" };
  BjTime until;
  bool refused = false;

  (void)state;
  for (int i = 0; i < 4; i++)
    {
      g_snprintf (nodes[i].name, FLEET_TEXT_MAX, "up-%d", i);
      g_strlcpy (nodes[i].domain, "north-a", FLEET_TEXT_MAX);
      g_strlcpy (nodes[i].region, "north", FLEET_TEXT_MAX);
    }
  fleet_init (&f, nodes, 4);
  fleet_start_platform (&f);
  for (int i = 0; i < 4; i++)
    {
      char *path = g_strdup_printf ("%s/key-%d", f.dir, i);

      f.extra_settings[0] = '\0';
      if (keys[i] != NULL)
        {
          g_file_set_contents (path, keys[i], -1, NULL);
          g_snprintf (f.extra_settings, sizeof f.extra_settings, ", \"key_file\": \"%s\"", path);
        }
      fleet_start_daemon (&f, i);
      g_free (path);
    }
  assert_true (fleet_until (holds, &m, BOUND_MS));
  // The others go on asking the first one, which counts both kinds.
  for (until = bj_clock_now () + BOUND_MS; !refused && bj_clock_now () < until;)
    {
      char *text = read_text (&f, 0, "/metrics");

      refused = strstr (text, "bj_member_unsigned_datagrams_total 0\n") == NULL
                && strstr (text, "bj_member_forged_datagrams_total 0\n") == NULL;
      g_free (text);
    }
  assert_true (refused);
  assert_true (holds (&m));
  assert_true (hello_is_refused (f.members[0].link_port));
  fleet_stop (&f);
}

static void
kill_one (Fleet *f)
{
  fleet_end (&f->members[DAEMONS - 1].daemon, SIGKILL);
}

static void
start_one (Fleet *f)
{
  fleet_start_daemon (f, DAEMONS - 1);
}

static void
replace_at_once (Fleet *f)
{
  kill_one (f);
  start_one (f);
}

static void
pause_one (Fleet *f)
{
  kill (f->members[DAEMONS - 1].daemon, SIGSTOP);
}

static void
resume_one (Fleet *f)
{
  kill (f->members[DAEMONS - 1].daemon, SIGCONT);
}

static void
cut_both (Fleet *f)
{
  fleet_http ("POST", f->platform_port, "/control/outage?value=1", NULL, "", NULL);
  fleet_cut (f, "north-a", "south-a", "cut");
  fleet_cut (f, "south-a", "north-a", "cut");
}

static void
cut_one_way (Fleet *f)
{
  fleet_cut (f, "north-a", "south-a", "cut");
}

// The platform stays down: the halves join again without it.
static void
heal (Fleet *f)
{
  fleet_cut (f, "north-a", "south-a", "ok");
  fleet_cut (f, "south-a", "north-a", "ok");
}

static void
do_nothing (Fleet *f)
{
  (void)f;
}

// A peer that greets without the key finds its connection closed.
static bool
hello_is_refused (int port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  BjFrame hello = { .kind = BJ_FRAME_HELLO,
                    .id = 1,
                    .protocol = BJ_PROTOCOL_VERSION,
                    .name = BJ_STR ("up-9"),
                    .data = BJ_STR ("sixteen bytes...") };
  struct timeval wait = { .tv_sec = 5 };
  msgpack_sbuffer out;
  char byte;
  ssize_t n = -1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  msgpack_sbuffer_init (&out);
  bj_frame_encode (&out, &hello);
  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr) == 0
      && send (fd, out.data, out.size, 0) == (ssize_t)out.size)
    n = recv (fd, &byte, 1, 0);
  close (fd);
  msgpack_sbuffer_destroy (&out);
  return n == 0;
}

static bool
holds (void *data)
{
  const Matrix *m = data;

  for (int i = 0; i < m->fleet->n; i++)
    for (int j = 0; j < m->fleet->n; j++)
      {
        char expected = m->expected[i * (DAEMONS + 1) + j];

        if (expected != '-' && knows (m->fleet, i, j) != (expected == '1'))
          return false;
      }
  return true;
}

static bool
knows (Fleet *f, int i, int j)
{
  char *text = read_text (f, i, "/v1/members");
  char *name = g_strdup_printf ("\"%s\"", f->members[j].node.name);
  bool known = strstr (text, name) != NULL;

  g_free (name);
  g_free (text);
  return known;
}

static char *
read_text (Fleet *f, int i, const char *path)
{
  GString *out = g_string_new (NULL);

  fleet_http ("GET", f->members[i].admin_port, path, NULL, NULL, out);
  return g_string_free (out, FALSE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_failures),
    cmocka_unit_test (test_dead_seeds),
    cmocka_unit_test (test_bad_keys),
    cmocka_unit_test (test_keys),
  };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
