// Rig: see rig.h. Processes, settings, clients, the network path and the record; the store and the
// backends are in store.c and backend.c.

#include "rig.h"
#include "internal.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define TEMPLATE_BYTES 16384
#define HEARTBEAT_S "1.5"
#define GRACE_S "6"
#define WARM_UP_MS 30000 // longest time until the daemons know each other
#define HEAD_BYTES 16384
#define CHUNK_BYTES 65536
#define FURTHER_SLOTS 54 // of plots
#define ZONES "\"delta-tanta\",\"upper-asyut\",\"delta-mansoura\",\"upper-sohag\""

const char rig_host[] = "desk.example";

const char rig_manifest[]
    = "{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\","
      "\"timeoutS\",\"objectiveS\",\"priority\",\"service\",\"maxAttempts\",\"weightedServices\"],"
      "\"rows\":["
      "[\"r-1\",\"desk.example\",\"/plot/\",\"idempotent\",1.5,1.5,2,\"plots\",2,null],"
      "[\"r-2\",\"desk.example\",\"/apply/\",\"non_idempotent\",2,2,0,\"permits\",2,null],"
      "[\"r-3\",\"desk.example\",\"/fee/\",\"non_idempotent\",1.2,0.6,0,\"payments\",2,null],"
      "[\"r-4\",\"desk.example\",\"/quota/\",\"idempotent\",5,2.5,2,\"bookings\",2,null]]},"
      "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConns\",\"protocol\",\"tls\"],"
      "\"rows\":[[\"plots\",\"/healthz\",424,\"h1\",false],"
      "[\"permits\",\"/healthz\",424,\"h1\",false],"
      "[\"payments\",\"/healthz\",424,\"h1\",false],"
      "[\"bookings\",\"/healthz\",244,\"h1\",false]]},"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,"
      "\"idleTimeoutS\":15}}";

typedef struct
{
  RigPath *path;
  int from;
  int to;
  int generation;
} Pump;

static char folder[] = "/tmp/rig-XXXXXX";
static const char *program;
static char template_text[TEMPLATE_BYTES];
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec opened_at;
static RigNode *nodes[RIG_NODES_MAX];
static int n_nodes;

static void replace_all (char *text, size_t size, const char *from, const char *to);
static void write_settings (const RigNode *n, const char *path);
static void *accept_path (void *path);
static void *pump (void *data);
static void start_pump (RigPath *p, int from, int to);
static void *run_client (void *client);
static bool read_head (int fd, char *head, size_t *n, double deadline, RigAnswer *a);
static void read_body (int fd, size_t length, double deadline, const char *id, RigAnswer *a);
static void take_body (const char *bytes, size_t n, const char *id, RigAnswer *a);

void
rig_open (const char *program_path, const char *template_path, const char *record_path)
{
  FILE *f = fopen (template_path, "r");
  size_t n = 0;

  clock_gettime (CLOCK_MONOTONIC, &opened_at);
  signal (SIGPIPE, SIG_IGN);
  program = program_path;
  record_file = fopen (record_path, "w");
  if (record_file == NULL || f == NULL || mkdtemp (folder) == NULL || access (program, X_OK) != 0)
    rig_give_up ("no record, template, temporary folder or program");
  n = fread (template_text, 1, sizeof template_text - 1, f);
  template_text[n] = 0;
  fclose (f);
  rig_store_open ();
}

void
rig_close (void)
{
  char path[RIG_PATH];

  for (int i = 0; i < n_nodes; i++)
    {
      if (nodes[i]->pid > 0)
        {
          kill (nodes[i]->pid, SIGKILL);
          waitpid (nodes[i]->pid, NULL, 0);
          nodes[i]->pid = 0;
        }
      snprintf (path, sizeof path, "%s/%s.json", folder, nodes[i]->name);
      unlink (path);
      if (getenv ("KEEP") != NULL)
        continue;
      snprintf (path, sizeof path, "%s/%s.log", folder, nodes[i]->name);
      unlink (path);
    }
  rmdir (folder);
  // Threads of the stand-ins may still record something.
  pthread_mutex_lock (&record_lock);
  fclose (record_file);
  record_file = NULL;
  pthread_mutex_unlock (&record_lock);
}

double
rig_now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)(t.tv_sec - opened_at.tv_sec) * 1000.0
         + (double)(t.tv_nsec - opened_at.tv_nsec) / 1e6;
}

void
rig_sleep_until (double ms)
{
  double left;

  while ((left = ms - rig_now_ms ()) > 0)
    {
      struct timespec t
          = { (time_t)(left / 1000), (long)((left - 1000.0 * (double)(long)(left / 1000)) * 1e6) };

      nanosleep (&t, NULL);
    }
}

void
rig_record (const char *format, ...)
{
  va_list args;
  char line[RIG_PATH];

  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  pthread_mutex_lock (&record_lock);
  if (record_file != NULL)
    {
      fprintf (record_file, "%9.1f %s\n", rig_now_ms (), line);
      fflush (record_file);
    }
  pthread_mutex_unlock (&record_lock);
}

bool
rig_has_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return value == NULL || strcmp (value, "0") != 0;
}

void
rig_give_up (const char *why)
{
  fprintf (stderr, "The case could not run: %s.\n", why);
  if (record_file != NULL)
    {
      rig_record ("could not run: %s", why);
      rig_close ();
    }
  exit (2);
}

void
rig_node_init (RigNode *n, const char *name, const char *zone, const char *service)
{
  int ports[5];

  memset (n, 0, sizeof *n);
  snprintf (n->name, sizeof n->name, "%s", name);
  snprintf (n->zone, sizeof n->zone, "%s", zone);
  // A zone "delta-tanta" lies in the region "delta".
  snprintf (n->region, sizeof n->region, "%.*s", (int)strcspn (zone, "-"), zone);
  snprintf (n->service, sizeof n->service, "%s", service);
  snprintf (n->ip, sizeof n->ip, "127.0.0.%d", 11 + n_nodes);
  for (int i = 0; i < 5; i++)
    ports[i] = rig_free_port (n->ip);
  n->front = ports[0];
  n->control = ports[1];
  n->ready = ports[2];
  n->link = ports[3];
  n->app = ports[4];
  nodes[n_nodes++] = n;
}

void
rig_node_start (RigNode *n)
{
  char settings[RIG_PATH];
  char log[RIG_PATH];

  snprintf (settings, sizeof settings, "%s/%s.json", folder, n->name);
  snprintf (log, sizeof log, "%s/%s.log", folder, n->name);
  write_settings (n, settings);
  n->pid = fork ();
  if (n->pid < 0)
    rig_give_up ("fork failed");
  if (n->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      // The daemon does not outlive the case.
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execl (program, program, "--config", settings, (char *)NULL);
      _exit (127);
    }
  rig_record ("machine %s starts: front %s:%d, service %s", n->name, n->ip, n->front, n->service);
}

void
rig_node_signal (RigNode *n, int signal_number)
{
  rig_record ("machine %s gets signal %d (%s)", n->name, signal_number, strsignal (signal_number));
  kill (n->pid, signal_number);
}

bool
rig_node_wait (RigNode *n, double timeout_ms)
{
  double end = rig_now_ms () + timeout_ms;
  int status = 0;

  while (n->pid > 0)
    {
      if (waitpid (n->pid, &status, WNOHANG) == n->pid)
        {
          n->pid = 0;
          rig_record ("machine %s: process ended, exit code %d, signal %d",
                      n->name,
                      WIFEXITED (status) ? WEXITSTATUS (status) : -1,
                      WIFSIGNALED (status) ? WTERMSIG (status) : 0);
        }
      else if (rig_now_ms () >= end)
        return false;
      else
        rig_sleep_until (rig_now_ms () + 5);
    }
  return true;
}

void
rig_fill_fleet (void)
{
  static const char *const zones[]
      = { "delta-tanta", "upper-asyut", "delta-mansoura", "upper-sohag" };
  static RigNode all[RIG_NODES_MAX];
  static RigBackend backends[RIG_NODES_MAX];

  for (int i = 0; n_nodes < RIG_NODES_MAX; i++)
    {
      char name[RIG_TEXT];

      snprintf (name, sizeof name, "side-%s-%d", zones[i % 4], 10 + i);
      rig_node_init (&all[i], name, zones[i % 4], "plots");
      rig_node_start (&all[i]);
      snprintf (name, sizeof name, "i-further-%d", i);
      rig_backend_open (&backends[i], &all[i], name, FURTHER_SLOTS);
    }
}

void
rig_node_set_service (RigNode *n, const char *service)
{
  char path[RIG_PATH];

  snprintf (n->service, sizeof n->service, "%s", service);
  snprintf (path, sizeof path, "%s/%s.json", folder, n->name);
  write_settings (n, path);
  rig_record ("the settings of machine %s name the service %s", n->name, service);
}

bool
rig_same (const char *a, const char *b)
{
  return strcmp (a, b) == 0;
}

bool
rig_starts (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

bool
rig_node_is_ready (const RigNode *n)
{
  RigAnswer a;
  int fd = rig_connect (n->ip, n->ready);

  if (fd < 0)
    return false;
  rig_request (fd, "GET", "/ready", "ready", 1000, 1000, &a);
  close (fd);
  return a.status == 200;
}

void
rig_path_open (RigPath *p, RigNode *n, int delay_ms)
{
  memset (p, 0, sizeof *p);
  snprintf (p->ip, sizeof p->ip, "%s", n->ip);
  p->target = n->link;
  p->delay_ms = delay_ms;
  p->fd = rig_listen (n->ip, &p->port);
  n->path = p->port;
  pthread_create (&p->acceptor, NULL, accept_path, p);
}

void
rig_path_reset (RigPath *p)
{
  rig_record ("the open connections to %s:%d are reset", p->ip, p->target);
  __atomic_add_fetch (&p->generation, 1, __ATOMIC_SEQ_CST);
}

int
rig_connect (const char *ip, int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  inet_pton (AF_INET, ip, &a.sin_addr);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

void
rig_request (int fd,
             const char *method,
             const char *path,
             const char *id,
             int deadline_ms,
             int patience_ms,
             RigAnswer *a)
{
  char head[HEAD_BYTES];
  bool has_body = strcmp (method, "GET") != 0;
  size_t n_read = 0;
  double deadline;
  const char *length;

  memset (a, 0, sizeof *a);
  a->sent_ms = rig_now_ms ();
  deadline = a->sent_ms + patience_ms;
  snprintf (head,
            sizeof head,
            "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n%s",
            method,
            path,
            rig_host,
            id,
            deadline_ms,
            has_body ? "Content-Length: 4\r\n" : "",
            has_body ? "form" : "");
  a->is_closed = send (fd, head, strlen (head), MSG_NOSIGNAL) < 0;
  if (!a->is_closed && read_head (fd, head, &n_read, deadline, a))
    {
      size_t n_head = (size_t)(strstr (head, "\r\n\r\n") - head) + 4;

      a->status = atoi (head + strlen ("HTTP/1.1 "));
      length = strcasestr (head, "\r\nContent-Length:");
      a->is_sealed = strcasestr (head, "\r\nX-Response-Seal:") != NULL;
      take_body (head + n_head, n_read - n_head, id, a);
      read_body (fd,
                 length != NULL ? (size_t)atol (length + strlen ("\r\nContent-Length:")) : 0,
                 deadline,
                 id,
                 a);
    }
  a->ended_ms = rig_now_ms ();
}

void
rig_client_open (RigClient *c, const RigNode *n, const char *id)
{
  RigAnswer a = { 0 };
  char first[RIG_TEXT];

  memset (c, 0, sizeof *c);
  snprintf (c->id, sizeof c->id, "%s", id);
  snprintf (first, sizeof first, "%s-first", id);
  c->fd = rig_connect (n->ip, n->front);
  if (c->fd >= 0)
    rig_request (c->fd, "GET", "/quota/first", first, 5000, 5000, &a);
  if (!a.is_complete || a.status != 200)
    rig_give_up ("a client could not open its connection");
}

void
rig_client_send (RigClient *c, const char *method, const char *path, int deadline_ms)
{
  snprintf (c->method, sizeof c->method, "%s", method);
  snprintf (c->path, sizeof c->path, "%s", path);
  c->deadline_ms = deadline_ms;
  rig_record ("a client sends %s: %s %s", c->id, method, path);
  pthread_create (&c->thread, NULL, run_client, c);
}

void
rig_client_join (RigClient *c)
{
  pthread_join (c->thread, NULL);
}

void
rig_warm_up (const RigNode *n, const char *path, int in_a_row)
{
  int n_good = 0;
  int n_sent = 0;

  while (n_good < in_a_row)
    {
      RigAnswer a = { 0 };
      char id[RIG_TEXT];
      int fd = rig_connect (n->ip, n->front);

      if (rig_now_ms () > WARM_UP_MS)
        rig_give_up ("the daemons did not serve within 30 s");
      snprintf (id, sizeof id, "warm-%s-%d", n->name, n_sent++);
      if (fd >= 0)
        {
          rig_request (fd, "GET", path, id, 1000, 1000, &a);
          close (fd);
        }
      n_good = a.status == 200 && a.is_complete ? n_good + 1 : 0;
      rig_sleep_until (rig_now_ms () + (a.status == 200 ? 10 : 100));
    }
  rig_record ("machine %s serves %s", n->name, path);
}

int
rig_free_port (const char *ip)
{
  int port = 0;
  int fd = rig_listen (ip, &port);

  close (fd);
  return port;
}

int
rig_listen (const char *ip, int *port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)*port) };
  socklen_t n = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  inet_pton (AF_INET, ip, &a.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) != 0 || listen (fd, 1024) != 0
      || getsockname (fd, (struct sockaddr *)&a, &n) != 0)
    rig_give_up ("no port to listen on");
  *port = ntohs (a.sin_port);
  return fd;
}

static void *
run_client (void *client)
{
  RigClient *c = client;
  RigAnswer *a = &c->answer;
  const char *end = "no answer, the connection was closed";

  rig_request (c->fd,
               c->method,
               c->path,
               c->id,
               c->deadline_ms,
               c->patience_ms > 0 ? c->patience_ms : c->deadline_ms,
               a);
  close (c->fd);
  if (a->is_complete)
    end = "complete answer";
  else if (a->is_timed_out)
    end = a->status != 0 ? "part of an answer until the client left" : "no answer until it left";
  else if (a->status != 0)
    end = "part of an answer, then the connection was closed";
  rig_record (
      "%s gets: status %d, %s, after %.0f ms", c->id, a->status, end, a->ended_ms - a->sent_ms);
  return NULL;
}

static void
replace_all (char *text, size_t size, const char *from, const char *to)
{
  char *at;
  size_t n_from = strlen (from);
  size_t n_to = strlen (to);

  while ((at = strstr (text, from)) != NULL)
    {
      size_t rest = strlen (at + n_from) + 1;

      if ((size_t)(at - text) + n_to + rest > size)
        rig_give_up ("the settings are too long");
      memmove (at + n_to, at + n_from, rest);
      for (size_t i = 0; i < n_to; i++)
        at[i] = to[i];
    }
}

// Fills in deploy/settings.json as the platform does. A machine behind a RigPath announces the
// address of the path to the others.
static void
write_settings (const RigNode *n, const char *path)
{
  char text[TEMPLATE_BYTES];
  char value[RIG_PATH];
  FILE *f = fopen (path, "w");

  memcpy (text, template_text, sizeof text);
  replace_all (text, sizeof text, "{{#zones}}\"{{@}}\"{{,}}{{/zones}}", ZONES);
  replace_all (text, sizeof text, "{{nodeName}}", n->name);
  replace_all (text, sizeof text, "{{zone}}", n->zone);
  replace_all (text, sizeof text, "{{region}}", n->region);
  replace_all (text, sizeof text, "{{ip}}", n->ip);
  replace_all (text, sizeof text, "{{service}}", n->service);
  replace_all (text, sizeof text, "{{heartbeatS}}", HEARTBEAT_S);
  replace_all (text, sizeof text, "{{bounds.graceS}}", GRACE_S);
  snprintf (value, sizeof value, "%s:%d", n->ip, n->front);
  replace_all (text, sizeof text, "{{listen.outbound}}", value);
  snprintf (value, sizeof value, "%s:%d", n->ip, n->control);
  replace_all (text, sizeof text, "{{listen.control}}", value);
  snprintf (value, sizeof value, "%s:%d", n->ip, n->ready);
  replace_all (text, sizeof text, "{{listen.ready}}", value);
  snprintf (value, sizeof value, "%s:%d", n->ip, n->app);
  replace_all (text, sizeof text, "{{appAddr}}", value);
  snprintf (value, sizeof value, "%d", n->link);
  replace_all (text, sizeof text, "{{portRange.0}}", value);
  snprintf (value, sizeof value, "127.0.0.1:%d", rig_store_port ());
  replace_all (text, sizeof text, "{{platform.address}}", value);
  if (n->path > 0)
    {
      snprintf (value,
                sizeof value,
                "\"advertise\": { \"link\": \"%s:%d\" },\n  \"dialect\"",
                n->ip,
                n->path);
      replace_all (text, sizeof text, "\"dialect\"", "\"dia_lect\"");
      replace_all (text, sizeof text, "\"dia_lect\"", value);
    }
  if (f == NULL || fputs (text, f) < 0 || fclose (f) != 0)
    rig_give_up ("the settings could not be written");
}

static void *
accept_path (void *data)
{
  RigPath *p = data;
  int fd;

  while ((fd = accept (p->fd, NULL, NULL)) >= 0)
    {
      int out = rig_connect (p->ip, p->target);
      int on = 1;

      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      if (out < 0)
        {
          close (fd);
          continue;
        }
      start_pump (p, fd, out);
      start_pump (p, out, fd);
    }
  return NULL;
}

static void
start_pump (RigPath *p, int from, int to)
{
  Pump *u = calloc (1, sizeof *u);
  pthread_t t;

  if (u == NULL)
    rig_give_up ("out of memory");
  *u = (Pump){ p, from, to, p->generation };
  pthread_create (&t, NULL, pump, u);
  pthread_detach (t);
}

// Passes the bytes of one direction on, each read delay_ms later. After a reset of the path both
// ends see a reset.
static void *
pump (void *data)
{
  Pump *u = data;
  struct linger reset = { 1, 0 };
  char *bytes = malloc (CHUNK_BYTES);
  struct pollfd poll_fd = { .fd = u->from, .events = POLLIN };
  bool is_reset = false;
  ssize_t n = 1;

  while (bytes != NULL && n > 0 && !is_reset)
    {
      int ready = poll (&poll_fd, 1, 2);

      is_reset = __atomic_load_n (&u->path->generation, __ATOMIC_SEQ_CST) != u->generation;
      if (ready <= 0 || is_reset)
        continue;
      n = recv (u->from, bytes, CHUNK_BYTES, 0);
      if (n <= 0)
        break;
      rig_sleep_until (rig_now_ms () + u->path->delay_ms);
      for (ssize_t at = 0; at < n;)
        {
          ssize_t m = send (u->to, bytes + at, (size_t)(n - at), MSG_NOSIGNAL);

          if (m <= 0)
            n = 0;
          at += m > 0 ? m : n + 1;
        }
    }
  if (is_reset)
    setsockopt (u->to, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  // The other direction closes its own side; each descriptor is closed once.
  shutdown (u->from, SHUT_RD);
  if (is_reset)
    close (u->to);
  else
    shutdown (u->to, SHUT_WR);
  free (bytes);
  free (u);
  return NULL;
}

// Reads until the head is complete. n: bytes read, of which some may belong to the body.
static bool
read_head (int fd, char *head, size_t *n, double deadline, RigAnswer *a)
{
  head[0] = 0;
  while (strstr (head, "\r\n\r\n") == NULL)
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      int left = (int)(deadline - rig_now_ms ());
      ssize_t got;

      if (left <= 0 || *n >= HEAD_BYTES - 1 || poll (&p, 1, left) <= 0)
        {
          a->is_timed_out = true;
          return false;
        }
      got = recv (fd, head + *n, HEAD_BYTES - 1 - *n, 0);
      if (got <= 0)
        {
          a->is_closed = true;
          return false;
        }
      *n += (size_t)got;
      head[*n] = 0;
    }
  return true;
}

static void
read_body (int fd, size_t length, double deadline, const char *id, RigAnswer *a)
{
  char bytes[HEAD_BYTES];

  while (a->n_body < length)
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      int left = (int)(deadline - rig_now_ms ());
      ssize_t got;

      if (left <= 0 || poll (&p, 1, left) <= 0)
        {
          a->is_timed_out = true;
          return;
        }
      got = recv (fd, bytes, sizeof bytes, 0);
      if (got <= 0)
        {
          a->is_closed = true;
          return;
        }
      take_body (bytes, (size_t)got, id, a);
    }
  a->is_complete = true;
}

// A backend's body repeats the id of the request.
static void
take_body (const char *bytes, size_t n, const char *id, RigAnswer *a)
{
  for (size_t i = 0; i < n; i++)
    if (a->is_sealed && bytes[i] != id[(a->n_body + i) % strlen (id)])
      a->is_foreign = true;
  a->n_body += n;
}
