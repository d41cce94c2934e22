#ifndef CELL_ORDER_H
#define CELL_ORDER_H

#include "request/cell_job.h"

/*
 * order - whose tasks are placed first.
 *
 * Under overload somebody has to wait. Jobs that can still be in time come before those that can't:
 * one that is late already loses little by waiting, and each task of it would make another late. A
 * job past ORDER_LATE_TIMES its objective is worth nothing to its caller any more and goes last.
 * Tasks that last come first of all: they are few, and while one is down its users are not served.
 */
enum order_tier {
	ORDER_LASTING = 0,
	ORDER_IN_TIME,
	ORDER_LATE,
	ORDER_HOPELESS,
};

#define ORDER_LATE_TIMES 3  /* of the objective: the users' bound for a late job */
#define ORDER_SLACK_MS	 50 /* for placing the next step and showing the end */

struct order_rank {
	enum order_tier tier;
	uint32_t priority; /* 0 comes first */
	int64_t key;	   /* lower comes first */
};

/* order_rank - at wall clock wall_ms. */
struct order_rank order_rank(const struct cell_job *j, int64_t wall_ms);
/* order_compare - < 0 if a comes before b. */
int order_compare(const struct order_rank *a, const struct order_rank *b);
/* order_slack_ms - time that the job can still wait and be in time. */
int64_t order_slack_ms(const struct cell_job *j, int64_t wall_ms);

#endif
