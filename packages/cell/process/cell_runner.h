#ifndef CELL_CELL_RUNNER_H
#define CELL_CELL_RUNNER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "cell.pb-c.h"
#include "request/resources.h"

/*
 * cell_runner - the scheduler's view of a runner: its capacity, the runs that may exist there and
 * the lease that covers them.
 *
 * Times are milliseconds of the scheduler's clock, which counts suspension. clock_ms is a time of
 * the runner's clock, which may be slow by up to RUNNER_CLOCK_DRIFT_MILLI. Each restart of a runner
 * begins a new incarnation, with a struct cell_runner of its own.
 */
#define RUNNER_LABELS_MAX	 4
#define RUNNER_CLOCK_DRIFT_MILLI 20  /* 2%: the platform's bound for a runner's monotonic clock */
#define RUNNER_LEASE_SLACK_MS	 100 /* timer slack and rounding at the end of a lease */

/* A runner as listed by the platform. The strings belong to the caller. */
struct runner_info {
	const char *id;
	const char *address;
	const char *service;
	const char *dc;
	const char *rack;
	const char *label[RUNNER_LABELS_MAX];
	struct resources capacity;
	int64_t incarnation_ms; /* start of the incarnation; 0 if unknown */
	int64_t clock_ms;	/* the runner's clock when it reported this */
	bool draining;
};

enum run_state {
	RUN_PLANNED = 0, /* the intent to start it is not in the job log yet */
	RUN_SENT,	 /* start order sent, no answer yet */
	RUN_CONFIRMED,	 /* reported by the runner */
	RUN_UNCONFIRMED, /* start order not answered, or inherited from the job log */
};

/* A start of a task. It counts against the capacity until it certainly does not exist. */
struct run {
	struct cell_job *job;
	struct cell_runner *runner;
	const Cell__Step *spec;
	uint32_t task;	 /* number of the task in the job */
	uint32_t number; /* of this start of the task, from 1 */
	enum run_state state;
	struct resources need;
	uint64_t intent_batch;	 /* batch of the job log with the intent; 0 for none yet */
	char *ticket;		 /* NULL for none */
	int64_t ticket_until_ms; /* the runner refuses the ticket after that */
	int64_t planned_ms;
	int64_t sent_ms;	      /* last start order */
	int64_t confirmed_ms;	      /* first report by the runner */
	int64_t idle_since_ms;	      /* since when no CPU use is reported; 0 while some is */
	int64_t over_target_since_ms; /* of its tail latency, beside fillers; 0 if it isn't */
	int64_t stop_sent_ms;	      /* last stop order, 0 for none */
	int64_t stop_answered_ms;     /* from then on the runner won't start it; 0 for none */
	uint32_t start_orders;	      /* sent so far */
	bool inherited;	    /* started by an earlier scheduler, not yet listed by the runner */
	bool stopping;	    /* a stop was requested, maybe not sent yet */
	bool started_alone; /* on a runner without other runs */
	bool alone;	    /* no other run may start on its runner */
	bool gang_done;	    /* its gang has ended as done, and its own end will be listed */
	bool listed;	    /* in the poll reply being read */
};

struct cell_runner {
	char *id;
	char *address;
	uint64_t host; /* hash of the address, which a restart keeps; 0 if unknown */
	char *service;
	char *dc;
	char *rack;
	char *label[RUNNER_LABELS_MAX];
	uint32_t handle; /* number unique for each incarnation, rising; also in its fence */
	int64_t incarnation_ms;
	struct resources capacity;
	struct resources used;	   /* by the runs */
	uint32_t alone;		   /* runs that keep others off */
	bool kept_empty;	   /* for one, in the current placement pass */
	struct resources reserved; /* for steps of higher rank, in the current placement pass */
	struct resources awaited;  /* part of reserved, for which there is no room yet */
	int64_t awaited_ms;	   /* time until the room for awaited is expected */
	bool draining;
	bool gone;		  /* no longer listed by the platform */
	bool replaced;		  /* another runner answers at its address */
	bool restarted;		  /* this scheduler knew an earlier incarnation */
	bool lapsing;		  /* gets no lease; see lapse.h */
	bool contacted;		  /* has answered this scheduler */
	int64_t first_contact_ms; /* its first answer to this scheduler */
	bool polling;		  /* a poll is in flight */
	int64_t next_poll_ms;	  /* earliest next poll */
	int64_t poll_sent_ms;
	uint64_t poll_id; /* last poll; replies to earlier ones are ignored */
	int64_t clock_ms;
	int64_t clock_local_ms;	  /* our clock when clock_ms was received */
	int64_t granted_until_ms; /* end of the last lease, by our clock */
	int64_t answered_ms;	  /* last reply to a poll */
	int64_t alive_ms;	  /* last answer to an order */
	bool has_unread_runs;	  /* its last reply lists runs of jobs that were not read yet */
	uint32_t misses;	  /* polls without a reply and starts without effect since then */
	uint64_t acked_end;	  /* ends up to this seq are stored: the runner may forget them */
	uint64_t unacked_end;	  /* acked_end once unacked_end_batch is stored */
	uint64_t unacked_end_batch;
	uint64_t last_end;	       /* last seq processed */
	uint32_t consecutive_failures; /* of runs, across jobs */
	int64_t quarantined_until_ms;  /* no starts before that */
	int64_t no_fillers_until_ms;   /* none start beside serving tasks with a target */
	int64_t filler_pause_ms;       /* length of that pause; 0 if there was none */
	int64_t unexpected_until_ms;   /* runs that the scheduler doesn't track may exist */
	GPtrArray *runs;	       /* of struct run */
};

struct cell_runner *cell_runner_create(const struct runner_info *info, uint32_t handle);
void cell_runner_destroy(struct cell_runner *rn);
/* cell_runner_update - updates what may change within one incarnation. */
void cell_runner_update(struct cell_runner *rn, const struct runner_info *info);
/* cell_runner_set_address - address and data centre may be NULL. */
void cell_runner_set_address(struct cell_runner *rn, const char *address, const char *dc);
/* cell_runner_answered - notes the reply to a poll, sent at clock_ms by the runner's clock. */
void cell_runner_answered(struct cell_runner *rn, int64_t clock_ms, int64_t now_ms);
/*
 * cell_runner_first_contact - notes that this incarnation has seen its fence. No order of an
 * earlier scheduler or to an earlier incarnation can renew its lease any more, so the lease ends
 * within lease_ms.
 */
void cell_runner_first_contact(struct cell_runner *rn, int64_t lease_ms, int64_t now_ms);
/*
 * cell_runner_grant_lease - grants a lease of lease_ms from now. Returns its deadline by the
 * runner's clock, or 0 (nothing granted) while that clock is not known.
 */
int64_t cell_runner_grant_lease(struct cell_runner *rn, int64_t lease_ms, int64_t now_ms);
/*
 * cell_runner_survived_ms - time from the start of the run to the last answer of its runner; -1 if
 * none has come since then, or the start was not confirmed.
 */
int64_t cell_runner_survived_ms(const struct cell_runner *rn, const struct run *r);
/* cell_runner_lease_bound_ms - longest time that ms on a runner's clock may take. */
int64_t cell_runner_lease_bound_ms(int64_t ms);
/* cell_runner_leases_lapsed - true if all leases granted there have certainly ended. */
bool cell_runner_leases_lapsed(const struct cell_runner *rn, int64_t now_ms);
bool cell_runner_has_label(const struct cell_runner *rn, const char *label);
/* cell_runner_add_run - takes ownership of the run and counts its resources as used. */
void cell_runner_add_run(struct cell_runner *rn, struct run *r);
/* cell_runner_free_run - removes the run and frees it. */
void cell_runner_free_run(struct cell_runner *rn, struct run *r);
/* cell_runner_share - other runs may join one that was started alone. */
void cell_runner_share(struct cell_runner *rn, struct run *r);
/* cell_runner_detach_run - removes the run, which the caller then owns. */
void cell_runner_detach_run(struct cell_runner *rn, struct run *r);

/* cell_runner_free_capacity - capacity that is neither used nor reserved. */
static inline struct resources cell_runner_free_capacity(const struct cell_runner *rn)
{
	return (struct resources){
		.cpu_milli = rn->capacity.cpu_milli - rn->used.cpu_milli - rn->reserved.cpu_milli,
		.mem_bytes = rn->capacity.mem_bytes - rn->used.mem_bytes - rn->reserved.mem_bytes,
		.accel = rn->capacity.accel - rn->used.accel - rn->reserved.accel,
	};
}

#endif
