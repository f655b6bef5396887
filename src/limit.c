// Limit: limits the calls in flight on the own upstream. Plug-ins "none", "fixed", "slots" and
// "adaptive". "adaptive" lowers the limit when the mean service time rises above its floor, the
// service time without overload. Where runs wait for nested calls, service times say little about
// load; there "slots" admits nearly as many calls as the announced slots and lowers the limit only
// when the upstream sheds calls while nearly full.

#include "boragejunction.h"
#include <math.h>

#define CALLS_PER_LIMIT 4   // calls in a window, as a multiple of the limit
#define WINDOW_MIN 10       // fewest calls in a window
#define WINDOW_MAX 200      // most calls in a window
#define STRAGGLER_WINDOWS 5 // a window closes when a call started this many windows later ends
#define SLOW_MS 1.0         // a mean service time less than this above the floor is noise
#define SLOW_DECREASE 0.9   // highest factor on the limit after a slow window, lowest SHED_DECREASE
#define SHED_DECREASE 0.7   // factor on the limit after a shed, timed-out or failed call
#define DECREASE_PAUSE_MS 50 // shortest time between two decreases for shed or timed-out calls
#define INCREASE_SHARE 0.03  // share of the limit added after a good window that reached the limit
#define INCREASE_MIN 0.5     // least increase after a good window that reached the limit, calls
#define FLOOR_LOAD_SHARE 0.5 // the floor is learned while at most this share of the limit is in use
#define FLOOR_WEIGHT 0.01    // weight of the newest service time in the floor
#define FLOOR_DROP_SHARE 0.7 // a window's mean below this share of the floor lowers it at once
#define PROBE_MS 10000       // the floor is probed after this long without a sample for it
#define PROBE_MAX_MS 500     // longest probe
#define PROBE_SAMPLES 30     // service times that complete a probe
#define JUDGED_LIMIT_SHARE 0.5 // a series of decreases is judged at this share of its first limit
#define INEFFECTIVE_RATIO 0.8  // the series had an effect if its ratio fell below this share
#define RAMP_START 0.1         // share of the slots at the start of the slow start
#define SLOTS_MAX_SHARE 0.95   // share of the slots used by "slots"; many upstreams slow down above
#define SHED_LOAD_SHARE 0.8    // a shed call means overload if this share of the limit was in use
#define SLOTS_DECREASE 0.95 // factor on the limit of "slots" after a shed call that means overload
#define SLOTS_MIN_SHARE 0.5 // lowest limit of "slots", share of the slots
#define SLOTS_INCREASE 0.02 // added to the limit of "slots" after each served call, calls

typedef struct
{
  double floor_ms; // smoothed service time without overload, 0 before the first sample
  int n;           // number of samples, up to 1 / FLOOR_WEIGHT
} Floor;

// A number of calls that started one after the other. Grouping calls by when they end instead would
// favour short calls.
typedef struct
{
  uint64_t from;     // start order of the first call
  int size;          // calls in the window
  int n;             // calls that have ended
  int n_served;      // calls that ended with BJ_OK
  double service_ms; // sum of the service times of the served calls
  double floor_ms;   // sum of the floors of the served calls
  int peak;          // most calls in flight when a call started
} Window;

typedef struct
{
  BjLimiter base;
  BjLimiterOptions o;
  double limit;
  Floor floors[BJ_CLASSES];
  Window window;
  BjTime changed_at;       // not used
  BjTime decreased_at;     // when the limit was last decreased for a shed or timed-out call
  double ratio;            // service time over floor in the last window, at least 1
  BjTime floor_learned_at; // when a floor was last learned without overload
  uint64_t n_started;      // calls that the guard has started so far
  BjTime probe_from;       // start of the probe of the floor, 0 outside a probe
  int n_probe_samples;     // service times learned in the probe
  double series_limit;     // limit at the start of a series of decreases, 0 outside one
  double series_ratio;     // service time over floor at the start of that series
  BjTime ramp_from;        // start of the slow start
} Limiter;

static BjLimiter *new_limiter (const BjLimiterOps *ops, const BjLimiterOptions *o, BjTime now);
static BjLimiter *none_create (const BjLimiterOptions *o, BjTime now);
static BjLimiter *fixed_create (const BjLimiterOptions *o, BjTime now);
static BjLimiter *adaptive_create (const BjLimiterOptions *o, BjTime now);
static void destroy (BjLimiter *l);
static int none_limit (BjLimiter *l, BjTime now);
static int fixed_limit (BjLimiter *l, BjTime now);
static int adaptive_limit (BjLimiter *l, BjTime now);
static BjLimiter *slots_create (const BjLimiterOptions *o, BjTime now);
static int slots_limit (BjLimiter *l, BjTime now);
static void slots_sample (BjLimiter *l, BjTime now, const BjLimiterSample *s);
static void ignore_sample (BjLimiter *l, BjTime now, const BjLimiterSample *s);
static void adaptive_sample (BjLimiter *l, BjTime now, const BjLimiterSample *s);
static void configure (BjLimiter *l, BjTime now, const BjLimiterOptions *o);
static void learn_floor (Limiter *l, BjTime now, const BjLimiterSample *s);
static void scale_floors (Limiter *l, double factor);
static void decrease_after_failure (Limiter *l, BjTime now, const BjLimiterSample *s);
static bool add_to_window (Limiter *l, const BjLimiterSample *s);
static void open_window (Limiter *l);
static void close_window (Limiter *l);
static void decrease_after_slow_window (Limiter *l, double ratio);
static void set_limit (Limiter *l, double limit);
static void probe_floor (Limiter *l, BjTime now);
static double ramp_share (const Limiter *l, BjTime now);

static const BjLimiterOps none_ops = { none_create, destroy, none_limit, ignore_sample, configure };
static const BjLimiterOps fixed_ops
    = { fixed_create, destroy, fixed_limit, ignore_sample, configure };
static const BjLimiterOps slots_ops
    = { slots_create, destroy, slots_limit, slots_sample, configure };
static const BjLimiterOps adaptive_ops
    = { adaptive_create, destroy, adaptive_limit, adaptive_sample, configure };

static BjLimiter *
new_limiter (const BjLimiterOps *ops, const BjLimiterOptions *o, BjTime now)
{
  Limiter *l = g_new0 (Limiter, 1);

  l->base.ops = ops;
  l->o = *o;
  l->limit = o->slots;
  l->ramp_from = now;
  l->floor_learned_at = now;
  l->ratio = 1;
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
  return BJ_LIMIT_MAX;
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

  if (l->probe_from > 0)
    n *= FLOOR_LOAD_SHARE;
  return MAX (BJ_LIMIT_MIN, (int)n);
}

static BjLimiter *
slots_create (const BjLimiterOptions *o, BjTime now)
{
  return new_limiter (&slots_ops, o, now);
}

static int
slots_limit (BjLimiter *base, BjTime now)
{
  Limiter *l = (Limiter *)base;
  double most = MAX (BJ_LIMIT_MIN, l->o.slots * SLOTS_MAX_SHARE);

  (void)now;
  return MAX (BJ_LIMIT_MIN, (int)MIN (l->limit, most));
}

// A call that is shed while enough slots are free does not lower the limit: the cause is a fault of
// the upstream, not load.
static void
slots_sample (BjLimiter *base, BjTime now, const BjLimiterSample *s)
{
  Limiter *l = (Limiter *)base;

  if (s->code == BJ_OK)
    l->limit = MIN (l->o.slots, l->limit + SLOTS_INCREASE);
  if (s->code != BJ_E_SHED || s->in_flight < SHED_LOAD_SHARE * l->limit
      || now - l->decreased_at < DECREASE_PAUSE_MS)
    return;
  l->decreased_at = now;
  l->limit = MAX (l->o.slots * SLOTS_MIN_SHARE, l->limit * SLOTS_DECREASE);
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

  l->n_started = s->n_started;
  if (l->window.size == 0)
    open_window (l);
  if (s->code == BJ_OK)
    {
      learn_floor (l, now, s);
      probe_floor (l, now);
    }
  else if (s->code != BJ_E_CANCELLED)
    decrease_after_failure (l, now, s);
  if (add_to_window (l, s))
    close_window (l);
}

static void
configure (BjLimiter *base, BjTime now, const BjLimiterOptions *o)
{
  Limiter *l = (Limiter *)base;

  (void)now;
  l->o = *o;
  l->limit = MIN (l->limit, o->slots);
}

// Above FLOOR_LOAD_SHARE of the limit, a floor is learned only while it has few samples, from the
// service time divided by the slowdown of the last window.
static void
learn_floor (Limiter *l, BjTime now, const BjLimiterSample *s)
{
  Floor *f = &l->floors[s->klass];
  int n_enough = (int)(1 / FLOOR_WEIGHT);
  double service_ms = s->service_ms;

  if (s->in_flight > MAX (1, l->limit * FLOOR_LOAD_SHARE))
    {
      if (f->n >= n_enough)
        return;
      service_ms /= l->ratio;
    }
  else
    {
      l->floor_learned_at = now;
      l->n_probe_samples++;
    }
  f->n = MIN (f->n + 1, n_enough);
  f->floor_ms += (service_ms - f->floor_ms) / f->n;
}

static void
scale_floors (Limiter *l, double factor)
{
  for (int i = 0; i < BJ_CLASSES; i++)
    l->floors[i].floor_ms *= factor;
}

// Decreases the limit after a shed, timed-out or failed call. A call that timed out within the
// tolerated service time is ignored, since it says nothing about load.
static void
decrease_after_failure (Limiter *l, BjTime now, const BjLimiterSample *s)
{
  if (s->code == BJ_E_DEADLINE && s->service_ms < l->floors[s->klass].floor_ms * l->o.tolerance)
    return;
  if (now - l->decreased_at < DECREASE_PAUSE_MS)
    return;
  l->decreased_at = now;
  set_limit (l, l->limit * SHED_DECREASE);
}

// Returns true when the window is complete, except for calls that take far longer than the others.
static bool
add_to_window (Limiter *l, const BjLimiterSample *s)
{
  Window *w = &l->window;

  if (s->order < w->from)
    return false;
  if (s->order >= w->from + (uint64_t)w->size)
    return s->order >= w->from + (uint64_t)w->size * STRAGGLER_WINDOWS;
  w->n++;
  w->peak = MAX (w->peak, s->in_flight);
  if (s->code == BJ_OK)
    {
      w->n_served++;
      w->service_ms += s->service_ms;
      w->floor_ms += l->floors[s->klass].floor_ms;
    }
  return w->n >= w->size;
}

// Starts a window with the next call; calls already running started under another limit.
static void
open_window (Limiter *l)
{
  l->window = (Window){
    .from = l->n_started + 1,
    .size = (int)CLAMP (l->limit * CALLS_PER_LIMIT, WINDOW_MIN, WINDOW_MAX),
  };
}

static void
close_window (Limiter *l)
{
  Window w = l->window;
  double ratio = w.service_ms / MAX (1e-6, w.floor_ms);

  open_window (l);
  if (w.n_served < w.size / 2)
    return;
  l->ratio = MAX (1, ratio);
  if (ratio < FLOOR_DROP_SHARE)
    scale_floors (l, ratio);
  if (ratio > l->o.tolerance && w.service_ms - w.floor_ms > SLOW_MS * w.n_served)
    {
      decrease_after_slow_window (l, ratio);
      return;
    }
  l->series_limit = 0;
  if (w.peak >= (int)l->limit)
    set_limit (l, l->limit + MAX (INCREASE_MIN, INCREASE_SHARE * l->limit));
}

// Decreases the limit after a slow window. If a series of decreases did not shorten the service
// time, load is not the cause: the floor is raised and the limit restored.
static void
decrease_after_slow_window (Limiter *l, double ratio)
{
  if (l->series_limit == 0)
    {
      l->series_limit = l->limit;
      l->series_ratio = ratio;
    }
  if (l->limit > l->series_limit * JUDGED_LIMIT_SHARE
      || ratio < l->series_ratio * INEFFECTIVE_RATIO)
    {
      set_limit (l, l->limit * CLAMP (l->o.tolerance / ratio, SHED_DECREASE, SLOW_DECREASE));
      return;
    }
  scale_floors (l, ratio);
  set_limit (l, l->series_limit);
  l->series_limit = 0;
}

static void
set_limit (Limiter *l, double limit)
{
  l->limit = CLAMP (limit, BJ_LIMIT_MIN, l->o.slots);
  open_window (l);
}

// Starts or ends a probe, which halves the limit for a short time so that the floor can be learned.
static void
probe_floor (Limiter *l, BjTime now)
{
  if (l->probe_from == 0 && now - l->floor_learned_at > PROBE_MS)
    {
      l->probe_from = now;
      l->n_probe_samples = 0;
      return;
    }
  if (l->probe_from == 0
      || (l->n_probe_samples < PROBE_SAMPLES && now - l->probe_from < PROBE_MAX_MS))
    return;
  l->probe_from = 0;
  l->floor_learned_at = now;
  set_limit (l, l->limit);
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
BJ_PLUGIN (BJ_PLUGIN_LIMITER, "slots", slots_ops)
BJ_PLUGIN (BJ_PLUGIN_LIMITER, "adaptive", adaptive_ops)
