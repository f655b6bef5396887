// Place: which upstream's daemon gets a call, plug-in "least-wait". The failure domains of a region
// are one pool: the daemon gets the call where it is expected to wait least, a hop counted as wait.
// Another region gets it when the own one would keep it waiting longer than the way there and back,
// and only what it has free.
//
// An upstream whose runs fail more often than those of most others gets what these have no room
// for: each failure counts as if the call had waited for its whole objective.
//
// Loads come with every answer, so that a busy caller's view of a guard is some milliseconds old.

#include "boragejunction.h"
#include <stdlib.h>

#define HOP_REGION_MS 1.0    // extra wait that a sister domain counts as
#define HOP_FAR_MS 70.0      // the same of another region
#define BUSY_LOAD 0.92       // of the limit, from which a call may have to wait
#define WAIT_WEIGHT 5.0      // of a ms of wait over one on the way: levels rise at 15 ms of wait
#define FAR_BUSY_LOAD 0.8    // of the limit, from which another region's daemon is left alone
#define FAR_BUSY_MS 500.0    // extra wait that it then counts as
#define SERVICE_MS 50.0      // time of a call at an upstream that has not answered yet
#define LOAD_MAX_AGE_MS 2000 // an older load counts for nothing but the own calls
#define FAILURES_MAX 3       // in a row, before a daemon is skipped
#define SKIP_MS 250          // first time without calls, doubled up to the next
#define SKIP_MAX_MS 2000
#define EXAMINED_MAX 32  // candidates looked at for one call; more are drawn at random
#define FAILING_MIN 50   // of 1000 runs; fewer failures are noise
#define FAILED_MS 1000.0 // that a failure counts as for a call without an objective

typedef struct
{
  BjRouter base;
} Place;

static BjRouter *create (void);
static void destroy (BjRouter *r);
static BjPeer *pick (BjRouter *r, BjTime now, const BjRouterAsk *ask);
static void result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s);
static bool was_tried (const BjPeer *p, const BjCall *c);
static bool is_candidate (const BjPeer *p, const BjRouterAsk *ask);
static bool is_near (const BjPeer *p, const BjRouterAsk *ask);
static double expected_wait (const BjPeer *p, BjTime now, const BjRouterAsk *ask);
static int common_failing (const BjRouterAsk *ask, int first, int n);
static gint by_number (gconstpointer a, gconstpointer b);
static double failure_cost (const BjPeer *p, int common, const BjRouterAsk *ask);
static double load_of (const BjPeer *p, BjTime now);

static const BjRouterOps least_wait_ops = { create, destroy, pick, result, true };

static BjRouter *
create (void)
{
  Place *r = g_new0 (Place, 1);

  r->base.ops = &least_wait_ops;
  return &r->base;
}

static void
destroy (BjRouter *r)
{
  g_free (r);
}

static BjPeer *
pick (BjRouter *r, BjTime now, const BjRouterAsk *ask)
{
  BjPeer *best = NULL;
  double best_ms = BJ_TIME_NEVER;
  int n = MIN (ask->n, EXAMINED_MAX);
  int first = ask->n > 0 ? g_rand_int_range (ask->rand, 0, ask->n) : 0;
  int common = common_failing (ask, first, n);
  double crowding = 0; // a failing one with room is taken before the others are crowded

  (void)r;
  for (int i = 0; i < n; i++)
    {
      const BjPeer *p = ask->peers[(first + i) % ask->n];

      if (is_candidate (p, ask) && is_near (p, ask) && load_of (p, now) <= BUSY_LOAD)
        crowding = MAX (crowding, failure_cost (p, common, ask));
    }
  *ask->n_candidates = 0;
  for (int i = 0; i < n; i++)
    {
      BjPeer *p = ask->peers[(first + i) % ask->n];
      double ms;

      if (!is_candidate (p, ask))
        continue;
      ms = expected_wait (p, now, ask) + failure_cost (p, common, ask);
      if (is_near (p, ask) && load_of (p, now) > BUSY_LOAD)
        ms += crowding;
      (*ask->n_candidates)++;
      if (ms >= best_ms)
        continue;
      best = p;
      best_ms = ms;
    }
  return best;
}

static void
result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s)
{
  (void)r;
  switch (s)
    {
    case BJ_OK:
      p->n_failures = 0;
      p->skip_ms = 0;
      p->skip_until = 0;
      return;
    case BJ_E_NO_UPSTREAM:
    case BJ_E_DRAINING:
      p->n_failures = FAILURES_MAX;
      break;
    case BJ_E_LOST:
    case BJ_E_CRASHED:
      p->n_failures++;
      break;
    default:
      return;
    }
  if (p->n_failures < FAILURES_MAX || now < p->skip_until)
    return;
  p->skip_ms = CLAMP (p->skip_ms * 2, SKIP_MS, SKIP_MAX_MS);
  p->skip_until = now + p->skip_ms;
  bj_log (BJ_LOG_INFO,
          "ROUTE",
          "skipped=%.*s reason=%s for_ms=%.0f",
          BJ_STR_ARG (p->report.name),
          bj_status_name (s),
          p->skip_ms);
}

static bool
was_tried (const BjPeer *p, const BjCall *c)
{
  for (int i = 0; i < c->n_tried; i++)
    if (c->tried[i] == p)
      return true;
  return false;
}

static bool
is_candidate (const BjPeer *p, const BjRouterAsk *ask)
{
  return !p->report.draining && !p->is_unheard && p->report.service.len > 0
         && !was_tried (p, ask->call);
}

static bool
is_near (const BjPeer *p, const BjRouterAsk *ask)
{
  return bj_str_equal (p->report.region, ask->region);
}

// What three quarters of the candidates reach, be it through calls that they make or through what
// they are asked.
static int
common_failing (const BjRouterAsk *ask, int first, int n)
{
  int all[EXAMINED_MAX];
  int found = 0;
  bool is_any = false;

  for (int i = 0; i < n; i++)
    {
      const BjPeer *p = ask->peers[(first + i) % ask->n];

      if (!is_candidate (p, ask))
        continue;
      all[found++] = p->report.failing;
      is_any = is_any || p->report.failing >= FAILING_MIN;
    }
  if (!is_any)
    return 0;
  qsort (all, (size_t)found, sizeof all[0], by_number);
  return all[found / 4];
}

static gint
by_number (gconstpointer a, gconstpointer b)
{
  return *(const int *)a - *(const int *)b;
}

static double
failure_cost (const BjPeer *p, int common, const BjRouterAsk *ask)
{
  double ms = ask->call->objective_ms > 0 ? ask->call->objective_ms : FAILED_MS;
  int more = p->report.failing - common;

  return more >= FAILING_MIN ? ms * more / BJ_FAILING_MAX : 0;
}

// One that is skipped is still better than none.
static double
expected_wait (const BjPeer *p, BjTime now, const BjRouterAsk *ask)
{
  bool near = is_near (p, ask);
  double service = p->service_ms > 0 ? p->service_ms : SERVICE_MS;
  double load = load_of (p, now);
  double ms = 0;

  if (!bj_str_equal (p->report.domain, ask->domain))
    ms = near ? HOP_REGION_MS : HOP_FAR_MS;
  if (!near && load > FAR_BUSY_LOAD)
    ms += FAR_BUSY_MS;
  // Among idle ones the less loaded, by less than a hop.
  ms += WAIT_WEIGHT * MAX (0, load - BUSY_LOAD) * service + MIN (load, 1) * HOP_REGION_MS / 2;
  if (now < p->skip_until)
    ms += SKIP_MAX_MS;
  return ms;
}

static double
load_of (const BjPeer *p, BjTime now)
{
  bool is_old = now - p->reported > LOAD_MAX_AGE_MS && !p->is_self;
  double told = is_old ? 0 : p->report.in_flight + p->report.queued + p->sent_since;

  return (MAX (told, p->own_in_flight) + 1) / MAX (1, p->report.limit);
}

BJ_PLUGIN (BJ_PLUGIN_ROUTER, "least-wait", least_wait_ops)
