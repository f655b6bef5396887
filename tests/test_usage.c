// The limit of an account must hold over real daemons, with reports over their links: three daemons
// in one process, two of them in one failure domain.

#include "daemons.h"
#include "usage.h"
#include <ev.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define DAEMONS 3
#define JOIN_MS 3000
#define RUN_MS 4000
#define RATE 200.0
#define PER_MS 1 // arrivals at each daemon

typedef struct
{
  struct ev_loop *loop;
  ev_timer timer;
  ev_timer end;
  BjDaemon *daemons[DAEMONS];
  BjTime last;
  BjTime from; // begin of the arrivals
  int n[DAEMONS];
} Run;

static const BjAccount account = { .hash = 5, .rate_per_s = RATE, .burst = 20 };

static void
on_arrivals (struct ev_loop *loop, ev_timer *w, int events)
{
  Run *r = w->data;
  BjTime now = bj_clock_now ();
  double retry_after;

  (void)loop;
  (void)events;
  for (; r->last < now; r->last += 1.0 / PER_MS)
    for (int i = 0; i < DAEMONS; i++)
      r->n[i] += bj_quota_admit (
          bj_usage_quota (r->daemons[i]->usage), r->last, account.hash, &retry_after);
}

static void
on_end (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

static void
run_for (Run *r, double ms)
{
  ev_timer_init (&r->end, on_end, ms / 1000, 0);
  ev_timer_start (r->loop, &r->end);
  ev_run (r->loop, 0);
}

static void
test_daemons (void **state)
{
  static const char *const names[] = { "one", "two", "three" };
  const BjAccount *list[] = { &account };
  Run r = { .loop = ev_default_loop (0) };
  BjAddress seed = daemons_free_address ();
  double bound = RATE * RUN_MS / 1000;
  int sum = 0;

  (void)state;
  for (int i = 0; i < DAEMONS; i++)
    {
      BjSettings s = { .name = bj_str (names[i]),
                       .domain = i < 2 ? BJ_STR ("a") : BJ_STR ("b"),
                       .platform_name = BJ_STR ("memory"),
                       .platform_url = BJ_STR ("usage"),
                       .dialect = BJ_STR ("borage"),
                       .seeds = &seed,
                       .n_seeds = 1 };

      if (i == 0)
        s.gossip = seed;
      r.daemons[i] = daemons_new (r.loop, s);
      bj_usage_configure (r.daemons[i]->usage, list, 1);
    }
  run_for (&r, JOIN_MS);
  r.last = r.from = bj_clock_now ();
  ev_timer_init (&r.timer, on_arrivals, 0, 0.005);
  r.timer.data = &r;
  ev_timer_start (r.loop, &r.timer);
  run_for (&r, RUN_MS);
  ev_timer_stop (r.loop, &r.timer);
  bound = RATE * (r.last - r.from) / 1000;
  for (int i = 0; i < DAEMONS; i++)
    {
      print_message ("%s admitted %d\n", names[i], r.n[i]);
      sum += r.n[i];
    }
  assert_true (sum <= (bound + account.burst) * 1.1 + 20);
  assert_true (sum >= 0.95 * bound);
  // Each has about the same share, which is more than its equal part without any reports.
  for (int i = 0; i < DAEMONS; i++)
    assert_true (r.n[i] > 0.2 * bound);
  for (int i = 0; i < DAEMONS; i++)
    bj_daemon_free (r.daemons[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_daemons) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
