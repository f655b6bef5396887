// Bounded table of claims. The claims with the lowest orders are evicted first; claims with orders
// up to the low watermark may have been evicted.

#include "internal.h"
#include <string.h>

#define FIELD_COUNT 10
#define UUID_LENGTH 36

typedef enum
{
  FIELD_ID,
  FIELD_ORDER,
  FIELD_CLAIMANT,
  FIELD_SEQUENCE,
  FIELD_FINGERPRINT,
  FIELD_STATE,
  FIELD_STATUS, // HTTP status, 0 if no response is recorded
  FIELD_TYPE,   // content type; this and the next two are base64
  FIELD_HEADERS,
  FIELD_BODY,
} Field;

static gint compare_orders (gconstpointer a, gconstpointer b, gpointer data);
static guint hash_id (gconstpointer id);
static gboolean equal_id (gconstpointer a, gconstpointer b);
static void free_claim (gpointer claim);
static BjClaim *find_attempt (const BjShard *s, const BjClaim *c);
static void remove_claim (BjShard *s, BjClaim *c);
static void evict_lowest (BjShard *s);
static void drop_answer (BjShard *s, BjClaim *c);
static size_t answer_bytes (const BjClaim *c);
static void drop_lowest_answers (BjShard *s, size_t bytes);
static struct json_object *print_claim (const BjClaim *c);
static bool parse_claim (BjShard *s, struct json_object *o);
static struct json_object *get_field (struct json_object *o, Field f, json_type type);
static struct json_object *new_str (BjStr s);
static struct json_object *new_base64 (BjStr s);
static BjStr decode_base64 (struct json_object *o);
static BjStr get_str (struct json_object *o);

BjShard *
bj_shard_new (int claims_max, size_t body_bytes_max)
{
  BjShard *s = g_new0 (BjShard, 1);

  s->claims = g_hash_table_new_full (hash_id, equal_id, NULL, free_claim);
  s->by_order = g_sequence_new (NULL);
  s->claims_max = claims_max;
  s->body_bytes_max = body_bytes_max;
  return s;
}

void
bj_shard_free (BjShard *s)
{
  if (s == NULL)
    return;
  g_sequence_free (s->by_order);
  g_hash_table_destroy (s->claims);
  g_free (s);
}

const BjClaim *
bj_shard_find (const BjShard *s, BjStr id)
{
  return g_hash_table_lookup (s->claims, &id);
}

bool
bj_shard_is_below_watermark (const BjShard *s, uint64_t order)
{
  return order <= s->watermark;
}

void
bj_shard_insert (BjShard *s, const BjClaim *c)
{
  BjClaim *copy = g_new0 (BjClaim, 1);

  while (g_hash_table_size (s->claims) >= (guint)s->claims_max)
    evict_lowest (s);
  bj_claim_copy (copy, c);
  s->body_bytes += answer_bytes (copy);
  copy->order_iter = g_sequence_insert_sorted (s->by_order, copy, compare_orders, NULL);
  g_hash_table_insert (s->claims, &copy->id, copy);
}

bool
bj_shard_remove (BjShard *s, const BjClaim *c)
{
  BjClaim *old = find_attempt (s, c);

  if (old == NULL)
    return false;
  remove_claim (s, old);
  return true;
}

bool
bj_shard_record (BjShard *s, const BjClaim *c)
{
  BjClaim *old = find_attempt (s, c);

  if (old == NULL || old->state != BJ_CLAIM_HELD)
    return false;
  old->state = c->state;
  old->http_status = c->http_status;
  if (!c->has_answer || answer_bytes (c) > s->body_bytes_max)
    return true;
  drop_lowest_answers (s, answer_bytes (c));
  old->has_answer = true;
  bj_str_set (&old->content_type, c->content_type);
  bj_str_set (&old->headers, c->headers);
  bj_str_set (&old->body, c->body);
  s->body_bytes += answer_bytes (old);
  return true;
}

struct json_object *
bj_shard_print (const BjShard *s)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *all = json_object_new_array ();
  GSequenceIter *i = g_sequence_get_begin_iter (s->by_order);

  for (; !g_sequence_iter_is_end (i); i = g_sequence_iter_next (i))
    json_object_array_add (all, print_claim (g_sequence_get (i)));
  json_object_object_add (o, "watermark", json_object_new_int64 ((int64_t)s->watermark));
  json_object_object_add (o, "claims", all);
  return o;
}

BjStatus
bj_shard_parse (BjShard *s, struct json_object *spec)
{
  struct json_object *all = NULL;
  bool is_valid = spec == NULL
                  || (json_object_object_get_ex (spec, "claims", &all)
                      && json_object_is_type (all, json_type_array));

  g_sequence_remove_range (g_sequence_get_begin_iter (s->by_order),
                           g_sequence_get_end_iter (s->by_order));
  g_hash_table_remove_all (s->claims);
  s->body_bytes = 0;
  if (spec == NULL)
    return BJ_OK;
  s->watermark = MAX (s->watermark, (uint64_t)bj_json_number (spec, "watermark", 0));
  for (size_t i = 0; is_valid && i < json_object_array_length (all); i++)
    is_valid = parse_claim (s, json_object_array_get_idx (all, i));
  return is_valid ? BJ_OK
                  : bj_fail (
                      BJ_E_FORMAT,
                      "Claim shard is malformed: its list of claims or an entry has a wrong type.");
}

void
bj_claim_copy (BjClaim *to, const BjClaim *from)
{
  BjClaim copy = *from;

  copy.id = bj_str_dup (from->id);
  copy.claimant = bj_str_dup (from->claimant);
  copy.content_type = bj_str_dup (from->content_type);
  copy.headers = bj_str_dup (from->headers);
  copy.body = bj_str_dup (from->body);
  copy.order_iter = NULL;
  bj_claim_clear (to);
  *to = copy;
}

void
bj_claim_clear (BjClaim *c)
{
  bj_str_free (&c->id);
  bj_str_free (&c->claimant);
  bj_str_free (&c->content_type);
  bj_str_free (&c->headers);
  bj_str_free (&c->body);
}

BjStatus
bj_key_time (BjStr key, uint64_t *ms)
{
  bool is_valid = key.len == UUID_LENGTH;

  *ms = 0;
  for (size_t i = 0; is_valid && i < UUID_LENGTH; i++)
    {
      bool is_dash = i == 8 || i == 13 || i == 18 || i == 23;

      is_valid = is_dash ? key.data[i] == '-' : g_ascii_isxdigit (key.data[i]);
      if (i < 13 && !is_dash)
        *ms = *ms * 16 + (uint64_t)MAX (0, g_ascii_xdigit_value (key.data[i]));
    }
  if (!is_valid || key.data[14] != '7' || strchr ("89abAB", key.data[19]) == NULL)
    return bj_fail (
        BJ_E_KEY,
        "Idempotency-Key: must be a UUID of version 7 or an action id minted by this daemon.");
  return BJ_OK;
}

static gint
compare_orders (gconstpointer a, gconstpointer b, gpointer data)
{
  const BjClaim *x = a;
  const BjClaim *y = b;

  (void)data;
  if (x->order != y->order)
    return x->order < y->order ? -1 : 1;
  return 0;
}

static guint
hash_id (gconstpointer id)
{
  return (guint)bj_str_hash (*(const BjStr *)id);
}

static gboolean
equal_id (gconstpointer a, gconstpointer b)
{
  return bj_str_equal (*(const BjStr *)a, *(const BjStr *)b);
}

static void
free_claim (gpointer claim)
{
  bj_claim_clear (claim);
  g_free (claim);
}

static BjClaim *
find_attempt (const BjShard *s, const BjClaim *c)
{
  BjClaim *old = g_hash_table_lookup (s->claims, &c->id);

  if (old == NULL || old->sequence != c->sequence || !bj_str_equal (old->claimant, c->claimant))
    return NULL;
  return old;
}

static void
remove_claim (BjShard *s, BjClaim *c)
{
  s->body_bytes -= answer_bytes (c);
  g_sequence_remove (c->order_iter);
  g_hash_table_remove (s->claims, &c->id);
}

static void
evict_lowest (BjShard *s)
{
  BjClaim *lowest = g_sequence_get (g_sequence_get_begin_iter (s->by_order));

  s->watermark = MAX (s->watermark, lowest->order);
  remove_claim (s, lowest);
}

static void
drop_answer (BjShard *s, BjClaim *c)
{
  s->body_bytes -= answer_bytes (c);
  c->has_answer = false;
  bj_str_free (&c->content_type);
  bj_str_free (&c->headers);
  bj_str_free (&c->body);
}

static size_t
answer_bytes (const BjClaim *c)
{
  return c->content_type.len + c->headers.len + c->body.len;
}

static void
drop_lowest_answers (BjShard *s, size_t bytes)
{
  GSequenceIter *i = g_sequence_get_begin_iter (s->by_order);

  for (; s->body_bytes + bytes > s->body_bytes_max && !g_sequence_iter_is_end (i);
       i = g_sequence_iter_next (i))
    drop_answer (s, g_sequence_get (i));
}

static struct json_object *
print_claim (const BjClaim *c)
{
  struct json_object *o = json_object_new_array ();

  json_object_array_add (o, new_str (c->id));
  json_object_array_add (o, json_object_new_int64 ((int64_t)c->order));
  json_object_array_add (o, new_str (c->claimant));
  json_object_array_add (o, json_object_new_int64 ((int64_t)c->sequence));
  json_object_array_add (o, json_object_new_int64 ((int64_t)c->fingerprint));
  json_object_array_add (o, json_object_new_int (c->state));
  json_object_array_add (o, json_object_new_int (c->has_answer ? c->http_status : 0));
  json_object_array_add (o, new_base64 (c->content_type));
  json_object_array_add (o, new_base64 (c->headers));
  json_object_array_add (o, new_base64 (c->body));
  return o;
}

static bool
parse_claim (BjShard *s, struct json_object *o)
{
  static const json_type types[FIELD_COUNT]
      = { json_type_string, json_type_int, json_type_string, json_type_int,    json_type_int,
          json_type_int,    json_type_int, json_type_string, json_type_string, json_type_string };
  struct json_object *f[FIELD_COUNT];
  BjClaim c = { 0 };

  for (Field i = 0; i < FIELD_COUNT; i++)
    {
      f[i] = get_field (o, i, types[i]);
      if (f[i] == NULL)
        return false;
    }
  c.id = get_str (f[FIELD_ID]);
  c.order = (uint64_t)json_object_get_int64 (f[FIELD_ORDER]);
  c.claimant = get_str (f[FIELD_CLAIMANT]);
  c.sequence = (uint64_t)json_object_get_int64 (f[FIELD_SEQUENCE]);
  c.fingerprint = (uint64_t)json_object_get_int64 (f[FIELD_FINGERPRINT]);
  c.state
      = (BjClaimState)CLAMP (json_object_get_int (f[FIELD_STATE]), BJ_CLAIM_HELD, BJ_CLAIM_UNKNOWN);
  c.http_status = json_object_get_int (f[FIELD_STATUS]);
  c.has_answer = c.http_status > 0;
  c.content_type = decode_base64 (f[FIELD_TYPE]);
  c.headers = decode_base64 (f[FIELD_HEADERS]);
  c.body = decode_base64 (f[FIELD_BODY]);
  bj_shard_insert (s, &c);
  g_free ((char *)c.content_type.data);
  g_free ((char *)c.headers.data);
  g_free ((char *)c.body.data);
  return true;
}

static struct json_object *
get_field (struct json_object *o, Field f, json_type type)
{
  struct json_object *v;

  if (!json_object_is_type (o, json_type_array))
    return NULL;
  v = json_object_array_get_idx (o, (size_t)f);
  return json_object_is_type (v, type) ? v : NULL;
}

static struct json_object *
new_str (BjStr s)
{
  return json_object_new_string_len (s.len > 0 ? s.data : "", (int)s.len);
}

static struct json_object *
new_base64 (BjStr s)
{
  char *text = g_base64_encode ((const guchar *)(s.len > 0 ? s.data : ""), s.len);
  struct json_object *o = json_object_new_string (text);

  g_free (text);
  return o;
}

// Decodes base64; the caller frees the bytes.
static BjStr
decode_base64 (struct json_object *o)
{
  gsize len;
  guchar *bytes = g_base64_decode (json_object_get_string (o), &len);

  return (BjStr){ (const char *)bytes, len };
}

static BjStr
get_str (struct json_object *o)
{
  return (BjStr){ json_object_get_string (o), (size_t)json_object_get_string_len (o) };
}
