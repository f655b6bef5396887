// Finding the parent of a call by its id or deadline: the call inherits the parent's class, and the
// dependencies between routes are learned from the parents found.

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
  int klass;          // class of the parent, set by its front
  double after_ms;    // from the start of the parent to the arrival of the call
  double deadline_ms; // remaining deadline of the call, 0 for AGE_MS after the parent's start
  bool expects_parent;
} ParentCase;

static const ParentCase cases[] = {
  { "made for an acceptance, parent found", 0, 7, 0, true },
  { "made for a lookup, parent found", 2, 7, 0, true },
  { "made long after its parent started, parent found", 2, 300, 0, true },
  { "sent by a caller, no parent found", 0, 7, 5000, false },
};

typedef struct
{
  BjHost host; // first member, callbacks cast it to FakeHost
  BjCall *sent;
} FakeHost;

static void
send_peer (BjHost *h, BjCall *c, BjPeer *p)
{
  (void)p;
  ((FakeHost *)h)->sent = c;
}

static void
start_upstream (BjHost *h, BjCall *c)
{
  (void)h;
  c->upstream_deadline = c->deadline - BJ_HOP_DEADLINE_MARGIN_MS;
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
new_kernel (FakeHost *h)
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

  *h = (FakeHost){ .host = { &host_ops } };
  k = bj_kernel_new (&o, 0);
  assert_int_equal (bj_config_parse (bj_str (config), &c), BJ_OK);
  bj_kernel_set_config (k, 0, c);
  bj_kernel_announce (k, 0, BJ_STR ("plans"), 1000);
  bj_kernel_update_peer (k, 0, &r);
  return k;
}

static BjCall *
run_parent_with_id (
    BjKernel *k, BjTime now, const char *id, const char *path, int klass, double deadline_ms)
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
  return run_parent_with_id (k, now, "", path, klass, deadline_ms);
}

static BjCall *
make_call_with_id (BjKernel *k, FakeHost *h, BjTime now, const char *id, double deadline_ms)
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
make_call (BjKernel *k, FakeHost *h, BjTime now, double deadline_ms)
{
  return make_call_with_id (k, h, now, "", deadline_ms);
}

// Trains the age histogram: runs start at random times with spread deadlines, and each makes one
// call whose deadline is AGE_MS after the start of the run.
static BjTime
train_ages (BjKernel *k, FakeHost *h)
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
test_parent_by_age (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const ParentCase *c = &cases[i];
      FakeHost h;
      BjKernel *k = new_kernel (&h);
      BjTime now = train_ages (k, &h) + 3.1;
      BjCall *parent = run_parent (k, now, "/index/y", c->klass, 1500);
      BjCall *child = make_call (
          k, &h, now + c->after_ms, c->deadline_ms > 0 ? c->deadline_ms : AGE_MS - c->after_ms);

      print_message ("  %s\n", c->name);
      assert_non_null (parent);
      assert_non_null (child);
      assert_true (child->is_nested == c->expects_parent);
      assert_int_equal (child->klass, c->expects_parent ? c->klass : 1);
      if (c->expects_parent)
        assert_int_equal (child->cohort, 77);
      bj_kernel_free (k);
    }
}

// Where ids name the parents, calls with equal deadlines must not be assigned to a wrong parent.
static void
test_parent_by_id (void **state)
{
  static const struct
  {
    const char *name;
    const char *id; // id of the call
    int n_with_id;  // earlier calls whose id named a running call
    bool expects_parent;
    int klass;
  } id_cases[] = {
    { "id names the lookup", "look.1", 0, true, 2 },
    { "id names the acceptance", "acce.1", 0, true, 0 },
    { "parent id is unknown, found by the deadline", "acce.1.look.1", 0, true, 0 },
    { "id names no call, found by the deadline", "own", 0, true, 0 },
    { "id names no call, other ids do: no parent", "own", 30, false, 1 },
    { "id names an ended call, other ids do: no parent", "gone.1", 30, false, 1 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (id_cases); i++)
    {
      FakeHost h;
      BjKernel *k = new_kernel (&h);
      BjTime now = 1000;
      BjCall *acceptance;
      BjCall *child;

      for (int n = 0; n < id_cases[i].n_with_id; n++)
        {
          run_parent_with_id (k, now, "old", "/index/x", 1, 900);
          make_call_with_id (k, &h, now, "old.1", 500);
        }
      acceptance = run_parent_with_id (k, now, "acce", "/index/x", 0, 400);
      run_parent_with_id (k, now, "look", "/index/y", 2, 401);
      child = make_call_with_id (
          k, &h, now + 7, id_cases[i].id, acceptance->upstream_deadline - now - 7);
      if (child->is_nested != id_cases[i].expects_parent || child->klass != id_cases[i].klass)
        print_error ("%s\n", id_cases[i].name);
      assert_true (child->is_nested == id_cases[i].expects_parent);
      assert_int_equal (child->klass, id_cases[i].klass);
      bj_kernel_free (k);
    }
}

// A parent whose deadline is sooner than the fixed timeout passes on its own deadline.
static void
test_parent_by_deadline (void **state)
{
  FakeHost h;
  BjKernel *k = new_kernel (&h);
  BjCall *parent = run_parent (k, 1000, "/index/x", 0, 400);
  BjCall *child;

  (void)state;
  child = make_call (k, &h, 1010, parent->upstream_deadline - 1010);
  assert_true (child->is_nested);
  assert_int_equal (child->klass, 0);
  bj_kernel_free (k);
}

static void
count_called (uint64_t called, void *n)
{
  (void)called;
  (*(int *)n)++;
}

// A route that makes no calls must not count as a caller, although some of its runs are mistaken
// for parents because their deadlines match.
static void
test_dependencies (void **state)
{
  FakeHost h;
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
      // Every twelfth /file/ run has nearly the deadline of an /index/ run.
      run_parent (k, now, "/file/x", 2, i % 12 == 0 ? 299.5 + 3.3 * i : 900 + 7.7 * i);
      make_call (k, &h, now + 5, parent->upstream_deadline - now - 5);
      now += 9.7;
    }
  index = bj_config_route_hash (
      bj_config_route_for_host (bj_kernel_config (k), BJ_STR_NULL, BJ_STR ("/index/x"), &s));
  file = bj_config_route_hash (
      bj_config_route_for_host (bj_kernel_config (k), BJ_STR_NULL, BJ_STR ("/file/x"), &s));
  bj_parent_each_called (k, index, count_called, &n_index);
  bj_parent_each_called (k, file, count_called, &n_file);
  assert_int_equal (n_index, 1);
  assert_int_equal (n_file, 0);
  assert_true (bj_parent_makes_calls (k, index));
  assert_false (bj_parent_makes_calls (k, file));
  bj_kernel_free (k);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_parent_by_age),
                                      cmocka_unit_test (test_parent_by_id),
                                      cmocka_unit_test (test_parent_by_deadline),
                                      cmocka_unit_test (test_dependencies) };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
