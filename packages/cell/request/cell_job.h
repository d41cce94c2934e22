#ifndef CELL_CELL_JOB_H
#define CELL_CELL_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "cell.pb-c.h"

/*
 * cell_job - one job: its steps, the progress of its tasks and its state.
 *
 * A job runs its steps `repeats` times, or once. Tasks are numbered over all occurrences and steps:
 * occurrence 0 first, and step 0 first within an occurrence.
 */
enum job_state {
	JOB_QUEUED = 0,
	JOB_RUNNING,
	JOB_DONE,
	JOB_FAILED,
	JOB_CANCELLED,
};

#define JOB_ID_LEN	    16
#define TASK_NAME_BYTES	    64
#define JOB_TASKS_MAX	    4000 /* over all steps and occurrences; limits the memory of one job */
#define JOB_STEPS_MAX	    1000
#define JOB_CHUNK_TASKS	    16
#define JOB_INTERVAL_MAX_MS INT64_C(3155760000000) /* 100 years; times of all occurrences fit */
/* 2^53, of a clock: sums with it fit into 64 bits. A literal, as texts of refusals name it. */
#define JOB_TIME_MAX_MS 9007199254740992
/* Of a value in the job log; a record has 262,144 bytes at most, with a key of up to 255. */
#define RECORD_MAX_BYTES 261888
#define CHECKPOINT_BYTES 64 /* with the NUL; a longer checkpoint is ignored */

struct run;
struct advice;
struct job_rank;

/* The ends of runners under a task, see crash.h. */
struct task_crashes {
	uint32_t crashes;	  /* runners that ended under its runs in a row, or may have */
	uint32_t early_crashes;	  /* those in a row that did right after the start */
	uint32_t certain_crashes; /* those of crashes whose end is certain */
	uint32_t certain_early_crashes; /* those of early_crashes whose end is certain */
	uint32_t crash_run;		/* last run that was counted, 0 for none */
	bool crash_was_early;		/* that one */
	bool crash_was_alone;	/* the last certain one was on a runner without other runs */
	bool crash_is_certain;	/* that one's runner has ended, or is known to live on */
	uint64_t crash_host;	/* of its runner; 0 if it isn't known, or the task was cleared */
	int64_t alone_until_ms; /* it waits for such a runner until then; 0 if it doesn't wait */
};

/* What is known of a task that isn't done yet; all zero at first. */
struct job_task {
	uint32_t last_run;    /* number of the last start, 0 for none */
	uint32_t failures;    /* runs that failed by themselves, not lost or stopped ones */
	uint32_t failed_run;  /* of a gang: the last one that is counted in failures */
	char *checkpoint;     /* NULL for none */
	struct run *live_run; /* run that may exist, owned by the scheduler; NULL for none */
	struct task_crashes *crashes; /* NULL while there were none */
	int64_t avoid_until_ms;
	int64_t not_before_ms; /* earliest start; 0 for at once */
	uint32_t avoid_runner; /* handle + 1 of the runner on which it failed last, 0 for none */
};

/* One step of one occurrence. */
struct job_step {
	const Cell__Step *spec;
	uint32_t occurrence;
	uint32_t index;	     /* of the step in the job's spec */
	uint32_t first_task; /* number of its first task */
	uint32_t done;	     /* tasks */
	uint32_t live_runs;
	struct advice *advice; /* owned by the scheduler */
};

struct cell_job {
	char id[JOB_ID_LEN + 1];
	Cell__Job *spec;     /* NULL until the job's own record is read */
	const char *invalid; /* why a stored job can't be done: it has no steps; NULL if it can */
	enum job_state state;
	enum job_state stored_state; /* state in the job log, which callers may be told */
	bool tentative; /* not known to be stored: placed, but not started or reported */
	bool cancelled;
	bool started;	     /* a task has run */
	bool record_stale;   /* its record hasn't been read since job_table_begin_reload() */
	bool progress_stale; /* the same of the record of its progress */
	int64_t ended_ms;    /* wall clock; 0 until the job ends */
	uint32_t n_task;
	uint32_t n_step;
	/*
	 * Of JOB_CHUNK_TASKS tasks each. NULL while the scheduler knows nothing of these tasks, and
	 * again once all are done: a cell may hold millions of tasks.
	 */
	struct job_task **chunk;
	uint8_t *done;		    /* bit N of byte N / 8: task N is done; NULL if none is */
	uint32_t released_runs;	    /* sum of last_run of the tasks that are not held any more */
	uint32_t released_failures; /* their failures */
	struct job_step *step;
	uint8_t *stored_progress; /* record as last read, NULL for none */
	size_t stored_bytes;	  /* of it */
	/* Used by the scheduler. */
	bool suspect;		/* a runner has ended under one of its runs */
	bool dirty;		/* changed since it was last written */
	bool listed;		/* in the scheduler's list of open jobs */
	bool start_reported;	/* its first run has been counted for admission */
	bool runs_inherited;	/* the runs in stored_progress have been taken over */
	uint32_t open_bytes;	/* memory that the job takes at most while it is open */
	uint32_t ended_bytes;	/* and after its end */
	struct job_rank *rank;	/* valid during one placement pass */
	uint32_t live_runs;	/* runs that may exist, of all tasks */
	uint32_t failed_runner; /* handle + 1 of the runner of the first failure, 0 for none */
	enum job_state written_state; /* state in the last batch written */
	uint64_t written_batch;
};

/* cell_job_create - creates a job with only its id. */
struct cell_job *cell_job_create(const char *id);
void cell_job_destroy(struct cell_job *j);
/*
 * cell_job_set_spec - sets the spec. Takes ownership of job; on failure
 * (invalid, or a spec is set already) job is freed and false returned.
 */
bool cell_job_set_spec(struct cell_job *j, Cell__Job *job);
/*
 * cell_job_set_invalid_spec - sets the spec of a stored job that cell_job_check_spec() refuses with
 * this text: without its steps, so that nothing of it is allocated or started. Takes ownership of
 * job. It is known to callers, and the scheduler ends it as failed.
 */
void cell_job_set_invalid_spec(struct cell_job *j, Cell__Job *job, const char *why);
/*
 * cell_job_open_bytes, cell_job_ended_bytes - bounds of the memory that a valid job takes in a
 * process, without its runs: while it is open and any of its tasks has run, and after its end.
 */
uint32_t cell_job_open_bytes(const Cell__Job *job);
uint32_t cell_job_ended_bytes(const Cell__Job *job);
/*
 * cell_job_check_spec - returns NULL if the job is valid, else a static message. The job may come
 * from any writer: in a valid one no sum over its tasks wraps, and no time of an occurrence.
 */
const char *cell_job_check_spec(const Cell__Job *job);
/* cell_job_apply_progress - replaces the progress by a stored record. */
void cell_job_apply_progress(struct cell_job *j, const Cell__Progress *progress);
/*
 * cell_job_store_progress - applies a record, if the spec is known, and keeps it for its runs,
 * which a new scheduler has to find. Returns false, with no change, if it can't be read.
 */
bool cell_job_store_progress(struct cell_job *j, const uint8_t *value, size_t size);
/* cell_job_reset_progress - as if no record of its progress had been read. */
void cell_job_reset_progress(struct cell_job *j);
/*
 * cell_job_stored_progress - the record as last read, NULL for none; free it with
 * cell__progress__free_unpacked().
 */
Cell__Progress *cell_job_stored_progress(const struct cell_job *j);
/*
 * cell_job_pack_progress - serialises the progress, including the runs that may exist. Checkpoints
 * that would make the record larger than RECORD_MAX_BYTES are left out: their tasks begin anew if
 * the scheduler is lost. Free the record with g_free(); its size is stored in *size.
 */
uint8_t *cell_job_pack_progress(const struct cell_job *j, size_t *size);
/*
 * cell_job_unpack_progress - reads such a record. Each task names its runner itself. Returns NULL
 * if it can't be read or has an unknown state; free it with cell__progress__free_unpacked().
 */
Cell__Progress *cell_job_unpack_progress(const uint8_t *value, size_t size);

/* cell_job_task - returns a task to change it; valid until cell_job_release_task(). */
struct job_task *cell_job_task(struct cell_job *j, uint32_t task);
/* cell_job_peek_task - returns a task to read it: all zero if nothing is known of it. */
const struct job_task *cell_job_peek_task(const struct cell_job *j, uint32_t task);
/* job_task_crashes - all zero if there were none. */
const struct task_crashes *job_task_crashes(const struct job_task *t);
bool cell_job_task_is_done(const struct cell_job *j, uint32_t task);
/* cell_job_live_run - run of a task that may exist, NULL for none. */
struct run *cell_job_live_run(const struct cell_job *j, uint32_t task);
/* cell_job_release_task - frees the task's chunk if all of its tasks are done and none has a run.
 */
void cell_job_release_task(struct cell_job *j, uint32_t task);
/* cell_job_release - frees what an ended job without runs does not need any more. */
void cell_job_release(struct cell_job *j);
/* cell_job_runs, cell_job_failures - of all tasks so far. */
uint32_t cell_job_runs(const struct cell_job *j);
uint32_t cell_job_failures(const struct cell_job *j);
/* cell_job_step_of - returns the step of a task. */
struct job_step *cell_job_step_of(const struct cell_job *j, uint32_t task);
/* cell_job_step_ready - true if the steps before it are done and its occurrence is due. */
bool cell_job_step_ready(const struct cell_job *j, const struct job_step *s, int64_t wall_ms);
/* cell_job_due_ms - wall clock at which the occurrence is due; 0 for a job without a schedule. */
int64_t cell_job_due_ms(const struct cell_job *j, uint32_t occurrence);
bool cell_job_has_ended(const struct cell_job *j);
/* cell_job_mark_started - notes that a task of the job runs. */
void cell_job_mark_started(struct cell_job *j);
/* cell_job_mark_task_done - marks a task, or all members of its gang, as done. */
void cell_job_mark_task_done(struct cell_job *j, uint32_t task);
/*
 * cell_job_mark_run_failed - counts the failure of a run of the task; true if the attempts are used
 * up, so that the job fails. A run of a gang counts once, whichever of its members fail.
 */
bool cell_job_mark_run_failed(struct cell_job *j, uint32_t task, uint32_t run);
/*
 * cell_job_run_has_failed - true if the task belongs to a gang and the failure of another member
 * has been counted for that run.
 */
bool cell_job_run_has_failed(const struct cell_job *j, uint32_t task, uint32_t run);
/* cell_job_set_checkpoint - ignores an empty or too long checkpoint. */
void cell_job_set_checkpoint(struct cell_job *j, uint32_t task, const char *checkpoint);
/* cell_job_all_done - true if all tasks are done. */
bool cell_job_all_done(const struct cell_job *j);
/* cell_job_has_lasting_step - true if a step runs until the job is cancelled. */
bool cell_job_has_lasting_step(const struct cell_job *j);

/*
 * cell_job_task_name, cell_job_step_name - write JOB.OCCURRENCE.STEP.INDEX and JOB.OCCURRENCE.STEP
 * to buf.
 */
void cell_job_task_name(const struct cell_job *j, uint32_t task, char buf[TASK_NAME_BYTES]);
void cell_job_step_name(const struct cell_job *j, const struct job_step *s,
			char buf[TASK_NAME_BYTES]);
/*
 * task_name_parse - splits the name of a task or of a step, for which *index is UINT32_MAX. Returns
 * false if it is neither.
 */
bool task_name_parse(const char *name, char id[JOB_ID_LEN + 1], uint32_t *occurrence,
		     uint32_t *step, uint32_t *index);
/* cell_job_find_task - returns the number of a task, UINT32_MAX if there is no such task. */
uint32_t cell_job_find_task(const struct cell_job *j, uint32_t occurrence, uint32_t step,
			    uint32_t index);
/* cell_job_find_step - returns NULL if there is no such step. */
struct job_step *cell_job_find_step(const struct cell_job *j, uint32_t occurrence, uint32_t step);
/* job_id_is_valid - true for 16 hexadecimal digits. */
bool job_id_is_valid(const char *id);

#endif
