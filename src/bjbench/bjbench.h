// What the parts of bjbench share.

#pragma once

#include "internal.h"

#define BENCH_CLASSES_MAX 8
#define BENCH_TARGETS_MAX 256

typedef struct
{
  const char *name;
  const char *path; // "?id=" or "&id=" is appended
  char **parts;     // that name and path point into, NULL when they are literals
  double share;     // of the arrivals, in any unit
  bool has_key;     // sends an Idempotency-Key, fresh for each action
} LoadClass;

typedef struct
{
  uint64_t sent;    // requests, resends included
  uint64_t actions; // fresh ones
  uint64_t whole;   // answers of an upstream, whole and the caller's own
  uint64_t not_run;
  uint64_t unknown;
  uint64_t wrong;  // not the caller's own, or short but not visibly broken
  uint64_t broken; // visibly short, or no answer at all
  BjHist latency;  // of whole answers
} LoadStats;

typedef struct
{
  char *targets[BENCH_TARGETS_MAX]; // "IP:PORT", taken in turn
  int n_targets;
  const LoadClass *classes;
  int n_classes;
  double rate; // actions a second, Poisson
  double duration_ms;
  uint32_t seed;
  int resends;            // of a caller that was told not-run, after the time to come back
  const char *executions; // file that gets one line a keyed action: key, outcome; NULL for none
} LoadOptions;

void load_run (const LoadOptions *o,
               LoadStats *stats); // stats: one a class; runs to the last answer
void load_print (const LoadOptions *o, const LoadStats *stats); // name=value lines

typedef struct
{
  const char *name;
  const char *help;
  int (*run) (int argc, char **argv); // of the scenario's own arguments
} Scenario;

int scenario_load (int argc, char **argv);
int scenario_overhead (int argc, char **argv);
int scenario_overload (int argc, char **argv);
int scenario_recovery (int argc, char **argv);
