// Fleet: test fixture that starts the stand-ins and daemons as real processes on loopback and ends
// them by process id. Used by tests and benchmarks only.

#pragma once

#include "internal.h"
#include <sys/types.h>

// Tags of the bj-fault listeners when use_fault is set:
//   link-DOMAIN      TCP and UDP to the daemons of DOMAIN; the source is the address of the sending
//                    domain, FleetMember.ip
//   platform-DOMAIN  connections from DOMAIN to the platform's store; source "*"
//   upstream-NAME    connections to the upstream beside daemon NAME; source "*"

#define FLEET_NODES_MAX 256
#define FLEET_DOMAINS_MAX 16
#define FLEET_TEXT_MAX 64            // bytes of a name, terminator included
#define FLEET_EXECUTIONS_FILE "runs" // file in the fleet's folder, one line "key id" per execution

typedef struct
{
  char name[FLEET_TEXT_MAX];
  char domain[FLEET_TEXT_MAX];
  char region[FLEET_TEXT_MAX];
  char service[FLEET_TEXT_MAX];
  int slots;
  double service_ms;
  char next[FLEET_TEXT_MAX]; // path that the upstream requests downstream, empty for none
} FleetNode;

typedef struct
{
  FleetNode node;
  int front_port;
  int admin_port;
  int link_port;
  int gossip_port;
  int upstream_port;
  int fault_link_port;     // listener of bj-fault in front of link_port
  int fault_gossip_port;   // listener of bj-fault in front of gossip_port
  int fault_upstream_port; // listener of bj-fault in front of upstream_port
  char ip[32];             // with use_fault: loopback address of the daemon's failure domain
  pid_t daemon;            // 0 when not running
  pid_t upstream;          // 0 when not running
} FleetMember;

typedef struct
{
  char dir[256]; // folder of the settings, logs and executions
  int platform_port;
  pid_t platform; // 0 when not running
  bool use_fault; // set after fleet_init: links, gossip and connections to the store and to
                  // upstreams go through bj-fault
  int fault_port; // control port of bj-fault
  int fault_platform_port; // first of FLEET_DOMAINS_MAX ports, one per failure domain
  pid_t fault;             // 0 when not running
  int n;                   // number of members
  FleetMember members[FLEET_NODES_MAX];
  char log_level[16];       // log level of the daemons
  char extra_settings[256]; // JSON members for each daemon's settings; empty or starts with a comma
  char seed_addresses[512]; // items of JSON array "seeds"; empty: the first daemon's gossip address
} Fleet;

// Parses NAME:DOMAIN:REGION:SERVICE:SLOTS:SERVICE_MS[:NEXT_PATH]; false if a part is missing.
bool fleet_parse_node (const char *text, FleetNode *n);

// Chooses free ports and creates the folder; starts no process.
void fleet_init (Fleet *f, const FleetNode *nodes, int n);

// Starts all processes; false if not every daemon lists all members that have a service within
// START_TIMEOUT_MS.
bool fleet_start (Fleet *f);

// Kills all processes and removes the folder unless the environment variable BJ_KEEP_LOGS is set.
void fleet_stop (Fleet *f);

void fleet_start_platform (Fleet *f);
void fleet_start_daemon (Fleet *f, int i);   // Writes the settings file, then starts member i
void fleet_start_upstream (Fleet *f, int i); // Does nothing for a member without a service

// Sends the signal, waits for the exit and sets *pid to 0. A process that has not exited after
// END_TIMEOUT_MS is killed.
void fleet_end_process (pid_t *pid, int signal_number);

// Returns the exit code (128 + signal number if a signal ended the process) and sets *pid to 0;
// -1 on time-out.
int fleet_wait_exit (pid_t *pid, double timeout_ms);

// Waits until every running daemon lists at least n members that have a service; false on time-out.
bool fleet_wait_members (Fleet *f, int n, double timeout_ms);

// Waits until ticket number or a later one is in force at every running daemon; false on time-out.
bool fleet_wait_ticket (Fleet *f, int64_t number, double timeout_ms);

bool fleet_file_ticket (Fleet *f, const char *text); // Files through bjctl; false if refused

// Runs a program to its end, appends its standard output to out unless NULL. Returns the exit code,
// -1 if the program could not be started.
int fleet_run_program (char *const argv[], GString *out);

// Sends a request to 127.0.0.1 and appends the response body to out unless NULL. Returns the HTTP
// status, 0 if no complete response was received.
int fleet_http (const char *method,
                int port,
                const char *path,
                const char *const *headers,
                const char *body,
                GString *out);

// The same with a CURL handle of the caller, which keeps its connections open for later requests.
int fleet_http_on (void *easy,
                   const char *method,
                   int port,
                   const char *path,
                   const char *const *headers,
                   const char *body,
                   GString *out);

const char *fleet_last_response_head (void); // Header block of the last response on this thread
double fleet_json_number (const char *json, const char *key); // Top-level number, -1 if absent

// Polls until the condition holds; false on time-out.
bool fleet_wait_until (bool (*holds) (void *data), void *data, double timeout_ms);

// Sets a rule of bj-fault for traffic from src to the listeners of tag; false if it was refused.
bool fleet_set_fault (Fleet *f, const char *tag, const char *src, const char *mode, double value);

// Sets a rule of bj-fault for link and gossip traffic from one failure domain to another.
void fleet_set_link_fault (Fleet *f, const char *from, const char *to, const char *mode);

// Executions of the action at all running upstreams that respond.
int fleet_count_executions (Fleet *f, const char *key);

// Executions of the action at the upstream of member i, -1 if the upstream does not respond.
int fleet_count_executions_at (Fleet *f, int i, const char *key);
