#ifndef CELL_HEADROOM_H
#define CELL_HEADROOM_H

#include "process/cell_runner.h"
#include "request/cell_job.h"
#include "version/queues.h"

/*
 * headroom - room that work with time to spare leaves to more urgent work.
 *
 * Urgent jobs come in bursts and have a second to spare; a pool that is filled by long tasks takes
 * seconds to make room for them. A job that has HEADROOM_SLACK_MS or more to spare, in a pool that
 * also serves a queue of higher priority, leaves a part of each runner free. Tasks that last don't
 * yield.
 */
#define HEADROOM_SLACK_MS 5000 /* about the length of the long tasks that fill a pool */
/* Of a runner; a burst doubles urgent work that takes a fifth of a pool. */
#define HEADROOM_MILLI 150

/* headroom_milli - the part of a runner, of 1000, that tasks of the job have to leave free now. */
uint32_t headroom_milli(const struct cell_job *j, const struct queues *q, int64_t wall_ms);
/* headroom_fits - a task that needs `need` fits on the runner and leaves that part free. */
bool headroom_fits(const struct cell_runner *rn, const struct resources *need, uint32_t milli);

#endif
