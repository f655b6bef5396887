// Swim: membership as a state machine without I/O. Members are probed directly and through others,
// suspected before they are declared dead, and may refute that with a higher version.

#include "swim.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define FAR_SHARE 0.25 // probes that go to another failure domain
#define RELAYS 3       // members asked to probe one that does not answer
#define RELAY_TRIES 16 // to find them at random
#define JOIN_MS 5000   // after the start; a predecessor of the same name is replaced silently
#define DEPARTED_EVERY_MS 1000  // between probes of dead members
#define DEPARTED_MS 21600000.0  // a dead member is kept and probed for this long
#define LEFT_MS 60000.0         // a member that left is kept for this long
#define SEED_FIRST_MS 200       // between probes of seeds after the start while nobody is known
#define SEED_JOIN_MS 1000       // the same later
#define SEED_EVERY_MS 10000     // between probes of seeds afterwards
#define SEEDS_AT_ONCE 3         // seeds probed at once while nobody else is known
#define QUIET_MS 1000           // since the last change before a different digest is looked into
#define SYNC_JOIN_MS 500        // between two comparisons while joining
#define SYNC_EVERY_MS 2000      // between two comparisons
#define SYNC_ANYWAY_MS 10000    // between two comparisons while the table keeps changing
#define STALE_EVERY_MS 200      // between two hints to one member
#define CONFLICT_EVERY_MS 10000 // between two log lines on a name claimed twice
#define LOAD_DATAGRAMS 4        // that tell of one change of load
#define FAILING_STEP 100        // of 1000 runs, a change that is told to all domains
#define FAILING_EVERY_MS 500    // between two of these

static void refresh_self (BjSwim *s, BjTime now);
static bool has_new_health (const BjSwim *s, BjTime now);
static void forgive_pause (BjSwim *s, BjTime gap);
static void check_probes (BjSwim *s, BjTime now);
static void ask_relays (BjSwim *s, BjProbe *p, const BjMember *m);
static void start_probe (BjSwim *s, BjTime now);
static BjMember *next_near (BjSwim *s);
static void ping (BjSwim *s, BjTime now, BjMember *m, BjStr asked_by, uint64_t asked_sequence);
static void ping_address (BjSwim *s, const BjAddress *a);
static void end_probe (BjProbe *p);
static void suspect (BjSwim *s, BjTime now, BjMember *m);
static void expire_suspects (BjSwim *s, BjTime now);
static void probe_departed (BjSwim *s, BjTime now);
static void probe_new_seeds (BjSwim *s);
static bool is_alone (const BjSwim *s);
static void probe_seeds (BjSwim *s, BjTime now);
static bool is_departed (const BjSwim *s, const BjMember *m);
static BjSwimVerdict check_sender (BjSwim *s, BjTime now, const BjDatagram *d);
static bool is_for_self (const BjSwim *s, const BjDatagram *d);
static void tell_stale (BjSwim *s, BjTime now, BjMember *m, const BjDatagram *d);
static void apply (BjSwim *s, BjTime now, const BjUpdate *u, bool is_record);
static void apply_load (BjSwim *s, BjMember *m, const BjUpdate *u);
static void set_load (BjPeerReport *to, const BjPeerReport *from);
static void add_member (BjSwim *s, BjTime now, const BjUpdate *u, bool is_record);
static void replace (BjSwim *s, BjTime now, BjMember *m, const BjUpdate *u, bool is_record);
static void spread (BjSwim *s, BjMember *m, bool is_record);
static void apply_self (BjSwim *s, BjTime now, const BjUpdate *u);
static void raise_incarnation (BjSwim *s, BjTime now, uint64_t above);
static void tell_conflict (BjSwim *s, BjTime now, const BjPeerReport *r);
static void handle (BjSwim *s, BjTime now, BjMember *from, const BjDatagram *d);
static void handle_ack (BjSwim *s, BjMember *from, const BjDatagram *d);
static void handle_digest (BjSwim *s, const BjMember *from, const BjDatagram *d);
static void compare_digest (BjSwim *s, BjTime now, const BjMember *from, uint64_t digest);
static void nudge (BjSwim *s, BjTime now, BjMember *m);

static BjCounter n_suspected
    = { "member_suspected_total", "Members that did not answer a probe.", 0 };
static BjCounter n_gone = { "member_gone_total", "Members that died or left.", 0 };
static BjCounter n_refuted = { "member_refuted_total", "Suspicions of this daemon refuted.", 0 };

BjSwim *
bj_swim_new (const BjSwimOptions *o, BjTime now)
{
  BjSwim *s = g_new0 (BjSwim, 1);
  BjUpdate u = { .kind = BJ_UPDATE_FULL, .instance = o->instance, .report = o->self };

  s->host = o->host;
  s->rand = g_rand_new_with_seed (o->seed);
  s->round = g_ptr_array_new_with_free_func (g_free);
  s->seeds = g_new0 (BjAddress, BJ_SWIM_SEEDS_MAX);
  s->started = now;
  s->last_tick = now;
  s->bound = o->bound;
  s->bound.host = bj_str_dup (o->bound.host);
  bj_metric_register (&n_suspected);
  bj_metric_register (&n_gone);
  bj_metric_register (&n_refuted);
  bj_roster_init (&s->roster);
  u.report.version = 1;
  s->self = bj_roster_add (&s->roster, now, &u);
  s->self->is_self = true;
  for (int i = 0; i < o->n_seeds; i++)
    bj_swim_add_seed (s, o->seeds[i].host, o->seeds[i].port);
  return s;
}

void
bj_swim_free (BjSwim *s)
{
  for (int i = 0; i < BJ_SWIM_PROBES_MAX; i++)
    end_probe (&s->probes[i]);
  for (int i = 0; i < s->n_seeds; i++)
    bj_str_free (&s->seeds[i].host);
  bj_str_free (&s->bound.host);
  bj_roster_clear (&s->roster);
  g_ptr_array_free (s->round, TRUE);
  g_free (s->seeds);
  g_rand_free (s->rand);
  g_free (s);
}

void
bj_swim_tick (BjSwim *s, BjTime now)
{
  if (now - s->last_tick > BJ_SWIM_PAUSE_MS)
    forgive_pause (s, now - s->last_tick);
  refresh_self (s, now);
  check_probes (s, now);
  if (now >= s->next_probe)
    start_probe (s, now);
  expire_suspects (s, now);
  bj_spread_tick (s, now);
  if (now >= s->next_departed)
    probe_departed (s, now);
  probe_new_seeds (s);
  if (now >= s->next_seed)
    probe_seeds (s, now);
  bj_roster_forget (&s->roster, now, DEPARTED_MS, LEFT_MS);
  s->last_tick = now;
}

BjSwimVerdict
bj_swim_receive (BjSwim *s, BjTime now, const BjDatagram *d)
{
  BjSwimVerdict v = check_sender (s, now, d);
  BjMember *from;

  if (v != BJ_SWIM_ACCEPTED)
    return v;
  apply (s, now, &d->self, false);
  from = bj_roster_find (&s->roster, d->self.report.name);
  if (from == NULL)
    return BJ_SWIM_ACCEPTED;
  // Marks the sequence where this datagram made the member or its incarnation known.
  bj_roster_is_fresh (from, d->sequence);
  for (int i = 0; i < d->n_updates; i++)
    apply (s, now, &d->updates[i], d->kind == BJ_DATAGRAM_RECORDS);
  handle (s, now, from, d);
  return BJ_SWIM_ACCEPTED;
}

void
bj_swim_leave (BjSwim *s, BjTime now)
{
  if (s->leaving)
    return;
  s->leaving = true;
  s->self->state = BJ_MEMBER_LEFT;
  bj_roster_touch (&s->roster, now, s->self);
  bj_spread_at_once (s);
}

void
bj_swim_add_seed (BjSwim *s, BjStr host, int port)
{
  const BjPeerReport *self = &s->self->report;

  if (bj_str_equal (host, self->gossip_host) && port == self->gossip_port)
    return;
  for (int i = 0; i < s->n_seeds; i++)
    if (port == s->seeds[i].port && bj_str_equal (host, s->seeds[i].host))
      return;
  if (s->n_seeds >= BJ_SWIM_SEEDS_MAX)
    return;
  s->seeds[s->n_seeds++] = (BjAddress){ bj_str_dup (host), port };
}

const BjMember *
bj_swim_find (const BjSwim *s, BjStr name)
{
  return bj_roster_find (&s->roster, name);
}

const BjMember *
bj_swim_member (const BjSwim *s, guint i)
{
  return i < s->roster.all->len ? s->roster.all->pdata[i] : NULL;
}

int
bj_swim_count (const BjSwim *s)
{
  return s->roster.n_up;
}

static void
refresh_self (BjSwim *s, BjTime now)
{
  BjPeerReport *self = &s->self->report;
  BjPeerReport r = *self;
  bool was_draining = self->draining;
  bool has_new_config;

  s->host->ops->refresh (s->host, &r);
  has_new_config = r.config_number != self->config_number;
  if (r.limit != self->limit || r.in_flight != self->in_flight || r.queued != self->queued
      || r.level != self->level || r.failing != self->failing || has_new_config)
    {
      set_load (self, &r);
      self->config_number = r.config_number;
      self->load_version++;
    }
  // The ticket in force rides on the version, so that news are relayed and digests repair it; so
  // does a change of health, as load is told in the own domain only.
  if (bj_str_equal (r.service, self->service) && r.draining == self->draining && !has_new_config
      && !has_new_health (s, now))
    return;
  s->told_failing = self->failing;
  s->told_failing_at = now;
  bj_str_set (&self->service, r.service);
  self->draining = r.draining;
  self->version++;
  bj_roster_touch (&s->roster, now, s->self);
  if (self->draining && !was_draining)
    bj_spread_at_once (s);
  else
    bj_spread_news (s, s->self);
}

static bool
has_new_health (const BjSwim *s, BjTime now)
{
  return abs (s->self->report.failing - s->told_failing) >= FAILING_STEP
         && now - s->told_failing_at >= FAILING_EVERY_MS;
}

// A process that did not run has not seen the answers that came meanwhile.
static void
forgive_pause (BjSwim *s, BjTime gap)
{
  bj_log (BJ_LOG_WARNING, "MEMBER", "This process was paused for %.1f s.", gap / 1000);
  for (int i = 0; i < BJ_SWIM_PROBES_MAX; i++)
    end_probe (&s->probes[i]);
  for (guint i = 0; i < s->roster.all->len; i++)
    {
      BjMember *m = s->roster.all->pdata[i];

      if (m->state == BJ_MEMBER_SUSPECT)
        m->since += gap;
    }
}

static void
check_probes (BjSwim *s, BjTime now)
{
  for (int i = 0; i < BJ_SWIM_PROBES_MAX; i++)
    {
      BjProbe *p = &s->probes[i];
      BjMember *m = p->sequence != 0 ? bj_roster_find (&s->roster, p->target) : NULL;
      bool is_own = p->asked_by.len == 0;

      if (p->sequence == 0)
        continue;
      if (now - p->sent >= BJ_PROBE_LOST_MS || m == NULL)
        {
          if (m != NULL && is_own)
            suspect (s, now, m);
          end_probe (p);
        }
      else if (is_own && !p->is_relayed && now - p->sent >= BJ_PROBE_TIMEOUT_MS)
        ask_relays (s, p, m);
    }
}

static void
ask_relays (BjSwim *s, BjProbe *p, const BjMember *m)
{
  BjDatagram d = { .kind = BJ_DATAGRAM_PING_ASK, .answers = p->sequence, .target = p->target };
  const BjMember *asked[RELAYS] = { NULL };
  int n = 0;

  p->is_relayed = true;
  for (int i = 0; i < RELAY_TRIES && n < RELAYS; i++)
    {
      BjMember *r = bj_swim_pick (s, bj_swim_is_other);

      if (r == m || r == asked[0] || r == asked[1])
        continue;
      asked[n++] = r;
      d.n_updates = 0;
      bj_spread_send (s, &d, r, r->report.gossip_host, r->report.gossip_port);
    }
}

static void
start_probe (BjSwim *s, BjTime now)
{
  bool far = g_rand_double (s->rand) < FAR_SHARE;
  BjMember *m = far ? bj_swim_pick (s, bj_swim_is_far) : next_near (s);

  s->next_probe = now + BJ_PROBE_MS * g_rand_double_range (s->rand, 0.9, 1.1);
  if (m == NULL)
    m = far ? next_near (s) : bj_swim_pick (s, bj_swim_is_far);
  if (m != NULL)
    ping (s, now, m, BJ_STR_NULL, 0);
}

// Goes through the own domain in a random order, so that each member is probed once a round.
static BjMember *
next_near (BjSwim *s)
{
  for (int rounds = 0; rounds < 2; rounds++)
    {
      while (s->round->len > 0)
        {
          char *name = g_ptr_array_steal_index_fast (s->round, s->round->len - 1);
          BjMember *m = bj_roster_find (&s->roster, bj_str (name));

          g_free (name);
          if (m != NULL && bj_swim_is_near (s, m))
            return m;
        }
      for (guint i = 0; i < s->roster.all->len; i++)
        {
          const BjMember *m = s->roster.all->pdata[i];
          gint32 at = g_rand_int_range (s->rand, 0, (gint32)s->round->len + 1);

          if (bj_swim_is_near (s, m))
            g_ptr_array_insert (s->round, at, g_strdup (m->report.name.data));
        }
    }
  return NULL;
}

static void
ping (BjSwim *s, BjTime now, BjMember *m, BjStr asked_by, uint64_t asked_sequence)
{
  BjDatagram d = { .kind = BJ_DATAGRAM_PING };

  bj_spread_send (s, &d, m, m->report.gossip_host, m->report.gossip_port);
  for (int i = 0; i < BJ_SWIM_PROBES_MAX; i++)
    if (s->probes[i].sequence == 0)
      {
        s->probes[i] = (BjProbe){
          .sequence = s->sequence,
          .target = bj_str_dup (m->report.name),
          .asked_by = bj_str_dup (asked_by),
          .asked_sequence = asked_sequence,
          .sent = now,
        };
        return;
      }
}

static void
ping_address (BjSwim *s, const BjAddress *a)
{
  BjDatagram d = { .kind = BJ_DATAGRAM_PING };

  bj_spread_send (s, &d, NULL, a->host, a->port);
}

static void
end_probe (BjProbe *p)
{
  bj_str_free (&p->target);
  bj_str_free (&p->asked_by);
  memset (p, 0, sizeof *p);
}

static void
suspect (BjSwim *s, BjTime now, BjMember *m)
{
  if (m->state != BJ_MEMBER_ALIVE)
    return;
  n_suspected.value++;
  m->state = BJ_MEMBER_SUSPECT;
  m->since = now;
  bj_roster_touch (&s->roster, now, m);
  bj_spread_news (s, m);
  bj_log (BJ_LOG_INFO, "MEMBER", "%.*s does not answer probes.", BJ_STR_ARG (m->report.name));
  nudge (s, now, m);
}

static void
expire_suspects (BjSwim *s, BjTime now)
{
  double wait_ms = MAX (BJ_SUSPECT_MIN_MS, BJ_SUSPECT_MS * log10 (s->roster.n_up + 1));

  for (guint i = 0; i < s->roster.all->len; i++)
    {
      BjMember *m = s->roster.all->pdata[i];
      BjUpdate u = bj_member_update (m, BJ_UPDATE_STATE);

      if (m->state != BJ_MEMBER_SUSPECT || now - m->since < wait_ms)
        continue;
      u.state = BJ_MEMBER_DEAD;
      replace (s, now, m, &u, false);
    }
}

static void
probe_departed (BjSwim *s, BjTime now)
{
  const BjMember *m = bj_swim_pick (s, is_departed);
  BjDatagram d = { .kind = BJ_DATAGRAM_PING };

  s->next_departed = now + DEPARTED_EVERY_MS * g_rand_double_range (s->rand, 0.8, 1.2);
  if (m != NULL)
    bj_spread_send (s, &d, m, m->report.gossip_host, m->report.gossip_port);
}

// Seeds may be named long after the start, by the platform's store.
static void
probe_new_seeds (BjSwim *s)
{
  for (int i = 0; i < SEEDS_AT_ONCE && s->n_seeds_probed < s->n_seeds && !s->leaving; i++)
    ping_address (s, &s->seeds[s->n_seeds_probed++]);
}

static bool
is_alone (const BjSwim *s)
{
  return s->roster.n_up < 2;
}

static void
probe_seeds (BjSwim *s, BjTime now)
{
  double join_ms = now - s->started < JOIN_MS ? SEED_FIRST_MS : SEED_JOIN_MS;

  s->next_seed = now + (is_alone (s) ? join_ms : SEED_EVERY_MS);
  if (s->leaving || s->n_seeds == 0)
    return;
  for (int i = 0; i < (is_alone (s) ? SEEDS_AT_ONCE : 1); i++)
    ping_address (s, &s->seeds[g_rand_int_range (s->rand, 0, s->n_seeds)]);
}

static bool
is_departed (const BjSwim *s, const BjMember *m)
{
  (void)s;
  return m->state == BJ_MEMBER_DEAD;
}

static BjSwimVerdict
check_sender (BjSwim *s, BjTime now, const BjDatagram *d)
{
  const BjPeerReport *r = &d->self.report;
  BjMember *m = bj_roster_find (&s->roster, r->name);
  BjUpdate u = d->self;

  if (!is_for_self (s, d))
    return BJ_SWIM_MISPLACED;
  if (m == s->self)
    {
      if (d->self.instance != m->instance)
        tell_conflict (s, now, r);
      return d->self.instance != m->instance ? BJ_SWIM_CONFLICT : BJ_SWIM_REPLAYED;
    }
  if (m == NULL)
    return BJ_SWIM_ACCEPTED;
  u.report.version = m->report.version;
  u.state = m->state;
  if (bj_roster_compare (&u, m) < 0)
    {
      tell_stale (s, now, m, d);
      return BJ_SWIM_STALE;
    }
  if (bj_roster_compare (&u, m) == 0 && !bj_roster_is_fresh (m, d->sequence))
    return BJ_SWIM_REPLAYED;
  return BJ_SWIM_ACCEPTED;
}

static bool
is_for_self (const BjSwim *s, const BjDatagram *d)
{
  const BjPeerReport *r = &s->self->report;

  if (d->to_port == r->gossip_port && bj_str_equal (d->to_host, r->gossip_host))
    return true;
  return d->to_port == s->bound.port && bj_str_equal (d->to_host, s->bound.host);
}

// A daemon whose clock stepped back before its restart learns its last incarnation from this.
static void
tell_stale (BjSwim *s, BjTime now, BjMember *m, const BjDatagram *d)
{
  BjDatagram hint = { .kind = BJ_DATAGRAM_STALE, .n_updates = 1 };

  if (now - m->stale_told < STALE_EVERY_MS)
    return;
  m->stale_told = now;
  hint.updates[0] = bj_member_update (m, BJ_UPDATE_FULL);
  bj_spread_send (s, &hint, NULL, d->self.report.gossip_host, d->self.report.gossip_port);
}

static void
apply (BjSwim *s, BjTime now, const BjUpdate *u, bool is_record)
{
  BjMember *m = bj_roster_find (&s->roster, u->report.name);
  int order;

  if (m == s->self)
    {
      apply_self (s, now, u);
      return;
    }
  if (m == NULL)
    {
      add_member (s, now, u, is_record);
      return;
    }
  if (u->kind == BJ_UPDATE_LOAD)
    {
      apply_load (s, m, u);
      return;
    }
  order = bj_roster_compare (u, m);
  // A state without the report that it belongs to waits for the report.
  if (order > 0 && u->kind == BJ_UPDATE_STATE
      && (u->report.incarnation != m->report.incarnation || u->instance != m->instance))
    return;
  if (order > 0)
    replace (s, now, m, u, is_record);
  else if (order < 0 && !bj_member_is_up (m))
    m->news_left = MAX (m->news_left, 1);
  if (order == 0 && u->kind == BJ_UPDATE_FULL)
    apply_load (s, m, u);
}

static void
apply_load (BjSwim *s, BjMember *m, const BjUpdate *u)
{
  bool has_new_load = u->report.load_version > m->report.load_version;
  bool has_new_config
      = u->kind == BJ_UPDATE_FULL && u->report.config_number > m->report.config_number;

  if (u->report.incarnation != m->report.incarnation || (!has_new_load && !has_new_config))
    return;
  // A ticket's number only grows; newer load without it may have come first.
  if (has_new_config)
    m->report.config_number = u->report.config_number;
  if (has_new_load)
    {
      set_load (&m->report, &u->report);
      m->report.load_version = u->report.load_version;
    }
  if (has_new_load && bj_swim_is_near (s, m))
    m->load_left = LOAD_DATAGRAMS;
  if (has_new_config)
    bj_spread_little (m);
  if (bj_member_is_up (m))
    s->host->ops->changed (s->host, m);
}

static void
set_load (BjPeerReport *to, const BjPeerReport *from)
{
  to->limit = from->limit;
  to->in_flight = from->in_flight;
  to->queued = from->queued;
  to->level = from->level;
  to->failing = from->failing;
}

static void
add_member (BjSwim *s, BjTime now, const BjUpdate *u, bool is_record)
{
  BjMember *m;

  if (u->kind != BJ_UPDATE_FULL || u->state == BJ_MEMBER_DEAD || u->state == BJ_MEMBER_LEFT)
    return;
  m = bj_roster_add (&s->roster, now, u);
  spread (s, m, is_record);
  s->host->ops->changed (s->host, m);
}

static void
replace (BjSwim *s, BjTime now, BjMember *m, const BjUpdate *u, bool is_record)
{
  bool was_up = bj_member_is_up (m);

  bj_roster_set (&s->roster, now, m, u);
  spread (s, m, is_record);
  if (bj_member_is_up (m))
    {
      s->host->ops->changed (s->host, m);
      return;
    }
  if (!was_up)
    return;
  bj_log (BJ_LOG_INFO,
          "MEMBER",
          m->state == BJ_MEMBER_LEFT ? "%.*s left." : "%.*s is gone, it does not answer.",
          BJ_STR_ARG (m->report.name));
  n_gone.value++;
  s->host->ops->gone (s->host, m);
}

static void
spread (BjSwim *s, BjMember *m, bool is_record)
{
  if (is_record)
    bj_spread_little (m);
  else
    bj_spread_news (s, m);
}

static void
apply_self (BjSwim *s, BjTime now, const BjUpdate *u)
{
  BjPeerReport *self = &s->self->report;
  const BjPeerReport *r = &u->report;

  if (u->kind == BJ_UPDATE_LOAD || s->leaving)
    return;
  if (r->incarnation == self->incarnation && u->instance == s->self->instance)
    {
      if (r->version < self->version
          || (r->version == self->version && u->state == BJ_MEMBER_ALIVE))
        return;
      n_refuted.value++;
      bj_log (BJ_LOG_INFO, "MEMBER", "Others took this daemon for gone, refuted.");
      self->version = r->version + 1;
      bj_roster_touch (&s->roster, now, s->self);
      bj_spread_news (s, s->self);
      return;
    }
  if (bj_roster_compare (u, s->self) < 0)
    {
      s->self->news_left = MAX (s->self->news_left, 1);
      return;
    }
  if (now - s->started < JOIN_MS || u->state == BJ_MEMBER_DEAD || u->state == BJ_MEMBER_LEFT)
    raise_incarnation (s, now, r->incarnation);
  else
    tell_conflict (s, now, r);
}

static void
raise_incarnation (BjSwim *s, BjTime now, uint64_t above)
{
  s->self->report.incarnation = above + 1;
  bj_log (BJ_LOG_INFO,
          "MEMBER",
          "Others know a later start of this daemon, its incarnation is now %" G_GUINT64_FORMAT ".",
          above + 1);
  bj_roster_touch (&s->roster, now, s->self);
  bj_spread_news (s, s->self);
  s->host->ops->incarnation (s->host, above + 1);
}

static void
tell_conflict (BjSwim *s, BjTime now, const BjPeerReport *r)
{
  if (s->told_conflict > 0 && now - s->told_conflict < CONFLICT_EVERY_MS)
    return;
  s->told_conflict = now;
  bj_log (BJ_LOG_ERROR,
          "MEMBER",
          "Another daemon at %.*s:%d claims the name %.*s too, the one started last holds it.",
          BJ_STR_ARG (r->gossip_host),
          r->gossip_port,
          BJ_STR_ARG (r->name));
}

static void
handle (BjSwim *s, BjTime now, BjMember *from, const BjDatagram *d)
{
  const BjPeerReport *r = &from->report;
  BjDatagram reply = { .kind = BJ_DATAGRAM_ACK, .answers = d->sequence };
  BjMember *m;

  switch (d->kind)
    {
    case BJ_DATAGRAM_PING:
      bj_spread_send (s, &reply, from, r->gossip_host, r->gossip_port);
      break;
    case BJ_DATAGRAM_ACK:
      handle_ack (s, from, d);
      break;
    case BJ_DATAGRAM_PING_ASK:
      m = bj_roster_find (&s->roster, d->target);
      if (m != NULL && !m->is_self)
        ping (s, now, m, r->name, d->answers);
      break;
    case BJ_DATAGRAM_DIGEST:
      handle_digest (s, from, d);
      return;
    case BJ_DATAGRAM_NEWS:
      break;
    case BJ_DATAGRAM_RECORDS:
      if (d->wanted != 0)
        bj_spread_records (s, from, d->wanted, 0);
      break;
    default:
      return;
    }
  if (from->state != BJ_MEMBER_ALIVE && d->kind != BJ_DATAGRAM_PING)
    nudge (s, now, from);
  compare_digest (s, now, from, d->digest);
}

static void
handle_ack (BjSwim *s, BjMember *from, const BjDatagram *d)
{
  BjStr who = d->target.len > 0 ? d->target : from->report.name;
  BjDatagram relayed = { .kind = BJ_DATAGRAM_ACK };
  const BjMember *asker;

  for (int i = 0; i < BJ_SWIM_PROBES_MAX; i++)
    {
      BjProbe *p = &s->probes[i];

      if (p->sequence == 0 || p->sequence != d->answers || !bj_str_equal (p->target, who))
        continue;
      asker = p->asked_by.len > 0 ? bj_roster_find (&s->roster, p->asked_by) : NULL;
      relayed.answers = p->asked_sequence;
      relayed.target = p->target;
      if (asker != NULL)
        bj_spread_send (s, &relayed, asker, asker->report.gossip_host, asker->report.gossip_port);
      end_probe (p);
      return;
    }
}

static void
handle_digest (BjSwim *s, const BjMember *from, const BjDatagram *d)
{
  uint64_t differing = 0;

  for (int i = 0; i < BJ_DIGEST_BUCKETS; i++)
    if (d->buckets[i] != s->roster.buckets[i])
      differing |= UINT64_C (1) << i;
  if (differing != 0)
    bj_spread_records (s, from, differing, differing);
}

static void
compare_digest (BjSwim *s, BjTime now, const BjMember *from, uint64_t digest)
{
  BjDatagram d = { .kind = BJ_DATAGRAM_DIGEST };
  BjTime since = now - s->last_sync;
  bool is_joining = now - s->started < JOIN_MS;
  bool is_quiet = now - s->roster.changed > QUIET_MS;

  if (digest == bj_roster_digest (&s->roster) || s->leaving || since < SYNC_JOIN_MS)
    return;
  if (!is_joining && since < (is_quiet ? SYNC_EVERY_MS : SYNC_ANYWAY_MS))
    return;
  s->last_sync = now;
  memcpy (d.buckets, s->roster.buckets, sizeof d.buckets);
  bj_spread_send (s, &d, from, from->report.gossip_host, from->report.gossip_port);
}

// Tells a member what is said of it, so that it can refute.
static void
nudge (BjSwim *s, BjTime now, BjMember *m)
{
  BjDatagram d = { .kind = BJ_DATAGRAM_NEWS };

  if (now - m->stale_told < STALE_EVERY_MS)
    return;
  m->stale_told = now;
  bj_spread_send (s, &d, m, m->report.gossip_host, m->report.gossip_port);
}
