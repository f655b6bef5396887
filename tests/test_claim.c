// Claims: simulated claimants share a store that reorders, delays and loses messages. The
// claimants pause between decision and dispatch, and restart. No key may run twice. A failing seed
// is printed; CLAIM_SEED runs only that seed, CLAIM_SEEDS sets the number of seeds.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#define CLAIMANTS 3
#define KEYS 8
#define STEPS 400
#define SEEDS 2000
#define SETTLE_STEPS 20000
#define DEADLINE_MS 300
#define STEP_MS 10
#define STALE_READS 8 // one in this many reads returns the object before its last update

typedef struct
{
  const char *name;
  int claims_max; // capacity of the only shard
  bool has_restarts;
  bool has_faults;
} Scenario;

typedef enum
{
  ATTEMPT_CLAIMING,
  ATTEMPT_GRANTED, // claim granted, not yet dispatched
  ATTEMPT_RAN,
  ATTEMPT_RECORDED,
  ATTEMPT_NOT_RUN,
  ATTEMPT_UNKNOWN,
  ATTEMPT_DONE, // refused with a recorded outcome
} AttemptState;

typedef struct
{
  int key;
  int claimant;
  uint64_t incarnation;
  uint64_t sequence;
  BjTime deadline;
  AttemptState state;
  BjStatus refused; // reason in ATTEMPT_NOT_RUN and ATTEMPT_UNKNOWN
} Attempt;

typedef struct
{
  int claimant;
  uint64_t incarnation;
  bool is_put;
  char *version;  // expected version, the condition of a put
  char *spec;     // object to write, or object that was read
  bool is_answer; // on the way back from the store
  BjStatus code;
  char *new_version;
} Message;

typedef struct
{
  BjClaimHost host; // first member, callbacks cast it to Claimant
  struct Simulation *simulation;
  BjClaims *claims;
  int index;
  uint64_t incarnation;
  bool is_paused;
  bool has_call; // a store call is in flight
  bool call_is_put;
} Claimant;

typedef struct Simulation
{
  const Scenario *scenario;
  GRand *rand;
  BjTime now;
  Claimant claimants[CLAIMANTS];
  GPtrArray *messages; // Message*
  GPtrArray *attempts; // Attempt*
  char *spec;          // object in the store, NULL when absent
  int64_t version;
  char *old_spec; // object before the last update, for stale reads
  int64_t old_version;
  int runs[KEYS];
  bool is_ending;        // end of the run: no new faults or claims
  const char *violation; // violated invariant, NULL if none
} Simulation;

static const Scenario scenarios[] = {
  { "faults and restarts", 64, true, true },
  { "faults, restarts and a table that evicts claims", 3, true, true },
  { "faults", 64, false, true },
  { "no faults", 64, false, false },
};

static void store_get (BjClaimHost *h, int shard);
static void store_put (BjClaimHost *h, int shard, BjStr version, struct json_object *spec);
static void decided (BjClaimHost *h, void *data, const BjClaimResult *r);

static const BjClaimHostOps host_ops = { store_get, store_put, decided };

static void
free_message (gpointer data)
{
  Message *m = data;

  g_free (m->version);
  g_free (m->spec);
  g_free (m->new_version);
  g_free (m);
}

static void
start_claimant (Claimant *c)
{
  char name[32];
  BjClaimsOptions o = BJ_CLAIMS_OPTIONS_DEFAULT;

  c->incarnation++;
  g_snprintf (name, sizeof name, "c%d/%" G_GUINT64_FORMAT, c->index, c->incarnation);
  o.host = &c->host;
  o.claimant = bj_str (name);
  o.shards = 1;
  o.claims_max = c->simulation->scenario->claims_max;
  c->claims = bj_claims_new (&o);
  c->is_paused = false;
  c->has_call = false;
}

static void
send_message (Claimant *c, bool is_put, BjStr version, const char *spec)
{
  Message *m = g_new0 (Message, 1);

  m->claimant = c->index;
  m->incarnation = c->incarnation;
  m->is_put = is_put;
  m->version = g_strndup (version.len > 0 ? version.data : "", version.len);
  m->spec = g_strdup (spec);
  c->has_call = true;
  c->call_is_put = is_put;
  g_ptr_array_add (c->simulation->messages, m);
}

static void
store_get (BjClaimHost *h, int shard)
{
  (void)shard;
  send_message ((Claimant *)h, false, BJ_STR_NULL, NULL);
}

static void
store_put (BjClaimHost *h, int shard, BjStr version, struct json_object *spec)
{
  (void)shard;
  send_message (
      (Claimant *)h, true, version, json_object_to_json_string_ext (spec, JSON_C_TO_STRING_PLAIN));
}

static void
decided (BjClaimHost *h, void *data, const BjClaimResult *r)
{
  const Claimant *c = (Claimant *)h;
  Attempt *a = data;

  if (a->state != ATTEMPT_CLAIMING)
    c->simulation->violation = "a claim was decided twice";
  a->refused = r->code;
  if (r->code == BJ_OK)
    a->state = ATTEMPT_GRANTED;
  else if (r->code == BJ_E_PLATFORM)
    a->state = ATTEMPT_NOT_RUN;
  else if (r->claim != NULL && r->claim->state == BJ_CLAIM_DONE)
    {
      a->state = ATTEMPT_DONE;
      if (c->simulation->runs[a->key] != 1)
        c->simulation->violation
            = "an outcome was recorded for a key that did not run exactly once";
    }
  else
    a->state = ATTEMPT_UNKNOWN;
}

static void
process_at_store (Simulation *sim, Message *m)
{
  char text[32];
  bool has_faults = sim->scenario->has_faults && !sim->is_ending;
  bool is_stale = !m->is_put && has_faults && g_rand_int_range (sim->rand, 0, STALE_READS) == 0;

  m->is_answer = true;
  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, sim->version);
  if (!m->is_put)
    {
      m->spec = g_strdup (is_stale ? sim->old_spec : sim->spec);
      m->code = m->spec != NULL ? BJ_OK : BJ_E_NOT_FOUND;
    }
  else if ((sim->spec == NULL) != (m->version[0] == '\0')
           || (sim->spec != NULL && g_strcmp0 (m->version, text) != 0))
    m->code = BJ_E_CONFLICT;
  else
    {
      g_free (sim->old_spec);
      sim->old_spec = sim->spec;
      sim->old_version = sim->version;
      sim->spec = g_strdup (m->spec);
      sim->version++;
    }
  m->new_version
      = g_strdup_printf ("%" G_GINT64_FORMAT, is_stale ? sim->old_version : sim->version);
}

static void
deliver_reply (Simulation *sim, Claimant *c, bool is_put, const BjPlatformReply *r)
{
  c->has_call = false;
  if (is_put)
    bj_claims_on_written (c->claims, sim->now, 0, r);
  else
    bj_claims_on_read (c->claims, sim->now, 0, r);
}

// Moves one message forward: to the store, or back to its claimant.
static void
move_message (Simulation *sim, guint i)
{
  Message *m = sim->messages->pdata[i];
  Claimant *c = &sim->claimants[m->claimant];
  BjPlatformReply r = { 0 };

  if (!m->is_answer)
    {
      process_at_store (sim, m);
      return;
    }
  if (c->is_paused)
    return;
  g_ptr_array_steal_index (sim->messages, i);
  if (c->incarnation == m->incarnation && c->has_call && c->call_is_put == m->is_put)
    {
      r.code = m->code;
      r.version = m->code == BJ_OK ? bj_str (m->new_version) : BJ_STR_NULL;
      r.spec = m->code == BJ_OK ? json_tokener_parse (m->spec) : NULL;
      deliver_reply (sim, c, m->is_put, &r);
      json_object_put (r.spec);
    }
  free_message (m);
}

// The claimant gives up on its store call; the message may still reach the store later.
static void
time_out_call (Simulation *sim, Claimant *c)
{
  BjPlatformReply r = { .code = BJ_E_PLATFORM };

  if (!c->has_call || c->is_paused)
    return;
  for (guint i = sim->messages->len; i > 0; i--)
    {
      Message *m = sim->messages->pdata[i - 1];

      if (m->claimant != c->index || m->incarnation != c->incarnation)
        continue;
      if (m->is_answer)
        g_ptr_array_remove_index (sim->messages, i - 1);
      else
        // No claimant has incarnation 0, so the response is dropped.
        m->claimant = CLAIMANTS - 1 - c->index, m->incarnation = 0;
    }
  deliver_reply (sim, c, c->call_is_put, &r);
}

static void
claim_key (Simulation *sim, int key, Claimant *c)
{
  Attempt *a = g_new0 (Attempt, 1);
  char id[16];
  BjClaim claim = { .order = (uint64_t)(key + 1), .fingerprint = 7 };

  g_snprintf (id, sizeof id, "key-%d", key);
  claim.id = bj_str (id);
  claim.sequence = bj_claims_sequence (c->claims);
  a->key = key;
  a->claimant = c->index;
  a->incarnation = c->incarnation;
  a->sequence = claim.sequence;
  a->deadline = sim->now + DEADLINE_MS;
  g_ptr_array_add (sim->attempts, a);
  bj_claims_acquire (c->claims, sim->now, &claim, a);
}

// Advances an attempt at its claimant: gives it up, runs it, or records its outcome.
static void
advance_attempt (Simulation *sim, Attempt *a)
{
  Claimant *c = &sim->claimants[a->claimant];
  char id[16];
  BjClaim claim = { .sequence = a->sequence, .state = BJ_CLAIM_DONE };

  if (c->incarnation != a->incarnation || c->is_paused)
    return;
  g_snprintf (id, sizeof id, "key-%d", a->key);
  claim.id = bj_str (id);
  if (a->state == ATTEMPT_CLAIMING && sim->now >= a->deadline)
    {
      bj_claims_abandon (c->claims, a->sequence);
      a->state = ATTEMPT_NOT_RUN;
    }
  else if (a->state == ATTEMPT_GRANTED && sim->now >= a->deadline)
    {
      a->state = ATTEMPT_NOT_RUN;
      bj_claims_release (c->claims, sim->now, &claim);
    }
  else if (a->state == ATTEMPT_GRANTED)
    {
      a->state = ATTEMPT_RAN;
      sim->runs[a->key]++;
    }
  else if (a->state == ATTEMPT_RAN)
    {
      a->state = ATTEMPT_RECORDED;
      bj_claims_record (c->claims, sim->now, &claim);
    }
}

static void
simulate_step (Simulation *sim)
{
  Claimant *c = &sim->claimants[g_rand_int_range (sim->rand, 0, CLAIMANTS)];
  int percent = g_rand_int_range (sim->rand, 0, 100);
  bool has_faults = sim->scenario->has_faults && !sim->is_ending;

  sim->now += g_rand_double (sim->rand) * STEP_MS;
  if (percent < 45 && sim->messages->len > 0)
    move_message (sim, (guint)g_rand_int_range (sim->rand, 0, (gint32)sim->messages->len));
  else if (percent < 60 && !sim->is_ending && !c->is_paused)
    claim_key (sim, g_rand_int_range (sim->rand, 0, KEYS), c);
  else if (percent < 85 && sim->attempts->len > 0)
    advance_attempt (
        sim, sim->attempts->pdata[g_rand_int_range (sim->rand, 0, (gint32)sim->attempts->len)]);
  else if (percent < 90 && !c->is_paused)
    bj_claims_tick (c->claims, sim->now);
  else if (percent < 94 && has_faults)
    time_out_call (sim, c);
  else if (percent < 97 && (has_faults || c->is_paused))
    {
      c->is_paused = !c->is_paused && has_faults;
      sim->now += c->is_paused ? 0 : DEADLINE_MS * g_rand_double (sim->rand);
    }
  else if (percent < 98 && has_faults && sim->scenario->has_restarts)
    {
      bj_claims_free (c->claims);
      start_claimant (c);
    }
}

static bool
is_idle (const Simulation *sim)
{
  if (sim->messages->len > 0)
    return false;
  for (int i = 0; i < CLAIMANTS; i++)
    if (sim->claimants[i].has_call || bj_claims_pending (sim->claimants[i].claims) > 0)
      return false;
  for (guint i = 0; i < sim->attempts->len; i++)
    {
      const Attempt *a = sim->attempts->pdata[i];
      bool is_current_incarnation = sim->claimants[a->claimant].incarnation == a->incarnation;

      if (is_current_incarnation && (a->state <= ATTEMPT_RAN))
        return false;
    }
  return true;
}

static bool
run_until_idle (Simulation *sim)
{
  sim->is_ending = true;
  for (int i = 0; i < SETTLE_STEPS; i++)
    {
      if (is_idle (sim))
        return true;
      simulate_step (sim);
    }
  return false;
}

// After the faults have stopped, a key that never ran must still be able to run.
static const char *
check_unrun_keys (Simulation *sim)
{
  for (int key = 0; key < KEYS; key++)
    {
      Attempt *a;

      if (sim->runs[key] > 0)
        continue;
      claim_key (sim, key, &sim->claimants[0]);
      a = sim->attempts->pdata[sim->attempts->len - 1];
      for (int i = 0; i < SETTLE_STEPS && a->state == ATTEMPT_CLAIMING; i++)
        simulate_step (sim);
      if (a->state == ATTEMPT_UNKNOWN)
        return "a key that never ran is refused";
      if (!run_until_idle (sim))
        return "store calls or attempts do not finish";
    }
  return NULL;
}

// Every outcome that a claimant recorded must be in the store.
static const char *
check_recorded_outcomes (const Simulation *sim)
{
  struct json_object *o = json_tokener_parse (sim->spec != NULL ? sim->spec : "{}");
  BjShard *s = bj_shard_new (sim->scenario->claims_max, BJ_CLAIM_SHARD_BODY_BYTES);
  const char *violation = NULL;

  bj_shard_parse (s, o);
  for (guint i = 0; i < sim->attempts->len; i++)
    {
      const Attempt *a = sim->attempts->pdata[i];
      const BjClaim *c;
      char id[16];

      g_snprintf (id, sizeof id, "key-%d", a->key);
      c = bj_shard_find (s, bj_str (id));
      if (a->state == ATTEMPT_RECORDED && (c == NULL || c->state != BJ_CLAIM_DONE))
        violation = "a recorded outcome is missing in the store";
    }
  bj_shard_free (s);
  json_object_put (o);
  return violation;
}

static const char *
run_seed (const Scenario *scenario, guint32 seed)
{
  Simulation sim = { .scenario = scenario, .rand = g_rand_new_with_seed (seed), .now = 1000 };
  const char *violation;

  sim.messages = g_ptr_array_new_with_free_func (free_message);
  sim.attempts = g_ptr_array_new_with_free_func (g_free);
  for (int i = 0; i < CLAIMANTS; i++)
    {
      sim.claimants[i].host.ops = &host_ops;
      sim.claimants[i].simulation = &sim;
      sim.claimants[i].index = i;
      start_claimant (&sim.claimants[i]);
    }
  for (int i = 0; i < STEPS; i++)
    simulate_step (&sim);
  violation = run_until_idle (&sim) ? sim.violation : "store calls or attempts do not finish";
  if (violation == NULL && !scenario->has_restarts)
    violation = check_unrun_keys (&sim);
  if (violation == NULL && !scenario->has_restarts)
    violation = check_recorded_outcomes (&sim);
  for (int key = 0; key < KEYS; key++)
    if (sim.runs[key] > 1)
      violation = "a key ran twice";
  for (int i = 0; i < CLAIMANTS; i++)
    bj_claims_free (sim.claimants[i].claims);
  g_ptr_array_free (sim.messages, TRUE);
  g_ptr_array_free (sim.attempts, TRUE);
  g_free (sim.spec);
  g_free (sim.old_spec);
  g_rand_free (sim.rand);
  return violation;
}

static void
test_run_at_most_once (void **state)
{
  const char *one = getenv ("CLAIM_SEED");
  const char *many = getenv ("CLAIM_SEEDS");
  guint32 first = one != NULL ? (guint32)atoi (one) : 1;
  guint32 n = one != NULL ? 1 : many != NULL ? (guint32)atoi (many) : SEEDS;
  int n_failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    for (guint32 seed = first; seed < first + n; seed++)
      {
        const char *violation = run_seed (&scenarios[i], seed);

        if (violation == NULL)
          continue;
        n_failed++;
        if (n_failed <= 5)
          print_error ("%s, CLAIM_SEED=%u: %s\n", scenarios[i].name, seed, violation);
      }
  assert_int_equal (n_failed, 0);
}

typedef struct
{
  const char *key;
  BjStatus expected;
  uint64_t ms;
} KeyCase;

static const KeyCase key_cases[] = {
  { "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", BJ_OK, 1645557742000 },
  { "017F22E2-79B0-7CC3-98C4-DC0C0C07398F", BJ_OK, 1645557742000 },
  { "919108f7-52d1-4320-9bac-f847db4148a8", BJ_E_KEY, 0 },
  { "017f22e2-79b0-7cc3-78c4-dc0c0c07398f", BJ_E_KEY, 0 },
  { "017f22e279b07cc398c4dc0c0c07398f", BJ_E_KEY, 0 },
  { "017f22e2-79b0-7cc3-98c4-dc0c0c07398g", BJ_E_KEY, 0 },
  { "", BJ_E_KEY, 0 },
};

static void
test_key_time (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (key_cases); i++)
    {
      uint64_t ms;

      assert_int_equal (bj_key_time (bj_str (key_cases[i].key), &ms), key_cases[i].expected);
      if (key_cases[i].expected == BJ_OK)
        assert_int_equal (ms, key_cases[i].ms);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_key_time),
    cmocka_unit_test (test_run_at_most_once),
  };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
