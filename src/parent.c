// Parent: which running call the own upstream made a call for, where its headers do not say. A call
// ends at its parent's deadline, so the running call that was handed the same one is its parent.
// What is learned from it is which routes the runs of a route call.

#include "kernel.h"
#include <math.h>

#define MATCH_MS 1.5         // between the deadline handed down and that of a call made for it
#define CALLED_SHARE 0.1     // of a route's runs that are seen to call another, for a dependency
#define RUNS_MIN 20          // before the share counts
#define RUNS_MAX 2000        // counts are halved here, so that old ones fade
#define CALLED_MAX 16        // routes called by one

typedef struct
{
  uint64_t route;
  double n;
} Called;

typedef struct
{
  double n_runs;
  Called called[CALLED_MAX];
  int n_called;
} Runs;

static Runs *find (BjKernel *k, uint64_t route);
static const BjCall *match (BjKernel *k, BjTime deadline, const BjCall *c);
static const BjCall *nearer (const BjCall *a, const BjCall *b, BjTime deadline);
static void note (Runs *r, uint64_t route);
static void halve (Runs *r);
static bool depends (const Runs *r, const Called *c);

void
bj_parent_init (BjKernel *k)
{
  k->parents = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
bj_parent_clear (BjKernel *k)
{
  g_hash_table_destroy (k->parents);
}

void
bj_parent_find (BjKernel *k, BjTime now, BjCall *c)
{
  const BjCall *parent;

  if (c->request.parent != 0)
    {
      parent = g_hash_table_lookup (k->calls, &c->request.parent);
      if (parent != NULL && parent->route != 0)
        note (find (k, parent->route), c->route);
      return;
    }
  if (k->guard.in_flight == 0 || c->request.deadline_ms <= 0)
    return;
  parent = match (k, now + c->request.deadline_ms, c);
  if (parent == NULL)
    return;
  note (find (k, parent->route), c->route);
  c->cohort = parent->cohort;
}

void
bj_parent_ran (BjKernel *k, const BjCall *c)
{
  Runs *r;

  if (c->route == 0)
    return;
  r = find (k, c->route);
  r->n_runs++;
  if (r->n_runs >= RUNS_MAX)
    halve (r);
}

bool
bj_parent_is_called (BjKernel *k, uint64_t route)
{
  GHashTableIter i;
  gpointer runs;

  g_hash_table_iter_init (&i, k->parents);
  while (g_hash_table_iter_next (&i, NULL, &runs))
    for (int n = 0; n < ((Runs *)runs)->n_called; n++)
      if (((Runs *)runs)->called[n].route == route && depends (runs, &((Runs *)runs)->called[n]))
        return true;
  return false;
}

bool
bj_parent_makes_calls (BjKernel *k, uint64_t route)
{
  const Runs *r = g_hash_table_lookup (k->parents, &route);

  for (int i = 0; r != NULL && i < r->n_called; i++)
    if (depends (r, &r->called[i]))
      return true;
  return false;
}

void
bj_parent_each_called (BjKernel *k,
                       uint64_t route,
                       void (*fn) (uint64_t called, void *data),
                       void *data)
{
  Runs *r = g_hash_table_lookup (k->parents, &route);

  for (int i = 0; r != NULL && i < r->n_called; i++)
    if (depends (r, &r->called[i]))
      fn (r->called[i].route, data);
}

static Runs *
find (BjKernel *k, uint64_t route)
{
  Runs *r = g_hash_table_lookup (k->parents, &route);

  if (r != NULL)
    return r;
  r = g_new0 (Runs, 1);
  g_hash_table_insert (k->parents, g_memdup2 (&route, sizeof route), r);
  return r;
}

// Running calls stand by their own deadline, a hop after the one handed down.
static const BjCall *
match (BjKernel *k, BjTime deadline, const BjCall *c)
{
  BjCall key = { .deadline = deadline };
  GSequenceIter *at = g_sequence_search (k->deadlines, &key, bj_call_by_deadline, NULL);
  const BjCall *best = NULL;

  for (GSequenceIter *i = at; !g_sequence_iter_is_end (i); i = g_sequence_iter_next (i))
    {
      const BjCall *other = g_sequence_get (i);

      if (other->deadline > deadline + BJ_HOP_MS + 1 + MATCH_MS)
        break;
      if (other != c && other->state == BJ_CALL_RUNNING && other->route != 0)
        best = nearer (best, other, deadline);
    }
  return best != NULL && fabs (best->handed_until - deadline) <= MATCH_MS ? best : NULL;
}

static const BjCall *
nearer (const BjCall *a, const BjCall *b, BjTime deadline)
{
  if (a == NULL || fabs (b->handed_until - deadline) < fabs (a->handed_until - deadline))
    return b;
  return a;
}

static void
note (Runs *r, uint64_t route)
{
  for (int i = 0; i < r->n_called; i++)
    if (r->called[i].route == route)
      {
        r->called[i].n++;
        return;
      }
  if (r->n_called < CALLED_MAX)
    r->called[r->n_called++] = (Called){ route, 1 };
}

static void
halve (Runs *r)
{
  r->n_runs /= 2;
  for (int i = 0; i < r->n_called; i++)
    r->called[i].n /= 2;
}

static bool
depends (const Runs *r, const Called *c)
{
  return r->n_runs >= RUNS_MIN && c->n >= CALLED_SHARE * r->n_runs;
}
