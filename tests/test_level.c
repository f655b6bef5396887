// The shedding level: what a front refuses before a hop after a guard told its level, and for how
// long.

#include "kernel.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define COHORTS 256
#define CALLS 400
#define ANSWERS 60 // that tell the level before it is looked at

static const char config[] = "{\"number\":1,\"priorities\":[\"acceptance\",\"lookup\",\"preview\"],"
                             "\"services\":{\"s\":{\"routes\":["
                             "{\"prefix\":\"/accept\",\"class\":\"acceptance\"},"
                             "{\"prefix\":\"/order\",\"class\":\"preview\",\"irreversible\":true},"
                             "{\"prefix\":\"/lookup\",\"class\":\"lookup\"},"
                             "{\"prefix\":\"/preview\",\"class\":\"preview\"}]}}}";

typedef struct
{
  const char *name;
  const char *path;
  int level;       // told by every answer
  double later_ms; // after the last answer
  double share;    // of calls refused early
} LevelCase;

static const LevelCase cases[] = {
  { "level 0 admits all", "/preview", 0, 0, 0 },
  { "half of the lowest class", "/preview", COHORTS / 2, 0, 0.5 },
  { "the lowest class whole", "/preview", COHORTS, 0, 1 },
  { "the next class is not touched", "/lookup", COHORTS, 0, 0 },
  { "half of the next class", "/lookup", COHORTS + COHORTS / 2, 0, 0.5 },
  { "the first class is never shed early", "/accept", 3 * COHORTS, 0, 0 },
  { "irreversible work is never shed early", "/order", 3 * COHORTS, 0, 0 },
  { "half as much while it fades", "/preview", COHORTS, 800, 0.5 },
  { "gone without fresh answers", "/preview", COHORTS, 1400, 0 },
};

typedef struct
{
  BjHost host; // first
  BjCall *sent;
  int n_early;
  BjAnswer told;
} Host;

static void
send_peer (BjHost *h, BjCall *c, BjPeer *p)
{
  (void)p;
  ((Host *)h)->sent = c;
}

static void
answer (BjHost *h, BjCall *c, const BjAnswer *a)
{
  (void)c;
  ((Host *)h)->n_early += a->code == BJ_E_OVERLOAD;
  ((Host *)h)->told = *a;
}

static void
claim (BjHost *h, BjCall *c)
{
  ((Host *)h)->sent = c;
}

static void
do_nothing (BjHost *h, BjCall *c)
{
  (void)h;
  (void)c;
}

static const BjHostOps host_ops = { .send_peer = send_peer,
                                    .start_upstream = do_nothing,
                                    .cancel = do_nothing,
                                    .answer = answer,
                                    .claim = claim,
                                    .freed = do_nothing };

static BjKernel *
new_front (Host *h)
{
  BjKernelOptions o = { .self = { .name = BJ_STR ("front"), .domain = BJ_STR ("a") },
                        .host = &h->host,
                        .seed = 7 };
  BjPeerReport r = { .name = BJ_STR ("peer"),
                     .domain = BJ_STR ("a"),
                     .service = BJ_STR ("s"),
                     .host = BJ_STR ("127.0.0.1"),
                     .gossip_host = BJ_STR ("127.0.0.1"),
                     .incarnation = 1,
                     .version = 1,
                     .limit = 1000 };
  BjKernel *k;
  BjConfig *c;

  *h = (Host){ .host = { &host_ops } };
  k = bj_kernel_new (&o, 0);
  assert_int_equal (bj_config_parse (bj_str (config), &c), BJ_OK);
  bj_kernel_set_config (k, 0, c);
  bj_kernel_peer (k, 0, &r);
  return k;
}

// One call; an answer that tells the level when it was sent.
static void
call (BjKernel *k, Host *h, BjTime now, const char *path, int level)
{
  BjRequest r = { .method = BJ_STR ("GET"),
                  .path = bj_str (path),
                  .key = BJ_STR ("key"),
                  .klass = -1,
                  .attempts_left = -1 };
  BjAnswer a = { .outcome = BJ_DONE, .http_status = 200, .attempts_left = -1, .level = level };

  if (strcmp (path, "/order") != 0)
    r.key = BJ_STR_NULL;
  h->sent = NULL;
  bj_kernel_arrive (k, now, &r, NULL);
  if (h->sent != NULL && h->sent->state == BJ_CALL_CLAIMING)
    bj_kernel_claimed (k, now, h->sent, NULL);
  if (h->sent == NULL)
    return;
  bj_kernel_answer_begin (k, now, h->sent, &a);
  bj_kernel_answer_end (k, now, h->sent, true);
}

static double
share_refused (BjKernel *k, Host *h, const LevelCase *c, const BjCall *probe)
{
  for (int n = 0; n < CALLS; n++)
    {
      bj_level_learn (k, 1, probe, c->level);
      call (k, h, 1, c->path, c->level);
    }
  return h->n_early / (double)CALLS;
}

// Of the lowest class, when no answer came since.
static double
share_later (BjKernel *k, uint64_t route, BjTime now)
{
  int n_shed = 0;

  for (uint32_t cohort = 0; cohort < COHORTS; cohort++)
    {
      BjCall c = { .klass = 2, .cohort = cohort, .route = route };

      n_shed += bj_level_should_shed (k, now, &c);
    }
  return n_shed / (double)COHORTS;
}

static void
test_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const LevelCase *c = &cases[i];
      Host h;
      BjKernel *k = new_front (&h);
      BjCall probe = { .klass = 0 };
      double share;

      // A call that is never shed lets the level be learned whole.
      probe.route = bj_str_hash (bj_str (c->path));
      for (int n = 0; n < ANSWERS; n++)
        bj_level_learn (k, 1, &probe, c->level);
      share = c->later_ms > 0 ? share_later (k, probe.route, 1 + c->later_ms)
                              : share_refused (k, &h, c, &probe);
      print_message ("  %s: %.2f\n", c->name, share);
      assert_true (share >= c->share - 0.1 && share <= c->share + 0.1);
      bj_kernel_free (k);
    }
}

// A guard's answer tells the highest level that the calls made for it met.
static void
test_goes_upwards (void **state)
{
  Host h;
  BjKernel *k = new_front (&h);
  BjRequest guard
      = { .method = BJ_STR ("GET"), .path = BJ_STR ("/g"), .klass = 2, .deadline_ms = 1000 };
  BjCall *parent;
  BjCall child = { .klass = 1, .route = 5 };

  (void)state;
  bj_kernel_announce (k, 0, BJ_STR ("s"), 8);
  parent = bj_kernel_arrive_peer (k, 1, &guard, BJ_STR ("s"), NULL);
  assert_non_null (parent);
  child.request.parent = parent->id;
  for (int n = 0; n < ANSWERS; n++)
    bj_level_learn (k, 1, &child, 100);
  assert_true (bj_kernel_level (k, 1, parent) >= 95 && bj_kernel_level (k, 1, parent) <= 100);
  bj_kernel_free (k);
}

// Calls of one action are shed or admitted together, whoever makes them.
static void
test_one_cohort (void **state)
{
  Host h;
  BjKernel *k = new_front (&h);
  BjRequest guard = { .method = BJ_STR ("GET"),
                      .path = BJ_STR ("/g"),
                      .deadline_ms = 1000,
                      .has_cohort = true,
                      .cohort = 77 };
  BjRequest child = { .method = BJ_STR ("GET"), .path = BJ_STR ("/lookup"), .klass = -1 };
  BjCall *parent;

  (void)state;
  bj_kernel_announce (k, 0, BJ_STR ("s"), 8);
  parent = bj_kernel_arrive_peer (k, 1, &guard, BJ_STR ("s"), NULL);
  assert_int_equal (parent->cohort, 77);
  child.parent = parent->id;
  parent = bj_kernel_arrive (k, 1, &child, NULL);
  assert_non_null (parent);
  assert_int_equal (parent->cohort, 77);
  bj_kernel_free (k);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_goes_upwards),
    cmocka_unit_test (test_one_cohort),
  };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
