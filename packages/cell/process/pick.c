#include <string.h>

#include "makeroom.h"
#include "order.h"
#include "scheduler_priv.h"
#include "yield.h"

#define ASK_NAMES_MAX 100   /* runners in one question, the platform's bound */
#define ASK_NAMES_MIN 8	    /* named even where naming costs more than deciding */
#define ASK_LONG_US   80000 /* of a question; urgent steps take 25 ms, all others 155 or more */
#define ASK_KEPT_PART                                                                              \
	5 /* one of so many helpers is kept from long questions; urgent ones fill 40% of it */
#define ASK_SHORT_US                                                                               \
	75000 /* short questions under way for a helper: three, to hide the way there */
#define SETTLE_MS                                                                                  \
	100 /* a new scheduler waits for its runners: 24 ms there and back, and slow VMs */
#define BARREN_STEPS  48 /* in a row without room; of those after them few would find any */
#define LARGE_PART    3	 /* a large task takes more than one of so many parts of a runner */
#define BLOCKED_GANGS 2	 /* gangs of a pool that keep room free while they wait */
#define ROOM_STEPS    6	 /* steps of a pool for which others are stopped in one pass */
#define ROOM_TRIES                                                                                 \
	12	     /* to make room in one pass over a pool; each looks at all that runs there    \
		      */
#define RENEW_MS 600 /* a question of 400 ms, and the ways, before tickets end */

/* One placement pass over a pool of runners. */
struct pass_pool {
	const char *service;
	GPtrArray *exec;
	uint32_t blocked;
	uint32_t tries;	  /* to make room */
	uint32_t cleared; /* gangs for which room is being made */
	uint32_t barren;  /* steps in a row for which there was no room */
};

struct pass {
	struct scheduler *s;
	GHashTable *pool; /* by service */
};

/* A step whose tasks are being placed. */
struct target {
	struct pass_pool *pool;
	GPtrArray *exec; /* of the pool, those that could ever run a task of the step */
	struct plan *plan;
	struct plan_step *step;
	const struct queue *queue; /* NULL if it is not configured any more */
	struct amount need;
	bool advised;
	bool large;	/* a task takes much of a runner: room for it seldom comes by itself */
	uint32_t yield; /* part of a runner, of 1000, to leave free */
};

static int by_order(gconstpointer a, gconstpointer b)
{
	const struct plan *p = *(struct plan *const *)a;
	const struct plan *q = *(struct plan *const *)b;
	int order = order_compare(p->rank, q->rank);

	return order ? order : strcmp(p->id, q->id);
}

/* Ranks change with time, so each pass sorts anew. */
static void sort_open(struct scheduler *s)
{
	g_autofree struct order_rank *rank = g_new(struct order_rank, s->open->len + 1);

	for (guint i = 0; i < s->open->len; i++) {
		struct plan *p = s->open->pdata[i];

		rank[i] = order_rank(p, s->wall_ms);
		p->rank = &rank[i];
	}
	g_ptr_array_sort(s->open, by_order);
	for (guint i = 0; i < s->open->len; i++)
		((struct plan *)s->open->pdata[i])->rank = NULL;
}

static void pool_free(gpointer data)
{
	struct pass_pool *pool = data;

	g_ptr_array_unref(pool->exec);
	g_free(pool);
}

static void gather(struct pass *pass)
{
	GHashTableIter it;
	gpointer value;

	pass->pool = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	g_hash_table_iter_init(&it, pass->s->exec);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct exec *e = value;
		struct pass_pool *pool;

		e->hoped = (struct amount){ 0 };
		if (!e->service || !scheduler_usable(pass->s, e))
			continue;
		pool = g_hash_table_lookup(pass->pool, e->service);
		if (!pool) {
			pool = g_new0(struct pass_pool, 1);
			pool->service = e->service;
			pool->exec = g_ptr_array_new();
			g_hash_table_insert(pass->pool, e->service, pool);
		}
		g_ptr_array_add(pool->exec, e);
	}
}

static uint32_t on_runner(const struct exec *e, const struct target *t)
{
	uint32_t n = 0;

	for (guint i = 0; i < e->run->len; i++) {
		const struct run *r = e->run->pdata[i];

		if (r->plan == t->plan && r->task >= t->step->first_task &&
		    r->task < t->step->first_task + t->step->spec->count)
			n++;
	}
	return n;
}

/* Whether the runner could ever run a task of the step, with room or without. */
static bool suits(const struct target *t, const struct exec *e)
{
	const Cell__Step *spec = t->step->spec;

	if (!amount_fits(&t->need, &e->room))
		return false;
	if (*spec->label && !exec_has_label(e, spec->label))
		return false;
	return !t->advised || advice_verdict(t->step->advice, e->handle) != VERDICT_DENIED;
}

/*
 * Tasks that fill disturb tasks that serve with a bound on their response times, by amounts that
 * nobody knows beforehand; they are kept on different runners.
 */
static bool disturbs(const struct target *t, const struct exec *e)
{
	const Cell__Step *spec = t->step->spec;

	if (!spec->filler && !spec->tail_target_ms)
		return false;
	for (guint i = 0; i < e->run->len; i++) {
		const struct run *r = e->run->pdata[i];
		const Cell__Step *other = plan_step_of(r->plan, r->task)->spec;

		if (spec->filler ? other->tail_target_ms > 0 : other->filler)
			return true;
	}
	return false;
}

static bool has_room(const struct target *t, const struct exec *e)
{
	if (!yield_fits(e, &t->need, t->yield))
		return false;
	if (disturbs(t, e))
		return false;
	return !t->step->spec->spread_max || on_runner(e, t) < t->step->spec->spread_max;
}

/* Lower is better: near the data first, then the tightest fit. */
static int64_t rate(const struct target *t, const struct exec *e)
{
	struct amount free = exec_free(e);
	int64_t score = 0;

	if (*t->step->spec->rack && g_strcmp0(e->rack, t->step->spec->rack) != 0)
		score += 1000000;
	score += (free.accel - t->need.accel) * 10000;
	score += (free.cpu_milli - t->need.cpu_milli) * 1000 / MAX(e->room.cpu_milli, 1);
	return score;
}

/*
 * Handle + 1 of the runner on which the task had better not run, 0 for none. Where no other one is
 * approved, waiting longer than AVOID_ONLY_MS costs more than a second failure.
 */
static uint32_t avoided(const struct pass *pass, const struct target *t,
			const struct plan_task *task)
{
	if (task->avoid_until_ms <= pass->s->now_ms)
		return 0;
	if (!t->advised || task->avoid_until_ms - pass->s->now_ms > AVOID_MS - AVOID_ONLY_MS)
		return task->avoid;
	for (guint i = 0; i < t->exec->len; i++)
		if (((const struct exec *)t->exec->pdata[i])->handle + 1 != task->avoid)
			return task->avoid;
	return 0;
}

/* The best runner for a task of the step; ticketed: only one that may be ordered at once. */
static struct exec *choose(const struct pass *pass, const struct target *t,
			   const struct plan_task *task, const char *rack, bool ticketed)
{
	int64_t valid_ms = pass->s->now_ms + ORDER_MARGIN_MS;
	uint32_t avoid = avoided(pass, t, task);
	struct exec *best = NULL;
	int64_t best_score = 0;

	for (guint i = 0; i < t->exec->len; i++) {
		struct exec *e = t->exec->pdata[i];
		int64_t score;

		/* In a full pool most runners are ruled out by their room. */
		if (!has_room(t, e) || e->handle + 1 == avoid)
			continue;
		if (rack && g_strcmp0(e->rack, rack) != 0)
			continue;
		if (ticketed && t->advised && !advice_ticket(t->step->advice, e->handle, valid_ms))
			continue;
		score = rate(t, e);
		if (!best || score < best_score) {
			best = e;
			best_score = score;
		}
	}
	return best;
}

static bool task_waits(const struct pass *pass, const struct plan_task *task)
{
	return !task->done && !task->live && task->ready_ms <= pass->s->now_ms;
}

static void place(struct pass *pass, const struct target *t, uint32_t task, struct exec *e)
{
	const char *ticket =
		t->advised ? advice_ticket(t->step->advice, e->handle, pass->s->now_ms) : NULL;
	struct run *r = scheduler_plan_run(pass->s, t->plan, task, e, ticket);

	t->pool->barren = 0;
	if (ticket)
		r->ticket_until_ms = advice_valid_until_ms(t->step->advice, e->handle);
}

static int by_free(gconstpointer a, gconstpointer b)
{
	struct amount x = exec_free(*(struct exec *const *)a);
	struct amount y = exec_free(*(struct exec *const *)b);

	if (x.accel != y.accel)
		return x.accel > y.accel ? -1 : 1;
	return x.cpu_milli > y.cpu_milli ? -1 : x.cpu_milli < y.cpu_milli;
}

/* Runners to name: those with room or, the first time, all that suit, as far as naming is cheap. */
static void add_candidates(const struct target *t, GPtrArray *out, enum verdict verdict, bool room,
			   uint32_t max)
{
	g_autoptr(GPtrArray) found = g_ptr_array_new();

	for (guint i = 0; i < t->exec->len; i++) {
		struct exec *e = t->exec->pdata[i];

		if ((!room || has_room(t, e)) &&
		    advice_verdict(t->step->advice, e->handle) == verdict)
			g_ptr_array_add(found, e);
	}
	g_ptr_array_sort(found, by_free);
	for (guint i = 0; i < found->len && out->len < max; i++)
		g_ptr_array_add(out, found->pdata[i]);
}

static uint64_t question_cost_us(const struct target *t, uint32_t names)
{
	return t->queue ? t->queue->decide_us + (uint64_t)t->queue->interval_us * names : 0;
}

/*
 * The advisor answers each helper's questions one after the other. A long one takes twenty times as
 * long as that of an urgent step, so each helper gets one at a time and some get none.
 */
static bool may_ask(const struct scheduler *s, uint64_t cost_us)
{
	uint32_t helpers = MAX(s->helpers, 1);
	uint32_t kept = helpers > 1 ? MAX(helpers / ASK_KEPT_PART, 1) : 0;

	if (cost_us > ASK_LONG_US)
		return s->asking_long < helpers - kept;
	return s->asking_short_us <
	       (uint64_t)ASK_SHORT_US * MAX(helpers - MIN(s->asking_long, helpers), 1);
}

void pick_question_begins(struct scheduler *s, struct advice *a, uint64_t cost_us)
{
	a->asking = true;
	a->cost_us = cost_us;
	if (cost_us > ASK_LONG_US)
		s->asking_long++;
	else
		s->asking_short_us += cost_us;
}

void pick_question_ends(struct scheduler *s, struct advice *a)
{
	if (!a->asking)
		return;
	a->asking = false;
	if (a->cost_us > ASK_LONG_US)
		s->asking_long--;
	else
		s->asking_short_us -= a->cost_us;
}

static void send_question(struct pass *pass, const struct target *t, const GPtrArray *exec,
			  uint64_t cost_us)
{
	struct scheduler *s = pass->s;
	g_autofree const char **names = g_new(const char *, exec->len);
	char step[TASK_NAME_BYTES];

	for (guint i = 0; i < exec->len; i++)
		names[i] = ((const struct exec *)exec->pdata[i])->id;
	plan_step_name(t->plan, t->step, step);
	t->pool->barren = 0;
	pick_question_begins(s, t->step->advice, cost_us);
	s->sums.asks++;
	s->ops->ask(s->ctx, step, names, exec->len, cost_us);
}

/* As many names as take half of the time that the decision takes by itself. */
static uint32_t names_max(const struct target *t)
{
	if (!t->queue || !t->queue->interval_us)
		return ASK_NAMES_MAX;
	return CLAMP(t->queue->decide_us / t->queue->interval_us / 2, ASK_NAMES_MIN, ASK_NAMES_MAX);
}

/* Asks for tickets; possible: some of what waits could start if they were there. */
static void ask(struct pass *pass, const struct target *t, bool possible)
{
	g_autoptr(GPtrArray) exec = g_ptr_array_new();
	struct scheduler *s = pass->s;
	struct advice *a;
	bool first;

	if (!t->step->advice)
		t->step->advice = advice_create();
	a = t->step->advice;
	first = !a->answered;
	if (a->asking) {
		s->sums.steps_asking++;
		return;
	}
	/* The verdicts on the runners are worth knowing before there is room, which has to be kept.
	 */
	if (!possible && !(first && (t->step->spec->gang || t->large))) {
		s->sums.steps_without_room++;
		t->pool->barren++;
		return;
	}
	if (a->retry_ms > s->now_ms) {
		s->sums.steps_not_asked++;
		return;
	}
	add_candidates(t, exec, VERDICT_APPROVED, true, names_max(t));
	add_candidates(t, exec, VERDICT_UNKNOWN, !first, names_max(t));
	if (exec->len == 0)
		return;
	if (!may_ask(s, question_cost_us(t, exec->len))) {
		s->sums.steps_not_asked++;
		return;
	}
	send_question(pass, t, exec, question_cost_us(t, exec->len));
}

/*
 * Keeps tickets for a gang that room is kept for: a question takes 400 ms, in which that room would
 * stay empty.
 */
static void renew_tickets(struct pass *pass, const struct target *t)
{
	g_autoptr(GPtrArray) exec = g_ptr_array_new();
	struct scheduler *s = pass->s;
	struct advice *a = t->step->advice;

	if (!a || !a->answered || a->asking || a->retry_ms > s->now_ms)
		return;
	for (guint i = 0; i < t->exec->len; i++) {
		struct exec *e = t->exec->pdata[i];

		if (advice_verdict(a, e->handle) == VERDICT_APPROVED &&
		    !advice_ticket(a, e->handle, s->now_ms + RENEW_MS))
			g_ptr_array_add(exec, e);
	}
	if (exec->len && may_ask(s, question_cost_us(t, exec->len)))
		send_question(pass, t, exec, question_cost_us(t, exec->len));
}

/* Sets room aside for tasks that only wait for the advisor's answer, tightest fit first. */
static void hope(const struct target *t, uint32_t waiting)
{
	g_autoptr(GPtrArray) exec = g_ptr_array_new();
	g_autofree int64_t *score = g_new(int64_t, t->exec->len + 1);

	for (guint i = 0; i < t->exec->len; i++) {
		struct exec *e = t->exec->pdata[i];

		if (!has_room(t, e))
			continue;
		score[exec->len] = rate(t, e);
		g_ptr_array_add(exec, e);
	}
	while (waiting && exec->len) {
		guint best = 0;
		struct exec *e;

		for (guint i = 1; i < exec->len; i++)
			if (score[i] < score[best])
				best = i;
		e = exec->pdata[best];
		while (waiting && has_room(t, e)) {
			amount_add(&e->hoped, &t->need);
			waiting--;
		}
		score[best] = score[exec->len - 1];
		g_ptr_array_remove_index_fast(exec, best);
	}
}

/* Keeps the runners that will be free first from work of lower rank; false if enough is kept. */
static bool keep_room(const struct target *t, uint32_t waiting)
{
	g_autoptr(GPtrArray) exec = g_ptr_array_new();

	if (t->pool->blocked >= BLOCKED_GANGS)
		return false;
	t->pool->blocked++;
	for (guint i = 0; i < t->exec->len; i++)
		g_ptr_array_add(exec, t->exec->pdata[i]);
	g_ptr_array_sort(exec, by_free);
	for (guint i = 0; i < exec->len && waiting; i++, waiting--)
		amount_add(&((struct exec *)exec->pdata[i])->hoped, &t->need);
	return true;
}

/* Runners that may be ordered to run a task of the step, with room or without. */
static GPtrArray *approved(const struct target *t)
{
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < t->exec->len; i++) {
		struct exec *e = t->exec->pdata[i];

		if (!t->advised || advice_verdict(t->step->advice, e->handle) == VERDICT_APPROVED)
			g_ptr_array_add(out, e);
	}
	return out;
}

/*
 * Stops less urgent tasks for so many of a step that can be in time, and keeps what they leave for
 * these.
 */
static bool make_room(struct pass *pass, const struct target *t, uint32_t count)
{
	const Cell__Step *spec = t->step->spec;
	g_autoptr(GPtrArray) victims = g_ptr_array_new();
	g_autofree struct exec **out = g_new0(struct exec *, count);
	g_autoptr(GPtrArray) exec = NULL;
	struct makeroom m = { .need = t->need, .count = count };

	if (spec->one_rack || spec->spread_max || t->pool->cleared >= ROOM_STEPS)
		return false;
	if (t->pool->tries++ >= ROOM_TRIES)
		return false;
	exec = approved(t);
	m.exec = exec;
	m.priority = t->plan->job->priority;
	m.stop = order_slack_ms(t->plan, pass->s->wall_ms) >= 0;
	m.wall_ms = pass->s->wall_ms;
	if (!makeroom_find(&m, out, victims))
		return false;
	t->pool->cleared++;
	for (guint i = 0; i < victims->len; i++) {
		scheduler_tell_run(pass->s, DECISION_PREEMPTED, victims->pdata[i]);
		scheduler_stop_run(pass->s, victims->pdata[i]);
	}
	for (uint32_t i = 0; i < count; i++)
		amount_add(&out[i]->hoped, &t->need);
	return true;
}

/*
 * Small tasks take each part of a runner as it gets free, so that a large one of higher rank would
 * wait for ever.
 */
static void wait_for_room(struct pass *pass, const struct target *t, uint32_t waiting)
{
	uint32_t made = 0;

	while (made < waiting && make_room(pass, t, 1))
		made++;
	if ((made == waiting || keep_room(t, waiting - made)) && t->advised)
		renew_tickets(pass, t);
}

static void place_tasks(struct pass *pass, const struct target *t)
{
	const Cell__Step *spec = t->step->spec;
	uint32_t waiting = 0;
	bool possible = false;
	bool first = true; /* what holds for one that is not picky holds for all */
	bool full = false;

	for (uint32_t i = 0; i < spec->count; i++) {
		struct plan_task *task = &t->plan->task[t->step->first_task + i];
		bool picky = task->avoid_until_ms > pass->s->now_ms;
		struct exec *e = NULL;

		if (!task_waits(pass, task))
			continue;
		if (!full || picky)
			e = choose(pass, t, task, NULL, true);
		if (e) {
			place(pass, t, t->step->first_task + i, e);
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
		ask(pass, t, possible);
	if (t->advised && t->step->advice->asking)
		hope(t, waiting);
	else if (!possible && t->large)
		wait_for_room(pass, t, waiting);
}

/* Finds room for all members in rack (NULL for any); false and nothing taken if there is none. */
static bool find_gang(const struct pass *pass, const struct target *t, const char *rack,
		      bool ticketed, struct exec **out)
{
	uint32_t n = 0;

	for (; n < t->step->spec->count; n++) {
		out[n] = choose(pass, t, &t->plan->task[t->step->first_task + n], rack, ticketed);
		if (!out[n])
			break;
		amount_add(&out[n]->hoped, &t->need);
	}
	for (uint32_t i = 0; i < n; i++)
		amount_sub(&out[i]->hoped, &t->need);
	return n == t->step->spec->count;
}

static bool find_gang_rack(const struct pass *pass, const struct target *t, bool ticketed,
			   struct exec **out)
{
	if (!t->step->spec->one_rack)
		return find_gang(pass, t, NULL, ticketed, out);
	for (guint i = 0; i < t->exec->len; i++) {
		const struct exec *e = t->exec->pdata[i];

		if (e->rack && find_gang(pass, t, e->rack, ticketed, out))
			return true;
	}
	return false;
}

/* The members of a gang share the number of their run. */
static void place_members(struct pass *pass, const struct target *t, struct exec **exec)
{
	uint32_t first = t->step->first_task;
	uint32_t last = 0;

	for (uint32_t i = 0; i < t->step->spec->count; i++)
		last = MAX(last, t->plan->task[first + i].run);
	for (uint32_t i = 0; i < t->step->spec->count; i++) {
		t->plan->task[first + i].run = last;
		place(pass, t, first + i, exec[i]);
	}
}

static void place_gang(struct pass *pass, const struct target *t)
{
	const Cell__Step *spec = t->step->spec;
	g_autofree struct exec **exec = NULL;
	bool possible;
	bool kept;

	for (uint32_t i = 0; i < spec->count; i++)
		if (!task_waits(pass, &t->plan->task[t->step->first_task + i]))
			return;
	exec = g_new0(struct exec *, spec->count);
	if (find_gang_rack(pass, t, true, exec)) {
		place_members(pass, t, exec);
		return;
	}
	pass->s->sums.gangs_waiting++;
	pass->s->sums.waiting_tasks += spec->count;
	possible = find_gang_rack(pass, t, false, exec);
	if (t->advised)
		ask(pass, t, possible);
	kept = (!possible && make_room(pass, t, spec->count)) || keep_room(t, spec->count);
	if (kept && !possible && t->advised)
		renew_tickets(pass, t);
}

/* On most runners that could run it. */
static bool is_large(const struct target *t)
{
	uint32_t large = 0;
	uint32_t n = 0;

	for (guint i = 0; i < t->exec->len; i++) {
		const struct exec *e = t->exec->pdata[i];

		n++;
		large += t->need.cpu_milli * LARGE_PART > e->room.cpu_milli ||
			 t->need.mem_bytes * LARGE_PART > e->room.mem_bytes ||
			 t->need.accel * LARGE_PART > e->room.accel;
	}
	return large * 2 > n;
}

static void place_step(struct pass *pass, struct plan *p, struct plan_step *step)
{
	const struct queue *q = queues_find(pass->s->queues, p->job->queue);
	struct target t = { .plan = p, .step = step, .queue = q };
	g_autoptr(GPtrArray) exec = NULL;

	t.pool = g_hash_table_lookup(pass->pool, q ? q->service : p->job->service);
	if (!t.pool || t.pool->barren >= BARREN_STEPS)
		return;
	t.need = scheduler_need(step->spec);
	t.exec = exec = g_ptr_array_new();
	t.advised = q ? q->advised : p->job->advised;
	t.yield = yield_milli(p, pass->s->queues, pass->s->wall_ms);
	for (guint i = 0; i < t.pool->exec->len; i++)
		if (suits(&t, t.pool->exec->pdata[i]))
			g_ptr_array_add(exec, t.pool->exec->pdata[i]);
	t.large = is_large(&t);
	if (step->spec->gang)
		place_gang(pass, &t);
	else
		place_tasks(pass, &t);
}

static void place_job(struct pass *pass, struct plan *p)
{
	for (uint32_t i = 0; i < p->n_step; i++) {
		struct plan_step *step = &p->step[i];

		if (step->done + step->live < step->spec->count &&
		    plan_step_ready(p, step, pass->s->wall_ms))
			place_step(pass, p, step);
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
	g_hash_table_iter_init(&it, s->exec);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct exec *e = value;

		if (e->address && !e->contacted && e->misses == 0)
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
		struct plan *p = s->open->pdata[i];

		if (!plan_ended(p))
			place_job(&pass, p);
	}
	g_hash_table_unref(pass.pool);
}
