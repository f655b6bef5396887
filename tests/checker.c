// Checker: compares responses, executions and claims, and counts violated guarantees.

#include "checker.h"
#include <string.h>

typedef struct
{
  int executions;
  int n_reported_not_run;
  int n_reported_other;
  int n_reported_done;
  bool is_recorded_done;
} Action;

struct Checker
{
  GHashTable *actions; // idempotency key to Action
  GHashTable *tickets; // daemon name to highest ticket number seen
  int violations[CHECK_RULES];
  GString *lines; // one line per violation
};

static Action *get_action (Checker *c, const char *key);
static void add_violation (Checker *c, CheckRule r, const char *subject, int64_t n);
static bool body_matches_id (const CheckExchange *s);

Checker *
checker_new (void)
{
  Checker *c = g_new0 (Checker, 1);

  c->actions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->tickets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->lines = g_string_new (NULL);
  return c;
}

void
checker_free (Checker *c)
{
  g_hash_table_destroy (c->actions);
  g_hash_table_destroy (c->tickets);
  g_string_free (c->lines, TRUE);
  g_free (c);
}

void
checker_add_response (Checker *c, const CheckExchange *s)
{
  Action *a;

  if (s->is_from_upstream && s->is_complete && s->body.len != s->expected_bytes)
    add_violation (c, CHECK_TRUNCATED_RESPONSE, s->id, (int64_t)s->body.len);
  if (s->is_from_upstream && !body_matches_id (s))
    add_violation (c, CHECK_FOREIGN_RESPONSE, s->id, 0);
  if (s->key == NULL)
    return;
  a = get_action (c, s->key);
  a->n_reported_not_run += s->outcome == BJ_NOT_RUN;
  a->n_reported_other += s->outcome != BJ_NOT_RUN;
  a->n_reported_done += s->outcome == BJ_DONE;
}

void
checker_add_execution (Checker *c, const char *key)
{
  get_action (c, key)->executions++;
}

bool
checker_read_executions (Checker *c, const char *path)
{
  char *text = NULL;
  char **lines;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return false;
  lines = g_strsplit (text, "\n", -1);
  for (int i = 0; lines[i] != NULL; i++)
    {
      char *space = strchr (lines[i], ' ');

      if (space == NULL || lines[i][0] == '-')
        continue;
      *space = '\0';
      checker_add_execution (c, lines[i]);
    }
  g_strfreev (lines);
  g_free (text);
  return true;
}

void
checker_add_ticket (Checker *c, const char *daemon, int64_t number)
{
  int64_t *last = g_hash_table_lookup (c->tickets, daemon);

  if (last == NULL)
    {
      last = g_new0 (int64_t, 1);
      g_hash_table_insert (c->tickets, g_strdup (daemon), last);
    }
  if (number < *last)
    add_violation (c, CHECK_OLDER_TICKET, daemon, number);
  *last = MAX (*last, number);
}

void
checker_add_claims (Checker *c, struct json_object *spec)
{
  BjShard *s = bj_shard_new (BJ_CLAIM_SHARD_CLAIMS_MAX, BJ_CLAIM_SHARD_BODY_BYTES);
  GHashTableIter i;
  gpointer value;

  if (bj_shard_parse (s, spec) != BJ_OK)
    add_violation (c, CHECK_DONE_NOT_EXECUTED, bj_last_message (), 0);
  g_hash_table_iter_init (&i, s->claims);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const BjClaim *claim = value;
      char *key = g_strndup (claim->id.data, strcspn (claim->id.data, "@"));

      if (claim->state == BJ_CLAIM_DONE)
        get_action (c, key)->is_recorded_done = true;
      g_free (key);
    }
  bj_shard_free (s);
}

void
checker_add_executions_after_drain (Checker *c, const char *upstream, int64_t executions)
{
  if (executions > 0)
    add_violation (c, CHECK_NEW_WORK_AFTER_DRAIN, upstream, executions);
}

void
checker_add_aborted_calls (Checker *c, const char *process, int64_t n_aborted)
{
  if (n_aborted > 0)
    add_violation (c, CHECK_CALL_ABORTED, process, n_aborted);
}

int
checker_finish (Checker *c, int *violations, GString *out)
{
  GHashTableIter i;
  gpointer key;
  gpointer value;
  int total = 0;

  g_hash_table_iter_init (&i, c->actions);
  while (g_hash_table_iter_next (&i, &key, &value))
    {
      const Action *a = value;

      if (a->executions > 1)
        add_violation (c, CHECK_EXECUTED_TWICE, key, a->executions);
      if (a->executions > 0 && a->n_reported_not_run > 0 && a->n_reported_other == 0)
        add_violation (c, CHECK_NOT_RUN_EXECUTED, key, a->n_reported_not_run);
      if (a->executions == 0 && (a->n_reported_done > 0 || a->is_recorded_done))
        add_violation (c, CHECK_DONE_NOT_EXECUTED, key, 0);
    }
  for (int r = 0; r < CHECK_RULES; r++)
    total += c->violations[r];
  if (violations != NULL)
    memcpy (violations, c->violations, sizeof c->violations);
  if (out != NULL)
    g_string_append (out, c->lines->str);
  return total;
}

const char *
checker_rule_name (CheckRule r)
{
  static const char *const names[CHECK_RULES] = {
    "executed more than once",
    "reported as not-run but executed",
    "truncated response passed as complete",
    "response to another caller",
    "daemon returned to an older ticket",
    "new work more than 3 s after a drain",
    "call in flight cut at a planned stop",
    "reported or recorded as done but never executed",
  };

  return names[r];
}

static Action *
get_action (Checker *c, const char *key)
{
  Action *a = g_hash_table_lookup (c->actions, key);

  if (a != NULL)
    return a;
  a = g_new0 (Action, 1);
  g_hash_table_insert (c->actions, g_strdup (key), a);
  return a;
}

static void
add_violation (Checker *c, CheckRule r, const char *subject, int64_t n)
{
  c->violations[r]++;
  g_string_append_printf (
      c->lines, "%s: %s, %" G_GINT64_FORMAT "\n", checker_rule_name (r), subject, n);
}

// True if the body repeats the caller's id followed by a space.
static bool
body_matches_id (const CheckExchange *s)
{
  size_t n = strlen (s->id);

  for (size_t i = 0; i < s->body.len; i++)
    if (s->body.data[i] != (i % (n + 1) == n ? ' ' : s->id[i % (n + 1)]))
      return false;
  return true;
}
