// Link: TCP connections to other daemons. A daemon dials one for the calls it sends to a peer; the
// answers come back on it.

#include "internal.h"
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#define LENGTH_BYTES 4
#define READ_BYTES 65536
#define BACKLOG 512
#define WINDOW_STEP (BJ_WINDOW_BYTES / 4) // bytes drained before a grant is sent

struct BjLinks
{
  BjDaemon *daemon;
  int fd;
  ev_io accept;
  GHashTable *conns; // set of Conn*
  GPtrArray *dirty;  // Conn* with bytes to write
};

typedef struct
{
  BjLinks *links;
  int fd;
  ev_io read;
  ev_io write;
  bool is_dialled;
  bool is_connected;
  bool is_dirty;
  bool is_closing;
  BjStr peer; // name, owned
  GString *in;
  msgpack_sbuffer out;
  size_t out_at;       // written from out
  uint64_t n_queued;   // bytes ever queued
  uint64_t n_written;  // bytes ever written
  GHashTable *runs;    // call id to Run, calls sent
  GHashTable *replies; // call id to Reply, calls received
} Conn;

typedef struct
{
  BjSource source; // first
  BjExchange *x;
  Conn *conn;
  uint64_t id;
  uint64_t first_byte; // of its CALL frame in what was queued
  XXH64_state_t *hash;
  uint64_t length;
  uint64_t not_granted; // drained since the last grant
  bool begun;
} Run;

typedef struct
{
  BjSink sink; // first
  BjExchange *x;
  Conn *conn;
  uint64_t id;
  XXH64_state_t *hash;
  uint64_t length;
  uint64_t window;
} Reply;

static void on_accept (struct ev_loop *loop, ev_io *w, int events);
static void on_readable (struct ev_loop *loop, ev_io *w, int events);
static void on_writable (struct ev_loop *loop, ev_io *w, int events);
static Conn *new_conn (BjLinks *l, int fd);
static Conn *dial (BjLinks *l, BjPeer *p);
static void close_conn (Conn *c, BjStatus s);
static void lose_runs (Conn *c, BjStatus s);
static void lose_replies (Conn *c);
static void send_frame (Conn *c, const BjFrame *f);
static bool write_out (Conn *c);
static bool read_frames (Conn *c);
static bool handle (Conn *c, const BjFrame *f);
static bool handle_hello (Conn *c, const BjFrame *f);
static void handle_call (Conn *c, const BjFrame *f);
static void handle_answer (Conn *c, const BjFrame *f);
static void handle_data (Conn *c, const BjFrame *f);
static void handle_end (Conn *c, const BjFrame *f);
static void handle_cancel (Conn *c, const BjFrame *f);
static void handle_window (Conn *c, const BjFrame *f);
static void handle_config_ask (Conn *c, const BjFrame *f);
static bool is_sound (const BjRequest *r);
static void run_drained (BjSource *s, size_t n);
static void run_cancel (BjSource *s);
static void free_run (Run *r);
static void reply_begin (BjSink *s, const BjAnswer *a);
static size_t reply_room (BjSink *s);
static void reply_data (BjSink *s, BjStr part);
static void reply_end (BjSink *s, bool whole);
static void free_reply (Reply *r);

static const BjSourceOps run_ops = { run_drained, run_cancel };
static const BjSinkOps reply_ops = { reply_begin, reply_room, reply_data, reply_end };
static BjCounter n_unmatched
    = { "link_unmatched_frames_total", "Frames that matched no open call.", 0 };
static BjCounter n_malformed
    = { "link_malformed_frames_total", "Connections closed for a malformed frame.", 0 };

BjStatus
bj_links_new (BjDaemon *d, BjLinks **links)
{
  BjAddress a = d->settings.link;
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)a.port) };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  BjLinks *l;

  inet_pton (AF_INET, a.host.data, &addr.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *)&addr, sizeof addr) != 0 || listen (fd, BACKLOG) != 0)
    {
      int error = errno;

      if (fd >= 0)
        close (fd);
      return bj_fail (BJ_E_IO,
                      "settings.link: %s:%d can't be opened: %s.",
                      a.host.data,
                      a.port,
                      g_strerror (error));
    }
  bj_metric_register (&n_unmatched);
  bj_metric_register (&n_malformed);
  l = g_new0 (BjLinks, 1);
  l->daemon = d;
  l->fd = fd;
  l->conns = g_hash_table_new (NULL, NULL);
  l->dirty = g_ptr_array_new ();
  ev_io_init (&l->accept, on_accept, fd, EV_READ);
  l->accept.data = l;
  ev_io_start (d->loop, &l->accept);
  *links = l;
  return BJ_OK;
}

void
bj_links_free (BjLinks *l)
{
  GList *all;

  if (l == NULL)
    return;
  all = g_hash_table_get_keys (l->conns);
  for (GList *i = all; i != NULL; i = i->next)
    close_conn (i->data, BJ_E_CANCELLED);
  g_list_free (all);
  ev_io_stop (l->daemon->loop, &l->accept);
  close (l->fd);
  g_hash_table_destroy (l->conns);
  g_ptr_array_free (l->dirty, TRUE);
  g_free (l);
}

void
bj_links_send (BjLinks *l, BjExchange *x, BjPeer *p)
{
  Conn *c = p->link != NULL ? p->link : dial (l, p);
  const BjCall *call = x->call;
  Run *r = g_new0 (Run, 1);
  BjFrame f = {
    .kind = BJ_FRAME_CALL, .id = call->id, .name = call->service->name, .request = call->request
  };

  r->source.ops = &run_ops;
  r->x = x;
  r->conn = c;
  r->id = call->id;
  r->first_byte = c->n_queued;
  r->hash = XXH64_createState ();
  XXH64_reset (r->hash, 0);
  x->source = &r->source;
  g_hash_table_insert (c->runs, &r->id, r);
  f.request.klass = call->klass;
  f.request.irreversible = call->irreversible;
  f.request.deadline_ms = MAX (1, call->deadline - bj_clock_now () - BJ_HOP_MS);
  f.request.attempts_left = call->attempts_left;
  f.request.depth = call->request.depth + 1;
  send_frame (c, &f);
}

void
bj_links_forget (BjLinks *l, BjPeer *p)
{
  (void)l;
  if (p->link != NULL)
    close_conn (p->link, BJ_E_LOST);
}

void
bj_links_ask_config (BjLinks *l, BjPeer *p, int64_t number)
{
  Conn *c = p->link != NULL ? p->link : dial (l, p);
  BjFrame f = { .kind = BJ_FRAME_CONFIG_ASK, .id = (uint64_t)number };

  send_frame (c, &f);
}

void
bj_links_flush (BjLinks *l)
{
  while (l->dirty->len > 0)
    {
      Conn *c = g_ptr_array_steal_index_fast (l->dirty, l->dirty->len - 1);

      c->is_dirty = false;
      if (c->is_connected && !write_out (c))
        close_conn (c, BJ_E_LOST);
    }
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  BjLinks *l = w->data;
  int fd;

  (void)loop;
  (void)events;
  while ((fd = accept4 (l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    new_conn (l, fd)->is_connected = true;
}

static void
on_readable (struct ev_loop *loop, ev_io *w, int events)
{
  Conn *c = w->data;
  char buffer[READ_BYTES];
  ssize_t n = recv (c->fd, buffer, sizeof buffer, 0);

  (void)loop;
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      close_conn (c, BJ_E_LOST);
      return;
    }
  g_string_append_len (c->in, buffer, n);
  if (!read_frames (c))
    close_conn (c, BJ_E_LOST);
}

static void
on_writable (struct ev_loop *loop, ev_io *w, int events)
{
  Conn *c = w->data;
  int error = 0;
  socklen_t len = sizeof error;

  (void)events;
  if (!c->is_connected)
    {
      getsockopt (c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
      if (error != 0)
        {
          bj_log (BJ_LOG_INFO,
                  "LINK",
                  "No connection to %.*s: %s.",
                  BJ_STR_ARG (c->peer),
                  g_strerror (error));
          close_conn (c, BJ_E_LOST);
          return;
        }
      c->is_connected = true;
    }
  ev_io_stop (loop, w);
  if (!write_out (c))
    close_conn (c, BJ_E_LOST);
}

static Conn *
new_conn (BjLinks *l, int fd)
{
  Conn *c = g_new0 (Conn, 1);
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  c->links = l;
  c->fd = fd;
  c->in = g_string_new (NULL);
  msgpack_sbuffer_init (&c->out);
  c->runs = g_hash_table_new (g_int64_hash, g_int64_equal);
  c->replies = g_hash_table_new (g_int64_hash, g_int64_equal);
  ev_io_init (&c->read, on_readable, fd, EV_READ);
  ev_io_init (&c->write, on_writable, fd, EV_WRITE);
  c->read.data = c;
  c->write.data = c;
  ev_io_start (l->daemon->loop, &c->read);
  g_hash_table_add (l->conns, c);
  return c;
}

static Conn *
dial (BjLinks *l, BjPeer *p)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)p->report.link_port) };
  struct sockaddr_in own = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  Conn *c = new_conn (l, fd);
  BjFrame hello = {
    .kind = BJ_FRAME_HELLO,
    .id = l->daemon->incarnation,
    .protocol = BJ_PROTOCOL_VERSION,
    .name = l->daemon->settings.name,
  };

  inet_pton (AF_INET, p->report.host.data, &addr.sin_addr);
  inet_pton (AF_INET, l->daemon->settings.link.host.data, &own.sin_addr);
  // The source address tells the failure domain apart where its network has rules of its own.
  (void)bind (fd, (struct sockaddr *)&own, sizeof own);
  c->is_dialled = true;
  c->peer = bj_str_dup (p->report.name);
  p->link = c;
  // A refusal shows when the socket turns writable.
  (void)connect (fd, (struct sockaddr *)&addr, sizeof addr);
  ev_io_start (l->daemon->loop, &c->write);
  send_frame (c, &hello);
  return c;
}

static void
close_conn (Conn *c, BjStatus s)
{
  BjDaemon *d = c->links->daemon;
  BjPeer *p = c->is_dialled ? bj_kernel_find_peer (d->kernel, c->peer) : NULL;

  if (c->is_closing)
    return;
  c->is_closing = true;
  if (p != NULL && p->link == c)
    p->link = NULL;
  ev_io_stop (d->loop, &c->read);
  ev_io_stop (d->loop, &c->write);
  close (c->fd);
  lose_runs (c, s);
  lose_replies (c);
  if (c->is_dirty)
    g_ptr_array_remove_fast (c->links->dirty, c);
  g_hash_table_remove (c->links->conns, c);
  g_hash_table_destroy (c->runs);
  g_hash_table_destroy (c->replies);
  msgpack_sbuffer_destroy (&c->out);
  g_string_free (c->in, TRUE);
  bj_str_free (&c->peer);
  g_free (c);
}

static void
lose_runs (Conn *c, BjStatus s)
{
  GHashTableIter i;
  gpointer value;

  for (;;)
    {
      g_hash_table_iter_init (&i, c->runs);
      if (!g_hash_table_iter_next (&i, NULL, &value))
        return;
      Run *r = value;
      BjExchange *x = r->x;
      bool begun = r->begun;
      BjOutcome o = r->first_byte >= c->n_written ? BJ_NOT_RUN : BJ_UNKNOWN;

      g_hash_table_iter_remove (&i);
      free_run (r);
      if (begun)
        bj_exchange_end (x, false);
      else
        bj_exchange_lost (x, s, o);
    }
}

static void
lose_replies (Conn *c)
{
  GHashTableIter i;
  gpointer value;

  for (;;)
    {
      g_hash_table_iter_init (&i, c->replies);
      if (!g_hash_table_iter_next (&i, NULL, &value))
        return;
      Reply *r = value;
      BjExchange *x = r->x;

      g_hash_table_iter_remove (&i);
      free_reply (r);
      bj_exchange_gone (x);
    }
}

static void
send_frame (Conn *c, const BjFrame *f)
{
  size_t before = c->out.size;

  if (c->is_closing)
    return;
  bj_frame_encode (&c->out, f);
  c->n_queued += c->out.size - before;
  if (c->is_dirty)
    return;
  c->is_dirty = true;
  g_ptr_array_add (c->links->dirty, c);
}

static bool
write_out (Conn *c)
{
  ssize_t n;

  while (c->out_at < c->out.size)
    {
      n = send (c->fd, c->out.data + c->out_at, c->out.size - c->out_at, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        {
          ev_io_start (c->links->daemon->loop, &c->write);
          return true;
        }
      if (n <= 0)
        return false;
      c->out_at += (size_t)n;
      c->n_written += (uint64_t)n;
    }
  c->out_at = 0;
  msgpack_sbuffer_clear (&c->out);
  return true;
}

static bool
read_frames (Conn *c)
{
  size_t at = 0;
  bool sound = true;

  while (sound && !c->is_closing && c->in->len - at >= LENGTH_BYTES)
    {
      uint32_t length;
      msgpack_unpacked keep;
      BjFrame f;

      memcpy (&length, c->in->str + at, LENGTH_BYTES);
      length = ntohl (length);
      if (length > BJ_FRAME_MAX)
        {
          n_malformed.value++;
          bj_log (BJ_LOG_WARNING,
                  "LINK",
                  "A frame of %u bytes is over the limit, connection closed.",
                  length);
          return false;
        }
      if (c->in->len - at - LENGTH_BYTES < length)
        break;
      msgpack_unpacked_init (&keep);
      sound
          = bj_frame_decode ((BjStr){ c->in->str + at + LENGTH_BYTES, length }, &keep, &f) == BJ_OK;
      if (sound)
        sound = handle (c, &f);
      else
        {
          n_malformed.value++;
          bj_log (BJ_LOG_WARNING, "LINK", "%s Connection closed.", bj_last_message ());
        }
      msgpack_unpacked_destroy (&keep);
      at += LENGTH_BYTES + length;
    }
  g_string_erase (c->in, 0, (gssize)at);
  return sound;
}

static bool
handle (Conn *c, const BjFrame *f)
{
  BjFrame pong = { .kind = BJ_FRAME_PONG };

  if (!c->is_dialled && c->peer.len == 0)
    return handle_hello (c, f);
  switch (f->kind)
    {
    case BJ_FRAME_CALL:
      handle_call (c, f);
      break;
    case BJ_FRAME_ANSWER:
      handle_answer (c, f);
      break;
    case BJ_FRAME_DATA:
      handle_data (c, f);
      break;
    case BJ_FRAME_END:
      handle_end (c, f);
      break;
    case BJ_FRAME_CANCEL:
      handle_cancel (c, f);
      break;
    case BJ_FRAME_WINDOW:
      handle_window (c, f);
      break;
    case BJ_FRAME_PING:
      send_frame (c, &pong);
      break;
    case BJ_FRAME_CONFIG_ASK:
      handle_config_ask (c, f);
      break;
    case BJ_FRAME_CONFIG:
      bj_daemon_config (c->links->daemon, f->data);
      break;
    default:
      break;
    }
  return true;
}

static bool
handle_hello (Conn *c, const BjFrame *f)
{
  if (f->kind != BJ_FRAME_HELLO || f->protocol != BJ_PROTOCOL_VERSION || f->name.len == 0)
    {
      n_malformed.value++;
      bj_log (BJ_LOG_WARNING,
              "LINK",
              "A connection did not begin with HELLO of protocol %d.",
              BJ_PROTOCOL_VERSION);
      return false;
    }
  c->peer = bj_str_dup (f->name);
  return true;
}

static void
handle_call (Conn *c, const BjFrame *f)
{
  Reply *r;

  if (g_hash_table_contains (c->replies, &f->id) || !is_sound (&f->request))
    {
      n_malformed.value++;
      return;
    }
  r = g_new0 (Reply, 1);
  r->sink.ops = &reply_ops;
  r->conn = c;
  r->id = f->id;
  r->window = BJ_WINDOW_BYTES;
  r->hash = XXH64_createState ();
  XXH64_reset (r->hash, 0);
  g_hash_table_insert (c->replies, &r->id, r);
  BjExchange *x = bj_daemon_arrive_peer (c->links->daemon, &f->request, f->name, &r->sink);
  if (x != NULL)
    r->x = x;
}

static void
handle_answer (Conn *c, const BjFrame *f)
{
  Run *r = g_hash_table_lookup (c->runs, &f->id);

  if (r == NULL || r->begun)
    {
      n_unmatched.value++;
      bj_log (BJ_LOG_DEBUG, "LINK", "An answer matches no open call, dropped.");
      return;
    }
  r->begun = true;
  bj_exchange_begin (r->x, &f->answer);
}

static void
handle_data (Conn *c, const BjFrame *f)
{
  Run *r = g_hash_table_lookup (c->runs, &f->id);

  if (r == NULL || !r->begun)
    return;
  XXH64_update (r->hash, f->data.data, f->data.len);
  r->length += f->data.len;
  bj_exchange_data (r->x, f->data);
}

static void
handle_end (Conn *c, const BjFrame *f)
{
  Run *r = g_hash_table_lookup (c->runs, &f->id);
  BjExchange *x;
  bool whole;

  if (r == NULL || !r->begun)
    return;
  x = r->x;
  whole = f->whole && f->length == r->length && f->hash == XXH64_digest (r->hash);
  g_hash_table_remove (c->runs, &r->id);
  free_run (r);
  bj_exchange_end (x, whole);
}

static void
handle_cancel (Conn *c, const BjFrame *f)
{
  Reply *r = g_hash_table_lookup (c->replies, &f->id);
  BjExchange *x;

  if (r == NULL)
    return;
  x = r->x;
  g_hash_table_remove (c->replies, &r->id);
  free_reply (r);
  bj_exchange_gone (x);
}

static void
handle_window (Conn *c, const BjFrame *f)
{
  Reply *r = g_hash_table_lookup (c->replies, &f->id);

  if (r == NULL)
    return;
  r->window = MIN (r->window + f->length, BJ_WINDOW_BYTES);
  bj_exchange_drained (r->x, f->length);
}

static void
handle_config_ask (Conn *c, const BjFrame *f)
{
  const BjConfig *config = bj_kernel_config (c->links->daemon->kernel);
  BjFrame reply = { .kind = BJ_FRAME_CONFIG };

  if (config == NULL || (uint64_t)config->number < f->id)
    return;
  reply.data = config->text;
  send_frame (c, &reply);
}

// Guards the HTTP request to the upstream against bytes that would change its framing.
static bool
is_sound (const BjRequest *r)
{
  BjStr texts[] = { r->method, r->path, r->key, r->content_type };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    for (size_t j = 0; j < texts[i].len; j++)
      if ((unsigned char)texts[i].data[j] < ' ' || texts[i].data[j] == 0x7f)
        return false;
  if (!bj_header_is_sound (r->headers))
    return false;
  return r->method.len > 0 && r->path.len > 0 && r->path.data[0] == '/' && r->deadline_ms > 0;
}

static void
run_drained (BjSource *s, size_t n)
{
  Run *r = (Run *)s;
  BjFrame f = { .kind = BJ_FRAME_WINDOW, .id = r->id };

  r->not_granted += n;
  if (r->not_granted < WINDOW_STEP)
    return;
  f.length = r->not_granted;
  r->not_granted = 0;
  send_frame (r->conn, &f);
}

static void
run_cancel (BjSource *s)
{
  Run *r = (Run *)s;
  BjFrame f = { .kind = BJ_FRAME_CANCEL, .id = r->id };

  send_frame (r->conn, &f);
  g_hash_table_remove (r->conn->runs, &r->id);
  free_run (r);
}

static void
free_run (Run *r)
{
  XXH64_freeState (r->hash);
  g_free (r);
}

static void
reply_begin (BjSink *s, const BjAnswer *a)
{
  Reply *r = (Reply *)s;
  BjFrame f = { .kind = BJ_FRAME_ANSWER, .id = r->id, .answer = *a };

  send_frame (r->conn, &f);
}

static size_t
reply_room (BjSink *s)
{
  return ((Reply *)s)->window;
}

static void
reply_data (BjSink *s, BjStr part)
{
  Reply *r = (Reply *)s;
  BjFrame f = { .kind = BJ_FRAME_DATA, .id = r->id };

  XXH64_update (r->hash, part.data, part.len);
  r->length += part.len;
  r->window -= MIN (r->window, part.len);
  while (part.len > 0)
    {
      f.data = (BjStr){ part.data, MIN (part.len, BJ_FRAME_DATA_MAX) };
      send_frame (r->conn, &f);
      part = (BjStr){ part.data + f.data.len, part.len - f.data.len };
    }
}

static void
reply_end (BjSink *s, bool whole)
{
  Reply *r = (Reply *)s;
  BjFrame f = { .kind = BJ_FRAME_END, .id = r->id, .whole = whole, .length = r->length };

  f.hash = XXH64_digest (r->hash);
  send_frame (r->conn, &f);
  g_hash_table_remove (r->conn->replies, &r->id);
  free_reply (r);
}

static void
free_reply (Reply *r)
{
  XXH64_freeState (r->hash);
  g_free (r);
}
