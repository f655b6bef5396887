// Upstream: runs calls on the own upstream over HTTP. One call a connection at a time.

#include "internal.h"

typedef struct
{
  BjSource source; // first
  BjExchange *x;
  BjHttpCall *http;
} Run;

static GPtrArray *write_headers (const BjCall *c);
static void on_drained (BjSource *s, size_t n);
static void on_cancel (BjSource *s);
static void on_head (void *data, const BjHttpHead *h);
static size_t on_body (void *data, BjStr part);
static void on_done (void *data, BjStatus s, bool sent);
static BjOutcome read_outcome (BjStr name);

static const BjSourceOps run_ops = { on_drained, on_cancel };

void
bj_upstream_start (BjDaemon *d, BjExchange *x)
{
  Run *r = g_new0 (Run, 1);
  const BjCall *c = x->call;
  char *url = g_strdup_printf (
      "http://%s:%d%s", d->upstream.host.data, d->upstream.port, c->request.path.data);
  GPtrArray *headers = write_headers (c);

  r->source.ops = &run_ops;
  r->x = x;
  x->source = &r->source;
  r->http = bj_http_start (d->upstream_http,
                           &(BjHttpOptions){
                               .method = c->request.method.data,
                               .url = url,
                               .headers = (const char *const *)headers->pdata,
                               .body = c->request.body,
                               // libcurl sends a request again when a reused connection
                               // closes without an answer, though it may have run.
                               .fresh_connection = c->irreversible,
                               .head = on_head,
                               .body_part = on_body,
                               .done = on_done,
                               .data = r,
                           });
  g_ptr_array_free (headers, TRUE);
  g_free (url);
}

static GPtrArray *
write_headers (const BjCall *c)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);
  BjTime left = MAX (1, c->deadline - bj_clock_now () - BJ_HOP_MS);
  BjStr block = c->request.headers;
  BjStr name;
  BjStr value;

  g_ptr_array_add (lines, g_strdup_printf ("Bj-Deadline-Ms: %.0f", left));
  g_ptr_array_add (lines, g_strdup_printf ("Bj-Attempts-Left: %d", c->attempts_left));
  g_ptr_array_add (lines, g_strdup_printf ("Bj-Path: %d", c->request.depth));
  g_ptr_array_add (lines, g_strdup_printf ("Bj-Class: %d", c->klass));
  g_ptr_array_add (lines, g_strdup_printf ("Bj-Call: %" G_GUINT64_FORMAT, c->id));
  if (c->request.key.len > 0)
    g_ptr_array_add (lines, g_strdup_printf ("Idempotency-Key: %.*s", BJ_STR_ARG (c->request.key)));
  if (c->request.content_type.len > 0)
    g_ptr_array_add (lines,
                     g_strdup_printf ("Content-Type: %.*s", BJ_STR_ARG (c->request.content_type)));
  // libcurl sends a header without a value when its line ends in a semicolon.
  while (bj_header_next (&block, &name, &value))
    g_ptr_array_add (lines,
                     value.len > 0
                         ? g_strdup_printf ("%.*s: %.*s", BJ_STR_ARG (name), BJ_STR_ARG (value))
                         : g_strdup_printf ("%.*s;", BJ_STR_ARG (name)));
  g_ptr_array_add (lines, NULL);
  return lines;
}

static void
on_drained (BjSource *s, size_t n)
{
  (void)n;
  bj_http_resume (((Run *)s)->http);
}

static void
on_cancel (BjSource *s)
{
  Run *r = (Run *)s;

  bj_http_cancel (r->http);
  g_free (r);
}

static void
on_head (void *data, const BjHttpHead *h)
{
  Run *r = data;
  BjAnswer a = {
    .outcome = read_outcome (h->outcome),
    .http_status = h->status,
    .retry_after_ms = h->retry_after_ms,
    .attempts_left = h->attempts_left,
    .content_type = h->content_type,
    .headers = h->headers,
    .length = h->length,
  };

  bj_exchange_begin (r->x, &a);
}

static size_t
on_body (void *data, BjStr part)
{
  Run *r = data;

  if (bj_exchange_room (r->x) < part.len)
    return 0;
  bj_exchange_data (r->x, part);
  return part.len;
}

static void
on_done (void *data, BjStatus s, bool sent)
{
  Run *r = data;
  BjExchange *x = r->x;
  bool begun = x->call->answer_begun && !x->call->detached;

  g_free (r);
  if (s == BJ_OK || s == BJ_E_BROKEN || begun)
    bj_exchange_end (x, s == BJ_OK);
  else
    bj_exchange_lost (x, s, sent ? BJ_UNKNOWN : BJ_NOT_RUN);
}

static BjOutcome
read_outcome (BjStr name)
{
  if (bj_str_equal (name, BJ_STR ("not-run")))
    return BJ_NOT_RUN;
  if (bj_str_equal (name, BJ_STR ("unknown")))
    return BJ_UNKNOWN;
  return BJ_DONE;
}
