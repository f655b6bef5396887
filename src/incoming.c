// Incoming: calls received from peers. Open and recent calls are remembered by the sender's
// incarnation, so that a call sent again on a new connection finds the first one.

#include "link.h"
#include <xxhash.h>

#define ORPHAN_MS 3000       // a call without a connection waits this long to be sent again
#define RECENT_MAX 1024      // ended calls remembered for one sender
#define KEPT_ANSWER_MAX 4096 // bytes of a whole answer kept with them
#define SENDER_LIFETIME_MS                                                                         \
  900000 // a sender that stays silent longer is forgotten, above every deadline

typedef struct
{
  BjStr name;
  uint64_t incarnation;
  GHashTable *open;      // call id to Reply
  GHashTable *recent;    // call id to Recent
  GQueue order;          // Recent*, oldest first
  uint64_t forgotten_id; // calls up to this id may have ended unremembered
  BjTime heard;
} Sender;

typedef struct
{
  uint64_t id;
  GBytes *frames; // of its answer, NULL when it was too large
} Recent;

typedef struct
{
  BjSink sink;   // first
  BjExchange *x; // NULL when the call has ended
  BjIncoming *in;
  Sender *sender;
  BjConn *conn; // NULL while orphaned
  BjTime orphaned;
  uint64_t id;
  XXH64_state_t *hash;
  uint64_t length;
  uint64_t window;
  GString *kept; // frames of the answer so far, NULL when too large to keep
} Reply;

struct BjIncoming
{
  BjDaemon *daemon;
  GHashTable *senders; // name and incarnation to Sender
};

static Sender *find_sender (BjConn *c);
static void free_sender (gpointer sender);
static bool send_again (BjConn *c, Sender *s, const BjFrame *f);
static void start (BjConn *c, Sender *s, const BjFrame *f);
static void refuse (BjConn *c, uint64_t id, BjStatus code, BjOutcome o);
static bool is_sound (const BjRequest *r);
static void attach (BjConn *c, Reply *r);
static void send_frame (Reply *r, const BjFrame *f);
static void remember (Reply *r);
static void forget_oldest (Sender *s);
static void give_up (Reply *r);
static void on_begin (BjSink *s, const BjAnswer *a);
static size_t on_room (BjSink *s);
static void on_data (BjSink *s, BjStr part);
static void on_end (BjSink *s, bool whole);
static void free_reply (Reply *r);
static gboolean is_expired (gpointer key, gpointer sender, gpointer now);

static const BjSinkOps sink_ops = { on_begin, on_room, on_data, on_end };
static BjCounter n_found
    = { "link_resent_calls_found_total", "Calls sent again that found their first run.", 0 };
static BjCounter n_unsound
    = { "link_unsound_calls_total", "Calls refused for fields that are not sound HTTP.", 0 };

BjIncoming *
bj_incoming_new (BjDaemon *d)
{
  BjIncoming *in = g_new0 (BjIncoming, 1);

  bj_metric_register (&n_found);
  bj_metric_register (&n_unsound);
  in->daemon = d;
  in->senders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_sender);
  return in;
}

void
bj_incoming_free (BjIncoming *in)
{
  g_hash_table_destroy (in->senders);
  g_free (in);
}

void
bj_incoming_call (BjConn *c, const BjFrame *f)
{
  Sender *s = find_sender (c);

  s->heard = bj_clock_now ();
  if (f->expected != 0 && f->expected != c->links->daemon->incarnation)
    refuse (c, f->id, BJ_E_LOST, BJ_UNKNOWN);
  else if (!is_sound (&f->request))
    {
      n_unsound.value++;
      refuse (c, f->id, BJ_E_FORMAT, BJ_NOT_RUN);
    }
  else if (!send_again (c, s, f))
    start (c, s, f);
}

void
bj_incoming_cancel (BjConn *c, const BjFrame *f)
{
  Reply *r = g_hash_table_lookup (c->incoming, &f->id);

  if (r != NULL)
    give_up (r);
}

void
bj_incoming_window (BjConn *c, const BjFrame *f)
{
  Reply *r = g_hash_table_lookup (c->incoming, &f->id);

  if (r == NULL)
    return;
  r->window = MIN (r->window + f->length, BJ_WINDOW_BYTES);
  if (r->x != NULL)
    bj_exchange_drained (r->x, f->length);
}

void
bj_incoming_orphan (BjIncoming *in, GHashTable *calls)
{
  GList *all = g_hash_table_get_values (calls);

  (void)in;
  g_hash_table_remove_all (calls);
  for (GList *i = all; i != NULL; i = i->next)
    {
      Reply *r = i->data;

      r->conn = NULL;
      r->orphaned = bj_clock_now ();
      // What was sent of a long answer is lost for good.
      if (r->kept == NULL)
        give_up (r);
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
          Reply *r = l->data;

          if (r->conn == NULL && now - r->orphaned >= ORPHAN_MS)
            give_up (r);
        }
      g_list_free (open);
    }
  g_hash_table_foreach_remove (in->senders, is_expired, &now);
}

static Sender *
find_sender (BjConn *c)
{
  GHashTable *all = c->links->incoming->senders;
  char *key
      = g_strdup_printf ("%" G_GUINT64_FORMAT " %.*s", c->peer_incarnation, BJ_STR_ARG (c->peer));
  Sender *s = g_hash_table_lookup (all, key);

  if (s != NULL)
    {
      g_free (key);
      return s;
    }
  s = g_new0 (Sender, 1);
  s->name = bj_str_dup (c->peer);
  s->incarnation = c->peer_incarnation;
  s->open = g_hash_table_new (g_int64_hash, g_int64_equal);
  s->recent = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&s->order);
  g_hash_table_insert (all, key, s);
  return s;
}

static void
free_sender (gpointer sender)
{
  Sender *s = sender;
  GList *open = g_hash_table_get_values (s->open);

  for (GList *l = open; l != NULL; l = l->next)
    give_up (l->data);
  g_list_free (open);
  while (!g_queue_is_empty (&s->order))
    forget_oldest (s);
  g_hash_table_destroy (s->open);
  g_hash_table_destroy (s->recent);
  bj_str_free (&s->name);
  g_free (s);
}

// True when the call was here before and has been dealt with.
static bool
send_again (BjConn *c, Sender *s, const BjFrame *f)
{
  Reply *r = g_hash_table_lookup (s->open, &f->id);
  Recent *ended = g_hash_table_lookup (s->recent, &f->id);
  const char *data;
  gsize n;

  if (r != NULL)
    {
      n_found.value++;
      bj_log (BJ_LOG_INFO,
              "LINK",
              "Call %" G_GUINT64_FORMAT " of %.*s came again and is running.",
              f->id,
              BJ_STR_ARG (s->name));
      attach (c, r);
      return true;
    }
  if (ended != NULL && ended->frames != NULL)
    {
      n_found.value++;
      data = g_bytes_get_data (ended->frames, &n);
      bj_conn_send_bytes (c, data, n);
      return true;
    }
  if (ended == NULL && (f->expected == 0 || f->id > s->forgotten_id))
    return false;
  refuse (c, f->id, BJ_E_LOST, BJ_UNKNOWN);
  return true;
}

static void
start (BjConn *c, Sender *s, const BjFrame *f)
{
  Reply *r = g_new0 (Reply, 1);
  BjRequest request = f->request;
  BjDaemon *d = c->links->daemon;
  const BjPeer *from = bj_kernel_find_peer (d->kernel, s->name);
  BjExchange *x;
  uint64_t id = f->id;

  request.is_spilled = from != NULL && !bj_str_equal (from->report.domain, d->settings.domain);
  request.is_far = from != NULL && !bj_str_equal (from->report.region, d->settings.region);
  r->sink.ops = &sink_ops;
  r->in = c->links->incoming;
  r->sender = s;
  r->conn = c;
  r->id = f->id;
  r->window = BJ_WINDOW_BYTES;
  r->kept = g_string_new (NULL);
  r->hash = XXH64_createState ();
  XXH64_reset (r->hash, 0);
  g_hash_table_insert (s->open, &r->id, r);
  g_hash_table_insert (c->incoming, &r->id, r);
  x = bj_daemon_arrive_peer (d, &request, f->name, &r->sink);
  // An answer at once has freed the reply already.
  if (x != NULL && g_hash_table_lookup (s->open, &id) == r)
    r->x = x;
}

static void
refuse (BjConn *c, uint64_t id, BjStatus code, BjOutcome o)
{
  BjAnswer a = { .code = code, .outcome = o, .http_status = 502, .attempts_left = -1, .length = 0 };
  BjFrame answer = { .kind = BJ_FRAME_ANSWER, .id = id, .answer = a };
  BjFrame end = { .kind = BJ_FRAME_END, .id = id, .whole = true, .hash = XXH64 ("", 0, 0) };

  bj_conn_send (c, &answer);
  bj_conn_send (c, &end);
}

// Guards the HTTP request to the upstream against bytes that would change its framing.
static bool
is_sound (const BjRequest *r)
{
  BjStr texts[] = { r->method, r->path, r->host, r->id, r->key, r->content_type };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    for (size_t j = 0; j < texts[i].len; j++)
      if ((unsigned char)texts[i].data[j] < ' ' || texts[i].data[j] == 0x7f)
        return false;
  if (!bj_header_is_sound (r->headers))
    return false;
  return r->method.len > 0 && r->path.len > 0 && r->path.data[0] == '/' && r->deadline_ms > 0;
}

static void
attach (BjConn *c, Reply *r)
{
  if (r->conn != NULL)
    g_hash_table_remove (r->conn->incoming, &r->id);
  r->conn = c;
  g_hash_table_insert (c->incoming, &r->id, r);
  // The answer so far may have been lost with the old connection; the sender has seen nothing of
  // it.
  if (r->kept != NULL && r->kept->len > 0)
    bj_conn_send_bytes (c, r->kept->str, r->kept->len);
  else if (r->kept == NULL)
    give_up (r);
}

static void
send_frame (Reply *r, const BjFrame *f)
{
  msgpack_sbuffer bytes;

  msgpack_sbuffer_init (&bytes);
  bj_frame_encode (&bytes, f);
  if (r->kept != NULL && r->kept->len + bytes.size > KEPT_ANSWER_MAX && r->conn != NULL)
    {
      g_string_free (r->kept, TRUE);
      r->kept = NULL;
    }
  if (r->kept != NULL)
    g_string_append_len (r->kept, bytes.data, (gssize)bytes.size);
  if (r->conn != NULL)
    bj_conn_send_bytes (r->conn, bytes.data, bytes.size);
  msgpack_sbuffer_destroy (&bytes);
}

static void
remember (Reply *r)
{
  Sender *s = r->sender;
  Recent *e = g_new0 (Recent, 1);

  e->id = r->id;
  if (r->kept != NULL)
    e->frames = g_bytes_new (r->kept->str, r->kept->len);
  g_hash_table_insert (s->recent, &e->id, e);
  g_queue_push_tail (&s->order, e);
  if (g_queue_get_length (&s->order) > RECENT_MAX)
    forget_oldest (s);
}

static void
forget_oldest (Sender *s)
{
  Recent *e = g_queue_pop_head (&s->order);

  s->forgotten_id = MAX (s->forgotten_id, e->id);
  g_hash_table_remove (s->recent, &e->id);
  if (e->frames != NULL)
    g_bytes_unref (e->frames);
  g_free (e);
}

// The sender no longer wants the answer, or can't get it.
static void
give_up (Reply *r)
{
  BjExchange *x = r->x;

  r->kept != NULL ? g_string_free (r->kept, TRUE) : NULL;
  r->kept = NULL;
  remember (r);
  free_reply (r);
  if (x != NULL)
    bj_exchange_gone (x);
}

static void
on_begin (BjSink *s, const BjAnswer *a)
{
  Reply *r = (Reply *)s;
  BjFrame f = { .kind = BJ_FRAME_ANSWER, .id = r->id, .answer = *a };

  send_frame (r, &f);
}

static size_t
on_room (BjSink *s)
{
  Reply *r = (Reply *)s;

  return r->conn != NULL ? r->window : MIN (r->window, KEPT_ANSWER_MAX);
}

static void
on_data (BjSink *s, BjStr part)
{
  Reply *r = (Reply *)s;
  BjFrame f = { .kind = BJ_FRAME_DATA, .id = r->id };

  XXH64_update (r->hash, part.data, part.len);
  r->length += part.len;
  r->window -= MIN (r->window, part.len);
  while (part.len > 0)
    {
      f.data = (BjStr){ part.data, MIN (part.len, BJ_FRAME_DATA_MAX) };
      send_frame (r, &f);
      part = (BjStr){ part.data + f.data.len, part.len - f.data.len };
    }
}

static void
on_end (BjSink *s, bool whole)
{
  Reply *r = (Reply *)s;
  BjFrame f = { .kind = BJ_FRAME_END, .id = r->id, .whole = whole, .length = r->length };

  r->x = NULL;
  f.hash = XXH64_digest (r->hash);
  send_frame (r, &f);
  remember (r);
  free_reply (r);
}

static void
free_reply (Reply *r)
{
  g_hash_table_remove (r->sender->open, &r->id);
  if (r->conn != NULL)
    g_hash_table_remove (r->conn->incoming, &r->id);
  if (r->kept != NULL)
    g_string_free (r->kept, TRUE);
  XXH64_freeState (r->hash);
  g_free (r);
}

static gboolean
is_expired (gpointer key, gpointer sender, gpointer now)
{
  const Sender *s = sender;

  (void)key;
  return g_hash_table_size (s->open) == 0 && *(BjTime *)now - s->heard >= SENDER_LIFETIME_MS;
}
