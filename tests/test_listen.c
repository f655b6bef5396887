// Listening socket of the server: what happens to callers that connect while the server stops
// accepting. Guards against requests on connections that the system had accepted being reset
// without a response.

#include "listen.h"
#include "server.h"
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define CALLERS 100 // more than the server accepts in one iteration of the event loop
#define LOOP_MS 500 // for the server to answer and close its listening socket
#define CONNECT_MS 100

static const char request_text[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
static const char response_start[] = "HTTP/1.1 200 OK\r\n";

static void
respond (void *data, BjServerRequest *r, const BjHead *h, BjStr body)
{
  (void)data;
  (void)h;
  (void)body;
  bj_server_begin (r, 200, BJ_STR_NULL, 0);
  bj_server_end (r, true);
}

static void
ignore_disconnect (void *call)
{
  (void)call;
}

static void
ignore_drained (void *call, size_t n)
{
  (void)call;
  (void)n;
}

static const BjServerOps ops
    = { .request = respond, .disconnected = ignore_disconnect, .drained = ignore_drained };

static int
listen_anywhere (struct sockaddr_in *a)
{
  socklen_t n = sizeof *a;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  *a = (struct sockaddr_in){ .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  assert_int_equal (bind (fd, (struct sockaddr *)a, sizeof *a), 0);
  assert_int_equal (listen (fd, CALLERS), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *)a, &n), 0);
  return fd;
}

static int
connect_to (const struct sockaddr_in *a, bool *is_connected)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  struct pollfd p = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t n = sizeof error;

  if (connect (fd, (const struct sockaddr *)a, sizeof *a) != 0)
    assert_int_equal (errno, EINPROGRESS);
  *is_connected = poll (&p, 1, CONNECT_MS) == 1
                  && getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &n) == 0 && error == 0;
  return fd;
}

static void
run_loop (struct ev_loop *loop, BjServer *s)
{
  BjTime end = bj_clock_now () + LOOP_MS;

  while (bj_clock_now () < end)
    {
      ev_run (loop, EVRUN_NOWAIT);
      bj_server_flush (s);
    }
}

static void
test_stop_with_full_backlog (void **state)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct sockaddr_in a;
  int probe = listen_anywhere (&a);
  int fds[CALLERS];
  BjServer *s;
  bool is_connected;

  (void)state;
  close (probe);
  assert_int_equal (
      bj_server_new (
          loop, "front", (BjAddress){ BJ_STR ("127.0.0.1"), ntohs (a.sin_port) }, &ops, NULL, &s),
      BJ_OK);
  for (int i = 0; i < CALLERS; i++)
    {
      fds[i] = connect_to (&a, &is_connected);
      assert_true (is_connected);
      assert_int_equal (send (fds[i], request_text, strlen (request_text), MSG_NOSIGNAL),
                        strlen (request_text));
    }
  bj_server_disable_keep_alive (s);
  bj_server_stop_accepting (s);
  run_loop (loop, s);
  assert_false (bj_server_is_accepting (s));
  for (int i = 0; i < CALLERS; i++)
    {
      char buffer[256] = "";

      assert_true (recv (fds[i], buffer, sizeof buffer - 1, 0) > 0);
      assert_true (g_str_has_prefix (buffer, response_start));
      close (fds[i]);
    }
  bj_server_free (s);
  ev_loop_destroy (loop);
}

static void
test_drop_new_connections (void **state)
{
  struct sockaddr_in a;
  int fd = listen_anywhere (&a);
  bool is_connected;
  int before = connect_to (&a, &is_connected);
  int accepted;
  int after;

  (void)state;
  assert_true (is_connected);
  assert_true (bj_listen_drop_new (fd));
  after = connect_to (&a, &is_connected);
  assert_false (is_connected);
  accepted = accept (fd, NULL, NULL);
  assert_true (accepted >= 0);
  assert_int_equal (accept (fd, NULL, NULL), -1);
  close (accepted);
  close (after);
  close (before);
  close (fd);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stop_with_full_backlog),
    cmocka_unit_test (test_drop_new_connections),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
