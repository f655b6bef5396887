// Declarations shared by the modules of the library; not part of the public API.

#pragma once

#include "boragejunction.h"
#include <json-c/json.h>
#include <msgpack.h>

struct ev_loop;

// ---------------------------------------------------------------------------------------------
// Json: strict parsing of settings and tickets, driven by tables of keys
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_JSON_STR,
  BJ_JSON_INT,
  BJ_JSON_NUMBER,
  BJ_JSON_BOOL,
  BJ_JSON_OBJECT,
  BJ_JSON_ARRAY,
} BjJsonType;

typedef struct
{
  const char *key;
  BjJsonType type;
  bool required;
  double min; // lowest number, or shortest string or array; not checked if min and max are 0
  double max; // highest number, or longest string or array
} BjJsonKey;

typedef struct
{
  const char *path; // shown in messages and docs, as in "settings.platform"
  const BjJsonKey *keys;
  int n; // number of keys
} BjJsonTable;

const BjJsonTable *bj_settings_tables (int *n); // Keys allowed in settings
double bj_config_clamp (const char *key,
                        double value); // Nearest value that a key of a route, share or of callers
                                       // may have
#define BJ_ACCOUNT_KEYS 5
extern const BjJsonKey bj_account_keys[BJ_ACCOUNT_KEYS]; // Of an account, checked by account.c
const BjJsonTable *bj_ticket_tables (int *n); // Keys allowed in tickets; the top level comes first
const char *bj_json_type_name (BjJsonType t); // With the article, as in "a string"
BjStatus
bj_json_read (const char *name,
              BjStr text,
              BjStatus code,
              struct json_object **root); // Parses one JSON value, comments allowed; the caller
                                          // frees root; code or BJ_E_TOO_LARGE on failure
BjStatus bj_config_read (BjStr text,
                         struct json_object **root); // The same for a configuration, which may be
                                                     // larger; BJ_E_TICKET or BJ_E_TOO_LARGE
struct json_object *
bj_json_parse_cut (BjStr text); // Parses NUL-terminated text of other writers: values nested very
                                // deeply are null in it; NULL if it is not JSON
BjStatus bj_json_check (const char *name,
                        const char *path,
                        struct json_object *o,
                        BjStatus code,
                        const BjJsonKey *keys,
                        int n); // Returns code on unknown or missing keys, wrong types or values
BjStr bj_json_str (struct json_object *o, const char *key); // Borrowed, empty if absent
double bj_json_number (struct json_object *o,
                       const char *key,
                       double default_value);                 // Returned if the key is missing
int64_t bj_json_int (struct json_object *o, const char *key); // 0 if the key is missing
bool bj_json_bool (struct json_object *o, const char *key, bool default_value);

struct json_object *
bj_ticket_find_decision (struct json_object *config,
                         int64_t number); // Borrowed, NULL if the ticket is not listed

// ---------------------------------------------------------------------------------------------
// Header: which HTTP headers the daemons relay
// ---------------------------------------------------------------------------------------------

void bj_header_add_except (GString *block,
                           BjStr from,
                           const char *const *names); // Appends the lines of from without these
void bj_header_add_relayed (GString *block,
                            BjStr name,
                            BjStr value); // Skips invalid, hop-by-hop and daemon-set headers, and
                                          // all if block is NULL
bool bj_header_next (BjStr *block,
                     BjStr *name,
                     BjStr *value); // Splits off the first line; false at the end
bool bj_header_name_equal (BjStr name, const char *other);      // Case-insensitive
bool bj_header_is_among (BjStr name, const char *const *names); // names is NULL-terminated
BjStr bj_header_find (BjStr block, const char *name); // Value of the first match, empty if none
bool bj_header_is_name (BjStr name);                  // A token of RFC 9110
bool bj_header_is_text (BjStr value);                 // Without control bytes except tabs
bool bj_header_is_valid (BjStr block); // Every line is a name, a colon and printable text

// ---------------------------------------------------------------------------------------------
// Message: collects the head of one HTTP/1.1 message from the callbacks of http-parser
// ---------------------------------------------------------------------------------------------

typedef struct
{
  int status;       // of a response, 0 for a request
  BjStr method;     // of a request
  BjStr path;       // of a request, with the query
  BjStr headers;    // "Name: value" lines, each terminated by a line feed
  int64_t length;   // bytes of the body, -1 if unknown
  double waited_ms; // of a request that begins, since it was read
  bool is_first;    // of a response: nothing was requested before it on its connection
} BjHead;

typedef struct
{
  GString *path;
  GString *headers;
  bool in_value; // the last fragment belonged to a header value
} BjMessage;

void bj_message_init (BjMessage *m);
void bj_message_clear (BjMessage *m); // Frees the strings
void bj_message_reset (BjMessage *m); // Prepares for the next message
void bj_message_field (BjMessage *m, const char *data, size_t n);
void bj_message_value (BjMessage *m, const char *data, size_t n);
BjStr bj_message_headers (BjMessage *m); // All header lines; valid once the head is complete

// ---------------------------------------------------------------------------------------------
// Pool: HTTP/1.1 connections to the own upstream, one call at a time on each
// ---------------------------------------------------------------------------------------------

typedef struct BjPool BjPool;
typedef struct BjPoolConn BjPoolConn;

typedef struct
{
  BjAddress address;
  BjStr head;           // request line and headers including the empty line, copied
  BjStr body;           // borrowed until on_done or bj_pool_cancel
  bool is_head;         // HEAD request: the response has no body
  bool skip_idle_conns; // do not reuse connections that were idle for long
  bool opens_conn;      // reuses no connection
  bool is_probe;        // only opens a connection, sends no request
  BjStatus (*on_head) (void *data, const BjHead *h); // An error ends the call with BJ_E_LOST
  size_t (*on_body) (void *data, BjStr part);        // Bytes accepted: all, or 0 to pause reading
  void (*on_done) (void *data,
                   BjStatus s,
                   bool sent); // BJ_OK; BJ_E_LOST; BJ_E_NO_UPSTREAM if the connection was
                               // refused; BJ_E_BROKEN if it failed after the head. sent: the
                               // upstream may have received some bytes
  void *data;
} BjPoolOptions;

BjPool *bj_pool_new (struct ev_loop *loop);
void bj_pool_free (BjPool *p); // Ends open calls without on_done
BjPoolConn *bj_pool_start (BjPool *p,
                           const BjPoolOptions *o); // Never calls on_done before it returns
void bj_pool_resume (BjPoolConn *r);                // Resumes reading after a pause
void bj_pool_cancel (BjPoolConn *r);                // Closes the connection; on_done is not called
void bj_pool_close_idle (BjPool *p);                // Closes the idle connections
void bj_pool_flush (BjPool *p); // Writes the data queued in this event loop iteration

// ---------------------------------------------------------------------------------------------
// Dialect: the format of HTTP headers and of upstream announcements (plug-in)
// ---------------------------------------------------------------------------------------------

typedef struct
{
  BjStr id;      // identifies one start of the upstream, empty if not given
  BjStr service; // empty if is_shutting_down is set
  BjAddress address;
  int slots;
  bool draining;
  bool is_leaving; // draining until another start; an announcement of this one can't end it
  bool is_shutting_down;
  double cold_ms;    // warm-up time left
  int64_t sequence;  // increases with each announcement of one start, 0 if not given
  double started_ms; // wall-clock start time, 0 if unknown
} BjAnnouncement;

typedef struct
{
  void (*read_request) (
      const BjSettings *s,
      const BjHead *h,
      BjRequest *r,
      GString *relayed); // Request from a caller; strings borrow from h and relayed, which may be
                         // NULL if the headers to relay are not needed
  void (*write_answer) (
      BjAnswer *a,
      GString *lines); // Response to a caller: sets a->http_status, appends CR LF lines
  void (*write_run) (const BjCall *c,
                     BjStr upstream_id,
                     double left_ms,
                     GString *lines); // Headers of a request to the own upstream
  BjStatus (*read_run) (const BjCall *c,
                        const BjHead *h,
                        BjAnswer *a,
                        GString *relayed); // Response of the upstream; BJ_E_FORMAT if not for c,
                                           // or if it is a refusal that may be for another one
  BjStatus (*read_announcement) (BjStr method,
                                 BjStr path,
                                 BjStr body,
                                 BjAnnouncement *a); // BJ_E_NOT_FOUND if it is none; BJ_E_FORMAT
  const char *const *account_headers; // key and name of a client account, NULL-terminated; not
                                      // relayed from callers when accounts are configured
} BjDialectOps;

// ---------------------------------------------------------------------------------------------
// Signal: what upstreams say of themselves, read by all dialects
// ---------------------------------------------------------------------------------------------

typedef struct
{
  const char *rate;    // header with the calls a second that the upstream takes
  const char *leaving; // header that is 1 when it takes no new calls
} BjSignalNames;

bool bj_signal_read (const BjSignalNames *names,
                     BjStr name,
                     BjStr value,
                     BjUpstreamState *s); // Reads one header into s; false if it is another one

// ---------------------------------------------------------------------------------------------
// Http: client requests through the libcurl multi interface on the event loop
// ---------------------------------------------------------------------------------------------

typedef struct BjHttp BjHttp;
typedef struct BjHttpCall BjHttpCall;

typedef struct
{
  int status;
  BjStr outcome; // value of Bj-Outcome
  double retry_after_ms;
  int attempts_left; // -1 if the header is absent
  int64_t number;    // value of BjHttpOptions.number_header, 0 if absent
} BjHttpHead;

typedef struct
{
  const char *method;
  const char *url;
  const char *const *headers; // "Name: value", NULL-terminated
  const char *number_header;  // response header whose number is reported; NULL for none
  bool sends_once;            // never resent by libcurl, which resends on a lost reused connection
  BjStr body;                 // copied
  double timeout_ms;          // 0 for no timeout; up to the first byte if stall_ms is set
  size_t body_max;            // bytes of a response body, a longer one is rejected; 0 for no limit
  double stall_ms;            // longest pause between bytes of the response, 0 for no limit
  void (*head) (void *data, const BjHttpHead *h);
  size_t (*body_part) (void *data, BjStr part); // must accept and return all bytes
  void (*done) (
      void *data,
      BjStatus s,
      bool sent); // BJ_OK, BJ_E_LOST, BJ_E_BROKEN, BJ_E_DEADLINE; sent: bytes may have been sent
  void *data;
} BjHttpOptions;

BjHttp *bj_http_new (struct ev_loop *loop);
void bj_http_free (BjHttp *h); // Ends open calls without done
BjHttpCall *bj_http_start (BjHttp *h,
                           const BjHttpOptions *o); // Never calls done before it returns
void bj_http_cancel (BjHttpCall *c);                // Closes the connection; done is not called

// ---------------------------------------------------------------------------------------------
// Exchange: relays one response from a source to a sink, with backpressure
// ---------------------------------------------------------------------------------------------

typedef struct BjExchange BjExchange;
typedef struct BjSource BjSource;
typedef struct BjSink BjSink;

typedef struct
{
  void (*drained) (BjSource *s, size_t n); // the sink has forwarded n bytes
  void (*cancel) (BjSource *s);            // stops and frees the source; no more events
} BjSourceOps;

struct BjSource
{
  const BjSourceOps *ops;
};

typedef struct
{
  void (*begin) (BjSink *s, const BjAnswer *a);
  size_t (*room) (BjSink *s);                // bytes that the sink accepts now
  void (*data) (BjSink *s, BjStr part);      // at most room bytes
  void (*end) (BjSink *s, bool is_complete); // last call; the sink may free itself in it
} BjSinkOps;

struct BjSink
{
  const BjSinkOps *ops;
};

struct BjExchange
{
  BjDaemon *daemon;
  BjCall *call;                  // NULL once the kernel has freed it
  BjSource *source;              // NULL until the call is sent
  BjSink *sink;                  // NULL once the sink has ended
  struct BjOutcomeCall *outcome; // claim of an irreversible call, NULL for other calls
};

// "Source" and "Sink" name the caller of each function.
void bj_exchange_begin (BjExchange *x,
                        const BjAnswer *a);        // Source: head received; x may cancel the source
size_t bj_exchange_room (BjExchange *x);           // Source: bytes that the sink accepts now
void bj_exchange_data (BjExchange *x, BjStr part); // Source: part of the body
void bj_exchange_end (BjExchange *x,
                      bool is_complete); // Source: end of body; the source then frees itself
void bj_exchange_fail (BjExchange *x, BjStatus s, BjOutcome o); // Source: failed before the head
void bj_exchange_reroute (BjExchange *x); // Source: peer not responding; x may cancel the source
void bj_exchange_drained (BjExchange *x, size_t n); // Sink: forwarded n bytes
void bj_exchange_abort (BjExchange *x);             // Sink: its client disconnected; frees x

// ---------------------------------------------------------------------------------------------
// Field: reads the fields of a msgpack array in order, checking type and range
// ---------------------------------------------------------------------------------------------

typedef struct
{
  const msgpack_object *next;
  uint32_t n_left;
  bool failed; // a field was missing, of the wrong type or out of range; later reads return empty
} BjFields;

const msgpack_object *bj_field_next (BjFields *in, msgpack_object_type type); // NULL on failure
uint64_t bj_field_uint (BjFields *in, uint64_t max);
int64_t bj_field_int (BjFields *in, int64_t min, int64_t max);
double bj_field_double (BjFields *in);
bool bj_field_bool (BjFields *in);
BjStr bj_field_bytes (BjFields *in); // Borrowed content of a bin field
bool bj_msgpack_is_bounded (
    BjStr bytes); // No value declares more elements than bytes or exceeds the nesting limit

// ---------------------------------------------------------------------------------------------
// Frame: messages on links between daemons, length-prefixed msgpack arrays
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_FRAME_HELLO = 1, // protocol, name, incarnation, start, signature
  BJ_FRAME_CALL,
  BJ_FRAME_ANSWER,
  BJ_FRAME_DATA,
  BJ_FRAME_END,
  BJ_FRAME_CANCEL,
  BJ_FRAME_WINDOW,
  BJ_FRAME_PING,
  BJ_FRAME_PONG,
  BJ_FRAME_CONFIG_REQUEST, // lowest configuration number wanted, whether it is taken in parts
  BJ_FRAME_CONFIG,         // whole text of the configuration, for peers that take no parts
  BJ_FRAME_NOTICE,         // a suspect or quarantined request
  BJ_FRAME_CONFIG_PART,    // next part of the text, its offset, length of the whole text
  BJ_FRAME_KINDS,
} BjFrameKind;

typedef struct
{
  BjFrameKind kind;
  uint64_t id;                   // call id; HELLO: incarnation; CONFIG_*: number; PONG: 1 if the
                                 // sender reads account usage
  BjStr name;                    // HELLO: daemon; CALL: service
  int protocol;                  // HELLO
  uint64_t start;                // HELLO: random number of the sender's process, not 0
  BjRequest request;             // CALL
  uint64_t expected_incarnation; // CALL: of the peer if it may have the call already, else 0
  BjAnswer answer;               // ANSWER
  BjUpstreamState upstream;      // CALL: what the receiver's upstream last said; PING: what the
                                 // sender's upstream said; start 0 if nothing
  BjStr data;                    // DATA, CONFIG, CONFIG_PART; HELLO: signature; PING, PONG:
                                 // account usage, empty if absent
  uint64_t length;               // END: bytes of the body; WINDOW: bytes granted; CONFIG_PART: all
  uint64_t offset;               // CONFIG_PART: of data in the text; DATA: of data in the body if
                                 // frames before it are not sent again, else 0; WINDOW: bytes
                                 // forwarded in all, 0 from daemons of earlier versions
  bool takes_parts;              // CONFIG_REQUEST
  uint64_t hash;                 // END: xxHash of the body
  bool is_complete;              // END: of the body
  BjNotice notice;               // NOTICE
} BjFrame;

size_t bj_frame_size (const char *frame); // Of an encoded frame, its length prefix included
void bj_frame_encode (msgpack_sbuffer *out,
                      const BjFrame *f); // Appends length prefix and frame
BjStatus bj_frame_decode (BjStr bytes,
                          msgpack_unpacked *unpacked,
                          BjFrame *f); // Without length prefix; strings borrow from bytes, unpacked

// ---------------------------------------------------------------------------------------------
// Link: TCP connections to other daemons
// ---------------------------------------------------------------------------------------------

typedef struct BjLinks BjLinks;

BjStatus bj_links_new (BjDaemon *d, BjLinks **l); // BJ_E_IO if the port is in use
void bj_links_free (BjLinks *l);
void bj_links_send (BjLinks *l, BjExchange *x, BjPeer *p); // Sends the call; the response goes to x
void bj_links_disconnect (BjLinks *l, BjPeer *p); // Closes the connection; fails its open calls
void bj_links_request_config (BjLinks *l,
                              BjPeer *p,
                              int64_t number); // The reply goes to bj_reader_take_part, from a
                                               // peer that sends no parts to the daemon
void bj_links_tell_upstream (BjLinks *l);    // Sends what the own upstream said on all connections
void bj_links_send_notices (BjLinks *l);     // Sends new notices on suspect requests to all peers
void bj_links_flush (BjLinks *l);            // Writes the data queued in this event loop iteration
bool bj_links_is_flushed (const BjLinks *l); // All queued data is written

// ---------------------------------------------------------------------------------------------
// Front: ingress for callers
// ---------------------------------------------------------------------------------------------

typedef struct BjFront BjFront;

BjStatus bj_front_new (BjDaemon *d, BjFront **f); // BJ_E_IO if the port is in use
void bj_front_free (BjFront *f);
struct BjServer *bj_front_server (BjFront *f);
void bj_front_reload (BjFront *f); // Applies settings that may change while it runs

// ---------------------------------------------------------------------------------------------
// Console: HTTP server for operators and the own upstream, through libmicrohttpd
// ---------------------------------------------------------------------------------------------

typedef struct BjConsole BjConsole;

BjStatus bj_console_new (BjDaemon *d,
                         const char *name, // of the setting, for messages
                         BjAddress a,
                         BjConsole **c); // BJ_E_IO if the port is in use
void bj_console_free (BjConsole *c);     // Ignores NULL
bool bj_console_poll (BjConsole *c);     // Handles pending events; true if there were any

// ---------------------------------------------------------------------------------------------
// Admin: requests of operators and of the own upstream to this daemon
// ---------------------------------------------------------------------------------------------

int bj_admin_handle (
    BjDaemon *d, BjStr method, BjStr path, BjStr body, GString *out); // Returns the HTTP status

// ---------------------------------------------------------------------------------------------
// Datagram: gossip messages between daemons over UDP, msgpack arrays
// ---------------------------------------------------------------------------------------------

#define BJ_UPDATES_MAX 64     // member updates in one datagram
#define BJ_DIGEST_BUCKETS 64  // parts of the member table that are compared separately
#define BJ_MEMBER_NAME_MAX 64 // bytes of a name or address in a datagram

typedef enum
{
  BJ_MEMBER_ALIVE,
  BJ_MEMBER_SUSPECT, // did not acknowledge a probe
  BJ_MEMBER_DEAD,    // did not refute the suspicion in time
  BJ_MEMBER_LEFT,    // announced its planned stop
  BJ_MEMBER_STATES,
} BjMemberState;

typedef enum
{
  BJ_UPDATE_FULL = 1, // the whole report
  BJ_UPDATE_STATE,    // name, incarnation, instance, version and state
  BJ_UPDATE_LOAD,     // name, incarnation and load
  BJ_UPDATE_KINDS,
} BjUpdateKind;

typedef struct
{
  BjUpdateKind kind;
  BjMemberState state;
  uint32_t instance; // random per process; tells apart two daemons with the same name
  BjPeerReport report;
} BjUpdate;

typedef enum
{
  BJ_DATAGRAM_PING = 1,
  BJ_DATAGRAM_ACK,
  BJ_DATAGRAM_PING_REQUEST, // asks the receiver to ping the target
  BJ_DATAGRAM_UPDATES,      // carries updates only
  BJ_DATAGRAM_RECORDS,      // full updates on the members in buckets that differ
  BJ_DATAGRAM_DIGEST,       // hashes of the buckets, for anti-entropy
  BJ_DATAGRAM_STALE,        // the sender knows a later incarnation of the receiver
  BJ_DATAGRAM_KINDS,
} BjDatagramKind;

typedef struct
{
  BjDatagramKind kind;
  uint64_t sequence; // increases with each datagram of one incarnation of the sender
  BjStr to_host;     // destination address, covered by the signature
  int to_port;
  uint64_t ack_sequence; // ACK: sequence of the ping; PING_REQUEST: sequence for the forwarded ACK
  BjStr target;    // PING_REQUEST: member to ping; ACK: member that responded, empty for the sender
  BjUpdate self;   // full update on the sender
  uint64_t digest; // of the sender's member table
  uint64_t wanted_buckets; // RECORDS: bit set of the buckets that the receiver should send back
  uint64_t buckets[BJ_DIGEST_BUCKETS]; // DIGEST: hash of each bucket
  BjUpdate updates[BJ_UPDATES_MAX];
  int n_updates;
} BjDatagram;

void bj_datagram_encode (msgpack_sbuffer *out, const BjDatagram *d); // Appends to out
BjStatus bj_datagram_decode (BjStr bytes,
                             msgpack_unpacked *unpacked,
                             BjDatagram *d); // BJ_E_FORMAT; strings borrow from bytes and unpacked
size_t bj_update_size (const BjUpdate *u);   // Upper bound of the encoded size in bytes

// ---------------------------------------------------------------------------------------------
// Auth: signatures under the deployment key
// ---------------------------------------------------------------------------------------------

#define BJ_TAG_BYTES 16     // of a signature: HMAC-SHA-256, truncated
#define BJ_KEY_MIN_BYTES 16 // shortest deployment key

typedef struct BjAuth BjAuth;

BjStatus bj_auth_new (BjStr key_file,
                      BjAuth **a); // Empty name: no key; BJ_E_SETTINGS: unreadable or bad length
void bj_auth_free (BjAuth *a);     // Ignores NULL
void bj_auth_sign (const BjAuth *a, BjStr data, uint8_t tag[BJ_TAG_BYTES]); // Zeros without a key
void bj_auth_sign_hello (const BjAuth *a,
                         uint64_t incarnation,
                         uint64_t start,
                         BjStr from,
                         BjStr to,
                         uint8_t tag[BJ_TAG_BYTES]); // For the HELLO frame of a link
BjStatus bj_auth_check_hello (const BjAuth *a,
                              uint64_t incarnation,
                              uint64_t start,
                              BjStr from,
                              BjStr to,
                              BjStr tag); // BJ_E_AUTH if missing or wrong
BjStatus bj_auth_check (const BjAuth *a, BjStr data,
                        BjStr tag); // BJ_E_AUTH if missing or wrong

// ---------------------------------------------------------------------------------------------
// Swim: the membership protocol as a state machine without I/O
// ---------------------------------------------------------------------------------------------

typedef struct BjSwim BjSwim;
typedef struct BjSwimHost BjSwimHost;

typedef struct
{
  BjPeerReport report; // owns its strings
  BjMemberState state;
  uint32_t instance;
  bool is_self;
  BjTime state_since;
  int updates_left;       // datagrams that will still carry its state
  int load_updates_left;  // datagrams that will still carry its load
  uint64_t sequence;      // highest sequence received from it
  uint64_t replay_window; // bit n is set if sequence - n was received
  BjTime last_hint;       // when it was last sent a hint about its own state
  uint64_t digest_share;  // XORed into its bucket of the digest, 0 if it is not up
} BjMember;

typedef struct
{
  void (*send) (BjSwimHost *h, const BjDatagram *d);   // Sends to d->to_host, d->to_port
  void (*changed) (BjSwimHost *h, const BjMember *m);  // The member is new or its report changed
  void (*down) (BjSwimHost *h, const BjMember *m);     // The member was declared dead or left
  void (*refresh) (BjSwimHost *h, BjPeerReport *self); // Updates the own report
  void (*incarnation_raised) (BjSwimHost *h, uint64_t new_value); // Own incarnation
} BjSwimHostOps;

struct BjSwimHost
{
  const BjSwimHostOps *ops;
};

typedef struct
{
  BjPeerReport self; // copied
  uint32_t instance;
  BjAddress socket_address; // copied
  const BjAddress *seeds;   // copied
  int n_seeds;
  BjSwimHost *host;
  uint32_t seed; // of the random number generator
} BjSwimOptions;

typedef enum
{
  BJ_SWIM_ACCEPTED,
  BJ_SWIM_REPLAYED,  // sequence received before, or older than the replay window
  BJ_SWIM_STALE,     // sent by an older incarnation
  BJ_SWIM_MISPLACED, // addressed to another daemon
  BJ_SWIM_CONFLICT,  // sent by another daemon that uses the own name
} BjSwimVerdict;

BjSwim *bj_swim_new (const BjSwimOptions *o, BjTime now); // Never fails
void bj_swim_free (BjSwim *s);
void bj_swim_tick (BjSwim *s, BjTime now); // Call every BJ_SWIM_TICK_MS
BjSwimVerdict bj_swim_receive (BjSwim *s, BjTime now, const BjDatagram *d); // May send datagrams
void bj_swim_leave (BjSwim *s, BjTime now); // Announces a planned stop to the other members
void bj_swim_add_seed (BjSwim *s, BjStr host, int port);    // Adds an address to probe for members
const BjMember *bj_swim_find (const BjSwim *s, BjStr name); // NULL if unknown
const BjMember *bj_swim_member (const BjSwim *s, guint i);  // NULL past the last member
int bj_swim_count (const BjSwim *s); // Members alive or suspected, including itself

// ---------------------------------------------------------------------------------------------
// Seeds: finds members through the store object members/<domain> when the configured seeds are down
// ---------------------------------------------------------------------------------------------

typedef struct BjSeeds BjSeeds;

BjSeeds *bj_seeds_new (BjDaemon *d, BjSwim *swim); // Reads the object while alone, may maintain it
void bj_seeds_free (BjSeeds *s); // Call before the platform is freed; ignores NULL

// ---------------------------------------------------------------------------------------------
// Member: runs the membership protocol over UDP
// ---------------------------------------------------------------------------------------------

typedef struct BjMembers BjMembers;

BjStatus bj_members_new (BjDaemon *d, BjMembers **m); // BJ_E_IO if the port is in use
void bj_members_free (BjMembers *m);
void bj_members_publish (BjMembers *m); // Announces own changes now; ignores NULL
const BjMember *bj_members_at (const BjMembers *m, guint i); // NULL past the last member
void bj_members_leave (BjMembers *m); // Announces the planned stop of this daemon

// ---------------------------------------------------------------------------------------------
// Platform: client of the object store (plug-in)
// ---------------------------------------------------------------------------------------------

typedef struct BjPlatform BjPlatform;

typedef struct
{
  BjStatus code; // BJ_OK, BJ_E_NOT_FOUND, BJ_E_EXISTS, BJ_E_CONFLICT, BJ_E_GONE, BJ_E_PLATFORM
  BjStr version; // opaque resourceVersion
  struct json_object *spec; // content of the object, borrowed; NULL on failure
  BjStr list_continues;     // name after which a list goes on, empty at its end; for plug-ins
  size_t bytes;             // of the response body, 0 if not known
  double transfer_ms;       // from the head of the response to its end, 0 if not known
} BjPlatformReply;

typedef void (*BjPlatformDone) (void *data, const BjPlatformReply *r);

typedef struct
{
  BjPlatform *(*create) (struct ev_loop *loop, BjHttp *http, BjStr url);
  void (*destroy) (BjPlatform *p);
  void (*get) (BjPlatform *p,
               const char *name,
               BjPlatformDone done,
               void *data); // name: "kind/name"
  void (*put) (BjPlatform *p,
               const char *name,
               struct json_object *spec,
               BjStr version,
               BjPlatformDone done,
               void *data); // An empty version creates the object
  void (*watch) (BjPlatform *p,
                 const char *name,
                 BjStr version,
                 BjPlatformDone done,
                 void *data); // Long poll: replies when the object is newer than version. On
                              // time-out it replies BJ_E_NOT_FOUND, with a version to continue from
                              // if the store gave one. If read_config is set, a watch with an empty
                              // version replies at once
  void (*cancel_requests) (
      BjPlatform *p,
      void *data);         // Cancels the open requests of data; a write may still take effect
  const char *config_name; // name of the object that holds the operator's configuration
  BjStatus (*read_config) (struct json_object *spec,
                           GString *text); // Converts that object to the format of this library;
                                           // NULL if configurations are changed by tickets
} BjPlatformOps;

struct BjPlatform
{
  const BjPlatformOps *ops;
  int64_t era; // rises when the store comes back from an older copy; 0 if unknown. A version of one
               // era means nothing in another
  BjTime heard_at; // last bytes of any response, 0 before the first
};

// ---------------------------------------------------------------------------------------------
// Client: requests to an HTTP object store that replies in JSON, for platform plug-ins
// ---------------------------------------------------------------------------------------------

typedef struct BjStoreClient BjStoreClient;

typedef struct
{
  const char *method;
  const char *path;  // appended to the URL of the store
  const char *name;  // of the object, passed to read; copied
  BjStr body;        // copied
  double timeout_ms; // until the response begins, plus the time to send body at the lowest rate
  bool is_watch;     // must not be resent unnoticed: the store may have been restored in between
  void (*read) (struct json_object *o,
                const char *name,
                BjPlatformReply *r); // Fills r from the response; o is NULL if it is not JSON
  BjPlatformDone done;
  void *data;
} BjStoreRequestOptions;

BjStoreClient *
bj_store_client_new (BjPlatform *p, // whose era is updated
                     BjHttp *http,
                     BjStr url,
                     const char *era_header); // response header with the era, NULL for none; a
                                              // response of an older era fails with BJ_E_PLATFORM
void bj_store_client_free (BjStoreClient *c); // Cancels the open requests
void bj_store_client_start (BjStoreClient *c, const BjStoreRequestOptions *o);
void bj_store_client_cancel (BjStoreClient *c, void *data); // Cancels the open requests of data

// ---------------------------------------------------------------------------------------------
// Filer: sends the store requests of one filing
// ---------------------------------------------------------------------------------------------

typedef struct BjFiler BjFiler;
typedef void (*BjFilerDone) (void *data, const BjFiling *f);

BjFiler *bj_filer_new (struct ev_loop *loop,
                       BjPlatform *p,
                       BjFiling *f,
                       BjFilerDone done,
                       void *data); // Takes ownership of f; never calls done before it returns
void bj_filer_free (BjFiler *f);    // Ignores NULL; may be called from done

// ---------------------------------------------------------------------------------------------
// Role: decides which members of a failure domain ask the store for the configuration
// ---------------------------------------------------------------------------------------------

// The members of the own domain, seen from one of them
typedef struct
{
  int n_answered; // of higher rank, answered by the store
  int n_failed;   // of higher rank, not answered by the store, or suspected to be down
  int n_unknown;  // of higher rank, have not asked
  int n_members;  // of any rank, this one included
} BjRoleView;

typedef struct
{
  BjStoreAccess access; // to report to the other members
  BjTime access_since;
  BjTime not_before;  // earliest time of the next request
  double backoff_ms;  // after the next failure
  int n_retries_left; // while above 0, a member that was answered continues to read
} BjRole;

void bj_role_init (BjRole *r, BjTime now);
bool bj_role_reads (const BjRole *r, const BjRoleView *v); // Its turn to watch the store
bool bj_role_asks (const BjRole *r,
                   const BjRoleView *v,
                   BjTime now,
                   double random); // Send a request now; call every BJ_READER_TICK_MS while none is
                                   // open, with a random number from 0 to 1
void bj_role_answered (BjRole *r, BjTime now); // A request was answered
void bj_role_silent (BjRole *r, BjTime now);   // The open request has had no response for too long
void bj_role_failed (BjRole *r, BjTime now, double random);     // A request failed
void bj_role_rest (BjRole *r, const BjRoleView *v, BjTime now); // No request is open

// ---------------------------------------------------------------------------------------------
// Reader: fetches the current configuration from the platform and from peers
// ---------------------------------------------------------------------------------------------

typedef struct BjReader BjReader;

BjReader *bj_reader_new (BjDaemon *d);
void bj_reader_free (BjReader *r);
void bj_reader_check_peer (BjReader *r, BjPeer *p); // Fetches if p reports a newer configuration
void bj_reader_metrics (const BjReader *r, GString *out);
bool bj_reader_take_part (BjReader *r,
                          BjStr peer,
                          const BjFrame *f); // CONFIG_PART; false if it is not the next part
uint64_t bj_reader_rank (BjStr name,
                         BjStr domain); // Members with the highest ranks of a domain use the store

// ---------------------------------------------------------------------------------------------
// Shard: a bounded table of claims with a low watermark
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_CLAIM_HELD,    // the claimant may be running it
  BJ_CLAIM_DONE,    // it ran
  BJ_CLAIM_UNKNOWN, // it may have run; the claimant does not know
} BjClaimState;

typedef struct
{
  BjStr id;          // of the action: key and service
  uint64_t order;    // time of the key in ms, or number of a home-bound id; lowest is evicted first
  BjStr claimant;    // "daemon name/incarnation"
  uint64_t sequence; // of the attempt, unique per claimant
  uint64_t fingerprint; // of the request
  BjClaimState state;
  bool has_answer; // the response below is recorded
  int http_status;
  BjStr content_type;
  BjStr headers; // relayed headers of the response
  BjStr body;
  GSequenceIter *order_iter; // position in by_order of the shard
} BjClaim;

typedef struct
{
  GHashTable *claims;  // BjStr* in BjClaim -> BjClaim*
  GSequence *by_order; // BjClaim*, lowest order first
  uint64_t watermark;  // claims with an order at or below it may have been evicted
  size_t body_bytes;   // recorded response bodies in the table
  int claims_max;
  size_t body_bytes_max;
} BjShard;

BjShard *bj_shard_new (int claims_max, size_t body_bytes_max);
void bj_shard_free (BjShard *s);
const BjClaim *bj_shard_find (const BjShard *s, BjStr id); // NULL if absent
bool bj_shard_is_below_watermark (const BjShard *s,
                                  uint64_t order); // True: an absent id may have run
void bj_shard_insert (BjShard *s,
                      const BjClaim *c);             // Copies c; may evict the lowest orders
bool bj_shard_remove (BjShard *s, const BjClaim *c); // Only if id, claimant and sequence match
bool bj_shard_record (BjShard *s,
                      const BjClaim *c); // False unless the same attempt holds the claim
struct json_object *bj_shard_print (const BjShard *s); // Store object; caller frees it
BjStatus
bj_shard_parse (BjShard *s,
                struct json_object *spec); // Replaces all claims, by none if spec is NULL; keeps
                                           // the higher watermark; BJ_E_FORMAT if malformed
void bj_claim_copy (BjClaim *to,
                    const BjClaim *from);       // Deep copy; frees the previous content of to
void bj_claim_clear (BjClaim *c);               // Frees the strings
BjStatus bj_key_time (BjStr key, uint64_t *ms); // Time in a UUID version 7; BJ_E_KEY if it is none

// ---------------------------------------------------------------------------------------------
// Claims: at-most-once execution of irreversible actions by conditional store updates, without I/O
// ---------------------------------------------------------------------------------------------

typedef struct BjClaims BjClaims;
typedef struct BjClaimHost BjClaimHost;

typedef struct
{
  BjStatus code;        // BJ_OK, BJ_E_DUPLICATE, BJ_E_KEY, BJ_E_PLATFORM
  const BjClaim *claim; // the conflicting claim, NULL if it was evicted
  double retry_after_ms;
} BjClaimResult;

typedef struct
{
  void (*get) (BjClaimHost *h, int shard); // Replies later by bj_claims_on_read
  void (*put) (
      BjClaimHost *h,
      int shard,
      BjStr version,
      struct json_object *spec); // Replies later by bj_claims_on_written; an empty version creates
  void (*decided) (BjClaimHost *h,
                   void *data,
                   const BjClaimResult *r); // BJ_OK: the action may run once
} BjClaimHostOps;

struct BjClaimHost
{
  const BjClaimHostOps *ops;
};

typedef struct
{
  BjClaimHost *host;
  BjStr claimant; // copied
  uint64_t first_sequence;
  int shards;
  int claims_max;        // per shard
  size_t body_bytes_max; // recorded response bodies per shard
} BjClaimsOptions;

#define BJ_CLAIMS_OPTIONS_DEFAULT                                                                  \
  {                                                                                                \
    .first_sequence = 1, .shards = BJ_CLAIM_SHARDS, .claims_max = BJ_CLAIM_SHARD_CLAIMS_MAX,       \
    .body_bytes_max = BJ_CLAIM_SHARD_BODY_BYTES                                                    \
  }

BjClaims *bj_claims_new (const BjClaimsOptions *o);
void bj_claims_free (BjClaims *c);
uint64_t bj_claims_sequence (BjClaims *c); // Returns a new sequence for the next attempt
void bj_claims_acquire (BjClaims *c,
                        BjTime now,
                        const BjClaim *claim,
                        void *data); // Needs id, order, sequence, fingerprint; calls decided once
void bj_claims_abandon (BjClaims *c,
                        uint64_t sequence); // The request was cancelled; decided is not called
void
bj_claims_release (BjClaims *c, BjTime now, const BjClaim *claim); // The held action was not run
void bj_claims_record (BjClaims *c,
                       BjTime now,
                       const BjClaim *claim); // Outcome and response of the held action
void bj_claims_on_read (BjClaims *c, BjTime now, int shard, const BjPlatformReply *r);
void bj_claims_on_written (BjClaims *c, BjTime now, int shard, const BjPlatformReply *r);
void bj_claims_tick (BjClaims *c, BjTime now); // Retries failed store requests
int bj_claims_pending (const BjClaims *c);     // Number of requests waiting for the store

// ---------------------------------------------------------------------------------------------
// Actions: home-bound action ids, run only by the daemon that minted them; claims in memory
// ---------------------------------------------------------------------------------------------

typedef struct BjActions BjActions;

BjActions *bj_actions_new (BjStr name, uint64_t incarnation);
void bj_actions_free (BjActions *a);
void bj_actions_mint (BjActions *a, GString *id); // Appends a new id
bool bj_actions_is_home_bound (BjStr key);        // Has the format of an id minted by any daemon
void bj_actions_claim (
    BjActions *a,
    BjStr key,
    BjClaim *claim,
    BjClaimResult *r); // Sets claim->order; r: BJ_OK, BJ_E_HOME, BJ_E_KEY, BJ_E_DUPLICATE
BjShard *bj_actions_table (BjActions *a); // Table that records the outcomes

// ---------------------------------------------------------------------------------------------
// Outcome: connects irreversible calls to their claims
// ---------------------------------------------------------------------------------------------

typedef struct BjOutcomes BjOutcomes;
typedef struct BjOutcomeCall BjOutcomeCall;

BjOutcomes *bj_outcomes_new (BjDaemon *d);
void bj_outcomes_free (BjOutcomes *o);
void bj_outcomes_claim (BjOutcomes *o,
                        BjExchange *x); // Calls bj_kernel_claimed, possibly before it returns
void bj_outcomes_begin (BjExchange *x, const BjAnswer *a); // Head of the upstream's response
void bj_outcomes_data (BjExchange *x, BjStr part);         // Part of its body
void bj_outcomes_end (BjExchange *x,
                      bool is_complete);   // End of the response; records that the action ran
void bj_outcomes_on_freed (BjExchange *x); // Before x is freed: records, releases or cancels the
                                           // claim if the call has not ended
void bj_outcomes_tick (BjOutcomes *o);
int bj_outcomes_pending (const BjOutcomes *o);
void bj_outcomes_mint (BjOutcomes *o, GString *id); // A home-bound action id

// ---------------------------------------------------------------------------------------------
// Daemon: state shared by the modules of one daemon
// ---------------------------------------------------------------------------------------------

struct BjDaemon
{
  BjHost host; // must be first: kernel callbacks cast it to BjDaemon
  struct ev_loop *loop;
  BjSettings settings;
  uint64_t incarnation;
  uint64_t start; // random number of this process; identifies the sender of a call
  BjKernel *kernel;
  const BjDialectOps *dialect;
  BjHttp *http; // client for the platform
  BjPool *pool; // connections to the own upstream
  BjLinks *links;
  BjFront *front;
  BjConsole *admin;
  BjConsole *ready; // NULL if settings.ready is not set
  BjMembers *members;
  struct BjAuth *auth;
  BjPlatform *platform;
  BjReader *reader;
  BjOutcomes *outcomes;
  struct BjUsage *usage;
  BjAddress upstream; // of the own upstream, port 0 before its announcement
  BjStr upstream_id;  // identifies its start, empty if not announced
  double upstream_started_ms;
  int64_t upstream_sequence;
  BjStr other_instance;        // id of the upstream that runs instead of it, empty if none is known
  BjTime announced;            // time of the last announcement of the upstream
  struct BjRefusals *refusals; // of the own upstream
  GPtrArray *lost_runs; // calls whose upstream connection was lost; a probe shows if it crashed
  guint n_probed_runs;  // the first ones of lost_runs, lost before the current probe started
  GHashTable *relayed_names; // BjStr*: header names of the upstream's responses logged so far
  bool draining;
  bool stopping;
  BjTime stop_deadline;       // while stopping: the daemon exits then, even if calls are open
  BjTime accept_calls_until;  // while stopping: the upstream accepts new calls until then
  BjTime drain_known_by;      // while stopping: all peers know of the drain by then
  BjTime begin_calls_until;   // while stopping: requests of callers begin until then
  bool has_stopped_accepting; // the front no longer accepts connections
  BjTime flush_deadline; // while stopping: outcomes are written until then; 0 while calls are open
  struct BjDaemonWatchers *watchers;
};

BjStatus
bj_daemon_apply_config (BjDaemon *d,
                        int64_t number, // as the source states it
                        BjStr text,
                        const char *source); // "store", or the peer's name, for logs; BJ_E_TICKET
                                             // or BJ_E_TOO_LARGE, logged and counted
void
bj_daemon_reject_config (BjDaemon *d,
                         int64_t number, // 0 if it could not be read
                         size_t bytes,
                         const char *source); // Logs and counts; the last message is the reason
BjAnswer
bj_daemon_refuse_head (BjDaemon *d,
                       const BjHead *h,
                       int http_status); // Counts and logs a request that bj_kernel_check_head
                                         // refuses; returns its response, which has no body
BjExchange *bj_daemon_handle_call (BjDaemon *d,
                                   const BjRequest *r,
                                   BjSink *sink); // Call from a caller; NULL if answered already
BjExchange *bj_daemon_handle_peer_call (BjDaemon *d,
                                        const BjRequest *r,
                                        BjStr service,
                                        BjSink *sink); // Call from a peer; NULL if answered already
BjStatus
bj_daemon_handle_announcement (BjDaemon *d,
                               const BjAnnouncement *a); // BJ_E_CONFLICT if it is out of date
void bj_daemon_mark_upstream_down (
    BjDaemon *d); // Connection refused: no calls until its next announcement
void bj_daemon_note_other_instance (
    BjDaemon *d,
    BjStr id); // The upstream at the address has this id: no calls until its next announcement,
               // which counts even if it started before the one announced last
void bj_daemon_publish_leaving (BjDaemon *d); // Tells other daemons that the own upstream leaves
void bj_daemon_set_draining (BjDaemon *d, bool drain);
void bj_upstream_start (BjDaemon *d, BjExchange *x); // Sends the call to the own upstream
