// What the parts of bjbench share.

#pragma once

#include "internal.h"

#define BENCH_CLASSES_MAX 8
#define BENCH_TARGETS_MAX 256
#define BENCH_NODES_MAX 256
#define BENCH_NAME_MAX 64
#define BENCH_BIN_MS 250 // actions are counted by the bin in which they began
#define BENCH_BINS_MAX 120
#define BENCH_SAMPLES_MAX 120

// ---------------------------------------------------------------------------------------------
// Nodes: the fleet that bj-fleet started beside this program
// ---------------------------------------------------------------------------------------------

typedef struct
{
  char name[BENCH_NAME_MAX];
  char domain[BENCH_NAME_MAX];
  char region[BENCH_NAME_MAX];
  char service[BENCH_NAME_MAX];
  int front_port;
  int admin_port;
  int link_port;
  int gossip_port;
  int upstream_port;
  int daemon;   // process id
  int upstream; // process id
} BenchNode;

typedef struct
{
  int n;
  BenchNode nodes[BENCH_NODES_MAX];
} BenchNodes;

bool nodes_read (const char *path, BenchNodes *n);        // The file that BJ_FLEET names
bool node_matches (const BenchNode *n, const char *what); // what is its name, domain or service

// ---------------------------------------------------------------------------------------------
// Load: open-loop arrivals, events at set times, counts by class and bin
// ---------------------------------------------------------------------------------------------

typedef struct
{
  const char *name;
  const char *path;   // "?id=" or "&id=" is appended
  char **parts;       // that name and path point into, NULL when they are literals
  double share;       // of the arrivals, in any unit
  bool has_key;       // sends an Idempotency-Key, fresh for each action
  const char *domain; // whose daemons take its calls, NULL for the targets of the options
} LoadClass;

typedef struct
{
  double at_ms;        // after the start of the load
  const char *what;    // nodes by name, domain or service
  const char *control; // of their stand-in upstreams, NULL to end their processes
  int64_t value;
} LoadEvent;

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
  int resends;             // of a caller that was told not-run, after the time to come back
  const char *executions;  // file that gets one line a keyed action: key, outcome; NULL for none
  const BenchNodes *nodes; // NULL without a fleet
  const LoadEvent *events; // by time
  int n_events;
  double sample_ms; // between two samples of the upstreams' counts, 0 for none
} LoadOptions;

typedef struct
{
  LoadStats bins[BENCH_CLASSES_MAX][BENCH_BINS_MAX];
  GHashTable *outcomes;                             // key to BjOutcome + 1, of keyed actions
  int64_t runs[BENCH_NODES_MAX][BENCH_SAMPLES_MAX]; // executions of an upstream so far
  int n_samples;
} LoadTrace;

LoadTrace *load_trace_new (void);
void load_trace_free (LoadTrace *t); // NULL does nothing
void load_trace_sum (const LoadTrace *t,
                     int klass,
                     double from_ms,
                     double to_ms,
                     LoadStats *sum); // Of the bins that begin in the span

void load_run (const LoadOptions *o,
               LoadStats *stats,
               LoadTrace *trace); // stats: one a class; trace may be NULL; runs to the last answer
void load_stats_add (LoadStats *into, const LoadStats *from);
void load_print (const LoadOptions *o, const LoadStats *stats); // name=value lines

// ---------------------------------------------------------------------------------------------
// Figures: what a scenario prints
// ---------------------------------------------------------------------------------------------

typedef struct
{
  struct json_object *all;
  const char *path; // JSON file, NULL for none
} Figures;

void figures_open (Figures *f, const char *path);
void figure (Figures *f, double value, const char *name, ...)
    G_GNUC_PRINTF (3, 4);        // Prints "name=value"
void figures_close (Figures *f); // Writes the file

// ---------------------------------------------------------------------------------------------
// Scenarios
// ---------------------------------------------------------------------------------------------

typedef struct
{
  const char *policy; // "borage" or "baseline", names the figures' source only
  uint32_t seed;
  BenchNodes nodes;
  Figures figures;
} Scene;

bool scene_open (const char *name,
                 int argc,
                 char **argv,
                 Scene *s,
                 int *code); // Common arguments; false with the exit code when nothing is to run
int scene_close (Scene *s);  // Writes the figures, returns the exit code
bool scene_executions (const Scene *s,
                       const char *what,
                       GHashTable *counts); // Adds key to executions over the nodes

typedef struct
{
  const char *name;
  const char *help;
  int (*run) (int argc, char **argv); // of the scenario's own arguments
} Scenario;

#define PLOT_LINES_MAX 4
#define PLOT_BINS_MAX 200

typedef struct
{
  char title[64];
  const char *lines[PLOT_LINES_MAX]; // their names
  int n_lines;
  int n_bins;
  double bin_ms;
  double top; // of the axis, 0 for the highest value
  double values[PLOT_BINS_MAX][PLOT_LINES_MAX];
} PlotPanel;

bool plot_write (const char *path,
                 const char *title,
                 const PlotPanel *panels,
                 int columns,
                 int rows); // By row; false when it can't be written

int scenario_load (int argc, char **argv);
int scenario_overhead (int argc, char **argv);
int scenario_decisions (int argc, char **argv);
int scenario_overload (int argc, char **argv);
int scenario_recovery (int argc, char **argv);
int scenario_domain_loss (int argc, char **argv);
int scenario_cold_start (int argc, char **argv);
int scenario_lying_load (int argc, char **argv);
int scenario_deep_chain (int argc, char **argv);
int scenario_claims (int argc, char **argv);
