#ifndef CELL_PLAN_H
#define CELL_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "cell.pb-c.h"

/*
 * plan - one job: its steps, the progress of its tasks, and its state.
 *
 * A job runs its steps `repeats` times, or once. Tasks are numbered over all occurrences and steps:
 * those of occurrence 0 first, inside it those of step 0 first.
 */
enum job_state {
	JOB_QUEUED = 0,
	JOB_RUNNING,
	JOB_DONE,
	JOB_FAILED,
	JOB_CANCELLED,
};

#define JOB_ID_LEN	 16
#define TASK_NAME_BYTES	 64
#define PLAN_TASKS_MAX	 4000 /* of a job; bounds the memory that one submission can take */
#define CHECKPOINT_BYTES 64   /* longest checkpoint that is kept */

struct run;
struct advice;
struct order_rank;

struct plan_task {
	uint32_t run;	   /* number of the last start, 0 for none */
	uint32_t failures; /* ends of its own fault */
	bool done;
	char *checkpoint; /* NULL for none */
	struct run *live; /* a run that may exist, owned by the scheduler */
	uint32_t avoid;	  /* handle + 1 of the runner on which it failed last */
	int64_t avoid_until_ms;
	int64_t ready_ms; /* not to be started before; 0 for at once */
};

/* One step of one occurrence. */
struct plan_step {
	const Cell__Step *spec;
	uint32_t occurrence;
	uint32_t index;	     /* of the step */
	uint32_t first_task; /* number of its first task */
	uint32_t done;
	uint32_t live;
	struct advice *advice; /* owned by the scheduler */
};

struct plan {
	char id[JOB_ID_LEN + 1];
	Cell__Job *job; /* NULL while only other records of the job were read */
	enum job_state state;
	enum job_state shown; /* state that stands in the store */
	bool tentative;	      /* not known to be stored: planned, but not started or told of */
	bool cancelled;
	bool started;	  /* a task was started once */
	int64_t ended_ms; /* wall clock; 0 while it goes on */
	uint32_t n_task;
	uint32_t n_step;
	struct plan_task *task;
	struct plan_step *step;
	Cell__Progress *stored; /* progress as last read, NULL for none */
	/* Of the scheduler. */
	bool dirty;		      /* has changed since it was written */
	bool listed;		      /* among the open jobs */
	struct order_rank *rank;      /* in the current pass */
	uint32_t live;		      /* runs that may exist */
	uint32_t failed_on;	      /* handle + 1 of the runner on which a task failed first */
	enum job_state written_state; /* in the batch written last */
	uint64_t written_batch;
};

/* plan_create - a job of which only the id is known. */
struct plan *plan_create(const char *id);
void plan_destroy(struct plan *p);
/* plan_set_job - takes the job over; false (and job is freed) if it can't be one. */
bool plan_set_job(struct plan *p, Cell__Job *job);
/* plan_check - NULL if the job is valid, else what is wrong with it. */
const char *plan_check(const Cell__Job *job);
/* plan_apply - replaces the progress by what was read. */
void plan_apply(struct plan *p, const Cell__Progress *progress);
/*
 * plan_progress - the progress as a record, with the runs that may exist; owned by the caller
 * (g_free), its size in *size.
 */
uint8_t *plan_progress(const struct plan *p, size_t *size);

/* plan_step_of - the step that the task belongs to. */
struct plan_step *plan_step_of(const struct plan *p, uint32_t task);
/* plan_step_ready - all steps that it comes after are done, and its time has come. */
bool plan_step_ready(const struct plan *p, const struct plan_step *s, int64_t wall_ms);
/* plan_due_ms - wall clock at which the occurrence is due; 0 for a job without times. */
int64_t plan_due_ms(const struct plan *p, uint32_t occurrence);
bool plan_ended(const struct plan *p);
/* plan_started - a task of the job runs. */
void plan_started(struct plan *p);
/* plan_task_done - notes the end of a task; with a gang, of all its members. */
void plan_task_done(struct plan *p, uint32_t task);
/*
 * plan_task_failed - notes an end of its own fault; true if the job has failed by it. Failures of a
 * gang are counted together.
 */
bool plan_task_failed(struct plan *p, uint32_t task);
void plan_checkpoint(struct plan *p, uint32_t task, const char *checkpoint);
/* plan_all_done - every task has ended as done. */
bool plan_all_done(const struct plan *p);
/* plan_lasts - some step runs until the job is cancelled. */
bool plan_lasts(const struct plan *p);

/* plan_task_name, plan_step_name - write ID.K.STEP.INDEX and ID.K.STEP to buf. */
void plan_task_name(const struct plan *p, uint32_t task, char buf[TASK_NAME_BYTES]);
void plan_step_name(const struct plan *p, const struct plan_step *s, char buf[TASK_NAME_BYTES]);
/*
 * plan_parse_name - splits the name of a task or step (*index is then UINT32_MAX); false if it is
 * neither.
 */
bool plan_parse_name(const char *name, char id[JOB_ID_LEN + 1], uint32_t *occurrence,
		     uint32_t *step, uint32_t *index);
/* plan_task_number - UINT32_MAX if the job has no such task. */
uint32_t plan_task_number(const struct plan *p, uint32_t occurrence, uint32_t step, uint32_t index);
struct plan_step *plan_step_number(const struct plan *p, uint32_t occurrence, uint32_t step);
bool plan_is_id(const char *id);

#endif
