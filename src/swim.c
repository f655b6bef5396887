// Swim: the SWIM membership protocol as a state machine without I/O. Members are probed directly,
// then indirectly through others. A member that does not acknowledge is suspected first, declared
// dead after a time-out, and may refute both by raising its version.

#include "swim.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define OTHER_DOMAIN_SHARE 0.25 // fraction of the probes that go to another failure domain
#define INDIRECT_PROBES 3       // members asked to probe one that did not acknowledge
#define INDIRECT_TRIES 16       // random picks to find members for indirect probes
#define DOMAIN_PROBES 3 // members probed in another domain after one of it did not acknowledge
#define JOIN_MS 5000 // join phase after the start; a predecessor of this name is replaced silently
#define DEAD_PROBE_INTERVAL_MS 1000 // between probes of dead members
#define DEAD_KEEP_MS 21600000.0     // a dead member is kept and probed this long
#define LEFT_KEEP_MS 60000.0        // a member that left is kept this long
#define SEED_JOIN_INTERVAL_MS 200   // between probes of seeds while alone, in the join phase
#define SEED_ALONE_INTERVAL_MS 1000 // between probes of seeds while alone, later
#define SEED_INTERVAL_MS 10000      // between probes of seeds once other members are known
#define SEED_BATCH 3          // seeds probed per interval while alone; new seeds probed per tick
#define DIGEST_SETTLE_MS 1000 // time without changes after which the member table is settled
#define SYNC_JOIN_INTERVAL_MS 500        // between digests sent in the join phase
#define SYNC_INTERVAL_MS 2000            // between digests sent while the member table is settled
#define SYNC_UNSETTLED_INTERVAL_MS 10000 // between digests sent while the member table changes
#define HINT_INTERVAL_MS 200             // between hints to one member about its own state
#define CONFLICT_LOG_INTERVAL_MS 10000   // between log lines on a conflicting name
#define LOAD_DATAGRAMS 4                 // datagrams that carry one change of load
#define FAILURE_RATE_STEP 100 // change in failures per 1000 runs that is announced to all domains
#define FAILURE_RATE_INTERVAL_MS 500 // at least, between announcements of failure rates

static void refresh_self (BjSwim *s, BjTime now);
static bool must_announce_failure_rate (const BjSwim *s, BjTime now);
static void compensate_pause (BjSwim *s, BjTime gap);
static void advance_probes (BjSwim *s, BjTime now);
static void request_indirect_probes (BjSwim *s, BjProbe *p, const BjMember *m);
static void start_probe (BjSwim *s, BjTime now);
static BjMember *next_in_own_domain (BjSwim *s);
static void probe_member (
    BjSwim *s, BjTime now, BjMember *m, BjStr requester_name, uint64_t requester_sequence);
static void probe_domain (BjSwim *s, BjTime now, BjStr domain);
static bool is_probed (const BjSwim *s, const BjMember *m);
static void ping_address (BjSwim *s, const BjAddress *a);
static void end_probe (BjProbe *p);
static void suspect_member (BjSwim *s, BjTime now, BjMember *m);
static void expire_suspects (BjSwim *s, BjTime now);
static void probe_dead_member (BjSwim *s, BjTime now);
static void probe_new_seeds (BjSwim *s);
static bool is_alone (const BjSwim *s);
static void probe_seeds (BjSwim *s, BjTime now);
static bool is_dead (const BjSwim *s, const BjMember *m);
static BjSwimVerdict check_sender (BjSwim *s, BjTime now, const BjDatagram *d);
static bool is_addressed_to_self (const BjSwim *s, const BjDatagram *d);
static void send_stale_hint (BjSwim *s, BjTime now, BjMember *m, const BjDatagram *d);
static void apply_update (BjSwim *s, BjTime now, const BjUpdate *u, bool is_record);
static void apply_load (BjSwim *s, BjMember *m, const BjUpdate *u);
static void copy_load (BjPeerReport *to, const BjPeerReport *from);
static void add_member (BjSwim *s, BjTime now, const BjUpdate *u, bool is_record);
static void replace_member (BjSwim *s, BjTime now, BjMember *m, const BjUpdate *u, bool is_record);
static void queue_update (BjSwim *s, BjMember *m, bool is_record);
static void apply_self (BjSwim *s, BjTime now, const BjUpdate *u);
static void raise_incarnation (BjSwim *s, BjTime now, uint64_t above);
static void log_conflict (BjSwim *s, BjTime now, const BjPeerReport *r);
static void handle_datagram (BjSwim *s, BjTime now, BjMember *from, const BjDatagram *d);
static void handle_ack (BjSwim *s, BjMember *from, const BjDatagram *d);
static void handle_digest (BjSwim *s, const BjMember *from, const BjDatagram *d);
static void compare_digest (BjSwim *s, BjTime now, const BjMember *from, uint64_t digest);
static void request_refutation (BjSwim *s, BjTime now, BjMember *m);

static BjCounter n_suspected = { "member_suspected_total",
                                 "Members suspected because they did not acknowledge a probe.",
                                 0 };
static BjCounter n_gone = { "member_gone_total", "Members that were declared dead or left.", 0 };
static BjCounter n_refuted
    = { "member_refuted_total", "Suspicions of this daemon that it refuted.", 0 };

BjSwim *
bj_swim_new (const BjSwimOptions *o, BjTime now)
{
  BjSwim *s = g_new0 (BjSwim, 1);
  BjUpdate u = { .kind = BJ_UPDATE_FULL, .instance = o->instance, .report = o->self };

  s->host = o->host;
  s->rand = g_rand_new_with_seed (o->seed);
  s->probe_round = g_ptr_array_new_with_free_func (g_free);
  s->seeds = g_new0 (BjAddress, BJ_SWIM_SEEDS_MAX);
  s->started = now;
  s->last_tick = now;
  s->socket_address = o->socket_address;
  s->socket_address.host = bj_str_dup (o->socket_address.host);
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
  bj_str_free (&s->socket_address.host);
  bj_roster_clear (&s->roster);
  g_ptr_array_free (s->probe_round, TRUE);
  g_free (s->seeds);
  g_rand_free (s->rand);
  g_free (s);
}

void
bj_swim_tick (BjSwim *s, BjTime now)
{
  if (now - s->last_tick > BJ_SWIM_PAUSE_MS)
    compensate_pause (s, now - s->last_tick);
  refresh_self (s, now);
  advance_probes (s, now);
  if (now >= s->next_probe)
    start_probe (s, now);
  expire_suspects (s, now);
  bj_spread_tick (s, now);
  if (now >= s->next_dead_probe)
    probe_dead_member (s, now);
  probe_new_seeds (s);
  if (now >= s->next_seed_probe)
    probe_seeds (s, now);
  bj_roster_evict (&s->roster, now, DEAD_KEEP_MS, LEFT_KEEP_MS);
  s->last_tick = now;
}

BjSwimVerdict
bj_swim_receive (BjSwim *s, BjTime now, const BjDatagram *d)
{
  BjSwimVerdict v = check_sender (s, now, d);
  BjMember *from;

  if (v != BJ_SWIM_ACCEPTED)
    return v;
  apply_update (s, now, &d->self, false);
  from = bj_roster_find (&s->roster, d->self.report.name);
  if (from == NULL)
    return BJ_SWIM_ACCEPTED;
  // No sequence is recorded yet for a member or incarnation that this datagram added.
  bj_roster_accept_sequence (from, d->sequence);
  for (int i = 0; i < d->n_updates; i++)
    apply_update (s, now, &d->updates[i], d->kind == BJ_DATAGRAM_RECORDS);
  handle_datagram (s, now, from, d);
  return BJ_SWIM_ACCEPTED;
}

void
bj_swim_leave (BjSwim *s, BjTime now)
{
  if (s->leaving)
    return;
  s->leaving = true;
  s->self->state = BJ_MEMBER_LEFT;
  bj_roster_update_digest (&s->roster, now, s->self);
  bj_spread_self (s);
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
  bool has_new_access;

  s->host->ops->refresh (s->host, &r);
  has_new_config = r.config_number != self->config_number;
  has_new_access = r.store_access != self->store_access;
  if (r.limit != self->limit || r.in_flight != self->in_flight || r.queued != self->queued
      || r.level != self->level || r.failure_permille != self->failure_permille || has_new_config)
    {
      copy_load (self, &r);
      self->config_number = r.config_number;
      self->load_version++;
    }
  // A new configuration number, access to the store or failure rate raises the version, so that it
  // is disseminated and repaired by anti-entropy in all domains. Load updates stay in the own
  // domain.
  if (bj_str_equal (r.service, self->service) && r.draining == self->draining && !has_new_config
      && !has_new_access && !must_announce_failure_rate (s, now))
    return;
  s->announced_failure_permille = self->failure_permille;
  s->failure_permille_announced_at = now;
  bj_str_set (&self->service, r.service);
  self->draining = r.draining;
  self->store_access = r.store_access;
  self->version++;
  bj_roster_update_digest (&s->roster, now, s->self);
  // The others of the domain learn of a configuration from those few that read the store.
  if ((self->draining && !was_draining) || has_new_access
      || (has_new_config && self->store_access == BJ_STORE_ANSWERS))
    bj_spread_self (s);
  else
    bj_spread_queue (s, s->self);
}

static bool
must_announce_failure_rate (const BjSwim *s, BjTime now)
{
  return abs (s->self->report.failure_permille - s->announced_failure_permille) >= FAILURE_RATE_STEP
         && now - s->failure_permille_announced_at >= FAILURE_RATE_INTERVAL_MS;
}

// A paused process has not read the acknowledgements that arrived meanwhile, so it drops its probes
// and extends the suspicion time-outs by the pause.
static void
compensate_pause (BjSwim *s, BjTime gap)
{
  bj_log (BJ_LOG_WARNING,
          "MEMBER",
          "This process was paused for %.1f s; open probes are dropped.",
          gap / 1000);
  for (int i = 0; i < BJ_SWIM_PROBES_MAX; i++)
    end_probe (&s->probes[i]);
  for (guint i = 0; i < s->roster.all->len; i++)
    {
      BjMember *m = s->roster.all->pdata[i];

      if (m->state == BJ_MEMBER_SUSPECT)
        m->state_since += gap;
    }
}

static void
advance_probes (BjSwim *s, BjTime now)
{
  for (int i = 0; i < BJ_SWIM_PROBES_MAX; i++)
    {
      BjProbe *p = &s->probes[i];
      BjMember *m = p->sequence != 0 ? bj_roster_find (&s->roster, p->target) : NULL;
      bool is_own = p->requester_name.len == 0;

      if (p->sequence == 0)
        continue;
      if (now - p->sent >= BJ_PROBE_LOST_MS || m == NULL)
        {
          if (m != NULL && is_own)
            suspect_member (s, now, m);
          end_probe (p);
          // The other domain may be cut off as a whole.
          if (m != NULL && is_own && !bj_str_equal (m->report.domain, s->self->report.domain))
            probe_domain (s, now, m->report.domain);
        }
      else if (is_own && !p->is_indirect && now - p->sent >= BJ_PROBE_TIMEOUT_MS)
        request_indirect_probes (s, p, m);
    }
}

static void
request_indirect_probes (BjSwim *s, BjProbe *p, const BjMember *m)
{
  BjDatagram d
      = { .kind = BJ_DATAGRAM_PING_REQUEST, .ack_sequence = p->sequence, .target = p->target };
  const BjMember *relays[INDIRECT_PROBES] = { NULL };
  int n = 0;

  p->is_indirect = true;
  for (int i = 0; i < INDIRECT_TRIES && n < INDIRECT_PROBES; i++)
    {
      BjMember *r = bj_swim_pick (s, bj_swim_is_other);

      if (r == m || r == relays[0] || r == relays[1])
        continue;
      relays[n++] = r;
      d.n_updates = 0;
      bj_spread_send (s, &d, r, r->report.gossip_host, r->report.gossip_port);
    }
}

static void
start_probe (BjSwim *s, BjTime now)
{
  bool in_other_domain = g_rand_double (s->rand) < OTHER_DOMAIN_SHARE;
  BjMember *m
      = in_other_domain ? bj_swim_pick (s, bj_swim_is_in_other_domain) : next_in_own_domain (s);

  s->next_probe = now + BJ_PROBE_MS * g_rand_double_range (s->rand, 0.9, 1.1);
  if (m == NULL)
    m = in_other_domain ? next_in_own_domain (s) : bj_swim_pick (s, bj_swim_is_in_other_domain);
  if (m != NULL)
    probe_member (s, now, m, BJ_STR_NULL, 0);
}

// Probes the own domain in random order, each member once per round.
static BjMember *
next_in_own_domain (BjSwim *s)
{
  for (int rounds = 0; rounds < 2; rounds++)
    {
      while (s->probe_round->len > 0)
        {
          char *name = g_ptr_array_steal_index_fast (s->probe_round, s->probe_round->len - 1);
          BjMember *m = bj_roster_find (&s->roster, bj_str (name));

          g_free (name);
          if (m != NULL && bj_swim_is_in_own_domain (s, m))
            return m;
        }
      for (guint i = 0; i < s->roster.all->len; i++)
        {
          const BjMember *m = s->roster.all->pdata[i];
          gint32 at = g_rand_int_range (s->rand, 0, (gint32)s->probe_round->len + 1);

          if (bj_swim_is_in_own_domain (s, m))
            g_ptr_array_insert (s->probe_round, at, g_strdup (m->report.name.data));
        }
    }
  return NULL;
}

static void
probe_member (BjSwim *s, BjTime now, BjMember *m, BjStr requester_name, uint64_t requester_sequence)
{
  BjDatagram d = { .kind = BJ_DATAGRAM_PING };

  bj_spread_send (s, &d, m, m->report.gossip_host, m->report.gossip_port);
  for (int i = 0; i < BJ_SWIM_PROBES_MAX; i++)
    if (s->probes[i].sequence == 0)
      {
        s->probes[i] = (BjProbe){
          .sequence = s->sequence,
          .target = bj_str_dup (m->report.name),
          .requester_name = bj_str_dup (requester_name),
          .requester_sequence = requester_sequence,
          .sent = now,
        };
        return;
      }
}

// Probes some members of a domain that are not suspected and not being probed.
static void
probe_domain (BjSwim *s, BjTime now, BjStr domain)
{
  guint n = s->roster.all->len;
  guint first = (guint)g_rand_int_range (s->rand, 0, (gint32)n);
  int n_probed = 0;

  for (guint i = 0; i < n && n_probed < DOMAIN_PROBES; i++)
    {
      BjMember *m = s->roster.all->pdata[(first + i) % n];

      if (m->state != BJ_MEMBER_ALIVE || !bj_str_equal (m->report.domain, domain)
          || is_probed (s, m))
        continue;
      probe_member (s, now, m, BJ_STR_NULL, 0);
      n_probed++;
    }
}

static bool
is_probed (const BjSwim *s, const BjMember *m)
{
  for (int i = 0; i < BJ_SWIM_PROBES_MAX; i++)
    if (s->probes[i].sequence != 0 && s->probes[i].requester_name.len == 0
        && bj_str_equal (s->probes[i].target, m->report.name))
      return true;
  return false;
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
  bj_str_free (&p->requester_name);
  memset (p, 0, sizeof *p);
}

static void
suspect_member (BjSwim *s, BjTime now, BjMember *m)
{
  if (m->state != BJ_MEMBER_ALIVE)
    return;
  n_suspected.value++;
  m->state = BJ_MEMBER_SUSPECT;
  m->state_since = now;
  bj_roster_update_digest (&s->roster, now, m);
  bj_spread_queue (s, m);
  bj_log (BJ_LOG_INFO,
          "MEMBER",
          "%.*s did not acknowledge a probe; suspected.",
          BJ_STR_ARG (m->report.name));
  request_refutation (s, now, m);
}

static void
expire_suspects (BjSwim *s, BjTime now)
{
  double wait_ms = MAX (BJ_SWIM_SUSPECT_MIN_MS, BJ_SWIM_SUSPECT_MS * log10 (s->roster.n_up + 1));

  for (guint i = 0; i < s->roster.all->len; i++)
    {
      BjMember *m = s->roster.all->pdata[i];
      BjUpdate u = bj_member_update (m, BJ_UPDATE_STATE);

      if (m->state != BJ_MEMBER_SUSPECT || now - m->state_since < wait_ms)
        continue;
      u.state = BJ_MEMBER_DEAD;
      replace_member (s, now, m, &u, false);
    }
}

static void
probe_dead_member (BjSwim *s, BjTime now)
{
  const BjMember *m = bj_swim_pick (s, is_dead);
  BjDatagram d = { .kind = BJ_DATAGRAM_PING };

  s->next_dead_probe = now + DEAD_PROBE_INTERVAL_MS * g_rand_double_range (s->rand, 0.8, 1.2);
  if (m != NULL)
    bj_spread_send (s, &d, m, m->report.gossip_host, m->report.gossip_port);
}

// Seeds from the store may be added long after the start.
static void
probe_new_seeds (BjSwim *s)
{
  for (int i = 0; i < SEED_BATCH && s->n_seeds_probed < s->n_seeds && !s->leaving; i++)
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
  double join_ms = now - s->started < JOIN_MS ? SEED_JOIN_INTERVAL_MS : SEED_ALONE_INTERVAL_MS;

  s->next_seed_probe = now + (is_alone (s) ? join_ms : SEED_INTERVAL_MS);
  if (s->leaving || s->n_seeds == 0)
    return;
  for (int i = 0; i < (is_alone (s) ? SEED_BATCH : 1); i++)
    ping_address (s, &s->seeds[g_rand_int_range (s->rand, 0, s->n_seeds)]);
}

static bool
is_dead (const BjSwim *s, const BjMember *m)
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

  if (!is_addressed_to_self (s, d))
    return BJ_SWIM_MISPLACED;
  if (m == s->self)
    {
      if (d->self.instance != m->instance)
        log_conflict (s, now, r);
      return d->self.instance != m->instance ? BJ_SWIM_CONFLICT : BJ_SWIM_REPLAYED;
    }
  if (m == NULL)
    return BJ_SWIM_ACCEPTED;
  // With the known version and state, only incarnation and instance are compared.
  u.report.version = m->report.version;
  u.state = m->state;
  if (bj_roster_compare (&u, m) < 0)
    {
      send_stale_hint (s, now, m, d);
      return BJ_SWIM_STALE;
    }
  if (bj_roster_compare (&u, m) == 0 && !bj_roster_accept_sequence (m, d->sequence))
    return BJ_SWIM_REPLAYED;
  return BJ_SWIM_ACCEPTED;
}

static bool
is_addressed_to_self (const BjSwim *s, const BjDatagram *d)
{
  const BjPeerReport *r = &s->self->report;

  if (d->to_port == r->gossip_port && bj_str_equal (d->to_host, r->gossip_host))
    return true;
  return d->to_port == s->socket_address.port && bj_str_equal (d->to_host, s->socket_address.host);
}

// A daemon whose clock stepped back before a restart uses a lower incarnation than before. This
// hint lets it raise its incarnation above the last one.
static void
send_stale_hint (BjSwim *s, BjTime now, BjMember *m, const BjDatagram *d)
{
  BjDatagram hint = { .kind = BJ_DATAGRAM_STALE, .n_updates = 1 };

  if (now - m->last_hint < HINT_INTERVAL_MS)
    return;
  m->last_hint = now;
  hint.updates[0] = bj_member_update (m, BJ_UPDATE_FULL);
  bj_spread_send (s, &hint, NULL, d->self.report.gossip_host, d->self.report.gossip_port);
}

static void
apply_update (BjSwim *s, BjTime now, const BjUpdate *u, bool is_record)
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
  // A state update of an unknown incarnation is dropped; the full update will follow.
  if (order > 0 && u->kind == BJ_UPDATE_STATE
      && (u->report.incarnation != m->report.incarnation || u->instance != m->instance))
    return;
  if (order > 0)
    replace_member (s, now, m, u, is_record);
  else if (order < 0 && !bj_member_is_up (m)) // the sender may not know that m is dead or left
    m->updates_left = MAX (m->updates_left, 1);
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
  // The configuration number only increases. A load update does not carry it, so a newer load may
  // have arrived first.
  if (has_new_config)
    m->report.config_number = u->report.config_number;
  if (has_new_load)
    {
      copy_load (&m->report, &u->report);
      m->report.load_version = u->report.load_version;
    }
  if (has_new_load && bj_swim_is_in_own_domain (s, m))
    m->load_updates_left = LOAD_DATAGRAMS;
  if (has_new_config)
    bj_spread_queue_known (m);
  if (bj_member_is_up (m))
    s->host->ops->changed (s->host, m);
}

static void
copy_load (BjPeerReport *to, const BjPeerReport *from)
{
  to->limit = from->limit;
  to->in_flight = from->in_flight;
  to->queued = from->queued;
  to->level = from->level;
  to->failure_permille = from->failure_permille;
}

static void
add_member (BjSwim *s, BjTime now, const BjUpdate *u, bool is_record)
{
  BjMember *m;

  if (u->kind != BJ_UPDATE_FULL || u->state == BJ_MEMBER_DEAD || u->state == BJ_MEMBER_LEFT)
    return;
  m = bj_roster_add (&s->roster, now, u);
  queue_update (s, m, is_record);
  s->host->ops->changed (s->host, m);
}

static void
replace_member (BjSwim *s, BjTime now, BjMember *m, const BjUpdate *u, bool is_record)
{
  bool was_up = bj_member_is_up (m);

  bj_roster_set (&s->roster, now, m, u);
  queue_update (s, m, is_record);
  if (bj_member_is_up (m))
    {
      s->host->ops->changed (s->host, m);
      return;
    }
  if (!was_up)
    return;
  bj_log (BJ_LOG_INFO,
          "MEMBER",
          m->state == BJ_MEMBER_LEFT ? "%.*s left."
                                     : "%.*s did not refute the suspicion in time; declared dead.",
          BJ_STR_ARG (m->report.name));
  n_gone.value++;
  s->host->ops->down (s->host, m);
}

static void
queue_update (BjSwim *s, BjMember *m, bool is_record)
{
  if (is_record)
    bj_spread_queue_known (m);
  else
    bj_spread_queue (s, m);
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
      bj_log (
          BJ_LOG_INFO, "MEMBER", "Other members suspect this daemon or declared it dead; refuted.");
      self->version = r->version + 1;
      bj_roster_update_digest (&s->roster, now, s->self);
      bj_spread_queue (s, s->self);
      return;
    }
  if (bj_roster_compare (u, s->self) < 0)
    {
      s->self->updates_left = MAX (s->self->updates_left, 1);
      return;
    }
  if (now - s->started < JOIN_MS || u->state == BJ_MEMBER_DEAD || u->state == BJ_MEMBER_LEFT)
    raise_incarnation (s, now, r->incarnation);
  else
    log_conflict (s, now, r);
}

static void
raise_incarnation (BjSwim *s, BjTime now, uint64_t above)
{
  s->self->report.incarnation = above + 1;
  bj_log (BJ_LOG_INFO,
          "MEMBER",
          "Other members know a later incarnation of this daemon; its incarnation is now "
          "%" G_GUINT64_FORMAT ".",
          above + 1);
  bj_roster_update_digest (&s->roster, now, s->self);
  bj_spread_queue (s, s->self);
  s->host->ops->incarnation_raised (s->host, above + 1);
}

static void
log_conflict (BjSwim *s, BjTime now, const BjPeerReport *r)
{
  if (s->last_conflict_log > 0 && now - s->last_conflict_log < CONFLICT_LOG_INTERVAL_MS)
    return;
  s->last_conflict_log = now;
  bj_log (
      BJ_LOG_ERROR,
      "MEMBER",
      "Another daemon at %.*s:%d also uses the name %.*s; peers keep the one with the later start.",
      BJ_STR_ARG (r->gossip_host),
      r->gossip_port,
      BJ_STR_ARG (r->name));
}

static void
handle_datagram (BjSwim *s, BjTime now, BjMember *from, const BjDatagram *d)
{
  const BjPeerReport *r = &from->report;
  BjDatagram reply = { .kind = BJ_DATAGRAM_ACK, .ack_sequence = d->sequence };
  BjMember *m;

  switch (d->kind)
    {
    case BJ_DATAGRAM_PING:
      bj_spread_send (s, &reply, from, r->gossip_host, r->gossip_port);
      break;
    case BJ_DATAGRAM_ACK:
      handle_ack (s, from, d);
      break;
    case BJ_DATAGRAM_PING_REQUEST:
      m = bj_roster_find (&s->roster, d->target);
      if (m != NULL && !m->is_self)
        probe_member (s, now, m, r->name, d->ack_sequence);
      break;
    case BJ_DATAGRAM_DIGEST:
      handle_digest (s, from, d);
      return;
    case BJ_DATAGRAM_UPDATES:
      break;
    case BJ_DATAGRAM_RECORDS:
      if (d->wanted_buckets != 0)
        bj_spread_send_records (s, from, d->wanted_buckets, 0);
      break;
    default:
      return;
    }
  if (from->state != BJ_MEMBER_ALIVE && d->kind != BJ_DATAGRAM_PING)
    request_refutation (s, now, from);
  compare_digest (s, now, from, d->digest);
}

static void
handle_ack (BjSwim *s, BjMember *from, const BjDatagram *d)
{
  BjStr responder = d->target.len > 0 ? d->target : from->report.name;
  BjDatagram relayed = { .kind = BJ_DATAGRAM_ACK };
  const BjMember *requester;

  for (int i = 0; i < BJ_SWIM_PROBES_MAX; i++)
    {
      BjProbe *p = &s->probes[i];

      if (p->sequence == 0 || p->sequence != d->ack_sequence
          || !bj_str_equal (p->target, responder))
        continue;
      requester = p->requester_name.len > 0 ? bj_roster_find (&s->roster, p->requester_name) : NULL;
      relayed.ack_sequence = p->requester_sequence;
      relayed.target = p->target;
      if (requester != NULL)
        bj_spread_send (
            s, &relayed, requester, requester->report.gossip_host, requester->report.gossip_port);
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
    bj_spread_send_records (s, from, differing, differing);
}

static void
compare_digest (BjSwim *s, BjTime now, const BjMember *from, uint64_t digest)
{
  BjDatagram d = { .kind = BJ_DATAGRAM_DIGEST };
  BjTime since = now - s->last_sync;
  bool is_joining = now - s->started < JOIN_MS;
  bool is_settled = now - s->roster.changed > DIGEST_SETTLE_MS;

  if (digest == bj_roster_digest (&s->roster) || s->leaving || since < SYNC_JOIN_INTERVAL_MS)
    return;
  if (!is_joining && since < (is_settled ? SYNC_INTERVAL_MS : SYNC_UNSETTLED_INTERVAL_MS))
    return;
  s->last_sync = now;
  memcpy (d.buckets, s->roster.buckets, sizeof d.buckets);
  bj_spread_send (s, &d, from, from->report.gossip_host, from->report.gossip_port);
}

// Sends a suspected, dead or left member the state known of it, so that the member can refute it.
static void
request_refutation (BjSwim *s, BjTime now, BjMember *m)
{
  BjDatagram d = { .kind = BJ_DATAGRAM_UPDATES };

  if (now - m->last_hint < HINT_INTERVAL_MS)
    return;
  m->last_hint = now;
  bj_spread_send (s, &d, m, m->report.gossip_host, m->report.gossip_port);
}
