// Tickets with real processes: what a fleet has in force when operators race, answers are lost, the
// store is down, slow, stale or restored, and readers die. While the cases run, a thread polls
// every daemon; a number in force that goes back is a breach.

#include "fleet.h"
#include <curl/curl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#define N_NODES 6
#define FILE_TIMEOUT_MS 10000
#define OUTAGE_START_MS 2000 // stated target for a daemon started in an outage
#define COMPLETE_MS 20000    // a watch without news, then a reading
#define WAIT_SECONDS "15"
#define ROOT "/apis/boragejunction/v1/"

typedef struct
{
  const char *text;
  GString *out;
  int code;
} Operator;

typedef struct
{
  int member;
  int64_t number;
} InForce;

typedef struct
{
  const char *name;
  bool (*run) (void);
} Case;

static Fleet fleet;
static int64_t last; // number of the ticket filed last
static gint polling;
static char breach[128];

static void
control (const char *what)
{
  char *path = g_strdup_printf ("/control/%s", what);

  assert_int_equal (fleet_http ("POST", fleet.platform_port, path, NULL, "", NULL), 200);
  g_free (path);
}

static int64_t
ticket_of (int i)
{
  GString *out = g_string_new (NULL);
  int64_t n = -1;

  if (fleet_http ("GET", fleet.members[i].admin_port, "/v1/status", NULL, NULL, out) == 200)
    n = (int64_t)fleet_number (out->str, "ticket");
  g_string_free (out, TRUE);
  return n;
}

static bool
has_ticket (void *data)
{
  const InForce *f = data;

  return ticket_of (f->member) >= f->number;
}

static bool
store_has_last (void *data)
{
  GString *out = g_string_new (NULL);
  struct json_object *o;
  bool has = false;

  (void)data;
  if (fleet_http ("GET", fleet.platform_port, ROOT "config/current", NULL, NULL, out) == 200)
    {
      o = json_tokener_parse (out->str);
      has = bj_json_int (json_object_object_get (o, "spec"), "number") == last;
      json_object_put (o);
    }
  g_string_free (out, TRUE);
  return has;
}

static gpointer
poll_numbers (gpointer data)
{
  int64_t highest[N_NODES] = { 0 };

  (void)data;
  while (g_atomic_int_get (&polling))
    {
      for (int i = 0; i < N_NODES; i++)
        {
          int64_t n = ticket_of (i);

          if (n > 0 && n < highest[i])
            g_snprintf (breach,
                        sizeof breach,
                        "%s went back from ticket %" PRId64 " to %" PRId64,
                        fleet.members[i].node.name,
                        highest[i],
                        n);
          highest[i] = MAX (highest[i], n);
        }
      g_usleep (10 * 1000);
    }
  return NULL;
}

static char *
make_ticket (int64_t number, int64_t base, const char *author)
{
  return g_strdup_printf ("{\"number\":%" PRId64 ",\"base\":%" PRId64
                          ",\"author\":\"%s\",\"priorities\":[\"high\",\"low\"],"
                          "\"services\":{\"a\":{\"routes\":[{\"prefix\":\"/a/\",\"class\":"
                          "\"high\",\"deadline_ms\":%d}]}}}",
                          number,
                          base,
                          author,
                          (int)(number + 100));
}

static gpointer
run_operator (gpointer data)
{
  Operator *o = data;
  char path[512], platform[64], admin[64];
  char *const argv[]
      = { BJ_BUILD_DIR "/bjctl", "--platform", platform, "--admin", admin, "--json", "--wait",
          WAIT_SECONDS,          "file",       path,     NULL };

  g_snprintf (path, sizeof path, "%s/ticket-%p.json", fleet.dir, data);
  g_snprintf (platform, sizeof platform, "http://127.0.0.1:%d", fleet.platform_port);
  g_snprintf (admin, sizeof admin, "127.0.0.1:%d", fleet.members[0].admin_port);
  g_file_set_contents (path, o->text, -1, NULL);
  o->code = fleet_run (argv, o->out);
  return NULL;
}

static int
file_ticket (int64_t number, int64_t base, const char *author, GString *out)
{
  char *text = make_ticket (number, base, author);
  Operator o = { text, out != NULL ? out : g_string_new (NULL), -1 };

  run_operator (&o);
  if (out == NULL && o.code != 0)
    print_error ("bjctl file %" PRId64 " exits with %d: %s\n", number, o.code, o.out->str);
  if (out == NULL)
    g_string_free (o.out, TRUE);
  g_free (text);
  return o.code;
}

static bool
file_next (void)
{
  last++;
  return file_ticket (last, last - 1, "next", NULL) == 0;
}

static bool
post_ticket (int64_t number, int64_t base)
{
  char *path = g_strdup_printf (ROOT "tickets/%" PRId64, number);
  char *ticket = make_ticket (number, base, "crashed");
  char *body = g_strdup_printf ("{\"metadata\":{},\"spec\":{\"writer\":\"crashed\",\"ticket\":%s}}",
                                ticket);
  bool posted = fleet_http ("POST", fleet.platform_port, path, NULL, body, NULL) == 201;

  g_free (body);
  g_free (ticket);
  g_free (path);
  return posted;
}

static void
restart_daemon (int i)
{
  fleet_end (&fleet.members[i].daemon, SIGKILL);
  fleet_start_daemon (&fleet, i);
}

static bool
first_tickets (void)
{
  return file_next () && file_next ();
}

static bool
two_operators_race (void)
{
  char *texts[2] = { make_ticket (last + 1, last, "aino"), make_ticket (last + 1, last, "kumar") };
  Operator o[2] = { { texts[0], g_string_new (NULL), -1 }, { texts[1], g_string_new (NULL), -1 } };
  GThread *t = g_thread_new ("operator", run_operator, &o[0]);
  int loser;
  bool told;

  run_operator (&o[1]);
  g_thread_join (t);
  last++;
  loser = o[0].code == 0 ? 1 : 0;
  told = strstr (o[loser].out->str, loser == 0 ? "kumar" : "aino") != NULL
         && fleet_number (o[loser].out->str, "code") == BJ_E_EXISTS;
  if (!told || o[0].code + o[1].code != 1)
    print_error ("%d %s\n%d %s\n", o[0].code, o[0].out->str, o[1].code, o[1].out->str);
  for (int i = 0; i < 2; i++)
    {
      g_string_free (o[i].out, TRUE);
      g_free (texts[i]);
    }
  return told && o[0].code + o[1].code == 1;
}

static bool
number_leaves_gap (void)
{
  GString *out = g_string_new (NULL);
  int code = file_ticket (last + 2, last, "gap", out);
  bool told = fleet_number (out->str, "code") == BJ_E_GAP;

  g_string_free (out, TRUE);
  return code == 1 && told;
}

static bool
wrong_base (void)
{
  GString *out = g_string_new (NULL);
  int code = file_ticket (last + 1, last - 1, "late", out);
  bool told = fleet_number (out->str, "code") == BJ_E_BASE;

  g_string_free (out, TRUE);
  return code == 1 && told;
}

static bool
answer_lost_on_create (void)
{
  control ("lose_answers?value=1&name=tickets/");
  return file_next ();
}

static bool
answer_lost_on_merge (void)
{
  control ("lose_answers?value=1&name=config/");
  return file_next ();
}

static bool
answers_lost_on_both (void)
{
  control ("lose_answers?value=2");
  return file_next ();
}

static bool
crash_before_merge (void)
{
  last++;
  return post_ticket (last, last - 1) && fleet_wait_ticket (&fleet, last, COMPLETE_MS);
}

static bool
refused_in_store (void)
{
  last++;
  return post_ticket (last, last - 3) && fleet_wait_ticket (&fleet, last, COMPLETE_MS)
         && file_next ();
}

static bool
store_down (void)
{
  GString *out = g_string_new (NULL);
  int code;
  bool told;

  control ("outage?value=1");
  code = file_ticket (last + 1, last, "outage", out);
  told = fleet_number (out->str, "code") == BJ_E_PLATFORM;
  control ("outage?value=0");
  g_string_free (out, TRUE);
  return code == 3 && told && file_next ();
}

static bool
started_in_outage (void)
{
  InForce f = { 2, last };
  BjTime begun;
  bool in_time;

  control ("outage?value=1");
  begun = bj_clock_now ();
  restart_daemon (2);
  in_time = fleet_until (has_ticket, &f, OUTAGE_START_MS);
  printf ("started in an outage: in force after %.0f ms\n", bj_clock_now () - begun);
  control ("outage?value=0");
  return in_time;
}

static bool
store_slow (void)
{
  bool filed;

  control ("delay_ms?value=800");
  filed = file_next ();
  control ("delay_ms?value=0");
  return filed;
}

static bool
store_restored (void)
{
  BjTime begun;
  bool back;

  control ("snapshot");
  if (!file_next () || !file_next ())
    return false;
  control ("restore");
  begun = bj_clock_now ();
  restart_daemon (1);
  back = fleet_until (store_has_last, NULL, COMPLETE_MS);
  printf ("store restored: written back after %.0f ms\n", bj_clock_now () - begun);
  return back && fleet_wait_ticket (&fleet, last, FILE_TIMEOUT_MS) && file_next ();
}

static bool
restored_while_filing (void)
{
  control ("snapshot");
  if (!file_next ())
    return false;
  control ("restore");
  return file_next ();
}

static bool
stale_reads (void)
{
  InForce f = { 3, last };
  bool in_force;

  control ("stale?value=1000");
  restart_daemon (3);
  in_force = fleet_until (has_ticket, &f, FILE_TIMEOUT_MS);
  control ("stale?value=0");
  return in_force && file_next ();
}

static bool
readers_killed (void)
{
  bool filed;

  fleet_end (&fleet.members[3].daemon, SIGKILL);
  fleet_end (&fleet.members[4].daemon, SIGKILL);
  last++;
  filed = file_ticket (last, last - 1, "killed", NULL) == 0;
  fleet_start_daemon (&fleet, 3);
  fleet_start_daemon (&fleet, 4);
  return filed && fleet_wait_ticket (&fleet, last, FILE_TIMEOUT_MS);
}

static bool
readers_paused (void)
{
  bool filed;

  kill (fleet.members[3].daemon, SIGSTOP);
  kill (fleet.members[4].daemon, SIGSTOP);
  last++;
  filed = file_ticket (last, last - 1, "paused", NULL) == 0;
  kill (fleet.members[3].daemon, SIGCONT);
  kill (fleet.members[4].daemon, SIGCONT);
  return filed && fleet_wait_ticket (&fleet, last, FILE_TIMEOUT_MS);
}

static bool
domain_cut_from_store (void)
{
  InForce f = { 4, 0 };
  BjTime begun;
  bool ok;

  fleet_fault (&fleet, "platform-b", "*", "cut", 0);
  ok = file_next ();
  f.number = last;
  begun = bj_clock_now ();
  restart_daemon (4);
  ok = ok && fleet_until (has_ticket, &f, OUTAGE_START_MS);
  printf ("started cut from the store: in force after %.0f ms\n", bj_clock_now () - begun);
  fleet_fault (&fleet, "platform-b", "*", "ok", 0);
  return ok;
}

static bool
domain_cut_off (void)
{
  InForce f = { 3, last };
  bool ok;

  fleet_fault (&fleet, "platform-b", "*", "cut", 0);
  fleet_cut (&fleet, "a", "b", "cut");
  fleet_cut (&fleet, "b", "a", "cut");
  restart_daemon (3);
  ok = fleet_until (has_ticket, &f, FILE_TIMEOUT_MS);
  ok = file_next () && ok;
  fleet_cut (&fleet, "a", "b", "ok");
  fleet_cut (&fleet, "b", "a", "ok");
  fleet_fault (&fleet, "platform-b", "*", "ok", 0);
  return fleet_wait_ticket (&fleet, last, COMPLETE_MS) && ok;
}

static bool
restored_while_cut (void)
{
  bool ok;

  control ("snapshot");
  ok = file_next ();
  fleet_fault (&fleet, "platform-a", "*", "cut", 0);
  fleet_fault (&fleet, "platform-b", "*", "cut", 0);
  control ("restore");
  restart_daemon (0);
  restart_daemon (5);
  fleet_fault (&fleet, "platform-a", "*", "ok", 0);
  ok = ok && fleet_until (store_has_last, NULL, COMPLETE_MS);
  fleet_fault (&fleet, "platform-b", "*", "ok", 0);
  return ok && fleet_wait_ticket (&fleet, last, FILE_TIMEOUT_MS);
}

static const Case cases[] = {
  { "first tickets", first_tickets },
  { "two operators race for a number", two_operators_race },
  { "number leaves a gap", number_leaves_gap },
  { "wrong base", wrong_base },
  { "answer lost on the create", answer_lost_on_create },
  { "answer lost on the merge", answer_lost_on_merge },
  { "answers lost on both", answers_lost_on_both },
  { "operator crashes before the merge", crash_before_merge },
  { "ticket refused in the store does not block the next", refused_in_store },
  { "store down", store_down },
  { "daemon started in an outage", started_in_outage },
  { "store slow", store_slow },
  { "store restored from an older copy", store_restored },
  { "store restored, next ticket at once", restored_while_filing },
  { "stale reads", stale_reads },
  { "readers killed", readers_killed },
  { "readers paused", readers_paused },
  { "domain cut from the store", domain_cut_from_store },
  { "domain cut from everything", domain_cut_off },
  { "store restored while all are cut from it", restored_while_cut },
};

static void
test_cases (void **state)
{
  GThread *poller;
  int n_failed = 0;

  (void)state;
  g_atomic_int_set (&polling, 1);
  poller = g_thread_new ("poller", poll_numbers, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      BjTime begun = bj_clock_now ();
      bool ok = cases[i].run ();

      printf ("%-55s %6.1f s  %s\n",
              cases[i].name,
              (bj_clock_now () - begun) / 1000,
              ok ? "ok" : "FAILED");
      n_failed += !ok;
    }
  g_atomic_int_set (&polling, 0);
  g_thread_join (poller);
  assert_string_equal (breach, "");
  assert_int_equal (n_failed, 0);
}

static int
start (void **state)
{
  static const char *const names[N_NODES][2] = { { "a1", "a" }, { "a2", "a" }, { "a3", "a" },
                                                 { "b1", "b" }, { "b2", "b" }, { "b3", "b" } };
  FleetNode nodes[N_NODES] = { 0 };

  (void)state;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  for (int i = 0; i < N_NODES; i++)
    {
      g_strlcpy (nodes[i].name, names[i][0], sizeof nodes[i].name);
      g_strlcpy (nodes[i].domain, names[i][1], sizeof nodes[i].domain);
      g_strlcpy (nodes[i].region, "north", sizeof nodes[i].region);
    }
  fleet_init (&fleet, nodes, N_NODES);
  fleet.use_fault = true;
  return fleet_start (&fleet) ? 0 : 1;
}

static int
stop (void **state)
{
  (void)state;
  fleet_stop (&fleet);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
  };

  setvbuf (stdout, NULL, _IOLBF, 0);
  return cmocka_run_group_tests (tests, start, stop);
}
