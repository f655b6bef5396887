// Filing: brings one ticket, or what others left undone, into config/current. A state machine that
// asks for one store call at a time and is told what became of it.
//
// The object tickets/<n> is created once and never changed. The conditional update of
// config/current that raises its number to n decides ticket n; whoever gets there first does it.

#include "internal.h"

#define CURRENT_NAME "config/current"
#define TICKET_NAME "tickets/%" PRId64

typedef enum
{
  STEP_READ_CURRENT,
  STEP_READ_NEXT,  // the ticket after the last one decided
  STEP_READ_OWN,   // what stands under the own ticket's number
  STEP_CREATE_OWN, // the ticket to file
  STEP_WRITE_NEXT, // config/current with one more ticket decided
  STEP_WRITE_BACK, // the newer configuration held here
  STEP_ENDED,
} Step;

struct BjFiling
{
  Step step;
  BjStr ticket;   // to file, empty for none
  int64_t number; // of that ticket, 0 for none
  BjStr writer;
  BjStr filed;           // the object to create
  BjStr accepted_as;     // writer under whose id the ticket stands in the store, empty before
  bool create_uncertain; // a create may still take effect
  BjStr held;
  int64_t held_number;
  bool wrote_back;
  BjStr current; // config/current as last seen, empty when absent
  BjStr version; // of it, empty when absent
  int64_t current_number;
  GString *next; // to be written
  int tries_left;
  int n_failed;
  double pause_ms; // before the next call
  GRand *rand;
  BjStatus result;
  char *message;
};

static void on_current (BjFiling *f, const BjStoreReply *r);
static void on_next (BjFiling *f, const BjStoreReply *r);
static void on_own (BjFiling *f, const BjStoreReply *r);
static void on_created (BjFiling *f, const BjStoreReply *r);
static void on_written (BjFiling *f, const BjStoreReply *r);
static void see_current (BjFiling *f, BjStr spec, BjStr version);
static void go_on (BjFiling *f);
static void check_own (BjFiling *f);
static void decide (BjFiling *f, BjStr filed);
static void conclude (BjFiling *f);
static void read_own_ticket (BjFiling *f, BjStr spec);
static void try_again (BjFiling *f, Step step);
static void end (BjFiling *f, BjStatus s);
static BjStr make_filed (BjStr ticket, BjStr writer);
static int64_t number_in (BjStr text);

BjStatus
bj_filing_new (const BjFilingOptions *o, BjFiling **filing)
{
  BjFiling *f;
  int64_t number = 0;
  BjStatus s = o->ticket.len > 0 ? bj_ticket_check (o->ticket, &number) : BJ_OK;

  *filing = NULL;
  if (s != BJ_OK)
    return s;
  f = g_new0 (BjFiling, 1);
  f->number = number;
  f->ticket = bj_str_dup (o->ticket);
  f->writer = bj_str_dup (o->writer);
  f->held = bj_str_dup (o->held);
  f->held_number = number_in (o->held);
  f->tries_left = o->tries;
  f->next = g_string_new (NULL);
  f->rand = g_rand_new_with_seed (o->seed);
  if (number > 0)
    f->filed = make_filed (o->ticket, o->writer);
  *filing = f;
  return BJ_OK;
}

void
bj_filing_free (BjFiling *f)
{
  if (f == NULL)
    return;
  bj_str_free (&f->ticket);
  bj_str_free (&f->writer);
  bj_str_free (&f->filed);
  bj_str_free (&f->accepted_as);
  bj_str_free (&f->held);
  bj_str_free (&f->current);
  bj_str_free (&f->version);
  g_string_free (f->next, TRUE);
  g_rand_free (f->rand);
  g_free (f->message);
  g_free (f);
}

bool
bj_filing_next (const BjFiling *f, BjStoreCall *c)
{
  bool is_update = f->version.len > 0;
  int64_t number = f->step == STEP_READ_NEXT ? f->current_number + 1 : f->number;

  *c = (BjStoreCall){ .action = BJ_STORE_READ, .pause_ms = f->pause_ms };
  switch (f->step)
    {
    case STEP_READ_NEXT:
    case STEP_READ_OWN:
      g_snprintf (c->name, sizeof c->name, TICKET_NAME, number);
      return true;
    case STEP_CREATE_OWN:
      g_snprintf (c->name, sizeof c->name, TICKET_NAME, number);
      c->action = BJ_STORE_CREATE;
      c->spec = f->filed;
      return true;
    case STEP_ENDED:
      return false;
    default:
      g_strlcpy (c->name, CURRENT_NAME, sizeof c->name);
    }
  if (f->step == STEP_READ_CURRENT)
    return true;
  c->action = is_update ? BJ_STORE_UPDATE : BJ_STORE_CREATE;
  c->version = f->version;
  c->spec = f->step == STEP_WRITE_BACK ? f->held : (BjStr){ f->next->str, f->next->len };
  return true;
}

void
bj_filing_reply (BjFiling *f, const BjStoreReply *r)
{
  f->pause_ms = 0;
  switch (f->step)
    {
    case STEP_READ_CURRENT:
      on_current (f, r);
      break;
    case STEP_READ_NEXT:
      on_next (f, r);
      break;
    case STEP_READ_OWN:
      on_own (f, r);
      break;
    case STEP_CREATE_OWN:
      on_created (f, r);
      break;
    case STEP_WRITE_NEXT:
    case STEP_WRITE_BACK:
      on_written (f, r);
      break;
    case STEP_ENDED:
      break;
    }
}

BjStatus
bj_filing_result (const BjFiling *f)
{
  return f->result;
}

const char *
bj_filing_message (const BjFiling *f)
{
  return f->message != NULL ? f->message : "";
}

BjStr
bj_filing_current (const BjFiling *f, BjStr *version)
{
  *version = f->version;
  return f->current;
}

BjStr
bj_filing_writer (const BjFiling *f)
{
  return f->accepted_as;
}

bool
bj_filing_wrote_back (const BjFiling *f)
{
  return f->wrote_back;
}

static void
on_current (BjFiling *f, const BjStoreReply *r)
{
  if (r->code == BJ_OK)
    see_current (f, r->spec, r->version);
  else if (r->code == BJ_E_NOT_FOUND)
    see_current (f, BJ_STR_NULL, BJ_STR_NULL);
  else
    {
      try_again (f, STEP_READ_CURRENT);
      return;
    }
  go_on (f);
}

static void
on_next (BjFiling *f, const BjStoreReply *r)
{
  if (r->code == BJ_OK)
    decide (f, r->spec);
  else if (r->code != BJ_E_NOT_FOUND)
    try_again (f, STEP_READ_NEXT);
  else if (f->number == 0)
    end (f, BJ_OK);
  else if (f->accepted_as.len > 0)
    try_again (f, STEP_READ_CURRENT);
  else
    end (f,
         bj_fail (BJ_E_GAP,
                  "Ticket %" PRId64 " would leave a gap, the next number is %" PRId64 ".",
                  f->number,
                  f->current_number + 1));
}

static void
on_own (BjFiling *f, const BjStoreReply *r)
{
  if (r->code == BJ_OK)
    read_own_ticket (f, r->spec);
  else if (r->code != BJ_E_NOT_FOUND)
    try_again (f, STEP_READ_OWN);
  else if (f->current_number >= f->number)
    end (f,
         bj_fail (BJ_E_EXISTS,
                  "Ticket %" PRId64 " is not above %" PRId64 ", the last one decided.",
                  f->number,
                  f->current_number));
  else
    try_again (f, STEP_READ_CURRENT);
}

static void
on_created (BjFiling *f, const BjStoreReply *r)
{
  if (r->code == BJ_OK)
    {
      bj_str_set (&f->accepted_as, f->writer);
      decide (f, f->filed);
    }
  else if (r->code == BJ_E_CONFLICT || r->code == BJ_E_EXISTS)
    f->step = STEP_READ_OWN;
  else
    {
      f->create_uncertain = true;
      try_again (f, STEP_READ_OWN);
    }
}

static void
on_written (BjFiling *f, const BjStoreReply *r)
{
  bool is_back = f->step == STEP_WRITE_BACK;

  if (r->code != BJ_OK)
    {
      try_again (f, STEP_READ_CURRENT);
      return;
    }
  f->wrote_back = f->wrote_back || is_back;
  see_current (f, is_back ? f->held : (BjStr){ f->next->str, f->next->len }, r->version);
  go_on (f);
}

static void
see_current (BjFiling *f, BjStr spec, BjStr version)
{
  bj_str_set (&f->current, spec);
  bj_str_set (&f->version, version);
  f->current_number = number_in (spec);
}

static void
go_on (BjFiling *f)
{
  if (f->held_number > f->current_number)
    f->step = STEP_WRITE_BACK;
  else if (f->number == 0 || f->current_number < f->number - 1)
    f->step = STEP_READ_NEXT;
  else if (f->current_number >= f->number)
    conclude (f);
  else if (f->accepted_as.len > 0)
    f->step = STEP_READ_NEXT;
  else
    check_own (f);
}

static void
check_own (BjFiling *f)
{
  GString *merged = g_string_new (NULL);
  BjStatus s = bj_ticket_merge (f->current, f->ticket, merged);

  g_string_free (merged, TRUE);
  if (s == BJ_OK)
    f->step = STEP_CREATE_OWN;
  else
    end (f, s);
}

static void
decide (BjFiling *f, BjStr filed)
{
  BjStatus s = bj_ticket_decide (f->current, f->current_number + 1, filed, f->next);

  if (s == BJ_OK)
    f->step = STEP_WRITE_NEXT;
  else
    end (f, s);
}

// config/current has decided the own ticket's number.
static void
conclude (BjFiling *f)
{
  struct json_object *config;
  struct json_object *d;
  BjStr writer;
  BjStatus s;

  if (f->accepted_as.len == 0)
    {
      f->step = STEP_READ_OWN;
      return;
    }
  if (bj_json_read ("configuration", f->current, BJ_E_TICKET, &config) != BJ_OK)
    {
      end (f, BJ_E_TICKET);
      return;
    }
  d = bj_ticket_decision (config, f->number);
  writer = bj_json_str (d, "writer");
  s = (BjStatus)bj_json_int (d, "code");
  if (d == NULL)
    s = bj_fail (
        BJ_E_PENDING, "Ticket %" PRId64 " is filed; its decision is no longer listed.", f->number);
  else if (!bj_str_equal (writer, f->accepted_as))
    s = bj_fail (BJ_E_EXISTS,
                 "Ticket %" PRId64
                 " was decided as that of %.*s, by a newer configuration that was "
                 "written back.",
                 f->number,
                 BJ_STR_ARG (writer));
  else if (s != BJ_OK)
    s = bj_fail (s, "%.*s", BJ_STR_ARG (bj_json_str (d, "reason")));
  json_object_put (config);
  end (f, s);
}

static void
read_own_ticket (BjFiling *f, BjStr spec)
{
  struct json_object *o;
  struct json_object *own;
  struct json_object *ticket;
  BjStr writer;

  if (bj_json_read ("filed ticket", spec, BJ_E_TICKET, &o) != BJ_OK)
    {
      end (f, BJ_E_TICKET);
      return;
    }
  bj_json_read ("ticket", f->ticket, BJ_E_TICKET, &own);
  writer = bj_json_str (o, "writer");
  ticket = json_object_object_get (o, "ticket");
  if (json_object_equal (ticket, own))
    {
      bj_str_set (&f->accepted_as, writer);
      f->step = STEP_READ_CURRENT;
    }
  else
    {
      f->create_uncertain = false;
      end (f,
           bj_fail (BJ_E_EXISTS,
                    "Ticket %" PRId64 " was filed by %.*s, author \"%.*s\": %.300s",
                    f->number,
                    BJ_STR_ARG (writer),
                    BJ_STR_ARG (bj_json_str (ticket, "author")),
                    json_object_to_json_string_ext (ticket, JSON_C_TO_STRING_PLAIN)));
    }
  json_object_put (own);
  json_object_put (o);
}

static void
try_again (BjFiling *f, Step step)
{
  double ceiling_ms;

  f->step = step;
  if (f->tries_left-- <= 0)
    {
      end (f, bj_fail (BJ_E_PLATFORM, "The platform did not answer, or others kept winning."));
      return;
    }
  ceiling_ms
      = MIN (BJ_FILING_PAUSE_MAX_MS, BJ_FILING_PAUSE_MIN_MS * (double)(1 << MIN (f->n_failed, 16)));
  f->n_failed++;
  f->pause_ms = g_rand_double_range (f->rand, ceiling_ms / 2, ceiling_ms);
}

static void
end (BjFiling *f, BjStatus s)
{
  bool may_stand = f->create_uncertain && f->accepted_as.len == 0;

  f->step = STEP_ENDED;
  if (s == BJ_OK || (!may_stand && (f->accepted_as.len == 0 || s != BJ_E_PLATFORM)))
    {
      f->result = s;
      f->message = g_strdup (s != BJ_OK ? bj_last_message () : "");
      return;
    }
  f->result = BJ_E_PENDING;
  f->message = g_strdup_printf ("Ticket %" PRId64 " %s filed and not decided yet: %s",
                                f->number,
                                may_stand ? "may be" : "is",
                                bj_last_message ());
}

static BjStr
make_filed (BjStr ticket, BjStr writer)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *t;
  BjStr text;

  bj_json_read ("ticket", ticket, BJ_E_TICKET, &t);
  json_object_object_add (o, "writer", json_object_new_string_len (writer.data, (int)writer.len));
  json_object_object_add (o, "ticket", t);
  text = bj_str_dup (bj_str (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN)));
  json_object_put (o);
  return text;
}

static int64_t
number_in (BjStr text)
{
  struct json_object *o;
  int64_t number;

  if (text.len == 0 || bj_json_read ("configuration", text, BJ_E_TICKET, &o) != BJ_OK)
    return 0;
  number = bj_json_int (o, "number");
  json_object_put (o);
  return number;
}
