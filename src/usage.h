// Usage: sends and receives the reports of account usage between daemons.

#pragma once

#include "internal.h"
#include "quota.h"

typedef struct BjUsage BjUsage;

BjUsage *bj_usage_new (BjDaemon *d); // Sends nothing until an account has a rate
void bj_usage_free (BjUsage *u);     // Ignores NULL
void
bj_usage_configure (BjUsage *u,
                    const BjAccount *const *accounts,
                    int n); // With each configuration, also one without accounts; all are copied
BjQuota *bj_usage_quota (BjUsage *u);
bool bj_usage_take_report (BjUsage *u,
                           BjStr peer,
                           BjStr report,
                           msgpack_sbuffer *reply); // PING; false if it contains no valid report
void bj_usage_take_reply (BjUsage *u,
                          BjStr peer,
                          BjStr totals,
                          bool reads_usage); // PONG; whether the peer's version reads reports

// Link
void bj_links_send_usage (BjLinks *l, BjPeer *p, BjStr report); // In a PING
