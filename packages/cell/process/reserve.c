#include "preempt.h"
#include "job_rank.h"
#include "reserve.h"

#define RESERVING_STEPS_MAX  2	/* steps of a pool that reserve room while they wait */
#define BACKFILL_ESTIMATES   2	/* times its estimate that a task may take */
#define PREEMPTING_STEPS_MAX 6	/* steps of a pool for which runs are stopped in one pass */
#define PREEMPT_SEARCHES_MAX 12 /* per pool and pass; each search visits all runs of the pool */

struct fit {
	struct cell_runner *runner;
	int64_t score; /* lower is tighter */
};

static int by_score(gconstpointer a, gconstpointer b)
{
	const struct fit *x = a;
	const struct fit *y = b;

	return x->score < y->score ? -1 : x->score > y->score;
}

int64_t reserve_backfill_ms(const Cell__Step *spec)
{
	/* The members of a gang use room on several runners until the last one has ended. */
	if (spec->gang || spec->lasting || !spec->estimate_ms)
		return INT64_MAX;
	return (int64_t)spec->estimate_ms * BACKFILL_ESTIMATES;
}

void reserve_for_advice(const struct pending_step *ps, uint32_t waiting)
{
	g_autoptr(GArray) fits = g_array_new(FALSE, FALSE, sizeof(struct fit));

	for (guint i = 0; i < ps->candidates->len; i++) {
		struct fit fit = { .runner = ps->candidates->pdata[i] };

		if (!pending_step_fits(ps, fit.runner))
			continue;
		fit.score = pending_step_score(ps, fit.runner);
		g_array_append_val(fits, fit);
	}
	g_array_sort(fits, by_score);
	for (guint i = 0; i < fits->len && waiting; i++) {
		struct cell_runner *rn = g_array_index(fits, struct fit, i).runner;

		while (waiting && pending_step_fits(ps, rn)) {
			resources_add(&rn->reserved, &ps->need);
			waiting--;
		}
	}
}

/* Time until the run should end by the estimate of its step; INT64_MAX for a lasting task. */
static int64_t run_left_ms(const struct run *r, int64_t now_ms)
{
	int64_t begun_ms = r->confirmed_ms ? r->confirmed_ms : r->planned_ms;

	if (r->stopping)
		return 0;
	return r->spec->lasting ? INT64_MAX : begun_ms + r->spec->estimate_ms - now_ms;
}

static bool ends_soon(const struct run *r, int64_t now_ms)
{
	int64_t left_ms = run_left_ms(r, now_ms);

	return left_ms <= RESERVE_HORIZON_MS && left_ms >= -RESERVE_OVERRUN_MS;
}

/* Tasks of the step that the runner is expected to have room for soon, were nothing reserved. */
static uint32_t expected_places(const struct pass *pass, const struct pending_step *ps,
				const struct cell_runner *rn)
{
	struct resources free = rn->capacity;

	resources_sub(&free, &rn->used);
	for (guint i = 0; i < rn->runs->len; i++) {
		const struct run *r = rn->runs->pdata[i];

		if (ends_soon(r, pass->s->now_ms))
			resources_add(&free, &r->need);
	}
	return MIN(pending_step_places(ps, &free), pending_step_spread_left(ps, rn));
}

static struct resources free_after(const struct cell_runner *rn, int64_t after_ms, int64_t now_ms)
{
	struct resources free = cell_runner_free_capacity(rn);

	for (guint i = 0; i < rn->runs->len; i++) {
		const struct run *r = rn->runs->pdata[i];

		if (run_left_ms(r, now_ms) <= after_ms)
			resources_add(&free, &r->need);
	}
	return free;
}

/*
 * Time until the runs that have to end for one task of the step should have ended, by their
 * estimates.
 */
static int64_t room_wait_ms(const struct pass *pass, const struct pending_step *ps,
			    const struct cell_runner *rn)
{
	int64_t wait_ms = RESERVE_HORIZON_MS;
	struct resources now = cell_runner_free_capacity(rn);

	if (resources_fits(&ps->need, &now))
		return 0;
	for (guint i = 0; i < rn->runs->len; i++) {
		int64_t left_ms = MAX(run_left_ms(rn->runs->pdata[i], pass->s->now_ms), 0);
		struct resources free;

		if (left_ms >= wait_ms)
			continue;
		free = free_after(rn, left_ms, pass->s->now_ms);
		if (resources_fits(&ps->need, &free))
			wait_ms = left_ms;
	}
	return wait_ms;
}

/* Whether members of a gang may be on the runner beside those on runners of this rack. */
static bool is_in_rack(const struct pending_step *ps, const struct cell_runner *rn,
		       const char *rack)
{
	return !ps->step->spec->one_rack || !g_strcmp0(rn->rack, rack);
}

static uint32_t places_in_rack(const struct pass *pass, const struct pending_step *ps,
			       const char *rack, uint32_t count)
{
	uint32_t places = 0;

	for (guint i = 0; i < ps->candidates->len && places < count; i++) {
		const struct cell_runner *rn = ps->candidates->pdata[i];

		if (is_in_rack(ps, rn, rack))
			places += expected_places(pass, ps, rn);
	}
	return places;
}

/* Stores the rack in which there is room for all tasks in *rack; NULL if they may be in any. */
static bool find_prospect(const struct pass *pass, const struct pending_step *ps, uint32_t count,
			  const char **rack)
{
	*rack = NULL;
	if (!ps->step->spec->one_rack)
		return places_in_rack(pass, ps, NULL, count) >= count;
	for (guint i = 0; i < ps->candidates->len; i++) {
		if (!pending_step_is_new_rack(ps, i))
			continue;
		*rack = ((const struct cell_runner *)ps->candidates->pdata[i])->rack;
		if (places_in_rack(pass, ps, *rack, count) >= count)
			return true;
	}
	return false;
}

bool reserve_has_prospect(const struct pass *pass, const struct pending_step *ps, uint32_t count)
{
	const char *rack;

	return find_prospect(pass, ps, count, &rack);
}

/* Reserves room that is still occupied: shorter tasks may use the rest of it meanwhile. */
static void reserve_awaited(const struct pass *pass, const struct pending_step *ps,
			    struct cell_runner *rn)
{
	int64_t wait_ms = room_wait_ms(pass, ps, rn);
	bool first = !rn->awaited.cpu_milli && !rn->awaited.mem_bytes && !rn->awaited.accel;

	resources_add(&rn->reserved, &ps->need);
	resources_add(&rn->awaited, &ps->need);
	rn->awaited_ms = first ? wait_ms : MIN(rn->awaited_ms, wait_ms);
}

/* Whether room may be reserved on one more runner. */
static bool may_reserve(const struct pending_step *ps)
{
	uint32_t max = ps->pool->runners->len * RESERVE_POOL_MILLI / 1000;

	return ps->step->spec->gang || ps->pool->reserved_runners < MAX(max, 1);
}

/* Reserves room for one more task on each of the runners in turn, the freest first. */
static uint32_t reserve_one_each(const struct pass *pass, const struct pending_step *ps,
				 const GPtrArray *runners, uint32_t waiting)
{
	uint32_t n = 0;

	for (guint i = 0; i < runners->len && n < waiting && may_reserve(ps); i++) {
		if (!expected_places(pass, ps, runners->pdata[i]))
			continue;
		ps->pool->reserved_runners++;
		reserve_awaited(pass, ps, runners->pdata[i]);
		n++;
	}
	return n;
}

/* Reserves room for further members of a gang on runners that have room for one. */
static uint32_t reserve_more(const struct pass *pass, const struct pending_step *ps,
			     const GPtrArray *runners, uint32_t waiting)
{
	uint32_t n = 0;

	for (guint i = 0; i < runners->len && n < waiting; i++) {
		uint32_t places = expected_places(pass, ps, runners->pdata[i]);

		for (uint32_t k = 1; k < places && n < waiting; k++, n++)
			reserve_awaited(pass, ps, runners->pdata[i]);
	}
	return n;
}

bool reserve_on_freest(const struct pass *pass, const struct pending_step *ps, uint32_t waiting)
{
	g_autoptr(GPtrArray) approved = g_ptr_array_new();
	g_autoptr(GPtrArray) others = g_ptr_array_new();
	const char *rack;

	if (ps->pool->reserving_steps >= RESERVING_STEPS_MAX ||
	    !find_prospect(pass, ps, pending_step_tasks_at_once(ps), &rack))
		return false;
	ps->pool->reserving_steps++;
	for (guint i = 0; i < ps->candidates->len; i++) {
		struct cell_runner *rn = ps->candidates->pdata[i];

		if (is_in_rack(ps, rn, rack))
			g_ptr_array_add(pending_step_is_approved(ps, rn) ? approved : others, rn);
	}
	g_ptr_array_sort(approved, pending_step_by_free);
	g_ptr_array_sort(others, pending_step_by_free);
	/* The advisor may deny the others. */
	waiting -= reserve_one_each(pass, ps, approved, waiting);
	waiting -= reserve_one_each(pass, ps, others, waiting);
	if (!ps->step->spec->gang)
		return true;
	waiting -= reserve_more(pass, ps, approved, waiting);
	reserve_more(pass, ps, others, waiting);
	return true;
}

/* Candidates that the advisor has approved, with or without room. */
static GPtrArray *approved(const struct pending_step *ps)
{
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < ps->candidates->len; i++) {
		struct cell_runner *rn = ps->candidates->pdata[i];

		if (pending_step_is_approved(ps, rn))
			g_ptr_array_add(out, rn);
	}
	return out;
}

uint32_t reserve_on_approved(const struct pending_step *ps, uint32_t count)
{
	uint32_t n = 0;

	for (guint i = 0; i < ps->candidates->len && n < count; i++) {
		struct cell_runner *rn = ps->candidates->pdata[i];

		if (advice_verdict(ps->step->advice, rn->handle) == VERDICT_APPROVED)
			n += pending_step_reserve(ps, rn, count - n);
	}
	return n;
}

bool reserve_by_preemption(struct pass *pass, const struct pending_step *ps, uint32_t count)
{
	const Cell__Step *spec = ps->step->spec;
	g_autoptr(GPtrArray) victims = g_ptr_array_new();
	g_autofree struct cell_runner **out = g_new0(struct cell_runner *, count);
	g_autoptr(GPtrArray) candidates = NULL;
	struct preempt_request req = { .need = ps->need, .count = count };

	if (spec->one_rack || spec->spread_max ||
	    ps->pool->preempting_steps >= PREEMPTING_STEPS_MAX)
		return false;
	if (ps->pool->preempt_searches++ >= PREEMPT_SEARCHES_MAX)
		return false;
	candidates = approved(ps);
	req.candidates = candidates;
	req.priority = ps->job->spec->priority;
	req.may_stop = job_slack_ms(ps->job, pass->s->wall_ms) >= 0;
	req.wall_ms = pass->s->wall_ms;
	if (!preempt_plan(&req, out, victims))
		return false;
	ps->pool->preempting_steps++;
	for (guint i = 0; i < victims->len; i++) {
		scheduler_report_run(pass->s, DECISION_PREEMPTED, victims->pdata[i]);
		scheduler_stop_run(pass->s, victims->pdata[i]);
	}
	for (uint32_t i = 0; i < count; i++)
		resources_add(&out[i]->reserved, &ps->need);
	return true;
}
