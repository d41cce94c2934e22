#include <string.h>

#include "order.h"
#include "question.h"
#include "reserve.h"
#include "yield.h"

#define SETTLE_MS    100 /* of a new scheduler: 24 ms to its runners and back, and slow VMs */
#define BARREN_STEPS 48	 /* in a row without room; of those after them few would find any */
#define LARGE_PART   3	 /* a large task takes more than one of so many parts of a runner */

static int by_order(gconstpointer a, gconstpointer b)
{
	const struct cell_job *j = *(struct cell_job *const *)a;
	const struct cell_job *q = *(struct cell_job *const *)b;
	int order = order_compare(j->rank, q->rank);

	return order ? order : strcmp(j->id, q->id);
}

/* Ranks change with time, so each pass sorts anew. */
static void sort_open(struct scheduler *s)
{
	g_autofree struct order_rank *rank = g_new(struct order_rank, s->open->len + 1);

	for (guint i = 0; i < s->open->len; i++) {
		struct cell_job *j = s->open->pdata[i];

		rank[i] = order_rank(j, s->wall_ms);
		j->rank = &rank[i];
	}
	g_ptr_array_sort(s->open, by_order);
	for (guint i = 0; i < s->open->len; i++)
		((struct cell_job *)s->open->pdata[i])->rank = NULL;
}

static void pool_free(gpointer data)
{
	struct pass_pool *pool = data;

	g_ptr_array_unref(pool->runners);
	g_free(pool);
}

static void gather(struct pass *pass)
{
	GHashTableIter it;
	gpointer value;

	pass->pool = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	g_hash_table_iter_init(&it, pass->s->runners);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cell_runner *rn = value;
		struct pass_pool *pool;

		rn->reserved = (struct resources){ 0 };
		if (!rn->service || !scheduler_usable(pass->s, rn))
			continue;
		pool = g_hash_table_lookup(pass->pool, rn->service);
		if (!pool) {
			pool = g_new0(struct pass_pool, 1);
			pool->service = rn->service;
			pool->runners = g_ptr_array_new();
			g_hash_table_insert(pass->pool, rn->service, pool);
		}
		g_ptr_array_add(pool->runners, rn);
	}
}

/*
 * Handle + 1 of the runner on which the task had better not run, 0 for none. Where no other one is
 * approved, waiting longer than AVOID_ONLY_MS costs more than a second failure.
 */
static uint32_t avoided(const struct pass *pass, const struct target *t,
			const struct job_task *task)
{
	if (task->avoid_until_ms <= pass->s->now_ms)
		return 0;
	if (!t->advised || task->avoid_until_ms - pass->s->now_ms > AVOID_MS - AVOID_ONLY_MS)
		return task->avoid_runner;
	for (guint i = 0; i < t->candidates->len; i++)
		if (((const struct cell_runner *)t->candidates->pdata[i])->handle + 1 !=
		    task->avoid_runner)
			return task->avoid_runner;
	return 0;
}

/* The best runner for a task of the step; ticketed: only one that may be ordered at once. */
static struct cell_runner *choose(const struct pass *pass, const struct target *t,
				  const struct job_task *task, const char *rack, bool ticketed)
{
	int64_t valid_ms = pass->s->now_ms + ORDER_MARGIN_MS;
	uint32_t avoid = avoided(pass, t, task);
	struct cell_runner *best = NULL;
	int64_t best_score = 0;

	for (guint i = 0; i < t->candidates->len; i++) {
		struct cell_runner *rn = t->candidates->pdata[i];
		int64_t score;

		/* In a full pool most runners are ruled out by their room. */
		if (!target_has_room(t, rn) || rn->handle + 1 == avoid)
			continue;
		if (rack && g_strcmp0(rn->rack, rack) != 0)
			continue;
		if (ticketed && t->advised && !advice_ticket(t->step->advice, rn->handle, valid_ms))
			continue;
		score = target_rate(t, rn);
		if (!best || score < best_score) {
			best = rn;
			best_score = score;
		}
	}
	return best;
}

static bool task_waits(const struct pass *pass, const struct job_task *task)
{
	return !task->done && !task->live_run && task->not_before_ms <= pass->s->now_ms;
}

static void place(struct pass *pass, const struct target *t, uint32_t task, struct cell_runner *rn)
{
	const char *ticket =
		t->advised ? advice_ticket(t->step->advice, rn->handle, pass->s->now_ms) : NULL;
	struct run *r = scheduler_plan_run(pass->s, t->job, task, rn, ticket);

	t->pool->barren = 0;
	if (ticket)
		r->ticket_until_ms = advice_valid_until_ms(t->step->advice, rn->handle);
}

/*
 * Small tasks take each part of a runner as it gets free, so that a large one of higher rank would
 * wait for ever.
 */
static void wait_for_room(struct pass *pass, const struct target *t, uint32_t waiting)
{
	uint32_t made = 0;

	while (made < waiting && reserve_make(pass, t, 1))
		made++;
	if ((made == waiting || reserve_keep(t, waiting - made)) && t->advised)
		question_renew(pass, t);
}

static void place_tasks(struct pass *pass, const struct target *t)
{
	const Cell__Step *spec = t->step->spec;
	uint32_t waiting = 0;
	bool possible = false;
	bool first = true; /* what holds for one that is not picky holds for all */
	bool full = false;

	for (uint32_t i = 0; i < spec->count; i++) {
		struct job_task *task = &t->job->task[t->step->first_task + i];
		bool picky = task->avoid_until_ms > pass->s->now_ms;
		struct cell_runner *rn = NULL;

		if (!task_waits(pass, task))
			continue;
		if (!full || picky)
			rn = choose(pass, t, task, NULL, true);
		if (rn) {
			place(pass, t, t->step->first_task + i, rn);
			continue;
		}
		waiting++;
		full = full || !picky;
		if (t->advised && !possible && (first || picky))
			possible = choose(pass, t, task, NULL, false) != NULL;
		first = false;
	}
	pass->s->sums.waiting_tasks += waiting;
	if (waiting && !t->advised)
		t->pool->barren++;
	if (!waiting)
		return;
	if (t->advised)
		question_ask(pass, t, possible);
	if (t->advised && t->step->advice->asking)
		reserve_hoped(t, waiting);
	else if (!possible && t->large)
		wait_for_room(pass, t, waiting);
}

/* Finds room for all members in rack (NULL for any); false and nothing taken if there is none. */
static bool find_gang(const struct pass *pass, const struct target *t, const char *rack,
		      bool ticketed, struct cell_runner **out)
{
	uint32_t n = 0;

	for (; n < t->step->spec->count; n++) {
		out[n] = choose(pass, t, &t->job->task[t->step->first_task + n], rack, ticketed);
		if (!out[n])
			break;
		resources_add(&out[n]->reserved, &t->need);
	}
	for (uint32_t i = 0; i < n; i++)
		resources_sub(&out[i]->reserved, &t->need);
	return n == t->step->spec->count;
}

static bool find_gang_rack(const struct pass *pass, const struct target *t, bool ticketed,
			   struct cell_runner **out)
{
	if (!t->step->spec->one_rack)
		return find_gang(pass, t, NULL, ticketed, out);
	for (guint i = 0; i < t->candidates->len; i++) {
		const struct cell_runner *rn = t->candidates->pdata[i];

		if (rn->rack && find_gang(pass, t, rn->rack, ticketed, out))
			return true;
	}
	return false;
}

/* The members of a gang share the number of their run. */
static void place_members(struct pass *pass, const struct target *t, struct cell_runner **members)
{
	uint32_t first = t->step->first_task;
	uint32_t last = 0;

	for (uint32_t i = 0; i < t->step->spec->count; i++)
		last = MAX(last, t->job->task[first + i].last_run);
	for (uint32_t i = 0; i < t->step->spec->count; i++) {
		t->job->task[first + i].last_run = last;
		place(pass, t, first + i, members[i]);
	}
}

static void place_gang(struct pass *pass, const struct target *t)
{
	const Cell__Step *spec = t->step->spec;
	g_autofree struct cell_runner **members = NULL;
	bool possible;
	bool kept;

	for (uint32_t i = 0; i < spec->count; i++)
		if (!task_waits(pass, &t->job->task[t->step->first_task + i]))
			return;
	members = g_new0(struct cell_runner *, spec->count);
	if (find_gang_rack(pass, t, true, members)) {
		place_members(pass, t, members);
		return;
	}
	pass->s->sums.gangs_waiting++;
	pass->s->sums.waiting_tasks += spec->count;
	possible = find_gang_rack(pass, t, false, members);
	if (t->advised)
		question_ask(pass, t, possible);
	kept = (!possible && reserve_make(pass, t, spec->count)) || reserve_keep(t, spec->count);
	if (kept && !possible && t->advised)
		question_renew(pass, t);
}

/* Whether a task takes more than one of LARGE_PART parts of most runners that could run it. */
static bool is_large(const struct target *t)
{
	uint32_t large = 0;

	for (guint i = 0; i < t->candidates->len; i++) {
		const struct cell_runner *rn = t->candidates->pdata[i];

		large += t->need.cpu_milli * LARGE_PART > rn->capacity.cpu_milli ||
			 t->need.mem_bytes * LARGE_PART > rn->capacity.mem_bytes ||
			 t->need.accel * LARGE_PART > rn->capacity.accel;
	}
	return large * 2 > t->candidates->len;
}

static void place_step(struct pass *pass, struct cell_job *j, struct job_step *step)
{
	const struct queue *q = queues_find(pass->s->queues, j->spec->queue);
	struct target t = { .job = j, .step = step, .queue = q };
	g_autoptr(GPtrArray) candidates = NULL;

	t.pool = g_hash_table_lookup(pass->pool, q ? q->service : j->spec->service);
	if (!t.pool || t.pool->barren >= BARREN_STEPS)
		return;
	t.need = scheduler_need(step->spec);
	t.candidates = candidates = g_ptr_array_new();
	t.advised = q ? q->advised : j->spec->advised;
	t.yield = yield_milli(j, pass->s->queues, pass->s->wall_ms);
	for (guint i = 0; i < t.pool->runners->len; i++)
		if (target_suits(&t, t.pool->runners->pdata[i]))
			g_ptr_array_add(candidates, t.pool->runners->pdata[i]);
	t.large = is_large(&t);
	if (step->spec->gang)
		place_gang(pass, &t);
	else
		place_tasks(pass, &t);
}

static void place_job(struct pass *pass, struct cell_job *j)
{
	for (uint32_t i = 0; i < j->n_step; i++) {
		struct job_step *step = &j->step[i];

		if (step->done + step->live_runs < step->spec->count &&
		    cell_job_step_ready(j, step, pass->s->wall_ms))
			place_step(pass, j, step);
	}
}

/* Steps that are placed, or asked about, with few of the runners known have to be asked about
 * again. */
static bool settled(const struct scheduler *s)
{
	GHashTableIter it;
	gpointer value;

	if (s->now_ms - s->begun_ms >= SETTLE_MS)
		return true;
	g_hash_table_iter_init(&it, s->runners);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cell_runner *rn = value;

		if (rn->address && !rn->contacted && rn->misses == 0)
			return false;
	}
	return true;
}

void pick_tasks(struct scheduler *s)
{
	struct pass pass = { .s = s };

	if (!s->queues || !settled(s))
		return;
	sort_open(s);
	gather(&pass);
	s->sums.waiting_tasks = 0;
	s->sums.steps_without_room = 0;
	s->sums.steps_asking = 0;
	s->sums.steps_not_asked = 0;
	s->sums.gangs_waiting = 0;
	for (guint i = 0; i < s->open->len; i++) {
		struct cell_job *j = s->open->pdata[i];

		if (!cell_job_has_ended(j))
			place_job(&pass, j);
	}
	g_hash_table_unref(pass.pool);
}
