// The platform's store comes back from a copy some seconds old: what was written since is gone,
// and revisions are given out again. Guards against a daemon that goes on watching from a revision
// of the lost history and never sees what the operator writes again under it, against a
// configuration that goes back, and against a members object that stays lost.

#include "daemons.h"
#include "server.h"
#include <curl/curl.h>
#include <ev.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define SETTLE_MS 3000  // until the daemon has read the store and written its object
#define RESTORE_MS 2000 // until everything is there again after the restore
#define WATCHES_MAX 8
#define HOLDER_DELAY_MS 400 // before the holder of the newer configuration is heard
#define LATE_DELAY_S 0.3    // of a response from before the restore

typedef enum
{
  WATCH_REFUSED, // open watches get 410 at the restore
  WATCH_CUT,     // their connections close
  WATCH_HANGS,   // they get no response; another request shows the new era
} WatchEnd;

typedef struct
{
  const char *name;
  WatchEnd watch_end;
  int64_t rewritten; // number of the configuration that the operator writes after the restore
  int n_restores;
  bool is_late; // a response from before the restore arrives after it
} RestoreCase;

static const RestoreCase cases[] = {
  { "watch refused, a newer configuration under a lost revision", WATCH_REFUSED, 5, 1, false },
  { "watch cut, a newer configuration under a lost revision", WATCH_CUT, 5, 1, false },
  { "watch hangs, a newer configuration under a lost revision", WATCH_HANGS, 5, 1, false },
  { "the lost configuration is not written again", WATCH_REFUSED, 0, 1, false },
  { "restored twice", WATCH_CUT, 5, 2, false },
  { "a late response from before the restore", WATCH_CUT, 5, 1, true },
};

typedef struct
{
  int64_t number; // of the configuration, 0 if there is none
  int64_t config_revision;
  int64_t members_revision; // 0 if there is no members object
  int64_t revision;
} Content;

typedef struct
{
  struct ev_loop *loop;
  BjServer *server;
  Content now;
  Content copy;
  int64_t era;
  BjServerRequest *watches[WATCHES_MAX];
  int64_t from[WATCHES_MAX]; // revision of each watch
  int n_watches;
  ev_timer late;
  BjServerRequest *late_conn;
} Store;

static void
send_response (BjServerRequest *c, int status, int64_t era, const char *body)
{
  char *lines = g_strdup_printf ("Store-Era: %" G_GINT64_FORMAT "\r\n", era);

  bj_server_begin (c, status, bj_str (lines), (int64_t)strlen (body));
  bj_server_data (c, bj_str (body));
  bj_server_end (c, true);
  g_free (lines);
}

static char *
format_config (const Content *s)
{
  return g_strdup_printf (
      "{\"metadata\":{\"name\":\"main\",\"revision\":%" G_GINT64_FORMAT
      "},\"spec\":{\"version\":\"r%" G_GINT64_FORMAT
      "\",\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeoutS\","
      "\"objectiveS\",\"priority\",\"weightedServices\",\"maxAttempts\",\"service\"],\"rows\":[["
      "\"r-1\",\"h.example\",\"/s/\",\"idempotent\",1,1,0,null,2,\"s\"]]},\"services\":{"
      "\"columns\":[\"name\"],\"rows\":[[\"s\"]]}}}",
      s->config_revision,
      s->number);
}

static void
send_list (Store *s, BjServerRequest *c, const char *key)
{
  char *config = s->now.number > 0 ? format_config (&s->now) : g_strdup ("");
  bool is_event = strcmp (key, "events") == 0;
  char *body = g_strdup_printf (
      "{\"%s\":[%s%s%s],\"hasMore\":false,\"storeRevision\":%" G_GINT64_FORMAT "}",
      key,
      is_event ? "{\"deleted\":false,\"object\":" : "",
      config,
      is_event ? "}" : "",
      s->now.revision);

  send_response (c, 200, s->era, body);
  g_free (body);
  g_free (config);
}

static void
send_members (Store *s, BjServerRequest *c)
{
  char *body = g_strdup_printf ("{\"metadata\":{\"name\":\"a\",\"revision\":%" G_GINT64_FORMAT
                                "},\"spec\":{\"gossip\":[]}}",
                                s->now.members_revision);

  send_response (c, 200, s->era, body);
  g_free (body);
}

static void
on_request (void *data, BjServerRequest *c, const BjHead *h, BjStr body)
{
  Store *s = data;
  BjStr prefix = BJ_STR ("/objects/config?watch=");
  int64_t from = 0;

  (void)body;
  if (bj_str_starts (h->path, BJ_STR ("/objects/members")))
    {
      bool is_write = !bj_str_equal (h->method, BJ_STR ("GET"));

      if (is_write)
        s->now.members_revision = ++s->now.revision;
      if (s->now.members_revision == 0)
        send_response (c, 404, s->era, "{}");
      else
        send_members (s, c);
      return;
    }
  if (!bj_str_starts (h->path, prefix))
    {
      send_list (s, c, "items");
      return;
    }
  from = g_ascii_strtoll (h->path.data + prefix.len, NULL, 10);
  if (from > s->now.revision)
    send_response (c, 410, s->era, "{}");
  else if (from < s->now.config_revision)
    send_list (s, c, "events");
  else if (s->n_watches < WATCHES_MAX)
    {
      s->from[s->n_watches] = from;
      s->watches[s->n_watches++] = c;
      bj_server_set_call (c, s);
    }
}

static void
on_disconnected (void *call)
{
  (void)call;
}

static void
on_drained (void *call, size_t n)
{
  (void)call;
  (void)n;
}

static const BjServerOps store_ops
    = { .request = on_request, .disconnected = on_disconnected, .drained = on_drained };

// The operator writes a configuration; watches from before it get an event.
static void
write_config (Store *s, int64_t number)
{
  int n = s->n_watches;

  s->now.number = number;
  s->now.config_revision = ++s->now.revision;
  s->n_watches = 0;
  for (int i = 0; i < n; i++)
    if (s->from[i] < s->now.config_revision)
      send_list (s, s->watches[i], "events");
    else
      {
        s->from[s->n_watches] = s->from[i];
        s->watches[s->n_watches++] = s->watches[i];
      }
}

static void
on_late (struct ev_loop *loop, ev_timer *w, int events)
{
  Store *s = w->data;

  (void)loop;
  (void)events;
  send_response (s->late_conn, 200, s->era - 1, "{\"events\":[],\"storeRevision\":99}");
}

static void
restore (Store *s, const RestoreCase *c)
{
  s->now = s->copy;
  s->era++;
  for (int i = 0; i < s->n_watches; i++)
    if (c->is_late && i == 0)
      {
        s->late_conn = s->watches[0];
        ev_timer_set (&s->late, LATE_DELAY_S, 0);
        ev_timer_start (s->loop, &s->late);
      }
    else if (c->watch_end == WATCH_REFUSED)
      send_response (s->watches[i], 410, s->era, "{}");
    else if (c->watch_end == WATCH_CUT)
      bj_server_end (s->watches[i], false);
  s->n_watches = 0;
}

static void
flush_store (struct ev_loop *loop, ev_prepare *w, int events)
{
  (void)loop;
  (void)events;
  bj_server_flush (((Store *)w->data)->server);
}

static void
run_until (struct ev_loop *loop, const Store *s, const BjDaemon *d, int64_t number, double ms)
{
  BjTime until = bj_clock_now () + ms;

  while (bj_clock_now () < until
         && (daemons_config_number (d) != number || s->now.members_revision == 0))
    ev_run (loop, EVRUN_ONCE);
}

static void
run_case (const RestoreCase *c)
{
  struct ev_loop *loop = ev_loop_new (0);
  Store s = { .loop = loop, .era = 1, .now = { .number = 1, .config_revision = 1, .revision = 1 } };
  int64_t before = 4;
  int64_t expected = MAX (before, c->rewritten);
  BjAddress store_address = daemons_free_address ();
  ev_prepare prepare;
  char url[64];
  BjDaemon *d;

  assert_int_equal (bj_server_new (loop, "store", store_address, &store_ops, &s, &s.server), BJ_OK);
  ev_prepare_init (&prepare, flush_store);
  ev_timer_init (&s.late, on_late, 0, 0);
  prepare.data = &s;
  s.late.data = &s;
  ev_prepare_start (loop, &prepare);
  s.copy = s.now;
  g_snprintf (url, sizeof url, "http://127.0.0.1:%d", store_address.port);
  d = daemons_new (loop,
                   (BjSettings){ .platform_name = BJ_STR ("objects"),
                                 .platform_url = bj_str (url),
                                 .dialect = BJ_STR ("platform") });
  run_until (loop, &s, d, 1, SETTLE_MS);
  for (int64_t n = 2; n <= before; n++)
    {
      write_config (&s, n);
      run_until (loop, &s, d, n, SETTLE_MS);
    }
  assert_int_equal (daemons_config_number (d), before);
  assert_true (s.now.members_revision > 0);
  for (int i = 0; i < c->n_restores; i++)
    {
      for (BjTime until = bj_clock_now () + SETTLE_MS; s.n_watches == 0;)
        {
          assert_true (bj_clock_now () < until);
          ev_run (loop, EVRUN_ONCE);
        }
      restore (&s, c);
      // The operator's next write gets a revision that the daemon saw before the restore.
      if (c->rewritten > 0)
        write_config (&s, c->rewritten);
      // In place of the members object, other writes take up the lost revisions.
      s.now.revision += 2;
      run_until (loop, &s, d, expected, RESTORE_MS);
      if (daemons_config_number (d) != expected || s.now.members_revision == 0)
        fail_msg ("%s: configuration %" G_GINT64_FORMAT " in force, expected %" G_GINT64_FORMAT
                  ", members object at revision %" G_GINT64_FORMAT,
                  c->name,
                  daemons_config_number (d),
                  expected,
                  s.now.members_revision);
    }
  bj_daemon_free (d);
  ev_timer_stop (loop, &s.late);
  ev_prepare_stop (loop, &prepare);
  bj_server_free (s.server);
  ev_loop_destroy (loop);
}

static void
test_restore (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      print_message ("  %s\n", cases[i].name);
      run_case (&cases[i]);
    }
}

static void
on_config_written (void *data, const BjPlatformReply *r)
{
  *(BjStatus *)data = r->code;
}

// Writes a configuration of this number to the store of a daemon, as an operator's ticket would.
static void
store_config (struct ev_loop *loop, BjDaemon *d, const char *text)
{
  struct json_object *spec = json_tokener_parse (text);
  BjStatus code = BJ_E_PLATFORM;

  d->platform->ops->put (
      d->platform, "config/current", spec, BJ_STR_NULL, on_config_written, &code);
  while (code == BJ_E_PLATFORM)
    ev_run (loop, EVRUN_ONCE);
  assert_int_equal (code, BJ_OK);
  json_object_put (spec);
}

static BjDaemon *
start_with_store (struct ev_loop *loop, const char *name, BjDaemon *seed)
{
  return daemons_new (loop,
                      (BjSettings){ .name = bj_str (name),
                                    .seeds = seed != NULL ? &seed->settings.gossip : NULL,
                                    .n_seeds = seed != NULL ? 1 : 0,
                                    .platform_name = BJ_STR ("memory"),
                                    .platform_url = bj_str (name), // a store of its own
                                    .dialect = BJ_STR ("borage") });
}

// Two daemons restart at the same time, and each hears the other before it hears a third one.
static void
test_restarted_daemon_hears_restarted_peer_first (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjDaemon *other = start_with_store (loop, "other", NULL);
  BjDaemon *d = start_with_store (loop, "restarted", other);
  BjDaemon *holder = NULL;
  BjTime began = bj_clock_now ();

  (void)state;
  store_config (loop, d, "{\"number\":2,\"priorities\":[\"a\"]}");
  while (daemons_config_number (d) < 3)
    {
      if (bj_clock_now () - began > SETTLE_MS)
        fail_msg ("no configuration after %d ms", SETTLE_MS);
      if (daemons_config_number (d) != 0)
        fail_msg ("configuration %" G_GINT64_FORMAT " of the restored store after %.0f ms",
                  daemons_config_number (d),
                  bj_clock_now () - began);
      if (holder == NULL && bj_clock_now () - began > HOLDER_DELAY_MS)
        {
          holder = start_with_store (loop, "holder", other);
          bj_daemon_apply_config (
              holder, 3, BJ_STR ("{\"number\":3,\"priorities\":[\"a\"]}"), "test");
        }
      ev_run (loop, EVRUN_ONCE);
    }
  bj_daemon_free (d);
  bj_daemon_free (other);
  bj_daemon_free (holder);
  ev_loop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_restore),
          cmocka_unit_test (test_restarted_daemon_hears_restarted_peer_first) };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
