// Embeds the claim logic without sockets: two daemons claim the same key in a store in memory.

#include "internal.h"
#include <stdio.h>

typedef struct
{
  BjClaimHost host; // must be first: callbacks cast it to Claimant
  const char *name; // of the daemon
  BjClaims *claims;
  bool wants_read;
  bool wants_write;
  struct json_object *new_spec;
  char condition[32]; // version that the write expects
} Claimant;

static struct json_object *stored_spec; // object in the store, NULL when absent
static int stored_version;

static void
request_read (BjClaimHost *h, int shard)
{
  (void)shard;
  ((Claimant *)h)->wants_read = true;
}

static void
request_write (BjClaimHost *h, int shard, BjStr condition, struct json_object *spec)
{
  Claimant *c = (Claimant *)h;

  (void)shard;
  c->wants_write = true;
  c->new_spec = json_object_get (spec);
  g_snprintf (c->condition, sizeof c->condition, "%.*s", BJ_STR_ARG (condition));
}

static void
print_decision (BjClaimHost *h, void *data, const BjClaimResult *r)
{
  (void)data;
  printf ("%s: %s\n",
          ((Claimant *)h)->name,
          r->code == BJ_OK ? "may run it" : bj_status_name (r->code));
}

static const BjClaimHostOps ops = { request_read, request_write, print_decision };

// Carries out one pending store call of the claimant, as the platform would.
static void
serve_store_call (Claimant *c)
{
  char text[32];
  BjPlatformReply r = { .code = stored_spec != NULL ? BJ_OK : BJ_E_NOT_FOUND, .spec = stored_spec };

  g_snprintf (text, sizeof text, stored_version > 0 ? "%d" : "", stored_version);
  r.version = bj_str (text);
  if (c->wants_read)
    {
      c->wants_read = false;
      bj_claims_on_read (c->claims, 0, 0, &r);
      return;
    }
  if (!c->wants_write)
    return;
  c->wants_write = false;
  if (g_strcmp0 (c->condition, text) == 0)
    {
      json_object_put (stored_spec);
      stored_spec = c->new_spec;
      g_snprintf (text, sizeof text, "%d", ++stored_version);
      r = (BjPlatformReply){ .code = BJ_OK, .version = bj_str (text), .spec = stored_spec };
    }
  else
    {
      json_object_put (c->new_spec);
      r = (BjPlatformReply){ .code = BJ_E_CONFLICT };
    }
  bj_claims_on_written (c->claims, 0, 0, &r);
}

int
main (void)
{
  Claimant claimants[] = { { .name = "north-a/1" }, { .name = "south-a/1" } };
  BjClaim claim = { .id = BJ_STR ("017f22e2-79b0-7cc3-98c4-dc0c0c07398f@orders") };

  bj_key_time (BJ_STR ("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), &claim.order);
  for (size_t i = 0; i < G_N_ELEMENTS (claimants); i++)
    {
      BjClaimsOptions o = BJ_CLAIMS_OPTIONS_DEFAULT;

      claimants[i].host.ops = &ops;
      o.host = &claimants[i].host;
      o.claimant = bj_str (claimants[i].name);
      o.shards = 1;
      claimants[i].claims = bj_claims_new (&o);
      claim.sequence = bj_claims_sequence (claimants[i].claims);
      bj_claims_acquire (claimants[i].claims, 0, &claim, &claimants[i]);
    }
  // Both read the absent object and both write. The second write conflicts, and its claimant reads
  // again.
  for (int i = 0; i < 4; i++)
    for (size_t j = 0; j < G_N_ELEMENTS (claimants); j++)
      serve_store_call (&claimants[j]);
  for (size_t i = 0; i < G_N_ELEMENTS (claimants); i++)
    bj_claims_free (claimants[i].claims);
  json_object_put (stored_spec);
  return 0;
}
