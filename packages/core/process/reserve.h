#ifndef CORE_RESERVE_H
#define CORE_RESERVE_H

#include "workerindex.h"

/*
 * reserve - chooses the workers whose room is kept for urgent tasks.
 *
 * The share is kept on few whole workers rather than as a sliver of each, so that a large urgent
 * task finds room in one place; only a cell too small for that keeps part of one worker. Workers
 * with and without accelerators are counted apart.
 */
struct reserve {
	uint32_t share_milli;
	uint32_t workers[2]; /* usable workers without and with accelerators */
	uint32_t reserved_milli[2];
};

/* reserve_worker_usable - the worker has become usable. */
void reserve_worker_usable(struct reserve *s, struct worker_index *wi, uint32_t worker);
/* reserve_worker_unusable - the worker is no longer usable; another may take its part. */
void reserve_worker_unusable(struct reserve *s, struct worker_index *wi, uint32_t worker);

#endif
