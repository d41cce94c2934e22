#ifndef CELL_JOB_TABLE_H
#define CELL_JOB_TABLE_H

#include "request/cell_job.h"

/*
 * job_table - the jobs of a cell, as read from the job log.
 *
 * Keys of the log: ID for the job as accepted, ID/c if it was cancelled, ID/p for its progress. A
 * key without a value is dropped. The records of one job may be read in any order.
 */
struct job_table;

struct job_table_ops {
	/* changed - the job was read, or cancelled. May be NULL. */
	void (*changed)(void *ctx, struct cell_job *j);
	/* dropped - the job is about to be forgotten. May be NULL. */
	void (*dropped)(void *ctx, struct cell_job *j);
};

struct job_table *job_table_create(void);
void job_table_destroy(struct job_table *t);
void job_table_watch(struct job_table *t, const struct job_table_ops *ops, void *ctx);
/* job_table_apply - one record; false if it can't be read, which leaves the table as it was. */
bool job_table_apply(struct job_table *t, const char *key, const uint8_t *value, size_t size);
/*
 * job_table_add_tentative - a job whose record is being stored; true if it is one that was not
 * known. It is tentative until job_table_apply() with the same key, or job_table_drop_tentative().
 */
bool job_table_add_tentative(struct job_table *t, const char *key, const uint8_t *value,
			     size_t size);
/* job_table_drop_tentative - forgets the job if it is still tentative; false if it is not. */
bool job_table_drop_tentative(struct job_table *t, const char *id);
/* job_table_find - NULL if the job was not read, or only other records of it; it may be tentative.
 */
struct cell_job *job_table_find(const struct job_table *t, const char *id);
/* job_table_find_task - the number of the task of that name in its job *j; UINT32_MAX if there is
 * none.
 */
uint32_t job_table_find_task(const struct job_table *t, const char *name, struct cell_job **j);
/* job_table_count_waiting - jobs of the queue for which no task was started, and that have not
 * ended. */
uint32_t job_table_count_waiting(const struct job_table *t, const char *queue);
void job_table_each(const struct job_table *t, void (*fn)(void *ctx, struct cell_job *j),
		    void *ctx);
uint32_t job_table_size(const struct job_table *t);

#endif
