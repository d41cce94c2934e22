#ifndef CELL_EXEC_H
#define CELL_EXEC_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * exec - a runner of tasks as the scheduler sees it: its room, what may run there, and the lease
 * under which it runs.
 *
 * Times are milliseconds of the scheduler's own clock, which counts suspension. clock_ms is the
 * runner's clock, which may be up to EXEC_DRIFT_MILLI slow.
 */
#define EXEC_LABELS_MAX	 4
#define EXEC_DRIFT_MILLI 20  /* 2%: the platform's bound on a runner's steady clock */
#define EXEC_SLACK_MS	 100 /* timer and rounding slack on the end of a lease */

struct amount {
	int64_t cpu_milli;
	int64_t mem_bytes;
	int64_t accel;
};

/* What is known of a runner from the platform. Strings are copied by whoever keeps them. */
struct runner_info {
	const char *id;
	const char *address;
	const char *service;
	const char *zone;
	const char *rack;
	const char *label[EXEC_LABELS_MAX];
	struct amount room;
	int64_t born_ms;  /* start of its life; 0 if it isn't told */
	int64_t clock_ms; /* its clock when it said so */
	bool draining;
};

enum run_state {
	RUN_PLANNED = 0, /* its intent is not in the store yet */
	RUN_SENT,	 /* ordered, no answer yet */
	RUN_ON,		 /* the runner has it */
	RUN_DOUBT,	 /* ordered without an answer, or taken over from the store */
};

/* A start of a task that may exist. It takes room until it surely doesn't. */
struct run {
	struct cell_job *job;
	struct exec *exec;
	uint32_t task;
	uint32_t no;
	enum run_state state;
	struct amount need;
	uint64_t batch;		 /* of the intent */
	char *ticket;		 /* NULL for none */
	int64_t ticket_until_ms; /* it is not taken later */
	int64_t planned_ms;
	int64_t sent_ms;	  /* of the last order */
	int64_t on_ms;		  /* when the runner is first known to have it */
	int64_t idle_since_ms;	  /* it uses no processor since, as far as was seen; 0 if it does */
	int64_t stop_sent_ms;	  /* of the last stop, 0 for none */
	int64_t stop_answered_ms; /* the runner won't start it any more, from then on; 0 for none */
	uint32_t orders;
	bool inherited; /* ordered by an older scheduler */
	bool stopping;	/* to be stopped */
	bool listed;	/* in the list that is being read */
};

struct exec {
	char *id;
	char *address;
	char *service;
	char *zone;
	char *rack;
	char *label[EXEC_LABELS_MAX];
	uint32_t handle; /* of this life of the runner */
	int64_t born_ms;
	struct amount room;
	struct amount used;
	struct amount hoped; /* set aside in the current pass */
	bool draining;
	bool gone;	    /* not listed by the platform any more */
	bool contacted;	    /* has answered this scheduler */
	int64_t reached_ms; /* when it did so first */
	bool looking;	    /* a look is under way */
	int64_t look_ms;    /* not to be looked at before */
	int64_t look_sent_ms;
	uint64_t look_no; /* of the last one; the only one whose answer counts */
	int64_t clock_ms;
	int64_t clock_local_ms;	  /* when clock_ms was read */
	int64_t granted_until_ms; /* nothing runs there after that unless it is renewed */
	int64_t answered_ms;	  /* last answer */
	uint32_t misses;	  /* looks without an answer since */
	uint64_t seen;		  /* ends up to here are in the store */
	uint64_t seen_next;	  /* and up to here once seen_batch is */
	uint64_t seen_batch;
	uint64_t processed;	 /* ends up to here were read */
	uint32_t faults;	 /* failures in a row */
	int64_t barred_until_ms; /* no starts before */
	GPtrArray *run;		 /* of struct run */
};

struct exec *exec_create(const struct runner_info *info, uint32_t handle);
void exec_destroy(struct exec *e);
/* exec_update - takes what may change within one life. */
void exec_update(struct exec *e, const struct runner_info *info);
/* exec_answered - the runner's clock was clock_ms when it answered, not later than now. */
void exec_answered(struct exec *e, int64_t clock_ms, int64_t now_ms);
/*
 * exec_reached - the runner has seen this scheduler's term: nobody else can renew what runs there,
 * which has a lease of lease_ms at most.
 */
void exec_reached(struct exec *e, int64_t lease_ms, int64_t now_ms);
/*
 * exec_grant - deadline on the runner's clock for a lease of lease_ms from now; 0 while its clock
 * is not known. From then on what runs there may run until it.
 */
int64_t exec_grant(struct exec *e, int64_t lease_ms, int64_t now_ms);
/* exec_lease_most_ms - how long a lease of ms on a runner's clock may last. */
int64_t exec_lease_most_ms(int64_t ms);
/* exec_lapsed - every lease that was granted there has surely ended. */
bool exec_lapsed(const struct exec *e, int64_t now_ms);
bool exec_has_label(const struct exec *e, const char *label);
void exec_take(struct exec *e, struct run *r);
/* exec_release - the run is over and freed. */
void exec_release(struct exec *e, struct run *r);
/* exec_steal - the run goes on elsewhere. */
void exec_steal(struct exec *e, struct run *r);

void amount_add(struct amount *to, const struct amount *what);
void amount_sub(struct amount *from, const struct amount *what);

/* Inline: asked for each runner and step in each pass. */
static inline bool amount_fits(const struct amount *need, const struct amount *free)
{
	return need->cpu_milli <= free->cpu_milli && need->mem_bytes <= free->mem_bytes &&
	       need->accel <= free->accel;
}

/* exec_free - room left for another task, less what is set aside. */
static inline struct amount exec_free(const struct exec *e)
{
	return (struct amount){
		.cpu_milli = e->room.cpu_milli - e->used.cpu_milli - e->hoped.cpu_milli,
		.mem_bytes = e->room.mem_bytes - e->used.mem_bytes - e->hoped.mem_bytes,
		.accel = e->room.accel - e->used.accel - e->hoped.accel,
	};
}

#endif
