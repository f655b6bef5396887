// Scenario "deep-chain": a chain of six services; the deepest slows tenfold for a while and every
// upstream on the way sends a failed deeper call again.

#include "bjbench.h"
#include <string.h>

#define DEPTH 6
#define RATE 150 // actions a second; two upstreams of 8 slots carry 800 at 20 ms, 80 at 200 ms
#define DURATION_MS 12000
#define WARM_MS 2500 // the slow start of the limiters is over
#define SLOW_MS 4000
#define RECOVER_MS 8000
#define SETTLE_MS 2000 // after the recovery
#define SLOW_US 200000
#define NORMAL_US 20000
#define RETRIES 3 // of a deeper call by each upstream

static const LoadClass classes[] = {
  { .name = "lookup", .path = "/hop1/step", .share = 1, .has_key = true, .domain = "north-a" },
};
static const LoadEvent events[] = {
  { .at_ms = 0, .what = "north-a", .control = "retries", .value = RETRIES },
  { .at_ms = SLOW_MS, .what = "hop6", .control = "service_us", .value = SLOW_US },
  { .at_ms = RECOVER_MS, .what = "hop6", .control = "service_us", .value = NORMAL_US },
};

typedef struct
{
  uint64_t n;        // over all hops
  uint64_t n_failed; // of these, for actions without a whole answer
  int most_of_one;   // of one action at one hop
} Executions;

static void count_hop (const Scene *s, const LoadTrace *t, int hop, Executions *e);
static double goodput (const LoadTrace *t, double from_ms, double to_ms);

int
scenario_deep_chain (int argc, char **argv)
{
  static LoadStats stats[G_N_ELEMENTS (classes)];
  Executions e = { 0 };
  Scene s;
  LoadTrace *t;
  int code;
  LoadOptions o = {
    .classes = classes,
    .n_classes = G_N_ELEMENTS (classes),
    .rate = RATE,
    .duration_ms = DURATION_MS,
    .nodes = &s.nodes,
    .events = events,
    .n_events = G_N_ELEMENTS (events),
  };

  if (!scene_open ("deep-chain", argc, argv, &s, &code))
    return code;
  t = load_trace_new ();
  o.seed = s.seed;
  load_run (&o, stats, t);
  figure (&s.figures, goodput (t, WARM_MS, SLOW_MS), "goodput_before");
  figure (&s.figures, goodput (t, SLOW_MS, RECOVER_MS), "goodput_slow");
  figure (&s.figures, goodput (t, RECOVER_MS, RECOVER_MS + SETTLE_MS), "goodput_recovering");
  figure (&s.figures, goodput (t, RECOVER_MS + SETTLE_MS, DURATION_MS), "goodput_after");
  for (int hop = 1; hop <= DEPTH; hop++)
    count_hop (&s, t, hop, &e);
  figure (&s.figures, e.most_of_one, "executions_of_one_action_at_one_hop_max");
  figure (&s.figures, (double)e.n / (double)MAX (1, stats[0].actions), "executions_per_action");
  figure (&s.figures, (double)e.n_failed / (double)MAX (1, e.n), "executions_for_failed_share");
  load_trace_free (t);
  return scene_close (&s);
}

static void
count_hop (const Scene *s, const LoadTrace *t, int hop, Executions *e)
{
  GHashTable *counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char service[16];
  GHashTableIter i;
  gpointer key;
  gpointer count;

  g_snprintf (service, sizeof service, "hop%d", hop);
  scene_executions (s, service, counts);
  g_hash_table_iter_init (&i, counts);
  while (g_hash_table_iter_next (&i, &key, &count))
    {
      int n = GPOINTER_TO_INT (count);
      int outcome = GPOINTER_TO_INT (g_hash_table_lookup (t->outcomes, key));

      e->n += (uint64_t)n;
      e->n_failed += outcome == 1 + BJ_DONE ? 0 : (uint64_t)n;
      e->most_of_one = MAX (e->most_of_one, n);
    }
  g_hash_table_destroy (counts);
}

static double
goodput (const LoadTrace *t, double from_ms, double to_ms)
{
  LoadStats sum;

  load_trace_sum (t, 0, from_ms, to_ms, &sum);
  return (double)sum.whole / (double)MAX (1, sum.actions);
}
