// Checker: reads what callers were told, what upstreams ran and what the store holds, and tells
// which promises were broken.

#pragma once

#include "internal.h"

typedef enum
{
  CHECK_TWICE,     // an irreversible action ran more than once
  CHECK_NOT_RUN,   // told not-run, and it ran
  CHECK_PART,      // an answer that is not whole passed for whole
  CHECK_FOREIGN,   // another caller's answer
  CHECK_BACK,      // a daemon went back to an older ticket
  CHECK_NEW_WORK,  // new work more than 3 s after an announced drain
  CHECK_CUT,       // a call in flight cut at a planned stop
  CHECK_NEVER_RAN, // told or recorded as done, and it never ran
  CHECK_RULES,
} CheckRule;

typedef struct Checker Checker;

typedef struct
{
  const char *key; // of the action, NULL for reversible work
  const char *id;  // that the caller's own answer repeats
  BjOutcome outcome;
  bool is_answer;   // of an upstream, fresh or recorded
  bool is_complete; // the connection ended cleanly
  size_t wanted;    // bytes of a whole answer
  BjStr body;
} CheckSend;

Checker *checker_new (void);
void checker_free (Checker *c);
void checker_told (Checker *c, const CheckSend *s); // One request and what came back
void checker_ran (Checker *c, const char *key);     // One run on an upstream
bool checker_runs (
    Checker *c,
    const char *path); // The upstreams' record, a line "key id" a run; false when unreadable
void checker_ticket (Checker *c, const char *daemon, int64_t number);      // In force there now
void checker_store (Checker *c, struct json_object *spec);                 // One shard of claims
void checker_after_drain (Checker *c, const char *upstream, int64_t runs); // Begun after 3 s
void checker_stop (Checker *c, const char *process, int64_t cut);          // Calls cut at a stop
int checker_finish (Checker *c, int *breaches, GString *out); // Total; by rule, and a line each
const char *checker_rule_name (CheckRule r);
