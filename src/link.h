// What the modules of the links between daemons share: connections, calls sent and calls received.

#pragma once

#include "internal.h"
#include <ev.h>

typedef struct BjConn BjConn;
typedef struct BjOutgoing BjOutgoing;
typedef struct BjIncoming BjIncoming;

struct BjLinks
{
  BjDaemon *daemon;
  int fd;
  ev_io accept;
  ev_timer probe;    // pings silent connections and closes idle ones
  GHashTable *conns; // set of BjConn*
  GPtrArray *dirty;  // BjConn* with bytes to write
  GPtrArray *dead;   // closed BjConn*, freed at the end of the turn
  BjIncoming *incoming;
};

struct BjConn
{
  BjLinks *links;
  int fd;
  ev_io read;
  ev_io write;
  bool is_dialled;
  bool is_connected;
  bool is_dirty;
  bool is_closing;
  BjStr peer;                // name, owned
  uint64_t peer_incarnation; // 0 before its HELLO came
  BjTime heard;              // last bytes from the peer
  BjTime pinged;             // 0 when no ping is unanswered
  int n_pings;               // unanswered
  GString *in;
  msgpack_sbuffer out;
  size_t out_at;        // written from out
  uint64_t n_queued;    // bytes ever queued
  uint64_t n_written;   // bytes ever written
  GHashTable *outgoing; // call id to BjOutgoing, calls sent here
  GHashTable *incoming; // call id to a call received here
};

// Connections
BjConn *bj_conn_to (BjLinks *l, BjPeer *p);                      // The open one or a new one
void bj_conn_send (BjConn *c, const BjFrame *f);                 // Queues a frame
void bj_conn_send_bytes (BjConn *c, const char *data, size_t n); // Queues encoded frames

// Outgoing: calls sent to peers
void bj_outgoing_start (BjConn *c,
                        BjExchange *x,
                        uint64_t incarnation); // Sends the call to the peer of that incarnation
bool bj_outgoing_handle (BjConn *c,
                         const BjFrame *f); // ANSWER, DATA, END; false when no open call matches
void bj_outgoing_lost (BjLinks *l,
                       BjStr peer,
                       GHashTable *calls,
                       uint64_t n_written,
                       BjStatus s); // The connection failed: sends the calls again or loses them
bool bj_outgoing_waits (const BjConn *c); // A call is open there
void bj_outgoing_move (BjConn *c); // Sends elsewhere what is not answered and may be repeated

// Incoming: calls received from peers
BjIncoming *bj_incoming_new (BjDaemon *d);
void bj_incoming_free (BjIncoming *in);
void bj_incoming_call (BjConn *c, const BjFrame *f);
void bj_incoming_cancel (BjConn *c, const BjFrame *f);
void bj_incoming_window (BjConn *c, const BjFrame *f);
void bj_incoming_orphan (BjIncoming *in, GHashTable *calls); // Their connection failed
void bj_incoming_tick (BjIncoming *in, BjTime now); // Gives up on orphans, forgets old calls
