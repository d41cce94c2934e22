#include "gang.h"

static bool before(const void *a, const void *b)
{
	return ((const struct gang *)a)->seq < ((const struct gang *)b)->seq;
}

void gangs_init(struct gangs *g)
{
	g->by_job = g_hash_table_new(g_int64_hash, g_int64_equal);
	heap_init(&g->complete, before, offsetof(struct gang, heap_index));
}

static void drop_waiting(struct gang *gang, void (*drop)(void *ctx, struct item *it), void *ctx)
{
	struct item *it;

	while ((it = gang->waiting.first)) {
		item_list_remove(&gang->waiting, it);
		drop(ctx, it);
	}
}

void gangs_clear(struct gangs *g, void (*drop)(void *ctx, struct item *it), void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	while ((value = heap_pop(&g->complete))) {
		struct gang *gang = value;

		drop_waiting(gang, drop, ctx);
		if (gang->size == 1)
			g_free(gang);
	}
	heap_clear(&g->complete);
	g_hash_table_iter_init(&iter, g->by_job);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		drop_waiting(value, drop, ctx);
		g_free(value);
	}
	g_hash_table_destroy(g->by_job);
}

static struct gang *gang_create(const struct item *it, uint32_t size)
{
	struct gang *gang = g_new0(struct gang, 1);

	gang->job = it->w.job;
	gang->size = size;
	gang->seq = it->seq;
	gang->queued_ms = it->queued_ms;
	gang->not_before_ms = it->queued_ms;
	gang->heap_index = HEAP_NONE;
	return gang;
}

static void requeue(struct gangs *g, struct gang *gang)
{
	bool complete = gang->waiting.n && gang->waiting.n + gang->running >= gang->size;

	if (complete && gang->heap_index == HEAP_NONE)
		heap_push(&g->complete, gang);
	else if (!complete)
		heap_remove(&g->complete, gang);
	if (gang->waiting.n || gang->running)
		return;
	if (gang->size > 1)
		g_hash_table_remove(g->by_job, &gang->job);
	g_free(gang);
}

static struct gang *gang_get(struct gangs *g, const struct item *it)
{
	struct gang *gang = NULL;

	if (it->w.gang_size > 1)
		gang = g_hash_table_lookup(g->by_job, &it->w.job);
	if (gang)
		return gang;
	gang = gang_create(it, MAX(it->w.gang_size, 1));
	if (gang->size > 1)
		g_hash_table_insert(g->by_job, &gang->job, gang);
	return gang;
}

void gangs_add(struct gangs *g, struct item *it)
{
	it->gang = gang_get(g, it);
	if (!it->gang->waiting.n) {
		it->gang->seq = it->seq;
		it->gang->queued_ms = it->queued_ms;
	}
	item_list_append(&it->gang->waiting, it);
	requeue(g, it->gang);
}

void gangs_adopt(struct gangs *g, struct item *it)
{
	it->gang = gang_get(g, it);
	it->gang->running++;
	requeue(g, it->gang);
}

void gangs_add_aged(struct gangs *g, struct item *it)
{
	struct gang *gang = gang_create(it, 1);

	it->gang = gang;
	item_list_append(&gang->waiting, it);
	requeue(g, gang);
}

void gangs_remove(struct gangs *g, struct item *it)
{
	struct gang *gang = it->gang;

	it->gang = NULL;
	item_list_remove(&gang->waiting, it);
	requeue(g, gang);
}

void gangs_started(struct gangs *g, struct gang *gang, uint32_t n)
{
	gang->running += n;
	requeue(g, gang);
}

void gangs_ended(struct gangs *g, struct item *it)
{
	struct gang *gang = it->gang;

	it->gang = NULL;
	gang->running--;
	requeue(g, gang);
}
