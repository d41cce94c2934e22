#ifndef CORE_ITEM_H
#define CORE_ITEM_H

#include "owner.h"

/* item - a piece of work inside an owner, from submit to its end. */
enum item_state {
	ITEM_WAITING = 0,
	ITEM_RUNNING,
	ITEM_CANCELLED, /* cancelled, but still in a heap that drops it later */
};

struct gang;

struct item {
	struct work w;
	int64_t queued_ms;
	int64_t latest_start_ms; /* useless if not started by then; INT64_MAX for none */
	int64_t started_ms;
	int64_t blocked_since_ms; /* since when it finds no room though it is its team's next; -1 */
	uint64_t seq;		  /* order of arrival */
	uint32_t expected_run_ms; /* expected run time, 0 if not known */
	uint32_t max_run_ms;	  /* run time that it hardly exceeds, 0 if not known */
	uint32_t heap_index;	  /* in the queue that holds it */
	uint32_t victim_index;	  /* in the heap of what may be preempted */
	uint32_t deadline_bucket;
	uint32_t worker;
	enum item_state state;
	bool accepted;		/* the worker took the start */
	bool preempting;	/* told to checkpoint and stop */
	bool preempt_requested; /* others were told to stop for it */
	bool probe;		/* the one start that tests a worker in quarantine */
	bool adopted;
	struct gang *gang; /* that it waits in, or started with */
	struct item *prev; /* in the list of a team's queue or of a worker's running work */
	struct item *next;
};

/* item_list - doubly linked, first in first out. */
struct item_list {
	struct item *first;
	struct item *last;
	uint32_t n;
};

void item_list_append(struct item_list *l, struct item *it);
void item_list_prepend(struct item_list *l, struct item *it);
void item_list_remove(struct item_list *l, struct item *it);

#endif
