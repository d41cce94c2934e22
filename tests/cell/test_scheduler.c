#include <criterion/criterion.h>

#include "bed.h"

#define ID_A "00000000000000a1"
#define ID_B "00000000000000b2"
#define ID_C "00000000000000c3"

Test(scheduler, a_start_waits_for_its_intent)
{
	struct bed *b = bed_plain(1, 1000);

	bed_submit(b, bed_job(ID_A, "urgent", 2, 100));
	bed_pass(b, 1);
	cr_assert_eq(b->starts, 0, "nothing is ordered before the log has it");
	cr_assert_neq(b->batch, 0);
	bed_ack(b);
	cr_assert_eq(b->starts, 2);
	cr_assert_eq(bed_start_at(b, 0)->run, 1);
	cr_assert_gt(bed_start_at(b, 0)->deadline_ms, 0);
	bed_destroy(b);
}

/*
 * Pattern: a slow store, in which the job's record and the intents of its first starts each take
 * half a second. Both are written at the same time, and neither is done without the other.
 */
Test(scheduler, a_job_is_planned_while_its_record_is_stored)
{
	struct bed *b = bed_plain(1, 1000);

	bed_offer(b, bed_job(ID_A, "urgent", 2, 400));
	bed_pass(b, 1);
	cr_assert_neq(b->batch, 0, "the intent does not wait");
	bed_ack(b);
	cr_assert_eq(b->starts, 0, "the job may never have been accepted");
	bed_submit(b, bed_job(ID_A, "urgent", 2, 400));
	cr_assert_eq(b->starts, 2);
	bed_offer(b, bed_job(ID_B, "urgent", 1, 200));
	bed_pass(b, 1);
	bed_submit(b, bed_job(ID_B, "urgent", 1, 200));
	cr_assert_eq(b->starts, 2, "its intent is not stored");
	bed_ack(b);
	cr_assert_eq(b->starts, 3);
	bed_destroy(b);
}

Test(scheduler, a_job_that_was_not_stored_leaves_its_room)
{
	struct bed *b = bed_plain(1, 1000);

	bed_offer(b, bed_job(ID_A, "urgent", 2, 400));
	bed_pass(b, 1);
	cr_assert(job_table_drop_tentative(b->jobs, ID_A));
	bed_ack(b);
	cr_assert_eq(b->starts, 0);
	bed_submit(b, bed_job(ID_B, "urgent", 2, 500));
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 2);
	bed_destroy(b);
}

/* Pattern: steady load. Each batch is a call to the store, and calls are priced. */
Test(scheduler, batches_are_a_while_apart)
{
	struct bed *b = bed_create();

	b->write_every_ms = 25;
	bed_queue(b, "urgent", "desk", 0, 3, 0);
	bed_begin(b);
	bed_runner(b, "r0", "desk", "rack0", 1000, 0);
	bed_settle(b);
	bed_submit(b, bed_job(ID_A, "urgent", 1, 100));
	bed_pass(b, 1);
	cr_assert_eq(b->batch, 1);
	bed_ack(b);
	bed_submit(b, bed_job(ID_B, "urgent", 1, 100));
	bed_pass(b, 10);
	cr_assert_eq(b->batch, 0);
	bed_pass(b, 15);
	cr_assert_eq(b->batch, 2);
	bed_destroy(b);
}

/* Pattern: a slow store. What comes while a batch is under way does not wait for all of it. */
Test(scheduler, batches_overlap_in_a_slow_store)
{
	struct bed *b = bed_plain(1, 1000);

	bed_submit(b, bed_job(ID_A, "urgent", 1, 100));
	bed_pass(b, 1);
	cr_assert_eq(b->batch, 1);
	bed_submit(b, bed_job(ID_B, "urgent", 1, 100));
	bed_pass(b, 50);
	cr_assert_eq(b->batch, 1, "a quick store would have answered");
	bed_pass(b, 60);
	cr_assert_eq(b->batch, 2);
	bed_ack(b);
	cr_assert_eq(b->starts, 2, "the first batch stands before the second");
	bed_destroy(b);
}

Test(scheduler, no_start_on_a_runner_that_was_not_reached)
{
	struct bed *b = bed_create();

	bed_queue(b, "urgent", "desk", 0, 3, 0);
	bed_begin(b);
	bed_runner(b, "r0", "desk", "rack0", 1000, 0);
	bed_submit(b, bed_job(ID_A, "urgent", 1, 100));
	bed_pass(b, 1);
	cr_assert_eq(b->batch, 0);
	bed_settle(b);
	cr_assert_neq(b->batch, 0);
	bed_destroy(b);
}

Test(scheduler, done_is_shown_only_once_it_is_in_the_log)
{
	struct bed *b = bed_plain(1, 1000);

	bed_run(b, bed_job(ID_A, "urgent", 1, 100));
	bed_end(b, "r0", 1, ID_A ".0.0.0", 1, END_DONE);
	bed_pass(b, 1);
	cr_assert_eq(bed_plan(b, ID_A)->state, JOB_DONE);
	cr_assert_neq(bed_plan(b, ID_A)->stored_state, JOB_DONE);
	cr_assert_eq(b->poll->len, 0, "the end may not be forgotten before it is in the log");
	bed_ack(b);
	cr_assert_eq(bed_plan(b, ID_A)->stored_state, JOB_DONE);
	bed_pass(b, 5000);
	cr_assert_eq(b->poll->len, 1);
	cr_assert_eq(g_array_index(b->poll, struct bed_poll, 0).acked_end, 1);
	bed_destroy(b);
}

/* An order without an answer is sent once more, the same run, by another way; then it is stopped.
 */
Test(scheduler, order_without_an_answer)
{
	struct bed *b = bed_plain(2, 1000);

	bed_submit(b, bed_job(ID_A, "urgent", 1, 100));
	bed_pass(b, 1);
	bed_ack(b);
	bed_start_answer(b, ID_A ".0.0.0", START_UNKNOWN);
	cr_assert_eq(b->start->len, 1);
	cr_assert_eq(bed_start_at(b, 0)->run, 1);
	cr_assert_eq(bed_start_at(b, 0)->rank, 1);
	bed_start_answer(b, ID_A ".0.0.0", START_UNKNOWN);
	cr_assert_eq(bed_start_at(b, 0)->rank, 2);
	bed_start_answer(b, ID_A ".0.0.0", START_UNKNOWN);
	bed_pass(b, 1);
	cr_assert_eq(b->start->len, 0);
	cr_assert_eq(b->stop->len, 1);
	cr_assert_eq(bed_plan(b, ID_A)->task[0].last_run, 1,
		     "no second run while the first may exist");
	bed_destroy(b);
}

Test(scheduler, refused_after_an_order_in_doubt_is_still_in_doubt)
{
	struct bed *b = bed_plain(2, 1000);

	bed_submit(b, bed_job(ID_A, "urgent", 1, 100));
	bed_pass(b, 1);
	bed_ack(b);
	bed_start_answer(b, ID_A ".0.0.0", START_UNKNOWN);
	bed_start_answer(b, ID_A ".0.0.0", START_REFUSED);
	bed_pass(b, 100);
	cr_assert_not_null(bed_plan(b, ID_A)->task[0].live_run);
	bed_destroy(b);
}

struct refusal_case {
	enum start_result result;
	bool again; /* the task may be placed anew at once */
};

Test(scheduler, refusals)
{
	static const struct refusal_case cases[] = {
		{ START_NOT_SENT, true },      { START_REFUSED, true },
		{ START_NO_ROOM, true },       { START_BAD_TICKET, true },
		{ START_LEASE_EXPIRED, true }, { START_STALE_RUN, false },
		{ START_UNKNOWN, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct bed *b = bed_plain(1, 1000);

		bed_submit(b, bed_job(ID_A, "urgent", 1, 100));
		bed_pass(b, 1);
		bed_ack(b);
		bed_start_answer(b, ID_A ".0.0.0", cases[i].result);
		cr_expect_eq(bed_plan(b, ID_A)->task[0].live_run == NULL, cases[i].again,
			     "case %zu", i);
		bed_destroy(b);
	}
}

Test(scheduler, a_newer_scheduler_ends_this_one)
{
	struct bed *b = bed_plain(1, 1000);

	bed_submit(b, bed_job(ID_A, "urgent", 1, 100));
	bed_pass(b, 1);
	bed_ack(b);
	bed_start_answer(b, ID_A ".0.0.0", START_FENCED);
	cr_assert_eq(b->fenced, 1);
	bed_submit(b, bed_job(ID_B, "urgent", 1, 100));
	bed_pass(b, 1000);
	cr_assert_eq(b->batch, 0, "nothing is decided any more");
	bed_destroy(b);
}

/*
 * A runner falls silent: its task runs again only when the lease has surely ended, and looks
 * without an answer do not move that end.
 */
Test(scheduler, silent_runner)
{
	struct bed *b = bed_plain(2, 1000);
	g_autofree char *runner = NULL;
	int64_t silent_ms;

	bed_submit(b, bed_job(ID_A, "urgent", 1, 100));
	bed_pass(b, 1);
	bed_ack(b);
	runner = g_strdup(bed_start_at(b, 0)->runner);
	bed_accept_all(b);
	silent_ms = b->now_ms;
	while (b->now_ms - silent_ms < 6000) {
		bed_pass(b, 100);
		bed_poll_lost(b, runner);
		bed_poll_answer(b, g_str_equal(runner, "r0") ? "r1" : "r0", NULL, 0, NULL, 0);
		cr_assert_not_null(bed_plan(b, ID_A)->task[0].live_run, "after %ld ms",
				   (long)(b->now_ms - silent_ms));
	}
	while (b->now_ms - silent_ms < 9000 && !b->batch) {
		bed_pass(b, 100);
		bed_poll_lost(b, runner);
		bed_poll_answer(b, g_str_equal(runner, "r0") ? "r1" : "r0", NULL, 0, NULL, 0);
	}
	bed_ack(b);
	cr_assert_eq(b->start->len, 1);
	cr_assert_eq(bed_start_at(b, 0)->run, 2);
	cr_assert_str_neq(bed_start_at(b, 0)->runner, runner);
	bed_destroy(b);
}

/*
 * Pattern: the store is away for the scheduler only, and another one takes over. Its leases have to
 * end at a time that the other can tell.
 */
Test(scheduler, no_lease_is_granted_when_a_successor_may_be_at_work)
{
	struct bed *b = bed_plain(1, 1000);
	const struct poll_running row = { .task = ID_A ".0.0.0", .run = 1, .checkpoint = "" };

	bed_run(b, bed_job(ID_A, "urgent", 1, 100));
	scheduler_grant_until(b->sched, b->now_ms + 2000);
	bed_pass(b, 1000);
	cr_assert_gt(g_array_index(b->poll, struct bed_poll, 0).deadline_ms, 0);
	bed_poll_answer(b, "r0", &row, 1, NULL, 0);
	bed_pass(b, 1500);
	bed_submit(b, bed_job(ID_B, "urgent", 1, 100));
	bed_pass(b, 1);
	cr_assert_eq(b->poll->len, 1, "ends are still looked for");
	cr_assert_eq(g_array_index(b->poll, struct bed_poll, 0).deadline_ms, 0);
	bed_ack(b);
	cr_assert_eq(b->start->len, 0);
	bed_destroy(b);
}

/* A runner on which nothing ran for longer than a lease is as good as any. */
Test(scheduler, a_start_on_an_idle_runner_is_not_taken_for_lapsed)
{
	struct bed *b = bed_plain(1, 1000);

	for (int i = 0; i < 20; i++) {
		bed_pass(b, 1000);
		bed_poll_answer(b, "r0", NULL, 0, NULL, 0);
	}
	bed_submit(b, bed_job(ID_A, "urgent", 1, 100));
	bed_pass(b, 1);
	bed_pass(b, 1);
	cr_assert_not_null(bed_plan(b, ID_A)->task[0].live_run);
	bed_ack(b);
	cr_assert_eq(b->starts, 1);
	bed_destroy(b);
}

Test(scheduler, cancelled_jobs_are_stopped_and_not_started)
{
	struct bed *b = bed_plain(1, 1000);

	bed_submit(b, bed_job(ID_A, "urgent", 1, 100));
	bed_submit(b, bed_job(ID_B, "urgent", 1, 100));
	bed_pass(b, 1);
	bed_cancel(b, ID_B);
	bed_ack(b);
	cr_assert_eq(b->starts, 1, "the second was cancelled before its order");
	bed_accept_all(b);
	bed_cancel(b, ID_A);
	cr_assert_eq(b->stop->len, 1);
	bed_pass(b, 1);
	while (bed_ack(b))
		;
	cr_assert_eq(bed_plan(b, ID_A)->stored_state, JOB_CANCELLED);
	bed_destroy(b);
}

/* A stop without an answer is sent again until the runner has taken it. */
Test(scheduler, stops_are_repeated)
{
	struct bed *b = bed_plain(1, 1000);

	bed_run(b, bed_job(ID_A, "urgent", 1, 100));
	bed_cancel(b, ID_A);
	for (int i = 0; i < 5; i++)
		bed_pass(b, 800);
	cr_assert_geq(b->stop->len, 4);
	scheduler_stop_answered(b->sched, "r0", ID_A ".0.0.0", 1, true, b->now_ms);
	g_array_set_size(b->stop, 0);
	bed_pass(b, 800);
	cr_assert_eq(b->stop->len, 0);
	bed_destroy(b);
}

Test(scheduler, attempts_are_counted)
{
	struct bed *b = bed_plain(4, 1000);

	bed_submit(b, bed_job(ID_A, "urgent", 1, 100));
	for (uint32_t run = 1; run <= 3; run++) {
		g_autofree char *runner = NULL;

		bed_pass(b, 5000);
		while (b->poll->len)
			bed_poll_answer(b, g_array_index(b->poll, struct bed_poll, 0).runner, NULL,
					0, NULL, 0);
		bed_pass(b, 1);
		bed_ack(b);
		cr_assert_eq(b->start->len, 1, "run %u", run);
		runner = g_strdup(bed_start_at(b, 0)->runner);
		bed_accept_all(b);
		bed_end(b, runner, run, ID_A ".0.0.0", run, END_FAILED);
		bed_pass(b, 1);
		bed_ack(b);
	}
	cr_assert_eq(bed_plan(b, ID_A)->stored_state, JOB_FAILED);
	cr_assert_eq(b->starts, 3);
	bed_destroy(b);
}

Test(scheduler, tasks_that_last_are_started_again_however_they_end)
{
	struct bed *b = bed_plain(2, 1000);
	Cell__Job *job = bed_job(ID_A, "urgent", 1, 100);

	job->step[0]->lasting = true;
	bed_submit(b, job);
	for (uint32_t run = 1; run <= 6; run++) {
		g_autofree char *runner = NULL;

		bed_pass(b, 5000);
		while (b->poll->len)
			bed_poll_answer(b, g_array_index(b->poll, struct bed_poll, 0).runner, NULL,
					0, NULL, 0);
		bed_pass(b, 1);
		bed_ack(b);
		cr_assert_eq(b->start->len, 1, "run %u", run);
		runner = g_strdup(bed_start_at(b, 0)->runner);
		bed_accept_all(b);
		bed_end(b, runner, run, ID_A ".0.0.0", run, run % 2 ? END_FAILED : END_DONE);
		bed_pass(b, 1);
		bed_ack(b);
	}
	cr_assert_eq(bed_plan(b, ID_A)->stored_state, JOB_RUNNING);
	bed_destroy(b);
}

/* A runner that fails all it starts looks free all the time; it gets a pause after two in a row. */
Test(scheduler, a_failing_runner_gets_a_pause)
{
	struct bed *b = bed_plain(1, 1000);

	for (uint32_t i = 0; i < 2; i++) {
		g_autofree char *id = g_strdup_printf("00000000000000d%u", i);
		g_autofree char *task = g_strdup_printf("%s.0.0.0", id);

		bed_run(b, bed_job(id, "urgent", 1, 100));
		bed_end(b, "r0", i + 1, task, 1, END_FAILED);
		bed_pass(b, 1);
		bed_ack(b);
		bed_pass(b, 1);
	}
	bed_submit(b, bed_job(ID_C, "urgent", 1, 100));
	bed_pass(b, 500);
	bed_ack(b);
	cr_assert_eq(b->starts, 2);
	bed_destroy(b);
}

Test(scheduler, drained_runners_get_nothing)
{
	struct bed *b = bed_plain(1, 1000);
	struct runner_info info = { .id = "r0",
				    .address = "10.0.0.1:80",
				    .service = "desk",
				    .dc = "dc",
				    .rack = "rack0",
				    .born_ms = 1000,
				    .draining = true,
				    .capacity = { 1000, 1 << 30, 0 } };

	scheduler_update_runner(b->sched, &info, b->now_ms);
	bed_submit(b, bed_job(ID_A, "urgent", 1, 100));
	bed_pass(b, 1);
	cr_assert_eq(b->batch, 0);
	bed_destroy(b);
}

Test(scheduler, unknown_runs_are_stopped)
{
	struct bed *b = bed_plain(1, 1000);
	const struct poll_running rows[] = {
		{ .task = "00000000000000ff.0.0.0", .run = 1, .checkpoint = "" },
		{ .task = "what is this", .run = 1, .checkpoint = "" },
	};

	bed_pass(b, 4100);
	bed_poll_answer(b, "r0", rows, 2, NULL, 0);
	cr_assert_eq(b->stop->len, 2);
	bed_destroy(b);
}

struct hang_case {
	const char *what;
	uint32_t usage;
	bool gang;
	bool filler;
	bool stopped;
};

/* Pattern: tasks on some worker stand still, with no end and no failure to tell of it. */
Test(scheduler, tasks_that_stand_still)
{
	static const struct hang_case cases[] = {
		{ "no usage", 0, false, false, true },
		{ "some usage", 5, false, false, false },
		{ "a gang may wait for its members", 0, true, false, false },
		{ "a filler may wait for room", 0, false, true, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct bed *b = bed_plain(1, 1000);
		Cell__Job *job = bed_job(ID_A, "urgent", 1, 100);
		const struct poll_running row = {
			.task = ID_A ".0.0.0", .run = 1, .checkpoint = "", .usage = cases[i].usage
		};

		job->step[0]->gang = cases[i].gang;
		job->step[0]->filler = cases[i].filler;
		bed_submit(b, job);
		bed_pass(b, 1);
		bed_ack(b);
		bed_accept_all(b);
		for (int k = 0; k < 20; k++) {
			bed_pass(b, 100);
			bed_poll_answer(b, "r0", &row, 1, NULL, 0);
		}
		cr_expect_eq(b->stop->len > 0, cases[i].stopped, "%s", cases[i].what);
		bed_destroy(b);
	}
}

/* A task that has failed on the only runner that it may use goes there again, after a while. */
Test(scheduler, the_only_runner_is_avoided_for_a_short_time)
{
	struct bed *b = bed_create();

	bed_queue(b, "quick", "desk", 0, 3, 17);
	bed_begin(b);
	bed_runner(b, "r0", "desk", "rack0", 1000, 0);
	bed_settle(b);
	bed_submit(b, bed_job(ID_A, "quick", 1, 100));
	bed_pass(b, 1);
	bed_advise(b, "", 5000);
	bed_pass(b, 1);
	bed_ack(b);
	bed_accept_all(b);
	bed_end(b, "r0", 1, ID_A ".0.0.0", 1, END_FAILED);
	bed_pass(b, 500);
	bed_ack(b);
	cr_assert_eq(b->starts, 1);
	bed_pass(b, 500);
	bed_ack(b);
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 2);
	bed_destroy(b);
}
