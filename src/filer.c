// Makes the store calls of one filing on the event loop, one at a time.

#include "internal.h"
#include <ev.h>

struct BjFiler
{
  struct ev_loop *loop;
  BjPlatform *platform;
  BjFiling *filing;
  ev_timer pause;
  BjFilerDone done;
  void *data;
};

static void schedule_call (BjFiler *f);
static void on_pause_end (struct ev_loop *loop, ev_timer *w, int events);
static void on_reply (void *data, const BjPlatformReply *reply);

BjFiler *
bj_filer_new (struct ev_loop *loop, BjPlatform *p, BjFiling *filing, BjFilerDone done, void *data)
{
  BjFiler *f = g_new0 (BjFiler, 1);

  f->loop = loop;
  f->platform = p;
  f->filing = filing;
  f->done = done;
  f->data = data;
  ev_timer_init (&f->pause, on_pause_end, 0, 0);
  f->pause.data = f;
  schedule_call (f);
  return f;
}

void
bj_filer_free (BjFiler *f)
{
  if (f == NULL)
    return;
  ev_timer_stop (f->loop, &f->pause);
  f->platform->ops->cancel_requests (f->platform, f);
  bj_filing_free (f->filing);
  g_free (f);
}

static void
schedule_call (BjFiler *f)
{
  BjStoreCall c;

  bj_filing_next (f->filing, &c);
  ev_timer_set (&f->pause, c.pause_ms / 1000.0, 0);
  ev_timer_start (f->loop, &f->pause);
}

static void
on_pause_end (struct ev_loop *loop, ev_timer *w, int events)
{
  BjFiler *f = w->data;
  struct json_object *spec;
  BjStoreCall c;

  (void)loop;
  (void)events;
  if (!bj_filing_next (f->filing, &c))
    {
      f->done (f->data, f->filing);
      return;
    }
  if (c.action == BJ_STORE_READ)
    {
      f->platform->ops->get (f->platform, c.name, on_reply, f);
      return;
    }
  spec = json_tokener_parse (c.spec.data);
  f->platform->ops->put (f->platform, c.name, spec, c.version, on_reply, f);
  json_object_put (spec);
}

static void
on_reply (void *data, const BjPlatformReply *reply)
{
  BjFiler *f = data;
  BjStoreReply r = { .code = reply->code, .version = reply->version };

  if (reply->code == BJ_OK && reply->spec != NULL)
    r.spec = bj_str (json_object_to_json_string_ext (reply->spec, JSON_C_TO_STRING_PLAIN));
  bj_filing_reply (f->filing, &r);
  schedule_call (f);
}
