#ifndef NODE_ADMIT_H
#define NODE_ADMIT_H

#include "process/joblog.h"
#include "process/metrics.h"

/*
 * admit - checks whether a record may be appended to the job log. On the scheduler's node, records
 * of other nodes and those of this node's callers pass the same check. Other nodes check the memory
 * that the jobs take, as every process holds all of them.
 *
 * Only a new job can be rejected, or the cancel of one that isn't known. A job that the log knows,
 * or that was accepted shortly before, is a repeat: an earlier attempt may be stored, so a
 * rejection would be untrue.
 */
#define ADMIT_KEEP_MS 10000 /* callers repeat within 3 s, and an append may take effect later */
/* After a rejection for memory; spread by the job's id, so that callers don't return together. */
#define ADMIT_MEMORY_RETRY_MIN_MS    3000
#define ADMIT_MEMORY_RETRY_SPREAD_MS 4000
/* After a rejection of a cancel, as there are EARLY_CANCELS_MAX whose jobs aren't known. */
#define ADMIT_CANCEL_RETRY_MS 5000

struct admit;

/* Jobs of a team rejected by this process since its start, by cause. */
struct admit_rejections {
	uint64_t capacity;
	uint64_t backlog;
};

struct admit *admit_create(struct joblog *log, struct metrics *metrics);
void admit_destroy(struct admit *a);
/*
 * admit_set_jobs_max - limits the memory that all jobs in the log may take, in bytes; 0: no limit,
 * as at first.
 */
void admit_set_jobs_max(struct admit *a, uint64_t bytes);
/* admit_set_scheduler - the scheduler that decides, NULL while this node is not the scheduler. */
void admit_set_scheduler(struct admit *a, struct scheduler *s);
/*
 * admit_record - returns 0 if the record may be appended, else the time after which the caller may
 * try again in ms. It must not be appended then.
 */
uint32_t admit_record(struct admit *a, const char *key, const uint8_t *value, size_t size);
/* admit_rejections - zero for a team of which no job was rejected. */
struct admit_rejections admit_rejections(const struct admit *a, const char *team);

#endif
