// Frame: messages between daemons: a 4-byte big-endian length followed by a msgpack array.

#include "instance.h"
#include "internal.h"
#include <arpa/inet.h>
#include <limits.h>
#include <string.h>

#define LENGTH_BYTES 4 // length prefix of a frame
#define NO_RATE (-1.0) // sent when an upstream names no rate

static void pack_fields (msgpack_packer *p, const BjFrame *f);
static void pack_call (msgpack_packer *p, const BjFrame *f);
static void pack_answer (msgpack_packer *p, const BjFrame *f);
static void pack_upstream (msgpack_packer *p, const BjUpstreamState *s);
static void pack_upstream_load (msgpack_packer *p, const BjUpstreamLoad *l);
static void pack_usage (msgpack_packer *p, const BjFrame *f);
static void pack_offset (msgpack_packer *p, const BjFrame *f);
static void pack_str (msgpack_packer *p, BjStr s);
static int field_count (const BjFrame *f);
static void read_fields (BjFields *in, BjFrame *f);
static void read_call (BjFields *in, BjFrame *f);
static void read_answer (BjFields *in, BjFrame *f);
static void read_upstream (BjFields *in, BjUpstreamState *s);
static void read_upstream_load (BjFields *in, BjUpstreamLoad *l);
static void read_usage (BjFields *in, BjFrame *f);
static void read_offset (BjFields *in, BjFrame *f);
static BjSuspicion read_suspicion (BjFields *in);

void
bj_frame_encode (msgpack_sbuffer *out, const BjFrame *f)
{
  size_t start = out->size;
  uint32_t length = 0;
  msgpack_packer p;

  msgpack_sbuffer_write (out, (const char *)&length, LENGTH_BYTES);
  msgpack_packer_init (&p, out, msgpack_sbuffer_write);
  msgpack_pack_array (&p, 2 + field_count (f));
  msgpack_pack_int (&p, f->kind);
  msgpack_pack_uint64 (&p, f->id);
  pack_fields (&p, f);
  length = htonl ((uint32_t)(out->size - start - LENGTH_BYTES));
  memcpy (out->data + start, &length, LENGTH_BYTES);
}

size_t
bj_frame_size (const char *frame)
{
  uint32_t length;

  memcpy (&length, frame, LENGTH_BYTES);
  return LENGTH_BYTES + ntohl (length);
}

BjStatus
bj_frame_decode (BjStr bytes, msgpack_unpacked *unpacked, BjFrame *f)
{
  size_t at = 0;
  BjFields in = { 0 };
  const msgpack_object *o;

  memset (f, 0, sizeof *f);
  if (!bj_msgpack_is_bounded (bytes))
    return bj_fail (
        BJ_E_FORMAT,
        "Frame of %zu bytes rejected: nested too deep, or an element count exceeds its bytes.",
        bytes.len);
  if (msgpack_unpack_next (unpacked, bytes.data, bytes.len, &at) != MSGPACK_UNPACK_SUCCESS
      || at != bytes.len)
    return bj_fail (BJ_E_FORMAT,
                    "Frame of %zu bytes rejected: it is not exactly one msgpack value.",
                    bytes.len);
  o = &unpacked->data;
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 2)
    return bj_fail (BJ_E_FORMAT, "Frame rejected: it is not an array of at least two fields.");
  in.next = o->via.array.ptr;
  in.n_left = o->via.array.size;
  f->kind = (BjFrameKind)bj_field_uint (&in, UINT64_MAX);
  f->id = bj_field_uint (&in, UINT64_MAX);
  if (in.failed || f->kind < BJ_FRAME_HELLO || f->kind >= BJ_FRAME_KINDS)
    return bj_fail (BJ_E_FORMAT,
                    "Frame rejected: its kind is unknown or its id is not an unsigned integer.");
  read_fields (&in, f);
  if (in.failed)
    return bj_fail (
        BJ_E_FORMAT,
        "Frame of kind %d rejected: a field is missing, of a wrong type or out of range.",
        f->kind);
  return BJ_OK;
}

static void
pack_fields (msgpack_packer *p, const BjFrame *f)
{
  switch (f->kind)
    {
    case BJ_FRAME_HELLO:
      msgpack_pack_int (p, f->protocol);
      pack_str (p, f->name);
      msgpack_pack_uint64 (p, f->start);
      pack_str (p, f->data);
      break;
    case BJ_FRAME_CALL:
      pack_call (p, f);
      break;
    case BJ_FRAME_ANSWER:
      pack_answer (p, f);
      break;
    case BJ_FRAME_DATA:
      pack_str (p, f->data);
      pack_offset (p, f);
      break;
    case BJ_FRAME_CONFIG:
      pack_str (p, f->data);
      break;
    case BJ_FRAME_CONFIG_REQUEST:
      f->takes_parts ? msgpack_pack_true (p) : msgpack_pack_false (p);
      break;
    case BJ_FRAME_CONFIG_PART:
      msgpack_pack_uint64 (p, f->length);
      msgpack_pack_uint64 (p, f->offset);
      pack_str (p, f->data);
      break;
    case BJ_FRAME_END:
      f->is_complete ? msgpack_pack_true (p) : msgpack_pack_false (p);
      msgpack_pack_uint64 (p, f->length);
      msgpack_pack_uint64 (p, f->hash);
      break;
    case BJ_FRAME_WINDOW:
      msgpack_pack_uint64 (p, f->length);
      pack_offset (p, f);
      break;
    case BJ_FRAME_PING:
      pack_upstream (p, &f->upstream);
      pack_usage (p, f);
      break;
    case BJ_FRAME_PONG:
      pack_usage (p, f);
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
  msgpack_pack_uint64 (p, f->expected_incarnation);
  pack_str (p, r->method);
  pack_str (p, r->path);
  pack_str (p, r->host);
  pack_str (p, r->id);
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
  msgpack_pack_double (p, r->objective_ms);
  pack_upstream (p, &f->upstream);
  r->hides_account ? msgpack_pack_true (p) : msgpack_pack_false (p);
  pack_str (p, r->account);
}

static void
pack_answer (msgpack_packer *p, const BjFrame *f)
{
  const BjAnswer *a = &f->answer;

  msgpack_pack_int (p, a->code);
  msgpack_pack_int (p, a->outcome);
  msgpack_pack_int (p, a->http_status);
  a->failed ? msgpack_pack_true (p) : msgpack_pack_false (p);
  msgpack_pack_double (p, a->retry_after_ms);
  msgpack_pack_int (p, a->attempts_left);
  msgpack_pack_int (p, a->level);
  msgpack_pack_int (p, a->load.limit);
  msgpack_pack_int (p, a->load.in_flight);
  msgpack_pack_int (p, a->load.queued);
  msgpack_pack_int (p, a->load.failure_permille);
  a->makes_calls ? msgpack_pack_true (p) : msgpack_pack_false (p);
  pack_str (p, a->content_type);
  pack_str (p, a->headers);
  msgpack_pack_int64 (p, a->length);
  pack_upstream (p, &a->upstream);
  pack_upstream_load (p, &a->upstream_load);
}

static void
pack_upstream (msgpack_packer *p, const BjUpstreamState *s)
{
  msgpack_pack_uint64 (p, s->start);
  s->is_leaving ? msgpack_pack_true (p) : msgpack_pack_false (p);
  msgpack_pack_double (p, s->has_rate ? s->rate : NO_RATE);
}

// Daemons of earlier versions don't read this field.
static void
pack_usage (msgpack_packer *p, const BjFrame *f)
{
  if (f->data.len > 0)
    pack_str (p, f->data);
}

static void
pack_upstream_load (msgpack_packer *p, const BjUpstreamLoad *l)
{
  msgpack_pack_int (p, l->running);
  msgpack_pack_int (p, l->waiting);
  msgpack_pack_int (p, l->is_known ? l->slots : 0);
  msgpack_pack_int (p, l->has_slowness ? l->slowness : 0);
  msgpack_pack_double (p, l->age_ms);
}

static void
pack_str (msgpack_packer *p, BjStr s)
{
  msgpack_pack_bin (p, s.len);
  msgpack_pack_bin_body (p, s.len > 0 ? s.data : "", s.len);
}

static void
pack_offset (msgpack_packer *p, const BjFrame *f)
{
  if (f->offset > 0)
    msgpack_pack_uint64 (p, f->offset);
}

static int
field_count (const BjFrame *f)
{
  static const int counts[BJ_FRAME_KINDS] = {
    [BJ_FRAME_HELLO] = 4,       [BJ_FRAME_CALL] = 22,  [BJ_FRAME_ANSWER] = 23,
    [BJ_FRAME_DATA] = 1,        [BJ_FRAME_END] = 3,    [BJ_FRAME_WINDOW] = 1,
    [BJ_FRAME_NOTICE] = 3,      [BJ_FRAME_CONFIG] = 1, [BJ_FRAME_CONFIG_REQUEST] = 1,
    [BJ_FRAME_CONFIG_PART] = 3, [BJ_FRAME_PING] = 3,
  };

  bool has_usage = (f->kind == BJ_FRAME_PING || f->kind == BJ_FRAME_PONG) && f->data.len > 0;
  bool has_offset = (f->kind == BJ_FRAME_DATA || f->kind == BJ_FRAME_WINDOW) && f->offset > 0;

  return counts[f->kind] + has_usage + has_offset;
}

static void
read_fields (BjFields *in, BjFrame *f)
{
  switch (f->kind)
    {
    case BJ_FRAME_HELLO:
      f->protocol = (int)bj_field_int (in, 0, INT_MAX);
      f->name = bj_field_bytes (in);
      f->start = bj_field_uint (in, UINT64_MAX);
      f->data = bj_field_bytes (in);
      break;
    case BJ_FRAME_CALL:
      read_call (in, f);
      break;
    case BJ_FRAME_ANSWER:
      read_answer (in, f);
      break;
    case BJ_FRAME_DATA:
      f->data = bj_field_bytes (in);
      read_offset (in, f);
      break;
    case BJ_FRAME_CONFIG:
      f->data = bj_field_bytes (in);
      break;
    case BJ_FRAME_CONFIG_REQUEST:
      f->takes_parts = in->n_left > 0 && bj_field_bool (in);
      break;
    case BJ_FRAME_CONFIG_PART:
      f->length = bj_field_uint (in, BJ_CONFIG_MAX);
      f->offset = bj_field_uint (in, BJ_CONFIG_MAX);
      f->data = bj_field_bytes (in);
      break;
    case BJ_FRAME_END:
      f->is_complete = bj_field_bool (in);
      f->length = bj_field_uint (in, UINT64_MAX);
      f->hash = bj_field_uint (in, UINT64_MAX);
      break;
    case BJ_FRAME_WINDOW:
      f->length = bj_field_uint (in, UINT64_MAX);
      read_offset (in, f);
      break;
    case BJ_FRAME_PING:
      read_upstream (in, &f->upstream);
      read_usage (in, f);
      break;
    case BJ_FRAME_PONG:
      read_usage (in, f);
      break;
    case BJ_FRAME_NOTICE:
      f->notice.fingerprint = bj_field_uint (in, UINT64_MAX);
      f->notice.state = read_suspicion (in);
      f->notice.lifetime_ms = bj_field_double (in);
      break;
    default:
      break;
    }
}

static void
read_call (BjFields *in, BjFrame *f)
{
  BjRequest *r = &f->request;

  f->name = bj_field_bytes (in);
  f->expected_incarnation = bj_field_uint (in, UINT64_MAX);
  r->method = bj_field_bytes (in);
  r->path = bj_field_bytes (in);
  r->host = bj_field_bytes (in);
  r->id = bj_field_bytes (in);
  r->key = bj_field_bytes (in);
  r->content_type = bj_field_bytes (in);
  r->headers = bj_field_bytes (in);
  r->body = bj_field_bytes (in);
  r->klass = (int)bj_field_int (in, -1, BJ_CLASSES - 1);
  r->deadline_ms = bj_field_double (in);
  r->attempts_left = (int)bj_field_int (in, -1, INT_MAX);
  r->depth = (int)bj_field_int (in, 0, INT_MAX);
  r->cohort = (uint32_t)bj_field_uint (in, UINT32_MAX);
  r->has_cohort = true;
  r->irreversible = bj_field_bool (in);
  r->objective_ms = bj_field_double (in);
  read_upstream (in, &f->upstream);
  // Daemons of earlier versions send no account.
  if (in->n_left == 0)
    return;
  r->hides_account = bj_field_bool (in);
  r->account = bj_field_bytes (in);
}

static void
read_answer (BjFields *in, BjFrame *f)
{
  BjAnswer *a = &f->answer;

  a->code = (BjStatus)bj_field_int (in, 0, BJ_CODES_MAX - 1);
  a->outcome = (BjOutcome)bj_field_int (in, BJ_DONE, BJ_UNKNOWN);
  a->http_status = (int)bj_field_int (in, 100, 599);
  a->failed = bj_field_bool (in);
  a->retry_after_ms = bj_field_double (in);
  a->attempts_left = (int)bj_field_int (in, -1, INT_MAX);
  a->level = (int)bj_field_int (in, 0, INT_MAX);
  a->load.limit = (int)bj_field_int (in, 0, INT_MAX);
  a->load.in_flight = (int)bj_field_int (in, 0, INT_MAX);
  a->load.queued = (int)bj_field_int (in, 0, INT_MAX);
  a->load.failure_permille = (int)bj_field_int (in, 0, BJ_FAILURE_RATE_SCALE);
  a->makes_calls = bj_field_bool (in);
  a->content_type = bj_field_bytes (in);
  a->headers = bj_field_bytes (in);
  a->length = bj_field_int (in, -1, INT64_MAX);
  read_upstream (in, &a->upstream);
  read_upstream_load (in, &a->upstream_load);
}

// Daemons of earlier versions send no such fields.
static void
read_upstream (BjFields *in, BjUpstreamState *s)
{
  if (in->n_left == 0)
    return;
  s->start = bj_field_uint (in, UINT64_MAX);
  s->is_leaving = bj_field_bool (in);
  s->rate = bj_field_double (in);
  s->has_rate = s->rate >= 0 && s->rate <= BJ_RATE_MAX;
}

// Daemons of earlier versions send no such fields. 0 slots stand for no report, a slowness of 0 for
// a report without one.
static void
read_upstream_load (BjFields *in, BjUpstreamLoad *l)
{
  if (in->n_left == 0)
    return;
  l->running = (int)bj_field_int (in, 0, BJ_UPSTREAM_CALLS_MAX);
  l->waiting = (int)bj_field_int (in, 0, BJ_UPSTREAM_CALLS_MAX);
  l->slots = (int)bj_field_int (in, 0, BJ_UPSTREAM_CALLS_MAX);
  l->slowness = (int)bj_field_int (in, 0, BJ_SLOWNESS_MAX);
  l->age_ms = bj_field_double (in);
  l->age_ms = MAX (0, l->age_ms);
  l->is_known = l->slots > 0;
  l->has_slowness = l->is_known && l->slowness > 0;
}

// Daemons of earlier versions send no such field.
static void
read_usage (BjFields *in, BjFrame *f)
{
  if (in->n_left > 0)
    f->data = bj_field_bytes (in);
}

// The same.
static void
read_offset (BjFields *in, BjFrame *f)
{
  if (in->n_left > 0)
    f->offset = bj_field_uint (in, UINT64_MAX);
}

static BjSuspicion
read_suspicion (BjFields *in)
{
  int64_t value = bj_field_int (in, INT64_MIN, INT64_MAX);

  return (BjSuspicion)CLAMP (value, BJ_CLEAR, BJ_QUARANTINED);
}
