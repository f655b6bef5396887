// bjctl's commands about tickets: file, check, show, drain.

#include "bjctl.h"
#include <stdio.h>
#include <string.h>

#define ROOT "/apis/boragejunction/v1/"
#define MERGE_TRIES 10

static int need_platform (const CtlOptions *o);
static BjStatus read_file (const char *path, char **text, gsize *len);
static int create_ticket (const CtlOptions *o, int64_t number, BjStr text);
static int merge_ticket (const CtlOptions *o, int64_t number, BjStr text);
static int get_current (const CtlOptions *o, GString *spec, GString *version);
static int put_current (const CtlOptions *o, const GString *spec, const GString *version);

int
ctl_check (const CtlOptions *o)
{
  int64_t number;
  char *text;
  gsize len;
  BjStatus s = read_file (o->argument, &text, &len);

  if (s != BJ_OK)
    return ctl_fail ("%s", bj_last_message ());
  s = bj_ticket_check ((BjStr){ text, len }, &number);
  g_free (text);
  if (s != BJ_OK)
    return ctl_fail ("%s", bj_last_message ());
  printf ("Ticket %" G_GINT64_FORMAT " is well-formed.\n", number);
  return 0;
}

int
ctl_file (const CtlOptions *o)
{
  char *text;
  gsize len;
  int code = need_platform (o);

  if (code != 0)
    return code;
  if (read_file (o->argument, &text, &len) != BJ_OK)
    return ctl_fail ("%s", bj_last_message ());
  code = ctl_file_text (o, (BjStr){ text, len });
  g_free (text);
  return code;
}

int
ctl_file_text (const CtlOptions *o, BjStr text)
{
  int64_t number;
  int code;

  if (bj_ticket_check (text, &number) != BJ_OK)
    return ctl_fail ("%s", bj_last_message ());
  code = create_ticket (o, number, text);
  if (code == 0)
    code = merge_ticket (o, number, text);
  if (code == 0)
    printf ("Ticket %" G_GINT64_FORMAT " is filed.\n", number);
  return code;
}

int
ctl_show (const CtlOptions *o)
{
  GString *spec = g_string_new (NULL);
  GString *version = g_string_new (NULL);
  int code = need_platform (o);

  if (code == 0)
    code = get_current (o, spec, version);
  if (code == 0)
    printf ("%s\n", spec->str);
  g_string_free (spec, TRUE);
  g_string_free (version, TRUE);
  return code;
}

int
ctl_drain (const CtlOptions *o)
{
  GString *spec = g_string_new (NULL);
  GString *version = g_string_new (NULL);
  struct json_object *current;
  int64_t number;
  char *ticket;
  int code = need_platform (o);

  if (code == 0)
    code = get_current (o, spec, version);
  if (code == 0)
    {
      current = json_tokener_parse (spec->str);
      number = (int64_t)bj_json_number (current, "number", 0);
      ticket = g_strdup_printf ("{\"number\":%" G_GINT64_FORMAT ",\"base\":%" G_GINT64_FORMAT
                                ",\"upstreams\":{\"%s\":{\"drain\":true}}}",
                                number + 1,
                                number,
                                o->argument);
      code = ctl_file_text (o, bj_str (ticket));
      g_free (ticket);
      json_object_put (current);
    }
  g_string_free (spec, TRUE);
  g_string_free (version, TRUE);
  return code;
}

static int
need_platform (const CtlOptions *o)
{
  return o->platform != NULL ? 0 : ctl_fail ("--platform URL is needed.");
}

static BjStatus
read_file (const char *path, char **text, gsize *len)
{
  GError *error = NULL;
  BjStatus s;

  if (g_file_get_contents (path, text, len, &error))
    return BJ_OK;
  s = bj_fail (BJ_E_IO, "%s: %s.", path, error->message);
  g_error_free (error);
  return s;
}

static int
create_ticket (const CtlOptions *o, int64_t number, BjStr text)
{
  char *url = g_strdup_printf ("%s" ROOT "tickets/%" G_GINT64_FORMAT, o->platform, number);
  struct json_object *spec = NULL;
  GString *out = g_string_new (NULL);
  char *body;
  int status;

  bj_json_read ("ticket", text, BJ_E_TICKET, &spec);
  body = g_strdup_printf ("{\"metadata\":{},\"spec\":%s}", json_object_to_json_string (spec));
  status = ctl_ask ("POST", url, bj_str (body), out);
  g_free (url);
  g_free (body);
  json_object_put (spec);
  g_string_free (out, TRUE);
  if (status == 201)
    return 0;
  if (status == 409)
    return ctl_fail ("Ticket %" G_GINT64_FORMAT " exists already.", number);
  return ctl_fail ("The platform answered with status %d.", status);
}

static int
merge_ticket (const CtlOptions *o, int64_t number, BjStr text)
{
  GString *spec = g_string_new (NULL);
  GString *version = g_string_new (NULL);
  GString *merged = g_string_new (NULL);
  int status = 409;
  int code = 0;

  for (int i = 0; i < MERGE_TRIES && status == 409 && code == 0; i++)
    {
      code = get_current (o, spec, version);
      if (code == 0 && bj_ticket_merge ((BjStr){ spec->str, spec->len }, text, merged) != BJ_OK)
        code = ctl_fail ("%s", bj_last_message ());
      if (code == 0)
        status = put_current (o, merged, version);
    }
  if (code == 0 && status != 200 && status != 201)
    code = ctl_fail ("Ticket %" G_GINT64_FORMAT " could not be merged, status %d.", number, status);
  g_string_free (spec, TRUE);
  g_string_free (version, TRUE);
  g_string_free (merged, TRUE);
  return code;
}

static int
get_current (const CtlOptions *o, GString *spec, GString *version)
{
  char *url = g_strdup_printf ("%s" ROOT "config/current", o->platform);
  GString *out = g_string_new (NULL);
  int status = ctl_ask ("GET", url, BJ_STR_NULL, out);
  struct json_object *root = status == 200 ? json_tokener_parse (out->str) : NULL;
  struct json_object *part;

  g_string_truncate (spec, 0);
  g_string_truncate (version, 0);
  if (json_object_object_get_ex (root, "spec", &part))
    g_string_assign (spec, json_object_to_json_string_ext (part, JSON_C_TO_STRING_PLAIN));
  if (json_object_object_get_ex (root, "metadata", &part))
    g_string_append_len (version,
                         bj_json_str (part, "resourceVersion").data,
                         (gssize)bj_json_str (part, "resourceVersion").len);
  json_object_put (root);
  g_string_free (out, TRUE);
  g_free (url);
  if (status == 200 || status == 404)
    return 0;
  return ctl_fail ("The platform answered with status %d.", status);
}

static int
put_current (const CtlOptions *o, const GString *spec, const GString *version)
{
  char *url = g_strdup_printf ("%s" ROOT "config/current", o->platform);
  char *body = g_strdup_printf (
      "{\"metadata\":{\"resourceVersion\":\"%s\"},\"spec\":%s}", version->str, spec->str);
  GString *out = g_string_new (NULL);
  int status = ctl_ask (version->len > 0 ? "PUT" : "POST", url, bj_str (body), out);

  g_string_free (out, TRUE);
  g_free (body);
  g_free (url);
  return status;
}
