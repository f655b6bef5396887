// Outgoing: calls sent to peers. When a connection fails, a call whose answer has not begun is sent
// again under the same id; the peer finds the running call, so that nothing runs twice.

#include "link.h"
#include <xxhash.h>

#define SENDS_MAX 3                       // connections one call may be sent on
#define WINDOW_STEP (BJ_WINDOW_BYTES / 4) // bytes drained before a grant is sent

struct BjOutgoing
{
  BjSource source; // first
  BjExchange *x;
  BjConn *conn;
  uint64_t id;
  uint64_t first_byte;  // of its CALL frame in what the connection queued
  uint64_t incarnation; // of the peer, as reported when the call was sent first
  uint64_t expected;    // the same once the peer may have got the call, 0 before
  int n_sends;
  XXH64_state_t *hash;
  uint64_t length;
  uint64_t not_granted; // drained since the last grant
  bool begun;
};

static void send_call (BjConn *c, BjOutgoing *o);
static void lose (BjOutgoing *o, BjStatus s);
static bool may_send_again (const BjOutgoing *o, const BjPeer *p, BjStatus s);
static void begin (BjOutgoing *o, const BjFrame *f);
static void data (BjOutgoing *o, const BjFrame *f);
static void end (BjOutgoing *o, const BjFrame *f);
static void on_drained (BjSource *s, size_t n);
static void on_cancel (BjSource *s);
static void free_outgoing (BjOutgoing *o);

static const BjSourceOps source_ops = { on_drained, on_cancel };

void
bj_outgoing_start (BjConn *c, BjExchange *x, uint64_t incarnation)
{
  BjOutgoing *o = g_new0 (BjOutgoing, 1);

  o->source.ops = &source_ops;
  o->x = x;
  o->id = x->call->id;
  o->incarnation = incarnation;
  o->hash = XXH64_createState ();
  XXH64_reset (o->hash, 0);
  x->source = &o->source;
  send_call (c, o);
}

bool
bj_outgoing_handle (BjConn *c, const BjFrame *f)
{
  BjOutgoing *o = g_hash_table_lookup (c->outgoing, &f->id);

  if (o == NULL || o->begun == (f->kind == BJ_FRAME_ANSWER))
    return false;
  if (f->kind == BJ_FRAME_ANSWER)
    begin (o, f);
  else if (f->kind == BJ_FRAME_DATA)
    data (o, f);
  else
    end (o, f);
  return true;
}

void
bj_outgoing_lost (BjLinks *l, BjStr peer, GHashTable *calls, uint64_t n_written, BjStatus s)
{
  GList *all = g_hash_table_get_values (calls);

  g_hash_table_remove_all (calls);
  for (GList *i = all; i != NULL; i = i->next)
    {
      BjOutgoing *o = i->data;
      BjPeer *p = bj_kernel_find_peer (l->daemon->kernel, peer);
      bool was_written = o->first_byte < n_written;

      o->conn = NULL;
      if (was_written)
        o->expected = o->incarnation;
      if (may_send_again (o, p, s))
        send_call (bj_conn_to (l, p), o);
      else
        lose (o, s);
    }
  g_list_free (all);
}

bool
bj_outgoing_waits (const BjConn *c)
{
  return g_hash_table_size (c->outgoing) > 0;
}

void
bj_outgoing_move (BjConn *c)
{
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter i;
  gpointer id;

  g_hash_table_iter_init (&i, c->outgoing);
  while (g_hash_table_iter_next (&i, &id, NULL))
    g_array_append_val (ids, *(uint64_t *)id);
  for (guint n = 0; n < ids->len; n++)
    {
      // Moving one call may end others.
      BjOutgoing *o = g_hash_table_lookup (c->outgoing, &g_array_index (ids, uint64_t, n));

      if (o != NULL && !o->begun)
        bj_exchange_move (o->x);
    }
  g_array_free (ids, TRUE);
}

static void
send_call (BjConn *c, BjOutgoing *o)
{
  const BjCall *call = o->x->call;
  BjFrame f = {
    .kind = BJ_FRAME_CALL,
    .id = o->id,
    .name = call->service->name,
    .request = call->request,
    .expected = o->expected,
  };

  o->conn = c;
  o->n_sends++;
  o->first_byte = c->n_queued;
  g_hash_table_insert (c->outgoing, &o->id, o);
  f.request.klass = call->klass;
  f.request.irreversible = call->irreversible;
  f.request.objective_ms = MAX (0, call->arrived + call->objective_ms - bj_clock_now ());
  f.request.deadline_ms = MAX (1, call->deadline - bj_clock_now () - BJ_HOP_MS);
  f.request.attempts_left = call->attempts_handed;
  f.request.depth = call->request.depth + 1;
  f.request.cohort = call->cohort;
  bj_conn_send (c, &f);
}

static void
lose (BjOutgoing *o, BjStatus s)
{
  BjExchange *x = o->x;
  BjOutcome outcome = o->expected != 0 ? BJ_UNKNOWN : BJ_NOT_RUN;
  bool begun = o->begun;

  free_outgoing (o);
  if (begun)
    bj_exchange_end (x, false);
  else
    bj_exchange_lost (x, s, outcome);
}

// A call that a peer may have got goes only to the same incarnation again, which remembers it.
static bool
may_send_again (const BjOutgoing *o, const BjPeer *p, BjStatus s)
{
  if (p == NULL || o->begun || o->x->call->state != BJ_CALL_SENT || o->n_sends >= SENDS_MAX
      || s == BJ_E_CANCELLED)
    return false;
  if (o->expected != 0 && o->expected != p->report.incarnation)
    return false;
  return o->x->call->deadline > bj_clock_now ();
}

static void
begin (BjOutgoing *o, const BjFrame *f)
{
  o->begun = true;
  bj_exchange_begin (o->x, &f->answer);
}

static void
data (BjOutgoing *o, const BjFrame *f)
{
  XXH64_update (o->hash, f->data.data, f->data.len);
  o->length += f->data.len;
  bj_exchange_data (o->x, f->data);
}

static void
end (BjOutgoing *o, const BjFrame *f)
{
  BjExchange *x = o->x;
  bool whole = f->whole && f->length == o->length && f->hash == XXH64_digest (o->hash);

  g_hash_table_remove (o->conn->outgoing, &o->id);
  free_outgoing (o);
  bj_exchange_end (x, whole);
}

static void
on_drained (BjSource *s, size_t n)
{
  BjOutgoing *o = (BjOutgoing *)s;
  BjFrame f = { .kind = BJ_FRAME_WINDOW, .id = o->id };

  o->not_granted += n;
  if (o->not_granted < WINDOW_STEP)
    return;
  f.length = o->not_granted;
  o->not_granted = 0;
  bj_conn_send (o->conn, &f);
}

static void
on_cancel (BjSource *s)
{
  BjOutgoing *o = (BjOutgoing *)s;
  BjFrame f = { .kind = BJ_FRAME_CANCEL, .id = o->id };

  bj_conn_send (o->conn, &f);
  g_hash_table_remove (o->conn->outgoing, &o->id);
  free_outgoing (o);
}

static void
free_outgoing (BjOutgoing *o)
{
  XXH64_freeState (o->hash);
  g_free (o);
}
