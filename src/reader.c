// Reader: brings the configuration in force from the platform and from peers.

#include "internal.h"
#include <ev.h>

#define CONFIG_NAME "config/current"
#define RETRY_MS 500 // after a failed call to the platform

struct BjReader
{
  BjDaemon *daemon;
  ev_timer retry;
  BjStr version; // of the object last read, empty before
  int64_t asked; // highest number asked from a peer
};

static void on_retry (struct ev_loop *loop, ev_timer *w, int events);
static void read_on (BjReader *r);
static void on_reply (void *data, const BjPlatformReply *reply);

BjReader *
bj_reader_new (BjDaemon *d)
{
  BjReader *r = g_new0 (BjReader, 1);

  r->daemon = d;
  ev_timer_init (&r->retry, on_retry, 0, 0);
  r->retry.data = r;
  ev_timer_start (d->loop, &r->retry);
  return r;
}

void
bj_reader_free (BjReader *r)
{
  ev_timer_stop (r->daemon->loop, &r->retry);
  bj_str_free (&r->version);
  g_free (r);
}

void
bj_reader_peer_has (BjReader *r, BjPeer *p)
{
  const BjConfig *c = bj_kernel_config (r->daemon->kernel);
  int64_t own = c != NULL ? c->number : 0;

  if (p == NULL || p->is_self || p->report.config_number <= own
      || p->report.config_number <= r->asked)
    return;
  r->asked = p->report.config_number;
  bj_links_ask_config (r->daemon->links, p, p->report.config_number);
}

static void
on_retry (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)loop;
  (void)events;
  read_on (w->data);
}

static void
read_on (BjReader *r)
{
  BjPlatform *p = r->daemon->platform;

  r->asked = 0;
  if (r->version.len == 0)
    p->ops->get (p, CONFIG_NAME, on_reply, r);
  else
    p->ops->watch (p, CONFIG_NAME, r->version, on_reply, r);
}

static void
on_reply (void *data, const BjPlatformReply *reply)
{
  BjReader *r = data;

  if (reply->code == BJ_OK)
    {
      bj_str_set (&r->version, reply->version);
      bj_daemon_config (
          r->daemon, bj_str (json_object_to_json_string_ext (reply->spec, JSON_C_TO_STRING_PLAIN)));
    }
  if (reply->code == BJ_E_GONE)
    bj_str_set (&r->version, BJ_STR_NULL);
  if (reply->code == BJ_OK || reply->code == BJ_E_GONE
      || (reply->code == BJ_E_NOT_FOUND && r->version.len > 0))
    {
      read_on (r);
      return;
    }
  ev_timer_set (&r->retry, RETRY_MS / 1000.0, 0);
  ev_timer_start (r->daemon->loop, &r->retry);
}
