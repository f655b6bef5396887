// Rig: declarations that the files of the rig share.

#pragma once

#include <fcntl.h>

void rig_store_open (void); // Starts the stand-in of the store at 127.0.0.1
int rig_store_port (void);

int rig_listen (const char *ip, int *port); // Listens on *port, on a free one if it is 0
int rig_free_port (const char *ip);
