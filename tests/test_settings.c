// Settings: valid texts are accepted; the error for an invalid text names the file, the key or
// line, the value and the allowed values, in one line.

#include "internal.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define HEAD "{\"name\":\"n\",\"domain\":\"d\",\"region\":\"r\","
#define PORTS                                                                                      \
  "\"front\":\"127.0.0.1:1\",\"admin\":\"127.0.0.1:2\","                                           \
  "\"link\":\"127.0.0.1:3\",\"gossip\":\"127.0.0.1:4\","
#define PLATFORM "\"platform\":{\"url\":\"http://127.0.0.1:9\"}"
#define GOOD HEAD PORTS PLATFORM

typedef struct
{
  const char *name;
  const char *text;
  BjStatus expected;
  const char *place;   // part of the message: key or line, with the value
  const char *allowed; // part of the message: what is allowed
} Case;

static const Case cases[] = {
  { "required keys only", GOOD "}", BJ_OK, "", "" },
  { "comments", "// a\n" GOOD "/* b */}", BJ_OK, "", "" },
  { "unknown key", GOOD ",\"nmae\":1}", BJ_E_SETTINGS, "\"nmae\"", "allowed: name, domain" },
  { "unknown key in a nested object",
    HEAD PORTS "\"platform\":{\"url\":\"x\",\"uri\":1}}",
    BJ_E_SETTINGS,
    "settings.platform: unknown key \"uri\"",
    "allowed: plugin, url" },
  { "required key is missing",
    HEAD PLATFORM "}",
    BJ_E_SETTINGS,
    "settings: key \"front\"",
    "missing" },
  { "duplicate key", GOOD ",\n\"name\":\"m\"}", BJ_E_SETTINGS, "line 2: key \"name\"", "twice" },
  { "duplicate key in a nested object",
    HEAD PORTS "\"platform\":{\"url\":\"x\",\n\n\"url\":\"y\"}}",
    BJ_E_SETTINGS,
    "line 3: key \"url\"",
    "twice" },
  { "same key in two objects",
    HEAD PORTS "\"advertise\":{\"link\":\"1.2.3.4:5\"}," PLATFORM "}",
    BJ_OK,
    "",
    "" },
  { "key after a comment that contains a quote", GOOD "/* \" */,\"drain_ms\":1}", BJ_OK, "", "" },
  { "escape sequence in a key",
    GOOD ",\"n\\u0061me\":\"x\"}",
    BJ_E_SETTINGS,
    "line 1: an escape",
    "" },
  { "object instead of an array",
    GOOD ",\"seeds\":{}}",
    BJ_E_SETTINGS,
    "settings.seeds: { }",
    "an array" },
  { "number instead of a string",
    GOOD ",\"key_file\":7}",
    BJ_E_SETTINGS,
    "key_file: 7",
    "a string" },
  { "zero byte in a string",
    GOOD ",\"key_file\":\"a\\u0000b\"}",
    BJ_E_SETTINGS,
    "key_file",
    "zero byte" },
  { "number above the range",
    GOOD ",\"drain_ms\":1e9}",
    BJ_E_SETTINGS,
    "drain_ms: value 1e+09",
    "0 to 600000" },
  { "number below the range",
    GOOD ",\"drain_ms\":-1}",
    BJ_E_SETTINGS,
    "drain_ms: value -1",
    "0 to" },
  { "no pipelined request",
    GOOD ",\"pipelined_max\":0}",
    BJ_E_SETTINGS,
    "pipelined_max: value 0",
    "1 to 256" },
  { "NaN", GOOD ",\"drain_ms\":NaN}", BJ_E_SETTINGS, "drain_ms: value", "0 to 600000" },
  { "empty name",
    "{\"name\":\"\",\"domain\":\"d\",\"region\":\"r\"," PORTS PLATFORM "}",
    BJ_E_SETTINGS,
    "settings.name: length 0",
    "1 to 64" },
  { "address without a port",
    HEAD "\"front\":\"127.0.0.1\",\"admin\":\"127.0.0.1:2\",\"link\":\"127.0.0.1:3\","
         "\"gossip\":\"127.0.0.1:4\"," PLATFORM "}",
    BJ_E_SETTINGS,
    "settings.front: \"127.0.0.1\"",
    "1 to 65535" },
  { "port out of range",
    GOOD ",\"seeds\":[\"127.0.0.1:65536\"]}",
    BJ_E_SETTINGS,
    "65536",
    "65535" },
  { "host name instead of an IPv4 address",
    GOOD ",\"seeds\":[\"host:1\"]}",
    BJ_E_SETTINGS,
    "\"host:1\"",
    "IPv4" },
  { "number instead of a seed", GOOD ",\"seeds\":[5]}", BJ_E_SETTINGS, "seeds[0]: 5", "IP:PORT" },
  { "duplicate seed",
    GOOD ",\"seeds\":[\"1.2.3.4:5\",\"1.2.3.4:5\"]}",
    BJ_E_SETTINGS,
    "settings.seeds[1]: 1.2.3.4:5",
    "once" },
  { "front and admin on the same address",
    HEAD "\"front\":\"127.0.0.1:1\",\"admin\":\"127.0.0.1:1\",\"link\":\"127.0.0.1:3\","
         "\"gossip\":\"127.0.0.1:4\"," PLATFORM "}",
    BJ_E_SETTINGS,
    "127.0.0.1:1 is used twice",
    "must differ" },
  { "unknown plug-in",
    HEAD PORTS "\"platform\":{\"url\":\"x\",\"plugin\":\"etc\"}}",
    BJ_E_SETTINGS,
    "settings.platform.plugin: \"etc\" is unknown, allowed: ",
    "memory" },
  { "unknown log level",
    GOOD ",\"log_level\":\"loud\"}",
    BJ_E_SETTINGS,
    "\"loud\"",
    "error, warning" },
  { "syntax error", GOOD "\n\n;}", BJ_E_SETTINGS, "line 3", "" },
  { "comma after the last key", GOOD ",}", BJ_OK, "", "" },
  { "missing closing brace", GOOD, BJ_E_SETTINGS, "ends before", "" },
  { "text after the settings", GOOD "}\n x", BJ_E_SETTINGS, "line 2: text follows", "" },
  { "empty text", "", BJ_E_SETTINGS, "ends before", "" },
  { "array instead of an object", "[]", BJ_E_SETTINGS, "must be an object", "" },
  { "null instead of an object", "null\n", BJ_E_SETTINGS, "must be an object", "" },
  { "invalid UTF-8", "{\"name\":\"\xff\"}", BJ_E_SETTINGS, "UTF-8", "" },
};

static void
test_settings_texts (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      BjSettings s;
      BjStatus status = bj_settings_parse ("file.json", bj_str (c->text), &s);
      const char *m = status == BJ_OK ? "" : bj_last_message ();
      bool is_message_complete
          = status == BJ_OK
            || (g_str_has_prefix (m, "file.json: ") && strstr (m, c->place) != NULL
                && strstr (m, c->allowed) != NULL && strchr (m, '\n') == NULL);

      if (status != c->expected || !is_message_complete)
        print_error ("%s: %s, %s\n", c->name, bj_status_name (status), m);
      assert_int_equal (status, c->expected);
      assert_true (is_message_complete);
      if (status == BJ_OK)
        bj_settings_clear (&s);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_settings_texts),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
