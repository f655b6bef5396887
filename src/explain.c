// Explain: logs decisions about calls and keeps those of calls with an Idempotency-Key in a ring
// buffer.

#include "kernel.h"
#include <stdarg.h>
#include <stdio.h>

void
bj_kernel_log_decision (
    BjKernel *k, BjTime now, const BjCall *c, const char *prefix, const char *format, ...)
{
  BjDecision *d;
  va_list args;
  char text[512];

  if (c->request.key.len == 0 && (!bj_log_enabled (BJ_LOG_INFO) || !bj_log_allow_call_line (now)))
    return;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  bj_log (BJ_LOG_INFO,
          prefix,
          "req=%.*s call=%" G_GUINT64_FORMAT " class=%d %s",
          c->request.id.len > 0 ? (int)c->request.id.len : 1,
          c->request.id.len > 0 ? c->request.id.data : "-",
          c->id,
          c->klass,
          text);
  if (c->request.key.len == 0)
    return;
  d = &k->ring[k->ring_next++ % BJ_DECISION_RING_SIZE];
  d->at = now;
  bj_str_set (&d->key, c->request.key);
  g_free (d->text);
  d->text = g_strdup_printf ("%s: %s", prefix, text);
}

void
bj_kernel_explain (const BjKernel *k, BjStr key, GString *out)
{
  for (guint i = 0; i < BJ_DECISION_RING_SIZE; i++)
    {
      const BjDecision *d = &k->ring[(k->ring_next + i) % BJ_DECISION_RING_SIZE];

      if (d->text != NULL && bj_str_equal (d->key, key))
        g_string_append_printf (out, "%.3f %s\n", d->at, d->text);
    }
}

void
bj_explain_clear (BjKernel *k)
{
  for (guint i = 0; i < BJ_DECISION_RING_SIZE; i++)
    {
      bj_str_free (&k->ring[i].key);
      g_free (k->ring[i].text);
    }
}
