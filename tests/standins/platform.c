// bj-platform: stand-in for the platform's object API. One object a path under
// /apis/boragejunction/v1/, versions, conditional updates, watches as long polls. POST
// /control/<what>?value=N sets a fault: outage (0 or 1), delay_ms, lose_answers (next N writes take
// effect and get no answer; with &name=PREFIX only writes of such objects), stale (next N reads see
// the object's previous version), rate (calls a second, 0 for no limit), snapshot and restore (keep
// a copy of all objects, go back to it, versions included). GET /control/stats prints counts.

#include <arpa/inet.h>
#include <glib.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROOT "/apis/boragejunction/v1/"
#define VALUE_MAX (1024 * 1024)
#define POLL_MS 5

typedef struct
{
  char *name;
  int64_t version;
  char *spec;
  char *previous; // spec before the last write, NULL if none
} Object;

typedef struct
{
  struct MHD_Connection *conn;
  char *name;
  int64_t version;
  gint64 until_us; // when a watch or a delayed call goes on
  GString *body;
  gint64 restores; // when the watch began
  bool is_watch;
  bool is_held;
  bool is_delayed;
  bool is_read;
} Ask;

static GHashTable *objects;
static int64_t last_version;
static GHashTable *kept; // objects of the snapshot
static int64_t kept_version;
static gint64 n_restores; // a watch that was begun before one ends with 410
static GList *held;       // Ask* suspended
static gint64 outage;
static gint64 delay_ms;
static gint64 lose_answers;
static char *lose_name; // prefix of the objects that lose_answers counts
static gint64 stale;
static gint64 rate;
static double tokens;
static gint64 tokens_at_us;
static gint64 n_reads, n_writes, n_watches, n_refused;
static volatile sig_atomic_t stopping;

static enum MHD_Result on_request (void *cls,
                                   struct MHD_Connection *conn,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *data,
                                   size_t *size,
                                   void **ask);
static void on_completed (void *cls,
                          struct MHD_Connection *conn,
                          void **ask,
                          enum MHD_RequestTerminationCode code);
static enum MHD_Result handle (Ask *a, const char *url, const char *method);
static enum MHD_Result handle_control (Ask *a, const char *what);
static enum MHD_Result handle_read (Ask *a);
static enum MHD_Result handle_write (Ask *a, bool is_create);
static enum MHD_Result reply (Ask *a, int status, const char *text);
static enum MHD_Result reply_object (Ask *a, int status, const Object *o);
static void hold (Ask *a, gint64 until_us);
static void release_due (void);
static GHashTable *copy_objects (GHashTable *from);
static void snapshot (void);
static void restore (void);
static bool lose_answer (const Object *o);
static int64_t count_watches (void);
static bool take_token (void);
static const char *argument (Ask *a, const char *name);
static void on_signal (int signal_number);

int
main (int argc, char **argv)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  struct MHD_Daemon *d;

  if (argc != 3 || inet_pton (AF_INET, argv[1], &addr.sin_addr) != 1)
    {
      fprintf (stderr, "Usage: bj-platform IP PORT\n");
      return 2;
    }
  addr.sin_port = htons ((uint16_t)atoi (argv[2]));
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  objects = g_hash_table_new (g_str_hash, g_str_equal);
  d = MHD_start_daemon (MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                        0,
                        NULL,
                        NULL,
                        on_request,
                        NULL,
                        MHD_OPTION_SOCK_ADDR,
                        &addr,
                        MHD_OPTION_NOTIFY_COMPLETED,
                        on_completed,
                        NULL,
                        MHD_OPTION_LISTENING_ADDRESS_REUSE,
                        1U,
                        MHD_OPTION_CONNECTION_LIMIT,
                        4096U,
                        MHD_OPTION_END);
  if (d == NULL)
    {
      fprintf (stderr, "bj-platform: %s:%s can't be opened.\n", argv[1], argv[2]);
      return 1;
    }
  while (!stopping)
    {
      MHD_run_wait (d, POLL_MS);
      release_due ();
    }
  for (GList *l = held; l != NULL; l = l->next)
    MHD_resume_connection (((Ask *)l->data)->conn);
  MHD_stop_daemon (d);
  return 0;
}

static enum MHD_Result
on_request (void *cls,
            struct MHD_Connection *conn,
            const char *url,
            const char *method,
            const char *version,
            const char *data,
            size_t *size,
            void **ask)
{
  Ask *a = *ask;

  (void)cls;
  (void)version;
  if (a == NULL)
    {
      a = g_new0 (Ask, 1);
      a->conn = conn;
      a->body = g_string_new (NULL);
      *ask = a;
      return MHD_YES;
    }
  if (*size > 0)
    {
      if (a->body->len + *size <= VALUE_MAX)
        g_string_append_len (a->body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  return handle (a, url, method);
}

static void
on_completed (void *cls,
              struct MHD_Connection *conn,
              void **ask,
              enum MHD_RequestTerminationCode code)
{
  Ask *a = *ask;

  (void)cls;
  (void)conn;
  (void)code;
  if (a == NULL)
    return;
  held = g_list_remove (held, a);
  g_free (a->name);
  g_string_free (a->body, TRUE);
  g_free (a);
}

static enum MHD_Result
handle (Ask *a, const char *url, const char *method)
{
  if (g_str_has_prefix (url, "/control/"))
    return handle_control (a, url + strlen ("/control/"));
  if (!g_str_has_prefix (url, ROOT))
    return reply (a, 404, "{}");
  if (outage)
    return MHD_NO;
  if (delay_ms > 0 && !a->is_delayed)
    {
      a->is_delayed = true;
      hold (a, g_get_monotonic_time () + delay_ms * 1000);
      return MHD_YES;
    }
  if (a->name == NULL)
    {
      a->name = g_strdup (url + strlen (ROOT));
      if (!take_token ())
        {
          n_refused++;
          return reply (a, 429, "{}");
        }
    }
  if (strcmp (method, "GET") == 0)
    return handle_read (a);
  return handle_write (a, strcmp (method, "POST") == 0);
}

static enum MHD_Result
handle_control (Ask *a, const char *what)
{
  struct
  {
    const char *name;
    gint64 *value;
  } all[] = { { "outage", &outage },
              { "delay_ms", &delay_ms },
              { "lose_answers", &lose_answers },
              { "stale", &stale },
              { "rate", &rate } };
  const char *value = argument (a, "value");
  char *text;
  enum MHD_Result r;

  for (size_t i = 0; i < G_N_ELEMENTS (all) && value != NULL; i++)
    if (strcmp (what, all[i].name) == 0)
      {
        *all[i].value = g_ascii_strtoll (value, NULL, 10);
        if (all[i].value == &lose_answers)
          {
            g_free (lose_name);
            lose_name = g_strdup (argument (a, "name"));
          }
        return reply (a, 200, "{}");
      }
  if (strcmp (what, "snapshot") == 0 || (strcmp (what, "restore") == 0 && kept != NULL))
    {
      (*what == 's' ? snapshot : restore) ();
      return reply (a, 200, "{}");
    }
  if (strcmp (what, "stats") != 0)
    return reply (a, 404, "{}");
  text = g_strdup_printf ("{\"reads\":%" G_GINT64_FORMAT ",\"writes\":%" G_GINT64_FORMAT
                          ",\"watches\":%" G_GINT64_FORMAT ",\"refused\":%" G_GINT64_FORMAT
                          ",\"waiting\":%" G_GINT64_FORMAT "}\n",
                          n_reads,
                          n_writes,
                          n_watches,
                          n_refused,
                          count_watches ());
  r = reply (a, 200, text);
  g_free (text);
  return r;
}

static enum MHD_Result
handle_read (Ask *a)
{
  const char *watch = argument (a, "watch");
  const char *since = argument (a, "resourceVersion");
  const char *timeout = argument (a, "timeoutMilliseconds");
  Object *o = g_hash_table_lookup (objects, a->name);
  gint64 now = g_get_monotonic_time ();

  if (watch == NULL)
    {
      n_reads++;
      if (o != NULL && stale > 0 && o->previous != NULL)
        {
          Object old = { o->name, o->version - 1, o->previous, NULL };

          stale--;
          return reply_object (a, 200, &old);
        }
      return o != NULL ? reply_object (a, 200, o) : reply (a, 404, "{}");
    }
  if (!a->is_watch)
    {
      n_watches++;
      a->is_watch = true;
      a->restores = n_restores;
      a->version = since != NULL ? g_ascii_strtoll (since, NULL, 10) : 0;
      a->until_us = now + (timeout != NULL ? g_ascii_strtoll (timeout, NULL, 10) : 10000) * 1000;
    }
  // A version from the future is one this store has never given out: it was restored from a copy.
  if (a->version > last_version || a->restores != n_restores)
    return reply (a, 410, "{}");
  if (o != NULL && o->version > a->version)
    return reply_object (a, 200, o);
  if (now >= a->until_us)
    return reply (a, 304, "");
  hold (a, a->until_us);
  return MHD_YES;
}

static enum MHD_Result
handle_write (Ask *a, bool is_create)
{
  struct json_object *o = json_tokener_parse (a->body->str);
  struct json_object *meta = NULL;
  struct json_object *spec = NULL;
  struct json_object *version = NULL;
  Object *old = g_hash_table_lookup (objects, a->name);
  enum MHD_Result r;

  n_writes++;
  json_object_object_get_ex (o, "metadata", &meta);
  json_object_object_get_ex (meta, "resourceVersion", &version);
  if (!json_object_object_get_ex (o, "spec", &spec))
    r = reply (a, 400, "{}");
  else if (is_create && old != NULL)
    r = reply (a, 409, "{}");
  else if (!is_create && old == NULL)
    r = reply (a, 404, "{}");
  else if (!is_create && json_object_get_int64 (version) != old->version)
    r = reply (a, 409, "{}");
  else
    {
      if (old == NULL)
        {
          old = g_new0 (Object, 1);
          old->name = g_strdup (a->name);
          g_hash_table_insert (objects, old->name, old);
        }
      g_free (old->previous);
      old->previous = old->spec;
      old->spec = g_strdup (json_object_to_json_string_ext (spec, JSON_C_TO_STRING_PLAIN));
      old->version = ++last_version;
      r = lose_answer (old) ? MHD_NO : reply_object (a, is_create ? 201 : 200, old);
    }
  json_object_put (o);
  return r;
}

static enum MHD_Result
reply (Ask *a, int status, const char *text)
{
  struct MHD_Response *r
      = MHD_create_response_from_buffer (strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  MHD_add_response_header (r, "Content-Type", "application/json");
  result = MHD_queue_response (a->conn, (unsigned int)status, r);
  MHD_destroy_response (r);
  return result;
}

static enum MHD_Result
reply_object (Ask *a, int status, const Object *o)
{
  char *text = g_strdup_printf (
      "{\"metadata\":{\"name\":\"%s\",\"resourceVersion\":\"%" G_GINT64_FORMAT "\"},\"spec\":%s}\n",
      o->name,
      o->version,
      o->spec);
  enum MHD_Result r = reply (a, status, text);

  g_free (text);
  return r;
}

static void
hold (Ask *a, gint64 until_us)
{
  a->is_held = true;
  a->until_us = until_us;
  held = g_list_prepend (held, a);
  MHD_suspend_connection (a->conn);
}

static void
release_due (void)
{
  gint64 now = g_get_monotonic_time ();
  GList *next;

  for (GList *l = held; l != NULL; l = next)
    {
      Ask *a = l->data;
      const Object *o = a->name != NULL ? g_hash_table_lookup (objects, a->name) : NULL;

      next = l->next;
      if (now < a->until_us && !outage && !(a->is_watch && a->restores != n_restores)
          && !(a->is_watch && o != NULL && o->version > a->version))
        continue;
      held = g_list_delete_link (held, l);
      a->is_held = false;
      MHD_resume_connection (a->conn);
    }
}

static GHashTable *
copy_objects (GHashTable *from)
{
  GHashTable *to = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, from);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const Object *o = value;
      Object *copy = g_new0 (Object, 1);

      copy->name = g_strdup (o->name);
      copy->version = o->version;
      copy->spec = g_strdup (o->spec);
      g_hash_table_insert (to, copy->name, copy);
    }
  return to;
}

static void
snapshot (void)
{
  kept = copy_objects (objects);
  kept_version = last_version;
}

static void
restore (void)
{
  objects = copy_objects (kept);
  last_version = kept_version;
  n_restores++;
}

static bool
lose_answer (const Object *o)
{
  if (lose_answers <= 0 || (lose_name != NULL && !g_str_has_prefix (o->name, lose_name)))
    return false;
  lose_answers--;
  return true;
}

static int64_t
count_watches (void)
{
  int64_t n = 0;

  for (GList *l = held; l != NULL; l = l->next)
    n += ((Ask *)l->data)->is_watch;
  return n;
}

static bool
take_token (void)
{
  gint64 now = g_get_monotonic_time ();

  if (rate <= 0)
    return true;
  tokens = MIN ((double)rate, tokens + (double)(now - tokens_at_us) / 1e6 * (double)rate);
  tokens_at_us = now;
  if (tokens < 1)
    return false;
  tokens -= 1;
  return true;
}

static const char *
argument (Ask *a, const char *name)
{
  return MHD_lookup_connection_value (a->conn, MHD_GET_ARGUMENT_KIND, name);
}

static void
on_signal (int signal_number)
{
  (void)signal_number;
  stopping = 1;
}
