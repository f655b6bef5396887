// Queue: calls that wait for a slot of the own upstream. Plug-ins "fifo" and "priority-deadline".

#include "boragejunction.h"

#define DRAIN_WEIGHT 0.05 // of the newest interval in the smoothed one

// How fast calls of one class or a lower one leave the queue.
typedef struct
{
  double interval_ms; // smoothed time between two of them
  int n;              // intervals it was learned from, up to 1 / DRAIN_WEIGHT
  BjTime since;       // when the last one left or the first one came to wait
  int waiting;        // calls
} Drain;

typedef struct
{
  BjQueue base;
  BjQueueOptions o;
  GSequence *calls; // BjCall*, next to run first
  GHashTable *at;   // BjCall* to its GSequenceIter
  int per_class[BJ_CLASSES];
  Drain drains[BJ_CLASSES];
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
static void drained (BjQueue *q, BjTime now);
static void insert (Queue *q, BjTime now, BjCall *c, GSequenceIter *at);
static void leave (Queue *q, BjCall *c, GSequenceIter *at);
static void note_drain (Queue *q, BjTime now, int klass);
static double interval_ms (const Queue *q, BjTime now, int klass);
static gint by_class_and_due (gconstpointer a, gconstpointer b, gpointer data);
static BjTime due_at (const BjCall *c);
static BjCall *lowest (const Queue *q);
static double wait_of (const Queue *q, BjTime now, BjCall *c);

static const BjQueueOps fifo_ops = { fifo_create, destroy, configure, fifo_offer, take,
                                     remove_call, length,  waiting,   wait_ms,    drained };
static const BjQueueOps priority_ops
    = { priority_create, destroy, configure, priority_offer, take,
        remove_call,     length,  waiting,   wait_ms,        drained };

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
  insert (q, now, c, g_sequence_append (q->calls, c));
  return BJ_OK;
}

// A call that does not fit takes the place of the latest one of the lowest class below its own.
static BjStatus
priority_offer (BjQueue *base, BjTime now, BjCall *c, BjCall **evicted)
{
  Queue *q = (Queue *)base;
  double wait = wait_of (q, now, c);
  bool is_full = g_sequence_get_length (q->calls) >= q->o.max_length;
  BjCall *last = lowest (q);

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
  insert (q, now, c, g_sequence_insert_sorted (q->calls, c, by_class_and_due, NULL));
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
  note_drain (q, now, c->klass);
  leave (q, c, first);
  return c;
}

static bool
remove_call (BjQueue *base, BjCall *c)
{
  Queue *q = (Queue *)base;
  GSequenceIter *at = g_hash_table_lookup (q->at, c);

  if (at == NULL)
    return false;
  leave (q, c, at);
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

  return MAX (waiting (base, klass) * interval_ms (q, now, 0),
              q->per_class[klass] * interval_ms (q, now, klass));
}

static void
drained (BjQueue *base, BjTime now)
{
  Queue *q = (Queue *)base;

  (void)now;
  for (int i = 1; i < BJ_CLASSES; i++)
    {
      q->drains[i].interval_ms = q->drains[0].interval_ms;
      q->drains[i].n = q->drains[0].n;
    }
}

static void
insert (Queue *q, BjTime now, BjCall *c, GSequenceIter *at)
{
  g_hash_table_insert (q->at, c, at);
  q->per_class[c->klass]++;
  for (int i = 0; i <= c->klass; i++)
    if (q->drains[i].waiting++ == 0)
      q->drains[i].since = now;
}

static void
leave (Queue *q, BjCall *c, GSequenceIter *at)
{
  g_sequence_remove (at);
  g_hash_table_remove (q->at, c);
  q->per_class[c->klass]--;
  for (int i = 0; i <= c->klass; i++)
    q->drains[i].waiting--;
}

static void
note_drain (Queue *q, BjTime now, int klass)
{
  for (int i = 0; i <= klass; i++)
    {
      Drain *d = &q->drains[i];
      double interval = MIN (now - d->since, q->o.max_wait_ms);

      d->n = MIN (d->n + 1, (int)(1 / DRAIN_WEIGHT));
      d->interval_ms += (interval - d->interval_ms) / d->n;
      d->since = now;
    }
}

// While nothing leaves, the time that this takes counts.
static double
interval_ms (const Queue *q, BjTime now, int klass)
{
  const Drain *d = &q->drains[klass];

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

// When its answer is worth most, if it has such a time.
static BjTime
due_at (const BjCall *c)
{
  return c->objective_ms > 0 ? MIN (c->arrived + c->objective_ms, c->deadline) : c->deadline;
}

static BjCall *
lowest (const Queue *q)
{
  GSequenceIter *end = g_sequence_get_end_iter (q->calls);

  if (g_sequence_iter_is_begin (end))
    return NULL;
  return g_sequence_get (g_sequence_iter_prev (end));
}

// Of a call that would be inserted now: the calls ahead of it at the rate at which calls leave, and
// those of its class at the rate that higher classes leave to it.
static double
wait_of (const Queue *q, BjTime now, BjCall *c)
{
  GSequenceIter *at = g_sequence_search (q->calls, c, by_class_and_due, NULL);
  int ahead = g_sequence_iter_get_position (at);
  int ahead_own = ahead;

  for (int i = 0; i < c->klass; i++)
    ahead_own -= q->per_class[i];
  return MAX (ahead * interval_ms (q, now, 0), ahead_own * interval_ms (q, now, c->klass));
}

BJ_PLUGIN (BJ_PLUGIN_QUEUE, "fifo", fifo_ops)
BJ_PLUGIN (BJ_PLUGIN_QUEUE, "priority-deadline", priority_ops)
