#include <math.h>
#include <string.h>

#include "engine.h"

#define FAIL_MS	      20    /* after which a bad worker, or a task that can't run, gives up */
#define CHECKPOINT_MS 500   /* between being told to stop and the end */
#define LEASE_MS      10000 /* after which work on a lost worker is known to be gone */
#define REPORT_MS     1000  /* lag of reports of use */
#define TASK_ATTEMPTS 3

enum engine_condition { CONDITION_GOOD = 0, CONDITION_BAD };

enum action_kind { ACTION_SUBMIT = 0, ACTION_END, ACTION_REPORT, ACTION_LAPSE };

struct engine_action {
	int64_t at_ms;
	uint64_t seq;
	uint64_t work;
	struct engine_fate *fate;
	uint32_t worker;
	uint32_t heap_index;
	enum action_kind kind;
	enum end_result result;
};

static bool sooner(const void *a, const void *b)
{
	const struct engine_action *aa = a;
	const struct engine_action *ab = b;

	return aa->at_ms != ab->at_ms ? aa->at_ms < ab->at_ms : aa->seq < ab->seq;
}

static void plan(struct engine *e, int64_t in_ms, struct engine_action a)
{
	struct engine_action *copy = g_new(struct engine_action, 1);

	*copy = a;
	copy->at_ms = e->c.now_ms + in_ms;
	copy->seq = e->seq++;
	heap_push(&e->due, copy);
}

static uint64_t real_bytes(const struct cell_work *w)
{
	const struct engine_fate *f = w->data;

	return f->event->used_bytes ? f->event->used_bytes : w->w.size.mem_bytes;
}

static void on_started(void *ctx, struct cell_work *w)
{
	struct engine *e = ctx;
	struct engine_fate *f = w->data;
	uint64_t *real = &g_array_index(e->real_used, uint64_t, w->worker);
	const struct cell_worker *cw = &g_array_index(e->c.workers, struct cell_worker, w->worker);
	bool bad = g_array_index(e->condition, enum engine_condition, w->worker) == CONDITION_BAD;
	bool fails = bad || f->event->fails;

	if (f->started_ms < 0)
		f->started_ms = e->c.now_ms;
	f->worker = w->worker;
	*real += real_bytes(w);
	e->overruns += *real > cw->info.total.mem_bytes;
	plan(e, fails ? FAIL_MS : f->true_ms,
	     (struct engine_action){
		     .kind = ACTION_END, .work = w->w.id, .result = fails ? END_FAILED : END_OK });
	if (f->event->used_bytes)
		plan(e, REPORT_MS,
		     (struct engine_action){ .kind = ACTION_REPORT, .work = w->w.id });
}

static void on_refused(void *ctx, struct cell_work *w)
{
	struct engine *e = ctx;
	struct engine_fate *f = w->data;

	f->refused++;
	f->refused_ms = e->c.now_ms;
	f->reason = w->refused;
	if (w->refused == REFUSE_CANCELLED)
		f->cancelled = true;
	else if (w->retry_after_ms && f->attempts++ < f->event->attempts)
		plan(e, w->retry_after_ms,
		     (struct engine_action){ .kind = ACTION_SUBMIT, .fate = f });
}

static void on_preempt(void *ctx, struct cell_work *w)
{
	plan(ctx, CHECKPOINT_MS,
	     (struct engine_action){
		     .kind = ACTION_END, .work = w->w.id, .result = END_PREEMPTED });
}

static const struct cell_hooks hooks = {
	.started = on_started,
	.refused = on_refused,
	.preempt = on_preempt,
};

static void submit(struct engine *e, struct engine_fate *f)
{
	struct work w = f->event->w;
	bool again = f->submitted_ms >= 0;

	if (!again) {
		f->submitted_ms = e->c.now_ms;
		f->deadline_ms = w.deadline_ms ? e->c.now_ms + w.deadline_ms : 0;
	}
	/* A caller who comes back after being refused still wants its answer, in the same time. */
	w.deadline_ms = w.deadline_ms ? e->c.now_ms + w.deadline_ms : 0;
	w.team += (uint32_t)(f->submitted_seq % f->event->teams);
	w.retry = again && w.slot;
	if (again && f->started_ms >= 0)
		w.avoid_worker = f->worker;
	cell_submit_data(&e->c, &w, f);
}

static void end(struct engine *e, const struct engine_action *a)
{
	struct cell_work *w = cell_work(&e->c, a->work);
	struct engine_fate *f;

	if (!w || !w->running)
		return;
	f = w->data;
	g_array_index(e->real_used, uint64_t, w->worker) -= real_bytes(w);
	cell_end(&e->c, a->work, a->result);
	if (a->result == END_OK) {
		f->done = true;
		f->late = f->deadline_ms && !f->refused && e->c.now_ms > f->deadline_ms;
	} else if (a->result == END_PREEMPTED) {
		f->true_ms -= MIN(f->true_ms, (uint32_t)(e->c.now_ms - w->started_ms));
		submit(e, f);
	} else if (!w->w.slot && !w->w.gang_size && f->attempts++ < TASK_ATTEMPTS) {
		submit(e, f);
	}
}

static void report(struct engine *e, uint64_t work)
{
	const struct cell_work *w = cell_work(&e->c, work);
	struct res used = w->w.size;

	if (!w->running)
		return;
	used.mem_bytes = real_bytes(w);
	owner_usage(e->c.owner, work, &used, e->c.now_ms);
}

/* The lease of a lost worker has lapsed: nothing runs there any more. */
static void lapse(struct engine *e, uint32_t worker)
{
	GHashTableIter iter;
	gpointer value;
	g_autoptr(GArray) ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	g_hash_table_iter_init(&iter, e->c.works);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct cell_work *w = value;

		if (w->running && w->worker == worker)
			g_array_append_val(ids, w->w.id);
	}
	for (guint i = 0; i < ids->len; i++)
		end(e, &(struct engine_action){ .work = g_array_index(ids, uint64_t, i),
						.result = END_LOST });
}

static void act(struct engine *e, const struct engine_action *a)
{
	switch (a->kind) {
	case ACTION_SUBMIT:
		submit(e, a->fate);
		break;
	case ACTION_END:
		end(e, a);
		break;
	case ACTION_REPORT:
		report(e, a->work);
		break;
	case ACTION_LAPSE:
		lapse(e, a->worker);
		break;
	}
}

static void add_workers(struct engine *e, const struct trace_event *ev)
{
	for (uint32_t i = 0; i < ev->n; i++) {
		g_autofree char *rack = g_strdup_printf("%s-%u", ev->name, i / ev->per_rack);
		struct worker_info info = ev->worker;
		uint32_t worker;

		info.name = ev->name;
		info.rack = rack;
		worker = cell_worker(&e->c, &info);
		g_array_set_size(e->condition, worker + 1);
		g_array_set_size(e->real_used, worker + 1);
	}
}

static void add_work(struct engine *e, const struct trace_event *ev)
{
	for (uint32_t i = 0; i < ev->n; i++) {
		struct engine_fate *f = g_new0(struct engine_fate, 1);
		int32_t spread = (int32_t)(ev->true_ms * ev->spread_percent / 100);

		f->event = ev;
		f->submitted_ms = -1;
		f->submitted_seq = i;
		f->started_ms = -1;
		f->true_ms =
			(uint32_t)((int32_t)ev->true_ms +
				   (spread ? g_rand_int_range(e->rand, -spread, spread + 1) : 0));
		g_ptr_array_add(e->fates, f);
		plan(e, (int64_t)ev->over_ms * i / ev->n,
		     (struct engine_action){ .kind = ACTION_SUBMIT, .fate = f });
	}
}

static void set_condition(struct engine *e, const struct trace_event *ev)
{
	uint32_t worker = (uint32_t)ev->select_worker;

	if (strcmp(ev->name, "leaving") == 0) {
		cell_state(&e->c, worker, WORKER_LEAVING);
	} else if (strcmp(ev->name, "lost") == 0) {
		cell_state(&e->c, worker, WORKER_LOST);
		plan(e, LEASE_MS, (struct engine_action){ .kind = ACTION_LAPSE, .worker = worker });
	} else {
		g_array_index(e->condition, enum engine_condition, worker) =
			strcmp(ev->name, "bad") == 0 ? CONDITION_BAD : CONDITION_GOOD;
	}
}

static void cancel(struct engine *e, uint64_t job)
{
	for (uint64_t id = 1; id < e->c.next_id; id++)
		if (cell_work(&e->c, id)->w.job == job)
			owner_cancel(e->c.owner, id, e->c.now_ms);
}

static void apply(struct engine *e, const struct trace_event *ev)
{
	switch (ev->kind) {
	case TRACE_WORKERS:
		add_workers(e, ev);
		break;
	case TRACE_TEAM:
		owner_set_team(e->c.owner, ev->w.team, ev->n, &ev->w.size);
		break;
	case TRACE_WORK:
		add_work(e, ev);
		break;
	case TRACE_WORKER:
		set_condition(e, ev);
		break;
	case TRACE_CANCEL:
		cancel(e, ev->w.job);
		break;
	case TRACE_EXPECT:
		break;
	}
}

void engine_run(struct engine *e, const GArray *events, const char *policy)
{
	struct owner_conf conf;
	guint i = 0;

	owner_conf_default(&conf);
	conf.policy = policy;
	*e = (struct engine){ .events = events, .rand = g_rand_new_with_seed(1) };
	e->fates = g_ptr_array_new_with_free_func(g_free);
	e->condition = g_array_new(FALSE, TRUE, sizeof(enum engine_condition));
	e->real_used = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	heap_init(&e->due, sooner, offsetof(struct engine_action, heap_index));
	cell_init(&e->c, &conf);
	e->c.hooks = &hooks;
	e->c.hooks_ctx = e;
	while (i < events->len) {
		const struct trace_event *ev = &g_array_index(events, struct trace_event, i);
		const struct engine_action *a = heap_top(&e->due);
		int64_t at_ms = MIN(ev->t_ms, MAX(owner_next_ms(e->c.owner), e->c.now_ms + 1));

		at_ms = MAX(a ? MIN(at_ms, a->at_ms) : at_ms, e->c.now_ms);
		e->c.now_ms = at_ms;
		while ((a = heap_top(&e->due)) && a->at_ms <= at_ms) {
			heap_pop(&e->due);
			act(e, a);
			g_free((gpointer)a);
		}
		for (; i < events->len; i++) {
			ev = &g_array_index(events, struct trace_event, i);
			if (ev->t_ms > at_ms)
				break;
			apply(e, ev);
		}
		cell_run(&e->c);
	}
}

void engine_clear(struct engine *e)
{
	while (heap_top(&e->due))
		g_free(heap_pop(&e->due));
	heap_clear(&e->due);
	cell_clear(&e->c);
	g_ptr_array_free(e->fates, TRUE);
	g_array_free(e->condition, TRUE);
	g_array_free(e->real_used, TRUE);
	g_rand_free(e->rand);
}

static bool selected(const struct engine_fate *f, const struct trace_event *s)
{
	const struct work *w = &f->event->w;
	int64_t team = w->team + (int64_t)(f->submitted_seq % f->event->teams);

	return f->submitted_ms >= 0 &&
	       (s->select_class == TRACE_ANY || s->select_class == (int64_t)w->class) &&
	       (s->select_team == TRACE_ANY || s->select_team == team) &&
	       (s->select_job == TRACE_ANY || s->select_job == (int64_t)w->job);
}

static int by_value(const void *a, const void *b)
{
	int64_t va = *(const int64_t *)a;
	int64_t vb = *(const int64_t *)b;

	return va < vb ? -1 : va > vb;
}

GArray *engine_waits(const struct engine *e, const struct trace_event *select)
{
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(int64_t));

	for (guint i = 0; i < e->fates->len; i++) {
		const struct engine_fate *f = e->fates->pdata[i];
		int64_t wait_ms = f->started_ms - f->submitted_ms;

		if (f->started_ms >= 0 && selected(f, select))
			g_array_append_val(waits, wait_ms);
	}
	g_array_sort(waits, by_value);
	return waits;
}

static double quantile(const struct engine *e, const struct trace_event *s, double q)
{
	g_autoptr(GArray) waits = engine_waits(e, s);

	if (!waits->len)
		return 0;
	return (double)g_array_index(waits, int64_t, (guint)(q * (waits->len - 1)));
}

static bool counts(const struct engine_fate *f, const char *what)
{
	if (strcmp(what, "submitted") == 0)
		return true;
	if (strcmp(what, "started") == 0)
		return f->started_ms >= 0;
	if (strcmp(what, "done") == 0)
		return f->done;
	if (strcmp(what, "in_time") == 0)
		return f->done && !f->late;
	if (strcmp(what, "late") == 0)
		return f->late;
	if (strcmp(what, "never_fits") == 0)
		return f->refused && f->reason == REFUSE_NEVER_FITS;
	if (strcmp(what, "not_run") == 0) /* given up without having run */
		return f->started_ms < 0 && f->refused && !f->cancelled;
	if (strcmp(what, "refused_later") == 0) /* had waited in vain */
		return f->started_ms < 0 && f->refused && !f->cancelled &&
		       f->refused_ms > f->submitted_ms;
	return strcmp(what, "cancelled") == 0 && f->cancelled;
}

double engine_measure(const struct engine *e, const struct trace_event *s)
{
	uint32_t n = 0;

	if (strcmp(s->name, "wait_p50_ms") == 0)
		return quantile(e, s, 0.5);
	if (strcmp(s->name, "wait_p99_ms") == 0)
		return quantile(e, s, 0.99);
	if (strcmp(s->name, "wait_max_ms") == 0)
		return quantile(e, s, 1);
	if (strcmp(s->name, "overruns") == 0)
		return e->overruns;
	if (strcmp(s->name, "worker_starts") == 0)
		return g_array_index(e->c.workers, struct cell_worker, (guint)s->select_worker)
			.starts;
	for (guint i = 0; i < e->fates->len; i++)
		n += selected(e->fates->pdata[i], s) && counts(e->fates->pdata[i], s->name);
	return n;
}
