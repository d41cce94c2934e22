#ifndef NODE_JOBLOG_H
#define NODE_JOBLOG_H

#include "ports.h"

/*
 * joblog - the job log of the store: keeps a book of its jobs, appends what callers hand in, and
 * writes the scheduler's progress.
 *
 * Jobs and cancellations stand in partition JOBLOG_JOBS, progress in JOBLOG_PROGRESS. Only the
 * scheduler writes there, with its term as the epoch of a producer, so that an older one is
 * refused.
 */
#define JOBLOG_JOBS	0
#define JOBLOG_PROGRESS 1

struct joblog;

struct joblog_ops {
	/* changed, dropped - as of struct job_table_ops; the book is being read. */
	void (*changed)(void *ctx, struct cell_job *p);
	void (*dropped)(void *ctx, struct cell_job *p);
	/* written - a batch of progress stands in the log. */
	void (*written)(void *ctx, uint64_t batch);
	/* fenced - a newer scheduler has written. */
	void (*fenced)(void *ctx);
};

/* done_fn - of an append or a refresh. */
typedef void (*done_fn)(void *ctx, enum store_result result);

struct joblog *joblog_create(const struct store *store, const struct joblog_ops *ops, void *ctx);
void joblog_destroy(struct joblog *j);
/* joblog_start - from then on the loop calls joblog_tick() often enough. */
void joblog_start(struct joblog *j);
void joblog_tick(struct joblog *j);
struct job_table *joblog_book(struct joblog *j);
/* joblog_loaded - the book was read once. */
bool joblog_loaded(const struct joblog *j);
/* joblog_away - the store has not served this node's last calls: appends are refused at once. */
bool joblog_away(const struct joblog *j);
/*
 * joblog_append - a record of the jobs' partition; several share a call. It is tried until
 * until_ms; STORE_REFUSED is said only if no try can have taken effect.
 */
void joblog_append(struct joblog *j, const char *key, uint8_t *value, size_t size, int64_t until_ms,
		   done_fn fn, void *ctx);
/* joblog_refresh - reads what the store has now, then calls fn. */
void joblog_refresh(struct joblog *j, done_fn fn, void *ctx);
/*
 * joblog_lead - fences older schedulers, reads both partitions to their end, calls fn. From then on
 * progress is not read, and jobs are read as they come.
 */
void joblog_lead(struct joblog *j, uint64_t term, done_fn fn, void *ctx);
/* joblog_follow - not the scheduler any more: the book is read anew. */
void joblog_follow(struct joblog *j);
/* joblog_write - one batch of progress (struct log_record); owns records. Tried until it is in. */
void joblog_write(struct joblog *j, uint64_t batch, GPtrArray *records);
/* joblog_drop - removes all records of a job; progress goes with the next batch of the scheduler.
 */
void joblog_drop(struct joblog *j, const char *id);

#endif
