#ifndef CORE_ITEM_H
#define CORE_ITEM_H

#include "owner.h"

/* item - work inside an owner, from its submission to its end. */
enum item_state {
	ITEM_WAITING = 0,
	ITEM_RUNNING,
	ITEM_CANCELLED, /* still in a heap, which drops it later */
};

struct gang;

struct item {
	struct work w;
	int64_t queued_ms;
	int64_t latest_start_ms; /* refused if not started by then; INT64_MAX for none */
	int64_t started_ms;
	int64_t blocked_since_ms; /* since when it fits nowhere at the head of its queue, or -1 */
	uint64_t seq;		  /* order of submission */
	uint32_t expected_run_ms; /* expected run time, 0 if not known */
	uint32_t max_run_ms;	  /* run time that it rarely exceeds, 0 if not known */
	uint32_t heap_index;	  /* in a runner group's queue */
	uint32_t victim_index;	  /* in the heap of preemption victims */
	uint32_t deadline_bucket;
	uint32_t worker;
	enum item_state state;
	bool accepted;		/* the worker accepted the start */
	bool preempting;	/* asked to stop after a checkpoint */
	bool preempt_requested; /* others were asked to stop for it */
	bool probe;		/* it tests a quarantined worker */
	bool adopted;
	struct gang *gang; /* in which it waits or was started, NULL for none */
	struct item *prev; /* in a team's queue, a gang or a worker's running list */
	struct item *next;
};

/* item_list - doubly linked FIFO list. */
struct item_list {
	struct item *first;
	struct item *last;
	uint32_t n;
};

void item_list_append(struct item_list *l, struct item *it);
void item_list_prepend(struct item_list *l, struct item *it);
void item_list_remove(struct item_list *l, struct item *it);

#endif
