// Health: what share of the runs on the own upstream fails through its own fault, told to the
// others, so that they place their calls elsewhere while there is room. Runs that end in an error
// since a call that they made did are not its fault: what is below has a health of its own.

#include "kernel.h"
#include <math.h>

#define MEMORY_MS 2000.0 // time constant over which runs are remembered
#define GOOD_PRIOR 4.0   // good runs that are assumed before any other

static void fade (BjHealth *h, BjTime now);
static bool is_judged (const BjCall *c, BjStatus s);
static bool adopt (BjHealth *h);
static bool is_own_failure (BjKernel *k, BjTime now, const BjCall *c, BjStatus s);

void
bj_health_count_run (BjKernel *k, BjTime now, const BjCall *c, BjStatus s)
{
  BjHealth *h = &k->guard.health;

  if (!is_judged (c, s))
    return;
  fade (h, now);
  if (is_own_failure (k, now, c, s))
    h->n_failed++;
  else
    h->n_good++;
}

int
bj_health_failing (BjKernel *k, BjTime now)
{
  BjHealth *h = &k->guard.health;

  fade (h, now);
  return (int)lround (1000 * h->n_failed / (h->n_failed + h->n_good + GOOD_PRIOR));
}

void
bj_health_report_nested_failure (BjKernel *k, const BjCall *c)
{
  const uint64_t *id = c->request.parent != 0 ? &c->request.parent : &c->made_for;
  BjCall *parent = *id != 0 ? g_hash_table_lookup (k->calls, id) : NULL;

  if (parent != NULL)
    parent->has_failed_nested_call = true;
  else if (c->is_front && bj_parent_is_called (k, c->route))
    k->guard.health.n_unmatched_failures++;
}

static void
fade (BjHealth *h, BjTime now)
{
  double kept = exp ((h->faded - now) / MEMORY_MS);

  h->n_good *= kept;
  h->n_failed *= kept;
  h->n_unmatched_failures *= kept;
  h->faded = now;
}

// A call that its caller gave up says nothing.
static bool
is_judged (const BjCall *c, BjStatus s)
{
  return s != BJ_E_CANCELLED && !c->detached;
}

// A failed call whose parent could not be told explains one failed run.
static bool
adopt (BjHealth *h)
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
      return c->is_failed && !c->has_failed_nested_call && !adopt (&k->guard.health);
    case BJ_E_LOST:
    case BJ_E_CRASHED:
    case BJ_E_BROKEN:
    case BJ_E_SHED:
      return true;
    case BJ_E_DEADLINE: // one that began with little time left says nothing
      return c->objective_ms > 0 && now - c->started >= c->objective_ms
             && !bj_parent_makes_calls (k, c->route);
    default:
      return false;
    }
}
