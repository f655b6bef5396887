// Candidate: the daemons that may get a call, and the expected wait of the call at each of them.
//
// The failure domains of a region form one pool; a hop to another domain counts as additional wait.
// Another region gets the call only if the wait in the own region exceeds the round trip there, and
// only while the daemon there has spare capacity.
//
// An upstream that fails more often than most gets only calls that the others have no capacity for:
// each failure counts as a wait as long as the call's objective.

#include "candidate.h"
#include <stdlib.h>

#define HOP_REGION_MS 1.0    // added wait for a daemon of another domain in the region
#define HOP_FAR_MS 70.0      // added wait for a daemon of another region
#define BUSY_LOAD 0.92       // load (share of the limit) above which a call may have to queue
#define WAIT_WEIGHT 5.0      // weight of queueing against hop time; admission levels rise at 15 ms
#define FAR_BUSY_LOAD 0.8    // load above which a daemon of another region is avoided
#define FAR_BUSY_MS 500.0    // added wait for a daemon of another region above FAR_BUSY_LOAD
#define SERVICE_MS 50.0      // assumed service time of an upstream without a response so far
#define LOAD_MAX_AGE_MS 2000 // older load reports are ignored; only own calls in flight count
#define CONSECUTIVE_FAILURES_MAX 3 // consecutive failures before a daemon is skipped
#define SKIP_MS 250                // first skip after failures, then doubled
#define SKIP_MAX_MS 2000           // longest skip after failures
#define FAILING_MIN 50             // failures per 1000 runs; fewer are treated as noise
#define FAILED_MS 1000.0           // wait charged per failure for a call without an objective

static void charge_failures (BjCandidate *all, int n, const BjRouterRequest *request);
static gint compare_ints (gconstpointer a, gconstpointer b);
static double expected_wait (const BjCandidate *c, BjTime now, const BjRouterRequest *request);
static double peer_load (const BjPeer *p, BjTime now);

int
bj_candidates_collect (BjTime now, const BjRouterRequest *request, BjCandidate *all)
{
  int first = request->n > 0 ? g_rand_int_range (request->rand, 0, request->n) : 0;
  int n = 0;

  for (int i = 0; i < MIN (request->n, BJ_CANDIDATES_MAX); i++)
    {
      BjPeer *p = request->peers[(first + i) % request->n];

      if (bj_peer_is_eligible (p, request->call))
        all[n++] = (BjCandidate){
          .peer = p,
          .is_same_region = bj_str_equal (p->report.region, request->region),
          .load = peer_load (p, now),
        };
    }
  *request->n_candidates = n;
  charge_failures (all, n, request);
  return n;
}

const BjCandidate *
bj_candidates_least_wait (BjTime now, const BjRouterRequest *request, const BjCandidate *all, int n)
{
  const BjCandidate *best = NULL;
  double best_ms = BJ_TIME_NEVER;
  double busy_penalty_ms = 0; // for busy candidates: a failing one with capacity is picked first

  for (int i = 0; i < n; i++)
    if (all[i].is_same_region && all[i].load <= BUSY_LOAD)
      busy_penalty_ms = MAX (busy_penalty_ms, all[i].failures_ms);
  for (int i = 0; i < n; i++)
    {
      double ms = expected_wait (&all[i], now, request) + all[i].failures_ms;

      if (all[i].is_same_region && all[i].load > BUSY_LOAD)
        ms += busy_penalty_ms;
      if (ms >= best_ms)
        continue;
      best = &all[i];
      best_ms = ms;
    }
  return best;
}

double
bj_candidate_hop_ms (const BjCandidate *c, const BjRouterRequest *request)
{
  if (bj_str_equal (c->peer->report.domain, request->domain))
    return 0;
  return c->is_same_region ? HOP_REGION_MS : HOP_FAR_MS;
}

void
bj_candidate_result (BjTime now, BjPeer *p, BjStatus s)
{
  switch (s)
    {
    case BJ_OK:
      p->n_failures = 0;
      p->skip_ms = 0;
      p->skip_until = 0;
      return;
    case BJ_E_NO_UPSTREAM:
    case BJ_E_DRAINING:
      p->n_failures = CONSECUTIVE_FAILURES_MAX;
      break;
    case BJ_E_LOST:
    case BJ_E_CRASHED:
      p->n_failures++;
      break;
    default:
      return;
    }
  if (p->n_failures < CONSECUTIVE_FAILURES_MAX || now < p->skip_until)
    return;
  p->skip_ms = CLAMP (p->skip_ms * 2, SKIP_MS, SKIP_MAX_MS);
  p->skip_until = now + p->skip_ms;
  bj_log (BJ_LOG_INFO,
          "ROUTE",
          "skipped=%.*s reason=%s for_ms=%.0f",
          BJ_STR_ARG (p->report.name),
          bj_status_name (s),
          p->skip_ms);
}

// Charges only failures above the lower quartile. Three quarters of the candidates fail at least
// that often, so the cause is shared, such as the calls they make or the requests they get.
static void
charge_failures (BjCandidate *all, int n, const BjRouterRequest *request)
{
  double ms = request->call->objective_ms > 0 ? request->call->objective_ms : FAILED_MS;
  int failure_permille[BJ_CANDIDATES_MAX];
  bool has_failing = false;

  for (int i = 0; i < n; i++)
    {
      failure_permille[i] = all[i].peer->report.failure_permille;
      has_failing = has_failing || failure_permille[i] >= FAILING_MIN;
    }
  if (!has_failing)
    return;
  qsort (failure_permille, (size_t)n, sizeof failure_permille[0], compare_ints);
  for (int i = 0; i < n; i++)
    {
      int excess = all[i].peer->report.failure_permille - failure_permille[n / 4];

      if (excess >= FAILING_MIN)
        all[i].failures_ms = ms * excess / BJ_FAILURE_RATE_SCALE;
    }
}

static gint
compare_ints (gconstpointer a, gconstpointer b)
{
  return *(const int *)a - *(const int *)b;
}

// A skipped peer is charged SKIP_MAX_MS instead of being excluded: it is better than no peer.
static double
expected_wait (const BjCandidate *c, BjTime now, const BjRouterRequest *request)
{
  const BjPeer *p = c->peer;
  double service = p->service_ms > 0 ? p->service_ms : SERVICE_MS;
  double ms = bj_candidate_hop_ms (c, request);

  if (!c->is_same_region && c->load > FAR_BUSY_LOAD)
    ms += FAR_BUSY_MS;
  // The last term prefers the less loaded of idle peers; it is smaller than the cost of a hop.
  ms += WAIT_WEIGHT * MAX (0, c->load - BUSY_LOAD) * service + MIN (c->load, 1) * HOP_REGION_MS / 2;
  if (now < p->skip_until)
    ms += SKIP_MAX_MS;
  return ms;
}

static double
peer_load (const BjPeer *p, BjTime now)
{
  bool is_old = now - p->reported > LOAD_MAX_AGE_MS && !p->is_self;
  double reported_load = is_old ? 0 : p->report.in_flight + p->report.queued + p->sent_since_report;

  return (MAX (reported_load, p->own_in_flight) + 1) / MAX (1, p->report.limit);
}
