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

typedef struct
{
  BjPeer *peer;
  bool is_near; // in the own region
  double load;  // of its limit, with this call
  double failures_ms;
} Candidate;

static BjRouter *create (void);
static void destroy (BjRouter *r);
static BjPeer *pick (BjRouter *r, BjTime now, const BjRouterAsk *ask);
static void result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s);
static int collect (BjTime now, const BjRouterAsk *ask, Candidate *all);
static void price_failures (Candidate *all, int n, const BjRouterAsk *ask);
static gint by_number (gconstpointer a, gconstpointer b);
static double expected_wait (const Candidate *c, BjTime now, const BjRouterAsk *ask);
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
  Candidate all[EXAMINED_MAX];
  int n = collect (now, ask, all);
  BjPeer *best = NULL;
  double best_ms = BJ_TIME_NEVER;
  double crowding = 0; // a failing one with room is taken before the others are crowded

  (void)r;
  *ask->n_candidates = n;
  price_failures (all, n, ask);
  for (int i = 0; i < n; i++)
    if (all[i].is_near && all[i].load <= BUSY_LOAD)
      crowding = MAX (crowding, all[i].failures_ms);
  for (int i = 0; i < n; i++)
    {
      double ms = expected_wait (&all[i], now, ask) + all[i].failures_ms;

      if (all[i].is_near && all[i].load > BUSY_LOAD)
        ms += crowding;
      if (ms >= best_ms)
        continue;
      best = all[i].peer;
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

static int
collect (BjTime now, const BjRouterAsk *ask, Candidate *all)
{
  int first = ask->n > 0 ? g_rand_int_range (ask->rand, 0, ask->n) : 0;
  int n = 0;

  for (int i = 0; i < MIN (ask->n, EXAMINED_MAX); i++)
    {
      BjPeer *p = ask->peers[(first + i) % ask->n];

      if (bj_peer_takes (p, ask->call))
        all[n++] = (Candidate){
          .peer = p,
          .is_near = bj_str_equal (p->report.region, ask->region),
          .load = load_of (p, now),
        };
    }
  return n;
}

// Failures above what three quarters of the candidates reach, be it through calls that they make or
// through what they are asked.
static void
price_failures (Candidate *all, int n, const BjRouterAsk *ask)
{
  double ms = ask->call->objective_ms > 0 ? ask->call->objective_ms : FAILED_MS;
  int failing[EXAMINED_MAX];
  bool is_any = false;

  for (int i = 0; i < n; i++)
    {
      failing[i] = all[i].peer->report.failing;
      is_any = is_any || failing[i] >= FAILING_MIN;
    }
  if (!is_any)
    return;
  qsort (failing, (size_t)n, sizeof failing[0], by_number);
  for (int i = 0; i < n; i++)
    {
      int more = all[i].peer->report.failing - failing[n / 4];

      if (more >= FAILING_MIN)
        all[i].failures_ms = ms * more / BJ_FAILING_MAX;
    }
}

static gint
by_number (gconstpointer a, gconstpointer b)
{
  return *(const int *)a - *(const int *)b;
}

// One that is skipped is still better than none.
static double
expected_wait (const Candidate *c, BjTime now, const BjRouterAsk *ask)
{
  const BjPeer *p = c->peer;
  double service = p->service_ms > 0 ? p->service_ms : SERVICE_MS;
  double ms = 0;

  if (!bj_str_equal (p->report.domain, ask->domain))
    ms = c->is_near ? HOP_REGION_MS : HOP_FAR_MS;
  if (!c->is_near && c->load > FAR_BUSY_LOAD)
    ms += FAR_BUSY_MS;
  // Among idle ones the less loaded, by less than a hop.
  ms += WAIT_WEIGHT * MAX (0, c->load - BUSY_LOAD) * service + MIN (c->load, 1) * HOP_REGION_MS / 2;
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
