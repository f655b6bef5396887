// Bad input on every port of a real daemon: a clear error or a closed connection, never a crash.

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

#define DESCRIPTORS 256  // of the daemon
#define IDLE_CALLERS 300 // more than these
#define ANSWER_TIMEOUT_MS 3000
#define SEED 20261203
#define RANDOM_INPUTS 200
#define QUEUED_CALLS 20 // more than the slots

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
  const char *filler; // sent n_filler times after it
  int n_filler;
  const char *tail;
  const char *expected; // the answer begins with, NULL for any answer or none
  const char *counter;  // of /metrics that must grow, NULL for none
} InputCase;

#define BYTES(text) text, sizeof (text) - 1

static const InputCase cases[] = {
  { "head over the limit",
    FRONT,
    BYTES ("GET /catalogue/x HTTP/1.1\r\nHost: x\r\n"),
    "X-Long: 0123456789012345678901234567890123456789\r\n",
    2000,
    "\r\n",
    "HTTP/1.1 431",
    NULL },
  { "path over the limit",
    FRONT,
    BYTES ("GET /"),
    "0123456789",
    10000,
    " HTTP/1.1\r\nHost: x\r\n\r\n",
    "HTTP/1.1 4",
    NULL },
  { "no HTTP at all", FRONT, BYTES ("\x00\x01\x02\x03garbage\r\n\r\n"), NULL, 0, NULL, NULL, NULL },
  { "no Host",
    FRONT,
    BYTES ("GET /catalogue/x HTTP/1.1\r\n\r\n"),
    NULL,
    0,
    NULL,
    "HTTP/1.1 400",
    NULL },
  { "no route",
    FRONT,
    BYTES ("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n"),
    NULL,
    0,
    NULL,
    "HTTP/1.1 404",
    NULL },
  { "body over the limit",
    FRONT,
    BYTES ("POST /catalogue/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1200000\r\n\r\n"),
    "01234567890123456789",
    60000,
    "",
    "HTTP/1.1 413",
    NULL },
  { "blank before the colon",
    FRONT,
    BYTES ("POST /catalogue/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n"),
    NULL,
    0,
    NULL,
    "HTTP/1.1 400",
    NULL },
  { "announced body over the limit, without its bytes",
    FRONT,
    BYTES ("POST /catalogue/x HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"),
    NULL,
    0,
    NULL,
    "HTTP/1.1 413",
    NULL },
  { "length is no number",
    FRONT,
    BYTES ("POST /catalogue/x HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n"),
    NULL,
    0,
    NULL,
    "HTTP/1.1 4",
    NULL },
  { "negative numbers in our headers",
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
  { "announcement too deep",
    ADMIN,
    BYTES ("POST /v1/announce HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"),
    "[[[[[[[[[[",
    10000,
    "",
    "HTTP/1.1 400",
    NULL },
  { "announcement of port 0",
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
  { "frame over the limit",
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
  { "frame too deep",
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
  { "HELLO of another protocol",
    LINK,
    BYTES ("\x00\x00\x00\x07\x94\x01\x05\x63\xc4\x01x"),
    NULL,
    0,
    NULL,
    NULL,
    "bj_link_malformed_frames_total" },
  { "array of 4 billion fields",
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
  { "datagram that is not msgpack, with the signature of no key",
    GOSSIP,
    BYTES ("\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0hello"),
    NULL,
    0,
    NULL,
    NULL,
    "bj_member_malformed_datagrams_total" },
  { "datagram of an array of 4 billion fields",
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
start (void **state)
{
  static const FleetNode nodes[] = {
    { .name = "a",
      .domain = "a",
      .region = "n",
      .service = "catalogue",
      .slots = 16,
      .service_ms = 1 },
  };

  struct rlimit all;
  struct rlimit few;
  bool started;

  (void)state;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  fleet_init (&fleet, nodes, G_N_ELEMENTS (nodes));
  getrlimit (RLIMIT_NOFILE, &all);
  few = all;
  few.rlim_cur = DESCRIPTORS;
  setrlimit (RLIMIT_NOFILE, &few);
  started = fleet_start (&fleet);
  setrlimit (RLIMIT_NOFILE, &all);
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
stop (void **state)
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
  struct timeval timeout = { ANSWER_TIMEOUT_MS / 1000, 0 };
  int fd = socket (AF_INET, p == GOSSIP ? SOCK_DGRAM : SOCK_STREAM, 0);

  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  assert_int_equal (connect (fd, (struct sockaddr *)&addr, sizeof addr), 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  return fd;
}

// Sends the bytes and closes the sending side; the answer is read until the daemon closes.
static void
exchange (Port p, const GString *bytes, GString *answer)
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
      g_string_append_len (answer, buffer, n);
      if (p != LINK && strstr (answer->str, "\r\n\r\n") != NULL)
        break;
    }
  close (fd);
}

static double
counter (const char *name)
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
  double above;
} Growth;

static bool
has_grown (void *data)
{
  const Growth *g = data;

  return counter (g->name) > g->above;
}

static void
test_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const InputCase *c = &cases[i];
      GString *bytes = g_string_new_len (c->head, (gssize)c->head_len);
      GString *answer = g_string_new (NULL);
      Growth g = { c->counter, c->counter != NULL ? counter (c->counter) : 0 };

      print_message ("  %s\n", c->name);
      for (int n = 0; n < c->n_filler; n++)
        g_string_append (bytes, c->filler);
      if (c->tail != NULL)
        g_string_append (bytes, c->tail);
      exchange (c->port, bytes, answer);
      if (c->expected != NULL && !g_str_has_prefix (answer->str, c->expected))
        fail_msg ("%s: the answer is \"%.40s\"", c->name, answer->str);
      if (c->counter != NULL)
        assert_true (fleet_until (has_grown, &g, ANSWER_TIMEOUT_MS));
      assert_int_equal (fleet_http ("GET", port_of (FRONT), "/catalogue/x?id=1", NULL, NULL, NULL),
                        200);
      g_string_free (bytes, TRUE);
      g_string_free (answer, TRUE);
    }
}

static void
test_random_bytes (void **state)
{
  GRand *rand = g_rand_new_with_seed (SEED);

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
is_idle (void *data)
{
  (void)data;
  return counter ("bj_open_calls") == 0;
}

static bool
is_queued (void *data)
{
  (void)data;
  return counter ("bj_queued") > 0;
}

// A peer cancels a call that waits for a slot.
static void
test_cancel_of_a_queued_call (void **state)
{
  static const char no_key[BJ_TAG_BYTES];
  BjFrame hello = { .kind = BJ_FRAME_HELLO,
                    .id = 1,
                    .protocol = BJ_PROTOCOL_VERSION,
                    .name = BJ_STR ("peer"),
                    .data = { no_key, sizeof no_key } };
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
  assert_true (fleet_until (is_queued, NULL, ANSWER_TIMEOUT_MS));
  msgpack_sbuffer_clear (&out);
  for (cancel.id = QUEUED_CALLS; cancel.id > 0; cancel.id--)
    bj_frame_encode (&out, &cancel);
  assert_int_equal (send (fd, out.data, out.size, MSG_NOSIGNAL), out.size);
  assert_true (fleet_until (is_idle, NULL, ANSWER_TIMEOUT_MS));
  msgpack_sbuffer_destroy (&out);
  close (fd);
  fleet_http (
      "POST", fleet.members[0].upstream_port, "/control/service_us?value=1000", NULL, "", NULL);
}

// Idle callers make room, so that the next one is answered though descriptors are few.
static void
test_idle_callers (void **state)
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
        fail_msg ("caller %d got no answer", i);
    }
  for (int i = 0; i < IDLE_CALLERS; i++)
    close (fds[i]);
}

// Under ASan and UBSan the exit code also tells of leaks.
static void
test_ends_cleanly (void **state)
{
  (void)state;
  kill (fleet.members[0].daemon, SIGTERM);
  assert_int_equal (fleet_wait_exit (&fleet.members[0].daemon, 10000), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_random_bytes),
    cmocka_unit_test (test_cancel_of_a_queued_call),
    cmocka_unit_test (test_idle_callers),
    cmocka_unit_test (test_ends_cleanly),
  };

  return cmocka_run_group_tests (tests, start, stop);
}
