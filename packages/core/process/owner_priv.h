#ifndef CORE_OWNER_PRIV_H
#define CORE_OWNER_PRIV_H

#include <glib.h>

#include "estimate.h"
#include "fair.h"
#include "gang.h"
#include "hold.h"
#include "policy.h"
#include "quarantine.h"
#include "reserve.h"
#include "workerindex.h"
#include "runner.h"

/* owner_priv - what the modules of an owner share; see owner.h for what it does. */

#define OWNER_TASKS UINT32_MAX /* in place of a service: work that takes no slot */

struct owner {
	struct owner_conf conf;
	const struct owner_ops *ops;
	void *ctx;
	const struct policy_ops *policy;
	struct worker_index *workers;
	struct reserve reserve;
	struct fair *fair;
	struct quarantine *quarantine;
	struct estimates estimates;
	struct heap victims; /* running work that may be preempted */
	struct gangs gangs;
	struct hold hold;
	GHashTable *items;		 /* id -> struct item, waiting and running */
	GHashTable *groups;		 /* service -> struct runner_group */
	struct runner_group *task_group; /* urgent tasks and other tasks with a deadline */
	struct heap expiry;	 /* groups by the time at which their next request expires */
	GPtrArray *dirty_groups; /* groups in which something has changed */
	GHashTable *rack_counts; /* job and rack -> tasks of a service there */
	GRand *rand;
	struct item *free_items; /* items to use again, linked by next */
	uint64_t seq;
	uint32_t waiting;
	GArray *freed;	   /* workers on which room has appeared since parked teams were tried */
	guint freed_first; /* the ones before it are done with */
	double last_served_key[FAIR_LANES]; /* of the team that was served last */
	bool gangs_changed;
	int64_t gangs_due_ms; /* when gangs have to be looked at again, INT64_MAX for never */
	int64_t gangs_not_before_ms; /* they are not looked at before */
	int64_t hold_not_before_ms;
	int64_t avoid_retry_ms; /* when avoided workers may be tried again */
	int64_t retry_ms;	/* when to try again what was left undecided */
	uint64_t allocations;
	uint64_t decisions;
};

/* owner_group - runners of a service, made at first use; OWNER_TASKS for the tasks' queue. */
struct runner_group *owner_group(struct owner *o, uint32_t service);
/* owner_queued_in_group - true if the work waits in a group's queue rather than in its team's. */
bool owner_queued_in_group(const struct work *w);
struct runner_group *owner_group_of(struct owner *o, const struct work *w);
struct item *owner_item_new(struct owner *o, const struct work *w, int64_t now_ms);
/* owner_mark_dirty - has the group decided in the next run. */
void owner_mark_dirty(struct owner *o, struct runner_group *g);
/* owner_note_freed - free room has appeared on the worker. */
void owner_note_freed(struct owner *o, uint32_t worker);
/* owner_item_free - frees an item that stands nowhere any more; fits the drop() of the queues. */
void owner_item_free(void *ctx, struct item *it);
/* owner_refuse - waiting work that has left its queue is given back to the caller. */
void owner_refuse(struct owner *o, struct item *it, enum refuse_reason reason, int64_t now_ms);
/* owner_retry_after_ms - when to come back for work that would have had to wait for wait_ms. */
uint32_t owner_retry_after_ms(struct owner *o, const struct work *w, uint32_t wait_ms,
			      int64_t now_ms);
/* owner_allocate - gives work room on a worker; owner_start() tells of it. */
void owner_allocate(struct owner *o, struct item *it, uint32_t worker, int64_t now_ms);
void owner_release(struct owner *o, struct item *it);
/* owner_release_hold - the gang that holds workers is gone, has started or must choose anew. */
void owner_release_hold(struct owner *o);
void owner_start(struct owner *o, struct item *it, int64_t now_ms);

#endif
