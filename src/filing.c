// Applies one ticket, and undecided tickets of other writers, to config/current. A state machine
// that returns the next store call and takes its result; it does no I/O.
//
// The object tickets/<n> is created once and never changed. The conditional update of
// config/current that raises its number to n decides ticket n; any daemon or tool may make that
// update.

#include "account.h"
#include "internal.h"

#define CURRENT_NAME "config/current"
#define TICKET_NAME "tickets/%" PRId64

typedef enum
{
  STEP_READ_CURRENT,
  STEP_READ_NEXT_TICKET,  // read the ticket after the last decided one
  STEP_READ_OWN_TICKET,   // read the object with the own ticket's number
  STEP_CREATE_OWN_TICKET, // create the object of the own ticket
  STEP_WRITE_NEXT_CONFIG, // write config/current with one more ticket decided
  STEP_WRITE_BACK,        // write the newer configuration that this daemon holds
  STEP_ENDED,
} Step;

struct BjFiling
{
  Step step;
  BjStr ticket;   // own ticket to file, empty for none
  int64_t number; // of that ticket, 0 for none
  BjStr writer;
  BjStr ticket_object;      // spec of the object to create for the own ticket
  BjStr stored_writer;      // writer id in the stored own ticket, empty before it is stored
  bool is_create_uncertain; // an unanswered create may still take effect
  BjStr in_force_config;    // configuration in force on this daemon, empty for none
  int64_t in_force_number;
  bool wrote_back;
  BjStr current; // config/current as last read or written, empty when absent
  BjStr version; // version of config/current, empty when absent
  int64_t current_number;
  GString *next_config; // configuration to write to config/current
  int tries_left;
  int n_failures;  // failed store calls so far, for the backoff
  double pause_ms; // pause before the next store call
  GRand *rand;
  BjStatus result;
  char *message;
};

static void on_current (BjFiling *f, const BjStoreReply *r);
static void on_next_ticket (BjFiling *f, const BjStoreReply *r);
static void on_own_ticket (BjFiling *f, const BjStoreReply *r);
static void on_created (BjFiling *f, const BjStoreReply *r);
static void on_written (BjFiling *f, const BjStoreReply *r);
static void set_current (BjFiling *f, BjStr spec, BjStr version);
static void choose_step (BjFiling *f);
static void check_own_ticket (BjFiling *f);
static void decide_next_ticket (BjFiling *f, BjStr ticket_object);
static void read_own_decision (BjFiling *f);
static void read_own_ticket (BjFiling *f, BjStr spec);
static void retry_from (BjFiling *f, Step step);
static void finish (BjFiling *f, BjStatus s);
static BjStr make_ticket_object (BjStr ticket, BjStr writer);
static int64_t read_number (BjStr text);

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
  f->in_force_config = bj_str_dup (o->in_force_config);
  f->in_force_number = read_number (o->in_force_config);
  f->tries_left = o->tries_max;
  f->next_config = g_string_new (NULL);
  f->rand = g_rand_new_with_seed (o->seed);
  if (number > 0)
    f->ticket_object = make_ticket_object (o->ticket, o->writer);
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
  bj_str_free (&f->ticket_object);
  bj_str_free (&f->stored_writer);
  bj_str_free (&f->in_force_config);
  bj_str_free (&f->current);
  bj_str_free (&f->version);
  g_string_free (f->next_config, TRUE);
  g_rand_free (f->rand);
  g_free (f->message);
  g_free (f);
}

bool
bj_filing_next (const BjFiling *f, BjStoreCall *c)
{
  bool is_update = f->version.len > 0;
  int64_t number = f->step == STEP_READ_NEXT_TICKET ? f->current_number + 1 : f->number;

  *c = (BjStoreCall){ .action = BJ_STORE_READ, .pause_ms = f->pause_ms };
  switch (f->step)
    {
    case STEP_READ_NEXT_TICKET:
    case STEP_READ_OWN_TICKET:
      g_snprintf (c->name, sizeof c->name, TICKET_NAME, number);
      return true;
    case STEP_CREATE_OWN_TICKET:
      g_snprintf (c->name, sizeof c->name, TICKET_NAME, number);
      c->action = BJ_STORE_CREATE;
      c->spec = f->ticket_object;
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
  c->spec = f->step == STEP_WRITE_BACK ? f->in_force_config
                                       : (BjStr){ f->next_config->str, f->next_config->len };
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
    case STEP_READ_NEXT_TICKET:
      on_next_ticket (f, r);
      break;
    case STEP_READ_OWN_TICKET:
      on_own_ticket (f, r);
      break;
    case STEP_CREATE_OWN_TICKET:
      on_created (f, r);
      break;
    case STEP_WRITE_NEXT_CONFIG:
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
  return f->stored_writer;
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
    set_current (f, r->spec, r->version);
  else if (r->code == BJ_E_NOT_FOUND)
    set_current (f, BJ_STR_NULL, BJ_STR_NULL);
  else
    {
      retry_from (f, STEP_READ_CURRENT);
      return;
    }
  choose_step (f);
}

static void
on_next_ticket (BjFiling *f, const BjStoreReply *r)
{
  if (r->code == BJ_OK)
    decide_next_ticket (f, r->spec);
  else if (r->code != BJ_E_NOT_FOUND)
    retry_from (f, STEP_READ_NEXT_TICKET);
  else if (f->number == 0)
    finish (f, BJ_OK);
  else if (f->stored_writer.len > 0)
    retry_from (f, STEP_READ_CURRENT);
  else
    finish (f,
            bj_fail (BJ_E_GAP,
                     "Ticket %" PRId64 " would leave a gap, the next number is %" PRId64 ".",
                     f->number,
                     f->current_number + 1));
}

static void
on_own_ticket (BjFiling *f, const BjStoreReply *r)
{
  if (r->code == BJ_OK)
    read_own_ticket (f, r->spec);
  else if (r->code != BJ_E_NOT_FOUND)
    retry_from (f, STEP_READ_OWN_TICKET);
  else if (f->current_number >= f->number)
    finish (f,
            bj_fail (BJ_E_EXISTS,
                     "Ticket %" PRId64 " is not above %" PRId64 ", the last one decided.",
                     f->number,
                     f->current_number));
  else
    retry_from (f, STEP_READ_CURRENT);
}

static void
on_created (BjFiling *f, const BjStoreReply *r)
{
  if (r->code == BJ_OK)
    {
      bj_str_set (&f->stored_writer, f->writer);
      decide_next_ticket (f, f->ticket_object);
    }
  else if (r->code == BJ_E_CONFLICT || r->code == BJ_E_EXISTS)
    f->step = STEP_READ_OWN_TICKET;
  else
    {
      f->is_create_uncertain = true;
      retry_from (f, STEP_READ_OWN_TICKET);
    }
}

static void
on_written (BjFiling *f, const BjStoreReply *r)
{
  bool is_write_back = f->step == STEP_WRITE_BACK;

  if (r->code != BJ_OK)
    {
      retry_from (f, STEP_READ_CURRENT);
      return;
    }
  f->wrote_back = f->wrote_back || is_write_back;
  set_current (f,
               is_write_back ? f->in_force_config
                             : (BjStr){ f->next_config->str, f->next_config->len },
               r->version);
  choose_step (f);
}

static void
set_current (BjFiling *f, BjStr spec, BjStr version)
{
  bj_str_set (&f->current, spec);
  bj_str_set (&f->version, version);
  f->current_number = read_number (spec);
}

static void
choose_step (BjFiling *f)
{
  if (f->in_force_number > f->current_number)
    f->step = STEP_WRITE_BACK;
  else if (f->number == 0 || f->current_number < f->number - 1)
    f->step = STEP_READ_NEXT_TICKET;
  else if (f->current_number >= f->number)
    read_own_decision (f);
  else if (f->stored_writer.len > 0)
    f->step = STEP_READ_NEXT_TICKET;
  else
    check_own_ticket (f);
}

static void
check_own_ticket (BjFiling *f)
{
  GString *merged = g_string_new (NULL);
  BjStatus s = bj_ticket_merge (f->current, f->ticket, merged);

  g_string_free (merged, TRUE);
  if (s == BJ_OK)
    f->step = STEP_CREATE_OWN_TICKET;
  else
    finish (f, s);
}

static void
decide_next_ticket (BjFiling *f, BjStr ticket_object)
{
  BjStatus s = bj_ticket_decide (f->current, f->current_number + 1, ticket_object, f->next_config);

  if (s == BJ_OK)
    f->step = STEP_WRITE_NEXT_CONFIG;
  else
    finish (f, s);
}

// Called when config/current has reached the own ticket's number: takes the result from its
// decisions.
static void
read_own_decision (BjFiling *f)
{
  struct json_object *config;
  struct json_object *d;
  BjStr writer;
  BjStatus s;

  if (f->stored_writer.len == 0)
    {
      f->step = STEP_READ_OWN_TICKET;
      return;
    }
  if (bj_config_read (f->current, &config) != BJ_OK)
    {
      finish (f, BJ_E_TICKET);
      return;
    }
  d = bj_ticket_find_decision (config, f->number);
  writer = bj_json_str (d, "writer");
  s = (BjStatus)bj_json_int (d, "code");
  if (d == NULL)
    s = bj_fail (BJ_E_PENDING,
                 "Ticket %" PRId64
                 " is filed, but its decision is no longer listed in config/current.",
                 f->number);
  else if (!bj_str_equal (writer, f->stored_writer))
    s = bj_fail (BJ_E_EXISTS,
                 "Ticket number %" PRId64
                 " was decided with another ticket, filed by %.*s, in a newer configuration that "
                 "was written back.",
                 f->number,
                 BJ_STR_ARG (writer));
  else if (s != BJ_OK)
    s = bj_fail (s, "%.*s", BJ_STR_ARG (bj_json_str (d, "reason")));
  json_object_put (config);
  finish (f, s);
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
      finish (f, BJ_E_TICKET);
      return;
    }
  bj_json_read ("ticket", f->ticket, BJ_E_TICKET, &own);
  writer = bj_json_str (o, "writer");
  ticket = json_object_object_get (o, "ticket");
  if (json_object_equal (ticket, own))
    {
      bj_str_set (&f->stored_writer, writer);
      f->step = STEP_READ_CURRENT;
    }
  else
    {
      f->is_create_uncertain = false;
      bj_accounts_hide_keys (ticket);
      finish (f,
              bj_fail (BJ_E_EXISTS,
                       "Ticket number %" PRId64
                       " is taken by another ticket, filed by %.*s, author \"%.*s\": %.300s",
                       f->number,
                       BJ_STR_ARG (writer),
                       BJ_STR_ARG (bj_json_str (ticket, "author")),
                       json_object_to_json_string_ext (ticket, JSON_C_TO_STRING_PLAIN)));
    }
  json_object_put (own);
  json_object_put (o);
}

static void
retry_from (BjFiling *f, Step step)
{
  double max_pause_ms;

  f->step = step;
  if (f->tries_left-- <= 0)
    {
      finish (f,
              bj_fail (BJ_E_PLATFORM,
                       "Gave up: the platform did not answer, or other writers kept "
                       "changing the objects."));
      return;
    }
  max_pause_ms = MIN (BJ_FILING_PAUSE_MAX_MS,
                      BJ_FILING_PAUSE_MIN_MS * (double)(1 << MIN (f->n_failures, 16)));
  f->n_failures++;
  f->pause_ms = g_rand_double_range (f->rand, max_pause_ms / 2, max_pause_ms);
}

static void
finish (BjFiling *f, BjStatus s)
{
  bool may_be_filed = f->is_create_uncertain && f->stored_writer.len == 0;

  f->step = STEP_ENDED;
  if (s == BJ_OK || (!may_be_filed && (f->stored_writer.len == 0 || s != BJ_E_PLATFORM)))
    {
      f->result = s;
      f->message = g_strdup (s != BJ_OK ? bj_last_message () : "");
      return;
    }
  f->result = BJ_E_PENDING;
  f->message = g_strdup_printf ("Ticket %" PRId64 " %s filed and not decided yet: %s",
                                f->number,
                                may_be_filed ? "may be" : "is",
                                bj_last_message ());
}

static BjStr
make_ticket_object (BjStr ticket, BjStr writer)
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
read_number (BjStr text)
{
  struct json_object *o;
  int64_t number;

  if (text.len == 0 || bj_config_read (text, &o) != BJ_OK)
    return 0;
  number = bj_json_int (o, "number");
  json_object_put (o);
  return number;
}
