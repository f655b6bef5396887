// The outcome that a caller gets after failed attempts: "not-run" only if none of them may have
// run. A wrong "not-run" would make the caller repeat work that ran.

#include "boragejunction.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define ATTEMPTS_MAX 3

static const char config[]
    = "{\"number\":1,\"priorities\":[\"acceptance\"],\"services\":{\"orders\":{\"routes\":["
      "{\"prefix\":\"/accept\",\"class\":\"acceptance\",\"deadline_ms\":500,\"irreversible\":true},"
      "{\"prefix\":\"/\",\"class\":\"acceptance\",\"deadline_ms\":500}],"
      "\"retry\":{\"plugin\":\"naive\"}}}}";

typedef enum
{
  END_NONE,
  END_LOST_UNKNOWN,
  END_LOST_NOT_RUN,
  END_REFUSED, // the peer refused the call without running it
  END_ANSWERED_UNKNOWN,
  END_DEADLINE,
  END_CLAIM_LATE,    // the claim becomes durable only after the deadline
  END_CLAIM_STOPPED, // the claim becomes durable late in a stop of the daemon
  END_UNCLAIMED,     // the process ends before the claim is durable
  END_PROCESS,       // the process ends
  LATE_IN_STOP,      // no end: from now on it is late in a stop
} AttemptEnd;

typedef struct
{
  const char *name;
  const char *path;
  AttemptEnd ends[ATTEMPTS_MAX];
  BjOutcome expected;
  int n_attempts; // expected
} Case;

static const Case cases[] = {
  { "refused everywhere", "/x", { END_REFUSED, END_REFUSED }, BJ_NOT_RUN, 2 },
  { "lost, then refused", "/x", { END_LOST_UNKNOWN, END_REFUSED }, BJ_UNKNOWN, 2 },
  { "peer reports unknown, then refused",
    "/x",
    { END_ANSWERED_UNKNOWN, END_REFUSED },
    BJ_UNKNOWN,
    2 },
  { "not sent, then refused", "/x", { END_LOST_NOT_RUN, END_REFUSED }, BJ_NOT_RUN, 2 },
  { "lost, then deadline", "/x", { END_LOST_UNKNOWN, END_DEADLINE }, BJ_UNKNOWN, 2 },
  { "deadline while it runs", "/x", { END_DEADLINE }, BJ_UNKNOWN, 1 },
  { "irreversible, lost", "/accept", { END_LOST_UNKNOWN }, BJ_UNKNOWN, 1 },
  { "irreversible, peer reports unknown", "/accept", { END_ANSWERED_UNKNOWN }, BJ_UNKNOWN, 1 },
  { "irreversible, refused everywhere", "/accept", { END_REFUSED, END_REFUSED }, BJ_NOT_RUN, 2 },
  { "irreversible, deadline while it runs", "/accept", { END_DEADLINE }, BJ_UNKNOWN, 1 },
  { "irreversible, claim granted after the deadline",
    "/accept",
    { END_CLAIM_LATE },
    BJ_NOT_RUN,
    0 },
  { "process ends while it runs", "/x", { END_PROCESS }, BJ_UNKNOWN, 1 },
  { "lost, then the process ends", "/x", { END_LOST_UNKNOWN, END_PROCESS }, BJ_UNKNOWN, 2 },
  { "refused late in a stop", "/x", { LATE_IN_STOP, END_REFUSED, END_REFUSED }, BJ_NOT_RUN, 2 },
  { "irreversible, process ends while it runs", "/accept", { END_PROCESS }, BJ_UNKNOWN, 1 },
  { "irreversible, process ends before its claim", "/accept", { END_UNCLAIMED }, BJ_NOT_RUN, 0 },
  { "irreversible, claimed late in a stop", "/accept", { END_CLAIM_STOPPED }, BJ_NOT_RUN, 0 },
  { "irreversible, refused late in a stop",
    "/accept",
    { LATE_IN_STOP, END_REFUSED },
    BJ_NOT_RUN,
    1 },
};

typedef struct
{
  BjHost host; // first member, callbacks cast it to FakeHost
  BjCall *call;
  int n_sent;
  int n_answers;
  BjAnswer final_answer;
} FakeHost;

static void
send_peer (BjHost *h, BjCall *c, BjPeer *p)
{
  FakeHost *host = (FakeHost *)h;

  (void)p;
  host->call = c;
  host->n_sent++;
}

static void
answer (BjHost *h, BjCall *c, const BjAnswer *a)
{
  FakeHost *host = (FakeHost *)h;

  (void)c;
  host->final_answer = *a;
  host->n_answers++;
}

static void
claim (BjHost *h, BjCall *c)
{
  ((FakeHost *)h)->call = c;
}

static void
do_nothing (BjHost *h, BjCall *c)
{
  (void)h;
  (void)c;
}

static const BjHostOps host_ops = { send_peer, do_nothing, do_nothing, answer, claim, do_nothing };

static void
add_peer (BjKernel *k, const char *name)
{
  BjPeerReport r = { .name = bj_str (name),
                     .domain = BJ_STR ("north-a"),
                     .region = BJ_STR ("north"),
                     .service = BJ_STR ("orders"),
                     .host = BJ_STR ("127.0.0.1"),
                     .gossip_host = BJ_STR ("127.0.0.1"),
                     .incarnation = 1,
                     .version = 1,
                     .limit = 8 };

  bj_kernel_update_peer (k, 0, &r);
}

static void
end_attempt (BjKernel *k, FakeHost *h, AttemptEnd e)
{
  BjAnswer a = { .code = BJ_E_OVERLOAD, .outcome = BJ_NOT_RUN, .attempts_left = -1 };

  if (e == END_LOST_UNKNOWN)
    bj_kernel_call_lost (k, 10, h->call, BJ_E_LOST, BJ_UNKNOWN);
  else if (e == END_LOST_NOT_RUN)
    bj_kernel_call_lost (k, 10, h->call, BJ_E_LOST, BJ_NOT_RUN);
  else if (e == END_REFUSED)
    bj_kernel_answer_begin (k, 10, h->call, &a);
  else if (e == END_DEADLINE)
    bj_kernel_tick (k, 1000);
  else if (e == END_PROCESS)
    {
      bj_kernel_set_end (k, 20);
      bj_kernel_tick (k, 20);
    }
  else if (e == LATE_IN_STOP)
    bj_kernel_stop_irreversible (k);
  else if (e == END_ANSWERED_UNKNOWN)
    {
      a.outcome = BJ_UNKNOWN;
      bj_kernel_answer_begin (k, 10, h->call, &a);
    }
}

static void
run_case (const Case *c)
{
  FakeHost h = { .host = { &host_ops } };
  BjKernelOptions o = { .self = { .name = BJ_STR ("me"), .domain = BJ_STR ("north-a") },
                        .host = &h.host,
                        .seed = 1 };
  BjRequest r = { .method = BJ_STR ("POST"),
                  .path = bj_str (c->path),
                  .key = BJ_STR ("key"),
                  .klass = -1,
                  .attempts_left = -1 };
  BjKernel *k = bj_kernel_new (&o, 0);
  BjConfig *parsed;

  assert_int_equal (bj_config_parse (bj_str (config), &parsed), BJ_OK);
  bj_kernel_set_config (k, 0, parsed);
  add_peer (k, "one");
  add_peer (k, "two");
  bj_kernel_arrive (k, 0, &r, NULL);
  if (c->ends[0] == END_CLAIM_STOPPED)
    bj_kernel_stop_irreversible (k);
  if (c->ends[0] == END_UNCLAIMED)
    end_attempt (k, &h, END_PROCESS);
  else if (c->ends[0] == END_CLAIM_LATE)
    bj_kernel_claimed (k, 1000, h.call, NULL);
  else if (h.n_sent == 0)
    bj_kernel_claimed (k, 1, h.call, NULL);
  for (int i = 0; i < ATTEMPTS_MAX; i++)
    end_attempt (k, &h, c->ends[i]);
  if (h.n_answers == 0)
    bj_kernel_tick (k, 1000);
  print_message ("  %s: outcome %s after %d attempts\n",
                 c->name,
                 bj_outcome_name (h.final_answer.outcome),
                 h.n_sent);
  assert_int_equal (h.n_answers, 1);
  assert_int_equal (h.n_sent, c->n_attempts);
  assert_int_equal (h.final_answer.outcome, c->expected);
  bj_kernel_free (k);
}

static void
test_outcome_after_attempts (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    run_case (&cases[i]);
}

// A daemon without a configuration can't know whether a route exists, so it refuses with 503 and a
// retry-after time.
static void
test_before_the_first_configuration (void **state)
{
  FakeHost h = { .host = { &host_ops } };
  BjKernelOptions o = { .self = { .name = BJ_STR ("me") }, .host = &h.host, .seed = 1 };
  BjRequest r
      = { .method = BJ_STR ("GET"), .path = BJ_STR ("/x"), .klass = -1, .attempts_left = -1 };
  BjKernel *k = bj_kernel_new (&o, 0);

  (void)state;
  bj_kernel_arrive (k, 0, &r, NULL);
  assert_int_equal (h.n_answers, 1);
  assert_int_equal (h.final_answer.http_status, 503);
  assert_int_equal (h.final_answer.outcome, BJ_NOT_RUN);
  assert_true (h.final_answer.retry_after_ms > 0);
  bj_kernel_free (k);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_outcome_after_attempts),
    cmocka_unit_test (test_before_the_first_configuration),
  };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
