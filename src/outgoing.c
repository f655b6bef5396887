// Outgoing: calls sent to peers. When a connection fails, its calls are resent under the same ids;
// the peer matches them to the running ones, so they do not run twice, and sends what is left of
// their responses.

#include "link.h"
#include <string.h>
#include <xxhash.h>

#define SENDS_MAX 8            // of one call without a byte of its response in between
#define UNANSWERED_SENDS_MAX 3 // of one call in a row, on connections without a byte from the peer
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
  int n_unanswered_sends;
  XXH64_state_t *hash;      // of the response body so far
  uint64_t length;          // bytes of response body so far
  int64_t expected_length;  // of the response body, -1 if unknown
  uint64_t next_offset;     // in the response body, of the next DATA frame
  uint64_t drained_bytes;   // of the response body, forwarded by the sink
  uint64_t ungranted_bytes; // drained since the last WINDOW frame
  bool begun;               // the response head was received
  bool awaits_head;         // resent since then; what the peer sends begins with the head again
};

static void send_call (BjConn *c, BjOutgoing *o);
static bool withdraw_call (BjOutgoing *o);
static void fail_call (BjOutgoing *o, BjStatus s);
static bool may_resend (const BjOutgoing *o, const BjPeer *p, BjStatus s);
static void send_window (BjOutgoing *o);
static bool handle_answer (BjOutgoing *o, const BjFrame *f);
static bool is_sound (const BjAnswer *a);
static void reject_answer (BjOutgoing *o);
static int64_t get_body_length (const BjCall *c, const BjAnswer *a);
static void break_response (BjOutgoing *o);
static void reject_data (BjOutgoing *o, const char *reason);
static void handle_data (BjOutgoing *o, const BjFrame *f);
static void handle_end (BjOutgoing *o, const BjFrame *f);
static void on_drained (BjSource *s, size_t n);
static void on_cancel (BjSource *s);
static void free_outgoing (BjOutgoing *o);

static const BjSourceOps source_ops = { on_drained, on_cancel };
static BjCounter n_unsound
    = { "link_unsound_responses_total",
        "Responses of peers that were rejected: not valid HTTP, or more or less than announced.",
        0 };

void
bj_outgoing_register_metrics (void)
{
  bj_metric_register (&n_unsound);
}

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

  if (o != NULL && f->kind == BJ_FRAME_ANSWER)
    return handle_answer (o, f);
  if (o == NULL || !o->begun || o->awaits_head)
    return false;
  if (f->kind == BJ_FRAME_DATA)
    handle_data (o, f);
  else
    handle_end (o, f);
  return true;
}

void
bj_outgoing_handle_disconnect (BjConn *c, BjStatus s)
{
  BjKernel *k = c->links->daemon->kernel;
  GList *all = g_hash_table_get_values (c->outgoing);
  bool is_answered = c->peer_start != 0;

  g_hash_table_remove_all (c->outgoing);
  for (GList *i = all; i != NULL; i = i->next)
    {
      BjOutgoing *o = i->data;
      BjPeer *p = bj_kernel_find_peer (k, c->peer);

      o->conn = NULL;
      o->n_unanswered_sends = is_answered ? 0 : o->n_unanswered_sends + 1;
      if (o->queue_offset < c->n_written)
        o->expected_incarnation = o->incarnation;
      if (may_resend (o, p, s))
        send_call (bj_conn_get (c->links, p), o);
      else
        fail_call (o, s);
    }
  g_list_free (all);
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
  bj_conn_send (c, &f);
  o->awaits_head = o->begun;
  if (o->begun)
    send_window (o);
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
  if (p == NULL || o->exchange->call->state != BJ_CALL_SENT || s == BJ_E_CANCELLED)
    return false;
  if (o->n_sends >= SENDS_MAX || o->n_unanswered_sends >= UNANSWERED_SENDS_MAX)
    return false;
  if (o->expected_incarnation != 0 && o->expected_incarnation != p->report.incarnation)
    return false;
  return o->exchange->call->deadline > bj_clock_now ();
}

static bool
handle_answer (BjOutgoing *o, const BjFrame *f)
{
  if (!o->begun && !is_sound (&f->answer))
    {
      reject_answer (o);
      return true;
    }
  if (!o->begun)
    {
      o->begun = true;
      o->expected_length = get_body_length (o->exchange->call, &f->answer);
      bj_exchange_begin (o->exchange, &f->answer);
      return true;
    }
  if (!o->awaits_head)
    return false;
  o->awaits_head = false;
  o->next_offset = 0;
  // A refusal: the peer has no longer what is left.
  if (f->answer.outcome != BJ_DONE)
    break_response (o);
  return true;
}

// Interim responses end at the daemon that receives them, and frames give the length.
static bool
is_sound (const BjAnswer *a)
{
  return a->http_status >= 200 && bj_header_is_text (a->content_type)
         && bj_header_is_valid (a->headers);
}

static void
reject_answer (BjOutgoing *o)
{
  BjExchange *x = o->exchange;

  n_unsound.value++;
  bj_log (BJ_LOG_WARNING,
          "LINK",
          "Response of %.*s to call %" G_GUINT64_FORMAT " has a status, type or field that is not "
          "valid; failing the call.",
          BJ_STR_ARG (o->conn->peer),
          o->id);
  on_cancel (&o->source);
  bj_exchange_fail (x, BJ_E_LOST, BJ_UNKNOWN);
}

static int64_t
get_body_length (const BjCall *c, const BjAnswer *a)
{
  // Of a HEAD request the length says nothing about what is sent; the caller gets no body.
  if (bj_str_equal (c->request.method, BJ_STR ("HEAD")))
    return -1;
  return a->http_status == 304 ? 0 : a->length;
}

static void
break_response (BjOutgoing *o)
{
  BjExchange *x = o->exchange;

  g_hash_table_remove (o->conn->outgoing, &o->id);
  free_outgoing (o);
  bj_exchange_end (x, false);
}

// Cancels the call at the peer, which would go on sending.
static void
reject_data (BjOutgoing *o, const char *reason)
{
  BjFrame f = { .kind = BJ_FRAME_CANCEL, .id = o->id };

  n_unsound.value++;
  bj_log (BJ_LOG_WARNING,
          "LINK",
          "Response of %.*s to call %" G_GUINT64_FORMAT " broken off after %" G_GUINT64_FORMAT
          " bytes: %s.",
          BJ_STR_ARG (o->conn->peer),
          o->id,
          o->length,
          reason);
  bj_conn_send (o->conn, &f);
  break_response (o);
}

static void
handle_data (BjOutgoing *o, const BjFrame *f)
{
  BjStr part = f->data;
  uint64_t n_known;

  if (f->offset > 0)
    o->next_offset = f->offset;
  if (o->next_offset > o->length)
    {
      break_response (o);
      return;
    }
  n_known = MIN (o->length - o->next_offset, part.len);
  o->next_offset += part.len;
  part = (BjStr){ part.data + n_known, part.len - n_known };
  if (part.len == 0)
    return;
  if (o->expected_length >= 0 && part.len > (uint64_t)o->expected_length - o->length)
    {
      reject_data (o, "it is longer than announced");
      return;
    }
  if (o->length + part.len - o->drained_bytes > BJ_WINDOW_BYTES)
    {
      reject_data (o, "it exceeds the window");
      return;
    }
  o->n_sends = 1;
  XXH64_update (o->hash, part.data, part.len);
  o->length += part.len;
  bj_exchange_data (o->exchange, part);
}

static void
handle_end (BjOutgoing *o, const BjFrame *f)
{
  BjExchange *x = o->exchange;
  bool has_all = o->expected_length < 0 || o->length == (uint64_t)o->expected_length;
  bool is_complete
      = f->is_complete && has_all && f->length == o->length && f->hash == XXH64_digest (o->hash);

  g_hash_table_remove (o->conn->outgoing, &o->id);
  free_outgoing (o);
  bj_exchange_end (x, is_complete);
}

static void
on_drained (BjSource *s, size_t n)
{
  BjOutgoing *o = (BjOutgoing *)s;

  o->drained_bytes += n;
  o->ungranted_bytes += n;
  if (o->ungranted_bytes >= WINDOW_GRANT_BYTES)
    send_window (o);
}

static void
send_window (BjOutgoing *o)
{
  BjFrame f = {
    .kind = BJ_FRAME_WINDOW, .id = o->id, .length = o->ungranted_bytes, .offset = o->drained_bytes
  };

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
