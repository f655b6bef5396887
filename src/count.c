// Count: counts calls by role, class, outcome and result code, and prints the kernel's metrics.

#include "kernel.h"

static const char *const role_names[BJ_ROLES] = { "guard", "front" };

static void print_answers (const BjKernel *k, GString *out);
static void print_total (GString *out, const char *name, const char *help, double value);
static void print_latency (const BjKernel *k, GString *out);
static void print_codes (const BjKernel *k, GString *out);
static int64_t newest_config (const BjKernel *k);

void
bj_count_answer (BjKernel *k, BjTime now, const BjCall *c, BjStatus code, BjOutcome o)
{
  if (c->detached)
    return;
  bj_hist_add (&k->counts.latency[c->is_front], now - c->arrived);
  k->counts.answers[c->is_front][CLAMP (c->klass, 0, BJ_CLASSES - 1)][o]++;
  if (code != BJ_OK && (int)code < BJ_CODES_MAX)
    k->counts.codes[code]++;
}

void
bj_kernel_metrics (BjKernel *k, BjTime now, GString *out)
{
  BjPeerReport self;

  bj_kernel_get_self_report (k, now, &self);
  print_answers (k, out);
  print_codes (k, out);
  print_latency (k, out);
  bj_metric_print_gauge (out, "open_calls", "Calls that have not ended.", bj_kernel_open_calls (k));
  bj_metric_print_gauge (out, "in_flight", "Calls running on the own upstream.", self.in_flight);
  bj_metric_print_gauge (
      out, "limit", "Calls that may run at once on the own upstream.", self.limit);
  g_string_append_printf (out,
                          "# HELP bj_upstream_starts_total Calls sent to the own upstream.\n"
                          "# TYPE bj_upstream_starts_total counter\n"
                          "bj_upstream_starts_total %" G_GUINT64_FORMAT "\n",
                          k->guard.n_started);
  print_total (out,
               "upstream_waits",
               "Of these calls, those that waited in the queue.",
               (double)k->guard.n_waited);
  print_total (out,
               "upstream_returns",
               "Calls that this guard returned to their fronts instead of queueing them.",
               (double)k->guard.n_returned);
  print_total (out,
               "route_slowness_calls",
               "Calls sent to an upstream that reported its slowness in the last seconds.",
               (double)k->counts.n_slowness);
  print_total (out,
               "route_slowness_percent",
               "Sum of the slowness that was known of these upstreams; 100 a call is the usual.",
               (double)k->counts.slowness);
  print_total (
      out, "route_slowness_age_ms", "Sum of the ages of these reports.", k->counts.slowness_age_ms);
  bj_metric_print_gauge (out,
                         "upstream_slowness",
                         "Slowness that the own upstream last reported, -1 if none.",
                         k->self->upstream_load.has_slowness ? k->self->upstream_load.slowness
                                                             : -1);
  bj_metric_print_gauge (out,
                         "upstream_rate_limit",
                         "Calls a second that the own upstream takes, -1 if it names no rate.",
                         k->guard.rate.is_set ? bj_rate_in_force (&k->guard.rate, now) : -1);
  bj_metric_print_gauge (out,
                         "upstream_leaving",
                         "1 if the own upstream said that it leaves.",
                         k->guard.upstream.is_leaving);
  g_string_append_printf (out,
                          "# HELP bj_rate_refusals_total Calls refused because of that rate.\n"
                          "# TYPE bj_rate_refusals_total counter\n"
                          "bj_rate_refusals_total %" G_GUINT64_FORMAT "\n",
                          k->guard.n_refused_by_rate);
  bj_metric_print_gauge (out, "queued", "Calls queued for the own upstream.", self.queued);
  bj_metric_print_gauge (
      out, "level", "Admission level of this guard, 0 admits all calls.", self.level);
  bj_metric_print_gauge (out,
                         "failing",
                         "Runs per 1000 that failed through a fault of the own upstream.",
                         self.failure_permille);
  bj_metric_print_gauge (
      out, "ticket", "Number of the ticket in force, 0 if none.", (double)self.config_number);
  bj_metric_print_gauge (
      out,
      "ticket_newest",
      "Highest ticket number received or reported by a peer; above bj_ticket: not yet in "
      "force here.",
      (double)newest_config (k));
  bj_metric_print_gauge (
      out, "members", "Known daemons, this one included.", g_hash_table_size (k->peers));
  bj_metric_print_gauge (out,
                         "log_dropped",
                         "Log lines lost to a full buffer or to the limit per second.",
                         (double)bj_log_dropped ());
}

static void
print_answers (const BjKernel *k, GString *out)
{
  g_string_append (out, "# HELP bj_answers_total Responses by role, class and outcome.\n");
  g_string_append (out, "# TYPE bj_answers_total counter\n");
  for (int role = 0; role < BJ_ROLES; role++)
    for (int klass = 0; klass < BJ_CLASSES; klass++)
      for (int o = 0; o < BJ_OUTCOMES; o++)
        if (k->counts.answers[role][klass][o] > 0)
          g_string_append_printf (
              out,
              "bj_answers_total{role=\"%s\",class=\"%d\",outcome=\"%s\"} %" G_GUINT64_FORMAT "\n",
              role_names[role],
              klass,
              bj_outcome_name ((BjOutcome)o),
              k->counts.answers[role][klass][o]);
}

static void
print_codes (const BjKernel *k, GString *out)
{
  g_string_append (out, "# HELP bj_refusals_total Responses made by the layer, by result code.\n");
  g_string_append (out, "# TYPE bj_refusals_total counter\n");
  for (int code = 0; code < BJ_CODES_MAX; code++)
    if (k->counts.codes[code] > 0)
      g_string_append_printf (out,
                              "bj_refusals_total{code=\"%s\"} %" G_GUINT64_FORMAT "\n",
                              bj_status_name ((BjStatus)code),
                              k->counts.codes[code]);
}

static int64_t
newest_config (const BjKernel *k)
{
  int64_t newest = k->newest_config_seen;
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, k->peers);
  while (g_hash_table_iter_next (&i, NULL, &p))
    newest = MAX (newest, ((const BjPeer *)p)->report.config_number);
  return newest;
}

static void
print_total (GString *out, const char *name, const char *help, double value)
{
  g_string_append_printf (out,
                          "# HELP bj_%s_total %s\n# TYPE bj_%s_total counter\nbj_%s_total %.0f\n",
                          name,
                          help,
                          name,
                          name,
                          value);
}

static void
print_latency (const BjKernel *k, GString *out)
{
  static const double bounds_ms[] = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000 };

  g_string_append (out,
                   "# HELP bj_latency_ms Time from arrival to the end of the response, by role.\n");
  g_string_append (out, "# TYPE bj_latency_ms histogram\n");
  for (int role = 0; role < BJ_ROLES; role++)
    {
      const BjHist *h = &k->counts.latency[role];

      for (size_t i = 0; i < G_N_ELEMENTS (bounds_ms); i++)
        g_string_append_printf (out,
                                "bj_latency_ms_bucket{role=\"%s\",le=\"%g\"} %" G_GUINT64_FORMAT
                                "\n",
                                role_names[role],
                                bounds_ms[i],
                                bj_hist_count_up_to (h, bounds_ms[i]));
      g_string_append_printf (out,
                              "bj_latency_ms_bucket{role=\"%s\",le=\"+Inf\"} %" G_GUINT64_FORMAT
                              "\nbj_latency_ms_sum{role=\"%s\"} %.3f\n"
                              "bj_latency_ms_count{role=\"%s\"} %" G_GUINT64_FORMAT "\n",
                              role_names[role],
                              h->n,
                              role_names[role],
                              h->sum_ms,
                              role_names[role],
                              h->n);
    }
}
