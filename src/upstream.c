// Upstream: runs calls on the own upstream over HTTP, with the headers of the configured dialect.

#include "internal.h"
#include "refusal.h"
#include <math.h>

#define RELAYED_NAMES_MAX 64 // header names that are logged once each

// A call that is running on the own upstream.
typedef struct
{
  BjSource source; // first member, cast from BjSource*
  BjExchange *exchange;
  BjPoolConn *conn;
  GString *relayed; // response headers to relay
} Run;

// A run whose connection was lost and whose outcome is decided by a probe.
typedef struct
{
  BjSource source;      // first member, cast from BjSource*
  BjExchange *exchange; // NULL once its call has ended
  uint64_t fingerprint; // of the request
  BjTime started;       // when the call was started on the upstream
} LostRun;

static void write_head (const BjDaemon *d, BjCall *c, GString *head);
static void on_drained (BjSource *s, size_t n);
static void on_cancel (BjSource *s);
static BjStatus on_head (void *data, const BjHead *h);
static size_t on_body (void *data, BjStr part);
static void on_done (void *data, BjStatus s, bool sent);
static void free_run (Run *r);
static void await_probe (BjExchange *x);
static void start_probe (BjDaemon *d);
static void on_probe_done (void *data, BjStatus s, bool sent);
static void report_lost_run (BjDaemon *d, const LostRun *l, bool has_crashed);
static void on_lost_drained (BjSource *s, size_t n);
static void on_lost_cancel (BjSource *s);
static void log_relayed_headers (BjDaemon *d, BjStr block);

static const BjSourceOps run_ops = { on_drained, on_cancel };
static const BjSourceOps lost_ops = { on_lost_drained, on_lost_cancel };

void
bj_upstream_start (BjDaemon *d, BjExchange *x)
{
  Run *r = g_new0 (Run, 1);
  BjCall *c = x->call;
  GString *head = g_string_sized_new (1024);
  bool was_refused = bj_refusals_has (d->refusals, bj_clock_now (), c->request.id);

  write_head (d, c, head);
  r->source.ops = &run_ops;
  r->exchange = x;
  r->relayed = g_string_new (NULL);
  x->source = &r->source;
  r->conn = bj_pool_start (d->pool,
                           &(BjPoolOptions){
                               .address = d->upstream,
                               .head = { head->str, head->len },
                               .body = c->request.body,
                               .is_head = bj_str_equal (c->request.method, BJ_STR ("HEAD")),
                               .skip_idle_conns = c->irreversible,
                               .opens_conn = was_refused,
                               .on_head = on_head,
                               .on_body = on_body,
                               .on_done = on_done,
                               .data = r,
                           });
  g_string_free (head, TRUE);
}

static void
write_head (const BjDaemon *d, BjCall *c, GString *head)
{
  const BjRequest *r = &c->request;
  BjTime now = bj_clock_now ();
  double left = MAX (1, floor (c->deadline - now - BJ_HOP_DEADLINE_MARGIN_MS));
  const BjConfig *config = bj_kernel_config (d->kernel);
  // A front of an earlier version relays these headers of a caller.
  bool has_accounts = config != NULL && config->accounts != NULL;
  BjStr block = r->headers;
  BjStr name;
  BjStr value;

  c->upstream_deadline = now + left;
  g_string_append_printf (
      head, "%.*s %.*s HTTP/1.1\r\n", BJ_STR_ARG (r->method), BJ_STR_ARG (r->path));
  if (r->host.len > 0)
    g_string_append_printf (head, "Host: %.*s\r\n", BJ_STR_ARG (r->host));
  else
    g_string_append_printf (head, "Host: %s:%d\r\n", d->upstream.host.data, d->upstream.port);
  if (r->content_type.len > 0)
    g_string_append_printf (head, "Content-Type: %.*s\r\n", BJ_STR_ARG (r->content_type));
  if (r->body.len > 0
      || !(bj_str_equal (r->method, BJ_STR ("GET")) || bj_str_equal (r->method, BJ_STR ("HEAD"))))
    g_string_append_printf (head, "Content-Length: %zu\r\n", r->body.len);
  d->dialect->write_run (c, d->upstream_id, left, head);
  while (bj_header_next (&block, &name, &value))
    if (!has_accounts || !bj_header_is_among (name, d->dialect->account_headers))
      g_string_append_printf (head, "%.*s: %.*s\r\n", BJ_STR_ARG (name), BJ_STR_ARG (value));
  g_string_append (head, "\r\n");
}

static void
on_drained (BjSource *s, size_t n)
{
  Run *r = (Run *)s;

  (void)n;
  if (r->conn != NULL)
    bj_pool_resume (r->conn);
}

static void
on_cancel (BjSource *s)
{
  Run *r = (Run *)s;

  if (r->conn != NULL)
    bj_pool_cancel (r->conn);
  free_run (r);
}

static BjStatus
on_head (void *data, const BjHead *h)
{
  Run *r = data;
  BjDaemon *d = r->exchange->daemon;
  BjAnswer a = { .http_status = h->status, .attempts_left = -1, .length = h->length };
  BjStatus s;
  bool was_leaving;

  a.content_type = bj_header_find (h->headers, "Content-Type");
  s = d->dialect->read_run (r->exchange->call, h, &a, r->relayed);
  if (s != BJ_OK)
    {
      bj_log (BJ_LOG_WARNING, "UPSTREAM", "%s", bj_last_message ());
      return s;
    }
  if (a.outcome == BJ_NOT_RUN)
    bj_refusals_add (d->refusals, bj_clock_now (), r->exchange->call->request.id);
  a.headers = (BjStr){ r->relayed->str, r->relayed->len };
  was_leaving = bj_kernel_upstream (d->kernel)->is_leaving;
  bj_kernel_upstream_spoke (d->kernel, bj_clock_now (), r->exchange->call, &a.upstream);
  bj_kernel_upstream_reported (d->kernel, bj_clock_now (), r->exchange->call, &a.upstream_load);
  if (!was_leaving && bj_kernel_upstream (d->kernel)->is_leaving)
    bj_daemon_publish_leaving (d);
  if (a.other_instance.len > 0 && bj_kernel_ran_since_start (d->kernel, r->exchange->call))
    bj_daemon_note_other_instance (d, a.other_instance);
  log_relayed_headers (d, a.headers);
  bj_exchange_begin (r->exchange, &a);
  return BJ_OK;
}

static size_t
on_body (void *data, BjStr part)
{
  Run *r = data;

  if (bj_exchange_room (r->exchange) < part.len)
    return 0;
  bj_exchange_data (r->exchange, part);
  return part.len;
}

static void
on_done (void *data, BjStatus s, bool sent)
{
  Run *r = data;
  BjExchange *x = r->exchange;
  bool begun = x->call->answer_begun && !x->call->detached;

  free_run (r);
  x->source = NULL;
  if (s == BJ_OK || s == BJ_E_BROKEN || begun)
    bj_exchange_end (x, s == BJ_OK);
  else if (s == BJ_E_LOST && sent)
    await_probe (x);
  else
    {
      if (s == BJ_E_NO_UPSTREAM)
        bj_daemon_mark_upstream_down (x->daemon);
      bj_exchange_fail (x, s, sent ? BJ_UNKNOWN : BJ_NOT_RUN);
    }
}

// Delays the outcome of a run whose connection was lost until a probe has shown whether the
// upstream crashed: a crashed upstream refuses new connections.
static void
await_probe (BjExchange *x)
{
  BjDaemon *d = x->daemon;
  LostRun *l = g_new0 (LostRun, 1);

  l->source.ops = &lost_ops;
  l->exchange = x;
  l->fingerprint = x->call->fingerprint;
  l->started = x->call->started;
  x->source = &l->source;
  g_ptr_array_add (d->lost_runs, l);
  if (d->lost_runs->len == 1)
    start_probe (d);
}

static void
start_probe (BjDaemon *d)
{
  d->n_probed_runs = d->lost_runs->len;
  bj_pool_start (d->pool,
                 &(BjPoolOptions){
                     .address = d->upstream,
                     .is_probe = true,
                     .on_done = on_probe_done,
                     .data = d,
                 });
}

// A refused probe decides for all lost runs. One that succeeded says nothing about runs that were
// lost after it started: these wait for another probe.
static void
on_probe_done (void *data, BjStatus s, bool sent)
{
  BjDaemon *d = data;
  bool has_crashed = s == BJ_E_NO_UPSTREAM;
  GPtrArray *all = d->lost_runs;
  guint n = has_crashed ? all->len : d->n_probed_runs;

  (void)sent;
  d->lost_runs = g_ptr_array_new ();
  for (guint i = n; i < all->len; i++)
    g_ptr_array_add (d->lost_runs, all->pdata[i]);
  if (d->lost_runs->len > 0)
    start_probe (d);
  if (has_crashed)
    bj_daemon_mark_upstream_down (d);
  for (guint i = 0; i < n; i++)
    {
      report_lost_run (d, all->pdata[i], has_crashed);
      g_free (all->pdata[i]);
    }
  g_ptr_array_free (all, TRUE);
}

// Ends the call of a lost run. A call that has ended during the probe may still have caused the
// crash, so its request is reported to the kernel as well.
static void
report_lost_run (BjDaemon *d, const LostRun *l, bool has_crashed)
{
  if (l->exchange == NULL)
    {
      if (has_crashed)
        bj_kernel_upstream_crashed (d->kernel, bj_clock_now (), l->fingerprint, l->started);
      return;
    }
  l->exchange->source = NULL;
  bj_exchange_fail (l->exchange, has_crashed ? BJ_E_CRASHED : BJ_E_LOST, BJ_UNKNOWN);
}

static void
on_lost_drained (BjSource *s, size_t n)
{
  (void)s;
  (void)n;
}

static void
on_lost_cancel (BjSource *s)
{
  ((LostRun *)s)->exchange = NULL;
}

static void
free_run (Run *r)
{
  g_string_free (r->relayed, TRUE);
  g_free (r);
}

// Logs each header name of the upstream's responses that is passed on to callers once. A header by
// which the upstream addresses the layer must not be among them.
static void
log_relayed_headers (BjDaemon *d, BjStr block)
{
  BjStr name;
  BjStr value;

  while (bj_header_next (&block, &name, &value))
    {
      BjStr *copy;

      if (g_hash_table_contains (d->relayed_names, &name)
          || g_hash_table_size (d->relayed_names) >= RELAYED_NAMES_MAX)
        continue;
      copy = g_new (BjStr, 1);
      *copy = bj_str_dup (name);
      g_hash_table_add (d->relayed_names, copy);
      bj_log (BJ_LOG_INFO, "UPSTREAM", "header=%.*s is relayed to callers", BJ_STR_ARG (name));
    }
}
