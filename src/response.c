// Response: checks the head of an HTTP/1.1 response for what http-parser and libcurl accept
// although it is no answer.

#include "response.h"
#include <string.h>

// A byte of STATUS_LINE that is 'd' stands for any digit, 'c' for the class of a status.
#define STATUS_LINE "HTTP/1.d cdd"
#define MINOR_OFFSET 7  // of the minor version in the status line
#define STATUS_OFFSET 9 // of the status

static const char *read_line (BjResponse *r, BjStr line);
static const char *read_status (BjResponse *r, BjStr line);
static const char *read_field (BjResponse *r, BjStr line);
static const char *read_length (BjResponse *r, BjStr value);
static const char *end_head (BjResponse *r);

void
bj_response_init (BjResponse *r)
{
  r->line = g_string_new (NULL);
  bj_response_reset (r);
}

void
bj_response_clear (BjResponse *r)
{
  g_string_free (r->line, TRUE);
}

void
bj_response_reset (BjResponse *r)
{
  r->part = BJ_RESPONSE_STATUS;
  g_string_truncate (r->line, 0);
}

const char *
bj_response_read (BjResponse *r, BjStr bytes)
{
  const char *reason = NULL;

  while (reason == NULL && bytes.len > 0 && r->part != BJ_RESPONSE_BODY)
    {
      const char *end = memchr (bytes.data, '\n', bytes.len);
      size_t n = end != NULL ? (size_t)(end - bytes.data) : bytes.len;

      g_string_append_len (r->line, bytes.data, (gssize)n);
      if (end == NULL)
        return NULL;
      bytes = (BjStr){ end + 1, bytes.len - n - 1 };
      n = r->line->len;
      if (n > 0 && r->line->str[n - 1] == '\r')
        n--;
      reason = read_line (r, (BjStr){ r->line->str, n });
      g_string_truncate (r->line, 0);
    }
  return reason;
}

static const char *
read_line (BjResponse *r, BjStr line)
{
  // Empty lines before a response are skipped, as http-parser does.
  if (r->part == BJ_RESPONSE_STATUS)
    return line.len > 0 ? read_status (r, line) : NULL;
  return line.len > 0 ? read_field (r, line) : end_head (r);
}

static const char *
read_status (BjResponse *r, BjStr line)
{
  size_t n = strlen (STATUS_LINE);
  bool is_valid = line.len == n || (line.len > n && line.data[n] == ' ');

  for (size_t i = 0; is_valid && i < n; i++)
    if (STATUS_LINE[i] == 'd')
      is_valid = g_ascii_isdigit (line.data[i]);
    else if (STATUS_LINE[i] == 'c')
      is_valid = line.data[i] >= '1' && line.data[i] <= '5';
    else
      is_valid = line.data[i] == STATUS_LINE[i];
  if (!is_valid)
    return "its first line has no HTTP/1 version or no status from 100 to 599";
  r->status = (int)g_ascii_strtoll (line.data + STATUS_OFFSET, NULL, 10);
  // No request asks for an upgrade, so no answer follows.
  if (r->status == 101)
    return "it switches to a protocol that was not asked for";
  if (!bj_header_is_text (line))
    return "its first line has a control byte";
  r->minor = line.data[MINOR_OFFSET] - '0';
  r->n_lengths = 0;
  r->n_encodings = 0;
  r->has_length = false;
  r->part = BJ_RESPONSE_FIELDS;
  return NULL;
}

static const char *
read_field (BjResponse *r, BjStr line)
{
  const char *colon = memchr (line.data, ':', line.len);
  BjStr name = { line.data, colon != NULL ? (size_t)(colon - line.data) : 0 };
  BjStr value;

  // Recipients differ in how they join the lines of such a value.
  if (line.data[0] == ' ' || line.data[0] == '\t')
    return "a field is folded over two lines";
  if (!bj_header_is_name (name))
    return "the name of a field is missing or has a byte that no name has";
  value = bj_str_trim ((BjStr){ colon + 1, line.len - name.len - 1 });
  if (!bj_header_is_text (value))
    return "the value of a field has a control byte";
  if (bj_header_name_equal (name, "Content-Length"))
    return read_length (r, value);
  if (bj_header_name_equal (name, "Transfer-Encoding"))
    {
      r->n_encodings++;
      if (!bj_header_name_equal (value, "chunked"))
        return "its Transfer-Encoding is not just chunked";
    }
  return NULL;
}

static const char *
read_length (BjResponse *r, BjStr value)
{
  int64_t n;

  r->n_lengths++;
  if (!bj_str_int (value, &n) || n < 0 || n == INT64_MAX || value.data[0] == '-')
    return "its Content-Length is no length";
  r->has_length = n > 0;
  return NULL;
}

static const char *
end_head (BjResponse *r)
{
  bool has_body = r->has_length || r->n_encodings > 0;

  if (r->n_lengths + r->n_encodings > 1)
    return "it has more than one Content-Length or Transfer-Encoding";
  if (r->n_encodings > 0 && r->minor == 0)
    return "it has a Transfer-Encoding, which HTTP/1.0 does not know";
  if (has_body && (r->status < 200 || r->status == 204))
    return "it has a body, which its status rules out";
  r->part = r->status < 200 ? BJ_RESPONSE_STATUS : BJ_RESPONSE_BODY;
  return NULL;
}
