// Dialect "borage": reads and writes boragejunction's own HTTP headers.

#include "instance.h"
#include "internal.h"

// Headers that are not relayed: this layer writes them, or reads them into fields.
static const char *const own_headers[] = { "Date", "Idempotency-Key", "Retry-After", NULL };

static void read_request (const BjSettings *s, const BjHead *h, BjRequest *r, GString *relayed);
static void write_answer (BjAnswer *a, GString *lines);
static void write_run (const BjCall *c, BjStr upstream_id, double left_ms, GString *lines);
static BjStatus read_run (const BjCall *c, const BjHead *h, BjAnswer *a, GString *relayed);
static BjStatus read_announcement (BjStr method, BjStr path, BjStr body, BjAnnouncement *a);
static bool is_own_header (BjStr name);
static double parse_number (BjStr value, double default_value);
static BjOutcome parse_outcome (BjStr name);

static const char *const account_headers[] = { "Bj-Api-Key", "Bj-Account", NULL };
static const BjSignalNames signal_names = { "Bj-Rate-Limit", "Bj-Leaving" };

static const BjDialectOps borage_ops
    = { read_request, write_answer, write_run, read_run, read_announcement, account_headers };

static void
read_request (const BjSettings *s, const BjHead *h, BjRequest *r, GString *relayed)
{
  BjStr block = h->headers;
  BjStr name;
  BjStr value;

  (void)s;
  while (bj_header_next (&block, &name, &value))
    {
      if (bj_header_name_equal (name, "Idempotency-Key"))
        r->key = value;
      else if (bj_header_name_equal (name, "Content-Type"))
        r->content_type = value;
      else if (bj_header_name_equal (name, "Bj-Class"))
        r->klass = (int)parse_number (value, -1);
      else if (bj_header_name_equal (name, "Bj-Deadline-Ms"))
        r->deadline_ms = parse_number (value, 0);
      else if (bj_header_name_equal (name, "Bj-Attempts-Left"))
        r->attempts_left = (int)parse_number (value, -1);
      else if (bj_header_name_equal (name, "Bj-Path"))
        r->depth = (int)parse_number (value, 0);
      else if (bj_header_name_equal (name, "Bj-Call"))
        r->parent = (uint64_t)parse_number (value, 0);
      else if (bj_header_name_equal (name, "Bj-Api-Key"))
        r->api_key = value;
      else if (!is_own_header (name))
        bj_header_add_relayed (relayed, name, value);
    }
}

static void
write_answer (BjAnswer *a, GString *lines)
{
  g_string_append_printf (lines, "Bj-Outcome: %s\r\n", bj_outcome_name (a->outcome));
  if (a->code != BJ_OK)
    g_string_append_printf (lines, "Bj-Code: %s\r\n", bj_status_name (a->code));
  if (a->retry_after_ms > 0)
    g_string_append_printf (lines,
                            "Bj-Retry-After-Ms: %.0f\r\nRetry-After: %d\r\n",
                            a->retry_after_ms,
                            (int)(a->retry_after_ms / 1000) + 1);
  if (a->attempts_left >= 0)
    g_string_append_printf (lines, "Bj-Attempts-Left: %d\r\n", a->attempts_left);
}

static void
write_run (const BjCall *c, BjStr upstream_id, double left_ms, GString *lines)
{
  (void)upstream_id;
  g_string_append_printf (lines,
                          "Bj-Deadline-Ms: %.0f\r\nBj-Attempts-Left: %d\r\nBj-Path: %d\r\n"
                          "Bj-Class: %d\r\nBj-Call: %" G_GUINT64_FORMAT "\r\n",
                          left_ms,
                          c->attempts_left,
                          c->request.depth,
                          c->klass,
                          c->id);
  if (c->request.key.len > 0)
    g_string_append_printf (lines, "Idempotency-Key: %.*s\r\n", BJ_STR_ARG (c->request.key));
  if (c->request.account.len > 0 && !c->request.hides_account)
    g_string_append_printf (lines, "Bj-Account: %.*s\r\n", BJ_STR_ARG (c->request.account));
}

static BjStatus
read_run (const BjCall *c, const BjHead *h, BjAnswer *a, GString *relayed)
{
  BjStr block = h->headers;
  BjStr name;
  BjStr value;
  bool has_id = false;

  while (bj_header_next (&block, &name, &value))
    {
      has_id = has_id || bj_header_name_equal (name, "Bj-Call");
      // A late copy of an earlier response on the connection.
      if (bj_header_name_equal (name, "Bj-Call") && parse_number (value, 0) != (double)c->id)
        return bj_fail (BJ_E_FORMAT,
                        "The upstream's response has Bj-Call \"%.*s\", expected "
                        "%" G_GUINT64_FORMAT ".",
                        BJ_STR_ARG (value),
                        c->id);
      if (bj_header_name_equal (name, "Bj-Outcome"))
        a->outcome = parse_outcome (value);
      else if (bj_header_name_equal (name, "Bj-Retry-After-Ms"))
        a->retry_after_ms = parse_number (value, 0);
      else if (bj_header_name_equal (name, "Bj-Attempts-Left"))
        a->attempts_left = (int)parse_number (value, -1);
      else if (bj_header_name_equal (name, "Bj-Load"))
        bj_instance_read_report (value, &a->upstream_load);
      else if (!bj_signal_read (&signal_names, name, value, &a->upstream) && !is_own_header (name))
        bj_header_add_relayed (relayed, name, value);
    }
  if (a->outcome == BJ_NOT_RUN && !has_id && !h->is_first)
    return bj_fail (BJ_E_FORMAT,
                    "The upstream's refusal has no Bj-Call and may be a copy of an earlier one.");
  return BJ_OK;
}

// Upstreams of this dialect announce themselves through the admin API, see admin.c.
static BjStatus
read_announcement (BjStr method, BjStr path, BjStr body, BjAnnouncement *a)
{
  (void)method;
  (void)path;
  (void)body;
  (void)a;
  return BJ_E_NOT_FOUND;
}

static bool
is_own_header (BjStr name)
{
  return bj_header_is_among (name, own_headers) || bj_str_starts (name, BJ_STR ("Bj-"))
         || bj_str_starts (name, BJ_STR ("bj-"));
}

static double
parse_number (BjStr value, double default_value)
{
  int64_t n;

  return bj_str_int (value, &n) && n >= 0 ? (double)n : default_value;
}

static BjOutcome
parse_outcome (BjStr name)
{
  if (bj_str_equal (name, BJ_STR ("not-run")))
    return BJ_NOT_RUN;
  if (bj_str_equal (name, BJ_STR ("unknown")))
    return BJ_UNKNOWN;
  return BJ_DONE;
}

BJ_PLUGIN (BJ_PLUGIN_DIALECT, "borage", borage_ops)
