// Max-min fair parts. When part of the arrivals of a class is shed, all accounts are cut to the
// same number of arrivals; accounts with fewer lose nothing.
//
// Arrivals are counted with exponential decay. At most ACCOUNTS_MAX accounts of a class are counted
// one by one. When there are more, those with the fewest arrivals are counted together, as accounts
// that have as many as the smallest of the others.
//
// What is shed by class only has to protect the accounts within their part. Of an account above
// its part, a front also sheds what guards further down refuse, so that its actions do not
// fail after part of their work.

#include "maxmin.h"
#include <math.h>

#define DECAY_MS 3000.0       // time constant of the counts
#define UPDATE_MS 100.0       // interval between two updates of the order by count
#define ACCOUNTS_MAX 512      // accounts of a class that are counted one by one
#define ABOVE_RATIO 2         // an account above the mean is above its part from the most over this
#define REFUSED_FACTOR 0.8    // on what is admitted of an account after a refusal further down
#define SERVED_FACTOR 1.02    // on it after a call that was served
#define RECOVERY_MS 3000.0    // time constant with which it returns to 1 without refusals
#define RECOVERY_WAIT_MS 2000 // after the last refusal until it does
#define ADMITTED_MIN 0.05     // lowest value, so that an account sees when there is capacity again
#define COUNT_MIN 0.05        // an account with a lower count is no longer counted

typedef struct
{
  int64_t account;   // hash of its name
  double n;          // arrivals, decayed up to the last update, later ones in full
  double n_ordered;  // n at the last update, 0 if counted only since
  double n_retries;  // those of n that are timely retries
  double admitted;   // share of the arrivals that guards further down have capacity for
  BjTime refused_at; // when one of its calls was last refused further down
} Count;

typedef struct
{
  GHashTable *counts; // account, in Count, to Count*
  double n_all;       // arrivals of all accounts
  double n_ordered;   // n_all at the last update
  GArray *ordered;    // double: the counts at the last update, highest first
  BjTime updated_at;
} Class;

struct BjMaxmin
{
  Class classes[BJ_CLASSES];
};

static double retries_first (const Count *count, bool is_retry, double share);
static bool is_above_part (const Class *c, const Count *count);
static void update (Class *c, BjTime now);
static void remove_smallest (Class *c);
static double cut_for (const Class *c, double admitted);
static double smallest_of (const Class *c);
static gint by_count (gconstpointer a, gconstpointer b);

BjMaxmin *
bj_maxmin_new (void)
{
  BjMaxmin *m = g_new0 (BjMaxmin, 1);

  for (int i = 0; i < BJ_CLASSES; i++)
    {
      m->classes[i].counts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
      m->classes[i].ordered = g_array_new (FALSE, FALSE, sizeof (double));
    }
  return m;
}

void
bj_maxmin_free (BjMaxmin *m)
{
  for (int i = 0; i < BJ_CLASSES; i++)
    {
      g_hash_table_destroy (m->classes[i].counts);
      g_array_free (m->classes[i].ordered, TRUE);
    }
  g_free (m);
}

void
bj_maxmin_count (BjMaxmin *m, BjTime now, int klass, uint64_t account, bool is_retry)
{
  Class *c = &m->classes[klass];
  int64_t key = (int64_t)account;
  Count *count;

  if (now - c->updated_at >= UPDATE_MS)
    update (c, now);
  count = g_hash_table_lookup (c->counts, &key);
  c->n_all++;
  if (count == NULL)
    {
      // Twice the accounts between two updates, so that a new account is counted one by one at
      // first.
      if (g_hash_table_size (c->counts) >= 2 * ACCOUNTS_MAX)
        return;
      count = g_new0 (Count, 1);
      count->account = key;
      count->admitted = 1;
      g_hash_table_insert (c->counts, &count->account, count);
    }
  count->n++;
  count->n_retries += is_retry;
}

double
bj_maxmin_admitted_share (
    BjMaxmin *m, BjTime now, int klass, uint64_t account, bool is_retry, double shed_share)
{
  Class *c = &m->classes[klass];
  int64_t key = (int64_t)account;
  const Count *count;
  double share = 1;
  double n;

  if (now - c->updated_at >= UPDATE_MS)
    update (c, now);
  count = g_hash_table_lookup (c->counts, &key);
  if (shed_share > 0 && c->ordered->len == 0)
    share = 1 - shed_share;
  else if (shed_share > 0)
    {
      n = smallest_of (c);
      if (count != NULL)
        n = count->n_ordered > 0 ? count->n_ordered : count->n;
      share = MIN (1, cut_for (c, (1 - shed_share) * c->n_ordered) / n);
    }
  return count != NULL ? retries_first (count, is_retry, MIN (share, count->admitted)) : share;
}

bool
bj_maxmin_is_above (const BjMaxmin *m, int klass, uint64_t account)
{
  const Class *c = &m->classes[klass];
  int64_t key = (int64_t)account;
  const Count *count = g_hash_table_lookup (c->counts, &key);

  return count != NULL && is_above_part (c, count);
}

void
bj_maxmin_result (BjMaxmin *m, BjTime now, int klass, uint64_t account, bool refused)
{
  Class *c = &m->classes[klass];
  int64_t key = (int64_t)account;
  Count *count = g_hash_table_lookup (c->counts, &key);

  if (count == NULL)
    return;
  if (!refused)
    count->admitted = MIN (1, count->admitted * SERVED_FACTOR);
  else if (is_above_part (c, count))
    {
      count->admitted = MAX (ADMITTED_MIN, count->admitted * REFUSED_FACTOR);
      count->refused_at = now;
    }
}

int
bj_maxmin_accounts (const BjMaxmin *m)
{
  int n = 0;

  for (int i = 0; i < BJ_CLASSES; i++)
    n += (int)g_hash_table_size (m->classes[i].counts);
  return n;
}

// Divides the arrivals to admit, this share of all, between timely retries, which go first, and
// others. If retries were admitted in addition, callers that retry once would not be shed at all.
static double
retries_first (const Count *count, bool is_retry, double share)
{
  double retries = count->n_retries / count->n;

  if (is_retry)
    return retries > share ? share / retries : 1;
  return retries < 1 ? MAX (0, (share - retries) / (1 - retries)) : share;
}

static bool
is_above_part (const Class *c, const Count *count)
{
  return c->ordered->len > 1 && count->n_ordered * c->ordered->len > c->n_ordered
         && count->n_ordered * ABOVE_RATIO >= g_array_index (c->ordered, double, 0);
}

static void
update (Class *c, BjTime now)
{
  double recovery = 1 - exp ((c->updated_at - now) / RECOVERY_MS);
  double factor = exp ((c->updated_at - now) / DECAY_MS);
  GHashTableIter i;
  gpointer value;

  c->n_all *= factor;
  c->n_ordered = c->n_all;
  c->updated_at = now;
  g_array_set_size (c->ordered, 0);
  g_hash_table_iter_init (&i, c->counts);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      Count *count = value;

      count->n *= factor;
      count->n_retries *= factor;
      if (now - count->refused_at > RECOVERY_WAIT_MS)
        count->admitted += (1 - count->admitted) * recovery;
      count->n_ordered = count->n;
      if (count->n < COUNT_MIN)
        g_hash_table_iter_remove (&i);
      else
        g_array_append_val (c->ordered, count->n);
    }
  g_array_sort (c->ordered, by_count);
  if (c->ordered->len > ACCOUNTS_MAX)
    remove_smallest (c);
}

static void
remove_smallest (Class *c)
{
  double least = g_array_index (c->ordered, double, ACCOUNTS_MAX - 1);
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, c->counts);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (((Count *)value)->n < least)
      g_hash_table_iter_remove (&i);
  g_array_set_size (c->ordered, ACCOUNTS_MAX);
}

// The number of arrivals to which accounts are cut so that all together keep this many. The highest
// counts are cut if the rest below them can be kept whole.
static double
cut_for (const Class *c, double admitted)
{
  double rest = c->n_ordered; // arrivals of the accounts that are not cut
  double smallest = smallest_of (c);
  double cut;

  for (guint n = 0; n < c->ordered->len; n++)
    {
      rest -= g_array_index (c->ordered, double, n);
      cut = (admitted - rest) / (n + 1);
      if (cut >= (n + 1 < c->ordered->len ? g_array_index (c->ordered, double, n + 1) : smallest))
        return cut;
    }
  return admitted / (c->ordered->len + MAX (0, rest) / smallest);
}

// Arrivals of the smallest account that is counted on its own.
static double
smallest_of (const Class *c)
{
  return g_array_index (c->ordered, double, c->ordered->len - 1);
}

static gint
by_count (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x > y ? -1 : x < y;
}
