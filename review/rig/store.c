// Store: stand-in of the platform's metadata store. Objects by kind and name, conditional updates,
// lists and watches; one thread a connection.

#include "internal.h"
#include "rig.h"
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define OBJECTS_MAX 256
#define BODY_BYTES (1 << 20)
#define PREFIX "/objects/"

typedef struct
{
  char kind[RIG_TEXT];
  char name[RIG_TEXT];
  char *spec; // JSON
  long revision;
} Object;

typedef struct
{
  int fd;
  char *in; // request: head and body
  size_t n; // bytes in it
  char method[16];
  char path[RIG_PATH];
  char *body;
} Call;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static Object objects[OBJECTS_MAX];
static int n_objects;
static long revision = 100;
static int listener;
static int port;

static void *accept_calls (void *data);
static void *serve (void *fd);
static bool read_call (Call *c);
static void handle (Call *c);
static void handle_kind (Call *c, const char *kind, const char *query);
static void handle_watch (Call *c, const char *kind, long since, long wait_ms);
static void write_object (Call *c, const char *kind, const char *name);
static Object *find (const char *kind, const char *name);
static char *print_object (const Object *o);
static char *print_kind (const char *kind, long since, bool as_events);
static void reply (Call *c, int status, const char *text);
static void append (char **text, const char *more);
static char *read_spec (const char *body);
static void set_object (const char *kind, const char *name, char *spec);

void
rig_store_open (void)
{
  pthread_t t;

  listener = rig_listen ("127.0.0.1", &port);
  pthread_create (&t, NULL, accept_calls, NULL);
  pthread_detach (t);
}

int
rig_store_port (void)
{
  return port;
}

void
rig_put_manifest (const char *spec)
{
  pthread_mutex_lock (&lock);
  set_object ("config", "main", strdup (spec));
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  rig_record ("the operator writes config/main, acknowledged: %s", spec);
}

static void *
accept_calls (void *data)
{
  int fd;

  (void)data;
  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      int *copy = malloc (sizeof *copy);
      pthread_t t;

      if (copy == NULL)
        break;
      *copy = fd;
      pthread_create (&t, NULL, serve, copy);
      pthread_detach (t);
    }
  return NULL;
}

static void *
serve (void *fd)
{
  Call c = { .fd = *(int *)fd, .in = calloc (1, BODY_BYTES + 1) };

  free (fd);
  while (c.in != NULL && read_call (&c))
    handle (&c);
  close (c.fd);
  free (c.in);
  return NULL;
}

// Callers send one request at a time.
static bool
read_call (Call *c)
{
  char *end = NULL;
  const char *length;
  size_t total = 0;

  c->n = 0;
  c->in[0] = 0;
  while (end == NULL || c->n < total)
    {
      ssize_t got = recv (c->fd, c->in + c->n, BODY_BYTES - c->n, 0);

      if (got <= 0)
        return false;
      c->n += (size_t)got;
      c->in[c->n] = 0;
      end = strstr (c->in, "\r\n\r\n");
      if (end == NULL)
        continue;
      length = strcasestr (c->in, "\r\nContent-Length:");
      total = (size_t)(end - c->in) + 4
              + (length != NULL && length < end
                     ? (size_t)atol (length + strlen ("\r\nContent-Length:"))
                     : 0);
    }
  c->body = end + 4;
  return sscanf (c->in, "%15s %511s", c->method, c->path) == 2;
}

static void
handle (Call *c)
{
  char kind[RIG_TEXT] = "";
  char *query = strchr (c->path, '?');
  char *name;
  bool is_get = strcmp (c->method, "GET") == 0;

  if (query != NULL)
    *query++ = 0;
  if (strncmp (c->path, PREFIX, strlen (PREFIX)) != 0)
    {
      reply (c, 404, "{}");
      return;
    }
  snprintf (kind, sizeof kind, "%s", c->path + strlen (PREFIX));
  name = strchr (kind, '/');
  if (name != NULL)
    *name++ = 0;
  if (is_get && name == NULL)
    handle_kind (c, kind, query);
  else if (is_get)
    {
      char *text;

      pthread_mutex_lock (&lock);
      text = print_object (find (kind, name));
      pthread_mutex_unlock (&lock);
      reply (c, text != NULL ? 200 : 404, text != NULL ? text : "{}");
      free (text);
    }
  else
    write_object (c, kind, name);
}

static void
handle_kind (Call *c, const char *kind, const char *query)
{
  const char *watch = query != NULL ? strstr (query, "watch=") : NULL;
  const char *wait = query != NULL ? strstr (query, "waitMs=") : NULL;
  char *text;

  if (watch != NULL)
    {
      handle_watch (c,
                    kind,
                    atol (watch + strlen ("watch=")),
                    wait != NULL ? atol (wait + strlen ("waitMs=")) : 0);
      return;
    }
  pthread_mutex_lock (&lock);
  text = print_kind (kind, 0, false);
  pthread_mutex_unlock (&lock);
  reply (c, 200, text);
  free (text);
}

static void
handle_watch (Call *c, const char *kind, long since, long wait_ms)
{
  struct timespec end;
  bool is_changed = false;
  char *text;
  int timed_out = 0;

  clock_gettime (CLOCK_REALTIME, &end);
  end.tv_sec += wait_ms / 1000;
  end.tv_nsec += wait_ms % 1000 * 1000000;
  end.tv_sec += end.tv_nsec / 1000000000;
  end.tv_nsec %= 1000000000;
  pthread_mutex_lock (&lock);
  while (!is_changed && timed_out == 0)
    {
      for (int i = 0; i < n_objects; i++)
        if (strcmp (objects[i].kind, kind) == 0 && objects[i].revision > since)
          is_changed = true;
      if (!is_changed)
        timed_out = pthread_cond_timedwait (&changed, &lock, &end);
    }
  text = print_kind (kind, since, true);
  pthread_mutex_unlock (&lock);
  reply (c, 200, text);
  free (text);
}

// A POST creates; a PUT replaces if the revision is that of the object.
static void
write_object (Call *c, const char *kind, const char *name)
{
  bool is_create = strcmp (c->method, "POST") == 0;
  const char *at = strstr (c->body, "\"revision\":");
  const char *named = strstr (c->body, "\"name\":\"");
  char created[RIG_TEXT] = "";
  Object *o;
  char *text;
  int status = 200;

  if (is_create && named != NULL)
    {
      snprintf (created, sizeof created, "%s", named + strlen ("\"name\":\""));
      created[strcspn (created, "\"")] = 0;
      name = created;
    }
  if (name == NULL || (!is_create && strcmp (c->method, "PUT") != 0))
    {
      reply (c, 404, "{}");
      return;
    }
  pthread_mutex_lock (&lock);
  o = find (kind, name);
  if (!is_create && o == NULL)
    status = 404;
  else if (is_create ? o != NULL
                     : at != NULL && atol (at + strlen ("\"revision\":")) != o->revision)
    status = 409;
  else
    {
      set_object (kind, name, read_spec (c->body));
      pthread_cond_broadcast (&changed);
    }
  text = print_object (find (kind, name));
  pthread_mutex_unlock (&lock);
  reply (c, status, text != NULL ? text : "{}");
  free (text);
}

static Object *
find (const char *kind, const char *name)
{
  for (int i = 0; i < n_objects; i++)
    if (strcmp (objects[i].kind, kind) == 0 && strcmp (objects[i].name, name) == 0)
      return &objects[i];
  return NULL;
}

static void
set_object (const char *kind, const char *name, char *spec)
{
  Object *o = find (kind, name);

  if (o == NULL && n_objects < OBJECTS_MAX)
    {
      o = &objects[n_objects++];
      snprintf (o->kind, sizeof o->kind, "%s", kind);
      snprintf (o->name, sizeof o->name, "%s", name);
    }
  if (o == NULL || (o->spec != NULL && strcmp (o->spec, spec) == 0))
    {
      free (spec);
      return;
    }
  free (o->spec);
  o->spec = spec;
  o->revision = ++revision;
}

// The spec is the last member of what the daemons send.
static char *
read_spec (const char *body)
{
  const char *at = strstr (body, "\"spec\":");
  char *spec = strdup (at != NULL ? at + strlen ("\"spec\":") : "{}}");
  char *end = strrchr (spec, '}');

  if (end != NULL)
    *end = 0;
  return spec;
}

static char *
print_object (const Object *o)
{
  char *text = NULL;

  if (o == NULL)
    return NULL;
  if (asprintf (&text,
                "{\"metadata\":{\"name\":\"%s\",\"revision\":%ld,\"created\":1,\"finalizers\":[],"
                "\"terminating\":false},\"spec\":%s,\"status\":null}",
                o->name,
                o->revision,
                o->spec)
      < 0)
    return NULL;
  return text;
}

static char *
print_kind (const char *kind, long since, bool as_events)
{
  char *text = strdup (as_events ? "{\"events\":[" : "{\"items\":[");
  bool is_first = true;
  char end[RIG_TEXT];

  for (int i = 0; i < n_objects; i++)
    {
      char *o;

      if (strcmp (objects[i].kind, kind) != 0 || objects[i].revision <= since)
        continue;
      o = print_object (&objects[i]);
      append (&text, is_first ? "" : ",");
      append (&text, as_events ? "{\"deleted\":false,\"object\":" : "");
      append (&text, o);
      append (&text, as_events ? "}" : "");
      is_first = false;
      free (o);
    }
  snprintf (end, sizeof end, "],\"hasMore\":false,\"storeRevision\":%ld}", revision);
  append (&text, end);
  return text;
}

static void
append (char **text, const char *more)
{
  char *joined = NULL;

  if (more == NULL || asprintf (&joined, "%s%s", *text, more) < 0)
    return;
  free (*text);
  *text = joined;
}

static void
reply (Call *c, int status, const char *text)
{
  char *out = NULL;
  int n = asprintf (&out,
                    "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    "Content-Length: %zu\r\n\r\n%s",
                    status,
                    strlen (text),
                    text);

  if (n > 0)
    (void)send (c->fd, out, (size_t)n, MSG_NOSIGNAL);
  free (out);
}
