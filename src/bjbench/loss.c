// Scenario "domain-loss": callers of each domain use 0.8 of its capacity. All upstreams of one
// domain and their daemons are killed; its front daemon spills to the other domains.

#include "bjbench.h"
#include <string.h>

#define RATE_PER_DOMAIN 320 // actions/s, 0.8 of the capacity of two upstreams (8 slots, 40 ms)
#define DURATION_MS 14000
#define WARM_UP_MS 2500 // by then the slow start of the limiters is over
#define LOSS_MS 4000

static const LoadClass classes[] = {
  { .name = "north-a", .path = "/catalogue/prices", .share = 1, .domain = "north-a" },
  { .name = "north-b", .path = "/catalogue/prices", .share = 1, .domain = "north-b" },
  { .name = "south-a", .path = "/catalogue/prices", .share = 1, .domain = "south-a" },
  { .name = "south-b", .path = "/catalogue/prices", .share = 1, .domain = "south-b" },
};
static const LoadEvent events[] = {
  { .at_ms = LOSS_MS, .selector = "north-a" },
};

static double get_goodput (const LoadTrace *t, int klass, double from_ms, double to_ms);

int
scenario_domain_loss (int argc, char **argv)
{
  static LoadStats stats[G_N_ELEMENTS (classes)];
  FleetRun s;
  LoadTrace *t;
  double kept_min = 1; // lowest ratio of goodput after to before, of the other domains
  int code;
  LoadOptions o = {
    .classes = classes,
    .n_classes = G_N_ELEMENTS (classes),
    .rate = RATE_PER_DOMAIN * G_N_ELEMENTS (classes),
    .duration_ms = DURATION_MS,
    .nodes = &s.nodes,
    .events = events,
    .n_events = G_N_ELEMENTS (events),
  };

  if (!fleet_run_open ("domain-loss", argc, argv, &s, &code))
    return code;
  t = load_trace_new ();
  o.seed = s.seed;
  load_run (&o, stats, t);
  for (int i = 0; i < o.n_classes; i++)
    {
      double before = get_goodput (t, i, WARM_UP_MS, LOSS_MS);
      double after = get_goodput (t, i, LOSS_MS, DURATION_MS);
      LoadStats sum;

      load_trace_sum (t, i, LOSS_MS, DURATION_MS, &sum);
      figures_add (&s.figures, before, "%s_goodput_before", classes[i].name);
      figures_add (&s.figures, after, "%s_goodput_after", classes[i].name);
      figures_add (
          &s.figures, bj_hist_quantile (&sum.latency, 0.99), "%s_p99_after_ms", classes[i].name);
      if (strcmp (classes[i].name, events[0].selector) != 0)
        kept_min = MIN (kept_min, after / MAX (before, 1e-9));
    }
  figures_add (&s.figures, kept_min, "others_kept_min");
  load_trace_free (t);
  return fleet_run_close (&s);
}

// Returns the share of the actions started in the span that got a complete response.
static double
get_goodput (const LoadTrace *t, int klass, double from_ms, double to_ms)
{
  LoadStats sum;

  load_trace_sum (t, klass, from_ms, to_ms, &sum);
  return (double)sum.whole / (double)MAX (1, sum.actions);
}
