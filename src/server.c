// Server: HTTP/1.1 connections from callers, parsed by http-parser. A connection serves one request
// at a time; bytes of later requests are buffered until the current response is written.

#include "internal.h"
#include "listen.h"
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
#define ACCEPTS_PER_EVENT 64 // connections accepted before other events are handled
#define READ_BYTES 65536     // per recv call
#define HANDSHAKE_MS 20      // for connections whose handshake has begun when accepting stops
#define PIPELINED_MAX 65536  // buffered bytes of later requests at which reading stops
#define TIMEOUT_CHECK_INTERVAL_MS 100
#define LINGER_BYTES 262144    // read after a final response before the connection is closed
#define BODY_MAX_MS 120000     // longest time of a request body
#define BODY_FACTOR_MAX 8      // bytes of a chunked body per byte of its limit
#define LINGER_MS 1000         // for a caller to read the response before its connection is closed
#define WRITE_TIMEOUT_MS 10000 // time without a byte written until the connection is closed

typedef enum
{
  IDLE,      // between requests
  HEAD,      // reading a request's head
  BODY,      // reading a request's body
  ANSWERING, // request complete, response not yet written
  LINGERING, // last response written or queued; received bytes are discarded
} ConnState;

struct BjServerConn
{
  BjServer *server;
  int fd;
  ev_io read;
  ev_io write;
  http_parser parser;
  ConnState state;
  BjTime since; // last state change, body bytes read or bytes written
  BjMessage head;
  GString *body;          // of the request
  BjTime body_since;      // when its body began
  size_t n_encoded;       // bytes of its body with chunk headers
  size_t n_lingering;     // bytes discarded while LINGERING
  GString *pipelined;     // received bytes behind the current request
  GString *out;           // bytes to write
  size_t out_written;     // bytes of out already written
  size_t body_unreported; // body bytes in out not yet reported by ops->drained
  void *call;       // argument of ops->disconnected and ops->drained, NULL when no response is due
  int error_status; // HTTP status that rejects the request, 0 for none
  bool keep_alive;  // the connection stays open after the response
  bool is_chunked;  // chunked transfer encoding
  bool no_body;     // response to HEAD
  bool is_dirty;    // in server->dirty
  bool is_complete; // the whole response is in out
  bool is_closed;
};

struct BjServer
{
  struct ev_loop *loop;
  int fd; // listening socket, -1 once closed
  ev_io accept;
  ev_timer close_timer; // closes the listening socket
  ev_timer timeout_timer;
  const BjServerOps *ops;
  void *data; // argument of ops->request
  BjCallerLimits limits;
  GHashTable *conns;   // set of BjServerConn*
  GPtrArray *dirty;    // BjServerConn* with bytes to write
  GPtrArray *closed;   // BjServerConn* to free at the end of the loop iteration
  bool is_closing;     // every response ends its connection
  int n_open_requests; // requests whose response is not completely written
  int conns_max;       // at this number, a new connection evicts the one idle longest
};

static void on_accept (struct ev_loop *loop, ev_io *w, int events);
static bool accept_conn (BjServer *s);
static void on_close_timer (struct ev_loop *loop, ev_timer *w, int events);
static void close_listener (BjServer *s);
static void evict_idle_conn (BjServer *s);
static void add_conn (BjServer *s, int fd);
static void on_read (struct ev_loop *loop, ev_io *w, int events);
static void on_write (struct ev_loop *loop, ev_io *w, int events);
static void on_timeout_timer (struct ev_loop *loop, ev_timer *w, int events);
static void check_timeouts (BjServerConn *c, BjTime now);
static void parse_request (BjServerConn *c, const char *data, size_t n);
static void parse_pipelined (BjServerConn *c);
static int on_begin (http_parser *p);
static int check_head_size (BjServerConn *c);
static int on_url (http_parser *p, const char *data, size_t n);
static int on_field (http_parser *p, const char *data, size_t n);
static int on_value (http_parser *p, const char *data, size_t n);
static int on_headers (http_parser *p);
static int on_body (http_parser *p, const char *data, size_t n);
static int on_complete (http_parser *p);
static void dispatch_request (BjServerConn *c);
static void reject_request (BjServerConn *c, int status);
static void set_state (BjServerConn *c, ConnState state);
static void finish_response (BjServerConn *c);
static void mark_dirty (BjServerConn *c);
static bool write_pending (BjServerConn *c);
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

static BjCounter n_rejected
    = { "front_rejected_requests_total",
        "Requests of callers that were malformed, larger than a limit or too slow.",
        0 };

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
                                 "settings.%s: cannot listen on %s:%d: %s.",
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
  s->closed = g_ptr_array_new ();
  ev_io_init (&s->accept, on_accept, fd, EV_READ);
  ev_timer_init (&s->timeout_timer,
                 on_timeout_timer,
                 TIMEOUT_CHECK_INTERVAL_MS / 1000.0,
                 TIMEOUT_CHECK_INTERVAL_MS / 1000.0);
  ev_timer_init (&s->close_timer, on_close_timer, HANDSHAKE_MS / 1000.0, 0);
  s->accept.data = s;
  s->close_timer.data = s;
  s->timeout_timer.data = s;
  ev_io_start (loop, &s->accept);
  ev_timer_start (loop, &s->timeout_timer);
  bj_metric_register (&n_rejected);
  *server = s;
  return BJ_OK;
}

void
bj_server_free (BjServer *s)
{
  GList *all;

  if (s == NULL)
    return;
  close_listener (s);
  all = g_hash_table_get_keys (s->conns);
  for (GList *i = all; i != NULL; i = i->next)
    close_conn (i->data);
  g_list_free (all);
  bj_server_flush (s);
  ev_timer_stop (s->loop, &s->timeout_timer);
  g_hash_table_destroy (s->conns);
  g_ptr_array_free (s->dirty, TRUE);
  g_ptr_array_free (s->closed, TRUE);
  g_free (s);
}

void
bj_server_set_limits (BjServer *s, const BjCallerLimits *l)
{
  s->limits = *l;
}

void
bj_server_set_conns_max (BjServer *s, int n)
{
  s->conns_max = n;
}

void
bj_server_disable_keep_alive (BjServer *s)
{
  s->is_closing = true;
}

// Accepts the connections in the listen backlog and those whose handshake has begun, then closes
// the listening socket.
void
bj_server_stop_accepting (BjServer *s)
{
  if (s->fd < 0 || ev_is_active (&s->close_timer))
    return;
  if (bj_listen_drop_new (s->fd))
    ev_timer_start (s->loop, &s->close_timer);
  else
    close_listener (s);
}

bool
bj_server_is_accepting (const BjServer *s)
{
  return s->fd >= 0;
}

int
bj_server_open_requests (const BjServer *s)
{
  return s->n_open_requests;
}

void
bj_server_flush (BjServer *s)
{
  while (s->dirty->len > 0)
    {
      BjServerConn *c = g_ptr_array_steal_index_fast (s->dirty, s->dirty->len - 1);

      c->is_dirty = false;
      if (!c->is_closed && !write_pending (c))
        close_conn (c);
    }
  while (s->closed->len > 0)
    free_conn (g_ptr_array_steal_index_fast (s->closed, s->closed->len - 1));
}

void
bj_server_set_call (BjServerConn *c, void *call)
{
  c->call = call;
}

void
bj_server_begin (BjServerConn *c, int status, BjStr lines, int64_t length)
{
  if (c->server->is_closing)
    c->keep_alive = false;
  c->is_chunked = length < 0 && !c->no_body && c->parser.http_minor > 0;
  if (length < 0 && !c->is_chunked && !c->no_body)
    c->keep_alive = false;
  g_string_append_printf (
      c->out, "HTTP/1.1 %d %s\r\n", status, http_status_str ((enum http_status)status));
  if (lines.len > 0)
    g_string_append_len (c->out, lines.data, (gssize)lines.len);
  if (c->is_chunked)
    g_string_append (c->out, "Transfer-Encoding: chunked\r\n");
  else if (length >= 0)
    g_string_append_printf (c->out, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
  g_string_append (c->out, c->keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
  mark_dirty (c);
}

size_t
bj_server_unsent_bytes (const BjServerConn *c)
{
  return c->out->len - c->out_written;
}

void
bj_server_data (BjServerConn *c, BjStr part)
{
  if (part.len == 0 || c->no_body)
    return;
  if (c->is_chunked)
    g_string_append_printf (c->out, "%zx\r\n", part.len);
  g_string_append_len (c->out, part.data, (gssize)part.len);
  if (c->is_chunked)
    g_string_append (c->out, "\r\n");
  c->body_unreported += part.len;
  mark_dirty (c);
}

void
bj_server_end (BjServerConn *c, bool is_complete)
{
  struct linger reset = { 1, 0 };

  c->call = NULL;
  if (!is_complete)
    {
      // A response without a length would look complete if the connection closed with a FIN.
      setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close_conn (c);
      return;
    }
  if (c->is_chunked)
    g_string_append (c->out, "0\r\n\r\n");
  c->is_complete = true;
  mark_dirty (c);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  (void)loop;
  (void)events;
  for (int i = 0; i < ACCEPTS_PER_EVENT && accept_conn (w->data); i++)
    continue;
}

// Returns false when no connection is left to accept.
static bool
accept_conn (BjServer *s)
{
  int fd = accept4 (s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  if (fd >= 0)
    add_conn (s, fd);
  else if (errno == EMFILE || errno == ENFILE)
    bj_log (BJ_LOG_WARNING, "FRONT", "Cannot accept a caller: out of file descriptors; retrying.");
  return fd >= 0;
}

static void
on_close_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)loop;
  (void)events;
  close_listener (w->data);
}

static void
close_listener (BjServer *s)
{
  if (s->fd < 0)
    return;
  while (accept_conn (s))
    continue;
  ev_io_stop (s->loop, &s->accept);
  ev_timer_stop (s->loop, &s->close_timer);
  close (s->fd);
  s->fd = -1;
}

// When conns_max connections are open, closes the one idle longest, to leave descriptors for links,
// the store and the upstream.
static void
evict_idle_conn (BjServer *s)
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

  evict_idle_conn (s);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  c->server = s;
  c->fd = fd;
  c->since = bj_clock_now ();
  c->body = g_string_new (NULL);
  c->pipelined = g_string_new (NULL);
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
  static char buffer[READ_BYTES];
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
    {
      c->n_lingering += (size_t)n;
      if (c->n_lingering > LINGER_BYTES)
        ev_io_stop (loop, &c->read);
      return;
    }
  if (c->state != ANSWERING)
    {
      parse_request (c, buffer, (size_t)n);
      return;
    }
  g_string_append_len (c->pipelined, buffer, n);
  if (c->pipelined->len >= PIPELINED_MAX)
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
on_timeout_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  BjServer *s = w->data;
  BjTime now = bj_clock_now ();
  GHashTableIter i;
  gpointer c;

  (void)loop;
  (void)events;
  GPtrArray *all = g_ptr_array_new ();

  g_hash_table_iter_init (&i, s->conns);
  while (g_hash_table_iter_next (&i, &c, NULL))
    g_ptr_array_add (all, c);
  for (guint n = 0; n < all->len; n++)
    check_timeouts (all->pdata[n], now);
  g_ptr_array_free (all, TRUE);
}

static void
check_timeouts (BjServerConn *c, BjTime now)
{
  const BjCallerLimits *l = &c->server->limits;
  double age = now - c->since;

  if (c->state == HEAD && age > l->header_timeout_ms)
    reject_request (c, HTTP_STATUS_REQUEST_TIMEOUT);
  else if (c->state == BODY && now - c->body_since > BODY_MAX_MS)
    reject_request (c, HTTP_STATUS_REQUEST_TIMEOUT);
  else if ((c->state == IDLE || c->state == BODY) && age > l->idle_timeout_ms)
    close_conn (c);
  else if (c->state == LINGERING && age > LINGER_MS)
    close_conn (c);
  else if (c->state == ANSWERING && bj_server_unsent_bytes (c) > 0 && age > WRITE_TIMEOUT_MS)
    close_conn (c);
}

static void
parse_request (BjServerConn *c, const char *data, size_t n)
{
  size_t used = http_parser_execute (&c->parser, &parser_settings, data, n);
  enum http_errno e = HTTP_PARSER_ERRNO (&c->parser);

  if (c->is_closed || c->state == LINGERING)
    return;
  if (e == HPE_PAUSED)
    {
      http_parser_pause (&c->parser, 0);
      if (used < n)
        g_string_append_len (c->pipelined, data + used, (gssize)(n - used));
      dispatch_request (c);
    }
  else if (e != HPE_OK || c->parser.upgrade)
    reject_request (c, c->error_status != 0 ? c->error_status : HTTP_STATUS_BAD_REQUEST);
  else if (c->state == BODY)
    {
      c->n_encoded += n;
      if (c->n_encoded > BODY_FACTOR_MAX * c->server->limits.body_bytes + READ_BYTES)
        reject_request (c, HTTP_STATUS_PAYLOAD_TOO_LARGE);
    }
}

static void
parse_pipelined (BjServerConn *c)
{
  GString *bytes;

  if (c->pipelined->len == 0 || c->is_closed)
    return;
  bytes = c->pipelined;
  c->pipelined = g_string_new (NULL);
  parse_request (c, bytes->str, bytes->len);
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
check_head_size (BjServerConn *c)
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

  // Trailer fields of a chunked body are not relayed.
  if (c->state == BODY)
    return 0;
  // http-parser accepts whitespace in a field name ("Name : value"). A server that parses it
  // differently could see another end of the request (request smuggling), so reject it.
  if (memchr (data, ' ', n) != NULL || memchr (data, '\t', n) != NULL)
    {
      c->error_status = HTTP_STATUS_BAD_REQUEST;
      return -1;
    }
  bj_message_field (&c->head, data, n);
  return check_head_size (c);
}

static int
on_value (http_parser *p, const char *data, size_t n)
{
  BjServerConn *c = p->data;

  if (c->state == BODY)
    return 0;
  bj_message_value (&c->head, data, n);
  return check_head_size (c);
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
  c->body_since = c->since;
  c->n_encoded = 0;
  if (bj_header_name_equal (bj_header_find (headers, "Expect"), "100-continue"))
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
dispatch_request (BjServerConn *c)
{
  BjHead h = {
    .method = bj_str (http_method_str ((enum http_method)c->parser.method)),
    .path = { c->head.path->str, c->head.path->len },
    .headers = { c->head.headers->str, c->head.headers->len },
    .length = (int64_t)c->body->len,
  };

  c->keep_alive = http_should_keep_alive (&c->parser) != 0;
  c->no_body = c->parser.method == HTTP_HEAD;
  if (c->error_status != 0)
    {
      reject_request (c, c->error_status);
      return;
    }
  set_state (c, ANSWERING);
  c->server->n_open_requests++;
  c->server->ops->request (c->server->data, c, &h, (BjStr){ c->body->str, c->body->len });
}

// Rejects the request and ends the connection, because the bytes that follow cannot be parsed.
static void
reject_request (BjServerConn *c, int status)
{
  bj_log (BJ_LOG_INFO,
          "FRONT",
          "Request rejected with HTTP status %d; closing the connection.",
          status);
  n_rejected.value++;
  if (c->state == ANSWERING)
    return;
  c->keep_alive = false;
  set_state (c, LINGERING);
  bj_server_begin (c, status, BJ_STR_NULL, 0);
}

static void
set_state (BjServerConn *c, ConnState state)
{
  c->state = state;
  c->since = bj_clock_now ();
}

// Called when the whole response is written.
static void
finish_response (BjServerConn *c)
{
  c->is_complete = false;
  c->server->n_open_requests--;
  if (!c->keep_alive)
    {
      shutdown (c->fd, SHUT_WR);
      set_state (c, LINGERING);
      return;
    }
  set_state (c, IDLE);
  ev_io_start (c->server->loop, &c->read);
  parse_pipelined (c);
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
write_pending (BjServerConn *c)
{
  ssize_t n;
  size_t drained;

  while (c->out_written < c->out->len)
    {
      n = send (c->fd, c->out->str + c->out_written, c->out->len - c->out_written, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        {
          ev_io_start (c->server->loop, &c->write);
          return true;
        }
      if (n <= 0)
        return false;
      c->out_written += (size_t)n;
      c->since = bj_clock_now ();
      drained = MIN ((size_t)n, c->body_unreported);
      c->body_unreported -= drained;
      if (c->call != NULL && drained > 0)
        c->server->ops->drained (c->call, drained);
    }
  g_string_truncate (c->out, 0);
  c->out_written = 0;
  if (c->is_complete)
    finish_response (c);
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
    s->n_open_requests--;
  ev_io_stop (s->loop, &c->read);
  ev_io_stop (s->loop, &c->write);
  close (c->fd);
  g_hash_table_remove (s->conns, c);
  g_ptr_array_add (s->closed, c);
  if (call != NULL)
    s->ops->disconnected (call);
}

static void
free_conn (BjServerConn *c)
{
  if (c->is_dirty)
    g_ptr_array_remove_fast (c->server->dirty, c);
  bj_message_clear (&c->head);
  g_string_free (c->body, TRUE);
  g_string_free (c->pipelined, TRUE);
  g_string_free (c->out, TRUE);
  g_free (c);
}
