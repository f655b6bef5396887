// Who reads the store, without a network: members of several failure domains, of which the store
// refuses or leaves without a response a random part, or that are paused. Checks the time until a
// member that the store answers reads a change, and how many requests the store gets.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define MEMBERS_MAX 840
#define STEP_MS 10
#define SEEDS 1000
#define READ_MS 2200        // until the first member reads a change; 300 ms of 2,500 spread it
#define SETTLE_MS 3000      // before the fault
#define OUTAGE_MS 10000     // of a store that answers nobody
#define RESPONSE_MS 10      // of a store that answers
#define REQUEST_MS 2000     // until a list without a response fails
#define SILENCE_MS 500      // until the reader takes it for silent
#define SUSPECTED_MS 1500   // until the others suspect a paused member
#define REPORT_MAX_MS 200   // until a member hears what another one reports
#define BURST_PER_DOMAIN 44 // 2 readers, 2 successors of each of 14 failures, 10 retries, 4 others
#define RATE_PER_DOMAIN 6.0 // requests a second of a domain to a store that refuses all

typedef enum
{
  ANSWERED,
  REFUSED,
  SILENT,
  PAUSED,
  FAULTS,
} Fault;

typedef struct
{
  BjRole role;
  Fault fault;
  int domain;
  BjStoreAccess heard; // by the others
  BjTime heard_at;     // when they hear of role.access, BJ_TIME_NEVER if they know it
  bool is_open;        // a request is open
  bool is_list;
  bool must_list;
  BjTime asked;
  BjTime silent_at;
  BjTime ends; // of the request
} Member;

typedef struct
{
  const char *name;
  int n_members;
  int n_domains;
  double share; // of the members, chosen at random
  Fault fault;  // FAULTS: any
} Case;

static const Case cases[] = {
  { "17 members, 60 % refused", 17, 4, 0.6, REFUSED },
  { "17 members, 90 % refused", 17, 4, 0.9, REFUSED },
  { "17 members, 60 % silent", 17, 4, 0.6, SILENT },
  { "17 members, 90 % silent", 17, 4, 0.9, SILENT },
  { "17 members, 80 % refused, silent or paused", 17, 4, 0.8, FAULTS },
  { "100 members, 90 % silent", 100, 4, 0.9, SILENT },
  { "100 members, 80 % refused, silent or paused", 100, 4, 0.8, FAULTS },
  { "840 members, 80 % refused, silent or paused", 840, 8, 0.8, FAULTS },
};

static Member members[MEMBERS_MAX];
static int n_members;
static int n_domains;
static int n_requests;
static GRand *random_source;

static BjRoleView
view_of (int i, BjTime now, BjTime fault_at)
{
  BjRoleView v = { .n_members = 0 };

  for (int j = 0; j < n_members; j++)
    {
      const Member *m = &members[j];
      bool is_suspected = m->fault == PAUSED && now - fault_at > SUSPECTED_MS;

      if (m->domain != members[i].domain)
        continue;
      v.n_members++;
      // A lower index has a higher rank.
      if (j >= i)
        continue;
      v.n_failed += is_suspected || m->heard == BJ_STORE_FAILS;
      v.n_answered += !is_suspected && m->heard == BJ_STORE_ANSWERS;
      v.n_unknown += !is_suspected && m->heard == BJ_STORE_UNKNOWN;
    }
  return v;
}

static void
send_request (Member *m, BjTime now, bool is_faulty)
{
  n_requests++;
  m->is_open = true;
  m->is_list = m->must_list;
  m->asked = now;
  m->silent_at = now + SILENCE_MS + (m->is_list ? 0 : BJ_WATCH_TIMEOUT_MS);
  m->ends = now + (m->is_list ? RESPONSE_MS : BJ_WATCH_TIMEOUT_MS);
  if (is_faulty && m->fault == REFUSED)
    m->ends = now + RESPONSE_MS;
  else if (is_faulty)
    m->ends = now + (m->is_list ? REQUEST_MS : BJ_WATCH_TIMEOUT_MS + BJ_WATCH_GRACE_MS);
}

static void
end_request (Member *m, BjTime now, bool is_faulty)
{
  m->is_open = false;
  m->must_list = is_faulty;
  if (is_faulty)
    bj_role_failed (&m->role, now, g_rand_double (random_source));
  else
    bj_role_answered (&m->role, now);
}

static void
report (Member *m, BjTime now)
{
  if (m->role.access != m->heard && m->heard_at == BJ_TIME_NEVER)
    m->heard_at = now + g_rand_double_range (random_source, 0, REPORT_MAX_MS);
  if (now < m->heard_at)
    return;
  m->heard = m->role.access;
  m->heard_at = BJ_TIME_NEVER;
}

// The fault begins at fault_at and the change is made then. Returns true if the member reads it in
// this step.
static bool
run_member (int i, BjTime now, BjTime fault_at)
{
  Member *m = &members[i];
  bool is_faulty = now >= fault_at && m->fault != ANSWERED;
  bool is_reading = m->is_open && now >= fault_at && !is_faulty && (!m->is_list || now >= m->ends);
  BjRoleView v;

  if (is_faulty && m->fault == PAUSED)
    return false;
  if (m->is_open && is_faulty && m->ends < m->asked + BJ_WATCH_TIMEOUT_MS + BJ_WATCH_GRACE_MS
      && m->asked < fault_at)
    m->ends = m->fault == REFUSED ? now : m->asked + BJ_WATCH_TIMEOUT_MS + BJ_WATCH_GRACE_MS;
  if (m->is_open && now >= m->silent_at)
    bj_role_silent (&m->role, now);
  if (m->is_open && now >= m->ends)
    end_request (m, now, is_faulty);
  if ((int)(now / STEP_MS) % (BJ_READER_TICK_MS / STEP_MS) == i % (BJ_READER_TICK_MS / STEP_MS)
      && !m->is_open)
    {
      v = view_of (i, now, fault_at);
      bj_role_rest (&m->role, &v, now);
      if (bj_role_asks (&m->role, &v, now, g_rand_double (random_source)))
        send_request (m, now, is_faulty);
    }
  report (m, now);
  return is_reading;
}

static void
start_members (const Case *c, uint32_t seed)
{
  random_source = g_rand_new_with_seed (seed);
  n_members = c->n_members;
  n_domains = c->n_domains;
  n_requests = 0;
  for (int i = 0; i < n_members; i++)
    {
      members[i]
          = (Member){ .domain = i % n_domains, .heard_at = BJ_TIME_NEVER, .must_list = true };
      bj_role_init (&members[i].role, 0);
      if (g_rand_double (random_source) < c->share)
        members[i].fault = c->fault < FAULTS
                               ? c->fault
                               : (Fault)g_rand_int_range (random_source, REFUSED, FAULTS);
    }
}

// Returns the time until a member reads the change, -1 if the store answers no member.
static double
run_change (const Case *c, uint32_t seed)
{
  bool is_any_answered = false;
  double ms = BJ_TIME_NEVER;

  start_members (c, seed);
  for (int i = 0; i < n_members; i++)
    is_any_answered = is_any_answered || members[i].fault == ANSWERED;
  for (int now = 0; now < SETTLE_MS + OUTAGE_MS && ms == BJ_TIME_NEVER; now += STEP_MS)
    for (int i = 0; i < n_members; i++)
      if (run_member (i, now, SETTLE_MS))
        ms = now - SETTLE_MS;
  g_rand_free (random_source);
  return is_any_answered ? ms : -1;
}

static gint
compare_ms (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

static void
test_change_is_read_while_most_members_are_rejected (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GArray *all = g_array_new (FALSE, FALSE, sizeof (double));
      int n_seeds = cases[i].n_members > 100 ? SEEDS / 50 : SEEDS;

      for (int seed = 1; seed <= n_seeds; seed++)
        {
          double ms = run_change (&cases[i], (uint32_t)seed);

          if (ms > READ_MS)
            fail_msg ("%s, seed %d: read after %.0f ms", cases[i].name, seed, ms);
          if (ms >= 0)
            g_array_append_val (all, ms);
        }
      g_array_sort (all, compare_ms);
      print_message ("  %s: %.0f ms in the median, %.0f ms at most of %u\n",
                     cases[i].name,
                     g_array_index (all, double, all->len / 2),
                     g_array_index (all, double, all->len - 1),
                     all->len);
      g_array_free (all, TRUE);
    }
}

static void
test_requests_to_a_store_that_refuses_all_do_not_grow_with_the_fleet (void **state)
{
  static const Case all_refused[] = {
    { "17 members", 17, 4, 1, REFUSED },          { "100 members", 100, 4, 1, REFUSED },
    { "840 members", 840, 8, 1, REFUSED },        { "17 members, silent", 17, 4, 1, SILENT },
    { "840 members, silent", 840, 8, 1, SILENT },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (all_refused); i++)
    {
      const Case *c = &all_refused[i];
      int n_before;
      int n_first;
      double per_s;

      start_members (c, 1);
      for (int now = 0; now < SETTLE_MS; now += STEP_MS)
        for (int m = 0; m < n_members; m++)
          run_member (m, now, SETTLE_MS);
      n_before = n_requests;
      for (int now = SETTLE_MS; now < SETTLE_MS + OUTAGE_MS / 5; now += STEP_MS)
        for (int m = 0; m < n_members; m++)
          run_member (m, now, SETTLE_MS);
      n_first = n_requests - n_before;
      n_before = n_requests;
      for (int now = SETTLE_MS + OUTAGE_MS / 5; now < SETTLE_MS + OUTAGE_MS; now += STEP_MS)
        for (int m = 0; m < n_members; m++)
          run_member (m, now, SETTLE_MS);
      per_s = (n_requests - n_before) / (OUTAGE_MS * 0.8 / 1000);
      print_message (
          "  %s: %d requests in the first 2 s, then %.1f a second\n", c->name, n_first, per_s);
      assert_true (n_first <= BURST_PER_DOMAIN * n_domains);
      assert_true (per_s <= RATE_PER_DOMAIN * n_domains);
      g_rand_free (random_source);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_change_is_read_while_most_members_are_rejected),
    cmocka_unit_test (test_requests_to_a_store_that_refuses_all_do_not_grow_with_the_fleet),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
