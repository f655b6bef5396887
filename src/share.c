// Share: which service takes a call of a route that several share, by their weights.

#include "kernel.h"

typedef struct
{
  double *credit; // of each share, grows by its weight with every call
  int n;
} Split;

static void free_split (gpointer split);
static Split *find_split (BjKernel *k, const BjRoute *r);

void
bj_share_init (BjKernel *k)
{
  k->splits = g_hash_table_new_full (NULL, NULL, NULL, free_split);
}

void
bj_share_clear (BjKernel *k)
{
  g_hash_table_remove_all (k->splits);
}

BjStr
bj_share_pick (BjKernel *k, const BjRoute *r)
{
  Split *s = find_split (k, r);
  double total = 0;
  int best = 0;

  for (int i = 0; i < s->n; i++)
    {
      total += r->shares[i].weight;
      s->credit[i] += r->shares[i].weight;
      if (r->shares[i].weight > 0
          && (r->shares[best].weight == 0 || s->credit[i] > s->credit[best]))
        best = i;
    }
  s->credit[best] -= total;
  return r->shares[best].service;
}

static void
free_split (gpointer split)
{
  Split *s = split;

  g_free (s->credit);
  g_free (s);
}

// Each daemon begins at another point of the cycle, so that the parts hold over few calls of many.
static Split *
find_split (BjKernel *k, const BjRoute *r)
{
  Split *s = g_hash_table_lookup (k->splits, r);
  double total = 0;
  double start;

  if (s != NULL)
    return s;
  s = g_new0 (Split, 1);
  s->n = r->n_shares;
  s->credit = g_new0 (double, s->n);
  for (int i = 0; i < s->n; i++)
    total += r->shares[i].weight;
  start = g_rand_double (k->rand);
  for (int i = 0; i < s->n; i++)
    s->credit[i] = start * (total - r->shares[i].weight * s->n);
  g_hash_table_insert (k->splits, (gpointer)r, s);
  return s;
}
