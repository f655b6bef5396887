// Retry: whether a failed call may be tried again. Plug-ins "naive" and "budget".

#include "boragejunction.h"
#include <math.h>

#define RECENT_MS 10000.0 // time constant over which fresh calls are counted

typedef struct
{
  BjRetry base;
  BjRetryOptions o;
  double tokens;
  double recent; // fresh calls, fading with time
  BjTime faded;
} Retry;

static BjRetry *new_retry (const BjRetryOps *ops, const BjRetryOptions *o);
static BjRetry *naive_create (const BjRetryOptions *o);
static BjRetry *budget_create (const BjRetryOptions *o);
static void destroy (BjRetry *r);
static void naive_fresh (BjRetry *r, BjTime now);
static bool naive_allow (BjRetry *r, BjTime now, BjCall *c);
static void budget_fresh (BjRetry *r, BjTime now);
static bool budget_allow (BjRetry *r, BjTime now, BjCall *c);

static const BjRetryOps naive_ops = { naive_create, destroy, naive_fresh, naive_allow };
static const BjRetryOps budget_ops = { budget_create, destroy, budget_fresh, budget_allow };

static BjRetry *
new_retry (const BjRetryOps *ops, const BjRetryOptions *o)
{
  Retry *r = g_new0 (Retry, 1);

  r->base.ops = ops;
  r->o = *o;
  r->tokens = o->burst;
  return &r->base;
}

static BjRetry *
naive_create (const BjRetryOptions *o)
{
  return new_retry (&naive_ops, o);
}

static BjRetry *
budget_create (const BjRetryOptions *o)
{
  return new_retry (&budget_ops, o);
}

static void
destroy (BjRetry *r)
{
  g_free (r);
}

static void
naive_fresh (BjRetry *r, BjTime now)
{
  (void)r;
  (void)now;
}

static bool
naive_allow (BjRetry *r, BjTime now, BjCall *c)
{
  (void)r;
  (void)now;
  return c->n_tried <= BJ_ATTEMPTS;
}

static void
budget_fresh (BjRetry *base, BjTime now)
{
  Retry *r = (Retry *)base;

  r->recent = r->recent * exp ((r->faded - now) / RECENT_MS) + 1;
  r->faded = now;
  // Failures come in clusters, and a busy daemon sees larger ones.
  r->tokens = MIN (r->o.burst + r->o.saved * r->recent, r->tokens + r->o.ratio);
}

static bool
budget_allow (BjRetry *base, BjTime now, BjCall *c)
{
  Retry *r = (Retry *)base;

  (void)now;
  // What more important classes may need is left to them.
  if (c->attempts_left <= 0 || r->tokens < c->retry_cost + MIN (c->klass, r->o.reserve))
    return false;
  r->tokens -= c->retry_cost;
  c->attempts_left--;
  return true;
}

BJ_PLUGIN (BJ_PLUGIN_RETRY, "naive", naive_ops)
BJ_PLUGIN (BJ_PLUGIN_RETRY, "budget", budget_ops)
