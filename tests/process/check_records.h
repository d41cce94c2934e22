#ifndef CHECK_RECORDS_H
#define CHECK_RECORDS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * records - events recorded by workers, and checks over them.
 *
 * The checks rely only on what the workers saw, not on what the daemons report.
 */
struct records;

enum records_check {
	CHECK_CAPACITY = 0, /* no worker ran more than its capacity */
	CHECK_OVERLOAD,	    /* no worker was sent more work than it had capacity for */
	CHECK_ONE_PLACE,    /* no task of a job ran twice at the same time */
	CHECK_AT_MOST_ONCE, /* no non-idempotent request was started twice */
	CHECK_LEAVING, /* nothing was sent to a worker after it had been leaving for grace_us */
	CHECK_EPOCH,   /* nothing started under an old epoch or after the lease lapsed */
	RECORDS_CHECKS,
};

struct records *records_create(void);
void records_destroy(struct records *r);

/*
 * records_add - adds events, one JSON object per line. Returns false if a complete line is invalid.
 */
bool records_add(struct records *r, const char *text);
bool records_add_file(struct records *r, const char *path);

/*
 * records_check - number of events that violate check, over all events in order of time. grace_us
 * is how long a leaving worker may still be sent work. If found is not NULL, a line about each is
 * added to it.
 */
unsigned int records_check(struct records *r, enum records_check check, int64_t grace_us,
			   GPtrArray *found);
const char *records_check_name(enum records_check check);

/* records_count - number of events with this name, and with this worker and tag unless NULL. */
unsigned int records_count(const struct records *r, const char *event, const char *worker,
			   const char *tag);
/* records_tasks_done - number of tasks, of all jobs, that succeeded at least once. */
unsigned int records_tasks_done(const struct records *r);
/* records_owner - owner of the latest session with a worker, "" if none; owned by the caller. */
char *records_owner(const struct records *r, const char *worker);

#endif
