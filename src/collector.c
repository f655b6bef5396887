// Collector: the pool of token buckets that a collector keeps, the reports it adds up, and the
// parts of the rate that it reserves for those it does not hear.

#include "collector.h"
#include <math.h>

#define MISSED_MS 300 // after the last report of a sender its part is reserved
#define ROLE_MS 1000  // without reports of members a collector of several gives up the role
#define SLACK 0.05    // part of the rate that a majority need not reserve; it is in the bound
#define LOST_MIN 0.15 // part of the demand that a new collector must miss to reserve it

static void set_active (BjQuota *q, BjQuotaSource *s, bool is_active);
static void keep_shares (BjQuota *q, BjTime now, BjQuotaSource *s);
static void find_lost (BjQuota *q);
static double largest_part (const BjQuota *q, BjTime now, int n_seen);
static void reserve_parts (BjQuota *q, BjTime now);
static double slide_reserved (double from, double to, BjTime silent);
static double reserved_part (const BjQuota *q, BjTime now, int i, double *near);

BjQuotaPeer *
bj_quota_pick_collector (const BjQuota *q, uint64_t domain, BjTime now)
{
  for (int i = 0; i < q->n_members; i++)
    {
      BjQuotaPeer *m = &q->members[i];

      if (m->domain == domain && m->is_up && now >= m->skip_until)
        return m;
    }
  return NULL;
}

// A daemon that members report to is collector, whatever its rank. One that would be by its rank
// but gets no reports was passed over by the others, and reports to the next as they do.
bool
bj_quota_is_collector (BjQuota *q, BjTime now)
{
  BjQuotaPeer *m = bj_quota_pick_collector (q, q->domain, now);
  bool is_asked = q->collected != 0 && now - q->collected <= BJ_QUOTA_SILENT_MS;

  if (m != NULL && m->hash != q->self)
    q->role_from = 0;
  else if (q->role_from == 0)
    q->role_from = now;
  else if (m != NULL && !is_asked && now - q->role_from > ROLE_MS && q->domains[0].n_up > 1)
    m->skip_until = now + BJ_QUOTA_SKIP_MS;
  return is_asked || m == NULL || m->hash == q->self;
}

void
bj_quota_open_pool (BjQuota *q, BjTime now)
{
  q->pool_from = now;
  q->updated = q->reserved_at = 0;
  q->n_pools++;
  q->has_lost = false;
  q->has_reservations = true;
  q->n_active = 0;
  for (int i = 0; i < q->n_accounts; i++)
    {
      BjQuotaAccount *a = &q->accounts[i];

      bj_quota_expire_view (q, a, now);
      a->pool_level = bj_quota_estimate_level (q, a, now);
      a->acked = a->included = a->sent_count = a->count;
      a->level = a->pool_level;
      a->level_at = a->pool_at = now;
      a->part = MIN (a->fraction, largest_part (q, now, 1));
      a->before = a->is_known && now - q->heard <= BJ_QUOTA_KEEP_MS ? a->total : 0;
      a->lost = a->near = a->far = a->reserved = 0;
      a->sum = a->sum_sent = 0;
      a->sum_changed_at = 0;
      a->sum_demand = 0;
    }
  for (int i = 0; i < q->n_members; i++)
    q->members[i].passed = q->members[i].pass_from = q->members[i].cursor
        = q->members[i].next_cursor = 0;
}

void
bj_quota_close_pool (BjQuota *q)
{
  q->pool_from = 0;
  q->n_active = 0;
  for (int i = 0; i < q->n_domains; i++)
    q->domains[i].source = NULL;
  g_ptr_array_set_size (q->sources, 0);
}

void
bj_quota_settle (BjQuotaAccount *a, BjTime now)
{
  if (now <= a->pool_at)
    return;
  a->pool_level
      = MIN (a->burst * a->part, a->pool_level + a->rate * a->part * (now - a->pool_at) / 1000);
  a->pool_at = now;
}

// Takes the own use into the pool, and the pool as the view. A pool that nobody reports to is no
// view: this daemon may be cut off.
void
bj_quota_count_own (BjQuota *q, BjQuotaAccount *a, BjTime now)
{
  uint64_t step = a->count - a->acked;

  if (q->n_active == 0)
    return;
  bj_quota_settle (a, now);
  a->pool_level -= (double)step;
  a->sum += step;
  a->acked = a->included = a->count;
  a->own_demand = bj_quota_demand_now (a, now);
  q->heard = now;
  bj_quota_apply_view (q, a, now, a->pool_level, a->near + a->far + a->own_demand, a->part);
}

void
bj_quota_update_pool (BjQuota *q, BjTime now)
{
  bool has_silent = false;

  q->updated = now;
  for (guint i = 0; i < q->sources->len; i++)
    {
      BjQuotaSource *s = g_ptr_array_index (q->sources, i);

      if (s->is_active && now - s->heard > MISSED_MS)
        keep_shares (q, now, s);
    }
  for (guint i = q->sources->len; i > 0; i--)
    {
      BjQuotaSource *s = g_ptr_array_index (q->sources, i - 1);

      if (s->is_active && now - s->heard > MISSED_MS)
        {
          set_active (q, s, false);
          q->reserved_at = 0;
        }
      // Members that left have no part.
      if (bj_quota_find_member (q, s->name) == NULL)
        {
          set_active (q, s, false);
          g_ptr_array_remove_index (q->sources, i - 1);
        }
    }
  bj_quota_choose_sources (q);
  if (!q->has_lost && now - q->pool_from > BJ_QUOTA_FRESH_MS)
    find_lost (q);
  for (int i = 0; i < q->n_members; i++)
    has_silent = has_silent || !q->members[i].is_up;
  for (guint i = 0; i < q->sources->len; i++)
    {
      const BjQuotaSource *s = g_ptr_array_index (q->sources, i);

      has_silent = has_silent || now - s->heard > MISSED_MS;
    }
  for (int i = 1; i < q->n_domains; i++)
    has_silent = has_silent || q->domains[i].source == NULL;
  // A new pool begins with the parts that this daemon knew.
  if ((has_silent || q->has_reservations)
      && (now - q->pool_from > BJ_QUOTA_SILENT_MS || now - q->began < BJ_QUOTA_START_MS)
      && now - q->reserved_at >= BJ_QUOTA_REPORT_MS)
    reserve_parts (q, now);
}

// Of several sources of another domain only the one that speaks for most members is active. It
// changes when a collector takes the role of another.
void
bj_quota_choose_sources (BjQuota *q)
{
  for (int i = 0; i < q->n_domains; i++)
    q->domains[i].source = NULL;
  for (guint i = 0; i < q->sources->len; i++)
    {
      BjQuotaSource *s = g_ptr_array_index (q->sources, i);
      BjQuotaDomain *d = bj_quota_find_domain (q, s->domain);

      if (d == NULL || s->kind == BJ_QUOTA_FROM_MEMBER)
        continue;
      if (d->source == NULL || s->heard > d->source->heard + BJ_QUOTA_SILENT_MS
          || (s->heard > d->source->heard - BJ_QUOTA_SILENT_MS && s->n_seen > d->source->n_seen))
        d->source = s;
    }
  q->n_seen = 1;
  for (guint i = 0; i < q->sources->len; i++)
    {
      BjQuotaSource *s = g_ptr_array_index (q->sources, i);
      const BjQuotaDomain *d = bj_quota_find_domain (q, s->domain);
      bool is_recent = q->updated - s->heard <= MISSED_MS;

      set_active (
          q, s, is_recent && d != NULL && (s->kind == BJ_QUOTA_FROM_MEMBER || d->source == s));
      q->n_seen += s->is_active && s->kind == BJ_QUOTA_FROM_MEMBER;
    }
}

BjQuotaSource *
bj_quota_get_source (BjQuota *q, BjQuotaKind k, const BjQuotaPeer *m, uint64_t start)
{
  BjQuotaSource *s = NULL;

  for (guint i = 0; i < q->sources->len && s == NULL; i++)
    {
      BjQuotaSource *other = g_ptr_array_index (q->sources, i);

      s = other->name == m->hash && other->kind == k ? other : NULL;
    }
  if (s == NULL)
    {
      s = g_new0 (BjQuotaSource, 1);
      s->name = m->hash;
      s->kind = k;
      s->entries = g_new0 (BjQuotaEntry, MAX (q->n_accounts, 1));
      s->start = start;
      g_ptr_array_add (q->sources, s);
    }
  s->domain = m->domain;
  if (s->start == start)
    return s;
  // A new start counts from 0 and has no share yet. The use of the earlier one is in the levels.
  set_active (q, s, false);
  memset (s->entries, 0, (size_t)q->n_accounts * sizeof (BjQuotaEntry));
  s->start = start;
  s->seq = 0;
  return s;
}

void
bj_quota_free_source (gpointer s)
{
  g_free (((BjQuotaSource *)s)->entries);
  g_free (s);
}

static void
set_active (BjQuota *q, BjQuotaSource *s, bool is_active)
{
  if (s->is_active == is_active)
    return;
  s->is_active = is_active;
  q->n_active += is_active ? 1 : -1;
  for (int i = 0; i < q->n_accounts; i++)
    {
      double *sum = s->kind == BJ_QUOTA_FROM_MEMBER ? &q->accounts[i].near : &q->accounts[i].far;

      *sum = MAX (0, *sum + (is_active ? 1 : -1) * (double)s->entries[i].demand);
    }
}

static void
keep_shares (BjQuota *q, BjTime now, BjQuotaSource *s)
{
  for (int i = 0; i < q->n_accounts; i++)
    {
      BjQuotaAccount *a = &q->accounts[i];
      double total = a->near + a->far + bj_quota_demand_now (a, now);

      s->entries[i].share = total > 0 ? (float)(s->entries[i].demand / total * a->part) : 0;
      // From the last report on.
      bj_quota_settle (a, now);
      a->pool_level -= a->rate * (double)s->entries[i].share * (now - s->heard) / 1000;
    }
  q->has_reservations = true;
}

// Demand that was known before this daemon became collector and is reported to nobody now, as the
// collector before it was lost.
static void
find_lost (BjQuota *q)
{
  q->has_lost = true;
  for (int i = 0; i < q->n_accounts; i++)
    {
      BjQuotaAccount *a = &q->accounts[i];
      double left = a->near + a->far + a->own_demand;

      a->lost = a->before > 0 && left < (1 - LOST_MIN) * a->before ? 1 - left / a->before : 0;
      q->has_reservations = q->has_reservations || a->lost > 0;
    }
}

// Largest part of the rate that the pool may have. While this daemon has found some of the others
// only, each of several pools would take itself for that of the whole fleet.
static double
largest_part (const BjQuota *q, BjTime now, int n_seen)
{
  if (now - q->began >= BJ_QUOTA_START_MS || q->is_alone)
    return 1;
  return MIN (1,
              (double)n_seen
                  / (now - q->began < BJ_QUOTA_FIND_MS ? BJ_QUOTA_MEMBERS_ASSUMED : q->n_known));
}

static void
reserve_parts (BjQuota *q, BjTime now)
{
  int n_seen = q->n_seen;
  int n_known = MAX (q->n_known, 1);
  double slack;
  double near;
  double largest;

  for (int i = 1; i < q->n_domains; i++)
    if (q->domains[i].source != NULL && q->domains[i].source->is_active)
      n_seen += q->domains[i].source->n_seen;
  slack = 2 * n_seen > n_known ? SLACK : 0;
  largest = largest_part (q, now, n_seen);
  q->reserved_at = now;
  q->has_reservations = now - q->began < BJ_QUOTA_START_MS;
  q->fraction = largest;
  for (int i = 0; i < q->n_accounts; i++)
    {
      BjQuotaAccount *a = &q->accounts[i];
      double reserved = reserved_part (q, now, i, &near);

      bj_quota_settle (a, now);
      a->part = CLAMP (1 - MAX (0, reserved - slack), 0, largest);
      // Others add up the reservations of all domains; a change is reported at once.
      if (fabs (a->reserved - near) > 1 / BJ_QUOTA_SCALE)
        a->sum_changed_at = now;
      a->reserved = near;
      q->has_reservations = q->has_reservations || reserved > 0;
      q->fraction = MIN (q->fraction, a->part);
    }
}

// A reservation falls later than the part for which it is made may rise elsewhere.
static double
slide_reserved (double from, double to, BjTime silent)
{
  double t = (silent - BJ_QUOTA_KEEP_MS - (to < from ? BJ_QUOTA_LATE_MS : 0)) / BJ_QUOTA_SLIDE_MS;

  return from + (to - from) * CLAMP (t, 0, 1);
}

// Part of the rate that is reserved for members and domains that are not heard; near: for those of
// the own domain.
static double
reserved_part (const BjQuota *q, BjTime now, int i, double *near)
{
  double equal = 1.0 / q->n_known;
  double all;
  int n_unheard = q->domains[0].n - q->domains[0].n_up; // down and never heard by this collector

  *near = 0;
  for (guint k = 0; k < q->sources->len; k++)
    {
      const BjQuotaSource *s = g_ptr_array_index (q->sources, k);

      if (s->kind != BJ_QUOTA_FROM_MEMBER)
        continue;
      if (!s->is_active)
        *near += slide_reserved (s->entries[i].share, equal, now - s->heard);
      n_unheard -= !s->is_active && !bj_quota_find_member (q, s->name)->is_up;
    }
  *near += MAX (0, n_unheard) * equal;
  *near += slide_reserved (q->accounts[i].lost, 0, now - q->pool_from);
  all = *near = MIN (*near, 1);
  for (int k = 1; k < q->n_domains; k++)
    {
      const BjQuotaDomain *d = &q->domains[k];

      if (d->source != NULL && d->source->is_active)
        all += d->source->entries[i].reserved;
      else if (d->source != NULL)
        all += slide_reserved (d->source->entries[i].share, d->n * equal, now - d->source->heard);
      else
        all += (d->n - d->n_old) * equal;
    }
  return all;
}
