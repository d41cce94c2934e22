#include <string.h>

#include "job_rank.h"
#include "advice_request.h"
#include "crash.h"
#include "fair_order.h"
#include "gang_placement.h"
#include "isolate.h"
#include "overdue_steps.h"
#include "hold.h"
#include "reserve.h"
#include "headroom.h"
#include "step_room.h"
#include "unplaced.h"

#define STARTUP_WAIT_MS 100 /* for a new scheduler's first polls: 24 ms round trip, slow VMs */
#define LARGE_FRACTION	3   /* a large task needs more than this fraction (1/n) of a runner */

static int by_rank(gconstpointer a, gconstpointer b)
{
	const struct cell_job *x = *(struct cell_job *const *)a;
	const struct cell_job *y = *(struct cell_job *const *)b;
	int order = job_rank_compare(x->rank, y->rank);

	return order ? order : strcmp(x->id, y->id);
}

/* Ranks change with time, so each pass sorts again. */
static void sort_open_jobs(const struct pass *pass)
{
	struct scheduler *s = pass->s;
	g_autofree struct job_rank *rank = g_new(struct job_rank, s->open_jobs->len + 1);

	for (guint i = 0; i < s->open_jobs->len; i++) {
		struct cell_job *j = s->open_jobs->pdata[i];

		rank[i] = job_rank_at(j, s->wall_ms);
		j->rank = &rank[i];
	}
	g_ptr_array_sort(s->open_jobs, by_rank);
	fair_order_jobs(pass);
	for (guint i = 0; i < s->open_jobs->len; i++)
		((struct cell_job *)s->open_jobs->pdata[i])->rank = NULL;
}

static void pool_free(gpointer data)
{
	struct pass_pool *pool = data;

	g_ptr_array_unref(pool->runners);
	no_room_destroy(pool->no_room);
	g_free(pool);
}

/* A job's own record, with its team, may be read after the runs of an earlier scheduler are listed.
 */
static bool has_runs_of_unknown_team(const struct scheduler *s, const struct cell_runner *rn)
{
	return rn->has_unread_runs && s->now_ms < s->inherited_until_ms;
}

static void collect_pools(struct pass *pass)
{
	GHashTableIter it;
	gpointer value;

	pass->pool = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	g_hash_table_iter_init(&it, pass->s->runners);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cell_runner *rn = value;
		struct pass_pool *pool;

		pass->use_unknown |= has_runs_of_unknown_team(pass->s, rn);
		rn->reserved = (struct resources){ 0 };
		rn->awaited = (struct resources){ 0 };
		rn->awaited_ms = 0;
		rn->kept_empty = false;
		if (!rn->service || !scheduler_can_use_runner(pass->s, rn))
			continue;
		pool = g_hash_table_lookup(pass->pool, rn->service);
		if (!pool) {
			pool = g_new0(struct pass_pool, 1);
			pool->service = rn->service;
			pool->runners = g_ptr_array_new();
			pool->no_room = no_room_create();
			g_hash_table_insert(pass->pool, rn->service, pool);
		}
		g_ptr_array_add(pool->runners, rn);
		resources_add(&pool->capacity, &rn->capacity);
		resources_add(&pool->used, &rn->used);
	}
	g_hash_table_iter_init(&it, pass->pool);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct pass_pool *)value)->yields = hold_begin_pass(pass->s, value);
}

/*
 * Small tasks take each part of a runner as soon as it is free, so that a large task of higher rank
 * would starve.
 */
static void make_room(struct pass *pass, const struct pending_step *ps, uint32_t waiting)
{
	uint32_t made = 0;

	while (made < waiting && reserve_by_preemption(pass, ps, 1))
		made++;
	if ((made == waiting || reserve_on_freest(pass, ps, waiting - made)) && ps->advised)
		advice_request_renew(pass, ps);
}

/* Whether a runner has room for the task, be it with a valid ticket or without. */
static bool is_possible(const struct pass *pass, const struct pending_step *ps,
			const struct job_task *task)
{
	uint32_t avoid = pending_step_avoided_runner(pass, ps, task);

	for (guint i = 0; i < ps->candidates->len; i++) {
		const struct cell_runner *rn = ps->candidates->pdata[i];

		pass->s->stats.examined++;
		if (rn->handle + 1 != avoid && pending_step_fits(ps, rn))
			return true;
	}
	return false;
}

static struct cell_runner *find_room(const struct pass *pass, const struct pending_step *ps,
				     const struct step_room *room, const struct job_task *task)
{
	uint32_t avoid = pending_step_avoided_runner(pass, ps, task);

	if (crash_isolation(task) != CRASH_ISOLATION_NONE)
		return step_room_emptiest(room, avoid, job_task_crashes(task)->crash_host);
	return step_room_best(room, avoid);
}

static void count_held_back(struct pass *pass, const struct pending_step *ps, uint32_t tasks)
{
	pass->s->stats.tasks_held_back += tasks;
	team_use_count_held_back(pass->s->team_use, ps->job->spec->team, tasks);
}

static void place_tasks(struct pass *pass, const struct pending_step *ps)
{
	struct step_room *room = step_room_create(pass, ps, NULL, true);
	const Cell__Step *spec = ps->step->spec;
	uint32_t left = ps->cap_left;
	uint32_t waiting = 0;
	uint32_t held_back = 0;
	bool unanswered = advice_request_is_unanswered(pass, ps);
	bool possible = false;
	bool first = true; /* one check of `possible` holds for all tasks that avoid no runner */

	for (uint32_t i = 0; i < spec->count; i++) {
		uint32_t number = ps->step->first_task + i;
		const struct job_task *task = cell_job_peek_task(ps->job, number);
		bool avoids = task->avoid_until_ms > pass->s->now_ms;
		struct cell_runner *rn;

		if (!pending_step_task_waits(pass, ps->job, number) ||
		    isolate_is_due(pass->s, ps->step, task))
			continue;
		if (left == 0) {
			held_back++;
			continue;
		}
		left--;
		rn = find_room(pass, ps, room, task);
		if (rn) {
			pending_step_place(pass, ps, number, rn);
			step_room_taken(room, rn);
			continue;
		}
		waiting++;
		if (ps->advised && !possible && (first || avoids))
			possible = is_possible(pass, ps, task);
		first = false;
	}
	step_room_destroy(room);
	pass->s->stats.waiting_tasks += waiting;
	if (waiting && !possible)
		unplaced_note(pass, ps);
	count_held_back(pass, ps, held_back);
	/* A task that can't start soon is no reason to keep the team's other tasks waiting. */
	if ((held_back || (waiting && !possible && ps->large)) &&
	    (!waiting || (!unanswered && reserve_has_prospect(pass, ps, 1))))
		pending_step_hold_cap(pass, ps);
	if (!waiting)
		return;
	if (ps->advised)
		advice_request_send(pass, ps, possible);
	if (unanswered)
		return;
	if (ps->advised && ps->step->advice->in_flight)
		reserve_for_advice(ps, waiting);
	else if (!possible && ps->large)
		make_room(pass, ps, waiting);
}

/* Whether a task needs more than 1 / LARGE_FRACTION of most of its candidates. */
static bool is_large(const struct pending_step *ps)
{
	uint32_t large = 0;

	for (guint i = 0; i < ps->candidates->len; i++) {
		const struct cell_runner *rn = ps->candidates->pdata[i];

		large += ps->need.cpu_milli * LARGE_FRACTION > rn->capacity.cpu_milli ||
			 ps->need.mem_bytes * LARGE_FRACTION > rn->capacity.mem_bytes ||
			 ps->need.accel * LARGE_FRACTION > rn->capacity.accel;
	}
	return large * 2 > ps->candidates->len;
}

typedef void (*place_fn)(struct pass *pass, const struct pending_step *ps);

/* No runner could run the step, which says nothing of the room for others: they go on. */
static void pass_over(struct pass *pass, const struct pending_step *ps)
{
	const struct job_step *step = ps->step;
	uint32_t left = step->spec->count - step->done - step->live_runs;
	uint32_t waiting = MIN(left, ps->cap_left);

	pass->s->stats.waiting_tasks += waiting;
	count_held_back(pass, ps, left - waiting);
	if (ps->advised)
		advice_request_send(pass, ps, false);
}

static void place_any(struct pass *pass, const struct pending_step *ps)
{
	if (ps->step->spec->gang)
		gang_placement_run(pass, ps);
	else if (ps->unrunnable)
		pass_over(pass, ps);
	else
		place_tasks(pass, ps);
}

/* Tasks of the step that its team's cap allows now; of a gang all or none. */
static uint32_t cap_left(const struct pass *pass, const struct pending_step *ps)
{
	const Cell__Step *spec = ps->step->spec;
	const char *team = ps->job->spec->team;
	struct resources need = team_use_need(spec);
	struct team_limit limit;

	if (!scheduler_team_limit(pass->s, ps->job, &limit))
		return UINT32_MAX;
	if (pass->use_unknown)
		return 0;
	if (!spec->gang)
		return team_use_room(pass->s->team_use, team, &limit, &need, spec->count);
	return team_use_allows_gang(pass->s->team_use, team, &limit, &need, spec->count)
		       ? spec->count
		       : 0;
}

/* Whether a step was found unrunnable that needs no more than this one. */
static bool is_known_unrunnable(const struct pending_step *ps)
{
	const Cell__Step *known = ps->pool->unrunnable;
	struct resources need;

	if (!known || (*known->label && !g_str_equal(known->label, ps->step->spec->label)))
		return false;
	need = scheduler_step_resources(known);
	return resources_fits(&need, &ps->need);
}

static void collect_candidates(const struct pass *pass, struct pending_step *ps)
{
	ps->unrunnable = true;
	/* Many such steps may wait, and no pass ends before them. */
	if (is_known_unrunnable(ps))
		return;
	pass->s->stats.examined += ps->pool->runners->len;
	for (guint i = 0; i < ps->pool->runners->len; i++) {
		struct cell_runner *rn = ps->pool->runners->pdata[i];

		if (!pending_step_suits(ps, rn))
			continue;
		ps->unrunnable = false;
		if (!pending_step_is_denied(ps, rn))
			g_ptr_array_add(ps->candidates, rn);
	}
	if (ps->unrunnable)
		ps->pool->unrunnable = ps->step->spec;
}

/* Whether the step could start soon if its team ran nothing else. */
static bool could_run(const struct pass *pass, const struct pending_step *ps)
{
	const Cell__Step *spec = ps->step->spec;
	struct resources need = team_use_need(spec);
	struct team_limit limit;

	if (!spec->gang)
		return reserve_has_prospect(pass, ps, 1);
	return reserve_has_prospect(pass, ps, spec->count) &&
	       scheduler_team_limit(pass->s, ps->job, &limit) &&
	       team_use_can_hold(&limit, &need, spec->count);
}

/* A step that has to wait until its team uses less. */
static void wait_for_cap(struct pass *pass, struct pending_step *ps)
{
	const struct job_step *step = ps->step;
	struct resources need = team_use_need(step->spec);
	g_autoptr(GPtrArray) candidates = g_ptr_array_new();

	/* A gang starts when all of its earlier runs have ended. */
	if (step->spec->gang && step->live_runs)
		return;
	count_held_back(pass, ps, step->spec->count - step->done - step->live_runs);
	if (team_use_holds(pass->s->team_use, ps->job->spec->team, &need,
			   pending_step_tasks_at_once(ps)))
		return;
	ps->candidates = candidates;
	collect_candidates(pass, ps);
	if (could_run(pass, ps))
		pending_step_hold_cap(pass, ps);
}

static void place_on_candidates(struct pass *pass, struct pending_step *ps, place_fn fn)
{
	g_autoptr(GPtrArray) candidates = g_ptr_array_new();

	ps->candidates = candidates;
	ps->headroom_milli = headroom_milli(ps->job, ps->step, pass->s->queues, pass->s->wall_ms);
	collect_candidates(pass, ps);
	ps->large = is_large(ps);
	fn(pass, ps);
}

/* Asks for advice only. Its tasks start later, in the order of their ranks. */
static void place_overdue(struct pass *pass, const struct pending_step *ps)
{
	const Cell__Step *spec = ps->step->spec;
	bool possible = spec->gang && gang_placement_has_room(pass, ps);

	for (uint32_t i = 0; i < spec->count && !spec->gang && !possible; i++) {
		uint32_t number = ps->step->first_task + i;

		possible = pending_step_task_waits(pass, ps->job, number) &&
			   is_possible(pass, ps, cell_job_peek_task(ps->job, number));
	}
	advice_request_send_overdue(pass, ps, possible);
}

/* Whether nothing can be done for the step in this pass. */
static bool is_skipped(const struct pass *pass, const struct pending_step *ps)
{
	const struct advice *a = ps->step->advice;

	/* A step that has got advice out of its turn has room. */
	if (!(a && a->request.overdue) && unplaced_is_known(pass, ps)) {
		if (ps->advised)
			advice_request_defer(pass->s, ps);
		return true;
	}
	if (!ps->advised || !advice_request_is_blocked(pass->s, ps))
		return false;
	pass->s->stats.waiting_tasks += ps->step->spec->count;
	advice_request_defer(pass->s, ps);
	return true;
}

static void place_step(struct pass *pass, struct cell_job *j, struct job_step *step, place_fn fn)
{
	const struct queue *q = queues_find(pass->s->queues, j->spec->queue);
	struct pending_step ps = { .job = j,
				   .step = step,
				   .queue = q,
				   .now_ms = pass->s->now_ms,
				   .backfill_ms = reserve_backfill_ms(step->spec) };

	ps.pool = g_hash_table_lookup(pass->pool, q ? q->service : j->spec->service);
	if (!ps.pool)
		return;
	ps.advised = q ? q->advised : j->spec->advised;
	ps.need = scheduler_step_resources(step->spec);
	ps.cap_left = cap_left(pass, &ps);
	if (ps.cap_left == 0) {
		if (fn == place_any)
			wait_for_cap(pass, &ps);
		return;
	}
	if (fn != place_overdue && is_skipped(pass, &ps))
		return;
	place_on_candidates(pass, &ps, fn);
}

/* Before all others, which would take each runner as soon as it is empty. */
static void place_isolated(struct pass *pass)
{
	for (guint i = 0; i < pass->s->open_jobs->len; i++) {
		struct cell_job *j = pass->s->open_jobs->pdata[i];

		if (!j->suspect || cell_job_has_ended(j))
			continue;
		for (uint32_t k = 0; k < j->n_step; k++)
			if (pending_step_is_waiting(pass, j, &j->step[k]) &&
			    isolate_wanted(pass, j, &j->step[k]))
				place_step(pass, j, &j->step[k], isolate_place);
	}
}

static void place_job(struct pass *pass, struct cell_job *j)
{
	if (cell_job_has_ended(j))
		return;
	for (uint32_t i = 0; i < j->n_step; i++)
		if (pending_step_is_waiting(pass, j, &j->step[i]))
			place_step(pass, j, &j->step[i], place_any);
}

/* Last, since only room that is left for a step makes its advice of use. */
static void serve_overdue(struct pass *pass)
{
	bool any_long;
	g_autoptr(GArray) overdue = overdue_steps_find(pass, &any_long);

	for (guint i = 0; i < overdue->len; i++) {
		const struct overdue_step *o = &g_array_index(overdue, struct overdue_step, i);

		place_step(pass, o->job, o->step, place_overdue);
	}
	advisor_share_reserve(pass->s->advisor, any_long);
}

/*
 * True once all runners have answered the first poll or missed it. Advice requested for only a few
 * of the runners would have to be requested again.
 */
static bool startup_done(const struct scheduler *s)
{
	GHashTableIter it;
	gpointer value;

	if (s->now_ms - s->created_ms >= STARTUP_WAIT_MS)
		return true;
	g_hash_table_iter_init(&it, s->runners);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cell_runner *rn = value;

		if (rn->address && !rn->contacted && rn->misses == 0)
			return false;
	}
	return true;
}

void placement_run(struct scheduler *s)
{
	struct pass pass = { .s = s };

	if (!s->queues || !startup_done(s))
		return;
	collect_pools(&pass);
	sort_open_jobs(&pass);
	s->stats.waiting_tasks = 0;
	s->stats.steps_without_room = 0;
	s->stats.steps_awaiting_advice = 0;
	s->stats.steps_advice_deferred = 0;
	s->stats.gangs_waiting = 0;
	s->stats.tasks_held_back = 0;
	team_use_begin_pass(s->team_use);
	place_isolated(&pass);
	for (guint i = 0; i < s->open_jobs->len; i++)
		place_job(&pass, s->open_jobs->pdata[i]);
	serve_overdue(&pass);
	g_hash_table_unref(pass.pool);
}
