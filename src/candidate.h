// Candidate: the daemons that may get a call, and the expected wait of the call at each of them.
// Shared by the routers "least-wait" and "even".

#pragma once

#include "boragejunction.h"

#define BJ_CANDIDATES_MAX 32 // candidates scanned per call, from a random start

typedef struct
{
  BjPeer *peer;
  bool is_same_region;
  double load;        // share of its limit in use, including this call
  double failures_ms; // wait charged for its excess failures
} BjCandidate;

int bj_candidates_collect (BjTime now,
                           const BjRouterRequest *request,
                           BjCandidate *all); // Returns their number, up to BJ_CANDIDATES_MAX
const BjCandidate *
bj_candidates_least_wait (BjTime now,
                          const BjRouterRequest *request,
                          const BjCandidate *all,
                          int n); // The one with the shortest expected wait; NULL if n is 0
double bj_candidate_hop_ms (const BjCandidate *c,
                            const BjRouterRequest *request); // Wait that stands for the distance
void bj_candidate_result (BjTime now,
                          BjPeer *p,
                          BjStatus s); // Result of a call: skips p after failures
