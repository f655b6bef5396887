// Guards against retry amplification over a chain of three services, with real processes. Every hop
// may retry when a request is refused or fails or its response is lost; still no service may run
// one user action more than 1 + RETRIES_MAX times.

#include "fleet.h"
#include <curl/curl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define RETRIES_MAX 3 // per user action: "attempts" (whole chain) and retries of the upstreams
#define ACTIONS 5     // user actions per case
#define LOST_RESPONSES_MAX 1000000 // responses that mode "lose" drops: more than a case has

typedef struct
{
  const char *name;
  const char *fault_tags[2]; // bj-fault listeners that get the fault, NULL for none
  const char *fault_mode;    // bj-fault mode while the actions run
  bool is_shedding;          // the last service of the chain refuses every request
  int status;                // status that the last service returns after a run, 0 for 200
} ChainCase;

static const ChainCase cases[] = {
  { "no fault", { NULL }, NULL, false, 0 },
  { "responses of the last service lost",
    { "upstream-three-1", "upstream-three-2" },
    "lose",
    false,
    0 },
  { "responses of the middle service lost",
    { "upstream-two-1", "upstream-two-2" },
    "lose",
    false,
    0 },
  { "responses between daemons lost", { "link-c" }, "lose", false, 0 },
  { "last service refuses all requests", { NULL }, NULL, true, 0 },
  { "last service runs and returns 503", { NULL }, NULL, false, 503 },
  { "last service returns 503, link responses lost", { "link-c" }, "lose", false, 503 },
  { "domain of the last service unreachable", { "link-c" }, "cut", false, 0 },
};

// Two upstreams per service, so that a failed call can be retried on the other one.
static const FleetNode nodes[] = {
  { .name = "one-1",
    .domain = "a",
    .region = "n",
    .service = "s1",
    .slots = 16,
    .service_ms = 2,
    .next = "/s2/x" },
  { .name = "one-2",
    .domain = "a",
    .region = "n",
    .service = "s1",
    .slots = 16,
    .service_ms = 2,
    .next = "/s2/x" },
  { .name = "two-1",
    .domain = "b",
    .region = "n",
    .service = "s2",
    .slots = 16,
    .service_ms = 2,
    .next = "/s3/x" },
  { .name = "two-2",
    .domain = "b",
    .region = "n",
    .service = "s2",
    .slots = 16,
    .service_ms = 2,
    .next = "/s3/x" },
  { .name = "three-1",
    .domain = "c",
    .region = "n",
    .service = "s3",
    .slots = 16,
    .service_ms = 2,
    .next = "" },
  { .name = "three-2",
    .domain = "c",
    .region = "n",
    .service = "s3",
    .slots = 16,
    .service_ms = 2,
    .next = "" },
};

static Fleet fleet;

static char *
make_ticket (void)
{
  GString *s = g_string_new (NULL);

  g_string_printf (s, "{\"number\":1,\"base\":0,\"priorities\":[\"lookup\"],\"services\":{");
  for (int i = 1; i <= 3; i++)
    g_string_append_printf (s,
                            "%s\"s%d\":{\"routes\":[{\"prefix\":\"/s%d/\",\"class\":"
                            "\"lookup\",\"deadline_ms\":3000,\"attempts\":%d}]}",
                            i > 1 ? "," : "",
                            i,
                            i,
                            RETRIES_MAX);
  g_string_append (s, "}}");
  return g_string_free (s, FALSE);
}

static bool
file_ticket (void)
{
  char *text = make_ticket ();
  bool ok = fleet_file_ticket (&fleet, text) && fleet_wait_ticket (&fleet, 1, 10000);

  g_free (text);
  return ok;
}

static int
start_fleet (void **state)
{
  (void)state;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  fleet_init (&fleet, nodes, G_N_ELEMENTS (nodes));
  fleet.use_fault = true;
  return fleet_start (&fleet) ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  (void)state;
  fleet_stop (&fleet);
  return 0;
}

static int
count_runs_at (int member, const char *key)
{
  int n = fleet_count_executions_at (&fleet, member, key);

  assert_true (n >= 0);
  return n;
}

static void
set_control (int member, const char *control, int value)
{
  char path[64];

  g_snprintf (path, sizeof path, "/control/%s?value=%d", control, value);
  assert_int_equal (fleet_http ("POST", fleet.members[member].upstream_port, path, NULL, "", NULL),
                    200);
}

static bool
is_served (void *data)
{
  (void)data;
  return fleet_http ("GET", fleet.members[0].front_port, "/s1/x?id=1", NULL, NULL, NULL) == 200;
}

static void
set_fault (const ChainCase *c, const char *fault_mode)
{
  for (int i = 0; i < 2 && c->fault_tags[i] != NULL; i++)
    assert_true (fleet_set_fault (&fleet, c->fault_tags[i], "*", fault_mode, LOST_RESPONSES_MAX));
}

// Returns the highest number of runs of one action at one service.
static int
run_case (const ChainCase *c)
{
  int max_runs = 0;

  assert_true (fleet_wait_until (is_served, NULL, 10000));
  set_fault (c, c->fault_mode);
  for (int m = 4; m < 6; m++)
    {
      set_control (m, "shed", c->is_shedding);
      set_control (m, "status", c->status);
    }
  for (int i = 0; i < ACTIONS; i++)
    {
      char key[64];
      char header[96];
      const char *headers[] = { header, NULL };

      g_snprintf (key, sizeof key, "%s-%d", c->name, i);
      g_strdelimit (key, " ", '-');
      g_snprintf (header, sizeof header, "Idempotency-Key: %s", key);
      fleet_http ("GET", fleet.members[0].front_port, "/s1/x?id=1", headers, NULL, NULL);
      for (int m = 0; m < fleet.n; m += 2)
        {
          int n = count_runs_at (m, key) + count_runs_at (m + 1, key);

          max_runs = MAX (max_runs, n);
        }
    }
  set_fault (c, "ok");
  for (int m = 4; m < 6; m++)
    {
      set_control (m, "shed", 0);
      set_control (m, "status", 0);
    }
  print_message ("  %s: at most %d runs of an action at a service\n", c->name, max_runs);
  return max_runs;
}

static void
test_retries_are_bounded (void **state)
{
  (void)state;
  assert_true (file_ticket ());
  for (int m = 0; m < 4; m++)
    set_control (m, "retries", RETRIES_MAX);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    assert_true (run_case (&cases[i]) <= 1 + RETRIES_MAX);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_retries_are_bounded),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
