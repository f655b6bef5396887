// Ask: calls to an HTTP object store that answers in JSON. Plug-ins of the platform say where a
// call goes and how its answer is read.

#include "internal.h"

#define REPLY_MAX (4 * 1024 * 1024) // bytes of an answer; what is longer is cut and not read

struct BjAsks
{
  BjHttp *http;
  BjStr url;
  GHashTable *open; // set of Ask*
};

typedef struct
{
  BjAsks *asks;
  BjAskOptions o;
  char *name; // owned copy of o.name
  BjHttpCall *call;
  int status;
  GString *body;
} Ask;

static void on_head (void *data, const BjHttpHead *h);
static size_t on_body (void *data, BjStr part);
static void on_done (void *data, BjStatus s, bool sent);
static void free_ask (gpointer ask);
static BjStatus status_of (int http_status);

BjAsks *
bj_asks_new (BjHttp *http, BjStr url)
{
  BjAsks *a = g_new0 (BjAsks, 1);

  a->http = http;
  a->url = bj_str_dup (url);
  a->open = g_hash_table_new_full (NULL, NULL, free_ask, NULL);
  return a;
}

void
bj_asks_free (BjAsks *a)
{
  g_hash_table_destroy (a->open);
  bj_str_free (&a->url);
  g_free (a);
}

void
bj_asks_start (BjAsks *asks, const BjAskOptions *o)
{
  static const char *const headers[] = { "Content-Type: application/json", NULL };
  char *url = g_strdup_printf ("%s%s", asks->url.data, o->path);
  Ask *a = g_new0 (Ask, 1);

  a->asks = asks;
  a->o = *o;
  a->name = g_strdup (o->name);
  a->o.name = a->name;
  a->body = g_string_new (NULL);
  g_hash_table_add (asks->open, a);
  a->call = bj_http_start (asks->http,
                           &(BjHttpOptions){
                               .method = o->method,
                               .url = url,
                               .headers = headers,
                               .body = o->body,
                               .timeout_ms = o->timeout_ms,
                               .head = on_head,
                               .body_part = on_body,
                               .done = on_done,
                               .data = a,
                           });
  g_free (url);
}

void
bj_asks_forget (BjAsks *asks, void *data)
{
  GHashTableIter i;
  gpointer a;

  g_hash_table_iter_init (&i, asks->open);
  while (g_hash_table_iter_next (&i, &a, NULL))
    if (((Ask *)a)->o.data == data)
      g_hash_table_iter_remove (&i);
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

  if (a->body->len + part.len <= REPLY_MAX)
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
  g_hash_table_steal (a->asks->open, a);
  if (s == BJ_OK)
    r.code = status_of (a->status);
  if (r.code == BJ_OK || r.code == BJ_E_CONFLICT)
    o = json_tokener_parse (a->body->str);
  if (r.code == BJ_OK)
    a->o.read (o, a->o.name, &r);
  else if (o != NULL)
    {
      // The object that stands in the way, if the store tells it.
      a->o.read (o, a->o.name, &r);
      r.code = BJ_E_CONFLICT;
    }
  if (r.code == BJ_E_PLATFORM)
    bj_fail (BJ_E_PLATFORM,
             "The platform answered with status %d, %s, %zu bytes.",
             a->status,
             bj_status_name (s),
             a->body->len);
  a->o.done (a->o.data, &r);
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
  g_free (a->name);
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
    case 304: // a watch that waited without change
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
