// Decides a ticket: merges it into the current configuration or refuses it. The decision depends
// only on the configuration and the ticket, so all daemons and tools decide alike.

#include "account.h"
#include "internal.h"
#include <string.h>

#define REASON_MAX 200 // bytes of the reason of a refusal that are stored in the configuration
#define VALUE_PRINTED_MAX 160 // bytes printed of one value in a difference

static BjStatus check_ticket_keys (struct json_object *o);
static BjStatus read_current_and_ticket (BjStr current,
                                         BjStr ticket,
                                         struct json_object **current_object,
                                         struct json_object **ticket_object);
static BjStatus read_current (BjStr text, struct json_object **o);
static BjStatus check_base (struct json_object *current, struct json_object *ticket);
static BjStatus check_section_base (struct json_object *current,
                                    struct json_object *ticket,
                                    const char *section,
                                    int64_t base);
static void merge_objects (struct json_object *current, struct json_object *ticket, int64_t number);
static void merge_section (struct json_object *into,
                           struct json_object *ticket,
                           const char *section,
                           int64_t number);
static BjStatus print_config (struct json_object *o, GString *out);
static BjStatus
decide_ticket (struct json_object *current, struct json_object *filed, int64_t number);
static void add_decision (struct json_object *o, int64_t number, BjStr writer, BjStatus code);
static void compare_section (struct json_object *current,
                             struct json_object *ticket,
                             const char *section,
                             GString *out);
static void compare_keys (struct json_object *current, struct json_object *ticket, GString *out);
static void compare_item (const char *path,
                          struct json_object *old_value,
                          struct json_object *new_value,
                          GString *out);
static void print_difference (const char *path,
                              struct json_object *old_value,
                              struct json_object *new_value,
                              GString *out);
static void print_value (struct json_object *v, GString *out);

BjStatus
bj_ticket_check (BjStr text, int64_t *number)
{
  struct json_object *o;
  BjStatus s = bj_json_read ("ticket", text, BJ_E_TICKET, &o);

  if (s != BJ_OK)
    return s;
  s = check_ticket_keys (o);
  *number = bj_json_int (o, "number");
  json_object_put (o);
  return s;
}

BjStatus
bj_ticket_merge (BjStr current, BjStr ticket, GString *merged)
{
  struct json_object *c;
  struct json_object *t;
  BjStatus s = read_current_and_ticket (current, ticket, &c, &t);

  if (s == BJ_OK)
    s = check_base (c, t);
  if (s == BJ_OK)
    {
      merge_objects (c, t, bj_json_int (t, "number"));
      s = print_config (c, merged);
    }
  json_object_put (t);
  json_object_put (c);
  return s;
}

BjStatus
bj_ticket_decide (BjStr current, int64_t number, BjStr filed, GString *next)
{
  struct json_object *c;
  struct json_object *f = NULL;
  struct json_object *unchanged = NULL;
  BjStatus code;
  BjStatus s = read_current (current, &c);

  if (s != BJ_OK)
    return s;
  json_object_deep_copy (c, &unchanged, NULL);
  code = bj_json_read ("filed ticket", filed, BJ_E_TICKET, &f);
  if (code == BJ_OK)
    code = decide_ticket (c, f, number);
  if (code == BJ_OK)
    {
      add_decision (c, number, bj_json_str (f, "writer"), BJ_OK);
      code = print_config (c, next);
    }
  if (code != BJ_OK)
    {
      json_object_object_add (unchanged, "number", json_object_new_int64 (number));
      add_decision (unchanged, number, bj_json_str (f, "writer"), code);
      s = print_config (unchanged, next);
    }
  json_object_put (unchanged);
  json_object_put (f);
  json_object_put (c);
  return s;
}

void
bj_ticket_print_difference (BjStr current, BjStr ticket, GString *out)
{
  struct json_object *c;
  struct json_object *t;

  if (read_current_and_ticket (current, ticket, &c, &t) == BJ_OK)
    {
      struct json_object *old_value = json_object_object_get (c, "priorities");
      struct json_object *new_value = json_object_object_get (t, "priorities");

      if (new_value != NULL)
        print_difference ("priorities", old_value, new_value, out);
      compare_section (c, t, "services", out);
      compare_section (c, t, "upstreams", out);
      compare_keys (c, t, out);
      compare_section (c, t, "accounts", out);
    }
  json_object_put (t);
  json_object_put (c);
}

struct json_object *
bj_ticket_find_decision (struct json_object *config, int64_t number)
{
  struct json_object *all = json_object_object_get (config, "decisions");

  for (size_t i = 0; all != NULL && i < json_object_array_length (all); i++)
    {
      struct json_object *d = json_object_array_get_idx (all, i);

      if (bj_json_int (d, "number") == number)
        return d;
    }
  return NULL;
}

static BjStatus
check_ticket_keys (struct json_object *o)
{
  int n;
  const BjJsonTable *t = bj_ticket_tables (&n);
  BjStatus s = bj_accounts_check_type (o);

  return s != BJ_OK ? s : bj_json_check ("ticket", t->path, o, BJ_E_TICKET, t->keys, t->n);
}

static BjStatus
read_current_and_ticket (BjStr current,
                         BjStr ticket,
                         struct json_object **current_object,
                         struct json_object **ticket_object)
{
  int64_t number;
  BjStatus s = bj_ticket_check (ticket, &number);

  *current_object = NULL;
  *ticket_object = NULL;
  if (s == BJ_OK)
    s = bj_json_read ("ticket", ticket, BJ_E_TICKET, ticket_object);
  if (s == BJ_OK)
    s = read_current (current, current_object);
  return s;
}

// Parses the stored configuration after validating it; empty text gives an empty object.
static BjStatus
read_current (BjStr text, struct json_object **o)
{
  BjConfig *c = NULL;
  BjStatus s = text.len > 0 ? bj_config_parse (text, &c) : BJ_OK;

  bj_config_free (c);
  *o = NULL;
  if (s != BJ_OK)
    return s;
  return bj_config_read (text.len > 0 ? text : BJ_STR ("{}"), o);
}

static BjStatus
check_base (struct json_object *current, struct json_object *ticket)
{
  int64_t in_force = bj_json_int (current, "number");
  int64_t number = bj_json_int (ticket, "number");
  int64_t base = bj_json_int (ticket, "base");
  BjStatus s;

  if (number <= in_force)
    return bj_fail (BJ_E_EXISTS,
                    "Ticket %" PRId64 " is not above %" PRId64 ", the last one decided.",
                    number,
                    in_force);
  if (base >= number)
    return bj_fail (BJ_E_BASE,
                    "Base %" PRId64 " must be below the ticket's own number %" PRId64 ".",
                    base,
                    number);
  if (json_object_object_get_ex (ticket, "priorities", NULL)
      && bj_json_int (current, "priorities_number") > base)
    return bj_fail (BJ_E_BASE,
                    "The priorities were changed by ticket %" PRId64 ", after base %" PRId64 ".",
                    bj_json_int (current, "priorities_number"),
                    base);
  s = check_section_base (current, ticket, "services", base);
  if (s == BJ_OK)
    s = check_section_base (current, ticket, "upstreams", base);
  return s == BJ_OK ? check_section_base (current, ticket, "accounts", base) : s;
}

static BjStatus
check_section_base (struct json_object *current,
                    struct json_object *ticket,
                    const char *section,
                    int64_t base)
{
  struct json_object *old_value;
  struct json_object *new_value;

  if (!json_object_object_get_ex (current, section, &old_value)
      || !json_object_object_get_ex (ticket, section, &new_value))
    return BJ_OK;
  json_object_object_foreach (new_value, name, value)
  {
    struct json_object *o;

    (void)value;
    if (json_object_object_get_ex (old_value, name, &o) && bj_json_int (o, "number") > base)
      return bj_fail (BJ_E_BASE,
                      "%s.%s was changed by ticket %" PRId64 ", after base %" PRId64 ".",
                      section,
                      name,
                      bj_json_int (o, "number"),
                      base);
  }
  return BJ_OK;
}

static void
merge_objects (struct json_object *current, struct json_object *ticket, int64_t number)
{
  struct json_object *priorities = json_object_object_get (ticket, "priorities");

  json_object_object_add (current, "number", json_object_new_int64 (number));
  merge_section (current, ticket, "services", number);
  merge_section (current, ticket, "upstreams", number);
  merge_section (current, ticket, "accounts", number);
  if (priorities == NULL)
    return;
  json_object_object_add (current, "priorities", json_object_get (priorities));
  json_object_object_add (current, "priorities_number", json_object_new_int64 (number));
}

static void
merge_section (struct json_object *into,
               struct json_object *ticket,
               const char *section,
               int64_t number)
{
  struct json_object *from;
  struct json_object *to;

  if (!json_object_object_get_ex (ticket, section, &from))
    return;
  if (!json_object_object_get_ex (into, section, &to))
    {
      to = json_object_new_object ();
      json_object_object_add (into, section, to);
    }
  json_object_object_foreach (from, name, value)
  {
    struct json_object *copy = NULL;

    json_object_deep_copy (value, &copy, NULL);
    if (json_object_is_type (copy, json_type_object))
      json_object_object_add (copy, "number", json_object_new_int64 (number));
    json_object_object_add (to, name, copy);
  }
}

// Prints o to out; fails if o is not a valid configuration.
static BjStatus
print_config (struct json_object *o, GString *out)
{
  BjConfig *result = NULL;
  BjStatus s;

  g_string_assign (out, json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  if (out->len > BJ_TICKET_MAX)
    return bj_fail (BJ_E_TOO_LARGE,
                    "The merged configuration has %zu bytes, config/current holds at most %d.",
                    out->len,
                    BJ_TICKET_MAX);
  s = bj_config_parse ((BjStr){ out->str, out->len }, &result);
  bj_config_free (result);
  return s;
}

static BjStatus
decide_ticket (struct json_object *current, struct json_object *filed, int64_t number)
{
  struct json_object *t = json_object_object_get (filed, "ticket");
  BjStatus s = check_ticket_keys (t);

  if (s != BJ_OK)
    return s;
  if (bj_json_int (t, "number") != number)
    return bj_fail (BJ_E_TICKET,
                    "The ticket's number %" PRId64 " is not that of its object, %" PRId64 ".",
                    bj_json_int (t, "number"),
                    number);
  s = check_base (current, t);
  if (s == BJ_OK)
    merge_objects (current, t, number);
  return s;
}

static void
add_decision (struct json_object *o, int64_t number, BjStr writer, BjStatus code)
{
  struct json_object *all;
  struct json_object *d = json_object_new_object ();
  size_t n;

  if (!json_object_object_get_ex (o, "decisions", &all))
    {
      all = json_object_new_array ();
      json_object_object_add (o, "decisions", all);
    }
  json_object_object_add (d, "number", json_object_new_int64 (number));
  json_object_object_add (
      d, "writer", json_object_new_string_len (writer.len > 0 ? writer.data : "", (int)writer.len));
  json_object_object_add (d, "code", json_object_new_int (code));
  if (code != BJ_OK)
    {
      char *reason = g_strndup (bj_last_message (), REASON_MAX);
      char *valid = g_utf8_make_valid (reason, -1);

      json_object_object_add (d, "reason", json_object_new_string (valid));
      g_free (valid);
      g_free (reason);
    }
  json_object_array_add (all, d);
  n = json_object_array_length (all);
  if (n > BJ_DECISIONS_MAX)
    json_object_array_del_idx (all, 0, n - BJ_DECISIONS_MAX);
}

static void
compare_section (struct json_object *current,
                 struct json_object *ticket,
                 const char *section,
                 GString *out)
{
  struct json_object *old_value = json_object_object_get (current, section);
  struct json_object *new_value = json_object_object_get (ticket, section);

  if (new_value == NULL)
    return;
  json_object_object_foreach (new_value, name, value)
  {
    char path[128];

    g_snprintf (path, sizeof path, "%s.%.64s", section, name);
    compare_item (path, json_object_object_get (old_value, name), value, out);
  }
}

// Replaces the keys of accounts in both objects by their numbers, since keys are never printed.
// Appends a line for each account that has as many keys as before, but others.
static void
compare_keys (struct json_object *current, struct json_object *ticket, GString *out)
{
  struct json_object *old_accounts = json_object_object_get (current, "accounts");
  struct json_object *new_accounts = json_object_object_get (ticket, "accounts");

  if (new_accounts == NULL)
    return;
  json_object_object_foreach (new_accounts, name, value)
  {
    struct json_object *old_value = json_object_object_get (old_accounts, name);
    struct json_object *old_keys = json_object_object_get (old_value, "keys");
    struct json_object *new_keys = json_object_object_get (value, "keys");

    if (old_keys != NULL && json_object_is_type (new_keys, json_type_array)
        && json_object_array_length (old_keys) == json_object_array_length (new_keys)
        && !json_object_equal (old_keys, new_keys))
      g_string_append_printf (out,
                              "accounts.%.128s.keys: in force %zu keys, ticket %zu, not the same\n",
                              name,
                              json_object_array_length (old_keys),
                              json_object_array_length (new_keys));
  }
  bj_accounts_hide_keys (current);
  bj_accounts_hide_keys (ticket);
}

static void
compare_item (const char *path,
              struct json_object *old_value,
              struct json_object *new_value,
              GString *out)
{
  char at[256];

  if (old_value == NULL || !json_object_is_type (new_value, json_type_object))
    {
      print_difference (path, old_value, new_value, out);
      return;
    }
  json_object_object_foreach (new_value, key, value)
  {
    g_snprintf (at, sizeof at, "%s.%.64s", path, key);
    if (strcmp (key, "number") != 0)
      print_difference (at, json_object_object_get (old_value, key), value, out);
  }
  json_object_object_foreach (old_value, old_key, removed_value)
  {
    g_snprintf (at, sizeof at, "%s.%.64s", path, old_key);
    if (strcmp (old_key, "number") != 0 && !json_object_object_get_ex (new_value, old_key, NULL))
      print_difference (at, removed_value, NULL, out);
  }
}

static void
print_difference (const char *path,
                  struct json_object *old_value,
                  struct json_object *new_value,
                  GString *out)
{
  if (json_object_equal (old_value, new_value))
    return;
  g_string_append_printf (out, "%s: in force ", path);
  print_value (old_value, out);
  g_string_append (out, ", ticket ");
  print_value (new_value, out);
  g_string_append_c (out, '\n');
}

static void
print_value (struct json_object *v, GString *out)
{
  const char *text
      = v != NULL ? json_object_to_json_string_ext (v, JSON_C_TO_STRING_PLAIN) : "nothing";
  size_t n = strlen (text);

  g_string_append_len (out, text, (gssize)MIN (n, VALUE_PRINTED_MAX));
  if (n > VALUE_PRINTED_MAX)
    g_string_append (out, "...");
}
