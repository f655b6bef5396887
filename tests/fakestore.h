// Fake store: objects with versions for tests of state machines that decide through the store.
// Calls and answers wait in no order; each step picks one of them at random. No time, no sockets.

#pragma once

#include "internal.h"

typedef struct
{
  double lose_request; // share of calls that never arrive
  double lose_answer;  // share of calls that take effect and get no answer
  double late_effect;  // share of calls that take effect after they were given up
  double stale_read;   // share of reads that see the object's previous version
} FakeStoreFaults;

typedef struct
{
  int writer;
  uint64_t call; // as given by fake_store_send
  BjStoreReply reply;
} FakeStoreAnswer;

typedef struct FakeStore FakeStore;

FakeStore *fake_store_new (uint32_t seed);
void fake_store_free (FakeStore *s);
void fake_store_set_faults (FakeStore *s, FakeStoreFaults faults);
void
fake_store_on_change (FakeStore *s,
                      void (*changed) (void *data, const char *name, BjStr before, BjStr after),
                      void *data); // Called for each write that takes effect
void fake_store_send (FakeStore *s, int writer, uint64_t call, const BjStoreCall *c); // Copies c
bool fake_store_step (FakeStore *s,
                      FakeStoreAnswer *a); // One event; true when it is an answer, a lives until
                                           // the next step
bool fake_store_idle (const FakeStore *s); // No call and no answer is on its way
void fake_store_forget (FakeStore *s, int writer);      // Its answers are dropped, its calls go on
BjStr fake_store_read (FakeStore *s, const char *name); // At once; empty when absent
void fake_store_snapshot (FakeStore *s);                // Keeps a copy of all objects
void fake_store_restore (FakeStore *s); // Goes back to it; versions are not given out twice
