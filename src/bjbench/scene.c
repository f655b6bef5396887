// Fleet run: arguments, figures and execution counts of the scenarios that use a fleet.

#include "bjbench.h"
#include <argtable2.h>
#include <ev.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define EXIT_USAGE 2
#define CONTROL_TIMEOUT_MS 5000

typedef struct
{
  struct ev_loop *loop;
  GString *text;
  bool is_complete;
} Fetch;

static bool fetch_control (const BenchNode *n, const char *path, GString *text);
static size_t on_fetch_body (void *data, BjStr part);
static void on_fetch_done (void *data, BjStatus s, bool sent);
static void add_counts (const char *text, GHashTable *counts);

bool
fleet_run_open (const char *name, int argc, char **argv, FleetRun *s, int *code)
{
  struct arg_file *fleet = arg_file0 (
      NULL, "fleet", "FILE", "table of nodes, the file that bj-fleet names in BJ_FLEET");
  struct arg_str *policy = arg_str0 (NULL,
                                     "policy",
                                     "NAME",
                                     "borage or baseline: label of the figures; the ticket of the "
                                     "fleet sets the plug-ins");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed of arrivals and ids (default 1)");
  struct arg_file *json = arg_file0 (NULL, "json", "FILE", "write the figures as one JSON object");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_end *end = arg_end (4);
  void *table[] = { fleet, policy, seed, json, help, end };
  int n_errors = arg_parse (argc, argv, table);
  bool is_ready = false;

  memset (s, 0, sizeof *s);
  *code = EXIT_USAGE;
  if (help->count > 0)
    {
      printf ("Usage: bjbench %s", name);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      *code = 0;
    }
  else if (n_errors > 0)
    arg_print_errors (stderr, end, "bjbench");
  else if (fleet->count == 0)
    fprintf (
        stderr,
        "bjbench: %s needs a running fleet: run tests/bench.sh BUILD %s, which starts one with "
        "bj-fleet and passes --fleet.\n",
        name,
        name);
  else if (!nodes_read (fleet->filename[0], &s->nodes))
    fprintf (stderr, "bjbench: \"%s\" can't be read or lists no nodes.\n", fleet->filename[0]);
  else
    is_ready = true;
  s->policy
      = policy->count > 0 && strcmp (policy->sval[0], "baseline") == 0 ? "baseline" : "borage";
  s->seed = seed->count > 0 ? (uint32_t)seed->ival[0] : 1;
  if (is_ready)
    figures_open (&s->figures, json->count > 0 ? json->filename[0] : NULL);
  arg_freetable (table, G_N_ELEMENTS (table));
  return is_ready;
}

int
fleet_run_close (FleetRun *s)
{
  figures_close (&s->figures);
  return 0;
}

bool
fleet_run_add_executions (const FleetRun *s, const char *selector, GHashTable *counts)
{
  GString *text = g_string_new (NULL);
  bool all_answered = true;

  for (int i = 0; i < s->nodes.n; i++)
    {
      if (!node_matches_selector (&s->nodes.nodes[i], selector))
        continue;
      g_string_truncate (text, 0);
      all_answered
          = fetch_control (&s->nodes.nodes[i], "/control/executions", text) && all_answered;
      add_counts (text->str, counts);
    }
  g_string_free (text, TRUE);
  return all_answered;
}

void
figures_open (Figures *f, const char *path)
{
  f->values = json_object_new_object ();
  f->path = g_strdup (path);
}

void
figures_add (Figures *f, double value, const char *name, ...)
{
  char text[128];
  va_list args;

  va_start (args, name);
  g_vsnprintf (text, sizeof text, name, args);
  va_end (args);
  printf (floor (value) == value ? "%s=%.0f\n" : "%s=%.3f\n", text, value);
  json_object_object_add (f->values, text, json_object_new_double (value));
}

void
figures_close (Figures *f)
{
  if (f->path != NULL)
    json_object_to_file (f->path, f->values);
  json_object_put (f->values);
  g_free ((char *)f->path);
}

static bool
fetch_control (const BenchNode *n, const char *path, GString *text)
{
  Fetch f = { .loop = ev_loop_new (EVFLAG_AUTO), .text = text };
  BjHttp *http = bj_http_new (f.loop);
  char *url = g_strdup_printf ("http://127.0.0.1:%d%s", n->upstream_port, path);

  bj_http_start (http,
                 &(BjHttpOptions){
                     .method = "GET",
                     .url = url,
                     .timeout_ms = CONTROL_TIMEOUT_MS,
                     .body_part = on_fetch_body,
                     .done = on_fetch_done,
                     .data = &f,
                 });
  ev_run (f.loop, 0);
  bj_http_free (http);
  ev_loop_destroy (f.loop);
  g_free (url);
  return f.is_complete;
}

static size_t
on_fetch_body (void *data, BjStr part)
{
  g_string_append_len (((Fetch *)data)->text, part.data, (gssize)part.len);
  return part.len;
}

static void
on_fetch_done (void *data, BjStatus s, bool sent)
{
  Fetch *f = data;

  (void)sent;
  f->is_complete = s == BJ_OK;
  ev_break (f->loop, EVBREAK_ALL);
}

// Reads lines "key executions".
static void
add_counts (const char *text, GHashTable *counts)
{
  char **lines = g_strsplit (text, "\n", -1);

  for (int i = 0; lines[i] != NULL; i++)
    {
      char *space = strrchr (lines[i], ' ');
      int n;

      if (space == NULL)
        continue;
      *space = '\0';
      n = (int)g_ascii_strtoll (space + 1, NULL, 10);
      n += GPOINTER_TO_INT (g_hash_table_lookup (counts, lines[i]));
      g_hash_table_insert (counts, g_strdup (lines[i]), GINT_TO_POINTER (n));
    }
  g_strfreev (lines);
}
