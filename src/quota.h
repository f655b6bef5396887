// Quota: rate limits of client accounts over all daemons together. Decisions and state only: no
// I/O, does not know the kernel. See docs/design/account-rates.md.

#pragma once

#include "account.h"
#include <msgpack.h>

#define BJ_QUOTA_TICK_MS 25        // between two rounds of bj_quota_next_report
#define BJ_QUOTA_WINDOW_MS 5000    // window over which a rate is enforced
#define BJ_QUOTA_ENTRIES_MAX 256   // accounts in one report
#define BJ_QUOTA_MESSAGE_MAX 32768 // bytes of one message

typedef struct BjQuota BjQuota;

typedef struct
{
  BjStr name;
  BjStr domain;
  bool is_up; // alive or suspected; false for dead. Members that left are not listed
} BjQuotaMember;

typedef struct
{
  double use;    // requests a second admitted here in the last window
  double level;  // of the account's bucket, below 0 when too much ran
  double demand; // requests a second that arrive at all daemons that are heard
  double share;  // of the rate that this daemon has without further reports, 0 to 1
  uint64_t n_refused;
} BjQuotaUse;

BjQuota *bj_quota_new (BjStr name, BjStr domain, uint64_t start, BjTime now); // Strings are copied
void bj_quota_free (BjQuota *q);                                              // Ignores NULL
void bj_quota_configure (BjQuota *q,
                         BjTime now,
                         const BjAccount *const *accounts,
                         int n); // Copies hash, rate and burst; keeps the state of known accounts
void bj_quota_set_members (BjQuota *q,
                           const BjQuotaMember *m, // copied; itself included
                           int n,
                           bool is_alone);  // No other member is expected to exist
bool bj_quota_is_needed (const BjQuota *q); // Some account has a rate
bool bj_quota_admit (BjQuota *q,
                     BjTime now,
                     uint64_t account,               // hash of the name
                     double *retry_after_ms);        // Set if the result is false
void bj_quota_refund (BjQuota *q, uint64_t account); // An admitted request did not run
bool bj_quota_use (BjQuota *q,
                   BjTime now,
                   uint64_t account,
                   BjQuotaUse *u); // False if the account has no limit
bool bj_quota_next_report (BjQuota *q,
                           BjTime now,
                           BjStr *to,             // borrowed until the members change
                           msgpack_sbuffer *out); // Appends a report; call until it returns false
bool bj_quota_take_report (BjQuota *q,
                           BjTime now,
                           BjStr from,
                           BjStr bytes,
                           msgpack_sbuffer *reply); // Appends the totals; false if rejected
bool bj_quota_take_totals (BjQuota *q,
                           BjTime now,
                           BjStr from,
                           BjStr bytes);  // Empty bytes: from an older daemon; false if rejected
size_t bj_quota_bytes (const BjQuota *q); // Memory in use
