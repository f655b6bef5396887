// Scenario "cold-start": one upstream joins cold under load, later one fails.

#include "bjbench.h"
#include <string.h>

#define RATE 500 // actions a second, 0.6 of four upstreams of 8 slots and 40 ms
#define DURATION_MS 13000
#define MUTE_MS 0
#define JOIN_MS 5000 // the silent upstream is forgotten by then
#define FAIL_MS 9500
#define GRACE_MS 1000 // after the join or failure
#define SAMPLE_MS 500
#define COLD_MS 2000 // calls take ten times as long
#define JOINING "north-a-1"
#define FAILING "north-a-2"

static const LoadClass classes[] = {
  { .name = "lookup", .path = "/catalogue/prices", .share = 1, .domain = "north-a" },
};
static const LoadEvent events[] = {
  { .at_ms = MUTE_MS, .what = JOINING, .control = "mute", .value = 1 },
  { .at_ms = JOIN_MS, .what = JOINING, .control = "cold_ms", .value = COLD_MS },
  { .at_ms = JOIN_MS, .what = JOINING, .control = "mute", .value = 0 },
  { .at_ms = FAIL_MS, .what = FAILING },
};

static void
figure_span (Scene *s, const LoadTrace *t, const char *name, double from_ms, double to_ms);
static double share (const Scene *s, const LoadTrace *t, const char *name, double from_ms);

int
scenario_cold_start (int argc, char **argv)
{
  static LoadStats stats[G_N_ELEMENTS (classes)];
  Scene s;
  LoadTrace *t;
  LoadStats sum;
  int code;
  LoadOptions o = {
    .classes = classes,
    .n_classes = G_N_ELEMENTS (classes),
    .rate = RATE,
    .duration_ms = DURATION_MS,
    .nodes = &s.nodes,
    .events = events,
    .n_events = G_N_ELEMENTS (events),
    .sample_ms = SAMPLE_MS,
  };

  if (!scene_open ("cold-start", argc, argv, &s, &code))
    return code;
  t = load_trace_new ();
  o.seed = s.seed;
  load_run (&o, stats, t);
  figure_span (&s, t, "join_first_s", JOIN_MS, JOIN_MS + GRACE_MS);
  figure_span (&s, t, "join_later", JOIN_MS + GRACE_MS, FAIL_MS);
  figure_span (&s, t, "fail_first_s", FAIL_MS, FAIL_MS + GRACE_MS);
  figure_span (&s, t, "fail_later", FAIL_MS + GRACE_MS, DURATION_MS);
  load_trace_sum (t, 0, JOIN_MS, FAIL_MS, &sum);
  figure (&s.figures, bj_hist_quantile (&sum.latency, 0.99), "join_p99_ms");
  for (int ms = 0; ms < FAIL_MS - JOIN_MS; ms += SAMPLE_MS)
    figure (&s.figures, share (&s, t, JOINING, JOIN_MS + ms), "joined_share_%04d_ms", ms);
  load_trace_free (t);
  return scene_close (&s);
}

static void
figure_span (Scene *s, const LoadTrace *t, const char *name, double from_ms, double to_ms)
{
  LoadStats sum;

  load_trace_sum (t, 0, from_ms, to_ms, &sum);
  figure (&s->figures, (double)sum.whole / (double)MAX (1, sum.actions), "%s_goodput", name);
  figure (&s->figures, (double)sum.not_run, "%s_refused", name);
  figure (&s->figures, (double)(sum.unknown + sum.broken), "%s_timeouts", name);
}

// Share of the executions of its service that an upstream had in one sample's span.
static double
share (const Scene *s, const LoadTrace *t, const char *name, double from_ms)
{
  int at = (int)(from_ms / SAMPLE_MS);
  int64_t own = 0;
  int64_t all = 0;

  for (int i = 0; i < s->nodes.n && at + 1 < t->n_samples; i++)
    {
      int64_t n = t->runs[i][at + 1] - t->runs[i][at];

      if (strcmp (s->nodes.nodes[i].service, "catalogue") != 0)
        continue;
      all += n;
      if (strcmp (s->nodes.nodes[i].name, name) == 0)
        own = n;
    }
  return (double)own / (double)MAX (1, all);
}
