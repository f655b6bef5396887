// boragejunction: an overload control layer for service call graphs.
//
// This header documents the whole public API. The comment at the right of each function states what
// it does, who owns what it returns and which error codes it reports. Times are in milliseconds,
// sizes in bytes. Functions that can fail return a BjStatus and store a message for
// bj_last_message (). Nothing here is thread-safe: call everything from the one thread that runs
// the event loop.

#pragma once

#include "config.h"
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// ---------------------------------------------------------------------------------------------
// Clock: the time type used everywhere
// ---------------------------------------------------------------------------------------------

typedef double BjTime; // milliseconds; monotonic unless the name contains "wall"

#define BJ_TIME_NEVER 1e18 // compares greater than every real time

BjTime bj_clock_now (void);  // Monotonic time
BjTime bj_clock_wall (void); // Wall-clock time since 1970, for key ages and log lines

// ---------------------------------------------------------------------------------------------
// Str: strings with an explicit length
// ---------------------------------------------------------------------------------------------

typedef struct
{
  const char *data; // not NUL-terminated unless made by bj_str_dup
  size_t len;       // bytes
} BjStr;

#define BJ_STR(literal) ((BjStr){ "" literal, sizeof (literal) - 1 })
#define BJ_STR_NULL ((BjStr){ NULL, 0 })
#define BJ_STR_ARG(s) (int)(s).len, (s).len > 0 ? (s).data : "" // for "%.*s"

BjStr bj_str (const char *text);         // View of a NUL-terminated string; NULL gives an empty one
BjStr bj_str_dup (BjStr s);              // NUL-terminated copy, to be freed with bj_str_free
void bj_str_free (BjStr *s);             // Frees a copy and sets *s to the empty string
void bj_str_set (BjStr *s, BjStr value); // Frees *s and stores a copy of value in it
bool bj_str_equal (BjStr a, BjStr b);    // True when both have the same bytes
bool bj_str_starts (BjStr s, BjStr prefix); // True when s begins with prefix
BjStr bj_str_trim (BjStr s);                // View of s without spaces and tabs at its ends
uint64_t bj_str_hash (BjStr s);             // 64-bit xxHash with seed 0
bool bj_str_decimal (BjStr s,
                     double *value);       // Digits with an optional fraction; false if malformed
bool bj_str_int (BjStr s, int64_t *value); // Parses all of s as a decimal integer; false on failure

// ---------------------------------------------------------------------------------------------
// Status: numbered result codes, listed in docs/RESULT-CODES.md
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_OK = 0,
  BJ_E_ARGUMENT = 1,      // a command line or function argument is invalid
  BJ_E_SETTINGS = 2,      // the settings have an unknown key, a wrong type or a value out of range
  BJ_E_IO = 3,            // the operating system refused an operation
  BJ_E_FORMAT = 4,        // received bytes can't be decoded
  BJ_E_TOO_LARGE = 5,     // a body, header block, frame or ticket exceeds its size limit
  BJ_E_AUTH = 6,          // a peer's signature is missing or wrong
  BJ_E_NO_ROUTE = 10,     // no route matches the path
  BJ_E_NO_UPSTREAM = 11,  // no upstream of the service is reachable
  BJ_E_OVERLOAD = 12,     // refused because of load
  BJ_E_DEADLINE = 13,     // the deadline has passed or can't be met
  BJ_E_DRAINING = 14,     // the upstream is draining and takes no new calls
  BJ_E_CANCELLED = 15,    // the caller closed its connection or cancelled the call
  BJ_E_LOST = 16,         // the connection to a peer or upstream was lost
  BJ_E_BROKEN = 17,       // a response was truncated or corrupt
  BJ_E_KEY = 18,          // the Idempotency-Key is missing or malformed
  BJ_E_DUPLICATE = 19,    // the action has been claimed already
  BJ_E_QUARANTINED = 20,  // the request is in quarantine because it crashed upstreams
  BJ_E_SHED = 21,         // the upstream itself refused the call without running it
  BJ_E_HOME = 22,         // the action id was issued by another daemon
  BJ_E_CRASHED = 23,      // the upstream crashed while it ran the call
  BJ_E_UNAUTHORIZED = 24, // the key of a client account is missing, unknown or withdrawn
  BJ_E_RATE = 25,         // the client account is above its rate
  BJ_E_EXISTS = 30,       // the object exists already
  BJ_E_CONFLICT = 31,     // a conditional update failed because the object had changed
  BJ_E_NOT_FOUND = 32,    // the object does not exist
  BJ_E_PLATFORM = 33,     // the platform is unreachable, timed out or refused the request
  BJ_E_TICKET = 34,       // a ticket is malformed or refers to something unknown
  BJ_E_BASE = 35,         // a value that the ticket changes was changed after the ticket's base
  BJ_E_GONE = 36,         // the watched version is no longer available; read the object again
  BJ_E_GAP = 37,          // the ticket's number is not the next in sequence
  BJ_E_PENDING = 38,      // the ticket was, or may have been, filed and is not decided yet
} BjStatus;

#define BJ_CODES_MAX 64 // upper bound on result codes, exclusive

const char *bj_status_name (BjStatus s); // "BJ_E_OVERLOAD"
BjStatus bj_fail (BjStatus s, const char *format, ...)
    G_GNUC_PRINTF (2, 3);           // Formats the last message and returns s
const char *bj_last_message (void); // Message of the last failure, borrowed

// ---------------------------------------------------------------------------------------------
// Log: one line for each event, with a fixed prefix for each module
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_LOG_ERROR,
  BJ_LOG_WARNING,
  BJ_LOG_INFO,
  BJ_LOG_DEBUG, // most verbose level, logs everything
} BjLogLevel;

void bj_log_open (BjLogLevel level);    // Sends GLib's log lines to stdout through a bounded buffer
bool bj_log_enabled (BjLogLevel level); // True when lines of this level are logged
void bj_log (BjLogLevel level, const char *prefix, const char *format, ...)
    G_GNUC_PRINTF (3, 4); // Writes "PREFIX: message"
bool
bj_log_allow_call_line (BjTime now); // Counts one line of a call; false above the limit per second
void bj_log_flush (void);       // Writes the buffered lines if they are many or old; never blocks
void bj_log_close (void);       // Writes all buffered lines now; never blocks
uint64_t bj_log_dropped (void); // Lines lost to a full buffer or to the limit per second

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

void bj_hist_add (BjHist *h, double ms); // Records a value; values below 1 us count as 1 us
double bj_hist_quantile (const BjHist *h, double q); // Value in ms at q in 0..1; 0 when empty
uint64_t bj_hist_count_up_to (const BjHist *h,
                              double ms); // Count of values in buckets up to that of ms
void bj_hist_merge (BjHist *into, const BjHist *from); // Adds the values of from to into

typedef struct
{
  const char *name; // as in /metrics, but without the bj_ prefix
  const char *help;
  uint64_t value;
} BjCounter;

void bj_metric_register (BjCounter *c);   // Adds c to /metrics; c must not be freed
void bj_metric_print (GString *out);      // Appends all counters in the text exposition format
void bj_metric_print_gauge (GString *out, // Appends one value in that format; name without "bj_"
                            const char *name,
                            const char *help,
                            double value);

// ---------------------------------------------------------------------------------------------
// Plugin: implementations that register themselves and are selected by name
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
bj_plugin_register (BjPluginKind kind, const char *name, const void *ops); // Called by BJ_PLUGIN
const void *bj_plugin_find (BjPluginKind kind, BjStr name); // Its ops, NULL when unknown
void bj_plugin_names (BjPluginKind kind, GString *out); // Appends e.g. "fifo, priority-deadline"

#define BJ_PLUGIN(kind, name, ops)                                                                 \
  static void __attribute__ ((constructor)) register_##ops (void)                                  \
  {                                                                                                \
    bj_plugin_register (kind, name, &(ops));                                                       \
  }

// ---------------------------------------------------------------------------------------------
// Call: the state of one request in the kernel
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_DONE,    // the call ran; the response is the upstream's
  BJ_NOT_RUN, // no byte of the call reached an upstream, or the upstream refused it
  BJ_UNKNOWN, // the call may have run
} BjOutcome;

const char *bj_outcome_name (BjOutcome o); // "done", "not-run", "unknown"

typedef struct
{
  BjStr method;         // "GET"
  BjStr path;           // including the query
  BjStr host;           // requested authority without the port, empty if none
  BjStr id;             // request id set by the caller for this attempt, empty if none
  BjStr key;            // Idempotency-Key, empty if none
  BjStr content_type;   // of the body
  BjStr headers;        // other headers to relay, "Name: value" lines, each ended by a line feed
  BjStr api_key;        // key of a client account as the caller sent it; never sent on or logged
  BjStr account;        // name of the client account, empty if none
  bool hides_account;   // the account was inferred from times and is not sent to the upstream
  BjStr body;           // complete body
  int klass;            // requested class, -1 if none; can only lower the route's priority
  double deadline_ms;   // time left until the deadline, 0 if none
  double waited_ms;     // time since it was read, behind others of its connection
  int attempts_left;    // further attempts allowed in the whole call chain, -1 if not given
  int depth;            // hops so far
  uint64_t parent;      // id of the call on the own upstream that made this one, 0 if none
  bool irreversible;    // set by the daemon that routes the call
  double objective_ms;  // latency objective left, 0 if none; set by the daemon that routes the call
  bool has_cohort;      // cohort is valid: the action's first front has set it
  uint32_t cohort;      // hash of the action, the same in the whole call chain
  bool is_spilled;      // from another domain, or region if pools_region; set by the receiver
  bool is_cross_region; // sent by a daemon of another region; set by the receiver
} BjRequest;

typedef struct
{
  int limit;            // calls in flight that the guard admits, 0 when the load is not known
  int in_flight;        // calls running on its upstream
  int queued;           // calls in its queue
  int failure_permille; // counts only runs that failed through a fault of the upstream itself
} BjLoad;

// What an upstream says of itself in its responses.
typedef struct
{
  uint64_t start; // hash that identifies its start, 0 if not known
  bool has_rate;
  double rate;        // calls a second that it takes from all daemons together
  bool is_leaving;    // takes no new calls until another start
  bool is_unreadable; // named a rate or its leaving in a form that can't be read
} BjUpstreamState;

// Load that an upstream reports in its responses.
typedef struct
{
  bool is_known;     // a valid report was received
  bool has_slowness; // the report has its fourth figure
  int running;
  int waiting;        // inside the upstream
  int slots;          // 1 or more
  int slowness;       // how long work takes there, in percent of the usual
  double age_ms;      // since the report was read, when this copy was made
  bool is_unreadable; // a report was received that can't be read
} BjUpstreamLoad;

typedef struct
{
  BjStatus code; // BJ_OK for an upstream's response, else why the layer responds itself
  BjOutcome outcome;
  int http_status;
  bool failed;                  // the call ran and the upstream reported a failure
  double retry_after_ms;        // delay before the caller may try again, 0 if retrying is pointless
  int attempts_left;            // further attempts left for the whole call chain, -1 if not known
  int level;                    // admission level of the guard that responded, 0 admits all
  BjLoad load;                  // load of that guard when it responded
  bool makes_calls;             // the upstream calls other services for this route
  BjUpstreamState upstream;     // of the upstream that the daemon which responded runs calls on
  BjUpstreamLoad upstream_load; // of the same upstream
  BjStr other_instance; // id of the upstream that refused the call as it is not the announced one
  BjStr content_type;
  BjStr headers;  // other headers to relay, "Name: value" lines, each ended by a line feed
  int64_t length; // of the body, -1 if not known
  BjStr body;     // body of a recorded response; other bodies are streamed
} BjAnswer;

typedef struct BjPeer BjPeer;
typedef struct BjService BjService;
typedef struct BjKernel BjKernel;
struct BjQuota;

typedef enum
{
  BJ_CALL_NEW,
  BJ_CALL_CLAIMING, // waiting for the claim store
  BJ_CALL_SENT,     // forwarded to a peer
  BJ_CALL_QUEUED,   // in the queue of this daemon's guard
  BJ_CALL_RUNNING,  // running on the own upstream
  BJ_CALL_ENDED,
} BjCallState;

typedef struct BjCall
{
  uint64_t id; // unique in this incarnation
  BjCallState state;
  bool is_front; // arrived from a caller; otherwise from a peer
  bool irreversible;
  bool answer_begun; // the response head was relayed, so the call can't be retried any more
  int status;        // HTTP status of the relayed response
  bool is_failed;    // the relayed response reports a failed run
  bool has_failed_nested_call; // a nested call made while it ran did not succeed
  bool needs_claim;            // at most one attempt with the caller's Idempotency-Key may run
  bool may_have_run;           // an attempt ended with unknown outcome
  uint64_t fingerprint;        // of the request, for the quarantine
  bool detached;               // runs on although its caller was answered or disconnected
  BjRequest request;           // owned copies
  BjService *service;
  int klass; // priority class, 0 is the most important
  BjTime arrived;
  BjTime deadline;
  double objective_ms;    // latency objective from the arrival, 0 if none
  int attempts_left;      // further attempts left for the call chain, delegated ones not included
  int attempts_delegated; // further attempts delegated to the daemon that it was sent to
  double retry_cost;      // retry tokens for one more attempt; more if the call makes nested calls
  bool is_refused;        // its last attempt was refused for load and did not run
  int attempts_at_send;   // attempts_left when it was last sent, before any were delegated
  uint32_t cohort;        // hash of the action, the same on every hop
  uint64_t route;         // hash of host and path prefix of its route, 0 if not known
  BjTime upstream_deadline; // deadline announced to the upstream, on this daemon's clock
  bool is_nested;           // made by the own upstream for a call that runs there
  bool is_parent_inferred;  // its parent was matched by times, not by an id
  bool has_account_key;     // its account was found by the key of the request
  int64_t key_config;       // number of the configuration that has the key
  uint64_t rated_account;   // hash of the account whose rate counts it, 0 if none does
  bool is_anonymous;        // its route needs no key
  uint64_t matched_parent;  // id of the call that this nested call was matched to, 0 if not known
  bool is_timely_retry;     // a retry of a refused call that respects the retry-after time
  int level;                // highest admission level reported for its nested calls
  BjPeer *target;           // daemon it was last routed to
  BjPeer *tried[BJ_PEERS_TRIED_MAX];
  int n_tried;
  BjTime sent;          // when it was sent to a peer
  BjTime started;       // when it started on the own upstream
  uint64_t start_order; // sequence number of its start on the own upstream, from 1
  int start_in_flight;  // calls in flight when it started, including itself
  GSequenceIter *deadline_iter;
  struct BjCall *queue_next; // links the calls evicted from a queue
  BjTime queued;
  bool is_above_part; // its account held more than its part of the queue when it was offered
  void *data;         // user data of the host
} BjCall;

// ---------------------------------------------------------------------------------------------
// Limiter: limits the calls in flight on the own upstream (plug-in)
// ---------------------------------------------------------------------------------------------

typedef struct
{
  int slots;        // concurrent calls that the upstream announced
  double ramp_ms;   // duration of the slow start of a new limiter, 0 for none
  double tolerance; // highest accepted ratio of mean service time to that without overload, >= 1
} BjLimiterOptions;

#define BJ_LIMITER_OPTIONS_DEFAULT                                                                 \
  {                                                                                                \
    .slots = 1, .ramp_ms = 2000, .tolerance = 1.15                                                 \
  }

typedef struct
{
  double service_ms;
  int klass;
  uint64_t order;     // sequence number of its start, from 1
  uint64_t n_started; // calls that this guard has started so far
  int in_flight;      // calls in flight when it started, including itself
  BjStatus code;      // BJ_OK, BJ_E_SHED, BJ_E_DEADLINE, BJ_E_CANCELLED, BJ_E_LOST, BJ_E_BROKEN
} BjLimiterSample;

typedef struct BjLimiter BjLimiter;

typedef struct
{
  BjLimiter *(*create) (const BjLimiterOptions *o, BjTime now);
  void (*destroy) (BjLimiter *l);
  int (*limit) (BjLimiter *l, BjTime now); // calls in flight allowed, at least BJ_LIMIT_MIN
  void (*sample) (BjLimiter *l, BjTime now, const BjLimiterSample *s);     // a call ended
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
  double max_wait_ms; // longest estimated wait; calls that would wait longer are refused
  int max_length;     // calls in the queue
} BjQueueOptions;

#define BJ_QUEUE_OPTIONS_DEFAULT                                                                   \
  {                                                                                                \
    .max_wait_ms = BJ_QUEUE_MAX_WAIT_MS, .max_length = BJ_QUEUE_MAX_LENGTH                         \
  }

typedef struct BjQueue BjQueue;

typedef struct
{
  BjQueue *(*create) (const BjQueueOptions *o);
  void (*destroy) (BjQueue *q); // q must be empty
  void (*configure) (BjQueue *q, const BjQueueOptions *o);
  BjStatus (*offer) (BjQueue *q,
                     BjTime now,
                     BjCall *c,
                     BjCall **evicted); // adds c; BJ_E_OVERLOAD or BJ_E_DEADLINE if refused; sets
                                        // *evicted to calls removed for c (via queue_next), or NULL
  BjCall *(*take) (BjQueue *q, BjTime now); // removes the next call to run, NULL if empty
  bool (*remove) (BjQueue *q, BjCall *c);   // false if c is not in the queue
  int (*length) (const BjQueue *q);
  int (*waiting) (const BjQueue *q, int klass); // queued calls of this and more important classes
  double (*wait_ms) (const BjQueue *q, BjTime now, int klass); // estimate for a new call of klass
  void (*idle) (BjQueue *q, BjTime now); // the queue is empty and slots are free
  void (*learn_run) (BjQueue *q,
                     const BjCall *c,
                     double service_ms); // a run took this long; NULL if it does not matter
  int (*account_standing) (
      const BjQueue *q,
      const BjCall *c); // 1 if c's account holds more than its part of the queue in c's class, -1
                        // if it would hold much less with c, else 0; NULL if the queue does not
                        // divide capacity between accounts
} BjQueueOps;

struct BjQueue
{
  const BjQueueOps *ops;
};

// ---------------------------------------------------------------------------------------------
// Router: selects the daemon that a call is sent to (plug-in)
// ---------------------------------------------------------------------------------------------

typedef struct
{
  const BjCall *call;
  BjPeer *const *peers; // all known daemons of the service, this one included
  int n;
  BjStr domain; // of this daemon
  BjStr region; // of this daemon
  GRand *rand;
  int *n_candidates; // out: number of daemons that were eligible
} BjRouterRequest;

typedef struct BjRouter BjRouter;

typedef struct
{
  BjRouter *(*create) (void);
  void (*destroy) (BjRouter *r);
  BjPeer *(*pick) (BjRouter *r, BjTime now, const BjRouterRequest *request); // NULL if none
  void (*result) (BjRouter *r,
                  BjTime now,
                  BjPeer *p,
                  BjStatus s); // a call sent to p ended; s is BJ_OK or why it was refused or failed
  bool pools_region;           // all failure domains of a region share their upstreams
} BjRouterOps;

struct BjRouter
{
  const BjRouterOps *ops;
};

// ---------------------------------------------------------------------------------------------
// Retry: decides whether a failed call may be retried (plug-in)
// ---------------------------------------------------------------------------------------------

typedef struct
{
  double ratio; // tokens earned by each first attempt
  int reserve;  // a class leaves 1/4 of the bucket, min. 1 token, to each of this many higher ones
  double burst; // most tokens kept at a low call rate
  double saved; // added to burst for each first attempt of about the last ten seconds
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
  void (*count_first_attempt) (BjRetry *r, BjTime now);
  bool (*allow) (
      BjRetry *r,
      BjTime now,
      BjCall *c); // true if c may be retried; "budget" takes c->retry_cost tokens and an attempt
} BjRetryOps;

struct BjRetry
{
  const BjRetryOps *ops;
};

// ---------------------------------------------------------------------------------------------
// Ticket: a numbered configuration change; contains each changed object in full
// ---------------------------------------------------------------------------------------------

typedef struct
{
  BjStr service; // name
  int weight;    // relative to the other shares of the route
} BjShare;

typedef struct
{
  BjStr host;   // requested host, empty for any
  BjStr prefix; // path prefix
  int klass;
  bool irreversible;
  bool needs_claim; // at most one attempt with the same Idempotency-Key may run
  bool anonymous;   // needs no key of a client account
  double deadline_ms;
  double objective_ms; // latency objective, 0 if none
  int attempts;        // further attempts of one user action in the whole call chain
  BjShare *shares;     // services that share its calls; none if its own service gets all calls
  int n_shares;
} BjRoute;

typedef enum
{
  BJ_PREFER_RECOVERY, // short queue waits and retry-after times; callers retry soon or give up
  BJ_PREFER_GOODPUT,  // longer queue waits; refused callers retry when they can be served
} BjPrefer;

typedef struct
{
  BjStr name;
  int64_t number; // number of the ticket that set this state
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
  int64_t number; // number of the ticket that set this state
  bool drain;     // the upstream takes no new calls
  int max_slots;  // upper bound on the slots that it announces, 0 for none
} BjUpstreamConfig;

typedef struct
{
  size_t header_bytes;      // longest request head
  size_t body_bytes;        // longest request body
  double header_timeout_ms; // longest time from a request's first byte to the end of its head
  double idle_timeout_ms;   // longest time a connection may stay open without a request
} BjCallerLimits;

#define BJ_CALLER_LIMITS_DEFAULT                                                                   \
  {                                                                                                \
    .header_bytes = BJ_HEADER_MAX, .body_bytes = BJ_REQUEST_BODY_MAX,                              \
    .header_timeout_ms = BJ_HEADER_TIMEOUT_MS, .idle_timeout_ms = BJ_CALLER_IDLE_MS                \
  }

typedef struct
{
  int64_t number; // number of the last ticket merged
  BjServiceConfig *services;
  int n_services;
  BjUpstreamConfig *upstreams;
  int n_upstreams;
  GPtrArray *classes;          // char*, index is the class
  GHashTable *hosts;           // BjStr* in BjRoute to the routes of that host, by prefix
  BjCallerLimits callers;      // limits for connections and requests of callers
  struct BjAccounts *accounts; // client accounts, NULL if callers need no keys; see account.h
  bool is_in_force; // the store has accepted it: an entry that a ticket must not contain is left
                    // out instead of rejecting the whole, and services may have no routes
  int n_left_out;   // such entries
  BjStr text;       // canonical JSON of the whole configuration
} BjConfig;

BjStatus bj_config_parse (
    BjStr text,
    BjConfig **config); // Parses merged JSON into a new *config; BJ_E_TICKET, BJ_E_TOO_LARGE
BjStatus bj_config_parse_with_defaults (
    BjStr text,
    BjStr defaults,
    BjConfig **config); // Same; defaults is a JSON object with the keys that a service leaves unset
void bj_config_free (BjConfig *c);                                          // NULL is ignored
const BjServiceConfig *bj_config_service (const BjConfig *c, BjStr name);   // NULL when unknown
const BjUpstreamConfig *bj_config_upstream (const BjConfig *c, BjStr name); // NULL when unknown
const BjRoute *bj_config_route (
    const BjConfig *c,
    BjStr path,
    const BjServiceConfig **s); // Longest-prefix route for any host and its service; NULL if none
const BjRoute *bj_config_route_for_host (
    const BjConfig *c,
    BjStr host,
    BjStr path,
    const BjServiceConfig **s); // Same, but routes for this host take precedence
BjStatus bj_ticket_check (BjStr text,
                          int64_t *number); // Checks without the store, sets *number; BJ_E_TICKET
BjStatus bj_ticket_merge (
    BjStr current,
    BjStr ticket,
    GString *merged); // Appends ticket applied to current (may be empty); BJ_E_BASE, BJ_E_TICKET
BjStatus
bj_ticket_decide (BjStr current,
                  int64_t number,
                  BjStr filed,
                  GString *next); // Accepts or rejects tickets/<number>; appends the configuration
void
bj_ticket_print_difference (BjStr current,
                            BjStr ticket,
                            GString *out); // Appends a line for each value of ticket that differs

// ---------------------------------------------------------------------------------------------
// Filing: chooses the store calls that write a ticket, or what another writer left unfinished, to
// config/current. Does no I/O
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_STORE_READ,
  BJ_STORE_CREATE, // fails if the object exists
  BJ_STORE_UPDATE, // fails if the object's version has changed
} BjStoreAction;

typedef struct
{
  BjStoreAction action;
  char name[BJ_OBJECT_NAME_MAX]; // "tickets/12"
  BjStr version;                 // expected version of an update, opaque
  BjStr spec;                    // JSON text to be created or updated
  double pause_ms;               // delay before this call is made
} BjStoreCall;

typedef struct
{
  BjStatus code;
  BjStr version;
  BjStr spec; // JSON text, empty on failure
} BjStoreReply;

typedef struct
{
  BjStr ticket;          // ticket to file, empty to complete filings that others began
  BjStr writer;          // unique id of this filing
  BjStr in_force_config; // at this daemon, empty if none; replaces an older one
  int tries_max;         // retries after failed or conflicting store calls
  uint32_t seed;         // for the random pauses
} BjFilingOptions;

#define BJ_FILING_OPTIONS_DEFAULT                                                                  \
  {                                                                                                \
    .tries_max = BJ_FILING_TRIES                                                                   \
  }

typedef struct BjFiling BjFiling;

BjStatus bj_filing_new (const BjFilingOptions *o, BjFiling **f); // BJ_E_TICKET, BJ_E_TOO_LARGE
void bj_filing_free (BjFiling *f);                               // NULL is ignored
bool bj_filing_next (const BjFiling *f,
                     BjStoreCall *c); // Next store call, strings borrowed; false when it has ended
void bj_filing_reply (BjFiling *f, const BjStoreReply *r); // Passes in the result of that call
BjStatus bj_filing_result (
    const BjFiling *f); // BJ_OK accepted; BJ_E_EXISTS, _BASE, _GAP, _TICKET or _TOO_LARGE
                        // rejected; BJ_E_PLATFORM not filed; BJ_E_PENDING undecided
const char *bj_filing_message (const BjFiling *f); // Message for the result, borrowed
BjStr bj_filing_current (const BjFiling *f,
                         BjStr *version);   // config/current as last read, borrowed; empty before
BjStr bj_filing_writer (const BjFiling *f); // Writer id stored with the ticket, empty if none
bool bj_filing_wrote_back (const BjFiling *f); // True when it wrote in_force_config to the store

// ---------------------------------------------------------------------------------------------
// Peer: another daemon and the upstream beside it
// ---------------------------------------------------------------------------------------------

// Whether the platform's store answers a daemon, as far as that has tried
typedef enum
{
  BJ_STORE_UNKNOWN,
  BJ_STORE_ANSWERS,
  BJ_STORE_FAILS, // refuses its requests or leaves them without a response
  BJ_STORE_ACCESSES,
} BjStoreAccess;

typedef struct
{
  BjStr name; // unique in the deployment
  BjStr domain;
  BjStr region;
  BjStr service; // empty until its upstream has announced itself
  BjStr host;    // numeric IP address
  int link_port;
  BjStr gossip_host; // numeric IP address
  int gossip_port;
  uint64_t incarnation;  // grows with every start
  uint64_t version;      // grows with every change of identity or state in one incarnation
  uint64_t load_version; // grows with every change of load in one incarnation
  int limit;             // calls in flight that its guard admits
  int in_flight;         // calls running on its upstream
  int queued;            // calls in its guard's queue
  int level;             // admission level
  int failure_permille;  // counts only runs that failed through a fault of the upstream itself
  bool draining;
  int64_t config_number; // number of the ticket in force there
  BjStoreAccess store_access;
} BjPeerReport;

struct BjPeer
{
  BjPeerReport report; // owned strings
  bool is_self;
  BjService *service;
  BjTime reported;              // when the load in report was received
  BjTime load_from_response_at; // when a response last carried its load; fresher than gossip
  BjTime skip_until;            // gets no calls until then, after failures or silence
  double skip_ms;               // length of the last such pause, 0 after a success
  int n_failures;               // consecutive failures that count towards a pause
  BjTime spill_skip_until;      // gets no spilled calls until then because it refused one
  int own_in_flight;            // calls in flight there that this daemon sent
  int sent_since_report;        // calls sent there since its load was received
  double service_ms;            // smoothed time to a response, 0 before the first
  BjUpstreamLoad upstream_load; // what its upstream last reported
  BjTime upstream_load_at;      // when that was true, on this daemon's clock
  bool is_unreachable;          // its silent link was replaced and has received nothing since
  bool is_removed;              // not in the membership; kept while calls are open there
  void *link;                   // connection state of the host
};

struct BjService
{
  BjStr name;
  GPtrArray *peers;              // BjPeer*, borrowed from the kernel's table
  const BjServiceConfig *config; // NULL when the configuration does not contain the service
  BjRouter *router;
  BjRetry *retry;
};

void bj_peer_report_copy (BjPeerReport *to,
                          const BjPeerReport *from); // Deep copy; frees the strings that *to had
void bj_peer_report_clear (BjPeerReport *r);         // Frees the strings
bool bj_peer_is_eligible (const BjPeer *p,
                          const BjCall *c); // Reachable, has an upstream, not draining, not tried

// ---------------------------------------------------------------------------------------------
// Kernel: makes every decision, does no I/O
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_CLEAR,       // no crash is attributed to the request
  BJ_SUSPECT,     // the request was running on an upstream when it crashed
  BJ_QUARANTINED, // the request was running during two crashes
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
                     BjPeer *p); // forwards c; the host reports the response by bj_kernel_answer_*
  void (*start_upstream) (BjHost *h, BjCall *c); // starts c on the own upstream; reported likewise
  void (*cancel) (BjHost *h, BjCall *c);         // aborts what send_peer or start_upstream started
  void (*answer) (BjHost *h, BjCall *c, const BjAnswer *a); // sends the layer's own response
  void (*claim) (BjHost *h, BjCall *c); // makes the claim durable, then calls bj_kernel_claimed
  void (*freed) (BjHost *h, BjCall *c); // releases the host's data; c is freed afterwards
} BjHostOps;

struct BjHost
{
  const BjHostOps *ops;
};

typedef struct
{
  BjPeerReport self; // identity of this daemon; copied
  BjHost *host;
  uint32_t seed; // of the random number generator
} BjKernelOptions;

typedef enum
{
  BJ_RELAY,  // relay the response to the caller
  BJ_ABSORB, // drop the response: the call is retried or has been answered
} BjVerdict;

typedef enum
{
  BJ_DRAIN_TICKET = 1,   // set in the configuration
  BJ_DRAIN_UPSTREAM = 2, // announced by the upstream
  BJ_DRAIN_STOP = 4,     // the daemon is stopping
} BjDrainReason;

BjKernel *bj_kernel_new (const BjKernelOptions *o, BjTime now); // Never fails
void bj_kernel_free (BjKernel *k); // Drops open calls without a response
void bj_kernel_set_config (BjKernel *k,
                           BjTime now,
                           BjConfig *c); // Takes ownership of c; applies it if its number is newer
void bj_kernel_use_quota (BjKernel *k,
                          struct BjQuota *q); // Rates of accounts; borrowed, NULL for no limits
void bj_kernel_note_config (BjKernel *k,
                            BjTime now,
                            int64_t number);          // A configuration of this number exists
const BjConfig *bj_kernel_config (const BjKernel *k); // Borrowed; NULL before the first one
BjCall *bj_kernel_arrive (BjKernel *k,
                          BjTime now,
                          const BjRequest *r,
                          void *data); // New call from a caller, copies r; NULL if it ended at once
BjCall *bj_kernel_arrive_peer (BjKernel *k,
                               BjTime now,
                               const BjRequest *r,
                               BjStr service,
                               void *data); // Same for a call to service from the front of a peer
BjStatus bj_kernel_check_head (
    BjKernel *k,
    BjTime now,
    const BjRequest *r,
    bool *runs_alone); // Whether a caller's request may go on, from its head alone: id, key of a
                       // client account, host and path; BJ_E_UNAUTHORIZED, BJ_E_NO_UPSTREAM. Sets
                       // runs_alone if its route is irreversible
void bj_kernel_refuse_head (BjKernel *k,
                            BjTime now,
                            const BjRequest *r,
                            BjStatus s); // Counts and logs that r was refused by its head
void bj_kernel_claimed (BjKernel *k,
                        BjTime now,
                        BjCall *c,
                        const BjAnswer *a); // Runs c if a is NULL, else responds with a; may free c
BjVerdict
bj_kernel_answer_begin (BjKernel *k,
                        BjTime now,
                        BjCall *c,
                        const BjAnswer *a); // Response head arrived; may free c if BJ_ABSORB
void bj_kernel_answer_end (BjKernel *k,
                           BjTime now,
                           BjCall *c,
                           bool is_complete); // Body ended or was truncated; frees c
void
bj_kernel_call_lost (BjKernel *k,
                     BjTime now,
                     BjCall *c,
                     BjStatus s,
                     BjOutcome o); // Peer or upstream failed before the head; may retry or free c
void bj_kernel_upstream_crashed (
    BjKernel *k,
    BjTime now,
    uint64_t fingerprint,
    BjTime started); // The own upstream crashed running a call that ended since
void bj_kernel_apply_notice (BjKernel *k, BjTime now, const BjNotice *n); // Applies a peer's notice
void bj_kernel_collect_notices (
    BjKernel *k,
    BjTime now,
    bool all,
    GArray *notices); // Appends notices for peers: those not yet taken, or all
void bj_kernel_cancel (BjKernel *k,
                       BjTime now,
                       BjCall *c); // Caller disconnected; frees c, unless it is irreversible and
                                   // runs here, or was sent under a claim
void bj_kernel_skip_peer (BjKernel *k,
                          BjTime now,
                          BjPeer *p,
                          double ms); // Routes no calls to p for ms if other peers are available
void bj_kernel_set_peer_unreachable (BjKernel *k,
                                     BjPeer *p,
                                     bool is_unreachable); // An unreachable peer gets no calls
void
bj_kernel_reroute_call (BjKernel *k,
                        BjTime now,
                        BjCall *c); // Retries c elsewhere, if allowed, as its peer does not respond
void bj_kernel_announce (BjKernel *k,
                         BjTime now,
                         BjStr service,
                         int slots); // Own upstream announced its service and concurrent calls
void bj_kernel_upstream_spoke (
    BjKernel *k,
    BjTime now,
    const BjCall *c,
    const BjUpstreamState *s); // The own upstream's response to c says s; call before answer_begin
void
bj_kernel_upstream_reported (BjKernel *k,
                             BjTime now,
                             const BjCall *c,
                             const BjUpstreamLoad *l); // The own upstream's response to c reports l
BjUpstreamLoad bj_kernel_upstream_load (const BjKernel *k,
                                        BjTime now); // Its last report, sent with responses
void bj_kernel_upstream_started (
    BjKernel *k,
    BjTime now,
    uint64_t start); // Start of the own upstream, not 0; another one than before says nothing yet
bool bj_kernel_ran_since_start (const BjKernel *k,
                                const BjCall *c); // c was started on that start, not before it
void bj_kernel_upstream_leaves (BjKernel *k, BjTime now); // No new calls until it starts again
void bj_kernel_learn_upstream (BjKernel *k,
                               BjTime now,
                               const BjUpstreamState *s); // What a peer knows of the own upstream,
                                                          // from before a restart of this daemon
void bj_kernel_remember_upstream (BjKernel *k,
                                  BjTime now,
                                  BjStr peer,
                                  const BjUpstreamState *s); // The upstream of a peer said s
BjUpstreamState bj_kernel_recall_upstream (
    BjKernel *k,
    BjStr peer); // What the upstream of a peer last said in a response; start 0 if nothing
const BjUpstreamState *bj_kernel_upstream (const BjKernel *k); // What the own upstream last said
void bj_kernel_upstream_down (BjKernel *k,
                              BjTime now); // Upstream refuses connections or stopped announcing
void bj_kernel_drain (BjKernel *k,
                      BjTime now,
                      BjDrainReason r,
                      bool drain); // Sets or clears a reason; takes new calls while none is set
void bj_kernel_set_leave_ms (
    BjKernel *k,
    double ms); // For which an upstream that says it leaves goes on serving; from its next leaving
void bj_kernel_update_peer (BjKernel *k,
                            BjTime now,
                            const BjPeerReport *r); // Adds or updates a peer, unless r is not newer
void bj_kernel_remove_peer (BjKernel *k,
                            BjTime now,
                            BjStr name); // Stops routing to it; bj_kernel_free_peer frees it
void bj_kernel_each_removed_peer (BjKernel *k,
                                  void (*fn) (BjPeer *p, void *data),
                                  void *data); // Calls fn for each removed peer without open calls
void bj_kernel_free_peer (BjKernel *k, BjPeer *p); // Frees a removed peer
void bj_kernel_stop_irreversible (
    BjKernel *k); // From now on irreversible calls of callers that were not started are refused
void
bj_kernel_set_end (BjKernel *k,
                   BjTime end); // The process ends then: no call of a caller has a later deadline
void bj_kernel_tick (BjKernel *k, BjTime now);      // Times out calls whose deadline has passed
BjTime bj_kernel_next_deadline (const BjKernel *k); // Earliest deadline, when to tick next
void bj_kernel_get_self_report (
    BjKernel *k,
    BjTime now,
    BjPeerReport *r); // Fills in identity and current load; strings are borrowed
void bj_kernel_set_store_access (BjKernel *k, BjStoreAccess access); // Of the own report
int bj_kernel_open_calls (const BjKernel *k); // Number of calls that have not ended
void bj_kernel_explain (const BjKernel *k,
                        BjStr key,
                        GString *out); // Appends the recent decisions about this key, one a line
void bj_kernel_metrics (BjKernel *k,
                        BjTime now,
                        GString *out); // Appends the text exposition of calls, limiter and queue
int bj_kernel_admission_level (BjKernel *k,
                               BjTime now,
                               const BjCall *c); // Admission level to send with the response to c
bool bj_kernel_makes_calls (BjKernel *k, const BjCall *c); // True if c's route calls other services
BjLoad bj_kernel_load (BjKernel *k, BjTime now); // Load of this daemon's guard, sent with responses
BjPeer *bj_kernel_find_peer (BjKernel *k, BjStr name); // NULL when unknown
void bj_kernel_each_peer (BjKernel *k,
                          void (*fn) (BjPeer *p, void *data),
                          void *data); // For each peer not removed, self included, unordered

// ---------------------------------------------------------------------------------------------
// Settings: configuration file of one daemon
// ---------------------------------------------------------------------------------------------

typedef struct
{
  BjStr host; // numeric IP address
  int port;   // 1..65535
} BjAddress;

typedef struct
{
  BjStr name;
  BjStr domain;
  BjStr region;
  BjAddress front;             // HTTP, for callers and for nested calls of the own upstream
  BjAddress admin;             // HTTP, for announcements, status and metrics
  BjAddress link;              // TCP, for calls from other daemons
  BjAddress gossip;            // UDP, for membership messages of other daemons
  BjAddress advertised_link;   // link address announced to other daemons
  BjAddress advertised_gossip; // gossip address announced to other daemons
  BjAddress ready;             // HTTP, for GET /ready and /metrics only; port 0 for none
  BjAddress upstream;          // only address the own upstream may announce; port 0 for any
  BjStr service;               // service of the own upstream, empty until it announces itself
  BjStr service_defaults;      // JSON object with default values for services, empty for none
  BjStr dialect;               // plug-in that reads and writes HTTP headers and announcements
  BjStr *domains;              // all failure domains of the deployment, if configured
  int n_domains;
  BjAddress *seeds; // gossip addresses of the daemons to contact first
  int n_seeds;
  BjStr platform_name; // name of the platform plug-in
  BjStr platform_url;
  BjStr key_file; // file with the deployment key, empty for none
  BjLogLevel log_level;
  double drain_ms;     // longest time from a stop to the end of the process
  double leave_ms;     // for which an upstream that says it leaves goes on serving
  double heartbeat_ms; // interval between two announcements of the own upstream
  int pipelined_max;   // requests served at once for one connection of a caller
} BjSettings;

BjStatus
bj_settings_read (const char *path,
                  BjSettings *s); // BJ_E_IO; BJ_E_SETTINGS names file, key, value and valid range
BjStatus
bj_settings_parse (const char *name,
                   BjStr text,
                   BjSettings *s);      // Same for text in memory; messages show name as the file
void bj_settings_clear (BjSettings *s); // Frees the strings

// ---------------------------------------------------------------------------------------------
// Daemon: runs the kernel with sockets on a libev event loop
// ---------------------------------------------------------------------------------------------

typedef struct BjDaemon BjDaemon;
struct ev_loop;

BjStatus bj_daemon_new (struct ev_loop *loop,
                        const BjSettings *s,
                        BjDaemon **d); // BJ_E_IO when a port is in use; free with bj_daemon_free
void bj_daemon_reload (BjDaemon *d,
                       const BjSettings *s); // Applies what may change; logs what needs a restart
void bj_daemon_stop (BjDaemon *d);           // Drains, then breaks the event loop
void bj_daemon_free (BjDaemon *d);
