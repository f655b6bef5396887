// Scenario "cold-start": under load, one upstream joins and is slow at first; later another one
// fails.

#include "bjbench.h"
#include <string.h>

#define ACTIONS_PER_S 500 // 0.6 of the capacity of four upstreams with 8 slots and 40 ms
#define DURATION_MS 13000
#define MUTE_AT_MS 0    // the joining upstream stops announcing itself
#define JOIN_AT_MS 5000 // the joining upstream announces itself; older announcements have expired
#define FAIL_AT_MS 9500
#define FIRST_SPAN_MS 1000 // after the join or failure, reported separately
#define SAMPLE_MS 500
#define COLD_FOR_MS 2000 // calls on the joining upstream take ten times as long for this time
#define JOINING "north-a-1"
#define FAILING "north-a-2"

static const LoadClass classes[] = {
  { .name = "lookup", .path = "/catalogue/prices", .share = 1, .domain = "north-a" },
};
static const LoadEvent events[] = {
  { .at_ms = MUTE_AT_MS, .selector = JOINING, .control = "mute", .value = 1 },
  { .at_ms = JOIN_AT_MS, .selector = JOINING, .control = "cold_ms", .value = COLD_FOR_MS },
  { .at_ms = JOIN_AT_MS, .selector = JOINING, .control = "mute", .value = 0 },
  { .at_ms = FAIL_AT_MS, .selector = FAILING },
};

static void
add_span_figures (FleetRun *s, const LoadTrace *t, const char *name, double from_ms, double to_ms);
static double
get_execution_share (const FleetRun *s, const LoadTrace *t, const char *name, double from_ms);

int
scenario_cold_start (int argc, char **argv)
{
  static LoadStats stats[G_N_ELEMENTS (classes)];
  FleetRun s;
  LoadTrace *t;
  LoadStats sum;
  int code;
  LoadOptions o = {
    .classes = classes,
    .n_classes = G_N_ELEMENTS (classes),
    .rate = ACTIONS_PER_S,
    .duration_ms = DURATION_MS,
    .nodes = &s.nodes,
    .events = events,
    .n_events = G_N_ELEMENTS (events),
    .sample_ms = SAMPLE_MS,
  };

  if (!fleet_run_open ("cold-start", argc, argv, &s, &code))
    return code;
  t = load_trace_new ();
  o.seed = s.seed;
  load_run (&o, stats, t);
  add_span_figures (&s, t, "join_first_s", JOIN_AT_MS, JOIN_AT_MS + FIRST_SPAN_MS);
  add_span_figures (&s, t, "join_later", JOIN_AT_MS + FIRST_SPAN_MS, FAIL_AT_MS);
  add_span_figures (&s, t, "fail_first_s", FAIL_AT_MS, FAIL_AT_MS + FIRST_SPAN_MS);
  add_span_figures (&s, t, "fail_later", FAIL_AT_MS + FIRST_SPAN_MS, DURATION_MS);
  load_trace_sum (t, 0, JOIN_AT_MS, FAIL_AT_MS, &sum);
  figures_add (&s.figures, bj_hist_quantile (&sum.latency, 0.99), "join_p99_ms");
  for (int ms = 0; ms < FAIL_AT_MS - JOIN_AT_MS; ms += SAMPLE_MS)
    figures_add (&s.figures,
                 get_execution_share (&s, t, JOINING, JOIN_AT_MS + ms),
                 "joined_share_%04d_ms",
                 ms);
  load_trace_free (t);
  return fleet_run_close (&s);
}

static void
add_span_figures (FleetRun *s, const LoadTrace *t, const char *name, double from_ms, double to_ms)
{
  LoadStats sum;

  load_trace_sum (t, 0, from_ms, to_ms, &sum);
  figures_add (&s->figures, (double)sum.whole / (double)MAX (1, sum.actions), "%s_goodput", name);
  figures_add (&s->figures, (double)sum.not_run, "%s_refused", name);
  figures_add (&s->figures, (double)(sum.unknown + sum.broken), "%s_timeouts", name);
}

// Returns upstream name's share of all catalogue executions in the sample interval at from_ms.
static double
get_execution_share (const FleetRun *s, const LoadTrace *t, const char *name, double from_ms)
{
  int at = (int)(from_ms / SAMPLE_MS);
  int64_t own = 0;
  int64_t all = 0;

  for (int i = 0; i < s->nodes.n && at + 1 < t->n_samples; i++)
    {
      int64_t n = t->executions[i][at + 1] - t->executions[i][at];

      if (strcmp (s->nodes.nodes[i].service, "catalogue") != 0)
        continue;
      all += n;
      if (strcmp (s->nodes.nodes[i].name, name) == 0)
        own = n;
    }
  return (double)own / (double)MAX (1, all);
}
