// Load: open-loop Poisson arrivals over HTTP. Checks that each response is complete and belongs to
// its request.

#include "bjbench.h"
#include <ev.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 30000
#define ARRIVALS_PER_TURN_MAX 10000 // most arrivals started in one event loop turn after a pause
#define CONTROL_TIMEOUT_MS 2000

typedef struct
{
  const LoadOptions *o;
  LoadStats *stats;
  LoadTrace *trace;
  struct ev_loop *loop;
  BjHttp *http;
  ev_timer arrival;
  ev_timer event;
  ev_timer sample;
  int next_event;
  char *class_targets[BENCH_CLASSES_MAX][BENCH_TARGETS_MAX];
  int n_class_targets[BENCH_CLASSES_MAX];
  guint next_class_target[BENCH_CLASSES_MAX];
  GRand *rand;
  BjTime started;
  BjTime next_arrival_at;
  uint64_t n_ids;
  uint64_t n_open; // not used
  int next_shared_target;
  FILE *outcomes_file;
} Load;

typedef struct
{
  Load *load;
  int klass;
  char id[32];
  char key[40];
  int resends_left;
  BjTime started;       // time of the first request
  LoadStats *trace_bin; // NULL without a trace
  BjHttpHead head;
  bool is_id_repeated;   // the body so far consists of the action's id, repeated
  bool is_from_upstream; // status 200: the response comes from an upstream, not from a daemon
  BjOutcome outcome;
  size_t body_bytes;
  ev_timer resend_timer;
} Action;

typedef struct
{
  int64_t *executions; // receives the count in the response, NULL to ignore it
  GString *text;
} ControlRequest;

static void open_load (Load *l);
static void close_load (Load *l);
static void find_class_targets (Load *l);
static void on_event (struct ev_loop *loop, ev_timer *w, int events);
static void schedule_event (Load *l);
static void apply_event (Load *l, const LoadEvent *e);
static void on_sample (struct ev_loop *loop, ev_timer *w, int events);
static void send_control (
    Load *l, const BenchNode *n, const char *method, const char *path, int64_t *executions);
static size_t on_control_body (void *data, BjStr part);
static void on_control_done (void *data, BjStatus s, bool sent);
static const char *pick_target (Load *l, int klass);
static void increment_counter (Action *a, size_t offset);
static void on_arrival (struct ev_loop *loop, ev_timer *w, int events);
static void schedule_arrival (Load *l);
static void start_action (Load *l);
static void send_request (Action *a);
static void on_head (void *data, const BjHttpHead *h);
static size_t on_body (void *data, BjStr part);
static void on_done (void *data, BjStatus s, bool sent);
static void on_resend (struct ev_loop *loop, ev_timer *w, int events);
static void count_answer (Action *a, BjStatus s);
static void free_action (Action *a);
static int pick_class (Load *l);
static void make_key (Load *l, char *key, size_t size);

void
load_run (const LoadOptions *o, LoadStats *stats, LoadTrace *trace)
{
  Load *l = g_new0 (Load, 1);

  l->o = o;
  l->stats = stats;
  l->trace = trace;
  open_load (l);
  ev_run (l->loop, 0);
  close_load (l);
  g_free (l);
}

LoadTrace *
load_trace_new (void)
{
  LoadTrace *t = g_new0 (LoadTrace, 1);

  t->outcomes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return t;
}

void
load_trace_free (LoadTrace *t)
{
  if (t == NULL)
    return;
  g_hash_table_destroy (t->outcomes);
  g_free (t);
}

void
load_trace_sum (const LoadTrace *t, int klass, double from_ms, double to_ms, LoadStats *sum)
{
  memset (sum, 0, sizeof *sum);
  for (int i = 0; i < BENCH_BINS_MAX; i++)
    if (i * BENCH_BIN_MS >= from_ms && i * BENCH_BIN_MS < to_ms)
      load_stats_add (sum, &t->bins[klass][i]);
}

void
load_stats_add (LoadStats *into, const LoadStats *from)
{
  into->requests += from->requests;
  into->actions += from->actions;
  into->whole += from->whole;
  into->not_run += from->not_run;
  into->unknown += from->unknown;
  into->wrong += from->wrong;
  into->broken += from->broken;
  bj_hist_merge (&into->latency, &from->latency);
}

void
load_print_stats (const LoadOptions *o, const LoadStats *stats)
{
  for (int i = 0; i < o->n_classes; i++)
    {
      const LoadStats *s = &stats[i];
      const char *n = o->classes[i].name;

      printf ("%s_actions=%" G_GUINT64_FORMAT "\n%s_requests=%" G_GUINT64_FORMAT
              "\n%s_whole=%" G_GUINT64_FORMAT "\n%s_not_run=%" G_GUINT64_FORMAT
              "\n%s_unknown=%" G_GUINT64_FORMAT "\n%s_wrong=%" G_GUINT64_FORMAT
              "\n%s_broken=%" G_GUINT64_FORMAT "\n",
              n,
              s->actions,
              n,
              s->requests,
              n,
              s->whole,
              n,
              s->not_run,
              n,
              s->unknown,
              n,
              s->wrong,
              n,
              s->broken);
      printf ("%s_p50_ms=%.3f\n%s_p99_ms=%.3f\n",
              n,
              bj_hist_quantile (&s->latency, 0.5),
              n,
              bj_hist_quantile (&s->latency, 0.99));
    }
}

static void
open_load (Load *l)
{
  l->loop = ev_loop_new (EVFLAG_AUTO);
  l->http = bj_http_new (l->loop);
  l->rand = g_rand_new_with_seed (l->o->seed);
  l->started = bj_clock_now ();
  l->next_arrival_at = l->started;
  l->outcomes_file = l->o->outcomes_path != NULL ? fopen (l->o->outcomes_path, "w") : NULL;
  find_class_targets (l);
  ev_timer_init (&l->arrival, on_arrival, 0, 0);
  ev_timer_init (&l->event, on_event, 0, 0);
  ev_timer_init (&l->sample, on_sample, 0, l->o->sample_ms / 1000.0);
  l->arrival.data = l->event.data = l->sample.data = l;
  ev_timer_start (l->loop, &l->arrival);
  schedule_event (l);
  if (l->o->sample_ms > 0 && l->trace != NULL)
    ev_timer_start (l->loop, &l->sample);
}

static void
close_load (Load *l)
{
  if (l->outcomes_file != NULL)
    fclose (l->outcomes_file);
  for (int i = 0; i < BENCH_CLASSES_MAX; i++)
    for (int j = 0; j < l->n_class_targets[i]; j++)
      g_free (l->class_targets[i][j]);
  bj_http_free (l->http);
  g_rand_free (l->rand);
  ev_loop_destroy (l->loop);
}

// A class with a domain uses the front daemons of the domain. Their upstreams serve no called
// service, so every call is forwarded to another daemon.
static void
find_class_targets (Load *l)
{
  for (int i = 0; i < l->o->n_classes; i++)
    {
      const LoadClass *c = &l->o->classes[i];

      for (int j = 0; c->domain != NULL && j < l->o->nodes->n; j++)
        {
          const BenchNode *n = &l->o->nodes->nodes[j];

          if (strcmp (n->domain, c->domain) != 0 || strcmp (n->service, "front") != 0)
            continue;
          l->class_targets[i][l->n_class_targets[i]++]
              = g_strdup_printf ("127.0.0.1:%d", n->front_port);
        }
    }
}

static const char *
pick_target (Load *l, int klass)
{
  if (l->n_class_targets[klass] == 0)
    return l->o->targets[l->next_shared_target++ % l->o->n_targets];
  return l->class_targets[klass][l->next_class_target[klass]++ % (guint)l->n_class_targets[klass]];
}

static void
on_event (struct ev_loop *loop, ev_timer *w, int events)
{
  Load *l = w->data;

  (void)loop;
  (void)events;
  apply_event (l, &l->o->events[l->next_event++]);
  schedule_event (l);
}

static void
schedule_event (Load *l)
{
  BjTime at;

  if (l->next_event >= l->o->n_events)
    return;
  at = l->started + l->o->events[l->next_event].at_ms;
  ev_timer_set (&l->event, MAX (0, at - bj_clock_now ()) / 1000.0, 0);
  ev_timer_start (l->loop, &l->event);
}

static void
apply_event (Load *l, const LoadEvent *e)
{
  char path[128];

  for (int i = 0; i < l->o->nodes->n; i++)
    {
      const BenchNode *n = &l->o->nodes->nodes[i];

      if (!node_matches_selector (n, e->selector) || strcmp (n->service, "front") == 0)
        continue;
      if (e->control == NULL)
        {
          kill (n->upstream_pid, SIGKILL);
          kill (n->daemon_pid, SIGKILL);
          continue;
        }
      g_snprintf (path, sizeof path, "/control/%s?value=%" G_GINT64_FORMAT, e->control, e->value);
      send_control (l, n, "POST", path, NULL);
    }
}

static void
on_sample (struct ev_loop *loop, ev_timer *w, int events)
{
  Load *l = w->data;
  int i = l->trace->n_samples;

  (void)events;
  if (i == BENCH_SAMPLES_MAX || bj_clock_now () - l->started > l->o->duration_ms)
    {
      ev_timer_stop (loop, w);
      return;
    }
  for (int j = 0; j < l->o->nodes->n; j++)
    {
      l->trace->executions[j][i] = i > 0 ? l->trace->executions[j][i - 1] : 0;
      send_control (
          l, &l->o->nodes->nodes[j], "GET", "/control/stats", &l->trace->executions[j][i]);
    }
  l->trace->n_samples++;
}

static void
send_control (
    Load *l, const BenchNode *n, const char *method, const char *path, int64_t *executions)
{
  ControlRequest *c = g_new0 (ControlRequest, 1);
  char *url = g_strdup_printf ("http://127.0.0.1:%d%s", n->upstream_port, path);

  c->executions = executions;
  c->text = g_string_new (NULL);
  bj_http_start (l->http,
                 &(BjHttpOptions){
                     .method = method,
                     .url = url,
                     .timeout_ms = CONTROL_TIMEOUT_MS,
                     .body_part = on_control_body,
                     .done = on_control_done,
                     .data = c,
                 });
  g_free (url);
}

static size_t
on_control_body (void *data, BjStr part)
{
  g_string_append_len (((ControlRequest *)data)->text, part.data, (gssize)part.len);
  return part.len;
}

static void
on_control_done (void *data, BjStatus s, bool sent)
{
  ControlRequest *c = data;

  (void)sent;
  if (s == BJ_OK && c->executions != NULL && g_str_has_prefix (c->text->str, "run "))
    *c->executions = g_ascii_strtoll (c->text->str + strlen ("run "), NULL, 10);
  g_string_free (c->text, TRUE);
  g_free (c);
}

static void
on_arrival (struct ev_loop *loop, ev_timer *w, int events)
{
  Load *l = w->data;
  BjTime now = bj_clock_now ();

  (void)loop;
  (void)events;
  for (int i = 0; i < ARRIVALS_PER_TURN_MAX && l->next_arrival_at <= now; i++)
    {
      if (l->next_arrival_at - l->started >= l->o->duration_ms)
        return;
      start_action (l);
      l->next_arrival_at += -log (1 - g_rand_double (l->rand)) * 1000.0 / l->o->rate;
    }
  schedule_arrival (l);
}

static void
schedule_arrival (Load *l)
{
  if (l->next_arrival_at - l->started >= l->o->duration_ms)
    return;
  ev_timer_set (&l->arrival, MAX (0, l->next_arrival_at - bj_clock_now ()) / 1000.0, 0);
  ev_timer_start (l->loop, &l->arrival);
}

static void
start_action (Load *l)
{
  Action *a = g_new0 (Action, 1);

  a->load = l;
  a->klass = pick_class (l);
  a->resends_left = l->o->resends;
  a->started = bj_clock_now ();
  g_snprintf (a->id, sizeof a->id, "%u-%" G_GUINT64_FORMAT, l->o->seed, ++l->n_ids);
  if (l->o->classes[a->klass].has_key)
    make_key (l, a->key, sizeof a->key);
  if (l->trace != NULL)
    {
      int bin = (int)((a->started - l->started) / BENCH_BIN_MS);

      a->trace_bin = &l->trace->bins[a->klass][MIN (bin, BENCH_BINS_MAX - 1)];
    }
  increment_counter (a, G_STRUCT_OFFSET (LoadStats, actions));
  send_request (a);
}

static void
send_request (Action *a)
{
  Load *l = a->load;
  const LoadClass *c = &l->o->classes[a->klass];
  const char *target = pick_target (l, a->klass);
  char *url = g_strdup_printf (
      "http://%s%s%cid=%s", target, c->path, strchr (c->path, '?') ? '&' : '?', a->id);
  char key[64];
  const char *headers[2] = { NULL, NULL };

  g_snprintf (key, sizeof key, "Idempotency-Key: %s", a->key);
  if (c->has_key)
    headers[0] = key;
  a->body_bytes = 0;
  a->is_id_repeated = true;
  a->outcome = BJ_UNKNOWN;
  a->is_from_upstream = false;
  increment_counter (a, G_STRUCT_OFFSET (LoadStats, requests));
  bj_http_start (l->http,
                 &(BjHttpOptions){
                     .method = c->has_key ? "POST" : "GET",
                     .url = url,
                     .headers = headers,
                     .timeout_ms = REQUEST_TIMEOUT_MS,
                     .head = on_head,
                     .body_part = on_body,
                     .done = on_done,
                     .data = a,
                 });
  g_free (url);
}

static void
on_head (void *data, const BjHttpHead *h)
{
  Action *a = data;

  a->head = *h;
  a->is_from_upstream = h->status == 200;
  if (bj_str_equal (h->outcome, BJ_STR ("done")) || h->status == 200)
    a->outcome = BJ_DONE;
  else if (bj_str_equal (h->outcome, BJ_STR ("not-run")))
    a->outcome = BJ_NOT_RUN;
}

static size_t
on_body (void *data, BjStr part)
{
  Action *a = data;
  size_t n = strlen (a->id);

  for (size_t i = 0; i < part.len && a->is_id_repeated && a->is_from_upstream; i++)
    {
      size_t at = (a->body_bytes + i) % (n + 1);

      a->is_id_repeated = part.data[i] == (at == n ? ' ' : a->id[at]);
    }
  a->body_bytes += part.len;
  return part.len;
}

static void
on_done (void *data, BjStatus s, bool sent)
{
  Action *a = data;

  (void)sent;
  if (s == BJ_OK && a->outcome == BJ_NOT_RUN && a->resends_left > 0)
    {
      a->resends_left--;
      ev_timer_init (&a->resend_timer, on_resend, MAX (1, a->head.retry_after_ms) / 1000.0, 0);
      a->resend_timer.data = a;
      ev_timer_start (a->load->loop, &a->resend_timer);
      return;
    }
  count_answer (a, s);
  free_action (a);
}

static void
on_resend (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)loop;
  (void)events;
  send_request (w->data);
}

static void
count_answer (Action *a, BjStatus s)
{
  LoadTrace *t = a->load->trace;
  double latency_ms = bj_clock_now () - a->started;

  if (s != BJ_OK)
    increment_counter (a, G_STRUCT_OFFSET (LoadStats, broken));
  else if (a->is_from_upstream && !a->is_id_repeated)
    increment_counter (a, G_STRUCT_OFFSET (LoadStats, wrong));
  else if (a->is_from_upstream)
    {
      increment_counter (a, G_STRUCT_OFFSET (LoadStats, whole));
      bj_hist_add (&a->load->stats[a->klass].latency, latency_ms);
      if (a->trace_bin != NULL)
        bj_hist_add (&a->trace_bin->latency, latency_ms);
    }
  else if (a->outcome == BJ_NOT_RUN)
    increment_counter (a, G_STRUCT_OFFSET (LoadStats, not_run));
  else
    increment_counter (a, G_STRUCT_OFFSET (LoadStats, unknown));
  if (t != NULL && a->key[0] != '\0')
    g_hash_table_insert (
        t->outcomes,
        g_strdup (a->key),
        GINT_TO_POINTER (1 + (s == BJ_OK && a->is_from_upstream ? BJ_DONE : BJ_UNKNOWN)));
  if (a->load->outcomes_file != NULL && a->key[0] != '\0')
    fprintf (a->load->outcomes_file,
             "%s %s\n",
             a->key,
             s == BJ_OK ? bj_outcome_name (a->outcome) : "unknown");
}

// Increments the LoadStats counter at this offset for the action's class, in total and in its bin.
static void
increment_counter (Action *a, size_t offset)
{
  G_STRUCT_MEMBER (uint64_t, &a->load->stats[a->klass], offset)++;
  if (a->trace_bin != NULL)
    G_STRUCT_MEMBER (uint64_t, a->trace_bin, offset)++;
}

static void
free_action (Action *a)
{
  g_free (a);
}

static int
pick_class (Load *l)
{
  double total = 0;
  double at;

  for (int i = 0; i < l->o->n_classes; i++)
    total += l->o->classes[i].share;
  at = g_rand_double (l->rand) * total;
  for (int i = 0; i < l->o->n_classes; i++)
    {
      at -= l->o->classes[i].share;
      if (at < 0)
        return i;
    }
  return l->o->n_classes - 1;
}

// A UUID of version 7 (RFC 9562): 48 bits of wall time, then random bits.
static void
make_key (Load *l, char *key, size_t size)
{
  uint64_t ms = (uint64_t)bj_clock_wall ();
  guint32 a = g_rand_int (l->rand);
  guint32 b = g_rand_int (l->rand);
  guint32 c = g_rand_int (l->rand);

  g_snprintf (key,
              size,
              "%08x-%04x-7%03x-%04x-%04x%08x",
              (guint32)(ms >> 16),
              (guint32)(ms & 0xffff),
              a & 0xfff,
              0x8000 | ((a >> 12) & 0x3fff),
              b & 0xffff,
              c);
}
