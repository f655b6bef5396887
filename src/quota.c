// Quota: rate limits of client accounts over all daemons together. Each daemon reports what it
// admitted and what arrives to the collector of its domain; collectors exchange the sums of their
// domains. A collector keeps one token bucket for each account (the pool) and answers reports with
// its level and the demand, from which each daemon decides alone (its view). The parts of members
// and domains that are not heard are reserved, so that the parts of a partition add up to the rate.
// Here: the accounts, the members and the decisions.

#include "collector.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define DEMAND_MS 500.0 // time constant of the demand
#define DRAIN_S 0.5     // in which a positive level is used up
// In which a negative level is made up for: at 0.5 of the rate below 0, which is in the bound,
// nothing is admitted.
#define REPAY_S 0.5
#define DEPTH_MIN 5          // requests; buckets of small accounts would overflow between arrivals
#define DEPTH_S 0.2          // of the rate that a bucket holds at least, as reports are that late
#define RETRY_MAX_MS 10000.0 // retry-after time

static int by_rank (const void *a, const void *b);
static bool is_starting (const BjQuota *q, BjTime now);
static double own_fraction (const BjQuota *q, const BjQuotaAccount *a, BjTime now);
static double slide_own (double from, double to, BjTime silent);
static double admission (const BjQuota *q, const BjQuotaAccount *a, BjTime now, double *level);
static double retry_after (BjQuota *q, BjQuotaAccount *a, BjTime now, double level);
static void count_use (BjQuotaAccount *a, BjTime now);

BjQuota *
bj_quota_new (BjStr name, BjStr domain, uint64_t start, BjTime now)
{
  BjQuota *q = g_new0 (BjQuota, 1);
  BjQuotaMember self = { name, domain, true };

  q->self = bj_str_hash (name);
  q->domain = bj_str_hash (domain);
  q->start = start;
  q->began = now;
  q->heard = now - BJ_QUOTA_KEEP_MS - BJ_QUOTA_SLIDE_MS - BJ_QUOTA_LATE_MS;
  q->fraction = 1;
  q->unlisted_ms = BJ_QUOTA_UNLISTED_MS;
  q->logged = now - BJ_QUOTA_LOG_INTERVAL_MS;
  q->index = g_hash_table_new (g_int64_hash, g_int64_equal);
  q->member_index = g_hash_table_new (g_int64_hash, g_int64_equal);
  q->sources = g_ptr_array_new_with_free_func (bj_quota_free_source);
  bj_quota_set_members (q, &self, 1, false);
  return q;
}

void
bj_quota_free (BjQuota *q)
{
  if (q == NULL)
    return;
  for (int i = 0; i < q->n_members; i++)
    bj_str_free (&q->members[i].name);
  g_ptr_array_free (q->sources, TRUE);
  g_hash_table_destroy (q->index);
  g_hash_table_destroy (q->member_index);
  g_free (q->domains);
  g_free (q->members);
  g_free (q->accounts);
  g_free (q);
}

void
bj_quota_configure (BjQuota *q, BjTime now, const BjAccount *const *accounts, int n)
{
  BjQuotaAccount *all = g_new0 (BjQuotaAccount, MAX (n, 1));
  int *from = g_new (int, MAX (n, 1)); // index in the present table, -1 if new
  int n_all = 0;

  for (int i = 0; i < n; i++)
    {
      const BjAccount *b = accounts[i];
      const BjQuotaAccount *old = bj_quota_find_account (q, b->hash);
      BjQuotaAccount *a = &all[n_all];

      if (!isfinite (b->rate_per_s) || b->rate_per_s <= 0)
        continue;
      from[n_all++] = old != NULL ? (int)(old - q->accounts) : -1;
      // The daemons begin with different fractions, so that they don't admit at the same time.
      *a = old != NULL ? *old
                       : (BjQuotaAccount){ .hash = b->hash,
                                           .fraction = q->fraction,
                                           .part = 1,
                                           .others = q->n_known - 1,
                                           .carry = (double)((b->hash ^ q->self) % 1009) / 1009 };
      a->rate = b->rate_per_s;
      a->burst = MAX (isfinite (b->burst) ? b->burst : 0, DEPTH_MIN + DEPTH_S * a->rate);
      if (old == NULL)
        {
          // What ran before this process started is not known; after a restart of all daemons
          // nobody else knows it either.
          a->level = a->pool_level = now - q->began < BJ_QUOTA_WINDOW_MS ? 0 : a->burst;
          a->level_at = a->pool_at = a->demand_at = now;
        }
      a->level = MIN (a->level, a->burst);
      a->pool_level = MIN (a->pool_level, a->burst);
    }
  for (guint i = 0; i < q->sources->len; i++)
    {
      BjQuotaSource *s = g_ptr_array_index (q->sources, i);
      BjQuotaEntry *entries = g_new0 (BjQuotaEntry, MAX (n_all, 1));

      for (int k = 0; k < n_all; k++)
        if (from[k] >= 0)
          entries[k] = s->entries[from[k]];
      g_free (s->entries);
      s->entries = entries;
    }
  g_free (from);
  g_free (q->accounts);
  q->accounts = all;
  q->n_accounts = n_all;
  q->totals_cursor = 0;
  for (int i = 0; i < q->n_members; i++)
    {
      q->members[i].cursor = q->members[i].next_cursor = 0;
      q->members[i].passed = q->members[i].pass_from = 0;
    }
  g_hash_table_remove_all (q->index);
  for (int i = 0; i < n_all; i++)
    g_hash_table_insert (q->index, &all[i].hash, GINT_TO_POINTER (i + 1));
}

void
bj_quota_set_members (BjQuota *q, const BjQuotaMember *m, int n, bool is_alone)
{
  BjQuotaPeer *all = g_new0 (BjQuotaPeer, MAX (n, 1));

  g_free (q->domains);
  q->domains = g_new0 (BjQuotaDomain, n + 1);
  q->domains[0].hash = q->domain;
  q->n_domains = 1;
  q->n_old = 0;
  for (int i = 0; i < n; i++)
    {
      uint64_t hash = bj_str_hash (m[i].name);
      BjQuotaPeer *old = bj_quota_find_member (q, hash);
      uint64_t domain = bj_str_hash (m[i].domain);
      BjQuotaDomain *d = bj_quota_find_domain (q, domain);

      if (old != NULL && old->name.data != NULL)
        {
          all[i] = *old;
          old->name = BJ_STR_NULL;
        }
      else
        all[i] = (BjQuotaPeer){ .name = bj_str_dup (m[i].name), .hash = hash };
      all[i].rank = (hash ^ hash >> 29) * UINT64_C (0x9e3779b97f4a7c15);
      all[i].domain = domain;
      all[i].is_up = m[i].is_up || hash == q->self;
      if (d == NULL)
        {
          d = &q->domains[q->n_domains++];
          d->hash = domain;
        }
      d->n++;
      d->n_up += all[i].is_up;
      d->n_old += all[i].is_old;
      q->n_old += all[i].is_old;
    }
  for (int i = 0; i < q->n_members; i++)
    bj_str_free (&q->members[i].name);
  g_free (q->members);
  qsort (all, (size_t)n, sizeof *all, by_rank);
  q->members = all;
  q->n_members = n;
  g_hash_table_remove_all (q->member_index);
  for (int i = 0; i < n; i++)
    g_hash_table_insert (q->member_index, &all[i].hash, GINT_TO_POINTER (i + 1));
  q->n_known = n > 1 ? n : is_alone ? 1 : BJ_QUOTA_MEMBERS_ASSUMED;
  q->is_alone = is_alone && n <= 1;
  // Accounts may have been configured while other members were assumed to exist.
  for (int i = 0; i < q->n_accounts && q->is_alone; i++)
    {
      q->accounts[i].fraction = 1;
      q->accounts[i].others = 0;
    }
}

bool
bj_quota_is_needed (const BjQuota *q)
{
  return q->n_accounts > 0;
}

bool
bj_quota_admit (BjQuota *q, BjTime now, uint64_t account, double *retry_after_ms)
{
  BjQuotaAccount *a = bj_quota_find_account (q, account);
  double level;
  double p;

  if (a == NULL)
    return true;
  now = MAX (now, a->demand_at);
  a->demand = bj_quota_demand_now (a, now) + 1000 / DEMAND_MS;
  a->demand_at = now;
  a->changed_at = now;
  if (a->n_refunded > 0)
    {
      a->n_refunded--;
      return true;
    }
  if (q->pool_from != 0 && q->n_active > 0 && now - a->level_at >= BJ_QUOTA_URGENT_MS)
    bj_quota_count_own (q, a, now);
  bj_quota_expire_view (q, a, now);
  p = admission (q, a, now, &level);
  a->carry = p < 1 ? a->carry + p : a->carry;
  if (p >= 1 || a->carry >= 1)
    {
      a->carry -= p < 1 ? 1 : 0;
      a->count++;
      count_use (a, now);
      return true;
    }
  a->n_refused++;
  *retry_after_ms = retry_after (q, a, now, level);
  return false;
}

void
bj_quota_refund (BjQuota *q, uint64_t account)
{
  BjQuotaAccount *a = bj_quota_find_account (q, account);

  if (a != NULL && a->n_refunded < a->burst + a->rate)
    a->n_refunded++;
}

bool
bj_quota_use (BjQuota *q, BjTime now, uint64_t account, BjQuotaUse *u)
{
  BjQuotaAccount *a = bj_quota_find_account (q, account);

  if (a == NULL)
    return false;
  bj_quota_expire_view (q, a, now);
  *u = (BjQuotaUse){ .use = bj_quota_window_use (a, now) * 1000 / BJ_QUOTA_WINDOW_MS,
                     .level = bj_quota_estimate_level (q, a, now),
                     .demand = MAX (a->total, bj_quota_demand_now (a, now)),
                     .share = own_fraction (q, a, now),
                     .n_refused = a->n_refused };
  return true;
}

size_t
bj_quota_bytes (const BjQuota *q)
{
  return sizeof *q + (size_t)q->n_accounts * (sizeof (BjQuotaAccount) + 3 * sizeof (gpointer))
         + (size_t)q->n_members * sizeof (BjQuotaPeer)
         + (size_t)q->n_domains * sizeof (BjQuotaDomain)
         + q->sources->len
               * (sizeof (BjQuotaSource) + (size_t)q->n_accounts * sizeof (BjQuotaEntry));
}

BjQuotaAccount *
bj_quota_find_account (const BjQuota *q, uint64_t hash)
{
  int i = GPOINTER_TO_INT (g_hash_table_lookup (q->index, &hash));

  return i > 0 ? &q->accounts[i - 1] : NULL;
}

BjQuotaPeer *
bj_quota_find_member (const BjQuota *q, uint64_t hash)
{
  int i = GPOINTER_TO_INT (g_hash_table_lookup (q->member_index, &hash));

  return i > 0 ? &q->members[i - 1] : NULL;
}

BjQuotaDomain *
bj_quota_find_domain (const BjQuota *q, uint64_t hash)
{
  for (int i = 0; i < q->n_domains; i++)
    if (q->domains[i].hash == hash)
      return &q->domains[i];
  return NULL;
}

void
bj_quota_set_old (BjQuota *q, BjQuotaPeer *m, bool is_old)
{
  int change = (is_old ? 1 : 0) - (m->is_old ? 1 : 0);

  m->is_old = is_old;
  q->n_old += change;
  bj_quota_find_domain (q, m->domain)->n_old += change;
}

double
bj_quota_demand_now (const BjQuotaAccount *a, BjTime now)
{
  double d = a->demand > 0 ? a->demand * exp (-MAX (0, now - a->demand_at) / DEMAND_MS) : 0;

  return d < BJ_QUOTA_DEMAND_MIN ? 0 : d;
}

bool
bj_quota_is_heard (const BjQuota *q, BjTime now)
{
  return q->is_alone || (q->pool_from != 0 && q->n_active > 0)
         || now - q->heard <= BJ_QUOTA_SILENT_MS;
}

// The last level, filled at the rate since then, less own admissions and those that the others are
// assumed to have made: for each own one as many as their demand is larger, or what they admitted
// before.
double
bj_quota_estimate_level (const BjQuota *q, const BjQuotaAccount *a, BjTime now)
{
  double own = (double)(a->count - a->included);
  double s = MAX (0, now - a->level_at) / 1000;
  double fraction = a->fraction;
  double others = own * a->others;

  if (!bj_quota_is_heard (q, now))
    {
      fraction = own_fraction (q, a, now);
      others = 0;
    }
  else
    others = MAX (others, MIN (MAX (0, a->total - a->own_demand), a->rate * fraction) * s);
  return MIN (a->burst * fraction, a->level + a->rate * fraction * s - others) - own;
}

// Totals list all accounts that are near their limit. One that they no longer list has a full
// bucket; nothing is known of where its next requests arrive. A daemon alone with its part fills a
// bucket of its own.
void
bj_quota_expire_view (const BjQuota *q, BjQuotaAccount *a, BjTime now)
{
  if (!bj_quota_is_heard (q, now) || q->is_alone)
    {
      a->level = bj_quota_estimate_level (q, a, now);
      a->level_at = now;
      a->included = a->count;
      return;
    }
  if (now - a->level_at <= q->unlisted_ms)
    return;
  a->level = a->burst;
  a->level_at = now;
  a->included = a->count;
  a->total = a->own_demand = 0;
  a->fraction = q->fraction;
  a->others = q->n_known - 1;
}

// The number of others that is assumed falls over several reports, as after a jump of the demand
// those of other daemons may not have arrived yet.
void
bj_quota_apply_view (
    const BjQuota *q, BjQuotaAccount *a, BjTime now, double level, double total, double fraction)
{
  double others = MIN (MAX (0, total - a->own_demand) / MAX (a->own_demand, 1), q->n_known - 1);

  a->others = others > a->others ? others : (others + a->others) / 2;
  a->is_known = true;
  a->level = level;
  a->level_at = now;
  a->total = total;
  a->fraction = fraction;
}

double
bj_quota_window_use (const BjQuotaAccount *a, BjTime now)
{
  int64_t slot = (int64_t)(now * BJ_QUOTA_SLOTS / BJ_QUOTA_WINDOW_MS);
  double n = 0;

  for (int64_t i = MAX (0, MAX (slot, a->slot) - BJ_QUOTA_SLOTS + 1); i <= a->slot; i++)
    n += a->slots[i % BJ_QUOTA_SLOTS];
  return n;
}

static int
by_rank (const void *a, const void *b)
{
  uint64_t x = ((const BjQuotaPeer *)a)->rank;
  uint64_t y = ((const BjQuotaPeer *)b)->rank;

  return x < y ? 1 : x > y ? -1 : 0;
}

// Before its first totals a daemon does not know how many others have started just now as well, and
// has found only some of them.
static bool
is_starting (const BjQuota *q, BjTime now)
{
  return now - q->began < BJ_QUOTA_START_MS && q->heard < q->began && !bj_quota_is_heard (q, now);
}

// Part of the rate that this daemon has without further reports. It changes from its part of the
// demand to an equal part of all known members. Members of an older version admit without a limit
// and have no part.
static double
own_fraction (const BjQuota *q, const BjQuotaAccount *a, BjTime now)
{
  double equal = MIN (1, (1.0 + q->n_old) / q->n_known);

  if (is_starting (q, now))
    return 1.0 / BJ_QUOTA_MEMBERS_ASSUMED;
  if (!a->is_known || a->total <= 0)
    return equal;
  return slide_own (a->fraction * MIN (1, a->own_demand / a->total), equal, now - q->heard);
}

static double
slide_own (double from, double to, BjTime silent)
{
  double t = (silent - BJ_QUOTA_KEEP_MS - (to > from ? BJ_QUOTA_LATE_MS : 0)) / BJ_QUOTA_SLIDE_MS;

  return from + (to - from) * CLAMP (t, 0, 1);
}

// Probability with which a request is admitted.
static double
admission (const BjQuota *q, const BjQuotaAccount *a, BjTime now, double *level)
{
  double demand = bj_quota_demand_now (a, now);
  double total = demand;
  double fraction = own_fraction (q, a, now);

  if (bj_quota_is_heard (q, now))
    {
      fraction = a->fraction;
      total = a->total + demand - a->own_demand;
      // One arrival is no sign that more arrive elsewhere.
      total += MAX (0, demand - a->own_demand - 1000 / DEMAND_MS) * a->others;
    }
  *level = bj_quota_estimate_level (q, a, now);
  // Error diffusion would let each daemon admit its first request.
  if (is_starting (q, now))
    return *level >= 1 ? 1 : 0;
  return MAX (0, a->rate * fraction + *level / (*level > 0 ? DRAIN_S : REPAY_S))
         / MAX (MAX (total, demand), BJ_QUOTA_DEMAND_MIN);
}

// Each refused request gets a later place at this daemon's part of the rate.
static double
retry_after (BjQuota *q, BjQuotaAccount *a, BjTime now, double level)
{
  double part = bj_quota_is_heard (q, now)
                    ? a->fraction * MIN (1, a->own_demand / MAX (a->total, 1))
                    : own_fraction (q, a, now);
  bool is_new = is_starting (q, now);
  double step = 1000 / (a->rate * (is_new ? 1 : CLAMP (part, 1.0 / q->n_known, 1)));
  BjTime at = MAX (now + (is_new ? BJ_QUOTA_FIND_MS : 1000 * MAX (0, 1 - level) / a->rate),
                   a->next_retry + step);

  a->next_retry = MIN (at, now + RETRY_MAX_MS);
  return MAX (1, a->next_retry - now);
}

static void
count_use (BjQuotaAccount *a, BjTime now)
{
  int64_t slot = (int64_t)(now * BJ_QUOTA_SLOTS / BJ_QUOTA_WINDOW_MS);

  if (slot - a->slot > BJ_QUOTA_SLOTS)
    memset (a->slots, 0, sizeof a->slots);
  else
    for (int64_t i = a->slot + 1; i <= slot; i++)
      a->slots[i % BJ_QUOTA_SLOTS] = 0;
  a->slot = MAX (a->slot, slot);
  a->slots[a->slot % BJ_QUOTA_SLOTS]++;
}
