// Stand-ins for the platform's store and the back ends, by the published protocol. A back end
// announces itself every STANDIN_HEARTBEAT_S and reads with a small window.

#include "standins.h"
#include <json-c/json.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define OBJECTS_MAX 64
#define BODY_MAX 65536
#define STORE_TIMEOUT_S 60
#define BACKEND_TIMEOUT_S 60 // an idle connection of a back end is closed after this
#define BACKEND_WINDOW 32768 // receive buffer of a connection, bytes
#define WATCH_POLL_S 0.01

typedef struct
{
  char path[RIG_TEXT_MAX]; // "kind/name"
  char *spec;
  long revision;
} Object;

typedef struct
{
  int node; // -1 for the store
  int fd;
} Accepted;

typedef struct
{
  int node;
  int fd;
  void *(*serve) (void *);
} Listener;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static Object objects[OBJECTS_MAX];
static int n_objects;
static long last_revision = 100;
static RigHandler backend_handler;

static void *
accept_all (void *data)
{
  const Listener *l = data;

  for (;;)
    {
      Accepted *a = calloc (1, sizeof *a);

      a->node = l->node;
      a->fd = accept4 (l->fd, NULL, NULL, SOCK_CLOEXEC);
      if (a->fd >= 0)
        rig_thread (l->serve, a);
      else
        free (a);
    }
  return NULL;
}

static void
listen_for (int node, int fd, void *(*serve) (void *))
{
  Listener *l = calloc (1, sizeof *l);

  *l = (Listener){ node, fd, serve };
  rig_thread (accept_all, l);
}

static Object *
find_object (const char *path)
{
  for (int i = 0; i < n_objects; i++)
    if (strcmp (objects[i].path, path) == 0)
      return &objects[i];
  return NULL;
}

static Object *
put_object (const char *path, const char *spec)
{
  Object *o = find_object (path);

  if (o == NULL)
    {
      if (n_objects == OBJECTS_MAX)
        rig_give_up ("the store is full");
      o = &objects[n_objects++];
      snprintf (o->path, sizeof o->path, "%s", path);
    }
  free (o->spec);
  o->spec = strdup (spec);
  o->revision = ++last_revision;
  return o;
}

static size_t
format_object (const Object *o, char *out, size_t size)
{
  return (size_t)snprintf (out,
                           size,
                           "{\"metadata\":{\"name\":\"%s\",\"revision\":%ld,\"created\":1,"
                           "\"finalizers\":[],\"terminating\":false},\"spec\":%s,\"status\":null}",
                           strchr (o->path, '/') + 1,
                           o->revision,
                           o->spec);
}

// Lists the objects of a kind that changed after a revision. Returns how many there are.
static int
format_list (const char *kind, long after, bool as_events, char *out, size_t size)
{
  size_t at = (size_t)snprintf (out, size, "{\"%s\":[", as_events ? "events" : "items");
  size_t n = strlen (kind);
  int found = 0;

  for (int i = 0; i < n_objects; i++)
    {
      const Object *o = &objects[i];

      if (strncmp (o->path, kind, n) != 0 || o->path[n] != '/' || o->revision <= after)
        continue;
      at += (size_t)snprintf (out + at,
                              size - at,
                              "%s%s",
                              found++ > 0 ? "," : "",
                              as_events ? "{\"deleted\":false,\"object\":" : "");
      at += format_object (o, out + at, size - at);
      at += (size_t)snprintf (out + at, size - at, "%s", as_events ? "}" : "");
    }
  snprintf (out + at, size - at, "],\"hasMore\":false,\"storeRevision\":%ld}", last_revision);
  return found;
}

static int
watch (const char *kind, long after, double wait_s, char *out, size_t size)
{
  double until = rig_now () + wait_s;
  int n;

  for (;;)
    {
      pthread_mutex_lock (&lock);
      n = format_list (kind, after, true, out, size);
      pthread_mutex_unlock (&lock);
      if (n > 0 || rig_now () >= until)
        return 200;
      rig_sleep (WATCH_POLL_S);
    }
}

static int
read_objects (char *path, char *out, size_t size)
{
  char *query = strchr (path, '?');
  const char *after = query != NULL ? strstr (query, "watch=") : NULL;
  const char *wait = query != NULL ? strstr (query, "waitMs=") : NULL;
  const Object *o;
  int status = 200;

  if (query != NULL)
    *query++ = '\0';
  if (after != NULL)
    return watch (path,
                  strtol (after + strlen ("watch="), NULL, 10),
                  wait != NULL ? strtod (wait + strlen ("waitMs="), NULL) / 1000 : 1,
                  out,
                  size);
  pthread_mutex_lock (&lock);
  o = find_object (path);
  if (strchr (path, '/') == NULL)
    format_list (path, 0, false, out, size);
  else if (o != NULL)
    format_object (o, out, size);
  else
    status = 404;
  pthread_mutex_unlock (&lock);
  return status;
}

static int
write_object (const char *method, const char *path, const char *body, char *out, size_t size)
{
  struct json_object *o = json_tokener_parse (body);
  struct json_object *meta = json_object_object_get (o, "metadata");
  struct json_object *revision = json_object_object_get (meta, "revision");
  const char *spec = json_object_to_json_string (json_object_object_get (o, "spec"));
  bool is_create = strcmp (method, "POST") == 0;
  char name[RIG_TEXT_MAX];
  Object *old;
  int status = is_create ? 201 : 200;

  if (is_create)
    snprintf (name,
              sizeof name,
              "%s/%s",
              path,
              json_object_get_string (json_object_object_get (meta, "name")));
  else
    snprintf (name, sizeof name, "%s", path);
  pthread_mutex_lock (&lock);
  old = find_object (name);
  if (!is_create && old == NULL)
    status = 404;
  else if (old != NULL
           && (is_create
               || (revision != NULL && json_object_get_int64 (revision) != old->revision)))
    status = 409;
  else
    old = put_object (name, spec);
  if (old != NULL)
    format_object (old, out, size);
  pthread_mutex_unlock (&lock);
  json_object_put (o);
  return status;
}

static void *
serve_store (void *data)
{
  Accepted *a = data;
  RigStream *s = calloc (1, sizeof *s);
  char *out = malloc (BODY_MAX);
  char *body = malloc (BODY_MAX);
  RigHead h;

  s->fd = a->fd;
  standin_set_timeouts (s->fd, STORE_TIMEOUT_S);
  while (rig_read_head (s, &h))
    {
      size_t n = h.length > 0 && h.length < BODY_MAX ? (size_t)h.length : 0;
      char *path = h.path + strlen ("/objects/");
      int status;

      strcpy (out, "{}");
      while (s->n < n)
        {
          ssize_t got = recv (s->fd, s->buffer + s->n, n - s->n, 0);

          if (got <= 0)
            break;
          s->n += (size_t)got;
        }
      snprintf (body, BODY_MAX, "%.*s", (int)n, s->buffer);
      if (rig_read_body (s, n) != n)
        break;
      status = strcmp (h.method, "GET") == 0 ? read_objects (path, out, BODY_MAX)
                                             : write_object (h.method, path, body, out, BODY_MAX);
      if (!rig_printf (s->fd,
                       "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: "
                       "%zu\r\n\r\n%s",
                       status,
                       strlen (out),
                       out))
        break;
    }
  close (s->fd);
  free (out);
  free (body);
  free (s);
  free (a);
  return NULL;
}

int
standin_start_store (const char *routes)
{
  static char spec[BODY_MAX];
  size_t at = (size_t)snprintf (spec,
                                sizeof spec,
                                "{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\","
                                "\"pathPrefix\",\"kind\",\"timeoutS\",\"objectiveS\",\"priority\","
                                "\"service\",\"maxAttempts\",\"weightedServices\"],\"rows\":[%s]},"
                                "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConns\"],"
                                "\"rows\":[",
                                routes);
  int port = 0;
  int fd = standin_listen ("127.0.0.1", &port);

  for (int i = 0; i < rig_n_nodes; i++)
    {
      bool is_known = false;

      for (int k = 0; k < i; k++)
        is_known = is_known || strcmp (rig_nodes[k].service, rig_nodes[i].service) == 0;
      if (!is_known)
        at += (size_t)snprintf (spec + at,
                                sizeof spec - at,
                                "%s[\"%s\",\"/healthz\",994]",
                                i > 0 ? "," : "",
                                rig_nodes[i].service);
    }
  snprintf (spec + at,
            sizeof spec - at,
            "]},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}");
  put_object ("config/main", spec);
  listen_for (-1, fd, serve_store);
  return port;
}

static void *
serve_backend (void *data)
{
  Accepted *a = data;
  RigStream *s = calloc (1, sizeof *s);
  RigHead h;

  s->fd = a->fd;
  standin_set_timeouts (s->fd, BACKEND_TIMEOUT_S);
  while (rig_read_head (s, &h))
    if (!backend_handler (a->node, s, &h))
      break;
  close (s->fd);
  free (s);
  free (a);
  return NULL;
}

static void
announce (int node, long sequence)
{
  const RigNode *n = &rig_nodes[node];
  RigStream *s = calloc (1, sizeof *s);
  char body[512];
  RigHead h;

  snprintf (body,
            sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\","
            "\"slots\":%d,\"state\":\"ready\",\"coldS_time\":0,\"sequence\":%ld,\"born\":%ld}",
            n->service,
            n->ip,
            n->app,
            n->zone,
            n->slots,
            sequence,
            n->born_ms);
  s->fd = standin_connect (n->ip, n->control, 0);
  if (s->fd >= 0)
    {
      standin_set_timeouts (s->fd, 1);
      if (rig_printf (s->fd,
                      "PUT /instances/i-%s HTTP/1.1\r\nHost: x\r\nContent-Type: "
                      "application/json\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n%s",
                      n->name,
                      strlen (body),
                      body))
        rig_read_head (s, &h);
      close (s->fd);
    }
  free (s);
}

static void *
announce_all (void *data)
{
  int node = (int)((RigNode *)data - rig_nodes);

  for (long sequence = 1;; sequence++)
    {
      announce (node, sequence);
      rig_sleep (STANDIN_HEARTBEAT_S);
    }
  return NULL;
}

void
standin_start_backend (int node, RigHandler handler)
{
  int window = BACKEND_WINDOW;
  RigNode *n = &rig_nodes[node];
  struct timespec now;
  int fd = standin_listen (n->ip, &n->app);

  clock_gettime (CLOCK_REALTIME, &now);
  n->born_ms = now.tv_sec * 1000 + now.tv_nsec / 1000000;
  backend_handler = handler;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  listen_for (node, fd, serve_backend);
  rig_thread (announce_all, n);
}
