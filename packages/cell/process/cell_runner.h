#ifndef CELL_CELL_RUNNER_H
#define CELL_CELL_RUNNER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * cell_runner - a runner of tasks as the scheduler sees it: its room, what may run there, and the
 * lease under which it runs.
 *
 * Times are milliseconds of the scheduler's own clock, which counts suspension. clock_ms is the
 * runner's clock, which may be up to RUNNER_CLOCK_DRIFT_MILLI slow.
 */
#define RUNNER_LABELS_MAX	 4
#define RUNNER_CLOCK_DRIFT_MILLI 20  /* 2%: the platform's bound on a runner's steady clock */
#define RUNNER_LEASE_SLACK_MS	 100 /* timer and rounding slack on the end of a lease */

struct resources {
	int64_t cpu_milli;
	int64_t mem_bytes;
	int64_t accel;
};

/* What is known of a runner from the platform. Strings are copied by whoever keeps them. */
struct runner_info {
	const char *id;
	const char *address;
	const char *service;
	const char *dc;
	const char *rack;
	const char *label[RUNNER_LABELS_MAX];
	struct resources capacity;
	int64_t born_ms;  /* start of its life; 0 if it isn't told */
	int64_t clock_ms; /* its clock when it said so */
	bool draining;
};

enum run_state {
	RUN_PLANNED = 0, /* its intent is not in the store yet */
	RUN_SENT,	 /* ordered, no answer yet */
	RUN_CONFIRMED,	 /* the runner has it */
	RUN_UNCONFIRMED, /* ordered without an answer, or taken over from the store */
};

/* A start of a task that may exist. It takes room until it surely doesn't. */
struct run {
	struct cell_job *job;
	struct cell_runner *runner;
	uint32_t task;
	uint32_t number;
	enum run_state state;
	struct resources need;
	uint64_t intent_batch;	 /* of the intent */
	char *ticket;		 /* NULL for none */
	int64_t ticket_until_ms; /* it is not taken later */
	int64_t planned_ms;
	int64_t sent_ms;	  /* of the last order */
	int64_t confirmed_ms;	  /* when the runner is first known to have it */
	int64_t idle_since_ms;	  /* it uses no processor since, as far as was seen; 0 if it does */
	int64_t stop_sent_ms;	  /* of the last stop, 0 for none */
	int64_t stop_answered_ms; /* the runner won't start it any more, from then on; 0 for none */
	uint32_t start_orders;
	bool inherited; /* ordered by an older scheduler */
	bool stopping;	/* to be stopped */
	bool listed;	/* in the list that is being read */
};

struct cell_runner {
	char *id;
	char *address;
	char *service;
	char *dc;
	char *rack;
	char *label[RUNNER_LABELS_MAX];
	uint32_t handle; /* of this life of the runner */
	int64_t born_ms;
	struct resources capacity;
	struct resources used;
	struct resources reserved; /* set aside in the current pass */
	bool draining;
	bool gone;		  /* not listed by the platform any more */
	bool contacted;		  /* has answered this scheduler */
	int64_t first_contact_ms; /* when it did so first */
	bool polling;		  /* a look is under way */
	int64_t next_poll_ms;	  /* not to be looked at before */
	int64_t poll_sent_ms;
	uint64_t poll_id; /* of the last one; the only one whose answer counts */
	int64_t clock_ms;
	int64_t clock_local_ms;	  /* when clock_ms was read */
	int64_t granted_until_ms; /* nothing runs there after that unless it is renewed */
	int64_t answered_ms;	  /* last answer */
	uint32_t misses;	  /* looks without an answer since */
	uint64_t acked_end;	  /* ends up to here are in the store */
	uint64_t unacked_end;	  /* and up to here once seen_batch is */
	uint64_t unacked_end_batch;
	uint64_t last_end;	       /* ends up to here were read */
	uint32_t consecutive_failures; /* failures in a row */
	int64_t quarantined_until_ms;  /* no starts before */
	GPtrArray *runs;	       /* of struct run */
};

struct cell_runner *cell_runner_create(const struct runner_info *info, uint32_t handle);
void cell_runner_destroy(struct cell_runner *rn);
/* cell_runner_update - takes what may change within one life. */
void cell_runner_update(struct cell_runner *rn, const struct runner_info *info);
/* cell_runner_answered - the runner's clock was clock_ms when it answered, not later than now. */
void cell_runner_answered(struct cell_runner *rn, int64_t clock_ms, int64_t now_ms);
/*
 * cell_runner_first_contact - the runner has seen this scheduler's term: nobody else can renew what
 * runs there, which has a lease of lease_ms at most.
 */
void cell_runner_first_contact(struct cell_runner *rn, int64_t lease_ms, int64_t now_ms);
/*
 * cell_runner_grant_lease - deadline on the runner's clock for a lease of lease_ms from now; 0
 * while its clock is not known. From then on what runs there may run until it.
 */
int64_t cell_runner_grant_lease(struct cell_runner *rn, int64_t lease_ms, int64_t now_ms);
/* cell_runner_lease_bound_ms - how long a lease of ms on a runner's clock may last. */
int64_t cell_runner_lease_bound_ms(int64_t ms);
/* cell_runner_leases_lapsed - every lease that was granted there has surely ended. */
bool cell_runner_leases_lapsed(const struct cell_runner *rn, int64_t now_ms);
bool cell_runner_has_label(const struct cell_runner *rn, const char *label);
void cell_runner_add_run(struct cell_runner *rn, struct run *r);
/* cell_runner_free_run - the run is over and freed. */
void cell_runner_free_run(struct cell_runner *rn, struct run *r);
/* cell_runner_detach_run - the run goes on elsewhere. */
void cell_runner_detach_run(struct cell_runner *rn, struct run *r);

void resources_add(struct resources *to, const struct resources *what);
void resources_sub(struct resources *from, const struct resources *what);

/* Inline: asked for each runner and step in each pass. */
static inline bool resources_fits(const struct resources *need, const struct resources *free)
{
	return need->cpu_milli <= free->cpu_milli && need->mem_bytes <= free->mem_bytes &&
	       need->accel <= free->accel;
}

/* cell_runner_free_capacity - room left for another task, less what is set aside. */
static inline struct resources cell_runner_free_capacity(const struct cell_runner *rn)
{
	return (struct resources){
		.cpu_milli = rn->capacity.cpu_milli - rn->used.cpu_milli - rn->reserved.cpu_milli,
		.mem_bytes = rn->capacity.mem_bytes - rn->used.mem_bytes - rn->reserved.mem_bytes,
		.accel = rn->capacity.accel - rn->used.accel - rn->reserved.accel,
	};
}

#endif
