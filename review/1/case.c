// Case: the connection between two daemons is reset while requests run. A response larger than 4 KB
// that arrives before the connection is replaced is never passed on.

#include "../rig/rig.h"
#include <stdio.h>
#include <stdlib.h>

#define SLOTS 100
#define REQUESTS 90
#define SPACING_MS 4.0
#define WORK_MS 700
#define BYTES 5000           // mean response of quota-view
#define RESET_AFTER_MS 780.0 // from the first request; the first ones are answered by then
#define DEADLINE_MS 10000    // of quota-view
#define ONE_WAY_MS 30        // between two regions
#define CUT_MAX 3            // LOST allows three
#define CALM_MS 4500         // longer than contactS

static RigNode plots;
static RigNode bookings;
static RigBackend plots_backend;
static RigBackend bookings_backend;
static RigPath path;

static int count_lost (const RigClient *clients, int n, double reset_ms);
static bool has_run (const char *id);

int
main (int argc, char **argv)
{
  static RigClient clients[REQUESTS];
  double start_ms;
  double reset_ms;
  int n_lost;

  if (argc != 4)
    return 2;
  rig_open (argv[1], argv[2], argv[3]);
  rig_node_init (&plots, "side-delta-tanta-1", "delta-tanta", "plots");
  rig_node_init (&bookings, "side-upper-asyut-1", "upper-asyut", "bookings");
  rig_path_open (&path, &bookings, ONE_WAY_MS);
  rig_put_manifest (rig_manifest);
  rig_node_start (&plots);
  rig_node_start (&bookings);
  rig_backend_open (&plots_backend, &plots, "i-plots-1", SLOTS);
  rig_backend_open (&bookings_backend, &bookings, "i-bookings-1", SLOTS);
  rig_fill_fleet ();
  rig_warm_up (&plots, "/quota/warm", 10);
  for (int i = 0; i < REQUESTS; i++)
    {
      char id[RIG_TEXT];

      snprintf (id, sizeof id, "quota-%d", i);
      rig_client_open (&clients[i], &plots, id);
    }
  rig_sleep_until (rig_now_ms () + CALM_MS);
  start_ms = rig_now_ms ();
  reset_ms = start_ms + RESET_AFTER_MS;
  for (int i = 0; i < REQUESTS; i++)
    {
      char text[RIG_TEXT];

      snprintf (text, sizeof text, "/quota/%d?work=%d&bytes=%d", i, WORK_MS, BYTES);
      rig_sleep_until (start_ms + SPACING_MS * i);
      rig_client_send (&clients[i], "GET", text, DEADLINE_MS);
    }
  rig_sleep_until (reset_ms);
  if (rig_has_trouble ())
    rig_path_reset (&path);
  for (int i = 0; i < REQUESTS; i++)
    rig_client_join (&clients[i]);
  n_lost = count_lost (clients, REQUESTS, reset_ms);
  rig_record ("requests that ran and whose connection was closed without an answer: %d", n_lost);
  printf ("requests that ran and whose connection was closed without an answer: %d\n", n_lost);
  rig_close ();
  return n_lost > CUT_MAX;
}

// Counts those that were passed on before the reset and closed when both machines were in touch
// again.
static int
count_lost (const RigClient *clients, int n, double reset_ms)
{
  int n_lost = 0;

  for (int i = 0; i < n; i++)
    {
      const RigAnswer *a = &clients[i].answer;

      n_lost += a->is_closed && !a->is_complete && a->sent_ms < reset_ms
                && a->ended_ms > reset_ms + 4000 && has_run (clients[i].id);
    }
  return n_lost;
}

static bool
has_run (const char *id)
{
  static RigRun runs[RIG_RUNS_MAX];
  int n = rig_runs (runs, RIG_RUNS_MAX);

  for (int i = 0; i < n; i++)
    if (rig_same (runs[i].id, id) && runs[i].ended_ms > 0)
      return true;
  return false;
}
