// Merging tickets into a configuration: which tickets are accepted, and the result code of refused
// ones.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define ROUTES "\"routes\":[{\"prefix\":\"/a/\",\"class\":\"high\"}]"
#define OTHER_ROUTES "\"routes\":[{\"prefix\":\"/b/\",\"class\":\"high\"}]"

typedef struct
{
  const char *name;
  const char *current;
  const char *ticket;
  BjStatus expected;
} MergeCase;

static const MergeCase merge_cases[] = {
  { "first ticket",
    "",
    "{\"number\":1,\"base\":0,\"priorities\":[\"high\"],\"services\":{\"a\":{" ROUTES "}}}",
    BJ_OK },
  { "comments are allowed", "", "// why\n{\"number\":1,\"base\":0}", BJ_OK },
  { "unknown key", "", "{\"number\":1,\"base\":0,\"servises\":{}}", BJ_E_TICKET },
  { "missing number", "", "{\"base\":0}", BJ_E_TICKET },
  { "number is a string", "", "{\"number\":\"1\",\"base\":0}", BJ_E_TICKET },
  { "number out of range", "", "{\"number\":0,\"base\":0}", BJ_E_TICKET },
  { "class not among the priorities",
    "",
    "{\"number\":1,\"base\":0,\"services\":{\"a\":{" ROUTES "}}}",
    BJ_E_TICKET },
  { "unknown plugin",
    "",
    "{\"number\":1,\"base\":0,\"priorities\":[\"high\"],\"services\":{\"a\":{" ROUTES
    ",\"limiter\":{\"plugin\":\"psychic\"}}}}",
    BJ_E_TICKET },
  { "duplicate class",
    "",
    "{\"number\":1,\"base\":0,\"priorities\":[\"high\",\"high\"]}",
    BJ_E_TICKET },
  { "text after the value", "", "{\"number\":1,\"base\":0} x", BJ_E_TICKET },
  { "truncated text", "", "{\"number\":1,", BJ_E_TICKET },
  { "not UTF-8", "", "{\"number\":1,\"base\":0,\"author\":\"\xff\"}", BJ_E_TICKET },
  { "nested too deeply", "", "[[[[[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]]]]]", BJ_E_TICKET },
  { "number not above the last decided one",
    "{\"number\":4}",
    "{\"number\":4,\"base\":4}",
    BJ_E_EXISTS },
  { "base not below the number", "", "{\"number\":4,\"base\":4}", BJ_E_BASE },
  { "service changed after base",
    "{\"number\":4,\"priorities\":[\"high\"],\"services\":{\"a\":{\"number\":4," ROUTES "}}}",
    "{\"number\":5,\"base\":3,\"services\":{\"a\":{" ROUTES "}}}",
    BJ_E_BASE },
  { "only another service changed after base",
    "{\"number\":4,\"priorities\":[\"high\"],\"services\":{\"a\":{\"number\":4," ROUTES "}}}",
    "{\"number\":5,\"base\":3,\"services\":{\"b\":{" OTHER_ROUTES "}}}",
    BJ_OK },
  { "priorities changed after base",
    "{\"number\":4,\"priorities\":[\"high\"],\"priorities_number\":4}",
    "{\"number\":5,\"base\":3,\"priorities\":[\"low\"]}",
    BJ_E_BASE },
};

static void
test_merge (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (merge_cases); i++)
    {
      const MergeCase *c = &merge_cases[i];
      GString *merged = g_string_new (NULL);
      BjStatus s = bj_ticket_merge (bj_str (c->current), bj_str (c->ticket), merged);

      if (s != c->expected)
        print_error ("%s: %s, %s\n", c->name, bj_status_name (s), bj_last_message ());
      assert_int_equal (s, c->expected);
      g_string_free (merged, TRUE);
    }
}

static void
test_numbers_after_merge (void **state)
{
  GString *merged = g_string_new (NULL);
  BjConfig *c;

  (void)state;
  assert_int_equal (
      bj_ticket_merge (
          BJ_STR (
              "{\"number\":4,\"priorities\":[\"high\"],\"services\":{\"a\":{\"number\":2," ROUTES
              "}}}"),
          BJ_STR ("{\"number\":5,\"base\":4,\"services\":{\"b\":{" OTHER_ROUTES "}}}"),
          merged),
      BJ_OK);
  assert_int_equal (bj_config_parse ((BjStr){ merged->str, merged->len }, &c), BJ_OK);
  assert_int_equal (c->number, 5);
  assert_int_equal (bj_config_service (c, BJ_STR ("a"))->number, 2);
  assert_int_equal (bj_config_service (c, BJ_STR ("b"))->number, 5);
  bj_config_free (c);
  g_string_free (merged, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_merge),
    cmocka_unit_test (test_numbers_after_merge),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
