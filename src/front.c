// Front: ingress for callers. Turns complete HTTP requests into calls and sends their responses
// with the headers of the configured dialect.

#include "server.h"
#include <limits.h>
#include <string.h>
#include <sys/resource.h>

#define ACTIONS_PATH "/v1/actions" // POST returns a new home-bound action id
#define CALLER_FD_SHARE 0.7 // of the descriptor limit; the rest is for links, store and upstream

struct BjFront
{
  BjDaemon *daemon;
  BjServer *server;
};

typedef struct
{
  BjSink sink; // first member, cast from BjSink*
  BjFront *front;
  BjServerRequest *request;
  BjExchange *exchange; // NULL when the call was answered immediately
} Caller;

static int max_caller_conns (void);
static BjServerVerdict on_head (void *front, const BjHead *h);
static void on_refused (void *front, BjServerRequest *r, const BjHead *h, int status);
static void on_request (void *front, BjServerRequest *request, const BjHead *h, BjStr body);
static bool is_action_path (const BjHead *h);
static void on_disconnected (void *caller);
static void on_drained (void *caller, size_t n);
static void send_action_id (Caller *c);
static void on_begin (BjSink *s, const BjAnswer *a);
static size_t on_room (BjSink *s);
static void on_data (BjSink *s, BjStr part);
static void on_end (BjSink *s, bool is_complete);

static const BjServerOps server_ops
    = { on_head, on_refused, on_request, on_disconnected, on_drained };
static const BjSinkOps caller_ops = { on_begin, on_room, on_data, on_end };

BjStatus
bj_front_new (BjDaemon *d, BjFront **front)
{
  BjFront *f = g_new0 (BjFront, 1);
  BjStatus s;

  f->daemon = d;
  s = bj_server_new (d->loop, "front", d->settings.front, &server_ops, f, &f->server);
  if (s != BJ_OK)
    {
      g_free (f);
      return s;
    }
  bj_server_set_conns_max (f->server, max_caller_conns ());
  bj_server_set_pipelined_max (f->server, d->settings.pipelined_max);
  *front = f;
  return BJ_OK;
}

static int
max_caller_conns (void)
{
  struct rlimit l;

  if (getrlimit (RLIMIT_NOFILE, &l) != 0 || l.rlim_cur > INT_MAX)
    return INT_MAX;
  return MAX (1, (int)(CALLER_FD_SHARE * (double)l.rlim_cur));
}

void
bj_front_free (BjFront *f)
{
  if (f == NULL)
    return;
  bj_server_free (f->server);
  g_free (f);
}

void
bj_front_reload (BjFront *f)
{
  bj_server_set_pipelined_max (f->server, f->daemon->settings.pipelined_max);
}

BjServer *
bj_front_server (BjFront *f)
{
  return f->server;
}

static BjServerVerdict
on_head (void *front, const BjHead *h)
{
  BjDaemon *d = ((BjFront *)front)->daemon;
  BjServerVerdict v = { 0, false };
  BjRequest r = { .path = h->path };
  BjStatus checked;

  if (is_action_path (h) || bj_kernel_config (d->kernel) == NULL)
    return v;
  d->dialect->read_request (&d->settings, h, &r, NULL);
  r.api_key = bj_str_trim (r.api_key);
  checked = bj_kernel_check_head (d->kernel, bj_clock_now (), &r, &v.runs_alone);
  if (checked != BJ_OK)
    v.refuse_status = checked == BJ_E_UNAUTHORIZED ? 401 : 503;
  return v;
}

static void
on_refused (void *front, BjServerRequest *r, const BjHead *h, int status)
{
  BjDaemon *d = ((BjFront *)front)->daemon;
  BjAnswer a = bj_daemon_refuse_head (d, h, status);
  GString *lines = g_string_new (NULL);

  d->dialect->write_answer (&a, lines);
  bj_server_begin (r, a.http_status, (BjStr){ lines->str, lines->len }, 0);
  bj_server_end (r, true);
  g_string_free (lines, TRUE);
}

static void
on_request (void *front, BjServerRequest *request, const BjHead *h, BjStr body)
{
  BjFront *f = front;
  Caller *c = g_new0 (Caller, 1);
  GString *relayed = g_string_new (NULL);
  BjRequest r = {
    .method = h->method, .path = h->path, .body = body, .klass = -1, .waited_ms = h->waited_ms
  };

  c->sink.ops = &caller_ops;
  c->front = f;
  c->request = request;
  bj_server_set_call (request, c);
  if (is_action_path (h))
    send_action_id (c);
  else
    {
      BjExchange *x;

      r.attempts_left = -1;
      f->daemon->dialect->read_request (&f->daemon->settings, h, &r, relayed);
      r.headers = (BjStr){ relayed->str, relayed->len };
      x = bj_daemon_handle_call (f->daemon, &r, &c->sink);
      // NULL: the call was answered immediately, which freed c.
      if (x != NULL)
        c->exchange = x;
    }
  g_string_free (relayed, TRUE);
}

static bool
is_action_path (const BjHead *h)
{
  return bj_str_equal (h->method, BJ_STR ("POST")) && bj_str_equal (h->path, BJ_STR (ACTIONS_PATH));
}

static void
on_disconnected (void *caller)
{
  Caller *c = caller;
  BjExchange *x = c->exchange;

  g_free (c);
  if (x != NULL)
    bj_exchange_abort (x);
}

static void
on_drained (void *caller, size_t n)
{
  Caller *c = caller;

  if (c->exchange != NULL)
    bj_exchange_drained (c->exchange, n);
}

static void
send_action_id (Caller *c)
{
  GString *out = g_string_new ("{\"id\":\"");
  BjAnswer a = { .outcome = BJ_NOT_RUN,
                 .http_status = 201,
                 .attempts_left = -1,
                 .content_type = BJ_STR ("application/json") };

  bj_outcomes_mint (c->front->daemon->outcomes, out);
  g_string_append (out, "\"}\n");
  a.length = (int64_t)out->len;
  on_begin (&c->sink, &a);
  on_data (&c->sink, (BjStr){ out->str, out->len });
  on_end (&c->sink, true);
  g_string_free (out, TRUE);
}

static void
on_begin (BjSink *s, const BjAnswer *a)
{
  Caller *c = (Caller *)s;
  BjAnswer copy = *a;
  GString *lines = g_string_sized_new (256);
  BjStr block = a->headers;
  BjStr name;
  BjStr value;

  c->front->daemon->dialect->write_answer (&copy, lines);
  if (a->content_type.len > 0)
    g_string_append_printf (lines, "Content-Type: %.*s\r\n", BJ_STR_ARG (a->content_type));
  while (bj_header_next (&block, &name, &value))
    g_string_append_printf (lines, "%.*s: %.*s\r\n", BJ_STR_ARG (name), BJ_STR_ARG (value));
  bj_server_begin (c->request, copy.http_status, (BjStr){ lines->str, lines->len }, a->length);
  g_string_free (lines, TRUE);
}

static size_t
on_room (BjSink *s)
{
  return bj_server_room (((Caller *)s)->request);
}

static void
on_data (BjSink *s, BjStr part)
{
  bj_server_data (((Caller *)s)->request, part);
}

static void
on_end (BjSink *s, bool is_complete)
{
  Caller *c = (Caller *)s;
  BjServerRequest *request = c->request;

  g_free (c);
  bj_server_end (request, is_complete);
}
