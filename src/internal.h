// Declarations that modules of the library share and embedders do not see.

#pragma once

#include "boragejunction.h"
#include <json-c/json.h>
#include <msgpack.h>

struct ev_loop;

// ---------------------------------------------------------------------------------------------
// Json: strict reading of settings and tickets by tables of keys
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
  double min; // of a number, or of the length of a string or array
  double max;
} BjJsonKey;

typedef struct
{
  const char *path; // as in messages and docs, "settings.platform"
  const BjJsonKey *keys;
  int n;
} BjJsonTable;

const BjJsonTable *bj_settings_tables (int *n); // Keys that settings may have
const BjJsonTable *bj_ticket_tables (int *n); // Keys that tickets may have, the ticket's own first
const char *bj_json_type_name (BjJsonType t); // "a string"
BjStatus
bj_json_read (const char *name,
              BjStr text,
              BjStatus code,
              struct json_object **root); // One whole value, comments allowed; code on failure
BjStatus bj_json_check (const char *name,
                        const char *path,
                        struct json_object *o,
                        BjStatus code,
                        const BjJsonKey *keys,
                        int n); // Unknown keys, types, ranges; message names all
BjStr bj_json_str (struct json_object *o, const char *key); // View, empty if absent
double bj_json_number (struct json_object *o,
                       const char *key,
                       double absent);                        // Number or the value for absent
int64_t bj_json_int (struct json_object *o, const char *key); // Whole number, 0 if absent
bool bj_json_bool (struct json_object *o, const char *key, bool absent);

struct json_object *bj_ticket_decision (struct json_object *config,
                                        int64_t number); // Borrowed, NULL when it is not listed

// ---------------------------------------------------------------------------------------------
// Header: which HTTP headers pass the daemons
// ---------------------------------------------------------------------------------------------

void bj_header_add (GString *block,
                    BjStr name,
                    BjStr value); // Unless it belongs to one hop or is our own
bool bj_header_next (BjStr *block,
                     BjStr *name,
                     BjStr *value);                   // Takes the first line off; false at the end
bool bj_header_is (BjStr name, const char *other);    // The same, without regard to case
BjStr bj_header_find (BjStr block, const char *name); // Value of the first one, empty if none
bool bj_header_is_sound (BjStr block); // Every line is a name, a colon and printable text

// ---------------------------------------------------------------------------------------------
// Message: one HTTP/1.1 message as http-parser reads it
// ---------------------------------------------------------------------------------------------

typedef struct
{
  int status;     // of an answer, 0 of a request
  BjStr method;   // of a request
  BjStr path;     // of a request, with query
  BjStr headers;  // all of them, "Name: value" lines, each ended by a line feed
  int64_t length; // of the body, -1 when not known
} BjHead;

typedef struct
{
  GString *path;
  GString *headers;
  bool in_value; // the last piece belonged to a header's value
} BjMessage;

void bj_message_init (BjMessage *m);
void bj_message_clear (BjMessage *m); // Frees the strings
void bj_message_reset (BjMessage *m); // Before the next message
void bj_message_field (BjMessage *m, const char *data, size_t n);
void bj_message_value (BjMessage *m, const char *data, size_t n);
BjStr bj_message_headers (BjMessage *m); // The whole block, once the head has ended

// ---------------------------------------------------------------------------------------------
// Server: HTTP/1.1 connections of callers
// ---------------------------------------------------------------------------------------------

typedef struct BjServer BjServer;
typedef struct BjServerConn BjServerConn;

typedef struct
{
  void (*request) (void *data, BjServerConn *c, const BjHead *h, BjStr body); // A whole one came
  void (*left) (void *call);              // The caller closed before the end of its answer
  void (*drained) (void *call, size_t n); // n bytes of the answer's body were written
} BjServerOps;

BjStatus bj_server_new (struct ev_loop *loop,
                        const char *name, // of the setting, for messages
                        BjAddress a,
                        const BjServerOps *ops,
                        void *data,
                        BjServer **s); // BJ_E_IO when the port is busy
void bj_server_free (BjServer *s);
void bj_server_limit (BjServer *s, const BjCallerLimits *l); // From now on
void bj_server_keep (BjServer *s, int n); // Most connections; above, idle ones make room
void bj_server_close (BjServer *s);       // Every answer from now on ends its connection
void bj_server_quiesce (BjServer *s);     // Takes no new connection from now on
int bj_server_open (const BjServer *s);   // Requests not yet answered whole
void bj_server_flush (BjServer *s);       // Writes what was queued in this turn
void bj_server_answer_for (BjServerConn *c, void *call); // Whom left and drained are told
void bj_server_begin (BjServerConn *c,
                      int status,
                      BjStr lines,             // "Name: value" lines, each ended by CR LF
                      int64_t length);         // -1 sends it in chunks
size_t bj_server_held (const BjServerConn *c); // Bytes not yet written
void bj_server_data (BjServerConn *c, BjStr part);
void bj_server_end (BjServerConn *c, bool whole); // Not whole: the connection is reset

// ---------------------------------------------------------------------------------------------
// Pool: HTTP/1.1 connections to the own upstream, one call on each at a time
// ---------------------------------------------------------------------------------------------

typedef struct BjPool BjPool;
typedef struct BjPoolRun BjPoolRun;

typedef struct
{
  BjAddress address;
  BjStr head;     // request line and headers with the empty line, copied
  BjStr body;     // borrowed until done or cancelled
  bool is_head;   // the answer has no body
  bool only_warm; // a connection that was idle for long is not reused
  bool is_probe;  // only opens a connection
  BjStatus (*on_head) (void *data, const BjHead *h); // Else than BJ_OK ends it as lost
  size_t (*on_body) (void *data, BjStr part);        // Bytes taken: all or 0, which pauses
  void (*on_done) (void *data,
                   BjStatus s,
                   bool sent); // BJ_OK, BJ_E_LOST, BJ_E_NO_UPSTREAM when the connection was
                               // refused, BJ_E_BROKEN after a head; sent: bytes may have arrived
  void *data;
} BjPoolOptions;

BjPool *bj_pool_new (struct ev_loop *loop);
void bj_pool_free (BjPool *p);                                // Ends open runs without telling them
BjPoolRun *bj_pool_start (BjPool *p, const BjPoolOptions *o); // on_done is called later, never now
void bj_pool_resume (BjPoolRun *r);                           // After a pause
void bj_pool_cancel (BjPoolRun *r); // Closes the connection; on_done is not called
void bj_pool_drop (BjPool *p);      // Closes the idle connections
void bj_pool_flush (BjPool *p);     // Writes what was queued in this turn

// ---------------------------------------------------------------------------------------------
// Dialect: how HTTP headers and announcements speak (plug-in)
// ---------------------------------------------------------------------------------------------

typedef struct
{
  BjStr id;      // of this start of the upstream, empty if it names none
  BjStr service; // empty when it is gone
  BjAddress address;
  int slots;
  bool draining;
  bool gone;        // it takes leave
  double cold_ms;   // for which it is still slow
  int64_t sequence; // grows with each announcement of one start, 0 if not counted
  double born_ms;   // wall time of its start, 0 if not known
} BjAnnouncement;

typedef struct
{
  void (*read_request) (const BjSettings *s,
                        const BjHead *h,
                        BjRequest *r,
                        GString *relayed); // From a caller; strings live in h and relayed
  void (*write_answer) (BjAnswer *a,
                        GString *lines); // To a caller: sets a's HTTP status, adds CR LF lines
  void (*write_run) (const BjCall *c,
                     BjStr upstream_id,
                     double left_ms,
                     GString *lines); // To the own upstream
  BjStatus (*read_run) (const BjCall *c,
                        const BjHead *h,
                        BjAnswer *a,
                        GString *relayed); // From it; BJ_E_FORMAT when it answers another request
  BjStatus (*read_announcement) (BjStr method,
                                 BjStr path,
                                 BjStr body,
                                 BjAnnouncement *a); // BJ_E_NOT_FOUND when it is no announcement,
                                                     // BJ_E_FORMAT when it can't be used
} BjDialectOps;

// ---------------------------------------------------------------------------------------------
// Http: requests through libcurl multi on the loop
// ---------------------------------------------------------------------------------------------

typedef struct BjHttp BjHttp;
typedef struct BjHttpCall BjHttpCall;

typedef struct
{
  int status;
  BjStr outcome; // Bj-Outcome
  double retry_after_ms;
  int attempts_left; // -1 when not given
} BjHttpHead;

typedef struct
{
  const char *method;
  const char *url;
  const char *const *headers; // "Name: value", NULL-terminated
  BjStr body;                 // copied
  double timeout_ms;          // 0 for none
  void (*head) (void *data, const BjHttpHead *h);
  size_t (*body_part) (void *data, BjStr part); // bytes taken, all of them
  void (*done) (
      void *data,
      BjStatus s,
      bool sent); // BJ_OK, BJ_E_LOST, BJ_E_BROKEN, BJ_E_DEADLINE; sent: bytes may have left
  void *data;
} BjHttpOptions;

BjHttp *bj_http_new (struct ev_loop *loop);
void bj_http_free (BjHttp *h); // Ends open calls without telling them
BjHttpCall *bj_http_start (BjHttp *h,
                           const BjHttpOptions *o); // done is called later, never at once
void bj_http_cancel (BjHttpCall *c);                // Closes the connection; done is not called

// ---------------------------------------------------------------------------------------------
// Exchange: an answer on its way from a source to a sink, with backpressure
// ---------------------------------------------------------------------------------------------

typedef struct BjExchange BjExchange;
typedef struct BjSource BjSource;
typedef struct BjSink BjSink;

typedef struct
{
  void (*drained) (BjSource *s, size_t n); // the sink passed n bytes on
  void (*cancel) (BjSource *s);            // stop and free; no more events
} BjSourceOps;

struct BjSource
{
  const BjSourceOps *ops;
};

typedef struct
{
  void (*begin) (BjSink *s, const BjAnswer *a);
  size_t (*room) (BjSink *s);           // bytes it takes now
  void (*data) (BjSink *s, BjStr part); // never more than room
  void (*end) (BjSink *s, bool whole);  // the sink is freed or frees itself
} BjSinkOps;

struct BjSink
{
  const BjSinkOps *ops;
};

struct BjExchange
{
  BjDaemon *daemon;
  BjCall *call;                  // NULL after the kernel freed it
  BjSource *source;              // where the answer comes from, NULL before
  BjSink *sink;                  // where it goes
  struct BjOutcomeCall *outcome; // of irreversible work, NULL for other calls
};

void bj_exchange_begin (BjExchange *x,
                        const BjAnswer *a);        // Source: head arrived; may cancel the source
size_t bj_exchange_room (BjExchange *x);           // Source: bytes the sink takes
void bj_exchange_data (BjExchange *x, BjStr part); // Source: body
void bj_exchange_end (BjExchange *x,
                      bool whole); // Source: body ended; the source frees itself after
void bj_exchange_lost (BjExchange *x, BjStatus s, BjOutcome o); // Source: failed before a head
void bj_exchange_move (BjExchange *x); // Source: its peer is silent; may cancel the source
void bj_exchange_drained (BjExchange *x, size_t n); // Sink: passed n bytes on
void bj_exchange_gone (BjExchange *x);              // Sink: its reader went away; x is freed

// ---------------------------------------------------------------------------------------------
// Field: the fields of a msgpack array, read one after the other with type and range
// ---------------------------------------------------------------------------------------------

typedef struct
{
  const msgpack_object *at;
  uint32_t left;
  bool failed; // a field was missing, of another type or out of range; every later one is empty
} BjFields;

const msgpack_object *bj_field_next (BjFields *in, msgpack_object_type type); // NULL when it fails
uint64_t bj_field_uint (BjFields *in, uint64_t max);
int64_t bj_field_int (BjFields *in, int64_t min, int64_t max);
double bj_field_double (BjFields *in);
bool bj_field_bool (BjFields *in);
BjStr bj_field_bytes (BjFields *in); // View of a bin
bool bj_msgpack_is_bounded (
    BjStr bytes); // No value claims more elements than bytes, or is nested too deep

// ---------------------------------------------------------------------------------------------
// Frame: messages between daemons, length-prefixed msgpack arrays
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_FRAME_HELLO = 1, // protocol, name, incarnation, signature
  BJ_FRAME_CALL,
  BJ_FRAME_ANSWER,
  BJ_FRAME_DATA,
  BJ_FRAME_END,
  BJ_FRAME_CANCEL,
  BJ_FRAME_WINDOW,
  BJ_FRAME_PING,
  BJ_FRAME_PONG,
  BJ_FRAME_CONFIG_ASK, // number wanted at least
  BJ_FRAME_CONFIG,     // text of the merged configuration
  BJ_FRAME_NOTICE,     // a suspect or quarantined request
  BJ_FRAME_KINDS,
} BjFrameKind;

typedef struct
{
  BjFrameKind kind;
  uint64_t id;       // call, or incarnation in HELLO, number in CONFIG_ASK
  BjStr name;        // HELLO: daemon; CALL: service
  int protocol;      // HELLO
  BjRequest request; // CALL
  uint64_t expected; // CALL: incarnation that may have got it already, 0 on the first sending
  BjAnswer answer;   // ANSWER
  BjStr data;        // DATA, CONFIG; HELLO: signature
  uint64_t length;   // END: bytes of body; WINDOW: bytes granted
  uint64_t hash;     // END: xxHash of the body
  bool whole;        // END
  BjNotice notice;   // NOTICE
} BjFrame;

void bj_frame_encode (msgpack_sbuffer *out, const BjFrame *f); // Appends length and frame
BjStatus bj_frame_decode (BjStr bytes,
                          msgpack_unpacked *keep,
                          BjFrame *f); // Without the length; strings live in bytes and keep

// ---------------------------------------------------------------------------------------------
// Link: TCP connections to other daemons
// ---------------------------------------------------------------------------------------------

typedef struct BjLinks BjLinks;

BjStatus bj_links_new (BjDaemon *d, BjLinks **l); // BJ_E_IO when the port is busy
void bj_links_free (BjLinks *l);
void bj_links_send (BjLinks *l, BjExchange *x, BjPeer *p); // Sends the call; answers reach x
void bj_links_forget (BjLinks *l, BjPeer *p); // Closes the connection; its open calls are lost
void
bj_links_ask_config (BjLinks *l, BjPeer *p, int64_t number); // The text arrives by bj_daemon_config
void bj_links_notify (BjLinks *l);           // Tells every peer the kernel's news of suspects
void bj_links_flush (BjLinks *l);            // Writes what was queued in this turn
bool bj_links_is_written (const BjLinks *l); // Nothing queued is left

// ---------------------------------------------------------------------------------------------
// Front: calls from callers
// ---------------------------------------------------------------------------------------------

typedef struct BjFront BjFront;

BjStatus bj_front_new (BjDaemon *d, BjFront **f); // BJ_E_IO when the port is busy
void bj_front_free (BjFront *f);
BjServer *bj_front_server (BjFront *f);

// ---------------------------------------------------------------------------------------------
// Console: HTTP of operators and of the own upstream through libmicrohttpd
// ---------------------------------------------------------------------------------------------

typedef struct BjConsole BjConsole;

BjStatus bj_console_new (BjDaemon *d,
                         const char *name,
                         BjAddress a,
                         BjConsole **c); // BJ_E_IO when the port is busy; name of the setting
void bj_console_free (BjConsole *c);     // NULL does nothing
bool bj_console_turn (BjConsole *c);     // Runs what is ready; true if it did anything

// ---------------------------------------------------------------------------------------------
// Admin: operators' and upstreams' requests to one daemon
// ---------------------------------------------------------------------------------------------

int bj_admin_handle (
    BjDaemon *d, BjStr method, BjStr path, BjStr body, GString *out); // Returns the HTTP status

// ---------------------------------------------------------------------------------------------
// Datagram: what daemons tell each other by UDP, msgpack arrays
// ---------------------------------------------------------------------------------------------

#define BJ_UPDATES_MAX 64     // members told of in one datagram
#define BJ_DIGEST_BUCKETS 64  // parts of the table that are compared one by one
#define BJ_MEMBER_NAME_MAX 64 // bytes

typedef enum
{
  BJ_MEMBER_ALIVE,
  BJ_MEMBER_SUSPECT, // did not answer a probe
  BJ_MEMBER_DEAD,    // did not refute the suspicion
  BJ_MEMBER_LEFT,    // said so itself
  BJ_MEMBER_STATES,
} BjMemberState;

typedef enum
{
  BJ_UPDATE_FULL = 1, // the whole report
  BJ_UPDATE_STATE,    // name, incarnation, version and state
  BJ_UPDATE_LOAD,     // name, incarnation and load
  BJ_UPDATE_KINDS,
} BjUpdateKind;

typedef struct
{
  BjUpdateKind kind;
  BjMemberState state;
  uint32_t instance; // random in each process, tells two daemons of one name apart
  BjPeerReport report;
} BjUpdate;

typedef enum
{
  BJ_DATAGRAM_PING = 1,
  BJ_DATAGRAM_ACK,
  BJ_DATAGRAM_PING_ASK, // ping the target for me
  BJ_DATAGRAM_NEWS,     // updates only
  BJ_DATAGRAM_RECORDS,  // whole buckets, after a comparison
  BJ_DATAGRAM_DIGEST,   // hashes of the buckets, to be compared
  BJ_DATAGRAM_STALE,    // the receiver's incarnation is older than one known here
  BJ_DATAGRAM_KINDS,
} BjDatagramKind;

typedef struct
{
  BjDatagramKind kind;
  uint64_t sequence; // of the sender's incarnation
  BjStr to_host;     // where it was sent
  int to_port;
  uint64_t answers; // ACK: sequence of the ping
  BjStr target;     // PING_ASK: whom to ping; ACK: who answered, empty for the sender
  BjUpdate self;    // the sender
  uint64_t digest;  // of the sender's table
  uint64_t wanted;  // RECORDS: set of buckets that the receiver is asked to send
  uint64_t buckets[BJ_DIGEST_BUCKETS]; // DIGEST
  BjUpdate updates[BJ_UPDATES_MAX];
  int n_updates;
} BjDatagram;

void bj_datagram_encode (msgpack_sbuffer *out, const BjDatagram *d); // Appends
BjStatus bj_datagram_decode (BjStr bytes,
                             msgpack_unpacked *keep,
                             BjDatagram *d); // BJ_E_FORMAT; strings live in bytes and keep
size_t bj_update_size (const BjUpdate *u);   // Bytes it takes at most

// ---------------------------------------------------------------------------------------------
// Auth: signatures under the deployment key
// ---------------------------------------------------------------------------------------------

#define BJ_TAG_BYTES 16     // of HMAC-SHA-256
#define BJ_KEY_MIN_BYTES 16 // of a deployment key

typedef struct BjAuth BjAuth;

BjStatus bj_auth_new (BjStr key_file,
                      BjAuth **a); // Empty name for no key; BJ_E_SETTINGS if unreadable or short
void bj_auth_free (BjAuth *a);     // NULL does nothing
void bj_auth_sign (const BjAuth *a, BjStr data, uint8_t tag[BJ_TAG_BYTES]); // Zeros without a key
void bj_auth_sign_hello (const BjAuth *a,
                         uint64_t incarnation,
                         BjStr from,
                         BjStr to,
                         uint8_t tag[BJ_TAG_BYTES]); // Of a link, from one daemon to another
BjStatus bj_auth_check_hello (
    const BjAuth *a, uint64_t incarnation, BjStr from, BjStr to, BjStr tag); // BJ_E_AUTH
BjStatus bj_auth_check (const BjAuth *a, BjStr data,
                        BjStr tag); // BJ_E_AUTH when missing or wrong

// ---------------------------------------------------------------------------------------------
// Swim: membership as a state machine without I/O
// ---------------------------------------------------------------------------------------------

typedef struct BjSwim BjSwim;
typedef struct BjSwimHost BjSwimHost;

typedef struct
{
  BjPeerReport report; // owned strings
  BjMemberState state;
  uint32_t instance;
  bool is_self;
  BjTime since;          // when the state began
  int news_left;         // datagrams that still tell of it
  int load_left;         // datagrams that still tell of its load
  uint64_t sequence;     // highest seen from it
  uint64_t window;       // of the 64 sequences up to the highest, which were seen
  BjTime stale_told;     // when it was last told that its incarnation is old
  uint64_t digest_share; // its part of the digest, 0 when it counts for nothing
} BjMember;

typedef struct
{
  void (*send) (BjSwimHost *h, const BjDatagram *d);       // To d->to_host and d->to_port
  void (*changed) (BjSwimHost *h, const BjMember *m);      // New, or its report changed
  void (*gone) (BjSwimHost *h, const BjMember *m);         // Dead or left
  void (*refresh) (BjSwimHost *h, BjPeerReport *self);     // Fills the own report as of now
  void (*incarnation) (BjSwimHost *h, uint64_t new_value); // The own incarnation grew
} BjSwimHostOps;

struct BjSwimHost
{
  const BjSwimHostOps *ops;
};

typedef struct
{
  BjPeerReport self; // copied
  uint32_t instance;
  BjAddress bound;        // where the socket listens, copied
  const BjAddress *seeds; // copied
  int n_seeds;
  BjSwimHost *host;
  uint32_t seed; // of every random choice
} BjSwimOptions;

typedef enum
{
  BJ_SWIM_ACCEPTED,
  BJ_SWIM_REPLAYED,  // the sequence was seen or is too old
  BJ_SWIM_STALE,     // from an older incarnation
  BJ_SWIM_MISPLACED, // sent to another address
  BJ_SWIM_CONFLICT,  // from another daemon under the own name
} BjSwimVerdict;

BjSwim *bj_swim_new (const BjSwimOptions *o, BjTime now); // Never fails
void bj_swim_free (BjSwim *s);
void bj_swim_tick (BjSwim *s, BjTime now);                                  // Every BJ_SWIM_TICK_MS
BjSwimVerdict bj_swim_receive (BjSwim *s, BjTime now, const BjDatagram *d); // May send
void bj_swim_leave (BjSwim *s, BjTime now);                 // Tells the others of a planned stop
void bj_swim_add_seed (BjSwim *s, BjStr host, int port);    // One more address to begin with
const BjMember *bj_swim_find (const BjSwim *s, BjStr name); // NULL when unknown
const BjMember *bj_swim_member (const BjSwim *s, guint i);  // NULL past the last one
int bj_swim_count (const BjSwim *s);                        // Alive or suspected, itself included

// ---------------------------------------------------------------------------------------------
// Seeds: the object members/<domain> in the store, to find the others when seeds are dead
// ---------------------------------------------------------------------------------------------

typedef struct BjSeeds BjSeeds;

BjSeeds *bj_seeds_new (BjDaemon *d, BjSwim *swim); // Reads it while alone, keeps it as a keeper
void bj_seeds_free (BjSeeds *s);                   // Before the platform; NULL does nothing

// ---------------------------------------------------------------------------------------------
// Member: who is in the deployment, by UDP
// ---------------------------------------------------------------------------------------------

typedef struct BjMembers BjMembers;

BjStatus bj_members_new (BjDaemon *d, BjMembers **m); // BJ_E_IO when the port is busy
void bj_members_free (BjMembers *m);
void bj_members_tell (BjMembers *m);  // Tells peers at once what changed here; NULL does nothing
void bj_members_leave (BjMembers *m); // Tells peers that this daemon is gone

// ---------------------------------------------------------------------------------------------
// Platform: the object API (plug-in)
// ---------------------------------------------------------------------------------------------

typedef struct BjPlatform BjPlatform;

typedef struct
{
  BjStatus code; // BJ_OK, BJ_E_NOT_FOUND, BJ_E_EXISTS, BJ_E_CONFLICT, BJ_E_GONE, BJ_E_PLATFORM
  BjStr version; // opaque resourceVersion
  struct json_object *spec; // borrowed, NULL on failure
} BjPlatformReply;

typedef void (*BjPlatformDone) (void *data, const BjPlatformReply *r);

typedef struct
{
  BjPlatform *(*create) (struct ev_loop *loop, BjHttp *http, BjStr url);
  void (*destroy) (BjPlatform *p);
  void (*get) (BjPlatform *p,
               const char *name,
               BjPlatformDone done,
               void *data); // name is "kind/name"
  void (*put) (BjPlatform *p,
               const char *name,
               struct json_object *spec,
               BjStr version,
               BjPlatformDone done,
               void *data); // Empty version creates
  void (*watch) (BjPlatform *p,
                 const char *name,
                 BjStr version,
                 BjPlatformDone done,
                 void *data); // Replies when newer; BJ_E_NOT_FOUND when it waited without change,
                              // with a version to go on from if there is one. Without a version it
                              // replies at once, where configurations are not filed by tickets
  void (*forget) (BjPlatform *p,
                  void *data); // Drops the open calls of data; a write may still take effect
  const char *config_name;     // of the object with the operator's configuration
  BjStatus (*read_config) (
      struct json_object *spec,
      GString *text); // Of that object, into the product's form; NULL when tickets are filed
} BjPlatformOps;

struct BjPlatform
{
  const BjPlatformOps *ops;
};

// ---------------------------------------------------------------------------------------------
// Ask: calls to an HTTP object store that answers in JSON, for plug-ins of the platform
// ---------------------------------------------------------------------------------------------

typedef struct BjAsks BjAsks;

typedef struct
{
  const char *method;
  const char *path; // behind the store's URL
  const char *name; // of the object, copied, for read
  BjStr body;       // copied
  double timeout_ms;
  void (*read) (struct json_object *o,
                const char *name,
                BjPlatformReply *r); // Fills r from a whole answer, NULL when it is no JSON
  BjPlatformDone done;
  void *data;
} BjAskOptions;

BjAsks *bj_asks_new (BjHttp *http, BjStr url);
void bj_asks_free (BjAsks *a); // Drops the open calls
void bj_asks_start (BjAsks *a, const BjAskOptions *o);
void bj_asks_forget (BjAsks *a, void *data); // Drops the open calls of data

// ---------------------------------------------------------------------------------------------
// Filer: makes the calls of one filing at the platform
// ---------------------------------------------------------------------------------------------

typedef struct BjFiler BjFiler;
typedef void (*BjFilerDone) (void *data, const BjFiling *f);

BjFiler *bj_filer_new (struct ev_loop *loop,
                       BjPlatform *p,
                       BjFiling *f,
                       BjFilerDone done,
                       void *data); // Takes f over; done is called later, never at once
void bj_filer_free (BjFiler *f);    // NULL does nothing; may be called within done

// ---------------------------------------------------------------------------------------------
// Reader: brings the configuration in force from the platform and from peers
// ---------------------------------------------------------------------------------------------

typedef struct BjReader BjReader;

BjReader *bj_reader_new (BjDaemon *d);
void bj_reader_free (BjReader *r);
void bj_reader_peer_has (BjReader *r, BjPeer *p); // A report showed a larger number

// ---------------------------------------------------------------------------------------------
// Shard: a bounded table of claims with a low watermark
// ---------------------------------------------------------------------------------------------

typedef enum
{
  BJ_CLAIM_HELD,    // may be running at its claimant
  BJ_CLAIM_DONE,    // it ran
  BJ_CLAIM_UNKNOWN, // it may have run, the claimant knows no more
} BjClaimState;

typedef struct
{
  BjStr id;          // of the action, key and service
  uint64_t order;    // time of the key in ms, or number of a home-bound id; the lowest goes first
  BjStr claimant;    // daemon and incarnation, "name/incarnation"
  uint64_t sequence; // of the attempt, unique at its claimant
  uint64_t fingerprint; // of the request
  BjClaimState state;
  bool has_answer; // what follows is recorded
  int http_status;
  BjStr content_type;
  BjStr headers; // to relay
  BjStr body;
  GSequenceIter *at; // the shard's
} BjClaim;

typedef struct
{
  GHashTable *claims;  // BjStr* in BjClaim to BjClaim*
  GSequence *by_order; // BjClaim*, lowest order first
  uint64_t watermark;  // orders at or below it are forgotten unless they are in the table
  size_t body_bytes;   // of recorded answers
  int claims_max;
  size_t body_bytes_max;
} BjShard;

BjShard *bj_shard_new (int claims_max, size_t body_bytes_max);
void bj_shard_free (BjShard *s);
const BjClaim *bj_shard_find (const BjShard *s, BjStr id);      // NULL when absent
bool bj_shard_has_forgotten (const BjShard *s, uint64_t order); // An absent id may have run
void bj_shard_insert (BjShard *s, const BjClaim *c);            // Copies; the lowest orders go
bool bj_shard_remove (BjShard *s, const BjClaim *c);            // Same id, claimant, sequence
bool bj_shard_record (BjShard *s, const BjClaim *c);            // Outcome of the same attempt
struct json_object *bj_shard_print (const BjShard *s);          // Spec of the store's object
BjStatus bj_shard_parse (BjShard *s,
                         struct json_object *spec); // Replaces all but a higher watermark; NULL is
                                                    // an empty object; BJ_E_FORMAT
void bj_claim_copy (BjClaim *to, const BjClaim *from); // Deep copy; frees what was there
void bj_claim_clear (BjClaim *c);                      // Frees the strings
BjStatus bj_key_time (BjStr key, uint64_t *ms);        // Time in a UUID of version 7; BJ_E_KEY

// ---------------------------------------------------------------------------------------------
// Claims: irreversible work at most once, by conditional updates of the store. Does no I/O
// ---------------------------------------------------------------------------------------------

typedef struct BjClaims BjClaims;
typedef struct BjClaimHost BjClaimHost;

typedef struct
{
  BjStatus code;        // BJ_OK, BJ_E_DUPLICATE, BJ_E_KEY, BJ_E_PLATFORM
  const BjClaim *claim; // that stands in the way, NULL when it is forgotten
  double retry_after_ms;
} BjClaimResult;

typedef struct
{
  void (*get) (BjClaimHost *h, int shard); // Then bj_claims_got, never at once
  void (*put) (BjClaimHost *h,
               int shard,
               BjStr version,
               struct json_object *spec); // Then bj_claims_put, never at once; empty creates
  void (*decided) (BjClaimHost *h, void *data, const BjClaimResult *r); // BJ_OK: may run once
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
  int claims_max;        // of one shard
  size_t body_bytes_max; // of the recorded answers in one shard
} BjClaimsOptions;

#define BJ_CLAIMS_OPTIONS_DEFAULT                                                                  \
  {                                                                                                \
    .first_sequence = 1, .shards = BJ_CLAIM_SHARDS, .claims_max = BJ_CLAIM_SHARD_MAX,              \
    .body_bytes_max = BJ_CLAIM_SHARD_BODY_BYTES                                                    \
  }

BjClaims *bj_claims_new (const BjClaimsOptions *o);
void bj_claims_free (BjClaims *c);
uint64_t bj_claims_sequence (BjClaims *c); // A fresh one for the next attempt
void bj_claims_ask (BjClaims *c,
                    BjTime now,
                    const BjClaim *claim,
                    void *data); // Id, order, sequence, fingerprint; decided is called once
void bj_claims_drop (BjClaims *c, uint64_t sequence); // The asker is gone; decided is not called
void bj_claims_release (BjClaims *c, BjTime now, const BjClaim *claim); // Held, and not run
void bj_claims_record (BjClaims *c, BjTime now, const BjClaim *claim);  // Held, outcome and answer
void bj_claims_got (BjClaims *c, BjTime now, int shard, const BjPlatformReply *r);
void bj_claims_put (BjClaims *c, BjTime now, int shard, const BjPlatformReply *r);
void bj_claims_tick (BjClaims *c, BjTime now); // Tries again what the store refused
int bj_claims_unwritten (const BjClaims *c);   // Requests that wait for the store

// ---------------------------------------------------------------------------------------------
// Actions: home-bound action ids, which only the daemon that minted them runs, from memory
// ---------------------------------------------------------------------------------------------

typedef struct BjActions BjActions;

BjActions *bj_actions_new (BjStr name, uint64_t incarnation);
void bj_actions_free (BjActions *a);
void bj_actions_mint (BjActions *a, GString *id); // Appends a fresh id
bool bj_actions_is_home_bound (BjStr key);        // Written like an id minted by some daemon
void bj_actions_claim (BjActions *a,
                       BjStr key,
                       BjClaim *claim,
                       BjClaimResult *r); // Sets claim->order; BJ_E_HOME, BJ_E_KEY, BJ_E_DUPLICATE
BjShard *bj_actions_table (BjActions *a); // Where outcomes are recorded

// ---------------------------------------------------------------------------------------------
// Outcome: ties calls of irreversible work to their claims
// ---------------------------------------------------------------------------------------------

typedef struct BjOutcomes BjOutcomes;
typedef struct BjOutcomeCall BjOutcomeCall;

BjOutcomes *bj_outcomes_new (BjDaemon *d);
void bj_outcomes_free (BjOutcomes *o);
void bj_outcomes_claim (BjOutcomes *o, BjExchange *x); // Then bj_kernel_claimed, perhaps at once
void bj_outcomes_begin (BjExchange *x, const BjAnswer *a); // Head of the upstream's answer
void bj_outcomes_data (BjExchange *x, BjStr part);         // Its body
void bj_outcomes_end (BjExchange *x, bool whole);          // Records that it ran
void bj_outcomes_freed (BjExchange *x); // Records, releases or drops what was not ended
void bj_outcomes_tick (BjOutcomes *o);
int bj_outcomes_unwritten (const BjOutcomes *o);
void bj_outcomes_mint (BjOutcomes *o, GString *id); // A home-bound action id

// ---------------------------------------------------------------------------------------------
// Daemon: what its modules share
// ---------------------------------------------------------------------------------------------

struct BjDaemon
{
  BjHost host; // first: the kernel calls back through it
  struct ev_loop *loop;
  BjSettings settings;
  uint64_t incarnation;
  BjKernel *kernel;
  const BjDialectOps *dialect;
  BjHttp *http; // to the platform
  BjPool *pool; // to the own upstream
  BjLinks *links;
  BjFront *front;
  BjConsole *admin;
  BjConsole *ready; // NULL when the settings name no address
  BjMembers *members;
  struct BjAuth *auth;
  BjPlatform *platform;
  BjReader *reader;
  BjOutcomes *outcomes;
  BjAddress upstream; // of the own upstream, port 0 before it announces
  BjStr upstream_id;  // of its start, empty if it names none
  double upstream_born_ms;
  int64_t upstream_sequence;
  bool upstream_has_left; // it said so
  BjTime announced;
  GPtrArray *lost_runs; // runs whose connections were lost, until a probe tells why
  bool draining;
  bool stopping;
  BjTime stop_by;
  BjTime serve_by; // until when a stopping daemon's upstream takes new work
  BjTime told_by;  // when all have heard that it stops
  bool is_quiesced;
  BjTime flush_by; // while stopping, after the last call ended
  struct BjDaemonWatchers *watchers;
};

void bj_daemon_config (BjDaemon *d, BjStr text); // A peer or the platform sent a configuration
BjExchange *bj_daemon_arrive (BjDaemon *d,
                              const BjRequest *r,
                              BjSink *sink); // From a caller; NULL when already answered
BjExchange *bj_daemon_arrive_peer (BjDaemon *d, const BjRequest *r, BjStr service, BjSink *sink);
BjStatus bj_daemon_announce (BjDaemon *d,
                             const BjAnnouncement *a); // BJ_E_CONFLICT when it is out of date
void bj_daemon_upstream_down (BjDaemon *d); // It refuses connections: no call until it announces
void bj_daemon_drain (BjDaemon *d, bool drain);
void bj_upstream_start (BjDaemon *d, BjExchange *x); // Runs the call on the own upstream
