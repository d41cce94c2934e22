#ifndef CELL_PENDING_STEP_H
#define CELL_PENDING_STEP_H

#include "scheduler_priv.h"

/*
 * pending_step - a step whose tasks are being placed in a pass over the pools, and how the runners
 * of its pool meet it.
 */

/* One placement pass over a pool of runners. */
struct pass_pool {
	const char *service;
	GPtrArray *runners;
	uint32_t reserving_steps;
	uint32_t preempt_searches; /* to make room */
	uint32_t preempting_steps; /* steps for which room is being made */
	uint32_t unplaced_in_row;  /* steps in a row for which there was no room */
};

struct pass {
	struct scheduler *s;
	GHashTable *pool; /* by service */
};

/* A step whose tasks are being placed. */
struct pending_step {
	struct pass_pool *pool;
	GPtrArray *candidates; /* of the pool, those that could ever run a task of the step */
	struct cell_job *job;
	struct job_step *step;
	const struct queue *queue; /* NULL if it is not configured any more */
	struct resources need;
	bool advised;
	bool large; /* a task takes much of a runner: room for it seldom comes by itself */
	uint32_t headroom_milli; /* part of a runner, of 1000, to leave free */
};

/* pending_step_can_use - whether the runner could ever run a task of the step, with room or
 * without. */
bool pending_step_can_use(const struct pending_step *ps, const struct cell_runner *rn);
/* pending_step_fits - for one more task of the step, now. */
bool pending_step_fits(const struct pending_step *ps, const struct cell_runner *rn);
/* pending_step_score - lower is better: near the data first, then the tightest fit. */
int64_t pending_step_score(const struct pending_step *ps, const struct cell_runner *rn);
/* pending_step_by_free - to sort runners (struct cell_runner **), the most free first. */
int pending_step_by_free(gconstpointer a, gconstpointer b);

#endif
