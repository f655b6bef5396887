// Spill: admits calls from other failure domains. They may use a share of the slots that the own
// domain's calls of the same or a more important class leave free on average, but none while calls
// of these classes, running or queued, fill the limit. This keeps the overload of one domain from
// spreading to the next.

#include "kernel.h"
#include <math.h>

#define FREE_REROUTES_MAX 3 // reroutes of one refused call that cost no retry token
#define AVERAGING_MS 1000   // time constant for averaging the own domain's calls in flight

static void update_averages (BjGuard *g, BjTime now);

bool
bj_spill_admit (BjKernel *k, BjTime now, int klass)
{
  BjGuard *g = &k->guard;
  const BjSpillCounts *s = &g->spill[klass];
  int limit;

  if (g->limiter == NULL)
    return false;
  limit = bj_guard_capacity (k, now);
  if (s->own + s->spilled + g->queue->ops->waiting (g->queue, klass) >= limit)
    return false;
  update_averages (g, now);
  return s->spilled < (limit - s->own_smoothed) * BJ_SPILL_SHARE;
}

bool
bj_spill_may_reroute (const BjKernel *k, const BjCall *c)
{
  return c->n_tried <= FREE_REROUTES_MAX && c->target != NULL
         && (c->service->router->ops->pools_region
             || !bj_str_equal (c->target->report.domain, k->self->report.domain));
}

void
bj_spill_count (BjKernel *k, BjTime now, const BjCall *c, int change)
{
  update_averages (&k->guard, now);
  for (int i = c->klass; i < BJ_CLASSES; i++)
    *(c->request.is_spilled ? &k->guard.spill[i].spilled : &k->guard.spill[i].own) += change;
}

// Updates the averages. Call before the counts change.
static void
update_averages (BjGuard *g, BjTime now)
{
  double weight = exp (-(now - g->spill_smoothed_at) / AVERAGING_MS);

  for (int i = 0; i < BJ_CLASSES; i++)
    g->spill[i].own_smoothed = g->spill[i].own_smoothed * weight + g->spill[i].own * (1 - weight);
  g->spill_smoothed_at = now;
}
