#ifndef NODE_DECISIONS_H
#define NODE_DECISIONS_H

#include "process/metrics.h"
#include "process/scheduler.h"

/* decisions - the scheduler's decisions as log lines and counters. */

/* decisions_record - of the scheduler of this term. */
void decisions_record(const struct decision *d, struct metrics *metrics, uint64_t term);
/* decisions_log_stats - what the scheduler has done so far, and how full its pools are. */
void decisions_log_stats(const struct scheduler *scheduler);

#endif
