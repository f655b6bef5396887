// Spread: which news goes into which datagram, and how often. State news goes everywhere, load
// only within the failure domain and only into the room that is left.

#include "swim.h"
#include <math.h>

#define DATAGRAM_BYTES 600      // of a probe with its news
#define NEWS_BYTES 1200         // of a datagram with news only
#define HEAD_BYTES 96           // of a datagram without updates, at most
#define NEWS_FACTOR 2           // datagrams that tell of one change, times ln of the members
#define NEWS_BYTES_PER_MS 3.0   // earned for news between probes
#define NEWS_BURST 60000.0      // bytes kept for news between probes
#define NEWS_LITTLE 2           // datagrams that tell of a record from a comparison
#define FANOUT_FAR 16           // of other domains told at once of an own change
#define PICK_TRIES 16           // at random before all are looked at
#define SYNC_BYTES_PER_MS 3.0   // earned for anti-entropy
#define SYNC_BYTES_MAX 120000.0 // kept for anti-entropy

static size_t add_updates (BjSwim *s, BjDatagram *d, const BjMember *to, size_t room);
static BjMember *most_urgent (const BjSwim *s, const BjDatagram *d, const BjMember *to, bool load);
static bool has_update (const BjDatagram *d, BjStr name);
static BjUpdateKind kind_of (const BjMember *m);
static void send_news (BjSwim *s, const BjMember *to);

void
bj_spread_send (BjSwim *s, BjDatagram *d, const BjMember *to, BjStr host, int port)
{
  size_t room = d->kind == BJ_DATAGRAM_NEWS ? NEWS_BYTES : DATAGRAM_BYTES;
  bool tells = d->kind != BJ_DATAGRAM_DIGEST && d->kind != BJ_DATAGRAM_STALE
               && d->kind != BJ_DATAGRAM_RECORDS;

  d->sequence = ++s->sequence;
  d->to_host = host;
  d->to_port = port;
  d->self = bj_member_update (s->self, BJ_UPDATE_FULL);
  d->digest = bj_roster_digest (&s->roster);
  if (tells && d->kind == BJ_DATAGRAM_NEWS)
    s->news_bytes -= (double)add_updates (s, d, to, room);
  else if (tells)
    add_updates (s, d, to, room);
  s->host->ops->send (s->host, d);
}

void
bj_spread_news (BjSwim *s, BjMember *m)
{
  m->news_left = (int)ceil (NEWS_FACTOR * log (s->roster.n_up + 2));
}

void
bj_spread_little (BjMember *m)
{
  m->news_left = MAX (m->news_left, NEWS_LITTLE);
}

void
bj_spread_tick (BjSwim *s, BjTime now)
{
  BjTime passed = now - s->last_tick;
  bool urgent = false;

  s->sync_bytes = MIN (SYNC_BYTES_MAX, s->sync_bytes + passed * SYNC_BYTES_PER_MS);
  s->news_bytes = MIN (NEWS_BURST, s->news_bytes + passed * NEWS_BYTES_PER_MS);
  for (guint i = 0; i < s->roster.all->len && !urgent; i++)
    urgent = ((BjMember *)s->roster.all->pdata[i])->news_left > 0;
  if (!urgent || s->news_bytes <= 0)
    return;
  send_news (s, bj_swim_pick (s, bj_swim_is_near));
  send_news (s, bj_swim_pick (s, bj_swim_is_far));
}

void
bj_spread_at_once (BjSwim *s)
{
  bj_spread_news (s, s->self);
  for (guint i = 0; i < s->roster.all->len; i++)
    if (bj_swim_is_near (s, s->roster.all->pdata[i]))
      send_news (s, s->roster.all->pdata[i]);
  for (int i = 0; i < FANOUT_FAR; i++)
    send_news (s, bj_swim_pick (s, bj_swim_is_far));
}

void
bj_spread_records (BjSwim *s, const BjMember *to, uint64_t buckets, uint64_t wanted)
{
  BjDatagram d = { .kind = BJ_DATAGRAM_RECORDS, .wanted = wanted };
  guint n = s->roster.all->len;
  guint first = n > 0 ? (guint)g_rand_int_range (s->rand, 0, (gint32)n) : 0;
  size_t size = HEAD_BYTES;

  for (guint i = 0; i < n && s->sync_bytes > 0; i++)
    {
      const BjMember *m = s->roster.all->pdata[(first + i) % n];
      BjUpdate u = bj_member_update (m, BJ_UPDATE_FULL);

      if (m->is_self || (buckets >> bj_member_bucket (m) & 1) == 0)
        continue;
      if (size + bj_update_size (&u) > NEWS_BYTES)
        {
          bj_spread_send (s, &d, to, to->report.gossip_host, to->report.gossip_port);
          s->sync_bytes -= (double)size;
          d = (BjDatagram){ .kind = BJ_DATAGRAM_RECORDS };
          size = HEAD_BYTES;
        }
      d.updates[d.n_updates++] = u;
      size += bj_update_size (&u);
    }
  if (d.n_updates > 0 || d.wanted != 0)
    bj_spread_send (s, &d, to, to->report.gossip_host, to->report.gossip_port);
}

BjMember *
bj_swim_pick (BjSwim *s, bool (*wanted) (const BjSwim *s, const BjMember *m))
{
  guint n = s->roster.all->len;
  guint first;

  for (int i = 0; i < PICK_TRIES; i++)
    {
      BjMember *m = s->roster.all->pdata[g_rand_int_range (s->rand, 0, (gint32)n)];

      if (wanted (s, m))
        return m;
    }
  first = (guint)g_rand_int_range (s->rand, 0, (gint32)n);
  for (guint i = 0; i < n; i++)
    if (wanted (s, s->roster.all->pdata[(first + i) % n]))
      return s->roster.all->pdata[(first + i) % n];
  return NULL;
}

bool
bj_swim_is_near (const BjSwim *s, const BjMember *m)
{
  return bj_swim_is_other (s, m) && bj_str_equal (m->report.domain, s->self->report.domain);
}

bool
bj_swim_is_far (const BjSwim *s, const BjMember *m)
{
  return bj_swim_is_other (s, m) && !bj_str_equal (m->report.domain, s->self->report.domain);
}

bool
bj_swim_is_other (const BjSwim *s, const BjMember *m)
{
  (void)s;
  return !m->is_self && bj_member_is_up (m);
}

// The receiver's own trouble goes first, so that it can refute; then state news, then load.
static size_t
add_updates (BjSwim *s, BjDatagram *d, const BjMember *to, size_t room)
{
  size_t size = HEAD_BYTES + bj_update_size (&d->self);
  bool near = to != NULL && bj_str_equal (to->report.domain, s->self->report.domain);

  for (int i = 0; i < d->n_updates; i++)
    size += bj_update_size (&d->updates[i]);
  if (to != NULL && to->state != BJ_MEMBER_ALIVE && !has_update (d, to->report.name)
      && d->n_updates < BJ_UPDATES_MAX)
    {
      d->updates[d->n_updates] = bj_member_update (to, BJ_UPDATE_STATE);
      size += bj_update_size (&d->updates[d->n_updates++]);
    }
  for (int load = 0; load <= (near ? 1 : 0); load++)
    while (d->n_updates < BJ_UPDATES_MAX)
      {
        BjMember *m = most_urgent (s, d, to, load != 0);
        BjUpdate u;

        if (m == NULL)
          break;
        u = bj_member_update (m, load != 0 ? BJ_UPDATE_LOAD : kind_of (m));
        if (size + bj_update_size (&u) > room)
          break;
        size += bj_update_size (&u);
        d->updates[d->n_updates++] = u;
        if (load != 0)
          m->load_left--;
        else
          m->news_left--;
      }
  if (s->self->news_left > 0)
    s->self->news_left--;
  return size;
}

static BjMember *
most_urgent (const BjSwim *s, const BjDatagram *d, const BjMember *to, bool load)
{
  BjMember *best = NULL;
  int most = 0;

  for (guint i = 0; i < s->roster.all->len; i++)
    {
      BjMember *m = s->roster.all->pdata[i];
      int left = load ? m->load_left : m->news_left;

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
kind_of (const BjMember *m)
{
  return m->state == BJ_MEMBER_ALIVE ? BJ_UPDATE_FULL : BJ_UPDATE_STATE;
}

static void
send_news (BjSwim *s, const BjMember *to)
{
  BjDatagram d = { .kind = BJ_DATAGRAM_NEWS };

  if (to != NULL)
    bj_spread_send (s, &d, to, to->report.gossip_host, to->report.gossip_port);
}
