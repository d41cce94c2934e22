#ifndef CORE_RUNNER_H
#define CORE_RUNNER_H

#include "heap.h"
#include "retrybudget.h"
#include "workerindex.h"

/*
 * runner - the runners of one service and the requests that wait for their slots.
 *
 * Runners are in lists by their number of free slots, so the one with the most is found in constant
 * time. Some slots of the group are reserved for urgent requests. A group of the same kind, without
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
	uint32_t waiting_by_deadline[RUNNER_DEADLINE_BUCKETS + 1];
	GHashTable *waiting_by_team; /* team -> items in RUNNER_OTHER */
	struct retrybudget retries;
	struct retrypace pace;
	uint32_t run_mean_ms; /* moving mean of run times */
	uint32_t heap_index;  /* in owner->expiry */
	int64_t expiry_ms;    /* when the next waiting request has to be refused */
	bool dirty;	      /* listed in owner->dirty_groups */
};

struct runner_group *runner_create(uint32_t service, bool (*before)(const void *a, const void *b));
/* runner_destroy - passes waiting items to drop(). */
void runner_destroy(struct runner_group *g, void (*drop)(void *ctx, struct item *it), void *ctx);

/* runner_update - moves a runner to its list; call it after any change of its slots or state. */
void runner_update(struct runner_group *g, struct worker_index *wi, uint32_t worker);
/* runner_pick - runner with the most free slots on which the work fits, or WORKER_NONE. */
uint32_t runner_pick(const struct runner_group *g, const struct worker_index *wi,
		     const struct work *w);
/* runner_pick_first - runner with the lowest handle on which the work fits, or WORKER_NONE. */
uint32_t runner_pick_first(const struct runner_group *g, const struct worker_index *wi,
			   const struct work *w);
/* runner_reserved_slots - free slots that only urgent requests may take now. */
uint32_t runner_reserved_slots(const struct runner_group *g, uint32_t share_milli);

void runner_push(struct runner_group *g, struct item *it);
/* runner_top - next item of a queue or NULL; passes cancelled items before it to drop(). */
struct item *runner_top(struct runner_group *g, enum runner_queue q,
			void (*drop)(void *ctx, struct item *it), void *ctx);
void runner_pop(struct runner_group *g, struct item *it);
/* runner_cancel - marks a waiting item as cancelled, in constant time except for rare clean-ups. */
void runner_cancel(struct runner_group *g, struct item *it,
		   void (*drop)(void *ctx, struct item *it), void *ctx);
/*
 * runner_expected_wait_ms - expected wait of a request; reserve is runner_reserved_slots().
 * UINT32_MAX if there are no slots that it may take.
 */
uint32_t runner_expected_wait_ms(const struct runner_group *g, enum work_class class,
				 int64_t latest_start_ms, uint32_t reserve, int64_t now_ms);
/* runner_team_waiting - number of waiting items of a team in RUNNER_OTHER. */
uint32_t runner_team_waiting(const struct runner_group *g, uint32_t team);
/* runner_note_run - records a measured run time. */
void runner_note_run(struct runner_group *g, uint32_t run_ms);

#endif
