// Seeds: the object members/<domain> in the platform's store lists members, so that a daemon finds
// others when the seeds in its settings are down. A few members of the domain maintain the object.

#include "internal.h"
#include <ev.h>
#include <stdio.h>
#include <string.h>

#define MAINTAINERS 2                 // members of a domain that maintain its object
#define LISTED_OWN_DOMAIN 8           // members of the own domain listed in the object
#define LISTED_OTHER_DOMAINS 8        // members of other domains listed in the object
#define TICK_MS 250                   // between checks of the member list
#define ALONE_BACKOFF_MIN_MS 1000     // between reads while alone in the domain; doubles
#define ALONE_BACKOFF_MAX_MS 16000    // longest time between reads while alone in the domain
#define READ_INTERVAL_MS 60000        // between reads by a maintainer
#define WRITE_INTERVAL_MS 3000        // between writes by a maintainer
#define CONFLICT_PAUSE_MAX_MS 500     // after a version conflict or a failed write
#define OTHER_DOMAIN_INTERVAL_MS 1000 // between reads of objects of domains without known members
#define OBJECT_MEMBERS_MAX 64         // entries used from an object

struct BjSeeds
{
  BjDaemon *daemon;
  BjSwim *swim;
  ev_timer tick;
  char *name;           // of the object of the own domain
  char *stored_list;    // its list as last read or written, as JSON text; NULL if unknown
  BjStr version;        // of the object as last read or written
  bool is_absent;       // the last read found no object
  bool is_request_open; // a store request is open
  int64_t era;          // of the store when version was read
  BjTime next_read;
  BjTime next_write;
  double alone_backoff_ms; // backoff before the next read while alone
  BjTime next_other_domain_read;
  int domain_index; // index in settings.domains to read next
};

typedef struct
{
  uint64_t rank;
  const BjMember *member;
} RankedMember;

static void on_tick (struct ev_loop *loop, ev_timer *w, int events);
static void forget_object (BjSeeds *s);
static bool read_other_domain (BjSeeds *s, BjTime now);
static void on_other_domain_read (void *data, const BjPlatformReply *r);
static bool knows_domain (const BjSeeds *s, BjStr domain);
static void read_object (BjSeeds *s);
static void on_read (void *data, const BjPlatformReply *r);
static void add_seeds (BjSeeds *s, struct json_object *list);
static void write_object (BjSeeds *s, char *text);
static void on_written (void *data, const BjPlatformReply *r);
static bool is_maintainer (const BjSeeds *s);
static char *format_list (const BjSeeds *s);
static GArray *rank_members (const BjSeeds *s, bool own_domain);
static gint compare_rank (gconstpointer a, gconstpointer b);
static gint compare_text (gconstpointer a, gconstpointer b);

static BjCounter n_reads
    = { "member_object_reads_total", "Reads of members objects in the store.", 0 };
static BjCounter n_writes
    = { "member_object_writes_total", "Writes of members objects in the store.", 0 };

BjSeeds *
bj_seeds_new (BjDaemon *d, BjSwim *swim)
{
  BjSeeds *s = g_new0 (BjSeeds, 1);

  bj_metric_register (&n_reads);
  bj_metric_register (&n_writes);
  s->daemon = d;
  s->swim = swim;
  s->name = g_strdup_printf ("members/%.*s", BJ_STR_ARG (d->settings.domain));
  s->alone_backoff_ms = ALONE_BACKOFF_MIN_MS;
  ev_timer_init (&s->tick, on_tick, 0, TICK_MS / 1000.0);
  s->tick.data = s;
  ev_timer_start (d->loop, &s->tick);
  return s;
}

void
bj_seeds_free (BjSeeds *s)
{
  if (s == NULL)
    return;
  ev_timer_stop (s->daemon->loop, &s->tick);
  if (s->is_request_open)
    s->daemon->platform->ops->cancel_requests (s->daemon->platform, s);
  bj_str_free (&s->version);
  g_free (s->stored_list);
  g_free (s->name);
  g_free (s);
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  BjSeeds *s = w->data;
  BjTime now = bj_clock_now ();
  bool is_alone = !knows_domain (s, s->daemon->settings.domain);
  char *text;

  (void)loop;
  (void)events;
  if (s->is_request_open || s->daemon->platform == NULL || s->daemon->stopping)
    return;
  if (s->era != s->daemon->platform->era)
    {
      if (s->era != 0)
        forget_object (s);
      s->era = s->daemon->platform->era;
    }
  if (now >= s->next_read && (is_alone || is_maintainer (s)))
    {
      s->next_read = now + (is_alone ? s->alone_backoff_ms : READ_INTERVAL_MS);
      s->alone_backoff_ms = MIN (ALONE_BACKOFF_MAX_MS, 2 * s->alone_backoff_ms);
      read_object (s);
      return;
    }
  if (read_other_domain (s, now) || now < s->next_write || (s->stored_list == NULL && !s->is_absent)
      || !is_maintainer (s))
    return;
  text = format_list (s);
  if (s->stored_list == NULL || strcmp (text, s->stored_list) != 0)
    write_object (s, text);
  else
    g_free (text);
}

// After a restore of the store, the object may be gone or older, and its version may mean another
// content. It is read and, if it differs, written at once, since a daemon that starts now needs it.
static void
forget_object (BjSeeds *s)
{
  g_clear_pointer (&s->stored_list, g_free);
  s->is_absent = false;
  s->next_read = 0;
  s->next_write = 0;
}

// Reads the object of a domain without known members, to find some. Returns true if it sent a
// request.
static bool
read_other_domain (BjSeeds *s, BjTime now)
{
  const BjSettings *settings = &s->daemon->settings;
  char *name;

  if (now < s->next_other_domain_read || settings->n_domains == 0 || !is_maintainer (s))
    return false;
  s->next_other_domain_read = now + OTHER_DOMAIN_INTERVAL_MS;
  for (int i = 0; i < settings->n_domains; i++)
    {
      BjStr domain = settings->domains[s->domain_index++ % settings->n_domains];

      if (bj_str_equal (domain, settings->domain) || knows_domain (s, domain))
        continue;
      name = g_strdup_printf ("members/%.*s", BJ_STR_ARG (domain));
      n_reads.value++;
      s->is_request_open = true;
      s->daemon->platform->ops->get (s->daemon->platform, name, on_other_domain_read, s);
      g_free (name);
      return true;
    }
  return false;
}

static void
on_other_domain_read (void *data, const BjPlatformReply *r)
{
  BjSeeds *s = data;
  struct json_object *list;

  s->is_request_open = false;
  if (r->code == BJ_OK && json_object_object_get_ex (r->spec, "gossip", &list)
      && json_object_is_type (list, json_type_array))
    add_seeds (s, list);
}

static bool
knows_domain (const BjSeeds *s, BjStr domain)
{
  const BjMember *m;

  for (guint i = 0; (m = bj_swim_member (s->swim, i)) != NULL; i++)
    if (!m->is_self && m->state <= BJ_MEMBER_SUSPECT && bj_str_equal (m->report.domain, domain))
      return true;
  return false;
}

static void
read_object (BjSeeds *s)
{
  const BjPlatformOps *ops = s->daemon->platform->ops;

  n_reads.value++;
  s->is_request_open = true;
  ops->get (s->daemon->platform, s->name, on_read, s);
}

static void
on_read (void *data, const BjPlatformReply *r)
{
  BjSeeds *s = data;
  struct json_object *list;

  s->is_request_open = false;
  s->is_absent = r->code == BJ_E_NOT_FOUND;
  if (r->code != BJ_OK || !json_object_object_get_ex (r->spec, "gossip", &list)
      || !json_object_is_type (list, json_type_array))
    return;
  bj_str_set (&s->version, r->version);
  g_free (s->stored_list);
  s->stored_list = g_strdup (json_object_to_json_string_ext (list, JSON_C_TO_STRING_PLAIN));
  add_seeds (s, list);
}

static void
add_seeds (BjSeeds *s, struct json_object *list)
{
  for (size_t i = 0; i < MIN (json_object_array_length (list), OBJECT_MEMBERS_MAX); i++)
    {
      const char *text = json_object_get_string (json_object_array_get_idx (list, i));
      const char *colon = text != NULL ? strrchr (text, ':') : NULL;
      int64_t port = 0;

      if (colon != NULL && bj_str_int (bj_str (colon + 1), &port) && port > 0 && port < 65536)
        bj_swim_add_seed (s->swim, (BjStr){ text, (size_t)(colon - text) }, (int)port);
    }
}

static void
write_object (BjSeeds *s, char *text)
{
  const BjPlatformOps *ops = s->daemon->platform->ops;
  struct json_object *spec = json_object_new_object ();
  BjStr version = s->is_absent ? BJ_STR_NULL : s->version;

  n_writes.value++;
  json_object_object_add (spec, "gossip", json_tokener_parse (text));
  json_object_object_add (spec,
                          "writer",
                          json_object_new_string_len (s->daemon->settings.name.data,
                                                      (int)s->daemon->settings.name.len));
  s->next_write = bj_clock_now () + WRITE_INTERVAL_MS;
  s->is_request_open = true;
  g_free (s->stored_list);
  s->stored_list = text;
  ops->put (s->daemon->platform, s->name, spec, version, on_written, s);
  json_object_put (spec);
}

// After a version conflict or a failed request the object is read again before the next write.
static void
on_written (void *data, const BjPlatformReply *r)
{
  BjSeeds *s = data;

  s->is_request_open = false;
  s->is_absent = false;
  if (r->code == BJ_OK)
    {
      bj_str_set (&s->version, r->version);
      return;
    }
  g_free (s->stored_list);
  s->stored_list = NULL;
  s->next_read = bj_clock_now () + g_random_double_range (0, CONFLICT_PAUSE_MAX_MS);
  s->next_write = s->next_read + g_random_double_range (0, CONFLICT_PAUSE_MAX_MS);
}

// One of the first members whose requests the store does not reject, or of the first ones if it
// rejects all.
static bool
is_maintainer (const BjSeeds *s)
{
  GArray *own_domain = rank_members (s, true);
  bool found = false;
  guint n_able = 0;

  for (guint i = 0; i < own_domain->len && !found && n_able < MAINTAINERS; i++)
    {
      const BjMember *m = g_array_index (own_domain, RankedMember, i).member;

      found = m->is_self && (i < MAINTAINERS || m->report.store_access != BJ_STORE_FAILS);
      n_able += m->report.store_access != BJ_STORE_FAILS;
    }
  g_array_free (own_domain, TRUE);
  return found;
}

static char *
format_list (const BjSeeds *s)
{
  struct json_object *list = json_object_new_array ();
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  char *text;

  for (int own_domain = 1; own_domain >= 0; own_domain--)
    {
      GArray *ranked = rank_members (s, own_domain != 0);

      for (guint i = 0;
           i < MIN (ranked->len, own_domain != 0 ? LISTED_OWN_DOMAIN : LISTED_OTHER_DOMAINS);
           i++)
        {
          const BjPeerReport *r = &g_array_index (ranked, RankedMember, i).member->report;

          g_ptr_array_add (
              addresses, g_strdup_printf ("%.*s:%d", BJ_STR_ARG (r->gossip_host), r->gossip_port));
        }
      g_array_free (ranked, TRUE);
    }
  g_ptr_array_sort (addresses, compare_text);
  for (guint i = 0; i < addresses->len; i++)
    json_object_array_add (list, json_object_new_string (addresses->pdata[i]));
  g_ptr_array_free (addresses, TRUE);
  text = g_strdup (json_object_to_json_string_ext (list, JSON_C_TO_STRING_PLAIN));
  json_object_put (list);
  return text;
}

// Rendezvous hash: all members compute the same ranking, so only the first few maintain the object.
// These also read the configuration, so their watch tells them soon that the store was restored.
// Returns the members of the own domain, or of all others.
static GArray *
rank_members (const BjSeeds *s, bool own_domain)
{
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (RankedMember));
  const BjMember *m;

  for (guint i = 0; (m = bj_swim_member (s->swim, i)) != NULL; i++)
    {
      RankedMember r = { .rank = bj_reader_rank (m->report.name, m->report.domain), .member = m };

      if (m->state <= BJ_MEMBER_SUSPECT
          && own_domain == bj_str_equal (m->report.domain, s->daemon->settings.domain))
        g_array_append_val (ranked, r);
    }
  g_array_sort (ranked, compare_rank);
  return ranked;
}

static gint
compare_rank (gconstpointer a, gconstpointer b)
{
  uint64_t x = ((const RankedMember *)a)->rank;
  uint64_t y = ((const RankedMember *)b)->rank;

  return x > y ? -1 : x < y;
}

static gint
compare_text (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}
