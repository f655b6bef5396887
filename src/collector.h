// Collector: the state of the rates of client accounts, which quota.c (decisions), collector.c (the
// buckets of all daemons) and report.c (messages) share. Not for other modules.

#pragma once

#include "internal.h"
#include "quota.h"

#define BJ_QUOTA_REPORT_MS 100 // between two reports to one receiver
#define BJ_QUOTA_URGENT_MS 25  // between two reports while a rise of the demand is not reported
#define BJ_QUOTA_SILENT_MS 500 // after the last message a sender counts as not heard
#define BJ_QUOTA_KEEP_MS 2500  // after the last message its part begins to change
#define BJ_QUOTA_SLIDE_MS 3000 // in which a part then changes to an equal part of all known members
#define BJ_QUOTA_LATE_MS 1000  // a part that rises does so later, after those of others have fallen
#define BJ_QUOTA_SKIP_MS 10000 // a collector that did not reply is passed over for this long
#define BJ_QUOTA_START_MS 2000 // after the start in which a daemon waits for its first totals
#define BJ_QUOTA_FIND_MS 500   // after the start until a daemon has found most of the others
#define BJ_QUOTA_FRESH_MS 1000 // in which a new pool takes the levels of others
#define BJ_QUOTA_UNLISTED_MS 1000 // after which an account that totals do not list is not limited
#define BJ_QUOTA_MEMBERS_ASSUMED 512  // before any other member is known; no fewer than a fleet has
#define BJ_QUOTA_DEMAND_MIN 0.02      // requests a second; less counts as none
#define BJ_QUOTA_SLOTS 10             // of the window of use
#define BJ_QUOTA_SCALE 1000.0         // of fractional numbers in messages
#define BJ_QUOTA_LOG_INTERVAL_MS 1000 // between log lines on rejected messages

typedef enum
{
  BJ_QUOTA_FROM_MEMBER,
  BJ_QUOTA_FROM_COLLECTOR,
  BJ_QUOTA_KINDS,
} BjQuotaKind;

typedef struct
{
  uint64_t hash; // of the name
  double rate;   // requests a second
  double burst;  // depth of the bucket
  // Own use
  uint64_t count;      // admitted since the start
  uint64_t sent_count; // in the last report
  uint64_t acked;      // in the last report that was replied to
  double demand;       // arrivals a second, at demand_at
  BjTime demand_at;
  double sent_demand;  // in the last report
  BjTime changed_at;   // last change that is to be reported
  uint32_t n_refunded; // admissions that did not run and may be made again without being counted
  uint32_t slots[BJ_QUOTA_SLOTS]; // admissions in parts of the window
  int64_t slot;                   // number of the newest
  uint64_t n_refused;
  double carry;      // fraction of a request not yet admitted
  BjTime next_retry; // end of the retry-after time given last
  // View: the last totals
  bool is_known;     // they contained the account at least once
  double level;      // at level_at, with this many own admissions
  uint64_t included; // of count
  BjTime level_at;
  double total;      // demand of all that are heard
  double own_demand; // part of it
  double fraction;   // of the rate, which those that are heard have
  double others;     // admissions of the others that are assumed for each own one
  // Pool, if collector
  double pool_level; // at pool_at
  BjTime pool_at;
  double part;     // of the rate, which those that are heard have
  uint64_t sum;    // admitted in the own domain since the pool began
  double near;     // demand of the active members of the own domain
  double far;      // demand of the other domains
  double reserved; // for silent members of the own domain
  double before;   // demand of all when the pool began, 0 if not known
  double lost;     // part of it that was not reported to the new pool
  BjTime sum_changed_at;
  double sum_demand; // demand of the domain at sum_changed_at
  uint64_t sum_sent; // sum at sum_changed_at
} BjQuotaAccount;

typedef struct
{
  uint64_t count;
  float demand;   // requests a second
  float share;    // part of the rate when it was last heard
  float reserved; // of a collector: for silent members of its domain
} BjQuotaEntry;

typedef struct
{
  BjQuotaKind kind;
  uint64_t name;   // hash
  uint64_t domain; // hash
  uint64_t start;
  uint64_t seq; // of the last report
  BjTime heard;
  int n_seen;            // members whose use the reports contain
  bool is_active;        // its demand is part of the sums
  BjQuotaEntry *entries; // as the accounts
} BjQuotaSource;

typedef struct
{
  BjStr name; // owned
  uint64_t hash;
  uint64_t rank; // the highest one in its domain is the collector
  uint64_t domain;
  bool is_up;
  bool is_old;       // replies without totals
  BjTime skip_until; // not asked as a collector
  // Reports to it
  uint64_t seq;     // of the last one
  BjTime sent;      // last one
  BjTime asked;     // first one since its last reply, 0 if none is open
  bool is_awaited;  // the last one was not replied to
  int n_referred;   // times in sequence that it named another collector
  int cursor;       // accounts before it are reported in this pass
  int next_cursor;  // the same once the last report is replied to
  BjTime pass_from; // this pass began
  BjTime passed;    // the last complete pass began
} BjQuotaPeer;

typedef struct
{
  uint64_t hash;
  int n; // known members
  int n_up;
  int n_old;
  BjQuotaSource *source; // best one, NULL if none
} BjQuotaDomain;

struct BjQuota
{
  uint64_t self;
  uint64_t domain;
  uint64_t start;
  BjTime began; // start of this process
  BjQuotaAccount *accounts;
  int n_accounts;
  GHashTable *index;    // hash to index + 1
  BjQuotaPeer *members; // highest rank first
  int n_members;
  GHashTable *member_index; // hash of the name to index + 1
  int n_known;              // members among which equal parts are made
  int n_old;                // of an older version
  bool is_alone;
  BjQuotaDomain *domains; // the own one first
  int n_domains;
  uint64_t target; // member that the last report to the own domain went to
  BjTime heard;    // last totals; in the past without any
  double fraction; // of accounts without demand
  double unlisted_ms;
  // Pool, if collector
  BjTime pool_from;      // 0: none
  BjTime role_from;      // 0: not chosen as collector
  BjTime collected;      // last report of a member
  BjTime updated;        // sources
  BjTime reserved_at;    // reservations
  bool has_lost;         // lost was computed for this pool
  bool has_reservations; // some part is not 1
  int n_active;          // sources
  int n_seen;            // members of the own domain
  uint64_t n_pools;
  GPtrArray *sources; // BjQuotaSource*
  int totals_cursor;
  BjTime logged;
};

// Quota
BjQuotaAccount *bj_quota_find_account (const BjQuota *q, uint64_t hash); // NULL if it has no limit
BjQuotaPeer *bj_quota_find_member (const BjQuota *q, uint64_t hash);     // NULL if unknown
BjQuotaDomain *bj_quota_find_domain (const BjQuota *q, uint64_t hash);   // NULL if unknown
void bj_quota_set_old (BjQuota *q, BjQuotaPeer *m, bool is_old); // Whether m replies without totals
double bj_quota_demand_now (const BjQuotaAccount *a, BjTime now); // Requests a second
bool bj_quota_is_heard (const BjQuota *q, BjTime now);            // By a collector, or as one
double
bj_quota_estimate_level (const BjQuota *q, const BjQuotaAccount *a, BjTime now); // Of its view
void
bj_quota_expire_view (const BjQuota *q,
                      BjQuotaAccount *a,
                      BjTime now); // Refills the level of an account that totals no longer list
void bj_quota_apply_view (const BjQuota *q,
                          BjQuotaAccount *a,
                          BjTime now,
                          double level,
                          double total,
                          double fraction);                       // Takes over totals
double bj_quota_window_use (const BjQuotaAccount *a, BjTime now); // Admitted in the last window

// Collector
BjQuotaPeer *
bj_quota_pick_collector (const BjQuota *q, uint64_t domain, BjTime now); // NULL if none replies
bool bj_quota_is_collector (BjQuota *q, BjTime now);                     // Of the own domain
void bj_quota_open_pool (BjQuota *q, BjTime now);                        // Becomes collector
void bj_quota_close_pool (BjQuota *q);
void bj_quota_settle (BjQuotaAccount *a, BjTime now); // Fills the bucket up to now
void bj_quota_count_own (BjQuota *q,
                         BjQuotaAccount *a,
                         BjTime now);               // Counts own admissions into the pool
void bj_quota_update_pool (BjQuota *q, BjTime now); // Sources, reservations
void bj_quota_choose_sources (BjQuota *q);          // Makes the sources active that count
BjQuotaSource *bj_quota_get_source (BjQuota *q,
                                    BjQuotaKind k,
                                    const BjQuotaPeer *m,
                                    uint64_t start); // Finds or makes the source of a sender
void bj_quota_free_source (gpointer s);
