// Comeback: callers that were refused and told when to come back. They are known again by method,
// host and path, and served before callers that come for the first time.

#include "kernel.h"

#define EARLY_MS 50         // before the time told, a caller still counts as back in time
#define REMEMBERED_MS 3000  // after it, a caller counts as a new one
#define REMEMBERED_MAX 8192 // refused calls remembered; the table is emptied beyond

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

  if (g_hash_table_size (k->retry_after_times) >= REMEMBERED_MAX)
    g_hash_table_remove_all (k->retry_after_times);
  g_hash_table_replace (k->retry_after_times, g_memdup2 (&key, sizeof key), g_memdup2 (&at, sizeof at));
}

bool
bj_retry_after_match (BjKernel *k, BjTime now, const BjCall *c)
{
  int64_t key = fingerprint_of (c);
  const BjTime *told = g_hash_table_lookup (k->retry_after_times, &key);
  bool in_time = told != NULL && now >= *told - EARLY_MS && now < *told + REMEMBERED_MS;

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
