#ifndef DAEMON_TASKRUN_H
#define DAEMON_TASKRUN_H

#include "dispatch.h"

/*
 * taskrun - one claimed attempt of a task in the hands of its coordinator: handed to an owner, or
 * looked for among the owners, until its end is known.
 */
struct taskrun;

struct taskrun_deps {
	const struct settings *set;
	struct members *members;
	struct calls *calls;
	struct fleet *fleet;
};

struct taskrun_ops {
	/* started - it runs on a worker; may be called again after it was looked for. */
	void (*started)(void *ctx, struct taskrun *t);
	/*
	 * ended - called once, and the last. out is the attempt's outcome: OUTCOME_NOT_RUN if it
	 * surely never started, OUTCOME_UNKNOWN if it surely does not run any more and nobody saw
	 * its end.
	 */
	void (*ended)(void *ctx, struct taskrun *t, enum outcome out, const char *why);
};

/* taskrun_start - hands the attempt to an owner before use_until_ms. */
struct taskrun *taskrun_start(const struct taskrun_deps *deps, const struct job_spec *spec,
			      uint32_t index, uint32_t attempt, int64_t use_until_ms,
			      const char *owner, const struct taskrun_ops *ops, void *ctx);
/* taskrun_find - looks for an attempt that another coordinator may have started. */
struct taskrun *taskrun_find(const struct taskrun_deps *deps, const struct job_spec *spec,
			     uint32_t index, uint32_t attempt, const struct taskrun_ops *ops,
			     void *ctx);
/* taskrun_stop - stops the task; its end follows through fn. */
void taskrun_stop(struct taskrun *t);
/*
 * taskrun_withdraw - takes a task back that still waits at its owner; it then ends as not_run. One
 * that was started goes on.
 */
void taskrun_withdraw(struct taskrun *t);
/* taskrun_waiting - its owner has it and has not started it, as far as is known here. */
bool taskrun_waiting(const struct taskrun *t);
/* taskrun_free - lets go of the task, which goes on. */
void taskrun_free(struct taskrun *t);

const char *taskrun_job(const struct taskrun *t);
uint32_t taskrun_index(const struct taskrun *t);
uint32_t taskrun_attempt(const struct taskrun *t);
/* taskrun_worker - where it runs, "" if it has not started. */
const char *taskrun_worker(const struct taskrun *t);

#endif
