// Datagram: encodes and decodes the gossip messages that daemons exchange over UDP, msgpack arrays.

#include "internal.h"
#include <arpa/inet.h>

#define DATAGRAM_FIELDS 11 // fields of a datagram
#define FULL_FIELDS 22     // fields of a full update
#define STATE_FIELDS 6     // of a state update
#define LOAD_FIELDS 9      // of a load update
#define PORT_MAX 65535
#define LOAD_MAX 1000000000  // largest value of a load field
#define ARRAY_HEADER_BYTES 3 // largest msgpack array header
#define BIN_HEADER_BYTES 2   // msgpack header of a string

static void pack_update (msgpack_packer *p, const BjUpdate *u);
static void pack_full (msgpack_packer *p, const BjUpdate *u);
static void pack_str (msgpack_packer *p, BjStr s);
static bool open_array (const msgpack_object *o, uint32_t n, BjFields *in);
static void read_update (const msgpack_object *o, BjUpdate *u, bool *failed);
static void read_full (BjFields *in, BjUpdate *u);
static void read_load (BjFields *in, BjPeerReport *r);
static BjStr read_str (BjFields *in, size_t min);
static BjStr read_ip (BjFields *in);
static size_t uint_size (uint64_t n);

void
bj_datagram_encode (msgpack_sbuffer *out, const BjDatagram *d)
{
  msgpack_packer p;
  int n_buckets = d->kind == BJ_DATAGRAM_DIGEST ? BJ_DIGEST_BUCKETS : 0;

  msgpack_packer_init (&p, out, msgpack_sbuffer_write);
  msgpack_pack_array (&p, DATAGRAM_FIELDS);
  msgpack_pack_int (&p, BJ_PROTOCOL_VERSION);
  msgpack_pack_int (&p, d->kind);
  msgpack_pack_uint64 (&p, d->sequence);
  pack_str (&p, d->to_host);
  msgpack_pack_int (&p, d->to_port);
  msgpack_pack_uint64 (&p, d->ack_sequence);
  pack_str (&p, d->target);
  msgpack_pack_uint64 (&p, d->digest);
  msgpack_pack_uint64 (&p, d->wanted_buckets);
  msgpack_pack_array (&p, (size_t)n_buckets);
  for (int i = 0; i < n_buckets; i++)
    msgpack_pack_uint64 (&p, d->buckets[i]);
  msgpack_pack_array (&p, (size_t)d->n_updates + 1);
  pack_update (&p, &d->self);
  for (int i = 0; i < d->n_updates; i++)
    pack_update (&p, &d->updates[i]);
}

BjStatus
bj_datagram_decode (BjStr bytes, msgpack_unpacked *unpacked, BjDatagram *d)
{
  size_t at = 0;
  BjFields in;
  BjFields buckets;
  const msgpack_object *o;
  bool failed = false;

  if (!bj_msgpack_is_bounded (bytes)
      || msgpack_unpack_next (unpacked, bytes.data, bytes.len, &at) != MSGPACK_UNPACK_SUCCESS
      || at != bytes.len || !open_array (&unpacked->data, DATAGRAM_FIELDS, &in))
    return bj_fail (
        BJ_E_FORMAT, "Datagram rejected: it is not an array of %d fields.", DATAGRAM_FIELDS);
  if (bj_field_uint (&in, UINT64_MAX) != BJ_PROTOCOL_VERSION || in.failed)
    return bj_fail (BJ_E_FORMAT,
                    "Datagram rejected: it does not have protocol version %d.",
                    BJ_PROTOCOL_VERSION);
  d->kind = (BjDatagramKind)bj_field_uint (&in, BJ_DATAGRAM_KINDS - 1);
  d->sequence = bj_field_uint (&in, UINT64_MAX);
  d->to_host = read_ip (&in);
  d->to_port = (int)bj_field_uint (&in, PORT_MAX);
  d->ack_sequence = bj_field_uint (&in, UINT64_MAX);
  d->target = read_str (&in, 0);
  d->digest = bj_field_uint (&in, UINT64_MAX);
  d->wanted_buckets = bj_field_uint (&in, UINT64_MAX);
  o = bj_field_next (&in, MSGPACK_OBJECT_ARRAY);
  if (o != NULL && o->via.array.size > 0)
    {
      in.failed = in.failed || !open_array (o, BJ_DIGEST_BUCKETS, &buckets);
      for (int i = 0; i < BJ_DIGEST_BUCKETS && !in.failed; i++)
        {
          d->buckets[i] = bj_field_uint (&buckets, UINT64_MAX);
          in.failed = buckets.failed;
        }
    }
  in.failed = in.failed || o == NULL || (o->via.array.size > 0) != (d->kind == BJ_DATAGRAM_DIGEST);
  o = bj_field_next (&in, MSGPACK_OBJECT_ARRAY);
  if (in.failed || d->kind == 0 || o->via.array.size == 0 || o->via.array.size > BJ_UPDATES_MAX + 1)
    return bj_fail (BJ_E_FORMAT,
                    "Datagram rejected: a field has the wrong type or is out of range.");
  read_update (&o->via.array.ptr[0], &d->self, &failed);
  d->n_updates = (int)o->via.array.size - 1;
  for (int i = 0; i < d->n_updates && !failed; i++)
    read_update (&o->via.array.ptr[i + 1], &d->updates[i], &failed);
  if (failed || d->self.kind != BJ_UPDATE_FULL)
    return bj_fail (BJ_E_FORMAT, "Datagram rejected: a member update is malformed.");
  return BJ_OK;
}

size_t
bj_update_size (const BjUpdate *u)
{
  const BjPeerReport *r = &u->report;
  BjStr texts[] = { r->domain, r->region, r->service, r->host, r->gossip_host };
  int loads[] = { r->limit, r->in_flight, r->queued, r->level, r->failure_permille };
  size_t n = ARRAY_HEADER_BYTES + 1 + BIN_HEADER_BYTES + r->name.len + uint_size (r->incarnation);

  if (u->kind != BJ_UPDATE_LOAD)
    n += uint_size (u->instance) + uint_size (r->version) + 1;
  if (u->kind == BJ_UPDATE_STATE)
    return n;
  n += uint_size (r->load_version);
  for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
    n += uint_size ((uint64_t)loads[i]);
  if (u->kind == BJ_UPDATE_LOAD)
    return n;
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    n += BIN_HEADER_BYTES + texts[i].len;
  return n + uint_size ((uint64_t)r->link_port) + uint_size ((uint64_t)r->gossip_port)
         + uint_size ((uint64_t)r->config_number) + 2;
}

static void
pack_update (msgpack_packer *p, const BjUpdate *u)
{
  const BjPeerReport *r = &u->report;

  if (u->kind == BJ_UPDATE_FULL)
    {
      pack_full (p, u);
      return;
    }
  msgpack_pack_array (p, u->kind == BJ_UPDATE_STATE ? STATE_FIELDS : LOAD_FIELDS);
  msgpack_pack_int (p, u->kind);
  pack_str (p, r->name);
  msgpack_pack_uint64 (p, r->incarnation);
  if (u->kind == BJ_UPDATE_STATE)
    {
      msgpack_pack_uint64 (p, u->instance);
      msgpack_pack_uint64 (p, r->version);
      msgpack_pack_int (p, u->state);
      return;
    }
  msgpack_pack_uint64 (p, r->load_version);
  msgpack_pack_int (p, r->limit);
  msgpack_pack_int (p, r->in_flight);
  msgpack_pack_int (p, r->queued);
  msgpack_pack_int (p, r->level);
  msgpack_pack_int (p, r->failure_permille);
}

static void
pack_full (msgpack_packer *p, const BjUpdate *u)
{
  const BjPeerReport *r = &u->report;

  msgpack_pack_array (p, FULL_FIELDS);
  msgpack_pack_int (p, u->kind);
  pack_str (p, r->name);
  msgpack_pack_uint64 (p, r->incarnation);
  msgpack_pack_uint64 (p, u->instance);
  msgpack_pack_uint64 (p, r->version);
  msgpack_pack_int (p, u->state);
  pack_str (p, r->domain);
  pack_str (p, r->region);
  pack_str (p, r->service);
  pack_str (p, r->host);
  msgpack_pack_int (p, r->link_port);
  pack_str (p, r->gossip_host);
  msgpack_pack_int (p, r->gossip_port);
  msgpack_pack_uint64 (p, (uint64_t)r->config_number);
  msgpack_pack_int (p, r->store_access);
  r->draining ? msgpack_pack_true (p) : msgpack_pack_false (p);
  msgpack_pack_uint64 (p, r->load_version);
  msgpack_pack_int (p, r->limit);
  msgpack_pack_int (p, r->in_flight);
  msgpack_pack_int (p, r->queued);
  msgpack_pack_int (p, r->level);
  msgpack_pack_int (p, r->failure_permille);
}

static void
pack_str (msgpack_packer *p, BjStr s)
{
  msgpack_pack_bin (p, s.len);
  msgpack_pack_bin_body (p, s.len > 0 ? s.data : "", s.len);
}

static bool
open_array (const msgpack_object *o, uint32_t n, BjFields *in)
{
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != n)
    return false;
  *in = (BjFields){ .next = o->via.array.ptr, .n_left = n };
  return true;
}

static void
read_update (const msgpack_object *o, BjUpdate *u, bool *failed)
{
  static const uint32_t field_counts[BJ_UPDATE_KINDS] = {
    [BJ_UPDATE_FULL] = FULL_FIELDS, [BJ_UPDATE_STATE] = STATE_FIELDS, [BJ_UPDATE_LOAD] = LOAD_FIELDS
  };
  BjFields in = { .failed = true };

  *u = (BjUpdate){ 0 };
  if (o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size > 0)
    open_array (o, o->via.array.size, &in);
  u->kind = (BjUpdateKind)bj_field_uint (&in, BJ_UPDATE_KINDS - 1);
  if (in.failed || u->kind == 0 || o->via.array.size != field_counts[u->kind])
    {
      *failed = true;
      return;
    }
  u->report.name = read_str (&in, 1);
  u->report.incarnation = bj_field_uint (&in, INT64_MAX);
  if (u->kind == BJ_UPDATE_LOAD)
    read_load (&in, &u->report);
  else
    {
      u->instance = (uint32_t)bj_field_uint (&in, UINT32_MAX);
      u->report.version = bj_field_uint (&in, INT64_MAX);
      u->state = (BjMemberState)bj_field_uint (&in, BJ_MEMBER_STATES - 1);
    }
  if (u->kind == BJ_UPDATE_FULL)
    read_full (&in, u);
  *failed = *failed || in.failed;
}

static void
read_full (BjFields *in, BjUpdate *u)
{
  BjPeerReport *r = &u->report;
  const msgpack_object *o;

  r->domain = read_str (in, 1);
  r->region = read_str (in, 1);
  r->service = read_str (in, 0);
  r->host = read_ip (in);
  r->link_port = (int)bj_field_uint (in, PORT_MAX);
  r->gossip_host = read_ip (in);
  r->gossip_port = (int)bj_field_uint (in, PORT_MAX);
  r->config_number = (int64_t)bj_field_uint (in, INT64_MAX);
  r->store_access = (BjStoreAccess)bj_field_uint (in, BJ_STORE_ACCESSES - 1);
  o = bj_field_next (in, MSGPACK_OBJECT_BOOLEAN);
  r->draining = o != NULL && o->via.boolean;
  read_load (in, r);
  in->failed = in->failed || r->link_port == 0 || r->gossip_port == 0;
}

static void
read_load (BjFields *in, BjPeerReport *r)
{
  r->load_version = bj_field_uint (in, INT64_MAX);
  r->limit = (int)bj_field_uint (in, LOAD_MAX);
  r->in_flight = (int)bj_field_uint (in, LOAD_MAX);
  r->queued = (int)bj_field_uint (in, LOAD_MAX);
  r->level = (int)bj_field_uint (in, LOAD_MAX);
  r->failure_permille = (int)bj_field_uint (in, BJ_FAILURE_RATE_SCALE);
}

// The strings are written to log lines and JSON, so control characters are rejected.
static BjStr
read_str (BjFields *in, size_t min)
{
  BjStr s = bj_field_bytes (in);

  if (in->failed)
    return BJ_STR_NULL;
  in->failed = s.len < min || s.len > BJ_MEMBER_NAME_MAX
               || (s.len > 0 && !g_utf8_validate (s.data, (gssize)s.len, NULL));
  for (size_t i = 0; i < s.len && !in->failed; i++)
    in->failed = (unsigned char)s.data[i] < ' ' || s.data[i] == 0x7f;
  return in->failed ? BJ_STR_NULL : s;
}

static BjStr
read_ip (BjFields *in)
{
  BjStr s = read_str (in, 1);
  char text[BJ_MEMBER_NAME_MAX + 1];
  struct in_addr v4;

  if (in->failed)
    return BJ_STR_NULL;
  g_strlcpy (text, s.data, s.len + 1);
  in->failed = inet_pton (AF_INET, text, &v4) != 1;
  return in->failed ? BJ_STR_NULL : s;
}

static size_t
uint_size (uint64_t n)
{
  if (n < 128)
    return 1;
  if (n <= UINT8_MAX)
    return 2;
  if (n <= UINT16_MAX)
    return 3;
  return n <= UINT32_MAX ? 5 : 9;
}
