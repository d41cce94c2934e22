#include "ganghold.h"

#define HOLD_MIN_MS    30000   /* shortest time before a hold expires */
#define UPDATE_MS      1000    /* between updates of the expected start */
#define DEFAULT_RUN_MS 3600000 /* for work whose run time is not known */

struct candidate {
	uint32_t worker;
	uint32_t tasks; /* how many of the gang's tasks fit at ready_ms */
	int64_t ready_ms;
};

void gang_hold_init(struct gang_hold *h)
{
	*h = (struct gang_hold){ .workers = g_array_new(FALSE, FALSE, sizeof(uint32_t)) };
}

void gang_hold_clear(struct gang_hold *h)
{
	g_array_free(h->workers, TRUE);
}

/*
 * Work that has exceeded its expected run time goes on for as long again, but no longer than that
 * time: if all of it takes longer, work like this must not follow in its place.
 */
static int64_t expected_end(const struct item *it, int64_t now_ms)
{
	int64_t run_ms = it->expected_run_ms ? it->expected_run_ms : DEFAULT_RUN_MS;
	int64_t end = it->started_ms + run_ms;

	return end >= now_ms ? end : now_ms + MIN(now_ms - end, run_ms);
}

/* How many tasks fit once everything but services, urgent work and requests has ended, and when. */
static struct candidate evaluate(const struct worker_index *wi, uint32_t worker,
				 const struct res *size, int64_t now_ms)
{
	const struct indexed_worker *w = worker_index_get(wi, worker);
	struct candidate c = { .worker = worker, .ready_ms = now_ms };
	struct res free = worker_index_free_res(w, false);
	uint32_t now = worker_index_fit_count(&free, size);

	for (const struct item *it = w->running.first; it; it = it->next) {
		if (it->w.class == WORK_SERVICE || it->w.class == WORK_URGENT || it->w.slot)
			continue;
		res_add(&free, &it->w.size);
		c.ready_ms = MAX(c.ready_ms, expected_end(it, now_ms));
	}
	c.tasks = worker_index_fit_count(&free, size);
	if (c.tasks == now)
		c.ready_ms = now_ms;
	return c;
}

static int ready_first(const void *a, const void *b)
{
	const struct candidate *ca = a;
	const struct candidate *cb = b;

	if (ca->ready_ms != cb->ready_ms)
		return ca->ready_ms < cb->ready_ms ? -1 : 1;
	if (ca->tasks != cb->tasks)
		return ca->tasks > cb->tasks ? -1 : 1;
	return ca->worker < cb->worker ? -1 : 1;
}

static GArray *candidates(const struct worker_index *wi, const struct res *size, int64_t now_ms)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));

	for (uint32_t i = 0; i < worker_index_count(wi); i++) {
		const struct indexed_worker *w = worker_index_get(wi, i);
		struct candidate c;

		if (!w || !worker_index_usable(w))
			continue;
		c = evaluate(wi, i, size, now_ms);
		if (c.tasks)
			g_array_append_val(list, c);
	}
	g_array_sort(list, ready_first);
	return list;
}

bool gang_hold_take(struct gang_hold *h, struct worker_index *wi, const struct gang *gang,
		    int64_t now_ms)
{
	g_autoptr(GArray) list = candidates(wi, &gang->waiting.first->w.size, now_ms);
	uint32_t tasks = 0;
	guint n = 0;

	while (n < list->len && tasks < gang->waiting.n)
		tasks += g_array_index(list, struct candidate, n++).tasks;
	if (tasks < gang->waiting.n)
		return false;
	h->gang = gang;
	h->shadow_ms = now_ms;
	for (guint i = 0; i < n; i++) {
		const struct candidate *c = &g_array_index(list, struct candidate, i);

		g_array_append_val(h->workers, c->worker);
		h->shadow_ms = MAX(h->shadow_ms, c->ready_ms);
		worker_index_get(wi, c->worker)->held = true;
		worker_index_update(wi, c->worker);
	}
	h->until_ms = MAX(h->shadow_ms, now_ms + HOLD_MIN_MS);
	h->update_ms = MAX(h->shadow_ms, now_ms + UPDATE_MS);
	return true;
}

bool gang_hold_update(struct gang_hold *h, const struct worker_index *wi, int64_t now_ms)
{
	const struct res *size = &h->gang->waiting.first->w.size;
	int64_t before_ms = h->shadow_ms;

	if (now_ms < h->update_ms)
		return false;
	for (guint i = 0; i < h->workers->len; i++) {
		uint32_t worker = g_array_index(h->workers, uint32_t, i);

		if (worker_index_get(wi, worker))
			h->shadow_ms =
				MAX(h->shadow_ms, evaluate(wi, worker, size, now_ms).ready_ms);
	}
	h->update_ms = MAX(h->shadow_ms, now_ms + UPDATE_MS);
	return h->shadow_ms > before_ms;
}

void gang_hold_release(struct gang_hold *h, struct worker_index *wi)
{
	for (guint i = 0; i < h->workers->len; i++) {
		uint32_t worker = g_array_index(h->workers, uint32_t, i);

		if (!worker_index_get(wi, worker))
			continue;
		worker_index_get(wi, worker)->held = false;
		worker_index_update(wi, worker);
	}
	g_array_set_size(h->workers, 0);
	h->gang = NULL;
}
