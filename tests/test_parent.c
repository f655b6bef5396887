// Whom a call was made for, where only deadlines tell: its class, and what its route depends on.

#include "kernel.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define RUNS 60
#define AGE_MS 700

static const char config[]
    = "{\"number\":1,\"priorities\":[\"a\",\"b\",\"c\"],\"services\":{"
      "\"plans\":{\"routes\":[{\"prefix\":\"/index/\",\"class\":\"b\"},{\"prefix\":\"/file/"
      "\",\"class\":"
      "\"c\"}],\"limiter\":{\"plugin\":\"fixed\"}},"
      "\"estimator\":{\"routes\":[{\"prefix\":\"/rate/\",\"class\":\"b\"}]}}}";

typedef struct
{
  const char *name;
  int klass;          // of the parent, as its front told
  double after_ms;    // the call comes so long after its parent began
  double deadline_ms; // left to it, 0 for what is left of the age or of its parent's deadline
  bool found;
} ParentCase;

static const ParentCase cases[] = {
  { "made for an acceptance", 0, 7, 0, true },
  { "made for a lookup", 2, 7, 0, true },
  { "made late", 2, 300, 0, true },
  { "a caller's own", 0, 7, 5000, false },
};

typedef struct
{
  BjHost host; // first
  BjCall *sent;
} Host;

static void
send_peer (BjHost *h, BjCall *c, BjPeer *p)
{
  (void)p;
  ((Host *)h)->sent = c;
}

static void
start_upstream (BjHost *h, BjCall *c)
{
  (void)h;
  c->handed_until = c->deadline - BJ_HOP_MS;
}

static void
answer (BjHost *h, BjCall *c, const BjAnswer *a)
{
  (void)h;
  (void)c;
  (void)a;
}

static void
do_nothing (BjHost *h, BjCall *c)
{
  (void)h;
  (void)c;
}

static const BjHostOps host_ops
    = { send_peer, start_upstream, do_nothing, answer, do_nothing, do_nothing };

static BjKernel *
new_kernel (Host *h)
{
  BjKernelOptions o
      = { .self = { .name = BJ_STR ("one"), .domain = BJ_STR ("a") }, .host = &h->host, .seed = 3 };
  BjPeerReport r = { .name = BJ_STR ("peer"),
                     .domain = BJ_STR ("a"),
                     .service = BJ_STR ("estimator"),
                     .host = BJ_STR ("127.0.0.1"),
                     .gossip_host = BJ_STR ("127.0.0.1"),
                     .incarnation = 1,
                     .limit = 1000 };
  BjKernel *k;
  BjConfig *c;

  *h = (Host){ .host = { &host_ops } };
  k = bj_kernel_new (&o, 0);
  assert_int_equal (bj_config_parse (bj_str (config), &c), BJ_OK);
  bj_kernel_set_config (k, 0, c);
  bj_kernel_announce (k, 0, BJ_STR ("plans"), 1000);
  bj_kernel_peer (k, 0, &r);
  return k;
}

static BjCall *
run_named (BjKernel *k, BjTime now, const char *id, const char *path, int klass, double deadline_ms)
{
  BjRequest r = { .method = BJ_STR ("GET"),
                  .path = bj_str (path),
                  .id = bj_str (id),
                  .klass = klass,
                  .deadline_ms = deadline_ms,
                  .has_cohort = true,
                  .cohort = 77 };

  return bj_kernel_arrive_peer (k, now, &r, BJ_STR ("plans"), NULL);
}

static BjCall *
run_parent (BjKernel *k, BjTime now, const char *path, int klass, double deadline_ms)
{
  return run_named (k, now, "", path, klass, deadline_ms);
}

static BjCall *
make_named (BjKernel *k, Host *h, BjTime now, const char *id, double deadline_ms)
{
  BjRequest r = { .method = BJ_STR ("GET"),
                  .path = BJ_STR ("/rate/x"),
                  .id = bj_str (id),
                  .klass = -1,
                  .attempts_left = -1,
                  .deadline_ms = deadline_ms };

  h->sent = NULL;
  bj_kernel_arrive (k, now, &r, NULL);
  return h->sent;
}

static BjCall *
make_call (BjKernel *k, Host *h, BjTime now, double deadline_ms)
{
  return make_named (k, h, now, "", deadline_ms);
}

// Runs begin at random with deadlines all over; each makes one call that ends AGE_MS after it.
static BjTime
teach (BjKernel *k, Host *h)
{
  GRand *rand = g_rand_new_with_seed (20261204);
  BjTime now = 1000;

  for (int i = 0; i < RUNS; i++)
    {
      run_parent (k, now, "/index/x", 1, 750 + 3.3 * i);
      now += 5;
      make_call (k, h, now, AGE_MS - 5);
      now += g_rand_double_range (rand, 1, 20);
    }
  g_rand_free (rand);
  return now;
}

static void
test_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const ParentCase *c = &cases[i];
      Host h;
      BjKernel *k = new_kernel (&h);
      BjTime now = teach (k, &h) + 3.1;
      BjCall *parent = run_parent (k, now, "/index/y", c->klass, 1500);
      BjCall *child = make_call (
          k, &h, now + c->after_ms, c->deadline_ms > 0 ? c->deadline_ms : AGE_MS - c->after_ms);

      print_message ("  %s\n", c->name);
      assert_non_null (parent);
      assert_non_null (child);
      assert_true (child->is_inner == c->found);
      assert_int_equal (child->klass, c->found ? c->klass : 1);
      if (c->found)
        assert_int_equal (child->cohort, 77);
      bj_kernel_free (k);
    }
}

// Where calls are named after their parents, deadlines that are alike mislead nobody.
static void
test_names (void **state)
{
  static const struct
  {
    const char *name;
    const char *id; // of the call
    int named;      // calls with a name of a running call before
    bool found;
    int klass;
  } names[] = {
    { "made for the lookup", "look.1", 0, true, 2 },
    { "made for the acceptance", "acce.1", 0, true, 0 },
    { "named after both", "acce.1.look.1", 0, true, 0 }, // by its deadline
    { "a caller's own, told by the deadline", "own", 0, true, 0 },
    { "a caller's own, where calls are named", "own", 30, false, 1 },
    { "made for one that ended, where calls are named", "gone.1", 30, false, 1 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      Host h;
      BjKernel *k = new_kernel (&h);
      BjTime now = 1000;
      BjCall *accept;
      BjCall *child;

      for (int n = 0; n < names[i].named; n++)
        {
          run_named (k, now, "old", "/index/x", 1, 900);
          make_named (k, &h, now, "old.1", 500);
        }
      accept = run_named (k, now, "acce", "/index/x", 0, 400);
      run_named (k, now, "look", "/index/y", 2, 401);
      child = make_named (k, &h, now + 7, names[i].id, accept->handed_until - now - 7);
      if (child->is_inner != names[i].found || child->klass != names[i].klass)
        print_error ("%s\n", names[i].name);
      assert_true (child->is_inner == names[i].found);
      assert_int_equal (child->klass, names[i].klass);
      bj_kernel_free (k);
    }
}

// A parent that ends sooner than the age hands its own deadline down.
static void
test_deadline (void **state)
{
  Host h;
  BjKernel *k = new_kernel (&h);
  BjCall *parent = run_parent (k, 1000, "/index/x", 0, 400);
  BjCall *child;

  (void)state;
  child = make_call (k, &h, 1010, parent->handed_until - 1010);
  assert_true (child->is_inner);
  assert_int_equal (child->klass, 0);
  bj_kernel_free (k);
}

static void
count (uint64_t called, void *n)
{
  (void)called;
  (*(int *)n)++;
}

// Routes that call nothing are not taken for callers, though some runs are mistaken for parents.
static void
test_dependencies (void **state)
{
  Host h;
  BjKernel *k = new_kernel (&h);
  BjTime now = 1000;
  const BjServiceConfig *s;
  uint64_t index;
  uint64_t file;
  int n_index = 0;
  int n_file = 0;

  (void)state;
  for (int i = 0; i < RUNS; i++)
    {
      BjCall *parent = run_parent (k, now, "/index/x", 1, 300 + 3.3 * i);
      // Every twelfth download has the deadline of a run that makes calls.
      run_parent (k, now, "/file/x", 2, i % 12 == 0 ? 299.5 + 3.3 * i : 900 + 7.7 * i);
      make_call (k, &h, now + 5, parent->handed_until - now - 5);
      now += 9.7;
    }
  index = bj_config_route_hash (
      bj_config_route_of (bj_kernel_config (k), BJ_STR_NULL, BJ_STR ("/index/x"), &s));
  file = bj_config_route_hash (
      bj_config_route_of (bj_kernel_config (k), BJ_STR_NULL, BJ_STR ("/file/x"), &s));
  bj_parent_each_called (k, index, count, &n_index);
  bj_parent_each_called (k, file, count, &n_file);
  assert_int_equal (n_index, 1);
  assert_int_equal (n_file, 0);
  assert_true (bj_parent_makes_calls (k, index));
  assert_false (bj_parent_makes_calls (k, file));
  bj_kernel_free (k);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_cases),
                                      cmocka_unit_test (test_names),
                                      cmocka_unit_test (test_deadline),
                                      cmocka_unit_test (test_dependencies) };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
