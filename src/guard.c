// Guard: admits calls to the own upstream, using the limiter and the queue.

#include "kernel.h"
#include <math.h>

#define TOP_DEMAND_MS 1000.0    // time constant for smoothing the calls in flight of the top class
#define HEADROOM_SHARE 0.0625   // largest share of the limit reserved for the top class
#define COMPLETION_WEIGHT 0.02  // weight of the newest completion interval in the smoothed one
#define RETRY_AFTER_SPREAD 0.5  // random variation of the retry-after time, as a share of it, +/-
#define HEADROOM_LIMIT_MIN 4    // a limit below this reserves no slots for the top class
#define SERVICE_TIME_WEIGHT 0.1 // weight of the newest run in the smoothed time of a run
#define BACKLOG_MAX 100000.0    // calls reported for a long wait
#define LEAVE_BEGIN_SHARE 0.5   // of leave_ms, in which calls begin; the rest is for them to end
#define RATE_RETRY_AFTER_MAX_MS 2000 // longest retry-after time while a rate is in force

static void configure_queue (BjKernel *k, BjTime now, const BjServiceConfig *s);
static void replace_queue (BjKernel *k, BjTime now, const BjQueueOps *ops, const BjQueueOptions *o);
static void bound_queue (BjKernel *k, BjTime now);
static void refuse_less_important (BjKernel *k, BjTime now, int klass);
static BjStatus check_rate_wait (BjKernel *k, BjTime now, const BjCall *c);
static void refuse_queued (BjKernel *k, BjTime now, BjStatus s);
static void refuse_evicted (BjKernel *k, BjTime now, BjCall *list);
static void start_queued (BjKernel *k, BjTime now);
static BjTime get_begin_until (const BjGuard *g);
static bool has_slot (BjKernel *k, BjTime now, int klass);
static int headroom_slots (BjKernel *k, BjTime now, int limit);
static void smooth_demand (BjGuard *g, BjTime now);
static bool must_yield (BjGuard *g, const BjCall *c);
static void refuse_for_load (BjKernel *k, BjTime now, BjCall *c, BjStatus s);
static void update_completion_interval (BjGuard *g, BjTime now);
static double compute_retry_after_ms (BjKernel *k, BjTime now, int klass);

void
bj_kernel_announce (BjKernel *k, BjTime now, BjStr service, int slots)
{
  if (!bj_str_equal (k->guard.service, service))
    {
      if (k->self->service != NULL)
        g_ptr_array_remove (k->self->service->peers, k->self);
      k->self->service = NULL;
      // They wait for the service that was here before.
      refuse_queued (k, now, BJ_E_NO_UPSTREAM);
      bj_str_set (&k->guard.service, service);
      bj_str_set (&k->self->report.service, service);
      k->self->service = bj_kernel_get_service (k, service);
      g_ptr_array_add (k->self->service->peers, k->self);
      bj_log (BJ_LOG_INFO,
              "MEMBER",
              "The own upstream announced service %.*s with %d slots.",
              BJ_STR_ARG (service),
              slots);
    }
  k->guard.slots = slots;
  bj_guard_configure (k, now);
}

void
bj_kernel_upstream_down (BjKernel *k, BjTime now)
{
  if (k->self->service == NULL)
    return;
  bj_log (BJ_LOG_WARNING,
          "MEMBER",
          "The own upstream of service %.*s is down; its queued calls are refused.",
          BJ_STR_ARG (k->guard.service));
  g_ptr_array_remove (k->self->service->peers, k->self);
  k->self->service = NULL;
  bj_str_set (&k->guard.service, BJ_STR_NULL);
  bj_str_set (&k->self->report.service, BJ_STR_NULL);
  if (k->guard.limiter != NULL)
    k->guard.limiter->ops->destroy (k->guard.limiter);
  k->guard.limiter = NULL;
  k->guard.slots = 0;
  refuse_queued (k, now, BJ_E_NO_UPSTREAM);
}

void
bj_kernel_drain (BjKernel *k, BjTime now, BjDrainReason r, bool drain)
{
  int reasons = drain ? k->guard.drain_reasons | (int)r : k->guard.drain_reasons & ~(int)r;

  if ((reasons & BJ_DRAIN_UPSTREAM) == 0)
    k->guard.leaves_at = BJ_TIME_NEVER;
  else if ((k->guard.drain_reasons & BJ_DRAIN_UPSTREAM) == 0)
    k->guard.leaves_at = now + k->guard.leave_ms;
  k->guard.drain_reasons = reasons;
  drain = reasons != 0;
  if (k->guard.draining != drain)
    bj_log (BJ_LOG_INFO,
            "MEMBER",
            drain ? "Draining: new calls are refused."
                  : "Drain ended: new calls are admitted again.");
  k->guard.draining = drain;
  k->self->report.draining = drain;
  // Wakes the guard in time to refuse calls that wait, or refuses them at once.
  if (k->guard.limiter != NULL)
    start_queued (k, now);
}

void
bj_kernel_set_leave_ms (BjKernel *k, double ms)
{
  k->guard.leave_ms = ms;
}

void
bj_guard_configure (BjKernel *k, BjTime now)
{
  BjGuard *g = &k->guard;
  const BjServiceConfig *s = bj_config_service (k->config, g->service);
  const BjUpstreamConfig *u = bj_config_upstream (k->config, k->self->report.name);
  BjLimiterOptions o;
  int slots = g->slots;

  if (s == NULL || g->slots == 0)
    return;
  if (u != NULL && u->max_slots > 0)
    slots = MIN (slots, u->max_slots);
  o = s->limiter_options;
  o.slots = slots;
  if (g->limiter != NULL && g->limiter->ops == s->limiter)
    g->limiter->ops->configure (g->limiter, now, &o);
  else
    {
      if (g->limiter != NULL)
        g->limiter->ops->destroy (g->limiter);
      g->limiter = s->limiter->create (&o, now);
    }
  g->max_retry_after_ms
      = s->prefer == BJ_PREFER_GOODPUT ? BJ_RETRY_AFTER_MAX_MS : BJ_RETRY_AFTER_RECOVERY_MAX_MS;
  configure_queue (k, now, s);
  start_queued (k, now);
}

void
bj_guard_admit (BjKernel *k, BjTime now, BjCall *c)
{
  BjGuard *g = &k->guard;
  BjCall *evicted = NULL;
  int standing = 0;
  BjStatus s;
  BjAnswer a;

  if (g->draining || g->limiter == NULL)
    {
      a = bj_guard_make_refusal (k, now, g->draining ? BJ_E_DRAINING : BJ_E_NO_UPSTREAM, c->klass);
      bj_call_refuse (k, now, c, &a);
      return;
    }
  if (g->queue->ops->account_standing != NULL)
    standing = g->queue->ops->account_standing (g->queue, c);
  c->is_above_part = standing > 0;
  bj_level_count_offered (k, now, c, false);
  // An account far below its part of a fair queue takes capacity only from accounts above theirs.
  if (c->request.is_spilled && !c->irreversible && standing >= 0
      && !bj_spill_admit (k, now, c->klass))
    {
      a = bj_guard_make_refusal (k, now, BJ_E_OVERLOAD, c->klass);
      bj_call_refuse (k, now, c, &a);
      return;
    }
  bound_queue (k, now);
  s = check_rate_wait (k, now, c);
  if (s != BJ_OK)
    {
      g->n_refused_by_rate++;
      // Calls behind it in the queue would wait even longer.
      if (s == BJ_E_OVERLOAD)
        refuse_less_important (k, now, c->klass);
      refuse_for_load (k, now, c, s);
      return;
    }
  if (has_slot (k, now, c->klass) && g->queue->ops->waiting (g->queue, c->klass) == 0)
    {
      bj_call_start (k, now, c);
      return;
    }
  if (must_yield (g, c))
    s = BJ_E_OVERLOAD;
  else
    s = g->queue->ops->offer (g->queue, now, c, &evicted);
  if (s != BJ_OK)
    {
      refuse_for_load (k, now, c, s);
      return;
    }
  c->state = BJ_CALL_QUEUED;
  c->queued = now;
  refuse_evicted (k, now, evicted);
  start_queued (k, now);
}

void
bj_guard_count_started (BjKernel *k, BjTime now, const BjCall *c)
{
  smooth_demand (&k->guard, now);
  k->guard.top_in_flight += c->klass == 0;
}

void
bj_guard_finished (BjKernel *k, BjTime now, BjCall *c, BjStatus s)
{
  BjGuard *g = &k->guard;
  BjLimiterSample sample = { .service_ms = now - c->started,
                             .klass = c->klass,
                             .order = c->start_order,
                             .n_started = g->n_started,
                             .in_flight = c->start_in_flight,
                             .code = s };

  bj_health_count_run (k, now, c, s);
  if (s == BJ_OK)
    g->service_ms
        += (sample.service_ms - g->service_ms) * (g->service_ms > 0 ? SERVICE_TIME_WEIGHT : 1);
  bj_spill_count (k, now, c, -1);
  smooth_demand (g, now);
  g->in_flight--;
  g->top_in_flight -= c->klass == 0;
  update_completion_interval (g, now);
  if (g->limiter == NULL)
    return;
  g->limiter->ops->sample (g->limiter, now, &sample);
  if (s == BJ_OK && g->queue->ops->learn_run != NULL)
    g->queue->ops->learn_run (g->queue, c, sample.service_ms);
  if (g->queue->ops->length (g->queue) == 0)
    g->queue->ops->idle (g->queue, now);
  start_queued (k, now);
}

void
bj_guard_dequeue (BjKernel *k, BjCall *c)
{
  k->guard.queue->ops->remove (k->guard.queue, c);
}

int
bj_guard_limit (BjKernel *k, BjTime now)
{
  return k->guard.limiter->ops->limit (k->guard.limiter, now);
}

// Calls in flight that the rate sustains, by Little's law, unless the limit is lower.
int
bj_guard_capacity (BjKernel *k, BjTime now)
{
  BjGuard *g = &k->guard;
  int limit = g->limiter != NULL ? bj_guard_limit (k, now) : 0;

  if (!g->rate.is_set)
    return limit;
  return (int)CLAMP (ceil (bj_rate_in_force (&g->rate, now) * g->service_ms / 1000), 1, limit);
}

int
bj_guard_backlog (BjKernel *k, BjTime now)
{
  BjGuard *g = &k->guard;
  int n = g->queue != NULL ? g->queue->ops->length (g->queue) : 0;
  double wait = bj_rate_wait_ms (&g->rate, now, n);

  if (wait <= 0 || g->service_ms <= 0)
    return n;
  return MAX (n, (int)MIN (BACKLOG_MAX, ceil (wait / g->service_ms * bj_guard_capacity (k, now))));
}

void
bj_guard_tick (BjKernel *k, BjTime now)
{
  if (now >= k->guard.wake_at)
    start_queued (k, now);
}

void
bj_guard_set_rate (BjKernel *k, BjTime now, const BjUpstreamState *s)
{
  if (s->has_rate)
    bj_rate_name (&k->guard.rate, now, s->rate);
  else
    bj_rate_name_none (&k->guard.rate, now);
  if (k->guard.queue == NULL || k->guard.limiter == NULL)
    return;
  bound_queue (k, now);
  start_queued (k, now);
}

BjAnswer
bj_guard_make_refusal (BjKernel *k, BjTime now, BjStatus s, int klass)
{
  return (BjAnswer){
    .code = s,
    .outcome = BJ_NOT_RUN,
    .http_status = 503,
    .retry_after_ms = compute_retry_after_ms (k, now, klass),
    .attempts_left = -1,
    .length = -1,
  };
}

// Configures the queue; replaces it if the plug-in changed. Calls that the new queue does not
// accept are refused.
static void
configure_queue (BjKernel *k, BjTime now, const BjServiceConfig *s)
{
  BjGuard *g = &k->guard;

  g->queue_options = s->queue_options;
  g->queue_length_max = s->queue_options.max_length;
  if (g->queue != NULL && g->queue->ops == s->queue)
    g->queue->ops->configure (g->queue, &s->queue_options);
  else
    replace_queue (k, now, s->queue, &s->queue_options);
  bound_queue (k, now);
}

static void
replace_queue (BjKernel *k, BjTime now, const BjQueueOps *ops, const BjQueueOptions *o)
{
  BjGuard *g = &k->guard;
  BjQueue *old = g->queue;
  BjCall *all_refused = NULL; // the least important first
  BjCall *c;

  g->queue = ops->create (o);
  while (old != NULL && (c = old->ops->take (old, now)) != NULL)
    {
      BjCall *refused = NULL;

      c->queue_next = NULL;
      if (g->queue->ops->offer (g->queue, now, c, &refused) != BJ_OK)
        refused = c;
      while (refused != NULL)
        {
          BjCall *next = refused->queue_next;

          refused->queue_next = all_refused;
          all_refused = refused;
          refused = next;
        }
    }
  if (old != NULL)
    old->ops->destroy (old);
  refuse_evicted (k, now, all_refused);
}

// Bounds the queue to the calls that the rate in force starts within the longest wait. Calls beyond
// that are refused, the least important first.
static void
bound_queue (BjKernel *k, BjTime now)
{
  BjGuard *g = &k->guard;
  double rate = bj_rate_in_force (&g->rate, now);
  BjQueueOptions o = g->queue_options;

  if (g->rate.is_set)
    o.max_length = (int)CLAMP (rate * o.max_wait_ms / 1000, 1, o.max_length);
  if (o.max_length == g->queue_length_max)
    return;
  g->queue_length_max = o.max_length;
  if (g->queue->ops->length (g->queue) <= o.max_length)
    g->queue->ops->configure (g->queue, &o);
  else
    replace_queue (k, now, g->queue->ops, &o);
}

// Refuses the queued calls of all less important classes.
static void
refuse_less_important (BjKernel *k, BjTime now, int klass)
{
  BjGuard *g = &k->guard;
  int n = g->queue->ops->waiting (g->queue, klass);
  BjQueueOptions o = g->queue_options;

  if (n == g->queue->ops->length (g->queue))
    return;
  o.max_length = n;
  replace_queue (k, now, g->queue->ops, &o);
  o.max_length = g->queue_length_max;
  g->queue->ops->configure (g->queue, &o);
}

// Whether c may wait until the rate lets it start.
static BjStatus
check_rate_wait (BjKernel *k, BjTime now, const BjCall *c)
{
  BjGuard *g = &k->guard;
  double wait = bj_rate_wait_ms (&g->rate, now, g->queue->ops->waiting (g->queue, c->klass));

  if (wait <= 0)
    return BJ_OK;
  if (now + wait >= c->deadline)
    return BJ_E_DEADLINE;
  return wait > g->queue_options.max_wait_ms ? BJ_E_OVERLOAD : BJ_OK;
}

// Refuses all queued calls. The caller has seen to it that none of them is admitted here again.
static void
refuse_queued (BjKernel *k, BjTime now, BjStatus s)
{
  BjQueue *q = k->guard.queue;
  BjCall *c;

  while (q != NULL && (c = q->ops->take (q, now)) != NULL)
    {
      BjAnswer a = bj_guard_make_refusal (k, now, s, c->klass);

      c->state = BJ_CALL_NEW;
      bj_call_refuse (k, now, c, &a);
    }
}

// Refuses the calls of a list linked by queue_next.
static void
refuse_evicted (BjKernel *k, BjTime now, BjCall *list)
{
  while (list != NULL)
    {
      BjCall *c = list;

      list = c->queue_next;
      c->queue_next = NULL;
      c->state = BJ_CALL_NEW;
      refuse_for_load (k, now, c, BJ_E_OVERLOAD);
    }
}

// Refuses c because of load. After an irreversible call was refused, must_yield () refuses less
// important classes while calls of its class or a more important one wait.
static void
refuse_for_load (BjKernel *k, BjTime now, BjCall *c, BjStatus s)
{
  BjAnswer a = bj_guard_make_refusal (k, now, s, c->klass);

  bj_level_count_offered (k, now, c, true);
  if (c->irreversible && s == BJ_E_OVERLOAD)
    k->guard.admitted_klass = MIN (k->guard.admitted_klass, c->klass);
  bj_call_refuse (k, now, c, &a);
}

static bool
must_yield (BjGuard *g, const BjCall *c)
{
  if (g->queue->ops->waiting (g->queue, MIN (g->admitted_klass, BJ_CLASSES - 1)) == 0)
    g->admitted_klass = BJ_CLASSES;
  return c->klass > g->admitted_klass;
}

static void
start_queued (BjKernel *k, BjTime now)
{
  BjGuard *g = &k->guard;
  double wait;
  BjCall *c;

  if (now >= get_begin_until (g))
    refuse_queued (k, now, BJ_E_DRAINING);
  while (g->queue->ops->length (g->queue) > 0
         && has_slot (k, now, g->queue->ops->waiting (g->queue, 0) > 0 ? 0 : 1))
    {
      c = g->queue->ops->take (g->queue, now);
      if (c->deadline > now)
        {
          bj_call_start (k, now, c);
          continue;
        }
      c->state = BJ_CALL_NEW;
      BjAnswer a = bj_guard_make_refusal (k, now, BJ_E_DEADLINE, c->klass);
      bj_call_refuse (k, now, c, &a);
    }
  g->wake_at = BJ_TIME_NEVER;
  if (g->queue->ops->length (g->queue) == 0)
    return;
  wait = bj_rate_wait_ms (&g->rate, now, 0);
  g->wake_at = MIN (get_begin_until (g), wait > 0 ? now + wait : BJ_TIME_NEVER);
}

// Time until which calls may begin on an upstream that leaves, so that they end before it does.
static BjTime
get_begin_until (const BjGuard *g)
{
  return g->leaves_at - MAX (g->service_ms, (1 - LEAVE_BEGIN_SHARE) * g->leave_ms);
}

static bool
has_slot (BjKernel *k, BjTime now, int klass)
{
  int limit = bj_guard_limit (k, now);

  if (bj_rate_wait_ms (&k->guard.rate, now, 0) > 0)
    return false;
  if (klass > 0)
    limit -= headroom_slots (k, now, limit);
  return k->guard.in_flight < limit;
}

// Number of slots reserved for bursts of the top class.
static int
headroom_slots (BjKernel *k, BjTime now, int limit)
{
  BjGuard *g = &k->guard;
  int max_slots = MAX (1, (int)(HEADROOM_SHARE * limit));

  if (limit < HEADROOM_LIMIT_MIN)
    return 0;
  smooth_demand (g, now);
  return CLAMP ((int)lround (g->top_demand) - g->top_in_flight, 0, max_slots);
}

static void
smooth_demand (BjGuard *g, BjTime now)
{
  double weight = 1 - exp ((g->top_demand_at - now) / TOP_DEMAND_MS);

  g->top_demand += (g->top_in_flight - g->top_demand) * weight;
  g->top_demand_at = now;
}

static void
update_completion_interval (BjGuard *g, BjTime now)
{
  double interval = MIN (now - g->last_completion, BJ_RETRY_AFTER_MIN_MS);

  if (g->last_completion > 0)
    g->completion_interval_ms += (interval - g->completion_interval_ms) * COMPLETION_WEIGHT;
  g->last_completion = now;
}

// Retry-after time of a refused call: the estimated time to serve the queued calls and all callers
// refused earlier. Random variation keeps refused callers from returning at the same moment.
static double
compute_retry_after_ms (BjKernel *k, BjTime now, int klass)
{
  BjGuard *g = &k->guard;
  BjTime *at = &g->retry_after_until[klass];
  double wait = g->queue != NULL ? g->queue->ops->wait_ms (g->queue, now, klass) : 0;
  double max_ms = MAX (BJ_RETRY_AFTER_MIN_MS, g->max_retry_after_ms);
  double interval = g->completion_interval_ms;
  double ms;

  if (g->rate.is_set)
    {
      max_ms = MAX (max_ms, RATE_RETRY_AFTER_MAX_MS);
      interval = MAX (interval, 1000 / bj_rate_in_force (&g->rate, now));
      wait = MAX (wait, bj_rate_wait_ms (&g->rate, now, 0));
    }
  *at = CLAMP (*at + interval, now, now + max_ms);
  ms = CLAMP (wait + *at - now, BJ_RETRY_AFTER_MIN_MS, max_ms);
  return ms * g_rand_double_range (k->rand, 1 - RETRY_AFTER_SPREAD, 1 + RETRY_AFTER_SPREAD);
}
