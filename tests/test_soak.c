// Soak: faults at random, in series and overlapping, between real processes under load. What
// callers were told, what upstreams ran and what the store holds is checked in the end.
//
//   test_soak                  the seeds of CI, and every seed that ever failed
//   test_soak SEED SECONDS [NODES]   one run; seed 0 draws one and prints it

#include "callers.h"
#include <curl/curl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define NODES_MIN 2
#define NODES_DEFAULT 6
#define STEP_MS 250      // between two decisions
#define FAULTS_MAX 3     // at once
#define FAULT_MIN_MS 300 // shortest fault
#define FAULT_MAX_MS 4000
#define CALM_MS 15000 // for everything to serve again after the last fault
#define CI_SECONDS 6

static const char ticket[]
    = "{\"number\":1,\"base\":0,\"priorities\":[\"acceptance\",\"lookup\"],\"services\":{"
      "\"orders\":{\"routes\":[{\"prefix\":\"/orders/accept\",\"class\":\"acceptance\","
      "\"irreversible\":true,\"deadline_ms\":800},"
      "{\"prefix\":\"/orders/\",\"class\":\"lookup\",\"deadline_ms\":800}]}}}";

typedef struct
{
  uint32_t seed;
  int seconds;
  int nodes;
  const char *why; // it is here
} SoakSeed;

static const SoakSeed seeds[] = {
  { 1, CI_SECONDS, NODES_DEFAULT, "kept for CI" },
};

static Fleet fleet;
static int64_t ticket_number;

typedef void (*Fault) (int node, bool begin);

static void
kill_daemon (int node, bool begin)
{
  if (begin)
    fleet_end (&fleet.members[node].daemon, SIGKILL);
  else
    fleet_start_daemon (&fleet, node);
}

// Told to stop, twice, and started again once it is gone.
static void
stop_daemon (int node, bool begin)
{
  FleetMember *m = &fleet.members[node];

  if (begin)
    {
      kill (m->daemon, SIGTERM);
      kill (m->daemon, SIGTERM);
      return;
    }
  if (fleet_wait_exit (&m->daemon, 40000) != 0)
    fleet_end (&m->daemon, SIGKILL);
  fleet_start_daemon (&fleet, node);
}

static void
pause_daemon (int node, bool begin)
{
  kill (fleet.members[node].daemon, begin ? SIGSTOP : SIGCONT);
}

static void
hang_up_daemon (int node, bool begin)
{
  (void)begin;
  kill (fleet.members[node].daemon, SIGHUP);
}

static void
kill_upstream (int node, bool begin)
{
  if (begin)
    fleet_end (&fleet.members[node].upstream, SIGKILL);
  else
    fleet_start_upstream (&fleet, node);
}

static void
link_fault (int node, const char *mode, double value)
{
  char tag[96];

  g_snprintf (tag, sizeof tag, "link-%s", fleet.members[node].node.domain);
  fleet_fault (&fleet, tag, "*", mode, value);
}

static void
cut_links (int node, bool begin)
{
  link_fault (node, begin ? "cut" : "ok", 0);
}

static void
cut_one_way (int node, bool begin)
{
  link_fault (node, begin ? "oneway" : "ok", 0);
}

static void
silence_links (int node, bool begin)
{
  if (begin)
    link_fault (node, "silence", 1);
}

static void
reset_links (int node, bool begin)
{
  if (begin)
    link_fault (node, "reset", 1);
}

static void
delay_links (int node, bool begin)
{
  link_fault (node, begin ? "delay" : "ok", 50);
}

static void
lose_runs (int node, bool begin)
{
  char tag[96];

  g_snprintf (tag, sizeof tag, "upstream-%s", fleet.members[node].node.name);
  fleet_fault (&fleet, tag, "*", begin ? "lose" : "ok", 3);
}

static void
cut_store (int node, bool begin)
{
  char tag[96];

  g_snprintf (tag, sizeof tag, "platform-%s", fleet.members[node].node.domain);
  fleet_fault (&fleet, tag, "*", begin ? "cut" : "ok", 0);
}

static void
control_store (const char *what, int value)
{
  char path[64];

  g_snprintf (path, sizeof path, "/control/%s?value=%d", what, value);
  fleet_http ("POST", fleet.platform_port, path, NULL, "", NULL);
}

static void
store_down (int node, bool begin)
{
  (void)node;
  control_store ("outage", begin);
}

static void
store_slow (int node, bool begin)
{
  (void)node;
  control_store ("delay_ms", begin ? 300 : 0);
}

static void
store_loses (int node, bool begin)
{
  (void)node;
  control_store ("lose_answers", begin ? 10 : 0);
}

typedef struct
{
  const char *name;
  Fault fault;
  bool takes_daemon; // one at a time on a node
  bool is_shared;    // one at a time in the fleet
} FaultKind;

static const FaultKind kinds[] = {
  { "daemon killed", kill_daemon, true, false },
  { "daemon stopped", stop_daemon, true, false },
  { "daemon paused", pause_daemon, true, false },
  { "settings read again", hang_up_daemon, true, false },
  { "upstream killed", kill_upstream, true, false },
  { "links cut", cut_links, false, true },
  { "links cut one way", cut_one_way, false, true },
  { "links silent", silence_links, false, true },
  { "links reset", reset_links, false, true },
  { "links slow", delay_links, false, true },
  { "answers of runs lost", lose_runs, false, true },
  { "store cut off", cut_store, false, true },
  { "store down", store_down, false, true },
  { "store slow", store_slow, false, true },
  { "store loses answers", store_loses, false, true },
};

typedef struct
{
  const FaultKind *kind;
  int node;
  BjTime until;
} Running;

static bool
is_free (const Running *running, const FaultKind *k, int node)
{
  for (int i = 0; i < FAULTS_MAX; i++)
    if (running[i].kind != NULL
        && (running[i].kind == k
            || (k->takes_daemon && running[i].kind->takes_daemon && running[i].node == node)))
      return false;
  return true;
}

static void
begin_fault (GRand *rand, Running *running, Running *r, BjTime now)
{
  const FaultKind *k = &kinds[g_rand_int_range (rand, 0, G_N_ELEMENTS (kinds))];
  int node = g_rand_int_range (rand, 0, fleet.n);

  if (!is_free (running, k, node))
    return;
  *r = (Running){ k, node, now + g_rand_int_range (rand, FAULT_MIN_MS, FAULT_MAX_MS) };
  print_message ("    %s at %s\n", k->name, fleet.members[node].node.name);
  k->fault (node, true);
}

static void
end_faults (Running *running, BjTime now)
{
  for (int i = 0; i < FAULTS_MAX; i++)
    if (running[i].kind != NULL && now >= running[i].until)
      {
        running[i].kind->fault (running[i].node, false);
        running[i].kind = NULL;
      }
}

// A ticket is filed while faults last; it must never be undone.
static void
file_next (void)
{
  char text[512];
  int64_t number = ticket_number + 1;

  g_snprintf (text,
              sizeof text,
              "{\"number\":%" G_GINT64_FORMAT ",\"base\":%" G_GINT64_FORMAT "%s",
              number,
              ticket_number,
              strchr (ticket + 1, ',') + strlen (",\"base\":0"));
  if (fleet_file_ticket (&fleet, text))
    ticket_number = number;
}

static void
note_tickets (void)
{
  for (int i = 0; i < fleet.n; i++)
    {
      GString *out = g_string_new (NULL);

      if (fleet.members[i].daemon != 0
          && fleet_http ("GET", fleet.members[i].admin_port, "/v1/status", NULL, NULL, out) == 200
          && fleet_number (out->str, "ticket") > 0)
        checker_ticket (callers_record.checker,
                        fleet.members[i].node.name,
                        (int64_t)fleet_number (out->str, "ticket"));
      g_string_free (out, TRUE);
    }
}

static int
check (uint32_t seed)
{
  char path[512];
  GString *out = g_string_new (NULL);
  int total;

  g_snprintf (path, sizeof path, "%s/" FLEET_RECORD, fleet.dir);
  assert_true (checker_runs (callers_record.checker, path));
  total = checker_finish (callers_record.checker, NULL, out);
  print_message ("  seed %u: %d done, %d not-run, %d unknown, %d breaches\n",
                 seed,
                 callers_record.n_done,
                 callers_record.n_not_run,
                 callers_record.n_unknown,
                 total);
  if (total > 0)
    print_error ("%s", out->str);
  g_string_free (out, TRUE);
  return total;
}

static void
start_fleet (int n)
{
  FleetNode *nodes = g_new0 (FleetNode, n);

  for (int i = 0; i < n; i++)
    {
      // The proxy tells traffic apart by domain, so each node is one.
      g_snprintf (nodes[i].domain, sizeof nodes[i].domain, "d%d", i);
      g_snprintf (nodes[i].name, sizeof nodes[i].name, "d%d-orders", i);
      g_strlcpy (nodes[i].region, i < n / 2 ? "north" : "south", sizeof nodes[i].region);
      g_strlcpy (nodes[i].service, "orders", sizeof nodes[i].service);
      nodes[i].slots = 32;
      nodes[i].service_ms = 5;
    }
  fleet_init (&fleet, nodes, n);
  g_free (nodes);
  fleet.use_fault = true;
  ticket_number = 1;
  assert_true (fleet_start (&fleet));
  assert_true (fleet_file_ticket (&fleet, ticket));
  assert_true (fleet_wait_ticket (&fleet, 1, 10000));
}

static int
soak (const SoakSeed *s)
{
  GRand *rand = g_rand_new_with_seed (s->seed);
  Running running[FAULTS_MAX] = { 0 };
  GThread *threads[CALLERS];
  Caller callers[CALLERS];
  BjTime end;
  int total;

  print_message ("  seed %u, %d s, %d nodes: %s\n", s->seed, s->seconds, s->nodes, s->why);
  start_fleet (s->nodes);
  callers_record.n_done = callers_record.n_not_run = callers_record.n_unknown = 0;
  callers_record.checker = checker_new ();
  callers_begin (&fleet, threads, callers, s->seed % 2 == 1);
  end = bj_clock_now () + s->seconds * 1000.0;
  while (bj_clock_now () < end)
    {
      Running *r = &running[g_rand_int_range (rand, 0, FAULTS_MAX)];

      g_usleep (STEP_MS * 1000);
      end_faults (running, bj_clock_now ());
      note_tickets ();
      if (r->kind == NULL)
        begin_fault (rand, running, r, bj_clock_now ());
      if (g_rand_int_range (rand, 0, 8) == 0)
        file_next ();
    }
  end_faults (running, BJ_TIME_NEVER);
  callers_end (threads);
  assert_true (fleet_until (callers_are_served, &fleet, CALM_MS));
  assert_true (fleet_wait_ticket (&fleet, ticket_number, CALM_MS));
  note_tickets ();
  total = check (s->seed);
  checker_free (callers_record.checker);
  callers_record.checker = NULL;
  fleet_stop (&fleet);
  g_rand_free (rand);
  return total;
}

static void
test_seeds (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
    assert_int_equal (soak (&seeds[i]), 0);
}

static SoakSeed asked;

static void
test_asked (void **state)
{
  (void)state;
  assert_int_equal (soak (&asked), 0);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest kept[] = { cmocka_unit_test (test_seeds) };
  const struct CMUnitTest one[] = { cmocka_unit_test (test_asked) };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (argc < 3)
    return cmocka_run_group_tests (kept, NULL, NULL);
  asked = (SoakSeed){ (uint32_t)atoll (argv[1]), atoi (argv[2]), NODES_DEFAULT, "asked for" };
  if (argc > 3)
    asked.nodes = CLAMP (atoi (argv[3]), NODES_MIN, FLEET_NODES_MAX);
  if (asked.seed == 0)
    asked.seed = g_random_int ();
  return cmocka_run_group_tests (one, NULL, NULL);
}
