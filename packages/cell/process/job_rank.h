#ifndef CELL_JOB_RANK_H
#define CELL_JOB_RANK_H

#include "request/cell_job.h"

/*
 * job_rank - the order in which the tasks of jobs are placed.
 *
 * Under overload, jobs that can still be in time come before late ones: a late job loses little by
 * waiting, while each of its tasks would make another job late. A job past JOB_OVERDUE_FACTOR times
 * its objective is of no use to its caller any more and comes last. Jobs with lasting tasks come
 * first: they are few, and while one is down its users are not served.
 */
enum job_tier {
	JOB_TIER_LASTING = 0,
	JOB_TIER_IN_TIME,
	JOB_TIER_LATE,
	JOB_TIER_OVERDUE,
};

#define JOB_OVERDUE_FACTOR   3	/* times the objective: the users' limit for a late job */
#define JOB_STEP_OVERHEAD_MS 50 /* to place the next step and publish the end */

struct job_rank {
	enum job_tier tier;
	uint32_t priority; /* 0 comes first */
	int64_t key;	   /* start of the objective; lower comes first */
};

/* job_rank_at - returns the job's rank at wall clock wall_ms. */
struct job_rank job_rank_at(const struct cell_job *j, int64_t wall_ms);
/* job_rank_compare - returns < 0 if a comes before b. */
int job_rank_compare(const struct job_rank *a, const struct job_rank *b);
/* job_slack_ms - time that the job can still wait without being late; negative if it is late. */
int64_t job_slack_ms(const struct cell_job *j, int64_t wall_ms);

#endif
