// Response: checks the head of an HTTP/1.1 response for what http-parser and libcurl accept
// although it is no answer. Source: RFC 9112.

#pragma once

#include "internal.h"

typedef enum
{
  BJ_RESPONSE_STATUS, // before or in the status line
  BJ_RESPONSE_FIELDS,
  BJ_RESPONSE_BODY, // the final head is complete
} BjResponsePart;

typedef struct
{
  BjResponsePart part;
  GString *line;   // received bytes of the current line
  int status;      // of the current head
  int minor;       // of its HTTP version
  int n_lengths;   // Content-Length fields
  int n_encodings; // Transfer-Encoding fields
  bool has_length; // one above 0
} BjResponse;

void bj_response_init (BjResponse *r);
void bj_response_clear (BjResponse *r); // Frees the line
void bj_response_reset (BjResponse *r); // Prepares for the next response
const char *bj_response_read (
    BjResponse *r,
    BjStr bytes); // Bytes in the order of their arrival, those behind the final head are ignored.
                  // Returns why the response is rejected, NULL if it is not
