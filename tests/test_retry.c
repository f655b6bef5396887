// Retries that multiply along a call chain, until one action runs more often than its attempts
// allow; retry tokens that run out too early or too late. Kernels are connected without sockets.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define DEPTH_MAX 6
#define REPLICAS 4
#define ATTEMPTS 3 // further attempts of one action allowed in the whole chain
#define SEEDS 20
#define STEP_MS 600 // simulated time for 100 events, longer than a failed daemon is skipped
#define PATH_MAX_BYTES 32

typedef struct
{
  const char *name;
  int depth;
  int fan;     // parallel nested calls made by each upstream
  int refuses; // calls in ten that the deepest upstreams refuse
  int loses;   // responses in ten that are lost between daemons
} ChainCase;

static const ChainCase cases[] = {
  { "depth 1, last service refuses all", 1, 1, 10, 0 },
  { "depth 2, last service refuses all", 2, 1, 10, 0 },
  { "depth 3, last service refuses all", 3, 1, 10, 0 },
  { "depth 4, last service refuses all", 4, 1, 10, 0 },
  { "depth 5, last service refuses all", 5, 1, 10, 0 },
  { "depth 6, last service refuses all", 6, 1, 10, 0 },
  { "depth 6, last service refuses half", 6, 1, 5, 0 },
  { "depth 6, half of the responses lost", 6, 1, 0, 5 },
  { "depth 3, fan-out 3, last service refuses all", 3, 3, 10, 0 },
  { "depth 4, fan-out 2, last service refuses half", 4, 2, 5, 0 },
  { "depth 4, fan-out 2, 30 % refused, 30 % lost", 4, 2, 3, 3 },
};

typedef struct
{
  BjHost host;
  struct Chain *chain;
  BjKernel *kernel;
  int level;
  char name[16];
} Node;

// A run of a call on an upstream, which makes nested calls.
typedef struct
{
  Node *node;
  BjCall *call;
  int n_open;
  bool is_failed;
} Run;

typedef enum
{
  TASK_SEND,   // deliver the call from node to target
  TASK_RUN,    // start the call on the upstream of node
  TASK_ANSWER, // deliver a response to the call at node
} TaskKind;

typedef struct
{
  TaskKind kind;
  Node *node;
  BjCall *call;
  Node *target;
  BjAnswer answer;
} Task;

// The one that waits for the response to a call: a daemon, an upstream or the user.
typedef struct
{
  Node *node;
  BjCall *call; // call that node forwarded; NULL if an upstream or the user made the call
  Run *run;     // run that made the nested call; NULL as well if the user made the call
} Caller;

typedef struct Chain
{
  const ChainCase *c;
  Node nodes[DEPTH_MAX * REPLICAS];
  GQueue *tasks;
  GHashTable *n_executions; // call path to its number of executions
  GPtrArray *all_runs;      // Run*
  GRand *rand;
  BjTime now;
  int n_user_answers; // responses to the user
} Chain;

static void
add_task (Chain *c, Task t)
{
  Task *copy = g_new (Task, 1);

  *copy = t;
  g_queue_push_tail (c->tasks, copy);
}

static bool
draw_event (Chain *c, int of_ten)
{
  return g_rand_int_range (c->rand, 0, 10) < of_ten;
}

static void
chain_send (BjHost *h, BjCall *c, BjPeer *p)
{
  Node *n = (Node *)h;
  Node *target = NULL;

  for (int i = 0; i < DEPTH_MAX * REPLICAS; i++)
    if (bj_str_equal (bj_str (n->chain->nodes[i].name), p->report.name))
      target = &n->chain->nodes[i];
  add_task (n->chain, (Task){ .kind = TASK_SEND, .node = n, .call = c, .target = target });
}

static void
chain_start (BjHost *h, BjCall *c)
{
  Node *n = (Node *)h;

  add_task (n->chain, (Task){ .kind = TASK_RUN, .node = n, .call = c });
}

static void send_upstream_answer (Run *r);

static void
relay_answer (Chain *c, const Caller *a, const BjAnswer *answer)
{
  if (a->call != NULL)
    add_task (c,
              (Task){ .kind = TASK_ANSWER, .node = a->node, .call = a->call, .answer = *answer });
  else if (a->run == NULL)
    c->n_user_answers++;
  else
    {
      a->run->is_failed |= answer->outcome != BJ_DONE;
      if (--a->run->n_open == 0)
        send_upstream_answer (a->run);
    }
}

static void
chain_answer (BjHost *h, BjCall *c, const BjAnswer *a)
{
  relay_answer (((Node *)h)->chain, c->data, a);
}

static void
chain_freed (BjHost *h, BjCall *c)
{
  (void)h;
  g_free (c->data);
}

static void
chain_nothing (BjHost *h, BjCall *c)
{
  (void)h;
  (void)c;
}

static void
send_upstream_answer (Run *r)
{
  BjAnswer a = { .outcome = r->is_failed ? BJ_NOT_RUN : BJ_DONE,
                 .http_status = r->is_failed ? 503 : 200,
                 .attempts_left = -1 };

  add_task (r->node->chain,
            (Task){ .kind = TASK_ANSWER, .node = r->node, .call = r->call, .answer = a });
}

static void
make_nested_call (Chain *c, Node *n, BjCall *parent, Run *r, int i)
{
  char path[PATH_MAX_BYTES];
  Caller *a = g_new0 (Caller, 1);
  BjRequest request = { .method = BJ_STR ("GET"),
                        .key = BJ_STR ("action"),
                        .klass = -1,
                        .attempts_left = parent != NULL ? parent->attempts_left : -1,
                        .parent = parent != NULL ? parent->id : 0 };

  a->node = n;
  a->run = r;
  if (parent == NULL)
    g_strlcpy (path, "/0/", sizeof path);
  else
    g_snprintf (path, sizeof path, "/%d/%s%d", n->level + 1, parent->request.path.data + 3, i);
  request.path = bj_str (path);
  bj_kernel_arrive (n->kernel, c->now, &request, a);
}

static void
run_upstream (Chain *c, const Task *t)
{
  int fan = t->node->level + 1 < c->c->depth ? c->c->fan : 0;
  Run *r = g_new0 (Run, 1);
  int n = GPOINTER_TO_INT (g_hash_table_lookup (c->n_executions, t->call->request.path.data));

  g_hash_table_insert (
      c->n_executions, g_strdup (t->call->request.path.data), GINT_TO_POINTER (n + 1));
  g_ptr_array_add (c->all_runs, r);
  *r = (Run){ .node = t->node, .call = t->call, .n_open = fan };
  if (fan == 0)
    {
      r->is_failed = draw_event (c, c->c->refuses);
      send_upstream_answer (r);
    }
  for (int i = 0; i < fan; i++)
    make_nested_call (c, t->node, t->call, r, i);
}

static void
forward_call (Chain *c, const Task *t)
{
  Caller *a = g_new0 (Caller, 1);
  BjRequest r = t->call->request;

  a->node = t->node;
  a->call = t->call;
  r.klass = t->call->klass;
  r.deadline_ms = t->call->deadline - c->now;
  r.attempts_left = t->call->attempts_delegated;
  r.parent = 0;
  bj_kernel_arrive_peer (t->target->kernel, c->now, &r, t->call->service->name, a);
}

static void
deliver_answer (Chain *c, const Task *t)
{
  Caller a = *(Caller *)t->call->data;
  BjAnswer relayed = t->answer;

  if (t->call->state == BJ_CALL_SENT && draw_event (c, c->c->loses))
    {
      bj_kernel_call_lost (t->node->kernel, c->now, t->call, BJ_E_LOST, BJ_UNKNOWN);
      return;
    }
  if (bj_kernel_answer_begin (t->node->kernel, c->now, t->call, &t->answer) == BJ_ABSORB)
    return;
  relayed.attempts_left = t->call->attempts_left;
  bj_kernel_answer_end (t->node->kernel, c->now, t->call, true);
  relay_answer (c, &a, &relayed);
}

static BjConfig *
chain_config (const char *retry)
{
  GString *text = g_string_new ("{\"number\":1,\"priorities\":[\"a\"],\"services\":{");
  BjConfig *config;

  for (int i = 0; i < DEPTH_MAX; i++)
    g_string_append_printf (
        text,
        "%s\"s%d\":{\"routes\":[{\"prefix\":\"/%d/\",\"class\":\"a\",\"deadline_ms\":600000,"
        "\"attempts\":%d}],\"limiter\":{\"plugin\":\"fixed\"},"
        "\"retry\":{\"plugin\":\"%s\",\"ratio\":1,\"burst\":10000}}",
        i > 0 ? "," : "",
        i,
        i,
        ATTEMPTS,
        retry);
  g_string_append (text, "}}");
  assert_int_equal (bj_config_parse ((BjStr){ text->str, text->len }, &config), BJ_OK);
  g_string_free (text, TRUE);
  return config;
}

static void
start_node (Chain *c, Node *n, const char *retry, guint32 seed)
{
  static const BjHostOps ops
      = { chain_send, chain_start, chain_nothing, chain_answer, chain_nothing, chain_freed };
  char service[8];
  BjKernelOptions o = { .self = { .domain = BJ_STR ("d"), .region = BJ_STR ("r") },
                        .host = &n->host,
                        .seed = seed };

  n->host.ops = &ops;
  n->chain = c;
  g_snprintf (service, sizeof service, "s%d", n->level);
  o.self.name = bj_str (n->name);
  n->kernel = bj_kernel_new (&o, 0);
  bj_kernel_set_config (n->kernel, 0, chain_config (retry));
  bj_kernel_announce (n->kernel, 0, bj_str (service), 1000);
}

// Makes a daemon of the next level known to n.
static void
add_peer (Node *n, Node *below)
{
  char service[8];
  BjPeerReport r = { .name = bj_str (below->name),
                     .domain = BJ_STR ("d"),
                     .region = BJ_STR ("r"),
                     .incarnation = 1,
                     .version = 1,
                     .limit = 1000 };

  g_snprintf (service, sizeof service, "s%d", below->level);
  r.service = bj_str (service);
  bj_kernel_update_peer (n->kernel, 0, &r);
}

static void
start_chain (Chain *c, const char *retry, guint32 seed)
{
  c->tasks = g_queue_new ();
  c->all_runs = g_ptr_array_new_with_free_func (g_free);
  c->n_executions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->rand = g_rand_new_with_seed (seed);
  for (int i = 0; i < DEPTH_MAX * REPLICAS; i++)
    {
      Node *n = &c->nodes[i];

      n->level = i / REPLICAS;
      g_snprintf (n->name, sizeof n->name, "n%d", i);
      start_node (c, n, retry, seed + (guint32)i);
    }
  for (int i = 0; i < (DEPTH_MAX - 1) * REPLICAS; i++)
    for (int j = 0; j < REPLICAS; j++)
      add_peer (&c->nodes[i], &c->nodes[(i / REPLICAS + 1) * REPLICAS + j]);
  for (int j = 1; j < REPLICAS; j++)
    add_peer (&c->nodes[0], &c->nodes[j]);
}

static void
free_chain (Chain *c)
{
  for (int i = 0; i < DEPTH_MAX * REPLICAS; i++)
    bj_kernel_free (c->nodes[i].kernel);
  g_queue_free (c->tasks);
  g_ptr_array_free (c->all_runs, TRUE);
  g_hash_table_destroy (c->n_executions);
  g_rand_free (c->rand);
}

// Runs one action. Returns the highest number of executions at one node of the call graph.
static int
run_chain (const ChainCase *cc, const char *retry, guint32 seed)
{
  Chain c = { .c = cc, .now = 0 };
  GHashTableIter i;
  gpointer n;
  Task *t;
  int most = 0;

  start_chain (&c, retry, seed);
  make_nested_call (&c, &c.nodes[0], NULL, NULL, 0);
  while ((t = g_queue_pop_head (c.tasks)) != NULL)
    {
      c.now += STEP_MS / 100.0;
      if (t->kind == TASK_SEND)
        forward_call (&c, t);
      else if (t->kind == TASK_RUN)
        run_upstream (&c, t);
      else
        deliver_answer (&c, t);
      g_free (t);
    }
  assert_int_equal (c.n_user_answers, 1);
  g_hash_table_iter_init (&i, c.n_executions);
  while (g_hash_table_iter_next (&i, NULL, &n))
    most = MAX (most, GPOINTER_TO_INT (n));
  free_chain (&c);
  return most;
}

static void
test_executions_in_chain (void **state)
{
  int naive = 0;

  (void)state;
  bj_log_open (BJ_LOG_ERROR);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (guint32 seed = 1; seed <= SEEDS; seed++)
      {
        int most = run_chain (&cases[i], "budget", seed);

        if (most > 1 + ATTEMPTS)
          fail_msg ("%s, seed %u: %d executions of one action at one node, at most %d allowed",
                    cases[i].name,
                    seed,
                    most,
                    1 + ATTEMPTS);
      }
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (cases[i].fan == 1)
      naive = MAX (naive, run_chain (&cases[i], "naive", 1));
  print_message ("naive runs one action up to %d times at one node\n", naive);
  assert_true (naive > 1 + ATTEMPTS); // "naive" exceeds the bound: the check detects it
}

// Counts first attempts at an even rate from time 0. Returns when the next one would arrive.
static BjTime
count_first_attempts (const BjRetryOps *ops, BjRetry *r, int n, double every_ms)
{
  for (int i = 0; i < n; i++)
    ops->count_first_attempt (r, i * every_ms);
  return n * every_ms;
}

// Number of retries allowed in a row after first attempts at an even rate.
static void
test_bucket_capacity (void **state)
{
  static const struct
  {
    const char *name;
    double saved;
    int n_fresh;     // first attempts
    double every_ms; // interval between two first attempts
    int least;       // fewest retries in a row
    int most;        // most retries in a row
  } cases_saved[] = {
    { "low call rate: burst only", 0.03, 6, 10000, 3, 3 },
    { "high call rate, saved 0: burst only", 0, 6000, 10, 3, 3 },
    { "high call rate, saved 0.03: three more tokens per hundred calls", 0.03, 6000, 10, 31, 33 },
    { "high call rate that has just begun: burst only", 0.03, 5, 10, 3, 3 },
  };
  const BjRetryOps *ops = bj_plugin_find (BJ_PLUGIN_RETRY, BJ_STR ("budget"));

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases_saved); i++)
    {
      BjRetryOptions o = { .ratio = 0.12, .burst = 3, .saved = cases_saved[i].saved };
      BjRetry *r = ops->create (&o);
      BjCall c = { .retry_cost = 1, .attempts_left = 1000 };
      BjTime now = count_first_attempts (ops, r, cases_saved[i].n_fresh, cases_saved[i].every_ms);
      int n = 0;

      while (ops->allow (r, now, &c))
        n++;
      if (n < cases_saved[i].least || n > cases_saved[i].most)
        print_error ("%s: %d retries in a row, expected %d..%d\n",
                     cases_saved[i].name,
                     n,
                     cases_saved[i].least,
                     cases_saved[i].most);
      assert_in_range (n, cases_saved[i].least, cases_saved[i].most);
      ops->destroy (r);
    }
}

// A service whose calls fail gets fewer calls, since actions end at their first failure. The calls
// before the drop in the rate have to earn the tokens for its retries.
static void
test_tokens_after_rate_drop (void **state)
{
  const BjRetryOps *ops = bj_plugin_find (BJ_PLUGIN_RETRY, BJ_STR ("budget"));
  BjRetryOptions o = { .ratio = 0.12, .burst = 3, .saved = 0.03 };
  BjRetry *r = ops->create (&o);
  BjCall c = { .retry_cost = 1, .attempts_left = 1000 };
  BjTime now = count_first_attempts (ops, r, 6000, 10);
  int n = 0;

  (void)state;
  while (ops->allow (r, now, &c))
    ;
  for (int i = 0; i < 20; i++, now += 50)
    {
      ops->count_first_attempt (r, now);
      n += ops->allow (r, now, &c);
    }
  // One second at a fifth of the rate: the former 100 calls a second would earn 12 tokens.
  assert_in_range (n, 9, 12);
  ops->destroy (r);
}

// Less important classes must leave retry tokens to more important ones.
static void
test_reserved_tokens (void **state)
{
  static const struct
  {
    int klass;
    int expected; // retries in a row, +/- 1, with 33 tokens at the start
  } classes[] = { { 2, 17 }, { 1, 8 }, { 0, 8 } };
  const BjRetryOps *ops = bj_plugin_find (BJ_PLUGIN_RETRY, BJ_STR ("budget"));
  BjRetryOptions o = { .ratio = 0.12, .burst = 3, .saved = 0.03, .reserve = 2 };
  BjRetry *r = ops->create (&o);
  BjTime now = count_first_attempts (ops, r, 10000, 10);

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (classes); i++)
    {
      BjCall c = { .retry_cost = 1, .attempts_left = 1000, .klass = classes[i].klass };
      int n = 0;

      while (ops->allow (r, now, &c))
        n++;
      assert_in_range (n, classes[i].expected - 1, classes[i].expected + 1);
    }
  ops->destroy (r);
}

// Calls that were refused for load must leave half of the tokens to calls of a silent peer, which
// have no other way to a response before their deadline.
static void
test_tokens_for_lost_calls (void **state)
{
  static const struct
  {
    bool is_refused;
    int expected; // retries in a row, +/- 1, with a full bucket of 10 tokens at the start
  } cases[] = { { true, 5 }, { false, 5 } };
  const BjRetryOps *ops = bj_plugin_find (BJ_PLUGIN_RETRY, BJ_STR ("budget"));
  BjRetryOptions o = BJ_RETRY_OPTIONS_DEFAULT;
  BjRetry *r = ops->create (&o);

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      BjCall c = { .retry_cost = 1, .attempts_left = 1000, .is_refused = cases[i].is_refused };
      int n = 0;

      while (ops->allow (r, 0, &c))
        n++;
      assert_in_range (n, cases[i].expected - 1, cases[i].expected + 1);
    }
  ops->destroy (r);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_executions_in_chain),
                                      cmocka_unit_test (test_bucket_capacity),
                                      cmocka_unit_test (test_tokens_after_rate_drop),
                                      cmocka_unit_test (test_reserved_tokens),
                                      cmocka_unit_test (test_tokens_for_lost_calls) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
