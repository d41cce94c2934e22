#ifndef CELL_SCHEDULER_H
#define CELL_SCHEDULER_H

#include "process/job_table.h"
#include "process/cell_runner.h"
#include "version/queues.h"

/*
 * scheduler - places the tasks of all jobs on the runners of a cell, follows their runs, and says
 * what to write to the job log.
 *
 * It has no clock and no socket: time is a parameter, effects go through scheduler_ops and their
 * answers come back by the functions below, in any order and long after.
 *
 * A start is ordered only after its intent is in the log. A run that may exist takes room and keeps
 * its task from being started again until its end is listed by the runner, the runner is known not
 * to have it, its lease has surely lapsed, or the runner was born again.
 */
struct scheduler;

/* Way to a runner; rank asks for another one after orders without an answer. */
struct route {
	const char *dc;
	uint32_t attempt;
};

struct start_order {
	struct route route;
	const char *runner;
	const char *address;
	const char *task;
	const char *payload;
	const char *ticket;	/* NULL for none */
	const char *checkpoint; /* NULL for none */
	uint32_t run;
	int64_t deadline_ms; /* on the runner's clock */
	uint32_t timeout_ms;
};

enum start_result {
	START_OK = 0,
	START_NOT_SENT, /* no byte of it was written */
	START_REFUSED,	/* by an unhealthy runner, or another life of it */
	START_NO_ROOM,
	START_BAD_TICKET,
	START_LEASE_EXPIRED, /* its lease was over when it came */
	START_STALE_RUN,     /* a run of this number or a higher one has been there */
	START_FENCED,	     /* a newer scheduler has been there */
	START_UNKNOWN,
};

struct poll_order {
	uint64_t poll_id; /* to be told with the answer */
	struct route route;
	const char *runner;
	const char *address;
	int64_t deadline_ms; /* on the runner's clock; 0 to leave the lease as it is */
	uint64_t acked_end;  /* ends up to here may be forgotten */
	uint32_t wait_ms;    /* for an end */
	uint32_t timeout_ms;
};

enum run_end {
	END_DONE = 0,
	END_FAILED,
	END_STOPPED,
	END_LAPSED,
	END_GANG_BROKEN,     /* another member of its gang ended */
	END_GANG_INCOMPLETE, /* its gang was not complete in time */
};

struct poll_running {
	const char *task;
	uint32_t run;
	const char *checkpoint;
	uint32_t usage; /* tail of a serving task in ms, else cpu in use in milli */
};

struct poll_ended {
	uint64_t seq;
	const char *task;
	uint32_t run;
	enum run_end end;
	const char *checkpoint;
};

/* The answer to a look. */
struct poll_reply {
	bool fenced;		/* a newer scheduler has been there */
	bool other_incarnation; /* another life of the runner answered */
	int64_t born_ms;
	int64_t clock_ms;
	const struct poll_running *running;
	size_t n_running;
	const struct poll_ended *ended;
	size_t n_ended;
};

struct log_record {
	char *key;
	uint8_t *value; /* NULL to drop the key */
	size_t size;
};

struct ticket {
	const char *runner;
	const char *ticket;
};

enum decision_kind {
	DECISION_JOB_ENDED = 0, /* outcome in state */
	DECISION_FIRST_START,	/* of the job */
	DECISION_REFUSED,	/* a runner refused a start */
	DECISION_UNANSWERED,	/* a start was not answered and is stopped */
	DECISION_FAILED,	/* a run ended by a fault */
	DECISION_HUNG,		/* a run stands still and is stopped */
	DECISION_LOST,		/* a run ended without an end of its own */
	DECISION_PREEMPTED,	/* a run is stopped for more urgent work */
	DECISION_RUNNER_SILENT, /* a runner does not answer looks */
	DECISION_RUNNER_RECOVERED,
	DECISION_RUNNER_QUARANTINED, /* it fails what it starts */
	DECISION_RUNNER_RESTARTED,   /* it was born again */
};

/* A decision that touches a job or what is believed of a runner. */
struct decision {
	enum decision_kind kind;
	const struct cell_job *job; /* NULL if it is about a runner only */
	const char *runner;	    /* NULL if it is about a job only */
	uint32_t task;
	uint32_t run;
	int64_t age_ms; /* of the job, the run, or what is known of the runner */
};

struct scheduler_ops {
	/* decided - may be NULL. */
	void (*decided)(void *ctx, const struct decision *d);
	void (*start)(void *ctx, const struct start_order *order);
	void (*stop)(void *ctx, const struct route *route, const char *runner, const char *address,
		     const char *task, uint32_t run);
	void (*poll)(void *ctx, const struct poll_order *order);
	/* cost_us - about how long the advisor takes. */
	void (*request_advice)(void *ctx, const char *step, const char *const *runner, size_t n,
			       uint64_t cost_us);
	/* write - records (struct log_record) for the scheduler's partition, in one append. */
	void (*write)(void *ctx, uint64_t batch, GPtrArray *records);
	/* expire - the job may be dropped from the log. */
	void (*expire)(void *ctx, const char *id);
	/* fenced - a newer scheduler is at work; to be destroyed from the loop. */
	void (*fenced)(void *ctx, const char *by);
};

struct scheduler_conf {
	uint32_t lease_ms;	 /* of what runs */
	uint32_t lease_cap_ms;	 /* a runner shortens longer ones to that */
	uint32_t stop_ms;	 /* a runner takes at most that long to stop a task */
	uint32_t write_every_ms; /* between batches for the log, each a call to the store */
	uint32_t status_keep_ms; /* ended jobs are known for that long */
	/* Runs of an older scheduler may live that long, from now, on a runner out of reach. */
	uint32_t inherited_ms;
};

struct scheduler *scheduler_create(const struct scheduler_conf *conf, struct job_table *jobs,
				   const struct scheduler_ops *ops, void *ctx, int64_t now_ms);
void scheduler_destroy(struct scheduler *s);

/* scheduler_configure - the version in force; it has to stay valid until the next call. */
void scheduler_configure(struct scheduler *s, const struct queues *q);
/*
 * scheduler_grant_until - no leases are granted after that time, and no starts sent: another
 * scheduler may be at work by then, and has to know when the last of them end. Without a call
 * there is no bound.
 */
void scheduler_grant_until(struct scheduler *s, int64_t until_ms);
/* scheduler_set_advisor_clients - so many processes may ask the advisor at the same time. */
void scheduler_set_advisor_clients(struct scheduler *s, uint32_t n);
/* scheduler_update_runner - a runner as the platform lists it now. */
void scheduler_update_runner(struct scheduler *s, const struct runner_info *info, int64_t now_ms);
void scheduler_runner_gone(struct scheduler *s, const char *id, int64_t now_ms);
/* scheduler_job_changed - a job of the book is new or was cancelled. */
void scheduler_job_changed(struct scheduler *s, struct cell_job *j, int64_t now_ms);
void scheduler_job_dropped(struct scheduler *s, struct cell_job *j);

/* Answers to what was ordered. */
void scheduler_start_answered(struct scheduler *s, const char *runner, const char *task,
			      uint32_t run, enum start_result result, int64_t now_ms);
/* scheduler_stop_answered - answered is true if the runner has taken the order. */
void scheduler_stop_answered(struct scheduler *s, const char *runner, const char *task,
			     uint32_t run, bool answered, int64_t now_ms);
/*
 * scheduler_poll_answered - the answer to look `no`; look is NULL if there was none. What a list
 * leaves out counts from the time at which that look was sent.
 */
void scheduler_poll_answered(struct scheduler *s, const char *runner, uint64_t no,
			     const struct poll_reply *reply, int64_t now_ms);
/* scheduler_advice_answered - asked is the list that was asked for; ticket those that were
 * approved. */
void scheduler_advice_answered(struct scheduler *s, const char *step, const char *const *asked,
			       size_t n_asked, const struct ticket *ticket, size_t n_ticket,
			       int64_t valid_until_ms, bool answered, int64_t now_ms);
void scheduler_written(struct scheduler *s, uint64_t batch, int64_t now_ms);

/*
 * scheduler_tick - does what is due: looks, repeated orders, placement, and a write of what has
 * changed. Returns when it wants to be called again at the latest.
 */
int64_t scheduler_tick(struct scheduler *s, int64_t now_ms, int64_t wall_ms);

/* Sums for logs and metrics. */
struct scheduler_stats {
	uint32_t open_jobs;
	uint32_t waiting_tasks; /* of the last pass, as the four below */
	uint32_t steps_without_room;
	uint32_t steps_awaiting_advice;
	uint32_t steps_advice_deferred; /* the advisor has too much to do */
	uint32_t gangs_waiting;
	uint32_t runs;
	uint32_t runners;
	uint32_t silent_runners;
	uint64_t starts;
	uint64_t starts_refused;
	uint64_t ends[END_GANG_INCOMPLETE + 1];
	uint64_t runs_lost;
	uint64_t advice_requests;
};
void scheduler_stats(const struct scheduler *s, struct scheduler_stats *stats);

/* Room of the runners of one service that may be used. */
struct scheduler_pool {
	const char *service; /* valid during the call */
	uint32_t runners;
	struct resources capacity;
	struct resources used;
};
void scheduler_each_pool(const struct scheduler *s,
			 void (*fn)(void *ctx, const struct scheduler_pool *pool), void *ctx);

#endif
