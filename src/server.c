// Server: HTTP/1.1 connections of callers, read by http-parser. One request a connection at a time;
// bytes behind it wait until it is answered.

#include "internal.h"
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <http_parser.h>
#include <limits.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 1024
#define ACCEPTS_AT_ONCE 64 // connections taken before other events have their turn
#define READ_BLOCK 65536   // bytes read at once
#define AHEAD_MAX 65536    // bytes of later requests kept while one is answered
#define SWEEP_MS 100       // between two looks for connections past their time
#define LINGER_MS 1000     // for a caller to read an error before its connection is closed
#define SILENCE_MS 10000   // of a caller that takes no byte of its answer

typedef enum
{
  IDLE,      // between requests
  HEAD,      // within a request's head
  BODY,      // within its body
  ANSWERING, // read whole, its answer is not
  LINGERING, // answered, what still comes is dropped
} ConnState;

struct BjServerConn
{
  BjServer *server;
  int fd;
  ev_io read;
  ev_io write;
  http_parser parser;
  ConnState state;
  BjTime since; // when the state began, or the last byte was written
  BjMessage head;
  GString *body;
  GString *ahead; // bytes behind the request that is answered
  GString *out;
  size_t out_at;    // written from out
  size_t body_out;  // of out, bytes of body not yet told as drained
  void *call;       // told of left and drained
  int error_status; // to be answered in place of a call, 0 for none
  bool keeps;       // the connection serves another request
  bool in_chunks;
  bool no_body; // of the answer to HEAD
  bool is_dirty;
  bool is_ended; // the answer is complete in out
  bool is_closed;
};

struct BjServer
{
  struct ev_loop *loop;
  int fd;
  ev_io accept;
  ev_timer sweep;
  const BjServerOps *ops;
  void *data;
  BjCallerLimits limits;
  GHashTable *conns; // set of BjServerConn*
  GPtrArray *dirty;  // with bytes to write
  GPtrArray *dead;   // closed, freed at the end of the turn
  bool is_closing;
  int n_open;
  int conns_max; // above it, the one that is idle longest is closed for a new one
};

static void on_accept (struct ev_loop *loop, ev_io *w, int events);
static void make_room (BjServer *s);
static void add_conn (BjServer *s, int fd);
static void on_read (struct ev_loop *loop, ev_io *w, int events);
static void on_write (struct ev_loop *loop, ev_io *w, int events);
static void on_sweep (struct ev_loop *loop, ev_timer *w, int events);
static void look_at (BjServerConn *c, BjTime now);
static void parse (BjServerConn *c, const char *data, size_t n);
static void parse_ahead (BjServerConn *c);
static int on_begin (http_parser *p);
static int check_head (BjServerConn *c);
static int on_url (http_parser *p, const char *data, size_t n);
static int on_field (http_parser *p, const char *data, size_t n);
static int on_value (http_parser *p, const char *data, size_t n);
static int on_headers (http_parser *p);
static int on_body (http_parser *p, const char *data, size_t n);
static int on_complete (http_parser *p);
static void hand_over (BjServerConn *c);
static void answer_error (BjServerConn *c, int status);
static void set_state (BjServerConn *c, ConnState state);
static void finish (BjServerConn *c);
static void mark_dirty (BjServerConn *c);
static bool write_out (BjServerConn *c);
static void close_conn (BjServerConn *c);
static void free_conn (BjServerConn *c);

static const http_parser_settings parser_settings = {
  .on_message_begin = on_begin,
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_headers,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

BjStatus
bj_server_new (struct ev_loop *loop,
               const char *name,
               BjAddress a,
               const BjServerOps *ops,
               void *data,
               BjServer **server)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)a.port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;
  BjServer *s;

  inet_pton (AF_INET, a.host.data, &addr.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *)&addr, sizeof addr) != 0 || listen (fd, BACKLOG) != 0)
    {
      BjStatus status = bj_fail (BJ_E_IO,
                                 "settings.%s: %s:%d can't be opened: %s.",
                                 name,
                                 a.host.data,
                                 a.port,
                                 g_strerror (errno));

      if (fd >= 0)
        close (fd);
      return status;
    }
  s = g_new0 (BjServer, 1);
  s->loop = loop;
  s->fd = fd;
  s->ops = ops;
  s->data = data;
  s->limits = (BjCallerLimits)BJ_CALLER_LIMITS_DEFAULT;
  s->conns_max = INT_MAX;
  s->conns = g_hash_table_new (NULL, NULL);
  s->dirty = g_ptr_array_new ();
  s->dead = g_ptr_array_new ();
  ev_io_init (&s->accept, on_accept, fd, EV_READ);
  ev_timer_init (&s->sweep, on_sweep, SWEEP_MS / 1000.0, SWEEP_MS / 1000.0);
  s->accept.data = s;
  s->sweep.data = s;
  ev_io_start (loop, &s->accept);
  ev_timer_start (loop, &s->sweep);
  *server = s;
  return BJ_OK;
}

void
bj_server_free (BjServer *s)
{
  GList *all;

  if (s == NULL)
    return;
  all = g_hash_table_get_keys (s->conns);
  for (GList *i = all; i != NULL; i = i->next)
    close_conn (i->data);
  g_list_free (all);
  bj_server_flush (s);
  bj_server_quiesce (s);
  ev_timer_stop (s->loop, &s->sweep);
  g_hash_table_destroy (s->conns);
  g_ptr_array_free (s->dirty, TRUE);
  g_ptr_array_free (s->dead, TRUE);
  g_free (s);
}

void
bj_server_limit (BjServer *s, const BjCallerLimits *l)
{
  s->limits = *l;
}

void
bj_server_keep (BjServer *s, int n)
{
  s->conns_max = n;
}

void
bj_server_close (BjServer *s)
{
  s->is_closing = true;
}

// Takes over the connections that the system has accepted already, then stops listening.
void
bj_server_quiesce (BjServer *s)
{
  if (s->fd < 0)
    return;
  on_accept (s->loop, &s->accept, EV_READ);
  ev_io_stop (s->loop, &s->accept);
  close (s->fd);
  s->fd = -1;
}

int
bj_server_open (const BjServer *s)
{
  return s->n_open;
}

void
bj_server_flush (BjServer *s)
{
  while (s->dirty->len > 0)
    {
      BjServerConn *c = g_ptr_array_steal_index_fast (s->dirty, s->dirty->len - 1);

      c->is_dirty = false;
      if (!c->is_closed && !write_out (c))
        close_conn (c);
    }
  while (s->dead->len > 0)
    free_conn (g_ptr_array_steal_index_fast (s->dead, s->dead->len - 1));
}

void
bj_server_answer_for (BjServerConn *c, void *call)
{
  c->call = call;
}

void
bj_server_begin (BjServerConn *c, int status, BjStr lines, int64_t length)
{
  if (c->server->is_closing)
    c->keeps = false;
  c->in_chunks = length < 0 && !c->no_body && c->parser.http_minor > 0;
  if (length < 0 && !c->in_chunks && !c->no_body)
    c->keeps = false;
  g_string_append_printf (
      c->out, "HTTP/1.1 %d %s\r\n", status, http_status_str ((enum http_status)status));
  if (lines.len > 0)
    g_string_append_len (c->out, lines.data, (gssize)lines.len);
  if (c->in_chunks)
    g_string_append (c->out, "Transfer-Encoding: chunked\r\n");
  else if (length >= 0)
    g_string_append_printf (c->out, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
  g_string_append (c->out, c->keeps ? "\r\n" : "Connection: close\r\n\r\n");
  mark_dirty (c);
}

size_t
bj_server_held (const BjServerConn *c)
{
  return c->out->len - c->out_at;
}

void
bj_server_data (BjServerConn *c, BjStr part)
{
  if (part.len == 0 || c->no_body)
    return;
  if (c->in_chunks)
    g_string_append_printf (c->out, "%zx\r\n", part.len);
  g_string_append_len (c->out, part.data, (gssize)part.len);
  if (c->in_chunks)
    g_string_append (c->out, "\r\n");
  c->body_out += part.len;
  mark_dirty (c);
}

void
bj_server_end (BjServerConn *c, bool whole)
{
  struct linger reset = { 1, 0 };

  c->call = NULL;
  if (!whole)
    {
      // An answer without a length would look complete if the connection ended in order.
      setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close_conn (c);
      return;
    }
  if (c->in_chunks)
    g_string_append (c->out, "0\r\n\r\n");
  c->is_ended = true;
  mark_dirty (c);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  BjServer *s = w->data;

  (void)loop;
  (void)events;
  for (int i = 0; i < ACCEPTS_AT_ONCE; i++)
    {
      int fd = accept4 (s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd >= 0)
        add_conn (s, fd);
      else if (errno == EMFILE || errno == ENFILE)
        bj_log (BJ_LOG_WARNING, "FRONT", "A caller waits, no descriptor is left.");
      if (fd < 0)
        return;
    }
}

// Connections that wait for nothing make room, so that descriptors are left for links, the store
// and the upstream.
static void
make_room (BjServer *s)
{
  BjServerConn *oldest = NULL;
  GHashTableIter i;
  gpointer key;

  if ((int)g_hash_table_size (s->conns) < s->conns_max)
    return;
  g_hash_table_iter_init (&i, s->conns);
  while (g_hash_table_iter_next (&i, &key, NULL))
    {
      BjServerConn *c = key;

      if (c->state == IDLE && (oldest == NULL || c->since < oldest->since))
        oldest = c;
    }
  if (oldest != NULL)
    close_conn (oldest);
}

static void
add_conn (BjServer *s, int fd)
{
  BjServerConn *c = g_new0 (BjServerConn, 1);
  int on = 1;

  make_room (s);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  c->server = s;
  c->fd = fd;
  c->since = bj_clock_now ();
  c->body = g_string_new (NULL);
  c->ahead = g_string_new (NULL);
  c->out = g_string_new (NULL);
  bj_message_init (&c->head);
  http_parser_init (&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  ev_io_init (&c->read, on_read, fd, EV_READ);
  ev_io_init (&c->write, on_write, fd, EV_WRITE);
  c->read.data = c;
  c->write.data = c;
  ev_io_start (s->loop, &c->read);
  g_hash_table_add (s->conns, c);
}

static void
on_read (struct ev_loop *loop, ev_io *w, int events)
{
  static char buffer[READ_BLOCK];
  BjServerConn *c = w->data;
  ssize_t n = recv (c->fd, buffer, sizeof buffer, 0);

  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      close_conn (c);
      return;
    }
  if (c->state == LINGERING)
    return;
  if (c->state != ANSWERING)
    {
      parse (c, buffer, (size_t)n);
      return;
    }
  g_string_append_len (c->ahead, buffer, n);
  if (c->ahead->len >= AHEAD_MAX)
    ev_io_stop (loop, &c->read);
}

static void
on_write (struct ev_loop *loop, ev_io *w, int events)
{
  BjServerConn *c = w->data;

  (void)events;
  ev_io_stop (loop, w);
  mark_dirty (c);
}

static void
on_sweep (struct ev_loop *loop, ev_timer *w, int events)
{
  BjServer *s = w->data;
  BjTime now = bj_clock_now ();
  GHashTableIter i;
  gpointer c;

  (void)loop;
  (void)events;
  GPtrArray *late = g_ptr_array_new ();

  g_hash_table_iter_init (&i, s->conns);
  while (g_hash_table_iter_next (&i, &c, NULL))
    g_ptr_array_add (late, c);
  for (guint n = 0; n < late->len; n++)
    look_at (late->pdata[n], now);
  g_ptr_array_free (late, TRUE);
}

static void
look_at (BjServerConn *c, BjTime now)
{
  const BjCallerLimits *l = &c->server->limits;
  double age = now - c->since;

  if (c->state == HEAD && age > l->header_timeout_ms)
    answer_error (c, HTTP_STATUS_REQUEST_TIMEOUT);
  else if ((c->state == IDLE || c->state == BODY) && age > l->idle_timeout_ms)
    close_conn (c);
  else if (c->state == LINGERING && age > LINGER_MS)
    close_conn (c);
  else if (c->state == ANSWERING && bj_server_held (c) > 0 && age > SILENCE_MS)
    close_conn (c);
}

static void
parse (BjServerConn *c, const char *data, size_t n)
{
  size_t used = http_parser_execute (&c->parser, &parser_settings, data, n);
  enum http_errno e = HTTP_PARSER_ERRNO (&c->parser);

  if (c->is_closed || c->state == LINGERING)
    return;
  if (e == HPE_PAUSED)
    {
      http_parser_pause (&c->parser, 0);
      if (used < n)
        g_string_append_len (c->ahead, data + used, (gssize)(n - used));
      hand_over (c);
    }
  else if (e != HPE_OK || c->parser.upgrade)
    answer_error (c, c->error_status != 0 ? c->error_status : HTTP_STATUS_BAD_REQUEST);
}

static void
parse_ahead (BjServerConn *c)
{
  GString *bytes;

  if (c->ahead->len == 0 || c->is_closed)
    return;
  bytes = c->ahead;
  c->ahead = g_string_new (NULL);
  parse (c, bytes->str, bytes->len);
  g_string_free (bytes, TRUE);
}

static int
on_begin (http_parser *p)
{
  BjServerConn *c = p->data;

  bj_message_reset (&c->head);
  g_string_truncate (c->body, 0);
  c->error_status = 0;
  set_state (c, HEAD);
  return 0;
}

static int
on_url (http_parser *p, const char *data, size_t n)
{
  BjServerConn *c = p->data;

  g_string_append_len (c->head.path, data, (gssize)n);
  if (c->head.path->len <= c->server->limits.header_bytes)
    return 0;
  c->error_status = HTTP_STATUS_URI_TOO_LONG;
  return -1;
}

static int
check_head (BjServerConn *c)
{
  if (c->head.headers->len <= c->server->limits.header_bytes)
    return 0;
  c->error_status = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
  return -1;
}

static int
on_field (http_parser *p, const char *data, size_t n)
{
  BjServerConn *c = p->data;

  // Fields behind a body in chunks are not relayed.
  if (c->state == BODY)
    return 0;
  // http-parser takes "Name : value"; who reads it otherwise ends the request elsewhere.
  if (memchr (data, ' ', n) != NULL || memchr (data, '\t', n) != NULL)
    {
      c->error_status = HTTP_STATUS_BAD_REQUEST;
      return -1;
    }
  bj_message_field (&c->head, data, n);
  return check_head (c);
}

static int
on_value (http_parser *p, const char *data, size_t n)
{
  BjServerConn *c = p->data;

  if (c->state == BODY)
    return 0;
  bj_message_value (&c->head, data, n);
  return check_head (c);
}

static int
on_headers (http_parser *p)
{
  BjServerConn *c = p->data;
  BjStr headers = bj_message_headers (&c->head);

  if (p->http_major == 1 && p->http_minor > 0 && bj_header_find (headers, "Host").data == NULL)
    {
      c->error_status = HTTP_STATUS_BAD_REQUEST;
      return -1;
    }
  if ((p->flags & F_CONTENTLENGTH) != 0 && p->content_length > c->server->limits.body_bytes)
    {
      c->error_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
      return -1;
    }
  set_state (c, BODY);
  if (bj_header_is (bj_header_find (headers, "Expect"), "100-continue"))
    {
      g_string_append (c->out, "HTTP/1.1 100 Continue\r\n\r\n");
      mark_dirty (c);
    }
  return 0;
}

static int
on_body (http_parser *p, const char *data, size_t n)
{
  BjServerConn *c = p->data;

  c->since = bj_clock_now ();
  if (c->body->len + n > c->server->limits.body_bytes)
    {
      c->error_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
      return -1;
    }
  g_string_append_len (c->body, data, (gssize)n);
  return 0;
}

static int
on_complete (http_parser *p)
{
  http_parser_pause (p, 1);
  return 0;
}

static void
hand_over (BjServerConn *c)
{
  BjHead h = {
    .method = bj_str (http_method_str ((enum http_method)c->parser.method)),
    .path = { c->head.path->str, c->head.path->len },
    .headers = { c->head.headers->str, c->head.headers->len },
    .length = (int64_t)c->body->len,
  };

  c->keeps = http_should_keep_alive (&c->parser) != 0;
  c->no_body = c->parser.method == HTTP_HEAD;
  if (c->error_status != 0)
    {
      answer_error (c, c->error_status);
      return;
    }
  set_state (c, ANSWERING);
  c->server->n_open++;
  c->server->ops->request (c->server->data, c, &h, (BjStr){ c->body->str, c->body->len });
}

// The connection ends behind it: what follows can't be read.
static void
answer_error (BjServerConn *c, int status)
{
  bj_log (BJ_LOG_INFO, "FRONT", "A request was refused with status %d.", status);
  if (c->state == ANSWERING)
    return;
  c->keeps = false;
  set_state (c, LINGERING);
  bj_server_begin (c, status, BJ_STR_NULL, 0);
}

static void
set_state (BjServerConn *c, ConnState state)
{
  c->state = state;
  c->since = bj_clock_now ();
}

// The whole answer is written.
static void
finish (BjServerConn *c)
{
  c->is_ended = false;
  c->server->n_open--;
  if (!c->keeps)
    {
      shutdown (c->fd, SHUT_WR);
      set_state (c, LINGERING);
      return;
    }
  set_state (c, IDLE);
  ev_io_start (c->server->loop, &c->read);
  parse_ahead (c);
}

static void
mark_dirty (BjServerConn *c)
{
  if (c->is_dirty || c->is_closed)
    return;
  c->is_dirty = true;
  g_ptr_array_add (c->server->dirty, c);
}

static bool
write_out (BjServerConn *c)
{
  ssize_t n;
  size_t drained;

  while (c->out_at < c->out->len)
    {
      n = send (c->fd, c->out->str + c->out_at, c->out->len - c->out_at, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        {
          ev_io_start (c->server->loop, &c->write);
          return true;
        }
      if (n <= 0)
        return false;
      c->out_at += (size_t)n;
      c->since = bj_clock_now ();
      drained = MIN ((size_t)n, c->body_out);
      c->body_out -= drained;
      if (c->call != NULL && drained > 0)
        c->server->ops->drained (c->call, drained);
    }
  g_string_truncate (c->out, 0);
  c->out_at = 0;
  if (c->is_ended)
    finish (c);
  else if (c->state == LINGERING)
    shutdown (c->fd, SHUT_WR);
  return true;
}

static void
close_conn (BjServerConn *c)
{
  BjServer *s = c->server;
  void *call = c->call;

  if (c->is_closed)
    return;
  c->is_closed = true;
  c->call = NULL;
  if (c->state == ANSWERING)
    s->n_open--;
  ev_io_stop (s->loop, &c->read);
  ev_io_stop (s->loop, &c->write);
  close (c->fd);
  g_hash_table_remove (s->conns, c);
  g_ptr_array_add (s->dead, c);
  if (call != NULL)
    s->ops->left (call);
}

static void
free_conn (BjServerConn *c)
{
  if (c->is_dirty)
    g_ptr_array_remove_fast (c->server->dirty, c);
  bj_message_clear (&c->head);
  g_string_free (c->body, TRUE);
  g_string_free (c->ahead, TRUE);
  g_string_free (c->out, TRUE);
  g_free (c);
}
