// Declarations shared by the modules of the kernel: its state, the guard and the table of peers.

#pragma once

#include "boragejunction.h"

// Decision about a call, kept for bj_kernel_explain ().
typedef struct
{
  BjTime at;
  BjStr key;  // Idempotency-Key of the call, owned
  char *text; // owned
} BjDecision;

typedef struct
{
  int own;             // calls in flight from the own failure domain
  int spilled;         // calls in flight from other failure domains
  double own_smoothed; // smoothed average of own
} BjSpillCounts;

// Pace of the calls to an upstream that names a rate.
typedef struct
{
  bool is_set;        // the upstream named a rate that is in force
  double named;       // calls a second
  BjTime named_at;    // when a response last named it
  BjTime rise_from;   // when the rate began to rise after responses that name none, 0 if it stands
  double tokens;      // calls that may start now
  BjTime refilled_at; // time up to which tokens is computed
} BjRate;

// Exponentially decaying counts of runs on the own upstream.
typedef struct
{
  double n_good;
  double n_failed;
  double n_unmatched_failures; // failed nested calls whose parent run is not known
  BjTime decayed_at;           // time up to which the counts have been decayed
} BjHealth;

typedef struct
{
  BjStr service;      // owned, empty before the upstream announced itself
  int slots;          // concurrent calls that the upstream announced
  BjLimiter *limiter; // NULL before the upstream announced itself
  BjQueue *queue;     // NULL before the upstream announced itself
  int in_flight;      // calls running on the own upstream
  uint64_t n_started;
  uint64_t n_waited;             // of these, calls that waited in the queue
  double max_retry_after_ms;     // longest retry-after time, before it is randomized
  double completion_interval_ms; // smoothed time between the ends of two calls, 0 before the first
  BjTime last_completion;        // when a call last ended
  BjTime retry_after_until[BJ_CLASSES]; // when all callers refused so far could have been served
  int admitted_klass;   // least important class admitted while it or a more important one waits
  int top_in_flight;    // calls in flight of the most important class
  double top_demand;    // top_in_flight, smoothed over about one second
  BjTime top_demand_at; // when top_demand was last updated
  int drain_reasons;    // set of BjDrainReason
  bool draining;        // drain_reasons is not empty
  double leave_ms;      // for which an upstream that leaves goes on serving
  BjTime leaves_at;     // when it may be gone, or never
  BjSpillCounts spill[BJ_CLASSES]; // calls in flight of each class and all more important ones
  BjTime spill_smoothed_at;        // when own_smoothed in spill was last updated
  BjHealth health;
  BjRate rate;
  BjUpstreamState upstream;     // what the own upstream last said of itself
  bool upstream_has_spoken;     // to this daemon since its current start
  BjTime upstream_since;        // when its current start was first announced
  double service_ms;            // smoothed time of a run, 0 before the first
  BjQueueOptions queue_options; // as configured
  int queue_length_max;    // calls in the queue, fewer than configured while a rate is in force
  BjTime signal_logged_at; // when a log line on upstream was last written
  BjTime load_logged_at;   // when an unreadable load report was last logged
  BjTime wake_at;          // when the next queued call may start or must be refused, or never
  uint64_t n_refused_by_rate;
} BjGuard;

// Rate: paces the calls to the own upstream. A wait of 0 lets a call start
void
bj_rate_name (BjRate *r, BjTime now, double per_s); // A response names this many calls a second
void bj_rate_name_none (BjRate *r, BjTime now);     // A response names no rate
void bj_rate_clear (BjRate *r);                     // For another start of the upstream
double bj_rate_in_force (BjRate *r, BjTime now);    // Calls a second, infinite without a rate
double bj_rate_wait_ms (BjRate *r,
                        BjTime now,
                        int n_ahead); // Until a call may start with n_ahead calls before it
void bj_rate_count_start (BjRate *r, BjTime now);

// ---------------------------------------------------------------------------------------------
// Quarantine: requests that crash upstreams
// ---------------------------------------------------------------------------------------------

typedef struct BjQuarantine BjQuarantine;

BjQuarantine *bj_quarantine_new (void);
void bj_quarantine_free (BjQuarantine *q);
uint64_t bj_quarantine_fingerprint (
    BjStr service,
    const BjRequest *r); // Hash of service and key; without key, of service, method, path and body
BjSuspicion bj_quarantine_state (BjQuarantine *q, BjTime now, uint64_t fingerprint);
BjStatus bj_quarantine_start_run (BjQuarantine *q,
                                  BjTime now,
                                  uint64_t fingerprint); // Call before a run; BJ_E_QUARANTINED,
                                                         // BJ_E_OVERLOAD while another suspect runs
void bj_quarantine_end_run (BjQuarantine *q,
                            BjTime now,
                            uint64_t fingerprint,
                            bool has_answer); // Call after a run; a response releases a suspect
BjSuspicion bj_quarantine_record_crash (
    BjQuarantine *q,
    BjTime now,
    uint64_t fingerprint,
    BjTime started); // The upstream crashed in its run; returns its new state
void bj_quarantine_merge (BjQuarantine *q, BjTime now, const BjNotice *n); // Applies a notice
void bj_quarantine_take_notices (BjQuarantine *q,
                                 GArray *notices); // Moves the unsent notices to notices
void
bj_quarantine_list_notices (BjQuarantine *q, BjTime now, GArray *notices); // Appends all in force
BjPeer *bj_quarantine_assigned_peer (
    const BjService *s,
    uint64_t fingerprint); // Only daemon that may run this suspect, or NULL

#define BJ_ROLES 2 // guard, front
#define BJ_OUTCOMES 3

typedef struct
{
  uint64_t answers[BJ_ROLES][BJ_CLASSES][BJ_OUTCOMES];
  uint64_t codes[BJ_CODES_MAX]; // responses made by the layer itself, by result code
  BjHist latency[BJ_ROLES];     // from the arrival of a call to the end of its response
  uint64_t n_slowness;          // calls sent to an instance whose slowness is known
  uint64_t slowness;            // sum of these, in percent
  double slowness_age_ms;       // sum of their ages
} BjCounts;

typedef struct
{
  double own_level; // admission level of this guard: number of ranks to shed
  int n_offered;    // calls that arrived in this window
  int n_refused;    // calls refused because of load in this window
  int n_started;    // calls started on the upstream in this window
  double wait_ms;   // total queue wait of the calls started
  int n_above;      // calls in this window that are not counted above: their account holds more
                    // than its part of a fair queue
  BjTime window_from;
  GHashTable *route_levels; // hash of a route to its RouteLevel in level.c
  struct BjMaxmin *maxmin;  // arrivals at this front by account, NULL before a fair queue needs it
} BjLevel;

struct BjKernel
{
  BjHost *host;
  BjPeer *self;
  GRand *rand;
  BjConfig *config;
  GHashTable *peers;      // BjStr* in BjPeer to BjPeer*
  GHashTable *services;   // BjStr* in BjService to BjService*
  GSequence *deadlines;   // BjCall*, earliest first
  GHashTable *calls;      // call id to open BjCall*
  GHashTable *route_runs; // hash of a route to RouteRuns of parent.c: the routes that its runs call
  GHashTable *ages;       // hash of a route to its AgeHistogram in parent.c
  GHashTable *running;    // request id (BjStr*) to the BjCall that runs on the own upstream
  uint64_t n_matched_by_id;      // nested calls whose parent was found by request id
  GHashTable *retry_after_times; // fingerprint of a refused call to the end of its retry-after time
  GHashTable *peer_upstreams;    // name of a peer (BjStr*) to what its upstream said, in signal.c
  GHashTable *share_states;      // BjRoute* to the weighted round-robin state of its shares
  BjGuard guard;
  BjQuarantine *quarantine;
  BjCounts counts;
  BjTime ends_at;              // latest deadline of calls of callers: the process ends then
  bool starts_no_irreversible; // the daemon stops, and such a call might outlast it
  int64_t newer_config;       // highest number known of a configuration newer than the own one then
  BjTime newer_config_at;     // when it became known
  struct BjQuota *quota;      // rates of accounts, borrowed; NULL for no limits
  GHashTable *account_counts; // of access.c, by name (BjStr*); NULL before the first call
  uint64_t removed_account_calls;   // of accounts that are no longer configured
  uint64_t removed_account_refused; // the same, refused because of the rate
  int64_t newest_config_seen; // highest configuration number received, also if it was rejected
  BjLevel level;
  uint64_t next_id;
  BjDecision ring[BJ_DECISION_RING_SIZE];
  guint ring_next;
};

// Calls
BjCall *bj_call_new (BjKernel *k, BjTime now, const BjRequest *r, void *data); // Copies r
gint bj_call_by_deadline (gconstpointer a, gconstpointer b, gpointer data);    // Earliest first
void bj_call_end (BjKernel *k, BjCall *c); // Removes c from the kernel and frees it
BjCall *bj_call_parent (BjKernel *k,
                        const BjRequest *r); // Call with id r->parent; NULL if none or ended
void bj_call_set_deadline (BjKernel *k, BjCall *c, BjTime deadline);
void bj_call_refuse (BjKernel *k,
                     BjTime now,
                     BjCall *c,
                     const BjAnswer *a); // Guard refused c: retries it elsewhere or sends a
void bj_call_start (BjKernel *k, BjTime now, BjCall *c); // Starts c on the own upstream
void bj_kernel_log_decision (
    BjKernel *k, BjTime now, const BjCall *c, const char *prefix, const char *format, ...)
    G_GNUC_PRINTF (5, 6); // Logs a decision about c and keeps it for bj_kernel_explain ()

uint64_t bj_config_route_hash (const BjRoute *r); // The same in every daemon; 0 for NULL

// Parent: matches a nested call to the running call that the own upstream made it for
void bj_parent_init (BjKernel *k);
void bj_parent_clear (BjKernel *k);
void bj_parent_find (BjKernel *k, BjTime now, BjCall *c);   // Front: finds and records c's parent
const BjCall *bj_parent_find_by_id (BjKernel *k, BjStr id); // Running call whose id it continues
bool bj_parent_may_be_inferred (const BjKernel *k,
                                double deadline_ms); // The parent of a call with this time left
void bj_parent_run_started (BjKernel *k, BjCall *c); // Guard: c starts on the own upstream
void bj_parent_run_ended (BjKernel *k, BjCall *c);   // Guard: c no longer runs there
bool bj_parent_makes_calls (BjKernel *k, uint64_t route); // Runs of this route make nested calls
bool bj_parent_is_called (BjKernel *k, uint64_t route);   // Nested calls go to this route
void bj_parent_each_called (BjKernel *k,
                            uint64_t route,
                            void (*fn) (uint64_t called, void *data),
                            void *data); // Calls fn for each route that runs of this route call

// Retry-after: remembers refused calls, to recognise callers that retry at the time they were given
void bj_retry_after_init (BjKernel *k);
void bj_retry_after_clear (BjKernel *k);
void bj_retry_after_record (BjKernel *k,
                            BjTime at,
                            const BjCall *c); // Records c as refused, to be retried at this time
bool bj_retry_after_match (BjKernel *k,
                           BjTime now,
                           const BjCall *c); // True if c is a timely retry; removes the record

// Share: distributes the calls of a route over several services
void bj_share_init (BjKernel *k);
void bj_share_clear (BjKernel *k);                   // Call before the routes are freed
BjStr bj_share_pick (BjKernel *k, const BjRoute *r); // Service for the next call of the route

// Count: metrics of calls
void bj_count_answer (BjKernel *k, BjTime now, const BjCall *c, BjStatus code, BjOutcome o);

// Allowance: distributes the further attempts of one action over its call chain
void bj_allowance_take_from_parent (BjKernel *k, BjCall *c); // Takes c's share from its parent
void bj_allowance_return_to_parent (BjKernel *k, const BjCall *c); // Returns unused attempts
void bj_allowance_delegate (BjCall *c);                   // Delegates to the daemon c is sent to
void bj_allowance_reclaim (BjCall *c, const BjAnswer *a); // Takes back unused delegated attempts

// Level: admission levels of this guard, and those that a front learns from responses
void bj_level_init (BjLevel *l);
void bj_level_clear (BjLevel *l);
void bj_level_count_offered (BjKernel *k,
                             BjTime now,
                             const BjCall *c,
                             bool refused); // Guard: counts an arrival, or a refusal due to load
void bj_level_count_started (BjKernel *k,
                             const BjCall *c,
                             double wait_ms); // Guard: counts a call and its wait
int bj_level_for_call (BjKernel *k, BjTime now, const BjCall *c); // Front: level for c's route
void bj_level_learn_makes_calls (BjKernel *k,
                                 const BjCall *c,
                                 bool makes_calls); // Front: stores makes_calls of a response to c
bool bj_level_makes_calls (BjKernel *k, const BjCall *c); // Front: runs of c's route make calls
void bj_level_learn (BjKernel *k,
                     BjTime now,
                     const BjCall *c,
                     int level); // Front: learns the admission level in a response to c
void bj_level_count_result (BjKernel *k,
                            BjTime now,
                            const BjCall *c,
                            bool refused); // Front: counts c's end; refused if no guard admitted it
bool bj_level_should_shed (BjKernel *k,
                           BjTime now,
                           const BjCall *c); // Front: true if c must be refused before using a hop

void bj_explain_clear (BjKernel *k); // Frees the ring of decisions

// Guard: admission to the own upstream
void bj_guard_configure (BjKernel *k, BjTime now); // Applies an announcement or configuration
void bj_guard_admit (BjKernel *k, BjTime now, BjCall *c); // Starts, queues or refuses c
void bj_guard_count_started (BjKernel *k, BjTime now, const BjCall *c); // Counts top-class runs
void bj_guard_finished (BjKernel *k,
                        BjTime now,
                        BjCall *c,
                        BjStatus s); // Counts a running call that ended, starts queued calls
void bj_guard_dequeue (BjKernel *k, BjCall *c); // Removes c from the queue
int bj_guard_limit (BjKernel *k, BjTime now);   // Calls in flight allowed now
int bj_guard_capacity (BjKernel *k,
                       BjTime now); // The same, fewer if a rate keeps them from starting
int bj_guard_backlog (BjKernel *k,
                      BjTime now); // Calls queued, or those that a wait for the rate amounts to
void bj_guard_tick (BjKernel *k, BjTime now); // Starts queued calls that waited for the rate
void
bj_guard_set_rate (BjKernel *k, BjTime now, const BjUpstreamState *s); // Applies the named rate
BjAnswer bj_guard_make_refusal (BjKernel *k,
                                BjTime now,
                                BjStatus s,
                                int klass); // Refusal for this class, with a retry-after time

// Health: failure rate of the own upstream
void bj_health_count_run (BjKernel *k, BjTime now, const BjCall *c, BjStatus s); // Counts a run
int bj_health_failure_permille (BjKernel *k,
                                BjTime now); // Failure rate per 1000 runs, own faults only
void
bj_health_report_nested_failure (BjKernel *k,
                                 const BjCall *c); // c's failure excuses that of its parent run

// Spill: calls from other failure domains
bool bj_spill_admit (BjKernel *k, BjTime now, int klass); // True if one such call may be admitted
void bj_spill_count (BjKernel *k,
                     BjTime now,
                     const BjCall *c,
                     int change); // Counts c's start (1) or end (-1), before in_flight changes
bool bj_spill_may_reroute (
    const BjKernel *k,
    const BjCall *c); // True if c, refused by another domain, may be rerouted without a token

// Signal: what the upstreams of peers said in their responses, kept for these peers
void bj_signal_init (BjKernel *k);
void bj_signal_clear (BjKernel *k);

// Peers
void bj_peer_add_response_time (BjPeer *p, double ms);             // Records the time to a response
void bj_peer_update_load (BjPeer *p, BjTime now, const BjLoad *l); // Stores the load in a response
guint bj_str_key_hash (gconstpointer s);                           // For tables keyed by BjStr*
gboolean bj_str_key_equal (gconstpointer a, gconstpointer b);
BjService *bj_kernel_get_service (BjKernel *k, BjStr name); // Finds or creates a service, borrowed
void bj_service_configure (BjKernel *k, BjService *s);      // Creates its router and retry plug-ins
void bj_service_free (gpointer s);
void bj_peer_free (gpointer p);
