// Log: GLib's logging into a bounded buffer that never holds the loop.

#include "boragejunction.h"
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024

static BjLogLevel threshold = BJ_LOG_INFO;
static GString *pending;
static uint64_t n_dropped;

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data);
static GLogLevelFlags to_glib (BjLogLevel level);

void
bj_log_open (BjLogLevel level)
{
  threshold = level;
  if (pending != NULL)
    return;
  pending = g_string_new (NULL);
  g_log_set_writer_func (write_line, NULL, NULL);
  fcntl (STDERR_FILENO, F_SETFL, fcntl (STDERR_FILENO, F_GETFL) | O_NONBLOCK);
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
  g_log (prefix, to_glib (level), "%s", line);
}

void
bj_log_flush (void)
{
  ssize_t n;

  while (pending != NULL && pending->len > 0)
    {
      n = write (STDERR_FILENO, pending->str, pending->len);
      if (n <= 0)
        return;
      g_string_erase (pending, 0, n);
    }
}

uint64_t
bj_log_dropped (void)
{
  return n_dropped;
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
