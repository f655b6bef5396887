// Case: a daemon that gets SIGTERM keeps reading requests from idle connections until its process
// ends at graceS, passes them on and cuts them.

#include "../rig/rig.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define SLOTS 24
#define REQUESTS 5          // of clients with an idle connection
#define GRACE_MS 6000.0     // graceS of the site
#define GAP_MS 2000.0       // between the two daemons that are stopped
#define FIRST_SENT_MS 1200  // to the first daemon, after its SIGTERM
#define SECOND_SENT_MS 2500 // to the second daemon, after the SIGTERM of the first one
#define LATE_SENT_MS 5300   // after the SIGTERM of the first one
#define DEADLINE_MS 10000   // of quota-view
#define CALM_MS 4500        // longer than contactS
#define MISSES_MAX 2        // a daemon that misses so many questions is out
#define MACHINES 2          // of the zone

static RigNode machines[MACHINES]; // all of the zone, the first one is stopped first
static RigNode bookings;
static RigBackend backends[MACHINES];
static RigBackend bookings_backend;
static int n_misses[MACHINES];

static void open_fleet (void);
static void stop_second (void);
static void *ask_ready (void *data);
static int count_in (void);
static int count_cut (const RigClient *clients, int n);
static bool was_passed_on (const char *id);

int
main (int argc, char **argv)
{
  RigClient clients[REQUESTS];
  RigClient first;
  RigClient second;
  double term_ms;
  int n_cut;

  if (argc != 4)
    return 2;
  rig_open (argv[1], argv[2], argv[3]);
  open_fleet ();
  rig_client_open (&first, &machines[0], "first");
  rig_client_open (&second, &machines[1], "second");
  for (int i = 0; i < REQUESTS; i++)
    {
      char id[RIG_TEXT];

      snprintf (id, sizeof id, "late-%d", i);
      rig_client_open (&clients[i], &machines[0], id);
    }
  term_ms = rig_now_ms ();
  if (rig_has_trouble ())
    rig_node_signal (&machines[0], SIGTERM);
  rig_sleep_until (term_ms + FIRST_SENT_MS);
  rig_client_send (&first, "GET", "/quota/first?work=4400", DEADLINE_MS);
  rig_sleep_until (term_ms + GAP_MS);
  stop_second ();
  rig_sleep_until (term_ms + SECOND_SENT_MS);
  rig_client_send (&second, "GET", "/quota/second?work=4400", DEADLINE_MS);
  rig_sleep_until (term_ms + LATE_SENT_MS);
  rig_record ("daemons of the zone that are in: %d of %d", count_in (), MACHINES);
  if (rig_has_trouble () && 2 * count_in () >= MACHINES)
    rig_give_up ("clients of the zone get no new work now");
  for (int i = 0; i < REQUESTS; i++)
    rig_client_send (&clients[i], "GET", "/quota/late?work=880", DEADLINE_MS);
  if (rig_has_trouble () && !rig_node_wait (&machines[0], term_ms + GRACE_MS - rig_now_ms ()))
    rig_node_signal (&machines[0], SIGKILL);
  for (int i = 0; i < REQUESTS; i++)
    rig_client_join (&clients[i]);
  rig_client_join (&first);
  rig_client_join (&second);
  n_cut = count_cut (clients, REQUESTS);
  rig_record ("requests that were passed on and cut: %d of %d", n_cut, REQUESTS);
  printf ("requests that were passed on and cut: %d of %d\n", n_cut, REQUESTS);
  rig_close ();
  return n_cut > 0;
}

static void
open_fleet (void)
{
  pthread_t platform;

  rig_node_init (&machines[0], "side-delta-tanta-1", "delta-tanta", "plots");
  rig_node_init (&machines[1], "side-delta-tanta-2", "delta-tanta", "plots");
  rig_node_init (&bookings, "side-delta-mansoura-1", "delta-mansoura", "bookings");
  rig_put_manifest (rig_manifest);
  for (int i = 0; i < MACHINES; i++)
    rig_node_start (&machines[i]);
  rig_node_start (&bookings);
  rig_backend_open (&backends[0], &machines[0], "i-plots-1", SLOTS);
  rig_backend_open (&backends[1], &machines[1], "i-plots-2", SLOTS);
  rig_backend_open (&bookings_backend, &bookings, "i-bookings-1", SLOTS);
  for (int i = 0; i < MACHINES; i++)
    rig_warm_up (&machines[i], "/quota/warm", 10);
  pthread_create (&platform, NULL, ask_ready, NULL);
  pthread_detach (platform);
  rig_sleep_until (rig_now_ms () + CALM_MS);
}

static void
stop_second (void)
{
  if (rig_has_trouble ())
    rig_node_signal (&machines[1], SIGTERM);
}

// The platform asks each daemon once a second.
static void *
ask_ready (void *data)
{
  (void)data;
  for (double next = rig_now_ms ();; next += 1000)
    {
      rig_sleep_until (next);
      for (int i = 0; i < MACHINES; i++)
        {
          n_misses[i] = rig_node_is_ready (&machines[i]) ? 0 : n_misses[i] + 1;
          if (n_misses[i] > 0)
            rig_record ("machine %s misses GET /ready", machines[i].name);
        }
    }
  return NULL;
}

static int
count_in (void)
{
  int n = 0;

  for (int i = 0; i < MACHINES; i++)
    n += n_misses[i] < MISSES_MAX;
  return n;
}

static int
count_cut (const RigClient *clients, int n)
{
  int n_cut = 0;

  for (int i = 0; i < n; i++)
    n_cut += clients[i].answer.is_closed && !clients[i].answer.is_complete
             && was_passed_on (clients[i].id);
  return n_cut;
}

static bool
was_passed_on (const char *id)
{
  static RigRun runs[RIG_RUNS_MAX];
  int n = rig_runs (runs, RIG_RUNS_MAX);

  for (int i = 0; i < n; i++)
    if (rig_same (runs[i].id, id))
      return true;
  return false;
}
