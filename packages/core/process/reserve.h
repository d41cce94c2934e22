#ifndef CORE_RESERVE_H
#define CORE_RESERVE_H

#include "workerindex.h"

/*
 * reserve - chooses the workers whose capacity is reserved for urgent tasks.
 *
 * The share is reserved on a few whole workers and not as a small part of each, so that a large
 * urgent task fits on one worker. Only a cell too small for that reserves part of one worker.
 * Workers with and without accelerators are counted separately.
 */
struct reserve {
	uint32_t share_milli;	    /* thousandths of all workers to reserve */
	uint32_t workers[2];	    /* usable workers without and with accelerators */
	uint32_t reserved_milli[2]; /* thousandths of a worker, summed */
};

/* reserve_worker_usable - counts a worker that became usable and may reserve capacity on it. */
void reserve_worker_usable(struct reserve *s, struct worker_index *wi, uint32_t worker);
/* reserve_worker_unusable - moves the worker's reservation, if any, to other workers. */
void reserve_worker_unusable(struct reserve *s, struct worker_index *wi, uint32_t worker);

#endif
