// Access: checks the keys of client accounts at a front and finds the account of a call.

#pragma once

#include "account.h"
#include "kernel.h"

#define BJ_ACCOUNT_SERIES_MAX 16 // accounts with metrics of their own, the others are summed

BjStatus bj_access_admit (BjKernel *k,
                          BjTime now,
                          BjCall *c,
                          const BjRoute *r); // Front: sets the account and class of c, whose parent
                                             // has been sought; BJ_E_UNAUTHORIZED, BJ_E_NO_UPSTREAM
BjStatus bj_access_check_again (BjKernel *k,
                                BjTime now,
                                BjCall *c); // Front: before an attempt; the same codes
const BjAccount *bj_access_account (const BjKernel *k,
                                    const BjCall *c); // Of c in the configuration in force, or NULL
void bj_access_note_config (BjKernel *k,
                            BjTime now,
                            int64_t number); // A configuration of this number exists
void bj_access_configure (BjKernel *k);      // Call after another configuration is in force
void bj_access_clear (BjKernel *k);
void bj_access_count_answer (BjKernel *k, const BjCall *c, BjStatus code); // Counts c's end
uint64_t bj_access_calls (const BjKernel *k, BjStr account);   // Calls of callers that have ended
uint64_t bj_access_refused (const BjKernel *k, BjStr account); // Calls refused with BJ_E_RATE
void bj_access_print_metrics (const BjKernel *k, GString *out);
