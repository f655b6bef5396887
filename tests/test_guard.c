// Decisions of one guard: the limiter, the queue and the order of shedding.

#include "internal.h"
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define LIMITER_RUN_MS 20000.0
#define CHANGE_MS 5000.0 // the service time changes
#define BACK_MS 15000.0  // and changes back

typedef struct
{
  const char *name;
  int slots;         // announced
  int carries;       // that run without slowing each other down
  double service_ms; // mean
  double slow;       // factor on the service time from CHANGE_MS to BACK_MS
  double slack_ms;   // noise on top of every service time
  double cancelled;  // share of calls whose caller goes away at once
  double shed;       // share of calls that the upstream sheds
  double least;      // limit, mean over the last second before BACK_MS and at the end
  double most;
} LimiterCase;

// A limit is good between 75 % of what the upstream carries and 150 %.
static const LimiterCase limiter_cases[] = {
  { "announces twice what it carries", 40, 20, 10, 1, 0, 0, 0, 15, 30 },
  { "carries what it announces", 20, 20, 10, 1, 0, 0, 0, 15, 20 },
  { "takes less than the clock's noise", 20, 20, 0.2, 1, 1, 0, 0, 15, 20 },
  { "slows ten times and recovers", 40, 20, 10, 10, 0, 0, 0, 15, 30 },
  { "is cancelled often", 20, 20, 10, 1, 0, 0.3, 0, 15, 20 },
  { "has one slot", 1, 1, 10, 1, 0, 0, 0, 1, 1 },
  { "sheds all", 40, 20, 10, 1, 0, 0, 1, 1, 1 },
};

typedef struct
{
  double ends;
  BjLimiterSample sample;
} Running;

static gint
by_end (gconstpointer a, gconstpointer b, gpointer data)
{
  double x = ((const Running *)a)->ends;
  double y = ((const Running *)b)->ends;

  (void)data;
  return x < y ? -1 : x > y;
}

static Running *
start_running (const LimiterCase *c, GRand *rand, double now, uint64_t order, int in_flight)
{
  Running *r = g_new0 (Running, 1);
  double crowd = MAX (1, (double)in_flight / c->carries);
  double service = c->service_ms * (0.5 - 0.5 * log (1 - g_rand_double (rand))) * crowd
                   * (1 + 0.3 * (crowd - 1));

  if (now >= CHANGE_MS && now < BACK_MS)
    service *= c->slow;
  service += c->slack_ms * g_rand_double (rand);
  r->sample = (BjLimiterSample){ .service_ms = service, .order = order, .in_flight = in_flight };
  if (g_rand_double (rand) < c->shed)
    r->sample.code = BJ_E_SHED;
  else if (g_rand_double (rand) < c->cancelled)
    r->sample.code = BJ_E_CANCELLED;
  if (r->sample.code != BJ_OK)
    r->sample.service_ms = MIN (service, 1);
  r->ends = now + r->sample.service_ms;
  return r;
}

// Keeps the upstream as full as the limiter allows and takes the mean limit of the last second.
static void
run_limiter (const LimiterCase *c, double until, double *mean)
{
  const BjLimiterOps *ops = bj_plugin_find (BJ_PLUGIN_LIMITER, BJ_STR ("adaptive"));
  BjLimiterOptions o = BJ_LIMITER_OPTIONS_DEFAULT;
  GSequence *running = g_sequence_new (g_free);
  GRand *rand = g_rand_new_with_seed (1);
  BjLimiter *l;
  uint64_t order = 0;
  double now = 0;
  double sum = 0;
  int n = 0;

  o.slots = c->slots;
  l = ops->create (&o, now);
  while (now < until)
    {
      GSequenceIter *first;
      Running *r;

      while (g_sequence_get_length (running) < ops->limit (l, now))
        g_sequence_insert_sorted (
            running,
            start_running (c, rand, now, ++order, g_sequence_get_length (running) + 1),
            by_end,
            NULL);
      first = g_sequence_get_begin_iter (running);
      r = g_sequence_get (first);
      now = r->ends;
      r->sample.n_started = order;
      ops->sample (l, now, &r->sample);
      g_sequence_remove (first);
      if (now < until - 1000)
        continue;
      sum += ops->limit (l, now);
      n++;
    }
  *mean = sum / n;
  ops->destroy (l);
  g_rand_free (rand);
  g_sequence_free (running);
}

static void
test_limiter (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (limiter_cases); i++)
    {
      const LimiterCase *c = &limiter_cases[i];
      double slow;
      double end;

      run_limiter (c, BACK_MS, &slow);
      run_limiter (c, LIMITER_RUN_MS, &end);
      if (slow < c->least || slow > c->most || end < c->least || end > c->most)
        fail_msg (
            "%s: limit %.1f, then %.1f, not in %.0f..%.0f", c->name, slow, end, c->least, c->most);
    }
}

// Plug-in "slots": what it admits of the slots announced, at most 95 of 100.
static void
test_limiter_slots (void **state)
{
  static const struct
  {
    int slots;
    int limit;
  } slots_cases[] = { { 1, 1 }, { 19, 18 }, { 25, 23 }, { 59, 56 }, { 149, 141 } };
  const BjLimiterOps *ops = bj_plugin_find (BJ_PLUGIN_LIMITER, BJ_STR ("slots"));

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (slots_cases); i++)
    {
      BjLimiterOptions o = BJ_LIMITER_OPTIONS_DEFAULT;
      BjLimiter *l;

      o.slots = slots_cases[i].slots;
      l = ops->create (&o, 0);
      assert_int_equal (ops->limit (l, 0), slots_cases[i].limit);
      ops->destroy (l);
    }
}

static void
test_limiter_ramp (void **state)
{
  const BjLimiterOps *ops = bj_plugin_find (BJ_PLUGIN_LIMITER, BJ_STR ("adaptive"));
  BjLimiterOptions o = { .slots = 100, .ramp_ms = 1000, .tolerance = 1.15 };
  BjLimiter *l = ops->create (&o, 5000);

  (void)state;
  assert_int_equal (ops->limit (l, 5000), 10);
  assert_int_equal (ops->limit (l, 5500), 55);
  assert_int_equal (ops->limit (l, 6000), 100);
  o.slots = 30;
  ops->configure (l, 7000, &o);
  assert_int_equal (ops->limit (l, 7000), 30);
  o.slots = 200; // an announcement only lowers
  ops->configure (l, 7000, &o);
  assert_int_equal (ops->limit (l, 7000), 30);
  ops->destroy (l);
}

typedef struct
{
  double at;
  int offer; // id of the call, 0 for a take
  int klass;
  double deadline;
  BjStatus status; // expected of an offer
  int id;          // expected: evicted by an offer, or taken; 0 for none
} QueueStep;

typedef struct
{
  const char *name;
  QueueStep steps[12]; // after 20 calls left 10 ms apart; at most 100 ms of waiting
} QueueCase;

static const QueueCase queue_cases[] = {
  { "by class, then deadline",
    { { 0, 1, 2, 900, BJ_OK, 0 },
      { 0, 2, 1, 800, BJ_OK, 0 },
      { 0, 3, 1, 700, BJ_OK, 0 },
      { 10, 0, 0, 0, BJ_OK, 3 },
      { 20, 0, 0, 0, BJ_OK, 2 },
      { 30, 0, 0, 0, BJ_OK, 1 },
      { 40, 0, 0, 0, BJ_OK, 0 } } },
  { "a call that can't be reached before its deadline",
    { { 0, 1, 1, 900, BJ_OK, 0 },
      { 0, 2, 1, 900, BJ_OK, 0 },
      { 0, 3, 1, 900, BJ_OK, 0 },
      { 0, 4, 2, 25, BJ_E_DEADLINE, 0 },
      { 0, 5, 2, 35, BJ_OK, 0 } } },
  { "an earlier deadline goes ahead",
    { { 0, 1, 1, 900, BJ_OK, 0 },
      { 0, 2, 1, 900, BJ_OK, 0 },
      { 0, 3, 1, 5, BJ_OK, 0 },
      { 1, 0, 0, 0, BJ_OK, 3 } } },
  { "nothing leaves",
    { { 0, 1, 1, 900, BJ_OK, 0 },
      { 150, 2, 1, 950, BJ_E_OVERLOAD, 0 },
      { 150, 3, 0, 900, BJ_OK, 0 },
      { 150, 4, 0, 900, BJ_OK, 1 },
      { 150, 5, 0, 950, BJ_E_OVERLOAD, 0 } } },
};

static BjQueue *
warm_queue (const char *plugin)
{
  const BjQueueOps *ops = bj_plugin_find (BJ_PLUGIN_QUEUE, bj_str (plugin));
  BjQueueOptions o = { .max_wait_ms = 100, .max_length = 100 };
  BjQueue *q = ops->create (&o);
  BjCall calls[20] = { 0 };
  BjCall *evicted;

  for (int i = 0; i < 20; i++)
    {
      calls[i].deadline = BJ_TIME_NEVER;
      ops->offer (q, -200 + i * 10, &calls[i], &evicted);
      ops->take (q, -190 + i * 10);
    }
  ops->drained (q, 0);
  return q;
}

static const char *
run_queue_step (BjQueue *q, const QueueStep *s, BjCall *calls)
{
  BjCall *c = &calls[s->offer];
  BjCall *other = NULL;
  BjStatus status = BJ_OK;

  if (s->offer > 0)
    {
      *c = (BjCall){ .id = (uint64_t)s->offer, .klass = s->klass, .deadline = s->deadline };
      status = q->ops->offer (q, s->at, c, &other);
    }
  else
    other = q->ops->take (q, s->at);
  if (status != s->status)
    return bj_status_name (status);
  return (other != NULL ? (int)other->id : 0) == s->id ? NULL : "another call was evicted or taken";
}

static void
test_queue (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (queue_cases); i++)
    {
      const QueueCase *c = &queue_cases[i];
      BjQueue *q = warm_queue ("priority-deadline");
      BjCall calls[16];

      for (int j = 0; j < 12 && (j == 0 || c->steps[j].at > 0 || c->steps[j].offer > 0); j++)
        {
          const char *wrong = run_queue_step (q, &c->steps[j], calls);

          if (wrong != NULL)
            fail_msg ("%s, step %d: %s", c->name, j, wrong);
        }
      while (q->ops->take (q, 1000) != NULL)
        ;
      q->ops->destroy (q);
    }
}

#define ORDER_SEEDS 3000
#define ORDER_EVENTS 200
#define ORDER_CLASSES 4

// Host of one kernel that checks what it decides.
typedef struct
{
  BjHost host;
  BjKernel *kernel;
  GRand *rand;
  BjTime now;
  int64_t ticket;
  const char *queue;
  GPtrArray *running; // BjCall*
  int waiting[ORDER_CLASSES];
  int refused_class; // least important class admitted since irreversible work was refused
  int n_open;
  const char *wrong; // the first thing that was
} Guard;

typedef struct
{
  int klass;
  bool waits;
  bool is_answered;
} Asked;

static int
count_waiting (const Guard *g, int from, int to)
{
  int n = 0;

  for (int i = from; i <= to; i++)
    n += g->waiting[i];
  return n;
}

static void
leave_queue (Guard *g, Asked *a)
{
  if (a->waits)
    g->waiting[a->klass]--;
  a->waits = false;
  if (count_waiting (g, 0, g->refused_class) == 0)
    g->refused_class = ORDER_CLASSES - 1;
}

static void
guard_start (BjHost *h, BjCall *c)
{
  Guard *g = (Guard *)h;

  leave_queue (g, c->data);
  if (c->deadline <= g->now)
    g->wrong = "an expired call was started";
  g_ptr_array_add (g->running, c);
}

static void
guard_cancel (BjHost *h, BjCall *c)
{
  g_ptr_array_remove (((Guard *)h)->running, c);
}

static void
guard_answer (BjHost *h, BjCall *c, const BjAnswer *answer)
{
  Guard *g = (Guard *)h;
  Asked *a = c->data;

  leave_queue (g, a);
  if (a->is_answered)
    g->wrong = "a call was answered twice";
  a->is_answered = true;
  if (answer->outcome == BJ_NOT_RUN && answer->http_status == 503 && answer->retry_after_ms <= 0)
    g->wrong = "a refusal has no time to come back";
  if (answer->code != BJ_E_OVERLOAD || !c->irreversible)
    return;
  if (count_waiting (g, c->klass + 1, ORDER_CLASSES - 1) > 0)
    g->wrong = "irreversible work was refused while a lower class waited";
  if (count_waiting (g, 0, c->klass) > 0)
    g->refused_class = MIN (g->refused_class, c->klass);
}

static void
guard_freed (BjHost *h, BjCall *c)
{
  Guard *g = (Guard *)h;

  leave_queue (g, c->data);
  g_ptr_array_remove (g->running, c);
  g->n_open--;
  g_free (c->data);
}

static void
guard_nothing (BjHost *h, BjCall *c)
{
  (void)h;
  (void)c;
}

static void
guard_send (BjHost *h, BjCall *c, BjPeer *p)
{
  (void)h;
  (void)c;
  (void)p;
}

static void
file_ticket (Guard *g)
{
  char *text = g_strdup_printf (
      "{\"number\":%d,\"priorities\":[\"a\",\"b\",\"c\",\"d\"],\"services\":{\"s\":{"
      "\"routes\":[{\"prefix\":\"/\",\"class\":\"d\"}],\"limiter\":{\"plugin\":\"%s\"},"
      "\"queue\":{\"plugin\":\"%s\",\"max_wait_ms\":%d,\"max_length\":%d}}}}",
      (int)++g->ticket,
      g_rand_boolean (g->rand) ? "adaptive" : "fixed",
      g->queue,
      g_rand_int_range (g->rand, 0, 200),
      g_rand_int_range (g->rand, 1, 30));
  BjConfig *c;

  assert_int_equal (bj_config_parse (bj_str (text), &c), BJ_OK);
  bj_kernel_set_config (g->kernel, g->now, c);
  g_free (text);
}

static void
ask (Guard *g)
{
  Asked *a = g_new0 (Asked, 1);
  BjRequest r = { .method = BJ_STR ("GET"), .path = BJ_STR ("/") };
  BjCall *c;

  a->klass = g_rand_int_range (g->rand, 0, ORDER_CLASSES);
  a->waits = true;
  g->waiting[a->klass]++;
  g->n_open++;
  r.klass = a->klass;
  r.is_spilled = g_rand_int_range (g->rand, 0, 4) == 0;
  r.irreversible = a->klass < 2 && g_rand_boolean (g->rand);
  r.deadline_ms = g_rand_double_range (g->rand, 1, 500);
  c = bj_kernel_arrive_peer (g->kernel, g->now, &r, BJ_STR ("s"), a);
  if (c != NULL && c->klass > g->refused_class)
    g->wrong = "a lower class was admitted after irreversible work was refused";
}

static void
finish_one (Guard *g)
{
  static const BjAnswer done = { .outcome = BJ_DONE, .http_status = 200 };
  static const BjAnswer shed = { .outcome = BJ_NOT_RUN, .http_status = 503 };
  BjCall *c;

  if (g->running->len == 0)
    return;
  c = g->running->pdata[g_rand_int_range (g->rand, 0, (gint32)g->running->len)];
  g_ptr_array_remove (g->running, c);
  if (g_rand_int_range (g->rand, 0, 10) == 0)
    {
      bj_kernel_answer_begin (g->kernel, g->now, c, &shed);
      return;
    }
  bj_kernel_answer_begin (g->kernel, g->now, c, &done);
  bj_kernel_answer_end (g->kernel, g->now, c, true);
}

static void
run_event (Guard *g)
{
  int what = g_rand_int_range (g->rand, 0, 100);

  g->now += g_rand_double_range (g->rand, 0, 5);
  bj_kernel_tick (g->kernel, g->now);
  if (what < 55)
    ask (g);
  else if (what < 90)
    finish_one (g);
  else if (what < 95 && g->running->len > 0)
    bj_kernel_cancel (g->kernel, g->now, g->running->pdata[0]);
  else if (what < 97)
    bj_kernel_announce (g->kernel, g->now, BJ_STR ("s"), g_rand_int_range (g->rand, 1, 12));
  else
    file_ticket (g);
}

// NULL when every decision of a random sequence of events was right.
static const char *
run_events (const char *queue, guint32 seed)
{
  static const BjHostOps ops
      = { guard_send, guard_start, guard_cancel, guard_answer, guard_nothing, guard_freed };
  Guard g = { .host = { &ops }, .queue = queue, .refused_class = ORDER_CLASSES - 1 };
  BjKernelOptions o = { .self = { .name = BJ_STR ("one") }, .host = &g.host, .seed = seed };

  g.rand = g_rand_new_with_seed (seed);
  g.running = g_ptr_array_new ();
  g.kernel = bj_kernel_new (&o, 0);
  file_ticket (&g);
  bj_kernel_announce (g.kernel, 0, BJ_STR ("s"), 4);
  for (int i = 0; i < ORDER_EVENTS && g.wrong == NULL; i++)
    run_event (&g);
  bj_kernel_free (g.kernel);
  if (g.wrong == NULL && g.n_open != 0)
    g.wrong = "a call was never freed";
  g_ptr_array_free (g.running, TRUE);
  g_rand_free (g.rand);
  return g.wrong;
}

static void
test_order (void **state)
{
  int n_wrong = 0;

  (void)state;
  bj_log_open (BJ_LOG_ERROR);
  for (guint32 seed = 1; seed <= ORDER_SEEDS; seed++)
    {
      const char *wrong = run_events ("priority-deadline", seed);

      if (wrong != NULL)
        fail_msg ("seed %u: %s", seed, wrong);
      n_wrong += run_events ("fifo", seed) != NULL;
    }
  assert_true (n_wrong > 0); // the baseline breaks the order, and the check sees it
  print_message ("fifo breaks the order with %d of %d seeds\n", n_wrong, ORDER_SEEDS);
}

#define RETURNS 1000
#define RETURN_BIN_MS 50

typedef struct
{
  BjHost host;
  double at[RETURNS];
  int n;
} Returns;

static void
returns_answer (BjHost *h, BjCall *c, const BjAnswer *a)
{
  Returns *r = (Returns *)h;

  if (a->code == BJ_E_OVERLOAD && r->n < RETURNS)
    r->at[r->n++] = a->retry_after_ms;
  (void)c;
}

// One call runs, all others are refused in the same millisecond.
static void
refuse_many (Returns *r, guint32 seed, const char *prefer)
{
  static const BjHostOps ops
      = { guard_send, guard_nothing, guard_nothing, returns_answer, guard_nothing, guard_nothing };
  BjKernelOptions o = { .self = { .name = BJ_STR ("one") }, .host = &r->host, .seed = seed };
  BjRequest ask
      = { .method = BJ_STR ("GET"), .path = BJ_STR ("/"), .klass = 0, .deadline_ms = 5000 };
  BjKernel *k = bj_kernel_new (&o, 0);
  char *text = g_strdup_printf (
      "{\"number\":1,\"priorities\":[\"a\"],\"services\":{\"s\":{\"routes\":[{\"prefix\":"
      "\"/\",\"class\":\"a\"}],\"limiter\":{\"plugin\":\"fixed\"},\"queue\":{\"max_length\":1},"
      "\"prefer\":\"%s\"}}}",
      prefer);
  BjConfig *c;
  BjCall *running;

  *r = (Returns){ .host = { &ops } };
  assert_int_equal (bj_config_parse (bj_str (text), &c), BJ_OK);
  bj_kernel_set_config (k, 0, c);
  bj_kernel_announce (k, 0, BJ_STR ("s"), 1);
  for (int i = 0; i < 200; i++)
    {
      running = bj_kernel_arrive_peer (k, i * 10, &ask, BJ_STR ("s"), NULL);
      bj_kernel_answer_begin (k, i * 10 + 9, running, &(BjAnswer){ .outcome = BJ_DONE });
      bj_kernel_answer_end (k, i * 10 + 9, running, true);
    }
  for (int i = 0; i < RETURNS + 2; i++)
    bj_kernel_arrive_peer (k, 2000, &ask, BJ_STR ("s"), NULL);
  bj_kernel_free (k);
  g_free (text);
}

static int
fullest_bin (const Returns *r)
{
  int bins[1024] = { 0 };
  int most = 0;

  for (int i = 0; i < r->n; i++)
    {
      int *bin = &bins[MIN (1023, (int)(r->at[i] / RETURN_BIN_MS))];

      ++*bin;
      most = MAX (most, *bin);
    }
  return most;
}

// All are answered in the turn that refuses them, with times to come back that lie apart.
static void
test_returns (void **state)
{
  Returns a;
  Returns b;
  Returns other;

  (void)state;
  refuse_many (&a, 1, "recovery");
  refuse_many (&b, 1, "recovery");
  refuse_many (&other, 2, "recovery");
  assert_int_equal (a.n, RETURNS);
  assert_memory_equal (a.at, b.at, sizeof a.at);
  assert_memory_not_equal (a.at, other.at, sizeof a.at);
  assert_true (fullest_bin (&a) < RETURNS / 4); // five bins lie within the spread
  refuse_many (&a, 1, "goodput");
  assert_true (fullest_bin (&a) < RETURNS / 50); // 50 ms serve 5 of them
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limiter),       cmocka_unit_test (test_limiter_ramp),
    cmocka_unit_test (test_limiter_slots), cmocka_unit_test (test_queue),
    cmocka_unit_test (test_order),         cmocka_unit_test (test_returns),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
