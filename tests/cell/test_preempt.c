#include <criterion/criterion.h>

#include "bed.h"

/* Where tasks go: room, spread, labels and racks, and the room that is made or kept for large ones.
 */

#define ID_A "00000000000000a1"
#define ID_B "00000000000000b2"

Test(preempt, room_is_never_given_twice)
{
	struct bed *b = bed_plain(2, 1000);

	bed_submit(b, bed_job(ID_A, "urgent", 7, 300));
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 6, "three of 300 fit on each runner of 1000");
	bed_accept_all(b);
	bed_pass(b, 1);
	cr_assert_eq(b->batch, 0);
	bed_destroy(b);
}

Test(preempt, spread)
{
	struct bed *b = bed_plain(3, 1000);
	Cell__Job *job = bed_job(ID_A, "urgent", 7, 10);

	job->step[0]->spread_max = 2;
	bed_submit(b, job);
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 6);
	bed_destroy(b);
}

Test(preempt, labels_and_racks)
{
	struct bed *b = bed_plain(4, 1000);
	Cell__Job *near = bed_job(ID_A, "urgent", 2, 400);
	Cell__Job *labelled = bed_job(ID_B, "urgent", 1, 400);

	g_free(near->step[0]->rack);
	near->step[0]->rack = g_strdup("rack1");
	g_free(labelled->step[0]->label);
	labelled->step[0]->label = g_strdup("none");
	bed_submit(b, near);
	bed_submit(b, labelled);
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 2, "no runner has the label");
	for (guint i = 0; i < b->start->len; i++)
		cr_assert(g_str_equal(bed_start_at(b, i)->runner, "r1") ||
			  g_str_equal(bed_start_at(b, i)->runner, "r3"));
	bed_destroy(b);
}

Test(preempt, gangs_start_whole_or_not_at_all)
{
	struct bed *b = bed_plain(2, 1000);
	Cell__Job *big = bed_job(ID_A, "urgent", 3, 600);
	Cell__Job *fits = bed_job(ID_B, "urgent", 2, 600);

	big->step[0]->gang = true;
	fits->step[0]->gang = true;
	bed_submit(b, big);
	bed_pass(b, 1);
	cr_assert_eq(b->batch, 0);
	bed_cancel(b, ID_A);
	bed_submit(b, fits);
	bed_pass(b, 1);
	bed_ack(b);
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 2);
	cr_assert_eq(bed_start_at(b, 0)->run, bed_start_at(b, 1)->run);
	bed_destroy(b);
}

Test(preempt, a_gang_that_lost_a_member_is_stopped_and_started_with_one_run)
{
	struct bed *b = bed_plain(2, 1000);
	Cell__Job *job = bed_job(ID_A, "urgent", 2, 600);
	g_autofree char *runner = NULL;

	job->step[0]->gang = true;
	bed_submit(b, job);
	bed_pass(b, 1);
	bed_ack(b);
	bed_start_answer(b, ID_A ".0.0.0", START_OK);
	bed_start_answer(b, ID_A ".0.0.1", START_REFUSED);
	cr_assert_eq(b->stop->len, 1);
	runner = g_strdup(g_array_index(b->stop, struct bed_stop, 0).runner);
	bed_pass(b, 100);
	cr_assert_eq(b->start->len, 0, "not while the other one may run");
	bed_poll_answer(b, runner, NULL, 0, NULL, 0);
	bed_end(b, runner, 1, ID_A ".0.0.0", 1, END_STOPPED);
	bed_settle(b);
	bed_ack(b);
	bed_settle(b);
	bed_ack(b);
	cr_assert_eq(b->start->len, 2);
	cr_assert_eq(bed_start_at(b, 0)->run, 2);
	cr_assert_eq(bed_start_at(b, 1)->run, 2);
	bed_destroy(b);
}

struct preempt_case {
	const char *what;
	const char *queue; /* of the small tasks */
	bool checkpoints;
	uint32_t estimate_ms; /* a long estimate leaves more to spare */
	uint32_t stops;
};

/*
 * Pattern: a pool of accelerators at 90%. Small tasks are spread over all runners, and gangs that
 * need whole ones wait for seconds (damage-match, tracking). Tasks that save their progress and
 * have time to spare are stopped for them.
 */
Test(preempt, gangs_get_the_room_of_less_urgent_tasks)
{
	static const struct preempt_case cases[] = {
		{ "less urgent, saved", "batch", true, 5000, 2 },
		{ "nothing would be saved", "batch", false, 5000, 0 },
		{ "no time to spare", "batch", true, 2000, 0 },
		{ "as urgent", "urgent", true, 5000, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct bed *b = bed_plain(2, 1000);
		Cell__Job *small = bed_job(ID_A, cases[i].queue, 2, 300);
		Cell__Job *gang = bed_job(ID_B, "urgent", 2, 900);

		small->step[0]->checkpoints = cases[i].checkpoints;
		small->step[0]->estimate_ms = cases[i].estimate_ms;
		small->step[0]->spread_max = 1;
		small->stretch_milli = gang->stretch_milli = 2000;
		small->objective_ms = gang->objective_ms = 1000;
		gang->step[0]->gang = true;
		bed_run(b, small);
		cr_assert_eq(b->starts, 2, "%s", cases[i].what);
		bed_submit(b, gang);
		for (int k = 0; k < 3; k++)
			bed_pass(b, 1);
		cr_expect_eq(b->stop->len, cases[i].stops, "%s: %u", cases[i].what, b->stop->len);
		bed_destroy(b);
	}
}

/*
 * Pattern: large tasks of the second priority in a pool of small ones of the third (damage-match
 * and plate-read): as each small one ended, the next took its place, and the large ones never
 * started.
 */
Test(preempt, large_tasks_get_the_room_that_small_ones_leave)
{
	struct bed *b = bed_plain(1, 1000);
	Cell__Job *large = bed_job(ID_B, "urgent", 1, 900);
	const struct poll_ended end = {
		.seq = 1, .task = ID_A ".0.0.0", .run = 1, .end = END_DONE, .checkpoint = ""
	};

	bed_run(b, bed_job(ID_A, "batch", 6, 300));
	cr_assert_eq(b->starts, 3);
	large->stretch_milli = 5000;
	large->objective_ms = 10000;
	bed_submit(b, large);
	bed_pass(b, 1);
	bed_poll_answer(b, "r0", NULL, 0, &end, 1);
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 3, "what is free is kept for the large one");
	bed_destroy(b);
}

/* Where the small tasks save their progress and can wait, they are stopped for it. */
Test(preempt, small_tasks_are_stopped_for_a_large_one)
{
	struct bed *b = bed_plain(1, 1000);
	Cell__Job *small = bed_job(ID_A, "batch", 3, 300);
	Cell__Job *large = bed_job(ID_B, "urgent", 1, 800);

	small->step[0]->checkpoints = true;
	small->stretch_milli = large->stretch_milli = 5000;
	small->objective_ms = large->objective_ms = 10000;
	bed_run(b, small);
	bed_submit(b, large);
	for (int i = 0; i < 3; i++)
		bed_pass(b, 1);
	cr_assert_eq(b->stop->len, 2, "as few as make room, and only once");
	bed_destroy(b);
}
