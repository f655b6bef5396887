// bjbench: bounded load and experiment tool. Arrivals are open-loop: slow responses do not delay
// them.

#include "bjbench.h"
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define EXIT_USAGE 2

static const Scenario scenarios[] = {
  { "load", "sends a mix of action classes to daemons", scenario_load },
  { "overhead",
    "latency of a call through two daemons and straight to the upstream",
    scenario_overhead },
  { "overload", "one guard at 1, 2, 5 and 10 times its capacity, in process", scenario_overload },
  { "recovery",
    "one guard during and after a surge of 5 times its capacity, in process",
    scenario_recovery },
  { "decisions",
    "time per call and memory of one kernel by number of known daemons, in process",
    scenario_decisions },
  { "domain-loss",
    "the upstreams of one domain are killed and its calls spill to others",
    scenario_domain_loss },
  { "cold-start", "one upstream joins and is slow at first, one is killed", scenario_cold_start },
  { "claims", "false refusals of late keys by number of claims kept, in process", scenario_claims },
  { "lying-load",
    "load reports are late, and two upstreams report a false load",
    scenario_lying_load },
  { "deep-chain",
    "six services in a chain, the last slows tenfold and recovers",
    scenario_deep_chain },
};

static void print_list (void);

int
main (int argc, char **argv)
{
  if (argc > 1 && strcmp (argv[1], "--version") == 0)
    {
      printf ("bjbench %s\n", BJ_VERSION);
      return 0;
    }
  if (argc > 1 && strcmp (argv[1], "--list") == 0)
    {
      print_list ();
      return 0;
    }
  if (argc > 1 && (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0))
    {
      printf (
          "Usage: bjbench NAME [OPTION...] | --list | --help | --version\n"
          "Bounded load and experiment tool. bjbench NAME --help prints a scenario's options.\n\n");
      print_list ();
      return 0;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS (scenarios); i++)
    if (strcmp (argv[1], scenarios[i].name) == 0)
      return scenarios[i].run (argc - 1, argv + 1);
  fprintf (stderr, "bjbench: the first argument must name a scenario, see bjbench --list.\n");
  return EXIT_USAGE;
}

static void
print_list (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    printf ("%-12s %s\n", scenarios[i].name, scenarios[i].help);
}
