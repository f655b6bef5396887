// Usage: sends and receives the reports of account usage between daemons. A timer runs only while
// an account has a rate. The quota module decides what is sent to whom.

#include "usage.h"
#include "kernel.h"
#include <ev.h>

#define MEMBERS_INTERVAL_MS 100 // between two looks for changes of the membership
#define ALONE_MS 3000           // after the start, without seeds, other domains and members

struct BjUsage
{
  BjDaemon *daemon;
  BjQuota *quota;
  ev_timer timer;
  BjTime started;
  BjTime next_members;
  uint64_t members_hash; // of names and states that the quota module knows
};

static void on_timer (struct ev_loop *loop, ev_timer *w, int events);
static void update_members (BjUsage *u, BjTime now);

static BjCounter n_sent
    = { "account_usage_sent_total", "Reports of account usage sent to collectors.", 0 };
static BjCounter n_sent_bytes = { "account_usage_sent_bytes_total",
                                  "Bytes of reports of account usage and of replies to them.",
                                  0 };
static BjCounter n_rejected
    = { "account_usage_rejected_total", "Malformed reports of account usage from peers.", 0 };

BjUsage *
bj_usage_new (BjDaemon *d)
{
  BjUsage *u = g_new0 (BjUsage, 1);

  bj_metric_register (&n_sent);
  bj_metric_register (&n_sent_bytes);
  bj_metric_register (&n_rejected);
  u->daemon = d;
  u->started = bj_clock_now ();
  u->quota = bj_quota_new (d->settings.name, d->settings.domain, d->start, u->started);
  ev_timer_init (&u->timer, on_timer, 0, BJ_QUOTA_TICK_MS / 1000.0);
  u->timer.data = u;
  return u;
}

void
bj_usage_free (BjUsage *u)
{
  if (u == NULL)
    return;
  ev_timer_stop (u->daemon->loop, &u->timer);
  bj_quota_free (u->quota);
  g_free (u);
}

void
bj_usage_configure (BjUsage *u, const BjAccount *const *accounts, int n)
{
  BjTime now = bj_clock_now ();

  bj_quota_configure (u->quota, now, accounts, n);
  if (!bj_quota_is_needed (u->quota))
    ev_timer_stop (u->daemon->loop, &u->timer);
  else if (!ev_is_active (&u->timer))
    {
      update_members (u, now);
      ev_timer_start (u->daemon->loop, &u->timer);
    }
}

BjQuota *
bj_usage_quota (BjUsage *u)
{
  return u->quota;
}

bool
bj_usage_take_report (BjUsage *u, BjStr peer, BjStr report, msgpack_sbuffer *reply)
{
  if (u == NULL || report.len == 0)
    return false;
  // Also while no account has a rate here: the peer may have a newer configuration, and the
  // membership is not followed then.
  if (!ev_is_active (&u->timer))
    update_members (u, bj_clock_now ());
  if (!bj_quota_take_report (u->quota, bj_clock_now (), peer, report, reply))
    {
      n_rejected.value++;
      return false;
    }
  n_sent_bytes.value += reply->size;
  return true;
}

void
bj_usage_take_reply (BjUsage *u, BjStr peer, BjStr totals, bool reads_usage)
{
  // A PONG to a PING without a report has no totals either.
  if (u == NULL || !bj_quota_is_needed (u->quota) || (reads_usage && totals.len == 0))
    return;
  if (!bj_quota_take_totals (u->quota, bj_clock_now (), peer, totals))
    n_rejected.value++;
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  BjUsage *u = w->data;
  BjDaemon *d = u->daemon;
  BjTime now = bj_clock_now ();
  msgpack_sbuffer out;
  BjStr to;

  (void)loop;
  (void)events;
  update_members (u, now);
  msgpack_sbuffer_init (&out);
  while (bj_quota_next_report (u->quota, now, &to, &out))
    {
      BjPeer *p = bj_kernel_find_peer (d->kernel, to);

      if (p != NULL && !p->is_self && !p->is_removed)
        {
          n_sent.value++;
          n_sent_bytes.value += out.size;
          bj_links_send_usage (d->links, p, (BjStr){ out.data, out.size });
        }
      msgpack_sbuffer_clear (&out);
    }
  msgpack_sbuffer_destroy (&out);
}

static void
update_members (BjUsage *u, BjTime now)
{
  GArray *all;
  const BjMember *m;
  bool is_alone = u->daemon->settings.n_seeds == 0 && u->daemon->settings.n_domains <= 1
                  && now - u->started > ALONE_MS;
  uint64_t hash = is_alone;

  if (now < u->next_members || u->daemon->members == NULL)
    return;
  u->next_members = now + MEMBERS_INTERVAL_MS;
  all = g_array_new (FALSE, FALSE, sizeof (BjQuotaMember));
  for (guint i = 0; (m = bj_members_at (u->daemon->members, i)) != NULL; i++)
    {
      BjQuotaMember q = { m->report.name, m->report.domain, m->state != BJ_MEMBER_DEAD };

      if (m->state == BJ_MEMBER_LEFT)
        continue;
      hash = hash * 31 + bj_str_hash (q.name) + q.is_up;
      g_array_append_val (all, q);
    }
  if (hash != u->members_hash)
    bj_quota_set_members (
        u->quota, (const BjQuotaMember *)(void *)all->data, (int)all->len, is_alone);
  u->members_hash = hash;
  g_array_free (all, TRUE);
}
