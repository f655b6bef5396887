// An upstream, a peer or the store that sends what is no answer, or an answer whose end is not
// certain. Guards against callers that get such bytes as an answer: they get a failure of the
// daemon, or a response that is visibly broken off.

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
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include <cmocka.h>

#define WAIT_MS 3000                   // for the caller's connection to end
#define UPLOAD_BYTES (8 * 1024 * 1024) // more than the socket buffers hold
#define UPLOAD_READ_BYTES (128 * 1024) // of it that the upstream reads before it answers
#define FLOOD_BYTES (16 * 1024 * 1024) // of a peer, more than the socket buffers hold
#define FLOOD_PART_BYTES 16384
#define SURPLUS_REQUESTS 4
#define WAKE_S 0.01
#define SETTLE_MS 200 // for the buffers to fill, and for a FIN to arrive

typedef enum
{
  KEEP,              // the connection stays open
  END,               // it is closed with a FIN
  RESET,             // it is reset
  END_RESET,         // a FIN, then the rest of the upload is answered with a reset
  END_RESET_AT_ONCE, // both before the daemon writes on
} AfterAnswer;

typedef enum
{
  GIVEN,  // the caller gets the status and the body
  FAILED, // it gets a 502 of the daemon
  BROKEN, // it gets a part, and the connection is reset
} Expected;

typedef enum
{
  OWN,   // the daemon that has the caller runs the call on its own upstream
  PEER,  // on the upstream of another daemon
  STORE, // the bytes answer a request to the store
  READERS,
} Reader;

typedef struct
{
  const char *name;
  const char *bytes; // \xff stands for a NUL
  AfterAnswer after;
  Expected expected;
  int status;       // when GIVEN
  const char *body; // when GIVEN
} AnswerCase;

#define OWN_FIELDS "X-Request-Id: 7\r\nX-Response-Seal: s\r\n"
#define STATUS(line) line "\r\n" OWN_FIELDS "Content-Length: 4\r\n\r\nbody"
#define FIELD(line) "HTTP/1.1 200 OK\r\n" OWN_FIELDS line "\r\nContent-Length: 4\r\n\r\nbody"
#define LENGTH(lines) "HTTP/1.1 200 OK\r\n" OWN_FIELDS lines "\r\n\r\nbody"
#define CHUNKS(chunks) "HTTP/1.1 200 OK\r\n" OWN_FIELDS "Transfer-Encoding: chunked\r\n\r\n" chunks
#define GOOD STATUS ("HTTP/1.1 200 OK")
#define NO_LENGTH "HTTP/1.1 200 OK\r\n" OWN_FIELDS "\r\nbody"

// What is no answer, and interim responses.
static const AnswerCase status_cases[] = {
  { "sound", GOOD, KEEP, GIVEN, 200, "body" },
  { "failure", STATUS ("HTTP/1.1 500 X"), KEEP, GIVEN, 500, "body" },
  { "status 000", STATUS ("HTTP/1.1 000 X"), KEEP, FAILED, 0, NULL },
  { "status 000 without a length",
    "HTTP/1.1 000 X\r\n" OWN_FIELDS "\r\nbody",
    END,
    FAILED,
    0,
    NULL },
  { "status 000 before an answer",
    "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" GOOD,
    KEEP,
    FAILED,
    0,
    NULL },
  { "status 099", STATUS ("HTTP/1.1 099 X"), KEEP, FAILED, 0, NULL },
  { "status 600", STATUS ("HTTP/1.1 600 X"), KEEP, FAILED, 0, NULL },
  { "status 999", STATUS ("HTTP/1.1 999 X"), KEEP, FAILED, 0, NULL },
  { "status 1000", STATUS ("HTTP/1.1 1000 X"), KEEP, FAILED, 0, NULL },
  { "status 2000", STATUS ("HTTP/1.1 2000 X"), KEEP, FAILED, 0, NULL },
  { "status 0200", STATUS ("HTTP/1.1 0200 OK"), KEEP, FAILED, 0, NULL },
  { "status 20", STATUS ("HTTP/1.1 20 OK"), KEEP, FAILED, 0, NULL },
  { "status 2", STATUS ("HTTP/1.1 2 OK"), KEEP, FAILED, 0, NULL },
  { "status -200", STATUS ("HTTP/1.1 -200 OK"), KEEP, FAILED, 0, NULL },
  { "status 2x0", STATUS ("HTTP/1.1 2x0 OK"), KEEP, FAILED, 0, NULL },
  { "no status", STATUS ("HTTP/1.1 OK"), KEEP, FAILED, 0, NULL },
  { "two spaces before the status", STATUS ("HTTP/1.1  200 OK"), KEEP, FAILED, 0, NULL },
  { "status without a reason", STATUS ("HTTP/1.1 200"), KEEP, GIVEN, 200, "body" },
  { "HTTP/1.0", STATUS ("HTTP/1.0 200 OK"), KEEP, GIVEN, 200, "body" },
  { "HTTP/2.0", STATUS ("HTTP/2.0 200 OK"), KEEP, FAILED, 0, NULL },
  { "HTTP/0.9", STATUS ("HTTP/0.9 200 OK"), KEEP, FAILED, 0, NULL },
  { "no version", STATUS ("HTTP 200 OK"), KEEP, FAILED, 0, NULL },
  { "bytes without a head", "body", END, FAILED, 0, NULL },
  { "interim", "HTTP/1.1 103 X\r\nLink: x\r\n\r\n" GOOD, KEEP, GIVEN, 200, "body" },
  { "two interim ones",
    "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 199 X\r\n\r\n" GOOD,
    KEEP,
    GIVEN,
    200,
    "body" },
  { "interim with a body",
    "HTTP/1.1 100 X\r\nContent-Length: 4\r\n\r\nbody" GOOD,
    KEEP,
    FAILED,
    0,
    NULL },
  { "interim with a chunked body",
    "HTTP/1.1 100 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" GOOD,
    KEEP,
    FAILED,
    0,
    NULL },
  { "bytes behind an interim one", "HTTP/1.1 100 X\r\n\r\nbody" GOOD, KEEP, FAILED, 0, NULL },
  { "interim, then FIN", "HTTP/1.1 100 X\r\n\r\n", END, FAILED, 0, NULL },
  { "unasked 101", "HTTP/1.1 101 X\r\n\r\n" GOOD, KEEP, FAILED, 0, NULL },
  { "unasked 101 and bytes", "HTTP/1.1 101 X\r\n\r\nbody", END, FAILED, 0, NULL },
  { "unasked 101 with an upgrade and bytes",
    "HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nbody",
    END,
    FAILED,
    0,
    NULL },
  { "unasked 101 with an upgrade and a length",
    "HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 4\r\n\r\nbody" GOOD,
    KEEP,
    FAILED,
    0,
    NULL },
};

// Names and values of fields.
static const AnswerCase field_cases[] = {
  { "name with a blank", FIELD ("A b: c"), KEEP, FAILED, 0, NULL },
  { "blank behind a name", FIELD ("A : b"), KEEP, FAILED, 0, NULL },
  { "tab in a name", FIELD ("A\tb: c"), KEEP, FAILED, 0, NULL },
  { "blank before the first name",
    "HTTP/1.1 200 OK\r\n A: b\r\n" OWN_FIELDS "Content-Length: 4\r\n\r\nbody",
    KEEP,
    FAILED,
    0,
    NULL },
  { "control byte in a name", FIELD ("A\x01: b"), KEEP, FAILED, 0, NULL },
  { "NUL in a name", FIELD ("A\xff: b"), KEEP, FAILED, 0, NULL },
  { "DEL in a name", FIELD ("A\x7f: b"), KEEP, FAILED, 0, NULL },
  { "byte above 127 in a name", FIELD ("A\x80: b"), KEEP, FAILED, 0, NULL },
  { "separator in a name", FIELD ("A(: b"), KEEP, FAILED, 0, NULL },
  { "no name", FIELD (": b"), KEEP, FAILED, 0, NULL },
  { "no colon", FIELD ("A"), KEEP, FAILED, 0, NULL },
  { "control byte in a value", FIELD ("A: b\x01"), KEEP, FAILED, 0, NULL },
  { "NUL in a value", FIELD ("A: b\xff"), KEEP, FAILED, 0, NULL },
  { "DEL in a value", FIELD ("A: b\x7f"), KEEP, FAILED, 0, NULL },
  { "CR in a value", FIELD ("A: b\rc"), KEEP, FAILED, 0, NULL },
  { "control byte in a type", FIELD ("Content-Type: b\x01"), KEEP, FAILED, 0, NULL },
  { "control byte in a field of the connection",
    FIELD ("Keep-Alive: \x01"),
    KEEP,
    FAILED,
    0,
    NULL },
  { "control byte in the reason", STATUS ("HTTP/1.1 200 O\x01"), KEEP, FAILED, 0, NULL },
  { "tab and byte above 127 in a value", FIELD ("A: b\t\x80"), KEEP, GIVEN, 200, "body" },
  { "empty value", FIELD ("A:"), KEEP, GIVEN, 200, "body" },
  { "folded line", FIELD ("A: b\r\n c"), KEEP, FAILED, 0, NULL },
  { "folded line with a tab", FIELD ("A: b\r\n\tc: d"), KEEP, FAILED, 0, NULL },
  { "folded line behind an empty value", FIELD ("A:\r\n c"), KEEP, FAILED, 0, NULL },
  { "name with a blank in an interim one",
    "HTTP/1.1 100 X\r\nA b: c\r\n\r\n" GOOD,
    KEEP,
    FAILED,
    0,
    NULL },
};

// Doubled, odd and contradicting lengths, and how a body ends.
static const AnswerCase length_cases[] = {
  { "204", "HTTP/1.1 204 X\r\n" OWN_FIELDS "\r\n", KEEP, GIVEN, 204, "" },
  { "204 with a body", STATUS ("HTTP/1.1 204 X"), KEEP, FAILED, 0, NULL },
  { "204 with a chunked body",
    "HTTP/1.1 204 X\r\n" OWN_FIELDS "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    KEEP,
    FAILED,
    0,
    NULL },
  { "304 with the length of what is not sent",
    "HTTP/1.1 304 X\r\n" OWN_FIELDS "Content-Length: 4\r\n\r\n",
    KEEP,
    GIVEN,
    304,
    "" },
  { "length twice", LENGTH ("Content-Length: 4\r\nContent-Length: 4"), KEEP, FAILED, 0, NULL },
  { "two lengths", LENGTH ("Content-Length: 4\r\nContent-Length: 2"), KEEP, FAILED, 0, NULL },
  { "two lengths in one field", LENGTH ("Content-Length: 4, 4"), KEEP, FAILED, 0, NULL },
  { "length with a sign", LENGTH ("Content-Length: +4"), KEEP, FAILED, 0, NULL },
  { "negative length", LENGTH ("Content-Length: -4"), KEEP, FAILED, 0, NULL },
  { "hexadecimal length", LENGTH ("Content-Length: 0x4"), KEEP, FAILED, 0, NULL },
  { "length with a blank", LENGTH ("Content-Length: 4 4"), KEEP, FAILED, 0, NULL },
  { "length with more behind it", LENGTH ("Content-Length: 4;"), KEEP, FAILED, 0, NULL },
  { "empty length", LENGTH ("Content-Length:"), END, FAILED, 0, NULL },
  { "length that is no number", LENGTH ("Content-Length: four"), END, FAILED, 0, NULL },
  { "length beyond 64 bits",
    LENGTH ("Content-Length: 18446744073709551620"),
    KEEP,
    FAILED,
    0,
    NULL },
  { "blank behind the name of a length", LENGTH ("Content-Length : 4"), END, FAILED, 0, NULL },
  { "folded length", LENGTH ("Content-Length: 4\r\n 2"), KEEP, FAILED, 0, NULL },
  { "length and chunks",
    "HTTP/1.1 200 OK\r\n" OWN_FIELDS
    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    KEEP,
    FAILED,
    0,
    NULL },
  { "chunks and length",
    "HTTP/1.1 200 OK\r\n" OWN_FIELDS
    "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    KEEP,
    FAILED,
    0,
    NULL },
  { "another encoding", LENGTH ("Transfer-Encoding: gzip"), END, FAILED, 0, NULL },
  { "identity encoding", LENGTH ("Transfer-Encoding: identity"), END, FAILED, 0, NULL },
  { "empty encoding", LENGTH ("Transfer-Encoding:"), END, FAILED, 0, NULL },
  { "another encoding in chunks",
    "HTTP/1.1 200 OK\r\n" OWN_FIELDS
    "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    KEEP,
    FAILED,
    0,
    NULL },
  { "chunks in another encoding",
    "HTTP/1.1 200 OK\r\n" OWN_FIELDS
    "Transfer-Encoding: chunked, gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    END,
    FAILED,
    0,
    NULL },
  { "chunks twice",
    "HTTP/1.1 200 OK\r\n" OWN_FIELDS "Transfer-Encoding: chunked\r\n"
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    KEEP,
    FAILED,
    0,
    NULL },
  { "chunks with HTTP/1.0",
    "HTTP/1.0 200 OK\r\n" OWN_FIELDS "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    KEEP,
    FAILED,
    0,
    NULL },
  { "chunks", CHUNKS ("4\r\nbody\r\n0\r\n\r\n"), KEEP, GIVEN, 200, "body" },
  { "chunks with an extension and a trailer",
    CHUNKS ("4;a=b\r\nbody\r\n0\r\nA: b\r\n\r\n"),
    KEEP,
    GIVEN,
    200,
    "body" },
  { "chunk size that is no number", CHUNKS ("x\r\nbody\r\n0\r\n\r\n"), KEEP, BROKEN, 0, NULL },
  { "negative chunk size", CHUNKS ("-4\r\nbody\r\n0\r\n\r\n"), KEEP, BROKEN, 0, NULL },
  { "chunk size beyond 64 bits",
    CHUNKS ("10000000000000004\r\nbody\r\n0\r\n\r\n"),
    KEEP,
    BROKEN,
    0,
    NULL },
  { "chunk longer than its size", CHUNKS ("2\r\nbody\r\n0\r\n\r\n"), KEEP, BROKEN, 0, NULL },
  { "no last chunk, then FIN", CHUNKS ("4\r\nbody\r\n"), END, BROKEN, 0, NULL },
  { "length not reached, then FIN", LENGTH ("Content-Length: 9"), END, BROKEN, 0, NULL },
  { "no length, then FIN", NO_LENGTH, END, GIVEN, 200, "body" },
  { "no length, then reset", NO_LENGTH, RESET, BROKEN, 0, NULL },
};

// Answers to an upload that is still being written.
static const AnswerCase upload_cases[] = {
  { "sound", GOOD, KEEP, GIVEN, 200, "body" },
  { "no length, then reset", NO_LENGTH, RESET, BROKEN, 0, NULL },
  { "no length, HTTP/1.0, then reset",
    "HTTP/1.0 200 OK\r\n" OWN_FIELDS "\r\nbody",
    RESET,
    BROKEN,
    0,
    NULL },
  { "no length, then FIN and reset", NO_LENGTH, END_RESET, GIVEN, 200, "body" },
  { "no length, then FIN and reset at once", NO_LENGTH, END_RESET_AT_ONCE, GIVEN, 200, "body" },
  { "with a length, then reset", GOOD, RESET, GIVEN, 200, "body" },
  { "length not reached, then reset", LENGTH ("Content-Length: 9"), RESET, BROKEN, 0, NULL },
  { "chunks, then reset", CHUNKS ("4\r\nbody\r\n0\r\n\r\n"), RESET, GIVEN, 200, "body" },
  { "no last chunk, then reset", CHUNKS ("4\r\nbody\r\n"), RESET, BROKEN, 0, NULL },
  { "half a head, then reset", "HTTP/1.1 200 OK\r\nA: b", RESET, FAILED, 0, NULL },
  { "status 000, then reset", STATUS ("HTTP/1.1 000 X"), RESET, FAILED, 0, NULL },
};

typedef struct
{
  struct ev_loop *loop;
  const AnswerCase *c;
  bool is_upload;
  int fd;
  ev_io accept;
  ev_io conn;
  ev_timer settle;
  bool has_answered;
  size_t n_read;
  GString *answer;
} Upstream;

typedef struct
{
  struct ev_loop *loop;
  ev_io read;
  ev_io write;
  GString *out;
  size_t n_sent;
  GString *in;
  bool is_reset;
  bool is_ended;
} Caller;

static void
close_conn (Upstream *u, bool is_reset)
{
  struct linger reset = { 1, 0 };

  if (is_reset)
    setsockopt (u->conn.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  ev_io_stop (u->loop, &u->conn);
  ev_timer_stop (u->loop, &u->settle);
  close (u->conn.fd);
  u->conn.fd = -1;
}

static void
on_settled (struct ev_loop *loop, ev_timer *w, int events)
{
  Upstream *u = w->data;

  (void)events;
  if (u->has_answered)
    {
      close_conn (u, true);
      return;
    }
  u->has_answered = true;
  assert_int_equal (send (u->conn.fd, u->answer->str, u->answer->len, MSG_NOSIGNAL),
                    u->answer->len);
  if (u->c->after == END_RESET)
    {
      shutdown (u->conn.fd, SHUT_WR);
      ev_timer_set (w, SETTLE_MS / 1000.0, 0);
      ev_timer_start (loop, w);
    }
  else if (u->c->after == END_RESET_AT_ONCE)
    {
      shutdown (u->conn.fd, SHUT_WR);
      close_conn (u, true);
    }
  else if (u->c->after != KEEP)
    close_conn (u, u->c->after == RESET);
}

static void
on_request (struct ev_loop *loop, ev_io *w, int events)
{
  static char buffer[65536];
  Upstream *u = w->data;
  ssize_t n = recv (w->fd, buffer, sizeof buffer, 0);

  (void)events;
  if (n <= 0)
    {
      close_conn (u, false);
      return;
    }
  u->n_read += (size_t)n;
  if (u->has_answered || u->n_read < (u->is_upload ? UPLOAD_READ_BYTES : 1))
    return;
  ev_io_stop (loop, w);
  ev_timer_set (&u->settle, u->is_upload ? SETTLE_MS / 1000.0 : 0, 0);
  ev_timer_start (loop, &u->settle);
  if (!u->is_upload)
    ev_io_start (loop, w);
}

// Later connections are probes: they stay open.
static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  Upstream *u = w->data;
  int fd = accept (w->fd, NULL, NULL);

  (void)events;
  if (u->conn.fd != 0)
    return;
  ev_io_init (&u->conn, on_request, fd, EV_READ);
  u->conn.data = u;
  ev_io_start (loop, &u->conn);
}

static int
open_upstream (Upstream *u, struct ev_loop *loop, const AnswerCase *c, bool is_upload)
{
  int port;

  *u = (Upstream){ .loop = loop, .c = c, .is_upload = is_upload };
  u->answer = g_string_new (c->bytes);
  for (size_t i = 0; i < u->answer->len; i++)
    if (u->answer->str[i] == '\xff')
      u->answer->str[i] = '\0';
  port = daemons_listen (&u->fd);
  ev_io_init (&u->accept, on_accept, u->fd, EV_READ);
  ev_timer_init (&u->settle, on_settled, 0, 0);
  u->accept.data = u;
  u->settle.data = u;
  ev_io_start (loop, &u->accept);
  return port;
}

static void
close_upstream (Upstream *u)
{
  ev_io_stop (u->loop, &u->accept);
  close (u->fd);
  if (u->conn.fd > 0)
    close_conn (u, false);
  g_string_free (u->answer, TRUE);
}

static void
on_caller_read (struct ev_loop *loop, ev_io *w, int events)
{
  Caller *c = w->data;
  char buffer[65536];
  ssize_t n = recv (w->fd, buffer, sizeof buffer, 0);

  (void)events;
  if (n < 0 && errno == EAGAIN)
    return;
  if (n > 0)
    {
      g_string_append_len (c->in, buffer, n);
      return;
    }
  c->is_reset = n < 0;
  c->is_ended = true;
  ev_io_stop (loop, &c->read);
  ev_io_stop (loop, &c->write);
}

static void
on_caller_write (struct ev_loop *loop, ev_io *w, int events)
{
  Caller *c = w->data;
  ssize_t n = send (w->fd, c->out->str + c->n_sent, c->out->len - c->n_sent, MSG_NOSIGNAL);

  (void)events;
  if (n > 0)
    c->n_sent += (size_t)n;
  if (c->n_sent == c->out->len || (n < 0 && errno != EAGAIN))
    ev_io_stop (loop, w);
}

static void
open_caller (Caller *c, struct ev_loop *loop, int port, size_t body_bytes)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  *c = (Caller){ .loop = loop, .in = g_string_new (NULL), .out = g_string_new (NULL) };
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (connect (fd, (struct sockaddr *)&addr, sizeof addr), 0);
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  g_string_printf (c->out,
                   "POST /s/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 7\r\nX-Deadline-Ms: %d\r\n"
                   "Connection: close\r\nContent-Length: %zu\r\n\r\n",
                   WAIT_MS - 500,
                   body_bytes);
  for (size_t i = 0; i < body_bytes; i++)
    g_string_append_c (c->out, 'u');
  ev_io_init (&c->read, on_caller_read, fd, EV_READ);
  ev_io_init (&c->write, on_caller_write, fd, EV_WRITE);
  c->read.data = c;
  c->write.data = c;
  ev_io_start (loop, &c->read);
  ev_io_start (loop, &c->write);
}

static void
close_caller (Caller *c)
{
  ev_io_stop (c->loop, &c->read);
  ev_io_stop (c->loop, &c->write);
  close (c->read.fd);
  g_string_free (c->in, TRUE);
  g_string_free (c->out, TRUE);
}

static BjDaemon *
start_daemon (struct ev_loop *loop, const char *name)
{
  static const char config[]
      = "{\"number\":1,\"callers\":{\"body_bytes\":16777216},\"priorities\":[\"lookup\"],"
        "\"services\":{\"s\":{\"limiter\":{\"plugin\":"
        "\"fixed\"},\"routes\":[{\"prefix\":\"/s/\",\"class\":\"lookup\",\"attempts\":0}]}}}";
  BjDaemon *d = daemons_new (loop,
                             (BjSettings){ .name = bj_str (name),
                                           .platform_name = BJ_STR ("memory"),
                                           .platform_url = bj_str (name),
                                           .dialect = BJ_STR ("platform") });

  bj_daemon_apply_config (d, 1, bj_str (config), "test");
  return d;
}

static void
announce_upstream (BjDaemon *d, int port)
{
  assert_int_equal (
      bj_daemon_handle_announcement (d,
                                     &(BjAnnouncement){ .service = BJ_STR ("s"),
                                                        .address = { BJ_STR ("127.0.0.1"), port },
                                                        .slots = 4 }),
      BJ_OK);
}

static void
make_known (BjDaemon *d, BjStr name, int link_port, uint64_t incarnation)
{
  bj_kernel_update_peer (d->kernel,
                         bj_clock_now (),
                         &(BjPeerReport){ .name = name,
                                          .domain = BJ_STR ("a"),
                                          .region = BJ_STR ("r"),
                                          .service = BJ_STR ("s"),
                                          .host = BJ_STR ("127.0.0.1"),
                                          .link_port = link_port,
                                          .incarnation = incarnation,
                                          .limit = 100 });
}

// Returns the body behind the head, NULL if the response is not complete.
static char *
read_body (const Caller *c)
{
  const char *head_end = strstr (c->in->str, "\r\n\r\n");
  const char *length;
  const char *body;
  GString *out;

  if (head_end == NULL || c->is_reset)
    return NULL;
  body = head_end + 4;
  length = strstr (c->in->str, "\r\nContent-Length: ");
  if (length != NULL && length < head_end)
    {
      guint64 n = g_ascii_strtoull (length + 18, NULL, 10);

      // The body of a 304 is not sent.
      if (strncmp (c->in->str, "HTTP/1.1 304", 12) == 0)
        n = 0;
      return strlen (body) == n ? g_strdup (body) : NULL;
    }
  if (strstr (c->in->str, "\r\nTransfer-Encoding: chunked") == NULL)
    return g_strdup (body);
  out = g_string_new (NULL);
  for (;;)
    {
      char *end;
      guint64 n = g_ascii_strtoull (body, &end, 16);

      if (end == body || strlen (end) < n + 4)
        {
          g_string_free (out, TRUE);
          return NULL;
        }
      if (n == 0)
        return g_string_free (out, FALSE);
      g_string_append_len (out, end + 2, (gssize)n);
      body = end + 2 + n + 2;
    }
}

static bool
is_as_expected (const AnswerCase *c, const Caller *caller)
{
  char *body = read_body (caller);
  int status = caller->in->len > 12 ? atoi (caller->in->str + 9) : 0;
  bool is_own = strstr (caller->in->str, "X-Response-Seal") == NULL;
  bool is_right = false;

  if (!caller->is_ended)
    is_right = false;
  else if (c->expected == GIVEN)
    is_right = status == c->status && body != NULL && strcmp (body, c->body) == 0 && !is_own;
  else if (c->expected == FAILED)
    is_right = status == 502 && body != NULL && is_own && strstr (body, "BJ_E_LOST") != NULL;
  else
    is_right = body == NULL && caller->is_reset;
  g_free (body);
  return is_right;
}

static bool
run_call (const AnswerCase *c, bool is_upload, Reader reader)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjDaemon *front = start_daemon (loop, "one");
  BjDaemon *guard = reader == PEER ? start_daemon (loop, "two") : front;
  BjTime until;
  Upstream u;
  Caller caller;
  bool is_right;

  announce_upstream (guard, open_upstream (&u, loop, c, is_upload));
  if (reader == PEER)
    make_known (front, guard->settings.name, guard->settings.link.port, guard->incarnation);
  open_caller (&caller, loop, front->settings.front.port, is_upload ? UPLOAD_BYTES : 0);
  for (until = bj_clock_now () + WAIT_MS; !caller.is_ended && bj_clock_now () < until;)
    ev_run (loop, EVRUN_ONCE);
  is_right = is_as_expected (c, &caller);
  if (!is_right)
    print_error ("%s%s, %s: ended %d, reset %d, received %s\n",
                 is_upload ? "upload, " : "",
                 c->name,
                 reader == PEER ? "peer" : "own upstream",
                 caller.is_ended,
                 caller.is_reset,
                 caller.in->str);
  close_caller (&caller);
  close_upstream (&u);
  if (guard != front)
    bj_daemon_free (guard);
  bj_daemon_free (front);
  ev_loop_destroy (loop);
  return is_right;
}

typedef struct
{
  bool is_done;
  BjStatus status;
  int http_status;
  GString *body;
} Reply;

static void
on_reply_head (void *data, const BjHttpHead *h)
{
  ((Reply *)data)->http_status = h->status;
}

static size_t
on_reply_part (void *data, BjStr part)
{
  // No byte of a body may come before the head.
  if (((Reply *)data)->http_status == 0)
    ((Reply *)data)->http_status = -1;
  g_string_append_len (((Reply *)data)->body, part.data, (gssize)part.len);
  return part.len;
}

static void
on_reply_done (void *data, BjStatus s, bool sent)
{
  (void)sent;
  ((Reply *)data)->is_done = true;
  ((Reply *)data)->status = s;
}

static bool
run_store_request (const AnswerCase *c, bool is_upload)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjHttp *http = bj_http_new (loop);
  char *body = g_malloc0 (UPLOAD_BYTES);
  Reply r = { .body = g_string_new (NULL) };
  BjTime until = bj_clock_now () + WAIT_MS;
  Upstream u;
  char url[64];
  bool is_right;

  g_snprintf (url, sizeof url, "http://127.0.0.1:%d/", open_upstream (&u, loop, c, is_upload));
  bj_http_start (http,
                 &(BjHttpOptions){ .method = is_upload ? "PUT" : "GET",
                                   .url = url,
                                   .body = { body, is_upload ? UPLOAD_BYTES : 0 },
                                   .timeout_ms = WAIT_MS - 500,
                                   .body_max = 65536,
                                   .head = on_reply_head,
                                   .body_part = on_reply_part,
                                   .done = on_reply_done,
                                   .data = &r });
  while (!r.is_done && bj_clock_now () < until)
    ev_run (loop, EVRUN_ONCE);
  // libcurl reports an upload that is cut as failed, whatever was received.
  if (c->expected == GIVEN && is_upload && r.status != BJ_OK)
    is_right = r.is_done;
  else if (c->expected == GIVEN)
    is_right
        = r.status == BJ_OK && r.http_status == c->status && strcmp (r.body->str, c->body) == 0;
  else
    is_right = r.is_done && r.status != BJ_OK
               && (c->expected == BROKEN || (r.http_status == 0 && r.body->len == 0));
  if (!is_right)
    print_error ("%s%s, store: done %d, %s, HTTP status %d, body %s\n",
                 is_upload ? "upload, " : "",
                 c->name,
                 r.is_done,
                 bj_status_name (r.status),
                 r.http_status,
                 r.body->str);
  bj_http_free (http);
  close_upstream (&u);
  g_string_free (r.body, TRUE);
  g_free (body);
  ev_loop_destroy (loop);
  return is_right;
}

static void
run_cases (const AnswerCase *all, size_t n, bool is_upload)
{
  int n_wrong[READERS] = { 0 };

  for (size_t i = 0; i < n; i++)
    for (Reader r = OWN; r < READERS; r++)
      n_wrong[r] += r == STORE ? !run_store_request (&all[i], is_upload)
                               : !run_call (&all[i], is_upload, r);
  print_message ("  of %zu wrong: own upstream %d, peer %d, store %d\n",
                 n,
                 n_wrong[OWN],
                 n_wrong[PEER],
                 n_wrong[STORE]);
  assert_int_equal (n_wrong[OWN] + n_wrong[PEER] + n_wrong[STORE], 0);
}

static void
test_status_and_interim_responses (void **state)
{
  (void)state;
  run_cases (status_cases, G_N_ELEMENTS (status_cases), false);
}

static void
test_names_and_values_of_fields (void **state)
{
  (void)state;
  run_cases (field_cases, G_N_ELEMENTS (field_cases), false);
}

static void
test_lengths (void **state)
{
  (void)state;
  run_cases (length_cases, G_N_ELEMENTS (length_cases), false);
}

static void
test_answer_to_an_upload (void **state)
{
  (void)state;
  run_cases (upload_cases, G_N_ELEMENTS (upload_cases), true);
}

typedef struct
{
  const char *name;
  BjAnswer answer;
  const char *data;
  uint64_t length; // in the END frame
  Expected expected;
} PeerCase;

#define PEER_ANSWER(the_status, the_length)                                                        \
  .outcome = BJ_DONE, .http_status = (the_status), .attempts_left = -1, .length = (the_length)
#define SEAL "X-Response-Seal: s\n"

// Responses of a peer whose frames are sound, and what they say is not.
static const PeerCase peer_cases[] = {
  { "sound", { PEER_ANSWER (200, 4), .headers = BJ_STR (SEAL "A: b\n") }, "body", 4, GIVEN },
  { "no length", { PEER_ANSWER (200, -1), .headers = BJ_STR (SEAL) }, "body", 4, GIVEN },
  { "status 100", { PEER_ANSWER (100, 4), .headers = BJ_STR (SEAL) }, "body", 4, FAILED },
  { "status 101", { PEER_ANSWER (101, 4), .headers = BJ_STR (SEAL) }, "body", 4, FAILED },
  { "status 199", { PEER_ANSWER (199, 4), .headers = BJ_STR (SEAL) }, "body", 4, FAILED },
  { "status 600", { PEER_ANSWER (600, 4), .headers = BJ_STR (SEAL) }, "body", 4, FAILED },
  { "status 0", { PEER_ANSWER (0, 4), .headers = BJ_STR (SEAL) }, "body", 4, FAILED },
  { "name with a blank",
    { PEER_ANSWER (200, 4), .headers = BJ_STR (SEAL "A b: c\n") },
    "body",
    4,
    FAILED },
  { "NUL in a name",
    { PEER_ANSWER (200, 4), .headers = BJ_STR (SEAL "A\0: b\n") },
    "body",
    4,
    FAILED },
  { "line end in a value",
    { PEER_ANSWER (200, 4), .headers = BJ_STR (SEAL "A: b\r\rc\n") },
    "body",
    4,
    FAILED },
  { "no line end", { PEER_ANSWER (200, 4), .headers = BJ_STR (SEAL "A: b") }, "body", 4, FAILED },
  { "length among the fields",
    { PEER_ANSWER (200, 4), .headers = BJ_STR (SEAL "Content-Length: 2\n") },
    "body",
    4,
    FAILED },
  { "line end in the type",
    { PEER_ANSWER (200, 4),
      .headers = BJ_STR (SEAL),
      .content_type = BJ_STR ("a/b\r\nContent-Length: 2") },
    "body",
    4,
    FAILED },
  { "more than its length", { PEER_ANSWER (200, 2), .headers = BJ_STR (SEAL) }, "body", 4, BROKEN },
  { "less than its length", { PEER_ANSWER (200, 9), .headers = BJ_STR (SEAL) }, "body", 4, BROKEN },
  { "nothing of its length", { PEER_ANSWER (200, 9), .headers = BJ_STR (SEAL) }, "", 0, BROKEN },
  { "another length at its end",
    { PEER_ANSWER (200, -1), .headers = BJ_STR (SEAL) },
    "body",
    5,
    BROKEN },
};

typedef struct
{
  struct ev_loop *loop;
  const PeerCase *c;
  int fd;
  ev_io accept;
  ev_io conn;
  GString *in;
  uint64_t id; // of the call, 0 before
  bool is_cancelled;
} Peer;

static void
send_frame (Peer *p, const BjFrame *f)
{
  msgpack_sbuffer out;

  msgpack_sbuffer_init (&out);
  bj_frame_encode (&out, f);
  send (p->conn.fd, out.data, out.size, MSG_NOSIGNAL);
  msgpack_sbuffer_destroy (&out);
}

static void
send_peer_answer (Peer *p)
{
  const PeerCase *c = p->c;
  BjStr body = bj_str (c->data);

  send_frame (p, &(BjFrame){ .kind = BJ_FRAME_ANSWER, .id = p->id, .answer = c->answer });
  if (body.len > 0)
    send_frame (p, &(BjFrame){ .kind = BJ_FRAME_DATA, .id = p->id, .data = body });
  send_frame (p,
              &(BjFrame){ .kind = BJ_FRAME_END,
                          .id = p->id,
                          .is_complete = true,
                          .length = c->length,
                          .hash = XXH64 (body.data, body.len, 0) });
}

// Splits off the next frame; false if it is not whole yet.
static bool
take_frame (Peer *p, BjFrameKind *kind, uint64_t *id)
{
  msgpack_unpacked unpacked;
  uint32_t n;
  BjFrame f;

  if (p->in->len < sizeof n)
    return false;
  memcpy (&n, p->in->str, sizeof n);
  n = ntohl (n);
  if (p->in->len - sizeof n < n)
    return false;
  msgpack_unpacked_init (&unpacked);
  assert_int_equal (bj_frame_decode ((BjStr){ p->in->str + sizeof n, n }, &unpacked, &f), BJ_OK);
  *kind = f.kind;
  *id = f.id;
  msgpack_unpacked_destroy (&unpacked);
  g_string_erase (p->in, 0, (gssize)(sizeof n + n));
  return true;
}

static void
on_peer_read (struct ev_loop *loop, ev_io *w, int events)
{
  static char buffer[65536];
  Peer *p = w->data;
  ssize_t n = recv (w->fd, buffer, sizeof buffer, 0);
  BjFrameKind kind;
  uint64_t id;

  (void)events;
  if (n <= 0)
    {
      ev_io_stop (loop, w);
      close (w->fd);
      w->fd = -1;
      return;
    }
  g_string_append_len (p->in, buffer, n);
  while (take_frame (p, &kind, &id))
    {
      p->is_cancelled = p->is_cancelled || (kind == BJ_FRAME_CANCEL && id == p->id);
      if (kind != BJ_FRAME_CALL)
        continue;
      p->id = id;
      if (p->c != NULL)
        send_peer_answer (p);
    }
}

static void
on_peer_accept (struct ev_loop *loop, ev_io *w, int events)
{
  static const char zero_signature[BJ_TAG_BYTES];
  Peer *p = w->data;
  int fd = accept (w->fd, NULL, NULL);

  (void)events;
  if (p->conn.fd > 0)
    {
      ev_io_stop (loop, &p->conn);
      close (p->conn.fd);
    }
  g_string_truncate (p->in, 0);
  ev_io_init (&p->conn, on_peer_read, fd, EV_READ);
  p->conn.data = p;
  ev_io_start (loop, &p->conn);
  send_frame (p,
              &(BjFrame){ .kind = BJ_FRAME_HELLO,
                          .id = 5,
                          .start = 5,
                          .protocol = BJ_PROTOCOL_VERSION,
                          .name = BJ_STR ("peer"),
                          .data = { zero_signature, sizeof zero_signature } });
}

static void
open_peer (Peer *p, struct ev_loop *loop, const PeerCase *c, BjDaemon *d)
{
  *p = (Peer){ .loop = loop, .c = c, .in = g_string_new (NULL) };
  make_known (d, BJ_STR ("peer"), daemons_listen (&p->fd), 5);
  ev_io_init (&p->accept, on_peer_accept, p->fd, EV_READ);
  p->accept.data = p;
  ev_io_start (loop, &p->accept);
}

static void
close_peer (Peer *p)
{
  ev_io_stop (p->loop, &p->accept);
  close (p->fd);
  if (p->conn.fd > 0)
    {
      ev_io_stop (p->loop, &p->conn);
      close (p->conn.fd);
    }
  g_string_free (p->in, TRUE);
}

static bool
run_peer_case (const PeerCase *c)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjDaemon *d = start_daemon (loop, "one");
  AnswerCase as_expected
      = { .expected = c->expected, .status = c->answer.http_status, .body = c->data };
  BjTime until = bj_clock_now () + WAIT_MS;
  Caller caller;
  Peer p;
  bool is_right;

  open_peer (&p, loop, c, d);
  open_caller (&caller, loop, d->settings.front.port, 0);
  while (!caller.is_ended && bj_clock_now () < until)
    ev_run (loop, EVRUN_ONCE);
  is_right = is_as_expected (&as_expected, &caller);
  if (!is_right)
    print_error ("%s: ended %d, reset %d, received %s\n",
                 c->name,
                 caller.is_ended,
                 caller.is_reset,
                 caller.in->str);
  close_caller (&caller);
  close_peer (&p);
  bj_daemon_free (d);
  ev_loop_destroy (loop);
  return is_right;
}

// Guards against callers that get what a peer, perhaps of an earlier version, gives on as an
// answer.
static void
test_unsound_response_of_a_peer (void **state)
{
  int n_wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (peer_cases); i++)
    n_wrong += !run_peer_case (&peer_cases[i]);
  print_message ("  of %zu wrong: %d\n", G_N_ELEMENTS (peer_cases), n_wrong);
  assert_int_equal (n_wrong, 0);
}

// Guards against a daemon that keeps all that a peer sends for a caller that does not read.
static void
test_peer_that_exceeds_the_window (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjDaemon *d = start_daemon (loop, "one");
  BjTime until = bj_clock_now () + WAIT_MS;
  char *part = g_malloc0 (FLOOD_PART_BYTES);
  size_t heap_most = 0;
  size_t heap_before;
  size_t n_sent = 0;
  Caller caller;
  Peer p;

  (void)state;
  open_peer (&p, loop, NULL, d);
  open_caller (&caller, loop, d->settings.front.port, 0);
  ev_io_stop (loop, &caller.read);
  while (p.id == 0 && bj_clock_now () < until)
    ev_run (loop, EVRUN_ONCE);
  send_frame (&p,
              &(BjFrame){ .kind = BJ_FRAME_ANSWER,
                          .id = p.id,
                          .answer = { PEER_ANSWER (200, -1), .headers = BJ_STR (SEAL) } });
  heap_before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  while (!p.is_cancelled && n_sent < FLOOD_BYTES && bj_clock_now () < until)
    {
      send_frame (
          &p, &(BjFrame){ .kind = BJ_FRAME_DATA, .id = p.id, .data = { part, FLOOD_PART_BYTES } });
      n_sent += FLOOD_PART_BYTES;
      ev_run (loop, EVRUN_NOWAIT);
      heap_most = MAX (heap_most, mallinfo2 ().uordblks + mallinfo2 ().hblkhd);
    }
  print_message (
      "  %zu bytes, heap %+zd KiB\n", n_sent, ((ssize_t)heap_most - (ssize_t)heap_before) / 1024);
  assert_true (p.is_cancelled);
  assert_true (heap_most < heap_before + FLOOD_BYTES / 4);
  close_caller (&caller);
  close_peer (&p);
  bj_daemon_free (d);
  ev_loop_destroy (loop);
  g_free (part);
}

// A store that sends bytes behind each of its replies.
typedef struct
{
  const char *name;
  double delay_ms; // from the reply to the bytes
  const char *surplus;
} SurplusCase;

static const SurplusCase surplus_cases[] = {
  { "a copy at once", 0, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy" },
  { "a copy later", 50, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy" },
  { "garbage at once", 0, "garbage" },
  { "garbage later", 50, "garbage" },
};

typedef struct
{
  struct ev_loop *loop;
  const SurplusCase *c;
  ev_io accept;
  ev_io conns[SURPLUS_REQUESTS];
  ev_timer delay;
  int n_conns;
  int n_requests;
  int last_fd;
} SurplusStore;

static void
on_surplus_due (struct ev_loop *loop, ev_timer *w, int events)
{
  SurplusStore *s = w->data;

  (void)loop;
  (void)events;
  send (s->last_fd, s->c->surplus, strlen (s->c->surplus), MSG_NOSIGNAL);
}

static void
on_surplus_request (struct ev_loop *loop, ev_io *w, int events)
{
  SurplusStore *s = w->data;
  char buffer[4096];
  char reply[128];

  (void)events;
  if (recv (w->fd, buffer, sizeof buffer, 0) <= 0)
    {
      ev_io_stop (loop, w);
      close (w->fd);
      w->fd = -1;
      return;
    }
  g_snprintf (reply,
              sizeof reply,
              "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnr %d%s",
              ++s->n_requests,
              s->c->delay_ms > 0 ? "" : s->c->surplus);
  send (w->fd, reply, strlen (reply), MSG_NOSIGNAL);
  s->last_fd = w->fd;
  if (s->c->delay_ms == 0)
    return;
  ev_timer_set (&s->delay, s->c->delay_ms / 1000, 0);
  ev_timer_start (loop, &s->delay);
}

static void
on_surplus_accept (struct ev_loop *loop, ev_io *w, int events)
{
  SurplusStore *s = w->data;
  ev_io *conn = &s->conns[s->n_conns++];

  (void)events;
  ev_io_init (conn, on_surplus_request, accept (w->fd, NULL, NULL), EV_READ);
  conn->data = s;
  ev_io_start (loop, conn);
}

static void
on_wake (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)loop;
  (void)w;
  (void)events;
}

// Without a timer the loop would sleep past the time.
static void
run_until (struct ev_loop *loop, const bool *is_done, double ms)
{
  ev_timer wake;

  ev_timer_init (&wake, on_wake, WAKE_S, WAKE_S);
  ev_timer_start (loop, &wake);
  for (BjTime until = bj_clock_now () + ms; !*is_done && bj_clock_now () < until;)
    ev_run (loop, EVRUN_ONCE);
  ev_timer_stop (loop, &wake);
}

static bool
run_surplus_case (const SurplusCase *c)
{
  struct ev_loop *loop = ev_loop_new (0);
  BjHttp *http = bj_http_new (loop);
  SurplusStore s = { .loop = loop, .c = c };
  const bool never = false;
  bool is_right = true;
  char url[64];
  int fd;

  g_snprintf (url, sizeof url, "http://127.0.0.1:%d/", daemons_listen (&fd));
  ev_io_init (&s.accept, on_surplus_accept, fd, EV_READ);
  ev_timer_init (&s.delay, on_surplus_due, 0, 0);
  s.accept.data = s.delay.data = &s;
  ev_io_start (loop, &s.accept);
  for (int i = 1; i <= SURPLUS_REQUESTS; i++)
    {
      Reply r = { .body = g_string_new (NULL) };
      char expected[16];

      g_snprintf (expected, sizeof expected, "nr %d", i);
      bj_http_start (http,
                     &(BjHttpOptions){ .method = "GET",
                                       .url = url,
                                       .timeout_ms = WAIT_MS,
                                       .body_max = 65536,
                                       .head = on_reply_head,
                                       .body_part = on_reply_part,
                                       .done = on_reply_done,
                                       .data = &r });
      run_until (loop, &r.is_done, WAIT_MS);
      if (r.status != BJ_OK || strcmp (r.body->str, expected) != 0)
        {
          is_right = false;
          print_error ("%s: reply to request %d is %s\n", c->name, i, r.body->str);
        }
      g_string_free (r.body, TRUE);
      run_until (loop, &never, 2 * c->delay_ms);
    }
  bj_http_free (http);
  ev_io_stop (loop, &s.accept);
  ev_timer_stop (loop, &s.delay);
  close (fd);
  for (int i = 0; i < s.n_conns; i++)
    if (s.conns[i].fd >= 0)
      {
        ev_io_stop (loop, &s.conns[i]);
        close (s.conns[i].fd);
      }
  ev_loop_destroy (loop);
  return is_right;
}

// Guards against bytes behind a reply of the store that are taken for the next one.
static void
test_bytes_behind_a_reply_of_the_store (void **state)
{
  int n_wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (surplus_cases); i++)
    n_wrong += !run_surplus_case (&surplus_cases[i]);
  assert_int_equal (n_wrong, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_status_and_interim_responses),
                                      cmocka_unit_test (test_names_and_values_of_fields),
                                      cmocka_unit_test (test_lengths),
                                      cmocka_unit_test (test_answer_to_an_upload),
                                      cmocka_unit_test (test_unsound_response_of_a_peer),
                                      cmocka_unit_test (test_peer_that_exceeds_the_window),
                                      cmocka_unit_test (test_bytes_behind_a_reply_of_the_store) };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
