// Platform: client of an object store over HTTP, plug-in "http". It follows the conventions of the
// Kubernetes API: opaque resourceVersion, status 409 on a version conflict, watches from a version,
// status 410 if the store no longer has that version.

#include "internal.h"
#include <string.h>

#define URL_ROOT "/apis/boragejunction/v1/"

typedef struct
{
  BjPlatform base;
  BjStoreClient *client;
} Http;

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
static void cancel_requests (BjPlatform *p, void *data);
static void
start_request (BjPlatform *p, const char *name, const char *query, BjStoreRequestOptions o);
static void read_object (struct json_object *o, const char *name, BjPlatformReply *r);

static const BjPlatformOps http_ops
    = { create, destroy, get, put, watch, cancel_requests, "config/current", NULL };

static BjPlatform *
create (struct ev_loop *loop, BjHttp *http, BjStr url)
{
  Http *h = g_new0 (Http, 1);

  (void)loop;
  h->base.ops = &http_ops;
  h->client = bj_store_client_new (&h->base, http, url, NULL);
  return &h->base;
}

static void
destroy (BjPlatform *p)
{
  bj_store_client_free (((Http *)p)->client);
  g_free (p);
}

static void
get (BjPlatform *p, const char *name, BjPlatformDone done, void *data)
{
  start_request (
      p,
      name,
      "",
      (BjStoreRequestOptions){
          .method = "GET", .timeout_ms = BJ_PLATFORM_TIMEOUT_MS, .done = done, .data = data });
}

static void
put (BjPlatform *p,
     const char *name,
     struct json_object *spec,
     BjStr version,
     BjPlatformDone done,
     void *data)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *meta = json_object_new_object ();

  json_object_object_add (o, "metadata", meta);
  json_object_object_add (o, "spec", json_object_get (spec));
  if (version.len > 0)
    json_object_object_add (
        meta, "resourceVersion", json_object_new_string_len (version.data, (int)version.len));
  start_request (p,
                 name,
                 "",
                 (BjStoreRequestOptions){
                     .method = version.len > 0 ? "PUT" : "POST",
                     .body = bj_str (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN)),
                     .timeout_ms = BJ_PLATFORM_TIMEOUT_MS,
                     .done = done,
                     .data = data });
  json_object_put (o);
}

static void
watch (BjPlatform *p, const char *name, BjStr version, BjPlatformDone done, void *data)
{
  char *query = g_strdup_printf ("?watch=true&resourceVersion=%.*s&timeoutMilliseconds=%d",
                                 BJ_STR_ARG (version),
                                 BJ_WATCH_TIMEOUT_MS);

  start_request (p,
                 name,
                 query,
                 (BjStoreRequestOptions){ .method = "GET",
                                          .timeout_ms = BJ_WATCH_TIMEOUT_MS + BJ_WATCH_GRACE_MS,
                                          .is_watch = true,
                                          .done = done,
                                          .data = data });
  g_free (query);
}

static void
cancel_requests (BjPlatform *p, void *data)
{
  bj_store_client_cancel (((Http *)p)->client, data);
}

static void
start_request (BjPlatform *p, const char *name, const char *query, BjStoreRequestOptions o)
{
  char *path = g_strdup_printf (URL_ROOT "%s%s", name, query);

  o.path = path;
  o.name = name;
  o.read = read_object;
  bj_store_client_start (((Http *)p)->client, &o);
  g_free (path);
}

static void
read_object (struct json_object *o, const char *name, BjPlatformReply *r)
{
  struct json_object *meta;

  (void)name;
  if (o == NULL || !json_object_object_get_ex (o, "metadata", &meta)
      || !json_object_object_get_ex (o, "spec", &r->spec))
    {
      r->code = BJ_E_PLATFORM;
      return;
    }
  r->version = bj_json_str (meta, "resourceVersion");
}

BJ_PLUGIN (BJ_PLUGIN_PLATFORM, "http", http_ops)
