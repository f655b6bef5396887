// Scenario "lying-load": one upstream sheds every call. At first all load reports are correct. Then
// they are 5 s old, the shedding upstream reports no load and a healthy one reports 1000 percent.

#include "bjbench.h"

#define ACTIONS_PER_S 640 // 0.8 of the capacity of the four upstreams that do not shed
#define DURATION_MS 13000
#define WARM_UP_MS 1500
#define FALSE_FROM_MS 6000
#define SETTLE_MS 1000 // after the false reports begin, not measured
#define REPORT_DELAY_MS 5000
#define CLAIMED_IDLE_PERCENT 0
#define CLAIMED_OVERLOAD_PERCENT 1000
#define SHEDDING "north-a-1"
#define HEALTHY "north-a-2"

static const LoadClass classes[] = {
  { .name = "lookup", .path = "/catalogue/prices", .share = 1, .domain = "north-a" },
};
static const LoadEvent events[] = {
  { .at_ms = 0, .selector = SHEDDING, .control = "shed", .value = 1 },
  { .at_ms = FALSE_FROM_MS,
    .selector = "catalogue",
    .control = "load_lag_ms",
    .value = REPORT_DELAY_MS },
  { .at_ms = FALSE_FROM_MS,
    .selector = SHEDDING,
    .control = "load_claim",
    .value = CLAIMED_IDLE_PERCENT },
  { .at_ms = FALSE_FROM_MS,
    .selector = HEALTHY,
    .control = "load_claim",
    .value = CLAIMED_OVERLOAD_PERCENT },
};

static double get_goodput (const LoadTrace *t, double from_ms, double to_ms, double *p99_ms);

int
scenario_lying_load (int argc, char **argv)
{
  static LoadStats stats[G_N_ELEMENTS (classes)];
  FleetRun s;
  LoadTrace *t;
  double truthful, lying, truthful_p99_ms, lying_p99_ms;
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

  if (!fleet_run_open ("lying-load", argc, argv, &s, &code))
    return code;
  t = load_trace_new ();
  o.seed = s.seed;
  load_run (&o, stats, t);
  truthful = get_goodput (t, WARM_UP_MS, FALSE_FROM_MS, &truthful_p99_ms);
  lying = get_goodput (t, FALSE_FROM_MS + SETTLE_MS, DURATION_MS, &lying_p99_ms);
  figures_add (&s.figures, truthful, "truthful_goodput");
  figures_add (&s.figures, lying, "lying_goodput");
  figures_add (&s.figures, lying / MAX (truthful, 1e-9), "lying_over_truthful");
  figures_add (&s.figures, truthful_p99_ms, "truthful_p99_ms");
  figures_add (&s.figures, lying_p99_ms, "lying_p99_ms");
  load_trace_free (t);
  return fleet_run_close (&s);
}

// Returns the share of the actions started in the span that got a complete response.
static double
get_goodput (const LoadTrace *t, double from_ms, double to_ms, double *p99_ms)
{
  LoadStats sum;

  load_trace_sum (t, 0, from_ms, to_ms, &sum);
  *p99_ms = bj_hist_quantile (&sum.latency, 0.99);
  return (double)sum.whole / (double)MAX (1, sum.actions);
}
