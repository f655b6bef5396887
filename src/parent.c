// Parent: which running call the own upstream made a call for, where no header of its own says so.
// Some upstreams name a call after the one that it is made for, "parent.child"; where running calls
// were found so, nothing else is looked at. Otherwise a call ends at its parent's deadline, or some
// fixed time after its parent began if that is sooner. The first is matched against the deadlines
// handed down; the second is learned for each route: among the ages of all running calls at that
// deadline, one value comes again and again.
//
// A call has its parent's class and cohort, and tells which routes the runs of a route call.

#include "kernel.h"
#include <math.h>

#define ID_SEPARATOR '.'   // between the id of a call and what the upstream appends to it
#define NAMED_MIN 20       // parents found by name before calls without one are taken for callers'
#define MATCH_MS 1.5       // between the deadline handed down and that of a call made for it
#define CALLED_SHARE 0.1   // of a route's runs that are seen to call another, for a dependency
#define BUSIEST_SHARE 0.2  // of the calls a run that the busiest caller of a route makes
#define RUNS_MIN 20        // before the share counts
#define RUNS_MAX 2000      // counts are halved here, so that old ones fade
#define CALLED_MAX 16      // routes called by one
#define AGES_MS 4096       // longest fixed time that is learned
#define AGE_COUNT_MIN 40   // of the commonest age, before it is trusted
#define AGE_PEAK 4         // times the mean that the commonest age must reach
#define AGE_COUNT_MAX 4000 // counts are halved here, so that old ones fade
#define AGE_MATCH_MS 2.0   // between an age and the commonest one

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

typedef struct
{
  uint16_t counts[AGES_MS]; // running calls of that age, in ms, at a call's deadline
  uint32_t total;
  int commonest; // 0 before it is known
} Ages;

static const BjCall *match_name (BjKernel *k, const BjCall *c);
static Runs *find (BjKernel *k, uint64_t route);
static const BjCall *match_age (BjKernel *k, BjTime deadline, const BjCall *c);
static void learn_ages (BjKernel *k, Ages *a, BjTime deadline);
static void find_commonest (Ages *a);
static Ages *ages_of (BjKernel *k, uint64_t route);
static void adopt (BjKernel *k, BjCall *c, const BjCall *parent);
static const BjCall *match (BjKernel *k, BjTime deadline, const BjCall *c);
static const BjCall *nearer (const BjCall *a, const BjCall *b, BjTime deadline);
static void note (Runs *r, uint64_t route);
static void halve (Runs *r);
static bool depends (BjKernel *k, const Runs *r, const Called *c);
static double calls_a_run (const Runs *r, uint64_t route);

void
bj_parent_init (BjKernel *k)
{
  k->parents = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  k->ages = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  k->running = g_hash_table_new (bj_str_key_hash, bj_str_key_equal);
}

void
bj_parent_clear (BjKernel *k)
{
  g_hash_table_destroy (k->parents);
  g_hash_table_destroy (k->ages);
  g_hash_table_destroy (k->running);
}

void
bj_parent_find (BjKernel *k, BjTime now, BjCall *c)
{
  const BjCall *parent;

  if (c->request.parent != 0)
    {
      parent = bj_call_parent (k, &c->request);
      if (parent != NULL && parent->route != 0)
        note (find (k, parent->route), c->route);
      return;
    }
  if (k->guard.in_flight == 0)
    return;
  parent = match_name (k, c);
  if (parent != NULL)
    {
      k->n_named++;
      adopt (k, c, parent);
      return;
    }
  if (k->n_named >= NAMED_MIN || c->request.deadline_ms <= 0)
    return;
  parent = match (k, now + c->request.deadline_ms, c);
  if (parent == NULL)
    parent = match_age (k, now + c->request.deadline_ms, c);
  if (parent != NULL)
    adopt (k, c, parent);
}

void
bj_parent_ran (BjKernel *k, BjCall *c)
{
  Runs *r;

  if (c->request.id.len > 0)
    g_hash_table_replace (k->running, &c->request.id, c);
  if (c->route == 0)
    return;
  r = find (k, c->route);
  r->n_runs++;
  if (r->n_runs >= RUNS_MAX)
    halve (r);
}

void
bj_parent_ended (BjKernel *k, BjCall *c)
{
  if (c->request.id.len > 0 && g_hash_table_lookup (k->running, &c->request.id) == c)
    g_hash_table_remove (k->running, &c->request.id);
}

bool
bj_parent_is_called (BjKernel *k, uint64_t route)
{
  GHashTableIter i;
  gpointer runs;

  g_hash_table_iter_init (&i, k->parents);
  while (g_hash_table_iter_next (&i, NULL, &runs))
    for (int n = 0; n < ((Runs *)runs)->n_called; n++)
      if (((Runs *)runs)->called[n].route == route && depends (k, runs, &((Runs *)runs)->called[n]))
        return true;
  return false;
}

bool
bj_parent_makes_calls (BjKernel *k, uint64_t route)
{
  const Runs *r = g_hash_table_lookup (k->parents, &route);

  for (int i = 0; r != NULL && i < r->n_called; i++)
    if (depends (k, r, &r->called[i]))
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
    if (depends (k, r, &r->called[i]))
      fn (r->called[i].route, data);
}

static void
adopt (BjKernel *k, BjCall *c, const BjCall *parent)
{
  note (find (k, parent->route), c->route);
  c->cohort = parent->cohort;
  c->klass = parent->klass;
  c->is_inner = true;
  c->made_for = parent->id;
}

static const BjCall *
match_name (BjKernel *k, const BjCall *c)
{
  BjStr name = c->request.id;

  while (name.len > 0 && name.data[name.len - 1] != ID_SEPARATOR)
    name.len--;
  if (name.len < 2)
    return NULL;
  name.len--;
  return g_hash_table_lookup (k->running, &name);
}

static const BjCall *
match_age (BjKernel *k, BjTime deadline, const BjCall *c)
{
  Ages *a = ages_of (k, c->route);
  const BjCall *best = NULL;
  double best_off = AGE_MATCH_MS;

  learn_ages (k, a, deadline);
  if (a->commonest == 0)
    return NULL;
  for (GSequenceIter *i = g_sequence_get_begin_iter (k->deadlines); !g_sequence_iter_is_end (i);
       i = g_sequence_iter_next (i))
    {
      const BjCall *other = g_sequence_get (i);
      double off = fabs (deadline - other->started - a->commonest);

      if (other->state != BJ_CALL_RUNNING || other->route == 0 || off > best_off)
        continue;
      best = other;
      best_off = off;
    }
  return best;
}

static void
learn_ages (BjKernel *k, Ages *a, BjTime deadline)
{
  for (GSequenceIter *i = g_sequence_get_begin_iter (k->deadlines); !g_sequence_iter_is_end (i);
       i = g_sequence_iter_next (i))
    {
      const BjCall *other = g_sequence_get (i);
      double age = round (deadline - other->started);

      if (other->state != BJ_CALL_RUNNING || age < 0 || age >= AGES_MS)
        continue;
      a->counts[(int)age]++;
      a->total++;
      if (a->counts[(int)age] >= AGE_COUNT_MAX)
        find_commonest (a);
    }
  if (a->commonest == 0 && a->total >= AGE_COUNT_MIN)
    find_commonest (a);
}

static void
find_commonest (Ages *a)
{
  int best = 0;
  int n_seen = 0;

  for (int i = 1; i < AGES_MS; i++)
    {
      n_seen += a->counts[i] > 0;
      if (a->counts[i] > a->counts[best])
        best = i;
    }
  if (a->counts[best] >= AGE_COUNT_MIN && a->counts[best] * (double)n_seen >= AGE_PEAK * a->total)
    a->commonest = best;
  else if (a->counts[best] >= AGE_COUNT_MAX)
    a->commonest = 0;
  if (a->counts[best] < AGE_COUNT_MAX)
    return;
  a->total = 0;
  for (int i = 0; i < AGES_MS; i++)
    a->total += a->counts[i] /= 2;
}

static Ages *
ages_of (BjKernel *k, uint64_t route)
{
  Ages *a = g_hash_table_lookup (k->ages, &route);

  if (a != NULL)
    return a;
  a = g_new0 (Ages, 1);
  g_hash_table_insert (k->ages, g_memdup2 (&route, sizeof route), a);
  return a;
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

// Some calls are taken for those of the wrong parent: a route that seems to call another far less
// often than the busiest one does is not one that calls it.
static bool
depends (BjKernel *k, const Runs *r, const Called *c)
{
  double own = calls_a_run (r, c->route);
  double most = 0;
  GHashTableIter i;
  gpointer other;

  if (own < CALLED_SHARE)
    return false;
  g_hash_table_iter_init (&i, k->parents);
  while (g_hash_table_iter_next (&i, NULL, &other))
    most = MAX (most, calls_a_run (other, c->route));
  return own >= BUSIEST_SHARE * most;
}

static double
calls_a_run (const Runs *r, uint64_t route)
{
  for (int i = 0; i < r->n_called && r->n_runs >= RUNS_MIN; i++)
    if (r->called[i].route == route)
      return r->called[i].n / r->n_runs;
  return 0;
}
