#ifndef CORE_QUARANTINE_H
#define CORE_QUARANTINE_H

#include "item.h"

/*
 * quarantine - tells workers that fail everything from jobs that fail everywhere.
 *
 * A worker collects strikes from failed work, and loses them all with the first success. Failures
 * of one job count as one strike, unless that job is known to run well elsewhere. A job that failed
 * on QUARANTINE_BAD_JOB_WORKERS different workers with no success between is a bad job: its
 * strikes are taken back and it gives no more. With enough strikes a worker is quarantined; after a
 * delay that doubles each time it gets one piece of work as a probe.
 */
#define QUARANTINE_BAD_JOB_WORKERS 3

enum quarantine_state {
	QUARANTINE_NONE = 0,
	QUARANTINE_ACTIVE,
	QUARANTINE_PROBE,   /* may be given one piece of work */
	QUARANTINE_PROBING, /* that one is running */
};

struct quarantine;

struct quarantine_ops {
	/* changed - the worker may or may not be given work from now on. */
	void (*changed)(void *ctx, uint32_t worker, bool quarantined, int64_t now_ms);
};

struct quarantine *quarantine_create(const struct owner_conf *conf,
				     const struct quarantine_ops *ops, void *ctx);
void quarantine_destroy(struct quarantine *q);
/* quarantine_forget - the worker is gone; its handle may be used by another. */
void quarantine_forget(struct quarantine *q, uint32_t worker);

/* quarantine_key - what failures are counted by: the job, or the service of a request. */
uint64_t quarantine_key(const struct work *w);
/* quarantine_placed - work was given to the worker; true if it is the probe. */
bool quarantine_placed(struct quarantine *q, uint32_t worker, int64_t now_ms);
void quarantine_result(struct quarantine *q, uint32_t worker, uint64_t key, enum end_result result,
		       bool probe, int64_t now_ms);
/* quarantine_avoids - true if this job failed on that worker a short while ago. */
bool quarantine_avoids(const struct quarantine *q, uint64_t key, uint32_t worker, int64_t now_ms);
/* quarantine_has_failures - false if no job has failed lately, so that nothing is avoided. */
bool quarantine_has_failures(const struct quarantine *q);
bool quarantine_bad_job(const struct quarantine *q, uint64_t key);
enum quarantine_state quarantine_state(const struct quarantine *q, uint32_t worker);
uint32_t quarantine_failures(const struct quarantine *q, uint32_t worker);
/* quarantine_run - lets workers be probed whose delay is over. */
void quarantine_run(struct quarantine *q, int64_t now_ms);
int64_t quarantine_next_ms(const struct quarantine *q);

#endif
