// Http: HTTP client, runs libcurl multi on the libev loop.

#include "response.h"
#include <curl/curl.h>
#include <ev.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_CONNECTIONS_MAX 256
#define IDLE_MAX_S 5   // a connection idle for longer is not reused
#define HEAD_MAX 65536 // bytes of a response's header lines, with interim responses and trailers
#define ENCODED_FACTOR_MAX 4  // bytes of a chunked body per byte of its limit
#define STALL_CHECK_MS 100    // interval between checks for stalled responses
#define TRANSFER_MAX_MS 30000 // longest time of a response after its first byte, with a stall limit
#define SUSPECT_SILENCE_MS 500 // a reused connection without a response for longer is suspect

// An idle connection can break without notice while new ones work. After a reused connection gave
// no response, one call probes a new connection. If that call gets a response, idle connections are
// not reused for IDLE_MAX_S, after which all of them are too old.
typedef enum
{
  POOL_TRUSTED,    // idle connections are reused
  POOL_PROBED,     // one call tries a new connection, the others reuse idle ones
  POOL_DISTRUSTED, // every call opens a new connection
} PoolState;

struct BjHttp
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  GHashTable *calls;   // set of BjHttpCall*
  GHashTable *sockets; // descriptors of libcurl's connections, to themselves while in use, to -1
                       // while idle
  GPtrArray *cancelled_calls; // BjHttpCall* cancelled inside a callback, freed after it
  GPtrArray *oversized_calls; // BjHttpCall* to end after a callback
  int callback_depth;         // above 0 while libcurl may be calling back
  PoolState pool;
  BjTime distrusted_at; // when pool became POOL_DISTRUSTED
  BjHttpCall *probe;    // the call on a new connection, NULL if none
  ev_timer stall_timer; // ends calls whose response has stopped; active while n_stall_calls > 0
  int n_stall_calls;    // calls with a stall limit
};

struct BjHttpCall
{
  BjHttp *http;
  CURL *easy;
  struct curl_slist *headers;
  char *url;
  BjStr body;
  BjHttpOptions options;
  BjHttpHead head;
  char outcome[16];      // storage of head.outcome
  BjResponse response;   // checks the head
  bool is_head_reported; // options.head was called
  bool cancelled;
  BjTime started;
  BjTime received_at; // last bytes of the response, 0 before the first
  size_t n_head;      // bytes of its header lines so far
  size_t n_body;      // bytes of its body so far
  size_t n_encoded;   // the same with chunk headers
};

typedef struct
{
  ev_io io;
  BjHttp *http;
  curl_socket_t fd;
} Socket;

static int on_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket);
static curl_socket_t open_socket (void *http, curlsocktype type, struct curl_sockaddr *a);
static int close_socket (void *http, curl_socket_t fd);
static void mark_socket (BjHttp *h, curl_socket_t fd, bool is_idle);
static void disable_foreign_conns (BjHttp *h);
static int on_timer_change (CURLM *multi, long timeout_ms, void *data);
static void on_io (struct ev_loop *loop, ev_io *w, int events);
static void on_timeout (struct ev_loop *loop, ev_timer *w, int events);
static void on_stall_timer (struct ev_loop *loop, ev_timer *w, int events);
static bool is_stalled (const BjHttpCall *c, BjTime now);
static void run_socket_action (BjHttp *h, curl_socket_t fd, int events);
static void finish_completed_calls (BjHttp *h);
static void finish_call (BjHttpCall *c, CURLcode code);
static size_t on_header (char *data, size_t size, size_t n, void *call);
static size_t on_body (char *data, size_t size, size_t n, void *call);
static int on_debug (CURL *easy, curl_infotype type, char *data, size_t size, void *call);
static size_t reject_response (const BjHttpCall *c, const char *reason);
static void report_head (BjHttpCall *c);
static void read_header (BjHttpCall *c, BjStr name, BjStr value);
static void set_method (BjHttpCall *c);
static void set_headers (BjHttpCall *c);
static void free_call (BjHttpCall *c);
static bool use_new_connection (BjHttpCall *c);
static bool was_reused (const BjHttpCall *c);
static void update_pool_state (BjHttpCall *c);
static bool is_malformed (CURLcode code);
static CURLcode check_head (const BjHttpCall *c, CURLcode code);
static BjStatus to_status (CURLcode code, const BjHttpCall *c);
static bool was_sent (const BjHttpCall *c);

static BjCounter n_rejected
    = { "http_rejected_responses_total",
        "Responses to requests of this daemon, most of them to the store, that were malformed, "
        "larger than their limit or stopped half-way.",
        0 };

BjHttp *
bj_http_new (struct ev_loop *loop)
{
  BjHttp *h = g_new0 (BjHttp, 1);

  bj_metric_register (&n_rejected);
  h->loop = loop;
  h->multi = curl_multi_init ();
  h->calls = g_hash_table_new (NULL, NULL);
  h->sockets = g_hash_table_new (NULL, NULL);
  h->cancelled_calls = g_ptr_array_new ();
  h->oversized_calls = g_ptr_array_new ();
  ev_timer_init (&h->timer, on_timeout, 0, 0);
  h->timer.data = h;
  ev_timer_init (&h->stall_timer, on_stall_timer, STALL_CHECK_MS / 1000.0, STALL_CHECK_MS / 1000.0);
  h->stall_timer.data = h;
  curl_multi_setopt (h->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (h->multi, CURLMOPT_SOCKETDATA, h);
  curl_multi_setopt (h->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
  curl_multi_setopt (h->multi, CURLMOPT_TIMERDATA, h);
  curl_multi_setopt (h->multi, CURLMOPT_MAXCONNECTS, (long)IDLE_CONNECTIONS_MAX);
  curl_multi_setopt (h->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  return h;
}

void
bj_http_free (BjHttp *h)
{
  GList *open = g_hash_table_get_keys (h->calls);

  for (GList *l = open; l != NULL; l = l->next)
    free_call (l->data);
  g_list_free (open);
  curl_multi_cleanup (h->multi);
  ev_timer_stop (h->loop, &h->timer);
  ev_timer_stop (h->loop, &h->stall_timer);
  g_hash_table_destroy (h->calls);
  g_hash_table_destroy (h->sockets);
  g_ptr_array_free (h->cancelled_calls, TRUE);
  g_ptr_array_free (h->oversized_calls, TRUE);
  g_free (h);
}

BjHttpCall *
bj_http_start (BjHttp *h, const BjHttpOptions *o)
{
  BjHttpCall *c = g_new0 (BjHttpCall, 1);

  c->http = h;
  c->options = *o;
  c->url = g_strdup (o->url);
  c->body = bj_str_dup (o->body);
  c->head.attempts_left = -1;
  c->started = bj_clock_now ();
  bj_response_init (&c->response);
  c->easy = curl_easy_init ();
  curl_easy_setopt (c->easy, CURLOPT_URL, c->url);
  curl_easy_setopt (c->easy, CURLOPT_PRIVATE, c);
  curl_easy_setopt (c->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (c->easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (c->easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (c->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)BJ_CONNECT_TIMEOUT_MS);
  curl_easy_setopt (
      c->easy, CURLOPT_TIMEOUT_MS, (long)(o->timeout_ms + (o->stall_ms > 0 ? TRANSFER_MAX_MS : 0)));
  curl_easy_setopt (
      c->easy, CURLOPT_FRESH_CONNECT, o->sends_once || use_new_connection (c) ? 1L : 0L);
  curl_easy_setopt (c->easy, CURLOPT_MAXAGE_CONN, (long)IDLE_MAX_S);
  curl_easy_setopt (c->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (c->easy, CURLOPT_HEADERDATA, c);
  curl_easy_setopt (c->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (c->easy, CURLOPT_WRITEDATA, c);
  curl_easy_setopt (c->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (c->easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (c->easy, CURLOPT_OPENSOCKETDATA, h);
  curl_easy_setopt (c->easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (c->easy, CURLOPT_CLOSESOCKETDATA, h);
  if (o->body_max > 0)
    {
      curl_easy_setopt (c->easy, CURLOPT_DEBUGFUNCTION, on_debug);
      curl_easy_setopt (c->easy, CURLOPT_DEBUGDATA, c);
      curl_easy_setopt (c->easy, CURLOPT_VERBOSE, 1L);
    }
  set_method (c);
  set_headers (c);
  g_hash_table_add (h->calls, c);
  if (o->stall_ms > 0 && h->n_stall_calls++ == 0)
    ev_timer_again (h->loop, &h->stall_timer);
  curl_multi_add_handle (h->multi, c->easy);
  return c;
}

void
bj_http_cancel (BjHttpCall *c)
{
  if (c->cancelled)
    return;
  c->cancelled = true;
  if (c->http->callback_depth > 0)
    g_ptr_array_add (c->http->cancelled_calls, c);
  else
    free_call (c);
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket)
{
  BjHttp *h = data;
  Socket *s = socket;
  int events = 0;

  (void)easy;
  mark_socket (h, fd, what == CURL_POLL_REMOVE);
  if (what == CURL_POLL_REMOVE)
    {
      if (s != NULL)
        ev_io_stop (h->loop, &s->io);
      g_free (s);
      return 0;
    }
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    events |= EV_READ;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    events |= EV_WRITE;
  if (s == NULL)
    {
      s = g_new0 (Socket, 1);
      s->http = h;
      s->fd = fd;
      curl_multi_assign (h->multi, fd, s);
    }
  else
    ev_io_stop (h->loop, &s->io);
  ev_io_init (&s->io, on_io, fd, events);
  s->io.data = s;
  ev_io_start (h->loop, &s->io);
  return 0;
}

static curl_socket_t
open_socket (void *http, curlsocktype type, struct curl_sockaddr *a)
{
  BjHttp *h = http;
  int fd = socket (a->family, a->socktype | SOCK_CLOEXEC, a->protocol);

  (void)type;
  if (fd >= 0)
    g_hash_table_insert (h->sockets, GINT_TO_POINTER (fd), GINT_TO_POINTER (fd));
  return fd;
}

static int
close_socket (void *http, curl_socket_t fd)
{
  g_hash_table_remove (((BjHttp *)http)->sockets, GINT_TO_POINTER (fd));
  return close (fd);
}

static void
mark_socket (BjHttp *h, curl_socket_t fd, bool is_idle)
{
  if (g_hash_table_contains (h->sockets, GINT_TO_POINTER (fd)))
    g_hash_table_insert (h->sockets, GINT_TO_POINTER (fd), GINT_TO_POINTER (is_idle ? -1 : fd));
}

// Bytes on an idle connection belong to no request. libcurl would reuse it and take them for the
// next response, so it must find the connection closed.
static void
disable_foreign_conns (BjHttp *h)
{
  GHashTableIter i;
  gpointer fd;
  gpointer state;

  g_hash_table_iter_init (&i, h->sockets);
  while (g_hash_table_iter_next (&i, &fd, &state))
    {
      char bytes[4096];

      if (GPOINTER_TO_INT (state) != -1
          || recv (GPOINTER_TO_INT (fd), bytes, sizeof bytes, MSG_DONTWAIT) <= 0)
        continue;
      n_rejected.value++;
      bj_log (BJ_LOG_INFO, "LINK", "Received bytes on an idle connection; not using it again.");
      shutdown (GPOINTER_TO_INT (fd), SHUT_RDWR);
      while (recv (GPOINTER_TO_INT (fd), bytes, sizeof bytes, MSG_DONTWAIT) > 0)
        continue;
    }
}

static int
on_timer_change (CURLM *multi, long timeout_ms, void *data)
{
  BjHttp *h = data;

  (void)multi;
  ev_timer_stop (h->loop, &h->timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&h->timer, (double)timeout_ms / 1000.0, 0);
  ev_timer_start (h->loop, &h->timer);
  return 0;
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  Socket *s = w->data;
  int flags = 0;

  (void)loop;
  if (events & EV_READ)
    flags |= CURL_CSELECT_IN;
  if (events & EV_WRITE)
    flags |= CURL_CSELECT_OUT;
  run_socket_action (s->http, s->fd, flags);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)loop;
  (void)events;
  // libcurl chooses the connections of new requests in this call.
  disable_foreign_conns (w->data);
  run_socket_action (w->data, CURL_SOCKET_TIMEOUT, 0);
}

static void
on_stall_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  BjHttp *h = w->data;
  GList *all = g_hash_table_get_keys (h->calls);
  BjTime now = bj_clock_now ();

  (void)loop;
  (void)events;
  for (GList *i = all; i != NULL; i = i->next)
    if (g_hash_table_contains (h->calls, i->data) && is_stalled (i->data, now))
      {
        if (((BjHttpCall *)i->data)->received_at > 0)
          reject_response (i->data, "no part of its head or body arrived for too long");
        finish_call (i->data, CURLE_OPERATION_TIMEDOUT);
      }
  g_list_free (all);
}

static bool
is_stalled (const BjHttpCall *c, BjTime now)
{
  if (c->options.stall_ms <= 0 || c->cancelled)
    return false;
  if (c->received_at > 0)
    return now - c->received_at > c->options.stall_ms;
  return now - c->started > c->options.timeout_ms;
}

static void
run_socket_action (BjHttp *h, curl_socket_t fd, int events)
{
  int running;

  h->callback_depth++;
  curl_multi_socket_action (h->multi, fd, events, &running);
  h->callback_depth--;
  finish_completed_calls (h);
  while (h->oversized_calls->len > 0)
    {
      BjHttpCall *c = g_ptr_array_steal_index_fast (h->oversized_calls, 0);

      reject_response (c, "its chunk headers are too large");
      finish_call (c, CURLE_WRITE_ERROR);
    }
  while (h->cancelled_calls->len > 0)
    free_call (g_ptr_array_steal_index_fast (h->cancelled_calls, h->cancelled_calls->len - 1));
}

static void
finish_completed_calls (BjHttp *h)
{
  CURLMsg *m;
  int left;
  char *data;

  while ((m = curl_multi_info_read (h->multi, &left)) != NULL)
    {
      if (m->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, &data);
      finish_call ((BjHttpCall *)data, m->data.result);
    }
}

static void
finish_call (BjHttpCall *c, CURLcode result)
{
  CURLcode code = check_head (c, result);
  BjStatus s = to_status (code, c);
  bool sent = was_sent (c);
  BjHttpOptions o = c->options;

  if (c->cancelled)
    return;
  if (is_malformed (code))
    reject_response (c, curl_easy_strerror (code));
  if (s == BJ_OK && !c->is_head_reported)
    report_head (c);
  if (c->cancelled)
    return;
  free_call (c);
  o.done (o.data, s, sent);
}

static size_t
on_header (char *data, size_t size, size_t n, void *call)
{
  BjHttpCall *c = call;
  BjStr line = { data, size * n };
  const char *colon = memchr (line.data, ':', line.len);
  const char *reason;
  BjStr name;
  BjStr value;

  if (c->cancelled)
    return 0;
  c->received_at = bj_clock_now ();
  c->n_head += line.len;
  if (c->n_head > HEAD_MAX)
    return reject_response (c, "its head has no end");
  reason = bj_response_read (&c->response, line);
  if (reason != NULL)
    return reject_response (c, reason);
  if (colon == NULL)
    return line.len;
  name = (BjStr){ line.data, (size_t)(colon - line.data) };
  value = (BjStr){ colon + 1, line.len - name.len - 1 };
  while (value.len > 0 && g_ascii_isspace (value.data[0]))
    value = (BjStr){ value.data + 1, value.len - 1 };
  while (value.len > 0 && g_ascii_isspace (value.data[value.len - 1]))
    value.len--;
  read_header (c, name, value);
  return line.len;
}

static size_t
on_body (char *data, size_t size, size_t n, void *call)
{
  BjHttpCall *c = call;
  size_t taken;

  if (c->cancelled)
    return 0;
  c->received_at = bj_clock_now ();
  c->n_body += size * n;
  if (c->options.body_max > 0 && c->n_body > c->options.body_max)
    return reject_response (c, "its body is too large");
  if (!c->is_head_reported)
    report_head (c);
  if (c->cancelled)
    return 0;
  taken = c->options.body_part (c->options.data, (BjStr){ data, size * n });
  if (c->cancelled)
    return 0;
  return taken;
}

// Counts the bytes of a body before libcurl decodes them: chunk extensions reach no other callback.
static int
on_debug (CURL *easy, curl_infotype type, char *data, size_t size, void *call)
{
  BjHttpCall *c = call;
  size_t limit = ENCODED_FACTOR_MAX * c->options.body_max;
  bool was_over = c->n_encoded > limit;

  (void)easy;
  (void)data;
  if (type != CURLINFO_DATA_IN || c->cancelled)
    return 0;
  c->n_encoded += size;
  if (c->n_encoded > limit && !was_over)
    g_ptr_array_add (c->http->oversized_calls, c);
  return 0;
}

// Returns 0, which makes libcurl close the connection.
static size_t
reject_response (const BjHttpCall *c, const char *reason)
{
  n_rejected.value++;
  bj_log (BJ_LOG_WARNING,
          "LINK",
          "Response to %s %s rejected after %zu bytes of head and %zu of body: %s; closing the "
          "connection.",
          c->options.method,
          c->url,
          c->n_head,
          c->n_body,
          reason);
  return 0;
}

static void
report_head (BjHttpCall *c)
{
  long status = 0;

  c->is_head_reported = true;
  curl_easy_getinfo (c->easy, CURLINFO_RESPONSE_CODE, &status);
  c->head.status = (int)status;
  c->head.outcome = bj_str (c->outcome);
  if (c->options.head != NULL)
    c->options.head (c->options.data, &c->head);
}

static void
read_header (BjHttpCall *c, BjStr name, BjStr value)
{
  int64_t number = 0;
  const char *key = name.data;

  if (name.len == 10 && strncasecmp (key, "Bj-Outcome", 10) == 0)
    g_strlcpy (c->outcome, value.data, MIN (value.len + 1, sizeof c->outcome));
  else if (name.len == 17 && strncasecmp (key, "Bj-Retry-After-Ms", 17) == 0
           && bj_str_int (value, &number))
    c->head.retry_after_ms = (double)number;
  else if (name.len == 16 && strncasecmp (key, "Bj-Attempts-Left", 16) == 0
           && bj_str_int (value, &number))
    c->head.attempts_left = (int)number;
  else if (c->options.number_header != NULL && bj_header_name_equal (name, c->options.number_header)
           && bj_str_int (value, &number))
    c->head.number = number;
}

static void
set_method (BjHttpCall *c)
{
  bool is_get = strcmp (c->options.method, "GET") == 0;

  if (strcmp (c->options.method, "HEAD") == 0)
    curl_easy_setopt (c->easy, CURLOPT_NOBODY, 1L);
  if (c->body.len > 0 || !is_get)
    {
      curl_easy_setopt (c->easy, CURLOPT_POSTFIELDS, c->body.data);
      curl_easy_setopt (c->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)c->body.len);
    }
  curl_easy_setopt (c->easy, CURLOPT_CUSTOMREQUEST, c->options.method);
}

static void
set_headers (BjHttpCall *c)
{
  c->headers = curl_slist_append (c->headers, "Expect:");
  for (int i = 0; c->options.headers != NULL && c->options.headers[i] != NULL; i++)
    c->headers = curl_slist_append (c->headers, c->options.headers[i]);
  curl_easy_setopt (c->easy, CURLOPT_HTTPHEADER, c->headers);
}

static void
free_call (BjHttpCall *c)
{
  BjHttp *h = c->http;

  update_pool_state (c);
  g_hash_table_remove (h->calls, c);
  g_ptr_array_remove_fast (h->oversized_calls, c);
  if (c->options.stall_ms > 0 && --h->n_stall_calls == 0)
    ev_timer_stop (h->loop, &h->stall_timer);
  curl_multi_remove_handle (h->multi, c->easy);
  curl_easy_cleanup (c->easy);
  curl_slist_free_all (c->headers);
  bj_response_clear (&c->response);
  bj_str_free (&c->body);
  g_free (c->url);
  g_free (c);
}

static bool
use_new_connection (BjHttpCall *c)
{
  BjHttp *h = c->http;

  if (h->pool == POOL_DISTRUSTED && c->started - h->distrusted_at > IDLE_MAX_S * 1000.0)
    h->pool = POOL_TRUSTED;
  if (h->pool == POOL_PROBED && h->probe == NULL)
    h->probe = c;
  return h->probe == c || h->pool == POOL_DISTRUSTED;
}

static bool
was_reused (const BjHttpCall *c)
{
  long n_connects = 0;

  curl_easy_getinfo (c->easy, CURLINFO_NUM_CONNECTS, &n_connects);
  return n_connects == 0;
}

static void
update_pool_state (BjHttpCall *c)
{
  BjHttp *h = c->http;
  bool is_probe = h->probe == c;

  if (is_probe)
    h->probe = NULL;
  if (is_probe && c->is_head_reported)
    {
      h->pool = POOL_DISTRUSTED;
      h->distrusted_at = bj_clock_now ();
      bj_log (BJ_LOG_INFO,
              "LINK",
              "A new connection got a response after a reused one did not; idle ones are "
              "not reused.");
    }
  else if (is_probe || (c->is_head_reported && was_reused (c) && h->pool == POOL_PROBED))
    h->pool = POOL_TRUSTED;
  else if (!c->is_head_reported && h->pool == POOL_TRUSTED && was_reused (c)
           && bj_clock_now () - c->started >= SUSPECT_SILENCE_MS)
    h->pool = POOL_PROBED;
}

// Errors with which libcurl itself rejects a response.
static bool
is_malformed (CURLcode code)
{
  // libcurl reports a header line above its own limit as lack of memory.
  return code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_UNSUPPORTED_PROTOCOL
         || code == CURLE_BAD_CONTENT_ENCODING || code == CURLE_OUT_OF_MEMORY;
}

// libcurl takes a head that ends with its connection for a complete response.
static CURLcode
check_head (const BjHttpCall *c, CURLcode code)
{
  bool is_whole = c->response.part == BJ_RESPONSE_BODY;

  return code == CURLE_OK && !is_whole ? CURLE_WEIRD_SERVER_REPLY : code;
}

static BjStatus
to_status (CURLcode code, const BjHttpCall *c)
{
  switch (code)
    {
    case CURLE_OK:
      return BJ_OK;
    case CURLE_OPERATION_TIMEDOUT:
      return c->is_head_reported ? BJ_E_BROKEN : BJ_E_DEADLINE;
    default:
      return c->is_head_reported ? BJ_E_BROKEN : BJ_E_LOST;
    }
}

// Returns whether request bytes may have reached the server.
static bool
was_sent (const BjHttpCall *c)
{
  long sent = 0;

  curl_easy_getinfo (c->easy, CURLINFO_REQUEST_SIZE, &sent);
  return sent > 0;
}
