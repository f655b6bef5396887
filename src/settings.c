// Settings: parses the settings file of one daemon, JSON with comments.

#include "internal.h"
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <unistd.h>

#define NAME_MAX_BYTES 64 // of a daemon, domain, region or service name
#define PORT_MAX 65535
#define SEEDS_MAX 64        // entries in settings.seeds
#define DOMAINS_MAX 256     // entries in settings.domains
#define PIPELINED_LIMIT 256 // highest settings.pipelined_max

static const BjJsonKey setting_keys[] = {
  { "name", BJ_JSON_STR, true, 1, NAME_MAX_BYTES },
  { "domain", BJ_JSON_STR, true, 1, NAME_MAX_BYTES },
  { "region", BJ_JSON_STR, true, 1, NAME_MAX_BYTES },
  { "front", BJ_JSON_STR, true, 0, 0 },
  { "admin", BJ_JSON_STR, true, 0, 0 },
  { "link", BJ_JSON_STR, true, 0, 0 },
  { "gossip", BJ_JSON_STR, true, 0, 0 },
  { "seeds", BJ_JSON_ARRAY, false, 0, SEEDS_MAX },
  { "platform", BJ_JSON_OBJECT, true, 0, 0 },
  { "key_file", BJ_JSON_STR, false, 0, 0 },
  { "advertise", BJ_JSON_OBJECT, false, 0, 0 },
  { "log_level", BJ_JSON_STR, false, 0, 0 },
  { "drain_ms", BJ_JSON_NUMBER, false, 0, 600000 },
  { "leave_ms", BJ_JSON_NUMBER, false, 0, 600000 },
  { "ready", BJ_JSON_STR, false, 0, 0 },
  { "domains", BJ_JSON_ARRAY, false, 0, DOMAINS_MAX },
  { "heartbeat_ms", BJ_JSON_NUMBER, false, 10, 600000 },
  { "pipelined_max", BJ_JSON_NUMBER, false, 1, PIPELINED_LIMIT },
  { "service", BJ_JSON_STR, false, 0, NAME_MAX_BYTES },
  { "upstream", BJ_JSON_STR, false, 0, 0 },
  { "dialect", BJ_JSON_STR, false, 0, 0 },
  { "service_defaults", BJ_JSON_OBJECT, false, 0, 0 },
};
static const BjJsonKey advertise_keys[] = {
  { "link", BJ_JSON_STR, false, 0, 0 },
  { "gossip", BJ_JSON_STR, false, 0, 0 },
};
static const BjJsonKey platform_keys[] = {
  { "plugin", BJ_JSON_STR, false, 0, 0 },
  { "url", BJ_JSON_STR, true, 1, 1024 },
};

static const BjJsonTable tables[] = {
  { "settings", setting_keys, G_N_ELEMENTS (setting_keys) },
  { "settings.advertise", advertise_keys, G_N_ELEMENTS (advertise_keys) },
  { "settings.platform", platform_keys, G_N_ELEMENTS (platform_keys) },
};

static BjStatus read_values (const char *name, struct json_object *o, BjSettings *s);
static BjStatus read_address (const char *name, const char *key, BjStr text, BjAddress *a);
static BjStatus read_addresses (const char *name, struct json_object *o, BjSettings *s);
static BjStatus read_advertised (const char *name, struct json_object *o, BjSettings *s);
static BjStatus read_seeds (const char *name, struct json_object *o, BjSettings *s);
static BjStatus accept_seed (const char *name, BjSettings *s);
static BjStatus read_platform (const char *name, struct json_object *o, BjSettings *s);
static BjStatus read_domains (const char *name, struct json_object *o, BjSettings *s);
static BjStatus read_dialect (const char *name, struct json_object *o, BjSettings *s);
static BjStatus read_plugin_name (const char *name,
                                  const char *key,
                                  BjPluginKind kind,
                                  BjStr given,
                                  const char *default_name,
                                  BjStr *found);
static BjStatus read_log_level (const char *name, struct json_object *o, BjSettings *s);
static BjStatus check_distinct_addresses (const char *name, const BjSettings *s);

BjStatus
bj_settings_read (const char *path, BjSettings *s)
{
  GError *error = NULL;
  char *text;
  gsize len;
  BjStatus status;

  if (!g_file_get_contents (path, &text, &len, &error))
    {
      status = bj_fail (BJ_E_IO, "%s: %s.", path, error->message);
      g_error_free (error);
      return status;
    }
  status = bj_settings_parse (path, (BjStr){ text, len }, s);
  g_free (text);
  if (status == BJ_OK && s->key_file.len > 0 && access (s->key_file.data, R_OK) != 0)
    {
      status = bj_fail (BJ_E_SETTINGS,
                        "%s: settings.key_file: \"%s\" must be a readable file: %s.",
                        path,
                        s->key_file.data,
                        g_strerror (errno));
      bj_settings_clear (s);
    }
  return status;
}

BjStatus
bj_settings_parse (const char *name, BjStr text, BjSettings *s)
{
  struct json_object *o;
  BjStatus status;

  memset (s, 0, sizeof *s);
  status = bj_json_read (name, text, BJ_E_SETTINGS, &o);
  if (status != BJ_OK)
    return status;
  status = bj_json_check (
      name, "settings", o, BJ_E_SETTINGS, setting_keys, G_N_ELEMENTS (setting_keys));
  if (status == BJ_OK)
    status = read_values (name, o, s);
  json_object_put (o);
  if (status != BJ_OK)
    bj_settings_clear (s);
  return status;
}

const BjJsonTable *
bj_settings_tables (int *n)
{
  *n = G_N_ELEMENTS (tables);
  return tables;
}

void
bj_settings_clear (BjSettings *s)
{
  bj_str_free (&s->name);
  bj_str_free (&s->domain);
  bj_str_free (&s->region);
  bj_str_free (&s->front.host);
  bj_str_free (&s->admin.host);
  bj_str_free (&s->link.host);
  bj_str_free (&s->gossip.host);
  bj_str_free (&s->advertised_link.host);
  bj_str_free (&s->advertised_gossip.host);
  for (int i = 0; i < s->n_seeds; i++)
    bj_str_free (&s->seeds[i].host);
  g_free (s->seeds);
  for (int i = 0; i < s->n_domains; i++)
    bj_str_free (&s->domains[i]);
  g_free (s->domains);
  bj_str_free (&s->ready.host);
  bj_str_free (&s->upstream.host);
  bj_str_free (&s->service);
  bj_str_free (&s->dialect);
  bj_str_free (&s->service_defaults);
  bj_str_free (&s->platform_name);
  bj_str_free (&s->platform_url);
  bj_str_free (&s->key_file);
  memset (s, 0, sizeof *s);
}

static BjStatus
read_values (const char *name, struct json_object *o, BjSettings *s)
{
  struct json_object *defaults;
  BjStatus status;

  s->name = bj_str_dup (bj_json_str (o, "name"));
  s->domain = bj_str_dup (bj_json_str (o, "domain"));
  s->region = bj_str_dup (bj_json_str (o, "region"));
  s->key_file = bj_str_dup (bj_json_str (o, "key_file"));
  s->drain_ms = bj_json_number (o, "drain_ms", BJ_DRAIN_MS);
  s->leave_ms = bj_json_number (o, "leave_ms", BJ_LEAVE_MS);
  s->heartbeat_ms = bj_json_number (o, "heartbeat_ms", BJ_HEARTBEAT_MS);
  s->pipelined_max = (int)bj_json_number (o, "pipelined_max", BJ_PIPELINED_MAX);
  if (json_object_object_get_ex (o, "service_defaults", &defaults))
    s->service_defaults = bj_str_dup (bj_str (json_object_to_json_string (defaults)));
  s->service = bj_str_dup (bj_json_str (o, "service"));
  status = read_addresses (name, o, s);
  if (status == BJ_OK)
    status = read_advertised (name, o, s);
  if (status == BJ_OK)
    status = read_seeds (name, o, s);
  if (status == BJ_OK)
    status = read_platform (name, o, s);
  if (status == BJ_OK)
    status = read_domains (name, o, s);
  if (status == BJ_OK)
    status = read_dialect (name, o, s);
  if (status == BJ_OK && bj_json_str (o, "upstream").len > 0)
    status = read_address (name, "upstream", bj_json_str (o, "upstream"), &s->upstream);
  if (status == BJ_OK && bj_json_str (o, "ready").len > 0)
    status = read_address (name, "ready", bj_json_str (o, "ready"), &s->ready);
  if (status == BJ_OK)
    status = read_log_level (name, o, s);
  if (status == BJ_OK)
    status = check_distinct_addresses (name, s);
  return status;
}

static BjStatus
read_addresses (const char *name, struct json_object *o, BjSettings *s)
{
  struct
  {
    const char *key;
    BjAddress *address;
  } all[] = {
    { "front", &s->front }, { "admin", &s->admin }, { "link", &s->link }, { "gossip", &s->gossip }
  };

  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    {
      BjStatus status
          = read_address (name, all[i].key, bj_json_str (o, all[i].key), all[i].address);

      if (status != BJ_OK)
        return status;
    }
  return BJ_OK;
}

static BjStatus
read_address (const char *name, const char *key, BjStr text, BjAddress *a)
{
  const char *colon = text.len > 0 ? memrchr (text.data, ':', text.len) : NULL;
  struct in_addr v4;
  int64_t port = 0;
  BjStr host;

  if (colon == NULL || !bj_str_int ((BjStr){ colon + 1, text.len - (colon + 1 - text.data) }, &port)
      || port < 1 || port > PORT_MAX)
    return bj_fail (BJ_E_SETTINGS,
                    "%s: settings.%s: \"%.*s\" is not IP:PORT with a port of 1 to %d.",
                    name,
                    key,
                    BJ_STR_ARG (text),
                    PORT_MAX);
  host = bj_str_dup ((BjStr){ text.data, (size_t)(colon - text.data) });
  if (inet_pton (AF_INET, host.data, &v4) != 1)
    {
      bj_str_free (&host);
      return bj_fail (BJ_E_SETTINGS,
                      "%s: settings.%s: the host in \"%.*s\" is not a numeric IPv4 address.",
                      name,
                      key,
                      BJ_STR_ARG (text));
    }
  a->host = host;
  a->port = (int)port;
  return BJ_OK;
}

static BjStatus
read_advertised (const char *name, struct json_object *o, BjSettings *s)
{
  struct json_object *a = NULL;
  BjStr link;
  BjStr gossip;
  BjStatus status = BJ_OK;

  if (json_object_object_get_ex (o, "advertise", &a))
    status = bj_json_check (name,
                            "settings.advertise",
                            a,
                            BJ_E_SETTINGS,
                            advertise_keys,
                            G_N_ELEMENTS (advertise_keys));
  if (status != BJ_OK)
    return status;
  link = bj_json_str (a, "link");
  gossip = bj_json_str (a, "gossip");
  status = read_address (
      name, "advertise.link", link.len > 0 ? link : bj_json_str (o, "link"), &s->advertised_link);
  if (status != BJ_OK)
    return status;
  return read_address (name,
                       "advertise.gossip",
                       gossip.len > 0 ? gossip : bj_json_str (o, "gossip"),
                       &s->advertised_gossip);
}

static BjStatus
read_seeds (const char *name, struct json_object *o, BjSettings *s)
{
  struct json_object *seeds;
  size_t n;

  if (!json_object_object_get_ex (o, "seeds", &seeds))
    return BJ_OK;
  n = json_object_array_length (seeds);
  s->seeds = g_new0 (BjAddress, n);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *v = json_object_array_get_idx (seeds, i);
      BjStatus status;

      if (!json_object_is_type (v, json_type_string))
        return bj_fail (BJ_E_SETTINGS,
                        "%s: settings.seeds[%zu]: %.60s is not a string of the form IP:PORT.",
                        name,
                        i,
                        json_object_to_json_string (v));
      status = read_address (name, "seeds", bj_str (json_object_get_string (v)), &s->seeds[i]);
      if (status == BJ_OK)
        status = accept_seed (name, s);
      if (status != BJ_OK)
        return status;
    }
  return BJ_OK;
}

// Adds the address parsed into seeds[n_seeds] to the list, or rejects it as a duplicate.
static BjStatus
accept_seed (const char *name, BjSettings *s)
{
  const BjAddress *last = &s->seeds[s->n_seeds++];

  for (int i = 0; i < s->n_seeds - 1; i++)
    if (s->seeds[i].port == last->port && bj_str_equal (s->seeds[i].host, last->host))
      return bj_fail (BJ_E_SETTINGS,
                      "%s: settings.seeds[%d]: %s:%d is listed twice, each seed is allowed once.",
                      name,
                      s->n_seeds - 1,
                      last->host.data,
                      last->port);
  return BJ_OK;
}

static BjStatus
read_platform (const char *name, struct json_object *o, BjSettings *s)
{
  struct json_object *p;
  BjStatus status;

  json_object_object_get_ex (o, "platform", &p);
  status = bj_json_check (
      name, "settings.platform", p, BJ_E_SETTINGS, platform_keys, G_N_ELEMENTS (platform_keys));
  if (status != BJ_OK)
    return status;
  s->platform_url = bj_str_dup (bj_json_str (p, "url"));
  return read_plugin_name (name,
                           "platform.plugin",
                           BJ_PLUGIN_PLATFORM,
                           bj_json_str (p, "plugin"),
                           "http",
                           &s->platform_name);
}

static BjStatus
read_domains (const char *name, struct json_object *o, BjSettings *s)
{
  struct json_object *all;

  if (!json_object_object_get_ex (o, "domains", &all))
    return BJ_OK;
  s->domains = g_new0 (BjStr, json_object_array_length (all));
  for (size_t i = 0; i < json_object_array_length (all); i++)
    {
      struct json_object *v = json_object_array_get_idx (all, i);

      if (!json_object_is_type (v, json_type_string))
        return bj_fail (
            BJ_E_SETTINGS,
            "%s: settings.domains[%zu]: %.60s is not a string, the name of a failure domain.",
            name,
            i,
            json_object_to_json_string (v));
      s->domains[s->n_domains++] = bj_str_dup (bj_str (json_object_get_string (v)));
    }
  return BJ_OK;
}

static BjStatus
read_dialect (const char *name, struct json_object *o, BjSettings *s)
{
  return read_plugin_name (
      name, "dialect", BJ_PLUGIN_DIALECT, bj_json_str (o, "dialect"), "borage", &s->dialect);
}

static BjStatus
read_plugin_name (const char *name,
                  const char *key,
                  BjPluginKind kind,
                  BjStr given,
                  const char *default_name,
                  BjStr *found)
{
  GString *names;
  BjStatus status;

  *found = bj_str_dup (given.len > 0 ? given : bj_str (default_name));
  if (bj_plugin_find (kind, *found) != NULL)
    return BJ_OK;
  names = g_string_new (NULL);
  bj_plugin_names (kind, names);
  status = bj_fail (BJ_E_SETTINGS,
                    "%s: settings.%s: \"%s\" is unknown, allowed: %s.",
                    name,
                    key,
                    found->data,
                    names->str);
  g_string_free (names, TRUE);
  return status;
}

static BjStatus
read_log_level (const char *name, struct json_object *o, BjSettings *s)
{
  static const char *const names[] = { "error", "warning", "info", "debug" };
  BjStr level = bj_json_str (o, "log_level");

  s->log_level = BJ_LOG_INFO;
  if (level.len == 0)
    return BJ_OK;
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (bj_str_equal (level, bj_str (names[i])))
      {
        s->log_level = (BjLogLevel)i;
        return BJ_OK;
      }
  return bj_fail (
      BJ_E_SETTINGS,
      "%s: settings.log_level: \"%.*s\" is unknown, allowed: error, warning, info, debug.",
      name,
      BJ_STR_ARG (level));
}

static BjStatus
check_distinct_addresses (const char *name, const BjSettings *s)
{
  const BjAddress *tcp[] = { &s->front, &s->admin, &s->link };

  for (size_t i = 0; i < G_N_ELEMENTS (tcp); i++)
    for (size_t j = i + 1; j < G_N_ELEMENTS (tcp); j++)
      if (tcp[i]->port == tcp[j]->port && bj_str_equal (tcp[i]->host, tcp[j]->host))
        return bj_fail (BJ_E_SETTINGS,
                        "%s: settings: front, admin and link must differ, %s:%d is used twice.",
                        name,
                        tcp[i]->host.data,
                        tcp[i]->port);
  return BJ_OK;
}
