// Link: TCP connections to other daemons. A daemon dials one connection per peer for the calls it
// sends; the responses arrive on the same connection. A silent connection with open calls is
// pinged. While a ping is unanswered, the peer receives no new calls and its open calls that may be
// executed again are rerouted. After UNANSWERED_PINGS_MAX pings the connection is replaced and its
// calls go on on the new one. The daemon that accepted it keeps it open for responses that it can't
// send again, and for these alone.

#include "link.h"
#include "usage.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LENGTH_BYTES 4 // length prefix of a frame
#define READ_BYTES 65536
#define READS_USAGE 1 // id of a PONG; daemons of earlier versions send 0
#define BACKLOG 512
#define UNANSWERED_PINGS_MAX 5       // pings after which the connection is closed
#define SILENCE_CHECK_INTERVAL_MS 50 // between two checks for silent and idle connections

typedef struct
{
  BjLinks *links;
  GArray *notices; // BjNotice
} Notification;

static void on_accept (struct ev_loop *loop, ev_io *w, int events);
static void on_readable (struct ev_loop *loop, ev_io *w, int events);
static void tell_progress (BjConn *c);
static void mark_peer_reachable (const BjConn *c);
static void on_writable (struct ev_loop *loop, ev_io *w, int events);
static void on_ping_timer (struct ev_loop *loop, ev_timer *w, int events);
static bool ping_if_silent (BjConn *c, BjTime now);
static bool replace_silent_conn (BjConn *c, BjPeer *p);
static void retire_conn (BjConn *c);
static void redial_unreachable_peer (BjPeer *p, void *links);
static void reroute_calls (BjConn *c, BjTime now);
static BjConn *new_conn (BjLinks *l, int fd);
static BjConn *dial_peer (BjLinks *l, BjPeer *p);
static void send_hello (BjConn *c);
static void close_conn (BjConn *c, BjStatus s);
static void free_conn (BjConn *c);
static void mark_dirty (BjConn *c);
static bool write_pending (BjConn *c);
static size_t get_frame_max (const BjConn *c);
static bool read_frames (BjConn *c);
static bool dispatch_frame (BjConn *c, const BjFrame *f);
static void send_current_notices (BjConn *c);
static void notify_peer (BjPeer *p, void *data);
static void send_pong (BjConn *c, BjStr report);
static bool check_signature (const BjConn *c, const BjFrame *f);
static bool handle_hello (BjConn *c, const BjFrame *f);
static void close_superseded_conns (BjConn *c);
static void handle_config_request (BjConn *c, const BjFrame *f);
static void start_config_parts (BjConn *c, const BjConfig *config);
static void queue_config_part (BjConn *c);

static BjCounter n_unmatched
    = { "link_unmatched_frames_total", "Response frames from peers that matched no open call.", 0 };
static BjCounter n_forged
    = { "link_forged_hellos_total",
        "Links closed because the HELLO signature did not match the deployment key.",
        0 };
static BjCounter n_malformed = { "link_malformed_frames_total",
                                 "Links closed because of a malformed or oversized frame.",
                                 0 };
static BjCounter n_unresponsive
    = { "link_silent_connections_total", "Links closed because the peer did not answer pings.", 0 };

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
                      "settings.link: cannot listen on %s:%d: %s.",
                      a.host.data,
                      a.port,
                      g_strerror (error));
    }
  bj_metric_register (&n_unmatched);
  bj_metric_register (&n_malformed);
  bj_metric_register (&n_forged);
  bj_outgoing_register_metrics ();
  l = g_new0 (BjLinks, 1);
  l->daemon = d;
  l->fd = fd;
  l->conns = g_hash_table_new (NULL, NULL);
  l->dirty = g_ptr_array_new ();
  ev_io_init (&l->accept, on_accept, fd, EV_READ);
  l->accept.data = l;
  ev_io_start (d->loop, &l->accept);
  ev_timer_init (&l->ping_timer,
                 on_ping_timer,
                 SILENCE_CHECK_INTERVAL_MS / 1000.0,
                 SILENCE_CHECK_INTERVAL_MS / 1000.0);
  l->ping_timer.data = l;
  ev_timer_start (d->loop, &l->ping_timer);
  l->closed = g_ptr_array_new ();
  l->incoming = bj_incoming_new (d);
  bj_metric_register (&n_unresponsive);
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
  bj_links_flush (l);
  bj_incoming_free (l->incoming);
  g_clear_pointer (&l->config, g_bytes_unref);
  g_ptr_array_free (l->closed, TRUE);
  ev_timer_stop (l->daemon->loop, &l->ping_timer);
  ev_io_stop (l->daemon->loop, &l->accept);
  close (l->fd);
  g_hash_table_destroy (l->conns);
  g_ptr_array_free (l->dirty, TRUE);
  g_free (l);
}

void
bj_links_send (BjLinks *l, BjExchange *x, BjPeer *p)
{
  BjConn *c = bj_conn_get (l, p);

  bj_outgoing_start (c, x, p->report.incarnation);
  // The path may have failed while the connection was idle: ping at once.
  if (c->is_connected && bj_clock_now () - c->last_received_at > BJ_LINK_PING_MS)
    ping_if_silent (c, bj_clock_now ());
}

void
bj_links_disconnect (BjLinks *l, BjPeer *p)
{
  (void)l;
  if (p->link != NULL)
    close_conn (p->link, BJ_E_LOST);
}

void
bj_links_request_config (BjLinks *l, BjPeer *p, int64_t number)
{
  BjConn *c = bj_conn_get (l, p);
  BjFrame f = { .kind = BJ_FRAME_CONFIG_REQUEST, .id = (uint64_t)number, .takes_parts = true };

  bj_conn_send (c, &f);
}

void
bj_links_tell_upstream (BjLinks *l)
{
  BjFrame f = { .kind = BJ_FRAME_PING, .upstream = *bj_kernel_upstream (l->daemon->kernel) };
  GHashTableIter i;
  gpointer c;

  g_hash_table_iter_init (&i, l->conns);
  while (g_hash_table_iter_next (&i, &c, NULL))
    if (((BjConn *)c)->peer_start != 0 && !((BjConn *)c)->is_closing)
      bj_conn_send (c, &f);
}

// Does not count as a ping for the silence of the connection.
void
bj_links_send_usage (BjLinks *l, BjPeer *p, BjStr report)
{
  bj_conn_send (bj_conn_get (l, p), &(BjFrame){ .kind = BJ_FRAME_PING, .data = report });
}

void
bj_links_send_notices (BjLinks *l)
{
  Notification n = { l, g_array_new (FALSE, FALSE, sizeof (BjNotice)) };

  bj_kernel_collect_notices (l->daemon->kernel, bj_clock_now (), false, n.notices);
  if (n.notices->len > 0)
    bj_kernel_each_peer (l->daemon->kernel, notify_peer, &n);
  g_array_free (n.notices, TRUE);
}

void
bj_links_flush (BjLinks *l)
{
  while (l->dirty->len > 0)
    {
      BjConn *c = g_ptr_array_steal_index_fast (l->dirty, l->dirty->len - 1);

      c->is_dirty = false;
      if (c->is_connected && !c->is_closing && !write_pending (c))
        close_conn (c, BJ_E_LOST);
    }
  while (l->closed->len > 0)
    free_conn (g_ptr_array_steal_index_fast (l->closed, l->closed->len - 1));
}

BjConn *
bj_conn_get (BjLinks *l, BjPeer *p)
{
  return p->link != NULL ? p->link : dial_peer (l, p);
}

void
bj_conn_send (BjConn *c, const BjFrame *f)
{
  size_t before = c->out.size;

  bj_frame_encode (&c->out, f);
  c->n_queued += c->out.size - before;
  mark_dirty (c);
}

void
bj_conn_send_bytes (BjConn *c, const char *data, size_t n)
{
  msgpack_sbuffer_write (&c->out, data, n);
  c->n_queued += n;
  mark_dirty (c);
}

static void
notify_peer (BjPeer *p, void *data)
{
  const Notification *n = data;
  BjConn *c = p->is_self ? NULL : bj_conn_get (n->links, p);

  for (guint i = 0; c != NULL && i < n->notices->len; i++)
    {
      BjFrame f = { .kind = BJ_FRAME_NOTICE, .notice = g_array_index (n->notices, BjNotice, i) };

      bj_conn_send (c, &f);
    }
}

bool
bj_links_is_flushed (const BjLinks *l)
{
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, l->conns);
  while (g_hash_table_iter_next (&i, &key, NULL))
    if (((BjConn *)key)->is_connected && ((BjConn *)key)->out.size > ((BjConn *)key)->out_written)
      return false;
  return true;
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
  BjConn *c = w->data;
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
  c->last_received_at = bj_clock_now ();
  c->n_unanswered_pings = 0;
  mark_peer_reachable (c);
  g_string_append_len (c->in, buffer, n);
  if (!read_frames (c))
    close_conn (c, BJ_E_LOST);
  else if (c->in->len > 0)
    tell_progress (c);
}

// Pings wait behind a large frame, so the peer is told that it arrives.
static void
tell_progress (BjConn *c)
{
  if (c->peer_start == 0 || c->last_received_at - c->told_progress_at < BJ_LINK_PING_MS / 2.0)
    return;
  c->told_progress_at = c->last_received_at;
  send_pong (c, BJ_STR_NULL);
}

static void
mark_peer_reachable (const BjConn *c)
{
  BjKernel *k = c->links->daemon->kernel;
  BjPeer *p = c->is_dialled ? bj_kernel_find_peer (k, c->peer) : NULL;

  if (p != NULL && p->is_unreachable)
    bj_kernel_set_peer_unreachable (k, p, false);
}

static void
on_writable (struct ev_loop *loop, ev_io *w, int events)
{
  BjConn *c = w->data;
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
                  "Connection to %.*s failed: %s; resending or failing its calls.",
                  BJ_STR_ARG (c->peer),
                  g_strerror (error));
          close_conn (c, BJ_E_LOST);
          return;
        }
      c->is_connected = true;
    }
  ev_io_stop (loop, w);
  if (!write_pending (c))
    close_conn (c, BJ_E_LOST);
  else if (c->config != NULL && c->out.size == 0)
    queue_config_part (c);
}

static void
on_ping_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  BjLinks *l = w->data;
  GList *all = g_hash_table_get_keys (l->conns);
  BjTime now = bj_clock_now ();

  (void)loop;
  (void)events;
  for (GList *i = all; i != NULL; i = i->next)
    if (!ping_if_silent (i->data, now))
      close_conn (i->data, BJ_E_LOST);
  g_list_free (all);
  bj_kernel_each_peer (l->daemon->kernel, redial_unreachable_peer, l);
  bj_incoming_tick (l->incoming, now);
}

// Pings a silent connection that has open calls or whose peer is unreachable. Returns false when
// the caller must close the connection: after too many unanswered pings, or unused for
// BJ_LINK_IDLE_MS.
static bool
ping_if_silent (BjConn *c, BjTime now)
{
  BjFrame ping = { .kind = BJ_FRAME_PING };
  BjPeer *p = c->is_dialled ? bj_kernel_find_peer (c->links->daemon->kernel, c->peer) : NULL;
  bool is_in_use = g_hash_table_size (c->outgoing) > 0 || g_hash_table_size (c->incoming) > 0
                   || (p != NULL && p->is_unreachable);

  if (c->is_retired)
    return g_hash_table_size (c->incoming) > 0;
  if (c->is_closing || now - c->last_received_at < BJ_LINK_PING_MS)
    return true;
  if (!is_in_use)
    return now - c->last_received_at < BJ_LINK_IDLE_MS;
  if (c->n_unanswered_pings > 0 && now - c->last_ping_at < BJ_LINK_PING_MS)
    return true;
  if (c->n_unanswered_pings > 0 && c->is_dialled)
    reroute_calls (c, now);
  if (c->n_unanswered_pings >= UNANSWERED_PINGS_MAX)
    return replace_silent_conn (c, p);
  c->n_unanswered_pings++;
  c->last_ping_at = now;
  bj_conn_send (c, &ping);
  return true;
}

// Returns false when the caller must close the connection. An accepted connection with a response
// that can't be sent again is left to the daemon that dialled it, which replaces it when it can.
static bool
replace_silent_conn (BjConn *c, BjPeer *p)
{
  if (!c->is_dialled && bj_incoming_has_unkept (c))
    return true;
  n_unresponsive.value++;
  bj_log (BJ_LOG_INFO,
          "LINK",
          "%.*s did not answer %d pings; replacing the connection.",
          BJ_STR_ARG (c->peer),
          c->n_unanswered_pings);
  if (p != NULL)
    bj_kernel_set_peer_unreachable (c->links->daemon->kernel, p, true);
  return false;
}

static void
retire_conn (BjConn *c)
{
  c->is_retired = true;
  bj_log (BJ_LOG_INFO,
          "LINK",
          "Connection to %.*s stays open for %u responses that can't be sent again.",
          BJ_STR_ARG (c->peer),
          g_hash_table_size (c->incoming));
}

// Dials in the background, so that no call has to test whether the peer is reachable again.
static void
redial_unreachable_peer (BjPeer *p, void *links)
{
  if (p->is_unreachable && !p->is_self)
    bj_conn_get (links, p);
}

static void
reroute_calls (BjConn *c, BjTime now)
{
  BjPeer *p = bj_kernel_find_peer (c->links->daemon->kernel, c->peer);

  if (p == NULL)
    return;
  if (c->n_unanswered_pings == 1)
    bj_log (BJ_LOG_INFO,
            "LINK",
            "silent=%.*s for_ms=%.0f open=%u",
            BJ_STR_ARG (c->peer),
            now - c->last_received_at,
            g_hash_table_size (c->outgoing));
  bj_kernel_skip_peer (c->links->daemon->kernel, now, p, 2 * BJ_LINK_PING_MS);
  bj_outgoing_reroute (c);
}

static BjConn *
new_conn (BjLinks *l, int fd)
{
  BjConn *c = g_new0 (BjConn, 1);
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  c->links = l;
  c->fd = fd;
  c->in = g_string_new (NULL);
  msgpack_sbuffer_init (&c->out);
  c->last_received_at = bj_clock_now ();
  c->outgoing = g_hash_table_new (g_int64_hash, g_int64_equal);
  c->incoming = g_hash_table_new (g_int64_hash, g_int64_equal);
  ev_io_init (&c->read, on_readable, fd, EV_READ);
  ev_io_init (&c->write, on_writable, fd, EV_WRITE);
  c->read.data = c;
  c->write.data = c;
  ev_io_start (l->daemon->loop, &c->read);
  g_hash_table_add (l->conns, c);
  return c;
}

static BjConn *
dial_peer (BjLinks *l, BjPeer *p)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)p->report.link_port) };
  struct sockaddr_in own = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  BjConn *c = new_conn (l, fd);

  inet_pton (AF_INET, p->report.host.data, &addr.sin_addr);
  inet_pton (AF_INET, l->daemon->settings.link.host.data, &own.sin_addr);
  // Network rules of a failure domain may depend on the source address.
  (void)bind (fd, (struct sockaddr *)&own, sizeof own);
  c->is_dialled = true;
  c->peer = bj_str_dup (p->report.name);
  p->link = c;
  // on_writable checks whether the connect succeeded.
  (void)connect (fd, (struct sockaddr *)&addr, sizeof addr);
  ev_io_start (l->daemon->loop, &c->write);
  send_hello (c);
  return c;
}

static void
send_hello (BjConn *c)
{
  const BjDaemon *d = c->links->daemon;
  uint8_t tag[BJ_TAG_BYTES];
  BjFrame hello = {
    .kind = BJ_FRAME_HELLO,
    .id = d->incarnation,
    .start = d->start,
    .protocol = BJ_PROTOCOL_VERSION,
    .name = d->settings.name,
    .data = { (const char *)tag, sizeof tag },
  };

  bj_auth_sign_hello (d->auth, d->incarnation, d->start, d->settings.name, c->peer, tag);
  bj_conn_send (c, &hello);
}

static void
close_conn (BjConn *c, BjStatus s)
{
  BjLinks *l = c->links;
  BjDaemon *d = l->daemon;
  BjPeer *p = c->is_dialled && d->kernel != NULL ? bj_kernel_find_peer (d->kernel, c->peer) : NULL;

  if (c->is_closing)
    return;
  c->is_closing = true;
  if (p != NULL && p->link == c)
    p->link = NULL;
  ev_io_stop (d->loop, &c->read);
  ev_io_stop (d->loop, &c->write);
  close (c->fd);
  g_hash_table_remove (l->conns, c);
  g_ptr_array_add (l->closed, c);
  bj_outgoing_handle_disconnect (c, s);
  bj_incoming_handle_disconnect (l->incoming, c->incoming);
}

static void
free_conn (BjConn *c)
{
  if (c->is_dirty)
    g_ptr_array_remove_fast (c->links->dirty, c);
  g_hash_table_destroy (c->outgoing);
  g_hash_table_destroy (c->incoming);
  g_clear_pointer (&c->config, g_bytes_unref);
  msgpack_sbuffer_destroy (&c->out);
  g_string_free (c->in, TRUE);
  bj_str_free (&c->peer);
  g_free (c);
}

static void
mark_dirty (BjConn *c)
{
  if (c->is_dirty)
    return;
  c->is_dirty = true;
  g_ptr_array_add (c->links->dirty, c);
}

static bool
write_pending (BjConn *c)
{
  ssize_t n;

  while (c->out_written < c->out.size)
    {
      n = send (c->fd, c->out.data + c->out_written, c->out.size - c->out_written, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        {
          ev_io_start (c->links->daemon->loop, &c->write);
          return true;
        }
      if (n <= 0)
        return false;
      c->out_written += (size_t)n;
      c->n_written += (uint64_t)n;
    }
  c->out_written = 0;
  msgpack_sbuffer_clear (&c->out);
  return true;
}

// A CALL frame contains the whole body of a request, which may be as large as callers may send.
static size_t
get_frame_max (const BjConn *c)
{
  const BjConfig *config = bj_kernel_config (c->links->daemon->kernel);
  size_t body_bytes = config != NULL ? config->callers.body_bytes : 0;

  return c->peer_start == 0 ? BJ_FRAME_MAX : MAX (BJ_FRAME_MAX, body_bytes + BJ_FRAME_OVERHEAD);
}

static bool
read_frames (BjConn *c)
{
  size_t n_parsed = 0;
  bool is_valid = true;

  while (is_valid && !c->is_closing && c->in->len - n_parsed >= LENGTH_BYTES)
    {
      size_t frame_max = get_frame_max (c); // larger behind a HELLO
      uint32_t length;
      msgpack_unpacked unpacked;
      BjFrame f;

      memcpy (&length, c->in->str + n_parsed, LENGTH_BYTES);
      length = ntohl (length);
      if (length > frame_max)
        {
          n_malformed.value++;
          bj_log (BJ_LOG_WARNING,
                  "LINK",
                  "\"%.*s\" sent a frame of %u bytes, limit %zu; closing the connection.",
                  BJ_STR_ARG (c->peer),
                  length,
                  frame_max);
          return false;
        }
      if (c->in->len - n_parsed - LENGTH_BYTES < length)
        break;
      msgpack_unpacked_init (&unpacked);
      is_valid
          = bj_frame_decode ((BjStr){ c->in->str + n_parsed + LENGTH_BYTES, length }, &unpacked, &f)
            == BJ_OK;
      if (is_valid)
        is_valid = dispatch_frame (c, &f);
      else
        {
          n_malformed.value++;
          bj_log (BJ_LOG_WARNING, "LINK", "%s Closing the connection.", bj_last_message ());
        }
      msgpack_unpacked_destroy (&unpacked);
      n_parsed += LENGTH_BYTES + length;
    }
  g_string_erase (c->in, 0, (gssize)n_parsed);
  return is_valid;
}

static bool
dispatch_frame (BjConn *c, const BjFrame *f)
{
  if (c->peer_start == 0)
    return handle_hello (c, f);
  switch (f->kind)
    {
    case BJ_FRAME_CALL:
      // The peer has resent the calls of a retired connection on the newer one.
      if (!c->is_retired)
        bj_incoming_handle_call (c, f);
      break;
    case BJ_FRAME_ANSWER:
    case BJ_FRAME_DATA:
    case BJ_FRAME_END:
      n_unmatched.value += !bj_outgoing_handle (c, f);
      break;
    case BJ_FRAME_CANCEL:
      bj_incoming_handle_cancel (c, f);
      break;
    case BJ_FRAME_WINDOW:
      bj_incoming_handle_window (c, f);
      break;
    case BJ_FRAME_PING:
      bj_kernel_remember_upstream (
          c->links->daemon->kernel, bj_clock_now (), c->peer, &f->upstream);
      send_pong (c, f->data);
      break;
    case BJ_FRAME_PONG:
      bj_usage_take_reply (c->links->daemon->usage, c->peer, f->data, f->id == READS_USAGE);
      break;
    case BJ_FRAME_CONFIG_REQUEST:
      handle_config_request (c, f);
      break;
    case BJ_FRAME_NOTICE:
      bj_kernel_apply_notice (c->links->daemon->kernel, bj_clock_now (), &f->notice);
      break;
    case BJ_FRAME_CONFIG_PART:
      if (!bj_reader_take_part (c->links->daemon->reader, c->peer, f))
        n_unmatched.value++;
      break;
    case BJ_FRAME_CONFIG:
      bj_daemon_apply_config (c->links->daemon, (int64_t)f->id, f->data, c->peer.data);
      break;
    default:
      break;
    }
  return true;
}

static void
send_pong (BjConn *c, BjStr report)
{
  BjFrame pong = { .kind = BJ_FRAME_PONG, .id = READS_USAGE };
  msgpack_sbuffer reply;

  msgpack_sbuffer_init (&reply);
  if (bj_usage_take_report (c->links->daemon->usage, c->peer, report, &reply))
    pong.data = (BjStr){ reply.data, reply.size };
  bj_conn_send (c, &pong);
  msgpack_sbuffer_destroy (&reply);
}

// Sends all current quarantine notices. The peer may have missed some while it was unreachable or
// not started.
static void
send_current_notices (BjConn *c)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (BjNotice));

  bj_kernel_collect_notices (c->links->daemon->kernel, bj_clock_now (), true, all);
  for (guint i = 0; i < all->len; i++)
    {
      BjFrame f = { .kind = BJ_FRAME_NOTICE, .notice = g_array_index (all, BjNotice, i) };

      bj_conn_send (c, &f);
    }
  g_array_free (all, TRUE);
}

static bool
check_signature (const BjConn *c, const BjFrame *f)
{
  const BjDaemon *d = c->links->daemon;

  if (bj_auth_check_hello (d->auth, f->id, f->start, f->name, d->settings.name, f->data) == BJ_OK)
    return true;
  n_forged.value++;
  bj_log (BJ_LOG_WARNING,
          "LINK",
          "HELLO from %.*s is not signed with the deployment key; closing the connection.",
          BJ_STR_ARG (f->name));
  return false;
}

static bool
handle_hello (BjConn *c, const BjFrame *f)
{
  if (f->kind != BJ_FRAME_HELLO || f->protocol != BJ_PROTOCOL_VERSION || f->name.len == 0
      || f->id == 0 || f->start == 0)
    {
      n_malformed.value++;
      bj_log (BJ_LOG_WARNING,
              "LINK",
              "The first frame (kind %d, protocol %d) is not a valid HELLO of protocol %d; closing "
              "the connection.",
              f->kind,
              f->protocol,
              BJ_PROTOCOL_VERSION);
      return false;
    }
  if (!check_signature (c, f))
    return false;
  c->peer_start = f->start;
  if (c->is_dialled && !bj_str_equal (c->peer, f->name))
    return false;
  if (!c->is_dialled)
    {
      c->peer = bj_str_dup (f->name);
      close_superseded_conns (c);
      send_hello (c);
    }
  send_current_notices (c);
  return true;
}

// Closes the older connections of the peer, or retires those with a response that can't be sent
// again. A daemon dials one connection at a time, so it sends no new calls on these. A CALL frame
// still buffered on one must not start a call that the peer has resent.
static void
close_superseded_conns (BjConn *c)
{
  GList *all = g_hash_table_get_keys (c->links->conns);

  for (GList *i = all; i != NULL; i = i->next)
    {
      BjConn *other = i->data;

      if (other != c && !other->is_dialled && other->peer_start == c->peer_start
          && bj_str_equal (other->peer, c->peer) && !other->is_retired)
        {
          if (bj_incoming_has_unkept (other))
            retire_conn (other);
          else
            close_conn (other, BJ_E_LOST);
        }
    }
  g_list_free (all);
}

static void
handle_config_request (BjConn *c, const BjFrame *f)
{
  const BjConfig *config = bj_kernel_config (c->links->daemon->kernel);

  if (config == NULL || (uint64_t)config->number < f->id)
    {
      bj_log (BJ_LOG_INFO,
              "TICKET",
              "not sent to=%.*s wanted=%" G_GUINT64_FORMAT " in_force=%" G_GINT64_FORMAT,
              BJ_STR_ARG (c->peer),
              f->id,
              config != NULL ? config->number : 0);
      return;
    }
  if (f->takes_parts)
    {
      start_config_parts (c, config);
      return;
    }
  if (config->text.len > BJ_REQUEST_BODY_MAX)
    bj_log (BJ_LOG_WARNING,
            "TICKET",
            "Configuration %" G_GINT64_FORMAT " of %zu bytes does not fit into one frame, and %.*s "
            "takes no parts.",
            config->number,
            config->text.len,
            BJ_STR_ARG (c->peer));
  else
    bj_conn_send (c,
                  &(BjFrame){ .kind = BJ_FRAME_CONFIG,
                              .id = (uint64_t)config->number,
                              .data = config->text });
}

// A peer that asks again has dropped what it received, so its configuration starts anew.
static void
start_config_parts (BjConn *c, const BjConfig *config)
{
  BjLinks *l = c->links;

  if (l->config == NULL || l->config_number != config->number)
    {
      g_clear_pointer (&l->config, g_bytes_unref);
      l->config = g_bytes_new (config->text.data, config->text.len);
      l->config_number = config->number;
    }
  g_clear_pointer (&c->config, g_bytes_unref);
  c->config = g_bytes_ref (l->config);
  c->config_number = l->config_number;
  c->config_sent = 0;
  queue_config_part (c);
}

// Queues one part. The next one follows when this one is written, so that calls on the connection
// wait for one part at most, and a configuration is not in memory once for each peer that it is
// sent to.
static void
queue_config_part (BjConn *c)
{
  gsize size;
  const char *text = g_bytes_get_data (c->config, &size);
  size_t n = MIN (size - c->config_sent, BJ_FRAME_DATA_MAX);
  BjFrame part = { .kind = BJ_FRAME_CONFIG_PART,
                   .id = (uint64_t)c->config_number,
                   .length = size,
                   .offset = c->config_sent,
                   .data = { text + c->config_sent, n } };

  bj_conn_send (c, &part);
  c->config_sent += n;
  if (c->config_sent < size)
    ev_io_start (c->links->daemon->loop, &c->write);
  else
    g_clear_pointer (&c->config, g_bytes_unref);
}
