#include "isolate.h"
#include "advice_request.h"
#include "crash.h"

#define ISOLATE_WAIT_MS	   2000 /* after 3 s without a run a job counts as lost */
#define ISOLATE_POOL_SHARE 8	/* at most 1/n of a pool is kept empty */

bool isolate_is_due(const struct scheduler *s, const struct job_step *step,
		    const struct job_task *t)
{
	int64_t until_ms;

	if (step->spec->gang || crash_isolation(t) != CRASH_ISOLATION_ALONE)
		return false;
	until_ms = job_task_crashes(t)->alone_until_ms;
	return !until_ms || until_ms > s->now_ms;
}

bool isolate_wanted(const struct pass *pass, const struct cell_job *j, const struct job_step *step)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		uint32_t number = step->first_task + i;

		if (pending_step_task_waits(pass, j, number) &&
		    isolate_is_due(pass->s, step, cell_job_peek_task(j, number)))
			return true;
	}
	return false;
}

/* Keeps other steps off the runner for the rest of the pass. */
static void keep_empty(const struct pending_step *ps, struct cell_runner *rn)
{
	resources_add(&rn->reserved, &rn->capacity);
	rn->kept_empty = true;
	ps->pool->kept_empty++;
}

static bool has_lasting_run(const struct cell_runner *rn)
{
	for (guint i = 0; i < rn->runs->len; i++) {
		if (((const struct run *)rn->runs->pdata[i])->spec->lasting)
			return true;
	}
	return false;
}

/* Returns a runner without runs on which the task may start now, NULL if there is none. */
static struct cell_runner *find_empty(const struct pass *pass, const struct pending_step *ps,
				      const struct job_task *t)
{
	for (guint i = 0; i < ps->candidates->len; i++) {
		struct cell_runner *rn = ps->candidates->pdata[i];

		if (rn->runs->len == 0 && !rn->kept_empty &&
		    rn->host != job_task_crashes(t)->crash_host && pending_step_fits(ps, rn) &&
		    pending_step_has_ticket(pass, ps, rn))
			return rn;
	}
	return NULL;
}

/* Returns the approved runner with the fewest runs, which will be empty first. */
static struct cell_runner *find_emptiest(const struct pending_step *ps, const struct job_task *t)
{
	struct cell_runner *best = NULL;

	for (guint i = 0; i < ps->candidates->len; i++) {
		struct cell_runner *rn = ps->candidates->pdata[i];

		if (rn->kept_empty || rn->alone || rn->host == job_task_crashes(t)->crash_host ||
		    !pending_step_is_approved(ps, rn) || has_lasting_run(rn))
			continue;
		if (!best || rn->runs->len < best->runs->len)
			best = rn;
	}
	return best;
}

static bool may_keep_more(const struct pending_step *ps)
{
	return ps->pool->kept_empty < MAX(ps->pool->runners->len / ISOLATE_POOL_SHARE, 1);
}

static void place_alone(struct pass *pass, const struct pending_step *ps, uint32_t task,
			struct cell_runner *rn)
{
	struct run *r = pending_step_place(pass, ps, task, rn);

	r->started_alone = true;
	r->alone = true;
	rn->alone++;
}

void isolate_place(struct pass *pass, const struct pending_step *ps)
{
	uint32_t left = ps->cap_left;
	bool asked = false;

	for (uint32_t i = 0; i < ps->step->spec->count && left; i++) {
		uint32_t number = ps->step->first_task + i;
		const struct job_task *t = cell_job_peek_task(ps->job, number);
		struct cell_runner *rn;

		if (!pending_step_task_waits(pass, ps->job, number) ||
		    !isolate_is_due(pass->s, ps->step, t))
			continue;
		left--;
		if (!t->crashes->alone_until_ms)
			t->crashes->alone_until_ms = pass->s->now_ms + ISOLATE_WAIT_MS;
		rn = find_empty(pass, ps, t);
		if (rn) {
			place_alone(pass, ps, number, rn);
			continue;
		}
		if (ps->advised && !asked)
			advice_request_send(pass, ps, true);
		asked = true;
		rn = may_keep_more(ps) ? find_emptiest(ps, t) : NULL;
		if (rn)
			keep_empty(ps, rn);
	}
}
