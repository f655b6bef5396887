// A daemon whose peer stops reading while a response from it has begun: the connection is replaced,
// and the calls behind it are sent elsewhere or answered.

#include "daemons.h"
#include "kernel.h"
#include <curl/curl.h>
#include <ev.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define LARGE_BODY_BYTES (32 * 1024 * 1024) // more than the buffers of a connection
#define ANSWER_MS 5000                      // until the caller is answered
#define READ_MS 500                         // without bytes until all that was sent is read
#define QUEUED_PATH "/s/queued-call"

typedef struct
{
  BjSink base; // first member, cast from BjSink*
  bool has_begun;
  bool has_ended;
  BjAnswer answer;
} Caller;

static void
on_begin (BjSink *s, const BjAnswer *a)
{
  ((Caller *)s)->has_begun = true;
  ((Caller *)s)->answer = *a;
}

static size_t
on_room (BjSink *s)
{
  (void)s;
  return SIZE_MAX;
}

static void
on_data (BjSink *s, BjStr part)
{
  (void)s;
  (void)part;
}

static void
on_end (BjSink *s, bool is_complete)
{
  (void)is_complete;
  ((Caller *)s)->has_ended = true;
}

static const BjSinkOps caller_ops = { on_begin, on_room, on_data, on_end };

static BjExchange *
send_call (BjDaemon *d, Caller *c, const char *path, BjStr body)
{
  BjRequest r = {
    .method = BJ_STR ("POST"), .path = bj_str (path), .body = body, .klass = -1, .attempts_left = -1
  };

  *c = (Caller){ .base = { &caller_ops } };
  return bj_daemon_handle_call (d, &r, &c->base);
}

static void
run_until (struct ev_loop *loop, const bool *is_done, double ms)
{
  for (BjTime until = bj_clock_now () + ms; !*is_done && bj_clock_now () < until;)
    ev_run (loop, EVRUN_ONCE);
}

static void
begin_response (int fd, uint64_t id)
{
  static const char zero_signature[BJ_TAG_BYTES];
  BjFrame hello = { .kind = BJ_FRAME_HELLO,
                    .id = 5,
                    .start = 5,
                    .protocol = BJ_PROTOCOL_VERSION,
                    .name = BJ_STR ("peer"),
                    .data = { zero_signature, sizeof zero_signature } };
  BjFrame answer
      = { .kind = BJ_FRAME_ANSWER,
          .id = id,
          .answer
          = { .outcome = BJ_DONE, .http_status = 200, .attempts_left = -1, .length = 100 } };
  msgpack_sbuffer out;

  msgpack_sbuffer_init (&out);
  bj_frame_encode (&out, &hello);
  bj_frame_encode (&out, &answer);
  assert_int_equal (send (fd, out.data, out.size, MSG_NOSIGNAL), out.size);
  msgpack_sbuffer_destroy (&out);
}

// Reads what the daemon writes until it has written nothing for READ_MS.
static bool
receives (struct ev_loop *loop, int fd, const char *text)
{
  GString *all = g_string_new (NULL);
  BjTime last = bj_clock_now ();
  char buffer[65536];
  bool found;

  while (bj_clock_now () - last < READ_MS)
    {
      ssize_t n = recv (fd, buffer, sizeof buffer, MSG_DONTWAIT);

      if (n > 0)
        {
          g_string_append_len (all, buffer, n);
          last = bj_clock_now ();
        }
      else
        ev_run (loop, EVRUN_ONCE);
    }
  found = memmem (all->str, all->len, text, strlen (text)) != NULL;
  g_string_free (all, TRUE);
  return found;
}

static void
test_call_answered_as_not_run_is_not_sent_later (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjDaemon *d = daemons_new (loop,
                             (BjSettings){ .platform_name = BJ_STR ("memory"),
                                           .platform_url = BJ_STR ("resend"),
                                           .dialect = BJ_STR ("borage") });
  char *body = g_malloc0 (LARGE_BODY_BYTES);
  Caller callers[3];
  BjExchange *first;
  int listener;
  int port = daemons_listen (&listener);
  int fd;

  (void)state;
  bj_daemon_apply_config (d,
                          1,
                          BJ_STR ("{\"number\":1,\"priorities\":[\"a\"],\"services\":{\"s\":{"
                                  "\"routes\":[{\"prefix\":\"/s/\",\"class\":\"a\","
                                  "\"irreversible\":true,\"claim\":false,"
                                  "\"deadline_ms\":20000}]}}}"),
                          "test");
  bj_kernel_update_peer (d->kernel,
                         bj_clock_now (),
                         &(BjPeerReport){ .name = BJ_STR ("peer"),
                                          .domain = BJ_STR ("a"),
                                          .region = BJ_STR ("r"),
                                          .service = BJ_STR ("s"),
                                          .host = BJ_STR ("127.0.0.1"),
                                          .link_port = port,
                                          .incarnation = 5,
                                          .limit = 100 });
  first = send_call (d, &callers[0], "/s/first", BJ_STR_NULL);
  assert_non_null (first);
  fd = accept (listener, NULL, NULL);
  begin_response (fd, first->call->id);
  run_until (loop, &callers[0].has_begun, ANSWER_MS);
  assert_true (callers[0].has_begun);
  send_call (d, &callers[1], "/s/large", (BjStr){ body, LARGE_BODY_BYTES });
  run_until (loop, &callers[1].has_ended, 50);
  send_call (d, &callers[2], QUEUED_PATH, BJ_STR_NULL);
  close (listener);
  run_until (loop, &callers[2].has_ended, ANSWER_MS);
  assert_true (callers[2].has_ended);
  print_message ("  answered as %s\n", bj_outcome_name (callers[2].answer.outcome));
  if (callers[2].answer.outcome == BJ_NOT_RUN)
    assert_false (receives (loop, fd, QUEUED_PATH));
  close (fd);
  bj_daemon_free (d);
  g_free (body);
  ev_loop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_call_answered_as_not_run_is_not_sent_later) };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
