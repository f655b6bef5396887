// Json: strict parsing of settings and tickets with json-c, driven by tables of keys.

#include "internal.h"
#include <string.h>

#define KEY_SHOWN_MAX 64 // bytes of a key that a message shows
#define CUT_DEPTH 24     // nesting from which on bj_json_parse_cut replaces values

typedef struct
{
  BjStr text;
  size_t at;                             // offset of the next byte to scan
  BjStr string;                          // last string scanned, without its quotes
  GHashTable *keys[BJ_TICKET_DEPTH_MAX]; // key sets of the open objects, depth entries
  int depth;
} KeyScan;

static BjStatus read_text (
    const char *name, BjStr text, size_t bytes_max, BjStatus code, struct json_object **root);
static char *cut_nested (BjStr text);
static BjStatus check_duplicate_keys (const char *name, BjStr text, BjStatus code);
static BjStatus scan_text (const char *name, KeyScan *k, BjStatus code);
static BjStatus add_key (const char *name, KeyScan *k, BjStatus code);
static void scan_string (KeyScan *k);
static void skip_comment (KeyScan *k);
static BjStatus fail_unknown_key (const char *name,
                                  const char *path,
                                  const char *key,
                                  BjStatus code,
                                  const BjJsonKey *keys,
                                  int n);
static BjStatus check_value (
    const char *name, const char *path, const BjJsonKey *k, struct json_object *v, BjStatus code);
static BjStatus check_range (const char *name,
                             const char *path,
                             const BjJsonKey *k,
                             double n,
                             const char *what,
                             BjStatus code);
static const BjJsonKey *find_key (const BjJsonKey *keys, int n, const char *key);
static bool has_type (struct json_object *v, BjJsonType t);
static int line_number (BjStr text, size_t at);
static bool rest_is_blank (BjStr text, size_t at);

BjStatus
bj_json_read (const char *name, BjStr text, BjStatus code, struct json_object **root)
{
  return read_text (name, text, BJ_TICKET_MAX, code, root);
}

BjStatus
bj_config_read (BjStr text, struct json_object **root)
{
  return read_text ("configuration", text, BJ_CONFIG_MAX, BJ_E_TICKET, root);
}

struct json_object *
bj_json_parse_cut (BjStr text)
{
  enum json_tokener_error e;
  struct json_object *o = json_tokener_parse_verbose (text.data, &e);
  char *cut;

  if (o != NULL || e != json_tokener_error_depth)
    return o;
  cut = cut_nested (text);
  o = json_tokener_parse (cut);
  g_free (cut);
  return o;
}

// Returns a copy in which null stands for each value nested deeper than CUT_DEPTH.
static char *
cut_nested (BjStr text)
{
  GString *out = g_string_sized_new (text.len);
  bool in_string = false;
  int depth = 0;

  for (size_t i = 0; i < text.len; i++)
    {
      char c = text.data[i];
      bool is_open = !in_string && (c == '{' || c == '[');
      bool is_close = !in_string && (c == '}' || c == ']');

      if (is_open && ++depth == CUT_DEPTH + 1)
        g_string_append (out, "null");
      if (depth <= CUT_DEPTH)
        g_string_append_c (out, c);
      depth -= is_close && depth > 0;
      if (in_string && c == '\\' && i + 1 < text.len)
        {
          i++;
          if (depth <= CUT_DEPTH)
            g_string_append_c (out, text.data[i]);
        }
      else if (c == '"')
        in_string = !in_string;
    }
  return g_string_free (out, FALSE);
}

static BjStatus
read_text (const char *name, BjStr text, size_t bytes_max, BjStatus code, struct json_object **root)
{
  struct json_tokener *t;
  enum json_tokener_error e;
  size_t end;
  BjStatus s;

  *root = NULL;
  if (text.len > bytes_max)
    return bj_fail (
        BJ_E_TOO_LARGE, "%s: %zu bytes, at most %zu are allowed.", name, text.len, bytes_max);
  if (!g_utf8_validate (text.data, (gssize)text.len, NULL))
    return bj_fail (code, "%s: the text is not valid UTF-8.", name);
  t = json_tokener_new_ex (BJ_TICKET_DEPTH_MAX);
  *root = json_tokener_parse_ex (t, text.data, (int)text.len);
  e = json_tokener_get_error (t);
  end = json_tokener_get_parse_end (t);
  json_tokener_free (t);
  if (e == json_tokener_continue)
    return bj_fail (code, "%s: the text ends before the first value does.", name);
  if (e != json_tokener_success)
    return bj_fail (
        code, "%s: line %d: %s.", name, line_number (text, end), json_tokener_error_desc (e));
  if (rest_is_blank (text, end))
    s = check_duplicate_keys (name, text, code);
  else
    s = bj_fail (code, "%s: line %d: text follows the first value.", name, line_number (text, end));
  if (s != BJ_OK)
    g_clear_pointer (root, json_object_put);
  return s;
}

BjStatus
bj_json_check (const char *name,
               const char *path,
               struct json_object *o,
               BjStatus code,
               const BjJsonKey *keys,
               int n)
{
  if (!json_object_is_type (o, json_type_object))
    return bj_fail (code, "%s: %s: must be an object.", name, path);
  json_object_object_foreach (o, key, value)
  {
    const BjJsonKey *k = find_key (keys, n, key);
    BjStatus s;

    if (k == NULL)
      return fail_unknown_key (name, path, key, code, keys, n);
    s = check_value (name, path, k, value, code);
    if (s != BJ_OK)
      return s;
  }
  for (int i = 0; i < n; i++)
    if (keys[i].required && !json_object_object_get_ex (o, keys[i].key, NULL))
      return bj_fail (code, "%s: %s: key \"%s\" is missing.", name, path, keys[i].key);
  return BJ_OK;
}

BjStr
bj_json_str (struct json_object *o, const char *key)
{
  struct json_object *v;

  if (!json_object_object_get_ex (o, key, &v) || !json_object_is_type (v, json_type_string))
    return BJ_STR_NULL;
  return (BjStr){ json_object_get_string (v), (size_t)json_object_get_string_len (v) };
}

double
bj_json_number (struct json_object *o, const char *key, double default_value)
{
  struct json_object *v;

  return json_object_object_get_ex (o, key, &v) ? json_object_get_double (v) : default_value;
}

int64_t
bj_json_int (struct json_object *o, const char *key)
{
  struct json_object *v;

  return json_object_object_get_ex (o, key, &v) ? json_object_get_int64 (v) : 0;
}

bool
bj_json_bool (struct json_object *o, const char *key, bool default_value)
{
  struct json_object *v;

  return json_object_object_get_ex (o, key, &v) ? json_object_get_boolean (v) : default_value;
}

const char *
bj_json_type_name (BjJsonType t)
{
  static const char *const names[] = {
    [BJ_JSON_STR] = "a string",   [BJ_JSON_INT] = "a whole number", [BJ_JSON_NUMBER] = "a number",
    [BJ_JSON_BOOL] = "a boolean", [BJ_JSON_OBJECT] = "an object",   [BJ_JSON_ARRAY] = "an array",
  };

  return names[t];
}

// Rejects duplicate keys, of which json-c silently keeps the last one. Scans text that json-c has
// accepted and records the keys of each open object.
static BjStatus
check_duplicate_keys (const char *name, BjStr text, BjStatus code)
{
  KeyScan k = { .text = text };
  BjStatus s = scan_text (name, &k, code);

  while (k.depth > 0)
    g_hash_table_destroy (k.keys[--k.depth]);
  return s;
}

static BjStatus
scan_text (const char *name, KeyScan *k, BjStatus code)
{
  BjStatus s = BJ_OK;

  while (k->at < k->text.len && s == BJ_OK)
    {
      char c = k->text.data[k->at++];

      if (c == '"' || c == '\'')
        scan_string (k);
      else if (c == '/')
        skip_comment (k);
      else if (c == ':')
        s = add_key (name, k, code);
      else if (c == '{' && k->depth < BJ_TICKET_DEPTH_MAX)
        k->keys[k->depth++] = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      else if (c == '}' && k->depth > 0)
        g_hash_table_destroy (k->keys[--k->depth]);
    }
  return s;
}

static BjStatus
add_key (const char *name, KeyScan *k, BjStatus code)
{
  BjStr key = k->string;

  if (k->depth == 0)
    return BJ_OK;
  if (key.len > 0 && memchr (key.data, '\\', key.len) != NULL)
    return bj_fail (code,
                    "%s: line %d: an escape in a key is not allowed.",
                    name,
                    line_number (k->text, k->at));
  if (g_hash_table_add (k->keys[k->depth - 1], g_strndup (key.data, key.len)))
    return BJ_OK;
  return bj_fail (code,
                  "%s: line %d: key \"%.*s\" stands twice.",
                  name,
                  line_number (k->text, k->at),
                  (int)MIN (key.len, KEY_SHOWN_MAX),
                  key.data);
}

static void
scan_string (KeyScan *k)
{
  char quote = k->text.data[k->at - 1];
  size_t begin = k->at;

  while (k->at < k->text.len && k->text.data[k->at] != quote)
    k->at += k->text.data[k->at] == '\\' ? 2 : 1;
  k->at = MIN (k->at, k->text.len);
  k->string = (BjStr){ k->text.data + begin, k->at - begin };
  k->at++;
}

static void
skip_comment (KeyScan *k)
{
  BjStr rest = { k->text.data + k->at, k->text.len - k->at };
  BjStr stop = bj_str_starts (rest, BJ_STR ("/")) ? BJ_STR ("\n") : BJ_STR ("*/");
  const char *end = rest.len > 1 ? memmem (rest.data + 1, rest.len - 1, stop.data, stop.len) : NULL;

  k->at = end != NULL ? (size_t)(end - k->text.data) + stop.len : k->text.len;
}

static BjStatus
fail_unknown_key (const char *name,
                  const char *path,
                  const char *key,
                  BjStatus code,
                  const BjJsonKey *keys,
                  int n)
{
  GString *allowed = g_string_new (NULL);
  BjStatus s;

  for (int i = 0; i < n; i++)
    g_string_append_printf (allowed, "%s%s", i > 0 ? ", " : "", keys[i].key);
  s = bj_fail (code, "%s: %s: unknown key \"%.64s\", allowed: %s.", name, path, key, allowed->str);
  g_string_free (allowed, TRUE);
  return s;
}

static BjStatus
check_value (
    const char *name, const char *path, const BjJsonKey *k, struct json_object *v, BjStatus code)
{
  if (!has_type (v, k->type))
    return bj_fail (code,
                    "%s: %s.%s: %.60s is not %s.",
                    name,
                    path,
                    k->key,
                    json_object_to_json_string (v),
                    bj_json_type_name (k->type));
  if (k->type == BJ_JSON_STR
      && strlen (json_object_get_string (v)) != (size_t)json_object_get_string_len (v))
    return bj_fail (code, "%s: %s.%s: a zero byte is not allowed.", name, path, k->key);
  if (k->min == 0 && k->max == 0)
    return BJ_OK;
  switch (k->type)
    {
    case BJ_JSON_INT:
    case BJ_JSON_NUMBER:
      return check_range (name, path, k, json_object_get_double (v), "value", code);
    case BJ_JSON_STR:
      return check_range (name, path, k, json_object_get_string_len (v), "length", code);
    case BJ_JSON_ARRAY:
      return check_range (name, path, k, (double)json_object_array_length (v), "length", code);
    default:
      return BJ_OK;
    }
}

static BjStatus
check_range (const char *name,
             const char *path,
             const BjJsonKey *k,
             double n,
             const char *what,
             BjStatus code)
{
  if (n >= k->min && n <= k->max)
    return BJ_OK;
  return bj_fail (code,
                  "%s: %s.%s: %s %g is out of range, %g to %g is allowed.",
                  name,
                  path,
                  k->key,
                  what,
                  n,
                  k->min,
                  k->max);
}

static const BjJsonKey *
find_key (const BjJsonKey *keys, int n, const char *key)
{
  for (int i = 0; i < n; i++)
    if (strcmp (keys[i].key, key) == 0)
      return &keys[i];
  return NULL;
}

static bool
has_type (struct json_object *v, BjJsonType t)
{
  switch (t)
    {
    case BJ_JSON_STR:
      return json_object_is_type (v, json_type_string);
    case BJ_JSON_INT:
      return json_object_is_type (v, json_type_int);
    case BJ_JSON_NUMBER:
      return json_object_is_type (v, json_type_int) || json_object_is_type (v, json_type_double);
    case BJ_JSON_BOOL:
      return json_object_is_type (v, json_type_boolean);
    case BJ_JSON_OBJECT:
      return json_object_is_type (v, json_type_object);
    default:
      return json_object_is_type (v, json_type_array);
    }
}

static int
line_number (BjStr text, size_t at)
{
  int line = 1;

  for (size_t i = 0; i < at && i < text.len; i++)
    line += text.data[i] == '\n';
  return line;
}

static bool
rest_is_blank (BjStr text, size_t at)
{
  while (at < text.len && g_ascii_isspace (text.data[at]))
    at++;
  return at >= text.len;
}
