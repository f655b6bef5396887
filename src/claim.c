// Claims make irreversible work run at most once. Before the first byte is sent to an upstream, a
// claim with the action, the claimant's incarnation and its attempt is durable in a shard of the
// platform's store. Requests for a shard that arrive during a store call are batched into the next
// conditional update. This module does no I/O: the host makes the store calls and passes in
// replies.

#include "internal.h"

typedef enum
{
  REQUEST_CLAIM,
  REQUEST_RECORD,
  REQUEST_RELEASE,
} RequestKind;

typedef enum
{
  STORE_IDLE,
  STORE_READING,
  STORE_WRITING,
} StoreState;

typedef struct
{
  RequestKind kind;
  BjClaim claim;    // owned
  BjTime due;       // latest time to write it; a write for another request includes it earlier
  bool is_applied;  // included in the write in flight
  bool was_written; // included in a write that may have taken effect
} Request;

typedef struct
{
  int index;
  StoreState state;
  BjTime call_started; // start of the store call in flight
  BjTime retry_at;     // earliest time of the next store call after a failed read
  double backoff_ms;
  GQueue requests; // Request*, in the order in which they are applied
  BjShard *table;  // as last read or written, with the requests of the write in flight applied
  BjStr version;   // of the object last read or written, owned
  bool is_loaded;  // table matches version
  bool is_fresh;   // table comes from the store call whose reply is being handled
} ShardState;

struct BjClaims
{
  BjClaimsOptions o;
  ShardState *shard_states;
  GHashTable *waiting; // sequence of a claim to the data for the decided callback
  uint64_t next_sequence;
};

typedef struct
{
  BjClaimResult result;
  uint64_t sequence;
  BjClaim claim; // owned copy, target of result.claim
} Decision;

static ShardState *find_shard_state (BjClaims *c, BjStr id);
static void queue_request (ShardState *st, BjTime due, RequestKind kind, const BjClaim *claim);
static bool is_due (const ShardState *st, BjTime now);
static void start_store_call (BjClaims *c, BjTime now, ShardState *st);
static bool apply_requests (BjClaims *c, ShardState *st, GArray *decisions, bool *must_read);
static bool apply_claim (ShardState *st, Request *r, GArray *decisions, bool *must_read);
static bool is_same_attempt (const BjClaim *a, const BjClaim *b);
static bool apply_record (ShardState *st, Request *r);
static bool apply_release (ShardState *st, Request *r);
static void release_written (ShardState *st, Request *r);
static void start_read (BjClaims *c, BjTime now, ShardState *st);
static void start_write (BjClaims *c, BjTime now, ShardState *st);
static void refuse_waiting (BjClaims *c, BjTime now, ShardState *st);
static void add_decision (
    GArray *decisions, Request *r, BjStatus s, const BjClaim *existing, double retry_after_ms);
static void deliver_decisions (BjClaims *c, GArray *decisions);
static void remove_request (ShardState *st, GList *link);
static void free_request (Request *r);
static void complete_written (BjClaims *c, ShardState *st, GArray *decisions);
static void reset_applied (ShardState *st);

static BjCounter n_requested = { "claims_total", "Claims requested by calls.", 0 };
static BjCounter n_writes
    = { "claim_writes_total", "Conditional updates of claim shards sent to the store.", 0 };
static BjCounter n_reads = { "claim_reads_total", "Reads of claim shards from the store.", 0 };
static BjCounter n_conflicts
    = { "claim_conflicts_total", "Claim shard updates refused because the shard had changed.", 0 };
static BjCounter n_unanswered
    = { "claim_unanswered_writes_total",
        "Claim shard updates without a response, after which the shard is read again.",
        0 };
static BjCounter n_below_watermark
    = { "claims_forgotten_total",
        "Claims refused because their order is at or below the low watermark.",
        0 };

BjClaims *
bj_claims_new (const BjClaimsOptions *o)
{
  BjClaims *c = g_new0 (BjClaims, 1);

  c->o = *o;
  c->o.claimant = bj_str_dup (o->claimant);
  c->next_sequence = o->first_sequence;
  c->waiting = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  c->shard_states = g_new0 (ShardState, o->shards);
  for (int i = 0; i < o->shards; i++)
    {
      c->shard_states[i].index = i;
      c->shard_states[i].table = bj_shard_new (o->claims_max, o->body_bytes_max);
      g_queue_init (&c->shard_states[i].requests);
    }
  bj_metric_register (&n_requested);
  bj_metric_register (&n_writes);
  bj_metric_register (&n_reads);
  bj_metric_register (&n_conflicts);
  bj_metric_register (&n_unanswered);
  bj_metric_register (&n_below_watermark);
  return c;
}

void
bj_claims_free (BjClaims *c)
{
  if (c == NULL)
    return;
  for (int i = 0; i < c->o.shards; i++)
    {
      Request *r;

      while ((r = g_queue_pop_head (&c->shard_states[i].requests)) != NULL)
        free_request (r);
      bj_shard_free (c->shard_states[i].table);
      bj_str_free (&c->shard_states[i].version);
    }
  g_free (c->shard_states);
  g_hash_table_destroy (c->waiting);
  bj_str_free (&c->o.claimant);
  g_free (c);
}

uint64_t
bj_claims_sequence (BjClaims *c)
{
  return c->next_sequence++;
}

void
bj_claims_acquire (BjClaims *c, BjTime now, const BjClaim *claim, void *data)
{
  ShardState *st = find_shard_state (c, claim->id);
  BjClaimResult refusal = { .code = BJ_E_PLATFORM };
  bool is_slow = st->state != STORE_IDLE && now - st->call_started > BJ_CLAIM_STALL_MS;
  BjClaim copy = *claim;

  n_requested.value++;
  if (now < st->retry_at || is_slow || st->requests.length >= BJ_CLAIM_PENDING_MAX)
    {
      refusal.retry_after_ms = MAX (BJ_CLAIM_BACKOFF_MS, st->retry_at - now);
      c->o.host->ops->decided (c->o.host, data, &refusal);
      return;
    }
  copy.claimant = c->o.claimant;
  copy.state = BJ_CLAIM_HELD;
  g_hash_table_insert (c->waiting, g_memdup2 (&claim->sequence, sizeof claim->sequence), data);
  queue_request (st, now, REQUEST_CLAIM, &copy);
  start_store_call (c, now, st);
}

void
bj_claims_abandon (BjClaims *c, uint64_t sequence)
{
  g_hash_table_remove (c->waiting, &sequence);
}

void
bj_claims_release (BjClaims *c, BjTime now, const BjClaim *claim)
{
  ShardState *st = find_shard_state (c, claim->id);
  BjClaim copy = *claim;

  copy.claimant = c->o.claimant;
  queue_request (st, now + BJ_CLAIM_RECORD_DELAY_MS, REQUEST_RELEASE, &copy);
  start_store_call (c, now, st);
}

void
bj_claims_record (BjClaims *c, BjTime now, const BjClaim *claim)
{
  ShardState *st = find_shard_state (c, claim->id);
  BjClaim copy = *claim;

  copy.claimant = c->o.claimant;
  queue_request (st, now + BJ_CLAIM_RECORD_DELAY_MS, REQUEST_RECORD, &copy);
  start_store_call (c, now, st);
}

void
bj_claims_on_read (BjClaims *c, BjTime now, int shard, const BjPlatformReply *r)
{
  ShardState *st = &c->shard_states[shard];
  BjStatus s = r->code;

  st->state = STORE_IDLE;
  if (s == BJ_OK || s == BJ_E_NOT_FOUND)
    s = bj_shard_parse (st->table, r->spec);
  if (s != BJ_OK)
    {
      refuse_waiting (c, now, st);
      return;
    }
  st->backoff_ms = 0;
  st->is_loaded = true;
  st->is_fresh = true;
  bj_str_set (&st->version, r->version);
  start_store_call (c, now, st);
  st->is_fresh = false;
}

void
bj_claims_on_written (BjClaims *c, BjTime now, int shard, const BjPlatformReply *r)
{
  ShardState *st = &c->shard_states[shard];
  GArray *decisions = g_array_new (FALSE, TRUE, sizeof (Decision));

  st->state = STORE_IDLE;
  if (r->code == BJ_OK)
    {
      st->backoff_ms = 0;
      st->is_fresh = true; // the condition held, so no other daemon wrote
      bj_str_set (&st->version, r->version);
      complete_written (c, st, decisions);
    }
  else
    {
      // Only reading the object shows whether the update took effect.
      reset_applied (st);
      st->is_loaded = false;
      if (r->code == BJ_E_PLATFORM)
        n_unanswered.value++;
      else
        n_conflicts.value++;
    }
  start_store_call (c, now, st);
  st->is_fresh = false;
  deliver_decisions (c, decisions);
}

void
bj_claims_tick (BjClaims *c, BjTime now)
{
  for (int i = 0; i < c->o.shards; i++)
    start_store_call (c, now, &c->shard_states[i]);
}

int
bj_claims_pending (const BjClaims *c)
{
  int n = 0;

  for (int i = 0; i < c->o.shards; i++)
    n += (int)c->shard_states[i].requests.length;
  return n;
}

static ShardState *
find_shard_state (BjClaims *c, BjStr id)
{
  return &c->shard_states[bj_str_hash (id) % (uint64_t)c->o.shards];
}

static void
queue_request (ShardState *st, BjTime due, RequestKind kind, const BjClaim *claim)
{
  Request *r = g_new0 (Request, 1);

  r->kind = kind;
  r->due = due;
  bj_claim_copy (&r->claim, claim);
  g_queue_push_tail (&st->requests, r);
}

static bool
is_due (const ShardState *st, BjTime now)
{
  for (const GList *i = st->requests.head; i != NULL; i = i->next)
    if (((const Request *)i->data)->due <= now)
      return true;
  return false;
}

static void
start_store_call (BjClaims *c, BjTime now, ShardState *st)
{
  GArray *decisions;
  bool must_read = false;
  bool must_write;

  if (st->state != STORE_IDLE || now < st->retry_at || !is_due (st, now))
    return;
  if (!st->is_loaded)
    {
      start_read (c, now, st);
      return;
    }
  decisions = g_array_new (FALSE, TRUE, sizeof (Decision));
  must_write = apply_requests (c, st, decisions, &must_read);
  if (must_write)
    start_write (c, now, st);
  else if (must_read)
    start_read (c, now, st);
  st->is_fresh = false;
  deliver_decisions (c, decisions);
}

// Applies the requests to the table in order and decides those that need no write. Returns whether
// a write is needed.
static bool
apply_requests (BjClaims *c, ShardState *st, GArray *decisions, bool *must_read)
{
  bool must_write = false;
  GList *next;

  for (GList *link = st->requests.head; link != NULL; link = next)
    {
      Request *r = link->data;

      next = link->next;
      if (r->kind == REQUEST_CLAIM && !g_hash_table_contains (c->waiting, &r->claim.sequence))
        {
          if (!r->was_written)
            {
              remove_request (st, link);
              continue;
            }
          r->kind = REQUEST_RELEASE;
        }
      if (r->kind == REQUEST_RELEASE)
        r->is_applied = apply_release (st, r);
      else if (r->kind == REQUEST_RECORD)
        r->is_applied = apply_record (st, r);
      else if (!apply_claim (st, r, decisions, must_read))
        continue; // decided after a read
      if (r->is_applied)
        must_write = true;
      else
        remove_request (st, link);
    }
  return must_write;
}

// Returns false if the claim can only be decided after another read.
static bool
apply_claim (ShardState *st, Request *r, GArray *decisions, bool *must_read)
{
  const BjClaim *existing = bj_shard_find (st->table, r->claim.id);
  bool is_mine = existing != NULL && is_same_attempt (existing, &r->claim);

  if (existing == NULL && !bj_shard_is_below_watermark (st->table, r->claim.order))
    {
      bj_shard_insert (st->table, &r->claim);
      r->is_applied = true;
      return true;
    }
  if (is_mine)
    {
      add_decision (decisions, r, BJ_OK, NULL, 0);
      return true;
    }
  if (existing != NULL && existing->fingerprint != r->claim.fingerprint)
    {
      add_decision (decisions, r, BJ_E_KEY, NULL, 0);
      release_written (st, r);
      return true;
    }
  if (existing != NULL && existing->state == BJ_CLAIM_HELD && !st->is_fresh)
    {
      *must_read = true;
      return false;
    }
  n_below_watermark.value += existing == NULL;
  add_decision (decisions, r, BJ_E_DUPLICATE, existing, 0);
  release_written (st, r);
  return true;
}

static bool
is_same_attempt (const BjClaim *a, const BjClaim *b)
{
  return a->sequence == b->sequence && bj_str_equal (a->claimant, b->claimant);
}

// Returns true (write) even if the claim is not in the table: only a successful conditional write
// proves that the table is not from a stale read.
static bool
apply_record (ShardState *st, Request *r)
{
  const BjClaim *c = bj_shard_find (st->table, r->claim.id);

  if (c != NULL && is_same_attempt (c, &r->claim))
    return bj_shard_record (st->table, &r->claim);
  return true;
}

// Always causes a write: an unanswered update with the claim may still reach the store, and its
// condition fails only if the object has a newer version.
static bool
apply_release (ShardState *st, Request *r)
{
  bj_shard_remove (st->table, &r->claim);
  return true;
}

// A refused claim that was written before may still be in the store, because the table may be from
// a stale read; it is therefore released.
static void
release_written (ShardState *st, Request *r)
{
  if (!r->was_written)
    return;
  r->kind = REQUEST_RELEASE;
  r->is_applied = apply_release (st, r);
}

static void
start_read (BjClaims *c, BjTime now, ShardState *st)
{
  st->state = STORE_READING;
  st->call_started = now;
  n_reads.value++;
  c->o.host->ops->get (c->o.host, st->index);
}

static void
start_write (BjClaims *c, BjTime now, ShardState *st)
{
  struct json_object *spec = bj_shard_print (st->table);

  for (GList *i = st->requests.head; i != NULL; i = i->next)
    if (((Request *)i->data)->is_applied)
      ((Request *)i->data)->was_written = true;
  st->state = STORE_WRITING;
  st->call_started = now;
  n_writes.value++;
  c->o.host->ops->put (c->o.host, st->index, st->version, spec);
  json_object_put (spec);
}

// The shard can't be read: refuses all its waiting claims and starts the backoff. Claims that may
// already be in the store are released later.
static void
refuse_waiting (BjClaims *c, BjTime now, ShardState *st)
{
  GArray *decisions = g_array_new (FALSE, TRUE, sizeof (Decision));
  GList *next;

  st->is_loaded = false;
  st->backoff_ms = CLAMP (st->backoff_ms * 2, BJ_CLAIM_BACKOFF_MS, BJ_CLAIM_BACKOFF_MAX_MS);
  st->retry_at = now + st->backoff_ms;
  for (GList *link = st->requests.head; link != NULL; link = next)
    {
      Request *r = link->data;

      next = link->next;
      if (r->kind != REQUEST_CLAIM)
        continue;
      add_decision (decisions, r, BJ_E_PLATFORM, NULL, st->backoff_ms);
      if (r->was_written)
        r->kind = REQUEST_RELEASE;
      else
        remove_request (st, link);
    }
  bj_log (BJ_LOG_WARNING,
          "CLAIM",
          "Can't read claim shard %d; refusing its claims for %.0f ms.",
          st->index,
          st->backoff_ms);
  deliver_decisions (c, decisions);
}

static void
add_decision (
    GArray *decisions, Request *r, BjStatus s, const BjClaim *existing, double retry_after_ms)
{
  Decision d = { .result = { .code = s, .retry_after_ms = retry_after_ms },
                 .sequence = r->claim.sequence };

  if (existing != NULL)
    bj_claim_copy (&d.claim, existing);
  g_array_append_val (decisions, d);
}

// The callbacks may call bj_claims functions, so no pointer into a shard state is kept here.
static void
deliver_decisions (BjClaims *c, GArray *decisions)
{
  for (guint i = 0; i < decisions->len; i++)
    {
      Decision *d = &g_array_index (decisions, Decision, i);
      gpointer data;

      if (d->claim.id.len > 0)
        d->result.claim = &d->claim;
      if (g_hash_table_lookup_extended (c->waiting, &d->sequence, NULL, &data))
        {
          g_hash_table_remove (c->waiting, &d->sequence);
          c->o.host->ops->decided (c->o.host, data, &d->result);
        }
      bj_claim_clear (&d->claim);
    }
  g_array_free (decisions, TRUE);
}

static void
remove_request (ShardState *st, GList *link)
{
  Request *r = link->data;

  free_request (r);
  g_queue_delete_link (&st->requests, link);
}

static void
free_request (Request *r)
{
  bj_claim_clear (&r->claim);
  g_free (r);
}

// The update took effect, so the requests in it are durable.
static void
complete_written (BjClaims *c, ShardState *st, GArray *decisions)
{
  GList *next;

  for (GList *link = st->requests.head; link != NULL; link = next)
    {
      Request *r = link->data;

      next = link->next;
      if (!r->is_applied)
        continue;
      r->is_applied = false;
      if (r->kind == REQUEST_CLAIM)
        {
          // The claim was abandoned; its request stays queued to be released.
          if (!g_hash_table_contains (c->waiting, &r->claim.sequence))
            continue;
          add_decision (decisions, r, BJ_OK, NULL, 0);
        }
      remove_request (st, link);
    }
}

static void
reset_applied (ShardState *st)
{
  for (GList *i = st->requests.head; i != NULL; i = i->next)
    ((Request *)i->data)->is_applied = false;
}
