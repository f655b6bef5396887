// Retries of one user action over a chain of three services, with real processes: whatever is lost,
// no service runs it more often than once and the allowance.

#include "fleet.h"
#include <curl/curl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define ALLOWANCE 3
#define ACTIONS 5
#define MANY 1000000

typedef struct
{
  const char *name;
  const char *tags[2]; // of bj-fault, NULL for none
  const char *mode;    // fault while the actions run
  bool sheds;          // the deepest upstreams refuse everything
  int status;          // the deepest upstreams run and answer this, 0 for 200
} ChainCase;

static const ChainCase cases[] = {
  { "no fault", { NULL }, NULL, false, 0 },
  { "answers of the deepest upstream lost",
    { "upstream-three-1", "upstream-three-2" },
    "lose",
    false,
    0 },
  { "answers of the middle upstream lost",
    { "upstream-two-1", "upstream-two-2" },
    "lose",
    false,
    0 },
  { "answers between daemons lost", { "link-c" }, "lose", false, 0 },
  { "the deepest upstream refuses", { NULL }, NULL, true, 0 },
  { "the deepest upstream runs and fails", { NULL }, NULL, false, 503 },
  { "it runs and fails, answers between daemons lost", { "link-c" }, "lose", false, 503 },
  { "the deepest daemon is cut off", { "link-c" }, "cut", false, 0 },
};

// Two upstreams a service: a call that fails at one may be tried at the other.
static const FleetNode nodes[] = {
  { .name = "one-1",
    .domain = "a",
    .region = "n",
    .service = "s1",
    .slots = 16,
    .service_ms = 2,
    .next = "/s2/x" },
  { .name = "one-2",
    .domain = "a",
    .region = "n",
    .service = "s1",
    .slots = 16,
    .service_ms = 2,
    .next = "/s2/x" },
  { .name = "two-1",
    .domain = "b",
    .region = "n",
    .service = "s2",
    .slots = 16,
    .service_ms = 2,
    .next = "/s3/x" },
  { .name = "two-2",
    .domain = "b",
    .region = "n",
    .service = "s2",
    .slots = 16,
    .service_ms = 2,
    .next = "/s3/x" },
  { .name = "three-1",
    .domain = "c",
    .region = "n",
    .service = "s3",
    .slots = 16,
    .service_ms = 2,
    .next = "" },
  { .name = "three-2",
    .domain = "c",
    .region = "n",
    .service = "s3",
    .slots = 16,
    .service_ms = 2,
    .next = "" },
};

static Fleet fleet;

static char *
make_ticket (void)
{
  GString *s = g_string_new (NULL);

  g_string_printf (s, "{\"number\":1,\"base\":0,\"priorities\":[\"lookup\"],\"services\":{");
  for (int i = 1; i <= 3; i++)
    g_string_append_printf (s,
                            "%s\"s%d\":{\"routes\":[{\"prefix\":\"/s%d/\",\"class\":"
                            "\"lookup\",\"deadline_ms\":3000,\"attempts\":%d}]}",
                            i > 1 ? "," : "",
                            i,
                            i,
                            ALLOWANCE);
  g_string_append (s, "}}");
  return g_string_free (s, FALSE);
}

static bool
file_ticket (void)
{
  char *text = make_ticket ();
  bool ok = fleet_file_ticket (&fleet, text) && fleet_wait_ticket (&fleet, 1, 10000);

  g_free (text);
  return ok;
}

static int
start (void **state)
{
  (void)state;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  fleet_init (&fleet, nodes, G_N_ELEMENTS (nodes));
  fleet.use_fault = true;
  return fleet_start (&fleet) ? 0 : -1;
}

static int
stop (void **state)
{
  (void)state;
  fleet_stop (&fleet);
  return 0;
}

static int
runs_at (int member, const char *key)
{
  int n = fleet_executions_at (&fleet, member, key);

  assert_true (n >= 0);
  return n;
}

static void
control (int member, const char *what, int value)
{
  char path[64];

  g_snprintf (path, sizeof path, "/control/%s?value=%d", what, value);
  assert_int_equal (fleet_http ("POST", fleet.members[member].upstream_port, path, NULL, "", NULL),
                    200);
}

static bool
is_served (void *data)
{
  (void)data;
  return fleet_http ("GET", fleet.members[0].front_port, "/s1/x?id=1", NULL, NULL, NULL) == 200;
}

static void
set_fault (const ChainCase *c, const char *mode)
{
  for (int i = 0; i < 2 && c->tags[i] != NULL; i++)
    assert_true (fleet_fault (&fleet, c->tags[i], "*", mode, MANY));
}

// The most runs of one action at one service.
static int
run_case (const ChainCase *c)
{
  int most = 0;

  assert_true (fleet_until (is_served, NULL, 10000));
  set_fault (c, c->mode);
  for (int m = 4; m < 6; m++)
    {
      control (m, "shed", c->sheds);
      control (m, "status", c->status);
    }
  for (int i = 0; i < ACTIONS; i++)
    {
      char key[64];
      char header[96];
      const char *headers[] = { header, NULL };

      g_snprintf (key, sizeof key, "%s-%d", c->name, i);
      g_strdelimit (key, " ", '-');
      g_snprintf (header, sizeof header, "Idempotency-Key: %s", key);
      fleet_http ("GET", fleet.members[0].front_port, "/s1/x?id=1", headers, NULL, NULL);
      for (int m = 0; m < fleet.n; m += 2)
        {
          int n = runs_at (m, key) + runs_at (m + 1, key);

          most = MAX (most, n);
        }
    }
  set_fault (c, "ok");
  for (int m = 4; m < 6; m++)
    {
      control (m, "shed", 0);
      control (m, "status", 0);
    }
  print_message ("  %s: at most %d runs\n", c->name, most);
  return most;
}

static void
test_bounded (void **state)
{
  (void)state;
  assert_true (file_ticket ());
  for (int m = 0; m < 4; m++)
    control (m, "retries", ALLOWANCE);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    assert_true (run_case (&cases[i]) <= 1 + ALLOWANCE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bounded),
  };

  return cmocka_run_group_tests (tests, start, stop);
}
