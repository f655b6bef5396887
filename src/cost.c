// Admission of whole actions by what they cost at the service that is nearest to full.
//
// A front keeps, for each such service, the share of the runs offered that may begin. The service
// is in use by what fronts admitted about one response time ago; its use divided by the share
// admitted then is its use if all were admitted. The next share brings the use to USE_TARGET. All
// fronts get the same figures and come to about the same share, so they need not know how many they
// are.

#include "cost.h"
#include <math.h>

#define USE_TARGET 1.5       // use of the service that admission aims at
#define USE_FREE 1.2         // below this use everything is admitted
#define LEARN_WEIGHT 0.2     // weight of the newest response in what is learned
#define AGE_MAX_MS 2000.0    // figures older than this are not used
#define OFFERED_MS 1000.0    // time constant of the offered runs
#define LAG_MIN_MS 100.0     // shortest time constant of the share admitted earlier
#define SHARE_MIN 0.05       // lowest share, so that responses keep coming
#define CLASS_SHARE_MIN 0.05 // share of its offered runs that each class gets at least
#define RETRY_AFTER_MAX_MS 500.0
#define RETRY_CREDIT (-10.0) // actions that retries may take ahead of others
#define ROUTES_MAX 4096
#define SERVICES_MAX 256

typedef struct
{
  int64_t route;
  BjDemand demand;
  double response_ms;
  BjTime at;
} Route;

typedef struct
{
  int64_t service;
  double use; // smoothed
  double heading;
  double lag_ms; // smoothed time to a response
  BjTime at;
  double share;       // of the offered runs, may begin
  double share_begun; // share, smoothed over lag_ms
  BjTime updated_at;
  double offered[BJ_CLASSES]; // runs, decaying
  BjTime decayed_at;
  double credit[BJ_CLASSES];      // part of an action carried over to the next one
  BjTime capacity_at[BJ_CLASSES]; // when there is capacity for all actions refused so far
} Service;

struct BjCost
{
  GHashTable *routes;   // Route
  GHashTable *services; // Service
};

static Route *find_route (BjCost *c, uint64_t route);
static Service *find_service (BjCost *c, uint64_t service);
static void update_share (Service *s, BjTime now);
static void count_offered (Service *s, BjTime now, int klass, double runs);
static double share_of_class (const Service *s, int klass);
static double wait_ms (Service *s, BjTime now, int klass, double runs, double share);

BjCost *
bj_cost_new (void)
{
  BjCost *c = g_new0 (BjCost, 1);

  c->routes = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  c->services = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return c;
}

void
bj_cost_free (BjCost *c)
{
  g_hash_table_destroy (c->routes);
  g_hash_table_destroy (c->services);
  g_free (c);
}

void
bj_cost_learn (BjCost *c, BjTime now, uint64_t route, const BjDemand *d, double response_ms)
{
  Route *r = find_route (c, route);
  Service *s = d->service != 0 ? find_service (c, d->service) : NULL;
  double weight;

  if (r == NULL || s == NULL)
    return;
  weight = r->demand.service == d->service ? LEARN_WEIGHT : 1;
  r->demand.service = d->service;
  r->demand.runs += weight * (d->runs - r->demand.runs);
  r->demand.use += weight * (d->use - r->demand.use);
  r->demand.heading += weight * (d->heading - r->demand.heading);
  r->response_ms += weight * (response_ms - r->response_ms);
  r->at = now;
  weight = s->at > 0 && now - s->at < AGE_MAX_MS ? LEARN_WEIGHT : 1;
  s->use += weight * (d->use - s->use);
  s->heading += weight * (d->heading - s->heading);
  s->lag_ms += weight * (response_ms - s->lag_ms);
  s->at = now;
  update_share (s, now);
}

BjDemand
bj_cost_of (const BjCost *c, BjTime now, uint64_t route)
{
  int64_t key = (int64_t)route;
  const Route *r = g_hash_table_lookup (c->routes, &key);

  return r != NULL && now - r->at < AGE_MAX_MS ? r->demand : (BjDemand){ 0 };
}

bool
bj_cost_admit (
    BjCost *c, BjTime now, uint64_t route, int klass, bool is_retry, double *retry_after_ms)
{
  BjDemand d = bj_cost_of (c, now, route);
  Service *s = d.service != 0 ? find_service (c, d.service) : NULL;
  double share;

  if (s == NULL || now - s->at >= AGE_MAX_MS)
    return true;
  count_offered (s, now, klass, d.runs);
  update_share (s, now);
  share = share_of_class (s, klass);
  s->credit[klass] = MIN (1, s->credit[klass] + share);
  if (share >= 1 || s->credit[klass] >= 1 || (is_retry && s->credit[klass] > RETRY_CREDIT))
    {
      s->credit[klass] = share >= 1 ? 0 : s->credit[klass] - 1;
      return true;
    }
  *retry_after_ms = wait_ms (s, now, klass, d.runs, share);
  return false;
}

static Route *
find_route (BjCost *c, uint64_t route)
{
  int64_t key = (int64_t)route;
  Route *r = g_hash_table_lookup (c->routes, &key);

  if (r != NULL || g_hash_table_size (c->routes) >= ROUTES_MAX)
    return r;
  r = g_new0 (Route, 1);
  r->route = key;
  g_hash_table_insert (c->routes, &r->route, r);
  return r;
}

static Service *
find_service (BjCost *c, uint64_t service)
{
  int64_t key = (int64_t)service;
  Service *s = g_hash_table_lookup (c->services, &key);

  if (s != NULL || g_hash_table_size (c->services) >= SERVICES_MAX)
    return s;
  s = g_new0 (Service, 1);
  s->service = key;
  s->share = 1;
  s->share_begun = 1;
  g_hash_table_insert (c->services, &s->service, s);
  return s;
}

static void
update_share (Service *s, BjTime now)
{
  double use = MAX (0, s->use + 0.0 * s->heading * s->lag_ms / 1000);
  double lag = MAX (LAG_MIN_MS, 2 * s->lag_ms);

  s->share_begun += (s->share - s->share_begun) * (1 - exp ((s->updated_at - now) / lag));
  s->updated_at = now;
  s->share = use <= USE_FREE * s->share_begun
                 ? 1
                 : CLAMP (USE_TARGET * s->share_begun / use, SHARE_MIN, 1);
}

static void
count_offered (Service *s, BjTime now, int klass, double runs)
{
  double factor = exp ((s->decayed_at - now) / OFFERED_MS);

  s->decayed_at = now;
  for (int i = 0; i < BJ_CLASSES; i++)
    s->offered[i] *= factor;
  s->offered[klass] += runs;
}

// The more important classes get what they offer first, but each class gets CLASS_SHARE_MIN.
static double
share_of_class (const Service *s, int klass)
{
  double left = 0;

  for (int i = 0; i < BJ_CLASSES; i++)
    left += s->offered[i];
  left *= MAX (0, s->share - CLASS_SHARE_MIN) / (1 - CLASS_SHARE_MIN);
  for (int i = 0; i < klass; i++)
    left -= s->offered[i];
  return CLASS_SHARE_MIN + (1 - CLASS_SHARE_MIN) * CLAMP (left / s->offered[klass], 0, 1);
}

// Actions refused before it take what is admitted of the class first.
static double
wait_ms (Service *s, BjTime now, int klass, double runs, double share)
{
  double per_ms = s->offered[klass] / OFFERED_MS * share;
  BjTime *at = &s->capacity_at[klass];

  *at = CLAMP (*at + runs / MAX (per_ms, 1e-6), now, now + RETRY_AFTER_MAX_MS);
  return CLAMP (*at - now, BJ_RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}
