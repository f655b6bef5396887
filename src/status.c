// Status: names of the result codes, and the message of the last failure.

#include "boragejunction.h"
#include <stdarg.h>
#include <stdio.h>

#define MESSAGE_MAX 512 // bytes with the final zero; longer messages are truncated

static char last_message[MESSAGE_MAX];

const char *
bj_status_name (BjStatus s)
{
  switch (s)
    {
#define NAME(code)                                                                                 \
  case code:                                                                                       \
    return #code
      NAME (BJ_OK);
      NAME (BJ_E_ARGUMENT);
      NAME (BJ_E_SETTINGS);
      NAME (BJ_E_IO);
      NAME (BJ_E_FORMAT);
      NAME (BJ_E_TOO_LARGE);
      NAME (BJ_E_AUTH);
      NAME (BJ_E_NO_ROUTE);
      NAME (BJ_E_NO_UPSTREAM);
      NAME (BJ_E_OVERLOAD);
      NAME (BJ_E_DEADLINE);
      NAME (BJ_E_DRAINING);
      NAME (BJ_E_CANCELLED);
      NAME (BJ_E_LOST);
      NAME (BJ_E_BROKEN);
      NAME (BJ_E_KEY);
      NAME (BJ_E_DUPLICATE);
      NAME (BJ_E_QUARANTINED);
      NAME (BJ_E_SHED);
      NAME (BJ_E_HOME);
      NAME (BJ_E_CRASHED);
      NAME (BJ_E_UNAUTHORIZED);
      NAME (BJ_E_RATE);
      NAME (BJ_E_EXISTS);
      NAME (BJ_E_CONFLICT);
      NAME (BJ_E_NOT_FOUND);
      NAME (BJ_E_PLATFORM);
      NAME (BJ_E_TICKET);
      NAME (BJ_E_BASE);
      NAME (BJ_E_GONE);
      NAME (BJ_E_GAP);
      NAME (BJ_E_PENDING);
#undef NAME
    }
  return "BJ_E_UNKNOWN";
}

BjStatus
bj_fail (BjStatus s, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vsnprintf (last_message, sizeof last_message, format, args);
  va_end (args);
  return s;
}

const char *
bj_last_message (void)
{
  return last_message;
}

const char *
bj_outcome_name (BjOutcome o)
{
  switch (o)
    {
    case BJ_DONE:
      return "done";
    case BJ_NOT_RUN:
      return "not-run";
    default:
      return "unknown";
    }
}
