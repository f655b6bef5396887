// Cost: what an action costs at the service below it that is nearest to full, and admission of
// whole actions at a front. Plain values in, a decision out; does not know the kernel.

#pragma once

#include "boragejunction.h"

typedef struct BjCost BjCost;

BjCost *bj_cost_new (void);
void bj_cost_free (BjCost *c);
void bj_cost_learn (BjCost *c,
                    BjTime now,
                    uint64_t route,
                    const BjDemand *d,
                    double response_ms); // Learns from a response to a call of the route
BjDemand bj_cost_of (const BjCost *c,
                     BjTime now,
                     uint64_t route); // What was learned of the route; service 0 if nothing recent
bool bj_cost_admit (BjCost *c,
                    BjTime now,
                    uint64_t route,
                    int klass,
                    bool is_retry,           // timely, of a refused action; goes first
                    double *retry_after_ms); // Decides about one action; sets *retry_after_ms if
                                             // it is refused
