#ifndef NODE_JOBLOG_PRIV_H
#define NODE_JOBLOG_PRIV_H

#include "joblog.h"

/*
 * Parts of the job log: joblog.c keeps the book and writes the scheduler's progress, joblog_read.c
 * reads the partitions, joblog_append.c appends what callers hand in.
 */

#define TOPIC	      "keyed.jobs"
#define PARTS	      2
#define RETRY_MS      80   /* after a refusal or no answer */
#define OVERLAP_MS    100  /* a quick store answers sooner, and one call at a time is enough */
#define CALLS_MAX     2	   /* of a partition; a slow one takes 180 ms for each, in turn */
#define APPEND_MAX_MS 1400 /* half of the time that callers have; a slow store takes 0.6 s */

/* Reader of one partition. */
struct reader {
	struct joblog *log;
	uint32_t part;
	uint64_t next;
	char *after; /* key after which the newest records are read on, NULL once they were read */
	uint64_t load_next;  /* where to read on after that */
	uint32_t generation; /* answers of older ones are dropped */
	bool reading;
	bool end_seen; /* in the refresh under way */
	int64_t due_ms;
};

struct waiter {
	done_fn fn;
	void *ctx;
};

struct joblog {
	struct store store;
	const struct joblog_ops *ops;
	void *ctx;
	struct job_table *book;
	struct reader reader[PARTS];
	guint timer;
	GArray *waiter;	     /* of the refresh under way */
	GArray *waiter_next; /* that came too late for it */
	bool refreshing;
	bool leading;
	bool fencing;
	bool loaded;
	uint32_t misses;   /* calls in a row that the store did not serve */
	int64_t append_ms; /* what appends took lately; doubled by each without an answer */
	uint64_t term;
	uint64_t seq;
	done_fn lead_fn;
	void *lead_ctx;
	/* Appends of the jobs' partition. */
	GQueue queue;	 /* of struct pending */
	uint32_t calls;	 /* under way */
	int64_t sent_ms; /* of the newest of them */
	int64_t append_due_ms;
	/* Progress. */
	GPtrArray *batch; /* of struct batch, oldest first */
	bool chained;	  /* a batch of this term is stored: others have to follow it */
	int64_t fence_due_ms;
	GPtrArray *drops; /* keys of progress to drop with the next batch */
};

/* joblog_reset_book - forgets what was read, and reads it anew. */
void joblog_reset_book(struct joblog *j);
/* joblog_note_answer - whether the store served a call: it is away after several that it did not.
 */
void joblog_note_answer(struct joblog *j, enum store_result result);

void joblog_reader_reset(struct reader *r);
/* joblog_read_tick - reads the partitions where it is time. */
void joblog_read_tick(struct joblog *j, int64_t now_ms);

/* joblog_append_timeout - in ms; a slow store is given time, one that loses answers is soon asked.
 */
uint32_t joblog_append_timeout(const struct joblog *j);
/* joblog_note_append - how long an append took, for the time-out of the next. */
void joblog_note_append(struct joblog *j, enum store_result result, int64_t took_ms);
/* joblog_send_appends - the next call with waiting records, if none is under way. */
void joblog_send_appends(struct joblog *j);
/* joblog_withdraw - a job that was offered to the scheduler was not stored. */
void joblog_withdraw(struct joblog *j, const char *id);
/* joblog_drop_appends - frees the records that wait; nobody is told. */
void joblog_drop_appends(struct joblog *j);

#endif
