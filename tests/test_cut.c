// Two failure domains that are cut off from each other, without a network: how long until each
// daemon knows that all of the other domain are gone.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define MEMBERS 6
#define PER_DOMAIN (MEMBERS / 2)
#define SEEDS 500
#define STEP_MS 10
#define JOIN_MS 10000 // until all know each other
#define GONE_MS 10000 // from the cut until all of the other domain are known to be gone

typedef struct
{
  BjSwimHost base; // first member, cast from BjSwimHost*
  BjSwim *swim;
  BjPeerReport self;
  int port;
} Member;

typedef struct
{
  int from;
  int to;
  msgpack_sbuffer bytes;
} Packet;

static Member members[MEMBERS];
static GPtrArray *packets; // Packet, delivered in the next step
static bool is_cut;

static void
on_send (BjSwimHost *h, const BjDatagram *d)
{
  Packet *p = g_new0 (Packet, 1);

  p->from = ((Member *)h)->port;
  p->to = d->to_port;
  msgpack_sbuffer_init (&p->bytes);
  bj_datagram_encode (&p->bytes, d);
  g_ptr_array_add (packets, p);
}

static void
ignore_member (BjSwimHost *h, const BjMember *m)
{
  (void)h;
  (void)m;
}

static void
on_refresh (BjSwimHost *h, BjPeerReport *self)
{
  *self = ((Member *)h)->self;
}

static void
ignore_incarnation (BjSwimHost *h, uint64_t new_value)
{
  (void)h;
  (void)new_value;
}

static const BjSwimHostOps ops
    = { on_send, ignore_member, ignore_member, on_refresh, ignore_incarnation };

static int
domain_of (int port)
{
  return (port - 1) / PER_DOMAIN;
}

static void
deliver (BjTime now, const Packet *p)
{
  msgpack_unpacked unpacked;
  BjDatagram d;

  if (is_cut && domain_of (p->from) != domain_of (p->to))
    return;
  msgpack_unpacked_init (&unpacked);
  if (bj_datagram_decode ((BjStr){ p->bytes.data, p->bytes.size }, &unpacked, &d) == BJ_OK)
    bj_swim_receive (members[p->to - 1].swim, now, &d);
  msgpack_unpacked_destroy (&unpacked);
}

static void
free_packet (gpointer packet)
{
  msgpack_sbuffer_destroy (&((Packet *)packet)->bytes);
  g_free (packet);
}

static void
run_step (BjTime now)
{
  GPtrArray *due = packets;

  packets = g_ptr_array_new_with_free_func (free_packet);
  for (guint i = 0; i < due->len; i++)
    deliver (now, due->pdata[i]);
  g_ptr_array_free (due, TRUE);
  for (int i = 0; i < MEMBERS; i++)
    if ((int)(now / STEP_MS) % (BJ_SWIM_TICK_MS / STEP_MS) == i)
      bj_swim_tick (members[i].swim, now);
}

static void
start_members (uint32_t seed)
{
  static const BjAddress seeds[] = { { BJ_STR ("127.0.0.1"), 1 } };

  for (int i = 0; i < MEMBERS; i++)
    {
      Member *m = &members[i];
      static char names[MEMBERS][8];
      BjSwimOptions o = { .instance = (uint32_t)i + 1,
                          .host = &m->base,
                          .seeds = seeds,
                          .n_seeds = 1,
                          .seed = seed * MEMBERS + (uint32_t)i };

      g_snprintf (names[i], sizeof names[i], "up-%d", i);
      m->base.ops = &ops;
      m->port = i + 1;
      m->self = (BjPeerReport){ .name = bj_str (names[i]),
                                .domain = bj_str (domain_of (m->port) == 0 ? "north-a" : "south-a"),
                                .region = bj_str (domain_of (m->port) == 0 ? "north" : "south"),
                                .host = BJ_STR ("127.0.0.1"),
                                .link_port = m->port + 100,
                                .gossip_host = BJ_STR ("127.0.0.1"),
                                .gossip_port = m->port,
                                .incarnation = 1,
                                .version = 1 };
      o.self = m->self;
      o.socket_address = (BjAddress){ BJ_STR ("127.0.0.1"), m->port };
      m->swim = bj_swim_new (&o, 0);
    }
}

static bool
all_know (int n)
{
  for (int i = 0; i < MEMBERS; i++)
    if (bj_swim_count (members[i].swim) != n)
      return false;
  return true;
}

// Returns the time from the cut until all know that the other domain is gone.
static double
run_cut (uint32_t seed)
{
  BjTime now = 0;
  BjTime cut_at;

  packets = g_ptr_array_new_with_free_func (free_packet);
  is_cut = false;
  start_members (seed);
  while (!all_know (MEMBERS) && now < JOIN_MS)
    run_step (now += STEP_MS);
  assert_true (all_know (MEMBERS));
  is_cut = true;
  cut_at = now;
  while (!all_know (PER_DOMAIN) && now < cut_at + 2 * GONE_MS)
    run_step (now += STEP_MS);
  for (int i = 0; i < MEMBERS; i++)
    bj_swim_free (members[i].swim);
  g_ptr_array_free (packets, TRUE);
  return now - cut_at;
}

static void
test_cut_domain_is_believed_up (void **state)
{
  double longest = 0;
  int n_late = 0;

  (void)state;
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      double ms = run_cut (seed);

      longest = MAX (longest, ms);
      n_late += ms > GONE_MS;
    }
  print_message (
      "  %d of %d seeds took over %d ms; longest %.0f ms\n", n_late, SEEDS, GONE_MS, longest);
  assert_int_equal (n_late, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_cut_domain_is_believed_up) };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
