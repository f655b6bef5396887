// bench-members: measures the cost of membership per daemon and how fast changes spread, with real
// processes.
//
//   bench-members DAEMONS [SECONDS]
//
// Starts the daemons in 8 failure domains of 3 regions with 22 services, announces an upstream to
// each, and prints one line: bytes per second sent and received (with 28 bytes of IP and UDP
// headers per datagram) and processor time as means per daemon, the largest memory of a daemon, and
// the time until every daemon knows of a killed and of a stopping daemon.

#include "fleet.h"
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DOMAINS 8
#define REGIONS 3
#define SERVICES 22
#define SLOTS_MIN 16 // announced slots are drawn anew each time, so that member data keeps changing
#define SLOTS_MAX 32
#define IP_UDP_HEADER_BYTES 28 // IP and UDP headers of a datagram
#define ANNOUNCE_EVERY_MS 1500
#define POLL_US 10000
#define PROPAGATION_TIMEOUT_MS 60000 // time-out for a change to reach all daemons
#define SETTLE_MS 20000              // wait before costs are measured

typedef struct
{
  double sent;     // bytes without IP and UDP headers
  double received; // bytes without IP and UDP headers
  double datagrams_sent;
  double datagrams_received;
  double cpu_ms;
  double suspected; // times that a daemon suspected another one
} Cost;             // sums over all daemons since their start

static Fleet fleet;
static BjTime last_announce;

static void file_ticket (void);
static void announce_for (double ms);
static void announce_all (void);
static Cost read_cost (void);
static double read_metric (const char *text, const char *name);
static double read_cpu_ms (pid_t pid);
static double read_rss_kb (pid_t pid);
static double wait_propagation_ms (int from, int n, const char *name, const char *wanted);
static bool has_change (int i, const char *name, const char *wanted);
static int count_members (int i);
static double wait_all_known_ms (int n);

int
main (int argc, char **argv)
{
  static FleetNode nodes[FLEET_NODES_MAX];
  int n = argc > 1 ? atoi (argv[1]) : 50;
  double seconds = argc > 2 ? atof (argv[2]) : 10;
  double rss = 0;
  char killed[FLEET_TEXT_MAX];
  char stopped[FLEET_TEXT_MAX];
  BjTime start;
  Cost a;
  Cost b;

  if (n < 4 || n > FLEET_NODES_MAX)
    return 2;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  for (int i = 0; i < n; i++)
    {
      g_snprintf (nodes[i].name, FLEET_TEXT_MAX, "up-%d", i);
      g_snprintf (nodes[i].domain, FLEET_TEXT_MAX, "domain-%d", i % DOMAINS);
      g_snprintf (nodes[i].region, FLEET_TEXT_MAX, "region-%d", i % DOMAINS % REGIONS);
    }
  g_snprintf (killed, sizeof killed, "\"up-%d\"", n - 1);
  g_snprintf (stopped, sizeof stopped, "\"up-%d\"", n - 2);
  fleet_init (&fleet, nodes, n);
  fleet_start_platform (&fleet);
  for (int i = 0; i < n; i++)
    fleet_start_daemon (&fleet, i);
  file_ticket ();
  printf ("daemons %d", n);
  printf (", all members known to all daemons after %.1f s", wait_all_known_ms (n) / 1000);
  fflush (stdout);
  announce_for (SETTLE_MS);
  a = read_cost ();
  start = bj_clock_now ();
  announce_for (seconds * 1000);
  b = read_cost ();
  seconds = (bj_clock_now () - start) / 1000;
  for (int i = 0; i < n; i++)
    rss = MAX (rss, read_rss_kb (fleet.members[i].daemon));
  printf (", sent %.1f datagrams/s %.0f B/s, received %.0f B/s, processor %.3f %%, memory %.1f MB, "
          "%.0f false suspicions",
          (b.datagrams_sent - a.datagrams_sent) / seconds / n,
          (b.sent - a.sent + IP_UDP_HEADER_BYTES * (b.datagrams_sent - a.datagrams_sent)) / seconds
              / n,
          (b.received - a.received
           + IP_UDP_HEADER_BYTES * (b.datagrams_received - a.datagrams_received))
              / seconds / n,
          (b.cpu_ms - a.cpu_ms) / seconds / 10 / n,
          rss / 1024,
          b.suspected - a.suspected);
  fflush (stdout);
  fleet_end_process (&fleet.members[n - 1].daemon, SIGKILL);
  printf (", killed daemon removed at all daemons after %.1f s",
          wait_propagation_ms (0, n - 1, killed, NULL) / 1000);
  fflush (stdout);
  kill (fleet.members[n - 2].daemon, SIGTERM);
  printf (", stopping daemon known to all daemons after %.1f s\n",
          wait_propagation_ms (0, n - 2, stopped, "\"draining\":true") / 1000);
  fleet_stop (&fleet);
  return 0;
}

// The fixed limiter sets the limit to the announced slots, so that each announcement changes it.
static void
file_ticket (void)
{
  GString *t = g_string_new ("{\"number\":1,\"base\":0,\"priorities\":[\"all\"],\"services\":{");

  for (int i = 0; i < SERVICES; i++)
    g_string_append_printf (t,
                            "%s\"service-%d\":{\"limiter\":{\"plugin\":\"fixed\"},\"routes\":["
                            "{\"prefix\":\"/service-%d/\",\"class\":\"all\"}]}",
                            i > 0 ? "," : "",
                            i,
                            i);
  g_string_append (t, "}}");
  if (!fleet_file_ticket (&fleet, t->str))
    printf ("ticket 1 was refused, measuring without it, ");
  g_string_free (t, TRUE);
}

static void
announce_for (double ms)
{
  BjTime until = bj_clock_now () + ms;

  while (bj_clock_now () < until)
    {
      announce_all ();
      g_usleep (POLL_US);
    }
}

static void
announce_all (void)
{
  char body[160];

  if (bj_clock_now () - last_announce < ANNOUNCE_EVERY_MS)
    return;
  last_announce = bj_clock_now ();
  for (int i = 0; i < fleet.n; i++)
    {
      g_snprintf (body,
                  sizeof body,
                  "{\"service\":\"service-%d\",\"host\":\"127.0.0.1\",\"port\":%d,\"slots\":%d}",
                  i % SERVICES,
                  fleet.members[i].upstream_port,
                  g_random_int_range (SLOTS_MIN, SLOTS_MAX));
      fleet_http ("POST", fleet.members[i].admin_port, "/v1/announce", NULL, body, NULL);
    }
}

static Cost
read_cost (void)
{
  GString *out = g_string_new (NULL);
  Cost c = { 0 };

  for (int i = 0; i < fleet.n; i++)
    {
      g_string_truncate (out, 0);
      fleet_http ("GET", fleet.members[i].admin_port, "/metrics", NULL, NULL, out);
      c.sent += read_metric (out->str, "\nbj_member_sent_bytes_total ");
      c.received += read_metric (out->str, "\nbj_member_received_bytes_total ");
      c.datagrams_sent += read_metric (out->str, "\nbj_member_sent_datagrams_total ");
      c.datagrams_received += read_metric (out->str, "\nbj_member_received_datagrams_total ");
      c.suspected += read_metric (out->str, "\nbj_member_suspected_total ");
      c.cpu_ms += read_cpu_ms (fleet.members[i].daemon);
    }
  g_string_free (out, TRUE);
  return c;
}

static double
read_metric (const char *text, const char *name)
{
  const char *at = strstr (text, name);

  return at != NULL ? g_ascii_strtod (at + strlen (name), NULL) : 0;
}

static double
read_cpu_ms (pid_t pid)
{
  char path[64];
  char *text = NULL;
  double ms = 0;

  g_snprintf (path, sizeof path, "/proc/%d/schedstat", pid);
  if (g_file_get_contents (path, &text, NULL, NULL))
    ms = g_ascii_strtod (text, NULL) / 1e6;
  g_free (text);
  return ms;
}

static double
read_rss_kb (pid_t pid)
{
  char path[64];
  char *text = NULL;
  double kb = 0;

  g_snprintf (path, sizeof path, "/proc/%d/status", pid);
  if (g_file_get_contents (path, &text, NULL, NULL))
    kb = read_metric (text, "VmRSS:");
  g_free (text);
  return kb;
}

// Polls daemons from..n-1 in order, each until it has the change; gives up after
// PROPAGATION_TIMEOUT_MS. Returns the elapsed time in ms.
static double
wait_propagation_ms (int from, int n, const char *name, const char *wanted)
{
  BjTime start = bj_clock_now ();

  for (int i = from; i < n; i++)
    while (!has_change (i, name, wanted) && bj_clock_now () - start < PROPAGATION_TIMEOUT_MS)
      {
        announce_all ();
        g_usleep (POLL_US);
      }
  return bj_clock_now () - start;
}

// True if daemon i does not list the member, or lists it with the text wanted.
static bool
has_change (int i, const char *name, const char *wanted)
{
  GString *out = g_string_new (NULL);
  const char *at;
  const char *end;
  bool known = false;

  if (fleet_http ("GET", fleet.members[i].admin_port, "/v1/members", NULL, NULL, out) == 200)
    {
      at = strstr (out->str, name);
      end = at != NULL ? strchr (at, '}') : NULL;
      known = at == NULL || (wanted != NULL && g_strstr_len (at, end - at, wanted) != NULL);
    }
  g_string_free (out, TRUE);
  return known;
}

static int
count_members (int i)
{
  GString *out = g_string_new (NULL);
  int n = 0;

  fleet_http ("GET", fleet.members[i].admin_port, "/v1/members", NULL, NULL, out);
  for (const char *at = out->str; (at = strstr (at, "\"name\"")) != NULL; at++)
    n++;
  g_string_free (out, TRUE);
  return n;
}

static double
wait_all_known_ms (int n)
{
  BjTime start = bj_clock_now ();

  for (int i = 0; i < n; i++)
    while (count_members (i) < n && bj_clock_now () - start < PROPAGATION_TIMEOUT_MS)
      {
        announce_all ();
        g_usleep (POLL_US);
      }
  return bj_clock_now () - start;
}
