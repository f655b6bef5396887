// Spill: calls from other failure domains that the guard lets in. They get a share of what the own
// domain leaves free on average and never wait in the queue, so that the overload of one domain
// does not sink the next.

#include "kernel.h"
#include <math.h>

#define RETURNS_MAX 3   // daemons of other domains that may refuse one call at no cost
#define AVERAGE_MS 1000 // over which calls of the own domain are averaged

static void average (BjGuard *g, BjTime now);

bool
bj_spill_admit (BjKernel *k, BjTime now)
{
  BjGuard *g = &k->guard;
  int limit;

  if (g->limiter == NULL || g->queue->ops->length (g->queue) > 0)
    return false;
  limit = bj_guard_limit (k, now);
  if (g->in_flight >= limit)
    return false;
  average (g, now);
  return g->spilled < (limit - g->own_average) * BJ_SPILL_SHARE;
}

bool
bj_spill_may_return (const BjKernel *k, const BjCall *c)
{
  return c->n_tried <= RETURNS_MAX && c->target != NULL
         && (c->service->router->ops->pools_region
             || !bj_str_equal (c->target->report.domain, k->self->report.domain));
}

void
bj_spill_changed (BjKernel *k, BjTime now, const BjCall *c, int change)
{
  average (&k->guard, now);
  if (c->request.is_spilled)
    k->guard.spilled += change;
}

// Call before in_flight or spilled changes.
static void
average (BjGuard *g, BjTime now)
{
  double weight = exp (-(now - g->averaged) / AVERAGE_MS);
  double own = g->in_flight - g->spilled;

  g->own_average = g->own_average * weight + own * (1 - weight);
  g->averaged = now;
}
