// Malformed input on every port of a real daemon. Guards against crashes and hangs: the daemon must
// return an error or close the connection, count the input where a metric exists, and keep serving.

#include "fleet.h"
#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define DAEMON_FD_LIMIT 256 // RLIMIT_NOFILE of the daemon
#define IDLE_CALLERS 300    // connections, more than DAEMON_FD_LIMIT
#define RESPONSE_TIMEOUT_MS 3000
#define RANDOM_SEED 20261203
#define RANDOM_INPUTS 200
#define RESEND_PAUSE_MS 300
#define QUEUED_CALLS 20 // more than the 16 slots of the upstream

typedef enum
{
  FRONT,
  ADMIN,
  LINK,
  GOSSIP,
} Port;

typedef struct
{
  const char *name;
  Port port;
  const char *head; // bytes sent first
  size_t head_len;
  const char *filler; // sent n_filler times after head
  int n_filler;
  const char *tail;
  const char *expected_prefix; // start of the response, NULL for any response or none
  const char *counter_name;    // metric that must increase, NULL for none
} InputCase;

#define BYTES(text) text, sizeof (text) - 1

static const InputCase cases[] = {
  { "request head over the size limit",
    FRONT,
    BYTES ("GET /catalogue/x HTTP/1.1\r\nHost: x\r\n"),
    "X-Long: 0123456789012345678901234567890123456789\r\n",
    2000,
    "\r\n",
    "HTTP/1.1 431",
    NULL },
  { "path over the size limit",
    FRONT,
    BYTES ("GET /"),
    "0123456789",
    10000,
    " HTTP/1.1\r\nHost: x\r\n\r\n",
    "HTTP/1.1 4",
    NULL },
  { "bytes that are not HTTP",
    FRONT,
    BYTES ("\x00\x01\x02\x03garbage\r\n\r\n"),
    NULL,
    0,
    NULL,
    NULL,
    NULL },
  { "request without a Host header",
    FRONT,
    BYTES ("GET /catalogue/x HTTP/1.1\r\n\r\n"),
    NULL,
    0,
    NULL,
    "HTTP/1.1 400",
    NULL },
  { "path without a route",
    FRONT,
    BYTES ("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n"),
    NULL,
    0,
    NULL,
    "HTTP/1.1 404",
    NULL },
  { "body over the size limit",
    FRONT,
    BYTES ("POST /catalogue/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1200000\r\n\r\n"),
    "01234567890123456789",
    60000,
    "",
    "HTTP/1.1 413",
    NULL },
  { "space between header name and colon",
    FRONT,
    BYTES ("POST /catalogue/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n"),
    NULL,
    0,
    NULL,
    "HTTP/1.1 400",
    NULL },
  { "Content-Length over the size limit, no body sent",
    FRONT,
    BYTES ("POST /catalogue/x HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"),
    NULL,
    0,
    NULL,
    "HTTP/1.1 413",
    NULL },
  { "Content-Length is not a number",
    FRONT,
    BYTES ("POST /catalogue/x HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n"),
    NULL,
    0,
    NULL,
    "HTTP/1.1 4",
    NULL },
  { "negative and too large numbers in Bj- headers",
    FRONT,
    BYTES ("GET /catalogue/x HTTP/1.1\r\nHost: x\r\nBj-Deadline-Ms: -5\r\nBj-Class: -9\r\nBj-Path: "
           "999999999999999999999\r\n\r\n"),
    NULL,
    0,
    NULL,
    "HTTP/1.1 200",
    NULL },
  { "announcement is not JSON",
    ADMIN,
    BYTES ("POST /v1/announce HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n{{{"),
    NULL,
    0,
    NULL,
    "HTTP/1.1 400",
    NULL },
  { "announcement nested too deeply",
    ADMIN,
    BYTES ("POST /v1/announce HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"),
    "[[[[[[[[[[",
    10000,
    "",
    "HTTP/1.1 400",
    NULL },
  { "announcement with port 0",
    ADMIN,
    BYTES ("POST /v1/announce HTTP/1.1\r\nHost: x\r\nContent-Length: "
           "56\r\n\r\n{\"service\":\"x\",\"host\":\"127.0.0.1\",\"port\":0,\"slots\":1}   "),
    NULL,
    0,
    NULL,
    "HTTP/1.1 400",
    NULL },
  { "unknown admin path",
    ADMIN,
    BYTES ("GET /v2/none HTTP/1.1\r\nHost: x\r\n\r\n"),
    NULL,
    0,
    NULL,
    "HTTP/1.1 404",
    NULL },
  { "frame over the size limit",
    LINK,
    BYTES ("\xff\xff\xff\xff"),
    "0123456789",
    10,
    "",
    NULL,
    "bj_link_malformed_frames_total" },
  { "frame that is not msgpack",
    LINK,
    BYTES ("\x00\x00\x00\x04\xc1\xc1\xc1\xc1"),
    NULL,
    0,
    NULL,
    NULL,
    "bj_link_malformed_frames_total" },
  { "frame nested too deeply",
    LINK,
    BYTES ("\x00\x00\x27\x10"),
    "\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91",
    1000,
    "",
    NULL,
    "bj_link_malformed_frames_total" },
  { "frame before HELLO",
    LINK,
    BYTES ("\x00\x00\x00\x03\x92\x08\x00"),
    NULL,
    0,
    NULL,
    NULL,
    "bj_link_malformed_frames_total" },
  { "HELLO with an unknown protocol version",
    LINK,
    BYTES ("\x00\x00\x00\x07\x94\x01\x05\x63\xc4\x01x"),
    NULL,
    0,
    NULL,
    NULL,
    "bj_link_malformed_frames_total" },
  { "frame that declares an array of 4 billion fields",
    LINK,
    BYTES ("\x00\x00\x00\x05\xdd\xff\xff\xff\xff"),
    NULL,
    0,
    NULL,
    NULL,
    "bj_link_malformed_frames_total" },
  { "empty frame",
    LINK,
    BYTES ("\x00\x00\x00\x00"),
    NULL,
    0,
    NULL,
    NULL,
    "bj_link_malformed_frames_total" },
  { "truncated frame", LINK, BYTES ("\x00\x00\x10\x00\x92"), NULL, 0, NULL, NULL, NULL },
  { "datagram without a signature",
    GOSSIP,
    BYTES ("hello"),
    NULL,
    0,
    NULL,
    NULL,
    "bj_member_unsigned_datagrams_total" },
  { "datagram that is not msgpack, all-zero signature of a daemon without a key",
    GOSSIP,
    BYTES ("\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0hello"),
    NULL,
    0,
    NULL,
    NULL,
    "bj_member_malformed_datagrams_total" },
  { "datagram that declares an array of 4 billion fields",
    GOSSIP,
    BYTES ("\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\xdd\xff\xff\xff\xff"),
    NULL,
    0,
    NULL,
    NULL,
    "bj_member_malformed_datagrams_total" },
  { "empty datagram", GOSSIP, BYTES (""), NULL, 0, NULL, NULL, NULL },
};

static Fleet fleet;

static int
start_fleet (void **state)
{
  static const FleetNode nodes[] = {
    { .name = "a",
      .domain = "a",
      .region = "n",
      .service = "catalogue",
      .slots = 16,
      .service_ms = 1 },
  };

  struct rlimit original;
  struct rlimit limited;
  bool started;

  (void)state;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  fleet_init (&fleet, nodes, G_N_ELEMENTS (nodes));
  getrlimit (RLIMIT_NOFILE, &original);
  limited = original;
  limited.rlim_cur = DAEMON_FD_LIMIT;
  setrlimit (RLIMIT_NOFILE, &limited);
  started = fleet_start (&fleet);
  setrlimit (RLIMIT_NOFILE, &original);
  return started
                 && fleet_file_ticket (
                     &fleet,
                     "{\"number\":1,\"base\":0,\"priorities\":[\"lookup\"],\"services\":{"
                     "\"catalogue\":{\"routes\":[{\"prefix\":\"/catalogue/\","
                     "\"class\":\"lookup\"}]}}}")
                 && fleet_wait_ticket (&fleet, 1, 10000)
             ? 0
             : -1;
}

static int
stop_fleet (void **state)
{
  (void)state;
  fleet_stop (&fleet);
  return 0;
}

static int
port_of (Port p)
{
  const FleetMember *m = &fleet.members[0];
  const int ports[] = { m->front_port, m->admin_port, m->link_port, m->gossip_port };

  return ports[p];
}

static int
connect_to (Port p)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port_of (p)) };
  struct timeval timeout = { RESPONSE_TIMEOUT_MS / 1000, 0 };
  int fd = socket (AF_INET, p == GOSSIP ? SOCK_DGRAM : SOCK_STREAM, 0);

  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  assert_int_equal (connect (fd, (struct sockaddr *)&addr, sizeof addr), 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  return fd;
}

// Sends the bytes, then reads the response until its head ends or the daemon closes the connection.
// On a link it shuts down its sending side before it reads. A datagram gets no response.
static void
send_and_receive (Port p, const GString *bytes, GString *response)
{
  int fd = connect_to (p);
  size_t at = 0;
  char buffer[4096];
  ssize_t n;

  while (at < bytes->len && (n = send (fd, bytes->str + at, bytes->len - at, MSG_NOSIGNAL)) > 0)
    at += (size_t)n;
  if (p == GOSSIP && bytes->len == 0)
    send (fd, "", 0, 0);
  if (p == LINK)
    shutdown (fd, SHUT_WR);
  while (p != GOSSIP && (n = recv (fd, buffer, sizeof buffer, 0)) > 0)
    {
      g_string_append_len (response, buffer, n);
      if (p != LINK && strstr (response->str, "\r\n\r\n") != NULL)
        break;
    }
  close (fd);
}

static double
read_counter (const char *name)
{
  GString *out = g_string_new (NULL);
  double value = -1;
  char **lines;

  assert_int_equal (fleet_http ("GET", fleet.members[0].admin_port, "/metrics", NULL, NULL, out),
                    200);
  lines = g_strsplit (out->str, "\n", -1);
  for (int i = 0; lines[i] != NULL; i++)
    if (g_str_has_prefix (lines[i], name) && lines[i][strlen (name)] == ' ')
      value = g_ascii_strtod (lines[i] + strlen (name), NULL);
  g_strfreev (lines);
  g_string_free (out, TRUE);
  return value;
}

typedef struct
{
  const char *name;
  double previous;
} Growth;

static bool
has_counter_grown (void *data)
{
  const Growth *g = data;

  return read_counter (g->name) > g->previous;
}

static void
test_malformed_input (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const InputCase *c = &cases[i];
      GString *bytes = g_string_new_len (c->head, (gssize)c->head_len);
      GString *response = g_string_new (NULL);
      Growth g = { c->counter_name, c->counter_name != NULL ? read_counter (c->counter_name) : 0 };

      print_message ("  %s\n", c->name);
      for (int n = 0; n < c->n_filler; n++)
        g_string_append (bytes, c->filler);
      if (c->tail != NULL)
        g_string_append (bytes, c->tail);
      send_and_receive (c->port, bytes, response);
      if (c->expected_prefix != NULL && !g_str_has_prefix (response->str, c->expected_prefix))
        fail_msg ("%s: the response must begin with \"%s\", but is \"%.40s\"",
                  c->name,
                  c->expected_prefix,
                  response->str);
      if (c->counter_name != NULL)
        assert_true (fleet_wait_until (has_counter_grown, &g, RESPONSE_TIMEOUT_MS));
      assert_int_equal (fleet_http ("GET", port_of (FRONT), "/catalogue/x?id=1", NULL, NULL, NULL),
                        200);
      g_string_free (bytes, TRUE);
      g_string_free (response, TRUE);
    }
}

static void
test_random_bytes (void **state)
{
  GRand *rand = g_rand_new_with_seed (RANDOM_SEED);

  (void)state;
  for (int i = 0; i < RANDOM_INPUTS; i++)
    {
      GString *bytes = g_string_new (NULL);
      Port p = (Port)(i % 4);
      int fd = connect_to (p);

      for (int n = g_rand_int_range (rand, 1, 300); n > 0; n--)
        g_string_append_c (bytes, (char)g_rand_int_range (rand, 0, 256));
      send (fd, bytes->str, bytes->len, MSG_NOSIGNAL);
      close (fd);
      g_string_free (bytes, TRUE);
    }
  assert_int_equal (fleet_http ("GET", port_of (FRONT), "/catalogue/x?id=1", NULL, NULL, NULL),
                    200);
  g_rand_free (rand);
}

static bool
has_no_open_calls (void *data)
{
  (void)data;
  return read_counter ("bj_open_calls") == 0;
}

static bool
has_queued_calls (void *data)
{
  (void)data;
  return read_counter ("bj_queued") > 0;
}

// Guards against a crash or a leaked call when a peer cancels calls that run or wait for a slot.
static void
test_cancel_of_queued_calls (void **state)
{
  static const char zero_signature[BJ_TAG_BYTES];
  BjFrame hello = { .kind = BJ_FRAME_HELLO,
                    .id = 1,
                    .start = 1,
                    .protocol = BJ_PROTOCOL_VERSION,
                    .name = BJ_STR ("peer"),
                    .data = { zero_signature, sizeof zero_signature } };
  BjFrame call = { .kind = BJ_FRAME_CALL,
                   .name = BJ_STR ("catalogue"),
                   .request = { .method = BJ_STR ("GET"),
                                .path = BJ_STR ("/catalogue/x?id=1"),
                                .deadline_ms = 20000 } };
  BjFrame cancel = { .kind = BJ_FRAME_CANCEL };
  msgpack_sbuffer out;
  int fd = connect_to (LINK);

  (void)state;
  fleet_http (
      "POST", fleet.members[0].upstream_port, "/control/service_us?value=1500000", NULL, "", NULL);
  msgpack_sbuffer_init (&out);
  bj_frame_encode (&out, &hello);
  for (call.id = 1; call.id <= QUEUED_CALLS; call.id++)
    bj_frame_encode (&out, &call);
  assert_int_equal (send (fd, out.data, out.size, MSG_NOSIGNAL), out.size);
  assert_true (fleet_wait_until (has_queued_calls, NULL, RESPONSE_TIMEOUT_MS));
  msgpack_sbuffer_clear (&out);
  for (cancel.id = QUEUED_CALLS; cancel.id > 0; cancel.id--)
    bj_frame_encode (&out, &cancel);
  assert_int_equal (send (fd, out.data, out.size, MSG_NOSIGNAL), out.size);
  assert_true (fleet_wait_until (has_no_open_calls, NULL, RESPONSE_TIMEOUT_MS));
  msgpack_sbuffer_destroy (&out);
  close (fd);
  fleet_http (
      "POST", fleet.members[0].upstream_port, "/control/service_us?value=1000", NULL, "", NULL);
}

typedef struct
{
  const char *name;
  uint64_t starts[2]; // of the sender, on the first and on the second connection
  uint64_t incarnations[2];
  int n_runs; // of a call that is sent under one id on both connections
} ResendCase;

static const ResendCase resend_cases[] = {
  { "the same start", { 7, 7 }, { 10, 10 }, 1 },
  { "an incarnation raised in between", { 7, 7 }, { 10, 11 }, 1 },
  { "another start under the same incarnation", { 7, 8 }, { 10, 10 }, 2 },
};

static int
send_hello_and_call (const char *peer, uint64_t start, uint64_t incarnation)
{
  static const char zero_signature[BJ_TAG_BYTES];
  BjFrame hello = { .kind = BJ_FRAME_HELLO,
                    .id = incarnation,
                    .start = start,
                    .protocol = BJ_PROTOCOL_VERSION,
                    .name = bj_str (peer),
                    .data = { zero_signature, sizeof zero_signature } };
  BjFrame call = { .kind = BJ_FRAME_CALL,
                   .id = 1,
                   .name = BJ_STR ("catalogue"),
                   .request = { .method = BJ_STR ("POST"),
                                .path = BJ_STR ("/catalogue/x?id=1"),
                                .irreversible = true,
                                .deadline_ms = 5000 } };
  msgpack_sbuffer out;
  int fd = connect_to (LINK);

  msgpack_sbuffer_init (&out);
  bj_frame_encode (&out, &hello);
  bj_frame_encode (&out, &call);
  assert_int_equal (send (fd, out.data, out.size, MSG_NOSIGNAL), out.size);
  msgpack_sbuffer_destroy (&out);
  return fd;
}

// Guards against a second run of a call that its sender sends again on another connection.
static void
test_call_sent_again_on_another_connection (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (resend_cases); i++)
    {
      const ResendCase *c = &resend_cases[i];
      char peer[16];
      int before = (int)read_counter ("bj_upstream_starts_total");
      int fds[2];

      g_snprintf (peer, sizeof peer, "peer-%zu", i);
      for (int n = 0; n < 2; n++)
        {
          fds[n] = send_hello_and_call (peer, c->starts[n], c->incarnations[n]);
          g_usleep (RESEND_PAUSE_MS * 1000);
        }
      print_message ("  %s\n", c->name);
      assert_int_equal ((int)read_counter ("bj_upstream_starts_total") - before, c->n_runs);
      close (fds[0]);
      close (fds[1]);
    }
}

// Guards against idle connections that use up the file descriptors: the daemon must close some of
// them in order to serve the next caller.
static void
test_idle_callers_are_closed (void **state)
{
  static const char request[] = "GET /catalogue/x HTTP/1.1\r\nHost: x\r\n\r\n";
  int fds[IDLE_CALLERS];
  char buffer[4096];

  (void)state;
  for (int i = 0; i < IDLE_CALLERS; i++)
    {
      fds[i] = connect_to (FRONT);
      assert_int_equal (send (fds[i], request, strlen (request), MSG_NOSIGNAL), strlen (request));
      if (recv (fds[i], buffer, sizeof buffer, 0) <= 0)
        fail_msg ("idle caller %d of %d got no response", i, IDLE_CALLERS);
    }
  for (int i = 0; i < IDLE_CALLERS; i++)
    close (fds[i]);
}

// In a build with ASan and UBSan, leaks and undefined behaviour also change the exit code.
static void
test_exits_cleanly (void **state)
{
  (void)state;
  kill (fleet.members[0].daemon, SIGTERM);
  assert_int_equal (fleet_wait_exit (&fleet.members[0].daemon, 10000), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_malformed_input),
    cmocka_unit_test (test_random_bytes),
    cmocka_unit_test (test_cancel_of_queued_calls),
    cmocka_unit_test (test_idle_callers_are_closed),
    cmocka_unit_test (test_call_sent_again_on_another_connection),
    cmocka_unit_test (test_exits_cleanly),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
