#ifndef CELL_PREEMPT_H
#define CELL_PREEMPT_H

#include "process/cell_runner.h"
#include "request/cell_job.h"

/*
 * preempt - room for a gang, or for large tasks, by stopping tasks of less urgent jobs.
 *
 * A gang needs room on several runners at the same moment, and a large task much of one; where
 * small tasks are spread over all runners they wait for seconds. Tasks that save their progress
 * lose nothing by a stop, and those of a job with PREEMPT_SLACK_MS to spare can go on elsewhere in
 * time.
 */
#define PREEMPT_SLACK_MS 4000 /* a stop, a restore and a wait for other room take up to 2.5 s */

/* What is looked for: room for `count` members (or large tasks) on some of the runners. */
struct preempt_request {
	const GPtrArray *candidates; /* of struct cell_runner, that may run a member */
	struct resources need;	     /* of one member */
	uint32_t count;
	uint32_t priority; /* of the gang: only tasks of less urgent jobs are stopped */
	bool may_stop;	   /* false: only room of tasks that are being stopped counts */
	int64_t wall_ms;
};

/*
 * preempt_plan - the runner of each member in out[count], and the runs to stop in victims (of
 * struct run), as few as possible; false if there is no such room. Nothing is changed.
 */
bool preempt_plan(const struct preempt_request *m, struct cell_runner **out, GPtrArray *victims);

#endif
