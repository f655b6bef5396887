// Limit: how many calls may run on the own upstream. Plug-ins "none", "fixed" and "adaptive".

#include "boragejunction.h"
#include <math.h>

#define FALL_FACTOR 0.8       // limit after one overload signal
#define SLACK_MS 5            // on top of the tolerated service time, for the noise of short ones
#define FALL_PAUSE_MS 50      // between two falls
#define RISE_PER_LIMIT 0.1    // calls gained per limit's worth of good calls
#define FLOOR_RISE_PER_S 0.02 // the learned floor of service time forgets this share a second
#define RAMP_START 0.1        // share of the slots at the start of a ramp

typedef struct
{
  BjLimiter base;
  BjLimiterOptions o;
  double limit;
  double floor_ms; // lowest recent service time, 0 before the first
  BjTime floor_at;
  BjTime fell_at;
  BjTime ramp_from;
} Limiter;

static BjLimiter *new_limiter (const BjLimiterOps *ops, const BjLimiterOptions *o, BjTime now);
static BjLimiter *none_create (const BjLimiterOptions *o, BjTime now);
static BjLimiter *fixed_create (const BjLimiterOptions *o, BjTime now);
static BjLimiter *adaptive_create (const BjLimiterOptions *o, BjTime now);
static void destroy (BjLimiter *l);
static int none_limit (BjLimiter *l, BjTime now);
static int fixed_limit (BjLimiter *l, BjTime now);
static int adaptive_limit (BjLimiter *l, BjTime now);
static void ignore_sample (BjLimiter *l, BjTime now, const BjLimiterSample *s);
static void adaptive_sample (BjLimiter *l, BjTime now, const BjLimiterSample *s);
static void set_slots (BjLimiter *l, BjTime now, int slots);
static void learn_floor (Limiter *l, BjTime now, double service_ms);
static double ramp_share (const Limiter *l, BjTime now);

static const BjLimiterOps none_ops = { none_create, destroy, none_limit, ignore_sample, set_slots };
static const BjLimiterOps fixed_ops
    = { fixed_create, destroy, fixed_limit, ignore_sample, set_slots };
static const BjLimiterOps adaptive_ops
    = { adaptive_create, destroy, adaptive_limit, adaptive_sample, set_slots };

static BjLimiter *
new_limiter (const BjLimiterOps *ops, const BjLimiterOptions *o, BjTime now)
{
  Limiter *l = g_new0 (Limiter, 1);

  l->base.ops = ops;
  l->o = *o;
  l->limit = o->slots;
  l->ramp_from = now;
  return &l->base;
}

static BjLimiter *
none_create (const BjLimiterOptions *o, BjTime now)
{
  return new_limiter (&none_ops, o, now);
}

static BjLimiter *
fixed_create (const BjLimiterOptions *o, BjTime now)
{
  return new_limiter (&fixed_ops, o, now);
}

static BjLimiter *
adaptive_create (const BjLimiterOptions *o, BjTime now)
{
  return new_limiter (&adaptive_ops, o, now);
}

static void
destroy (BjLimiter *l)
{
  g_free (l);
}

static int
none_limit (BjLimiter *l, BjTime now)
{
  (void)l;
  (void)now;
  return G_MAXINT / 2;
}

static int
fixed_limit (BjLimiter *l, BjTime now)
{
  (void)now;
  return MAX (BJ_LIMIT_MIN, ((Limiter *)l)->o.slots);
}

static int
adaptive_limit (BjLimiter *base, BjTime now)
{
  Limiter *l = (Limiter *)base;
  double n = MIN (l->limit, l->o.slots * ramp_share (l, now));

  return MAX (BJ_LIMIT_MIN, (int)n);
}

static void
ignore_sample (BjLimiter *l, BjTime now, const BjLimiterSample *s)
{
  (void)l;
  (void)now;
  (void)s;
}

static void
adaptive_sample (BjLimiter *base, BjTime now, const BjLimiterSample *s)
{
  Limiter *l = (Limiter *)base;
  bool is_slow;

  if (s->code == BJ_OK)
    learn_floor (l, now, s->service_ms);
  is_slow = l->floor_ms > 0 && s->service_ms > l->floor_ms * l->o.tolerance + SLACK_MS;
  if (s->code == BJ_OK && !is_slow)
    {
      l->limit = MIN (l->o.slots, l->limit + RISE_PER_LIMIT / MAX (1, l->limit) * s->in_flight);
      return;
    }
  if (now - l->fell_at < FALL_PAUSE_MS)
    return;
  l->fell_at = now;
  l->limit = MAX (BJ_LIMIT_MIN, l->limit * FALL_FACTOR);
}

static void
set_slots (BjLimiter *base, BjTime now, int slots)
{
  Limiter *l = (Limiter *)base;

  (void)now;
  if (slots == l->o.slots)
    return;
  l->o.slots = slots;
  l->limit = MIN (l->limit, slots);
}

static void
learn_floor (Limiter *l, BjTime now, double service_ms)
{
  double elapsed_s = (now - l->floor_at) / 1000.0;

  if (l->floor_ms == 0)
    l->floor_ms = service_ms;
  l->floor_ms *= 1 + FLOOR_RISE_PER_S * elapsed_s;
  l->floor_ms = MIN (l->floor_ms, service_ms);
  l->floor_at = now;
}

static double
ramp_share (const Limiter *l, BjTime now)
{
  if (l->o.ramp_ms <= 0)
    return 1;
  return MIN (1, RAMP_START + (1 - RAMP_START) * (now - l->ramp_from) / l->o.ramp_ms);
}

BJ_PLUGIN (BJ_PLUGIN_LIMITER, "none", none_ops)
BJ_PLUGIN (BJ_PLUGIN_LIMITER, "fixed", fixed_ops)
BJ_PLUGIN (BJ_PLUGIN_LIMITER, "adaptive", adaptive_ops)
