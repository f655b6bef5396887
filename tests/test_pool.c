// A truncated or misattributed response must not be reported as complete, and a connection that is
// closing or has surplus bytes must not be reused. The upstream is a socket on the same loop that
// sends scripted bytes.

#include "internal.h"
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define WAIT_MS 3000
#define CONNS_MAX 8

typedef enum
{
  KEEP,  // the connection stays open
  END,   // it is closed with a FIN
  RESET, // it is reset
} AfterResponse;

typedef struct
{
  const char *name;
  const char *bytes; // response of the upstream to each request
  AfterResponse after_response;
  bool listens;
  BjStatus on_head_result; // returned by on_head
  BjStatus result;         // expected status in on_done
  bool sent;               // expected in on_done
  int http_status;         // expected in on_head, 0 when it must not be called
  const char *body;        // expected, NULL when not checked
  int connections;         // expected for two consecutive requests, 0 when only one is sent
} PoolCase;

#define OK_HEAD "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"

static const PoolCase cases[] = {
  { "complete response", OK_HEAD "\r\nbody", KEEP, true, BJ_OK, BJ_OK, true, 200, "body", 1 },
  { "chunked response",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    KEEP,
    true,
    BJ_OK,
    BJ_OK,
    true,
    200,
    "body",
    1 },
  { "response after an interim response",
    "HTTP/1.1 100 Continue\r\n\r\n" OK_HEAD "\r\nbody",
    KEEP,
    true,
    BJ_OK,
    BJ_OK,
    true,
    200,
    "body",
    1 },
  { "response without a length, then FIN",
    "HTTP/1.1 200 OK\r\n\r\nbody",
    END,
    true,
    BJ_OK,
    BJ_OK,
    true,
    200,
    "body",
    2 },
  { "response without a length, then reset",
    "HTTP/1.1 200 OK\r\n\r\nbody",
    RESET,
    true,
    BJ_OK,
    BJ_E_BROKEN,
    true,
    200,
    NULL,
    0 },
  { "FIN before the end of the body",
    OK_HEAD "\r\nbo",
    END,
    true,
    BJ_OK,
    BJ_E_BROKEN,
    true,
    200,
    NULL,
    0 },
  { "surplus bytes after the response",
    OK_HEAD "\r\nbodyHTTP/1.1 200 OK\r\n\r\n",
    KEEP,
    true,
    BJ_OK,
    BJ_OK,
    true,
    200,
    "body",
    2 },
  { "response with Connection: close",
    OK_HEAD "Connection: close\r\n\r\nbody",
    KEEP,
    true,
    BJ_OK,
    BJ_OK,
    true,
    200,
    "body",
    2 },
  { "response with a keep-alive timeout of 0",
    OK_HEAD "Keep-Alive: timeout=0\r\n\r\nbody",
    KEEP,
    true,
    BJ_OK,
    BJ_OK,
    true,
    200,
    "body",
    2 },
  { "response is not HTTP",
    "what is this\r\n\r\n",
    KEEP,
    true,
    BJ_OK,
    BJ_E_LOST,
    true,
    0,
    NULL,
    0 },
  { "response to another request",
    OK_HEAD "\r\nbody",
    KEEP,
    true,
    BJ_E_FORMAT,
    BJ_E_LOST,
    true,
    200,
    NULL,
    0 },
  { "no response, then FIN", "", END, true, BJ_OK, BJ_E_LOST, true, 0, NULL, 0 },
  { "no response, then reset", "", RESET, true, BJ_OK, BJ_E_LOST, true, 0, NULL, 0 },
  { "connection refused", "", KEEP, false, BJ_OK, BJ_E_NO_UPSTREAM, false, 0, NULL, 0 },
};

typedef struct
{
  struct ev_loop *loop;
  const PoolCase *c;
  int fd;
  int port;
  ev_io accept;
  ev_io conns[CONNS_MAX];
  int n_conns;
} Upstream;

typedef struct
{
  Upstream *u;
  bool is_done;
  BjStatus status;
  bool sent;
  int http_status;
  GString *body;
} Result;

static void
on_request (struct ev_loop *loop, ev_io *w, int events)
{
  Upstream *u = w->data;
  char buffer[4096];
  ssize_t n = recv (w->fd, buffer, sizeof buffer, 0);
  struct linger reset = { 1, 0 };

  (void)events;
  if (n <= 0)
    {
      ev_io_stop (loop, w);
      close (w->fd);
      return;
    }
  assert_true (send (w->fd, u->c->bytes, strlen (u->c->bytes), MSG_NOSIGNAL) >= 0);
  if (u->c->after_response == KEEP)
    return;
  if (u->c->after_response == RESET)
    setsockopt (w->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  ev_io_stop (loop, w);
  close (w->fd);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  Upstream *u = w->data;
  int fd = accept (u->fd, NULL, NULL);
  ev_io *conn = &u->conns[u->n_conns++];

  (void)events;
  ev_io_init (conn, on_request, fd, EV_READ);
  conn->data = u;
  ev_io_start (loop, conn);
}

static void
open_upstream (Upstream *u)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;

  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  u->fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (u->fd, (struct sockaddr *)&addr, sizeof addr), 0);
  getsockname (u->fd, (struct sockaddr *)&addr, &len);
  u->port = ntohs (addr.sin_port);
  ev_io_init (&u->accept, on_accept, u->fd, EV_READ);
  u->accept.data = u;
  if (!u->c->listens)
    return;
  assert_int_equal (listen (u->fd, CONNS_MAX), 0);
  ev_io_start (u->loop, &u->accept);
}

static void
close_upstream (Upstream *u)
{
  ev_io_stop (u->loop, &u->accept);
  close (u->fd);
  for (int i = 0; i < u->n_conns; i++)
    if (ev_is_active (&u->conns[i]))
      {
        ev_io_stop (u->loop, &u->conns[i]);
        close (u->conns[i].fd);
      }
}

static BjStatus
on_head (void *data, const BjHead *h)
{
  Result *r = data;

  r->http_status = h->status;
  return r->u->c->on_head_result;
}

static size_t
on_body (void *data, BjStr part)
{
  g_string_append_len (((Result *)data)->body, part.data, (gssize)part.len);
  return part.len;
}

static void
on_done (void *data, BjStatus s, bool sent)
{
  Result *r = data;

  assert_false (r->is_done);
  r->is_done = true;
  r->status = s;
  r->sent = sent;
}

static void
run_request (BjPool *p, Upstream *u, Result *r)
{
  BjTime until = bj_clock_now () + WAIT_MS;

  *r = (Result){ .u = u, .body = g_string_new (NULL) };
  bj_pool_start (p,
                 &(BjPoolOptions){ .address = { BJ_STR ("127.0.0.1"), u->port },
                                   .head = BJ_STR ("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
                                   .on_head = on_head,
                                   .on_body = on_body,
                                   .on_done = on_done,
                                   .data = r });
  while (!r->is_done && bj_clock_now () < until)
    {
      bj_pool_flush (p);
      ev_run (u->loop, EVRUN_ONCE);
    }
  bj_pool_flush (p);
}

static void
test_responses (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const PoolCase *c = &cases[i];
      struct ev_loop *loop = ev_loop_new (0);
      BjPool *p = bj_pool_new (loop);
      Upstream u = { .loop = loop, .c = c };
      Result r;

      print_message ("  %s\n", c->name);
      open_upstream (&u);
      run_request (p, &u, &r);
      if (!r.is_done || r.status != c->result || r.sent != c->sent
          || r.http_status != c->http_status)
        fail_msg ("%s: done %d, status %s, sent %d, HTTP status %d",
                  c->name,
                  r.is_done,
                  bj_status_name (r.status),
                  r.sent,
                  r.http_status);
      if (c->body != NULL)
        assert_string_equal (r.body->str, c->body);
      g_string_free (r.body, TRUE);
      if (c->connections > 0)
        {
          run_request (p, &u, &r);
          assert_int_equal (r.status, c->result);
          assert_int_equal (u.n_conns, c->connections);
          g_string_free (r.body, TRUE);
        }
      bj_pool_free (p);
      close_upstream (&u);
      ev_loop_destroy (loop);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_responses) };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
