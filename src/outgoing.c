// Outgoing: calls sent to peers. When a connection fails, a call whose response has not begun is
// resent under the same id; the peer matches it to the running call, so it does not run twice.

#include "link.h"
#include <string.h>
#include <xxhash.h>

#define SENDS_MAX 3                              // of one call, the first one included
#define WINDOW_GRANT_BYTES (BJ_WINDOW_BYTES / 4) // drained bytes after which a WINDOW frame is sent

struct BjOutgoing
{
  BjSource source; // first member, cast from BjSource*
  BjExchange *exchange;
  BjConn *conn;
  uint64_t id;
  uint64_t queue_offset;         // conn->n_queued before the CALL frame
  uint64_t incarnation;          // the peer's incarnation when the call was first sent
  uint64_t expected_incarnation; // equals incarnation once the peer may have the call, 0 before
  int n_sends;
  XXH64_state_t *hash;      // of the response body so far
  uint64_t length;          // bytes of response body so far
  uint64_t ungranted_bytes; // drained since the last WINDOW frame
  bool begun;               // the response head was received
};

static void send_call (BjConn *c, BjOutgoing *o);
static bool withdraw_call (BjOutgoing *o);
static void fail_call (BjOutgoing *o, BjStatus s);
static bool may_resend (const BjOutgoing *o, const BjPeer *p, BjStatus s);
static void handle_answer (BjOutgoing *o, const BjFrame *f);
static void handle_data (BjOutgoing *o, const BjFrame *f);
static void handle_end (BjOutgoing *o, const BjFrame *f);
static void on_drained (BjSource *s, size_t n);
static void on_cancel (BjSource *s);
static void free_outgoing (BjOutgoing *o);

static const BjSourceOps source_ops = { on_drained, on_cancel };

void
bj_outgoing_start (BjConn *c, BjExchange *x, uint64_t incarnation)
{
  BjOutgoing *o = g_new0 (BjOutgoing, 1);

  o->source.ops = &source_ops;
  o->exchange = x;
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
    handle_answer (o, f);
  else if (f->kind == BJ_FRAME_DATA)
    handle_data (o, f);
  else
    handle_end (o, f);
  return true;
}

void
bj_outgoing_handle_disconnect (
    BjLinks *l, BjStr peer, GHashTable *calls, uint64_t n_written, BjStatus s)
{
  GList *all = g_hash_table_get_values (calls);

  g_hash_table_remove_all (calls);
  for (GList *i = all; i != NULL; i = i->next)
    {
      BjOutgoing *o = i->data;
      BjPeer *p = bj_kernel_find_peer (l->daemon->kernel, peer);
      bool was_written = o->queue_offset < n_written;

      o->conn = NULL;
      if (was_written)
        o->expected_incarnation = o->incarnation;
      if (may_resend (o, p, s))
        send_call (bj_conn_get (l, p), o);
      else
        fail_call (o, s);
    }
  g_list_free (all);
}

bool
bj_outgoing_has_begun (const BjConn *c)
{
  GHashTableIter i;
  gpointer o;

  g_hash_table_iter_init (&i, c->outgoing);
  while (g_hash_table_iter_next (&i, NULL, &o))
    if (((BjOutgoing *)o)->begun)
      return true;
  return false;
}

void
bj_outgoing_move_unbegun (BjConn *c)
{
  GHashTable *unbegun = g_hash_table_new (g_int64_hash, g_int64_equal);
  GHashTableIter i;
  gpointer o;

  g_hash_table_iter_init (&i, c->outgoing);
  while (g_hash_table_iter_next (&i, NULL, &o))
    if (!((BjOutgoing *)o)->begun && !withdraw_call (o))
      ((BjOutgoing *)o)->expected_incarnation = ((BjOutgoing *)o)->incarnation;
  g_hash_table_iter_init (&i, c->outgoing);
  while (g_hash_table_iter_next (&i, NULL, &o))
    if (!((BjOutgoing *)o)->begun)
      {
        g_hash_table_insert (unbegun, &((BjOutgoing *)o)->id, o);
        g_hash_table_iter_remove (&i);
      }
  // Calls that were written are marked above; the offsets of withdrawn ones mean nothing any more.
  bj_outgoing_handle_disconnect (c->links, c->peer, unbegun, 0, BJ_E_LOST);
  g_hash_table_destroy (unbegun);
}

void
bj_outgoing_reroute (BjConn *c)
{
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter i;
  gpointer id;

  g_hash_table_iter_init (&i, c->outgoing);
  while (g_hash_table_iter_next (&i, &id, NULL))
    g_array_append_val (ids, *(uint64_t *)id);
  for (guint n = 0; n < ids->len; n++)
    {
      // Rerouting one call may end others, so each id is looked up again.
      BjOutgoing *o = g_hash_table_lookup (c->outgoing, &g_array_index (ids, uint64_t, n));

      if (o != NULL && !o->begun)
        bj_exchange_reroute (o->exchange);
    }
  g_array_free (ids, TRUE);
}

static void
send_call (BjConn *c, BjOutgoing *o)
{
  const BjCall *call = o->exchange->call;
  BjFrame f = {
    .kind = BJ_FRAME_CALL,
    .id = o->id,
    .name = call->service->name,
    .request = call->request,
    .expected_incarnation = o->expected_incarnation,
    .upstream = bj_kernel_recall_upstream (c->links->daemon->kernel, c->peer),
  };

  o->conn = c;
  o->n_sends++;
  o->queue_offset = c->n_queued;
  g_hash_table_insert (c->outgoing, &o->id, o);
  f.request.klass = call->klass;
  f.request.irreversible = call->irreversible;
  f.request.objective_ms = MAX (0, call->arrived + call->objective_ms - bj_clock_now ());
  f.request.deadline_ms = MAX (1, call->deadline - bj_clock_now () - BJ_HOP_DEADLINE_MARGIN_MS);
  f.request.attempts_left = call->attempts_delegated;
  f.request.depth = call->request.depth + 1;
  f.request.cohort = call->cohort;
  f.request.may_return = call->may_return;
  bj_conn_send (c, &f);
}

// Removes the CALL frame from the queue of a connection that stays open, so that the call is not
// sent after its caller was answered. Returns false if the peer may receive a part of the frame.
static bool
withdraw_call (BjOutgoing *o)
{
  BjConn *c = o->conn;
  uint64_t first_queued = c->n_queued - c->out.size;
  GHashTableIter i;
  gpointer other;
  char *frame;
  size_t n;

  if (o->queue_offset < c->n_written)
    return false;
  frame = c->out.data + (o->queue_offset - first_queued);
  n = bj_frame_size (frame);
  memmove (frame, frame + n, (size_t)(c->out.data + c->out.size - frame) - n);
  c->out.size -= n;
  c->n_queued -= n;
  g_hash_table_iter_init (&i, c->outgoing);
  while (g_hash_table_iter_next (&i, NULL, &other))
    if (((BjOutgoing *)other)->queue_offset > o->queue_offset)
      ((BjOutgoing *)other)->queue_offset -= n;
  return true;
}

static void
fail_call (BjOutgoing *o, BjStatus s)
{
  BjExchange *x = o->exchange;
  BjOutcome outcome = o->expected_incarnation != 0 ? BJ_UNKNOWN : BJ_NOT_RUN;
  bool begun = o->begun;

  free_outgoing (o);
  if (begun)
    bj_exchange_end (x, false);
  else
    bj_exchange_fail (x, s, outcome);
}

// A call that the peer may have received is resent only to the same incarnation, which recognizes
// its id.
static bool
may_resend (const BjOutgoing *o, const BjPeer *p, BjStatus s)
{
  if (p == NULL || o->begun || o->exchange->call->state != BJ_CALL_SENT || o->n_sends >= SENDS_MAX
      || s == BJ_E_CANCELLED)
    return false;
  if (o->expected_incarnation != 0 && o->expected_incarnation != p->report.incarnation)
    return false;
  return o->exchange->call->deadline > bj_clock_now ();
}

static void
handle_answer (BjOutgoing *o, const BjFrame *f)
{
  o->begun = true;
  bj_exchange_begin (o->exchange, &f->answer);
}

static void
handle_data (BjOutgoing *o, const BjFrame *f)
{
  XXH64_update (o->hash, f->data.data, f->data.len);
  o->length += f->data.len;
  bj_exchange_data (o->exchange, f->data);
}

static void
handle_end (BjOutgoing *o, const BjFrame *f)
{
  BjExchange *x = o->exchange;
  bool is_complete = f->is_complete && f->length == o->length && f->hash == XXH64_digest (o->hash);

  g_hash_table_remove (o->conn->outgoing, &o->id);
  free_outgoing (o);
  bj_exchange_end (x, is_complete);
}

static void
on_drained (BjSource *s, size_t n)
{
  BjOutgoing *o = (BjOutgoing *)s;
  BjFrame f = { .kind = BJ_FRAME_WINDOW, .id = o->id };

  o->ungranted_bytes += n;
  if (o->ungranted_bytes < WINDOW_GRANT_BYTES)
    return;
  f.length = o->ungranted_bytes;
  o->ungranted_bytes = 0;
  bj_conn_send (o->conn, &f);
}

static void
on_cancel (BjSource *s)
{
  BjOutgoing *o = (BjOutgoing *)s;
  BjFrame f = { .kind = BJ_FRAME_CANCEL, .id = o->id };

  if (!withdraw_call (o))
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
