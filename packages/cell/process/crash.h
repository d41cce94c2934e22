#ifndef CELL_CRASH_H
#define CELL_CRASH_H

#include "process/scheduler.h"

/*
 * crash - tells tasks that crash their runners from those that were only near.
 *
 * A runner that ends says nothing of its runs, so the end counts against each of them. A task at
 * fault ends its runner right after each start. A run that lives for CRASH_CLEARED_MS, or fails by
 * itself, clears its task of earlier ends.
 *
 * An end is certain if another runner answers at the address, or a new incarnation does. A runner
 * that was silent until its last lease ended may live on. That is a suspicion: it leads to
 * isolation, and counts towards a verdict only beside the certain ends that one needs.
 */
#define CRASH_CLEARED_MS 5000

enum crash_isolation {
	CRASH_ISOLATION_NONE = 0,
	CRASH_ISOLATION_PREFERRED, /* on the runner with the fewest runs */
	CRASH_ISOLATION_ALONE,	   /* on a runner without other runs */
};

/*
 * crash_note - counts the loss of the run against its task, once for each run, also over several
 * schedulers. Does nothing if the runner has not ended, or was expected to leave.
 */
void crash_note(const struct cell_runner *rn, const struct run *r, enum run_loss loss);
/* crash_forgive - the runner of that run has not ended after all. */
void crash_forgive(struct job_task *task, uint32_t run_number);
/* crash_clear - a run of the task has shown that it does not crash its runner. */
void crash_clear(struct job_task *task);
/* crash_is_conclusive - true if the task has to be given up. */
bool crash_is_conclusive(const struct job_task *task);
/* crash_isolation - how to place the next run of the task. */
enum crash_isolation crash_isolation(const struct job_task *task);
/* crash_alone_ms - how long a run of the task that was started alone stays so. */
int64_t crash_alone_ms(const struct job_task *task);

#endif
