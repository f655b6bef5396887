// Real daemons whose readers the store rejects while it serves the others: each ticket of a
// series is in force everywhere in time, also beside a restart of the daemons that took over.

#include "fleet.h"
#include <curl/curl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define NODES 8
#define DOMAINS 2
#define APPLY_MS 2500 // from the acknowledgement of a ticket until all daemons have it in force
#define TICKETS 4     // of a series
#define SETTLE_MS 10000

// As in bj-platform.
typedef enum
{
  SERVED,
  BUSY,
  LIMITED,
  CLOSED,
  UNANSWERED,
} Treatment;

typedef struct
{
  const char *name;
  Treatment treatment;
  int n_rejected;    // of each domain, by rank
  bool is_in_turn;   // the daemons next in rank are rejected after each ticket
  bool is_restarted; // so is one of them
} ReaderCase;

static const ReaderCase cases[] = {
  { "503", BUSY, BJ_READERS_PER_DOMAIN, false, false },
  { "429", LIMITED, BJ_READERS_PER_DOMAIN, false, false },
  { "closed connections", CLOSED, BJ_READERS_PER_DOMAIN, false, false },
  { "no response", UNANSWERED, BJ_READERS_PER_DOMAIN, false, false },
  { "503 in turn, restarts", BUSY, BJ_READERS_PER_DOMAIN, true, true },
  { "no response in turn", UNANSWERED, BJ_READERS_PER_DOMAIN, true, false },
};

static Fleet fleet;
static int by_rank[NODES]; // members of each domain in a row, the highest rank first

static uint64_t
rank_of (int i)
{
  const FleetNode *n = &fleet.members[i].node;

  return bj_reader_rank (bj_str (n->name), bj_str (n->domain));
}

static void
sort_by_rank (void)
{
  for (int i = 0; i < NODES; i++)
    {
      int domain = i / (NODES / DOMAINS);
      int at = domain * (NODES / DOMAINS);

      for (int j = domain * (NODES / DOMAINS); j < (domain + 1) * (NODES / DOMAINS); j++)
        at += rank_of (j) > rank_of (i);
      by_rank[at] = i;
    }
}

static void
treat (int i, Treatment t)
{
  char path[128];

  g_snprintf (path, sizeof path, "/control/reject?value=%d&name=%s", t, fleet.members[i].node.name);
  assert_int_equal (fleet_http ("POST", fleet.platform_port, path, NULL, "", NULL), 200);
}

static bool
file_ticket (int64_t number)
{
  char *text
      = g_strdup_printf ("{\"number\":%" G_GINT64_FORMAT ",\"base\":%" G_GINT64_FORMAT
                         ",\"priorities\":[\"lookup\"],\"services\":{\"orders\":{\"routes\":["
                         "{\"prefix\":\"/orders/\",\"class\":\"lookup\"}]}}}",
                         number,
                         number - 1);
  bool ok = fleet_file_ticket (&fleet, text);

  g_free (text);
  return ok;
}

static void
run_case (const ReaderCase *c, int64_t *number)
{
  int per_domain = NODES / DOMAINS;

  for (int t = 0; t < TICKETS; t++)
    {
      int first = c->is_in_turn ? t % 2 * c->n_rejected : 0;
      BjTime began;

      for (int i = 0; i < NODES; i++)
        treat (by_rank[i],
               i % per_domain >= first && i % per_domain < first + c->n_rejected ? c->treatment
                                                                                 : SERVED);
      if (c->is_restarted)
        {
          fleet_end_process (&fleet.members[by_rank[per_domain - 1]].daemon, SIGKILL);
          fleet_start_daemon (&fleet, by_rank[per_domain - 1]);
        }
      assert_true (file_ticket (++*number));
      began = bj_clock_now ();
      if (!fleet_wait_ticket (&fleet, *number, APPLY_MS))
        fail_msg (
            "%s: ticket %d of the series is not in force after %d ms", c->name, t + 1, APPLY_MS);
      print_message ("  %s: %.0f ms\n", c->name, bj_clock_now () - began);
    }
  for (int i = 0; i < NODES; i++)
    treat (i, SERVED);
}

static void
test_tickets_while_readers_are_rejected (void **state)
{
  FleetNode nodes[NODES] = { 0 };
  int64_t number = 0;

  (void)state;
  for (int i = 0; i < NODES; i++)
    {
      g_snprintf (nodes[i].name, sizeof nodes[i].name, "n%d-orders", i);
      g_snprintf (nodes[i].domain, sizeof nodes[i].domain, "d%d", i * DOMAINS / NODES);
      g_strlcpy (nodes[i].region, "north", sizeof nodes[i].region);
      g_strlcpy (nodes[i].service, "orders", sizeof nodes[i].service);
      nodes[i].slots = 32;
      nodes[i].service_ms = 5;
    }
  fleet_init (&fleet, nodes, NODES);
  sort_by_rank ();
  assert_true (fleet_start (&fleet));
  assert_true (file_ticket (++number));
  assert_true (fleet_wait_ticket (&fleet, number, SETTLE_MS));
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    run_case (&cases[i], &number);
  fleet_stop (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_tickets_while_readers_are_rejected) };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
