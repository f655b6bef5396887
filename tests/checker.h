// Checker: compares the responses that callers received with the executions at the upstreams and
// the claims in the store, and reports violated guarantees.

#pragma once

#include "internal.h"

typedef enum
{
  CHECK_EXECUTED_TWICE,       // an irreversible action was executed more than once
  CHECK_NOT_RUN_EXECUTED,     // all responses of an action were not-run, but it was executed
  CHECK_TRUNCATED_RESPONSE,   // a truncated response ended like a complete one
  CHECK_FOREIGN_RESPONSE,     // a caller received the response to another caller
  CHECK_OLDER_TICKET,         // a daemon returned to an older ticket
  CHECK_NEW_WORK_AFTER_DRAIN, // new requests more than 3 s after the upstream's drain was announced
  CHECK_CALL_ABORTED,         // a planned stop interrupted a call in flight
  CHECK_DONE_NOT_EXECUTED,    // an action reported or recorded as done was never executed
  CHECK_RULES,
} CheckRule;

typedef struct Checker Checker;

typedef struct
{
  const char *key; // idempotency key of the action, NULL for reversible requests
  const char *id;  // text that the upstream was asked to repeat in the response body
  BjOutcome outcome;
  bool is_from_upstream; // an upstream gave the response, for this request or for an earlier one
  bool is_complete;      // the response ended without a connection error
  size_t expected_bytes; // body size of a complete response
  BjStr body;
} CheckExchange; // one request and its response

Checker *checker_new (void);
void checker_free (Checker *c);
void checker_add_response (Checker *c, const CheckExchange *s);
void checker_add_execution (Checker *c, const char *key); // Adds one execution at an upstream

// Adds the executions in a file of the upstreams, one line "key id" each; skips lines with key "-"
// (no idempotency key). False if unreadable.
bool checker_read_executions (Checker *c, const char *path);

// Adds the number of the ticket in force at a daemon.
void checker_add_ticket (Checker *c, const char *daemon, int64_t number);

// Adds one shard of claims; a malformed shard counts as CHECK_DONE_NOT_EXECUTED.
void checker_add_claims (Checker *c, struct json_object *spec);

// Adds the number of executions begun more than 3 s after the drain was announced.
void checker_add_executions_after_drain (Checker *c, const char *upstream, int64_t executions);

// Adds the number of calls that a planned stop of the process interrupted.
void checker_add_aborted_calls (Checker *c, const char *process, int64_t n_aborted);

// Returns the number of violations, writes their number per rule to violations and appends one line
// per violation to out; both may be NULL.
int checker_finish (Checker *c, int *violations, GString *out);
const char *checker_rule_name (CheckRule r);
