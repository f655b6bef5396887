// Splits the calls of a route over several services by weight (smooth weighted round-robin).

#include "kernel.h"

typedef struct
{
  double *credit; // per share: grows by its weight with every call; the highest is picked
  int n;
} ShareState;

static void free_share_state (gpointer state);
static ShareState *get_share_state (BjKernel *k, const BjRoute *r);

void
bj_share_init (BjKernel *k)
{
  k->share_states = g_hash_table_new_full (NULL, NULL, NULL, free_share_state);
}

void
bj_share_clear (BjKernel *k)
{
  g_hash_table_remove_all (k->share_states);
}

BjStr
bj_share_pick (BjKernel *k, const BjRoute *r)
{
  ShareState *s = get_share_state (k, r);
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
free_share_state (gpointer state)
{
  ShareState *s = state;

  g_free (s->credit);
  g_free (s);
}

// Starts at a random point of the cycle: with many daemons and few calls on each, the weights would
// not hold if all began with the same service.
static ShareState *
get_share_state (BjKernel *k, const BjRoute *r)
{
  ShareState *s = g_hash_table_lookup (k->share_states, r);
  double total = 0;
  double phase;

  if (s != NULL)
    return s;
  s = g_new0 (ShareState, 1);
  s->n = r->n_shares;
  s->credit = g_new0 (double, s->n);
  for (int i = 0; i < s->n; i++)
    total += r->shares[i].weight;
  phase = g_rand_double (k->rand);
  for (int i = 0; i < s->n; i++)
    s->credit[i] = phase * (total - r->shares[i].weight * s->n);
  g_hash_table_insert (k->share_states, (gpointer)r, s);
  return s;
}
