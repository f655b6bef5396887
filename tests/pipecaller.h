// Caller that pipelines: sends several requests on one connection and reads the responses in order.

#pragma once

#include "internal.h"
#include <http_parser.h>

#define PIPECALLER_RESPONSES_MAX 32

typedef struct
{
  int fd; // -1 if the connection was refused
  http_parser parser;
  const char *methods; // one letter a response, "H" for HEAD; NULL: none is HEAD
  int n;               // complete responses
  int statuses[PIPECALLER_RESPONSES_MAX];
  bool closes[PIPECALLER_RESPONSES_MAX]; // the response says that the connection closes
  GString *bodies[PIPECALLER_RESPONSES_MAX];
  bool is_ended; // closed with a FIN
  bool is_reset; // or no byte came for timeout_ms
} PipeCaller;

void pipecaller_open (PipeCaller *c, int port, int timeout_ms);
void pipecaller_close (PipeCaller *c);
bool pipecaller_send (PipeCaller *c, const char *text); // False if the connection failed

// Sends n GET requests at once, numbered from first; %d in the formats is the number. Without a key
// format they have no Idempotency-Key.
bool pipecaller_send_gets (
    PipeCaller *c, const char *path_format, const char *key_format, int first, int n);

// Reads until n responses are complete or the connection has ended.
void pipecaller_read (PipeCaller *c, int n);
