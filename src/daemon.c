// Daemon: runs the kernel on a libev loop. Connects the modules and relays each response from its
// source (own upstream or peer) to its sink (caller or peer).

#include "kernel.h"
#include "refusal.h"
#include "server.h"
#include "usage.h"
#include <ev.h>
#include <string.h>

#define TICK_INTERVAL_MAX_MS 250      // between two kernel ticks
#define OUTCOME_FLUSH_TIMEOUT_MS 2000 // for outcomes to be recorded during shutdown
#define FLUSH_ROUNDS_MAX 8            // over all modules before the loop polls again
#define BEGIN_SHARE 0.5 // of drain_ms, in which requests begin; the rest is for them to end
// The platform may kill the process when drain_ms has passed. Calls that are still open are
// answered before, and what was answered is written.
#define END_CALLS_MS 300    // before the end of drain_ms
#define EXIT_MS 100         // the same
#define END_SHARE 0.05      // END_CALLS_MS is at most this share of drain_ms, EXIT_MS a third of it
#define STOP_TICK_MAX_MS 50 // between two kernel ticks while stopping

struct BjDaemonWatchers
{
  ev_prepare prepare;
  ev_timer tick;
  BjTime last_tick_at;
  ev_idle idle; // active while a module has work, so that the loop does not block
};

static BjStatus open_modules (BjDaemon *d);
static void configure_rates (BjDaemon *d);
static BjPeerReport own_report (BjDaemon *d);
static void on_prepare (struct ev_loop *loop, ev_prepare *w, int events);
static void on_tick (struct ev_loop *loop, ev_timer *w, int events);
static void on_idle (struct ev_loop *loop, ev_idle *w, int events);
static void check_announcement_timeout (BjDaemon *d, BjTime now);
static void advance_shutdown (BjDaemon *d, BjTime now);
static bool has_unfinished_work (const BjDaemon *d);
static void send_peer (BjHost *h, BjCall *c, BjPeer *p);
static void start_upstream (BjHost *h, BjCall *c);
static void cancel_source (BjHost *h, BjCall *c);
static void send_answer (BjHost *h, BjCall *c, const BjAnswer *a);
static void request_claim (BjHost *h, BjCall *c);
static void release_exchange (BjHost *h, BjCall *c);
static BjExchange *new_exchange (BjDaemon *d, BjSink *sink);
static void free_str (gpointer s);
static uint64_t new_start (void);

static BjCounter n_rejected_configs
    = { "configs_rejected_total",
        "Configurations from the store or a peer that were rejected as a whole.",
        0 };

static BjCounter n_left_out
    = { "config_entries_left_out_total",
        "Routes, services and accounts of configurations that are left out, see the log.",
        0 };

static const BjHostOps host_ops
    = { send_peer, start_upstream, cancel_source, send_answer, request_claim, release_exchange };

BjStatus
bj_daemon_new (struct ev_loop *loop, const BjSettings *s, BjDaemon **daemon)
{
  BjDaemon *d = g_new0 (BjDaemon, 1);
  BjTime now = bj_clock_now ();
  BjKernelOptions o;
  BjStatus status;

  bj_metric_register (&n_rejected_configs);
  bj_metric_register (&n_left_out);
  d->host.ops = &host_ops;
  d->loop = loop;
  d->settings = *s;
  // Copies, because bj_daemon_reload replaces these two.
  d->settings.service = bj_str_dup (s->service);
  d->settings.upstream.host = bj_str_dup (s->upstream.host);
  d->incarnation = (uint64_t)bj_clock_wall ();
  d->start = new_start ();
  o = (BjKernelOptions){ .self = own_report (d), .host = &d->host, .seed = g_random_int () };
  d->kernel = bj_kernel_new (&o, now);
  bj_kernel_set_leave_ms (d->kernel, s->leave_ms);
  d->http = bj_http_new (loop);
  d->pool = bj_pool_new (loop);
  d->refusals = bj_refusals_new ();
  d->lost_runs = g_ptr_array_new ();
  d->relayed_names = g_hash_table_new_full (bj_str_key_hash, bj_str_key_equal, free_str, NULL);
  d->dialect = bj_plugin_find (BJ_PLUGIN_DIALECT, s->dialect);
  d->watchers = g_new0 (struct BjDaemonWatchers, 1);
  ev_prepare_init (&d->watchers->prepare, on_prepare);
  ev_timer_init (&d->watchers->tick, on_tick, 0, 0);
  ev_idle_init (&d->watchers->idle, on_idle);
  d->watchers->prepare.data = d;
  d->watchers->tick.data = d;
  status = bj_auth_new (s->key_file, &d->auth);
  if (status == BJ_OK)
    status = open_modules (d);
  if (status != BJ_OK)
    {
      bj_daemon_free (d);
      return status;
    }
  ev_prepare_start (loop, &d->watchers->prepare);
  ev_timer_start (loop, &d->watchers->tick);
  *daemon = d;
  return BJ_OK;
}

void
bj_daemon_reload (BjDaemon *d, const BjSettings *s)
{
  BjSettings *own = &d->settings;

  bj_str_set (&own->service, s->service);
  bj_str_set (&own->upstream.host, s->upstream.host);
  own->upstream.port = s->upstream.port;
  own->drain_ms = s->drain_ms;
  own->leave_ms = s->leave_ms;
  bj_kernel_set_leave_ms (d->kernel, s->leave_ms);
  own->heartbeat_ms = s->heartbeat_ms;
  own->pipelined_max = s->pipelined_max;
  bj_front_reload (d->front);
  own->log_level = s->log_level;
  bj_log_open (s->log_level);
  bj_log (
      BJ_LOG_INFO, "SETTINGS", "Settings reloaded; changes to addresses and names need a restart.");
}

void
bj_daemon_stop (BjDaemon *d)
{
  double drain_ms = d->settings.drain_ms;

  if (d->stopping)
    return;
  d->stopping = true;
  d->stop_deadline = bj_clock_now () + drain_ms - MIN (EXIT_MS, END_SHARE / 3 * drain_ms);
  d->drain_known_by = bj_clock_now () + MIN (BJ_DRAIN_NOTIFY_MS, d->settings.drain_ms);
  d->begin_calls_until
      = MAX (d->drain_known_by, bj_clock_now () + BEGIN_SHARE * d->settings.drain_ms);
  // Callers keep sending here until they notice the drain; rejecting their calls at once would only
  // leave slots unused.
  d->accept_calls_until = MIN (bj_clock_now () + BJ_DRAIN_ACCEPT_MS, d->drain_known_by);
  bj_log (BJ_LOG_INFO, "DRAIN", "Shutting down; %d calls open.", bj_kernel_open_calls (d->kernel));
  bj_server_disable_keep_alive (bj_front_server (d->front));
  bj_kernel_set_end (d->kernel,
                     bj_clock_now () + drain_ms - MIN (END_CALLS_MS, END_SHARE * drain_ms));
}

void
bj_daemon_free (BjDaemon *d)
{
  ev_prepare_stop (d->loop, &d->watchers->prepare);
  ev_timer_stop (d->loop, &d->watchers->tick);
  ev_idle_stop (d->loop, &d->watchers->idle);
  bj_kernel_use_quota (d->kernel, NULL);
  bj_usage_free (d->usage);
  d->usage = NULL;
  if (d->reader != NULL)
    bj_reader_free (d->reader);
  if (d->members != NULL)
    bj_members_free (d->members);
  bj_kernel_free (d->kernel);
  bj_outcomes_free (d->outcomes);
  d->kernel = NULL;
  bj_links_free (d->links);
  bj_front_free (d->front);
  bj_console_free (d->admin);
  bj_console_free (d->ready);
  if (d->platform != NULL)
    d->platform->ops->destroy (d->platform);
  bj_http_free (d->http);
  bj_pool_free (d->pool);
  bj_refusals_free (d->refusals);
  g_ptr_array_set_free_func (d->lost_runs, g_free);
  g_ptr_array_free (d->lost_runs, TRUE);
  g_hash_table_destroy (d->relayed_names);
  bj_auth_free (d->auth);
  bj_str_free (&d->settings.service);
  bj_str_free (&d->settings.upstream.host);
  bj_str_free (&d->upstream.host);
  bj_str_free (&d->upstream_id);
  bj_str_free (&d->other_instance);
  g_free (d->watchers);
  g_free (d);
}

BjStatus
bj_daemon_apply_config (BjDaemon *d, int64_t number, BjStr text, const char *source)
{
  BjTime began = bj_clock_now ();
  BjStatus s;
  BjConfig *c;

  bj_kernel_note_config (d->kernel, began, number);
  s = bj_config_parse_with_defaults (text, d->settings.service_defaults, &c);
  if (s != BJ_OK)
    {
      bj_daemon_reject_config (d, number, text.len, source);
      return s;
    }
  bj_log (BJ_LOG_INFO,
          "TICKET",
          "received number=%" G_GINT64_FORMAT " from=%s bytes=%zu parse_ms=%.0f left_out=%d",
          c->number,
          source,
          text.len,
          bj_clock_now () - began,
          c->n_left_out);
  n_left_out.value += (uint64_t)c->n_left_out;
  bj_kernel_note_config (d->kernel, began, c->number);
  bj_kernel_set_config (d->kernel, bj_clock_now (), c);
  if (d->front != NULL)
    bj_server_set_limits (bj_front_server (d->front), &bj_kernel_config (d->kernel)->callers);
  configure_rates (d);
  return BJ_OK;
}

static void
configure_rates (BjDaemon *d)
{
  const BjAccounts *all = bj_kernel_config (d->kernel)->accounts;
  int n = bj_accounts_count (all);
  const BjAccount **accounts;

  if (d->usage == NULL)
    return;
  accounts = g_new (const BjAccount *, MAX (1, n));
  for (int i = 0; i < n; i++)
    accounts[i] = bj_accounts_at (all, i);
  bj_usage_configure (d->usage, accounts, n);
  g_free (accounts);
}

void
bj_daemon_reject_config (BjDaemon *d, int64_t number, size_t bytes, const char *source)
{
  const BjConfig *c = bj_kernel_config (d->kernel);

  n_rejected_configs.value++;
  bj_log (BJ_LOG_WARNING,
          "TICKET",
          "rejected number=%" G_GINT64_FORMAT " from=%s bytes=%zu in_force=%" G_GINT64_FORMAT
          ": %s",
          number,
          source,
          bytes,
          c != NULL ? c->number : 0,
          bj_last_message ());
}

BjAnswer
bj_daemon_refuse_head (BjDaemon *d, const BjHead *h, int http_status)
{
  BjStatus s = http_status == 401 ? BJ_E_UNAUTHORIZED : BJ_E_NO_UPSTREAM;
  BjRequest r = { .method = h->method, .path = h->path, .klass = -1, .attempts_left = -1 };

  d->dialect->read_request (&d->settings, h, &r, NULL);
  bj_kernel_refuse_head (d->kernel, bj_clock_now (), &r, s);
  return (BjAnswer){ .code = s,
                     .outcome = BJ_NOT_RUN,
                     .http_status = http_status,
                     .retry_after_ms = s == BJ_E_UNAUTHORIZED
                                           ? 0
                                           : BJ_RETRY_AFTER_MIN_MS * g_random_double_range (1, 2),
                     .attempts_left = -1 };
}

BjExchange *
bj_daemon_handle_call (BjDaemon *d, const BjRequest *r, BjSink *sink)
{
  const BjConfig *config = bj_kernel_config (d->kernel);
  BjExchange *x = new_exchange (d, sink);
  BjRequest request = *r;
  GString *headers = NULL;
  BjCall *c;

  if (config != NULL && config->accounts != NULL)
    {
      headers = g_string_sized_new (r->headers.len + 1);
      bj_header_add_except (headers, r->headers, d->dialect->account_headers);
      request.headers = (BjStr){ headers->str, headers->len };
      request.api_key = bj_str_trim (r->api_key);
    }
  else
    request.api_key = BJ_STR_NULL;
  c = bj_kernel_arrive (d->kernel, bj_clock_now (), &request, x);
  if (headers != NULL)
    g_string_free (headers, TRUE);
  // NULL: the call was answered immediately, which freed x.
  if (c == NULL)
    return NULL;
  x->call = c;
  return x;
}

BjExchange *
bj_daemon_handle_peer_call (BjDaemon *d, const BjRequest *r, BjStr service, BjSink *sink)
{
  BjExchange *x = new_exchange (d, sink);
  BjCall *c = bj_kernel_arrive_peer (d->kernel, bj_clock_now (), r, service, x);

  // NULL: the call was answered immediately, which freed x.
  if (c == NULL)
    return NULL;
  x->call = c;
  return x;
}

// Returns false with the error set when an announcement comes from another upstream, i.e. its
// address differs from the settings, or when it names a service that is not configured.
static bool
is_own_upstream (const BjDaemon *d, const BjAnnouncement *a)
{
  const BjAddress *own = &d->settings.upstream;
  const BjConfig *c = bj_kernel_config (d->kernel);

  if (own->port != 0
      && (a->address.port != own->port || !bj_str_equal (a->address.host, own->host)))
    bj_fail (BJ_E_ARGUMENT,
             "Announced address %.*s:%d differs from the upstream %.*s:%d in the settings.",
             BJ_STR_ARG (a->address.host),
             a->address.port,
             BJ_STR_ARG (own->host),
             own->port);
  else if (d->settings.service.len > 0 && c != NULL && bj_config_service (c, a->service) == NULL)
    bj_fail (BJ_E_ARGUMENT, "Announced service %.*s is not configured.", BJ_STR_ARG (a->service));
  else
    return true;
  return false;
}

static void
handle_departure (BjDaemon *d, BjTime now)
{
  bj_log (BJ_LOG_INFO, "UPSTREAM", "id=%.*s announced that it stops", BJ_STR_ARG (d->upstream_id));
  bj_kernel_upstream_leaves (d->kernel, now);
  bj_daemon_publish_leaving (d);
}

// Hash of what identifies one start of an upstream, not 0.
static uint64_t
hash_start (const BjAnnouncement *a)
{
  uint64_t started_ms = (uint64_t)a->started_ms;

  return (bj_str_hash (a->id)
          ^ bj_str_hash ((BjStr){ (const char *)&started_ms, sizeof started_ms }))
         | 1;
}

BjStatus
bj_daemon_handle_announcement (BjDaemon *d, const BjAnnouncement *a)
{
  bool is_same_start
      = bj_str_equal (d->upstream_id, a->id) && d->upstream_started_ms == a->started_ms;
  bool is_known_to_run = d->other_instance.len > 0 && bj_str_equal (d->other_instance, a->id);
  BjTime now = bj_clock_now ();

  // Its later announcements are stale again.
  if (a->is_shutting_down && is_known_to_run)
    {
      bj_str_free (&d->other_instance);
      return BJ_OK;
    }
  // A departure has neither start time nor sequence, so only the id is compared.
  if (a->is_shutting_down && !bj_str_equal (d->upstream_id, a->id))
    return bj_fail (BJ_E_CONFLICT,
                    "Departure of %.*s rejected: it is not the current upstream.",
                    BJ_STR_ARG (a->id));
  if (a->is_shutting_down)
    {
      handle_departure (d, now);
      return BJ_OK;
    }
  if (!is_known_to_run
      && (a->started_ms < d->upstream_started_ms
          || (is_same_start && a->sequence < d->upstream_sequence)))
    return bj_fail (BJ_E_CONFLICT,
                    "Stale announcement of %.*s, sequence %" G_GINT64_FORMAT
                    "; a newer one was accepted.",
                    BJ_STR_ARG (a->id),
                    a->sequence);
  if (!is_own_upstream (d, a))
    return BJ_E_ARGUMENT;
  bj_kernel_upstream_started (d->kernel, now, hash_start (a));
  // Without an id another start is known by the announcements that are missed before it.
  if (a->id.len == 0 && bj_kernel_upstream (d->kernel)->is_leaving)
    return BJ_OK;
  if (!is_same_start)
    bj_pool_close_idle (d->pool);
  bj_str_free (&d->other_instance);
  bj_str_set (&d->upstream_id, a->id);
  d->upstream_started_ms = a->started_ms;
  d->upstream_sequence = a->sequence;
  bj_str_set (&d->upstream.host, a->address.host);
  d->upstream.port = a->address.port;
  d->announced = now;
  bj_kernel_announce (d->kernel, now, a->service, a->slots);
  // An upstream that leaves keeps announcing itself until its process exits.
  if (bj_kernel_upstream (d->kernel)->is_leaving)
    return BJ_OK;
  bj_kernel_drain (d->kernel, now, BJ_DRAIN_UPSTREAM, a->draining);
  if (a->is_leaving)
    handle_departure (d, now);
  else if (a->draining)
    bj_members_publish (d->members);
  return BJ_OK;
}

// The next announcement of an upstream that gives no id counts as another start.
static void
lose_upstream (BjDaemon *d)
{
  d->upstream.port = 0;
  if (d->upstream_id.len == 0)
    bj_kernel_upstream_started (d->kernel, bj_clock_now (), 0);
}

static void
stop_sending_calls (BjDaemon *d)
{
  lose_upstream (d);
  bj_pool_close_idle (d->pool);
  bj_kernel_upstream_down (d->kernel, bj_clock_now ());
}

void
bj_daemon_mark_upstream_down (BjDaemon *d)
{
  if (d->upstream.port == 0)
    return;
  bj_log (BJ_LOG_WARNING,
          "UPSTREAM",
          "Upstream %.*s:%d refuses connections; no calls are sent until it is announced again.",
          BJ_STR_ARG (d->upstream.host),
          d->upstream.port);
  stop_sending_calls (d);
}

void
bj_daemon_note_other_instance (BjDaemon *d, BjStr id)
{
  if (d->upstream.port == 0 || bj_str_equal (d->upstream_id, id))
    return;
  bj_log (BJ_LOG_WARNING,
          "UPSTREAM",
          "Upstream %.*s:%d is %.*s, announced was %.*s; no calls are sent until it is announced.",
          BJ_STR_ARG (d->upstream.host),
          d->upstream.port,
          BJ_STR_ARG (id),
          BJ_STR_ARG (d->upstream_id));
  bj_str_set (&d->other_instance, id);
  stop_sending_calls (d);
}

void
bj_daemon_publish_leaving (BjDaemon *d)
{
  bj_members_publish (d->members);
  if (d->links != NULL)
    bj_links_tell_upstream (d->links);
}

void
bj_daemon_set_draining (BjDaemon *d, bool drain)
{
  d->draining = drain;
  bj_kernel_drain (d->kernel, bj_clock_now (), BJ_DRAIN_STOP, drain);
}

void
bj_exchange_begin (BjExchange *x, const BjAnswer *a)
{
  BjSource *source = x->source;
  BjAnswer relayed = *a;
  BjVerdict v;

  x->source = NULL;
  v = bj_kernel_answer_begin (x->daemon->kernel, bj_clock_now (), x->call, a);
  if (v == BJ_ABSORB)
    {
      source->ops->cancel (source);
      return;
    }
  x->source = source;
  bj_outcomes_begin (x, a);
  relayed.attempts_left = x->call->attempts_left;
  relayed.level = bj_kernel_admission_level (x->daemon->kernel, bj_clock_now (), x->call);
  relayed.makes_calls = bj_kernel_makes_calls (x->daemon->kernel, x->call);
  relayed.upstream = *bj_kernel_upstream (x->daemon->kernel);
  relayed.load = bj_kernel_load (x->daemon->kernel, bj_clock_now ());
  relayed.upstream_load = bj_kernel_upstream_load (x->daemon->kernel, bj_clock_now ());
  if (x->sink != NULL)
    x->sink->ops->begin (x->sink, &relayed);
}

size_t
bj_exchange_room (BjExchange *x)
{
  return x->sink != NULL ? x->sink->ops->room (x->sink) : SIZE_MAX;
}

void
bj_exchange_data (BjExchange *x, BjStr part)
{
  bj_outcomes_data (x, part);
  if (x->sink != NULL)
    x->sink->ops->data (x->sink, part);
  else if (x->source != NULL)
    x->source->ops->drained (x->source, part.len);
}

void
bj_exchange_end (BjExchange *x, bool is_complete)
{
  BjSink *sink = x->sink;

  x->source = NULL;
  x->sink = NULL;
  bj_outcomes_end (x, is_complete);
  bj_kernel_answer_end (x->daemon->kernel, bj_clock_now (), x->call, is_complete);
  if (sink != NULL)
    sink->ops->end (sink, is_complete);
}

void
bj_exchange_fail (BjExchange *x, BjStatus s, BjOutcome o)
{
  x->source = NULL;
  bj_kernel_call_lost (x->daemon->kernel, bj_clock_now (), x->call, s, o);
}

void
bj_exchange_reroute (BjExchange *x)
{
  bj_kernel_reroute_call (x->daemon->kernel, bj_clock_now (), x->call);
}

void
bj_exchange_drained (BjExchange *x, size_t n)
{
  if (x->source != NULL)
    x->source->ops->drained (x->source, n);
}

void
bj_exchange_abort (BjExchange *x)
{
  x->sink = NULL;
  bj_kernel_cancel (x->daemon->kernel, bj_clock_now (), x->call);
}

static BjStatus
open_modules (BjDaemon *d)
{
  const BjPlatformOps *platform = bj_plugin_find (BJ_PLUGIN_PLATFORM, d->settings.platform_name);
  BjStatus s = bj_links_new (d, &d->links);

  if (s == BJ_OK)
    s = bj_front_new (d, &d->front);
  if (s == BJ_OK)
    s = bj_console_new (d, "admin", d->settings.admin, &d->admin);
  if (s == BJ_OK && d->settings.ready.port > 0)
    s = bj_console_new (d, "ready", d->settings.ready, &d->ready);
  if (s == BJ_OK)
    s = bj_members_new (d, &d->members);
  if (s != BJ_OK)
    return s;
  d->platform = platform->create (d->loop, d->http, d->settings.platform_url);
  d->outcomes = bj_outcomes_new (d);
  d->reader = bj_reader_new (d);
  d->usage = bj_usage_new (d);
  bj_kernel_use_quota (d->kernel, bj_usage_quota (d->usage));
  return BJ_OK;
}

static BjPeerReport
own_report (BjDaemon *d)
{
  const BjSettings *s = &d->settings;

  return (BjPeerReport){
    .name = s->name,
    .domain = s->domain,
    .region = s->region,
    .host = s->advertised_link.host,
    .link_port = s->advertised_link.port,
    .gossip_host = s->advertised_gossip.host,
    .gossip_port = s->advertised_gossip.port,
    .incarnation = d->incarnation,
  };
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *w, int events)
{
  BjDaemon *d = w->data;
  bool busy = true;
  BjTime now;
  BjTime next;

  (void)events;
  bj_links_send_notices (d->links);
  for (int i = 0; i < FLUSH_ROUNDS_MAX && busy; i++)
    {
      busy = bj_console_poll (d->admin);
      busy = bj_console_poll (d->ready) || busy;
      bj_pool_flush (d->pool);
      bj_links_flush (d->links);
      bj_server_flush (bj_front_server (d->front));
    }
  if (busy)
    ev_idle_start (loop, &d->watchers->idle);
  else
    ev_idle_stop (loop, &d->watchers->idle);
  bj_log_flush ();
  now = bj_clock_now ();
  next = MIN (bj_kernel_next_deadline (d->kernel),
              d->watchers->last_tick_at + (d->stopping ? STOP_TICK_MAX_MS : TICK_INTERVAL_MAX_MS))
         - now;
  ev_timer_stop (loop, &d->watchers->tick);
  ev_timer_set (&d->watchers->tick, MAX (0, next) / 1000.0, 0);
  ev_timer_start (loop, &d->watchers->tick);
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  BjDaemon *d = w->data;
  BjTime now = bj_clock_now ();

  (void)loop;
  (void)events;
  d->watchers->last_tick_at = now;
  bj_kernel_tick (d->kernel, now);
  bj_outcomes_tick (d->outcomes);
  check_announcement_timeout (d, now);
  advance_shutdown (d, now);
}

static void
on_idle (struct ev_loop *loop, ev_idle *w, int events)
{
  (void)loop;
  (void)w;
  (void)events;
}

static void
check_announcement_timeout (BjDaemon *d, BjTime now)
{
  if (d->upstream.port == 0 || now - d->announced < BJ_ANNOUNCE_MISSES * d->settings.heartbeat_ms)
    return;
  lose_upstream (d);
  bj_kernel_upstream_down (d->kernel, now);
}

static bool
has_unfinished_work (const BjDaemon *d)
{
  return bj_kernel_open_calls (d->kernel) > 0 || bj_server_is_accepting (bj_front_server (d->front))
         || bj_server_busy_conns (bj_front_server (d->front)) > 0
         || !bj_links_is_flushed (d->links);
}

static void
advance_shutdown (BjDaemon *d, BjTime now)
{
  if (!d->stopping || now < d->accept_calls_until)
    return;
  if (!d->draining)
    {
      bj_daemon_set_draining (d, true);
      bj_members_publish (d->members);
    }
  if (now < d->drain_known_by)
    return;
  if (!d->has_stopped_accepting)
    {
      d->has_stopped_accepting = true;
      bj_server_stop_accepting (bj_front_server (d->front));
    }
  if (now >= d->begin_calls_until)
    {
      bj_server_refuse_new (bj_front_server (d->front));
      bj_kernel_stop_irreversible (d->kernel);
    }
  if (has_unfinished_work (d) && now < d->stop_deadline)
    return;
  if (d->flush_deadline == 0)
    d->flush_deadline = now + OUTCOME_FLUSH_TIMEOUT_MS;
  if (bj_outcomes_pending (d->outcomes) > 0 && now < MIN (d->flush_deadline, d->stop_deadline))
    return;
  bj_members_leave (d->members);
  bj_log (BJ_LOG_INFO, "DRAIN", "Stopped with %d calls open.", bj_kernel_open_calls (d->kernel));
  ev_break (d->loop, EVBREAK_ALL);
}

static void
send_peer (BjHost *h, BjCall *c, BjPeer *p)
{
  BjDaemon *d = (BjDaemon *)h;
  BjExchange *x = c->data;

  x->call = c;
  bj_links_send (d->links, x, p);
}

static void
start_upstream (BjHost *h, BjCall *c)
{
  BjExchange *x = c->data;

  x->call = c;
  bj_upstream_start ((BjDaemon *)h, x);
}

static void
cancel_source (BjHost *h, BjCall *c)
{
  BjExchange *x = c->data;
  BjSource *s = x->source;

  (void)h;
  x->source = NULL;
  if (s != NULL)
    s->ops->cancel (s);
}

static void
send_answer (BjHost *h, BjCall *c, const BjAnswer *a)
{
  BjExchange *x = c->data;
  BjSink *sink = x->sink;
  BjAnswer copy = *a;
  char text[256];
  int n;

  (void)h;
  x->sink = NULL;
  if (sink == NULL)
    return;
  n = g_snprintf (text,
                  sizeof text,
                  "{\"code\":%d,\"name\":\"%s\",\"outcome\":\"%s\",\"retry_after_ms\":%.0f}\n",
                  a->code,
                  bj_status_name (a->code),
                  bj_outcome_name (a->outcome),
                  a->retry_after_ms);
  if (a->code != BJ_OK)
    {
      copy.content_type = BJ_STR ("application/json");
      copy.length = n;
      copy.body = (BjStr){ text, (size_t)n };
    }
  sink->ops->begin (sink, &copy);
  sink->ops->data (sink, copy.body);
  sink->ops->end (sink, true);
}

static void
request_claim (BjHost *h, BjCall *c)
{
  BjExchange *x = c->data;

  x->call = c;
  bj_outcomes_claim (((BjDaemon *)h)->outcomes, x);
}

static void
release_exchange (BjHost *h, BjCall *c)
{
  BjExchange *x = c->data;
  BjSink *sink = x->sink;

  x->call = c;
  bj_outcomes_on_freed (x);
  cancel_source (h, c);
  g_free (x);
  if (sink != NULL)
    sink->ops->end (sink, false);
}

static BjExchange *
new_exchange (BjDaemon *d, BjSink *sink)
{
  BjExchange *x = g_new0 (BjExchange, 1);

  x->daemon = d;
  x->sink = sink;
  return x;
}

static void
free_str (gpointer s)
{
  bj_str_free (s);
  g_free (s);
}

// Unlike the incarnation it stays the same when other members know a later one, and does not repeat
// when the wall clock steps back.
static uint64_t
new_start (void)
{
  return ((uint64_t)g_random_int () << 32 | g_random_int ()) | 1;
}
