// bjctl commands that read or change the configuration: file, check, show, drain.

#include "account.h"
#include "bjctl.h"
#include <stdio.h>
#include <unistd.h>

#define FILING_TRIES 10 // store calls that may fail before the filing is abandoned

static int file_ticket (const CtlOptions *o, BjStr text);
static int run_filing (const CtlOptions *o, int64_t number, BjStr text, GString *writer);
static int confirm_decision (const CtlOptions *o, int64_t number, const char *writer);
static int report_last_error (const CtlOptions *o, BjStatus s);
static int require_platform (const CtlOptions *o);
static BjStatus read_ticket (const CtlOptions *o, GString *text);
static BjStatus set_base (const CtlOptions *o, GString *text);
static void print_difference (const CtlOptions *o, BjStr text);
static GString *make_writer_id (void);
static void print_config (const GString *spec);
static BjStatus check_config (const GString *text);
static char *make_drain_ticket (BjStr current, const char *upstream);

int
ctl_check_ticket (const CtlOptions *o)
{
  GString *text = g_string_new (NULL);
  GString *current = g_string_new (NULL);
  GString *merged = g_string_new (NULL);
  BjStatus s = read_ticket (o, text);
  int code = CTL_OK;

  if (s == BJ_OK && o->platform != NULL)
    s = ctl_read_object (o, "config/current", current);
  if (s == BJ_E_NOT_FOUND)
    s = BJ_OK;
  if (s == BJ_OK)
    s = bj_ticket_merge (
        (BjStr){ current->str, current->len }, (BjStr){ text->str, text->len }, merged);
  if (s != BJ_OK)
    code = report_last_error (o, s);
  else if (o->json)
    printf ("{\"code\":0,\"name\":\"BJ_OK\"}\n");
  else
    printf ("The ticket can be filed on %s.\n",
            o->platform != NULL ? "the current configuration" : "an empty configuration");
  if (s == BJ_E_BASE)
    print_difference (o, (BjStr){ text->str, text->len });
  g_string_free (merged, TRUE);
  g_string_free (current, TRUE);
  g_string_free (text, TRUE);
  return code;
}

int
ctl_file_ticket (const CtlOptions *o)
{
  GString *text = g_string_new (NULL);
  int code = require_platform (o);
  BjStatus s;

  if (code == CTL_OK)
    {
      s = read_ticket (o, text);
      code = s == BJ_OK ? file_ticket (o, (BjStr){ text->str, text->len })
                        : report_last_error (o, s);
    }
  g_string_free (text, TRUE);
  return code;
}

int
ctl_show_config (const CtlOptions *o)
{
  GString *spec = g_string_new (NULL);
  int code = require_platform (o);
  BjStatus s;

  if (code == CTL_OK)
    {
      s = ctl_read_object (o, "config/current", spec);
      code = s == BJ_OK ? CTL_OK : report_last_error (o, s);
    }
  if (code == CTL_OK)
    print_config (spec);
  g_string_free (spec, TRUE);
  return code;
}

int
ctl_drain_upstream (const CtlOptions *o)
{
  GString *current = g_string_new (NULL);
  int code = require_platform (o);
  BjStatus s;

  if (code == CTL_OK)
    {
      s = ctl_read_object (o, "config/current", current);
      if (s == BJ_OK)
        s = check_config (current);
      if (s == BJ_OK || s == BJ_E_NOT_FOUND)
        {
          char *ticket = make_drain_ticket ((BjStr){ current->str, current->len }, o->argument);

          code = file_ticket (o, bj_str (ticket));
          g_free (ticket);
        }
      else
        code = report_last_error (o, s);
    }
  g_string_free (current, TRUE);
  return code;
}

// Prints the number of keys of each client account in place of the keys.
static void
print_config (const GString *spec)
{
  struct json_object *c = json_tokener_parse (spec->str);

  bj_accounts_hide_keys (c);
  printf ("%s\n", json_object_to_json_string_ext (c, JSON_C_TO_STRING_PLAIN));
  json_object_put (c);
}

static int
file_ticket (const CtlOptions *o, BjStr text)
{
  int64_t number;
  BjStatus s = bj_ticket_check (text, &number);
  GString *writer;
  int code;

  if (s != BJ_OK)
    return report_last_error (o, s);
  writer = make_writer_id ();
  code = run_filing (o, number, text, writer);
  if (code == CTL_OK && o->wait_ms > 0)
    code = ctl_wait_in_force (o, number);
  if (code == CTL_OK && o->wait_ms > 0)
    code = confirm_decision (o, number, writer->str);
  g_string_free (writer, TRUE);
  return code;
}

static int
run_filing (const CtlOptions *o, int64_t number, BjStr text, GString *writer)
{
  GString *in_force = g_string_new (NULL);
  BjFilingOptions fo = BJ_FILING_OPTIONS_DEFAULT;
  BjFiling *f;
  BjStatus s;

  if (o->admin != NULL)
    {
      char *url = g_strdup_printf ("http://%s/v1/config", o->admin);

      if (ctl_send_request ("GET", url, BJ_STR_NULL, in_force) != 200)
        g_string_truncate (in_force, 0);
      g_free (url);
    }
  fo.ticket = text;
  fo.writer = (BjStr){ writer->str, writer->len };
  fo.in_force_config = (BjStr){ in_force->str, in_force->len };
  fo.tries_max = FILING_TRIES;
  fo.seed = g_random_int ();
  s = bj_filing_new (&fo, &f);
  if (s == BJ_OK)
    s = ctl_run_filing (o, f, writer);
  g_string_free (in_force, TRUE);
  if (s == BJ_OK && o->json)
    printf ("{\"code\":0,\"name\":\"BJ_OK\",\"number\":%" PRId64 ",\"writer\":\"%s\"}\n",
            number,
            writer->str);
  else if (s == BJ_OK)
    printf ("Ticket %" PRId64 " is accepted.\n", number);
  if (s == BJ_OK)
    return CTL_OK;
  report_last_error (o, s);
  if (s == BJ_E_BASE)
    print_difference (o, text);
  return s == BJ_E_PLATFORM ? CTL_NO_ANSWER : s == BJ_E_PENDING ? CTL_PENDING : CTL_REFUSED;
}

// Fails if the daemon at --admin holds the ticket of another writer under this number. The store is
// not read again: it may have been restored to an older state since.
static int
confirm_decision (const CtlOptions *o, int64_t number, const char *writer)
{
  GString *config = g_string_new (NULL);
  int code = ctl_get_from_admin (o, "/v1/config", config);
  struct json_object *c = code == CTL_OK ? json_tokener_parse (config->str) : NULL;
  struct json_object *d = bj_ticket_find_decision (c, number);
  BjStr holder = bj_json_str (d, "writer");

  if (d != NULL && !bj_str_equal (holder, bj_str (writer)))
    code = ctl_report_error (o,
                             BJ_E_EXISTS,
                             "Ticket %" PRId64 " in force was filed by %.*s.",
                             number,
                             BJ_STR_ARG (holder));
  json_object_put (c);
  g_string_free (config, TRUE);
  return code;
}

static int
report_last_error (const CtlOptions *o, BjStatus s)
{
  char *text = g_strdup (bj_last_message ());
  int code = ctl_report_error (o, s, "%s", text);

  g_free (text);
  return code;
}

static int
require_platform (const CtlOptions *o)
{
  if (o->platform != NULL)
    return CTL_OK;
  return ctl_report_error (o, BJ_E_ARGUMENT, "This command needs --platform URL.");
}

static BjStatus
read_ticket (const CtlOptions *o, GString *text)
{
  GError *error = NULL;
  char *data;
  gsize len;
  BjStatus s;

  if (!g_file_get_contents (o->argument, &data, &len, &error))
    {
      s = bj_fail (BJ_E_IO, "%s: %s.", o->argument, error->message);
      g_error_free (error);
      return s;
    }
  g_string_append_len (text, data, (gssize)len);
  g_free (data);
  return o->base >= 0 ? set_base (o, text) : BJ_OK;
}

static BjStatus
set_base (const CtlOptions *o, GString *text)
{
  struct json_object *t;
  BjStatus s = bj_json_read ("ticket", (BjStr){ text->str, text->len }, BJ_E_TICKET, &t);

  if (s != BJ_OK)
    return s;
  if (json_object_is_type (t, json_type_object))
    json_object_object_add (t, "base", json_object_new_int (o->base));
  g_string_assign (text, json_object_to_json_string_ext (t, JSON_C_TO_STRING_PLAIN));
  json_object_put (t);
  return BJ_OK;
}

static void
print_difference (const CtlOptions *o, BjStr text)
{
  GString *current = g_string_new (NULL);
  GString *lines = g_string_new (NULL);

  if (o->platform != NULL && ctl_read_object (o, "config/current", current) == BJ_OK)
    bj_ticket_print_difference ((BjStr){ current->str, current->len }, text, lines);
  fputs (lines->str, stderr);
  if (lines->len > 0)
    fprintf (stderr, "To file the ticket on a newer base, add --force --base NUMBER.\n");
  g_string_free (lines, TRUE);
  g_string_free (current, TRUE);
}

// Returns a unique id: user, host, process id and 64 random bits.
static GString *
make_writer_id (void)
{
  GString *s = g_string_new (NULL);

  g_string_printf (s,
                   "%s@%s:%d-%08x%08x",
                   g_get_user_name (),
                   g_get_host_name (),
                   (int)getpid (),
                   g_random_int (),
                   g_random_int ());
  return s;
}

static BjStatus
check_config (const GString *text)
{
  BjConfig *c;
  BjStatus s = bj_config_parse ((BjStr){ text->str, text->len }, &c);

  bj_config_free (c);
  return s;
}

// Returns a ticket that sets drain and keeps the upstream's other settings; the caller frees it.
static char *
make_drain_ticket (BjStr current, const char *upstream)
{
  struct json_object *c = NULL;
  struct json_object *old;
  struct json_object *u = NULL;
  struct json_object *upstreams = json_object_new_object ();
  struct json_object *t = json_object_new_object ();
  int64_t number;
  char *text;

  if (current.len > 0)
    bj_config_read (current, &c);
  number = bj_json_int (c, "number");
  old = json_object_object_get (json_object_object_get (c, "upstreams"), upstream);
  if (old != NULL)
    json_object_deep_copy (old, &u, NULL);
  else
    u = json_object_new_object ();
  json_object_object_del (u, "number");
  json_object_object_add (u, "drain", json_object_new_boolean (true));
  json_object_object_add (upstreams, upstream, u);
  json_object_object_add (t, "number", json_object_new_int64 (number + 1));
  json_object_object_add (t, "base", json_object_new_int64 (number));
  json_object_object_add (t, "author", json_object_new_string (g_get_user_name ()));
  json_object_object_add (t, "upstreams", upstreams);
  text = g_strdup (json_object_to_json_string_ext (t, JSON_C_TO_STRING_PLAIN));
  json_object_put (t);
  json_object_put (c);
  return text;
}
