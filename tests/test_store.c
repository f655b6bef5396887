// Tickets as they are decided through the store: writers are filings against a fake store that
// reorders, delays, loses answers and lets given-up calls take effect; writers are paused between
// decision and dispatch, and restarted. One seed is one run; a failing seed is printed.
// BJ_STORE_SEEDS sets how many are run, BJ_STORE_SEED runs that one.

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
  BjFiling *filing; // NULL between two tickets
  char *name;       // writer id of the filing
  char *ticket;
  int64_t number;
  bool is_waiting; // a call is on its way
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
  int n_names;
  bool restores; // the store goes back to a snapshot
  int64_t held_number;
  char *held;                  // newest configuration that a reader has seen
  char *accepted[NUMBERS_MAX]; // writer told that its ticket is accepted
  char *rejected[NUMBERS_MAX][WRITERS * TICKETS_EACH];
  int n_rejected[NUMBERS_MAX];
  const char *breach; // what went wrong, NULL while nothing
} Run;

static int64_t
number_of (BjStr text)
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
  int64_t from = number_of (before);
  int64_t to = number_of (after);

  if (!g_str_equal (name, "config/current"))
    {
      if (before.len > 0)
        r->breach = "a ticket was changed after it was created";
      return;
    }
  if (to <= from)
    r->breach = "config/current did not grow";
  else if (to != from + 1 && !(r->restores && to <= r->held_number))
    r->breach = "config/current left a number out";
  if (to > r->held_number)
    {
      r->held_number = to;
      g_free (r->held);
      r->held = g_strndup (after.data, after.len);
    }
}

static void
begin (Run *r, Writer *w)
{
  int64_t current = number_of (fake_store_read (r->store, "config/current"));
  int64_t skipped = g_rand_int_range (r->rand, 0, 8) == 0 ? 1 : 0;
  const char *service = g_rand_boolean (r->rand) ? "a" : "b";
  BjFilingOptions o = BJ_FILING_OPTIONS_DEFAULT;

  w->number = current + 1 + skipped;
  w->name = g_strdup_printf ("writer-%d-%d", w->id, ++r->n_names);
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
  if (r->restores)
    o.held = bj_str (r->held);
  if (bj_filing_new (&o, &w->filing) != BJ_OK)
    r->breach = bj_last_message ();
}

static void
forget (Run *r, Writer *w)
{
  fake_store_forget (r->store, w->id);
  g_clear_pointer (&w->filing, bj_filing_free);
  g_clear_pointer (&w->name, g_free);
  g_clear_pointer (&w->ticket, g_free);
  w->is_waiting = false;
  w->n_filed++;
}

static void
finish (Run *r, Writer *w)
{
  BjStatus s = bj_filing_result (w->filing);
  int64_t n = w->number;

  if (s == BJ_OK && r->accepted[n] != NULL && !r->restores)
    r->breach = "two writers were told that their ticket has one number";
  else if (s == BJ_OK && r->accepted[n] == NULL)
    r->accepted[n] = g_strdup (w->name);
  else if (s != BJ_E_PENDING)
    r->rejected[n][r->n_rejected[n]++] = g_strdup (w->name);
  forget (r, w);
}

// A writer that has a call to make sends it, or waits on, which is the pause before dispatch.
static void
move (Run *r, Writer *w)
{
  BjStoreCall c;

  if (w->filing == NULL && w->n_filed < TICKETS_EACH)
    begin (r, w);
  else if (w->filing == NULL || w->is_waiting)
    return;
  else if (!bj_filing_next (w->filing, &c))
    finish (r, w);
  else
    {
      w->is_waiting = true;
      w->call = ++r->next_call;
      fake_store_send (r->store, w->id, w->call, &c);
    }
}

static void
deliver (Run *r)
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
is_over (const Run *r)
{
  for (int i = 0; i < WRITERS; i++)
    if (r->writers[i].filing != NULL || r->writers[i].n_filed < TICKETS_EACH)
      return false;
  return fake_store_idle (r->store);
}

// A reader that comes after all faults completes what was left undone.
static void
complete (Run *r)
{
  BjFilingOptions o = BJ_FILING_OPTIONS_DEFAULT;
  BjFiling *f;
  BjStoreCall c;
  FakeStoreAnswer a;

  fake_store_set_faults (r->store, (FakeStoreFaults){ 0 });
  if (r->restores)
    o.held = bj_str (r->held);
  bj_filing_new (&o, &f);
  while (bj_filing_next (f, &c))
    {
      fake_store_send (r->store, 0, 0, &c);
      while (!fake_store_step (r->store, &a))
        ;
      bj_filing_reply (f, &a.reply);
    }
  if (bj_filing_result (f) != BJ_OK)
    r->breach = "a reader could not complete the tickets";
  bj_filing_free (f);
}

static struct json_object *
read_json (Run *r, const char *name)
{
  BjStr text = fake_store_read (r->store, name);

  return text.len > 0 ? json_tokener_parse (text.data) : NULL;
}

// A restore between a filing's create and its decision can change what the writer was told, so the
// verdicts are compared only when the store keeps what it acknowledged.
static void
check_number (Run *r, int64_t n, struct json_object *decision)
{
  char name[BJ_OBJECT_NAME_MAX];
  struct json_object *filed;
  BjStr writer = bj_json_str (decision, "writer");
  bool is_accepted = bj_json_int (decision, "code") == BJ_OK;

  if (bj_json_int (decision, "number") != n)
    r->breach = "decisions are not listed in order";
  if (r->restores)
    return;
  g_snprintf (name, sizeof name, "tickets/%" PRId64, n);
  filed = read_json (r, name);
  if (!bj_str_equal (writer, bj_json_str (filed, "writer")))
    r->breach = "a number was decided for another ticket than the one that holds it";
  if (r->accepted[n] != NULL && !(is_accepted && bj_str_equal (writer, bj_str (r->accepted[n]))))
    r->breach = "a writer was told that its ticket is accepted and it is not";
  for (int i = 0; i < r->n_rejected[n]; i++)
    if (is_accepted && bj_str_equal (writer, bj_str (r->rejected[n][i])))
      r->breach = "a writer was told that its ticket is not accepted and it is";
  json_object_put (filed);
}

static void
check_end (Run *r)
{
  struct json_object *current = read_json (r, "config/current");
  struct json_object *decisions = json_object_object_get (current, "decisions");
  int64_t last = bj_json_int (current, "number");
  char name[BJ_OBJECT_NAME_MAX];

  if (last < r->held_number)
    r->breach = "the store ends with an older configuration than a reader held";
  if ((decisions != NULL ? (int64_t)json_object_array_length (decisions) : 0) != last)
    r->breach = "not every number up to the last has its decision";
  else
    for (int64_t n = 1; n <= last; n++)
      check_number (r, n, json_object_array_get_idx (decisions, (size_t)n - 1));
  g_snprintf (name, sizeof name, "tickets/%" PRId64, last + 1);
  if (fake_store_read (r->store, name).len > 0)
    r->breach = "a ticket was left undecided";
  json_object_put (current);
}

static void
clear (Run *r)
{
  for (int i = 0; i < WRITERS; i++)
    forget (r, &r->writers[i]);
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
run_seed (uint32_t seed, bool restores)
{
  Run r = { .seed = seed, .restores = restores };
  const char *breach;

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
  for (int i = 0; i < EVENTS_MAX && r.breach == NULL && !is_over (&r); i++)
    {
      Writer *w = &r.writers[g_rand_int_range (r.rand, 0, WRITERS)];

      if (g_rand_int_range (r.rand, 0, 150) == 0 && w->filing != NULL)
        forget (&r, w);
      else if (restores && g_rand_int_range (r.rand, 0, 60) == 0)
        fake_store_snapshot (r.store);
      else if (restores && g_rand_int_range (r.rand, 0, 60) == 0)
        fake_store_restore (r.store);
      else if (g_rand_boolean (r.rand))
        move (&r, w);
      else
        deliver (&r);
    }
  if (r.breach == NULL && !is_over (&r))
    r.breach = "the writers did not come to an end";
  if (r.breach == NULL)
    complete (&r);
  if (r.breach == NULL)
    check_end (&r);
  breach = r.breach;
  clear (&r);
  return breach;
}

static void
run_seeds (bool restores)
{
  const char *one = getenv ("BJ_STORE_SEED");
  const char *many = getenv ("BJ_STORE_SEEDS");
  int n = many != NULL ? atoi (many) : SEEDS;
  int n_breaches = 0;

  for (int i = 1; i <= n; i++)
    {
      uint32_t seed = one != NULL ? (uint32_t)atoi (one) : (uint32_t)i;
      const char *breach = run_seed (seed, restores);

      if (breach != NULL && n_breaches++ < 5)
        print_error ("seed %u: %s\n", seed, breach);
      if (one != NULL)
        break;
    }
  assert_int_equal (n_breaches, 0);
}

static void
test_faults (void **state)
{
  (void)state;
  run_seeds (false);
}

static void
test_restores (void **state)
{
  (void)state;
  run_seeds (true);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_faults),
    cmocka_unit_test (test_restores),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
