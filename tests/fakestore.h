// Fake store: versioned objects in memory, for tests of state machines that coordinate through the
// store. Requests and responses are queued; each step processes one of them, chosen at random. Uses
// no clock and no sockets.

#pragma once

#include "internal.h"

typedef struct
{
  double lose_request; // share of requests lost before they take effect
  double lose_answer;  // share of requests that take effect but whose response is lost
  double late_effect;  // share of requests that take effect after the writer saw a failure
  double stale_read;   // share of reads that return the previous version of the object
} FakeStoreFaults;

typedef struct
{
  int writer;
  uint64_t call; // passed to fake_store_send
  BjStoreReply reply;
} FakeStoreAnswer;

typedef struct FakeStore FakeStore;

FakeStore *fake_store_new (uint32_t seed);
void fake_store_free (FakeStore *s);
void fake_store_set_faults (FakeStore *s, FakeStoreFaults faults);

// Sets the function that is called for each write that takes effect.
void
fake_store_on_change (FakeStore *s,
                      void (*changed) (void *data, const char *name, BjStr before, BjStr after),
                      void *data);

void fake_store_send (FakeStore *s, int writer, uint64_t call, const BjStoreCall *c); // Copies c

// Processes one queued message. True if it is a response to a writer, which *a then describes; its
// strings are valid until the next step.
bool fake_store_step (FakeStore *s, FakeStoreAnswer *a);

bool fake_store_is_idle (const FakeStore *s); // True if no message is queued

// Drops the responses to a writer; its queued requests still take effect.
void fake_store_drop_writer (FakeStore *s, int writer);

BjStr fake_store_read (FakeStore *s, const char *name); // Current value, empty if absent
void fake_store_snapshot (FakeStore *s);                // Copies all objects

// Restores the objects of the snapshot; new versions continue from the highest one issued.
void fake_store_restore (FakeStore *s);
