#ifndef TESTS_CELL_WORKLOAD_H
#define TESTS_CELL_WORKLOAD_H

#include "fixture.h"

/*
 * workload - runners that carry out the orders of a fixture's scheduler in virtual time: runs begin
 * at once, use what their job says and end after a given time. Ends are reported until the
 * scheduler has acknowledged them.
 */
struct workload;

/* How the runs of one job behave. */
struct workload_job {
	const char *id; /* of the job, or the beginning of a task; valid as long as the workload */
	int64_t run_ms; /* 0: until they are stopped */
	enum run_end end; /* by themselves */
	uint32_t usage;	  /* reported of each run: CPU use, or the tail latency in ms */
	uint32_t
		usage_mixed; /* the same while a run of another job is on the runner; 0: as usage */
};

struct workload *workload_create(struct fixture *f);
void workload_destroy(struct workload *w);
/* workload_add - sets how runs behave whose task begins with job->id; the last match counts. */
void workload_add(struct workload *w, const struct workload_job *job);
/* workload_run - lets ms pass in steps of WORKLOAD_STEP_MS. */
#define WORKLOAD_STEP_MS 20
void workload_run(struct workload *w, int64_t ms);
/* workload_started - starts so far of tasks that begin with prefix. */
uint32_t workload_started(const struct workload *w, const char *prefix);
/* workload_running - runs now of tasks that begin with prefix, on the runner or any if NULL. */
uint32_t workload_running(const struct workload *w, const char *prefix, const char *runner);
/* workload_adopt - a run that an earlier scheduler has started goes on. */
void workload_adopt(struct workload *w, const char *runner, const char *task, uint32_t run);
/* workload_failed_runs - different run numbers of tasks that begin with prefix and failed. */
uint32_t workload_failed_runs(const struct workload *w, const char *prefix);
/* workload_stopped - runs that were stopped by order, of tasks that begin with prefix. */
uint32_t workload_stopped(const struct workload *w, const char *prefix);

#endif
