// Claims: makes irreversible work run at most once. Before the first byte goes to an upstream, a
// claim that names the action, the claimant's incarnation and its attempt is durable in a shard of
// the platform's store. Requests of one shard are gathered while a store call is under way and go
// out as one conditional update. Does no I/O: replies of the store come in, store calls go out.

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
  BjTime due;       // goes out by then, or with the next claim
  bool is_applied;  // part of the write under way
  bool was_written; // part of a write that may have taken effect
} Request;

typedef struct
{
  int index;
  StoreState state;
  BjTime since; // of the store call under way
  BjTime down_until;
  double backoff_ms;
  GQueue requests; // Request*, in the order they are applied
  BjShard *table;  // as last read or written, plus what the write under way adds
  BjStr version;   // owned
  bool is_known;   // table is that version
  bool is_fresh;   // read for the requests that wait now
} Lane;

struct BjClaims
{
  BjClaimsOptions o;
  Lane *lanes;
  GHashTable *waiting; // sequence to data of askers
  uint64_t next_sequence;
};

typedef struct
{
  BjClaimResult result;
  uint64_t sequence;
  BjClaim claim; // owned, what result.claim points to
} Decision;

static Lane *lane_of (BjClaims *c, BjStr id);
static void add (Lane *l, BjTime due, RequestKind kind, const BjClaim *claim);
static bool is_due (const Lane *l, BjTime now);
static void pump (BjClaims *c, BjTime now, Lane *l);
static bool apply_all (BjClaims *c, Lane *l, GArray *decisions, bool *must_read);
static bool apply_claim (Lane *l, Request *r, GArray *decisions, bool *must_read);
static bool is_same_attempt (const BjClaim *a, const BjClaim *b);
static bool apply_record (Lane *l, Request *r);
static bool apply_release (Lane *l, Request *r);
static void release_written (Lane *l, Request *r);
static void start_read (BjClaims *c, BjTime now, Lane *l);
static void start_write (BjClaims *c, BjTime now, Lane *l);
static void fail (BjClaims *c, BjTime now, Lane *l);
static void decide (GArray *decisions, Request *r, BjStatus s, const BjClaim *other, double ms);
static void tell (BjClaims *c, GArray *decisions);
static void remove_request (Lane *l, GList *link);
static void free_request (Request *r);
static void settle_written (BjClaims *c, Lane *l, GArray *decisions);
static void forget_applied (Lane *l);

static BjCounter n_asked = { "claims_total", "Claims asked for.", 0 };
static BjCounter n_writes = { "claim_writes_total", "Conditional updates of claim shards.", 0 };
static BjCounter n_reads = { "claim_reads_total", "Reads of claim shards.", 0 };
static BjCounter n_conflicts = { "claim_conflicts_total", "Updates that lost their race.", 0 };
static BjCounter n_ambiguous
    = { "claim_unanswered_writes_total", "Updates read back because no answer came.", 0 };
static BjCounter n_forgotten
    = { "claims_forgotten_total", "Claims refused at or below the low watermark.", 0 };

BjClaims *
bj_claims_new (const BjClaimsOptions *o)
{
  BjClaims *c = g_new0 (BjClaims, 1);

  c->o = *o;
  c->o.claimant = bj_str_dup (o->claimant);
  c->next_sequence = o->first_sequence;
  c->waiting = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  c->lanes = g_new0 (Lane, o->shards);
  for (int i = 0; i < o->shards; i++)
    {
      c->lanes[i].index = i;
      c->lanes[i].table = bj_shard_new (o->claims_max, o->body_bytes_max);
      g_queue_init (&c->lanes[i].requests);
    }
  bj_metric_register (&n_asked);
  bj_metric_register (&n_writes);
  bj_metric_register (&n_reads);
  bj_metric_register (&n_conflicts);
  bj_metric_register (&n_ambiguous);
  bj_metric_register (&n_forgotten);
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

      while ((r = g_queue_pop_head (&c->lanes[i].requests)) != NULL)
        free_request (r);
      bj_shard_free (c->lanes[i].table);
      bj_str_free (&c->lanes[i].version);
    }
  g_free (c->lanes);
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
bj_claims_ask (BjClaims *c, BjTime now, const BjClaim *claim, void *data)
{
  Lane *l = lane_of (c, claim->id);
  BjClaimResult refusal = { .code = BJ_E_PLATFORM };
  bool is_slow = l->state != STORE_IDLE && now - l->since > BJ_CLAIM_PATIENCE_MS;
  BjClaim mine = *claim;

  n_asked.value++;
  if (now < l->down_until || is_slow || l->requests.length >= BJ_CLAIM_PENDING_MAX)
    {
      refusal.retry_after_ms = MAX (BJ_CLAIM_BACKOFF_MS, l->down_until - now);
      c->o.host->ops->decided (c->o.host, data, &refusal);
      return;
    }
  mine.claimant = c->o.claimant;
  mine.state = BJ_CLAIM_HELD;
  g_hash_table_insert (c->waiting, g_memdup2 (&claim->sequence, sizeof claim->sequence), data);
  add (l, now, REQUEST_CLAIM, &mine);
  pump (c, now, l);
}

void
bj_claims_drop (BjClaims *c, uint64_t sequence)
{
  g_hash_table_remove (c->waiting, &sequence);
}

void
bj_claims_release (BjClaims *c, BjTime now, const BjClaim *claim)
{
  Lane *l = lane_of (c, claim->id);
  BjClaim mine = *claim;

  mine.claimant = c->o.claimant;
  add (l, now + BJ_CLAIM_RECORD_MS, REQUEST_RELEASE, &mine);
  pump (c, now, l);
}

void
bj_claims_record (BjClaims *c, BjTime now, const BjClaim *claim)
{
  Lane *l = lane_of (c, claim->id);
  BjClaim mine = *claim;

  mine.claimant = c->o.claimant;
  add (l, now + BJ_CLAIM_RECORD_MS, REQUEST_RECORD, &mine);
  pump (c, now, l);
}

void
bj_claims_got (BjClaims *c, BjTime now, int shard, const BjPlatformReply *r)
{
  Lane *l = &c->lanes[shard];
  BjStatus s = r->code;

  l->state = STORE_IDLE;
  if (s == BJ_OK || s == BJ_E_NOT_FOUND)
    s = bj_shard_parse (l->table, r->spec);
  if (s != BJ_OK)
    {
      fail (c, now, l);
      return;
    }
  l->backoff_ms = 0;
  l->is_known = true;
  l->is_fresh = true;
  bj_str_set (&l->version, r->version);
  pump (c, now, l);
  l->is_fresh = false;
}

void
bj_claims_put (BjClaims *c, BjTime now, int shard, const BjPlatformReply *r)
{
  Lane *l = &c->lanes[shard];
  GArray *decisions = g_array_new (FALSE, TRUE, sizeof (Decision));

  l->state = STORE_IDLE;
  if (r->code == BJ_OK)
    {
      l->backoff_ms = 0;
      l->is_fresh = true; // the condition held, so nobody else wrote
      bj_str_set (&l->version, r->version);
      settle_written (c, l, decisions);
    }
  else
    {
      // Whether the update took effect shows in the object itself.
      forget_applied (l);
      l->is_known = false;
      if (r->code == BJ_E_PLATFORM)
        n_ambiguous.value++;
      else
        n_conflicts.value++;
    }
  pump (c, now, l);
  l->is_fresh = false;
  tell (c, decisions);
}

void
bj_claims_tick (BjClaims *c, BjTime now)
{
  for (int i = 0; i < c->o.shards; i++)
    pump (c, now, &c->lanes[i]);
}

int
bj_claims_unwritten (const BjClaims *c)
{
  int n = 0;

  for (int i = 0; i < c->o.shards; i++)
    n += (int)c->lanes[i].requests.length;
  return n;
}

static Lane *
lane_of (BjClaims *c, BjStr id)
{
  return &c->lanes[bj_str_hash (id) % (uint64_t)c->o.shards];
}

static void
add (Lane *l, BjTime due, RequestKind kind, const BjClaim *claim)
{
  Request *r = g_new0 (Request, 1);

  r->kind = kind;
  r->due = due;
  bj_claim_copy (&r->claim, claim);
  g_queue_push_tail (&l->requests, r);
}

static bool
is_due (const Lane *l, BjTime now)
{
  for (const GList *i = l->requests.head; i != NULL; i = i->next)
    if (((const Request *)i->data)->due <= now)
      return true;
  return false;
}

static void
pump (BjClaims *c, BjTime now, Lane *l)
{
  GArray *decisions;
  bool must_read = false;
  bool must_write;

  if (l->state != STORE_IDLE || now < l->down_until || !is_due (l, now))
    return;
  if (!l->is_known)
    {
      start_read (c, now, l);
      return;
    }
  decisions = g_array_new (FALSE, TRUE, sizeof (Decision));
  must_write = apply_all (c, l, decisions, &must_read);
  if (must_write)
    start_write (c, now, l);
  else if (must_read)
    start_read (c, now, l);
  l->is_fresh = false;
  tell (c, decisions);
}

// Applies the requests to the table, in order. Those that need no write are decided.
static bool
apply_all (BjClaims *c, Lane *l, GArray *decisions, bool *must_read)
{
  bool must_write = false;
  GList *next;

  for (GList *link = l->requests.head; link != NULL; link = next)
    {
      Request *r = link->data;

      next = link->next;
      if (r->kind == REQUEST_CLAIM && !g_hash_table_contains (c->waiting, &r->claim.sequence))
        {
          if (!r->was_written)
            {
              remove_request (l, link);
              continue;
            }
          r->kind = REQUEST_RELEASE;
        }
      if (r->kind == REQUEST_RELEASE)
        r->is_applied = apply_release (l, r);
      else if (r->kind == REQUEST_RECORD)
        r->is_applied = apply_record (l, r);
      else if (!apply_claim (l, r, decisions, must_read))
        continue; // it waits for a read
      if (r->is_applied)
        must_write = true;
      else
        remove_request (l, link);
    }
  return must_write;
}

// False when it can't be told without reading afresh.
static bool
apply_claim (Lane *l, Request *r, GArray *decisions, bool *must_read)
{
  const BjClaim *other = bj_shard_find (l->table, r->claim.id);
  bool is_mine = other != NULL && is_same_attempt (other, &r->claim);

  if (other == NULL && !bj_shard_has_forgotten (l->table, r->claim.order))
    {
      bj_shard_insert (l->table, &r->claim);
      r->is_applied = true;
      return true;
    }
  if (is_mine)
    {
      decide (decisions, r, BJ_OK, NULL, 0);
      return true;
    }
  if (other != NULL && other->fingerprint != r->claim.fingerprint)
    {
      decide (decisions, r, BJ_E_KEY, NULL, 0);
      release_written (l, r);
      return true;
    }
  if (other != NULL && other->state == BJ_CLAIM_HELD && !l->is_fresh)
    {
      *must_read = true;
      return false;
    }
  n_forgotten.value += other == NULL;
  decide (decisions, r, BJ_E_DUPLICATE, other, 0);
  release_written (l, r);
  return true;
}

static bool
is_same_attempt (const BjClaim *a, const BjClaim *b)
{
  return a->sequence == b->sequence && bj_str_equal (a->claimant, b->claimant);
}

// Written though the claim is not in the table: only a write shows that the table is no copy that
// lags behind.
static bool
apply_record (Lane *l, Request *r)
{
  const BjClaim *c = bj_shard_find (l->table, r->claim.id);

  if (c != NULL && is_same_attempt (c, &r->claim))
    return bj_shard_record (l->table, &r->claim);
  return true;
}

// Always written: an update that carried the claim and got no answer may still be on its way, and
// only a newer version of the object makes its condition fail.
static bool
apply_release (Lane *l, Request *r)
{
  bj_shard_remove (l->table, &r->claim);
  return true;
}

// The table may have been read from a copy that lags behind, so a refused claim that was written
// before may be in the store all the same.
static void
release_written (Lane *l, Request *r)
{
  if (!r->was_written)
    return;
  r->kind = REQUEST_RELEASE;
  r->is_applied = apply_release (l, r);
}

static void
start_read (BjClaims *c, BjTime now, Lane *l)
{
  l->state = STORE_READING;
  l->since = now;
  n_reads.value++;
  c->o.host->ops->get (c->o.host, l->index);
}

static void
start_write (BjClaims *c, BjTime now, Lane *l)
{
  struct json_object *spec = bj_shard_print (l->table);

  for (GList *i = l->requests.head; i != NULL; i = i->next)
    if (((Request *)i->data)->is_applied)
      ((Request *)i->data)->was_written = true;
  l->state = STORE_WRITING;
  l->since = now;
  n_writes.value++;
  c->o.host->ops->put (c->o.host, l->index, l->version, spec);
  json_object_put (spec);
}

// The store can't be read: refuses every claim that waits. One that may be in the store all the
// same is released later.
static void
fail (BjClaims *c, BjTime now, Lane *l)
{
  GArray *decisions = g_array_new (FALSE, TRUE, sizeof (Decision));
  GList *next;

  l->is_known = false;
  l->backoff_ms = CLAMP (l->backoff_ms * 2, BJ_CLAIM_BACKOFF_MS, BJ_CLAIM_BACKOFF_MAX_MS);
  l->down_until = now + l->backoff_ms;
  for (GList *link = l->requests.head; link != NULL; link = next)
    {
      Request *r = link->data;

      next = link->next;
      if (r->kind != REQUEST_CLAIM)
        continue;
      decide (decisions, r, BJ_E_PLATFORM, NULL, l->backoff_ms);
      if (r->was_written)
        r->kind = REQUEST_RELEASE;
      else
        remove_request (l, link);
    }
  bj_log (BJ_LOG_WARNING,
          "CLAIM",
          "Shard %d can't be read, claims are refused for %.0f ms.",
          l->index,
          l->backoff_ms);
  tell (c, decisions);
}

static void
decide (GArray *decisions, Request *r, BjStatus s, const BjClaim *other, double ms)
{
  Decision d = { .result = { .code = s, .retry_after_ms = ms }, .sequence = r->claim.sequence };

  if (other != NULL)
    bj_claim_copy (&d.claim, other);
  g_array_append_val (decisions, d);
}

// Askers may call back into the claims, so nothing of a lane is held here.
static void
tell (BjClaims *c, GArray *decisions)
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
remove_request (Lane *l, GList *link)
{
  Request *r = link->data;

  free_request (r);
  g_queue_delete_link (&l->requests, link);
}

static void
free_request (Request *r)
{
  bj_claim_clear (&r->claim);
  g_free (r);
}

// The update took effect: what it carried is durable.
static void
settle_written (BjClaims *c, Lane *l, GArray *decisions)
{
  GList *next;

  for (GList *link = l->requests.head; link != NULL; link = next)
    {
      Request *r = link->data;

      next = link->next;
      if (!r->is_applied)
        continue;
      r->is_applied = false;
      if (r->kind == REQUEST_CLAIM)
        {
          // An asker that is gone leaves the request behind, to be released.
          if (!g_hash_table_contains (c->waiting, &r->claim.sequence))
            continue;
          decide (decisions, r, BJ_OK, NULL, 0);
        }
      remove_request (l, link);
    }
}

static void
forget_applied (Lane *l)
{
  for (GList *i = l->requests.head; i != NULL; i = i->next)
    ((Request *)i->data)->is_applied = false;
}
