// Stand-ins for the platform's store and the back ends.

#pragma once

#include "rig.h"

#define STANDIN_HEARTBEAT_S 0.5

int standin_start_store (const char *routes); // Returns its port
void standin_start_backend (int node, RigHandler handler);

int standin_socket (const char *ip, int *port, int type); // Bound; chooses the port if it is 0
int standin_listen (const char *ip, int *port);
int standin_connect (const char *ip, int port, int receive_buffer);
void standin_set_timeouts (int fd, double seconds);
