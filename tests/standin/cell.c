#include <stdio.h>

#include "cell.h"

static void fault(struct cell *c, const char *what, uint64_t id, uint32_t worker)
{
	if (!c->faults++)
		g_snprintf(c->fault, sizeof(c->fault), "%s: work %lu, worker %u, at %ld ms", what,
			   (unsigned long)id, worker, (long)c->now_ms);
}

static struct cell_worker *worker_at(struct cell *c, uint32_t worker)
{
	return &g_array_index(c->workers, struct cell_worker, worker);
}

static void count_gang(struct cell *c, const struct work *w)
{
	gpointer job = GSIZE_TO_POINTER(w->job);
	uint32_t n;

	if (w->gang_size <= 1)
		return;
	n = GPOINTER_TO_UINT(g_hash_table_lookup(c->gangs, job)) + 1;
	g_hash_table_insert(c->gangs, job, GUINT_TO_POINTER(n));
	if (n < w->gang_size)
		g_hash_table_add(c->partial_gangs, job);
	else
		g_hash_table_remove(c->partial_gangs, job);
}

static void on_start(void *ctx, uint64_t id, uint32_t worker)
{
	struct cell *c = ctx;
	struct cell_work *w = cell_work(c, id);
	struct cell_worker *cw;

	if (!w || worker >= c->workers->len) {
		fault(c, "start of unknown work or on an unknown worker", id, worker);
		return;
	}
	cw = worker_at(c, worker);
	if (w->running || w->ended || w->refused != REFUSE_REASONS)
		fault(c, "started twice or after its end", id, worker);
	if (cw->state != WORKER_READY)
		fault(c, "worker must not get new work", id, worker);
	w->running = true;
	w->started_ms = c->now_ms;
	w->worker = worker;
	c->started++;
	count_gang(c, &w->w);
	cw->running++;
	cw->starts++;
	cw->slots_used += w->w.slot;
	res_add(&cw->used, &w->w.size);
	if (!res_fits(&cw->used, &cw->info.total))
		fault(c, "exceeds the worker's size", id, worker);
	if (cw->slots_used > cw->info.slots)
		fault(c, "exceeds the worker's slots", id, worker);
	if (w->w.slot && w->w.service != cw->info.service)
		fault(c, "started on a runner of another service", id, worker);
	if (c->hooks && c->hooks->started)
		c->hooks->started(c->hooks_ctx, w);
}

static void on_refuse(void *ctx, uint64_t id, enum refuse_reason reason, uint32_t retry_after_ms)
{
	struct cell *c = ctx;
	struct cell_work *w = cell_work(c, id);

	if (!w || w->running || w->ended || w->refused != REFUSE_REASONS) {
		fault(c, "refused after it ran or was refused", id, 0);
		return;
	}
	w->refused = reason;
	w->retry_after_ms = retry_after_ms;
	c->refused[reason]++;
	if (c->hooks && c->hooks->refused)
		c->hooks->refused(c->hooks_ctx, w);
}

static void on_preempt(void *ctx, uint64_t id, uint32_t worker)
{
	struct cell *c = ctx;
	struct cell_work *w = cell_work(c, id);

	if (!w || !w->running || w->worker != worker || !w->w.preemptible || w->preempt)
		fault(c, "must not be preempted", id, worker);
	else
		w->preempt = true;
	if (w && c->hooks && c->hooks->preempt)
		c->hooks->preempt(c->hooks_ctx, w);
}

static const struct owner_ops cell_ops = {
	.start = on_start,
	.refuse = on_refuse,
	.preempt = on_preempt,
};

void cell_init(struct cell *c, const struct owner_conf *conf)
{
	struct owner_conf d;

	owner_conf_default(&d);
	*c = (struct cell){ .next_id = 1 };
	c->workers = g_array_new(FALSE, TRUE, sizeof(struct cell_worker));
	c->works = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	c->gangs = g_hash_table_new(NULL, NULL);
	c->partial_gangs = g_hash_table_new(NULL, NULL);
	c->owner = owner_create(conf ? conf : &d, &cell_ops, c);
	g_assert(c->owner);
}

void cell_clear(struct cell *c)
{
	owner_destroy(c->owner);
	g_array_free(c->workers, TRUE);
	g_hash_table_destroy(c->works);
	g_hash_table_destroy(c->gangs);
	g_hash_table_destroy(c->partial_gangs);
}

uint32_t cell_worker(struct cell *c, const struct worker_info *info)
{
	uint32_t worker = owner_worker_add(c->owner, info);

	if (worker >= c->workers->len)
		g_array_set_size(c->workers, worker + 1);
	*worker_at(c, worker) = (struct cell_worker){ .info = *info };
	cell_state(c, worker, WORKER_READY);
	return worker;
}

void cell_workers(struct cell *c, const struct worker_info *info, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		g_autofree char *rack = g_strdup_printf("r%u", i / 5);
		struct worker_info w = *info;

		w.rack = rack;
		cell_worker(c, &w);
		worker_at(c, c->workers->len - 1)->info.rack = NULL;
	}
}

void cell_state(struct cell *c, uint32_t worker, enum worker_state state)
{
	worker_at(c, worker)->state = state;
	owner_worker_set_state(c->owner, worker, state, c->now_ms);
}

static struct cell_work *work_new(struct cell *c, const struct work *w)
{
	struct cell_work *cw = g_new0(struct cell_work, 1);

	cw->w = *w;
	cw->w.id = c->next_id++;
	cw->submitted_ms = c->now_ms;
	cw->started_ms = -1;
	cw->refused = REFUSE_REASONS;
	g_hash_table_insert(c->works, &cw->w.id, cw);
	return cw;
}

uint64_t cell_adopt(struct cell *c, uint32_t worker, const struct work *w)
{
	struct cell_work *cw = work_new(c, w);

	cw->running = true;
	cw->worker = worker;
	worker_at(c, worker)->running++;
	worker_at(c, worker)->slots_used += w->slot;
	res_add(&worker_at(c, worker)->used, &w->size);
	owner_worker_adopt(c->owner, worker, &cw->w, c->now_ms);
	return cw->w.id;
}

void cell_remove(struct cell *c, uint32_t worker)
{
	for (uint64_t id = 1; id < c->next_id; id++) {
		struct cell_work *w = cell_work(c, id);

		if (!w || !w->running || w->worker != worker)
			continue;
		w->running = false;
		w->ended = true;
	}
	worker_at(c, worker)->state = WORKER_LOST;
	owner_worker_remove(c->owner, worker);
}

uint64_t cell_submit_data(struct cell *c, const struct work *w, void *data)
{
	struct cell_work *cw = work_new(c, w);

	cw->data = data;
	owner_submit(c->owner, &cw->w, c->now_ms, NULL);
	return cw->w.id;
}

uint64_t cell_submit(struct cell *c, const struct work *w)
{
	return cell_submit_data(c, w, NULL);
}

struct cell_work *cell_work(const struct cell *c, uint64_t id)
{
	return g_hash_table_lookup(c->works, &id);
}

uint32_t cell_run(struct cell *c)
{
	uint32_t n = owner_run(c->owner, c->now_ms);

	if (owner_next_ms(c->owner) <= c->now_ms)
		fault(c, "next run is not in the future", 0, 0);
	cell_check(c);
	return n;
}

void cell_end(struct cell *c, uint64_t id, enum end_result result)
{
	struct cell_work *w = cell_work(c, id);
	struct cell_worker *cw;

	if (!w || !w->running)
		return;
	cw = worker_at(c, w->worker);
	w->running = false;
	w->ended = true;
	w->failed = result != END_OK;
	cw->running--;
	cw->slots_used -= w->w.slot;
	res_sub(&cw->used, &w->w.size);
	owner_ended(c->owner, id, result, c->now_ms);
}

void cell_end_due(struct cell *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->works);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct cell_work *w = value;

		if (w->running && w->w.run_ms && c->now_ms - w->started_ms >= w->w.run_ms)
			cell_end(c, w->w.id, END_OK);
	}
}

void cell_check(struct cell *c)
{
	if (g_hash_table_size(c->partial_gangs))
		fault(c, "gang started in part", 0, 0);
}
