// Membership with real processes and bj-fault between them. Guards against failed members that stay
// listed, reachable members that are dropped, and members that are not listed again within
// CONVERGE_TIMEOUT_MS after they recover.

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

#define DAEMONS 6                 // three in each of two failure domains
#define CONVERGE_TIMEOUT_MS 10000 // until all daemons list a failure or a return
#define CLOSED_PORT 9             // nothing listens there

typedef struct
{
  Fleet *fleet;
  const char *expected; // a row per daemon, a column per member: 1 listed, 0 not, - not checked
} ViewMatrix;

typedef struct
{
  const char *name;
  void (*inject) (Fleet *f);
  const char *expected;
  void (*recover) (Fleet *f);
} FailureCase;

static void kill_daemon (Fleet *f);
static void start_daemon (Fleet *f);
static void pause_daemon (Fleet *f);
static void resume_daemon (Fleet *f);
static void cut_both_ways (Fleet *f);
static void cut_one_way (Fleet *f);
static void heal_partition (Fleet *f);
static void restart_daemon (Fleet *f);
static void do_nothing (Fleet *f);
static bool is_hello_refused (int port);
static bool views_match (void *data);
static bool knows_member (Fleet *f, int i, int j);
static char *get_admin_text (Fleet *f, int i, const char *path);

static const char all_know_all[] = "111111 111111 111111 111111 111111 111111";
static const char halves_know_themselves[] = "111000 111000 111000 000111 000111 000111";
static const char last_is_gone[] = "111110 111110 111110 111110 111110 ------";

static const FailureCase cases[] = {
  { "daemon killed, then started again under the same name",
    kill_daemon,
    last_is_gone,
    start_daemon },
  { "daemon killed and restarted before peers suspect it",
    restart_daemon,
    all_know_all,
    do_nothing },
  { "daemon paused until peers drop it, then resumed", pause_daemon, last_is_gone, resume_daemon },
  { "failure domains cut off from each other, platform down",
    cut_both_ways,
    halves_know_themselves,
    heal_partition },
  { "one direction between the failure domains cut",
    cut_one_way,
    halves_know_themselves,
    heal_partition },
};

static void
test_failures (void **state)
{
  static FleetNode nodes[DAEMONS];
  static Fleet f;
  ViewMatrix m = { &f, all_know_all };

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
  assert_true (fleet_wait_until (views_match, &m, CONVERGE_TIMEOUT_MS));
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      print_message ("%s\n", cases[i].name);
      cases[i].inject (&f);
      m.expected = cases[i].expected;
      assert_true (fleet_wait_until (views_match, &m, CONVERGE_TIMEOUT_MS));
      cases[i].recover (&f);
      m.expected = all_know_all;
      assert_true (fleet_wait_until (views_match, &m, CONVERGE_TIMEOUT_MS));
    }
  fleet_stop (&f);
}

// Guards against a new daemon that stays alone when all seeds of its settings are unreachable: it
// must find its peers through the members object in the platform's store.
static void
test_unreachable_seeds (void **state)
{
  static FleetNode nodes[4];
  static Fleet f;
  ViewMatrix m = { &f, "1110-- 1110-- 1110-- ------ ------ ------" };
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
  assert_true (fleet_wait_until (views_match, &m, CONVERGE_TIMEOUT_MS));
  g_snprintf (path, sizeof path, "/apis/boragejunction/v1/members/north-a");
  for (BjTime until = bj_clock_now () + 3 * CONVERGE_TIMEOUT_MS;
       fleet_http ("GET", f.platform_port, path, NULL, NULL, NULL) != 200;)
    assert_true (bj_clock_now () < until);
  g_snprintf (f.seed_addresses, sizeof f.seed_addresses, "\"127.0.0.1:%d\"", CLOSED_PORT);
  fleet_start_daemon (&f, 3);
  m.expected = "1111-- 1111-- 1111-- 1111-- ------ ------";
  assert_true (fleet_wait_until (views_match, &m, CONVERGE_TIMEOUT_MS));
  fleet_stop (&f);
}

typedef struct
{
  const char *name;
  const char *key;          // content of the key file, NULL for no file
  int exit_code;            // expected
  const char *expected_log; // part of a log line
} KeyCase;

static const KeyCase key_cases[] = {
  { "missing key file", NULL, 2, "No such file" },
  { "key too short", "short", 2, "settings.key_file" },
  { "empty key file", "", 2, "settings.key_file" },
};

static void
test_invalid_key_files (void **state)
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
      assert_int_equal (fleet_wait_exit (&f.members[0].daemon, CONVERGE_TIMEOUT_MS),
                        key_cases[i].exit_code);
      g_file_get_contents (log, &text, NULL, NULL);
      if (text == NULL || strstr (text, key_cases[i].expected_log) == NULL)
        fail_msg (
            "%s: the log lacks \"%s\":\n%s", key_cases[i].name, key_cases[i].expected_log, text);
      g_free (text);
      g_free (key);
      g_free (log);
      fleet_stop (&f);
    }
}

// Daemons with the deployment key must find each other. Guards against a daemon with another key,
// or with none, that is listed as a member.
static void
test_different_keys (void **state)
{
  static FleetNode nodes[4];
  static Fleet f;
  static const char *const keys[] = { "the key of the deployment",
                                      "the key of the deployment",
                                      "some other key of the same length",
                                      NULL };
  ViewMatrix m = { &f, "1100-- 1100-- 0010-- 0001-- ------ ------" };
  BjTime until;
  bool has_counted_both = false;

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
  assert_true (fleet_wait_until (views_match, &m, CONVERGE_TIMEOUT_MS));
  // The other two daemons keep sending; the first must count both unsigned and forged datagrams.
  for (until = bj_clock_now () + CONVERGE_TIMEOUT_MS; !has_counted_both && bj_clock_now () < until;)
    {
      char *text = get_admin_text (&f, 0, "/metrics");

      has_counted_both = strstr (text, "bj_member_unsigned_datagrams_total 0\n") == NULL
                         && strstr (text, "bj_member_forged_datagrams_total 0\n") == NULL;
      g_free (text);
    }
  assert_true (has_counted_both);
  assert_true (views_match (&m));
  assert_true (is_hello_refused (f.members[0].link_port));
  fleet_stop (&f);
}

static void
kill_daemon (Fleet *f)
{
  fleet_end_process (&f->members[DAEMONS - 1].daemon, SIGKILL);
}

static void
start_daemon (Fleet *f)
{
  fleet_start_daemon (f, DAEMONS - 1);
}

static void
restart_daemon (Fleet *f)
{
  kill_daemon (f);
  start_daemon (f);
}

static void
pause_daemon (Fleet *f)
{
  kill (f->members[DAEMONS - 1].daemon, SIGSTOP);
}

static void
resume_daemon (Fleet *f)
{
  kill (f->members[DAEMONS - 1].daemon, SIGCONT);
}

static void
cut_both_ways (Fleet *f)
{
  fleet_http ("POST", f->platform_port, "/control/outage?value=1", NULL, "", NULL);
  fleet_set_link_fault (f, "north-a", "south-a", "cut");
  fleet_set_link_fault (f, "south-a", "north-a", "cut");
}

static void
cut_one_way (Fleet *f)
{
  fleet_set_link_fault (f, "north-a", "south-a", "cut");
}

// The platform stays down: the halves must find each other again without it.
static void
heal_partition (Fleet *f)
{
  fleet_set_link_fault (f, "north-a", "south-a", "ok");
  fleet_set_link_fault (f, "south-a", "north-a", "ok");
}

static void
do_nothing (Fleet *f)
{
  (void)f;
}

// Sends a HELLO that is not signed with the key; returns true if the daemon closes the connection.
static bool
is_hello_refused (int port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  BjFrame hello = { .kind = BJ_FRAME_HELLO,
                    .id = 1,
                    .start = 1,
                    .protocol = BJ_PROTOCOL_VERSION,
                    .name = BJ_STR ("up-9"),
                    .data = BJ_STR ("sixteen bytes...") };
  struct timeval timeout = { .tv_sec = 5 };
  msgpack_sbuffer out;
  char byte;
  ssize_t n = -1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  msgpack_sbuffer_init (&out);
  bj_frame_encode (&out, &hello);
  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr) == 0
      && send (fd, out.data, out.size, 0) == (ssize_t)out.size)
    n = recv (fd, &byte, 1, 0);
  close (fd);
  msgpack_sbuffer_destroy (&out);
  return n == 0;
}

static bool
views_match (void *data)
{
  const ViewMatrix *m = data;

  for (int i = 0; i < m->fleet->n; i++)
    for (int j = 0; j < m->fleet->n; j++)
      {
        char expected = m->expected[i * (DAEMONS + 1) + j];

        if (expected != '-' && knows_member (m->fleet, i, j) != (expected == '1'))
          return false;
      }
  return true;
}

static bool
knows_member (Fleet *f, int i, int j)
{
  char *text = get_admin_text (f, i, "/v1/members");
  char *name = g_strdup_printf ("\"%s\"", f->members[j].node.name);
  bool known = strstr (text, name) != NULL;

  g_free (name);
  g_free (text);
  return known;
}

static char *
get_admin_text (Fleet *f, int i, const char *path)
{
  GString *out = g_string_new (NULL);

  fleet_http ("GET", f->members[i].admin_port, path, NULL, NULL, out);
  return g_string_free (out, FALSE);
}

// ctest runs test_failures as a separate test, test_fleet_failures.
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_failures),
    cmocka_unit_test (test_unreachable_seeds),
    cmocka_unit_test (test_invalid_key_files),
    cmocka_unit_test (test_different_keys),
  };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  else
    cmocka_set_skip_filter ("test_failures");
  return cmocka_run_group_tests (tests, NULL, NULL);
}
