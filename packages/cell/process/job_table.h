#ifndef CELL_JOB_TABLE_H
#define CELL_JOB_TABLE_H

#include "request/cell_job.h"

/*
 * job_table - the jobs of a cell, as read from the job log.
 *
 * Keys of the log: ID for the job as accepted, ID/c if it was cancelled, ID/p for its progress. A
 * record without a value deletes its key. The records of one job may be applied in any order: a job
 * whose cancel comes first is cancelled from the start.
 *
 * A cancel's record has the byte 1, and after it a colon and the team whose jobs it cancels.
 */
struct job_table;

#define EARLY_CANCELS_MAX 4096 /* of a cell; a bound of the memory and the records they take */

/* A cancel whose job isn't known: the job's record may be on its way. */
struct early_cancel {
	char id[JOB_ID_LEN + 1];
	char *team;	  /* whose jobs it cancels; NULL: of any team */
	int64_t since_ms; /* 0 until job_table_age_cancels() has seen it */
	bool stale;	  /* not read since job_table_begin_reload() */
};

struct job_table_ops {
	/* changed - the job was added, stored or cancelled; may be NULL. */
	void (*changed)(void *ctx, struct cell_job *j);
	/* dropped - the job is about to be freed; may be NULL. */
	void (*dropped)(void *ctx, struct cell_job *j);
};

struct job_table *job_table_create(void);
void job_table_destroy(struct job_table *t);
/* job_table_watch - sets the callbacks; ops may be NULL. */
void job_table_watch(struct job_table *t, const struct job_table_ops *ops, void *ctx);
/* job_table_apply - applies one record; false, with no change, if it can't be read. */
bool job_table_apply(struct job_table *t, const char *key, const uint8_t *value, size_t size);
/*
 * job_table_add_tentative - adds a job whose record is being stored; false if it is known or
 * invalid. It is tentative until job_table_apply() with the same key or job_table_drop_tentative().
 */
bool job_table_add_tentative(struct job_table *t, const char *key, const uint8_t *value,
			     size_t size);
/* job_table_drop_tentative - removes the job; false if it isn't tentative any more. */
bool job_table_drop_tentative(struct job_table *t, const char *id);
/* job_table_drop_all_tentative - removes the jobs that are tentative. */
void job_table_drop_all_tentative(struct job_table *t);

/* The records that are read again. */
enum job_table_part {
	JOB_TABLE_JOBS = 0, /* ID and ID/c */
	JOB_TABLE_PROGRESS, /* ID/p */
};
/*
 * job_table_begin_reload - the newest records of the part are going to be applied once more, all of
 * them. Until then what is known of the jobs stays, and answers callers.
 */
void job_table_begin_reload(struct job_table *t, enum job_table_part part);
/*
 * job_table_end_reload - all have been applied: removes what was not among them, as its records
 * were deleted or, of progress, never written.
 */
void job_table_end_reload(struct job_table *t, enum job_table_part part);
/* job_table_find - returns NULL unless the job's own record was read; it may be tentative. */
struct cell_job *job_table_find(const struct job_table *t, const char *id);
/* job_table_find_task - finds a task by name: its job in *j, its number, or UINT32_MAX for none. */
uint32_t job_table_find_task(const struct job_table *t, const char *name, struct cell_job **j);
/*
 * job_table_expects_run - true if the record of the task's job was not read yet, but its progress
 * says that the run may exist on the runner.
 */
bool job_table_expects_run(const struct job_table *t, const char *name, uint32_t run,
			   const char *runner);
/* job_table_count_waiting - number of open jobs of the queue of which no task has run. */
uint32_t job_table_count_waiting(const struct job_table *t, const char *queue);
/* job_table_early_cancel - returns NULL if the job is known, or wasn't cancelled. */
const struct early_cancel *job_table_early_cancel(const struct job_table *t, const char *id);
uint32_t job_table_early_cancels(const struct job_table *t);
/*
 * job_table_age_cancels - returns the ids (char *, owned by the array) of at most `max` early
 * cancels that have been known for age_ms.
 */
GPtrArray *job_table_age_cancels(struct job_table *t, int64_t now_ms, int64_t age_ms, uint32_t max);
/* job_table_cancel_record - value of the record of a cancel; free it with g_free(). */
uint8_t *job_table_cancel_record(const char *team, size_t *size);
/* job_table_may_access - team: of the caller; NULL if jobs of all teams may be accessed. */
bool job_table_may_access(const char *job_team, const char *team);
void job_table_each(const struct job_table *t, void (*fn)(void *ctx, struct cell_job *j),
		    void *ctx);
/* job_table_bytes - bound of the memory that the jobs take, see cell_job_open_bytes(). */
uint64_t job_table_bytes(const struct job_table *t);
uint32_t job_table_size(const struct job_table *t);

#endif
