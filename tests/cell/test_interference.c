#include <criterion/criterion.h>

#include "workload.h"

/* Fillers and serving tasks with a target for their tail latency on the same runners. */

#define FILL  "00000000000000f1"
#define SERVE "00000000000000e1"

enum { RUNNERS = 4, TARGET_MS = 200, OVER_MS = 300, HARM_MS = 4000 };

static struct fixture *fixture_with_workload(struct workload **w, uint32_t tail_ms,
					     uint32_t tail_mixed_ms)
{
	struct fixture *f = fixture_default(RUNNERS, 32000);
	const struct workload_job serve = { SERVE, 0, END_DONE, tail_ms, tail_mixed_ms };

	*w = workload_create(f);
	workload_add(*w, &(struct workload_job){ FILL, 600000, END_DONE, 4000 });
	workload_add(*w, &serve);
	return f;
}

static void submit_fillers(struct fixture *f, uint32_t count)
{
	Cell__Job *job = fixture_new_job(FILL, "batch", count, 4000);

	job->step[0]->filler = true;
	job->step[0]->checkpoints = true;
	job->step[0]->spread_max = 1;
	job->step[0]->estimate_ms = 600000;
	fixture_submit(f, job);
}

static void submit_serving(struct fixture *f, uint32_t count)
{
	Cell__Job *job = fixture_new_job(SERVE, "urgent", count, 2000);

	job->step[0]->lasting = true;
	job->step[0]->tail_target_ms = TARGET_MS;
	job->step[0]->spread_max = 1;
	fixture_submit(f, job);
}

struct order_case {
	const char *what;
	bool fillers_first;
	uint32_t first;	 /* tasks of the kind that comes first */
	uint32_t shared; /* runners with both kinds afterwards */
};

static const struct order_case order_cases[] = {
	{ "fillers on all runners, then serving tasks", true, RUNNERS, 2 },
	{ "serving tasks on all runners, then fillers", false, RUNNERS, 2 },
	{ "fillers on half of the runners", true, 2, 0 },
	{ "serving tasks on half of the runners", false, 2, 0 },
};

/*
 * Guards against tasks that wait for ever: while each runner had a filler, serving tasks with a
 * target never started, and the other way round.
 */
Test(interference, neither_kind_keeps_the_other_from_starting)
{
	for (size_t i = 0; i < G_N_ELEMENTS(order_cases); i++) {
		const struct order_case *c = &order_cases[i];
		struct workload *w;
		struct fixture *f = fixture_with_workload(&w, 50, 150);
		uint32_t shared = 0;

		if (c->fillers_first)
			submit_fillers(f, c->first);
		else
			submit_serving(f, c->first);
		workload_run(w, 500);
		if (c->fillers_first)
			submit_serving(f, 2);
		else
			submit_fillers(f, 2);
		workload_run(w, 10000);
		for (uint32_t k = 0; k < RUNNERS; k++) {
			g_autofree char *id = g_strdup_printf("r%u", k);

			shared += workload_running(w, FILL, id) && workload_running(w, SERVE, id);
		}
		cr_expect_eq(workload_running(w, FILL, NULL) + workload_running(w, SERVE, NULL),
			     c->first + 2, "%s: %u fillers, %u serving tasks", c->what,
			     workload_running(w, FILL, NULL), workload_running(w, SERVE, NULL));
		cr_expect_eq(shared, c->shared, "%s: %u runners are shared", c->what, shared);
		cr_expect_eq(workload_stopped(w, ""), 0, "%s: no serving task is over its target",
			     c->what);
		workload_destroy(w);
		fixture_destroy(f);
	}
}

/* Plays ms; returns the longest time for which a filler ran beside a serving task. */
static int64_t longest_shared(struct workload *w, int64_t ms)
{
	int64_t now[RUNNERS] = { 0 };
	int64_t longest = 0;

	for (int64_t t = 0; t < ms; t += WORKLOAD_STEP_MS) {
		workload_run(w, WORKLOAD_STEP_MS);
		for (uint32_t k = 0; k < RUNNERS; k++) {
			g_autofree char *id = g_strdup_printf("r%u", k);
			bool shared =
				workload_running(w, FILL, id) && workload_running(w, SERVE, id);

			now[k] = shared ? now[k] + WORKLOAD_STEP_MS : 0;
			longest = MAX(longest, now[k]);
		}
	}
	return longest;
}

struct harm_case {
	const char *what;
	uint32_t tail_ms;
	uint32_t tail_mixed_ms;
	bool fillers_first;
	bool takeover; /* when the serving tasks have been over their target for half a second */
	bool stops;
};

static const struct harm_case harm_cases[] = {
	{ "over the target beside fillers", 50, OVER_MS, true, false, true },
	{ "fillers come later", 50, OVER_MS, false, false, true },
	{ "a new scheduler", 50, OVER_MS, true, true, true },
	{ "over the target without fillers too", OVER_MS, 0, true, false, true },
	{ "at the target", 50, TARGET_MS, true, false, false },
};

/*
 * Guards against serving tasks that stay over their target because of the fillers beside them
 * (HARM), and against fillers that are stopped and started all the time, or never again: what they
 * have done without a checkpoint is lost with each stop.
 */
Test(interference, fillers_are_stopped_for_a_time_while_serving_tasks_are_over_their_target)
{
	enum { PLAY_MS = 100000, STOPS_MAX = 4 }; /* after pauses of 10, 20 and 40 s */

	for (size_t i = 0; i < G_N_ELEMENTS(harm_cases); i++) {
		const struct harm_case *c = &harm_cases[i];
		struct workload *w;
		struct fixture *f = fixture_with_workload(&w, c->tail_ms, c->tail_mixed_ms);
		int64_t longest;

		if (c->fillers_first)
			submit_fillers(f, RUNNERS);
		else
			submit_serving(f, RUNNERS);
		workload_run(w, 500);
		if (c->fillers_first)
			submit_serving(f, RUNNERS);
		else
			submit_fillers(f, RUNNERS);
		workload_run(w, 500);
		if (c->takeover)
			fixture_replace_scheduler(f, false);
		longest = longest_shared(w, PLAY_MS);
		cr_expect_eq(workload_running(w, SERVE, NULL), RUNNERS, "%s", c->what);
		if (c->stops) {
			cr_expect_lt(longest, HARM_MS, "%s: fillers worked on for %d ms", c->what,
				     (int)longest);
			cr_expect_geq(workload_stopped(w, FILL), RUNNERS * 2, "%s: %u stops",
				      c->what, workload_stopped(w, FILL));
			cr_expect_leq(workload_stopped(w, FILL), RUNNERS * STOPS_MAX,
				      "%s: %u stops", c->what, workload_stopped(w, FILL));
		} else {
			cr_expect_eq(workload_stopped(w, FILL), 0, "%s", c->what);
			cr_expect_eq(workload_running(w, FILL, NULL), RUNNERS, "%s", c->what);
		}
		workload_destroy(w);
		fixture_destroy(f);
	}
}

/* A filler that was stopped for a serving task starts on a runner without one, if there is any. */
Test(interference, stopped_fillers_move_to_runners_without_serving_tasks)
{
	struct workload *w;
	struct fixture *f = fixture_with_workload(&w, 50, OVER_MS);

	submit_serving(f, 2);
	workload_run(w, 500);
	submit_fillers(f, RUNNERS);
	workload_run(w, 5000);
	cr_expect_eq(workload_stopped(w, FILL), 2, "%u stops", workload_stopped(w, FILL));
	cr_expect_eq(workload_running(w, FILL, NULL), 2, "%u run", workload_running(w, FILL, NULL));
	fixture_cancel(f, SERVE);
	workload_run(w, 1000);
	cr_expect_eq(workload_running(w, FILL, NULL), RUNNERS,
		     "no pause without serving tasks: %u run", workload_running(w, FILL, NULL));
	workload_destroy(w);
	fixture_destroy(f);
}
