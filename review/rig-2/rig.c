// Rig: the daemons, the stand-ins for the store and the back ends, and helpers of clients.

#include "standins.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HOST "rig.example"
#define PROGRAM "target/boraged"
#define TEMPLATE "deploy/settings.json"
#define CONTACT_S 4.0 // contactS of the pages
#define READY_S 20
#define GRACE_S 6
#define SPEC_MAX 65536
#define PORT_MIN 10000
#define PORT_MAX 30000
#define READ_BYTES 4096     // read ahead of what a stand-in asks for
#define CLIENT_TIMEOUT_S 12 // of a read or write of a stand-in
#define MEMORY_PAGE_MB (4096.0 / 1048576)

RigNode rig_nodes[RIG_NODES_MAX];
int rig_n_nodes;
bool rig_has_trouble;

static char folder[] = "/tmp/rig-2-XXXXXX";
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t start_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t start_changed = PTHREAD_COND_INITIALIZER;
static int node_to_start = -1; // of the starter thread
static struct timespec started;
static int store_port;

static long page_size_mb_scale (void);
static void *run_starter (void *data);

void
rig_open (const char *case_folder)
{
  char path[512];
  const char *trouble = getenv ("TROUBLE");

  clock_gettime (CLOCK_MONOTONIC, &started);
  signal (SIGPIPE, SIG_IGN);
  rig_has_trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  snprintf (path, sizeof path, "%s/record.txt", case_folder);
  record = fopen (path, "w");
  if (record == NULL || mkdtemp (folder) == NULL || access (PROGRAM, X_OK) != 0)
    {
      fprintf (stderr, "Cannot write %s or a temporary folder, or %s is missing.\n", path, PROGRAM);
      exit (2);
    }
  rig_record ("case %s, trouble %d", case_folder, rig_has_trouble);
}

double
rig_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)(now.tv_sec - started.tv_sec) + (double)(now.tv_nsec - started.tv_nsec) / 1e9;
}

void
rig_sleep (double seconds)
{
  struct timespec left = { (time_t)seconds, (long)((seconds - (double)(time_t)seconds) * 1e9) };

  while (nanosleep (&left, &left) != 0 && errno == EINTR)
    continue;
}

void
rig_record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record, "%8.3f ", rig_now ());
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

void
rig_thread (void *(*run) (void *), void *data)
{
  pthread_attr_t attr;
  pthread_t thread;

  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, 256 * 1024);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attr, run, data) != 0)
    rig_give_up ("no thread could be started");
  pthread_attr_destroy (&attr);
}

int
standin_listen (const char *ip, int *port)
{
  int fd = standin_socket (ip, port, SOCK_STREAM);

  if (listen (fd, 512) != 0)
    rig_give_up ("a stand-in can't listen");
  return fd;
}

// Returns -1 if the port is taken.
static int
try_socket (const char *ip, int *port, int type)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)*port) };
  socklen_t len = sizeof a;
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  int on = 1;

  inet_pton (AF_INET, ip, &a.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) != 0)
    {
      close (fd);
      return -1;
    }
  getsockname (fd, (struct sockaddr *)&a, &len);
  *port = ntohs (a.sin_port);
  return fd;
}

int
standin_socket (const char *ip, int *port, int type)
{
  int fd = try_socket (ip, port, type);

  if (fd < 0)
    rig_give_up ("a loopback address can't be bound");
  return fd;
}

// A port that is free for both TCP and UDP, below those that the system gives to connections: a
// daemon that starts again needs it again.
static int
free_port (const char *ip)
{
  static int next;

  if (next == 0)
    next = PORT_MIN + getpid () % (PORT_MAX - PORT_MIN);
  for (int i = PORT_MIN; i < PORT_MAX; i++)
    {
      int port = next;
      int tcp = try_socket (ip, &port, SOCK_STREAM);
      int udp = try_socket (ip, &port, SOCK_DGRAM);

      next = next + 1 < PORT_MAX ? next + 1 : PORT_MIN;
      close (tcp);
      close (udp);
      if (tcp >= 0 && udp >= 0)
        return port;
    }
  rig_give_up ("no port is free");
}

void
rig_add_node (const char *zone, const char *service)
{
  RigNode *n = &rig_nodes[rig_n_nodes];

  snprintf (n->name, sizeof n->name, "sidecar-%s-%d", zone, rig_n_nodes);
  snprintf (n->zone, sizeof n->zone, "%s", zone);
  snprintf (n->service, sizeof n->service, "%s", service);
  // Addresses of its own for each run, so that runs side by side don't meet.
  snprintf (n->ip,
            sizeof n->ip,
            "127.%d.%d.%d",
            1 + getpid () % 250,
            1 + getpid () / 250 % 250,
            ++rig_n_nodes);
  n->outbound = free_port (n->ip);
  n->ready = free_port (n->ip);
  n->control = free_port (n->ip);
  n->link = free_port (n->ip);
  n->app = free_port (n->ip);
  n->slots = 64;
}

static void
settings_path (int node, char *path, size_t size)
{
  snprintf (path, size, "%s/%s.json", folder, rig_nodes[node].name);
}

// Replaces every occurrence; the caller frees the result, and text is freed.
static char *
replace (char *text, const char *from, const char *to)
{
  char *at = strstr (text, from);
  size_t size;
  char *out;

  if (at == NULL)
    return text;
  size = strlen (text) + strlen (to) + 1;
  out = malloc (size);
  snprintf (out, size, "%.*s%s%s", (int)(at - text), text, to, at + strlen (from));
  free (text);
  return replace (out, from, to);
}

static char *
read_file (const char *path)
{
  FILE *f = fopen (path, "r");
  char *text = calloc (1, SPEC_MAX);

  if (f == NULL || fread (text, 1, SPEC_MAX - 1, f) == 0)
    rig_give_up ("the settings template can't be read");
  fclose (f);
  return text;
}

static void
add_zone (char *list, size_t size, const char *zone)
{
  char quoted[RIG_TEXT_MAX + 4];
  size_t n = strlen (list);

  snprintf (quoted, sizeof quoted, "\"%s\"", zone);
  if (strstr (list, quoted) == NULL)
    snprintf (list + n, size - n, "%s%s", n > 0 ? "," : "", quoted);
}

// Fills in the template of the deploy file as the platform does.
static void
write_settings (int node)
{
  const RigNode *n = &rig_nodes[node];
  char value[1024] = "";
  char path[512];
  char *text = read_file (TEMPLATE);
  FILE *f;

  for (int i = 0; i < rig_n_nodes; i++)
    add_zone (value, sizeof value, rig_nodes[i].zone);
  text = replace (text, "{{#zones}}\"{{@}}\"{{,}}{{/zones}}", value);
  text = replace (text, "{{nodeName}}", n->name);
  text = replace (text, "{{zone}}", n->zone);
  text = replace (text, "{{region}}", "north");
  snprintf (value, sizeof value, "%s:%d", n->ip, n->outbound);
  text = replace (text, "{{listen.outbound}}", value);
  snprintf (value, sizeof value, "%s:%d", n->ip, n->control);
  text = replace (text, "{{listen.control}}", value);
  snprintf (value, sizeof value, "%s:%d", n->ip, n->ready);
  text = replace (text, "{{listen.ready}}", value);
  text = replace (text, "{{ip}}", n->ip);
  snprintf (value, sizeof value, "%d", n->link);
  text = replace (text, "{{portRange.0}}", value);
  text = replace (text, "{{service}}", n->service);
  snprintf (value, sizeof value, "%s:%d", n->ip, n->app);
  text = replace (text, "{{appAddr}}", value);
  snprintf (value, sizeof value, "127.0.0.1:%d", store_port);
  text = replace (text, "{{platform.address}}", value);
  snprintf (value, sizeof value, "%g", STANDIN_HEARTBEAT_S);
  text = replace (text, "{{heartbeatS}}", value);
  snprintf (value, sizeof value, "%d", GRACE_S);
  text = replace (text, "{{bounds.graceS}}", value);
  settings_path (node, path, sizeof path);
  f = fopen (path, "w");
  if (f == NULL || strstr (text, "{{") != NULL)
    rig_give_up ("the settings can't be written, or the template has another placeholder");
  fputs (text, f);
  fclose (f);
  free (text);
}

void
rig_start (const char *routes, RigHandler handler)
{
  store_port = standin_start_store (routes);
  for (int i = 0; i < rig_n_nodes; i++)
    standin_start_backend (i, handler);
  for (int i = 0; i < rig_n_nodes; i++)
    write_settings (i);
  rig_thread (run_starter, NULL);
  for (int i = 0; i < rig_n_nodes; i++)
    rig_start_daemon (i);
  for (int i = 0; i < rig_n_nodes; i++)
    if (!rig_wait_ready (i, READY_S))
      rig_give_up ("a daemon doesn't become ready");
  // All machines are in touch, and all back ends have announced themselves.
  rig_sleep (CONTACT_S + 1);
  rig_record ("all daemons are ready and in touch");
}

bool
rig_wait_ready (int node, double seconds)
{
  const RigNode *n = &rig_nodes[node];
  double until = rig_now () + seconds;
  RigHead h = { 0 };

  while (h.status != 200 && rig_now () < until)
    {
      RigStream *s = calloc (1, sizeof *s);

      s->fd = standin_connect (n->ip, n->ready, 0);
      if (s->fd < 0 || !rig_printf (s->fd, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
          || !rig_read_head (s, &h) || h.status != 200)
        rig_sleep (0.05);
      if (s->fd >= 0)
        close (s->fd);
      free (s);
    }
  return h.status == 200;
}

// Only calls that are safe between fork () and exec () of a process with threads.
static void
become_daemon (const char *path, const char *log_path, pid_t parent)
{
  int log = open (log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () == parent && dup2 (log, STDOUT_FILENO) >= 0 && dup2 (log, STDERR_FILENO) >= 0)
    {
      signal (SIGPIPE, SIG_DFL);
      execl (PROGRAM, PROGRAM, "--config", path, (char *)NULL);
    }
  _exit (2);
}

// Starts the daemons for all threads: a daemon is killed at the end of the thread that started it,
// which is to be the end of the process.
static void *
run_starter (void *data)
{
  pid_t parent = getpid ();

  (void)data;
  for (;;)
    {
      RigNode *n;
      char path[512];
      char log_path[600];

      pthread_mutex_lock (&start_lock);
      while (node_to_start < 0)
        pthread_cond_wait (&start_changed, &start_lock);
      n = &rig_nodes[node_to_start];
      settings_path (node_to_start, path, sizeof path);
      snprintf (log_path, sizeof log_path, "%s.log", path);
      n->pid = fork ();
      if (n->pid == 0)
        become_daemon (path, log_path, parent);
      node_to_start = -1;
      pthread_cond_broadcast (&start_changed);
      pthread_mutex_unlock (&start_lock);
    }
  return NULL;
}

void
rig_start_daemon (int node)
{
  pthread_mutex_lock (&start_lock);
  while (node_to_start >= 0)
    pthread_cond_wait (&start_changed, &start_lock);
  node_to_start = node;
  pthread_cond_broadcast (&start_changed);
  while (node_to_start == node)
    pthread_cond_wait (&start_changed, &start_lock);
  pthread_mutex_unlock (&start_lock);
  if (rig_nodes[node].pid < 0)
    rig_give_up ("no process could be started");
  rig_record ("%s starts, process %d", rig_nodes[node].name, (int)rig_nodes[node].pid);
}

void
rig_signal (int node, int signal_number)
{
  if (rig_nodes[node].pid > 0)
    kill (rig_nodes[node].pid, signal_number);
  rig_record ("signal %d to %s", signal_number, rig_nodes[node].name);
}

bool
rig_wait_exit (int node, double seconds)
{
  RigNode *n = &rig_nodes[node];
  double until = rig_now () + seconds;
  bool has_ended = false;

  while (n->pid > 0 && !has_ended && rig_now () < until)
    {
      has_ended = waitpid (n->pid, NULL, WNOHANG) == n->pid;
      if (!has_ended)
        rig_sleep (0.01);
    }
  if (!has_ended && n->pid > 0)
    {
      kill (n->pid, SIGKILL);
      waitpid (n->pid, NULL, 0);
    }
  rig_record ("%s has ended%s", n->name, has_ended ? "" : ", killed");
  n->pid = 0;
  return has_ended;
}

double
rig_memory_mb (int node)
{
  char path[64];
  long total = 0;
  long resident = 0;
  FILE *f;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)rig_nodes[node].pid);
  f = rig_nodes[node].pid > 0 ? fopen (path, "r") : NULL;
  if (f == NULL)
    return 0;
  if (fscanf (f, "%ld %ld", &total, &resident) != 2) // NOLINT(cert-err34-c)
    resident = 0;
  fclose (f);
  return (double)(resident * page_size_mb_scale ()) * MEMORY_PAGE_MB;
}

// Pages of this system in multiples of 4 KB.
static long
page_size_mb_scale (void)
{
  return sysconf (_SC_PAGESIZE) / 4096;
}

static void
end_all (void)
{
  char path[512];
  char log_path[600];

  for (int i = 0; i < rig_n_nodes; i++)
    if (rig_nodes[i].pid > 0)
      {
        kill (rig_nodes[i].pid, SIGKILL);
        waitpid (rig_nodes[i].pid, NULL, 0);
      }
  if (getenv ("KEEP_LOGS") != NULL)
    {
      fprintf (stderr, "logs: %s\n", folder);
      return;
    }
  for (int i = 0; i < rig_n_nodes; i++)
    {
      settings_path (i, path, sizeof path);
      snprintf (log_path, sizeof log_path, "%s.log", path);
      unlink (path);
      unlink (log_path);
    }
  rmdir (folder);
}

void
rig_finish (bool is_broken)
{
  rig_record ("result: %s", is_broken ? "the rule was broken" : "the rule held");
  printf ("%s\n", is_broken ? "the rule was broken" : "the rule held");
  end_all ();
  fflush (NULL);
  _exit (is_broken ? 1 : 0);
}

void
rig_give_up (const char *why)
{
  if (record != NULL)
    rig_record ("the case couldn't run: %s", why);
  fprintf (stderr, "the case couldn't run: %s\n", why);
  end_all ();
  _exit (2);
}

void
standin_set_timeouts (int fd, double seconds)
{
  struct timeval t = { (time_t)seconds, 0 };
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int
standin_connect (const char *ip, int port, int receive_buffer)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, ip, &a.sin_addr);
  standin_set_timeouts (fd, CLIENT_TIMEOUT_S);
  if (receive_buffer > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

int
rig_connect (int node, int receive_buffer)
{
  return standin_connect (rig_nodes[node].ip, rig_nodes[node].outbound, receive_buffer);
}

bool
rig_send (int fd, const void *data, size_t n)
{
  const char *at = data;

  while (n > 0)
    {
      ssize_t sent = send (fd, at, n, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      at += sent;
      n -= (size_t)sent;
    }
  return true;
}

bool
rig_printf (int fd, const char *format, ...)
{
  char text[SPEC_MAX];
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (text, sizeof text, format, args);
  va_end (args);
  return n >= 0 && (size_t)n < sizeof text && rig_send (fd, text, (size_t)n);
}

static bool
fill (RigStream *s)
{
  size_t room = sizeof s->buffer - 1 - s->n;
  ssize_t n = recv (s->fd, s->buffer + s->n, room < READ_BYTES ? room : READ_BYTES, 0);

  if (n <= 0)
    return false;
  s->n += (size_t)n;
  s->buffer[s->n] = '\0';
  return true;
}

static void
consume (RigStream *s, size_t n)
{
  memmove (s->buffer, s->buffer + n, s->n - n);
  s->n -= n;
  s->buffer[s->n] = '\0';
}

static void
read_field (const char *line, RigHead *h)
{
  if (strncasecmp (line, "X-Request-Id: ", 14) == 0)
    snprintf (h->id, sizeof h->id, "%.*s", (int)strcspn (line + 14, "\r"), line + 14);
  else if (strncasecmp (line, "Content-Length: ", 16) == 0)
    h->length = strtol (line + 16, NULL, 10);
  else if (strncasecmp (line, "Connection: close", 17) == 0)
    h->closes = true;
  else if (strncasecmp (line, "X-Response-Seal: ", 17) == 0)
    h->has_seal = true;
}

bool
rig_read_head (RigStream *s, RigHead *h)
{
  const char *end;

  *h = (RigHead){ .length = -1 };
  s->buffer[s->n] = '\0';
  while ((end = strstr (s->buffer, "\r\n\r\n")) == NULL)
    if (s->n >= sizeof s->buffer - 1 || !fill (s))
      return false;
  if (strncmp (s->buffer, "HTTP/1.1 ", 9) == 0)
    h->status = (int)strtol (s->buffer + 9, NULL, 10);
  else if (sscanf (s->buffer, "%63s %255s", h->method, h->path) != 2)
    return false;
  for (const char *line = strstr (s->buffer, "\r\n"); line != NULL && line < end;
       line = strstr (line + 2, "\r\n"))
    read_field (line + 2, h);
  consume (s, (size_t)(end - s->buffer) + 4);
  return true;
}

size_t
rig_read_body (RigStream *s, size_t n)
{
  size_t got = 0;

  while (got < n)
    {
      size_t taken = s->n < n - got ? s->n : n - got;

      consume (s, taken);
      got += taken;
      if (got < n && !fill (s))
        break;
    }
  return got;
}

bool
rig_request (int fd, const char *method, const char *path, const char *id, size_t body_bytes)
{
  char *body = calloc (1, body_bytes + 1);
  bool is_sent;

  memset (body, 'b', body_bytes);
  is_sent = rig_printf (fd,
                        "%s %s HTTP/1.1\r\nHost: " HOST "\r\nX-Request-Id: %s\r\n"
                        "X-Deadline-Ms: 8000\r\nContent-Length: %zu\r\n\r\n",
                        method,
                        path,
                        id,
                        body_bytes)
            && rig_send (fd, body, body_bytes);
  free (body);
  return is_sent;
}
