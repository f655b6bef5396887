// Quarantine of requests that crash upstreams. Every request that runs on an upstream when it
// crashes becomes a suspect. A suspect runs on one upstream of its service at a time and never
// together with another suspect; a response clears it. If an upstream crashes again while the
// suspect runs, the request is quarantined for a limited time.

#include "kernel.h"

#define CRASH_WINDOW_MS 100 // calls lost within this time belong to the same crash

typedef struct
{
  uint64_t fingerprint;
  BjSuspicion state;
  BjTime expires_at;
  uint64_t crash_number; // number of the crash that made it a suspect, 0 if reported by a peer
} Entry;

struct BjQuarantine
{
  GHashTable *entries;      // fingerprint to Entry
  GArray *notices;          // BjNotice, changes to announce to peers
  uint64_t crash_number;    // number of the last crash, counted from 1
  BjTime last_crash_at;     // start of the last crash
  bool is_attributed;       // an earlier suspect ran when the last crash happened
  uint64_t running_suspect; // fingerprint of the suspect on the own upstream, 0 for none
};

static Entry *find_entry (BjQuarantine *q, BjTime now, uint64_t fingerprint);
static void set_entry (BjQuarantine *q, BjTime now, BjNotice n, uint64_t crash_number);
static void evict_soonest_expiring (BjQuarantine *q);
static void clear_new_suspects (BjQuarantine *q);
static gboolean is_new_suspect (gpointer key, gpointer entry, gpointer quarantine);

static BjCounter n_crashes = { "upstream_crashes_total", "Crashes of the own upstream.", 0 };
static BjCounter n_suspects = {
  "suspects_total", "Requests suspected because they ran on an upstream when it crashed.", 0
};
static BjCounter n_quarantined = {
  "quarantined_total", "Requests quarantined because an upstream crashed again while they ran.", 0
};
static BjCounter n_released
    = { "suspects_released_total", "Suspected requests cleared by a response.", 0 };

BjQuarantine *
bj_quarantine_new (void)
{
  BjQuarantine *q = g_new0 (BjQuarantine, 1);

  q->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  q->notices = g_array_new (FALSE, FALSE, sizeof (BjNotice));
  q->last_crash_at = -BJ_TIME_NEVER;
  bj_metric_register (&n_crashes);
  bj_metric_register (&n_suspects);
  bj_metric_register (&n_quarantined);
  bj_metric_register (&n_released);
  return q;
}

void
bj_quarantine_free (BjQuarantine *q)
{
  g_hash_table_destroy (q->entries);
  g_array_free (q->notices, TRUE);
  g_free (q);
}

uint64_t
bj_quarantine_fingerprint (BjStr service, const BjRequest *r)
{
  bool has_key = r->key.len > 0;
  uint64_t parts[] = {
    bj_str_hash (service),
    has_key ? bj_str_hash (r->key) : bj_str_hash (r->method),
    has_key ? 0 : bj_str_hash (r->path),
    has_key ? 0 : bj_str_hash (r->body),
  };

  return bj_str_hash ((BjStr){ (const char *)parts, sizeof parts });
}

BjSuspicion
bj_quarantine_state (BjQuarantine *q, BjTime now, uint64_t fingerprint)
{
  const Entry *e = find_entry (q, now, fingerprint);

  return e != NULL ? e->state : BJ_CLEAR;
}

BjStatus
bj_quarantine_start_run (BjQuarantine *q, BjTime now, uint64_t fingerprint)
{
  const Entry *e = find_entry (q, now, fingerprint);

  if (e == NULL)
    return BJ_OK;
  if (e->state == BJ_QUARANTINED)
    return BJ_E_QUARANTINED;
  if (q->running_suspect != 0)
    return BJ_E_OVERLOAD;
  q->running_suspect = fingerprint;
  return BJ_OK;
}

void
bj_quarantine_end_run (BjQuarantine *q, BjTime now, uint64_t fingerprint, bool has_answer)
{
  BjNotice clear = { .fingerprint = fingerprint };
  const Entry *e = find_entry (q, now, fingerprint);

  if (q->running_suspect == fingerprint)
    q->running_suspect = 0;
  if (!has_answer || e == NULL || e->state != BJ_SUSPECT)
    return;
  n_released.value++;
  g_hash_table_remove (q->entries, &fingerprint);
  g_array_append_val (q->notices, clear);
}

BjSuspicion
bj_quarantine_record_crash (BjQuarantine *q, BjTime now, uint64_t fingerprint, BjTime started)
{
  BjNotice n = { fingerprint, BJ_SUSPECT, BJ_SUSPECT_LIFETIME_MS };
  const Entry *e = find_entry (q, now, fingerprint);

  // A run that started after the last crash belongs to a restarted upstream, so this is a new
  // crash.
  if (now - q->last_crash_at > CRASH_WINDOW_MS || started > q->last_crash_at)
    {
      q->crash_number++;
      q->last_crash_at = now;
      q->is_attributed = false;
      n_crashes.value++;
    }
  if (e != NULL && e->crash_number != q->crash_number)
    {
      q->is_attributed = true;
      n_quarantined.value++;
      clear_new_suspects (q);
      n.state = BJ_QUARANTINED;
      n.lifetime_ms = BJ_QUARANTINE_LIFETIME_MS;
    }
  else if (q->is_attributed || e != NULL)
    return e != NULL ? e->state : BJ_CLEAR;
  else
    n_suspects.value++;
  set_entry (q, now, n, q->crash_number);
  g_array_append_val (q->notices, n);
  return n.state;
}

void
bj_quarantine_merge (BjQuarantine *q, BjTime now, const BjNotice *n)
{
  const Entry *e = find_entry (q, now, n->fingerprint);
  BjNotice copy = *n;

  if (e != NULL && e->state == BJ_QUARANTINED)
    return;
  if (n->state == BJ_CLEAR)
    {
      g_hash_table_remove (q->entries, &n->fingerprint);
      return;
    }
  if (e != NULL && e->state == n->state)
    return;
  copy.lifetime_ms = MIN (copy.lifetime_ms, BJ_QUARANTINE_LIFETIME_MS);
  set_entry (q, now, copy, 0);
}

void
bj_quarantine_take_notices (BjQuarantine *q, GArray *notices)
{
  if (q->notices->len > 0)
    g_array_append_vals (notices, q->notices->data, q->notices->len);
  g_array_set_size (q->notices, 0);
}

void
bj_quarantine_list_notices (BjQuarantine *q, BjTime now, GArray *notices)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, q->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const Entry *e = value;
      BjNotice n = { e->fingerprint, e->state, e->expires_at - now };

      if (e->expires_at > now)
        g_array_append_val (notices, n);
    }
}

// Returns the only daemon of the service that may run a suspect, by highest-random-weight hashing
// over the known daemons that are not draining; NULL if there is none.
BjPeer *
bj_quarantine_assigned_peer (const BjService *s, uint64_t fingerprint)
{
  BjPeer *best = NULL;
  uint64_t best_weight = 0;

  for (guint i = 0; i < s->peers->len; i++)
    {
      BjPeer *p = s->peers->pdata[i];
      uint64_t parts[] = { fingerprint, bj_str_hash (p->report.name) };
      uint64_t weight = bj_str_hash ((BjStr){ (const char *)parts, sizeof parts });

      if (p->report.draining || (best != NULL && weight <= best_weight))
        continue;
      best = p;
      best_weight = weight;
    }
  return best;
}

static Entry *
find_entry (BjQuarantine *q, BjTime now, uint64_t fingerprint)
{
  Entry *e = g_hash_table_lookup (q->entries, &fingerprint);

  if (e == NULL || e->expires_at > now)
    return e;
  g_hash_table_remove (q->entries, &fingerprint);
  return NULL;
}

static void
set_entry (BjQuarantine *q, BjTime now, BjNotice n, uint64_t crash_number)
{
  Entry *e = g_new0 (Entry, 1);

  while (g_hash_table_size (q->entries) >= BJ_QUARANTINE_ENTRIES_MAX)
    evict_soonest_expiring (q);
  e->fingerprint = n.fingerprint;
  e->state = n.state;
  e->expires_at = now + n.lifetime_ms;
  e->crash_number = crash_number;
  g_hash_table_replace (q->entries, &e->fingerprint, e);
  bj_log (BJ_LOG_WARNING,
          "CALL",
          "Request %016" G_GINT64_MODIFIER "x is %s for %.0f s after an upstream crash.",
          n.fingerprint,
          n.state == BJ_QUARANTINED ? "quarantined" : "suspected",
          n.lifetime_ms / 1000);
}

static void
evict_soonest_expiring (BjQuarantine *q)
{
  GHashTableIter i;
  gpointer value;
  const Entry *soonest = NULL;

  g_hash_table_iter_init (&i, q->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (soonest == NULL || ((const Entry *)value)->expires_at < soonest->expires_at)
      soonest = value;
  g_hash_table_remove (q->entries, &soonest->fingerprint);
}

static void
clear_new_suspects (BjQuarantine *q)
{
  g_hash_table_foreach_remove (q->entries, is_new_suspect, q);
}

// True for a request that only the last crash made a suspect. If an earlier suspect ran during that
// crash, the crash is attributed to it and such requests are cleared.
static gboolean
is_new_suspect (gpointer key, gpointer entry, gpointer quarantine)
{
  BjQuarantine *q = quarantine;
  const Entry *e = entry;
  BjNotice clear = { .fingerprint = e->fingerprint };

  (void)key;
  if (e->state != BJ_SUSPECT || e->crash_number != q->crash_number)
    return FALSE;
  g_array_append_val (q->notices, clear);
  return TRUE;
}
