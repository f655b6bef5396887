// bjctl's commands that ask one daemon: in-force, status, explain.

#include "bjctl.h"
#include <stdio.h>
#include <string.h>

typedef struct
{
  int64_t lowest;
  int64_t highest;
  int n;
  int n_lagging;
} Domain;

static int ask_admin (const CtlOptions *o, const char *path, GString *out);
static struct json_object *read_members (const CtlOptions *o);

int
ctl_status (const CtlOptions *o)
{
  struct json_object *all = read_members (o);

  if (all == NULL)
    return 1;
  printf ("%-24s %-14s %-12s %6s %9s %6s %8s %6s\n",
          "upstream",
          "domain",
          "service",
          "limit",
          "in flight",
          "queued",
          "draining",
          "ticket");
  for (size_t i = 0; i < json_object_array_length (all); i++)
    {
      struct json_object *m = json_object_array_get_idx (all, i);

      printf ("%-24.*s %-14.*s %-12.*s %6.0f %9.0f %6.0f %8s %6.0f\n",
              BJ_STR_ARG (bj_json_str (m, "name")),
              BJ_STR_ARG (bj_json_str (m, "domain")),
              BJ_STR_ARG (bj_json_str (m, "service")),
              bj_json_number (m, "limit", 0),
              bj_json_number (m, "in_flight", 0),
              bj_json_number (m, "queued", 0),
              bj_json_bool (m, "draining", false) ? "yes" : "no",
              bj_json_number (m, "ticket", 0));
    }
  json_object_put (all);
  return 0;
}

int
ctl_in_force (const CtlOptions *o)
{
  struct json_object *all = read_members (o);
  GHashTable *domains = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter i;
  gpointer name;
  gpointer value;
  int64_t newest = 0;

  if (all == NULL)
    return 1;
  for (size_t n = 0; n < json_object_array_length (all); n++)
    {
      struct json_object *m = json_object_array_get_idx (all, n);
      const char *domain = bj_json_str (m, "domain").data;
      int64_t number = (int64_t)bj_json_number (m, "ticket", 0);
      Domain *d = g_hash_table_lookup (domains, domain);

      if (d == NULL)
        {
          d = g_new0 (Domain, 1);
          d->lowest = number;
          g_hash_table_insert (domains, g_strdup (domain), d);
        }
      d->n++;
      d->lowest = MIN (d->lowest, number);
      d->highest = MAX (d->highest, number);
      newest = MAX (newest, number);
    }
  g_hash_table_iter_init (&i, domains);
  while (g_hash_table_iter_next (&i, &name, &value))
    {
      const Domain *d = value;

      printf ("%-14s %d daemons, ticket %" G_GINT64_FORMAT "%s\n",
              (char *)name,
              d->n,
              d->lowest,
              d->lowest < newest ? ", lags" : "");
    }
  for (size_t n = 0; n < json_object_array_length (all); n++)
    {
      struct json_object *m = json_object_array_get_idx (all, n);

      if ((int64_t)bj_json_number (m, "ticket", 0) < newest)
        printf ("%.*s lags at ticket %.0f of %" G_GINT64_FORMAT ".\n",
                BJ_STR_ARG (bj_json_str (m, "name")),
                bj_json_number (m, "ticket", 0),
                newest);
    }
  g_hash_table_destroy (domains);
  json_object_put (all);
  return 0;
}

int
ctl_explain (const CtlOptions *o)
{
  GString *out = g_string_new (NULL);
  char *path = g_strdup_printf ("/v1/explain/%s", o->argument);
  int status = ask_admin (o, path, out);

  if (status == 200)
    fputs (out->str, stdout);
  g_string_free (out, TRUE);
  g_free (path);
  return status == 200 ? 0 : 1;
}

static int
ask_admin (const CtlOptions *o, const char *path, GString *out)
{
  char *url;
  int status;

  if (o->admin == NULL)
    {
      ctl_fail ("--admin IP:PORT is needed.");
      return 0;
    }
  url = g_strdup_printf ("http://%s%s", o->admin, path);
  status = ctl_ask ("GET", url, BJ_STR_NULL, out);
  g_free (url);
  if (status != 200)
    ctl_fail ("The daemon at %s answered with status %d.", o->admin, status);
  return status;
}

static struct json_object *
read_members (const CtlOptions *o)
{
  GString *out = g_string_new (NULL);
  struct json_object *all = NULL;

  if (ask_admin (o, "/v1/members", out) == 200)
    all = json_tokener_parse (out->str);
  g_string_free (out, TRUE);
  return all;
}
