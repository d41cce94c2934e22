#include <string.h>

#include <glib.h>

#include "policy.h"

#define STRIKE_COST ((uint64_t)1 << 50)
#define RACK_COST   ((uint64_t)1 << 40)

/*
 * A team's own requests may make the rest wait for no longer than what is left of the time to the
 * deadline, so some of it is left for other teams, however many send a burst at once.
 */
static bool crowds_out(const struct policy_ask *ask)
{
	int64_t left_ms = ask->w->deadline_ms - ask->now_ms - ask->expected_run_ms - ask->wait_ms;

	return ask->w->class == WORK_REQUEST && ask->w->deadline_ms && ask->team_wait_ms > left_ms;
}

static enum refuse_reason admit_deadline(const struct policy_ask *ask)
{
	const struct work *w = ask->w;
	int64_t start_ms = ask->now_ms + ask->wait_ms;

	if (w->class == WORK_URGENT && ask->wait_ms > ask->urgent_start_ms)
		return REFUSE_DEADLINE;
	if (w->deadline_ms && start_ms + ask->expected_run_ms > w->deadline_ms)
		return REFUSE_DEADLINE;
	if (crowds_out(ask))
		return REFUSE_QUEUE_FULL;
	return REFUSE_REASONS;
}

static enum refuse_reason admit_all(const struct policy_ask *ask)
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

static double team_dominant(const struct fair_team *t, const struct item *head,
			    const struct res *total)
{
	return fair_dominant(t, total) / t->weight;
}

static double team_arrival(const struct fair_team *t, const struct item *head,
			   const struct res *total)
{
	return (double)head->seq;
}

/* Parts of the worker left free after the work, in thousandths, summed. */
static uint64_t left_milli(const struct policy_place *p)
{
	const struct res *total = &p->worker->total;
	uint64_t left = 0;

	if (total->cpu_milli)
		left += 1000ull * (p->free.cpu_milli - p->w->size.cpu_milli) / total->cpu_milli;
	if (total->mem_bytes >> 10)
		left += 1000ull * ((p->free.mem_bytes - p->w->size.mem_bytes) >> 10) /
			(total->mem_bytes >> 10);
	if (total->accel)
		left += 1000ull * (p->free.accel - p->w->size.accel) / total->accel;
	return left;
}

static uint64_t score_tightest(const struct policy_place *p)
{
	uint64_t spread = p->w->class == WORK_SERVICE ? p->same_job_on_rack * RACK_COST : 0;

	return p->strikes * STRIKE_COST + spread + left_milli(p);
}

static uint64_t score_first(const struct policy_place *p)
{
	return 0;
}

static uint64_t score_widest(const struct policy_place *p)
{
	return 4000 - left_milli(p);
}

static bool preempt_batch(const struct item *victim, const struct item *it)
{
	return it->w.class < WORK_BATCH && victim->w.class > it->w.class;
}

/* Processors can be throttled to what was declared; memory that is in use can't be taken back. */
static struct res usage_memory(const struct work *w, const struct res *used)
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
		.team_order = team_dominant,
		.score = score_tightest,
		.preempt = preempt_batch,
		.on_usage = usage_memory,
		.search_order = SEARCH_BEST_FIT,
		.reserves = true,
		.holds = true,
		.learns = true,
	},
	{
		.name = "first-fit-fifo",
		.admit = admit_all,
		.order = order_arrival,
		.team_order = team_arrival,
		.score = score_first,
		.search_order = SEARCH_FIRST_FIT,
	},
	{
		.name = "least-loaded",
		.admit = admit_all,
		.order = order_arrival,
		.team_order = team_arrival,
		.score = score_widest,
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
