// A peer that sends bytes which are no answer, or no request, until its connection is closed.
// Guards against a daemon that keeps or reads them without end, and against one that takes such a
// peer for crashed.

#include "daemons.h"
#include "kernel.h"
#include <curl/curl.h>
#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <malloc.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define DEADLINE_MS 2500                    // of the call that the upstream answers
#define CLOSE_MS 4000                       // until the connection must be closed
#define HEAD_BYTES_MAX (8 * 1024 * 1024)    // mostly socket buffers of loopback
#define BODY_BYTES_MAX (300 * 1024 * 1024)  // of a response of the own upstream
#define STORE_BYTES_MAX (16 * 1024 * 1024)  // of a response of the store
#define MEMORY_BYTES_MAX (24 * 1024 * 1024) // growth of the heap during a case
#define PUMP_BYTES 65536
// Of a daemon with 260 MB and 186 calls.
#define CALL_BYTES_MAX (260 * 1024 * 1024 / 186)
#define SLOW_BYTES 4096 // that a slow caller reads at a time
#define SLOW_READ_S 0.02

typedef enum
{
  FRONT, // sends a request to the front
  GUARD, // answers a run as the own upstream
  PROBE, // resets a run and sends the bytes on the probe connection
  STORE, // answers the reader as the store
} Place;

typedef struct
{
  const char *name;
  Place place;
  const char *start;
  const char *repeated;
  size_t bytes_max;
  const char *counter;
} EndlessCase;

#define REQUEST "POST /s/x HTTP/1.1\r\nHost: h\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define RESPONSE "HTTP/1.1 200 OK\r\n"
#define NO_REQUESTS "bj_front_rejected_requests_total"
#define NO_RESPONSES "bj_upstream_malformed_responses_total"
#define NO_REPLIES "bj_http_rejected_responses_total"

static const EndlessCase cases[] = {
  { "front: no request line", FRONT, "", "garbage", HEAD_BYTES_MAX, NO_REQUESTS },
  { "front: empty lines", FRONT, "", "\r\n", HEAD_BYTES_MAX, NO_REQUESTS },
  { "front: path", FRONT, "GET /s/", "x", HEAD_BYTES_MAX, NO_REQUESTS },
  { "front: header field", FRONT, REQUEST "A: ", "x", HEAD_BYTES_MAX, NO_REQUESTS },
  { "front: header fields", FRONT, REQUEST, "A: b\r\n", HEAD_BYTES_MAX, NO_REQUESTS },
  { "front: chunks", FRONT, REQUEST CHUNKED, "4\r\nbody\r\n", STORE_BYTES_MAX, NO_REQUESTS },
  { "front: chunk extension", FRONT, REQUEST CHUNKED "4;", "x", HEAD_BYTES_MAX, NO_REQUESTS },
  { "front: chunks of one byte with extensions",
    FRONT,
    REQUEST CHUNKED,
    "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nb\r\n",
    STORE_BYTES_MAX,
    NO_REQUESTS },
  { "front: trailers", FRONT, REQUEST CHUNKED "0\r\n", "A: b\r\n", HEAD_BYTES_MAX, NO_REQUESTS },
  { "guard: no status line", GUARD, "", "garbage", HEAD_BYTES_MAX, NO_RESPONSES },
  { "guard: reason phrase", GUARD, "HTTP/1.1 200 ", "x", HEAD_BYTES_MAX, NO_RESPONSES },
  { "guard: header field", GUARD, RESPONSE "A: ", "x", HEAD_BYTES_MAX, NO_RESPONSES },
  { "guard: header fields", GUARD, RESPONSE, "A: b\r\n", HEAD_BYTES_MAX, NO_RESPONSES },
  { "guard: interim responses",
    GUARD,
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    HEAD_BYTES_MAX,
    NO_RESPONSES },
  { "guard: body without a length", GUARD, RESPONSE "\r\n", "x", BODY_BYTES_MAX, NO_RESPONSES },
  { "guard: chunks", GUARD, RESPONSE CHUNKED, "4\r\nbody\r\n", BODY_BYTES_MAX, NULL },
  { "guard: chunk extension", GUARD, RESPONSE CHUNKED "4;", "x", HEAD_BYTES_MAX, NO_RESPONSES },
  { "guard: trailers", GUARD, RESPONSE CHUNKED "0\r\n", "A: b\r\n", HEAD_BYTES_MAX, NO_RESPONSES },
  { "guard: after a complete response",
    GUARD,
    RESPONSE "Content-Length: 4\r\n\r\nbody",
    "garbage",
    HEAD_BYTES_MAX,
    "bj_upstream_foreign_answers_total" },
  { "guard: empty lines", GUARD, "", "\r\n", HEAD_BYTES_MAX, NO_RESPONSES },
  { "guard: status line without an end", GUARD, "HTTP/1.1 2", "0", HEAD_BYTES_MAX, NO_RESPONSES },
  { "guard: first line without an end", GUARD, "", "x", HEAD_BYTES_MAX, NO_RESPONSES },
  { "guard: header field of an interim response",
    GUARD,
    "HTTP/1.1 100 Continue\r\nA: ",
    "x",
    HEAD_BYTES_MAX,
    NO_RESPONSES },
  { "guard: after an interim response",
    GUARD,
    "HTTP/1.1 100 Continue\r\n\r\n",
    "garbage",
    HEAD_BYTES_MAX,
    NO_RESPONSES },
  { "guard: chunk size", GUARD, RESPONSE CHUNKED, "0", HEAD_BYTES_MAX, NO_RESPONSES },
  { "guard: chunks of one byte with extensions",
    GUARD,
    RESPONSE CHUNKED,
    "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nb\r\n",
    BODY_BYTES_MAX,
    NULL },
  { "guard: extension of the last chunk",
    GUARD,
    RESPONSE CHUNKED "4\r\nbody\r\n0;",
    "x",
    HEAD_BYTES_MAX,
    NO_RESPONSES },
  { "guard: after a chunked response",
    GUARD,
    RESPONSE CHUNKED "4\r\nbody\r\n0\r\n\r\n",
    "garbage",
    HEAD_BYTES_MAX,
    "bj_upstream_foreign_answers_total" },
  { "probe", PROBE, "", "garbage", HEAD_BYTES_MAX, "bj_upstream_foreign_answers_total" },
  { "store: no status line", STORE, "", "garbage", STORE_BYTES_MAX, NO_REPLIES },
  { "store: header field", STORE, RESPONSE "A: ", "x", STORE_BYTES_MAX, NO_REPLIES },
  { "store: header fields", STORE, RESPONSE, "A: b\r\n", STORE_BYTES_MAX, NO_REPLIES },
  { "store: interim responses",
    STORE,
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    STORE_BYTES_MAX,
    NO_REPLIES },
  { "store: body without a length", STORE, RESPONSE "\r\n", "x", STORE_BYTES_MAX, NO_REPLIES },
  { "store: chunks", STORE, RESPONSE CHUNKED, "4\r\nbody\r\n", STORE_BYTES_MAX, NO_REPLIES },
  { "store: chunk extension", STORE, RESPONSE CHUNKED "4;", "x", 2 * STORE_BYTES_MAX, NO_REPLIES },
  { "store: first line without an end", STORE, "", "x", STORE_BYTES_MAX, NO_REPLIES },
  { "store: after a complete response",
    STORE,
    RESPONSE "Content-Length: 4\r\n\r\nbody",
    "garbage",
    STORE_BYTES_MAX,
    NULL },
  { "store: trailers", STORE, RESPONSE CHUNKED "0\r\n", "A: b\r\n", STORE_BYTES_MAX, NO_REPLIES },
};

// How the caller of a run reads its response.
typedef enum
{
  AT_ONCE,
  SLOWLY,
  NEVER,
  READINGS,
} Reading;

typedef struct
{
  const EndlessCase *c;
  struct ev_loop *loop;
  int listener;
  ev_io accept;
  ev_io io; // connection that the bytes are sent on
  int n_conns;
  GString *block;  // repeated bytes
  size_t block_at; // offset of the next byte to send
  size_t n_sent;
  BjTime began; // 0 before the first byte
  bool is_closed;
} Sender;

// Large blocks are mapped, not part of the heap.
static size_t
count_heap_bytes (void)
{
  struct mallinfo2 m = mallinfo2 ();

  return m.uordblks + m.hblkhd;
}

static void
pump (struct ev_loop *loop, ev_io *w, int events)
{
  Sender *s = w->data;
  const char *start = s->c->start;
  bool in_start = s->n_sent < strlen (start);
  const char *from = in_start ? start + s->n_sent : s->block->str + s->block_at;
  size_t left = in_start ? strlen (start) - s->n_sent : s->block->len - s->block_at;
  ssize_t n = send (w->fd, from, left, MSG_NOSIGNAL);

  (void)events;
  if (n < 0 && errno == EAGAIN)
    return;
  if (n <= 0)
    {
      ev_io_stop (loop, w);
      close (w->fd);
      s->is_closed = true;
      return;
    }
  s->n_sent += (size_t)n;
  if (!in_start)
    s->block_at = (s->block_at + (size_t)n) % s->block->len;
}

static void
start_pump (Sender *s, int fd)
{
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  s->began = bj_clock_now ();
  ev_io_init (&s->io, pump, fd, EV_WRITE);
  s->io.data = s;
  ev_io_start (s->loop, &s->io);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  Sender *s = w->data;
  int fd = accept (w->fd, NULL, NULL);
  struct linger reset = { 1, 0 };
  char request[4096];

  (void)loop;
  (void)events;
  s->n_conns++;
  if (s->c->place == PROBE && s->n_conns == 1)
    {
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      assert_true (recv (fd, request, sizeof request, 0) > 0);
      close (fd);
    }
  else if (s->began == 0)
    {
      if (s->c->place != PROBE)
        assert_true (recv (fd, request, sizeof request, 0) > 0);
      start_pump (s, fd);
    }
  else
    close (fd);
}

static void
open_sender (Sender *s, const EndlessCase *c, struct ev_loop *loop, int *port)
{
  *s = (Sender){ .c = c, .loop = loop, .block = g_string_new (NULL) };
  while (s->block->len < PUMP_BYTES)
    g_string_append (s->block, c->repeated);
  *port = daemons_listen (&s->listener);
  ev_io_init (&s->accept, on_accept, s->listener, EV_READ);
  s->accept.data = s;
  ev_io_start (loop, &s->accept);
}

static void
close_sender (Sender *s)
{
  ev_io_stop (s->loop, &s->accept);
  close (s->listener);
  if (s->began > 0 && !s->is_closed)
    {
      ev_io_stop (s->loop, &s->io);
      close (s->io.fd);
    }
  g_string_free (s->block, TRUE);
}

static void
on_caller_begin (BjSink *s, const BjAnswer *a)
{
  (void)s;
  (void)a;
}

static size_t
on_caller_room (BjSink *s)
{
  (void)s;
  return SIZE_MAX;
}

static void
on_caller_data (BjSink *s, BjStr part)
{
  (void)s;
  (void)part;
}

static void
on_caller_end (BjSink *s, bool is_complete)
{
  (void)s;
  (void)is_complete;
}

static const BjSinkOps caller_ops
    = { on_caller_begin, on_caller_room, on_caller_data, on_caller_end };

static const char config[]
    = "{\"number\":1,\"priorities\":[\"lookup\"],\"services\":{\"s\":{\"limiter\":{\"plugin\":"
      "\"fixed\"},\"routes\":[{\"prefix\":\"/s/\",\"class\":\"lookup\",\"attempts\":0}]}}}";

static BjDaemon *
start_daemon (struct ev_loop *loop, const EndlessCase *c, int port)
{
  char url[64];
  BjDaemon *d;

  g_snprintf (url, sizeof url, "http://127.0.0.1:%d", port);
  d = daemons_new (
      loop,
      (BjSettings){ .platform_name = c->place == STORE ? BJ_STR ("objects") : BJ_STR ("memory"),
                    .platform_url = bj_str (url),
                    .dialect = BJ_STR ("borage") });
  bj_daemon_apply_config (d, 1, bj_str (config), "test");
  assert_int_equal (
      bj_daemon_handle_announcement (d,
                                     &(BjAnnouncement){ .service = BJ_STR ("s"),
                                                        .address = { BJ_STR ("127.0.0.1"), port },
                                                        .slots = 4 }),
      BJ_OK);
  return d;
}

static void
connect_to_front (Sender *s, const BjDaemon *d)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)d->settings.front.port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (connect (fd, (struct sockaddr *)&addr, sizeof addr), 0);
  start_pump (s, fd);
}

static uint64_t
read_counter (const char *name)
{
  GString *out = g_string_new (NULL);
  char *line = g_strdup_printf ("\n%s ", name);
  const char *at;
  uint64_t value;

  bj_metric_print (out);
  at = strstr (out->str, line);
  value = at != NULL ? g_ascii_strtoull (at + strlen (line), NULL, 10) : 0;
  g_free (line);
  g_string_free (out, TRUE);
  return value;
}

static void
run_case (const EndlessCase *c)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjSink caller = { &caller_ops };
  BjRequest r = { .method = BJ_STR ("GET"),
                  .path = BJ_STR ("/s/x"),
                  .klass = -1,
                  .attempts_left = -1,
                  .deadline_ms = DEADLINE_MS };
  size_t heap_before;
  size_t heap_most = 0;
  uint64_t count;
  BjTime until;
  Sender s;
  BjDaemon *d;
  int port;

  open_sender (&s, c, loop, &port);
  d = start_daemon (loop, c, port);
  count = c->counter != NULL ? read_counter (c->counter) : 0;
  if (c->place == FRONT)
    connect_to_front (&s, d);
  else if (c->place != STORE)
    assert_non_null (bj_daemon_handle_call (d, &r, &caller));
  heap_before = count_heap_bytes ();
  for (until = bj_clock_now () + CLOSE_MS; !s.is_closed && bj_clock_now () < until;)
    {
      ev_run (loop, EVRUN_ONCE);
      heap_most = MAX (heap_most, count_heap_bytes ());
    }
  print_message ("  %-45s %10zu bytes, %5.0f ms, heap %+6zd KiB\n",
                 c->name,
                 s.n_sent,
                 bj_clock_now () - s.began,
                 ((ssize_t)heap_most - (ssize_t)heap_before) / 1024);
  if (!s.is_closed)
    fail_msg ("%s: open after %d ms, %zu bytes sent", c->name, CLOSE_MS, s.n_sent);
  if (s.n_sent > c->bytes_max)
    fail_msg ("%s: %zu bytes taken, limit %zu", c->name, s.n_sent, c->bytes_max);
  if (heap_most > heap_before + MEMORY_BYTES_MAX)
    fail_msg ("%s: heap grew by %zu bytes", c->name, heap_most - heap_before);
  if (c->counter != NULL && read_counter (c->counter) == count)
    fail_msg ("%s: %s does not count it", c->name, c->counter);
  if (c->place == PROBE && d->upstream.port == 0)
    fail_msg ("%s: the upstream accepts connections and is taken for crashed", c->name);
  close_sender (&s);
  bj_daemon_free (d);
  ev_loop_destroy (loop);
}

static void
test_bytes_without_end (void **state)
{
  const char *only = getenv ("BJ_ENDLESS_CASE");

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (only == NULL || strcmp (only, cases[i].name) == 0)
      run_case (&cases[i]);
}

typedef struct
{
  struct ev_loop *loop;
  int fd;
  ev_io io;
  ev_timer timer;
  size_t n_read;
} SocketCaller;

static bool
read_response (SocketCaller *s, size_t bytes)
{
  static char buffer[PUMP_BYTES];
  ssize_t n = recv (s->fd, buffer, bytes, MSG_DONTWAIT);

  s->n_read += n > 0 ? (size_t)n : 0;
  return n > 0 || (n < 0 && errno == EAGAIN);
}

static void
on_response (struct ev_loop *loop, ev_io *w, int events)
{
  (void)events;
  if (!read_response (w->data, PUMP_BYTES))
    ev_io_stop (loop, w);
}

static void
on_slow_reading (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)events;
  if (!read_response (w->data, SLOW_BYTES))
    ev_timer_stop (loop, w);
}

static void
open_socket_caller (SocketCaller *s, struct ev_loop *loop, const BjDaemon *d, Reading reading)
{
  static const char request[] = "GET /s/x HTTP/1.1\r\nHost: h\r\nBj-Deadline-Ms: 1000\r\n\r\n";
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)d->settings.front.port) };

  *s = (SocketCaller){ .loop = loop, .fd = socket (AF_INET, SOCK_STREAM, 0) };
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (connect (s->fd, (struct sockaddr *)&addr, sizeof addr), 0);
  assert_int_equal (send (s->fd, request, sizeof request - 1, MSG_NOSIGNAL), sizeof request - 1);
  ev_io_init (&s->io, on_response, s->fd, EV_READ);
  ev_timer_init (&s->timer, on_slow_reading, SLOW_READ_S, SLOW_READ_S);
  s->io.data = s->timer.data = s;
  if (reading == AT_ONCE)
    ev_io_start (loop, &s->io);
  else if (reading == SLOWLY)
    ev_timer_start (loop, &s->timer);
}

static void
close_socket_caller (SocketCaller *s)
{
  ev_io_stop (s->loop, &s->io);
  ev_timer_stop (s->loop, &s->timer);
  close (s->fd);
}

// A daemon without an upstream that sends its calls to the guard.
static BjDaemon *
start_front (struct ev_loop *loop, const BjDaemon *guard)
{
  BjDaemon *d = daemons_new (loop,
                             (BjSettings){ .name = BJ_STR ("front"),
                                           .platform_name = BJ_STR ("memory"),
                                           .platform_url = BJ_STR ("front"),
                                           .dialect = BJ_STR ("borage") });

  bj_daemon_apply_config (d, 1, bj_str (config), "test");
  bj_kernel_update_peer (d->kernel,
                         bj_clock_now (),
                         &(BjPeerReport){ .name = guard->settings.name,
                                          .domain = BJ_STR ("a"),
                                          .region = BJ_STR ("r"),
                                          .service = BJ_STR ("s"),
                                          .host = BJ_STR ("127.0.0.1"),
                                          .link_port = guard->settings.link.port,
                                          .incarnation = guard->incarnation,
                                          .limit = 100 });
  return d;
}

static void
run_case_with_caller (const EndlessCase *c, Reading reading, bool by_peer)
{
  static const char *const names[] = { "at once", "slowly", "never" };
  struct ev_loop *loop = ev_loop_new (0);
  SocketCaller caller;
  size_t heap_before;
  size_t heap_most = 0;
  BjTime until;
  Sender s;
  BjDaemon *guard;
  BjDaemon *front;
  int port;

  open_sender (&s, c, loop, &port);
  guard = start_daemon (loop, c, port);
  front = by_peer ? start_front (loop, guard) : guard;
  heap_before = count_heap_bytes ();
  open_socket_caller (&caller, loop, front, reading);
  for (until = bj_clock_now () + CLOSE_MS; !s.is_closed && bj_clock_now () < until;)
    {
      ev_run (loop, EVRUN_ONCE);
      heap_most = MAX (heap_most, count_heap_bytes ());
    }
  print_message ("  %-45s %s read %-8s %10zu bytes, %5.0f ms, heap %+6zd KiB\n",
                 c->name,
                 by_peer ? "by a peer," : "",
                 names[reading],
                 s.n_sent,
                 bj_clock_now () - s.began,
                 ((ssize_t)heap_most - (ssize_t)heap_before) / 1024);
  if (!s.is_closed)
    fail_msg ("%s: open after %d ms, %zu bytes sent", c->name, CLOSE_MS, s.n_sent);
  if (s.n_sent > c->bytes_max)
    fail_msg ("%s: %zu bytes taken, limit %zu", c->name, s.n_sent, c->bytes_max);
  if (heap_most > heap_before + (by_peer ? 2 : 1) * CALL_BYTES_MAX)
    fail_msg ("%s: heap grew by %zu bytes", c->name, heap_most - heap_before);
  close_socket_caller (&caller);
  close_sender (&s);
  bj_daemon_free (guard);
  if (by_peer)
    bj_daemon_free (front);
  ev_loop_destroy (loop);
}

// Guards against a daemon that keeps what its caller does not read.
static void
test_bytes_without_end_and_callers (void **state)
{
  const char *only = getenv ("BJ_ENDLESS_CASE");

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (Reading r = AT_ONCE; r < READINGS; r++)
      if (cases[i].place == GUARD && (only == NULL || strcmp (only, cases[i].name) == 0))
        {
          run_case_with_caller (&cases[i], r, false);
          run_case_with_caller (&cases[i], r, true);
        }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_bytes_without_end),
                                      cmocka_unit_test (test_bytes_without_end_and_callers) };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
