// Queue: what the queue plug-ins share: limits of admission, estimates of waits, counts by class. A
// plug-in adds the order in which calls run and which call gives way to a more important one.

#pragma once

#include "boragejunction.h"

typedef struct BjQueueOrder BjQueueOrder;

typedef struct
{
  void (*destroy) (BjQueueOrder *o);
  GSequenceIter *(*insert) (BjQueueOrder *o, BjCall *c); // the queue keeps the position of c
  BjCall *(*first) (BjQueueOrder *o);                    // the call to run next, NULL if empty
  void (*remove) (BjQueueOrder *o,
                  BjCall *c,
                  GSequenceIter *at,
                  bool runs);                       // runs: c was returned by first and starts
  int (*ahead) (BjQueueOrder *o, BjCall *c);        // queued calls that would run before c
  BjCall *(*replaced) (BjQueueOrder *o, BjCall *c); // queued call that gives way to c, or NULL
  void (*learn_run) (BjQueueOrder *o, const BjCall *c, double service_ms); // as in BjQueueOps
  int (*account_standing) (BjQueueOrder *o, const BjCall *c);              // as in BjQueueOps
} BjQueueOrderOps;

struct BjQueueOrder
{
  const BjQueueOrderOps *ops;
};

BjQueue *bj_queue_new (const BjQueueOps *ops,
                       const BjQueueOptions *o,
                       BjQueueOrder *order); // Takes ownership of order
gint bj_queue_by_due (gconstpointer a,
                      gconstpointer b,
                      gpointer data); // BjCall: by objective or deadline, then by id

// Functions for the table of operations of a queue plug-in
void bj_queue_destroy (BjQueue *q);
void bj_queue_configure (BjQueue *q, const BjQueueOptions *o);
BjStatus bj_queue_offer (BjQueue *q, BjTime now, BjCall *c, BjCall **evicted);
BjCall *bj_queue_take (BjQueue *q, BjTime now);
bool bj_queue_remove (BjQueue *q, BjCall *c);
int bj_queue_length (const BjQueue *q);
int bj_queue_waiting (const BjQueue *q, int klass);
double bj_queue_wait_ms (const BjQueue *q, BjTime now, int klass);
void bj_queue_idle (BjQueue *q, BjTime now);
void bj_queue_learn_run (BjQueue *q, const BjCall *c, double service_ms);
int bj_queue_account_standing (const BjQueue *q, const BjCall *c);
