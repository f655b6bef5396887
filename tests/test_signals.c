// What an upstream says of itself in its responses: the rate that it takes from all daemons
// together, and that it leaves. The daemon must act on both, in each dialect, and on nothing that
// it can't read.

#include "daemons.h"
#include "server.h"
#include <curl/curl.h>
#include <ev.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define RUN_MS 5000
#define CALL_INTERVAL_MS 5 // of a caller
#define SERVICE_MS 20      // of the upstream
#define SLOTS 64           // of the upstream, more than the callers use
#define WINDOW_MS 4000     // span in which the calls that reach an upstream are counted
#define EXCESS_SHARE 1.5   // calls allowed in a window, as a multiple of the named rate
#define EXCESS_CALLS 5     // calls allowed beyond that
#define DRAIN_MS 2500      // from the first response that says so until no call may arrive
#define STEP_MS 600        // for daemons to hear of each other, and for calls to end

typedef struct
{
  const char *name;
  const char *dialect;
  const char *header; // of each response of the upstream
  double rate;        // that it names, 0 if none
  bool is_leaving;
} SignalCase;

static const SignalCase cases[] = {
  { "rate, own dialect", "borage", "Bj-Rate-Limit: 20.5", 20.5, false },
  { "rate, platform", "platform", "Server-Limit: 20.5", 20.5, false },
  { "rate below one a second, platform", "platform", "Server-Limit: 0.4", 0.4, false },
  { "leaving, own dialect", "borage", "Bj-Leaving: 1", 0, true },
  { "leaving, platform", "platform", "Server-Leaving: 1", 0, true },
  { "leaving beside an unreadable rate",
    "platform",
    "Server-Limit: many\r\nServer-Leaving: 1",
    0,
    true },
};

#define N_CASES G_N_ELEMENTS (cases)

typedef struct
{
  BjServerRequest *conn;
  BjTime due;
  char id[32];
} Response;

// One daemon with its upstream and a caller.
typedef struct
{
  const SignalCase *c;
  BjDaemon *daemon;
  BjServer *upstream;
  GArray *arrivals;  // BjTime of each request at the upstream
  GArray *responses; // Response, not yet sent
  BjTime first_response;
  int n_sent;
} Site;

typedef struct
{
  BjSink sink; // first member, cast from BjSink*
} Caller;

static void
on_request (void *data, BjServerRequest *conn, const BjHead *h, BjStr body)
{
  Site *s = data;
  BjTime now = bj_clock_now ();
  Response r = { .conn = conn, .due = now + SERVICE_MS };
  BjStr id = bj_header_find (h->headers, "X-Request-Id");

  (void)body;
  g_strlcpy (r.id, id.len > 0 ? id.data : "", MIN (sizeof r.id, id.len + 1));
  g_array_append_val (s->arrivals, now);
  g_array_append_val (s->responses, r);
}

static void
ignore_disconnected (void *call)
{
  (void)call;
}

static void
ignore_drained (void *call, size_t n)
{
  (void)call;
  (void)n;
}

static const BjServerOps upstream_ops
    = { .request = on_request, .disconnected = ignore_disconnected, .drained = ignore_drained };

static void
send_due_responses (Site *s, BjTime now)
{
  while (s->responses->len > 0 && g_array_index (s->responses, Response, 0).due <= now)
    {
      Response r = g_array_index (s->responses, Response, 0);
      char lines[256];

      g_snprintf (lines,
                  sizeof lines,
                  "%s\r\nX-Request-Id: %s\r\nX-Response-Seal: s\r\n",
                  s->c->header,
                  r.id);
      if (s->first_response == 0)
        s->first_response = now;
      g_array_remove_index (s->responses, 0);
      bj_server_begin (r.conn, 200, bj_str (lines), 2);
      bj_server_data (r.conn, BJ_STR ("ok"));
      bj_server_end (r.conn, true);
    }
  bj_server_flush (s->upstream);
}

static void
ignore_begin (BjSink *sink, const BjAnswer *a)
{
  (void)sink;
  (void)a;
}

static size_t
accept_all (BjSink *sink)
{
  (void)sink;
  return SIZE_MAX;
}

static void
ignore_data (BjSink *sink, BjStr part)
{
  (void)sink;
  (void)part;
}

static void
free_caller (BjSink *sink, bool is_complete)
{
  (void)is_complete;
  g_free (sink);
}

static const BjSinkOps caller_ops = { ignore_begin, accept_all, ignore_data, free_caller };

static void
send_call (Site *s)
{
  Caller *caller = g_new0 (Caller, 1);
  char id[32];
  BjRequest r = { .method = BJ_STR ("GET"),
                  .path = BJ_STR ("/s/x"),
                  .klass = -1,
                  .attempts_left = -1,
                  .deadline_ms = 1000 };

  g_snprintf (id, sizeof id, "%d", ++s->n_sent);
  r.id = bj_str (id);
  caller->sink.ops = &caller_ops;
  bj_daemon_handle_call (s->daemon, &r, &caller->sink);
}

static const char config[] = "{\"number\":1,\"priorities\":[\"lookup\"],\"services\":{\"s\":{"
                             "\"limiter\":{\"plugin\":\"slots\"},\"routes\":[{\"prefix\":\"/s/"
                             "\",\"class\":\"lookup\",\"attempts\":0}]}}}";

static void
start_site (Site *s, const SignalCase *c, struct ev_loop *loop)
{
  BjAddress a = daemons_free_address ();

  *s = (Site){ .c = c };
  s->arrivals = g_array_new (FALSE, FALSE, sizeof (BjTime));
  s->responses = g_array_new (FALSE, FALSE, sizeof (Response));
  assert_int_equal (bj_server_new (loop, "upstream", a, &upstream_ops, s, &s->upstream), BJ_OK);
  s->daemon = daemons_new (loop,
                           (BjSettings){ .name = bj_str (c->name),
                                         .platform_name = BJ_STR ("memory"),
                                         .platform_url = bj_str (c->name),
                                         .dialect = bj_str (c->dialect) });
  assert_int_equal (bj_daemon_apply_config (s->daemon, 1, bj_str (config), "test"), BJ_OK);
  assert_int_equal (bj_daemon_handle_announcement (s->daemon,
                                                   &(BjAnnouncement){ .id = BJ_STR ("up"),
                                                                      .service = BJ_STR ("s"),
                                                                      .address = a,
                                                                      .slots = SLOTS }),
                    BJ_OK);
}

static void
free_site (Site *s)
{
  bj_daemon_free (s->daemon);
  bj_server_free (s->upstream);
  g_array_free (s->arrivals, TRUE);
  g_array_free (s->responses, TRUE);
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  Site *sites = w->data;

  (void)loop;
  (void)events;
  for (size_t i = 0; i < N_CASES; i++)
    {
      send_call (&sites[i]);
      send_due_responses (&sites[i], bj_clock_now ());
    }
}

// Most requests in any window that begins after the first response.
static int
count_most_arrivals (const Site *s)
{
  const BjTime *at = (const BjTime *)s->arrivals->data;
  int most = 0;

  for (guint i = 0; i < s->arrivals->len; i++)
    {
      guint end = i;

      while (end < s->arrivals->len && at[end] < at[i] + WINDOW_MS)
        end++;
      if (at[i] >= s->first_response)
        most = MAX (most, (int)(end - i));
    }
  return most;
}

static int
count_arrivals_after (const Site *s, BjTime from)
{
  int n = 0;

  for (guint i = 0; i < s->arrivals->len; i++)
    n += g_array_index (s->arrivals, BjTime, i) > from;
  return n;
}

static int
check_site (const Site *s)
{
  const SignalCase *c = s->c;
  int allowed = c->is_leaving ? 0 : (int)(EXCESS_SHARE * c->rate * WINDOW_MS / 1000) + EXCESS_CALLS;
  int n = c->is_leaving ? count_arrivals_after (s, s->first_response + DRAIN_MS)
                        : count_most_arrivals (s);

  print_message ("  %s: %d of %d calls reached the upstream; %d where %d are allowed\n",
                 c->name,
                 (int)s->arrivals->len,
                 s->n_sent,
                 n,
                 allowed);
  return n > allowed || s->arrivals->len == 0;
}

static void
test_upstream_gets_more_than_it_asks_for (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  Site sites[N_CASES];
  BjTime until;
  ev_timer tick;
  int n_failed = 0;

  (void)state;
  for (size_t i = 0; i < N_CASES; i++)
    start_site (&sites[i], &cases[i], loop);
  ev_timer_init (&tick, on_tick, 0, CALL_INTERVAL_MS / 1000.0);
  tick.data = sites;
  ev_timer_start (loop, &tick);
  until = bj_clock_now () + RUN_MS;
  while (bj_clock_now () < until)
    ev_run (loop, EVRUN_ONCE);
  ev_timer_stop (loop, &tick);
  for (size_t i = 0; i < N_CASES; i++)
    {
      n_failed += check_site (&sites[i]);
      free_site (&sites[i]);
    }
  ev_loop_destroy (loop);
  assert_int_equal (n_failed, 0);
}

typedef struct
{
  const char *name;
  const char *rate; // value of the header, NULL if absent
  const char *second_rate;
  const char *leaving;
  double expected_rate; // -1 for none
  bool is_leaving;
  bool is_unreadable;
} HeaderCase;

static const HeaderCase header_cases[] = {
  { "nothing", NULL, NULL, NULL, -1, false, false },
  { "whole number", "40", NULL, NULL, 40, false, false },
  { "fraction", "32.6", NULL, NULL, 32.6, false, false },
  { "below one", "0.25", NULL, NULL, 0.25, false, false },
  { "zero", "0", NULL, NULL, 0, false, false },
  { "empty", "", NULL, NULL, -1, false, true },
  { "negative", "-1", NULL, NULL, -1, false, true },
  { "no number", "many", NULL, NULL, -1, false, true },
  { "number and text", "40/s", NULL, NULL, -1, false, true },
  { "not finite", "inf", NULL, NULL, -1, false, true },
  { "not a number", "nan", NULL, NULL, -1, false, true },
  { "hexadecimal", "0x10", NULL, NULL, -1, false, true },
  { "exponent", "1e3", NULL, NULL, -1, false, true },
  { "no digit after the point", "4.", NULL, NULL, -1, false, true },
  { "too large", "9999999999", NULL, NULL, -1, false, true },
  { "too long", "0.0000000000000000000000000000000001", NULL, NULL, -1, false, true },
  { "given twice", "40", "50", NULL, 40, false, true },
  { "leaving", NULL, NULL, "1", -1, true, false },
  { "not leaving", NULL, NULL, "0", -1, false, false },
  { "leaving in another form", NULL, NULL, "yes", -1, false, true },
  { "rate and leaving", "5", NULL, "1", 5, true, false },
};

static void
check_headers (const HeaderCase *c, const char *dialect, const char *rate, const char *leaving)
{
  const BjDialectOps *ops = bj_plugin_find (BJ_PLUGIN_DIALECT, bj_str (dialect));
  BjCall call = { .request = { .id = BJ_STR ("7") } };
  GString *headers = g_string_new ("X-Request-Id: 7\nX-Response-Seal: s\n");
  GString *relayed = g_string_new (NULL);
  BjHead h = { .status = 200 };
  BjAnswer a = { 0 };
  const BjUpstreamState *s = &a.upstream;

  if (c->rate != NULL)
    g_string_append_printf (headers, "%s: %s\n", rate, c->rate);
  if (c->second_rate != NULL)
    g_string_append_printf (headers, "%s: %s\n", rate, c->second_rate);
  if (c->leaving != NULL)
    g_string_append_printf (headers, "%s: %s\n", leaving, c->leaving);
  h.headers = (BjStr){ headers->str, headers->len };
  assert_int_equal (ops->read_run (&call, &h, &a, relayed), BJ_OK);
  if (s->is_unreadable != c->is_unreadable || s->is_leaving != c->is_leaving
      || (s->has_rate ? s->rate : -1) != c->expected_rate || strstr (relayed->str, rate) != NULL)
    fail_msg ("%s, dialect %s: rate %g, leaving %d, unreadable %d",
              c->name,
              dialect,
              s->has_rate ? s->rate : -1,
              s->is_leaving,
              s->is_unreadable);
  g_string_free (headers, TRUE);
  g_string_free (relayed, TRUE);
}

// Read alike in both dialects, and not relayed to callers.
static void
test_unreadable_signals (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (header_cases); i++)
    {
      check_headers (&header_cases[i], "borage", "Bj-Rate-Limit", "Bj-Leaving");
      check_headers (&header_cases[i], "platform", "server-limit", "SERVER-LEAVING");
    }
}

static const SignalCase silent_case = { "departed", "platform", "X-Y: z", 0, false };

static void
run_for (struct ev_loop *loop, Site *s, double ms)
{
  BjTime until = bj_clock_now () + ms;

  while (bj_clock_now () < until)
    {
      ev_run (loop, EVRUN_NOWAIT);
      send_due_responses (s, bj_clock_now ());
      g_usleep (1000);
    }
}

static BjDaemon *
start_departed (struct ev_loop *loop, const BjSettings *settings, BjAddress upstream)
{
  BjDaemon *d = daemons_new (loop, *settings);

  assert_int_equal (bj_daemon_apply_config (d, 1, bj_str (config), "test"), BJ_OK);
  assert_int_equal (bj_daemon_handle_announcement (d,
                                                   &(BjAnnouncement){ .id = BJ_STR ("up"),
                                                                      .service = BJ_STR ("s"),
                                                                      .address = upstream,
                                                                      .slots = SLOTS }),
                    BJ_OK);
  return d;
}

// The upstream announces its stop, and no response follows. The daemon beside it is restarted, and
// the upstream still announces itself. A daemon that had a connection must not send calls there.
static void
test_departed_upstream_is_used_again_after_a_restart (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjAddress address = daemons_free_address ();
  BjSettings guard_settings = { .name = BJ_STR ("guard"),
                                .front = daemons_free_address (),
                                .admin = daemons_free_address (),
                                .link = daemons_free_address (),
                                .gossip = daemons_free_address (),
                                .platform_name = BJ_STR ("memory"),
                                .platform_url = BJ_STR ("departed"),
                                .dialect = BJ_STR ("platform") };
  Site s = { .c = &silent_case };
  BjDaemon *guard;
  int n_before;

  (void)state;
  s.arrivals = g_array_new (FALSE, FALSE, sizeof (BjTime));
  s.responses = g_array_new (FALSE, FALSE, sizeof (Response));
  assert_int_equal (bj_server_new (loop, "upstream", address, &upstream_ops, &s, &s.upstream),
                    BJ_OK);
  guard = start_departed (loop, &guard_settings, address);
  s.daemon = daemons_new (loop,
                          (BjSettings){ .name = BJ_STR ("front"),
                                        .seeds = &guard_settings.gossip,
                                        .n_seeds = 1,
                                        .platform_name = BJ_STR ("memory"),
                                        .platform_url = BJ_STR ("departed"),
                                        .dialect = BJ_STR ("platform") });
  assert_int_equal (bj_daemon_apply_config (s.daemon, 1, bj_str (config), "test"), BJ_OK);
  run_for (loop, &s, STEP_MS);
  send_call (&s);
  run_for (loop, &s, STEP_MS);
  assert_int_equal (s.arrivals->len, 1);

  assert_int_equal (bj_daemon_handle_announcement (
                        guard, &(BjAnnouncement){ .id = BJ_STR ("up"), .is_shutting_down = true }),
                    BJ_OK);
  run_for (loop, &s, STEP_MS);
  bj_daemon_free (guard);
  guard = start_departed (loop, &guard_settings, address);
  run_for (loop, &s, 2 * STEP_MS);
  n_before = (int)s.arrivals->len;
  for (int i = 0; i < 5; i++)
    send_call (&s);
  run_for (loop, &s, STEP_MS);
  assert_int_equal (s.arrivals->len - (guint)n_before, 0);
  bj_daemon_free (guard);
  free_site (&s);
  ev_loop_destroy (loop);
}

// An upstream, announcements at the daemon beside it, and calls, one letter a step.
typedef struct
{
  const char *name;
  const char *instance; // id of the upstream
  bool names_itself;    // in a response to a request for another instance
  const char *steps;    // J, K: announcement of j, or of k, which started later; D: of j, draining;
                        // X: departure of j; c: call
  const char *results;  // 2: accepted or served; 4: rejected; n: not run
} InstanceCase;

static const InstanceCase instance_cases[] = {
  { "one start", "j", true, "JcJc", "2222" },
  { "another start", "k", true, "JKcKc", "22222" },
  { "late announcement of the start before", "k", true, "JKcJc", "22242" },
  { "another writer announces k", "j", true, "JcKcJc", "222n22" },
  { "the same, again before the upstream", "j", true, "JKcKcJc", "22n2n22" },
  { "the same, twice", "j", true, "JKcJcKcJc", "22n222n22" },
  { "no call since", "j", true, "JKJcJc", "224n22" },
  { "the upstream drains", "j", true, "DcKcDc", "2n2n2n" },
  { "the upstream departs", "j", true, "JKcXJc", "22n24n" },
  { "the upstream doesn't name itself", "j", false, "JKcJc", "22n4n" },
};

typedef struct
{
  const InstanceCase *c;
  struct ev_loop *loop;
  BjDaemon *daemon;
  BjServer *upstream;
  BjAddress address;
  int sequence;
  int n_runs;
} InstanceSite;

typedef struct
{
  BjSink sink; // first member, cast from BjSink*
  BjOutcome outcome;
  bool has_ended;
} OneCaller;

static void
on_instance_request (void *data, BjServerRequest *conn, const BjHead *h, BjStr body)
{
  InstanceSite *s = data;
  BjStr id = bj_header_find (h->headers, "X-Request-Id");
  BjStr expected = bj_header_find (h->headers, "X-Expect-Instance");
  bool is_expected = bj_str_equal (expected, bj_str (s->c->instance));
  char lines[128];

  (void)body;
  s->n_runs += is_expected;
  g_snprintf (lines,
              sizeof lines,
              "X-Request-Id: %.*s\r\n%s%s\r\n",
              BJ_STR_ARG (id),
              is_expected || s->c->names_itself ? "X-Instance-Id: " : "X-Y: ",
              s->c->instance);
  if (is_expected)
    g_strlcat (lines, "X-Response-Seal: s\r\n", sizeof lines);
  bj_server_begin (conn, is_expected ? 200 : 421, bj_str (lines), 0);
  bj_server_end (conn, true);
}

static void
keep_outcome (BjSink *sink, const BjAnswer *a)
{
  ((OneCaller *)sink)->outcome = a->outcome;
}

static void
note_end (BjSink *sink, bool is_complete)
{
  (void)is_complete;
  ((OneCaller *)sink)->has_ended = true;
}

static char
run_instance_step (InstanceSite *s, char step)
{
  static const BjServerOps upstream = { .request = on_instance_request,
                                        .disconnected = ignore_disconnected,
                                        .drained = ignore_drained };
  static const BjSinkOps ops = { keep_outcome, accept_all, ignore_data, note_end };
  BjAnnouncement a = { .id = step == 'K' ? BJ_STR ("k") : BJ_STR ("j"),
                       .service = BJ_STR ("s"),
                       .address = s->address,
                       .slots = SLOTS,
                       .draining = step == 'D',
                       .is_leaving = step == 'D',
                       .is_shutting_down = step == 'X',
                       .sequence = ++s->sequence,
                       .started_ms = step == 'K' ? 2000 : 1000 };
  OneCaller caller = { .sink = { &ops } };
  BjRequest r = { .method = BJ_STR ("POST"),
                  .path = BJ_STR ("/s/x"),
                  .id = BJ_STR ("7"),
                  .klass = -1,
                  .attempts_left = -1,
                  .deadline_ms = 1000 };

  if (s->upstream == NULL)
    assert_int_equal (bj_server_new (s->loop, "up", s->address, &upstream, s, &s->upstream), BJ_OK);
  if (step != 'c')
    return bj_daemon_handle_announcement (s->daemon, &a) == BJ_OK ? '2' : '4';
  bj_daemon_handle_call (s->daemon, &r, &caller.sink);
  while (!caller.has_ended)
    {
      ev_run (s->loop, EVRUN_ONCE);
      bj_server_flush (s->upstream);
    }
  return caller.outcome == BJ_DONE ? '2' : caller.outcome == BJ_NOT_RUN ? 'n' : 'u';
}

// An announcement of another writer, with another id and a later start time, must not shut out the
// upstream, whose own announcements come after it.
static void
test_announcement_of_another_instance (void **state)
{
  int n_wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (instance_cases); i++)
    {
      const InstanceCase *c = &instance_cases[i];
      InstanceSite s = { .c = c, .loop = ev_loop_new (0), .address = daemons_free_address () };
      GString *results = g_string_new (NULL);
      int n_served = 0;

      s.daemon = daemons_new (s.loop,
                              (BjSettings){ .platform_name = BJ_STR ("memory"),
                                            .platform_url = bj_str (c->name),
                                            .dialect = BJ_STR ("platform") });
      assert_int_equal (bj_daemon_apply_config (s.daemon, 1, bj_str (config), "test"), BJ_OK);
      for (const char *step = c->steps; *step != 0; step++)
        {
          char result = run_instance_step (&s, *step);

          g_string_append_c (results, result);
          n_served += *step == 'c' && result == '2';
        }
      if (strcmp (results->str, c->results) != 0 || s.n_runs != n_served)
        {
          n_wrong++;
          print_error ("%s: %s gives %s with %d runs, expected %s\n",
                       c->name,
                       c->steps,
                       results->str,
                       s.n_runs,
                       c->results);
        }
      g_string_free (results, TRUE);
      bj_daemon_free (s.daemon);
      bj_server_free (s.upstream);
      ev_loop_destroy (s.loop);
    }
  assert_int_equal (n_wrong, 0);
}

// An upstream that gives no id leaves, and another start of it announces itself in the same way. It
// must count as another start once announcements are missed, not as leaving for ever.
static void
test_leaving_upstream_without_an_id (void **state)
{
  BjAnnouncement a = { .service = BJ_STR ("s"), .address = daemons_free_address (), .slots = 4 };
  struct ev_loop *loop = ev_loop_new (0);
  BjDaemon *d = daemons_new (loop,
                             (BjSettings){ .platform_name = BJ_STR ("memory"),
                                           .platform_url = BJ_STR ("no-id"),
                                           .dialect = BJ_STR ("borage") });
  BjTime announced;

  (void)state;
  assert_int_equal (bj_daemon_apply_config (d, 1, bj_str (config), "test"), BJ_OK);
  assert_int_equal (bj_daemon_handle_announcement (d, &a), BJ_OK);
  announced = d->announced;
  bj_kernel_upstream_leaves (d->kernel, bj_clock_now ());
  g_usleep (2000);
  assert_int_equal (bj_daemon_handle_announcement (d, &a), BJ_OK);
  assert_true (d->announced == announced && bj_kernel_upstream (d->kernel)->is_leaving);
  bj_daemon_mark_upstream_down (d);
  assert_int_equal (bj_daemon_handle_announcement (d, &a), BJ_OK);
  assert_false (bj_kernel_upstream (d->kernel)->is_leaving);
  bj_daemon_free (d);
  ev_loop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_upstream_gets_more_than_it_asks_for),
          cmocka_unit_test (test_unreadable_signals),
          cmocka_unit_test (test_departed_upstream_is_used_again_after_a_restart),
          cmocka_unit_test (test_announcement_of_another_instance),
          cmocka_unit_test (test_leaving_upstream_without_an_id) };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
