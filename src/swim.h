// What the modules of the membership share: the table of members and the state of the protocol.

#pragma once

#include "internal.h"
#include "kernel.h"

#define BJ_SWIM_PROBES_MAX 32
#define BJ_SWIM_SEEDS_MAX 128

typedef struct
{
  GHashTable *by_name; // BjStr* in BjMember to BjMember*
  GPtrArray *all;      // BjMember*
  uint64_t buckets[BJ_DIGEST_BUCKETS];
  int n_up;       // alive or suspected
  BjTime changed; // last change of the digest
} BjRoster;

typedef struct
{
  uint64_t sequence; // of the ping, 0 when free
  BjStr target;      // owned name; empty when the ping went to an address only
  BjStr asked_by;    // owned name, empty for a probe of our own
  uint64_t asked_sequence;
  BjTime sent;
  bool is_relayed; // others were asked
} BjProbe;

struct BjSwim
{
  BjSwimHost *host;
  GRand *rand;
  BjRoster roster;
  BjMember *self;
  BjAddress bound;  // where the socket listens, owned
  BjAddress *seeds; // owned
  int n_seeds;
  int told_failing; // as last told to all domains
  BjTime told_failing_at;
  int n_seeds_probed; // the first ones, at least once
  uint64_t sequence;
  BjProbe probes[BJ_SWIM_PROBES_MAX];
  GPtrArray *round; // BjStr* names of the own domain still to be probed in this round, owned
  BjTime started;
  BjTime last_tick;
  BjTime next_probe;
  BjTime next_departed;
  BjTime next_seed;
  BjTime next_load;
  BjTime last_sync;
  BjTime told_conflict;
  double sync_bytes; // that may be sent for anti-entropy now
  double news_bytes; // that may be sent for news between probes now
  bool leaving;
};

// Roster
void bj_roster_init (BjRoster *r);
void bj_roster_clear (BjRoster *r);
BjMember *bj_roster_find (const BjRoster *r, BjStr name);                     // NULL when unknown
BjMember *bj_roster_add (BjRoster *r, BjTime now, const BjUpdate *u);         // Full updates only
void bj_roster_set (BjRoster *r, BjTime now, BjMember *m, const BjUpdate *u); // Full or state
void bj_roster_touch (BjRoster *r, BjTime now, BjMember *m); // After its report or state changed
void bj_roster_forget (BjRoster *r,
                       BjTime now,
                       BjTime departed_ms,
                       BjTime left_ms); // Drops the dead and those that left after these times
int bj_roster_compare (const BjUpdate *u, const BjMember *m); // Above 0 when u supersedes m
bool bj_roster_is_fresh (BjMember *m, uint64_t sequence); // False when seen before; marks it seen
uint64_t bj_roster_digest (const BjRoster *r);
bool bj_member_is_up (const BjMember *m);                      // Alive or suspected
int bj_member_bucket (const BjMember *m);                      // Of the digest
BjUpdate bj_member_update (const BjMember *m, BjUpdateKind k); // Borrows the strings

// Spread: which news goes into which datagram
void bj_spread_send (BjSwim *s,
                     BjDatagram *d,
                     const BjMember *to,
                     BjStr host,
                     int port); // Fills the rest and sends; to is NULL for an address only
void bj_spread_news (BjSwim *s, BjMember *m); // Tell of m from now on
void bj_spread_little (BjMember *m);          // The same, where most know it already
void bj_spread_tick (BjSwim *s, BjTime now);  // Sends what is urgent
void bj_spread_at_once (BjSwim *s);           // Tells of the own state now, widely
void bj_spread_records (BjSwim *s,
                        const BjMember *to,
                        uint64_t buckets,
                        uint64_t wanted); // Whole buckets, for anti-entropy
BjMember *bj_swim_pick (BjSwim *s,
                        bool (*wanted) (const BjSwim *s, const BjMember *m)); // At random, or NULL
bool bj_swim_is_near (const BjSwim *s, const BjMember *m);  // Up, in the own domain, not itself
bool bj_swim_is_far (const BjSwim *s, const BjMember *m);   // Up, in another domain
bool bj_swim_is_other (const BjSwim *s, const BjMember *m); // Up, not itself
