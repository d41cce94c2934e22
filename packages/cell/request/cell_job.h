#ifndef CELL_CELL_JOB_H
#define CELL_CELL_JOB_H

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
#define JOB_TASKS_MAX	 4000 /* of a job; bounds the memory that one submission can take */
#define CHECKPOINT_BYTES 64   /* longest checkpoint that is kept */

struct run;
struct advice;
struct job_rank;

struct job_task {
	uint32_t last_run; /* number of the last start, 0 for none */
	uint32_t failures; /* ends of its own fault */
	bool done;
	char *checkpoint;      /* NULL for none */
	struct run *live_run;  /* a run that may exist, owned by the scheduler */
	uint32_t avoid_runner; /* handle + 1 of the runner on which it failed last */
	int64_t avoid_until_ms;
	int64_t not_before_ms; /* not to be started before; 0 for at once */
};

/* One step of one occurrence. */
struct job_step {
	const Cell__Step *spec;
	uint32_t occurrence;
	uint32_t index;	     /* of the step */
	uint32_t first_task; /* number of its first task */
	uint32_t done;
	uint32_t live_runs;
	struct advice *advice; /* owned by the scheduler */
};

struct cell_job {
	char id[JOB_ID_LEN + 1];
	Cell__Job *spec; /* NULL while only other records of the job were read */
	enum job_state state;
	enum job_state stored_state; /* state that stands in the store */
	bool tentative; /* not known to be stored: planned, but not started or told of */
	bool cancelled;
	bool started;	  /* a task was started once */
	int64_t ended_ms; /* wall clock; 0 while it goes on */
	uint32_t n_task;
	uint32_t n_step;
	struct job_task *task;
	struct job_step *step;
	Cell__Progress *stored_progress; /* progress as last read, NULL for none */
	/* Of the scheduler. */
	bool dirty;		      /* has changed since it was written */
	bool listed;		      /* among the open jobs */
	struct job_rank *rank;	      /* in the current pass */
	uint32_t live_runs;	      /* runs that may exist */
	uint32_t failed_runner;	      /* handle + 1 of the runner on which a task failed first */
	enum job_state written_state; /* in the batch written last */
	uint64_t written_batch;
};

/* cell_job_create - a job of which only the id is known. */
struct cell_job *cell_job_create(const char *id);
void cell_job_destroy(struct cell_job *j);
/* cell_job_set_spec - takes the job over; false (and job is freed) if it can't be one. */
bool cell_job_set_spec(struct cell_job *j, Cell__Job *job);
/* cell_job_check_spec - NULL if the job is valid, else what is wrong with it. */
const char *cell_job_check_spec(const Cell__Job *job);
/* cell_job_apply_progress - replaces the progress by what was read. */
void cell_job_apply_progress(struct cell_job *j, const Cell__Progress *progress);
/*
 * cell_job_pack_progress - the progress as a record, with the runs that may exist; owned by the
 * caller (g_free), its size in *size.
 */
uint8_t *cell_job_pack_progress(const struct cell_job *j, size_t *size);

/* cell_job_step_of - the step that the task belongs to. */
struct job_step *cell_job_step_of(const struct cell_job *j, uint32_t task);
/* cell_job_step_ready - all steps that it comes after are done, and its time has come. */
bool cell_job_step_ready(const struct cell_job *j, const struct job_step *s, int64_t wall_ms);
/* cell_job_due_ms - wall clock at which the occurrence is due; 0 for a job without times. */
int64_t cell_job_due_ms(const struct cell_job *j, uint32_t occurrence);
bool cell_job_has_ended(const struct cell_job *j);
/* cell_job_mark_started - a task of the job runs. */
void cell_job_mark_started(struct cell_job *j);
/* cell_job_mark_task_done - notes the end of a task; with a gang, of all its members. */
void cell_job_mark_task_done(struct cell_job *j, uint32_t task);
/*
 * cell_job_mark_task_failed - notes an end of its own fault; true if the job has failed by it.
 * Failures of a gang are counted together.
 */
bool cell_job_mark_task_failed(struct cell_job *j, uint32_t task);
void cell_job_set_checkpoint(struct cell_job *j, uint32_t task, const char *checkpoint);
/* cell_job_all_done - every task has ended as done. */
bool cell_job_all_done(const struct cell_job *j);
/* cell_job_has_lasting_step - some step runs until the job is cancelled. */
bool cell_job_has_lasting_step(const struct cell_job *j);

/* cell_job_task_name, cell_job_step_name - write ID.K.STEP.INDEX and ID.K.STEP to buf. */
void cell_job_task_name(const struct cell_job *j, uint32_t task, char buf[TASK_NAME_BYTES]);
void cell_job_step_name(const struct cell_job *j, const struct job_step *s,
			char buf[TASK_NAME_BYTES]);
/*
 * task_name_parse - splits the name of a task or step (*index is then UINT32_MAX); false if it is
 * neither.
 */
bool task_name_parse(const char *name, char id[JOB_ID_LEN + 1], uint32_t *occurrence,
		     uint32_t *step, uint32_t *index);
/* cell_job_find_task - UINT32_MAX if the job has no such task. */
uint32_t cell_job_find_task(const struct cell_job *j, uint32_t occurrence, uint32_t step,
			    uint32_t index);
struct job_step *cell_job_find_step(const struct cell_job *j, uint32_t occurrence, uint32_t step);
bool job_id_is_valid(const char *id);

#endif
