// Report: the messages about the rates of client accounts, from a member to the collector of its
// domain, between collectors, and their replies, the totals.

#include "collector.h"
#include <math.h>

#define VERSION 1
#define POLL_MS 200       // between two reports that contain no change
#define REPLY_WAIT_MS 200 // for a reply before the next report
#define REFERRED_MAX 10   // times after which those passed over are asked again
#define SKIP_OLD_MS 60000 // a daemon that replies without totals is passed over for this long
#define ROTATE_MS 400     // longer for each 256 limited accounts
#define DEMAND_STEP 0.1   // relative change of the demand that is reported
#define DEBT_S 2.5        // of the rate that a level may be below 0
#define BLEND 0.05        // part of the difference to another collector's level that is taken
#define REFERRAL 2000     // in place of the part of the rate, from a daemon that is no collector
#define COUNT_MAX (UINT64_C (1) << 53)
#define STEP_MAX 100000000       // requests between two reports; more is absurd
#define SCALED_MAX 1000000000000 // of a demand or level
#define REPORT_FIELDS 6
#define TOTALS_FIELDS 4

static void handle_referral (BjQuota *q, BjTime now, BjQuotaPeer *m);
static bool write_report (BjQuota *q, BjTime now, BjQuotaPeer *m, msgpack_sbuffer *out);
static bool pack_entry (
    BjQuota *q, BjTime now, BjQuotaKind k, BjQuotaAccount *a, BjTime since, msgpack_packer *p);
static void
write_totals (BjQuota *q, BjTime now, const BjQuotaSource *s, GArray *asked, msgpack_sbuffer *out);
static void write_referral (uint64_t seq, msgpack_sbuffer *out);
static void pack_totals (BjQuota *q, BjTime now, BjQuotaAccount *a, msgpack_packer *p);
static int64_t scale (double value);
static bool unpack (BjStr bytes, msgpack_unpacked *unpacked, BjFields *in);
static bool check_entries (BjFields in, bool is_report);
static void
take_entry (BjQuota *q, BjTime now, BjQuotaSource *s, BjTime silent, BjFields *in, GArray *asked);
static bool reject (BjQuota *q, BjTime now, BjStr from, const char *why);

bool
bj_quota_next_report (BjQuota *q, BjTime now, BjStr *to, msgpack_sbuffer *out)
{
  bool collects;

  if (q->n_accounts == 0)
    return false;
  collects = bj_quota_is_collector (q, now);
  if (collects && q->pool_from == 0)
    bj_quota_open_pool (q, now);
  else if (!collects && q->pool_from != 0)
    bj_quota_close_pool (q);
  if (collects && now - q->updated >= BJ_QUOTA_TICK_MS)
    bj_quota_update_pool (q, now);
  for (int i = collects ? 1 : 0; i < (collects ? q->n_domains : 1); i++)
    {
      BjQuotaPeer *m = bj_quota_pick_collector (q, q->domains[i].hash, now);

      if (m != NULL && m->asked != 0 && now - m->asked > BJ_QUOTA_SILENT_MS)
        {
          m->skip_until
              = now + (now - q->began < BJ_QUOTA_START_MS ? BJ_QUOTA_SILENT_MS : BJ_QUOTA_SKIP_MS);
          m->asked = 0;
          m->is_awaited = false;
          m = bj_quota_pick_collector (q, q->domains[i].hash, now);
        }
      if (m == NULL || m->hash == q->self || !write_report (q, now, m, out))
        continue;
      *to = m->name;
      return true;
    }
  return false;
}

bool
bj_quota_take_report (BjQuota *q, BjTime now, BjStr from, BjStr bytes, msgpack_sbuffer *reply)
{
  msgpack_unpacked unpacked;
  BjFields in = { 0 };
  const BjQuotaPeer *m = bj_quota_find_member (q, bj_str_hash (from));
  const char *why = NULL;
  GArray *asked;
  BjQuotaSource *s;
  BjTime silent;
  BjQuotaKind kind;
  uint64_t start;
  uint64_t seq;
  int n_seen;

  msgpack_unpacked_init (&unpacked);
  if (!unpack (bytes, &unpacked, &in))
    why = "it is not one msgpack array of this version";
  kind = (BjQuotaKind)bj_field_uint (&in, BJ_QUOTA_KINDS - 1);
  start = bj_field_uint (&in, UINT64_MAX);
  seq = bj_field_uint (&in, COUNT_MAX);
  n_seen = (int)bj_field_uint (&in, UINT16_MAX);
  if (why == NULL && (in.failed || !check_entries (in, true)))
    why = "a field is missing, of a wrong type or out of range";
  else if (why == NULL
           && (m == NULL || m->hash == q->self
               || (kind == BJ_QUOTA_FROM_MEMBER) != (m->domain == q->domain)))
    why = "its sender is not a member that reports here";
  if (why != NULL)
    {
      msgpack_unpacked_destroy (&unpacked);
      return reject (q, now, from, why);
    }
  // A member that passed over a collector which this daemon hears would split the domain.
  if (kind == BJ_QUOTA_FROM_MEMBER && q->pool_from == 0 && bj_quota_is_heard (q, now)
      && !bj_quota_is_collector (q, now))
    {
      write_referral (seq, reply);
      msgpack_unpacked_destroy (&unpacked);
      return true;
    }
  if (kind == BJ_QUOTA_FROM_MEMBER)
    q->collected = now;
  if (q->pool_from == 0)
    bj_quota_open_pool (q, now);
  s = bj_quota_get_source (q, kind, m, start);
  silent = s->is_active ? 0 : now - s->heard;
  // A late copy has no effect, but its sender is alive.
  if (seq > s->seq)
    {
      asked = g_array_new (FALSE, FALSE, sizeof (int));
      s->seq = seq;
      s->n_seen = MIN (n_seen, q->n_members);
      s->heard = now;
      if (!s->is_active)
        bj_quota_choose_sources (q);
      while (in.n_left > 0)
        take_entry (q, now, s, silent, &in, asked);
      write_totals (q, now, s, asked, reply);
      g_array_free (asked, TRUE);
    }
  msgpack_unpacked_destroy (&unpacked);
  return true;
}

bool
bj_quota_take_totals (BjQuota *q, BjTime now, BjStr from, BjStr bytes)
{
  msgpack_unpacked unpacked;
  BjFields in = { 0 };
  BjQuotaPeer *m = bj_quota_find_member (q, bj_str_hash (from));
  const char *why = m == NULL ? "its sender is no member" : NULL;
  uint64_t seq;
  uint64_t n_limited;
  double fraction;

  if (m != NULL && bytes.len == 0)
    {
      bj_quota_set_old (q, m, true);
      m->skip_until = now + SKIP_OLD_MS;
      m->asked = 0;
      m->is_awaited = false;
      return true;
    }
  msgpack_unpacked_init (&unpacked);
  if (why == NULL && !unpack (bytes, &unpacked, &in))
    why = "it is not one msgpack array of this version";
  seq = bj_field_uint (&in, COUNT_MAX);
  n_limited = bj_field_uint (&in, UINT32_MAX);
  fraction = (double)bj_field_uint (&in, REFERRAL) / BJ_QUOTA_SCALE;
  if (why == NULL && (in.failed || !check_entries (in, false)))
    why = "a field is missing, of a wrong type or out of range";
  if (why != NULL)
    {
      msgpack_unpacked_destroy (&unpacked);
      return reject (q, now, from, why);
    }
  bj_quota_set_old (q, m, false);
  // Late totals do not contain the use that was reported since.
  if (seq == m->seq && m->is_awaited)
    {
      m->asked = 0;
      m->is_awaited = false;
      if (fraction > 1)
        {
          handle_referral (q, now, m);
          msgpack_unpacked_destroy (&unpacked);
          return true;
        }
      m->n_referred = 0;
      m->cursor = m->next_cursor;
      if (m->cursor == 0)
        m->passed = m->pass_from;
      if (m->domain == q->domain && q->pool_from == 0)
        {
          q->heard = now;
          q->fraction = fraction;
          q->unlisted_ms
              = BJ_QUOTA_UNLISTED_MS + ROTATE_MS * (double)n_limited / BJ_QUOTA_ENTRIES_MAX;
          while (in.n_left > 0)
            {
              BjQuotaAccount *a = bj_quota_find_account (q, bj_field_uint (&in, UINT64_MAX));
              double level = (double)bj_field_int (&in, -SCALED_MAX, SCALED_MAX) / BJ_QUOTA_SCALE;
              double total = (double)bj_field_uint (&in, SCALED_MAX) / BJ_QUOTA_SCALE;
              double part = (double)bj_field_uint (&in, (uint64_t)BJ_QUOTA_SCALE) / BJ_QUOTA_SCALE;

              if (a == NULL)
                continue;
              a->acked = a->included = a->sent_count;
              a->own_demand = a->sent_demand;
              bj_quota_apply_view (q, a, now, level, total, part);
            }
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return true;
}

// The referring daemon may only be late to miss the collector, so it is asked again for some time.
static void
handle_referral (BjQuota *q, BjTime now, BjQuotaPeer *m)
{
  if (++m->n_referred < REFERRED_MAX)
    return;
  m->n_referred = 0;
  for (int i = 0; i < q->n_members; i++)
    if (q->members[i].domain == q->domain && q->members[i].hash != q->self && !q->members[i].is_old
        && q->members[i].rank > m->rank)
      q->members[i].skip_until = now;
}

// Writes the changes since the last report that was replied to; false if none is due.
static bool
write_report (BjQuota *q, BjTime now, BjQuotaPeer *m, msgpack_sbuffer *out)
{
  BjQuotaKind kind = m->domain == q->domain ? BJ_QUOTA_FROM_MEMBER : BJ_QUOTA_FROM_COLLECTOR;
  BjTime age = now - m->sent;
  bool is_urgent = false;
  msgpack_sbuffer entries;
  msgpack_packer p;
  int n = 0;
  int i;

  if (m->is_awaited && age < REPLY_WAIT_MS)
    return false;
  if (kind == BJ_QUOTA_FROM_MEMBER && q->target != m->hash)
    {
      // A new collector gets everything.
      q->target = m->hash;
      m->passed = m->pass_from = m->cursor = m->next_cursor = 0;
    }
  for (i = 0;
       i < q->n_accounts && kind == BJ_QUOTA_FROM_MEMBER && age >= BJ_QUOTA_URGENT_MS && !is_urgent;
       i++)
    is_urgent = q->accounts[i].changed_at > m->sent
                && bj_quota_demand_now (&q->accounts[i], now) > 2 * q->accounts[i].sent_demand + 2;
  if (m->sent != 0 && age < (is_urgent ? BJ_QUOTA_URGENT_MS : BJ_QUOTA_REPORT_MS))
    return false;
  msgpack_sbuffer_init (&entries);
  msgpack_packer_init (&p, &entries, msgpack_sbuffer_write);
  if (m->cursor == 0)
    m->pass_from = now;
  for (i = m->cursor; i < q->n_accounts && n < BJ_QUOTA_ENTRIES_MAX; i++)
    n += pack_entry (q, now, kind, &q->accounts[i], m->passed, &p);
  m->next_cursor = i < q->n_accounts ? i : 0;
  if (n > 0 || age >= POLL_MS || m->sent == 0)
    {
      m->seq++;
      m->sent = now;
      m->asked = m->asked != 0 ? m->asked : now;
      m->is_awaited = true;
      msgpack_packer_init (&p, out, msgpack_sbuffer_write);
      msgpack_pack_array (&p, 5 + (size_t)n * REPORT_FIELDS);
      msgpack_pack_int (&p, VERSION);
      msgpack_pack_int (&p, kind);
      msgpack_pack_uint64 (&p, kind == BJ_QUOTA_FROM_MEMBER ? q->start : q->start + q->n_pools);
      msgpack_pack_uint64 (&p, m->seq);
      msgpack_pack_int (&p, MIN (q->n_seen, UINT16_MAX));
      msgpack_sbuffer_write (out, entries.data != NULL ? entries.data : "", entries.size);
    }
  else
    n = -1;
  msgpack_sbuffer_destroy (&entries);
  return n >= 0;
}

static bool
pack_entry (
    BjQuota *q, BjTime now, BjQuotaKind k, BjQuotaAccount *a, BjTime since, msgpack_packer *p)
{
  double demand = bj_quota_demand_now (a, now);

  if (k == BJ_QUOTA_FROM_MEMBER)
    {
      if (fabs (demand - a->sent_demand) > DEMAND_STEP * a->sent_demand + BJ_QUOTA_DEMAND_MIN / 2)
        a->changed_at = now;
      if (a->changed_at <= since || a->changed_at == 0)
        return false;
      a->sent_count = a->count;
      a->sent_demand = demand;
      msgpack_pack_uint64 (p, a->hash);
      msgpack_pack_uint64 (p, a->count);
      msgpack_pack_uint64 (p, a->acked);
      msgpack_pack_int64 (p, scale (demand));
      msgpack_pack_int64 (p, scale (bj_quota_window_use (a, now)));
      msgpack_pack_int (p, 0);
      return true;
    }
  demand += a->near;
  if (a->count != a->acked)
    bj_quota_count_own (q, a, now);
  if (a->sum != a->sum_sent
      || fabs (demand - a->sum_demand) > DEMAND_STEP * a->sum_demand + BJ_QUOTA_DEMAND_MIN / 2)
    {
      a->sum_changed_at = now;
      a->sum_sent = a->sum;
      a->sum_demand = demand;
    }
  if (a->sum_changed_at <= since || a->sum_changed_at == 0)
    return false;
  bj_quota_settle (a, now);
  msgpack_pack_uint64 (p, a->hash);
  msgpack_pack_uint64 (p, a->sum);
  msgpack_pack_int (p, 0);
  msgpack_pack_int64 (p, scale (demand));
  msgpack_pack_int64 (p, scale (a->pool_level));
  msgpack_pack_int64 (p, scale (a->reserved));
  return true;
}

// Writes the totals of the accounts asked about and of those that are limited, so that a daemon
// where requests of an account are rare knows of its limit. Collectors get no accounts: they know
// the same.
static void
write_totals (BjQuota *q, BjTime now, const BjQuotaSource *s, GArray *asked, msgpack_sbuffer *out)
{
  int n_asked = (int)asked->len;
  int n_limited = 0;
  int first = q->totals_cursor;
  msgpack_packer p;

  for (int k = 0; k < q->n_accounts && s->kind == BJ_QUOTA_FROM_MEMBER; k++)
    {
      int i = (first + k) % q->n_accounts;
      BjQuotaAccount *a = &q->accounts[i];
      double total = a->near + a->far + a->demand;

      if (total <= 0 && a->pool_level >= a->burst / 2)
        continue;
      bj_quota_settle (a, now);
      if (total < 0.9 * a->rate * a->part && a->pool_level > a->burst * a->part / 2)
        continue;
      if (n_limited++ >= BJ_QUOTA_ENTRIES_MAX)
        continue;
      g_array_append_val (asked, i);
      q->totals_cursor = (i + 1) % q->n_accounts;
    }
  if (n_limited <= BJ_QUOTA_ENTRIES_MAX)
    q->totals_cursor = 0;
  msgpack_packer_init (&p, out, msgpack_sbuffer_write);
  if (s->kind != BJ_QUOTA_FROM_MEMBER)
    n_asked = (int)(asked->len = 0);
  // An account that is asked about and limited is written once.
  for (guint k = (guint)n_asked; k < asked->len;)
    {
      bool is_twice = false;

      for (int j = 0; j < n_asked && !is_twice; j++)
        is_twice = g_array_index (asked, int, j) == g_array_index (asked, int, k);
      if (is_twice)
        g_array_remove_index_fast (asked, k);
      else
        k++;
    }
  msgpack_pack_array (&p, 4 + (size_t)asked->len * TOTALS_FIELDS);
  msgpack_pack_int (&p, VERSION);
  msgpack_pack_uint64 (&p, s->seq);
  msgpack_pack_int (&p, n_limited);
  msgpack_pack_int64 (&p, scale (q->fraction));
  for (guint k = 0; k < asked->len; k++)
    pack_totals (q, now, &q->accounts[g_array_index (asked, int, k)], &p);
}

// Tells a member that this daemon is not the collector: totals without a part of the rate.
static void
write_referral (uint64_t seq, msgpack_sbuffer *out)
{
  msgpack_packer p;

  msgpack_packer_init (&p, out, msgpack_sbuffer_write);
  msgpack_pack_array (&p, 4);
  msgpack_pack_int (&p, VERSION);
  msgpack_pack_uint64 (&p, seq);
  msgpack_pack_int (&p, 0);
  msgpack_pack_int (&p, REFERRAL);
}

static void
pack_totals (BjQuota *q, BjTime now, BjQuotaAccount *a, msgpack_packer *p)
{
  if (a->count != a->acked)
    bj_quota_count_own (q, a, now);
  bj_quota_settle (a, now);
  msgpack_pack_uint64 (p, a->hash);
  msgpack_pack_int64 (p, scale (a->pool_level));
  msgpack_pack_int64 (p, scale (a->near + a->far + bj_quota_demand_now (a, now)));
  msgpack_pack_int64 (p, scale (a->part));
}

static int64_t
scale (double value)
{
  return (int64_t)CLAMP (value * BJ_QUOTA_SCALE, -(double)SCALED_MAX, (double)SCALED_MAX);
}

static bool
unpack (BjStr bytes, msgpack_unpacked *unpacked, BjFields *in)
{
  size_t at = 0;

  if (!bj_msgpack_is_bounded (bytes)
      || msgpack_unpack_next (unpacked, bytes.data, bytes.len, &at) != MSGPACK_UNPACK_SUCCESS
      || at != bytes.len || unpacked->data.type != MSGPACK_OBJECT_ARRAY)
    {
      in->failed = true;
      return false;
    }
  in->next = unpacked->data.via.array.ptr;
  in->n_left = unpacked->data.via.array.size;
  return bj_field_uint (in, UINT64_MAX) == VERSION && !in->failed;
}

// All entries are checked before one of them has an effect.
static bool
check_entries (BjFields in, bool is_report)
{
  if (in.n_left % (is_report ? REPORT_FIELDS : TOTALS_FIELDS) != 0
      || in.n_left > 2 * BJ_QUOTA_ENTRIES_MAX * REPORT_FIELDS)
    return false;
  while (in.n_left > 0 && !in.failed)
    {
      bj_field_uint (&in, UINT64_MAX);
      if (is_report)
        {
          uint64_t count = bj_field_uint (&in, COUNT_MAX);

          if (bj_field_uint (&in, COUNT_MAX) > count)
            return false;
          bj_field_uint (&in, SCALED_MAX);
          bj_field_int (&in, -SCALED_MAX, SCALED_MAX);
        }
      else
        {
          bj_field_int (&in, -SCALED_MAX, SCALED_MAX);
          bj_field_uint (&in, SCALED_MAX);
        }
      bj_field_uint (&in, (uint64_t)BJ_QUOTA_SCALE);
    }
  return !in.failed;
}

static void
take_entry (BjQuota *q, BjTime now, BjQuotaSource *s, BjTime silent, BjFields *in, GArray *asked)
{
  BjQuotaAccount *a = bj_quota_find_account (q, bj_field_uint (in, UINT64_MAX));
  uint64_t count = bj_field_uint (in, COUNT_MAX);
  uint64_t base = bj_field_uint (in, COUNT_MAX);
  double demand = (double)bj_field_uint (in, SCALED_MAX) / BJ_QUOTA_SCALE;
  double extra = (double)bj_field_int (in, -SCALED_MAX, SCALED_MAX) / BJ_QUOTA_SCALE;
  double reserved = (double)bj_field_uint (in, (uint64_t)BJ_QUOTA_SCALE) / BJ_QUOTA_SCALE;
  bool is_fresh = now - q->pool_from < BJ_QUOTA_FRESH_MS;
  int i = a != NULL ? (int)(a - q->accounts) : -1;
  bool is_first;
  double step;
  double *sum;
  BjQuotaEntry *e;

  if (a == NULL)
    return;
  e = &s->entries[i];
  is_first = e->count == 0;
  sum = s->kind == BJ_QUOTA_FROM_MEMBER ? &a->near : &a->far;
  bj_quota_settle (a, now);
  // The level that a new pool begins with contains what other domains used before. If all domains
  // are new it does not, and without their counts the debts of all would become one.
  if (s->kind == BJ_QUOTA_FROM_COLLECTOR && is_first && is_fresh
      && (a->before > 0 || (double)count > a->burst + a->rate))
    base = count;
  base = MAX (e->count, base);
  step = count > base ? (double)(count - base) : 0;
  if (step > STEP_MAX)
    {
      reject (q, now, BJ_STR ("a member"), "a count rises absurdly");
      step = 0;
    }
  // What a silent sender may use is reserved for it and was not filled into the bucket.
  if (silent > 0 && s->kind == BJ_QUOTA_FROM_MEMBER && is_first)
    silent = 0;
  if (silent > 0)
    step = MAX (0, step - a->rate * MAX ((double)e->share, 1.0 / q->n_known) * silent / 1000);
  a->pool_level -= step;
  if (s->kind == BJ_QUOTA_FROM_MEMBER)
    {
      a->sum += (uint64_t)step;
      // A pool without any knowledge of the level estimates it from the use in the last window.
      if (is_first && is_fresh && !a->is_known)
        a->pool_level -= a->burst * MAX (0, extra) / (a->rate * BJ_QUOTA_WINDOW_MS / 1000);
    }
  else
    a->pool_level += (extra - a->pool_level) * (is_fresh ? 0.5 : BLEND);
  a->pool_level = CLAMP (a->pool_level, -DEBT_S * a->rate - a->burst, a->burst);
  if (s->is_active)
    *sum = MAX (0, *sum + demand - (double)e->demand);
  e->count = MAX (e->count, count);
  e->demand = (float)demand;
  e->reserved = (float)reserved;
  q->has_reservations = q->has_reservations || reserved > 0;
  g_array_append_val (asked, i);
}

static bool
reject (BjQuota *q, BjTime now, BjStr from, const char *why)
{
  if (now - q->logged >= BJ_QUOTA_LOG_INTERVAL_MS)
    bj_log (
        BJ_LOG_WARNING, "ACCOUNT", "Usage message from %.*s rejected: %s.", BJ_STR_ARG (from), why);
  q->logged = now - q->logged >= BJ_QUOTA_LOG_INTERVAL_MS ? now : q->logged;
  return false;
}
