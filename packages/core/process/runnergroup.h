#ifndef CORE_RUNNERGROUP_H
#define CORE_RUNNERGROUP_H

#include "heap.h"
#include "retrybudget.h"
#include "workerindex.h"

/*
 * runnergroup - the runners of one service and the requests that wait for their slots.
 *
 * Runners are in lists by their number of free slots, so the one with the most is found without a
 * scan. Some slots of the group are reserved for urgent requests. A group of the same kind, without
 * runners, queues urgent tasks and tasks with a deadline.
 */
#define RUNNER_LEVELS		  64
#define RUNNER_DEADLINE_BUCKETS	  64
#define RUNNER_DEADLINE_BUCKET_MS 128
#define RUNNER_DEADLINE_FAR	  RUNNER_DEADLINE_BUCKETS /* beyond the range of the buckets */

enum runner_queue { RUNNER_URGENT = 0, RUNNER_OTHER, RUNNER_QUEUES };

struct runner_group {
	uint32_t service;
	struct res slot_size; /* largest size of a request so far */
	uint32_t slots;	      /* of usable runners, as is free_slots */
	uint32_t free_slots;
	uint32_t urgent_running;
	uint64_t levels;	      /* bitmap of non-empty lists */
	uint32_t head[RUNNER_LEVELS]; /* handle + 1, 0 for none */
	struct heap queue[RUNNER_QUEUES];
	uint32_t waiting[RUNNER_QUEUES];
	uint32_t cancelled[RUNNER_QUEUES];
	/* RUNNER_OTHER items by latest start, modulo the range of the buckets */
	uint32_t waiting_by_deadline[RUNNER_DEADLINE_BUCKETS + 1];
	GHashTable *waiting_by_team; /* team -> items in RUNNER_OTHER */
	struct retrybudget retries;
	struct retrypace pace;
	uint32_t run_mean_ms; /* moving mean of run times */
	uint32_t heap_index;  /* in owner->expiry */
	int64_t expiry_ms;    /* when the next waiting request has to be refused */
	bool dirty;	      /* listed in owner->dirty_groups */
};

struct runner_group *runner_group_create(uint32_t service,
					 bool (*before)(const void *a, const void *b));
/* runner_group_destroy - passes waiting items to drop(). */
void runner_group_destroy(struct runner_group *g, void (*drop)(void *ctx, struct item *it),
			  void *ctx);

/* runner_group_update - updates the lists after any change of a runner's slots or state. */
void runner_group_update(struct runner_group *g, struct worker_index *wi, uint32_t worker);
/* runner_group_pick - runner with the most free slots on which the work fits, or WORKER_NONE. */
uint32_t runner_group_pick(const struct runner_group *g, const struct worker_index *wi,
			   const struct work *w);
/* runner_group_pick_first - the same by lowest handle; examines every worker. */
uint32_t runner_group_pick_first(const struct runner_group *g, const struct worker_index *wi,
				 const struct work *w);
/* runner_group_reserved_slots - free slots that only urgent requests may take now. */
uint32_t runner_group_reserved_slots(const struct runner_group *g, uint32_t share_milli);

void runner_group_push(struct runner_group *g, struct item *it);
/* runner_group_top - next item of a queue or NULL; passes cancelled items before it to drop(). */
struct item *runner_group_top(struct runner_group *g, enum runner_queue q,
			      void (*drop)(void *ctx, struct item *it), void *ctx);
void runner_group_pop(struct runner_group *g, struct item *it);
/* runner_group_cancel - marks a waiting item as cancelled; a rare clean-up passes it to drop(). */
void runner_group_cancel(struct runner_group *g, struct item *it,
			 void (*drop)(void *ctx, struct item *it), void *ctx);
/*
 * runner_group_expected_wait_ms - expected wait of a request; reserved is
 * runner_group_reserved_slots(). UINT32_MAX if there is no slot that the request may take.
 */
uint32_t runner_group_expected_wait_ms(const struct runner_group *g, enum work_class class,
				       int64_t latest_start_ms, uint32_t reserved, int64_t now_ms);
/* runner_group_team_waiting - number of waiting items of a team in RUNNER_OTHER. */
uint32_t runner_group_team_waiting(const struct runner_group *g, uint32_t team);
/* runner_group_note_run - records a measured run time. */
void runner_group_note_run(struct runner_group *g, uint32_t run_ms);

#endif
