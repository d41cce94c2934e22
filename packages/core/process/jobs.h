#ifndef CORE_JOBS_H
#define CORE_JOBS_H

#include <stddef.h>

#include <glib.h>

#include "status.h"
#include "types.h"

/*
 * jobs - table of the durable jobs and services of one data centre, built by replaying the log.
 *
 * Every daemon of the data centre applies the same records in offset order and so holds the same
 * table. A daemon starts a task only after it has read back its own claim record as the first one
 * for that attempt. The order of the log decides, so two daemons that both believe they are the
 * coordinator can't start the same attempt. A claim may be acted on only until claim_use_ms after
 * it was sent. A successor waits claim_use_ms plus drift from when it read the claim, then checks
 * the workers' inventories before it makes a new attempt.
 */
struct jobs;

#define JOBS_RECORD_MAX_BYTES 1048576
#define JOBS_TASKS_MAX	      1000000

enum job_state {
	JOB_WAITING = 0,
	JOB_RUNNING,
	JOB_DONE,
	JOB_FAILED,
	JOB_CANCELLED,
	JOB_UNKNOWN, /* the outcome of a task that must not be repeated is unknown */
	JOB_STATES,
};

enum task_state {
	TASK_WAITING = 0,
	TASK_CLAIMED, /* claimed by a coordinator; may have been started */
	TASK_RUNNING, /* claimed, and this daemon knows that it was started */
	TASK_DONE,
	TASK_FAILED,
	TASK_UNKNOWN,
	TASK_STATES,
};

struct job_spec {
	char id[37]; /* UUIDv7 */
	char team[64];
	char service[64];
	enum work_class class;
	uint32_t tasks;
	struct res size;
	uint32_t run_ms;   /* declared run time of a task */
	uint32_t attempts; /* maximum for each task; 1 for a non-idempotent job */
	bool idempotent;
	int64_t submitted_wall_ms;
	uint64_t version; /* of the configuration that defines a service; 0 for a job */
};

struct jobs_conf {
	const char *self; /* copied; name used in claims, must be new after each restart */
	uint32_t claim_use_ms;
	uint32_t drift_ppm;
	uint32_t settle_ms; /* delay of the next attempt after an unknown outcome, in which an owner
			     * that still runs the task reads the outcome and stops the task */
	uint32_t keep_ms;   /* how long an ended job is kept; older ids must not be submitted */
	uint32_t jobs_max;  /* limit for jobs_full() */
};

struct job_view {
	const struct job_spec *spec;
	enum job_state state;
	uint32_t count[TASK_STATES]; /* includes tasks beyond the count of a service */
};

/* jobs_service_id - job id of a service in a data centre; the same at every daemon. */
void jobs_service_id(const char *dc, const char *service, char id[37]);

struct jobs *jobs_create(const struct jobs_conf *conf);
void jobs_destroy(struct jobs *j);

/*
 * jobs_apply - applies one record of the log. Applying an offset again has no effect. A record that
 * can't be decoded is skipped, counted and reported in st, and false is returned.
 */
bool jobs_apply(struct jobs *j, uint64_t offset, const uint8_t *data, size_t size, int64_t now_ms,
		struct status *st);
uint64_t jobs_next_offset(const struct jobs *j);
/*
 * jobs_reset - empties the table, because the log's records before first are gone or because a
 * peer's snapshot is to be installed. from_start means that there were no records before first.
 * Otherwise only snapshots are applied until one is complete; jobs_next_offset() then goes back to
 * the offset at which the snapshot was made. Claims that this daemon has won are dropped, so self
 * must be a new name for its claims.
 */
void jobs_reset(struct jobs *j, uint64_t first, bool from_start, const char *self);
/* jobs_bootstrapped - false while waiting for a snapshot. */
bool jobs_bootstrapped(const struct jobs *j);
/* jobs_full - true if jobs_max is reached, so that no job should be submitted. */
bool jobs_full(const struct jobs *j);
/* jobs_skipped - number of records that could not be decoded. */
uint64_t jobs_skipped(const struct jobs *j);
/* jobs_memory_bytes - memory used by the table. */
size_t jobs_memory_bytes(const struct jobs *j);

/*
 * The jobs_record_ functions encode records to append. Each returns a buffer owned by the caller
 * (g_free) and sets *size. An append without an answer may be repeated with the same bytes.
 *
 * jobs_record_submit - submits a job; NULL if spec is not valid. For a service that is in the table
 * it changes count, size and team if spec->version is higher; a count of 0 stops the service.
 */
uint8_t *jobs_record_submit(const struct job_spec *spec, size_t *size);
uint8_t *jobs_record_cancel(const char *job, size_t *size);
/* jobs_record_claim - claims attempt number attempt of count tasks from first. */
uint8_t *jobs_record_claim(const char *job, uint32_t first, uint32_t count, uint32_t attempt,
			   const char *daemon, uint64_t nonce, size_t *size);
/*
 * jobs_record_progress - outcomes of tasks since the last call, coalesced; NULL if there are none.
 * Call it until it returns NULL. The buffer must be appended or kept, as these outcomes are not
 * returned again.
 */
uint8_t *jobs_record_progress(struct jobs *j, size_t *size);
/*
 * jobs_record_snapshot - the whole table in one record, so that older records need not be kept;
 * NULL if it doesn't fit in one.
 */
uint8_t *jobs_record_snapshot(const struct jobs *j, size_t *size);
/* jobs_record_snapshot_parts - the whole table in records (GBytes) to append in order. */
GPtrArray *jobs_record_snapshot_parts(const struct jobs *j);

/* jobs_task_started - records that a task claimed by this daemon is running. */
void jobs_task_started(struct jobs *j, const char *id, uint32_t index, uint32_t attempt);
/*
 * jobs_task_ended - queues the outcome of a task that this daemon coordinates for the next progress
 * record. Call it only if that attempt certainly isn't running any more and won't be started.
 * OUTCOME_UNKNOWN means that it has ended but not how.
 */
void jobs_task_ended(struct jobs *j, const char *id, uint32_t index, uint32_t attempt,
		     enum outcome out, int64_t now_ms);

/* A range of tasks that this daemon has won by a claim and may start now. */
struct job_start {
	const struct job_spec *spec;
	uint32_t first;
	uint32_t count;
	uint32_t attempt;
	int64_t use_until_ms; /* the start must be written before this time */
};

/*
 * jobs_take_won_claim - returns each won claim once; false if there is none. A claim that was read
 * too late to be used, or whose job was cancelled, is reported as not run in the next progress
 * record. start->spec is valid until the next record is applied.
 */
bool jobs_take_won_claim(struct jobs *j, struct job_start *start, int64_t now_ms);
/*
 * jobs_claim_sent - a claim with this nonce is about to be appended. The time of the first call for
 * a nonce counts. A claim that is read without such a call is not acted on.
 */
void jobs_claim_sent(struct jobs *j, uint64_t nonce, int64_t now_ms);

/*
 * jobs_unclaimed - first range of waiting tasks of the job, at most max; false if there is none.
 * Returns the same range until a claim for it has been read. Uses the time of the last call with
 * now_ms.
 */
bool jobs_unclaimed(const struct jobs *j, const char *id, uint32_t max, uint32_t *first,
		    uint32_t *count, uint32_t *attempt);
/*
 * jobs_each_orphan - calls fn for each task that was claimed by a daemon for which gone() is true
 * and whose claim can't be acted on any more at now_ms. Check the workers' inventories for whether
 * it still runs.
 */
void jobs_each_orphan(struct jobs *j, bool (*gone)(void *ctx, const char *daemon),
		      void (*fn)(void *ctx, const struct job_spec *spec, uint32_t index,
				 uint32_t attempt),
		      void *ctx, int64_t now_ms);

/*
 * jobs_task_wanted - whether a task found running should go on: false if the job was cancelled or
 * has ended, the attempt is not the current one, or the service's count was lowered below it.
 */
bool jobs_task_wanted(const struct jobs *j, const char *id, uint32_t index, uint32_t attempt);

bool jobs_get(const struct jobs *j, const char *id, struct job_view *view);
/* jobs_each - calls fn for each job, oldest first. */
void jobs_each(const struct jobs *j, void (*fn)(void *ctx, const struct job_view *view), void *ctx);
/*
 * jobs_task_state - state of a task, and its current or next attempt in *attempt if not NULL.
 * TASK_UNKNOWN if there is no such task.
 */
enum task_state jobs_task_state(const struct jobs *j, const char *id, uint32_t index,
				uint32_t *attempt);

#endif
