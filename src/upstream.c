// Upstream: runs calls on the own upstream over HTTP. One call a connection at a time.

#include "internal.h"

#define URL_MAX_BYTES (BJ_HEADER_MAX + 64)

typedef struct
{
  BjSource source; // first
  BjExchange *x;
  BjHttpCall *http;
} Run;

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
  BjTime left = MAX (1, c->deadline - bj_clock_now ());
  char *url = g_strdup_printf (
      "http://%s:%d%s", d->upstream.host.data, d->upstream.port, c->request.path.data);
  char type[160];
  char key[160];
  char deadline[64];
  char attempts[64];
  char depth[32];
  char klass[32];
  char parent[64];
  const char *headers[8];
  int n = 0;

  g_snprintf (deadline, sizeof deadline, "Bj-Deadline-Ms: %.0f", MAX (1, left - BJ_HOP_MS));
  g_snprintf (attempts, sizeof attempts, "Bj-Attempts-Left: %d", c->attempts_left);
  g_snprintf (depth, sizeof depth, "Bj-Path: %d", c->request.depth);
  g_snprintf (klass, sizeof klass, "Bj-Class: %d", c->klass);
  g_snprintf (parent, sizeof parent, "Bj-Call: %" G_GUINT64_FORMAT, c->id);
  headers[n++] = deadline;
  headers[n++] = attempts;
  headers[n++] = depth;
  headers[n++] = klass;
  headers[n++] = parent;
  if (c->request.key.len > 0)
    {
      g_snprintf (key, sizeof key, "Idempotency-Key: %.*s", BJ_STR_ARG (c->request.key));
      headers[n++] = key;
    }
  if (c->request.content_type.len > 0)
    {
      g_snprintf (type, sizeof type, "Content-Type: %.*s", BJ_STR_ARG (c->request.content_type));
      headers[n++] = type;
    }
  headers[n] = NULL;
  r->source.ops = &run_ops;
  r->x = x;
  x->source = &r->source;
  r->http = bj_http_start (d->http,
                           &(BjHttpOptions){
                               .method = c->request.method.data,
                               .url = url,
                               .headers = headers,
                               .body = c->request.body,
                               .head = on_head,
                               .body_part = on_body,
                               .done = on_done,
                               .data = r,
                           });
  g_free (url);
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
