// Scenarios "overload" and "recovery": one kernel guards a simulated upstream, with an injected
// clock. The same seed gives the same output, byte for byte.

#include "bjbench.h"
#include <argtable2.h>
#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_USAGE 2
#define CLASSES 3
#define SERVICE_MS 10.0       // mean service time of a call while the upstream is not overloaded
#define UPSTREAM_CAPACITY 20  // calls that run at once without slowing each other down
#define ANNOUNCED_SLOTS 40    // more than the upstream's capacity
#define CONNECTIONS_MAX 230   // the upstream sheds further calls while this many run
#define CONTENTION_FACTOR 0.3 // extra service time per multiple of the capacity above the first
#define SHED_ANSWER_MS 1.0    // until the upstream responds to a call that it sheds
#define CALL_DEADLINE_MS 1000.0
#define RESENDS_MAX 5     // most resends of one action
#define WARM_UP_MS 5000.0 // not measured, until limits settle
#define MEASURED_MS 15000.0
#define BASE_LOAD 0.7  // multiple of the capacity, before and after the surge
#define SURGE_LOAD 5.0 // multiple of the capacity, during the surge
#define SURGE_MS 60000.0
#define OBSERVED_MS 20000.0    // observed after the surge
#define BIN_MS 250.0           // for figures after the surge
#define BINS 80                // OBSERVED_MS / BIN_MS
#define SERIES_BIN_MS 1000.0   // for the chart
#define SERIES_BINS 100        // warm-up, base load, surge and after
#define RECOVERED_GOODPUT 0.95 // share of complete responses in a bin that counts as recovered

static const double class_shares[CLASSES] = { 0.1, 0.4, 0.5 };
static const char *const class_names[CLASSES] = { "acceptance", "preview", "lookup" };

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_RESEND,
  EVENT_FINISH,
} EventKind;

typedef struct
{
  double at;
  uint64_t order; // insertion order, decides between equal times
  EventKind kind;
  void *subject; // Action to resend, BjCall to finish, NULL for an arrival
} Event;

typedef struct
{
  uint64_t actions;
  uint64_t requests;
  uint64_t whole;
  uint64_t refused; // responses which say that the action has not run
  uint64_t unknown; // other responses: the action may have run, as after a time-out
  BjHist latency;   // of complete responses, from the action's first request, in ms
} ClassStats;

typedef struct
{
  double rate_until[3]; // ends of the phases
  double rates[3];      // actions/ms in each phase
  int n_phases;
  double measure_from;
  double measure_until;
  double bins_from; // start of the bins: end of the surge, BJ_TIME_NEVER without one
} LoadProfile;

typedef struct
{
  BjHost host; // must be first: callbacks cast it to Sim
  BjKernel *kernel;
  GRand *rand;
  GSequence *events;
  uint64_t n_events;
  const LoadProfile *load;
  BjTime now;
  int running;          // calls on the simulated upstream
  int waiting[CLASSES]; // queued calls by class
  bool is_top_refused;  // a class 0 call was refused for overload and others of class 0 still wait
  uint64_t n_order_violations; // times a lower class took precedence over class 0
  uint64_t n_expired_run;      // calls started after their deadline
  ClassStats stats[CLASSES];
  uint64_t bin_actions[BINS]; // bin_*: by the bin in which the action started
  uint64_t bin_whole[BINS];
  BjHist bin_latency[BINS];
  uint64_t series_whole[SERIES_BINS][CLASSES]; // series_*: by the bin of the response
  BjHist series_latency[SERIES_BINS][CLASSES];
} Sim;

typedef struct
{
  int klass;
  int resends_left;
  double first_at; // time of the first request
  char key[24];
  uint64_t call; // not used
  bool has_left_queue;
  GSequenceIter *finish_event; // NULL when none is scheduled
  bool is_shed;
  bool is_caller_answered; // the caller has its response, the call still runs
} Action;

typedef struct
{
  const char *policy;
  const char *prefer;
  struct json_object *json;
  uint32_t seed;
  const char *plot;    // file of the chart, NULL for none
  PlotPanel panels[4]; // goodput of both policies, then latency of both
} Report;

static int run_scenario (int argc, char **argv, const char *name, void (*run) (Report *r));
static void run_overload (Report *r);
static void run_recovery (Report *r);
static void fill_panels (Report *r, const Sim *s);
static Sim *run_simulation (const Report *r, const LoadProfile *load);
static void free_sim (Sim *s);
static void print_value (Report *r, double value, const char *format, ...) G_GNUC_PRINTF (3, 4);
static BjConfig *make_config (const Report *r);
static void schedule_arrival (Sim *s);
static void start_action (Sim *s);
static void send_request (Sim *s, Action *a);
static void finish_call (Sim *s, BjCall *c);
static GSequenceIter *add_event (Sim *s, double at, EventKind kind, void *subject);
static gint compare_events (gconstpointer a, gconstpointer b, gpointer data);
static double draw_service_time (Sim *s);
static bool is_measured (const Sim *s);
static int find_bin (const Sim *s, const Action *a);
static void count_whole (Sim *s, Action *a);
static void check_admission_order (Sim *s, int klass);
static void mark_left_queue (Sim *s, Action *a);
static void host_start (BjHost *h, BjCall *c);
static void host_cancel (BjHost *h, BjCall *c);
static void host_answer (BjHost *h, BjCall *c, const BjAnswer *a);
static void ignore_send (BjHost *h, BjCall *c, BjPeer *p);
static void ignore_call (BjHost *h, BjCall *c);

static const BjHostOps host_ops
    = { ignore_send, host_start, host_cancel, host_answer, ignore_call, ignore_call };

int
scenario_overload (int argc, char **argv)
{
  return run_scenario (argc, argv, "overload", run_overload);
}

int
scenario_recovery (int argc, char **argv)
{
  return run_scenario (argc, argv, "recovery", run_recovery);
}

static int
run_scenario (int argc, char **argv, const char *name, void (*run) (Report *r))
{
  struct arg_str *policy
      = arg_str0 (NULL, "policy", "borage|baseline|both", "plug-ins to simulate (default both)");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed of all random numbers (default 1)");
  struct arg_str *prefer = arg_str0 (
      NULL, "prefer", "recovery|goodput", "setting \"prefer\" of the service (default recovery)");
  struct arg_file *plot = arg_file0 (
      NULL, "plot", "FILE", "write an SVG chart; useful for recovery with both policies");
  struct arg_file *json = arg_file0 (NULL, "json", "FILE", "write the figures as one JSON object");
  struct arg_lit *in_process
      = arg_lit0 (NULL, "in-process", "no effect: one kernel always runs without sockets");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_end *end = arg_end (4);
  void *table[] = { policy, seed, prefer, plot, json, in_process, help, end };
  int n_errors = arg_parse (argc, argv, table);
  const char *policy_name = policy->count > 0 ? policy->sval[0] : "both";
  bool is_both = strcmp (policy_name, "both") == 0;
  static Report r;
  int code = 0;

  r = (Report){ .seed = seed->count > 0 ? (uint32_t)seed->ival[0] : 1 };

  if (help->count > 0)
    {
      printf ("Usage: bjbench %s", name);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-32s %s\n");
    }
  else if (n_errors > 0)
    {
      arg_print_errors (stderr, end, name);
      code = EXIT_USAGE;
    }
  else if (!is_both && strcmp (policy_name, "borage") != 0 && strcmp (policy_name, "baseline") != 0)
    {
      fprintf (stderr, "%s: policy \"%s\" is not borage, baseline or both.\n", name, policy_name);
      code = EXIT_USAGE;
    }
  else
    {
      bj_log_open (BJ_LOG_ERROR);
      r.prefer = prefer->count > 0 ? prefer->sval[0] : "recovery";
      r.plot = plot->count > 0 ? plot->filename[0] : NULL;
      r.json = json_object_new_object ();
      for (int i = 0; i < 2; i++)
        {
          r.policy = i == 0 ? "borage" : "baseline";
          if (is_both || strcmp (policy_name, r.policy) == 0)
            run (&r);
        }
      if (r.plot != NULL
          && !plot_write (
              r.plot, "60 s at five times the capacity, then 0.7 of it", r.panels, 2, 2))
        {
          fprintf (stderr, "%s: the chart can't be written to %s.\n", name, r.plot);
          code = 1;
        }
      if (json->count > 0 && json_object_to_file (json->filename[0], r.json) != 0)
        {
          fprintf (stderr, "%s: the figures can't be written to %s.\n", name, json->filename[0]);
          code = 1;
        }
      json_object_put (r.json);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static void
run_overload (Report *r)
{
  static const int multiples[] = { 1, 2, 5, 10 };

  for (size_t i = 0; i < G_N_ELEMENTS (multiples); i++)
    {
      int m = multiples[i];
      LoadProfile load = { .rate_until = { WARM_UP_MS + MEASURED_MS },
                           .rates = { m * UPSTREAM_CAPACITY / SERVICE_MS },
                           .n_phases = 1,
                           .measure_from = WARM_UP_MS,
                           .measure_until = WARM_UP_MS + MEASURED_MS,
                           .bins_from = BJ_TIME_NEVER };
      Sim *s = run_simulation (r, &load);
      uint64_t whole = 0;

      for (int c = 0; c < CLASSES; c++)
        whole += s->stats[c].whole;
      print_value (r,
                   (double)whole / (MEASURED_MS * UPSTREAM_CAPACITY / SERVICE_MS),
                   "%dx_goodput_share",
                   m);
      for (int c = 0; c < CLASSES; c++)
        {
          const ClassStats *st = &s->stats[c];

          print_value (r, (double)st->actions, "%dx_%s_actions", m, class_names[c]);
          print_value (r, (double)st->requests, "%dx_%s_requests", m, class_names[c]);
          print_value (r, (double)st->whole, "%dx_%s_whole", m, class_names[c]);
          print_value (r, (double)st->refused, "%dx_%s_refused", m, class_names[c]);
          print_value (r, (double)st->unknown, "%dx_%s_unknown", m, class_names[c]);
          print_value (r, bj_hist_quantile (&st->latency, 0.5), "%dx_%s_p50_ms", m, class_names[c]);
          print_value (
              r, bj_hist_quantile (&st->latency, 0.99), "%dx_%s_p99_ms", m, class_names[c]);
        }
      print_value (r, (double)s->n_order_violations, "%dx_wrong_order", m);
      print_value (r, (double)s->n_expired_run, "%dx_expired_run", m);
      free_sim (s);
    }
}

static void
run_recovery (Report *r)
{
  double surge_from = WARM_UP_MS + MEASURED_MS;
  double surge_until = surge_from + SURGE_MS;
  double base_rate = BASE_LOAD * UPSTREAM_CAPACITY / SERVICE_MS;
  LoadProfile load
      = { .rate_until = { surge_from, surge_until, surge_until + OBSERVED_MS },
          .rates = { base_rate, SURGE_LOAD * UPSTREAM_CAPACITY / SERVICE_MS, base_rate },
          .n_phases = 3,
          .measure_from = WARM_UP_MS,
          .measure_until = surge_from,
          .bins_from = surge_until };
  Sim *s = run_simulation (r, &load);
  BjHist base_latency = { 0 };
  double goodput_back = 0;
  double p99_back = 0;
  double worst = 0;

  for (int c = 0; c < CLASSES; c++)
    bj_hist_merge (&base_latency, &s->stats[c].latency);
  for (int b = 0; b < BINS; b++)
    {
      double p99 = bj_hist_quantile (&s->bin_latency[b], 0.99);

      if ((double)s->bin_whole[b] < RECOVERED_GOODPUT * (double)s->bin_actions[b])
        goodput_back = (b + 1) * BIN_MS;
      if (p99 > 2 * bj_hist_quantile (&base_latency, 0.99))
        p99_back = (b + 1) * BIN_MS;
      worst = MAX (worst, p99);
    }
  fill_panels (r, s);
  print_value (r, bj_hist_quantile (&base_latency, 0.99), "idle_p99_ms");
  print_value (r, goodput_back, "goodput_back_ms");
  print_value (r, p99_back, "p99_back_ms");
  print_value (r, worst, "worst_p99_after_ms");
  print_value (r, (double)s->n_expired_run, "expired_run");
  free_sim (s);
}

static void
fill_panels (Report *r, const Sim *s)
{
  int column = strcmp (r->policy, "borage") == 0 ? 0 : 1;
  PlotPanel *goodput = &r->panels[column];
  PlotPanel *latency = &r->panels[2 + column];

  goodput->n_lines = latency->n_lines = CLASSES;
  goodput->n_bins = latency->n_bins = SERIES_BINS;
  goodput->bin_ms = latency->bin_ms = SERIES_BIN_MS;
  g_snprintf (goodput->title, sizeof goodput->title, "%s: whole answers a second", r->policy);
  g_snprintf (latency->title, sizeof latency->title, "%s: p99 of whole answers, ms", r->policy);
  for (int c = 0; c < CLASSES; c++)
    {
      goodput->line_names[c] = latency->line_names[c] = class_names[c];
      for (int b = 0; b < SERIES_BINS; b++)
        {
          goodput->values[b][c] = (double)s->series_whole[b][c] * 1000 / SERIES_BIN_MS;
          latency->values[b][c] = bj_hist_quantile (&s->series_latency[b][c], 0.99);
        }
    }
}

static Sim *
run_simulation (const Report *r, const LoadProfile *load)
{
  Sim *s = g_new0 (Sim, 1);
  BjKernelOptions o = { .self = { .name = BJ_STR ("one"), .domain = BJ_STR ("north-a") },
                        .host = &s->host,
                        .seed = r->seed };

  s->host.ops = &host_ops;
  s->load = load;
  s->rand = g_rand_new_with_seed (r->seed);
  s->events = g_sequence_new (g_free);
  s->kernel = bj_kernel_new (&o, 0);
  bj_kernel_set_config (s->kernel, 0, make_config (r));
  bj_kernel_announce (s->kernel, 0, BJ_STR ("orders"), ANNOUNCED_SLOTS);
  schedule_arrival (s);
  while (!g_sequence_is_empty (s->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (s->events);
      Event e = *(Event *)g_sequence_get (first);
      BjTime next = bj_kernel_next_deadline (s->kernel);

      if (next <= e.at)
        {
          s->now = next;
          bj_kernel_tick (s->kernel, s->now);
          continue;
        }
      g_sequence_remove (first);
      s->now = e.at;
      if (e.kind == EVENT_ARRIVAL)
        start_action (s);
      else if (e.kind == EVENT_RESEND)
        send_request (s, e.subject);
      else
        finish_call (s, e.subject);
    }
  return s;
}

static void
free_sim (Sim *s)
{
  bj_kernel_free (s->kernel);
  g_sequence_free (s->events);
  g_rand_free (s->rand);
  g_free (s);
}

static void
print_value (Report *r, double value, const char *format, ...)
{
  va_list args;
  char name[80];
  char full[96];
  char text[32];

  va_start (args, format);
  vsnprintf (name, sizeof name, format, args);
  va_end (args);
  g_snprintf (full, sizeof full, "%s_%s", r->policy, name);
  g_snprintf (text, sizeof text, value == floor (value) ? "%.0f" : "%.3f", value);
  printf ("%s=%s\n", full, text);
  json_object_object_add (r->json, full, json_object_new_double_s (value, text));
}

static BjConfig *
make_config (const Report *r)
{
  static const char format[]
      = "{\"number\":1,\"priorities\":[\"acceptance\",\"preview\",\"lookup\"],\"services\":{"
        "\"orders\":{\"routes\":[{\"prefix\":\"/\",\"class\":\"lookup\"}],\"prefer\":\"%s\"%s}}}";
  static const char baseline_plugins[]
      = ",\"limiter\":{\"plugin\":\"none\"},\"queue\":{\"plugin\":\"fifo\"},"
        "\"router\":{\"plugin\":\"round-robin\"},\"retry\":{\"plugin\":\"naive\"}";
  char *text = g_strdup_printf (
      format, r->prefer, strcmp (r->policy, "baseline") == 0 ? baseline_plugins : "");
  BjConfig *c;

  if (bj_config_parse (bj_str (text), &c) != BJ_OK)
    {
      fprintf (stderr, "%s\n", bj_last_message ());
      exit (EXIT_USAGE);
    }
  g_free (text);
  return c;
}

static void
schedule_arrival (Sim *s)
{
  const LoadProfile *l = s->load;
  int phase = 0;

  while (phase < l->n_phases && s->now >= l->rate_until[phase])
    phase++;
  if (phase == l->n_phases)
    return;
  add_event (s, s->now - log (1 - g_rand_double (s->rand)) / l->rates[phase], EVENT_ARRIVAL, NULL);
}

static void
start_action (Sim *s)
{
  Action *a = g_new0 (Action, 1);
  double at = g_rand_double (s->rand);

  while (a->klass < CLASSES - 1 && at >= class_shares[a->klass])
    at -= class_shares[a->klass++];
  a->first_at = s->now;
  a->resends_left = RESENDS_MAX;
  g_snprintf (a->key, sizeof a->key, "%016" G_GINT64_MODIFIER "x", s->n_events);
  if (is_measured (s))
    s->stats[a->klass].actions++;
  if (find_bin (s, a) >= 0)
    s->bin_actions[find_bin (s, a)]++;
  schedule_arrival (s);
  send_request (s, a);
}

static void
send_request (Sim *s, Action *a)
{
  BjRequest r = { .method = BJ_STR ("GET"),
                  .path = BJ_STR ("/"),
                  .key = bj_str (a->key),
                  .klass = a->klass,
                  .deadline_ms = CALL_DEADLINE_MS,
                  .irreversible = a->klass == 0 };
  BjCall *c;

  if (is_measured (s))
    s->stats[a->klass].requests++;
  a->has_left_queue = false;
  s->waiting[a->klass]++;
  c = bj_kernel_arrive_peer (s->kernel, s->now, &r, BJ_STR ("orders"), a);
  if (c != NULL)
    check_admission_order (s, a->klass);
}

static void
finish_call (Sim *s, BjCall *c)
{
  Action *a = c->data;

  a->finish_event = NULL;
  if (a->is_shed)
    {
      a->is_shed = false;
      bj_kernel_answer_begin (
          s->kernel,
          s->now,
          c,
          &(BjAnswer){ .outcome = BJ_NOT_RUN, .http_status = 503, .attempts_left = -1 });
      return;
    }
  s->running--;
  bj_kernel_answer_begin (
      s->kernel, s->now, c, &(BjAnswer){ .outcome = BJ_DONE, .http_status = 200 });
  bj_kernel_answer_end (s->kernel, s->now, c, true);
  if (!a->is_caller_answered)
    count_whole (s, a);
  g_free (a);
}

static GSequenceIter *
add_event (Sim *s, double at, EventKind kind, void *subject)
{
  Event *e = g_new0 (Event, 1);

  *e = (Event){ at, s->n_events++, kind, subject };
  return g_sequence_insert_sorted (s->events, e, compare_events, NULL);
}

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const Event *x = a;
  const Event *y = b;

  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

// Half of the service time is fixed and half is exponential. When more than UPSTREAM_CAPACITY calls
// run, they share the capacity and lose further time to contention.
static double
draw_service_time (Sim *s)
{
  double noise = 0.5 - 0.5 * log (1 - g_rand_double (s->rand));
  double load_ratio = MAX (1, (double)s->running / UPSTREAM_CAPACITY);

  return SERVICE_MS * noise * load_ratio * (1 + CONTENTION_FACTOR * (load_ratio - 1));
}

static bool
is_measured (const Sim *s)
{
  return s->now >= s->load->measure_from && s->now < s->load->measure_until;
}

// Returns the bin of the action's first request, -1 outside the observed time.
static int
find_bin (const Sim *s, const Action *a)
{
  double since = a->first_at - s->load->bins_from;

  return since < 0 || since >= OBSERVED_MS ? -1 : (int)(since / BIN_MS);
}

static void
count_whole (Sim *s, Action *a)
{
  int b = find_bin (s, a);
  int second = (int)(s->now / SERIES_BIN_MS);

  if (second < SERIES_BINS)
    {
      s->series_whole[second][a->klass]++;
      bj_hist_add (&s->series_latency[second][a->klass], s->now - a->first_at);
    }
  if (is_measured (s))
    {
      s->stats[a->klass].whole++;
      bj_hist_add (&s->stats[a->klass].latency, s->now - a->first_at);
    }
  if (b < 0)
    return;
  s->bin_whole[b]++;
  bj_hist_add (&s->bin_latency[b], s->now - a->first_at);
}

// Counts a violation when a lower class is admitted while class 0 calls still wait and another
// class 0 call was refused for overload.
static void
check_admission_order (Sim *s, int klass)
{
  if (klass == 0)
    s->is_top_refused = false;
  else if (s->is_top_refused)
    s->n_order_violations++;
}

static void
mark_left_queue (Sim *s, Action *a)
{
  if (a->has_left_queue)
    return;
  a->has_left_queue = true;
  s->waiting[a->klass]--;
  if (s->waiting[0] == 0)
    s->is_top_refused = false;
}

static void
host_start (BjHost *h, BjCall *c)
{
  Sim *s = (Sim *)h;
  Action *a = c->data;

  mark_left_queue (s, a);
  s->n_expired_run += c->deadline <= s->now;
  if (s->running >= CONNECTIONS_MAX)
    {
      a->is_shed = true;
      a->finish_event = add_event (s, s->now + SHED_ANSWER_MS, EVENT_FINISH, c);
      return;
    }
  s->running++;
  a->finish_event = add_event (s, s->now + draw_service_time (s), EVENT_FINISH, c);
}

static void
host_cancel (BjHost *h, BjCall *c)
{
  Sim *s = (Sim *)h;
  Action *a = c->data;

  if (a->finish_event == NULL)
    return;
  g_sequence_remove (a->finish_event);
  a->finish_event = NULL;
  s->running -= !a->is_shed;
  a->is_shed = false;
}

static void
host_answer (BjHost *h, BjCall *c, const BjAnswer *answer)
{
  Sim *s = (Sim *)h;
  Action *a = c->data;
  bool is_overload = answer->code == BJ_E_OVERLOAD;

  mark_left_queue (s, a);
  if (is_measured (s) && answer->outcome == BJ_NOT_RUN)
    s->stats[a->klass].refused++;
  if (is_measured (s) && answer->outcome != BJ_NOT_RUN)
    s->stats[a->klass].unknown++;
  if (is_overload && c->irreversible)
    {
      s->is_top_refused = s->waiting[0] > 0;
      for (int i = 1; i < CLASSES; i++)
        s->n_order_violations += s->waiting[i] > 0;
    }
  if (a->resends_left-- > 0 && (answer->outcome == BJ_NOT_RUN || !c->irreversible))
    add_event (s, s->now + MAX (1, answer->retry_after_ms), EVENT_RESEND, a);
  else if (c->irreversible && answer->outcome != BJ_NOT_RUN)
    a->is_caller_answered = true; // finish_call () frees it
  else
    g_free (a);
}

static void
ignore_send (BjHost *h, BjCall *c, BjPeer *p)
{
  (void)h;
  (void)c;
  (void)p;
}

static void
ignore_call (BjHost *h, BjCall *c)
{
  (void)h;
  (void)c;
}
