// One HTTP request of bjctl, through the library's client on a loop of its own.

#include "bjctl.h"
#include <ev.h>
#include <stdarg.h>
#include <stdio.h>

#define ASK_TIMEOUT_MS 5000
#define EXIT_FAILED 1

typedef struct
{
  struct ev_loop *loop;
  GString *out;
  int status;
} Ask;

static void on_head (void *data, const BjHttpHead *h);
static size_t on_body (void *data, BjStr part);
static void on_done (void *data, BjStatus s, bool sent);

int
ctl_ask (const char *method, const char *url, BjStr body, GString *out)
{
  static const char *const headers[] = { "Content-Type: application/json", NULL };
  Ask a = { .loop = ev_loop_new (EVFLAG_AUTO), .out = out };
  BjHttp *http = bj_http_new (a.loop);

  bj_http_start (http,
                 &(BjHttpOptions){
                     .method = method,
                     .url = url,
                     .headers = headers,
                     .body = body,
                     .timeout_ms = ASK_TIMEOUT_MS,
                     .head = on_head,
                     .body_part = on_body,
                     .done = on_done,
                     .data = &a,
                 });
  ev_run (a.loop, 0);
  bj_http_free (http);
  ev_loop_destroy (a.loop);
  return a.status;
}

int
ctl_fail (const char *format, ...)
{
  va_list args;

  fprintf (stderr, "bjctl: ");
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fprintf (stderr, "\n");
  return EXIT_FAILED;
}

static void
on_head (void *data, const BjHttpHead *h)
{
  ((Ask *)data)->status = h->status;
}

static size_t
on_body (void *data, BjStr part)
{
  g_string_append_len (((Ask *)data)->out, part.data, (gssize)part.len);
  return part.len;
}

static void
on_done (void *data, BjStatus s, bool sent)
{
  Ask *a = data;

  (void)sent;
  if (s != BJ_OK)
    a->status = 0;
  ev_break (a->loop, EVBREAK_ALL);
}
