// Fair: queue plug-in "fair". Class first, then capacity by account by deficit round robin, then
// due time. Calls without an account count as those of one account.
//
// An account pays for a call when the call starts, with the usual time of a run of its route in
// multiples of the mean run. It gets one mean run a round and is passed over while it owes more.
// Paying afterwards lets the only call of an account start in its first round even if its run is
// long; an account whose queue became empty therefore stays in the round until it owes nothing.

#include "queue.h"

#define COST_MAX 8.0    // highest and, as 1 / COST_MAX, lowest cost of a call, in mean runs
#define RUN_WEIGHT 0.05 // weight of the newest run in the smoothed time of a run
#define ABOVE_RATIO 2   // an account above the mean is above its part from the most calls over this
#define BELOW_RATIO 4   // an account is far below its part below the most calls over this
#define ROUTES_MAX 256  // routes whose run time is kept; the others cost one mean run

// Queued calls of one account in one class.
typedef struct
{
  int64_t account;  // hash of its name
  GSequence *calls; // BjCall*, by due time
  double credit;    // mean runs that it may start, negative if it owes some
  GList link;       // in the round of its class
} Share;

typedef struct
{
  GHashTable *shares; // hash of an account, in Share, to Share*
  GQueue round;       // Share*, next to run first
  int n;              // queued calls
} Class;

typedef struct
{
  BjQueueOrder base;
  Class classes[BJ_CLASSES];
  GHashTable *run_ms; // hash of a route to the smoothed time of its runs, as double
  double mean_run_ms; // smoothed time of a run of any route, 0 before the first
} Fair;

static BjQueue *create (const BjQueueOptions *o);
static void destroy (BjQueueOrder *o);
static GSequenceIter *insert (BjQueueOrder *o, BjCall *c);
static BjCall *first (BjQueueOrder *o);
static void remove_call (BjQueueOrder *o, BjCall *c, GSequenceIter *at, bool runs);
static int ahead (BjQueueOrder *o, BjCall *c);
static BjCall *replaced (BjQueueOrder *o, BjCall *c);
static void learn_run (BjQueueOrder *o, const BjCall *c, double service_ms);
static int account_standing (BjQueueOrder *o, const BjCall *c);
static Share *find_share (Class *k, const BjCall *c);
static Share *add_share (Class *k, const BjCall *c);
static void end_turn (Class *k, Share *s);
static void remove_share (Class *k, Share *s);
static void free_share (gpointer share);
static void clear_round (Class *k);
static BjCall *next_of_class (Class *k);
static Share *largest_share (Class *k);
static BjCall *last_call (const Share *s);
static double cost_of (const Fair *f, const BjCall *c);
static void smooth_run (double *mean_ms, double service_ms);

static const BjQueueOps fair_ops
    = { create,           bj_queue_destroy, bj_queue_configure, bj_queue_offer,
        bj_queue_take,    bj_queue_remove,  bj_queue_length,    bj_queue_waiting,
        bj_queue_wait_ms, bj_queue_idle,    bj_queue_learn_run, bj_queue_account_standing };
static const BjQueueOrderOps order_ops
    = { destroy, insert, first, remove_call, ahead, replaced, learn_run, account_standing };

static BjQueue *
create (const BjQueueOptions *o)
{
  Fair *f = g_new0 (Fair, 1);

  f->base.ops = &order_ops;
  for (int i = 0; i < BJ_CLASSES; i++)
    f->classes[i].shares = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_share);
  f->run_ms = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return bj_queue_new (&fair_ops, o, &f->base);
}

static void
destroy (BjQueueOrder *o)
{
  Fair *f = (Fair *)o;

  for (int i = 0; i < BJ_CLASSES; i++)
    g_hash_table_destroy (f->classes[i].shares);
  g_hash_table_destroy (f->run_ms);
  g_free (f);
}

static GSequenceIter *
insert (BjQueueOrder *o, BjCall *c)
{
  Class *k = &((Fair *)o)->classes[c->klass];
  Share *s = find_share (k, c);

  if (s == NULL)
    s = add_share (k, c);
  k->n++;
  return g_sequence_insert_sorted (s->calls, c, bj_queue_by_due, NULL);
}

static BjCall *
first (BjQueueOrder *o)
{
  Fair *f = (Fair *)o;

  for (int i = 0; i < BJ_CLASSES; i++)
    if (f->classes[i].n > 0)
      return next_of_class (&f->classes[i]);
  return NULL;
}

static void
remove_call (BjQueueOrder *o, BjCall *c, GSequenceIter *at, bool runs)
{
  Fair *f = (Fair *)o;
  Class *k = &f->classes[c->klass];
  Share *s = find_share (k, c);

  g_sequence_remove (at);
  k->n--;
  if (runs)
    {
      s->credit -= cost_of (f, c);
      if (s->credit <= 0)
        end_turn (k, s);
    }
  if (k->n == 0)
    clear_round (k);
  else if (g_sequence_is_empty (s->calls) && s->credit >= 0)
    remove_share (k, s);
}

// Counts one call of each account for each round until c's turn, as if all calls cost the same.
static int
ahead (BjQueueOrder *o, BjCall *c)
{
  Fair *f = (Fair *)o;
  Class *k = &f->classes[c->klass];
  Share *own = find_share (k, c);
  bool is_before = true; // the share has its turn before c's account
  int own_ahead = 0;
  int n = 0;

  for (int i = 0; i < c->klass; i++)
    n += f->classes[i].n;
  if (own != NULL)
    own_ahead
        = g_sequence_iter_get_position (g_sequence_search (own->calls, c, bj_queue_by_due, NULL));
  for (GList *l = k->round.head; l != NULL; l = l->next)
    {
      Share *s = l->data;

      if (s == own)
        is_before = false;
      else
        n += MIN (g_sequence_get_length (s->calls), own_ahead + is_before);
    }
  return n + own_ahead;
}

// The last call of the account that has most calls in the least important class, provided that this
// class is less important than c's, or that the account would still have most with c queued.
static BjCall *
replaced (BjQueueOrder *o, BjCall *c)
{
  Fair *f = (Fair *)o;
  Share *own = find_share (&f->classes[c->klass], c);
  int n_own = own != NULL ? g_sequence_get_length (own->calls) : 0;
  Share *largest;

  for (int i = BJ_CLASSES - 1; i > c->klass; i--)
    if (f->classes[i].n > 0)
      return last_call (largest_share (&f->classes[i]));
  largest = largest_share (&f->classes[c->klass]);
  if (largest == NULL || largest == own || g_sequence_get_length (largest->calls) <= n_own + 1)
    return NULL;
  return last_call (largest);
}

static void
learn_run (BjQueueOrder *o, const BjCall *c, double service_ms)
{
  Fair *f = (Fair *)o;
  double *run_ms = g_hash_table_lookup (f->run_ms, &c->route);

  smooth_run (&f->mean_run_ms, service_ms);
  if (run_ms == NULL && g_hash_table_size (f->run_ms) < ROUTES_MAX)
    {
      run_ms = g_new0 (double, 1);
      g_hash_table_insert (f->run_ms, g_memdup2 (&c->route, sizeof c->route), run_ms);
    }
  if (run_ms != NULL)
    smooth_run (run_ms, service_ms);
}

static int
account_standing (BjQueueOrder *o, const BjCall *c)
{
  Class *k = &((Fair *)o)->classes[c->klass];
  Share *own = find_share (k, c);
  int n_own = own != NULL ? g_sequence_get_length (own->calls) : 0;
  int n_accounts = (int)g_hash_table_size (k->shares);
  int n_most;

  if (k->n == 0)
    return 0;
  n_most = g_sequence_get_length (largest_share (k)->calls);
  if (n_own * n_accounts > k->n && n_own * ABOVE_RATIO >= n_most)
    return 1;
  return (n_own + 1) * BELOW_RATIO < n_most ? -1 : 0;
}

static Share *
find_share (Class *k, const BjCall *c)
{
  int64_t account = (int64_t)bj_str_hash (c->request.account);

  return g_hash_table_lookup (k->shares, &account);
}

static Share *
add_share (Class *k, const BjCall *c)
{
  Share *s = g_new0 (Share, 1);

  s->account = (int64_t)bj_str_hash (c->request.account);
  s->calls = g_sequence_new (NULL);
  s->link.data = s;
  g_queue_push_tail_link (&k->round, &s->link);
  g_hash_table_insert (k->shares, &s->account, s);
  return s;
}

static void
end_turn (Class *k, Share *s)
{
  g_queue_unlink (&k->round, &s->link);
  g_queue_push_tail_link (&k->round, &s->link);
}

static void
remove_share (Class *k, Share *s)
{
  g_queue_unlink (&k->round, &s->link);
  g_hash_table_remove (k->shares, &s->account);
}

static void
free_share (gpointer share)
{
  Share *s = share;

  g_sequence_free (s->calls);
  g_free (s);
}

// Without queued calls there is no shortage, so debts are forgotten.
static void
clear_round (Class *k)
{
  g_queue_init (&k->round);
  g_hash_table_remove_all (k->shares);
}

// Each pass over the round raises the credits by one, so a call is found after COST_MAX passes.
static BjCall *
next_of_class (Class *k)
{
  for (;;)
    {
      Share *s = g_queue_peek_head (&k->round);
      bool has_calls = !g_sequence_is_empty (s->calls);

      if (has_calls && s->credit > 0)
        return g_sequence_get (g_sequence_get_begin_iter (s->calls));
      if (!has_calls && s->credit >= 0)
        {
          remove_share (k, s);
          continue;
        }
      s->credit++;
      if (s->credit <= 0)
        end_turn (k, s);
    }
}

static Share *
largest_share (Class *k)
{
  Share *largest = NULL;

  for (GList *l = k->round.head; l != NULL; l = l->next)
    {
      Share *s = l->data;

      if (largest == NULL
          || g_sequence_get_length (s->calls) > g_sequence_get_length (largest->calls))
        largest = s;
    }
  return largest;
}

static BjCall *
last_call (const Share *s)
{
  return g_sequence_get (g_sequence_iter_prev (g_sequence_get_end_iter (s->calls)));
}

static double
cost_of (const Fair *f, const BjCall *c)
{
  const double *run_ms = g_hash_table_lookup (f->run_ms, &c->route);

  if (run_ms == NULL || f->mean_run_ms <= 0)
    return 1;
  return CLAMP (*run_ms / f->mean_run_ms, 1 / COST_MAX, COST_MAX);
}

static void
smooth_run (double *mean_ms, double service_ms)
{
  *mean_ms += (service_ms - *mean_ms) * (*mean_ms > 0 ? RUN_WEIGHT : 1);
}

BJ_PLUGIN (BJ_PLUGIN_QUEUE, "fair", fair_ops)
