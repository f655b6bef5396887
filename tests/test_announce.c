// Announcements: what an upstream's claims about its load do to the limit of its daemon.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define HEAD "{\"service\":\"catalogue\",\"host\":\"127.0.0.1\",\"port\":7000,\"slots\":10"

typedef struct
{
  const char *name;
  const char *claim;
  int status;
  int limit;
} AnnounceCase;

// Announced one after another to the same daemon.
static const AnnounceCase announce_cases[] = {
  { "no claim", HEAD "}", 200, 10 },
  { "idle does not raise it", HEAD ",\"load\":0}", 200, 10 },
  { "busy does not lower it", HEAD ",\"load\":1}", 200, 10 },
  { "overloaded lowers it", HEAD ",\"load\":1.25}", 200, 8 },
  { "a claim of any size takes at most half", HEAD ",\"load\":1000}", 200, 5 },
  { "sick takes half", HEAD ",\"load\":0,\"healthy\":false}", 200, 5 },
  { "well again", HEAD ",\"load\":0,\"healthy\":true}", 200, 10 },
  { "not a boolean", HEAD ",\"healthy\":\"no\"}", 400, 10 },
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
          = bj_admin_handle (&d, BJ_STR ("POST"), BJ_STR ("/v1/announce"), bj_str (c->claim), out);

      bj_kernel_self (d.kernel, 0, &self);
      if (status != c->status || self.limit != c->limit)
        fail_msg ("%s: status %d, limit %d", c->name, status, self.limit);
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
