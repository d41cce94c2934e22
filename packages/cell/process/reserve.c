#include "makeroom.h"
#include "order.h"
#include "reserve.h"

#define BLOCKED_STEPS 2	 /* steps of a pool that keep room free while they wait */
#define ROOM_STEPS    6	 /* steps of a pool for which others are stopped in one pass */
#define ROOM_TRIES    12 /* searches for such room in one pass; each goes over all runs there */

struct fit {
	struct cell_runner *runner;
	int64_t score; /* lower is tighter */
};

static int by_score(gconstpointer a, gconstpointer b)
{
	const struct fit *x = a;
	const struct fit *y = b;

	return x->score < y->score ? -1 : x->score > y->score;
}

void reserve_hoped(const struct target *t, uint32_t waiting)
{
	g_autoptr(GArray) fits = g_array_new(FALSE, FALSE, sizeof(struct fit));

	for (guint i = 0; i < t->candidates->len; i++) {
		struct fit fit = { .runner = t->candidates->pdata[i] };

		if (!target_has_room(t, fit.runner))
			continue;
		fit.score = target_rate(t, fit.runner);
		g_array_append_val(fits, fit);
	}
	g_array_sort(fits, by_score);
	for (guint i = 0; i < fits->len && waiting; i++) {
		struct cell_runner *rn = g_array_index(fits, struct fit, i).runner;

		while (waiting && target_has_room(t, rn)) {
			resources_add(&rn->reserved, &t->need);
			waiting--;
		}
	}
}

bool reserve_keep(const struct target *t, uint32_t waiting)
{
	g_autoptr(GPtrArray) candidates = g_ptr_array_new();

	if (t->pool->blocked >= BLOCKED_STEPS)
		return false;
	t->pool->blocked++;
	for (guint i = 0; i < t->candidates->len; i++)
		g_ptr_array_add(candidates, t->candidates->pdata[i]);
	g_ptr_array_sort(candidates, target_by_free);
	for (guint i = 0; i < candidates->len && waiting; i++, waiting--)
		resources_add(&((struct cell_runner *)candidates->pdata[i])->reserved, &t->need);
	return true;
}

/* Runners that may be ordered to run a task of the step, with room or without. */
static GPtrArray *approved(const struct target *t)
{
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < t->candidates->len; i++) {
		struct cell_runner *rn = t->candidates->pdata[i];

		if (!t->advised || advice_verdict(t->step->advice, rn->handle) == VERDICT_APPROVED)
			g_ptr_array_add(out, rn);
	}
	return out;
}

bool reserve_make(struct pass *pass, const struct target *t, uint32_t count)
{
	const Cell__Step *spec = t->step->spec;
	g_autoptr(GPtrArray) victims = g_ptr_array_new();
	g_autofree struct cell_runner **out = g_new0(struct cell_runner *, count);
	g_autoptr(GPtrArray) candidates = NULL;
	struct makeroom m = { .need = t->need, .count = count };

	if (spec->one_rack || spec->spread_max || t->pool->cleared >= ROOM_STEPS)
		return false;
	if (t->pool->tries++ >= ROOM_TRIES)
		return false;
	candidates = approved(t);
	m.candidates = candidates;
	m.priority = t->job->spec->priority;
	m.stop = order_slack_ms(t->job, pass->s->wall_ms) >= 0;
	m.wall_ms = pass->s->wall_ms;
	if (!makeroom_find(&m, out, victims))
		return false;
	t->pool->cleared++;
	for (guint i = 0; i < victims->len; i++) {
		scheduler_tell_run(pass->s, DECISION_PREEMPTED, victims->pdata[i]);
		scheduler_stop_run(pass->s, victims->pdata[i]);
	}
	for (uint32_t i = 0; i < count; i++)
		resources_add(&out[i]->reserved, &t->need);
	return true;
}
