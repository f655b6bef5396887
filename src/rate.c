// Rate: paces the calls that the own upstream gets to the rate that it names. Does no I/O.
//
// Load: an upstream in need that asks for a fraction of the calls it gets. Its limit of calls in
// flight says nothing about a rate, so this is a bound beside it. A bucket of few tokens keeps the
// pace even: a longer one would let a burst through each time the upstream had been idle. The rate
// holds until responses that name none have come for a while. It then rises gradually, so that an
// upstream that has just recovered does not get all calls at once.

#include "kernel.h"
#include <math.h>

#define BURST_MS 50.0        // calls saved up while idle, as a time at the rate in force
#define RATE_MIN 0.2         // calls a second; only a response can tell that a rate of 0 has ended
#define LIFT_DELAY_MS 500    // from the last response that names a rate until the rate may rise
#define LIFT_DOUBLE_MS 500.0 // time in which a rising rate doubles
#define LIFT_MS 5000         // from the start of the rise until the rate is dropped
#define LIFT_RATE_MIN 1.0    // calls a second at the start of the rise
#define TOKEN_TOLERANCE 1e-6 // of a call, for rounding

static void refill (BjRate *r, BjTime now);
static double rate_at (const BjRate *r, BjTime now);
static double capacity (double rate);

void
bj_rate_name (BjRate *r, BjTime now, double per_s)
{
  refill (r, now);
  if (!r->is_set)
    *r = (BjRate){ .is_set = true, .refilled_at = now };
  r->named = per_s;
  r->named_at = now;
  r->rise_from = 0;
}

void
bj_rate_name_none (BjRate *r, BjTime now)
{
  refill (r, now);
  if (r->is_set && r->rise_from == 0 && now - r->named_at >= LIFT_DELAY_MS)
    r->rise_from = now;
}

void
bj_rate_clear (BjRate *r)
{
  *r = (BjRate){ 0 };
}

double
bj_rate_in_force (BjRate *r, BjTime now)
{
  refill (r, now);
  return r->is_set ? rate_at (r, now) : INFINITY;
}

double
bj_rate_wait_ms (BjRate *r, BjTime now, int n_ahead)
{
  refill (r, now);
  if (!r->is_set)
    return 0;
  return MAX (0, n_ahead + 1 - TOKEN_TOLERANCE - r->tokens) / rate_at (r, now) * 1000;
}

void
bj_rate_count_start (BjRate *r, BjTime now)
{
  refill (r, now);
  r->tokens -= 1;
}

static void
refill (BjRate *r, BjTime now)
{
  double rate;

  if (!r->is_set)
    return;
  rate = rate_at (r, now);
  r->tokens = MIN (r->tokens + rate * MAX (0, now - r->refilled_at) / 1000, capacity (rate));
  r->refilled_at = now;
  if (r->rise_from > 0 && now - r->rise_from >= LIFT_MS)
    bj_rate_clear (r);
}

static double
rate_at (const BjRate *r, BjTime now)
{
  double rate = MAX (r->named, RATE_MIN);

  if (r->rise_from > 0)
    rate = MAX (rate, LIFT_RATE_MIN) * exp2 ((now - r->rise_from) / LIFT_DOUBLE_MS);
  return rate;
}

static double
capacity (double rate)
{
  return MAX (1, rate * BURST_MS / 1000);
}
