// Console: HTTP server for operators and the own upstream, runs libmicrohttpd on the libev loop.
// Every request is answered synchronously.

#include "internal.h"
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#define CONFIG_PATH "/v1/config"
#define CONNECTIONS_MAX 1024
#define IDLE_TIMEOUT_S 30
#define CONNECTION_MEMORY (2 * BJ_HEADER_MAX)

struct BjConsole
{
  BjDaemon *daemon;
  struct MHD_Daemon *http;
  ev_io io;
  ev_timer timer;
  bool is_ready; // MHD_run must be called
};

typedef struct
{
  char *path; // raw, with query
  GString *body;
  bool is_head_read; // on_request was called for the head
  bool is_too_large;
} Request;

static void on_io (struct ev_loop *loop, ev_io *w, int events);
static void on_timer (struct ev_loop *loop, ev_timer *w, int events);
static void schedule_run (BjConsole *c);
static void *on_uri (void *console, const char *uri, struct MHD_Connection *conn);
static enum MHD_Result on_request (void *console,
                                   struct MHD_Connection *conn,
                                   const char *url,
                                   const char *method,
                                   const char *version,
                                   const char *data,
                                   size_t *size,
                                   void **request);
static void on_completed (void *console,
                          struct MHD_Connection *conn,
                          void **request,
                          enum MHD_RequestTerminationCode code);
static void read_body (Request *r, const char *data, size_t size);
static enum MHD_Result
send_response (BjConsole *c, struct MHD_Connection *conn, const Request *r, const char *method);

BjStatus
bj_console_new (BjDaemon *d, const char *name, BjAddress a, BjConsole **console)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)a.port) };
  BjConsole *c = g_new0 (BjConsole, 1);
  const union MHD_DaemonInfo *info;

  inet_pton (AF_INET, a.host.data, &addr.sin_addr);
  c->daemon = d;
  c->http = MHD_start_daemon (MHD_USE_EPOLL | MHD_USE_TURBO,
                              0,
                              NULL,
                              NULL,
                              on_request,
                              c,
                              MHD_OPTION_SOCK_ADDR,
                              &addr,
                              MHD_OPTION_URI_LOG_CALLBACK,
                              on_uri,
                              c,
                              MHD_OPTION_NOTIFY_COMPLETED,
                              on_completed,
                              c,
                              MHD_OPTION_CONNECTION_LIMIT,
                              (unsigned int)CONNECTIONS_MAX,
                              MHD_OPTION_CONNECTION_TIMEOUT,
                              (unsigned int)IDLE_TIMEOUT_S,
                              MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                              (size_t)CONNECTION_MEMORY,
                              MHD_OPTION_STRICT_FOR_CLIENT,
                              1,
                              MHD_OPTION_LISTENING_ADDRESS_REUSE,
                              1U,
                              MHD_OPTION_END);
  if (c->http == NULL)
    {
      g_free (c);
      return bj_fail (BJ_E_IO,
                      "settings.%s: cannot listen on %s:%d: %s.",
                      name,
                      a.host.data,
                      a.port,
                      g_strerror (errno));
    }
  info = MHD_get_daemon_info (c->http, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&c->io, on_io, info->epoll_fd, EV_READ);
  c->io.data = c;
  ev_io_start (d->loop, &c->io);
  ev_timer_init (&c->timer, on_timer, 0, 0);
  c->timer.data = c;
  *console = c;
  return BJ_OK;
}

void
bj_console_free (BjConsole *c)
{
  if (c == NULL)
    return;
  ev_io_stop (c->daemon->loop, &c->io);
  ev_timer_stop (c->daemon->loop, &c->timer);
  MHD_stop_daemon (c->http);
  g_free (c);
}

bool
bj_console_poll (BjConsole *c)
{
  if (c == NULL || !c->is_ready)
    return false;
  c->is_ready = false;
  MHD_run (c->http);
  schedule_run (c);
  return true;
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  BjConsole *c = w->data;

  (void)loop;
  (void)events;
  c->is_ready = true;
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  BjConsole *c = w->data;

  (void)loop;
  (void)events;
  c->is_ready = true;
}

static void
schedule_run (BjConsole *c)
{
  MHD_UNSIGNED_LONG_LONG ms;

  ev_timer_stop (c->daemon->loop, &c->timer);
  if (MHD_get_timeout (c->http, &ms) != MHD_YES)
    return;
  if (ms == 0)
    {
      c->is_ready = true;
      return;
    }
  ev_timer_set (&c->timer, (double)ms / 1000.0, 0);
  ev_timer_start (c->daemon->loop, &c->timer);
}

static void *
on_uri (void *console, const char *uri, struct MHD_Connection *conn)
{
  Request *r = g_new0 (Request, 1);

  (void)console;
  (void)conn;
  r->path = g_strdup (uri);
  r->body = g_string_new (NULL);
  return r;
}

static enum MHD_Result
on_request (void *console,
            struct MHD_Connection *conn,
            const char *url,
            const char *method,
            const char *version,
            const char *data,
            size_t *size,
            void **request)
{
  Request *r = *request;

  (void)url;
  (void)version;
  if (r == NULL)
    return MHD_NO;
  if (!r->is_head_read)
    {
      r->is_head_read = true;
      return MHD_YES;
    }
  if (*size == 0)
    return send_response (console, conn, r, method);
  read_body (r, data, *size);
  *size = 0;
  return MHD_YES;
}

static void
on_completed (void *console,
              struct MHD_Connection *conn,
              void **request,
              enum MHD_RequestTerminationCode code)
{
  Request *r = *request;

  (void)console;
  (void)conn;
  (void)code;
  if (r == NULL)
    return;
  g_free (r->path);
  g_string_free (r->body, TRUE);
  g_free (r);
  *request = NULL;
}

static void
read_body (Request *r, const char *data, size_t size)
{
  if (r->body->len + size > BJ_REQUEST_BODY_MAX)
    r->is_too_large = true;
  else
    g_string_append_len (r->body, data, (gssize)size);
}

static enum MHD_Result
send_response (BjConsole *c, struct MHD_Connection *conn, const Request *r, const char *method)
{
  GString *out = g_string_new (NULL);
  int status = MHD_HTTP_CONTENT_TOO_LARGE;
  struct MHD_Response *response;
  enum MHD_Result result;

  // Configurations contain the keys of client accounts, and the ready address is open to more.
  if (c == c->daemon->ready && strncmp (r->path, CONFIG_PATH, strlen (CONFIG_PATH)) == 0)
    status = MHD_HTTP_NOT_FOUND;
  else if (!r->is_too_large)
    status = bj_admin_handle (
        c->daemon, bj_str (method), bj_str (r->path), (BjStr){ r->body->str, r->body->len }, out);
  response = MHD_create_response_from_buffer (out->len, out->str, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", "application/json");
  result = MHD_queue_response (conn, (unsigned int)status, response);
  MHD_destroy_response (response);
  g_string_free (out, TRUE);
  return result;
}
