// Embeds the claims without a socket: two claimants, one object in memory, one key.

#include "internal.h"
#include <stdio.h>

typedef struct
{
  BjClaimHost host; // first
  const char *name;
  BjClaims *claims;
  bool wants_read;
  bool wants_write;
  struct json_object *written;
  char version[32]; // condition of the write
} Claimant;

static struct json_object *object; // in the store, NULL when absent
static int version;

static void
get (BjClaimHost *h, int shard)
{
  (void)shard;
  ((Claimant *)h)->wants_read = true;
}

static void
put (BjClaimHost *h, int shard, BjStr condition, struct json_object *spec)
{
  Claimant *c = (Claimant *)h;

  (void)shard;
  c->wants_write = true;
  c->written = json_object_get (spec);
  g_snprintf (c->version, sizeof c->version, "%.*s", BJ_STR_ARG (condition));
}

static void
decided (BjClaimHost *h, void *data, const BjClaimResult *r)
{
  (void)data;
  printf ("%s: %s\n",
          ((Claimant *)h)->name,
          r->code == BJ_OK ? "may run it" : bj_status_name (r->code));
}

static const BjClaimHostOps ops = { get, put, decided };

// Does one store call of the claimant, as the platform would.
static void
serve (Claimant *c)
{
  char text[32];
  BjPlatformReply r = { .code = object != NULL ? BJ_OK : BJ_E_NOT_FOUND, .spec = object };

  g_snprintf (text, sizeof text, version > 0 ? "%d" : "", version);
  r.version = bj_str (text);
  if (c->wants_read)
    {
      c->wants_read = false;
      bj_claims_got (c->claims, 0, 0, &r);
      return;
    }
  if (!c->wants_write)
    return;
  c->wants_write = false;
  if (g_strcmp0 (c->version, text) == 0)
    {
      json_object_put (object);
      object = c->written;
      g_snprintf (text, sizeof text, "%d", ++version);
      r = (BjPlatformReply){ .code = BJ_OK, .version = bj_str (text), .spec = object };
    }
  else
    {
      json_object_put (c->written);
      r = (BjPlatformReply){ .code = BJ_E_CONFLICT };
    }
  bj_claims_put (c->claims, 0, 0, &r);
}

int
main (void)
{
  Claimant all[] = { { .name = "north-a/1" }, { .name = "south-a/1" } };
  BjClaim claim = { .id = BJ_STR ("017f22e2-79b0-7cc3-98c4-dc0c0c07398f@orders") };

  bj_key_time (BJ_STR ("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), &claim.order);
  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    {
      BjClaimsOptions o = BJ_CLAIMS_OPTIONS_DEFAULT;

      all[i].host.ops = &ops;
      o.host = &all[i].host;
      o.claimant = bj_str (all[i].name);
      o.shards = 1;
      all[i].claims = bj_claims_new (&o);
      claim.sequence = bj_claims_sequence (all[i].claims);
      bj_claims_ask (all[i].claims, 0, &claim, &all[i]);
    }
  // Both read the empty object, both write; one loses its race and reads again.
  for (int i = 0; i < 4; i++)
    for (size_t j = 0; j < G_N_ELEMENTS (all); j++)
      serve (&all[j]);
  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    bj_claims_free (all[i].claims);
  json_object_put (object);
  return 0;
}
