// Admission levels: a front that sheds the wrong classes, sheds irreversible work, or keeps
// shedding after the guard's responses have stopped. Responses with a level are simulated.

#include "kernel.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define COHORTS 256
#define N_CALLS 400
#define N_RESPONSES 60 // responses with the level before the shedding is measured

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
  int level;     // admission level in every response
  double age_ms; // time between the last response and the measurement
  double share;  // expected share of calls shed by the front, +/- 0.1
} LevelCase;

static const LevelCase cases[] = {
  { "level 0 sheds no calls", "/preview", 0, 0, 0 },
  { "level of half a class sheds half of the lowest class", "/preview", COHORTS / 2, 0, 0.5 },
  { "level of one class sheds all of the lowest class", "/preview", COHORTS, 0, 1 },
  { "level of one class sheds none of the next class", "/lookup", COHORTS, 0, 0 },
  { "level of 1.5 classes sheds half of the next class", "/lookup", COHORTS + COHORTS / 2, 0, 0.5 },
  { "the first class is never shed by a front", "/accept", 3 * COHORTS, 0, 0 },
  { "irreversible work is never shed by a front", "/order", 3 * COHORTS, 0, 0 },
  { "half of the level left 800 ms after the last response", "/preview", COHORTS, 800, 0.5 },
  { "no level left 1400 ms after the last response", "/preview", COHORTS, 1400, 0 },
};

typedef struct
{
  BjHost host; // must be the first member
  BjCall *sent;
  int n_shed;
  BjAnswer last_answer;
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
  ((Host *)h)->n_shed += a->code == BJ_E_OVERLOAD;
  ((Host *)h)->last_answer = *a;
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
  bj_kernel_update_peer (k, 0, &r);
  return k;
}

// Makes one call. If it is sent, the response carries the level.
static void
make_call (BjKernel *k, Host *h, BjTime now, const char *path, int level)
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
measure_shed_share (BjKernel *k, Host *h, const LevelCase *c, const BjCall *probe)
{
  for (int n = 0; n < N_CALLS; n++)
    {
      bj_level_learn (k, 1, probe, c->level);
      make_call (k, h, 1, c->path, c->level);
    }
  return h->n_shed / (double)N_CALLS;
}

// Share of the lowest class that would be shed at this time, without any further response.
static double
compute_shed_share (BjKernel *k, uint64_t route, BjTime now)
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
test_shed_share (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const LevelCase *c = &cases[i];
      Host h;
      BjKernel *k = new_front (&h);
      BjCall probe = { .klass = 0 };
      double share;

      // Class 0 is never shed, so that all responses reach the front and it learns the full level.
      probe.route = bj_str_hash (bj_str (c->path));
      for (int n = 0; n < N_RESPONSES; n++)
        bj_level_learn (k, 1, &probe, c->level);
      share = c->age_ms > 0 ? compute_shed_share (k, probe.route, 1 + c->age_ms)
                            : measure_shed_share (k, &h, c, &probe);
      print_message ("  %s: %.2f\n", c->name, share);
      assert_true (share >= c->share - 0.1 && share <= c->share + 0.1);
      bj_kernel_free (k);
    }
}

// A daemon that just started must not admit calls to overloaded guards until it has averaged many
// responses: the first response sets the level, later ones are smoothed.
static void
test_first_response_sets_level (void **state)
{
  Host h;
  BjKernel *k = new_front (&h);
  BjCall probe = { .route = 9 };

  (void)state;
  bj_level_learn (k, 1, &probe, COHORTS);
  assert_true (compute_shed_share (k, probe.route, 1) >= 0.99);
  bj_level_learn (k, 1, &probe, 0);
  assert_true (compute_shed_share (k, probe.route, 1) >= 0.7);
  bj_kernel_free (k);
}

// The level in a guard's response includes the highest level that its nested calls met.
static void
test_level_includes_nested_calls (void **state)
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
  for (int n = 0; n < N_RESPONSES; n++)
    bj_level_learn (k, 1, &child, 100);
  assert_true (bj_kernel_admission_level (k, 1, parent) >= 95
               && bj_kernel_admission_level (k, 1, parent) <= 100);
  bj_kernel_free (k);
}

// A nested call has the cohort of its parent, so that an action is shed or admitted as a whole.
static void
test_nested_call_has_parent_cohort (void **state)
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
    cmocka_unit_test (test_shed_share),
    cmocka_unit_test (test_first_response_sets_level),
    cmocka_unit_test (test_level_includes_nested_calls),
    cmocka_unit_test (test_nested_call_has_parent_cohort),
  };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
