// bjctl's commands that ask one daemon: in-force, status, explain.

#include "bjctl.h"
#include <stdio.h>

#define WAIT_POLL_MS 50

static struct json_object *read_members (const CtlOptions *o);
static int64_t highest_ticket (struct json_object *all);
static size_t n_behind (struct json_object *all, int64_t number);
static struct json_object *count_domains (struct json_object *all, int64_t newest);
static void add_to (struct json_object *o, const char *key, int64_t n);
static void print_in_force (struct json_object *domains, struct json_object *all, int64_t newest);
static void
print_in_force_json (struct json_object *domains, struct json_object *all, int64_t newest);
static void print_if_behind (struct json_object *m, int64_t newest);

int
ctl_status (const CtlOptions *o)
{
  struct json_object *all = read_members (o);

  if (all == NULL)
    return CTL_NO_ANSWER;
  if (o->json)
    {
      printf ("%s\n", json_object_to_json_string_ext (all, JSON_C_TO_STRING_PLAIN));
      json_object_put (all);
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
  struct json_object *domains;
  int64_t newest;
  int code;

  if (all == NULL)
    return CTL_NO_ANSWER;
  newest = highest_ticket (all);
  domains = count_domains (all, newest);
  code = n_behind (all, newest) > 0 ? CTL_LAGS : CTL_OK;
  if (o->json)
    print_in_force_json (domains, all, newest);
  else
    print_in_force (domains, all, newest);
  json_object_put (domains);
  json_object_put (all);
  return code;
}

int
ctl_wait_in_force (const CtlOptions *o, int64_t number)
{
  BjTime begun = bj_clock_now ();
  struct json_object *all = NULL;
  size_t n = 0;
  size_t behind = 1;

  while (behind > 0 && bj_clock_now () - begun < o->wait_ms)
    {
      json_object_put (all);
      all = read_members (o);
      if (all == NULL)
        return CTL_NO_ANSWER;
      n = json_object_array_length (all);
      behind = n_behind (all, number);
      if (behind > 0)
        g_usleep (WAIT_POLL_MS * 1000);
    }
  if (behind > 0)
    ctl_fail (o,
              BJ_E_PENDING,
              "Ticket %" PRId64
              " is accepted, and %zu of %zu daemons have not got it after %.0f s.",
              number,
              behind,
              n,
              o->wait_ms / 1000);
  else if (!o->json)
    printf ("Ticket %" PRId64 " is in force at all %zu daemons after %.1f s.\n",
            number,
            n,
            (bj_clock_now () - begun) / 1000);
  if (!o->json)
    for (size_t i = 0; i < n; i++)
      print_if_behind (json_object_array_get_idx (all, i), number);
  json_object_put (all);
  return behind > 0 ? CTL_LAGS : CTL_OK;
}

int
ctl_explain (const CtlOptions *o)
{
  GString *out = g_string_new (NULL);
  char *path = g_strdup_printf ("/v1/explain/%s", o->argument);
  int code = ctl_ask_admin (o, path, out);

  if (code == CTL_OK)
    fputs (out->str, stdout);
  g_string_free (out, TRUE);
  g_free (path);
  return code;
}

// Array of the daemons known, NULL after a line on stderr.
static struct json_object *
read_members (const CtlOptions *o)
{
  GString *out = g_string_new (NULL);
  struct json_object *all = NULL;

  if (ctl_ask_admin (o, "/v1/members", out) == CTL_OK)
    all = json_tokener_parse (out->str);
  g_string_free (out, TRUE);
  return all;
}

static int64_t
highest_ticket (struct json_object *all)
{
  int64_t highest = 0;

  for (size_t i = 0; i < json_object_array_length (all); i++)
    highest = MAX (highest, bj_json_int (json_object_array_get_idx (all, i), "ticket"));
  return highest;
}

static size_t
n_behind (struct json_object *all, int64_t number)
{
  size_t n = 0;

  for (size_t i = 0; i < json_object_array_length (all); i++)
    n += bj_json_int (json_object_array_get_idx (all, i), "ticket") < number;
  return n;
}

// Object with a member for each domain: daemons, lowest ticket in force, how many lag.
static struct json_object *
count_domains (struct json_object *all, int64_t newest)
{
  struct json_object *domains = json_object_new_object ();

  for (size_t i = 0; i < json_object_array_length (all); i++)
    {
      struct json_object *m = json_object_array_get_idx (all, i);
      BjStr name = bj_json_str (m, "domain");
      int64_t ticket = bj_json_int (m, "ticket");
      struct json_object *d;

      if (!json_object_object_get_ex (domains, name.data, &d))
        {
          d = json_object_new_object ();
          json_object_object_add (domains, name.data, d);
          json_object_object_add (d, "ticket", json_object_new_int64 (ticket));
        }
      add_to (d, "daemons", 1);
      add_to (d, "lagging", ticket < newest);
      if (ticket < bj_json_int (d, "ticket"))
        json_object_object_add (d, "ticket", json_object_new_int64 (ticket));
    }
  return domains;
}

static void
add_to (struct json_object *o, const char *key, int64_t n)
{
  json_object_object_add (o, key, json_object_new_int64 (bj_json_int (o, key) + n));
}

static void
print_in_force (struct json_object *domains, struct json_object *all, int64_t newest)
{
  json_object_object_foreach (domains, name, d)
  {
    int64_t lagging = bj_json_int (d, "lagging");

    printf ("%-14s %" PRId64 " daemons, ticket %" PRId64,
            name,
            bj_json_int (d, "daemons"),
            bj_json_int (d, "ticket"));
    if (lagging > 0)
      printf (", %" PRId64 " lags behind %" PRId64, lagging, newest);
    printf ("\n");
  }
  for (size_t i = 0; i < json_object_array_length (all); i++)
    print_if_behind (json_object_array_get_idx (all, i), newest);
}

static void
print_in_force_json (struct json_object *domains, struct json_object *all, int64_t newest)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *lagging = json_object_new_array ();

  for (size_t i = 0; i < json_object_array_length (all); i++)
    {
      struct json_object *m = json_object_array_get_idx (all, i);

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
print_if_behind (struct json_object *m, int64_t newest)
{
  if (bj_json_int (m, "ticket") < newest)
    printf ("%.*s lags at ticket %" PRId64 " of %" PRId64 ".\n",
            BJ_STR_ARG (bj_json_str (m, "name")),
            bj_json_int (m, "ticket"),
            newest);
}
