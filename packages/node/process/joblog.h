#ifndef NODE_JOBLOG_H
#define NODE_JOBLOG_H

#include "ports.h"

/*
 * joblog - the job log in the store: keeps a table of its jobs, appends the callers' requests, and
 * writes the scheduler's progress.
 *
 * Partition JOBLOG_JOBS holds jobs and cancellations, JOBLOG_PROGRESS the progress. Only the
 * scheduler writes the latter, with its term as the producer's epoch, so that the store refuses
 * writes of an older scheduler.
 */
#define JOBLOG_JOBS	0
#define JOBLOG_PROGRESS 1

/*
 * For which a cancel whose job isn't known is kept: longer than a job's record may be on its way
 * in a process that doesn't run, on a cut link or in the store.
 */
#define JOBLOG_EARLY_CANCEL_MS 60000

struct joblog;

struct joblog_ops {
	/* changed, dropped - see struct job_table_ops; called while records are being applied. */
	void (*changed)(void *ctx, struct cell_job *job);
	void (*dropped)(void *ctx, struct cell_job *job);
	/* written - this batch of progress, and all before it, are stored. */
	void (*written)(void *ctx, uint64_t batch);
	/* fenced - a newer scheduler has written. */
	void (*fenced)(void *ctx);
};

/* joblog_done_fn - completion of an append, a refresh or joblog_begin_term(). */
typedef void (*joblog_done_fn)(void *ctx, enum store_result result);

struct joblog *joblog_create(const struct store *store, const struct joblog_ops *ops, void *ctx);
void joblog_destroy(struct joblog *j);
/* joblog_start - runs joblog_tick() from a timer from now on. */
void joblog_start(struct joblog *j);
void joblog_tick(struct joblog *j);
struct job_table *joblog_job_table(struct joblog *j);
/* joblog_lease_ends - as read so far. */
const struct lease_ends *joblog_lease_ends(const struct joblog *j);
/* joblog_loaded - whether the whole log has been read once. */
bool joblog_loaded(const struct joblog *j);
/*
 * joblog_store_down - whether the store failed this node's last calls; appends are then refused at
 * once.
 */
bool joblog_store_down(const struct joblog *j);
/*
 * joblog_append - appends a record to JOBLOG_JOBS, together with other queued ones; takes ownership
 * of value. The append is retried until deadline_ms. The result is STORE_REFUSED only if no
 * attempt can have taken effect.
 */
void joblog_append(struct joblog *j, const char *key, uint8_t *value, size_t size,
		   int64_t deadline_ms, joblog_done_fn fn, void *ctx);
/*
 * joblog_end_appends - ends the appends that aren't in flight now, as at their deadlines; later
 * ones are refused.
 */
void joblog_end_appends(struct joblog *j);
/* joblog_refresh - reads up to the current end of the log, then calls fn. */
void joblog_refresh(struct joblog *j, joblog_done_fn fn, void *ctx);
/*
 * joblog_begin_term - makes this node the writer of the progress: fences older schedulers, reads
 * both partitions to their end, then calls fn. Progress is not read again during the term; jobs
 * are.
 */
void joblog_begin_term(struct joblog *j, uint64_t term, joblog_done_fn fn, void *ctx);
/* joblog_end_term - stops writing progress, and reads that of all jobs again. */
void joblog_end_term(struct joblog *j);
/*
 * joblog_write - appends a batch of progress (struct log_record), in parts if it is too large for
 * one call, and retries until it is stored or the term ends; takes ownership of records.
 */
void joblog_write(struct joblog *j, uint64_t batch, GPtrArray *records);
/*
 * joblog_delete - deletes all records of a job. Its progress is deleted last, with the next batch
 * that the scheduler writes once the job's own record is deleted.
 */
void joblog_delete(struct joblog *j, const char *id);

#endif
