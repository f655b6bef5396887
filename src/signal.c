// Signal: what upstreams say of themselves in their responses. The guard beside an upstream acts on
// it.

#include "internal.h"
#include "kernel.h"

#define RATE_MAX 1e9           // calls a second; a larger rate is treated as unreadable
#define LOG_INTERVAL_MS 1000.0 // between two log lines on a rate that changes, or can't be read

static void log_state (BjKernel *k, BjTime now, const BjUpstreamState *s);

static BjCounter n_unreadable
    = { "upstream_unreadable_signals_total",
        "Responses of the own upstream that name a rate or its leaving in an unreadable form.",
        0 };

void
bj_signal_init (void)
{
  bj_metric_register (&n_unreadable);
}

bool
bj_signal_read (const BjSignalNames *names, BjStr name, BjStr value, BjUpstreamState *s)
{
  bool is_rate = bj_header_name_equal (name, names->rate);
  double n;

  if (!is_rate && !bj_header_name_equal (name, names->leaving))
    return false;
  if (!bj_str_decimal (value, &n) || (is_rate ? s->has_rate || n > RATE_MAX : n != 0 && n != 1))
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
bj_kernel_upstream_spoke (BjKernel *k, BjTime now, const BjCall *c, const BjUpstreamState *s)
{
  BjGuard *g = &k->guard;

  // The upstream that ran c has been replaced.
  if (c->started < g->upstream_since)
    return;
  log_state (k, now, s);
  n_unreadable.value += s->is_unreadable;
  if (s->is_unreadable)
    return;
  g->upstream.has_rate = s->has_rate;
  g->upstream.rate = s->rate;
  bj_guard_set_rate (k, now, s);
  if (s->is_leaving)
    bj_kernel_upstream_leaves (k, now);
}

const BjUpstreamState *
bj_kernel_upstream (const BjKernel *k)
{
  return &k->guard.upstream;
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
