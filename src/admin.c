// Admin: requests from operators and the own upstream to one daemon.

#include "access.h"
#include "internal.h"
#include "usage.h"
#include <string.h>

#define PORT_MAX 65535
#define SLOTS_MAX 1000000
#define UNHEALTHY_LOAD 2.0  // lowest load assumed for an upstream that announces it is unhealthy
#define SLOTS_SHARE_MIN 0.5 // lowest share of the slots that remains at any announced load

typedef int (*Handler) (BjDaemon *d, BjStr path, BjStr body, GString *out);

typedef struct
{
  const char *method;
  const char *prefix;
  Handler handle;
} Endpoint;

static const BjJsonKey announce_keys[] = {
  { "id", BJ_JSON_STR, false, 1, 64 },          { "service", BJ_JSON_STR, true, 1, 64 },
  { "host", BJ_JSON_STR, true, 7, 15 },         { "port", BJ_JSON_INT, true, 1, PORT_MAX },
  { "slots", BJ_JSON_INT, true, 1, SLOTS_MAX }, { "connections", BJ_JSON_INT, false, 0, SLOTS_MAX },
  { "load", BJ_JSON_NUMBER, false, 0, 1000 },   { "healthy", BJ_JSON_BOOL, false, 0, 0 },
  { "draining", BJ_JSON_BOOL, false, 0, 0 },
};

static int post_announce (BjDaemon *d, BjStr path, BjStr body, GString *out);
static int announced_slots (struct json_object *o);
static int get_ready (BjDaemon *d, BjStr path, BjStr body, GString *out);
static int
handle_dialect_announcement (BjDaemon *d, BjStr method, BjStr path, BjStr body, GString *out);
static int get_status (BjDaemon *d, BjStr path, BjStr body, GString *out);
static int get_members (BjDaemon *d, BjStr path, BjStr body, GString *out);
static int get_metrics (BjDaemon *d, BjStr path, BjStr body, GString *out);
static int get_config (BjDaemon *d, BjStr path, BjStr body, GString *out);
static int get_accounts (BjDaemon *d, BjStr path, BjStr body, GString *out);
static int get_explain (BjDaemon *d, BjStr path, BjStr body, GString *out);
static struct json_object *report_to_json (const BjPeerReport *r);
static void add_member (BjPeer *p, void *array);
static void append_json (GString *out, struct json_object *o);
static int append_error (GString *out, int status);
static void add_str (struct json_object *o, const char *key, BjStr value);
static void add_int (struct json_object *o, const char *key, int64_t value);

static const Endpoint endpoints[] = {
  { "POST", "/v1/announce", post_announce }, { "GET", "/v1/status", get_status },
  { "GET", "/v1/members", get_members },     { "GET", "/metrics", get_metrics },
  { "GET", "/v1/config", get_config },       { "GET", "/v1/accounts", get_accounts },
  { "GET", "/v1/explain/", get_explain },    { "GET", "/ready", get_ready },
};

int
bj_admin_handle (BjDaemon *d, BjStr method, BjStr path, BjStr body, GString *out)
{
  int status;

  for (size_t i = 0; i < G_N_ELEMENTS (endpoints); i++)
    if (bj_str_starts (path, bj_str (endpoints[i].prefix))
        && bj_str_equal (method, bj_str (endpoints[i].method)))
      return endpoints[i].handle (d, path, body, out);
  status = handle_dialect_announcement (d, method, path, body, out);
  if (status != 0)
    return status;
  bj_fail (BJ_E_NOT_FOUND, "Unknown request: %.*s %.*s.", BJ_STR_ARG (method), BJ_STR_ARG (path));
  return append_error (out, 404);
}

// Handles an announcement in the format of the dialect; returns 0 when it is no announcement.
static int
handle_dialect_announcement (BjDaemon *d, BjStr method, BjStr path, BjStr body, GString *out)
{
  BjAnnouncement a = { 0 };
  BjStatus s = d->dialect->read_announcement (method, path, body, &a);

  if (s == BJ_E_NOT_FOUND)
    return 0;
  if (s == BJ_OK)
    s = bj_daemon_handle_announcement (d, &a);
  bj_str_free (&a.id);
  bj_str_free (&a.service);
  bj_str_free (&a.address.host);
  if (s != BJ_OK)
    {
      bj_log (BJ_LOG_WARNING, "UPSTREAM", "Announcement rejected: %s", bj_last_message ());
      return append_error (out, s == BJ_E_CONFLICT ? 409 : 400);
    }
  g_string_append (out, "{}\n");
  return 200;
}

// Returns 200 when the platform may route callers to this daemon, else 503.
static int
get_ready (BjDaemon *d, BjStr path, BjStr body, GString *out)
{
  (void)path;
  (void)body;
  g_string_append (out, "{}\n");
  return !d->stopping && bj_kernel_config (d->kernel) != NULL ? 200 : 503;
}

static int
post_announce (BjDaemon *d, BjStr path, BjStr body, GString *out)
{
  struct json_object *o;
  BjStatus s = bj_json_read ("announcement", body, BJ_E_FORMAT, &o);
  BjAnnouncement a = { 0 };

  (void)path;
  if (s == BJ_OK)
    s = bj_json_check ("announcement",
                       "announcement",
                       o,
                       BJ_E_FORMAT,
                       announce_keys,
                       G_N_ELEMENTS (announce_keys));
  if (s != BJ_OK)
    {
      json_object_put (o);
      return append_error (out, 400);
    }
  a.id = bj_json_str (o, "id");
  a.service = bj_json_str (o, "service");
  a.address = (BjAddress){ bj_json_str (o, "host"), (int)bj_json_number (o, "port", 0) };
  a.slots = announced_slots (o);
  a.draining = bj_json_bool (o, "draining", false);
  bj_daemon_handle_announcement (d, &a);
  json_object_put (o);
  g_string_append (out, "{}\n");
  return 200;
}

// Returns the announced slots, lowered while the upstream announces overload or ill health. The
// announced load may be wrong, so it never raises the slots and never lowers them below
// SLOTS_SHARE_MIN of them; the limiter adjusts further by its own measurements.
static int
announced_slots (struct json_object *o)
{
  int slots = (int)bj_json_number (o, "slots", 1);
  double load = bj_json_number (o, "load", 0);

  if (!bj_json_bool (o, "healthy", true))
    load = MAX (load, UNHEALTHY_LOAD);
  if (load <= 1)
    return slots;
  return MAX (1, (int)(slots * MAX (1 / load, SLOTS_SHARE_MIN)));
}

static int
get_status (BjDaemon *d, BjStr path, BjStr body, GString *out)
{
  struct json_object *o;
  BjPeerReport self;

  (void)path;
  (void)body;
  bj_kernel_get_self_report (d->kernel, bj_clock_now (), &self);
  o = report_to_json (&self);
  add_int (o, "open_calls", bj_kernel_open_calls (d->kernel));
  json_object_object_add (o, "stopping", json_object_new_boolean (d->stopping));
  append_json (out, o);
  return 200;
}

static int
get_members (BjDaemon *d, BjStr path, BjStr body, GString *out)
{
  struct json_object *array = json_object_new_array ();
  BjPeerReport self;

  (void)path;
  (void)body;
  // Updates the own report in the list of peers.
  bj_kernel_get_self_report (d->kernel, bj_clock_now (), &self);
  bj_kernel_each_peer (d->kernel, add_member, array);
  append_json (out, array);
  return 200;
}

static int
get_metrics (BjDaemon *d, BjStr path, BjStr body, GString *out)
{
  (void)path;
  (void)body;
  bj_kernel_metrics (d->kernel, bj_clock_now (), out);
  bj_reader_metrics (d->reader, out);
  bj_metric_print (out);
  return 200;
}

static int
get_config (BjDaemon *d, BjStr path, BjStr body, GString *out)
{
  const BjConfig *c = bj_kernel_config (d->kernel);

  (void)path;
  (void)body;
  if (c == NULL)
    {
      bj_fail (BJ_E_NOT_FOUND, "No configuration received yet.");
      return append_error (out, 404);
    }
  g_string_append_len (out, c->text.data, (gssize)c->text.len);
  g_string_append_c (out, '\n');
  return 200;
}

static int
get_accounts (BjDaemon *d, BjStr path, BjStr body, GString *out)
{
  const BjConfig *c = bj_kernel_config (d->kernel);
  struct json_object *array = json_object_new_array ();

  (void)path;
  (void)body;
  for (int i = 0; c != NULL && i < bj_accounts_count (c->accounts); i++)
    {
      const BjAccount *a = bj_accounts_at (c->accounts, i);
      struct json_object *o = json_object_new_object ();
      BjQuotaUse use = { 0 };

      bj_quota_use (bj_usage_quota (d->usage), bj_clock_now (), a->hash, &use);
      add_str (o, "name", a->name);
      add_str (o, "class", a->klass >= 0 ? bj_str (c->classes->pdata[a->klass]) : BJ_STR_NULL);
      json_object_object_add (o, "rate_per_s", json_object_new_double (a->rate_per_s));
      json_object_object_add (o, "burst", json_object_new_double (a->burst));
      json_object_object_add (o, "use_per_s", json_object_new_double (use.use));
      json_object_object_add (o, "demand_per_s", json_object_new_double (use.demand));
      json_object_object_add (o, "level", json_object_new_double (use.level));
      json_object_object_add (o, "share", json_object_new_double (use.share));
      add_int (o, "calls", (int64_t)bj_access_calls (d->kernel, a->name));
      add_int (o, "refused", (int64_t)bj_access_refused (d->kernel, a->name));
      add_int (o, "keys", a->n_keys);
      json_object_array_add (array, o);
    }
  append_json (out, array);
  return 200;
}

static int
get_explain (BjDaemon *d, BjStr path, BjStr body, GString *out)
{
  size_t skip = strlen ("/v1/explain/");

  (void)body;
  bj_kernel_explain (d->kernel, (BjStr){ path.data + skip, path.len - skip }, out);
  return 200;
}

static struct json_object *
report_to_json (const BjPeerReport *r)
{
  struct json_object *o = json_object_new_object ();

  add_str (o, "name", r->name);
  add_str (o, "domain", r->domain);
  add_str (o, "region", r->region);
  add_str (o, "service", r->service);
  add_int (o, "limit", r->limit);
  add_int (o, "in_flight", r->in_flight);
  add_int (o, "queued", r->queued);
  add_int (o, "level", r->level);
  add_int (o, "failing", r->failure_permille);
  json_object_object_add (o, "draining", json_object_new_boolean (r->draining));
  add_int (o, "ticket", r->config_number);
  return o;
}

static void
add_member (BjPeer *p, void *array)
{
  json_object_array_add (array, report_to_json (&p->report));
}

static void
append_json (GString *out, struct json_object *o)
{
  g_string_append (out, json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  g_string_append_c (out, '\n');
  json_object_put (o);
}

static int
append_error (GString *out, int status)
{
  struct json_object *o = json_object_new_object ();

  add_str (o, "error", bj_str (bj_last_message ()));
  append_json (out, o);
  return status;
}

static void
add_str (struct json_object *o, const char *key, BjStr value)
{
  json_object_object_add (
      o, key, json_object_new_string_len (value.data != NULL ? value.data : "", (int)value.len));
}

static void
add_int (struct json_object *o, const char *key, int64_t value)
{
  json_object_object_add (o, key, json_object_new_int64 (value));
}
