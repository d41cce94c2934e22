#include "scheduler_priv.h"

void scheduler_stats(const struct scheduler *s, struct scheduler_stats *stats)
{
	GHashTableIter it;
	gpointer value;

	*stats = s->stats;
	stats->open_jobs = s->open_jobs->len;
	stats->runners = g_hash_table_size(s->runners);
	g_hash_table_iter_init(&it, s->runners);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cell_runner *rn = value;

		stats->runs += rn->runs->len;
		stats->silent_runners += rn->misses > 0 || !rn->contacted;
	}
}

static void add_to_pool(GArray *pools, const struct cell_runner *rn)
{
	struct scheduler_pool fresh = { .service = rn->service };
	struct scheduler_pool *p = NULL;

	for (guint i = 0; i < pools->len && !p; i++) {
		p = &g_array_index(pools, struct scheduler_pool, i);
		if (!g_str_equal(p->service, rn->service))
			p = NULL;
	}
	if (!p) {
		g_array_append_val(pools, fresh);
		p = &g_array_index(pools, struct scheduler_pool, pools->len - 1);
	}
	p->runners++;
	resources_add(&p->capacity, &rn->capacity);
	resources_add(&p->used, &rn->used);
}

void scheduler_each_pool(const struct scheduler *s,
			 void (*fn)(void *ctx, const struct scheduler_pool *pool), void *ctx)
{
	g_autoptr(GArray) pools = g_array_new(FALSE, FALSE, sizeof(struct scheduler_pool));
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->runners);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cell_runner *rn = value;

		if (rn->service && scheduler_can_use_runner(s, rn))
			add_to_pool(pools, rn);
	}
	for (guint i = 0; i < pools->len; i++)
		fn(ctx, &g_array_index(pools, struct scheduler_pool, i));
}
