#ifndef CORE_URGENTRESERVE_H
#define CORE_URGENTRESERVE_H

#include "workerindex.h"

/*
 * urgentreserve - chooses the workers whose capacity is reserved for urgent tasks.
 *
 * The share is reserved on a few whole workers and not as a small part of each, so that a large
 * urgent task fits on one worker. Only the first of them may be reserved in part, so that a small
 * cell has a reserve too. Workers with and without accelerators are counted separately.
 */
struct urgent_reserve {
	uint32_t share_milli;	    /* thousandths of all workers to reserve */
	uint32_t workers[2];	    /* usable workers without and with accelerators */
	uint32_t reserved_milli[2]; /* thousandths of a worker, summed */
};

/* urgent_reserve_worker_usable - counts a worker that became usable; may reserve part of it. */
void urgent_reserve_worker_usable(struct urgent_reserve *s, struct worker_index *wi,
				  uint32_t worker);
/* urgent_reserve_worker_unusable - moves the worker's reservation, if any, to other workers. */
void urgent_reserve_worker_unusable(struct urgent_reserve *s, struct worker_index *wi,
				    uint32_t worker);

#endif
