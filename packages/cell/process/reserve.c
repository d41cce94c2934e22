#include "preempt.h"
#include "hold.h"
#include "job_rank.h"
#include "reserve.h"

#define RESERVING_STEPS_MAX  2	 /* steps of a pool that reserve room while they wait */
#define BACKFILL_ESTIMATES   2	 /* times its estimate that a task may take */
#define WAIT_STEP_MS	     100 /* to which the wait of a gang is known */
#define PREEMPTING_STEPS_MAX 6	 /* steps of a pool for which runs are stopped in one pass */
#define PREEMPT_SEARCHES_MAX 12	 /* per pool and pass; each search visits all runs of the pool */

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

/*
 * Time until the run should end by the estimate of its step, less than 0 if it should have ended;
 * INT64_MAX for a lasting task.
 */
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

/*
 * A run that has exceeded its estimate is expected to go on for as long again. If all estimates are
 * too short, runs like this one must not follow each other in its room: so at most its estimate.
 */
static int64_t expected_left_ms(const struct run *r, int64_t now_ms)
{
	int64_t left_ms = run_left_ms(r, now_ms);

	if (left_ms >= 0 || r->stopping)
		return left_ms;
	return MIN(MIN(-left_ms, (int64_t)r->spec->estimate_ms), RESERVE_HORIZON_MS);
}

static struct resources free_after(const struct cell_runner *rn, const struct resources *now,
				   int64_t after_ms, int64_t now_ms)
{
	struct resources free = *now;

	for (guint i = 0; i < rn->runs->len; i++) {
		const struct run *r = rn->runs->pdata[i];

		if (expected_left_ms(r, now_ms) <= after_ms)
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
		int64_t left_ms = expected_left_ms(rn->runs->pdata[i], pass->s->now_ms);
		struct resources free;

		if (left_ms >= wait_ms)
			continue;
		free = free_after(rn, &now, left_ms, pass->s->now_ms);
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

/* Whether the runners are expected to have room for `count` tasks of the step after after_ms. */
static bool have_room_after(const struct pass *pass, const struct pending_step *ps,
			    const char *rack, uint32_t count, int64_t after_ms)
{
	uint32_t places = 0;

	for (guint i = 0; i < ps->candidates->len && places < count; i++) {
		const struct cell_runner *rn = ps->candidates->pdata[i];
		struct resources now = rn->capacity;
		struct resources free;

		if (rack && !is_in_rack(ps, rn, rack))
			continue;
		resources_sub(&now, &rn->used);
		free = free_after(rn, &now, after_ms, pass->s->now_ms);
		places += MIN(pending_step_places(ps, &free), pending_step_spread_left(ps, rn));
	}
	return places >= count;
}

/* Time until there should be room for all members of a gang. */
static int64_t gang_wait_ms(const struct pass *pass, const struct pending_step *ps,
			    const char *rack)
{
	int64_t short_ms = -1;
	int64_t wait_ms = RESERVE_HORIZON_MS;

	while (wait_ms - short_ms > WAIT_STEP_MS) {
		int64_t middle_ms = (short_ms + wait_ms) / 2;

		if (have_room_after(pass, ps, rack, ps->step->spec->count, middle_ms))
			wait_ms = middle_ms;
		else
			short_ms = middle_ms;
	}
	return short_ms < 0 ? 0 : short_ms;
}

/* Keeps room from later steps, but for tasks that end before it is used. */
static void reserve_until(struct cell_runner *rn, const struct resources *need, int64_t wait_ms)
{
	bool first = !rn->awaited.cpu_milli && !rn->awaited.mem_bytes && !rn->awaited.accel;

	resources_add(&rn->reserved, need);
	resources_add(&rn->awaited, need);
	rn->awaited_ms = first ? wait_ms : MIN(rn->awaited_ms, wait_ms);
}

/* Whether a step may reserve room on one more runner if steps have it on `runners` of the pool. */
static bool may_reserve(const struct pass *pass, const struct pending_step *ps, uint32_t runners)
{
	if (runners < ps->pool->runners->len * RESERVE_POOL_MILLI / 1000)
		return true;
	if (ps->pool->yields || (!ps->step->spec->gang && runners > 0))
		return false;
	hold_note(pass->s, ps->pool);
	return true;
}

/* Runners on which a step reserves room. */
struct reservation {
	const struct pass *pass;
	const struct pending_step *step;
	GPtrArray *runners; /* that have got a task, of each list the freest first */
	int64_t wait_ms;    /* of a gang */
	uint32_t waiting;   /* tasks without reserved room */
};

static void reserve_one(struct reservation *r, struct cell_runner *rn)
{
	const struct pending_step *ps = r->step;

	reserve_until(rn, &ps->need,
		      ps->step->spec->gang ? r->wait_ms : room_wait_ms(r->pass, ps, rn));
	r->waiting--;
}

/* Reserves room for one more task on each of the runners in turn, the freest first. */
static void reserve_one_each(struct reservation *r, GPtrArray *runners)
{
	g_ptr_array_sort(runners, pending_step_by_free);
	for (guint i = 0; i < runners->len && r->waiting; i++) {
		if (!expected_places(r->pass, r->step, runners->pdata[i]))
			continue;
		if (!may_reserve(r->pass, r->step, r->step->pool->reserved_runners))
			break;
		r->step->pool->reserved_runners++;
		reserve_one(r, runners->pdata[i]);
		g_ptr_array_add(r->runners, runners->pdata[i]);
	}
}

/* Reserves room for further members of a gang on runners that have room for one. */
static void reserve_more(struct reservation *r)
{
	for (guint i = 0; i < r->runners->len && r->waiting; i++) {
		uint32_t places = expected_places(r->pass, r->step, r->runners->pdata[i]);

		for (uint32_t k = 1; k < places && r->waiting; k++)
			reserve_one(r, r->runners->pdata[i]);
	}
}

bool reserve_on_freest(const struct pass *pass, const struct pending_step *ps, uint32_t waiting)
{
	g_autoptr(GPtrArray) approved = g_ptr_array_new();
	g_autoptr(GPtrArray) others = g_ptr_array_new();
	g_autoptr(GPtrArray) runners = g_ptr_array_new();
	struct reservation r = { .pass = pass, .step = ps, .runners = runners, .waiting = waiting };
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
	if (ps->step->spec->gang)
		r.wait_ms = gang_wait_ms(pass, ps, rack);
	/* The advisor may deny the others. */
	reserve_one_each(&r, approved);
	reserve_one_each(&r, others);
	if (ps->step->spec->gang)
		reserve_more(&r);
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

uint32_t reserve_on_approved(const struct pass *pass, const struct pending_step *ps)
{
	int64_t wait_ms = gang_wait_ms(pass, ps, NULL);
	uint32_t count = ps->step->spec->count;
	uint32_t runners = ps->pool->yields ? ps->pool->reserved_runners : 0;
	uint32_t n = 0;

	for (guint i = 0; i < ps->candidates->len && n < count; i++) {
		struct cell_runner *rn = ps->candidates->pdata[i];
		uint32_t left = pending_step_spread_left(ps, rn);

		if (advice_verdict(ps->step->advice, rn->handle) != VERDICT_APPROVED ||
		    !pending_step_fits(ps, rn))
			continue;
		if (!may_reserve(pass, ps, runners))
			break;
		runners++;
		for (; n < count && left && pending_step_has_room(ps, rn); n++, left--)
			reserve_until(rn, &ps->need, wait_ms);
	}
	if (ps->pool->yields)
		ps->pool->reserved_runners = runners;
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
