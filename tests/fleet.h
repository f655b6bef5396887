// Fleet: test scaffolding that starts the stand-ins and daemons as real processes on loopback and
// ends them by their process ids. Only tests and benches use it.

#pragma once

#include "internal.h"
#include <sys/types.h>

// With use_fault the tags of bj-fault are: "link-DOMAIN" for TCP and UDP to daemons of a domain
// (sources are the domains' addresses, FleetMember.ip), "platform-DOMAIN" for the store as that
// domain reaches it, and "upstream-NAME" for the upstream beside daemon NAME (sources "*").

#define FLEET_NODES_MAX 256
#define FLEET_TEXT_MAX 64
#define FLEET_RECORD "runs" // file in the fleet's folder: a line "key id" for each run

typedef struct
{
  char name[FLEET_TEXT_MAX];
  char domain[FLEET_TEXT_MAX];
  char region[FLEET_TEXT_MAX];
  char service[FLEET_TEXT_MAX];
  int slots;
  double service_ms;
  char next[FLEET_TEXT_MAX]; // path that the upstream calls deeper, empty for none
} FleetNode;

typedef struct
{
  FleetNode node;
  int front_port;
  int admin_port;
  int link_port;
  int gossip_port;
  int upstream_port;
  int fault_link_port; // of bj-fault in front of link, gossip and upstream
  int fault_gossip_port;
  int fault_upstream_port;
  char ip[32];    // source address of the domain
  pid_t daemon;   // 0 when not running
  pid_t upstream; // 0 when not running
} FleetMember;

typedef struct
{
  char dir[256]; // settings and logs
  int platform_port;
  pid_t platform;          // 0 when not running
  bool use_fault;          // set after fleet_init: bj-fault stands between all processes
  int fault_port;          // its control port
  int fault_platform_port; // first of one a domain
  pid_t fault;             // 0 when not running
  int n;
  FleetMember members[FLEET_NODES_MAX];
  char log_level[16];       // of the daemons
  char extra_settings[256]; // JSON members added to every daemon's settings, empty or beginning
                            // with a comma
  char seed_addresses[512]; // JSON array items, empty for the first daemon's gossip address
} Fleet;

bool fleet_parse_node (const char *text,
                       FleetNode *n); // name:domain:region:service:slots:ms[:next]
void
fleet_init (Fleet *f, const FleetNode *nodes, int n); // Chooses ports and a folder, starts nothing
bool fleet_start (Fleet *f); // Starts everything and waits until all daemons know each other
void fleet_stop (Fleet *f);  // Ends every process and removes the folder
void fleet_start_platform (Fleet *f);
void fleet_start_daemon (Fleet *f, int i); // Writes its settings first
void fleet_start_upstream (Fleet *f, int i);
void fleet_end (pid_t *pid, int signal_number);      // Signals, waits, sets 0
int fleet_wait_exit (pid_t *pid, double timeout_ms); // Exit code, -1 after the timeout
bool fleet_wait_members (Fleet *f,
                         int n,
                         double timeout_ms); // Every running daemon knows n with a service
bool
fleet_wait_ticket (Fleet *f, int64_t number, double timeout_ms); // In force at every running daemon
bool fleet_file_ticket (Fleet *f, const char *text); // Through bjctl; false when refused
int fleet_run (char *const argv[], GString *out);    // Runs a program to its end, exit code
int fleet_http (const char *method,
                int port,
                const char *path,
                const char *const *headers,
                const char *body,
                GString *out);      // HTTP status, 0 when there was no whole answer
const char *fleet_http_head (void); // Head of the last answer to fleet_http on this thread
double fleet_number (const char *json, const char *key); // Top-level number, -1 if absent
bool fleet_until (bool (*holds) (void *data), void *data, double timeout_ms); // Polls a condition
bool fleet_fault (Fleet *f,
                  const char *tag,
                  const char *src,
                  const char *mode,
                  double value); // Sets a rule; tags below
void fleet_cut (Fleet *f,
                const char *from,
                const char *to,
                const char *mode);                // Rule for one domain's traffic to another
int fleet_executions (Fleet *f, const char *key); // Over all running upstreams
int fleet_executions_at (Fleet *f,
                         int i,
                         const char *key); // At one upstream, -1 when it does not answer
