#include <criterion/criterion.h>

#include "fixture.h"
#include "process/headroom.h"

#define ID_A "00000000000000a1"
#define ID_B "00000000000000b2"
#define ID_C "00000000000000c3"

static struct fixture *mixed_fixture(void)
{
	struct fixture *f = fixture_create();

	fixture_add_queue(f, "urgent", "desk", 0, 3, 0);
	fixture_add_queue(f, "batch", "desk", 2, 3, 0);
	fixture_add_queue(f, "alone", "lab", 2, 3, 0);
	fixture_start_scheduler(f);
	fixture_add_runner(f, "r0", "desk", "rack0", 1000, 0);
	fixture_add_runner(f, "r1", "lab", "rack0", 1000, 0);
	fixture_poll_all(f);
	return f;
}

static Cell__Job *long_job(struct fixture *f, const char *id, const char *queue, uint32_t tasks)
{
	Cell__Job *job = fixture_new_job(id, queue, tasks, 100);

	job->stretch_milli = 4000;
	job->objective_ms = 30000;
	job->accepted_ms = f->wall_ms;
	return job;
}

/* A pool full of long tasks still has room for a burst of urgent ones. */
Test(headroom, batch_leaves_room_for_a_burst)
{
	struct fixture *f = mixed_fixture();

	fixture_submit(f, long_job(f, ID_A, "batch", 20));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 8, "8 x 100 of 1000, with a headroom of 150");
	fixture_submit(f, fixture_new_job(ID_B, "urgent", 5, 100));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 10, "urgent tasks use the rest");
	fixture_destroy(f);
}

Test(headroom, no_headroom_in_a_pool_without_urgent_queues)
{
	struct fixture *f = mixed_fixture();

	fixture_submit(f, long_job(f, ID_A, "alone", 20));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 10);
	fixture_destroy(f);
}

Test(headroom, no_headroom_for_a_job_without_time_to_spare)
{
	struct fixture *f = mixed_fixture();
	Cell__Job *job = long_job(f, ID_A, "batch", 20);

	job->accepted_ms = f->wall_ms - 30000;
	fixture_submit(f, job);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 10);
	fixture_destroy(f);
}

Test(headroom, no_headroom_for_lasting_tasks)
{
	struct fixture *f = mixed_fixture();
	Cell__Job *job = long_job(f, ID_A, "batch", 20);

	job->step[0]->lasting = true;
	fixture_submit(f, job);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 10);
	fixture_destroy(f);
}

/*
 * A pool with 80% in use, where small tasks leave each runner 15% to 20%. Gangs with time to spare
 * waited until they had less than HEADROOM_SLACK_MS left, and were late if anything else went
 * wrong.
 */
Test(headroom, a_gang_starts_in_the_room_that_small_tasks_leave)
{
	enum { RUNNERS = 4 };
	static const struct {
		const char *what;
		bool gang;
		uint32_t starts; /* of RUNNERS tasks */
	} cases[] = { { "a gang", true, RUNNERS }, { "single tasks", false, 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture *f = mixed_fixture();
		Cell__Job *job;
		uint32_t before;

		for (int k = 1; k < RUNNERS; k++) {
			g_autofree char *id = g_strdup_printf("q%d", k);

			fixture_add_runner(f, id, "desk", "rack0", 1000, 0);
		}
		fixture_advance(f, 1);
		fixture_poll_all(f);
		fixture_submit(f, long_job(f, ID_A, "batch", 8 * RUNNERS));
		fixture_advance(f, 1);
		fixture_ack_batch(f);
		before = f->starts;
		cr_assert_eq(before, 8 * RUNNERS, "the small tasks leave the headroom");
		job = long_job(f, ID_B, "batch", RUNNERS);
		job->step[0]->cpu_milli = 180;
		job->step[0]->gang = cases[i].gang;
		fixture_submit(f, job);
		fixture_advance(f, 1);
		if (f->batch)
			fixture_ack_batch(f);
		cr_expect_eq(f->starts - before, cases[i].starts, "%s: %u starts", cases[i].what,
			     f->starts - before);
		fixture_destroy(f);
	}
}

struct large_task_case {
	const char *what;
	uint32_t cpu_milli;
	uint32_t used_milli; /* of the only runner */
	uint32_t starts;
};

/*
 * Guards against tasks that wait beside empty runners: a task of more than 85 percent of a runner
 * never left the headroom free, and did not start for as long as its job had time to spare.
 */
Test(headroom, a_task_larger_than_the_headroom_leaves_starts_on_an_empty_runner)
{
	static const struct large_task_case cases[] = {
		{ "an empty runner", 900, 0, 1 },
		{ "all of an empty runner", 1000, 0, 1 },
		{ "a runner in use", 900, 50, 0 },
		{ "a task that leaves the headroom", 800, 50, 1 },
		{ "a task that doesn't", 840, 50, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture *f = mixed_fixture();
		Cell__Job *job = long_job(f, ID_A, "batch", 1);
		uint32_t before;

		if (cases[i].used_milli)
			fixture_submit_and_start(
				f, fixture_new_job(ID_B, "urgent", 1, cases[i].used_milli));
		before = f->starts;
		job->step[0]->cpu_milli = cases[i].cpu_milli;
		fixture_submit(f, job);
		fixture_advance(f, 1);
		if (f->batch)
			fixture_ack_batch(f);
		cr_expect_eq(f->starts - before, cases[i].starts, "%s: %u starts", cases[i].what,
			     f->starts - before);
		fixture_destroy(f);
	}
}

struct neighbour_case {
	const char *what;
	bool first_is_filler;
	bool second_is_filler;
	uint32_t first_target_ms;
	uint32_t second_target_ms;
	bool apart; /* they run on different runners of the two */
};

/* Fillers would slow down serving tasks that have a target for their tail latency. */
Test(headroom, fillers_and_serving_tasks_run_on_different_runners)
{
	static const struct neighbour_case cases[] = {
		{ "a filler beside a serving task", false, true, 50, 0, true },
		{ "a serving task beside a filler", true, false, 0, 50, true },
		{ "two fillers", true, true, 0, 0, false },
		{ "two serving tasks", false, false, 50, 50, false },
		{ "a filler beside any other task", false, true, 0, 0, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture *f = mixed_fixture();
		Cell__Job *first = fixture_new_job(ID_A, "urgent", 1, 100);
		Cell__Job *second = fixture_new_job(ID_B, "urgent", 1, 100);

		fixture_add_runner(f, "r2", "desk", "rack0", 1000, 0);
		fixture_advance(f, 1);
		fixture_poll_all(f);
		/* All are of the tightest fit on the runner where a core is in use. */
		fixture_submit_and_start(f, fixture_new_job(ID_C, "urgent", 1, 100));
		first->step[0]->filler = cases[i].first_is_filler;
		first->step[0]->tail_target_ms = cases[i].first_target_ms;
		second->step[0]->filler = cases[i].second_is_filler;
		second->step[0]->tail_target_ms = cases[i].second_target_ms;
		fixture_submit(f, first);
		fixture_submit(f, second);
		fixture_advance(f, 1);
		fixture_ack_batch(f);
		cr_assert_eq(f->start->len, 2, "%s: %u starts", cases[i].what, f->start->len);
		cr_expect_eq(!g_str_equal(fixture_start_at(f, 0)->runner,
					  fixture_start_at(f, 1)->runner),
			     cases[i].apart, "%s: on %s and %s", cases[i].what,
			     fixture_start_at(f, 0)->runner, fixture_start_at(f, 1)->runner);
		fixture_destroy(f);
	}
}
