#ifndef CELL_ADMISSION_H
#define CELL_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * admission - decides whether a job is accepted, or when its caller may try again.
 *
 * A job is rejected only if its team is above its rate and capacity is short, in the pool or for
 * the team itself. The rate is that of a token bucket which `weight` fills. Capacity is short when
 * the jobs of one priority that wait would take too long to start at the present rate of starts.
 */
#define ADMISSION_RETRY_MIN_MS 1000
#define ADMISSION_RETRY_MAX_MS 10000
/* A new scheduler rejects nothing for the time in which a caller makes its 4 tries: its predecessor
 * may have stored an earlier one. */
#define ADMISSION_WARMUP_MS 3000

struct admission;

enum admission_cause {
	ADMISSION_ACCEPTED = 0,
	ADMISSION_CAPACITY, /* jobs of the pool wait too long */
	ADMISSION_BACKLOG,  /* jobs of the team wait too long */
};

struct admission_request {
	const char *id;
	const char *team; /* "" for none */
	const char *pool;
	uint32_t weight;
	uint32_t priority; /* 0 is the most urgent */
};

/* The jobs of one priority that wait for their first run. */
struct admission_backlog {
	uint32_t waiting;
	uint32_t wait_ms;  /* for a new job: how long these take at the present rate of starts */
	uint32_t limit_ms; /* half of the mean time that they can wait without being late */
};

struct admission_verdict {
	enum admission_cause cause;
	uint32_t retry_after_ms; /* 0 if accepted */
	/* Inputs of the decision, for logs. */
	uint32_t tokens_milli;
	uint32_t burst_milli; /* of a full bucket */
	uint32_t excess;      /* jobs sent back that the team's rate has not made up for yet */
	struct admission_backlog backlog; /* that is too long, of the pool or of the team */
};

struct admission *admission_create(int64_t now_ms);
void admission_destroy(struct admission *a);

/*
 * admission_begin_pass, admission_end_pass - enclose the report after a placement pass: one call of
 * admission_add_waiting() for each job that waits, and one of admission_add_started() for each
 * whose first run was planned since the last pass. spare_ms: how long the job could wait when it
 * was due. held_by_cap: its team is at its cap, so it says nothing of the pool.
 */
void admission_begin_pass(struct admission *a);
void admission_add_waiting(struct admission *a, const char *pool, const char *team,
			   uint32_t priority, int64_t spare_ms, bool held_by_cap);
void admission_add_started(struct admission *a, const char *pool, const char *team,
			   uint32_t priority);
void admission_end_pass(struct admission *a, int64_t now_ms);

/* admission_decide - decides on a job that is not known yet; v receives the decision. */
void admission_decide(struct admission *a, const struct admission_request *req, int64_t now_ms,
		      struct admission_verdict *v);
/* admission_cause_name - for logs and metrics. */
const char *admission_cause_name(enum admission_cause cause);

#endif
