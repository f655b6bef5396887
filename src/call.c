// Call: creates and frees calls, keeps their deadlines in order and sets their cohort.

#include "kernel.h"

static uint32_t cohort_of (BjKernel *k, const BjRequest *r);
static void copy_request (BjRequest *to, const BjRequest *from);
static void clear_request (BjRequest *r);

BjCall *
bj_call_new (BjKernel *k, BjTime now, const BjRequest *r, void *data)
{
  BjCall *c = g_new0 (BjCall, 1);

  c->id = ++k->next_id;
  c->state = BJ_CALL_NEW;
  c->arrived = now - r->waited_ms;
  c->retry_cost = 1;
  c->data = data;
  copy_request (&c->request, r);
  c->cohort = cohort_of (k, r);
  g_hash_table_insert (k->calls, &c->id, c);
  bj_call_set_deadline (k, c, now + BJ_DEFAULT_DEADLINE_MS);
  return c;
}

void
bj_call_end (BjKernel *k, BjCall *c)
{
  bj_parent_run_ended (k, c);
  c->state = BJ_CALL_ENDED;
  g_sequence_remove (c->deadline_iter);
  g_hash_table_remove (k->calls, &c->id);
  bj_allowance_return_to_parent (k, c);
  k->host->ops->freed (k->host, c);
  clear_request (&c->request);
  g_free (c);
}

BjCall *
bj_call_parent (BjKernel *k, const BjRequest *r)
{
  return r->parent != 0 ? g_hash_table_lookup (k->calls, &r->parent) : NULL;
}

void
bj_call_set_deadline (BjKernel *k, BjCall *c, BjTime deadline)
{
  if (c->deadline_iter != NULL)
    g_sequence_remove (c->deadline_iter);
  c->deadline = deadline;
  c->deadline_iter = g_sequence_insert_sorted (k->deadlines, c, bj_call_by_deadline, NULL);
}

void
bj_kernel_stop_irreversible (BjKernel *k)
{
  k->starts_no_irreversible = true;
}

void
bj_kernel_set_end (BjKernel *k, BjTime end)
{
  GList *all = g_hash_table_get_values (k->calls);

  k->ends_at = end;
  for (GList *i = all; i != NULL; i = i->next)
    {
      BjCall *c = i->data;

      if (c->is_front && !c->detached)
        bj_call_set_deadline (k, c, MIN (c->deadline, end));
    }
  g_list_free (all);
}

// Cohort of the action: a nested call takes that of its parent. Calls without a cohort, parent or
// Idempotency-Key get a random one.
static uint32_t
cohort_of (BjKernel *k, const BjRequest *r)
{
  const BjCall *parent = bj_call_parent (k, r);

  if (r->has_cohort)
    return r->cohort;
  if (parent != NULL)
    return parent->cohort;
  return r->key.len > 0 ? (uint32_t)bj_str_hash (r->key) : g_rand_int (k->rand);
}

gint
bj_call_by_deadline (gconstpointer a, gconstpointer b, gpointer data)
{
  const BjCall *x = a;
  const BjCall *y = b;

  (void)data;
  if (x->deadline != y->deadline)
    return x->deadline < y->deadline ? -1 : 1;
  return x->id < y->id ? -1 : x->id > y->id;
}

static void
copy_request (BjRequest *to, const BjRequest *from)
{
  *to = *from;
  to->method = bj_str_dup (from->method);
  to->path = bj_str_dup (from->path);
  to->host = bj_str_dup (from->host);
  to->id = bj_str_dup (from->id);
  to->key = bj_str_dup (from->key);
  to->content_type = bj_str_dup (from->content_type);
  to->headers = bj_str_dup (from->headers);
  to->api_key = bj_str_dup (from->api_key);
  to->account = bj_str_dup (from->account);
  to->body = bj_str_dup (from->body);
}

static void
clear_request (BjRequest *r)
{
  bj_str_free (&r->method);
  bj_str_free (&r->path);
  bj_str_free (&r->host);
  bj_str_free (&r->id);
  bj_str_free (&r->key);
  bj_str_free (&r->content_type);
  bj_str_free (&r->headers);
  bj_str_free (&r->api_key);
  bj_str_free (&r->account);
  bj_str_free (&r->body);
}
