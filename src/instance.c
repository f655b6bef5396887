// Instance: the load of one upstream as a front knows it, with its age.
//
// A report tells the calls at an instance at one moment. The calls of other daemons end and new
// ones are sent, so their number returns to the usual one about as fast as calls end. The estimate
// does the same, and its uncertainty grows with the age of the report. The calls that this daemon
// has there are known exactly. They count more than those of others if many daemons choose from old
// reports: each of them then corrects its own part of an imbalance instead of all of it.

#include "instance.h"
#include <math.h>
#include <string.h>

#define FIELDS_MIN 3             // running, waiting, slots
#define FIELDS_MAX 4             // the same and slowness
#define HAS_SLOWNESS_MS 3000.0   // a slowness told longer ago counts as not told
#define SLOWNESS_FULL_MS 100.0   // a slowness told this long ago has its full weight
#define SLOWNESS_OLD_MS 600.0    // from here on it has SLOWNESS_OLD_WEIGHT
#define SLOWNESS_OLD_WEIGHT 0.2  // until HAS_SLOWNESS_MS
#define SLOWNESS_FACTOR_MIN 0.25 // a lower factor is false or a measuring error
#define SLOWNESS_FACTOR_MAX 8.0  // the same for a higher one
#define LOAD_OLD_MS 2000.0       // a load reported longer ago says nothing
#define SERVICE_MS 50.0          // assumed time of a run before the first response
#define OWN_WEIGHT_RATE 0.2      // per call that others send there while a report ages
#define OWN_WEIGHT_MAX 8.0       // higher weights gain nothing, see docs/design/even-load.md
#define VARIATION 0.5            // of the calls of others, as a share of that of random arrivals
#define LOGISTIC_SCALE 1.702     // a logistic curve with this slope is close to the normal one

static double load_age (const BjPeer *p, BjTime now);
static bool read_number (BjStr *rest, double *value);

void
bj_instance_read_report (BjStr value, BjUpstreamLoad *l)
{
  double v[FIELDS_MAX + 1] = { 0 };
  int n = 0;

  // A second header in one response contradicts the first or repeats it.
  if (l->is_known || l->is_unreadable)
    goto invalid;
  for (; n <= FIELDS_MAX && value.data != NULL; n++)
    if (!read_number (&value, &v[n]))
      goto invalid;
  if (n < FIELDS_MIN || n > FIELDS_MAX || v[2] < 1)
    goto invalid;
  for (int i = 0; i < FIELDS_MIN; i++)
    if (v[i] > BJ_UPSTREAM_CALLS_MAX || v[i] != floor (v[i]))
      goto invalid;
  if (n == FIELDS_MAX && (v[3] < 1 || v[3] > BJ_SLOWNESS_MAX))
    goto invalid;
  *l = (BjUpstreamLoad){ .is_known = true,
                         .has_slowness = n == FIELDS_MAX,
                         .running = (int)v[0],
                         .waiting = (int)v[1],
                         .slots = (int)v[2],
                         .slowness = (int)lround (v[3]) };
  return;
invalid:
  *l = (BjUpstreamLoad){ .is_unreadable = true };
}

void
bj_instance_update (BjPeer *p, BjTime now, const BjUpstreamLoad *l)
{
  BjTime at = now - l->age_ms;

  if (!l->is_known || (p->upstream_load.is_known && at < p->upstream_load_at))
    return;
  p->upstream_load = *l;
  p->upstream_load_at = at;
}

bool
bj_instance_has_slowness (const BjPeer *p, BjTime now)
{
  return p->upstream_load.has_slowness && now - p->upstream_load_at <= HAS_SLOWNESS_MS;
}

double
bj_instance_slowness (const BjPeer *p, BjTime now)
{
  double age = now - p->upstream_load_at;
  double weight = 1;
  double factor;

  if (!bj_instance_has_slowness (p, now))
    return 1;
  if (age > SLOWNESS_FULL_MS)
    weight = MAX (SLOWNESS_OLD_WEIGHT,
                  1
                      - (1 - SLOWNESS_OLD_WEIGHT) * (age - SLOWNESS_FULL_MS)
                            / (SLOWNESS_OLD_MS - SLOWNESS_FULL_MS));
  factor = CLAMP ((double)p->upstream_load.slowness / BJ_SLOWNESS_USUAL,
                  SLOWNESS_FACTOR_MIN,
                  SLOWNESS_FACTOR_MAX);
  return 1 + weight * (factor - 1);
}

BjInstanceUsual
bj_instance_usual (BjPeer *const *peers, int n, BjTime now)
{
  double busy = 0;
  double own = 0;
  double limit = 0;
  double age = 0;
  double service_ms = 0;
  double slowness = 0;
  BjInstanceUsual u = { .run_ms = SERVICE_MS };
  double sent_by_others; // to an instance while a report ages

  for (int i = 0; i < n; i++)
    {
      const BjPeer *p = peers[i];

      busy += p->report.in_flight + p->report.queued;
      own += p->own_in_flight;
      limit += MAX (1, p->report.limit);
      age += load_age (p, now);
      if (p->service_ms <= 0)
        continue;
      service_ms += p->service_ms;
      slowness += bj_instance_slowness (p, now);
    }
  if (service_ms > 0)
    u.run_ms = service_ms / slowness;
  u.share = MIN (1, busy / limit);
  u.own_share = MIN (u.share, own / limit);
  sent_by_others = MAX (0, busy - own) / n * (age / n) / u.run_ms;
  u.own_weight = MIN (1 + OWN_WEIGHT_RATE * sent_by_others, OWN_WEIGHT_MAX);
  return u;
}

void
bj_instance_estimate (const BjPeer *p, BjTime now, const BjInstanceUsual *u, BjInstance *i)
{
  double age = load_age (p, now);
  double reported = p->report.in_flight + p->report.queued;
  double reported_own = MAX (0, p->own_in_flight - p->sent_since_report);
  double own_excess; // over what is usual for this daemon's calls
  double usual_others;
  double kept; // share of the difference to the usual number that is left

  // An upstream may hold calls that did not come through its guard.
  if (p->upstream_load.is_known && p->upstream_load_at >= p->reported)
    reported = MAX (reported, p->upstream_load.running + p->upstream_load.waiting);
  i->limit = MAX (1, p->report.limit);
  i->slowness = bj_instance_slowness (p, now);
  own_excess = p->is_self ? 0 : p->own_in_flight - u->own_share * i->limit;
  usual_others = (u->share - u->own_share) * i->limit;
  kept = age >= LOAD_OLD_MS ? 0 : exp (-age / (u->run_ms * i->slowness));
  i->busy = p->own_in_flight + (u->own_weight - 1) * own_excess + usual_others
            + (MAX (0, reported - reported_own) - usual_others) * kept;
  i->uncertainty
      = VARIATION * sqrt (MAX (1, usual_others) * (1 - kept * kept)) + BJ_INSTANCE_UNCERTAINTY_MIN;
}

double
bj_instance_room (const BjInstance *i)
{
  return MAX (0, i->limit - i->busy) / i->slowness;
}

double
bj_instance_wait_ms (const BjInstance *i, const BjInstanceUsual *u)
{
  double scale = i->uncertainty / LOGISTIC_SCALE;
  double excess = (i->busy + 1 - i->limit) / scale;
  double n_ahead = scale * (excess > 30 ? excess : log1p (exp (excess)));

  return n_ahead * u->run_ms * i->slowness / i->limit;
}

double
bj_instance_completion_ms (const BjInstance *i, const BjInstanceUsual *u)
{
  return bj_instance_wait_ms (i, u) + u->run_ms * i->slowness;
}

static double
load_age (const BjPeer *p, BjTime now)
{
  return p->is_self ? 0 : CLAMP (now - p->reported, 0, LOAD_OLD_MS);
}

// Reads the first of the numbers separated by commas. *rest is BJ_STR_NULL after the last one.
static bool
read_number (BjStr *rest, double *value)
{
  const char *comma = memchr (rest->data, ',', rest->len);
  BjStr first = *rest;

  if (comma != NULL)
    {
      first.len = (size_t)(comma - rest->data);
      *rest = (BjStr){ comma + 1, rest->len - first.len - 1 };
    }
  else
    *rest = BJ_STR_NULL;
  return bj_str_decimal (bj_str_trim (first), value);
}
