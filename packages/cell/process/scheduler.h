#ifndef CELL_SCHEDULER_H
#define CELL_SCHEDULER_H

#include "process/admission.h"
#include "process/job_table.h"
#include "process/cell_runner.h"
#include "process/lease_ends.h"
#include "version/queues.h"

/*
 * scheduler - places the tasks of all jobs on the runners of a cell, follows their runs and writes
 * their progress to the job log.
 *
 * It has no clock and no sockets: time is a parameter, orders go out through scheduler_ops, and
 * their answers come in through the functions below, at any time and in any order.
 *
 * A start order is sent only after the intent to start is in the log. A run that may exist uses
 * capacity and keeps its task from being started again until the runner lists its end, the runner
 * is known not to have it, its lease has certainly lapsed, or the runner has restarted.
 */
struct scheduler;

/* Path to a runner: by a node in dc; each attempt after an unanswered order takes another node. */
struct route {
	const char *dc;
	uint32_t attempt;
};

/*
 * Orders are fenced: a runner refuses those with a lower fence than the highest that it has seen.
 * Each incarnation of a runner that the scheduler learns of gets a higher fence_seq, so that orders
 * to an earlier one that are carried out late are refused.
 */
#define FENCE_SEQ_BITS 20

/* scheduler_fence - the fence of an order: a later term is always higher. */
static inline uint64_t scheduler_fence(uint64_t term, uint32_t fence_seq)
{
	return term << FENCE_SEQ_BITS | MIN(fence_seq, (1U << FENCE_SEQ_BITS) - 1);
}

struct start_order {
	struct route route;
	uint32_t fence_seq;
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
	START_NOT_SENT, /* nothing was written to the connection */
	START_REFUSED,	/* by an unhealthy runner, or another incarnation of it */
	START_NO_ROOM,
	START_BAD_TICKET,
	START_LEASE_EXPIRED, /* the lease was over when the order arrived */
	START_STALE_RUN,     /* the runner has had this run of the task, or a later one */
	START_FENCED,	     /* the runner has seen a higher fence */
	START_UNKNOWN,	     /* no answer: it may have started or still start */
};

struct poll_order {
	uint64_t poll_id; /* returned with the reply */
	struct route route;
	uint32_t fence_seq;
	const char *runner;
	const char *address;
	int64_t deadline_ms; /* on the runner's clock; 0 to leave the lease as it is */
	uint64_t acked_end;  /* the runner may forget ends up to this seq */
	uint32_t wait_ms;    /* long poll: how long to wait for a run to end */
	uint32_t timeout_ms;
};

enum run_end {
	END_DONE = 0,
	END_FAILED,
	END_STOPPED,
	END_LAPSED,	     /* its lease has ended */
	END_GANG_BROKEN,     /* another member of its gang ended */
	END_GANG_INCOMPLETE, /* the members of its gang did not all start in time */
};

struct poll_running {
	const char *task;
	uint32_t run;
	const char *checkpoint;
	uint32_t usage; /* tail latency in ms of a serving task, else CPU use in milli */
};

struct poll_ended {
	uint64_t seq;
	const char *task;
	uint32_t run;
	enum run_end end;
	const char *checkpoint;
};

/* The reply to a poll. */
struct poll_reply {
	bool fenced;		/* the runner has seen a higher fence */
	bool other_incarnation; /* another incarnation of the runner answered */
	int64_t incarnation_ms;
	int64_t clock_ms;
	const struct poll_running *running;
	size_t n_running;
	const struct poll_ended *ended;
	size_t n_ended;
};

struct log_record {
	char *key;
	uint8_t *value; /* NULL to delete the key */
	size_t size;
};

struct ticket {
	const char *runner;
	const char *ticket;
};

enum decision_kind {
	DECISION_JOB_ENDED = 0,	     /* its state is the outcome */
	DECISION_JOB_INVALID,	     /* a stored job can't be done: it fails */
	DECISION_FIRST_START,	     /* of a job */
	DECISION_REFUSED,	     /* a runner refused a start */
	DECISION_UNANSWERED,	     /* a start was not answered and is stopped */
	DECISION_FAILED,	     /* a run failed */
	DECISION_HUNG,		     /* a run makes no progress and is stopped */
	DECISION_LOST,		     /* a run is gone and its end is not known */
	DECISION_GIVEN_UP,	     /* runners end under each run of the task: its job fails */
	DECISION_PREEMPTED,	     /* a run is stopped for more urgent work */
	DECISION_INTERFERES,	     /* a filler is stopped for a serving task beside it */
	DECISION_CAP_LOWERED,	     /* a planned start would exceed its team's cap of now */
	DECISION_END_IGNORED,	     /* a runner lists the end of a run that is not the live one */
	DECISION_RUNNER_SILENT,	     /* a runner does not answer polls */
	DECISION_RUNNER_RECOVERED,   /* it answers polls again */
	DECISION_RUNNER_QUARANTINED, /* too many of its runs failed in a row */
	DECISION_RUNNER_RESTARTED,
	DECISION_RUNNER_REPLACED, /* another runner answers at its address */
	DECISION_LEASE_LAPSING,	  /* its lease is not renewed any more */
	DECISION_LEASE_RESUMED,	  /* its lease may be renewed again */
};

/* Why a run counts as lost. */
enum run_loss {
	LOSS_LEASE_ENDED = 0, /* its runner was silent until the lease had ended */
	LOSS_RESTARTED,	      /* its runner has restarted */
	LOSS_REPLACED,	      /* another runner answers at the address of its runner */
	LOSS_NOT_LISTED,      /* its runner answers and does not list it */
};

/* A decision about a job or a runner, for logs and metrics. */
struct decision {
	enum decision_kind kind;
	const struct cell_job *job; /* NULL if it is about a runner only */
	const char *runner;	    /* NULL if it is about a job only */
	uint32_t task;
	uint32_t run;
	int64_t age_ms;	  /* of the job, of the run, or since the runner's last answer; length of a
			     quarantine; rest of a lease that lapses */
	enum run_end end; /* of DECISION_END_IGNORED */
	enum run_loss loss;	    /* of DECISION_LOST */
	int64_t survived_ms;	    /* of DECISION_LOST: see cell_runner_survived_ms() */
	int64_t incarnation_ms;	    /* of DECISION_RUNNER_RESTARTED */
	int64_t old_incarnation_ms; /* of DECISION_RUNNER_RESTARTED */
};

struct scheduler_ops {
	/* decided - reports a decision; may be NULL. */
	void (*decided)(void *ctx, const struct decision *d);
	void (*start)(void *ctx, const struct start_order *order);
	void (*stop)(void *ctx, const struct route *route, uint32_t fence_seq, const char *runner,
		     const char *address, const char *task, uint32_t run);
	void (*poll)(void *ctx, const struct poll_order *order);
	/* request_advice - cost_us: estimated time that the advisor takes. */
	void (*request_advice)(void *ctx, const char *step, const char *const *runner, size_t n,
			       uint64_t cost_us);
	/* write - appends records (struct log_record) to the log in one batch; owns records. */
	void (*write)(void *ctx, uint64_t batch, GPtrArray *records);
	/* expire - the job ended long ago and may be deleted from the log. */
	void (*expire)(void *ctx, const char *id);
	/* fenced - a newer scheduler exists; destroy this one later, from the main loop. */
	void (*fenced)(void *ctx, const char *by);
};

struct scheduler_conf {
	uint32_t lease_ms;	 /* lease that a runner gets for its runs */
	uint32_t lease_cap_ms;	 /* runners cut longer leases to this */
	uint32_t stop_ms;	 /* longest time that a runner takes to stop a task */
	uint32_t write_every_ms; /* between batches, as each is a call to the store */
	uint32_t status_keep_ms; /* ended jobs are kept this long */
	/*
	 * Longest time from now that runs of earlier schedulers last on an unreachable runner,
	 * unless lease_ends tells a shorter one. lease_ends is read on creation only; NULL for
	 * none.
	 */
	uint32_t inherited_ms;
	const struct lease_ends *lease_ends;
	uint64_t term;		   /* of this scheduler */
	uint32_t quota_over_milli; /* share by which a gang may exceed its team's cap, in 1/1000 */
};

/* scheduler_create - takes over the jobs in the table, with the runs that may exist. */
struct scheduler *scheduler_create(const struct scheduler_conf *conf, struct job_table *jobs,
				   const struct scheduler_ops *ops, void *ctx, int64_t now_ms);
void scheduler_destroy(struct scheduler *s);

/* scheduler_configure - sets the current configuration; q must stay valid until the next call. */
void scheduler_configure(struct scheduler *s, const struct queues *q);
/*
 * scheduler_grant_until - grants no leases and sends no starts after until_ms. Another scheduler
 * may exist by then, and it relies on the time at which the last lease ends. Unlimited by default.
 */
void scheduler_grant_until(struct scheduler *s, int64_t until_ms);
/*
 * scheduler_inherit_until - no lease of an earlier scheduler lasts after until_ms. A later time
 * than that known so far changes nothing.
 */
void scheduler_inherit_until(struct scheduler *s, int64_t until_ms);
/* scheduler_set_advisor_clients - sets how many nodes can ask the advisor at the same time. */
void scheduler_set_advisor_clients(struct scheduler *s, uint32_t n);
/* scheduler_update_runner - adds a runner, or updates it from the platform's list. */
void scheduler_update_runner(struct scheduler *s, const struct runner_info *info, int64_t now_ms);
/* scheduler_runner_gone - the platform no longer lists the runner. */
void scheduler_runner_gone(struct scheduler *s, const char *id, int64_t now_ms);
/* scheduler_job_changed - a job of the table is new, was stored or was cancelled. */
void scheduler_job_changed(struct scheduler *s, struct cell_job *j, int64_t now_ms);
/* scheduler_job_dropped - the job is about to be freed. */
void scheduler_job_dropped(struct scheduler *s, struct cell_job *j);

/* scheduler_has_teams - whether the configuration names teams, so that jobs may be rejected. */
bool scheduler_has_teams(const struct scheduler *s);
/*
 * scheduler_admit - decides whether a job that is not known yet may be appended to the job log.
 * Jobs without a team, or of one that the configuration doesn't name, are accepted.
 */
void scheduler_admit(struct scheduler *s, const Cell__Job *job, int64_t now_ms,
		     struct admission_verdict *v);

/* Answers to the calls of scheduler_ops. */
void scheduler_start_answered(struct scheduler *s, const char *runner, const char *task,
			      uint32_t run, enum start_result result, int64_t now_ms);
/* scheduler_stop_answered - answered is false if the runner may not have got the order. */
void scheduler_stop_answered(struct scheduler *s, const char *runner, const char *task,
			     uint32_t run, bool answered, int64_t now_ms);
/*
 * scheduler_poll_answered - reply is NULL if there was none. It proves nothing about runs that were
 * started after the poll was sent.
 */
void scheduler_poll_answered(struct scheduler *s, const char *runner, uint64_t poll_id,
			     const struct poll_reply *reply, int64_t now_ms);
/* scheduler_advice_answered - asked: all runners of the request; ticket: the approved ones. */
void scheduler_advice_answered(struct scheduler *s, const char *step, const char *const *asked,
			       size_t n_asked, const struct ticket *ticket, size_t n_ticket,
			       int64_t valid_until_ms, bool answered, int64_t now_ms);
/* scheduler_written - the batch and all before it are stored. */
void scheduler_written(struct scheduler *s, uint64_t batch, int64_t now_ms);

/*
 * scheduler_tick - does what is due: polls, repeated orders, placement, and a write of changed
 * jobs. Returns the latest time for the next call.
 */
int64_t scheduler_tick(struct scheduler *s, int64_t now_ms, int64_t wall_ms);

/* Counters for logs and metrics. */
struct scheduler_stats {
	uint32_t open_jobs; /* now */
	/* Of the last placement pass. */
	uint32_t waiting_tasks;
	uint32_t steps_without_room;
	uint32_t steps_awaiting_advice;
	uint32_t steps_advice_deferred; /* the advisor is too busy */
	uint32_t gangs_waiting;
	uint32_t tasks_held_back; /* by the caps of their teams; not in waiting_tasks */
	/* Now. */
	uint32_t runs;
	uint32_t runners;
	uint32_t silent_runners;
	/* Since the scheduler was created. */
	uint64_t starts;
	uint64_t starts_refused;
	uint64_t ends[END_GANG_INCOMPLETE + 1];
	uint64_t runs_lost;
	uint64_t advice_requests;
	uint64_t examined; /* runners, each time that placement looks for room on one */
};
void scheduler_stats(const struct scheduler *s, struct scheduler_stats *stats);

/* Capacity of the usable runners of one service. */
struct scheduler_pool {
	const char *service; /* valid during the call */
	uint32_t runners;
	struct resources capacity;
	struct resources used;
};
void scheduler_each_pool(const struct scheduler *s,
			 void (*fn)(void *ctx, const struct scheduler_pool *pool), void *ctx);

/* What a team has in the cell. */
struct scheduler_team {
	const char *name; /* valid during the call */
	uint32_t weight;  /* 0 if it isn't configured */
	struct resources cap;
	struct resources used;
	uint32_t runs;	       /* that may exist */
	uint32_t held_back;    /* tasks that only the cap kept waiting in the last placement pass */
	uint32_t waiting_jobs; /* open jobs that have not started */
};
/* scheduler_each_team - for each team that is configured or has runs. */
void scheduler_each_team(const struct scheduler *s,
			 void (*fn)(void *ctx, const struct scheduler_team *team), void *ctx);

#endif
