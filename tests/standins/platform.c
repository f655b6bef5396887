// bj-platform: stand-in for the platform's object API. Each path under /apis/boragejunction/v1/ is
// one versioned object with conditional updates and watches as long polls, also under
// /as/CALLER/apis/..., where CALLER names who asks. GET /control/stats
// prints counters. POST /control/NAME?value=N sets a fault:
//
//   outage        1 closes every connection without a response, 0 ends the outage
//   delay_ms      delays every response by N ms
//   lose_answers  the next N writes take effect but get no response; with &name=PREFIX this applies
//                 only to writes of objects whose name starts with PREFIX
//   stale         the next N reads return the previous version of the object
//   reject     with &name=CALLER: what requests under /as/CALLER get, 0 the object, 1 status
//   503,
//                 2 status 429, 3 a closed connection, 4 no response
//   rate          limits requests to N per second, 0 for no limit
//   snapshot      copies all objects
//   restore       restores the copied objects and their versions; open watches end with status 410

#include <arpa/inet.h>
#include <glib.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROOT_PATH "/apis/boragejunction/v1/"
#define CALLER_PATH "/as/"
#define BODY_BYTES_MAX (1024 * 1024) // parts of a request body beyond it are dropped
#define POLL_MS 5

typedef struct
{
  char *name;
  int64_t version;
  char *spec;
  char *previous; // spec before the last write, NULL if none
} Object;

typedef enum
{
  SERVED,
  BUSY,
  LIMITED,
  CLOSED,
  UNANSWERED,
} Treatment;

typedef struct
{
  struct MHD_Connection *conn;
  char *name;
  int64_t version;    // a watch ends when the object has a higher version
  gint64 deadline_us; // monotonic time at which a watch times out or a delay ends
  GString *body;
  gint64 restores_at_start; // n_restores when the watch started
  char *caller;             // in the path, NULL if it names none
  bool is_unanswered;
  bool is_watch;
  bool is_suspended;
  bool is_delayed;
  bool is_read_request;
} Request;

static GHashTable *objects;
static int64_t last_version;
static GHashTable *snapshot_objects; // objects of the snapshot
static int64_t snapshot_version;
static gint64 n_restores;    // restores so far
static GList *suspended;     // Request*
static GHashTable *rejected; // char* name of a caller to Treatment
static gint64 outage;        // not 0 while object requests get no response
static gint64 delay_ms;
static gint64 lose_answers;       // number of further writes without a response
static char *lose_answers_prefix; // lose_answers applies to names with this prefix; NULL: all
static gint64 stale_reads;        // number of further reads that return the previous version
static gint64 rate_per_s;         // requests per second, 0 for no limit
static double tokens;             // content of the token bucket, one per request admitted
static gint64 tokens_updated_us;
static gint64 n_reads, n_writes, n_watches, n_refused;
static volatile sig_atomic_t stopping;

static enum MHD_Result on_request (void *cls,
                                   struct MHD_Connection *conn,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *data,
                                   size_t *size,
                                   void **request);
static void on_completed (void *cls,
                          struct MHD_Connection *conn,
                          void **request,
                          enum MHD_RequestTerminationCode code);
static enum MHD_Result handle_request (Request *q, const char *url, const char *method);
static const char *read_caller (Request *q, const char *url);
static Treatment treatment_of (const Request *q);
static enum MHD_Result handle_control (Request *q, const char *what);
static enum MHD_Result handle_read (Request *q);
static enum MHD_Result handle_write (Request *q, bool is_create);
static enum MHD_Result reply (Request *q, int status, const char *text);
static enum MHD_Result reply_object (Request *q, int status, const Object *o);
static void suspend_request (Request *q, gint64 deadline_us);
static void resume_due_requests (void);
static GHashTable *copy_objects (GHashTable *from);
static void take_snapshot (void);
static void restore_snapshot (void);
static bool must_lose_answer (const Object *o);
static int64_t count_watches (void);
static bool take_token (void);
static const char *query_argument (Request *q, const char *name);
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
  rejected = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
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
      fprintf (stderr, "bj-platform: cannot listen on %s:%s.\n", argv[1], argv[2]);
      return 1;
    }
  while (!stopping)
    {
      MHD_run_wait (d, POLL_MS);
      resume_due_requests ();
    }
  for (GList *l = suspended; l != NULL; l = l->next)
    MHD_resume_connection (((Request *)l->data)->conn);
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
            void **request)
{
  Request *q = *request;

  (void)cls;
  (void)version;
  if (q == NULL)
    {
      q = g_new0 (Request, 1);
      q->conn = conn;
      q->body = g_string_new (NULL);
      *request = q;
      return MHD_YES;
    }
  if (*size > 0)
    {
      if (q->body->len + *size <= BODY_BYTES_MAX)
        g_string_append_len (q->body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  return handle_request (q, url, method);
}

static void
on_completed (void *cls,
              struct MHD_Connection *conn,
              void **request,
              enum MHD_RequestTerminationCode code)
{
  Request *q = *request;

  (void)cls;
  (void)conn;
  (void)code;
  if (q == NULL)
    return;
  suspended = g_list_remove (suspended, q);
  g_free (q->caller);
  g_free (q->name);
  g_string_free (q->body, TRUE);
  g_free (q);
}

static enum MHD_Result
handle_request (Request *q, const char *url, const char *method)
{
  if (g_str_has_prefix (url, "/control/"))
    return handle_control (q, url + strlen ("/control/"));
  url = read_caller (q, url);
  if (!g_str_has_prefix (url, ROOT_PATH))
    return reply (q, 404, "{}");
  if (outage)
    return MHD_NO;
  switch (treatment_of (q))
    {
    case SERVED:
      break;
    case BUSY:
      return reply (q, 503, "{}");
    case LIMITED:
      return reply (q, 429, "{}");
    case CLOSED:
      return MHD_NO;
    case UNANSWERED:
      q->is_unanswered = true;
      suspend_request (q, G_MAXINT64);
      return MHD_YES;
    }
  if (delay_ms > 0 && !q->is_delayed)
    {
      q->is_delayed = true;
      suspend_request (q, g_get_monotonic_time () + delay_ms * 1000);
      return MHD_YES;
    }
  if (q->name == NULL)
    {
      q->name = g_strdup (url + strlen (ROOT_PATH));
      if (!take_token ())
        {
          n_refused++;
          return reply (q, 429, "{}");
        }
    }
  if (strcmp (method, "GET") == 0)
    return handle_read (q);
  return handle_write (q, strcmp (method, "POST") == 0);
}

// Returns the path without the name of the caller.
static const char *
read_caller (Request *q, const char *url)
{
  const char *rest
      = g_str_has_prefix (url, CALLER_PATH) ? strchr (url + strlen (CALLER_PATH), '/') : NULL;

  if (rest == NULL)
    return url;
  if (q->caller == NULL)
    q->caller = g_strndup (url + strlen (CALLER_PATH), (gsize)(rest - url) - strlen (CALLER_PATH));
  return rest;
}

static Treatment
treatment_of (const Request *q)
{
  return q->caller != NULL ? GPOINTER_TO_INT (g_hash_table_lookup (rejected, q->caller)) : SERVED;
}

static enum MHD_Result
handle_control (Request *q, const char *what)
{
  struct
  {
    const char *name;
    gint64 *value;
  } controls[] = { { "outage", &outage },
                   { "delay_ms", &delay_ms },
                   { "lose_answers", &lose_answers },
                   { "stale", &stale_reads },
                   { "rate", &rate_per_s } };
  const char *value = query_argument (q, "value");
  char *text;
  enum MHD_Result r;

  for (size_t i = 0; i < G_N_ELEMENTS (controls) && value != NULL; i++)
    if (strcmp (what, controls[i].name) == 0)
      {
        *controls[i].value = g_ascii_strtoll (value, NULL, 10);
        if (controls[i].value == &lose_answers)
          {
            g_free (lose_answers_prefix);
            lose_answers_prefix = g_strdup (query_argument (q, "name"));
          }
        return reply (q, 200, "{}");
      }
  if (strcmp (what, "reject") == 0 && value != NULL && query_argument (q, "name") != NULL)
    {
      g_hash_table_replace (rejected,
                            g_strdup (query_argument (q, "name")),
                            GINT_TO_POINTER ((int)g_ascii_strtoll (value, NULL, 10)));
      return reply (q, 200, "{}");
    }
  if (strcmp (what, "snapshot") == 0 || (strcmp (what, "restore") == 0 && snapshot_objects != NULL))
    {
      (*what == 's' ? take_snapshot : restore_snapshot) ();
      return reply (q, 200, "{}");
    }
  if (strcmp (what, "stats") != 0)
    return reply (q, 404, "{}");
  text = g_strdup_printf ("{\"reads\":%" G_GINT64_FORMAT ",\"writes\":%" G_GINT64_FORMAT
                          ",\"watches\":%" G_GINT64_FORMAT ",\"refused\":%" G_GINT64_FORMAT
                          ",\"waiting\":%" G_GINT64_FORMAT "}\n",
                          n_reads,
                          n_writes,
                          n_watches,
                          n_refused,
                          count_watches ());
  r = reply (q, 200, text);
  g_free (text);
  return r;
}

static enum MHD_Result
handle_read (Request *q)
{
  const char *watch = query_argument (q, "watch");
  const char *since = query_argument (q, "resourceVersion");
  const char *timeout = query_argument (q, "timeoutMilliseconds");
  Object *o = g_hash_table_lookup (objects, q->name);
  gint64 now = g_get_monotonic_time ();

  if (watch == NULL)
    {
      n_reads++;
      if (o != NULL && stale_reads > 0 && o->previous != NULL)
        {
          Object old = { o->name, o->version - 1, o->previous, NULL };

          stale_reads--;
          return reply_object (q, 200, &old);
        }
      return o != NULL ? reply_object (q, 200, o) : reply (q, 404, "{}");
    }
  if (!q->is_watch)
    {
      n_watches++;
      q->is_watch = true;
      q->restores_at_start = n_restores;
      q->version = since != NULL ? g_ascii_strtoll (since, NULL, 10) : 0;
      q->deadline_us = now + (timeout != NULL ? g_ascii_strtoll (timeout, NULL, 10) : 10000) * 1000;
    }
  // A version above last_version was issued before a restore, which sets last_version back.
  if (q->version > last_version || q->restores_at_start != n_restores)
    return reply (q, 410, "{}");
  if (o != NULL && o->version > q->version)
    return reply_object (q, 200, o);
  if (now >= q->deadline_us)
    return reply (q, 304, "");
  suspend_request (q, q->deadline_us);
  return MHD_YES;
}

static enum MHD_Result
handle_write (Request *q, bool is_create)
{
  struct json_object *o = json_tokener_parse (q->body->str);
  struct json_object *meta = NULL;
  struct json_object *spec = NULL;
  struct json_object *version = NULL;
  Object *old = g_hash_table_lookup (objects, q->name);
  enum MHD_Result r;

  n_writes++;
  json_object_object_get_ex (o, "metadata", &meta);
  json_object_object_get_ex (meta, "resourceVersion", &version);
  if (!json_object_object_get_ex (o, "spec", &spec))
    r = reply (q, 400, "{}");
  else if (is_create && old != NULL)
    r = reply (q, 409, "{}");
  else if (!is_create && old == NULL)
    r = reply (q, 404, "{}");
  else if (!is_create && json_object_get_int64 (version) != old->version)
    r = reply (q, 409, "{}");
  else
    {
      if (old == NULL)
        {
          old = g_new0 (Object, 1);
          old->name = g_strdup (q->name);
          g_hash_table_insert (objects, old->name, old);
        }
      g_free (old->previous);
      old->previous = old->spec;
      old->spec = g_strdup (json_object_to_json_string_ext (spec, JSON_C_TO_STRING_PLAIN));
      old->version = ++last_version;
      r = must_lose_answer (old) ? MHD_NO : reply_object (q, is_create ? 201 : 200, old);
    }
  json_object_put (o);
  return r;
}

static enum MHD_Result
reply (Request *q, int status, const char *text)
{
  struct MHD_Response *r
      = MHD_create_response_from_buffer (strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  MHD_add_response_header (r, "Content-Type", "application/json");
  result = MHD_queue_response (q->conn, (unsigned int)status, r);
  MHD_destroy_response (r);
  return result;
}

static enum MHD_Result
reply_object (Request *q, int status, const Object *o)
{
  char *text = g_strdup_printf (
      "{\"metadata\":{\"name\":\"%s\",\"resourceVersion\":\"%" G_GINT64_FORMAT "\"},\"spec\":%s}\n",
      o->name,
      o->version,
      o->spec);
  enum MHD_Result r = reply (q, status, text);

  g_free (text);
  return r;
}

static void
suspend_request (Request *q, gint64 deadline_us)
{
  q->is_suspended = true;
  q->deadline_us = deadline_us;
  suspended = g_list_prepend (suspended, q);
  MHD_suspend_connection (q->conn);
}

static void
resume_due_requests (void)
{
  gint64 now = g_get_monotonic_time ();
  GList *next;

  for (GList *l = suspended; l != NULL; l = next)
    {
      Request *q = l->data;
      const Object *o = q->name != NULL ? g_hash_table_lookup (objects, q->name) : NULL;

      next = l->next;
      // A request without a response stays so, also when its caller is served again.
      if (q->is_unanswered)
        continue;
      if (treatment_of (q) == SERVED && now < q->deadline_us && !outage
          && !(q->is_watch && q->restores_at_start != n_restores)
          && !(q->is_watch && o != NULL && o->version > q->version))
        continue;
      suspended = g_list_delete_link (suspended, l);
      q->is_suspended = false;
      MHD_resume_connection (q->conn);
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
take_snapshot (void)
{
  snapshot_objects = copy_objects (objects);
  snapshot_version = last_version;
}

static void
restore_snapshot (void)
{
  objects = copy_objects (snapshot_objects);
  last_version = snapshot_version;
  n_restores++;
}

static bool
must_lose_answer (const Object *o)
{
  if (lose_answers <= 0
      || (lose_answers_prefix != NULL && !g_str_has_prefix (o->name, lose_answers_prefix)))
    return false;
  lose_answers--;
  return true;
}

static int64_t
count_watches (void)
{
  int64_t n = 0;

  for (GList *l = suspended; l != NULL; l = l->next)
    n += ((Request *)l->data)->is_watch;
  return n;
}

static bool
take_token (void)
{
  gint64 now = g_get_monotonic_time ();

  if (rate_per_s <= 0)
    return true;
  tokens = MIN ((double)rate_per_s,
                tokens + (double)(now - tokens_updated_us) / 1e6 * (double)rate_per_s);
  tokens_updated_us = now;
  if (tokens < 1)
    return false;
  tokens -= 1;
  return true;
}

static const char *
query_argument (Request *q, const char *name)
{
  return MHD_lookup_connection_value (q->conn, MHD_GET_ARGUMENT_KIND, name);
}

static void
on_signal (int signal_number)
{
  (void)signal_number;
  stopping = 1;
}
