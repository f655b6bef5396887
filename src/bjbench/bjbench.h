// Declarations shared by the files of bjbench.

#pragma once

#include "internal.h"

#define BENCH_CLASSES_MAX 8
#define BENCH_TARGETS_MAX 256
#define BENCH_NODES_MAX 256
#define BENCH_NAME_MAX 64
#define BENCH_BIN_MS 250 // actions are counted in the bin in which they start
#define BENCH_BINS_MAX 120
#define BENCH_SAMPLES_MAX 120

// ---------------------------------------------------------------------------------------------
// Nodes: the daemons and upstreams that bj-fleet started
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
  int daemon_pid;
  int upstream_pid;
} BenchNode;

typedef struct
{
  int n;
  BenchNode nodes[BENCH_NODES_MAX];
} BenchNodes;

bool nodes_read (const char *path,
                 BenchNodes *n); // path: file written by bj-fleet; false if it lists none
bool node_matches_selector (const BenchNode *n,
                            const char *selector); // selector: a name, domain or service

// ---------------------------------------------------------------------------------------------
// Load: open-loop arrivals, timed events, counts per class and bin
// ---------------------------------------------------------------------------------------------

typedef struct
{
  const char *name;
  const char *path;   // "?id=" or "&id=" is appended
  char **parts;       // strings that name and path point into, NULL when they are literals
  double share;       // weight of this class among the arrivals
  bool has_key;       // sends an Idempotency-Key, a new one for each action
  const char *domain; // domain whose front daemons get its requests, NULL for LoadOptions.targets
} LoadClass;

typedef struct
{
  double at_ms;         // after the start of the load
  const char *selector; // nodes concerned, fronts excepted: a name, domain or service
  const char *control;  // stand-in upstream setting to change, NULL to kill their processes
  int64_t value;
} LoadEvent;

typedef struct
{
  uint64_t requests; // resends included
  uint64_t actions;  // resends not included
  uint64_t whole;    // complete responses of an upstream to this action
  uint64_t not_run;  // responses which say that the action has not run
  uint64_t unknown;  // other responses: the action may have run
  uint64_t wrong;    // responses of an upstream whose body is not that of this action
  uint64_t broken;   // transport errors: no response, or a truncated one
  BjHist latency;    // of complete responses, in ms
} LoadStats;

typedef struct
{
  char *targets[BENCH_TARGETS_MAX]; // "IP:PORT", used round-robin
  int n_targets;
  const LoadClass *classes;
  int n_classes;
  double rate; // mean actions/s of Poisson arrivals
  double duration_ms;
  uint32_t seed;
  int resends; // most resends of an action answered not-run, each after its retry-after time
  const char *outcomes_path; // gets a line "key outcome" for each keyed action, NULL for none
  const BenchNodes *nodes;   // NULL when no fleet was started
  const LoadEvent *events;   // sorted by at_ms
  int n_events;
  double sample_ms; // interval of sampling the upstreams' execution counts, 0 for none
} LoadOptions;

typedef struct
{
  LoadStats bins[BENCH_CLASSES_MAX][BENCH_BINS_MAX];
  GHashTable *outcomes;                                   // keyed actions: key to BjOutcome + 1
  int64_t executions[BENCH_NODES_MAX][BENCH_SAMPLES_MAX]; // cumulative, by upstream and sample
  int n_samples;
} LoadTrace;

LoadTrace *load_trace_new (void);
void load_trace_free (LoadTrace *t); // NULL does nothing
void load_trace_sum (const LoadTrace *t,
                     int klass,
                     double from_ms,
                     double to_ms,
                     LoadStats *sum); // Adds up the bins that begin in the span

void load_run (
    const LoadOptions *o,
    LoadStats *stats,
    LoadTrace *trace); // Returns after the last response; stats: one per class; trace may be NULL
void load_stats_add (LoadStats *into, const LoadStats *from);
void load_print_stats (const LoadOptions *o, const LoadStats *stats); // Prints name=value lines

// ---------------------------------------------------------------------------------------------
// Figures: results of a scenario, printed and written as JSON
// ---------------------------------------------------------------------------------------------

typedef struct
{
  struct json_object *values; // figure names to values
  const char *path;           // of the JSON file, NULL for none
} Figures;

void figures_open (Figures *f, const char *path);
void figures_add (Figures *f, double value, const char *name, ...)
    G_GNUC_PRINTF (3, 4);        // Prints "name=value" and keeps it for the file
void figures_close (Figures *f); // Writes the JSON file

// ---------------------------------------------------------------------------------------------
// Scenarios
// ---------------------------------------------------------------------------------------------

typedef struct
{
  const char *policy; // label of the figures, "borage" or "baseline"
  uint32_t seed;
  BenchNodes nodes;
  Figures figures;
} FleetRun;

bool fleet_run_open (
    const char *name,
    int argc,
    char **argv,
    FleetRun *s,
    int *code); // Reads the common arguments; false with an exit code when nothing is to run
int fleet_run_close (FleetRun *s); // Writes the figures, returns the exit code
bool fleet_run_add_executions (const FleetRun *s,
                               const char *selector,
                               GHashTable *counts); // counts: key to executions, summed over the
                                                    // nodes; false if a node did not respond

typedef struct
{
  const char *name;
  const char *help;
  int (*run) (int argc, char **argv); // argv[0] is the scenario's name
} Scenario;

#define PLOT_LINES_MAX 4
#define PLOT_BINS_MAX 200

typedef struct
{
  char title[64];
  const char *line_names[PLOT_LINES_MAX];
  int n_lines;
  int n_bins;
  double bin_ms;
  double axis_max; // upper end of the y axis, 0 for the highest value in the row of panels
  double values[PLOT_BINS_MAX][PLOT_LINES_MAX];
} PlotPanel;

bool plot_write (const char *path,
                 const char *title,
                 const PlotPanel *panels,
                 int columns,
                 int rows); // panels: row by row; false when the file can't be written

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
