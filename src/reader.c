// Reader: fetches the current configuration from the platform and from peers.
//
// In each domain BJ_READERS_PER_DOMAIN members watch the store: of those that it answers, the ones
// with the highest rendezvous hash (role.c). The others learn the configuration number by gossip
// and fetch the text from a peer, in parts. A wrong view of the members only changes the number of
// reads.

#include "internal.h"
#include <ev.h>
#include <xxhash.h>

#define READER_TRIES 3        // retries of store requests within one read before the backoff
#define REJECTED_COPIES_MAX 3 // peers whose copy of one configuration is tried
#define SILENCE_MS 500        // without any byte from the store until others are to read it too

struct BjReader
{
  BjDaemon *daemon;
  ev_timer tick;
  BjFiler *filer; // read under way, with completion and write-back; NULL if none
  bool watching;  // a watch request is open
  bool is_list;   // the open watch request has no version: it returns the state at once
  int64_t era;    // of the store when version was read
  bool must_read; // read before the next watch: a watch alone can miss a restored store
  BjStr version;  // of the object last read, empty before the first read
  BjStr stored;   // configuration last read, kept until it is applied or dropped
  BjTime started;
  BjTime asked_at; // when the open or last store request was sent
  BjTime read_at;  // when the configuration was last read otherwise than by a watch
  BjRole role;
  BjStoreAccess access_reported; // to the other members
  bool is_store_failing;         // the last store request failed
  BjTime behind_since; // since when a peer has a newer configuration, BJ_TIME_NEVER if none has
  BjStr asked;         // name of the peer that was asked last, empty once it sends
  BjTime fetched_at;   // last request to a peer, or last part of its response
  GString *part;       // text received in parts so far
  BjStr part_peer;     // the peer that sends it
  uint64_t part_number;
  int64_t rejected_number;   // last configuration of a peer that was rejected
  GHashTable *rejected_from; // char*: names of the peers whose copy of it was rejected
};

typedef struct
{
  BjRoleView view; // of the own domain
  int n_peers;     // in all domains
  int n_holders;   // of these, with a configuration
  int n_answered;  // of the own domain, answered by the store
} MemberCount;

typedef struct
{
  BjReader *reader;
  int64_t own;     // number of the own configuration
  BjStr except;    // name of a holder that is not considered
  int64_t highest; // number of the newest configuration of all peers
  BjPeer *best;    // peer to fetch from, NULL if none has a newer one
  int best_rank;   // 0: own domain, 1: own region, 2: other region
  int n_best;      // holders with this rank
} HolderSearch;

static void on_tick (struct ev_loop *loop, ev_timer *w, int events);
static bool is_reader (const BjReader *r);
static MemberCount count_members (const BjReader *r);
static void add_to_view (const BjReader *r, const BjMember *m, BjRoleView *v);
static bool waits_for_own_domain (const BjReader *r, const MemberCount *count);
static double first_read_delay_ms (const BjReader *r, const MemberCount *count);
static void check_silence (BjReader *r, BjTime now);
static void report_access (BjReader *r);
static HolderSearch find_holders (BjReader *r, BjStr except);
static void consider_holder (BjPeer *p, void *data);
static void fetch_from_peer (BjReader *r, bool waits, BjTime now);
static void reject_copy (BjReader *r, int64_t number);
static bool is_rejected (const BjReader *r, const BjPeerReport *p);
static bool has_old_version (const BjReader *r);
static void read_store (BjReader *r);
static void send_watch (BjReader *r, BjStr version);
static void on_read_done (void *data, const BjFiling *f);
static void on_watched (void *data, const BjPlatformReply *reply);
static bool has_timed_out (const BjReader *r);
static void keep_stored (BjReader *r, const BjPlatformReply *reply);
static void apply_stored (BjReader *r);
static double silence_ms (const BjReader *r);
static void record_failure (BjReader *r);
static void record_success (BjReader *r);
static int64_t own_number (const BjReader *r);

static BjCounter n_reads
    = { "reader_readings_total", "Reads of the configuration from the store.", 0 };
static BjCounter n_watches
    = { "reader_watches_total", "Watch requests for the configuration in the store.", 0 };
static BjCounter n_fetches = { "reader_fetches_total", "Configurations requested from a peer.", 0 };
static BjCounter n_failures
    = { "reader_failures_total", "Failed reads and watch requests of the configuration.", 0 };
static BjCounter n_write_backs
    = { "reader_write_backs_total",
        "Newer configurations written back to a store that held an older one.",
        0 };

BjReader *
bj_reader_new (BjDaemon *d)
{
  BjReader *r = g_new0 (BjReader, 1);

  bj_metric_register (&n_reads);
  bj_metric_register (&n_watches);
  bj_metric_register (&n_fetches);
  bj_metric_register (&n_failures);
  bj_metric_register (&n_write_backs);
  r->daemon = d;
  r->started = bj_clock_now ();
  r->must_read = true;
  bj_role_init (&r->role, r->started);
  r->behind_since = BJ_TIME_NEVER;
  r->fetched_at = -BJ_TIME_NEVER;
  r->part = g_string_new (NULL);
  r->rejected_from = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  ev_timer_init (&r->tick, on_tick, 0, BJ_READER_TICK_MS / 1000.0);
  r->tick.data = r;
  ev_timer_start (d->loop, &r->tick);
  return r;
}

void
bj_reader_free (BjReader *r)
{
  ev_timer_stop (r->daemon->loop, &r->tick);
  bj_filer_free (r->filer);
  r->daemon->platform->ops->cancel_requests (r->daemon->platform, r);
  bj_str_free (&r->version);
  bj_str_free (&r->stored);
  g_string_free (r->part, TRUE);
  g_hash_table_destroy (r->rejected_from);
  bj_str_free (&r->part_peer);
  bj_str_free (&r->asked);
  g_free (r);
}

void
bj_reader_metrics (const BjReader *r, GString *out)
{
  bool is_waiting = r->watching || r->filer != NULL;

  bj_metric_print_gauge (
      out, "reader", "1 if this daemon has a request for the configuration open.", is_waiting);
  bj_metric_print_gauge (out,
                         "reader_silence_ms",
                         "Time since the store last sent any byte while such a request is open; a "
                         "watch without a change is silent too.",
                         is_waiting ? silence_ms (r) : 0);
}

void
bj_reader_check_peer (BjReader *r, BjPeer *p)
{
  bool in_own_domain;

  if (p == NULL || p->is_self || p->report.config_number <= own_number (r))
    return;
  in_own_domain = bj_str_equal (p->report.domain, r->daemon->settings.domain);
  if (in_own_domain || is_reader (r))
    fetch_from_peer (r, false, bj_clock_now ());
}

// Of two peers that were asked, the first one that sends is kept: a fetch is repeated when the
// first part takes long, and both responses may come.
bool
bj_reader_take_part (BjReader *r, BjStr peer, const BjFrame *f)
{
  MemberCount count;
  bool is_first = f->offset == 0 && (r->part->len == 0 || bj_str_equal (peer, r->part_peer));

  if (is_first)
    {
      g_string_truncate (r->part, 0);
      bj_str_set (&r->part_peer, peer);
      r->part_number = f->id;
    }
  else if (!bj_str_equal (peer, r->part_peer) || f->id != r->part_number
           || f->offset != r->part->len)
    return false;
  r->fetched_at = bj_clock_now ();
  bj_str_set (&r->asked, BJ_STR_NULL);
  g_string_append_len (r->part, f->data.data, (gssize)f->data.len);
  if (r->part->len < f->length)
    return true;
  bj_daemon_apply_config (
      r->daemon, (int64_t)f->id, (BjStr){ r->part->str, r->part->len }, r->part_peer.data);
  if (own_number (r) < (int64_t)f->id)
    reject_copy (r, (int64_t)f->id);
  g_string_truncate (r->part, 0);
  r->fetched_at = -BJ_TIME_NEVER;
  count = count_members (r);
  fetch_from_peer (r, waits_for_own_domain (r, &count), bj_clock_now ());
  return true;
}

uint64_t
bj_reader_rank (BjStr name, BjStr domain)
{
  return XXH64 (name.data, name.len, bj_str_hash (domain));
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  BjReader *r = w->data;
  BjTime now = bj_clock_now ();
  MemberCount count = count_members (r);
  bool is_waiting = r->filer != NULL || r->watching;

  (void)loop;
  (void)events;
  apply_stored (r);
  fetch_from_peer (r, waits_for_own_domain (r, &count), now);
  if (is_waiting)
    check_silence (r, now);
  else
    bj_role_rest (&r->role, &count.view, now);
  report_access (r);
  // A daemon that is no longer a reader keeps its open watch: those that took its place may still
  // be reading, and a configuration may be under way to it.
  if (r->watching && has_old_version (r))
    {
      r->must_read = true;
      r->daemon->platform->ops->cancel_requests (r->daemon->platform, r);
      r->watching = false;
    }
  if (own_number (r) == 0 && now - r->started < first_read_delay_ms (r, &count))
    return;
  if (r->filer == NULL && !r->watching
      && bj_role_asks (&r->role, &count.view, now, g_random_double ()))
    read_store (r);
}

static bool
is_reader (const BjReader *r)
{
  MemberCount count = count_members (r);

  return bj_role_reads (&r->role, &count.view);
}

static MemberCount
count_members (const BjReader *r)
{
  const BjMembers *all = r->daemon->members;
  MemberCount count = { .view = { .n_members = 1 } };
  const BjMember *m;

  for (guint i = 0; (m = bj_members_at (all, i)) != NULL; i++)
    {
      if (m->is_self || m->state > BJ_MEMBER_SUSPECT)
        continue;
      count.n_peers++;
      count.n_holders += m->report.config_number > 0;
      if (!bj_str_equal (m->report.domain, r->daemon->settings.domain))
        continue;
      count.n_answered += m->report.store_access == BJ_STORE_ANSWERS;
      add_to_view (r, m, &count.view);
    }
  return count;
}

static void
add_to_view (const BjReader *r, const BjMember *m, BjRoleView *v)
{
  const BjSettings *s = &r->daemon->settings;

  v->n_members++;
  // A member that is still reading its first configuration does not take the place of one that has
  // a configuration.
  if ((own_number (r) > 0 && m->report.config_number == 0)
      || bj_reader_rank (m->report.name, s->domain) <= bj_reader_rank (s->name, s->domain))
    return;
  if (m->state == BJ_MEMBER_SUSPECT || m->report.store_access == BJ_STORE_FAILS)
    v->n_failed++;
  else if (m->report.store_access == BJ_STORE_ANSWERS)
    v->n_answered++;
  else
    v->n_unknown++;
}

// A text should cross the link between regions once a domain. A daemon that does not read the store
// gives those of its domain that do time to fetch it.
static bool
waits_for_own_domain (const BjReader *r, const MemberCount *count)
{
  return count->n_answered > 0 && !bj_role_reads (&r->role, &count->view);
}

// The store may have been restored from an older copy. A daemon that starts first gives its peers
// time to report a newer configuration.
static double
first_read_delay_ms (const BjReader *r, const MemberCount *count)
{
  if (r->daemon->settings.n_seeds == 0 || count->n_holders > 0)
    return 0;
  return count->n_peers > 0 ? BJ_READER_PEERS_DELAY_MS : BJ_READER_START_DELAY_MS;
}

static void
check_silence (BjReader *r, BjTime now)
{
  bool is_long_poll = r->watching && !r->is_list;

  if (silence_ms (r) > SILENCE_MS + (is_long_poll ? BJ_WATCH_TIMEOUT_MS : 0))
    bj_role_silent (&r->role, now);
}

// Tells the other members at once when the store begins or ceases to answer this daemon.
static void
report_access (BjReader *r)
{
  static const char *const names[BJ_STORE_ACCESSES] = { "not asked", "answers", "fails" };

  MemberCount count;

  if (r->role.access == r->access_reported)
    return;
  count = count_members (r);
  bj_log (BJ_LOG_INFO,
          "TICKET",
          "store=\"%s\" before=\"%s\" silent_ms=%.0f reads=%d above: answered=%d failed=%d "
          "unknown=%d",
          names[r->role.access],
          names[r->access_reported],
          silence_ms (r),
          bj_role_reads (&r->role, &count.view),
          count.view.n_answered,
          count.view.n_failed,
          count.view.n_unknown);
  r->access_reported = r->role.access;
  bj_kernel_set_store_access (r->daemon->kernel, r->role.access);
  bj_members_publish (r->daemon->members);
}

static HolderSearch
find_holders (BjReader *r, BjStr except)
{
  HolderSearch h = { .reader = r, .own = own_number (r), .best_rank = 3, .except = except };

  bj_kernel_each_peer (r->daemon->kernel, consider_holder, &h);
  return h;
}

// Picks a random one of the nearest holders of a newer configuration, to spread the requests.
static void
consider_holder (BjPeer *p, void *data)
{
  HolderSearch *h = data;
  const BjSettings *s = &h->reader->daemon->settings;
  int rank = 2;

  if (p->is_self || p->report.config_number <= h->own || is_rejected (h->reader, &p->report)
      || bj_str_equal (p->report.name, h->except))
    return;
  h->highest = MAX (h->highest, p->report.config_number);
  if (bj_str_equal (p->report.domain, s->domain))
    rank = 0;
  else if (bj_str_equal (p->report.region, s->region))
    rank = 1;
  if (rank > h->best_rank)
    return;
  if (rank < h->best_rank)
    h->n_best = 0;
  h->best_rank = rank;
  h->n_best++;
  if (g_random_int_range (0, h->n_best) == 0)
    h->best = p;
}

static void
fetch_from_peer (BjReader *r, bool waits, BjTime now)
{
  // A near holder that did not send must not keep farther ones from being asked.
  HolderSearch h = find_holders (r, r->asked);

  if (h.best == NULL)
    h = find_holders (r, BJ_STR_NULL);
  if (h.best == NULL)
    {
      r->behind_since = BJ_TIME_NEVER;
      bj_str_set (&r->asked, BJ_STR_NULL);
      return;
    }
  r->behind_since = MIN (r->behind_since, now);
  if (now - r->fetched_at < (r->part->len > 0 ? BJ_FETCH_STALL_MS : BJ_FETCH_RETRY_MS))
    return;
  if (h.best_rank > 0 && waits && now - r->behind_since < BJ_FETCH_REMOTE_DELAY_MS)
    return;
  r->fetched_at = now;
  bj_str_set (&r->asked, h.best->report.name);
  g_string_truncate (r->part, 0);
  n_fetches.value++;
  bj_log (BJ_LOG_INFO,
          "TICKET",
          "fetch number=%" G_GINT64_FORMAT " from=%.*s holders=%d in_force=%" G_GINT64_FORMAT
          " behind_ms=%.0f",
          h.best->report.config_number,
          BJ_STR_ARG (h.best->report.name),
          h.n_best,
          h.own,
          now - r->behind_since);
  bj_links_request_config (r->daemon->links, h.best, h.best->report.config_number);
}

// The copy of one peer may be damaged. Other peers are asked, but a configuration that several of
// them hold alike is not transferred again and again.
static void
reject_copy (BjReader *r, int64_t number)
{
  if (number != r->rejected_number)
    g_hash_table_remove_all (r->rejected_from);
  r->rejected_number = number;
  g_hash_table_add (r->rejected_from, g_strdup (r->part_peer.data));
  bj_log (BJ_LOG_WARNING,
          "TICKET",
          "copy of number=%" G_GINT64_FORMAT " from=%s not used, rejected_copies=%u",
          number,
          r->part_peer.data,
          g_hash_table_size (r->rejected_from));
}

static bool
is_rejected (const BjReader *r, const BjPeerReport *p)
{
  return p->config_number == r->rejected_number
         && (g_hash_table_size (r->rejected_from) >= REJECTED_COPIES_MAX
             || g_hash_table_contains (r->rejected_from, p->name.data));
}

// True if the open or next watch is from a version that the store issued before it was restored.
// The store may since have issued that version for another change, which the watch would not
// report.
static bool
has_old_version (const BjReader *r)
{
  return !r->is_list && r->era != r->daemon->platform->era;
}

static void
read_store (BjReader *r)
{
  const BjConfig *c = bj_kernel_config (r->daemon->kernel);
  BjPlatform *p = r->daemon->platform;
  BjFilingOptions o = BJ_FILING_OPTIONS_DEFAULT;
  BjFiling *f;

  if (!r->must_read && !has_old_version (r))
    {
      n_watches.value++;
      send_watch (r, r->version);
      return;
    }
  if (p->ops->read_config != NULL)
    {
      n_reads.value++;
      send_watch (r, BJ_STR_NULL);
      return;
    }
  o.in_force_config = c != NULL ? c->text : BJ_STR_NULL;
  o.tries_max = READER_TRIES;
  o.seed = g_random_int ();
  if (bj_filing_new (&o, &f) != BJ_OK)
    return;
  n_reads.value++;
  r->asked_at = bj_clock_now ();
  r->filer = bj_filer_new (r->daemon->loop, p, f, on_read_done, r);
}

static void
send_watch (BjReader *r, BjStr version)
{
  BjPlatform *p = r->daemon->platform;

  r->asked_at = bj_clock_now ();
  r->watching = true;
  r->is_list = version.len == 0;
  p->ops->watch (p, p->ops->config_name, version, on_watched, r);
}

static void
on_read_done (void *data, const BjFiling *f)
{
  BjReader *r = data;
  BjStatus s = bj_filing_result (f);
  BjStr version;
  BjStr current = bj_filing_current (f, &version);

  if (bj_filing_wrote_back (f))
    {
      n_write_backs.value++;
      bj_log (BJ_LOG_WARNING,
              "TICKET",
              "The store held an older configuration; ticket %" G_GINT64_FORMAT
              " was written back.",
              own_number (r));
    }
  bj_str_set (&r->stored, current);
  bj_str_set (&r->version, version);
  apply_stored (r);
  r->must_read = s != BJ_OK;
  if (s != BJ_OK)
    record_failure (r);
  else
    {
      r->read_at = bj_clock_now ();
      record_success (r);
    }
  g_clear_pointer (&r->filer, bj_filer_free);
}

static void
on_watched (void *data, const BjPlatformReply *reply)
{
  BjReader *r = data;

  r->watching = false;
  if (has_old_version (r))
    {
      r->must_read = true;
      return;
    }
  if (reply->code == BJ_OK)
    bj_log (
        BJ_LOG_INFO,
        "TICKET",
        "read from=store as=%s bytes=%zu asked_ms=%.0f transfer_ms=%.0f in_force=%" G_GINT64_FORMAT,
        r->is_list ? "list" : "event",
        reply->bytes,
        bj_clock_now () - r->asked_at,
        reply->transfer_ms,
        own_number (r));
  r->is_list = false;
  r->era = r->daemon->platform->era;
  if (reply->code == BJ_OK)
    {
      bj_str_set (&r->version, reply->version);
      keep_stored (r, reply);
      record_success (r);
      apply_stored (r);
      return;
    }
  if (reply->code == BJ_E_NOT_FOUND && reply->version.len > 0)
    {
      bj_str_set (&r->version, reply->version);
      r->must_read = false;
      record_success (r);
      return;
    }
  if (reply->code == BJ_E_NOT_FOUND && has_timed_out (r))
    {
      // A filing that was given up is completed by a read.
      r->must_read = bj_clock_now () - r->read_at >= BJ_READER_READ_MS;
      record_success (r);
      return;
    }
  r->must_read = true;
  if (reply->code != BJ_E_GONE && reply->code != BJ_E_NOT_FOUND)
    record_failure (r);
}

// Tells the end of a watch without a change from the absence of the object, which is answered at
// once.
static bool
has_timed_out (const BjReader *r)
{
  return r->version.len > 0 && bj_clock_now () - r->asked_at >= BJ_WATCH_TIMEOUT_MS / 2.0;
}

// Keeps the configuration read from the store, converted to the format of this library.
static void
keep_stored (BjReader *r, const BjPlatformReply *reply)
{
  const BjPlatformOps *ops = r->daemon->platform->ops;
  struct json_object *spec = reply->spec;
  GString *text;

  if (ops->read_config == NULL)
    {
      bj_str_set (&r->stored,
                  bj_str (json_object_to_json_string_ext (spec, JSON_C_TO_STRING_PLAIN)));
      r->must_read = bj_json_int (spec, "number") < own_number (r);
      return;
    }
  r->must_read = false;
  text = g_string_new (NULL);
  if (ops->read_config (spec, text) == BJ_OK)
    bj_str_set (&r->stored, (BjStr){ text->str, text->len });
  else
    bj_daemon_reject_config (r->daemon, 0, reply->bytes, "store");
  g_string_free (text, TRUE);
}

// Applies the stored configuration. If a live peer reports an even newer one, waits for that
// instead.
static void
apply_stored (BjReader *r)
{
  struct json_object *o;
  int64_t number;

  if (r->stored.len == 0)
    return;
  if (bj_config_read (r->stored, &o) != BJ_OK)
    {
      bj_daemon_reject_config (r->daemon, 0, r->stored.len, "store");
      bj_str_set (&r->stored, BJ_STR_NULL);
      return;
    }
  number = bj_json_int (o, "number");
  json_object_put (o);
  if (r->daemon->platform->ops->read_config == NULL && number > own_number (r)
      && number < find_holders (r, BJ_STR_NULL).highest)
    return;
  if (number > own_number (r)
      && bj_daemon_apply_config (r->daemon, number, r->stored, "store") == BJ_OK)
    bj_members_publish (r->daemon->members);
  bj_str_set (&r->stored, BJ_STR_NULL);
}

static double
silence_ms (const BjReader *r)
{
  return bj_clock_now () - MAX (r->asked_at, r->daemon->platform->heard_at);
}

static void
record_failure (BjReader *r)
{
  n_failures.value++;
  if (!r->is_store_failing)
    bj_log (BJ_LOG_WARNING,
            "TICKET",
            "The store can't be read, trying on: asked_ms=%.0f silent_ms=%.0f "
            "in_force=%" G_GINT64_FORMAT ": %s",
            bj_clock_now () - r->asked_at,
            silence_ms (r),
            own_number (r),
            bj_last_message ());
  r->is_store_failing = true;
  bj_role_failed (&r->role, bj_clock_now (), g_random_double ());
  report_access (r);
}

static void
record_success (BjReader *r)
{
  if (r->is_store_failing)
    bj_log (BJ_LOG_INFO, "TICKET", "The store can be read again.");
  r->is_store_failing = false;
  bj_role_answered (&r->role, bj_clock_now ());
  report_access (r);
}

static int64_t
own_number (const BjReader *r)
{
  const BjConfig *c = bj_kernel_config (r->daemon->kernel);

  return c != NULL ? c->number : 0;
}
