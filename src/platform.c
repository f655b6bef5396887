// Platform: the object API over HTTP, plug-in "http". It follows the conventions of the Kubernetes
// API: opaque resourceVersion, 409 on a lost race, watches from a version, 410 when that version is
// gone.

#include "internal.h"
#include <string.h>

#define URL_ROOT "/apis/boragejunction/v1/"
#define WATCH_GRACE_MS 2000

typedef struct
{
  BjPlatform base;
  BjHttp *http;
  BjStr url;
  GHashTable *asks; // open ones
} Http;

typedef struct
{
  Http *platform;
  BjHttpCall *call;
  BjPlatformDone done;
  void *data;
  int status;
  GString *body;
} Ask;

static BjPlatform *create (struct ev_loop *loop, BjHttp *http, BjStr url);
static void destroy (BjPlatform *p);
static void get (BjPlatform *p, const char *name, BjPlatformDone done, void *data);
static void put (BjPlatform *p,
                 const char *name,
                 struct json_object *spec,
                 BjStr version,
                 BjPlatformDone done,
                 void *data);
static void watch (BjPlatform *p, const char *name, BjStr version, BjPlatformDone done, void *data);
static void forget (BjPlatform *p, void *data);
static void start (Http *h,
                   const char *method,
                   char *url,
                   BjStr body,
                   double timeout_ms,
                   BjPlatformDone done,
                   void *data);
static void on_head (void *data, const BjHttpHead *h);
static size_t on_body (void *data, BjStr part);
static void on_done (void *data, BjStatus s, bool sent);
static void free_ask (gpointer ask);
static BjStatus status_of (int http_status);
static void read_object (struct json_object *o, BjPlatformReply *r);

static const BjPlatformOps http_ops
    = { create, destroy, get, put, watch, forget, "config/current", NULL };

static BjPlatform *
create (struct ev_loop *loop, BjHttp *http, BjStr url)
{
  Http *h = g_new0 (Http, 1);

  (void)loop;
  h->base.ops = &http_ops;
  h->http = http;
  h->url = bj_str_dup (url);
  h->asks = g_hash_table_new_full (NULL, NULL, free_ask, NULL);
  return &h->base;
}

static void
destroy (BjPlatform *p)
{
  Http *h = (Http *)p;

  g_hash_table_destroy (h->asks);
  bj_str_free (&h->url);
  g_free (h);
}

static void
get (BjPlatform *p, const char *name, BjPlatformDone done, void *data)
{
  Http *h = (Http *)p;
  char *url = g_strdup_printf ("%s" URL_ROOT "%s", h->url.data, name);

  start (h, "GET", url, BJ_STR_NULL, BJ_PLATFORM_TIMEOUT_MS, done, data);
}

static void
put (BjPlatform *p,
     const char *name,
     struct json_object *spec,
     BjStr version,
     BjPlatformDone done,
     void *data)
{
  Http *h = (Http *)p;
  char *url = g_strdup_printf ("%s" URL_ROOT "%s", h->url.data, name);
  struct json_object *o = json_object_new_object ();
  struct json_object *meta = json_object_new_object ();

  json_object_object_add (o, "metadata", meta);
  json_object_object_add (o, "spec", json_object_get (spec));
  if (version.len > 0)
    json_object_object_add (
        meta, "resourceVersion", json_object_new_string_len (version.data, (int)version.len));
  start (h,
         version.len > 0 ? "PUT" : "POST",
         url,
         bj_str (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN)),
         BJ_PLATFORM_TIMEOUT_MS,
         done,
         data);
  json_object_put (o);
}

static void
watch (BjPlatform *p, const char *name, BjStr version, BjPlatformDone done, void *data)
{
  Http *h = (Http *)p;
  char *url
      = g_strdup_printf ("%s" URL_ROOT "%s?watch=true&resourceVersion=%.*s&timeoutMilliseconds=%d",
                         h->url.data,
                         name,
                         BJ_STR_ARG (version),
                         BJ_WATCH_MS);

  start (h, "GET", url, BJ_STR_NULL, BJ_WATCH_MS + WATCH_GRACE_MS, done, data);
}

static void
forget (BjPlatform *p, void *data)
{
  Http *h = (Http *)p;
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, h->asks);
  while (g_hash_table_iter_next (&i, &key, NULL))
    if (((Ask *)key)->data == data)
      g_hash_table_iter_remove (&i);
}

static void
start (Http *h,
       const char *method,
       char *url,
       BjStr body,
       double timeout_ms,
       BjPlatformDone done,
       void *data)
{
  static const char *const headers[] = { "Content-Type: application/json", NULL };
  Ask *a = g_new0 (Ask, 1);

  a->platform = h;
  a->done = done;
  a->data = data;
  a->body = g_string_new (NULL);
  g_hash_table_add (h->asks, a);
  a->call = bj_http_start (h->http,
                           &(BjHttpOptions){
                               .method = method,
                               .url = url,
                               .headers = headers,
                               .body = body,
                               .timeout_ms = timeout_ms,
                               .head = on_head,
                               .body_part = on_body,
                               .done = on_done,
                               .data = a,
                           });
  g_free (url);
}

static void
on_head (void *data, const BjHttpHead *h)
{
  ((Ask *)data)->status = h->status;
}

static size_t
on_body (void *data, BjStr part)
{
  Ask *a = data;

  if (a->body->len + part.len <= 2 * BJ_TICKET_MAX)
    g_string_append_len (a->body, part.data, (gssize)part.len);
  return part.len;
}

static void
on_done (void *data, BjStatus s, bool sent)
{
  Ask *a = data;
  BjPlatformReply r = { .code = BJ_E_PLATFORM };
  struct json_object *o = NULL;

  (void)sent;
  a->call = NULL;
  g_hash_table_steal (a->platform->asks, a);
  if (s == BJ_OK)
    r.code = status_of (a->status);
  if (r.code == BJ_OK)
    {
      o = json_tokener_parse (a->body->str);
      read_object (o, &r);
    }
  if (r.code == BJ_E_PLATFORM)
    bj_fail (
        BJ_E_PLATFORM, "The platform answered with status %d, %s.", a->status, bj_status_name (s));
  a->done (a->data, &r);
  json_object_put (o);
  free_ask (a);
}

static void
free_ask (gpointer ask)
{
  Ask *a = ask;

  if (a->call != NULL)
    bj_http_cancel (a->call);
  g_string_free (a->body, TRUE);
  g_free (a);
}

static BjStatus
status_of (int http_status)
{
  switch (http_status)
    {
    case 200:
    case 201:
      return BJ_OK;
    case 304:
    case 404:
      return BJ_E_NOT_FOUND;
    case 409:
      return BJ_E_CONFLICT;
    case 410:
      return BJ_E_GONE;
    default:
      return BJ_E_PLATFORM;
    }
}

static void
read_object (struct json_object *o, BjPlatformReply *r)
{
  struct json_object *meta;

  if (o == NULL || !json_object_object_get_ex (o, "metadata", &meta)
      || !json_object_object_get_ex (o, "spec", &r->spec))
    {
      r->code = BJ_E_PLATFORM;
      return;
    }
  r->version = bj_json_str (meta, "resourceVersion");
}

BJ_PLUGIN (BJ_PLUGIN_PLATFORM, "http", http_ops)
