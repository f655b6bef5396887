// Queue: holds calls that wait for a slot of the own upstream. Plug-ins "fifo" and
// "priority-deadline"; "fair" is in fair.c.

#include "queue.h"

#define DEPARTURE_WEIGHT 0.05 // weight of the newest departure interval in the smoothed one

// Rate at which calls of one class and of all less important classes leave the queue.
typedef struct
{
  double interval_ms; // smoothed time between two departures
  int n;              // number of intervals, up to 1 / DEPARTURE_WEIGHT
  BjTime since;       // last departure, or when the queue became non-empty for these classes
  int waiting;        // queued calls of these classes
} DepartureRate;

typedef struct
{
  BjQueue base;
  BjQueueOptions o;
  BjQueueOrder *order;
  GHashTable *at; // BjCall* to its GSequenceIter in the order
  int per_class[BJ_CLASSES];
  DepartureRate departures[BJ_CLASSES];
} Queue;

// Order by class and due time, or by arrival.
typedef struct
{
  BjQueueOrder base;
  GSequence *calls; // BjCall*, next to run first
} Sorted;

static BjQueueOrder *new_sorted (const BjQueueOrderOps *ops);
static BjQueue *fifo_create (const BjQueueOptions *o);
static BjQueue *priority_create (const BjQueueOptions *o);
static BjStatus fifo_offer (BjQueue *q, BjTime now, BjCall *c, BjCall **evicted);
static void insert (Queue *q, BjTime now, BjCall *c);
static void remove_at (Queue *q, BjCall *c, GSequenceIter *at, bool runs);
static void record_departure (Queue *q, BjTime now, int klass);
static double departure_interval_ms (const Queue *q, BjTime now, int klass);
static double estimate_wait_ms (const Queue *q, BjTime now, BjCall *c);
static BjTime due_at (const BjCall *c);
static void sorted_destroy (BjQueueOrder *o);
static GSequenceIter *append (BjQueueOrder *o, BjCall *c);
static GSequenceIter *sorted_insert (BjQueueOrder *o, BjCall *c);
static BjCall *sorted_first (BjQueueOrder *o);
static void sorted_remove (BjQueueOrder *o, BjCall *c, GSequenceIter *at, bool runs);
static int sorted_ahead (BjQueueOrder *o, BjCall *c);
static BjCall *sorted_replaced (BjQueueOrder *o, BjCall *c);
static gint by_class_and_due (gconstpointer a, gconstpointer b, gpointer data);

static const BjQueueOps fifo_ops = { fifo_create,
                                     bj_queue_destroy,
                                     bj_queue_configure,
                                     fifo_offer,
                                     bj_queue_take,
                                     bj_queue_remove,
                                     bj_queue_length,
                                     bj_queue_waiting,
                                     bj_queue_wait_ms,
                                     bj_queue_idle,
                                     NULL,
                                     NULL };
static const BjQueueOps priority_ops = { priority_create,
                                         bj_queue_destroy,
                                         bj_queue_configure,
                                         bj_queue_offer,
                                         bj_queue_take,
                                         bj_queue_remove,
                                         bj_queue_length,
                                         bj_queue_waiting,
                                         bj_queue_wait_ms,
                                         bj_queue_idle,
                                         NULL,
                                         NULL };
static const BjQueueOrderOps fifo_order
    = { sorted_destroy, append,          sorted_first, sorted_remove,
        sorted_ahead,   sorted_replaced, NULL,         NULL };
static const BjQueueOrderOps priority_order
    = { sorted_destroy, sorted_insert,   sorted_first, sorted_remove,
        sorted_ahead,   sorted_replaced, NULL,         NULL };

BjQueue *
bj_queue_new (const BjQueueOps *ops, const BjQueueOptions *o, BjQueueOrder *order)
{
  Queue *q = g_new0 (Queue, 1);

  q->base.ops = ops;
  q->o = *o;
  q->order = order;
  q->at = g_hash_table_new (NULL, NULL);
  return &q->base;
}

gint
bj_queue_by_due (gconstpointer a, gconstpointer b, gpointer data)
{
  const BjCall *x = a;
  const BjCall *y = b;

  (void)data;
  if (due_at (x) != due_at (y))
    return due_at (x) < due_at (y) ? -1 : 1;
  return x->id < y->id ? -1 : 1;
}

void
bj_queue_destroy (BjQueue *base)
{
  Queue *q = (Queue *)base;

  q->order->ops->destroy (q->order);
  g_hash_table_destroy (q->at);
  g_free (q);
}

void
bj_queue_configure (BjQueue *q, const BjQueueOptions *o)
{
  ((Queue *)q)->o = *o;
}

// If the queue is full or the wait too long, c replaces the queued call that gives way to it.
BjStatus
bj_queue_offer (BjQueue *base, BjTime now, BjCall *c, BjCall **evicted)
{
  Queue *q = (Queue *)base;
  double wait = estimate_wait_ms (q, now, c);

  *evicted = NULL;
  if (now + wait >= c->deadline)
    return BJ_E_DEADLINE;
  if (bj_queue_length (base) >= q->o.max_length || wait > q->o.max_wait_ms)
    {
      BjCall *replaced = q->order->ops->replaced (q->order, c);

      if (replaced == NULL)
        return BJ_E_OVERLOAD;
      bj_queue_remove (base, replaced);
      replaced->queue_next = NULL;
      *evicted = replaced;
    }
  insert (q, now, c);
  return BJ_OK;
}

BjCall *
bj_queue_take (BjQueue *base, BjTime now)
{
  Queue *q = (Queue *)base;
  BjCall *c = q->order->ops->first (q->order);

  if (c == NULL)
    return NULL;
  record_departure (q, now, c->klass);
  remove_at (q, c, g_hash_table_lookup (q->at, c), true);
  return c;
}

bool
bj_queue_remove (BjQueue *base, BjCall *c)
{
  Queue *q = (Queue *)base;
  GSequenceIter *at = g_hash_table_lookup (q->at, c);

  if (at == NULL)
    return false;
  remove_at (q, c, at, false);
  return true;
}

int
bj_queue_length (const BjQueue *q)
{
  return (int)g_hash_table_size (((const Queue *)q)->at);
}

int
bj_queue_waiting (const BjQueue *base, int klass)
{
  const Queue *q = (const Queue *)base;
  int n = 0;

  for (int i = 0; i <= klass; i++)
    n += q->per_class[i];
  return n;
}

double
bj_queue_wait_ms (const BjQueue *base, BjTime now, int klass)
{
  const Queue *q = (const Queue *)base;

  return MAX (bj_queue_waiting (base, klass) * departure_interval_ms (q, now, 0),
              q->per_class[klass] * departure_interval_ms (q, now, klass));
}

void
bj_queue_idle (BjQueue *base, BjTime now)
{
  Queue *q = (Queue *)base;

  (void)now;
  for (int i = 1; i < BJ_CLASSES; i++)
    {
      q->departures[i].interval_ms = q->departures[0].interval_ms;
      q->departures[i].n = q->departures[0].n;
    }
}

void
bj_queue_learn_run (BjQueue *base, const BjCall *c, double service_ms)
{
  BjQueueOrder *order = ((Queue *)base)->order;

  order->ops->learn_run (order, c, service_ms);
}

int
bj_queue_account_standing (const BjQueue *base, const BjCall *c)
{
  BjQueueOrder *order = ((const Queue *)base)->order;

  return order->ops->account_standing (order, c);
}

static BjQueueOrder *
new_sorted (const BjQueueOrderOps *ops)
{
  Sorted *s = g_new0 (Sorted, 1);

  s->base.ops = ops;
  s->calls = g_sequence_new (NULL);
  return &s->base;
}

static BjQueue *
fifo_create (const BjQueueOptions *o)
{
  return bj_queue_new (&fifo_ops, o, new_sorted (&fifo_order));
}

static BjQueue *
priority_create (const BjQueueOptions *o)
{
  return bj_queue_new (&priority_ops, o, new_sorted (&priority_order));
}

static BjStatus
fifo_offer (BjQueue *base, BjTime now, BjCall *c, BjCall **evicted)
{
  Queue *q = (Queue *)base;

  *evicted = NULL;
  if (bj_queue_length (base) >= q->o.max_length)
    return BJ_E_OVERLOAD;
  insert (q, now, c);
  return BJ_OK;
}

static void
insert (Queue *q, BjTime now, BjCall *c)
{
  g_hash_table_insert (q->at, c, q->order->ops->insert (q->order, c));
  q->per_class[c->klass]++;
  for (int i = 0; i <= c->klass; i++)
    if (q->departures[i].waiting++ == 0)
      q->departures[i].since = now;
}

static void
remove_at (Queue *q, BjCall *c, GSequenceIter *at, bool runs)
{
  q->order->ops->remove (q->order, c, at, runs);
  g_hash_table_remove (q->at, c);
  q->per_class[c->klass]--;
  for (int i = 0; i <= c->klass; i++)
    q->departures[i].waiting--;
}

static void
record_departure (Queue *q, BjTime now, int klass)
{
  for (int i = 0; i <= klass; i++)
    {
      DepartureRate *d = &q->departures[i];
      double interval = MIN (now - d->since, q->o.max_wait_ms);

      d->n = MIN (d->n + 1, (int)(1 / DEPARTURE_WEIGHT));
      d->interval_ms += (interval - d->interval_ms) / d->n;
      d->since = now;
    }
}

// Smoothed departure interval, or the time since the last departure if that is longer.
static double
departure_interval_ms (const Queue *q, BjTime now, int klass)
{
  const DepartureRate *d = &q->departures[klass];

  return d->waiting > 0 ? MAX (d->interval_ms, now - d->since) : d->interval_ms;
}

// Estimated wait of c if it were queued now. The larger of two estimates counts: all calls ahead of
// it at the departure rate of all classes, and those of its own class at the departure rate that
// more important classes leave to it.
static double
estimate_wait_ms (const Queue *q, BjTime now, BjCall *c)
{
  int ahead = q->order->ops->ahead (q->order, c);
  int ahead_own = ahead;

  for (int i = 0; i < c->klass; i++)
    ahead_own -= q->per_class[i];
  return MAX (ahead * departure_interval_ms (q, now, 0),
              ahead_own * departure_interval_ms (q, now, c->klass));
}

// Time of the latency objective, or the deadline if that is sooner or there is no objective.
static BjTime
due_at (const BjCall *c)
{
  return c->objective_ms > 0 ? MIN (c->arrived + c->objective_ms, c->deadline) : c->deadline;
}

static void
sorted_destroy (BjQueueOrder *o)
{
  g_sequence_free (((Sorted *)o)->calls);
  g_free (o);
}

static GSequenceIter *
append (BjQueueOrder *o, BjCall *c)
{
  return g_sequence_append (((Sorted *)o)->calls, c);
}

static GSequenceIter *
sorted_insert (BjQueueOrder *o, BjCall *c)
{
  return g_sequence_insert_sorted (((Sorted *)o)->calls, c, by_class_and_due, NULL);
}

static BjCall *
sorted_first (BjQueueOrder *o)
{
  GSequenceIter *first = g_sequence_get_begin_iter (((Sorted *)o)->calls);

  return g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
}

static void
sorted_remove (BjQueueOrder *o, BjCall *c, GSequenceIter *at, bool runs)
{
  (void)o;
  (void)c;
  (void)runs;
  g_sequence_remove (at);
}

static int
sorted_ahead (BjQueueOrder *o, BjCall *c)
{
  return g_sequence_iter_get_position (
      g_sequence_search (((Sorted *)o)->calls, c, by_class_and_due, NULL));
}

// The last queued call, provided that it is of a less important class.
static BjCall *
sorted_replaced (BjQueueOrder *o, BjCall *c)
{
  GSequenceIter *end = g_sequence_get_end_iter (((Sorted *)o)->calls);
  BjCall *last;

  if (g_sequence_iter_is_begin (end))
    return NULL;
  last = g_sequence_get (g_sequence_iter_prev (end));
  return last->klass > c->klass ? last : NULL;
}

static gint
by_class_and_due (gconstpointer a, gconstpointer b, gpointer data)
{
  const BjCall *x = a;
  const BjCall *y = b;

  return x->klass != y->klass ? x->klass - y->klass : bj_queue_by_due (a, b, data);
}

BJ_PLUGIN (BJ_PLUGIN_QUEUE, "fifo", fifo_ops)
BJ_PLUGIN (BJ_PLUGIN_QUEUE, "priority-deadline", priority_ops)
