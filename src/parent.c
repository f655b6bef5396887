// Finds the parent of a call: the running call that the own upstream made it for. Used when no
// header names the parent.
//
// Some upstreams derive the id of a call from its parent's, "parent.child". Once enough parents
// were found by id, no other method is used: a call that names no running call then counts as sent
// by a caller. Before that, the parent is inferred from the deadline: a call either has its
// parent's deadline or times out a fixed time after its parent started, whichever is sooner. The
// first is matched against the deadlines given to the upstream. The fixed time is learned per
// route: it is the most frequent difference between a call's deadline and the start of a running
// call.
//
// A call inherits its parent's class and cohort. Counts of parents and their calls show which
// routes depend on which others.

#include "kernel.h"
#include <math.h>

#define ID_SEPARATOR '.'          // separates a parent's id from what the upstream appends to it
#define PARENTS_BY_ID_MIN 20      // parents found by id before other calls count as sent by callers
#define DEADLINE_TOLERANCE_MS 1.5 // tolerance when a deadline is matched with the parent's
#define DEPENDENCY_CALLS_PER_RUN 0.1 // calls per run that make the called route a dependency
#define DEPENDENCY_SHARE_OF_MAX 0.2  // minimum calls per run relative to the most frequent caller
#define RUNS_MIN 20                  // runs of a route before its dependencies are determined
#define RUNS_MAX 2000 // run and call counts are halved at this value, so old calls lose weight
#define CALLED_ROUTES_MAX 16 // called routes that are tracked per route
#define AGE_MAX_MS 4096      // longest fixed timeout that is learned
#define AGE_COUNT_MIN 40     // samples of the most frequent age before it is used
#define AGE_PEAK_RATIO 4     // minimum ratio of the most frequent age's count to the mean count
#define AGE_COUNT_MAX 4000   // age counts are halved at this value, so old samples lose weight
#define AGE_TOLERANCE_MS 2.0 // tolerance between the age of a call and the most frequent age

typedef struct
{
  uint64_t route; // hash
  double n_calls;
} CalledRoute;

typedef struct
{
  double n_runs;
  CalledRoute called[CALLED_ROUTES_MAX];
  int n_called;
} RouteRuns;

typedef struct
{
  uint16_t counts[AGE_MAX_MS]; // running calls by their age, in ms, at the deadline of a call
  uint32_t total;
  int commonest; // most frequent age in ms, 0 before it is known
} AgeHistogram;

static const BjCall *find_parent_by_id (BjKernel *k, const BjCall *c);
static RouteRuns *get_runs (BjKernel *k, uint64_t route);
static const BjCall *find_parent_by_age (BjKernel *k, BjTime deadline, const BjCall *c);
static void add_ages (BjKernel *k, AgeHistogram *a, BjTime deadline);
static void update_commonest (AgeHistogram *a);
static AgeHistogram *get_ages (BjKernel *k, uint64_t route);
static void set_parent (BjKernel *k, BjCall *c, const BjCall *parent);
static const BjCall *find_parent_by_deadline (BjKernel *k, BjTime deadline, const BjCall *c);
static const BjCall *closer_match (const BjCall *a, const BjCall *b, BjTime deadline);
static void count_call (RouteRuns *r, uint64_t route);
static void halve_counts (RouteRuns *r);
static bool is_dependency (BjKernel *k, const RouteRuns *r, const CalledRoute *c);
static double calls_per_run (const RouteRuns *r, uint64_t route);

void
bj_parent_init (BjKernel *k)
{
  k->route_runs = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  k->ages = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  k->running = g_hash_table_new (bj_str_key_hash, bj_str_key_equal);
}

void
bj_parent_clear (BjKernel *k)
{
  g_hash_table_destroy (k->route_runs);
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
        count_call (get_runs (k, parent->route), c->route);
      return;
    }
  if (k->guard.in_flight == 0)
    return;
  parent = find_parent_by_id (k, c);
  if (parent != NULL)
    {
      k->n_matched_by_id++;
      set_parent (k, c, parent);
      return;
    }
  if (k->n_matched_by_id >= PARENTS_BY_ID_MIN || c->request.deadline_ms <= 0)
    return;
  parent = find_parent_by_deadline (k, now + c->request.deadline_ms, c);
  if (parent == NULL)
    parent = find_parent_by_age (k, now + c->request.deadline_ms, c);
  if (parent != NULL)
    set_parent (k, c, parent);
}

void
bj_parent_run_started (BjKernel *k, BjCall *c)
{
  RouteRuns *r;

  if (c->request.id.len > 0)
    g_hash_table_replace (k->running, &c->request.id, c);
  if (c->route == 0)
    return;
  r = get_runs (k, c->route);
  r->n_runs++;
  if (r->n_runs >= RUNS_MAX)
    halve_counts (r);
}

void
bj_parent_run_ended (BjKernel *k, BjCall *c)
{
  if (c->request.id.len > 0 && g_hash_table_lookup (k->running, &c->request.id) == c)
    g_hash_table_remove (k->running, &c->request.id);
}

bool
bj_parent_is_called (BjKernel *k, uint64_t route)
{
  GHashTableIter i;
  gpointer runs;

  g_hash_table_iter_init (&i, k->route_runs);
  while (g_hash_table_iter_next (&i, NULL, &runs))
    for (int n = 0; n < ((RouteRuns *)runs)->n_called; n++)
      if (((RouteRuns *)runs)->called[n].route == route
          && is_dependency (k, runs, &((RouteRuns *)runs)->called[n]))
        return true;
  return false;
}

bool
bj_parent_makes_calls (BjKernel *k, uint64_t route)
{
  const RouteRuns *r = g_hash_table_lookup (k->route_runs, &route);

  for (int i = 0; r != NULL && i < r->n_called; i++)
    if (is_dependency (k, r, &r->called[i]))
      return true;
  return false;
}

double
bj_parent_calls_per_run (BjKernel *k, uint64_t route, uint64_t called)
{
  const RouteRuns *r = g_hash_table_lookup (k->route_runs, &route);

  return r != NULL ? calls_per_run (r, called) : 0;
}

void
bj_parent_each_called (BjKernel *k,
                       uint64_t route,
                       void (*fn) (uint64_t called, void *data),
                       void *data)
{
  RouteRuns *r = g_hash_table_lookup (k->route_runs, &route);

  for (int i = 0; r != NULL && i < r->n_called; i++)
    if (is_dependency (k, r, &r->called[i]))
      fn (r->called[i].route, data);
}

static void
set_parent (BjKernel *k, BjCall *c, const BjCall *parent)
{
  count_call (get_runs (k, parent->route), c->route);
  c->cohort = parent->cohort;
  c->klass = parent->klass;
  c->is_nested = true;
  c->matched_parent = parent->id;
}

static const BjCall *
find_parent_by_id (BjKernel *k, const BjCall *c)
{
  BjStr parent_id = c->request.id;

  while (parent_id.len > 0 && parent_id.data[parent_id.len - 1] != ID_SEPARATOR)
    parent_id.len--;
  if (parent_id.len < 2)
    return NULL;
  parent_id.len--;
  return g_hash_table_lookup (k->running, &parent_id);
}

static const BjCall *
find_parent_by_age (BjKernel *k, BjTime deadline, const BjCall *c)
{
  AgeHistogram *a = get_ages (k, c->route);
  const BjCall *best = NULL;
  double best_diff_ms = AGE_TOLERANCE_MS;

  add_ages (k, a, deadline);
  if (a->commonest == 0)
    return NULL;
  for (GSequenceIter *i = g_sequence_get_begin_iter (k->deadlines); !g_sequence_iter_is_end (i);
       i = g_sequence_iter_next (i))
    {
      const BjCall *other = g_sequence_get (i);
      double diff_ms = fabs (deadline - other->started - a->commonest);

      if (other->state != BJ_CALL_RUNNING || other->route == 0 || diff_ms > best_diff_ms)
        continue;
      best = other;
      best_diff_ms = diff_ms;
    }
  return best;
}

static void
add_ages (BjKernel *k, AgeHistogram *a, BjTime deadline)
{
  for (GSequenceIter *i = g_sequence_get_begin_iter (k->deadlines); !g_sequence_iter_is_end (i);
       i = g_sequence_iter_next (i))
    {
      const BjCall *other = g_sequence_get (i);
      double age = round (deadline - other->started);

      if (other->state != BJ_CALL_RUNNING || age < 0 || age >= AGE_MAX_MS)
        continue;
      a->counts[(int)age]++;
      a->total++;
      if (a->counts[(int)age] >= AGE_COUNT_MAX)
        update_commonest (a);
    }
  if (a->commonest == 0 && a->total >= AGE_COUNT_MIN)
    update_commonest (a);
}

static void
update_commonest (AgeHistogram *a)
{
  int best = 0;
  int n_seen = 0;

  for (int i = 1; i < AGE_MAX_MS; i++)
    {
      n_seen += a->counts[i] > 0;
      if (a->counts[i] > a->counts[best])
        best = i;
    }
  if (a->counts[best] >= AGE_COUNT_MIN
      && a->counts[best] * (double)n_seen >= AGE_PEAK_RATIO * a->total)
    a->commonest = best;
  else if (a->counts[best] >= AGE_COUNT_MAX)
    a->commonest = 0;
  if (a->counts[best] < AGE_COUNT_MAX)
    return;
  a->total = 0;
  for (int i = 0; i < AGE_MAX_MS; i++)
    a->total += a->counts[i] /= 2;
}

static AgeHistogram *
get_ages (BjKernel *k, uint64_t route)
{
  AgeHistogram *a = g_hash_table_lookup (k->ages, &route);

  if (a != NULL)
    return a;
  a = g_new0 (AgeHistogram, 1);
  g_hash_table_insert (k->ages, g_memdup2 (&route, sizeof route), a);
  return a;
}

static RouteRuns *
get_runs (BjKernel *k, uint64_t route)
{
  RouteRuns *r = g_hash_table_lookup (k->route_runs, &route);

  if (r != NULL)
    return r;
  r = g_new0 (RouteRuns, 1);
  g_hash_table_insert (k->route_runs, g_memdup2 (&route, sizeof route), r);
  return r;
}

// The sequence is sorted by the calls' own deadlines, which are BJ_HOP_DEADLINE_MARGIN_MS after
// those given to the upstream.
static const BjCall *
find_parent_by_deadline (BjKernel *k, BjTime deadline, const BjCall *c)
{
  BjCall key = { .deadline = deadline };
  GSequenceIter *at = g_sequence_search (k->deadlines, &key, bj_call_by_deadline, NULL);
  const BjCall *best = NULL;

  for (GSequenceIter *i = at; !g_sequence_iter_is_end (i); i = g_sequence_iter_next (i))
    {
      const BjCall *other = g_sequence_get (i);

      if (other->deadline > deadline + BJ_HOP_DEADLINE_MARGIN_MS + 1 + DEADLINE_TOLERANCE_MS)
        break;
      if (other != c && other->state == BJ_CALL_RUNNING && other->route != 0)
        best = closer_match (best, other, deadline);
    }
  return best != NULL && fabs (best->upstream_deadline - deadline) <= DEADLINE_TOLERANCE_MS ? best
                                                                                            : NULL;
}

static const BjCall *
closer_match (const BjCall *a, const BjCall *b, BjTime deadline)
{
  if (a == NULL || fabs (b->upstream_deadline - deadline) < fabs (a->upstream_deadline - deadline))
    return b;
  return a;
}

static void
count_call (RouteRuns *r, uint64_t route)
{
  for (int i = 0; i < r->n_called; i++)
    if (r->called[i].route == route)
      {
        r->called[i].n_calls++;
        return;
      }
  if (r->n_called < CALLED_ROUTES_MAX)
    r->called[r->n_called++] = (CalledRoute){ route, 1 };
}

static void
halve_counts (RouteRuns *r)
{
  r->n_runs /= 2;
  for (int i = 0; i < r->n_called; i++)
    r->called[i].n_calls /= 2;
}

// Some calls are assigned to a wrong parent. A route that seems to call another one far less often
// than the most frequent caller is therefore not counted as a caller.
static bool
is_dependency (BjKernel *k, const RouteRuns *r, const CalledRoute *c)
{
  double calls = calls_per_run (r, c->route);
  double max_calls = 0;
  GHashTableIter i;
  gpointer other;

  if (calls < DEPENDENCY_CALLS_PER_RUN)
    return false;
  g_hash_table_iter_init (&i, k->route_runs);
  while (g_hash_table_iter_next (&i, NULL, &other))
    max_calls = MAX (max_calls, calls_per_run (other, c->route));
  return calls >= DEPENDENCY_SHARE_OF_MAX * max_calls;
}

static double
calls_per_run (const RouteRuns *r, uint64_t route)
{
  for (int i = 0; i < r->n_called && r->n_runs >= RUNS_MIN; i++)
    if (r->called[i].route == route)
      return r->called[i].n_calls / r->n_runs;
  return 0;
}
