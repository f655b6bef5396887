// Scenarios "load" and "overhead": load set on the command line, and the latency that two daemons
// add.

#include "bjbench.h"
#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define EXIT_USAGE 2
#define ROUNDS 10 // each measures calls straight to the upstream, then through the daemons

static double get_cpu_seconds (int pid);
static void add_targets (LoadOptions *o, const char *text);
static bool parse_class (const char *text, LoadClass *c);

int
scenario_load (int argc, char **argv)
{
  struct arg_str *target
      = arg_strn (NULL, "target", "IP:PORT[,...]", 1, 16, "front addresses of daemons");
  struct arg_str *klass = arg_strn (
      NULL, "class", "NAME:PATH:SHARE[:key]", 1, BENCH_CLASSES_MAX, "a class of actions");
  struct arg_dbl *rate = arg_dbl0 (NULL, "rate", "N", "actions per second (default 100)");
  struct arg_dbl *seconds = arg_dbl0 (NULL, "seconds", "S", "duration (default 5, at most 600)");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed of arrivals and ids (default 1)");
  struct arg_int *resends
      = arg_int0 (NULL, "resends", "N", "most resends of an action answered not-run (default 0)");
  struct arg_file *outcomes
      = arg_file0 (NULL, "keys", "FILE", "write a line for each keyed action: key, outcome");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_end *end = arg_end (4);
  void *table[] = { target, klass, rate, seconds, seed, resends, outcomes, help, end };
  LoadClass classes[BENCH_CLASSES_MAX];
  LoadStats stats[BENCH_CLASSES_MAX];
  LoadOptions o = { .classes = classes, .rate = 100, .duration_ms = 5000, .seed = 1 };
  int n_errors = arg_parse (argc, argv, table);

  if (help->count > 0)
    {
      printf ("Usage: bjbench load");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-32s %s\n");
      return 0;
    }
  for (int i = 0; i < klass->count; i++)
    n_errors += !parse_class (klass->sval[i], &classes[o.n_classes++]);
  if (n_errors > 0)
    {
      arg_print_errors (stderr, end, "bjbench load");
      return EXIT_USAGE;
    }
  for (int i = 0; i < target->count; i++)
    add_targets (&o, target->sval[i]);
  if (rate->count > 0)
    o.rate = CLAMP (rate->dval[0], 0.1, 1e6);
  if (seconds->count > 0)
    o.duration_ms = CLAMP (seconds->dval[0], 0.01, 600) * 1000;
  if (seed->count > 0)
    o.seed = (uint32_t)seed->ival[0];
  if (resends->count > 0)
    o.resends = CLAMP (resends->ival[0], 0, 1000);
  o.outcomes_path = outcomes->count > 0 ? outcomes->filename[0] : NULL;
  memset (stats, 0, sizeof stats);
  load_run (&o, stats, NULL);
  load_print_stats (&o, stats);
  for (int i = 0; i < o.n_targets; i++)
    g_free (o.targets[i]);
  for (int i = 0; i < o.n_classes; i++)
    g_strfreev (classes[i].parts);
  arg_freetable (table, G_N_ELEMENTS (table));
  return 0;
}

int
scenario_overhead (int argc, char **argv)
{
  struct arg_str *target
      = arg_str1 (NULL, "target", "IP:PORT", "front address of a daemon that forwards the call");
  struct arg_str *straight
      = arg_str1 (NULL, "straight", "IP:PORT", "address of the upstream itself");
  struct arg_str *path = arg_str1 (NULL, "path", "PATH", "path that the upstream answers");
  struct arg_int *pids
      = arg_intn (NULL, "pid", "N", 0, 8, "process ids of the daemons, to measure their CPU time");
  struct arg_dbl *rate = arg_dbl0 (NULL, "rate", "N", "calls per second (default 1000)");
  struct arg_dbl *seconds = arg_dbl0 (NULL, "seconds", "S", "duration of each side (default 10)");
  struct arg_end *end = arg_end (4);
  void *table[] = { target, straight, path, pids, rate, seconds, end };
  LoadClass c = { .name = "call", .share = 1 };
  LoadStats sides[2]; // straight, through the daemons
  LoadOptions o = { .classes = &c, .n_classes = 1, .n_targets = 1 };
  double added[2]; // p50, p99 in ms
  double cpu_s = 0;

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "bjbench overhead");
      return EXIT_USAGE;
    }
  c.path = path->sval[0];
  o.rate = rate->count > 0 ? rate->dval[0] : 1000;
  o.duration_ms = (seconds->count > 0 ? seconds->dval[0] : 10) * 1000 / ROUNDS;
  memset (sides, 0, sizeof sides);
  for (int i = 0; i < pids->count; i++)
    cpu_s -= get_cpu_seconds (pids->ival[i]);
  for (int i = 0; i < 2 * ROUNDS; i++)
    {
      o.targets[0] = (char *)(i % 2 == 0 ? straight->sval[0] : target->sval[0]);
      o.seed = (uint32_t)(i / 2 + 1);
      load_run (&o, &sides[i % 2], NULL);
    }
  added[0] = bj_hist_quantile (&sides[1].latency, 0.5) - bj_hist_quantile (&sides[0].latency, 0.5);
  added[1]
      = bj_hist_quantile (&sides[1].latency, 0.99) - bj_hist_quantile (&sides[0].latency, 0.99);
  printf ("straight_p50_ms=%.3f\nstraight_p99_ms=%.3f\n",
          bj_hist_quantile (&sides[0].latency, 0.5),
          bj_hist_quantile (&sides[0].latency, 0.99));
  printf ("through_p50_ms=%.3f\nthrough_p99_ms=%.3f\n",
          bj_hist_quantile (&sides[1].latency, 0.5),
          bj_hist_quantile (&sides[1].latency, 0.99));
  printf ("straight_whole=%" G_GUINT64_FORMAT "\nthrough_whole=%" G_GUINT64_FORMAT "\n",
          sides[0].whole,
          sides[1].whole);
  printf ("added_p50_ms=%.3f\nadded_p99_ms=%.3f\n", added[0], added[1]);
  for (int i = 0; i < pids->count; i++)
    cpu_s += get_cpu_seconds (pids->ival[i]);
  if (cpu_s > 0)
    printf ("calls_per_core_s=%.0f\n", (double)sides[1].whole / cpu_s);
  arg_freetable (table, G_N_ELEMENTS (table));
  return 0;
}

// Returns the CPU time of a process so far, user and system; 0 if it can't be read.
static double
get_cpu_seconds (int pid)
{
  char *path = g_strdup_printf ("/proc/%d/stat", pid);
  char *text = NULL;
  char **fields;
  double ticks = 0;

  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      // The process name in parentheses may contain spaces; the fields after it do not.
      fields = g_strsplit (strrchr (text, ')') + 2, " ", -1);
      ticks = g_ascii_strtod (fields[11], NULL) + g_ascii_strtod (fields[12], NULL);
      g_strfreev (fields);
    }
  g_free (text);
  g_free (path);
  return ticks / (double)sysconf (_SC_CLK_TCK);
}

static void
add_targets (LoadOptions *o, const char *text)
{
  char **parts = g_strsplit (text, ",", -1);

  for (int i = 0; parts[i] != NULL && o->n_targets < BENCH_TARGETS_MAX; i++)
    o->targets[o->n_targets++] = g_strdup (parts[i]);
  g_strfreev (parts);
}

static bool
parse_class (const char *text, LoadClass *c)
{
  char **parts = g_strsplit (text, ":", 4);

  memset (c, 0, sizeof *c);
  if (g_strv_length (parts) < 3)
    {
      fprintf (
          stderr, "bjbench: class \"%s\" does not have the form NAME:PATH:SHARE[:key].\n", text);
      return false;
    }
  c->parts = parts;
  c->name = parts[0];
  c->path = parts[1];
  c->share = g_ascii_strtod (parts[2], NULL);
  c->has_key = parts[3] != NULL && strcmp (parts[3], "key") == 0;
  return true;
}
