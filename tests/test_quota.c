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
#define BUCKET_MS 10
#define BUCKETS (RUN_MS / BUCKET_MS)
#define DELAYS_MAX_MS 128
#define DOWN_MS 3000 // after which membership declares a silent member dead
#define TOLERANCE 1.1
#define TOLERANCE_CALLS 20
#define CALM_SHARE 0.95
#define PARTITION_SHARE 0.8
#define LOSS 0.005

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
  KILL,       // some daemons, collectors among them, until the end
  FREEZE,     // some daemons, collectors among them, for 3 s
  SILENCE,    // messages of some daemons are lost, membership sees them
  RESTART,    // some daemons, collectors among them, killed and started after 1 s
  JOIN,       // a tenth of the daemons starts later
  CUT_HALF,   // half of the domains from the others
  CUT_DOMAIN, // one domain from the others
  CUT_DAEMON, // the first daemon from all others
  LOWER,      // to a third of the rate
  RAISE,      // to three times the rate
  BURST,      // eight times the arrivals
  OLD,        // a quarter of the daemons is of an older version
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
      if (other->start > 0)
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
      bool is_changed = m->is_changed;

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
      double load = m->c->load * (m->c->fault == BURST && m->now >= FAULT_MS ? 8 : 1);
      double mean = accounts[a].rate * load * STEP_MS / 1000;

      // Poisson arrivals.
      for (double t = -log (1 - g_rand_double (m->rand)); t < mean;
           t -= log (1 - g_rand_double (m->rand)))
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
  return i == 0 || i % 60 == 17 || i == m->busiest;
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
      if (m->c->fault == KILL || m->c->fault == RESTART)
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
  int to = m->c->fault == NOTHING ? RUN_MS : HEAL_MS;

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
      if (m->now == FAULT_MS + 1000 && c->fault == RESTART)
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

// Runs all cases, or those whose names contain the argument.
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_model),
  };

  only = argc > 1 ? argv[1] : "";
  return cmocka_run_group_tests (tests, NULL, NULL);
}
