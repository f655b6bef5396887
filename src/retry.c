// Retry: decides whether a failed call may be retried. Plug-ins "naive", which allows a fixed
// number of attempts, and "budget", a token bucket that first attempts fill.

#include "boragejunction.h"
#include <math.h>

#define FRESH_DECAY_MS 10000.0 // time constant for the count of first attempts
#define RESERVE_SHARE 0.25     // share of the bucket that a class leaves to each more important one
#define LOST_SHARE 0.5         // share of the bucket that refused calls leave to lost ones

typedef struct
{
  BjRetry base;
  BjRetryOptions o;
  double tokens;
  double recent;     // exponentially decaying count of first attempts
  BjTime decayed_at; // time up to which recent has been decayed
} Retry;

static BjRetry *new_retry (const BjRetryOps *ops, const BjRetryOptions *o);
static BjRetry *naive_create (const BjRetryOptions *o);
static BjRetry *budget_create (const BjRetryOptions *o);
static void destroy (BjRetry *r);
static void naive_count_first_attempt (BjRetry *r, BjTime now);
static bool naive_allow (BjRetry *r, BjTime now, BjCall *c);
static void budget_count_first_attempt (BjRetry *r, BjTime now);
static bool budget_allow (BjRetry *r, BjTime now, BjCall *c);
static double bucket_capacity (const Retry *r);
static double reserved_tokens (const Retry *r, const BjCall *c);

static const BjRetryOps naive_ops
    = { naive_create, destroy, naive_count_first_attempt, naive_allow };
static const BjRetryOps budget_ops
    = { budget_create, destroy, budget_count_first_attempt, budget_allow };

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
naive_count_first_attempt (BjRetry *r, BjTime now)
{
  (void)r;
  (void)now;
}

static bool
naive_allow (BjRetry *r, BjTime now, BjCall *c)
{
  (void)r;
  (void)now;
  return c->n_tried <= BJ_DEFAULT_RETRIES;
}

static void
budget_count_first_attempt (BjRetry *base, BjTime now)
{
  Retry *r = (Retry *)base;

  // Failing actions stop early and make fewer calls, which would earn fewer tokens just when they
  // are needed. So a gap is credited with the calls that the recent rate would have brought.
  double missing = r->recent / FRESH_DECAY_MS * (now - r->decayed_at) - 1;

  r->recent = r->recent * exp ((r->decayed_at - now) / FRESH_DECAY_MS) + 1;
  r->decayed_at = now;
  r->tokens = MIN (bucket_capacity (r), r->tokens + r->o.ratio * (1 + MAX (0, missing)));
}

static bool
budget_allow (BjRetry *base, BjTime now, BjCall *c)
{
  Retry *r = (Retry *)base;

  (void)now;
  if (c->attempts_left <= 0 || r->tokens < c->retry_cost + reserved_tokens (r, c))
    return false;
  r->tokens -= c->retry_cost;
  c->attempts_left--;
  return true;
}

// Capacity of the bucket. It grows with the call rate, since failures come in clusters and a busy
// daemon sees larger ones.
static double
bucket_capacity (const Retry *r)
{
  return r->o.burst + r->o.saved * r->recent;
}

// Tokens that c must leave to calls of more important classes and, if it was refused for load, to
// calls of a peer that is lost or silent: a refused caller can come back later, but without a token
// a call at a silent peer waits for its deadline.
static double
reserved_tokens (const Retry *r, const BjCall *c)
{
  double tokens = MIN (c->klass, r->o.reserve) * MAX (1, RESERVE_SHARE * bucket_capacity (r));

  return c->is_refused ? MAX (tokens, LOST_SHARE * bucket_capacity (r)) : tokens;
}

BJ_PLUGIN (BJ_PLUGIN_RETRY, "naive", naive_ops)
BJ_PLUGIN (BJ_PLUGIN_RETRY, "budget", budget_ops)
