// Level: how much of the work a guard sheds, told upwards on every answer so that fronts refuse it
// before a hop is spent. Ranks order the work, class first, then the cohort of the action; a level
// is the number of ranks shed from the lowest upwards. An action has one cohort on its whole chain
// and lives or dies as a whole. A level rises with the wait for the upstream, before calls are
// refused there, and passes up the graph: an answer tells the highest of all that its route calls.
// Guards of other regions refuse calls long before they are overloaded themselves; so a front also
// raises a level of its own for a route whose calls no guard takes.

#include "kernel.h"

#define COHORTS 256
#define WINDOW_MS 100      // between two changes of the own level
#define CALLS_MIN 5        // in a window, to judge it
#define REFUSED_SHARE 0.05 // of a window's calls, below which the level does not rise
#define RISE 64.0          // ranks for a window whose calls were all refused
#define FALL_MIN 8.0       // ranks for a window without refusals
#define FALL_SHARE 0.1     // of the level, for the same
#define WAIT_TARGET_MS 15  // mean wait of started calls, above which the level rises
#define WAIT_RISE 0.25     // of RISE, at twice that wait and above
#define BUSY_SHARE 0.9     // of the limit in use, above which the level does not fall
#define LEARN_WEIGHT 0.2   // of the newest answer
#define FRESH_MS 300       // a learned level that is older falls
#define FADE_MS 1000       // and is gone after this long more

typedef struct
{
  int64_t route; // hash of the route's prefix
  double level;
  BjTime at;
  bool makes_calls; // its runs call other services
  double refused;   // own level, by the calls that no guard took
  int n_sent;       // calls that ended in this window
  int n_refused;    // of them, taken by no guard
  BjTime window_from;
} Learned;

typedef struct
{
  BjKernel *kernel;
  BjTime now;
  double level;
} Below;

static void change (BjKernel *k, BjTime now);
static bool is_busy (BjKernel *k, BjTime now);
static double highest (const BjKernel *k);
static void look_below (uint64_t called, void *below);
static Learned *find (BjKernel *k, uint64_t route);
static void change_refused (BjKernel *k, BjTime now, Learned *l);
static double fallen (double level, double windows);
static double known (BjKernel *k, Learned *l, BjTime now); // The higher of both levels
static double faded (const Learned *l, BjTime now);

void
bj_level_init (BjLevel *l)
{
  l->learned = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
bj_level_clear (BjLevel *l)
{
  g_hash_table_destroy (l->learned);
}

void
bj_level_count_offered (BjKernel *k, BjTime now, bool refused)
{
  BjLevel *l = &k->level;

  if (now - l->window_from >= WINDOW_MS)
    change (k, now);
  l->n_offered += !refused;
  l->n_refused += refused;
}

void
bj_level_count_started (BjKernel *k, double wait_ms)
{
  k->level.n_started++;
  k->level.wait_ms += wait_ms;
}

int
bj_kernel_level (BjKernel *k, BjTime now, const BjCall *c)
{
  Below below = { k, now, 0 };

  if (now - k->level.window_from >= WINDOW_MS)
    change (k, now);
  if (!c->is_front)
    bj_parent_each_called (k, c->route, look_below, &below);
  return (int)MAX (MAX (k->level.own, c->level), below.level);
}

int
bj_level_for_call (BjKernel *k, BjTime now, const BjCall *c)
{
  return (int)known (k, find (k, c->route), now);
}

void
bj_level_learn_makes_calls (BjKernel *k, const BjCall *c, bool makes_calls)
{
  find (k, c->route)->makes_calls = makes_calls;
}

bool
bj_level_makes_calls (BjKernel *k, const BjCall *c)
{
  return find (k, c->route)->makes_calls;
}

void
bj_level_learn (BjKernel *k, BjTime now, const BjCall *c, int level)
{
  Learned *l = find (k, c->route);
  BjCall *parent = bj_call_parent (k, &c->request);
  double old = faded (l, now);

  l->level = old + LEARN_WEIGHT * (CLAMP (level, 0, highest (k)) - old);
  l->at = now;
  if (parent != NULL)
    parent->level = MAX (parent->level, (int)l->level);
}

void
bj_level_count_result (BjKernel *k, BjTime now, const BjCall *c, bool refused)
{
  Learned *l = find (k, c->route);

  if (now - l->window_from >= WINDOW_MS)
    change_refused (k, now, l);
  l->n_sent++;
  l->n_refused += refused;
}

bool
bj_level_should_shed (BjKernel *k, BjTime now, const BjCall *c)
{
  double level = known (k, find (k, c->route), now);
  double rank = c->klass * COHORTS + (c->is_timely_retry ? 0 : c->cohort % COHORTS);
  BjCall *parent = bj_call_parent (k, &c->request);
  int n = k->config->classes != NULL ? (int)k->config->classes->len : 1;

  if (c->irreversible || rank < n * COHORTS - level)
    return false;
  // What its action has cost so far would be lost.
  if (c->is_inner || (c->request.parent == 0 && bj_parent_is_called (k, c->route)))
    return false;
  if (parent != NULL)
    parent->level = MAX (parent->level, (int)level);
  return true;
}

static void
change (BjKernel *k, BjTime now)
{
  BjLevel *l = &k->level;
  const BjQueue *q = k->guard.queue;
  int n = l->n_offered;
  double share = n > 0 ? (double)l->n_refused / n : 0;
  double windows = l->window_from > 0 ? (now - l->window_from) / WINDOW_MS : 1;
  double wait = l->n_started > 0 ? l->wait_ms / l->n_started : 0;
  double rise = 0;

  if (n >= CALLS_MIN && share > REFUSED_SHARE)
    rise = share * RISE;
  if (n >= CALLS_MIN && wait > WAIT_TARGET_MS && q != NULL && q->ops->length (q) > 0)
    rise = MAX (rise, WAIT_RISE * RISE * MIN (1, wait / WAIT_TARGET_MS - 1));
  if (rise > 0)
    l->own = MIN (highest (k), l->own + rise);
  else if (l->n_refused == 0 && !is_busy (k, now))
    l->own = fallen (l->own, windows);
  l->n_offered = 0;
  l->n_refused = 0;
  l->n_started = 0;
  l->wait_ms = 0;
  l->window_from = now;
}

static bool
is_busy (BjKernel *k, BjTime now)
{
  BjLoad load = bj_kernel_load (k, now);

  return load.limit > 1 && load.in_flight + load.queued >= BUSY_SHARE * load.limit;
}

static void
look_below (uint64_t called, void *data)
{
  Below *b = data;

  b->level = MAX (b->level, known (b->kernel, find (b->kernel, called), b->now));
}

// The first class is never shed early.
static double
highest (const BjKernel *k)
{
  int n = k->config != NULL && k->config->classes != NULL ? (int)k->config->classes->len : 1;

  return MAX (0, n - 1) * COHORTS;
}

static Learned *
find (BjKernel *k, uint64_t route)
{
  int64_t key = (int64_t)route;
  Learned *l = g_hash_table_lookup (k->level.learned, &key);

  if (l != NULL)
    return l;
  l = g_new0 (Learned, 1);
  l->route = key;
  g_hash_table_insert (k->level.learned, &l->route, l);
  return l;
}

static void
change_refused (BjKernel *k, BjTime now, Learned *l)
{
  double share = l->n_sent > 0 ? (double)l->n_refused / l->n_sent : 0;
  double windows = (now - l->window_from) / WINDOW_MS;

  if (l->n_sent >= CALLS_MIN && share > REFUSED_SHARE)
    l->refused = MIN (highest (k), l->refused + share * RISE);
  else if (l->n_refused == 0)
    l->refused = fallen (l->refused, windows);
  l->n_sent = 0;
  l->n_refused = 0;
  l->window_from = now;
}

static double
fallen (double level, double windows)
{
  return MAX (0, level - windows * MAX (FALL_MIN, level * FALL_SHARE));
}

static double
known (BjKernel *k, Learned *l, BjTime now)
{
  if (now - l->window_from >= WINDOW_MS)
    change_refused (k, now, l);
  return MAX (faded (l, now), l->refused);
}

static double
faded (const Learned *l, BjTime now)
{
  double age = now - l->at - FRESH_MS;

  return l->level * CLAMP (1 - age / FADE_MS, 0, 1);
}
