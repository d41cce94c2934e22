#include <math.h>
#include <string.h>

#include "trace_sim.h"

#define FAILURE_DELAY_MS      20    /* a bad worker or a faulty task fails after this time */
#define CHECKPOINT_MS	      500   /* from the request to stop until the end */
#define LEASE_MS	      10000 /* work on a lost worker counts as lost after this time */
#define USAGE_REPORT_DELAY_MS 1000  /* delay of usage reports */
#define TASK_ATTEMPTS	      3

enum worker_condition { CONDITION_GOOD = 0, CONDITION_BAD };

enum sim_event_kind { SIM_SUBMIT = 0, SIM_END, SIM_USAGE_REPORT, SIM_LEASE_EXPIRED };

struct sim_event {
	int64_t at_ms;
	uint64_t seq;
	uint64_t work;
	struct sim_work *sim_work;
	uint32_t worker;
	uint32_t heap_index;
	enum sim_event_kind kind;
	enum end_result result;
};

static bool is_earlier(const void *a, const void *b)
{
	const struct sim_event *first = a;
	const struct sim_event *second = b;

	return first->at_ms != second->at_ms ? first->at_ms < second->at_ms
					     : first->seq < second->seq;
}

static void schedule(struct trace_sim *sim, int64_t in_ms, struct sim_event event)
{
	struct sim_event *copy = g_new(struct sim_event, 1);

	*copy = event;
	copy->at_ms = sim->cell.now_ms + in_ms;
	copy->seq = sim->seq++;
	heap_push(&sim->pending, copy);
}

static uint64_t actual_mem_bytes(const struct cell_work *w)
{
	const struct sim_work *sw = w->data;

	return sw->event->actual_mem_bytes ? sw->event->actual_mem_bytes : w->w.size.mem_bytes;
}

static void on_started(void *ctx, struct cell_work *w)
{
	struct trace_sim *sim = ctx;
	struct sim_work *sw = w->data;
	uint64_t *used_bytes = &g_array_index(sim->used_mem_bytes, uint64_t, w->worker);
	const struct cell_worker *worker =
		&g_array_index(sim->cell.workers, struct cell_worker, w->worker);
	bool bad =
		g_array_index(sim->conditions, enum worker_condition, w->worker) == CONDITION_BAD;
	bool fails = bad || sw->event->fails;

	if (sw->started_ms < 0)
		sw->started_ms = sim->cell.now_ms;
	sw->worker = w->worker;
	*used_bytes += actual_mem_bytes(w);
	sim->mem_overruns += *used_bytes > worker->info.total.mem_bytes;
	schedule(sim, fails ? FAILURE_DELAY_MS : sw->remaining_run_ms,
		 (struct sim_event){
			 .kind = SIM_END, .work = w->w.id, .result = fails ? END_FAILED : END_OK });
	if (sw->event->actual_mem_bytes)
		schedule(sim, USAGE_REPORT_DELAY_MS,
			 (struct sim_event){ .kind = SIM_USAGE_REPORT, .work = w->w.id });
}

static void on_refused(void *ctx, struct cell_work *w)
{
	struct trace_sim *sim = ctx;
	struct sim_work *sw = w->data;

	sw->refusals++;
	sw->last_refused_ms = sim->cell.now_ms;
	sw->refuse_reason = w->refused;
	if (w->refused == REFUSE_CANCELLED)
		sw->cancelled = true;
	else if (w->retry_after_ms && sw->retries++ < sw->event->max_retries)
		schedule(sim, w->retry_after_ms,
			 (struct sim_event){ .kind = SIM_SUBMIT, .sim_work = sw });
}

static void on_preempt(void *ctx, struct cell_work *w)
{
	schedule(ctx, CHECKPOINT_MS,
		 (struct sim_event){ .kind = SIM_END, .work = w->w.id, .result = END_PREEMPTED });
}

static const struct cell_hooks hooks = {
	.started = on_started,
	.refused = on_refused,
	.preempt = on_preempt,
};

static void submit_work(struct trace_sim *sim, struct sim_work *sw)
{
	struct work w = sw->event->work;
	bool retry = sw->submitted_ms >= 0;

	if (!retry) {
		sw->submitted_ms = sim->cell.now_ms;
		sw->deadline_ms = w.deadline_ms ? sim->cell.now_ms + w.deadline_ms : 0;
	}
	/* A caller that retries after a refusal allows the same time again. */
	w.deadline_ms = w.deadline_ms ? sim->cell.now_ms + w.deadline_ms : 0;
	w.team += (uint32_t)(sw->index_in_event % sw->event->teams);
	w.retry = retry && w.slot;
	if (retry && sw->started_ms >= 0)
		w.avoid_worker = sw->worker;
	cell_submit_data(&sim->cell, &w, sw);
}

static void end_work(struct trace_sim *sim, const struct sim_event *event)
{
	struct cell_work *w = cell_work(&sim->cell, event->work);
	struct sim_work *sw;

	if (!w || !w->running)
		return;
	sw = w->data;
	g_array_index(sim->used_mem_bytes, uint64_t, w->worker) -= actual_mem_bytes(w);
	cell_end(&sim->cell, event->work, event->result);
	if (event->result == END_OK) {
		sw->done = true;
		sw->late = sw->deadline_ms && !sw->refusals && sim->cell.now_ms > sw->deadline_ms;
	} else if (event->result == END_PREEMPTED) {
		sw->remaining_run_ms -=
			MIN(sw->remaining_run_ms, (uint32_t)(sim->cell.now_ms - w->started_ms));
		submit_work(sim, sw);
	} else if (!w->w.slot && !w->w.gang_size && sw->retries++ < TASK_ATTEMPTS) {
		submit_work(sim, sw);
	}
}

static void report_usage(struct trace_sim *sim, uint64_t work)
{
	const struct cell_work *w = cell_work(&sim->cell, work);
	struct res used = w->w.size;

	if (!w->running)
		return;
	used.mem_bytes = actual_mem_bytes(w);
	owner_usage(sim->cell.owner, work, &used, sim->cell.now_ms);
}

/* The lease of a lost worker has expired, so nothing runs there any more. */
static void expire_lease(struct trace_sim *sim, uint32_t worker)
{
	GHashTableIter iter;
	gpointer value;
	g_autoptr(GArray) ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	g_hash_table_iter_init(&iter, sim->cell.works);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct cell_work *w = value;

		if (w->running && w->worker == worker)
			g_array_append_val(ids, w->w.id);
	}
	for (guint i = 0; i < ids->len; i++)
		end_work(sim, &(struct sim_event){ .work = g_array_index(ids, uint64_t, i),
						   .result = END_LOST });
}

static void handle_event(struct trace_sim *sim, const struct sim_event *event)
{
	switch (event->kind) {
	case SIM_SUBMIT:
		submit_work(sim, event->sim_work);
		break;
	case SIM_END:
		end_work(sim, event);
		break;
	case SIM_USAGE_REPORT:
		report_usage(sim, event->work);
		break;
	case SIM_LEASE_EXPIRED:
		expire_lease(sim, event->worker);
		break;
	}
}

static void add_workers(struct trace_sim *sim, const struct trace_event *ev)
{
	for (uint32_t i = 0; i < ev->count; i++) {
		g_autofree char *rack = g_strdup_printf("%s-%u", ev->name, i / ev->per_rack);
		struct worker_info info = ev->worker;
		uint32_t worker;

		info.name = ev->name;
		info.rack = rack;
		worker = cell_worker(&sim->cell, &info);
		g_array_set_size(sim->conditions, worker + 1);
		g_array_set_size(sim->used_mem_bytes, worker + 1);
	}
}

static void add_work(struct trace_sim *sim, const struct trace_event *ev)
{
	for (uint32_t i = 0; i < ev->count; i++) {
		struct sim_work *sw = g_new0(struct sim_work, 1);
		int32_t spread = (int32_t)(ev->actual_run_ms * ev->spread_percent / 100);

		sw->event = ev;
		sw->submitted_ms = -1;
		sw->index_in_event = i;
		sw->started_ms = -1;
		sw->remaining_run_ms =
			(uint32_t)((int32_t)ev->actual_run_ms +
				   (spread ? g_rand_int_range(sim->rand, -spread, spread + 1) : 0));
		g_ptr_array_add(sim->works, sw);
		schedule(sim, (int64_t)ev->over_ms * i / ev->count,
			 (struct sim_event){ .kind = SIM_SUBMIT, .sim_work = sw });
	}
}

static void set_condition(struct trace_sim *sim, const struct trace_event *ev)
{
	uint32_t worker = (uint32_t)ev->select_worker;

	if (strcmp(ev->name, "leaving") == 0) {
		cell_state(&sim->cell, worker, WORKER_LEAVING);
	} else if (strcmp(ev->name, "lost") == 0) {
		cell_state(&sim->cell, worker, WORKER_LOST);
		schedule(sim, LEASE_MS,
			 (struct sim_event){ .kind = SIM_LEASE_EXPIRED, .worker = worker });
	} else {
		g_array_index(sim->conditions, enum worker_condition, worker) =
			strcmp(ev->name, "bad") == 0 ? CONDITION_BAD : CONDITION_GOOD;
	}
}

static void cancel_job(struct trace_sim *sim, uint64_t job)
{
	for (uint64_t id = 1; id < sim->cell.next_id; id++)
		if (cell_work(&sim->cell, id)->w.job == job)
			owner_cancel(sim->cell.owner, id, sim->cell.now_ms);
}

static void apply_trace_event(struct trace_sim *sim, const struct trace_event *ev)
{
	switch (ev->kind) {
	case TRACE_WORKERS:
		add_workers(sim, ev);
		break;
	case TRACE_TEAM:
		owner_set_team(sim->cell.owner, ev->work.team, ev->count, &ev->work.size);
		break;
	case TRACE_WORK:
		add_work(sim, ev);
		break;
	case TRACE_WORKER:
		set_condition(sim, ev);
		break;
	case TRACE_CANCEL:
		cancel_job(sim, ev->work.job);
		break;
	case TRACE_EXPECT:
		break;
	}
}

void trace_sim_run(struct trace_sim *sim, const GArray *events, const char *policy)
{
	struct owner_conf conf;
	guint i = 0;

	owner_conf_default(&conf);
	conf.policy = policy;
	*sim = (struct trace_sim){ .trace_events = events, .rand = g_rand_new_with_seed(1) };
	sim->works = g_ptr_array_new_with_free_func(g_free);
	sim->conditions = g_array_new(FALSE, TRUE, sizeof(enum worker_condition));
	sim->used_mem_bytes = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	heap_init(&sim->pending, is_earlier, offsetof(struct sim_event, heap_index));
	cell_init(&sim->cell, &conf);
	sim->cell.hooks = &hooks;
	sim->cell.hooks_ctx = sim;
	while (i < events->len) {
		const struct trace_event *ev = &g_array_index(events, struct trace_event, i);
		const struct sim_event *event = heap_top(&sim->pending);
		int64_t at_ms =
			MIN(ev->t_ms, MAX(owner_next_ms(sim->cell.owner), sim->cell.now_ms + 1));

		at_ms = MAX(event ? MIN(at_ms, event->at_ms) : at_ms, sim->cell.now_ms);
		sim->cell.now_ms = at_ms;
		while ((event = heap_top(&sim->pending)) && event->at_ms <= at_ms) {
			heap_pop(&sim->pending);
			handle_event(sim, event);
			g_free((gpointer)event);
		}
		for (; i < events->len; i++) {
			ev = &g_array_index(events, struct trace_event, i);
			if (ev->t_ms > at_ms)
				break;
			apply_trace_event(sim, ev);
		}
		cell_run(&sim->cell);
	}
}

void trace_sim_clear(struct trace_sim *sim)
{
	while (heap_top(&sim->pending))
		g_free(heap_pop(&sim->pending));
	heap_clear(&sim->pending);
	cell_clear(&sim->cell);
	g_ptr_array_free(sim->works, TRUE);
	g_array_free(sim->conditions, TRUE);
	g_array_free(sim->used_mem_bytes, TRUE);
	g_rand_free(sim->rand);
}

static bool is_selected(const struct sim_work *sw, const struct trace_event *expect)
{
	const struct work *w = &sw->event->work;
	int64_t team = w->team + (int64_t)(sw->index_in_event % sw->event->teams);

	return sw->submitted_ms >= 0 &&
	       (expect->select_class == TRACE_ANY || expect->select_class == (int64_t)w->class) &&
	       (expect->select_team == TRACE_ANY || expect->select_team == team) &&
	       (expect->select_job == TRACE_ANY || expect->select_job == (int64_t)w->job);
}

static int compare_values(const void *a, const void *b)
{
	int64_t va = *(const int64_t *)a;
	int64_t vb = *(const int64_t *)b;

	return va < vb ? -1 : va > vb;
}

GArray *trace_sim_waits(const struct trace_sim *sim, const struct trace_event *select)
{
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(int64_t));

	for (guint i = 0; i < sim->works->len; i++) {
		const struct sim_work *sw = sim->works->pdata[i];
		int64_t wait_ms = sw->started_ms - sw->submitted_ms;

		if (sw->started_ms >= 0 && is_selected(sw, select))
			g_array_append_val(waits, wait_ms);
	}
	g_array_sort(waits, compare_values);
	return waits;
}

static double quantile(const struct trace_sim *sim, const struct trace_event *expect,
		       double fraction)
{
	g_autoptr(GArray) waits = trace_sim_waits(sim, expect);

	if (!waits->len)
		return 0;
	return (double)g_array_index(waits, int64_t, (guint)(fraction * (waits->len - 1)));
}

static bool has_outcome(const struct sim_work *sw, const char *outcome)
{
	if (strcmp(outcome, "submitted") == 0)
		return true;
	if (strcmp(outcome, "started") == 0)
		return sw->started_ms >= 0;
	if (strcmp(outcome, "done") == 0)
		return sw->done;
	if (strcmp(outcome, "in_time") == 0)
		return sw->done && !sw->late;
	if (strcmp(outcome, "late") == 0)
		return sw->late;
	if (strcmp(outcome, "never_fits") == 0)
		return sw->refusals && sw->refuse_reason == REFUSE_NEVER_FITS;
	if (strcmp(outcome, "not_run") == 0) /* refused and never started */
		return sw->started_ms < 0 && sw->refusals && !sw->cancelled;
	if (strcmp(outcome, "refused_later") == 0) /* only after it had waited */
		return sw->started_ms < 0 && sw->refusals && !sw->cancelled &&
		       sw->last_refused_ms > sw->submitted_ms;
	return strcmp(outcome, "cancelled") == 0 && sw->cancelled;
}

double trace_sim_measure(const struct trace_sim *sim, const struct trace_event *expect)
{
	uint32_t n = 0;

	if (strcmp(expect->name, "wait_p50_ms") == 0)
		return quantile(sim, expect, 0.5);
	if (strcmp(expect->name, "wait_p99_ms") == 0)
		return quantile(sim, expect, 0.99);
	if (strcmp(expect->name, "wait_max_ms") == 0)
		return quantile(sim, expect, 1);
	if (strcmp(expect->name, "overruns") == 0)
		return sim->mem_overruns;
	if (strcmp(expect->name, "worker_starts") == 0)
		return g_array_index(sim->cell.workers, struct cell_worker,
				     (guint)expect->select_worker)
			.starts;
	for (guint i = 0; i < sim->works->len; i++)
		n += is_selected(sim->works->pdata[i], expect) &&
		     has_outcome(sim->works->pdata[i], expect->name);
	return n;
}
