#ifndef OPERATOR_H
#define OPERATOR_H

#include "cell.h"
#include "version/config.h"

/* operator - actions of operators and of callers with jobs: publish, submit, query. */

/* Maximum number of daemons of a cell. */
#define OPERATOR_DAEMONS_MAX 16

/* operator_service - a change that sets a service of CELL_TEAM. */
struct config_change operator_service(const char *name, enum work_class class,
				      enum idempotency idempotency, uint64_t base);

/* operator_publish - sends a publish to daemon i. */
struct reply *operator_publish(struct cell *c, unsigned int i, const char *author, uint64_t nonce,
			       const struct config_change *change, size_t n);
/*
 * operator_must_publish - publishes, and waits until the daemons in the bit mask have the version.
 */
void operator_must_publish(struct cell *c, unsigned int i, uint64_t nonce,
			   const struct config_change *change, size_t n, uint32_t daemons);
/* operator_version - current version of daemon i, 0 if it does not answer. */
uint64_t operator_version(struct cell *c, unsigned int i);
/* operator_wait_version - waits until the daemons in the bit mask have at least this version. */
bool operator_wait_version(struct cell *c, uint32_t daemons, uint64_t version,
			   unsigned int wait_ms);
/*
 * operator_number - value of the first member called name in the first bytes of a reply, 0 if none.
 */
uint64_t operator_number(const struct reply *r, const char *name);
/* operator_wait - waits for one reply. */
bool operator_wait(struct cell *c, const struct reply *r, unsigned int wait_ms);

/* operator_job_id - id of the n-th job of this test, created on first use. n is below 16. */
const char *operator_job_id(unsigned int n);
/* operator_submit - sends the submit of a job of team to daemon i. */
struct reply *operator_submit(struct cell *c, unsigned int i, const char *team, const char *service,
			      const char *id, unsigned int tasks, unsigned int run_ms);
/*
 * operator_job_state - state of a job at daemon i, "" if it does not answer; owned by the caller.
 */
char *operator_job_state(struct cell *c, unsigned int i, const char *id);
/*
 * operator_wait_job - waits until the job is in one of the states, separated by '|', at daemon i.
 */
bool operator_wait_job(struct cell *c, unsigned int i, const char *id, const char *states,
		       unsigned int wait_ms);

/*
 * version_sampler - polls each daemon's status and counts versions that are lower than one reported
 * before by the same daemon.
 */
struct version_sampler;

struct version_sampler *version_sampler_create(struct cell *c);
/* version_sampler_restarted - daemon i was restarted: its versions count once it is ready. */
void version_sampler_restarted(struct version_sampler *s, unsigned int i);
/* version_sampler_end - number of versions that went backwards; frees s. */
unsigned int version_sampler_end(struct version_sampler *s);

#endif
