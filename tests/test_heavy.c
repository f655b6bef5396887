// Heavy load: under overload and with lost, refusing, lossy or slow estimators, or ones that name a
// rate, the goodput must stay near the remaining capacity and never be lower than with the baseline
// plug-ins. Simulates kernels with a virtual clock: two regions of two failure domains each, four
// services, call chains three services deep. A call carries nothing of its parent but the deadline.

#include "internal.h"
#include "kernel.h"
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define DOMAINS 4
#define NODES_MAX 32
#define RUN_MS 12000.0
#define WARM_UP_MS 3000.0      // callers that arrive earlier are not counted
#define REGION_LATENCY_MS 0.5  // one-way latency within a region
#define REMOTE_LATENCY_MS 30.0 // one-way latency between regions
#define GOSSIP_MS 500
#define TICK_MS 5
#define CALLS_DEADLINE_MS 700 // deadline of the calls of an execution, measured from its start
#define CALLER_RETRIES 1
#define RATE_FROM_MS 2000.0      // estimators that name a rate do so from then on
#define RATE_WINDOW_MS 4000.0    // span in which the calls at an estimator are counted
#define RATE_EXCESS 1.5          // calls allowed in a window, as a multiple of the rate
#define RATE_EXCESS_CALLS 5      // calls allowed beyond that
#define CROWDED_SLOTS_SHARE 0.95 // share of the slots in use above which estimators slow down

typedef enum
{
  CATALOGUE,
  ORDERS,
  PLANS,
  ESTIMATOR,
  SERVICES,
} Service;

typedef enum
{
  ACCEPT,
  PREVIEW,
  LOOKUP,
  CLASSES,
} Class;

static const char *const service_names[] = { "catalogue", "orders", "plans", "estimator" };
static const int service_slots[] = { 60, 60, 60, 25 }; // per upstream
static const char *const class_paths[]
    = { "/orders/accept", "/estimator/preview", "/catalogue/list" };
static const double class_weight[] = { 3, 2, 1 };         // goodput per caller served in time
static const double class_share[] = { 0.22, 0.16, 0.62 }; // share of all callers

// What one execution does: its own work, then n_calls calls one after the other.
typedef struct
{
  const char *path;
  Service service;
  double work_ms;
  const char *calls_path; // path of the calls, NULL for none
  int n_calls;
} Operation;

static const Operation operations[] = {
  { "/catalogue/list", CATALOGUE, 90, "/orders/stock", 1 },
  { "/orders/accept", ORDERS, 120, "/plans/index", 1 },
  { "/orders/stock", ORDERS, 15, "/plans/index", 1 },
  { "/plans/index", PLANS, 15, "/estimator/rate", 4 },
  { "/estimator/rate", ESTIMATOR, 22, NULL, 0 },
  { "/estimator/preview", ESTIMATOR, 36, NULL, 0 },
};

// The routes of calls between services have class b, as previews have.
static const char config_format[]
    = "{\"number\":1,\"priorities\":[\"a\",\"b\",\"c\"],\"services\":{"
      "\"catalogue\":{\"routes\":[{\"prefix\":\"/catalogue/"
      "list\",\"class\":\"c\",\"deadline_ms\":800,"
      "\"objective_ms\":1200}]%1$s},"
      "\"orders\":{\"routes\":[{\"prefix\":\"/orders/accept\",\"class\":\"a\",\"deadline_ms\":1000,"
      "\"objective_ms\":1500,\"irreversible\":true,\"claim\":false},"
      "{\"prefix\":\"/orders/stock\",\"class\":\"b\",\"deadline_ms\":1000}]%1$s},"
      "\"plans\":{\"routes\":[{\"prefix\":\"/plans/"
      "index\",\"class\":\"b\",\"deadline_ms\":800}]%1$s},"
      "\"estimator\":{\"routes\":[{\"prefix\":\"/estimator/"
      "rate\",\"class\":\"b\",\"deadline_ms\":700,"
      "\"objective_ms\":300},{\"prefix\":\"/estimator/"
      "preview\",\"class\":\"b\",\"deadline_ms\":1000,"
      "\"objective_ms\":250}]%1$s}}}";
static const char policy_tested[]
    = ",\"limiter\":{\"plugin\":\"slots\"},\"router\":{\"plugin\":\"least-wait\"},"
      "\"retry\":{\"ratio\":0.12,\"burst\":3,\"saved\":0.03,\"reserve\":2}";
static const char policy_baseline[] = ",\"limiter\":{\"plugin\":\"fixed\"},\"router\":{\"plugin\":"
                                      "\"round-robin\"},\"queue\":{\"plugin\":\"fifo\"},"
                                      "\"retry\":{\"ratio\":0.12,\"burst\":3,\"saved\":0.03}";

// Rates that estimators name.
typedef struct
{
  int n;         // number of estimators that name a rate
  double share;  // that rate, as a share of the calls that each estimator gets on average
  bool has_gaps; // they name it for one second in two only
} RateNaming;

static const RateNaming no_rates;

typedef struct
{
  const char *name;
  double load;                // offered load as a share of the capacity of all estimators
  int n_domains_lost;         // number of failure domains without an estimator
  double refused_share;       // share of executions that estimators refuse
  double lost_share;          // share of executions whose response is lost, in half of the domains
  double crowded_slowdown;    // relative execution time increase on full over half-empty estimators
  double min_served[CLASSES]; // lowest accepted share of callers served in time
  double min_of_best; // lowest accepted share of the best possible goodput, 0 if that is unknown
} HeavyCase;

typedef struct
{
  HeavyCase heavy;
  RateNaming rates;
} RateCase;

// Targets: below capacity all callers are served; above it acceptances and previews take precedence
// over lookups, at least nine tenths of the capacity become goodput, and the goodput is never lower
// than with the baseline plug-ins.
static const HeavyCase cases[] = {
  { "load below the capacity", 0.7, 0, 0, 0, 0, { 0.97, 0.97, 0.97 }, 0.97 },
  { "load a third above the capacity", 1.33, 0, 0, 0, 0, { 0.9, 0.9, 0.3 }, 0.9 },
  { "load of twice the capacity", 2, 0, 0, 0, 0, { 0.8, 0.85, 0 }, 0.9 },
  { "one domain without an estimator", 0.9, 1, 0, 0, 0, { 0.9, 0.9, 0.5 }, 0.9 },
  { "half a region's estimators lost, estimators a third slower when full",
    0.6,
    1,
    0,
    0,
    0.35,
    { 0.97, 0.97, 0.9 },
    0.95 },
  { "half a region's estimators lost, enough capacity in the other region",
    0.65,
    1,
    0,
    0,
    0,
    { 0.97, 0.97, 0.95 },
    0.97 },
  { "load a third above the capacity, estimators a third slower when full",
    1.33,
    0,
    0,
    0,
    0.35,
    { 0.9, 0.9, 0.3 },
    0.9 },
  { "half of the estimators lose a third of their responses",
    0.4,
    0,
    0,
    0.33,
    0,
    { 0.95, 0.95, 0.95 },
    0.95 },
  { "one region without estimators, load a third above the capacity of the other",
    0.67,
    2,
    0,
    0,
    0,
    { 0.9, 0.9, 0.2 },
    0.9 },
  { "estimators refuse a fifth of their calls", 0.8, 0, 0.2, 0, 0, { 0.5, 0.85, 0 }, 0 },
};

// Estimators that name a rate: the same targets as with the estimator lost, or with twice the
// capacity offered.
static const RateCase rate_cases[] = {
  { { .name = "one estimator names a third of its calls, enough capacity elsewhere",
      .load = 0.65,
      .min_served = { 0.97, 0.97, 0.95 },
      .min_of_best = 0.97 },
    { 1, 0.33, false } },
  { { .name = "one estimator takes no calls, enough capacity elsewhere",
      .load = 0.65,
      .min_served = { 0.97, 0.97, 0.95 },
      .min_of_best = 0.97 },
    { 1, 0, false } },
  { { .name = "one estimator names a third of its calls for one second in two",
      .load = 0.65,
      .min_served = { 0.97, 0.97, 0.95 },
      .min_of_best = 0.97 },
    { 1, 0.33, true } },
  { { .name = "all estimators name half of their calls",
      .load = 0.65,
      .min_served = { 0.8, 0.85, 0 } },
    { 4, 0.5, false } },
};

typedef struct Node Node;
typedef struct Execution Execution;

// Destination of a response: a caller, the front of a peer, or an execution that waits for a call.
typedef struct
{
  Node *front;          // node that sent the call to a peer, NULL otherwise
  uint64_t call;        // id of the call at front
  Execution *execution; // execution that made the call, NULL otherwise
  int klass;
  BjTime first_arrival; // arrival of the caller's first attempt
  int retries_left;
  bool is_done;
} Requester;

struct Execution
{
  Node *node;
  uint64_t call; // id of the call at the node
  const Operation *operation;
  BjTime deadline;
  BjTime child_deadline; // of the calls that the execution makes
  int n_left;            // calls still to be made, -1 after a failed call
  bool is_ended;
};

struct Node
{
  BjHost host; // must be the first member: BjHost pointers are cast to Node
  BjKernel *kernel;
  char name[32];
  char domain[4];
  char region[4];
  Service service;
  double time_factor; // factor on the execution time
  bool is_lossy;      // loses responses in cases with lost_share
  double rate;        // calls a second that its upstream names, -1 if none
  GArray *starts;     // BjTime of each call at its upstream since it named a rate
};

typedef enum
{
  EVENT_ARRIVAL,       // a caller's request reaches a front
  EVENT_PEER_CALL,     // a call reaches the guard of a peer
  EVENT_PEER_RESPONSE, // a response reaches the front
  EVENT_WORK_DONE,     // an execution has finished its own work
  EVENT_REFUSAL,       // the upstream refuses an execution
  EVENT_LOST_RESPONSE, // the upstream closes the connection of an execution without a response
  EVENT_GOSSIP,
  EVENT_TICK,
} EventKind;

typedef struct
{
  BjTime at;
  uint64_t order; // order of events at the same time
  EventKind kind;
  Node *node;
  uint64_t call;
  Requester *requester;
  Execution *execution;
  BjRequest request; // owned strings
  BjAnswer answer;
} Event;

typedef struct
{
  GSequence *events;
  GPtrArray *executions;
  GPtrArray *requesters;
  uint64_t order;
  BjTime now;
  GRand *rand;
  Node nodes[NODES_MAX];
  int n;
  const HeavyCase *c;
  RateNaming rates;
  int n_callers[CLASSES];
  int n_served[CLASSES]; // within the objective
} Simulation;

static Simulation sim;

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer data)
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
  e->at = sim.now + after;
  e->order = sim.order++;
  e->node = n;
  g_sequence_insert_sorted (sim.events, e, compare_events, NULL);
  return e;
}

static const Operation *
find_operation (BjStr path)
{
  for (size_t i = 0; i < G_N_ELEMENTS (operations); i++)
    if (bj_str_starts (path, bj_str (operations[i].path)))
      return &operations[i];
  return NULL;
}

static Requester *
new_requester (void)
{
  Requester *a = g_new0 (Requester, 1);

  g_ptr_array_add (sim.requesters, a);
  return a;
}

static double
latency_ms (const Node *a, const Node *b)
{
  return strcmp (a->region, b->region) == 0 ? REGION_LATENCY_MS : REMOTE_LATENCY_MS;
}

static void continue_execution (Execution *r);
static void deliver_response (Requester *a, const BjAnswer *answer, Node *from);

static void
send_peer (BjHost *h, BjCall *c, BjPeer *p)
{
  Node *from = (Node *)h;
  Node *to = &sim.nodes[0];
  Event *e;

  for (int i = 0; i < sim.n; i++)
    if (bj_str_equal (bj_str (sim.nodes[i].name), p->report.name))
      to = &sim.nodes[i];
  e = add_event (EVENT_PEER_CALL, latency_ms (from, to), to);
  e->requester = new_requester ();
  e->requester->front = from;
  e->requester->call = c->id;
  e->request = (BjRequest){ .method = BJ_STR ("GET"),
                            .path = bj_str_dup (c->request.path),
                            .klass = c->klass,
                            .irreversible = c->irreversible,
                            .deadline_ms = c->deadline - sim.now - BJ_HOP_DEADLINE_MARGIN_MS,
                            .objective_ms = MAX (0, c->arrived + c->objective_ms - sim.now),
                            .attempts_left = c->attempts_delegated,
                            .is_spilled = strcmp (from->domain, to->domain) != 0,
                            .is_cross_region = strcmp (from->region, to->region) != 0 };
}

// Returns the factor on the execution time. Estimators slow down when nearly all slots are in use,
// as many real upstreams do.
static double
slowdown_factor (const Node *n)
{
  bool is_crowded = n->kernel->guard.in_flight > CROWDED_SLOTS_SHARE * service_slots[n->service];

  return n->time_factor * (n->service == ESTIMATOR && is_crowded ? 1 + sim.c->crowded_slowdown : 1);
}

static void
start_upstream (BjHost *h, BjCall *c)
{
  Node *n = (Node *)h;
  Execution *r = g_new0 (Execution, 1);
  double left = floor (c->deadline - sim.now - BJ_HOP_DEADLINE_MARGIN_MS);

  c->upstream_deadline = sim.now + left;
  r->node = n;
  r->call = c->id;
  r->operation = find_operation (c->request.path);
  r->deadline = c->upstream_deadline;
  r->child_deadline = MIN (r->deadline, sim.now + CALLS_DEADLINE_MS);
  r->n_left = r->operation->n_calls;
  g_ptr_array_add (sim.executions, r);
  if (n->rate >= 0 && sim.now >= RATE_FROM_MS + 500)
    g_array_append_val (n->starts, sim.now);
  if (n->service == ESTIMATOR && g_rand_double (sim.rand) < sim.c->refused_share)
    add_event (EVENT_REFUSAL, 1, n)->execution = r;
  else if (n->service == ESTIMATOR && n->is_lossy && g_rand_double (sim.rand) < sim.c->lost_share)
    add_event (EVENT_LOST_RESPONSE, r->operation->work_ms * n->time_factor, n)->execution = r;
  else
    add_event (EVENT_WORK_DONE,
               r->operation->work_ms * slowdown_factor (n) * (0.5 + g_rand_double (sim.rand)),
               n)
        ->execution
        = r;
}

static void
cancel_executions (BjHost *h, BjCall *c)
{
  for (guint i = 0; i < sim.executions->len; i++)
    {
      Execution *r = sim.executions->pdata[i];

      if (r->node == (Node *)h && r->call == c->id)
        r->is_ended = true;
    }
}

static void
answer_call (BjHost *h, BjCall *c, const BjAnswer *a)
{
  deliver_response (c->data, a, (Node *)h);
}

static void
ignore_call (BjHost *h, BjCall *c)
{
  (void)h;
  (void)c;
}

static const BjHostOps host_ops
    = { send_peer, start_upstream, cancel_executions, answer_call, ignore_call, ignore_call };

// Delivers a response of the control layer or a complete response of an upstream.
static void
deliver_response (Requester *a, const BjAnswer *answer, Node *from)
{
  bool is_good = answer->outcome == BJ_DONE && !answer->failed;
  Event *e;

  if (a == NULL || a->is_done)
    return;
  a->is_done = true;
  if (a->front != NULL)
    {
      e = add_event (EVENT_PEER_RESPONSE, latency_ms (from, a->front), a->front);
      e->call = a->call;
      e->answer = *answer;
      e->answer.body = BJ_STR_NULL;
      e->answer.headers = BJ_STR_NULL;
      e->answer.content_type = BJ_STR_NULL;
    }
  else if (a->execution != NULL && is_good)
    continue_execution (a->execution);
  else if (a->execution != NULL)
    {
      a->execution->n_left = -1;
      continue_execution (a->execution);
    }
  else if (a->first_arrival >= WARM_UP_MS && a->first_arrival < RUN_MS - 2000)
    {
      static const double objective[] = { 1500, 250, 1200 };

      if (is_good && sim.now - a->first_arrival <= objective[a->klass])
        sim.n_served[a->klass]++;
    }
  // A refused caller retries up to CALLER_RETRIES times, after the retry-after time.
  if (a->front == NULL && a->execution == NULL && !is_good && answer->outcome == BJ_NOT_RUN
      && a->retries_left > 0)
    {
      e = add_event (EVENT_ARRIVAL, MAX (1, answer->retry_after_ms), from);
      e->requester = new_requester ();
      *e->requester = (Requester){ .klass = a->klass,
                                   .first_arrival = a->first_arrival,
                                   .retries_left = a->retries_left - 1 };
    }
}

static void
name_rate (Node *n, const BjCall *c)
{
  bool is_gap = sim.rates.has_gaps && (int)(sim.now / 1000) % 2 != 0;
  BjUpstreamState s = { .has_rate = n->rate >= 0 && sim.now >= RATE_FROM_MS && !is_gap };

  if (s.has_rate)
    s.rate = n->rate;
  bj_kernel_upstream_spoke (n->kernel, sim.now, c, &s);
}

// True if the calls at an estimator that names a rate stayed within it. In gaps it names none.
static bool
check_rate (const Node *n)
{
  const BjTime *at = (const BjTime *)n->starts->data;
  int allowed = (int)(RATE_EXCESS * n->rate * RATE_WINDOW_MS / 1000) + RATE_EXCESS_CALLS;
  int most = 0;

  if (n->rate < 0)
    return true;
  for (guint i = 0, end = 0; i < n->starts->len; i++)
    {
      while (end < n->starts->len && at[end] < at[i] + RATE_WINDOW_MS)
        end++;
      most = MAX (most, (int)(end - i));
    }
  print_message ("    %s: rate %.1f, %u calls, most in 4 s %d, %d allowed\n",
                 n->name,
                 n->rate,
                 n->starts->len,
                 most,
                 allowed);
  return sim.rates.has_gaps || most <= allowed;
}

static void
end_execution (Execution *r, BjAnswer a)
{
  BjCall *c = g_hash_table_lookup (r->node->kernel->calls, &r->call);
  Requester *requester;
  BjKernel *k = r->node->kernel;

  r->is_ended = true;
  if (c == NULL || c->state != BJ_CALL_RUNNING)
    return;
  requester = c->data;
  a.attempts_left = c->attempts_left;
  name_rate (r->node, c);
  if (bj_kernel_answer_begin (k, sim.now, c, &a) == BJ_ABSORB)
    return;
  a.level = bj_kernel_admission_level (k, sim.now, c);
  a.makes_calls = bj_kernel_makes_calls (k, c);
  a.load = bj_kernel_load (k, sim.now);
  bj_kernel_answer_end (k, sim.now, c, true);
  deliver_response (requester, &a, r->node);
}

static void
lose_response (Execution *r)
{
  BjCall *c = g_hash_table_lookup (r->node->kernel->calls, &r->call);

  if (!r->is_ended && c != NULL && c->state == BJ_CALL_RUNNING)
    bj_kernel_call_lost (r->node->kernel, sim.now, c, BJ_E_LOST, BJ_UNKNOWN);
  r->is_ended = true;
}

// Makes the next call of an execution or ends it.
static void
continue_execution (Execution *r)
{
  BjRequest q = { .method = BJ_STR ("GET"), .klass = -1, .attempts_left = -1 };
  char path[64];
  Requester *a;

  if (r->is_ended)
    return;
  if (r->n_left < 0 || sim.now >= r->deadline)
    {
      end_execution (r, (BjAnswer){ .outcome = BJ_DONE, .http_status = 500, .failed = true });
      return;
    }
  if (r->n_left == 0)
    {
      end_execution (r, (BjAnswer){ .outcome = BJ_DONE, .http_status = 200 });
      return;
    }
  r->n_left--;
  a = new_requester ();
  a->execution = r;
  g_snprintf (path, sizeof path, "%s/%x", r->operation->calls_path, g_rand_int (sim.rand));
  q.path = bj_str (path);
  q.deadline_ms = MAX (1, floor (r->child_deadline - sim.now));
  bj_kernel_arrive (r->node->kernel, sim.now, &q, a);
}

static void
handle_caller (Node *n, Requester *a)
{
  static const double deadlines[] = { 5000, 1000, 5000 };
  BjRequest q = { .method = BJ_STR ("GET"), .klass = -1, .attempts_left = -1 };
  char path[64];

  // A retry uses the same path as the first attempt.
  g_snprintf (path, sizeof path, "%s/%.0f", class_paths[a->klass], a->first_arrival * 1000);
  q.path = bj_str (path);
  q.deadline_ms = deadlines[a->klass] - (sim.now - a->first_arrival);
  bj_kernel_arrive (n->kernel, sim.now, &q, a);
}

static void
handle_peer_response (const Event *e)
{
  BjKernel *k = e->node->kernel;
  BjCall *c = g_hash_table_lookup (k->calls, &e->call);
  Requester *a;

  if (c == NULL || c->state != BJ_CALL_SENT)
    return;
  a = c->data;
  if (bj_kernel_answer_begin (k, sim.now, c, &e->answer) == BJ_ABSORB)
    return;
  bj_kernel_answer_end (k, sim.now, c, true);
  deliver_response (a, &e->answer, e->node);
}

static void
exchange_reports (void)
{
  for (int i = 0; i < sim.n; i++)
    {
      BjPeerReport r;

      bj_kernel_get_self_report (sim.nodes[i].kernel, sim.now, &r);
      r.version = (uint64_t)(sim.now + 1);
      for (int j = 0; j < sim.n; j++)
        if (j != i)
          bj_kernel_update_peer (sim.nodes[j].kernel, sim.now, &r);
    }
}

static void
handle_event (Event *e)
{
  switch (e->kind)
    {
    case EVENT_ARRIVAL:
      handle_caller (e->node, e->requester);
      break;
    case EVENT_PEER_CALL:
      bj_kernel_arrive_peer (e->node->kernel,
                             sim.now,
                             &e->request,
                             bj_str (service_names[e->node->service]),
                             e->requester);
      break;
    case EVENT_PEER_RESPONSE:
      handle_peer_response (e);
      break;
    case EVENT_WORK_DONE:
      continue_execution (e->execution);
      break;
    case EVENT_REFUSAL:
      if (!e->execution->is_ended)
        end_execution (e->execution, (BjAnswer){ .outcome = BJ_NOT_RUN, .http_status = 503 });
      break;
    case EVENT_LOST_RESPONSE:
      lose_response (e->execution);
      break;
    case EVENT_GOSSIP:
      exchange_reports ();
      add_event (EVENT_GOSSIP, GOSSIP_MS, NULL);
      break;
    default:
      for (int i = 0; i < sim.n; i++)
        bj_kernel_tick (sim.nodes[i].kernel, sim.now);
      add_event (EVENT_TICK, TICK_MS, NULL);
      break;
    }
}

// Calls a second that one estimator gets on average while all callers are served.
static double
estimator_calls (void)
{
  double n_calls = class_share[PREVIEW] + (class_share[ACCEPT] + class_share[LOOKUP]) * 4;
  double work_ms = class_share[PREVIEW] * 36 + (class_share[ACCEPT] + class_share[LOOKUP]) * 4 * 22;

  return sim.c->load * service_slots[ESTIMATOR] / work_ms * n_calls * 1000;
}

static void
add_node (int domain, Service s, const char *policy)
{
  static const double time_factors[] = { 0.7, 1, 1, 1.3 };
  Node *n = &sim.nodes[sim.n++];
  BjKernelOptions o = { .host = &n->host, .seed = (uint32_t)sim.n };
  char text[2048];
  BjConfig *c;

  n->host.ops = &host_ops;
  n->service = s;
  n->is_lossy = domain % 2 == 0;
  n->rate = s == ESTIMATOR && domain < sim.rates.n ? sim.rates.share * estimator_calls () : -1;
  n->starts = g_array_new (FALSE, FALSE, sizeof (BjTime));
  n->time_factor = time_factors[(domain + (int)s) % 4];
  g_snprintf (n->name, sizeof n->name, "d%d-%s", domain, service_names[s]);
  g_snprintf (n->domain, sizeof n->domain, "d%d", domain);
  g_snprintf (n->region, sizeof n->region, "r%d", domain / 2);
  o.self = (BjPeerReport){ .name = bj_str (n->name),
                           .domain = bj_str (n->domain),
                           .region = bj_str (n->region),
                           .host = BJ_STR ("127.0.0.1"),
                           .gossip_host = BJ_STR ("127.0.0.1"),
                           .incarnation = 1 };
  n->kernel = bj_kernel_new (&o, 0);
  g_snprintf (text, sizeof text, config_format, policy);
  assert_int_equal (bj_config_parse (bj_str (text), &c), BJ_OK);
  bj_kernel_set_config (n->kernel, 0, c);
  bj_kernel_announce (n->kernel, 0, bj_str (service_names[s]), service_slots[s]);
}

// Adds callers as a Poisson process, each at a random node.
static void
add_callers (void)
{
  // Capacity of the estimators: slots divided by the mean estimator time per caller, in ms.
  double mean_work_ms
      = class_share[PREVIEW] * 36 + (class_share[ACCEPT] + class_share[LOOKUP]) * 4 * 22;
  double t = 0;
  double per_ms = sim.c->load * DOMAINS * service_slots[ESTIMATOR] / mean_work_ms;

  while (t < RUN_MS - 1000)
    {
      double pick = g_rand_double (sim.rand);
      Class c = pick < class_share[ACCEPT]
                    ? ACCEPT
                    : (pick < class_share[ACCEPT] + class_share[PREVIEW] ? PREVIEW : LOOKUP);
      Event *e = add_event (EVENT_ARRIVAL, t, &sim.nodes[g_rand_int_range (sim.rand, 0, sim.n)]);

      e->requester = new_requester ();
      *e->requester
          = (Requester){ .klass = (int)c, .first_arrival = t, .retries_left = CALLER_RETRIES };
      if (t >= WARM_UP_MS && t < RUN_MS - 2000)
        sim.n_callers[c]++;
      t -= log (1 - g_rand_double (sim.rand)) / per_ms;
    }
}

static double
run_case (const HeavyCase *c,
          const RateNaming *rates,
          const char *policy,
          double served[CLASSES],
          bool *keeps_rates)
{
  double goodput = 0;

  *keeps_rates = true;

  sim = (Simulation){ .c = c, .rates = *rates };
  sim.events = g_sequence_new (NULL);
  sim.executions = g_ptr_array_new_with_free_func (g_free);
  sim.requesters = g_ptr_array_new_with_free_func (g_free);
  sim.rand = g_rand_new_with_seed (20261204);
  for (int d = 0; d < DOMAINS; d++)
    for (int s = 0; s < SERVICES; s++)
      if (s != ESTIMATOR || d >= c->n_domains_lost)
        add_node (d, (Service)s, policy);
  add_event (EVENT_GOSSIP, 0, NULL);
  add_event (EVENT_TICK, 1, NULL);
  add_callers ();
  while (sim.now < RUN_MS)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (sim.events);
      Event *e = g_sequence_get (first);

      g_sequence_remove (first);
      sim.now = e->at;
      handle_event (e);
      bj_str_free (&e->request.path);
      g_free (e);
    }
  for (int i = 0; i < CLASSES; i++)
    {
      served[i] = sim.n_served[i] / (double)MAX (1, sim.n_callers[i]);
      goodput += class_weight[i] * sim.n_served[i];
    }
  for (GSequenceIter *i = g_sequence_get_begin_iter (sim.events); !g_sequence_iter_is_end (i);
       i = g_sequence_iter_next (i))
    {
      bj_str_free (&((Event *)g_sequence_get (i))->request.path);
      g_free (g_sequence_get (i));
    }
  g_sequence_free (sim.events);
  for (int i = 0; i < sim.n; i++)
    {
      *keeps_rates = check_rate (&sim.nodes[i]) && *keeps_rates;
      g_array_free (sim.nodes[i].starts, TRUE);
      bj_kernel_free (sim.nodes[i].kernel);
    }
  g_ptr_array_free (sim.executions, TRUE);
  g_ptr_array_free (sim.requesters, TRUE);
  g_rand_free (sim.rand);
  return goodput;
}

// Returns the best possible goodput as a share of the offered weight: the classes get the slots of
// the estimators in order of priority.
static double
compute_best_share (const HeavyCase *c)
{
  static const double work_ms[] = { 4 * 22, 36, 4 * 22 };
  double all = 0;
  double room;
  double goodput = 0;
  double offered = 0;

  for (int i = 0; i < CLASSES; i++)
    all += class_share[i] * work_ms[i];
  room = all / c->load * (DOMAINS - c->n_domains_lost) / DOMAINS;
  for (int i = 0; i < CLASSES; i++)
    {
      double fits = CLAMP (room / (class_share[i] * work_ms[i]), 0, 1);

      room -= fits * class_share[i] * work_ms[i];
      goodput += fits * class_share[i] * class_weight[i];
      offered += class_share[i] * class_weight[i];
    }
  return goodput / offered;
}

static double
offered_weight (void)
{
  double goodput = 0;

  for (int i = 0; i < CLASSES; i++)
    goodput += class_weight[i] * sim.n_callers[i];
  return goodput;
}

static bool
check_case (const HeavyCase *c, const RateNaming *rates)
{
  bool good = true;
  double tested[CLASSES];
  double baseline[CLASSES];
  bool keeps_rates;
  bool baseline_keeps_rates;
  double goodput = run_case (c, rates, policy_tested, tested, &keeps_rates);
  double of_best = goodput / offered_weight () / compute_best_share (c);
  double baseline_goodput = run_case (c, rates, policy_baseline, baseline, &baseline_keeps_rates);

  print_message (
      "  %s: served accept %.3f preview %.3f lookup %.3f, %.3f of the best goodput; baseline "
      "%.3f %.3f %.3f, goodput ratio %.2f\n",
      c->name,
      tested[ACCEPT],
      tested[PREVIEW],
      tested[LOOKUP],
      of_best,
      baseline[ACCEPT],
      baseline[PREVIEW],
      baseline[LOOKUP],
      goodput / MAX (1, baseline_goodput));
  for (int k = 0; k < CLASSES; k++)
    good = good && tested[k] >= c->min_served[k];
  good = good && keeps_rates && of_best >= c->min_of_best && goodput >= baseline_goodput
         && tested[ACCEPT] + 0.05 >= tested[LOOKUP];
  return good;
}

static void
test_cases (void **state)
{
  bool good = true;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    good = check_case (&cases[i], &no_rates) && good;
  assert_true (good);
}

static void
test_named_rates (void **state)
{
  bool good = true;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rate_cases); i++)
    good = check_case (&rate_cases[i].heavy, &rate_cases[i].rates) && good;
  assert_true (good);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_cases), cmocka_unit_test (test_named_rates) };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
