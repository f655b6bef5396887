// Account: client accounts of a configuration, found by key or by name. No I/O; does not know the
// kernel. Messages name an account and the place of a fault, never a key.

#include "account.h"
#include "internal.h"
#include <string.h>
#include <xxhash.h>

#define NAME_MAX_BYTES 128
#define KEY_MAX_BYTES 4096
#define ACCOUNTS_MAX 65536
#define LOGGED_MAX 16 // broken accounts of one configuration that are logged by name

typedef struct
{
  BjStr value; // owned
  int account; // index
} Key;

struct BjAccounts
{
  GArray *all;         // BjAccount
  GPtrArray *keys;     // Key*
  GHashTable *by_key;  // BjStr* in Key to Key*
  GHashTable *by_name; // uint64_t* hash in BjAccount to the index of the account plus 1
};

static BjStatus read_account (const char *name,
                              struct json_object *o,
                              const GPtrArray *classes,
                              const BjAccounts *all,
                              BjAccount *a);
static BjStatus check_name (const char *name);
static BjStatus check_keys (const char *path, struct json_object *o, const BjAccounts *all);
static BjStatus
read_class (const char *path, struct json_object *o, const GPtrArray *classes, int *klass);
static void add_account (BjAccounts *all, const BjAccount *a, struct json_object *keys);
static void index_names (BjAccounts *all);
static void free_key (gpointer key);
static guint hash_key (gconstpointer key);
static gboolean is_same_key (gconstpointer a, gconstpointer b);

const BjJsonKey bj_account_keys[BJ_ACCOUNT_KEYS] = {
  { "number", BJ_JSON_INT, false, 1, 9007199254740991.0 },
  { "keys", BJ_JSON_ARRAY, true, 0, 1024 },
  { "class", BJ_JSON_STR, false, 1, 64 },
  { "rate_per_s", BJ_JSON_NUMBER, false, 0, BJ_RATE_MAX },
  { "burst", BJ_JSON_NUMBER, false, 0, BJ_RATE_MAX },
};

// Differs in each process, so that response times of a daemon tell nothing about the keys of others
// that share a hash.
static uint64_t hash_seed;

BjStatus
bj_accounts_check_type (struct json_object *o)
{
  struct json_object *members;

  if (!json_object_is_type (o, json_type_object)
      || !json_object_object_get_ex (o, "accounts", &members)
      || json_object_is_type (members, json_type_object))
    return BJ_OK;
  return bj_fail (BJ_E_TICKET, "accounts: must be an object.");
}

BjStatus
bj_accounts_parse (struct json_object *o,
                   const GPtrArray *classes,
                   bool is_in_force,
                   int *n_left_out,
                   BjAccounts **accounts)
{
  struct json_object *members;
  BjAccounts *all;
  int n_broken = 0;

  *accounts = NULL;
  if (!json_object_object_get_ex (o, "accounts", &members))
    return BJ_OK;
  if (bj_accounts_check_type (o) != BJ_OK)
    return BJ_E_TICKET;
  if (json_object_object_length (members) == 0)
    return BJ_OK;
  if (json_object_object_length (members) > ACCOUNTS_MAX)
    return bj_fail (BJ_E_TICKET, "accounts: at most %d are allowed.", ACCOUNTS_MAX);
  if (hash_seed == 0)
    hash_seed = ((uint64_t)g_random_int () << 32 | g_random_int ()) | 1;
  all = g_new0 (BjAccounts, 1);
  all->all = g_array_sized_new (
      FALSE, FALSE, sizeof (BjAccount), (guint)json_object_object_length (members));
  all->keys = g_ptr_array_new_with_free_func (free_key);
  all->by_key = g_hash_table_new (hash_key, is_same_key);
  all->by_name = g_hash_table_new (g_int64_hash, g_int64_equal);
  json_object_object_foreach (members, name, value)
  {
    BjAccount a = { 0 };
    BjStatus s = read_account (name, value, classes, all, &a);

    if (s == BJ_OK)
      add_account (all, &a, json_object_object_get (value, "keys"));
    else if (!is_in_force)
      {
        bj_accounts_free (all);
        return s;
      }
    else if (n_broken++ < LOGGED_MAX)
      bj_log (BJ_LOG_WARNING, "ACCOUNT", "an account is left out: %s", bj_last_message ());
  }
  *n_left_out += n_broken;
  index_names (all);
  *accounts = all;
  return BJ_OK;
}

void
bj_accounts_hide_keys (struct json_object *o)
{
  struct json_object *members;

  if (!json_object_is_type (o, json_type_object)
      || !json_object_object_get_ex (o, "accounts", &members))
    return;
  if (!json_object_is_type (members, json_type_object))
    {
      json_object_object_add (o, "accounts", NULL);
      return;
    }
  json_object_object_foreach (members, name, value)
  {
    struct json_object *keys;
    int n = 0;

    if (!json_object_is_type (value, json_type_object))
      {
        // Setting the value of a key that exists does not move the entries of the object.
        json_object_object_add (members, name, NULL);
        continue;
      }
    if (!json_object_object_get_ex (value, "keys", &keys))
      continue;
    if (json_object_is_type (keys, json_type_array))
      n = (int)json_object_array_length (keys);
    json_object_object_add (value, "keys", json_object_new_int (n));
  }
}

void
bj_accounts_free (BjAccounts *a)
{
  if (a == NULL)
    return;
  g_hash_table_destroy (a->by_name);
  g_hash_table_destroy (a->by_key);
  g_ptr_array_free (a->keys, TRUE);
  for (guint i = 0; i < a->all->len; i++)
    bj_str_free (&g_array_index (a->all, BjAccount, i).name);
  g_array_free (a->all, TRUE);
  g_free (a);
}

int
bj_accounts_count (const BjAccounts *a)
{
  return a != NULL ? (int)a->all->len : 0;
}

const BjAccount *
bj_accounts_at (const BjAccounts *a, int i)
{
  return &g_array_index (a->all, BjAccount, i);
}

const BjAccount *
bj_accounts_find (const BjAccounts *a, BjStr name)
{
  uint64_t hash = bj_str_hash (name);
  int i = a != NULL ? GPOINTER_TO_INT (g_hash_table_lookup (a->by_name, &hash)) : 0;

  if (i == 0 || !bj_str_equal (bj_accounts_at (a, i - 1)->name, name))
    return NULL;
  return bj_accounts_at (a, i - 1);
}

const BjAccount *
bj_accounts_find_key (const BjAccounts *a, BjStr key)
{
  const Key *k = a != NULL && key.len > 0 ? g_hash_table_lookup (a->by_key, &key) : NULL;

  return k != NULL ? bj_accounts_at (a, k->account) : NULL;
}

static BjStatus
read_account (const char *name,
              struct json_object *o,
              const GPtrArray *classes,
              const BjAccounts *all,
              BjAccount *a)
{
  char path[NAME_MAX_BYTES + 16];
  BjStatus s = check_name (name);

  if (s != BJ_OK)
    return s;
  g_snprintf (path, sizeof path, "accounts.%s", name);
  s = check_keys (path, o, all);
  if (s == BJ_OK)
    s = bj_json_check ("ticket", path, o, BJ_E_TICKET, bj_account_keys, BJ_ACCOUNT_KEYS);
  if (s == BJ_OK)
    s = read_class (path, o, classes, &a->klass);
  if (s != BJ_OK)
    return s;
  a->name = bj_str (name);
  a->hash = bj_str_hash (a->name);
  a->rate_per_s = bj_json_number (o, "rate_per_s", 0);
  a->burst = bj_json_number (o, "burst", a->rate_per_s);
  return BJ_OK;
}

// Names appear in headers, log lines and metric labels. They are names of the operator's clients,
// so that more characters are allowed than in names of services.
static BjStatus
check_name (const char *name)
{
  size_t n = strlen (name);
  bool is_valid = n >= 1 && n <= NAME_MAX_BYTES && name[0] != ' ' && name[n - 1] != ' ';

  for (size_t i = 0; i < n && is_valid; i++)
    is_valid = (unsigned char)name[i] >= ' ' && name[i] != 0x7f && strchr ("\"\\", name[i]) == NULL;
  if (is_valid)
    return BJ_OK;
  return bj_fail (BJ_E_TICKET,
                  "accounts: name \"%.64s\" must be 1 to %d bytes without control characters, "
                  "quotes and backslashes, and without a space at its ends.",
                  name,
                  NAME_MAX_BYTES);
}

// Comes before the check of the table of keys, whose messages show a value of a wrong type.
static BjStatus
check_keys (const char *path, struct json_object *o, const BjAccounts *all)
{
  struct json_object *list;

  if (!json_object_is_type (o, json_type_object))
    return bj_fail (BJ_E_TICKET, "%s: must be an object.", path);
  if (!json_object_object_get_ex (o, "keys", &list))
    return bj_fail (BJ_E_TICKET, "%s: key \"keys\" is missing.", path);
  if (!json_object_is_type (list, json_type_array))
    return bj_fail (BJ_E_TICKET, "%s.keys: must be an array.", path);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *v = json_object_array_get_idx (list, i);
      BjStr key;
      const Key *other;

      if (!json_object_is_type (v, json_type_string))
        return bj_fail (BJ_E_TICKET, "%s.keys[%zu]: must be a string.", path, i);
      key = (BjStr){ json_object_get_string (v), (size_t)json_object_get_string_len (v) };
      if (key.len == 0)
        return bj_fail (BJ_E_TICKET, "%s.keys[%zu]: is empty.", path, i);
      if (key.len > KEY_MAX_BYTES)
        return bj_fail (
            BJ_E_TICKET, "%s.keys[%zu]: is longer than %d bytes.", path, i, KEY_MAX_BYTES);
      other = g_hash_table_lookup (all->by_key, &key);
      if (other != NULL)
        return bj_fail (BJ_E_TICKET,
                        "%s.keys[%zu]: account \"%s\" has the same key.",
                        path,
                        i,
                        bj_accounts_at (all, other->account)->name.data);
    }
  return BJ_OK;
}

static BjStatus
read_class (const char *path, struct json_object *o, const GPtrArray *classes, int *klass)
{
  BjStr name = bj_json_str (o, "class");

  *klass = -1;
  if (name.len == 0)
    return BJ_OK;
  for (guint i = 0; i < classes->len && *klass < 0; i++)
    if (bj_str_equal (name, bj_str (classes->pdata[i])))
      *klass = (int)i;
  if (*klass >= 0)
    return BJ_OK;
  return bj_fail (
      BJ_E_TICKET, "%s: class \"%.*s\" is not among the priorities.", path, BJ_STR_ARG (name));
}

static void
add_account (BjAccounts *all, const BjAccount *a, struct json_object *keys)
{
  BjAccount copy = *a;

  copy.name = bj_str_dup (a->name);
  for (size_t i = 0; i < json_object_array_length (keys); i++)
    {
      struct json_object *v = json_object_array_get_idx (keys, i);
      Key *k = g_new (Key, 1);

      *k = (Key){ bj_str_dup ((BjStr){ json_object_get_string (v),
                                       (size_t)json_object_get_string_len (v) }),
                  (int)all->all->len };
      g_ptr_array_add (all->keys, k);
      copy.n_keys += g_hash_table_insert (all->by_key, &k->value, k);
    }
  g_array_append_val (all->all, copy);
}

static void
index_names (BjAccounts *all)
{
  for (guint i = 0; i < all->all->len; i++)
    g_hash_table_insert (
        all->by_name, &g_array_index (all->all, BjAccount, i).hash, GINT_TO_POINTER ((int)i + 1));
}

static void
free_key (gpointer key)
{
  bj_str_free (&((Key *)key)->value);
  g_free (key);
}

static guint
hash_key (gconstpointer key)
{
  const BjStr *s = key;

  return (guint)XXH64 (s->data, s->len, hash_seed);
}

// The time depends on the lengths only, so that it does not tell how many bytes of a guess are
// right.
static gboolean
is_same_key (gconstpointer a, gconstpointer b)
{
  const BjStr *x = a;
  const BjStr *y = b;
  volatile unsigned char difference = 0;

  if (x->len != y->len)
    return FALSE;
  for (size_t i = 0; i < x->len; i++)
    difference = difference | (unsigned char)(x->data[i] ^ y->data[i]);
  return difference == 0;
}
