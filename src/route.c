// Route: which upstream's daemon gets a call. Plug-ins "round-robin" and "p2c-load".

#include "boragejunction.h"

#define REPORT_MAX_AGE_MS 2000 // an older report says nothing about load

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
static BjPeer *p2c_pick (BjRouter *r, BjTime now, const BjRouterAsk *ask);
static bool is_usable (const BjPeer *p, BjTime now, const BjCall *c);
static Nearness nearness (const BjPeer *p, const BjRouterAsk *ask);
static void collect (Router *r, BjTime now, const BjRouterAsk *ask, Nearness n);
static double load (const BjPeer *p, BjTime now);

static const BjRouterOps round_robin_ops = { round_robin_create, destroy, round_robin_pick };
static const BjRouterOps p2c_ops = { p2c_create, destroy, p2c_pick };

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

static BjPeer *
p2c_pick (BjRouter *base, BjTime now, const BjRouterAsk *ask)
{
  Router *r = (Router *)base;
  BjPeer *a;
  BjPeer *b;
  gint n;

  for (Nearness near = NEAR_DOMAIN; near < NEAR_LEVELS; near++)
    {
      collect (r, now, ask, near);
      n = (gint)r->usable->len;
      *ask->n_candidates = n;
      if (n == 0)
        continue;
      a = r->usable->pdata[g_rand_int_range (ask->rand, 0, n)];
      b = r->usable->pdata[g_rand_int_range (ask->rand, 0, n)];
      return load (b, now) < load (a, now) ? b : a;
    }
  return NULL;
}

static bool
is_usable (const BjPeer *p, BjTime now, const BjCall *c)
{
  if (p->report.draining || p->report.service.len == 0 || now < p->skip_until)
    return false;
  for (int i = 0; i < c->n_tried; i++)
    if (c->tried[i] == p)
      return false;
  return true;
}

static Nearness
nearness (const BjPeer *p, const BjRouterAsk *ask)
{
  if (bj_str_equal (p->report.domain, ask->domain))
    return NEAR_DOMAIN;
  return bj_str_equal (p->report.region, ask->region) ? NEAR_REGION : NEAR_FAR;
}

static void
collect (Router *r, BjTime now, const BjRouterAsk *ask, Nearness n)
{
  g_ptr_array_set_size (r->usable, 0);
  for (int i = 0; i < ask->n; i++)
    if (is_usable (ask->peers[i], now, ask->call) && nearness (ask->peers[i], ask) == n)
      g_ptr_array_add (r->usable, ask->peers[i]);
}

static double
load (const BjPeer *p, BjTime now)
{
  double known = 0;

  if (now - p->reported < REPORT_MAX_AGE_MS)
    known = p->report.queued;
  return (known + p->own_in_flight) / MAX (1, p->report.limit);
}

BJ_PLUGIN (BJ_PLUGIN_ROUTER, "round-robin", round_robin_ops)
BJ_PLUGIN (BJ_PLUGIN_ROUTER, "p2c-load", p2c_ops)
