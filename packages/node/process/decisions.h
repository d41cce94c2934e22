#ifndef NODE_DECISIONS_H
#define NODE_DECISIONS_H

#include "process/metrics.h"
#include "process/scheduler.h"

/* decisions - logs and counts the decisions of the scheduler. */

/* decisions_record - logs a decision and updates the metrics. */
void decisions_record(const struct decision *d, struct metrics *metrics, uint64_t term);
/* decisions_log_stats - logs the scheduler's statistics and the utilisation of its pools. */
void decisions_log_stats(const struct scheduler *scheduler);

#endif
