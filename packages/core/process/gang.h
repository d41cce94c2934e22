#ifndef CORE_GANG_H
#define CORE_GANG_H

#include <glib.h>

#include "heap.h"
#include "item.h"

/*
 * gang - jobs whose tasks start all together or not at all, in order of arrival.
 *
 * A gang is queued once all its tasks have been submitted. A task that was blocked for too long is
 * put in the same queue, as a gang of one.
 */
struct gang {
	uint64_t job;
	uint32_t size;	  /* number of tasks */
	uint32_t running; /* tasks started and not ended */
	uint64_t seq;	  /* of the first waiting task */
	int64_t queued_ms;
	int64_t not_before_ms;	    /* not tried before this time, unless it holds workers */
	int64_t hold_not_before_ms; /* doesn't look for workers to hold before this time */
	uint32_t heap_index;
	struct item_list waiting;
};

struct gangs {
	GHashTable *by_job;   /* gangs of more than one task */
	struct heap complete; /* by seq */
};

void gangs_init(struct gangs *g);
/* gangs_clear - passes waiting items to drop(). */
void gangs_clear(struct gangs *g, void (*drop)(void *ctx, struct item *it), void *ctx);
/* gangs_add - adds a waiting task to the gang of its job. */
void gangs_add(struct gangs *g, struct item *it);
/* gangs_add_aged - queues a blocked task as a gang of one. */
void gangs_add_aged(struct gangs *g, struct item *it);
/* gangs_remove - removes a waiting task. */
void gangs_remove(struct gangs *g, struct item *it);
/* gangs_started - n tasks, which the caller removed from waiting, were started. */
void gangs_started(struct gangs *g, struct gang *gang, uint32_t n);
/* gangs_adopt - adds a task that already runs. */
void gangs_adopt(struct gangs *g, struct item *it);
/* gangs_ended - a running task of a gang has ended. */
void gangs_ended(struct gangs *g, struct item *it);

#endif
