// Level: how much of the work a guard sheds, told upwards on every answer so that fronts refuse it
// before a hop is spent. Ranks order the work, class first, then the cohort of the action; a level
// is the number of ranks shed from the lowest upwards. An action has one cohort on its whole chain
// and lives or dies as a whole.

#include "kernel.h"

#define COHORTS 256
#define WINDOW_MS 100      // between two changes of the own level
#define CALLS_MIN 5        // in a window, to judge it
#define REFUSED_SHARE 0.05 // of a window's calls, below which the level does not rise
#define RISE 64.0          // ranks for a window whose calls were all refused
#define FALL_MIN 8.0       // ranks for a window without refusals
#define FALL_SHARE 0.1     // of the level, for the same
#define LEARN_WEIGHT 0.2   // of the newest answer
#define FRESH_MS 300       // a learned level that is older falls
#define FADE_MS 1000       // and is gone after this long more

typedef struct
{
  int64_t route; // hash of the route's prefix
  double level;
  BjTime at;
} Learned;

static void change (BjLevel *l, BjTime now, double top);
static double highest (const BjKernel *k);
static Learned *find (BjKernel *k, const BjCall *c);
static double faded (const Learned *l, BjTime now);
static BjCall *parent_of (BjKernel *k, const BjCall *c);

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
bj_level_offered (BjKernel *k, BjTime now, bool refused)
{
  BjLevel *l = &k->level;

  if (now - l->window_from >= WINDOW_MS)
    change (l, now, highest (k));
  l->n_offered += !refused;
  l->n_refused += refused;
}

int
bj_kernel_level (BjKernel *k, BjTime now, const BjCall *c)
{
  BjLevel *l = &k->level;

  if (now - l->window_from >= WINDOW_MS)
    change (l, now, highest (k));
  return MAX ((int)l->own, c->level);
}

void
bj_level_learn (BjKernel *k, BjTime now, const BjCall *c, int level)
{
  Learned *l = find (k, c);
  BjCall *parent = parent_of (k, c);
  double old = faded (l, now);

  l->level = old + LEARN_WEIGHT * (CLAMP (level, 0, highest (k)) - old);
  l->at = now;
  if (parent != NULL)
    parent->level = MAX (parent->level, (int)l->level);
}

bool
bj_level_sheds (BjKernel *k, BjTime now, const BjCall *c)
{
  double level = faded (find (k, c), now);
  double rank = c->klass * COHORTS + c->cohort % COHORTS;
  BjCall *parent = parent_of (k, c);
  int n = k->config->classes != NULL ? (int)k->config->classes->len : 1;

  if (c->irreversible || rank < n * COHORTS - level)
    return false;
  if (parent != NULL)
    parent->level = MAX (parent->level, (int)level);
  return true;
}

static void
change (BjLevel *l, BjTime now, double top)
{
  int n = l->n_offered;
  double share = n > 0 ? (double)l->n_refused / n : 0;
  double windows = l->window_from > 0 ? (now - l->window_from) / WINDOW_MS : 1;

  if (n >= CALLS_MIN && share > REFUSED_SHARE)
    l->own = MIN (top, l->own + share * RISE);
  else if (l->n_refused == 0)
    l->own = MAX (0, l->own - windows * MAX (FALL_MIN, l->own * FALL_SHARE));
  l->n_offered = 0;
  l->n_refused = 0;
  l->window_from = now;
}

// The first class is never shed early.
static double
highest (const BjKernel *k)
{
  int n = k->config != NULL && k->config->classes != NULL ? (int)k->config->classes->len : 1;

  return MAX (0, n - 1) * COHORTS;
}

static Learned *
find (BjKernel *k, const BjCall *c)
{
  int64_t key = (int64_t)c->route;
  Learned *l = g_hash_table_lookup (k->level.learned, &key);

  if (l != NULL)
    return l;
  l = g_new0 (Learned, 1);
  l->route = key;
  g_hash_table_insert (k->level.learned, &l->route, l);
  return l;
}

static double
faded (const Learned *l, BjTime now)
{
  double age = now - l->at - FRESH_MS;

  return l->level * CLAMP (1 - age / FADE_MS, 0, 1);
}

static BjCall *
parent_of (BjKernel *k, const BjCall *c)
{
  return c->request.parent != 0 ? g_hash_table_lookup (k->calls, &c->request.parent) : NULL;
}
