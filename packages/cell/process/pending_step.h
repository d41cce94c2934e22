#ifndef CELL_PENDING_STEP_H
#define CELL_PENDING_STEP_H

#include "no_room.h"
#include "scheduler_priv.h"

/*
 * pending_step - a step with tasks to place, and how well runners suit it.
 */

/* A pool of runners during one placement pass. */
struct pass_pool {
	const char *service;
	GPtrArray *runners;
	struct resources capacity; /* of all runners */
	struct resources used;	   /* on all runners */
	struct resources gangs;	   /* need of the gangs that wait, of those visited so far */
	uint32_t waiting_gangs;
	uint32_t reserving_steps;  /* steps that have reserved room */
	uint32_t reserved_runners; /* for steps that wait for room */
	bool yields;		   /* these leave a part of the pool to others; see hold.h */
	uint32_t preempt_searches; /* for room that preemption could make */
	uint32_t preempting_steps; /* steps for which runs were stopped */
	uint32_t unplaced_in_row;  /* steps in a row without room */
	bool crowded;		   /* so many that steps known to have no room are skipped */
	uint32_t unplaced_advised; /* steps with an advisor without room since then */
	struct no_room *no_room;
	const Cell__Step *unrunnable; /* last step that no runner could run; NULL for none */
	uint32_t kept_empty;	      /* runners, for tasks that have to run alone */
};

struct pass {
	struct scheduler *s;
	GHashTable *pool; /* struct pass_pool by service */
	bool use_unknown; /* runs exist whose team is not known yet */
};

/* A step whose tasks are being placed. */
struct pending_step {
	struct pass_pool *pool;
	GPtrArray *candidates; /* runners of the pool that could run a task of the step if empty */
	struct cell_job *job;
	struct job_step *step;
	const struct queue *queue; /* NULL if no longer configured */
	int64_t now_ms;
	struct resources need;
	bool advised;
	bool large; /* a task needs much of a runner, so room for it seldom appears by itself */
	bool unrunnable; /* no runner of the pool could run a task if empty, whatever the advice */
	uint32_t cap_left;	 /* tasks that the team's cap allows; of a gang all or none */
	uint32_t headroom_milli; /* share of a runner, in 1/1000, to leave free */
	int64_t backfill_ms;	 /* room that is reserved for longer may be used until then */
};

/* pending_step_suits - true if the runner has the capacity and the label, were it empty. */
bool pending_step_suits(const struct pending_step *ps, const struct cell_runner *rn);
/* pending_step_is_denied - true if the advisor has denied the runner. */
bool pending_step_is_denied(const struct pending_step *ps, const struct cell_runner *rn);
/* pending_step_has_room - true if the runner has room for one task, whatever its spread. */
bool pending_step_has_room(const struct pending_step *ps, const struct cell_runner *rn);
/* pending_step_fits - true if the runner has room for one more task of the step now. */
bool pending_step_fits(const struct pending_step *ps, const struct cell_runner *rn);
/* pending_step_spread_left - tasks that the runner may still get by the step's spread. */
uint32_t pending_step_spread_left(const struct pending_step *ps, const struct cell_runner *rn);
/* pending_step_places - tasks of the step that fit into room, at most all of them. */
uint32_t pending_step_places(const struct pending_step *ps, const struct resources *room);
/*
 * pending_step_reserve - reserves room on the runner for tasks of the step, at most max. Returns
 * for how many.
 */
uint32_t pending_step_reserve(const struct pending_step *ps, struct cell_runner *rn, uint32_t max);
/*
 * pending_step_score - lower is better: without interference first, then in the preferred rack,
 * then the tightest fit.
 */
int64_t pending_step_score(const struct pending_step *ps, const struct cell_runner *rn);
/* pending_step_is_approved - true if no advice is needed, or the advisor has approved the runner.
 */
bool pending_step_is_approved(const struct pending_step *ps, const struct cell_runner *rn);
/* pending_step_has_ticket - as is_approved, with a ticket that outlasts the start order. */
bool pending_step_has_ticket(const struct pass *pass, const struct pending_step *ps,
			     const struct cell_runner *rn);
/* pending_step_is_waiting - true if tasks of the step wait whose turn has come. */
bool pending_step_is_waiting(const struct pass *pass, const struct cell_job *j,
			     const struct job_step *step);
/* pending_step_task_waits - true if the task could start now, were there room. */
bool pending_step_task_waits(const struct pass *pass, const struct cell_job *j, uint32_t task);
/* pending_step_place - plans a run of the task on the runner, which has to have room. */
struct run *pending_step_place(struct pass *pass, const struct pending_step *ps, uint32_t task,
			       struct cell_runner *rn);
/* pending_step_by_free - compares runners (struct cell_runner **) to sort the freest first. */
int pending_step_by_free(gconstpointer a, gconstpointer b);

/*
 * pending_step_avoided_runner - handle + 1 of the runner that the task avoids, 0 for none. Where no
 * other runner is approved, waiting longer than AVOID_ONLY_MS costs more than a second failure.
 */
uint32_t pending_step_avoided_runner(const struct pass *pass, const struct pending_step *ps,
				     const struct job_task *task);
/* pending_step_tasks_at_once - all members of a gang, or one task of another step. */
uint32_t pending_step_tasks_at_once(const struct pending_step *ps);
/* pending_step_is_new_rack - true if candidate i is in a rack, and none before it is in that one.
 */
bool pending_step_is_new_rack(const struct pending_step *ps, guint i);
/* pending_step_hold_cap - later steps of the team must not use what its cap has left for this. */
void pending_step_hold_cap(const struct pass *pass, const struct pending_step *ps);

#endif
