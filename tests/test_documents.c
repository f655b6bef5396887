// Operator documentation can get out of step with the code: each settings key, ticket key and
// result code must have exactly one row in its page, and there must be no other rows.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define CODES_MAX 100 // codes checked: 0 to 99
#define ROW "| `"     // start of a row of a key

typedef struct
{
  const char *page;
  const BjJsonTable *(*tables) (int *n);
} Page;

static const Page pages[] = {
  { "SETTINGS.md", bj_settings_tables },
  { "TICKETS.md", bj_ticket_tables },
};

static char **
read_lines (const char *page)
{
  char *path = g_strdup_printf ("%s/docs/%s", BJ_SOURCE_DIR, page);
  char *text = NULL;
  char **lines;

  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  g_free (text);
  g_free (path);
  return lines;
}

static const char *
unit_of (BjJsonType t)
{
  if (t == BJ_JSON_STR)
    return " bytes";
  return t == BJ_JSON_ARRAY ? " entries" : "";
}

// Example: "| `settings.name` | a string | 1 to 64 bytes | required |"
static char *
make_row (const char *path, const BjJsonKey *k)
{
  char *range = k->min == 0 && k->max == 0
                    ? g_strdup ("any")
                    : g_strdup_printf ("%.16g to %.16g%s", k->min, k->max, unit_of (k->type));
  char *row = g_strdup_printf (ROW "%s.%s` | %s | %s |%s",
                               path,
                               k->key,
                               bj_json_type_name (k->type),
                               range,
                               k->required ? " required |" : " ");

  g_free (range);
  return row;
}

static int
count_rows (char **lines, const char *prefix)
{
  int n = 0;

  for (int i = 0; lines[i] != NULL; i++)
    n += g_str_has_prefix (lines[i], prefix);
  return n;
}

static void
test_rows_of_keys (void **state)
{
  int n_wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (pages); i++)
    {
      char **lines = read_lines (pages[i].page);
      int n_tables;
      int n_keys = 0;
      const BjJsonTable *tables = pages[i].tables (&n_tables);

      for (int t = 0; t < n_tables; t++)
        for (int k = 0; k < tables[t].n; k++)
          {
            char *row = make_row (tables[t].path, &tables[t].keys[k]);

            n_keys++;
            if (count_rows (lines, row) != 1)
              print_error ("%s must have exactly one row: %s\n", pages[i].page, row);
            n_wrong += count_rows (lines, row) != 1;
            g_free (row);
          }
      if (count_rows (lines, ROW) != n_keys)
        print_error (
            "%s has %d rows for %d keys\n", pages[i].page, count_rows (lines, ROW), n_keys);
      n_wrong += count_rows (lines, ROW) != n_keys;
      g_strfreev (lines);
    }
  assert_int_equal (n_wrong, 0);
}

static void
test_rows_of_result_codes (void **state)
{
  char **lines = read_lines ("RESULT-CODES.md");
  int n_codes = 0;
  int n_wrong = 0;
  int n_rows = 0;

  (void)state;
  for (int code = 0; code < CODES_MAX; code++)
    {
      const char *name = bj_status_name ((BjStatus)code);
      char *row = g_strdup_printf ("| %d | `%s` | ", code, name);
      bool is_known = strcmp (name, "BJ_E_UNKNOWN") != 0;

      n_codes += is_known;
      if (is_known && count_rows (lines, row) != 1)
        print_error ("RESULT-CODES.md must have exactly one row: %s\n", row);
      n_wrong += is_known && count_rows (lines, row) != 1;
      g_free (row);
    }
  for (int i = 0; lines[i] != NULL; i++)
    n_rows += lines[i][0] == '|' && strstr (lines[i], "| `BJ_") != NULL;
  g_strfreev (lines);
  assert_int_equal (n_wrong, 0);
  assert_int_equal (n_rows, n_codes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rows_of_keys),
    cmocka_unit_test (test_rows_of_result_codes),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
