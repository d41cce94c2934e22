#include <criterion/criterion.h>

#include "bed.h"

/* Runners that are born again, and schedulers that take over what others have started. */

#define ID_A "00000000000000a1"

/*
 * What ran in the old life is over, but an order that was under way may have come to the new one:
 * the task waits until a look at it tells.
 */
Test(scheduler, a_runner_born_again)
{
	struct bed *b = bed_plain(1, 1000);

	bed_run(b, bed_job(ID_A, "urgent", 1, 100));
	bed_reborn(b);
	cr_assert_not_null(bed_plan(b, ID_A)->task[0].live_run);
	cr_assert(bed_plan(b, ID_A)->dirty, "the log has to tell of the new life");
	bed_settle(b);
	cr_assert_eq(bed_plan(b, ID_A)->task[0].last_run, 2);
	bed_destroy(b);
}

/*
 * A look that was sent in the older life is answered by the new one, while a look of its own is
 * under way. Taken for the answer to that one, its list proved that a start sent in between did not
 * exist (simulation, seed 7010: two runs).
 */
Test(scheduler, an_answer_to_an_older_look_proves_nothing)
{
	struct bed *b = bed_plain(1, 1000);
	struct poll_reply late = { .born_ms = 2000, .clock_ms = 100 };
	const struct poll_running row = { .task = ID_A ".0.0.0", .run = 2, .checkpoint = "" };
	uint64_t older;

	bed_run(b, bed_job(ID_A, "urgent", 1, 100));
	bed_pass(b, 1);
	cr_assert_eq(b->poll->len, 1);
	older = g_array_index(b->poll, struct bed_poll, 0).poll_id;
	g_array_set_size(b->poll, 0);
	bed_reborn(b);
	bed_settle(b);
	while (bed_ack(b))
		;
	cr_assert_eq(bed_start_at(b, 0)->run, 2);
	bed_accept_all(b);
	bed_poll_answer(b, "r0", &row, 1, NULL, 0);
	bed_pass(b, 10);
	cr_assert_eq(b->poll->len, 1);
	scheduler_poll_answered(b->sched, "r0", older, &late, b->now_ms);
	bed_pass(b, 1);
	cr_assert_not_null(bed_plan(b, ID_A)->task[0].live_run);
	cr_assert_eq(bed_plan(b, ID_A)->task[0].last_run, 2);
	bed_destroy(b);
}

static void restart(struct bed *b)
{
	g_autoptr(GPtrArray) records = b->records ? g_ptr_array_ref(b->records) : NULL;

	scheduler_destroy(b->sched);
	b->sched = NULL;
	for (guint i = 0; records && i < records->len; i++) {
		const struct log_record *r = records->pdata[i];

		job_table_apply(b->jobs, r->key, r->value, r->size);
	}
	b->batch = 0;
	g_clear_pointer(&b->records, g_ptr_array_unref);
	g_array_set_size(b->start, 0);
	g_array_set_size(b->poll, 0);
	g_array_set_size(b->stop, 0);
	bed_begin(b);
}

/* A new scheduler knows of runs by their intents, and keeps their room until the runner is asked.
 */
Test(scheduler, takeover_adopts_what_runs)
{
	struct bed *b = bed_plain(1, 1000);
	const struct poll_running row = { .task = ID_A ".0.0.0", .run = 1, .checkpoint = "c1" };

	bed_submit(b, bed_job(ID_A, "urgent", 2, 600));
	bed_pass(b, 1);
	restart(b);
	bed_runner(b, "r0", "desk", "rack0", 1000, 0);
	cr_assert_not_null(bed_plan(b, ID_A)->task[0].live_run);
	bed_pass(b, 1);
	bed_poll_answer(b, "r0", &row, 1, NULL, 0);
	bed_pass(b, 1);
	cr_assert_not_null(bed_plan(b, ID_A)->task[0].live_run);
	cr_assert_null(bed_plan(b, ID_A)->task[1].live_run, "there is no room for the second");
	cr_assert_str_eq(bed_plan(b, ID_A)->task[0].checkpoint, "c1");
	bed_destroy(b);
}

Test(scheduler, takeover_forgets_what_the_runner_does_not_list)
{
	struct bed *b = bed_plain(1, 1000);

	bed_submit(b, bed_job(ID_A, "urgent", 1, 600));
	bed_pass(b, 1);
	restart(b);
	bed_runner(b, "r0", "desk", "rack0", 1000, 0);
	bed_settle(b);
	cr_assert_eq(bed_plan(b, ID_A)->task[0].last_run, 1,
		     "the older one may just have stopped it");
	bed_pass(b, 1000);
	bed_poll_answer(b, "r0", NULL, 0, NULL, 0);
	bed_pass(b, 1);
	bed_poll_answer(b, "r0", NULL, 0, NULL, 0);
	bed_pass(b, 1);
	cr_assert_eq(bed_plan(b, ID_A)->task[0].last_run, 2, "it is placed anew with a higher run");
	bed_destroy(b);
}

Test(scheduler, takeover_waits_for_a_runner_out_of_reach)
{
	struct bed *b = bed_plain(1, 1000);

	bed_submit(b, bed_job(ID_A, "urgent", 1, 600));
	bed_pass(b, 1);
	restart(b);
	bed_runner(b, "r1", "desk", "rack0", 1000, 0);
	for (int64_t waited = 0; waited < 15000; waited += 500) {
		bed_pass(b, 500);
		bed_poll_answer(b, "r1", NULL, 0, NULL, 0);
		cr_assert_eq(bed_plan(b, ID_A)->task[0].last_run, 1);
	}
	bed_pass(b, 600);
	bed_poll_answer(b, "r1", NULL, 0, NULL, 0);
	bed_pass(b, 1);
	cr_assert_eq(bed_plan(b, ID_A)->task[0].last_run, 2);
	bed_destroy(b);
}

/*
 * Pattern: schedulers are lost one after the other while a runner is gone for good (our own day
 * odd-2: LOST). Each of them waits for the leases of those before it from its own beginning, and
 * where these have ended that is one lease.
 */
Test(scheduler, takeover_waits_as_long_as_older_leases_may_last)
{
	static const uint32_t waits_ms[] = { 6220, 9220 };

	for (size_t i = 0; i < G_N_ELEMENTS(waits_ms); i++) {
		struct bed *b = bed_plain(1, 1000);

		bed_submit(b, bed_job(ID_A, "urgent", 1, 600));
		bed_pass(b, 1);
		b->inherited_ms = waits_ms[i];
		for (int k = 0; k < 3; k++) {
			restart(b);
			bed_runner(b, "r1", "desk", "rack0", 1000, 0);
			bed_pass(b, 2000);
		}
		bed_poll_answer(b, "r1", NULL, 0, NULL, 0);
		bed_pass(b, waits_ms[i] - 2000);
		cr_expect_eq(bed_plan(b, ID_A)->task[0].last_run, 1, "case %zu", i);
		bed_poll_answer(b, "r1", NULL, 0, NULL, 0);
		bed_pass(b, 1);
		cr_expect_eq(bed_plan(b, ID_A)->task[0].last_run, 2, "case %zu", i);
		bed_destroy(b);
	}
}

/*
 * Two lives of one runner in the store. An order may have come to a newer life than it was noted
 * with (our own day odd-2: TWICE), so both are kept until a look at the runner tells.
 */
Test(scheduler, takeover_with_two_lives_of_a_runner)
{
	Cell__Progress m = CELL__PROGRESS__INIT;
	Cell__TaskProgress t[2] = { CELL__TASK_PROGRESS__INIT, CELL__TASK_PROGRESS__INIT };
	Cell__TaskProgress *rows[] = { &t[0], &t[1] };
	struct bed *b = bed_create();
	uint8_t buf[256];

	bed_queue(b, "urgent", "desk", 0, 3, 0);
	bed_submit(b, bed_job(ID_A, "urgent", 2, 100));
	for (int i = 0; i < 2; i++) {
		t[i].task = (uint32_t)i;
		t[i].run = 1;
		t[i].runner = "r0";
		t[i].born_ms = 1000 + i * 500;
	}
	m.state = JOB_RUNNING;
	m.task = rows;
	m.n_task = 2;
	job_table_apply(b->jobs, ID_A "/p", buf, cell__progress__pack(&m, buf));
	bed_begin(b);
	cr_assert_not_null(bed_plan(b, ID_A)->task[0].live_run);
	cr_assert_not_null(bed_plan(b, ID_A)->task[1].live_run);
	bed_runner(b, "r1", "desk", "rack0", 1000, 0);
	bed_settle(b);
	cr_assert_eq(bed_plan(b, ID_A)->task[0].last_run, 1, "it may run on the newer life");
	bed_destroy(b);
}

Test(scheduler, a_stop_for_a_runner_that_is_not_found_yet_waits)
{
	struct bed *b = bed_plain(1, 1000);

	bed_submit(b, bed_job(ID_A, "urgent", 1, 600));
	bed_pass(b, 1);
	bed_cancel(b, ID_A);
	restart(b);
	bed_pass(b, 1);
	cr_assert_eq(b->stop->len, 0);
	bed_runner(b, "r0", "desk", "rack0", 1000, 0);
	bed_pass(b, 1);
	cr_assert_eq(b->stop->len, 1);
	bed_destroy(b);
}
