// Spill: calls from other failure domains that the guard lets in. They get a share of what equally
// or more important calls of the own domain leave free on average, and wait only before less
// important ones, so that the overload of one domain does not sink the next.

#include "kernel.h"
#include <math.h>

#define RETURNS_MAX 3   // daemons of other domains that may refuse one call at no cost
#define AVERAGE_MS 1000 // over which calls of the own domain are spill_smoothed_at

static void average (BjGuard *g, BjTime now);

bool
bj_spill_admit (BjKernel *k, BjTime now, int klass)
{
  BjGuard *g = &k->guard;
  const BjSpillCounts *s = &g->spill[klass];
  int limit;

  if (g->limiter == NULL)
    return false;
  limit = bj_guard_limit (k, now);
  if (s->own + s->spilled + g->queue->ops->waiting (g->queue, klass) >= limit)
    return false;
  average (g, now);
  return s->spilled < (limit - s->own_smoothed) * BJ_SPILL_SHARE;
}

bool
bj_spill_may_reroute (const BjKernel *k, const BjCall *c)
{
  return c->n_tried <= RETURNS_MAX && c->target != NULL
         && (c->service->router->ops->pools_region
             || !bj_str_equal (c->target->report.domain, k->self->report.domain));
}

void
bj_spill_count (BjKernel *k, BjTime now, const BjCall *c, int change)
{
  average (&k->guard, now);
  for (int i = c->klass; i < BJ_CLASSES; i++)
    *(c->request.is_spilled ? &k->guard.spill[i].spilled : &k->guard.spill[i].own) += change;
}

// Call before the counts change.
static void
average (BjGuard *g, BjTime now)
{
  double weight = exp (-(now - g->spill_smoothed_at) / AVERAGE_MS);

  for (int i = 0; i < BJ_CLASSES; i++)
    g->spill[i].own_smoothed = g->spill[i].own_smoothed * weight + g->spill[i].own * (1 - weight);
  g->spill_smoothed_at = now;
}
