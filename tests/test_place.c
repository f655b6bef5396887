// Where a call goes: plug-in "least-wait", and which refusals let it go elsewhere at no cost.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define PEERS 4
#define LIMIT 20
#define TRIES_MAX 8

typedef struct
{
  BjHost host; // first
  BjCall *sent;
  char to[TRIES_MAX][8]; // daemons that the call was sent to
  int n_sent;
  bool is_answered;
} Host;

typedef struct
{
  const char *name;
  const char *region; // NULL for none
  int in_flight;
  int failing;
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
  Host *host = (Host *)h;

  host->sent = c;
  assert_in_range (host->n_sent, 0, TRIES_MAX - 1);
  g_strlcpy (host->to[host->n_sent++], p->report.name.data, sizeof host->to[0]);
}

static void
answer (BjHost *h, BjCall *c, const BjAnswer *a)
{
  (void)c;
  (void)a;
  ((Host *)h)->is_answered = true;
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
new_kernel (Host *h, int burst, const Candidate *candidates)
{
  BjKernelOptions o
      = { .self
          = { .name = BJ_STR ("self"), .domain = BJ_STR ("north-a"), .region = BJ_STR ("north") },
          .host = &h->host,
          .seed = 5 };
  char text[512];
  BjConfig *c;
  BjKernel *k;

  *h = (Host){ .host = { &host_ops } };
  k = bj_kernel_new (&o, 0);
  g_snprintf (text, sizeof text, config, burst);
  assert_int_equal (bj_config_parse (bj_str (text), &c), BJ_OK);
  bj_kernel_set_config (k, 0, c);
  for (int i = 0; i < PEERS && candidates[i].name != NULL; i++)
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
                         .failing = candidates[i].failing };

      g_snprintf (domain, sizeof domain, "%s-a", candidates[i].region);
      r.domain = bj_str (domain);
      bj_kernel_peer (k, 0, &r);
    }
  return k;
}

static void
ask_for (BjKernel *k, const char *path)
{
  BjRequest r = { .method = BJ_STR ("GET"),
                  .path = bj_str (path),
                  .klass = -1,
                  .attempts_left = -1,
                  .deadline_ms = 700 };

  bj_kernel_arrive (k, 1, &r, NULL);
}

static void
ask (BjKernel *k)
{
  ask_for (k, "/rate/x");
}

// Who gets a call, by load and by the share of runs that fail.
static void
test_pick (void **state)
{
  static const struct
  {
    const char *name;
    Candidate candidates[PEERS];
    const char *expected;
  } cases[] = {
    { "the less loaded",
      { { "a", "north", 12, 0 }, { "b", "north", 4, 0 }, { "c", "north", 8, 0 } },
      "b" },
    { "a failing one last, though idle",
      { { "a", "north", 12, 0 }, { "b", "north", 0, 400 }, { "c", "north", 14, 0 } },
      "a" },
    { "a failing one before the others are crowded",
      { { "a", "north", 20, 0 }, { "b", "north", 0, 400 }, { "c", "north", 20, 0 } },
      "b" },
    { "another region before one that fails often",
      { { "a", "north", 20, 0 }, { "b", "north", 0, 400 }, { "c", "south", 4, 0 } },
      "c" },
    { "the own region before another, though it fails now and then",
      { { "a", "north", 4, 100 }, { "b", "south", 4, 0 }, { "c", "south", 4, 0 } },
      "a" },
    { "all fail alike: the less loaded",
      { { "a", "north", 12, 400 }, { "b", "north", 4, 410 }, { "c", "north", 8, 390 } },
      "b" },
    { "few failures are noise",
      { { "a", "north", 12, 0 }, { "b", "north", 4, 30 }, { "c", "north", 8, 0 } },
      "b" },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Host h;
      BjKernel *k = new_kernel (&h, 0, cases[i].candidates);

      ask (k);
      if (strcmp (h.to[0], cases[i].expected) != 0)
        print_error ("%s: %s\n", cases[i].name, h.to[0]);
      assert_string_equal (h.to[0], cases[i].expected);
      bj_kernel_free (k);
    }
}

// Which ends of a first attempt let the call go to another daemon, with and without tokens.
static void
test_refusals (void **state)
{
  static const struct
  {
    const char *name;
    BjStatus code;
    BjOutcome outcome;
    int burst; // tokens
    int n_sent;
  } cases[] = {
    { "refused for load", BJ_E_OVERLOAD, BJ_NOT_RUN, 0, 2 },
    { "refused since it would wait too long", BJ_E_DEADLINE, BJ_NOT_RUN, 0, 2 },
    { "the daemon stops", BJ_E_DRAINING, BJ_NOT_RUN, 0, 2 },
    { "refused by the upstream", BJ_E_SHED, BJ_NOT_RUN, 0, 1 },
    { "refused by the upstream, a token left", BJ_E_SHED, BJ_NOT_RUN, 5, 2 },
    { "lost", BJ_E_LOST, BJ_UNKNOWN, 0, 1 },
    { "lost, a token left", BJ_E_LOST, BJ_UNKNOWN, 5, 2 },
    { "run out of time", BJ_E_DEADLINE, BJ_UNKNOWN, 0, 1 },
  };
  static const Candidate candidates[PEERS] = { { "a", "north", 4, 0 }, { "b", "north", 4, 0 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Host h;
      BjKernel *k = new_kernel (&h, cases[i].burst, candidates);
      BjAnswer a = {
        .code = cases[i].code, .outcome = cases[i].outcome, .http_status = 503, .attempts_left = -1
      };

      ask (k);
      assert_int_equal (h.n_sent, 1);
      bj_kernel_answer_begin (k, 2, h.sent, &a);
      if (h.n_sent != cases[i].n_sent)
        print_error ("%s\n", cases[i].name);
      assert_int_equal (h.n_sent, cases[i].n_sent);
      assert_int_equal (h.is_answered, cases[i].n_sent == 1);
      bj_kernel_free (k);
    }
}

// A call whose peer fell silent goes elsewhere if it may run again and somebody can take it.
static void
test_move (void **state)
{
  static const struct
  {
    const char *name;
    const char *path;
    int n_peers;
    int burst; // tokens
    int n_sent;
  } cases[] = {
    { "may run again", "/rate/x", 2, 5, 2 },
    { "no token left", "/rate/x", 2, 0, 1 },
    { "nobody else", "/rate/x", 1, 5, 1 },
    { "irreversible", "/book/x", 2, 5, 1 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Candidate candidates[PEERS] = { { "a", "north", 4, 0 }, { "b", "north", 4, 0 } };
      Host h;
      BjKernel *k;

      if (cases[i].n_peers == 1)
        candidates[1].name = NULL;
      k = new_kernel (&h, cases[i].burst, candidates);
      ask_for (k, cases[i].path);
      bj_kernel_peer_silent (k, 300, bj_kernel_find_peer (k, bj_str (h.to[0])), 300);
      bj_kernel_move (k, 300, h.sent);
      if (h.n_sent != cases[i].n_sent)
        print_error ("%s\n", cases[i].name);
      assert_int_equal (h.n_sent, cases[i].n_sent);
      assert_false (h.is_answered);
      if (h.n_sent > 1)
        assert_string_not_equal (h.to[0], h.to[1]);
      bj_kernel_free (k);
    }
}

// A silent peer gets no calls for a while, unless it is the only one.
static void
test_silent (void **state)
{
  static const Candidate two[PEERS] = { { "a", "north", 0, 0 }, { "b", "north", 16, 0 } };
  static const Candidate one[PEERS] = { { "a", "north", 0, 0 } };
  Host h;
  BjKernel *k = new_kernel (&h, 0, two);

  (void)state;
  bj_kernel_peer_silent (k, 0, bj_kernel_find_peer (k, BJ_STR ("a")), 300);
  ask (k);
  assert_string_equal (h.to[0], "b");
  bj_kernel_free (k);
  k = new_kernel (&h, 0, one);
  bj_kernel_peer_silent (k, 0, bj_kernel_find_peer (k, BJ_STR ("a")), 300);
  ask (k);
  assert_string_equal (h.to[0], "a");
  bj_kernel_free (k);
}

// Nothing is sent to a peer that was not heard for long: a caller that is told at once that its
// call has not run can come back, one whose call hangs can't.
static void
test_unheard (void **state)
{
  static const Candidate one[PEERS] = { { "a", "north", 0, 0 } };
  Host h;
  BjKernel *k = new_kernel (&h, 5, one);
  BjPeer *p = bj_kernel_find_peer (k, BJ_STR ("a"));

  (void)state;
  bj_kernel_peer_unheard (k, p, true);
  ask (k);
  assert_int_equal (h.n_sent, 0);
  assert_true (h.is_answered);
  bj_kernel_peer_unheard (k, p, false);
  ask (k);
  assert_int_equal (h.n_sent, 1);
  bj_kernel_free (k);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_pick),
                                      cmocka_unit_test (test_refusals),
                                      cmocka_unit_test (test_move),
                                      cmocka_unit_test (test_silent),
                                      cmocka_unit_test (test_unheard) };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
