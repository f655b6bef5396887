// Table of known daemons, by name and by service.

#include "access.h"

#define SERVICE_TIME_WEIGHT 0.05    // weight of the newest sample in the smoothed response time
#define RESPONSE_LOAD_VALID_MS 1000 // a load from a response overrides gossip for this long

static void update_service (BjKernel *k, BjPeer *p);
static bool is_newer (const BjPeerReport *a, const BjPeerReport *b);
static void leave_service (BjPeer *p);

void
bj_peer_report_copy (BjPeerReport *to, const BjPeerReport *from)
{
  BjPeerReport copy = *from;

  copy.name = bj_str_dup (from->name);
  copy.domain = bj_str_dup (from->domain);
  copy.region = bj_str_dup (from->region);
  copy.service = bj_str_dup (from->service);
  copy.host = bj_str_dup (from->host);
  copy.gossip_host = bj_str_dup (from->gossip_host);
  bj_peer_report_clear (to);
  *to = copy;
}

void
bj_peer_report_clear (BjPeerReport *r)
{
  bj_str_free (&r->name);
  bj_str_free (&r->domain);
  bj_str_free (&r->region);
  bj_str_free (&r->service);
  bj_str_free (&r->host);
  bj_str_free (&r->gossip_host);
}

bool
bj_peer_is_eligible (const BjPeer *p, const BjCall *c)
{
  if (p->report.draining || p->is_unreachable || p->report.service.len == 0)
    return false;
  for (int i = 0; i < c->n_tried; i++)
    if (c->tried[i] == p)
      return false;
  return true;
}

void
bj_kernel_update_peer (BjKernel *k, BjTime now, const BjPeerReport *r)
{
  BjPeer *p = bj_kernel_find_peer (k, r->name);

  if (p != NULL && p->is_self)
    return;
  if (p != NULL && !p->is_removed && !is_newer (r, &p->report))
    return;
  bj_access_note_config (k, now, r->config_number);
  if (p == NULL || p->is_removed)
    bj_log (BJ_LOG_INFO,
            "MEMBER",
            "Peer %.*s joined in domain %.*s.",
            BJ_STR_ARG (r->name),
            BJ_STR_ARG (r->domain));
  if (p == NULL)
    {
      p = g_new0 (BjPeer, 1);
      bj_peer_report_copy (&p->report, r);
      g_hash_table_insert (k->peers, &p->report.name, p);
    }
  else
    {
      // The name is the key in the table and does not change.
      BjStr name = p->report.name;
      BjLoad load
          = { p->report.limit, p->report.in_flight, p->report.queued, p->report.failure_permille };
      bool keeps_load = !p->is_removed && p->report.incarnation == r->incarnation
                        && now - p->load_from_response_at < RESPONSE_LOAD_VALID_MS;

      if (p->is_removed || p->report.incarnation != r->incarnation)
        p->upstream_load = (BjUpstreamLoad){ 0 };
      p->report.name = bj_str_dup (name);
      bj_peer_report_copy (&p->report, r);
      bj_str_free (&p->report.name);
      p->report.name = name;
      if (keeps_load)
        bj_peer_update_load (p, p->load_from_response_at, &load);
    }
  p->is_removed = false;
  if (now - p->load_from_response_at >= RESPONSE_LOAD_VALID_MS)
    {
      p->reported = now;
      p->sent_since_report = 0;
    }
  update_service (k, p);
}

void
bj_kernel_remove_peer (BjKernel *k, BjTime now, BjStr name)
{
  BjPeer *p = bj_kernel_find_peer (k, name);

  (void)now;
  if (p == NULL || p->is_self)
    return;
  p->is_removed = true;
  leave_service (p);
}

void
bj_kernel_each_removed_peer (BjKernel *k, void (*fn) (BjPeer *p, void *data), void *data)
{
  GList *all = g_hash_table_get_values (k->peers);

  for (GList *l = all; l != NULL; l = l->next)
    if (((BjPeer *)l->data)->is_removed && ((BjPeer *)l->data)->own_in_flight == 0)
      fn (l->data, data);
  g_list_free (all);
}

void
bj_kernel_free_peer (BjKernel *k, BjPeer *p)
{
  g_hash_table_remove (k->peers, &p->report.name);
}

BjPeer *
bj_kernel_find_peer (BjKernel *k, BjStr name)
{
  return g_hash_table_lookup (k->peers, &name);
}

void
bj_kernel_each_peer (BjKernel *k, void (*fn) (BjPeer *p, void *data), void *data)
{
  GList *all = g_hash_table_get_values (k->peers);

  for (GList *l = all; l != NULL; l = l->next)
    if (!((BjPeer *)l->data)->is_removed)
      fn (l->data, data);
  g_list_free (all);
}

BjLoad
bj_kernel_load (BjKernel *k, BjTime now)
{
  return (BjLoad){
    .limit = bj_guard_capacity (k, now),
    .in_flight = k->guard.in_flight,
    .queued = bj_guard_backlog (k, now),
    .failure_permille = bj_health_failure_permille (k, now),
  };
}

// Stores a load that came with a response, which is more recent than one from gossip.
void
bj_peer_update_load (BjPeer *p, BjTime now, const BjLoad *l)
{
  if (l->limit <= 0)
    return;
  p->report.limit = l->limit;
  p->report.in_flight = l->in_flight;
  p->report.queued = l->queued;
  p->report.failure_permille = l->failure_permille;
  p->reported = now;
  p->load_from_response_at = now;
  p->sent_since_report = 0;
}

void
bj_peer_add_response_time (BjPeer *p, double ms)
{
  if (p->service_ms <= 0)
    p->service_ms = ms;
  p->service_ms += (ms - p->service_ms) * SERVICE_TIME_WEIGHT;
}

void
bj_kernel_get_self_report (BjKernel *k, BjTime now, BjPeerReport *r)
{
  BjPeerReport *self = &k->self->report;

  BjLoad load = bj_kernel_load (k, now);

  self->limit = load.limit;
  self->in_flight = load.in_flight;
  self->queued = load.queued;
  self->failure_permille = load.failure_permille;
  self->level = (int)k->level.own_level;
  self->draining = k->guard.draining;
  self->config_number = k->config != NULL ? k->config->number : 0;
  k->self->reported = now;
  *r = *self;
}

void
bj_kernel_set_store_access (BjKernel *k, BjStoreAccess access)
{
  k->self->report.store_access = access;
}

guint
bj_str_key_hash (gconstpointer s)
{
  return (guint)bj_str_hash (*(const BjStr *)s);
}

gboolean
bj_str_key_equal (gconstpointer a, gconstpointer b)
{
  return bj_str_equal (*(const BjStr *)a, *(const BjStr *)b);
}

BjService *
bj_kernel_get_service (BjKernel *k, BjStr name)
{
  BjService *s = g_hash_table_lookup (k->services, &name);

  if (s != NULL)
    return s;
  s = g_new0 (BjService, 1);
  s->name = bj_str_dup (name);
  s->peers = g_ptr_array_new ();
  g_hash_table_insert (k->services, &s->name, s);
  bj_service_configure (k, s);
  return s;
}

void
bj_service_configure (BjKernel *k, BjService *s)
{
  const BjServiceConfig *old = s->config;

  s->config = bj_config_service (k->config, s->name);
  if (s->config == NULL || (old != NULL && s->router != NULL && old->number == s->config->number))
    return;
  if (s->router != NULL)
    s->router->ops->destroy (s->router);
  if (s->retry != NULL)
    s->retry->ops->destroy (s->retry);
  s->router = s->config->router->create ();
  s->retry = s->config->retry->create (&s->config->retry_options);
}

void
bj_service_free (gpointer data)
{
  BjService *s = data;

  if (s->router != NULL)
    s->router->ops->destroy (s->router);
  if (s->retry != NULL)
    s->retry->ops->destroy (s->retry);
  g_ptr_array_free (s->peers, TRUE);
  bj_str_free (&s->name);
  g_free (s);
}

void
bj_peer_free (gpointer data)
{
  BjPeer *p = data;

  bj_peer_report_clear (&p->report);
  g_free (p);
}

static void
update_service (BjKernel *k, BjPeer *p)
{
  BjService *s = p->report.service.len > 0 ? bj_kernel_get_service (k, p->report.service) : NULL;

  if (s == p->service)
    return;
  leave_service (p);
  p->service = s;
  if (s != NULL)
    g_ptr_array_add (s->peers, p);
}

static bool
is_newer (const BjPeerReport *a, const BjPeerReport *b)
{
  if (a->incarnation != b->incarnation)
    return a->incarnation > b->incarnation;
  if (a->version != b->version)
    return a->version > b->version;
  return a->load_version > b->load_version;
}

static void
leave_service (BjPeer *p)
{
  if (p->service != NULL)
    g_ptr_array_remove (p->service->peers, p);
  p->service = NULL;
}
