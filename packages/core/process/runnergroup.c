#include <glib.h>

#include "runnergroup.h"

#define PICK_EXAMINE_MAX 16 /* runners examined for one request */
#define CANCELLED_MIN	 64 /* with fewer cancelled items, a queue is not swept */
#define RUN_MEAN_SHIFT	 4  /* a run time moves the mean by 1/16 of the difference */

struct runner_group *runner_group_create(uint32_t service,
					 bool (*before)(const void *a, const void *b))
{
	struct runner_group *g = g_new0(struct runner_group, 1);

	g->service = service;
	g->heap_index = HEAP_NONE;
	g->waiting_by_team = g_hash_table_new(NULL, NULL);
	g->expiry_ms = INT64_MAX;
	for (int i = 0; i < RUNNER_QUEUES; i++)
		heap_init(&g->queue[i], before, offsetof(struct item, heap_index));
	return g;
}

void runner_group_destroy(struct runner_group *g, void (*drop)(void *ctx, struct item *it),
			  void *ctx)
{
	for (int i = 0; i < RUNNER_QUEUES; i++) {
		for (uint32_t j = 0; j < g->queue[i].n; j++)
			drop(ctx, g->queue[i].element[j]);
		heap_clear(&g->queue[i]);
	}
	g_hash_table_destroy(g->waiting_by_team);
	g_free(g);
}

static uint32_t slots_free(const struct indexed_worker *w)
{
	return w->slots > w->slots_used ? w->slots - w->slots_used : 0;
}

static void unlink_runner(struct runner_group *g, struct worker_index *wi, uint32_t worker)
{
	struct worker_link *l = &worker_index_get(wi, worker)->group_link;
	uint32_t *head = &g->head[l->bucket];

	if (l->next == worker) {
		*head = 0;
		g->levels &= ~(1ull << l->bucket);
	} else {
		worker_index_get(wi, l->next)->group_link.prev = l->prev;
		worker_index_get(wi, l->prev)->group_link.next = l->next;
		if (*head == worker + 1)
			*head = l->next + 1;
	}
	l->bucket = BUCKET_NONE;
}

static void link_runner(struct runner_group *g, struct worker_index *wi, uint32_t worker,
			uint32_t level)
{
	struct worker_link *l = &worker_index_get(wi, worker)->group_link;
	uint32_t *head = &g->head[level];
	struct worker_link *first;

	l->bucket = level;
	g->levels |= 1ull << level;
	if (!*head) {
		l->prev = worker;
		l->next = worker;
		*head = worker + 1;
		return;
	}
	first = &worker_index_get(wi, *head - 1)->group_link;
	l->next = *head - 1;
	l->prev = first->prev;
	worker_index_get(wi, first->prev)->group_link.next = worker;
	first->prev = worker;
}

void runner_group_update(struct runner_group *g, struct worker_index *wi, uint32_t worker)
{
	struct indexed_worker *w = worker_index_get(wi, worker);
	uint32_t free = slots_free(w);

	g->free_slots -= w->counted_free_slots;
	g->slots -= w->counted_slots;
	w->counted_free_slots = worker_index_usable(w) ? free : 0;
	w->counted_slots = worker_index_usable(w) ? w->slots : 0;
	g->free_slots += w->counted_free_slots;
	g->slots += w->counted_slots;
	if (w->group_link.bucket != BUCKET_NONE)
		unlink_runner(g, wi, worker);
	if (w->counted_free_slots)
		link_runner(g, wi, worker, MIN(free, RUNNER_LEVELS - 1));
}

uint32_t runner_group_pick(const struct runner_group *g, const struct worker_index *wi,
			   const struct work *w)
{
	uint64_t levels = g->levels;
	uint32_t examined = 0;

	while (levels) {
		uint32_t l = 63 - (uint32_t)__builtin_clzll(levels);
		uint32_t first = g->head[l] - 1;
		uint32_t worker = first;

		levels &= ~(1ull << l);
		do {
			const struct indexed_worker *rw = worker_index_get(wi, worker);

			if (worker != w->avoid_worker && worker_index_slot_fits(rw, &w->size))
				return worker;
			if (++examined == PICK_EXAMINE_MAX)
				return WORKER_NONE;
			worker = rw->group_link.next;
		} while (worker != first);
	}
	return WORKER_NONE;
}

uint32_t runner_group_pick_first(const struct runner_group *g, const struct worker_index *wi,
				 const struct work *w)
{
	for (uint32_t i = 0; i < worker_index_count(wi); i++) {
		const struct indexed_worker *rw = worker_index_get(wi, i);

		if (rw && rw->service == g->service && rw->group_link.bucket != BUCKET_NONE &&
		    i != w->avoid_worker && worker_index_slot_fits(rw, &w->size))
			return i;
	}
	return WORKER_NONE;
}

uint32_t runner_group_reserved_slots(const struct runner_group *g, uint32_t share_milli)
{
	uint32_t share = (uint32_t)(((uint64_t)g->slots * share_milli + 999) / 1000);

	if (g->slots <= 1)
		return 0;
	share = MIN(share, g->slots - 1);
	return share > g->urgent_running ? share - g->urgent_running : 0;
}

static enum runner_queue queue_of(const struct item *it)
{
	return it->w.class == WORK_URGENT ? RUNNER_URGENT : RUNNER_OTHER;
}

uint32_t runner_group_team_waiting(const struct runner_group *g, uint32_t team)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(g->waiting_by_team, GUINT_TO_POINTER(team)));
}

static void count_waiting(struct runner_group *g, const struct item *it, uint32_t by)
{
	enum runner_queue q = queue_of(it);
	uint32_t n;

	g->waiting[q] += by;
	if (q != RUNNER_OTHER)
		return;
	g->waiting_by_deadline[it->deadline_bucket] += by;
	n = runner_group_team_waiting(g, it->w.team) + by;
	g_hash_table_insert(g->waiting_by_team, GUINT_TO_POINTER(it->w.team), GUINT_TO_POINTER(n));
}

void runner_group_push(struct runner_group *g, struct item *it)
{
	enum runner_queue q = queue_of(it);
	int64_t bucket = MAX(it->latest_start_ms, 0) / RUNNER_DEADLINE_BUCKET_MS;
	bool far = it->latest_start_ms - it->queued_ms >=
		   (int64_t)(RUNNER_DEADLINE_BUCKETS - 1) * RUNNER_DEADLINE_BUCKET_MS;

	it->deadline_bucket =
		far ? RUNNER_DEADLINE_FAR : (uint32_t)(bucket % RUNNER_DEADLINE_BUCKETS);
	count_waiting(g, it, 1);
	heap_push(&g->queue[q], it);
}

struct item *runner_group_top(struct runner_group *g, enum runner_queue q,
			      void (*drop)(void *ctx, struct item *it), void *ctx)
{
	struct item *it;

	while ((it = heap_top(&g->queue[q])) && it->state == ITEM_CANCELLED) {
		heap_pop(&g->queue[q]);
		g->cancelled[q]--;
		drop(ctx, it);
	}
	return it;
}

void runner_group_pop(struct runner_group *g, struct item *it)
{
	heap_remove(&g->queue[queue_of(it)], it);
	count_waiting(g, it, -1u);
}

struct drop_ctx {
	void (*drop)(void *ctx, struct item *it);
	void *ctx;
};

static bool keep_waiting(void *ctx, void *element)
{
	struct drop_ctx *s = ctx;
	struct item *it = element;

	if (it->state != ITEM_CANCELLED)
		return true;
	s->drop(s->ctx, it);
	return false;
}

void runner_group_cancel(struct runner_group *g, struct item *it,
			 void (*drop)(void *ctx, struct item *it), void *ctx)
{
	enum runner_queue q = queue_of(it);
	struct drop_ctx s = { .drop = drop, .ctx = ctx };

	count_waiting(g, it, -1u);
	it->state = ITEM_CANCELLED;
	if (++g->cancelled[q] < CANCELLED_MIN || g->cancelled[q] <= g->waiting[q])
		return;
	heap_filter(&g->queue[q], keep_waiting, &s);
	g->cancelled[q] = 0;
}

static uint32_t count_ahead(const struct runner_group *g, int64_t latest_start_ms, int64_t now_ms)
{
	int64_t from = now_ms / RUNNER_DEADLINE_BUCKET_MS;
	int64_t to = latest_start_ms / RUNNER_DEADLINE_BUCKET_MS;
	uint32_t n = 0;

	if (to - from >= RUNNER_DEADLINE_BUCKETS - 1)
		return g->waiting[RUNNER_OTHER];
	for (int64_t b = from; b <= to; b++)
		n += g->waiting_by_deadline[b % RUNNER_DEADLINE_BUCKETS];
	return n;
}

uint32_t runner_group_expected_wait_ms(const struct runner_group *g, enum work_class class,
				       int64_t latest_start_ms, uint32_t reserved, int64_t now_ms)
{
	uint32_t free = class == WORK_URGENT	   ? g->free_slots
			: g->free_slots > reserved ? g->free_slots - reserved
						   : 0;
	uint64_t before = g->waiting[RUNNER_URGENT];
	uint32_t slots = class == WORK_URGENT ? g->slots : g->slots - MIN(reserved, g->slots);
	uint64_t wait;

	if (class != WORK_URGENT)
		before += count_ahead(g, latest_start_ms, now_ms);
	if (before < free)
		return 0;
	if (!slots)
		return UINT32_MAX;
	wait = (before - free + 1) * g->run_mean_ms / slots;
	return (uint32_t)MIN(wait, UINT32_MAX);
}

void runner_group_note_run(struct runner_group *g, uint32_t run_ms)
{
	if (!g->run_mean_ms) {
		g->run_mean_ms = run_ms;
		return;
	}
	g->run_mean_ms += (uint32_t)(((int64_t)run_ms - g->run_mean_ms) >> RUN_MEAN_SHIFT);
}
