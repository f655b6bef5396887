// Roster: the member table, the precedence of updates, the digest and the replay windows of
// datagram sequences.

#include "swim.h"
#include <string.h>
#include <xxhash.h>

#define WINDOW_BITS 64 // sequences in the replay window

static void update_digest_share (BjRoster *r, BjMember *m);
static int bucket_index (BjStr name);
static void remove_at (BjRoster *r, guint i);

void
bj_roster_init (BjRoster *r)
{
  r->by_name = g_hash_table_new (bj_str_key_hash, bj_str_key_equal);
  r->all = g_ptr_array_new ();
}

void
bj_roster_clear (BjRoster *r)
{
  while (r->all->len > 0)
    remove_at (r, r->all->len - 1);
  g_hash_table_destroy (r->by_name);
  g_ptr_array_free (r->all, TRUE);
}

BjMember *
bj_roster_find (const BjRoster *r, BjStr name)
{
  return g_hash_table_lookup (r->by_name, &name);
}

BjMember *
bj_roster_add (BjRoster *r, BjTime now, const BjUpdate *u)
{
  BjMember *m = g_new0 (BjMember, 1);

  bj_peer_report_copy (&m->report, &u->report);
  m->instance = u->instance;
  m->state = u->state;
  m->state_since = now;
  g_hash_table_insert (r->by_name, &m->report.name, m);
  g_ptr_array_add (r->all, m);
  bj_roster_update_digest (r, now, m);
  return m;
}

void
bj_roster_set (BjRoster *r, BjTime now, BjMember *m, const BjUpdate *u)
{
  // The hash table key points to the name, so the string is kept.
  BjStr name = m->report.name;

  if (u->report.incarnation != m->report.incarnation || u->instance != m->instance)
    {
      m->sequence = 0;
      m->replay_window = 0;
    }
  if (m->state != u->state)
    m->state_since = now;
  if (u->kind == BJ_UPDATE_FULL)
    {
      m->report.name = bj_str_dup (name);
      bj_peer_report_copy (&m->report, &u->report);
      bj_str_free (&m->report.name);
      m->report.name = name;
      m->instance = u->instance;
    }
  m->report.version = u->report.version;
  m->state = u->state;
  bj_roster_update_digest (r, now, m);
}

void
bj_roster_update_digest (BjRoster *r, BjTime now, BjMember *m)
{
  r->changed = now;
  update_digest_share (r, m);
}

void
bj_roster_evict (BjRoster *r, BjTime now, BjTime dead_ms, BjTime left_ms)
{
  for (guint i = r->all->len; i > 0; i--)
    {
      BjMember *m = r->all->pdata[i - 1];
      BjTime age = now - m->state_since;

      if ((m->state == BJ_MEMBER_DEAD && age > dead_ms)
          || (m->state == BJ_MEMBER_LEFT && !m->is_self && age > left_ms))
        remove_at (r, i - 1);
    }
}

int
bj_roster_compare (const BjUpdate *u, const BjMember *m)
{
  const BjPeerReport *a = &u->report;
  const BjPeerReport *b = &m->report;

  if (a->incarnation != b->incarnation)
    return a->incarnation > b->incarnation ? 1 : -1;
  if (u->instance != m->instance)
    return u->instance > m->instance ? 1 : -1;
  if (a->version != b->version)
    return a->version > b->version ? 1 : -1;
  return (int)u->state - (int)m->state;
}

bool
bj_roster_accept_sequence (BjMember *m, uint64_t sequence)
{
  uint64_t behind;

  if (sequence > m->sequence)
    {
      uint64_t ahead = sequence - m->sequence;

      m->replay_window = ahead < WINDOW_BITS ? m->replay_window << ahead | 1 : 1;
      m->sequence = sequence;
      return true;
    }
  behind = m->sequence - sequence;
  if (behind >= WINDOW_BITS || (m->replay_window >> behind & 1) != 0)
    return false;
  m->replay_window |= UINT64_C (1) << behind;
  return true;
}

uint64_t
bj_roster_digest (const BjRoster *r)
{
  return XXH64 (r->buckets, sizeof r->buckets, 0);
}

bool
bj_member_is_up (const BjMember *m)
{
  return m->state == BJ_MEMBER_ALIVE || m->state == BJ_MEMBER_SUSPECT;
}

int
bj_member_bucket (const BjMember *m)
{
  return bucket_index (m->report.name);
}

BjUpdate
bj_member_update (const BjMember *m, BjUpdateKind k)
{
  return (BjUpdate){ .kind = k, .state = m->state, .instance = m->instance, .report = m->report };
}

// Only members that are up count in the digest. A suspicion does not change it, as it may still be
// refuted.
static void
update_digest_share (BjRoster *r, BjMember *m)
{
  uint64_t parts[]
      = { bj_str_hash (m->report.name), m->report.incarnation, m->instance, m->report.version };
  uint64_t share = bj_member_is_up (m) ? XXH64 (parts, sizeof parts, 0) : 0;

  r->buckets[bucket_index (m->report.name)] ^= m->digest_share ^ share;
  r->n_up += (share != 0) - (m->digest_share != 0);
  m->digest_share = share;
}

static int
bucket_index (BjStr name)
{
  return (int)(bj_str_hash (name) % BJ_DIGEST_BUCKETS);
}

static void
remove_at (BjRoster *r, guint i)
{
  BjMember *m = r->all->pdata[i];

  r->buckets[bucket_index (m->report.name)] ^= m->digest_share;
  r->n_up -= m->digest_share != 0;
  g_ptr_array_remove_index_fast (r->all, i);
  g_hash_table_remove (r->by_name, &m->report.name);
  bj_peer_report_clear (&m->report);
  g_free (m);
}
