// Daemons whose readers the store rejects or leaves without an answer while it serves the others
// and the operator: the daemons that it serves have each configuration in force in time.

#include "daemons.h"
#include "kernel.h"
#include "server.h"
#include <curl/curl.h>
#include <ev.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define DAEMONS_MAX 8
#define APPLY_MS 2500          // until a configuration is in force at all daemons in touch
#define CONTACT_MS 4000        // after the end of a fault, until daemons are in touch again
#define SETTLE_MS 8000         // until the daemons know each other and the first configuration
#define CHANGE_INTERVAL_MS 500 // between two changes while the daemons settle
#define MAINTAIN_MS 5000       // until another daemon maintains the members object
#define GIVE_BACK_MS 5000      // after a refusal, until only the readers by rank watch
#define READERS BJ_READERS_PER_DOMAIN

// What the store does with the requests of one daemon.
typedef enum
{
  SERVED,
  BUSY,    // 503
  LIMITED, // 429
  RESET,   // the connection closes
  SILENT,  // no response, also not later
} Treatment;

typedef struct Store Store;

typedef struct
{
  Store *store;
  BjServer *server;
  int number; // on 127.0.0.1
  Treatment treatment;
  BjServerRequest *watch; // waiting, NULL if none
  int64_t from;           // revision of that watch
  ev_timer timer;         // until it ends without a change
  bool is_lost;           // it gets no response
  int n_member_writes;
} Port;

// Of a list with another object before the configuration.
static const char first_page[] = "{\"items\":[{\"metadata\":{\"name\":\"a b\",\"revision\":1},"
                                 "\"spec\":{}}],\"hasMore\":true,\"storeRevision\":1}";

struct Store
{
  bool is_paged;
  struct ev_loop *loop;
  ev_prepare prepare;
  int64_t revision; // and number of the configuration
  Port ports[DAEMONS_MAX];
  int n_ports;
};

typedef struct
{
  const char *name;
  Treatment treatment;
  int n_daemons;
  int n_domains;
  int n_rejected;   // daemons of each domain, those with the highest rank
  double before_ms; // from then to the change
} RefusalCase;

static const RefusalCase refusal_cases[] = {
  { "both readers get 503", BUSY, 4, 1, 2, 0 },
  { "both readers get 429", LIMITED, 4, 1, 2, 0 },
  { "both readers are reset", RESET, 4, 1, 2, 0 },
  { "both readers get no response", SILENT, 4, 1, 2, 0 },
  { "both readers have had no response for a second", SILENT, 4, 1, 2, 1000 },
  { "all but one get 503", BUSY, 8, 1, 7, 0 },
  { "all but two get no response", SILENT, 8, 1, 6, 0 },
  { "the readers of both domains get 503", BUSY, 8, 2, 2, 0 },
  { "the readers of both domains get no response", SILENT, 8, 2, 2, 0 },
  { "all of one domain, the readers of the other get no response", SILENT, 8, 2, 4, 0 },
};

static void
send_response (BjServerRequest *c, int status, const char *body)
{
  bj_server_begin (c, status, BJ_STR ("Store-Era: 1\r\n"), (int64_t)strlen (body));
  bj_server_data (c, bj_str (body));
  bj_server_end (c, true);
}

static void
send_config (Port *p, BjServerRequest *c, bool is_event)
{
  char *body = g_strdup_printf (
      "{\"%s\":[%s{\"metadata\":{\"name\":\"main\",\"revision\":%" G_GINT64_FORMAT
      "},\"spec\":{\"version\":\"r%" G_GINT64_FORMAT
      "\",\"routes\":{\"columns\":[\"host\",\"pathPrefix\",\"kind\",\"service\"],\"rows\":[[\"h\","
      "\"/s/"
      "\",\"idempotent\",\"s\"]]},\"services\":{\"columns\":[\"name\"],\"rows\":[[\"s\"]]}}}%s]"
      ",\"hasMore\":false,\"storeRevision\":%" G_GINT64_FORMAT "}",
      is_event ? "events" : "items",
      is_event ? "{\"deleted\":false,\"object\":" : "",
      p->store->revision,
      p->store->revision,
      is_event ? "}" : "",
      p->store->revision);

  send_response (c, 200, body);
  g_free (body);
}

// Returns true if the request gets its answer from the store.
static bool
treat (Port *p, BjServerRequest *c)
{
  switch (p->treatment)
    {
    case SERVED:
      return true;
    case BUSY:
      send_response (c, 503, "{}");
      return false;
    case LIMITED:
      send_response (c, 429, "{}");
      return false;
    case RESET:
      bj_server_end (c, false);
      return false;
    case SILENT:
      bj_server_set_call (c, NULL);
      return false;
    }
  return false;
}

// Ends a watch without a change.
static void
on_wait_over (struct ev_loop *loop, ev_timer *w, int events)
{
  Port *p = w->data;
  BjServerRequest *c = p->watch;
  char body[96];

  (void)loop;
  (void)events;
  if (c == NULL || p->is_lost)
    return;
  p->watch = NULL;
  bj_server_set_call (c, NULL);
  g_snprintf (body,
              sizeof body,
              "{\"events\":[],\"hasMore\":false,\"storeRevision\":%" G_GINT64_FORMAT "}",
              p->store->revision);
  send_response (c, 200, body);
}

static void
on_request (void *data, BjServerRequest *c, const BjHead *h, BjStr body)
{
  Port *p = data;
  BjStr prefix = BJ_STR ("/objects/config?watch=");
  char *end;
  double wait_ms;
  int64_t from;

  (void)body;
  if (!treat (p, c))
    return;
  if (bj_str_starts (h->path, BJ_STR ("/objects/members")))
    {
      p->n_member_writes += !bj_str_equal (h->method, BJ_STR ("GET"));
      send_response (
          c, 200, "{\"metadata\":{\"name\":\"a\",\"revision\":1},\"spec\":{\"gossip\":[]}}");
      return;
    }
  if (!bj_str_starts (h->path, prefix))
    {
      if (p->store->is_paged && bj_str_equal (h->path, BJ_STR ("/objects/config")))
        send_response (c, 200, first_page);
      else
        send_config (p, c, false);
      return;
    }
  from = g_ascii_strtoll (h->path.data + prefix.len, &end, 10);
  wait_ms = g_ascii_strtod (end + strlen ("&waitMs="), NULL);
  if (from < p->store->revision)
    {
      send_config (p, c, true);
      return;
    }
  p->watch = c;
  p->from = from;
  p->is_lost = false;
  bj_server_set_call (c, p);
  ev_timer_stop (p->store->loop, &p->timer);
  ev_timer_set (&p->timer, wait_ms / 1000.0, 0);
  ev_timer_start (p->store->loop, &p->timer);
}

static void
on_disconnected (void *call)
{
  ((Port *)call)->watch = NULL;
}

static void
on_drained (void *call, size_t n)
{
  (void)call;
  (void)n;
}

static const BjServerOps store_ops
    = { .request = on_request, .disconnected = on_disconnected, .drained = on_drained };

static void
flush_store (struct ev_loop *loop, ev_prepare *w, int events)
{
  Store *s = w->data;

  (void)loop;
  (void)events;
  for (int i = 0; i < s->n_ports; i++)
    bj_server_flush (s->ports[i].server);
}

static void
open_store (Store *s, struct ev_loop *loop, int n_ports)
{
  *s = (Store){ .loop = loop, .revision = 1, .n_ports = n_ports };
  for (int i = 0; i < n_ports; i++)
    {
      s->ports[i].store = s;
      s->ports[i].number = daemons_free_address ().port;
      ev_timer_init (&s->ports[i].timer, on_wait_over, 0, 0);
      s->ports[i].timer.data = &s->ports[i];
      assert_int_equal (bj_server_new (loop,
                                       "store",
                                       (BjAddress){ BJ_STR ("127.0.0.1"), s->ports[i].number },
                                       &store_ops,
                                       &s->ports[i],
                                       &s->ports[i].server),
                        BJ_OK);
    }
  ev_prepare_init (&s->prepare, flush_store);
  s->prepare.data = s;
  ev_prepare_start (loop, &s->prepare);
}

static void
close_store (Store *s)
{
  ev_prepare_stop (s->loop, &s->prepare);
  for (int i = 0; i < s->n_ports; i++)
    {
      ev_timer_stop (s->loop, &s->ports[i].timer);
      bj_server_free (s->ports[i].server);
    }
}

static void
set_treatment (Port *p, Treatment t)
{
  BjServerRequest *watch = p->watch;

  p->treatment = t;
  if (watch == NULL || t == SERVED)
    return;
  p->watch = NULL;
  bj_server_set_call (watch, NULL);
  treat (p, watch);
}

// The operator writes a configuration; waiting watches get an event.
static void
write_config (Store *s)
{
  s->revision++;
  for (int i = 0; i < s->n_ports; i++)
    {
      BjServerRequest *watch = s->ports[i].watch;

      if (watch == NULL || s->ports[i].is_lost)
        continue;
      s->ports[i].watch = NULL;
      bj_server_set_call (watch, NULL);
      send_config (&s->ports[i], watch, true);
    }
}

// Daemons in order of rank: a lower index has a higher rank among those of its domain.
static void
start_daemons (struct ev_loop *loop, const Store *s, BjDaemon **all, int n_domains)
{
  static const char *const domains[] = { "a", "b" };
  static char names[DAEMONS_MAX][8];
  int n = s->n_ports;
  int next = 0;

  for (int i = 0; i < n; i++)
    {
      BjStr domain = bj_str (domains[i * n_domains / n]);
      bool is_first = i == 0 || i * n_domains / n != (i - 1) * n_domains / n;
      uint64_t above = is_first ? UINT64_MAX : bj_reader_rank (bj_str (names[i - 1]), domain);
      char url[64];

      // Each name ranks below the one before it, in steps that leave room for all.
      do
        g_snprintf (names[i], sizeof names[i], "n%d", next++);
      while (bj_reader_rank (bj_str (names[i]), domain) >= above
             || bj_reader_rank (bj_str (names[i]), domain) < above - above / 4);
      g_snprintf (url, sizeof url, "http://127.0.0.1:%d", s->ports[i].number);
      all[i] = daemons_new (loop,
                            (BjSettings){ .name = bj_str (names[i]),
                                          .domain = domain,
                                          .seeds = i > 0 ? &all[0]->settings.gossip : NULL,
                                          .n_seeds = i > 0 ? 1 : 0,
                                          .platform_name = BJ_STR ("objects"),
                                          .platform_url = bj_str (url),
                                          .dialect = BJ_STR ("platform") });
    }
}

static void
run_for (struct ev_loop *loop, double ms)
{
  for (BjTime until = bj_clock_now () + ms; bj_clock_now () < until;)
    ev_run (loop, EVRUN_ONCE);
}

static bool
have_in_force (BjDaemon **all, int n, int64_t number)
{
  for (int i = 0; i < n; i++)
    if (daemons_config_number (all[i]) < number)
      return false;
  return true;
}

// True if the first by rank of each domain watch and no others.
static bool
is_watched_by_rank (const Store *s, int n_domains)
{
  int per_domain = s->n_ports / n_domains;

  for (int i = 0; i < s->n_ports; i++)
    if ((s->ports[i].watch != NULL) != (i % per_domain < READERS))
      return false;
  return true;
}

static void
run_until_settled (struct ev_loop *loop, Store *s, BjDaemon **all, int n_domains)
{
  BjTime until = bj_clock_now () + SETTLE_MS;
  BjTime next_write = 0;
  bool is_acquainted = false;

  while (!is_acquainted || !have_in_force (all, s->n_ports, s->revision)
         || !is_watched_by_rank (s, n_domains))
    {
      if (bj_clock_now () > until)
        fail_msg ("not settled after %d ms", SETTLE_MS);
      ev_run (loop, EVRUN_ONCE);
      is_acquainted = have_in_force (all, s->n_ports, s->revision);
      for (int i = 0; i < s->n_ports; i++)
        is_acquainted
            = is_acquainted && g_hash_table_size (all[i]->kernel->peers) == (guint)s->n_ports;
      // Ends the watches of daemons that were readers before they knew the others.
      if (is_acquainted && bj_clock_now () >= next_write)
        {
          write_config (s);
          next_write = bj_clock_now () + CHANGE_INTERVAL_MS;
        }
    }
}

// Prints the time until all daemons have the newest configuration in force; returns false if that
// takes too long.
static bool
check_in_force (struct ev_loop *loop, const Store *s, BjDaemon **all, int n, const char *name)
{
  BjTime began = bj_clock_now ();
  bool is_in_time;

  while (!have_in_force (all, n, s->revision) && bj_clock_now () - began < APPLY_MS)
    ev_run (loop, EVRUN_ONCE);
  is_in_time = have_in_force (all, n, s->revision);
  print_message ("  %s: %.0f ms%s\n",
                 name,
                 bj_clock_now () - began,
                 is_in_time ? "" : " and not in force everywhere");
  return is_in_time;
}

static void
free_daemons (BjDaemon **all, int n)
{
  for (int i = 0; i < n; i++)
    bj_daemon_free (all[i]);
}

static bool
run_refusal_case (const RefusalCase *c)
{
  struct ev_loop *loop = ev_loop_new (0);
  int per_domain = c->n_daemons / c->n_domains;
  BjDaemon *all[DAEMONS_MAX] = { 0 };
  bool is_in_time;
  Store s;

  open_store (&s, loop, c->n_daemons);
  start_daemons (loop, &s, all, c->n_domains);
  run_until_settled (loop, &s, all, c->n_domains);
  for (int i = 0; i < c->n_daemons; i++)
    if (i % per_domain < (i < per_domain || c->n_rejected < per_domain ? c->n_rejected : READERS))
      set_treatment (&s.ports[i], c->treatment);
  run_for (loop, c->before_ms);
  write_config (&s);
  is_in_time = check_in_force (loop, &s, all, c->n_daemons, c->name);
  // A second change meets the daemons that took over.
  run_for (loop, APPLY_MS);
  write_config (&s);
  is_in_time = check_in_force (loop, &s, all, c->n_daemons, "  next change") && is_in_time;
  free_daemons (all, c->n_daemons);
  close_store (&s);
  ev_loop_destroy (loop);
  return is_in_time;
}

static void
test_readers_rejected_by_the_store (void **state)
{
  bool are_in_time = true;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (refusal_cases); i++)
    are_in_time = run_refusal_case (&refusal_cases[i]) && are_in_time;
  assert_true (are_in_time);
}

// The connections of all watches go silent for good, new ones work.
static void
test_all_watches_silent (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjDaemon *all[3] = { 0 };
  bool is_in_time;
  Store s;

  (void)state;
  open_store (&s, loop, G_N_ELEMENTS (all));
  start_daemons (loop, &s, all, 1);
  run_until_settled (loop, &s, all, 1);
  for (int i = 0; i < s.n_ports; i++)
    s.ports[i].is_lost = true;
  write_config (&s);
  run_for (loop, CONTACT_MS - APPLY_MS);
  is_in_time = check_in_force (loop, &s, all, G_N_ELEMENTS (all), "all watches are silent");
  free_daemons (all, G_N_ELEMENTS (all));
  close_store (&s);
  ev_loop_destroy (loop);
  assert_true (is_in_time);
}

// All daemons that watch the store end without notice at the moment of a change.
static void
test_all_readers_lost_at_once (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjDaemon *all[DAEMONS_MAX] = { 0 };
  BjDaemon *left[DAEMONS_MAX] = { 0 };
  int per_domain = DAEMONS_MAX / 2;
  int n_left = 0;
  bool is_in_time;
  Store s;

  (void)state;
  open_store (&s, loop, DAEMONS_MAX);
  start_daemons (loop, &s, all, 2);
  run_until_settled (loop, &s, all, 2);
  for (int i = 0; i < DAEMONS_MAX; i++)
    if (i % per_domain < READERS)
      bj_daemon_free (all[i]);
    else
      left[n_left++] = all[i];
  write_config (&s);
  is_in_time = check_in_force (loop, &s, left, n_left, "all readers are lost");
  free_daemons (left, n_left);
  close_store (&s);
  ev_loop_destroy (loop);
  assert_true (is_in_time);
}

// The stand-in's members object never lists anybody, so each maintainer writes it.
static void
test_members_object_while_its_maintainers_are_rejected (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjDaemon *all[4] = { 0 };
  BjTime until;
  Store s;

  (void)state;
  open_store (&s, loop, G_N_ELEMENTS (all));
  start_daemons (loop, &s, all, 1);
  run_until_settled (loop, &s, all, 1);
  for (int i = 0; i < READERS; i++)
    set_treatment (&s.ports[i], BUSY);
  s.ports[READERS].n_member_writes = 0;
  until = bj_clock_now () + MAINTAIN_MS;
  while (bj_clock_now () < until && s.ports[READERS].n_member_writes == 0)
    ev_run (loop, EVRUN_ONCE);
  assert_true (s.ports[READERS].n_member_writes > 0);
  free_daemons (all, G_N_ELEMENTS (all));
  close_store (&s);
  ev_loop_destroy (loop);
}

static void
test_configuration_on_a_later_page (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjDaemon *d;
  Store s;

  (void)state;
  open_store (&s, loop, 1);
  s.is_paged = true;
  start_daemons (loop, &s, &d, 1);
  assert_true (check_in_force (loop, &s, &d, 1, "the list has two pages"));
  write_config (&s);
  assert_true (check_in_force (loop, &s, &d, 1, "change after it"));
  bj_daemon_free (d);
  close_store (&s);
  ev_loop_destroy (loop);
}

static void
test_role_is_given_back (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjDaemon *all[6] = { 0 };
  BjTime until;
  Store s;

  (void)state;
  open_store (&s, loop, G_N_ELEMENTS (all));
  start_daemons (loop, &s, all, 1);
  run_until_settled (loop, &s, all, 1);
  for (int i = 0; i < READERS; i++)
    set_treatment (&s.ports[i], BUSY);
  run_for (loop, APPLY_MS);
  for (int i = 0; i < READERS; i++)
    set_treatment (&s.ports[i], SERVED);
  until = bj_clock_now () + GIVE_BACK_MS;
  while (bj_clock_now () < until && !is_watched_by_rank (&s, 1))
    ev_run (loop, EVRUN_ONCE);
  assert_true (is_watched_by_rank (&s, 1));
  free_daemons (all, G_N_ELEMENTS (all));
  close_store (&s);
  ev_loop_destroy (loop);
}

static uint64_t
count_fetches (void)
{
  GString *text = g_string_new (NULL);
  uint64_t n;

  bj_metric_print (text);
  n = g_ascii_strtoull (strstr (text->str, "\nbj_reader_fetches_total ")
                            + strlen ("\nbj_reader_fetches_total "),
                        NULL,
                        10);
  g_string_free (text, TRUE);
  return n;
}

static void
test_other_holders_are_asked_after_a_damaged_copy (void **state)
{
  static const struct
  {
    const char *name;
    const char *copy;
  } cases[] = {
    { "no JSON", "{\"number\":2" },
    { "an older configuration under the new number", "{\"number\":1}" },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct ev_loop *loop = ev_loop_new (0);
      BjDaemon *d = daemons_new (loop,
                                 (BjSettings){ .platform_name = BJ_STR ("memory"),
                                               .platform_url = bj_str (cases[i].name),
                                               .dialect = BJ_STR ("platform") });
      BjStr names[] = { BJ_STR ("damaged"), BJ_STR ("sound") };
      BjFrame part = { .kind = BJ_FRAME_CONFIG_PART, .id = 2, .data = bj_str (cases[i].copy) };
      uint64_t n_fetches;

      part.length = part.data.len;
      for (size_t n = 0; n < G_N_ELEMENTS (names); n++)
        bj_kernel_update_peer (d->kernel,
                               bj_clock_now (),
                               &(BjPeerReport){ .name = names[n],
                                                .domain = BJ_STR ("a"),
                                                .region = BJ_STR ("r"),
                                                .host = BJ_STR ("127.0.0.1"),
                                                .link_port = daemons_free_address ().port,
                                                .config_number = 2 });
      assert_true (bj_reader_take_part (d->reader, names[0], &part));
      n_fetches = count_fetches ();
      run_for (loop, 2.0 * BJ_FETCH_RETRY_MS);
      print_message ("  %s: %d more fetches\n", cases[i].name, (int)(count_fetches () - n_fetches));
      assert_true (count_fetches () > n_fetches);
      assert_true (count_fetches () - n_fetches < 10);
      part.data = BJ_STR ("{\"number\":2}");
      part.length = part.data.len;
      assert_true (bj_reader_take_part (d->reader, names[1], &part));
      assert_int_equal (daemons_config_number (d), 2);
      bj_daemon_free (d);
      ev_loop_destroy (loop);
    }
}

// Makes two peers, one in the domain of the daemon, report this configuration.
static void
report_holders (BjDaemon *d, const int *ports, int64_t number)
{
  static const char *const domains[] = { "a", "b" };

  for (size_t i = 0; i < G_N_ELEMENTS (domains); i++)
    bj_kernel_update_peer (d->kernel,
                           bj_clock_now (),
                           &(BjPeerReport){ .name = bj_str (domains[i]),
                                            .domain = bj_str (domains[i]),
                                            .region = BJ_STR ("r"),
                                            .host = BJ_STR ("127.0.0.1"),
                                            .link_port = ports[i],
                                            .load_version = (uint64_t)number,
                                            .config_number = number });
}

// While a series of configurations comes, the near holder sends one and then nothing more.
static void
test_near_holder_is_preferred_while_it_sends (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjDaemon *d = daemons_new (loop,
                             (BjSettings){ .platform_name = BJ_STR ("memory"),
                                           .platform_url = BJ_STR ("farther"),
                                           .dialect = BJ_STR ("platform") });
  BjFrame part = { .kind = BJ_FRAME_CONFIG_PART, .id = 2, .data = BJ_STR ("{\"number\":2}") };
  struct pollfd far = { .events = POLLIN };
  int near;
  int ports[] = { daemons_listen (&near), daemons_listen (&far.fd) };
  uint64_t n_fetches = count_fetches ();
  BjTime until;

  (void)state;
  report_holders (d, ports, 2);
  run_for (loop, 2.0 * BJ_READER_TICK_MS);
  assert_int_equal (count_fetches () - n_fetches, 1);
  report_holders (d, ports, 3);
  part.length = part.data.len;
  assert_true (bj_reader_take_part (d->reader, BJ_STR ("a"), &part));
  assert_int_equal (count_fetches () - n_fetches, 2);
  run_for (loop, BJ_READER_TICK_MS);
  assert_int_equal (poll (&far, 1, 0), 0);
  until = bj_clock_now () + APPLY_MS / 2.0;
  while (bj_clock_now () < until && poll (&far, 1, 0) == 0)
    ev_run (loop, EVRUN_ONCE);
  assert_true (far.revents & POLLIN);
  bj_daemon_free (d);
  close (near);
  close (far.fd);
  ev_loop_destroy (loop);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_readers_rejected_by_the_store),
    cmocka_unit_test (test_all_watches_silent),
    cmocka_unit_test (test_all_readers_lost_at_once),
    cmocka_unit_test (test_members_object_while_its_maintainers_are_rejected),
    cmocka_unit_test (test_configuration_on_a_later_page),
    cmocka_unit_test (test_role_is_given_back),
    cmocka_unit_test (test_other_holders_are_asked_after_a_damaged_copy),
    cmocka_unit_test (test_near_holder_is_preferred_while_it_sends),
  };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  bj_log_open (BJ_LOG_ERROR);
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
