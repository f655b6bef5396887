// Client accounts without a network. Guards against requests that run with an unknown or withdrawn
// key, valid requests that are answered 401, forged accounts, and keys that get into messages,
// metrics or frames.

#include "../platform/platform.h"
#include "access.h"
#include "internal.h"
#include "quota.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

#include <cmocka.h>

#define PRIORITIES "\"priorities\":[\"p0\",\"p1\",\"p2\",\"p3\"]"
#define SERVICES                                                                                   \
  "\"services\":{\"s\":{\"limiter\":{\"plugin\":\"fixed\"},\"routes\":["                           \
  "{\"prefix\":\"/shut\",\"class\":\"p2\"},"                                                       \
  "{\"prefix\":\"/open\",\"class\":\"p2\",\"anonymous\":true}]}}"
#define SMALL "\"small\":{\"keys\":[\"key-small\"]}"
#define BIG "\"big\":{\"keys\":[\"key-big\",\"key-big-2\"],\"class\":\"p1\",\"rate_per_s\":302}"
#define LOW "\"low\":{\"keys\":[\"key-low\"],\"class\":\"p3\"}"
#define CONFIG(number, accounts)                                                                   \
  "{\"number\":" number "," PRIORITIES "," SERVICES ",\"accounts\":{" accounts "}}"
#define ACCOUNTS SMALL "," BIG "," LOW
#define SECRET "key-"     // part of every key here
#define RATE_REQUESTS 200 // within one second
#define COST_ACCOUNTS 10000
#define COST_MAX_NS 1000.0 // processor time of one check of a key
#define COST_ROUNDS 5
#define COST_CHECKS 200000

typedef struct
{
  BjHost host; // first member, callbacks cast it to FakeHost
  BjCall *started;
  BjCall *sent;
  BjAnswer answer; // the last one, code BJ_OK for none
  bool has_answer;
} FakeHost;

static bool runs_alone; // of the head checked last

static void
send_peer (BjHost *h, BjCall *c, BjPeer *p)
{
  (void)p;
  ((FakeHost *)h)->sent = c;
}

static void
start_upstream (BjHost *h, BjCall *c)
{
  ((FakeHost *)h)->started = c;
  c->upstream_deadline = c->deadline - BJ_HOP_DEADLINE_MARGIN_MS;
}

static void
answer (BjHost *h, BjCall *c, const BjAnswer *a)
{
  (void)c;
  ((FakeHost *)h)->answer = *a;
  ((FakeHost *)h)->has_answer = true;
}

static void
do_nothing (BjHost *h, BjCall *c)
{
  (void)h;
  (void)c;
}

static const BjHostOps host_ops
    = { send_peer, start_upstream, do_nothing, answer, do_nothing, do_nothing };

static void
set_config (BjKernel *k, BjTime now, const char *text)
{
  BjConfig *c;

  assert_int_equal (bj_config_parse (bj_str (text), &c), BJ_OK);
  bj_kernel_set_config (k, now, c);
}

static BjKernel *
new_kernel (FakeHost *h, const char *config, int slots)
{
  BjKernelOptions o
      = { .self = { .name = BJ_STR ("one"), .domain = BJ_STR ("a") }, .host = &h->host, .seed = 3 };
  BjKernel *k;

  *h = (FakeHost){ .host = { &host_ops } };
  k = bj_kernel_new (&o, 0);
  if (config != NULL)
    set_config (k, 0, config);
  if (slots > 0)
    bj_kernel_announce (k, 0, BJ_STR ("s"), slots);
  return k;
}

static BjRequest
make_request (const char *path, const char *key, const char *id)
{
  return (BjRequest){ .method = BJ_STR ("GET"),
                      .path = bj_str (path),
                      .api_key = bj_str (key),
                      .id = bj_str (id),
                      .account = BJ_STR ("forged"),
                      .klass = -1,
                      .attempts_left = -1 };
}

static BjCall *
arrive (BjKernel *k, FakeHost *h, BjTime now, BjRequest r)
{
  h->started = h->sent = NULL;
  h->has_answer = false;
  return bj_kernel_arrive (k, now, &r, NULL);
}

typedef struct
{
  const char *name;
  const char *path;
  const char *key;
  int klass; // asked for, -1 for none
  BjStatus expected;
  const char *account; // of a call that runs
  int expected_klass;
} KeyCase;

static const KeyCase key_cases[] = {
  { "no key", "/shut", "", -1, BJ_E_UNAUTHORIZED, NULL, 0 },
  { "unknown key", "/shut", "key-other", -1, BJ_E_UNAUTHORIZED, NULL, 0 },
  { "key with more bytes than a known one", "/shut", "key-small2", -1, BJ_E_UNAUTHORIZED, NULL, 0 },
  { "start of a known key", "/shut", "key-smal", -1, BJ_E_UNAUTHORIZED, NULL, 0 },
  { "name of an account as key", "/shut", "small", -1, BJ_E_UNAUTHORIZED, NULL, 0 },
  { "known key, class of the route", "/shut", "key-small", -1, BJ_OK, "small", 2 },
  { "class of the account is higher than the route's", "/shut", "key-big", -1, BJ_OK, "big", 1 },
  { "second key of an account", "/shut", "key-big-2", -1, BJ_OK, "big", 1 },
  { "class of the account is lower than the route's", "/shut", "key-low", -1, BJ_OK, "low", 3 },
  { "caller lowers the class of its account", "/shut", "key-big", 3, BJ_OK, "big", 3 },
  { "caller can't raise the class of its account", "/shut", "key-low", 0, BJ_OK, "low", 3 },
  { "anonymous route without a key", "/open", "", -1, BJ_OK, "", 2 },
  { "anonymous route, unknown key counts as none", "/open", "key-other", -1, BJ_OK, "", 2 },
  { "anonymous route, known key gives the account", "/open", "key-big", -1, BJ_OK, "big", 1 },
  { "no route", "/none", "key-other", -1, BJ_E_NO_ROUTE, NULL, 0 },
};

static void
test_keys (void **state)
{
  FakeHost h;
  BjKernel *k = new_kernel (&h, CONFIG ("1", ACCOUNTS), 100);

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (key_cases); i++)
    {
      const KeyCase *c = &key_cases[i];
      BjRequest r = make_request (c->path, c->key, "");
      BjCall *call;

      print_message ("  %s\n", c->name);
      r.klass = c->klass;
      assert_int_equal (bj_kernel_check_head (k, 0, &r, &runs_alone),
                        c->expected == BJ_E_UNAUTHORIZED ? BJ_E_UNAUTHORIZED : BJ_OK);
      call = arrive (k, &h, 0, r);
      assert_true ((call != NULL) == (c->expected == BJ_OK));
      if (call == NULL)
        {
          assert_int_equal (h.answer.code, c->expected);
          assert_int_equal (h.answer.outcome, BJ_NOT_RUN);
          assert_int_equal (h.answer.http_status, c->expected == BJ_E_NO_ROUTE ? 404 : 401);
          continue;
        }
      assert_true (bj_str_equal (call->request.account, bj_str (c->account)));
      assert_int_equal (call->klass, c->expected_klass);
      bj_kernel_cancel (k, 0, call);
    }
  bj_kernel_free (k);
}

typedef struct
{
  const char *name;
  const char *parent_key; // of the running call with id "7"
  bool by_header;         // the nested call names its parent by its number, else by id
  const char *id;         // of the nested call
  const char *key;        // of the nested call
  double deadline_ms;     // of the nested call, 0 for none
  BjStatus expected;
  const char *account;
  bool hides_account; // from the upstream
  const char *path;   // of the nested call, NULL for a route that needs a key
} NestedCase;

static const NestedCase nested_cases[] = {
  { "parent by its number", "key-big", true, "", "", 0, BJ_OK, "big", false, NULL },
  { "parent by id", "key-big", false, "7.1", "", 0, BJ_OK, "big", false, NULL },
  { "id continues that of no running call",
    "key-big",
    false,
    "8.1",
    "",
    0,
    BJ_E_UNAUTHORIZED,
    NULL,
    false,
    NULL },
  { "a parent inferred from its deadline does not replace a key",
    "key-big",
    false,
    "",
    "",
    900,
    BJ_E_UNAUTHORIZED,
    NULL,
    false,
    NULL },
  { .name = "parent inferred from its deadline, open route",
    .parent_key = "key-big",
    .id = "",
    .key = "",
    .deadline_ms = 900,
    .expected = BJ_OK,
    .account = "big",
    .hides_account = true,
    .path = "/open" },
  { "deadline of no parent", "key-big", false, "", "", 500, BJ_E_UNAUTHORIZED, NULL, false, NULL },
  { "unknown key is not a nested call",
    "key-big",
    false,
    "7.1",
    "key-x",
    0,
    BJ_E_UNAUTHORIZED,
    NULL,
    false,
    NULL },
  { "unknown key with a parent's deadline",
    "key-big",
    false,
    "",
    "key-x",
    900,
    BJ_E_UNAUTHORIZED,
    NULL,
    false,
    NULL },
  { "own key has precedence",
    "key-big",
    false,
    "7.1",
    "key-small",
    0,
    BJ_OK,
    "small",
    false,
    NULL },
};

static void
test_nested_calls (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (nested_cases); i++)
    {
      const NestedCase *c = &nested_cases[i];
      FakeHost h;
      BjKernel *k = new_kernel (&h, CONFIG ("1", ACCOUNTS), 100);
      BjRequest r = make_request ("/shut", c->parent_key, "7");
      BjCall *parent;
      BjCall *call;

      print_message ("  %s\n", c->name);
      r.deadline_ms = 902;
      parent = arrive (k, &h, 0, r);
      assert_non_null (parent);
      r = make_request (c->path != NULL ? c->path : "/shut", c->key, c->id);
      r.parent = c->by_header ? parent->id : 0;
      r.deadline_ms = c->deadline_ms;
      // Without a key the head alone may not be enough to decide.
      if (c->expected == BJ_OK)
        assert_int_equal (bj_kernel_check_head (k, 0, &r, &runs_alone), BJ_OK);
      call = arrive (k, &h, 0, r);
      if (c->expected != BJ_OK)
        {
          assert_null (call);
          assert_int_equal (h.answer.code, c->expected);
        }
      else
        {
          assert_non_null (call);
          assert_true (bj_str_equal (call->request.account, bj_str (c->account)));
          assert_true (call->request.hides_account == c->hides_account);
        }
      bj_kernel_free (k);
    }
}

// A call on the upstream of a peer, or one that has ended, makes no nested calls: naming it must
// not replace a key.
static void
test_number_of_a_call_that_does_not_run_here (void **state)
{
  FakeHost h;
  BjKernel *k = new_kernel (&h, CONFIG ("1", ACCOUNTS), 0);
  BjPeerReport peer = { .name = BJ_STR ("peer"),
                        .domain = BJ_STR ("a"),
                        .service = BJ_STR ("s"),
                        .host = BJ_STR ("127.0.0.1"),
                        .gossip_host = BJ_STR ("127.0.0.1"),
                        .incarnation = 1,
                        .limit = 10 };
  BjCall *sent;
  BjRequest r;

  (void)state;
  bj_kernel_update_peer (k, 0, &peer);
  sent = arrive (k, &h, 0, make_request ("/shut", "key-small", ""));
  assert_non_null (sent);
  assert_ptr_equal (h.sent, sent);
  r = make_request ("/shut", "", "");
  r.parent = sent->id;
  assert_null (arrive (k, &h, 0, r));
  assert_int_equal (h.answer.code, BJ_E_UNAUTHORIZED);
  r.parent = 999;
  assert_null (arrive (k, &h, 0, r));
  assert_int_equal (h.answer.code, BJ_E_UNAUTHORIZED);
  bj_kernel_free (k);
}

static void
test_configuration_without_accounts (void **state)
{
  static const char *const configs[] = {
    "{\"number\":1," PRIORITIES "," SERVICES "}",
    CONFIG ("1", ""),
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (configs); i++)
    {
      FakeHost h;
      BjKernel *k = new_kernel (&h, configs[i], 100);
      BjRequest r = make_request ("/shut", "key-other", "");
      BjCall *c;

      assert_null (bj_kernel_config (k)->accounts);
      assert_int_equal (bj_kernel_check_head (k, 0, &r, &runs_alone), BJ_OK);
      c = arrive (k, &h, 0, r);
      assert_non_null (c);
      assert_int_equal (c->request.account.len, 0);
      assert_int_equal (c->klass, 2);
      bj_kernel_free (k);
    }
}

static void
test_no_configuration (void **state)
{
  FakeHost h;
  BjKernel *k = new_kernel (&h, NULL, 0);
  BjRequest r = make_request ("/shut", "key-other", "");

  (void)state;
  assert_int_equal (bj_kernel_check_head (k, 0, &r, &runs_alone), BJ_OK);
  assert_null (arrive (k, &h, 0, r));
  assert_int_equal (h.answer.http_status, 503);
  assert_true (h.answer.retry_after_ms > 0);
  bj_kernel_free (k);
}

typedef struct
{
  const char *name;
  int64_t number; // of a configuration that is noted at time 100, 0 for none
  bool from_peer; // a peer reports it
  const char *key;
  BjTime at;
  int expected_status; // 0 if the call runs
} NewerCase;

static const NewerCase newer_cases[] = {
  { "none is known", 0, false, "key-new", 200, 401 },
  { "the own one", 1, false, "key-new", 200, 401 },
  { "newer, just known", 2, false, "key-new", 100, 503 },
  { "newer, almost 5 s", 2, false, "key-new", 5099, 503 },
  { "newer, after 5 s", 2, false, "key-new", 5100, 401 },
  { "newer, reported by a peer", 2, true, "key-new", 200, 503 },
  { "newer, no key", 2, false, "", 200, 503 },
  { "newer, known key", 2, false, "key-small", 200, 0 },
};

static void
test_newer_configuration (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (newer_cases); i++)
    {
      const NewerCase *c = &newer_cases[i];
      FakeHost h;
      BjKernel *k = new_kernel (&h, CONFIG ("1", ACCOUNTS), 100);
      BjPeerReport peer = { .name = BJ_STR ("peer"),
                            .domain = BJ_STR ("a"),
                            .host = BJ_STR ("127.0.0.1"),
                            .gossip_host = BJ_STR ("127.0.0.1"),
                            .incarnation = 1,
                            .config_number = c->number };
      BjCall *call;

      print_message ("  %s\n", c->name);
      if (c->from_peer)
        bj_kernel_update_peer (k, 100, &peer);
      else if (c->number > 0)
        bj_kernel_note_config (k, 100, c->number);
      call = arrive (k, &h, c->at, make_request ("/shut", c->key, ""));
      assert_true ((call != NULL) == (c->expected_status == 0));
      if (call == NULL)
        assert_int_equal (h.answer.http_status, c->expected_status);
      if (c->expected_status == 503)
        assert_true (h.answer.retry_after_ms > 0 && h.answer.retry_after_ms <= 250);
      // Once the newer one is in force, nothing is waited for.
      set_config (k, c->at, CONFIG ("2", ACCOUNTS));
      assert_null (arrive (k, &h, c->at, make_request ("/shut", "key-other", "")));
      assert_int_equal (h.answer.http_status, 401);
      bj_kernel_free (k);
    }
}

typedef struct
{
  const char *name;
  const char *path;
  const char *accounts; // of the next configuration
  BjStatus expected;    // BJ_OK if the call goes on
  const char *account;  // of the call then
} WithdrawalCase;

static const WithdrawalCase withdrawal_cases[] = {
  { "key is withdrawn", "/shut", BIG, BJ_E_UNAUTHORIZED, NULL },
  { "account loses its keys", "/shut", "\"small\":{\"keys\":[]}", BJ_E_UNAUTHORIZED, NULL },
  { "key stays", "/shut", ACCOUNTS, BJ_OK, "small" },
  { "key moves to another account",
    "/shut",
    "\"other\":{\"keys\":[\"key-small\"]}",
    BJ_OK,
    "other" },
  { "anonymous route, key is withdrawn", "/open", BIG, BJ_OK, "" },
};

// The call of a peer is lost after the withdrawal; another peer could take it.
static void
test_withdrawal_before_a_retry (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (withdrawal_cases); i++)
    {
      const WithdrawalCase *c = &withdrawal_cases[i];
      char text[1024];
      FakeHost h;
      BjKernel *k = new_kernel (&h, CONFIG ("1", ACCOUNTS), 0);
      BjCall *call;

      print_message ("  %s\n", c->name);
      for (int p = 0; p < 2; p++)
        {
          BjPeerReport peer = { .name = p == 0 ? BJ_STR ("p") : BJ_STR ("q"),
                                .domain = BJ_STR ("a"),
                                .service = BJ_STR ("s"),
                                .host = BJ_STR ("127.0.0.1"),
                                .gossip_host = BJ_STR ("127.0.0.1"),
                                .incarnation = 1,
                                .limit = 10 };

          bj_kernel_update_peer (k, 0, &peer);
        }
      call = arrive (k, &h, 0, make_request (c->path, "key-small", ""));
      assert_non_null (call);
      assert_ptr_equal (h.sent, call);
      g_snprintf (text,
                  sizeof text,
                  "{\"number\":2," PRIORITIES "," SERVICES ",\"accounts\":{%s}}",
                  c->accounts);
      set_config (k, 10, text);
      h.sent = NULL;
      bj_kernel_call_lost (k, 20, call, BJ_E_LOST, BJ_NOT_RUN);
      if (c->expected == BJ_OK)
        {
          assert_ptr_equal (h.sent, call);
          assert_true (bj_str_equal (call->request.account, bj_str (c->account)));
        }
      else
        {
          assert_null (h.sent);
          assert_int_equal (h.answer.code, c->expected);
        }
      bj_kernel_free (k);
    }
}

// A request that was read but waits for a slot of the own upstream has not begun.
static void
test_withdrawal_while_queued (void **state)
{
  FakeHost h;
  BjKernel *k = new_kernel (&h, CONFIG ("1", ACCOUNTS), 1);
  BjCall *running;
  BjCall *queued;
  BjAnswer done = { .code = BJ_OK, .outcome = BJ_DONE, .http_status = 200, .attempts_left = -1 };

  (void)state;
  running = arrive (k, &h, 0, make_request ("/shut", "key-big", ""));
  assert_ptr_equal (h.started, running);
  queued = arrive (k, &h, 1, make_request ("/shut", "key-small", ""));
  assert_non_null (queued);
  assert_int_equal (queued->state, BJ_CALL_QUEUED);
  set_config (k, 2, CONFIG ("2", BIG));
  h.started = NULL;
  assert_int_equal (bj_kernel_answer_begin (k, 5, running, &done), BJ_RELAY);
  bj_kernel_answer_end (k, 5, running, true);
  assert_null (h.started);
  assert_true (h.has_answer);
  assert_int_equal (h.answer.code, BJ_E_UNAUTHORIZED);
  assert_int_equal (bj_kernel_open_calls (k), 0);
  bj_kernel_free (k);
}

// Each is rejected in a ticket, and left out alone where it is in force already.
typedef struct
{
  const char *name;
  const char *broken;  // account "bad" in an object of accounts
  const char *message; // part of the message
} ConfigCase;

static const ConfigCase config_cases[] = {
  { "key in two accounts",
    "\"bad\":{\"keys\":[\"key-small\"]}",
    "account \"small\" has the same key" },
  { "rate below 0", "\"bad\":{\"keys\":[\"key-x\"],\"rate_per_s\":-1}", "rate_per_s: value -1" },
  { "burst below 0", "\"bad\":{\"keys\":[\"key-x\"],\"burst\":-1}", "burst: value -1" },
  { "unknown class",
    "\"bad\":{\"keys\":[\"key-x\"],\"class\":\"p9\"}",
    "class \"p9\" is not among" },
  { "empty key", "\"bad\":{\"keys\":[\"key-x\",\"\"]}", "keys[1]: is empty" },
  { "key is a number", "\"bad\":{\"keys\":[777123]}", "keys[0]: must be a string" },
  { "keys are a string", "\"bad\":{\"keys\":\"key-x\"}", "keys: must be an array" },
  { "no keys", "\"bad\":{\"class\":\"p0\"}", "key \"keys\" is missing" },
  { "unknown key of an account",
    "\"bad\":{\"keys\":[\"key-x\"],\"rates\":1}",
    "unknown key \"rates\"" },
  { "not an object", "\"bad\":[\"key-x\"]", "must be an object" },
  { "null", "\"bad\":null", "must be an object" },
};

static void
test_configuration_errors (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (config_cases); i++)
    {
      const ConfigCase *c = &config_cases[i];
      char text[1024];
      BjConfig *config;

      print_message ("  %s\n", c->name);
      g_snprintf (text,
                  sizeof text,
                  "{\"number\":1," PRIORITIES ",\"accounts\":{" SMALL ",%s," LOW "}}",
                  c->broken);
      assert_int_equal (bj_config_parse (bj_str (text), &config), BJ_E_TICKET);
      assert_non_null (strstr (bj_last_message (), "accounts.bad"));
      assert_non_null (strstr (bj_last_message (), c->message));
      assert_null (strstr (bj_last_message (), SECRET));
      assert_null (strstr (bj_last_message (), "777123"));
      assert_int_equal (bj_config_parse_with_defaults (bj_str (text), BJ_STR_NULL, &config), BJ_OK);
      assert_int_equal (bj_accounts_count (config->accounts), 2);
      assert_int_equal (config->n_left_out, 1);
      assert_null (bj_accounts_find (config->accounts, BJ_STR ("bad")));
      assert_null (bj_accounts_find_key (config->accounts, BJ_STR ("key-x")));
      assert_non_null (bj_accounts_find_key (config->accounts, BJ_STR ("key-small")));
      assert_non_null (bj_accounts_find_key (config->accounts, BJ_STR ("key-low")));
      bj_config_free (config);
    }
}

// Errors of the whole object, and a table in which every account is broken: the check of keys must
// not be turned off by them.
static void
test_broken_tables (void **state)
{
  BjConfig *config;
  int64_t number;

  (void)state;
  assert_int_equal (bj_config_parse (BJ_STR (CONFIG ("1", SMALL "," SMALL)), &config), BJ_E_TICKET);
  assert_non_null (strstr (bj_last_message (), "\"small\" stands twice"));
  assert_int_equal (bj_config_parse (BJ_STR ("{\"number\":1,\"accounts\":[\"key-x\"]}"), &config),
                    BJ_E_TICKET);
  assert_null (strstr (bj_last_message (), SECRET));
  assert_int_equal (
      bj_ticket_check (BJ_STR ("{\"number\":1,\"base\":0,\"accounts\":\"key-x\"}"), &number),
      BJ_E_TICKET);
  assert_null (strstr (bj_last_message (), SECRET));
  assert_int_equal (bj_config_parse (BJ_STR (CONFIG ("1", "\"a \":{\"keys\":[]}")), &config),
                    BJ_E_TICKET);
  assert_int_equal (
      bj_config_parse_with_defaults (BJ_STR (CONFIG ("1", "\"a\":null")), BJ_STR_NULL, &config),
      BJ_OK);
  assert_non_null (config->accounts);
  assert_int_equal (bj_accounts_count (config->accounts), 0);
  bj_config_free (config);
}

static void
test_values (void **state)
{
  const BjAccount *a;
  BjConfig *config;

  (void)state;
  assert_int_equal (bj_config_parse (BJ_STR (CONFIG ("1", ACCOUNTS)), &config), BJ_OK);
  a = bj_accounts_find (config->accounts, BJ_STR ("big"));
  assert_non_null (a);
  assert_true (a->rate_per_s == 302 && a->burst == 302);
  assert_int_equal (a->klass, 1);
  assert_int_equal (a->n_keys, 2);
  assert_true (a->hash == bj_str_hash (BJ_STR ("big")));
  a = bj_accounts_find_key (config->accounts, BJ_STR ("key-small"));
  assert_true (a->rate_per_s == 0 && a->burst == 0 && a->klass == -1);
  assert_null (bj_accounts_find_key (NULL, BJ_STR ("key-small")));
  assert_int_equal (bj_accounts_count (NULL), 0);
  bj_config_free (config);
}

#define MANIFEST_ROUTES                                                                            \
  "\"routes\":{\"columns\":[\"pathPrefix\",\"allowAnonymous\",\"service\",\"priority\"],\"rows\":" \
  "["                                                                                              \
  "[\"/shut\",false,\"s\",1],[\"/open\",true,\"s\",1],[\"/null\",null,\"s\",1]]}"
#define MANIFEST(tenants) "{\"version\":\"r7\"," MANIFEST_ROUTES tenants "}"
#define TENANTS(columns, rows) ",\"tenants\":{\"columns\":[" columns "],\"rows\":[" rows "]}"
#define ALL_COLUMNS "\"name\",\"apiKeys\",\"priority\",\"ratePerS\",\"burst\""

typedef struct
{
  const char *name;
  const char *manifest;
  bool checks_keys;
  int n_accounts;
  int n_left_out;
  // of account "a", if there is one
  int klass;
  double rate_per_s;
  double burst;
  int n_keys;
} ManifestCase;

static const ManifestCase manifest_cases[] = {
  { "no table", MANIFEST (""), false, 0, 0, 0, 0, 0, 0 },
  { "table without rows", MANIFEST (TENANTS (ALL_COLUMNS, "")), false, 0, 0, 0, 0, 0, 0 },
  { "all columns",
    MANIFEST (TENANTS (ALL_COLUMNS, "[\"a\",[\"key-1\",\"key-2\"],3,2.5,9]")),
    true,
    1,
    0,
    3,
    2.5,
    9,
    2 },
  { "other order, unknown column",
    MANIFEST (TENANTS ("\"burst\",\"x\",\"ratePerS\",\"apiKeys\",\"priority\",\"name\"",
                       "[9,\"x\",2.5,[\"key-1\"],0,\"a\"]")),
    true,
    1,
    0,
    0,
    2.5,
    9,
    1 },
  { "null values are omitted",
    MANIFEST (TENANTS (ALL_COLUMNS, "[\"a\",[\"key-1\"],null,null,null]")),
    true,
    1,
    0,
    -1,
    0,
    0,
    1 },
  { "missing columns, no burst",
    MANIFEST (TENANTS ("\"name\",\"ratePerS\",\"apiKeys\"", "[\"a\",30,[\"key-1\"]]")),
    true,
    1,
    0,
    -1,
    30,
    30,
    1 },
  { "no keys", MANIFEST (TENANTS (ALL_COLUMNS, "[\"a\",null,1,1,1]")), true, 1, 0, 1, 1, 1, 0 },
  { "priority above 7",
    MANIFEST (TENANTS (ALL_COLUMNS, "[\"a\",[\"key-1\"],70,1,1]")),
    true,
    1,
    0,
    7,
    1,
    1,
    1 },
  { "rate above the range",
    MANIFEST (TENANTS (ALL_COLUMNS, "[\"a\",[\"key-1\"],1,1e12,2e9]")),
    true,
    1,
    0,
    1,
    BJ_RATE_MAX,
    BJ_RATE_MAX,
    1 },
  { "name twice, the first is used",
    MANIFEST (TENANTS (ALL_COLUMNS, "[\"a\",[\"key-1\"],1,1,1],[\"a\",[\"key-2\"],2,2,2]")),
    true,
    1,
    0,
    1,
    1,
    1,
    1 },
  { "key twice, the second is left out",
    MANIFEST (TENANTS (ALL_COLUMNS, "[\"a\",[\"key-1\"],1,1,1],[\"b\",[\"key-1\"],2,2,2]")),
    true,
    1,
    1,
    1,
    1,
    1,
    1 },
  { "only broken rows: keys are checked",
    MANIFEST (TENANTS (
        ALL_COLUMNS, "[null,[\"key-1\"],1,1,1],[\"b\",[\"\"],2,2,2],[\"c\",[\"key-3\"],1,-1,1],7")),
    true,
    0,
    4,
    0,
    0,
    0,
    0 },
};

static void
test_manifests (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (manifest_cases); i++)
    {
      const ManifestCase *c = &manifest_cases[i];
      struct json_object *manifest = json_tokener_parse (c->manifest);
      GString *text = g_string_new (NULL);
      const BjServiceConfig *s;
      const BjAccount *a;
      BjConfig *config;

      print_message ("  %s\n", c->name);
      assert_non_null (manifest);
      assert_int_equal (platform_convert_manifest (manifest, text), BJ_OK);
      assert_int_equal (
          bj_config_parse_with_defaults ((BjStr){ text->str, text->len }, BJ_STR_NULL, &config),
          BJ_OK);
      assert_true ((config->accounts != NULL) == c->checks_keys);
      assert_int_equal (bj_accounts_count (config->accounts), c->n_accounts);
      assert_int_equal (config->n_left_out, c->n_left_out);
      a = bj_accounts_find (config->accounts, BJ_STR ("a"));
      assert_true ((a != NULL) == (c->n_accounts > 0));
      if (a != NULL)
        {
          assert_int_equal (a->klass, c->klass);
          assert_true (a->rate_per_s == c->rate_per_s && a->burst == c->burst);
          assert_int_equal (a->n_keys, c->n_keys);
        }
      assert_true (bj_config_route (config, BJ_STR ("/open"), &s)->anonymous);
      assert_false (bj_config_route (config, BJ_STR ("/shut"), &s)->anonymous);
      assert_false (bj_config_route (config, BJ_STR ("/null"), &s)->anonymous);
      bj_config_free (config);
      g_string_free (text, TRUE);
      json_object_put (manifest);
    }
}

// Differences of tickets are printed to operators, with the number of keys only.
static void
test_ticket_changes_accounts (void **state)
{
  static const char current[]
      = "{\"number\":4," PRIORITIES ",\"accounts\":{\"a\":{\"number\":2,\"keys\":[\"key-1\"]},"
        "\"b\":{\"number\":4,\"keys\":[\"key-2\"]}}}";
  static const char ticket[] = "{\"number\":5,\"base\":3,\"accounts\":{"
                               "\"a\":{\"keys\":[\"key-9\"],\"rate_per_s\":7},"
                               "\"c\":{\"keys\":[\"key-3\",\"key-4\"]}}}";
  GString *out = g_string_new (NULL);
  BjConfig *config;

  (void)state;
  assert_int_equal (bj_ticket_merge (bj_str (current), bj_str (ticket), out), BJ_OK);
  assert_int_equal (bj_config_parse ((BjStr){ out->str, out->len }, &config), BJ_OK);
  assert_int_equal (bj_accounts_count (config->accounts), 3);
  assert_null (bj_accounts_find_key (config->accounts, BJ_STR ("key-1")));
  assert_non_null (bj_accounts_find_key (config->accounts, BJ_STR ("key-2")));
  assert_non_null (bj_accounts_find_key (config->accounts, BJ_STR ("key-9")));
  bj_config_free (config);
  g_string_truncate (out, 0);
  bj_ticket_print_difference (bj_str (current), bj_str (ticket), out);
  assert_null (strstr (out->str, SECRET));
  assert_non_null (strstr (out->str, "accounts.a.keys: in force 1 keys, ticket 1, not the same"));
  assert_non_null (strstr (out->str, "accounts.a.rate_per_s: in force nothing, ticket 7"));
  assert_non_null (strstr (out->str, "accounts.c: in force nothing, ticket {\"keys\":2}"));
  g_string_truncate (out, 0);
  assert_int_equal (
      bj_ticket_merge (bj_str (current),
                       BJ_STR ("{\"number\":5,\"base\":3,\"accounts\":{\"b\":{\"keys\":[]}}}"),
                       out),
      BJ_E_BASE);
  g_string_free (out, TRUE);
}

static size_t
encode_call (msgpack_sbuffer *out, const BjRequest *r)
{
  BjFrame f = { .kind = BJ_FRAME_CALL, .id = 7, .name = BJ_STR ("s"), .request = *r };

  bj_frame_encode (out, &f);
  return out->size;
}

// An older daemon sends a CALL frame without the last two fields; a newer one sends no key.
static void
test_frames (void **state)
{
  BjRequest r = make_request ("/shut", "key-small", "");
  msgpack_sbuffer out;
  msgpack_unpacked unpacked;
  BjFrame f;

  (void)state;
  r.account = BJ_STR ("small");
  r.deadline_ms = 100;
  msgpack_sbuffer_init (&out);
  msgpack_unpacked_init (&unpacked);
  encode_call (&out, &r);
  assert_null (memmem (out.data, out.size, SECRET, strlen (SECRET)));
  assert_int_equal (bj_frame_decode ((BjStr){ out.data + 4, out.size - 4 }, &unpacked, &f), BJ_OK);
  assert_true (bj_str_equal (f.request.account, BJ_STR ("small")));
  assert_false (f.request.hides_account);
  // Array 16 with 22 elements becomes one with 20; the last two have 1 and 2 + 5 bytes.
  assert_int_equal ((unsigned char)out.data[4], 0xdc);
  assert_int_equal (out.data[6], 24);
  out.data[6] = 22;
  assert_int_equal (bj_frame_decode ((BjStr){ out.data + 4, out.size - 4 - 8 }, &unpacked, &f),
                    BJ_OK);
  assert_int_equal (f.request.account.len, 0);
  msgpack_unpacked_destroy (&unpacked);
  msgpack_sbuffer_destroy (&out);
}

typedef struct
{
  const char *dialect;
  const char *head;    // as a caller sends it
  const char *relayed; // when accounts are configured
  const char *line;    // to the upstream
} HeaderCase;

static const HeaderCase header_cases[] = {
  { "platform",
    "X-Api-Key: key-small\nAccept: x\nx-tenant: forged\nX-TENANT: forged\n",
    "Accept: x\n",
    "X-Tenant: small\r\n" },
  { "borage",
    "bj-api-key: key-small\nAccept: x\nBJ-ACCOUNT: forged\nBj-Account: forged\n",
    "Accept: x\n",
    "Bj-Account: small\r\n" },
};

static void
test_headers (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (header_cases); i++)
    {
      const HeaderCase *c = &header_cases[i];
      const BjDialectOps *ops = bj_plugin_find (BJ_PLUGIN_DIALECT, bj_str (c->dialect));
      BjHead head = { .method = BJ_STR ("GET"), .path = BJ_STR ("/"), .headers = bj_str (c->head) };
      BjSettings s = { 0 };
      BjRequest r = { 0 };
      BjCall call = { .request = { .account = BJ_STR ("small") } };
      GString *read = g_string_new (NULL);
      GString *relayed = g_string_new (NULL);
      GString *lines = g_string_new (NULL);

      ops->read_request (&s, &head, &r, read);
      assert_true (bj_str_equal (r.api_key, BJ_STR ("key-small")));
      assert_int_equal (r.account.len, 0);
      bj_header_add_except (relayed, (BjStr){ read->str, read->len }, ops->account_headers);
      assert_string_equal (relayed->str, c->relayed);
      ops->write_run (&call, BJ_STR_NULL, 100, lines);
      assert_non_null (strstr (lines->str, c->line));
      g_string_truncate (lines, 0);
      call.request.hides_account = true;
      ops->write_run (&call, BJ_STR_NULL, 100, lines);
      assert_null (strstr (lines->str, "small"));
      g_string_free (lines, TRUE);
      g_string_free (relayed, TRUE);
      g_string_free (read, TRUE);
    }
}

typedef struct
{
  const char *dialect;
  BjStatus code;
  BjOutcome outcome;
  int status; // 0 if the kernel sets it
  bool has_retry_after;
} StatusCase;

static const StatusCase status_cases[] = {
  { "platform", BJ_E_UNAUTHORIZED, BJ_NOT_RUN, 401, false },
  { "platform", BJ_E_UNAUTHORIZED, BJ_UNKNOWN, 502, false },
  { "platform", BJ_E_RATE, BJ_NOT_RUN, 429, true },
  { "borage", BJ_E_UNAUTHORIZED, BJ_NOT_RUN, 0, false },
  { "borage", BJ_E_RATE, BJ_NOT_RUN, 0, true },
};

static void
test_statuses (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (status_cases); i++)
    {
      const StatusCase *c = &status_cases[i];
      const BjDialectOps *ops = bj_plugin_find (BJ_PLUGIN_DIALECT, bj_str (c->dialect));
      BjAnswer a = { .code = c->code,
                     .outcome = c->outcome,
                     .retry_after_ms = c->has_retry_after ? 250 : 0,
                     .attempts_left = -1 };
      GString *lines = g_string_new (NULL);

      ops->write_answer (&a, lines);
      assert_int_equal (a.http_status, c->status);
      assert_true ((strstr (lines->str, "Retry-After: ") != NULL) == c->has_retry_after);
      g_string_free (lines, TRUE);
    }
}

static int
count (const char *text, const char *part)
{
  int n = 0;

  for (const char *at = strstr (text, part); at != NULL; at = strstr (at + 1, part))
    n++;
  return n;
}

// 40 accounts with 1 to 40 calls each: 16 have series of their own, the sum stays the same.
static void
test_metrics (void **state)
{
  GString *config = g_string_new ("{\"number\":1," PRIORITIES "," SERVICES ",\"accounts\":{");
  GString *out = g_string_new (NULL);
  FakeHost h;
  BjKernel *k;

  (void)state;
  for (int i = 1; i <= 40; i++)
    g_string_append_printf (config, "%s\"a%d\":{\"keys\":[\"key-%d\"]}", i > 1 ? "," : "", i, i);
  g_string_append (config, "}}");
  k = new_kernel (&h, config->str, 100);
  bj_kernel_metrics (k, 0, out);
  assert_null (strstr (out->str, "bj_account"));
  for (int i = 1; i <= 40; i++)
    for (int n = 0; n < i; n++)
      {
        BjAnswer done = { .outcome = BJ_DONE, .http_status = 200, .attempts_left = -1 };
        char key[16];
        BjCall *c;

        g_snprintf (key, sizeof key, "key-%d", i);
        c = arrive (k, &h, i, make_request ("/shut", key, ""));
        assert_non_null (c);
        bj_kernel_answer_begin (k, i, c, &done);
        bj_kernel_answer_end (k, i, c, true);
      }
  assert_null (arrive (k, &h, 50, make_request ("/shut", "key-none", "")));
  bj_kernel_metrics (k, 50, out);
  assert_int_equal (count (out->str, "bj_account_calls{"), BJ_ACCOUNT_SERIES_MAX + 1);
  assert_non_null (strstr (out->str, "bj_account_calls{account=\"a40\"} 40\n"));
  assert_non_null (strstr (out->str, "bj_account_calls{account=\"a25\"} 25\n"));
  assert_non_null (strstr (out->str, "bj_account_calls{account=\"other\"} 300\n"));
  assert_non_null (strstr (out->str, "bj_refusals_total{code=\"BJ_E_UNAUTHORIZED\"} 1\n"));
  assert_null (strstr (out->str, SECRET));
  set_config (k, 60, CONFIG ("2", SMALL));
  g_string_truncate (out, 0);
  bj_kernel_metrics (k, 60, out);
  assert_non_null (strstr (out->str, "bj_account_calls{account=\"other\"} 820\n"));
  bj_kernel_free (k);
  g_string_free (out, TRUE);
  g_string_free (config, TRUE);
}

// Times that this thread gave up the processor to wait for something.
static long
count_waits (void)
{
  struct rusage u;

  getrusage (RUSAGE_THREAD, &u);
  return u.ru_nvcsw;
}

static double
processor_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

// Every request of a caller pays for a check.
static void
test_cost (void **state)
{
  GString *text = g_string_new ("{\"number\":1,\"accounts\":{");
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  double best_ns = 1e9;
  long fewest_waits = LONG_MAX;
  int n_found = 0;
  BjConfig *config;

  (void)state;
  for (int i = 0; i < COST_ACCOUNTS; i++)
    {
      char *key = g_strdup_printf ("%08x-key-%032d", g_str_hash (text->str) + (guint)i, i);

      g_string_append_printf (
          text, "%s\"account-%d\":{\"keys\":[\"%s\"]}", i > 0 ? "," : "", i, key);
      g_ptr_array_add (keys, key);
    }
  g_string_append (text, "}}");
  assert_int_equal (bj_config_parse ((BjStr){ text->str, text->len }, &config), BJ_OK);
  assert_int_equal (bj_accounts_count (config->accounts), COST_ACCOUNTS);
  for (int round = 0; round < COST_ROUNDS; round++)
    {
      double began = processor_ns ();
      long waits = count_waits ();

      for (int i = 0; i < COST_CHECKS; i++)
        n_found += bj_accounts_find_key (config->accounts,
                                         bj_str (keys->pdata[(guint)(i * 7919) % COST_ACCOUNTS]))
                   != NULL;
      best_ns = MIN (best_ns, (processor_ns () - began) / COST_CHECKS);
      fewest_waits = MIN (fewest_waits, count_waits () - waits);
    }
  assert_int_equal (n_found, COST_ROUNDS * COST_CHECKS);
  assert_int_equal (fewest_waits, 0); // processor time does not count them
  print_message ("  a check of a key among %d accounts: %.0f ns\n", COST_ACCOUNTS, best_ns);
#ifndef __SANITIZE_ADDRESS__
  assert_true (best_ns < COST_MAX_NS);
#endif
  bj_config_free (config);
  g_ptr_array_free (keys, TRUE);
  g_string_free (text, TRUE);
}

typedef struct
{
  const char *name;
  const char *path;
  const char *key;
  bool has_upstream;
  int min_admitted; // of RATE_REQUESTS within one second
  int max_admitted;
} RateCase;

// The rate is 20 a second with a burst of 10. The quota module may overdraw a little.
static const RateCase rate_cases[] = {
  { "within and above the rate", "/shut", "key-limited", true, 28, 45 },
  { "anonymous route, the key counts", "/open", "key-limited", true, 28, 45 },
  { "anonymous route without a key", "/open", "", true, RATE_REQUESTS, RATE_REQUESTS },
  { "account without a rate", "/shut", "key-small", true, RATE_REQUESTS, RATE_REQUESTS },
  { "what did not run is not counted",
    "/shut",
    "key-limited",
    false,
    RATE_REQUESTS,
    RATE_REQUESTS },
};

// Guards against requests above the rate of their account that run, and against refusals below it.
static void
test_rate (void **state)
{
  static const char accounts[] = CONFIG (
      "1", SMALL ",\"limited\":{\"keys\":[\"key-limited\"],\"rate_per_s\":20,\"burst\":10}");

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rate_cases); i++)
    {
      const RateCase *c = &rate_cases[i];
      BjQuotaMember self = { BJ_STR ("one"), BJ_STR ("a"), true };
      const BjAccount *limited;
      BjQuota *q = bj_quota_new (self.name, self.domain, 7, -BJ_QUOTA_WINDOW_MS);
      FakeHost h;
      BjKernel *k = new_kernel (&h, accounts, c->has_upstream ? 2 * RATE_REQUESTS : 0);
      int n_admitted = 0;

      print_message ("  %s\n", c->name);
      limited = bj_accounts_find (bj_kernel_config (k)->accounts, BJ_STR ("limited"));
      bj_quota_configure (q, 0, &limited, 1);
      bj_quota_set_members (q, &self, 1, true);
      bj_kernel_use_quota (k, q);
      for (int n = 0; n < RATE_REQUESTS; n++)
        {
          BjCall *call
              = arrive (k, &h, 1000.0 * n / RATE_REQUESTS, make_request (c->path, c->key, ""));

          n_admitted += call != NULL || h.answer.code != BJ_E_RATE;
          if (call != NULL || h.answer.code != BJ_E_RATE)
            continue;
          assert_int_equal (h.answer.http_status, 429);
          assert_int_equal (h.answer.outcome, BJ_NOT_RUN);
          assert_true (h.answer.retry_after_ms > 0);
        }
      assert_in_range (n_admitted, c->min_admitted, c->max_admitted);
      bj_kernel_use_quota (k, NULL);
      bj_kernel_free (k);
      bj_quota_free (q);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_keys),
    cmocka_unit_test (test_nested_calls),
    cmocka_unit_test (test_number_of_a_call_that_does_not_run_here),
    cmocka_unit_test (test_configuration_without_accounts),
    cmocka_unit_test (test_no_configuration),
    cmocka_unit_test (test_newer_configuration),
    cmocka_unit_test (test_withdrawal_before_a_retry),
    cmocka_unit_test (test_withdrawal_while_queued),
    cmocka_unit_test (test_configuration_errors),
    cmocka_unit_test (test_broken_tables),
    cmocka_unit_test (test_values),
    cmocka_unit_test (test_manifests),
    cmocka_unit_test (test_ticket_changes_accounts),
    cmocka_unit_test (test_frames),
    cmocka_unit_test (test_headers),
    cmocka_unit_test (test_statuses),
    cmocka_unit_test (test_rate),
    cmocka_unit_test (test_metrics),
    cmocka_unit_test (test_cost),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
