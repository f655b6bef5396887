// bj-upstream: stand-in for an upstream. Announces itself to its daemon, executes each request in
// one of its slots for a service time, optionally sends a downstream request through its daemon
// before it responds, and counts executions per action.
//
//   bj-upstream --service NAME --port N --admin IP:PORT [--front IP:PORT] [--slots N]
//               [--service-ms MS] [--next PATH] [--announced-port N] [--record FILE]
//
// A request for any path outside /control/ is executed. Its query sets the response: bytes=N the
// body size, status=N the status, id=TEXT a text that fills the body, by which a caller recognizes
// its own response, chunked=1 a body without a length. The header X-Echo is returned; X-Saw-Account
// is the value of Bj-Account, and X-Saw-Key is set if there was a Bj-Api-Key. A path that contains
// "poison" ends the process.
//
// GET /control/executions prints one line per action: key, number of executions. GET /control/stats
// prints the numbers of executed and refused requests. GET /control/arrivals prints, since
// rate_milli or leaving was last set, the number of requests and the most within 4 s. POST
// /control/NAME?value=N sets:
//
//   service_us       service time in microseconds
//   slots            requests executed concurrently
//   announced_slots  slots in announcements
//   mute             1 stops announcements
//   shed             1 refuses every request
//   cold_ms          the service time is ten times longer for the next N ms
//   draining         1 announces that the upstream drains
//   load_lag_ms      announces the load measured N ms ago
//   load_claim       announces N percent instead of the measured load, -1 for the measured load
//   status           status of every response, 0 for the requested one
//   slowness         every response reports the load with this slowness in percent, 0 for none
//   rate_milli       every response names a rate of N / 1000 requests a second, -1 for none
//   leaving          1 says in every response that the upstream leaves
//   retries          most retries of a failed downstream request; no more than the attempts left
//                    that its response returned
//
// With --record, a line "key id" ("-" for no key) is appended to FILE before each execution, so
// that executions are known after the process was killed.

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
#define RESPONSE_BLOCK_BYTES 16384
#define CONNECTIONS_MAX 4096
#define REFUSING_LOAD 2.0 // load announced while every request is refused
#define ARRIVALS_WINDOW_MS 4000
#define LOADS_MAX 64 // past loads kept for load_lag_ms

typedef struct
{
  struct MHD_Connection *conn;
  ev_timer timer;
  GString *body;
  BjHttpCall *downstream;
  uint64_t size; // body size of the response
  char id[64];   // text repeated in the body of the response
  int status;
  int wanted_status; // requested with status=N, 200 by default
  int attempts_left; // from the response to the downstream request, -1 if absent
  gint64 n_retries;  // retries of the downstream request so far
  double arrived_ms;
  bool is_refused;
  bool is_started;
  bool is_suspended;
  bool is_finished;
  bool holds_slot;
} Request;

static struct ev_loop *loop;
static struct MHD_Daemon *daemon_http;
static BjHttp *http;
static FILE *record_file;
static ev_io mhd_io;
static ev_timer mhd_timer, announce_timer;
static ev_prepare mhd_prepare;
static bool mhd_is_ready;      // MHD_run has work to do
static GHashTable *executions; // idempotency key to count
static GQueue waiting_requests = G_QUEUE_INIT;
static const char *service, *admin_address, *front_address, *next_path;
static int port, announced_port, in_flight;
static gint64 service_us, slots = 16, announced_slots, mute, draining, shed, cold_ms, cold_from_ms,
                          n_refused, n_executed, load_lag_ms, load_claim = -1, retries, fail_status,
                          rate_milli = -1, leaving, slowness;
static gint64 started_us;
static GArray *arrivals;        // double, ms, since rate_milli or leaving was last set
static double loads[LOADS_MAX]; // ring buffer of the loads at past announcements
static guint n_loads;

static enum MHD_Result on_request (void *cls,
                                   struct MHD_Connection *conn,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *data,
                                   size_t *size,
                                   void **request);
static void on_completed (void *cls,
                          struct MHD_Connection *conn,
                          void **request,
                          enum MHD_RequestTerminationCode code);
static enum MHD_Result handle_request (Request *r, const char *url);
static enum MHD_Result handle_control (Request *r, const char *what);
static enum MHD_Result list_executions (Request *r);
static enum MHD_Result list_arrivals (Request *r);
static enum MHD_Result start_execution (Request *r, const char *url);
static void take_slot (Request *r);
static void on_service_timer (struct ev_loop *l, ev_timer *w, int events);
static void send_downstream (Request *r);
static double remaining_ms (Request *r);
static void on_downstream_head (void *data, const BjHttpHead *h);
static size_t on_downstream_body (void *data, BjStr part);
static void on_downstream_done (void *data, BjStatus s, bool sent);
static void finish_execution (Request *r, int status);
static enum MHD_Result reply (Request *r, int status, const char *text, size_t n);
static enum MHD_Result reply_result (Request *r);
static ssize_t read_pattern (void *cls, uint64_t pos, char *buf, size_t max);
static bool is_chunked (const Request *r);
static const char *request_header (Request *r, const char *name);
static void on_announce (struct ev_loop *l, ev_timer *w, int events);
static double next_announced_load (void);
static void ignore_done (void *data, BjStatus s, bool sent);
static size_t ignore_body (void *data, BjStr part);
static void on_mhd_readable (struct ev_loop *l, ev_io *w, int events);
static void on_mhd_timer (struct ev_loop *l, ev_timer *w, int events);
static void on_prepare (struct ev_loop *l, ev_prepare *w, int events);
static void on_signal (struct ev_loop *l, ev_signal *w, int events);
static double now_ms (void);
static void run_server (void);

int
main (int argc, char **argv)
{
  struct arg_str *service_arg = arg_str1 (NULL, "service", "NAME", "service to announce");
  struct arg_int *port_arg = arg_int1 (NULL, "port", "N", "port to listen on at 127.0.0.1");
  struct arg_str *admin_arg = arg_str1 (NULL, "admin", "IP:PORT", "admin address of the daemon");
  struct arg_str *front_arg
      = arg_str0 (NULL, "front", "IP:PORT", "front address of the daemon, for downstream requests");
  struct arg_int *slots_arg
      = arg_int0 (NULL, "slots", "N", "requests executed concurrently (default 16)");
  struct arg_dbl *ms_arg
      = arg_dbl0 (NULL, "service-ms", "MS", "service time in milliseconds (default 5)");
  struct arg_str *next_arg
      = arg_str0 (NULL, "next", "PATH", "path requested downstream before responding");
  struct arg_int *announced_arg
      = arg_int0 (NULL, "announced-port", "N", "port announced to the daemon (default: --port)");
  struct arg_file *record_arg
      = arg_file0 (NULL, "record", "FILE", "file that one line per execution is appended to");
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
    record_file = fopen (record_arg->filename[0], "a");
  run_server ();
  return 0;
}

static void
run_server (void)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  ev_signal term;

  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  started_us = g_get_monotonic_time ();
  loop = ev_default_loop (0);
  http = bj_http_new (loop);
  arrivals = g_array_new (FALSE, FALSE, sizeof (double));
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
      fprintf (stderr, "bj-upstream: cannot listen on 127.0.0.1:%d.\n", port);
      exit (1);
    }
  ev_io_init (&mhd_io,
              on_mhd_readable,
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
            void **request)
{
  Request *r = *request;

  (void)cls;
  (void)method;
  (void)version;
  if (r == NULL)
    {
      r = g_new0 (Request, 1);
      r->conn = conn;
      r->body = g_string_new (NULL);
      r->attempts_left = -1;
      *request = r;
      return MHD_YES;
    }
  if (*size > 0)
    {
      g_string_append_len (r->body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  return handle_request (r, url);
}

static void
on_completed (void *cls,
              struct MHD_Connection *conn,
              void **request,
              enum MHD_RequestTerminationCode code)
{
  Request *r = *request;

  (void)cls;
  (void)conn;
  (void)code;
  if (r == NULL)
    return;
  ev_timer_stop (loop, &r->timer);
  if (r->downstream != NULL)
    bj_http_cancel (r->downstream);
  g_queue_remove (&waiting_requests, r);
  if (r->holds_slot)
    in_flight--;
  g_string_free (r->body, TRUE);
  g_free (r);
}

static enum MHD_Result
handle_request (Request *r, const char *url)
{
  if (g_str_has_prefix (url, "/control/"))
    return handle_control (r, url + strlen ("/control/"));
  if (r->is_finished)
    return reply_result (r);
  if (r->is_started)
    return MHD_YES;
  return start_execution (r, url);
}

static enum MHD_Result
handle_control (Request *r, const char *what)
{
  struct
  {
    const char *name;
    gint64 *value;
  } controls[] = { { "service_us", &service_us },
                   { "slots", &slots },
                   { "announced_slots", &announced_slots },
                   { "mute", &mute },
                   { "shed", &shed },
                   { "cold_ms", &cold_ms },
                   { "draining", &draining },
                   { "load_lag_ms", &load_lag_ms },
                   { "load_claim", &load_claim },
                   { "slowness", &slowness },
                   { "rate_milli", &rate_milli },
                   { "leaving", &leaving },
                   { "retries", &retries },
                   { "status", &fail_status } };
  const char *value = MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, "value");
  char text[128];

  if (strcmp (what, "executions") == 0)
    return list_executions (r);
  if (strcmp (what, "arrivals") == 0)
    return list_arrivals (r);
  if (strcmp (what, "stats") == 0)
    {
      g_snprintf (text,
                  sizeof text,
                  "run %" G_GINT64_FORMAT "\nshed %" G_GINT64_FORMAT "\n",
                  n_executed,
                  n_refused);
      return reply (r, 200, text, strlen (text));
    }
  for (size_t i = 0; i < G_N_ELEMENTS (controls) && value != NULL; i++)
    if (strcmp (what, controls[i].name) == 0)
      {
        *controls[i].value = g_ascii_strtoll (value, NULL, 10);
        if (controls[i].value == &rate_milli || controls[i].value == &leaving)
          g_array_set_size (arrivals, 0);
        if (controls[i].value == &cold_ms)
          cold_from_ms = (gint64)now_ms ();
        return reply (r, 200, "", 0);
      }
  return reply (r, 404, "", 0);
}

static enum MHD_Result
list_executions (Request *r)
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
list_arrivals (Request *r)
{
  const double *at = (const double *)arrivals->data;
  char text[64];
  guint most = 0;

  for (guint i = 0, end = 0; i < arrivals->len; i++)
    {
      while (end < arrivals->len && at[end] < at[i] + ARRIVALS_WINDOW_MS)
        end++;
      most = MAX (most, end - i);
    }
  g_snprintf (text, sizeof text, "{\"requests\":%u,\"most\":%u}\n", arrivals->len, most);
  return reply (r, 200, text, strlen (text));
}

static enum MHD_Result
start_execution (Request *r, const char *url)
{
  const char *bytes = MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, "bytes");
  const char *id = MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, "id");
  const char *status = MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, "status");
  const char *key = request_header (r, "Idempotency-Key");

  r->is_started = true;
  r->arrived_ms = now_ms ();
  g_array_append_val (arrivals, r->arrived_ms);
  r->wanted_status = status != NULL ? (int)g_ascii_strtoll (status, NULL, 10) : 200;
  if (fail_status > 0)
    r->wanted_status = (int)fail_status;
  g_snprintf (r->id, sizeof r->id, "%s ", id != NULL ? id : "none");
  r->size = bytes != NULL ? g_ascii_strtoull (bytes, NULL, 10) : 64;
  if (shed)
    {
      r->is_refused = true;
      r->is_finished = true;
      r->status = 503;
      n_refused++;
      return reply_result (r);
    }
  n_executed++;
  if (record_file != NULL)
    {
      fprintf (record_file, "%s %s\n", key != NULL ? key : "-", r->id);
      fflush (record_file);
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
    g_queue_push_tail (&waiting_requests, r);
  return MHD_YES;
}

static void
take_slot (Request *r)
{
  gint64 us = service_us;

  if (cold_ms > 0 && now_ms () - (double)cold_from_ms < (double)cold_ms)
    us *= 10;
  in_flight++;
  r->holds_slot = true;
  ev_timer_init (&r->timer, on_service_timer, (double)us / 1e6, 0);
  r->timer.data = r;
  ev_timer_start (loop, &r->timer);
}

static void
on_service_timer (struct ev_loop *l, ev_timer *w, int events)
{
  Request *r = w->data;

  (void)l;
  (void)events;
  if (next_path != NULL && front_address != NULL)
    send_downstream (r);
  else
    finish_execution (r, r->wanted_status);
}

static void
send_downstream (Request *r)
{
  static const char *const forwarded_headers[] = { "Idempotency-Key",  "Bj-Deadline-Ms",
                                                   "Bj-Attempts-Left", "Bj-Path",
                                                   "Bj-Class",         "Bj-Call" };
  char *url = g_strdup_printf ("http://%s%s", front_address, next_path);
  char *lines[G_N_ELEMENTS (forwarded_headers) + 1] = { NULL };
  int n = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (forwarded_headers); i++)
    if (strcmp (forwarded_headers[i], "Bj-Attempts-Left") == 0 && r->attempts_left >= 0)
      lines[n++] = g_strdup_printf ("%s: %d", forwarded_headers[i], r->attempts_left);
    else if (strcmp (forwarded_headers[i], "Bj-Deadline-Ms") == 0
             && request_header (r, forwarded_headers[i]) != NULL)
      lines[n++] = g_strdup_printf ("%s: %.0f", forwarded_headers[i], MAX (1, remaining_ms (r)));
    else if (request_header (r, forwarded_headers[i]) != NULL)
      lines[n++] = g_strdup_printf (
          "%s: %s", forwarded_headers[i], request_header (r, forwarded_headers[i]));
  r->status = 502;
  r->downstream = bj_http_start (http,
                                 &(BjHttpOptions){
                                     .method = "GET",
                                     .url = url,
                                     .headers = (const char *const *)lines,
                                     .timeout_ms = 60000,
                                     .head = on_downstream_head,
                                     .body_part = on_downstream_body,
                                     .done = on_downstream_done,
                                     .data = r,
                                 });
  for (int i = 0; i < n; i++)
    g_free (lines[i]);
  g_free (url);
}

// Returns the time left of the deadline that the request arrived with, G_MAXINT without a deadline.
static double
remaining_ms (Request *r)
{
  const char *deadline = request_header (r, "Bj-Deadline-Ms");

  if (deadline == NULL)
    return G_MAXINT;
  return g_ascii_strtod (deadline, NULL) - (now_ms () - r->arrived_ms);
}

static void
on_downstream_head (void *data, const BjHttpHead *h)
{
  Request *r = data;

  r->status = h->status;
  r->attempts_left = h->attempts_left;
}

static size_t
on_downstream_body (void *data, BjStr part)
{
  (void)data;
  return part.len;
}

static void
on_downstream_done (void *data, BjStatus s, bool sent)
{
  Request *r = data;

  (void)sent;
  r->downstream = NULL;
  if (s != BJ_OK)
    r->status = 502;
  if (r->status >= 500 && r->n_retries < retries && r->attempts_left != 0 && remaining_ms (r) > 0)
    {
      r->n_retries++;
      r->attempts_left = MAX (-1, r->attempts_left - 1);
      send_downstream (r);
      return;
    }
  finish_execution (r, r->status);
}

static void
finish_execution (Request *r, int status)
{
  Request *next;

  r->status = status;
  r->is_finished = true;
  r->holds_slot = false;
  in_flight--;
  r->is_suspended = false;
  MHD_resume_connection (r->conn);
  mhd_is_ready = true;
  while (in_flight < slots && (next = g_queue_pop_head (&waiting_requests)) != NULL)
    take_slot (next);
}

static enum MHD_Result
reply (Request *r, int status, const char *text, size_t n)
{
  struct MHD_Response *m = MHD_create_response_from_buffer (n, (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result = MHD_queue_response (r->conn, (unsigned int)status, m);

  MHD_destroy_response (m);
  return result;
}

static enum MHD_Result
reply_result (Request *r)
{
  struct MHD_Response *m = MHD_create_response_from_callback (
      is_chunked (r) ? MHD_SIZE_UNKNOWN : r->size, RESPONSE_BLOCK_BYTES, read_pattern, r, NULL);
  char text[32];
  enum MHD_Result result;

  if (r->is_refused)
    MHD_add_response_header (m, "Bj-Outcome", "not-run");
  if (rate_milli >= 0)
    {
      g_snprintf (text, sizeof text, "%.3f", (double)rate_milli / 1000);
      MHD_add_response_header (m, "Bj-Rate-Limit", text);
    }
  if (slowness != 0)
    {
      g_snprintf (text,
                  sizeof text,
                  "%d,%u,%d,%d",
                  in_flight,
                  g_queue_get_length (&waiting_requests),
                  (int)slots,
                  (int)slowness);
      MHD_add_response_header (m, "Bj-Load", text);
    }
  if (leaving != 0)
    MHD_add_response_header (m, "Bj-Leaving", "1");
  if (request_header (r, "Bj-Call") != NULL)
    MHD_add_response_header (m, "Bj-Call", request_header (r, "Bj-Call"));
  if (r->attempts_left >= 0)
    {
      g_snprintf (text, sizeof text, "%d", r->attempts_left);
      MHD_add_response_header (m, "Bj-Attempts-Left", text);
    }
  if (request_header (r, "X-Echo") != NULL)
    MHD_add_response_header (m, "X-Echo", request_header (r, "X-Echo"));
  if (request_header (r, "Connection") != NULL)
    MHD_add_response_header (m, "X-Saw-Connection", "yes");
  if (request_header (r, "Bj-Account") != NULL)
    MHD_add_response_header (m, "X-Saw-Account", request_header (r, "Bj-Account"));
  if (request_header (r, "Bj-Api-Key") != NULL)
    MHD_add_response_header (m, "X-Saw-Key", "yes");
  MHD_add_response_header (m, "Content-Type", "application/octet-stream");
  result = MHD_queue_response (r->conn, (unsigned int)r->status, m);
  MHD_destroy_response (m);
  return result;
}

static bool
is_chunked (const Request *r)
{
  return MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, "chunked") != NULL;
}

static ssize_t
read_pattern (void *cls, uint64_t pos, char *buf, size_t max)
{
  const Request *r = cls;
  size_t n = strlen (r->id);

  if (pos >= r->size)
    return MHD_CONTENT_READER_END_OF_STREAM;
  max = MIN (max, r->size - pos);
  for (size_t i = 0; i < max; i++)
    buf[i] = r->id[(pos + i) % n];
  return (ssize_t)max;
}

static const char *
request_header (Request *r, const char *name)
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
  load = next_announced_load ();
  url = g_strdup_printf ("http://%s/v1/announce", admin_address);
  body = g_strdup_printf (
      "{\"id\":\"%d-%" G_GINT64_FORMAT
      "\",\"service\":\"%s\",\"host\":\"127.0.0.1\",\"port\":%d,\"slots\":%" G_GINT64_FORMAT
      ",\"load\":%.2f,\"healthy\":%s,\"draining\":%s}",
      (int)getpid (),
      started_us,
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
next_announced_load (void)
{
  guint lag = (guint)MIN (load_lag_ms / ANNOUNCE_MS, LOADS_MAX - 1);

  loads[n_loads++ % LOADS_MAX] = shed ? REFUSING_LOAD : (double)in_flight / (double)MAX (1, slots);
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
on_mhd_readable (struct ev_loop *l, ev_io *w, int events)
{
  (void)l;
  (void)w;
  (void)events;
  mhd_is_ready = true;
}

static void
on_mhd_timer (struct ev_loop *l, ev_timer *w, int events)
{
  (void)l;
  (void)w;
  (void)events;
  mhd_is_ready = true;
}

static void
on_prepare (struct ev_loop *l, ev_prepare *w, int events)
{
  MHD_UNSIGNED_LONG_LONG ms;

  (void)w;
  (void)events;
  while (mhd_is_ready)
    {
      mhd_is_ready = false;
      MHD_run (daemon_http);
      ev_timer_stop (l, &mhd_timer);
      if (MHD_get_timeout (daemon_http, &ms) != MHD_YES)
        continue;
      mhd_is_ready = ms == 0;
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
