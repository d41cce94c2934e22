#include <criterion/criterion.h>

#include "bed.h"
#include "process/headroom.h"

#define ID_A "00000000000000a1"
#define ID_B "00000000000000b2"

static struct bed *mixed_bed(void)
{
	struct bed *b = bed_create();

	bed_queue(b, "urgent", "desk", 0, 3, 0);
	bed_queue(b, "batch", "desk", 2, 3, 0);
	bed_queue(b, "alone", "lab", 2, 3, 0);
	bed_begin(b);
	bed_runner(b, "r0", "desk", "rack0", 1000, 0);
	bed_runner(b, "r1", "lab", "rack0", 1000, 0);
	bed_settle(b);
	return b;
}

static Cell__Job *long_job(struct bed *b, const char *id, const char *queue, uint32_t tasks)
{
	Cell__Job *job = bed_job(id, queue, tasks, 100);

	job->stretch_milli = 4000;
	job->objective_ms = 30000;
	job->accepted_ms = b->wall_ms;
	return job;
}

/* Pattern: a pool filled by long tasks, then a burst of urgent ones: there is room for them. */
Test(headroom, batch_leaves_room_to_a_burst)
{
	struct bed *b = mixed_bed();

	bed_submit(b, long_job(b, ID_A, "batch", 20));
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 8, "8 x 100 of 1000 and 150 left free");
	bed_submit(b, bed_job(ID_B, "urgent", 5, 100));
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 10, "the urgent ones take the rest");
	bed_destroy(b);
}

Test(headroom, a_pool_without_urgent_queues_is_filled)
{
	struct bed *b = mixed_bed();

	bed_submit(b, long_job(b, ID_A, "alone", 20));
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 10);
	bed_destroy(b);
}

Test(headroom, a_job_that_runs_out_of_time_takes_all)
{
	struct bed *b = mixed_bed();
	Cell__Job *job = long_job(b, ID_A, "batch", 20);

	job->accepted_ms = b->wall_ms - 30000;
	bed_submit(b, job);
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 10);
	bed_destroy(b);
}

Test(headroom, tasks_that_last_take_all)
{
	struct bed *b = mixed_bed();
	Cell__Job *job = long_job(b, ID_A, "batch", 20);

	job->step[0]->lasting = true;
	bed_submit(b, job);
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 10);
	bed_destroy(b);
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
		struct bed *b = mixed_bed();
		Cell__Job *first = bed_job(ID_A, "urgent", 1, 100);
		Cell__Job *second = bed_job(ID_B, "urgent", 1, 100);

		first->step[0]->filler = cases[i].first_fills;
		first->step[0]->tail_target_ms = cases[i].first_target_ms;
		second->step[0]->filler = cases[i].second_fills;
		second->step[0]->tail_target_ms = cases[i].second_target_ms;
		bed_submit(b, first);
		bed_submit(b, second);
		bed_pass(b, 1);
		bed_ack(b);
		cr_expect_eq(b->starts, cases[i].starts, "%s", cases[i].what);
		bed_destroy(b);
	}
}
