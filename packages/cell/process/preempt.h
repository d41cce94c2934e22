#ifndef CELL_PREEMPT_H
#define CELL_PREEMPT_H

#include "process/cell_runner.h"
#include "request/cell_job.h"

/*
 * preempt - finds runs of less urgent jobs to stop, to make room for a gang or for large tasks.
 *
 * A gang needs room on several runners at once, and a large task needs much of one. Where small
 * tasks are spread over all runners, both would wait for seconds. A task with checkpoints loses
 * nothing when it is stopped, and one whose job has PREEMPT_SLACK_MS to spare can finish elsewhere
 * in time.
 */
#define PREEMPT_SLACK_MS 4000 /* stop, restore and waiting for room elsewhere take up to 2.5 s */

/* Room for `count` members of a gang, or large tasks, on any of the candidates. */
struct preempt_request {
	const GPtrArray *candidates; /* struct cell_runner that may run a member */
	struct resources need;	     /* of one member */
	uint32_t count;
	uint32_t priority; /* only runs of jobs with a higher number are stopped */
	bool may_stop;	   /* false: counts only free room, and runs that are being stopped */
	int64_t wall_ms;
};

/*
 * preempt_plan - stores the runner of each member in out[count], and adds the runs to stop (struct
 * run), as few as possible, to victims. Returns false if there is no such room. Changes nothing.
 */
bool preempt_plan(const struct preempt_request *req, struct cell_runner **out, GPtrArray *victims);

#endif
