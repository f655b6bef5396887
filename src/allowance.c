// Allowance: how the further attempts of one action are shared over its whole chain of calls.

#include "kernel.h"

#define ATTEMPTS_KEPT 1 // of a call that is sent on, for an answer that gets lost

// A call made for a guard call takes half of what that has left, so that calls beside it find some.
// For one that ended there is nothing.
void
bj_allowance_take_from_parent (BjKernel *k, BjCall *c)
{
  BjCall *parent = bj_call_parent (k, &c->request);
  int share = 0;

  if (c->request.parent == 0)
    return;
  if (parent != NULL)
    {
      share = MIN (c->attempts_left, (MAX (0, parent->attempts_left) + 1) / 2);
      parent->attempts_left -= share;
    }
  c->attempts_left = share;
}

void
bj_allowance_return_to_parent (BjKernel *k, const BjCall *c)
{
  BjCall *parent = bj_call_parent (k, &c->request);

  if (parent != NULL)
    parent->attempts_left += c->attempts_left;
}

// What was handed down and not used. A lost answer counts all of it as used.
void
bj_allowance_reclaim (BjCall *c, const BjAnswer *a)
{
  int unused = MIN (a->attempts_left, c->attempts_handed);

  if (a->attempts_left < 0)
    unused = a->outcome == BJ_NOT_RUN ? c->attempts_handed : 0;
  c->attempts_left += unused;
  c->attempts_handed = 0;
}

void
bj_allowance_delegate (BjCall *c)
{
  c->attempts_handed = MAX (0, c->attempts_left - ATTEMPTS_KEPT);
  c->attempts_left -= c->attempts_handed;
}
