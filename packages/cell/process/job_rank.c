#include "job_rank.h"

/* Estimated time of the longest chain of steps in one occurrence. */
static int64_t longest_chain(const struct cell_job *j, const struct job_step *base,
			     bool remaining_only)
{
	size_t n = j->spec->n_step;
	g_autofree int64_t *end = g_new0(int64_t, n);
	int64_t longest = 0;

	for (size_t i = 0; i < n; i++) {
		const struct job_step *s = &base[i];
		bool done = s->done >= s->spec->count;

		for (size_t k = 0; k < s->spec->n_after; k++)
			end[i] = MAX(end[i], end[s->spec->after[k]]);
		if (!remaining_only || !done)
			end[i] += s->spec->estimate_ms;
		longest = MAX(longest, end[i]);
	}
	return longest;
}

/* First occurrence that isn't done; a job without a schedule has only one. */
static const struct job_step *open_occurrence(const struct cell_job *j, uint32_t *occurrence)
{
	size_t n = j->spec->n_step;

	for (uint32_t o = 0; o * n < j->n_step; o++)
		for (size_t i = 0; i < n; i++)
			if (j->step[o * n + i].done < j->step[o * n + i].spec->count) {
				*occurrence = o;
				return &j->step[o * n];
			}
	*occurrence = 0;
	return j->step;
}

/* Estimates and the stretch may be of any size. */
static int64_t stretched_ms(int64_t chain_ms, uint32_t stretch_milli)
{
	int64_t product;

	if (__builtin_mul_overflow(chain_ms, (int64_t)stretch_milli, &product))
		return JOB_TIME_MAX_MS;
	return MIN(product / 1000, JOB_TIME_MAX_MS);
}

struct job_estimate {
	int64_t begin_ms; /* start of the objective */
	int64_t objective_ms;
	int64_t remaining_ms;
};

static struct job_estimate estimate_job(const struct cell_job *j)
{
	uint32_t occurrence;
	const struct job_step *base = open_occurrence(j, &occurrence);
	int64_t due_ms = cell_job_due_ms(j, occurrence);

	return (struct job_estimate){
		.begin_ms = MAX(due_ms, j->spec->accepted_ms),
		.objective_ms =
			stretched_ms(longest_chain(j, base, false), j->spec->stretch_milli) +
			j->spec->objective_ms,
		.remaining_ms = longest_chain(j, base, true),
	};
}

int64_t job_slack_ms(const struct cell_job *j, int64_t wall_ms)
{
	struct job_estimate e = estimate_job(j);

	return e.begin_ms + e.objective_ms - e.remaining_ms - JOB_STEP_OVERHEAD_MS - wall_ms;
}

struct job_rank job_rank_at(const struct cell_job *j, int64_t wall_ms)
{
	struct job_estimate e = estimate_job(j);
	struct job_rank r = { .priority = j->spec->priority, .key = e.begin_ms };
	int64_t end_ms = wall_ms + e.remaining_ms + JOB_STEP_OVERHEAD_MS - e.begin_ms;

	if (cell_job_has_lasting_step(j))
		r.tier = JOB_TIER_LASTING;
	else if (end_ms <= e.objective_ms)
		r.tier = JOB_TIER_IN_TIME;
	else if (end_ms <= JOB_OVERDUE_FACTOR * e.objective_ms)
		r.tier = JOB_TIER_LATE;
	else
		r.tier = JOB_TIER_OVERDUE;
	return r;
}

int job_rank_compare(const struct job_rank *a, const struct job_rank *b)
{
	if (a->tier != b->tier)
		return a->tier < b->tier ? -1 : 1;
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	return a->key < b->key ? -1 : a->key > b->key;
}
