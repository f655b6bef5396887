// Kernel: takes a call from its arrival to its response. Makes every decision and does no I/O.

#include "access.h"
#include "instance.h"
#include "quota.h"

// An irreversible call may run on for this long after its caller was answered or disconnected.
#define DETACHED_MAX_MS 60000

static bool admit_by_rate (BjKernel *k, BjTime now, BjCall *c);
static void refuse_access (BjKernel *k, BjTime now, BjCall *c, BjStatus s);
static BjPeer *pick_peer (BjKernel *k, BjTime now, const BjCall *c, int *n_candidates);
static void dispatch (BjKernel *k, BjTime now, BjCall *c);
static void send_to (BjKernel *k, BjTime now, BjCall *c, BjPeer *p, int n_candidates);
static void leave_state (BjKernel *k, BjTime now, BjCall *c, BjStatus s);
static void handle_failure (BjKernel *k, BjTime now, BjCall *c, const BjAnswer *a);
static void retry_call (BjKernel *k, BjTime now, BjCall *c, const BjAnswer *a);
static bool may_retry (BjKernel *k, BjTime now, BjCall *c, const BjAnswer *a);
static bool is_free_retry (const BjKernel *k, const BjCall *c, const BjAnswer *a);
static void record_suspicion (BjKernel *k, BjTime now, const BjCall *c, BjStatus s);
static bool refuse_quarantined (BjKernel *k, BjTime now, BjCall *c);
static void send_answer (BjKernel *k, BjTime now, BjCall *c, BjAnswer a);
static bool lacked_capacity (const BjAnswer *a);
static void expire_call (BjKernel *k, BjTime now, BjCall *c);
static void detach_call (BjKernel *k, BjTime now, BjCall *c);
static bool cancel_work (BjKernel *k, BjTime now, BjCall *c, BjStatus s);
static int http_status_of (BjStatus s);

BjKernel *
bj_kernel_new (const BjKernelOptions *o, BjTime now)
{
  BjKernel *k = g_new0 (BjKernel, 1);

  k->host = o->host;
  k->rand = g_rand_new_with_seed (o->seed);
  k->peers = g_hash_table_new_full (bj_str_key_hash, bj_str_key_equal, NULL, bj_peer_free);
  k->services = g_hash_table_new_full (bj_str_key_hash, bj_str_key_equal, NULL, bj_service_free);
  k->deadlines = g_sequence_new (NULL);
  k->ends_at = BJ_TIME_NEVER;
  k->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  k->quarantine = bj_quarantine_new ();
  bj_level_init (&k->level);
  bj_signal_init (k);
  bj_share_init (k);
  bj_parent_init (k);
  bj_retry_after_init (k);
  k->guard.admitted_klass = BJ_CLASSES;
  k->guard.wake_at = BJ_TIME_NEVER;
  k->guard.leave_ms = BJ_LEAVE_MS;
  k->guard.leaves_at = BJ_TIME_NEVER;
  k->self = g_new0 (BjPeer, 1);
  k->self->is_self = true;
  k->self->reported = now;
  bj_peer_report_copy (&k->self->report, &o->self);
  g_hash_table_insert (k->peers, &k->self->report.name, k->self);
  return k;
}

void
bj_kernel_free (BjKernel *k)
{
  GList *open = g_hash_table_get_values (k->calls);

  for (GList *l = open; l != NULL; l = l->next)
    {
      BjCall *c = l->data;

      if (c->state == BJ_CALL_QUEUED)
        bj_guard_dequeue (k, c);
      bj_call_end (k, c);
    }
  g_list_free (open);
  if (k->guard.limiter != NULL)
    k->guard.limiter->ops->destroy (k->guard.limiter);
  if (k->guard.queue != NULL)
    k->guard.queue->ops->destroy (k->guard.queue);
  bj_str_free (&k->guard.service);
  bj_explain_clear (k);
  bj_level_clear (&k->level);
  bj_signal_clear (k);
  g_hash_table_destroy (k->calls);
  g_hash_table_destroy (k->share_states);
  bj_parent_clear (k);
  bj_access_clear (k);
  bj_retry_after_clear (k);
  g_hash_table_destroy (k->services);
  g_hash_table_destroy (k->peers);
  g_sequence_free (k->deadlines);
  bj_config_free (k->config);
  bj_quarantine_free (k->quarantine);
  g_rand_free (k->rand);
  g_free (k);
}

void
bj_kernel_set_config (BjKernel *k, BjTime now, BjConfig *c)
{
  const BjUpstreamConfig *u;
  BjConfig *old = k->config;
  GHashTableIter i;
  gpointer s;

  if (old != NULL && c->number <= old->number)
    {
      bj_config_free (c);
      return;
    }
  k->config = c;
  bj_share_clear (k);
  for (int n = 0; n < c->n_services; n++)
    bj_kernel_get_service (k, c->services[n].name);
  g_hash_table_iter_init (&i, k->services);
  while (g_hash_table_iter_next (&i, NULL, &s))
    bj_service_configure (k, s);
  bj_config_free (old);
  bj_access_configure (k);
  u = bj_config_upstream (c, k->self->report.name);
  if (u != NULL)
    bj_kernel_drain (k, now, BJ_DRAIN_TICKET, u->drain);
  bj_guard_configure (k, now);
  bj_log (BJ_LOG_INFO, "TICKET", "Ticket %" G_GINT64_FORMAT " is in force.", c->number);
}

void
bj_kernel_use_quota (BjKernel *k, BjQuota *q)
{
  k->quota = q;
}

void
bj_kernel_note_config (BjKernel *k, BjTime now, int64_t number)
{
  k->newest_config_seen = MAX (k->newest_config_seen, number);
  bj_access_note_config (k, now, number);
}

const BjConfig *
bj_kernel_config (const BjKernel *k)
{
  return k->config;
}

BjCall *
bj_kernel_arrive (BjKernel *k, BjTime now, const BjRequest *r, void *data)
{
  BjCall *c = bj_call_new (k, now, r, data);
  uint64_t id = c->id;
  const BjServiceConfig *s = NULL;
  const BjRoute *route = bj_config_route_for_host (k->config, c->request.host, c->request.path, &s);
  double deadline_ms;
  BjStatus status;

  c->is_front = true;
  bj_str_free (&c->request.account);
  if (route == NULL)
    {
      // Without a configuration it is not known whether a route exists.
      send_answer (k,
                   now,
                   c,
                   (BjAnswer){ .code = k->config != NULL ? BJ_E_NO_ROUTE : BJ_E_NO_UPSTREAM,
                               .outcome = BJ_NOT_RUN,
                               .attempts_left = -1 });
      return NULL;
    }
  c->route = bj_config_route_hash (route);
  c->klass = MAX (route->klass, MIN (r->klass, BJ_CLASSES - 1));
  if (k->config->accounts != NULL)
    bj_parent_find (k, now, c);
  status = bj_access_admit (k, now, c, route);
  if (status != BJ_OK)
    {
      refuse_access (k, now, c, status);
      return NULL;
    }
  if (c->has_account_key && !admit_by_rate (k, now, c))
    return NULL;
  c->service = bj_kernel_get_service (k, route->n_shares > 0 ? bj_share_pick (k, route) : s->name);
  c->irreversible = route->irreversible;
  c->attempts_left
      = r->attempts_left >= 0 ? MIN (r->attempts_left, route->attempts) : route->attempts;
  bj_allowance_take_from_parent (k, c);
  deadline_ms = r->deadline_ms > 0 ? MIN (r->deadline_ms, route->deadline_ms) : route->deadline_ms;
  bj_call_set_deadline (k, c, MIN (c->arrived + deadline_ms, k->ends_at));
  c->objective_ms = route->objective_ms;
  c->needs_claim = c->irreversible && route->needs_claim;
  if (c->needs_claim && c->request.key.len == 0)
    {
      send_answer (
          k, now, c, (BjAnswer){ .code = BJ_E_KEY, .outcome = BJ_NOT_RUN, .attempts_left = -1 });
      return NULL;
    }
  c->fingerprint = bj_quarantine_fingerprint (c->service->name, &c->request);
  if (refuse_quarantined (k, now, c))
    return NULL;
  if (k->config->accounts == NULL)
    bj_parent_find (k, now, c);
  c->is_timely_retry = bj_retry_after_match (k, now, c);
  if (bj_level_should_shed (k, now, c))
    {
      bj_kernel_log_decision (k,
                              now,
                              c,
                              "ROUTE",
                              "shed_early service=%.*s level=%d returning=%d",
                              BJ_STR_ARG (c->service->name),
                              bj_level_for_call (k, now, c),
                              c->is_timely_retry);
      send_answer (k, now, c, bj_guard_make_refusal (k, now, BJ_E_OVERLOAD, c->klass));
      return NULL;
    }
  c->service->retry->ops->count_first_attempt (c->service->retry, now);
  c->state = BJ_CALL_CLAIMING;
  if (c->needs_claim)
    k->host->ops->claim (k->host, c);
  else
    bj_kernel_claimed (k, now, c, NULL);
  return g_hash_table_lookup (k->calls, &id);
}

BjCall *
bj_kernel_arrive_peer (BjKernel *k, BjTime now, const BjRequest *r, BjStr service, void *data)
{
  BjCall *c = bj_call_new (k, now, r, data);
  const BjServiceConfig *s;
  uint64_t id = c->id;

  c->klass = CLAMP (r->klass, 0, BJ_CLASSES - 1);
  c->irreversible = r->irreversible;
  c->attempts_left = r->attempts_left;
  bj_call_set_deadline (k, c, now + r->deadline_ms);
  if (!bj_str_equal (service, k->guard.service))
    {
      send_answer (
          k,
          now,
          c,
          (BjAnswer){ .code = BJ_E_NO_UPSTREAM, .outcome = BJ_NOT_RUN, .attempts_left = -1 });
      return NULL;
    }
  c->service = bj_kernel_get_service (k, service);
  if (c->service->router != NULL && c->service->router->ops->pools_region)
    c->request.is_spilled = r->is_cross_region;
  c->route = bj_config_route_hash (bj_config_route_for_host (k->config, r->host, r->path, &s));
  c->objective_ms = r->objective_ms;
  c->fingerprint = bj_quarantine_fingerprint (service, &c->request);
  bj_guard_admit (k, now, c);
  return g_hash_table_lookup (k->calls, &id);
}

void
bj_kernel_claimed (BjKernel *k, BjTime now, BjCall *c, const BjAnswer *a)
{
  BjAnswer late = { .code = BJ_E_DEADLINE, .outcome = BJ_NOT_RUN, .attempts_left = -1 };

  c->state = BJ_CALL_NEW;
  // The deadline may have passed while the claim was written or this process was paused.
  if (a == NULL && c->deadline <= now)
    a = &late;
  if (a != NULL)
    send_answer (k, now, c, *a);
  else
    dispatch (k, now, c);
}

BjVerdict
bj_kernel_answer_begin (BjKernel *k, BjTime now, BjCall *c, const BjAnswer *a)
{
  BjAnswer copy = *a;

  bj_allowance_reclaim (c, a);
  if (c->state == BJ_CALL_SENT)
    {
      bj_peer_update_load (c->target, now, &a->load);
      bj_instance_update (c->target, now, &a->upstream_load);
      bj_kernel_remember_upstream (k, now, c->target->report.name, &a->upstream);
      if (a->outcome == BJ_DONE)
        bj_peer_add_response_time (c->target, now - c->sent);
      bj_level_learn (k, now, c, a->level);
      bj_level_learn_makes_calls (k, c, a->makes_calls);
    }
  if (a->outcome != BJ_NOT_RUN)
    c->may_have_run = true;
  record_suspicion (k, now, c, a->code);
  if (a->outcome == BJ_DONE && a->failed && c->is_front && !c->irreversible && !a->makes_calls
      && may_retry (k, now, c, a))
    {
      leave_state (k, now, c, BJ_E_BROKEN);
      retry_call (k, now, c, a);
      return BJ_ABSORB;
    }
  if (a->outcome == BJ_DONE)
    {
      c->answer_begun = true;
      c->status = a->http_status;
      c->is_failed = a->failed;
      if (a->failed)
        bj_health_report_nested_failure (k, c);
      return BJ_RELAY;
    }
  if (c->state == BJ_CALL_RUNNING && copy.code == BJ_OK)
    copy.code = BJ_E_SHED;
  leave_state (k, now, c, copy.code);
  handle_failure (k, now, c, &copy);
  return BJ_ABSORB;
}

void
bj_kernel_answer_end (BjKernel *k, BjTime now, BjCall *c, bool is_complete)
{
  bj_count_answer (
      k, now, c, is_complete ? BJ_OK : BJ_E_BROKEN, is_complete ? BJ_DONE : BJ_UNKNOWN);
  bj_kernel_log_decision (k,
                          now,
                          c,
                          "CALL",
                          "relayed status=%d whole=%d after_ms=%.0f level=%d",
                          c->status,
                          is_complete,
                          now - c->arrived,
                          c->is_front ? bj_level_for_call (k, now, c)
                                      : bj_kernel_admission_level (k, now, c));
  if (c->is_front)
    bj_level_count_result (k, now, c, false);
  if (!is_complete)
    bj_health_report_nested_failure (k, c);
  leave_state (k, now, c, is_complete ? BJ_OK : BJ_E_BROKEN);
  bj_call_end (k, c);
}

void
bj_kernel_call_lost (BjKernel *k, BjTime now, BjCall *c, BjStatus s, BjOutcome o)
{
  BjAnswer a
      = { .code = s, .outcome = o, .attempts_left = -1, .retry_after_ms = BJ_RETRY_AFTER_MIN_MS };

  bj_allowance_reclaim (c, &a);
  if (o != BJ_NOT_RUN)
    c->may_have_run = true;
  if (c->state == BJ_CALL_RUNNING && s == BJ_E_CRASHED)
    {
      if (bj_quarantine_record_crash (k->quarantine, now, c->fingerprint, c->started)
          == BJ_QUARANTINED)
        a.code = BJ_E_QUARANTINED;
    }
  leave_state (k, now, c, s);
  handle_failure (k, now, c, &a);
}

void
bj_kernel_upstream_crashed (BjKernel *k, BjTime now, uint64_t fingerprint, BjTime started)
{
  bj_quarantine_record_crash (k->quarantine, now, fingerprint, started);
}

void
bj_kernel_apply_notice (BjKernel *k, BjTime now, const BjNotice *n)
{
  bj_quarantine_merge (k->quarantine, now, n);
}

void
bj_kernel_collect_notices (BjKernel *k, BjTime now, bool all, GArray *notices)
{
  if (all)
    bj_quarantine_list_notices (k->quarantine, now, notices);
  else
    bj_quarantine_take_notices (k->quarantine, notices);
}

void
bj_kernel_cancel (BjKernel *k, BjTime now, BjCall *c)
{
  bj_kernel_log_decision (
      k, now, c, "CALL", "cancelled state=%d after_ms=%.0f", (int)c->state, now - c->arrived);
  if (cancel_work (k, now, c, BJ_E_CANCELLED))
    bj_call_end (k, c);
  else
    detach_call (k, now, c);
}

void
bj_kernel_skip_peer (BjKernel *k, BjTime now, BjPeer *p, double ms)
{
  (void)k;
  p->skip_until = MAX (p->skip_until, now + ms);
}

void
bj_kernel_set_peer_unreachable (BjKernel *k, BjPeer *p, bool is_unreachable)
{
  (void)k;
  if (p->is_unreachable != is_unreachable)
    bj_log (BJ_LOG_INFO,
            "LINK",
            is_unreachable
                ? "unheard=%.*s: peer is unreachable and gets no calls until it sends data"
                : "heard=%.*s: peer is reachable again",
            BJ_STR_ARG (p->report.name));
  p->is_unreachable = is_unreachable;
  if (!is_unreachable)
    p->skip_until = 0;
}

// A call that no other daemon can take, or that must not be retried, stays at its peer.
void
bj_kernel_reroute_call (BjKernel *k, BjTime now, BjCall *c)
{
  BjAnswer a = { .code = BJ_E_LOST, .outcome = BJ_UNKNOWN, .attempts_left = -1 };
  int n_candidates;

  if (c->state != BJ_CALL_SENT || pick_peer (k, now, c, &n_candidates) == NULL
      || !may_retry (k, now, c, &a))
    return;
  bj_allowance_reclaim (c, &a);
  c->may_have_run = true;
  k->host->ops->cancel (k->host, c);
  leave_state (k, now, c, BJ_E_LOST);
  retry_call (k, now, c, &a);
}

void
bj_kernel_tick (BjKernel *k, BjTime now)
{
  GSequenceIter *first;
  BjCall *c;

  for (;;)
    {
      first = g_sequence_get_begin_iter (k->deadlines);
      if (g_sequence_iter_is_end (first))
        break;
      c = g_sequence_get (first);
      if (c->deadline > now)
        break;
      expire_call (k, now, c);
    }
  bj_guard_tick (k, now);
}

BjTime
bj_kernel_next_deadline (const BjKernel *k)
{
  GSequenceIter *first = g_sequence_get_begin_iter (k->deadlines);

  if (g_sequence_iter_is_end (first))
    return k->guard.wake_at;
  return MIN (((BjCall *)g_sequence_get (first))->deadline, k->guard.wake_at);
}

bool
bj_kernel_makes_calls (BjKernel *k, const BjCall *c)
{
  return bj_parent_makes_calls (k, c->route);
}

int
bj_kernel_open_calls (const BjKernel *k)
{
  return (int)g_hash_table_size (k->calls);
}

void
bj_call_refuse (BjKernel *k, BjTime now, BjCall *c, const BjAnswer *a)
{
  BjLoad load = bj_kernel_load (k, now);

  bj_kernel_log_decision (k,
                          now,
                          c,
                          "LIMIT",
                          "refused=%s in_flight=%d limit=%d queued=%d rate=%g come_back_ms=%.0f",
                          bj_status_name (a->code),
                          load.in_flight,
                          load.limit,
                          load.queued,
                          k->guard.rate.is_set ? bj_rate_in_force (&k->guard.rate, now) : -1,
                          a->retry_after_ms);
  handle_failure (k, now, c, a);
}

void
bj_call_start (BjKernel *k, BjTime now, BjCall *c)
{
  BjStatus s = bj_access_check_again (k, now, c);
  BjAnswer a;

  // The key may have been withdrawn while the call was queued.
  if (s != BJ_OK)
    {
      c->state = BJ_CALL_NEW;
      refuse_access (k, now, c, s);
      return;
    }
  s = bj_quarantine_start_run (k->quarantine, now, c->fingerprint);
  if (s != BJ_OK)
    {
      c->state = BJ_CALL_NEW;
      a = bj_guard_make_refusal (k, now, s, c->klass);
      if (s == BJ_E_QUARANTINED)
        a = (BjAnswer){ .code = s, .outcome = BJ_NOT_RUN, .attempts_left = -1, .length = -1 };
      bj_call_refuse (k, now, c, &a);
      return;
    }
  k->guard.n_waited += c->queued > 0 && now > c->queued;
  bj_level_count_started (k, c, c->queued > 0 ? now - c->queued : 0);
  bj_rate_count_start (&k->guard.rate, now);
  c->state = BJ_CALL_RUNNING;
  c->started = now;
  bj_spill_count (k, now, c, 1);
  c->start_order = ++k->guard.n_started;
  c->start_in_flight = ++k->guard.in_flight;
  bj_parent_run_started (k, c);
  bj_guard_count_started (k, now, c);
  bj_kernel_log_decision (k,
                          now,
                          c,
                          "LIMIT",
                          "started in_flight=%d limit=%d waited_ms=%.1f left_ms=%.0f",
                          k->guard.in_flight,
                          bj_guard_limit (k, now),
                          c->queued > 0 ? now - c->queued : 0,
                          c->deadline - now);
  k->host->ops->start_upstream (k->host, c);
}

// The one place where the rate of an account applies: true if the call of a caller may go on.
// Otherwise sends the refusal, BJ_E_RATE with outcome not-run and a retry-after time, and frees c.
static bool
admit_by_rate (BjKernel *k, BjTime now, BjCall *c)
{
  const BjAccount *a = bj_access_account (k, c);
  BjAnswer refusal = { .code = BJ_E_RATE, .outcome = BJ_NOT_RUN, .attempts_left = -1 };

  if (a == NULL || a->rate_per_s <= 0 || k->quota == NULL)
    return true;
  if (bj_quota_admit (k->quota, now, a->hash, &refusal.retry_after_ms))
    {
      c->rated_account = a->hash;
      return true;
    }
  bj_kernel_log_decision (k,
                          now,
                          c,
                          "ACCOUNT",
                          "account=%.*s above_rate=%g come_back_ms=%.0f",
                          BJ_STR_ARG (a->name),
                          a->rate_per_s,
                          refusal.retry_after_ms);
  send_answer (k, now, c, refusal);
  return false;
}

static void
refuse_access (BjKernel *k, BjTime now, BjCall *c, BjStatus s)
{
  bj_kernel_log_decision (k,
                          now,
                          c,
                          "ACCOUNT",
                          "key=%s config=%" G_GINT64_FORMAT " newer=%" G_GINT64_FORMAT,
                          c->request.api_key.len > 0 ? "unknown" : "missing",
                          k->config->number,
                          MAX (k->newer_config, k->config->number));
  send_answer (k, now, c, (BjAnswer){ .code = s, .outcome = BJ_NOT_RUN, .attempts_left = -1 });
}

static BjPeer *
pick_peer (BjKernel *k, BjTime now, const BjCall *c, int *n_candidates)
{
  BjPeerReport self;
  BjRouterRequest request = {
    .call = c,
    .peers = (BjPeer *const *)c->service->peers->pdata,
    .n = (int)c->service->peers->len,
    .domain = k->self->report.domain,
    .region = k->self->report.region,
    .rand = k->rand,
    .n_candidates = n_candidates,
  };

  *n_candidates = 0;
  bj_kernel_get_self_report (k, now, &self); // updates the load in k->self, which the router reads
  if (bj_quarantine_state (k->quarantine, now, c->fingerprint) == BJ_SUSPECT)
    return bj_quarantine_assigned_peer (c->service, c->fingerprint);
  return c->service->router->ops->pick (c->service->router, now, &request);
}

static void
dispatch (BjKernel *k, BjTime now, BjCall *c)
{
  int n_candidates;
  BjStatus s = bj_access_check_again (k, now, c);
  BjPeer *p;
  BjAnswer a;

  if (s != BJ_OK)
    {
      refuse_access (k, now, c, s);
      return;
    }
  if (k->starts_no_irreversible && c->irreversible)
    {
      send_answer (k, now, c, bj_guard_make_refusal (k, now, BJ_E_DRAINING, c->klass));
      return;
    }
  p = pick_peer (k, now, c, &n_candidates);
  if (p != NULL)
    {
      send_to (k, now, c, p, n_candidates);
      return;
    }
  bj_kernel_log_decision (k,
                          now,
                          c,
                          "ROUTE",
                          "no_upstream service=%.*s known=%d tried=%d",
                          BJ_STR_ARG (c->service->name),
                          (int)c->service->peers->len,
                          c->n_tried);
  a = bj_guard_make_refusal (k, now, BJ_E_NO_UPSTREAM, c->klass);
  send_answer (k, now, c, a);
}

static void
send_to (BjKernel *k, BjTime now, BjCall *c, BjPeer *p, int n_candidates)
{
  bool has_slowness = bj_instance_has_slowness (p, now);

  if (has_slowness)
    {
      k->counts.n_slowness++;
      k->counts.slowness += (uint64_t)p->upstream_load.slowness;
      k->counts.slowness_age_ms += now - p->upstream_load_at;
    }
  c->target = p;
  if (c->n_tried < BJ_PEERS_TRIED_MAX)
    c->tried[c->n_tried++] = p;
  bj_kernel_log_decision (
      k,
      now,
      c,
      "ROUTE",
      "service=%.*s inner=%d to=%.*s own=%d in_flight=%d queued=%d limit=%d load_age_ms=%.0f "
      "slowness=%d slowness_age_ms=%.0f candidates=%d left_ms=%.0f config=%" G_GINT64_FORMAT,
      BJ_STR_ARG (c->service->name),
      c->is_nested,
      BJ_STR_ARG (p->report.name),
      p->own_in_flight,
      p->report.in_flight,
      p->report.queued,
      p->report.limit,
      now - p->reported,
      has_slowness ? p->upstream_load.slowness : -1,
      has_slowness ? now - p->upstream_load_at : -1,
      n_candidates,
      c->deadline - now,
      k->config != NULL ? k->config->number : 0);
  c->attempts_at_send = c->attempts_left;
  if (p->is_self)
    {
      bj_guard_admit (k, now, c);
      return;
    }
  bj_allowance_delegate (c);
  c->state = BJ_CALL_SENT;
  c->sent = now;
  p->own_in_flight++;
  p->sent_since_report++;
  k->host->ops->send_peer (k->host, c, p);
}

static void
leave_state (BjKernel *k, BjTime now, BjCall *c, BjStatus s)
{
  BjCallState was = c->state;

  c->state = BJ_CALL_NEW;
  if (was == BJ_CALL_SENT)
    {
      c->target->own_in_flight--;
      c->service->router->ops->result (c->service->router, now, c->target, s);
    }
  if (was == BJ_CALL_QUEUED)
    bj_guard_dequeue (k, c);
  if (was != BJ_CALL_RUNNING)
    return;
  bj_quarantine_end_run (k->quarantine, now, c->fingerprint, s == BJ_OK);
  bj_parent_run_ended (k, c);
  bj_guard_finished (k, now, c, s);
}

static void
handle_failure (BjKernel *k, BjTime now, BjCall *c, const BjAnswer *a)
{
  if (c->detached)
    {
      bj_call_end (k, c);
      return;
    }
  if (c->is_front && may_retry (k, now, c, a))
    {
      retry_call (k, now, c, a);
      return;
    }
  send_answer (k, now, c, *a);
}

static void
retry_call (BjKernel *k, BjTime now, BjCall *c, const BjAnswer *a)
{
  bj_kernel_log_decision (k,
                          now,
                          c,
                          "RETRY",
                          "after=%s from=%.*s attempts_left=%d",
                          a->failed ? "failed_run" : bj_status_name (a->code),
                          c->target != NULL ? (int)c->target->report.name.len : 0,
                          c->target != NULL ? c->target->report.name.data : "",
                          c->attempts_left);
  dispatch (k, now, c);
}

static bool
may_retry (BjKernel *k, BjTime now, BjCall *c, const BjAnswer *a)
{
  if (bj_quarantine_state (k->quarantine, now, c->fingerprint) != BJ_CLEAR)
    return false;
  if (c->deadline <= now || c->n_tried >= BJ_PEERS_TRIED_MAX)
    return false;
  if (a->outcome == BJ_UNKNOWN && c->irreversible)
    return false;
  if (is_free_retry (k, c, a))
    return true;
  c->retry_cost = bj_level_makes_calls (k, c) ? BJ_RETRY_COST_CALLS : 1;
  c->is_refused = lacked_capacity (a);
  // The daemon that it was sent to has already retried it; retrying at each hop multiplies load.
  if (a->outcome == BJ_NOT_RUN && c->attempts_left < c->attempts_at_send)
    return false;
  return c->service->retry->ops->allow (c->service->retry, now, c);
}

// A call that a guard refused has not reached the upstream. Retrying it elsewhere costs no token if
// the guard is draining or bj_spill_may_reroute () allows it.
static bool
is_free_retry (const BjKernel *k, const BjCall *c, const BjAnswer *a)
{
  bool is_refused = a->code == BJ_E_OVERLOAD || a->code == BJ_E_DEADLINE;

  return a->code == BJ_E_DRAINING
         || (is_refused && a->outcome == BJ_NOT_RUN && bj_spill_may_reroute (k, c));
}

// A guard's response may arrive before its notice about the suspect, so either one records it.
static void
record_suspicion (BjKernel *k, BjTime now, const BjCall *c, BjStatus s)
{
  BjNotice n = { c->fingerprint, BJ_SUSPECT, BJ_SUSPECT_LIFETIME_MS };

  if (s == BJ_E_QUARANTINED)
    n = (BjNotice){ c->fingerprint, BJ_QUARANTINED, BJ_QUARANTINE_LIFETIME_MS };
  if (s == BJ_E_CRASHED || s == BJ_E_QUARANTINED)
    bj_quarantine_merge (k->quarantine, now, &n);
}

// Returns true and frees c when its request is in quarantine.
static bool
refuse_quarantined (BjKernel *k, BjTime now, BjCall *c)
{
  BjAnswer a = { .code = BJ_E_QUARANTINED, .outcome = BJ_NOT_RUN, .attempts_left = -1 };

  if (bj_quarantine_state (k->quarantine, now, c->fingerprint) != BJ_QUARANTINED)
    return false;
  // An irreversible action may have run before this daemon learned of the quarantine.
  if (c->irreversible)
    a.outcome = BJ_UNKNOWN;
  send_answer (k, now, c, a);
  return true;
}

static void
send_answer (BjKernel *k, BjTime now, BjCall *c, BjAnswer a)
{
  // The last attempt did not run, but an earlier one may have.
  if (a.outcome == BJ_NOT_RUN && c->may_have_run)
    a.outcome = BJ_UNKNOWN;
  a.attempts_left = c->attempts_left;
  if (a.http_status == 0)
    a.http_status = http_status_of (a.code);
  if ((a.http_status >= 500 || a.http_status == 429) && a.retry_after_ms <= 0)
    a.retry_after_ms = BJ_RETRY_AFTER_MIN_MS * g_rand_double_range (k->rand, 1, 2);
  bj_kernel_log_decision (k,
                          now,
                          c,
                          "CALL",
                          "answered=%s outcome=%s after_ms=%.0f tried=%d come_back_ms=%.0f",
                          bj_status_name (a.code),
                          bj_outcome_name (a.outcome),
                          now - c->arrived,
                          c->n_tried,
                          a.retry_after_ms);
  if (a.code != BJ_OK)
    bj_health_report_nested_failure (k, c);
  if (c->service != NULL)
    a.level = bj_kernel_admission_level (k, now, c);
  a.load = bj_kernel_load (k, now);
  a.upstream = k->guard.upstream;
  a.upstream_load = bj_kernel_upstream_load (k, now);
  a.makes_calls = !c->is_front && bj_parent_makes_calls (k, c->route);
  if (c->is_front && a.outcome == BJ_NOT_RUN && a.retry_after_ms > 0)
    bj_retry_after_record (k, now + a.retry_after_ms, c);
  if (c->is_front && c->n_tried > 0)
    bj_level_count_result (k, now, c, lacked_capacity (&a));
  bj_count_answer (k, now, c, a.code, a.outcome);
  // A request that did not run is not counted against the rate.
  if (c->rated_account != 0 && a.outcome == BJ_NOT_RUN && k->quota != NULL)
    bj_quota_refund (k->quota, c->rated_account);
  k->host->ops->answer (k->host, c, &a);
  bj_call_end (k, c);
}

// True when the call ended because no guard had capacity for it.
static bool
lacked_capacity (const BjAnswer *a)
{
  return a->outcome == BJ_NOT_RUN
         && (a->code == BJ_E_OVERLOAD || a->code == BJ_E_DEADLINE || a->code == BJ_E_NO_UPSTREAM);
}

static void
expire_call (BjKernel *k, BjTime now, BjCall *c)
{
  BjAnswer a
      = { .code = BJ_E_DEADLINE, .outcome = BJ_UNKNOWN, .http_status = 504, .attempts_left = -1 };
  bool ran = c->state == BJ_CALL_RUNNING || c->state == BJ_CALL_SENT;
  bool ended = cancel_work (k, now, c, BJ_E_DEADLINE);

  if (!ran)
    a.outcome = BJ_NOT_RUN;
  if (ended && !c->answer_begun)
    {
      send_answer (k, now, c, a);
      return;
    }
  if (ended)
    {
      bj_call_end (k, c);
      return;
    }
  if (!c->answer_begun)
    k->host->ops->answer (k->host, c, &a);
  detach_call (k, now, c);
}

// Lets an irreversible call that has been started run on without its caller.
static void
detach_call (BjKernel *k, BjTime now, BjCall *c)
{
  c->answer_begun = true;
  c->detached = true;
  bj_call_set_deadline (k, c, now + DETACHED_MAX_MS);
}

// Aborts a call. Returns false, and does nothing, if it is irreversible, may have been started, is
// not yet detached, and this daemon has to see its end: for its slot, or to record its outcome.
static bool
cancel_work (BjKernel *k, BjTime now, BjCall *c, BjStatus s)
{
  bool is_started = c->state == BJ_CALL_RUNNING || c->state == BJ_CALL_SENT;

  // The daemon that a call was sent to cancels it only while it waits there.
  if (c->irreversible && !c->detached
      && (c->state == BJ_CALL_RUNNING || (c->state == BJ_CALL_SENT && c->needs_claim)))
    return false;
  if (is_started)
    {
      c->may_have_run = true;
      k->host->ops->cancel (k->host, c);
    }
  leave_state (k, now, c, s);
  return true;
}

static int
http_status_of (BjStatus s)
{
  switch (s)
    {
    case BJ_E_NO_ROUTE:
      return 404;
    case BJ_E_KEY:
      return 400;
    case BJ_E_UNAUTHORIZED:
      return 401;
    case BJ_E_RATE:
      return 429;
    case BJ_E_DUPLICATE:
      return 409;
    case BJ_E_HOME:
      return 421;
    case BJ_E_QUARANTINED:
      return 422;
    case BJ_E_DEADLINE:
      return 504;
    case BJ_E_LOST:
    case BJ_E_CRASHED:
    case BJ_E_BROKEN:
      return 502;
    default:
      return 503;
    }
}
