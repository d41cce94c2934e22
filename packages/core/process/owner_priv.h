#ifndef CORE_OWNER_PRIV_H
#define CORE_OWNER_PRIV_H

#include <glib.h>

#include "estimate.h"
#include "fair.h"
#include "gang.h"
#include "ganghold.h"
#include "policy.h"
#include "quarantine.h"
#include "urgentreserve.h"
#include "runnergroup.h"
#include "workerindex.h"

/* owner_priv - internals shared by the modules of an owner; owner.h is the public interface. */

#define OWNER_TASKS UINT32_MAX /* service index for work that takes no slot */

struct owner {
	struct owner_conf conf;
	const struct owner_ops *ops;
	void *ctx;
	const struct policy_ops *policy;
	struct worker_index *workers;
	struct urgent_reserve urgent_reserve;
	struct fair *fair;
	struct quarantine *quarantine;
	struct estimates estimates;
	struct heap victims; /* running work that may be preempted */
	struct gangs gangs;
	struct gang_hold hold;
	GHashTable *items;		 /* id -> struct item, waiting and running */
	GHashTable *groups;		 /* service -> struct runner_group */
	struct runner_group *task_group; /* urgent tasks and other tasks with a deadline */
	struct heap expiry;		 /* groups by expiry_ms */
	GPtrArray *dirty_groups;	 /* groups to schedule in the next run */
	GHashTable *rack_counts; /* hash of job and rack -> running tasks, of WORK_SERVICE */
	GRand *rand;
	struct item *free_items; /* free list, linked by next */
	uint64_t seq;
	uint32_t waiting;
	GArray *freed;	   /* workers with capacity freed since parked teams were last tried */
	guint freed_first; /* index of the first one not yet handled */
	double last_served_key[FAIR_LANES]; /* key of the team served last */
	bool gangs_changed;
	int64_t gangs_due_ms; /* gangs are tried again at the latest then; INT64_MAX for never */
	int64_t gangs_not_before_ms; /* gangs are not tried before this time */
	int64_t hold_not_before_ms;  /* no gang looks for workers to hold before this time */
	int64_t avoid_retry_ms;	     /* when to retry workers that a job avoided */
	int64_t retry_ms;	     /* when to continue with the rest of freed */
	uint64_t allocations;	     /* see struct owner_stats */
	uint64_t decisions;
};

/* owner_group - runner group of a service, created at first use; OWNER_TASKS for the task group. */
struct runner_group *owner_group(struct owner *o, uint32_t service);
/* owner_queued_in_group - true if the work waits in a runner group and not in its team's queue. */
bool owner_queued_in_group(const struct work *w);
/* owner_group_of - group of the service of w, or the task group if w takes no slot. */
struct runner_group *owner_group_of(struct owner *o, const struct work *w);
/* owner_item_new - waiting item for a copy of w; owner_item_free() frees it. */
struct item *owner_item_new(struct owner *o, const struct work *w, int64_t now_ms);
/* owner_mark_dirty - schedules the group in the next run. */
void owner_mark_dirty(struct owner *o, struct runner_group *g);
/* owner_note_freed - records that capacity was freed on the worker. */
void owner_note_freed(struct owner *o, uint32_t worker);
/* owner_item_free - frees an item that is in no queue and on no worker; usable as drop(). */
void owner_item_free(void *ctx, struct item *it);
/* owner_refuse - refuses waiting work that has left its queue; the item stays allocated. */
void owner_refuse(struct owner *o, struct item *it, enum refuse_reason reason, int64_t now_ms);
/* owner_retry_after_ms - retry delay for refused work that would have waited for wait_ms. */
uint32_t owner_retry_after_ms(struct owner *o, const struct work *w, uint32_t wait_ms,
			      int64_t now_ms);
/* owner_allocate - allocates capacity on a worker; owner_start() then starts the work. */
void owner_allocate(struct owner *o, struct item *it, uint32_t worker, int64_t now_ms);
/* owner_release - undoes owner_allocate(). */
void owner_release(struct owner *o, struct item *it);
/* owner_release_hold - releases the held workers: the gang started, left or has to choose again. */
void owner_release_hold(struct owner *o);
/* owner_start - starts work through ops->start; capacity is already allocated. */
void owner_start(struct owner *o, struct item *it, int64_t now_ms);

#endif
