#ifndef REQUEST_SET_H
#define REQUEST_SET_H

#include "cell.h"

/*
 * request_set - a set of requests with one tag each, and what became of them.
 *
 * The records are asked whether an outcome is true: a request that was answered whole has run, and
 * one that was said not to have run has not.
 */
struct request_set;

struct request_outcomes {
	unsigned int complete;
	unsigned int not_run;
	unsigned int failed;
	unsigned int unknown;
	unsigned int cut;	/* began and ended without all bytes */
	unsigned int no_answer; /* not a byte of an answer */
	unsigned int wrong;	/* neither whole nor any of the above, or an untrue outcome */
};

struct request_set *request_set_create(struct cell *c, const char *service);
void request_set_destroy(struct request_set *w);
/*
 * request_set_send - starts n requests through daemon i. more holds further members of the body
 * that directs the runner, or is NULL. Each request of a non-idempotent service has a key of its
 * own.
 */
void request_set_send(struct request_set *w, unsigned int i, unsigned int n, const char *more);
/* request_set_send_twice - starts one request, with one key, through two daemons at once. */
void request_set_send_twice(struct request_set *w, unsigned int i, unsigned int j,
			    const char *more);
/* request_set_expect_bytes - all answers are to be of this size. */
void request_set_expect_bytes(struct request_set *w, int64_t answer_bytes);
/* request_set_begun_count - number of requests of the set that runners have begun. */
unsigned int request_set_begun_count(struct request_set *w);
/* request_set_run_count - number of runs of all its requests together. */
unsigned int request_set_run_count(struct request_set *w);
/* request_set_wait_begun - waits until n of them have begun. */
bool request_set_wait_begun(struct request_set *w, unsigned int n, unsigned int wait_ms);
/* request_set_wait - waits for all answers, and judges them. */
struct request_outcomes request_set_wait(struct request_set *w, unsigned int wait_ms);

#endif
