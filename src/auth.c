// Auth: signatures with the deployment key, HMAC-SHA-256 truncated to 128 bits.

#include "internal.h"
#include <gnutls/crypto.h>
#include <string.h>

#define HASH_BYTES 32 // of SHA-256
#define KEY_MAX_BYTES 4096

struct BjAuth
{
  uint8_t key[KEY_MAX_BYTES];
  size_t key_bytes; // 0: no key
};

static GString *format_hello (uint64_t incarnation, uint64_t start, BjStr from, BjStr to);
static BjStr trim_line_end (BjStr text);

BjStatus
bj_auth_new (BjStr key_file, BjAuth **auth)
{
  GError *error = NULL;
  BjAuth *a;
  BjStr key;
  char *text;
  gsize n;

  *auth = NULL;
  a = g_new0 (BjAuth, 1);
  if (key_file.len == 0)
    {
      *auth = a;
      return BJ_OK;
    }
  if (!g_file_get_contents (key_file.data, &text, &n, &error))
    {
      bj_fail (BJ_E_SETTINGS, "settings.key_file: %s.", error->message);
      g_error_free (error);
      g_free (a);
      return BJ_E_SETTINGS;
    }
  key = trim_line_end ((BjStr){ text, n });
  a->key_bytes = key.len;
  if (key.len >= BJ_KEY_MIN_BYTES && key.len <= KEY_MAX_BYTES)
    memcpy (a->key, key.data, key.len);
  g_free (text);
  if (a->key_bytes >= BJ_KEY_MIN_BYTES && a->key_bytes <= KEY_MAX_BYTES)
    {
      *auth = a;
      return BJ_OK;
    }
  bj_fail (BJ_E_SETTINGS,
           "settings.key_file: the key in %s has %zu bytes, %d to %d are allowed.",
           key_file.data,
           a->key_bytes,
           BJ_KEY_MIN_BYTES,
           KEY_MAX_BYTES);
  g_free (a);
  return BJ_E_SETTINGS;
}

void
bj_auth_free (BjAuth *a)
{
  if (a == NULL)
    return;
  explicit_bzero (a, sizeof *a);
  g_free (a);
}

void
bj_auth_sign (const BjAuth *a, BjStr data, uint8_t tag[BJ_TAG_BYTES])
{
  uint8_t hash[HASH_BYTES] = { 0 };

  if (a->key_bytes > 0)
    gnutls_hmac_fast (GNUTLS_MAC_SHA256, a->key, a->key_bytes, data.data, data.len, hash);
  memcpy (tag, hash, BJ_TAG_BYTES);
}

void
bj_auth_sign_hello (const BjAuth *a,
                    uint64_t incarnation,
                    uint64_t start,
                    BjStr from,
                    BjStr to,
                    uint8_t tag[BJ_TAG_BYTES])
{
  GString *text = format_hello (incarnation, start, from, to);

  bj_auth_sign (a, (BjStr){ text->str, text->len }, tag);
  g_string_free (text, TRUE);
}

BjStatus
bj_auth_check_hello (
    const BjAuth *a, uint64_t incarnation, uint64_t start, BjStr from, BjStr to, BjStr tag)
{
  GString *text = format_hello (incarnation, start, from, to);
  BjStatus s = bj_auth_check (a, (BjStr){ text->str, text->len }, tag);

  g_string_free (text, TRUE);
  return s;
}

BjStatus
bj_auth_check (const BjAuth *a, BjStr data, BjStr tag)
{
  uint8_t expected[BJ_TAG_BYTES];

  if (tag.len != BJ_TAG_BYTES)
    return bj_fail (
        BJ_E_AUTH, "Signature rejected: it has %zu bytes instead of %d.", tag.len, BJ_TAG_BYTES);
  bj_auth_sign (a, data, expected);
  if (gnutls_memcmp (expected, tag.data, BJ_TAG_BYTES) != 0)
    return bj_fail (BJ_E_AUTH, "Signature rejected: it does not match the deployment key.");
  return BJ_OK;
}

static GString *
format_hello (uint64_t incarnation, uint64_t start, BjStr from, BjStr to)
{
  GString *text = g_string_new ("hello");

  g_string_append_printf (text,
                          " %d %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %zu %.*s %.*s",
                          BJ_PROTOCOL_VERSION,
                          incarnation,
                          start,
                          from.len,
                          BJ_STR_ARG (from),
                          BJ_STR_ARG (to));
  return text;
}

// Removes the line end that an editor adds to the key file; it is not part of the key.
static BjStr
trim_line_end (BjStr text)
{
  while (text.len > 0 && (text.data[text.len - 1] == '\n' || text.data[text.len - 1] == '\r'))
    text.len--;
  return text;
}
