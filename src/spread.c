// Spread: selects the member updates for each datagram and limits how often each is sent. State
// updates go to all domains; load updates only within the failure domain, in the space left over.

#include "swim.h"
#include <math.h>

#define PROBE_BYTES_MAX 600        // of a ping, ping request or acknowledgement with updates
#define UPDATES_BYTES_MAX 1200     // of a datagram with updates or records only
#define HEADER_BYTES_MAX 96        // of a datagram without updates
#define RETRANSMIT_FACTOR 2        // datagrams per changed state = factor * ln (members up + 2)
#define UPDATE_BYTES_PER_MS 3.0    // average rate of update datagrams between probes
#define UPDATE_BURST_BYTES 60000.0 // limit of the unused budget for update datagrams
#define RECORD_DATAGRAMS 2         // datagrams that pass on a record received by anti-entropy
#define OTHER_DOMAIN_FANOUT 16     // members of other domains sent a drain or stop update at once
#define PICK_TRIES 16              // random picks before a linear search
#define SYNC_BYTES_PER_MS 3.0      // average rate of anti-entropy
#define SYNC_BURST_BYTES 120000.0  // limit of the unused budget for anti-entropy

static size_t add_updates (BjSwim *s, BjDatagram *d, const BjMember *to, size_t room);
static BjMember *
most_updates_left (const BjSwim *s, const BjDatagram *d, const BjMember *to, bool load);
static bool has_update (const BjDatagram *d, BjStr name);
static BjUpdateKind update_kind (const BjMember *m);
static void send_updates (BjSwim *s, const BjMember *to);

void
bj_spread_send (BjSwim *s, BjDatagram *d, const BjMember *to, BjStr host, int port)
{
  size_t room = d->kind == BJ_DATAGRAM_UPDATES ? UPDATES_BYTES_MAX : PROBE_BYTES_MAX;
  bool carries_updates = d->kind != BJ_DATAGRAM_DIGEST && d->kind != BJ_DATAGRAM_STALE
                         && d->kind != BJ_DATAGRAM_RECORDS;

  d->sequence = ++s->sequence;
  d->to_host = host;
  d->to_port = port;
  d->self = bj_member_update (s->self, BJ_UPDATE_FULL);
  d->digest = bj_roster_digest (&s->roster);
  if (carries_updates && d->kind == BJ_DATAGRAM_UPDATES)
    s->update_budget_bytes -= (double)add_updates (s, d, to, room);
  else if (carries_updates)
    add_updates (s, d, to, room);
  s->host->ops->send (s->host, d);
}

void
bj_spread_queue (BjSwim *s, BjMember *m)
{
  m->updates_left = (int)ceil (RETRANSMIT_FACTOR * log (s->roster.n_up + 2));
}

void
bj_spread_queue_known (BjMember *m)
{
  m->updates_left = MAX (m->updates_left, RECORD_DATAGRAMS);
}

void
bj_spread_tick (BjSwim *s, BjTime now)
{
  BjTime elapsed = now - s->last_tick;
  bool is_pending = false;

  s->sync_budget_bytes = MIN (SYNC_BURST_BYTES, s->sync_budget_bytes + elapsed * SYNC_BYTES_PER_MS);
  s->update_budget_bytes
      = MIN (UPDATE_BURST_BYTES, s->update_budget_bytes + elapsed * UPDATE_BYTES_PER_MS);
  for (guint i = 0; i < s->roster.all->len && !is_pending; i++)
    is_pending = ((BjMember *)s->roster.all->pdata[i])->updates_left > 0;
  if (!is_pending || s->update_budget_bytes <= 0)
    return;
  send_updates (s, bj_swim_pick (s, bj_swim_is_in_own_domain));
  send_updates (s, bj_swim_pick (s, bj_swim_is_in_other_domain));
}

void
bj_spread_self (BjSwim *s)
{
  bj_spread_queue (s, s->self);
  for (guint i = 0; i < s->roster.all->len; i++)
    if (bj_swim_is_in_own_domain (s, s->roster.all->pdata[i]))
      send_updates (s, s->roster.all->pdata[i]);
  for (int i = 0; i < OTHER_DOMAIN_FANOUT; i++)
    send_updates (s, bj_swim_pick (s, bj_swim_is_in_other_domain));
}

void
bj_spread_send_records (BjSwim *s, const BjMember *to, uint64_t buckets, uint64_t wanted_buckets)
{
  BjDatagram d = { .kind = BJ_DATAGRAM_RECORDS, .wanted_buckets = wanted_buckets };
  guint n = s->roster.all->len;
  guint first = n > 0 ? (guint)g_rand_int_range (s->rand, 0, (gint32)n) : 0;
  size_t size = HEADER_BYTES_MAX;

  for (guint i = 0; i < n && s->sync_budget_bytes > 0; i++)
    {
      const BjMember *m = s->roster.all->pdata[(first + i) % n];
      BjUpdate u = bj_member_update (m, BJ_UPDATE_FULL);

      if (m->is_self || (buckets >> bj_member_bucket (m) & 1) == 0)
        continue;
      if (size + bj_update_size (&u) > UPDATES_BYTES_MAX)
        {
          bj_spread_send (s, &d, to, to->report.gossip_host, to->report.gossip_port);
          s->sync_budget_bytes -= (double)size;
          d = (BjDatagram){ .kind = BJ_DATAGRAM_RECORDS };
          size = HEADER_BYTES_MAX;
        }
      d.updates[d.n_updates++] = u;
      size += bj_update_size (&u);
    }
  if (d.n_updates > 0 || d.wanted_buckets != 0)
    bj_spread_send (s, &d, to, to->report.gossip_host, to->report.gossip_port);
}

BjMember *
bj_swim_pick (BjSwim *s, bool (*is_candidate) (const BjSwim *s, const BjMember *m))
{
  guint n = s->roster.all->len;
  guint first;

  for (int i = 0; i < PICK_TRIES; i++)
    {
      BjMember *m = s->roster.all->pdata[g_rand_int_range (s->rand, 0, (gint32)n)];

      if (is_candidate (s, m))
        return m;
    }
  first = (guint)g_rand_int_range (s->rand, 0, (gint32)n);
  for (guint i = 0; i < n; i++)
    if (is_candidate (s, s->roster.all->pdata[(first + i) % n]))
      return s->roster.all->pdata[(first + i) % n];
  return NULL;
}

bool
bj_swim_is_in_own_domain (const BjSwim *s, const BjMember *m)
{
  return bj_swim_is_other (s, m) && bj_str_equal (m->report.domain, s->self->report.domain);
}

bool
bj_swim_is_in_other_domain (const BjSwim *s, const BjMember *m)
{
  return bj_swim_is_other (s, m) && !bj_str_equal (m->report.domain, s->self->report.domain);
}

bool
bj_swim_is_other (const BjSwim *s, const BjMember *m)
{
  (void)s;
  return !m->is_self && bj_member_is_up (m);
}

// Adds first a suspicion or death of the receiver, so that it can refute that, then state updates,
// then load updates. Returns the size of the datagram in bytes.
static size_t
add_updates (BjSwim *s, BjDatagram *d, const BjMember *to, size_t room)
{
  size_t size = HEADER_BYTES_MAX + bj_update_size (&d->self);
  bool is_in_own_domain = to != NULL && bj_str_equal (to->report.domain, s->self->report.domain);

  for (int i = 0; i < d->n_updates; i++)
    size += bj_update_size (&d->updates[i]);
  if (to != NULL && to->state != BJ_MEMBER_ALIVE && !has_update (d, to->report.name)
      && d->n_updates < BJ_UPDATES_MAX)
    {
      d->updates[d->n_updates] = bj_member_update (to, BJ_UPDATE_STATE);
      size += bj_update_size (&d->updates[d->n_updates++]);
    }
  for (int load = 0; load <= (is_in_own_domain ? 1 : 0); load++)
    while (d->n_updates < BJ_UPDATES_MAX)
      {
        BjMember *m = most_updates_left (s, d, to, load != 0);
        BjUpdate u;

        if (m == NULL)
          break;
        u = bj_member_update (m, load != 0 ? BJ_UPDATE_LOAD : update_kind (m));
        if (size + bj_update_size (&u) > room)
          break;
        size += bj_update_size (&u);
        d->updates[d->n_updates++] = u;
        if (load != 0)
          m->load_updates_left--;
        else
          m->updates_left--;
      }
  if (s->self->updates_left > 0)
    s->self->updates_left--;
  return size;
}

static BjMember *
most_updates_left (const BjSwim *s, const BjDatagram *d, const BjMember *to, bool load)
{
  BjMember *best = NULL;
  int most = 0;

  for (guint i = 0; i < s->roster.all->len; i++)
    {
      BjMember *m = s->roster.all->pdata[i];
      int left = load ? m->load_updates_left : m->updates_left;

      if (left <= most || m->is_self || m == to || has_update (d, m->report.name))
        continue;
      best = m;
      most = left;
    }
  return best;
}

static bool
has_update (const BjDatagram *d, BjStr name)
{
  for (int i = 0; i < d->n_updates; i++)
    if (bj_str_equal (d->updates[i].report.name, name))
      return true;
  return false;
}

static BjUpdateKind
update_kind (const BjMember *m)
{
  return m->state == BJ_MEMBER_ALIVE ? BJ_UPDATE_FULL : BJ_UPDATE_STATE;
}

static void
send_updates (BjSwim *s, const BjMember *to)
{
  BjDatagram d = { .kind = BJ_DATAGRAM_UPDATES };

  if (to != NULL)
    bj_spread_send (s, &d, to, to->report.gossip_host, to->report.gossip_port);
}
