// Pool: HTTP/1.1 connections to the own upstream, read by http-parser. One run on each at a time,
// and a request is sent once: what a lost connection carried is reported, never sent again here.

#include "internal.h"
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BLOCK 65536   // bytes read at once
#define SWEEP_MS 200       // between two looks for connections past their time
#define IDLE_MAX_MS 4000   // an idle connection is closed after this long, if not told sooner
#define IDLE_MARGIN_MS 500 // before the end that the upstream told
#define WARM_MS 500        // idle for longer, a connection may be lost unnoticed
#define SILENCE_MS 1000    // bytes not acknowledged for this long mean a lost connection
#define PROBE_IDLE_S 1     // of a silent connection before it is probed
#define PROBE_INTERVAL_S 1 // between two probes
#define PROBES 2           // unanswered, before it is lost
#define PROOF_MS 100       // that the connection of a probe must stay open
#define HEADER_MAX 65536   // bytes of an answer's head
#define SUSPECT_MS 500     // without an answer while others come, idle connections are doubted

typedef enum
{
  CONNECTING,
  IDLE,
  SENDING,  // the request is written or its answer awaited
  ANSWERED, // the head came
} PoolState;

struct BjPoolRun
{
  BjPool *pool;
  BjPoolOptions o;
  BjStr head; // owned
  int fd;
  ev_io read;
  ev_io write;
  ev_timer proof; // of a probe: it stays open for so long
  PoolState state;
  http_parser parser;
  BjMessage message;
  GString *held; // body that was not taken
  size_t sent;   // bytes of head and body written
  BjTime since;
  BjTime closes_at; // the upstream closes it when idle, or this pool does
  double keep_ms;   // that it stays open when idle
  bool is_paused;
  bool is_dirty;
  bool is_complete; // the answer came to its end
  bool is_closed;
  bool is_reused;
};

struct BjPool
{
  struct ev_loop *loop;
  ev_timer sweep;
  GHashTable *runs; // set of all BjPoolRun*, idle ones too
  GQueue idle;      // last used first
  bool is_doubted;  // idle connections may be silent: the next run tries a new one
  BjTime answered;  // last head of an answer
  GPtrArray *dirty; // with bytes to write
  GPtrArray *dead;  // closed, freed at the end of the turn
};

static BjPoolRun *open_conn (BjPool *p, const BjAddress *a);
static BjPoolRun *take_idle (BjPool *p, const BjPoolOptions *o);
static void set_options (int fd);
static void on_read (struct ev_loop *loop, ev_io *w, int events);
static void on_write (struct ev_loop *loop, ev_io *w, int events);
static void on_proof (struct ev_loop *loop, ev_timer *w, int events);
static void on_sweep (struct ev_loop *loop, ev_timer *w, int events);
static void look_at (BjPoolRun *r, BjTime now);
static void doubt (BjPoolRun *r, BjTime now);
static void note_answer (BjPoolRun *r);
static void send_request (BjPoolRun *r);
static void mark_dirty (BjPoolRun *r);
static void on_end_of_stream (BjPoolRun *r, bool is_reset);
static void parse (BjPoolRun *r, const char *data, size_t n);
static int on_status (http_parser *p, const char *data, size_t n);
static int on_field (http_parser *p, const char *data, size_t n);
static int on_value (http_parser *p, const char *data, size_t n);
static int on_headers (http_parser *p);
static int on_body (http_parser *p, const char *data, size_t n);
static int on_complete (http_parser *p);
static double keep_alive_ms (BjStr headers);
static void complete (BjPoolRun *r, bool has_more);
static void lose (BjPoolRun *r, BjStatus s);
static void close_run (BjPoolRun *r);
static void free_run (BjPoolRun *r);

static const http_parser_settings parser_settings = {
  .on_status = on_status,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_headers,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

static BjCounter n_opened
    = { "upstream_connections_opened_total", "Connections opened to the own upstream.", 0 };
static BjCounter n_reused
    = { "upstream_connections_reused_total", "Calls sent on a connection used before.", 0 };
static BjCounter n_foreign = { "upstream_foreign_answers_total",
                               "Answers that belonged to no open call, or to another one.",
                               0 };

BjPool *
bj_pool_new (struct ev_loop *loop)
{
  BjPool *p = g_new0 (BjPool, 1);

  bj_metric_register (&n_opened);
  bj_metric_register (&n_reused);
  bj_metric_register (&n_foreign);
  p->loop = loop;
  p->runs = g_hash_table_new (NULL, NULL);
  p->dirty = g_ptr_array_new ();
  p->dead = g_ptr_array_new ();
  g_queue_init (&p->idle);
  ev_timer_init (&p->sweep, on_sweep, SWEEP_MS / 1000.0, SWEEP_MS / 1000.0);
  p->sweep.data = p;
  ev_timer_start (loop, &p->sweep);
  return p;
}

void
bj_pool_free (BjPool *p)
{
  GList *all = g_hash_table_get_keys (p->runs);

  for (GList *i = all; i != NULL; i = i->next)
    close_run (i->data);
  g_list_free (all);
  bj_pool_flush (p);
  ev_timer_stop (p->loop, &p->sweep);
  g_hash_table_destroy (p->runs);
  g_queue_clear (&p->idle);
  g_ptr_array_free (p->dirty, TRUE);
  g_ptr_array_free (p->dead, TRUE);
  g_free (p);
}

BjPoolRun *
bj_pool_start (BjPool *p, const BjPoolOptions *o)
{
  BjPoolRun *r = o->is_probe ? NULL : take_idle (p, o);

  if (r == NULL)
    r = open_conn (p, &o->address);
  r->o = *o;
  r->head = bj_str_dup (o->head);
  r->sent = 0;
  r->since = bj_clock_now ();
  r->keep_ms = IDLE_MAX_MS;
  r->is_complete = false;
  mark_dirty (r);
  return r;
}

void
bj_pool_resume (BjPoolRun *r)
{
  BjStr part = { r->held->str, r->held->len };

  if (!r->is_paused || r->is_closed)
    return;
  if (part.len > 0 && r->o.on_body (r->o.data, part) == 0)
    return;
  g_string_truncate (r->held, 0);
  r->is_paused = false;
  if (r->is_complete)
    complete (r, false);
  else
    ev_io_start (r->pool->loop, &r->read);
}

void
bj_pool_cancel (BjPoolRun *r)
{
  doubt (r, bj_clock_now ());
  r->o.data = NULL;
  close_run (r);
}

void
bj_pool_drop (BjPool *p)
{
  while (!g_queue_is_empty (&p->idle))
    close_run (g_queue_peek_head (&p->idle));
}

void
bj_pool_flush (BjPool *p)
{
  while (p->dirty->len > 0)
    {
      BjPoolRun *r = g_ptr_array_steal_index_fast (p->dirty, p->dirty->len - 1);

      r->is_dirty = false;
      if (!r->is_closed)
        send_request (r);
    }
  while (p->dead->len > 0)
    free_run (g_ptr_array_steal_index_fast (p->dead, p->dead->len - 1));
}

static BjPoolRun *
open_conn (BjPool *p, const BjAddress *a)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)a->port) };
  BjPoolRun *r = g_new0 (BjPoolRun, 1);

  n_opened.value++;
  r->pool = p;
  r->state = CONNECTING;
  r->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  r->held = g_string_new (NULL);
  bj_message_init (&r->message);
  ev_io_init (&r->read, on_read, r->fd, EV_READ);
  ev_io_init (&r->write, on_write, r->fd, EV_WRITE);
  ev_timer_init (&r->proof, on_proof, PROOF_MS / 1000.0, 0);
  r->read.data = r;
  r->write.data = r;
  r->proof.data = r;
  g_hash_table_add (p->runs, r);
  set_options (r->fd);
  inet_pton (AF_INET, a->host.data, &addr.sin_addr);
  if (r->fd >= 0
      && (connect (r->fd, (struct sockaddr *)&addr, sizeof addr) == 0 || errno == EINPROGRESS))
    ev_io_start (p->loop, &r->write);
  return r;
}

static void
set_options (int fd)
{
  const struct
  {
    int level;
    int name;
    int value;
  } all[] = {
    { IPPROTO_TCP, TCP_NODELAY, 1 },
    { SOL_SOCKET, SO_KEEPALIVE, 1 },
    { IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_S },
    { IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S },
    { IPPROTO_TCP, TCP_KEEPCNT, PROBES },
    { IPPROTO_TCP, TCP_USER_TIMEOUT, SILENCE_MS },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    setsockopt (fd, all[i].level, all[i].name, &all[i].value, sizeof all[i].value);
}

// The one used last, so that the others age out.
static BjPoolRun *
take_idle (BjPool *p, const BjPoolOptions *o)
{
  BjPoolRun *r = g_queue_peek_head (&p->idle);
  BjTime now = bj_clock_now ();

  if (p->is_doubted || r == NULL || now >= r->closes_at
      || (o->only_warm && now - r->since > WARM_MS))
    return NULL;
  g_queue_pop_head (&p->idle);
  n_reused.value++;
  r->is_reused = true;
  r->state = SENDING;
  return r;
}

static void
on_read (struct ev_loop *loop, ev_io *w, int events)
{
  static char buffer[READ_BLOCK];
  BjPoolRun *r = w->data;
  ssize_t n = recv (r->fd, buffer, sizeof buffer, 0);

  (void)loop;
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (r->state == IDLE)
    {
      if (n > 0)
        {
          n_foreign.value++;
          bj_log (BJ_LOG_INFO, "UPSTREAM", "%zd bytes came on an idle connection, closed.", n);
        }
      close_run (r);
      return;
    }
  if (r->o.is_probe)
    lose (r, BJ_E_NO_UPSTREAM);
  else if (n <= 0)
    on_end_of_stream (r, n < 0);
  else
    parse (r, buffer, (size_t)n);
}

static void
on_write (struct ev_loop *loop, ev_io *w, int events)
{
  BjPoolRun *r = w->data;
  int error = 0;
  socklen_t len = sizeof error;

  (void)events;
  ev_io_stop (loop, w);
  if (r->state == CONNECTING)
    {
      getsockopt (r->fd, SOL_SOCKET, SO_ERROR, &error, &len);
      if (error != 0)
        {
          // What stands between may reset what it has accepted in the upstream's place.
          bool is_refused = error == ECONNREFUSED || (r->o.is_probe && error == ECONNRESET);

          lose (r, is_refused ? BJ_E_NO_UPSTREAM : BJ_E_LOST);
          return;
        }
      r->state = SENDING;
      if (r->o.is_probe)
        {
          // What stands between may accept a connection that the upstream refuses, and reset it.
          r->since = bj_clock_now ();
          ev_io_start (loop, &r->read);
          ev_timer_start (loop, &r->proof);
          return;
        }
    }
  send_request (r);
}

static void
on_proof (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)loop;
  (void)events;
  complete (w->data, false);
}

static void
on_sweep (struct ev_loop *loop, ev_timer *w, int events)
{
  BjPool *p = w->data;
  BjTime now = bj_clock_now ();
  GList *all = g_hash_table_get_keys (p->runs);

  (void)loop;
  (void)events;
  for (GList *i = all; i != NULL; i = i->next)
    look_at (i->data, now);
  g_list_free (all);
}

static void
look_at (BjPoolRun *r, BjTime now)
{
  if (r->is_closed)
    return;
  if (r->state == IDLE && now >= r->closes_at)
    close_run (r);
  else if (r->state == CONNECTING && now - r->since > BJ_CONNECT_TIMEOUT_MS)
    lose (r, BJ_E_LOST);
  else if (r->state == SENDING)
    doubt (r, now);
}

// Connections that a middlebox forgot stay open and silent. When a new one answers, the idle ones
// are closed.
static void
doubt (BjPoolRun *r, BjTime now)
{
  BjPool *p = r->pool;

  if (p->is_doubted || !r->is_reused || now - r->since < SUSPECT_MS
      || now - p->answered < SUSPECT_MS)
    return;
  p->is_doubted = true;
  bj_log (BJ_LOG_INFO, "UPSTREAM", "A reused connection is silent, the next call opens a new one.");
}

static void
note_answer (BjPoolRun *r)
{
  BjPool *p = r->pool;

  p->answered = bj_clock_now ();
  if (!p->is_doubted)
    return;
  p->is_doubted = false;
  if (!r->is_reused)
    bj_pool_drop (p);
}

static void
send_request (BjPoolRun *r)
{
  size_t total = r->head.len + r->o.body.len;

  if (r->state == CONNECTING)
    {
      if (!ev_is_active (&r->write))
        lose (r, BJ_E_NO_UPSTREAM);
      return;
    }
  if (r->sent == 0)
    {
      http_parser_init (&r->parser, HTTP_RESPONSE);
      r->parser.data = r;
      bj_message_reset (&r->message);
      ev_io_start (r->pool->loop, &r->read);
    }
  while (r->sent < total)
    {
      bool in_head = r->sent < r->head.len;
      const char *from = in_head ? r->head.data + r->sent : r->o.body.data + r->sent - r->head.len;
      size_t left = in_head ? r->head.len - r->sent : total - r->sent;
      ssize_t n
          = send (r->fd, from, left, MSG_NOSIGNAL | (in_head && r->o.body.len > 0 ? MSG_MORE : 0));

      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        {
          ev_io_start (r->pool->loop, &r->write);
          return;
        }
      // An answer may be here already, from an upstream that does not want the rest.
      if (n <= 0)
        return;
      r->sent += (size_t)n;
    }
}

static void
mark_dirty (BjPoolRun *r)
{
  if (r->is_dirty || r->is_closed)
    return;
  r->is_dirty = true;
  g_ptr_array_add (r->pool->dirty, r);
}

// Only an orderly end completes an answer that has no length.
static void
on_end_of_stream (BjPoolRun *r, bool is_reset)
{
  if (!is_reset)
    http_parser_execute (&r->parser, &parser_settings, NULL, 0);
  if (r->is_closed)
    return;
  r->parser.http_major = 0;
  if (r->is_complete)
    complete (r, true);
  else
    lose (r, BJ_E_LOST);
}

static void
parse (BjPoolRun *r, const char *data, size_t n)
{
  size_t used = http_parser_execute (&r->parser, &parser_settings, data, n);
  enum http_errno e = HTTP_PARSER_ERRNO (&r->parser);

  if (r->is_closed)
    return;
  if (e == HPE_PAUSED && r->is_complete)
    {
      if (used < n)
        n_foreign.value++;
      if (r->is_paused)
        r->parser.http_major = used < n ? 0 : r->parser.http_major;
      else
        complete (r, used < n);
    }
  else if (e != HPE_OK)
    {
      bj_log (BJ_LOG_INFO, "UPSTREAM", "An answer can't be read: %s.", http_errno_description (e));
      lose (r, BJ_E_LOST);
    }
}

static int
on_status (http_parser *p, const char *data, size_t n)
{
  BjPoolRun *r = p->data;

  (void)data;
  (void)n;
  bj_message_reset (&r->message);
  return 0;
}

static int
on_field (http_parser *p, const char *data, size_t n)
{
  BjPoolRun *r = p->data;

  if (r->state == ANSWERED)
    return 0;
  bj_message_field (&r->message, data, n);
  return r->message.headers->len > HEADER_MAX;
}

static int
on_value (http_parser *p, const char *data, size_t n)
{
  BjPoolRun *r = p->data;

  if (r->state == ANSWERED)
    return 0;
  bj_message_value (&r->message, data, n);
  return r->message.headers->len > HEADER_MAX;
}

static int
on_headers (http_parser *p)
{
  BjPoolRun *r = p->data;
  BjHead h = { .status = (int)p->status_code, .length = -1 };

  if (h.status < 200)
    {
      bj_message_reset (&r->message);
      return 0;
    }
  h.headers = bj_message_headers (&r->message);
  if ((p->flags & F_CONTENTLENGTH) != 0)
    h.length = (int64_t)p->content_length;
  else if (r->o.is_head || h.status == 204 || h.status == 304)
    h.length = 0;
  r->state = ANSWERED;
  note_answer (r);
  r->keep_ms = keep_alive_ms (h.headers);
  if (r->o.on_head (r->o.data, &h) != BJ_OK && !r->is_closed)
    {
      n_foreign.value++;
      r->state = SENDING;
      return -1;
    }
  if (r->is_closed)
    return -1;
  return r->o.is_head ? 1 : 0;
}

static int
on_body (http_parser *p, const char *data, size_t n)
{
  BjPoolRun *r = p->data;

  if (r->held->len == 0 && !r->is_paused && r->o.on_body (r->o.data, (BjStr){ data, n }) > 0)
    return r->is_closed ? -1 : 0;
  if (r->is_closed)
    return -1;
  g_string_append_len (r->held, data, (gssize)n);
  r->is_paused = true;
  ev_io_stop (r->pool->loop, &r->read);
  return 0;
}

static int
on_complete (http_parser *p)
{
  BjPoolRun *r = p->data;

  // An interim answer.
  if (r->state != ANSWERED)
    return 0;
  r->is_complete = true;
  http_parser_pause (p, 1);
  return 0;
}

// "Keep-Alive: timeout=5, max=100"
static double
keep_alive_ms (BjStr headers)
{
  BjStr value = bj_header_find (headers, "Keep-Alive");
  const char *at = value.len > 0 ? g_strstr_len (value.data, (gssize)value.len, "timeout=") : NULL;
  double ms = IDLE_MAX_MS;

  if (at != NULL)
    ms = MIN (ms, g_ascii_strtoll (at + strlen ("timeout="), NULL, 10) * 1000.0 - IDLE_MARGIN_MS);
  return ms;
}

// The answer is whole. has_more: the connection is not at the start of a next one.
static void
complete (BjPoolRun *r, bool has_more)
{
  BjPoolOptions o = r->o;
  BjTime now = bj_clock_now ();
  bool is_sent = r->sent == r->head.len + r->o.body.len;
  bool keeps
      = !has_more && is_sent && r->keep_ms > 0
        && (o.is_probe || (r->parser.http_major == 1 && http_should_keep_alive (&r->parser)));

  r->o.data = NULL;
  bj_str_free (&r->head);
  if (keeps)
    {
      r->state = IDLE;
      r->since = now;
      r->closes_at = now + r->keep_ms;
      g_queue_push_head (&r->pool->idle, r);
      ev_io_start (r->pool->loop, &r->read);
    }
  else
    close_run (r);
  o.on_done (o.data, BJ_OK, true);
}

static void
lose (BjPoolRun *r, BjStatus s)
{
  BjPoolOptions o = r->o;
  bool sent = r->sent > 0;

  if (r->state == ANSWERED)
    s = BJ_E_BROKEN;

  close_run (r);
  if (o.data != NULL)
    o.on_done (o.data, s, sent);
}

static void
close_run (BjPoolRun *r)
{
  BjPool *p = r->pool;

  if (r->is_closed)
    return;
  r->is_closed = true;
  ev_io_stop (p->loop, &r->read);
  ev_io_stop (p->loop, &r->write);
  ev_timer_stop (p->loop, &r->proof);
  if (r->fd >= 0)
    close (r->fd);
  if (r->state == IDLE)
    g_queue_remove (&p->idle, r);
  g_hash_table_remove (p->runs, r);
  g_ptr_array_add (p->dead, r);
}

static void
free_run (BjPoolRun *r)
{
  if (r->is_dirty)
    g_ptr_array_remove_fast (r->pool->dirty, r);
  bj_message_clear (&r->message);
  g_string_free (r->held, TRUE);
  bj_str_free (&r->head);
  g_free (r);
}
