// Caller that pipelines: sends several requests on one connection and reads the responses in order.

#include "pipecaller.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static int
on_headers (http_parser *p)
{
  PipeCaller *c = p->data;
  bool is_head = c->methods != NULL && c->methods[c->n] == 'H';

  if (p->status_code == 100)
    return 0;
  c->statuses[c->n] = (int)p->status_code;
  c->closes[c->n] = http_should_keep_alive (p) == 0;
  return is_head ? 1 : 0;
}

static int
on_body (http_parser *p, const char *data, size_t n)
{
  PipeCaller *c = p->data;

  g_string_append_len (c->bodies[c->n], data, (gssize)n);
  return 0;
}

static int
on_complete (http_parser *p)
{
  PipeCaller *c = p->data;

  c->n += p->status_code != 100;
  return c->n >= PIPECALLER_RESPONSES_MAX ? -1 : 0;
}

static const http_parser_settings response_settings = {
  .on_headers_complete = on_headers,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
pipecaller_open (PipeCaller *c, int port, int timeout_ms)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  struct timeval timeout = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };

  *c = (PipeCaller){ .fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  if (connect (c->fd, (struct sockaddr *)&addr, sizeof addr) != 0)
    {
      close (c->fd);
      c->fd = -1;
    }
  else
    setsockopt (c->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  http_parser_init (&c->parser, HTTP_RESPONSE);
  c->parser.data = c;
  for (int i = 0; i < PIPECALLER_RESPONSES_MAX; i++)
    c->bodies[i] = g_string_new (NULL);
}

void
pipecaller_close (PipeCaller *c)
{
  if (c->fd >= 0)
    close (c->fd);
  for (int i = 0; i < PIPECALLER_RESPONSES_MAX; i++)
    g_string_free (c->bodies[i], TRUE);
}

bool
pipecaller_send (PipeCaller *c, const char *text)
{
  size_t n = strlen (text);

  return send (c->fd, text, n, MSG_NOSIGNAL) == (ssize_t)n;
}

bool
pipecaller_send_gets (
    PipeCaller *c, const char *path_format, const char *key_format, int first, int n)
{
  GString *text = g_string_new (NULL);
  bool is_sent;

  for (int i = first; i < first + n; i++)
    {
      char *path = g_strdup_printf (path_format, i);

      g_string_append_printf (text, "GET %s HTTP/1.1\r\nHost: x\r\n", path);
      if (key_format != NULL)
        {
          g_string_append (text, "Idempotency-Key: ");
          g_string_append_printf (text, key_format, i);
          g_string_append (text, "\r\n");
        }
      g_string_append (text, "\r\n");
      g_free (path);
    }
  is_sent = pipecaller_send (c, text->str);
  g_string_free (text, TRUE);
  return is_sent;
}

void
pipecaller_read (PipeCaller *c, int n)
{
  char buffer[4096];

  while (c->n < n && !c->is_ended && !c->is_reset)
    {
      ssize_t got = recv (c->fd, buffer, sizeof buffer, 0);

      c->is_ended = got == 0;
      c->is_reset = got < 0;
      if (got > 0)
        http_parser_execute (&c->parser, &response_settings, buffer, (size_t)got);
    }
}
