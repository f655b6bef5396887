// Rig: starts boraged processes with the command of the deploy file, and stand-ins for the
// platform's store, the back ends and the clients as threads of the calling process. Everything
// listens on loopback addresses and free ports; the daemons end with the process.

#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#define RIG_NODES_MAX 32
#define RIG_TEXT_MAX 64

typedef struct
{
  char name[RIG_TEXT_MAX];
  char zone[RIG_TEXT_MAX];
  char service[RIG_TEXT_MAX];
  char ip[RIG_TEXT_MAX];
  int outbound; // ports
  int ready;
  int control;
  int link;
  int app;
  pid_t pid;    // of the daemon, 0 when not running
  int slots;    // that its back end announces
  long born_ms; // start of its back end
} RigNode;

// Bytes of one connection, read ahead.
typedef struct
{
  int fd;
  char buffer[65536];
  size_t n; // bytes in buffer that were not consumed
} RigStream;

typedef struct
{
  char method[RIG_TEXT_MAX];
  char path[256];
  char id[RIG_TEXT_MAX]; // X-Request-Id
  int status;            // of a response
  bool has_seal;         // X-Response-Seal
  bool closes;           // Connection: close
  long length;           // Content-Length, -1 without
} RigHead;

// Handles one request whose head was read. Returns false when the connection shall be closed.
typedef bool (*RigHandler) (int node, RigStream *s, const RigHead *h);

extern RigNode rig_nodes[RIG_NODES_MAX];
extern int rig_n_nodes;
extern bool rig_has_trouble; // TROUBLE is not 0

void rig_open (const char *case_folder);                   // Opens record.txt
void rig_add_node (const char *zone, const char *service); // Before rig_start ()
void rig_start (const char *routes, RigHandler handler);   // JSON rows of the manifest's routes
void rig_record (const char *format, ...)                  // Appends a line to record.txt
    __attribute__ ((format (printf, 1, 2)));
double rig_now (void); // Seconds since rig_open ()
void rig_sleep (double seconds);
void rig_start_daemon (int node);
void rig_signal (int node, int signal_number);
bool rig_wait_exit (int node, double seconds); // Kills the daemon when the time is over
bool rig_wait_ready (int node, double seconds);
double rig_memory_mb (int node);              // Resident memory of the daemon, 0 if it has ended
_Noreturn void rig_finish (bool is_broken);   // Ends all processes; exits with 1 or 0
_Noreturn void rig_give_up (const char *why); // The same with 2

int rig_connect (int node, int receive_buffer); // To outbound; 0 for the usual buffer; -1
bool rig_send (int fd, const void *data, size_t n);
bool rig_printf (int fd, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
bool rig_read_head (RigStream *s, RigHead *h);
size_t rig_read_body (RigStream *s, size_t n); // Discards up to n bytes; returns how many came
bool rig_request (int fd, const char *method, const char *path, const char *id, size_t body_bytes);
void rig_thread (void *(*run) (void *), void *data);
