#ifndef CORE_QUARANTINE_H
#define CORE_QUARANTINE_H

#include "item.h"

/*
 * quarantine - tells bad workers, on which every job fails, from bad jobs, which fail on every
 * worker.
 *
 * Failures are counted per worker; a success resets the count. Repeated failures of one job count
 * once, unless that job has succeeded elsewhere. A job that failed on QUARANTINE_BAD_JOB_WORKERS
 * different workers without a success in between is a bad job: its failures are discarded, and new
 * ones don't count. A worker with enough failures is quarantined. After a delay, which doubles each
 * time, it gets a single item as a probe.
 */
#define QUARANTINE_BAD_JOB_WORKERS 3

enum quarantine_state {
	QUARANTINE_NONE = 0,
	QUARANTINE_ACTIVE,
	QUARANTINE_PROBE,   /* may get one item as a probe */
	QUARANTINE_PROBING, /* the probe is running */
};

struct quarantine;

struct quarantine_ops {
	/* changed - the worker gets no work from now on if quarantined, else it may. */
	void (*changed)(void *ctx, uint32_t worker, bool quarantined, int64_t now_ms);
};

struct quarantine *quarantine_create(const struct owner_conf *conf,
				     const struct quarantine_ops *ops, void *ctx);
void quarantine_destroy(struct quarantine *q);
/* quarantine_forget - removes a worker, so that its handle may be reused. */
void quarantine_forget(struct quarantine *q, uint32_t worker);

/* quarantine_key - key by which failures are counted: the job, or the service of a request. */
uint64_t quarantine_key(const struct work *w);
/* quarantine_placed - records a placement on the worker; true if it is the probe. */
bool quarantine_placed(struct quarantine *q, uint32_t worker, int64_t now_ms);
/* quarantine_result - records how an item of key ended on the worker. */
void quarantine_result(struct quarantine *q, uint32_t worker, uint64_t key, enum end_result result,
		       bool probe, int64_t now_ms);
/* quarantine_avoids - true if that job failed on the worker a short while ago. */
bool quarantine_avoids(const struct quarantine *q, uint64_t key, uint32_t worker, int64_t now_ms);
/* quarantine_has_failures - false if no failed job is recorded, so that nothing is avoided. */
bool quarantine_has_failures(const struct quarantine *q);
bool quarantine_bad_job(const struct quarantine *q, uint64_t key);
enum quarantine_state quarantine_state(const struct quarantine *q, uint32_t worker);
/* quarantine_failures - number of failures counted against the worker. */
uint32_t quarantine_failures(const struct quarantine *q, uint32_t worker);
/* quarantine_run - allows a probe of each worker whose delay is over. */
void quarantine_run(struct quarantine *q, int64_t now_ms);
/* quarantine_next_ms - when the next delay ends, INT64_MAX for never. */
int64_t quarantine_next_ms(const struct quarantine *q);

#endif
