// Router "even" with real processes: a load report travels from the upstream's response through its
// guard to the front, and changes where calls go.

#include "fleet.h"
#include <curl/curl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define FRONT 0
#define SLOW 1
#define QUICK 2
#define REQUESTS 60          // sent one after the other, within the time that a report counts
#define SLOW_REQUESTS_MAX 6  // of these, at an upstream that reports a slower machine
#define SLOW_REQUESTS_MIN 12 // of these, without reports

static Fleet fleet;

static const char ticket[]
    = "{\"number\":1,\"base\":0,\"priorities\":[\"all\"],\"services\":{\"plans\":{"
      "\"limiter\":{\"plugin\":\"slots\"},\"router\":{\"plugin\":\"even\"},"
      "\"routes\":[{\"prefix\":\"/plans/\",\"class\":\"all\",\"deadline_ms\":5000}]}}}";

static void
set_slowness (int member, int value)
{
  char path[64];

  g_snprintf (path, sizeof path, "/control/slowness?value=%d", value);
  assert_int_equal (fleet_http ("POST", fleet.members[member].upstream_port, path, NULL, "", NULL),
                    200);
}

static int
count_at_slow (void)
{
  GString *out = g_string_new (NULL);
  int n;

  fleet_http ("GET", fleet.members[SLOW].upstream_port, "/control/arrivals", NULL, NULL, out);
  n = (int)fleet_json_number (out->str, "requests");
  g_string_free (out, TRUE);
  return n;
}

// Requests of a series that the slow upstream got.
static int
send_requests (void)
{
  int before = count_at_slow ();

  for (int i = 0; i < REQUESTS; i++)
    assert_int_equal (
        fleet_http ("GET", fleet.members[FRONT].front_port, "/plans/x", NULL, NULL, NULL), 200);
  return count_at_slow () - before;
}

static void
test_reports_reach_the_front (void **state)
{
  static const char *const formats[]
      = { "front:a:north::1:1", "slow:a:north:plans:50:10", "quick:a:north:plans:50:10" };
  FleetNode nodes[G_N_ELEMENTS (formats)] = { 0 };
  int without_reports;
  int with_reports;
  int metrics_status;
  GString *metrics = g_string_new (NULL);

  (void)state;
  g_strlcpy (nodes[FRONT].name, "front", FLEET_TEXT_MAX);
  g_strlcpy (nodes[FRONT].domain, "a", FLEET_TEXT_MAX);
  g_strlcpy (nodes[FRONT].region, "north", FLEET_TEXT_MAX);
  for (size_t i = SLOW; i < G_N_ELEMENTS (formats); i++)
    assert_true (fleet_parse_node (formats[i], &nodes[i]));
  fleet_init (&fleet, nodes, G_N_ELEMENTS (formats));
  assert_true (fleet_start (&fleet));
  assert_true (fleet_file_ticket (&fleet, ticket));
  assert_true (fleet_wait_ticket (&fleet, 1, 10000));
  without_reports = send_requests ();
  set_slowness (SLOW, 300);
  set_slowness (QUICK, 100);
  // Until both have been asked once.
  send_requests ();
  with_reports = send_requests ();
  metrics_status
      = fleet_http ("GET", fleet.members[FRONT].admin_port, "/metrics", NULL, NULL, metrics);
  fleet_stop (&fleet);
  print_message ("  %d of %d at the slow one without reports, %d with\n",
                 without_reports,
                 REQUESTS,
                 with_reports);
  assert_in_range (without_reports, SLOW_REQUESTS_MIN, REQUESTS - SLOW_REQUESTS_MIN);
  assert_in_range (with_reports, 0, SLOW_REQUESTS_MAX);
  assert_int_equal (metrics_status, 200);
  assert_non_null (strstr (metrics->str, "\nbj_route_slowness_calls_total"));
  assert_null (strstr (metrics->str, "\nbj_route_slowness_calls_total 0\n"));
  g_string_free (metrics, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_reports_reach_the_front) };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
