#include "target.h"
#include "yield.h"

static uint32_t on_runner(const struct exec *e, const struct target *t)
{
	uint32_t n = 0;

	for (guint i = 0; i < e->run->len; i++) {
		const struct run *r = e->run->pdata[i];

		if (r->job == t->job && r->task >= t->step->first_task &&
		    r->task < t->step->first_task + t->step->spec->count)
			n++;
	}
	return n;
}

bool target_suits(const struct target *t, const struct exec *e)
{
	const Cell__Step *spec = t->step->spec;

	if (!amount_fits(&t->need, &e->room))
		return false;
	if (*spec->label && !exec_has_label(e, spec->label))
		return false;
	return !t->advised || advice_verdict(t->step->advice, e->handle) != VERDICT_DENIED;
}

/*
 * Tasks that fill disturb tasks that serve with a bound on their response times, by amounts that
 * nobody knows beforehand; they are kept on different runners.
 */
static bool disturbs(const struct target *t, const struct exec *e)
{
	const Cell__Step *spec = t->step->spec;

	if (!spec->filler && !spec->tail_target_ms)
		return false;
	for (guint i = 0; i < e->run->len; i++) {
		const struct run *r = e->run->pdata[i];
		const Cell__Step *other = cell_job_step_of(r->job, r->task)->spec;

		if (spec->filler ? other->tail_target_ms > 0 : other->filler)
			return true;
	}
	return false;
}

bool target_has_room(const struct target *t, const struct exec *e)
{
	if (!yield_fits(e, &t->need, t->yield))
		return false;
	if (disturbs(t, e))
		return false;
	return !t->step->spec->spread_max || on_runner(e, t) < t->step->spec->spread_max;
}

int64_t target_rate(const struct target *t, const struct exec *e)
{
	struct amount free = exec_free(e);
	int64_t score = 0;

	if (*t->step->spec->rack && g_strcmp0(e->rack, t->step->spec->rack) != 0)
		score += 1000000;
	score += (free.accel - t->need.accel) * 10000;
	score += (free.cpu_milli - t->need.cpu_milli) * 1000 / MAX(e->room.cpu_milli, 1);
	return score;
}

int target_by_free(gconstpointer a, gconstpointer b)
{
	struct amount x = exec_free(*(struct exec *const *)a);
	struct amount y = exec_free(*(struct exec *const *)b);

	if (x.accel != y.accel)
		return x.accel > y.accel ? -1 : 1;
	return x.cpu_milli > y.cpu_milli ? -1 : x.cpu_milli < y.cpu_milli;
}
