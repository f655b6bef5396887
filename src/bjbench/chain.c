// Scenario "deep-chain": a chain of six services. The last one is ten times slower for a while, and
// every upstream in the chain retries failed calls to the next service.

#include "bjbench.h"
#include <string.h>

#define CHAIN_LENGTH 6
#define ACTIONS_PER_S 150 // two upstreams of 8 slots handle 800/s at 20 ms and 80/s at 200 ms
#define DURATION_MS 12000
#define WARM_UP_MS 2500 // by then the slow start of the limiters is over
#define SLOW_FROM_MS 4000
#define SLOW_UNTIL_MS 8000
#define SETTLE_MS 2000 // goodput after the slow phase is reported separately for this time
#define SLOW_SERVICE_US 200000
#define NORMAL_SERVICE_US 20000
#define RETRIES_PER_CALL 3 // by each upstream, of a failed call to the next service

static const LoadClass classes[] = {
  { .name = "lookup", .path = "/hop1/step", .share = 1, .has_key = true, .domain = "north-a" },
};
static const LoadEvent events[] = {
  { .at_ms = 0, .selector = "north-a", .control = "retries", .value = RETRIES_PER_CALL },
  { .at_ms = SLOW_FROM_MS, .selector = "hop6", .control = "service_us", .value = SLOW_SERVICE_US },
  { .at_ms = SLOW_UNTIL_MS,
    .selector = "hop6",
    .control = "service_us",
    .value = NORMAL_SERVICE_US },
};

typedef struct
{
  uint64_t n;         // executions at all hops
  uint64_t n_failed;  // of these, executions of actions without a complete response
  int max_per_action; // most executions of one action at one hop
} Executions;

static void count_hop_executions (const FleetRun *s, const LoadTrace *t, int hop, Executions *e);
static double get_goodput (const LoadTrace *t, double from_ms, double to_ms);

int
scenario_deep_chain (int argc, char **argv)
{
  static LoadStats stats[G_N_ELEMENTS (classes)];
  Executions e = { 0 };
  FleetRun s;
  LoadTrace *t;
  int code;
  LoadOptions o = {
    .classes = classes,
    .n_classes = G_N_ELEMENTS (classes),
    .rate = ACTIONS_PER_S,
    .duration_ms = DURATION_MS,
    .nodes = &s.nodes,
    .events = events,
    .n_events = G_N_ELEMENTS (events),
  };

  if (!fleet_run_open ("deep-chain", argc, argv, &s, &code))
    return code;
  t = load_trace_new ();
  o.seed = s.seed;
  load_run (&o, stats, t);
  figures_add (&s.figures, get_goodput (t, WARM_UP_MS, SLOW_FROM_MS), "goodput_before");
  figures_add (&s.figures, get_goodput (t, SLOW_FROM_MS, SLOW_UNTIL_MS), "goodput_slow");
  figures_add (
      &s.figures, get_goodput (t, SLOW_UNTIL_MS, SLOW_UNTIL_MS + SETTLE_MS), "goodput_recovering");
  figures_add (
      &s.figures, get_goodput (t, SLOW_UNTIL_MS + SETTLE_MS, DURATION_MS), "goodput_after");
  for (int hop = 1; hop <= CHAIN_LENGTH; hop++)
    count_hop_executions (&s, t, hop, &e);
  figures_add (&s.figures, e.max_per_action, "executions_of_one_action_at_one_hop_max");
  figures_add (
      &s.figures, (double)e.n / (double)MAX (1, stats[0].actions), "executions_per_action");
  figures_add (
      &s.figures, (double)e.n_failed / (double)MAX (1, e.n), "executions_for_failed_share");
  load_trace_free (t);
  return fleet_run_close (&s);
}

static void
count_hop_executions (const FleetRun *s, const LoadTrace *t, int hop, Executions *e)
{
  GHashTable *counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char service[16];
  GHashTableIter i;
  gpointer key;
  gpointer count;

  g_snprintf (service, sizeof service, "hop%d", hop);
  fleet_run_add_executions (s, service, counts);
  g_hash_table_iter_init (&i, counts);
  while (g_hash_table_iter_next (&i, &key, &count))
    {
      int n = GPOINTER_TO_INT (count);
      int outcome = GPOINTER_TO_INT (g_hash_table_lookup (t->outcomes, key));

      e->n += (uint64_t)n;
      e->n_failed += outcome == 1 + BJ_DONE ? 0 : (uint64_t)n;
      e->max_per_action = MAX (e->max_per_action, n);
    }
  g_hash_table_destroy (counts);
}

// Returns the share of the actions started in the span that got a complete response.
static double
get_goodput (const LoadTrace *t, double from_ms, double to_ms)
{
  LoadStats sum;

  load_trace_sum (t, 0, from_ms, to_ms, &sum);
  return (double)sum.whole / (double)MAX (1, sum.actions);
}
