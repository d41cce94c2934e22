#include "advice_request.h"
#include "overdue_steps.h"

#define OVERDUE_SEARCHES_MAX 16 /* steps per pass; each search visits the runners of a pool */

static int by_wait(gconstpointer a, gconstpointer b)
{
	int64_t x = ((const struct overdue_step *)a)->step->advice->waiting_since_ms;
	int64_t y = ((const struct overdue_step *)b)->step->advice->waiting_since_ms;

	return x < y ? -1 : x > y;
}

/* Where more is in use, the order of ranks decides what is left to late jobs. */
static bool has_much_room(const struct pass_pool *pool)
{
	return pool->used.cpu_milli * 2 <= pool->capacity.cpu_milli &&
	       pool->used.mem_bytes * 2 <= pool->capacity.mem_bytes;
}

/* Adds the overdue steps of the job. Returns true if requests for them are long. */
static bool add_overdue(const struct pass *pass, struct cell_job *j, GArray *out)
{
	const struct queue *q = queues_find(pass->s->queues, j->spec->queue);
	const struct pass_pool *pool =
		g_hash_table_lookup(pass->pool, q ? q->service : j->spec->service);
	guint before = out->len;

	if (cell_job_has_ended(j) || !pool || !has_much_room(pool))
		return false;
	for (uint32_t k = 0; k < j->n_step; k++) {
		struct overdue_step o = { j, &j->step[k] };

		if (advice_request_is_overdue(pass->s, o.step) &&
		    pending_step_is_waiting(pass, j, o.step))
			g_array_append_val(out, o);
	}
	return out->len > before && advice_request_is_long(q);
}

GArray *overdue_steps_find(const struct pass *pass, bool *any_long)
{
	GArray *overdue = g_array_new(FALSE, FALSE, sizeof(struct overdue_step));

	*any_long = false;
	for (guint i = 0; i < pass->s->open_jobs->len; i++)
		*any_long |= add_overdue(pass, pass->s->open_jobs->pdata[i], overdue);
	g_array_sort(overdue, by_wait);
	g_array_set_size(overdue, MIN(overdue->len, OVERDUE_SEARCHES_MAX));
	return overdue;
}
