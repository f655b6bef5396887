// Own dialect: which responses of the upstream belong to a call.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

typedef struct
{
  const char *name;
  const char *headers;
  BjStatus expected;
} ResponseCase;

static const ResponseCase cases[] = {
  { "names no call", "X-Echo: 1\n", BJ_OK },
  { "names the call", "Bj-Call: 7\n", BJ_OK },
  { "names an earlier call on the connection", "Bj-Call: 6\n", BJ_E_FORMAT },
  { "names something else", "Bj-Call: x\n", BJ_E_FORMAT },
};

// An upstream may send a second copy of a response once its connection is in use again.
static void
test_late_copy_is_taken_for_the_next_response (void **state)
{
  const BjDialectOps *ops = bj_plugin_find (BJ_PLUGIN_DIALECT, BJ_STR ("borage"));
  BjCall call = { .id = 7 };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      BjHead h = { .status = 200, .headers = bj_str (cases[i].headers) };
      BjAnswer a = { 0 };
      GString *relayed = g_string_new (NULL);
      BjStatus s = ops->read_run (&call, &h, &a, relayed);

      if (s != cases[i].expected)
        fail_msg ("%s: %s", cases[i].name, bj_status_name (s));
      g_string_free (relayed, TRUE);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_late_copy_is_taken_for_the_next_response) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
