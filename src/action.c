// Action: home-bound action ids. An id names the daemon and the incarnation that minted it; only
// that process runs it, and it remembers in its own memory what ran. Needs no store.

#include "internal.h"
#include <string.h>

#define PREFIX "home:"
#define SEPARATOR ':'

struct BjActions
{
  BjStr name; // owned
  uint64_t incarnation;
  uint64_t last; // number minted
  BjShard *table;
};

static bool take_number (BjStr *text, uint64_t *number);

static BjCounter n_minted = { "actions_minted_total", "Home-bound action ids minted.", 0 };

BjActions *
bj_actions_new (BjStr name, uint64_t incarnation)
{
  BjActions *a = g_new0 (BjActions, 1);

  a->name = bj_str_dup (name);
  a->incarnation = incarnation;
  a->table = bj_shard_new (BJ_ACTIONS_MAX, BJ_ACTIONS_BODY_BYTES);
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
                          PREFIX "%.*s:%" G_GUINT64_FORMAT ":%" G_GUINT64_FORMAT,
                          BJ_STR_ARG (a->name),
                          a->incarnation,
                          ++a->last);
}

bool
bj_actions_is_home_bound (BjStr key)
{
  return bj_str_starts (key, BJ_STR (PREFIX));
}

void
bj_actions_claim (BjActions *a, BjStr key, BjClaim *claim, BjClaimResult *r)
{
  BjStr name = { key.data + strlen (PREFIX), key.len - strlen (PREFIX) };
  uint64_t number = 0;
  uint64_t incarnation = 0;
  bool sound = take_number (&name, &number) && take_number (&name, &incarnation);

  *r = (BjClaimResult){ .code = BJ_E_HOME };
  claim->order = number;
  if (!sound || name.len == 0)
    r->code = BJ_E_KEY;
  if (r->code != BJ_E_HOME || incarnation != a->incarnation || !bj_str_equal (name, a->name))
    return;
  r->claim = bj_shard_find (a->table, claim->id);
  if (number == 0 || number > a->last)
    r->code = BJ_E_KEY;
  else if (r->claim != NULL && r->claim->fingerprint != claim->fingerprint)
    r->code = BJ_E_KEY;
  else if (r->claim != NULL || bj_shard_has_forgotten (a->table, number))
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

// Cuts the last number and its separator off.
static bool
take_number (BjStr *text, uint64_t *number)
{
  const char *at = text->len > 0 ? memrchr (text->data, SEPARATOR, text->len) : NULL;
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
