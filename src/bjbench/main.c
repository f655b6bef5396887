// bjbench: bounded load and experiment tool. Arrivals are open-loop: a slow answer never holds one
// back.

#include "bjbench.h"
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define EXIT_USAGE 2

static const Scenario scenarios[] = {
  { "load", "sends a mix of classes to daemons", scenario_load },
  { "overhead",
    "compares a call through two daemons with the same call sent straight",
    scenario_overhead },
  { "overload", "one guard at 1, 2, 5 and 10 times its capacity, in process", scenario_overload },
  { "recovery", "one guard after a surge at 5 times its capacity, in process", scenario_recovery },
  { "decisions", "time and memory of one kernel by daemons known, in process", scenario_decisions },
  { "domain-loss", "a domain goes and its callers spill to the others", scenario_domain_loss },
  { "cold-start", "one upstream joins cold, one fails", scenario_cold_start },
  { "claims", "false refusals of old keys against claims kept, in process", scenario_claims },
  { "lying-load", "load comes late, one upstream claims idle, one sick", scenario_lying_load },
  { "deep-chain", "six deep, the deepest slows tenfold and recovers", scenario_deep_chain },
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
          "Bounded load and experiment tool. bjbench NAME --help tells a scenario's options.\n\n");
      print_list ();
      return 0;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS (scenarios); i++)
    if (strcmp (argv[1], scenarios[i].name) == 0)
      return scenarios[i].run (argc - 1, argv + 1);
  fprintf (stderr, "bjbench: a scenario is needed, see bjbench --list.\n");
  return EXIT_USAGE;
}

static void
print_list (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    printf ("%-12s %s\n", scenarios[i].name, scenarios[i].help);
}
