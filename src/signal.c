// Signal: what upstreams say of themselves in their responses. The guard beside an upstream acts on
// it. Fronts remember it by peer and send it along with their calls: a daemon that was restarted
// beside its upstream has lost it, and the first response may take long.

#include "instance.h"
#include "internal.h"
#include "kernel.h"

#define REMEMBER_MS 900000.0   // what a peer's upstream said is forgotten after this
#define LOG_INTERVAL_MS 1000.0 // between two log lines on a rate that changes, or can't be read

// What the upstream of a peer last said.
typedef struct
{
  BjStr peer; // owned
  BjUpstreamState state;
  BjTime at;
} PeerUpstream;

static void free_peer_upstream (gpointer entry);
static gboolean is_expired (gpointer peer, gpointer entry, gpointer now);
static void log_state (BjKernel *k, BjTime now, const BjUpstreamState *s);

static BjCounter n_unreadable
    = { "upstream_unreadable_signals_total",
        "Responses of the own upstream that name a rate or its leaving in an unreadable form.",
        0 };

static BjCounter n_invalid_loads
    = { "upstream_invalid_loads_total", "Load reports of the own upstream that can't be read.", 0 };

void
bj_signal_init (BjKernel *k)
{
  bj_metric_register (&n_unreadable);
  bj_metric_register (&n_invalid_loads);
  k->peer_upstreams
      = g_hash_table_new_full (bj_str_key_hash, bj_str_key_equal, NULL, free_peer_upstream);
}

void
bj_signal_clear (BjKernel *k)
{
  g_hash_table_destroy (k->peer_upstreams);
}

void
bj_kernel_remember_upstream (BjKernel *k, BjTime now, BjStr peer, const BjUpstreamState *s)
{
  PeerUpstream *t = g_hash_table_lookup (k->peer_upstreams, &peer);
  BjUpstreamState next = *s;

  // A daemon that has just started may not know its upstream yet.
  if (s->start == 0)
    return;
  if (t != NULL && t->state.start == s->start)
    next.is_leaving = next.is_leaving || t->state.is_leaving;
  if (!next.has_rate && !next.is_leaving)
    {
      g_hash_table_remove (k->peer_upstreams, &peer);
      return;
    }
  if (t == NULL)
    {
      g_hash_table_foreach_remove (k->peer_upstreams, is_expired, &now);
      t = g_new0 (PeerUpstream, 1);
      t->peer = bj_str_dup (peer);
      g_hash_table_insert (k->peer_upstreams, &t->peer, t);
    }
  t->state = next;
  t->at = now;
}

bool
bj_signal_read (const BjSignalNames *names, BjStr name, BjStr value, BjUpstreamState *s)
{
  bool is_rate = bj_header_name_equal (name, names->rate);
  double n;

  if (!is_rate && !bj_header_name_equal (name, names->leaving))
    return false;
  if (!bj_str_decimal (value, &n) || (is_rate ? s->has_rate || n > BJ_RATE_MAX : n != 0 && n != 1))
    s->is_unreadable = true;
  else if (is_rate)
    {
      s->has_rate = true;
      s->rate = n;
    }
  else
    s->is_leaving = s->is_leaving || n == 1;
  return true;
}

void
bj_kernel_upstream_started (BjKernel *k, BjTime now, uint64_t start)
{
  BjGuard *g = &k->guard;

  if (g->upstream.start == start)
    return;
  g->upstream = (BjUpstreamState){ .start = start };
  g->upstream_since = now;
  g->upstream_has_spoken = false;
  k->self->upstream_load = (BjUpstreamLoad){ 0 };
  bj_rate_clear (&g->rate);
}

void
bj_kernel_upstream_leaves (BjKernel *k, BjTime now)
{
  if (k->guard.upstream.is_leaving)
    return;
  k->guard.upstream.is_leaving = true;
  bj_log (BJ_LOG_INFO,
          "UPSTREAM",
          "leaving; in_flight=%d queued=%d, new calls are refused until it starts again",
          k->guard.in_flight,
          bj_guard_backlog (k, now));
  bj_kernel_drain (k, now, BJ_DRAIN_UPSTREAM, true);
}

void
bj_kernel_learn_upstream (BjKernel *k, BjTime now, const BjUpstreamState *s)
{
  BjGuard *g = &k->guard;

  if (s->start == 0 || s->start != g->upstream.start)
    return;
  if (s->is_leaving)
    bj_kernel_upstream_leaves (k, now);
  if (!s->has_rate || g->upstream_has_spoken || g->rate.is_set)
    return;
  log_state (k, now, s);
  g->upstream.has_rate = true;
  g->upstream.rate = s->rate;
  bj_guard_set_rate (k, now, s);
}

BjUpstreamState
bj_kernel_recall_upstream (BjKernel *k, BjStr peer)
{
  const PeerUpstream *t = g_hash_table_lookup (k->peer_upstreams, &peer);

  return t != NULL ? t->state : (BjUpstreamState){ 0 };
}

void
bj_kernel_upstream_spoke (BjKernel *k, BjTime now, const BjCall *c, const BjUpstreamState *s)
{
  BjGuard *g = &k->guard;

  // The upstream that ran c has been replaced.
  if (!bj_kernel_ran_since_start (k, c))
    return;
  log_state (k, now, s);
  n_unreadable.value += s->is_unreadable;
  if (s->is_leaving)
    bj_kernel_upstream_leaves (k, now);
  if (s->is_unreadable)
    return;
  g->upstream_has_spoken = true;
  g->upstream.has_rate = s->has_rate;
  g->upstream.rate = s->rate;
  bj_guard_set_rate (k, now, s);
}

void
bj_kernel_upstream_reported (BjKernel *k, BjTime now, const BjCall *c, const BjUpstreamLoad *l)
{
  // The upstream that ran c has been replaced.
  if (!bj_kernel_ran_since_start (k, c))
    return;
  if (!l->is_unreadable)
    {
      bj_instance_update (k->self, now, l);
      return;
    }
  n_invalid_loads.value++;
  if (now < k->guard.load_logged_at + LOG_INTERVAL_MS)
    return;
  k->guard.load_logged_at = now;
  bj_log (BJ_LOG_WARNING, "UPSTREAM", "reported its load in an unreadable form; it is ignored");
}

bool
bj_kernel_ran_since_start (const BjKernel *k, const BjCall *c)
{
  return c->started >= k->guard.upstream_since;
}

BjUpstreamLoad
bj_kernel_upstream_load (const BjKernel *k, BjTime now)
{
  BjUpstreamLoad l = k->self->upstream_load;

  if (l.is_known)
    l.age_ms = MAX (0, now - k->self->upstream_load_at);
  return l;
}

const BjUpstreamState *
bj_kernel_upstream (const BjKernel *k)
{
  return &k->guard.upstream;
}

static void
free_peer_upstream (gpointer entry)
{
  bj_str_free (&((PeerUpstream *)entry)->peer);
  g_free (entry);
}

static gboolean
is_expired (gpointer peer, gpointer entry, gpointer now)
{
  (void)peer;
  return *(BjTime *)now - ((PeerUpstream *)entry)->at >= REMEMBER_MS;
}

static void
log_state (BjKernel *k, BjTime now, const BjUpstreamState *s)
{
  BjGuard *g = &k->guard;
  bool has_changed = s->has_rate != g->upstream.has_rate || s->rate != g->upstream.rate;

  if ((!s->is_unreadable && !has_changed) || now < g->signal_logged_at + LOG_INTERVAL_MS)
    return;
  g->signal_logged_at = now;
  if (s->is_unreadable)
    bj_log (BJ_LOG_WARNING,
            "UPSTREAM",
            "named a rate or its leaving in an unreadable form; nothing changes");
  else if (s->has_rate)
    bj_log (BJ_LOG_INFO,
            "UPSTREAM",
            "rate=%g calls a second named; in_flight=%d queued=%d, calls are paced to it",
            s->rate,
            g->in_flight,
            bj_guard_backlog (k, now));
  else
    bj_log (BJ_LOG_INFO, "UPSTREAM", "rate=none; the rate of calls rises");
}
