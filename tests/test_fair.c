// Fair shares between accounts: a queue that lets one account take the capacity of the others,
// serves or evicts the wrong call, or differs from "priority-deadline" when there is only one
// account; fronts that shed the calls of accounts below their part, or that keep a count for every
// account.

#include "chain.h"
#include "maxmin.h"
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define STEPS_MAX 24
#define N_SEEDS 500
#define N_EVENTS 400

// ---------------------------------------------------------------------------------------------
// Queue
// ---------------------------------------------------------------------------------------------

typedef struct
{
  const char *calls; // one character each, the account; an upper-case letter is of class 0
  int max_length;
  const char *order;   // calls as they leave, by account
  const char *evicted; // or refused: accounts in the order in which their calls were turned away
} OrderCase;

static const OrderCase order_cases[] = {
  // Accounts take turns, an account that comes late waits for one round.
  { "aaaabbc", 100, "abcabaa", "" },
  { "aaaaab", 100, "abaaaa", "" },
  // Class goes first, accounts take turns within each class.
  { "aabbAAB", 100, "ABAabab", "" },
  // A full queue: a call replaces one of the account that holds most, unless that is its own.
  { "aaaab", 4, "abaa", "a" },
  { "aaaaa", 4, "aaaa", "a" },
  { "aabbc", 4, "abcb", "a" },
  { "abcd", 3, "abc", "d" },
  // Two accounts with almost the same number of calls do not replace each other's calls.
  { "aabb", 3, "aba", "b" },
  // A call replaces one of a less important class first, there of the account that holds most.
  { "aabC", 3, "Cab", "a" },
  { "AAAb", 3, "AAA", "b" },
  { "AAAbB", 4, "ABAA", "b" },
};

static BjStr
account_of (char name)
{
  static const char *const names[] = { "a", "b", "c", "d" };

  return bj_str (names[g_ascii_tolower (name) - 'a']);
}

static char
name_of (const BjCall *c)
{
  char name = c->request.account.data[0];

  return c->klass == 0 ? g_ascii_toupper (name) : name;
}

static BjQueue *
new_queue (const char *plugin, int max_length)
{
  const BjQueueOps *ops = bj_plugin_find (BJ_PLUGIN_QUEUE, bj_str (plugin));
  BjQueueOptions o = { .max_wait_ms = 100, .max_length = max_length };

  return ops->create (&o);
}

static void
test_order (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (order_cases); i++)
    {
      const OrderCase *o = &order_cases[i];
      BjQueue *q = new_queue ("fair", o->max_length);
      BjCall calls[STEPS_MAX];
      GString *order = g_string_new ("");
      GString *evicted = g_string_new ("");
      BjCall *c;

      for (size_t n = 0; n < strlen (o->calls); n++)
        {
          BjCall *other;

          calls[n] = (BjCall){ .id = n + 1,
                               .klass = g_ascii_isupper (o->calls[n]) ? 0 : 1,
                               .deadline = 1000,
                               .request.account = account_of (o->calls[n]) };
          if (q->ops->offer (q, 0, &calls[n], &other) != BJ_OK)
            other = &calls[n];
          if (other != NULL)
            g_string_append_c (evicted, name_of (other));
        }
      while ((c = q->ops->take (q, 0)) != NULL)
        g_string_append_c (order, name_of (c));
      print_message ("  %s: %s, turned away: %s\n", o->calls, order->str, evicted->str);
      assert_string_equal (order->str, o->order);
      assert_string_equal (evicted->str, o->evicted);
      q->ops->destroy (q);
      g_string_free (order, TRUE);
      g_string_free (evicted, TRUE);
    }
}

// Accounts get the same time on the upstream, not the same number of calls: runs of a take four
// times as long as those of b.
static void
test_cost (void **state)
{
  BjQueue *q = new_queue ("fair", 1000);
  BjCall calls[400];
  BjCall *other;
  int n_started[2] = { 0, 0 };

  (void)state;
  for (int i = 0; i < 400; i++)
    {
      calls[i] = (BjCall){ .id = (uint64_t)i + 1,
                           .deadline = BJ_TIME_NEVER,
                           .route = i % 2 == 0 ? 1 : 2,
                           .request.account = account_of (i % 2 == 0 ? 'a' : 'b') };
      assert_int_equal (q->ops->offer (q, 0, &calls[i], &other), BJ_OK);
      q->ops->learn_run (q, &calls[i], i % 2 == 0 ? 80 : 20);
    }
  for (int i = 0; i < 100; i++)
    n_started[name_of (q->ops->take (q, 0)) == 'B']++;
  assert_in_range (n_started[1], n_started[0] * 3, n_started[0] * 5);
  while (q->ops->take (q, 0) != NULL)
    ;
  q->ops->destroy (q);
}

// Random offers, starts and cancellations of calls of one account, or of none, in both queues.
static void
compare_queues (guint32 seed, BjStr account)
{
  BjQueue *fair = new_queue ("fair", 20);
  BjQueue *other = new_queue ("priority-deadline", 20);
  GRand *rand = g_rand_new_with_seed (seed);
  BjCall *calls = g_new0 (BjCall, N_EVENTS);
  BjTime now = 0;

  for (int i = 0; i < N_EVENTS; i++)
    {
      BjCall *c = &calls[i];
      int draw = g_rand_int_range (rand, 0, 100);

      now += g_rand_double_range (rand, 0, 8);
      if (draw < 50)
        {
          BjCall *a;
          BjCall *b;

          *c = (BjCall){ .id = (uint64_t)i + 1,
                         .klass = g_rand_int_range (rand, 0, 4),
                         .arrived = now,
                         .route = g_rand_int_range (rand, 1, 4),
                         .deadline = now + g_rand_double_range (rand, 1, 400),
                         .objective_ms = g_rand_int_range (rand, 0, 2) * 50,
                         .request.account = account };
          assert_int_equal (fair->ops->offer (fair, now, c, &a),
                            other->ops->offer (other, now, c, &b));
          assert_ptr_equal (a, b);
        }
      else if (draw < 90)
        {
          c = fair->ops->take (fair, now);
          assert_ptr_equal (c, other->ops->take (other, now));
          if (c != NULL)
            fair->ops->learn_run (fair, c, (double)c->route * 30);
        }
      else if (i > 0)
        {
          c = &calls[g_rand_int_range (rand, 0, i)];
          assert_int_equal (fair->ops->remove (fair, c), other->ops->remove (other, c));
        }
      if (fair->ops->length (fair) == 0)
        {
          fair->ops->idle (fair, now);
          other->ops->idle (other, now);
        }
      assert_int_equal (fair->ops->length (fair), other->ops->length (other));
      for (int k = 0; k < 4; k++)
        assert_true (fair->ops->wait_ms (fair, now, k) == other->ops->wait_ms (other, now, k));
    }
  while (fair->ops->take (fair, now) != NULL)
    assert_non_null (other->ops->take (other, now));
  fair->ops->destroy (fair);
  other->ops->destroy (other);
  g_rand_free (rand);
  g_free (calls);
}

static void
test_one_account (void **state)
{
  (void)state;
  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      compare_queues (seed, BJ_STR_NULL);
      compare_queues (seed, BJ_STR ("one"));
    }
}

// ---------------------------------------------------------------------------------------------
// Fronts
// ---------------------------------------------------------------------------------------------

typedef struct
{
  const char *name;
  double per_s[4];   // arrivals of each account
  double shed_share; // of all arrivals
  double admitted[4];
} PartCase;

static const PartCase part_cases[] = {
  { "nothing is shed", { 10, 10, 100, 10 }, 0, { 1, 1, 1, 1 } },
  { "only the account above its part is shed", { 10, 10, 100, 10 }, 0.5, { 1, 1, 0.35, 1 } },
  { "two accounts are cut to the same", { 10, 50, 100, 0 }, 0.4375, { 1, 0.8, 0.4, 1 } },
  { "equal accounts lose the same", { 20, 20, 20, 20 }, 0.25, { 0.75, 0.75, 0.75, 0.75 } },
  { "one account", { 40, 0, 0, 0 }, 0.3, { 0.7, 1, 1, 1 } },
  { "all are shed", { 10, 20, 30, 40 }, 1, { 0, 0, 0, 0 } },
};

static void
test_parts (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (part_cases); i++)
    {
      const PartCase *c = &part_cases[i];
      BjMaxmin *m = bj_maxmin_new ();
      double due[4] = { 0 };

      for (int now = 1; now < 10000; now++)
        for (int a = 0; a < 4; a++)
          for (due[a] += c->per_s[a] / 1000; due[a] >= 1; due[a]--)
            bj_maxmin_count (m, now, 1, (uint64_t)a + 1, false);
      for (int a = 0; a < 4; a++)
        {
          double share
              = bj_maxmin_admitted_share (m, 10000, 1, (uint64_t)a + 1, false, c->shed_share);

          if (c->per_s[a] > 0 && fabs (share - c->admitted[a]) > 0.05)
            fail_msg (
                "%s: account %d: %.3f admitted, expected %.3f", c->name, a, share, c->admitted[a]);
        }
      bj_maxmin_free (m);
    }
}

// With 10,000 accounts the counts stay bounded, a busy account among them is still found, and the
// time of a decision stays short.
static void
test_many_accounts (void **state)
{
  BjMaxmin *m = bj_maxmin_new ();
  GRand *rand = g_rand_new_with_seed (1);
  int most = 0;
  gint64 from = g_get_monotonic_time ();
  double ns;

  (void)state;
  for (int i = 0; i < 200000; i++)
    {
      BjTime now = 1 + i * 0.05;
      uint64_t account
          = i % 5 == 0 ? 1 : (uint64_t)g_rand_int_range (rand, 2, 10000) * 0x9e3779b97f4a7c15;

      bj_maxmin_count (m, now, 2, account, false);
      bj_maxmin_admitted_share (m, now, 2, account, false, 0.15);
      most = MAX (most, bj_maxmin_accounts (m));
    }
  ns = (double)(g_get_monotonic_time () - from) * 1000 / 200000;
  print_message ("  10,000 accounts: at most %d counted, %.0f ns a decision\n", most, ns);
  assert_in_range (most, 1, 1024);
  assert_true (fabs (bj_maxmin_admitted_share (m, 10001, 2, 1, false, 0.15) - 0.25) < 0.05);
  assert_true (bj_maxmin_admitted_share (m, 10001, 2, 77, false, 0.15) == 1);
  bj_maxmin_free (m);
  g_rand_free (rand);
}

// ---------------------------------------------------------------------------------------------
// Load of deployment S
// ---------------------------------------------------------------------------------------------

#define N_ACCOUNTS 73
#define LOSS_MAX 0.02 // of the other accounts' share of complete responses within the objective

static const ChainStep steps[] = {
  { "/read", 0, 20, 2, 1 },  { "/payout", 0, 30, 2, 1 },    { "/ledger", 1, 10, 3, 8 },
  { "/rate", 2, 30, -1, 0 }, { "/download", 2, 96, -1, 0 }, { "/list", 2, 480, -1, 0 },
};
static const ChainKind kinds[] = {
  { "reads", 0, 535, 1500, 3000 },
  { "payouts", 1, 199, 1500, 3000 },
  { "downloads", 4, 83, 800, 1600 },
  { "lists", 5, 99, 3000, 5000 },
};
static const char config_format[]
    = "{\"number\":1,\"priorities\":[\"p0\",\"p1\",\"p2\"],\"services\":{"
      "\"scores\":{\"routes\":[{\"prefix\":\"/read\",\"class\":\"p1\",\"objective_ms\":1500},"
      "{\"prefix\":\"/payout\",\"class\":\"p1\",\"objective_ms\":1500,\"irreversible\":true,"
      "\"claim\":false}]%1$s},"
      "\"ledger\":{\"routes\":[{\"prefix\":\"/ledger\",\"class\":\"p1\"}]%1$s},"
      "\"rates\":{\"routes\":[{\"prefix\":\"/rate\",\"class\":\"p1\"},"
      "{\"prefix\":\"/download\",\"class\":\"p1\",\"objective_ms\":800},"
      "{\"prefix\":\"/list\",\"class\":\"p1\",\"objective_ms\":3000}]%1$s}}}";
static const char policy_format[]
    = ",\"limiter\":{\"plugin\":\"slots\"},\"router\":{\"plugin\":\"least-wait\"},"
      "\"retry\":{\"ratio\":0.12,\"burst\":3,\"saved\":0.03,\"reserve\":2},"
      "\"queue\":{\"plugin\":\"%s\"}";

typedef struct
{
  const char *name;
  int n_upstreams; // of the bottleneck service, of 26 slots
  int busy;        // account at eight times its usual load; account 0 is the largest
} BusyCase;

static const BusyCase busy_cases[] = {
  { "the largest account, 13 % of the usual load", 15, 0 },
  { "an account with 5 % of the usual load, less spare capacity", 11, 3 },
};

// Shares of complete responses within the objective: of the busy account, and of all others.
static void
run_busy (const BusyCase *b, const char *queue, double factor, double *busy, double *others)
{
  const ChainService services[]
      = { { "scores", 10, 300 }, { "ledger", 8, 300 }, { "rates", b->n_upstreams, 26 } };
  char policy[512];
  char config[4096];
  ChainOptions o = { .services = services,
                     .n_services = 3,
                     .steps = steps,
                     .n_steps = G_N_ELEMENTS (steps),
                     .kinds = kinds,
                     .n_kinds = G_N_ELEMENTS (kinds),
                     .config = config,
                     .n_accounts = N_ACCOUNTS,
                     .busy_account = b->busy,
                     .busy_factor = factor,
                     .speed_min = 0.5,
                     .speed_max = 1.5,
                     .remote_ms = 30,
                     .run_ms = 14000,
                     .retries = 1,
                     .seed = 20261204 };
  ChainResult r;
  int n_callers = 0;
  int n_served = 0;

  g_snprintf (policy, sizeof policy, policy_format, queue);
  g_snprintf (config, sizeof config, config_format, policy);
  for (int i = 0; i < N_ACCOUNTS; i++)
    o.weights[i] = 1.0 / (i + 1.2);
  chain_run (&o, &r);
  for (int i = 0; i < N_ACCOUNTS; i++)
    {
      n_callers += i != b->busy ? r.n_callers_of[i] : 0;
      n_served += i != b->busy ? r.n_served_of[i] : 0;
    }
  *busy = r.n_served_of[b->busy] / (double)r.n_callers_of[b->busy];
  *others = n_served / (double)n_callers;
  print_message ("  %s, %s, x %g: busy account %.3f of %d, others %.4f of %d, slots used %.2f, "
                 "refused inside actions %d of %d\n",
                 b->name,
                 queue,
                 factor,
                 *busy,
                 r.n_callers_of[b->busy],
                 *others,
                 n_callers,
                 r.slots_used,
                 r.n_inner_refused,
                 r.n_actions);
  chain_result_clear (&r);
}

static void
test_busy_account (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (busy_cases); i++)
    {
      double busy;
      double usual;
      double others;
      double unfair;

      run_busy (&busy_cases[i], "fair", 1, &busy, &usual);
      run_busy (&busy_cases[i], "fair", 8, &busy, &others);
      run_busy (&busy_cases[i], "priority-deadline", 8, &busy, &unfair);
      assert_true (others >= usual - LOSS_MAX);
      // The load is one under which the others lose more than that without fair shares.
      assert_true (unfair < usual - LOSS_MAX);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_order),         cmocka_unit_test (test_cost),
    cmocka_unit_test (test_one_account),   cmocka_unit_test (test_parts),
    cmocka_unit_test (test_many_accounts), cmocka_unit_test (test_busy_account),
  };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
