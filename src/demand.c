// Demand: how full the own upstream is and is going to be, and what a run of a route causes at the
// service that is nearest to full, sent with responses for admission by cost.

#include "kernel.h"
#include <math.h>

#define FAST_MS 150.0 // time constant of the use
#define SLOW_MS 600.0 // time constant of the earlier use that it is compared with

typedef struct
{
  BjKernel *kernel;
  BjTime now;
  uint64_t route;
  BjDemand most;
} MostUsed;

static void add_called (uint64_t called, void *data);

void
bj_demand_count_offered (BjKernel *k, BjTime now, bool refused)
{
  BjDemandState *s = &k->demand;
  double factor = exp ((s->counted_at - now) / SLOW_MS);

  s->counted_at = now;
  s->n_offered = s->n_offered * factor + !refused;
  s->n_refused = s->n_refused * factor + refused;
}

BjDemand
bj_kernel_demand (BjKernel *k, BjTime now, const BjCall *c)
{
  MostUsed m = { k, now, c->route, { 0 } };

  if (!c->is_front && k->guard.limiter != NULL)
    m.most = bj_demand_own (k, now);
  bj_parent_each_called (k, c->route, add_called, &m);
  return m.most;
}

BjDemand
bj_demand_own (BjKernel *k, BjTime now)
{
  BjDemandState *s = &k->demand;
  BjLoad load = bj_kernel_load (k, now);
  double refused = s->n_offered > 0 ? MIN (0.9, s->n_refused / s->n_offered) : 0;
  double use = (load.in_flight + load.queued) / (double)MAX (1, load.limit) / (1 - refused);

  s->fast += (use - s->fast) * (1 - exp ((s->updated_at - now) / FAST_MS));
  s->slow += (use - s->slow) * (1 - exp ((s->updated_at - now) / SLOW_MS));
  s->updated_at = now;
  return (BjDemand){ .service = bj_str_hash (k->guard.service),
                     .runs = 1,
                     .use = s->fast,
                     .heading = (s->fast - s->slow) / (SLOW_MS - FAST_MS) * 1000 };
}

static void
add_called (uint64_t called, void *data)
{
  MostUsed *m = data;
  BjDemand d;

  if (m->kernel->cost == NULL)
    return;
  d = bj_cost_of (m->kernel->cost, m->now, called);
  d.runs *= bj_parent_calls_per_run (m->kernel, m->route, called);
  if (d.service != 0 && d.use > m->most.use)
    m->most = d;
}
