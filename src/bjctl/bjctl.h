// What the parts of bjctl share.

#pragma once

#include "internal.h"

typedef struct
{
  const char *platform; // URL, NULL when not given
  const char *admin;    // IP:PORT, NULL when not given
  const char *argument; // of the command, NULL when it has none
  double wait_ms;       // for a ticket to come into force, 0 for not at all
  int base;             // in place of the ticket's own, -1 for none
  bool force;
  bool json;
} CtlOptions;

// Exit codes, the same for every command
enum
{
  CTL_OK = 0,
  CTL_REFUSED = 1,   // the ticket is not accepted
  CTL_USAGE = 2,     // the command line is wrong
  CTL_NO_ANSWER = 3, // the platform or the daemon does not answer; nothing was filed
  CTL_PENDING = 4,   // the ticket is or may be filed and is not decided yet
  CTL_LAGS = 5,      // a daemon has not the newest ticket in force
};

int ctl_file (const CtlOptions *o);
int ctl_check (const CtlOptions *o);
int ctl_show (const CtlOptions *o);
int ctl_in_force (const CtlOptions *o);
int ctl_status (const CtlOptions *o);
int ctl_drain (const CtlOptions *o);
int ctl_explain (const CtlOptions *o);

int ctl_ask (const char *method,
             const char *url,
             BjStr body,
             GString *out); // HTTP status, 0 when there is no answer
int ctl_ask_admin (const CtlOptions *o,
                   const char *path,
                   GString *out); // Exit code; says on stderr why there is no answer
BjStatus ctl_store_read (const CtlOptions *o,
                         const char *name,
                         GString *spec); // BJ_E_NOT_FOUND, BJ_E_PLATFORM
BjStatus ctl_run_filing (const CtlOptions *o,
                         BjFiling *f,
                         GString *writer); // Result of f, run to its end; its writer if it stands
int ctl_fail (const CtlOptions *o, BjStatus s, const char *format, ...)
    G_GNUC_PRINTF (3, 4); // Prints code and sentence, returns the exit code
int ctl_wait_in_force (const CtlOptions *o,
                       int64_t number); // Until every daemon known to the admin has it
