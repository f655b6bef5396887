// Fake store: versioned objects in memory, for tests of state machines that coordinate through the
// store.

#include "fakestore.h"
#include <string.h>

typedef struct
{
  BjStr spec;
  BjStr previous; // value before the last write, empty if none
  uint64_t version;
} Object;

typedef struct
{
  int writer; // -1 if no writer waits for the response
  uint64_t call;
  BjStoreCall request;
  bool is_response; // the request was processed, the response is queued
  BjStatus code;
  BjStr version; // owned
  BjStr spec;    // owned
} Message;

struct FakeStore
{
  GRand *rand;
  GHashTable *objects;  // char* to Object*
  GHashTable *snapshot; // objects of the snapshot, NULL if none
  uint64_t last_version;
  GPtrArray *messages;
  Message *last_response; // last response returned, freed by the next step
  FakeStoreFaults faults;
  void (*changed) (void *data, const char *name, BjStr before, BjStr after);
  void *data;
};

static void process_request (FakeStore *s, Message *m);
static void write_object (FakeStore *s, Message *m, Object *o);
static void read_object (FakeStore *s, Message *m, const Object *o);
static void fail_request (FakeStore *s, Message *m);
static Message *copy_call (int writer, uint64_t call, const BjStoreCall *c);
static bool fault_occurs (FakeStore *s, double share);
static GHashTable *new_table (void);
static GHashTable *copy_table (GHashTable *from);
static void free_object (gpointer o);
static void free_message (gpointer m);

FakeStore *
fake_store_new (uint32_t seed)
{
  FakeStore *s = g_new0 (FakeStore, 1);

  s->rand = g_rand_new_with_seed (seed);
  s->objects = new_table ();
  s->messages = g_ptr_array_new ();
  return s;
}

void
fake_store_free (FakeStore *s)
{
  for (guint i = 0; i < s->messages->len; i++)
    free_message (s->messages->pdata[i]);
  g_ptr_array_free (s->messages, TRUE);
  free_message (s->last_response);
  g_hash_table_destroy (s->objects);
  g_clear_pointer (&s->snapshot, g_hash_table_destroy);
  g_rand_free (s->rand);
  g_free (s);
}

void
fake_store_set_faults (FakeStore *s, FakeStoreFaults faults)
{
  s->faults = faults;
}

void
fake_store_on_change (FakeStore *s,
                      void (*changed) (void *data, const char *name, BjStr before, BjStr after),
                      void *data)
{
  s->changed = changed;
  s->data = data;
}

void
fake_store_send (FakeStore *s, int writer, uint64_t call, const BjStoreCall *c)
{
  g_ptr_array_add (s->messages, copy_call (writer, call, c));
}

bool
fake_store_step (FakeStore *s, FakeStoreAnswer *a)
{
  Message *m;

  g_clear_pointer (&s->last_response, free_message);
  if (s->messages->len == 0)
    return false;
  m = g_ptr_array_steal_index_fast (s->messages,
                                    (guint)g_rand_int_range (s->rand, 0, (gint32)s->messages->len));
  if (!m->is_response)
    {
      process_request (s, m);
      return false;
    }
  s->last_response = m;
  if (m->writer < 0)
    return false;
  *a = (FakeStoreAnswer){ m->writer, m->call, { m->code, m->version, m->spec } };
  return true;
}

bool
fake_store_is_idle (const FakeStore *s)
{
  return s->messages->len == 0;
}

void
fake_store_drop_writer (FakeStore *s, int writer)
{
  for (guint i = 0; i < s->messages->len; i++)
    {
      Message *m = s->messages->pdata[i];

      if (m->writer == writer)
        m->writer = -1;
    }
}

BjStr
fake_store_read (FakeStore *s, const char *name)
{
  const Object *o = g_hash_table_lookup (s->objects, name);

  return o != NULL ? o->spec : BJ_STR_NULL;
}

void
fake_store_snapshot (FakeStore *s)
{
  g_clear_pointer (&s->snapshot, g_hash_table_destroy);
  s->snapshot = copy_table (s->objects);
}

void
fake_store_restore (FakeStore *s)
{
  g_hash_table_destroy (s->objects);
  s->objects = copy_table (s->snapshot);
}

static void
process_request (FakeStore *s, Message *m)
{
  Object *o = g_hash_table_lookup (s->objects, m->request.name);

  if (fault_occurs (s, s->faults.late_effect))
    {
      fake_store_send (s, -1, 0, &m->request);
      fail_request (s, m);
      return;
    }
  if (fault_occurs (s, s->faults.lose_request))
    {
      fail_request (s, m);
      return;
    }
  m->code = BJ_OK;
  if (m->request.action == BJ_STORE_READ)
    read_object (s, m, o);
  else
    write_object (s, m, o);
  if (fault_occurs (s, s->faults.lose_answer))
    {
      fail_request (s, m);
      return;
    }
  m->is_response = true;
  g_ptr_array_add (s->messages, m);
}

static void
write_object (FakeStore *s, Message *m, Object *o)
{
  const BjStoreCall *c = &m->request;
  int64_t version = 0;

  bj_str_int (c->version, &version);
  if (c->action == BJ_STORE_CREATE && o != NULL)
    m->code = BJ_E_CONFLICT;
  else if (c->action == BJ_STORE_UPDATE && o == NULL)
    m->code = BJ_E_NOT_FOUND;
  else if (c->action == BJ_STORE_UPDATE && (uint64_t)version != o->version)
    m->code = BJ_E_CONFLICT;
  if (m->code != BJ_OK)
    return;
  if (o == NULL)
    {
      o = g_new0 (Object, 1);
      g_hash_table_insert (s->objects, g_strdup (c->name), o);
    }
  bj_str_free (&o->previous);
  o->previous = o->spec;
  o->spec = bj_str_dup (c->spec);
  o->version = ++s->last_version;
  if (s->changed != NULL)
    s->changed (s->data, c->name, o->previous, o->spec);
  read_object (s, m, o);
}

static void
read_object (FakeStore *s, Message *m, const Object *o)
{
  bool is_stale = m->request.action == BJ_STORE_READ && fault_occurs (s, s->faults.stale_read);
  BjStr spec = o != NULL ? (is_stale ? o->previous : o->spec) : BJ_STR_NULL;
  char text[32];

  if (spec.len == 0)
    {
      m->code = BJ_E_NOT_FOUND;
      return;
    }
  // A stale read returns a version below the current one, so an update based on it conflicts.
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, is_stale ? o->version - 1 : o->version);
  m->version = bj_str_dup (bj_str (text));
  m->spec = bj_str_dup (spec);
}

static void
fail_request (FakeStore *s, Message *m)
{
  bj_str_free (&m->version);
  bj_str_free (&m->spec);
  m->code = BJ_E_PLATFORM;
  m->is_response = true;
  g_ptr_array_add (s->messages, m);
}

static Message *
copy_call (int writer, uint64_t call, const BjStoreCall *c)
{
  Message *m = g_new0 (Message, 1);

  m->writer = writer;
  m->call = call;
  m->request = *c;
  m->request.version = bj_str_dup (c->version);
  m->request.spec = bj_str_dup (c->spec);
  return m;
}

// Returns true with the probability share.
static bool
fault_occurs (FakeStore *s, double share)
{
  return share > 0 && g_rand_double (s->rand) < share;
}

static GHashTable *
new_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_object);
}

static GHashTable *
copy_table (GHashTable *from)
{
  GHashTable *to = new_table ();
  GHashTableIter i;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&i, from);
  while (g_hash_table_iter_next (&i, &name, &value))
    {
      const Object *o = value;
      Object *copy = g_new0 (Object, 1);

      copy->spec = bj_str_dup (o->spec);
      copy->previous = bj_str_dup (o->previous);
      copy->version = o->version;
      g_hash_table_insert (to, g_strdup (name), copy);
    }
  return to;
}

static void
free_object (gpointer object)
{
  Object *o = object;

  bj_str_free (&o->spec);
  bj_str_free (&o->previous);
  g_free (o);
}

static void
free_message (gpointer message)
{
  Message *m = message;

  if (m == NULL)
    return;
  bj_str_free (&m->request.version);
  bj_str_free (&m->request.spec);
  bj_str_free (&m->version);
  bj_str_free (&m->spec);
  g_free (m);
}
