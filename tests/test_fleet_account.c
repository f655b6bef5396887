// Client accounts with real processes. Guards against a withdrawn key that still works on an open
// connection, or works again after a restart of a daemon, and against keys that get into log lines,
// metrics, output of bjctl or upstreams' nested calls.

#include "fleet.h"
#include <curl/curl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define DAEMONS 3
#define FRONT 0
#define OTHER 1
#define WITHDRAWAL_MS                                                                              \
  3000 // from the acknowledgement of the store until a key is refused everywhere
#define RESTART_MS 10000
#define SECRET "key-secret-" // start of every key here

#define SERVICES                                                                                   \
  "\"priorities\":[\"all\"],\"services\":{"                                                        \
  "\"plans\":{\"routes\":[{\"prefix\":\"/plans/\",\"class\":\"all\"}]},"                           \
  "\"rates\":{\"routes\":[{\"prefix\":\"/rates/\",\"class\":\"all\"}]}}"

typedef struct
{
  CURL *easy;
  int member;
  const char *header;
  int status; // expected
} Probe;

static Fleet fleet;

static const char first_ticket[]
    = "{\"number\":1,\"base\":0," SERVICES ",\"accounts\":{\"one\":{\"keys\":[\"" SECRET "1\"]},"
      "\"two\":{\"keys\":[\"" SECRET "2\"]}}}";
static const char second_ticket[]
    = "{\"number\":2,\"base\":1,\"accounts\":{\"one\":{\"keys\":[\"" SECRET "3\"]}}}";

static int
request (CURL *easy, int member, const char *header, const char *path)
{
  const char *const headers[] = { header, NULL };

  return fleet_http_on (easy,
                        "GET",
                        fleet.members[member].front_port,
                        path,
                        header != NULL ? headers : NULL,
                        NULL,
                        NULL);
}

static bool
has_status (void *data)
{
  const Probe *p = data;

  return request (p->easy, p->member, p->header, "/plans/x") == p->status;
}

static void
assert_no_secret (const char *what, const char *text)
{
  if (strstr (text, SECRET) != NULL)
    fail_msg ("%s contains a key", what);
}

// The upstream gets the name of the account whose key was sent, also from a front of another
// daemon, and neither the key nor an account that the caller names.
static void
check_upstream_headers (CURL *easy, int member)
{
  const char *const headers[]
      = { "Bj-Api-Key: " SECRET "1 ", "BJ-ACCOUNT: two", "Bj-Account: two", NULL };

  assert_int_equal (
      fleet_http_on (
          easy, "GET", fleet.members[member].front_port, "/plans/x", headers, NULL, NULL),
      200);
  assert_non_null (strstr (fleet_last_response_head (), "X-Saw-Account: one\r\n"));
  assert_null (strstr (fleet_last_response_head (), "two"));
  assert_null (strstr (fleet_last_response_head (), "X-Saw-Key"));
}

static void
check_outputs (void)
{
  char admin[32];
  char platform[64];
  char *const accounts[] = { BJ_BUILD_DIR "/bjctl", "--admin", admin, "accounts", NULL };
  char *const accounts_json[]
      = { BJ_BUILD_DIR "/bjctl", "--admin", admin, "--json", "accounts", NULL };
  char *const show[] = { BJ_BUILD_DIR "/bjctl", "--platform", platform, "show", NULL };
  char *const *const commands[] = { accounts, accounts_json, show };
  GString *out = g_string_new (NULL);

  g_snprintf (admin, sizeof admin, "127.0.0.1:%d", fleet.members[FRONT].admin_port);
  g_snprintf (platform, sizeof platform, "http://127.0.0.1:%d", fleet.platform_port);
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      g_string_truncate (out, 0);
      assert_int_equal (fleet_run_program (commands[i], out), 0);
      assert_non_null (strstr (out->str, "one"));
      assert_no_secret (commands[i][3], out->str);
    }
  g_string_truncate (out, 0);
  assert_int_equal (
      fleet_http ("GET", fleet.members[FRONT].admin_port, "/metrics", NULL, NULL, out), 200);
  assert_non_null (strstr (out->str, "bj_account_calls{account=\"one\"}"));
  assert_no_secret ("/metrics", out->str);
  g_string_free (out, TRUE);
}

static void
check_logs (void)
{
  for (int i = 0; i < fleet.n; i++)
    {
      char *path = g_strdup_printf ("%s/%s.log", fleet.dir, fleet.members[i].node.name);
      char *text = NULL;

      assert_true (g_file_get_contents (path, &text, NULL, NULL));
      assert_no_secret (path, text);
      g_free (text);
      g_free (path);
    }
}

static void
test_withdrawal (void **state)
{
  static const char *const nodes[DAEMONS] = { "front:a:north:plans:20:5:/rates/x",
                                              "other:a:north:plans:20:5:/rates/x",
                                              "rates:b:north:rates:20:5" };
  FleetNode parsed[DAEMONS];
  CURL *easy[DAEMONS];
  Probe restarted = { NULL, FRONT, "Bj-Api-Key: " SECRET "2", 200 };
  BjTime filed;
  long n_connects = 0;

  (void)state;
  for (int i = 0; i < DAEMONS; i++)
    {
      assert_true (fleet_parse_node (nodes[i], &parsed[i]));
      easy[i] = curl_easy_init ();
    }
  fleet_init (&fleet, parsed, DAEMONS);
  g_strlcpy (fleet.log_level, "debug", sizeof fleet.log_level);
  assert_true (fleet_start (&fleet));
  assert_true (fleet_file_ticket (&fleet, first_ticket));
  assert_true (fleet_wait_ticket (&fleet, 1, RESTART_MS));
  for (int i = 0; i < DAEMONS; i++)
    {
      // The run at "plans" makes a nested call, which has no key.
      assert_int_equal (request (easy[i], i, "Bj-Api-Key: " SECRET "1", "/plans/x"), 200);
      assert_int_equal (request (easy[i], i, "bj-api-key: " SECRET "2", "/plans/x"), 200);
      assert_int_equal (request (easy[i], i, "Bj-Api-Key: " SECRET "3", "/plans/x"), 401);
      assert_int_equal (request (easy[i], i, "Bj-Account: one", "/plans/x"), 401);
      assert_int_equal (request (easy[i], i, NULL, "/rates/x"), 401);
      check_upstream_headers (easy[i], i);
    }
  check_outputs ();
  assert_true (fleet_file_ticket (&fleet, second_ticket));
  filed = bj_clock_now ();
  for (int i = 0; i < DAEMONS; i++)
    {
      Probe p = { easy[i], i, "Bj-Api-Key: " SECRET "1", 401 };

      assert_true (
          fleet_wait_until (has_status, &p, MAX (1, filed + WITHDRAWAL_MS - bj_clock_now ())));
      assert_int_equal (curl_easy_getinfo (easy[i], CURLINFO_NUM_CONNECTS, &n_connects), CURLE_OK);
      assert_int_equal (n_connects, 0); // the request reused the connection
    }
  print_message ("  refused at all daemons %.0f ms after the store's acknowledgement\n",
                 bj_clock_now () - filed);
  for (int i = 0; i < DAEMONS; i++)
    {
      assert_int_equal (request (easy[i], i, "Bj-Api-Key: " SECRET "2", "/plans/x"), 200);
      assert_int_equal (request (easy[i], i, "Bj-Api-Key: " SECRET "3", "/plans/x"), 200);
    }
  fleet_end_process (&fleet.members[FRONT].daemon, SIGKILL);
  fleet_start_daemon (&fleet, FRONT);
  // While the daemon has no configuration it answers 503; it never accepts the withdrawn key.
  restarted.easy = easy[FRONT];
  for (BjTime began = bj_clock_now (); !has_status (&restarted);)
    {
      int status = request (easy[FRONT], FRONT, "Bj-Api-Key: " SECRET "1", "/plans/x");

      if (status != 0 && status != 503 && status != 401)
        fail_msg ("withdrawn key after a restart: status %d", status);
      assert_true (bj_clock_now () - began < RESTART_MS);
    }
  assert_int_equal (request (easy[FRONT], FRONT, "Bj-Api-Key: " SECRET "1", "/plans/x"), 401);
  check_logs ();
  for (int i = 0; i < DAEMONS; i++)
    curl_easy_cleanup (easy[i]);
}

static int
stop_fleet (void **state)
{
  (void)state;
  fleet_stop (&fleet);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test_teardown (test_withdrawal, stop_fleet) };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
