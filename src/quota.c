// Quota: rate limits of client accounts over all daemons together. Each daemon reports what it
// admitted and what arrives to the collector of its domain; collectors exchange the sums of their
// domains. A collector keeps one token bucket for each account (the pool) and answers reports with
// its level and the demand, from which each daemon decides alone (its view). The parts of members
// and domains that are not heard are reserved, so that the parts of a partition add up to the rate.

#include "quota.h"
#include "internal.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define VERSION 1
#define REPORT_MS 100       // between two reports to one receiver
#define POLL_MS 200         // between two reports that contain no change
#define URGENT_MS 25        // between two reports while a rise of the demand is not reported
#define REPLY_WAIT_MS 200   // for a reply before the next report
#define SILENT_MS 500       // after the last message a sender counts as not heard
#define MISSED_MS 300       // after the last report of a sender its part is reserved
#define KEEP_MS 2500        // after the last message its part begins to change
#define SLIDE_MS 3000       // in which a part then changes to an equal part of all known members
#define LATE_MS 1000        // a part that rises does so later, after those of others have fallen
#define SKIP_MS 10000       // a collector that did not reply is passed over for this long
#define REFERRED_MAX 10     // times after which those passed over are asked again
#define SKIP_OLD_MS 60000   // a daemon that replies without totals is passed over for this long
#define ROLE_MS 1000        // without reports of members a collector of several gives up the role
#define START_MS 2000       // after the start in which a daemon waits for its first totals
#define FIND_MS 500         // after the start until a daemon has found most of the others
#define FRESH_MS 1000       // in which a new pool takes the levels of others
#define UNLISTED_MS 1000    // after which an account that totals do not list is not limited
#define ROTATE_MS 400       // longer for each 256 limited accounts
#define MEMBERS_ASSUMED 512 // before any other member is known; no fewer than a fleet has
#define DEMAND_MS 500.0     // time constant of the demand
#define DEMAND_MIN 0.02     // requests a second; less counts as none
#define DEMAND_STEP 0.1     // relative change of the demand that is reported
#define DRAIN_S 0.5         // in which a positive level is used up
#define REPAY_S                                                                                    \
  0.5                 // in which a negative level is made up for; at 0.5 of the rate below 0,
                      // which is in the bound, nothing is admitted
#define SLACK 0.05    // part of the rate that a majority need not reserve; it is in the bound
#define DEPTH_MIN 5   // requests; buckets of small accounts would overflow between arrivals
#define DEPTH_S 0.2   // of the rate that a bucket holds at least, as reports are that late
#define DEBT_S 2.5    // of the rate that a level may be below 0
#define BLEND 0.05    // part of the difference to another collector's level that is taken
#define LOST_MIN 0.15 // part of the demand that a new collector must miss to reserve it
#define RETRY_MAX_MS 10000.0 // retry-after time
#define SLOTS 10             // of the window of use
#define REFERRAL 2000        // in place of the part of the rate, from a daemon that is no collector
#define SCALE 1000.0         // of fractional numbers in messages
#define COUNT_MAX (UINT64_C (1) << 53)
#define STEP_MAX 100000000       // requests between two reports; more is absurd
#define SCALED_MAX 1000000000000 // of a demand or level
#define REPORT_FIELDS 6
#define TOTALS_FIELDS 4
#define LOG_INTERVAL_MS 1000 // between log lines on rejected messages

typedef enum
{
  FROM_MEMBER,
  FROM_COLLECTOR,
  KINDS,
} Kind;

typedef struct
{
  uint64_t hash; // of the name
  double rate;   // requests a second
  double burst;  // depth of the bucket
  // Own use
  uint64_t count;      // admitted since the start
  uint64_t sent_count; // in the last report
  uint64_t acked;      // in the last report that was replied to
  double demand;       // arrivals a second, at demand_at
  BjTime demand_at;
  double sent_demand;    // in the last report
  BjTime changed_at;     // last change that is to be reported
  uint32_t n_refunded;   // admissions that did not run and may be made again without being counted
  uint32_t slots[SLOTS]; // admissions in parts of the window
  int64_t slot;          // number of the newest
  uint64_t n_refused;
  double carry;      // fraction of a request not yet admitted
  BjTime next_retry; // end of the retry-after time given last
  // View: the last totals
  bool is_known;     // they contained the account at least once
  double level;      // at level_at, with this many own admissions
  uint64_t included; // of count
  BjTime level_at;
  double total;      // demand of all that are heard
  double own_demand; // part of it
  double fraction;   // of the rate, which those that are heard have
  double others;     // admissions of the others that are assumed for each own one
  // Pool, if collector
  double pool_level; // at pool_at
  BjTime pool_at;
  double part;     // of the rate, which those that are heard have
  uint64_t sum;    // admitted in the own domain since the pool began
  double near;     // demand of the active members of the own domain
  double far;      // demand of the other domains
  double reserved; // for silent members of the own domain
  double before;   // demand of all when the pool began, 0 if not known
  double lost;     // part of it that was not reported to the new pool
  BjTime sum_changed_at;
  double sum_demand; // demand of the domain at sum_changed_at
  uint64_t sum_sent; // sum at sum_changed_at
} Account;

typedef struct
{
  uint64_t count;
  float demand;   // requests a second
  float share;    // part of the rate when it was last heard
  float reserved; // FROM_COLLECTOR: for silent members of its domain
} Entry;

typedef struct
{
  Kind kind;
  uint64_t name;   // hash
  uint64_t domain; // hash
  uint64_t start;
  uint64_t seq; // of the last report
  BjTime heard;
  int n_seen;     // members whose use the reports contain
  bool is_active; // its demand is part of the sums
  Entry *entries; // as the accounts
} Source;

typedef struct
{
  BjStr name; // owned
  uint64_t hash;
  uint64_t rank; // the highest one in its domain is the collector
  uint64_t domain;
  bool is_up;
  bool is_old;       // replies without totals
  BjTime skip_until; // not asked as a collector
  // Reports to it
  uint64_t seq;     // of the last one
  BjTime sent;      // last one
  BjTime asked;     // first one since its last reply, 0 if none is open
  bool is_awaited;  // the last one was not replied to
  int n_referred;   // times in sequence that it named another collector
  int cursor;       // accounts before it are reported in this pass
  int next_cursor;  // the same once the last report is replied to
  BjTime pass_from; // this pass began
  BjTime passed;    // the last complete pass began
} Member;

typedef struct
{
  uint64_t hash;
  int n; // known members
  int n_up;
  int n_old;
  Source *source; // best one, NULL if none
} Domain;

struct BjQuota
{
  uint64_t self;
  uint64_t domain;
  uint64_t start;
  BjTime began; // start of this process
  Account *accounts;
  int n_accounts;
  GHashTable *index; // hash to index + 1
  Member *members;   // highest rank first
  int n_members;
  GHashTable *member_index; // hash of the name to index + 1
  int n_known;              // members among which equal parts are made
  int n_old;                // of an older version
  bool is_alone;
  Domain *domains; // the own one first
  int n_domains;
  uint64_t target; // member that the last report to the own domain went to
  BjTime heard;    // last totals; in the past without any
  double fraction; // of accounts without demand
  double unlisted_ms;
  // Pool, if collector
  BjTime pool_from;      // 0: none
  BjTime role_from;      // 0: not chosen as collector
  BjTime collected;      // last report of a member
  BjTime updated;        // sources
  BjTime reserved_at;    // reservations
  bool has_lost;         // lost was computed for this pool
  bool has_reservations; // some part is not 1
  int n_active;          // sources
  int n_seen;            // members of the own domain
  uint64_t n_pools;
  GPtrArray *sources; // Source*
  int totals_cursor;
  BjTime logged;
};

static Account *find_account (const BjQuota *q, uint64_t hash);
static double demand_now (const Account *a, BjTime now);
static bool is_starting (const BjQuota *q, BjTime now);
static bool is_heard (const BjQuota *q, BjTime now);
static double own_fraction (const BjQuota *q, const Account *a, BjTime now);
static double slide_own (double from, double to, BjTime silent);
static double slide_reserved (double from, double to, BjTime silent);
static double estimate_level (const BjQuota *q, const Account *a, BjTime now);
static double admission (const BjQuota *q, const Account *a, BjTime now, double *level);
static double retry_after (BjQuota *q, Account *a, BjTime now, double level);
static void expire_view (const BjQuota *q, Account *a, BjTime now);
static void
apply_view (const BjQuota *q, Account *a, BjTime now, double level, double total, double fraction);
static void count_use (Account *a, BjTime now);
static double window_use (const Account *a, BjTime now);
static void set_old (BjQuota *q, Member *m, bool is_old);
static Member *find_member (const BjQuota *q, uint64_t hash);
static Domain *find_domain (const BjQuota *q, uint64_t hash);
static int by_rank (const void *a, const void *b);
static void handle_referral (BjQuota *q, BjTime now, Member *m);
static Member *pick_collector (const BjQuota *q, uint64_t domain, BjTime now);
static bool is_collector (BjQuota *q, BjTime now);
static void open_pool (BjQuota *q, BjTime now);
static void close_pool (BjQuota *q);
static void settle (Account *a, BjTime now);
static void count_own (BjQuota *q, Account *a, BjTime now);
static void update_pool (BjQuota *q, BjTime now);
static void choose_sources (BjQuota *q);
static void set_active (BjQuota *q, Source *s, bool is_active);
static void keep_shares (BjQuota *q, BjTime now, Source *s);
static void find_lost (BjQuota *q);
static double largest_part (const BjQuota *q, BjTime now, int n_seen);
static void reserve_parts (BjQuota *q, BjTime now);
static double reserved_part (const BjQuota *q, BjTime now, int i, double *near);
static Source *get_source (BjQuota *q, Kind k, const Member *m, uint64_t start);
static void free_source (gpointer s);
static bool write_report (BjQuota *q, BjTime now, Member *m, msgpack_sbuffer *out);
static bool
pack_entry (BjQuota *q, BjTime now, Kind k, Account *a, BjTime since, msgpack_packer *p);
static void
write_totals (BjQuota *q, BjTime now, const Source *s, GArray *asked, msgpack_sbuffer *out);
static void write_referral (uint64_t seq, msgpack_sbuffer *out);
static void pack_totals (BjQuota *q, BjTime now, Account *a, msgpack_packer *p);
static int64_t scale (double value);
static bool unpack (BjStr bytes, msgpack_unpacked *unpacked, BjFields *in);
static bool check_entries (BjFields in, bool is_report);
static void
take_entry (BjQuota *q, BjTime now, Source *s, BjTime silent, BjFields *in, GArray *asked);
static bool reject (BjQuota *q, BjTime now, BjStr from, const char *why);

BjQuota *
bj_quota_new (BjStr name, BjStr domain, uint64_t start, BjTime now)
{
  BjQuota *q = g_new0 (BjQuota, 1);
  BjQuotaMember self = { name, domain, true };

  q->self = bj_str_hash (name);
  q->domain = bj_str_hash (domain);
  q->start = start;
  q->began = now;
  q->heard = now - KEEP_MS - SLIDE_MS - LATE_MS;
  q->fraction = 1;
  q->unlisted_ms = UNLISTED_MS;
  q->logged = now - LOG_INTERVAL_MS;
  q->index = g_hash_table_new (g_int64_hash, g_int64_equal);
  q->member_index = g_hash_table_new (g_int64_hash, g_int64_equal);
  q->sources = g_ptr_array_new_with_free_func (free_source);
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
  Account *all = g_new0 (Account, MAX (n, 1));
  int *from = g_new (int, MAX (n, 1)); // index in the present table, -1 if new
  int n_all = 0;

  for (int i = 0; i < n; i++)
    {
      const BjAccount *b = accounts[i];
      const Account *old = find_account (q, b->hash);
      Account *a = &all[n_all];

      if (!isfinite (b->rate_per_s) || b->rate_per_s <= 0)
        continue;
      from[n_all++] = old != NULL ? (int)(old - q->accounts) : -1;
      // The daemons begin with different fractions, so that they don't admit at the same time.
      *a = old != NULL ? *old
                       : (Account){ .hash = b->hash,
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
      Source *s = g_ptr_array_index (q->sources, i);
      Entry *entries = g_new0 (Entry, MAX (n_all, 1));

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
  Member *all = g_new0 (Member, MAX (n, 1));

  g_free (q->domains);
  q->domains = g_new0 (Domain, n + 1);
  q->domains[0].hash = q->domain;
  q->n_domains = 1;
  q->n_old = 0;
  for (int i = 0; i < n; i++)
    {
      uint64_t hash = bj_str_hash (m[i].name);
      Member *old = find_member (q, hash);
      uint64_t domain = bj_str_hash (m[i].domain);
      Domain *d = find_domain (q, domain);

      if (old != NULL && old->name.data != NULL)
        {
          all[i] = *old;
          old->name = BJ_STR_NULL;
        }
      else
        all[i] = (Member){ .name = bj_str_dup (m[i].name), .hash = hash };
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
  q->n_known = n > 1 ? n : is_alone ? 1 : MEMBERS_ASSUMED;
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
  Account *a = find_account (q, account);
  double level;
  double p;

  if (a == NULL)
    return true;
  now = MAX (now, a->demand_at);
  a->demand = demand_now (a, now) + 1000 / DEMAND_MS;
  a->demand_at = now;
  a->changed_at = now;
  if (a->n_refunded > 0)
    {
      a->n_refunded--;
      return true;
    }
  if (q->pool_from != 0 && q->n_active > 0 && now - a->level_at >= URGENT_MS)
    count_own (q, a, now);
  expire_view (q, a, now);
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
  Account *a = find_account (q, account);

  if (a != NULL && a->n_refunded < a->burst + a->rate)
    a->n_refunded++;
}

bool
bj_quota_use (BjQuota *q, BjTime now, uint64_t account, BjQuotaUse *u)
{
  Account *a = find_account (q, account);

  if (a == NULL)
    return false;
  expire_view (q, a, now);
  *u = (BjQuotaUse){ .use = window_use (a, now) * 1000 / BJ_QUOTA_WINDOW_MS,
                     .level = estimate_level (q, a, now),
                     .demand = MAX (a->total, demand_now (a, now)),
                     .share = own_fraction (q, a, now),
                     .n_refused = a->n_refused };
  return true;
}

bool
bj_quota_next_report (BjQuota *q, BjTime now, BjStr *to, msgpack_sbuffer *out)
{
  bool collects;

  if (q->n_accounts == 0)
    return false;
  collects = is_collector (q, now);
  if (collects && q->pool_from == 0)
    open_pool (q, now);
  else if (!collects && q->pool_from != 0)
    close_pool (q);
  if (collects && now - q->updated >= BJ_QUOTA_TICK_MS)
    update_pool (q, now);
  for (int i = collects ? 1 : 0; i < (collects ? q->n_domains : 1); i++)
    {
      Member *m = pick_collector (q, q->domains[i].hash, now);

      if (m != NULL && m->asked != 0 && now - m->asked > SILENT_MS)
        {
          m->skip_until = now + (now - q->began < START_MS ? SILENT_MS : SKIP_MS);
          m->asked = 0;
          m->is_awaited = false;
          m = pick_collector (q, q->domains[i].hash, now);
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
  const Member *m = find_member (q, bj_str_hash (from));
  const char *why = NULL;
  GArray *asked;
  Source *s;
  BjTime silent;
  Kind kind;
  uint64_t start;
  uint64_t seq;
  int n_seen;

  msgpack_unpacked_init (&unpacked);
  if (!unpack (bytes, &unpacked, &in))
    why = "it is not one msgpack array of this version";
  kind = (Kind)bj_field_uint (&in, KINDS - 1);
  start = bj_field_uint (&in, UINT64_MAX);
  seq = bj_field_uint (&in, COUNT_MAX);
  n_seen = (int)bj_field_uint (&in, UINT16_MAX);
  if (why == NULL && (in.failed || !check_entries (in, true)))
    why = "a field is missing, of a wrong type or out of range";
  else if (why == NULL
           && (m == NULL || m->hash == q->self
               || (kind == FROM_MEMBER) != (m->domain == q->domain)))
    why = "its sender is not a member that reports here";
  if (why != NULL)
    {
      msgpack_unpacked_destroy (&unpacked);
      return reject (q, now, from, why);
    }
  // A member that passed over a collector which this daemon hears would split the domain.
  if (kind == FROM_MEMBER && q->pool_from == 0 && is_heard (q, now) && !is_collector (q, now))
    {
      write_referral (seq, reply);
      msgpack_unpacked_destroy (&unpacked);
      return true;
    }
  if (kind == FROM_MEMBER)
    q->collected = now;
  if (q->pool_from == 0)
    open_pool (q, now);
  s = get_source (q, kind, m, start);
  silent = s->is_active ? 0 : now - s->heard;
  // A late copy has no effect, but its sender is alive.
  if (seq > s->seq)
    {
      asked = g_array_new (FALSE, FALSE, sizeof (int));
      s->seq = seq;
      s->n_seen = MIN (n_seen, q->n_members);
      s->heard = now;
      if (!s->is_active)
        choose_sources (q);
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
  Member *m = find_member (q, bj_str_hash (from));
  const char *why = m == NULL ? "its sender is no member" : NULL;
  uint64_t seq;
  uint64_t n_limited;
  double fraction;

  if (m != NULL && bytes.len == 0)
    {
      set_old (q, m, true);
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
  fraction = (double)bj_field_uint (&in, REFERRAL) / SCALE;
  if (why == NULL && (in.failed || !check_entries (in, false)))
    why = "a field is missing, of a wrong type or out of range";
  if (why != NULL)
    {
      msgpack_unpacked_destroy (&unpacked);
      return reject (q, now, from, why);
    }
  set_old (q, m, false);
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
          q->unlisted_ms = UNLISTED_MS + ROTATE_MS * (double)n_limited / BJ_QUOTA_ENTRIES_MAX;
          while (in.n_left > 0)
            {
              Account *a = find_account (q, bj_field_uint (&in, UINT64_MAX));
              double level = (double)bj_field_int (&in, -SCALED_MAX, SCALED_MAX) / SCALE;
              double total = (double)bj_field_uint (&in, SCALED_MAX) / SCALE;
              double part = (double)bj_field_uint (&in, (uint64_t)SCALE) / SCALE;

              if (a == NULL)
                continue;
              a->acked = a->included = a->sent_count;
              a->own_demand = a->sent_demand;
              apply_view (q, a, now, level, total, part);
            }
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return true;
}

size_t
bj_quota_bytes (const BjQuota *q)
{
  return sizeof *q + (size_t)q->n_accounts * (sizeof (Account) + 3 * sizeof (gpointer))
         + (size_t)q->n_members * sizeof (Member) + (size_t)q->n_domains * sizeof (Domain)
         + q->sources->len * (sizeof (Source) + (size_t)q->n_accounts * sizeof (Entry));
}

static Account *
find_account (const BjQuota *q, uint64_t hash)
{
  int i = GPOINTER_TO_INT (g_hash_table_lookup (q->index, &hash));

  return i > 0 ? &q->accounts[i - 1] : NULL;
}

static double
demand_now (const Account *a, BjTime now)
{
  double d = a->demand > 0 ? a->demand * exp (-MAX (0, now - a->demand_at) / DEMAND_MS) : 0;

  return d < DEMAND_MIN ? 0 : d;
}

static bool
is_heard (const BjQuota *q, BjTime now)
{
  return q->is_alone || (q->pool_from != 0 && q->n_active > 0) || now - q->heard <= SILENT_MS;
}

// Before its first totals a daemon does not know how many others have started just now as well, and
// has found only some of them.
static bool
is_starting (const BjQuota *q, BjTime now)
{
  return now - q->began < START_MS && q->heard < q->began && !is_heard (q, now);
}

// Part of the rate that this daemon has without further reports. It changes from its part of the
// demand to an equal part of all known members. Members of an older version admit without a limit
// and have no part.
static double
own_fraction (const BjQuota *q, const Account *a, BjTime now)
{
  double equal = MIN (1, (1.0 + q->n_old) / q->n_known);

  if (is_starting (q, now))
    return 1.0 / MEMBERS_ASSUMED;
  if (!a->is_known || a->total <= 0)
    return equal;
  return slide_own (a->fraction * MIN (1, a->own_demand / a->total), equal, now - q->heard);
}

static double
slide_own (double from, double to, BjTime silent)
{
  double t = (silent - KEEP_MS - (to > from ? LATE_MS : 0)) / SLIDE_MS;

  return from + (to - from) * CLAMP (t, 0, 1);
}

// A reservation falls later than the part for which it is made may rise elsewhere.
static double
slide_reserved (double from, double to, BjTime silent)
{
  double t = (silent - KEEP_MS - (to < from ? LATE_MS : 0)) / SLIDE_MS;

  return from + (to - from) * CLAMP (t, 0, 1);
}

// The last level, filled at the rate since then, less own admissions and those that the others are
// assumed to have made: for each own one as many as their demand is larger, or what they admitted
// before.
static double
estimate_level (const BjQuota *q, const Account *a, BjTime now)
{
  double own = (double)(a->count - a->included);
  double s = MAX (0, now - a->level_at) / 1000;
  double fraction = a->fraction;
  double others = own * a->others;

  if (!is_heard (q, now))
    {
      fraction = own_fraction (q, a, now);
      others = 0;
    }
  else
    others = MAX (others, MIN (MAX (0, a->total - a->own_demand), a->rate * fraction) * s);
  return MIN (a->burst * fraction, a->level + a->rate * fraction * s - others) - own;
}

// Probability with which a request is admitted.
static double
admission (const BjQuota *q, const Account *a, BjTime now, double *level)
{
  double demand = demand_now (a, now);
  double total = demand;
  double fraction = own_fraction (q, a, now);

  if (is_heard (q, now))
    {
      fraction = a->fraction;
      total = a->total + demand - a->own_demand;
      // One arrival is no sign that more arrive elsewhere.
      total += MAX (0, demand - a->own_demand - 1000 / DEMAND_MS) * a->others;
    }
  *level = estimate_level (q, a, now);
  // Error diffusion would let each daemon admit its first request.
  if (is_starting (q, now))
    return *level >= 1 ? 1 : 0;
  return MAX (0, a->rate * fraction + *level / (*level > 0 ? DRAIN_S : REPAY_S))
         / MAX (MAX (total, demand), DEMAND_MIN);
}

// Each refused request gets a later place at this daemon's part of the rate.
static double
retry_after (BjQuota *q, Account *a, BjTime now, double level)
{
  double part = is_heard (q, now) ? a->fraction * MIN (1, a->own_demand / MAX (a->total, 1))
                                  : own_fraction (q, a, now);
  bool is_new = is_starting (q, now);
  double step = 1000 / (a->rate * (is_new ? 1 : CLAMP (part, 1.0 / q->n_known, 1)));
  BjTime at
      = MAX (now + (is_new ? FIND_MS : 1000 * MAX (0, 1 - level) / a->rate), a->next_retry + step);

  a->next_retry = MIN (at, now + RETRY_MAX_MS);
  return MAX (1, a->next_retry - now);
}

// Totals list all accounts that are near their limit. One that they no longer list has a full
// bucket; nothing is known of where its next requests arrive. A daemon alone with its part fills a
// bucket of its own.
static void
expire_view (const BjQuota *q, Account *a, BjTime now)
{
  if (!is_heard (q, now) || q->is_alone)
    {
      a->level = estimate_level (q, a, now);
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
static void
apply_view (const BjQuota *q, Account *a, BjTime now, double level, double total, double fraction)
{
  double others = MIN (MAX (0, total - a->own_demand) / MAX (a->own_demand, 1), q->n_known - 1);

  a->others = others > a->others ? others : (others + a->others) / 2;
  a->is_known = true;
  a->level = level;
  a->level_at = now;
  a->total = total;
  a->fraction = fraction;
}

static void
count_use (Account *a, BjTime now)
{
  int64_t slot = (int64_t)(now * SLOTS / BJ_QUOTA_WINDOW_MS);

  if (slot - a->slot > SLOTS)
    memset (a->slots, 0, sizeof a->slots);
  else
    for (int64_t i = a->slot + 1; i <= slot; i++)
      a->slots[i % SLOTS] = 0;
  a->slot = MAX (a->slot, slot);
  a->slots[a->slot % SLOTS]++;
}

static double
window_use (const Account *a, BjTime now)
{
  int64_t slot = (int64_t)(now * SLOTS / BJ_QUOTA_WINDOW_MS);
  double n = 0;

  for (int64_t i = MAX (0, MAX (slot, a->slot) - SLOTS + 1); i <= a->slot; i++)
    n += a->slots[i % SLOTS];
  return n;
}

static Member *
find_member (const BjQuota *q, uint64_t hash)
{
  int i = GPOINTER_TO_INT (g_hash_table_lookup (q->member_index, &hash));

  return i > 0 ? &q->members[i - 1] : NULL;
}

static void
set_old (BjQuota *q, Member *m, bool is_old)
{
  int change = (is_old ? 1 : 0) - (m->is_old ? 1 : 0);

  m->is_old = is_old;
  q->n_old += change;
  find_domain (q, m->domain)->n_old += change;
}

static Domain *
find_domain (const BjQuota *q, uint64_t hash)
{
  for (int i = 0; i < q->n_domains; i++)
    if (q->domains[i].hash == hash)
      return &q->domains[i];
  return NULL;
}

static Member *
pick_collector (const BjQuota *q, uint64_t domain, BjTime now)
{
  for (int i = 0; i < q->n_members; i++)
    {
      Member *m = &q->members[i];

      if (m->domain == domain && m->is_up && now >= m->skip_until)
        return m;
    }
  return NULL;
}

static int
by_rank (const void *a, const void *b)
{
  uint64_t x = ((const Member *)a)->rank;
  uint64_t y = ((const Member *)b)->rank;

  return x < y ? 1 : x > y ? -1 : 0;
}

// The referring daemon may only be late to miss the collector, so it is asked again for some time.
static void
handle_referral (BjQuota *q, BjTime now, Member *m)
{
  if (++m->n_referred < REFERRED_MAX)
    return;
  m->n_referred = 0;
  for (int i = 0; i < q->n_members; i++)
    if (q->members[i].domain == q->domain && q->members[i].hash != q->self && !q->members[i].is_old
        && q->members[i].rank > m->rank)
      q->members[i].skip_until = now;
}

// A daemon that members report to is collector, whatever its rank. One that would be by its rank
// but gets no reports was passed over by the others, and reports to the next as they do.
static bool
is_collector (BjQuota *q, BjTime now)
{
  Member *m = pick_collector (q, q->domain, now);
  bool is_asked = q->collected != 0 && now - q->collected <= SILENT_MS;

  if (m != NULL && m->hash != q->self)
    q->role_from = 0;
  else if (q->role_from == 0)
    q->role_from = now;
  else if (m != NULL && !is_asked && now - q->role_from > ROLE_MS && q->domains[0].n_up > 1)
    m->skip_until = now + SKIP_MS;
  return is_asked || m == NULL || m->hash == q->self;
}

static void
open_pool (BjQuota *q, BjTime now)
{
  q->pool_from = now;
  q->updated = q->reserved_at = 0;
  q->n_pools++;
  q->has_lost = false;
  q->has_reservations = true;
  q->n_active = 0;
  for (int i = 0; i < q->n_accounts; i++)
    {
      Account *a = &q->accounts[i];

      expire_view (q, a, now);
      a->pool_level = estimate_level (q, a, now);
      a->acked = a->included = a->sent_count = a->count;
      a->level = a->pool_level;
      a->level_at = a->pool_at = now;
      a->part = MIN (a->fraction, largest_part (q, now, 1));
      a->before = a->is_known && now - q->heard <= KEEP_MS ? a->total : 0;
      a->lost = a->near = a->far = a->reserved = 0;
      a->sum = a->sum_sent = 0;
      a->sum_changed_at = 0;
      a->sum_demand = 0;
    }
  for (int i = 0; i < q->n_members; i++)
    q->members[i].passed = q->members[i].pass_from = q->members[i].cursor
        = q->members[i].next_cursor = 0;
}

static void
close_pool (BjQuota *q)
{
  q->pool_from = 0;
  q->n_active = 0;
  for (int i = 0; i < q->n_domains; i++)
    q->domains[i].source = NULL;
  g_ptr_array_set_size (q->sources, 0);
}

static void
settle (Account *a, BjTime now)
{
  if (now <= a->pool_at)
    return;
  a->pool_level
      = MIN (a->burst * a->part, a->pool_level + a->rate * a->part * (now - a->pool_at) / 1000);
  a->pool_at = now;
}

// Takes the own use into the pool, and the pool as the view. A pool that nobody reports to is no
// view: this daemon may be cut off.
static void
count_own (BjQuota *q, Account *a, BjTime now)
{
  uint64_t step = a->count - a->acked;

  if (q->n_active == 0)
    return;
  settle (a, now);
  a->pool_level -= (double)step;
  a->sum += step;
  a->acked = a->included = a->count;
  a->own_demand = demand_now (a, now);
  q->heard = now;
  apply_view (q, a, now, a->pool_level, a->near + a->far + a->own_demand, a->part);
}

static void
update_pool (BjQuota *q, BjTime now)
{
  bool has_silent = false;

  q->updated = now;
  for (guint i = 0; i < q->sources->len; i++)
    {
      Source *s = g_ptr_array_index (q->sources, i);

      if (s->is_active && now - s->heard > MISSED_MS)
        keep_shares (q, now, s);
    }
  for (guint i = q->sources->len; i > 0; i--)
    {
      Source *s = g_ptr_array_index (q->sources, i - 1);

      if (s->is_active && now - s->heard > MISSED_MS)
        {
          set_active (q, s, false);
          q->reserved_at = 0;
        }
      // Members that left have no part.
      if (find_member (q, s->name) == NULL)
        {
          set_active (q, s, false);
          g_ptr_array_remove_index (q->sources, i - 1);
        }
    }
  choose_sources (q);
  if (!q->has_lost && now - q->pool_from > FRESH_MS)
    find_lost (q);
  for (int i = 0; i < q->n_members; i++)
    has_silent = has_silent || !q->members[i].is_up;
  for (guint i = 0; i < q->sources->len; i++)
    {
      const Source *s = g_ptr_array_index (q->sources, i);

      has_silent = has_silent || now - s->heard > MISSED_MS;
    }
  for (int i = 1; i < q->n_domains; i++)
    has_silent = has_silent || q->domains[i].source == NULL;
  // A new pool begins with the parts that this daemon knew.
  if ((has_silent || q->has_reservations)
      && (now - q->pool_from > SILENT_MS || now - q->began < START_MS)
      && now - q->reserved_at >= REPORT_MS)
    reserve_parts (q, now);
}

// Of several sources of another domain only the one that speaks for most members is active. It
// changes when a collector takes the role of another.
static void
choose_sources (BjQuota *q)
{
  for (int i = 0; i < q->n_domains; i++)
    q->domains[i].source = NULL;
  for (guint i = 0; i < q->sources->len; i++)
    {
      Source *s = g_ptr_array_index (q->sources, i);
      Domain *d = find_domain (q, s->domain);

      if (d == NULL || s->kind == FROM_MEMBER)
        continue;
      if (d->source == NULL || s->heard > d->source->heard + SILENT_MS
          || (s->heard > d->source->heard - SILENT_MS && s->n_seen > d->source->n_seen))
        d->source = s;
    }
  q->n_seen = 1;
  for (guint i = 0; i < q->sources->len; i++)
    {
      Source *s = g_ptr_array_index (q->sources, i);
      const Domain *d = find_domain (q, s->domain);
      bool is_recent = q->updated - s->heard <= MISSED_MS;

      set_active (q, s, is_recent && d != NULL && (s->kind == FROM_MEMBER || d->source == s));
      q->n_seen += s->is_active && s->kind == FROM_MEMBER;
    }
}

static void
set_active (BjQuota *q, Source *s, bool is_active)
{
  if (s->is_active == is_active)
    return;
  s->is_active = is_active;
  q->n_active += is_active ? 1 : -1;
  for (int i = 0; i < q->n_accounts; i++)
    {
      double *sum = s->kind == FROM_MEMBER ? &q->accounts[i].near : &q->accounts[i].far;

      *sum = MAX (0, *sum + (is_active ? 1 : -1) * (double)s->entries[i].demand);
    }
}

static void
keep_shares (BjQuota *q, BjTime now, Source *s)
{
  for (int i = 0; i < q->n_accounts; i++)
    {
      Account *a = &q->accounts[i];
      double total = a->near + a->far + demand_now (a, now);

      s->entries[i].share = total > 0 ? (float)(s->entries[i].demand / total * a->part) : 0;
      // From the last report on.
      settle (a, now);
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
      Account *a = &q->accounts[i];
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
  if (now - q->began >= START_MS || q->is_alone)
    return 1;
  return MIN (1, (double)n_seen / (now - q->began < FIND_MS ? MEMBERS_ASSUMED : q->n_known));
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
  q->has_reservations = now - q->began < START_MS;
  q->fraction = largest;
  for (int i = 0; i < q->n_accounts; i++)
    {
      Account *a = &q->accounts[i];
      double reserved = reserved_part (q, now, i, &near);

      settle (a, now);
      a->part = CLAMP (1 - MAX (0, reserved - slack), 0, largest);
      // Others add up the reservations of all domains; a change is reported at once.
      if (fabs (a->reserved - near) > 1 / SCALE)
        a->sum_changed_at = now;
      a->reserved = near;
      q->has_reservations = q->has_reservations || reserved > 0;
      q->fraction = MIN (q->fraction, a->part);
    }
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
      const Source *s = g_ptr_array_index (q->sources, k);

      if (s->kind != FROM_MEMBER)
        continue;
      if (!s->is_active)
        *near += slide_reserved (s->entries[i].share, equal, now - s->heard);
      n_unheard -= !s->is_active && !find_member (q, s->name)->is_up;
    }
  *near += MAX (0, n_unheard) * equal;
  *near += slide_reserved (q->accounts[i].lost, 0, now - q->pool_from);
  all = *near = MIN (*near, 1);
  for (int k = 1; k < q->n_domains; k++)
    {
      const Domain *d = &q->domains[k];

      if (d->source != NULL && d->source->is_active)
        all += d->source->entries[i].reserved;
      else if (d->source != NULL)
        all += slide_reserved (d->source->entries[i].share, d->n * equal, now - d->source->heard);
      else
        all += (d->n - d->n_old) * equal;
    }
  return all;
}

static Source *
get_source (BjQuota *q, Kind k, const Member *m, uint64_t start)
{
  Source *s = NULL;

  for (guint i = 0; i < q->sources->len && s == NULL; i++)
    {
      Source *other = g_ptr_array_index (q->sources, i);

      s = other->name == m->hash && other->kind == k ? other : NULL;
    }
  if (s == NULL)
    {
      s = g_new0 (Source, 1);
      s->name = m->hash;
      s->kind = k;
      s->entries = g_new0 (Entry, MAX (q->n_accounts, 1));
      s->start = start;
      g_ptr_array_add (q->sources, s);
    }
  s->domain = m->domain;
  if (s->start == start)
    return s;
  // A new start counts from 0 and has no share yet. The use of the earlier one is in the levels.
  set_active (q, s, false);
  memset (s->entries, 0, (size_t)q->n_accounts * sizeof (Entry));
  s->start = start;
  s->seq = 0;
  return s;
}

static void
free_source (gpointer s)
{
  g_free (((Source *)s)->entries);
  g_free (s);
}

// Writes the changes since the last report that was replied to; false if none is due.
static bool
write_report (BjQuota *q, BjTime now, Member *m, msgpack_sbuffer *out)
{
  Kind kind = m->domain == q->domain ? FROM_MEMBER : FROM_COLLECTOR;
  BjTime age = now - m->sent;
  bool is_urgent = false;
  msgpack_sbuffer entries;
  msgpack_packer p;
  int n = 0;
  int i;

  if (m->is_awaited && age < REPLY_WAIT_MS)
    return false;
  if (kind == FROM_MEMBER && q->target != m->hash)
    {
      // A new collector gets everything.
      q->target = m->hash;
      m->passed = m->pass_from = m->cursor = m->next_cursor = 0;
    }
  for (i = 0; i < q->n_accounts && kind == FROM_MEMBER && age >= URGENT_MS && !is_urgent; i++)
    is_urgent = q->accounts[i].changed_at > m->sent
                && demand_now (&q->accounts[i], now) > 2 * q->accounts[i].sent_demand + 2;
  if (m->sent != 0 && age < (is_urgent ? URGENT_MS : REPORT_MS))
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
      msgpack_pack_uint64 (&p, kind == FROM_MEMBER ? q->start : q->start + q->n_pools);
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
pack_entry (BjQuota *q, BjTime now, Kind k, Account *a, BjTime since, msgpack_packer *p)
{
  double demand = demand_now (a, now);

  if (k == FROM_MEMBER)
    {
      if (fabs (demand - a->sent_demand) > DEMAND_STEP * a->sent_demand + DEMAND_MIN / 2)
        a->changed_at = now;
      if (a->changed_at <= since || a->changed_at == 0)
        return false;
      a->sent_count = a->count;
      a->sent_demand = demand;
      msgpack_pack_uint64 (p, a->hash);
      msgpack_pack_uint64 (p, a->count);
      msgpack_pack_uint64 (p, a->acked);
      msgpack_pack_int64 (p, scale (demand));
      msgpack_pack_int64 (p, scale (window_use (a, now)));
      msgpack_pack_int (p, 0);
      return true;
    }
  demand += a->near;
  if (a->count != a->acked)
    count_own (q, a, now);
  if (a->sum != a->sum_sent
      || fabs (demand - a->sum_demand) > DEMAND_STEP * a->sum_demand + DEMAND_MIN / 2)
    {
      a->sum_changed_at = now;
      a->sum_sent = a->sum;
      a->sum_demand = demand;
    }
  if (a->sum_changed_at <= since || a->sum_changed_at == 0)
    return false;
  settle (a, now);
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
write_totals (BjQuota *q, BjTime now, const Source *s, GArray *asked, msgpack_sbuffer *out)
{
  int n_asked = (int)asked->len;
  int n_limited = 0;
  int first = q->totals_cursor;
  msgpack_packer p;

  for (int k = 0; k < q->n_accounts && s->kind == FROM_MEMBER; k++)
    {
      int i = (first + k) % q->n_accounts;
      Account *a = &q->accounts[i];
      double total = a->near + a->far + a->demand;

      if (total <= 0 && a->pool_level >= a->burst / 2)
        continue;
      settle (a, now);
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
  if (s->kind != FROM_MEMBER)
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
pack_totals (BjQuota *q, BjTime now, Account *a, msgpack_packer *p)
{
  if (a->count != a->acked)
    count_own (q, a, now);
  settle (a, now);
  msgpack_pack_uint64 (p, a->hash);
  msgpack_pack_int64 (p, scale (a->pool_level));
  msgpack_pack_int64 (p, scale (a->near + a->far + demand_now (a, now)));
  msgpack_pack_int64 (p, scale (a->part));
}

static int64_t
scale (double value)
{
  return (int64_t)CLAMP (value * SCALE, -(double)SCALED_MAX, (double)SCALED_MAX);
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
      bj_field_uint (&in, (uint64_t)SCALE);
    }
  return !in.failed;
}

static void
take_entry (BjQuota *q, BjTime now, Source *s, BjTime silent, BjFields *in, GArray *asked)
{
  Account *a = find_account (q, bj_field_uint (in, UINT64_MAX));
  uint64_t count = bj_field_uint (in, COUNT_MAX);
  uint64_t base = bj_field_uint (in, COUNT_MAX);
  double demand = (double)bj_field_uint (in, SCALED_MAX) / SCALE;
  double extra = (double)bj_field_int (in, -SCALED_MAX, SCALED_MAX) / SCALE;
  double reserved = (double)bj_field_uint (in, (uint64_t)SCALE) / SCALE;
  bool is_fresh = now - q->pool_from < FRESH_MS;
  int i = a != NULL ? (int)(a - q->accounts) : -1;
  bool is_first;
  double step;
  double *sum;
  Entry *e;

  if (a == NULL)
    return;
  e = &s->entries[i];
  is_first = e->count == 0;
  sum = s->kind == FROM_MEMBER ? &a->near : &a->far;
  settle (a, now);
  // The level that a new pool begins with contains what other domains used before. If all domains
  // are new it does not, and without their counts the debts of all would become one.
  if (s->kind == FROM_COLLECTOR && is_first && is_fresh
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
  if (silent > 0 && s->kind == FROM_MEMBER && is_first)
    silent = 0;
  if (silent > 0)
    step = MAX (0, step - a->rate * MAX ((double)e->share, 1.0 / q->n_known) * silent / 1000);
  a->pool_level -= step;
  if (s->kind == FROM_MEMBER)
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
  if (now - q->logged >= LOG_INTERVAL_MS)
    bj_log (
        BJ_LOG_WARNING, "ACCOUNT", "Usage message from %.*s rejected: %s.", BJ_STR_ARG (from), why);
  q->logged = now - q->logged >= LOG_INTERVAL_MS ? now : q->logged;
  return false;
}
