// Link: TCP connections to other daemons. A daemon dials one for the calls it sends to a peer; the
// answers come back on it. A connection with open calls that goes silent is pinged. While the ping
// is not answered, the peer gets no new calls and those that may be repeated go elsewhere; after
// some more pings the connection is replaced.

#include "link.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LENGTH_BYTES 4
#define READ_BYTES 65536
#define BACKLOG 512
#define PINGS_MAX 5 // unanswered, then the connection counts as dead
#define LOOK_MS 50  // between two looks at silent connections

typedef struct
{
  BjLinks *links;
  GArray *notices; // BjNotice
} Notification;

static void on_accept (struct ev_loop *loop, ev_io *w, int events);
static void on_readable (struct ev_loop *loop, ev_io *w, int events);
static void note_heard (const BjConn *c);
static void on_writable (struct ev_loop *loop, ev_io *w, int events);
static void on_probe (struct ev_loop *loop, ev_timer *w, int events);
static bool probe (BjConn *c, BjTime now);
static void redial_unheard (BjPeer *p, void *links);
static void move_calls (BjConn *c, BjTime now);
static BjConn *new_conn (BjLinks *l, int fd);
static BjConn *dial (BjLinks *l, BjPeer *p);
static void send_hello (BjConn *c);
static void close_conn (BjConn *c, BjStatus s);
static void free_conn (BjConn *c);
static void mark_dirty (BjConn *c);
static bool write_out (BjConn *c);
static bool read_frames (BjConn *c);
static bool handle (BjConn *c, const BjFrame *f);
static void send_suspects (BjConn *c);
static void notify_peer (BjPeer *p, void *data);
static bool is_signed (const BjConn *c, const BjFrame *f);
static bool handle_hello (BjConn *c, const BjFrame *f);
static void close_older (BjConn *c);
static void handle_config_ask (BjConn *c, const BjFrame *f);

static BjCounter n_unmatched
    = { "link_unmatched_frames_total", "Frames that matched no open call.", 0 };
static BjCounter n_forged
    = { "link_forged_hellos_total", "Connections closed for a wrong signature.", 0 };
static BjCounter n_malformed
    = { "link_malformed_frames_total", "Connections closed for a malformed frame.", 0 };
static BjCounter n_silent
    = { "link_silent_connections_total", "Connections replaced because they went silent.", 0 };

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
  bj_metric_register (&n_forged);
  l = g_new0 (BjLinks, 1);
  l->daemon = d;
  l->fd = fd;
  l->conns = g_hash_table_new (NULL, NULL);
  l->dirty = g_ptr_array_new ();
  ev_io_init (&l->accept, on_accept, fd, EV_READ);
  l->accept.data = l;
  ev_io_start (d->loop, &l->accept);
  ev_timer_init (&l->probe, on_probe, LOOK_MS / 1000.0, LOOK_MS / 1000.0);
  l->probe.data = l;
  ev_timer_start (d->loop, &l->probe);
  l->dead = g_ptr_array_new ();
  l->incoming = bj_incoming_new (d);
  bj_metric_register (&n_silent);
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
  g_ptr_array_free (l->dead, TRUE);
  ev_timer_stop (l->daemon->loop, &l->probe);
  ev_io_stop (l->daemon->loop, &l->accept);
  close (l->fd);
  g_hash_table_destroy (l->conns);
  g_ptr_array_free (l->dirty, TRUE);
  g_free (l);
}

void
bj_links_send (BjLinks *l, BjExchange *x, BjPeer *p)
{
  BjConn *c = bj_conn_to (l, p);

  bj_outgoing_start (c, x, p->report.incarnation);
  // A connection that rested may have gone silent meanwhile: ask at once.
  if (c->is_connected && bj_clock_now () - c->heard > BJ_PING_MS)
    probe (c, bj_clock_now ());
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
  BjConn *c = bj_conn_to (l, p);
  BjFrame f = { .kind = BJ_FRAME_CONFIG_ASK, .id = (uint64_t)number };

  bj_conn_send (c, &f);
}

void
bj_links_notify (BjLinks *l)
{
  Notification n = { l, g_array_new (FALSE, FALSE, sizeof (BjNotice)) };

  bj_kernel_notices (l->daemon->kernel, bj_clock_now (), false, n.notices);
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
      if (c->is_connected && !c->is_closing && !write_out (c))
        close_conn (c, BJ_E_LOST);
    }
  while (l->dead->len > 0)
    free_conn (g_ptr_array_steal_index_fast (l->dead, l->dead->len - 1));
}

BjConn *
bj_conn_to (BjLinks *l, BjPeer *p)
{
  return p->link != NULL ? p->link : dial (l, p);
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
  BjConn *c = p->is_self ? NULL : bj_conn_to (n->links, p);

  for (guint i = 0; c != NULL && i < n->notices->len; i++)
    {
      BjFrame f = { .kind = BJ_FRAME_NOTICE, .notice = g_array_index (n->notices, BjNotice, i) };

      bj_conn_send (c, &f);
    }
}

bool
bj_links_is_written (const BjLinks *l)
{
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, l->conns);
  while (g_hash_table_iter_next (&i, &key, NULL))
    if (((BjConn *)key)->is_connected && ((BjConn *)key)->out.size > ((BjConn *)key)->out_at)
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
  c->heard = bj_clock_now ();
  c->n_pings = 0;
  note_heard (c);
  g_string_append_len (c->in, buffer, n);
  if (!read_frames (c))
    close_conn (c, BJ_E_LOST);
}

static void
note_heard (const BjConn *c)
{
  BjKernel *k = c->links->daemon->kernel;
  BjPeer *p = c->is_dialled ? bj_kernel_find_peer (k, c->peer) : NULL;

  if (p != NULL && p->is_unheard)
    bj_kernel_peer_unheard (k, p, false);
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

static void
on_probe (struct ev_loop *loop, ev_timer *w, int events)
{
  BjLinks *l = w->data;
  GList *all = g_hash_table_get_keys (l->conns);
  BjTime now = bj_clock_now ();

  (void)loop;
  (void)events;
  for (GList *i = all; i != NULL; i = i->next)
    if (!probe (i->data, now))
      close_conn (i->data, BJ_E_LOST);
  g_list_free (all);
  bj_kernel_each_peer (l->daemon->kernel, redial_unheard, l);
  bj_incoming_tick (l->incoming, now);
}

// Pings a connection that has been silent with open calls. False when it is dead or has rested too
// long.
static bool
probe (BjConn *c, BjTime now)
{
  BjFrame ping = { .kind = BJ_FRAME_PING };
  BjPeer *p = c->is_dialled ? bj_kernel_find_peer (c->links->daemon->kernel, c->peer) : NULL;
  bool is_open = g_hash_table_size (c->outgoing) > 0 || g_hash_table_size (c->incoming) > 0
                 || (p != NULL && p->is_unheard);

  if (c->is_closing || now - c->heard < BJ_PING_MS)
    return true;
  if (!is_open)
    return now - c->heard < BJ_IDLE_MS;
  if (c->n_pings > 0 && now - c->pinged < BJ_PING_MS)
    return true;
  if (c->n_pings > 0 && c->is_dialled)
    move_calls (c, now);
  if (c->n_pings >= PINGS_MAX)
    {
      n_silent.value++;
      bj_log (BJ_LOG_INFO,
              "LINK",
              "The connection to %.*s is silent and is replaced.",
              BJ_STR_ARG (c->peer));
      if (p != NULL)
        bj_kernel_peer_unheard (c->links->daemon->kernel, p, true);
      return false;
    }
  c->n_pings++;
  c->pinged = now;
  bj_conn_send (c, &ping);
  return true;
}

// So that no call has to find out whether it is back.
static void
redial_unheard (BjPeer *p, void *links)
{
  if (p->is_unheard && !p->is_self)
    bj_conn_to (links, p);
}

static void
move_calls (BjConn *c, BjTime now)
{
  BjPeer *p = bj_kernel_find_peer (c->links->daemon->kernel, c->peer);

  if (p == NULL)
    return;
  if (c->n_pings == 1)
    bj_log (BJ_LOG_INFO,
            "LINK",
            "silent=%.*s for_ms=%.0f open=%u",
            BJ_STR_ARG (c->peer),
            now - c->heard,
            g_hash_table_size (c->outgoing));
  bj_kernel_peer_silent (c->links->daemon->kernel, now, p, 2 * BJ_PING_MS);
  bj_outgoing_move (c);
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
  c->heard = bj_clock_now ();
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
dial (BjLinks *l, BjPeer *p)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)p->report.link_port) };
  struct sockaddr_in own = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  BjConn *c = new_conn (l, fd);

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
    .protocol = BJ_PROTOCOL_VERSION,
    .name = d->settings.name,
    .data = { (const char *)tag, sizeof tag },
  };

  bj_auth_sign_hello (d->auth, d->incarnation, d->settings.name, c->peer, tag);
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
  g_ptr_array_add (l->dead, c);
  bj_outgoing_lost (l, c->peer, c->outgoing, c->n_written, s);
  bj_incoming_orphan (l->incoming, c->incoming);
}

static void
free_conn (BjConn *c)
{
  if (c->is_dirty)
    g_ptr_array_remove_fast (c->links->dirty, c);
  g_hash_table_destroy (c->outgoing);
  g_hash_table_destroy (c->incoming);
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
write_out (BjConn *c)
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
read_frames (BjConn *c)
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
handle (BjConn *c, const BjFrame *f)
{
  BjFrame pong = { .kind = BJ_FRAME_PONG };

  if (c->peer_incarnation == 0)
    return handle_hello (c, f);
  switch (f->kind)
    {
    case BJ_FRAME_CALL:
      bj_incoming_call (c, f);
      break;
    case BJ_FRAME_ANSWER:
    case BJ_FRAME_DATA:
    case BJ_FRAME_END:
      n_unmatched.value += !bj_outgoing_handle (c, f);
      break;
    case BJ_FRAME_CANCEL:
      bj_incoming_cancel (c, f);
      break;
    case BJ_FRAME_WINDOW:
      bj_incoming_window (c, f);
      break;
    case BJ_FRAME_PING:
      bj_conn_send (c, &pong);
      break;
    case BJ_FRAME_CONFIG_ASK:
      handle_config_ask (c, f);
      break;
    case BJ_FRAME_NOTICE:
      bj_kernel_notice (c->links->daemon->kernel, bj_clock_now (), &f->notice);
      break;
    case BJ_FRAME_CONFIG:
      bj_daemon_config (c->links->daemon, f->data);
      break;
    default:
      break;
    }
  return true;
}

// What a peer missed while it was cut off or not yet started.
static void
send_suspects (BjConn *c)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (BjNotice));

  bj_kernel_notices (c->links->daemon->kernel, bj_clock_now (), true, all);
  for (guint i = 0; i < all->len; i++)
    {
      BjFrame f = { .kind = BJ_FRAME_NOTICE, .notice = g_array_index (all, BjNotice, i) };

      bj_conn_send (c, &f);
    }
  g_array_free (all, TRUE);
}

static bool
is_signed (const BjConn *c, const BjFrame *f)
{
  const BjDaemon *d = c->links->daemon;

  if (bj_auth_check_hello (d->auth, f->id, f->name, d->settings.name, f->data) == BJ_OK)
    return true;
  n_forged.value++;
  bj_log (BJ_LOG_WARNING,
          "LINK",
          "A connection as %.*s is not signed with the deployment key, closed.",
          BJ_STR_ARG (f->name));
  return false;
}

static bool
handle_hello (BjConn *c, const BjFrame *f)
{
  if (f->kind != BJ_FRAME_HELLO || f->protocol != BJ_PROTOCOL_VERSION || f->name.len == 0
      || f->id == 0)
    {
      n_malformed.value++;
      bj_log (BJ_LOG_WARNING,
              "LINK",
              "A connection did not begin with HELLO of protocol %d.",
              BJ_PROTOCOL_VERSION);
      return false;
    }
  if (!is_signed (c, f))
    return false;
  c->peer_incarnation = f->id;
  if (c->is_dialled && !bj_str_equal (c->peer, f->name))
    return false;
  if (!c->is_dialled)
    {
      c->peer = bj_str_dup (f->name);
      close_older (c);
      send_hello (c);
    }
  send_suspects (c);
  return true;
}

// A daemon dials one connection at a time, so the ones before it are dead to it: what they still
// carry must not begin a call that was sent again here.
static void
close_older (BjConn *c)
{
  GList *all = g_hash_table_get_keys (c->links->conns);

  for (GList *i = all; i != NULL; i = i->next)
    {
      BjConn *other = i->data;

      if (other != c && !other->is_dialled && other->peer_incarnation == c->peer_incarnation
          && bj_str_equal (other->peer, c->peer))
        close_conn (other, BJ_E_LOST);
    }
  g_list_free (all);
}

static void
handle_config_ask (BjConn *c, const BjFrame *f)
{
  const BjConfig *config = bj_kernel_config (c->links->daemon->kernel);
  BjFrame reply = { .kind = BJ_FRAME_CONFIG };

  if (config == NULL || (uint64_t)config->number < f->id)
    return;
  reply.data = config->text;
  bj_conn_send (c, &reply);
}
