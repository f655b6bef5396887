// Callers: threads that keep sending irreversible work to a fleet and tell the checker what came
// back.

#pragma once

#include "checker.h"
#include "fleet.h"

#define CALLERS 8
#define SENDS_MAX 4     // of one action
#define ANSWER_BYTES 64 // of a whole answer
#define BACK_MAX_MS 300 // longest time a caller waits before it comes back

typedef struct
{
  char key[64];
  char id[32];
  int sends;
  int done; // times told done
} Action;

typedef struct
{
  Fleet *fleet;
  int index;
  int64_t n;
  bool is_home_bound;
} Caller;

typedef struct
{
  GMutex lock;      // of what follows
  Checker *checker; // NULL records nothing
  int n_done;
  int n_not_run;
  int n_unknown;
} CallerRecord;

extern CallerRecord callers_record;

void callers_make_key (char *key, size_t size); // A UUID of version 7, unique in this process
void callers_make_key_at (char *key, size_t size, double wall_ms); // Of that time
bool callers_mint (Fleet *f, int member, char *key, size_t size);  // A home-bound id
BjOutcome callers_send (
    Fleet *f, Action *a, int member, const char *path_prefix, int *status, double *retry_ms);
void callers_begin (Fleet *f, GThread **threads, Caller *callers, bool is_home_bound);
void callers_end (GThread **threads);
bool callers_are_served (void *fleet); // Every daemon serves one action
