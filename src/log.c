// Log: GLib's logging into a bounded buffer that never holds the loop. Lines of calls are bounded
// by their number a second too, so that a surge does not bury the others.

#include "boragejunction.h"
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024
#define FLUSH_BYTES 16384   // written at once when this much waits
#define FLUSH_MS 50         // and otherwise after this long
#define CALL_LINES_MAX 3000 // of calls in a second

static BjLogLevel threshold = BJ_LOG_INFO;
static GString *pending;
static uint64_t n_dropped;
static BjTime flushed;
static BjTime second_from;    // of the lines of calls
static uint64_t n_call_lines; // in this second
static uint64_t n_left_out;   // of them, over the bound

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data);
static void write_line_of (BjLogLevel level, const char *prefix, const char *line);
static GLogLevelFlags to_glib (BjLogLevel level);

void
bj_log_open (BjLogLevel level)
{
  threshold = level;
  if (pending != NULL)
    return;
  pending = g_string_new (NULL);
  g_log_set_writer_func (write_line, NULL, NULL);
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
  write_line_of (level, prefix, line);
}

bool
bj_log_has_room (BjTime now)
{
  char line[LINE_MAX_BYTES];

  if (now - second_from >= 1000)
    {
      if (n_left_out > 0)
        {
          g_snprintf (line, sizeof line, "left_out=%" G_GUINT64_FORMAT, n_left_out);
          write_line_of (BJ_LOG_WARNING, "LOG", line);
        }
      second_from = now;
      n_call_lines = 0;
      n_left_out = 0;
    }
  if (n_call_lines++ < CALL_LINES_MAX)
    return true;
  n_left_out++;
  n_dropped++;
  return false;
}

void
bj_log_flush (void)
{
  BjTime now = bj_clock_now ();
  ssize_t n;

  if (pending == NULL || (pending->len < FLUSH_BYTES && now - flushed < FLUSH_MS))
    return;
  flushed = now;
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
  flushed = -BJ_TIME_NEVER;
  bj_log_flush ();
}

uint64_t
bj_log_dropped (void)
{
  return n_dropped;
}

static void
write_line_of (BjLogLevel level, const char *prefix, const char *line)
{
  GLogField fields[] = { { "GLIB_DOMAIN", prefix, -1 }, { "MESSAGE", line, -1 } };

  g_log_structured_array (to_glib (level), fields, G_N_ELEMENTS (fields));
}

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
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
to_glib (BjLogLevel level)
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
