// Seeds: the object members/<domain> in the platform's store, through which a daemon finds the
// others when the seeds of its settings are dead. A few members of the domain keep it.

#include "internal.h"
#include <ev.h>
#include <stdio.h>
#include <string.h>

#define KEEPERS 2          // members of a domain that keep its object
#define LISTED_NEAR 8      // members of the domain in the object
#define LISTED_FAR 8       // members of other domains in the object
#define LOOK_MS 250        // between two looks at the members
#define READ_ALONE_MS 1000 // between two reads while nobody else is known, doubles
#define READ_MAX_MS 16000  // longest time between two reads while nobody else is known
#define CHECK_MS 60000     // between two reads of a keeper
#define WRITE_MS 3000      // between two writes of a keeper
#define CONFLICT_MS 500    // longest pause after a lost race or a failed call
#define FAR_MS 1000        // between two reads of the object of a domain without known members
#define DOCUMENT_MAX 64    // members read from an object at most

struct BjSeeds
{
  BjDaemon *daemon;
  BjSwim *swim;
  ev_timer look;
  char *name;     // of the object
  char *known;    // text of its list as last read or written, NULL before
  BjStr version;  // of the object as last read
  bool is_absent; // the last read found none
  bool is_asking;
  BjTime next_read;
  BjTime next_write;
  double alone_ms; // wait before the next read while alone
  BjTime next_far;
  int far; // domain of the settings that is read next
};

typedef struct
{
  uint64_t rank;
  const BjMember *member;
} Ranked;

static void on_look (struct ev_loop *loop, ev_timer *w, int events);
static bool read_far (BjSeeds *s, BjTime now);
static void on_far_read (void *data, const BjPlatformReply *r);
static bool knows_domain (const BjSeeds *s, BjStr domain);
static void read_object (BjSeeds *s);
static void on_read (void *data, const BjPlatformReply *r);
static void take_list (BjSeeds *s, struct json_object *list);
static void write_object (BjSeeds *s, char *text);
static void on_written (void *data, const BjPlatformReply *r);
static bool is_keeper (const BjSeeds *s);
static char *list_text (const BjSeeds *s);
static GArray *rank_members (const BjSeeds *s, bool near);
static gint by_rank (gconstpointer a, gconstpointer b);
static gint by_name (gconstpointer a, gconstpointer b);

static BjCounter n_reads = { "member_object_reads_total", "Reads of members objects.", 0 };
static BjCounter n_writes = { "member_object_writes_total", "Writes of members objects.", 0 };

BjSeeds *
bj_seeds_new (BjDaemon *d, BjSwim *swim)
{
  BjSeeds *s = g_new0 (BjSeeds, 1);

  bj_metric_register (&n_reads);
  bj_metric_register (&n_writes);
  s->daemon = d;
  s->swim = swim;
  s->name = g_strdup_printf ("members/%.*s", BJ_STR_ARG (d->settings.domain));
  s->alone_ms = READ_ALONE_MS;
  ev_timer_init (&s->look, on_look, 0, LOOK_MS / 1000.0);
  s->look.data = s;
  ev_timer_start (d->loop, &s->look);
  return s;
}

void
bj_seeds_free (BjSeeds *s)
{
  if (s == NULL)
    return;
  ev_timer_stop (s->daemon->loop, &s->look);
  if (s->is_asking)
    s->daemon->platform->ops->forget (s->daemon->platform, s);
  bj_str_free (&s->version);
  g_free (s->known);
  g_free (s->name);
  g_free (s);
}

static void
on_look (struct ev_loop *loop, ev_timer *w, int events)
{
  BjSeeds *s = w->data;
  BjTime now = bj_clock_now ();
  bool is_alone = !knows_domain (s, s->daemon->settings.domain);
  char *text;

  (void)loop;
  (void)events;
  if (s->is_asking || s->daemon->platform == NULL || s->daemon->stopping)
    return;
  if (now >= s->next_read && (is_alone || is_keeper (s)))
    {
      s->next_read = now + (is_alone ? s->alone_ms : CHECK_MS);
      s->alone_ms = MIN (READ_MAX_MS, 2 * s->alone_ms);
      read_object (s);
      return;
    }
  if (read_far (s, now) || now < s->next_write || (s->known == NULL && !s->is_absent)
      || !is_keeper (s))
    return;
  text = list_text (s);
  if (s->known == NULL || strcmp (text, s->known) != 0)
    write_object (s, text);
  else
    g_free (text);
}

// A domain nobody of which is known may be found through its own object.
static bool
read_far (BjSeeds *s, BjTime now)
{
  const BjSettings *settings = &s->daemon->settings;
  char *name;

  if (now < s->next_far || settings->n_domains == 0 || !is_keeper (s))
    return false;
  s->next_far = now + FAR_MS;
  for (int i = 0; i < settings->n_domains; i++)
    {
      BjStr domain = settings->domains[s->far++ % settings->n_domains];

      if (bj_str_equal (domain, settings->domain) || knows_domain (s, domain))
        continue;
      name = g_strdup_printf ("members/%.*s", BJ_STR_ARG (domain));
      n_reads.value++;
      s->is_asking = true;
      s->daemon->platform->ops->get (s->daemon->platform, name, on_far_read, s);
      g_free (name);
      return true;
    }
  return false;
}

static void
on_far_read (void *data, const BjPlatformReply *r)
{
  BjSeeds *s = data;
  struct json_object *list;

  s->is_asking = false;
  if (r->code == BJ_OK && json_object_object_get_ex (r->spec, "gossip", &list)
      && json_object_is_type (list, json_type_array))
    take_list (s, list);
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
  s->is_asking = true;
  ops->get (s->daemon->platform, s->name, on_read, s);
}

static void
on_read (void *data, const BjPlatformReply *r)
{
  BjSeeds *s = data;
  struct json_object *list;

  s->is_asking = false;
  s->is_absent = r->code == BJ_E_NOT_FOUND;
  if (r->code != BJ_OK || !json_object_object_get_ex (r->spec, "gossip", &list)
      || !json_object_is_type (list, json_type_array))
    return;
  bj_str_set (&s->version, r->version);
  g_free (s->known);
  s->known = g_strdup (json_object_to_json_string_ext (list, JSON_C_TO_STRING_PLAIN));
  take_list (s, list);
}

static void
take_list (BjSeeds *s, struct json_object *list)
{
  for (size_t i = 0; i < MIN (json_object_array_length (list), DOCUMENT_MAX); i++)
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
  s->next_write = bj_clock_now () + WRITE_MS;
  s->is_asking = true;
  g_free (s->known);
  s->known = text;
  ops->put (s->daemon->platform, s->name, spec, version, on_written, s);
  json_object_put (spec);
}

// After a lost race or a lost answer the object is read again before anything else is written.
static void
on_written (void *data, const BjPlatformReply *r)
{
  BjSeeds *s = data;

  s->is_asking = false;
  s->is_absent = false;
  if (r->code == BJ_OK)
    {
      bj_str_set (&s->version, r->version);
      return;
    }
  g_free (s->known);
  s->known = NULL;
  s->next_read = bj_clock_now () + g_random_double_range (0, CONFLICT_MS);
  s->next_write = s->next_read + g_random_double_range (0, CONFLICT_MS);
}

static bool
is_keeper (const BjSeeds *s)
{
  GArray *near = rank_members (s, true);
  bool found = false;

  for (guint i = 0; i < MIN (near->len, KEEPERS); i++)
    found = found || g_array_index (near, Ranked, i).member->is_self;
  g_array_free (near, TRUE);
  return found;
}

static char *
list_text (const BjSeeds *s)
{
  struct json_object *list = json_object_new_array ();
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  char *text;

  for (int near = 1; near >= 0; near--)
    {
      GArray *ranked = rank_members (s, near != 0);

      for (guint i = 0; i < MIN (ranked->len, near != 0 ? LISTED_NEAR : LISTED_FAR); i++)
        {
          const BjPeerReport *r = &g_array_index (ranked, Ranked, i).member->report;

          g_ptr_array_add (
              texts, g_strdup_printf ("%.*s:%d", BJ_STR_ARG (r->gossip_host), r->gossip_port));
        }
      g_array_free (ranked, TRUE);
    }
  g_ptr_array_sort (texts, by_name);
  for (guint i = 0; i < texts->len; i++)
    json_object_array_add (list, json_object_new_string (texts->pdata[i]));
  g_ptr_array_free (texts, TRUE);
  text = g_strdup (json_object_to_json_string_ext (list, JSON_C_TO_STRING_PLAIN));
  json_object_put (list);
  return text;
}

// Rendezvous hash: every member ranks the others the same way, so that few of them write.
static GArray *
rank_members (const BjSeeds *s, bool near)
{
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (Ranked));
  const BjMember *m;

  for (guint i = 0; (m = bj_swim_member (s->swim, i)) != NULL; i++)
    {
      Ranked r = { .rank = bj_str_hash (m->report.name), .member = m };

      if (m->state <= BJ_MEMBER_SUSPECT
          && near == bj_str_equal (m->report.domain, s->daemon->settings.domain))
        g_array_append_val (ranked, r);
    }
  g_array_sort (ranked, by_rank);
  return ranked;
}

static gint
by_rank (gconstpointer a, gconstpointer b)
{
  uint64_t x = ((const Ranked *)a)->rank;
  uint64_t y = ((const Ranked *)b)->rank;

  return x < y ? -1 : x > y;
}

static gint
by_name (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}
