// bj-upstream: stand-in for an upstream. Announces itself to its daemon, runs calls in slots with a
// service time, may call deeper through its daemon, counts executions by action id.
//
//   bj-upstream --service NAME --port N --admin IP:PORT --front IP:PORT [--slots N] [--service-ms
//   N]
//               [--next PATH] [--seed N] [--record FILE]
//
// Paths: /<service>/... runs; "?bytes=N" sets the answer's size and "id=TEXT" what its body
// repeats, so that a caller can tell its own answer, "status=N" its status; a header X-Echo comes
// back; a path with "poison" ends the process. GET /control/executions prints one line an action:
// id, executions. POST /control/<what>?value=N sets service_us, slots, announced_slots, mute (no
// announcements), shed (refuse everything), cold_ms (ten times the service time for so long from
// now), load_lag_ms (announced load is so old), load_claim (percent announced instead of the load,
// -1 for the truth), status (of every answer, 0 for 200), retries (of a deeper call that failed;
// where its answer says how many attempts are left, no more than these). With --record a line "key
// id" is appended to FILE before each run,
// "-" for no key, so that what ran is known after the process was killed.

#include <argtable2.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "internal.h"

#define ANNOUNCE_MS 500
#define BLOCK 16384
#define CONNECTIONS_MAX 4096
#define SHEDDING_LOAD 2.0 // announced while everything is refused
#define LOADS_MAX 64      // announcements remembered for a lag

typedef struct
{
  struct MHD_Connection *conn;
  ev_timer timer;
  GString *body;
  BjHttpCall *deeper;
  uint64_t size; // of the answer
  char id[64];   // repeated in the answer
  int status;
  int wanted_status;
  int attempts_left; // given back by the deeper call, -1 if none
  gint64 n_retries;  // of the deeper call so far
  double arrived_ms;
  bool is_not_run;
  bool is_started;
  bool is_suspended;
  bool is_ready;
  bool holds_slot;
} Run;

static struct ev_loop *loop;
static struct MHD_Daemon *daemon_http;
static BjHttp *http;
static FILE *record;
static ev_io mhd_io;
static ev_timer mhd_timer, announce_timer;
static ev_prepare mhd_prepare;
static bool is_ready;
static GHashTable *executions; // action id to count
static GQueue waiting = G_QUEUE_INIT;
static const char *service, *admin_address, *front_address, *next_path;
static int port, announced_port, in_flight;
static gint64 service_us, slots = 16, announced_slots, mute, draining, shed, cold_ms, cold_from_ms,
                          n_shed, n_run, load_lag_ms, load_claim = -1, retries, fail_status;
static double loads[LOADS_MAX]; // ring of the loads at past announcements
static guint n_loads;

static enum MHD_Result on_request (void *cls,
                                   struct MHD_Connection *conn,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *data,
                                   size_t *size,
                                   void **run);
static void on_completed (void *cls,
                          struct MHD_Connection *conn,
                          void **run,
                          enum MHD_RequestTerminationCode code);
static enum MHD_Result handle (Run *r, const char *url);
static enum MHD_Result handle_control (Run *r, const char *what);
static enum MHD_Result list_executions (Run *r);
static enum MHD_Result start (Run *r, const char *url);
static void take_slot (Run *r);
static void on_service_end (struct ev_loop *l, ev_timer *w, int events);
static void call_deeper (Run *r);
static double left_ms (Run *r);
static void deeper_head (void *data, const BjHttpHead *h);
static size_t deeper_body (void *data, BjStr part);
static void deeper_done (void *data, BjStatus s, bool sent);
static void finish (Run *r, int status);
static enum MHD_Result reply (Run *r, int status, const char *text, size_t n);
static enum MHD_Result reply_run (Run *r);
static ssize_t read_pattern (void *cls, uint64_t pos, char *buf, size_t max);
static const char *header (Run *r, const char *name);
static void on_announce (struct ev_loop *l, ev_timer *w, int events);
static double announced_load (void);
static void ignore_done (void *data, BjStatus s, bool sent);
static size_t ignore_body (void *data, BjStr part);
static void on_mhd (struct ev_loop *l, ev_io *w, int events);
static void on_mhd_timer (struct ev_loop *l, ev_timer *w, int events);
static void on_prepare (struct ev_loop *l, ev_prepare *w, int events);
static void on_signal (struct ev_loop *l, ev_signal *w, int events);
static double now_ms (void);
static void serve (void);

int
main (int argc, char **argv)
{
  struct arg_str *service_arg = arg_str1 (NULL, "service", "NAME", "service to announce");
  struct arg_int *port_arg = arg_int1 (NULL, "port", "N", "port on 127.0.0.1");
  struct arg_str *admin_arg = arg_str1 (NULL, "admin", "IP:PORT", "admin address of the daemon");
  struct arg_str *front_arg
      = arg_str0 (NULL, "front", "IP:PORT", "front address of the daemon, for deeper calls");
  struct arg_int *slots_arg = arg_int0 (NULL, "slots", "N", "calls run at once");
  struct arg_dbl *ms_arg = arg_dbl0 (NULL, "service-ms", "MS", "service time");
  struct arg_str *next_arg = arg_str0 (NULL, "next", "PATH", "path called deeper before answering");
  struct arg_int *announced_arg
      = arg_int0 (NULL, "announced-port", "N", "port announced to the daemon");
  struct arg_file *record_arg = arg_file0 (NULL, "record", "FILE", "gets a line a run");
  struct arg_end *end = arg_end (8);
  void *table[] = { service_arg, port_arg, admin_arg,     front_arg,  slots_arg,
                    ms_arg,      next_arg, announced_arg, record_arg, end };

  slots_arg->ival[0] = 16;
  ms_arg->dval[0] = 5;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "bj-upstream");
      return 2;
    }
  service = service_arg->sval[0];
  port = port_arg->ival[0];
  announced_port = announced_arg->count > 0 ? announced_arg->ival[0] : port;
  admin_address = admin_arg->sval[0];
  front_address = front_arg->count > 0 ? front_arg->sval[0] : NULL;
  next_path = next_arg->count > 0 ? next_arg->sval[0] : NULL;
  slots = announced_slots = slots_arg->ival[0];
  service_us = (gint64)(ms_arg->dval[0] * 1000);
  if (record_arg->count > 0)
    record = fopen (record_arg->filename[0], "a");
  serve ();
  return 0;
}

static void
serve (void)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  ev_signal term;

  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  loop = ev_default_loop (0);
  http = bj_http_new (loop);
  executions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cold_from_ms = (gint64)now_ms ();
  daemon_http = MHD_start_daemon (MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO,
                                  0,
                                  NULL,
                                  NULL,
                                  on_request,
                                  NULL,
                                  MHD_OPTION_SOCK_ADDR,
                                  &addr,
                                  MHD_OPTION_NOTIFY_COMPLETED,
                                  on_completed,
                                  NULL,
                                  MHD_OPTION_CONNECTION_LIMIT,
                                  (unsigned int)CONNECTIONS_MAX,
                                  MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                  1U,
                                  MHD_OPTION_END);
  if (daemon_http == NULL)
    {
      fprintf (stderr, "bj-upstream: port %d can't be opened.\n", port);
      exit (1);
    }
  ev_io_init (&mhd_io,
              on_mhd,
              MHD_get_daemon_info (daemon_http, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd,
              EV_READ);
  ev_io_start (loop, &mhd_io);
  ev_timer_init (&mhd_timer, on_mhd_timer, 0, 0);
  ev_prepare_init (&mhd_prepare, on_prepare);
  ev_prepare_start (loop, &mhd_prepare);
  ev_timer_init (&announce_timer, on_announce, 0, ANNOUNCE_MS / 1000.0);
  ev_timer_start (loop, &announce_timer);
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_start (loop, &term);
  ev_run (loop, 0);
}

static enum MHD_Result
on_request (void *cls,
            struct MHD_Connection *conn,
            const char *url,
            const char *method,
            const char *version,
            const char *data,
            size_t *size,
            void **run)
{
  Run *r = *run;

  (void)cls;
  (void)method;
  (void)version;
  if (r == NULL)
    {
      r = g_new0 (Run, 1);
      r->conn = conn;
      r->body = g_string_new (NULL);
      r->attempts_left = -1;
      *run = r;
      return MHD_YES;
    }
  if (*size > 0)
    {
      g_string_append_len (r->body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  return handle (r, url);
}

static void
on_completed (void *cls,
              struct MHD_Connection *conn,
              void **run,
              enum MHD_RequestTerminationCode code)
{
  Run *r = *run;

  (void)cls;
  (void)conn;
  (void)code;
  if (r == NULL)
    return;
  ev_timer_stop (loop, &r->timer);
  if (r->deeper != NULL)
    bj_http_cancel (r->deeper);
  g_queue_remove (&waiting, r);
  if (r->holds_slot)
    in_flight--;
  g_string_free (r->body, TRUE);
  g_free (r);
}

static enum MHD_Result
handle (Run *r, const char *url)
{
  if (g_str_has_prefix (url, "/control/"))
    return handle_control (r, url + strlen ("/control/"));
  if (r->is_ready)
    return reply_run (r);
  if (r->is_started)
    return MHD_YES;
  return start (r, url);
}

static enum MHD_Result
handle_control (Run *r, const char *what)
{
  struct
  {
    const char *name;
    gint64 *value;
  } all[] = { { "service_us", &service_us },
              { "slots", &slots },
              { "announced_slots", &announced_slots },
              { "mute", &mute },
              { "shed", &shed },
              { "cold_ms", &cold_ms },
              { "draining", &draining },
              { "load_lag_ms", &load_lag_ms },
              { "load_claim", &load_claim },
              { "retries", &retries },
              { "status", &fail_status } };
  const char *value = MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, "value");
  char text[128];

  if (strcmp (what, "executions") == 0)
    return list_executions (r);
  if (strcmp (what, "stats") == 0)
    {
      g_snprintf (text,
                  sizeof text,
                  "run %" G_GINT64_FORMAT "\nshed %" G_GINT64_FORMAT "\n",
                  n_run,
                  n_shed);
      return reply (r, 200, text, strlen (text));
    }
  for (size_t i = 0; i < G_N_ELEMENTS (all) && value != NULL; i++)
    if (strcmp (what, all[i].name) == 0)
      {
        *all[i].value = g_ascii_strtoll (value, NULL, 10);
        if (all[i].value == &cold_ms)
          cold_from_ms = (gint64)now_ms ();
        return reply (r, 200, "", 0);
      }
  return reply (r, 404, "", 0);
}

static enum MHD_Result
list_executions (Run *r)
{
  GString *out = g_string_new (NULL);
  GHashTableIter i;
  gpointer key;
  gpointer count;
  enum MHD_Result result;

  g_hash_table_iter_init (&i, executions);
  while (g_hash_table_iter_next (&i, &key, &count))
    g_string_append_printf (out, "%s %d\n", (char *)key, GPOINTER_TO_INT (count));
  result = reply (r, 200, out->str, out->len);
  g_string_free (out, TRUE);
  return result;
}

static enum MHD_Result
start (Run *r, const char *url)
{
  const char *bytes = MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, "bytes");
  const char *id = MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, "id");
  const char *status = MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, "status");
  const char *key = header (r, "Idempotency-Key");

  r->is_started = true;
  r->arrived_ms = now_ms ();
  r->wanted_status = status != NULL ? (int)g_ascii_strtoll (status, NULL, 10) : 200;
  if (fail_status > 0)
    r->wanted_status = (int)fail_status;
  g_snprintf (r->id, sizeof r->id, "%s ", id != NULL ? id : "none");
  r->size = bytes != NULL ? g_ascii_strtoull (bytes, NULL, 10) : 64;
  if (shed)
    {
      r->is_not_run = true;
      r->is_ready = true;
      r->status = 503;
      n_shed++;
      return reply_run (r);
    }
  n_run++;
  if (record != NULL)
    {
      fprintf (record, "%s %s\n", key != NULL ? key : "-", r->id);
      fflush (record);
    }
  if (key != NULL)
    g_hash_table_insert (
        executions,
        g_strdup (key),
        GINT_TO_POINTER (GPOINTER_TO_INT (g_hash_table_lookup (executions, key)) + 1));
  if (strstr (url, "poison") != NULL)
    _exit (66);
  r->is_suspended = true;
  MHD_suspend_connection (r->conn);
  if (in_flight < slots)
    take_slot (r);
  else
    g_queue_push_tail (&waiting, r);
  return MHD_YES;
}

static void
take_slot (Run *r)
{
  gint64 us = service_us;

  if (cold_ms > 0 && now_ms () - (double)cold_from_ms < (double)cold_ms)
    us *= 10;
  in_flight++;
  r->holds_slot = true;
  ev_timer_init (&r->timer, on_service_end, (double)us / 1e6, 0);
  r->timer.data = r;
  ev_timer_start (loop, &r->timer);
}

static void
on_service_end (struct ev_loop *l, ev_timer *w, int events)
{
  Run *r = w->data;

  (void)l;
  (void)events;
  if (next_path != NULL && front_address != NULL)
    call_deeper (r);
  else
    finish (r, r->wanted_status);
}

static void
call_deeper (Run *r)
{
  static const char *const passed[] = { "Idempotency-Key", "Bj-Deadline-Ms", "Bj-Attempts-Left",
                                        "Bj-Path",         "Bj-Class",       "Bj-Call" };
  char *url = g_strdup_printf ("http://%s%s", front_address, next_path);
  char *lines[G_N_ELEMENTS (passed) + 1] = { NULL };
  int n = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (passed); i++)
    if (strcmp (passed[i], "Bj-Attempts-Left") == 0 && r->attempts_left >= 0)
      lines[n++] = g_strdup_printf ("%s: %d", passed[i], r->attempts_left);
    else if (strcmp (passed[i], "Bj-Deadline-Ms") == 0 && header (r, passed[i]) != NULL)
      lines[n++] = g_strdup_printf ("%s: %.0f", passed[i], MAX (1, left_ms (r)));
    else if (header (r, passed[i]) != NULL)
      lines[n++] = g_strdup_printf ("%s: %s", passed[i], header (r, passed[i]));
  r->status = 502;
  r->deeper = bj_http_start (http,
                             &(BjHttpOptions){
                                 .method = "GET",
                                 .url = url,
                                 .headers = (const char *const *)lines,
                                 .timeout_ms = 60000,
                                 .head = deeper_head,
                                 .body_part = deeper_body,
                                 .done = deeper_done,
                                 .data = r,
                             });
  for (int i = 0; i < n; i++)
    g_free (lines[i]);
  g_free (url);
}

// Of the deadline that the call came with.
static double
left_ms (Run *r)
{
  const char *deadline = header (r, "Bj-Deadline-Ms");

  if (deadline == NULL)
    return G_MAXINT;
  return g_ascii_strtod (deadline, NULL) - (now_ms () - r->arrived_ms);
}

static void
deeper_head (void *data, const BjHttpHead *h)
{
  Run *r = data;

  r->status = h->status;
  r->attempts_left = h->attempts_left;
}

static size_t
deeper_body (void *data, BjStr part)
{
  (void)data;
  return part.len;
}

static void
deeper_done (void *data, BjStatus s, bool sent)
{
  Run *r = data;

  (void)sent;
  r->deeper = NULL;
  if (s != BJ_OK)
    r->status = 502;
  if (r->status >= 500 && r->n_retries < retries && r->attempts_left != 0 && left_ms (r) > 0)
    {
      r->n_retries++;
      r->attempts_left = MAX (-1, r->attempts_left - 1);
      call_deeper (r);
      return;
    }
  finish (r, r->status);
}

static void
finish (Run *r, int status)
{
  Run *next;

  r->status = status;
  r->is_ready = true;
  r->holds_slot = false;
  in_flight--;
  r->is_suspended = false;
  MHD_resume_connection (r->conn);
  is_ready = true;
  while (in_flight < slots && (next = g_queue_pop_head (&waiting)) != NULL)
    take_slot (next);
}

static enum MHD_Result
reply (Run *r, int status, const char *text, size_t n)
{
  struct MHD_Response *m = MHD_create_response_from_buffer (n, (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result = MHD_queue_response (r->conn, (unsigned int)status, m);

  MHD_destroy_response (m);
  return result;
}

static enum MHD_Result
reply_run (Run *r)
{
  struct MHD_Response *m
      = MHD_create_response_from_callback (r->size, BLOCK, read_pattern, r, NULL);
  char text[16];
  enum MHD_Result result;

  if (r->is_not_run)
    MHD_add_response_header (m, "Bj-Outcome", "not-run");
  if (r->attempts_left >= 0)
    {
      g_snprintf (text, sizeof text, "%d", r->attempts_left);
      MHD_add_response_header (m, "Bj-Attempts-Left", text);
    }
  if (header (r, "X-Echo") != NULL)
    MHD_add_response_header (m, "X-Echo", header (r, "X-Echo"));
  if (header (r, "Connection") != NULL)
    MHD_add_response_header (m, "X-Saw-Connection", "yes");
  MHD_add_response_header (m, "Content-Type", "application/octet-stream");
  result = MHD_queue_response (r->conn, (unsigned int)r->status, m);
  MHD_destroy_response (m);
  return result;
}

static ssize_t
read_pattern (void *cls, uint64_t pos, char *buf, size_t max)
{
  const Run *r = cls;
  size_t n = strlen (r->id);

  for (size_t i = 0; i < max; i++)
    buf[i] = r->id[(pos + i) % n];
  return (ssize_t)max;
}

static const char *
header (Run *r, const char *name)
{
  return MHD_lookup_connection_value (r->conn, MHD_HEADER_KIND, name);
}

static void
on_announce (struct ev_loop *l, ev_timer *w, int events)
{
  double load;
  char *url;
  char *body;

  (void)l;
  (void)w;
  (void)events;
  if (mute)
    return;
  load = announced_load ();
  url = g_strdup_printf ("http://%s/v1/announce", admin_address);
  body = g_strdup_printf (
      "{\"service\":\"%s\",\"host\":\"127.0.0.1\",\"port\":%d,\"slots\":%" G_GINT64_FORMAT
      ",\"load\":%.2f,\"healthy\":%s,\"draining\":%s}",
      service,
      announced_port,
      announced_slots,
      load,
      load > 1 ? "false" : "true",
      draining != 0 ? "true" : "false");
  bj_http_start (http,
                 &(BjHttpOptions){
                     .method = "POST",
                     .url = url,
                     .body = bj_str (body),
                     .timeout_ms = 1000,
                     .body_part = ignore_body,
                     .done = ignore_done,
                 });
  g_free (url);
  g_free (body);
}

static double
announced_load (void)
{
  guint lag = (guint)MIN (load_lag_ms / ANNOUNCE_MS, LOADS_MAX - 1);

  loads[n_loads++ % LOADS_MAX] = shed ? SHEDDING_LOAD : (double)in_flight / (double)MAX (1, slots);
  if (load_claim >= 0)
    return (double)load_claim / 100.0;
  return n_loads > lag ? loads[(n_loads - 1 - lag) % LOADS_MAX] : 0;
}

static void
ignore_done (void *data, BjStatus s, bool sent)
{
  (void)data;
  (void)s;
  (void)sent;
}

static size_t
ignore_body (void *data, BjStr part)
{
  (void)data;
  return part.len;
}

static void
on_mhd (struct ev_loop *l, ev_io *w, int events)
{
  (void)l;
  (void)w;
  (void)events;
  is_ready = true;
}

static void
on_mhd_timer (struct ev_loop *l, ev_timer *w, int events)
{
  (void)l;
  (void)w;
  (void)events;
  is_ready = true;
}

static void
on_prepare (struct ev_loop *l, ev_prepare *w, int events)
{
  MHD_UNSIGNED_LONG_LONG ms;

  (void)w;
  (void)events;
  while (is_ready)
    {
      is_ready = false;
      MHD_run (daemon_http);
      ev_timer_stop (l, &mhd_timer);
      if (MHD_get_timeout (daemon_http, &ms) != MHD_YES)
        continue;
      is_ready = ms == 0;
      ev_timer_set (&mhd_timer, (double)ms / 1000.0, 0);
      ev_timer_start (l, &mhd_timer);
    }
}

static void
on_signal (struct ev_loop *l, ev_signal *w, int events)
{
  (void)w;
  (void)events;
  ev_break (l, EVBREAK_ALL);
}

static double
now_ms (void)
{
  return (double)g_get_monotonic_time () / 1000.0;
}
