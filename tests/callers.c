// Callers: threads that send irreversible requests to a fleet in a loop.

#include "callers.h"
#include <curl/curl.h>

CallerRecord callers_record;

static gint stopping;
static gint64 n_keys;
static _Thread_local CURL *kept_connections; // NULL: each request opens a connection

void
callers_make_key_at (char *key, size_t size, double wall_ms)
{
  uint64_t ms = (uint64_t)wall_ms;
  gint64 n = g_atomic_pointer_add (&n_keys, 1);

  g_snprintf (key,
              size,
              "%08x-%04x-7%03x-8%03x-%012" G_GINT64_MODIFIER "x",
              (guint32)(ms >> 16),
              (guint32)(ms & 0xffff),
              (guint32)g_random_int_range (0, 0x1000),
              (guint32)g_random_int_range (0, 0x1000),
              n);
}

void
callers_make_key (char *key, size_t size)
{
  callers_make_key_at (key, size, bj_clock_wall ());
}

bool
callers_mint_action_id (Fleet *f, int member, char *key, size_t size)
{
  GString *out = g_string_new (NULL);
  int status = fleet_http ("POST", f->members[member].front_port, "/v1/actions", NULL, "", out);
  struct json_object *o = status == 201 ? json_tokener_parse (out->str) : NULL;

  g_strlcpy (key, o != NULL ? bj_json_str (o, "id").data : "", size);
  json_object_put (o);
  g_string_free (out, TRUE);
  return status == 201;
}

static BjOutcome
read_outcome (int status, const GString *body)
{
  struct json_object *o;
  BjOutcome result = BJ_UNKNOWN;

  if (status == 200)
    return BJ_DONE;
  o = status > 0 ? json_tokener_parse (body->str) : NULL;
  if (o != NULL && bj_str_equal (bj_json_str (o, "outcome"), BJ_STR ("done")))
    result = BJ_DONE;
  if (o != NULL && bj_str_equal (bj_json_str (o, "outcome"), BJ_STR ("not-run")))
    result = BJ_NOT_RUN;
  json_object_put (o);
  return result;
}

BjOutcome
callers_send (
    Fleet *f, Action *a, int member, const char *path_prefix, int *status, double *retry_ms)
{
  char path[160];
  char header[96];
  const char *headers[] = { header, NULL };
  GString *out = g_string_new (NULL);
  CheckExchange s = { .key = a->key, .id = a->id, .expected_bytes = ANSWER_BYTES };

  g_snprintf (path, sizeof path, "%s?id=%s&bytes=%d", path_prefix, a->id, ANSWER_BYTES);
  g_snprintf (header, sizeof header, "Idempotency-Key: %s", a->key);
  if (kept_connections != NULL)
    *status = fleet_http_on (
        kept_connections, "POST", f->members[member].front_port, path, headers, "", out);
  else
    *status = fleet_http ("POST", f->members[member].front_port, path, headers, "", out);
  s.outcome = read_outcome (*status, out);
  s.is_from_upstream = *status == 200;
  s.is_complete = *status != 0;
  s.body = (BjStr){ out->str, out->len };
  *retry_ms = *status > 0 ? fleet_json_number (out->str, "retry_after_ms") : -1;
  g_mutex_lock (&callers_record.lock);
  a->n_sent++;
  a->done += s.outcome == BJ_DONE;
  callers_record.n_done += s.outcome == BJ_DONE;
  callers_record.n_not_run += s.outcome == BJ_NOT_RUN;
  callers_record.n_unknown += s.outcome == BJ_UNKNOWN;
  if (callers_record.checker != NULL)
    checker_add_response (callers_record.checker, &s);
  g_mutex_unlock (&callers_record.lock);
  g_string_free (out, TRUE);
  return s.outcome;
}

static gpointer
run_caller (gpointer data)
{
  Caller *c = data;
  int home_member = c->index % c->fleet->n;

  if (callers_record.keeps_connections)
    kept_connections = curl_easy_init ();
  while (!g_atomic_int_get (&stopping))
    {
      Action a = { 0 };
      int member = home_member;
      int status;
      double retry_ms;

      callers_make_key (a.key, sizeof a.key);
      if (c->is_home_bound && !callers_mint_action_id (c->fleet, home_member, a.key, sizeof a.key))
        continue;
      g_snprintf (a.id, sizeof a.id, "c%d-%" G_GINT64_FORMAT, c->index, c->n++);
      for (int i = 0; i < SENDS_MAX; i++)
        {
          BjOutcome o = callers_send (c->fleet, &a, member, "/orders/accept", &status, &retry_ms);

          // One action in four is resent although its first response was done, to check that a
          // duplicate request is not executed. Unless home-bound, it goes to the next daemon.
          if (o == BJ_DONE && (i > 0 || c->n % 4 != 0))
            break;
          g_usleep ((gulong)CLAMP (retry_ms, 1, RESEND_DELAY_MAX_MS) * 1000);
          if (!c->is_home_bound)
            member = (member + 1) % c->fleet->n;
        }
    }
  g_clear_pointer (&kept_connections, curl_easy_cleanup);
  return NULL;
}

void
callers_start (Fleet *f, GThread **threads, Caller *callers, bool is_home_bound)
{
  g_atomic_int_set (&stopping, 0);
  for (int i = 0; i < CALLERS; i++)
    {
      callers[i] = (Caller){ .fleet = f, .index = i, .is_home_bound = is_home_bound };
      threads[i] = g_thread_new ("caller", run_caller, &callers[i]);
    }
}

void
callers_stop (GThread **threads)
{
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
}

bool
callers_are_served (void *fleet)
{
  Fleet *f = fleet;

  for (int i = 0; i < f->n; i++)
    {
      Action a = { .id = "probe" };
      Checker *saved_checker = callers_record.checker;
      int status;
      double retry_ms;
      bool is_done;

      callers_record.checker = NULL;
      callers_make_key (a.key, sizeof a.key);
      is_done = callers_send (f, &a, i, "/orders/accept", &status, &retry_ms) == BJ_DONE;
      callers_record.checker = saved_checker;
      if (!is_done)
        return false;
    }
  return true;
}
