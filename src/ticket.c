// Numbered configuration tickets. A ticket contains the complete state of every service and
// upstream that it changes, and all priorities if it changes them. The merged configuration has the
// same form.

#include "internal.h"
#include "kernel.h"
#include <string.h>

#define NAME_MAX_BYTES 64
#define ROUTES_MAX 262144 // BJ_CONFIG_MAX / 16, more than a configuration has room for
#define SHARES_MAX 256
#define ROUTE_TEXT_MAX 8192 // bytes of a host or prefix; longer than the head of most requests
#define WEIGHT_MAX 1000000
#define NUMBER_MAX 9007199254740991.0 // largest ticket number, exact as a double
#define MINUTE_MS 60000
#define BODY_BYTES_MAX 1073741824.0

static const BjJsonKey ticket_keys[] = {
  { "number", BJ_JSON_INT, true, 1, NUMBER_MAX },
  { "base", BJ_JSON_INT, true, 0, NUMBER_MAX },
  { "author", BJ_JSON_STR, false, 0, 0 },
  { "services", BJ_JSON_OBJECT, false, 0, 0 },
  { "upstreams", BJ_JSON_OBJECT, false, 0, 0 },
  { "priorities", BJ_JSON_ARRAY, false, 1, BJ_CLASSES },
};
static const BjJsonKey merged_keys[] = {
  { "number", BJ_JSON_INT, true, 1, NUMBER_MAX },
  { "decisions", BJ_JSON_ARRAY, false, 0, BJ_DECISIONS_MAX },
  { "priorities_number", BJ_JSON_INT, false, 0, NUMBER_MAX },
  { "services", BJ_JSON_OBJECT, false, 0, 0 },
  { "upstreams", BJ_JSON_OBJECT, false, 0, 0 },
  { "priorities", BJ_JSON_ARRAY, false, 1, BJ_CLASSES },
  { "callers", BJ_JSON_OBJECT, false, 0, 0 },
};
static const BjJsonKey callers_keys[] = {
  { "header_bytes", BJ_JSON_INT, false, 256, 1048576 },
  { "body_bytes", BJ_JSON_INT, false, 0, BODY_BYTES_MAX },
  { "header_timeout_ms", BJ_JSON_NUMBER, false, 1, 10 * MINUTE_MS },
  { "idle_timeout_ms", BJ_JSON_NUMBER, false, 1, 60 * MINUTE_MS },
};
static const BjJsonKey share_keys[] = {
  { "service", BJ_JSON_STR, true, 1, NAME_MAX_BYTES },
  { "weight", BJ_JSON_INT, true, 0, WEIGHT_MAX },
};
static const BjJsonKey service_keys[] = {
  { "number", BJ_JSON_INT, false, 1, NUMBER_MAX },
  { "routes", BJ_JSON_ARRAY, false, 1, ROUTES_MAX },
  { "limiter", BJ_JSON_OBJECT, false, 0, 0 },
  { "queue", BJ_JSON_OBJECT, false, 0, 0 },
  { "router", BJ_JSON_OBJECT, false, 0, 0 },
  { "retry", BJ_JSON_OBJECT, false, 0, 0 },
  { "prefer", BJ_JSON_STR, false, 0, 0 },
  { "admission", BJ_JSON_OBJECT, false, 0, 0 },
};
static const BjJsonKey route_keys[] = {
  { "prefix", BJ_JSON_STR, true, 1, ROUTE_TEXT_MAX },
  { "class", BJ_JSON_STR, true, 1, NAME_MAX_BYTES },
  { "irreversible", BJ_JSON_BOOL, false, 0, 0 },
  { "deadline_ms", BJ_JSON_NUMBER, false, 1, 10 * MINUTE_MS },
  { "host", BJ_JSON_STR, false, 1, ROUTE_TEXT_MAX },
  { "objective_ms", BJ_JSON_NUMBER, false, 1, 10 * MINUTE_MS },
  { "claim", BJ_JSON_BOOL, false, 0, 0 },
  { "shares", BJ_JSON_ARRAY, false, 1, SHARES_MAX },
  { "attempts", BJ_JSON_INT, false, 0, 10 },
};
static const BjJsonKey limiter_keys[] = {
  { "plugin", BJ_JSON_STR, false, 0, 0 },
  { "ramp_ms", BJ_JSON_NUMBER, false, 0, MINUTE_MS },
  { "tolerance", BJ_JSON_NUMBER, false, 1, 100 },
};
static const BjJsonKey queue_keys[] = {
  { "plugin", BJ_JSON_STR, false, 0, 0 },
  { "max_wait_ms", BJ_JSON_NUMBER, false, 0, MINUTE_MS },
  { "max_length", BJ_JSON_INT, false, 1, 1000000 },
};
static const BjJsonKey router_keys[] = {
  { "plugin", BJ_JSON_STR, false, 0, 0 },
};
static const BjJsonKey admission_keys[] = {
  { "plugin", BJ_JSON_STR, false, 0, 0 },
};
static const BjJsonKey retry_keys[] = {
  { "plugin", BJ_JSON_STR, false, 0, 0 },       { "ratio", BJ_JSON_NUMBER, false, 0, 1 },
  { "burst", BJ_JSON_NUMBER, false, 0, 10000 }, { "saved", BJ_JSON_NUMBER, false, 0, 1 },
  { "reserve", BJ_JSON_INT, false, 0, 1000 },
};
static const BjJsonKey upstream_keys[] = {
  { "number", BJ_JSON_INT, false, 1, NUMBER_MAX },
  { "drain", BJ_JSON_BOOL, false, 0, 0 },
  { "max_slots", BJ_JSON_INT, false, 0, 1000000 },
};

static const BjJsonTable tables[] = {
  { "ticket", ticket_keys, G_N_ELEMENTS (ticket_keys) },
  { "services.NAME", service_keys, G_N_ELEMENTS (service_keys) },
  { "services.NAME.routes[]", route_keys, G_N_ELEMENTS (route_keys) },
  { "services.NAME.routes[].shares[]", share_keys, G_N_ELEMENTS (share_keys) },
  { "services.NAME.limiter", limiter_keys, G_N_ELEMENTS (limiter_keys) },
  { "services.NAME.queue", queue_keys, G_N_ELEMENTS (queue_keys) },
  { "services.NAME.router", router_keys, G_N_ELEMENTS (router_keys) },
  { "services.NAME.retry", retry_keys, G_N_ELEMENTS (retry_keys) },
  { "services.NAME.admission", admission_keys, G_N_ELEMENTS (admission_keys) },
  { "upstreams.NAME", upstream_keys, G_N_ELEMENTS (upstream_keys) },
};

typedef struct
{
  const BjRoute *route;
  const BjServiceConfig *service;
} RouteEntry;

// Routes of one host.
typedef struct
{
  GHashTable *by_prefix; // BjStr* to RouteEntry*
  GArray *lengths;       // of the prefixes, size_t, each once, the longest first
} HostRoutes;

static BjStatus parse_config (BjStr text, BjStr defaults, bool is_in_force, BjConfig **config);
static BjStatus add_service_defaults (struct json_object *config, BjStr defaults);
static void free_service (BjServiceConfig *s);
static void free_route (BjRoute *r);
static BjStatus read_config (struct json_object *o, BjConfig *c);
static bool leave_out (BjConfig *c, BjStatus s);
static BjStatus check_name (const char *section, const char *name);
static BjStatus check_prefixes (BjConfig *c);
static void remove_route (BjServiceConfig *s, int at);
static BjStatus read_classes (struct json_object *o, BjConfig *c);
static BjStatus read_services (struct json_object *o, BjConfig *c);
static BjStatus
read_service (const char *name, struct json_object *o, BjConfig *c, BjServiceConfig *s);
static BjStatus read_route (const char *path, struct json_object *o, BjConfig *c, BjRoute *r);
static BjStatus read_shares (const char *path, struct json_object *o, BjRoute *r);
static BjStatus read_callers (struct json_object *o, BjCallerLimits *l);
static void index_hosts (BjConfig *c);
static HostRoutes *new_host (void);
static void add_route (HostRoutes *h, const BjRoute *r, const BjServiceConfig *s);
static void free_host (gpointer host);
static const RouteEntry *find_route (const BjConfig *c, BjStr host, BjStr path);
static BjStatus read_plugins (const char *path, struct json_object *o, BjServiceConfig *s);
static BjStatus read_plugin (const char *path,
                             struct json_object *o,
                             const char *key,
                             BjPluginKind kind,
                             const char *default_name,
                             const BjJsonKey *keys,
                             int n,
                             struct json_object **options,
                             const void **ops);
static BjStatus read_prefer (const char *path, struct json_object *o, BjServiceConfig *s);
static BjStatus read_admission (const char *path, struct json_object *o, BjServiceConfig *s);
static BjStatus read_upstreams (struct json_object *o, BjConfig *c);
static int find_class (const BjConfig *c, BjStr name);

BjStatus
bj_config_parse (BjStr text, BjConfig **config)
{
  return parse_config (text, BJ_STR_NULL, false, config);
}

BjStatus
bj_config_parse_with_defaults (BjStr text, BjStr defaults, BjConfig **config)
{
  return parse_config (text, defaults, true, config);
}

static BjStatus
parse_config (BjStr text, BjStr defaults, bool is_in_force, BjConfig **config)
{
  struct json_object *o;
  BjStatus s;

  *config = NULL;
  s = bj_config_read (text, &o);
  if (s != BJ_OK)
    return s;
  *config = g_new0 (BjConfig, 1);
  (*config)->is_in_force = is_in_force;
  s = add_service_defaults (o, defaults);
  if (s == BJ_OK)
    s = read_config (o, *config);
  if (s == BJ_OK)
    (*config)->text = bj_str_dup (text);
  json_object_put (o);
  if (s != BJ_OK)
    g_clear_pointer (config, bj_config_free);
  return s;
}

static BjStatus
add_service_defaults (struct json_object *config, BjStr defaults)
{
  struct json_object *from;
  struct json_object *services;
  BjStatus s;

  if (defaults.len == 0 || !json_object_object_get_ex (config, "services", &services))
    return BJ_OK;
  s = bj_json_read ("service_defaults", defaults, BJ_E_SETTINGS, &from);
  if (s != BJ_OK)
    return s;
  json_object_object_foreach (services, name, service)
  {
    (void)name;
    json_object_object_foreach (from, key, value)
    {
      if (!json_object_object_get_ex (service, key, NULL))
        json_object_object_add (service, key, json_object_get (value));
    }
  }
  json_object_put (from);
  return BJ_OK;
}

void
bj_config_free (BjConfig *c)
{
  if (c == NULL)
    return;
  for (int i = 0; i < c->n_services; i++)
    free_service (&c->services[i]);
  g_free (c->services);
  for (int i = 0; i < c->n_upstreams; i++)
    bj_str_free (&c->upstreams[i].name);
  g_free (c->upstreams);
  if (c->classes != NULL)
    g_ptr_array_free (c->classes, TRUE);
  if (c->hosts != NULL)
    g_hash_table_destroy (c->hosts);
  bj_str_free (&c->text);
  g_free (c);
}

const BjServiceConfig *
bj_config_service (const BjConfig *c, BjStr name)
{
  for (int i = 0; c != NULL && i < c->n_services; i++)
    if (bj_str_equal (c->services[i].name, name))
      return &c->services[i];
  return NULL;
}

const BjUpstreamConfig *
bj_config_upstream (const BjConfig *c, BjStr name)
{
  for (int i = 0; c != NULL && i < c->n_upstreams; i++)
    if (bj_str_equal (c->upstreams[i].name, name))
      return &c->upstreams[i];
  return NULL;
}

const BjRoute *
bj_config_route (const BjConfig *c, BjStr path, const BjServiceConfig **s)
{
  return bj_config_route_for_host (c, BJ_STR_NULL, path, s);
}

const BjRoute *
bj_config_route_for_host (const BjConfig *c, BjStr host, BjStr path, const BjServiceConfig **s)
{
  const RouteEntry *found = host.len > 0 ? find_route (c, host, path) : NULL;

  if (found == NULL)
    found = find_route (c, BJ_STR_NULL, path);
  if (found == NULL)
    return NULL;
  *s = found->service;
  return found->route;
}

uint64_t
bj_config_route_hash (const BjRoute *r)
{
  return r != NULL ? bj_str_hash (r->prefix) ^ (bj_str_hash (r->host) << 1) : 0;
}

double
bj_config_clamp (const char *key, double value)
{
  static const struct
  {
    const BjJsonKey *keys;
    size_t n;
  } all[] = {
    { route_keys, G_N_ELEMENTS (route_keys) },
    { share_keys, G_N_ELEMENTS (share_keys) },
    { callers_keys, G_N_ELEMENTS (callers_keys) },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    for (size_t j = 0; j < all[i].n; j++)
      if (strcmp (all[i].keys[j].key, key) == 0)
        return CLAMP (value, all[i].keys[j].min, all[i].keys[j].max);
  return value;
}

const BjJsonTable *
bj_ticket_tables (int *n)
{
  *n = G_N_ELEMENTS (tables);
  return tables;
}

static BjStatus
read_config (struct json_object *o, BjConfig *c)
{
  BjStatus s = bj_json_check (
      "configuration", "configuration", o, BJ_E_TICKET, merged_keys, G_N_ELEMENTS (merged_keys));

  c->number = bj_json_int (o, "number");
  if (s == BJ_OK)
    s = read_classes (o, c);
  if (s == BJ_OK)
    s = read_services (o, c);
  if (s == BJ_OK)
    s = read_upstreams (o, c);
  if (s == BJ_OK)
    s = read_callers (o, &c->callers);
  if (s == BJ_OK)
    index_hosts (c);
  return s;
}

static BjStatus
read_classes (struct json_object *o, BjConfig *c)
{
  struct json_object *a;

  c->classes = g_ptr_array_new_with_free_func (g_free);
  if (!json_object_object_get_ex (o, "priorities", &a))
    return BJ_OK;
  for (size_t i = 0; i < json_object_array_length (a); i++)
    {
      struct json_object *v = json_object_array_get_idx (a, i);
      const char *name = json_object_get_string (v);

      if (!json_object_is_type (v, json_type_string))
        return bj_fail (BJ_E_TICKET, "priorities[%zu]: must be the name of a class.", i);
      if (check_name ("priorities", name) != BJ_OK)
        return BJ_E_TICKET;
      if (find_class (c, bj_str (name)) >= 0)
        return bj_fail (BJ_E_TICKET, "priorities[%zu]: class \"%s\" stands twice.", i, name);
      g_ptr_array_add (c->classes, g_strdup (name));
    }
  return BJ_OK;
}

static BjStatus
read_services (struct json_object *o, BjConfig *c)
{
  struct json_object *all;

  if (!json_object_object_get_ex (o, "services", &all))
    return BJ_OK;
  c->services = g_new0 (BjServiceConfig, json_object_object_length (all));
  json_object_object_foreach (all, name, value)
  {
    BjServiceConfig *service = &c->services[c->n_services++];
    BjStatus s = read_service (name, value, c, service);

    if (leave_out (c, s))
      {
        free_service (service);
        *service = (BjServiceConfig){ 0 };
        c->n_services--;
      }
    else if (s != BJ_OK)
      return s;
  }
  return check_prefixes (c);
}

// True if an entry with this status is left out and the rest of the configuration is used.
static bool
leave_out (BjConfig *c, BjStatus s)
{
  if (s == BJ_OK || !c->is_in_force)
    return false;
  if (c->n_left_out++ == 0)
    bj_log (BJ_LOG_WARNING,
            "TICKET",
            "number=%" G_GINT64_FORMAT
            ": an entry is not served, further ones are only counted: %s",
            c->number,
            bj_last_message ());
  return true;
}

// Names appear in log lines, URLs and metric labels, so their characters are restricted.
static BjStatus
check_name (const char *section, const char *name)
{
  size_t n = strlen (name);
  bool is_valid = n >= 1 && n <= NAME_MAX_BYTES;

  for (size_t i = 0; i < n && is_valid; i++)
    is_valid = g_ascii_isalnum (name[i]) || strchr ("._-", name[i]) != NULL;
  if (is_valid)
    return BJ_OK;
  return bj_fail (
      BJ_E_TICKET,
      "%s: name \"%.64s\" must be 1 to %d letters, digits, dots, dashes or underscores.",
      section,
      name,
      NAME_MAX_BYTES);
}

// A prefix may occur only once per host; otherwise its calls could go to either service.
static BjStatus
check_prefixes (BjConfig *c)
{
  GHashTable *seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  BjStatus status = BJ_OK;

  for (int i = 0; i < c->n_services && status == BJ_OK; i++)
    for (int j = 0; j < c->services[i].n_routes && status == BJ_OK; j++)
      {
        const BjRoute *r = &c->services[i].routes[j];
        const char *prefix = r->prefix.data;

        if (g_hash_table_add (seen, g_strdup_printf ("%.*s%s", BJ_STR_ARG (r->host), prefix)))
          continue;
        status = bj_fail (BJ_E_TICKET,
                          "services.%s: prefix \"%.256s\" stands twice, one service may have it.",
                          c->services[i].name.data,
                          prefix);
        if (!leave_out (c, status))
          continue;
        remove_route (&c->services[i], j--);
        status = BJ_OK;
      }
  g_hash_table_destroy (seen);
  return status;
}

static void
remove_route (BjServiceConfig *s, int at)
{
  free_route (&s->routes[at]);
  s->n_routes--;
  memmove (&s->routes[at], &s->routes[at + 1], (size_t)(s->n_routes - at) * sizeof *s->routes);
}

static BjStatus
read_service (const char *name, struct json_object *o, BjConfig *c, BjServiceConfig *s)
{
  char path[128];
  struct json_object *routes = NULL;
  BjStatus status;
  size_t n;

  g_snprintf (path, sizeof path, "services.%.64s", name);
  s->name = bj_str_dup (bj_str (name));
  status = check_name ("services", name);
  if (status == BJ_OK)
    status
        = bj_json_check ("ticket", path, o, BJ_E_TICKET, service_keys, G_N_ELEMENTS (service_keys));
  if (status != BJ_OK)
    return status;
  s->number = bj_json_int (o, "number");
  if (!json_object_object_get_ex (o, "routes", &routes) && !c->is_in_force)
    return bj_fail (BJ_E_TICKET, "%s.routes: is missing, a service needs a route.", path);
  n = routes != NULL ? json_object_array_length (routes) : 0;
  s->routes = g_new0 (BjRoute, n);
  for (size_t i = 0; i < n && status == BJ_OK; i++)
    {
      BjRoute *r = &s->routes[s->n_routes++];

      status = read_route (path, json_object_array_get_idx (routes, i), c, r);
      if (!leave_out (c, status))
        continue;
      free_route (r);
      *r = (BjRoute){ 0 };
      s->n_routes--;
      status = BJ_OK;
    }
  if (status == BJ_OK)
    status = read_prefer (path, o, s);
  if (status == BJ_OK)
    status = read_admission (path, o, s);
  return status == BJ_OK ? read_plugins (path, o, s) : status;
}

static BjStatus
read_route (const char *path, struct json_object *o, BjConfig *c, BjRoute *r)
{
  BjStatus s
      = bj_json_check ("ticket", path, o, BJ_E_TICKET, route_keys, G_N_ELEMENTS (route_keys));
  BjStr klass;

  if (s != BJ_OK)
    return s;
  klass = bj_json_str (o, "class");
  r->prefix = bj_str_dup (bj_json_str (o, "prefix"));
  r->host = bj_str_dup (bj_json_str (o, "host"));
  r->needs_claim = bj_json_bool (o, "claim", true);
  r->klass = find_class (c, klass);
  r->irreversible = bj_json_bool (o, "irreversible", false);
  r->deadline_ms = bj_json_number (o, "deadline_ms", BJ_DEFAULT_DEADLINE_MS);
  r->objective_ms = bj_json_number (o, "objective_ms", r->deadline_ms);
  r->attempts = (int)bj_json_number (o, "attempts", BJ_DEFAULT_RETRIES);
  if (r->klass < 0)
    return bj_fail (
        BJ_E_TICKET, "%s: class \"%.*s\" is not among the priorities.", path, BJ_STR_ARG (klass));
  if (r->prefix.data[0] != '/')
    return bj_fail (
        BJ_E_TICKET, "%s: prefix \"%s\" must begin with a slash.", path, r->prefix.data);
  return read_shares (path, o, r);
}

static BjStatus
read_shares (const char *path, struct json_object *o, BjRoute *r)
{
  struct json_object *all;
  size_t n;

  if (!json_object_object_get_ex (o, "shares", &all))
    return BJ_OK;
  n = json_object_array_length (all);
  r->shares = g_new0 (BjShare, n);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *v = json_object_array_get_idx (all, i);
      BjStatus s
          = bj_json_check ("ticket", path, v, BJ_E_TICKET, share_keys, G_N_ELEMENTS (share_keys));

      if (s != BJ_OK)
        return s;
      r->shares[r->n_shares++]
          = (BjShare){ bj_str_dup (bj_json_str (v, "service")), (int)bj_json_int (v, "weight") };
    }
  return BJ_OK;
}

static BjStatus
read_callers (struct json_object *o, BjCallerLimits *l)
{
  struct json_object *callers = NULL;
  BjStatus s = BJ_OK;

  *l = (BjCallerLimits)BJ_CALLER_LIMITS_DEFAULT;
  if (json_object_object_get_ex (o, "callers", &callers))
    s = bj_json_check (
        "ticket", "callers", callers, BJ_E_TICKET, callers_keys, G_N_ELEMENTS (callers_keys));
  if (s != BJ_OK)
    return s;
  l->header_bytes = (size_t)bj_json_number (callers, "header_bytes", (double)l->header_bytes);
  l->body_bytes = (size_t)bj_json_number (callers, "body_bytes", (double)l->body_bytes);
  l->header_timeout_ms = bj_json_number (callers, "header_timeout_ms", l->header_timeout_ms);
  l->idle_timeout_ms = bj_json_number (callers, "idle_timeout_ms", l->idle_timeout_ms);
  return BJ_OK;
}

static void
index_hosts (BjConfig *c)
{
  c->hosts = g_hash_table_new_full (bj_str_key_hash, bj_str_key_equal, NULL, free_host);
  for (int s = 0; s < c->n_services; s++)
    for (int r = 0; r < c->services[s].n_routes; r++)
      {
        const BjRoute *route = &c->services[s].routes[r];
        HostRoutes *host = g_hash_table_lookup (c->hosts, &route->host);

        if (host == NULL)
          {
            host = new_host ();
            g_hash_table_insert (c->hosts, (gpointer)&route->host, host);
          }
        add_route (host, route, &c->services[s]);
      }
}

static HostRoutes *
new_host (void)
{
  HostRoutes *h = g_new0 (HostRoutes, 1);

  h->by_prefix = g_hash_table_new_full (bj_str_key_hash, bj_str_key_equal, NULL, g_free);
  h->lengths = g_array_new (FALSE, FALSE, sizeof (size_t));
  return h;
}

static void
add_route (HostRoutes *h, const BjRoute *r, const BjServiceConfig *s)
{
  RouteEntry *e = g_new0 (RouteEntry, 1);
  guint i = 0;

  *e = (RouteEntry){ r, s };
  g_hash_table_insert (h->by_prefix, (gpointer)&r->prefix, e);
  while (i < h->lengths->len && g_array_index (h->lengths, size_t, i) > r->prefix.len)
    i++;
  if (i == h->lengths->len || g_array_index (h->lengths, size_t, i) != r->prefix.len)
    g_array_insert_val (h->lengths, i, r->prefix.len);
}

static void
free_host (gpointer host)
{
  HostRoutes *h = host;

  g_hash_table_destroy (h->by_prefix);
  g_array_free (h->lengths, TRUE);
  g_free (h);
}

static const RouteEntry *
find_route (const BjConfig *c, BjStr host, BjStr path)
{
  HostRoutes *h = c != NULL ? g_hash_table_lookup (c->hosts, &host) : NULL;

  for (guint i = 0; h != NULL && i < h->lengths->len; i++)
    {
      BjStr prefix = { path.data, g_array_index (h->lengths, size_t, i) };
      const RouteEntry *e
          = prefix.len <= path.len ? g_hash_table_lookup (h->by_prefix, &prefix) : NULL;

      if (e != NULL)
        return e;
    }
  return NULL;
}

static void
free_service (BjServiceConfig *s)
{
  for (int i = 0; i < s->n_routes; i++)
    free_route (&s->routes[i]);
  g_free (s->routes);
  bj_str_free (&s->name);
}

static void
free_route (BjRoute *r)
{
  for (int i = 0; i < r->n_shares; i++)
    bj_str_free (&r->shares[i].service);
  g_free (r->shares);
  bj_str_free (&r->host);
  bj_str_free (&r->prefix);
}

static BjStatus
read_plugins (const char *path, struct json_object *o, BjServiceConfig *s)
{
  struct json_object *p;
  BjStatus status;

  s->limiter_options = (BjLimiterOptions)BJ_LIMITER_OPTIONS_DEFAULT;
  s->queue_options = (BjQueueOptions)BJ_QUEUE_OPTIONS_DEFAULT;
  if (s->prefer == BJ_PREFER_GOODPUT)
    s->queue_options.max_wait_ms = BJ_QUEUE_GOODPUT_WAIT_MS;
  s->retry_options = (BjRetryOptions)BJ_RETRY_OPTIONS_DEFAULT;
  status = read_plugin (path,
                        o,
                        "limiter",
                        BJ_PLUGIN_LIMITER,
                        "adaptive",
                        limiter_keys,
                        G_N_ELEMENTS (limiter_keys),
                        &p,
                        (const void **)&s->limiter);
  if (status != BJ_OK)
    return status;
  s->limiter_options.ramp_ms = bj_json_number (p, "ramp_ms", s->limiter_options.ramp_ms);
  s->limiter_options.tolerance = bj_json_number (p, "tolerance", s->limiter_options.tolerance);
  status = read_plugin (path,
                        o,
                        "queue",
                        BJ_PLUGIN_QUEUE,
                        "priority-deadline",
                        queue_keys,
                        G_N_ELEMENTS (queue_keys),
                        &p,
                        (const void **)&s->queue);
  if (status != BJ_OK)
    return status;
  s->queue_options.max_wait_ms = bj_json_number (p, "max_wait_ms", s->queue_options.max_wait_ms);
  s->queue_options.max_length = (int)bj_json_number (p, "max_length", s->queue_options.max_length);
  status = read_plugin (path,
                        o,
                        "router",
                        BJ_PLUGIN_ROUTER,
                        "p2c-load",
                        router_keys,
                        G_N_ELEMENTS (router_keys),
                        &p,
                        (const void **)&s->router);
  if (status != BJ_OK)
    return status;
  status = read_plugin (path,
                        o,
                        "retry",
                        BJ_PLUGIN_RETRY,
                        "budget",
                        retry_keys,
                        G_N_ELEMENTS (retry_keys),
                        &p,
                        (const void **)&s->retry);
  if (status != BJ_OK)
    return status;
  s->retry_options.ratio = bj_json_number (p, "ratio", s->retry_options.ratio);
  s->retry_options.burst = bj_json_number (p, "burst", s->retry_options.burst);
  s->retry_options.saved = bj_json_number (p, "saved", s->retry_options.saved);
  s->retry_options.reserve = (int)bj_json_int (p, "reserve");
  return BJ_OK;
}

static BjStatus
read_plugin (const char *path,
             struct json_object *o,
             const char *key,
             BjPluginKind kind,
             const char *default_name,
             const BjJsonKey *keys,
             int n,
             struct json_object **options,
             const void **ops)
{
  char plugin_path[160];
  BjStr name = bj_str (default_name);
  GString *names;
  BjStatus s = BJ_OK;

  g_snprintf (plugin_path, sizeof plugin_path, "%s.%s", path, key);
  if (json_object_object_get_ex (o, key, options))
    s = bj_json_check ("ticket", plugin_path, *options, BJ_E_TICKET, keys, n);
  if (s != BJ_OK)
    return s;
  if (*options != NULL && bj_json_str (*options, "plugin").len > 0)
    name = bj_json_str (*options, "plugin");
  *ops = bj_plugin_find (kind, name);
  if (*ops != NULL)
    return BJ_OK;
  names = g_string_new (NULL);
  bj_plugin_names (kind, names);
  s = bj_fail (BJ_E_TICKET,
               "%s: plugin \"%.*s\" is unknown, allowed: %s.",
               plugin_path,
               BJ_STR_ARG (name),
               names->str);
  g_string_free (names, TRUE);
  return s;
}

static BjStatus
read_prefer (const char *path, struct json_object *o, BjServiceConfig *s)
{
  BjStr name = bj_json_str (o, "prefer");

  if (bj_str_equal (name, BJ_STR ("goodput")))
    s->prefer = BJ_PREFER_GOODPUT;
  else if (name.len > 0 && !bj_str_equal (name, BJ_STR ("recovery")))
    return bj_fail (BJ_E_TICKET,
                    "%s.prefer: \"%.*s\" is unknown, allowed: goodput, recovery.",
                    path,
                    BJ_STR_ARG (name));
  return BJ_OK;
}

static BjStatus
read_admission (const char *path, struct json_object *o, BjServiceConfig *s)
{
  char *at = g_strdup_printf ("%s.admission", path);
  struct json_object *admission;
  BjStatus status = BJ_OK;
  BjStr name;

  if (json_object_object_get_ex (o, "admission", &admission))
    {
      status = bj_json_check (
          "ticket", at, admission, BJ_E_TICKET, admission_keys, G_N_ELEMENTS (admission_keys));
      name = bj_json_str (admission, "plugin");
      s->admits_by_cost = bj_str_equal (name, BJ_STR ("cost"));
      if (status == BJ_OK && name.len > 0 && !s->admits_by_cost
          && !bj_str_equal (name, BJ_STR ("level")))
        status = bj_fail (BJ_E_TICKET,
                          "%s.plugin: \"%.*s\" is unknown, allowed: cost, level.",
                          at,
                          BJ_STR_ARG (name));
    }
  g_free (at);
  return status;
}

static BjStatus
read_upstreams (struct json_object *o, BjConfig *c)
{
  struct json_object *all;

  if (!json_object_object_get_ex (o, "upstreams", &all))
    return BJ_OK;
  c->upstreams = g_new0 (BjUpstreamConfig, json_object_object_length (all));
  json_object_object_foreach (all, name, value)
  {
    BjUpstreamConfig *u = &c->upstreams[c->n_upstreams++];
    char path[128];
    BjStatus s;

    g_snprintf (path, sizeof path, "upstreams.%.64s", name);
    u->name = bj_str_dup (bj_str (name));
    s = check_name ("upstreams", name);
    if (s == BJ_OK)
      s = bj_json_check (
          "ticket", path, value, BJ_E_TICKET, upstream_keys, G_N_ELEMENTS (upstream_keys));
    if (s != BJ_OK)
      return s;
    u->number = bj_json_int (value, "number");
    u->drain = bj_json_bool (value, "drain", false);
    u->max_slots = (int)bj_json_number (value, "max_slots", 0);
  }
  return BJ_OK;
}

static int
find_class (const BjConfig *c, BjStr name)
{
  for (guint i = 0; i < c->classes->len; i++)
    if (bj_str_equal (name, bj_str (c->classes->pdata[i])))
      return (int)i;
  return -1;
}
