// Shared by link.c, outgoing.c and incoming.c: connections between daemons and the calls on them.

#pragma once

#include "internal.h"
#include <ev.h>

typedef struct BjConn BjConn;
typedef struct BjOutgoing BjOutgoing;
typedef struct BjIncoming BjIncoming;

struct BjLinks
{
  BjDaemon *daemon;
  int fd; // listening socket
  ev_io accept;
  ev_timer ping_timer; // pings silent connections and closes idle ones
  GHashTable *conns;   // set of open BjConn*
  GPtrArray *dirty;    // BjConn* with bytes to write
  GPtrArray *closed;   // BjConn* to free at the end of the loop iteration
  BjIncoming *incoming;
  GBytes *config; // copy of the configuration, shared by the connections that send it; NULL if none
  int64_t config_number;
};

struct BjConn
{
  BjLinks *links;
  int fd;
  ev_io read;
  ev_io write;
  bool is_dialled; // opened by this daemon, not accepted
  bool is_connected;
  bool is_dirty; // in links->dirty
  bool is_closing;
  bool is_retired;         // replaced by a newer connection; only responses on it go on
  BjStr peer;              // name, owned; empty on an accepted connection before its HELLO
  uint64_t peer_start;     // of its process, 0 before the peer's HELLO
  BjTime last_received_at; // last bytes from the peer
  BjTime last_ping_at;     // last ping sent
  BjTime told_progress_at; // last time that the peer was told of a frame received in part
  int n_unanswered_pings;  // sent since the last bytes from the peer
  GString *in;             // received bytes that are not a complete frame yet
  msgpack_sbuffer out;     // encoded frames to write
  size_t out_written;      // bytes of out already written
  uint64_t n_queued;       // bytes queued since the connection was opened
  uint64_t n_written;      // bytes written since the connection was opened
  GHashTable *outgoing;    // call id to BjOutgoing, calls sent to the peer
  GHashTable *incoming;    // call id to IncomingCall, calls received from the peer
  GBytes *config;          // configuration being sent to the peer in parts, NULL if none
  int64_t config_number;
  size_t config_sent; // bytes of config in frames so far
};

// Connections
BjConn *bj_conn_get (BjLinks *l, BjPeer *p); // Returns the connection to p, dials if there is none
void bj_conn_send (BjConn *c, const BjFrame *f);                 // Queues a frame
void bj_conn_send_bytes (BjConn *c, const char *data, size_t n); // Queues encoded frames

// Outgoing: calls sent to peers
void bj_outgoing_register_metrics (void);
void
bj_outgoing_start (BjConn *c,
                   BjExchange *x,
                   uint64_t incarnation); // Sends x's call; incarnation: the peer's current one
bool bj_outgoing_handle (BjConn *c,
                         const BjFrame *f); // ANSWER, DATA, END; false when no open call matches
void bj_outgoing_handle_disconnect (
    BjConn *c,
    BjStatus s); // Resends or fails the calls of a closed connection; s: why it was closed
void bj_outgoing_reroute (BjConn *c); // Reroutes unanswered calls that may be executed again

// Incoming: calls received from peers
BjIncoming *bj_incoming_new (BjDaemon *d);
void bj_incoming_free (BjIncoming *in);
void bj_incoming_handle_call (BjConn *c, const BjFrame *f);
void bj_incoming_handle_cancel (BjConn *c, const BjFrame *f);
void bj_incoming_handle_window (BjConn *c, const BjFrame *f);
bool bj_incoming_has_unkept (const BjConn *c); // Some response can't be sent again
void bj_incoming_handle_disconnect (BjIncoming *in, GHashTable *calls); // Keeps them for a resend
void bj_incoming_tick (BjIncoming *in,
                       BjTime now); // Cancels calls not resent in time, removes idle senders
