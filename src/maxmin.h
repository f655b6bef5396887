// Maxmin: max-min fair parts of the accounts in the arrivals at a front. Plain values in, a
// decision out; does not know the kernel.

#pragma once

#include "boragejunction.h"

typedef struct BjMaxmin BjMaxmin;

BjMaxmin *bj_maxmin_new (void);
void bj_maxmin_free (BjMaxmin *m);
void bj_maxmin_count (BjMaxmin *m,
                      BjTime now,
                      int klass,
                      uint64_t account, // hash of its name
                      bool is_retry);   // Counts an arrival; is_retry: timely, of a refused call
double bj_maxmin_admitted_share (BjMaxmin *m,
                                 BjTime now,
                                 int klass,
                                 uint64_t account,
                                 bool is_retry,
                                 double shed_share); // Share of the account's retries, or of its
                                                     // other arrivals, to admit when shed_share of
                                                     // all arrivals of the class are shed
bool bj_maxmin_is_above (const BjMaxmin *m,
                         int klass,
                         uint64_t account); // Far more arrivals than most accounts of the class
void bj_maxmin_result (BjMaxmin *m,
                       BjTime now,
                       int klass,
                       uint64_t account,
                       bool refused); // An admitted call ended; refused: for lack of capacity, it
                                      // or a call that it made
int bj_maxmin_accounts (const BjMaxmin *m); // Accounts that are counted now
