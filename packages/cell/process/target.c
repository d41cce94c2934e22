#include "target.h"
#include "yield.h"

static uint32_t on_runner(const struct cell_runner *rn, const struct target *t)
{
	uint32_t n = 0;

	for (guint i = 0; i < rn->runs->len; i++) {
		const struct run *r = rn->runs->pdata[i];

		if (r->job == t->job && r->task >= t->step->first_task &&
		    r->task < t->step->first_task + t->step->spec->count)
			n++;
	}
	return n;
}

bool target_suits(const struct target *t, const struct cell_runner *rn)
{
	const Cell__Step *spec = t->step->spec;

	if (!resources_fits(&t->need, &rn->capacity))
		return false;
	if (*spec->label && !cell_runner_has_label(rn, spec->label))
		return false;
	return !t->advised || advice_verdict(t->step->advice, rn->handle) != VERDICT_DENIED;
}

/*
 * Tasks that fill disturb tasks that serve with a bound on their response times, by amounts that
 * nobody knows beforehand; they are kept on different runners.
 */
static bool disturbs(const struct target *t, const struct cell_runner *rn)
{
	const Cell__Step *spec = t->step->spec;

	if (!spec->filler && !spec->tail_target_ms)
		return false;
	for (guint i = 0; i < rn->runs->len; i++) {
		const struct run *r = rn->runs->pdata[i];
		const Cell__Step *other = cell_job_step_of(r->job, r->task)->spec;

		if (spec->filler ? other->tail_target_ms > 0 : other->filler)
			return true;
	}
	return false;
}

bool target_has_room(const struct target *t, const struct cell_runner *rn)
{
	if (!yield_fits(rn, &t->need, t->yield))
		return false;
	if (disturbs(t, rn))
		return false;
	return !t->step->spec->spread_max || on_runner(rn, t) < t->step->spec->spread_max;
}

int64_t target_rate(const struct target *t, const struct cell_runner *rn)
{
	struct resources free = cell_runner_free_capacity(rn);
	int64_t score = 0;

	if (*t->step->spec->rack && g_strcmp0(rn->rack, t->step->spec->rack) != 0)
		score += 1000000;
	score += (free.accel - t->need.accel) * 10000;
	score += (free.cpu_milli - t->need.cpu_milli) * 1000 / MAX(rn->capacity.cpu_milli, 1);
	return score;
}

int target_by_free(gconstpointer a, gconstpointer b)
{
	struct resources x = cell_runner_free_capacity(*(struct cell_runner *const *)a);
	struct resources y = cell_runner_free_capacity(*(struct cell_runner *const *)b);

	if (x.accel != y.accel)
		return x.accel > y.accel ? -1 : 1;
	return x.cpu_milli > y.cpu_milli ? -1 : x.cpu_milli < y.cpu_milli;
}
