// Quarantine: which requests are suspected, cleared or quarantined after upstream crashes and after
// notices from peers.

#include "kernel.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define LATER_MS 1000 // longer than the window in which lost calls belong to one crash

// Events of the requests a, b and c: "+a" starts, "-a" ends with a response, "xa" is lost in a
// crash of its upstream, "wa" may not start now, "qa" is refused as quarantined, "." lets LATER_MS
// pass; "sa", "Qa" and "ca" are notices of a peer: suspected, quarantined, cleared.
typedef struct
{
  const char *name;
  const char *events;
  const char *suspects;    // expected at the end
  const char *quarantined; // expected at the end
} Case;

static const Case cases[] = {
  { "no crash", "+a+b-a-b", "", "" },
  { "one crash makes a suspect", "+axa", "a", "" },
  { "one crash makes all running requests suspects", "+a+b+cxaxbxc", "abc", "" },
  { "two crashes quarantine", "+axa.+axa.qa", "", "a" },
  { "two crashes quarantine, upstream restarted at once", "+axa+axaqa", "", "a" },
  { "two calls lost in one crash are not quarantined", "+a+bxaxb", "ab", "" },
  { "a run with a response clears the suspect", "+a+bxaxb.+b-b", "a", "" },
  { "suspects run one at a time", "+a+bxaxb.+awb-a+b-b", "", "" },
  { "requests that run beside a crashing suspect are not suspected", "+axa.+a+cxaxc", "", "a" },
  { "requests lost before the crashing suspect are not suspected", "+axa.+a+cxcxa", "", "a" },
  { "a suspect reported by a peer is quarantined by a crash here", "sa+axa", "", "a" },
  { "a quarantine reported by a peer applies", "Qaqa", "", "a" },
  { "a peer's clear notice does not end a quarantine", "Qaca", "", "a" },
  { "a peer's clear notice clears a suspect", "saca", "", "" },
  { "a peer's suspect notice does not lift a quarantine", "Qasa", "", "a" },
};

static BjTime started[128]; // by the letter of the request

static uint64_t
fingerprint (char letter)
{
  return (uint64_t)letter;
}

static void
apply_event (BjQuarantine *q, BjTime *now, char event, char letter)
{
  uint64_t f = fingerprint (letter);
  BjNotice n = { f, BJ_CLEAR, 60000 };

  *now += 1;
  if (event == '+')
    {
      started[(int)letter] = *now;
      assert_int_equal (bj_quarantine_start_run (q, *now, f), BJ_OK);
    }
  else if (event == 'w')
    assert_int_equal (bj_quarantine_start_run (q, *now, f), BJ_E_OVERLOAD);
  else if (event == 'q')
    assert_int_equal (bj_quarantine_start_run (q, *now, f), BJ_E_QUARANTINED);
  else if (event == '-')
    bj_quarantine_end_run (q, *now, f, true);
  else if (event == 'x')
    {
      bj_quarantine_record_crash (q, *now, f, started[(int)letter]);
      bj_quarantine_end_run (q, *now, f, false);
    }
  else
    {
      n.state = event == 's' ? BJ_SUSPECT : event == 'Q' ? BJ_QUARANTINED : BJ_CLEAR;
      bj_quarantine_merge (q, *now, &n);
    }
}

static void
test_events (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      BjQuarantine *q = bj_quarantine_new ();
      BjTime now = 0;

      print_message ("  %s\n", c->name);
      for (const char *e = c->events; *e != '\0'; e += *e == '.' ? 1 : 2)
        if (*e == '.')
          now += LATER_MS;
        else
          apply_event (q, &now, e[0], e[1]);
      for (int l = 'a'; l <= 'c'; l++)
        {
          BjSuspicion expected = strchr (c->quarantined, l) != NULL ? BJ_QUARANTINED
                                 : strchr (c->suspects, l) != NULL  ? BJ_SUSPECT
                                                                    : BJ_CLEAR;

          assert_int_equal (bj_quarantine_state (q, now, fingerprint ((char)l)), expected);
        }
      bj_quarantine_free (q);
    }
}

static void
test_suspect_expires (void **state)
{
  BjQuarantine *q = bj_quarantine_new ();
  BjTime now = 0;

  (void)state;
  apply_event (q, &now, 's', 'a');
  now = 60000;
  assert_int_equal (bj_quarantine_state (q, now, fingerprint ('a')), BJ_SUSPECT);
  now = 60001;
  assert_int_equal (bj_quarantine_state (q, now, fingerprint ('a')), BJ_CLEAR);
  bj_quarantine_free (q);
}

static void
test_entries_bounded (void **state)
{
  BjQuarantine *q = bj_quarantine_new ();
  GArray *all = g_array_new (FALSE, FALSE, sizeof (BjNotice));

  (void)state;
  for (int i = 1; i <= 2 * BJ_QUARANTINE_ENTRIES_MAX; i++)
    {
      BjNotice n = { (uint64_t)i, BJ_SUSPECT, 1000 + i };

      bj_quarantine_merge (q, 0, &n);
    }
  bj_quarantine_list_notices (q, 0, all);
  assert_int_equal (all->len, BJ_QUARANTINE_ENTRIES_MAX);
  assert_int_equal (bj_quarantine_state (q, 0, 1), BJ_CLEAR);
  assert_int_equal (bj_quarantine_state (q, 0, 2 * BJ_QUARANTINE_ENTRIES_MAX), BJ_SUSPECT);
  g_array_free (all, TRUE);
  bj_quarantine_free (q);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_events),
    cmocka_unit_test (test_suspect_expires),
    cmocka_unit_test (test_entries_bounded),
  };

  bj_log_open (BJ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
