// Retry: whether a failed call may be tried again. Plug-ins "naive" and "budget".

#include "boragejunction.h"
#include <math.h>

#define RECENT_MS 10000.0  // time constant over which fresh calls are counted
#define RESERVE_SHARE 0.25 // of the most tokens, left by a class to each more important one

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
static double most_tokens (const Retry *r);
static double left_to_others (const Retry *r, int klass);

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

  // Calls get fewer when those before them fail, and are then needed most.
  double missing = r->recent / RECENT_MS * (now - r->faded) - 1;

  r->recent = r->recent * exp ((r->faded - now) / RECENT_MS) + 1;
  r->faded = now;
  r->tokens = MIN (most_tokens (r), r->tokens + r->o.ratio * (1 + MAX (0, missing)));
}

static bool
budget_allow (BjRetry *base, BjTime now, BjCall *c)
{
  Retry *r = (Retry *)base;

  (void)now;
  if (c->attempts_left <= 0 || r->tokens < c->retry_cost + left_to_others (r, c->klass))
    return false;
  r->tokens -= c->retry_cost;
  c->attempts_left--;
  return true;
}

// Failures come in clusters, and a busy daemon sees larger ones.
static double
most_tokens (const Retry *r)
{
  return r->o.burst + r->o.saved * r->recent;
}

// What more important classes may need.
static double
left_to_others (const Retry *r, int klass)
{
  return MIN (klass, r->o.reserve) * MAX (1, RESERVE_SHARE * most_tokens (r));
}

BJ_PLUGIN (BJ_PLUGIN_RETRY, "naive", naive_ops)
BJ_PLUGIN (BJ_PLUGIN_RETRY, "budget", budget_ops)
