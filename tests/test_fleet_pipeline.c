// HTTP pipelining with real processes. Guards against requests of one connection that are served
// one after the other, responses in the wrong order, begun requests that a planned stop loses,
// requests that a stop did not begin but that ran, and calls that go on after their caller or front
// is gone.

#include "fleet.h"
#include "pipecaller.h"
#include <curl/curl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define OWN 0  // front with its own upstream
#define PEER 1 // the other daemon with an upstream
#define GATE 2 // front without an upstream
#define RESPONSE_TIMEOUT_MS 5000
#define WAIT_TIMEOUT_MS 15000
#define SETTLE_US 100000 // for sent requests to begin
#define STOP_REQUESTS 6
#define LATE_REQUESTS 3 // sent after the stop

typedef struct
{
  const char *name;
  int member;
  int n;
  int service_ms;
  double limit_ms; // of the last response; what callers need
} LatencyCase;

static const LatencyCase latency_cases[] = {
  { "six of 300 ms, own upstream", OWN, 6, 300, 500 },
  { "six of 300 ms, no upstream", GATE, 6, 300, 500 },
  { "sixteen of 200 ms, own upstream", OWN, 16, 200, 600 },
  { "sixteen of 200 ms, no upstream", GATE, 16, 200, 600 },
};

typedef struct
{
  const char *name;
  const char *requests;
  const char *methods;  // as in PipeCaller
  const char *statuses; // of all responses, separated by spaces
  bool is_closed;       // by the front after the last one
} MixCase;

#define GET(path) "GET " path " HTTP/1.1\r\nHost: x\r\n\r\n"

static const MixCase mix_cases[] = {
  { "malformed behind others",
    GET ("/plans/1") GET ("/plans/2") "?\r\n\r\n",
    NULL,
    "200 200 400",
    true },
  { "too large behind others",
    GET ("/plans/1") "POST /plans/2 HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n",
    NULL,
    "200 413",
    true },
  { "no Host behind others",
    GET ("/plans/1") "GET /plans/2 HTTP/1.1\r\n\r\n",
    NULL,
    "200 400",
    true },
  { "request that closes, others behind it",
    GET ("/plans/1") "GET /plans/2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" GET (
        "/plans/3"),
    NULL,
    "200 200",
    true },
  { "HTTP/1.0 behind HTTP/1.1",
    GET ("/plans/1") "GET /plans/2 HTTP/1.0\r\n\r\n",
    NULL,
    "200 200",
    true },
  { "HEAD, chunked body and unknown path",
    "HEAD /plans/1 HTTP/1.1\r\nHost: x\r\n\r\n"
    "POST /plans/2 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
    "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" GET (
        "/nowhere") "HEAD /plans/4 HTTP/1.1\r\nHost: x\r\n\r\n" GET ("/plans/5"),
    "HPGHG",
    "200 200 404 200 200",
    false },
  { "100-continue behind others",
    GET ("/plans/1") "POST /plans/2 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: "
                     "3\r\n\r\nabc" GET ("/plans/3"),
    NULL,
    "200 200 200",
    false },
  { "irreversible first, in the middle and last",
    "POST /plans/pay/1 HTTP/1.1\r\nHost: x\r\n\r\n" GET ("/plans/2")
        GET ("/plans/3") "POST /plans/pay/4 HTTP/1.1\r\nHost: x\r\n\r\n" GET (
            "/plans/5") "POST /plans/pay/6 HTTP/1.1\r\nHost: x\r\n\r\n",
    NULL,
    "200 200 200 200 200 200",
    false },
  { "an action id between others",
    GET ("/plans/1") "POST /v1/actions HTTP/1.1\r\nHost: x\r\n\r\n" GET ("/plans/2"),
    NULL,
    "200 201 200",
    false },
};

static Fleet fleet;

static const char ticket[]
    = "{\"number\":1,\"base\":0,\"priorities\":[\"all\"],\"services\":{\"plans\":{"
      "\"limiter\":{\"plugin\":\"fixed\"},\"routes\":["
      "{\"prefix\":\"/plans/\",\"class\":\"all\",\"deadline_ms\":4000},"
      "{\"prefix\":\"/plans/pay/\",\"class\":\"all\",\"irreversible\":true,\"claim\":false,"
      "\"deadline_ms\":4000},"
      "{\"prefix\":\"/plans/brief/\",\"class\":\"all\",\"irreversible\":true,\"claim\":false,"
      "\"deadline_ms\":400}]}}}";

static void
set_service_ms (int ms)
{
  char path[64];

  g_snprintf (path, sizeof path, "/control/service_us?value=%d", ms * 1000);
  for (int i = OWN; i <= PEER; i++)
    fleet_http ("POST", fleet.members[i].upstream_port, path, NULL, "", NULL);
}

static int
start_fleet (void **state)
{
  static FleetNode nodes[] = {
    { .name = "own", .domain = "a", .region = "n", .service = "plans", .slots = 32 },
    { .name = "peer", .domain = "a", .region = "n", .service = "plans", .slots = 32 },
    { .name = "gate", .domain = "a", .region = "n" },
  };

  (void)state;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  for (int i = OWN; i <= PEER; i++)
    nodes[i].service_ms = 20;
  fleet_init (&fleet, nodes, G_N_ELEMENTS (nodes));
  if (!fleet_start (&fleet) || !fleet_file_ticket (&fleet, ticket)
      || !fleet_wait_ticket (&fleet, 1, WAIT_TIMEOUT_MS))
    return -1;
  return 0;
}

static int
stop_fleet (void **state)
{
  (void)state;
  fleet_stop (&fleet);
  return 0;
}

static void
caller_open (PipeCaller *c, int member)
{
  pipecaller_open (c, fleet.members[member].front_port, RESPONSE_TIMEOUT_MS);
  assert_true (c->fd >= 0);
}

static void
caller_send_ids (PipeCaller *c, int first, int n)
{
  assert_true (pipecaller_send_gets (c, "/plans/x?id=r%02d", "k%02d", first, n));
}

static bool
has_id (const PipeCaller *c, int i)
{
  char id[16];

  g_snprintf (id, sizeof id, "r%02d", i);
  return g_str_has_prefix (c->bodies[i]->str, id);
}

static void
assert_served (const PipeCaller *c, int i)
{
  if (c->statuses[i] != 200 || !has_id (c, i))
    fail_msg ("response %d has status %d, body %.20s", i, c->statuses[i], c->bodies[i]->str);
}

static void
test_latency (void **state)
{
  int n_slow = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (latency_cases); i++)
    {
      const LatencyCase *l = &latency_cases[i];
      PipeCaller c;
      BjTime began;
      double took;

      set_service_ms (l->service_ms);
      caller_open (&c, l->member);
      began = bj_clock_now ();
      caller_send_ids (&c, 0, l->n);
      pipecaller_read (&c, l->n);
      took = bj_clock_now () - began;
      print_message ("  %s: %.0f ms\n", l->name, took);
      assert_int_equal (c.n, l->n);
      for (int k = 0; k < l->n; k++)
        assert_served (&c, k);
      n_slow += took >= l->limit_ms;
      pipecaller_close (&c);
    }
  set_service_ms (20);
  assert_int_equal (n_slow, 0);
}

static void
run_mix (const MixCase *m, int member, int *n_wrong)
{
  char **expected = g_strsplit (m->statuses, " ", -1);
  int n = (int)g_strv_length (expected);
  GString *statuses = g_string_new (NULL);
  PipeCaller c;

  caller_open (&c, member);
  c.methods = m->methods;
  assert_true (pipecaller_send (&c, m->requests));
  pipecaller_read (&c, n);
  if (m->is_closed)
    pipecaller_read (&c, n + 1);
  for (int i = 0; i < c.n; i++)
    g_string_append_printf (statuses, "%s%d", i > 0 ? " " : "", c.statuses[i]);
  if (strcmp (statuses->str, m->statuses) != 0 || c.is_ended != m->is_closed || c.is_reset
      || c.closes[n - 1] != m->is_closed)
    {
      print_error ("%s, member %d: %s, ended %d, reset %d\n",
                   m->name,
                   member,
                   statuses->str,
                   c.is_ended,
                   c.is_reset);
      ++*n_wrong;
    }
  pipecaller_close (&c);
  g_string_free (statuses, TRUE);
  g_strfreev (expected);
}

static void
test_mixes (void **state)
{
  int n_wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (mix_cases); i++)
    for (int member = OWN; member <= GATE; member += GATE - OWN)
      run_mix (&mix_cases[i], member, &n_wrong);
  assert_int_equal (n_wrong, 0);
}

// The deadline of a request that waits to run alone counts from its reading: when it may begin, its
// deadline has passed, and it must not run.
static void
test_deadline_of_waiting_request (void **state)
{
  PipeCaller c;

  (void)state;
  set_service_ms (700);
  caller_open (&c, GATE);
  assert_true (pipecaller_send (&c,
                                GET ("/plans/x") "POST /plans/brief/x HTTP/1.1\r\nHost: x\r\n"
                                                 "Idempotency-Key: brief\r\n\r\n"));
  pipecaller_read (&c, 2);
  assert_int_equal (c.n, 2);
  assert_int_equal (c.statuses[0], 200);
  assert_int_equal (c.statuses[1], 504);
  assert_int_equal (fleet_count_executions (&fleet, "brief"), 0);
  pipecaller_close (&c);
  set_service_ms (20);
}

static int
count_runs (int id)
{
  char key[16];

  g_snprintf (key, sizeof key, "k%02d", id);
  return fleet_count_executions (&fleet, key);
}

// A stop answers what was read, also what was sent ahead and begins later, and closes behind it.
static void
test_planned_stop (void **state)
{
  int runs[STOP_REQUESTS + LATE_REQUESTS];
  PipeCaller c;

  (void)state;
  for (int i = 0; i < STOP_REQUESTS + LATE_REQUESTS; i++)
    runs[i] = count_runs (i);
  set_service_ms (400);
  caller_open (&c, GATE);
  caller_send_ids (&c, 0, STOP_REQUESTS);
  g_usleep (SETTLE_US);
  kill (fleet.members[GATE].daemon, SIGTERM);
  g_usleep (SETTLE_US);
  caller_send_ids (&c, STOP_REQUESTS, LATE_REQUESTS);
  pipecaller_read (&c, PIPECALLER_RESPONSES_MAX);
  print_message ("  %d answered, ended %d, reset %d\n", c.n, c.is_ended, c.is_reset);
  assert_int_equal (c.n, STOP_REQUESTS + LATE_REQUESTS);
  assert_true (c.is_ended);
  for (int i = 0; i < STOP_REQUESTS + LATE_REQUESTS; i++)
    {
      assert_served (&c, i);
      assert_int_equal (c.closes[i], i == STOP_REQUESTS + LATE_REQUESTS - 1);
      assert_int_equal (count_runs (i) - runs[i], 1);
    }
  pipecaller_close (&c);
  set_service_ms (20);
  assert_int_equal (fleet_wait_exit (&fleet.members[GATE].daemon, WAIT_TIMEOUT_MS), 0);
  fleet_start_daemon (&fleet, GATE);
  assert_true (fleet_wait_ticket (&fleet, 1, WAIT_TIMEOUT_MS));
  assert_true (fleet_wait_members (&fleet, PEER + 1, WAIT_TIMEOUT_MS));
}

static double
read_metric (int member, const char *name)
{
  GString *out = g_string_new (NULL);
  double value = -1;
  const char *at;

  fleet_http ("GET", fleet.members[member].admin_port, "/metrics", NULL, NULL, out);
  at = strstr (out->str, name);
  if (at != NULL)
    value = g_ascii_strtod (at + strlen (name), NULL);
  g_string_free (out, TRUE);
  return value;
}

static bool
are_upstreams_idle (void *data)
{
  (void)data;
  return read_metric (OWN, "\nbj_open_calls ") == 0 && read_metric (PEER, "\nbj_open_calls ") == 0;
}

// The calls of a front that is gone must not hold slots, and other fronts must go on.
static void
test_killed_front (void **state)
{
  PipeCaller c;

  (void)state;
  set_service_ms (1500);
  caller_open (&c, GATE);
  caller_send_ids (&c, 0, STOP_REQUESTS);
  g_usleep (SETTLE_US);
  fleet_end_process (&fleet.members[GATE].daemon, SIGKILL);
  pipecaller_read (&c, 1);
  assert_int_equal (c.n, 0);
  assert_true (c.is_ended || c.is_reset);
  pipecaller_close (&c);
  set_service_ms (20);
  assert_true (fleet_wait_until (are_upstreams_idle, NULL, WAIT_TIMEOUT_MS));
  caller_open (&c, OWN);
  caller_send_ids (&c, 0, STOP_REQUESTS);
  pipecaller_read (&c, STOP_REQUESTS);
  assert_int_equal (c.n, STOP_REQUESTS);
  pipecaller_close (&c);
  fleet_start_daemon (&fleet, GATE);
  assert_true (fleet_wait_ticket (&fleet, 1, WAIT_TIMEOUT_MS));
  assert_true (fleet_wait_members (&fleet, PEER + 1, WAIT_TIMEOUT_MS));
}

// Every request gets a response, in order, whichever upstream had it.
static void
test_lost_upstream (void **state)
{
  int n_served = 0;
  PipeCaller c;

  (void)state;
  set_service_ms (400);
  caller_open (&c, GATE);
  caller_send_ids (&c, 0, STOP_REQUESTS);
  g_usleep (SETTLE_US);
  fleet_end_process (&fleet.members[PEER].upstream, SIGKILL);
  pipecaller_read (&c, STOP_REQUESTS);
  assert_int_equal (c.n, STOP_REQUESTS);
  for (int i = 0; i < STOP_REQUESTS; i++)
    {
      assert_true (c.statuses[i] != 200 || has_id (&c, i));
      n_served += c.statuses[i] == 200;
    }
  print_message ("  %d of %d served\n", n_served, STOP_REQUESTS);
  assert_true (n_served >= 1);
  pipecaller_close (&c);
  fleet_start_upstream (&fleet, PEER);
  assert_true (fleet_wait_members (&fleet, PEER + 1, WAIT_TIMEOUT_MS));
}

static bool
is_gate_idle (void *data)
{
  (void)data;
  return read_metric (GATE, "\nbj_open_calls ") == 0;
}

// All calls of a caller that leaves end at once, not only that of its first request.
static void
test_caller_leaves (void **state)
{
  BjTime left;
  PipeCaller c;

  (void)state;
  set_service_ms (3000);
  caller_open (&c, GATE);
  // Other ids than in test_lost_upstream: those are suspects of a crash, which run one at a time.
  caller_send_ids (&c, STOP_REQUESTS, STOP_REQUESTS);
  g_usleep (SETTLE_US);
  assert_int_equal ((int)read_metric (GATE, "\nbj_open_calls "), STOP_REQUESTS);
  pipecaller_close (&c);
  left = bj_clock_now ();
  assert_true (fleet_wait_until (is_gate_idle, NULL, WAIT_TIMEOUT_MS));
  print_message ("  idle after %.0f ms\n", bj_clock_now () - left);
  assert_true (bj_clock_now () - left < 1500);
  set_service_ms (20);
}

static bool
are_served_one_by_one (void *data)
{
  BjTime began = bj_clock_now ();
  PipeCaller c;

  (void)data;
  caller_open (&c, GATE);
  caller_send_ids (&c, 2 * STOP_REQUESTS, 3);
  pipecaller_read (&c, 3);
  pipecaller_close (&c);
  return c.n == 3 && bj_clock_now () - began >= 3 * 100;
}

// A reload applies pipelined_max to the requests that begin from then on.
static void
test_reload (void **state)
{
  char *path = g_strdup_printf ("%s/gate.json", fleet.dir);
  char *text = NULL;
  GString *changed;

  (void)state;
  set_service_ms (100);
  assert_false (are_served_one_by_one (NULL));
  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  changed = g_string_new (text);
  g_string_insert (changed, strchr (changed->str, '{') + 1 - changed->str, "\"pipelined_max\":1,");
  assert_true (g_file_set_contents (path, changed->str, -1, NULL));
  kill (fleet.members[GATE].daemon, SIGHUP);
  assert_true (fleet_wait_until (are_served_one_by_one, NULL, WAIT_TIMEOUT_MS));
  set_service_ms (20);
  g_string_free (changed, TRUE);
  g_free (text);
  g_free (path);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_latency),
    cmocka_unit_test (test_mixes),
    cmocka_unit_test (test_deadline_of_waiting_request),
    cmocka_unit_test (test_planned_stop),
    cmocka_unit_test (test_killed_front),
    cmocka_unit_test (test_lost_upstream),
    cmocka_unit_test (test_caller_leaves),
    cmocka_unit_test (test_reload),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
