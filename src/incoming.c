// Incoming: calls received from peers. Open and completed calls are kept per start of their sender,
// so that a call resent on a new connection is matched to the first one and does not run twice. The
// part of a response that the sender has not acknowledged is kept, to send it again there.

#include "link.h"
#include <xxhash.h>

#define ORPHAN_TIMEOUT_MS 3000   // a call without a connection is cancelled after this long
#define COMPLETED_CALLS_MAX 1024 // kept per sender
#define SMALL_BYTES 4096     // completed responses up to this size are kept as long as their call
#define LARGE_EXPIRY_MS 3000 // from the end of a larger response until it is no longer kept
#define KEPT_BYTES_MAX (16 * 1024 * 1024) // of all responses that are kept, without the small ones
#define SENDER_EXPIRY_MS 900000 // from the last call until a sender is removed; above any deadline

typedef struct
{
  BjStr name;
  GHashTable *open;        // call id to IncomingCall
  GHashTable *completed;   // call id to CompletedCall
  GQueue order;            // CompletedCall*, oldest first
  uint64_t max_evicted_id; // highest id evicted from completed; ids up to it may have completed
  BjTime last_call_at;
} Sender;

typedef struct
{
  uint64_t id;
  GBytes *frames;    // of the response, NULL if it is not kept
  GList large;       // in BjIncoming.large if frames has more than SMALL_BYTES
  BjTime expires_at; // then
} CompletedCall;

typedef struct
{
  BjSink sink;          // first member, cast from BjSink*
  BjExchange *exchange; // NULL when the call has ended
  BjIncoming *in;
  Sender *sender;
  BjConn *conn;       // NULL while orphaned
  BjTime orphaned_at; // when the connection closed
  uint64_t id;
  XXH64_state_t *hash; // of the response body so far
  uint64_t length;     // bytes of response body so far
  uint64_t acked;      // bytes of it that the sender has forwarded
  GString *head;       // encoded ANSWER frame, NULL before the response begins
  GString *body;       // response body from acked on, NULL if it is not kept
} IncomingCall;

struct BjIncoming
{
  BjDaemon *daemon;
  GHashTable *senders; // "start name" to Sender
  GQueue large;        // CompletedCall* with large frames, oldest first
  size_t n_kept;       // bytes of IncomingCall.body and of the frames in large
};

static Sender *find_sender (BjConn *c);
static void free_sender (BjIncoming *in, Sender *s);
static bool handle_resent_call (BjConn *c, Sender *s, const BjFrame *f);
static void start_call (BjConn *c, Sender *s, const BjFrame *f);
static void send_refusal (BjConn *c, uint64_t id, BjStatus code, BjOutcome o);
static bool is_valid_request (const BjRequest *r);
static void attach_conn (BjConn *c, IncomingCall *r);
static bool may_send_again (const IncomingCall *r);
static void encode_kept (const IncomingCall *r, msgpack_sbuffer *out);
static void keep_body (IncomingCall *r, BjStr part);
static void drop_body (IncomingCall *r, size_t n);
static void record_completed (IncomingCall *r, const BjFrame *end);
static void keep_large (BjIncoming *in, CompletedCall *e);
static void drop_large (BjIncoming *in, CompletedCall *e);
static void evict_oldest_completed (BjIncoming *in, Sender *s);
static void abandon_call (IncomingCall *r);
static void on_begin (BjSink *s, const BjAnswer *a);
static size_t on_room (BjSink *s);
static void on_data (BjSink *s, BjStr part);
static void on_end (BjSink *s, bool is_complete);
static void free_call (IncomingCall *r);
static bool is_expired (const Sender *s, BjTime now);

static const BjSinkOps sink_ops = { on_begin, on_room, on_data, on_end };
static BjCounter n_deduplicated
    = { "link_resent_calls_found_total",
        "Calls resent by a peer that matched a running or completed call.",
        0 };
static BjCounter n_invalid = { "link_unsound_calls_total",
                               "Calls from peers refused because a field is not valid HTTP.",
                               0 };

BjIncoming *
bj_incoming_new (BjDaemon *d)
{
  BjIncoming *in = g_new0 (BjIncoming, 1);

  bj_metric_register (&n_deduplicated);
  bj_metric_register (&n_invalid);
  in->daemon = d;
  in->senders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return in;
}

void
bj_incoming_free (BjIncoming *in)
{
  GHashTableIter i;
  gpointer s;

  g_hash_table_iter_init (&i, in->senders);
  while (g_hash_table_iter_next (&i, NULL, &s))
    free_sender (in, s);
  g_hash_table_destroy (in->senders);
  g_free (in);
}

void
bj_incoming_handle_call (BjConn *c, const BjFrame *f)
{
  Sender *s = find_sender (c);

  s->last_call_at = bj_clock_now ();
  if (f->expected_incarnation != 0 && f->expected_incarnation != c->links->daemon->incarnation)
    send_refusal (c, f->id, BJ_E_LOST, BJ_UNKNOWN);
  else if (!is_valid_request (&f->request))
    {
      n_invalid.value++;
      send_refusal (c, f->id, BJ_E_FORMAT, BJ_NOT_RUN);
    }
  else if (!handle_resent_call (c, s, f))
    start_call (c, s, f);
}

void
bj_incoming_handle_cancel (BjConn *c, const BjFrame *f)
{
  IncomingCall *r = g_hash_table_lookup (c->incoming, &f->id);

  if (r != NULL)
    abandon_call (r);
}

void
bj_incoming_handle_window (BjConn *c, const BjFrame *f)
{
  IncomingCall *r = g_hash_table_lookup (c->incoming, &f->id);

  uint64_t acked;
  uint64_t n;

  if (r == NULL)
    return;
  // Frames may have been lost with an earlier connection, so the sum counts where it is known.
  acked = MIN (f->offset > 0 ? f->offset : r->acked + f->length, r->length);
  n = acked > r->acked ? acked - r->acked : 0;
  r->acked += n;
  drop_body (r, n);
  if (r->exchange != NULL)
    bj_exchange_drained (r->exchange, n);
}

bool
bj_incoming_has_unkept (const BjConn *c)
{
  GHashTableIter i;
  gpointer r;

  g_hash_table_iter_init (&i, c->incoming);
  while (g_hash_table_iter_next (&i, NULL, &r))
    if (!may_send_again (r))
      return true;
  return false;
}

void
bj_incoming_handle_disconnect (BjIncoming *in, GHashTable *calls)
{
  GList *all = g_hash_table_get_values (calls);

  (void)in;
  g_hash_table_remove_all (calls);
  for (GList *i = all; i != NULL; i = i->next)
    {
      IncomingCall *r = i->data;

      r->conn = NULL;
      r->orphaned_at = bj_clock_now ();
      // Frames sent so far may be lost, and there is no copy to send again.
      if (!may_send_again (r))
        abandon_call (r);
    }
  g_list_free (all);
}

void
bj_incoming_tick (BjIncoming *in, BjTime now)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, in->senders);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      GList *open = g_hash_table_get_values (((Sender *)value)->open);

      for (GList *l = open; l != NULL; l = l->next)
        {
          IncomingCall *r = l->data;

          if (r->conn == NULL && (now - r->orphaned_at >= ORPHAN_TIMEOUT_MS || !may_send_again (r)))
            abandon_call (r);
        }
      g_list_free (open);
      if (is_expired (value, now))
        {
          free_sender (in, value);
          g_hash_table_iter_remove (&i);
        }
    }
  while (in->large.head != NULL && ((CompletedCall *)in->large.head->data)->expires_at <= now)
    drop_large (in, in->large.head->data);
}

static Sender *
find_sender (BjConn *c)
{
  GHashTable *all = c->links->incoming->senders;
  char *key = g_strdup_printf ("%" G_GUINT64_FORMAT " %.*s", c->peer_start, BJ_STR_ARG (c->peer));
  Sender *s = g_hash_table_lookup (all, key);

  if (s != NULL)
    {
      g_free (key);
      return s;
    }
  s = g_new0 (Sender, 1);
  s->name = bj_str_dup (c->peer);
  s->open = g_hash_table_new (g_int64_hash, g_int64_equal);
  s->completed = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&s->order);
  g_hash_table_insert (all, key, s);
  return s;
}

static void
free_sender (BjIncoming *in, Sender *s)
{
  GList *open = g_hash_table_get_values (s->open);

  for (GList *l = open; l != NULL; l = l->next)
    abandon_call (l->data);
  g_list_free (open);
  while (!g_queue_is_empty (&s->order))
    evict_oldest_completed (in, s);
  g_hash_table_destroy (s->open);
  g_hash_table_destroy (s->completed);
  bj_str_free (&s->name);
  g_free (s);
}

// Handles a call that was received before: attaches it to the new connection, sends its response
// again, or refuses it when its outcome is unknown. Returns false for a new call.
static bool
handle_resent_call (BjConn *c, Sender *s, const BjFrame *f)
{
  IncomingCall *r = g_hash_table_lookup (s->open, &f->id);
  CompletedCall *ended = g_hash_table_lookup (s->completed, &f->id);
  const char *data;
  gsize n;

  if (r != NULL)
    {
      n_deduplicated.value++;
      bj_log (BJ_LOG_INFO,
              "LINK",
              "Call %" G_GUINT64_FORMAT " of %.*s was resent while it runs; using the new "
              "connection. begun=%d kept=%zd body=%" G_GUINT64_FORMAT,
              f->id,
              BJ_STR_ARG (s->name),
              r->head != NULL,
              r->body != NULL ? (ssize_t)r->body->len : -1,
              r->length);
      attach_conn (c, r);
      return true;
    }
  if (ended != NULL && ended->frames != NULL)
    {
      n_deduplicated.value++;
      data = g_bytes_get_data (ended->frames, &n);
      bj_conn_send_bytes (c, data, n);
      return true;
    }
  if (ended == NULL && (f->expected_incarnation == 0 || f->id > s->max_evicted_id))
    return false;
  send_refusal (c, f->id, BJ_E_LOST, BJ_UNKNOWN);
  return true;
}

static void
start_call (BjConn *c, Sender *s, const BjFrame *f)
{
  IncomingCall *r = g_new0 (IncomingCall, 1);
  BjRequest request = f->request;
  BjDaemon *d = c->links->daemon;
  const BjPeer *from = bj_kernel_find_peer (d->kernel, s->name);
  BjExchange *x;
  uint64_t id = f->id;

  request.is_spilled = from != NULL && !bj_str_equal (from->report.domain, d->settings.domain);
  request.is_cross_region = from != NULL && !bj_str_equal (from->report.region, d->settings.region);
  r->sink.ops = &sink_ops;
  r->in = c->links->incoming;
  r->sender = s;
  r->conn = c;
  r->id = f->id;
  r->body = g_string_new (NULL);
  r->hash = XXH64_createState ();
  XXH64_reset (r->hash, 0);
  g_hash_table_insert (s->open, &r->id, r);
  g_hash_table_insert (c->incoming, &r->id, r);
  bj_kernel_learn_upstream (d->kernel, bj_clock_now (), &f->upstream);
  x = bj_daemon_handle_peer_call (d, &request, f->name, &r->sink);
  // A call that is answered immediately has already freed r.
  if (x != NULL && g_hash_table_lookup (s->open, &id) == r)
    r->exchange = x;
}

static void
send_refusal (BjConn *c, uint64_t id, BjStatus code, BjOutcome o)
{
  BjAnswer a = { .code = code, .outcome = o, .http_status = 502, .attempts_left = -1, .length = 0 };
  BjFrame answer = { .kind = BJ_FRAME_ANSWER, .id = id, .answer = a };
  BjFrame end = { .kind = BJ_FRAME_END, .id = id, .is_complete = true, .hash = XXH64 ("", 0, 0) };

  bj_conn_send (c, &answer);
  bj_conn_send (c, &end);
}

// Rejects bytes that would change the framing of the HTTP request to the upstream.
static bool
is_valid_request (const BjRequest *r)
{
  BjStr texts[] = { r->method, r->path, r->host, r->id, r->key, r->content_type, r->account };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    for (size_t j = 0; j < texts[i].len; j++)
      if ((unsigned char)texts[i].data[j] < ' ' || texts[i].data[j] == 0x7f)
        return false;
  if (!bj_header_is_valid (r->headers))
    return false;
  return r->method.len > 0 && r->path.len > 0 && r->path.data[0] == '/' && r->deadline_ms > 0;
}

// Frames sent on the old connection may be lost. The sender skips what it has received.
static void
attach_conn (BjConn *c, IncomingCall *r)
{
  msgpack_sbuffer out;

  if (r->conn != NULL)
    g_hash_table_remove (r->conn->incoming, &r->id);
  r->conn = c;
  g_hash_table_insert (c->incoming, &r->id, r);
  if (!may_send_again (r))
    {
      send_refusal (c, r->id, BJ_E_LOST, BJ_UNKNOWN);
      abandon_call (r);
      return;
    }
  msgpack_sbuffer_init (&out);
  encode_kept (r, &out);
  bj_conn_send_bytes (c, out.data, out.size);
  msgpack_sbuffer_destroy (&out);
  // Without a connection there was less room, so the source may wait for more.
  if (r->exchange != NULL)
    bj_exchange_drained (r->exchange, 0);
}

static bool
may_send_again (const IncomingCall *r)
{
  return r->head == NULL || r->body != NULL;
}

// Appends the frames of the response that the sender may lack.
static void
encode_kept (const IncomingCall *r, msgpack_sbuffer *out)
{
  BjFrame f = { .kind = BJ_FRAME_DATA, .id = r->id, .offset = r->acked };
  BjStr left = { r->body->str, r->body->len };

  if (r->head != NULL && r->head->len > 0)
    msgpack_sbuffer_write (out, r->head->str, r->head->len);
  for (; left.len > 0; left = (BjStr){ left.data + f.data.len, left.len - f.data.len })
    {
      f.data = (BjStr){ left.data, MIN (left.len, BJ_FRAME_DATA_MAX) };
      bj_frame_encode (out, &f);
      f.offset = 0;
    }
}

static void
keep_body (IncomingCall *r, BjStr part)
{
  BjIncoming *in = r->in;

  if (r->body == NULL)
    return;
  g_string_append_len (r->body, part.data, (gssize)part.len);
  in->n_kept += part.len;
  while (in->n_kept > KEPT_BYTES_MAX && in->large.head != NULL)
    drop_large (in, in->large.head->data);
  if (in->n_kept <= KEPT_BYTES_MAX)
    return;
  drop_body (r, r->body->len);
  g_string_free (r->body, TRUE);
  r->body = NULL;
}

// Drops the first n bytes that are kept.
static void
drop_body (IncomingCall *r, size_t n)
{
  if (r->body == NULL)
    return;
  g_string_erase (r->body, 0, (gssize)n);
  r->in->n_kept -= n;
}

// end: last frame of the response, NULL if the call was abandoned.
static void
record_completed (IncomingCall *r, const BjFrame *end)
{
  Sender *s = r->sender;
  CompletedCall *e = g_new0 (CompletedCall, 1);
  msgpack_sbuffer out;

  e->id = r->id;
  e->large.data = e;
  if (end != NULL && r->body != NULL)
    {
      msgpack_sbuffer_init (&out);
      encode_kept (r, &out);
      bj_frame_encode (&out, end);
      e->frames = g_bytes_new (out.data, out.size);
      msgpack_sbuffer_destroy (&out);
      keep_large (r->in, e);
    }
  g_hash_table_insert (s->completed, &e->id, e);
  g_queue_push_tail (&s->order, e);
  if (g_queue_get_length (&s->order) > COMPLETED_CALLS_MAX)
    evict_oldest_completed (r->in, s);
}

static void
keep_large (BjIncoming *in, CompletedCall *e)
{
  if (g_bytes_get_size (e->frames) <= SMALL_BYTES)
    return;
  e->expires_at = bj_clock_now () + LARGE_EXPIRY_MS;
  in->n_kept += g_bytes_get_size (e->frames);
  g_queue_push_tail_link (&in->large, &e->large);
}

static void
drop_large (BjIncoming *in, CompletedCall *e)
{
  in->n_kept -= g_bytes_get_size (e->frames);
  g_queue_unlink (&in->large, &e->large);
  g_clear_pointer (&e->frames, g_bytes_unref);
}

static void
evict_oldest_completed (BjIncoming *in, Sender *s)
{
  CompletedCall *e = g_queue_pop_head (&s->order);

  s->max_evicted_id = MAX (s->max_evicted_id, e->id);
  g_hash_table_remove (s->completed, &e->id);
  if (e->frames != NULL && g_bytes_get_size (e->frames) > SMALL_BYTES)
    drop_large (in, e);
  g_clear_pointer (&e->frames, g_bytes_unref);
  g_free (e);
}

// Ends a call whose sender cancelled it or can no longer receive the whole response.
static void
abandon_call (IncomingCall *r)
{
  BjExchange *x = r->exchange;

  record_completed (r, NULL);
  free_call (r);
  if (x != NULL)
    bj_exchange_abort (x);
}

static void
on_begin (BjSink *s, const BjAnswer *a)
{
  IncomingCall *r = (IncomingCall *)s;
  BjFrame f = { .kind = BJ_FRAME_ANSWER, .id = r->id, .answer = *a };
  msgpack_sbuffer out;

  msgpack_sbuffer_init (&out);
  bj_frame_encode (&out, &f);
  r->head = g_string_new_len (out.data, (gssize)out.size);
  if (r->conn != NULL)
    bj_conn_send_bytes (r->conn, out.data, out.size);
  msgpack_sbuffer_destroy (&out);
}

static size_t
on_room (BjSink *s)
{
  IncomingCall *r = (IncomingCall *)s;
  uint64_t n_unacked = r->length - r->acked;

  return n_unacked < BJ_WINDOW_BYTES ? BJ_WINDOW_BYTES - n_unacked : 0;
}

static void
on_data (BjSink *s, BjStr part)
{
  IncomingCall *r = (IncomingCall *)s;
  BjFrame f = { .kind = BJ_FRAME_DATA, .id = r->id };

  XXH64_update (r->hash, part.data, part.len);
  r->length += part.len;
  keep_body (r, part);
  while (part.len > 0 && r->conn != NULL)
    {
      f.data = (BjStr){ part.data, MIN (part.len, BJ_FRAME_DATA_MAX) };
      bj_conn_send (r->conn, &f);
      part = (BjStr){ part.data + f.data.len, part.len - f.data.len };
    }
}

static void
on_end (BjSink *s, bool is_complete)
{
  IncomingCall *r = (IncomingCall *)s;
  BjFrame f
      = { .kind = BJ_FRAME_END, .id = r->id, .is_complete = is_complete, .length = r->length };

  r->exchange = NULL;
  f.hash = XXH64_digest (r->hash);
  if (r->conn != NULL)
    bj_conn_send (r->conn, &f);
  record_completed (r, &f);
  free_call (r);
}

static void
free_call (IncomingCall *r)
{
  g_hash_table_remove (r->sender->open, &r->id);
  if (r->conn != NULL)
    g_hash_table_remove (r->conn->incoming, &r->id);
  if (r->head != NULL)
    g_string_free (r->head, TRUE);
  if (r->body != NULL)
    {
      r->in->n_kept -= r->body->len;
      g_string_free (r->body, TRUE);
    }
  XXH64_freeState (r->hash);
  g_free (r);
}

static bool
is_expired (const Sender *s, BjTime now)
{
  return g_hash_table_size (s->open) == 0 && now - s->last_call_at >= SENDER_EXPIRY_MS;
}
