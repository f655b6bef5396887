// Admin: operators' and upstreams' requests to one daemon.

#include "internal.h"
#include <string.h>

#define PORT_MAX 65535
#define SLOTS_MAX 1000000
#define SICK_LOAD 2.0         // counts for an upstream that says it is not healthy
#define LOWERED_SHARE_MIN 0.5 // of the slots that announced load leaves

typedef int (*Handler) (BjDaemon *d, BjStr path, BjStr body, GString *out);

typedef struct
{
  const char *method;
  const char *prefix;
  Handler handle;
} Entry;

static const BjJsonKey announce_keys[] = {
  { "service", BJ_JSON_STR, true, 1, 64 },
  { "host", BJ_JSON_STR, true, 7, 15 },
  { "port", BJ_JSON_INT, true, 1, PORT_MAX },
  { "slots", BJ_JSON_INT, true, 1, SLOTS_MAX },
  { "connections", BJ_JSON_INT, false, 0, SLOTS_MAX },
  { "load", BJ_JSON_NUMBER, false, 0, 1000 },
  { "healthy", BJ_JSON_BOOL, false, 0, 0 },
  { "draining", BJ_JSON_BOOL, false, 0, 0 },
};

static int post_announce (BjDaemon *d, BjStr path, BjStr body, GString *out);
static int announced_slots (struct json_object *o);
static int get_ready (BjDaemon *d, BjStr path, BjStr body, GString *out);
static int take_announcement (BjDaemon *d, BjStr method, BjStr path, BjStr body, GString *out);
static int get_status (BjDaemon *d, BjStr path, BjStr body, GString *out);
static int get_members (BjDaemon *d, BjStr path, BjStr body, GString *out);
static int get_metrics (BjDaemon *d, BjStr path, BjStr body, GString *out);
static int get_config (BjDaemon *d, BjStr path, BjStr body, GString *out);
static int get_explain (BjDaemon *d, BjStr path, BjStr body, GString *out);
static struct json_object *report_object (const BjPeerReport *r);
static void add_member (BjPeer *p, void *array);
static void print (GString *out, struct json_object *o);
static int fail (GString *out, int status);
static void add_str (struct json_object *o, const char *key, BjStr value);
static void add_int (struct json_object *o, const char *key, int64_t value);

static const Entry entries[] = {
  { "POST", "/v1/announce", post_announce },
  { "GET", "/v1/status", get_status },
  { "GET", "/v1/members", get_members },
  { "GET", "/metrics", get_metrics },
  { "GET", "/v1/config", get_config },
  { "GET", "/v1/explain/", get_explain },
  { "GET", "/ready", get_ready },
};

int
bj_admin_handle (BjDaemon *d, BjStr method, BjStr path, BjStr body, GString *out)
{
  int status;

  for (size_t i = 0; i < G_N_ELEMENTS (entries); i++)
    if (bj_str_starts (path, bj_str (entries[i].prefix))
        && bj_str_equal (method, bj_str (entries[i].method)))
      return entries[i].handle (d, path, body, out);
  status = take_announcement (d, method, path, body, out);
  if (status != 0)
    return status;
  bj_fail (BJ_E_NOT_FOUND, "There is no %.*s %.*s here.", BJ_STR_ARG (method), BJ_STR_ARG (path));
  return fail (out, 404);
}

// In the words of the dialect; 0 when it is no announcement.
static int
take_announcement (BjDaemon *d, BjStr method, BjStr path, BjStr body, GString *out)
{
  BjAnnouncement a = { 0 };
  BjStatus s = d->dialect->read_announcement (method, path, body, &a);

  if (s == BJ_E_NOT_FOUND)
    return 0;
  if (s == BJ_OK)
    s = bj_daemon_announce (d, &a);
  bj_str_free (&a.id);
  bj_str_free (&a.service);
  bj_str_free (&a.address.host);
  if (s != BJ_OK)
    {
      bj_log (BJ_LOG_WARNING, "UPSTREAM", "An announcement was refused: %s", bj_last_message ());
      return fail (out, s == BJ_E_CONFLICT ? 409 : 400);
    }
  g_string_append (out, "{}\n");
  return 200;
}

// Whether the platform may send callers here.
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
      return fail (out, 400);
    }
  a.service = bj_json_str (o, "service");
  a.address = (BjAddress){ bj_json_str (o, "host"), (int)bj_json_number (o, "port", 0) };
  a.slots = announced_slots (o);
  a.draining = bj_json_bool (o, "draining", false);
  bj_daemon_announce (d, &a);
  json_object_put (o);
  g_string_append (out, "{}\n");
  return 200;
}

// The slots, lowered while the upstream claims to be overloaded or sick. A claim may mislead: it
// never raises them and takes no more than a part of them; the limiter measures the rest.
static int
announced_slots (struct json_object *o)
{
  int slots = (int)bj_json_number (o, "slots", 1);
  double load = bj_json_number (o, "load", 0);

  if (!bj_json_bool (o, "healthy", true))
    load = MAX (load, SICK_LOAD);
  if (load <= 1)
    return slots;
  return MAX (1, (int)(slots * MAX (1 / load, LOWERED_SHARE_MIN)));
}

static int
get_status (BjDaemon *d, BjStr path, BjStr body, GString *out)
{
  struct json_object *o;
  BjPeerReport self;

  (void)path;
  (void)body;
  bj_kernel_self (d->kernel, bj_clock_now (), &self);
  o = report_object (&self);
  add_int (o, "open_calls", bj_kernel_open_calls (d->kernel));
  json_object_object_add (o, "stopping", json_object_new_boolean (d->stopping));
  print (out, o);
  return 200;
}

static int
get_members (BjDaemon *d, BjStr path, BjStr body, GString *out)
{
  struct json_object *array = json_object_new_array ();
  BjPeerReport self;

  (void)path;
  (void)body;
  bj_kernel_self (d->kernel, bj_clock_now (), &self);
  bj_kernel_each_peer (d->kernel, add_member, array);
  print (out, array);
  return 200;
}

static int
get_metrics (BjDaemon *d, BjStr path, BjStr body, GString *out)
{
  (void)path;
  (void)body;
  bj_kernel_metrics (d->kernel, bj_clock_now (), out);
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
      bj_fail (BJ_E_NOT_FOUND, "No configuration is in force yet.");
      return fail (out, 404);
    }
  g_string_append_len (out, c->text.data, (gssize)c->text.len);
  g_string_append_c (out, '\n');
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
report_object (const BjPeerReport *r)
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
  add_int (o, "failing", r->failing);
  json_object_object_add (o, "draining", json_object_new_boolean (r->draining));
  add_int (o, "ticket", r->config_number);
  return o;
}

static void
add_member (BjPeer *p, void *array)
{
  json_object_array_add (array, report_object (&p->report));
}

static void
print (GString *out, struct json_object *o)
{
  g_string_append (out, json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  g_string_append_c (out, '\n');
  json_object_put (o);
}

static int
fail (GString *out, int status)
{
  struct json_object *o = json_object_new_object ();

  add_str (o, "error", bj_str (bj_last_message ()));
  print (out, o);
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
