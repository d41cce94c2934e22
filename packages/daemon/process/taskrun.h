#ifndef DAEMON_TASKRUN_H
#define DAEMON_TASKRUN_H

#include "dispatch.h"

/*
 * taskrun - one claimed attempt of a task, followed by its coordinator until its end is known: it
 * is handed to an owner, or searched for among the owners.
 */
struct taskrun;

struct taskrun_deps {
	const struct settings *set;
	struct members *members;
	struct calls *calls;
	struct fleet *fleet;
};

struct taskrun_ops {
	/* started - the attempt runs on a worker. Called again after a search found it. */
	void (*started)(void *ctx, struct taskrun *t);
	/*
	 * ended - called exactly once, last. out is the outcome of the attempt: OUTCOME_NOT_RUN if
	 * it certainly never started, OUTCOME_UNKNOWN if it no longer runs and its end was not
	 * seen.
	 */
	void (*ended)(void *ctx, struct taskrun *t, enum outcome out, const char *why);
};

/*
 * taskrun_start - hands the attempt to an owner. Returns NULL, and nothing was sent, if
 * use_until_ms has passed or the owner is not linked.
 */
struct taskrun *taskrun_start(const struct taskrun_deps *deps, const struct job_spec *spec,
			      uint32_t index, uint32_t attempt, int64_t use_until_ms,
			      const char *owner, const struct taskrun_ops *ops, void *ctx);
/* taskrun_find - searches for an attempt that another coordinator may have started. */
struct taskrun *taskrun_find(const struct taskrun_deps *deps, const struct job_spec *spec,
			     uint32_t index, uint32_t attempt, const struct taskrun_ops *ops,
			     void *ctx);
/* taskrun_stop - stops the task. Its end is reported by ops->ended(). */
void taskrun_stop(struct taskrun *t);
/*
 * taskrun_withdraw - takes back a task that still waits at its owner; it ends as not_run. A started
 * task keeps running.
 */
void taskrun_withdraw(struct taskrun *t);
/* taskrun_waiting - whether an owner has the task and has not reported its start. */
bool taskrun_waiting(const struct taskrun *t);
/* taskrun_free - stops following the task, which keeps running. */
void taskrun_free(struct taskrun *t);

const char *taskrun_job(const struct taskrun *t);
uint32_t taskrun_index(const struct taskrun *t);
uint32_t taskrun_attempt(const struct taskrun *t);
/* taskrun_worker - name of its worker, "" before it started. */
const char *taskrun_worker(const struct taskrun *t);

#endif
