#ifndef CORE_OWNER_H
#define CORE_OWNER_H

#include <stddef.h>

#include "status.h"
#include "types.h"

/*
 * owner - decides placements on the workers of the racks that this daemon owns.
 *
 * Holds each worker's free room, the queues of every class and what runs where. It reads no clock
 * and opens no socket: time comes in as now_ms (monotonic), and effects go out through owner_ops.
 * Effects are called only from owner_run(), owner_submit() and owner_cancel(), and may not call
 * back into the owner. Team and service are small indices given by the caller.
 */
struct owner;

enum worker_state {
	WORKER_UNREADY = 0, /* no session or inventory yet: counts as full */
	WORKER_READY,
	WORKER_LEAVING, /* gets no new work */
	WORKER_LOST,	/* unreachable, lease not yet surely lapsed: counts as full */
};

struct worker_info {
	const char *name; /* copied */
	const char *rack; /* copied */
	struct res total;
	uint32_t slots;	      /* requests that the worker's runner serves at once; 0 for none */
	uint32_t connections; /* connections that the runner accepts */
	uint32_t service;     /* service of the runner, UINT32_MAX for none */
	struct res slot_size; /* room set aside for each slot, at most half of the worker; zero:
				 that of the largest request so far */
};

/* One thing to be placed. */
struct work {
	uint64_t id;	     /* unique within this owner */
	uint64_t job;	     /* job that it belongs to, 0 for a request */
	int64_t deadline_ms; /* latest useful end, monotonic; 0 for none */
	struct res size;
	enum work_class class;
	uint32_t team;
	uint32_t service;
	uint32_t run_ms;       /* declared run time, 0 if not declared */
	uint32_t gang_size;    /* tasks of the all-at-once job, else 0 */
	bool slot;	       /* takes a slot of a runner of its service */
	bool preemptible;      /* may be checkpointed and stopped */
	bool throttleable;     /* may be slowed down */
	bool retry;	       /* a repeated attempt: spends the budgets of service and team */
	uint32_t avoid_worker; /* handle of a worker not to use, UINT32_MAX for none */
};

enum refuse_reason {
	REFUSE_NEVER_FITS = 0, /* larger than the largest worker known to this owner */
	REFUSE_DEADLINE,       /* can't end in time */
	REFUSE_QUEUE_FULL,
	REFUSE_QUOTA,
	REFUSE_CANCELLED,
	REFUSE_REASONS,
};

enum end_result {
	END_OK = 0,
	END_FAILED,	 /* ran and failed */
	END_REFUSED,	 /* the worker itself refused the start: it did not run */
	END_UNREACHABLE, /* no byte of the start was written: it did not run */
	END_LOST,	 /* handed over, end not known */
	END_PREEMPTED,
};

struct owner_ops {
	/* start - work has been given room on worker; its start is to be sent now. */
	void (*start)(void *ctx, uint64_t work, uint32_t worker);
	/* refuse - work left the queue without running. retry_after_ms is when to come back. */
	void (*refuse)(void *ctx, uint64_t work, enum refuse_reason reason,
		       uint32_t retry_after_ms);
	/* preempt - work is to be checkpointed and stopped; owner_ended() follows later. */
	void (*preempt)(void *ctx, uint64_t work, uint32_t worker);
};

struct owner_conf {
	const char *policy;	 /* name of an entry of the policy table; NULL for the default */
	uint32_t queue_max;	 /* work waiting in all classes together */
	uint32_t team_queue_max; /* work waiting of one team */
	uint32_t urgent_reserve_milli; /* share of slots and room kept for urgent work, of 1000 */
	uint32_t urgent_start_ms;      /* urgent work that can't start by then is refused */
	uint32_t quarantine_starts;    /* consecutive failed starts before quarantine */
	uint32_t quarantine_min_ms;
	uint32_t quarantine_max_ms;
	uint64_t seed; /* of the jitter in retry_after_ms and probe delays */
};

/* Free room as told to other daemons. service UINT32_MAX stands for tasks. */
struct owner_capacity {
	uint32_t service;
	uint32_t free_slots;
	uint32_t queued;
	uint32_t wait_ms; /* expected wait of the next request */
	struct res free;
};

/* owner_conf_default - fills every field with the documented default. */
void owner_conf_default(struct owner_conf *conf);
/* owner_create - returns NULL if conf names an unknown policy. ops and ctx outlive the owner. */
struct owner *owner_create(const struct owner_conf *conf, const struct owner_ops *ops, void *ctx);
void owner_destroy(struct owner *o);

/* owner_worker_add - returns the handle of a worker, at first WORKER_UNREADY. */
uint32_t owner_worker_add(struct owner *o, const struct worker_info *info);
/* owner_worker_remove - forgets the worker; work that runs there is no longer counted. */
void owner_worker_remove(struct owner *o, uint32_t worker);
void owner_worker_set_state(struct owner *o, uint32_t worker, enum worker_state state,
			    int64_t now_ms);
/*
 * owner_worker_adopt - counts work that a worker's inventory lists and this owner did not start.
 * Room is taken even where that leaves less than nothing free (then the worker counts as full).
 */
void owner_worker_adopt(struct owner *o, uint32_t worker, const struct work *w, int64_t now_ms);

/* owner_set_team - sets a team's weight and quota; zero fields of quota mean no limit. */
void owner_set_team(struct owner *o, uint32_t team, uint32_t weight, const struct res *quota);

/*
 * owner_submit - takes work into the queue, or refuses it at once through ops->refuse and returns
 * false with the reason in st. Does not start work: owner_run() does.
 */
bool owner_submit(struct owner *o, const struct work *w, int64_t now_ms, struct status *st);
/* owner_cancel - true if the work was waiting (it is then refused with REFUSE_CANCELLED). */
bool owner_cancel(struct owner *o, uint64_t work, int64_t now_ms);
/* owner_started - the worker accepted the start. */
void owner_started(struct owner *o, uint64_t work, int64_t now_ms);
/* owner_ended - frees the room. Safe to call for unknown work. */
void owner_ended(struct owner *o, uint64_t work, enum end_result result, int64_t now_ms);
/* owner_usage - measured use of running work. */
void owner_usage(struct owner *o, uint64_t work, const struct res *used, int64_t now_ms);

/* owner_run - decides all that can be decided at now_ms; returns the number of placements. */
uint32_t owner_run(struct owner *o, int64_t now_ms);
/* owner_next_ms - when owner_run() has to be called again at the latest; INT64_MAX for never. */
int64_t owner_next_ms(const struct owner *o);

/* What deciding has cost so far. */
struct owner_stats {
	uint64_t decisions;   /* placements and refusals */
	uint64_t examined;    /* workers looked at to place tasks */
	uint64_t allocations; /* of items; those freed are used again */
};

void owner_stats(const struct owner *o, struct owner_stats *stats);

/* owner_list_capacity - fills at most n entries of cap; returns how many there are. */
size_t owner_list_capacity(const struct owner *o, struct owner_capacity *cap, size_t n,
			   int64_t now_ms);
/* owner_explain - one line of text on why the work waits; false if it is not known here. */
bool owner_explain(const struct owner *o, uint64_t work, int64_t now_ms, char *buf, size_t size);

#endif
