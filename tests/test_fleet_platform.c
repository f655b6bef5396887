// Contract of platform plug-ins. Guards against differences between "memory", which keeps objects
// in the process, and "http", which runs against bj-platform: both must pass the same steps.

#include "fleet.h"
#include <curl/curl.h>
#include <ev.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

typedef struct
{
  struct ev_loop *loop;
  BjHttp *http;
  BjPlatform *platform;
  BjStatus code;
  char version[32];
  char *spec;
  int n_replies;
} Client;

typedef enum
{
  READ,
  CREATE,
  UPDATE,               // with the version of the last reply
  UPDATE_WRONG_VERSION, // with a version that the object does not have
  WATCH,                // from the version of the last reply
  WATCH_THEN_UPDATE,    // the same, followed by an update
} Action;

typedef struct
{
  const char *name;
  Action action;
  const char *object;
  const char *spec;
  BjStatus expected;
  const char *reply_spec; // spec in the reply, NULL for none
} Step;

static const Step steps[] = {
  { "read an absent object", READ, "kind/a", NULL, BJ_E_NOT_FOUND, NULL },
  { "update an absent object", UPDATE_WRONG_VERSION, "kind/a", "{\"n\":0}", BJ_E_NOT_FOUND, NULL },
  { "create", CREATE, "kind/a", "{\"n\":1}", BJ_OK, "{\"n\":1}" },
  { "create an existing object", CREATE, "kind/a", "{\"n\":2}", BJ_E_CONFLICT, NULL },
  { "read", READ, "kind/a", NULL, BJ_OK, "{\"n\":1}" },
  { "update", UPDATE, "kind/a", "{\"n\":3}", BJ_OK, "{\"n\":3}" },
  { "update with a version that is not the current one",
    UPDATE_WRONG_VERSION,
    "kind/a",
    "{\"n\":4}",
    BJ_E_CONFLICT,
    NULL },
  { "read after the conflict", READ, "kind/a", NULL, BJ_OK, "{\"n\":3}" },
  { "watch reports an update", WATCH_THEN_UPDATE, "kind/a", "{\"n\":5}", BJ_OK, "{\"n\":5}" },
  { "read another, absent object", READ, "kind/b", NULL, BJ_E_NOT_FOUND, NULL },
  { "watch times out without an update", WATCH, "kind/a", NULL, BJ_E_NOT_FOUND, NULL },
};

static Fleet fleet;

static void
on_reply (void *data, const BjPlatformReply *r)
{
  Client *c = data;

  c->n_replies++;
  c->code = r->code;
  g_clear_pointer (&c->spec, g_free);
  if (r->code == BJ_OK)
    {
      g_snprintf (c->version, sizeof c->version, "%.*s", BJ_STR_ARG (r->version));
      c->spec = g_strdup (json_object_to_json_string_ext (r->spec, JSON_C_TO_STRING_PLAIN));
    }
  ev_break (c->loop, EVBREAK_ALL);
}

static void
count_reply (void *data, const BjPlatformReply *r)
{
  (void)r;
  (*(int *)data)++;
}

static void
open_client (Client *c, const char *plugin)
{
  const BjPlatformOps *ops = bj_plugin_find (BJ_PLUGIN_PLATFORM, bj_str (plugin));
  char url[64];

  *c = (Client){ .loop = ev_loop_new (EVFLAG_AUTO) };
  g_snprintf (url, sizeof url, "http://127.0.0.1:%d", fleet.platform_port);
  c->http = bj_http_new (c->loop);
  c->platform = ops->create (c->loop, c->http, bj_str (url));
}

static void
close_client (Client *c)
{
  c->platform->ops->destroy (c->platform);
  bj_http_free (c->http);
  ev_loop_destroy (c->loop);
  g_free (c->spec);
}

static void
put_object (Client *c,
            const char *name,
            const char *spec,
            const char *version,
            BjPlatformDone done,
            void *done_data)
{
  struct json_object *o = json_tokener_parse (spec);

  c->platform->ops->put (c->platform, name, o, bj_str (version), done, done_data);
  json_object_put (o);
}

static void
run_step (Client *c, const Step *s)
{
  const BjPlatformOps *ops = c->platform->ops;
  int n_other_replies = 0;

  switch (s->action)
    {
    case READ:
      ops->get (c->platform, s->object, on_reply, c);
      break;
    case CREATE:
      put_object (c, s->object, s->spec, "", on_reply, c);
      break;
    case UPDATE:
      put_object (c, s->object, s->spec, c->version, on_reply, c);
      break;
    case UPDATE_WRONG_VERSION:
      put_object (c, s->object, s->spec, "1000000", on_reply, c);
      break;
    case WATCH_THEN_UPDATE:
      ops->watch (c->platform, s->object, bj_str (c->version), on_reply, c);
      put_object (c, s->object, s->spec, c->version, count_reply, &n_other_replies);
      break;
    case WATCH:
      ops->watch (c->platform, s->object, bj_str (c->version), on_reply, c);
    }
  ev_run (c->loop, 0);
  ops->cancel_requests (c->platform, &n_other_replies);
}

static void
test_plugin_contract (void **state)
{
  static const char *const plugins[] = { "memory", "http" };

  (void)state;
  for (size_t p = 0; p < G_N_ELEMENTS (plugins); p++)
    {
      Client c;

      open_client (&c, plugins[p]);
      for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
        {
          run_step (&c, &steps[i]);
          if (c.code != steps[i].expected || g_strcmp0 (c.spec, steps[i].reply_spec) != 0)
            print_error ("plug-in %s: step \"%s\": got %s, spec \"%s\"\n",
                         plugins[p],
                         steps[i].name,
                         bj_status_name (c.code),
                         c.spec != NULL ? c.spec : "");
          assert_int_equal (c.code, steps[i].expected);
          assert_int_equal (g_strcmp0 (c.spec, steps[i].reply_spec), 0);
        }
      close_client (&c);
    }
}

// Guards against replies to a caller that no longer exists: cancel_requests cancels the calls of
// its caller, destroy cancels all open calls.
static void
test_cancelled_calls (void **state)
{
  static const char *const plugins[] = { "memory", "http" };

  (void)state;
  for (size_t p = 0; p < G_N_ELEMENTS (plugins); p++)
    {
      Client c;
      int n_other_replies = 0;

      open_client (&c, plugins[p]);
      c.platform->ops->get (c.platform, "kind/none", count_reply, &n_other_replies);
      c.platform->ops->watch (c.platform, "kind/none", BJ_STR_NULL, count_reply, &n_other_replies);
      c.platform->ops->cancel_requests (c.platform, &n_other_replies);
      c.platform->ops->get (c.platform, "kind/other", on_reply, &c);
      ev_run (c.loop, 0);
      assert_int_equal (c.n_replies, 1);
      assert_int_equal (n_other_replies, 0);
      c.platform->ops->watch (c.platform, "kind/none", BJ_STR_NULL, count_reply, &n_other_replies);
      close_client (&c);
      assert_int_equal (n_other_replies, 0);
    }
}

static bool
is_platform_up (void *data)
{
  (void)data;
  return fleet_http ("GET", fleet.platform_port, "/control/stats", NULL, NULL, NULL) == 200;
}

static int
start_platform (void **state)
{
  FleetNode node = { .name = "n", .domain = "d", .region = "r" };

  (void)state;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  fleet_init (&fleet, &node, 1);
  fleet_start_platform (&fleet);
  return fleet_wait_until (is_platform_up, NULL, 10000) ? 0 : 1;
}

static int
stop_platform (void **state)
{
  (void)state;
  fleet_stop (&fleet);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_plugin_contract),
    cmocka_unit_test (test_cancelled_calls),
  };

  return cmocka_run_group_tests (tests, start_platform, stop_platform);
}
