// boragejunction: an overload control layer for service call graphs.
//
// This header is the manual; read it from top to bottom. Every function says at its right what it
// does and how it fails. Times are in milliseconds, sizes in bytes. Functions that can fail return
// a BjStatus and leave a sentence in bj_last_message (). Nothing here is thread-safe: one loop on
// one thread.

#pragma once

#include "config.h"
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// ---------------------------------------------------------------------------------------------
// Clock: one type for all times
// ---------------------------------------------------------------------------------------------

typedef double BjTime; // milliseconds, monotonic unless a name says wall

#define BJ_TIME_NEVER 1e18 // later than every other time

BjTime bj_clock_now (void);  // Monotonic time
BjTime bj_clock_wall (void); // Wall time since 1970, for key ages and log lines only

// ---------------------------------------------------------------------------------------------
// Str: length-counted strings
// ---------------------------------------------------------------------------------------------

typedef struct
{
  const char *data; // not NUL-terminated unless made by bj_str_dup
  size_t len;       // bytes
} BjStr;

#define BJ_STR(literal) ((BjStr){ "" literal, sizeof (literal) - 1 })
#define BJ_STR_NULL ((BjStr){ NULL, 0 })
#define BJ_STR_ARG(s) (int)(s).len, (s).len > 0 ? (s).data : "" // for "%.*s"

BjStr bj_str (const char *text);         // View of a NUL-terminated text; NULL gives an empty one
BjStr bj_str_dup (BjStr s);              // Copy with a NUL behind it; free with bj_str_free
void bj_str_free (BjStr *s);             // Frees a copy and empties it
void bj_str_set (BjStr *s, BjStr value); // Replaces an owned copy
bool bj_str_equal (BjStr a, BjStr b);    // Same bytes
bool bj_str_starts (BjStr s, BjStr prefix); // s begins with prefix
uint64_t bj_str_hash (BjStr s);             // xxHash, 64 bits, seed 0
bool bj_str_int (BjStr s, int64_t *value); // Decimal integer of the whole text; false if it is none

// ---------------------------------------------------------------------------------------------
// Status: numbered result codes, listed in docs/RESULT-CODES.md
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_OK = 0,
  BJ_E_ARGUMENT = 1,     // a command line or function argument is wrong
  BJ_E_SETTINGS = 2,     // settings have an unknown key, wrong type or value out of range
  BJ_E_IO = 3,           // the operating system refused an operation
  BJ_E_FORMAT = 4,       // bytes from outside can't be decoded
  BJ_E_TOO_LARGE = 5,    // a body, head, frame or ticket is over its limit
  BJ_E_AUTH = 6,         // a peer's signature is missing or wrong
  BJ_E_NO_ROUTE = 10,    // no route matches the path
  BJ_E_NO_UPSTREAM = 11, // no upstream of the service can be reached
  BJ_E_OVERLOAD = 12,    // refused for load
  BJ_E_DEADLINE = 13,    // the deadline passed or can't be met
  BJ_E_DRAINING = 14,    // the upstream is leaving
  BJ_E_CANCELLED = 15,   // the caller went away
  BJ_E_LOST = 16,        // the connection to a peer or upstream was lost
  BJ_E_BROKEN = 17,      // an answer arrived short or damaged
  BJ_E_KEY = 18,         // the Idempotency-Key is missing or malformed
  BJ_E_DUPLICATE = 19,   // the action was claimed before
  BJ_E_QUARANTINED = 20, // the request has crashed upstreams
  BJ_E_SHED = 21,        // the upstream itself refused it as not run
  BJ_E_HOME = 22,        // the action id was minted by another daemon
  BJ_E_CRASHED = 23,     // the upstream died while it ran
  BJ_E_EXISTS = 30,      // the object exists already
  BJ_E_CONFLICT = 31,    // a conditional update lost the race
  BJ_E_NOT_FOUND = 32,   // the object does not exist
  BJ_E_PLATFORM = 33,    // the platform is down, slow or refused the call
  BJ_E_TICKET = 34,      // a ticket is malformed or names unknown things
  BJ_E_BASE = 35,        // something the ticket touches changed after its base
  BJ_E_GONE = 36,        // the watched version is gone, read afresh
  BJ_E_GAP = 37,         // a ticket's number leaves a gap
  BJ_E_PENDING = 38,     // a ticket is or may be filed, and not decided yet
} BjStatus;

#define BJ_CODES_MAX 64 // result codes are below this

const char *bj_status_name (BjStatus s); // "BJ_E_OVERLOAD"
BjStatus bj_fail (BjStatus s, const char *format, ...)
    G_GNUC_PRINTF (2, 3);           // Sets the last message, returns s
const char *bj_last_message (void); // Sentence of the last failure

// ---------------------------------------------------------------------------------------------
// Log: short sentences with a fixed prefix for each part
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_LOG_ERROR,
  BJ_LOG_WARNING,
  BJ_LOG_INFO,
  BJ_LOG_DEBUG, // decision lines of every call
} BjLogLevel;

void bj_log_open (BjLogLevel level);    // Routes GLib's log to a bounded buffer for stdout
bool bj_log_enabled (BjLogLevel level); // Lines of this level are kept
void bj_log (BjLogLevel level, const char *prefix, const char *format, ...)
    G_GNUC_PRINTF (3, 4);          // "PREFIX: sentence."
bool bj_log_has_room (BjTime now); // One more line of a call in this second; counts it
void bj_log_flush (void);          // Writes what stdout takes without blocking, now and then
void bj_log_close (void);          // The same, now
uint64_t bj_log_dropped (void);    // Lines lost because stdout did not keep up, or over the bound

// ---------------------------------------------------------------------------------------------
// Metric: counters, gauges and log-bucket histograms
// ---------------------------------------------------------------------------------------------

#define BJ_HIST_BUCKETS 512

typedef struct
{
  uint64_t bucket[BJ_HIST_BUCKETS]; // 16 buckets per power of two, from 1 microsecond
  uint64_t n;
  double sum_ms;
} BjHist;

void bj_hist_add (BjHist *h, double ms); // Records one value; below 1 us counts as 1 us
double bj_hist_quantile (const BjHist *h,
                         double q); // Value in ms at quantile q in 0..1; 0 when empty
uint64_t bj_hist_below (const BjHist *h, double ms);   // Values in the buckets up to that of ms
void bj_hist_merge (BjHist *into, const BjHist *from); // Adds from to into

typedef struct
{
  const char *name; // as in /metrics, without the bj_ prefix
  const char *help;
  uint64_t value;
} BjCounter;

void bj_metric_register (BjCounter *c); // Makes c part of the text exposition; c must stay alive
void bj_metric_print (GString *out);    // Text exposition of every registered counter

// ---------------------------------------------------------------------------------------------
// Plugin: behaviours that register themselves and are chosen by name
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_PLUGIN_LIMITER,
  BJ_PLUGIN_QUEUE,
  BJ_PLUGIN_ROUTER,
  BJ_PLUGIN_RETRY,
  BJ_PLUGIN_PLATFORM,
  BJ_PLUGIN_DIALECT,
  BJ_PLUGIN_KINDS,
} BjPluginKind;

void
bj_plugin_register (BjPluginKind kind, const char *name, const void *ops); // Called by constructors
const void *bj_plugin_find (BjPluginKind kind, BjStr name); // NULL when there is none
void bj_plugin_names (BjPluginKind kind, GString *out);     // "fifo, priority-deadline"

#define BJ_PLUGIN(kind, name, ops)                                                                 \
  static void __attribute__ ((constructor)) register_##ops (void)                                  \
  {                                                                                                \
    bj_plugin_register (kind, name, &(ops));                                                       \
  }

// ---------------------------------------------------------------------------------------------
// Call: what the kernel knows of one request
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_DONE,    // it ran; the answer is the upstream's
  BJ_NOT_RUN, // no byte of it reached an upstream, or the upstream refused it
  BJ_UNKNOWN, // it may have run
} BjOutcome;

const char *bj_outcome_name (BjOutcome o); // "done", "not-run", "unknown"

typedef struct
{
  BjStr method;        // "GET"
  BjStr path;          // with query
  BjStr host;          // authority the caller asked for, without the port, empty if none
  BjStr id;            // the caller's name for this attempt, empty if none
  BjStr key;           // Idempotency-Key, empty if none
  BjStr content_type;  // of the body
  BjStr headers;       // others to relay, "Name: value" lines, each ended by a line feed
  BjStr body;          // whole
  int klass;           // asked for by the caller, -1 if none; may only lower the route's
  double deadline_ms;  // remaining, 0 if none
  int attempts_left;   // for the whole chain, -1 if none
  int depth;           // hops so far
  uint64_t parent;     // guard call this one was made for, 0 if none
  bool irreversible;   // set by the daemon that routes it
  double objective_ms; // of what is left, an answer within it is worth most; set by the same
  bool has_cohort;     // cohort is set: by the front that the action came to
  uint32_t cohort;     // hash of the action, the same on the whole chain
  bool is_spilled;     // came from a daemon of another failure domain, set by the receiver
  bool is_far;         // came from a daemon of another region, set by the receiver
} BjRequest;

typedef struct
{
  int limit;     // calls in flight that a guard takes, 0 when it tells no load
  int in_flight; // on its upstream
  int queued;    // waiting there
  int failing;   // of 1000 runs there, those that fail through the upstream's fault
} BjLoad;

typedef struct
{
  BjStatus code; // why the layer answers itself, BJ_OK for an upstream's answer
  BjOutcome outcome;
  int http_status;
  bool failed;           // it ran, and the upstream says that it failed
  double retry_after_ms; // when to come back, 0 if it makes no sense
  int attempts_left;     // of the chain's allowance, -1 if not known
  int level;             // admission level of the guard that answered, 0 admits all
  BjLoad load;           // of that guard, as it answered
  bool makes_calls;      // runs of this route call other services
  BjStr content_type;
  BjStr headers;  // others to relay, "Name: value" lines, each ended by a line feed
  int64_t length; // of the body, -1 if not known
  BjStr body;     // of a recorded answer, empty for others
} BjAnswer;

typedef struct BjPeer BjPeer;
typedef struct BjService BjService;
typedef struct BjKernel BjKernel;

typedef enum
{
  BJ_CALL_NEW,
  BJ_CALL_CLAIMING, // waits for the claim store
  BJ_CALL_SENT,     // at a peer
  BJ_CALL_QUEUED,   // in the own guard's queue
  BJ_CALL_RUNNING,  // on the own upstream
  BJ_CALL_ENDED,
} BjCallState;

typedef struct BjCall
{
  uint64_t id; // unique in this incarnation
  BjCallState state;
  bool is_front; // arrived from a caller; otherwise from a peer
  bool irreversible;
  bool answer_begun;    // nothing can be retried any more
  int status;           // HTTP status of that answer
  bool is_failed;       // that answer says that the run failed
  bool is_failed_below; // a call that its run made did not succeed
  bool needs_claim;     // irreversible under the caller's key, not only within this attempt
  bool may_have_run;    // an attempt ended without telling
  uint64_t fingerprint; // of the request, for the quarantine
  bool detached;        // runs on without a caller
  BjRequest request;    // owned copies
  BjService *service;
  int klass; // 0 is the most important
  BjTime arrived;
  BjTime deadline;
  double objective_ms; // from its arrival, within which an answer is worth most
  int attempts_left;   // of the chain's allowance, what was handed down not included
  int attempts_handed; // to the daemon it was sent to
  double retry_cost;   // tokens of a further attempt, more for calls that make others
  int attempts_before; // attempts_left and attempts_handed when it was last sent
  uint32_t cohort;     // hash of the action, the same on every hop
  uint64_t route;      // hash of the prefix that its path matched, 0 if not known
  BjTime handed_until; // deadline that the upstream was told, by this clock
  bool is_inner;       // the own upstream made it for a call that runs there
  uint64_t made_for;   // that call, 0 if not known
  bool is_return;      // its caller was refused before and came back when told
  int level;           // highest admission level below, for calls made for it
  BjPeer *target;      // where it was sent
  BjPeer *tried[BJ_TRIED_MAX];
  int n_tried;
  BjTime sent;          // to a peer
  BjTime started;       // on the own upstream
  uint64_t start_order; // among all calls started there, from 1
  int start_in_flight;  // there when it started, itself included
  GSequenceIter *deadline_at;
  struct BjCall *queue_next; // for queues and lists of evicted calls
  BjTime queued;
  void *data; // the host's
} BjCall;

// ---------------------------------------------------------------------------------------------
// Limiter: how many calls may run on the own upstream (plug-in)
// ---------------------------------------------------------------------------------------------

typedef struct
{
  int slots;        // announced by the upstream
  double ramp_ms;   // slow start after an announcement, 0 for none
  double tolerance; // mean service time over its floor that counts as overload, at least 1
} BjLimiterOptions;

#define BJ_LIMITER_OPTIONS_DEFAULT                                                                 \
  {                                                                                                \
    .slots = 1, .ramp_ms = 2000, .tolerance = 1.15                                                 \
  }

typedef struct
{
  double service_ms;
  int klass;
  uint64_t order;     // of its start among all calls of this guard, from 1
  uint64_t n_started; // calls of this guard so far
  int in_flight;      // when it started, itself included
  BjStatus code;      // BJ_OK, BJ_E_SHED, BJ_E_DEADLINE, BJ_E_CANCELLED, BJ_E_LOST, BJ_E_BROKEN
} BjLimiterSample;

typedef struct BjLimiter BjLimiter;

typedef struct
{
  BjLimiter *(*create) (const BjLimiterOptions *o, BjTime now);
  void (*destroy) (BjLimiter *l);
  int (*limit) (BjLimiter *l, BjTime now); // calls, at least BJ_LIMIT_MIN
  void (*sample) (BjLimiter *l, BjTime now, const BjLimiterSample *s);     // one call ended
  void (*configure) (BjLimiter *l, BjTime now, const BjLimiterOptions *o); // new slots or options
} BjLimiterOps;

struct BjLimiter
{
  const BjLimiterOps *ops;
};

// ---------------------------------------------------------------------------------------------
// Queue: calls that wait for a slot of the own upstream (plug-in)
// ---------------------------------------------------------------------------------------------

typedef struct
{
  double max_wait_ms; // estimated wait above which a call is refused
  int max_length;     // calls
} BjQueueOptions;

#define BJ_QUEUE_OPTIONS_DEFAULT                                                                   \
  {                                                                                                \
    .max_wait_ms = BJ_QUEUE_MAX_WAIT_MS, .max_length = BJ_QUEUE_MAX_LENGTH                         \
  }

typedef struct BjQueue BjQueue;

typedef struct
{
  BjQueue *(*create) (const BjQueueOptions *o);
  void (*destroy) (BjQueue *q); // must be empty
  void (*configure) (BjQueue *q, const BjQueueOptions *o);
  BjStatus (*offer) (BjQueue *q,
                     BjTime now,
                     BjCall *c,
                     BjCall **evicted);     // BJ_E_OVERLOAD, BJ_E_DEADLINE refuse c; evicted is a
                                            // list by queue_next
  BjCall *(*take) (BjQueue *q, BjTime now); // next to run, NULL if none
  bool (*remove) (BjQueue *q, BjCall *c);   // false if c is not there
  int (*length) (const BjQueue *q);
  int (*waiting) (const BjQueue *q, int klass); // calls of the class or a more important one
  double (*wait_ms) (const BjQueue *q,
                     BjTime now,
                     int klass);            // estimate for a new call of the class
  void (*drained) (BjQueue *q, BjTime now); // slots are free and no call waits
} BjQueueOps;

struct BjQueue
{
  const BjQueueOps *ops;
};

// ---------------------------------------------------------------------------------------------
// Router: which upstream's daemon gets a call (plug-in)
// ---------------------------------------------------------------------------------------------

typedef struct
{
  const BjCall *call;
  BjPeer *const *peers; // all known daemons of the service, the own one included
  int n;
  BjStr domain; // of this daemon
  BjStr region;
  GRand *rand;
  int *n_candidates; // out: how many could have been taken
} BjRouterAsk;

typedef struct BjRouter BjRouter;

typedef struct
{
  BjRouter *(*create) (void);
  void (*destroy) (BjRouter *r);
  BjPeer *(*pick) (BjRouter *r, BjTime now, const BjRouterAsk *ask); // NULL when none may be taken
  void (*result) (BjRouter *r,
                  BjTime now,
                  BjPeer *p,
                  BjStatus s); // A call sent to p ended: BJ_OK, or why it was refused or failed
  bool pools_region;           // the failure domains of a region share their upstreams
} BjRouterOps;

struct BjRouter
{
  const BjRouterOps *ops;
};

// ---------------------------------------------------------------------------------------------
// Retry: whether a failed call may be tried again (plug-in)
// ---------------------------------------------------------------------------------------------

typedef struct
{
  double ratio; // tokens earned per fresh call
  int reserve;  // classes whose place counts: each leaves a quarter of the tokens, one at least
  double burst; // most tokens kept
  double saved; // more of them for each fresh call of the last ten seconds or so
} BjRetryOptions;

#define BJ_RETRY_OPTIONS_DEFAULT                                                                   \
  {                                                                                                \
    .ratio = BJ_RETRY_RATIO, .burst = BJ_RETRY_BURST                                               \
  }

typedef struct BjRetry BjRetry;

typedef struct
{
  BjRetry *(*create) (const BjRetryOptions *o);
  void (*destroy) (BjRetry *r);
  void (*fresh) (BjRetry *r, BjTime now);            // a call arrived for the first time
  bool (*allow) (BjRetry *r, BjTime now, BjCall *c); // takes a token and an attempt when true
} BjRetryOps;

struct BjRetry
{
  const BjRetryOps *ops;
};

// ---------------------------------------------------------------------------------------------
// Ticket: numbered configuration, always the whole state of what it touches
// ---------------------------------------------------------------------------------------------

typedef struct
{
  BjStr service; // name
  int weight;    // relative to the others of the route
} BjShare;

typedef struct
{
  BjStr host;   // that callers ask for, empty for any
  BjStr prefix; // of the path
  int klass;
  bool irreversible;
  bool needs_claim; // irreversible for all attempts under one key, not only within one attempt
  double deadline_ms;
  double objective_ms; // an answer within it is worth most
  int attempts;        // further attempts of one user action, whole chain
  BjShare *shares;     // services that share its calls, none when its own service takes all
  int n_shares;
} BjRoute;

typedef enum
{
  BJ_PREFER_RECOVERY, // short waits; refused callers come back soon or not at all
  BJ_PREFER_GOODPUT,  // longer waits; refused callers come back when they can be served
} BjPrefer;

typedef struct
{
  BjStr name;
  int64_t number; // ticket that set it
  BjPrefer prefer;
  BjRoute *routes;
  int n_routes;
  const BjLimiterOps *limiter;
  BjLimiterOptions limiter_options;
  const BjQueueOps *queue;
  BjQueueOptions queue_options;
  const BjRouterOps *router;
  const BjRetryOps *retry;
  BjRetryOptions retry_options;
} BjServiceConfig;

typedef struct
{
  BjStr name;
  int64_t number;
  bool drain;    // takes no new work
  int max_slots; // 0 for what it announces
} BjUpstreamConfig;

typedef struct
{
  size_t header_bytes;      // of a request head
  size_t body_bytes;        // of a request body
  double header_timeout_ms; // from a request's first byte to the end of its head
  double idle_timeout_ms;   // of a connection without a request
} BjCallerLimits;

#define BJ_CALLER_LIMITS_DEFAULT                                                                   \
  {                                                                                                \
    .header_bytes = BJ_HEADER_MAX, .body_bytes = BJ_REQUEST_BODY_MAX,                              \
    .header_timeout_ms = BJ_HEADER_TIMEOUT_MS, .idle_timeout_ms = BJ_CALLER_IDLE_MS                \
  }

typedef struct
{
  int64_t number; // last ticket merged
  BjServiceConfig *services;
  int n_services;
  BjUpstreamConfig *upstreams;
  int n_upstreams;
  GPtrArray *classes;     // char*, index is the class
  GHashTable *hosts;      // BjStr* in BjRoute to GArray of routes, longest prefix first
  BjCallerLimits callers; // of connections and requests
  bool allows_bare;       // services without routes, which tickets must not have
  BjStr text;             // canonical JSON of the whole
} BjConfig;

BjStatus bj_config_parse (BjStr text,
                          BjConfig **config); // Merged state; BJ_E_TICKET, BJ_E_TOO_LARGE
BjStatus bj_config_parse_with (
    BjStr text,
    BjStr defaults,
    BjConfig **config); // The same; defaults: JSON object of a service's keys, for those not given
void bj_config_free (BjConfig *c);                                          // NULL does nothing
const BjServiceConfig *bj_config_service (const BjConfig *c, BjStr name);   // NULL when unknown
const BjUpstreamConfig *bj_config_upstream (const BjConfig *c, BjStr name); // NULL when unknown
const BjRoute *bj_config_route (const BjConfig *c,
                                BjStr path,
                                const BjServiceConfig **s); // Longest prefix, NULL if none
const BjRoute *bj_config_route_of (const BjConfig *c,
                                   BjStr host,
                                   BjStr path,
                                   const BjServiceConfig **s); // Of the host or of any host
BjStatus bj_ticket_check (BjStr text,
                          int64_t *number); // Whole check without the store; BJ_E_TICKET
BjStatus bj_ticket_merge (BjStr current,
                          BjStr ticket,
                          GString *merged); // current may be empty; BJ_E_BASE, BJ_E_TICKET
BjStatus bj_ticket_decide (BjStr current,
                           int64_t number,
                           BjStr filed,
                           GString *next); // Merges or refuses the object tickets/<number>
void bj_ticket_difference (BjStr current,
                           BjStr ticket,
                           GString *out); // A line for each touched value that is not the same

// ---------------------------------------------------------------------------------------------
// Filing: brings one ticket, or what others left undone, into config/current. Does no I/O
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_STORE_READ,
  BJ_STORE_CREATE, // only if absent
  BJ_STORE_UPDATE, // only if the version is still the object's
} BjStoreAction;

typedef struct
{
  BjStoreAction action;
  char name[BJ_OBJECT_NAME_MAX]; // "tickets/12"
  BjStr version;                 // of an update, opaque
  BjStr spec;                    // JSON text of a create or update
  double pause_ms;               // to wait before the call
} BjStoreCall;

typedef struct
{
  BjStatus code;
  BjStr version;
  BjStr spec; // JSON text, empty on failure
} BjStoreReply;

typedef struct
{
  BjStr ticket;  // to file, empty to complete what others began
  BjStr writer;  // unique id of this filing
  BjStr held;    // configuration in force here, empty if none; written back over an older one
  int tries;     // failed calls before the filing ends
  uint32_t seed; // of the pauses
} BjFilingOptions;

#define BJ_FILING_OPTIONS_DEFAULT                                                                  \
  {                                                                                                \
    .tries = BJ_FILING_TRIES                                                                       \
  }

typedef struct BjFiling BjFiling;

BjStatus bj_filing_new (const BjFilingOptions *o, BjFiling **f); // BJ_E_TICKET, BJ_E_TOO_LARGE
void bj_filing_free (BjFiling *f);                               // NULL does nothing
bool bj_filing_next (const BjFiling *f,
                     BjStoreCall *c); // The call to make now, strings borrowed; false at the end
void bj_filing_reply (BjFiling *f, const BjStoreReply *r); // What became of that call
BjStatus bj_filing_result (
    const BjFiling *f); // At the end: BJ_OK accepted; BJ_E_EXISTS, _BASE, _GAP, _TICKET,
                        // _TOO_LARGE: not; BJ_E_PLATFORM: not filed; BJ_E_PENDING: may still be
const char *bj_filing_message (const BjFiling *f); // Sentence that belongs to the result
BjStr bj_filing_current (const BjFiling *f,
                         BjStr *version);   // config/current as last seen, empty before
BjStr bj_filing_writer (const BjFiling *f); // Under which the ticket stands in the store, or empty
bool bj_filing_wrote_back (const BjFiling *f); // The store held an older one than held

// ---------------------------------------------------------------------------------------------
// Peer: another daemon and the upstream beside it
// ---------------------------------------------------------------------------------------------

typedef struct
{
  BjStr name; // unique in the deployment
  BjStr domain;
  BjStr region;
  BjStr service; // empty until its upstream has announced itself
  BjStr host;    // IP address in numbers
  int link_port;
  BjStr gossip_host; // IP address in numbers
  int gossip_port;
  uint64_t incarnation;  // grows with every start
  uint64_t version;      // grows with every change of identity or state in one incarnation
  uint64_t load_version; // grows with every change of load in one incarnation
  int limit;             // calls in flight it takes now
  int in_flight;
  int queued;
  int level;   // admission level
  int failing; // of 1000 runs on its upstream, those that fail through the upstream's fault
  bool draining;
  int64_t config_number; // ticket in force there
} BjPeerReport;

struct BjPeer
{
  BjPeerReport report; // owned strings
  bool is_self;
  BjService *service;
  BjTime reported;         // when the load in it was told
  BjTime told_load;        // the same, of a load told with an answer
  BjTime skip_until;       // after a failure
  double skip_ms;          // of the last failure, 0 after a success
  int n_failures;          // sheds and timeouts in a row
  BjTime spill_skip_until; // after it refused a call of another domain
  int own_in_flight;       // calls this daemon has there
  int sent_since;          // of them, sent after the load was told
  double service_ms;       // smoothed time to an answer, 0 before the first
  bool is_unheard;         // its link was replaced for silence and has not been heard since
  bool is_gone;            // takes no new call, kept while calls are open there
  void *link;              // the host's
};

struct BjService
{
  BjStr name;
  GPtrArray *peers;              // BjPeer*, borrowed from the kernel's table
  const BjServiceConfig *config; // NULL when the configuration does not know it
  BjRouter *router;
  BjRetry *retry;
};

void bj_peer_report_copy (BjPeerReport *to,
                          const BjPeerReport *from);   // Deep copy; frees what was there
void bj_peer_report_clear (BjPeerReport *r);           // Frees the strings
bool bj_peer_takes (const BjPeer *p, const BjCall *c); // May get c, which it has not had yet

// ---------------------------------------------------------------------------------------------
// Kernel: makes every decision, does no I/O
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_CLEAR,
  BJ_SUSPECT,     // ran on an upstream when it died
  BJ_QUARANTINED, // did so twice
} BjSuspicion;

typedef struct
{
  uint64_t fingerprint; // of a request
  BjSuspicion state;
  double lifetime_ms;
} BjNotice;

typedef struct BjHost BjHost;

typedef struct
{
  void (*send_peer) (BjHost *h,
                     BjCall *c,
                     BjPeer *p);                 // Forward c; answers come by bj_kernel_answer_*
  void (*start_upstream) (BjHost *h, BjCall *c); // Run c on the own upstream
  void (*cancel) (BjHost *h, BjCall *c);         // Stop what the two above began
  void (*answer) (BjHost *h, BjCall *c, const BjAnswer *a); // The layer's own final answer
  void (*claim) (BjHost *h, BjCall *c); // Make the claim durable, then bj_kernel_claimed
  void (*freed) (BjHost *h, BjCall *c); // c is about to be freed
} BjHostOps;

struct BjHost
{
  const BjHostOps *ops;
};

typedef struct
{
  BjPeerReport self; // identity of this daemon; copied
  BjHost *host;
  uint32_t seed; // of every random choice
} BjKernelOptions;

typedef enum
{
  BJ_RELAY,  // pass the answer on
  BJ_ABSORB, // drop it, the call goes on elsewhere or was answered
} BjVerdict;

typedef enum
{
  BJ_DRAIN_TICKET = 1,   // the configuration says so
  BJ_DRAIN_UPSTREAM = 2, // the upstream announced it
  BJ_DRAIN_STOP = 4,     // the daemon stops
} BjDrainReason;

BjKernel *bj_kernel_new (const BjKernelOptions *o, BjTime now); // Never fails
void bj_kernel_free (BjKernel *k);                              // Ends open calls without an answer
void bj_kernel_set_config (BjKernel *k,
                           BjTime now,
                           BjConfig *c);              // Takes c over; an older number is dropped
const BjConfig *bj_kernel_config (const BjKernel *k); // NULL before the first
BjCall *bj_kernel_arrive (BjKernel *k,
                          BjTime now,
                          const BjRequest *r,
                          void *data); // From a caller; may answer at once
BjCall *bj_kernel_arrive_peer (
    BjKernel *k, BjTime now, const BjRequest *r, BjStr service, void *data); // From a peer's front
void bj_kernel_claimed (BjKernel *k,
                        BjTime now,
                        BjCall *c,
                        const BjAnswer *a); // NULL lets it run, others are its final answer
BjVerdict bj_kernel_answer_begin (BjKernel *k,
                                  BjTime now,
                                  BjCall *c,
                                  const BjAnswer *a); // Head of an answer arrived
void
bj_kernel_answer_end (BjKernel *k, BjTime now, BjCall *c, bool whole); // Body ended; c is freed
void bj_kernel_lost (BjKernel *k,
                     BjTime now,
                     BjCall *c,
                     BjStatus s,
                     BjOutcome o); // Peer or upstream failed before an answer
void bj_kernel_crashed (BjKernel *k,
                        BjTime now,
                        uint64_t fingerprint,
                        BjTime started); // The own upstream died running a call that ended since
void bj_kernel_notice (BjKernel *k, BjTime now, const BjNotice *n); // A peer tells of a suspect
void bj_kernel_notices (BjKernel *k,
                        BjTime now,
                        bool all,
                        GArray *notices); // What peers must be told: news, or all in force
void bj_kernel_cancel (BjKernel *k, BjTime now, BjCall *c); // The caller went away; c is freed
void bj_kernel_peer_silent (BjKernel *k,
                            BjTime now,
                            BjPeer *p,
                            double ms); // Gets no calls for so long if there are others
void bj_kernel_peer_unheard (BjKernel *k,
                             BjPeer *p,
                             bool unheard); // Gets no calls until it is heard again
void bj_kernel_move (BjKernel *k,
                     BjTime now,
                     BjCall *c); // Its peer is silent: c goes elsewhere if it may run again
void bj_kernel_announce (BjKernel *k,
                         BjTime now,
                         BjStr service,
                         int slots);                    // The own upstream announced itself
void bj_kernel_upstream_gone (BjKernel *k, BjTime now); // It stopped announcing
void bj_kernel_drain (BjKernel *k,
                      BjTime now,
                      BjDrainReason r,
                      bool drain); // No new work, or take it again when no reason is left
void bj_kernel_peer (BjKernel *k,
                     BjTime now,
                     const BjPeerReport *r); // A peer's report; older ones are ignored
void bj_kernel_peer_gone (BjKernel *k,
                          BjTime now,
                          BjStr name); // It takes no new call; forgotten by the call below
void bj_kernel_each_gone_peer (BjKernel *k,
                               void (*fn) (BjPeer *p, void *data),
                               void *data);          // Gone ones without open calls
void bj_kernel_forget_peer (BjKernel *k, BjPeer *p); // Frees a gone peer
void bj_kernel_tick (BjKernel *k, BjTime now);       // Deadlines that passed
BjTime bj_kernel_next (const BjKernel *k);           // When to tick next
void bj_kernel_self (BjKernel *k,
                     BjTime now,
                     BjPeerReport *r);        // Fills the load of this daemon; strings are borrowed
int bj_kernel_open_calls (const BjKernel *k); // Calls not ended
void
bj_kernel_explain (const BjKernel *k, BjStr key, GString *out); // Recent decisions about an action
void
bj_kernel_metrics (BjKernel *k, BjTime now, GString *out); // Text exposition of calls, limit, queue
int bj_kernel_level (BjKernel *k,
                     BjTime now,
                     const BjCall *c); // Admission level to tell with the answer to c
bool bj_kernel_makes_calls (BjKernel *k, const BjCall *c); // Runs of its route call other services
BjLoad bj_kernel_load (BjKernel *k, BjTime now); // Of this daemon's guard, to tell with an answer
BjPeer *bj_kernel_find_peer (BjKernel *k, BjStr name); // NULL when unknown
void
bj_kernel_each_peer (BjKernel *k, void (*fn) (BjPeer *p, void *data), void *data); // In no order

// ---------------------------------------------------------------------------------------------
// Settings: what one daemon is told at its start
// ---------------------------------------------------------------------------------------------

typedef struct
{
  BjStr host; // IP address in numbers
  int port;   // 1..65535
} BjAddress;

typedef struct
{
  BjStr name;
  BjStr domain;
  BjStr region;
  BjAddress front;             // callers and the own upstream's calls, HTTP
  BjAddress admin;             // announcements, status, metrics, HTTP
  BjAddress link;              // other daemons, TCP
  BjAddress gossip;            // other daemons, UDP
  BjAddress advertised_link;   // where other daemons reach the link address
  BjAddress advertised_gossip; // where other daemons reach the gossip address
  BjAddress ready;             // GET /ready and /metrics alone, port 0 for none
  BjAddress upstream;          // where the own upstream must be, port 0 for anywhere
  BjStr service;               // of the own upstream, empty until it announces itself
  BjStr
      service_defaults; // JSON object: of services whose configuration does not say, empty for none
  BjStr dialect;        // plug-in that reads and writes HTTP headers and announcements
  BjStr *domains;       // all failure domains of the deployment, where they are known
  int n_domains;
  BjAddress *seeds; // gossip addresses to begin with
  int n_seeds;
  BjStr platform_name; // plug-in
  BjStr platform_url;
  BjStr key_file; // deployment key, empty for none
  BjLogLevel log_level;
  double drain_ms;     // longest time a stop waits for open calls
  double heartbeat_ms; // between two announcements of the own upstream
} BjSettings;

BjStatus
bj_settings_read (const char *path,
                  BjSettings *s); // BJ_E_IO, BJ_E_SETTINGS with file, place, value and range
BjStatus bj_settings_parse (const char *name,
                            BjStr text,
                            BjSettings *s); // The same from memory; name stands in messages
void bj_settings_clear (BjSettings *s);     // Frees the strings

// ---------------------------------------------------------------------------------------------
// Daemon: the kernel on a libev loop with sockets
// ---------------------------------------------------------------------------------------------

typedef struct BjDaemon BjDaemon;
struct ev_loop;

BjStatus bj_daemon_new (struct ev_loop *loop,
                        const BjSettings *s,
                        BjDaemon **d); // BJ_E_IO when a port is busy
void
bj_daemon_reload (BjDaemon *d,
                  const BjSettings *s); // Takes over what may change while it runs; logs the rest
void bj_daemon_stop (BjDaemon *d);      // Drains, then breaks the loop
void bj_daemon_free (BjDaemon *d);
