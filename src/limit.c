// Limit: how many calls may run on the own upstream. Plug-ins "none", "fixed", "slots" and
// "adaptive". Service times say little where runs wait for calls that they make themselves; there
// "slots" trusts the announced slots, but for what the upstream refuses when they are full.

#include "boragejunction.h"
#include <math.h>

#define CALLS_PER_LIMIT 4    // samples of one window for each call of the limit
#define WINDOW_MIN 10        // samples
#define WINDOW_MAX 200       // samples
#define STRAGGLER_WINDOWS 5  // calls started this many windows later end one without the rest
#define SLOW_MS 1.0          // a mean this little over the floor is noise
#define SLOW_FALL 0.9        // of the limit, after a slow window
#define SHED_FALL 0.7        // of the limit, after a shed or timed-out call
#define FALL_PAUSE_MS 50     // between two falls for shed or timed-out calls
#define RISE_SHARE 0.03      // of the limit, after a good window that used all of it
#define RISE_MIN 0.5         // calls
#define UNCROWDED_SHARE 0.5  // of the limit; service times below it teach the floor
#define FLOOR_WEIGHT 0.01    // of the newest service time in the floor
#define FLOOR_FALL 0.7       // a window below this share of the floor lowers the floor at once
#define PROBE_MS 10000       // between two probes of the floor while the guard stays crowded
#define PROBE_MAX_MS 500     // longest probe
#define PROBE_SAMPLES 30     // of a whole probe
#define FUTILE_SHARE 0.5     // limit left of a run of falls when its effect is judged
#define FUTILE_EFFECT 0.8    // a ratio that fell less than to this share shows no effect
#define RAMP_START 0.1       // share of the slots at the start of a ramp
#define NEAR_FULL_SHARE 0.95 // of the slots; many upstreams slow down above
#define FULL_SHARE 0.8       // of the limit in flight, above which a shed is for load
#define SLOTS_FALL 0.95      // of the limit, after such a shed
#define SLOTS_MIN_SHARE 0.5  // of the slots, the lowest limit
#define SLOTS_RISE 0.02      // calls, after each call that was served

typedef struct
{
  double floor_ms; // smoothed service time while uncrowded, 0 before the first
  int n;           // service times it was learned from, up to 1 / FLOOR_WEIGHT
} Floor;

// Judges calls by when they started: taking them by when they end would prefer short ones.
typedef struct
{
  uint64_t from;     // first call
  int size;          // calls
  int n;             // that ended
  int n_served;      // of them
  double service_ms; // sum
  double floor_ms;   // sum of the floors of the same calls
  int peak;          // calls in flight
} Window;

typedef struct
{
  BjLimiter base;
  BjLimiterOptions o;
  double limit;
  Floor floors[BJ_CLASSES];
  Window window;
  BjTime changed_at;   // calls started earlier ran under another limit
  BjTime fell_at;      // for a shed or timed-out call
  double ratio;        // service time over floor in the last window, at least 1
  BjTime uncrowded_at; // last service time that taught a floor
  uint64_t n_started;  // calls of the guard so far
  BjTime probe_from;   // 0 outside a probe
  int probe_n;         // service times that taught a floor in it
  double run_limit;    // when the present run of falls began, 0 outside one
  double run_ratio;    // service time over floor then
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
static BjLimiter *slots_create (const BjLimiterOptions *o, BjTime now);
static int slots_limit (BjLimiter *l, BjTime now);
static void slots_sample (BjLimiter *l, BjTime now, const BjLimiterSample *s);
static void ignore_sample (BjLimiter *l, BjTime now, const BjLimiterSample *s);
static void adaptive_sample (BjLimiter *l, BjTime now, const BjLimiterSample *s);
static void configure (BjLimiter *l, BjTime now, const BjLimiterOptions *o);
static void learn_floor (Limiter *l, BjTime now, const BjLimiterSample *s);
static void scale_floors (Limiter *l, double factor);
static void fall_at_once (Limiter *l, BjTime now, const BjLimiterSample *s);
static bool add_to_window (Limiter *l, const BjLimiterSample *s);
static void open_window (Limiter *l);
static void close_window (Limiter *l);
static void fall (Limiter *l, double ratio);
static void set_limit (Limiter *l, double limit);
static void probe (Limiter *l, BjTime now);
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
  l->uncrowded_at = now;
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
    n *= UNCROWDED_SHARE;
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
  double most = MAX (BJ_LIMIT_MIN, l->o.slots * NEAR_FULL_SHARE);

  (void)now;
  return MAX (BJ_LIMIT_MIN, (int)MIN (l->limit, most));
}

// An upstream that refuses calls with slots free is ill, not full.
static void
slots_sample (BjLimiter *base, BjTime now, const BjLimiterSample *s)
{
  Limiter *l = (Limiter *)base;

  if (s->code == BJ_OK)
    l->limit = MIN (l->o.slots, l->limit + SLOTS_RISE);
  if (s->code != BJ_E_SHED || s->in_flight < FULL_SHARE * l->limit
      || now - l->fell_at < FALL_PAUSE_MS)
    return;
  l->fell_at = now;
  l->limit = MAX (l->o.slots * SLOTS_MIN_SHARE, l->limit * SLOTS_FALL);
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
      probe (l, now);
    }
  else if (s->code != BJ_E_CANCELLED)
    fall_at_once (l, now, s);
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

// While too many calls run, only a class whose floor is still young is learned, from what its
// service time would be without the crowd.
static void
learn_floor (Limiter *l, BjTime now, const BjLimiterSample *s)
{
  Floor *f = &l->floors[s->klass];
  int n_enough = (int)(1 / FLOOR_WEIGHT);
  double service_ms = s->service_ms;

  if (s->in_flight > MAX (1, l->limit * UNCROWDED_SHARE))
    {
      if (f->n >= n_enough)
        return;
      service_ms /= l->ratio;
    }
  else
    {
      l->uncrowded_at = now;
      l->probe_n++;
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

// A timeout sooner than the service time that is tolerated says nothing about load.
static void
fall_at_once (Limiter *l, BjTime now, const BjLimiterSample *s)
{
  if (s->code == BJ_E_DEADLINE && s->service_ms < l->floors[s->klass].floor_ms * l->o.tolerance)
    return;
  if (now - l->fell_at < FALL_PAUSE_MS)
    return;
  l->fell_at = now;
  set_limit (l, l->limit * SHED_FALL);
}

// True when the calls of the window ended, but for stragglers.
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

// Calls that run already started under another limit.
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
  if (ratio < FLOOR_FALL)
    scale_floors (l, ratio);
  if (ratio > l->o.tolerance && w.service_ms - w.floor_ms > SLOW_MS * w.n_served)
    {
      fall (l, ratio);
      return;
    }
  l->run_limit = 0;
  if (w.peak >= (int)l->limit)
    set_limit (l, l->limit + MAX (RISE_MIN, RISE_SHARE * l->limit));
}

// When falls do not bring the service time down, load is not what made it slow: the floor moved.
static void
fall (Limiter *l, double ratio)
{
  if (l->run_limit == 0)
    {
      l->run_limit = l->limit;
      l->run_ratio = ratio;
    }
  if (l->limit > l->run_limit * FUTILE_SHARE || ratio < l->run_ratio * FUTILE_EFFECT)
    {
      set_limit (l, l->limit * CLAMP (l->o.tolerance / ratio, SHED_FALL, SLOW_FALL));
      return;
    }
  scale_floors (l, ratio);
  set_limit (l, l->run_limit);
  l->run_limit = 0;
}

static void
set_limit (Limiter *l, double limit)
{
  l->limit = CLAMP (limit, BJ_LIMIT_MIN, l->o.slots);
  open_window (l);
}

// Halves the limit for a moment when nothing taught the floor for long.
static void
probe (Limiter *l, BjTime now)
{
  if (l->probe_from == 0 && now - l->uncrowded_at > PROBE_MS)
    {
      l->probe_from = now;
      l->probe_n = 0;
      return;
    }
  if (l->probe_from == 0 || (l->probe_n < PROBE_SAMPLES && now - l->probe_from < PROBE_MAX_MS))
    return;
  l->probe_from = 0;
  l->uncrowded_at = now;
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
