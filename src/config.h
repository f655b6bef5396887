// Constants of the whole library. Settings and tickets override some of them.

#pragma once

#define BJ_VERSION "0.1.0"
#define BJ_PROTOCOL_VERSION 3 // version of the frames between daemons; other versions are refused

// Sizes
#define BJ_CLASSES 8                      // number of priority classes; class 0 is refused last
#define BJ_PEERS_TRIED_MAX 8              // peers that one call may be sent to, one after the other
#define BJ_REQUEST_BODY_MAX (1024 * 1024) // bytes of a request body; it is buffered for retries
#define BJ_FRAME_OVERHEAD 65536           // bytes of a CALL frame besides the request's body
#define BJ_FRAME_MAX (BJ_REQUEST_BODY_MAX + BJ_FRAME_OVERHEAD) // bytes of a frame after its length
#define BJ_FRAME_DATA_MAX 65536      // bytes of response body in one frame
#define BJ_WINDOW_BYTES (256 * 1024) // flow control window of a response body, per call
#define BJ_PIPELINED_MAX 16          // requests served at once for one connection of a caller
#define BJ_HEADER_MAX 16384          // bytes of a request head from a caller
#define BJ_TICKET_MAX (1024 * 1024)  // bytes of one ticket, and of config/current
#define BJ_CONFIG_MAX                                                                              \
  (4 * 1024 * 1024)                 // bytes of a configuration in force: one that the platform's
                                    // operator wrote grows up to fourfold when it is converted
#define BJ_TICKET_DEPTH_MAX 16      // nesting depth of the JSON in a ticket or in settings
#define BJ_OBJECT_NAME_MAX 64       // bytes of an object name in the store
#define BJ_DECISIONS_MAX 32         // most recent ticket decisions kept in config/current
#define BJ_DATAGRAM_MAX 1400        // bytes of one gossip datagram
#define BJ_MSGPACK_DEPTH_MAX 4      // nesting depth of arrays in a message between daemons
#define BJ_DECISION_RING_SIZE 4096  // decision lines kept in memory for explain
#define BJ_LOG_BUFFER (1024 * 1024) // bytes of log lines not yet written to stdout

// Times, in milliseconds
#define BJ_HEADER_TIMEOUT_MS 10000  // time a caller has to send a complete request head
#define BJ_CALLER_IDLE_MS 120000    // a caller's connection without a request is closed after this
#define BJ_DEFAULT_DEADLINE_MS 2000 // deadline if neither the route nor the caller sets one
#define BJ_HOP_DEADLINE_MARGIN_MS 2 // subtracted from the remaining deadline at each hop
#define BJ_CONNECT_TIMEOUT_MS 1000  // timeout for opening TCP and HTTP connections
#define BJ_LINK_PING_MS 150   // silence on a link with open calls before a ping, and between pings
#define BJ_LINK_IDLE_MS 30000 // a link without calls is closed after this
#define BJ_HEARTBEAT_MS 1000  // interval between two announcements of an upstream
#define BJ_ANNOUNCE_MISSES 3  // missed announcements after which an upstream counts as down
#define BJ_SWIM_TICK_MS 100   // interval of the membership timer
#define BJ_PROBE_MS 500       // interval between two probes of other members
#define BJ_PROBE_TIMEOUT_MS 200 // time for a response to a probe before indirect probes are sent
#define BJ_PROBE_LOST_MS 700 // time for a direct or indirect response before a member is suspected
#define BJ_SWIM_SUSPECT_MS 1000     // time to refute a suspicion, times log10 of the member count
#define BJ_SWIM_SUSPECT_MIN_MS 2000 // shortest time to refute a suspicion
#define BJ_SWIM_PAUSE_MS 1000       // a longer gap between ticks means that this process was paused
#define BJ_PEER_SKIP_MS 500         // a failed peer gets no call for this long; p2c-load doubles it
#define BJ_WATCH_TIMEOUT_MS 1000    // time without a change until the platform answers a watch
#define BJ_WATCH_GRACE_MS 500       // for that answer to arrive; after it the watch counts as lost
#define BJ_FAILURE_RATE_SCALE 1000  // failure rates are reported as failed runs per this many runs
#define BJ_DRAIN_MS 30000           // longest time a stopping daemon waits for open calls
#define BJ_LEAVE_MS 2500            // for which an upstream that leaves goes on serving
#define BJ_DRAIN_ACCEPT_MS 1000     // time from a stop to the notice to peers; calls are accepted
#define BJ_DRAIN_NOTIFY_MS 2000     // after a stop, time until callers and peers send no new work
#define BJ_PLATFORM_TIMEOUT_MS                                                                     \
  2000                            // longest silence of the platform in one call, until the end of a
                                  // watch excepted
#define BJ_RETRY_AFTER_MIN_MS 100 // shortest retry-after time
#define BJ_RETRY_AFTER_MAX_MS 10000        // longest retry-after time when goodput is preferred
#define BJ_RETRY_AFTER_RECOVERY_MAX_MS 250 // longest retry-after time when recovery is preferred

// Policy defaults
#define BJ_DEFAULT_RETRIES 3     // default retries of one user action, over the whole call chain
#define BJ_RETRY_RATIO 0.1       // retry tokens earned per first attempt
#define BJ_RETRY_COST_CALLS 3    // tokens for a retry of a call that makes calls to other services
#define BJ_RETRY_BURST 10        // capacity of the retry token bucket
#define BJ_QUEUE_MAX_WAIT_MS 100 // estimated queueing delay above which a call is refused
#define BJ_QUEUE_GOODPUT_WAIT_MS 300 // limit of estimated queueing delay if goodput is preferred
#define BJ_QUEUE_MAX_LENGTH 4096     // queued calls; only bounds memory
#define BJ_SPILL_SHARE 0.8   // share of a daemon's spare capacity that other domains may use
#define BJ_LIMIT_MAX 1000000 // limit, in calls, that the limiter "none" reports
#define BJ_RATE_MAX 1e9      // calls a second; a larger rate of an upstream is unreadable
#define BJ_LIMIT_MIN 1       // lowest concurrency limit, in calls

// Configuration tickets
#define BJ_FILING_TRIES 12            // retries of a filing after failed or conflicting store calls
#define BJ_FILING_PAUSE_MIN_MS 20     // backoff after the first failed store call of a filing
#define BJ_FILING_PAUSE_MAX_MS 2000   // longest backoff between store calls of a filing
#define BJ_READERS_PER_DOMAIN 2       // daemons per domain that watch the store
#define BJ_READER_TICK_MS 100         // interval between checks of reader role and peers' versions
#define BJ_READER_START_DELAY_MS 3000 // time to find peers by seeds before the first store read
#define BJ_READER_PEERS_DELAY_MS 1000 // the same when the peers found so far have no configuration
#define BJ_READER_READ_MS 10000       // between reads that complete filings which were given up
#define BJ_READER_BACKOFF_MAX_MS 2000 // longest backoff of a reader while the store fails
#define BJ_FETCH_RETRY_MS 300         // time for a response to a fetch before it is sent again
#define BJ_FETCH_STALL_MS 1000        // pause between two parts before the fetch is sent again
#define BJ_FETCH_REMOTE_DELAY_MS 500  // wait for the own domain before fetching from another

// At-most-once claims of irreversible work
#define BJ_CLAIM_SHARDS 64                    // objects in the store that hold claims
#define BJ_CLAIM_SHARD_CLAIMS_MAX 256         // claims in one shard
#define BJ_CLAIM_SHARD_BODY_BYTES (32 * 1024) // bytes of recorded responses in one shard
#define BJ_CLAIM_BODY_BYTES 1024              // bytes of the longest response that is recorded
#define BJ_CLAIM_PENDING_MAX 1024 // requests for one claim shard that wait for the store
#define BJ_CLAIM_STALL_MS 500     // during a longer store call, new claims of its shard are refused
#define BJ_CLAIM_BACKOFF_MS 200 // first backoff of a claim shard after a failed read, then doubled
#define BJ_CLAIM_BACKOFF_MAX_MS 2000 // longest backoff of a claim shard after failed reads
#define BJ_CLAIM_RECORD_DELAY_MS 200 // longest wait of an outcome to share a write with a new claim
#define BJ_KEY_FUTURE_MS 60000 // a key whose timestamp is further ahead of the clock is refused

// Requests that crash upstreams
#define BJ_QUARANTINE_ENTRIES_MAX 1024 // suspected or quarantined requests kept
#define BJ_SUSPECT_LIFETIME_MS 600000  // a suspect that does not run again is released after this
#define BJ_QUARANTINE_LIFETIME_MS 3600000 // duration of the quarantine after a second crash

// Home-bound action ids
#define BJ_HOME_ACTIONS_MAX 8192                     // home-bound actions that one daemon keeps
#define BJ_HOME_ACTIONS_BODY_BYTES (2 * 1024 * 1024) // recorded responses of these actions
