// Retry-after: remembers refused calls and when they may be retried. A retry is recognised by
// method, host and path, and is admitted before first attempts if it comes at its time.

#include "kernel.h"

#define RETRY_EARLY_MS 50      // a retry may come this long before its retry-after time
#define RETRY_LATE_MS 3000     // a retry this long after its time counts as a first attempt
#define REFUSED_CALLS_MAX 8192 // most refused calls remembered; the table is cleared when full

static int64_t fingerprint_of (const BjCall *c);

void
bj_retry_after_init (BjKernel *k)
{
  k->retry_after_times = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
bj_retry_after_clear (BjKernel *k)
{
  g_hash_table_destroy (k->retry_after_times);
}

void
bj_retry_after_record (BjKernel *k, BjTime at, const BjCall *c)
{
  int64_t key = fingerprint_of (c);

  if (g_hash_table_size (k->retry_after_times) >= REFUSED_CALLS_MAX)
    g_hash_table_remove_all (k->retry_after_times);
  g_hash_table_replace (
      k->retry_after_times, g_memdup2 (&key, sizeof key), g_memdup2 (&at, sizeof at));
}

bool
bj_retry_after_match (BjKernel *k, BjTime now, const BjCall *c)
{
  int64_t key = fingerprint_of (c);
  const BjTime *retry_at = g_hash_table_lookup (k->retry_after_times, &key);
  bool in_time
      = retry_at != NULL && now >= *retry_at - RETRY_EARLY_MS && now < *retry_at + RETRY_LATE_MS;

  if (in_time)
    g_hash_table_remove (k->retry_after_times, &key);
  return in_time;
}

static int64_t
fingerprint_of (const BjCall *c)
{
  uint64_t parts[] = { bj_str_hash (c->request.method),
                       bj_str_hash (c->request.host),
                       bj_str_hash (c->request.path) };

  return (int64_t)bj_str_hash ((BjStr){ (const char *)parts, sizeof parts });
}
