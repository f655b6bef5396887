// Platform adapter: tables of manifests, headers and announcements with the expected result of
// each, or its refusal. Store calls run against a stand-in store on the same event loop.

#include "../platform/platform.h"
#include "daemons.h"
#include "kernel.h"
#include "server.h"
#include <curl/curl.h>
#include <ev.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define DEEP 100000 // nesting that DEEP in a body stands for
#define WAIT_MS 3000

#define COLUMNS                                                                                    \
  "\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeoutS\",\"objectiveS\","            \
  "\"priority\","                                                                                  \
  "\"service\",\"maxAttempts\",\"weightedServices\"]"
#define MANIFEST(version, rows)                                                                    \
  "{\"version\":\"" version "\",\"routes\":{" COLUMNS ",\"rows\":[" rows "]},\"services\":{"       \
  "\"columns\":[\"name\"],\"rows\":[[\"orders\"],[\"plans\"]]},\"limits\":{\"maxHeaderBytes\":"    \
  "16384,"                                                                                         \
  "\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":1.5}}"
#define ROUTE_ACCEPT                                                                               \
  "[\"r-1\",\"a.example\",\"/accept/\",\"non_idempotent\",0.8,1.5,0,\"orders\",2,null]"
#define ROUTE_SHARED                                                                               \
  "[\"r-2\",\"a.example\",\"/p/"                                                                   \
  "\",\"idempotent\",1,0.25,2,null,3,[{\"service\":\"plans\",\"weight\":9},"                       \
  "{\"service\":\"orders\",\"weight\":1}]]"

typedef struct
{
  const char *name;
  const char *manifest;
  BjStatus status;
  const char *host;
  const char *path; // NULL when only the status counts
  const char *service;
  int klass;
  bool irreversible;
  double deadline_ms;
  double objective_ms;
  int attempts; // after the first
  int n_shares;
} ManifestCase;

static const ManifestCase manifest_cases[] = {
  { "irreversible route of one service",
    MANIFEST ("r12", ROUTE_ACCEPT),
    BJ_OK,
    "a.example",
    "/accept/x",
    "orders",
    0,
    true,
    800,
    1500,
    1,
    0 },
  { "route shared by two services with weights",
    MANIFEST ("r12", ROUTE_ACCEPT "," ROUTE_SHARED),
    BJ_OK,
    "a.example",
    "/p/1?x=2",
    "plans",
    2,
    false,
    1000,
    250,
    2,
    2 },
  { "no route for another host",
    MANIFEST ("r12", ROUTE_ACCEPT),
    BJ_OK,
    "b.example",
    "/accept/x",
    NULL,
    0,
    false,
    0,
    0,
    0,
    0 },
  { "manifest without a version",
    "{\"routes\":{}}",
    BJ_E_TICKET,
    NULL,
    NULL,
    NULL,
    0,
    false,
    0,
    0,
    0,
    0 },
  { "manifest without routes",
    "{\"version\":\"r1\"}",
    BJ_E_TICKET,
    NULL,
    NULL,
    NULL,
    0,
    false,
    0,
    0,
    0,
    0 },
  { "route without a service",
    MANIFEST ("r1", "[\"r-3\",\"h\",\"/\",\"idempotent\",1,1,0,null,1,null]"),
    BJ_E_TICKET,
    NULL,
    NULL,
    NULL,
    0,
    false,
    0,
    0,
    0,
    0 },
};

static void
test_manifest (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (manifest_cases); i++)
    {
      const ManifestCase *c = &manifest_cases[i];
      struct json_object *spec = json_tokener_parse (c->manifest);
      GString *text = g_string_new (NULL);
      const BjServiceConfig *s = NULL;
      const BjRoute *r;
      BjConfig *config;

      print_message ("  %s\n", c->name);
      assert_int_equal (platform_convert_manifest (spec, text), c->status);
      json_object_put (spec);
      if (c->path != NULL)
        {
          if (bj_config_parse_with_defaults ((BjStr){ text->str, text->len }, BJ_STR_NULL, &config)
              != BJ_OK)
            fail_msg ("%s", bj_last_message ());
          assert_int_equal (config->number, 12);
          assert_true (config->callers.idle_timeout_ms == 1500);
          r = bj_config_route_for_host (config, bj_str (c->host), bj_str (c->path), &s);
          assert_true ((r == NULL) == (c->service == NULL));
          if (r != NULL)
            {
              assert_string_equal (s->name.data, c->service);
              assert_int_equal (r->klass, c->klass);
              assert_true (r->irreversible == c->irreversible && !r->needs_claim);
              assert_true (r->deadline_ms == c->deadline_ms && r->objective_ms == c->objective_ms);
              assert_int_equal (r->attempts, c->attempts);
              assert_int_equal (r->n_shares, c->n_shares);
            }
          bj_config_free (config);
        }
      g_string_free (text, TRUE);
    }
}

#define ROUTE_LONG                                                                                 \
  "[\"r-1\",\"a.example\",\"/long/\",\"idempotent\",3600,0.0001,0,\"orders\",2,null]"
#define ROUTE_ANY_HOST "[\"r-2\",\"\",\"/any/\",\"idempotent\",1,1,0,\"orders\",2,null]"
#define ROUTE_FRACTIONS                                                                            \
  "[\"r-3\",\"a.example\",\"/f/"                                                                   \
  "\",\"idempotent\",1,1,0,null,2,[{\"service\":\"plans\",\"weight\":0.7},"                        \
  "{\"service\":\"orders\",\"weight\":0.3}]]"
#define LIMITS                                                                                     \
  "{\"maxHeaderBytes\":100,\"maxBodyBytes\":1e12,\"headerTimeoutS\":3600,\"idleTimeoutS\":86400}"

// One value out of range must not keep all other routes of an accepted manifest from being served.
static void
test_manifest_values_out_of_range (void **state)
{
  struct json_object *spec
      = json_tokener_parse (MANIFEST ("r12", ROUTE_LONG "," ROUTE_ANY_HOST "," ROUTE_FRACTIONS));
  GString *text = g_string_new (NULL);
  const BjServiceConfig *s = NULL;
  const BjRoute *r;
  BjConfig *c;

  (void)state;
  json_object_object_add (spec, "limits", json_tokener_parse (LIMITS));
  assert_int_equal (platform_convert_manifest (spec, text), BJ_OK);
  if (bj_config_parse_with_defaults ((BjStr){ text->str, text->len }, BJ_STR_NULL, &c) != BJ_OK)
    fail_msg ("%s", bj_last_message ());
  r = bj_config_route_for_host (c, BJ_STR ("a.example"), BJ_STR ("/long/x"), &s);
  assert_true (r->deadline_ms == 600000 && r->objective_ms == 1);
  assert_non_null (bj_config_route_for_host (c, BJ_STR ("b.example"), BJ_STR ("/any/x"), &s));
  r = bj_config_route_for_host (c, BJ_STR ("a.example"), BJ_STR ("/f/x"), &s);
  assert_int_equal (r->n_shares, 2);
  assert_int_equal (r->shares[0].weight * 3, r->shares[1].weight * 7);
  assert_true (r->shares[1].weight > 0);
  assert_int_equal (c->callers.header_bytes, 256);
  assert_int_equal (c->callers.body_bytes, 1 << 30);
  assert_true (c->callers.header_timeout_ms == 600000 && c->callers.idle_timeout_ms == 3600000);
  bj_config_free (c);
  json_object_put (spec);
  g_string_free (text, TRUE);
}

typedef struct
{
  const char *name;
  int status;
  const char *headers; // of the upstream's response
  bool is_reused;      // the connection carried an earlier request
  BjStatus result;
  BjOutcome outcome;
  bool failed;
} AnswerCase;

static const AnswerCase answer_cases[] = {
  { "success", 200, "X-Request-Id: 7\nX-Response-Seal: s\n", false, BJ_OK, BJ_DONE, false },
  { "id of another request",
    200,
    "X-Request-Id: 8\nX-Response-Seal: s\n",
    false,
    BJ_E_FORMAT,
    BJ_DONE,
    false },
  { "success without a request id",
    200,
    "X-Response-Seal: s\n",
    false,
    BJ_E_FORMAT,
    BJ_DONE,
    false },
  { "success without a seal", 200, "X-Request-Id: 7\n", false, BJ_E_FORMAT, BJ_DONE, false },
  { "failure after it ran", 500, "X-Request-Id: 7\n", false, BJ_OK, BJ_DONE, true },
  { "not run", 503, "X-Request-Id: 7\nX-Not-Executed: 1\n", false, BJ_OK, BJ_NOT_RUN, false },
  { "not run, without a request id", 503, "X-Not-Executed: 1\n", false, BJ_OK, BJ_NOT_RUN, false },
  { "the same on a connection that was used before",
    503,
    "X-Not-Executed: 1\n",
    true,
    BJ_E_FORMAT,
    BJ_DONE,
    false },
  { "not run, on a connection that was used before",
    503,
    "X-Request-Id: 7\nX-Not-Executed: 1\n",
    true,
    BJ_OK,
    BJ_NOT_RUN,
    false },
  { "not run, id of another request",
    503,
    "X-Request-Id: 8\nX-Not-Executed: 1\n",
    false,
    BJ_E_FORMAT,
    BJ_DONE,
    false },
  { "not run, refusal headers in another order",
    429,
    "Retry-After: 1\nX-Not-Executed: 1\nX-Request-Id: 7\n",
    false,
    BJ_OK,
    BJ_NOT_RUN,
    false },
  { "421: another instance answers",
    421,
    "X-Request-Id: 7\nX-Instance-Id: i\n",
    false,
    BJ_OK,
    BJ_NOT_RUN,
    false },
};

static void
test_answers (void **state)
{
  const BjDialectOps *d = bj_plugin_find (BJ_PLUGIN_DIALECT, BJ_STR ("platform"));
  BjCall call = { .request = { .id = BJ_STR ("7") } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (answer_cases); i++)
    {
      const AnswerCase *c = &answer_cases[i];
      BjHead h = { .status = c->status, .headers = bj_str (c->headers), .is_first = !c->is_reused };
      BjAnswer a = { .http_status = c->status };
      GString *relayed = g_string_new (NULL);

      print_message ("  %s\n", c->name);
      assert_int_equal (d->read_run (&call, &h, &a, relayed), c->result);
      if (c->result == BJ_OK)
        {
          assert_int_equal (a.outcome, c->outcome);
          assert_true (a.failed == c->failed);
        }
      g_string_free (relayed, TRUE);
    }
}

typedef struct
{
  const char *name;
  BjStatus code;
  BjOutcome outcome;
  int status;
  bool has_retry_after; // header is present
} RefusalCase;

// Only a call that has not run is answered with 503 or 404.
static const RefusalCase refusal_cases[] = {
  { "overload", BJ_E_OVERLOAD, BJ_NOT_RUN, 503, true },
  { "no upstream", BJ_E_NO_UPSTREAM, BJ_NOT_RUN, 503, true },
  { "deadline passed in a queue", BJ_E_DEADLINE, BJ_NOT_RUN, 503, true },
  { "deadline passed while it ran", BJ_E_DEADLINE, BJ_UNKNOWN, 504, false },
  { "connection lost, may have run", BJ_E_LOST, BJ_UNKNOWN, 502, false },
  { "quarantined, may have run", BJ_E_QUARANTINED, BJ_UNKNOWN, 502, false },
  { "no route", BJ_E_NO_ROUTE, BJ_NOT_RUN, 404, false },
};

static void
test_refusals (void **state)
{
  const BjDialectOps *d = bj_plugin_find (BJ_PLUGIN_DIALECT, BJ_STR ("platform"));

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (refusal_cases); i++)
    {
      const RefusalCase *c = &refusal_cases[i];
      BjAnswer a = { .code = c->code, .outcome = c->outcome, .retry_after_ms = 250 };
      GString *lines = g_string_new (NULL);

      print_message ("  %s\n", c->name);
      d->write_answer (&a, lines);
      assert_int_equal (a.http_status, c->status);
      assert_true ((strstr (lines->str, "Retry-After: 0.250\r\n") != NULL) == c->has_retry_after);
      g_string_free (lines, TRUE);
    }
}

static void
test_request (void **state)
{
  const BjDialectOps *d = bj_plugin_find (BJ_PLUGIN_DIALECT, BJ_STR ("platform"));
  BjSettings s = { .service = BJ_STR ("orders") };
  BjHead h
      = { .headers = BJ_STR ("Host: a.example\nX-Request-Id: 7\nX-Deadline-Ms: 1500\n"
                             "X-Caller-Service: liar\nX-Expect-Instance: i\nConnection: close\n"
                             "Accept: x\nCookie: y\n") };
  BjRequest r = { 0 };
  GString *relayed = g_string_new (NULL);

  (void)state;
  d->read_request (&s, &h, &r, relayed);
  assert_true (bj_str_equal (r.host, BJ_STR ("a.example")) && bj_str_equal (r.id, BJ_STR ("7")));
  assert_true (r.deadline_ms == 1500);
  assert_string_equal (relayed->str, "Accept: x\nCookie: y\nX-Caller-Service: orders\n");
  g_string_free (relayed, TRUE);
}

typedef struct
{
  const char *name;
  const char *method;
  const char *path;
  const char *body;
  int status;
  bool draining;
  int limit;
} AnnounceCase;

#define ANNOUNCEMENT(service, address, state, sequence, born)                                      \
  "{\"service\":\"" service "\",\"address\":\"" address                                            \
  "\",\"zone\":\"z\",\"version\":\"v\",\"slots\":100,"                                             \
  "\"state\":\"" state "\",\"coldS_time\":0,\"sequence\":" sequence ",\"born\":" born "}"

#define OPEN_10 "[[[[[[[[[["
#define NESTED                                                                                     \
  "{\"service\":" OPEN_10 OPEN_10 OPEN_10 OPEN_10 OPEN_10 OPEN_10 OPEN_10 OPEN_10 OPEN_10 OPEN_10

// Sent in this order to one daemon; draining and limit are its state after each.
static const AnnounceCase announce_cases[] = {
  { "not JSON", "PUT", "/instances/i-1", "{{{", 400, false, 0 },
  { "fields missing", "PUT", "/instances/i-1", "{\"service\":\"orders\"}", 400, false, 0 },
  { "first announcement",
    "PUT",
    "/instances/i-1",
    ANNOUNCEMENT ("orders", "10.0.0.1:80", "ready", "3", "1000"),
    200,
    false,
    95 },
  { "address is not the configured upstream",
    "PUT",
    "/instances/i-9",
    ANNOUNCEMENT ("orders", "10.0.0.9:80", "ready", "1", "2000"),
    400,
    false,
    95 },
  { "service is not the configured one",
    "PUT",
    "/instances/i-9",
    ANNOUNCEMENT ("nobody", "10.0.0.1:80", "ready", "1", "2000"),
    400,
    false,
    95 },
  { "unknown state",
    "PUT",
    "/instances/i-1",
    ANNOUNCEMENT ("orders", "10.0.0.1:80", "lost", "4", "1000"),
    400,
    false,
    95 },
  { "sequence too large", // would make all later ones late
    "PUT",
    "/instances/i-1",
    ANNOUNCEMENT ("orders", "10.0.0.1:80", "ready", "99999999999999999999", "1000"),
    400,
    false,
    95 },
  { "start time too large",
    "PUT",
    "/instances/i-1",
    ANNOUNCEMENT ("orders", "10.0.0.1:80", "ready", "4", "99999999999999999999"),
    400,
    false,
    95 },
  { "start time is no whole number",
    "PUT",
    "/instances/i-1",
    ANNOUNCEMENT ("orders", "10.0.0.1:80", "ready", "4", "1e999"),
    400,
    false,
    95 },
  { "slots too large",
    "PUT",
    "/instances/i-1",
    "{\"service\":\"orders\",\"address\":\"10.0.0.1:80\",\"slots\":99999999999,\"state\":\"ready\","
    "\"sequence\":4,\"born\":1000}",
    400,
    false,
    95 },
  { "port out of range",
    "PUT",
    "/instances/i-1",
    ANNOUNCEMENT ("orders", "10.0.0.1:65616", "ready", "4", "1000"),
    400,
    false,
    95 },
  { "port too large for a number",
    "PUT",
    "/instances/i-1",
    ANNOUNCEMENT ("orders", "10.0.0.1:99999999999999999999999", "ready", "4", "1000"),
    400,
    false,
    95 },
  { "nested deeply", "PUT", "/instances/i-1", NESTED, 400, false, 95 },
  { "another method", "POST", "/instances/i-1", "{}", 404, false, 95 }, // leaked its id
  { "DELETE of an empty id", "DELETE", "/instances/", "", 404, false, 95 },
  { "DELETE with a body nested deeply", "DELETE", "/instances/i-2", NESTED, 409, false, 95 },
  { "late", // its sequence number is lower than the last one
    "PUT",
    "/instances/i-1",
    ANNOUNCEMENT ("orders", "10.0.0.1:80", "draining", "2", "1000"),
    409,
    false,
    95 },
  { "starts draining",
    "PUT",
    "/instances/i-1",
    ANNOUNCEMENT ("orders", "10.0.0.1:80", "draining", "5", "1000"),
    200,
    true,
    95 },
  { "ready again after draining, same start",
    "PUT",
    "/instances/i-1",
    ANNOUNCEMENT ("orders", "10.0.0.1:80", "ready", "6", "1000"),
    200,
    true,
    95 },
  { "a new start under the same id",
    "PUT",
    "/instances/i-1",
    ANNOUNCEMENT ("orders", "10.0.0.1:80", "ready", "1", "3000"),
    200,
    false,
    95 },
  { "announcement of the earlier start",
    "PUT",
    "/instances/i-1",
    ANNOUNCEMENT ("orders", "10.0.0.1:80", "ready", "9", "1000"),
    409,
    false,
    95 },
  { "DELETE of another instance", "DELETE", "/instances/i-2", "", 409, false, 95 },
  { "DELETE without draining first", "DELETE", "/instances/i-1", "", 200, true, 95 },
  { "ready again after its DELETE stays draining",
    "PUT",
    "/instances/i-1",
    ANNOUNCEMENT ("orders", "10.0.0.1:80", "ready", "2", "3000"),
    200,
    true,
    95 },
  { "a new instance at the same address",
    "PUT",
    "/instances/i-3",
    ANNOUNCEMENT ("orders", "10.0.0.1:80", "ready", "1", "4000"),
    200,
    false,
    95 },
};

// Opens a daemon for the upstream of orders at 10.0.0.1:80.
static void
open_announced (BjDaemon *d)
{
  BjKernelOptions o = { .self = { .name = BJ_STR ("one") }, .host = &d->host, .seed = 1 };
  GString *text = g_string_new (NULL);
  struct json_object *spec = json_tokener_parse (MANIFEST ("r1", ROUTE_ACCEPT));
  BjConfig *config;

  d->loop = ev_loop_new (0);
  d->dialect = bj_plugin_find (BJ_PLUGIN_DIALECT, BJ_STR ("platform"));
  d->settings.service = BJ_STR ("orders");
  d->settings.upstream = (BjAddress){ BJ_STR ("10.0.0.1"), 80 };
  d->pool = bj_pool_new (d->loop);
  d->kernel = bj_kernel_new (&o, 0);
  platform_convert_manifest (spec, text);
  json_object_put (spec);
  assert_int_equal (bj_config_parse_with_defaults ((BjStr){ text->str, text->len },
                                                   BJ_STR ("{\"limiter\":{\"plugin\":\"slots\"}}"),
                                                   &config),
                    BJ_OK);
  bj_kernel_set_config (d->kernel, 0, config);
  g_string_free (text, TRUE);
}

static void
close_announced (BjDaemon *d)
{
  bj_kernel_free (d->kernel);
  bj_pool_free (d->pool);
  bj_str_free (&d->upstream.host);
  bj_str_free (&d->upstream_id);
  ev_loop_destroy (d->loop);
}

// Returns the HTTP status, and in *self the state of the daemon after it.
static int
announce (BjDaemon *d, const char *method, const char *path, const char *body, BjPeerReport *self)
{
  GString *out = g_string_new (NULL);
  int status = bj_admin_handle (d, bj_str (method), bj_str (path), bj_str (body), out);

  bj_kernel_get_self_report (d->kernel, 0, self);
  g_string_free (out, TRUE);
  return status;
}

static void
test_announcements (void **state)
{
  BjDaemon d = { 0 };

  (void)state;
  open_announced (&d);
  for (size_t i = 0; i < G_N_ELEMENTS (announce_cases); i++)
    {
      const AnnounceCase *c = &announce_cases[i];
      BjPeerReport self;
      int status = announce (&d, c->method, c->path, c->body, &self);

      if (status != c->status || self.draining != c->draining || self.limit != c->limit)
        fail_msg (
            "%s: status %d, draining %d, limit %d", c->name, status, self.draining, self.limit);
    }
  close_announced (&d);
}

// A field of an announcement, and what another writer puts there; NULL leaves it out.
typedef struct
{
  const char *field;
  const char *value;
} OddCase;

static const OddCase odd_cases[] = {
  { "service", NULL },      { "service", "7" },        { "service", "\"nobody\"" },
  { "service", "\"\"" },    { "address", NULL },       { "address", "7" },
  { "address", "\"\"" },    { "address", "\":80\"" },  { "address", "\"10.0.0.9:80\"" },
  { "zone", NULL },         { "zone", "7" },           { "zone", "null" },
  { "zone", "[\"z\"]" },    { "version", NULL },       { "version", "3" },
  { "version", "{}" },      { "slots", NULL },         { "slots", "\"100\"" },
  { "slots", "0" },         { "slots", "-1" },         { "slots", "1.5" },
  { "state", NULL },        { "state", "true" },       { "state", "\"leaving\"" },
  { "coldS_time", NULL },   { "coldS_time", "\"0\"" }, { "coldS_time", "false" },
  { "coldS_time", "null" }, { "sequence", NULL },      { "sequence", "\"9\"" },
  { "sequence", "-1" },     { "sequence", "9.5" },     { "born", "\"9\"" },
  { "born", "-1" },         { "born", "9.5" },         { "born", "null" },
};

// Writes an announcement with one field replaced.
static void
write_announcement (GString *out, const OddCase *c, int sequence, int born)
{
  const char *fields[][2] = {
    { "service", "\"orders\"" },
    { "address", "\"10.0.0.1:80\"" },
    { "zone", "\"z\"" },
    { "version", "\"v\"" },
    { "slots", "100" },
    { "state", "\"ready\"" },
    { "coldS_time", "0.5" },
    { "sequence", NULL },
    { "born", NULL },
  };

  g_string_assign (out, "{");
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      const char *name = fields[i][0];
      const char *value = fields[i][1];

      if (strcmp (name, c->field) == 0 && c->value == NULL)
        continue;
      g_string_append_printf (out, "%s\"%s\":", out->len > 1 ? "," : "", name);
      if (strcmp (name, c->field) == 0)
        g_string_append (out, c->value);
      else if (value != NULL)
        g_string_append (out, value);
      else
        g_string_append_printf (out, "%d", strcmp (name, "born") == 0 ? born : sequence);
    }
  g_string_append (out, "}");
}

// An announcement with an odd field must change nothing: it must not end a drain, replace the
// upstream, or make the upstream's own later announcements stale.
static void
test_odd_announcements (void **state)
{
  static const OddCase sound = { "", NULL };
  static const char *const paths[] = { "/instances/i-1", "/instances/i-9" };
  BjDaemon d = { 0 };
  GString *body = g_string_new (NULL);
  BjPeerReport self;
  int n_wrong = 0;

  (void)state;
  open_announced (&d);
  for (int i = 0; i < (int)(G_N_ELEMENTS (odd_cases) * G_N_ELEMENTS (paths)); i++)
    {
      const OddCase *c = &odd_cases[i / 2];
      int born = 1000 + i;
      int status;

      write_announcement (body, &sound, 3, born);
      assert_int_equal (announce (&d, "PUT", paths[0], body->str, &self), 200);
      assert_false (self.draining);
      bj_kernel_drain (d.kernel, 0, BJ_DRAIN_UPSTREAM, true);
      write_announcement (body, c, 9, i % 2 == 0 ? born : born + 500);
      status = announce (&d, "PUT", paths[i % 2], body->str, &self);
      if (status == 400 && self.draining && d.upstream_sequence == 3
          && bj_str_equal (d.upstream_id, BJ_STR ("i-1")))
        continue;
      n_wrong++;
      print_error ("%s %s for %s: status %d, draining %d\n",
                   c->field,
                   c->value != NULL ? c->value : "left out",
                   paths[i % 2],
                   status,
                   self.draining);
      // The next row must not depend on this one.
      d.upstream_started_ms = 0;
    }
  assert_int_equal (n_wrong, 0);
  close_announced (&d);
  g_string_free (body, TRUE);
}

// ---------------------------------------------------------------------------------------------
// The store
// ---------------------------------------------------------------------------------------------

typedef struct
{
  int status;
  const char *body; // NULL closes the connection without a response
} ScriptedResponse;

typedef struct
{
  BjServer *server;
  ScriptedResponse next; // response to the next request
  char method[16];
  char path[128];
  char body[512];
  BjServerRequest *waiting;
} Store;

typedef struct
{
  struct ev_loop *loop;
  bool is_done;
  BjStatus code;
  char version[32];
  char spec[128];
} Reply;

static void
store_request (void *data, BjServerRequest *c, const BjHead *h, BjStr body)
{
  Store *s = data;

  g_snprintf (s->method, sizeof s->method, "%.*s", BJ_STR_ARG (h->method));
  g_snprintf (s->path, sizeof s->path, "%.*s", BJ_STR_ARG (h->path));
  g_snprintf (s->body, sizeof s->body, "%.*s", BJ_STR_ARG (body));
  if (s->next.body == NULL)
    {
      bj_server_end (c, false);
      return;
    }
  bj_server_begin (c, s->next.status, BJ_STR_NULL, (int64_t)strlen (s->next.body));
  bj_server_data (c, bj_str (s->next.body));
  bj_server_end (c, true);
}

static void
ignore_disconnected (void *call)
{
  (void)call;
}

static void
ignore_drained (void *call, size_t n)
{
  (void)call;
  (void)n;
}

static const BjServerOps store_ops
    = { .request = store_request, .disconnected = ignore_disconnected, .drained = ignore_drained };

static void
on_reply (void *data, const BjPlatformReply *r)
{
  Reply *reply = data;

  reply->is_done = true;
  reply->code = r->code;
  g_snprintf (reply->version, sizeof reply->version, "%.*s", BJ_STR_ARG (r->version));
  g_snprintf (reply->spec,
              sizeof reply->spec,
              "%s",
              r->spec != NULL ? json_object_to_json_string_ext (r->spec, JSON_C_TO_STRING_PLAIN)
                              : "");
  ev_break (reply->loop, EVBREAK_ALL);
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *w, int events)
{
  (void)loop;
  (void)events;
  bj_server_flush (((Store *)w->data)->server);
}

typedef enum
{
  GET,
  CREATE,
  UPDATE,
  LIST,
  WATCH,
} StoreCall;

typedef struct
{
  const char *name;
  StoreCall call;
  ScriptedResponse answer;
  const char *method; // of the request that reached the store
  const char *path;
  const char *body; // text that the request body must contain
  BjStatus code;
  const char *version;
  const char *spec;
} StoreCase;

#define OBJECT(revision)                                                                           \
  "{\"metadata\":{\"name\":\"main\",\"revision\":" revision "},\"spec\":{\"a\":1}}"

#define ODD_LIST(entry)                                                                            \
  "{\"items\":[" entry "," OBJECT ("3") "],\"hasMore\":false,\"storeRevision\":12}"

static const StoreCase store_cases[] = {
  { "get", GET, { 200, OBJECT ("7") }, "GET", "/objects/config/main", "", BJ_OK, "7", "{\"a\":1}" },
  { "get of an absent object",
    GET,
    { 404, "{}" },
    "GET",
    "/objects/config/main",
    "",
    BJ_E_NOT_FOUND,
    "",
    "" },
  { "create",
    CREATE,
    { 201, OBJECT ("8") },
    "POST",
    "/objects/config",
    "\"name\":\"main\"",
    BJ_OK,
    "8",
    "{\"a\":1}" },
  { "create conflicts with an existing object",
    CREATE,
    { 409, OBJECT ("9") },
    "POST",
    "/objects/config",
    "",
    BJ_E_CONFLICT,
    "9",
    "{\"a\":1}" },
  { "update",
    UPDATE,
    { 200, OBJECT ("10") },
    "PUT",
    "/objects/config/main",
    "\"revision\":5",
    BJ_OK,
    "10",
    "{\"a\":1}" },
  { "update conflicts with a newer revision",
    UPDATE,
    { 409, OBJECT ("11") },
    "PUT",
    "/objects/config/main",
    "",
    BJ_E_CONFLICT,
    "11",
    "{\"a\":1}" },
  { "list",
    LIST,
    { 200,
      "{\"items\":[{\"metadata\":{\"name\":\"other\"},\"spec\":{}}," OBJECT (
          "3") "],\"hasMore\":false,\"storeRevision\":12}" },
    "GET",
    "/objects/config",
    "",
    BJ_OK,
    "12",
    "{\"a\":1}" },
  { "list with an odd entry: nested deeply",
    LIST,
    { 200, ODD_LIST ("{\"metadata\":{\"name\":\"other\"},\"spec\":{\"a\":DEEP}}") },
    "GET",
    "/objects/config",
    "",
    BJ_OK,
    "12",
    "{\"a\":1}" },
  { "list with an odd entry: numbers too large",
    LIST,
    { 200,
      ODD_LIST ("{\"metadata\":{\"name\":\"other\",\"revision\":99999999999999999999999},"
                "\"spec\":{\"slots\":1e999,\"sequence\":-99999999999999999999999}}") },
    "GET",
    "/objects/config",
    "",
    BJ_OK,
    "12",
    "{\"a\":1}" },
  { "list with an odd entry: no object",
    LIST,
    { 200, ODD_LIST ("7") },
    "GET",
    "/objects/config",
    "",
    BJ_OK,
    "12",
    "{\"a\":1}" },
  { "list with an odd entry: metadata and spec of other types",
    LIST,
    { 200, ODD_LIST ("{\"metadata\":[1],\"spec\":null},{\"metadata\":null,\"spec\":7}") },
    "GET",
    "/objects/config",
    "",
    BJ_OK,
    "12",
    "{\"a\":1}" },
  { "list with an odd entry: bytes that are not UTF-8",
    LIST,
    { 200, ODD_LIST ("{\"metadata\":{\"name\":\"\xff\xfe\"},\"spec\":{\"a\":\"\xc3\x28\"}}") },
    "GET",
    "/objects/config",
    "",
    BJ_OK,
    "12",
    "{\"a\":1}" },
  { "watch with an odd event: nested deeply",
    WATCH,
    { 200,
      "{\"events\":[{\"deleted\":false,\"object\":{\"metadata\":{\"name\":\"other\"},\"spec\":"
      "DEEP}},{\"deleted\":false,\"object\":" OBJECT ("14") "}],\"storeRevision\":14}" },
    "GET",
    "/objects/config?watch=5&waitMs=1000",
    "",
    BJ_OK,
    "14",
    "{\"a\":1}" },
  { "object nested deeply",
    GET,
    { 200, "{\"metadata\":{\"name\":\"main\",\"revision\":7},\"spec\":{\"a\":1,\"b\":DEEP}}" },
    "GET",
    "/objects/config/main",
    "",
    BJ_OK,
    "7",
    "{\"a\":1,\"b\":[[[[[[[[[[[[[[[[[[[[[[null]]]]]]]]]]]]]]]]]]]]]]}" },
  { "list without the object",
    LIST,
    { 200, "{\"items\":[],\"hasMore\":false,\"storeRevision\":13}" },
    "GET",
    "/objects/config",
    "",
    BJ_E_NOT_FOUND,
    "13",
    "" },
  { "watch with an event",
    WATCH,
    { 200, "{\"events\":[{\"deleted\":false,\"object\":" OBJECT ("14") "}],\"storeRevision\":14}" },
    "GET",
    "/objects/config?watch=5&waitMs=1000",
    "",
    BJ_OK,
    "14",
    "{\"a\":1}" },
  { "watch without events",
    WATCH,
    { 200, "{\"events\":[],\"storeRevision\":15}" },
    "GET",
    "/objects/config?watch=5&waitMs=1000",
    "",
    BJ_E_NOT_FOUND,
    "15",
    "" },
  { "watch from a compacted revision",
    WATCH,
    { 410, "{}" },
    "GET",
    "/objects/config?watch=5&waitMs=1000",
    "",
    BJ_E_GONE,
    "",
    "" },
  { "429: over the request rate",
    GET,
    { 429, "{}" },
    "GET",
    "/objects/config/main",
    "",
    BJ_E_PLATFORM,
    "",
    "" },
  { "503: store down",
    GET,
    { 503, "{}" },
    "GET",
    "/objects/config/main",
    "",
    BJ_E_PLATFORM,
    "",
    "" },
  { "update without a response",
    UPDATE,
    { 0, NULL },
    "PUT",
    "/objects/config/main",
    "",
    BJ_E_PLATFORM,
    "",
    "" },
  { "response is not JSON",
    GET,
    { 200, "{{" },
    "GET",
    "/objects/config/main",
    "",
    BJ_E_PLATFORM,
    "",
    "" },
  { "response is not an object",
    GET,
    { 200, "[1]" },
    "GET",
    "/objects/config/main",
    "",
    BJ_E_PLATFORM,
    "",
    "" },
};

static void
send_store_call (BjPlatform *p, StoreCall call, Reply *r)
{
  struct json_object *spec = json_tokener_parse ("{\"a\":1}");

  if (call == GET)
    p->ops->get (p, "config/main", on_reply, r);
  else if (call == CREATE || call == UPDATE)
    p->ops->put (p, "config/main", spec, call == CREATE ? BJ_STR_NULL : BJ_STR ("5"), on_reply, r);
  else
    p->ops->watch (p, "config/main", call == LIST ? BJ_STR_NULL : BJ_STR ("5"), on_reply, r);
  json_object_put (spec);
}

// Returns n nested arrays.
static char *
nest (int n)
{
  GString *s = g_string_new (NULL);

  for (int i = 0; i < 2 * n; i++)
    g_string_append_c (s, i < n ? '[' : ']');
  return g_string_free (s, FALSE);
}

static void
test_store (void **state)
{
  const BjPlatformOps *ops = bj_plugin_find (BJ_PLUGIN_PLATFORM, BJ_STR ("objects"));
  struct ev_loop *loop = ev_loop_new (0);
  BjHttp *http = bj_http_new (loop);
  BjAddress address = daemons_free_address ();
  char *deep = nest (DEEP);
  char url[64];
  Store store = { 0 };
  ev_prepare prepare;
  BjPlatform *p;

  (void)state;
  assert_int_equal (bj_server_new (loop, "store", address, &store_ops, &store, &store.server),
                    BJ_OK);
  ev_prepare_init (&prepare, on_prepare);
  prepare.data = &store;
  ev_prepare_start (loop, &prepare);
  g_snprintf (url, sizeof url, "http://127.0.0.1:%d", address.port);
  p = ops->create (loop, http, bj_str (url));
  for (size_t i = 0; i < G_N_ELEMENTS (store_cases); i++)
    {
      const StoreCase *c = &store_cases[i];
      Reply r = { .loop = loop };
      BjTime until = bj_clock_now () + WAIT_MS;

      print_message ("  %s\n", c->name);
      GString *body = g_string_new (c->answer.body);

      g_string_replace (body, "DEEP", deep, 0);
      store.next = c->answer;
      if (c->answer.body != NULL)
        store.next.body = body->str;
      send_store_call (p, c->call, &r);
      while (!r.is_done && bj_clock_now () < until)
        ev_run (loop, EVRUN_ONCE);
      assert_true (r.is_done);
      assert_string_equal (store.method, c->method);
      assert_string_equal (store.path, c->path);
      assert_non_null (strstr (store.body, c->body));
      assert_int_equal (r.code, c->code);
      assert_string_equal (r.version, c->version);
      assert_string_equal (r.spec, c->spec);
      g_string_free (body, TRUE);
    }
  g_free (deep);
  ops->destroy (p);
  bj_http_free (http);
  ev_prepare_stop (loop, &prepare);
  bj_server_free (store.server);
  ev_loop_destroy (loop);
}

// Entries beyond our limits must not keep the other routes of an accepted manifest from being
// served.
static void
test_manifest_with_entries_beyond_limits (void **state)
{
  static const struct
  {
    const char *name;
    const char *host;
    const char *prefix;
    const char *owner; // service or weighted services
    int n_shares;      // of the route, -1 if it is not served
    int n_left_out;
  } entries[] = {
    { "a long prefix", "a.example", "/%0*d/", "\"plans\",2,null", 0, 0 },
    { "a long host", "%0*d", "/p/", "\"plans\",2,null", 0, 0 },
    { "many shares", "a.example", "/p/", NULL, 40, 0 },
    { "the prefix of another route", "a.example", "/first/", "\"plans\",2,null", 0, 1 },
    { "a service name that no daemon can report", "a.example", "/p/", "\"a b\",2,null", -1, 1 },
    { "a prefix without a slash", "a.example", "p/", "\"plans\",2,null", -1, 1 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (entries); i++)
    {
      GString *shares = g_string_new ("null,2,[");
      char *host = g_strdup_printf (entries[i].host, 300, 1);
      char *prefix = g_strdup_printf (entries[i].prefix, 300, 1);
      GString *text = g_string_new (NULL);
      const BjServiceConfig *s = NULL;
      struct json_object *spec;
      const BjRoute *r;
      char *manifest;
      BjConfig *c;

      print_message ("  %s\n", entries[i].name);
      for (int n = 0; n < 40; n++)
        g_string_append_printf (
            shares, "%s{\"service\":\"plans\",\"weight\":%d}", n > 0 ? "," : "", n + 1);
      g_string_append_c (shares, ']');
      manifest = g_strdup_printf (
          MANIFEST ("r12",
                    "[\"r-1\",\"a.example\",\"/first/\",\"idempotent\",1,1,0,\"orders\",2,null],"
                    "[\"r-2\",\"%s\",\"%s\",\"idempotent\",1,1,0,%s],"
                    "[\"r-3\",\"a.example\",\"/last/\",\"idempotent\",1,1,0,\"orders\",2,null]"),
          host,
          prefix,
          entries[i].owner != NULL ? entries[i].owner : shares->str);
      spec = json_tokener_parse (manifest);
      assert_int_equal (platform_convert_manifest (spec, text), BJ_OK);
      if (bj_config_parse_with_defaults ((BjStr){ text->str, text->len }, BJ_STR_NULL, &c) != BJ_OK)
        fail_msg ("%s", bj_last_message ());
      r = bj_config_route_for_host (c, bj_str (host), bj_str (prefix), &s);
      assert_int_equal (r != NULL ? r->n_shares : -1, entries[i].n_shares);
      r = bj_config_route_for_host (c, BJ_STR ("a.example"), BJ_STR ("/first/x"), &s);
      assert_non_null (r);
      r = bj_config_route_for_host (c, BJ_STR ("a.example"), BJ_STR ("/last/x"), &s);
      assert_non_null (r);
      assert_int_equal (c->n_left_out, entries[i].n_left_out);
      bj_config_free (c);
      json_object_put (spec);
      g_free (manifest);
      g_string_free (text, TRUE);
      g_free (prefix);
      g_free (host);
      g_string_free (shares, TRUE);
    }
}

static void
on_put (void *data, const BjPlatformReply *r)
{
  *(bool *)data = r->code == BJ_OK;
}

// Entries of another writer in the list of members: each is passed over, the sound one is used.
static void
test_odd_members (void **state)
{
  static const char odd[]
      = "{\"writer\":[],\"gossip\":[null,7,1e999,-99999999999999999999,\"\",\":\",\"10.0.0.1\","
        "\"10.0.0.1:\",\"10.0.0.1:0\",\"10.0.0.1:65536\",\"10.0.0.1:99999999999999999999\","
        "\"no address:7000\",\"\u00e9:7000\",[\"10.0.0.1:7000\"],{\"a:1\":\"b:2\"},"
        "[[[[[[[[[[[[[[[[[[[[\":1\"]]]]]]]]]]]]]]]]]]]],\"%s:%d\"]}";
  const BjPlatformOps *ops = bj_plugin_find (BJ_PLUGIN_PLATFORM, BJ_STR ("memory"));
  struct ev_loop *loop = ev_loop_new (0);
  BjPlatform *p = ops->create (loop, NULL, BJ_STR ("odd"));
  BjSettings s = { .name = BJ_STR ("first"),
                   .gossip = daemons_free_address (),
                   .platform_name = BJ_STR ("memory"),
                   .platform_url = BJ_STR ("odd"),
                   .dialect = BJ_STR ("platform") };
  char *text = g_strdup_printf (odd, s.gossip.host.data, s.gossip.port);
  struct json_object *spec = json_tokener_parse (text);
  BjTime until = bj_clock_now () + WAIT_MS;
  BjDaemon *daemons[2];
  bool is_put = false;

  (void)state;
  assert_non_null (spec);
  ops->put (p, "members/a", spec, BJ_STR_NULL, on_put, &is_put);
  while (!is_put && bj_clock_now () < until)
    ev_run (loop, EVRUN_ONCE);
  assert_true (is_put);
  daemons[0] = daemons_new (loop, s);
  s.name = BJ_STR ("second");
  s.gossip = (BjAddress){ .port = 0 };
  daemons[1] = daemons_new (loop, s);
  while (bj_kernel_find_peer (daemons[1]->kernel, BJ_STR ("first")) == NULL
         && bj_clock_now () < until)
    ev_run (loop, EVRUN_ONCE);
  assert_non_null (bj_kernel_find_peer (daemons[1]->kernel, BJ_STR ("first")));
  for (int i = 0; i < 2; i++)
    bj_daemon_free (daemons[i]);
  ops->destroy (p);
  json_object_put (spec);
  g_free (text);
  ev_loop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_manifest),
    cmocka_unit_test (test_manifest_values_out_of_range),
    cmocka_unit_test (test_manifest_with_entries_beyond_limits),
    cmocka_unit_test (test_answers),
    cmocka_unit_test (test_refusals),
    cmocka_unit_test (test_request),
    cmocka_unit_test (test_announcements),
    cmocka_unit_test (test_odd_announcements),
    cmocka_unit_test (test_store),
    cmocka_unit_test (test_odd_members),
  };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
