// bjctl commands that query one daemon: in-force, status, explain.

#include "bjctl.h"
#include <stdio.h>

#define POLL_INTERVAL_MS 50

static struct json_object *read_members (const CtlOptions *o);
static int64_t find_newest_ticket (struct json_object *members);
static size_t count_lagging (struct json_object *members, int64_t number);
static struct json_object *count_domains (struct json_object *members, int64_t newest);
static void add_to_count (struct json_object *o, const char *key, int64_t n);
static void
print_in_force (struct json_object *domains, struct json_object *members, int64_t newest);
static void
print_in_force_json (struct json_object *domains, struct json_object *members, int64_t newest);
static void print_if_lagging (struct json_object *m, int64_t newest);

int
ctl_show_status (const CtlOptions *o)
{
  struct json_object *members = read_members (o);

  if (members == NULL)
    return CTL_NO_ANSWER;
  if (o->json)
    {
      printf ("%s\n", json_object_to_json_string_ext (members, JSON_C_TO_STRING_PLAIN));
      json_object_put (members);
      return CTL_OK;
    }
  printf ("%-24s %-14s %-12s %6s %9s %6s %8s %6s\n",
          "upstream",
          "domain",
          "service",
          "limit",
          "in flight",
          "queued",
          "draining",
          "ticket");
  for (size_t i = 0; i < json_object_array_length (members); i++)
    {
      struct json_object *m = json_object_array_get_idx (members, i);

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
  json_object_put (members);
  return 0;
}

int
ctl_show_in_force (const CtlOptions *o)
{
  struct json_object *members = read_members (o);
  struct json_object *domains;
  int64_t newest;
  int code;

  if (members == NULL)
    return CTL_NO_ANSWER;
  newest = find_newest_ticket (members);
  domains = count_domains (members, newest);
  code = count_lagging (members, newest) > 0 ? CTL_LAGGING : CTL_OK;
  if (o->json)
    print_in_force_json (domains, members, newest);
  else
    print_in_force (domains, members, newest);
  json_object_put (domains);
  json_object_put (members);
  return code;
}

int
ctl_wait_in_force (const CtlOptions *o, int64_t number)
{
  BjTime started = bj_clock_now ();
  struct json_object *members = NULL;
  size_t n = 0;
  size_t n_lagging = 1;

  while (n_lagging > 0 && bj_clock_now () - started < o->wait_ms)
    {
      json_object_put (members);
      members = read_members (o);
      if (members == NULL)
        return CTL_NO_ANSWER;
      n = json_object_array_length (members);
      n_lagging = count_lagging (members, number);
      if (n_lagging > 0)
        g_usleep (POLL_INTERVAL_MS * 1000);
    }
  if (n_lagging > 0)
    ctl_report_error (o,
                      BJ_E_PENDING,
                      "Ticket %" PRId64
                      " is accepted, but not in force at %zu of %zu daemons after %.0f s.",
                      number,
                      n_lagging,
                      n,
                      o->wait_ms / 1000);
  else if (!o->json)
    printf ("Ticket %" PRId64 " is in force at all %zu daemons after %.1f s.\n",
            number,
            n,
            (bj_clock_now () - started) / 1000);
  if (!o->json)
    for (size_t i = 0; i < n; i++)
      print_if_lagging (json_object_array_get_idx (members, i), number);
  json_object_put (members);
  return n_lagging > 0 ? CTL_LAGGING : CTL_OK;
}

int
ctl_show_accounts (const CtlOptions *o)
{
  GString *out = g_string_new (NULL);
  int code = ctl_get_from_admin (o, "/v1/accounts", out);
  struct json_object *all = code == CTL_OK ? json_tokener_parse (out->str) : NULL;

  if (code == CTL_OK && o->json)
    printf ("%s\n", json_object_to_json_string_ext (all, JSON_C_TO_STRING_PLAIN));
  else if (code == CTL_OK)
    {
      printf ("%-32s %-8s %10s %10s %10s %8s %10s %10s %6s\n",
              "account",
              "class",
              "rate",
              "burst",
              "used",
              "share",
              "calls",
              "refused",
              "keys");
      for (size_t i = 0; i < json_object_array_length (all); i++)
        {
          struct json_object *a = json_object_array_get_idx (all, i);
          BjStr klass = bj_json_str (a, "class");

          printf ("%-32.*s %-8.*s %10g %10g %10.1f %8.3f %10.0f %10.0f %6.0f\n",
                  BJ_STR_ARG (bj_json_str (a, "name")),
                  BJ_STR_ARG (klass.len > 0 ? klass : BJ_STR ("-")),
                  bj_json_number (a, "rate_per_s", 0),
                  bj_json_number (a, "burst", 0),
                  bj_json_number (a, "use_per_s", 0),
                  bj_json_number (a, "share", 0),
                  bj_json_number (a, "calls", 0),
                  bj_json_number (a, "refused", 0),
                  bj_json_number (a, "keys", 0));
        }
    }
  json_object_put (all);
  g_string_free (out, TRUE);
  return code;
}

int
ctl_explain_action (const CtlOptions *o)
{
  GString *out = g_string_new (NULL);
  char *path = g_strdup_printf ("/v1/explain/%s", o->argument);
  int code = ctl_get_from_admin (o, path, out);

  if (code == CTL_OK)
    fputs (out->str, stdout);
  g_string_free (out, TRUE);
  g_free (path);
  return code;
}

// Returns the array of members that the daemon at --admin knows, or NULL after reporting an error.
static struct json_object *
read_members (const CtlOptions *o)
{
  GString *out = g_string_new (NULL);
  struct json_object *members = NULL;

  if (ctl_get_from_admin (o, "/v1/members", out) == CTL_OK)
    members = json_tokener_parse (out->str);
  g_string_free (out, TRUE);
  return members;
}

static int64_t
find_newest_ticket (struct json_object *members)
{
  int64_t newest = 0;

  for (size_t i = 0; i < json_object_array_length (members); i++)
    newest = MAX (newest, bj_json_int (json_object_array_get_idx (members, i), "ticket"));
  return newest;
}

static size_t
count_lagging (struct json_object *members, int64_t number)
{
  size_t n = 0;

  for (size_t i = 0; i < json_object_array_length (members); i++)
    n += bj_json_int (json_object_array_get_idx (members, i), "ticket") < number;
  return n;
}

// Returns an object with an entry per domain: number of daemons, number of daemons behind the
// newest ticket, lowest ticket in force.
static struct json_object *
count_domains (struct json_object *members, int64_t newest)
{
  struct json_object *domains = json_object_new_object ();

  for (size_t i = 0; i < json_object_array_length (members); i++)
    {
      struct json_object *m = json_object_array_get_idx (members, i);
      BjStr name = bj_json_str (m, "domain");
      int64_t ticket = bj_json_int (m, "ticket");
      struct json_object *d;

      if (!json_object_object_get_ex (domains, name.data, &d))
        {
          d = json_object_new_object ();
          json_object_object_add (domains, name.data, d);
          json_object_object_add (d, "ticket", json_object_new_int64 (ticket));
        }
      add_to_count (d, "daemons", 1);
      add_to_count (d, "lagging", ticket < newest);
      if (ticket < bj_json_int (d, "ticket"))
        json_object_object_add (d, "ticket", json_object_new_int64 (ticket));
    }
  return domains;
}

static void
add_to_count (struct json_object *o, const char *key, int64_t n)
{
  json_object_object_add (o, key, json_object_new_int64 (bj_json_int (o, key) + n));
}

static void
print_in_force (struct json_object *domains, struct json_object *members, int64_t newest)
{
  json_object_object_foreach (domains, name, d)
  {
    int64_t lagging = bj_json_int (d, "lagging");

    printf ("%-14s %" PRId64 " daemons, ticket %" PRId64,
            name,
            bj_json_int (d, "daemons"),
            bj_json_int (d, "ticket"));
    if (lagging > 0)
      printf (", %" PRId64 " lags behind ticket %" PRId64, lagging, newest);
    printf ("\n");
  }
  for (size_t i = 0; i < json_object_array_length (members); i++)
    print_if_lagging (json_object_array_get_idx (members, i), newest);
}

static void
print_in_force_json (struct json_object *domains, struct json_object *members, int64_t newest)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *lagging = json_object_new_array ();

  for (size_t i = 0; i < json_object_array_length (members); i++)
    {
      struct json_object *m = json_object_array_get_idx (members, i);

      if (bj_json_int (m, "ticket") < newest)
        json_object_array_add (lagging, json_object_get (json_object_object_get (m, "name")));
    }
  json_object_object_add (o, "ticket", json_object_new_int64 (newest));
  json_object_object_add (o, "domains", json_object_get (domains));
  json_object_object_add (o, "lagging", lagging);
  printf ("%s\n", json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  json_object_put (o);
}

static void
print_if_lagging (struct json_object *m, int64_t newest)
{
  if (bj_json_int (m, "ticket") < newest)
    printf ("%.*s lags: ticket %" PRId64 " is in force there, the newest is %" PRId64 ".\n",
            BJ_STR_ARG (bj_json_str (m, "name")),
            bj_json_int (m, "ticket"),
            newest);
}
