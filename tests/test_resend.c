// A daemon whose peer stops reading while a response from it has begun: the connection is replaced,
// and the calls behind it are sent elsewhere or answered. A peer that sends a response twice.

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
#include <xxhash.h>

#include <cmocka.h>

#define LARGE_BODY_BYTES (32 * 1024 * 1024) // more than the buffers of a connection
#define ANSWER_MS 5000                      // until the caller is answered
#define STEP_MS 50                          // for a response to arrive
#define READ_MS 500                         // without bytes until all that was sent is read
#define QUEUED_PATH "/s/queued-call"

typedef struct
{
  BjSink base; // first member, cast from BjSink*
  bool has_begun;
  bool has_ended;
  bool is_complete;
  int n_begun;
  size_t n_bytes;
  BjAnswer answer;
} Caller;

static void
on_begin (BjSink *s, const BjAnswer *a)
{
  ((Caller *)s)->has_begun = true;
  ((Caller *)s)->n_begun++;
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
  ((Caller *)s)->n_bytes += part.len;
}

static void
on_end (BjSink *s, bool is_complete)
{
  ((Caller *)s)->is_complete = is_complete;
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
send_hello (int fd)
{
  static const char zero_signature[BJ_TAG_BYTES];
  msgpack_sbuffer out;
  BjFrame hello = { .kind = BJ_FRAME_HELLO,
                    .id = 5,
                    .start = 5,
                    .protocol = BJ_PROTOCOL_VERSION,
                    .name = BJ_STR ("peer"),
                    .data = { zero_signature, sizeof zero_signature } };

  msgpack_sbuffer_init (&out);
  bj_frame_encode (&out, &hello);
  assert_int_equal (send (fd, out.data, out.size, MSG_NOSIGNAL), out.size);
  msgpack_sbuffer_destroy (&out);
}

static void
begin_response (int fd, uint64_t id)
{
  BjFrame answer
      = { .kind = BJ_FRAME_ANSWER,
          .id = id,
          .answer
          = { .outcome = BJ_DONE, .http_status = 200, .attempts_left = -1, .length = 100 } };
  msgpack_sbuffer out;

  send_hello (fd);
  msgpack_sbuffer_init (&out);
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

// A daemon that knows one peer of service s, at port.
static BjDaemon *
start_daemon (struct ev_loop *loop, int port)
{
  BjDaemon *d = daemons_new (loop,
                             (BjSettings){ .platform_name = BJ_STR ("memory"),
                                           .platform_url = BJ_STR ("resend"),
                                           .dialect = BJ_STR ("borage") });

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
  return d;
}

static void
test_call_answered_as_not_run_is_not_sent_later (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  char *body = g_malloc0 (LARGE_BODY_BYTES);
  Caller callers[3];
  BjExchange *first;
  int listener;
  BjDaemon *d = start_daemon (loop, daemons_listen (&listener));
  int fd;

  (void)state;
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

// A response of the peer to the first call, as letters: A its head, R a refusal with its id, D a
// half of its body, E its end.
typedef struct
{
  const char *name;
  const char *frames;
} TwiceCase;

static const TwiceCase twice_cases[] = {
  { "once", "ADDE" },
  { "its head twice", "AADDE" },
  { "a refusal behind its head", "ARDDE" },
  { "a refusal within its body", "ADRDE" },
  { "a refusal behind its end", "ADDER" },
  { "its end twice", "ADDEE" },
  { "all of it twice", "ADDEADDE" },
};

static void
send_twice_case (int fd, uint64_t id, const char *frames)
{
  msgpack_sbuffer out;

  msgpack_sbuffer_init (&out);
  for (; *frames != 0; frames++)
    {
      BjFrame f = { .id = id };

      f.kind = *frames == 'D' ? BJ_FRAME_DATA : *frames == 'E' ? BJ_FRAME_END : BJ_FRAME_ANSWER;
      f.answer
          = (BjAnswer){ .outcome = BJ_DONE, .http_status = 200, .attempts_left = -1, .length = 10 };
      if (*frames == 'R')
        f.answer = (BjAnswer){
          .code = BJ_E_OVERLOAD, .outcome = BJ_NOT_RUN, .http_status = 503, .attempts_left = -1
        };
      if (*frames == 'D')
        f.data = BJ_STR ("01234");
      f.is_complete = true;
      f.length = 10;
      f.hash = XXH64 ("0123401234", 10, 0);
      bj_frame_encode (&out, &f);
    }
  assert_int_equal (send (fd, out.data, out.size, MSG_NOSIGNAL), out.size);
  msgpack_sbuffer_destroy (&out);
}

// Guards against a response or refusal that a peer sends once more and that is taken for part of a
// response, or for that of a call that is open behind it.
static void
test_response_of_a_peer_sent_twice (void **state)
{
  int n_wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (twice_cases); i++)
    {
      const TwiceCase *c = &twice_cases[i];
      struct ev_loop *loop = ev_loop_new (0);
      int listener;
      BjDaemon *d = start_daemon (loop, daemons_listen (&listener));
      Caller callers[2];
      BjExchange *x[2];
      int fd;

      for (int k = 0; k < 2; k++)
        x[k] = send_call (d, &callers[k], "/s/x", BJ_STR_NULL);
      fd = accept (listener, NULL, NULL);
      send_hello (fd);
      send_twice_case (fd, x[0]->call->id, c->frames);
      run_until (loop, &callers[0].has_ended, ANSWER_MS);
      run_until (loop, &callers[1].has_ended, STEP_MS);
      if (callers[1].n_begun > 0)
        n_wrong++;
      else
        send_twice_case (fd, x[1]->call->id, "ADDE");
      run_until (loop, &callers[1].has_ended, ANSWER_MS);
      for (int k = 0; k < 2; k++)
        if (callers[k].n_begun != 1 || callers[k].answer.outcome != BJ_DONE
            || callers[k].n_bytes != 10 || !callers[k].is_complete)
          {
            n_wrong++;
            print_error ("%s, call %d: begun %d times, %zu bytes, complete %d\n",
                         c->name,
                         k,
                         callers[k].n_begun,
                         callers[k].n_bytes,
                         callers[k].is_complete);
          }
      close (fd);
      close (listener);
      bj_daemon_free (d);
      ev_loop_destroy (loop);
    }
  assert_int_equal (n_wrong, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_call_answered_as_not_run_is_not_sent_later),
          cmocka_unit_test (test_response_of_a_peer_sent_twice) };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
