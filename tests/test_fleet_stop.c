// A planned stop of one daemon, with real processes: requests on new and kept connections at each
// moment of the grace, at the daemon that stops and through the one beside the upstream that stops,
// some with work that outlasts what is left. Guards against requests that are read and get no
// complete response, and against "not run" for one that ran.

#include "fleet.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define GRACE_MS 6000 // from SIGTERM to SIGKILL
#define GRACE_TEXT "6000"
#define LOSS_SLACK_MS 200 // a request that is sent this long before the close may cross it
#define DEADLINE_MS 12000 // of a request, longer than the grace
#define QUICK_MS 20
#define CALLERS_MAX 256
#define WAIT_TIMEOUT_MS 15000
#define RESPONSE_MAX 4096
#define GRACE_END_MS 100 // a daemon that is still there is killed this long after its grace

typedef enum
{
  NEW,    // connects when it sends
  WARM,   // has sent a request before the stop
  SILENT, // has connected before the stop and sent nothing
  USED,   // sends quick requests until its connection ends
  KINDS,
} Kind;

typedef enum
{
  STOPPED_FRONT, // callers of the daemon that stops, upstreams elsewhere
  STOPPED_GUARD, // callers of another daemon, the one beside their upstream stops
  STOPPED_BOTH,  // callers of the daemon beside their upstream, which stops
} Place;

typedef struct
{
  Kind kind;
  double send_ms; // from the stop
  const char *path;
  char id[FLEET_TEXT_MAX];
  int port;
  GThread *thread;
  bool is_sent;
  double sent_ms;  // from the stop
  double ended_ms; // the same
  int status;      // of a complete response, 0 for none
  size_t n_received;
  bool is_not_run; // the response says so
  bool closes;     // it says that the connection closes
} Caller;

static const char *const kind_names[] = { "new", "warm", "silent", "used" };
static const char *const place_names[]
    = { "stop of their daemon", "stop of the daemon beside their upstream", "both in one" };
static const char *const paths[] = { "/quick/a", "/once/a", "/slow/a", "/slowonce/a" };
static const double moments_ms[] = { 0,    300,  700,  950,  1050, 1500, 1900, 1990, 2010, 2100,
                                     2500, 2900, 2990, 3010, 3500, 4200, 4900, 5500, 5900, 5990 };
static const char ticket[]
    = "{\"number\":1,\"base\":0,\"priorities\":[\"all\"],\"services\":{"
      "\"quick\":{\"limiter\":{\"plugin\":\"fixed\"},\"routes\":[{\"prefix\":\"/quick/"
      "\",\"class\":\"all\",\"deadline_ms\":12000},"
      "{\"prefix\":\"/once/"
      "\",\"class\":\"all\",\"deadline_ms\":12000,\"irreversible\":true,\"claim\":false}]},"
      "\"slow\":{\"limiter\":{\"plugin\":\"fixed\"},\"routes\":[{\"prefix\":\"/slow/"
      "\",\"class\":\"all\",\"deadline_ms\":12000},"
      "{\"prefix\":\"/slowonce/"
      "\",\"class\":\"all\",\"deadline_ms\":12000,\"irreversible\":true,\"claim\":false}]}}}";

static Fleet fleet;
static Caller callers[CALLERS_MAX];
static int n_callers;
static gint n_used_sent;
static BjTime stopped_at; // written before the callers wait for it
static gint is_stopped;

static void
wait_until_ms (double ms)
{
  double left = stopped_at + ms - bj_clock_now ();

  if (left > 0)
    g_usleep ((gulong)(left * 1000));
}

static int
connect_to (int port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  struct timeval timeout = { WAIT_TIMEOUT_MS / 1000, 0 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr) == 0)
    return fd;
  close (fd);
  return -1;
}

// Sends a request and reads the response; the status is 0 if the connection ended before.
static void
request (Caller *c, int fd, const char *path, const char *id)
{
  char *text
      = g_strdup_printf ("GET %s?bytes=100&id=%s HTTP/1.1\r\nHost: x\r\nBj-Deadline-Ms: %d\r\n\r\n",
                         path,
                         id,
                         DEADLINE_MS);
  char in[RESPONSE_MAX] = "";
  size_t n = 0;

  c->status = 0;
  send (fd, text, strlen (text), MSG_NOSIGNAL);
  g_free (text);
  while (c->status == 0 && n < sizeof in - 1)
    {
      ssize_t got = recv (fd, in + n, sizeof in - 1 - n, 0);
      const char *body;
      const char *length;

      if (got <= 0)
        break;
      n += (size_t)got;
      body = strstr (in, "\r\n\r\n");
      length = strstr (in, "Content-Length: ");
      if (body != NULL && length != NULL
          && n >= (size_t)(body + 4 - in) + strtoul (length + 16, NULL, 10))
        c->status = atoi (in + 9);
    }
  c->n_received = n;
  c->is_not_run = strstr (in, "Bj-Outcome: not-run") != NULL;
  c->closes = strstr (in, "Connection: close") != NULL;
}

static gpointer
run_caller (gpointer data)
{
  Caller *c = data;
  int fd = c->kind != NEW ? connect_to (c->port) : -1;

  if (c->kind == WARM || c->kind == USED)
    request (c, fd, "/quick/warm", "warm");
  while (c->kind != USED && g_atomic_int_get (&is_stopped) == 0)
    g_usleep (1000);
  if (c->kind != USED)
    wait_until_ms (c->send_ms);
  if (c->kind == NEW)
    fd = connect_to (c->port);
  c->is_sent = fd >= 0;
  c->sent_ms = bj_clock_now () - stopped_at;
  if (!c->is_sent)
    return NULL;
  request (c, fd, c->path, c->id);
  for (int i = 0; c->kind == USED && c->status != 0 && !c->closes; i++)
    {
      g_snprintf (c->id, sizeof c->id, "call%d-%d", (int)(c - callers), i);
      c->sent_ms = bj_clock_now () - stopped_at;
      request (c, fd, c->path, c->id);
      g_atomic_int_inc (&n_used_sent);
    }
  c->ended_ms = bj_clock_now () - stopped_at;
  close (fd);
  return NULL;
}

static void
add_caller (Kind kind, double send_ms, const char *path, int port)
{
  Caller *c = &callers[n_callers];

  *c = (Caller){ .kind = kind, .send_ms = send_ms, .path = path, .port = port };
  g_snprintf (c->id, sizeof c->id, "call%d", n_callers++);
  c->thread = g_thread_new ("caller", run_caller, c);
}

static int
count_runs (const char *id)
{
  char *file = g_build_filename (fleet.dir, FLEET_EXECUTIONS_FILE, NULL);
  char *text = NULL;
  char *line = g_strdup_printf ("- %s \n", id);
  int n = 0;

  g_file_get_contents (file, &text, NULL, NULL);
  for (const char *at = text; at != NULL && (at = strstr (at, line)) != NULL; at++)
    n++;
  g_free (line);
  g_free (text);
  g_free (file);
  return n;
}

static bool
is_right (const Caller *c)
{
  bool is_once = strstr (c->path, "once") != NULL;
  int n_runs = count_runs (c->id);

  if (is_once && n_runs > 1)
    return false;
  if (!c->is_sent)
    return n_runs == 0;
  if (c->is_not_run)
    return n_runs == 0;
  if (c->status != 0)
    return true;
  return n_runs == 0 && c->n_received == 0 && c->ended_ms - c->sent_ms <= LOSS_SLACK_MS;
}

static void
start_fleet (void)
{
  FleetNode nodes[4];

  fleet_parse_node ("a:north-a:north:quick:64:20", &nodes[0]);
  fleet_parse_node ("b:north-a:north:quick:64:20", &nodes[1]);
  fleet_parse_node ("c:north-a:north:slow:256:5300", &nodes[2]);
  fleet_parse_node ("d:north-a:north:slow:256:5300", &nodes[3]);
  fleet_init (&fleet, nodes, G_N_ELEMENTS (nodes));
  g_strlcpy (fleet.extra_settings, ",\"drain_ms\":" GRACE_TEXT, sizeof fleet.extra_settings);
  assert_true (fleet_start (&fleet));
  assert_true (fleet_file_ticket (&fleet, ticket));
  assert_true (fleet_wait_ticket (&fleet, 1, WAIT_TIMEOUT_MS));
}

static int
get_stopped (Place place)
{
  return place == STOPPED_FRONT ? 0 : 2;
}

static void
add_callers (Place place)
{
  int stopped = fleet.members[get_stopped (place)].front_port;
  int port = place == STOPPED_GUARD ? fleet.members[1].front_port : stopped;

  n_callers = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (moments_ms); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (paths); k++)
      {
        add_caller (NEW, moments_ms[i], paths[k], port);
        add_caller (WARM, moments_ms[i], paths[k], port);
      }
  for (size_t i = 0; i < G_N_ELEMENTS (moments_ms); i++)
    add_caller (SILENT, moments_ms[i], paths[i % 2], port);
  for (int i = 0; i < 8; i++)
    add_caller (USED, 0, paths[i % 2], stopped);
}

static int
count_wrong (Place place)
{
  int n_wrong = 0;
  int n_by_status[600] = { 0 };
  int n_unsent = 0;

  for (int i = 0; i < n_callers; i++)
    {
      Caller *c = &callers[i];

      g_thread_join (c->thread);
      n_unsent += !c->is_sent;
      n_by_status[c->status]++;
      if (is_right (c))
        continue;
      n_wrong++;
      print_error ("%s connection, %s %s sent at %.0f ms: status %d, %zu bytes, ended at %.0f ms, "
                   "ran %d times\n",
                   kind_names[c->kind],
                   c->path,
                   c->id,
                   c->sent_ms,
                   c->status,
                   c->n_received,
                   c->ended_ms,
                   count_runs (c->id));
    }
  print_message ("  %s: of %d callers wrong %d; 200 %d, 503 %d, 502 %d, 504 %d, not connected %d, "
                 "not read %d; %d requests on connections in use\n",
                 place_names[place],
                 n_callers,
                 n_wrong,
                 n_by_status[200],
                 n_by_status[503],
                 n_by_status[502],
                 n_by_status[504],
                 n_unsent,
                 n_by_status[0] - n_unsent,
                 n_used_sent);
  return n_wrong;
}

static int
run_stop (Place place)
{
  pid_t *daemon = &fleet.members[get_stopped (place)].daemon;
  int n_wrong;
  int code;

  start_fleet ();
  n_used_sent = 0;
  is_stopped = 0;
  add_callers (place);
  g_usleep (1000 * 1000);
  stopped_at = bj_clock_now ();
  kill (*daemon, SIGTERM);
  g_atomic_int_set (&is_stopped, 1);
  code = fleet_wait_exit (daemon, GRACE_MS + GRACE_END_MS);
  print_message ("  exit code %d after %.0f ms\n", code, bj_clock_now () - stopped_at);
  if (code == -1)
    fleet_end_process (daemon, SIGKILL);
  n_wrong = count_wrong (place);
  fleet_stop (&fleet);
  return n_wrong;
}

static void
test_stop_of_a_front (void **state)
{
  (void)state;
  assert_int_equal (run_stop (STOPPED_FRONT), 0);
}

static void
test_stop_of_a_guard (void **state)
{
  (void)state;
  assert_int_equal (run_stop (STOPPED_GUARD), 0);
}

static void
test_stop_of_both (void **state)
{
  (void)state;
  assert_int_equal (run_stop (STOPPED_BOTH), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_stop_of_a_front),
                                      cmocka_unit_test (test_stop_of_a_guard),
                                      cmocka_unit_test (test_stop_of_both) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
