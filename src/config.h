// Named constants of the whole library, with their units. Settings and tickets override some of
// them.

#pragma once

#define BJ_VERSION "0.1.0"
#define BJ_PROTOCOL_VERSION 2 // of frames between daemons; others are refused

// Sizes
#define BJ_CLASSES 8                               // priority classes, 0 is shed last
#define BJ_TRIED_MAX 8                             // peers one call may try
#define BJ_REQUEST_BODY_MAX (1024 * 1024)          // bytes, buffered so that a call can be retried
#define BJ_FRAME_MAX (BJ_REQUEST_BODY_MAX + 65536) // bytes after the length prefix
#define BJ_FRAME_DATA_MAX 65536                    // bytes of answer body in one frame
#define BJ_WINDOW_BYTES (256 * 1024)               // answer body in flight for one call
#define BJ_HEADER_MAX 16384                        // bytes of one caller's request head
#define BJ_TICKET_MAX (1024 * 1024)                // bytes of one ticket
#define BJ_TICKET_DEPTH_MAX 16                     // nested values in a ticket or in settings
#define BJ_OBJECT_NAME_MAX 64                      // bytes of an object's name in the store
#define BJ_DECISIONS_MAX 32                        // latest decisions kept in config/current
#define BJ_DATAGRAM_MAX 1400                       // bytes of one gossip datagram
#define BJ_MSGPACK_DEPTH_MAX 4                     // nested arrays in a message between daemons
#define BJ_RING_SIZE 4096                          // decisions kept for explain
#define BJ_LOG_BUFFER (1024 * 1024)                // bytes of log lines not yet written

// Times, in milliseconds
#define BJ_HEADER_TIMEOUT_MS 10000  // for the head of a caller's request
#define BJ_CALLER_IDLE_MS 120000    // of a caller's connection without a request
#define BJ_DEADLINE_MS 2000         // of a call whose route and caller give none
#define BJ_HOP_MS 2                 // taken off the deadline at each hop
#define BJ_CONNECT_TIMEOUT_MS 1000  // for TCP and HTTP connections
#define BJ_PING_MS 150              // silence on a link with open calls before a ping, and after it
#define BJ_IDLE_MS 30000            // a link without calls is closed after this long
#define BJ_HEARTBEAT_MS 1000        // between two announcements of an upstream
#define BJ_ANNOUNCE_MISSES 3        // announcements that may be missed before an upstream is gone
#define BJ_SWIM_TICK_MS 100         // between two looks of the membership at the clock
#define BJ_PROBE_MS 500             // between two probes of other members
#define BJ_PROBE_TIMEOUT_MS 200     // for an answer before others are asked to probe
#define BJ_PROBE_LOST_MS 700        // for an answer, others included, before suspicion
#define BJ_SUSPECT_MS 1000          // for a refutation, times log10 of the members
#define BJ_SUSPECT_MIN_MS 2000      // for a refutation at least
#define BJ_SWIM_PAUSE_MS 1000       // a later tick means that this process was paused
#define BJ_SKIP_MS 500              // a failed peer gets no call for this long
#define BJ_WATCH_MS 10000           // one long poll at the platform
#define BJ_FAILING_MAX 1000         // of so many runs the failed ones are told
#define BJ_DRAIN_MS 30000           // longest wait of a stop for open calls
#define BJ_DRAIN_SERVE_MS 1000      // from a stop until the peers are told, work is taken as before
#define BJ_DRAIN_TELL_MS 2000       // from a stop until no caller or peer sends new work
#define BJ_PLATFORM_TIMEOUT_MS 2000 // of one platform call that is not a watch
#define BJ_RETRY_AFTER_MIN_MS 100   // shortest time to come back
#define BJ_RETRY_AFTER_MAX_MS 10000 // longest time to come back, preferring goodput
#define BJ_RETRY_AFTER_SOON_MS 250  // longest time to come back, preferring recovery

// Policy defaults
#define BJ_ATTEMPTS 3                // further attempts of one user action, whole chain
#define BJ_RETRY_RATIO 0.1           // retries per fresh call
#define BJ_RETRY_COST_CALLS 3        // tokens of a retry that repeats calls to other services
#define BJ_RETRY_BURST 10            // retry tokens at rest
#define BJ_QUEUE_MAX_WAIT_MS 100     // estimated wait above which a call is refused
#define BJ_QUEUE_GOODPUT_WAIT_MS 300 // the same when goodput is preferred
#define BJ_QUEUE_MAX_LENGTH 4096     // calls, a bound on memory only
#define BJ_SPILL_SHARE 0.8           // of a daemon's spare capacity that other domains may use
#define BJ_LIMIT_MAX 1000000         // in flight, of a limiter without a limit
#define BJ_LIMIT_MIN 1               // in flight, whatever happens

// Configuration
#define BJ_FILING_TRIES 12            // failed store calls before a filing ends
#define BJ_FILING_PAUSE_MIN_MS 20     // first pause after a failed store call
#define BJ_FILING_PAUSE_MAX_MS 2000   // longest pause after a failed store call
#define BJ_READERS 2                  // daemons of a domain that watch the store
#define BJ_READER_TICK_MS 100         // between two looks at who reads and who holds a newer one
#define BJ_READER_JOIN_MS 1000        // a new daemon hears its peers before it reads the store
#define BJ_READER_BACKOFF_MAX_MS 2000 // longest pause of a reader while the store fails
#define BJ_FETCH_AGAIN_MS 300         // an unanswered peer fetch goes to another peer after this
#define BJ_FETCH_FAR_MS 500           // wait for a holder in the own domain before asking elsewhere

// Claims of irreversible work
#define BJ_CLAIM_SHARDS 64                    // objects in the platform's store
#define BJ_CLAIM_SHARD_MAX 256                // claims of one shard
#define BJ_CLAIM_SHARD_BODY_BYTES (32 * 1024) // recorded answers of one shard
#define BJ_CLAIM_BODY_BYTES 1024              // longest answer recorded
#define BJ_CLAIM_PENDING_MAX 1024             // requests of one shard that wait for the store
#define BJ_CLAIM_PATIENCE_MS 500              // a store call this old refuses new claims at once
#define BJ_CLAIM_BACKOFF_MS 200               // after a failed store call, doubled up to the next
#define BJ_CLAIM_BACKOFF_MAX_MS 2000
#define BJ_CLAIM_RECORD_MS 200 // an outcome waits this long for a claim to go out with
#define BJ_KEY_FUTURE_MS 60000 // a key whose time is further ahead is refused

// Requests that crash upstreams
#define BJ_SUSPECTS_MAX 1024              // requests remembered
#define BJ_SUSPECT_LIFETIME_MS 600000     // a suspect that does not run again is released
#define BJ_QUARANTINE_LIFETIME_MS 3600000 // of a request that crashed two upstreams

// Home-bound action ids
#define BJ_ACTIONS_MAX 8192                     // that one daemon remembers
#define BJ_ACTIONS_BODY_BYTES (2 * 1024 * 1024) // of their recorded answers
