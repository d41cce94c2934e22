#ifndef NODE_JOBLOG_PRIV_H
#define NODE_JOBLOG_PRIV_H

#include "joblog.h"

/*
 * Internals of the job log: joblog.c keeps the job table and writes the scheduler's progress,
 * joblog_read.c reads the partitions, joblog_append.c appends the callers' records.
 */

#define TOPIC	 "keyed.jobs"
#define PARTS	 2
#define RETRY_MS 80 /* after a refusal or a timeout */
/* Before a second append is sent; a fast store answers sooner, so one at a time suffices. */
#define OVERLAP_MS 100
/* Per partition. A slow store takes 180 ms for each, one after the other: more would queue. */
#define APPENDS_IN_FLIGHT_MAX 2
#define APPEND_MAX_MS	      1400 /* half of a caller's timeout; a slow store answers in 0.6 s */

/* Reader of one partition. */
struct reader {
	struct joblog *log;
	uint32_t part;
	uint64_t next_offset;
	char *after_key;	/* last key of the initial load, "" at its start, NULL afterwards */
	uint64_t resume_offset; /* where reads start after the initial load */
	uint32_t page_bytes;	/* limit of a read */
	uint32_t generation;	/* answers to reads of an older one are ignored */
	bool reading;
	bool end_seen; /* during the current refresh */
	int64_t due_ms;
};

struct waiter {
	joblog_done_fn fn;
	void *ctx;
};

struct joblog {
	struct store store;
	const struct joblog_ops *ops;
	void *ctx;
	struct job_table *jobs;
	struct lease_ends *lease_ends;
	struct reader reader[PARTS];
	guint timer;
	GArray *waiter;	     /* for the current refresh */
	GArray *next_waiter; /* for the next refresh */
	bool refreshing;
	bool leading;
	bool fencing;
	bool loaded;
	uint32_t failed_calls; /* consecutive calls that the store did not serve */
	int64_t append_ms;     /* smoothed duration of appends, doubled by each timeout */
	uint64_t term;
	uint64_t seq;
	joblog_done_fn term_begun_fn;
	void *term_begun_ctx;
	/* Appends of the jobs' partition. */
	GQueue queue; /* of struct pending_record */
	uint32_t appends_in_flight;
	int64_t append_sent_ms; /* of the newest one */
	int64_t append_due_ms;
	bool appends_ended;
	int64_t cancels_due_ms; /* when early cancels are looked through next */
	/* Progress. */
	GPtrArray *batch;	 /* of struct batch, oldest first */
	bool first_batch_stored; /* later batches of the term need not wait any more */
	int64_t fence_due_ms;
	GPtrArray *progress_deletes; /* keys to delete with the next batch */
};

/* joblog_reload - starts to read the whole log again. */
void joblog_reload(struct joblog *j);
/* joblog_record_result - counts consecutive failed calls, for joblog_store_down(). */
void joblog_record_result(struct joblog *j, enum store_result result);

void joblog_reader_reset(struct reader *r);
/* joblog_read_tick - starts the reads that are due. */
void joblog_read_tick(struct joblog *j, int64_t now_ms);

/*
 * joblog_append_timeout - timeout of the next append in ms: long for a slow store, short for a fast
 * one that loses answers, so that the append is soon repeated.
 */
uint32_t joblog_append_timeout(const struct joblog *j);
/* joblog_record_append - updates the duration that joblog_append_timeout() is based on. */
void joblog_record_append(struct joblog *j, enum store_result result, int64_t took_ms);
/* joblog_send_appends - sends the queued records in one append, unless too many are in flight. */
void joblog_send_appends(struct joblog *j);
/*
 * joblog_withdraw - removes a job that was offered to the scheduler but not stored.
 */
void joblog_withdraw(struct joblog *j, const char *id);
/* joblog_free_appends - frees the queued records without calling back. */
void joblog_free_appends(struct joblog *j);

#endif
