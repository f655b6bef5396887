// Upstreams that name a rate, or say that they leave, while their daemons are restarted or paused,
// with real processes. What a daemon has passed on must hold at the daemon beside the upstream also
// after that daemon has lost its memory.

#include "fleet.h"
#include <curl/curl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define FRONT 0          // members: daemon without an upstream, which gets all requests
#define LIMITED 1        // its upstream names a rate or leaves
#define SLOTS "200"      // of each upstream
#define WINDOW_S 4       // span in which the requests at an upstream are counted
#define EXCESS_SHARE 1.5 // requests allowed in a window, as a multiple of the named rate
#define EXCESS_CALLS 5   // requests allowed beyond that
#define LEARN_US 1000000 // from the first response with a signal until the daemon is ended
#define DRAIN_US 2500000 // from the first response that says so until no request may arrive
#define DOWN_US 500000   // between the end of a daemon and its start
#define AFTER_US 4500000 // load goes on after the daemon is back
#define LOAD_SECONDS "9"
#define SERVED_SHARE 0.99 // of the requests, while another upstream has room for all of them

typedef struct
{
  const char *name;
  int signal_number; // that ends or pauses the daemon beside the upstream, 0 for none
  const char *service_ms;
  int rate;       // requests a second that the upstream names, -1 if it leaves
  bool has_other; // another upstream of the service has room for everything
} RestartCase;

static const RestartCase cases[] = {
  { "rate, one of two upstreams, no fault", 0, "20", 10, true },
  { "rate, daemon killed", SIGKILL, "1500", 10, false },
  { "rate, daemon stopped", SIGTERM, "1500", 10, false },
  { "rate, daemon paused", SIGSTOP, "1500", 10, false },
  { "leaving, daemon killed", SIGKILL, "1000", -1, true },
  { "leaving, daemon stopped", SIGTERM, "1000", -1, true },
};

static Fleet fleet;

static const char ticket[]
    = "{\"number\":1,\"base\":0,\"priorities\":[\"all\"],\"services\":{\"plans\":{"
      "\"limiter\":{\"plugin\":\"slots\"},\"router\":{\"plugin\":\"least-wait\"},"
      "\"routes\":[{\"prefix\":\"/plans/\",\"class\":\"all\",\"deadline_ms\":5000}]}}}";

static void
start_fleet (const RestartCase *c)
{
  static const char *const formats[] = { "front:a:north::1:1",
                                         "limited:a:north:plans:" SLOTS ":%s",
                                         "other:a:north:plans:" SLOTS ":%s" };
  FleetNode nodes[3] = { 0 };
  int n = c->has_other ? 3 : 2;

  for (int i = 0; i < n; i++)
    {
      char text[FLEET_TEXT_MAX * 2];

      if (i == FRONT)
        {
          g_strlcpy (nodes[i].name, "front", FLEET_TEXT_MAX);
          g_strlcpy (nodes[i].domain, "a", FLEET_TEXT_MAX);
          g_strlcpy (nodes[i].region, "north", FLEET_TEXT_MAX);
          continue;
        }
      g_snprintf (text, sizeof text, formats[i], c->service_ms);
      assert_true (fleet_parse_node (text, &nodes[i]));
    }
  fleet_init (&fleet, nodes, n);
  assert_true (fleet_start (&fleet));
  assert_true (fleet_file_ticket (&fleet, ticket));
  assert_true (fleet_wait_ticket (&fleet, 1, 10000));
}

static gpointer
run_load (gpointer out)
{
  char target[32];
  char *const argv[] = { BJ_BUILD_DIR "/bjbench",
                         "load",
                         "--target",
                         target,
                         "--rate",
                         "150",
                         "--seconds",
                         LOAD_SECONDS,
                         "--seed",
                         "5",
                         "--resends",
                         "0",
                         "--class",
                         "all:/plans/x:1",
                         NULL };

  g_snprintf (target, sizeof target, "127.0.0.1:%d", fleet.members[FRONT].front_port);
  fleet_run_program (argv, out);
  return NULL;
}

static void
control_limited (const char *what, int value)
{
  char path[64];

  g_snprintf (path, sizeof path, "/control/%s?value=%d", what, value);
  assert_int_equal (fleet_http ("POST", fleet.members[LIMITED].upstream_port, path, NULL, "", NULL),
                    200);
}

static int
read_arrivals (const char *what)
{
  GString *out = g_string_new (NULL);
  int n;

  assert_int_equal (
      fleet_http (
          "GET", fleet.members[LIMITED].upstream_port, "/control/arrivals", NULL, NULL, out),
      200);
  n = (int)fleet_json_number (out->str, what);
  g_string_free (out, TRUE);
  return n;
}

static void
restart_daemon (int signal_number)
{
  FleetMember *m = &fleet.members[LIMITED];

  if (signal_number == 0)
    return;
  if (signal_number == SIGSTOP)
    kill (m->daemon, SIGSTOP);
  else
    fleet_end_process (&m->daemon, signal_number);
  g_usleep (DOWN_US);
  if (signal_number == SIGSTOP)
    kill (m->daemon, SIGCONT);
  else
    fleet_start_daemon (&fleet, LIMITED);
}

static double
read_load_value (const GString *out, const char *key)
{
  const char *at = strstr (out->str, key);

  return at != NULL ? g_ascii_strtod (at + strlen (key), NULL) : -1;
}

// Requests beyond those allowed, 0 if none.
static int
count_excess (const RestartCase *c, int n_before_restart)
{
  int allowed = (int)(EXCESS_SHARE * c->rate * WINDOW_S) + EXCESS_CALLS;
  int n;

  if (c->rate < 0)
    {
      n = read_arrivals ("requests") - n_before_restart;
      print_message ("  %s: %d requests after the restart, 0 allowed\n", c->name, n);
      return n;
    }
  n = read_arrivals ("most");
  print_message ("  %s: %d requests in %d s, %d allowed\n", c->name, n, WINDOW_S, allowed);
  return MAX (0, n - allowed);
}

static bool
run_case (const RestartCase *c)
{
  GString *out = g_string_new (NULL);
  GThread *load;
  int n_before = 0;
  bool ok;

  start_fleet (c);
  // Named before the load begins: requests that are under way when a rate is first named don't
  // count.
  control_limited (c->rate >= 0 ? "rate_milli" : "leaving", c->rate >= 0 ? c->rate * 1000 : 1);
  fleet_http ("GET", fleet.members[FRONT].front_port, "/plans/first", NULL, NULL, NULL);
  load = g_thread_new ("load", run_load, out);
  g_usleep (c->rate >= 0 ? LEARN_US : DRAIN_US);
  if (c->rate < 0)
    n_before = read_arrivals ("requests");
  restart_daemon (c->signal_number);
  g_usleep (AFTER_US);
  ok = count_excess (c, n_before) == 0;
  g_thread_join (load);
  if (c->signal_number == 0)
    {
      double share = read_load_value (out, "all_whole=") / read_load_value (out, "all_requests=");

      print_message ("  %s: %.3f of the requests served\n", c->name, share);
      ok = ok && share >= SERVED_SHARE;
    }
  fleet_stop (&fleet);
  g_string_free (out, TRUE);
  return ok;
}

static void
test_restarted_daemon_forgets_what_its_upstream_said (void **state)
{
  int n_failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    n_failed += !run_case (&cases[i]);
  assert_int_equal (n_failed, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_restarted_daemon_forgets_what_its_upstream_said) };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
