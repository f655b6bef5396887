// Callers: threads that send irreversible requests to a fleet in a loop and report each response to
// the checker.

#pragma once

#include "checker.h"
#include "fleet.h"

#define CALLERS 8
#define SENDS_MAX 4             // requests per action, resends included
#define ANSWER_BYTES 64         // body size of a complete response
#define RESEND_DELAY_MAX_MS 300 // longest delay before a caller resends a request

typedef struct
{
  char key[64]; // idempotency key
  char id[32];  // repeated in the body of the response
  int n_sent;   // requests sent
  int done;     // responses with the outcome done
} Action;

typedef struct
{
  Fleet *fleet;
  int index;
  int64_t n;          // actions begun
  bool is_home_bound; // uses action ids minted by one daemon and sends only to that daemon
} Caller;

typedef struct
{
  GMutex lock;            // protects the fields below
  Checker *checker;       // NULL if responses are not checked
  bool keeps_connections; // callers use a connection until the daemon closes it
  int n_done;             // responses by outcome
  int n_not_run;
  int n_unknown;
} CallerRecord;

extern CallerRecord callers_record;

void callers_make_key (char *key, size_t size); // UUID version 7, unique in this process
void callers_make_key_at (char *key, size_t size, double wall_ms); // The same with a given time

// Requests a home-bound action id from a daemon; false if it was refused.
bool callers_mint_action_id (Fleet *f, int member, char *key, size_t size);

// Sends one request of the action and reports the response to the checker. *status is the HTTP
// status, 0 without a complete response; *retry_ms is the retry-after time, -1 if absent.
BjOutcome callers_send (
    Fleet *f, Action *a, int member, const char *path_prefix, int *status, double *retry_ms);
void callers_start (Fleet *f, GThread **threads, Caller *callers, bool is_home_bound);
void callers_stop (GThread **threads);
bool callers_are_served (void *fleet); // True if every daemon of the Fleet serves an action
