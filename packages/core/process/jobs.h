#ifndef CORE_JOBS_H
#define CORE_JOBS_H

#include <stddef.h>

#include <glib.h>

#include "status.h"
#include "types.h"

/*
 * jobs - state of the durable jobs and services of one data centre, built from the log.
 *
 * Every daemon of the data centre applies the same records in offset order and so holds the same
 * table. A task is started only after a claim record for its attempt, made by this daemon, was
 * read back as the first for that attempt; the log is the judge, so two coordinators that both
 * believe in their role can't start the same attempt. A claim may be acted on only for
 * claim_use_ms after it was appended; a successor waits claim_use_ms plus drift from when it read
 * the claim, then asks the workers' inventories before it makes a new attempt.
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
	JOB_UNKNOWN, /* a task that may not be repeated has an unknown end */
	JOB_STATES,
};

enum task_state {
	TASK_WAITING = 0,
	TASK_CLAIMED, /* claimed by a coordinator; may have been started */
	TASK_RUNNING, /* as TASK_CLAIMED, and this daemon knows that it was started */
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
	uint32_t attempts; /* most attempts of a task; 1 for a non-idempotent job */
	bool idempotent;
	int64_t submitted_wall_ms;
	uint64_t version; /* of the configuration that asked for a service, else 0 */
};

struct jobs_conf {
	const char *self; /* copied; name in claims, has to differ after each restart */
	uint32_t claim_use_ms;
	uint32_t drift_ppm;
	uint32_t settle_ms; /* after an unknown end, before the next attempt is offered: an owner
			     * that still runs the task reads the end meanwhile and stops it */
	uint32_t keep_ms;  /* how long an ended job stays listed; older ids must not be submitted */
	uint32_t jobs_max; /* for jobs_full() */
};

struct job_view {
	const struct job_spec *spec;
	enum job_state state;
	uint32_t count[TASK_STATES]; /* those beyond the count of a service included */
};

/*
 * jobs_service_id - the id under which a service of a data centre runs, the same at every daemon.
 */
void jobs_service_id(const char *dc, const char *service, char id[37]);

struct jobs *jobs_create(const struct jobs_conf *conf);
void jobs_destroy(struct jobs *j);

/*
 * jobs_apply - applies one record of the log. Applying an offset again changes nothing. A record
 * that can't be decoded is counted, skipped and reported in st.
 */
bool jobs_apply(struct jobs *j, uint64_t offset, const uint8_t *data, size_t size, int64_t now_ms,
		struct status *st);
uint64_t jobs_next_offset(const struct jobs *j);
/*
 * jobs_reset - the log's records before first are gone, or a peer's snapshot is to be taken: the
 * table is emptied. With from_start there was nothing before first. Otherwise nothing but snapshots
 * is applied until one is complete; then jobs_next_offset() steps back to where it was made. What
 * this daemon had won is forgotten, so self has to be a new name for its claims.
 */
void jobs_reset(struct jobs *j, uint64_t first, bool from_start, const char *self);
/* jobs_bootstrapped - false while a snapshot is awaited. */
bool jobs_bootstrapped(const struct jobs *j);
/* jobs_full - jobs_max is reached: no job should be submitted. */
bool jobs_full(const struct jobs *j);
/* jobs_skipped - number of records that could not be decoded. */
uint64_t jobs_skipped(const struct jobs *j);
/* jobs_memory_bytes - memory held by the table. */
size_t jobs_memory_bytes(const struct jobs *j);

/*
 * Records to append. Each returns a buffer owned by the caller (g_free), its size in *size. An
 * append without an answer may be repeated with the same bytes.
 *
 * jobs_record_submit - NULL if spec is not valid. For a service whose id is in the table it changes
 * count, size and team if spec->version is higher; a count of 0 stops it.
 */
uint8_t *jobs_record_submit(const struct job_spec *spec, size_t *size);
uint8_t *jobs_record_cancel(const char *job, size_t *size);
/* A claim on count tasks from first, each for its attempt number attempt. */
uint8_t *jobs_record_claim(const char *job, uint32_t first, uint32_t count, uint32_t attempt,
			   const char *daemon, uint64_t nonce, size_t *size);
/*
 * jobs_record_progress - task ends since the last call, coalesced; NULL if there are none. To be
 * called again until it returns NULL. The buffer has to be appended or kept: it is not made again.
 */
uint8_t *jobs_record_progress(struct jobs *j, size_t *size);
/*
 * jobs_record_snapshot - the whole table as one record, so that older records need not be kept;
 * NULL if it takes more than one.
 */
uint8_t *jobs_record_snapshot(const struct jobs *j, size_t *size);
/* jobs_record_snapshot_parts - the whole table as records (GBytes) to append in order. */
GPtrArray *jobs_record_snapshot_parts(const struct jobs *j);

/* jobs_task_started - notes that a task which this daemon claimed runs. */
void jobs_task_started(struct jobs *j, const char *id, uint32_t index, uint32_t attempt);
/*
 * jobs_task_ended - notes the end of a task that this daemon coordinates, for the next progress. To
 * be called only when that attempt surely doesn't run any more and won't be started:
 * OUTCOME_UNKNOWN means that it has ended and nobody knows how.
 */
void jobs_task_ended(struct jobs *j, const char *id, uint32_t index, uint32_t attempt,
		     enum outcome out, int64_t now_ms);

/* A range of tasks that a claim of this daemon won and that may be started now. */
struct job_start {
	const struct job_spec *spec;
	uint32_t first;
	uint32_t count;
	uint32_t attempt;
	int64_t use_until_ms; /* the start has to be written before */
};

/*
 * jobs_take_won_claim - hands out each won claim once; returns false if there is none. A claim that
 * came too late to be used, or was cancelled, goes into the next progress as not run. start->spec
 * is valid until the next record is applied.
 */
bool jobs_take_won_claim(struct jobs *j, struct job_start *start, int64_t now_ms);
/*
 * jobs_claim_sent - a claim with this nonce is about to be appended. The time of the first call
 * for a nonce counts. A claim that is read without having been noted is not acted on.
 */
void jobs_claim_sent(struct jobs *j, uint64_t nonce, int64_t now_ms);

/*
 * jobs_unclaimed - first run of waiting tasks of the job, at most max; false if there is none. The
 * same run is given until a claim for it was read. Time is that of the last call with now_ms.
 */
bool jobs_unclaimed(const struct jobs *j, const char *id, uint32_t max, uint32_t *first,
		    uint32_t *count, uint32_t *attempt);
/*
 * jobs_each_orphan - tasks claimed by a daemon for which gone() is true, whose claim can't be acted
 * on any more at now_ms: their workers' inventories have to be asked. Calls fn for each.
 */
void jobs_each_orphan(struct jobs *j, bool (*gone)(void *ctx, const char *daemon),
		      void (*fn)(void *ctx, const struct job_spec *spec, uint32_t index,
				 uint32_t attempt),
		      void *ctx, int64_t now_ms);

/*
 * jobs_task_wanted - whether a task that is found running should go on: false if the job was
 * cancelled or has ended, the attempt is not the current one, or the service's count is lower.
 */
bool jobs_task_wanted(const struct jobs *j, const char *id, uint32_t index, uint32_t attempt);

bool jobs_get(const struct jobs *j, const char *id, struct job_view *view);
/* jobs_each - calls fn for each job, oldest first. */
void jobs_each(const struct jobs *j, void (*fn)(void *ctx, const struct job_view *view), void *ctx);
/* jobs_task_state - state of a task, and its current or next attempt; TASK_UNKNOWN if there is
 * none. */
enum task_state jobs_task_state(const struct jobs *j, const char *id, uint32_t index,
				uint32_t *attempt);

#endif
