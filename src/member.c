// Member: who is in the deployment. Each daemon sends what it knows to a few others over UDP.

#include "internal.h"
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FANOUT 3 // daemons told in one round
#define REPORT_FIELDS 16

struct BjMembers
{
  BjDaemon *daemon;
  int fd;
  ev_io io;
  ev_timer round;
  uint64_t version;
  bool leaving;
};

typedef struct
{
  BjMembers *members;
  msgpack_packer *packer;
  GPtrArray *peers; // BjPeer*
} Round;

static void on_datagram (struct ev_loop *loop, ev_io *w, int events);
static void on_round (struct ev_loop *loop, ev_timer *w, int events);
static void send_round (BjMembers *m);
static void collect (BjPeer *p, void *array);
static void forget_silent (BjMembers *m, GPtrArray *peers, BjTime now);
static void send_to (BjMembers *m, BjStr host, int port, const msgpack_sbuffer *out);
static void pack_report (msgpack_packer *p, const BjPeerReport *r);
static bool read_report (const msgpack_object *o, BjPeerReport *r);
static BjStr str_of (const msgpack_object *o);

static BjCounter n_bad
    = { "member_malformed_datagrams_total", "Datagrams that could not be decoded.", 0 };
static BjCounter n_sent = { "member_sent_datagrams_total", "Datagrams sent.", 0 };
static BjCounter n_sent_bytes = { "member_sent_bytes_total", "Bytes of datagrams sent.", 0 };
static BjCounter n_received = { "member_received_datagrams_total", "Datagrams received.", 0 };
static BjCounter n_received_bytes
    = { "member_received_bytes_total", "Bytes of datagrams received.", 0 };

BjStatus
bj_members_new (BjDaemon *d, BjMembers **members)
{
  BjAddress a = d->settings.gossip;
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)a.port) };
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  BjMembers *m;

  inet_pton (AF_INET, a.host.data, &addr.sin_addr);
  if (fd < 0 || bind (fd, (struct sockaddr *)&addr, sizeof addr) != 0)
    {
      int error = errno;

      if (fd >= 0)
        close (fd);
      return bj_fail (BJ_E_IO,
                      "settings.gossip: %s:%d can't be opened: %s.",
                      a.host.data,
                      a.port,
                      g_strerror (error));
    }
  bj_metric_register (&n_bad);
  bj_metric_register (&n_sent);
  bj_metric_register (&n_sent_bytes);
  bj_metric_register (&n_received);
  bj_metric_register (&n_received_bytes);
  m = g_new0 (BjMembers, 1);
  m->daemon = d;
  m->fd = fd;
  ev_io_init (&m->io, on_datagram, fd, EV_READ);
  ev_timer_init (&m->round, on_round, 0, BJ_GOSSIP_MS / 1000.0);
  m->io.data = m;
  m->round.data = m;
  ev_io_start (d->loop, &m->io);
  ev_timer_start (d->loop, &m->round);
  *members = m;
  return BJ_OK;
}

void
bj_members_free (BjMembers *m)
{
  ev_io_stop (m->daemon->loop, &m->io);
  ev_timer_stop (m->daemon->loop, &m->round);
  close (m->fd);
  g_free (m);
}

void
bj_members_leave (BjMembers *m)
{
  m->leaving = true;
  send_round (m);
}

static void
on_datagram (struct ev_loop *loop, ev_io *w, int events)
{
  BjMembers *m = w->data;
  char buffer[65536];
  ssize_t n;

  (void)loop;
  (void)events;
  while ((n = recv (m->fd, buffer, sizeof buffer, 0)) > 0)
    {
      msgpack_unpacked keep;
      size_t at = 0;

      if (!bj_msgpack_is_bounded ((BjStr){ buffer, (size_t)n }))
        {
          n_bad.value++;
          continue;
        }
      n_received.value++;
      n_received_bytes.value += (uint64_t)n;
      msgpack_unpacked_init (&keep);
      while (msgpack_unpack_next (&keep, buffer, (size_t)n, &at) == MSGPACK_UNPACK_SUCCESS)
        {
          BjPeerReport r;

          if (!read_report (&keep.data, &r))
            {
              n_bad.value++;
              break;
            }
          bj_kernel_peer (m->daemon->kernel, bj_clock_now (), &r);
          if (m->daemon->reader != NULL)
            {
              BjPeer *p = bj_kernel_find_peer (m->daemon->kernel, r.name);

              bj_reader_peer_has (m->daemon->reader, p);
            }
        }
      msgpack_unpacked_destroy (&keep);
    }
}

static void
on_round (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)loop;
  (void)events;
  send_round (w->data);
}

static void
send_round (BjMembers *m)
{
  BjDaemon *d = m->daemon;
  BjTime now = bj_clock_now ();
  GPtrArray *peers = g_ptr_array_new ();
  msgpack_sbuffer out;
  msgpack_packer packer;
  BjPeerReport self;

  bj_kernel_self (d->kernel, now, &self);
  self.version = ++m->version;
  self.draining = self.draining || m->leaving;
  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&packer, &out, msgpack_sbuffer_write);
  pack_report (&packer, &self);
  bj_kernel_each_peer (d->kernel, collect, peers);
  forget_silent (m, peers, now);
  for (guint i = 0; i < peers->len && out.size < BJ_DATAGRAM_MAX - 200; i++)
    pack_report (&packer, &((BjPeer *)peers->pdata[i])->report);
  for (int i = 0; i < FANOUT && peers->len > 0; i++)
    {
      const BjPeer *p = peers->pdata[g_random_int_range (0, (gint32)peers->len)];

      send_to (m, p->report.gossip_host, p->report.gossip_port, &out);
    }
  if (d->settings.n_seeds > 0)
    {
      const BjAddress *seed = &d->settings.seeds[g_random_int_range (0, d->settings.n_seeds)];

      send_to (m, seed->host, seed->port, &out);
    }
  msgpack_sbuffer_destroy (&out);
  g_ptr_array_free (peers, TRUE);
}

static void
collect (BjPeer *p, void *array)
{
  if (!p->is_self)
    g_ptr_array_add (array, p);
}

static void
forget_silent (BjMembers *m, GPtrArray *peers, BjTime now)
{
  for (guint i = peers->len; i > 0; i--)
    {
      BjPeer *p = peers->pdata[i - 1];

      if (now - p->reported < BJ_PEER_LIFETIME_MS)
        continue;
      g_ptr_array_remove_index_fast (peers, i - 1);
      bj_links_forget (m->daemon->links, p);
      bj_kernel_peer_gone (m->daemon->kernel, now, p->report.name);
    }
}

static void
send_to (BjMembers *m, BjStr host, int port, const msgpack_sbuffer *out)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  if (inet_pton (AF_INET, host.data, &addr.sin_addr) != 1)
    return;
  n_sent.value++;
  n_sent_bytes.value += out->size;
  sendto (m->fd, out->data, out->size, 0, (struct sockaddr *)&addr, sizeof addr);
}

static void
pack_report (msgpack_packer *p, const BjPeerReport *r)
{
  BjStr texts[] = { r->name, r->domain, r->region, r->service, r->host, r->gossip_host };

  msgpack_pack_array (p, REPORT_FIELDS);
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      msgpack_pack_bin (p, texts[i].len);
      msgpack_pack_bin_body (p, texts[i].len > 0 ? texts[i].data : "", texts[i].len);
    }
  msgpack_pack_uint64 (p, (uint64_t)r->link_port);
  msgpack_pack_uint64 (p, (uint64_t)r->gossip_port);
  msgpack_pack_uint64 (p, r->incarnation);
  msgpack_pack_uint64 (p, r->version);
  msgpack_pack_uint64 (p, (uint64_t)r->limit);
  msgpack_pack_uint64 (p, (uint64_t)r->in_flight);
  msgpack_pack_uint64 (p, (uint64_t)r->queued);
  msgpack_pack_uint64 (p, (uint64_t)r->level);
  msgpack_pack_uint64 (p, r->draining ? 1 : 0);
  msgpack_pack_uint64 (p, (uint64_t)r->config_number);
}

static bool
read_report (const msgpack_object *o, BjPeerReport *r)
{
  const msgpack_object *f;

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != REPORT_FIELDS)
    return false;
  f = o->via.array.ptr;
  for (int i = 0; i < REPORT_FIELDS; i++)
    if (f[i].type != (i < 6 ? MSGPACK_OBJECT_BIN : MSGPACK_OBJECT_POSITIVE_INTEGER))
      return false;
  *r = (BjPeerReport){
    .name = str_of (&f[0]),
    .domain = str_of (&f[1]),
    .region = str_of (&f[2]),
    .service = str_of (&f[3]),
    .host = str_of (&f[4]),
    .gossip_host = str_of (&f[5]),
    .link_port = (int)f[6].via.u64,
    .gossip_port = (int)f[7].via.u64,
    .incarnation = f[8].via.u64,
    .version = f[9].via.u64,
    .limit = (int)f[10].via.u64,
    .in_flight = (int)f[11].via.u64,
    .queued = (int)f[12].via.u64,
    .level = (int)f[13].via.u64,
    .draining = f[14].via.u64 != 0,
    .config_number = (int64_t)f[15].via.u64,
  };
  return r->name.len > 0;
}

static BjStr
str_of (const msgpack_object *o)
{
  return (BjStr){ o->via.bin.ptr, o->via.bin.size };
}
