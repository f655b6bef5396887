// Chain: kernels of many daemons connected without a network, with a virtual clock. Callers arrive
// at random daemons; runs on simulated upstreams take a time and make calls to the next service.

#pragma once

#include "kernel.h"

#define CHAIN_KINDS_MAX 6
#define CHAIN_ACCOUNTS_MAX 80
#define CHAIN_DOMAINS 4 // two in each of two regions

typedef struct
{
  const char *name;
  int n;     // upstreams, in the domains by turns
  int slots; // of each
} ChainService;

typedef struct
{
  const char *path; // prefix
  int service;
  double work_ms; // before it makes its calls
  int called;     // step that it calls, -1 for none
  int n_calls;    // one after the other
} ChainStep;

typedef struct
{
  const char *name;
  int step;
  double per_s; // from all callers
  double objective_ms;
  double deadline_ms;
} ChainKind;

typedef struct
{
  const ChainService *services;
  int n_services;
  const ChainStep *steps;
  int n_steps;
  const ChainKind *kinds;
  int n_kinds;
  const char *config;                 // JSON
  int n_accounts;                     // 0 for calls without an account
  double weights[CHAIN_ACCOUNTS_MAX]; // relative load of each account
  int busy_account;                   // its load is multiplied by busy_factor
  double busy_factor;
  double (*rate_factor) (const ChainKind *k, int domain, BjTime at); // NULL for a steady rate
  double rate_factor_max;
  double speed_min; // upstreams of a service differ in speed, from this factor on the run time
  double speed_max;
  double remote_ms; // latency between regions
  double run_ms;    // callers that arrive in the first and the last 2 s are not counted
  int retries;      // of a refused caller, each after its retry-after time
  uint32_t seed;
} ChainOptions;

typedef struct
{
  int n_callers[CHAIN_KINDS_MAX];
  int n_served[CHAIN_KINDS_MAX]; // with a complete response within the objective
  int n_callers_of[CHAIN_ACCOUNTS_MAX];
  int n_served_of[CHAIN_ACCOUNTS_MAX];
  int n_actions;       // attempts of callers that ran
  int n_inner_refused; // calls refused inside them
  GArray *refusal_ms;  // double: time to each refusal of a caller's attempt
  double slots_used;   // mean use of the slots of the last service
} ChainResult;

void chain_run (const ChainOptions *o, ChainResult *r);
void chain_result_clear (ChainResult *r);
double chain_refusal_ms (const ChainResult *r, double quantile); // 0 without refusals
