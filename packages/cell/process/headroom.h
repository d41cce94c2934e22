#ifndef CELL_HEADROOM_H
#define CELL_HEADROOM_H

#include "process/cell_runner.h"
#include "request/cell_job.h"
#include "version/queues.h"

/*
 * headroom - share of each runner that jobs with time to spare leave free for more urgent ones.
 *
 * Urgent jobs come in bursts and have a second to spare, but a pool full of long tasks takes
 * seconds to make room for them. So a job with HEADROOM_SLACK_MS or more to spare, in a pool that
 * also serves a queue of higher priority, leaves a part of each runner free. Lasting tasks are
 * exempt. So are gangs: they need room on many runners at the same moment, which they would find
 * only when they have no time to spare any more.
 */
#define HEADROOM_SLACK_MS 5000 /* about the run time of the long tasks that fill a pool */
/* In 1/1000 of a runner. Urgent work takes a fifth of a pool, and a burst doubles it. */
#define HEADROOM_MILLI 150

/* headroom_milli - share of a runner, in 1/1000, that the step's tasks have to leave free now. */
uint32_t headroom_milli(const struct cell_job *j, const struct job_step *step,
			const struct queues *q, int64_t wall_ms);
/* headroom_fits - true if `free` of the runner has room for `need` and for the headroom. */
bool headroom_fits(const struct cell_runner *rn, const struct resources *free,
		   const struct resources *need, uint32_t milli);

#endif
