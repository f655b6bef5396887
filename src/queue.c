// Queue: calls that wait for a slot of the own upstream. Plug-ins "fifo" and "priority-deadline".

#include "boragejunction.h"

#define DRAIN_WEIGHT 0.05 // of the newest interval in the smoothed one

typedef struct
{
  BjQueue base;
  BjQueueOptions o;
  GSequence *calls; // BjCall*, next to run first
  GHashTable *at;   // BjCall* to its GSequenceIter
  int per_class[BJ_CLASSES];
  double interval_ms; // smoothed time between two slots that came free, 0 before the first
  BjTime drained_at;
} Queue;

static BjQueue *new_queue (const BjQueueOps *ops, const BjQueueOptions *o);
static BjQueue *fifo_create (const BjQueueOptions *o);
static BjQueue *priority_create (const BjQueueOptions *o);
static void destroy (BjQueue *q);
static void configure (BjQueue *q, const BjQueueOptions *o);
static bool fifo_offer (BjQueue *q, BjTime now, BjCall *c, BjCall **evicted);
static bool priority_offer (BjQueue *q, BjTime now, BjCall *c, BjCall **evicted);
static BjCall *take (BjQueue *q, BjTime now);
static bool remove_call (BjQueue *q, BjCall *c);
static int length (const BjQueue *q);
static double wait_ms (const BjQueue *q, BjTime now, int klass);
static void drained (BjQueue *q, BjTime now);
static void insert (Queue *q, BjCall *c, GSequenceIter *at);
static gint by_class_and_deadline (gconstpointer a, gconstpointer b, gpointer data);
static BjCall *lowest (const Queue *q);
static bool fits (const Queue *q, BjTime now, const BjCall *c);

static const BjQueueOps fifo_ops
    = { fifo_create, destroy, configure, fifo_offer, take, remove_call, length, wait_ms, drained };
static const BjQueueOps priority_ops = { priority_create, destroy, configure, priority_offer, take,
                                         remove_call,     length,  wait_ms,   drained };

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

static bool
fifo_offer (BjQueue *base, BjTime now, BjCall *c, BjCall **evicted)
{
  Queue *q = (Queue *)base;

  (void)now;
  *evicted = NULL;
  if (g_sequence_get_length (q->calls) >= q->o.max_length)
    return false;
  insert (q, c, g_sequence_append (q->calls, c));
  return true;
}

static bool
priority_offer (BjQueue *base, BjTime now, BjCall *c, BjCall **evicted)
{
  Queue *q = (Queue *)base;
  BjCall *last;

  *evicted = NULL;
  while (!fits (q, now, c))
    {
      last = lowest (q);
      if (last == NULL || last->klass <= c->klass)
        break;
      remove_call (base, last);
      last->queue_next = *evicted;
      *evicted = last;
    }
  if (*evicted == NULL && !fits (q, now, c))
    return false;
  insert (q, c, g_sequence_insert_sorted (q->calls, c, by_class_and_deadline, NULL));
  return true;
}

static BjCall *
take (BjQueue *base, BjTime now)
{
  Queue *q = (Queue *)base;
  GSequenceIter *first = g_sequence_get_begin_iter (q->calls);
  BjCall *c;

  (void)now;
  if (g_sequence_iter_is_end (first))
    return NULL;
  c = g_sequence_get (first);
  remove_call (base, c);
  return c;
}

static bool
remove_call (BjQueue *base, BjCall *c)
{
  Queue *q = (Queue *)base;
  GSequenceIter *at = g_hash_table_lookup (q->at, c);

  if (at == NULL)
    return false;
  g_sequence_remove (at);
  g_hash_table_remove (q->at, c);
  q->per_class[c->klass]--;
  return true;
}

static int
length (const BjQueue *q)
{
  return g_sequence_get_length (((const Queue *)q)->calls);
}

static double
wait_ms (const BjQueue *base, BjTime now, int klass)
{
  const Queue *q = (const Queue *)base;
  int ahead = 0;

  (void)now;
  for (int i = 0; i <= klass; i++)
    ahead += q->per_class[i];
  return ahead * q->interval_ms;
}

static void
drained (BjQueue *base, BjTime now)
{
  Queue *q = (Queue *)base;
  double interval = now - q->drained_at;

  if (q->drained_at > 0 && g_sequence_get_length (q->calls) > 0)
    q->interval_ms += DRAIN_WEIGHT * (interval - q->interval_ms);
  q->drained_at = now;
}

static void
insert (Queue *q, BjCall *c, GSequenceIter *at)
{
  g_hash_table_insert (q->at, c, at);
  q->per_class[c->klass]++;
}

static gint
by_class_and_deadline (gconstpointer a, gconstpointer b, gpointer data)
{
  const BjCall *x = a;
  const BjCall *y = b;

  (void)data;
  if (x->klass != y->klass)
    return x->klass - y->klass;
  if (x->deadline != y->deadline)
    return x->deadline < y->deadline ? -1 : 1;
  return x->id < y->id ? -1 : 1;
}

static BjCall *
lowest (const Queue *q)
{
  GSequenceIter *end = g_sequence_get_end_iter (q->calls);

  if (g_sequence_iter_is_begin (end))
    return NULL;
  return g_sequence_get (g_sequence_iter_prev (end));
}

static bool
fits (const Queue *q, BjTime now, const BjCall *c)
{
  double wait = wait_ms (&q->base, now, c->klass);

  if (g_sequence_get_length (q->calls) >= q->o.max_length)
    return false;
  return wait <= q->o.max_wait_ms && now + wait < c->deadline;
}

BJ_PLUGIN (BJ_PLUGIN_QUEUE, "fifo", fifo_ops)
BJ_PLUGIN (BJ_PLUGIN_QUEUE, "priority-deadline", priority_ops)
