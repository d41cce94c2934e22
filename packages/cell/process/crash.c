#include "crash.h"

#define CRASH_EARLY_MS	300 /* after the start; replies through other nodes may be that late */
#define CRASH_EARLY_MAX 3   /* certain early ends in a row, after which a task is given up */
#define CRASH_MAX	5   /* ends in a row; the platform allows two starts after the third */
/*
 * Certain ones among CRASH_MAX: the platform's minimum for giving a task up. With 3, a task started
 * too often after takeovers, which can't prove the end of a runner that is no longer listed.
 */
#define CRASH_CERTAIN_MIN 2
#define ALONE_EARLY	  2    /* early ends in a row, after which a task runs alone */
#define ALONE_ANY	  3    /* ends of any kind in a row, after which it does too */
#define PREFERRED_ANY	  2    /* ends of any kind, after which it prefers an empty runner */
#define ALONE_RELEASED_MS 1000 /* a task suspected of early ends runs alone for so long */

/* Whether the run was lost because its runner has ended, or may have. */
static bool runner_ended(const struct cell_runner *rn, enum run_loss loss)
{
	switch (loss) {
	case LOSS_LEASE_ENDED:
		/* A runner that answers has lost its lease since none was granted. */
		return !rn->contacted || rn->misses > 0 || rn->gone;
	case LOSS_RESTARTED:
	case LOSS_REPLACED:
		return true;
	case LOSS_NOT_LISTED:
		break;
	}
	return false;
}

static void note_certain(struct task_crashes *t, const struct run *r)
{
	t->crash_was_alone = r->started_alone;
	t->certain_crashes++;
	t->certain_early_crashes += t->crash_was_early;
}

void crash_note(const struct cell_runner *rn, const struct run *r, enum run_loss loss)
{
	struct job_task *task = cell_job_task(r->job, r->task);
	int64_t survived_ms = cell_runner_survived_ms(rn, r);
	struct task_crashes *t;

	if (job_task_crashes(task)->crash_run == r->number || r->state == RUN_PLANNED ||
	    rn->draining || !runner_ended(rn, loss))
		return;
	if (!task->crashes)
		task->crashes = g_new0(struct task_crashes, 1);
	t = task->crashes;
	t->crash_run = r->number;
	if (survived_ms >= CRASH_CLEARED_MS) {
		crash_clear(task);
		return;
	}
	if (survived_ms >= CRASH_EARLY_MS) {
		t->early_crashes = 0;
		t->certain_early_crashes = 0;
	}
	/*
	 * Without an answer to its start, the run may not have existed when the runner ended. A
	 * host that fails again and again is not the fault of the task.
	 */
	t->crash_was_early = r->confirmed_ms && survived_ms < CRASH_EARLY_MS &&
			     (!t->crash_host || t->crash_host != rn->host);
	t->crash_is_certain = loss != LOSS_LEASE_ENDED;
	t->crash_host = rn->host;
	t->crashes++;
	t->early_crashes += t->crash_was_early;
	if (t->crash_is_certain)
		note_certain(t, r);
	r->job->suspect = true;
}

void crash_forgive(struct job_task *task, uint32_t run_number)
{
	struct task_crashes *t = task->crashes;

	if (!t || t->crash_is_certain || t->crash_run != run_number)
		return;
	t->crash_is_certain = true;
	t->crashes -= t->crashes > 0;
	if (t->crash_was_early)
		t->early_crashes -= t->early_crashes > 0;
}

void crash_clear(struct job_task *task)
{
	struct task_crashes *t = task->crashes;

	if (!t)
		return;
	t->crashes = 0;
	t->early_crashes = 0;
	t->certain_crashes = 0;
	t->certain_early_crashes = 0;
	t->crash_host = 0;
}

bool crash_is_conclusive(const struct job_task *task)
{
	const struct task_crashes *t = job_task_crashes(task);

	return (t->certain_early_crashes >= CRASH_EARLY_MAX && t->crash_was_alone) ||
	       (t->certain_crashes >= CRASH_CERTAIN_MIN && t->crashes >= CRASH_MAX);
}

enum crash_isolation crash_isolation(const struct job_task *task)
{
	const struct task_crashes *t = job_task_crashes(task);

	if (t->early_crashes >= ALONE_EARLY || t->crashes >= ALONE_ANY)
		return CRASH_ISOLATION_ALONE;
	if (t->early_crashes > 0 || t->crashes >= PREFERRED_ANY)
		return CRASH_ISOLATION_PREFERRED;
	return CRASH_ISOLATION_NONE;
}

int64_t crash_alone_ms(const struct job_task *task)
{
	return job_task_crashes(task)->early_crashes >= ALONE_EARLY ? ALONE_RELEASED_MS
								    : CRASH_CLEARED_MS;
}
