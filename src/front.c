// Front: HTTP from callers and operators through libmicrohttpd, on the libev loop.

#include "internal.h"
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX 8192
#define IDLE_TIMEOUT_S 120
#define CONNECTION_MEMORY (2 * BJ_HEADER_MAX)
#define READ_BLOCK 16384
#define ACTIONS_PATH "/v1/actions" // mints home-bound action ids

struct BjFront
{
  BjDaemon *daemon;
  bool is_admin;
  struct MHD_Daemon *http;
  ev_io io;
  ev_timer timer;
  bool is_ready;   // MHD_run has something to do
  bool is_closing; // answers end their connections
  int n_open;      // requests not yet answered whole
};

typedef struct
{
  BjSink sink; // first
  BjFront *front;
  struct MHD_Connection *conn;
  BjExchange *x;
  ev_io gone; // sees a caller that hangs up while suspended
  BjStr path; // raw, with query
  GString *body;
  GString *headers; // of the request, to relay
  GString *out;     // answer bytes not yet taken
  size_t out_at;
  BjAnswer answer;
  BjStr content_type; // owned copy of the answer's
  bool is_read;       // head seen
  bool is_too_large;
  bool is_dispatched;
  bool has_answer;
  bool is_started; // queued at MHD
  bool is_ended;
  bool is_whole;
  bool is_suspended;
  bool is_gone;
} Caller;

static void on_io (struct ev_loop *loop, ev_io *w, int events);
static void on_timer (struct ev_loop *loop, ev_timer *w, int events);
static void arm (BjFront *f);
static void *on_uri (void *front, const char *uri, struct MHD_Connection *conn);
static enum MHD_Result on_request (void *front,
                                   struct MHD_Connection *conn,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *data,
                                   size_t *size,
                                   void **caller);
static void on_completed (void *front,
                          struct MHD_Connection *conn,
                          void **caller,
                          enum MHD_RequestTerminationCode code);
static void read_body (Caller *c, const char *data, size_t size);
static void dispatch (Caller *c, const char *method);
static void mint (Caller *c);
static void dispatch_admin (Caller *c, const char *method);
static void read_request (Caller *c, const char *method, BjRequest *r);
static enum MHD_Result
add_header (void *block, enum MHD_ValueKind kind, const char *name, const char *value);
static void relay_headers (struct MHD_Response *r, BjStr block);
static double header_number (Caller *c, const char *name, double absent);
static enum MHD_Result queue_answer (Caller *c);
static void add_headers (struct MHD_Response *r, const BjAnswer *a);
static ssize_t read_answer (void *caller, uint64_t pos, char *buf, size_t max);
static void suspend (Caller *c);
static void resume (Caller *c);
static bool can_start (const Caller *c);
static void on_gone (struct ev_loop *loop, ev_io *w, int events);
static void fill (Caller *c, int status, BjStatus code, BjStr text);
static void caller_begin (BjSink *s, const BjAnswer *a);
static size_t caller_room (BjSink *s);
static void caller_data (BjSink *s, BjStr part);
static void caller_end (BjSink *s, bool whole);

static const BjSinkOps caller_ops = { caller_begin, caller_room, caller_data, caller_end };

BjStatus
bj_front_new (BjDaemon *d, BjAddress a, bool is_admin, BjFront **front)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)a.port) };
  BjFront *f = g_new0 (BjFront, 1);
  const union MHD_DaemonInfo *info;

  inet_pton (AF_INET, a.host.data, &addr.sin_addr);
  f->daemon = d;
  f->is_admin = is_admin;
  f->http = MHD_start_daemon (MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO,
                              0,
                              NULL,
                              NULL,
                              on_request,
                              f,
                              MHD_OPTION_SOCK_ADDR,
                              &addr,
                              MHD_OPTION_URI_LOG_CALLBACK,
                              on_uri,
                              f,
                              MHD_OPTION_NOTIFY_COMPLETED,
                              on_completed,
                              f,
                              MHD_OPTION_CONNECTION_LIMIT,
                              (unsigned int)CONNECTIONS_MAX,
                              MHD_OPTION_CONNECTION_TIMEOUT,
                              (unsigned int)IDLE_TIMEOUT_S,
                              MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                              (size_t)CONNECTION_MEMORY,
                              MHD_OPTION_STRICT_FOR_CLIENT,
                              1,
                              MHD_OPTION_LISTENING_ADDRESS_REUSE,
                              1U,
                              MHD_OPTION_END);
  if (f->http == NULL)
    {
      g_free (f);
      return bj_fail (BJ_E_IO,
                      "settings.%s: %s:%d can't be opened: %s.",
                      is_admin ? "admin" : "front",
                      a.host.data,
                      a.port,
                      g_strerror (errno));
    }
  info = MHD_get_daemon_info (f->http, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&f->io, on_io, info->epoll_fd, EV_READ);
  f->io.data = f;
  ev_io_start (d->loop, &f->io);
  ev_timer_init (&f->timer, on_timer, 0, 0);
  f->timer.data = f;
  *front = f;
  return BJ_OK;
}

void
bj_front_free (BjFront *f)
{
  if (f == NULL)
    return;
  ev_io_stop (f->daemon->loop, &f->io);
  ev_timer_stop (f->daemon->loop, &f->timer);
  MHD_stop_daemon (f->http);
  g_free (f);
}

bool
bj_front_turn (BjFront *f)
{
  if (!f->is_ready)
    return false;
  f->is_ready = false;
  MHD_run (f->http);
  arm (f);
  return true;
}

void
bj_front_close (BjFront *f)
{
  f->is_closing = true;
}

// Takes over the connections that the system has accepted already, then stops listening.
void
bj_front_quiesce (BjFront *f)
{
  struct sockaddr_storage addr;
  socklen_t len = sizeof addr;
  int listening = MHD_quiesce_daemon (f->http);
  int fd;

  if (listening < 0)
    return;
  while ((fd = accept4 (listening, (struct sockaddr *)&addr, &len, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      MHD_add_connection (f->http, fd, (struct sockaddr *)&addr, len);
      len = sizeof addr;
    }
  close (listening);
  f->is_ready = true;
}

int
bj_front_open (const BjFront *f)
{
  return f->n_open;
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  BjFront *f = w->data;

  (void)loop;
  (void)events;
  f->is_ready = true;
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  BjFront *f = w->data;

  (void)loop;
  (void)events;
  f->is_ready = true;
}

static void
arm (BjFront *f)
{
  MHD_UNSIGNED_LONG_LONG ms;

  ev_timer_stop (f->daemon->loop, &f->timer);
  if (MHD_get_timeout (f->http, &ms) != MHD_YES)
    return;
  if (ms == 0)
    {
      f->is_ready = true;
      return;
    }
  ev_timer_set (&f->timer, (double)ms / 1000.0, 0);
  ev_timer_start (f->daemon->loop, &f->timer);
}

static void *
on_uri (void *front, const char *uri, struct MHD_Connection *conn)
{
  Caller *c = g_new0 (Caller, 1);

  ((BjFront *)front)->n_open++;
  c->sink.ops = &caller_ops;
  c->front = front;
  c->conn = conn;
  c->path = bj_str_dup (bj_str (uri));
  c->body = g_string_new (NULL);
  c->headers = g_string_new (NULL);
  c->out = g_string_new (NULL);
  return c;
}

static enum MHD_Result
on_request (void *front,
            struct MHD_Connection *conn,
            const char *url,
            const char *method,
            const char *version,
            const char *data,
            size_t *size,
            void **caller)
{
  Caller *c = *caller;

  (void)front;
  (void)conn;
  (void)url;
  (void)version;
  if (c == NULL || c->is_gone)
    return MHD_NO;
  if (!c->is_read)
    {
      c->is_read = true;
      return MHD_YES;
    }
  if (*size > 0)
    {
      read_body (c, data, *size);
      *size = 0;
      return MHD_YES;
    }
  if (!c->is_dispatched)
    {
      c->is_dispatched = true;
      if (c->front->is_admin)
        dispatch_admin (c, method);
      else
        dispatch (c, method);
    }
  if (can_start (c))
    return queue_answer (c);
  suspend (c);
  return MHD_YES;
}

static void
on_completed (void *front,
              struct MHD_Connection *conn,
              void **caller,
              enum MHD_RequestTerminationCode code)
{
  Caller *c = *caller;

  (void)front;
  (void)conn;
  (void)code;
  if (c == NULL)
    return;
  c->front->n_open--;
  ev_io_stop (c->front->daemon->loop, &c->gone);
  if (c->x != NULL)
    bj_exchange_gone (c->x);
  bj_str_free (&c->path);
  bj_str_free (&c->content_type);
  g_string_free (c->body, TRUE);
  g_string_free (c->headers, TRUE);
  g_string_free (c->out, TRUE);
  g_free (c);
  *caller = NULL;
}

static void
read_body (Caller *c, const char *data, size_t size)
{
  if (c->body->len + size > BJ_REQUEST_BODY_MAX)
    c->is_too_large = true;
  else
    g_string_append_len (c->body, data, (gssize)size);
}

static void
dispatch (Caller *c, const char *method)
{
  BjRequest r;

  if (c->is_too_large)
    {
      fill (
          c, 413, BJ_E_TOO_LARGE, BJ_STR ("{\"error\":\"The request body is over the limit.\"}\n"));
      return;
    }
  if (strcmp (method, "POST") == 0 && bj_str_equal (c->path, BJ_STR (ACTIONS_PATH)))
    {
      mint (c);
      return;
    }
  read_request (c, method, &r);
  // The answer may come at once, before the exchange is known here.
  c->x = bj_daemon_arrive (c->front->daemon, &r, &c->sink);
}

static void
mint (Caller *c)
{
  GString *out = g_string_new ("{\"id\":\"");

  bj_outcomes_mint (c->front->daemon->outcomes, out);
  g_string_append (out, "\"}\n");
  fill (c, 201, BJ_OK, (BjStr){ out->str, out->len });
  g_string_free (out, TRUE);
}

static void
dispatch_admin (Caller *c, const char *method)
{
  GString *out = g_string_new (NULL);
  int status = 413;

  if (!c->is_too_large)
    status = bj_admin_handle (
        c->front->daemon, bj_str (method), c->path, (BjStr){ c->body->str, c->body->len }, out);
  fill (c, status, BJ_OK, (BjStr){ out->str, out->len });
  g_string_free (out, TRUE);
}

static void
read_request (Caller *c, const char *method, BjRequest *r)
{
  memset (r, 0, sizeof *r);
  r->method = bj_str (method);
  r->path = c->path;
  r->key = bj_str (MHD_lookup_connection_value (c->conn, MHD_HEADER_KIND, "Idempotency-Key"));
  r->content_type = bj_str (MHD_lookup_connection_value (c->conn, MHD_HEADER_KIND, "Content-Type"));
  r->body = (BjStr){ c->body->str, c->body->len };
  MHD_get_connection_values (c->conn, MHD_HEADER_KIND, add_header, c->headers);
  r->headers = (BjStr){ c->headers->str, c->headers->len };
  r->klass = (int)header_number (c, "Bj-Class", -1);
  r->deadline_ms = header_number (c, "Bj-Deadline-Ms", 0);
  r->attempts_left = (int)header_number (c, "Bj-Attempts-Left", -1);
  r->depth = (int)header_number (c, "Bj-Path", 0);
  r->parent = (uint64_t)header_number (c, "Bj-Call", 0);
}

static enum MHD_Result
add_header (void *block, enum MHD_ValueKind kind, const char *name, const char *value)
{
  (void)kind;
  bj_header_add (block, bj_str (name), bj_str (value));
  return MHD_YES;
}

static void
relay_headers (struct MHD_Response *r, BjStr block)
{
  BjStr name;
  BjStr value;

  while (bj_header_next (&block, &name, &value))
    {
      BjStr n = bj_str_dup (name);
      BjStr v = bj_str_dup (value);

      MHD_add_response_header (r, n.data, v.data);
      bj_str_free (&n);
      bj_str_free (&v);
    }
}

static double
header_number (Caller *c, const char *name, double absent)
{
  int64_t value;
  BjStr text = bj_str (MHD_lookup_connection_value (c->conn, MHD_HEADER_KIND, name));

  return bj_str_int (text, &value) && value >= 0 ? (double)value : absent;
}

static enum MHD_Result
queue_answer (Caller *c)
{
  struct MHD_Response *r;
  enum MHD_Result result;
  uint64_t length = c->answer.length >= 0 ? (uint64_t)c->answer.length : MHD_SIZE_UNKNOWN;

  c->is_started = true;
  r = MHD_create_response_from_callback (length, READ_BLOCK, read_answer, c, NULL);
  if (c->content_type.len > 0)
    MHD_add_response_header (r, "Content-Type", c->content_type.data);
  relay_headers (r, (BjStr){ c->headers->str, c->headers->len });
  if (!c->front->is_admin)
    add_headers (r, &c->answer);
  if (c->front->is_closing)
    MHD_add_response_header (r, "Connection", "close");
  result = MHD_queue_response (c->conn, (unsigned int)c->answer.http_status, r);
  MHD_destroy_response (r);
  return result;
}

static void
add_headers (struct MHD_Response *r, const BjAnswer *a)
{
  char text[32];

  MHD_add_response_header (r, "Bj-Outcome", bj_outcome_name (a->outcome));
  if (a->code != BJ_OK)
    MHD_add_response_header (r, "Bj-Code", bj_status_name (a->code));
  if (a->retry_after_ms > 0)
    {
      g_snprintf (text, sizeof text, "%.0f", a->retry_after_ms);
      MHD_add_response_header (r, "Bj-Retry-After-Ms", text);
      g_snprintf (text, sizeof text, "%d", (int)(a->retry_after_ms / 1000) + 1);
      MHD_add_response_header (r, "Retry-After", text);
    }
  if (a->attempts_left >= 0)
    {
      g_snprintf (text, sizeof text, "%d", a->attempts_left);
      MHD_add_response_header (r, "Bj-Attempts-Left", text);
    }
}

static ssize_t
read_answer (void *caller, uint64_t pos, char *buf, size_t max)
{
  Caller *c = caller;
  size_t n = MIN (max, c->out->len - c->out_at);

  (void)pos;
  if (n == 0 && c->is_ended)
    return c->is_whole ? MHD_CONTENT_READER_END_OF_STREAM : MHD_CONTENT_READER_END_WITH_ERROR;
  if (n == 0)
    {
      suspend (c);
      return 0;
    }
  memcpy (buf, c->out->str + c->out_at, n);
  c->out_at += n;
  if (c->out_at == c->out->len)
    {
      g_string_truncate (c->out, 0);
      c->out_at = 0;
    }
  if (c->x != NULL)
    bj_exchange_drained (c->x, n);
  return (ssize_t)n;
}

static void
suspend (Caller *c)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (c->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

  c->is_suspended = true;
  MHD_suspend_connection (c->conn);
  ev_io_init (&c->gone, on_gone, info->connect_fd, EV_READ);
  c->gone.data = c;
  ev_io_start (c->front->daemon->loop, &c->gone);
}

static void
resume (Caller *c)
{
  if (!c->is_suspended)
    return;
  c->is_suspended = false;
  ev_io_stop (c->front->daemon->loop, &c->gone);
  MHD_resume_connection (c->conn);
  c->front->is_ready = true;
}

// A head without body bytes behind it would wait in the socket for the next segment, so a short
// answer starts when all of it is here.
static bool
can_start (const Caller *c)
{
  size_t wanted = c->answer.length >= 0 ? MIN ((size_t)c->answer.length, READ_BLOCK) : 1;

  return c->has_answer && (c->is_ended || c->is_started || c->out->len >= wanted);
}

static void
on_gone (struct ev_loop *loop, ev_io *w, int events)
{
  Caller *c = w->data;
  BjExchange *x = c->x;
  char byte;
  ssize_t n = recv (w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  ev_io_stop (loop, w);
  if (n > 0)
    return;
  c->is_gone = true;
  c->is_ended = true;
  c->x = NULL;
  if (x != NULL)
    bj_exchange_gone (x);
  resume (c);
}

static void
fill (Caller *c, int status, BjStatus code, BjStr text)
{
  BjAnswer a = {
    .code = code,
    .outcome = BJ_NOT_RUN,
    .http_status = status,
    .attempts_left = -1,
    .content_type = BJ_STR ("application/json"),
    .length = (int64_t)text.len,
  };

  caller_begin (&c->sink, &a);
  caller_data (&c->sink, text);
  caller_end (&c->sink, true);
}

static void
caller_begin (BjSink *s, const BjAnswer *a)
{
  Caller *c = (Caller *)s;

  c->answer = *a;
  bj_str_set (&c->content_type, a->content_type);
  g_string_truncate (c->headers, 0);
  if (a->headers.len > 0)
    g_string_append_len (c->headers, a->headers.data, (gssize)a->headers.len);
  c->has_answer = true;
}

static size_t
caller_room (BjSink *s)
{
  Caller *c = (Caller *)s;
  size_t held = c->out->len - c->out_at;

  return held < BJ_WINDOW_BYTES ? BJ_WINDOW_BYTES - held : 0;
}

static void
caller_data (BjSink *s, BjStr part)
{
  Caller *c = (Caller *)s;

  g_string_append_len (c->out, part.data, (gssize)part.len);
  if (can_start (c))
    resume (c);
}

static void
caller_end (BjSink *s, bool whole)
{
  Caller *c = (Caller *)s;

  c->x = NULL;
  c->is_ended = true;
  c->is_whole = whole;
  resume (c);
}
