// Memory: an object store inside the process, plug-in "memory", for tests and embedders without a
// platform. All its users in one process that open the same URL share the same objects.

#include "internal.h"
#include <ev.h>

typedef struct
{
  int n_users;           // open platforms; the last one frees the store
  GHashTable *objects;   // char* name -> Object*
  uint64_t last_version; // of the object written last
  GPtrArray *requests;   // Request*: open requests of all users
} Store;

typedef struct
{
  struct json_object *spec;
  uint64_t version;
} Object;

typedef struct
{
  BjPlatform base;
  struct ev_loop *loop;
  char *url;
  Store *store;
} Memory;

typedef struct
{
  Memory *memory;
  ev_timer timer; // until the reply, or until the time-out of a watch
  bool is_watch;  // waits for a change
  char *name;
  uint64_t known_version; // watch: version that the client has
  BjStatus code;
  uint64_t version;
  struct json_object *spec; // of the reply, owned
  BjPlatformDone done;
  void *data;
} Request;

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
static Request *new_request (BjPlatform *p, const char *name, BjPlatformDone done, void *data);
static void schedule_reply (Request *q, BjStatus code, const Object *o);
static void complete_watches (Store *s, const char *name);
static void on_timer (struct ev_loop *loop, ev_timer *w, int events);
static uint64_t parse_version (BjStr text);
static Store *acquire_store (const char *url);
static void free_object (gpointer o);
static void free_request (gpointer q);

static GHashTable *stores; // char* URL -> Store*

static const BjPlatformOps memory_ops
    = { create, destroy, get, put, watch, cancel_requests, "config/current", NULL };

static BjPlatform *
create (struct ev_loop *loop, BjHttp *http, BjStr url)
{
  Memory *m = g_new0 (Memory, 1);

  (void)http;
  m->base.ops = &memory_ops;
  m->loop = loop;
  m->url = g_strndup (url.data, url.len);
  m->store = acquire_store (m->url);
  return &m->base;
}

static void
destroy (BjPlatform *p)
{
  Memory *m = (Memory *)p;
  Store *s = m->store;

  for (guint i = s->requests->len; i > 0; i--)
    if (((Request *)s->requests->pdata[i - 1])->memory == m)
      g_ptr_array_remove_index_fast (s->requests, i - 1);
  if (--s->n_users == 0)
    {
      g_hash_table_remove (stores, m->url);
      g_hash_table_destroy (s->objects);
      g_ptr_array_free (s->requests, TRUE);
      g_free (s);
    }
  if (g_hash_table_size (stores) == 0)
    g_clear_pointer (&stores, g_hash_table_destroy);
  g_free (m->url);
  g_free (m);
}

static void
get (BjPlatform *p, const char *name, BjPlatformDone done, void *data)
{
  const Object *o = g_hash_table_lookup (((Memory *)p)->store->objects, name);

  schedule_reply (new_request (p, name, done, data), o != NULL ? BJ_OK : BJ_E_NOT_FOUND, o);
}

static void
put (BjPlatform *p,
     const char *name,
     struct json_object *spec,
     BjStr version,
     BjPlatformDone done,
     void *data)
{
  Store *s = ((Memory *)p)->store;
  Object *o = g_hash_table_lookup (s->objects, name);
  Request *q = new_request (p, name, done, data);

  if (version.len > 0 && o == NULL)
    schedule_reply (q, BJ_E_NOT_FOUND, NULL);
  else if ((version.len == 0 && o != NULL)
           || (version.len > 0 && parse_version (version) != o->version))
    schedule_reply (q, BJ_E_CONFLICT, NULL);
  else
    {
      o = g_new0 (Object, 1);
      o->version = ++s->last_version;
      json_object_deep_copy (spec, &o->spec, NULL);
      g_hash_table_replace (s->objects, g_strdup (name), o);
      schedule_reply (q, BJ_OK, o);
      complete_watches (s, name);
    }
}

static void
watch (BjPlatform *p, const char *name, BjStr version, BjPlatformDone done, void *data)
{
  const Object *o = g_hash_table_lookup (((Memory *)p)->store->objects, name);
  Request *q = new_request (p, name, done, data);

  q->known_version = parse_version (version);
  if (o != NULL && o->version > q->known_version)
    {
      schedule_reply (q, BJ_OK, o);
      return;
    }
  q->is_watch = true;
  q->code = BJ_E_NOT_FOUND;
  ev_timer_set (&q->timer, BJ_WATCH_TIMEOUT_MS / 1000.0, 0);
  ev_timer_start (q->memory->loop, &q->timer);
}

static void
cancel_requests (BjPlatform *p, void *data)
{
  GPtrArray *requests = ((Memory *)p)->store->requests;

  for (guint i = requests->len; i > 0; i--)
    {
      const Request *q = requests->pdata[i - 1];

      if (&q->memory->base == p && q->data == data)
        g_ptr_array_remove_index_fast (requests, i - 1);
    }
}

static Request *
new_request (BjPlatform *p, const char *name, BjPlatformDone done, void *data)
{
  Request *q = g_new0 (Request, 1);

  q->memory = (Memory *)p;
  q->name = g_strdup (name);
  q->done = done;
  q->data = data;
  ev_timer_init (&q->timer, on_timer, 0, 0);
  q->timer.data = q;
  g_ptr_array_add (q->memory->store->requests, q);
  return q;
}

// The reply contains the current state of the object; it is delivered in the next iteration of the
// event loop.
static void
schedule_reply (Request *q, BjStatus code, const Object *o)
{
  q->is_watch = false;
  q->code = code;
  if (o != NULL)
    {
      q->version = o->version;
      q->spec = json_object_get (o->spec);
    }
  ev_timer_stop (q->memory->loop, &q->timer);
  ev_timer_set (&q->timer, 0, 0);
  ev_timer_start (q->memory->loop, &q->timer);
}

static void
complete_watches (Store *s, const char *name)
{
  const Object *o = g_hash_table_lookup (s->objects, name);

  for (guint i = 0; i < s->requests->len; i++)
    {
      Request *q = s->requests->pdata[i];

      if (q->is_watch && g_str_equal (q->name, name))
        schedule_reply (q, BJ_OK, o);
    }
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  Request *q = w->data;
  char version[32];
  guint at;
  BjPlatformReply r = { .code = q->code, .spec = q->spec };
  BjPlatform *p = &q->memory->base;

  (void)loop;
  (void)events;
  p->heard_at = bj_clock_now ();
  g_snprintf (version, sizeof version, "%" G_GUINT64_FORMAT, q->version);
  if (q->spec != NULL)
    r.version = bj_str (version);
  if (g_ptr_array_find (q->memory->store->requests, q, &at))
    g_ptr_array_steal_index_fast (q->memory->store->requests, at);
  q->done (q->data, &r);
  free_request (q);
}

static uint64_t
parse_version (BjStr text)
{
  int64_t version = 0;

  bj_str_int (text, &version);
  return (uint64_t)version;
}

static Store *
acquire_store (const char *url)
{
  Store *s;

  if (stores == NULL)
    stores = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s = g_hash_table_lookup (stores, url);
  if (s == NULL)
    {
      s = g_new0 (Store, 1);
      s->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_object);
      s->requests = g_ptr_array_new_with_free_func (free_request);
      g_hash_table_insert (stores, g_strdup (url), s);
    }
  s->n_users++;
  return s;
}

static void
free_object (gpointer object)
{
  Object *o = object;

  json_object_put (o->spec);
  g_free (o);
}

static void
free_request (gpointer request)
{
  Request *q = request;

  ev_timer_stop (q->memory->loop, &q->timer);
  json_object_put (q->spec);
  g_free (q->name);
  g_free (q);
}

BJ_PLUGIN (BJ_PLUGIN_PLATFORM, "memory", memory_ops)
