// Refusal: ids of the requests that the own upstream has refused.

#pragma once

#include "boragejunction.h"

typedef struct BjRefusals BjRefusals;

BjRefusals *bj_refusals_new (void);
void bj_refusals_free (BjRefusals *r);
void bj_refusals_add (BjRefusals *r, BjTime now, BjStr id); // An empty id is ignored
bool bj_refusals_has (BjRefusals *r, BjTime now, BjStr id); // id was refused lately
