// Message: assembles the head of one HTTP/1.1 message from the fragments passed by http-parser.

#include "internal.h"

void
bj_message_init (BjMessage *m)
{
  m->path = g_string_new (NULL);
  m->headers = g_string_new (NULL);
  m->in_value = false;
}

void
bj_message_clear (BjMessage *m)
{
  g_string_free (m->path, TRUE);
  g_string_free (m->headers, TRUE);
}

void
bj_message_reset (BjMessage *m)
{
  g_string_truncate (m->path, 0);
  g_string_truncate (m->headers, 0);
  m->in_value = false;
}

void
bj_message_field (BjMessage *m, const char *data, size_t n)
{
  if (m->in_value)
    g_string_append_c (m->headers, '\n');
  m->in_value = false;
  g_string_append_len (m->headers, data, (gssize)n);
}

void
bj_message_value (BjMessage *m, const char *data, size_t n)
{
  if (!m->in_value)
    g_string_append (m->headers, ": ");
  m->in_value = true;
  if (n > 0)
    g_string_append_len (m->headers, data, (gssize)n);
}

BjStr
bj_message_headers (BjMessage *m)
{
  if (m->in_value)
    g_string_append_c (m->headers, '\n');
  m->in_value = false;
  return (BjStr){ m->headers->str, m->headers->len };
}
