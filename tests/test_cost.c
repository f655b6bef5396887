// Admission by cost: under waves and bursts that exceed the last service of the call chains, fronts
// that begin actions which can't end, refuse late, or starve a class. Compares it with admission
// levels under the load of deployment R.

#include "chain.h"
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define WAVE_MS 13000.0
#define WAVE_SHARE 0.55
#define WAVE_PHASE 0.05 // between two domains, share of a wave
#define BURST_FROM_MS 2500.0 // the wave of the first domain is highest at 3250
#define BURST_MS 3000.0
#define BURST_FACTOR 1.8
#define RUN_MS 17000.0

static const ChainService services[]
    = { { "registry", 40, 300 }, { "index", 37, 300 }, { "entries", 4, 214 } };
static const ChainStep steps[] = {
  { "/lookup", 0, 20, 2, 1 },  { "/enter", 0, 30, 2, 1 },    { "/index", 1, 10, 3, 4 },
  { "/record", 2, 57, -1, 0 }, { "/upload", 0, 230, -1, 0 }, { "/declare", 2, 150, -1, 0 },
};
static const ChainKind kinds[] = {
  { "lookups", 0, 1132, 1500, 3000 },
  { "entries", 1, 338, 2000, 4000 },
  { "uploads", 4, 115, 1200, 2400 },
  { "declarations", 5, 105, 600, 1200 },
};
static const char config_format[]
    = "{\"number\":1,\"priorities\":[\"p0\",\"p1\",\"p2\"],\"services\":{"
      "\"registry\":{\"routes\":[{\"prefix\":\"/lookup\",\"class\":\"p2\",\"objective_ms\":1500},"
      "{\"prefix\":\"/enter\",\"class\":\"p0\",\"objective_ms\":2000,\"irreversible\":true,"
      "\"claim\":false},{\"prefix\":\"/upload\",\"class\":\"p1\",\"objective_ms\":1200,"
      "\"irreversible\":true,\"claim\":false}]%1$s},"
      "\"index\":{\"routes\":[{\"prefix\":\"/index\",\"class\":\"p2\"}]%1$s},"
      "\"entries\":{\"routes\":[{\"prefix\":\"/record\",\"class\":\"p2\"},"
      "{\"prefix\":\"/declare\",\"class\":\"p2\",\"objective_ms\":600,\"irreversible\":true,"
      "\"claim\":false}]%1$s}}}";
static const char policy_format[]
    = ",\"limiter\":{\"plugin\":\"slots\"},\"router\":{\"plugin\":\"least-wait\"},"
      "\"retry\":{\"ratio\":0.12,\"burst\":3,\"saved\":0.03,\"reserve\":2},"
      "\"admission\":{\"plugin\":\"%s\"}";

static double
rate_factor (const ChainKind *k, int domain, BjTime at)
{
  double wave = 1 + WAVE_SHARE * sin (2 * G_PI * (at / WAVE_MS + domain * WAVE_PHASE));

  (void)k;
  return at >= BURST_FROM_MS && at < BURST_FROM_MS + BURST_MS ? wave * BURST_FACTOR : wave;
}

static void
run_admission (const char *admission, ChainResult *r, double served[CHAIN_KINDS_MAX])
{
  char policy[512];
  char config[4096];
  ChainOptions o = { .services = services,
                     .n_services = G_N_ELEMENTS (services),
                     .steps = steps,
                     .n_steps = G_N_ELEMENTS (steps),
                     .kinds = kinds,
                     .n_kinds = G_N_ELEMENTS (kinds),
                     .config = config,
                     .rate_factor = rate_factor,
                     .rate_factor_max = (1 + WAVE_SHARE) * BURST_FACTOR,
                     .speed_min = 0.6,
                     .speed_max = 1.6,
                     .remote_ms = 30,
                     .run_ms = RUN_MS,
                     .retries = 1,
                     .seed = 20261204 };

  g_snprintf (policy, sizeof policy, policy_format, admission);
  g_snprintf (config, sizeof config, config_format, policy);
  chain_run (&o, r);
  print_message ("  %s:", admission);
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      served[i] = r->n_served[i] / (double)r->n_callers[i];
      print_message (" %s %.4f of %d,", kinds[i].name, served[i], r->n_callers[i]);
    }
  print_message (
      " refused inside actions %d of %d, refusals %u after p50 %.0f p90 %.0f p99 %.0f ms, "
      "slots used %.2f\n",
      r->n_inner_refused,
      r->n_actions,
      r->refusal_ms->len,
      chain_refusal_ms (r, 0.5),
      chain_refusal_ms (r, 0.9),
      chain_refusal_ms (r, 0.99),
      r->slots_used);
}

static void
test_waves (void **state)
{
  ChainResult level;
  ChainResult cost;
  double by_level[CHAIN_KINDS_MAX];
  double by_cost[CHAIN_KINDS_MAX];

  (void)state;
  run_admission ("level", &level, by_level);
  run_admission ("cost", &cost, by_cost);
  chain_result_clear (&level);
  chain_result_clear (&cost);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_waves) };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
