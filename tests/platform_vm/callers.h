#ifndef TESTS_VM_CALLERS_H
#define TESTS_VM_CALLERS_H

#include "vm_cell.h"

/*
 * callers - callers of a cell in the default main context, over keep-alive connections that stay
 * open: they hand in jobs, ask for states and cancel. A request without an answer is repeated at
 * another VM, a refused one up to three times.
 *
 * Beside these, they hand in jobs and cancel them at another VM at the same time, until the cancel
 * is answered with 2xx or 410; and they ask how many jobs wait, of which some can never start.
 */
struct callers;

/* How a job ends if nobody cancels it. */
enum caller_outcome {
	CALLER_DONE = 0,
	CALLER_FAILED, /* after three runs that failed */
	CALLER_LASTS,  /* not: it runs until it is cancelled */
	CALLER_WAITS,  /* not: some of its tasks find no room while others of its kind last */
};

/* What the callers know of one job. */
struct caller_job {
	uint64_t id;
	enum caller_outcome outcome;
	uint32_t refusals;
	bool accepted;
	bool unanswered; /* an attempt had no answer */
	bool cancelling; /* a cancel was sent */
	bool cancelled;	 /* and answered with 2xx after the job was accepted */
	bool pending;
};

/*
 * callers_create - disturbed counts, for each VM, the troubles that may break off its connections;
 * owned by the caller and has to outlive the result.
 */
struct callers *callers_create(struct vm_cell *c, uint32_t vms, uint32_t seed,
			       const uint32_t *disturbed);
void callers_destroy(struct callers *cl);
/* callers_finish - hands in nothing more and waits until each request has ended. */
bool callers_finish(struct callers *cl, uint32_t wait_ms);
/* callers_close - closes the idle connections. */
void callers_close(struct callers *cl);
/* callers_post - sends a body for a job that is cancelled at once if it is accepted. */
void callers_post(struct callers *cl, uint32_t vm, const char *body, size_t size);

uint32_t callers_jobs(const struct callers *cl);
const struct caller_job *callers_job(const struct callers *cl, uint32_t i);
/* callers_race_jobs - ids of the jobs whose cancel, sent with the job, was acknowledged. */
const GArray *callers_race_jobs(const struct callers *cl);
/* callers_summary - requests by answer; owned by the caller (g_free). */
char *callers_summary(const struct callers *cl);
/* callers_faults - a line for each connection that a calm process broke off, or wrong answer. */
const char *callers_faults(const struct callers *cl);

#endif
