// Scenario "claims": false refusals by the low watermark, for several amounts of memory. A key that
// was never claimed arrives late; it is refused when its shard has evicted a claim of that age or
// younger.

#include "bjbench.h"
#include <argtable2.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define EXIT_USAGE 2
#define FILL_RATIO 3 // claims made before the probes, as a multiple of the capacity of all shards
#define PROBES_PER_AGE 20000 // late keys tried for each age
#define ID_BYTES 64

typedef struct
{
  BjShard *shards[BJ_CLAIM_SHARDS];
  GRand *rand;
  double now_ms;
  uint64_t highest_watermark;
} ShardTable;

static const int claims_per_shard[] = { 64, 256, 1024 };
static const double rates_per_s[] = { 10, 100, 690 };
// Ages of the late keys, as multiples of the time to fill the shards
static const double age_ratios[] = { 0.7, 0.8, 0.9, 1, 1.1, 1.2 };

static void print_rows (int claims_max, double rate, uint32_t seed);
static void fill_shards (ShardTable *t, int claims_max, double rate);
static void insert_claim (ShardTable *t, uint64_t n);
static void
probe_late_keys (ShardTable *t, double age_ms, double *refused_per_shard, double *refused_single);

int
scenario_claims (int argc, char **argv)
{
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed of arrivals (default 1)");
  struct arg_end *end = arg_end (4);
  void *table[] = { seed, end };

  seed->ival[0] = 1;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "bjbench claims");
      return EXIT_USAGE;
    }
  printf ("claims kept, object KB, claims/s, age s, share refused: watermark per shard, one "
          "watermark\n");
  for (size_t e = 0; e < G_N_ELEMENTS (claims_per_shard); e++)
    for (size_t r = 0; r < G_N_ELEMENTS (rates_per_s); r++)
      print_rows (claims_per_shard[e], rates_per_s[r], (uint32_t)seed->ival[0]);
  arg_freetable (table, G_N_ELEMENTS (table));
  return 0;
}

static void
print_rows (int claims_max, double rate, uint32_t seed)
{
  ShardTable t = { .rand = g_rand_new_with_seed (seed) };
  struct json_object *spec;
  double object_kb;

  fill_shards (&t, claims_max, rate);
  spec = bj_shard_print (t.shards[0]);
  object_kb
      = (double)strlen (json_object_to_json_string_ext (spec, JSON_C_TO_STRING_PLAIN)) / 1024.0;
  json_object_put (spec);
  for (size_t a = 0; a < G_N_ELEMENTS (age_ratios); a++)
    {
      double age_s = age_ratios[a] * claims_max * BJ_CLAIM_SHARDS / rate;
      double refused_per_shard;
      double refused_single;

      probe_late_keys (&t, age_s * 1000, &refused_per_shard, &refused_single);
      printf ("%11d  %9.1f  %8.0f  %6.1f  %6.3f  %6.3f\n",
              claims_max * BJ_CLAIM_SHARDS,
              object_kb,
              rate,
              age_s,
              refused_per_shard,
              refused_single);
    }
  for (int i = 0; i < BJ_CLAIM_SHARDS; i++)
    bj_shard_free (t.shards[i]);
  g_rand_free (t.rand);
}

static void
fill_shards (ShardTable *t, int claims_max, double rate)
{
  uint64_t n = (uint64_t)claims_max * BJ_CLAIM_SHARDS * FILL_RATIO;

  t->now_ms = 1e12;
  for (int i = 0; i < BJ_CLAIM_SHARDS; i++)
    t->shards[i] = bj_shard_new (claims_max, BJ_CLAIM_SHARD_BODY_BYTES);
  for (uint64_t i = 0; i < n; i++)
    {
      t->now_ms += -log (1 - g_rand_double (t->rand)) * 1000.0 / rate;
      insert_claim (t, i);
    }
  for (int i = 0; i < BJ_CLAIM_SHARDS; i++)
    t->highest_watermark = MAX (t->highest_watermark, t->shards[i]->watermark);
}

static void
insert_claim (ShardTable *t, uint64_t n)
{
  char id[ID_BYTES];
  BjClaim c
      = { .claimant = BJ_STR ("north-a-orders-1/1796332690833"), .order = (uint64_t)t->now_ms };

  g_snprintf (id,
              sizeof id,
              "%08x-%04x-7000-8000-%012" G_GINT64_MODIFIER "x@orders",
              g_rand_int (t->rand),
              g_rand_int (t->rand) & 0xffff,
              n);
  c.id = bj_str (id);
  c.sequence = g_rand_int (t->rand);
  c.fingerprint = (uint64_t)g_rand_int (t->rand) << 31;
  bj_shard_insert (t->shards[bj_str_hash (c.id) % BJ_CLAIM_SHARDS], &c);
}

// Sets the share of refused keys of that age, with a watermark per shard and with a single
// watermark for all shards.
static void
probe_late_keys (ShardTable *t, double age_ms, double *refused_per_shard, double *refused_single)
{
  uint64_t order = (uint64_t)(t->now_ms - age_ms);
  int refused = 0;

  for (int i = 0; i < PROBES_PER_AGE; i++)
    refused += bj_shard_is_below_watermark (
        t->shards[g_rand_int_range (t->rand, 0, BJ_CLAIM_SHARDS)], order);
  *refused_per_shard = (double)refused / PROBES_PER_AGE;
  *refused_single = order <= t->highest_watermark ? 1 : 0;
}
