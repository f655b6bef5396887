// Field: reads the fields of a msgpack array in order and checks the type and range of each.

#include "internal.h"
#include <math.h>

static bool skip_value (BjStr *rest, int depth);
static uint64_t read_big_endian (BjStr s, size_t at, size_t n);

const msgpack_object *
bj_field_next (BjFields *in, msgpack_object_type type)
{
  if (in->failed || in->n_left == 0 || in->next->type != type)
    {
      in->failed = true;
      return NULL;
    }
  in->n_left--;
  return in->next++;
}

uint64_t
bj_field_uint (BjFields *in, uint64_t max)
{
  const msgpack_object *o = bj_field_next (in, MSGPACK_OBJECT_POSITIVE_INTEGER);

  in->failed = in->failed || o->via.u64 > max;
  return in->failed ? 0 : o->via.u64;
}

int64_t
bj_field_int (BjFields *in, int64_t min, int64_t max)
{
  int64_t value;

  if (in->failed || in->n_left == 0 || in->next->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
    value = (int64_t)bj_field_uint (in, (uint64_t)max);
  else
    value = bj_field_next (in, MSGPACK_OBJECT_NEGATIVE_INTEGER)->via.i64;
  in->failed = in->failed || value < min || value > max;
  return in->failed ? 0 : value;
}

double
bj_field_double (BjFields *in)
{
  const msgpack_object *o = bj_field_next (in, MSGPACK_OBJECT_FLOAT64);

  in->failed = in->failed || !isfinite (o->via.f64);
  return in->failed ? 0 : o->via.f64;
}

bool
bj_field_bool (BjFields *in)
{
  const msgpack_object *o = bj_field_next (in, MSGPACK_OBJECT_BOOLEAN);

  return o != NULL && o->via.boolean;
}

BjStr
bj_field_bytes (BjFields *in)
{
  const msgpack_object *o = bj_field_next (in, MSGPACK_OBJECT_BIN);

  return o != NULL ? (BjStr){ o->via.bin.ptr, o->via.bin.size } : BJ_STR_NULL;
}

bool
bj_msgpack_is_bounded (BjStr bytes)
{
  while (bytes.len > 0)
    if (!skip_value (&bytes, 0))
      return false;
  return true;
}

// Removes one value from rest; false when it is truncated, nested too deep, or declares more
// elements than there are bytes left. msgpack-c allocates memory for the declared number of
// elements before it has read them.
static bool
skip_value (BjStr *rest, int depth)
{
  static const uint8_t scalar_bytes[]
      = { [0xca - 0xc0] = 4, [0xcb - 0xc0] = 8, [0xcc - 0xc0] = 1, [0xcd - 0xc0] = 2,
          [0xce - 0xc0] = 4, [0xcf - 0xc0] = 8, [0xd0 - 0xc0] = 1, [0xd1 - 0xc0] = 2,
          [0xd2 - 0xc0] = 4, [0xd3 - 0xc0] = 8 };
  uint8_t b = rest->len > 0 ? (uint8_t)rest->data[0] : 0xc1;
  uint64_t n_bytes = 1; // bytes of the value without its elements
  uint64_t elements = 0;
  size_t width;

  if (b >= 0x80 && b <= 0x8f)
    elements = 2 * (uint64_t)(b & 0x0f);
  else if (b >= 0x90 && b <= 0x9f)
    elements = b & 0x0f;
  else if (b >= 0xa0 && b <= 0xbf)
    n_bytes = 1 + (uint64_t)(b & 0x1f);
  else if (b >= 0xc4 && b <= 0xc6)
    n_bytes = 1 + ((size_t)1 << (b - 0xc4)) + read_big_endian (*rest, 1, (size_t)1 << (b - 0xc4));
  else if (b >= 0xd9 && b <= 0xdb)
    n_bytes = 1 + ((size_t)1 << (b - 0xd9)) + read_big_endian (*rest, 1, (size_t)1 << (b - 0xd9));
  else if (b >= 0xdc && b <= 0xdf)
    {
      width = b % 2 == 0 ? 2 : 4;
      n_bytes = 1 + width;
      elements = read_big_endian (*rest, 1, width) * (b >= 0xde ? 2 : 1);
    }
  else if (b >= 0xca && b <= 0xd3)
    n_bytes = 1 + (uint64_t)scalar_bytes[b - 0xc0];
  else if (b == 0xc1 || (b >= 0xc7 && b <= 0xc9) || (b >= 0xd4 && b <= 0xd8))
    return false; // unused type byte or extension type; no message contains one
  if (n_bytes > rest->len || elements > rest->len - n_bytes
      || (elements > 0 && depth >= BJ_MSGPACK_DEPTH_MAX))
    return false;
  *rest = (BjStr){ rest->data + n_bytes, rest->len - n_bytes };
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
