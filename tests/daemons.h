// Daemons in the process of a test, on loopback addresses.

#pragma once

#include "internal.h"

// Opens a listening socket on a free port of 127.0.0.1 and returns the port.
int daemons_listen (int *fd);

BjAddress daemons_free_address (void); // 127.0.0.1 and a port that is free now

// Starts a daemon with free addresses where s names none, in failure domain "a" if s names none;
// fails the test if it does not start.
BjDaemon *daemons_new (struct ev_loop *loop, BjSettings s);

int64_t daemons_config_number (const BjDaemon *d); // Number of its configuration, 0 if none
