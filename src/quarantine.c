// Quarantine: requests that ran on an upstream when it died. The first crash makes each of them a
// suspect; a suspect runs on one upstream of its service at a time, never beside another suspect,
// and an answer releases it. A second crash while it runs puts it into quarantine for a time.

#include "kernel.h"

#define CRASH_WINDOW_MS 100 // calls lost within it belong to one crash

typedef struct
{
  uint64_t fingerprint;
  BjSuspicion state;
  BjTime until;
  uint64_t crash; // that made it a suspect, 0 when a peer told
} Entry;

struct BjQuarantine
{
  GHashTable *entries; // fingerprint to Entry
  GArray *notices;     // BjNotice, to be told to peers
  uint64_t crash;      // number of the last one
  BjTime crash_at;
  bool is_explained; // a suspect ran when it happened
  uint64_t running;  // fingerprint of the suspect that runs here, 0 for none
};

static Entry *find (BjQuarantine *q, BjTime now, uint64_t fingerprint);
static void set (BjQuarantine *q, BjTime now, BjNotice n, uint64_t crash);
static void forget_soonest (BjQuarantine *q);
static void release_bystanders (BjQuarantine *q);
static gboolean is_bystander (gpointer key, gpointer entry, gpointer quarantine);

static BjCounter n_crashes = { "upstream_crashes_total", "Crashes of the own upstream.", 0 };
static BjCounter n_suspects = { "suspects_total", "Requests made suspects by a crash.", 0 };
static BjCounter n_quarantined
    = { "quarantined_total", "Requests put into quarantine by a second crash.", 0 };
static BjCounter n_released = { "suspects_released_total", "Suspects that ran to an answer.", 0 };

BjQuarantine *
bj_quarantine_new (void)
{
  BjQuarantine *q = g_new0 (BjQuarantine, 1);

  q->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  q->notices = g_array_new (FALSE, FALSE, sizeof (BjNotice));
  q->crash_at = -BJ_TIME_NEVER;
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
  const Entry *e = find (q, now, fingerprint);

  return e != NULL ? e->state : BJ_CLEAR;
}

BjStatus
bj_quarantine_start (BjQuarantine *q, BjTime now, uint64_t fingerprint)
{
  const Entry *e = find (q, now, fingerprint);

  if (e == NULL)
    return BJ_OK;
  if (e->state == BJ_QUARANTINED)
    return BJ_E_QUARANTINED;
  if (q->running != 0)
    return BJ_E_OVERLOAD;
  q->running = fingerprint;
  return BJ_OK;
}

void
bj_quarantine_ended (BjQuarantine *q, BjTime now, uint64_t fingerprint, bool has_answer)
{
  BjNotice clear = { .fingerprint = fingerprint };
  const Entry *e = find (q, now, fingerprint);

  if (q->running == fingerprint)
    q->running = 0;
  if (!has_answer || e == NULL || e->state != BJ_SUSPECT)
    return;
  n_released.value++;
  g_hash_table_remove (q->entries, &fingerprint);
  g_array_append_val (q->notices, clear);
}

BjSuspicion
bj_quarantine_crashed (BjQuarantine *q, BjTime now, uint64_t fingerprint, BjTime started)
{
  BjNotice n = { fingerprint, BJ_SUSPECT, BJ_SUSPECT_LIFETIME_MS };
  const Entry *e = find (q, now, fingerprint);

  // A run that began since belongs to an upstream that was started again.
  if (now - q->crash_at > CRASH_WINDOW_MS || started > q->crash_at)
    {
      q->crash++;
      q->crash_at = now;
      q->is_explained = false;
      n_crashes.value++;
    }
  if (e != NULL && e->crash != q->crash)
    {
      q->is_explained = true;
      n_quarantined.value++;
      release_bystanders (q);
      n.state = BJ_QUARANTINED;
      n.lifetime_ms = BJ_QUARANTINE_LIFETIME_MS;
    }
  else if (q->is_explained || e != NULL)
    return e != NULL ? e->state : BJ_CLEAR;
  else
    n_suspects.value++;
  set (q, now, n, q->crash);
  g_array_append_val (q->notices, n);
  return n.state;
}

void
bj_quarantine_merge (BjQuarantine *q, BjTime now, const BjNotice *n)
{
  const Entry *e = find (q, now, n->fingerprint);
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
  set (q, now, copy, 0);
}

void
bj_quarantine_take (BjQuarantine *q, GArray *notices)
{
  if (q->notices->len > 0)
    g_array_append_vals (notices, q->notices->data, q->notices->len);
  g_array_set_size (q->notices, 0);
}

void
bj_quarantine_list (BjQuarantine *q, BjTime now, GArray *notices)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, q->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const Entry *e = value;
      BjNotice n = { e->fingerprint, e->state, e->until - now };

      if (e->until > now)
        g_array_append_val (notices, n);
    }
}

// The one daemon of the service that may run a suspect: highest random weight over those known.
BjPeer *
bj_quarantine_home (const BjService *s, uint64_t fingerprint)
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
find (BjQuarantine *q, BjTime now, uint64_t fingerprint)
{
  Entry *e = g_hash_table_lookup (q->entries, &fingerprint);

  if (e == NULL || e->until > now)
    return e;
  g_hash_table_remove (q->entries, &fingerprint);
  return NULL;
}

static void
set (BjQuarantine *q, BjTime now, BjNotice n, uint64_t crash)
{
  Entry *e = g_new0 (Entry, 1);

  while (g_hash_table_size (q->entries) >= BJ_SUSPECTS_MAX)
    forget_soonest (q);
  e->fingerprint = n.fingerprint;
  e->state = n.state;
  e->until = now + n.lifetime_ms;
  e->crash = crash;
  g_hash_table_replace (q->entries, &e->fingerprint, e);
  bj_log (BJ_LOG_WARNING,
          "CALL",
          "Request %016" G_GINT64_MODIFIER "x is %s for %.0f s.",
          n.fingerprint,
          n.state == BJ_QUARANTINED ? "in quarantine" : "a suspect",
          n.lifetime_ms / 1000);
}

static void
forget_soonest (BjQuarantine *q)
{
  GHashTableIter i;
  gpointer value;
  const Entry *soonest = NULL;

  g_hash_table_iter_init (&i, q->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (soonest == NULL || ((const Entry *)value)->until < soonest->until)
      soonest = value;
  g_hash_table_remove (q->entries, &soonest->fingerprint);
}

static void
release_bystanders (BjQuarantine *q)
{
  g_hash_table_foreach_remove (q->entries, is_bystander, q);
}

// A new suspect of a crash that an older suspect explains.
static gboolean
is_bystander (gpointer key, gpointer entry, gpointer quarantine)
{
  BjQuarantine *q = quarantine;
  const Entry *e = entry;
  BjNotice clear = { .fingerprint = e->fingerprint };

  (void)key;
  if (e->state != BJ_SUSPECT || e->crash != q->crash)
    return FALSE;
  g_array_append_val (q->notices, clear);
  return TRUE;
}
