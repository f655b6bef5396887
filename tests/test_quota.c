// An account must not run more than its rate over all daemons together, nor be refused below it,
// whatever fails. Daemons are BjQuota objects in a model with its own clock, delays and losses of
// messages; each sliding window of 5 s is checked against the bound.

#include "internal.h"
#include "quota.h"
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define DAEMONS_MAX 340
#define DOMAINS_MAX 8
#define ACCOUNTS 4
#define STEP_MS 1
#define RUN_MS 32000
#define WARM_MS 6000 // before which the used share is not measured
#define FAULT_MS 12000
#define HEAL_MS 22000
#define FIND_MS 1000        // in which a daemon finds the others
#define BUSY_BEFORE_MS 3500 // before all daemons are restarted
#define BUCKET_MS 10
#define BUCKETS (RUN_MS / BUCKET_MS)
#define DELAYS_MAX_MS 128
#define DOWN_MS 3000 // after which membership declares a silent member dead
#define TOLERANCE 1.1
#define TOLERANCE_CALLS 20
#define CALM_SHARE 0.95
#define PARTITION_SHARE 0.8
#define LOSS 0.005
#define MUTATIONS 20000
#define SIZE_ACCOUNTS 10000
#define SIZE_MEMBERS 15
#define SIZE_MS 5000
#define DECISIONS 2000000

typedef enum
{
  EVEN,   // every daemon gets the same
  TWO,    // two daemons get all
  ONE,    // one daemon gets all
  MOVING, // another daemon of another domain gets all every 3 s
} Arrivals;

typedef enum
{
  NOTHING,
  KILL,        // some daemons, collectors among them, until the end
  FREEZE,      // some daemons, collectors among them, for 3 s
  SILENCE,     // messages of some daemons are lost, membership sees them
  RESTART,     // some daemons, collectors among them, killed and started after 1 s
  JOIN,        // a tenth of the daemons starts later
  CUT_HALF,    // half of the domains from the others
  CUT_DOMAIN,  // one domain from the others
  CUT_DAEMON,  // the first daemon from all others
  LOWER,       // to a third of the rate
  RAISE,       // to three times the rate
  RESTART_ALL, // all daemons, so that nobody knows the use before
  FIND_ALL,    // the same, and each finds the others one by one
  BURST,       // eight times the arrivals
  OLD,         // a quarter of the daemons is of an older version
} Fault;

typedef struct
{
  const char *name;
  Arrivals arrivals;
  double load; // arrivals as a part of the rate
  Fault fault;
  double share; // that must be used from the fault to its end
} Case;

typedef struct
{
  BjQuota *quota;
  char name[16];
  int domain;
  uint64_t start;
  BjTime started_at;
  bool runs;
  bool is_frozen;
  bool is_silent;
  bool is_old;
  int n_reports; // received
  bool sees_down[DAEMONS_MAX];
  BjTime unseen_since[DAEMONS_MAX]; // 0 while it is seen
} Daemon;

typedef struct
{
  int from;
  int to;
  bool is_reply;
  uint64_t start; // of the receiver
  size_t len;
  char *bytes;
} Message;

typedef struct
{
  const Case *c;
  int n;
  int n_domains;
  GRand *rand;
  Daemon *daemons;
  BjTime now;
  GArray *wheel[DELAYS_MAX_MS];
  bool is_cut;
  bool is_changed;        // a daemon started
  int busiest;            // daemon of the last domain with the most reports before the fault
  double rates[ACCOUNTS]; // in force
  double all[ACCOUNTS][BUCKETS];
  double side[2][ACCOUNTS][BUCKETS]; // 0: the side of daemon 0 in a cut
  double offered[2][ACCOUNTS][BUCKETS];
  uint64_t n_bytes;
} Model;

typedef struct
{
  double above; // largest number in a window as a part of the rate and burst, less 1
  double below; // smallest used share that is missing
} Errors;

static const struct
{
  const char *name;
  double rate;
  double burst;
} accounts[ACCOUNTS]
    = { { "large", 300, 300 }, { "middle", 50, 100 }, { "small", 5, 5 }, { "tiny", 0.5, 1 } };

static const Case cases[] = {
  { "calm, at the rate", EVEN, 1.0, NOTHING, CALM_SHARE },
  { "calm, below the rate", EVEN, 0.8, NOTHING, CALM_SHARE },
  { "calm, above the rate", EVEN, 1.5, NOTHING, CALM_SHARE },
  { "two daemons get all", TWO, 1.5, NOTHING, CALM_SHARE },
  { "one daemon gets all", ONE, 1.1, NOTHING, CALM_SHARE },
  { "arrivals move", MOVING, 1.2, NOTHING, CALM_SHARE },
  { "eight times the use", EVEN, 0.9, BURST, CALM_SHARE },
  { "eight times the use at two", TWO, 0.9, BURST, CALM_SHARE },
  { "killed", EVEN, 1.5, KILL, PARTITION_SHARE },
  { "killed, two get all", TWO, 1.5, KILL, 0 },
  { "frozen", EVEN, 1.5, FREEZE, PARTITION_SHARE },
  { "frozen, two get all", TWO, 1.5, FREEZE, 0 },
  { "silent", EVEN, 1.5, SILENCE, PARTITION_SHARE },
  { "restarted", EVEN, 1.5, RESTART, PARTITION_SHARE },
  { "all restarted", EVEN, 0.9, RESTART_ALL, 0 },
  { "all restarted, two get all", TWO, 0.9, RESTART_ALL, 0 },
  { "all restarted, found one by one", EVEN, 0.9, FIND_ALL, 0 },
  { "the same, two get all", TWO, 0.9, FIND_ALL, 0 },
  { "joined", EVEN, 1.5, JOIN, CALM_SHARE },
  { "half of the domains cut", EVEN, 1.5, CUT_HALF, PARTITION_SHARE },
  { "half cut, two get all", TWO, 1.5, CUT_HALF, PARTITION_SHARE },
  { "half cut, eight times", EVEN, 8, CUT_HALF, PARTITION_SHARE },
  { "one domain cut", EVEN, 1.5, CUT_DOMAIN, PARTITION_SHARE },
  { "one domain cut, moving", MOVING, 1.5, CUT_DOMAIN, 0 },
  { "one daemon cut", EVEN, 1.5, CUT_DAEMON, PARTITION_SHARE },
  { "one daemon cut, two get all", TWO, 1.5, CUT_DAEMON, 0 },
  { "lower rate", EVEN, 1.5, LOWER, CALM_SHARE },
  { "higher rate", EVEN, 1.5, RAISE, CALM_SHARE },
  { "older daemons", EVEN, 1.5, OLD, 0 },
};

static const char *only = ""; // part of the names of the cases to run
static int n_failures;        // of all cases, which are all run

static void
record_failure (const char *format, ...)
{
  char text[256];
  va_list args;

  va_start (args, format);
  g_vsnprintf (text, sizeof text, format, args);
  va_end (args);
  n_failures++;
  print_error ("%s\n", text);
}

static void
configure (Daemon *d, BjTime now, const double rates[ACCOUNTS])
{
  BjAccount all[ACCOUNTS];
  const BjAccount *list[ACCOUNTS];

  for (int i = 0; i < ACCOUNTS; i++)
    {
      all[i] = (BjAccount){ .name = bj_str (accounts[i].name),
                            .hash = bj_str_hash (bj_str (accounts[i].name)),
                            .rate_per_s = rates[i],
                            .burst = accounts[i].burst * rates[i] / accounts[i].rate };
      list[i] = &all[i];
    }
  bj_quota_configure (d->quota, now, list, ACCOUNTS);
}

static bool
is_restart_of_all (const Model *m)
{
  return m->c->fault == RESTART_ALL || m->c->fault == FIND_ALL;
}

// Whether d has found member i since it started.
static bool
has_found (const Model *m, const Daemon *d, int i)
{
  int k = (int)(d - m->daemons);

  return m->c->fault != FIND_ALL || k == i || d->started_at < FAULT_MS
         || m->now - d->started_at >= (k * 7919 + i * 104729) % (int)FIND_MS;
}

static void
set_members (Model *m, Daemon *d)
{
  BjQuotaMember all[DAEMONS_MAX];
  char domains[DOMAINS_MAX][8];
  int n = 0;

  for (int i = 0; i < m->n; i++)
    {
      const Daemon *other = &m->daemons[i];

      g_snprintf (domains[other->domain], 8, "d%d", other->domain);
      if (other->start > 0 && has_found (m, d, i))
        all[n++] = (BjQuotaMember){ bj_str (other->name),
                                    bj_str (domains[other->domain]),
                                    !d->sees_down[i] };
    }
  bj_quota_set_members (d->quota, all, n, false);
}

static void
start (Model *m, int i)
{
  Daemon *d = &m->daemons[i];
  char domain[8];

  g_snprintf (domain, sizeof domain, "d%d", d->domain);
  d->start += 1000;
  d->started_at = m->now;
  d->runs = true;
  d->quota = bj_quota_new (bj_str (d->name), bj_str (domain), d->start, m->now);
  configure (d, m->now, m->rates);
  memset (d->sees_down, 0, sizeof d->sees_down);
  memset (d->unseen_since, 0, sizeof d->unseen_since);
  m->is_changed = true;
}

static void
stop (Model *m, int i)
{
  m->daemons[i].runs = false;
  bj_quota_free (m->daemons[i].quota);
  m->daemons[i].quota = NULL;
}

static int
side_of (const Model *m, int i)
{
  switch (m->c->fault)
    {
    case CUT_HALF:
      return m->daemons[i].domain >= m->n_domains / 2;
    case CUT_DOMAIN:
      return m->daemons[i].domain > 0;
    case CUT_DAEMON:
      return i > 0;
    default:
      return 0;
    }
}

static bool
is_reachable (const Model *m, int i, int k)
{
  return m->daemons[k].runs && !m->daemons[k].is_frozen
         && !(m->is_cut && side_of (m, i) != side_of (m, k));
}

// What membership does: a member that can't be reached is declared dead after some seconds.
static void
update_members (Model *m)
{
  for (int i = 0; i < m->n; i++)
    {
      Daemon *d = &m->daemons[i];
      bool is_changed
          = m->is_changed || (m->c->fault == FIND_ALL && m->now <= d->started_at + FIND_MS + 200);

      for (int k = 0; k < m->n && d->runs && !d->is_frozen; k++)
        {
          bool is_down;

          if (is_reachable (m, i, k) || m->daemons[k].start == 0)
            d->unseen_since[k] = 0;
          else if (d->unseen_since[k] == 0)
            d->unseen_since[k] = m->now;
          is_down = d->unseen_since[k] > 0 && m->now - d->unseen_since[k] > DOWN_MS + 37 * (i % 20);
          is_changed = is_changed || is_down != d->sees_down[k];
          d->sees_down[k] = is_down;
        }
      if (is_changed && d->runs && !d->is_frozen)
        set_members (m, d);
    }
  m->is_changed = false;
}

static void
send_bytes (Model *m, int from, int to, bool is_reply, const msgpack_sbuffer *bytes)
{
  const Daemon *a = &m->daemons[from];
  const Daemon *b = &m->daemons[to];
  double delay = a->domain == b->domain ? 0.5 : a->domain / 2 == b->domain / 2 ? 1.4 : 30;
  Message msg = { from, to, is_reply, b->start, bytes->size, NULL };
  int due;

  m->n_bytes += bytes->size + 20;
  if (g_rand_double (m->rand) < LOSS || a->is_silent || b->is_silent || !is_reachable (m, from, to))
    return;
  delay += g_rand_double (m->rand) * 4 + (g_rand_double (m->rand) < 0.02 ? 40 : 0);
  due = (int)(m->now + 1 + delay);
  msg.bytes = bytes->size > 0 ? g_memdup2 (bytes->data, bytes->size) : NULL;
  g_array_append_val (m->wheel[due % DELAYS_MAX_MS], msg);
}

static int
find_daemon (BjStr name)
{
  return atoi (strrchr (name.data, '-') + 1);
}

static void
deliver (Model *m)
{
  GArray *due = m->wheel[(int)m->now % DELAYS_MAX_MS];

  for (guint i = 0; i < due->len; i++)
    {
      Message *msg = &g_array_index (due, Message, i);
      Daemon *d = &m->daemons[msg->to];
      BjStr from = bj_str (m->daemons[msg->from].name);
      BjStr bytes = { msg->bytes, msg->len };
      msgpack_sbuffer reply;

      msgpack_sbuffer_init (&reply);
      if (d->runs && !d->is_frozen && msg->start == d->start)
        {
          if (msg->is_reply)
            assert_true (bj_quota_take_totals (d->quota, m->now, from, bytes));
          else if (d->n_reports++, d->is_old)
            send_bytes (m, msg->to, msg->from, true, &reply);
          else if (bj_quota_take_report (d->quota, m->now, from, bytes, &reply) && reply.size > 0)
            send_bytes (m, msg->to, msg->from, true, &reply);
        }
      msgpack_sbuffer_destroy (&reply);
      g_free (msg->bytes);
    }
  g_array_set_size (due, 0);
}

static void
tick (Model *m)
{
  for (int i = (int)m->now % BJ_QUOTA_TICK_MS; i < m->n; i += BJ_QUOTA_TICK_MS)
    {
      Daemon *d = &m->daemons[i];
      msgpack_sbuffer out;
      BjStr to;

      if (!d->runs || d->is_frozen || d->is_old)
        continue;
      msgpack_sbuffer_init (&out);
      while (bj_quota_next_report (d->quota, m->now, &to, &out))
        {
          send_bytes (m, i, find_daemon (to), false, &out);
          msgpack_sbuffer_clear (&out);
        }
      msgpack_sbuffer_destroy (&out);
    }
}

static int
pick_daemon (Model *m, int account)
{
  int r = g_rand_int_range (m->rand, 0, m->n);

  switch (m->c->arrivals)
    {
    case TWO:
      return r % 2 == 0 ? 0 : m->n - 1;
    case ONE:
      return m->n / 2;
    case MOVING:
      return ((int)m->now / 3000 * 7 + account) % m->n;
    default:
      return r;
    }
}

static void
arrive (Model *m)
{
  int bucket = (int)m->now / BUCKET_MS;

  for (int a = 0; a < ACCOUNTS; a++)
    {
      bool is_busy = (m->c->fault == BURST && m->now >= FAULT_MS)
                     || (is_restart_of_all (m) && m->now >= FAULT_MS - BUSY_BEFORE_MS);
      double load = m->c->load * (is_busy ? 8 : 1);
      double mean = accounts[a].rate * load * STEP_MS / 1000;
      double t = 0;

      // Poisson arrivals.
      while ((t -= log (1 - g_rand_double (m->rand))) < mean)
        {
          int i = pick_daemon (m, a);
          Daemon *d = &m->daemons[i];
          int side = side_of (m, i);
          double retry_after = -1;

          if (!d->runs || d->is_frozen || d->is_old)
            continue;
          m->offered[side][a][bucket]++;
          if (bj_quota_admit (
                  d->quota, m->now, bj_str_hash (bj_str (accounts[a].name)), &retry_after))
            {
              m->all[a][bucket]++;
              m->side[side][a][bucket]++;
            }
          else
            assert_true (retry_after >= 1 && retry_after <= 60000);
        }
    }
}

// A few daemons, among them the first, where two get all, and the collector of the last domain.
static bool
is_affected (const Model *m, int i)
{
  return is_restart_of_all (m) || i == 0 || i % 60 == 17 || i == m->busiest;
}

static void
begin_fault (Model *m)
{
  m->busiest = m->n_domains - 1;
  for (int i = m->busiest; i < m->n; i += m->n_domains)
    if (m->daemons[i].n_reports > m->daemons[m->busiest].n_reports)
      m->busiest = i;
  for (int i = 0; i < m->n; i++)
    {
      Daemon *d = &m->daemons[i];

      if (m->c->fault == JOIN && d->start == 0)
        start (m, i);
      if (!is_affected (m, i))
        continue;
      if (m->c->fault == KILL || m->c->fault == RESTART || is_restart_of_all (m))
        stop (m, i);
      d->is_frozen = m->c->fault == FREEZE;
      d->is_silent = m->c->fault == SILENCE;
    }
  m->is_cut = m->c->fault >= CUT_HALF && m->c->fault <= CUT_DAEMON;
}

static void
end_fault (Model *m)
{
  for (int i = 0; i < m->n; i++)
    m->daemons[i].is_frozen = m->daemons[i].is_silent = false;
  m->is_cut = false;
}

static void
change_rates (Model *m)
{
  double factor = m->c->fault == LOWER ? 1.0 / 3 : m->c->fault == RAISE ? 3 : 1;

  if (factor == 1 || m->now < FAULT_MS || m->now > FAULT_MS + 1000)
    return;
  // The configuration reaches the daemons within a second.
  for (int a = 0; a < ACCOUNTS; a++)
    m->rates[a] = accounts[a].rate * factor;
  for (int i = 0; i < m->n; i++)
    if ((int)m->now == FAULT_MS + i * 1000 / m->n)
      configure (&m->daemons[i], m->now, m->rates);
}

static double
sum_of (const double buckets[BUCKETS], int from_ms, int to_ms)
{
  double sum = 0;

  for (int i = from_ms / BUCKET_MS; i < to_ms / BUCKET_MS; i++)
    sum += buckets[i];
  return sum;
}

static void
check_windows (const Model *m, int seed, Errors *e)
{
  const int window = BJ_QUOTA_WINDOW_MS / BUCKET_MS;

  for (int a = 0; a < ACCOUNTS; a++)
    {
      double n = 0;
      bool has_failed = false;

      for (int i = 0; i < BUCKETS; i++)
        {
          int from = (i - window + 1) * BUCKET_MS;
          double factor = m->c->fault == LOWER && from >= FAULT_MS + 1000     ? 1.0 / 3
                          : m->c->fault == RAISE && i * BUCKET_MS >= FAULT_MS ? 3
                                                                              : 1;
          double plain
              = (accounts[a].rate * BJ_QUOTA_WINDOW_MS / 1000 + accounts[a].burst) * factor;

          n += m->all[a][i] - (i >= window ? m->all[a][i - window] : 0);
          if (a < 2)
            e->above = MAX (e->above, n / plain - 1);
          if (n > plain * TOLERANCE + TOLERANCE_CALLS && !has_failed)
            {
              has_failed = true;
              record_failure (
                  "%s, %d daemons, seed %d: account %s ran %.0f in the window up to %d ms, "
                  "bound %.0f",
                  m->c->name,
                  m->n,
                  seed,
                  accounts[a].name,
                  n,
                  i * BUCKET_MS,
                  plain * TOLERANCE + TOLERANCE_CALLS);
            }
        }
    }
}

// A side owns at least an equal part of its members, or its share of the arrivals if that is less.
static void
check_use (const Model *m, int seed, Errors *e)
{
  bool is_cut = m->c->fault >= CUT_HALF && m->c->fault <= CUT_DAEMON;
  // A lower rate takes effect within a window.
  int from = m->c->fault == NOTHING ? WARM_MS
             : m->c->fault == LOWER ? FAULT_MS + BJ_QUOTA_WINDOW_MS
                                    : FAULT_MS + 1000;
  int to = m->c->fault == NOTHING || m->c->fault == LOWER ? RUN_MS : HEAL_MS;

  for (int s = 0; s <= is_cut && m->c->share > 0; s++)
    for (int a = 0; a < ACCOUNTS; a++)
      {
        double rate = accounts[a].rate
                      * (m->c->fault == LOWER   ? 1.0 / 3
                         : m->c->fault == RAISE ? 3
                                                : 1);
        double part = 1;
        double offered = sum_of (m->offered[s][a], from, to);
        double owned;
        double used = sum_of (m->side[s][a], from, to);
        int n = 0;

        for (int i = 0; i < m->n; i++)
          n += side_of (m, i) == s;
        if (is_cut)
          part = MIN ((double)n / m->n,
                      sum_of (m->offered[s][a], WARM_MS, FAULT_MS)
                          / MAX (1,
                                 sum_of (m->offered[0][a], WARM_MS, FAULT_MS)
                                     + sum_of (m->offered[1][a], WARM_MS, FAULT_MS)));
        owned = MIN (offered, rate * part * (to - from) / 1000);
        // Few requests say little: a deviation of Poisson arrivals is allowed for.
        if (owned < 20)
          continue;
        if (a < 2)
          e->below = MAX (e->below, 1 - used / owned);
        if (used < m->c->share * owned - 2 * sqrt (owned) * (a >= 2))
          record_failure ("%s, %d daemons, seed %d: account %s used %.0f of %.0f owned on side %d",
                          m->c->name,
                          m->n,
                          seed,
                          accounts[a].name,
                          used,
                          owned,
                          s);
      }
}

static void
run_model (const Case *c, int n, int n_domains, int seed, Errors *e)
{
  Model *m = g_new0 (Model, 1);

  *m = (Model){ .c = c, .n = n, .n_domains = n_domains, .rand = g_rand_new_with_seed (seed) };
  m->now = 0;
  m->daemons = g_new0 (Daemon, n);
  for (int i = 0; i < DELAYS_MAX_MS; i++)
    m->wheel[i] = g_array_new (FALSE, FALSE, sizeof (Message));
  for (int a = 0; a < ACCOUNTS; a++)
    m->rates[a] = accounts[a].rate;
  for (int i = 0; i < n; i++)
    {
      m->daemons[i].domain = i % n_domains;
      m->daemons[i].is_old = c->fault == OLD && i % 4 == 1;
      g_snprintf (m->daemons[i].name, sizeof m->daemons[i].name, "daemon-%d-%d", seed % 100, i);
    }
  for (int i = 0; i < n; i++)
    if (c->fault != JOIN || i % 10 != 3)
      start (m, i);
  for (; m->now < RUN_MS; m->now += STEP_MS)
    {
      if (m->now == FAULT_MS)
        begin_fault (m);
      if (m->now == FAULT_MS + 1000 && (c->fault == RESTART || is_restart_of_all (m)))
        for (int i = 0; i < n; i++)
          if (is_affected (m, i))
            start (m, i);
      if (m->now == (c->fault == FREEZE ? FAULT_MS + 3000 : HEAL_MS))
        end_fault (m);
      change_rates (m);
      if ((int)m->now % 200 == 0)
        update_members (m);
      deliver (m);
      tick (m);
      arrive (m);
    }
  check_windows (m, seed, e);
  check_use (m, seed, e);
  for (int i = 0; i < n; i++)
    bj_quota_free (m->daemons[i].quota);
  for (int i = 0; i < DELAYS_MAX_MS; i++)
    {
      for (guint k = 0; k < m->wheel[i]->len; k++)
        g_free (g_array_index (m->wheel[i], Message, k).bytes);
      g_array_free (m->wheel[i], TRUE);
    }
  g_rand_free (m->rand);
  g_free (m->daemons);
  g_free (m);
}

static void
test_model (void **state)
{
  static const struct
  {
    int n;
    int domains;
    int seeds;
  } fleets[] = { { 60, 4, 3 }, { 300, 8, 1 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (fleets) && strstr (cases[i].name, only) != NULL; k++)
      {
        Errors e = { -1, -1 };
        gint64 began = g_get_monotonic_time ();

        for (int s = 1; s <= fleets[k].seeds; s++)
          run_model (&cases[i], fleets[k].n, fleets[k].domains, s, &e);
        print_message ("%-30s %3d daemons: above %+.3f below %+.3f  (%.1f s)\n",
                       cases[i].name,
                       fleets[k].n,
                       e.above,
                       e.below,
                       (double)(g_get_monotonic_time () - began) / 1e6);
      }
  assert_int_equal (n_failures, 0);
}

static BjQuota *
new_quota (const char *name, const BjAccount *accounts, int n, int n_members)
{
  BjQuota *q = bj_quota_new (bj_str (name), BJ_STR ("d"), 7, -BJ_QUOTA_WINDOW_MS);
  const BjAccount *list[SIZE_ACCOUNTS];
  BjQuotaMember members[] = { { BJ_STR ("a"), BJ_STR ("d"), true },
                              { BJ_STR ("b"), BJ_STR ("d"), true },
                              { BJ_STR ("c"), BJ_STR ("e"), true } };

  for (int i = 0; i < n; i++)
    list[i] = &accounts[i];
  bj_quota_set_members (q, members, n_members, n_members == 1);
  bj_quota_configure (q, 0, list, n);
  return q;
}

static int
admit_for (BjQuota *q, uint64_t account, BjTime from, BjTime to, double per_s)
{
  double retry_after = 0;
  int n = 0;

  for (int i = 0; from + i * 1000 / per_s < to; i++)
    {
      n += bj_quota_admit (q, from + i * 1000 / per_s, account, &retry_after);
      assert_true (retry_after >= 0 && retry_after <= 30000);
    }
  return n;
}

// One daemon that is alone; the bounds are those of the page.
static void
test_rates (void **state)
{
  static const struct
  {
    const char *name;
    double rate;
    double burst;
    double per_s; // arrivals
    int least;    // admitted in 20 s
  } rates[] = {
    { "zero burst", 100, 0, 300, 1900 },
    { "rate below 1 a second", 0.2, 1, 3, 4 },
    { "far below the rate", 100, 100, 10, 200 },
    { "at the rate", 100, 100, 100, 2000 },
    { "burst below the rate", 1000, 3, 3000, 19000 },
    { "burst far above the rate", 1, 500, 100, 515 },
    { "no number as a burst", 10, NAN, 100, 190 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      BjAccount a = { .hash = 5, .rate_per_s = rates[i].rate, .burst = rates[i].burst };
      BjQuota *q = new_quota ("a", &a, 1, 1);
      int n = admit_for (q, 5, 0, 20000, rates[i].per_s);
      double burst = isfinite (rates[i].burst) ? rates[i].burst : 0;

      if (n < rates[i].least || n > (rates[i].rate * 20 + burst) * TOLERANCE + TOLERANCE_CALLS)
        fail_msg ("%s: %d admitted in 20 s", rates[i].name, n);
      bj_quota_free (q);
    }
}

static void
test_configurations (void **state)
{
  BjAccount a[2] = { { .hash = 5, .rate_per_s = 100, .burst = 100 },
                     { .hash = 6, .rate_per_s = 1, .burst = 1 } };
  const BjAccount *both[] = { &a[0], &a[1] };
  const BjAccount *other[] = { &a[1] };
  BjQuota *q = new_quota ("a", a, 2, 1);
  BjQuotaUse u;
  double retry_after;
  int n;

  (void)state;
  // An account without a rate, or unknown, has no limit.
  assert_int_equal (admit_for (q, 99, 0, 1000, 5000), 5000);
  assert_false (bj_quota_use (q, 0, 99, &u));
  n = admit_for (q, 5, 0, 10000, 300);
  assert_in_range (n, 1050, 1150);
  // The account's place in the table changes; what was used stays used.
  both[0] = &a[1];
  both[1] = &a[0];
  bj_quota_configure (q, 10000, both, 2);
  assert_in_range (admit_for (q, 5, 10000, 11000, 300), 80, 120);
  // A lower rate: at once, and without the burst of the higher one.
  a[0].rate_per_s = 10;
  a[0].burst = 10;
  bj_quota_configure (q, 11000, both, 2);
  assert_in_range (admit_for (q, 5, 11000, 16000, 300), 40, 70);
  // A higher rate: at once.
  a[0].rate_per_s = 200;
  a[0].burst = 200;
  bj_quota_configure (q, 16000, both, 2);
  assert_true (admit_for (q, 5, 16000, 17000, 1000) >= 190);
  // Removed and back: it begins anew, within its burst.
  bj_quota_configure (q, 17000, other, 1);
  assert_int_equal (admit_for (q, 5, 17000, 17100, 1000), 100);
  bj_quota_configure (q, 17100, both, 2);
  assert_in_range (admit_for (q, 5, 17100, 18100, 1000), 190, 460);
  // No accounts at all.
  bj_quota_configure (q, 18100, NULL, 0);
  assert_false (bj_quota_is_needed (q));
  assert_true (bj_quota_admit (q, 18100, 5, &retry_after));
  bj_quota_free (q);
}

// A clock that stands still, as in one iteration of the event loop, must not fill the bucket, and
// one that steps back must do no harm. Above the burst, at most half a second of the rate runs.
static void
test_clock (void **state)
{
  BjAccount a = { .hash = 5, .rate_per_s = 100, .burst = 100 };
  BjQuota *q = new_quota ("a", &a, 1, 1);
  double retry_after = 0;
  double last = 0;
  int n = 0;

  (void)state;
  for (int i = 0; i < 10000; i++)
    n += bj_quota_admit (q, 1000, 5, &retry_after);
  assert_in_range (n, 50, 151);
  for (int i = 0; i < 10000; i++)
    n += bj_quota_admit (q, 10, 5, &retry_after);
  assert_in_range (n, 50, 151);
  // Retry-after times of one moment are different places in the rate.
  for (int i = 0; i < 5; i++)
    {
      bj_quota_admit (q, 30000, 5, &retry_after);
      while (bj_quota_admit (q, 30000, 5, &retry_after))
        ;
      assert_true (retry_after > last || retry_after >= 10000);
      last = retry_after;
    }
  bj_quota_free (q);
}

// A refund must make room for one request more, and many refunds for no more than were admitted.
static void
test_refunds (void **state)
{
  BjAccount a = { .hash = 5, .rate_per_s = 10, .burst = 10 };
  BjQuota *q = new_quota ("a", &a, 1, 1);
  double retry_after;
  int n = 0;

  (void)state;
  for (int i = 0; i < 10000; i++)
    n += bj_quota_admit (q, 0, 5, &retry_after);
  assert_in_range (n, 5, 16);
  bj_quota_refund (q, 5);
  bj_quota_refund (q, 99);
  assert_true (bj_quota_admit (q, 0, 5, &retry_after));
  assert_false (bj_quota_admit (q, 0, 5, &retry_after));
  for (int i = 0; i < 1000; i++)
    bj_quota_refund (q, 5);
  assert_true (admit_for (q, 5, 0, 1, 1e6) <= n + 20);
  bj_quota_free (q);
}

// Malformed and absurd messages must be rejected, or at least not change what is admitted.
static void
test_malformed (void **state)
{
  BjAccount a = { .hash = 5, .rate_per_s = 100, .burst = 100 };
  GRand *rand = g_rand_new_with_seed (3);
  msgpack_sbuffer report;
  msgpack_sbuffer totals;
  BjQuota *q[2];
  BjStr to = BJ_STR_NULL;
  double retry_after;
  int from = -1;
  int n;

  (void)state;
  q[0] = new_quota ("a", &a, 1, 2);
  q[1] = new_quota ("b", &a, 1, 2);
  msgpack_sbuffer_init (&report);
  msgpack_sbuffer_init (&totals);
  for (int i = 0; i < 2 && from < 0; i++)
    {
      bj_quota_admit (q[i], 5, 5, &retry_after);
      if (bj_quota_next_report (q[i], 10, &to, &report))
        from = i;
    }
  assert_true (from >= 0);
  from = from == 1; // for the analyzer
  assert_true (bj_str_equal (to, from == 0 ? BJ_STR ("b") : BJ_STR ("a")));
  for (int i = 0; i < MUTATIONS; i++)
    {
      BjStr name = from == 0 ? BJ_STR ("a") : BJ_STR ("b");
      GString *s = g_string_new_len (report.data, (gssize)report.size);
      int n_changes = g_rand_int_range (rand, 1, 5);

      for (int k = 0; k < n_changes && s->len > 0; k++)
        s->str[g_rand_int_range (rand, 0, (int)s->len)] = (char)g_rand_int (rand);
      if (i % 5 == 0)
        g_string_truncate (s, (gsize)g_rand_int_range (rand, 0, (int)s->len));
      msgpack_sbuffer_clear (&totals);
      bj_quota_take_report (q[1 - from], 20, name, (BjStr){ s->str, s->len }, &totals);
      bj_quota_take_totals (q[from], 20, to, (BjStr){ s->str, MAX (1, s->len) });
      g_string_free (s, TRUE);
    }
  // From a daemon that is no member, and from itself.
  msgpack_sbuffer_clear (&totals);
  assert_false (bj_quota_take_report (
      q[1 - from], 20, BJ_STR ("x"), (BjStr){ report.data, report.size }, &totals));
  assert_false (
      bj_quota_take_report (q[1 - from], 20, to, (BjStr){ report.data, report.size }, &totals));
  assert_int_equal (totals.size, 0);
  n = admit_for (q[1 - from], 5, 60000, 80000, 300);
  assert_in_range (n, 900, 2400);
  msgpack_sbuffer_destroy (&report);
  msgpack_sbuffer_destroy (&totals);
  g_rand_free (rand);
  bj_quota_free (q[0]);
  bj_quota_free (q[1]);
}

// PING and PONG of daemons that know nothing of accounts have no field for them, and theirs must
// not change for them.
static void
test_frames (void **state)
{
  static const struct
  {
    const char *name;
    const char *bytes; // after the length
    size_t len;
    BjStatus result;
    size_t usage; // bytes
  } frames[] = {
    { "PING of an older daemon", "\x92\x08\x00", 3, BJ_OK, 0 },
    { "PING with an upstream", "\x95\x08\x00\x05\xc2\xcb\xbf\xf0\0\0\0\0\0\0", 14, BJ_OK, 0 },
    { "PING with usage", "\x96\x08\x00\x05\xc2\xcb\xbf\xf0\0\0\0\0\0\0\xc4\x02xy", 18, BJ_OK, 2 },
    { "PING with usage of a wrong type",
      "\x96\x08\x00\x05\xc2\xcb\xbf\xf0\0\0\0\0\0\0\x07",
      15,
      BJ_E_FORMAT,
      0 },
    { "PING of a later daemon",
      "\x97\x08\x00\x05\xc2\xcb\xbf\xf0\0\0\0\0\0\0\xc4\x02xy\x09",
      19,
      BJ_OK,
      2 },
    { "PONG of an older daemon", "\x92\x09\x00", 3, BJ_OK, 0 },
    { "PONG with usage", "\x93\x09\x01\xc4\x01x", 6, BJ_OK, 1 },
  };
  static const BjFrame plain[] = { { .kind = BJ_FRAME_PING }, { .kind = BJ_FRAME_PONG } };
  static const size_t sizes[] = { 18, 7 }; // as before accounts

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (frames); i++)
    {
      msgpack_unpacked unpacked;
      BjFrame f;

      msgpack_unpacked_init (&unpacked);
      if (bj_frame_decode ((BjStr){ frames[i].bytes, frames[i].len }, &unpacked, &f)
              != frames[i].result
          || f.data.len != frames[i].usage)
        fail_msg ("%s: usage of %zu bytes", frames[i].name, f.data.len);
      msgpack_unpacked_destroy (&unpacked);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (plain); i++)
    {
      msgpack_sbuffer out;

      msgpack_sbuffer_init (&out);
      bj_frame_encode (&out, &plain[i]);
      assert_int_equal (out.size, sizes[i]);
      msgpack_sbuffer_destroy (&out);
    }
}

typedef struct
{
  int n_accounts;
  BjAccount *accounts;
  BjQuota *quotas[SIZE_MEMBERS];
  BjQuotaMember members[SIZE_MEMBERS];
  char names[SIZE_MEMBERS][4];
  size_t n_report_bytes;
  size_t n_reply_bytes;
} Fleet;

// A tenth of the accounts is above its rate.
static Fleet *
new_fleet (int n_accounts)
{
  Fleet *f = g_new0 (Fleet, 1);
  const BjAccount **list = g_new0 (const BjAccount *, n_accounts);

  f->n_accounts = n_accounts;
  f->accounts = g_new0 (BjAccount, n_accounts);
  for (int i = 0; i < n_accounts; i++)
    {
      f->accounts[i] = (BjAccount){ .hash = (uint64_t)(i + 1) * 0x9e3779b97f4a7c15,
                                    .rate_per_s = i % 10 == 0 ? 1 : 20,
                                    .burst = 20 };
      list[i] = &f->accounts[i];
    }
  for (int i = 0; i < SIZE_MEMBERS; i++)
    {
      g_snprintf (f->names[i], sizeof f->names[i], "m%d", i);
      f->members[i] = (BjQuotaMember){ bj_str (f->names[i]), BJ_STR ("d"), true };
    }
  for (int i = 0; i < SIZE_MEMBERS; i++)
    {
      f->quotas[i] = bj_quota_new (f->members[i].name, BJ_STR ("d"), 7, 0);
      bj_quota_set_members (f->quotas[i], f->members, SIZE_MEMBERS, false);
      bj_quota_configure (f->quotas[i], 0, list, n_accounts);
    }
  g_free (list);
  return f;
}

static void
free_fleet (Fleet *f)
{
  for (int i = 0; i < SIZE_MEMBERS; i++)
    bj_quota_free (f->quotas[i]);
  g_free (f->accounts);
  g_free (f);
}

static void
exchange (Fleet *f, BjTime now)
{
  for (int i = 0; i < SIZE_MEMBERS; i++)
    {
      msgpack_sbuffer out;
      msgpack_sbuffer reply;
      BjStr to;

      msgpack_sbuffer_init (&out);
      msgpack_sbuffer_init (&reply);
      while (bj_quota_next_report (f->quotas[i], now, &to, &out))
        {
          assert_true (bj_quota_take_report (f->quotas[atoi (to.data + 1)],
                                             now,
                                             f->members[i].name,
                                             (BjStr){ out.data, out.size },
                                             &reply));
          assert_true (
              bj_quota_take_totals (f->quotas[i], now, to, (BjStr){ reply.data, reply.size }));
          assert_true (MAX (out.size, reply.size) <= BJ_QUOTA_MESSAGE_MAX);
          f->n_report_bytes += out.size;
          f->n_reply_bytes += reply.size;
          msgpack_sbuffer_clear (&out);
          msgpack_sbuffer_clear (&reply);
        }
      msgpack_sbuffer_destroy (&out);
      msgpack_sbuffer_destroy (&reply);
    }
}

// Prints the cost of a decision, and for a domain of 15 members bytes and memory. Arrivals are
// 1,000 a second at all of them together.
static void
test_cost (void **state)
{
  static const int sizes[] = { 75, SIZE_ACCOUNTS };

  (void)state;
  for (size_t k = 0; k < G_N_ELEMENTS (sizes); k++)
    {
      Fleet *f = new_fleet (sizes[k]);
      GRand *rand = g_rand_new_with_seed (4);
      size_t most = 0;
      size_t least = SIZE_MAX;
      gint64 spent = 0;
      double retry_after;
      gint64 began;

      for (int ms = 1000; ms < 1000 + SIZE_MS; ms += BJ_QUOTA_TICK_MS)
        {
          for (int i = 0; i < BJ_QUOTA_TICK_MS; i++)
            bj_quota_admit (f->quotas[g_rand_int_range (rand, 0, SIZE_MEMBERS)],
                            ms,
                            f->accounts[g_rand_int_range (rand, 0, sizes[k])].hash,
                            &retry_after);
          began = g_get_monotonic_time ();
          exchange (f, ms);
          spent += g_get_monotonic_time () - began;
        }
      for (int i = 0; i < SIZE_MEMBERS; i++)
        {
          most = MAX (most, bj_quota_bytes (f->quotas[i]));
          least = MIN (least, bj_quota_bytes (f->quotas[i]));
        }
      began = g_get_monotonic_time ();
      for (int i = 0; i < DECISIONS; i++)
        bj_quota_admit (f->quotas[1],
                        1000 + SIZE_MS + i / 1000.0,
                        f->accounts[(unsigned)i * 7919 % (unsigned)sizes[k]].hash,
                        &retry_after);
      print_message (
          "%5d accounts: %.3f us a decision; a member sends %.1f and gets %.1f kB/s, has "
          "%.0f kB, the collector %.0f kB; all reports take %.2f %% of a core\n",
          sizes[k],
          (double)(g_get_monotonic_time () - began) / DECISIONS,
          (double)f->n_report_bytes / SIZE_MS / (SIZE_MEMBERS - 1),
          (double)f->n_reply_bytes / SIZE_MS / (SIZE_MEMBERS - 1),
          (double)least / 1000,
          (double)most / 1000,
          (double)spent / SIZE_MS / 10);
      g_rand_free (rand);
      free_fleet (f);
    }
}

// Runs all cases, or those whose names contain the argument.
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_model),          cmocka_unit_test (test_rates),
    cmocka_unit_test (test_configurations), cmocka_unit_test (test_clock),
    cmocka_unit_test (test_refunds),        cmocka_unit_test (test_malformed),
    cmocka_unit_test (test_frames),         cmocka_unit_test (test_cost),
  };

  only = argc > 1 ? argv[1] : "";
  return cmocka_run_group_tests (tests, NULL, NULL);
}
