// Load: open-loop Poisson arrivals over HTTP. Checks that each answer is whole and the caller's
// own.

#include "bjbench.h"
#include <ev.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 30000
#define BURST_MAX 10000 // arrivals started in one turn after a pause
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
  BjTime next;
  uint64_t n_ids;
  uint64_t n_open;
  int target;
  FILE *keys;
} Load;

typedef struct
{
  Load *load;
  int klass;
  char id[32];
  char key[40];
  int resends_left;
  BjTime started; // of the first request
  LoadStats *bin; // NULL without a trace
  BjHttpHead head;
  bool is_ours;     // every byte so far is of the own answer
  bool is_upstream; // the answer comes from an upstream, not from the layer
  BjOutcome outcome;
  size_t length;
  ev_timer again;
} Action;

typedef struct
{
  int64_t *runs; // NULL when the answer is of no interest
  GString *text;
} Control;

static void open_load (Load *l);
static void close_load (Load *l);
static void find_class_targets (Load *l);
static void on_event (struct ev_loop *loop, ev_timer *w, int events);
static void arm_event (Load *l);
static void apply_event (Load *l, const LoadEvent *e);
static void on_sample (struct ev_loop *loop, ev_timer *w, int events);
static void
control (Load *l, const BenchNode *n, const char *method, const char *path, int64_t *runs);
static size_t control_body (void *data, BjStr part);
static void control_done (void *data, BjStatus s, bool sent);
static const char *next_target (Load *l, int klass);
static void tally (Action *a, size_t field);
static void on_arrival (struct ev_loop *loop, ev_timer *w, int events);
static void arm (Load *l);
static void start_action (Load *l);
static void send_request (Action *a);
static void on_head (void *data, const BjHttpHead *h);
static size_t on_body (void *data, BjStr part);
static void on_done (void *data, BjStatus s, bool sent);
static void on_again (struct ev_loop *loop, ev_timer *w, int events);
static void count (Action *a, BjStatus s);
static void end_action (Action *a);
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
  into->sent += from->sent;
  into->actions += from->actions;
  into->whole += from->whole;
  into->not_run += from->not_run;
  into->unknown += from->unknown;
  into->wrong += from->wrong;
  into->broken += from->broken;
  bj_hist_merge (&into->latency, &from->latency);
}

void
load_print (const LoadOptions *o, const LoadStats *stats)
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
              s->sent,
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
  l->next = l->started;
  l->keys = l->o->executions != NULL ? fopen (l->o->executions, "w") : NULL;
  find_class_targets (l);
  ev_timer_init (&l->arrival, on_arrival, 0, 0);
  ev_timer_init (&l->event, on_event, 0, 0);
  ev_timer_init (&l->sample, on_sample, 0, l->o->sample_ms / 1000.0);
  l->arrival.data = l->event.data = l->sample.data = l;
  ev_timer_start (l->loop, &l->arrival);
  arm_event (l);
  if (l->o->sample_ms > 0 && l->trace != NULL)
    ev_timer_start (l->loop, &l->sample);
}

static void
close_load (Load *l)
{
  if (l->keys != NULL)
    fclose (l->keys);
  for (int i = 0; i < BENCH_CLASSES_MAX; i++)
    for (int j = 0; j < l->n_class_targets[i]; j++)
      g_free (l->class_targets[i][j]);
  bj_http_free (l->http);
  g_rand_free (l->rand);
  ev_loop_destroy (l->loop);
}

// The daemons of a class' domain that stand beside other services, so that calls are routed.
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
next_target (Load *l, int klass)
{
  if (l->n_class_targets[klass] == 0)
    return l->o->targets[l->target++ % l->o->n_targets];
  return l->class_targets[klass][l->next_class_target[klass]++ % (guint)l->n_class_targets[klass]];
}

static void
on_event (struct ev_loop *loop, ev_timer *w, int events)
{
  Load *l = w->data;

  (void)loop;
  (void)events;
  apply_event (l, &l->o->events[l->next_event++]);
  arm_event (l);
}

static void
arm_event (Load *l)
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

      if (!node_matches (n, e->what) || strcmp (n->service, "front") == 0)
        continue;
      if (e->control == NULL)
        {
          kill (n->upstream, SIGKILL);
          kill (n->daemon, SIGKILL);
          continue;
        }
      g_snprintf (path, sizeof path, "/control/%s?value=%" G_GINT64_FORMAT, e->control, e->value);
      control (l, n, "POST", path, NULL);
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
      l->trace->runs[j][i] = i > 0 ? l->trace->runs[j][i - 1] : 0;
      control (l, &l->o->nodes->nodes[j], "GET", "/control/stats", &l->trace->runs[j][i]);
    }
  l->trace->n_samples++;
}

static void
control (Load *l, const BenchNode *n, const char *method, const char *path, int64_t *runs)
{
  Control *c = g_new0 (Control, 1);
  char *url = g_strdup_printf ("http://127.0.0.1:%d%s", n->upstream_port, path);

  c->runs = runs;
  c->text = g_string_new (NULL);
  bj_http_start (l->http,
                 &(BjHttpOptions){
                     .method = method,
                     .url = url,
                     .timeout_ms = CONTROL_TIMEOUT_MS,
                     .body_part = control_body,
                     .done = control_done,
                     .data = c,
                 });
  g_free (url);
}

static size_t
control_body (void *data, BjStr part)
{
  g_string_append_len (((Control *)data)->text, part.data, (gssize)part.len);
  return part.len;
}

static void
control_done (void *data, BjStatus s, bool sent)
{
  Control *c = data;

  (void)sent;
  if (s == BJ_OK && c->runs != NULL && g_str_has_prefix (c->text->str, "run "))
    *c->runs = g_ascii_strtoll (c->text->str + strlen ("run "), NULL, 10);
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
  for (int i = 0; i < BURST_MAX && l->next <= now; i++)
    {
      if (l->next - l->started >= l->o->duration_ms)
        return;
      start_action (l);
      l->next += -log (1 - g_rand_double (l->rand)) * 1000.0 / l->o->rate;
    }
  arm (l);
}

static void
arm (Load *l)
{
  if (l->next - l->started >= l->o->duration_ms)
    return;
  ev_timer_set (&l->arrival, MAX (0, l->next - bj_clock_now ()) / 1000.0, 0);
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

      a->bin = &l->trace->bins[a->klass][MIN (bin, BENCH_BINS_MAX - 1)];
    }
  tally (a, G_STRUCT_OFFSET (LoadStats, actions));
  send_request (a);
}

static void
send_request (Action *a)
{
  Load *l = a->load;
  const LoadClass *c = &l->o->classes[a->klass];
  const char *target = next_target (l, a->klass);
  char *url = g_strdup_printf (
      "http://%s%s%cid=%s", target, c->path, strchr (c->path, '?') ? '&' : '?', a->id);
  char key[64];
  const char *headers[2] = { NULL, NULL };

  g_snprintf (key, sizeof key, "Idempotency-Key: %s", a->key);
  if (c->has_key)
    headers[0] = key;
  a->length = 0;
  a->is_ours = true;
  a->outcome = BJ_UNKNOWN;
  a->is_upstream = false;
  tally (a, G_STRUCT_OFFSET (LoadStats, sent));
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
  a->is_upstream = h->status == 200;
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

  for (size_t i = 0; i < part.len && a->is_ours && a->is_upstream; i++)
    {
      size_t at = (a->length + i) % (n + 1);

      a->is_ours = part.data[i] == (at == n ? ' ' : a->id[at]);
    }
  a->length += part.len;
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
      ev_timer_init (&a->again, on_again, MAX (1, a->head.retry_after_ms) / 1000.0, 0);
      a->again.data = a;
      ev_timer_start (a->load->loop, &a->again);
      return;
    }
  count (a, s);
  end_action (a);
}

static void
on_again (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)loop;
  (void)events;
  send_request (w->data);
}

static void
count (Action *a, BjStatus s)
{
  LoadTrace *t = a->load->trace;
  double latency_ms = bj_clock_now () - a->started;

  if (s != BJ_OK)
    tally (a, G_STRUCT_OFFSET (LoadStats, broken));
  else if (a->is_upstream && !a->is_ours)
    tally (a, G_STRUCT_OFFSET (LoadStats, wrong));
  else if (a->is_upstream)
    {
      tally (a, G_STRUCT_OFFSET (LoadStats, whole));
      bj_hist_add (&a->load->stats[a->klass].latency, latency_ms);
      if (a->bin != NULL)
        bj_hist_add (&a->bin->latency, latency_ms);
    }
  else if (a->outcome == BJ_NOT_RUN)
    tally (a, G_STRUCT_OFFSET (LoadStats, not_run));
  else
    tally (a, G_STRUCT_OFFSET (LoadStats, unknown));
  if (t != NULL && a->key[0] != '\0')
    g_hash_table_insert (
        t->outcomes,
        g_strdup (a->key),
        GINT_TO_POINTER (1 + (s == BJ_OK && a->is_upstream ? BJ_DONE : BJ_UNKNOWN)));
  if (a->load->keys != NULL && a->key[0] != '\0')
    fprintf (
        a->load->keys, "%s %s\n", a->key, s == BJ_OK ? bj_outcome_name (a->outcome) : "unknown");
}

// Adds one to a counter of the action's class, in all and in its bin.
static void
tally (Action *a, size_t field)
{
  G_STRUCT_MEMBER (uint64_t, &a->load->stats[a->klass], field)++;
  if (a->bin != NULL)
    G_STRUCT_MEMBER (uint64_t, a->bin, field)++;
}

static void
end_action (Action *a)
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
