#ifndef CORE_OWNER_H
#define CORE_OWNER_H

#include <stddef.h>

#include "status.h"
#include "types.h"

/*
 * owner - schedules work on the workers of the racks that this daemon owns.
 *
 * Keeps the free capacity of each worker, the queues of every class and the running work. It reads
 * no clock and opens no socket: the caller passes the time as now_ms (monotonic), and the owner
 * acts through owner_ops. The callbacks are called only from owner_run(), owner_submit() and
 * owner_cancel(), and may not call back into the owner. Team and service are small indices chosen
 * by the caller.
 */
struct owner;

enum worker_state {
	WORKER_UNREADY = 0, /* no session or inventory yet: counts as full */
	WORKER_READY,
	WORKER_LEAVING, /* gets no new work */
	WORKER_LOST,	/* unreachable, and its lease may still be valid: counts as full */
};

struct worker_info {
	const char *name; /* copied */
	const char *rack; /* copied */
	struct res total;
	uint32_t slots;	      /* concurrent requests that the worker's runner serves, 0 for none */
	uint32_t connections; /* connections that the runner accepts */
	uint32_t service;     /* service of the runner, UINT32_MAX for none */
	struct res slot_size; /* capacity reserved for each slot, in all at most half of the
				 worker; zero: the size of the largest request so far */
};

/* One request or task to be placed on a worker. */
struct work {
	uint64_t id;	     /* unique within this owner */
	uint64_t job;	     /* job of the task, 0 for a request */
	int64_t deadline_ms; /* monotonic time by which it has to end, 0 for none */
	struct res size;
	enum work_class class;
	uint32_t team;
	uint32_t service;
	uint32_t run_ms;       /* declared run time, 0 if not declared */
	uint32_t gang_size;    /* number of tasks of its gang, 0 if it is in none */
	bool slot;	       /* needs a slot of a runner of its service */
	bool preemptible;      /* may be stopped after a checkpoint */
	bool throttleable;     /* may be limited to its declared processors */
	bool retry;	       /* repeated attempt: spends the retry budgets of service and team */
	uint32_t avoid_worker; /* handle of a worker not to use, UINT32_MAX for none */
};

enum refuse_reason {
	REFUSE_NEVER_FITS = 0, /* larger than the largest worker known to this owner */
	REFUSE_DEADLINE, /* can't end before its deadline, or urgent and can't start in time */
	REFUSE_QUEUE_FULL,
	REFUSE_QUOTA,
	REFUSE_CANCELLED,
	REFUSE_REASONS,
};

enum end_result {
	END_OK = 0,
	END_FAILED,	 /* ran and failed */
	END_REFUSED,	 /* the worker refused the start: it did not run */
	END_UNREACHABLE, /* no byte of the start was written: it did not run */
	END_LOST,	 /* handed over, result unknown */
	END_PREEMPTED,
};

struct owner_ops {
	/* start - capacity is allocated on worker; the caller sends the start now. */
	void (*start)(void *ctx, uint64_t work_id, uint32_t worker);
	/* refuse - work left the queue without running. retry_after_ms is 0 for no retry. */
	void (*refuse)(void *ctx, uint64_t work_id, enum refuse_reason reason,
		       uint32_t retry_after_ms);
	/* preempt - the caller checkpoints and stops work, then calls owner_ended(). */
	void (*preempt)(void *ctx, uint64_t work_id, uint32_t worker);
};

struct owner_conf {
	const char *policy;	       /* name as for policy_find(), NULL for the default */
	uint32_t queue_max;	       /* waiting work of all classes */
	uint32_t team_queue_max;       /* waiting work of one team */
	uint32_t urgent_reserve_milli; /* thousandths of slots and workers for urgent work */
	uint32_t urgent_start_ms;      /* urgent work that can't start within it is refused */
	uint32_t quarantine_starts;    /* consecutive failures before quarantine */
	uint32_t quarantine_min_ms;    /* delay before the first probe */
	uint32_t quarantine_max_ms;    /* upper bound of the doubled delay, without jitter */
	uint64_t seed;		       /* of the jitter in retry_after_ms and probe delays */
};

/* Free capacity as advertised to other daemons. */
struct owner_capacity {
	uint32_t service; /* UINT32_MAX for tasks */
	uint32_t free_slots;
	uint32_t queued;  /* waiting work */
	uint32_t wait_ms; /* expected wait of the next request, 0 for tasks */
	struct res free;  /* of tasks only */
};

/* owner_conf_default - fills every field with its default. */
void owner_conf_default(struct owner_conf *conf);
/* owner_create - NULL if conf names an unknown policy. ops and ctx must outlive the owner. */
struct owner *owner_create(const struct owner_conf *conf, const struct owner_ops *ops, void *ctx);
void owner_destroy(struct owner *o);

/* owner_worker_add - adds a worker in state WORKER_UNREADY and returns its handle. */
uint32_t owner_worker_add(struct owner *o, const struct worker_info *info);
/* owner_worker_remove - removes the worker and the work that runs on it; calls no callback. */
void owner_worker_remove(struct owner *o, uint32_t worker);
void owner_worker_set_state(struct owner *o, uint32_t worker, enum worker_state state,
			    int64_t now_ms);
/*
 * owner_worker_adopt - accounts for work in a worker's inventory that this owner did not start. It
 * may exceed the size of the worker, which then counts as full.
 */
void owner_worker_adopt(struct owner *o, uint32_t worker, const struct work *w, int64_t now_ms);

/* owner_set_team - sets weight and quota of a team; a zero field of quota means no limit. */
void owner_set_team(struct owner *o, uint32_t team, uint32_t weight, const struct res *quota);

/*
 * owner_submit - queues work, or refuses it at once through ops->refuse and returns false with the
 * reason in st. An id in use is an error without a call of ops->refuse. Only owner_run() starts
 * work.
 */
bool owner_submit(struct owner *o, const struct work *w, int64_t now_ms, struct status *st);
/* owner_cancel - refuses waiting work with REFUSE_CANCELLED; false if it was not waiting. */
bool owner_cancel(struct owner *o, uint64_t work_id, int64_t now_ms);
/* owner_started - records that the worker accepted the start. */
void owner_started(struct owner *o, uint64_t work_id, int64_t now_ms);
/* owner_ended - frees the capacity of the work. No effect for unknown work. */
void owner_ended(struct owner *o, uint64_t work_id, enum end_result result, int64_t now_ms);
/* owner_usage - records the measured use of running work. */
void owner_usage(struct owner *o, uint64_t work_id, const struct res *used, int64_t now_ms);

/* owner_run - places and refuses what it can at now_ms; returns the number of placements. */
uint32_t owner_run(struct owner *o, int64_t now_ms);
/* owner_next_ms - latest time for the next owner_run() if nothing changes; INT64_MAX for none. */
int64_t owner_next_ms(const struct owner *o);

/* Cost of scheduling so far. */
struct owner_stats {
	uint64_t decisions;   /* placements and refusals */
	uint64_t examined;    /* workers examined to place tasks */
	uint64_t allocations; /* items allocated; freed items are reused */
};

void owner_stats(const struct owner *o, struct owner_stats *stats);

/* owner_list_capacity - fills at most n entries of cap; returns the number of all entries. */
size_t owner_list_capacity(const struct owner *o, struct owner_capacity *cap, size_t n,
			   int64_t now_ms);
/* owner_explain - writes one line on what the work does or waits for; false for unknown work. */
bool owner_explain(const struct owner *o, uint64_t work_id, int64_t now_ms, char *buf, size_t size);

#endif
