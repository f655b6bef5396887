// Server: HTTP/1.1 connections from callers. Each request has a handle; responses may be passed in
// any order and are written in the order of the requests.

#pragma once

#include "internal.h"
#include "pipeline.h"

typedef struct BjServer BjServer;
typedef BjPipelineRequest BjServerRequest;

typedef struct
{
  int refuse_status; // HTTP status that refuses the request, 0 to serve it
  bool runs_alone;   // never concurrently with another request of its connection
} BjServerVerdict;

typedef struct
{
  BjServerVerdict (*head) (
      void *data,
      const BjHead *h); // A complete head arrived, the body did not yet; called
                        // again before the request begins if it had to wait
  void (*refused) (void *data,
                   BjServerRequest *r,
                   const BjHead *h,
                   int status); // Answers a request that head refused; closes the connection if a
                                // body follows
  void (*request) (void *data,
                   BjServerRequest *r,
                   const BjHead *h,
                   BjStr body);      // A complete request begins
  void (*disconnected) (void *call); // The response can no longer be sent
  void (*drained) (void *call,
                   size_t n); // n bytes of the response body were written; with 0, the room for the
                              // response may have changed
} BjServerOps;

BjStatus bj_server_new (struct ev_loop *loop,
                        const char *name, // of the setting, for messages
                        BjAddress a,
                        const BjServerOps *ops,
                        void *data,
                        BjServer **s); // BJ_E_IO if the port is in use
void bj_server_free (BjServer *s);
void bj_server_set_limits (BjServer *s, const BjCallerLimits *l); // Applies from now on
void bj_server_set_pipelined_max (BjServer *s, int n); // Open requests of a connection, at least 1
void bj_server_set_conns_max (BjServer *s,
                              int n); // Sets the connection limit; at the limit, a new connection
                                      // replaces the one idle longest
void bj_server_disable_keep_alive (
    BjServer *s); // Closes each connection after the requests read on it, or after its next one
void bj_server_stop_accepting (
    BjServer *s); // Stops accepting connections, a little later; idle ones are then closed
void bj_server_refuse_new (BjServer *s); // Requests that have not begun are refused with 503
bool bj_server_is_accepting (const BjServer *s); // False once the listening socket is closed
int bj_server_busy_conns (
    const BjServer *s); // Connections with a request, or a response that is not acknowledged
int bj_server_open_requests (const BjServer *s); // Number of requests without a complete response
void bj_server_flush (BjServer *s); // Writes the data queued in this event loop iteration
void bj_server_set_call (BjServerRequest *r, void *call); // Argument of disconnected and drained
void bj_server_begin (BjServerRequest *r,
                      int status,
                      BjStr lines,                // "Name: value" lines, each terminated by CR LF
                      int64_t length);            // -1 for chunked encoding
size_t bj_server_room (const BjServerRequest *r); // Body bytes that the response may add now
void bj_server_data (BjServerRequest *r, BjStr part);
void bj_server_end (BjServerRequest *r,
                    bool is_complete); // Resets the connection if not complete, once the responses
                                       // before it are written
