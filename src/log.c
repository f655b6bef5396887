// Log: GLib logging into a bounded buffer that is written without blocking the loop. Lines about
// calls are also rate limited, so that a surge of calls does not crowd out other lines.

#include "boragejunction.h"
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024
#define FLUSH_BYTES 16384 // buffered bytes that are written without waiting for FLUSH_INTERVAL_MS
#define FLUSH_INTERVAL_MS 50 // longest time that fewer bytes wait in the buffer
#define CALL_LINES_PER_S_MAX 3000

static BjLogLevel threshold = BJ_LOG_INFO;
static GString *pending;   // formatted lines not yet written, NULL before bj_log_open
static uint64_t n_dropped; // lines dropped by the rate limit or because the buffer was full
static BjTime last_flush_at;
static BjTime second_started_at; // start of the second in which call lines are counted
static uint64_t n_call_lines;    // in this second, including suppressed ones
static uint64_t n_suppressed;    // call lines suppressed in this second

static GLogWriterOutput
append_line (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data);
static void log_line (BjLogLevel level, const char *prefix, const char *line);
static GLogLevelFlags to_glib_level (BjLogLevel level);

void
bj_log_open (BjLogLevel level)
{
  threshold = level;
  if (pending != NULL)
    return;
  pending = g_string_new (NULL);
  g_log_set_writer_func (append_line, NULL, NULL);
  fcntl (STDOUT_FILENO, F_SETFL, fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

bool
bj_log_enabled (BjLogLevel level)
{
  return level <= threshold;
}

void
bj_log (BjLogLevel level, const char *prefix, const char *format, ...)
{
  char line[LINE_MAX_BYTES];
  va_list args;

  if (!bj_log_enabled (level))
    return;
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  log_line (level, prefix, line);
}

bool
bj_log_allow_call_line (BjTime now)
{
  char line[LINE_MAX_BYTES];

  if (now - second_started_at >= 1000)
    {
      if (n_suppressed > 0)
        {
          g_snprintf (line, sizeof line, "left_out=%" G_GUINT64_FORMAT, n_suppressed);
          log_line (BJ_LOG_WARNING, "LOG", line);
        }
      second_started_at = now;
      n_call_lines = 0;
      n_suppressed = 0;
    }
  if (n_call_lines++ < CALL_LINES_PER_S_MAX)
    return true;
  n_suppressed++;
  n_dropped++;
  return false;
}

void
bj_log_flush (void)
{
  BjTime now = bj_clock_now ();
  ssize_t n;

  if (pending == NULL || (pending->len < FLUSH_BYTES && now - last_flush_at < FLUSH_INTERVAL_MS))
    return;
  last_flush_at = now;
  while (pending != NULL && pending->len > 0)
    {
      n = write (STDOUT_FILENO, pending->str, pending->len);
      if (n <= 0)
        return;
      g_string_erase (pending, 0, n);
    }
}

void
bj_log_close (void)
{
  last_flush_at = -BJ_TIME_NEVER;
  bj_log_flush ();
}

uint64_t
bj_log_dropped (void)
{
  return n_dropped;
}

static void
log_line (BjLogLevel level, const char *prefix, const char *line)
{
  GLogField fields[] = { { "GLIB_DOMAIN", prefix, -1 }, { "MESSAGE", line, -1 } };

  g_log_structured_array (to_glib_level (level), fields, G_N_ELEMENTS (fields));
}

static GLogWriterOutput
append_line (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  const char *domain = "LOG";
  const char *message = "";
  double wall = bj_clock_wall ();

  (void)level;
  (void)data;
  for (gsize i = 0; i < n; i++)
    {
      if (strcmp (fields[i].key, "GLIB_DOMAIN") == 0)
        domain = fields[i].value;
      if (strcmp (fields[i].key, "MESSAGE") == 0)
        message = fields[i].value;
    }
  if (pending->len > BJ_LOG_BUFFER)
    {
      n_dropped++;
      return G_LOG_WRITER_HANDLED;
    }
  g_string_append_printf (pending, "%.3f %s: %s\n", wall / 1000.0, domain, message);
  return G_LOG_WRITER_HANDLED;
}

static GLogLevelFlags
to_glib_level (BjLogLevel level)
{
  switch (level)
    {
    case BJ_LOG_ERROR:
      return G_LOG_LEVEL_CRITICAL;
    case BJ_LOG_WARNING:
      return G_LOG_LEVEL_WARNING;
    case BJ_LOG_INFO:
      return G_LOG_LEVEL_MESSAGE;
    default:
      return G_LOG_LEVEL_DEBUG;
    }
}
