// Home-bound action ids. An id names the daemon and the incarnation that minted it. Only that
// process runs the action, and it records in memory which actions ran, so no store is needed.

#include "internal.h"
#include <string.h>

#define ID_PREFIX "home:"
#define ID_SEPARATOR ':'

struct BjActions
{
  BjStr name; // owned
  uint64_t incarnation;
  uint64_t last_number; // in the id minted last, 0 before the first
  BjShard *table;
};

static bool cut_number (BjStr *text, uint64_t *number);

static BjCounter n_minted
    = { "actions_minted_total", "Home-bound action ids minted by this daemon.", 0 };

BjActions *
bj_actions_new (BjStr name, uint64_t incarnation)
{
  BjActions *a = g_new0 (BjActions, 1);

  a->name = bj_str_dup (name);
  a->incarnation = incarnation;
  a->table = bj_shard_new (BJ_HOME_ACTIONS_MAX, BJ_HOME_ACTIONS_BODY_BYTES);
  bj_metric_register (&n_minted);
  return a;
}

void
bj_actions_free (BjActions *a)
{
  bj_shard_free (a->table);
  bj_str_free (&a->name);
  g_free (a);
}

void
bj_actions_mint (BjActions *a, GString *id)
{
  n_minted.value++;
  g_string_append_printf (id,
                          ID_PREFIX "%.*s:%" G_GUINT64_FORMAT ":%" G_GUINT64_FORMAT,
                          BJ_STR_ARG (a->name),
                          a->incarnation,
                          ++a->last_number);
}

bool
bj_actions_is_home_bound (BjStr key)
{
  return bj_str_starts (key, BJ_STR (ID_PREFIX));
}

void
bj_actions_claim (BjActions *a, BjStr key, BjClaim *claim, BjClaimResult *r)
{
  BjStr name = { key.data + strlen (ID_PREFIX), key.len - strlen (ID_PREFIX) };
  uint64_t number = 0;
  uint64_t incarnation = 0;
  bool is_valid = cut_number (&name, &number) && cut_number (&name, &incarnation);

  *r = (BjClaimResult){ .code = BJ_E_HOME };
  claim->order = number;
  if (!is_valid || name.len == 0)
    r->code = BJ_E_KEY;
  if (r->code != BJ_E_HOME || incarnation != a->incarnation || !bj_str_equal (name, a->name))
    return;
  r->claim = bj_shard_find (a->table, claim->id);
  if (number == 0 || number > a->last_number)
    r->code = BJ_E_KEY;
  else if (r->claim != NULL && r->claim->fingerprint != claim->fingerprint)
    r->code = BJ_E_KEY;
  else if (r->claim != NULL || bj_shard_is_below_watermark (a->table, number))
    r->code = BJ_E_DUPLICATE;
  else
    {
      r->code = BJ_OK;
      bj_shard_insert (a->table, claim);
    }
}

BjShard *
bj_actions_table (BjActions *a)
{
  return a->table;
}

// Removes the last number and its separator from text; false if there is none.
static bool
cut_number (BjStr *text, uint64_t *number)
{
  const char *at = text->len > 0 ? memrchr (text->data, ID_SEPARATOR, text->len) : NULL;
  int64_t value;
  BjStr digits;

  if (at == NULL)
    return false;
  digits = (BjStr){ at + 1, text->len - (size_t)(at + 1 - text->data) };
  if (!bj_str_int (digits, &value) || value < 0)
    return false;
  *number = (uint64_t)value;
  text->len = (size_t)(at - text->data);
  return true;
}
