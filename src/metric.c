// Metric: counters with their text exposition and a histogram with logarithmic buckets.

#include "boragejunction.h"
#include <math.h>

#define BUCKETS_PER_OCTAVE 16
#define LOWEST_MS 0.001 // upper bound of bucket 0; smaller values are counted there

static GPtrArray *counters;

static int bucket_of (double ms);
static double upper_bound_ms (int bucket);

void
bj_hist_add (BjHist *h, double ms)
{
  h->bucket[bucket_of (ms)]++;
  h->n++;
  h->sum_ms += ms;
}

double
bj_hist_quantile (const BjHist *h, double q)
{
  uint64_t rank = (uint64_t)ceil (q * (double)h->n);
  uint64_t seen = 0;

  if (h->n == 0)
    return 0;
  for (int i = 0; i < BJ_HIST_BUCKETS; i++)
    {
      seen += h->bucket[i];
      if (seen >= rank && seen > 0)
        return upper_bound_ms (i);
    }
  return upper_bound_ms (BJ_HIST_BUCKETS - 1);
}

uint64_t
bj_hist_count_up_to (const BjHist *h, double ms)
{
  uint64_t n = 0;

  for (int i = 0; i <= bucket_of (ms); i++)
    n += h->bucket[i];
  return n;
}

void
bj_hist_merge (BjHist *into, const BjHist *from)
{
  for (int i = 0; i < BJ_HIST_BUCKETS; i++)
    into->bucket[i] += from->bucket[i];
  into->n += from->n;
  into->sum_ms += from->sum_ms;
}

void
bj_metric_register (BjCounter *c)
{
  if (counters == NULL)
    counters = g_ptr_array_new ();
  if (!g_ptr_array_find (counters, c, NULL))
    g_ptr_array_add (counters, c);
}

void
bj_metric_print (GString *out)
{
  for (guint i = 0; counters != NULL && i < counters->len; i++)
    {
      const BjCounter *c = counters->pdata[i];

      g_string_append_printf (out, "# HELP bj_%s %s\n", c->name, c->help);
      g_string_append_printf (out, "# TYPE bj_%s counter\n", c->name);
      g_string_append_printf (out, "bj_%s %" G_GUINT64_FORMAT "\n", c->name, c->value);
    }
}

void
bj_metric_print_gauge (GString *out, const char *name, const char *help, double value)
{
  g_string_append_printf (
      out, "# HELP bj_%s %s\n# TYPE bj_%s gauge\nbj_%s %.15g\n", name, help, name, name, value);
}

static int
bucket_of (double ms)
{
  int i;

  if (ms <= LOWEST_MS)
    return 0;
  i = (int)ceil (log2 (ms / LOWEST_MS) * BUCKETS_PER_OCTAVE);
  return MIN (i, BJ_HIST_BUCKETS - 1);
}

static double
upper_bound_ms (int bucket)
{
  return LOWEST_MS * exp2 ((double)bucket / BUCKETS_PER_OCTAVE);
}
