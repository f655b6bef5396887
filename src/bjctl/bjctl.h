// Declarations shared by the files of bjctl.

#pragma once

#include "internal.h"

typedef struct
{
  const char *platform; // URL of the platform's store, NULL when not given
  const char *admin;    // IP:PORT of a daemon, NULL when not given
  const char *argument; // file, upstream or key; NULL when the command takes none
  double wait_ms;       // longest wait until a ticket is in force, 0 for no wait
  int base;             // replaces the base number in the ticket, -1 to keep it
  bool force;
  bool json;
} CtlOptions;

// Exit codes, the same for every command
enum
{
  CTL_OK = 0,
  CTL_REFUSED = 1,   // the ticket was rejected, or the request failed for another reason
  CTL_USAGE = 2,     // invalid command line
  CTL_NO_ANSWER = 3, // no response from the platform or the daemon; nothing was filed
  CTL_PENDING = 4,   // the ticket was, or may have been, filed and is not decided yet
  CTL_LAGGING = 5,   // a daemon does not have the newest ticket in force
};

int ctl_file_ticket (const CtlOptions *o);
int ctl_check_ticket (const CtlOptions *o);
int ctl_show_config (const CtlOptions *o);
int ctl_show_in_force (const CtlOptions *o);
int ctl_show_status (const CtlOptions *o);
int ctl_show_accounts (const CtlOptions *o);
int ctl_drain_upstream (const CtlOptions *o);
int ctl_explain_action (const CtlOptions *o);

int ctl_send_request (const char *method,
                      const char *url,
                      BjStr body,
                      GString *out); // Returns the HTTP status, 0 without a response
int ctl_get_from_admin (const CtlOptions *o,
                        const char *path,
                        GString *out); // Returns an exit code; reports an error itself
BjStatus
ctl_read_object (const CtlOptions *o,
                 const char *name,
                 GString *spec); // spec: set to its JSON text; BJ_E_NOT_FOUND, BJ_E_PLATFORM
BjStatus ctl_run_filing (
    const CtlOptions *o,
    BjFiling *f,
    GString *writer); // Runs f to its end; writer: set to the accepted ticket's writer id
int ctl_report_error (const CtlOptions *o, BjStatus s, const char *format, ...)
    G_GNUC_PRINTF (3, 4); // Prints code and message, returns the exit code
int ctl_wait_in_force (
    const CtlOptions *o,
    int64_t number); // Waits at most wait_ms for all known daemons; returns an exit code
