// Decoders of external input: malformed input must not crash them or yield an unknown status. Each
// decoder gets thousands of seeded mutations of valid frames, tickets, settings and announcements.
// Invalid tickets must be refused with their code and change nothing. Also run with ASan and UBSan.

#include "fleet.h"
#include <ev.h>
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define MUTATIONS 4000 // of each valid input
#define CHANGES_MAX 6  // exclusive limit of the edits in one mutation
#define OVERSIZED_BYTES (BJ_TICKET_MAX + 1)

typedef BjStatus (*Decode) (BjStr input);

typedef struct
{
  const char *name;
  Decode decode;
  const char *good;
} Input;

static BjDaemon *daemon_under_test;

static BjStatus
decode_frame (BjStr input)
{
  msgpack_unpacked unpacked;
  BjFrame f;
  BjStatus s;

  msgpack_unpacked_init (&unpacked);
  s = bj_frame_decode (input, &unpacked, &f);
  msgpack_unpacked_destroy (&unpacked);
  return s;
}

static BjStatus
decode_ticket (BjStr input)
{
  GString *out = g_string_new (NULL);
  BjStatus s = bj_ticket_merge (BJ_STR_NULL, input, out);

  bj_ticket_print_difference (BJ_STR_NULL, input, out);
  g_string_free (out, TRUE);
  return s;
}

static BjStatus
decode_filed_ticket (BjStr input)
{
  GString *out = g_string_new (NULL);
  BjStatus s = bj_ticket_decide (BJ_STR_NULL, 1, input, out);

  g_string_free (out, TRUE);
  return s;
}

static BjStatus
decode_config (BjStr input)
{
  GString *out = g_string_new (NULL);
  BjConfig *c;
  BjStatus s = bj_config_parse (input, &c);

  bj_config_free (c);
  bj_ticket_decide (input, 8, BJ_STR ("{}"), out);
  bj_ticket_print_difference (
      input, BJ_STR ("{\"number\":9,\"base\":8,\"services\":{\"a\":{}}}"), out);
  g_string_free (out, TRUE);
  return s;
}

static BjStatus
decode_settings (BjStr input)
{
  BjSettings settings;
  BjStatus s = bj_settings_parse ("settings", input, &settings);

  if (s == BJ_OK)
    bj_settings_clear (&settings);
  return s;
}

static BjStatus
decode_announcement (BjStr input)
{
  GString *out = g_string_new (NULL);
  int status
      = bj_admin_handle (daemon_under_test, BJ_STR ("POST"), BJ_STR ("/v1/announce"), input, out);

  g_string_free (out, TRUE);
  assert_true (status == 200 || status == 400);
  return status == 200 ? BJ_OK : BJ_E_FORMAT;
}

static const Input inputs[] = {
  { "ticket",
    decode_ticket,
    "{\"number\":1,\"base\":0,\"author\":\"a\",\"priorities\":[\"high\",\"low\"],"
    "\"services\":{\"a\":{\"routes\":[{\"prefix\":\"/a/\",\"class\":\"high\",\"irreversible\":true,"
    "\"deadline_ms\":5e3,\"attempts\":2}],\"limiter\":{\"plugin\":\"adaptive\",\"ramp_ms\":2},"
    "\"queue\":{\"max_wait_ms\":10,\"max_length\":3},\"retry\":{\"ratio\":0.1,\"burst\":5}}},"
    "\"upstreams\":{\"n\":{\"drain\":true,\"max_slots\":4}}}" },
  { "filed ticket",
    decode_filed_ticket,
    "{\"writer\":\"w\",\"ticket\":{\"number\":1,\"base\":0,\"priorities\":[\"high\"],\"services\":"
    "{\"a\":{\"routes\":[{\"prefix\":\"/a/\",\"class\":\"high\"}]}}}}" },
  { "configuration",
    decode_config,
    "{\"number\":7,\"decisions\":[{\"number\":7,\"writer\":\"w\",\"code\":0}],\"priorities\":"
    "[\"high\"],\"priorities_number\":2,\"services\":{\"a\":{\"number\":3,\"routes\":[{\"prefix\":"
    "\"/a/\",\"class\":\"high\"}]}},\"upstreams\":{\"n\":{\"number\":7,\"drain\":false}}}" },
  { "settings",
    decode_settings,
    "// settings\n{\"name\":\"n\",\"domain\":\"d\",\"region\":\"r\",\"front\":\"127.0.0.1:1\","
    "\"admin\":\"127.0.0.1:2\",\"link\":\"127.0.0.1:3\",\"gossip\":\"127.0.0.1:4\",/* s */"
    "\"seeds\":[\"127.0.0.1:5\"],\"platform\":{\"url\":\"http://127.0.0.1:9\"},\"drain_ms\":5}" },
  { "announcement",
    decode_announcement,
    "{\"service\":\"a\",\"host\":\"127.0.0.1\",\"port\":80,\"slots\":4,\"connections\":9,"
    "\"load\":0.5}" },
};

// Overwrites, inserts, erases or duplicates bytes, flips a bit or truncates.
static void
mutate (GRand *rand, GString *s)
{
  static const char *const pieces[]
      = { "{", "}",  "[", "]",  "\"",   ":",    ",",    "null", "1e999", "-1",
          "/", "/*", "'", "\\", "\\u0", "true", "\xff", "NaN",  "{}",    "[]" };
  int n = g_rand_int_range (rand, 1, CHANGES_MAX);

  for (int i = 0; i < n; i++)
    {
      gsize at = s->len > 0 ? (gsize)g_rand_int_range (rand, 0, (gint32)s->len) : 0;
      gsize span = MIN (s->len - at, (gsize)20);

      switch (s->len > 0 ? g_rand_int_range (rand, 0, 6) : 1)
        {
        case 0:
          s->str[at] = (char)g_rand_int_range (rand, 0, 256);
          break;
        case 1:
          g_string_insert (
              s, (gssize)at, pieces[g_rand_int_range (rand, 0, G_N_ELEMENTS (pieces))]);
          break;
        case 2:
          g_string_erase (s, (gssize)at, g_rand_int_range (rand, 1, (gint32)span + 1));
          break;
        case 3:
          {
            char *copy = g_strndup (s->str + at, span);

            g_string_insert (s, g_rand_int_range (rand, 0, (gint32)s->len), copy);
            g_free (copy);
          }
          break;
        case 4:
          s->str[at] ^= (char)(1 << g_rand_int_range (rand, 0, 8));
          break;
        default:
          if (g_rand_int_range (rand, 0, 4) == 0)
            g_string_truncate (s, at);
        }
    }
}

// Copies the input into a buffer of its exact size, so that ASan detects reads past its end.
static BjStatus
decode_exact (Decode decode, const GString *s)
{
  char *exact = malloc (MAX (s->len, 1));
  BjStatus status;

  memcpy (exact, s->str, s->len);
  status = decode ((BjStr){ exact, s->len });
  free (exact);
  return status;
}

static void
mutate_input (const char *name, Decode decode, BjStr good, int n)
{
  int n_accepted = 0;
  GString *s = g_string_new_len (good.data, (gssize)good.len);

  assert_int_equal (decode_exact (decode, s), BJ_OK);
  for (int seed = 0; seed < n; seed++)
    {
      GRand *rand = g_rand_new_with_seed ((guint32)seed);
      BjStatus status;

      g_string_truncate (s, 0);
      g_string_append_len (s, good.data, (gssize)good.len);
      mutate (rand, s);
      status = decode_exact (decode, s);
      n_accepted += status == BJ_OK;
      if (strcmp (bj_status_name (status), "BJ_E_UNKNOWN") == 0)
        print_error ("%s, seed %d: status %d has no name\n", name, seed, status);
      assert_string_not_equal (bj_status_name (status), "BJ_E_UNKNOWN");
      g_rand_free (rand);
    }
  print_message ("%-22s %d mutations, %d accepted\n", name, n, n_accepted);
  g_string_free (s, TRUE);
}

static void
test_mutated_texts (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (inputs); i++)
    mutate_input (inputs[i].name, inputs[i].decode, bj_str (inputs[i].good), MUTATIONS);
}

static void
test_mutated_frames (void **state)
{
  BjFrame f = {
    .id = 7,
    .name = BJ_STR ("daemon"),
    .protocol = BJ_PROTOCOL_VERSION,
    .request = { .method = BJ_STR ("POST"),
                 .path = BJ_STR ("/a/b?c"),
                 .key = BJ_STR ("key"),
                 .content_type = BJ_STR ("text/plain"),
                 .headers = BJ_STR ("A: b\n"),
                 .body = BJ_STR ("a body"),
                 .klass = 1,
                 .deadline_ms = 50,
                 .attempts_left = 2 },
    .answer = { .http_status = 200, .content_type = BJ_STR ("text/plain"), .length = 9 },
    .data = BJ_STR ("some data"),
    .length = 1000,
    .hash = 0x123456789abcdefULL,
    .is_complete = true,
  };

  (void)state;
  for (f.kind = BJ_FRAME_HELLO; f.kind < BJ_FRAME_KINDS; f.kind++)
    {
      msgpack_sbuffer out;
      char name[32];

      msgpack_sbuffer_init (&out);
      bj_frame_encode (&out, &f);
      g_snprintf (name, sizeof name, "frame of kind %d", f.kind);
      mutate_input (name, decode_frame, (BjStr){ out.data + 4, out.size - 4 }, MUTATIONS);
      msgpack_sbuffer_destroy (&out);
    }
}

typedef struct
{
  const char *name;
  const char *ticket;
  BjStatus expected;
} BadTicket;

#define CURRENT                                                                                    \
  "{\"number\":4,\"priorities\":[\"high\"],\"priorities_number\":1,\"services\":{\"a\":{"          \
  "\"number\":4,\"routes\":[{\"prefix\":\"/a/\",\"class\":\"high\"}]}}}"
#define SERVICE(name, prefix)                                                                      \
  "{\"number\":5,\"base\":4,\"services\":{\"" name "\":{\"routes\":[{\"prefix\":\"" prefix         \
  "\",\"class\":\"high\"}]}}}"

static const BadTicket bad_tickets[] = {
  { "nested too deeply",
    "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]",
    BJ_E_TICKET },
  { "invalid UTF-8", "{\"number\":5,\"base\":4,\"author\":\"\xc3\x28\"}", BJ_E_TICKET },
  { "wrong base", "{\"number\":5,\"base\":3,\"services\":{\"a\":{\"routes\":[]}}}", BJ_E_BASE },
  { "base not below the number", "{\"number\":5,\"base\":9}", BJ_E_BASE },
  { "service with an empty name", SERVICE ("", "/b/"), BJ_E_TICKET },
  { "space in the name of a service", SERVICE ("b b", "/b/"), BJ_E_TICKET },
  { "service without routes",
    "{\"number\":5,\"base\":4,\"services\":{\"b\":{\"routes\":[]}}}",
    BJ_E_TICKET },
  { "prefix used by another service", SERVICE ("b", "/a/"), BJ_E_TICKET },
  { "second service invalid, first valid",
    "{\"number\":5,\"base\":4,\"services\":{\"b\":{\"routes\":[{\"prefix\":\"/b/\",\"class\":"
    "\"high\"}]},\"c\":{\"routes\":[{\"prefix\":\"/c/\",\"class\":\"none\"}]}}}",
    BJ_E_TICKET },
  { "priorities lack a class in use",
    "{\"number\":5,\"base\":4,\"priorities\":[\"low\"]}",
    BJ_E_TICKET },
  { "number is not the next one", "{\"number\":6,\"base\":4}", BJ_E_TICKET },
  { "upstream is not an object", "{\"number\":5,\"base\":4,\"upstreams\":{\"n\":7}}", BJ_E_TICKET },
  { "duplicate key", "{\"number\":5,\"base\":4,\"base\":3}", BJ_E_TICKET },
};

// A refused ticket changes only the number and the list of decisions.
static void
check_refused (const char *name, BjStr ticket, BjStatus expected)
{
  GString *filed = g_string_new ("{\"writer\":\"w\",\"ticket\":");
  GString *next = g_string_new (NULL);
  struct json_object *before = json_tokener_parse (CURRENT);
  struct json_object *after;
  struct json_object *d;

  g_string_append_len (filed, ticket.data, (gssize)ticket.len);
  g_string_append_c (filed, '}');
  assert_int_equal (bj_ticket_decide (BJ_STR (CURRENT), 5, (BjStr){ filed->str, filed->len }, next),
                    BJ_OK);
  after = json_tokener_parse (next->str);
  d = bj_ticket_find_decision (after, 5);
  if (bj_json_int (d, "code") != (int64_t)expected)
    print_error ("%s: %s\n", name, json_object_to_json_string (d));
  assert_int_equal (bj_json_int (d, "code"), expected);
  assert_true (bj_json_str (d, "reason").len > 0);
  json_object_object_del (after, "decisions");
  json_object_object_del (after, "number");
  json_object_object_del (before, "number");
  assert_true (json_object_equal (before, after));
  json_object_put (before);
  json_object_put (after);
  g_string_free (next, TRUE);
  g_string_free (filed, TRUE);
}

static void
test_bad_tickets (void **state)
{
  char *oversized = g_malloc (OVERSIZED_BYTES);

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (bad_tickets); i++)
    check_refused (bad_tickets[i].name, bj_str (bad_tickets[i].ticket), bad_tickets[i].expected);
  memset (oversized, ' ', OVERSIZED_BYTES);
  check_refused ("larger than the limit", (BjStr){ oversized, OVERSIZED_BYTES }, BJ_E_TOO_LARGE);
  g_free (oversized);
}

static int
open_daemon (void **state)
{
  static Fleet f;
  FleetNode node = { .name = "n", .domain = "d", .region = "r" };
  FleetMember *m = &f.members[0];
  char *text;
  BjSettings *s = g_new0 (BjSettings, 1);
  BjStatus status;

  bj_log_open (BJ_LOG_ERROR);
  fleet_init (&f, &node, 1);
  text = g_strdup_printf ("{\"name\":\"n\",\"domain\":\"d\",\"region\":\"r\","
                          "\"front\":\"127.0.0.1:%d\",\"admin\":\"127.0.0.1:%d\","
                          "\"link\":\"127.0.0.1:%d\",\"gossip\":\"127.0.0.1:%d\","
                          "\"platform\":{\"url\":\"http://127.0.0.1:%d\"}}",
                          m->front_port,
                          m->admin_port,
                          m->link_port,
                          m->gossip_port,
                          f.platform_port);
  status = bj_settings_parse ("settings", bj_str (text), s);
  if (status == BJ_OK)
    status = bj_daemon_new (ev_default_loop (0), s, &daemon_under_test);
  g_free (text);
  *state = s;
  fleet_stop (&f);
  return status == BJ_OK ? 0 : 1;
}

static int
close_daemon (void **state)
{
  bj_daemon_free (daemon_under_test);
  bj_settings_clear (*state);
  g_free (*state);
  ev_loop_destroy (ev_default_loop (0));
  return 0;
}

typedef struct
{
  const char *name;
  BjFrame frame;
} RangeCase;

// Fields of the right type but out of range; some are used as array indexes.
static const RangeCase range_cases[] = {
  { "outcome",
    { .kind = BJ_FRAME_ANSWER, .answer = { .http_status = 200, .outcome = (BjOutcome)7 } } },
  { "result code",
    { .kind = BJ_FRAME_ANSWER, .answer = { .http_status = 200, .code = (BjStatus)9999 } } },
  { "HTTP status", { .kind = BJ_FRAME_ANSWER, .answer = { .http_status = 7 } } },
  { "length", { .kind = BJ_FRAME_ANSWER, .answer = { .http_status = 200, .length = -9 } } },
  { "retry-after time",
    { .kind = BJ_FRAME_ANSWER, .answer = { .http_status = 200, .retry_after_ms = NAN } } },
  { "class", { .kind = BJ_FRAME_CALL, .request = { .klass = 99, .deadline_ms = 1 } } },
  { "deadline", { .kind = BJ_FRAME_CALL, .request = { .klass = 1, .deadline_ms = INFINITY } } },
};

static void
test_fields_out_of_range (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (range_cases); i++)
    {
      msgpack_sbuffer out;
      msgpack_unpacked unpacked;
      BjFrame f;

      msgpack_sbuffer_init (&out);
      msgpack_unpacked_init (&unpacked);
      bj_frame_encode (&out, &range_cases[i].frame);
      print_message ("  %s\n", range_cases[i].name);
      assert_int_equal (bj_frame_decode ((BjStr){ out.data + 4, out.size - 4 }, &unpacked, &f),
                        BJ_E_FORMAT);
      msgpack_unpacked_destroy (&unpacked);
      msgpack_sbuffer_destroy (&out);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_fields_out_of_range),
    cmocka_unit_test (test_mutated_frames),
    cmocka_unit_test (test_mutated_texts),
    cmocka_unit_test (test_bad_tickets),
  };

  return cmocka_run_group_tests (tests, open_daemon, close_daemon);
}
