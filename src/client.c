// Client: requests to an HTTP object store that replies in JSON. A platform plug-in gives the path
// of a request and the function that parses its response.

#include "internal.h"

#define REPLY_BYTES_MAX (4 * 1024 * 1024) // of a response body
#define RATE_MIN 64.0                     // bytes per ms at which a store takes a request

struct BjStoreClient
{
  BjPlatform *platform;
  BjHttp *http;
  BjStr url;
  const char *era_header; // NULL if the store reports no era
  GHashTable *open;       // set of Request*
};

typedef struct
{
  BjStoreClient *client;
  BjStoreRequestOptions o;
  char *name; // copy of o.name, owned
  BjHttpCall *call;
  int status;
  int64_t era; // in the response, 0 if absent
  BjTime head_at;
  GString *body;
} Request;

static void on_head (void *data, const BjHttpHead *h);
static size_t on_body (void *data, BjStr part);
static void on_done (void *data, BjStatus s, bool sent);
static bool check_era (const Request *q);
static void free_request (gpointer request);
static BjStatus status_from_http (int http_status);

BjStoreClient *
bj_store_client_new (BjPlatform *p, BjHttp *http, BjStr url, const char *era_header)
{
  BjStoreClient *c = g_new0 (BjStoreClient, 1);

  c->platform = p;
  c->era_header = era_header;
  c->http = http;
  c->url = bj_str_dup (url);
  c->open = g_hash_table_new_full (NULL, NULL, free_request, NULL);
  return c;
}

void
bj_store_client_free (BjStoreClient *c)
{
  g_hash_table_destroy (c->open);
  bj_str_free (&c->url);
  g_free (c);
}

void
bj_store_client_start (BjStoreClient *client, const BjStoreRequestOptions *o)
{
  static const char *const headers[] = { "Content-Type: application/json", NULL };
  char *url = g_strdup_printf ("%s%s", client->url.data, o->path);
  Request *q = g_new0 (Request, 1);

  q->client = client;
  q->o = *o;
  q->name = g_strdup (o->name);
  q->o.name = q->name;
  q->body = g_string_new (NULL);
  g_hash_table_add (client->open, q);
  q->call = bj_http_start (client->http,
                           &(BjHttpOptions){
                               .method = o->method,
                               .url = url,
                               .headers = headers,
                               .number_header = client->era_header,
                               .sends_once = o->is_watch,
                               .body = o->body,
                               .timeout_ms = o->timeout_ms + (double)o->body.len / RATE_MIN,
                               .body_max = REPLY_BYTES_MAX,
                               .stall_ms = BJ_PLATFORM_TIMEOUT_MS,
                               .head = on_head,
                               .body_part = on_body,
                               .done = on_done,
                               .data = q,
                           });
  g_free (url);
}

void
bj_store_client_cancel (BjStoreClient *client, void *data)
{
  GHashTableIter i;
  gpointer q;

  g_hash_table_iter_init (&i, client->open);
  while (g_hash_table_iter_next (&i, &q, NULL))
    if (((Request *)q)->o.data == data)
      g_hash_table_iter_remove (&i);
}

static void
on_head (void *data, const BjHttpHead *h)
{
  Request *q = data;

  q->status = h->status;
  q->era = h->number;
  q->head_at = bj_clock_now ();
  q->client->platform->heard_at = q->head_at;
}

static size_t
on_body (void *data, BjStr part)
{
  Request *q = data;

  q->client->platform->heard_at = bj_clock_now ();
  g_string_append_len (q->body, part.data, (gssize)part.len);
  return part.len;
}

static void
on_done (void *data, BjStatus s, bool sent)
{
  Request *q = data;
  BjPlatformReply r = { .code = BJ_E_PLATFORM, .bytes = q->body->len };
  struct json_object *o = NULL;

  (void)sent;
  q->call = NULL;
  g_hash_table_steal (q->client->open, q);
  if (q->head_at > 0)
    r.transfer_ms = bj_clock_now () - q->head_at;
  if (s == BJ_OK && check_era (q))
    r.code = status_from_http (q->status);
  if (r.code == BJ_OK || r.code == BJ_E_CONFLICT)
    o = bj_json_parse_cut ((BjStr){ q->body->str, q->body->len });
  if (r.code == BJ_OK)
    q->o.read (o, q->o.name, &r);
  else if (o != NULL)
    {
      // The store may return the conflicting object.
      q->o.read (o, q->o.name, &r);
      r.code = BJ_E_CONFLICT;
    }
  if (r.code == BJ_E_PLATFORM)
    bj_fail (BJ_E_PLATFORM,
             "Platform request for %s failed: HTTP status %d, %s, %zu bytes received, era "
             "%" G_GINT64_FORMAT " of %" G_GINT64_FORMAT ".",
             q->name,
             q->status,
             bj_status_name (s),
             q->body->len,
             q->era,
             q->client->platform->era);
  q->o.done (q->o.data, &r);
  json_object_put (o);
  free_request (q);
}

// Returns false for a late response from before the last restore. A new era is recorded.
static bool
check_era (const Request *q)
{
  BjPlatform *p = q->client->platform;

  if (q->era > p->era)
    {
      if (p->era > 0)
        bj_log (BJ_LOG_WARNING,
                "PLATFORM",
                "The store came back from an older copy (era %" G_GINT64_FORMAT
                " after %" G_GINT64_FORMAT "); reading it again.",
                q->era,
                p->era);
      p->era = q->era;
    }
  return q->era == 0 || q->era == p->era;
}

static void
free_request (gpointer request)
{
  Request *q = request;

  if (q->call != NULL)
    bj_http_cancel (q->call);
  g_string_free (q->body, TRUE);
  g_free (q->name);
  g_free (q);
}

static BjStatus
status_from_http (int http_status)
{
  switch (http_status)
    {
    case 200:
    case 201:
      return BJ_OK;
    case 304: // watch timed out without a change
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
