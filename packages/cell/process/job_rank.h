#ifndef CELL_JOB_RANK_H
#define CELL_JOB_RANK_H

#include "request/cell_job.h"

/*
 * job_rank - whose tasks are placed first.
 *
 * Under overload somebody has to wait. Jobs that can still be in time come before those that can't:
 * one that is late already loses little by waiting, and each task of it would make another late. A
 * job past JOB_OVERDUE_FACTOR its objective is worth nothing to its caller any more and goes last.
 * Tasks that last come first of all: they are few, and while one is down its users are not served.
 */
enum job_tier {
	JOB_TIER_LASTING = 0,
	JOB_TIER_IN_TIME,
	JOB_TIER_LATE,
	JOB_TIER_OVERDUE,
};

#define JOB_OVERDUE_FACTOR   3	/* of the objective: the users' bound for a late job */
#define JOB_STEP_OVERHEAD_MS 50 /* for placing the next step and showing the end */

struct job_rank {
	enum job_tier tier;
	uint32_t priority; /* 0 comes first */
	int64_t key;	   /* lower comes first */
};

/* job_rank_at - at wall clock wall_ms. */
struct job_rank job_rank_at(const struct cell_job *j, int64_t wall_ms);
/* job_rank_compare - < 0 if a comes before b. */
int job_rank_compare(const struct job_rank *a, const struct job_rank *b);
/* job_slack_ms - time that the job can still wait and be in time. */
int64_t job_slack_ms(const struct cell_job *j, int64_t wall_ms);

#endif
