// Faults between real processes, under load of irreversible actions that callers resend to every
// domain while a fault lasts. Guards against actions that run twice and wrong outcomes: after each
// case the checker compares the callers' records, the upstreams' runs and the claims in the store.

#include "callers.h"
#include <curl/curl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define DOMAINS 4
#define FAULTS_MAX 2  // per case
#define LOAD_MS 700   // load: a quarter before the faults, half after each, a quarter at the end
#define PAUSE_MS 3500 // longer than it takes peers to declare a silent daemon dead
#define OUTAGE_LOAD_MS 1500      // load while the store is unreachable
#define RESTART_TIMEOUT_MS 10000 // for a restarted daemon to apply the ticket in force
#define SLOW_SERVICE_US 600000 // service time, above the longest interval between two daemon ticks
#define DRAIN_TARGET_MS 3000   // from a drain until its upstream gets no new requests
#define STORE_ROOT "/apis/boragejunction/v1/claims/"

static const char ticket[]
    = "{\"number\":1,\"base\":0,\"priorities\":[\"acceptance\",\"lookup\"],\"services\":{"
      "\"orders\":{\"routes\":[{\"prefix\":\"/orders/accept\",\"class\":\"acceptance\","
      "\"irreversible\":true,\"deadline_ms\":800},"
      "{\"prefix\":\"/orders/\",\"class\":\"lookup\",\"deadline_ms\":800}]}}}";

static Fleet fleet;
static gint slow_callers_stopping; // non-zero: slow callers return after their current request

static int
start_fleet (void **state)
{
  static const char *const domains[DOMAINS] = { "north-a", "north-b", "south-a", "south-b" };
  FleetNode nodes[DOMAINS];

  (void)state;
  memset (nodes, 0, sizeof nodes);
  for (int i = 0; i < DOMAINS; i++)
    {
      g_snprintf (nodes[i].name, sizeof nodes[i].name, "%s-1", domains[i]);
      g_strlcpy (nodes[i].domain, domains[i], sizeof nodes[i].domain);
      g_strlcpy (nodes[i].region, i < 2 ? "north" : "south", sizeof nodes[i].region);
      g_strlcpy (nodes[i].service, "orders", sizeof nodes[i].service);
      nodes[i].slots = 32;
      nodes[i].service_ms = 5;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  fleet_init (&fleet, nodes, DOMAINS);
  fleet.use_fault = true;
  return fleet_start (&fleet) && fleet_file_ticket (&fleet, ticket)
                 && fleet_wait_ticket (&fleet, 1, 10000)
             ? 0
             : -1;
}

static int
stop_fleet (void **state)
{
  (void)state;
  fleet_stop (&fleet);
  return 0;
}

static void
check_claims (void)
{
  for (int i = 0; i < BJ_CLAIM_SHARDS; i++)
    {
      char path[64];
      GString *out = g_string_new (NULL);
      struct json_object *o = NULL;
      struct json_object *spec = NULL;

      g_snprintf (path, sizeof path, STORE_ROOT "%d", i);
      if (fleet_http ("GET", fleet.platform_port, path, NULL, NULL, out) == 200)
        o = json_tokener_parse (out->str);
      if (json_object_object_get_ex (o, "spec", &spec))
        checker_add_claims (callers_record.checker, spec);
      json_object_put (o);
      g_string_free (out, TRUE);
    }
}

static void
check_tickets (void)
{
  for (int i = 0; i < DOMAINS; i++)
    {
      GString *out = g_string_new (NULL);

      if (fleet_http ("GET", fleet.members[i].admin_port, "/v1/status", NULL, NULL, out) == 200)
        checker_add_ticket (callers_record.checker,
                            fleet.members[i].node.name,
                            (int64_t)fleet_json_number (out->str, "ticket"));
      g_string_free (out, TRUE);
    }
}

static void
begin_check (void)
{
  callers_record.n_done = callers_record.n_not_run = callers_record.n_unknown = 0;
  callers_record.checker = checker_new ();
  check_tickets ();
}

static void
finish_check (const char *name)
{
  char path[512];
  GString *out = g_string_new (NULL);
  int total;

  g_snprintf (path, sizeof path, "%s/" FLEET_EXECUTIONS_FILE, fleet.dir);
  assert_true (checker_read_executions (callers_record.checker, path));
  // A restarted daemon reports no ticket until it has read one.
  assert_true (fleet_wait_ticket (&fleet, 1, RESTART_TIMEOUT_MS));
  check_tickets ();
  check_claims ();
  total = checker_finish (callers_record.checker, NULL, out);
  print_message ("  %s: %d done, %d not-run, %d unknown\n",
                 name,
                 callers_record.n_done,
                 callers_record.n_not_run,
                 callers_record.n_unknown);
  if (total > 0)
    print_error ("%s: the checker found %d violations:\n%s", name, total, out->str);
  checker_free (callers_record.checker);
  callers_record.checker = NULL;
  g_string_free (out, TRUE);
  assert_int_equal (total, 0);
}

static void
set_platform_fault (const char *control, int value)
{
  char path[64];

  g_snprintf (path, sizeof path, "/control/%s?value=%d", control, value);
  fleet_http ("POST", fleet.platform_port, path, NULL, "", NULL);
}

static void
set_service_us (int us)
{
  char path[64];

  g_snprintf (path, sizeof path, "/control/service_us?value=%d", us);
  for (int i = 0; i < DOMAINS; i++)
    fleet_http ("POST", fleet.members[i].upstream_port, path, NULL, "", NULL);
}

// The next functions inject a fault, or clear it if inject is false.
static void
kill_daemon (bool inject)
{
  if (inject)
    fleet_end_process (&fleet.members[0].daemon, SIGKILL);
  else
    fleet_start_daemon (&fleet, 0);
}

static void
pause_daemon (bool inject)
{
  kill (fleet.members[1].daemon, inject ? SIGSTOP : SIGCONT);
  if (inject)
    g_usleep ((PAUSE_MS - LOAD_MS) * 1000);
}

static void
kill_upstream (bool inject)
{
  if (inject)
    fleet_end_process (&fleet.members[2].upstream, SIGKILL);
  else
    fleet_start_upstream (&fleet, 2);
}

static void
cut_domain (bool inject)
{
  fleet_set_link_fault (&fleet, "north-a", "south-a", inject ? "cut" : "ok");
  fleet_set_link_fault (&fleet, "south-a", "north-a", inject ? "cut" : "ok");
}

static void
cut_one_way (bool inject)
{
  fleet_set_link_fault (&fleet, "north-a", "north-b", inject ? "oneway" : "ok");
}

static void
hold_one_way (bool inject)
{
  fleet_set_link_fault (&fleet, "south-b", "north-a", inject ? "hold" : "ok");
}

static void
cut_platform (bool inject)
{
  fleet_set_fault (&fleet, "platform-south-a", "*", inject ? "cut" : "ok", 0);
}

static void
stop_platform (bool inject)
{
  set_platform_fault ("outage", inject);
}

static void
slow_platform (bool inject)
{
  set_platform_fault ("delay_ms", inject ? 300 : 0);
}

static void
lose_store_responses (bool inject)
{
  set_platform_fault ("lose_answers", inject ? 20 : 0);
}

static void
silence_links (bool inject)
{
  if (!inject)
    return;
  fleet_set_fault (&fleet, "link-north-b", "*", "silence", 1);
  fleet_set_fault (&fleet, "link-south-a", "*", "silence", 1);
}

static void
lose_link_responses (bool inject)
{
  fleet_set_fault (&fleet, "link-south-a", "*", inject ? "lose" : "ok", 3);
}

static void
lose_upstream_responses (bool inject)
{
  for (int i = 0; i < DOMAINS; i++)
    {
      char tag[96];

      g_snprintf (tag, sizeof tag, "upstream-%s", fleet.members[i].node.name);
      fleet_set_fault (&fleet, tag, "*", inject ? "lose" : "ok", 3);
    }
}

typedef struct
{
  const char *name;
  void (*faults[FAULTS_MAX]) (bool inject); // injected in this order, then cleared
} FaultCase;

static const FaultCase cases[] = {
  { "no fault", { NULL } },
  { "daemon killed", { kill_daemon } },
  { "daemon paused", { pause_daemon } },
  { "upstream killed", { kill_upstream } },
  { "two domains cut off from each other", { cut_domain } },
  { "one direction between two domains cut", { cut_one_way } },
  { "traffic from one domain to another hangs", { hold_one_way } },
  { "domain cut off from the platform", { cut_platform } },
  { "platform down", { stop_platform } },
  { "platform slow", { slow_platform } },
  { "store responses lost after the write", { lose_store_responses } },
  { "link connections silent", { silence_links } },
  { "responses between daemons lost", { lose_link_responses } },
  { "upstream responses lost", { lose_upstream_responses } },
  { "store responses lost, daemon paused", { lose_store_responses, pause_daemon } },
  { "store responses lost, daemon killed", { lose_store_responses, kill_daemon } },
  { "platform slow, daemon killed", { slow_platform, kill_daemon } },
  { "two domains cut off from each other, platform down", { cut_domain, stop_platform } },
  { "link connections silent, upstream killed", { silence_links, kill_upstream } },
  { "upstream and store responses lost", { lose_upstream_responses, lose_store_responses } },
  { "store responses lost twice", { lose_store_responses, lose_store_responses } },
  { "link connections silent twice", { silence_links, silence_links } },
};

static void
test_faults_under_load (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const FaultCase *c = &cases[i];
      GThread *threads[CALLERS];
      Caller callers[CALLERS];

      assert_true (fleet_wait_until (callers_are_served, &fleet, 15000));
      begin_check ();
      callers_start (&fleet, threads, callers, false);
      g_usleep (LOAD_MS / 4 * 1000);
      for (int f = 0; f < FAULTS_MAX && c->faults[f] != NULL; f++)
        {
          c->faults[f](true);
          g_usleep (LOAD_MS / 2 * 1000);
        }
      for (int f = 0; f < FAULTS_MAX && c->faults[f] != NULL; f++)
        c->faults[f](false);
      g_usleep (LOAD_MS / 4 * 1000);
      callers_stop (threads);
      finish_check (c->name);
      assert_true (callers_record.n_done > 0);
    }
}

// Restarts the upstreams that crashed and returns their number.
static int
restart_crashed_upstreams (void)
{
  int n = 0;

  for (int i = 0; i < DOMAINS; i++)
    if (fleet_wait_exit (&fleet.members[i].upstream, 0) >= 0)
      {
        n++;
        fleet_start_upstream (&fleet, i);
      }
  return n;
}

typedef struct
{
  const char *name;
  const char *path;
  bool has_key;
  bool restarts_upstreams; // crashed upstreams are restarted between the sends
  int bystanders;          // other requests in flight when the poison request arrives
  int crashes_max;
  int final_status; // HTTP status of the last send
} PoisonCase;

static const PoisonCase poison_cases[] = {
  { "poison without a key", "/orders/poison-1", false, false, 0, 2, 422 },
  { "poison without a key, upstreams restarted", "/orders/poison-2", false, true, 0, 2, 422 },
  { "poison with a key", "/orders/accept-poison-3", true, true, 0, 1, 409 },
  { "poison with other requests in flight", "/orders/poison-4", false, true, 6, 2, 422 },
};

typedef struct
{
  char path[64];
  int member;
} Bystander;

static gpointer
run_bystander (gpointer data)
{
  const Bystander *b = data;

  fleet_http ("GET", fleet.members[b->member].front_port, b->path, NULL, NULL, NULL);
  return NULL;
}

static bool
is_bystander_served (void *data)
{
  const Bystander *b = data;

  return fleet_http ("GET", fleet.members[b->member].front_port, b->path, NULL, NULL, NULL) == 200;
}

static int
send_poison (const PoisonCase *c, const char *key, int member)
{
  char header[96];
  const char *headers[] = { header, NULL };

  g_snprintf (header, sizeof header, "Idempotency-Key: %s", key);
  return fleet_http (c->has_key ? "POST" : "GET",
                     fleet.members[member].front_port,
                     c->path,
                     c->has_key ? headers : NULL,
                     c->has_key ? "" : NULL,
                     NULL);
}

static void
run_poison (const PoisonCase *c)
{
  GThread *threads[16];
  Bystander bystanders[16];
  char key[64];
  int n_crashes = 0;
  int status = 0;

  callers_make_key (key, sizeof key);
  for (int i = 0; i < c->bystanders; i++)
    {
      bystanders[i].member = i % DOMAINS;
      g_snprintf (
          bystanders[i].path, sizeof bystanders[i].path, "/orders/by?id=%s-%d", c->path + 8, i);
      threads[i] = g_thread_new ("bystander", run_bystander, &bystanders[i]);
    }
  for (int i = 0; i < 3 * DOMAINS; i++)
    {
      status = send_poison (c, key, i % DOMAINS);
      if (!c->restarts_upstreams)
        continue;
      n_crashes += restart_crashed_upstreams ();
      assert_true (fleet_wait_until (callers_are_served, &fleet, 15000));
    }
  n_crashes += restart_crashed_upstreams ();
  for (int i = 0; i < c->bystanders; i++)
    g_thread_join (threads[i]);
  print_message (
      "  %s: %d upstream crashes, status %d for the last send\n", c->name, n_crashes, status);
  assert_int_equal (status, c->final_status);
  assert_in_range (n_crashes, 1, c->crashes_max);
  assert_true (fleet_wait_until (callers_are_served, &fleet, 15000));
  for (int i = 0; i < c->bystanders; i++)
    assert_true (fleet_wait_until (is_bystander_served, &bystanders[i], 5000));
}

// A caller sends a request that crashes upstreams to each domain in turn, three times. Guards
// against one request that crashes every upstream: it must be refused after crashes_max crashes.
static void
test_poison (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (poison_cases); i++)
    {
      assert_true (fleet_wait_until (callers_are_served, &fleet, 15000));
      if (poison_cases[i].bystanders > 0)
        set_service_us (300000);
      run_poison (&poison_cases[i]);
      set_service_us (5000);
    }
}

typedef struct
{
  const char *name;
  const char *key;   // NULL for a new UUID of version 7
  int64_t ahead_ms;  // offset of the UUID's time from the current time
  const char *id[2]; // of the request and of its resend to the next domain, NULL for no resend
  int status[2];     // expected HTTP statuses of the two
} KeyCase;

static const KeyCase key_cases[] = {
  { "same request resent to another domain", NULL, 0, { "r1", "r1" }, { 200, 200 } },
  { "key reused for a different request", NULL, 0, { "r2", "r3" }, { 200, 400 } },
  { "UUID of version 4", "919108f7-52d1-4320-9bac-f847db4148a8", 0, { "r4" }, { 400 } },
  { "UUID time too far in the future", NULL, 10 * BJ_KEY_FUTURE_MS, { "r5" }, { 400 } },
  { "UUID time slightly in the future", NULL, BJ_KEY_FUTURE_MS / 2, { "r6", "r6" }, { 200, 200 } },
  { "no key", "", 0, { "r7" }, { 400 } },
  { "home-bound id that no daemon minted", "home:nobody:1:1", 0, { "r8" }, { 421 } },
  { "malformed home-bound id", "home:x", 0, { "r9" }, { 400 } },
};

static void
test_keys (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (key_cases); i++)
    {
      const KeyCase *c = &key_cases[i];
      Action a = { 0 };
      double retry_ms;
      int status;

      callers_make_key_at (a.key, sizeof a.key, bj_clock_wall () + (double)c->ahead_ms);
      if (c->key != NULL)
        g_strlcpy (a.key, c->key, sizeof a.key);
      print_message ("  %s\n", c->name);
      for (int s = 0; s < 2 && c->id[s] != NULL; s++)
        {
          g_strlcpy (a.id, c->id[s], sizeof a.id);
          callers_send (&fleet, &a, s, "/orders/accept", &status, &retry_ms);
          // A resend gets 409 and a retry-after time until the outcome is recorded.
          for (int n = 0; s > 0 && status == 409 && n < 20; n++)
            {
              g_usleep ((gulong)MAX (retry_ms, 1) * 1000);
              callers_send (&fleet, &a, s, "/orders/accept", &status, &retry_ms);
            }
          assert_int_equal (status, c->status[s]);
        }
      assert_in_range (fleet_count_executions (&fleet, a.key), 0, 1);
    }
}

typedef struct
{
  const char *name;
  const char *domain; // domain cut off from the store, NULL for all
  const char *mode;   // bj-fault mode
  bool is_isolated;   // the domain is cut off from the other domains too
} OutageCase;

static const OutageCase outage_cases[] = {
  { "store refuses connections", NULL, "cut", false },
  { "store hangs", NULL, "hold", false },
  { "domain isolated, connections refused", "south-b", "cut", true },
  { "domain isolated, connections hang", "south-b", "hold", true },
};

static void
set_outage (const OutageCase *c, const char *mode)
{
  for (int i = 0; i < DOMAINS; i++)
    {
      const char *domain = fleet.members[i].node.domain;
      char tag[96];

      if (c->domain != NULL && strcmp (domain, c->domain) != 0)
        {
          if (!c->is_isolated)
            continue;
          fleet_set_link_fault (&fleet, domain, c->domain, mode);
          fleet_set_link_fault (&fleet, c->domain, domain, mode);
          continue;
        }
      g_snprintf (tag, sizeof tag, "platform-%s", domain);
      fleet_set_fault (&fleet, tag, "*", mode, 0);
    }
}

// Simulates an outage of an hour: it lasts twice as long as every timeout of a store call and the
// longest backoff of the claims, so a longer outage reaches no further state. Meanwhile claimed
// work must be refused as not run, and home-bound work must be served.
static void
test_outage (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (outage_cases); i++)
    {
      const OutageCase *c = &outage_cases[i];
      int member = c->domain != NULL ? DOMAINS - 1 : 0;
      GThread *threads[CALLERS];
      Caller callers[CALLERS];
      Action a = { .id = "claimed" };
      double retry_ms;
      int status;
      BjTime until;

      assert_true (fleet_wait_until (callers_are_served, &fleet, 15000));
      begin_check ();
      set_outage (c, c->mode);
      g_usleep (2 * BJ_PLATFORM_TIMEOUT_MS * 1000);
      callers_start (&fleet, threads, callers, true);
      until = bj_clock_now () + OUTAGE_LOAD_MS;
      while (bj_clock_now () < until)
        {
          callers_make_key (a.key, sizeof a.key);
          assert_int_equal (callers_send (&fleet, &a, member, "/orders/accept", &status, &retry_ms),
                            BJ_NOT_RUN);
          assert_true (retry_ms > 0);
          g_usleep (RESEND_DELAY_MAX_MS * 1000);
        }
      callers_stop (threads);
      set_outage (c, "ok");
      assert_true (callers_record.n_done > 100);
      finish_check (c->name);
    }
}

static gint64
read_run_count (int member)
{
  GString *out = g_string_new (NULL);
  gint64 n = -1;

  if (fleet_http ("GET", fleet.members[member].upstream_port, "/control/stats", NULL, NULL, out)
      == 200)
    n = g_ascii_strtoll (out->str + strlen ("run "), NULL, 10);
  g_string_free (out, TRUE);
  return n;
}

typedef struct
{
  int member;
  int n_aborted;
  int n_complete;
} SlowCaller;

// Sends slow requests to one daemon and counts complete and aborted responses. At a planned stop
// the checker reports each aborted response as a violation.
static gpointer
send_slow_requests (gpointer data)
{
  SlowCaller *c = data;

  do
    {
      GString *out = g_string_new (NULL);
      int status = fleet_http ("GET",
                               fleet.members[c->member].front_port,
                               "/orders/slow?id=s&bytes=64",
                               NULL,
                               NULL,
                               out);

      if (status == 200 && out->len == ANSWER_BYTES)
        c->n_complete++;
      else if (status == 0)
        c->n_aborted++;
      g_string_free (out, TRUE);
    }
  while (!g_atomic_int_get (&slow_callers_stopping));
  return NULL;
}

static bool
has_open_calls (void *data)
{
  GString *out = g_string_new (NULL);
  int status
      = fleet_http ("GET", fleet.members[DOMAINS - 1].admin_port, "/v1/status", NULL, NULL, out);
  bool is_open = status == 200 && fleet_json_number (out->str, "open_calls") >= CALLERS;

  (void)data;
  g_string_free (out, TRUE);
  return is_open;
}

// Drains an upstream by ticket, then stops its daemon with SIGTERM, both under load. Guards against
// requests in flight that a planned stop aborts and new requests sent to a drained upstream.
static void
test_planned_stop (void **state)
{
  SlowCaller slow_callers[CALLERS];
  GThread *threads[CALLERS];
  char url[64];
  char *const drain[] = { BJ_BUILD_DIR "/bjctl", "--platform", url, "drain", "south-b-1", NULL };
  gint64 before;
  int n_aborted = 0;

  (void)state;
  assert_true (fleet_wait_until (callers_are_served, &fleet, 15000));
  begin_check ();
  set_service_us (SLOW_SERVICE_US);
  g_atomic_int_set (&slow_callers_stopping, 0);
  for (int i = 0; i < CALLERS; i++)
    {
      slow_callers[i] = (SlowCaller){ .member = i % DOMAINS };
      threads[i] = g_thread_new ("slow-caller", send_slow_requests, &slow_callers[i]);
    }
  g_usleep (500 * 1000);
  g_snprintf (url, sizeof url, "http://127.0.0.1:%d", fleet.platform_port);
  assert_int_equal (fleet_run_program (drain, NULL), 0);
  g_usleep (DRAIN_TARGET_MS * 1000);
  before = read_run_count (DOMAINS - 1);
  g_usleep (1500 * 1000);
  checker_add_executions_after_drain (
      callers_record.checker, "south-b-1", read_run_count (DOMAINS - 1) - before);
  g_atomic_int_set (&slow_callers_stopping, 1);
  for (int i = 0; i < CALLERS; i++)
    {
      g_thread_join (threads[i]);
      assert_true (slow_callers[i].n_complete > 0);
      n_aborted += slow_callers[i].n_aborted;
    }
  // slow_callers_stopping is still set, so each caller sends one request, which is in flight when
  // the daemon gets SIGTERM.
  for (int i = 0; i < CALLERS; i++)
    {
      slow_callers[i] = (SlowCaller){ .member = DOMAINS - 1 };
      threads[i] = g_thread_new ("slow-caller", send_slow_requests, &slow_callers[i]);
    }
  assert_true (fleet_wait_until (has_open_calls, NULL, 5000));
  kill (fleet.members[DOMAINS - 1].daemon, SIGTERM);
  assert_int_equal (fleet_wait_exit (&fleet.members[DOMAINS - 1].daemon, 10000), 0);
  for (int i = 0; i < CALLERS; i++)
    {
      g_thread_join (threads[i]);
      n_aborted += slow_callers[i].n_aborted;
    }
  checker_add_aborted_calls (callers_record.checker, "south-b-1", n_aborted);
  finish_check ("drained by ticket, then stopped");
}

// ctest runs test_poison as a separate test, test_fleet_poison.
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_keys),         cmocka_unit_test (test_poison),
    cmocka_unit_test (test_outage),       cmocka_unit_test (test_faults_under_load),
    cmocka_unit_test (test_planned_stop),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  else
    cmocka_set_skip_filter ("test_poison");
  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
