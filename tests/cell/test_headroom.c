#include <criterion/criterion.h>

#include "fixture.h"
#include "process/headroom.h"

#define ID_A "00000000000000a1"
#define ID_B "00000000000000b2"

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

/* Pattern: a pool filled by long tasks, then a burst of urgent ones: there is room for them. */
Test(headroom, batch_leaves_room_to_a_burst)
{
	struct fixture *f = mixed_fixture();

	fixture_submit(f, long_job(f, ID_A, "batch", 20));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 8, "8 x 100 of 1000 and 150 left free");
	fixture_submit(f, fixture_new_job(ID_B, "urgent", 5, 100));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 10, "the urgent ones take the rest");
	fixture_destroy(f);
}

Test(headroom, a_pool_without_urgent_queues_is_filled)
{
	struct fixture *f = mixed_fixture();

	fixture_submit(f, long_job(f, ID_A, "alone", 20));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 10);
	fixture_destroy(f);
}

Test(headroom, a_job_that_runs_out_of_time_takes_all)
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

Test(headroom, tasks_that_last_take_all)
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

struct neighbour_case {
	const char *what;
	bool first_fills;
	bool second_fills;
	uint32_t first_target_ms;
	uint32_t second_target_ms;
	uint32_t starts; /* of the two on one runner */
};

/* Pattern: serving tasks with a bound on their tail, beside tasks that fill what is left. */
Test(headroom, fillers_and_serving_tasks_stay_apart)
{
	static const struct neighbour_case cases[] = {
		{ "a filler beside a serving task", false, true, 50, 0, 1 },
		{ "a serving task beside a filler", true, false, 0, 50, 1 },
		{ "two fillers", true, true, 0, 0, 2 },
		{ "two serving tasks", false, false, 50, 50, 2 },
		{ "a filler beside any other task", false, true, 0, 0, 2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture *f = mixed_fixture();
		Cell__Job *first = fixture_new_job(ID_A, "urgent", 1, 100);
		Cell__Job *second = fixture_new_job(ID_B, "urgent", 1, 100);

		first->step[0]->filler = cases[i].first_fills;
		first->step[0]->tail_target_ms = cases[i].first_target_ms;
		second->step[0]->filler = cases[i].second_fills;
		second->step[0]->tail_target_ms = cases[i].second_target_ms;
		fixture_submit(f, first);
		fixture_submit(f, second);
		fixture_advance(f, 1);
		fixture_ack_batch(f);
		cr_expect_eq(f->starts, cases[i].starts, "%s", cases[i].what);
		fixture_destroy(f);
	}
}
