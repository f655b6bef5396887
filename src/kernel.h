// What the kernel's modules share: its state, the guard and the table of peers.

#pragma once

#include "boragejunction.h"

typedef struct
{
  BjTime at;
  BjStr key;  // owned
  char *text; // owned
} BjDecision;

typedef struct
{
  int own;            // calls of the own domain in flight
  int spilled;        // of other domains
  double own_average; // calls of the own domain in flight, smoothed
} BjSpill;

// Runs on the own upstream, fading with time.
typedef struct
{
  double n_good;
  double n_failed;
  double n_orphans; // failed calls that the own upstream made for a run that is not known
  BjTime faded;     // until then
} BjHealth;

typedef struct
{
  BjStr service;      // owned, empty before the upstream announced itself
  int slots;          // announced
  BjLimiter *limiter; // NULL before
  BjQueue *queue;     // NULL before
  int in_flight;
  uint64_t n_started;
  double longest_return_ms;      // that a refused caller is told, but for the spread
  double end_interval_ms;        // smoothed time between two calls that ended, 0 before
  BjTime last_end;               // of a call
  BjTime returns_at[BJ_CLASSES]; // until when refused callers are told to stay away
  int admitted_klass;            // lower classes are refused while calls of this one wait
  int top_in_flight;             // calls of the most important class
  double top_demand;             // the same, smoothed over the last second or so
  BjTime top_demand_at;          // when it was smoothed
  int drain_reasons;             // set of BjDrainReason
  bool draining;                 // there is one
  BjSpill spill[BJ_CLASSES];     // calls in flight of this class and more important ones
  BjTime averaged;               // the calls of the own domain in it
  BjHealth health;
} BjGuard;

// ---------------------------------------------------------------------------------------------
// Quarantine: requests that crash upstreams
// ---------------------------------------------------------------------------------------------

typedef struct BjQuarantine BjQuarantine;

BjQuarantine *bj_quarantine_new (void);
void bj_quarantine_free (BjQuarantine *q);
uint64_t bj_quarantine_fingerprint (BjStr service,
                                    const BjRequest *r); // Of action id, else of route and body
BjSuspicion bj_quarantine_state (BjQuarantine *q, BjTime now, uint64_t fingerprint);
BjStatus
bj_quarantine_start (BjQuarantine *q,
                     BjTime now,
                     uint64_t fingerprint); // A run begins; BJ_E_QUARANTINED, BJ_E_OVERLOAD
void bj_quarantine_ended (BjQuarantine *q,
                          BjTime now,
                          uint64_t fingerprint,
                          bool has_answer); // An answer releases a suspect
BjSuspicion bj_quarantine_crashed (BjQuarantine *q,
                                   BjTime now,
                                   uint64_t fingerprint,
                                   BjTime started); // Its upstream died while it ran
void bj_quarantine_merge (BjQuarantine *q, BjTime now, const BjNotice *n); // From a peer
void bj_quarantine_take (BjQuarantine *q, GArray *notices);                // News for peers
void bj_quarantine_list (BjQuarantine *q, BjTime now, GArray *notices);    // All that is in force
BjPeer *bj_quarantine_home (const BjService *s, uint64_t fingerprint);     // Where a suspect runs

#define BJ_ROLES 2 // guard, front
#define BJ_OUTCOMES 3

typedef struct
{
  uint64_t answers[BJ_ROLES][BJ_CLASSES][BJ_OUTCOMES];
  uint64_t codes[BJ_CODES_MAX]; // the layer's own answers
  BjHist latency[BJ_ROLES];     // from arrival to the end of an answer
} BjCounts;

typedef struct
{
  double own;     // ranks shed, by what this guard refused
  int n_offered;  // calls in this window
  int n_refused;  // of them, for load
  int n_started;  // on the upstream in this window
  double wait_ms; // of them, summed
  BjTime window_from;
  GHashTable *learned; // by route, from the answers of others
} BjLevel;

struct BjKernel
{
  BjHost *host;
  BjPeer *self;
  GRand *rand;
  BjConfig *config;
  GHashTable *peers;    // BjStr* in BjPeer to BjPeer*
  GHashTable *services; // BjStr* in BjService to BjService*
  GSequence *deadlines; // BjCall*, earliest first
  GHashTable *calls;    // call id to open BjCall*
  GHashTable *parents;  // hash of a route to what its runs call
  GHashTable *ages;     // hash of a route to how old the parents of its calls are at their deadline
  GHashTable *running;  // BjStr* of the id of a call on the own upstream to its BjCall
  uint64_t n_named;     // calls whose parent was found by its id
  GHashTable *comebacks; // fingerprint of a refused call to when it was told to return
  GHashTable *splits;    // BjRoute* to how its shares stand
  BjGuard guard;
  BjQuarantine *quarantine;
  BjCounts counts;
  BjLevel level;
  uint64_t next_id;
  BjDecision ring[BJ_RING_SIZE];
  guint ring_next;
};

// Calls
BjCall *bj_call_new (BjKernel *k, BjTime now, const BjRequest *r, void *data); // Copies r
gint bj_call_by_deadline (gconstpointer a, gconstpointer b, gpointer data);    // Earliest first
void bj_call_end (BjKernel *k, BjCall *c);                                     // Frees c
BjCall *bj_call_parent (BjKernel *k, const BjRequest *r); // That it names, NULL when it has ended
void bj_call_set_deadline (BjKernel *k, BjCall *c, BjTime deadline);
void bj_call_refuse (BjKernel *k,
                     BjTime now,
                     BjCall *c,
                     const BjAnswer *a);               // Guard said no: route elsewhere or answer
void bj_call_run (BjKernel *k, BjTime now, BjCall *c); // Starts it on the own upstream
void bj_kernel_note (
    BjKernel *k, BjTime now, const BjCall *c, const char *prefix, const char *format, ...)
    G_GNUC_PRINTF (5, 6); // Decision line, logged and kept for explain

uint64_t bj_config_route_hash (const BjRoute *r); // The same in every daemon; 0 for NULL

// Share
// Parent: which running call the own upstream made a call for
void bj_parent_init (BjKernel *k);
void bj_parent_clear (BjKernel *k);
void
bj_parent_find (BjKernel *k, BjTime now, BjCall *c); // Front: sets the parent if it can be told
void bj_parent_ran (BjKernel *k, BjCall *c);         // Guard: c runs on the own upstream
void bj_parent_ended (BjKernel *k, BjCall *c);       // Guard: it does no longer
bool bj_parent_makes_calls (BjKernel *k, uint64_t route); // Runs of this route call others
bool bj_parent_is_called (BjKernel *k,
                          uint64_t route); // The own upstream makes calls of this route
void bj_parent_each_called (BjKernel *k,
                            uint64_t route,
                            void (*fn) (uint64_t called, void *data),
                            void *data); // Routes that runs of this route call

// Comeback: callers that were refused and told when to come back
void bj_comeback_init (BjKernel *k);
void bj_comeback_clear (BjKernel *k);
void bj_comeback_told (BjKernel *k, BjTime at, const BjCall *c);  // Refused until then
bool bj_comeback_take (BjKernel *k, BjTime now, const BjCall *c); // It was, and came in time

void bj_share_init (BjKernel *k);
void bj_share_clear (BjKernel *k);                   // The routes are about to be freed
BjStr bj_share_pick (BjKernel *k, const BjRoute *r); // Service for the next call of the route

// Count
void bj_count_answer (
    BjKernel *k, BjTime now, const BjCall *c, BjStatus code, BjOutcome o); // A call got its answer

// Allowance
void bj_allowance_draw (BjKernel *k, BjCall *c);           // From the guard call that c is made for
void bj_allowance_return (BjKernel *k, const BjCall *c);   // What is left, to that call
void bj_allowance_hand (BjCall *c);                        // To the daemon that c is sent to
void bj_allowance_answered (BjCall *c, const BjAnswer *a); // Takes back what was not used

// Level
void bj_level_init (BjLevel *l);
void bj_level_clear (BjLevel *l);
void bj_level_offered (BjKernel *k,
                       BjTime now,
                       bool refused);                // Guard: a call came, or was refused for load
void bj_level_started (BjKernel *k, double wait_ms); // Guard: a call starts after so long a wait
int bj_level_of (BjKernel *k, BjTime now, const BjCall *c); // Front: learned for its route
void
bj_level_learn_calls (BjKernel *k, const BjCall *c, bool makes_calls); // Front: as an answer told
bool bj_level_makes_calls (BjKernel *k, const BjCall *c); // Front: runs of its route call others
void bj_level_learn (BjKernel *k,
                     BjTime now,
                     const BjCall *c,
                     int level); // Front: an answer to c told it
void bj_level_placed (BjKernel *k,
                      BjTime now,
                      const BjCall *c,
                      bool refused); // Front: c ended, or no guard took it
bool
bj_level_sheds (BjKernel *k, BjTime now, const BjCall *c); // Front: c is to be refused before a hop

void bj_explain_clear (BjKernel *k); // Frees the ring of decisions

// Guard
void bj_guard_configure (BjKernel *k, BjTime now); // After an announcement or a configuration
void bj_guard_admit (BjKernel *k, BjTime now, BjCall *c);         // Run, queue or refuse
void bj_guard_started (BjKernel *k, BjTime now, const BjCall *c); // Counts it
void bj_guard_finished (BjKernel *k,
                        BjTime now,
                        BjCall *c,
                        BjStatus s);          // A running call ended; starts the next ones
void bj_guard_leave (BjKernel *k, BjCall *c); // Takes a queued call out
int bj_guard_limit (BjKernel *k, BjTime now); // Calls in flight allowed now
BjAnswer bj_guard_refusal (BjKernel *k,
                           BjTime now,
                           BjStatus s,
                           int klass); // Final answer with a time to come back

// Health
void bj_health_ended (BjKernel *k,
                      BjTime now,
                      const BjCall *c,
                      BjStatus s);                   // A run on the own upstream
int bj_health_failing (BjKernel *k, BjTime now);     // Of 1000 runs, those that fail by its fault
void bj_health_blame (BjKernel *k, const BjCall *c); // c failed: so may what it was made for

// Spill
bool bj_spill_admit (BjKernel *k, BjTime now, int klass); // Whether one call of another domain may
void bj_spill_changed (BjKernel *k,
                       BjTime now,
                       const BjCall *c,
                       int change); // c starts (1) or ends (-1); before in_flight changes
bool bj_spill_may_return (const BjKernel *k,
                          const BjCall *c); // Refused by another domain: route it once more

// Peers
void bj_peer_answered (BjPeer *p, double ms);                    // After so long
void bj_peer_told_load (BjPeer *p, BjTime now, const BjLoad *l); // With an answer
guint bj_str_key_hash (gconstpointer s);                         // For tables keyed by BjStr*
gboolean bj_str_key_equal (gconstpointer a, gconstpointer b);
BjService *bj_kernel_service (BjKernel *k, BjStr name); // Found or made
void bj_service_configure (BjKernel *k, BjService *s);  // Router and retry from the configuration
void bj_service_free (gpointer s);
void bj_peer_free (gpointer p);
