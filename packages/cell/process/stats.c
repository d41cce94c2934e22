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

static GHashTable *count_waiting_jobs(const struct scheduler *s)
{
	GHashTable *count = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < s->open_jobs->len; i++) {
		const struct cell_job *j = s->open_jobs->pdata[i];
		gpointer n = g_hash_table_lookup(count, j->spec->team);

		if (!j->started && !cell_job_has_ended(j))
			g_hash_table_insert(count, j->spec->team,
					    GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
	}
	return count;
}

struct team_list {
	const struct teams *configured; /* NULL for none */
	GHashTable *waiting_jobs;
	void (*fn)(void *ctx, const struct scheduler_team *team);
	void *ctx;
};

static void list_team(const struct team_list *list, const struct team *team,
		      const struct team_sum *sum)
{
	const struct scheduler_team t = {
		.name = sum->team,
		.weight = team ? team->weight : 0,
		.cap = team ? team->cap : (struct resources){ 0 },
		.used = sum->used,
		.runs = sum->runs,
		.held_back = sum->held_back,
		.waiting_jobs =
			GPOINTER_TO_UINT(g_hash_table_lookup(list->waiting_jobs, sum->team)),
	};

	list->fn(list->ctx, &t);
}

static void list_other_team(void *ctx, const struct team_sum *sum)
{
	const struct team_list *list = ctx;

	if (sum->runs && !(list->configured && teams_find(list->configured, sum->team)))
		list_team(list, NULL, sum);
}

void scheduler_each_team(const struct scheduler *s,
			 void (*fn)(void *ctx, const struct scheduler_team *team), void *ctx)
{
	struct team_list list = { .configured = s->queues ? queues_teams(s->queues) : NULL,
				  .waiting_jobs = count_waiting_jobs(s),
				  .fn = fn,
				  .ctx = ctx };

	for (size_t i = 0; list.configured && i < teams_count(list.configured); i++) {
		const struct team *team = teams_at(list.configured, i);
		struct team_sum sum = team_use_sum(s->team_use, team->name);

		list_team(&list, team, &sum);
	}
	team_use_each(s->team_use, list_other_team, &list);
	g_hash_table_unref(list.waiting_jobs);
}
