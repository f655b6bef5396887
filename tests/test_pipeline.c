// Pipeline: guards against responses in the wrong order, responses that broke off but look
// complete, requests behind a closing response that still run, an irreversible request that runs
// concurrently with another one, and more open requests or waiting bytes on a connection than
// allowed.

#include "pipeline.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define REQUESTS_MAX 20
#define ROOM_BYTES 1000
#define WAITING_BYTES 300

// Steps, separated by spaces; N is the number of a request, from 1:
//   bN begin    biN irreversible    bhN HEAD    boN HTTP/1.0, no keep-alive    bkN HTTP/1.0,
//   keep-alive hN=L head with length L    hN head without a length    dN=TEXT body    DN=L body of
//   L bytes eN end    xN break off    w write all    wL write L bytes    S planned stop    G caller
//   gone y n: a request may begin, may not    yi ni: an irreversible one rN=L room of the response
//   is L    uN the source of N was told of room, pN it was not, since the last u or p cN cancelled
//   lN not cancelled    E the connection is to be closed    B to be reset    A neither oN open
//   requests
// Output: "#" for "HTTP/1.1 200 OK", "L" for "Content-Length: ", "T" for chunked, "C" for
// "Connection: close", "|" for a line end.
typedef struct
{
  const char *name;
  int requests_max;
  const char *steps;
  const char *expected; // written bytes
} Case;

static const Case cases[] = {
  { "one request", 16, "y b1 h1=2 d1=ab e1 o1 w o0 A y", "#|L2||ab" },
  { "one request at a time when the limit is 1",
    1,
    "b1 n h1=1 d1=a n e1 n w y b2 h2=1 d2=b e2 w",
    "#|L1||a#|L1||b" },
  { "in order, though the last is complete first",
    16,
    "b1 b2 b3 h3=1 d3=c e3 w h2=1 d2=b e2 w h1=1 d1=a w e1 w o0 A",
    "#|L1||a#|L1||b#|L1||c" },
  { "a complete response does not overtake a part of an earlier one",
    16,
    "b1 b2 h1=4 d1=ab w h2=1 d2=c e2 w d1=cd e1 w",
    "#|L4||abcd#|L1||c" },
  { "parts of later responses wait",
    16,
    "b1 b2 b3 h2=4 d2=ef h3 d3=x w h1=1 d1=a e1 w d3=yz e3 w d2=gh e2 w",
    "#|L1||a#|L4||efgh#|T||1|x|2|yz|0||" },
  { "HEAD and chunked mixed",
    16,
    "b1 bh2 b3 bh4 h4=3 d4=abc e4 h3 d3=ab e3 h2=7 d2=abcdefg e2 h1 d1=q e1 w o0 A",
    "#|T||1|q|0||#|L7||#|T||2|ab|0||#|L3||" },
  { "empty bodies", 16, "b1 b2 h2 e2 h1=0 e1 w o0", "#|L0||#|T||0||" },
  { "a response is open until its last byte is written",
    2,
    "b1 b2 n h1=1 d1=a e1 n w2 n o2 w o1 y",
    "#|L1||a" },
  { "limit of open requests",
    3,
    "b1 b2 b3 n h2=1 d2=b e2 w n h1=1 d1=a e1 w y b4 b5 n o3",
    "#|L1||a#|L1||b" },
  { "limit of waiting bytes: paused, resumed when the earlier one is done",
    16,
    "b1 b2 b3 h2=900 D2=250 r2=12 r3=12 y D2=12 r2=0 r3=0 n p2 h1=1 d1=a e1 w u2 u3 r2=1000 r3=300 "
    "y D2=638 e2 w",
    NULL },
  { "a response that has not begun is told of room",
    16,
    "b1 b2 p2 h1=0 e1 w u2 r2=1000",
    "#|L0||" },
  { "the response that is written is paused at the window",
    16,
    "b1 h1=2000 D1=900 r1=59 w u1 r1=1000",
    NULL },
  { "irreversible first", 16, "yi bi1 n ni h1=0 e1 n w y yi b2 ni y", "#|L0||" },
  { "irreversible in the middle",
    16,
    "b1 b2 y ni h2=0 e2 w ni h1=0 e1 ni w yi bi3 n ni h3=0 e3 w y yi b4",
    "#|L0||#|L0||#|L0||" },
  { "irreversible last",
    16,
    "b1 b2 b3 ni h1=0 e1 w ni h2=0 e2 h3=0 e3 w yi bi4 h4=0 e4 w A",
    "#|L0||#|L0||#|L0||#|L0||" },
  { "a request that closes: nothing begins behind it",
    16,
    "b1 bo2 n ni h2=1 d2=b e2 w h1=1 d1=a e1 w n E",
    "#|L1||a#|L1|C||b" },
  { "a response without a length to HTTP/1.0 closes and cancels those behind",
    16,
    "bk1 b2 b3 l2 h1 d1=ab w c2 c3 n o1 e1 w E",
    "#|C||ab" },
  { "the same while it waits for an earlier one",
    16,
    "b1 bk2 b3 h3=1 d3=c e3 b4 h2 w c4 l2 d2=b e2 w h1=1 d1=a e1 w E o0",
    "#|L1||a#|C||b" },
  { "HTTP/1.0 with a length keeps the connection",
    16,
    "bk1 b2 h1=0 e1 h2=0 e2 w A",
    "#|L0||#|L0||" },
  { "break-off of the first", 16, "b1 b2 b3 h1=5 d1=ab w x1 n w c2 c3 B", "#|L5||ab" },
  { "break-off before the head", 16, "b1 b2 x1 w c2 B", "" },
  { "break-off behind others: those before it are written whole",
    16,
    "b1 b2 b3 b4 h3=4 d3=xy x3 w c4 l2 n A h2=1 d2=b e2 w A h1=1 d1=a e1 w B",
    "#|L1||a#|L1||b" },
  { "break-off behind a response of which a part is written",
    16,
    "b1 b2 h1=2 d1=ab e1 w3 h2 d2=xy x2 w B",
    "#|L2||ab" },
  { "an unchunked response that broke off has no end", 16, "bk1 h1 d1=ab w x1 w B", "#|C||ab" },
  { "a chunked response that broke off has no last chunk",
    16,
    "b1 h1 d1=ab w x1 w B",
    "#|T||2|ab|" },
  { "stop: those begun are answered, the last one closes",
    16,
    "b1 b2 b3 S n h3=1 d3=c e3 w h1=1 d1=a e1 w h2=1 d2=b e2 w E n o0",
    "#|L1||a#|L1||b#|L1|C||c" },
  { "stop without open requests: one more", 16, "S y b1 n h1=0 e1 w E n", "#|L0|C||" },
  { "stop after the head of the last one was written: one more",
    16,
    "b1 h1=1 w S n d1=a e1 w A y b2 n h2=0 e2 w E",
    "#|L1||a#|L0|C||" },
  { "stop, break-off of the last", 16, "b1 b2 S x2 h1=0 e1 w B", "#|L0||" },
  { "stop, then a closing response before the last", 16, "bk1 b2 S h1 e1 w c2 E", "#|C||" },
  { "caller gone: all are cancelled once", 16, "b1 b2 h2=1 d2=a e2 b3 G c1 l2 c3 o0", "" },
  { "caller gone while requests were cancelled", 16, "bk1 b2 h1 w c2 G c1 o0", "#|C||" },
  { "a request rejected behind others closes",
    16,
    "b1 b2 bo3 h3=0 e3 n w h1=0 e1 h2=0 e2 w E",
    "#|L0||#|L0||#|L0|C||" },
};

typedef struct
{
  BjPipeline pipeline;
  BjPipelineLimits limits;
  BjPipelineRequest *requests[REQUESTS_MAX];
  bool is_cancelled[REQUESTS_MAX];
  bool is_over[REQUESTS_MAX]; // ended or cancelled, so it may be freed
  bool is_notified[REQUESTS_MAX];
  size_t n_drained[REQUESTS_MAX];
  size_t n_body[REQUESTS_MAX];
  GString *written;
} Conn;

typedef struct
{
  Conn *conn;
  int number;
} Call;

static Call calls[REQUESTS_MAX];

static void
on_drained (void *call, size_t n)
{
  Call *c = call;

  c->conn->is_notified[c->number] = true;
  c->conn->n_drained[c->number] += n;
}

// Cancelling a call frees a slot, which may pass a response to another one.
static void
on_cancelled (void *call)
{
  Call *c = call;

  assert_false (c->conn->is_cancelled[c->number]);
  c->conn->is_cancelled[c->number] = true;
  c->conn->is_over[c->number] = true;
  for (int i = c->number + 1; i < REQUESTS_MAX; i++)
    if (c->conn->requests[i] != NULL && !c->conn->is_over[i]
        && c->conn->requests[i]->waiting == NULL)
      {
        bj_pipeline_head (c->conn->requests[i], 200, BJ_STR_NULL, 3);
        bj_pipeline_data (c->conn->requests[i], BJ_STR ("abc"));
        return;
      }
}

static const BjPipelineOps ops = { on_drained, on_cancelled };

static void
write_out (Conn *c, size_t max)
{
  BjStr out;

  while (max > 0 && (out = bj_pipeline_pending (&c->pipeline)).len > 0)
    {
      size_t n = MIN (out.len, max);

      g_string_append_len (c->written, out.data, (gssize)n);
      bj_pipeline_written (&c->pipeline, n);
      max -= n;
    }
}

static void
begin (Conn *c, const char *kind, int n)
{
  BjPipelineOptions o = { .runs_alone = kind[1] == 'i',
                          .keep_alive = kind[1] != 'o',
                          .no_body = kind[1] == 'h',
                          .is_chunked = kind[1] != 'o' && kind[1] != 'k' };

  c->requests[n] = bj_pipeline_begin (&c->pipeline, &o);
  calls[n] = (Call){ c, n };
  c->requests[n]->call = &calls[n];
}

static bool
check (bool is_right, const char *name, const char *step)
{
  if (!is_right)
    print_error ("%s: step \"%s\"\n", name, step);
  return is_right;
}

static bool
run_step (Conn *c, const char *name, const char *step)
{
  const char *digits = step + strcspn (step, "0123456789");
  int n = atoi (digits);
  const char *equals = strchr (step, '=');
  const char *value = equals != NULL ? equals + 1 : "";
  BjPipeline *p = &c->pipeline;

  switch (step[0])
    {
    case 'b':
      begin (c, step, n);
      return true;
    case 'h':
      bj_pipeline_head (c->requests[n],
                        200,
                        BJ_STR_NULL,
                        equals != NULL ? g_ascii_strtoll (value, NULL, 10) : -1);
      return true;
    case 'd':
      c->n_body[n] += strlen (value);
      bj_pipeline_data (c->requests[n], bj_str (value));
      return true;
    case 'D':
      {
        char *body = g_strnfill ((gsize)atoi (value), 'z');

        c->n_body[n] += strlen (body);
        bj_pipeline_data (c->requests[n], bj_str (body));
        g_free (body);
        return true;
      }
    case 'e':
    case 'x':
      c->is_over[n] = true;
      bj_pipeline_end (c->requests[n], step[0] == 'e');
      return true;
    case 'w':
      write_out (c, digits[0] != '\0' ? (size_t)n : SIZE_MAX);
      return true;
    case 'S':
      c->limits.is_stopping = true;
      return true;
    case 'G':
      bj_pipeline_clear (p);
      return true;
    case 'y':
    case 'n':
      return check (bj_pipeline_may_begin (p, step[1] == 'i') == (step[0] == 'y'), name, step);
    case 'r':
      return check (bj_pipeline_room (c->requests[n]) == (size_t)atoi (value), name, step);
    case 'u':
    case 'p':
      {
        bool was_notified = c->is_notified[n];

        c->is_notified[n] = false;
        return check (was_notified == (step[0] == 'u'), name, step);
      }
    case 'c':
    case 'l':
      return check (c->is_cancelled[n] == (step[0] == 'c'), name, step);
    case 'E':
      return check (p->is_ended && !bj_pipeline_is_broken (p), name, step);
    case 'B':
      return check (!p->is_ended && bj_pipeline_is_broken (p), name, step);
    case 'A':
      return check (!p->is_ended && !bj_pipeline_is_broken (p), name, step);
    case 'o':
      return check (p->n_open == n, name, step);
    default:
      return check (false, name, step);
    }
}

static void
shorten (GString *s)
{
  static const char *const pairs[][2] = {
    { "\r\n", "|" },
    { "HTTP/1.1 200 OK", "#" },
    { "Content-Length: ", "L" },
    { "Transfer-Encoding: chunked", "T" },
    { "Connection: close", "C" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (pairs); i++)
    g_string_replace (s, pairs[i][0], pairs[i][1], 0);
}

static bool
run_case (const Case *c)
{
  Conn conn = { .written = g_string_new (NULL),
                .limits = { c->requests_max, ROOM_BYTES, WAITING_BYTES, false } };
  char **steps = g_strsplit (c->steps, " ", -1);
  bool is_right = true;

  bj_pipeline_init (&conn.pipeline, &ops, &conn.limits, NULL);
  for (int i = 0; steps[i] != NULL; i++)
    is_right = run_step (&conn, c->name, steps[i]) && is_right;
  shorten (conn.written);
  if (c->expected != NULL && strcmp (conn.written->str, c->expected) != 0)
    {
      print_error ("%s: written %s\n  expected %s\n", c->name, conn.written->str, c->expected);
      is_right = false;
    }
  if (conn.pipeline.out != NULL)
    bj_pipeline_clear (&conn.pipeline);
  g_strfreev (steps);
  g_string_free (conn.written, TRUE);
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
}

// A caller that reads slowly and always keeps requests open must not make the output grow, and what
// a source sent must be reported as drained in full, else it would stay paused.
static void
test_slow_reader (void **state)
{
  Conn c = { .written = g_string_new (NULL), .limits = { 16, ROOM_BYTES, WAITING_BYTES, false } };
  size_t peak = 0;

  (void)state;
  bj_pipeline_init (&c.pipeline, &ops, &c.limits, NULL);
  for (int i = 0; i < 2000; i++)
    {
      int n = i % REQUESTS_MAX;

      begin (&c, "b", n);
      bj_pipeline_head (c.requests[n], 200, BJ_STR_NULL, 100);
      c.n_drained[n] = 0;
      while (c.pipeline.n_open > 4)
        write_out (&c, 7);
      run_step (&c, "slow", "d0=");
      for (int k = 0; k < 10; k++)
        bj_pipeline_data (c.requests[n], BJ_STR ("0123456789"));
      bj_pipeline_end (c.requests[n], true);
      peak = MAX (peak, c.pipeline.out->len);
    }
  print_message ("  peak output %zu bytes\n", peak);
  assert_true (peak < ROOM_BYTES + (16 + 1) * 200);
  bj_pipeline_clear (&c.pipeline);
  g_string_free (c.written, TRUE);
}

// In random orders of begins, parts and ends, the bytes of each response come out whole, in order,
// and every body byte is reported as drained exactly once before the response ends.
static void
test_random_orders (void **state)
{
  GRand *rand = g_rand_new_with_seed (20261204);

  (void)state;
  for (int round = 0; round < 500; round++)
    {
      Conn c
          = { .written = g_string_new (NULL), .limits = { 16, ROOM_BYTES, WAITING_BYTES, false } };
      GString *expected = g_string_new (NULL);
      int left[REQUESTS_MAX];
      int n_left = 0;

      bj_pipeline_init (&c.pipeline, &ops, &c.limits, NULL);
      for (int n = 0; n < 16; n++)
        {
          begin (&c, "b", n);
          left[n] = g_rand_int_range (rand, 0, 6);
          g_string_append (expected, "#|T||");
          for (int k = left[n]; k > 0; k--)
            g_string_append_printf (expected, "1|%c|", 'a' + n);
          g_string_append (expected, "0||");
          n_left++;
        }
      while (n_left > 0)
        {
          int n = g_rand_int_range (rand, 0, 16);
          char part = (char)('a' + n);

          if (c.requests[n] == NULL)
            continue;
          if (c.requests[n]->unwritten == 0 && c.requests[n]->waiting == NULL && c.n_body[n] == 0)
            bj_pipeline_head (c.requests[n], 200, BJ_STR_NULL, -1);
          c.n_body[n]++;
          if (left[n]-- > 0)
            bj_pipeline_data (c.requests[n], (BjStr){ &part, 1 });
          else
            {
              bj_pipeline_end (c.requests[n], true);
              c.requests[n] = NULL;
              n_left--;
            }
          if (g_rand_boolean (rand))
            write_out (&c, (size_t)g_rand_int_range (rand, 0, 200));
        }
      write_out (&c, SIZE_MAX);
      shorten (c.written);
      assert_string_equal (c.written->str, expected->str);
      assert_int_equal (c.pipeline.n_open, 0);
      assert_int_equal (c.pipeline.n_waiting, 0);
      bj_pipeline_clear (&c.pipeline);
      g_string_free (c.written, TRUE);
      g_string_free (expected, TRUE);
    }
  g_rand_free (rand);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_slow_reader),
    cmocka_unit_test (test_random_orders),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
