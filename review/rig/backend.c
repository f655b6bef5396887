// Backend: stand-in of an application backend. Runs each request in a slot for the time that its
// path names ("?work=MS&bytes=N"), rejects what it has no room for, and sends pings to the daemon
// on its machine. One thread a connection.

#include "internal.h"
#include "rig.h"
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_BYTES 16384
#define HEARTBEAT_MS 1500
#define POLL_MS 5
#define DRAINING_STEP 1000 // in the sequence, ahead of pings that are under way
#define WORK_MS 20         // unless the path names another time
#define BYTES 400          // of a response, unless the path names another size
#define SEAL "s1.0"        // stands for the proof of the response

typedef struct
{
  RigBackend *backend;
  int fd;
  int generation;
  char head[HEAD_BYTES];
  size_t n;
  char id[RIG_TEXT];
  char expected[RIG_TEXT];
  char path[RIG_PATH];
  long deadline_ms;
} Conn;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static RigRun all_runs[RIG_RUNS_MAX];
static int n_runs;

static void *accept_conns (void *backend);
static void *serve (void *conn);
static bool read_request (Conn *c);
static void read_header (const Conn *c, const char *name, char *value, size_t size);
static long read_number (const char *path, const char *name, long otherwise);
static bool handle (Conn *c);
static bool take_slot (Conn *c, double deadline);
static bool work (Conn *c, double until);
static bool is_over (const Conn *c);
static bool is_gone (Conn *c);
static bool reply (Conn *c, int status, const char *lines, long n_body);
static RigRun *add_run (const Conn *c);
static int send_ping (RigBackend *b, const char *zone, const char *state, int sequence);
static void *send_pings (void *backend);
static int call_control (RigBackend *b, const char *method, const char *id, const char *body);
static int64_t wall_ms (void);

void
rig_backend_open (RigBackend *b, const RigNode *n, const char *id, int slots)
{
  int port = n->app;

  memset (b, 0, sizeof *b);
  b->node = n;
  snprintf (b->id, sizeof b->id, "%s", id);
  snprintf (b->service, sizeof b->service, "%s", n->service);
  b->slots = slots;
  b->queue_max = slots;
  b->born = wall_ms ();
  b->fd = rig_listen (n->ip, &port);
  rig_record (
      "backend %s starts: service %s at %s:%d, %d slots", id, b->service, n->ip, port, slots);
  pthread_create (&b->acceptor, NULL, accept_conns, b);
  pthread_create (&b->pinger, NULL, send_pings, b);
}

int
rig_backend_ping (RigBackend *b, const char *state, int sequence)
{
  char zone[RIG_TEXT + 2];

  snprintf (zone, sizeof zone, "\"%s\"", b->node->zone);
  return send_ping (b, zone, state, sequence);
}

void
rig_backend_ping_foreign (RigBackend *b)
{
  int status = send_ping (b, "7", "ready", b->sequence + 1);

  rig_record ("another writer sends a ping for %s: state ready, zone 7, answer %d", b->id, status);
}

double
rig_backend_drain (RigBackend *b)
{
  int sequence = b->sequence + DRAINING_STEP;
  int status = rig_backend_ping (b, "draining", sequence);

  rig_record ("backend %s says draining, answer %d", b->id, status);
  if (status / 100 != 2)
    rig_give_up ("the state draining was not acknowledged");
  b->sequence = sequence;
  b->is_draining = true;
  return rig_now_ms ();
}

void
rig_backend_exit (RigBackend *b)
{
  int status = call_control (b, "DELETE", b->id, "");

  rig_record ("backend %s leaves, answer %d, and its process ends", b->id, status);
  b->has_exited = true;
  shutdown (b->fd, SHUT_RDWR);
  close (b->fd);
}

// The address goes to a new lifetime. What is open at the old one is reset.
void
rig_backend_replace (RigBackend *b, const char *id, const char *service, int slots)
{
  pthread_mutex_lock (&lock);
  snprintf (b->id, sizeof b->id, "%s", id);
  snprintf (b->service, sizeof b->service, "%s", service);
  b->slots = slots;
  b->queue_max = slots;
  b->born = wall_ms ();
  b->sequence = 0;
  b->generation++;
  b->n_running = 0;
  b->n_waiting = 0;
  b->is_draining = false;
  b->is_dark = false;
  pthread_mutex_unlock (&lock);
  rig_record ("backend %s starts: service %s at %s:%d, %d slots",
              id,
              service,
              b->node->ip,
              b->node->app,
              slots);
}

int
rig_runs (RigRun *runs, int max)
{
  int n;

  pthread_mutex_lock (&lock);
  n = n_runs < max ? n_runs : max;
  memcpy (runs, all_runs, (size_t)n * sizeof runs[0]);
  pthread_mutex_unlock (&lock);
  return n;
}

static void *
accept_conns (void *backend)
{
  RigBackend *b = backend;
  int fd;

  while ((fd = accept (b->fd, NULL, NULL)) >= 0)
    {
      Conn *c = calloc (1, sizeof *c);
      int on = 1;
      pthread_t t;

      if (c == NULL)
        break;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      c->backend = b;
      c->fd = fd;
      c->generation = b->generation;
      pthread_create (&t, NULL, serve, c);
      pthread_detach (t);
    }
  return NULL;
}

static void *
serve (void *conn)
{
  Conn *c = conn;
  struct linger reset = { 1, 0 };

  while (read_request (c) && handle (c))
    continue;
  if (c->generation != c->backend->generation)
    setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (c->fd);
  free (c);
  return NULL;
}

// Callers send one request at a time, with a length or without a body.
static bool
read_request (Conn *c)
{
  const char *end = NULL;
  size_t total = 0;
  char value[RIG_TEXT];

  c->n = 0;
  c->head[0] = 0;
  while (end == NULL || c->n < total)
    {
      struct pollfd p = { .fd = c->fd, .events = POLLIN };
      ssize_t got;

      if (is_over (c))
        return false;
      if (poll (&p, 1, POLL_MS) <= 0 || c->backend->is_dark)
        {
          if (c->backend->is_dark)
            rig_sleep_until (rig_now_ms () + POLL_MS);
          continue;
        }
      got = recv (c->fd, c->head + c->n, sizeof c->head - 1 - c->n, 0);
      if (got <= 0)
        return false;
      c->n += (size_t)got;
      c->head[c->n] = 0;
      end = strstr (c->head, "\r\n\r\n");
      if (end == NULL)
        continue;
      read_header (c, "Content-Length", value, sizeof value);
      total = (size_t)(end - c->head) + 4 + (size_t)atol (value);
    }
  read_header (c, "X-Request-Id", c->id, sizeof c->id);
  read_header (c, "X-Expect-Instance", c->expected, sizeof c->expected);
  read_header (c, "X-Deadline-Ms", value, sizeof value);
  c->deadline_ms = atol (value);
  return sscanf (c->head, "%*s %511s", c->path) == 1;
}

static void
read_header (const Conn *c, const char *name, char *value, size_t size)
{
  char line[RIG_TEXT];
  const char *at;

  snprintf (line, sizeof line, "\r\n%s: ", name);
  at = strcasestr (c->head, line);
  value[0] = 0;
  if (at == NULL)
    return;
  snprintf (value, size, "%s", at + strlen (line));
  value[strcspn (value, "\r\n")] = 0;
}

static long
read_number (const char *path, const char *name, long otherwise)
{
  const char *at = strstr (path, name);

  return at != NULL ? atol (at + strlen (name)) : otherwise;
}

// Returns false if the connection is to be closed.
static bool
handle (Conn *c)
{
  RigBackend *b = c->backend;
  double arrived = rig_now_ms ();
  double deadline = arrived + (double)(c->deadline_ms > 0 ? c->deadline_ms : 60000);
  double until;
  RigRun *run;
  bool is_late;

  if (strcmp (c->expected, b->id) != 0 && c->expected[0] != 0)
    {
      rig_record ("backend %s gets %s for %s: 421", b->id, c->id, c->expected);
      return reply (c, 421, "", 0);
    }
  if (!take_slot (c, deadline))
    {
      rig_record ("backend %s rejects %s", b->id, c->id);
      return !is_gone (c) && reply (c, 503, "X-Not-Executed: 1\r\n", 0);
    }
  run = add_run (c);
  rig_record ("backend %s (%s) runs %s %s, expected instance %s",
              b->id,
              b->service,
              c->id,
              c->path,
              c->expected);
  until = rig_now_ms () + (double)read_number (c->path, "work=", WORK_MS);
  is_late = until > deadline;
  if (!work (c, is_late ? deadline : until))
    {
      rig_record ("backend %s drops %s: its connection ended", b->id, c->id);
      return false;
    }
  pthread_mutex_lock (&lock);
  b->n_running--;
  run->ended_ms = rig_now_ms ();
  pthread_mutex_unlock (&lock);
  rig_record ("backend %s has run %s, status %d", b->id, c->id, is_late ? 504 : 200);
  return reply (c,
                is_late ? 504 : 200,
                "X-Response-Seal: " SEAL "\r\n",
                is_late ? 0 : read_number (c->path, "bytes=", BYTES));
}

// A few requests wait for a slot; the others are rejected.
static bool
take_slot (Conn *c, double deadline)
{
  RigBackend *b = c->backend;
  bool waits = false;

  for (;;)
    {
      bool has_slot;
      bool is_full;

      pthread_mutex_lock (&lock);
      has_slot = b->n_running < b->slots;
      is_full = !waits && !has_slot && b->n_waiting >= b->queue_max;
      b->n_running += has_slot;
      if (waits && has_slot)
        b->n_waiting--;
      else if (!waits && !has_slot && !is_full)
        b->n_waiting++;
      pthread_mutex_unlock (&lock);
      if (has_slot)
        return true;
      waits = true;
      if (is_full)
        return false;
      if (rig_now_ms () >= deadline || is_gone (c))
        {
          pthread_mutex_lock (&lock);
          b->n_waiting--;
          pthread_mutex_unlock (&lock);
          return false;
        }
      rig_sleep_until (rig_now_ms () + POLL_MS);
    }
}

// Returns false if the connection ends before the work does.
static bool
work (Conn *c, double until)
{
  RigBackend *b = c->backend;

  while (rig_now_ms () < until || b->is_dark)
    {
      double left = until - rig_now_ms ();

      if (is_over (c))
        return false;
      if (is_gone (c))
        {
          pthread_mutex_lock (&lock);
          b->n_running--;
          pthread_mutex_unlock (&lock);
          return false;
        }
      rig_sleep_until (rig_now_ms () + (left > 0 && left < POLL_MS ? left : POLL_MS));
    }
  return !is_over (c);
}

// The lifetime that the connection was opened to has ended.
static bool
is_over (const Conn *c)
{
  return c->generation != c->backend->generation || c->backend->has_exited;
}

static bool
is_gone (Conn *c)
{
  char byte;

  return is_over (c) || recv (c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static bool
reply (Conn *c, int status, const char *lines, long n_body)
{
  char load[RIG_TEXT];
  char *out = malloc (HEAD_BYTES + (size_t)n_body);
  size_t n;
  bool is_sent;

  if (out == NULL)
    return false;
  snprintf (load,
            sizeof load,
            "%d,%d,%d",
            c->backend->n_running,
            c->backend->n_waiting,
            c->backend->slots);
  n = (size_t)snprintf (out,
                        HEAD_BYTES,
                        "HTTP/1.1 %d Status\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\n"
                        "X-Server-Load: %s\r\n%sContent-Length: %ld\r\n\r\n",
                        status,
                        c->id,
                        c->backend->id,
                        load,
                        lines,
                        n_body);
  // The body repeats the id, by which a client recognizes its own answer.
  for (long i = 0; i < n_body; i++)
    out[n + (size_t)i] = c->id[(size_t)i % strlen (c->id)];
  n += (size_t)n_body;
  is_sent = send (c->fd, out, n, MSG_NOSIGNAL) == (ssize_t)n;
  free (out);
  return is_sent;
}

static RigRun *
add_run (const Conn *c)
{
  RigRun *r;

  pthread_mutex_lock (&lock);
  if (n_runs == RIG_RUNS_MAX)
    rig_give_up ("too many runs");
  r = &all_runs[n_runs++];
  snprintf (r->id, sizeof r->id, "%s", c->id);
  snprintf (r->backend, sizeof r->backend, "%s", c->backend->id);
  snprintf (r->service, sizeof r->service, "%s", c->backend->service);
  snprintf (r->path, sizeof r->path, "%.*s", RIG_TEXT - 1, c->path);
  r->started_ms = rig_now_ms ();
  pthread_mutex_unlock (&lock);
  return r;
}

// zone: a JSON value.
static int
send_ping (RigBackend *b, const char *zone, const char *state, int sequence)
{
  char body[HEAD_BYTES];
  char id[RIG_TEXT];

  pthread_mutex_lock (&lock);
  snprintf (id, sizeof id, "%s", b->id);
  snprintf (body,
            sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":%s,\"version\":\"v1\","
            "\"slots\":%d,\"state\":\"%s\",\"coldS_time\":0,\"sequence\":%d,\"born\":%lld}",
            b->service,
            b->node->ip,
            b->node->app,
            zone,
            b->slots,
            state,
            sequence,
            (long long)b->born);
  pthread_mutex_unlock (&lock);
  return call_control (b, "PUT", id, body);
}

static void *
send_pings (void *backend)
{
  RigBackend *b = backend;

  while (!b->has_exited)
    {
      if (!b->is_dark)
        rig_backend_ping (b, b->is_draining ? "draining" : "ready", ++b->sequence);
      // A new lifetime announces itself at once.
      for (int i = 0, g = b->generation; i < HEARTBEAT_MS / POLL_MS && g == b->generation; i++)
        rig_sleep_until (rig_now_ms () + POLL_MS);
    }
  return NULL;
}

// Returns the status, 0 without an answer within a second.
static int
call_control (RigBackend *b, const char *method, const char *id, const char *body)
{
  char text[HEAD_BYTES];
  int fd = rig_connect (b->node->ip, b->node->control);
  struct timeval second = { 1, 0 };
  ssize_t n;

  if (fd < 0)
    return 0;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &second, sizeof second);
  snprintf (text,
            sizeof text,
            "%s /instances/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
            method,
            id,
            b->node->ip,
            strlen (body),
            body);
  (void)send (fd, text, strlen (text), MSG_NOSIGNAL);
  n = recv (fd, text, sizeof text - 1, 0);
  close (fd);
  if (n <= (ssize_t)strlen ("HTTP/1.1 "))
    return 0;
  text[n] = 0;
  return atoi (text + strlen ("HTTP/1.1 "));
}

static int64_t
wall_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}
