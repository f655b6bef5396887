// Membership: decoding of malformed datagrams, and the state machine of one daemon, driven by
// tables of datagrams and times.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define SENT_MAX 512
#define MUTATIONS 20000 // datagrams
#define SEED 7

typedef struct
{
  BjSwimHost base; // must be first: callbacks cast it to Fixture
  BjSwim *swim;
  BjDatagramKind kinds[SENT_MAX];
  char to[SENT_MAX][16]; // receiver, as a name made from its port: 1 is "s", 2 is "a", 3 is "b"
  uint64_t sequences[SENT_MAX];
  uint64_t versions[SENT_MAX];          // of the sender
  BjMemberState update_state[SENT_MAX]; // state sent to the receiver about itself; never set
  BjMemberState self_states[SENT_MAX];
  int n_sent;
  int n_changed;
  int n_down;
  uint64_t incarnation;
  BjPeerReport self;
} Fixture;

static void on_send (BjSwimHost *h, const BjDatagram *d);
static void on_changed (BjSwimHost *h, const BjMember *m);
static void on_down (BjSwimHost *h, const BjMember *m);
static void on_refresh (BjSwimHost *h, BjPeerReport *self);
static void on_incarnation (BjSwimHost *h, uint64_t new_value);

static const BjSwimHostOps ops = { on_send, on_changed, on_down, on_refresh, on_incarnation };

static BjPeerReport
report_of (const char *name, const char *domain, int port, uint64_t incarnation, uint64_t version)
{
  return (BjPeerReport){
    .name = bj_str (name),
    .domain = bj_str (domain),
    .region = BJ_STR ("north"),
    .service = BJ_STR ("orders"),
    .host = BJ_STR ("127.0.0.1"),
    .link_port = port + 1000,
    .gossip_host = BJ_STR ("127.0.0.1"),
    .gossip_port = port,
    .incarnation = incarnation,
    .version = version,
  };
}

static BjUpdate
full_update (
    const char *name, int port, uint64_t incarnation, uint64_t version, BjMemberState state)
{
  return (BjUpdate){ .kind = BJ_UPDATE_FULL,
                     .state = state,
                     .instance = 5,
                     .report = report_of (name, "north-a", port, incarnation, version) };
}

static void
init_fixture (Fixture *f)
{
  BjSwimOptions o = { .instance = 9, .host = &f->base, .seed = SEED };

  memset (f, 0, sizeof *f);
  f->base.ops = &ops;
  f->self = report_of ("self", "north-a", 1, 100, 1);
  o.self = f->self;
  o.socket_address = (BjAddress){ BJ_STR ("127.0.0.1"), 1 };
  f->swim = bj_swim_new (&o, 0);
}

static BjSwimVerdict
receive (Fixture *f,
         BjTime now,
         BjDatagramKind kind,
         uint64_t sequence,
         BjUpdate from,
         const BjUpdate *u)
{
  BjDatagram d = {
    .kind = kind, .sequence = sequence, .to_host = BJ_STR ("127.0.0.1"), .to_port = 1, .self = from
  };

  if (u != NULL)
    d.updates[d.n_updates++] = *u;
  return bj_swim_receive (f->swim, now, &d);
}

static int
count_sent (const Fixture *f, BjDatagramKind kind, const char *to)
{
  int n = 0;

  for (int i = 0; i < f->n_sent; i++)
    n += f->kinds[i] == kind && strcmp (f->to[i], to) == 0;
  return n;
}

static void
run_ticks (Fixture *f, BjTime from, BjTime until)
{
  int n = (int)((until - from) / BJ_SWIM_TICK_MS);

  for (int i = 0; i <= n; i++)
    bj_swim_tick (f->swim, from + i * BJ_SWIM_TICK_MS);
}

// An update replaces the known state only if it has precedence, in whatever order they arrive.
static void
test_update_precedence (void **state)
{
  static const struct
  {
    const char *name;
    uint64_t incarnation;
    uint64_t version;
    BjMemberState update_state;
    BjUpdateKind kind;
    BjMemberState expected;
    uint64_t expected_version;
  } cases[] = {
    { "suspicion of the known version",
      10,
      5,
      BJ_MEMBER_SUSPECT,
      BJ_UPDATE_STATE,
      BJ_MEMBER_SUSPECT,
      5 },
    { "death of the known version", 10, 5, BJ_MEMBER_DEAD, BJ_UPDATE_STATE, BJ_MEMBER_DEAD, 5 },
    { "planned stop of the known version",
      10,
      5,
      BJ_MEMBER_LEFT,
      BJ_UPDATE_STATE,
      BJ_MEMBER_LEFT,
      5 },
    { "suspicion of an older version is ignored",
      10,
      4,
      BJ_MEMBER_SUSPECT,
      BJ_UPDATE_STATE,
      BJ_MEMBER_ALIVE,
      5 },
    { "death of an older incarnation is ignored",
      9,
      9,
      BJ_MEMBER_DEAD,
      BJ_UPDATE_FULL,
      BJ_MEMBER_ALIVE,
      5 },
    { "death of a later incarnation without its full update is ignored",
      11,
      1,
      BJ_MEMBER_DEAD,
      BJ_UPDATE_STATE,
      BJ_MEMBER_ALIVE,
      5 },
    { "later version", 10, 6, BJ_MEMBER_ALIVE, BJ_UPDATE_FULL, BJ_MEMBER_ALIVE, 6 },
    { "later incarnation", 11, 1, BJ_MEMBER_ALIVE, BJ_UPDATE_FULL, BJ_MEMBER_ALIVE, 1 },
    { "older version is ignored", 10, 4, BJ_MEMBER_ALIVE, BJ_UPDATE_FULL, BJ_MEMBER_ALIVE, 5 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      BjUpdate u
          = full_update ("b", 3, cases[i].incarnation, cases[i].version, cases[i].update_state);
      BjUpdate b5 = full_update ("b", 3, 10, 5, BJ_MEMBER_ALIVE);
      const BjMember *m;
      Fixture f;

      u.kind = cases[i].kind;
      init_fixture (&f);
      receive (&f, 1, BJ_DATAGRAM_UPDATES, 1, full_update ("a", 2, 10, 1, BJ_MEMBER_ALIVE), &b5);
      receive (&f, 2, BJ_DATAGRAM_UPDATES, 2, full_update ("a", 2, 10, 1, BJ_MEMBER_ALIVE), &u);
      m = bj_swim_find (f.swim, BJ_STR ("b"));
      if (m->state != cases[i].expected || m->report.version != cases[i].expected_version)
        print_error ("%s\n", cases[i].name);
      assert_int_equal (m->state, cases[i].expected);
      assert_int_equal (m->report.version, cases[i].expected_version);
      assert_int_equal (f.n_down, m->state == BJ_MEMBER_DEAD || m->state == BJ_MEMBER_LEFT);
      bj_swim_free (f.swim);
    }
}

static void
test_probe_time_out (void **state)
{
  static const struct
  {
    const char *name;
    bool refutes; // the member refutes the suspicion
    BjMemberState expected;
  } cases[] = {
    { "suspected member that does not respond", false, BJ_MEMBER_DEAD },
    { "suspected member that refutes", true, BJ_MEMBER_ALIVE },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Fixture f;

      init_fixture (&f);
      receive (&f, 0, BJ_DATAGRAM_UPDATES, 1, full_update ("a", 2, 10, 1, BJ_MEMBER_ALIVE), NULL);
      receive (&f, 0, BJ_DATAGRAM_UPDATES, 1, full_update ("b", 3, 10, 1, BJ_MEMBER_ALIVE), NULL);
      run_ticks (&f, 0, BJ_PROBE_MS + BJ_PROBE_TIMEOUT_MS);
      assert_true (count_sent (&f, BJ_DATAGRAM_PING, "a") + count_sent (&f, BJ_DATAGRAM_PING, "b")
                   > 0);
      assert_true (count_sent (&f, BJ_DATAGRAM_PING_REQUEST, "a")
                       + count_sent (&f, BJ_DATAGRAM_PING_REQUEST, "b")
                   > 0);
      run_ticks (&f, BJ_PROBE_MS + BJ_PROBE_TIMEOUT_MS, 2000);
      assert_int_equal (bj_swim_find (f.swim, BJ_STR ("a"))->state, BJ_MEMBER_SUSPECT);
      if (cases[i].refutes)
        for (int now = 2000; now < 6000; now += 400)
          {
            // Raises the version and acknowledges each ping since the last step.
            receive (&f,
                     now,
                     BJ_DATAGRAM_UPDATES,
                     (uint64_t)now,
                     full_update ("a", 2, 10, 2, BJ_MEMBER_ALIVE),
                     NULL);
            for (int j = 0; j < f.n_sent; j++)
              if (f.kinds[j] == BJ_DATAGRAM_PING && strcmp (f.to[j], "a") == 0)
                {
                  BjDatagram ack = { .kind = BJ_DATAGRAM_ACK,
                                     .sequence = 100000 + (uint64_t)now * 10 + (uint64_t)j,
                                     .ack_sequence = f.sequences[j],
                                     .to_host = BJ_STR ("127.0.0.1"),
                                     .to_port = 1,
                                     .self = full_update ("a", 2, 10, 2, BJ_MEMBER_ALIVE) };

                  bj_swim_receive (f.swim, now, &ack);
                }
            f.n_sent = 0;
            run_ticks (&f, now, now + 300);
          }
      else
        run_ticks (&f, 2000, 6000);
      assert_int_equal (bj_swim_find (f.swim, BJ_STR ("a"))->state, cases[i].expected);
      assert_int_equal (bj_swim_find (f.swim, BJ_STR ("b"))->state, BJ_MEMBER_DEAD);
      f.n_sent = 0;
      run_ticks (&f, 6100, 20000);
      assert_true (count_sent (&f, BJ_DATAGRAM_PING, "b") > 0); // dead members are still probed
      bj_swim_free (f.swim);
    }
}

static void
test_updates_on_self (void **state)
{
  static const struct
  {
    const char *name;
    BjTime at;
    uint64_t incarnation;
    uint32_t instance;
    BjMemberState update_state;
    uint64_t expected_incarnation;
    uint64_t expected_version;
  } cases[] = {
    { "suspected, refutes", 9000, 100, 9, BJ_MEMBER_SUSPECT, 100, 2 },
    { "declared dead, refutes", 9000, 100, 9, BJ_MEMBER_DEAD, 100, 2 },
    { "known as alive", 9000, 100, 9, BJ_MEMBER_ALIVE, 100, 1 },
    { "predecessor with a later incarnation (clock stepped back), while joining",
      1000,
      500,
      4,
      BJ_MEMBER_ALIVE,
      501,
      1 },
    { "predecessor started in the same millisecond, while joining",
      1000,
      100,
      10,
      BJ_MEMBER_ALIVE,
      101,
      1 },
    { "dead predecessor with a later incarnation", 9000, 500, 4, BJ_MEMBER_DEAD, 501, 1 },
    { "predecessor with an older incarnation", 9000, 50, 4, BJ_MEMBER_ALIVE, 100, 1 },
    { "live daemon with this name and a later incarnation", 9000, 500, 4, BJ_MEMBER_ALIVE, 100, 1 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      BjUpdate u = full_update ("self", 1, cases[i].incarnation, 1, cases[i].update_state);
      Fixture f;

      u.instance = cases[i].instance;
      init_fixture (&f);
      receive (&f,
               cases[i].at,
               BJ_DATAGRAM_UPDATES,
               1,
               full_update ("a", 2, 10, 1, BJ_MEMBER_ALIVE),
               &u);
      bj_swim_tick (f.swim, cases[i].at);
      if (f.n_sent == 0)
        print_error ("%s\n", cases[i].name);
      assert_true (f.n_sent > 0);
      if (f.versions[f.n_sent - 1] != cases[i].expected_version)
        print_error ("%s\n", cases[i].name);
      assert_int_equal (f.versions[f.n_sent - 1], cases[i].expected_version);
      assert_int_equal (bj_swim_find (f.swim, BJ_STR ("self"))->report.incarnation,
                        cases[i].expected_incarnation);
      assert_int_equal (f.incarnation,
                        cases[i].expected_incarnation == 100 ? 0 : cases[i].expected_incarnation);
      bj_swim_free (f.swim);
    }
}

static void
test_sender_checks (void **state)
{
  static const struct
  {
    const char *name;
    const char *from;
    uint64_t incarnation;
    uint64_t sequence;
    int to_port;
    BjSwimVerdict expected;
  } cases[] = {
    { "next sequence", "a", 10, 201, 1, BJ_SWIM_ACCEPTED },
    { "sequence received before", "a", 10, 200, 1, BJ_SWIM_REPLAYED },
    { "earlier sequence within the replay window", "a", 10, 190, 1, BJ_SWIM_ACCEPTED },
    { "sequence older than the replay window", "a", 10, 100, 1, BJ_SWIM_REPLAYED },
    { "older incarnation", "a", 9, 900, 1, BJ_SWIM_STALE },
    { "later incarnation", "a", 11, 1, 1, BJ_SWIM_ACCEPTED },
    { "addressed to another daemon", "a", 10, 202, 77, BJ_SWIM_MISPLACED },
    { "another daemon with the own name", "self", 90, 1, 1, BJ_SWIM_CONFLICT },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      BjDatagram d
          = { .kind = BJ_DATAGRAM_PING,
              .sequence = cases[i].sequence,
              .to_host = BJ_STR ("127.0.0.1"),
              .to_port = cases[i].to_port,
              .self = full_update (cases[i].from, 2, cases[i].incarnation, 1, BJ_MEMBER_ALIVE) };
      BjSwimVerdict v;
      Fixture f;

      init_fixture (&f);
      receive (
          &f, 1000, BJ_DATAGRAM_UPDATES, 200, full_update ("a", 2, 10, 1, BJ_MEMBER_ALIVE), NULL);
      f.n_sent = 0;
      v = bj_swim_receive (f.swim, 2000, &d);
      if (v != cases[i].expected)
        print_error ("%s\n", cases[i].name);
      assert_int_equal (v, cases[i].expected);
      assert_int_equal (count_sent (&f, BJ_DATAGRAM_ACK, "a"), v == BJ_SWIM_ACCEPTED);
      assert_int_equal (count_sent (&f, BJ_DATAGRAM_STALE, "a"), v == BJ_SWIM_STALE);
      bj_swim_free (f.swim);
    }
}

// A process that was paused must not suspect members whose acknowledgements it could not read.
static void
test_pause (void **state)
{
  Fixture f;

  (void)state;
  init_fixture (&f);
  receive (&f, 0, BJ_DATAGRAM_UPDATES, 1, full_update ("a", 2, 10, 1, BJ_MEMBER_ALIVE), NULL);
  run_ticks (&f, 0, 300);
  bj_swim_tick (f.swim, 90000);
  assert_int_equal (bj_swim_find (f.swim, BJ_STR ("a"))->state, BJ_MEMBER_ALIVE);
  assert_int_equal (f.n_down, 0);
  bj_swim_free (f.swim);
}

static void
test_planned_stop (void **state)
{
  Fixture f;

  (void)state;
  init_fixture (&f);
  receive (&f, 0, BJ_DATAGRAM_UPDATES, 1, full_update ("a", 2, 10, 1, BJ_MEMBER_ALIVE), NULL);
  receive (&f, 0, BJ_DATAGRAM_UPDATES, 1, full_update ("b", 3, 10, 1, BJ_MEMBER_ALIVE), NULL);
  f.n_sent = 0;
  bj_swim_leave (f.swim, 10);
  assert_true (count_sent (&f, BJ_DATAGRAM_UPDATES, "a") > 0
               && count_sent (&f, BJ_DATAGRAM_UPDATES, "b") > 0);
  for (int i = 0; i < f.n_sent; i++)
    assert_int_equal (f.self_states[i], BJ_MEMBER_LEFT);
  bj_swim_free (f.swim);
}

static void
fill_datagram (BjDatagram *d, GRand *rand)
{
  *d = (BjDatagram){ .kind = (BjDatagramKind)g_rand_int_range (rand, 1, BJ_DATAGRAM_KINDS),
                     .sequence = g_rand_int (rand),
                     .to_host = BJ_STR ("127.0.0.1"),
                     .to_port = 1,
                     .self = full_update ("a", 2, 10, 1, BJ_MEMBER_ALIVE) };
  d->n_updates = g_rand_int_range (rand, 0, 6);
  for (int i = 0; i < d->n_updates; i++)
    {
      d->updates[i]
          = full_update (i % 2 == 0 ? "b" : "self", 3, UINT64_C (1) << 50, 9, BJ_MEMBER_ALIVE);
      d->updates[i].kind = (BjUpdateKind)g_rand_int_range (rand, 1, BJ_UPDATE_KINDS);
      d->updates[i].state = (BjMemberState)g_rand_int_range (rand, 0, BJ_MEMBER_STATES);
      d->updates[i].report.load_version = g_rand_int (rand);
    }
}

// A mutated datagram must be decoded or rejected without a crash.
static void
test_mutated_datagrams (void **state)
{
  GRand *rand = g_rand_new_with_seed (SEED);
  Fixture f;

  (void)state;
  init_fixture (&f);
  for (int i = 0; i < MUTATIONS; i++)
    {
      BjDatagram d;
      BjDatagram back;
      msgpack_sbuffer out;
      msgpack_unpacked unpacked;
      size_t len;
      int n = i % 4; // bytes to change; a quarter of the datagrams is unchanged

      fill_datagram (&d, rand);
      msgpack_sbuffer_init (&out);
      bj_datagram_encode (&out, &d);
      len = out.size;
      for (int j = 0; j < n; j++)
        out.data[g_rand_int_range (rand, 0, (gint32)len)] = (char)g_rand_int (rand);
      if (n == 3)
        len = (size_t)g_rand_int_range (rand, 0, (gint32)len);
      msgpack_unpacked_init (&unpacked);
      if (bj_datagram_decode ((BjStr){ out.data, len }, &unpacked, &back) == BJ_OK)
        bj_swim_receive (f.swim, i, &back);
      else if (n == 0)
        fail_msg ("seed %d, datagram %d: %s", SEED, i, bj_last_message ());
      msgpack_unpacked_destroy (&unpacked);
      msgpack_sbuffer_destroy (&out);
      if (i % 100 == 0)
        bj_swim_tick (f.swim, i);
      f.n_sent = 0;
    }
  bj_swim_free (f.swim);
  g_rand_free (rand);
}

static void
test_update_size_bound (void **state)
{
  static const BjUpdateKind kinds[] = { BJ_UPDATE_FULL, BJ_UPDATE_STATE, BJ_UPDATE_LOAD };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      BjDatagram d = { .kind = BJ_DATAGRAM_UPDATES,
                       .to_host = BJ_STR ("127.0.0.1"),
                       .self = full_update ("a", 65535, INT64_MAX, INT64_MAX, BJ_MEMBER_ALIVE) };
      BjUpdate u = full_update ("b", 60000, INT64_MAX, INT64_MAX, BJ_MEMBER_LEFT);
      msgpack_sbuffer out;
      size_t before;

      u.kind = kinds[i];
      u.instance = UINT32_MAX;
      u.report.load_version = u.report.config_number = INT64_MAX;
      u.report.limit = u.report.in_flight = u.report.queued = u.report.level = 1000000000;
      msgpack_sbuffer_init (&out);
      bj_datagram_encode (&out, &d);
      before = out.size;
      msgpack_sbuffer_clear (&out);
      d.updates[d.n_updates++] = u;
      bj_datagram_encode (&out, &d);
      assert_true (out.size - before <= bj_update_size (&u));
      msgpack_sbuffer_destroy (&out);
    }
}

// Seeds read from the store after the first tick must be probed as well: a restarted daemon may
// have no other way to find members.
static void
test_late_seeds (void **state)
{
  static const struct
  {
    const char *name;
    bool knows_other;
    BjTime until;
    int pings_min; // to the seed
  } cases[] = {
    { "alone, in the next ticks", false, 2 * BJ_SWIM_TICK_MS, 1 },
    { "alone, repeated while the seed may still be starting", false, 1000, 3 },
    { "other members known, in the next ticks", true, 2 * BJ_SWIM_TICK_MS, 1 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Fixture f;

      init_fixture (&f);
      if (cases[i].knows_other)
        receive (&f, 0, BJ_DATAGRAM_UPDATES, 1, full_update ("a", 2, 10, 1, BJ_MEMBER_ALIVE), NULL);
      bj_swim_tick (f.swim, 0);
      bj_swim_add_seed (f.swim, BJ_STR ("127.0.0.1"), 7);
      run_ticks (&f, BJ_SWIM_TICK_MS, cases[i].until);
      if (count_sent (&f, BJ_DATAGRAM_PING, "f") < cases[i].pings_min)
        print_error ("%s\n", cases[i].name);
      assert_true (count_sent (&f, BJ_DATAGRAM_PING, "f") >= cases[i].pings_min);
      bj_swim_free (f.swim);
    }
}

static void
on_send (BjSwimHost *h, const BjDatagram *d)
{
  Fixture *f = (Fixture *)h;
  int i = f->n_sent++;

  if (i >= SENT_MAX)
    {
      f->n_sent = SENT_MAX;
      return;
    }
  f->kinds[i] = d->kind;
  f->sequences[i] = d->sequence;
  f->versions[i] = d->self.report.version;
  f->self_states[i] = d->self.state;
  g_snprintf (f->to[i], sizeof f->to[i], "%c", d->to_port == 1 ? 's' : 'a' + d->to_port - 2);
}

static void
on_changed (BjSwimHost *h, const BjMember *m)
{
  (void)m;
  ((Fixture *)h)->n_changed++;
}

static void
on_down (BjSwimHost *h, const BjMember *m)
{
  (void)m;
  ((Fixture *)h)->n_down++;
}

static void
on_refresh (BjSwimHost *h, BjPeerReport *self)
{
  *self = ((Fixture *)h)->self;
}

static void
on_incarnation (BjSwimHost *h, uint64_t new_value)
{
  ((Fixture *)h)->incarnation = new_value;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_update_precedence),
    cmocka_unit_test (test_probe_time_out),
    cmocka_unit_test (test_updates_on_self),
    cmocka_unit_test (test_sender_checks),
    cmocka_unit_test (test_pause),
    cmocka_unit_test (test_planned_stop),
    cmocka_unit_test (test_late_seeds),
    cmocka_unit_test (test_mutated_datagrams),
    cmocka_unit_test (test_update_size_bound),
  };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
