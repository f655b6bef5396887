// Router "p2c-load": the share of calls that each candidate gets, the results after which a
// candidate is skipped, and how many spilled calls a guard admits.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define PICKS 2000
#define NOW 10000.0
#define PEERS_MAX 4

typedef struct
{
  const char *domain; // NULL ends the list
  const char *region;
  int limit;
  int in_flight; // as reported by the candidate
  int queued;
  int own_in_flight; // calls of this daemon there
  bool draining;
  double age_ms; // age of the load report
  double skip_ms;
  BjTime skip_until;
  BjTime spill_skip_until;
  double min_share; // share of the picks, lower bound
  double max_share; // share of the picks, upper bound
} Candidate;

typedef struct
{
  const char *name;
  Candidate candidates[PEERS_MAX];
} PickCase;

// Domain, region and limit; further fields override those of an idle candidate with a new report.
#define PEER(d, r, l, ...)                                                                         \
  {                                                                                                \
    .domain = (d), .region = (r), .limit = (l), __VA_ARGS__                                        \
  }
#define CASE(text, ...)                                                                            \
  {                                                                                                \
    .name = (text), .candidates = { __VA_ARGS__ }                                                  \
  }

static const PickCase pick_cases[] = {
  CASE ("equal candidates get equal shares",
        PEER ("a", "n", 8, .min_share = 0.45, .max_share = 0.55),
        PEER ("a", "n", 8, .min_share = 0.45, .max_share = 0.55)),
  CASE ("the less loaded of two is picked",
        PEER ("a", "n", 8, .in_flight = 2, .min_share = 1, .max_share = 1),
        PEER ("a", "n", 8, .in_flight = 6)),
  CASE ("the most loaded of three is never picked",
        PEER ("a", "n", 8, .in_flight = 2, .min_share = 0.6, .max_share = 0.73),
        PEER ("a", "n", 8, .in_flight = 4, .min_share = 0.27, .max_share = 0.4),
        PEER ("a", "n", 8, .in_flight = 6)),
  CASE ("queued calls count as load",
        PEER ("a", "n", 8, .in_flight = 4, .min_share = 1, .max_share = 1),
        PEER ("a", "n", 8, .in_flight = 4, .queued = 4)),
  CASE ("own calls in flight count before they are reported",
        PEER ("a", "n", 8, .min_share = 1, .max_share = 1),
        PEER ("a", "n", 8, .own_in_flight = 4)),
  CASE ("an old load report is ignored",
        PEER ("a", "n", 8, .own_in_flight = 1),
        PEER ("a", "n", 8, .queued = 8, .age_ms = 3000, .min_share = 1, .max_share = 1)),
  CASE ("a full candidate with a small limit gets no calls",
        PEER ("a", "n", 8, .in_flight = 2, .min_share = 1, .max_share = 1),
        PEER ("a", "n", 1, .in_flight = 1)),
  CASE ("an idle candidate with limit 1 gets no calls while another is half full",
        PEER ("a", "n", 8, .in_flight = 4, .min_share = 1, .max_share = 1),
        PEER ("a", "n", 1, .in_flight = 0)),
  CASE ("a draining candidate gets no calls",
        PEER ("a", "n", 8, .in_flight = 8, .min_share = 1, .max_share = 1),
        PEER ("a", "n", 8, .draining = true)),
  CASE ("a skipped candidate gets no calls",
        PEER ("a", "n", 8, .in_flight = 8, .min_share = 1, .max_share = 1),
        PEER ("a", "n", 8, .skip_ms = 500, .skip_until = NOW + 1)),
  CASE ("a skipped candidate is probed when the skip ends",
        PEER ("a", "n", 8, .in_flight = 8),
        PEER ("a", "n", 8, .skip_ms = 500, .skip_until = NOW - 1, .min_share = 1, .max_share = 1)),
  CASE ("no second probe while the first is in flight",
        PEER ("a", "n", 8, .in_flight = 8, .min_share = 1, .max_share = 1),
        PEER ("a", "n", 8, .own_in_flight = 1, .skip_ms = 500, .skip_until = NOW - 1)),
  CASE ("the own domain is preferred",
        PEER ("a", "n", 8, .in_flight = 7, .min_share = 1, .max_share = 1),
        PEER ("b", "n", 8, .in_flight = 0),
        PEER ("c", "s", 8, .in_flight = 0)),
  CASE ("own domain full: another domain of the region is picked",
        PEER ("a", "n", 8, .in_flight = 8, .queued = 8),
        PEER ("b", "n", 8, .in_flight = 2, .min_share = 1, .max_share = 1),
        PEER ("c", "s", 8, .in_flight = 0)),
  CASE ("region full: another region is picked",
        PEER ("a", "n", 8, .in_flight = 8, .queued = 8),
        PEER ("b", "n", 8, .in_flight = 10, .own_in_flight = 2),
        PEER ("c", "s", 8, .in_flight = 0, .min_share = 1, .max_share = 1)),
  CASE ("all full: the own domain is picked and queues",
        PEER ("a", "n", 8, .in_flight = 8, .queued = 8, .min_share = 1, .max_share = 1),
        PEER ("b", "n", 8, .in_flight = 10, .own_in_flight = 2),
        PEER ("c", "s", 8, .in_flight = 10, .own_in_flight = 2)),
  CASE ("no spilled calls right after a refused one",
        PEER ("b", "n", 8, .spill_skip_until = NOW + 1),
        PEER ("c", "s", 8, .min_share = 1, .max_share = 1)),
  CASE ("own domain gone: no calls beyond the spill share of another domain",
        PEER ("b", "n", 10, .in_flight = 8, .own_in_flight = 8)),
  CASE ("no usable candidate", PEER ("a", "n", 8, .draining = true)),
};

typedef struct
{
  const char *name;
  BjStatus results[8]; // consecutive results, ended by -1
  bool is_skipped;
} ResultCase;

static const ResultCase result_cases[] = {
  { "success", { BJ_OK, -1 }, false },
  { "one lost connection", { BJ_E_LOST, -1 }, true },
  { "no upstream at the peer", { BJ_E_NO_UPSTREAM, -1 }, true },
  { "draining", { BJ_E_DRAINING, -1 }, true },
  { "two timeouts", { BJ_E_DEADLINE, BJ_E_DEADLINE, -1 }, false },
  { "three timeouts in a row", { BJ_E_DEADLINE, BJ_E_DEADLINE, BJ_E_DEADLINE, -1 }, true },
  { "three sheds in a row", { BJ_E_SHED, BJ_E_SHED, BJ_E_SHED, -1 }, true },
  { "a success resets the count of sheds", { BJ_E_SHED, BJ_E_SHED, BJ_OK, BJ_E_SHED, -1 }, false },
  { "a success ends the skip", { BJ_E_LOST, BJ_OK, -1 }, false },
  { "refused for load", { BJ_E_OVERLOAD, BJ_E_OVERLOAD, BJ_E_OVERLOAD, -1 }, false },
};

static const BjRouterOps *p2c_ops;

static BjPeer
make_peer (const Candidate *c)
{
  return (BjPeer){
    .report = {
      .name = BJ_STR ("peer"),
      .service = BJ_STR ("catalogue"),
      .domain = bj_str (c->domain),
      .region = bj_str (c->region),
      .limit = c->limit,
      .in_flight = c->in_flight,
      .queued = c->queued,
      .draining = c->draining,
    },
    .reported = NOW - c->age_ms,
    .own_in_flight = c->own_in_flight,
    .skip_ms = c->skip_ms,
    .skip_until = c->skip_until,
    .spill_skip_until = c->spill_skip_until,
  };
}

static void
check_pick_shares (const PickCase *c)
{
  BjPeer peers[PEERS_MAX];
  BjPeer *list[PEERS_MAX];
  int counts[PEERS_MAX + 1] = { 0 };
  BjCall call = { 0 };
  BjRouter *r = p2c_ops->create ();
  int candidates;
  BjRouterRequest request = { .call = &call,
                              .peers = list,
                              .domain = BJ_STR ("a"),
                              .region = BJ_STR ("n"),
                              .rand = g_rand_new_with_seed (1),
                              .n_candidates = &candidates };

  for (; request.n < PEERS_MAX && c->candidates[request.n].domain != NULL; request.n++)
    {
      peers[request.n] = make_peer (&c->candidates[request.n]);
      list[request.n] = &peers[request.n];
    }
  for (int i = 0; i < PICKS; i++)
    {
      BjPeer *p = r->ops->pick (r, NOW, &request);

      counts[p != NULL ? p - peers : PEERS_MAX]++;
    }
  for (int i = 0; i < request.n; i++)
    {
      double share = (double)counts[i] / PICKS;

      if (share < c->candidates[i].min_share || share > c->candidates[i].max_share)
        fail_msg ("%s: candidate %d got %.3f of the calls", c->name, i, share);
    }
  g_rand_free (request.rand);
  r->ops->destroy (r);
}

static void
test_pick_shares (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (pick_cases); i++)
    check_pick_shares (&pick_cases[i]);
}

static void
test_skip_after_results (void **state)
{
  const Candidate only = PEER ("a", "n", 8, .in_flight = 0);

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (result_cases); i++)
    {
      const ResultCase *c = &result_cases[i];
      BjPeer p = make_peer (&only);
      BjRouter *r = p2c_ops->create ();

      for (int j = 0; (int)c->results[j] >= 0; j++)
        r->ops->result (r, NOW, &p, c->results[j]);
      if ((p.skip_until > NOW) != c->is_skipped)
        fail_msg ("%s: skipped until %.0f", c->name, p.skip_until);
      r->ops->destroy (r);
    }
}

// With 2 of 100 candidates in the own domain, the random draws may miss both; the pick must still
// be one of them.
static void
test_pick_among_many (void **state)
{
  BjPeer peers[100];
  BjPeer *list[100];
  BjCall call = { 0 };
  BjRouter *r = p2c_ops->create ();
  int candidates;
  BjRouterRequest request = { .call = &call,
                              .peers = list,
                              .n = 100,
                              .domain = BJ_STR ("a"),
                              .region = BJ_STR ("n"),
                              .rand = g_rand_new_with_seed (1),
                              .n_candidates = &candidates };

  (void)state;
  for (int i = 0; i < 100; i++)
    {
      peers[i] = make_peer (&(Candidate)PEER (i % 50 == 7 ? "a" : "b", "n", 8, .in_flight = 0));
      list[i] = &peers[i];
    }
  for (int i = 0; i < PICKS; i++)
    assert_string_equal (r->ops->pick (r, NOW, &request)->report.domain.data, "a");
  g_rand_free (request.rand);
  r->ops->destroy (r);
}

typedef struct
{
  BjHost host;
  int started;
  int refused;
} SpillHost;

static void
start_upstream (BjHost *h, BjCall *c)
{
  (void)c;
  ((SpillHost *)h)->started++;
}

static void
answer (BjHost *h, BjCall *c, const BjAnswer *a)
{
  (void)c;
  assert_int_equal (a->outcome, BJ_NOT_RUN);
  assert_int_equal (a->code, BJ_E_OVERLOAD);
  ((SpillHost *)h)->refused++;
}

static void
send_peer (BjHost *h, BjCall *c, BjPeer *p)
{
  (void)h;
  (void)c;
  (void)p;
}

static void
do_nothing (BjHost *h, BjCall *c)
{
  (void)h;
  (void)c;
}

typedef struct
{
  const char *name;
  int n_own;   // calls of the own domain that are running
  int spilled; // calls of another domain that arrive at the same time
  int started; // spilled calls that are expected to start
} SpillCase;

// The upstream has ten slots; BJ_SPILL_SHARE is 0.8.
static const SpillCase spill_cases[] = {
  { "idle", 0, 20, 8 },  { "more than half full", 6, 20, 4 },   { "one slot is free", 9, 20, 1 },
  { "full", 10, 20, 0 }, { "own calls are queued", 12, 20, 0 },
};

static void
test_spill_admission (void **state)
{
  static const BjHostOps ops
      = { send_peer, start_upstream, do_nothing, answer, do_nothing, do_nothing };
  static const char config[]
      = "{\"number\":1,\"priorities\":[\"lookup\"],\"services\":{\"catalogue\":{\"routes\":["
        "{\"prefix\":\"/c\",\"class\":\"lookup\"}],\"limiter\":{\"plugin\":\"fixed\"}}}}";
  BjRequest own = { .method = BJ_STR ("GET"), .path = BJ_STR ("/c"), .deadline_ms = 60000 };
  BjRequest spilled = own;

  (void)state;
  spilled.is_spilled = true;
  for (size_t i = 0; i < G_N_ELEMENTS (spill_cases); i++)
    {
      const SpillCase *c = &spill_cases[i];
      SpillHost h = { .host.ops = &ops };
      BjKernelOptions o = { .self = { .name = BJ_STR ("one") }, .host = &h.host, .seed = 1 };
      BjKernel *k = bj_kernel_new (&o, 0);
      BjConfig *parsed;
      int before;

      assert_int_equal (bj_config_parse (bj_str (config), &parsed), BJ_OK);
      bj_kernel_set_config (k, 0, parsed);
      bj_kernel_announce (k, 0, BJ_STR ("catalogue"), 10);
      for (int j = 0; j < c->n_own; j++)
        bj_kernel_arrive_peer (k, 1, &own, BJ_STR ("catalogue"), NULL);
      before = h.started;
      for (int j = 0; j < c->spilled; j++)
        bj_kernel_arrive_peer (k, NOW, &spilled, BJ_STR ("catalogue"), NULL);
      if (h.started - before != c->started || h.refused != c->spilled - c->started)
        fail_msg ("%s: %d started, %d refused", c->name, h.started - before, h.refused);
      bj_kernel_free (k);
    }
}

// A full guard queues a spilled call whose class is more important than that of the running calls
// and refuses any other.
static void
test_spill_admission_by_class (void **state)
{
  static const struct
  {
    const char *name;
    int running_klass; // class of the ten calls that fill the slots
    int klass;         // class of the spilled call
    bool refused;
  } cases[] = {
    { "spilled acceptance, lookups run", 1, 0, false },
    { "spilled acceptance, acceptances run", 0, 0, true },
    { "spilled lookup, lookups run", 1, 1, true },
    { "spilled lookup, acceptances run", 0, 1, true },
  };
  static const BjHostOps ops
      = { send_peer, start_upstream, do_nothing, answer, do_nothing, do_nothing };
  static const char config[]
      = "{\"number\":1,\"priorities\":[\"accept\",\"lookup\"],\"services\":{\"catalogue\":{"
        "\"routes\":[{\"prefix\":\"/"
        "c\",\"class\":\"accept\"}],\"limiter\":{\"plugin\":\"fixed\"}}}}";

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      SpillHost h = { .host.ops = &ops };
      BjKernelOptions o = { .self = { .name = BJ_STR ("one") }, .host = &h.host, .seed = 1 };
      BjKernel *k = bj_kernel_new (&o, 0);
      BjRequest r = { .method = BJ_STR ("GET"), .path = BJ_STR ("/c"), .deadline_ms = 60000 };
      BjConfig *parsed;

      assert_int_equal (bj_config_parse (bj_str (config), &parsed), BJ_OK);
      bj_kernel_set_config (k, 0, parsed);
      bj_kernel_announce (k, 0, BJ_STR ("catalogue"), 10);
      r.klass = cases[i].running_klass;
      for (int j = 0; j < 10; j++)
        bj_kernel_arrive_peer (k, 1, &r, BJ_STR ("catalogue"), NULL);
      r.klass = cases[i].klass;
      r.is_spilled = true;
      bj_kernel_arrive_peer (k, NOW, &r, BJ_STR ("catalogue"), NULL);
      if (h.refused != cases[i].refused)
        print_error ("%s\n", cases[i].name);
      assert_int_equal (h.refused, cases[i].refused);
      bj_kernel_free (k);
    }
}

// Peers drop a gossip datagram with a limit out of range, so the daemon would lose its membership.
static void
test_limits_fit_gossip (void **state)
{
  static const char *const limiters[] = { "none", "fixed", "adaptive" };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (limiters); i++)
    {
      const BjLimiterOps *ops = bj_plugin_find (BJ_PLUGIN_LIMITER, bj_str (limiters[i]));
      BjLimiterOptions o = BJ_LIMITER_OPTIONS_DEFAULT;
      BjLimiter *l = ops->create (&o, 0);
      BjDatagram d = { .kind = BJ_DATAGRAM_PING, .to_host = BJ_STR ("127.0.0.1"), .to_port = 1 };
      BjDatagram back;
      msgpack_unpacked unpacked;
      msgpack_sbuffer out;

      d.self.kind = BJ_UPDATE_FULL;
      d.self.report = (BjPeerReport){ .name = BJ_STR ("one"),
                                      .domain = BJ_STR ("a"),
                                      .region = BJ_STR ("n"),
                                      .host = BJ_STR ("127.0.0.1"),
                                      .gossip_host = BJ_STR ("127.0.0.1"),
                                      .link_port = 1,
                                      .gossip_port = 1,
                                      .incarnation = 1,
                                      .limit = l->ops->limit (l, NOW) };
      msgpack_sbuffer_init (&out);
      msgpack_unpacked_init (&unpacked);
      bj_datagram_encode (&out, &d);
      if (bj_datagram_decode ((BjStr){ out.data, out.size }, &unpacked, &back) != BJ_OK)
        fail_msg ("%s: limit %d, %s", limiters[i], d.self.report.limit, bj_last_message ());
      assert_int_equal (back.self.report.limit, d.self.report.limit);
      msgpack_unpacked_destroy (&unpacked);
      msgpack_sbuffer_destroy (&out);
      ops->destroy (l);
    }
}

static int
find_router (void **state)
{
  (void)state;
  p2c_ops = bj_plugin_find (BJ_PLUGIN_ROUTER, BJ_STR ("p2c-load"));
  return p2c_ops == NULL;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pick_shares),
    cmocka_unit_test (test_skip_after_results),
    cmocka_unit_test (test_pick_among_many),
    cmocka_unit_test (test_spill_admission),
    cmocka_unit_test (test_spill_admission_by_class),
    cmocka_unit_test (test_limits_fit_gossip),
  };

  return cmocka_run_group_tests (tests, find_router, NULL);
}
