// Contract of a platform plug-in, the same cases for each: "memory" in the process and "http"
// against the stand-in.

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
  UPDATE,      // from the version last seen
  UPDATE_OLD,  // from the version before
  WATCH,       // from the version last seen
  WATCH_WRITE, // the same, and an update behind it
} Action;

typedef struct
{
  const char *name;
  Action action;
  const char *object;
  const char *spec;
  BjStatus expected;
  const char *read; // spec that comes back, NULL for none
} Step;

static const Step steps[] = {
  { "read what is absent", READ, "kind/a", NULL, BJ_E_NOT_FOUND, NULL },
  { "update what is absent", UPDATE_OLD, "kind/a", "{\"n\":0}", BJ_E_NOT_FOUND, NULL },
  { "create", CREATE, "kind/a", "{\"n\":1}", BJ_OK, "{\"n\":1}" },
  { "create again", CREATE, "kind/a", "{\"n\":2}", BJ_E_CONFLICT, NULL },
  { "read", READ, "kind/a", NULL, BJ_OK, "{\"n\":1}" },
  { "update", UPDATE, "kind/a", "{\"n\":3}", BJ_OK, "{\"n\":3}" },
  { "update from an old version", UPDATE_OLD, "kind/a", "{\"n\":4}", BJ_E_CONFLICT, NULL },
  { "read after the conflict", READ, "kind/a", NULL, BJ_OK, "{\"n\":3}" },
  { "watch sees an update", WATCH_WRITE, "kind/a", "{\"n\":5}", BJ_OK, "{\"n\":5}" },
  { "another object is not there", READ, "kind/b", NULL, BJ_E_NOT_FOUND, NULL },
  { "watch without news", WATCH, "kind/a", NULL, BJ_E_NOT_FOUND, NULL },
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
ignore_reply (void *data, const BjPlatformReply *r)
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
put (Client *c,
     const char *name,
     const char *spec,
     const char *version,
     BjPlatformDone done,
     void *d)
{
  struct json_object *o = json_tokener_parse (spec);

  c->platform->ops->put (c->platform, name, o, bj_str (version), done, d);
  json_object_put (o);
}

static void
run_step (Client *c, const Step *s)
{
  const BjPlatformOps *ops = c->platform->ops;
  int n_ignored = 0;

  switch (s->action)
    {
    case READ:
      ops->get (c->platform, s->object, on_reply, c);
      break;
    case CREATE:
      put (c, s->object, s->spec, "", on_reply, c);
      break;
    case UPDATE:
      put (c, s->object, s->spec, c->version, on_reply, c);
      break;
    case UPDATE_OLD:
      put (c, s->object, s->spec, "1000000", on_reply, c);
      break;
    case WATCH_WRITE:
      ops->watch (c->platform, s->object, bj_str (c->version), on_reply, c);
      put (c, s->object, s->spec, c->version, ignore_reply, &n_ignored);
      break;
    case WATCH:
      ops->watch (c->platform, s->object, bj_str (c->version), on_reply, c);
    }
  ev_run (c->loop, 0);
  ops->forget (c->platform, &n_ignored);
}

static void
test_contract (void **state)
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
          if (c.code != steps[i].expected || g_strcmp0 (c.spec, steps[i].read) != 0)
            print_error ("%s: %s: %s %s\n",
                         plugins[p],
                         steps[i].name,
                         bj_status_name (c.code),
                         c.spec != NULL ? c.spec : "");
          assert_int_equal (c.code, steps[i].expected);
          assert_int_equal (g_strcmp0 (c.spec, steps[i].read), 0);
        }
      close_client (&c);
    }
}

// A forgotten call gets no reply, and destroying the platform ends what is open.
static void
test_forget (void **state)
{
  static const char *const plugins[] = { "memory", "http" };

  (void)state;
  for (size_t p = 0; p < G_N_ELEMENTS (plugins); p++)
    {
      Client c;
      int n_ignored = 0;

      open_client (&c, plugins[p]);
      c.platform->ops->get (c.platform, "kind/none", ignore_reply, &n_ignored);
      c.platform->ops->watch (c.platform, "kind/none", BJ_STR_NULL, ignore_reply, &n_ignored);
      c.platform->ops->forget (c.platform, &n_ignored);
      c.platform->ops->get (c.platform, "kind/other", on_reply, &c);
      ev_run (c.loop, 0);
      assert_int_equal (c.n_replies, 1);
      assert_int_equal (n_ignored, 0);
      c.platform->ops->watch (c.platform, "kind/none", BJ_STR_NULL, ignore_reply, &n_ignored);
      close_client (&c);
      assert_int_equal (n_ignored, 0);
    }
}

static bool
answers (void *data)
{
  (void)data;
  return fleet_http ("GET", fleet.platform_port, "/control/stats", NULL, NULL, NULL) == 200;
}

static int
start (void **state)
{
  FleetNode node = { .name = "n", .domain = "d", .region = "r" };

  (void)state;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  fleet_init (&fleet, &node, 1);
  fleet_start_platform (&fleet);
  return fleet_until (answers, NULL, 10000) ? 0 : 1;
}

static int
stop (void **state)
{
  (void)state;
  fleet_stop (&fleet);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_contract),
    cmocka_unit_test (test_forget),
  };

  return cmocka_run_group_tests (tests, start, stop);
}
