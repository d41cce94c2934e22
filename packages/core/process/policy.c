#include <string.h>

#include <glib.h>

#include "policy.h"

/* Failures outweigh the spread over racks, and both outweigh unused capacity. */
#define FAILURE_COST ((uint64_t)1 << 50)
#define RACK_COST    ((uint64_t)1 << 40)

/*
 * A request is refused if the team's own requests cause a longer wait than the slack that remains
 * before its deadline. So a burst of one team leaves time for the requests of other teams.
 */
static bool exceeds_team_share(const struct policy_admission *a)
{
	int64_t slack_ms = a->w->deadline_ms - a->now_ms - a->expected_run_ms - a->wait_ms;

	return a->w->class == WORK_REQUEST && a->w->deadline_ms && a->team_wait_ms > slack_ms;
}

static enum refuse_reason admit_deadline(const struct policy_admission *a)
{
	const struct work *w = a->w;
	int64_t start_ms = a->now_ms + a->wait_ms;

	if (w->class == WORK_URGENT && a->wait_ms > a->urgent_start_ms)
		return REFUSE_DEADLINE;
	if (w->deadline_ms && start_ms + a->expected_run_ms > w->deadline_ms)
		return REFUSE_DEADLINE;
	if (exceeds_team_share(a))
		return REFUSE_QUEUE_FULL;
	return REFUSE_REASONS;
}

static enum refuse_reason admit_all(const struct policy_admission *a)
{
	return REFUSE_REASONS;
}

static bool order_latest_start(const void *a, const void *b)
{
	const struct item *ia = a;
	const struct item *ib = b;

	if (ia->latest_start_ms != ib->latest_start_ms)
		return ia->latest_start_ms < ib->latest_start_ms;
	return ia->seq < ib->seq;
}

static bool order_arrival(const void *a, const void *b)
{
	return ((const struct item *)a)->seq < ((const struct item *)b)->seq;
}

static double key_dominant_share(const struct fair_team *t, const struct item *head,
				 const struct res *total)
{
	return fair_dominant_share(t, total) / t->weight;
}

static double key_arrival(const struct fair_team *t, const struct item *head,
			  const struct res *total)
{
	return (double)head->seq;
}

/* What stays free on the worker after placement: thousandths of each dimension, summed. */
static uint64_t unused_milli(const struct policy_candidate *c)
{
	const struct res *total = &c->worker->total;
	uint64_t left = 0;

	if (total->cpu_milli)
		left += 1000ull * (c->free.cpu_milli - c->w->size.cpu_milli) / total->cpu_milli;
	if (total->mem_bytes >> 10)
		left += 1000ull * ((c->free.mem_bytes - c->w->size.mem_bytes) >> 10) /
			(total->mem_bytes >> 10);
	if (total->accel)
		left += 1000ull * (c->free.accel - c->w->size.accel) / total->accel;
	return left;
}

static uint64_t score_best_fit(const struct policy_candidate *c)
{
	uint64_t spread = c->w->class == WORK_SERVICE ? c->same_job_on_rack * RACK_COST : 0;

	return c->failures * FAILURE_COST + spread + unused_milli(c);
}

static uint64_t score_none(const struct policy_candidate *c)
{
	return 0;
}

static uint64_t score_worst_fit(const struct policy_candidate *c)
{
	return 4000 - unused_milli(c); /* unused_milli() is at most 3000 */
}

static bool preempt_batch(const struct item *victim, const struct item *it)
{
	return it->w.class < WORK_BATCH && victim->w.class > it->w.class;
}

/* Processors can be throttled to the declared amount; memory in use can't be reclaimed. */
static struct res size_from_usage(const struct work *w, const struct res *used)
{
	struct res size = w->size;

	size.mem_bytes = MAX(size.mem_bytes, used->mem_bytes);
	if (!w->throttleable)
		size.cpu_milli = MAX(size.cpu_milli, used->cpu_milli);
	return size;
}

static const struct policy_ops policies[] = {
	{
		.name = "default",
		.admit = admit_deadline,
		.order = order_latest_start,
		.team_key = key_dominant_share,
		.score = score_best_fit,
		.preempt = preempt_batch,
		.on_usage = size_from_usage,
		.search_order = SEARCH_BEST_FIT,
		.reserves = true,
		.holds = true,
		.learns = true,
	},
	{
		.name = "first-fit-fifo",
		.admit = admit_all,
		.order = order_arrival,
		.team_key = key_arrival,
		.score = score_none,
		.search_order = SEARCH_FIRST_FIT,
	},
	{
		.name = "least-loaded",
		.admit = admit_all,
		.order = order_arrival,
		.team_key = key_arrival,
		.score = score_worst_fit,
		.search_order = SEARCH_WORST_FIT,
	},
};

const struct policy_ops *policy_find(const char *name)
{
	if (!name)
		return &policies[0];
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
		if (strcmp(policies[i].name, name) == 0)
			return &policies[i];
	return NULL;
}
