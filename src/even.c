// Router plug-in "even": spreads the calls of a region by the expected completion on each machine,
// from the loads and speeds that responses report.
//
// The choice between regions, and what failing and skipped daemons get, is that of "least-wait"
// (see candidate.c). So is every choice while no candidate has reported its speed in the last
// seconds.

#include "candidate.h"
#include "instance.h"

// Weight of hop and run time against the wait. A higher one fills fast machines until calls wait
// there: 0.001 gives three times as many waits with 44 instances at a load of 0.75
// (docs/design/even-load.md).
#define RUN_WEIGHT 0.0003
#define SPREAD 0.6 // random change of the calls expected, as a share of what an old report may miss

typedef struct
{
  BjRouter base;
} Even;

static BjRouter *even_create (void);
static void even_destroy (BjRouter *r);
static BjPeer *even_pick (BjRouter *r, BjTime now, const BjRouterRequest *request);
static void even_result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s);
static bool is_healthy (BjTime now, const BjCandidate *c);
static bool has_slowness (BjTime now, const BjCandidate *all, int n);
static int keep_healthy (BjTime now, BjCandidate *all, int n);
static BjPeer *
pick_soonest (BjTime now, const BjRouterRequest *request, const BjCandidate *all, int n);

static const BjRouterOps even_ops = { even_create, even_destroy, even_pick, even_result, true };

static BjRouter *
even_create (void)
{
  Even *r = g_new0 (Even, 1);

  r->base.ops = &even_ops;
  return &r->base;
}

static void
even_destroy (BjRouter *r)
{
  g_free (r);
}

static BjPeer *
even_pick (BjRouter *r, BjTime now, const BjRouterRequest *request)
{
  BjCandidate all[BJ_CANDIDATES_MAX];
  int n = bj_candidates_collect (now, request, all);
  const BjCandidate *best = bj_candidates_least_wait (now, request, all, n);

  (void)r;
  if (best == NULL)
    return NULL;
  if (!is_healthy (now, best) || !has_slowness (now, all, n))
    return best->peer;
  return pick_soonest (now, request, all, keep_healthy (now, all, n));
}

static void
even_result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s)
{
  (void)r;
  bj_candidate_result (now, p, s);
}

// In the own region, not skipped and without excess failures.
static bool
is_healthy (BjTime now, const BjCandidate *c)
{
  return c->is_same_region && c->failures_ms <= 0 && now >= c->peer->skip_until;
}

static bool
has_slowness (BjTime now, const BjCandidate *all, int n)
{
  for (int i = 0; i < n; i++)
    if (bj_instance_has_slowness (all[i].peer, now))
      return true;
  return false;
}

// Moves the healthy candidates to the front and returns their number.
static int
keep_healthy (BjTime now, BjCandidate *all, int n)
{
  int kept = 0;

  for (int i = 0; i < n; i++)
    if (is_healthy (now, &all[i]))
      all[kept++] = all[i];
  return kept;
}

static BjPeer *
pick_soonest (BjTime now, const BjRouterRequest *request, const BjCandidate *all, int n)
{
  BjPeer *peers[BJ_CANDIDATES_MAX];
  BjPeer *best = NULL;
  double best_ms = BJ_TIME_NEVER;
  BjInstanceUsual usual;

  for (int i = 0; i < n; i++)
    peers[i] = all[i].peer;
  usual = bj_instance_usual (peers, n, now);
  for (int i = 0; i < n; i++)
    {
      double hop_ms = bj_candidate_hop_ms (&all[i], request);
      BjInstance estimate;
      double ms;

      bj_instance_estimate (all[i].peer, now, &usual, &estimate);
      // Daemons that have the same old report choose different instances.
      estimate.busy += SPREAD * (estimate.uncertainty - BJ_INSTANCE_UNCERTAINTY_MIN)
                       * g_rand_double_range (request->rand, -1, 1);
      ms = bj_instance_wait_ms (&estimate, &usual)
           + RUN_WEIGHT * (hop_ms + usual.run_ms * estimate.slowness);
      if (best != NULL && ms >= best_ms)
        continue;
      best = all[i].peer;
      best_ms = ms;
    }
  return best;
}

BJ_PLUGIN (BJ_PLUGIN_ROUTER, "even", even_ops)
