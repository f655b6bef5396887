// bj-fault: TCP and UDP proxy that injects faults between processes.
//
//   bj-fault --control PORT --tcp TAG=IP:PORT/IP:PORT ... --udp TAG=IP:PORT/IP:PORT ...
//
// Each listener has a tag and a target. POST /control/rule?tag=T&src=S&mode=M&value=V sets the rule
// for traffic from source address S ("*" for any) to the listeners of tag T. GET
// /control/bytes?tag=T prints the number of bytes forwarded for tag T. Modes:
//
//   ok       forwards all traffic and ends the other modes of the rule
//   cut      resets open and new connections, drops datagrams
//   hold     drops all data; connections stay open until a peer closes them
//   oneway   drops data from the target, forwards data to it
//   silence  drops all data of the connections now open, for good; new ones are not affected
//   reset    resets the connections now open; new ones are not affected
//   lose     forwards requests; resets the connection instead of forwarding the response, V times
//   delay    delays data by V ms in each direction
//   rate     forwards V bytes per second in each direction, shared by all connections of the rule
//
// Datagrams are affected by ok, cut and hold only.

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536                // most bytes read at once
#define BUFFERED_BYTES_MAX (256 * 1024) // per flow; reading pauses above it
#define LISTEN_BACKLOG 512
#define DATAGRAM_BYTES_MAX 65536

typedef enum
{
  MODE_OK,
  MODE_CUT,
  MODE_HOLD,
  MODE_ONEWAY,
  MODE_SILENCE,
  MODE_RESET,
  MODE_LOSE,
  MODE_DELAY,
  MODE_RATE,
  MODES,
} Mode;

typedef struct
{
  char tag[64];
  char src[32];
  bool enabled[MODES];
  double value[MODES];   // parameter V of each mode
  double next_send_s[2]; // time at which mode rate lets the next chunk to or from the target pass
} Rule;

typedef struct
{
  char tag[64];
  bool is_tcp;
  int fd;
  struct sockaddr_in target;
  ev_io io;
} Listener;

typedef struct
{
  double due_s; // earliest time to send, in seconds
  GBytes *data;
} Chunk;

typedef struct Connection Connection;

typedef struct
{
  Connection *connection;
  int from;            // socket to read
  int to;              // socket to write
  bool is_from_target; // carries data from the target
  bool is_read_closed; // end of stream was read from `from`
  size_t n_buffered;   // bytes in chunks
  size_t n_head_sent;  // bytes of the first chunk already sent
  GQueue chunks;
  ev_io read;
  ev_io write;
  ev_timer timer;
} Flow;

struct Connection
{
  Listener *listener;
  char src[32];
  bool is_silent; // mode silence was set while the connection was open
  bool is_connected;
  Flow flows[2]; // towards the target, and from it
};

static const char *const mode_names[MODES]
    = { "ok", "cut", "hold", "oneway", "silence", "reset", "lose", "delay", "rate" };
static struct ev_loop *loop;
static struct MHD_Daemon *control;
static GPtrArray *rules;
static GPtrArray *listeners;
static GHashTable *connections;
static GHashTable *bytes_by_tag;

static bool add_listener (const char *text, bool is_tcp);
static bool read_address (const char *text, struct sockaddr_in *a);
static void on_accept (struct ev_loop *l, ev_io *w, int events);
static void on_datagram (struct ev_loop *l, ev_io *w, int events);
static void open_connection (Listener *l, int fd, const char *src);
static void init_flow (Flow *f, Connection *conn, int from, int to, bool is_from_target);
static void on_read (struct ev_loop *l, ev_io *w, int events);
static void on_write (struct ev_loop *l, ev_io *w, int events);
static void on_chunk_due (struct ev_loop *l, ev_timer *w, int events);
static void forward_data (Flow *f, const char *data, size_t n);
static void flush_flow (Flow *f);
static void close_connection (Connection *conn, bool reset);
static Rule *find_rule (const char *tag, const char *src);
static double compute_due_time (Rule *r, bool is_from_target, size_t n);
static void count_bytes (const char *tag, size_t n);
static enum MHD_Result on_control (void *cls,
                                   struct MHD_Connection *conn,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *data,
                                   size_t *size,
                                   void **state);
static int set_rule (const char *tag, const char *src, const char *mode, const char *value);
static void apply_mode (Rule *r, Mode m);
static void on_control_timer (struct ev_loop *l, ev_timer *w, int events);

int
main (int argc, char **argv)
{
  ev_timer poll;
  int port = 0;

  loop = ev_default_loop (0);
  rules = g_ptr_array_new ();
  listeners = g_ptr_array_new ();
  connections = g_hash_table_new (NULL, NULL);
  bytes_by_tag = g_hash_table_new (g_str_hash, g_str_equal);
  for (int i = 1; i + 1 < argc; i += 2)
    {
      bool ok = true;

      if (strcmp (argv[i], "--control") == 0)
        port = atoi (argv[i + 1]);
      else
        ok = add_listener (argv[i + 1], strcmp (argv[i], "--tcp") == 0);
      if (!ok)
        {
          fprintf (stderr,
                   "bj-fault: cannot open listener %s %s: malformed, or address in use.\n",
                   argv[i],
                   argv[i + 1]);
          return 1;
        }
    }
  control = MHD_start_daemon (MHD_USE_EPOLL,
                              (uint16_t)port,
                              NULL,
                              NULL,
                              on_control,
                              NULL,
                              MHD_OPTION_LISTENING_ADDRESS_REUSE,
                              1U,
                              MHD_OPTION_END);
  if (port == 0 || control == NULL)
    {
      fprintf (stderr,
               "Usage: bj-fault --control PORT --tcp TAG=IP:PORT/IP:PORT ... --udp "
               "TAG=IP:PORT/IP:PORT ...\n");
      return 2;
    }
  ev_timer_init (&poll, on_control_timer, 0, 0.005);
  ev_timer_start (loop, &poll);
  ev_run (loop, 0);
  return 0;
}

static bool
add_listener (const char *text, bool is_tcp)
{
  char **parts = g_strsplit_set (text, "=/", 3);
  Listener *l = g_new0 (Listener, 1);
  struct sockaddr_in addr;
  int on = 1;

  l->is_tcp = is_tcp;
  l->fd = socket (AF_INET, (is_tcp ? SOCK_STREAM : SOCK_DGRAM) | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (l->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (g_strv_length (parts) != 3 || !read_address (parts[1], &addr)
      || !read_address (parts[2], &l->target)
      || bind (l->fd, (struct sockaddr *)&addr, sizeof addr) != 0
      || (is_tcp && listen (l->fd, LISTEN_BACKLOG) != 0))
    {
      g_free (l);
      return false;
    }
  g_strlcpy (l->tag, parts[0], sizeof l->tag);
  g_strfreev (parts);
  ev_io_init (&l->io, is_tcp ? on_accept : on_datagram, l->fd, EV_READ);
  l->io.data = l;
  ev_io_start (loop, &l->io);
  g_ptr_array_add (listeners, l);
  return true;
}

static bool
read_address (const char *text, struct sockaddr_in *a)
{
  char **parts = g_strsplit (text, ":", 2);
  bool ok = g_strv_length (parts) == 2;

  memset (a, 0, sizeof *a);
  a->sin_family = AF_INET;
  ok = ok && inet_pton (AF_INET, parts[0], &a->sin_addr) == 1;
  if (ok)
    a->sin_port = htons ((uint16_t)atoi (parts[1]));
  g_strfreev (parts);
  return ok;
}

static void
on_accept (struct ev_loop *l, ev_io *w, int events)
{
  Listener *listener = w->data;
  struct sockaddr_in from;
  socklen_t len = sizeof from;
  char src[32];
  int fd;

  (void)l;
  (void)events;
  while ((fd = accept4 (listener->fd, (struct sockaddr *)&from, &len, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      inet_ntop (AF_INET, &from.sin_addr, src, sizeof src);
      open_connection (listener, fd, src);
    }
}

static void
on_datagram (struct ev_loop *l, ev_io *w, int events)
{
  Listener *listener = w->data;
  struct sockaddr_in from;
  socklen_t len = sizeof from;
  char data[DATAGRAM_BYTES_MAX];
  char src[32];
  ssize_t n;

  (void)l;
  (void)events;
  while ((n = recvfrom (listener->fd, data, sizeof data, 0, (struct sockaddr *)&from, &len)) > 0)
    {
      const Rule *r;

      inet_ntop (AF_INET, &from.sin_addr, src, sizeof src);
      r = find_rule (listener->tag, src);
      if (r != NULL && (r->enabled[MODE_CUT] || r->enabled[MODE_HOLD]))
        continue;
      count_bytes (listener->tag, (size_t)n);
      sendto (listener->fd,
              data,
              (size_t)n,
              0,
              (struct sockaddr *)&listener->target,
              sizeof listener->target);
    }
}

static void
open_connection (Listener *l, int fd, const char *src)
{
  const Rule *r = find_rule (l->tag, src);
  struct linger abort_close = { 1, 0 };
  int on = 1;
  int out;
  Connection *conn;

  if (r != NULL && r->enabled[MODE_CUT])
    {
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &abort_close, sizeof abort_close);
      close (fd);
      return;
    }
  out = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (out, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  (void)connect (out, (struct sockaddr *)&l->target, sizeof l->target);
  conn = g_new0 (Connection, 1);
  conn->listener = l;
  g_strlcpy (conn->src, src, sizeof conn->src);
  init_flow (&conn->flows[0], conn, fd, out, false);
  init_flow (&conn->flows[1], conn, out, fd, true);
  g_hash_table_add (connections, conn);
  ev_io_start (loop, &conn->flows[0].read);
  ev_io_start (loop, &conn->flows[0].write);
}

static void
init_flow (Flow *f, Connection *conn, int from, int to, bool is_from_target)
{
  f->connection = conn;
  f->from = from;
  f->to = to;
  f->is_from_target = is_from_target;
  g_queue_init (&f->chunks);
  ev_io_init (&f->read, on_read, from, EV_READ);
  ev_io_init (&f->write, on_write, to, EV_WRITE);
  ev_timer_init (&f->timer, on_chunk_due, 0, 0);
  f->read.data = f;
  f->write.data = f;
  f->timer.data = f;
}

static void
on_read (struct ev_loop *l, ev_io *w, int events)
{
  Flow *f = w->data;
  char data[READ_BYTES];
  ssize_t n = recv (f->from, data, sizeof data, 0);

  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n < 0)
    {
      close_connection (f->connection, true);
      return;
    }
  if (n == 0)
    {
      f->is_read_closed = true;
      ev_io_stop (l, w);
      flush_flow (f);
      return;
    }
  forward_data (f, data, (size_t)n);
}

static void
forward_data (Flow *f, const char *data, size_t n)
{
  Rule *r = find_rule (f->connection->listener->tag, f->connection->src);
  Chunk *c;

  if (f->connection->is_silent || (r != NULL && r->enabled[MODE_HOLD])
      || (r != NULL && r->enabled[MODE_ONEWAY] && f->is_from_target))
    return;
  if (r != NULL && r->enabled[MODE_LOSE] && f->is_from_target)
    {
      r->enabled[MODE_LOSE] = --r->value[MODE_LOSE] > 0;
      close_connection (f->connection, true);
      return;
    }
  count_bytes (f->connection->listener->tag, n);
  c = g_new (Chunk, 1);
  c->due_s = compute_due_time (r, f->is_from_target, n);
  c->data = g_bytes_new (data, n);
  f->n_buffered += n;
  g_queue_push_tail (&f->chunks, c);
  if (f->n_buffered > BUFFERED_BYTES_MAX)
    ev_io_stop (loop, &f->read);
  flush_flow (f);
}

static void
on_write (struct ev_loop *l, ev_io *w, int events)
{
  Flow *f = w->data;

  (void)events;
  ev_io_stop (l, w);
  if (!f->connection->is_connected)
    {
      int error = 0;
      socklen_t len = sizeof error;

      getsockopt (f->to, SOL_SOCKET, SO_ERROR, &error, &len);
      if (error != 0)
        {
          close_connection (f->connection, true);
          return;
        }
      f->connection->is_connected = true;
      ev_io_start (l, &f->connection->flows[1].read);
    }
  flush_flow (f);
}

static void
on_chunk_due (struct ev_loop *l, ev_timer *w, int events)
{
  (void)l;
  (void)events;
  flush_flow (w->data);
}

static void
flush_flow (Flow *f)
{
  double now = ev_time ();

  while (f->connection->is_connected && !g_queue_is_empty (&f->chunks))
    {
      Chunk *c = g_queue_peek_head (&f->chunks);
      gsize size;
      const char *data = g_bytes_get_data (c->data, &size);
      ssize_t n;

      if (c->due_s > now)
        {
          ev_timer_stop (loop, &f->timer);
          ev_timer_set (&f->timer, c->due_s - now, 0);
          ev_timer_start (loop, &f->timer);
          return;
        }
      n = send (f->to, data + f->n_head_sent, size - f->n_head_sent, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        {
          ev_io_start (loop, &f->write);
          return;
        }
      if (n < 0)
        {
          close_connection (f->connection, true);
          return;
        }
      f->n_head_sent += (size_t)n;
      if (f->n_head_sent < size)
        continue;
      f->n_head_sent = 0;
      f->n_buffered -= size;
      g_bytes_unref (c->data);
      g_free (g_queue_pop_head (&f->chunks));
    }
  if (!f->is_read_closed && f->n_buffered <= BUFFERED_BYTES_MAX / 2
      && (f->connection->is_connected || !f->is_from_target))
    ev_io_start (loop, &f->read);
  if (f->is_read_closed && g_queue_is_empty (&f->chunks))
    shutdown (f->to, SHUT_WR);
  if (f->connection->flows[0].is_read_closed && f->connection->flows[1].is_read_closed
      && g_queue_is_empty (&f->connection->flows[0].chunks)
      && g_queue_is_empty (&f->connection->flows[1].chunks))
    close_connection (f->connection, false);
}

static void
close_connection (Connection *conn, bool reset)
{
  struct linger abort_close = { 1, 0 };

  for (int i = 0; i < 2; i++)
    {
      Flow *f = &conn->flows[i];
      Chunk *c;

      ev_io_stop (loop, &f->read);
      ev_io_stop (loop, &f->write);
      ev_timer_stop (loop, &f->timer);
      while ((c = g_queue_pop_head (&f->chunks)) != NULL)
        {
          g_bytes_unref (c->data);
          g_free (c);
        }
      if (reset)
        setsockopt (f->from, SOL_SOCKET, SO_LINGER, &abort_close, sizeof abort_close);
      close (f->from);
    }
  g_hash_table_remove (connections, conn);
  g_free (conn);
}

static Rule *
find_rule (const char *tag, const char *src)
{
  Rule *any = NULL;

  for (guint i = 0; i < rules->len; i++)
    {
      Rule *r = rules->pdata[i];

      if (strcmp (r->tag, tag) != 0)
        continue;
      if (strcmp (r->src, src) == 0)
        return r;
      if (strcmp (r->src, "*") == 0)
        any = r;
    }
  return any;
}

static double
compute_due_time (Rule *r, bool is_from_target, size_t n)
{
  double now = ev_time ();
  double due_s = now;

  if (r != NULL && r->enabled[MODE_RATE])
    {
      double *next_s = &r->next_send_s[is_from_target];

      *next_s = MAX (*next_s, now) + (double)n / r->value[MODE_RATE];
      due_s = *next_s;
    }
  if (r != NULL && r->enabled[MODE_DELAY])
    due_s += r->value[MODE_DELAY] / 1000.0;
  return due_s;
}

static void
count_bytes (const char *tag, size_t n)
{
  gsize old = GPOINTER_TO_SIZE (g_hash_table_lookup (bytes_by_tag, tag));

  g_hash_table_insert (bytes_by_tag, (gpointer)tag, GSIZE_TO_POINTER (old + n));
}

static enum MHD_Result
on_control (void *cls,
            struct MHD_Connection *conn,
            const char *url,
            const char *method,
            const char *version,
            const char *data,
            size_t *size,
            void **state)
{
  static int seen;
  const char *tag = MHD_lookup_connection_value (conn, MHD_GET_ARGUMENT_KIND, "tag");
  char text[64] = "{}\n";
  struct MHD_Response *r;
  enum MHD_Result result;
  int status;

  (void)cls;
  (void)method;
  (void)version;
  (void)data;
  if (*state == NULL)
    {
      *state = &seen;
      return MHD_YES;
    }
  *size = 0;
  if (tag != NULL && strcmp (url, "/control/bytes") == 0)
    {
      status = 200;
      g_snprintf (text,
                  sizeof text,
                  "%" G_GSIZE_FORMAT "\n",
                  GPOINTER_TO_SIZE (g_hash_table_lookup (bytes_by_tag, tag)));
    }
  else
    status = set_rule (tag,
                       MHD_lookup_connection_value (conn, MHD_GET_ARGUMENT_KIND, "src"),
                       MHD_lookup_connection_value (conn, MHD_GET_ARGUMENT_KIND, "mode"),
                       MHD_lookup_connection_value (conn, MHD_GET_ARGUMENT_KIND, "value"));
  r = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_COPY);
  result = MHD_queue_response (conn, (unsigned int)status, r);
  MHD_destroy_response (r);
  return result;
}

static int
set_rule (const char *tag, const char *src, const char *mode, const char *value)
{
  Rule *r = NULL;

  if (tag == NULL || src == NULL || mode == NULL)
    return 400;
  for (guint i = 0; i < rules->len; i++)
    if (strcmp (((Rule *)rules->pdata[i])->tag, tag) == 0
        && strcmp (((Rule *)rules->pdata[i])->src, src) == 0)
      r = rules->pdata[i];
  if (r == NULL)
    {
      r = g_new0 (Rule, 1);
      g_strlcpy (r->tag, tag, sizeof r->tag);
      g_strlcpy (r->src, src, sizeof r->src);
      g_ptr_array_add (rules, r);
    }
  for (int m = 0; m < MODES; m++)
    if (strcmp (mode_names[m], mode) == 0)
      {
        r->value[m] = value != NULL ? g_ascii_strtod (value, NULL) : 1;
        apply_mode (r, (Mode)m);
        return 200;
      }
  return 400;
}

static void
apply_mode (Rule *r, Mode m)
{
  GList *all = g_hash_table_get_keys (connections);

  r->enabled[m] = true;
  if (m == MODE_OK)
    memset (r->enabled, 0, sizeof r->enabled);
  if (m == MODE_SILENCE || m == MODE_RESET)
    r->enabled[m] = false;
  for (GList *i = all; i != NULL; i = i->next)
    {
      Connection *conn = i->data;

      if (strcmp (conn->listener->tag, r->tag) != 0
          || (strcmp (r->src, "*") != 0 && strcmp (r->src, conn->src) != 0))
        continue;
      if (m == MODE_SILENCE)
        conn->is_silent = true;
      if (m == MODE_CUT || m == MODE_RESET)
        close_connection (conn, true);
    }
  g_list_free (all);
}

static void
on_control_timer (struct ev_loop *l, ev_timer *w, int events)
{
  (void)l;
  (void)w;
  (void)events;
  MHD_run (control);
}
