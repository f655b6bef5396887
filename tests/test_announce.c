// An upstream that announces a wrong load must not raise the limit of its daemon or lower it below
// half of the slots; an invalid announcement must change nothing.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define HEAD "{\"service\":\"catalogue\",\"host\":\"127.0.0.1\",\"port\":7000,\"slots\":10"

typedef struct
{
  const char *name;
  const char *body;
  int status;
  int limit;
} AnnounceCase;

// Announced in this order to the same daemon.
static const AnnounceCase announce_cases[] = {
  { "without load: limit is the slots", HEAD "}", 200, 10 },
  { "load 0 does not raise the limit", HEAD ",\"load\":0}", 200, 10 },
  { "load 1 does not lower the limit", HEAD ",\"load\":1}", 200, 10 },
  { "load 1.25 lowers the limit to 1 / 1.25", HEAD ",\"load\":1.25}", 200, 8 },
  { "load 1000 halves the limit", HEAD ",\"load\":1000}", 200, 5 },
  { "unhealthy halves the limit", HEAD ",\"load\":0,\"healthy\":false}", 200, 5 },
  { "healthy again restores the limit", HEAD ",\"load\":0,\"healthy\":true}", 200, 10 },
  { "healthy is not a boolean: rejected, limit unchanged", HEAD ",\"healthy\":\"no\"}", 400, 10 },
};

static void
test_announce (void **state)
{
  static const char config[]
      = "{\"number\":1,\"priorities\":[\"lookup\"],\"services\":{\"catalogue\":{\"routes\":["
        "{\"prefix\":\"/c\",\"class\":\"lookup\"}],\"limiter\":{\"plugin\":\"fixed\"}}}}";
  BjDaemon d = { 0 };
  BjKernelOptions o = { .self = { .name = BJ_STR ("one") }, .host = &d.host, .seed = 1 };
  GString *out = g_string_new (NULL);
  BjConfig *parsed;

  (void)state;
  d.kernel = bj_kernel_new (&o, 0);
  assert_int_equal (bj_config_parse (bj_str (config), &parsed), BJ_OK);
  bj_kernel_set_config (d.kernel, 0, parsed);
  for (size_t i = 0; i < G_N_ELEMENTS (announce_cases); i++)
    {
      const AnnounceCase *c = &announce_cases[i];
      BjPeerReport self;
      int status
          = bj_admin_handle (&d, BJ_STR ("POST"), BJ_STR ("/v1/announce"), bj_str (c->body), out);

      bj_kernel_get_self_report (d.kernel, 0, &self);
      if (status != c->status || self.limit != c->limit)
        fail_msg ("%s: HTTP status %d, limit %d", c->name, status, self.limit);
    }
  bj_kernel_free (d.kernel);
  bj_str_free (&d.upstream.host);
  bj_str_free (&d.upstream_id);
  g_string_free (out, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_announce) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
