// Account: client accounts of a configuration, found by key or by name. No I/O; does not know the
// kernel.

#pragma once

#include "boragejunction.h"

typedef struct
{
  BjStr name;        // unique in the configuration
  uint64_t hash;     // of the name
  int klass;         // class of its calls, -1 for that of the route
  double rate_per_s; // requests a second that all daemons together admit, 0 for no limit
  double burst;      // requests above the rate that may be admitted at once
  int n_keys;
} BjAccount;

typedef struct BjAccounts BjAccounts;

struct json_object;

BjStatus bj_accounts_check_type (
    struct json_object *o); // Call before other checks of a configuration or ticket, whose messages
                            // show a value of a wrong type; BJ_E_TICKET
BjStatus bj_accounts_parse (struct json_object *o,
                            const GPtrArray *classes, // char*, index is the class
                            bool is_in_force, // leaves out a broken account instead of failing
                            int *n_left_out,
                            BjAccounts **a);        // *a is NULL if o has no accounts; BJ_E_TICKET
void bj_accounts_hide_keys (struct json_object *o); // Replaces the keys of each account in a
                                                    // configuration or ticket by their number
void bj_accounts_free (BjAccounts *a);              // NULL is ignored
int bj_accounts_count (const BjAccounts *a);        // 0 for NULL
const BjAccount *bj_accounts_at (const BjAccounts *a, int i);
const BjAccount *bj_accounts_find (const BjAccounts *a, BjStr name); // NULL when unknown
const BjAccount *bj_accounts_find_key (const BjAccounts *a,
                                       BjStr key); // NULL when unknown; time does not depend on
                                                   // the content of key
