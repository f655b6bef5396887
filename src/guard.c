// Guard: admits calls to the own upstream, through the limiter and the queue.

#include "kernel.h"

static void configure_queue (BjKernel *k, BjTime now, const BjServiceConfig *s);
static void refuse_all (BjKernel *k, BjTime now, BjCall *list);
static void start_next (BjKernel *k, BjTime now);
static bool has_slot (BjKernel *k, BjTime now);
static double time_to_return (BjKernel *k, BjTime now, int klass);

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
  configure_queue (k, now, s);
  start_next (k, now);
}

void
bj_guard_admit (BjKernel *k, BjTime now, BjCall *c)
{
  BjGuard *g = &k->guard;
  BjCall *evicted = NULL;
  BjStatus s;
  BjAnswer a;

  if (g->draining || g->limiter == NULL)
    {
      a = bj_guard_refusal (k, now, g->draining ? BJ_E_DRAINING : BJ_E_NO_UPSTREAM, c->klass);
      bj_call_refuse (k, now, c, &a);
      return;
    }
  if (c->request.is_spilled && !bj_spill_admit (k, now))
    {
      a = bj_guard_refusal (k, now, BJ_E_OVERLOAD, c->klass);
      bj_call_refuse (k, now, c, &a);
      return;
    }
  if (has_slot (k, now) && g->queue->ops->length (g->queue) == 0)
    {
      bj_call_run (k, now, c);
      return;
    }
  s = g->queue->ops->offer (g->queue, now, c, &evicted);
  if (s != BJ_OK)
    {
      a = bj_guard_refusal (k, now, s, c->klass);
      bj_call_refuse (k, now, c, &a);
      return;
    }
  c->state = BJ_CALL_QUEUED;
  c->queued = now;
  refuse_all (k, now, evicted);
  start_next (k, now);
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

  bj_spill_changed (k, now, c, -1);
  g->in_flight--;
  if (g->limiter == NULL)
    return;
  g->limiter->ops->sample (g->limiter, now, &sample);
  if (g->queue->ops->length (g->queue) == 0)
    g->queue->ops->drained (g->queue, now);
  start_next (k, now);
}

void
bj_guard_leave (BjKernel *k, BjCall *c)
{
  k->guard.queue->ops->remove (k->guard.queue, c);
}

int
bj_guard_limit (BjKernel *k, BjTime now)
{
  return k->guard.limiter->ops->limit (k->guard.limiter, now);
}

BjAnswer
bj_guard_refusal (BjKernel *k, BjTime now, BjStatus s, int klass)
{
  return (BjAnswer){
    .code = s,
    .outcome = BJ_NOT_RUN,
    .http_status = 503,
    .retry_after_ms = time_to_return (k, now, klass),
    .attempts_left = -1,
    .length = -1,
  };
}

// Calls move from a queue of another plug-in to the new one; those that it refuses are refused.
static void
configure_queue (BjKernel *k, BjTime now, const BjServiceConfig *s)
{
  BjGuard *g = &k->guard;
  BjQueue *old = g->queue;
  BjCall *c;

  if (old != NULL && old->ops == s->queue)
    {
      old->ops->configure (old, &s->queue_options);
      return;
    }
  g->queue = s->queue->create (&s->queue_options);
  while (old != NULL && (c = old->ops->take (old, now)) != NULL)
    {
      BjCall *refused = NULL;

      c->queue_next = NULL;
      if (g->queue->ops->offer (g->queue, now, c, &refused) != BJ_OK)
        refused = c;
      refuse_all (k, now, refused);
    }
  if (old != NULL)
    old->ops->destroy (old);
}

// list goes by queue_next.
static void
refuse_all (BjKernel *k, BjTime now, BjCall *list)
{
  while (list != NULL)
    {
      BjCall *c = list;
      BjAnswer a = bj_guard_refusal (k, now, BJ_E_OVERLOAD, c->klass);

      list = c->queue_next;
      c->queue_next = NULL;
      c->state = BJ_CALL_NEW;
      bj_call_refuse (k, now, c, &a);
    }
}

static void
start_next (BjKernel *k, BjTime now)
{
  BjGuard *g = &k->guard;
  BjCall *c;

  while (g->queue->ops->length (g->queue) > 0 && has_slot (k, now))
    {
      c = g->queue->ops->take (g->queue, now);
      if (c->deadline > now)
        {
          bj_call_run (k, now, c);
          continue;
        }
      c->state = BJ_CALL_NEW;
      BjAnswer a = bj_guard_refusal (k, now, BJ_E_DEADLINE, c->klass);
      bj_call_refuse (k, now, c, &a);
    }
}

static bool
has_slot (BjKernel *k, BjTime now)
{
  return k->guard.in_flight < bj_guard_limit (k, now);
}

static double
time_to_return (BjKernel *k, BjTime now, int klass)
{
  BjQueue *q = k->guard.queue;
  double wait = q != NULL ? q->ops->wait_ms (q, now, klass) : 0;
  double jitter = g_rand_double_range (k->rand, 1, 2);

  return CLAMP (wait, BJ_RETRY_AFTER_MIN_MS, BJ_RETRY_AFTER_MAX_MS) * jitter;
}
