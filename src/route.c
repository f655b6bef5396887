// Router plug-ins "round-robin" and "p2c-load": choose the daemon that a call is sent to.
//
// p2c-load draws two random candidates of the own domain and picks the less loaded one. If that one
// is full, or the domain has none, the call spills to another domain of the region, then to another
// region, if a daemon there reports spare capacity; the daemon's guard may still refuse the call.
// A failed candidate is skipped with exponential backoff, then probed with one call at a time.

#include "boragejunction.h"

#define REPORT_MAX_AGE_MS 2000 // older load reports are ignored
#define FULL_LOAD 1.5          // load of the own domain's candidate at which calls spill
#define SOFT_FAILURES_MAX 3    // consecutive sheds or timeouts before a candidate is skipped
#define SKIP_MAX_MS 2000       // longest skip before a failed candidate is probed
#define SPILL_SKIP_MS 20       // no spilled calls to a daemon for this long after it refused one
#define DRAWS_MAX 64           // random draws for one pick before all candidates are scanned
#define SCAN_MAX 32            // with this many candidates or fewer, all are scanned

typedef enum
{
  PROXIMITY_DOMAIN,
  PROXIMITY_REGION,
  PROXIMITY_OTHER_REGION,
  PROXIMITY_LEVELS,
} Proximity;

typedef struct
{
  BjRouter base;
  guint next;        // index of the next candidate, used by round-robin only
  GPtrArray *usable; // BjPeer*, scratch list of one pick
} Router;

static BjRouter *new_router (const BjRouterOps *ops);
static BjRouter *round_robin_create (void);
static BjRouter *p2c_create (void);
static void destroy_router (BjRouter *r);
static BjPeer *round_robin_pick (BjRouter *r, BjTime now, const BjRouterRequest *request);
static void round_robin_result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s);
static BjPeer *p2c_pick (BjRouter *r, BjTime now, const BjRouterRequest *request);
static void p2c_result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s);
static void skip_peer (BjPeer *p, BjTime now);
static BjPeer *
pick_best_of_two (Router *r, BjTime now, const BjRouterRequest *request, Proximity proximity);
static void choose_two (const Router *r, GRand *rand, BjPeer **a, BjPeer **b);
static BjPeer *draw_candidate (BjTime now,
                               const BjRouterRequest *request,
                               Proximity proximity,
                               const BjPeer *other,
                               int *draws);
static void
collect_candidates (Router *r, BjTime now, const BjRouterRequest *request, Proximity proximity);
static bool
is_candidate (const BjPeer *p, BjTime now, const BjRouterRequest *request, Proximity proximity);
static bool is_usable (const BjPeer *p, BjTime now, const BjCall *c);
static bool has_spare_capacity (const BjPeer *p, BjTime now);
static Proximity peer_proximity (const BjPeer *p, const BjRouterRequest *request);
static double peer_load (const BjPeer *p, BjTime now);
static double report_weight (const BjPeer *p, BjTime now);

static const BjRouterOps round_robin_ops
    = { round_robin_create, destroy_router, round_robin_pick, round_robin_result, false };
static const BjRouterOps p2c_ops = { p2c_create, destroy_router, p2c_pick, p2c_result, false };

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
destroy_router (BjRouter *base)
{
  Router *r = (Router *)base;

  g_ptr_array_free (r->usable, TRUE);
  g_free (r);
}

static BjPeer *
round_robin_pick (BjRouter *base, BjTime now, const BjRouterRequest *request)
{
  Router *r = (Router *)base;

  for (int i = 0; i < request->n; i++)
    {
      BjPeer *p = request->peers[r->next++ % (guint)request->n];

      if (!is_usable (p, now, request->call))
        continue;
      *request->n_candidates = request->n;
      return p;
    }
  *request->n_candidates = 0;
  return NULL;
}

static void
round_robin_result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s)
{
  (void)r;
  if (s == BJ_E_LOST)
    p->skip_until = now + BJ_PEER_SKIP_MS;
}

static BjPeer *
p2c_pick (BjRouter *base, BjTime now, const BjRouterRequest *request)
{
  Router *r = (Router *)base;
  BjPeer *own = pick_best_of_two (r, now, request, PROXIMITY_DOMAIN);
  BjPeer *p;

  if (own != NULL && peer_load (own, now) < FULL_LOAD)
    return own;
  for (Proximity level = PROXIMITY_REGION; level < PROXIMITY_LEVELS; level++)
    {
      p = pick_best_of_two (r, now, request, level);
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
      skip_peer (p, now);
      return;
    case BJ_E_SHED:
    case BJ_E_DEADLINE:
      if (++p->n_failures >= SOFT_FAILURES_MAX)
        skip_peer (p, now);
      return;
    case BJ_E_OVERLOAD:
      p->spill_skip_until = now + SPILL_SKIP_MS;
      return;
    default:
      return;
    }
}

static void
skip_peer (BjPeer *p, BjTime now)
{
  if (now < p->skip_until)
    return;
  p->skip_ms = CLAMP (p->skip_ms * 2, BJ_PEER_SKIP_MS, SKIP_MAX_MS);
  p->skip_until = now + p->skip_ms;
  bj_log (BJ_LOG_INFO,
          "ROUTE",
          "Peer %.*s failed; skipping it for %.0f ms.",
          BJ_STR_ARG (p->report.name),
          p->skip_ms);
}

static BjPeer *
pick_best_of_two (Router *r, BjTime now, const BjRouterRequest *request, Proximity proximity)
{
  int draws = request->n > SCAN_MAX ? DRAWS_MAX : 0;
  BjPeer *a = draw_candidate (now, request, proximity, NULL, &draws);
  BjPeer *b = draw_candidate (now, request, proximity, a, &draws);
  gint found;

  *request->n_candidates = request->n;
  if (b == NULL)
    {
      collect_candidates (r, now, request, proximity);
      found = (gint)r->usable->len;
      *request->n_candidates = found;
      if (found == 0)
        return NULL;
      choose_two (r, request->rand, &a, &b);
    }
  return peer_load (b, now) < peer_load (a, now) ? b : a;
}

// Picks two different usable candidates, or the same one twice if there is only one.
static void
choose_two (const Router *r, GRand *rand, BjPeer **a, BjPeer **b)
{
  gint n = (gint)r->usable->len;
  gint i = g_rand_int_range (rand, 0, n);
  gint j = n > 1 ? (i + g_rand_int_range (rand, 1, n)) % n : i;

  *a = r->usable->pdata[i];
  *b = r->usable->pdata[j];
}

// Returns a random candidate other than "other", or NULL when no draws are left. Drawing avoids a
// scan of all peers.
static BjPeer *
draw_candidate (BjTime now,
                const BjRouterRequest *request,
                Proximity proximity,
                const BjPeer *other,
                int *draws)
{
  while (*draws > 0)
    {
      BjPeer *p = request->peers[g_rand_int_range (request->rand, 0, request->n)];

      (*draws)--;
      if (p != other && is_candidate (p, now, request, proximity))
        return p;
    }
  return NULL;
}

static void
collect_candidates (Router *r, BjTime now, const BjRouterRequest *request, Proximity proximity)
{
  g_ptr_array_set_size (r->usable, 0);
  for (int i = 0; i < request->n; i++)
    if (is_candidate (request->peers[i], now, request, proximity))
      g_ptr_array_add (r->usable, request->peers[i]);
}

static bool
is_candidate (const BjPeer *p, BjTime now, const BjRouterRequest *request, Proximity proximity)
{
  if (peer_proximity (p, request) != proximity || !is_usable (p, now, request->call))
    return false;
  if (p->skip_ms > 0 && p->own_in_flight > 0)
    return false;
  return proximity == PROXIMITY_DOMAIN || has_spare_capacity (p, now);
}

static bool
is_usable (const BjPeer *p, BjTime now, const BjCall *c)
{
  return now >= p->skip_until && bj_peer_is_eligible (p, c);
}

// A daemon of another domain offers a share of the capacity that its own domain leaves unused.
static bool
has_spare_capacity (const BjPeer *p, BjTime now)
{
  double others_in_flight
      = MAX (0, p->report.in_flight - p->own_in_flight) * report_weight (p, now);
  double spare = p->report.limit - others_in_flight;

  if (now < p->spill_skip_until)
    return false;
  return p->own_in_flight == 0 || p->own_in_flight < spare * BJ_SPILL_SHARE;
}

static Proximity
peer_proximity (const BjPeer *p, const BjRouterRequest *request)
{
  if (bj_str_equal (p->report.domain, request->domain))
    return PROXIMITY_DOMAIN;
  return bj_str_equal (p->report.region, request->region) ? PROXIMITY_REGION
                                                          : PROXIMITY_OTHER_REGION;
}

// Counts the new call too, because it can fill an idle candidate with a small limit.
static double
peer_load (const BjPeer *p, BjTime now)
{
  double weight = report_weight (p, now);
  double in_flight = MAX (p->own_in_flight, p->report.in_flight * weight);

  return (in_flight + p->report.queued * weight + 1) / MAX (1, p->report.limit);
}

// Weight of a load report: 1 when new, falling to 0 at REPORT_MAX_AGE_MS.
static double
report_weight (const BjPeer *p, BjTime now)
{
  return CLAMP (1 - (now - p->reported) / REPORT_MAX_AGE_MS, 0, 1);
}

BJ_PLUGIN (BJ_PLUGIN_ROUTER, "round-robin", round_robin_ops)
BJ_PLUGIN (BJ_PLUGIN_ROUTER, "p2c-load", p2c_ops)
