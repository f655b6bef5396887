// Header: the HTTP headers that daemons relay between caller and upstream. A block holds "Name:
// value" lines, each ended by a line feed.

#include "internal.h"
#include <string.h>
#include <strings.h>

// Hop-by-hop headers (RFC 9110 section 7.6.1), and headers that frames carry as fields or that each
// HTTP connection sets anew.
static const char *const not_relayed[] = {
  "Connection", "Content-Length", "Content-Type",      "Expect", "Host", "Keep-Alive", "TE",
  "Trailer",    "Upgrade",        "Transfer-Encoding", NULL,
};
static const char *const not_relayed_prefixes[] = { "Proxy-" };

static bool is_relayed (BjStr name);

void
bj_header_add_relayed (GString *block, BjStr name, BjStr value)
{
  if (block == NULL || !is_relayed (name) || !bj_header_is_name (name)
      || !bj_header_is_text (value))
    return;
  g_string_append_len (block, name.data, (gssize)name.len);
  g_string_append (block, ": ");
  if (value.len > 0)
    g_string_append_len (block, value.data, (gssize)value.len);
  g_string_append_c (block, '\n');
}

void
bj_header_add_except (GString *block, BjStr from, const char *const *names)
{
  BjStr name;
  BjStr value;
  BjStr rest = from;

  while (bj_header_next (&rest, &name, &value))
    {
      if (!bj_header_is_among (name, names))
        g_string_append_len (block, from.data, (gssize)(from.len - rest.len));
      from = rest;
    }
}

bool
bj_header_next (BjStr *block, BjStr *name, BjStr *value)
{
  const char *end = block->len > 0 ? memchr (block->data, '\n', block->len) : NULL;
  const char *colon = end != NULL ? memchr (block->data, ':', (size_t)(end - block->data)) : NULL;
  size_t line;

  if (colon == NULL || end - colon < 2)
    return false;
  line = (size_t)(end - block->data) + 1;
  *name = (BjStr){ block->data, (size_t)(colon - block->data) };
  *value = (BjStr){ colon + 2, (size_t)(end - colon) - 2 };
  *block = (BjStr){ block->data + line, block->len - line };
  return true;
}

bool
bj_header_name_equal (BjStr name, const char *other)
{
  return name.len == strlen (other) && strncasecmp (name.data, other, name.len) == 0;
}

bool
bj_header_is_among (BjStr name, const char *const *names)
{
  for (int i = 0; names[i] != NULL; i++)
    if (bj_header_name_equal (name, names[i]))
      return true;
  return false;
}

BjStr
bj_header_find (BjStr block, const char *name)
{
  BjStr n;
  BjStr value;

  while (bj_header_next (&block, &n, &value))
    if (bj_header_name_equal (n, name))
      return value;
  return BJ_STR_NULL;
}

bool
bj_header_is_name (BjStr name)
{
  static const char others[] = "!#$%&'*+-.^_`|~";

  for (size_t i = 0; i < name.len; i++)
    if (!g_ascii_isalnum (name.data[i]) && memchr (others, name.data[i], sizeof others - 1) == NULL)
      return false;
  return name.len > 0;
}

bool
bj_header_is_text (BjStr value)
{
  for (size_t i = 0; i < value.len; i++)
    if (((unsigned char)value.data[i] < ' ' && value.data[i] != '\t') || value.data[i] == 0x7f)
      return false;
  return true;
}

bool
bj_header_is_valid (BjStr block)
{
  BjStr name;
  BjStr value;

  while (bj_header_next (&block, &name, &value))
    if (!is_relayed (name) || !bj_header_is_name (name) || !bj_header_is_text (value))
      return false;
  return block.len == 0;
}

static bool
is_relayed (BjStr name)
{
  if (bj_header_is_among (name, not_relayed))
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (not_relayed_prefixes); i++)
    {
      size_t n = strlen (not_relayed_prefixes[i]);

      if (name.len >= n && strncasecmp (name.data, not_relayed_prefixes[i], n) == 0)
        return false;
    }
  return true;
}
