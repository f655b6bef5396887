// Level: admission levels. A guard sends its level with every response, and fronts refuse the calls
// to be shed before they use a hop.
//
// Calls are ranked by class, then by the cohort of their action. A level is the number of ranks to
// shed, least important first. All calls of an action have the same cohort, so an action is
// admitted or shed as a whole. If the service uses a fair queue, a front sheds the same part of a
// class, but the accounts above their max-min fair part of the arrivals first. A level rises with
// the queue wait, before the guard has to refuse calls. It propagates up the call graph: a response
// carries the highest level of the routes that its run calls.
//
// Calls of an account that holds more than its part of a fair queue do not raise the level: the
// queue limits that account, and the level has to protect the others. While there is such an
// account, an upstream in full use does not keep the level up.
//
// Guards of other regions refuse calls long before they are overloaded themselves. A front
// therefore also keeps its own level for each route, which rises when no guard admits the route's
// calls.

#include "kernel.h"
#include "maxmin.h"

#define COHORTS 256           // ranks per class
#define WINDOW_MS 100         // interval between two updates of a level
#define CALLS_MIN 5           // a window with fewer calls does not raise the level
#define REFUSED_SHARE 0.05    // share of refused calls in a window above which the level rises
#define RAISE_RANKS 64.0      // increase for a window in which all calls were refused, ranks
#define LOWER_RANKS_MIN 8.0   // least decrease for a window without refusals, ranks
#define LOWER_SHARE 0.1       // decrease for a window without refusals, share of the level
#define WAIT_TARGET_MS 15     // mean queue wait of started calls above which the level rises
#define WAIT_RAISE_SHARE 0.25 // increase at twice WAIT_TARGET_MS or more, share of RAISE_RANKS
#define BUSY_SHARE 0.9        // load from which the level does not fall, share of the limit
#define LEARN_WEIGHT 0.2      // weight of the newest response in a learned level
#define LEVEL_MAX_AGE_MS 300  // a learned level starts to decay after this long
#define LEVEL_DECAY_MS 1000   // time from the start of the decay until a learned level is 0

typedef struct
{
  int64_t route;        // hash of the route
  double learned_level; // smoothed level from responses
  BjTime at;            // when learned_level was last updated
  bool makes_calls;     // runs of the route make nested calls
  double refusal_level; // this front's own level, from calls that no guard admitted
  int n_ended;          // calls that ended in this window
  int n_refused;        // calls that no guard admitted in this window
  BjTime window_from;
} RouteLevel;

typedef struct
{
  BjKernel *kernel;
  BjTime now;
  double level;
} MaxLevel;

static bool has_fair_queue (const BjCall *c);
static bool is_above_level (BjKernel *k, BjTime now, const BjCall *c, double level);
static void update_guard_level (BjKernel *k, BjTime now);
static bool is_busy (BjKernel *k, BjTime now);
static double max_level (const BjKernel *k);
static void add_called_level (uint64_t called, void *data);
static RouteLevel *find_route_level (BjKernel *k, uint64_t route);
static void update_refusal_level (BjKernel *k, BjTime now, RouteLevel *l);
static double lowered_level (double level, double windows);
static double level_in_force (BjKernel *k, RouteLevel *l, BjTime now);
static double decayed_level (const RouteLevel *l, BjTime now);

void
bj_level_init (BjLevel *l)
{
  l->route_levels = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
bj_level_clear (BjLevel *l)
{
  g_hash_table_destroy (l->route_levels);
  g_clear_pointer (&l->maxmin, bj_maxmin_free);
}

void
bj_level_count_offered (BjKernel *k, BjTime now, const BjCall *c, bool refused)
{
  BjLevel *l = &k->level;

  bj_demand_count_offered (k, now, refused);
  if (now - l->window_from >= WINDOW_MS)
    update_guard_level (k, now);
  l->n_above += c->is_above_part;
  if (c->is_above_part)
    return;
  l->n_offered += !refused;
  l->n_refused += refused;
}

void
bj_level_count_started (BjKernel *k, const BjCall *c, double wait_ms)
{
  if (c->is_above_part)
    return;
  k->level.n_started++;
  k->level.wait_ms += wait_ms;
}

int
bj_kernel_admission_level (BjKernel *k, BjTime now, const BjCall *c)
{
  MaxLevel max = { k, now, 0 };

  if (now - k->level.window_from >= WINDOW_MS)
    update_guard_level (k, now);
  if (!c->is_front)
    bj_parent_each_called (k, c->route, add_called_level, &max);
  return (int)MAX (MAX (k->level.own_level, c->level), max.level);
}

int
bj_level_for_call (BjKernel *k, BjTime now, const BjCall *c)
{
  return (int)level_in_force (k, find_route_level (k, c->route), now);
}

void
bj_level_learn_makes_calls (BjKernel *k, const BjCall *c, bool makes_calls)
{
  find_route_level (k, c->route)->makes_calls = makes_calls;
}

bool
bj_level_makes_calls (BjKernel *k, const BjCall *c)
{
  return find_route_level (k, c->route)->makes_calls;
}

void
bj_level_learn (BjKernel *k, BjTime now, const BjCall *c, int level)
{
  RouteLevel *l = find_route_level (k, c->route);
  BjCall *parent = bj_call_parent (k, &c->request);
  double old = decayed_level (l, now);
  double reported = CLAMP (level, 0, max_level (k));

  // A front that just started knows no level; the first one counts in full.
  l->learned_level = l->at > 0 ? old + LEARN_WEIGHT * (reported - old) : reported;
  l->at = now;
  if (parent != NULL)
    parent->level = MAX (parent->level, (int)l->learned_level);
}

void
bj_level_count_result (BjKernel *k, BjTime now, const BjCall *c, bool refused)
{
  RouteLevel *l = find_route_level (k, c->route);
  uint64_t account = bj_str_hash (c->request.account);

  if (now - l->window_from >= WINDOW_MS)
    update_refusal_level (k, now, l);
  if (has_fair_queue (c) && k->level.maxmin != NULL)
    {
      bool late = c->objective_ms > 0 && now > c->arrived + c->objective_ms;
      bool failed = c->is_failed || late;

      bj_maxmin_result (k->level.maxmin, now, c->klass, account, refused || failed);
      if (bj_maxmin_is_above (k->level.maxmin, c->klass, account))
        return;
    }
  l->n_ended++;
  l->n_refused += refused;
}

bool
bj_level_should_shed (BjKernel *k, BjTime now, const BjCall *c)
{
  double level = level_in_force (k, find_route_level (k, c->route), now);
  BjCall *parent = bj_call_parent (k, &c->request);

  if (!is_above_level (k, now, c, level) || c->irreversible)
    return false;
  // Shedding a nested call would waste the work already done for its action.
  if (c->is_nested || (c->request.parent == 0 && bj_parent_is_called (k, c->route)))
    return false;
  if (parent != NULL)
    parent->level = MAX (parent->level, (int)level);
  return true;
}

static bool
has_fair_queue (const BjCall *c)
{
  const BjServiceConfig *s = c->service != NULL ? c->service->config : NULL;

  return s != NULL && s->queue->account_standing != NULL;
}

// True if c's rank is among those that the level sheds.
static bool
is_above_level (BjKernel *k, BjTime now, const BjCall *c, double level)
{
  uint64_t account = bj_str_hash (c->request.account);
  int n = k->config->classes != NULL ? (int)k->config->classes->len : 1;
  double cohort = c->cohort % COHORTS;
  double shed = level - (n - 1 - c->klass) * COHORTS; // ranks of c's class

  if (!has_fair_queue (c))
    return (c->is_timely_retry ? 0 : cohort) >= COHORTS - shed;
  if (k->level.maxmin == NULL)
    k->level.maxmin = bj_maxmin_new ();
  bj_maxmin_count (k->level.maxmin, now, c->klass, account, c->is_timely_retry);
  shed = CLAMP (shed / COHORTS, 0, 1);
  return cohort >= COHORTS
                       * bj_maxmin_admitted_share (
                           k->level.maxmin, now, c->klass, account, c->is_timely_retry, shed);
}

static void
update_guard_level (BjKernel *k, BjTime now)
{
  BjLevel *l = &k->level;
  const BjQueue *q = k->guard.queue;
  int n = l->n_offered;
  double share = n > 0 ? (double)l->n_refused / n : 0;
  double windows = l->window_from > 0 ? (now - l->window_from) / WINDOW_MS : 1;
  double wait = l->n_started > 0 ? l->wait_ms / l->n_started : 0;
  double rise = 0;

  if (n >= CALLS_MIN && share > REFUSED_SHARE)
    rise = share * RAISE_RANKS;
  if (n >= CALLS_MIN && wait > WAIT_TARGET_MS && q != NULL && q->ops->length (q) > 0)
    rise = MAX (rise, WAIT_RAISE_SHARE * RAISE_RANKS * MIN (1, wait / WAIT_TARGET_MS - 1));
  if (rise > 0)
    l->own_level = MIN (max_level (k), l->own_level + rise);
  else if (l->n_refused == 0 && (l->n_above > 0 || !is_busy (k, now)))
    l->own_level = lowered_level (l->own_level, windows);
  l->n_offered = 0;
  l->n_refused = 0;
  l->n_started = 0;
  l->n_above = 0;
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
add_called_level (uint64_t called, void *data)
{
  MaxLevel *max = data;

  max->level = MAX (max->level,
                    level_in_force (max->kernel, find_route_level (max->kernel, called), max->now));
}

// Highest level: all ranks but those of the most important class, which a front never sheds.
static double
max_level (const BjKernel *k)
{
  int n = k->config != NULL && k->config->classes != NULL ? (int)k->config->classes->len : 1;

  return MAX (0, n - 1) * COHORTS;
}

static RouteLevel *
find_route_level (BjKernel *k, uint64_t route)
{
  int64_t key = (int64_t)route;
  RouteLevel *l = g_hash_table_lookup (k->level.route_levels, &key);

  if (l != NULL)
    return l;
  l = g_new0 (RouteLevel, 1);
  l->route = key;
  g_hash_table_insert (k->level.route_levels, &l->route, l);
  return l;
}

static void
update_refusal_level (BjKernel *k, BjTime now, RouteLevel *l)
{
  double share = l->n_ended > 0 ? (double)l->n_refused / l->n_ended : 0;
  double windows = (now - l->window_from) / WINDOW_MS;

  if (l->n_ended >= CALLS_MIN && share > REFUSED_SHARE)
    l->refusal_level = MIN (max_level (k), l->refusal_level + share * RAISE_RANKS);
  else if (l->n_refused == 0)
    l->refusal_level = lowered_level (l->refusal_level, windows);
  l->n_ended = 0;
  l->n_refused = 0;
  l->window_from = now;
}

// The level after this many windows without refusals.
static double
lowered_level (double level, double windows)
{
  return MAX (0, level - windows * MAX (LOWER_RANKS_MIN, level * LOWER_SHARE));
}

// The higher of the level learned from responses and this front's own level.
static double
level_in_force (BjKernel *k, RouteLevel *l, BjTime now)
{
  if (now - l->window_from >= WINDOW_MS)
    update_refusal_level (k, now, l);
  return MAX (decayed_level (l, now), l->refusal_level);
}

// The level learned from responses, decayed by its age.
static double
decayed_level (const RouteLevel *l, BjTime now)
{
  double age = now - l->at - LEVEL_MAX_AGE_MS;

  return l->learned_level * CLAMP (1 - age / LEVEL_DECAY_MS, 0, 1);
}
