// A request with a body as large as callers may send runs on the upstream of another daemon.

#include "daemons.h"
#include "kernel.h"
#include "server.h"
#include <curl/curl.h>
#include <ev.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define BODY_LIMIT_BYTES 8388608 // in the configuration below
#define DEADLINE_MS 8000

static const char config[]
    = "{\"number\":1,\"priorities\":[\"a\"],\"callers\":{\"body_bytes\":8388608},\"services\":{"
      "\"s\":{\"limiter\":{\"plugin\":\"fixed\"},\"routes\":[{\"prefix\":\"/s/\",\"class\":\"a\","
      "\"attempts\":0,\"deadline_ms\":8000}]}}}";

static const size_t body_sizes[] = { 1000, 1048576, 2097152, BODY_LIMIT_BYTES };

typedef struct
{
  BjSink sink; // first member, cast from BjSink*
  int status;
  BjOutcome outcome;
  bool is_done;
} Caller;

typedef struct
{
  BjServer *server;
  ev_prepare prepare;
  size_t body_bytes; // of the last request
} Upstream;

static void
on_begin (BjSink *s, const BjAnswer *a)
{
  ((Caller *)s)->status = a->http_status;
  ((Caller *)s)->outcome = a->outcome;
}

static size_t
on_room (BjSink *s)
{
  (void)s;
  return SIZE_MAX;
}

static void
on_data (BjSink *s, BjStr part)
{
  (void)s;
  (void)part;
}

static void
on_end (BjSink *s, bool is_complete)
{
  (void)is_complete;
  ((Caller *)s)->is_done = true;
}

static const BjSinkOps caller_ops = { on_begin, on_room, on_data, on_end };

static void
on_request (void *data, BjServerRequest *c, const BjHead *h, BjStr body)
{
  (void)h;
  ((Upstream *)data)->body_bytes = body.len;
  bj_server_begin (c, 200, BJ_STR_NULL, 0);
  bj_server_end (c, true);
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

static const BjServerOps upstream_ops
    = { .request = on_request, .disconnected = on_disconnected, .drained = on_drained };

static void
flush_upstream (struct ev_loop *loop, ev_prepare *w, int events)
{
  (void)loop;
  (void)events;
  bj_server_flush (((Upstream *)w->data)->server);
}

static void
open_upstream (Upstream *u, struct ev_loop *loop, BjAddress a)
{
  BjCallerLimits limits = BJ_CALLER_LIMITS_DEFAULT;

  assert_int_equal (bj_server_new (loop, "upstream", a, &upstream_ops, u, &u->server), BJ_OK);
  limits.body_bytes = BODY_LIMIT_BYTES;
  bj_server_set_limits (u->server, &limits);
  ev_prepare_init (&u->prepare, flush_upstream);
  u->prepare.data = u;
  ev_prepare_start (loop, &u->prepare);
}

static BjDaemon *
start_daemon (struct ev_loop *loop, const char *name, BjDaemon *seed)
{
  BjDaemon *d = daemons_new (loop,
                             (BjSettings){ .name = bj_str (name),
                                           .seeds = seed != NULL ? &seed->settings.gossip : NULL,
                                           .n_seeds = seed != NULL ? 1 : 0,
                                           .platform_name = BJ_STR ("memory"),
                                           .platform_url = BJ_STR ("test_large_request"),
                                           .dialect = BJ_STR ("borage") });

  assert_int_equal (bj_daemon_apply_config (d, 1, bj_str (config), "test"), BJ_OK);
  return d;
}

static bool
knows_upstream (const BjDaemon *d)
{
  const BjService *s = bj_kernel_get_service (d->kernel, BJ_STR ("s"));

  return s->peers->len > 0;
}

static void
test_body_up_to_the_callers_limit_reaches_a_peer (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjAddress address = daemons_free_address ();
  BjDaemon *front = start_daemon (loop, "front", NULL);
  BjDaemon *guard = start_daemon (loop, "guard", front);
  Upstream u = { 0 };
  char *body = g_malloc0 (BODY_LIMIT_BYTES);

  (void)state;
  open_upstream (&u, loop, address);
  assert_int_equal (
      bj_daemon_handle_announcement (
          guard, &(BjAnnouncement){ .service = BJ_STR ("s"), .address = address, .slots = 4 }),
      BJ_OK);
  while (!knows_upstream (front))
    ev_run (loop, EVRUN_ONCE);
  for (size_t i = 0; i < G_N_ELEMENTS (body_sizes); i++)
    {
      Caller c = { .sink = { &caller_ops } };
      BjRequest r = { .method = BJ_STR ("POST"),
                      .path = BJ_STR ("/s/x"),
                      .body = { body, body_sizes[i] },
                      .klass = -1,
                      .attempts_left = -1,
                      .deadline_ms = DEADLINE_MS };
      BjTime began = bj_clock_now ();

      u.body_bytes = 0;
      assert_non_null (bj_daemon_handle_call (front, &r, &c.sink));
      while (!c.is_done && bj_clock_now () - began < DEADLINE_MS + 1000)
        ev_run (loop, EVRUN_ONCE);
      print_message ("  %zu bytes: status %d after %.0f ms\n",
                     body_sizes[i],
                     c.status,
                     bj_clock_now () - began);
      assert_int_equal (c.status, 200);
      assert_int_equal (u.body_bytes, body_sizes[i]);
    }
  bj_daemon_free (front);
  bj_daemon_free (guard);
  ev_prepare_stop (loop, &u.prepare);
  bj_server_free (u.server);
  g_free (body);
  ev_loop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_body_up_to_the_callers_limit_reaches_a_peer) };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
