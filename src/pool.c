// Pool: HTTP/1.1 connections to the own upstream, parsed by http-parser. A connection carries one
// request at a time. The pool never retries: it reports a request whose connection was lost.

#include "response.h"
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536 // per recv call
#define TIMEOUT_CHECK_INTERVAL_MS 200
#define IDLE_TIMEOUT_MS 4000     // unless the upstream's Keep-Alive header asks for less
#define KEEP_ALIVE_MARGIN_MS 500 // an idle connection is closed this long before the upstream does
// Requests with skip_idle_conns reuse no connection idle for longer: it may be broken unnoticed.
#define WARM_IDLE_MAX_MS 500
#define UNACKED_TIMEOUT_MS 1000 // TCP_USER_TIMEOUT: data unacknowledged for this long
#define KEEPALIVE_IDLE_S 1      // TCP_KEEPIDLE: silence before the first keep-alive probe
#define KEEPALIVE_INTERVAL_S 1  // TCP_KEEPINTVL
#define KEEPALIVE_PROBES 2      // TCP_KEEPCNT: unanswered probes before the connection is lost
#define PROBE_OPEN_MS 100       // a probe succeeds when its connection stays open this long
#define HEADER_MAX 65536        // bytes of a response's head, with the interim responses before it
#define RESPONSE_MAX (256 * 1024 * 1024) // bytes of a response, four times the largest request
#define SUSPECT_SILENCE_MS 500 // a reused connection silent this long makes idle ones suspect
#define SMALL_PART_BYTES 4096  // smaller parts of a body are passed on together
#define STALL_LOG_MS 1000      // a response paused for longer is logged

typedef enum
{
  CONNECTING,
  IDLE,
  SENDING,   // writing the request or waiting for the response head
  RECEIVING, // response head received
} PoolState;

struct BjPoolConn
{
  BjPool *pool;
  BjPoolOptions options;
  BjStr head; // of the request, owned
  int fd;
  ev_io read;
  ev_io write;
  ev_timer probe_timer; // ends a probe whose connection stayed open
  PoolState state;
  http_parser parser;
  BjMessage message;        // head of the response
  BjResponse response;      // checks that head
  GString *unconsumed_body; // response body that on_body did not accept
  size_t n_sent;            // bytes of the request's head and body written
  size_t n_received;        // bytes of the response so far
  BjTime since; // when the request started, the probe connected or the connection became idle
  BjTime idle_deadline;   // when an idle connection is closed
  double idle_timeout_ms; // idle timeout after the response
  BjTime paused_at;       // when is_paused was set
  bool is_stall_logged;   // of the current pause
  bool is_paused;         // on_body accepted nothing; reading stops until bj_pool_resume
  bool is_dirty;          // in pool->dirty
  bool is_complete;       // the whole response was parsed
  bool is_closed;
  bool is_reset;  // a write failed because the connection was reset
  bool is_reused; // the connection carried an earlier request
};

struct BjPool
{
  struct ev_loop *loop;
  ev_timer timeout_timer;
  GHashTable *conns;       // set of open BjPoolConn*, including idle ones
  GQueue idle;             // BjPoolConn*, most recently used first
  bool is_idle_suspect;    // idle connections may be broken and are not reused
  BjTime last_response_at; // when the last response head was received
  GPtrArray *dirty;        // BjPoolConn* with bytes to write
  GPtrArray *closed;       // BjPoolConn* to free at the end of the loop iteration
};

static BjPoolConn *open_conn (BjPool *p, const BjAddress *a);
static BjPoolConn *take_idle_conn (BjPool *p, const BjPoolOptions *o);
static void set_socket_options (int fd);
static void on_read (struct ev_loop *loop, ev_io *w, int events);
static void on_write (struct ev_loop *loop, ev_io *w, int events);
static void on_probe_timer (struct ev_loop *loop, ev_timer *w, int events);
static void finish_probe (BjPoolConn *c, ssize_t n_received);
static void on_timeout_timer (struct ev_loop *loop, ev_timer *w, int events);
static void check_timeouts (BjPoolConn *c, BjTime now);
static void suspect_idle_conns (BjPoolConn *c, BjTime now);
static void note_response (BjPoolConn *c);
static void send_request (BjPoolConn *c);
static void mark_dirty (BjPoolConn *c);
static void on_end_of_stream (BjPoolConn *c, bool is_reset);
static void parse_response (BjPoolConn *c, const char *data, size_t n);
static void reject_response (BjPoolConn *c, const char *reason);
static int on_status (http_parser *p, const char *data, size_t n);
static int on_field (http_parser *p, const char *data, size_t n);
static int on_value (http_parser *p, const char *data, size_t n);
static int on_headers (http_parser *p);
static int on_body (http_parser *p, const char *data, size_t n);
static void pass_on_body (BjPoolConn *c);
static int on_complete (http_parser *p);
static double keep_alive_ms (BjStr headers);
static void finish_response (BjPoolConn *c, bool is_unusable);
static void fail_request (BjPoolConn *c, BjStatus s);
static void close_conn (BjPoolConn *c);
static void free_conn (BjPoolConn *c);

static const http_parser_settings parser_settings = {
  .on_status = on_status,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_headers,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

static BjCounter n_opened = { "upstream_connections_opened_total",
                              "Connections opened to the own upstream, including probes.",
                              0 };
static BjCounter n_reused = { "upstream_connections_reused_total",
                              "Requests sent to the own upstream on a reused connection.",
                              0 };
static BjCounter n_foreign
    = { "upstream_foreign_answers_total",
        "Responses from the own upstream that belong to no open call or to another call.",
        0 };

static BjCounter n_malformed
    = { "upstream_malformed_responses_total",
        "Responses of the own upstream that were malformed or larger than their limit.",
        0 };

BjPool *
bj_pool_new (struct ev_loop *loop)
{
  BjPool *p = g_new0 (BjPool, 1);

  bj_metric_register (&n_opened);
  bj_metric_register (&n_reused);
  bj_metric_register (&n_foreign);
  bj_metric_register (&n_malformed);
  p->loop = loop;
  p->conns = g_hash_table_new (NULL, NULL);
  p->dirty = g_ptr_array_new ();
  p->closed = g_ptr_array_new ();
  g_queue_init (&p->idle);
  ev_timer_init (&p->timeout_timer,
                 on_timeout_timer,
                 TIMEOUT_CHECK_INTERVAL_MS / 1000.0,
                 TIMEOUT_CHECK_INTERVAL_MS / 1000.0);
  p->timeout_timer.data = p;
  ev_timer_start (loop, &p->timeout_timer);
  return p;
}

void
bj_pool_free (BjPool *p)
{
  GList *all = g_hash_table_get_keys (p->conns);

  for (GList *i = all; i != NULL; i = i->next)
    close_conn (i->data);
  g_list_free (all);
  bj_pool_flush (p);
  ev_timer_stop (p->loop, &p->timeout_timer);
  g_hash_table_destroy (p->conns);
  g_queue_clear (&p->idle);
  g_ptr_array_free (p->dirty, TRUE);
  g_ptr_array_free (p->closed, TRUE);
  g_free (p);
}

BjPoolConn *
bj_pool_start (BjPool *p, const BjPoolOptions *o)
{
  BjPoolConn *c = o->is_probe || o->opens_conn ? NULL : take_idle_conn (p, o);

  if (c == NULL)
    c = open_conn (p, &o->address);
  c->options = *o;
  c->head = bj_str_dup (o->head);
  c->n_sent = 0;
  c->n_received = 0;
  c->since = bj_clock_now ();
  c->idle_timeout_ms = IDLE_TIMEOUT_MS;
  c->is_complete = false;
  mark_dirty (c);
  return c;
}

void
bj_pool_resume (BjPoolConn *c)
{
  BjStr part = { c->unconsumed_body->str, c->unconsumed_body->len };

  if (!c->is_paused || c->is_closed)
    return;
  if (part.len > 0 && c->options.on_body (c->options.data, part) == 0)
    return;
  g_string_truncate (c->unconsumed_body, 0);
  c->is_paused = false;
  if (c->is_complete)
    finish_response (c, false);
  else
    ev_io_start (c->pool->loop, &c->read);
}

void
bj_pool_cancel (BjPoolConn *c)
{
  suspect_idle_conns (c, bj_clock_now ());
  c->options.data = NULL;
  close_conn (c);
}

void
bj_pool_close_idle (BjPool *p)
{
  while (!g_queue_is_empty (&p->idle))
    close_conn (g_queue_peek_head (&p->idle));
}

void
bj_pool_flush (BjPool *p)
{
  while (p->dirty->len > 0)
    {
      BjPoolConn *c = g_ptr_array_steal_index_fast (p->dirty, p->dirty->len - 1);

      c->is_dirty = false;
      if (!c->is_closed)
        send_request (c);
    }
  while (p->closed->len > 0)
    free_conn (g_ptr_array_steal_index_fast (p->closed, p->closed->len - 1));
}

static BjPoolConn *
open_conn (BjPool *p, const BjAddress *a)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)a->port) };
  BjPoolConn *c = g_new0 (BjPoolConn, 1);

  n_opened.value++;
  c->pool = p;
  c->state = CONNECTING;
  c->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  c->unconsumed_body = g_string_new (NULL);
  bj_message_init (&c->message);
  bj_response_init (&c->response);
  ev_io_init (&c->read, on_read, c->fd, EV_READ);
  ev_io_init (&c->write, on_write, c->fd, EV_WRITE);
  ev_timer_init (&c->probe_timer, on_probe_timer, PROBE_OPEN_MS / 1000.0, 0);
  c->read.data = c;
  c->write.data = c;
  c->probe_timer.data = c;
  g_hash_table_add (p->conns, c);
  set_socket_options (c->fd);
  inet_pton (AF_INET, a->host.data, &addr.sin_addr);
  if (c->fd >= 0
      && (connect (c->fd, (struct sockaddr *)&addr, sizeof addr) == 0 || errno == EINPROGRESS))
    ev_io_start (p->loop, &c->write);
  return c;
}

static void
set_socket_options (int fd)
{
  const struct
  {
    int level;
    int name;
    int value;
  } all[] = {
    { IPPROTO_TCP, TCP_NODELAY, 1 },
    { SOL_SOCKET, SO_KEEPALIVE, 1 },
    { IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
    { IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
    { IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES },
    { IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    setsockopt (fd, all[i].level, all[i].name, &all[i].value, sizeof all[i].value);
}

// Returns the most recently used idle connection, so that the others expire, or NULL.
static BjPoolConn *
take_idle_conn (BjPool *p, const BjPoolOptions *o)
{
  BjPoolConn *c = g_queue_peek_head (&p->idle);
  BjTime now = bj_clock_now ();

  if (p->is_idle_suspect || c == NULL || now >= c->idle_deadline
      || (o->skip_idle_conns && now - c->since > WARM_IDLE_MAX_MS))
    return NULL;
  g_queue_pop_head (&p->idle);
  n_reused.value++;
  c->is_reused = true;
  c->state = SENDING;
  return c;
}

static void
on_read (struct ev_loop *loop, ev_io *w, int events)
{
  static char buffer[READ_BYTES];
  BjPoolConn *c = w->data;
  ssize_t n = recv (c->fd, buffer, sizeof buffer, 0);

  (void)loop;
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (c->state == IDLE)
    {
      if (n > 0)
        {
          n_foreign.value++;
          bj_log (
              BJ_LOG_INFO, "UPSTREAM", "Received %zd bytes on an idle connection; closing it.", n);
        }
      close_conn (c);
      return;
    }
  if (c->options.is_probe)
    finish_probe (c, n);
  else if (n <= 0)
    on_end_of_stream (c, n < 0);
  else
    parse_response (c, buffer, (size_t)n);
}

static void
on_write (struct ev_loop *loop, ev_io *w, int events)
{
  BjPoolConn *c = w->data;
  int error = 0;
  socklen_t len = sizeof error;

  (void)events;
  ev_io_stop (loop, w);
  if (c->state == CONNECTING)
    {
      getsockopt (c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
      if (error != 0)
        {
          // A proxy may accept and then reset a connection that the upstream refuses.
          bool is_refused = error == ECONNREFUSED || (c->options.is_probe && error == ECONNRESET);

          fail_request (c, is_refused ? BJ_E_NO_UPSTREAM : BJ_E_LOST);
          return;
        }
      c->state = SENDING;
      if (c->options.is_probe)
        {
          // Wait for a late reset: a proxy accepts first and resets when the upstream refuses.
          c->since = bj_clock_now ();
          ev_io_start (loop, &c->read);
          ev_timer_start (loop, &c->probe_timer);
          return;
        }
    }
  send_request (c);
}

// After a stall of the loop the timer runs before the read watcher, so the reset may be pending.
static void
on_probe_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  BjPoolConn *c = w->data;
  char byte;
  ssize_t n = recv (c->fd, &byte, 1, MSG_PEEK);

  (void)loop;
  (void)events;
  if (n < 0 && errno == EAGAIN)
    finish_response (c, false);
  else
    finish_probe (c, n);
}

// An upstream that sends bytes before a request is faulty, but it has not crashed.
static void
finish_probe (BjPoolConn *c, ssize_t n_received)
{
  if (n_received <= 0)
    {
      fail_request (c, BJ_E_NO_UPSTREAM);
      return;
    }
  n_foreign.value++;
  bj_log (
      BJ_LOG_INFO, "UPSTREAM", "Received %zd bytes on a probe connection; closing it.", n_received);
  finish_response (c, true);
}

static void
on_timeout_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  BjPool *p = w->data;
  BjTime now = bj_clock_now ();
  GList *all = g_hash_table_get_keys (p->conns);

  (void)loop;
  (void)events;
  for (GList *i = all; i != NULL; i = i->next)
    check_timeouts (i->data, now);
  g_list_free (all);
}

static void
check_timeouts (BjPoolConn *c, BjTime now)
{
  if (c->is_closed)
    return;
  if (c->state == IDLE && now >= c->idle_deadline)
    close_conn (c);
  else if (c->state == CONNECTING && now - c->since > BJ_CONNECT_TIMEOUT_MS)
    fail_request (c, BJ_E_LOST);
  else if (c->state == SENDING)
    suspect_idle_conns (c, now);
  else if (c->is_paused && !c->is_stall_logged && now - c->paused_at > STALL_LOG_MS)
    {
      c->is_stall_logged = true;
      bj_log (BJ_LOG_INFO,
              "UPSTREAM",
              "response paused for_ms=%.0f received=%zu waiting=%zu whole=%d",
              now - c->paused_at,
              c->n_received,
              c->unconsumed_body->len,
              c->is_complete);
    }
}

// Marks the idle connections as suspect when a reused one gets no response and no other connection
// got one for SUSPECT_SILENCE_MS. A middlebox may have dropped their state, which leaves them open
// but silent. Once a new connection gets a response, the idle ones are closed.
static void
suspect_idle_conns (BjPoolConn *c, BjTime now)
{
  BjPool *p = c->pool;

  if (p->is_idle_suspect || !c->is_reused || now - c->since < SUSPECT_SILENCE_MS
      || now - p->last_response_at < SUSPECT_SILENCE_MS)
    return;
  p->is_idle_suspect = true;
  bj_log (BJ_LOG_INFO,
          "UPSTREAM",
          "No response on a reused connection; idle ones are not reused until a response arrives.");
}

static void
note_response (BjPoolConn *c)
{
  BjPool *p = c->pool;

  p->last_response_at = bj_clock_now ();
  if (!p->is_idle_suspect)
    return;
  p->is_idle_suspect = false;
  if (!c->is_reused)
    bj_pool_close_idle (p);
}

static void
send_request (BjPoolConn *c)
{
  size_t total = c->head.len + c->options.body.len;

  if (c->state == CONNECTING)
    {
      if (!ev_is_active (&c->write))
        fail_request (c, BJ_E_NO_UPSTREAM);
      return;
    }
  if (c->n_sent == 0)
    {
      http_parser_init (&c->parser, HTTP_RESPONSE);
      c->parser.data = c;
      bj_message_reset (&c->message);
      bj_response_reset (&c->response);
      ev_io_start (c->pool->loop, &c->read);
    }
  while (c->n_sent < total)
    {
      bool in_head = c->n_sent < c->head.len;
      const char *from
          = in_head ? c->head.data + c->n_sent : c->options.body.data + c->n_sent - c->head.len;
      size_t left = in_head ? c->head.len - c->n_sent : total - c->n_sent;
      ssize_t n = send (
          c->fd, from, left, MSG_NOSIGNAL | (in_head && c->options.body.len > 0 ? MSG_MORE : 0));

      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        {
          ev_io_start (c->pool->loop, &c->write);
          return;
        }
      // The upstream may have responded early and stopped reading; on_read handles that response.
      // After a reset it reads an end of stream, because send () has taken the error. With EPIPE a
      // FIN came before the reset.
      if (n < 0 && errno != EPIPE)
        c->is_reset = true;
      if (n <= 0)
        return;
      c->n_sent += (size_t)n;
    }
}

static void
mark_dirty (BjPoolConn *c)
{
  if (c->is_dirty || c->is_closed)
    return;
  c->is_dirty = true;
  g_ptr_array_add (c->pool->dirty, c);
}

// A response without a length is complete when the connection closes with a FIN, not on a reset.
static void
on_end_of_stream (BjPoolConn *c, bool is_reset)
{
  if (!is_reset && !c->is_reset)
    http_parser_execute (&c->parser, &parser_settings, NULL, 0);
  if (c->is_closed)
    return;
  c->parser.http_major = 0;
  if (c->is_complete)
    finish_response (c, true);
  else
    fail_request (c, BJ_E_LOST);
}

static void
parse_response (BjPoolConn *c, const char *data, size_t n)
{
  const char *reason = bj_response_read (&c->response, (BjStr){ data, n });
  enum http_errno e;
  size_t used;

  c->n_received += n;
  if (reason != NULL)
    {
      reject_response (c, reason);
      return;
    }
  used = http_parser_execute (&c->parser, &parser_settings, data, n);
  e = HTTP_PARSER_ERRNO (&c->parser);
  if (!c->is_closed && (e == HPE_OK || e == HPE_PAUSED))
    pass_on_body (c);
  if (c->is_closed)
    return;
  if (e == HPE_PAUSED && c->is_complete)
    {
      if (used < n)
        n_foreign.value++;
      // http_major 0 makes a later finish_response close the connection.
      if (c->is_paused)
        c->parser.http_major = used < n ? 0 : c->parser.http_major;
      else
        finish_response (c, used < n);
    }
  else if (e != HPE_OK)
    reject_response (c, http_errno_description (e));
  else if (c->n_received > (c->state == RECEIVING ? RESPONSE_MAX : HEADER_MAX))
    reject_response (c, c->state == RECEIVING ? "it has no end" : "its head has no end");
}

static void
reject_response (BjPoolConn *c, const char *reason)
{
  n_malformed.value++;
  bj_log (BJ_LOG_INFO,
          "UPSTREAM",
          "Malformed response after %zu bytes: %s; closing the connection.",
          c->n_received,
          reason);
  fail_request (c, BJ_E_LOST);
}

static int
on_status (http_parser *p, const char *data, size_t n)
{
  BjPoolConn *c = p->data;

  (void)data;
  (void)n;
  bj_message_reset (&c->message);
  return 0;
}

static int
on_field (http_parser *p, const char *data, size_t n)
{
  BjPoolConn *c = p->data;

  if (c->state == RECEIVING)
    return 0;
  bj_message_field (&c->message, data, n);
  return c->message.headers->len > HEADER_MAX;
}

static int
on_value (http_parser *p, const char *data, size_t n)
{
  BjPoolConn *c = p->data;

  if (c->state == RECEIVING)
    return 0;
  bj_message_value (&c->message, data, n);
  return c->message.headers->len > HEADER_MAX;
}

static int
on_headers (http_parser *p)
{
  BjPoolConn *c = p->data;
  BjHead h = { .status = (int)p->status_code, .length = -1, .is_first = !c->is_reused };

  if (h.status < 200)
    {
      bj_message_reset (&c->message);
      return 0;
    }
  h.headers = bj_message_headers (&c->message);
  if ((p->flags & F_CONTENTLENGTH) != 0)
    h.length = (int64_t)p->content_length;
  else if (c->options.is_head || h.status == 204 || h.status == 304)
    h.length = 0;
  c->state = RECEIVING;
  note_response (c);
  c->idle_timeout_ms = keep_alive_ms (h.headers);
  if (c->options.on_head (c->options.data, &h) != BJ_OK && !c->is_closed)
    {
      n_foreign.value++;
      c->state = SENDING; // fail_request then reports BJ_E_LOST, not BJ_E_BROKEN
      return -1;
    }
  if (c->is_closed)
    return -1;
  // 1: no body follows, whatever the length.
  return c->options.is_head || h.status == 204 || h.status == 304 ? 1 : 0;
}

// Small parts are passed on together once all that was received is parsed: each chunk of a body is
// a part, and each part that is passed on costs a frame or a chunk.
static int
on_body (http_parser *p, const char *data, size_t n)
{
  BjPoolConn *c = p->data;
  bool is_first = c->unconsumed_body->len == 0;

  // An interim response has no body.
  if (c->state != RECEIVING)
    return -1;
  if (is_first && n >= SMALL_PART_BYTES && !c->is_paused
      && c->options.on_body (c->options.data, (BjStr){ data, n }) > 0)
    return c->is_closed ? -1 : 0;
  if (c->is_closed)
    return -1;
  g_string_append_len (c->unconsumed_body, data, (gssize)n);
  return 0;
}

static void
pass_on_body (BjPoolConn *c)
{
  BjStr part = { c->unconsumed_body->str, c->unconsumed_body->len };

  if (part.len == 0 || c->is_paused)
    return;
  if (c->options.on_body (c->options.data, part) > 0)
    {
      g_string_truncate (c->unconsumed_body, 0);
      return;
    }
  if (c->is_closed)
    return;
  c->is_stall_logged = false;
  c->paused_at = bj_clock_now ();
  c->is_paused = true;
  ev_io_stop (c->pool->loop, &c->read);
}

static int
on_complete (http_parser *p)
{
  BjPoolConn *c = p->data;

  // An interim (1xx) response.
  if (c->state != RECEIVING)
    return 0;
  c->is_complete = true;
  http_parser_pause (p, 1);
  return 0;
}

// Returns the idle timeout after a response, limited by a header such as "Keep-Alive: timeout=5".
static double
keep_alive_ms (BjStr headers)
{
  BjStr value = bj_header_find (headers, "Keep-Alive");
  const char *at = value.len > 0 ? g_strstr_len (value.data, (gssize)value.len, "timeout=") : NULL;
  double ms = IDLE_TIMEOUT_MS;

  if (at != NULL)
    ms = MIN (ms,
              g_ascii_strtoll (at + strlen ("timeout="), NULL, 10) * 1000.0 - KEEP_ALIVE_MARGIN_MS);
  return ms;
}

// Reports the complete response and keeps or closes the connection. is_unusable: the connection
// cannot be reused, because it closed or bytes follow the response.
static void
finish_response (BjPoolConn *c, bool is_unusable)
{
  BjPoolOptions o = c->options;
  BjTime now = bj_clock_now ();
  bool is_sent = c->n_sent == c->head.len + c->options.body.len;
  bool keeps
      = !is_unusable && is_sent && c->idle_timeout_ms > 0
        && (o.is_probe || (c->parser.http_major == 1 && http_should_keep_alive (&c->parser)));

  c->options.data = NULL;
  bj_str_free (&c->head);
  if (keeps)
    {
      c->state = IDLE;
      c->since = now;
      c->idle_deadline = now + c->idle_timeout_ms;
      g_queue_push_head (&c->pool->idle, c);
      ev_io_start (c->pool->loop, &c->read);
    }
  else
    close_conn (c);
  o.on_done (o.data, BJ_OK, true);
}

static void
fail_request (BjPoolConn *c, BjStatus s)
{
  BjPoolOptions o = c->options;
  bool sent = c->n_sent > 0;

  if (c->state == RECEIVING)
    s = BJ_E_BROKEN;

  close_conn (c);
  if (o.data != NULL)
    o.on_done (o.data, s, sent);
}

static void
close_conn (BjPoolConn *c)
{
  BjPool *p = c->pool;

  if (c->is_closed)
    return;
  c->is_closed = true;
  ev_io_stop (p->loop, &c->read);
  ev_io_stop (p->loop, &c->write);
  ev_timer_stop (p->loop, &c->probe_timer);
  if (c->fd >= 0)
    close (c->fd);
  if (c->state == IDLE)
    g_queue_remove (&p->idle, c);
  g_hash_table_remove (p->conns, c);
  g_ptr_array_add (p->closed, c);
}

static void
free_conn (BjPoolConn *c)
{
  if (c->is_dirty)
    g_ptr_array_remove_fast (c->pool->dirty, c);
  bj_message_clear (&c->message);
  bj_response_clear (&c->response);
  g_string_free (c->unconsumed_body, TRUE);
  bj_str_free (&c->head);
  g_free (c);
}
