// Server: guards against a refused request whose body is served as the next one, 100-continue
// inside the response of another request, time-outs of a request that cut off responses before it,
// a response that broke off and destroys complete ones before it, a paused response that never
// resumes, and requests that are read and lost by a server that stops.

#include "daemons.h"
#include "server.h"
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define PIPELINED_MAX 4
#define HEADER_TIMEOUT_MS 150
#define IDLE_TIMEOUT_MS 500
#define RUN_LIMIT_MS 4000
#define PART_BYTES 16384

// A path "/NAME/MS..." is answered after MS milliseconds, with the name as its body. Names:
// "refuse" is refused with 401 at the head, "alone" runs alone, "break" breaks off after the first
// byte of its body, "bulk" has 40 parts of PART_BYTES.
typedef struct
{
  const char *name;
  const char *first;    // bytes sent at once
  int pause_ms;         // before then
  const char *then;     // bytes sent later, NULL for none
  const char *expected; // received bytes, shortened as in test_pipeline
  bool is_reset;        // at the end, otherwise closed or, for keep-alive, open
  bool is_open;
} Case;

#define GET(path) "GET " path " HTTP/1.1\r\nHost: x\r\n\r\n"

static const Case cases[] = {
  { "one request", GET ("/a/10"), 0, NULL, "#|L1||a", false, true },
  { "the last is fastest",
    GET ("/a/60") GET ("/b/30") GET ("/c/0"),
    0,
    NULL,
    "#|L1||a#|L1||b#|L1||c",
    false,
    true },
  { "more than the limit",
    GET ("/a/30") GET ("/b/0") GET ("/c/0") GET ("/d/0") GET ("/e/0") GET ("/f/0"),
    0,
    NULL,
    "#|L1||a#|L1||b#|L1||c#|L1||d#|L1||e#|L1||f",
    false,
    true },
  { "refused without a body: the connection goes on",
    GET ("/a/30") GET ("/refuse/0") GET ("/c/0"),
    0,
    NULL,
    "#|L1||aHTTP/1.1 401 Unauthorized|L0||#|L1||c",
    false,
    true },
  { "refused with a body that is not sent yet",
    GET ("/a/30") "POST /refuse/0 HTTP/1.1\r\nHost: x\r\nContent-Length: 60\r\n\r\n",
    100,
    GET ("/c/0"),
    "#|L1||aHTTP/1.1 401 Unauthorized|L0|C||",
    false,
    false },
  { "refused with a chunked body, first on the connection",
    "POST /refuse/0 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
    0,
    NULL,
    "HTTP/1.1 401 Unauthorized|L0|C||",
    false,
    false },
  { "refused with 100-continue: no 100",
    "POST /refuse/0 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 6\r\n\r\n",
    0,
    NULL,
    "HTTP/1.1 401 Unauthorized|L0|C||",
    false,
    false },
  { "100-continue of the first",
    "POST /a/0 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
    50,
    "abc",
    "HTTP/1.1 100 Continue||#|L1||a",
    false,
    true },
  { "100-continue waits for the responses before it",
    GET ("/a/100") GET ("/b/0") "POST /c/0 HTTP/1.1\r\nHost: x\r\nExpect: "
                                "100-continue\r\nContent-Length: 3\r\n\r\n",
    200,
    "abc",
    "#|L1||a#|L1||bHTTP/1.1 100 Continue||#|L1||c",
    false,
    true },
  { "no 100-continue once the body has arrived",
    GET ("/a/100") "POST /c/0 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: "
                   "3\r\n\r\nabc",
    0,
    NULL,
    "#|L1||a#|L1||c",
    false,
    true },
  { "head that does not end, behind a longer response",
    GET ("/a/600") "GET /b",
    0,
    NULL,
    "#|L1||aHTTP/1.1 408 Request Timeout|L0|C||",
    false,
    false },
  { "body that does not end, behind a longer response",
    GET ("/a/1200") "POST /b/0 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na",
    0,
    NULL,
    "#|L1||aHTTP/1.1 408 Request Timeout|L0|C||",
    false,
    false },
  { "a response longer than the idle time-out", GET ("/a/900"), 0, NULL, "#|L1||a", false, true },
  { "irreversible between others",
    GET ("/a/30") GET ("/alone/30") GET ("/c/0"),
    0,
    NULL,
    "#|L1||a#|L5||alone#|L1||c",
    false,
    true },
  { "break-off behind a complete response",
    GET ("/a/60") GET ("/break/0") GET ("/c/0"),
    0,
    NULL,
    "#|L1||a",
    true,
    false },
  { "break-off of the first", GET ("/break/20") GET ("/c/0"), 0, NULL, NULL, true, false },
};

typedef struct
{
  struct ev_loop *loop;
  BjServer *server;
  ev_prepare prepare;
  ev_timer tick;
  GPtrArray *open; // Response
  int n_alone;     // open requests that run alone
  int n_together;  // times that such a request was open with another one
  int n_begun;
  int n_cancelled;
  double waited_ms; // most
} Site;

typedef struct
{
  Site *site;
  BjServerRequest *request;
  char *name;
  BjTime due;
  size_t left; // bytes of a bulk response
  bool is_begun;
} Response;

static Site site;
static BjAddress address;

static BjServerVerdict
on_head (void *data, const BjHead *h)
{
  (void)data;
  return (BjServerVerdict){ bj_str_starts (h->path, BJ_STR ("/refuse")) ? 401 : 0,
                            bj_str_starts (h->path, BJ_STR ("/alone")) };
}

static void
on_refused (void *data, BjServerRequest *r, const BjHead *h, int status)
{
  (void)data;
  (void)h;
  bj_server_begin (r, status, BJ_STR_NULL, 0);
  bj_server_end (r, true);
}

static void
on_request (void *data, BjServerRequest *r, const BjHead *h, BjStr body)
{
  Site *s = data;
  Response *p = g_new0 (Response, 1);
  char *path = g_strndup (h->path.data, h->path.len);
  char **parts = g_strsplit (path, "/", -1);
  bool is_alone = strcmp (parts[1], "alone") == 0;

  (void)body;
  g_free (path);
  *p = (Response){ .site = s, .request = r, .name = g_strdup (parts[1]) };
  p->due = bj_clock_now () + g_ascii_strtod (parts[2], NULL);
  p->left = strcmp (p->name, "bulk") == 0 ? 40 * PART_BYTES : 0;
  g_strfreev (parts);
  s->n_together += s->open->len > 0 && (is_alone || s->n_alone > 0);
  s->n_alone += is_alone;
  s->n_begun++;
  s->waited_ms = MAX (s->waited_ms, h->waited_ms);
  g_ptr_array_add (s->open, p);
  bj_server_set_call (r, p);
}

// Element free function of Site.open.
static void
free_response (gpointer response)
{
  Response *p = response;

  g_free (p->name);
  g_free (p);
}

static void
end_response (Response *p)
{
  p->site->n_alone -= strcmp (p->name, "alone") == 0;
  g_ptr_array_remove_fast (p->site->open, p);
}

static void
on_disconnected (void *call)
{
  ((Response *)call)->site->n_cancelled++;
  end_response (call);
}

static void
send_bulk (Response *p)
{
  static char part[PART_BYTES];

  while (p->left > 0 && bj_server_room (p->request) >= PART_BYTES)
    {
      bj_server_data (p->request, (BjStr){ part, PART_BYTES });
      p->left -= PART_BYTES;
    }
  if (p->left == 0)
    {
      bj_server_end (p->request, true);
      end_response (p);
    }
}

static void
on_drained (void *call, size_t n)
{
  Response *p = call;

  (void)n;
  if (p->is_begun && p->left > 0)
    send_bulk (p);
}

static void
answer (Response *p)
{
  bool breaks = strcmp (p->name, "break") == 0;
  BjStr body = bj_str (p->name);

  p->is_begun = true;
  if (p->left > 0)
    {
      bj_server_begin (p->request, 200, BJ_STR_NULL, (int64_t)p->left);
      send_bulk (p);
      return;
    }
  bj_server_begin (p->request, 200, BJ_STR_NULL, (int64_t)body.len);
  bj_server_data (p->request, breaks ? (BjStr){ body.data, 1 } : body);
  bj_server_end (p->request, !breaks);
  end_response (p);
}

static Response *
find_due (const Site *s)
{
  for (guint i = 0; i < s->open->len; i++)
    {
      Response *p = s->open->pdata[i];

      if (!p->is_begun && p->due <= bj_clock_now ())
        return p;
    }
  return NULL;
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  Site *s = w->data;
  Response *p;

  (void)loop;
  (void)events;
  while ((p = find_due (s)) != NULL)
    answer (p);
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *w, int events)
{
  (void)loop;
  (void)events;
  bj_server_flush (((Site *)w->data)->server);
}

static const BjServerOps ops = { on_head, on_refused, on_request, on_disconnected, on_drained };

static int
open_site (void **state)
{
  BjCallerLimits l = BJ_CALLER_LIMITS_DEFAULT;

  (void)state;
  address = daemons_free_address ();
  site = (Site){ .loop = ev_loop_new (0), .open = g_ptr_array_new_with_free_func (free_response) };
  assert_int_equal (bj_server_new (site.loop, "site", address, &ops, &site, &site.server), BJ_OK);
  l.header_timeout_ms = HEADER_TIMEOUT_MS;
  l.idle_timeout_ms = IDLE_TIMEOUT_MS;
  bj_server_set_limits (site.server, &l);
  bj_server_set_pipelined_max (site.server, PIPELINED_MAX);
  ev_prepare_init (&site.prepare, on_prepare);
  ev_timer_init (&site.tick, on_tick, 0.002, 0.002);
  site.prepare.data = site.tick.data = &site;
  ev_prepare_start (site.loop, &site.prepare);
  ev_timer_start (site.loop, &site.tick);
  return 0;
}

static int
close_site (void **state)
{
  (void)state;
  bj_server_free (site.server);
  ev_prepare_stop (site.loop, &site.prepare);
  ev_timer_stop (site.loop, &site.tick);
  assert_int_equal (site.open->len, 0);
  g_ptr_array_free (site.open, TRUE);
  ev_loop_destroy (site.loop);
  return 0;
}

static int
connect_to_site (void)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)address.port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, "127.0.0.1", &a.sin_addr);
  assert_int_equal (connect (fd, (struct sockaddr *)&a, sizeof a), 0);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  return fd;
}

// Appends what arrives. Returns false once the connection has ended.
static bool
receive (int fd, GString *in, bool *is_reset)
{
  char buffer[65536];
  ssize_t n;

  while ((n = recv (fd, buffer, sizeof buffer, 0)) > 0)
    g_string_append_len (in, buffer, n);
  *is_reset = n < 0 && errno == ECONNRESET;
  return n < 0 && errno == EAGAIN;
}

static void
shorten (GString *s)
{
  static const char *const pairs[][2] = {
    { "\r\n", "|" },
    { "HTTP/1.1 200 OK", "#" },
    { "Content-Length: ", "L" },
    { "Connection: close", "C" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (pairs); i++)
    g_string_replace (s, pairs[i][0], pairs[i][1], 0);
}

static size_t
expected_bytes (const Case *c)
{
  GString *s = g_string_new (c->expected);
  size_t n;

  g_string_replace (s, "|", "\r\n", 0);
  g_string_replace (s, "#", "HTTP/1.1 200 OK", 0);
  g_string_replace (s, "L", "Content-Length: ", 0);
  n = s->len;
  g_string_free (s, TRUE);
  return n;
}

static bool
run_case (const Case *c)
{
  int fd = connect_to_site ();
  GString *in = g_string_new (NULL);
  BjTime began = bj_clock_now ();
  bool is_sent = c->then == NULL;
  bool is_reset = false;
  bool is_open = true;
  bool is_right;

  send (fd, c->first, strlen (c->first), MSG_NOSIGNAL);
  while (is_open && bj_clock_now () - began < RUN_LIMIT_MS
         && !(c->is_open && is_sent && in->len >= expected_bytes (c)))
    {
      ev_run (site.loop, EVRUN_ONCE);
      if (!is_sent && bj_clock_now () - began >= c->pause_ms)
        {
          send (fd, c->then, strlen (c->then), MSG_NOSIGNAL);
          is_sent = true;
        }
      is_open = receive (fd, in, &is_reset);
    }
  shorten (in);
  is_right = (c->expected == NULL || strcmp (in->str, c->expected) == 0) && is_reset == c->is_reset
             && is_open == c->is_open;
  if (!is_right)
    print_error ("%s: received %s\n  reset %d, open %d\n", c->name, in->str, is_reset, is_open);
  close (fd);
  g_string_free (in, TRUE);
  return is_right;
}

static void
test_cases (void **state)
{
  int n_wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    n_wrong += !run_case (&cases[i]);
  assert_int_equal (n_wrong, 0);
  assert_int_equal (site.n_together, 0);
  // The request that waited to run alone is told how long, so that its deadline counts from its
  // reading.
  assert_true (site.waited_ms >= 15 && site.waited_ms < 500);
}

// Large later responses are paused while the first one runs, and resume; all arrive whole.
static void
test_flow_control (void **state)
{
  const size_t expected = 3 * (size_t)(40 * PART_BYTES);
  int fd = connect_to_site ();
  GString *in = g_string_new (NULL);
  BjTime began = bj_clock_now ();
  bool is_reset;

  (void)state;
  send (fd,
        GET ("/a/100") GET ("/bulk/0") GET ("/bulk/0") GET ("/bulk/0"),
        strlen (GET ("/a/100") GET ("/bulk/0") GET ("/bulk/0") GET ("/bulk/0")),
        MSG_NOSIGNAL);
  while (in->len < expected && bj_clock_now () - began < RUN_LIMIT_MS)
    {
      ev_run (site.loop, EVRUN_ONCE);
      receive (fd, in, &is_reset);
    }
  assert_true (in->len >= expected);
  while (bj_server_open_requests (site.server) > 0 && bj_clock_now () - began < RUN_LIMIT_MS)
    ev_run (site.loop, EVRUN_ONCE);
  assert_int_equal (bj_server_open_requests (site.server), 0);
  close (fd);
  g_string_free (in, TRUE);
}

// The caller leaves with several requests open: each is cancelled once.
static void
test_disconnect (void **state)
{
  int fd = connect_to_site ();
  const char *text = GET ("/a/3000") GET ("/b/3000") GET ("/c/3000");
  BjTime began = bj_clock_now ();
  int before = site.n_cancelled;

  (void)state;
  send (fd, text, strlen (text), MSG_NOSIGNAL);
  while (bj_server_open_requests (site.server) < 3 && bj_clock_now () - began < RUN_LIMIT_MS)
    ev_run (site.loop, EVRUN_ONCE);
  assert_int_equal (bj_server_open_requests (site.server), 3);
  close (fd);
  while (bj_server_open_requests (site.server) > 0 && bj_clock_now () - began < RUN_LIMIT_MS)
    ev_run (site.loop, EVRUN_ONCE);
  assert_int_equal (site.n_cancelled - before, 3);
  assert_int_equal (site.open->len, 0);
}

// The server stops STOP_MS after the first bytes were sent: it closes connections after their last
// response and stops accepting.
typedef struct
{
  const char *name;
  const char *first; // sent before the stop, NULL for nothing
  int later_ms;      // after the stop
  const char *later; // sent then, NULL for nothing
  int refuse_ms;     // from the stop until requests that have not begun are refused, 0 for never
  const char *expected;
  int n_begun; // requests
} StopCase;

#define STOP_MS 60
#define POST_HEAD(path) "POST " path " HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n"
#define REFUSED "HTTP/1.1 503 Service Unavailable|L0|"

static const StopCase stop_cases[] = {
  { "request on an idle connection, long after the stop",
    GET ("/a/0"),
    350,
    GET ("/b/0"),
    0,
    "#|L1||a",
    1 },
  { "request on an idle connection, at once",
    GET ("/a/0"),
    1,
    GET ("/b/0"),
    0,
    "#|L1||a#|L1|C||b",
    2 },
  { "request on a connection without one before", NULL, 1, GET ("/a/0"), 0, "#|L1|C||a", 1 },
  { "connection that never gets a request", NULL, 0, NULL, 0, "", 0 },
  { "half a head, the rest follows",
    "GET /a/0 HT",
    20,
    "TP/1.1\r\nHost: x\r\n\r\n",
    0,
    "#|L1|C||a",
    1 },
  { "half a head, refused", "GET /a/0 HT", 0, NULL, 50, REFUSED "C||", 0 },
  { "half a head behind a response, refused",
    GET ("/a/150") "GET /b/0 HT",
    0,
    NULL,
    20,
    "#|L1||a" REFUSED "C||",
    1 },
  { "half a body, the rest follows", POST_HEAD ("/a/0") "x", 100, "yz", 0, "#|L1|C||a", 1 },
  { "half a body, refused", POST_HEAD ("/a/0") "x", 0, NULL, 50, REFUSED "C||", 0 },
  { "body that arrives after the refusal",
    POST_HEAD ("/a/0") "x",
    100,
    "yz",
    50,
    REFUSED "C||",
    0 },
  { "sent ahead, all begun", GET ("/a/150") GET ("/b/0"), 0, NULL, 0, "#|L1||a#|L1|C||b", 2 },
  { "sent ahead, waiting behind one that runs alone",
    GET ("/alone/150") GET ("/b/0") GET ("/c/0"),
    0,
    NULL,
    0,
    "#|L5||alone#|L1||b#|L1|C||c",
    3 },
  { "sent ahead, running alone behind another one",
    GET ("/a/150") GET ("/alone/10") GET ("/c/0"),
    0,
    NULL,
    0,
    "#|L1||a#|L5||alone#|L1|C||c",
    3 },
  { "sent ahead, refused while they wait",
    GET ("/alone/150") GET ("/b/0") GET ("/c/0"),
    0,
    NULL,
    20,
    "#|L5||alone" REFUSED "|" REFUSED "C||",
    1 },
  { "sent ahead after the stop",
    GET ("/a/200"),
    20,
    GET ("/b/0") GET ("/c/0"),
    0,
    "#|L1||a#|L1||b#|L1|C||c",
    3 },
  { "large response", GET ("/bulk/0") GET ("/c/0"), 0, NULL, 0, NULL, 2 },
};

static bool
run_stop_case (const StopCase *c)
{
  int fd = connect_to_site ();
  GString *in = g_string_new (NULL);
  BjTime began = bj_clock_now ();
  bool is_stopped = false;
  bool is_later_sent = c->later == NULL;
  bool is_reset = false;
  bool is_open = true;
  bool is_right;

  if (c->first != NULL)
    send (fd, c->first, strlen (c->first), MSG_NOSIGNAL);
  while (is_open && bj_clock_now () - began < RUN_LIMIT_MS)
    {
      double age = bj_clock_now () - began;

      ev_run (site.loop, EVRUN_ONCE);
      if (age >= STOP_MS && !is_stopped)
        {
          bj_server_disable_keep_alive (site.server);
          bj_server_stop_accepting (site.server);
          is_stopped = true;
        }
      if (age >= STOP_MS + c->later_ms && !is_later_sent)
        {
          send (fd, c->later, strlen (c->later), MSG_NOSIGNAL);
          is_later_sent = true;
        }
      if (c->refuse_ms > 0 && age >= STOP_MS + c->refuse_ms)
        bj_server_refuse_new (site.server);
      is_open = receive (fd, in, &is_reset);
    }
  shorten (in);
  is_right = !is_open && site.n_begun == c->n_begun
             && (c->expected == NULL || strcmp (in->str, c->expected) == 0);
  if (!is_right)
    print_error ("%s: received %s\n  begun %d, open %d\n", c->name, in->str, site.n_begun, is_open);
  close (fd);
  for (BjTime until = bj_clock_now () + RUN_LIMIT_MS;
       bj_server_busy_conns (site.server) > 0 && bj_clock_now () < until;)
    ev_run (site.loop, EVRUN_ONCE);
  is_right = is_right && bj_server_busy_conns (site.server) == 0;
  g_string_free (in, TRUE);
  return is_right;
}

// Guards against a server that stops and still reads requests from idle connections, drops requests
// that it has read, or keeps connections open until its process ends.
static void
test_stop (void **state)
{
  int n_wrong = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (stop_cases); i++)
    {
      BjCallerLimits l = BJ_CALLER_LIMITS_DEFAULT;

      close_site (state);
      open_site (state);
      bj_server_set_limits (site.server, &l);
      n_wrong += !run_stop_case (&stop_cases[i]);
    }
  assert_int_equal (n_wrong, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_flow_control),
    cmocka_unit_test (test_disconnect),
    cmocka_unit_test (test_stop),
  };

  return cmocka_run_group_tests (tests, open_site, close_site);
}
