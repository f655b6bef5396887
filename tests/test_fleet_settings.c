// Start of real daemons. Guards against invalid settings or busy ports that are not reported by
// exit code 2 and one line on stderr, and against a start that fails while the platform is
// unreachable or a SIGHUP arrives early.

#include "fleet.h"
#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#define START_MS 200 // for a signal to end the process

typedef struct
{
  const char *name;
  const char *option;
  const char *extra_settings;   // JSON members added to the settings, with a leading comma
  int busy_port;                // port in use: 0 none, 1 front, 2 admin, 3 link, 4 gossip
  const char *expected_message; // part of the line on stderr
} SettingsCase;

static const SettingsCase cases[] = {
  { "unknown key", "--config", ",\"x\":1", 0, "unknown key \"x\"" },
  { "unknown key, --check-config", "--check-config", ",\"x\":1", 0, "unknown key \"x\"" },
  { "key file missing", "--config", ",\"key_file\":\"/nowhere/key\"", 0, "/nowhere/key" },
  { "key file missing, --check-config",
    "--check-config",
    ",\"key_file\":\"/nowhere/key\"",
    0,
    "key_file" },
  { "front port in use", "--config", "", 1, "front" },
  { "admin port in use", "--config", "", 2, "admin" },
  { "link port in use", "--config", "", 3, "link" },
  { "gossip port in use", "--config", "", 4, "gossip" },
};

static void
init_fleet (Fleet *f)
{
  FleetNode node = { .name = "n", .domain = "d", .region = "r" };

  fleet_init (f, &node, 1);
}

static int
bind_port (int port, int type)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  assert_int_equal (bind (fd, (struct sockaddr *)&addr, sizeof addr), 0);
  if (type == SOCK_STREAM)
    assert_int_equal (listen (fd, 1), 0);
  return fd;
}

static void
write_settings (const Fleet *f, const char *path, const char *extra_settings)
{
  const FleetMember *m = &f->members[0];
  char *text = g_strdup_printf ("{\"name\":\"n\",\"domain\":\"d\",\"region\":\"r\","
                                "\"front\":\"127.0.0.1:%d\",\"admin\":\"127.0.0.1:%d\","
                                "\"link\":\"127.0.0.1:%d\",\"gossip\":\"127.0.0.1:%d\","
                                "\"platform\":{\"url\":\"http://127.0.0.1:%d\"}%s}",
                                m->front_port,
                                m->admin_port,
                                m->link_port,
                                m->gossip_port,
                                f->platform_port,
                                extra_settings);

  g_file_set_contents (path, text, -1, NULL);
  g_free (text);
}

static void
run_case (const SettingsCase *c)
{
  static Fleet f;
  char config[512], command[1100];
  char *const argv[] = { "sh", "-c", command, NULL };
  GString *out = g_string_new (NULL);
  int ports[5];
  int fd = -1;
  int code;

  init_fleet (&f);
  g_snprintf (config, sizeof config, "%s/n.json", f.dir);
  write_settings (&f, config, c->extra_settings);
  ports[1] = f.members[0].front_port;
  ports[2] = f.members[0].admin_port;
  ports[3] = f.members[0].link_port;
  ports[4] = f.members[0].gossip_port;
  if (c->busy_port > 0)
    fd = bind_port (ports[c->busy_port], c->busy_port == 4 ? SOCK_DGRAM : SOCK_STREAM);
  g_snprintf (command,
              sizeof command,
              "exec timeout 20 " BJ_BUILD_DIR "/boraged %s %s 2>&1",
              c->option,
              config);
  code = fleet_run_program (argv, out);
  if (code != 2 || strstr (out->str, c->expected_message) == NULL)
    print_error ("%s: boraged exited with %d: %s\n", c->name, code, out->str);
  assert_int_equal (code, 2);
  assert_non_null (strstr (out->str, c->expected_message));
  assert_ptr_equal (strchr (out->str, '\n'), out->str + out->len - 1);
  if (fd >= 0)
    close (fd);
  g_string_free (out, TRUE);
  fleet_stop (&f);
}

static void
test_rejected_starts (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    run_case (&cases[i]);
}

static bool
is_admin_up (void *fleet)
{
  return fleet_http ("GET", ((Fleet *)fleet)->members[0].admin_port, "/v1/status", NULL, NULL, NULL)
         == 200;
}

static bool
has_logged_store_failure (void *fleet)
{
  char *path = g_strdup_printf ("%s/n.log", ((Fleet *)fleet)->dir);
  char *text = NULL;
  bool found = g_file_get_contents (path, &text, NULL, NULL)
               && strstr (text, "TICKET: The store can't be read, trying on:") != NULL;

  g_free (text);
  g_free (path);
  return found;
}

static void
test_start_without_platform (void **state)
{
  static Fleet f;

  (void)state;
  init_fleet (&f);
  fleet_start_daemon (&f, 0);
  assert_true (fleet_wait_until (is_admin_up, &f, 10000));
  assert_true (fleet_wait_until (has_logged_store_failure, &f, 10000));
  fleet_stop (&f);
}

// The settings are a FIFO, which holds the start up until it is opened for writing.
static void
test_hangup_during_the_start (void **state)
{
  char *path = g_strdup_printf ("/tmp/bj-settings-%d", (int)getpid ());
  char *argv[] = { BJ_BUILD_DIR "/boraged", "--config", path, NULL };
  int status = 0;
  pid_t pid;
  int fd;

  (void)state;
  assert_int_equal (mkfifo (path, 0600), 0);
  assert_int_equal (posix_spawn (&pid, argv[0], NULL, NULL, argv, environ), 0);
  fd = open (path, O_WRONLY);
  assert_true (fd >= 0);
  kill (pid, SIGHUP);
  g_usleep (START_MS * 1000);
  assert_int_equal (waitpid (pid, &status, WNOHANG), 0);
  kill (pid, SIGKILL);
  waitpid (pid, &status, 0);
  close (fd);
  unlink (path);
  g_free (path);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rejected_starts),
    cmocka_unit_test (test_start_without_platform),
    cmocka_unit_test (test_hangup_during_the_start),
  };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
