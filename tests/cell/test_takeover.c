#include <criterion/criterion.h>

#include "fixture.h"

/* Restarts of runners, and schedulers that inherit the runs of earlier ones. */

#define ID_A "00000000000000a1"

/*
 * The runs of the old incarnation have ended, but a start order in flight may have reached the new
 * one. The task waits until a poll shows that it hasn't.
 */
Test(scheduler, a_task_of_a_restarted_runner_waits_for_a_poll)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit_and_start(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_restart_r0(f);
	cr_assert_not_null(fixture_find_job(f, ID_A)->task[0].live_run);
	cr_assert(fixture_find_job(f, ID_A)->dirty,
		  "the new incarnation has to be written to the log");
	fixture_poll_all(f);
	cr_assert_eq(fixture_find_job(f, ID_A)->task[0].last_run, 2);
	fixture_destroy(f);
}

/*
 * A poll sent to the old incarnation is answered by the new one, while another poll is in flight.
 * When this reply was taken for that of the later poll, it seemed to prove that a start sent in
 * between didn't exist, and the task ran twice (simulation, seed 7010).
 */
Test(scheduler, a_reply_to_an_older_poll_proves_nothing)
{
	struct fixture *f = fixture_default(1, 1000);
	struct poll_reply late = { .incarnation_ms = 2000, .clock_ms = 100 };
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

static void restart_scheduler(struct fixture *f)
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

/* A new scheduler finds runs by their intents and counts their resources until a poll. */
Test(scheduler, takeover_inherits_listed_runs)
{
	struct fixture *f = fixture_default(1, 1000);
	const struct poll_running row = { .task = ID_A ".0.0.0", .run = 1, .checkpoint = "c1" };

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 2, 600));
	fixture_advance(f, 1);
	restart_scheduler(f);
	fixture_add_runner(f, "r0", "desk", "rack0", 1000, 0);
	cr_assert_not_null(fixture_find_job(f, ID_A)->task[0].live_run);
	fixture_advance(f, 1);
	fixture_poll_answer(f, "r0", &row, 1, NULL, 0);
	fixture_advance(f, 1);
	cr_assert_not_null(fixture_find_job(f, ID_A)->task[0].live_run);
	cr_assert_null(fixture_find_job(f, ID_A)->task[1].live_run, "no room for the second task");
	cr_assert_str_eq(fixture_find_job(f, ID_A)->task[0].checkpoint, "c1");
	fixture_destroy(f);
}

Test(scheduler, takeover_drops_runs_that_the_runner_does_not_list)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 600));
	fixture_advance(f, 1);
	restart_scheduler(f);
	fixture_add_runner(f, "r0", "desk", "rack0", 1000, 0);
	fixture_poll_all(f);
	cr_assert_eq(fixture_find_job(f, ID_A)->task[0].last_run, 1,
		     "the earlier scheduler may just have stopped it");
	fixture_advance(f, 1000);
	fixture_poll_answer(f, "r0", NULL, 0, NULL, 0);
	fixture_advance(f, 1);
	fixture_poll_answer(f, "r0", NULL, 0, NULL, 0);
	fixture_advance(f, 1);
	cr_assert_eq(fixture_find_job(f, ID_A)->task[0].last_run, 2,
		     "it is placed again with a higher run number");
	fixture_destroy(f);
}

Test(scheduler, takeover_waits_for_the_lease_of_an_unreachable_runner)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 600));
	fixture_advance(f, 1);
	restart_scheduler(f);
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
 * Several schedulers are lost one after the other while a runner is gone for good (seen in the test
 * day odd-2 as LOST). Each scheduler waits from its own start for the leases of those before it; if
 * these have ended, that is one lease.
 */
Test(scheduler, takeover_waits_as_long_as_earlier_leases_may_last)
{
	static const uint32_t waits_ms[] = { 6220, 9220 };

	for (size_t i = 0; i < G_N_ELEMENTS(waits_ms); i++) {
		struct fixture *f = fixture_default(1, 1000);

		fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 600));
		fixture_advance(f, 1);
		f->inherited_ms = waits_ms[i];
		for (int k = 0; k < 3; k++) {
			restart_scheduler(f);
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
 * Two incarnations of one runner in the log. A start order may have reached a newer incarnation
 * than the one in its record (seen in the test day odd-2 as TWICE), so the runs of both are kept
 * until the runner is polled.
 */
Test(scheduler, takeover_with_two_incarnations_of_a_runner)
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
		     "it may run in the newer incarnation");
	fixture_destroy(f);
}

Test(scheduler, a_stop_waits_until_the_runner_is_listed)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 600));
	fixture_advance(f, 1);
	fixture_cancel(f, ID_A);
	restart_scheduler(f);
	fixture_advance(f, 1);
	cr_assert_eq(f->stop->len, 0);
	fixture_add_runner(f, "r0", "desk", "rack0", 1000, 0);
	fixture_advance(f, 1);
	cr_assert_eq(f->stop->len, 1);
	fixture_destroy(f);
}

static const struct fixture_poll *last_poll(struct fixture *f)
{
	cr_assert_gt(f->poll->len, 0);
	return &g_array_index(f->poll, struct fixture_poll, f->poll->len - 1);
}

struct lease_case {
	const char *what;
	bool restart;	/* while this scheduler watches */
	int64_t age_ms; /* of the incarnation, by the wall clock */
	int64_t wait_ms;
};

/*
 * An order to an earlier incarnation has a deadline far in the future by the clock of the new one,
 * which cuts it to the longest lease. A run was taken for lost after 6.2 s, and its task started
 * again, while it ran on (simulation, "late orders reach quickly restarted runners", seed 1000).
 */
Test(scheduler, a_restarted_runner_may_hold_the_longest_lease)
{
	static const struct lease_case cases[] = {
		{ "restarted", true, 100000, 10200 },
		{ "restarted before this scheduler began", false, 5000, 10200 },
		{ "started long ago", false, 100000, 6100 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct poll_running row = { .task = ID_A ".0.0.0",
						  .run = 1,
						  .checkpoint = "" };
		struct fixture *f = fixture_create();
		struct runner_info info = { .id = "r0",
					    .address = "10.0.0.1:80",
					    .service = "desk",
					    .dc = "dc",
					    .rack = "rack0",
					    .incarnation_ms = f->wall_ms - cases[i].age_ms,
					    .capacity = { 1000, 1 << 30, 0 } };

		fixture_add_queue(f, "urgent", "desk", 0, 3, 0);
		fixture_start_scheduler(f);
		f->incarnation_ms = info.incarnation_ms;
		scheduler_update_runner(f->sched, &info, f->now_ms);
		fixture_poll_all(f);
		fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
		fixture_advance(f, 1);
		if (cases[i].restart) {
			fixture_ack_batch(f);
			fixture_accept_starts(f);
			info.incarnation_ms++;
		} else {
			restart_scheduler(f);
		}
		scheduler_update_runner(f->sched, &info, f->now_ms);
		f->incarnation_ms = info.incarnation_ms;
		fixture_advance(f, 1);
		while (f->poll->len > 1)
			g_array_remove_index(f->poll, 0);
		fixture_poll_answer(f, "r0", &row, 1, NULL, 0);
		for (int64_t silent_ms = 0; silent_ms < cases[i].wait_ms; silent_ms += 100) {
			cr_expect_not_null(fixture_find_job(f, ID_A)->task[0].live_run,
					   "%s: lost after %ld ms", cases[i].what, (long)silent_ms);
			fixture_advance(f, 100);
			fixture_poll_lost(f, "r0");
		}
		fixture_advance(f, 300);
		cr_expect_null(fixture_find_job(f, ID_A)->task[0].live_run, "%s: still waits",
			       cases[i].what);
		fixture_destroy(f);
	}
}

/*
 * Orders to an earlier incarnation that are carried out late started tasks again that had ended,
 * and acknowledged ends of the new incarnation that nobody had read (simulation, "late orders reach
 * restarted runners"). The runner refuses them if the new incarnation has seen a higher fence.
 */
Test(scheduler, orders_to_a_new_incarnation_have_a_higher_fence)
{
	struct fixture *f = fixture_default(1, 1000);
	const struct poll_running row = { .task = ID_A ".0.0.0", .run = 1, .checkpoint = "" };
	uint32_t fence_seq;

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	fence_seq = fixture_start_at(f, 0)->fence_seq;
	fixture_start_answer(f, ID_A ".0.0.0", START_UNKNOWN);
	cr_assert_eq(fixture_start_at(f, 0)->fence_seq, fence_seq);
	cr_assert_eq(last_poll(f)->fence_seq, fence_seq);
	fixture_restart_r0(f);
	fixture_advance(f, 1);
	cr_assert_gt(last_poll(f)->fence_seq, fence_seq);
	cr_assert_eq(g_array_index(f->stop, struct fixture_stop, 0).fence_seq,
		     last_poll(f)->fence_seq);
	fence_seq = last_poll(f)->fence_seq;
	scheduler_runner_gone(f->sched, "r0", f->now_ms);
	fixture_poll_answer(f, "r0", &row, 1, NULL, 0);
	f->incarnation_ms = 3000;
	fixture_advance(f, 1);
	fixture_poll_answer(f, "r0", NULL, 0, NULL, 0);
	fixture_advance(f, 1);
	cr_assert_gt(last_poll(f)->fence_seq, fence_seq, "restart noticed by a poll");
	fixture_destroy(f);
}

/* An order to an earlier incarnation is refused with the scheduler's own fence. */
Test(scheduler, its_own_higher_fence_does_not_end_the_scheduler)
{
	struct fixture *f = fixture_default(1, 1000);
	const struct poll_reply fenced = { .fenced = true };
	uint64_t poll_id;

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	poll_id = last_poll(f)->poll_id;
	fixture_restart_r0(f);
	fixture_advance(f, 1);
	fixture_start_answer(f, ID_A ".0.0.0", START_FENCED);
	scheduler_poll_answered(f->sched, "r0", poll_id, &fenced, f->now_ms);
	cr_assert_eq(f->fenced, 0);
	scheduler_poll_answered(f->sched, "r0", last_poll(f)->poll_id, &fenced, f->now_ms);
	cr_assert_eq(f->fenced, 1, "a newer scheduler");
	fixture_destroy(f);
}

struct fence_case {
	uint64_t term;
	uint32_t fence_seq;
};

Test(scheduler, fences_rise_with_the_term_and_the_incarnation)
{
	static const struct fence_case cases[] = { { 1, 0 },	      { 1, 1 }, { 1, 70000 },
						   { 1, 1048575 },    { 2, 0 }, { 2, 1 },
						   { 3, UINT32_MAX }, { 4, 0 } };

	for (size_t i = 1; i < G_N_ELEMENTS(cases); i++)
		cr_expect_gt(scheduler_fence(cases[i].term, cases[i].fence_seq),
			     scheduler_fence(cases[i - 1].term, cases[i - 1].fence_seq), "case %zu",
			     i);
}
