#include "preempt.h"
#include "job_rank.h"

/* A runner that may get members. */
struct candidate {
	struct cell_runner *runner;
	struct resources free; /* with that of runs being stopped, less that of members placed */
	GPtrArray *victims;    /* struct run, largest first; the first `taken` are to be stopped */
	guint taken;
};

static bool can_preempt(const struct preempt_request *req, const struct run *r)
{
	const Cell__Step *spec = cell_job_step_of(r->job, r->task)->spec;

	if (!req->may_stop || r->state != RUN_CONFIRMED || r->job->spec->priority <= req->priority)
		return false;
	if (!spec->checkpoints || spec->gang || spec->lasting)
		return false;
	return job_slack_ms(r->job, req->wall_ms) >= PREEMPT_SLACK_MS;
}

static int by_size(gconstpointer a, gconstpointer b)
{
	const struct run *x = *(struct run *const *)a;
	const struct run *y = *(struct run *const *)b;

	if (x->need.accel != y->need.accel)
		return x->need.accel > y->need.accel ? -1 : 1;
	return x->need.cpu_milli > y->need.cpu_milli ? -1 : x->need.cpu_milli < y->need.cpu_milli;
}

static void candidate_init(struct candidate *candidate, const struct preempt_request *req,
			   struct cell_runner *rn)
{
	*candidate = (struct candidate){ .runner = rn,
					 .free = cell_runner_free_capacity(rn),
					 .victims = g_ptr_array_new() };
	for (guint i = 0; i < rn->runs->len; i++) {
		struct run *r = rn->runs->pdata[i];

		if (r->stopping)
			resources_add(&candidate->free, &r->need);
		else if (can_preempt(req, r))
			g_ptr_array_add(candidate->victims, r);
	}
	g_ptr_array_sort(candidate->victims, by_size);
}

/* Number of further runs to stop for one more member; UINT32_MAX if all are not enough. */
static guint victims_needed(const struct candidate *candidate, const struct resources *need)
{
	struct resources free = candidate->free;
	guint n = 0;

	while (!resources_fits(need, &free)) {
		const struct run *r;

		if (candidate->taken + n >= candidate->victims->len)
			return UINT32_MAX;
		r = candidate->victims->pdata[candidate->taken + n++];
		resources_add(&free, &r->need);
	}
	return n;
}

static void place_member(struct candidate *candidate, const struct resources *need, guint victims)
{
	for (; victims; victims--) {
		const struct run *r = candidate->victims->pdata[candidate->taken++];

		resources_add(&candidate->free, &r->need);
	}
	resources_sub(&candidate->free, need);
}

static struct candidate *best_candidate(struct candidate *candidate, guint n,
					const struct resources *need, guint *victims)
{
	struct candidate *best = NULL;

	*victims = UINT32_MAX;
	for (guint i = 0; i < n; i++) {
		guint cost = victims_needed(&candidate[i], need);

		if (cost < *victims) {
			best = &candidate[i];
			*victims = cost;
		}
	}
	return best;
}

bool preempt_plan(const struct preempt_request *req, struct cell_runner **out, GPtrArray *victims)
{
	guint n = req->candidates->len;
	g_autofree struct candidate *candidate = g_new(struct candidate, n + 1);
	uint32_t members = 0;

	for (guint i = 0; i < n; i++)
		candidate_init(&candidate[i], req, req->candidates->pdata[i]);
	for (; members < req->count; members++) {
		guint cost;
		struct candidate *best = best_candidate(candidate, n, &req->need, &cost);

		if (!best)
			break;
		place_member(best, &req->need, cost);
		out[members] = best->runner;
	}
	for (guint i = 0; i < n; i++) {
		for (guint k = 0; members == req->count && k < candidate[i].taken; k++)
			g_ptr_array_add(victims, candidate[i].victims->pdata[k]);
		g_ptr_array_unref(candidate[i].victims);
	}
	return members == req->count;
}
