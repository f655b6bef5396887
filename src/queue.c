// Queue: holds calls that wait for a slot of the own upstream. Plug-ins "fifo" and
// "priority-deadline".

#include "boragejunction.h"

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
  GSequence *calls; // BjCall*, next to run first
  GHashTable *at;   // BjCall* to its GSequenceIter
  int per_class[BJ_CLASSES];
  DepartureRate departures[BJ_CLASSES];
} Queue;

static BjQueue *new_queue (const BjQueueOps *ops, const BjQueueOptions *o);
static BjQueue *fifo_create (const BjQueueOptions *o);
static BjQueue *priority_create (const BjQueueOptions *o);
static void destroy (BjQueue *q);
static void configure (BjQueue *q, const BjQueueOptions *o);
static BjStatus fifo_offer (BjQueue *q, BjTime now, BjCall *c, BjCall **evicted);
static BjStatus priority_offer (BjQueue *q, BjTime now, BjCall *c, BjCall **evicted);
static BjCall *take (BjQueue *q, BjTime now);
static bool remove_call (BjQueue *q, BjCall *c);
static int length (const BjQueue *q);
static int waiting (const BjQueue *q, int klass);
static double wait_ms (const BjQueue *q, BjTime now, int klass);
static void idle (BjQueue *q, BjTime now);
static void insert_at (Queue *q, BjTime now, BjCall *c, GSequenceIter *at);
static void remove_at (Queue *q, BjCall *c, GSequenceIter *at);
static void record_departure (Queue *q, BjTime now, int klass);
static double departure_interval_ms (const Queue *q, BjTime now, int klass);
static gint by_class_and_due (gconstpointer a, gconstpointer b, gpointer data);
static BjTime due_at (const BjCall *c);
static BjCall *last_call (const Queue *q);
static double estimate_wait_ms (const Queue *q, BjTime now, BjCall *c);

static const BjQueueOps fifo_ops = { fifo_create, destroy, configure, fifo_offer, take,
                                     remove_call, length,  waiting,   wait_ms,    idle };
static const BjQueueOps priority_ops
    = { priority_create, destroy, configure, priority_offer, take,
        remove_call,     length,  waiting,   wait_ms,        idle };

static BjQueue *
new_queue (const BjQueueOps *ops, const BjQueueOptions *o)
{
  Queue *q = g_new0 (Queue, 1);

  q->base.ops = ops;
  q->o = *o;
  q->calls = g_sequence_new (NULL);
  q->at = g_hash_table_new (NULL, NULL);
  return &q->base;
}

static BjQueue *
fifo_create (const BjQueueOptions *o)
{
  return new_queue (&fifo_ops, o);
}

static BjQueue *
priority_create (const BjQueueOptions *o)
{
  return new_queue (&priority_ops, o);
}

static void
destroy (BjQueue *base)
{
  Queue *q = (Queue *)base;

  g_sequence_free (q->calls);
  g_hash_table_destroy (q->at);
  g_free (q);
}

static void
configure (BjQueue *q, const BjQueueOptions *o)
{
  ((Queue *)q)->o = *o;
}

static BjStatus
fifo_offer (BjQueue *base, BjTime now, BjCall *c, BjCall **evicted)
{
  Queue *q = (Queue *)base;

  *evicted = NULL;
  if (g_sequence_get_length (q->calls) >= q->o.max_length)
    return BJ_E_OVERLOAD;
  insert_at (q, now, c, g_sequence_append (q->calls, c));
  return BJ_OK;
}

// If the queue is full or the wait too long, c replaces the last queued call, provided that this
// call is of a less important class.
static BjStatus
priority_offer (BjQueue *base, BjTime now, BjCall *c, BjCall **evicted)
{
  Queue *q = (Queue *)base;
  double wait = estimate_wait_ms (q, now, c);
  bool is_full = g_sequence_get_length (q->calls) >= q->o.max_length;
  BjCall *last = last_call (q);

  *evicted = NULL;
  if (now + wait >= c->deadline)
    return BJ_E_DEADLINE;
  if (is_full || wait > q->o.max_wait_ms)
    {
      if (last == NULL || last->klass <= c->klass)
        return BJ_E_OVERLOAD;
      remove_call (base, last);
      last->queue_next = NULL;
      *evicted = last;
    }
  insert_at (q, now, c, g_sequence_insert_sorted (q->calls, c, by_class_and_due, NULL));
  return BJ_OK;
}

static BjCall *
take (BjQueue *base, BjTime now)
{
  Queue *q = (Queue *)base;
  GSequenceIter *first = g_sequence_get_begin_iter (q->calls);
  BjCall *c;

  if (g_sequence_iter_is_end (first))
    return NULL;
  c = g_sequence_get (first);
  record_departure (q, now, c->klass);
  remove_at (q, c, first);
  return c;
}

static bool
remove_call (BjQueue *base, BjCall *c)
{
  Queue *q = (Queue *)base;
  GSequenceIter *at = g_hash_table_lookup (q->at, c);

  if (at == NULL)
    return false;
  remove_at (q, c, at);
  return true;
}

static int
length (const BjQueue *q)
{
  return g_sequence_get_length (((const Queue *)q)->calls);
}

static int
waiting (const BjQueue *base, int klass)
{
  const Queue *q = (const Queue *)base;
  int n = 0;

  for (int i = 0; i <= klass; i++)
    n += q->per_class[i];
  return n;
}

static double
wait_ms (const BjQueue *base, BjTime now, int klass)
{
  const Queue *q = (const Queue *)base;

  return MAX (waiting (base, klass) * departure_interval_ms (q, now, 0),
              q->per_class[klass] * departure_interval_ms (q, now, klass));
}

static void
idle (BjQueue *base, BjTime now)
{
  Queue *q = (Queue *)base;

  (void)now;
  for (int i = 1; i < BJ_CLASSES; i++)
    {
      q->departures[i].interval_ms = q->departures[0].interval_ms;
      q->departures[i].n = q->departures[0].n;
    }
}

static void
insert_at (Queue *q, BjTime now, BjCall *c, GSequenceIter *at)
{
  g_hash_table_insert (q->at, c, at);
  q->per_class[c->klass]++;
  for (int i = 0; i <= c->klass; i++)
    if (q->departures[i].waiting++ == 0)
      q->departures[i].since = now;
}

static void
remove_at (Queue *q, BjCall *c, GSequenceIter *at)
{
  g_sequence_remove (at);
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

static gint
by_class_and_due (gconstpointer a, gconstpointer b, gpointer data)
{
  const BjCall *x = a;
  const BjCall *y = b;

  (void)data;
  if (x->klass != y->klass)
    return x->klass - y->klass;
  if (due_at (x) != due_at (y))
    return due_at (x) < due_at (y) ? -1 : 1;
  return x->id < y->id ? -1 : 1;
}

// Time of the latency objective, or the deadline if that is sooner or there is no objective.
static BjTime
due_at (const BjCall *c)
{
  return c->objective_ms > 0 ? MIN (c->arrived + c->objective_ms, c->deadline) : c->deadline;
}

static BjCall *
last_call (const Queue *q)
{
  GSequenceIter *end = g_sequence_get_end_iter (q->calls);

  if (g_sequence_iter_is_begin (end))
    return NULL;
  return g_sequence_get (g_sequence_iter_prev (end));
}

// Estimated wait of c if it were queued now. The larger of two estimates counts: all calls ahead of
// it at the departure rate of all classes, and those of its own class at the departure rate that
// more important classes leave to it.
static double
estimate_wait_ms (const Queue *q, BjTime now, BjCall *c)
{
  GSequenceIter *at = g_sequence_search (q->calls, c, by_class_and_due, NULL);
  int ahead = g_sequence_iter_get_position (at);
  int ahead_own = ahead;

  for (int i = 0; i < c->klass; i++)
    ahead_own -= q->per_class[i];
  return MAX (ahead * departure_interval_ms (q, now, 0),
              ahead_own * departure_interval_ms (q, now, c->klass));
}

BJ_PLUGIN (BJ_PLUGIN_QUEUE, "fifo", fifo_ops)
BJ_PLUGIN (BJ_PLUGIN_QUEUE, "priority-deadline", priority_ops)
