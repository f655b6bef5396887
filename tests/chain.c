// Chain: kernels of many daemons connected without a network.

#include "chain.h"
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define NODES_MAX 96
#define MARGIN_MS 2000.0 // at the start and the end of a run, in which callers are not counted
#define GOSSIP_MS 500
#define TICK_MS 5
#define NEAR_MS 1.4 // one-way latency within a region

typedef struct Node Node;
typedef struct Run Run;

// Destination of a response: a caller, the front of a peer, or a run that waits for a call.
typedef struct
{
  Node *front;   // daemon that sent the call to a peer, NULL otherwise
  uint64_t call; // id of the call at front
  Run *run;      // run that made the call, NULL otherwise
  int kind;
  int account;
  int number; // of the caller
  BjTime first_arrival;
  BjTime arrival;
  int retries_left;
  bool is_done;
} Requester;

struct Run
{
  Node *node;
  uint64_t call;
  const ChainStep *step;
  BjTime deadline;
  int n_left; // calls still to be made, -1 after a failed one
  char *id;   // of its request
  BjStr account;
  bool is_ended;
};

struct Node
{
  BjHost host; // must be the first member
  BjKernel *kernel;
  char name[16];
  char domain[4];
  char region[4];
  int domain_number;
  int service;
  double speed; // factor on the run time
};

typedef enum
{
  ARRIVAL,
  PEER_CALL,
  PEER_RESPONSE,
  WORK_DONE,
  GOSSIP,
  TICK,
} EventKind;

typedef struct
{
  BjTime at;
  uint64_t order;
  EventKind kind;
  Node *node;
  uint64_t call;
  Requester *requester;
  Run *run;
  BjRequest request; // owned path, id and account
  BjAnswer answer;
} Event;

typedef struct
{
  const ChainOptions *o;
  ChainResult *r;
  GSequence *events;
  GPtrArray *runs;
  GPtrArray *requesters;
  uint64_t order;
  BjTime now;
  GRand *rand;
  Node nodes[NODES_MAX];
  int n;
  int n_numbers;
  double slots_used;
  int n_samples;
} Chain;

static Chain chain;

static void continue_run (Run *r);
static void deliver (Requester *q, const BjAnswer *a, Node *from);

static gint
by_time (gconstpointer a, gconstpointer b, gpointer data)
{
  const Event *x = a;
  const Event *y = b;

  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : 1;
}

static Event *
add_event (EventKind kind, double after, Node *n)
{
  Event *e = g_new0 (Event, 1);

  e->kind = kind;
  e->at = chain.now + after;
  e->order = chain.order++;
  e->node = n;
  g_sequence_insert_sorted (chain.events, e, by_time, NULL);
  return e;
}

static void
free_event (Event *e)
{
  bj_str_free (&e->request.path);
  bj_str_free (&e->request.id);
  bj_str_free (&e->request.account);
  g_free (e);
}

static Requester *
new_requester (void)
{
  Requester *q = g_new0 (Requester, 1);

  g_ptr_array_add (chain.requesters, q);
  return q;
}

static double
latency_ms (const Node *a, const Node *b)
{
  return strcmp (a->region, b->region) == 0 ? NEAR_MS : chain.o->remote_ms;
}

static bool
is_counted (const Requester *q)
{
  return q->first_arrival >= MARGIN_MS && q->first_arrival < chain.o->run_ms - MARGIN_MS;
}

static void
send_peer (BjHost *h, BjCall *c, BjPeer *p)
{
  Node *from = (Node *)h;
  Node *to = &chain.nodes[0];
  Event *e;

  for (int i = 0; i < chain.n; i++)
    if (bj_str_equal (bj_str (chain.nodes[i].name), p->report.name))
      to = &chain.nodes[i];
  e = add_event (PEER_CALL, latency_ms (from, to), to);
  e->requester = new_requester ();
  e->requester->front = from;
  e->requester->call = c->id;
  e->request = (BjRequest){ .method = BJ_STR ("GET"),
                            .path = bj_str_dup (c->request.path),
                            .id = bj_str_dup (c->request.id),
                            .account = bj_str_dup (c->request.account),
                            .klass = c->klass,
                            .irreversible = c->irreversible,
                            .deadline_ms = c->deadline - chain.now - BJ_HOP_DEADLINE_MARGIN_MS,
                            .objective_ms = MAX (0, c->arrived + c->objective_ms - chain.now),
                            .attempts_left = c->attempts_delegated,
                            .has_cohort = true,
                            .cohort = c->cohort,
                            .is_spilled = strcmp (from->domain, to->domain) != 0,
                            .is_cross_region = strcmp (from->region, to->region) != 0 };
}

static void
start_upstream (BjHost *h, BjCall *c)
{
  Node *n = (Node *)h;
  Run *r = g_new0 (Run, 1);

  r->node = n;
  r->call = c->id;
  r->step = &chain.o->steps[0];
  for (int i = 0; i < chain.o->n_steps; i++)
    if (bj_str_starts (c->request.path, bj_str (chain.o->steps[i].path)))
      r->step = &chain.o->steps[i];
  r->deadline = c->deadline - BJ_HOP_DEADLINE_MARGIN_MS;
  c->upstream_deadline = r->deadline;
  r->n_left = r->step->n_calls;
  r->id = g_strndup (c->request.id.data, c->request.id.len);
  r->account = bj_str_dup (c->request.account);
  g_ptr_array_add (chain.runs, r);
  add_event (WORK_DONE, r->step->work_ms * n->speed * (0.5 + g_rand_double (chain.rand)), n)->run
      = r;
}

static void
cancel_runs (BjHost *h, BjCall *c)
{
  for (guint i = chain.runs->len; i > 0; i--)
    {
      Run *r = chain.runs->pdata[i - 1];

      if (r->node != (Node *)h || r->call != c->id)
        continue;
      r->is_ended = true;
      return;
    }
}

static void
answer_call (BjHost *h, BjCall *c, const BjAnswer *a)
{
  deliver (c->data, a, (Node *)h);
}

static void
ignore_call (BjHost *h, BjCall *c)
{
  (void)h;
  (void)c;
}

static const BjHostOps host_ops
    = { send_peer, start_upstream, cancel_runs, answer_call, ignore_call, ignore_call };

static void
answer_caller (Requester *q, const BjAnswer *a, bool is_good, Node *from)
{
  const ChainKind *kind = &chain.o->kinds[q->kind];
  double wait = chain.now - q->arrival;
  Requester *again;

  if (is_good && is_counted (q) && chain.now - q->first_arrival <= kind->objective_ms)
    {
      chain.r->n_served[q->kind]++;
      chain.r->n_served_of[q->account]++;
    }
  if (is_counted (q) && a->outcome != BJ_NOT_RUN)
    chain.r->n_actions++;
  if (is_good)
    return;
  if (is_counted (q))
    g_array_append_val (chain.r->refusal_ms, wait);
  if (q->retries_left <= 0 || a->outcome != BJ_NOT_RUN)
    return;
  again = new_requester ();
  *again = *q;
  again->is_done = false;
  again->retries_left--;
  add_event (ARRIVAL, MAX (1, a->retry_after_ms), from)->requester = again;
}

// Delivers a response of the control layer or a complete response of an upstream.
static void
deliver (Requester *q, const BjAnswer *a, Node *from)
{
  bool is_good = a->outcome == BJ_DONE && !a->failed;
  Event *e;

  if (q == NULL || q->is_done)
    return;
  q->is_done = true;
  if (q->front != NULL)
    {
      e = add_event (PEER_RESPONSE, latency_ms (from, q->front), q->front);
      e->call = q->call;
      e->answer = *a;
      return;
    }
  if (q->run == NULL)
    {
      answer_caller (q, a, is_good, from);
      return;
    }
  chain.r->n_inner_refused += a->outcome == BJ_NOT_RUN && chain.now >= MARGIN_MS;
  if (!is_good)
    q->run->n_left = -1;
  continue_run (q->run);
}

static void
end_run (Run *r, BjAnswer a)
{
  BjKernel *k = r->node->kernel;
  BjCall *c = g_hash_table_lookup (k->calls, &r->call);
  Requester *q;

  r->is_ended = true;
  if (c == NULL || c->state != BJ_CALL_RUNNING)
    return;
  q = c->data;
  a.attempts_left = c->attempts_left;
  if (bj_kernel_answer_begin (k, chain.now, c, &a) == BJ_ABSORB)
    return;
  a.level = bj_kernel_admission_level (k, chain.now, c);
  a.makes_calls = bj_kernel_makes_calls (k, c);
  a.demand = bj_kernel_demand (k, chain.now, c);
  a.load = bj_kernel_load (k, chain.now);
  bj_kernel_answer_end (k, chain.now, c, true);
  deliver (q, &a, r->node);
}

static void
continue_run (Run *r)
{
  BjRequest q = { .method = BJ_STR ("GET"), .klass = -1, .attempts_left = -1 };
  char path[64];
  char id[256];
  Requester *requester;

  if (r->is_ended)
    return;
  if (r->n_left < 0 || chain.now >= r->deadline)
    {
      end_run (r, (BjAnswer){ .outcome = BJ_DONE, .http_status = 500, .failed = true });
      return;
    }
  if (r->n_left == 0)
    {
      end_run (r, (BjAnswer){ .outcome = BJ_DONE, .http_status = 200 });
      return;
    }
  r->n_left--;
  requester = new_requester ();
  requester->run = r;
  g_snprintf (id, sizeof id, "%s.%d", r->id, r->n_left);
  g_snprintf (path, sizeof path, "%s/%s", chain.o->steps[r->step->called].path, id);
  q.path = bj_str (path);
  q.id = bj_str (id);
  q.account = r->account;
  q.deadline_ms = MAX (1, floor (r->deadline - chain.now));
  bj_kernel_arrive (r->node->kernel, chain.now, &q, requester);
}

static void
handle_arrival (Node *n, Requester *q)
{
  const ChainKind *kind = &chain.o->kinds[q->kind];
  BjRequest r = { .method = BJ_STR ("GET"), .klass = -1, .attempts_left = -1 };
  char path[64];
  char id[32];
  char account[16];

  // A retry uses the same path as the first attempt, and its own id.
  q->arrival = chain.now;
  g_snprintf (path, sizeof path, "%s/%d", chain.o->steps[kind->step].path, q->number);
  g_snprintf (id, sizeof id, "c%d-%d", q->number, q->retries_left);
  g_snprintf (account, sizeof account, "account%d", q->account);
  r.path = bj_str (path);
  r.id = bj_str (id);
  if (chain.o->n_accounts > 0)
    r.account = bj_str (account);
  r.deadline_ms = kind->deadline_ms - (chain.now - q->first_arrival);
  if (r.deadline_ms > 0)
    bj_kernel_arrive (n->kernel, chain.now, &r, q);
}

static void
handle_peer_response (const Event *e)
{
  BjKernel *k = e->node->kernel;
  BjCall *c = g_hash_table_lookup (k->calls, &e->call);
  Requester *q;

  if (c == NULL || c->state != BJ_CALL_SENT)
    return;
  q = c->data;
  if (bj_kernel_answer_begin (k, chain.now, c, &e->answer) == BJ_ABSORB)
    return;
  bj_kernel_answer_end (k, chain.now, c, true);
  deliver (q, &e->answer, e->node);
}

static void
exchange_reports (void)
{
  for (int i = 0; i < chain.n; i++)
    {
      BjPeerReport r;

      bj_kernel_get_self_report (chain.nodes[i].kernel, chain.now, &r);
      r.version = (uint64_t)(chain.now + 1);
      for (int j = 0; j < chain.n; j++)
        if (j != i)
          bj_kernel_update_peer (chain.nodes[j].kernel, chain.now, &r);
    }
}

static void
tick (void)
{
  const ChainService *last = &chain.o->services[chain.o->n_services - 1];
  int used = 0;

  for (int i = 0; i < chain.n; i++)
    {
      bj_kernel_tick (chain.nodes[i].kernel, chain.now);
      if (chain.nodes[i].service == chain.o->n_services - 1)
        used += chain.nodes[i].kernel->guard.in_flight;
    }
  if (chain.now < MARGIN_MS)
    return;
  chain.slots_used += used / (double)(last->n * last->slots);
  chain.n_samples++;
}

static void
handle_event (Event *e)
{
  switch (e->kind)
    {
    case ARRIVAL:
      handle_arrival (e->node, e->requester);
      break;
    case PEER_CALL:
      bj_kernel_arrive_peer (e->node->kernel,
                             chain.now,
                             &e->request,
                             bj_str (chain.o->services[e->node->service].name),
                             e->requester);
      break;
    case PEER_RESPONSE:
      handle_peer_response (e);
      break;
    case WORK_DONE:
      continue_run (e->run);
      break;
    case GOSSIP:
      exchange_reports ();
      add_event (GOSSIP, GOSSIP_MS, NULL);
      break;
    default:
      tick ();
      add_event (TICK, TICK_MS, NULL);
      break;
    }
}

static void
add_node (int service, int number)
{
  const ChainOptions *o = chain.o;
  Node *n = &chain.nodes[chain.n++];
  BjKernelOptions options = { .host = &n->host, .seed = o->seed + (uint32_t)chain.n };
  double step = o->services[service].n > 1 ? number / (o->services[service].n - 1.0) : 0;
  BjConfig *c;

  assert_true (chain.n <= NODES_MAX);
  n->host.ops = &host_ops;
  n->service = service;
  n->domain_number = number % CHAIN_DOMAINS;
  n->speed = o->speed_min + (o->speed_max - o->speed_min) * step;
  g_snprintf (n->name, sizeof n->name, "s%d-%d", service, number);
  g_snprintf (n->domain, sizeof n->domain, "d%d", n->domain_number);
  g_snprintf (n->region, sizeof n->region, "r%d", n->domain_number / 2);
  options.self = (BjPeerReport){ .name = bj_str (n->name),
                                 .domain = bj_str (n->domain),
                                 .region = bj_str (n->region),
                                 .host = BJ_STR ("127.0.0.1"),
                                 .gossip_host = BJ_STR ("127.0.0.1"),
                                 .incarnation = 1 };
  n->kernel = bj_kernel_new (&options, 0);
  if (bj_config_parse (bj_str (o->config), &c) != BJ_OK)
    fail_msg ("%s", bj_last_message ());
  bj_kernel_set_config (n->kernel, 0, c);
  bj_kernel_announce (n->kernel, 0, bj_str (o->services[service].name), o->services[service].slots);
}

// Arrivals of one kind and account as a Poisson process. They do not depend on the other accounts.
static void
add_callers (int kind, int account, double per_ms)
{
  const ChainOptions *o = chain.o;
  GRand *rand = g_rand_new_with_seed (o->seed + (uint32_t)(kind * CHAIN_ACCOUNTS_MAX + account));
  double factor_max = o->rate_factor != NULL ? o->rate_factor_max : 1;
  BjTime at = 0;

  for (;;)
    {
      Node *n = &chain.nodes[g_rand_int_range (rand, 0, chain.n)];
      Requester *q;

      at -= log (1 - g_rand_double (rand)) / (per_ms * factor_max);
      if (at >= o->run_ms)
        break;
      if (o->rate_factor != NULL
          && g_rand_double (rand) * factor_max
                 >= o->rate_factor (&o->kinds[kind], n->domain_number, at))
        continue;
      q = new_requester ();
      *q = (Requester){ .kind = kind,
                        .account = account,
                        .number = ++chain.n_numbers,
                        .first_arrival = at,
                        .retries_left = o->retries };
      add_event (ARRIVAL, at, n)->requester = q;
      if (!is_counted (q))
        continue;
      chain.r->n_callers[kind]++;
      chain.r->n_callers_of[account]++;
    }
  g_rand_free (rand);
}

static void
add_all_callers (void)
{
  const ChainOptions *o = chain.o;
  double sum = 0;

  for (int i = 0; i < o->n_accounts; i++)
    sum += o->weights[i];
  for (int kind = 0; kind < o->n_kinds; kind++)
    for (int i = 0; i < MAX (1, o->n_accounts); i++)
      {
        double share = o->n_accounts > 0 ? o->weights[i] / sum : 1;

        if (o->n_accounts > 0 && i == o->busy_account)
          share *= o->busy_factor;
        add_callers (kind, i, o->kinds[kind].per_s / 1000 * share);
      }
}

static void
free_run (gpointer run)
{
  Run *r = run;

  g_free (r->id);
  bj_str_free (&r->account);
  g_free (r);
}

void
chain_run (const ChainOptions *o, ChainResult *r)
{
  *r = (ChainResult){ .refusal_ms = g_array_new (FALSE, FALSE, sizeof (double)) };
  chain = (Chain){ .o = o, .r = r };
  chain.events = g_sequence_new (NULL);
  chain.runs = g_ptr_array_new_with_free_func (free_run);
  chain.requesters = g_ptr_array_new_with_free_func (g_free);
  chain.rand = g_rand_new_with_seed (o->seed);
  for (int s = 0; s < o->n_services; s++)
    for (int i = 0; i < o->services[s].n; i++)
      add_node (s, i);
  add_event (GOSSIP, 0, NULL);
  add_event (TICK, 1, NULL);
  add_all_callers ();
  while (chain.now < o->run_ms)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (chain.events);
      Event *e = g_sequence_get (first);

      g_sequence_remove (first);
      chain.now = e->at;
      handle_event (e);
      free_event (e);
    }
  r->slots_used = chain.slots_used / MAX (1, chain.n_samples);
  for (GSequenceIter *i = g_sequence_get_begin_iter (chain.events); !g_sequence_iter_is_end (i);
       i = g_sequence_iter_next (i))
    free_event (g_sequence_get (i));
  g_sequence_free (chain.events);
  for (int i = 0; i < chain.n; i++)
    bj_kernel_free (chain.nodes[i].kernel);
  g_ptr_array_free (chain.runs, TRUE);
  g_ptr_array_free (chain.requesters, TRUE);
  g_rand_free (chain.rand);
}

void
chain_result_clear (ChainResult *r)
{
  g_array_free (r->refusal_ms, TRUE);
}

static gint
by_value (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

double
chain_refusal_ms (const ChainResult *r, double quantile)
{
  if (r->refusal_ms->len == 0)
    return 0;
  g_array_sort (r->refusal_ms, by_value);
  return g_array_index (r->refusal_ms, double, (guint)(quantile * (r->refusal_ms->len - 1)));
}
