// Scenario "decisions": CPU time per call and memory of one kernel for several numbers of known
// daemons. Opens no sockets.

#include "bjbench.h"
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#define TIMED_CALLS 200000
#define OPEN_CALLS 10000
#define SERVICES 22
#define DOMAINS 8
#define REPORTED_LIMIT 100

static const char config[]
    = "{\"number\":1,\"priorities\":[\"high\",\"low\"],\"services\":{\"s0\":{\"routes\":["
      "{\"prefix\":\"/s0/\",\"class\":\"low\",\"deadline_ms\":5000}]}}}";

typedef struct
{
  BjHost base;          // must be first: callbacks cast it to Host
  BjCall *started_call; // last call sent to a peer or the own upstream
} Host;

static void measure_kernel (int n_peers, bool one_service);
static void add_peers (BjKernel *k, int n, bool one_service);
static double time_decisions (BjKernel *k, Host *h);
static double measure_open_calls (BjKernel *k);
static double get_used_bytes (void);
static void send_peer (BjHost *h, BjCall *c, BjPeer *p);
static void record_call (BjHost *h, BjCall *c);
static void ignore_call (BjHost *h, BjCall *c);
static void ignore_answer (BjHost *h, BjCall *c, const BjAnswer *a);

static const BjHostOps host_ops = {
  .send_peer = send_peer,
  .start_upstream = record_call,
  .cancel = ignore_call,
  .answer = ignore_answer,
  .claim = ignore_call,
  .freed = ignore_call,
};

int
scenario_decisions (int argc, char **argv)
{
  static const int sizes[] = { 10, 100, 840 };

  (void)argv;
  if (argc > 1)
    {
      printf ("Usage: bjbench decisions\nPrints CPU time per call and memory with 10, 100 and "
              "840 known daemons.\n");
      return 0;
    }
  bj_log_open (BJ_LOG_ERROR);
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      measure_kernel (sizes[i], true);
      measure_kernel (sizes[i], false);
    }
  return 0;
}

// With one_service all daemons serve the called service and are candidates; otherwise they are
// spread over SERVICES services.
static void
measure_kernel (int n_peers, bool one_service)
{
  Host h = { .base = { &host_ops } };
  BjKernelOptions o
      = { .self = { .name = BJ_STR ("bench"), .domain = BJ_STR ("d0"), .region = BJ_STR ("r0") },
          .host = &h.base,
          .seed = 1 };
  BjKernel *k = bj_kernel_new (&o, 0);
  const char *label = one_service ? "candidates" : "known";
  BjConfig *c;
  double before;
  double us_per_call;

  if (bj_config_parse (bj_str (config), &c) != BJ_OK)
    {
      fprintf (stderr, "bjbench: built-in configuration is refused: %s\n", bj_last_message ());
      return;
    }
  bj_kernel_set_config (k, 0, c);
  before = get_used_bytes ();
  add_peers (k, n_peers, one_service);
  printf ("%s_%d_bytes_per_daemon=%.0f\n", label, n_peers, (get_used_bytes () - before) / n_peers);
  us_per_call = time_decisions (k, &h);
  printf ("%s_%d_us_per_call=%.3f\n%s_%d_calls_per_core_s=%.0f\n",
          label,
          n_peers,
          us_per_call,
          label,
          n_peers,
          1e6 / us_per_call);
  printf ("%s_%d_bytes_per_open_call=%.0f\n", label, n_peers, measure_open_calls (k));
  bj_kernel_free (k);
}

static void
add_peers (BjKernel *k, int n, bool one_service)
{
  for (int i = 0; i < n; i++)
    {
      char name[32];
      char domain[16];
      char service[16];
      BjPeerReport r = { .host = BJ_STR ("127.0.0.1"),
                         .gossip_host = BJ_STR ("127.0.0.1"),
                         .region = BJ_STR ("r0"),
                         .link_port = 1,
                         .gossip_port = 1,
                         .incarnation = 1,
                         .version = 1,
                         .limit = REPORTED_LIMIT };

      g_snprintf (name, sizeof name, "daemon-%d", i);
      g_snprintf (domain, sizeof domain, "d%d", i % DOMAINS);
      g_snprintf (service, sizeof service, "s%d", one_service ? 0 : i % SERVICES);
      r.name = bj_str (name);
      r.domain = bj_str (domain);
      r.service = bj_str (service);
      bj_kernel_update_peer (k, 0, &r);
    }
}

// Returns the time per call in microseconds: arrival, choice of a daemon, head and end of the
// response.
static double
time_decisions (BjKernel *k, Host *h)
{
  BjRequest r
      = { .method = BJ_STR ("GET"), .path = BJ_STR ("/s0/x"), .klass = -1, .attempts_left = -1 };
  BjAnswer a = { .outcome = BJ_DONE, .http_status = 200, .attempts_left = -1 };
  BjTime start = bj_clock_now ();

  for (int i = 0; i < TIMED_CALLS; i++)
    {
      h->started_call = NULL;
      bj_kernel_arrive (k, 1, &r, NULL);
      if (h->started_call == NULL)
        continue;
      bj_kernel_answer_begin (k, 1, h->started_call, &a);
      bj_kernel_answer_end (k, 1, h->started_call, true);
    }
  return (bj_clock_now () - start) * 1000 / TIMED_CALLS;
}

// Returns the bytes per open call.
static double
measure_open_calls (BjKernel *k)
{
  BjRequest r
      = { .method = BJ_STR ("GET"), .path = BJ_STR ("/s0/x"), .klass = -1, .attempts_left = -1 };
  double before = get_used_bytes ();

  for (int i = 0; i < OPEN_CALLS; i++)
    bj_kernel_arrive (k, 1, &r, NULL);
  return (get_used_bytes () - before) / MAX (1, bj_kernel_open_calls (k));
}

static double
get_used_bytes (void)
{
  return (double)mallinfo2 ().uordblks;
}

static void
send_peer (BjHost *h, BjCall *c, BjPeer *p)
{
  (void)p;
  ((Host *)h)->started_call = c;
}

static void
record_call (BjHost *h, BjCall *c)
{
  ((Host *)h)->started_call = c;
}

static void
ignore_call (BjHost *h, BjCall *c)
{
  (void)h;
  (void)c;
}

static void
ignore_answer (BjHost *h, BjCall *c, const BjAnswer *a)
{
  (void)h;
  (void)c;
  (void)a;
}
