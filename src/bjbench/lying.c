// Scenario "lying-load": one upstream sheds everything. First all reports are truthful; then they
// come late, the shedding upstream claims to be idle and a well one claims to be sick.

#include "bjbench.h"

#define RATE 640 // actions a second, 0.8 of the four upstreams that do not shed
#define DURATION_MS 13000
#define WARM_MS 1500
#define LIE_MS 6000
#define SETTLE_MS 1000 // after the lies begin
#define LAG_MS 5000
#define IDLE_PERCENT 0
#define SICK_PERCENT 1000
#define SHEDDING "north-a-1"
#define WELL "north-a-2"

static const LoadClass classes[] = {
  { .name = "lookup", .path = "/catalogue/prices", .share = 1, .domain = "north-a" },
};
static const LoadEvent events[] = {
  { .at_ms = 0, .what = SHEDDING, .control = "shed", .value = 1 },
  { .at_ms = LIE_MS, .what = "catalogue", .control = "load_lag_ms", .value = LAG_MS },
  { .at_ms = LIE_MS, .what = SHEDDING, .control = "load_claim", .value = IDLE_PERCENT },
  { .at_ms = LIE_MS, .what = WELL, .control = "load_claim", .value = SICK_PERCENT },
};

static double goodput (const LoadTrace *t, double from_ms, double to_ms, double *p99_ms);

int
scenario_lying_load (int argc, char **argv)
{
  static LoadStats stats[G_N_ELEMENTS (classes)];
  Scene s;
  LoadTrace *t;
  double truthful, lying, truthful_p99_ms, lying_p99_ms;
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

  if (!scene_open ("lying-load", argc, argv, &s, &code))
    return code;
  t = load_trace_new ();
  o.seed = s.seed;
  load_run (&o, stats, t);
  truthful = goodput (t, WARM_MS, LIE_MS, &truthful_p99_ms);
  lying = goodput (t, LIE_MS + SETTLE_MS, DURATION_MS, &lying_p99_ms);
  figure (&s.figures, truthful, "truthful_goodput");
  figure (&s.figures, lying, "lying_goodput");
  figure (&s.figures, lying / MAX (truthful, 1e-9), "lying_over_truthful");
  figure (&s.figures, truthful_p99_ms, "truthful_p99_ms");
  figure (&s.figures, lying_p99_ms, "lying_p99_ms");
  load_trace_free (t);
  return scene_close (&s);
}

static double
goodput (const LoadTrace *t, double from_ms, double to_ms, double *p99_ms)
{
  LoadStats sum;

  load_trace_sum (t, 0, from_ms, to_ms, &sum);
  *p99_ms = bj_hist_quantile (&sum.latency, 0.99);
  return (double)sum.whole / (double)MAX (1, sum.actions);
}
