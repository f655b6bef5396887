// Listen: turns new connections away from a listening socket before it is closed.

#pragma once

#include <stdbool.h>

bool bj_listen_drop_new (int fd); // Drops new connection attempts from now on; completed and begun
                                  // handshakes can still be accepted. False if not supported
