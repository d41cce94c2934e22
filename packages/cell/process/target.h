#ifndef CELL_TARGET_H
#define CELL_TARGET_H

#include "scheduler_priv.h"

/*
 * target - a step whose tasks are being placed in a pass over the pools, and how the runners of its
 * pool meet it.
 */

/* One placement pass over a pool of runners. */
struct pass_pool {
	const char *service;
	GPtrArray *runners;
	uint32_t blocked;
	uint32_t tries;	  /* to make room */
	uint32_t cleared; /* steps for which room is being made */
	uint32_t barren;  /* steps in a row for which there was no room */
};

struct pass {
	struct scheduler *s;
	GHashTable *pool; /* by service */
};

/* A step whose tasks are being placed. */
struct target {
	struct pass_pool *pool;
	GPtrArray *candidates; /* of the pool, those that could ever run a task of the step */
	struct cell_job *job;
	struct job_step *step;
	const struct queue *queue; /* NULL if it is not configured any more */
	struct resources need;
	bool advised;
	bool large;	/* a task takes much of a runner: room for it seldom comes by itself */
	uint32_t yield; /* part of a runner, of 1000, to leave free */
};

/* target_suits - whether the runner could ever run a task of the step, with room or without. */
bool target_suits(const struct target *t, const struct cell_runner *rn);
/* target_has_room - for one more task of the step, now. */
bool target_has_room(const struct target *t, const struct cell_runner *rn);
/* target_rate - lower is better: near the data first, then the tightest fit. */
int64_t target_rate(const struct target *t, const struct cell_runner *rn);
/* target_by_free - to sort runners (struct cell_runner **), the most free first. */
int target_by_free(gconstpointer a, gconstpointer b);

#endif
