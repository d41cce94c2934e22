#ifndef REQUEST_SET_H
#define REQUEST_SET_H

#include "cell.h"

/*
 * request_set - a set of requests, each with a tag of its own, and their outcomes.
 *
 * Outcomes are verified against the workers' records: a request with a complete answer has run, and
 * one reported as not run has not.
 */
struct request_set;

struct request_outcomes {
	unsigned int complete;
	unsigned int not_run;
	unsigned int failed;
	unsigned int unknown;
	unsigned int cut;	/* started and ended before its last byte */
	unsigned int no_answer; /* not a byte of a reply */
	unsigned int wrong;	/* none of the above, or contradicted by the records */
};

struct request_set *request_set_create(struct cell *c, const char *service);
void request_set_destroy(struct request_set *set);
/*
 * request_set_send - sends n requests to daemon i. more holds further members of the body that
 * directs the runner, or is NULL. Requests of a non-idempotent service each have a key of their
 * own.
 */
void request_set_send(struct request_set *set, unsigned int i, unsigned int n, const char *more);
/* request_set_send_twice - sends one request, with one key, to two daemons at once. */
void request_set_send_twice(struct request_set *set, unsigned int i, unsigned int j,
			    const char *more);
/* request_set_expect_bytes - sets the expected size of all answers. */
void request_set_expect_bytes(struct request_set *set, int64_t answer_bytes);
/* request_set_begun_count - number of requests of the set that runners have started. */
unsigned int request_set_begun_count(struct request_set *set);
/* request_set_run_count - number of runs of all its requests together. */
unsigned int request_set_run_count(struct request_set *set);
/* request_set_wait_begun - waits until n of them have started. */
bool request_set_wait_begun(struct request_set *set, unsigned int n, unsigned int wait_ms);
/* request_set_wait - waits for all answers and counts their outcomes. */
struct request_outcomes request_set_wait(struct request_set *set, unsigned int wait_ms);

#endif
