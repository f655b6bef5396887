// Checker: reads what callers were told, what upstreams ran and what the store holds.

#include "checker.h"
#include <string.h>

typedef struct
{
  int runs;
  int told_not_run;
  int told_other;
  int told_done;
  bool is_recorded_done;
} Action;

struct Checker
{
  GHashTable *actions; // key to Action
  GHashTable *tickets; // daemon to number
  int breaches[CHECK_RULES];
  GString *lines;
};

static Action *action_of (Checker *c, const char *key);
static void breach (Checker *c, CheckRule r, const char *what, int64_t n);
static bool is_own (const CheckSend *s);

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
checker_told (Checker *c, const CheckSend *s)
{
  Action *a;

  if (s->is_answer && s->is_complete && s->body.len != s->wanted)
    breach (c, CHECK_PART, s->id, (int64_t)s->body.len);
  if (s->is_answer && !is_own (s))
    breach (c, CHECK_FOREIGN, s->id, 0);
  if (s->key == NULL)
    return;
  a = action_of (c, s->key);
  a->told_not_run += s->outcome == BJ_NOT_RUN;
  a->told_other += s->outcome != BJ_NOT_RUN;
  a->told_done += s->outcome == BJ_DONE;
}

void
checker_ran (Checker *c, const char *key)
{
  action_of (c, key)->runs++;
}

bool
checker_runs (Checker *c, const char *path)
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
      checker_ran (c, lines[i]);
    }
  g_strfreev (lines);
  g_free (text);
  return true;
}

void
checker_ticket (Checker *c, const char *daemon, int64_t number)
{
  int64_t *last = g_hash_table_lookup (c->tickets, daemon);

  if (last == NULL)
    {
      last = g_new0 (int64_t, 1);
      g_hash_table_insert (c->tickets, g_strdup (daemon), last);
    }
  if (number < *last)
    breach (c, CHECK_BACK, daemon, number);
  *last = MAX (*last, number);
}

void
checker_store (Checker *c, struct json_object *spec)
{
  BjShard *s = bj_shard_new (BJ_CLAIM_SHARD_MAX, BJ_CLAIM_SHARD_BODY_BYTES);
  GHashTableIter i;
  gpointer value;

  if (bj_shard_parse (s, spec) != BJ_OK)
    breach (c, CHECK_NEVER_RAN, bj_last_message (), 0);
  g_hash_table_iter_init (&i, s->claims);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const BjClaim *claim = value;
      char *key = g_strndup (claim->id.data, strcspn (claim->id.data, "@"));

      if (claim->state == BJ_CLAIM_DONE)
        action_of (c, key)->is_recorded_done = true;
      g_free (key);
    }
  bj_shard_free (s);
}

void
checker_after_drain (Checker *c, const char *upstream, int64_t runs)
{
  if (runs > 0)
    breach (c, CHECK_NEW_WORK, upstream, runs);
}

void
checker_stop (Checker *c, const char *process, int64_t cut)
{
  if (cut > 0)
    breach (c, CHECK_CUT, process, cut);
}

int
checker_finish (Checker *c, int *breaches, GString *out)
{
  GHashTableIter i;
  gpointer key;
  gpointer value;
  int total = 0;

  g_hash_table_iter_init (&i, c->actions);
  while (g_hash_table_iter_next (&i, &key, &value))
    {
      const Action *a = value;

      if (a->runs > 1)
        breach (c, CHECK_TWICE, key, a->runs);
      if (a->runs > 0 && a->told_not_run > 0 && a->told_other == 0)
        breach (c, CHECK_NOT_RUN, key, a->told_not_run);
      if (a->runs == 0 && (a->told_done > 0 || a->is_recorded_done))
        breach (c, CHECK_NEVER_RAN, key, 0);
    }
  for (int r = 0; r < CHECK_RULES; r++)
    total += c->breaches[r];
  if (breaches != NULL)
    memcpy (breaches, c->breaches, sizeof c->breaches);
  if (out != NULL)
    g_string_append (out, c->lines->str);
  return total;
}

const char *
checker_rule_name (CheckRule r)
{
  static const char *const names[CHECK_RULES] = {
    "ran twice",
    "told not-run, and it ran",
    "part of an answer",
    "another caller's answer",
    "went back to an older ticket",
    "new work after a drain",
    "cut at a planned stop",
    "done, and it never ran",
  };

  return names[r];
}

static Action *
action_of (Checker *c, const char *key)
{
  Action *a = g_hash_table_lookup (c->actions, key);

  if (a != NULL)
    return a;
  a = g_new0 (Action, 1);
  g_hash_table_insert (c->actions, g_strdup (key), a);
  return a;
}

static void
breach (Checker *c, CheckRule r, const char *what, int64_t n)
{
  c->breaches[r]++;
  g_string_append_printf (
      c->lines, "%s: %s, %" G_GINT64_FORMAT "\n", checker_rule_name (r), what, n);
}

// The answer repeats the caller's id and a space.
static bool
is_own (const CheckSend *s)
{
  size_t n = strlen (s->id);

  for (size_t i = 0; i < s->body.len; i++)
    if (s->body.data[i] != (i % (n + 1) == n ? ' ' : s->id[i % (n + 1)]))
      return false;
  return true;
}
