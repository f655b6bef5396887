// Allowance: distributes the further attempts of one action over its whole call chain, so that
// retries at each hop do not multiply.

#include "kernel.h"

#define ATTEMPTS_RESERVED 1 // attempts not delegated, for the case that the response is lost

// A nested call takes half of its parent's remaining attempts, rounded up, which leaves some for
// its siblings. If the parent has ended, it gets none.
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

// Takes back the delegated attempts that were not used. If the response does not state their
// number, all count as used unless the call did not run.
void
bj_allowance_reclaim (BjCall *c, const BjAnswer *a)
{
  int unused = MIN (a->attempts_left, c->attempts_delegated);

  if (a->attempts_left < 0)
    unused = a->outcome == BJ_NOT_RUN ? c->attempts_delegated : 0;
  c->attempts_left += unused;
  c->attempts_delegated = 0;
}

void
bj_allowance_delegate (BjCall *c)
{
  c->attempts_delegated = MAX (0, c->attempts_left - ATTEMPTS_RESERVED);
  c->attempts_left -= c->attempts_delegated;
}
