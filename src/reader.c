// Reader: brings the configuration in force from the platform and from peers.
//
// In each domain the BJ_READERS daemons with the highest rendezvous hash among its live members
// watch the store; the others learn the number by gossip and fetch the text from a peer. A wrong
// view of who is alive costs a read more or less and nothing else.

#include "internal.h"
#include <ev.h>
#include <xxhash.h>

#define BACKOFF_MIN_MS 100
#define READER_TRIES 3 // failed calls of one reading before the pause grows

struct BjReader
{
  BjDaemon *daemon;
  ev_timer tick;
  BjFiler *filer; // reads, completes and writes back; NULL when none runs
  bool watching;  // a watch waits at the store
  bool must_read; // instead of watching; a watch alone can miss a restored store
  BjStr version;  // of the object last read, empty before
  BjStr stored;   // configuration last read, kept until it may come into force
  BjTime started;
  BjTime not_before; // no call to the store before
  double backoff_ms;
  bool failing;        // the last call to the store failed
  BjTime behind_since; // a peer holds a newer configuration, BJ_TIME_NEVER if none does
  BjTime asked_at;     // last peer fetch
};

typedef struct
{
  BjReader *reader;
  uint64_t own_hash;
  int n_higher; // members of the domain with a higher hash
  bool has_peers;
} Role;

typedef struct
{
  BjReader *reader;
  int64_t own;     // number in force here
  int64_t highest; // of all peers
  BjPeer *best;    // to fetch from
  int best_rank;   // 0 own domain, 1 own region, 2 elsewhere
  int n_best;
} Holders;

static void on_tick (struct ev_loop *loop, ev_timer *w, int events);
static bool is_reader (BjReader *r, bool *has_peers);
static void count_member (BjPeer *p, void *role);
static uint64_t member_hash (BjStr name, BjStr domain);
static Holders find_holders (BjReader *r);
static void count_holder (BjPeer *p, void *holders);
static void fetch (BjReader *r, bool reads, BjTime now);
static void read_store (BjReader *r);
static void on_filed (void *data, const BjFiling *f);
static void on_watched (void *data, const BjPlatformReply *reply);
static void store_text (BjReader *r, struct json_object *spec);
static void adopt_stored (BjReader *r);
static void back_off (BjReader *r);
static void succeed (BjReader *r);
static int64_t own_number (const BjReader *r);

static BjCounter n_readings
    = { "reader_readings_total", "Readings of the configuration in the store.", 0 };
static BjCounter n_watches = { "reader_watches_total", "Watches of the configuration.", 0 };
static BjCounter n_fetches = { "reader_fetches_total", "Configurations asked from a peer.", 0 };
static BjCounter n_failures = { "reader_failures_total", "Failed readings and watches.", 0 };
static BjCounter n_write_backs
    = { "reader_write_backs_total", "Newer configurations written back to the store.", 0 };

BjReader *
bj_reader_new (BjDaemon *d)
{
  BjReader *r = g_new0 (BjReader, 1);

  bj_metric_register (&n_readings);
  bj_metric_register (&n_watches);
  bj_metric_register (&n_fetches);
  bj_metric_register (&n_failures);
  bj_metric_register (&n_write_backs);
  r->daemon = d;
  r->started = bj_clock_now ();
  r->must_read = true;
  r->backoff_ms = BACKOFF_MIN_MS;
  r->behind_since = BJ_TIME_NEVER;
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
  r->daemon->platform->ops->forget (r->daemon->platform, r);
  bj_str_free (&r->version);
  bj_str_free (&r->stored);
  g_free (r);
}

void
bj_reader_check_peer (BjReader *r, BjPeer *p)
{
  bool has_peers;
  bool near;

  if (p == NULL || p->is_self || p->report.config_number <= own_number (r))
    return;
  near = bj_str_equal (p->report.domain, r->daemon->settings.domain);
  if (near || is_reader (r, &has_peers))
    fetch (r, true, bj_clock_now ());
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  BjReader *r = w->data;
  BjTime now = bj_clock_now ();
  bool has_peers;
  bool reads = is_reader (r, &has_peers);

  (void)loop;
  (void)events;
  adopt_stored (r);
  fetch (r, reads, now);
  if (!reads && r->watching)
    {
      r->daemon->platform->ops->forget (r->daemon->platform, r);
      r->watching = false;
    }
  if (!has_peers && r->daemon->settings.n_seeds > 0 && now - r->started < BJ_READER_JOIN_MS)
    return;
  if (reads && r->filer == NULL && !r->watching && now >= r->not_before)
    read_store (r);
}

static bool
is_reader (BjReader *r, bool *has_peers)
{
  const BjSettings *s = &r->daemon->settings;
  Role role = { .reader = r, .own_hash = member_hash (s->name, s->domain) };

  bj_kernel_each_peer (r->daemon->kernel, count_member, &role);
  *has_peers = role.has_peers;
  return role.n_higher < BJ_READERS;
}

static void
count_member (BjPeer *p, void *data)
{
  Role *role = data;
  BjStr domain = role->reader->daemon->settings.domain;

  if (p->is_self)
    return;
  role->has_peers = true;
  if (bj_str_equal (p->report.domain, domain)
      && member_hash (p->report.name, domain) > role->own_hash)
    role->n_higher++;
}

static uint64_t
member_hash (BjStr name, BjStr domain)
{
  return XXH64 (name.data, name.len, bj_str_hash (domain));
}

static Holders
find_holders (BjReader *r)
{
  Holders h = { .reader = r, .own = own_number (r), .best_rank = 3 };

  bj_kernel_each_peer (r->daemon->kernel, count_holder, &h);
  return h;
}

// Picks one of the nearest holders of a newer configuration at random, so that no peer serves all.
static void
count_holder (BjPeer *p, void *data)
{
  Holders *h = data;
  const BjSettings *s = &h->reader->daemon->settings;
  int rank = 2;

  if (p->is_self || p->report.config_number <= h->own)
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
fetch (BjReader *r, bool reads, BjTime now)
{
  Holders h = find_holders (r);

  if (h.best == NULL)
    {
      r->behind_since = BJ_TIME_NEVER;
      return;
    }
  r->behind_since = MIN (r->behind_since, now);
  if (now - r->asked_at < BJ_FETCH_AGAIN_MS)
    return;
  if (h.best_rank > 0 && !reads && now - r->behind_since < BJ_FETCH_FAR_MS)
    return;
  r->asked_at = now;
  n_fetches.value++;
  bj_links_ask_config (r->daemon->links, h.best, h.best->report.config_number);
}

static void
read_store (BjReader *r)
{
  const BjConfig *c = bj_kernel_config (r->daemon->kernel);
  BjPlatform *p = r->daemon->platform;
  const char *name = p->ops->config_name;
  BjFilingOptions o = BJ_FILING_OPTIONS_DEFAULT;
  BjFiling *f;

  if (!r->must_read)
    {
      n_watches.value++;
      r->watching = true;
      p->ops->watch (p, name, r->version, on_watched, r);
      return;
    }
  if (p->ops->read_config != NULL)
    {
      n_readings.value++;
      r->watching = true;
      p->ops->watch (p, name, BJ_STR_NULL, on_watched, r);
      return;
    }
  o.held = c != NULL ? c->text : BJ_STR_NULL;
  o.tries = READER_TRIES;
  o.seed = g_random_int ();
  if (bj_filing_new (&o, &f) != BJ_OK)
    return;
  n_readings.value++;
  r->filer = bj_filer_new (r->daemon->loop, p, f, on_filed, r);
}

static void
on_filed (void *data, const BjFiling *f)
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
              "The store held an older configuration, ticket %" G_GINT64_FORMAT " is written back.",
              own_number (r));
    }
  bj_str_set (&r->stored, current);
  bj_str_set (&r->version, version);
  adopt_stored (r);
  r->must_read = s != BJ_OK;
  if (s != BJ_OK)
    back_off (r);
  else
    succeed (r);
  g_clear_pointer (&r->filer, bj_filer_free);
}

static void
on_watched (void *data, const BjPlatformReply *reply)
{
  BjReader *r = data;
  struct json_object *spec = reply->spec;

  r->watching = false;
  if (reply->code == BJ_OK)
    {
      bj_str_set (&r->version, reply->version);
      store_text (r, spec);
      succeed (r);
      adopt_stored (r);
      return;
    }
  if (reply->code == BJ_E_NOT_FOUND && reply->version.len > 0)
    {
      bj_str_set (&r->version, reply->version);
      r->must_read = false;
      succeed (r);
      return;
    }
  r->must_read = true;
  if (reply->code != BJ_E_GONE && reply->code != BJ_E_NOT_FOUND)
    back_off (r);
}

// Keeps what the store holds, in the product's form.
static void
store_text (BjReader *r, struct json_object *spec)
{
  const BjPlatformOps *ops = r->daemon->platform->ops;
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
    bj_log (BJ_LOG_WARNING, "TICKET", "The store's object was refused: %s", bj_last_message ());
  g_string_free (text, TRUE);
}

// A daemon that has no configuration yet waits for a peer's while a live peer reports a newer one.
static void
adopt_stored (BjReader *r)
{
  struct json_object *o;
  int64_t number;

  if (r->stored.len == 0)
    return;
  if (bj_json_read ("configuration", r->stored, BJ_E_TICKET, &o) != BJ_OK)
    {
      bj_log (BJ_LOG_WARNING, "TICKET", "The store's object was refused: %s", bj_last_message ());
      bj_str_set (&r->stored, BJ_STR_NULL);
      return;
    }
  number = bj_json_int (o, "number");
  json_object_put (o);
  if (r->daemon->platform->ops->read_config == NULL && number > own_number (r)
      && number < find_holders (r).highest)
    return;
  if (number > own_number (r))
    bj_daemon_config (r->daemon, r->stored);
  bj_str_set (&r->stored, BJ_STR_NULL);
}

static void
back_off (BjReader *r)
{
  n_failures.value++;
  if (!r->failing)
    bj_log (BJ_LOG_WARNING, "TICKET", "The store can't be read, trying on: %s", bj_last_message ());
  r->failing = true;
  r->not_before = bj_clock_now () + g_random_double_range (r->backoff_ms / 2, r->backoff_ms);
  r->backoff_ms = MIN (r->backoff_ms * 2, BJ_READER_BACKOFF_MAX_MS);
}

static void
succeed (BjReader *r)
{
  if (r->failing)
    bj_log (BJ_LOG_INFO, "TICKET", "The store can be read again.");
  r->failing = false;
  r->backoff_ms = BACKOFF_MIN_MS;
}

static int64_t
own_number (const BjReader *r)
{
  const BjConfig *c = bj_kernel_config (r->daemon->kernel);

  return c != NULL ? c->number : 0;
}
