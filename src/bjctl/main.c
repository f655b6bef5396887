// bjctl: command line tool for operators. Files tickets and shows what is in force.

#include "bjctl.h"
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  const char *name;
  const char *argument; // NULL for none
  const char *help;
  int (*run) (const CtlOptions *o);
} Command;

static const Command commands[] = {
  { "file", "FILE", "file a ticket and merge it into the configuration", ctl_file_ticket },
  { "check", "FILE", "check a ticket without filing it", ctl_check_ticket },
  { "show", NULL, "print the configuration in the platform's store", ctl_show_config },
  { "in-force",
    NULL,
    "print the ticket in force in each domain and the daemons that lag",
    ctl_show_in_force },
  { "status", NULL, "print the daemons that the daemon at --admin knows", ctl_show_status },
  { "accounts",
    NULL,
    "print the client accounts at the daemon at --admin, without their keys",
    ctl_show_accounts },
  { "drain", "UPSTREAM", "file a ticket that drains an upstream", ctl_drain_upstream },
  { "explain",
    "KEY",
    "print the recent decisions of the daemon at --admin about an action",
    ctl_explain_action },
};

static int run_command (const char *name, const CtlOptions *o);
static void print_help (void **table);
static const Command *find_command (const char *name);

int
main (int argc, char **argv)
{
  struct arg_str *platform
      = arg_str0 (NULL, "platform", "URL", "address of the platform's object store");
  struct arg_str *admin = arg_str0 (NULL, "admin", "IP:PORT", "admin address of any daemon");
  struct arg_dbl *wait = arg_dbl0 (
      NULL,
      "wait",
      "SECONDS",
      "file, drain: wait up to SECONDS until the ticket is in force at every daemon; needs "
      "--admin");
  struct arg_lit *force = arg_lit0 (NULL, "force", "file, check: use the base given with --base");
  struct arg_int *base
      = arg_int0 (NULL,
                  "base",
                  "NUMBER",
                  "file, check: base number to use in place of the ticket's; needs --force");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version and exit");
  struct arg_str *words
      = arg_strn (NULL, NULL, "COMMAND [ARGUMENT]", 0, 2, "one of the commands above");
  struct arg_end *end = arg_end (4);
  void *table[] = { platform, admin, wait, force, base, json, help, version, words, end };
  int n_errors = arg_parse (argc, argv, table);
  CtlOptions o = { 0 };
  int code = 0;

  o.platform = platform->count > 0 ? platform->sval[0] : NULL;
  o.admin = admin->count > 0 ? admin->sval[0] : NULL;
  o.wait_ms = wait->count > 0 ? wait->dval[0] * 1000 : 0;
  o.force = force->count > 0;
  o.base = base->count > 0 ? base->ival[0] : -1;
  o.json = json->count > 0;
  o.argument = words->count > 1 ? words->sval[1] : NULL;
  if (help->count > 0)
    print_help (table);
  else if (version->count > 0)
    printf ("bjctl %s\n", BJ_VERSION);
  else if (n_errors > 0)
    {
      arg_print_errors (stderr, end, "bjctl");
      code = CTL_USAGE;
    }
  else
    code = run_command (words->count > 0 ? words->sval[0] : "", &o);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static int
run_command (const char *name, const CtlOptions *o)
{
  const Command *c = find_command (name);

  if (c == NULL || (c->argument != NULL) != (o->argument != NULL))
    {
      fprintf (stderr,
               "bjctl: \"%s\" is not a command, or its argument is missing or not allowed; see "
               "bjctl --help.\n",
               name);
      return CTL_USAGE;
    }
  if (o->force != (o->base >= 0) || (o->wait_ms > 0 && o->admin == NULL))
    {
      fprintf (stderr,
               "bjctl: --force and --base must be given together, and --wait needs --admin.\n");
      return CTL_USAGE;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  return c->run (o);
}

static void
print_help (void **table)
{
  printf ("Usage: bjctl");
  arg_print_syntax (stdout, table, "\n");
  printf ("Files tickets and reads back what is in force.\n\nCommands:\n");
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    printf ("  %-9s %-9s %s\n",
            commands[i].name,
            commands[i].argument != NULL ? commands[i].argument : "",
            commands[i].help);
  printf ("\nOptions:\n");
  arg_print_glossary (stdout, table, "  %-26s %s\n");
}

static const Command *
find_command (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}
