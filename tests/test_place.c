// Router "least-wait": which peer gets a call, and after which refusals the call is sent to another
// peer without a retry token.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define PEERS_MAX 4
#define LIMIT 20
#define ATTEMPTS_MAX 8

typedef struct
{
  BjHost host; // first member, callbacks cast it to FakeHost
  BjCall *sent;
  char sent_to[ATTEMPTS_MAX][8]; // names of the daemons that the call was sent to, in order
  int n_sent;
  bool is_answered;
} FakeHost;

typedef struct
{
  const char *name; // NULL ends the list
  const char *region;
  int in_flight;
  int failure_permille;
} Candidate;

static const char config[]
    = "{\"number\":1,\"priorities\":[\"a\",\"b\",\"c\"],\"services\":{\"estimator\":{"
      "\"routes\":[{\"prefix\":\"/rate/\",\"class\":\"c\",\"objective_ms\":300,\"attempts\":1},"
      "{\"prefix\":\"/book/\",\"class\":\"a\",\"irreversible\":true,\"claim\":false}],"
      "\"router\":{\"plugin\":\"least-wait\"},"
      "\"retry\":{\"ratio\":0.1,\"burst\":%d}}}}";

static void
send_peer (BjHost *h, BjCall *c, BjPeer *p)
{
  FakeHost *host = (FakeHost *)h;

  host->sent = c;
  assert_in_range (host->n_sent, 0, ATTEMPTS_MAX - 1);
  g_strlcpy (host->sent_to[host->n_sent++], p->report.name.data, sizeof host->sent_to[0]);
}

static void
answer (BjHost *h, BjCall *c, const BjAnswer *a)
{
  (void)c;
  (void)a;
  ((FakeHost *)h)->is_answered = true;
}

static void
do_nothing (BjHost *h, BjCall *c)
{
  (void)h;
  (void)c;
}

static const BjHostOps host_ops
    = { send_peer, do_nothing, do_nothing, answer, do_nothing, do_nothing };

static BjKernel *
new_kernel (FakeHost *h, int burst, const Candidate *candidates)
{
  BjKernelOptions o
      = { .self
          = { .name = BJ_STR ("self"), .domain = BJ_STR ("north-a"), .region = BJ_STR ("north") },
          .host = &h->host,
          .seed = 5 };
  char text[512];
  BjConfig *c;
  BjKernel *k;

  *h = (FakeHost){ .host = { &host_ops } };
  k = bj_kernel_new (&o, 0);
  g_snprintf (text, sizeof text, config, burst);
  assert_int_equal (bj_config_parse (bj_str (text), &c), BJ_OK);
  bj_kernel_set_config (k, 0, c);
  for (int i = 0; i < PEERS_MAX && candidates[i].name != NULL; i++)
    {
      char domain[16];
      BjPeerReport r = { .name = bj_str (candidates[i].name),
                         .region = bj_str (candidates[i].region),
                         .service = BJ_STR ("estimator"),
                         .host = BJ_STR ("127.0.0.1"),
                         .gossip_host = BJ_STR ("127.0.0.1"),
                         .incarnation = 1,
                         .limit = LIMIT,
                         .in_flight = candidates[i].in_flight,
                         .failure_permille = candidates[i].failure_permille };

      g_snprintf (domain, sizeof domain, "%s-a", candidates[i].region);
      r.domain = bj_str (domain);
      bj_kernel_update_peer (k, 0, &r);
    }
  return k;
}

static void
arrive_at (BjKernel *k, const char *path)
{
  BjRequest r = { .method = BJ_STR ("GET"),
                  .path = bj_str (path),
                  .klass = -1,
                  .attempts_left = -1,
                  .deadline_ms = 700 };

  bj_kernel_arrive (k, 1, &r, NULL);
}

static void
arrive (BjKernel *k)
{
  arrive_at (k, "/rate/x");
}

// Picks depend on load and on the failure rate.
static void
test_pick_peer (void **state)
{
  static const struct
  {
    const char *name;
    Candidate candidates[PEERS_MAX];
    const char *expected;
  } cases[] = {
    { "the least loaded peer is picked",
      { { "a", "north", 12, 0 }, { "b", "north", 4, 0 }, { "c", "north", 8, 0 } },
      "b" },
    { "an idle failing peer is picked last",
      { { "a", "north", 12, 0 }, { "b", "north", 0, 400 }, { "c", "north", 14, 0 } },
      "a" },
    { "a failing peer is picked when the others are full",
      { { "a", "north", 20, 0 }, { "b", "north", 0, 400 }, { "c", "north", 20, 0 } },
      "b" },
    { "another region is picked before a peer that fails often",
      { { "a", "north", 20, 0 }, { "b", "north", 0, 400 }, { "c", "south", 4, 0 } },
      "c" },
    { "a peer that fails rarely is picked before another region",
      { { "a", "north", 4, 100 }, { "b", "south", 4, 0 }, { "c", "south", 4, 0 } },
      "a" },
    { "equal failure rates: the least loaded peer is picked",
      { { "a", "north", 12, 400 }, { "b", "north", 4, 410 }, { "c", "north", 8, 390 } },
      "b" },
    { "a low failure rate is ignored",
      { { "a", "north", 12, 0 }, { "b", "north", 4, 30 }, { "c", "north", 8, 0 } },
      "b" },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      FakeHost h;
      BjKernel *k = new_kernel (&h, 0, cases[i].candidates);

      arrive (k);
      if (strcmp (h.sent_to[0], cases[i].expected) != 0)
        print_error ("%s: %s\n", cases[i].name, h.sent_to[0]);
      assert_string_equal (h.sent_to[0], cases[i].expected);
      bj_kernel_free (k);
    }
}

// Which results of a first attempt let the call be sent to another daemon, with and without retry
// tokens.
static void
test_resend_after_refusal (void **state)
{
  static const struct
  {
    const char *name;
    BjStatus code;
    BjOutcome outcome;
    int burst; // retry tokens
    int n_sent;
  } cases[] = {
    { "refused for load", BJ_E_OVERLOAD, BJ_NOT_RUN, 0, 2 },
    { "refused because it would queue too long", BJ_E_DEADLINE, BJ_NOT_RUN, 0, 2 },
    { "refused by a draining daemon", BJ_E_DRAINING, BJ_NOT_RUN, 0, 2 },
    { "refused by the upstream", BJ_E_SHED, BJ_NOT_RUN, 0, 1 },
    { "refused by the upstream, tokens left", BJ_E_SHED, BJ_NOT_RUN, 5, 2 },
    { "connection lost", BJ_E_LOST, BJ_UNKNOWN, 0, 1 },
    { "connection lost, tokens left", BJ_E_LOST, BJ_UNKNOWN, 5, 2 },
    { "timed out", BJ_E_DEADLINE, BJ_UNKNOWN, 0, 1 },
  };
  static const Candidate candidates[PEERS_MAX] = { { "a", "north", 4, 0 }, { "b", "north", 4, 0 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      FakeHost h;
      BjKernel *k = new_kernel (&h, cases[i].burst, candidates);
      BjAnswer a = {
        .code = cases[i].code, .outcome = cases[i].outcome, .http_status = 503, .attempts_left = -1
      };

      arrive (k);
      assert_int_equal (h.n_sent, 1);
      bj_kernel_answer_begin (k, 2, h.sent, &a);
      if (h.n_sent != cases[i].n_sent)
        print_error ("%s\n", cases[i].name);
      assert_int_equal (h.n_sent, cases[i].n_sent);
      assert_int_equal (h.is_answered, cases[i].n_sent == 1);
      bj_kernel_free (k);
    }
}

// A call whose peer is silent is sent to another peer if it may run twice, a retry token is left
// and another peer exists.
static void
test_move_from_silent_peer (void **state)
{
  static const struct
  {
    const char *name;
    const char *path;
    int n_peers;
    int burst; // retry tokens
    int n_sent;
  } cases[] = {
    { "may run again", "/rate/x", 2, 5, 2 },
    { "no retry token left", "/rate/x", 2, 0, 1 },
    { "no other peer", "/rate/x", 1, 5, 1 },
    { "irreversible", "/book/x", 2, 5, 1 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Candidate candidates[PEERS_MAX] = { { "a", "north", 4, 0 }, { "b", "north", 4, 0 } };
      FakeHost h;
      BjKernel *k;

      if (cases[i].n_peers == 1)
        candidates[1].name = NULL;
      k = new_kernel (&h, cases[i].burst, candidates);
      arrive_at (k, cases[i].path);
      bj_kernel_skip_peer (k, 300, bj_kernel_find_peer (k, bj_str (h.sent_to[0])), 300);
      bj_kernel_reroute_call (k, 300, h.sent);
      if (h.n_sent != cases[i].n_sent)
        print_error ("%s\n", cases[i].name);
      assert_int_equal (h.n_sent, cases[i].n_sent);
      assert_false (h.is_answered);
      if (h.n_sent > 1)
        assert_string_not_equal (h.sent_to[0], h.sent_to[1]);
      bj_kernel_free (k);
    }
}

// A silent peer gets no calls for a while unless it is the only one.
static void
test_silent_peer (void **state)
{
  static const Candidate two[PEERS_MAX] = { { "a", "north", 0, 0 }, { "b", "north", 16, 0 } };
  static const Candidate one[PEERS_MAX] = { { "a", "north", 0, 0 } };
  FakeHost h;
  BjKernel *k = new_kernel (&h, 0, two);

  (void)state;
  bj_kernel_skip_peer (k, 0, bj_kernel_find_peer (k, BJ_STR ("a")), 300);
  arrive (k);
  assert_string_equal (h.sent_to[0], "b");
  bj_kernel_free (k);
  k = new_kernel (&h, 0, one);
  bj_kernel_skip_peer (k, 0, bj_kernel_find_peer (k, BJ_STR ("a")), 300);
  arrive (k);
  assert_string_equal (h.sent_to[0], "a");
  bj_kernel_free (k);
}

// No call is sent to a peer that has been silent for long. A caller that gets "not run" at once can
// retry; a caller whose call hangs can't.
static void
test_unreachable_peer (void **state)
{
  static const Candidate one[PEERS_MAX] = { { "a", "north", 0, 0 } };
  FakeHost h;
  BjKernel *k = new_kernel (&h, 5, one);
  BjPeer *p = bj_kernel_find_peer (k, BJ_STR ("a"));

  (void)state;
  bj_kernel_set_peer_unreachable (k, p, true);
  arrive (k);
  assert_int_equal (h.n_sent, 0);
  assert_true (h.is_answered);
  bj_kernel_set_peer_unreachable (k, p, false);
  arrive (k);
  assert_int_equal (h.n_sent, 1);
  bj_kernel_free (k);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_pick_peer),
                                      cmocka_unit_test (test_resend_after_refusal),
                                      cmocka_unit_test (test_move_from_silent_peer),
                                      cmocka_unit_test (test_silent_peer),
                                      cmocka_unit_test (test_unreachable_peer) };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
