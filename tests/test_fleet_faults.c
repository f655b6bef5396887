// Faults between real processes: callers keep sending irreversible work and resend it to every
// domain while the fault lasts; afterwards the callers_record.checker reads their records, the
// upstreams' runs and the store.

#include "callers.h"
#include <curl/curl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define DOMAINS 4
#define FAULTS_MAX 2
#define LOAD_MS 700
#define PAUSE_MS 3500 // above the time after which a silent daemon is gone
#define OUTAGE_LOAD_MS 1500
#define RESTART_MS 10000     // for a daemon to have the configuration again
#define SLOW_US 600000       // above the daemon's longest pause between two looks at the clock
#define DRAIN_TARGET_MS 3000 // no new work later than this after a drain was announced
#define STORE_ROOT "/apis/boragejunction/v1/claims/"

static const char ticket[]
    = "{\"number\":1,\"base\":0,\"priorities\":[\"acceptance\",\"lookup\"],\"services\":{"
      "\"orders\":{\"routes\":[{\"prefix\":\"/orders/accept\",\"class\":\"acceptance\","
      "\"irreversible\":true,\"deadline_ms\":800},"
      "{\"prefix\":\"/orders/\",\"class\":\"lookup\",\"deadline_ms\":800}]}}}";

static Fleet fleet;
static gint stopping; // of the threads of this file

static int
start (void **state)
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
stop (void **state)
{
  (void)state;
  fleet_stop (&fleet);
  return 0;
}

static void
check_store (void)
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
        checker_store (callers_record.checker, spec);
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
        checker_ticket (callers_record.checker,
                        fleet.members[i].node.name,
                        (int64_t)fleet_number (out->str, "ticket"));
      g_string_free (out, TRUE);
    }
}

static void
check_begin (void)
{
  callers_record.n_done = callers_record.n_not_run = callers_record.n_unknown = 0;
  callers_record.checker = checker_new ();
  check_tickets ();
}

static void
check_end (const char *name)
{
  char path[512];
  GString *out = g_string_new (NULL);
  int total;

  g_snprintf (path, sizeof path, "%s/" FLEET_RECORD, fleet.dir);
  assert_true (checker_runs (callers_record.checker, path));
  // A daemon that has just been started again has none in force until it has read one.
  assert_true (fleet_wait_ticket (&fleet, 1, RESTART_MS));
  check_tickets ();
  check_store ();
  total = checker_finish (callers_record.checker, NULL, out);
  print_message ("  %s: %d done, %d not-run, %d unknown\n",
                 name,
                 callers_record.n_done,
                 callers_record.n_not_run,
                 callers_record.n_unknown);
  if (total > 0)
    print_error ("%s: %d breaches\n%s", name, total, out->str);
  checker_free (callers_record.checker);
  callers_record.checker = NULL;
  g_string_free (out, TRUE);
  assert_int_equal (total, 0);
}

static void
set_platform (const char *what, int value)
{
  char path[64];

  g_snprintf (path, sizeof path, "/control/%s?value=%d", what, value);
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

static void
kill_daemon (bool begin)
{
  if (begin)
    fleet_end (&fleet.members[0].daemon, SIGKILL);
  else
    fleet_start_daemon (&fleet, 0);
}

static void
pause_daemon (bool begin)
{
  kill (fleet.members[1].daemon, begin ? SIGSTOP : SIGCONT);
  if (begin)
    g_usleep ((PAUSE_MS - LOAD_MS) * 1000);
}

static void
kill_upstream (bool begin)
{
  if (begin)
    fleet_end (&fleet.members[2].upstream, SIGKILL);
  else
    fleet_start_upstream (&fleet, 2);
}

static void
cut_domain (bool begin)
{
  fleet_cut (&fleet, "north-a", "south-a", begin ? "cut" : "ok");
  fleet_cut (&fleet, "south-a", "north-a", begin ? "cut" : "ok");
}

static void
cut_one_way (bool begin)
{
  fleet_cut (&fleet, "north-a", "north-b", begin ? "oneway" : "ok");
}

static void
hold_domain (bool begin)
{
  fleet_cut (&fleet, "south-b", "north-a", begin ? "hold" : "ok");
}

static void
cut_platform (bool begin)
{
  fleet_fault (&fleet, "platform-south-a", "*", begin ? "cut" : "ok", 0);
}

static void
platform_down (bool begin)
{
  set_platform ("outage", begin);
}

static void
platform_slow (bool begin)
{
  set_platform ("delay_ms", begin ? 300 : 0);
}

static void
lose_store_answers (bool begin)
{
  set_platform ("lose_answers", begin ? 20 : 0);
}

static void
silence_links (bool begin)
{
  if (!begin)
    return;
  fleet_fault (&fleet, "link-north-b", "*", "silence", 1);
  fleet_fault (&fleet, "link-south-a", "*", "silence", 1);
}

static void
lose_link_answers (bool begin)
{
  fleet_fault (&fleet, "link-south-a", "*", begin ? "lose" : "ok", 3);
}

static void
lose_upstream_answers (bool begin)
{
  for (int i = 0; i < DOMAINS; i++)
    {
      char tag[96];

      g_snprintf (tag, sizeof tag, "upstream-%s", fleet.members[i].node.name);
      fleet_fault (&fleet, tag, "*", begin ? "lose" : "ok", 3);
    }
}

typedef struct
{
  const char *name;
  void (*faults[FAULTS_MAX]) (bool begin);
} Case;

static const Case cases[] = {
  { "no fault", { NULL } },
  { "a daemon is killed", { kill_daemon } },
  { "a daemon stands still", { pause_daemon } },
  { "an upstream is killed", { kill_upstream } },
  { "two domains are cut", { cut_domain } },
  { "a cut one way", { cut_one_way } },
  { "traffic held one way", { hold_domain } },
  { "a domain is cut from the platform", { cut_platform } },
  { "the platform is down", { platform_down } },
  { "the platform is slow", { platform_slow } },
  { "answers of the store lost after the write", { lose_store_answers } },
  { "connections silent", { silence_links } },
  { "answers between daemons lost", { lose_link_answers } },
  { "answers of upstreams lost", { lose_upstream_answers } },
  { "answers of the store lost, and a daemon stands still", { lose_store_answers, pause_daemon } },
  { "answers of the store lost, and a daemon is killed", { lose_store_answers, kill_daemon } },
  { "the platform is slow, and a daemon is killed", { platform_slow, kill_daemon } },
  { "two domains cut, and the platform is down", { cut_domain, platform_down } },
  { "connections silent, and an upstream is killed", { silence_links, kill_upstream } },
  { "answers of upstreams and of the store lost", { lose_upstream_answers, lose_store_answers } },
  { "answers of the store lost twice", { lose_store_answers, lose_store_answers } },
  { "connections silent twice", { silence_links, silence_links } },
};

static void
test_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      GThread *threads[CALLERS];
      Caller callers[CALLERS];

      assert_true (fleet_until (callers_are_served, &fleet, 15000));
      check_begin ();
      callers_begin (&fleet, threads, callers, false);
      g_usleep (LOAD_MS / 4 * 1000);
      for (int f = 0; f < FAULTS_MAX && c->faults[f] != NULL; f++)
        {
          c->faults[f](true);
          g_usleep (LOAD_MS / 2 * 1000);
        }
      for (int f = 0; f < FAULTS_MAX && c->faults[f] != NULL; f++)
        c->faults[f](false);
      g_usleep (LOAD_MS / 4 * 1000);
      callers_end (threads);
      check_end (c->name);
      assert_true (callers_record.n_done > 0);
    }
}

// Ends and starts again what crashed; returns how many did.
static int
restart_crashed (void)
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
  bool restarts;  // crashed upstreams come back between the sends
  int bystanders; // requests that run when it comes
  int crashes_max;
  int final_status; // of the last send
} PoisonCase;

static const PoisonCase poison_cases[] = {
  { "poison without a key", "/orders/poison-1", false, false, 0, 2, 422 },
  { "poison without a key, upstreams come back", "/orders/poison-2", false, true, 0, 2, 422 },
  { "poison with a key", "/orders/accept-poison-3", true, true, 0, 1, 409 },
  { "poison among bystanders", "/orders/poison-4", false, true, 6, 2, 422 },
};

typedef struct
{
  char path[64];
  int member;
} Bystander;

static gpointer
stand_by (gpointer data)
{
  const Bystander *b = data;

  fleet_http ("GET", fleet.members[b->member].front_port, b->path, NULL, NULL, NULL);
  return NULL;
}

static bool
is_answered (void *data)
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
      threads[i] = g_thread_new ("bystander", stand_by, &bystanders[i]);
    }
  for (int i = 0; i < 3 * DOMAINS; i++)
    {
      status = send_poison (c, key, i % DOMAINS);
      if (!c->restarts)
        continue;
      n_crashes += restart_crashed ();
      assert_true (fleet_until (callers_are_served, &fleet, 15000));
    }
  n_crashes += restart_crashed ();
  for (int i = 0; i < c->bystanders; i++)
    g_thread_join (threads[i]);
  print_message ("  %s: %d crashes, then status %d\n", c->name, n_crashes, status);
  assert_int_equal (status, c->final_status);
  assert_in_range (n_crashes, 1, c->crashes_max);
  assert_true (fleet_until (callers_are_served, &fleet, 15000));
  for (int i = 0; i < c->bystanders; i++)
    assert_true (fleet_until (is_answered, &bystanders[i], 5000));
}

// Its caller resends a request that crashes upstreams to every domain, three times over.
static void
test_poison (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (poison_cases); i++)
    {
      assert_true (fleet_until (callers_are_served, &fleet, 15000));
      if (poison_cases[i].bystanders > 0)
        set_service_us (300000);
      run_poison (&poison_cases[i]);
      set_service_us (5000);
    }
}

typedef struct
{
  const char *name;
  const char *key;   // NULL for a fresh one of version 7
  int64_t ahead_ms;  // of the key's time
  const char *id[2]; // of the request and of its resend at the next domain, NULL for no resend
  int status[2];
} KeyCase;

static const KeyCase key_cases[] = {
  { "resend elsewhere", NULL, 0, { "r1", "r1" }, { 200, 200 } },
  { "resend of another request", NULL, 0, { "r2", "r3" }, { 200, 400 } },
  { "key of version 4", "919108f7-52d1-4320-9bac-f847db4148a8", 0, { "r4" }, { 400 } },
  { "key ahead of time", NULL, 10 * BJ_KEY_FUTURE_MS, { "r5" }, { 400 } },
  { "key a little ahead", NULL, BJ_KEY_FUTURE_MS / 2, { "r6", "r6" }, { 200, 200 } },
  { "no key", "", 0, { "r7" }, { 400 } },
  { "home-bound id that nobody minted", "home:nobody:1:1", 0, { "r8" }, { 421 } },
  { "home-bound id, malformed", "home:x", 0, { "r9" }, { 400 } },
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
          // Until its outcome is recorded, a resend is told to come back.
          for (int n = 0; s > 0 && status == 409 && n < 20; n++)
            {
              g_usleep ((gulong)MAX (retry_ms, 1) * 1000);
              callers_send (&fleet, &a, s, "/orders/accept", &status, &retry_ms);
            }
          assert_int_equal (status, c->status[s]);
        }
      assert_in_range (fleet_executions (&fleet, a.key), 0, 1);
    }
}

typedef struct
{
  const char *name;
  const char *domain; // cut off from the store, NULL for all
  const char *mode;   // of bj-fault
  bool is_alone;      // the domain is cut off from the others too
} OutageCase;

static const OutageCase outage_cases[] = {
  { "the store refuses connections", NULL, "cut", false },
  { "the store hangs", NULL, "hold", false },
  { "a domain alone", "south-b", "cut", true },
  { "a domain alone, everything hangs", "south-b", "hold", true },
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
          if (!c->is_alone)
            continue;
          fleet_cut (&fleet, domain, c->domain, mode);
          fleet_cut (&fleet, c->domain, domain, mode);
          continue;
        }
      g_snprintf (tag, sizeof tag, "platform-%s", domain);
      fleet_fault (&fleet, tag, "*", mode, 0);
    }
}

// An outage of an hour, compressed: it outlasts every timeout and the longest backoff of the claims
// twice over, so a longer one goes through no state that this one does not.
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

      assert_true (fleet_until (callers_are_served, &fleet, 15000));
      check_begin ();
      set_outage (c, c->mode);
      g_usleep (2 * BJ_PLATFORM_TIMEOUT_MS * 1000);
      callers_begin (&fleet, threads, callers, true);
      until = bj_clock_now () + OUTAGE_LOAD_MS;
      while (bj_clock_now () < until)
        {
          callers_make_key (a.key, sizeof a.key);
          assert_int_equal (callers_send (&fleet, &a, member, "/orders/accept", &status, &retry_ms),
                            BJ_NOT_RUN);
          assert_true (retry_ms > 0);
          g_usleep (BACK_MAX_MS * 1000);
        }
      callers_end (threads);
      set_outage (c, "ok");
      assert_true (callers_record.n_done > 100);
      check_end (c->name);
    }
}

static gint64
runs_of (int member)
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
  int n_cut;
  int n_whole;
} Reader;

// Asks one daemon for slow answers; every one must come whole.
static gpointer
read_slowly (gpointer data)
{
  Reader *r = data;

  do
    {
      GString *out = g_string_new (NULL);
      int status = fleet_http ("GET",
                               fleet.members[r->member].front_port,
                               "/orders/slow?id=s&bytes=64",
                               NULL,
                               NULL,
                               out);

      if (status == 200 && out->len == ANSWER_BYTES)
        r->n_whole++;
      else if (status == 0)
        r->n_cut++;
      g_string_free (out, TRUE);
    }
  while (!g_atomic_int_get (&stopping));
  return NULL;
}

static bool
has_open_calls (void *data)
{
  GString *out = g_string_new (NULL);
  int status
      = fleet_http ("GET", fleet.members[DOMAINS - 1].admin_port, "/v1/status", NULL, NULL, out);
  bool holds = status == 200 && fleet_number (out->str, "open_calls") >= CALLERS;

  (void)data;
  g_string_free (out, TRUE);
  return holds;
}

// An upstream is drained by ticket, then its daemon is told to stop, both under load.
static void
test_planned_stop (void **state)
{
  Reader readers[CALLERS];
  GThread *threads[CALLERS];
  char url[64];
  char *const drain[] = { BJ_BUILD_DIR "/bjctl", "--platform", url, "drain", "south-b-1", NULL };
  gint64 before;
  int n_cut = 0;

  (void)state;
  assert_true (fleet_until (callers_are_served, &fleet, 15000));
  check_begin ();
  set_service_us (SLOW_US);
  g_atomic_int_set (&stopping, 0);
  for (int i = 0; i < CALLERS; i++)
    {
      readers[i] = (Reader){ .member = i % DOMAINS };
      threads[i] = g_thread_new ("reader", read_slowly, &readers[i]);
    }
  g_usleep (500 * 1000);
  g_snprintf (url, sizeof url, "http://127.0.0.1:%d", fleet.platform_port);
  assert_int_equal (fleet_run (drain, NULL), 0);
  g_usleep (DRAIN_TARGET_MS * 1000);
  before = runs_of (DOMAINS - 1);
  g_usleep (1500 * 1000);
  checker_after_drain (callers_record.checker, "south-b-1", runs_of (DOMAINS - 1) - before);
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < CALLERS; i++)
    {
      g_thread_join (threads[i]);
      assert_true (readers[i].n_whole > 0);
      n_cut += readers[i].n_cut;
    }
  // Each of these asks once; their answers are under way when the daemon is told to stop.
  for (int i = 0; i < CALLERS; i++)
    {
      readers[i] = (Reader){ .member = DOMAINS - 1 };
      threads[i] = g_thread_new ("reader", read_slowly, &readers[i]);
    }
  assert_true (fleet_until (has_open_calls, NULL, 5000));
  kill (fleet.members[DOMAINS - 1].daemon, SIGTERM);
  assert_int_equal (fleet_wait_exit (&fleet.members[DOMAINS - 1].daemon, 10000), 0);
  for (int i = 0; i < CALLERS; i++)
    {
      g_thread_join (threads[i]);
      n_cut += readers[i].n_cut;
    }
  checker_stop (callers_record.checker, "south-b-1", n_cut);
  check_end ("drained by ticket, then stopped");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_keys),         cmocka_unit_test (test_poison),
    cmocka_unit_test (test_outage),       cmocka_unit_test (test_cases),
    cmocka_unit_test (test_planned_stop),
  };

  return cmocka_run_group_tests (tests, start, stop);
}
