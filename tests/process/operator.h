#ifndef OPERATOR_H
#define OPERATOR_H

#include "cell.h"
#include "version/config.h"

/*
 * operator - what tests do as operators and as callers with jobs: publish, submit, ask.
 */

/* Most daemons of a cell. */
#define OPERATOR_DAEMONS_MAX 16

/* operator_service - a change that sets a service of CELL_TEAM. */
struct config_change operator_service(const char *name, enum work_class class,
				      enum idempotency idempotency, uint64_t base);

/* operator_publish - starts a publish through daemon i. */
struct reply *operator_publish(struct cell *c, unsigned int i, const char *author, uint64_t nonce,
			       const struct config_change *change, size_t n);
/* operator_must_publish - publishes, and waits until the daemons of the mask have the version. */
void operator_must_publish(struct cell *c, unsigned int i, uint64_t nonce,
			   const struct config_change *change, size_t n, uint32_t daemons);
/* operator_version - version that daemon i says it has, 0 if it does not answer. */
uint64_t operator_version(struct cell *c, unsigned int i);
/* operator_wait_version - waits until the daemons of the mask have at least that version. */
bool operator_wait_version(struct cell *c, uint32_t daemons, uint64_t version,
			   unsigned int wait_ms);
/* operator_number - value of the first member of that name in the head of an answer, 0 if none. */
uint64_t operator_number(const struct reply *r, const char *name);
/* operator_wait - waits for the end of one call. */
bool operator_wait(struct cell *c, const struct reply *r, unsigned int wait_ms);

/* operator_job_id - id of the n-th job of this test, made at its first use; n is below 16. */
const char *operator_job_id(unsigned int n);
/* operator_submit - starts the submit of a job of CELL_TEAM, or of team. */
struct reply *operator_submit(struct cell *c, unsigned int i, const char *team, const char *service,
			      const char *id, unsigned int tasks, unsigned int run_ms);
/* operator_job_state - state of a job as daemon i has it, "" if it does not answer. */
char *operator_job_state(struct cell *c, unsigned int i, const char *id);
/* operator_wait_job - waits until daemon i has the job in one of the states, separated by '|'. */
bool operator_wait_job(struct cell *c, unsigned int i, const char *id, const char *states,
		       unsigned int wait_ms);

/*
 * sampler - asks each daemon for its status again and again, and counts the versions that are lower
 * than one seen before of the same daemon.
 */
struct version_sampler;

struct version_sampler *version_sampler_create(struct cell *c);
/* version_sampler_restarted - daemon i was started again: it counts from the first time that it is
 * ready.
 */
void version_sampler_restarted(struct version_sampler *s, unsigned int i);
/* version_sampler_end - number of versions that went back; frees s. */
unsigned int version_sampler_end(struct version_sampler *s);

#endif
