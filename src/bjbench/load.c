// Load: open-loop Poisson arrivals over HTTP. Checks that each answer is whole and the caller's
// own.

#include "bjbench.h"
#include <ev.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 30000
#define BURST_MAX 10000 // arrivals started in one turn after a pause

typedef struct
{
  const LoadOptions *o;
  LoadStats *stats;
  struct ev_loop *loop;
  BjHttp *http;
  ev_timer arrival;
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
  BjHttpHead head;
  bool is_ours;     // every byte so far is of the own answer
  bool is_upstream; // the answer comes from an upstream, not from the layer
  BjOutcome outcome;
  size_t length;
  ev_timer again;
} Action;

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
load_run (const LoadOptions *o, LoadStats *stats)
{
  Load l = { .o = o, .stats = stats, .loop = ev_loop_new (EVFLAG_AUTO) };

  l.http = bj_http_new (l.loop);
  l.rand = g_rand_new_with_seed (o->seed);
  l.started = bj_clock_now ();
  l.next = l.started;
  l.keys = o->executions != NULL ? fopen (o->executions, "w") : NULL;
  ev_timer_init (&l.arrival, on_arrival, 0, 0);
  l.arrival.data = &l;
  ev_timer_start (l.loop, &l.arrival);
  ev_run (l.loop, 0);
  if (l.keys != NULL)
    fclose (l.keys);
  bj_http_free (l.http);
  g_rand_free (l.rand);
  ev_loop_destroy (l.loop);
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
  l->stats[a->klass].actions++;
  send_request (a);
}

static void
send_request (Action *a)
{
  Load *l = a->load;
  const LoadClass *c = &l->o->classes[a->klass];
  const char *target = l->o->targets[l->target++ % l->o->n_targets];
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
  l->stats[a->klass].sent++;
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
  LoadStats *st = &a->load->stats[a->klass];

  if (s != BJ_OK)
    st->broken++;
  else if (a->is_upstream && !a->is_ours)
    st->wrong++;
  else if (a->is_upstream)
    {
      st->whole++;
      bj_hist_add (&st->latency, bj_clock_now () - a->started);
    }
  else if (a->outcome == BJ_NOT_RUN)
    st->not_run++;
  else
    st->unknown++;
  if (a->load->keys != NULL && a->key[0] != '\0')
    fprintf (
        a->load->keys, "%s %s\n", a->key, s == BJ_OK ? bj_outcome_name (a->outcome) : "unknown");
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
