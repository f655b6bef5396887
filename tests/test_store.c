// Tickets decided through the store: concurrent filings write to a fake store that reorders and
// delays calls, loses responses and applies calls after their timeout. Writers pause before
// dispatch and restart. No writer may get a wrong result and no number may be lost. A failing seed
// is printed; BJ_STORE_SEEDS sets the number of seeds, BJ_STORE_SEED runs only that seed.

#include "fakestore.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#define SEEDS 4000
#define WRITERS 3
#define TICKETS_EACH 3
#define EVENTS_MAX 20000
#define NUMBERS_MAX 64
#define ROUTES "\"routes\":[{\"prefix\":\"/%s/\",\"class\":\"high\"}]"

typedef struct
{
  int id;
  BjFiling *filing; // current filing, NULL between two tickets
  char *name;       // writer id of the current filing
  char *ticket;
  int64_t number;
  bool is_waiting; // a store call is in flight
  uint64_t call;
  int n_filed;
} Writer;

typedef struct
{
  uint32_t seed;
  GRand *rand;
  FakeStore *store;
  Writer writers[WRITERS];
  uint64_t next_call;
  int n_filings;
  bool has_restores; // the store is restored from a snapshot at random times
  int64_t held_number;
  char *held;                  // newest configuration written so far
  char *accepted[NUMBERS_MAX]; // writer whose filing returned BJ_OK, by ticket number
  char *rejected[NUMBERS_MAX][WRITERS * TICKETS_EACH];
  int n_rejected[NUMBERS_MAX];
  const char *violation; // violated invariant, NULL if none
} Run;

static int64_t
config_number (BjStr text)
{
  struct json_object *o = text.len > 0 ? json_tokener_parse (text.data) : NULL;
  int64_t n = bj_json_int (o, "number");

  json_object_put (o);
  return n;
}

static void
on_change (void *data, const char *name, BjStr before, BjStr after)
{
  Run *r = data;
  int64_t number_before = config_number (before);
  int64_t number_after = config_number (after);

  if (!g_str_equal (name, "config/current"))
    {
      if (before.len > 0)
        r->violation = "a ticket was changed after it was created";
      return;
    }
  if (number_after <= number_before)
    r->violation = "the number of config/current did not increase";
  else if (number_after != number_before + 1
           && !(r->has_restores && number_after <= r->held_number))
    r->violation = "config/current skipped a number";
  if (number_after > r->held_number)
    {
      r->held_number = number_after;
      g_free (r->held);
      r->held = g_strndup (after.data, after.len);
    }
}

static void
start_filing (Run *r, Writer *w)
{
  int64_t current = config_number (fake_store_read (r->store, "config/current"));
  int64_t skipped = g_rand_int_range (r->rand, 0, 8) == 0 ? 1 : 0;
  const char *service = g_rand_boolean (r->rand) ? "a" : "b";
  BjFilingOptions o = BJ_FILING_OPTIONS_DEFAULT;

  w->number = current + 1 + skipped;
  w->name = g_strdup_printf ("writer-%d-%d", w->id, ++r->n_filings);
  if (current == 0)
    w->ticket = g_strdup_printf ("{\"number\":%" PRId64 ",\"base\":0,\"author\":\"%s\","
                                 "\"priorities\":[\"high\"]}",
                                 w->number,
                                 w->name);
  else
    w->ticket = g_strdup_printf ("{\"number\":%" PRId64 ",\"base\":%" PRId64 ",\"author\":\"%s\","
                                 "\"services\":{\"%s\":{" ROUTES "}}}",
                                 w->number,
                                 MAX (0, current - g_rand_int_range (r->rand, 0, 2)),
                                 w->name,
                                 service,
                                 w->name);
  o.ticket = bj_str (w->ticket);
  o.writer = bj_str (w->name);
  o.seed = g_rand_int (r->rand);
  if (r->has_restores)
    o.in_force_config = bj_str (r->held);
  if (bj_filing_new (&o, &w->filing) != BJ_OK)
    r->violation = bj_last_message ();
}

static void
abandon_filing (Run *r, Writer *w)
{
  fake_store_drop_writer (r->store, w->id);
  g_clear_pointer (&w->filing, bj_filing_free);
  g_clear_pointer (&w->name, g_free);
  g_clear_pointer (&w->ticket, g_free);
  w->is_waiting = false;
  w->n_filed++;
}

static void
finish_filing (Run *r, Writer *w)
{
  BjStatus s = bj_filing_result (w->filing);
  int64_t n = w->number;

  if (s == BJ_OK && r->accepted[n] != NULL && !r->has_restores)
    r->violation = "two writers got BJ_OK for the same number";
  else if (s == BJ_OK && r->accepted[n] == NULL)
    r->accepted[n] = g_strdup (w->name);
  else if (s != BJ_E_PENDING)
    r->rejected[n][r->n_rejected[n]++] = g_strdup (w->name);
  abandon_filing (r, w);
}

// Advances a writer: starts its next filing, sends its next store call or takes the result. Writers
// are picked at random, which makes them pause before dispatch.
static void
advance_writer (Run *r, Writer *w)
{
  BjStoreCall c;

  if (w->filing == NULL && w->n_filed < TICKETS_EACH)
    start_filing (r, w);
  else if (w->filing == NULL || w->is_waiting)
    return;
  else if (!bj_filing_next (w->filing, &c))
    finish_filing (r, w);
  else
    {
      w->is_waiting = true;
      w->call = ++r->next_call;
      fake_store_send (r->store, w->id, w->call, &c);
    }
}

static void
deliver_answer (Run *r)
{
  FakeStoreAnswer a;
  Writer *w;

  if (!fake_store_step (r->store, &a))
    return;
  w = &r->writers[a.writer];
  if (!w->is_waiting || a.call != w->call)
    return;
  w->is_waiting = false;
  bj_filing_reply (w->filing, &a.reply);
}

static bool
is_finished (const Run *r)
{
  for (int i = 0; i < WRITERS; i++)
    if (r->writers[i].filing != NULL || r->writers[i].n_filed < TICKETS_EACH)
      return false;
  return fake_store_is_idle (r->store);
}

// After all faults, a reader must be able to decide the remaining tickets.
static void
decide_remaining (Run *r)
{
  BjFilingOptions o = BJ_FILING_OPTIONS_DEFAULT;
  BjFiling *f;
  BjStoreCall c;
  FakeStoreAnswer a;

  fake_store_set_faults (r->store, (FakeStoreFaults){ 0 });
  if (r->has_restores)
    o.in_force_config = bj_str (r->held);
  bj_filing_new (&o, &f);
  while (bj_filing_next (f, &c))
    {
      fake_store_send (r->store, 0, 0, &c);
      while (!fake_store_step (r->store, &a))
        ;
      bj_filing_reply (f, &a.reply);
    }
  if (bj_filing_result (f) != BJ_OK)
    r->violation = "a reader could not decide the remaining tickets";
  bj_filing_free (f);
}

static struct json_object *
read_json (Run *r, const char *name)
{
  BjStr text = fake_store_read (r->store, name);

  return text.len > 0 ? json_tokener_parse (text.data) : NULL;
}

// Results that writers got are compared with the decisions only if the store is never restored: a
// restore between a filing's create and its decision can invalidate an acknowledged result.
static void
check_decision (Run *r, int64_t n, struct json_object *decision)
{
  char name[BJ_OBJECT_NAME_MAX];
  struct json_object *filed;
  BjStr writer = bj_json_str (decision, "writer");
  bool is_accepted = bj_json_int (decision, "code") == BJ_OK;

  if (bj_json_int (decision, "number") != n)
    r->violation = "decisions are not listed in order";
  if (r->has_restores)
    return;
  g_snprintf (name, sizeof name, "tickets/%" PRId64, n);
  filed = read_json (r, name);
  if (!bj_str_equal (writer, bj_json_str (filed, "writer")))
    r->violation = "a number was decided for a ticket other than the stored one";
  if (r->accepted[n] != NULL && !(is_accepted && bj_str_equal (writer, bj_str (r->accepted[n]))))
    r->violation = "a writer got BJ_OK, but its ticket was not accepted";
  for (int i = 0; i < r->n_rejected[n]; i++)
    if (is_accepted && bj_str_equal (writer, bj_str (r->rejected[n][i])))
      r->violation = "a writer got an error, but its ticket was accepted";
  json_object_put (filed);
}

static void
check_final_state (Run *r)
{
  struct json_object *current = read_json (r, "config/current");
  struct json_object *decisions = json_object_object_get (current, "decisions");
  int64_t last = bj_json_int (current, "number");
  char name[BJ_OBJECT_NAME_MAX];

  if (last < r->held_number)
    r->violation = "the store ends with an older configuration than the newest written";
  if ((decisions != NULL ? (int64_t)json_object_array_length (decisions) : 0) != last)
    r->violation = "a number up to the last one has no decision";
  else
    for (int64_t n = 1; n <= last; n++)
      check_decision (r, n, json_object_array_get_idx (decisions, (size_t)n - 1));
  g_snprintf (name, sizeof name, "tickets/%" PRId64, last + 1);
  if (fake_store_read (r->store, name).len > 0)
    r->violation = "a ticket was left undecided";
  json_object_put (current);
}

static void
free_run (Run *r)
{
  for (int i = 0; i < WRITERS; i++)
    abandon_filing (r, &r->writers[i]);
  for (int n = 0; n < NUMBERS_MAX; n++)
    {
      g_free (r->accepted[n]);
      for (int i = 0; i < r->n_rejected[n]; i++)
        g_free (r->rejected[n][i]);
    }
  g_free (r->held);
  fake_store_free (r->store);
  g_rand_free (r->rand);
}

static const char *
run_seed (uint32_t seed, bool has_restores)
{
  Run r = { .seed = seed, .has_restores = has_restores };
  const char *violation;

  r.rand = g_rand_new_with_seed (seed);
  r.store = fake_store_new (seed ^ 0x5eed);
  fake_store_on_change (r.store, on_change, &r);
  fake_store_set_faults (r.store,
                         (FakeStoreFaults){ .lose_request = g_rand_double (r.rand) * 0.2,
                                            .lose_answer = g_rand_double (r.rand) * 0.3,
                                            .late_effect = g_rand_double (r.rand) * 0.2,
                                            .stale_read = g_rand_double (r.rand) * 0.2 });
  fake_store_snapshot (r.store);
  for (int i = 0; i < WRITERS; i++)
    r.writers[i].id = i;
  for (int i = 0; i < EVENTS_MAX && r.violation == NULL && !is_finished (&r); i++)
    {
      Writer *w = &r.writers[g_rand_int_range (r.rand, 0, WRITERS)];

      if (g_rand_int_range (r.rand, 0, 150) == 0 && w->filing != NULL)
        abandon_filing (&r, w);
      else if (has_restores && g_rand_int_range (r.rand, 0, 60) == 0)
        fake_store_snapshot (r.store);
      else if (has_restores && g_rand_int_range (r.rand, 0, 60) == 0)
        fake_store_restore (r.store);
      else if (g_rand_boolean (r.rand))
        advance_writer (&r, w);
      else
        deliver_answer (&r);
    }
  if (r.violation == NULL && !is_finished (&r))
    r.violation = "the writers did not finish";
  if (r.violation == NULL)
    decide_remaining (&r);
  if (r.violation == NULL)
    check_final_state (&r);
  violation = r.violation;
  free_run (&r);
  return violation;
}

static void
run_seeds (bool has_restores)
{
  const char *one = getenv ("BJ_STORE_SEED");
  const char *many = getenv ("BJ_STORE_SEEDS");
  int n = many != NULL ? atoi (many) : SEEDS;
  int n_violations = 0;

  for (int i = 1; i <= n; i++)
    {
      uint32_t seed = one != NULL ? (uint32_t)atoi (one) : (uint32_t)i;
      const char *violation = run_seed (seed, has_restores);

      if (violation != NULL && n_violations++ < 5)
        print_error ("seed %u: %s\n", seed, violation);
      if (one != NULL)
        break;
    }
  assert_int_equal (n_violations, 0);
}

static void
test_filing_with_faults (void **state)
{
  (void)state;
  run_seeds (false);
}

static void
test_filing_with_restores (void **state)
{
  (void)state;
  run_seeds (true);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_filing_with_faults),
    cmocka_unit_test (test_filing_with_restores),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
