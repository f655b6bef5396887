// Checker: each violation must be counted under its own rule, and a correct record under none. A
// rule that misses its violation would let every fleet test pass.

#include "checker.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define STEPS_MAX 4

typedef enum
{
  STEP_NONE,
  STEP_RESPONSE,
  STEP_EXECUTION,
  STEP_TICKET,
  STEP_CLAIMS,
  STEP_AFTER_DRAIN,
  STEP_ABORT_CALLS,
} StepKind;

typedef struct
{
  StepKind kind;
  CheckExchange exchange;
  int64_t number;
  const char *spec;
} Step;

typedef struct
{
  const char *name;
  Step steps[STEPS_MAX];
  int expected; // violated rule, CHECK_RULES for none
} Case;

#define OWN_RESPONSE                                                                               \
  .key = "k", .id = "me", .is_from_upstream = true, .is_complete = true, .expected_bytes = 5,      \
  .body = BJ_STR ("me me")

static const Case cases[] = {
  { "response, execution and ticket are consistent",
    { { .kind = STEP_RESPONSE, .exchange = { OWN_RESPONSE, .outcome = BJ_DONE } },
      { .kind = STEP_EXECUTION },
      { .kind = STEP_TICKET, .number = 2 } },
    CHECK_RULES },
  { "not-run first, then executed and done",
    { { .kind = STEP_RESPONSE, .exchange = { .key = "k", .outcome = BJ_NOT_RUN } },
      { .kind = STEP_RESPONSE, .exchange = { OWN_RESPONSE, .outcome = BJ_DONE } },
      { .kind = STEP_EXECUTION } },
    CHECK_RULES },
  { "unknown outcome, executed once",
    { { .kind = STEP_RESPONSE, .exchange = { .key = "k", .outcome = BJ_UNKNOWN } },
      { .kind = STEP_EXECUTION } },
    CHECK_RULES },
  { "executed twice",
    { { .kind = STEP_RESPONSE, .exchange = { OWN_RESPONSE, .outcome = BJ_DONE } },
      { .kind = STEP_EXECUTION },
      { .kind = STEP_EXECUTION } },
    CHECK_EXECUTED_TWICE },
  { "reported as not-run but executed",
    { { .kind = STEP_RESPONSE, .exchange = { .key = "k", .outcome = BJ_NOT_RUN } },
      { .kind = STEP_EXECUTION } },
    CHECK_NOT_RUN_EXECUTED },
  { "truncated response that ended cleanly",
    { { .kind = STEP_RESPONSE,
        .exchange = { .id = "me",
                      .is_from_upstream = true,
                      .is_complete = true,
                      .expected_bytes = 64,
                      .outcome = BJ_DONE,
                      .body = BJ_STR ("me me") } } },
    CHECK_TRUNCATED_RESPONSE },
  { "truncated response that ended with an error",
    { { .kind = STEP_RESPONSE,
        .exchange = { .id = "me",
                      .is_from_upstream = true,
                      .expected_bytes = 64,
                      .outcome = BJ_UNKNOWN,
                      .body = BJ_STR ("me me") } } },
    CHECK_RULES },
  { "response to another caller",
    { { .kind = STEP_RESPONSE,
        .exchange = { .id = "me",
                      .is_from_upstream = true,
                      .is_complete = true,
                      .expected_bytes = 5,
                      .outcome = BJ_DONE,
                      .body = BJ_STR ("it it") } } },
    CHECK_FOREIGN_RESPONSE },
  { "daemon returned to an older ticket",
    { { .kind = STEP_TICKET, .number = 2 }, { .kind = STEP_TICKET, .number = 1 } },
    CHECK_OLDER_TICKET },
  { "same ticket seen twice",
    { { .kind = STEP_TICKET, .number = 2 }, { .kind = STEP_TICKET, .number = 2 } },
    CHECK_RULES },
  { "new work after a drain",
    { { .kind = STEP_AFTER_DRAIN, .number = 1 } },
    CHECK_NEW_WORK_AFTER_DRAIN },
  { "call cut at a planned stop",
    { { .kind = STEP_ABORT_CALLS, .number = 1 } },
    CHECK_CALL_ABORTED },
  { "reported as done but never executed",
    { { .kind = STEP_RESPONSE, .exchange = { OWN_RESPONSE, .outcome = BJ_DONE } } },
    CHECK_DONE_NOT_EXECUTED },
  { "recorded as done but never executed",
    { { .kind = STEP_CLAIMS,
        .spec
        = "{\"watermark\":0,\"claims\":[[\"k@orders\",1,\"a/1\",1,1,1,0,\"\",\"\",\"\"]]}" } },
    CHECK_DONE_NOT_EXECUTED },
  { "claimed but not executed",
    { { .kind = STEP_CLAIMS,
        .spec
        = "{\"watermark\":0,\"claims\":[[\"k@orders\",1,\"a/1\",1,1,0,0,\"\",\"\",\"\"]]}" } },
    CHECK_RULES },
};

static void
apply_step (Checker *c, const Step *s)
{
  struct json_object *o;

  switch (s->kind)
    {
    case STEP_NONE:
      break;
    case STEP_RESPONSE:
      checker_add_response (c, &s->exchange);
      break;
    case STEP_EXECUTION:
      checker_add_execution (c, "k");
      break;
    case STEP_TICKET:
      checker_add_ticket (c, "a", s->number);
      break;
    case STEP_CLAIMS:
      o = json_tokener_parse (s->spec);
      checker_add_claims (c, o);
      json_object_put (o);
      break;
    case STEP_AFTER_DRAIN:
      checker_add_executions_after_drain (c, "a", s->number);
      break;
    case STEP_ABORT_CALLS:
      checker_add_aborted_calls (c, "a", s->number);
      break;
    }
}

static void
test_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Checker *c = checker_new ();
      GString *out = g_string_new (NULL);
      int violations[CHECK_RULES];
      int total;

      for (int s = 0; s < STEPS_MAX; s++)
        apply_step (c, &cases[i].steps[s]);
      total = checker_finish (c, violations, out);
      print_message ("  %s\n", cases[i].name);
      assert_int_equal (total, cases[i].expected < CHECK_RULES ? 1 : 0);
      if (cases[i].expected < CHECK_RULES)
        assert_int_equal (violations[cases[i].expected], 1);
      g_string_free (out, TRUE);
      checker_free (c);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
