// Requests of bjctl: HTTP to a daemon's admin address, and store calls through the platform
// plug-in.

#include "bjctl.h"
#include <ev.h>
#include <stdarg.h>
#include <stdio.h>

#define REQUEST_TIMEOUT_MS 5000
#define HTTP_OK 200

typedef struct
{
  struct ev_loop *loop;
  GString *out;
  int status;
} Request;

typedef struct
{
  struct ev_loop *loop;
  BjHttp *http;
  BjPlatform *platform;
  GString *out; // receives the spec of the object read, or the writer id of the accepted ticket
  BjStatus result;
} StoreClient;

static void open_store (const CtlOptions *o, StoreClient *s);
static void close_store (StoreClient *s);
static void on_object (void *data, const BjPlatformReply *r);
static void on_filed (void *data, const BjFiling *f);
static void on_head (void *data, const BjHttpHead *h);
static size_t on_body (void *data, BjStr part);
static void on_done (void *data, BjStatus s, bool sent);
static int get_exit_code (BjStatus s);

int
ctl_send_request (const char *method, const char *url, BjStr body, GString *out)
{
  static const char *const headers[] = { "Content-Type: application/json", NULL };
  Request r = { .loop = ev_loop_new (EVFLAG_AUTO), .out = out };
  BjHttp *http = bj_http_new (r.loop);

  bj_http_start (http,
                 &(BjHttpOptions){
                     .method = method,
                     .url = url,
                     .headers = headers,
                     .body = body,
                     .timeout_ms = REQUEST_TIMEOUT_MS,
                     .head = on_head,
                     .body_part = on_body,
                     .done = on_done,
                     .data = &r,
                 });
  ev_run (r.loop, 0);
  bj_http_free (http);
  ev_loop_destroy (r.loop);
  return r.status;
}

int
ctl_get_from_admin (const CtlOptions *o, const char *path, GString *out)
{
  char *url;
  int status;

  if (o->admin == NULL)
    return ctl_report_error (o, BJ_E_ARGUMENT, "This command needs --admin IP:PORT.");
  url = g_strdup_printf ("http://%s%s", o->admin, path);
  status = ctl_send_request ("GET", url, BJ_STR_NULL, out);
  g_free (url);
  if (status == HTTP_OK)
    return CTL_OK;
  return ctl_report_error (
      o,
      BJ_E_IO,
      "GET %s from the daemon at %s failed with HTTP status %d (0: no response).",
      path,
      o->admin,
      status);
}

BjStatus
ctl_read_object (const CtlOptions *o, const char *name, GString *spec)
{
  StoreClient s = { .out = spec };

  open_store (o, &s);
  s.platform->ops->get (s.platform, name, on_object, &s);
  ev_run (s.loop, 0);
  close_store (&s);
  return s.result;
}

BjStatus
ctl_run_filing (const CtlOptions *o, BjFiling *f, GString *writer)
{
  StoreClient s = { .out = writer };
  BjFiler *filer;

  open_store (o, &s);
  filer = bj_filer_new (s.loop, s.platform, f, on_filed, &s);
  ev_run (s.loop, 0);
  bj_filer_free (filer);
  close_store (&s);
  return s.result;
}

int
ctl_report_error (const CtlOptions *o, BjStatus s, const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  if (o->json)
    {
      struct json_object *j = json_object_new_object ();

      json_object_object_add (j, "code", json_object_new_int (s));
      json_object_object_add (j, "name", json_object_new_string (bj_status_name (s)));
      json_object_object_add (j, "message", json_object_new_string (text));
      printf ("%s\n", json_object_to_json_string_ext (j, JSON_C_TO_STRING_PLAIN));
      json_object_put (j);
    }
  else
    fprintf (stderr, "bjctl: %s (%d): %s\n", bj_status_name (s), s, text);
  g_free (text);
  return get_exit_code (s);
}

static void
open_store (const CtlOptions *o, StoreClient *s)
{
  const BjPlatformOps *ops = bj_plugin_find (BJ_PLUGIN_PLATFORM, BJ_STR ("http"));

  s->loop = ev_loop_new (EVFLAG_AUTO);
  s->http = bj_http_new (s->loop);
  s->platform = ops->create (s->loop, s->http, bj_str (o->platform));
}

static void
close_store (StoreClient *s)
{
  s->platform->ops->destroy (s->platform);
  bj_http_free (s->http);
  ev_loop_destroy (s->loop);
}

static void
on_object (void *data, const BjPlatformReply *r)
{
  StoreClient *s = data;

  s->result = r->code;
  if (r->code == BJ_E_NOT_FOUND)
    bj_fail (r->code, "The platform's store does not hold this object yet.");
  if (r->code == BJ_OK)
    g_string_assign (s->out, json_object_to_json_string_ext (r->spec, JSON_C_TO_STRING_PLAIN));
  ev_break (s->loop, EVBREAK_ALL);
}

static void
on_filed (void *data, const BjFiling *f)
{
  StoreClient *s = data;

  BjStr writer = bj_filing_writer (f);

  s->result = bj_filing_result (f);
  if (writer.len > 0)
    g_string_assign (s->out, writer.data);
  bj_fail (s->result, "%s", bj_filing_message (f));
  ev_break (s->loop, EVBREAK_ALL);
}

static void
on_head (void *data, const BjHttpHead *h)
{
  ((Request *)data)->status = h->status;
}

static size_t
on_body (void *data, BjStr part)
{
  g_string_append_len (((Request *)data)->out, part.data, (gssize)part.len);
  return part.len;
}

static void
on_done (void *data, BjStatus s, bool sent)
{
  Request *r = data;

  (void)sent;
  if (s != BJ_OK)
    r->status = 0;
  ev_break (r->loop, EVBREAK_ALL);
}

static int
get_exit_code (BjStatus s)
{
  switch (s)
    {
    case BJ_E_ARGUMENT:
      return CTL_USAGE;
    case BJ_E_PLATFORM:
    case BJ_E_IO:
      return CTL_NO_ANSWER;
    case BJ_E_PENDING:
      return CTL_PENDING;
    default:
      return CTL_REFUSED;
    }
}
