// Role: decides which members of a failure domain ask the store for the configuration, from what
// each of them reported of the store. No I/O.
//
// The BJ_READERS_PER_DOMAIN members of the highest rank ask. For each one that the store does not
// answer, SUCCESSORS of the next in rank ask too, until BJ_READERS_PER_DOMAIN are answered. A store
// that answers nobody is asked by the first members only, and by the others at a rate that does not
// grow with the domain.

#include "internal.h"

#define SUCCESSORS 2      // members that ask for each one that was not answered
#define FAILURES_MAX 14   // members that were not answered until the others ask at a low rate
#define SAMPLES_PER_S 2.0 // requests of all these others together
#define FAILURE_LIFETIME_MS 10000 // a failure is forgotten after this where others are answered
#define RETRIES_MAX 2      // failures in a row after which a member that was answered stops asking
#define BACKOFF_MIN_MS 100 // first pause after a failed request; doubles

static int count_above (const BjRoleView *v);
static void set_access (BjRole *r, BjTime now, BjStoreAccess access);

void
bj_role_init (BjRole *r, BjTime now)
{
  *r = (BjRole){ .access_since = now, .backoff_ms = BACKOFF_MIN_MS };
}

bool
bj_role_reads (const BjRole *r, const BjRoleView *v)
{
  if (v->n_answered >= BJ_READERS_PER_DOMAIN)
    return false;
  if (count_above (v) < BJ_READERS_PER_DOMAIN || r->n_retries_left > 0)
    return true;
  return r->access == BJ_STORE_UNKNOWN && v->n_failed < FAILURES_MAX
         && v->n_unknown + v->n_answered < BJ_READERS_PER_DOMAIN + SUCCESSORS * v->n_failed;
}

bool
bj_role_asks (const BjRole *r, const BjRoleView *v, BjTime now, double random)
{
  if (now < r->not_before)
    return false;
  if (bj_role_reads (r, v))
    return true;
  return v->n_answered < BJ_READERS_PER_DOMAIN && v->n_failed > 0
         && random * v->n_members < SAMPLES_PER_S * BJ_READER_TICK_MS / 1000;
}

void
bj_role_answered (BjRole *r, BjTime now)
{
  set_access (r, now, BJ_STORE_ANSWERS);
  r->n_retries_left = RETRIES_MAX;
  r->backoff_ms = BACKOFF_MIN_MS;
}

void
bj_role_silent (BjRole *r, BjTime now)
{
  set_access (r, now, BJ_STORE_FAILS);
}

void
bj_role_failed (BjRole *r, BjTime now, double random)
{
  set_access (r, now, BJ_STORE_FAILS);
  r->n_retries_left = MAX (0, r->n_retries_left - 1);
  r->not_before = now + r->backoff_ms * (1 + random) / 2;
  r->backoff_ms = MIN (r->backoff_ms * 2, BJ_READER_BACKOFF_MAX_MS);
}

void
bj_role_rest (BjRole *r, const BjRoleView *v, BjTime now)
{
  if (v->n_answered >= BJ_READERS_PER_DOMAIN
      && (r->access == BJ_STORE_ANSWERS || now - r->access_since >= FAILURE_LIFETIME_MS))
    {
      set_access (r, now, BJ_STORE_UNKNOWN);
      r->n_retries_left = 0;
    }
}

static int
count_above (const BjRoleView *v)
{
  return v->n_answered + v->n_failed + v->n_unknown;
}

static void
set_access (BjRole *r, BjTime now, BjStoreAccess access)
{
  if (r->access != access)
    r->access_since = now;
  r->access = access;
}
