// Route: which upstream's daemon gets a call. Plug-ins "round-robin" and "p2c-load".
//
// p2c-load takes the less loaded of two random candidates, in the own domain first. When that one
// is full, or the domain has none, a daemon of the region's sister domain and then of the other
// region gets the call, as long as it seems to have spare capacity; its guard has the last word.
// A candidate that fails is skipped for a time that doubles, then tried with one call at once.

#include "boragejunction.h"

#define REPORT_MAX_AGE_MS 2000 // an older report says nothing about load
#define FULL_LOAD 1.5          // of the own domain's candidate, from which calls spill
#define SOFT_FAILURES 3        // sheds or timeouts in a row before a candidate is skipped
#define SKIP_MAX_MS 2000       // longest time without a probe
#define SPILL_SKIP_MS 20       // a daemon of another domain that refused gets nothing for this long
#define DRAWS_MAX 64           // random draws before every candidate is looked at
#define DRAW_FROM 32           // candidates, fewer are all looked at

typedef enum
{
  NEAR_DOMAIN,
  NEAR_REGION,
  NEAR_FAR,
  NEAR_LEVELS,
} Nearness;

typedef struct
{
  BjRouter base;
  guint next;        // round-robin only
  GPtrArray *usable; // scratch
} Router;

static BjRouter *new_router (const BjRouterOps *ops);
static BjRouter *round_robin_create (void);
static BjRouter *p2c_create (void);
static void destroy (BjRouter *r);
static BjPeer *round_robin_pick (BjRouter *r, BjTime now, const BjRouterAsk *ask);
static void round_robin_result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s);
static BjPeer *p2c_pick (BjRouter *r, BjTime now, const BjRouterAsk *ask);
static void p2c_result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s);
static void skip (BjPeer *p, BjTime now);
static BjPeer *best_of_two (Router *r, BjTime now, const BjRouterAsk *ask, Nearness n);
static void take_two (const Router *r, GRand *rand, BjPeer **a, BjPeer **b);
static BjPeer *
draw (BjTime now, const BjRouterAsk *ask, Nearness n, const BjPeer *other, int *draws);
static void collect (Router *r, BjTime now, const BjRouterAsk *ask, Nearness n);
static bool is_candidate (const BjPeer *p, BjTime now, const BjRouterAsk *ask, Nearness n);
static bool is_usable (const BjPeer *p, BjTime now, const BjCall *c);
static bool has_room (const BjPeer *p, BjTime now);
static Nearness nearness (const BjPeer *p, const BjRouterAsk *ask);
static double load (const BjPeer *p, BjTime now);
static double freshness (const BjPeer *p, BjTime now);

static const BjRouterOps round_robin_ops
    = { round_robin_create, destroy, round_robin_pick, round_robin_result, false };
static const BjRouterOps p2c_ops = { p2c_create, destroy, p2c_pick, p2c_result, false };

static BjRouter *
new_router (const BjRouterOps *ops)
{
  Router *r = g_new0 (Router, 1);

  r->base.ops = ops;
  r->usable = g_ptr_array_new ();
  return &r->base;
}

static BjRouter *
round_robin_create (void)
{
  return new_router (&round_robin_ops);
}

static BjRouter *
p2c_create (void)
{
  return new_router (&p2c_ops);
}

static void
destroy (BjRouter *base)
{
  Router *r = (Router *)base;

  g_ptr_array_free (r->usable, TRUE);
  g_free (r);
}

static BjPeer *
round_robin_pick (BjRouter *base, BjTime now, const BjRouterAsk *ask)
{
  Router *r = (Router *)base;

  for (int i = 0; i < ask->n; i++)
    {
      BjPeer *p = ask->peers[r->next++ % (guint)ask->n];

      if (!is_usable (p, now, ask->call))
        continue;
      *ask->n_candidates = ask->n;
      return p;
    }
  *ask->n_candidates = 0;
  return NULL;
}

static void
round_robin_result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s)
{
  (void)r;
  if (s == BJ_E_LOST)
    p->skip_until = now + BJ_SKIP_MS;
}

static BjPeer *
p2c_pick (BjRouter *base, BjTime now, const BjRouterAsk *ask)
{
  Router *r = (Router *)base;
  BjPeer *own = best_of_two (r, now, ask, NEAR_DOMAIN);
  BjPeer *p;

  if (own != NULL && load (own, now) < FULL_LOAD)
    return own;
  for (Nearness near = NEAR_REGION; near < NEAR_LEVELS; near++)
    {
      p = best_of_two (r, now, ask, near);
      if (p != NULL)
        return p;
    }
  return own;
}

static void
p2c_result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s)
{
  (void)r;
  switch (s)
    {
    case BJ_OK:
      p->n_failures = 0;
      p->skip_ms = 0;
      p->skip_until = 0;
      return;
    case BJ_E_LOST:
    case BJ_E_BROKEN:
    case BJ_E_NO_UPSTREAM:
    case BJ_E_DRAINING:
      skip (p, now);
      return;
    case BJ_E_SHED:
    case BJ_E_DEADLINE:
      if (++p->n_failures >= SOFT_FAILURES)
        skip (p, now);
      return;
    case BJ_E_OVERLOAD:
      p->spill_skip_until = now + SPILL_SKIP_MS;
      return;
    default:
      return;
    }
}

static void
skip (BjPeer *p, BjTime now)
{
  if (now < p->skip_until)
    return;
  p->skip_ms = CLAMP (p->skip_ms * 2, BJ_SKIP_MS, SKIP_MAX_MS);
  p->skip_until = now + p->skip_ms;
  bj_log (BJ_LOG_INFO,
          "ROUTE",
          "%.*s failed and is skipped for %.0f ms.",
          BJ_STR_ARG (p->report.name),
          p->skip_ms);
}

static BjPeer *
best_of_two (Router *r, BjTime now, const BjRouterAsk *ask, Nearness n)
{
  int draws = ask->n > DRAW_FROM ? DRAWS_MAX : 0;
  BjPeer *a = draw (now, ask, n, NULL, &draws);
  BjPeer *b = draw (now, ask, n, a, &draws);
  gint found;

  *ask->n_candidates = ask->n;
  if (b == NULL)
    {
      collect (r, now, ask, n);
      found = (gint)r->usable->len;
      *ask->n_candidates = found;
      if (found == 0)
        return NULL;
      take_two (r, ask->rand, &a, &b);
    }
  return load (b, now) < load (a, now) ? b : a;
}

// Two different usable candidates, or the only one twice.
static void
take_two (const Router *r, GRand *rand, BjPeer **a, BjPeer **b)
{
  gint n = (gint)r->usable->len;
  gint i = g_rand_int_range (rand, 0, n);
  gint j = n > 1 ? (i + g_rand_int_range (rand, 1, n)) % n : i;

  *a = r->usable->pdata[i];
  *b = r->usable->pdata[j];
}

// One random candidate, so that a decision among many does not look at all; not the other; NULL
// without draws.
static BjPeer *
draw (BjTime now, const BjRouterAsk *ask, Nearness n, const BjPeer *other, int *draws)
{
  while (*draws > 0)
    {
      BjPeer *p = ask->peers[g_rand_int_range (ask->rand, 0, ask->n)];

      (*draws)--;
      if (p != other && is_candidate (p, now, ask, n))
        return p;
    }
  return NULL;
}

static void
collect (Router *r, BjTime now, const BjRouterAsk *ask, Nearness n)
{
  g_ptr_array_set_size (r->usable, 0);
  for (int i = 0; i < ask->n; i++)
    if (is_candidate (ask->peers[i], now, ask, n))
      g_ptr_array_add (r->usable, ask->peers[i]);
}

static bool
is_candidate (const BjPeer *p, BjTime now, const BjRouterAsk *ask, Nearness n)
{
  if (nearness (p, ask) != n || !is_usable (p, now, ask->call))
    return false;
  if (p->skip_ms > 0 && p->own_in_flight > 0)
    return false;
  return n == NEAR_DOMAIN || has_room (p, now);
}

static bool
is_usable (const BjPeer *p, BjTime now, const BjCall *c)
{
  return now >= p->skip_until && bj_peer_takes (p, c);
}

// A daemon of another domain may take a share of what its own domain leaves free.
static bool
has_room (const BjPeer *p, BjTime now)
{
  double others = MAX (0, p->report.in_flight - p->own_in_flight) * freshness (p, now);
  double spare = p->report.limit - others;

  if (now < p->spill_skip_until)
    return false;
  return p->own_in_flight == 0 || p->own_in_flight < spare * BJ_SPILL_SHARE;
}

static Nearness
nearness (const BjPeer *p, const BjRouterAsk *ask)
{
  if (bj_str_equal (p->report.domain, ask->domain))
    return NEAR_DOMAIN;
  return bj_str_equal (p->report.region, ask->region) ? NEAR_REGION : NEAR_FAR;
}

// With the call on top, so that a candidate with a small limit is not taken for idle.
static double
load (const BjPeer *p, BjTime now)
{
  double fresh = freshness (p, now);
  double in_flight = MAX (p->own_in_flight, p->report.in_flight * fresh);

  return (in_flight + p->report.queued * fresh + 1) / MAX (1, p->report.limit);
}

// How much a report still counts: 1 for a new one, 0 for one too old.
static double
freshness (const BjPeer *p, BjTime now)
{
  return CLAMP (1 - (now - p->reported) / REPORT_MAX_AGE_MS, 0, 1);
}

BJ_PLUGIN (BJ_PLUGIN_ROUTER, "round-robin", round_robin_ops)
BJ_PLUGIN (BJ_PLUGIN_ROUTER, "p2c-load", p2c_ops)
