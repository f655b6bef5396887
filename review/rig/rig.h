// Rig: what the scripts of the review share. Stand-ins for the platform's store, backends, clients
// and a network path, as threads of the test process, and daemons as separate processes.

#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_TEXT 64        // bytes of a short text, terminator included
#define RIG_PATH 512       // bytes of a path or a request line
#define RIG_NODES_MAX 8    // machines of one case
#define RIG_RUNS_MAX 20000 // runs that a case records

typedef struct
{
  char name[RIG_TEXT];
  char zone[RIG_TEXT];
  char region[RIG_TEXT];
  char service[RIG_TEXT];
  char ip[RIG_TEXT];
  int front;   // port that clients send to
  int control; // port that the backend sends its pings to
  int ready;
  int link; // port of the machine's range, TCP and UDP
  int app;  // port of the backend
  int path; // port of a RigPath in front of link, 0 for none
  pid_t pid;
} RigNode;

// One backend address. Its lifetime may be replaced by one of another service.
typedef struct
{
  const RigNode *node;
  char id[RIG_TEXT];
  char service[RIG_TEXT];
  int slots;
  int queue_max;
  int64_t born;
  int sequence;
  int generation;   // of the lifetime; connections of an earlier one are reset
  bool is_draining; // says so in its pings
  bool is_dark;     // answers nothing, sends nothing
  bool has_exited;  // its process has ended
  int n_running;
  int n_waiting;
  int fd;
  pthread_t acceptor;
  pthread_t pinger;
} RigBackend;

// A run of a request at a backend.
typedef struct
{
  char id[RIG_TEXT];      // X-Request-Id
  char backend[RIG_TEXT]; // id of the backend
  char service[RIG_TEXT]; // of the backend
  char path[RIG_TEXT];
  double arrived_ms; // the request was read
  double started_ms;
  double ended_ms; // 0 while it runs
} RigRun;

typedef struct
{
  int status;        // 0: the connection ended or the time was over before a complete head
  bool is_complete;  // the whole body arrived
  bool is_sealed;    // it bears the proof of a backend
  bool is_foreign;   // a part of the body is not that of the request
  bool is_closed;    // the connection ended
  bool is_timed_out; // the client left at its deadline
  size_t n_body;
  double sent_ms;
  double ended_ms;
} RigAnswer;

// A client that sends one request in a thread of its own.
typedef struct
{
  char id[RIG_TEXT];
  char method[16];
  char path[RIG_TEXT];
  int deadline_ms;
  int patience_ms; // it closes its connection after this, 0: at the deadline
  int fd;          // its connection
  RigAnswer answer;
  pthread_t thread;
} RigClient;

// A path between machines that may delay bytes and reset the connections that are open.
typedef struct
{
  char ip[RIG_TEXT];
  int port;
  int target; // port at the same address
  int delay_ms;
  int generation; // connections of an earlier one are reset
  int fd;
  pthread_t acceptor;
} RigPath;

// Starts the record and the stand-in of the store. program: path of boraged.
void rig_open (const char *program, const char *template_path, const char *record_path);
void rig_close (void); // Kills the daemons that still run and removes the temporary folder

double rig_now_ms (void); // Since rig_open
void rig_sleep_until (double ms);
void rig_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
bool rig_has_trouble (void);                  // False if the environment has TROUBLE=0
_Noreturn void rig_give_up (const char *why); // The case could not run: exit code 2

void rig_put_manifest (const char *spec); // The operator writes config/main

void rig_node_init (RigNode *n, const char *name, const char *zone, const char *service);
void rig_node_start (RigNode *n); // Fills in the template and starts the daemon
void rig_node_signal (RigNode *n, int signal_number);
bool rig_node_wait (RigNode *n, double timeout_ms); // False if the process still runs
void rig_fill_fleet (void); // Starts further machines with plots, up to RIG_NODES_MAX in all
void rig_node_set_service (RigNode *n, const char *service); // Changes the settings file
bool rig_node_is_ready (const RigNode *n);

void rig_backend_open (RigBackend *b, const RigNode *n, const char *id, int slots);
int rig_backend_ping (RigBackend *b, const char *state, int sequence); // Status of the response
void rig_backend_ping_foreign (RigBackend *b); // Another writer: ready, a zone of another type
double rig_backend_drain (RigBackend *b);      // Says draining; returns when that was acknowledged
void rig_backend_exit (RigBackend *b);         // Says that it leaves and ends
void rig_backend_replace (RigBackend *b, const char *id, const char *service, int slots);

void rig_path_open (RigPath *p, RigNode *n, int delay_ms);
void rig_path_reset (RigPath *p);

int rig_runs (RigRun *runs, int max); // Copies the runs so far

bool rig_same (const char *a, const char *b);
bool rig_starts (const char *text, const char *prefix);

int rig_connect (const char *ip, int port); // -1 on failure

extern const char rig_manifest[]; // Routes as on the sheet of the site ndwc-mesh
extern const char rig_host[];     // of these routes

// Sends a request on the connection and waits for its answer for patience_ms.
void rig_request (int fd,
                  const char *method,
                  const char *path,
                  const char *id,
                  int deadline_ms,
                  int patience_ms,
                  RigAnswer *a);

// Opens a connection to the machine and serves one short request on it, so that it is kept.
void rig_client_open (RigClient *c, const RigNode *n, const char *id);
void rig_client_send (RigClient *c, const char *method, const char *path, int deadline_ms);
void rig_client_join (RigClient *c); // Waits for the end of the request

// Repeats an idempotent request until n in a row are answered with success; gives up after 30 s.
void rig_warm_up (const RigNode *n, const char *path, int in_a_row);
