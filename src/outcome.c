// Connects calls of irreversible work to their claims. A call runs only after its claim was
// granted; then its outcome and a small response are recorded, and a resend gets the recorded
// response.

#include "internal.h"
#include "kernel.h"
#include <string.h>
#include <xxhash.h>

#define OBJECT_PREFIX "claims/"

typedef enum
{
  CALL_CLAIM_PENDING, // waits for the decision on the claim
  CALL_CLAIM_HELD,    // claim granted, the call may run
  CALL_CLAIM_CLOSED,  // claim refused or released, or outcome recorded
} CallState;

typedef struct
{
  BjOutcomes *outcomes;
  int shard;
} ShardCallback;

struct BjOutcomes
{
  BjClaimHost host; // first member, callbacks cast it to BjOutcomes
  BjDaemon *daemon;
  BjStr claimant; // owned
  BjClaims *claims;
  BjActions *actions;
  ShardCallback shard_callbacks[BJ_CLAIM_SHARDS]; // by shard; a shard has one store call at a time
};

struct BjOutcomeCall
{
  BjOutcomes *outcomes;
  BjExchange *x;
  CallState state;
  bool is_home_bound;
  BjClaim claim; // owned strings
  GString *body; // response body so far, NULL before the response or if it is too large to record
};

static void read_shard (BjClaimHost *h, int shard);
static void write_shard (BjClaimHost *h, int shard, BjStr version, struct json_object *spec);
static void on_shard_read (void *data, const BjPlatformReply *r);
static void on_shard_written (void *data, const BjPlatformReply *r);
static void on_decided (BjClaimHost *h, void *data, const BjClaimResult *r);
static void finish_claim (BjOutcomeCall *c, const BjClaimResult *r);
static BjAnswer make_answer (BjOutcomeCall *c, const BjClaimResult *r);
static BjAnswer make_duplicate_answer (const BjOutcomes *o, const BjClaim *claim);
static bool is_claimant_running (const BjOutcomes *o, BjStr claimant);
static void record_outcome (BjOutcomeCall *c, BjClaimState s);
static void release_claim (BjOutcomeCall *c);
static uint64_t fingerprint_request (const BjRequest *r);
static void log_decision (BjOutcomeCall *c, const char *what);

static const BjClaimHostOps host_ops = { read_shard, write_shard, on_decided };

BjOutcomes *
bj_outcomes_new (BjDaemon *d)
{
  BjOutcomes *o = g_new0 (BjOutcomes, 1);
  BjClaimsOptions options = BJ_CLAIMS_OPTIONS_DEFAULT;
  char *claimant = g_strdup_printf ("%s/%" G_GUINT64_FORMAT, d->settings.name.data, d->incarnation);

  o->host.ops = &host_ops;
  o->daemon = d;
  o->claimant = bj_str_dup (bj_str (claimant));
  options.host = &o->host;
  options.claimant = o->claimant;
  options.first_sequence = g_random_int ();
  o->claims = bj_claims_new (&options);
  o->actions = bj_actions_new (d->settings.name, d->incarnation);
  for (int i = 0; i < BJ_CLAIM_SHARDS; i++)
    o->shard_callbacks[i] = (ShardCallback){ o, i };
  g_free (claimant);
  return o;
}

void
bj_outcomes_free (BjOutcomes *o)
{
  if (o == NULL)
    return;
  bj_claims_free (o->claims);
  bj_actions_free (o->actions);
  bj_str_free (&o->claimant);
  g_free (o);
}

void
bj_outcomes_claim (BjOutcomes *o, BjExchange *x)
{
  const BjCall *call = x->call;
  BjOutcomeCall *c = g_new0 (BjOutcomeCall, 1);
  BjClaimResult r = { .code = BJ_E_KEY };
  BjStr key = call->request.key;
  // One key may be used for work at several services of a call chain.
  char *id = g_strdup_printf ("%.*s@%.*s", BJ_STR_ARG (key), BJ_STR_ARG (call->service->name));

  x->outcome = c;
  c->outcomes = o;
  c->x = x;
  c->claim.id = bj_str_dup (bj_str (id));
  c->claim.claimant = bj_str_dup (o->claimant);
  c->claim.fingerprint = fingerprint_request (&call->request);
  c->claim.sequence = bj_claims_sequence (o->claims);
  c->is_home_bound = bj_actions_is_home_bound (key);
  g_free (id);
  if (c->is_home_bound)
    {
      bj_actions_claim (o->actions, key, &c->claim, &r);
      finish_claim (c, &r);
    }
  else if (bj_key_time (key, &c->claim.order) != BJ_OK
           || (double)c->claim.order > bj_clock_wall () + BJ_KEY_FUTURE_MS)
    finish_claim (c, &r);
  else
    bj_claims_acquire (o->claims, bj_clock_now (), &c->claim, c);
}

void
bj_outcomes_begin (BjExchange *x, const BjAnswer *a)
{
  BjOutcomeCall *c = x->outcome;

  if (c == NULL || c->state != CALL_CLAIM_HELD)
    return;
  c->claim.http_status = a->http_status;
  bj_str_set (&c->claim.content_type, a->content_type);
  bj_str_set (&c->claim.headers, a->headers);
  if (a->content_type.len + a->headers.len <= BJ_CLAIM_BODY_BYTES)
    c->body = g_string_new (NULL);
}

void
bj_outcomes_data (BjExchange *x, BjStr part)
{
  BjOutcomeCall *c = x->outcome;
  size_t head_bytes;

  if (c == NULL || c->body == NULL)
    return;
  head_bytes = c->claim.content_type.len + c->claim.headers.len;
  if (head_bytes + c->body->len + part.len <= BJ_CLAIM_BODY_BYTES)
    {
      g_string_append_len (c->body, part.data, (gssize)part.len);
      return;
    }
  g_string_free (c->body, TRUE);
  c->body = NULL;
}

void
bj_outcomes_end (BjExchange *x, bool is_complete)
{
  BjOutcomeCall *c = x->outcome;

  if (c == NULL || c->state != CALL_CLAIM_HELD)
    return;
  c->claim.has_answer = is_complete && c->body != NULL;
  if (c->claim.has_answer)
    c->claim.body = (BjStr){ c->body->str, c->body->len };
  record_outcome (c, BJ_CLAIM_DONE);
  c->claim.body = BJ_STR_NULL;
}

void
bj_outcomes_on_freed (BjExchange *x)
{
  BjOutcomeCall *c = x->outcome;

  if (c == NULL)
    return;
  x->outcome = NULL;
  if (c->state == CALL_CLAIM_PENDING && !c->is_home_bound)
    bj_claims_abandon (c->outcomes->claims, c->claim.sequence);
  if (c->state == CALL_CLAIM_HELD && x->call->may_have_run)
    record_outcome (c, BJ_CLAIM_UNKNOWN);
  if (c->state == CALL_CLAIM_HELD)
    release_claim (c);
  if (c->body != NULL)
    g_string_free (c->body, TRUE);
  bj_claim_clear (&c->claim);
  g_free (c);
}

void
bj_outcomes_tick (BjOutcomes *o)
{
  bj_claims_tick (o->claims, bj_clock_now ());
}

int
bj_outcomes_pending (const BjOutcomes *o)
{
  return bj_claims_pending (o->claims);
}

void
bj_outcomes_mint (BjOutcomes *o, GString *id)
{
  bj_actions_mint (o->actions, id);
}

static void
read_shard (BjClaimHost *h, int shard)
{
  BjOutcomes *o = (BjOutcomes *)h;
  BjPlatform *p = o->daemon->platform;
  char name[32];

  g_snprintf (name, sizeof name, OBJECT_PREFIX "%d", shard);
  p->ops->get (p, name, on_shard_read, &o->shard_callbacks[shard]);
}

static void
write_shard (BjClaimHost *h, int shard, BjStr version, struct json_object *spec)
{
  BjOutcomes *o = (BjOutcomes *)h;
  BjPlatform *p = o->daemon->platform;
  char name[32];

  g_snprintf (name, sizeof name, OBJECT_PREFIX "%d", shard);
  p->ops->put (p, name, spec, version, on_shard_written, &o->shard_callbacks[shard]);
}

static void
on_shard_read (void *data, const BjPlatformReply *r)
{
  ShardCallback *s = data;

  bj_claims_on_read (s->outcomes->claims, bj_clock_now (), s->shard, r);
}

static void
on_shard_written (void *data, const BjPlatformReply *r)
{
  ShardCallback *s = data;

  bj_claims_on_written (s->outcomes->claims, bj_clock_now (), s->shard, r);
}

static void
on_decided (BjClaimHost *h, void *data, const BjClaimResult *r)
{
  (void)h;
  finish_claim (data, r);
}

static void
finish_claim (BjOutcomeCall *c, const BjClaimResult *r)
{
  BjCall *call = c->x->call;
  BjKernel *k = c->outcomes->daemon->kernel;
  BjAnswer a;

  if (r->code == BJ_OK)
    {
      c->state = CALL_CLAIM_HELD;
      log_decision (c, "Held");
      bj_kernel_claimed (k, bj_clock_now (), call, NULL);
      return;
    }
  c->state = CALL_CLAIM_CLOSED;
  a = make_answer (c, r);
  log_decision (c, bj_status_name (r->code));
  bj_kernel_claimed (k, bj_clock_now (), call, &a);
}

static BjAnswer
make_answer (BjOutcomeCall *c, const BjClaimResult *r)
{
  BjAnswer a = {
    .code = r->code,
    .outcome = BJ_NOT_RUN,
    .retry_after_ms = r->retry_after_ms,
    .attempts_left = -1,
    .length = -1,
  };

  if (r->code == BJ_E_DUPLICATE)
    return make_duplicate_answer (c->outcomes, r->claim);
  if (r->code == BJ_E_HOME)
    a.outcome = BJ_UNKNOWN; // the daemon that minted the id may have run it
  return a;
}

static BjAnswer
make_duplicate_answer (const BjOutcomes *o, const BjClaim *claim)
{
  BjAnswer a = { .code = BJ_E_DUPLICATE, .outcome = BJ_UNKNOWN, .attempts_left = -1, .length = -1 };

  if (claim == NULL)
    return a;
  if (claim->state == BJ_CLAIM_DONE)
    a.outcome = BJ_DONE;
  if (claim->state == BJ_CLAIM_HELD && is_claimant_running (o, claim->claimant))
    a.retry_after_ms = BJ_CLAIM_BACKOFF_MS;
  if (!claim->has_answer)
    return a;
  a.code = BJ_OK;
  a.http_status = claim->http_status;
  a.content_type = claim->content_type;
  a.headers = claim->headers;
  a.body = claim->body;
  a.length = (int64_t)claim->body.len;
  return a;
}

static bool
is_claimant_running (const BjOutcomes *o, BjStr claimant)
{
  const char *slash = claimant.len > 0 ? memrchr (claimant.data, '/', claimant.len) : NULL;
  const BjPeer *p;
  BjStr name;
  BjStr digits;
  int64_t incarnation;

  if (slash == NULL)
    return false;
  name = (BjStr){ claimant.data, (size_t)(slash - claimant.data) };
  digits = (BjStr){ slash + 1, claimant.len - name.len - 1 };
  p = bj_kernel_find_peer (o->daemon->kernel, name);
  if (p == NULL || !bj_str_int (digits, &incarnation))
    return false;
  return p->report.incarnation == (uint64_t)incarnation;
}

static void
record_outcome (BjOutcomeCall *c, BjClaimState s)
{
  c->state = CALL_CLAIM_CLOSED;
  c->claim.state = s;
  if (c->is_home_bound)
    bj_shard_record (bj_actions_table (c->outcomes->actions), &c->claim);
  else
    bj_claims_record (c->outcomes->claims, bj_clock_now (), &c->claim);
}

static void
release_claim (BjOutcomeCall *c)
{
  c->state = CALL_CLAIM_CLOSED;
  if (c->is_home_bound)
    bj_shard_remove (bj_actions_table (c->outcomes->actions), &c->claim);
  else
    bj_claims_release (c->outcomes->claims, bj_clock_now (), &c->claim);
}

static uint64_t
fingerprint_request (const BjRequest *r)
{
  uint64_t h = bj_str_hash (r->method);

  h = XXH64 (r->path.data, r->path.len, h);
  return r->body.len > 0 ? XXH64 (r->body.data, r->body.len, h) : h;
}

static void
log_decision (BjOutcomeCall *c, const char *what)
{
  bj_kernel_log_decision (
      c->outcomes->daemon->kernel, bj_clock_now (), c->x->call, "CLAIM", "%s", what);
}
