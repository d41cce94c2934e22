#include "preempt.h"
#include "job_rank.h"
#include "reserve.h"

#define RESERVING_STEPS_MAX  2	/* steps of a pool that reserve room while they wait */
#define PREEMPTING_STEPS_MAX 6	/* steps of a pool for which runs are stopped in one pass */
#define PREEMPT_SEARCHES_MAX 12 /* per pool and pass; each search visits all runs of the pool */

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

void reserve_for_advice(const struct pending_step *ps, uint32_t waiting)
{
	g_autoptr(GArray) fits = g_array_new(FALSE, FALSE, sizeof(struct fit));

	for (guint i = 0; i < ps->candidates->len; i++) {
		struct fit fit = { .runner = ps->candidates->pdata[i] };

		if (!pending_step_fits(ps, fit.runner))
			continue;
		fit.score = pending_step_score(ps, fit.runner);
		g_array_append_val(fits, fit);
	}
	g_array_sort(fits, by_score);
	for (guint i = 0; i < fits->len && waiting; i++) {
		struct cell_runner *rn = g_array_index(fits, struct fit, i).runner;

		while (waiting && pending_step_fits(ps, rn)) {
			resources_add(&rn->reserved, &ps->need);
			waiting--;
		}
	}
}

bool reserve_on_freest(const struct pending_step *ps, uint32_t waiting)
{
	g_autoptr(GPtrArray) candidates = g_ptr_array_new();

	if (ps->pool->reserving_steps >= RESERVING_STEPS_MAX)
		return false;
	ps->pool->reserving_steps++;
	for (guint i = 0; i < ps->candidates->len; i++)
		g_ptr_array_add(candidates, ps->candidates->pdata[i]);
	g_ptr_array_sort(candidates, pending_step_by_free);
	for (guint i = 0; i < candidates->len && waiting; i++, waiting--)
		resources_add(&((struct cell_runner *)candidates->pdata[i])->reserved, &ps->need);
	return true;
}

/* Candidates that the advisor has approved, with or without room. */
static GPtrArray *approved(const struct pending_step *ps)
{
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < ps->candidates->len; i++) {
		struct cell_runner *rn = ps->candidates->pdata[i];

		if (pending_step_is_approved(ps, rn))
			g_ptr_array_add(out, rn);
	}
	return out;
}

bool reserve_on_approved(const struct pending_step *ps, uint32_t count)
{
	uint32_t n = 0;

	for (guint i = 0; i < ps->candidates->len && n < count; i++) {
		struct cell_runner *rn = ps->candidates->pdata[i];

		if (advice_verdict(ps->step->advice, rn->handle) == VERDICT_APPROVED)
			n += pending_step_reserve(ps, rn, count - n);
	}
	return n > 0;
}

bool reserve_by_preemption(struct pass *pass, const struct pending_step *ps, uint32_t count)
{
	const Cell__Step *spec = ps->step->spec;
	g_autoptr(GPtrArray) victims = g_ptr_array_new();
	g_autofree struct cell_runner **out = g_new0(struct cell_runner *, count);
	g_autoptr(GPtrArray) candidates = NULL;
	struct preempt_request req = { .need = ps->need, .count = count };

	if (spec->one_rack || spec->spread_max ||
	    ps->pool->preempting_steps >= PREEMPTING_STEPS_MAX)
		return false;
	if (ps->pool->preempt_searches++ >= PREEMPT_SEARCHES_MAX)
		return false;
	candidates = approved(ps);
	req.candidates = candidates;
	req.priority = ps->job->spec->priority;
	req.may_stop = job_slack_ms(ps->job, pass->s->wall_ms) >= 0;
	req.wall_ms = pass->s->wall_ms;
	if (!preempt_plan(&req, out, victims))
		return false;
	ps->pool->preempting_steps++;
	for (guint i = 0; i < victims->len; i++) {
		scheduler_report_run(pass->s, DECISION_PREEMPTED, victims->pdata[i]);
		scheduler_stop_run(pass->s, victims->pdata[i]);
	}
	for (uint32_t i = 0; i < count; i++)
		resources_add(&out[i]->reserved, &ps->need);
	return true;
}
