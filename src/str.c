// Str: strings with a length, borrowed or owned.

#include "boragejunction.h"
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

BjStr
bj_str (const char *text)
{
  if (text == NULL)
    return BJ_STR_NULL;
  return (BjStr){ text, strlen (text) };
}

BjStr
bj_str_dup (BjStr s)
{
  char *copy = g_malloc (s.len + 1);

  if (s.len > 0)
    memcpy (copy, s.data, s.len);
  copy[s.len] = '\0';
  return (BjStr){ copy, s.len };
}

void
bj_str_free (BjStr *s)
{
  g_free ((char *)s->data);
  *s = BJ_STR_NULL;
}

void
bj_str_set (BjStr *s, BjStr value)
{
  BjStr copy = bj_str_dup (value);

  bj_str_free (s);
  *s = copy;
}

bool
bj_str_equal (BjStr a, BjStr b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

bool
bj_str_starts (BjStr s, BjStr prefix)
{
  return s.len >= prefix.len && bj_str_equal ((BjStr){ s.data, prefix.len }, prefix);
}

uint64_t
bj_str_hash (BjStr s)
{
  return XXH64 (s.data, s.len, 0);
}

bool
bj_str_decimal (BjStr s, double *value)
{
  char text[32];
  const char *at = text;

  if (s.len == 0 || s.len >= sizeof text)
    return false;
  memcpy (text, s.data, s.len);
  text[s.len] = '\0';
  while (g_ascii_isdigit (*at))
    at++;
  if (at > text && *at == '.' && g_ascii_isdigit (at[1]))
    for (at++; g_ascii_isdigit (*at);)
      at++;
  if (at != text + s.len)
    return false;
  *value = g_ascii_strtod (text, NULL);
  return true;
}

BjStr
bj_str_trim (BjStr s)
{
  while (s.len > 0 && (s.data[0] == ' ' || s.data[0] == '\t'))
    s = (BjStr){ s.data + 1, s.len - 1 };
  while (s.len > 0 && (s.data[s.len - 1] == ' ' || s.data[s.len - 1] == '\t'))
    s.len--;
  return s;
}

bool
bj_str_int (BjStr s, int64_t *value)
{
  char text[24];
  char *end;

  if (s.len == 0 || s.len >= sizeof text || !(g_ascii_isdigit (s.data[0]) || s.data[0] == '-'))
    return false;
  memcpy (text, s.data, s.len);
  text[s.len] = '\0';
  *value = g_ascii_strtoll (text, &end, 10);
  return *end == '\0' && end > text && g_ascii_isdigit (end[-1]);
}
