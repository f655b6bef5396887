// Pipeline: order of the responses on one connection of a caller, which may send further requests
// before earlier ones are answered. Responses are passed in as they arrive; the bytes to write come
// out in the order of the requests. No I/O; does not know the server.

#pragma once

#include "boragejunction.h"

typedef struct BjPipeline BjPipeline;
typedef struct BjPipelineRequest BjPipelineRequest;

typedef struct
{
  void (*drained) (void *call, size_t n); // n bytes of the response body were written; with 0, the
                                          // room for the response may have changed
  void (*cancelled) (void *call);         // The request is not answered any more
} BjPipelineOps;

// Limits of every connection of one server, which may change while connections are open
typedef struct
{
  int requests_max;   // begun and not completely answered; 1: one after the other
  size_t room_bytes;  // unwritten bytes at which the response that is being written is paused
  size_t waiting_max; // bytes of responses that wait for an earlier one
  bool is_stopping;   // no request begins behind another one; the response to the last request that
                      // was read closes
} BjPipelineLimits;

typedef struct
{
  bool runs_alone; // never concurrently with another request of the connection
  bool keep_alive; // the connection stays open after the response
  bool no_body;    // response to HEAD
  bool is_chunked; // the caller accepts chunked transfer encoding
} BjPipelineOptions;

struct BjPipelineRequest
{
  BjPipeline *pipeline;
  BjPipelineRequest *next; // next one of the connection
  void *call;              // argument of the ops, NULL when no response is due
  GString *waiting;        // begun response of which nothing is in pipeline->out, NULL for none
  size_t head_bytes;       // of waiting, without the Connection line and the empty line
  size_t unwritten;        // its bytes in pipeline->out
  size_t unreported;       // body bytes not yet reported by ops->drained
  BjPipelineOptions options;
  bool is_behind;   // it began while earlier requests were open
  bool is_complete; // the whole response was passed in
  bool is_broken;   // the response broke off
  bool closes;      // its response ends the connection
  bool is_cut;      // no longer in the pipeline
};

struct BjPipeline
{
  const BjPipelineOps *ops;
  const BjPipelineLimits *limits;
  void *data; // of the owner
  BjPipelineRequest *first;
  BjPipelineRequest *last;
  BjPipelineRequest *current; // the first one whose response is not completely in out
  GString *out;               // bytes to write
  size_t out_written;         // bytes of out already written
  size_t interim;             // unwritten bytes at the start of out that belong to no request
  size_t n_waiting;           // bytes of all waiting responses
  int n_open;                 // requests whose response is not completely written
  bool is_more_read;          // set by the owner: a further request, or a part of it, was read
  bool is_last_begun;         // no further request begins
  bool is_ended;              // the response that ends the connection is completely written
};

void bj_pipeline_init (BjPipeline *p,
                       const BjPipelineOps *ops,
                       const BjPipelineLimits *limits, // must outlive p
                       void *data);
void bj_pipeline_clear (BjPipeline *p); // Cancels the open requests and frees the strings

bool bj_pipeline_may_begin (const BjPipeline *p, bool runs_alone); // A request may begin now
BjPipelineRequest *bj_pipeline_begin (BjPipeline *p,
                                      const BjPipelineOptions *o); // Begins a request; freed by p

// The following three may be called from ops, also for a request that is no longer in a pipeline
// but whose call was not cancelled yet.
void bj_pipeline_head (BjPipelineRequest *r,
                       int status,
                       BjStr lines,     // "Name: value" lines, each terminated by CR LF
                       int64_t length); // -1 if unknown
void bj_pipeline_data (BjPipelineRequest *r, BjStr part);
void bj_pipeline_end (BjPipelineRequest *r, bool is_complete); // No further calls of ops for it

size_t bj_pipeline_room (const BjPipelineRequest *r);  // Bytes that the response may add now
void bj_pipeline_interim (BjPipeline *p, BjStr bytes); // Interim response; only without requests

// The following are not called from ops.
BjStr bj_pipeline_pending (BjPipeline *p); // Bytes to write next; empty for none. Cancels requests
                                           // behind a response that closes or broke off
void bj_pipeline_written (BjPipeline *p, size_t n); // n of these were written
size_t bj_pipeline_unsent (const BjPipeline *p);    // Bytes to write, or to drop behind a break
bool bj_pipeline_is_broken (const BjPipeline *p); // The earliest response broke off and all before
                                                  // it are written: reset the connection
