// Runs the membership protocol without sockets: a daemon learns of a member that never answers,
// suspects it and then removes it.

#include "internal.h"
#include <stdio.h>

static const char *const kinds[BJ_DATAGRAM_KINDS]
    = { "", "ping", "ack", "ping-ask", "news", "records", "digest", "stale" };

static void
send_datagram (BjSwimHost *h, const BjDatagram *d)
{
  (void)h;
  printf ("send     %s to %.*s:%d\n", kinds[d->kind], BJ_STR_ARG (d->to_host), d->to_port);
}

static void
print_changed (BjSwimHost *h, const BjMember *m)
{
  (void)h;
  printf ("changed  %.*s\n", BJ_STR_ARG (m->report.name));
}

static void
print_gone (BjSwimHost *h, const BjMember *m)
{
  (void)h;
  printf ("gone     %.*s\n", BJ_STR_ARG (m->report.name));
}

static void
refresh_report (BjSwimHost *h, BjPeerReport *self)
{
  (void)h;
  self->in_flight = 3;
}

static void
print_incarnation (BjSwimHost *h, uint64_t new_incarnation)
{
  (void)h;
  printf ("raised   incarnation to %" G_GUINT64_FORMAT "\n", new_incarnation);
}

static BjPeerReport
make_report (const char *name, int port)
{
  return (BjPeerReport){ .name = bj_str (name),
                         .domain = BJ_STR ("north-a"),
                         .region = BJ_STR ("north"),
                         .host = BJ_STR ("127.0.0.1"),
                         .link_port = port,
                         .gossip_host = BJ_STR ("127.0.0.1"),
                         .gossip_port = port,
                         .incarnation = 1,
                         .version = 1 };
}

int
main (void)
{
  static const BjSwimHostOps ops
      = { send_datagram, print_changed, print_gone, refresh_report, print_incarnation };
  BjSwimHost host = { &ops };
  BjSwimOptions o = { .self = make_report ("one", 7001),
                      .socket_address = { BJ_STR ("127.0.0.1"), 7001 },
                      .host = &host,
                      .seed = 1 };
  BjSwim *s = bj_swim_new (&o, 0);
  BjDatagram updates = { .kind = BJ_DATAGRAM_UPDATES,
                         .sequence = 1,
                         .to_host = BJ_STR ("127.0.0.1"),
                         .to_port = 7001,
                         .self = { .kind = BJ_UPDATE_FULL, .report = make_report ("two", 7002) } };

  bj_swim_receive (s, 0, &updates);
  for (int ms = 0; ms <= 5000; ms += BJ_SWIM_TICK_MS)
    bj_swim_tick (s, ms);
  printf ("members  %d\n", bj_swim_count (s));
  bj_swim_free (s);
  return 0;
}
