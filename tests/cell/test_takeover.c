#include <criterion/criterion.h>

#include "fixture.h"

/* Runners that are born again, and schedulers that take over what others have started. */

#define ID_A "00000000000000a1"

/*
 * What ran in the old life is over, but an order that was under way may have come to the new one:
 * the task waits until a look at it tells.
 */
Test(scheduler, a_runner_born_again)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit_and_start(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_restart_r0(f);
	cr_assert_not_null(fixture_find_job(f, ID_A)->task[0].live_run);
	cr_assert(fixture_find_job(f, ID_A)->dirty, "the log has to tell of the new life");
	fixture_poll_all(f);
	cr_assert_eq(fixture_find_job(f, ID_A)->task[0].last_run, 2);
	fixture_destroy(f);
}

/*
 * A look that was sent in the older life is answered by the new one, while a look of its own is
 * under way. Taken for the answer to that one, its list proved that a start sent in between did not
 * exist (simulation, seed 7010: two runs).
 */
Test(scheduler, an_answer_to_an_older_look_proves_nothing)
{
	struct fixture *f = fixture_default(1, 1000);
	struct poll_reply late = { .born_ms = 2000, .clock_ms = 100 };
	const struct poll_running row = { .task = ID_A ".0.0.0", .run = 2, .checkpoint = "" };
	uint64_t older;

	fixture_submit_and_start(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_advance(f, 1);
	cr_assert_eq(f->poll->len, 1);
	older = g_array_index(f->poll, struct fixture_poll, 0).poll_id;
	g_array_set_size(f->poll, 0);
	fixture_restart_r0(f);
	fixture_poll_all(f);
	while (fixture_ack_batch(f))
		;
	cr_assert_eq(fixture_start_at(f, 0)->run, 2);
	fixture_accept_starts(f);
	fixture_poll_answer(f, "r0", &row, 1, NULL, 0);
	fixture_advance(f, 10);
	cr_assert_eq(f->poll->len, 1);
	scheduler_poll_answered(f->sched, "r0", older, &late, f->now_ms);
	fixture_advance(f, 1);
	cr_assert_not_null(fixture_find_job(f, ID_A)->task[0].live_run);
	cr_assert_eq(fixture_find_job(f, ID_A)->task[0].last_run, 2);
	fixture_destroy(f);
}

static void restart(struct fixture *f)
{
	g_autoptr(GPtrArray) records = f->records ? g_ptr_array_ref(f->records) : NULL;

	scheduler_destroy(f->sched);
	f->sched = NULL;
	for (guint i = 0; records && i < records->len; i++) {
		const struct log_record *r = records->pdata[i];

		job_table_apply(f->jobs, r->key, r->value, r->size);
	}
	f->batch = 0;
	g_clear_pointer(&f->records, g_ptr_array_unref);
	g_array_set_size(f->start, 0);
	g_array_set_size(f->poll, 0);
	g_array_set_size(f->stop, 0);
	fixture_start_scheduler(f);
}

/* A new scheduler knows of runs by their intents, and keeps their room until the runner is asked.
 */
Test(scheduler, takeover_adopts_what_runs)
{
	struct fixture *f = fixture_default(1, 1000);
	const struct poll_running row = { .task = ID_A ".0.0.0", .run = 1, .checkpoint = "c1" };

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 2, 600));
	fixture_advance(f, 1);
	restart(f);
	fixture_add_runner(f, "r0", "desk", "rack0", 1000, 0);
	cr_assert_not_null(fixture_find_job(f, ID_A)->task[0].live_run);
	fixture_advance(f, 1);
	fixture_poll_answer(f, "r0", &row, 1, NULL, 0);
	fixture_advance(f, 1);
	cr_assert_not_null(fixture_find_job(f, ID_A)->task[0].live_run);
	cr_assert_null(fixture_find_job(f, ID_A)->task[1].live_run,
		       "there is no room for the second");
	cr_assert_str_eq(fixture_find_job(f, ID_A)->task[0].checkpoint, "c1");
	fixture_destroy(f);
}

Test(scheduler, takeover_forgets_what_the_runner_does_not_list)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 600));
	fixture_advance(f, 1);
	restart(f);
	fixture_add_runner(f, "r0", "desk", "rack0", 1000, 0);
	fixture_poll_all(f);
	cr_assert_eq(fixture_find_job(f, ID_A)->task[0].last_run, 1,
		     "the older one may just have stopped it");
	fixture_advance(f, 1000);
	fixture_poll_answer(f, "r0", NULL, 0, NULL, 0);
	fixture_advance(f, 1);
	fixture_poll_answer(f, "r0", NULL, 0, NULL, 0);
	fixture_advance(f, 1);
	cr_assert_eq(fixture_find_job(f, ID_A)->task[0].last_run, 2,
		     "it is placed anew with a higher run");
	fixture_destroy(f);
}

Test(scheduler, takeover_waits_for_a_runner_out_of_reach)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 600));
	fixture_advance(f, 1);
	restart(f);
	fixture_add_runner(f, "r1", "desk", "rack0", 1000, 0);
	for (int64_t waited = 0; waited < 15000; waited += 500) {
		fixture_advance(f, 500);
		fixture_poll_answer(f, "r1", NULL, 0, NULL, 0);
		cr_assert_eq(fixture_find_job(f, ID_A)->task[0].last_run, 1);
	}
	fixture_advance(f, 600);
	fixture_poll_answer(f, "r1", NULL, 0, NULL, 0);
	fixture_advance(f, 1);
	cr_assert_eq(fixture_find_job(f, ID_A)->task[0].last_run, 2);
	fixture_destroy(f);
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
		struct fixture *f = fixture_default(1, 1000);

		fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 600));
		fixture_advance(f, 1);
		f->inherited_ms = waits_ms[i];
		for (int k = 0; k < 3; k++) {
			restart(f);
			fixture_add_runner(f, "r1", "desk", "rack0", 1000, 0);
			fixture_advance(f, 2000);
		}
		fixture_poll_answer(f, "r1", NULL, 0, NULL, 0);
		fixture_advance(f, waits_ms[i] - 2000);
		cr_expect_eq(fixture_find_job(f, ID_A)->task[0].last_run, 1, "case %zu", i);
		fixture_poll_answer(f, "r1", NULL, 0, NULL, 0);
		fixture_advance(f, 1);
		cr_expect_eq(fixture_find_job(f, ID_A)->task[0].last_run, 2, "case %zu", i);
		fixture_destroy(f);
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
	struct fixture *f = fixture_create();
	uint8_t buf[256];

	fixture_add_queue(f, "urgent", "desk", 0, 3, 0);
	fixture_submit(f, fixture_new_job(ID_A, "urgent", 2, 100));
	for (int i = 0; i < 2; i++) {
		t[i].task = (uint32_t)i;
		t[i].run = 1;
		t[i].runner = "r0";
		t[i].born_ms = 1000 + i * 500;
	}
	m.state = JOB_RUNNING;
	m.task = rows;
	m.n_task = 2;
	job_table_apply(f->jobs, ID_A "/p", buf, cell__progress__pack(&m, buf));
	fixture_start_scheduler(f);
	cr_assert_not_null(fixture_find_job(f, ID_A)->task[0].live_run);
	cr_assert_not_null(fixture_find_job(f, ID_A)->task[1].live_run);
	fixture_add_runner(f, "r1", "desk", "rack0", 1000, 0);
	fixture_poll_all(f);
	cr_assert_eq(fixture_find_job(f, ID_A)->task[0].last_run, 1,
		     "it may run on the newer life");
	fixture_destroy(f);
}

Test(scheduler, a_stop_for_a_runner_that_is_not_found_yet_waits)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 600));
	fixture_advance(f, 1);
	fixture_cancel(f, ID_A);
	restart(f);
	fixture_advance(f, 1);
	cr_assert_eq(f->stop->len, 0);
	fixture_add_runner(f, "r0", "desk", "rack0", 1000, 0);
	fixture_advance(f, 1);
	cr_assert_eq(f->stop->len, 1);
	fixture_destroy(f);
}
