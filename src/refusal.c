// Refusal: ids of the requests that the own upstream has refused. A faulty upstream may send a
// refusal once more when the same request is sent again and runs. On a connection without an
// earlier request there is no such copy, so a request that was refused gets a new one.

#include "refusal.h"

#define REFUSED_MAX 4096 // ids; the oldest are forgotten first
#define REFUSED_MS 60000 // until an id is forgotten, above any usual deadline

typedef struct
{
  uint64_t id;
  BjTime expires_at;
} Refused;

struct BjRefusals
{
  GHashTable *ids; // uint64_t, in the entries of order
  GQueue order;    // Refused*, oldest first
};

static void forget_oldest (BjRefusals *r);

BjRefusals *
bj_refusals_new (void)
{
  BjRefusals *r = g_new0 (BjRefusals, 1);

  r->ids = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&r->order);
  return r;
}

void
bj_refusals_free (BjRefusals *r)
{
  while (!g_queue_is_empty (&r->order))
    forget_oldest (r);
  g_hash_table_destroy (r->ids);
  g_free (r);
}

void
bj_refusals_add (BjRefusals *r, BjTime now, BjStr id)
{
  uint64_t hash = bj_str_hash (id);
  Refused *e;

  if (id.len == 0 || bj_refusals_has (r, now, id))
    return;
  if (g_queue_get_length (&r->order) >= REFUSED_MAX)
    forget_oldest (r);
  e = g_new (Refused, 1);
  *e = (Refused){ hash, now + REFUSED_MS };
  g_hash_table_add (r->ids, &e->id);
  g_queue_push_tail (&r->order, e);
}

bool
bj_refusals_has (BjRefusals *r, BjTime now, BjStr id)
{
  uint64_t hash = bj_str_hash (id);

  while (!g_queue_is_empty (&r->order)
         && ((Refused *)g_queue_peek_head (&r->order))->expires_at <= now)
    forget_oldest (r);
  return g_hash_table_contains (r->ids, &hash);
}

static void
forget_oldest (BjRefusals *r)
{
  Refused *e = g_queue_pop_head (&r->order);

  g_hash_table_remove (r->ids, &e->id);
  g_free (e);
}
