// Server: HTTP/1.1 connections from callers, parsed by http-parser. Requests begin as soon as they
// are read, unless the pipeline of their connection makes them wait; meanwhile received bytes are
// buffered.

#include "server.h"
#include "listen.h"
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <http_parser.h>
#include <limits.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 1024
#define ACCEPTS_PER_EVENT 64 // connections accepted before other events are handled
#define READ_BYTES 65536     // per recv call
#define HANDSHAKE_MS 20      // for connections whose handshake has begun when accepting stops
#define STOPPED_IDLE_MS 200  // for a request of an open connection once accepting stopped
#define UNPARSED_MAX 65536   // buffered bytes of later requests at which reading stops
#define TIMEOUT_CHECK_INTERVAL_MS 100
#define PIPELINED_DEFAULT 1    // open requests of a connection unless set
#define WAITING_BYTES 262144   // of responses that wait for an earlier one
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
  WAITING,   // a complete request waits until it may begin
  BLOCKED,   // no request is parsed until a response is written
  BREAKING,  // a response broke off; earlier ones are being acknowledged before the reset
  LINGERING, // last response written or queued; received bytes are discarded
} ConnState;

typedef struct
{
  BjServer *server;
  int fd;
  ev_io read;
  ev_io write;
  http_parser parser;
  ConnState state;
  BjTime since;      // last change of state or body bytes read
  BjTime written_at; // bytes were written last, or became pending
  BjTime read_at;    // when the request that waits was complete
  BjMessage head;
  GString *body;           // of the request
  BjTime body_since;       // when its body began
  size_t n_encoded;        // bytes of its body with chunk headers
  size_t n_lingering;      // bytes discarded while LINGERING or BREAKING
  size_t n_behind;         // bytes received with the request that begins, behind it
  GString *unparsed;       // received bytes behind the last parsed request, NULL for none
  BjPipeline pipeline;     // responses
  int n_counted;           // requests of pipeline included in server->n_open_requests
  int error_status;        // HTTP status that rejects the request, 0 for none
  BjServerVerdict verdict; // on the request that is being read
  bool is_verdict_old;     // other events were handled since the verdict
  bool is_continue_due;    // 100 Continue is sent when the responses before it are written
  bool is_dirty;           // in server->dirty
  bool is_closed;
} BjServerConn;

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
  BjPipelineOps pipeline_ops;
  BjPipelineLimits pipeline_limits;
  GHashTable *conns;   // set of BjServerConn*
  GPtrArray *dirty;    // BjServerConn* with bytes to write
  GPtrArray *closed;   // BjServerConn* to free at the end of the loop iteration
  int n_open_requests; // requests whose response is not completely written
  int conns_max;       // at this number, a new connection evicts the one idle longest
  bool is_refusing;    // no further request begins
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
static GPtrArray *list_conns (const BjServer *s);
static void check_timeouts (BjServerConn *c, BjTime now);
static void discard_bytes (BjServerConn *c, size_t n);
static void receive_bytes (BjServerConn *c, const char *data, size_t n);
static bool is_parsing (const BjServerConn *c);
static bool is_idle (const BjServerConn *c);
static bool has_unread_bytes (const BjServerConn *c);
static int count_unacknowledged (const BjServerConn *c);
static void note_read (BjServerConn *c);
static void refuse_unread (BjServerConn *c);
static size_t parse_request (BjServerConn *c, const char *data, size_t n);
static void parse_unparsed (BjServerConn *c);
static int on_begin (http_parser *p);
static int check_head_size (BjServerConn *c);
static int on_url (http_parser *p, const char *data, size_t n);
static int on_field (http_parser *p, const char *data, size_t n);
static int on_value (http_parser *p, const char *data, size_t n);
static int on_headers (http_parser *p);
static int on_body (http_parser *p, const char *data, size_t n);
static int on_complete (http_parser *p);
static BjHead request_head (BjServerConn *c);
static void judge_head (BjServerConn *c, const BjHead *h);
static void dispatch_request (BjServerConn *c);
static BjServerRequest *begin_request (BjServerConn *c, const BjPipelineOptions *o);
static void refuse_request (BjServerConn *c, bool has_body);
static void reject_request (BjServerConn *c, int status);
static void set_state (BjServerConn *c, ConnState state);
static void resume_reading (BjServerConn *c);
static void send_continue (BjServerConn *c);
static void count_open (BjServerConn *c);
static BjServerConn *conn_of (const BjServerRequest *r);
static void mark_dirty (BjServerConn *c);
static void flush_conn (BjServerConn *c);
static bool write_pending (BjServerConn *c);
static void break_conn (BjServerConn *c);
static void reset_conn (BjServerConn *c);
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
  s->pipeline_ops = (BjPipelineOps){ ops->drained, ops->disconnected };
  s->pipeline_limits = (BjPipelineLimits){ .requests_max = PIPELINED_DEFAULT,
                                           .room_bytes = BJ_WINDOW_BYTES,
                                           .waiting_max = WAITING_BYTES };
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
bj_server_set_pipelined_max (BjServer *s, int n)
{
  s->pipeline_limits.requests_max = n;
}

void
bj_server_set_conns_max (BjServer *s, int n)
{
  s->conns_max = n;
}

void
bj_server_disable_keep_alive (BjServer *s)
{
  s->pipeline_limits.is_stopping = true;
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

// A request of which a part is missing is refused at once, so that its caller sends it elsewhere.
void
bj_server_refuse_new (BjServer *s)
{
  GPtrArray *all;

  if (s->is_refusing)
    return;
  s->is_refusing = true;
  all = list_conns (s);
  for (guint i = 0; i < all->len; i++)
    refuse_unread (all->pdata[i]);
  g_ptr_array_free (all, TRUE);
}

bool
bj_server_is_accepting (const BjServer *s)
{
  return s->fd >= 0;
}

int
bj_server_busy_conns (const BjServer *s)
{
  GHashTableIter i;
  gpointer c;
  int n = 0;

  g_hash_table_iter_init (&i, s->conns);
  while (g_hash_table_iter_next (&i, &c, NULL))
    n += ((BjServerConn *)c)->state == LINGERING ? count_unacknowledged (c) > 0 : !is_idle (c);
  return n;
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
      if (!c->is_closed)
        flush_conn (c);
    }
  while (s->closed->len > 0)
    free_conn (g_ptr_array_steal_index_fast (s->closed, s->closed->len - 1));
}

void
bj_server_set_call (BjServerRequest *r, void *call)
{
  r->call = call;
}

void
bj_server_begin (BjServerRequest *r, int status, BjStr lines, int64_t length)
{
  BjServerConn *c = conn_of (r);

  mark_dirty (c);
  note_read (c);
  bj_pipeline_head (r, status, lines, length);
}

size_t
bj_server_room (const BjServerRequest *r)
{
  return bj_pipeline_room (r);
}

void
bj_server_data (BjServerRequest *r, BjStr part)
{
  mark_dirty (conn_of (r));
  bj_pipeline_data (r, part);
}

// A response that broke off resets the connection in the next flush, where no call is being
// handled.
void
bj_server_end (BjServerRequest *r, bool is_complete)
{
  mark_dirty (conn_of (r));
  bj_pipeline_end (r, is_complete);
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

      if (is_idle (c) && (oldest == NULL || c->since < oldest->since))
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
  bj_pipeline_init (&c->pipeline, &s->pipeline_ops, &s->pipeline_limits, c);
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

  (void)loop;
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      close_conn (c);
      return;
    }
  c->is_verdict_old = true;
  if (c->state == LINGERING || c->state == BREAKING)
    discard_bytes (c, (size_t)n);
  else
    receive_bytes (c, buffer, (size_t)n);
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
  GPtrArray *all = list_conns (w->data);
  BjTime now = bj_clock_now ();

  (void)loop;
  (void)events;
  for (guint i = 0; i < all->len; i++)
    check_timeouts (all->pdata[i], now);
  g_ptr_array_free (all, TRUE);
}

// A copy, because handling one connection may close it.
static GPtrArray *
list_conns (const BjServer *s)
{
  GPtrArray *all = g_ptr_array_new ();
  GHashTableIter i;
  gpointer c;

  g_hash_table_iter_init (&i, s->conns);
  while (g_hash_table_iter_next (&i, &c, NULL))
    g_ptr_array_add (all, c);
  return all;
}

// A request that is not read in time is rejected behind the responses before it; a connection on
// which a response is due is not idle.
static void
check_timeouts (BjServerConn *c, BjTime now)
{
  const BjCallerLimits *l = &c->server->limits;
  bool is_answering = c->pipeline.first != NULL;
  double age = now - c->since;

  if (c->is_closed)
    return;
  if (c->state == BREAKING)
    break_conn (c);
  else if (c->state == LINGERING && now - MAX (c->since, c->written_at) > LINGER_MS)
    close_conn (c);
  else if (c->state != LINGERING && is_answering && bj_pipeline_unsent (&c->pipeline) > 0
           && now - c->written_at > WRITE_TIMEOUT_MS)
    close_conn (c);
  else if (c->state == HEAD && age > l->header_timeout_ms)
    reject_request (c, HTTP_STATUS_REQUEST_TIMEOUT);
  else if (c->state == BODY && !c->is_continue_due
           && (now - c->body_since > BODY_MAX_MS || (is_answering && age > l->idle_timeout_ms)))
    reject_request (c, HTTP_STATUS_REQUEST_TIMEOUT);
  else if ((c->state == IDLE || c->state == BODY) && !is_answering && age > l->idle_timeout_ms)
    close_conn (c);
  else if (!bj_server_is_accepting (c->server) && is_idle (c) && age > STOPPED_IDLE_MS
           && !has_unread_bytes (c))
    close_conn (c);
}

static void
discard_bytes (BjServerConn *c, size_t n)
{
  c->n_lingering += n;
  if (c->n_lingering > LINGER_BYTES)
    ev_io_stop (c->server->loop, &c->read);
}

// Parses the bytes up to a request that stops the parsing, and buffers the others.
static void
receive_bytes (BjServerConn *c, const char *data, size_t n)
{
  while (n > 0 && is_parsing (c))
    {
      size_t used = parse_request (c, data, n);

      data += used;
      n -= used;
    }
  if (n == 0 || c->is_closed || c->state == LINGERING)
    return;
  if (c->unparsed == NULL)
    c->unparsed = g_string_new (NULL);
  g_string_append_len (c->unparsed, data, (gssize)n);
  if (c->unparsed->len >= UNPARSED_MAX)
    ev_io_stop (c->server->loop, &c->read);
}

static bool
is_parsing (const BjServerConn *c)
{
  return !c->is_closed && (c->state == IDLE || c->state == HEAD || c->state == BODY);
}

static bool
is_idle (const BjServerConn *c)
{
  return c->state == IDLE && c->pipeline.first == NULL;
}

static bool
has_unread_bytes (const BjServerConn *c)
{
  int n = 0;

  return ioctl (c->fd, FIONREAD, &n) == 0 && n > 0;
}

static int
count_unacknowledged (const BjServerConn *c)
{
  int n = 0;

  return ioctl (c->fd, SIOCOUTQ, &n) == 0 ? n : 0;
}

// Tells the pipeline whether a request was read, wholly or in part, that did not begin.
static void
note_read (BjServerConn *c)
{
  c->pipeline.is_more_read = c->state == HEAD || c->state == BODY || c->state == WAITING
                             || c->n_behind > 0 || c->unparsed != NULL;
}

static void
refuse_unread (BjServerConn *c)
{
  if (c->is_closed)
    return;
  c->verdict.refuse_status = HTTP_STATUS_SERVICE_UNAVAILABLE;
  if (c->state == HEAD)
    reject_request (c, HTTP_STATUS_SERVICE_UNAVAILABLE);
  else if (c->state == BODY)
    refuse_request (c, true);
}

// Returns the number of bytes used.
static size_t
parse_request (BjServerConn *c, const char *data, size_t n)
{
  size_t used = http_parser_execute (&c->parser, &parser_settings, data, n);
  enum http_errno e = HTTP_PARSER_ERRNO (&c->parser);

  if (c->is_closed || c->state == LINGERING)
    return n;
  if (e == HPE_PAUSED)
    {
      http_parser_pause (&c->parser, 0);
      c->n_behind = n - used;
      dispatch_request (c);
      c->n_behind = 0;
      return used;
    }
  if (e == HPE_CB_headers_complete && c->verdict.refuse_status != 0)
    refuse_request (c, true);
  else if (e != HPE_OK || c->parser.upgrade)
    reject_request (c, c->error_status != 0 ? c->error_status : HTTP_STATUS_BAD_REQUEST);
  else if (c->state == BODY)
    {
      c->n_encoded += n;
      if (c->n_encoded > BODY_FACTOR_MAX * c->server->limits.body_bytes + READ_BYTES)
        reject_request (c, HTTP_STATUS_PAYLOAD_TOO_LARGE);
    }
  return n;
}

static void
parse_unparsed (BjServerConn *c)
{
  GString *bytes = c->unparsed;

  if (bytes == NULL || c->is_closed)
    return;
  c->unparsed = NULL;
  receive_bytes (c, bytes->str, bytes->len);
  g_string_free (bytes, TRUE);
}

static int
on_begin (http_parser *p)
{
  BjServerConn *c = p->data;

  if (c->server->pipeline_limits.is_stopping)
    bj_log (BJ_LOG_INFO,
            "DRAIN",
            "reading a request while stopping; accepting=%d idle_ms=%.0f",
            bj_server_is_accepting (c->server),
            c->state == IDLE ? bj_clock_now () - c->since : 0);
  bj_message_reset (&c->head);
  g_string_truncate (c->body, 0);
  c->error_status = 0;
  c->verdict = (BjServerVerdict){ 0, false };
  c->is_verdict_old = false;
  c->is_continue_due = false;
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
  BjHead h;

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
  c->is_verdict_old = false;
  h = request_head (c);
  h.length = (p->flags & F_CONTENTLENGTH) != 0 ? (int64_t)p->content_length : -1;
  judge_head (c, &h);
  if (c->verdict.refuse_status != 0)
    {
      bool has_length = (p->flags & F_CONTENTLENGTH) != 0 && p->content_length > 0;

      return has_length || (p->flags & F_CHUNKED) != 0 ? -1 : 0;
    }
  c->is_continue_due = bj_header_name_equal (bj_header_find (headers, "Expect"), "100-continue");
  if (c->is_continue_due && c->pipeline.first == NULL)
    send_continue (c);
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

static BjHead
request_head (BjServerConn *c)
{
  return (BjHead){
    .method = bj_str (http_method_str ((enum http_method)c->parser.method)),
    .path = { c->head.path->str, c->head.path->len },
    .headers = bj_message_headers (&c->head),
    .length = (int64_t)c->body->len,
  };
}

static void
judge_head (BjServerConn *c, const BjHead *h)
{
  const BjServer *s = c->server;

  if (s->ops->head != NULL)
    c->verdict = s->ops->head (s->data, h);
  if (s->is_refusing && c->verdict.refuse_status == 0)
    c->verdict.refuse_status = HTTP_STATUS_SERVICE_UNAVAILABLE;
}

// Begins the complete request, or makes it wait for those before it.
static void
dispatch_request (BjServerConn *c)
{
  BjServer *s = c->server;
  BjHead h = request_head (c);
  BjPipelineOptions o = { .keep_alive = http_should_keep_alive (&c->parser) != 0,
                          .no_body = c->parser.method == HTTP_HEAD,
                          .is_chunked = c->parser.http_minor > 0 };
  BjTime now = bj_clock_now ();
  BjServerRequest *r;

  if (c->error_status != 0)
    {
      reject_request (c, c->error_status);
      return;
    }
  c->is_continue_due = false;
  if (c->state != WAITING)
    c->read_at = now;
  if (c->is_verdict_old || s->is_refusing)
    judge_head (c, &h);
  c->is_verdict_old = false;
  o.runs_alone = c->verdict.runs_alone;
  if (!bj_pipeline_may_begin (&c->pipeline, o.runs_alone))
    {
      c->state = WAITING;
      c->is_verdict_old = true;
      return;
    }
  if (c->verdict.refuse_status != 0)
    {
      refuse_request (c, false);
      return;
    }
  r = begin_request (c, &o);
  h.waited_ms = MAX (0, now - c->read_at);
  s->ops->request (s->data, r, &h, (BjStr){ c->body->str, c->body->len });
}

static BjServerRequest *
begin_request (BjServerConn *c, const BjPipelineOptions *o)
{
  BjServerRequest *r = bj_pipeline_begin (&c->pipeline, o);

  set_state (c, bj_pipeline_may_begin (&c->pipeline, false) ? IDLE : BLOCKED);
  count_open (c);
  return r;
}

// Answers a request that ops->head refused. A body that was not read ends the connection.
static void
refuse_request (BjServerConn *c, bool has_body)
{
  BjHead h = request_head (c);
  BjPipelineOptions o = { .keep_alive = !has_body && http_should_keep_alive (&c->parser) != 0,
                          .no_body = c->parser.method == HTTP_HEAD,
                          .is_chunked = c->parser.http_minor > 0 };

  if (c->pipeline.is_last_begun)
    {
      set_state (c, BLOCKED);
      return;
    }
  c->server->ops->refused (c->server->data, begin_request (c, &o), &h, c->verdict.refuse_status);
}

// Rejects the request and ends the connection, because the bytes that follow cannot be parsed.
// Behind a response that ends the connection, nothing is answered.
static void
reject_request (BjServerConn *c, int status)
{
  BjPipelineOptions o = { .is_chunked = c->parser.http_minor > 0 };
  bool is_first = c->pipeline.first == NULL;
  BjServerRequest *r;

  bj_log (BJ_LOG_INFO,
          "FRONT",
          "Request rejected with HTTP status %d; closing the connection.",
          status);
  n_rejected.value++;
  if (c->pipeline.is_last_begun)
    {
      set_state (c, BLOCKED);
      return;
    }
  r = begin_request (c, &o);
  if (is_first)
    set_state (c, LINGERING);
  bj_server_begin (r, status, BJ_STR_NULL, 0);
  bj_server_end (r, true);
}

static void
set_state (BjServerConn *c, ConnState state)
{
  c->state = state;
  c->since = bj_clock_now ();
}

// Called when responses were written: begins the request that waits and parses further ones.
static void
resume_reading (BjServerConn *c)
{
  bool is_answered = c->pipeline.first == NULL;

  if (c->state == IDLE && is_answered)
    c->since = bj_clock_now ();
  if (c->is_continue_due && is_answered)
    send_continue (c);
  if (c->state == WAITING && bj_pipeline_may_begin (&c->pipeline, c->verdict.runs_alone))
    dispatch_request (c);
  if (c->state == BLOCKED && bj_pipeline_may_begin (&c->pipeline, false))
    set_state (c, IDLE);
  if (!is_parsing (c))
    return;
  ev_io_start (c->server->loop, &c->read);
  parse_unparsed (c);
}

// The caller waits for this before it sends the body, so the time for the body starts now.
static void
send_continue (BjServerConn *c)
{
  c->is_continue_due = false;
  c->since = c->body_since = bj_clock_now ();
  bj_pipeline_interim (&c->pipeline, BJ_STR ("HTTP/1.1 100 Continue\r\n\r\n"));
  mark_dirty (c);
}

static void
count_open (BjServerConn *c)
{
  c->server->n_open_requests += c->pipeline.n_open - c->n_counted;
  c->n_counted = c->pipeline.n_open;
}

static BjServerConn *
conn_of (const BjServerRequest *r)
{
  return r->pipeline->data;
}

static void
mark_dirty (BjServerConn *c)
{
  if (c->is_dirty || c->is_closed)
    return;
  c->is_dirty = true;
  if (bj_pipeline_unsent (&c->pipeline) == 0)
    c->written_at = bj_clock_now ();
  g_ptr_array_add (c->server->dirty, c);
}

static void
flush_conn (BjServerConn *c)
{
  if (!write_pending (c))
    {
      close_conn (c);
      return;
    }
  count_open (c);
  if (bj_pipeline_is_broken (&c->pipeline))
    break_conn (c);
  else if (c->pipeline.is_ended)
    {
      shutdown (c->fd, SHUT_WR);
      if (c->state != LINGERING)
        set_state (c, LINGERING);
    }
  else
    resume_reading (c);
}

// Returns false if the connection failed.
static bool
write_pending (BjServerConn *c)
{
  BjPipeline *p = &c->pipeline;

  note_read (c);
  for (;;)
    {
      BjStr out = bj_pipeline_pending (p);
      ssize_t n;

      if (out.len == 0)
        return true;
      n = send (c->fd, out.data, out.len, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        {
          ev_io_start (c->server->loop, &c->write);
          return true;
        }
      if (n <= 0)
        return false;
      c->written_at = bj_clock_now ();
      bj_pipeline_written (p, (size_t)n);
    }
}

// Resets the connection, because a response without a length would look complete if it closed with
// a FIN. A reset drops bytes in flight, so responses before the broken one are acknowledged first.
static void
break_conn (BjServerConn *c)
{
  bool is_first = c->pipeline.first == NULL || !c->pipeline.first->is_behind;

  if (c->state != BREAKING)
    set_state (c, BREAKING);
  if (is_first || count_unacknowledged (c) == 0 || bj_clock_now () - c->since > LINGER_MS)
    reset_conn (c);
}

static void
reset_conn (BjServerConn *c)
{
  struct linger reset = { 1, 0 };

  setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close_conn (c);
}

static void
close_conn (BjServerConn *c)
{
  BjServer *s = c->server;

  if (c->is_closed)
    return;
  c->is_closed = true;
  ev_io_stop (s->loop, &c->read);
  ev_io_stop (s->loop, &c->write);
  close (c->fd);
  g_hash_table_remove (s->conns, c);
  g_ptr_array_add (s->closed, c);
  bj_pipeline_clear (&c->pipeline);
  count_open (c);
}

static void
free_conn (BjServerConn *c)
{
  if (c->is_dirty)
    g_ptr_array_remove_fast (c->server->dirty, c);
  bj_message_clear (&c->head);
  g_string_free (c->body, TRUE);
  if (c->unparsed != NULL)
    g_string_free (c->unparsed, TRUE);
  g_free (c);
}
