// What the parts of bjctl share.

#pragma once

#include "internal.h"

typedef struct
{
  const char *platform; // URL, NULL when not given
  const char *admin;    // IP:PORT, NULL when not given
  const char *argument; // of the command, NULL when it has none
} CtlOptions;

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
int ctl_fail (const char *format, ...) G_GNUC_PRINTF (1, 2); // Prints a line, returns the exit code
int ctl_file_text (const CtlOptions *o, BjStr text);         // Files one ticket
