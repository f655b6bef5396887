// Router plug-in "least-wait": sends a call to the daemon with the shortest expected wait, see
// candidate.c.
//
// Every response carries the load of its guard, so a daemon that sends many calls knows loads that
// are only milliseconds old.

#include "candidate.h"

typedef struct
{
  BjRouter base;
} LeastWait;

static BjRouter *least_wait_create (void);
static void least_wait_destroy (BjRouter *r);
static BjPeer *least_wait_pick (BjRouter *r, BjTime now, const BjRouterRequest *request);
static void least_wait_result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s);

static const BjRouterOps least_wait_ops
    = { least_wait_create, least_wait_destroy, least_wait_pick, least_wait_result, true };

static BjRouter *
least_wait_create (void)
{
  LeastWait *r = g_new0 (LeastWait, 1);

  r->base.ops = &least_wait_ops;
  return &r->base;
}

static void
least_wait_destroy (BjRouter *r)
{
  g_free (r);
}

static BjPeer *
least_wait_pick (BjRouter *r, BjTime now, const BjRouterRequest *request)
{
  BjCandidate all[BJ_CANDIDATES_MAX];
  int n = bj_candidates_collect (now, request, all);
  const BjCandidate *best = bj_candidates_least_wait (now, request, all, n);

  (void)r;
  return best != NULL ? best->peer : NULL;
}

static void
least_wait_result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s)
{
  (void)r;
  bj_candidate_result (now, p, s);
}

BJ_PLUGIN (BJ_PLUGIN_ROUTER, "least-wait", least_wait_ops)
