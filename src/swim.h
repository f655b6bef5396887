// Shared by the membership modules: the member table and the state of the protocol.

#pragma once

#include "internal.h"
#include "kernel.h"

#define BJ_SWIM_PROBES_MAX 32 // pings in flight
#define BJ_SWIM_SEEDS_MAX 128 // seed addresses

typedef struct
{
  GHashTable *by_name;                 // BjStr* in BjMember -> BjMember*
  GPtrArray *all;                      // BjMember*
  uint64_t buckets[BJ_DIGEST_BUCKETS]; // XOR of digest_share over the members of each bucket
  int n_up;                            // members alive or suspected, including itself
  BjTime changed;                      // time of the last change of a member
} BjRoster;

typedef struct
{
  uint64_t sequence;           // of the ping; 0: the entry is free
  BjStr target;                // name of the probed member, owned
  BjStr requester_name;        // member that requested the probe, owned; empty for an own probe
  uint64_t requester_sequence; // sequence of the requester's ping, for its acknowledgement
  BjTime sent;
  bool is_indirect; // indirect probes were requested
} BjProbe;

struct BjSwim
{
  BjSwimHost *host;
  GRand *rand;
  BjRoster roster;
  BjMember *self;
  BjAddress socket_address; // owned
  BjAddress *seeds;         // owned
  int n_seeds;
  int announced_failure_permille; // last announced to all domains
  BjTime failure_permille_announced_at;
  int n_seeds_probed; // leading entries of seeds that were probed at least once
  uint64_t sequence;  // of the last datagram sent
  BjProbe probes[BJ_SWIM_PROBES_MAX];
  GPtrArray *probe_round; // char*, owned: names in the own domain still to probe in this round
  BjTime started;
  BjTime last_tick;
  BjTime next_probe;
  BjTime next_dead_probe;
  BjTime next_seed_probe;
  BjTime next_load;
  BjTime last_sync;           // time of the last digest sent
  BjTime last_conflict_log;   // last log line on a conflicting name, 0 for none
  double sync_budget_bytes;   // bytes that anti-entropy may send now
  double update_budget_bytes; // bytes that update datagrams between probes may send now
  bool leaving;               // the planned stop was announced
};

// Roster
void bj_roster_init (BjRoster *r);
void bj_roster_clear (BjRoster *r);
BjMember *bj_roster_find (const BjRoster *r, BjStr name);                     // NULL if unknown
BjMember *bj_roster_add (BjRoster *r, BjTime now, const BjUpdate *u);         // u: full update
void bj_roster_set (BjRoster *r, BjTime now, BjMember *m, const BjUpdate *u); // u: full or state
void bj_roster_update_digest (BjRoster *r,
                              BjTime now,
                              BjMember *m); // After its report or state changed
void bj_roster_evict (BjRoster *r,
                      BjTime now,
                      BjTime dead_ms,
                      BjTime left_ms); // Removes members that are dead or left for longer than this
int bj_roster_compare (const BjUpdate *u,
                       const BjMember *m); // > 0: u is newer
bool bj_roster_accept_sequence (BjMember *m,
                                uint64_t sequence); // Records it; false if replayed or too old
uint64_t bj_roster_digest (const BjRoster *r);
bool bj_member_is_up (const BjMember *m);                      // Alive or suspected
int bj_member_bucket (const BjMember *m);                      // Index in the buckets of the digest
BjUpdate bj_member_update (const BjMember *m, BjUpdateKind k); // Borrows the strings of m

// Spread: dissemination of updates
void bj_spread_send (BjSwim *s,
                     BjDatagram *d,
                     const BjMember *to,
                     BjStr host,
                     int port);                // Sends d with updates; to: NULL if unknown
void bj_spread_queue (BjSwim *s, BjMember *m); // Queues the state of m for dissemination
void bj_spread_queue_known (BjMember *m);    // The same in fewer datagrams, if most members know it
void bj_spread_tick (BjSwim *s, BjTime now); // Sends queued updates within the byte budget
void bj_spread_self (BjSwim *s); // Sends the own state now to its domain and some members of others
void bj_spread_send_records (
    BjSwim *s,
    const BjMember *to,
    uint64_t buckets,
    uint64_t wanted_buckets); // Sends full updates on the members in the buckets, within the byte
                              // budget of anti-entropy; requests wanted_buckets in return
BjMember *bj_swim_pick (BjSwim *s,
                        bool (*is_candidate) (const BjSwim *s,
                                              const BjMember *m)); // A random match, NULL if none
bool bj_swim_is_in_own_domain (const BjSwim *s,
                               const BjMember *m); // Up, in the own domain, not itself
bool bj_swim_is_in_other_domain (const BjSwim *s, const BjMember *m); // Up, in another domain
bool bj_swim_is_other (const BjSwim *s, const BjMember *m);           // Up, not itself
