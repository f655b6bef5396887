// Member: runs the membership protocol over UDP and passes membership changes to the kernel.

#include "internal.h"
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DATAGRAM_READ_MAX 65536 // bytes
#define READS_PER_EVENT 64      // datagrams read before other events are handled
#define EVICT_INTERVAL_MS 1000  // between evictions of removed peers without open calls

struct BjMembers
{
  BjSwimHost host; // must be first: swim callbacks cast it to BjMembers
  BjDaemon *daemon;
  BjSwim *swim;
  int fd;
  ev_io io;
  ev_timer tick;
  BjTime next_evict;
  BjSeeds *seeds;
};

static BjStatus open_socket (const BjAddress *a, int *fd);
static void register_counters (void);
static void on_datagram (struct ev_loop *loop, ev_io *w, int events);
static void on_tick (struct ev_loop *loop, ev_timer *w, int events);
static bool check_signature (const BjMembers *m, BjStr bytes);
static void receive_datagram (BjMembers *m, BjStr bytes);
static void evict_peer (BjPeer *p, void *members);
static void send_datagram (BjSwimHost *h, const BjDatagram *d);
static void on_member_changed (BjSwimHost *h, const BjMember *m);
static void on_member_down (BjSwimHost *h, const BjMember *m);
static void refresh_self_report (BjSwimHost *h, BjPeerReport *self);
static void on_incarnation_raised (BjSwimHost *h, uint64_t new_value);

static const BjSwimHostOps swim_ops = {
  send_datagram, on_member_changed, on_member_down, refresh_self_report, on_incarnation_raised
};
static BjCounter n_sent = { "member_sent_datagrams_total", "Gossip datagrams sent.", 0 };
static BjCounter n_sent_bytes = { "member_sent_bytes_total", "Bytes of gossip datagrams sent.", 0 };
static BjCounter n_received
    = { "member_received_datagrams_total", "Gossip datagrams received.", 0 };
static BjCounter n_received_bytes
    = { "member_received_bytes_total", "Bytes of gossip datagrams received.", 0 };
static BjCounter n_malformed = { "member_malformed_datagrams_total",
                                 "Gossip datagrams dropped because they could not be decoded.",
                                 0 };
static BjCounter n_unsigned = { "member_unsigned_datagrams_total",
                                "Gossip datagrams dropped because they carry no signature.",
                                0 };
static BjCounter n_forged = { "member_forged_datagrams_total",
                              "Gossip datagrams dropped because of a wrong signature.",
                              0 };
static BjCounter n_refused[] = {
  [BJ_SWIM_REPLAYED]
  = { "member_replayed_datagrams_total", "Gossip datagrams dropped as replays.", 0 },
  [BJ_SWIM_STALE] = { "member_stale_datagrams_total",
                      "Gossip datagrams dropped because an older incarnation sent them.",
                      0 },
  [BJ_SWIM_MISPLACED] = { "member_misplaced_datagrams_total",
                          "Gossip datagrams dropped because they were addressed to another daemon.",
                          0 },
  [BJ_SWIM_CONFLICT]
  = { "member_conflicting_datagrams_total",
      "Gossip datagrams dropped because another daemon with the name of this daemon sent them.",
      0 },
};

BjStatus
bj_members_new (BjDaemon *d, BjMembers **members)
{
  const BjSettings *settings = &d->settings;
  BjSwimOptions o = {
    .instance = g_random_int (),
    .socket_address = settings->gossip,
    .seeds = settings->seeds,
    .n_seeds = settings->n_seeds,
    .seed = g_random_int (),
  };
  BjTime now = bj_clock_now ();
  BjMembers *m;
  BjStatus s;
  int fd;

  s = open_socket (&settings->gossip, &fd);
  if (s != BJ_OK)
    return s;
  register_counters ();
  m = g_new0 (BjMembers, 1);
  m->host.ops = &swim_ops;
  m->daemon = d;
  m->fd = fd;
  bj_kernel_get_self_report (d->kernel, now, &o.self);
  o.host = &m->host;
  m->swim = bj_swim_new (&o, now);
  ev_io_init (&m->io, on_datagram, fd, EV_READ);
  ev_timer_init (&m->tick, on_tick, 0, BJ_SWIM_TICK_MS / 1000.0);
  m->io.data = m;
  m->tick.data = m;
  ev_io_start (d->loop, &m->io);
  ev_timer_start (d->loop, &m->tick);
  m->seeds = bj_seeds_new (d, m->swim);
  *members = m;
  return BJ_OK;
}

void
bj_members_free (BjMembers *m)
{
  ev_io_stop (m->daemon->loop, &m->io);
  ev_timer_stop (m->daemon->loop, &m->tick);
  bj_seeds_free (m->seeds);
  close (m->fd);
  bj_swim_free (m->swim);
  g_free (m);
}

void
bj_members_publish (BjMembers *m)
{
  if (m == NULL)
    return;
  bj_swim_tick (m->swim, bj_clock_now ());
}

const BjMember *
bj_members_at (const BjMembers *m, guint i)
{
  return bj_swim_member (m->swim, i);
}

void
bj_members_leave (BjMembers *m)
{
  bj_swim_leave (m->swim, bj_clock_now ());
}

static BjStatus
open_socket (const BjAddress *a, int *fd)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)a->port) };
  int error;

  inet_pton (AF_INET, a->host.data, &addr.sin_addr);
  *fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (*fd >= 0 && bind (*fd, (struct sockaddr *)&addr, sizeof addr) == 0)
    return BJ_OK;
  error = errno;
  if (*fd >= 0)
    close (*fd);
  return bj_fail (BJ_E_IO,
                  "settings.gossip: UDP socket on %s:%d can't be opened: %s.",
                  a->host.data,
                  a->port,
                  g_strerror (error));
}

static void
register_counters (void)
{
  BjCounter *all[] = { &n_sent,      &n_sent_bytes, &n_received, &n_received_bytes,
                       &n_malformed, &n_unsigned,   &n_forged };

  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    bj_metric_register (all[i]);
  for (size_t i = BJ_SWIM_REPLAYED; i < G_N_ELEMENTS (n_refused); i++)
    bj_metric_register (&n_refused[i]);
}

static void
on_datagram (struct ev_loop *loop, ev_io *w, int events)
{
  BjMembers *m = w->data;
  char buffer[DATAGRAM_READ_MAX];
  ssize_t n;

  (void)loop;
  (void)events;
  for (int i = 0; i < READS_PER_EVENT; i++)
    {
      n = recv (m->fd, buffer, sizeof buffer, 0);
      if (n < 0)
        return;
      n_received.value++;
      n_received_bytes.value += (uint64_t)n;
      receive_datagram (m, (BjStr){ buffer, (size_t)n });
    }
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  BjMembers *m = w->data;
  BjTime now = bj_clock_now ();

  (void)loop;
  (void)events;
  bj_swim_tick (m->swim, now);
  if (now < m->next_evict)
    return;
  m->next_evict = now + EVICT_INTERVAL_MS;
  bj_kernel_each_removed_peer (m->daemon->kernel, evict_peer, m);
}

// The signature precedes the datagram. A daemon without a key sends zeros in its place.
static bool
check_signature (const BjMembers *m, BjStr bytes)
{
  static const uint8_t none[BJ_TAG_BYTES];
  BjStr tag = { bytes.data, MIN (bytes.len, BJ_TAG_BYTES) };
  BjStr data = { bytes.data + tag.len, bytes.len - tag.len };

  if (bj_auth_check (m->daemon->auth, data, tag) == BJ_OK)
    return true;
  if (tag.len < BJ_TAG_BYTES || memcmp (tag.data, none, BJ_TAG_BYTES) == 0)
    n_unsigned.value++;
  else
    n_forged.value++;
  return false;
}

static void
receive_datagram (BjMembers *m, BjStr bytes)
{
  msgpack_unpacked unpacked;
  BjDatagram d;
  BjSwimVerdict v;

  if (!check_signature (m, bytes))
    return;
  bytes = (BjStr){ bytes.data + BJ_TAG_BYTES, bytes.len - BJ_TAG_BYTES };
  msgpack_unpacked_init (&unpacked);
  if (bj_datagram_decode (bytes, &unpacked, &d) != BJ_OK)
    n_malformed.value++;
  else
    {
      v = bj_swim_receive (m->swim, bj_clock_now (), &d);
      if (v != BJ_SWIM_ACCEPTED)
        n_refused[v].value++;
    }
  msgpack_unpacked_destroy (&unpacked);
}

static void
evict_peer (BjPeer *p, void *members)
{
  BjDaemon *d = ((BjMembers *)members)->daemon;

  bj_links_disconnect (d->links, p);
  bj_kernel_free_peer (d->kernel, p);
}

static void
send_datagram (BjSwimHost *h, const BjDatagram *d)
{
  BjMembers *m = (BjMembers *)h;
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)d->to_port) };
  char host[INET_ADDRSTRLEN];
  uint8_t tag[BJ_TAG_BYTES] = { 0 };
  msgpack_sbuffer out;

  g_strlcpy (host, d->to_host.data, MIN (sizeof host, d->to_host.len + 1));
  if (inet_pton (AF_INET, host, &addr.sin_addr) != 1)
    return;
  msgpack_sbuffer_init (&out);
  msgpack_sbuffer_write (&out, (const char *)tag, sizeof tag);
  bj_datagram_encode (&out, d);
  bj_auth_sign (m->daemon->auth,
                (BjStr){ out.data + sizeof tag, out.size - sizeof tag },
                (uint8_t *)out.data);
  n_sent.value++;
  n_sent_bytes.value += out.size;
  // Send errors are ignored: the protocol tolerates lost datagrams.
  (void)sendto (m->fd, out.data, out.size, 0, (struct sockaddr *)&addr, sizeof addr);
  msgpack_sbuffer_destroy (&out);
}

static void
on_member_changed (BjSwimHost *h, const BjMember *member)
{
  BjDaemon *d = ((BjMembers *)h)->daemon;
  BjPeer *p = bj_kernel_find_peer (d->kernel, member->report.name);

  // Calls sent to an earlier incarnation will get no response.
  if (p != NULL && p->report.incarnation != member->report.incarnation)
    bj_links_disconnect (d->links, p);
  bj_kernel_update_peer (d->kernel, bj_clock_now (), &member->report);
  p = bj_kernel_find_peer (d->kernel, member->report.name);
  if (d->reader != NULL)
    bj_reader_check_peer (d->reader, p);
}

static void
on_member_down (BjSwimHost *h, const BjMember *member)
{
  bj_kernel_remove_peer (((BjMembers *)h)->daemon->kernel, bj_clock_now (), member->report.name);
}

static void
refresh_self_report (BjSwimHost *h, BjPeerReport *self)
{
  bj_kernel_get_self_report (((BjMembers *)h)->daemon->kernel, bj_clock_now (), self);
}

static void
on_incarnation_raised (BjSwimHost *h, uint64_t new_value)
{
  ((BjMembers *)h)->daemon->incarnation = new_value;
}
