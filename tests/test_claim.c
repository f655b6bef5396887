// Claims: claimants as plain state machines against a store that reorders, delays and loses, with
// pauses between decision and dispatch and restarts. A failing seed is printed; CLAIM_SEED runs
// one alone, CLAIM_SEEDS sets how many.

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
#define STALE_READS 8 // one read in so many sees the object before its last update

typedef struct
{
  const char *name;
  int claims_max; // of the one shard
  bool has_restarts;
  bool has_faults;
} Plan;

typedef enum
{
  SEND_ASKED,
  SEND_MAY_RUN, // decided, not yet dispatched
  SEND_RAN,
  SEND_RECORDED,
  SEND_NOT_RUN,
  SEND_UNKNOWN,
  SEND_DONE, // answered with a recorded outcome
} SendState;

typedef struct
{
  int key;
  int claimant;
  uint64_t incarnation;
  uint64_t sequence;
  BjTime deadline;
  SendState state;
  BjStatus refused; // why, in SEND_NOT_RUN and SEND_UNKNOWN
} Send;

typedef struct
{
  int claimant;
  uint64_t incarnation;
  bool is_put;
  char *version; // condition of a put
  char *spec;    // to write, or what was read
  bool is_answer;
  BjStatus code;
  char *new_version;
} Message;

typedef struct
{
  BjClaimHost host; // first
  struct World *world;
  BjClaims *claims;
  int index;
  uint64_t incarnation;
  bool is_paused;
  bool has_call; // a store call is under way
  bool call_is_put;
} Claimant;

typedef struct World
{
  const Plan *plan;
  GRand *rand;
  BjTime now;
  Claimant claimants[CLAIMANTS];
  GPtrArray *messages; // Message*
  GPtrArray *sends;    // Send*
  char *spec;          // of the store's object, NULL when absent
  int64_t version;
  char *old_spec; // before the last update, for stale reads
  int64_t old_version;
  int runs[KEYS];
  bool is_calm; // no more faults
  const char *breach;
} World;

static const Plan plans[] = {
  { "faults and restarts", 64, true, true },
  { "faults, restarts and a table too small", 3, true, true },
  { "faults", 64, false, true },
  { "calm", 64, false, false },
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
  o.claims_max = c->world->plan->claims_max;
  c->claims = bj_claims_new (&o);
  c->is_paused = false;
  c->has_call = false;
}

static void
post (Claimant *c, bool is_put, BjStr version, const char *spec)
{
  Message *m = g_new0 (Message, 1);

  m->claimant = c->index;
  m->incarnation = c->incarnation;
  m->is_put = is_put;
  m->version = g_strndup (version.len > 0 ? version.data : "", version.len);
  m->spec = g_strdup (spec);
  c->has_call = true;
  c->call_is_put = is_put;
  g_ptr_array_add (c->world->messages, m);
}

static void
store_get (BjClaimHost *h, int shard)
{
  (void)shard;
  post ((Claimant *)h, false, BJ_STR_NULL, NULL);
}

static void
store_put (BjClaimHost *h, int shard, BjStr version, struct json_object *spec)
{
  (void)shard;
  post (
      (Claimant *)h, true, version, json_object_to_json_string_ext (spec, JSON_C_TO_STRING_PLAIN));
}

static void
decided (BjClaimHost *h, void *data, const BjClaimResult *r)
{
  const Claimant *c = (Claimant *)h;
  Send *s = data;

  if (s->state != SEND_ASKED)
    c->world->breach = "an asker was told twice";
  s->refused = r->code;
  if (r->code == BJ_OK)
    s->state = SEND_MAY_RUN;
  else if (r->code == BJ_E_PLATFORM)
    s->state = SEND_NOT_RUN;
  else if (r->claim != NULL && r->claim->state == BJ_CLAIM_DONE)
    {
      s->state = SEND_DONE;
      if (c->world->runs[s->key] != 1)
        c->world->breach = "a recorded outcome of a key that did not run once";
    }
  else
    s->state = SEND_UNKNOWN;
}

static void
at_store (World *w, Message *m)
{
  char text[32];
  bool has_faults = w->plan->has_faults && !w->is_calm;
  bool is_stale = !m->is_put && has_faults && g_rand_int_range (w->rand, 0, STALE_READS) == 0;

  m->is_answer = true;
  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, w->version);
  if (!m->is_put)
    {
      m->spec = g_strdup (is_stale ? w->old_spec : w->spec);
      m->code = m->spec != NULL ? BJ_OK : BJ_E_NOT_FOUND;
    }
  else if ((w->spec == NULL) != (m->version[0] == '\0')
           || (w->spec != NULL && g_strcmp0 (m->version, text) != 0))
    m->code = BJ_E_CONFLICT;
  else
    {
      g_free (w->old_spec);
      w->old_spec = w->spec;
      w->old_version = w->version;
      w->spec = g_strdup (m->spec);
      w->version++;
    }
  m->new_version = g_strdup_printf ("%" G_GINT64_FORMAT, is_stale ? w->old_version : w->version);
}

static void
give (World *w, Claimant *c, bool is_put, const BjPlatformReply *r)
{
  c->has_call = false;
  if (is_put)
    bj_claims_put (c->claims, w->now, 0, r);
  else
    bj_claims_got (c->claims, w->now, 0, r);
}

// Takes one message a step on: to the store, or back to its claimant.
static void
deliver (World *w, guint i)
{
  Message *m = w->messages->pdata[i];
  Claimant *c = &w->claimants[m->claimant];
  BjPlatformReply r = { 0 };

  if (!m->is_answer)
    {
      at_store (w, m);
      return;
    }
  if (c->is_paused)
    return;
  g_ptr_array_steal_index (w->messages, i);
  if (c->incarnation == m->incarnation && c->has_call && c->call_is_put == m->is_put)
    {
      r.code = m->code;
      r.version = m->code == BJ_OK ? bj_str (m->new_version) : BJ_STR_NULL;
      r.spec = m->code == BJ_OK ? json_tokener_parse (m->spec) : NULL;
      give (w, c, m->is_put, &r);
      json_object_put (r.spec);
    }
  free_message (m);
}

// The claimant stops waiting; the message may reach the store later all the same.
static void
time_out (World *w, Claimant *c)
{
  BjPlatformReply r = { .code = BJ_E_PLATFORM };

  if (!c->has_call || c->is_paused)
    return;
  for (guint i = w->messages->len; i > 0; i--)
    {
      Message *m = w->messages->pdata[i - 1];

      if (m->claimant != c->index || m->incarnation != c->incarnation)
        continue;
      if (m->is_answer)
        g_ptr_array_remove_index (w->messages, i - 1);
      else
        m->claimant = CLAIMANTS - 1 - c->index, m->incarnation = 0; // its answer reaches nobody
    }
  give (w, c, c->call_is_put, &r);
}

static void
ask (World *w, int key, Claimant *c)
{
  Send *s = g_new0 (Send, 1);
  char id[16];
  BjClaim claim = { .order = (uint64_t)(key + 1), .fingerprint = 7 };

  g_snprintf (id, sizeof id, "key-%d", key);
  claim.id = bj_str (id);
  claim.sequence = bj_claims_sequence (c->claims);
  s->key = key;
  s->claimant = c->index;
  s->incarnation = c->incarnation;
  s->sequence = claim.sequence;
  s->deadline = w->now + DEADLINE_MS;
  g_ptr_array_add (w->sends, s);
  bj_claims_ask (c->claims, w->now, &claim, s);
}

// The claimant of a send goes on with it: gives up, runs it, or tells its outcome.
static void
go_on (World *w, Send *s)
{
  Claimant *c = &w->claimants[s->claimant];
  char id[16];
  BjClaim claim = { .sequence = s->sequence, .state = BJ_CLAIM_DONE };

  if (c->incarnation != s->incarnation || c->is_paused)
    return;
  g_snprintf (id, sizeof id, "key-%d", s->key);
  claim.id = bj_str (id);
  if (s->state == SEND_ASKED && w->now >= s->deadline)
    {
      bj_claims_drop (c->claims, s->sequence);
      s->state = SEND_NOT_RUN;
    }
  else if (s->state == SEND_MAY_RUN && w->now >= s->deadline)
    {
      s->state = SEND_NOT_RUN;
      bj_claims_release (c->claims, w->now, &claim);
    }
  else if (s->state == SEND_MAY_RUN)
    {
      s->state = SEND_RAN;
      w->runs[s->key]++;
    }
  else if (s->state == SEND_RAN)
    {
      s->state = SEND_RECORDED;
      bj_claims_record (c->claims, w->now, &claim);
    }
}

static void
step (World *w)
{
  Claimant *c = &w->claimants[g_rand_int_range (w->rand, 0, CLAIMANTS)];
  int dice = g_rand_int_range (w->rand, 0, 100);
  bool has_faults = w->plan->has_faults && !w->is_calm;

  w->now += g_rand_double (w->rand) * STEP_MS;
  if (dice < 45 && w->messages->len > 0)
    deliver (w, (guint)g_rand_int_range (w->rand, 0, (gint32)w->messages->len));
  else if (dice < 60 && !w->is_calm && !c->is_paused)
    ask (w, g_rand_int_range (w->rand, 0, KEYS), c);
  else if (dice < 85 && w->sends->len > 0)
    go_on (w, w->sends->pdata[g_rand_int_range (w->rand, 0, (gint32)w->sends->len)]);
  else if (dice < 90 && !c->is_paused)
    bj_claims_tick (c->claims, w->now);
  else if (dice < 94 && has_faults)
    time_out (w, c);
  else if (dice < 97 && (has_faults || c->is_paused))
    {
      c->is_paused = !c->is_paused && has_faults;
      w->now += c->is_paused ? 0 : DEADLINE_MS * g_rand_double (w->rand);
    }
  else if (dice < 98 && has_faults && w->plan->has_restarts)
    {
      bj_claims_free (c->claims);
      start_claimant (c);
    }
}

static bool
is_settled (const World *w)
{
  if (w->messages->len > 0)
    return false;
  for (int i = 0; i < CLAIMANTS; i++)
    if (w->claimants[i].has_call || bj_claims_unwritten (w->claimants[i].claims) > 0)
      return false;
  for (guint i = 0; i < w->sends->len; i++)
    {
      const Send *s = w->sends->pdata[i];
      bool is_alive = w->claimants[s->claimant].incarnation == s->incarnation;

      if (is_alive && (s->state <= SEND_RAN))
        return false;
    }
  return true;
}

static bool
settle (World *w)
{
  w->is_calm = true;
  for (int i = 0; i < SETTLE_STEPS; i++)
    {
      if (is_settled (w))
        return true;
      step (w);
    }
  return false;
}

// After all is calm, a key that never ran must be free to run.
static const char *
check_free (World *w)
{
  for (int key = 0; key < KEYS; key++)
    {
      Send *s;

      if (w->runs[key] > 0)
        continue;
      ask (w, key, &w->claimants[0]);
      s = w->sends->pdata[w->sends->len - 1];
      for (int i = 0; i < SETTLE_STEPS && s->state == SEND_ASKED; i++)
        step (w);
      if (s->state == SEND_UNKNOWN)
        return "a key that never ran can't be run";
      if (!settle (w))
        return "does not settle";
    }
  return NULL;
}

// An outcome that its claimant recorded stands in the store.
static const char *
check_recorded (const World *w)
{
  struct json_object *o = json_tokener_parse (w->spec != NULL ? w->spec : "{}");
  BjShard *s = bj_shard_new (w->plan->claims_max, BJ_CLAIM_SHARD_BODY_BYTES);
  const char *breach = NULL;

  bj_shard_parse (s, o);
  for (guint i = 0; i < w->sends->len; i++)
    {
      const Send *d = w->sends->pdata[i];
      const BjClaim *c;
      char id[16];

      g_snprintf (id, sizeof id, "key-%d", d->key);
      c = bj_shard_find (s, bj_str (id));
      if (d->state == SEND_RECORDED && (c == NULL || c->state != BJ_CLAIM_DONE))
        breach = "an outcome is not recorded";
    }
  bj_shard_free (s);
  json_object_put (o);
  return breach;
}

static const char *
run_seed (const Plan *plan, guint32 seed)
{
  World w = { .plan = plan, .rand = g_rand_new_with_seed (seed), .now = 1000 };
  const char *breach;

  w.messages = g_ptr_array_new_with_free_func (free_message);
  w.sends = g_ptr_array_new_with_free_func (g_free);
  for (int i = 0; i < CLAIMANTS; i++)
    {
      w.claimants[i].host.ops = &host_ops;
      w.claimants[i].world = &w;
      w.claimants[i].index = i;
      start_claimant (&w.claimants[i]);
    }
  for (int i = 0; i < STEPS; i++)
    step (&w);
  breach = settle (&w) ? w.breach : "does not settle";
  if (breach == NULL && !plan->has_restarts)
    breach = check_free (&w);
  if (breach == NULL && !plan->has_restarts)
    breach = check_recorded (&w);
  for (int key = 0; key < KEYS; key++)
    if (w.runs[key] > 1)
      breach = "a key ran twice";
  for (int i = 0; i < CLAIMANTS; i++)
    bj_claims_free (w.claimants[i].claims);
  g_ptr_array_free (w.messages, TRUE);
  g_ptr_array_free (w.sends, TRUE);
  g_free (w.spec);
  g_free (w.old_spec);
  g_rand_free (w.rand);
  return breach;
}

static void
test_seeds (void **state)
{
  const char *one = getenv ("CLAIM_SEED");
  const char *many = getenv ("CLAIM_SEEDS");
  guint32 first = one != NULL ? (guint32)atoi (one) : 1;
  guint32 n = one != NULL ? 1 : many != NULL ? (guint32)atoi (many) : SEEDS;
  int n_failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (plans); i++)
    for (guint32 seed = first; seed < first + n; seed++)
      {
        const char *breach = run_seed (&plans[i], seed);

        if (breach == NULL)
          continue;
        n_failed++;
        if (n_failed <= 5)
          print_error ("%s, CLAIM_SEED=%u: %s\n", plans[i].name, seed, breach);
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
test_keys (void **state)
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
    cmocka_unit_test (test_keys),
    cmocka_unit_test (test_seeds),
  };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
