// Checker: each broken record is caught by its own rule, a sound one by none.

#include "checker.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define STEPS_MAX 4

typedef enum
{
  STEP_NONE,
  STEP_TOLD,
  STEP_RAN,
  STEP_TICKET,
  STEP_STORE,
  STEP_AFTER_DRAIN,
  STEP_STOP,
} StepKind;

typedef struct
{
  StepKind kind;
  CheckSend told;
  int64_t number;
  const char *spec;
} Step;

typedef struct
{
  const char *name;
  Step steps[STEPS_MAX];
  int expected; // rule, CHECK_RULES for none
} Case;

#define OWN                                                                                        \
  .key = "k", .id = "me", .is_answer = true, .is_complete = true, .wanted = 5,                     \
  .body = BJ_STR ("me me")

static const Case cases[] = {
  { "sound",
    { { .kind = STEP_TOLD, .told = { OWN, .outcome = BJ_DONE } },
      { .kind = STEP_RAN },
      { .kind = STEP_TICKET, .number = 2 } },
    CHECK_RULES },
  { "first not run, then run",
    { { .kind = STEP_TOLD, .told = { .key = "k", .outcome = BJ_NOT_RUN } },
      { .kind = STEP_TOLD, .told = { OWN, .outcome = BJ_DONE } },
      { .kind = STEP_RAN } },
    CHECK_RULES },
  { "unknown and run",
    { { .kind = STEP_TOLD, .told = { .key = "k", .outcome = BJ_UNKNOWN } }, { .kind = STEP_RAN } },
    CHECK_RULES },
  { "ran twice",
    { { .kind = STEP_TOLD, .told = { OWN, .outcome = BJ_DONE } },
      { .kind = STEP_RAN },
      { .kind = STEP_RAN } },
    CHECK_TWICE },
  { "told not-run, and it ran",
    { { .kind = STEP_TOLD, .told = { .key = "k", .outcome = BJ_NOT_RUN } }, { .kind = STEP_RAN } },
    CHECK_NOT_RUN },
  { "half an answer, ended cleanly",
    { { .kind = STEP_TOLD,
        .told = { .id = "me",
                  .is_answer = true,
                  .is_complete = true,
                  .wanted = 64,
                  .outcome = BJ_DONE,
                  .body = BJ_STR ("me me") } } },
    CHECK_PART },
  { "half an answer, abnormal end",
    { { .kind = STEP_TOLD,
        .told = { .id = "me",
                  .is_answer = true,
                  .wanted = 64,
                  .outcome = BJ_UNKNOWN,
                  .body = BJ_STR ("me me") } } },
    CHECK_RULES },
  { "another caller's answer",
    { { .kind = STEP_TOLD,
        .told = { .id = "me",
                  .is_answer = true,
                  .is_complete = true,
                  .wanted = 5,
                  .outcome = BJ_DONE,
                  .body = BJ_STR ("it it") } } },
    CHECK_FOREIGN },
  { "older ticket",
    { { .kind = STEP_TICKET, .number = 2 }, { .kind = STEP_TICKET, .number = 1 } },
    CHECK_BACK },
  { "same ticket",
    { { .kind = STEP_TICKET, .number = 2 }, { .kind = STEP_TICKET, .number = 2 } },
    CHECK_RULES },
  { "new work after a drain", { { .kind = STEP_AFTER_DRAIN, .number = 1 } }, CHECK_NEW_WORK },
  { "cut at a stop", { { .kind = STEP_STOP, .number = 1 } }, CHECK_CUT },
  { "told done, and it never ran",
    { { .kind = STEP_TOLD, .told = { OWN, .outcome = BJ_DONE } } },
    CHECK_NEVER_RAN },
  { "recorded as done, and it never ran",
    { { .kind = STEP_STORE,
        .spec
        = "{\"watermark\":0,\"claims\":[[\"k@orders\",1,\"a/1\",1,1,1,0,\"\",\"\",\"\"]]}" } },
    CHECK_NEVER_RAN },
  { "claimed and not run",
    { { .kind = STEP_STORE,
        .spec
        = "{\"watermark\":0,\"claims\":[[\"k@orders\",1,\"a/1\",1,1,0,0,\"\",\"\",\"\"]]}" } },
    CHECK_RULES },
};

static void
take_step (Checker *c, const Step *s)
{
  struct json_object *o;

  switch (s->kind)
    {
    case STEP_NONE:
      break;
    case STEP_TOLD:
      checker_told (c, &s->told);
      break;
    case STEP_RAN:
      checker_ran (c, "k");
      break;
    case STEP_TICKET:
      checker_ticket (c, "a", s->number);
      break;
    case STEP_STORE:
      o = json_tokener_parse (s->spec);
      checker_store (c, o);
      json_object_put (o);
      break;
    case STEP_AFTER_DRAIN:
      checker_after_drain (c, "a", s->number);
      break;
    case STEP_STOP:
      checker_stop (c, "a", s->number);
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
      int breaches[CHECK_RULES];
      int total;

      for (int s = 0; s < STEPS_MAX; s++)
        take_step (c, &cases[i].steps[s]);
      total = checker_finish (c, breaches, out);
      print_message ("  %s\n", cases[i].name);
      assert_int_equal (total, cases[i].expected < CHECK_RULES ? 1 : 0);
      if (cases[i].expected < CHECK_RULES)
        assert_int_equal (breaches[cases[i].expected], 1);
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
