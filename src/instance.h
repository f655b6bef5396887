// Instance: the load of one upstream as a front knows it, with its age. No I/O; does not know the
// kernel.

#pragma once

#include "boragejunction.h"

#define BJ_UPSTREAM_CALLS_MAX 1000000   // a report with more calls or slots is invalid
#define BJ_INSTANCE_UNCERTAINTY_MIN 1.0 // of the calls in a report that has just arrived
#define BJ_SLOWNESS_USUAL 100           // slowness of a machine of the usual speed, in percent
#define BJ_SLOWNESS_MAX 100000          // a report with a higher slowness is invalid

// What is usual for the instances of a service; an old report says little more.
typedef struct
{
  double share;      // mean share of the limits in use
  double own_share;  // the part of it that this daemon's calls use
  double own_weight; // of this daemon's calls against those of others, 1 or more
  double run_ms;     // time of a run at the usual speed
} BjInstanceUsual;

// Load of an instance, estimated for the present.
typedef struct
{
  double limit;       // calls that may run at once, 1 or more
  double busy;        // calls expected to run or to wait there
  double uncertainty; // standard deviation of busy
  double slowness;    // how long work takes, as a factor on the usual
} BjInstance;

void bj_instance_read_report (BjStr value,
                              BjUpstreamLoad *l); // Reads "running,waiting,slots[,slowness]"; sets
                                                  // only is_unreadable if it is invalid
void bj_instance_update (BjPeer *p,
                         BjTime now,
                         const BjUpstreamLoad *l); // Keeps a report unless a newer one is known
bool bj_instance_has_slowness (const BjPeer *p,
                               BjTime now); // Its upstream reported it in the last seconds
double bj_instance_slowness (const BjPeer *p, BjTime now); // Factor, 1 if not known
BjInstanceUsual bj_instance_usual (BjPeer *const *peers,
                                   int n,
                                   BjTime now); // Of the given instances, 1 or more
void bj_instance_estimate (const BjPeer *p, BjTime now, const BjInstanceUsual *u, BjInstance *i);
double bj_instance_room (const BjInstance *i); // Free capacity, in calls of the usual speed
double bj_instance_wait_ms (const BjInstance *i,
                            const BjInstanceUsual *u); // Expected wait of another call
double
bj_instance_completion_ms (const BjInstance *i,
                           const BjInstanceUsual *u); // Expected wait and run of another call
