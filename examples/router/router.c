// Adds a router plug-in, which registers itself and is selected by name in a ticket. It prefers
// candidates in the daemon's own domain, then the one with the fewest calls in flight from this
// daemon.

#include "boragejunction.h"
#include <stdio.h>

static BjRouter *create (void);
static void destroy (BjRouter *r);
static BjPeer *pick (BjRouter *r, BjTime now, const BjRouterRequest *request);
static void result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s);
static bool is_better (const BjPeer *a, const BjPeer *b, const BjRouterRequest *request);

static const BjRouterOps fewest_ops = { create, destroy, pick, result, false };

int
main (void)
{
  BjPeer near
      = { .report = { .name = BJ_STR ("near"), .domain = BJ_STR ("north-a") }, .own_in_flight = 3 };
  BjPeer idle = { .report = { .name = BJ_STR ("idle"), .domain = BJ_STR ("north-b") } };
  BjPeer *peers[] = { &idle, &near };
  BjCall call = { 0 };
  int n_candidates = 0;
  BjRouterRequest request = { .call = &call,
                              .peers = peers,
                              .n = 2,
                              .domain = BJ_STR ("north-a"),
                              .n_candidates = &n_candidates };
  const BjRouterOps *ops = bj_plugin_find (BJ_PLUGIN_ROUTER, BJ_STR ("fewest"));
  BjRouter *r = ops->create ();
  BjPeer *p = r->ops->pick (r, 0, &request);

  printf ("picked %.*s of %d candidates\n", BJ_STR_ARG (p->report.name), n_candidates);
  r->ops->result (r, 0, p, BJ_E_LOST);
  p = r->ops->pick (r, 1, &request);
  printf ("picked %.*s after a lost connection\n", BJ_STR_ARG (p->report.name));
  r->ops->destroy (r);
  return 0;
}

static BjRouter *
create (void)
{
  BjRouter *r = g_new0 (BjRouter, 1);

  r->ops = &fewest_ops;
  return r;
}

static void
destroy (BjRouter *r)
{
  g_free (r);
}

static BjPeer *
pick (BjRouter *r, BjTime now, const BjRouterRequest *request)
{
  BjPeer *best = NULL;

  (void)r;
  *request->n_candidates = 0;
  for (int i = 0; i < request->n; i++)
    {
      BjPeer *p = request->peers[i];

      if (p->report.draining || now < p->skip_until)
        continue;
      (*request->n_candidates)++;
      if (best == NULL || is_better (p, best, request))
        best = p;
    }
  return best;
}

static void
result (BjRouter *r, BjTime now, BjPeer *p, BjStatus s)
{
  (void)r;
  if (s == BJ_E_LOST)
    p->skip_until = now + BJ_PEER_SKIP_MS;
}

static bool
is_better (const BjPeer *a, const BjPeer *b, const BjRouterRequest *request)
{
  bool a_near = bj_str_equal (a->report.domain, request->domain);
  bool b_near = bj_str_equal (b->report.domain, request->domain);

  if (a_near != b_near)
    return a_near;
  return a->own_in_flight < b->own_in_flight;
}

BJ_PLUGIN (BJ_PLUGIN_ROUTER, "fewest", fewest_ops)
