#ifndef CELL_YIELD_H
#define CELL_YIELD_H

#include "process/cell_runner.h"
#include "request/cell_job.h"
#include "version/queues.h"

/*
 * yield - room that work with time to spare leaves to more urgent work.
 *
 * Urgent jobs come in bursts and have a second to spare; a pool that is filled by long tasks takes
 * seconds to make room for them. A job that has YIELD_SLACK_MS or more to spare, in a pool that
 * also serves a queue of higher priority, leaves a part of each runner free. Tasks that last don't
 * yield.
 */
#define YIELD_SLACK_MS 5000 /* about the length of the long tasks that fill a pool */
/* Of a runner; a burst doubles urgent work that takes a fifth of a pool. */
#define YIELD_MILLI 150

/* yield_milli - the part of a runner, of 1000, that tasks of the job have to leave free now. */
uint32_t yield_milli(const struct cell_job *j, const struct queues *q, int64_t wall_ms);
/* yield_fits - a task that needs `need` fits on the runner and leaves that part free. */
bool yield_fits(const struct cell_runner *rn, const struct resources *need, uint32_t milli);

#endif
