// Memory: the object API inside the process, plug-in "memory". For tests and embedders without a
// platform: every instance that is opened with the same URL in one process sees the same objects.

#include "internal.h"
#include <ev.h>

typedef struct
{
  int n_users;
  GHashTable *objects; // char* to Object*
  uint64_t last_version;
  GPtrArray *asks; // of all its users
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
  ev_timer timer; // to the answer, or to the end of a watch
  bool is_watch;
  char *name;
  uint64_t since; // version that the watcher knows
  BjStatus code;
  uint64_t version;
  struct json_object *spec; // of the answer, owned
  BjPlatformDone done;
  void *data;
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
static Ask *new_ask (BjPlatform *p, const char *name, BjPlatformDone done, void *data);
static void answer (Ask *a, BjStatus code, const Object *o);
static void wake_watchers (Store *s, const char *name);
static void on_timer (struct ev_loop *loop, ev_timer *w, int events);
static uint64_t read_version (BjStr text);
static Store *take_store (const char *url);
static void free_object (gpointer o);
static void free_ask (gpointer a);

static GHashTable *stores; // URL to Store*

static const BjPlatformOps memory_ops
    = { create, destroy, get, put, watch, forget, "config/current", NULL };

static BjPlatform *
create (struct ev_loop *loop, BjHttp *http, BjStr url)
{
  Memory *m = g_new0 (Memory, 1);

  (void)http;
  m->base.ops = &memory_ops;
  m->loop = loop;
  m->url = g_strndup (url.data, url.len);
  m->store = take_store (m->url);
  return &m->base;
}

static void
destroy (BjPlatform *p)
{
  Memory *m = (Memory *)p;
  Store *s = m->store;

  for (guint i = s->asks->len; i > 0; i--)
    if (((Ask *)s->asks->pdata[i - 1])->memory == m)
      g_ptr_array_remove_index_fast (s->asks, i - 1);
  if (--s->n_users == 0)
    {
      g_hash_table_remove (stores, m->url);
      g_hash_table_destroy (s->objects);
      g_ptr_array_free (s->asks, TRUE);
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

  answer (new_ask (p, name, done, data), o != NULL ? BJ_OK : BJ_E_NOT_FOUND, o);
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
  Ask *a = new_ask (p, name, done, data);

  if (version.len > 0 && o == NULL)
    answer (a, BJ_E_NOT_FOUND, NULL);
  else if ((version.len == 0 && o != NULL)
           || (version.len > 0 && read_version (version) != o->version))
    answer (a, BJ_E_CONFLICT, NULL);
  else
    {
      o = g_new0 (Object, 1);
      o->version = ++s->last_version;
      json_object_deep_copy (spec, &o->spec, NULL);
      g_hash_table_replace (s->objects, g_strdup (name), o);
      answer (a, BJ_OK, o);
      wake_watchers (s, name);
    }
}

static void
watch (BjPlatform *p, const char *name, BjStr version, BjPlatformDone done, void *data)
{
  const Object *o = g_hash_table_lookup (((Memory *)p)->store->objects, name);
  Ask *a = new_ask (p, name, done, data);

  a->since = read_version (version);
  if (o != NULL && o->version > a->since)
    {
      answer (a, BJ_OK, o);
      return;
    }
  a->is_watch = true;
  a->code = BJ_E_NOT_FOUND;
  ev_timer_set (&a->timer, BJ_WATCH_MS / 1000.0, 0);
  ev_timer_start (a->memory->loop, &a->timer);
}

static void
forget (BjPlatform *p, void *data)
{
  GPtrArray *asks = ((Memory *)p)->store->asks;

  for (guint i = asks->len; i > 0; i--)
    {
      const Ask *a = asks->pdata[i - 1];

      if (&a->memory->base == p && a->data == data)
        g_ptr_array_remove_index_fast (asks, i - 1);
    }
}

static Ask *
new_ask (BjPlatform *p, const char *name, BjPlatformDone done, void *data)
{
  Ask *a = g_new0 (Ask, 1);

  a->memory = (Memory *)p;
  a->name = g_strdup (name);
  a->done = done;
  a->data = data;
  ev_timer_init (&a->timer, on_timer, 0, 0);
  a->timer.data = a;
  g_ptr_array_add (a->memory->store->asks, a);
  return a;
}

// The answer is what holds now; it arrives in the next turn of the loop.
static void
answer (Ask *a, BjStatus code, const Object *o)
{
  a->is_watch = false;
  a->code = code;
  if (o != NULL)
    {
      a->version = o->version;
      a->spec = json_object_get (o->spec);
    }
  ev_timer_stop (a->memory->loop, &a->timer);
  ev_timer_set (&a->timer, 0, 0);
  ev_timer_start (a->memory->loop, &a->timer);
}

static void
wake_watchers (Store *s, const char *name)
{
  const Object *o = g_hash_table_lookup (s->objects, name);

  for (guint i = 0; i < s->asks->len; i++)
    {
      Ask *a = s->asks->pdata[i];

      if (a->is_watch && g_str_equal (a->name, name))
        answer (a, BJ_OK, o);
    }
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  Ask *a = w->data;
  char version[32];
  guint at;
  BjPlatformReply r = { .code = a->code, .spec = a->spec };

  (void)loop;
  (void)events;
  g_snprintf (version, sizeof version, "%" G_GUINT64_FORMAT, a->version);
  if (a->spec != NULL)
    r.version = bj_str (version);
  if (g_ptr_array_find (a->memory->store->asks, a, &at))
    g_ptr_array_steal_index_fast (a->memory->store->asks, at);
  a->done (a->data, &r);
  free_ask (a);
}

static uint64_t
read_version (BjStr text)
{
  int64_t version = 0;

  bj_str_int (text, &version);
  return (uint64_t)version;
}

static Store *
take_store (const char *url)
{
  Store *s;

  if (stores == NULL)
    stores = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s = g_hash_table_lookup (stores, url);
  if (s == NULL)
    {
      s = g_new0 (Store, 1);
      s->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_object);
      s->asks = g_ptr_array_new_with_free_func (free_ask);
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
free_ask (gpointer ask)
{
  Ask *a = ask;

  ev_timer_stop (a->memory->loop, &a->timer);
  json_object_put (a->spec);
  g_free (a->name);
  g_free (a);
}

BJ_PLUGIN (BJ_PLUGIN_PLATFORM, "memory", memory_ops)
