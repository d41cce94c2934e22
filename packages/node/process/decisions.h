#ifndef NODE_DECISIONS_H
#define NODE_DECISIONS_H

#include "process/metrics.h"
#include "process/scheduler.h"

/* decisions - the scheduler's decisions as log lines and counters. */

/* decisions_note - of the scheduler of this term. */
void decisions_note(const struct decision *d, struct metrics *metrics, uint64_t term);
/* decisions_log_sums - what the scheduler has done so far, and how full its pools are. */
void decisions_log_sums(const struct scheduler *scheduler);

#endif
