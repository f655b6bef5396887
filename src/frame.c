// Frame: messages between daemons, a 4-byte big-endian length and a msgpack array.

#include "internal.h"
#include <arpa/inet.h>
#include <string.h>

#define LENGTH_BYTES 4

typedef struct
{
  const msgpack_object *at;
  uint32_t left;
  bool failed;
} Fields;

static bool skip_value (BjStr *rest, int depth);
static uint64_t read_big_endian (BjStr s, size_t at, size_t n);
static void pack_fields (msgpack_packer *p, const BjFrame *f);
static void pack_call (msgpack_packer *p, const BjFrame *f);
static void pack_answer (msgpack_packer *p, const BjFrame *f);
static void pack_str (msgpack_packer *p, BjStr s);
static int field_count (BjFrameKind k);
static void read_fields (Fields *in, BjFrame *f);
static void read_call (Fields *in, BjFrame *f);
static void read_answer (Fields *in, BjFrame *f);
static BjSuspicion read_suspicion (Fields *in);
static uint64_t read_uint (Fields *in);
static int64_t read_int (Fields *in);
static double read_double (Fields *in);
static bool read_bool (Fields *in);
static BjStr read_str (Fields *in);
static const msgpack_object *next (Fields *in, msgpack_object_type type);

void
bj_frame_encode (msgpack_sbuffer *out, const BjFrame *f)
{
  size_t start = out->size;
  uint32_t length = 0;
  msgpack_packer p;

  msgpack_sbuffer_write (out, (const char *)&length, LENGTH_BYTES);
  msgpack_packer_init (&p, out, msgpack_sbuffer_write);
  msgpack_pack_array (&p, 2 + field_count (f->kind));
  msgpack_pack_int (&p, f->kind);
  msgpack_pack_uint64 (&p, f->id);
  pack_fields (&p, f);
  length = htonl ((uint32_t)(out->size - start - LENGTH_BYTES));
  memcpy (out->data + start, &length, LENGTH_BYTES);
}

BjStatus
bj_frame_decode (BjStr bytes, msgpack_unpacked *keep, BjFrame *f)
{
  size_t at = 0;
  Fields in = { 0 };
  const msgpack_object *o;

  memset (f, 0, sizeof *f);
  if (!bj_msgpack_is_bounded (bytes))
    return bj_fail (BJ_E_FORMAT,
                    "A frame of %zu bytes is nested too deep or claims more than it holds.",
                    bytes.len);
  if (msgpack_unpack_next (keep, bytes.data, bytes.len, &at) != MSGPACK_UNPACK_SUCCESS
      || at != bytes.len)
    return bj_fail (BJ_E_FORMAT, "A frame of %zu bytes is not one msgpack value.", bytes.len);
  o = &keep->data;
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 2)
    return bj_fail (BJ_E_FORMAT, "A frame is not an array of at least two fields.");
  in.at = o->via.array.ptr;
  in.left = o->via.array.size;
  f->kind = (BjFrameKind)read_uint (&in);
  f->id = read_uint (&in);
  if (in.failed || f->kind < BJ_FRAME_HELLO || f->kind >= BJ_FRAME_KINDS)
    return bj_fail (BJ_E_FORMAT, "A frame has an unknown kind.");
  read_fields (&in, f);
  if (in.failed)
    return bj_fail (BJ_E_FORMAT, "A frame of kind %d has a wrong field.", f->kind);
  return BJ_OK;
}

bool
bj_msgpack_is_bounded (BjStr bytes)
{
  while (bytes.len > 0)
    if (!skip_value (&bytes, 0))
      return false;
  return true;
}

// msgpack-c reserves memory for as many elements as an array claims, before it has seen them.
static bool
skip_value (BjStr *rest, int depth)
{
  static const uint8_t scalar_bytes[]
      = { [0xca - 0xc0] = 4, [0xcb - 0xc0] = 8, [0xcc - 0xc0] = 1, [0xcd - 0xc0] = 2,
          [0xce - 0xc0] = 4, [0xcf - 0xc0] = 8, [0xd0 - 0xc0] = 1, [0xd1 - 0xc0] = 2,
          [0xd2 - 0xc0] = 4, [0xd3 - 0xc0] = 8 };
  uint8_t b = rest->len > 0 ? (uint8_t)rest->data[0] : 0xc1;
  uint64_t skip = 1; // bytes of the value without its elements
  uint64_t elements = 0;
  size_t width;

  if (b >= 0x80 && b <= 0x8f)
    elements = 2 * (uint64_t)(b & 0x0f);
  else if (b >= 0x90 && b <= 0x9f)
    elements = b & 0x0f;
  else if (b >= 0xa0 && b <= 0xbf)
    skip = 1 + (uint64_t)(b & 0x1f);
  else if (b >= 0xc4 && b <= 0xc6)
    skip = 1 + ((size_t)1 << (b - 0xc4)) + read_big_endian (*rest, 1, (size_t)1 << (b - 0xc4));
  else if (b >= 0xd9 && b <= 0xdb)
    skip = 1 + ((size_t)1 << (b - 0xd9)) + read_big_endian (*rest, 1, (size_t)1 << (b - 0xd9));
  else if (b >= 0xdc && b <= 0xdf)
    {
      width = b % 2 == 0 ? 2 : 4;
      skip = 1 + width;
      elements = read_big_endian (*rest, 1, width) * (b >= 0xde ? 2 : 1);
    }
  else if (b >= 0xca && b <= 0xd3)
    skip = 1 + (uint64_t)scalar_bytes[b - 0xc0];
  else if (b == 0xc1 || (b >= 0xc7 && b <= 0xc9) || (b >= 0xd4 && b <= 0xd8))
    return false; // unused, and extensions that no message of ours has
  if (skip > rest->len || elements > rest->len - skip
      || (elements > 0 && depth >= BJ_MSGPACK_DEPTH_MAX))
    return false;
  *rest = (BjStr){ rest->data + skip, rest->len - skip };
  for (uint64_t i = 0; i < elements; i++)
    if (!skip_value (rest, depth + 1))
      return false;
  return true;
}

static uint64_t
read_big_endian (BjStr s, size_t at, size_t n)
{
  uint64_t value = 0;

  for (size_t i = at; i < at + n && i < s.len; i++)
    value = value << 8 | (uint8_t)s.data[i];
  return value;
}

static void
pack_fields (msgpack_packer *p, const BjFrame *f)
{
  switch (f->kind)
    {
    case BJ_FRAME_HELLO:
      msgpack_pack_int (p, f->protocol);
      pack_str (p, f->name);
      pack_str (p, f->data);
      break;
    case BJ_FRAME_CALL:
      pack_call (p, f);
      break;
    case BJ_FRAME_ANSWER:
      pack_answer (p, f);
      break;
    case BJ_FRAME_DATA:
    case BJ_FRAME_CONFIG:
      pack_str (p, f->data);
      break;
    case BJ_FRAME_END:
      f->whole ? msgpack_pack_true (p) : msgpack_pack_false (p);
      msgpack_pack_uint64 (p, f->length);
      msgpack_pack_uint64 (p, f->hash);
      break;
    case BJ_FRAME_WINDOW:
      msgpack_pack_uint64 (p, f->length);
      break;
    case BJ_FRAME_NOTICE:
      msgpack_pack_uint64 (p, f->notice.fingerprint);
      msgpack_pack_int (p, f->notice.state);
      msgpack_pack_double (p, f->notice.lifetime_ms);
      break;
    default:
      break;
    }
}

static void
pack_call (msgpack_packer *p, const BjFrame *f)
{
  const BjRequest *r = &f->request;

  pack_str (p, f->name);
  msgpack_pack_uint64 (p, f->expected);
  pack_str (p, r->method);
  pack_str (p, r->path);
  pack_str (p, r->key);
  pack_str (p, r->content_type);
  pack_str (p, r->headers);
  pack_str (p, r->body);
  msgpack_pack_int (p, r->klass);
  msgpack_pack_double (p, r->deadline_ms);
  msgpack_pack_int (p, r->attempts_left);
  msgpack_pack_int (p, r->depth);
  msgpack_pack_uint64 (p, r->cohort);
  r->irreversible ? msgpack_pack_true (p) : msgpack_pack_false (p);
}

static void
pack_answer (msgpack_packer *p, const BjFrame *f)
{
  const BjAnswer *a = &f->answer;

  msgpack_pack_int (p, a->code);
  msgpack_pack_int (p, a->outcome);
  msgpack_pack_int (p, a->http_status);
  msgpack_pack_double (p, a->retry_after_ms);
  msgpack_pack_int (p, a->attempts_left);
  msgpack_pack_int (p, a->level);
  pack_str (p, a->content_type);
  pack_str (p, a->headers);
  msgpack_pack_int64 (p, a->length);
}

static void
pack_str (msgpack_packer *p, BjStr s)
{
  msgpack_pack_bin (p, s.len);
  msgpack_pack_bin_body (p, s.len > 0 ? s.data : "", s.len);
}

static int
field_count (BjFrameKind k)
{
  static const int counts[BJ_FRAME_KINDS] = {
    [BJ_FRAME_HELLO] = 3, [BJ_FRAME_CALL] = 14,  [BJ_FRAME_ANSWER] = 9, [BJ_FRAME_DATA] = 1,
    [BJ_FRAME_END] = 3,   [BJ_FRAME_WINDOW] = 1, [BJ_FRAME_NOTICE] = 3, [BJ_FRAME_CONFIG] = 1,
  };

  return counts[k];
}

static void
read_fields (Fields *in, BjFrame *f)
{
  switch (f->kind)
    {
    case BJ_FRAME_HELLO:
      f->protocol = (int)read_int (in);
      f->name = read_str (in);
      f->data = read_str (in);
      break;
    case BJ_FRAME_CALL:
      read_call (in, f);
      break;
    case BJ_FRAME_ANSWER:
      read_answer (in, f);
      break;
    case BJ_FRAME_DATA:
    case BJ_FRAME_CONFIG:
      f->data = read_str (in);
      break;
    case BJ_FRAME_END:
      f->whole = read_bool (in);
      f->length = read_uint (in);
      f->hash = read_uint (in);
      break;
    case BJ_FRAME_WINDOW:
      f->length = read_uint (in);
      break;
    case BJ_FRAME_NOTICE:
      f->notice.fingerprint = read_uint (in);
      f->notice.state = read_suspicion (in);
      f->notice.lifetime_ms = read_double (in);
      break;
    default:
      break;
    }
}

static void
read_call (Fields *in, BjFrame *f)
{
  BjRequest *r = &f->request;

  f->name = read_str (in);
  f->expected = read_uint (in);
  r->method = read_str (in);
  r->path = read_str (in);
  r->key = read_str (in);
  r->content_type = read_str (in);
  r->headers = read_str (in);
  r->body = read_str (in);
  r->klass = (int)read_int (in);
  r->deadline_ms = read_double (in);
  r->attempts_left = (int)read_int (in);
  r->depth = (int)read_int (in);
  r->cohort = (uint32_t)read_uint (in);
  r->has_cohort = true;
  r->irreversible = read_bool (in);
}

static void
read_answer (Fields *in, BjFrame *f)
{
  BjAnswer *a = &f->answer;

  a->code = (BjStatus)read_int (in);
  a->outcome = (BjOutcome)read_int (in);
  a->http_status = (int)read_int (in);
  a->retry_after_ms = read_double (in);
  a->attempts_left = (int)read_int (in);
  a->level = (int)read_int (in);
  a->content_type = read_str (in);
  a->headers = read_str (in);
  a->length = read_int (in);
}

static BjSuspicion
read_suspicion (Fields *in)
{
  int64_t value = read_int (in);

  return (BjSuspicion)CLAMP (value, BJ_CLEAR, BJ_QUARANTINED);
}

static uint64_t
read_uint (Fields *in)
{
  const msgpack_object *o = next (in, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return o != NULL ? o->via.u64 : 0;
}

static int64_t
read_int (Fields *in)
{
  if (in->left > 0 && in->at->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return next (in, MSGPACK_OBJECT_NEGATIVE_INTEGER)->via.i64;
  return (int64_t)read_uint (in);
}

static double
read_double (Fields *in)
{
  const msgpack_object *o = next (in, MSGPACK_OBJECT_FLOAT64);

  return o != NULL ? o->via.f64 : 0;
}

static bool
read_bool (Fields *in)
{
  const msgpack_object *o = next (in, MSGPACK_OBJECT_BOOLEAN);

  return o != NULL && o->via.boolean;
}

static BjStr
read_str (Fields *in)
{
  const msgpack_object *o = next (in, MSGPACK_OBJECT_BIN);

  return o != NULL ? (BjStr){ o->via.bin.ptr, o->via.bin.size } : BJ_STR_NULL;
}

static const msgpack_object *
next (Fields *in, msgpack_object_type type)
{
  if (in->left == 0 || in->at->type != type)
    {
      in->failed = true;
      return NULL;
    }
  in->left--;
  return in->at++;
}
