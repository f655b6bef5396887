// Health: measures the share of runs on the own upstream that fail through its own fault. Other
// daemons learn it and prefer other upstreams while these have capacity. A run that fails because a
// nested call failed does not count, since that failure counts for the upstream called.

#include "kernel.h"
#include <math.h>

#define DECAY_MS 2000.0     // time constant of the decaying counts
#define PRIOR_GOOD_RUNS 4.0 // added to the good runs, so that few runs give no high rate

static void decay_counts (BjHealth *h, BjTime now);
static bool is_counted (const BjCall *c, BjStatus s);
static bool excuse_failed_run (BjHealth *h);
static bool is_own_failure (BjKernel *k, BjTime now, const BjCall *c, BjStatus s);

void
bj_health_count_run (BjKernel *k, BjTime now, const BjCall *c, BjStatus s)
{
  BjHealth *h = &k->guard.health;

  if (!is_counted (c, s))
    return;
  decay_counts (h, now);
  if (is_own_failure (k, now, c, s))
    h->n_failed++;
  else
    h->n_good++;
}

int
bj_health_failure_permille (BjKernel *k, BjTime now)
{
  BjHealth *h = &k->guard.health;

  decay_counts (h, now);
  return (int)lround (1000 * h->n_failed / (h->n_failed + h->n_good + PRIOR_GOOD_RUNS));
}

void
bj_health_report_nested_failure (BjKernel *k, const BjCall *c)
{
  const uint64_t *id = c->request.parent != 0 ? &c->request.parent : &c->matched_parent;
  BjCall *parent = *id != 0 ? g_hash_table_lookup (k->calls, id) : NULL;

  if (parent != NULL)
    parent->has_failed_nested_call = true;
  else if (c->is_front && bj_parent_is_called (k, c->route))
    k->guard.health.n_unmatched_failures++;
}

static void
decay_counts (BjHealth *h, BjTime now)
{
  double kept = exp ((h->decayed_at - now) / DECAY_MS);

  h->n_good *= kept;
  h->n_failed *= kept;
  h->n_unmatched_failures *= kept;
  h->decayed_at = now;
}

// Calls that were cancelled or lost their caller say nothing about the upstream.
static bool
is_counted (const BjCall *c, BjStatus s)
{
  return s != BJ_E_CANCELLED && !c->detached;
}

// A failed nested call whose parent is not known excuses one failed run.
static bool
excuse_failed_run (BjHealth *h)
{
  if (h->n_unmatched_failures < 1)
    return false;
  h->n_unmatched_failures--;
  return true;
}

static bool
is_own_failure (BjKernel *k, BjTime now, const BjCall *c, BjStatus s)
{
  switch (s)
    {
    case BJ_OK:
      return c->is_failed && !c->has_failed_nested_call && !excuse_failed_run (&k->guard.health);
    case BJ_E_LOST:
    case BJ_E_CRASHED:
    case BJ_E_BROKEN:
    case BJ_E_SHED:
      return true;
    case BJ_E_DEADLINE: // a run that started with too little time left says nothing
      return c->objective_ms > 0 && now - c->started >= c->objective_ms
             && !bj_parent_makes_calls (k, c->route);
    default:
      return false;
    }
}
