#ifndef CORE_GANG_H
#define CORE_GANG_H

#include <glib.h>

#include "heap.h"
#include "item.h"

/*
 * gang - jobs that start with all their tasks or with none, in order of arrival.
 *
 * A gang is complete once all its tasks are here; only then it is in the queue. A task that has
 * waited too long for room stands in the same queue as a gang of one.
 */
struct gang {
	uint64_t job;
	uint32_t size;
	uint32_t running;
	uint64_t seq; /* of its first task */
	int64_t queued_ms;
	int64_t not_before_ms;	    /* not tried before, unless it holds workers */
	int64_t hold_not_before_ms; /* holds no workers before */
	uint32_t heap_index;
	struct item_list waiting;
};

struct gangs {
	GHashTable *by_job; /* those of more than one task */
	struct heap complete;
};

void gangs_init(struct gangs *g);
/* gangs_clear - what waits is given to drop(). */
void gangs_clear(struct gangs *g, void (*drop)(void *ctx, struct item *it), void *ctx);
void gangs_add(struct gangs *g, struct item *it);
/* gangs_add_aged - a single task that waits as a gang of one. */
void gangs_add_aged(struct gangs *g, struct item *it);
/* gangs_remove - a waiting task leaves without having run. */
void gangs_remove(struct gangs *g, struct item *it);
/* gangs_started - n tasks, taken out of the waiting ones by the caller, have been started. */
void gangs_started(struct gangs *g, struct gang *gang, uint32_t n);
/* gangs_adopt - counts a task that already runs. */
void gangs_adopt(struct gangs *g, struct item *it);
/* gangs_ended - a task that ran in a gang has ended. */
void gangs_ended(struct gangs *g, struct item *it);

#endif
