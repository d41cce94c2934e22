#include "pending_step.h"
#include "headroom.h"
#include "interference.h"

#define SCORE_INTERFERENCE 2000000
#define SCORE_OTHER_RACK   1000000 /* more than any difference in fit */

static uint32_t tasks_on_runner(const struct cell_runner *rn, const struct pending_step *ps)
{
	uint32_t n = 0;

	for (guint i = 0; i < rn->runs->len; i++) {
		const struct run *r = rn->runs->pdata[i];

		if (r->job == ps->job && r->task >= ps->step->first_task &&
		    r->task < ps->step->first_task + ps->step->spec->count)
			n++;
	}
	return n;
}

bool pending_step_suits(const struct pending_step *ps, const struct cell_runner *rn)
{
	const Cell__Step *spec = ps->step->spec;

	return resources_fits(&ps->need, &rn->capacity) &&
	       (!*spec->label || cell_runner_has_label(rn, spec->label));
}

bool pending_step_is_denied(const struct pending_step *ps, const struct cell_runner *rn)
{
	return ps->advised && advice_verdict(ps->step->advice, rn->handle) == VERDICT_DENIED;
}

uint32_t pending_step_spread_left(const struct pending_step *ps, const struct cell_runner *rn)
{
	uint32_t max = ps->step->spec->spread_max;
	uint32_t used = max ? tasks_on_runner(rn, ps) : 0;

	return max ? max - MIN(max, used) : UINT32_MAX;
}

static inline bool has_room(const struct pending_step *ps, const struct cell_runner *rn)
{
	struct resources free = cell_runner_free_capacity(rn);

	/* Work that ends before the room is complete doesn't delay those that wait for it. */
	if (ps->backfill_ms <= rn->awaited_ms)
		resources_add(&free, &rn->awaited);
	return !rn->alone && headroom_fits(rn, &free, &ps->need, ps->headroom_milli) &&
	       !interference_forbids(rn, ps->step->spec, ps->now_ms);
}

bool pending_step_has_room(const struct pending_step *ps, const struct cell_runner *rn)
{
	return has_room(ps, rn);
}

bool pending_step_fits(const struct pending_step *ps, const struct cell_runner *rn)
{
	return has_room(ps, rn) && pending_step_spread_left(ps, rn) > 0;
}

uint32_t pending_step_places(const struct pending_step *ps, const struct resources *room)
{
	int64_t places = ps->step->spec->count;

	if (ps->need.cpu_milli)
		places = MIN(places, room->cpu_milli / ps->need.cpu_milli);
	if (ps->need.mem_bytes)
		places = MIN(places, room->mem_bytes / ps->need.mem_bytes);
	if (ps->need.accel)
		places = MIN(places, room->accel / ps->need.accel);
	return (uint32_t)MAX(places, 0);
}

uint32_t pending_step_reserve(const struct pending_step *ps, struct cell_runner *rn, uint32_t max)
{
	uint32_t n = 0;

	max = MIN(max, pending_step_spread_left(ps, rn));
	for (; n < max && pending_step_fits(ps, rn); n++)
		resources_add(&rn->reserved, &ps->need);
	return n;
}

int64_t pending_step_score(const struct pending_step *ps, const struct cell_runner *rn)
{
	struct resources free = cell_runner_free_capacity(rn);
	int64_t score = 0;

	if (interference_is_likely(rn, ps->step->spec))
		score += SCORE_INTERFERENCE;
	if (*ps->step->spec->rack && g_strcmp0(rn->rack, ps->step->spec->rack) != 0)
		score += SCORE_OTHER_RACK;
	score += (free.accel - ps->need.accel) * 10000;
	score += (free.cpu_milli - ps->need.cpu_milli) * 1000 / MAX(rn->capacity.cpu_milli, 1);
	return score;
}

bool pending_step_is_approved(const struct pending_step *ps, const struct cell_runner *rn)
{
	return !ps->advised || advice_verdict(ps->step->advice, rn->handle) == VERDICT_APPROVED;
}

bool pending_step_has_ticket(const struct pass *pass, const struct pending_step *ps,
			     const struct cell_runner *rn)
{
	return !ps->advised ||
	       advice_ticket(ps->step->advice, rn->handle, pass->s->now_ms + ORDER_MARGIN_MS);
}

bool pending_step_is_waiting(const struct pass *pass, const struct cell_job *j,
			     const struct job_step *step)
{
	return step->done + step->live_runs < step->spec->count &&
	       cell_job_step_ready(j, step, pass->s->wall_ms);
}

bool pending_step_task_waits(const struct pass *pass, const struct cell_job *j, uint32_t task)
{
	const struct job_task *t = cell_job_peek_task(j, task);

	return !t->live_run && t->not_before_ms <= pass->s->now_ms &&
	       !cell_job_task_is_done(j, task);
}

struct run *pending_step_place(struct pass *pass, const struct pending_step *ps, uint32_t task,
			       struct cell_runner *rn)
{
	const char *ticket =
		ps->advised ? advice_ticket(ps->step->advice, rn->handle, pass->s->now_ms) : NULL;
	struct run *r = scheduler_plan_run(pass->s, ps->job, task, rn, ticket);

	ps->pool->unplaced_in_row = 0;
	/* The wait is for a run: a later one of the step must not count from before this one. */
	if (ps->step->advice)
		ps->step->advice->waiting_since_ms = 0;
	if (ticket)
		r->ticket_until_ms = advice_valid_until_ms(ps->step->advice, rn->handle);
	return r;
}

int pending_step_by_free(gconstpointer a, gconstpointer b)
{
	struct resources x = cell_runner_free_capacity(*(struct cell_runner *const *)a);
	struct resources y = cell_runner_free_capacity(*(struct cell_runner *const *)b);

	if (x.accel != y.accel)
		return x.accel > y.accel ? -1 : 1;
	return x.cpu_milli > y.cpu_milli ? -1 : x.cpu_milli < y.cpu_milli;
}

uint32_t pending_step_avoided_runner(const struct pass *pass, const struct pending_step *ps,
				     const struct job_task *task)
{
	if (task->avoid_until_ms <= pass->s->now_ms)
		return 0;
	if (!ps->advised || task->avoid_until_ms - pass->s->now_ms > AVOID_MS - AVOID_ONLY_MS)
		return task->avoid_runner;
	for (guint i = 0; i < ps->candidates->len; i++)
		if (((const struct cell_runner *)ps->candidates->pdata[i])->handle + 1 !=
		    task->avoid_runner)
			return task->avoid_runner;
	return 0;
}

uint32_t pending_step_tasks_at_once(const struct pending_step *ps)
{
	return ps->step->spec->gang ? ps->step->spec->count : 1;
}

bool pending_step_is_new_rack(const struct pending_step *ps, guint i)
{
	const struct cell_runner *rn = ps->candidates->pdata[i];

	for (guint k = 0; rn->rack && k < i; k++)
		if (!g_strcmp0(((const struct cell_runner *)ps->candidates->pdata[k])->rack,
			       rn->rack))
			return false;
	return rn->rack;
}

void pending_step_hold_cap(const struct pass *pass, const struct pending_step *ps)
{
	struct resources need = team_use_need(ps->step->spec);

	team_use_hold(pass->s->team_use, ps->job->spec->team, &need,
		      pending_step_tasks_at_once(ps));
}
