#include <criterion/criterion.h>

#include "fixture.h"

#define ID_A "00000000000000a1"
#define ID_B "00000000000000b2"
#define ID_C "00000000000000c3"

Test(scheduler, a_start_is_sent_after_its_intent_is_stored)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 2, 100));
	fixture_advance(f, 1);
	cr_assert_eq(f->starts, 0, "no start before its intent is in the log");
	cr_assert_neq(f->batch, 0);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 2);
	cr_assert_eq(fixture_start_at(f, 0)->run, 1);
	cr_assert_gt(fixture_start_at(f, 0)->deadline_ms, 0);
	fixture_destroy(f);
}

/*
 * In a slow store, writing the job and the intents of its first starts takes half a second each.
 * Both are written at the same time, and a start needs both.
 */
Test(scheduler, a_tentative_job_is_placed_but_not_started)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit_tentative(f, fixture_new_job(ID_A, "urgent", 2, 400));
	fixture_advance(f, 1);
	cr_assert_neq(f->batch, 0, "the intent does not wait for the job's record");
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 0, "the job may not have been accepted");
	fixture_submit(f, fixture_new_job(ID_A, "urgent", 2, 400));
	cr_assert_eq(f->starts, 2);
	fixture_submit_tentative(f, fixture_new_job(ID_B, "urgent", 1, 200));
	fixture_advance(f, 1);
	fixture_submit(f, fixture_new_job(ID_B, "urgent", 1, 200));
	cr_assert_eq(f->starts, 2, "its intent is not stored");
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 3);
	fixture_destroy(f);
}

Test(scheduler, a_dropped_tentative_job_frees_its_room)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit_tentative(f, fixture_new_job(ID_A, "urgent", 2, 400));
	fixture_advance(f, 1);
	cr_assert(job_table_drop_tentative(f->jobs, ID_A));
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 0);
	fixture_submit(f, fixture_new_job(ID_B, "urgent", 2, 500));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 2);
	fixture_destroy(f);
}

/* Each batch is a call to the store, and calls cost money. */
Test(scheduler, batches_are_at_least_write_every_ms_apart)
{
	struct fixture *f = fixture_create();

	f->write_every_ms = 25;
	fixture_add_queue(f, "urgent", "desk", 0, 3, 0);
	fixture_start_scheduler(f);
	fixture_add_runner(f, "r0", "desk", "rack0", 1000, 0);
	fixture_poll_all(f);
	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_advance(f, 1);
	cr_assert_eq(f->batch, 1);
	fixture_ack_batch(f);
	fixture_submit(f, fixture_new_job(ID_B, "urgent", 1, 100));
	fixture_advance(f, 10);
	cr_assert_eq(f->batch, 0);
	fixture_advance(f, 15);
	cr_assert_eq(f->batch, 2);
	fixture_destroy(f);
}

/* In a slow store, changes don't wait until the batch in flight is stored. */
Test(scheduler, batches_overlap_in_a_slow_store)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_advance(f, 1);
	cr_assert_eq(f->batch, 1);
	fixture_submit(f, fixture_new_job(ID_B, "urgent", 1, 100));
	fixture_advance(f, 50);
	cr_assert_eq(f->batch, 1, "a fast store would have answered");
	fixture_advance(f, 60);
	cr_assert_eq(f->batch, 2);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 2, "the second batch acknowledges the first");
	fixture_destroy(f);
}

static void count_failed(void *ctx, struct cell_job *j)
{
	uint32_t *n = ctx;

	*n += j->stored_state == JOB_FAILED;
}

/* Guards against an accepted job that can't be done and is shown as queued for ever. */
Test(scheduler, a_stored_job_that_cannot_be_done_fails)
{
	struct fixture *f = fixture_default(1, 1000);
	Cell__Job *job = fixture_new_job(ID_A, "urgent", UINT32_MAX, 100);
	uint32_t failed = 0;

	job->repeats = UINT32_MAX;
	fixture_submit(f, job);
	fixture_submit(f, fixture_new_job(ID_B, "urgent", 1, 100));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	job_table_each(f->jobs, count_failed, &failed);
	cr_expect_eq(failed, 1);
	cr_expect_eq(f->starts, 1, "the other job runs");
	fixture_advance(f, 100000);
	cr_expect_eq(f->expired, 0);
	fixture_advance(f, 30000);
	cr_expect_eq(f->expired, 1, "it is kept as long as any job that has ended");
	fixture_destroy(f);
}

/* Guards against a hang: a job was dropped until no run of it was left, and one had no task. */
Test(scheduler, a_task_listed_twice_has_one_run)
{
	struct fixture *f = fixture_create();
	Cell__Progress m = CELL__PROGRESS__INIT;
	Cell__TaskProgress t = CELL__TASK_PROGRESS__INIT;
	Cell__TaskProgress *rows[] = { &t, &t };
	uint8_t buf[256];

	t.run = 1;
	t.runner = "r0";
	m.state = JOB_RUNNING;
	m.task = rows;
	m.n_task = G_N_ELEMENTS(rows);
	fixture_add_queue(f, "urgent", "desk", 0, 3, 0);
	job_table_apply(f->jobs, ID_A "/p", buf, cell__progress__pack(&m, buf));
	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_start_scheduler(f);
	cr_expect_eq(fixture_find_job(f, ID_A)->live_runs, 1);
	job_table_apply(f->jobs, ID_A, NULL, 0);
	cr_expect_null(fixture_find_job(f, ID_A));
	fixture_destroy(f);
}

Test(scheduler, no_start_on_a_runner_that_has_not_answered)
{
	struct fixture *f = fixture_create();

	fixture_add_queue(f, "urgent", "desk", 0, 3, 0);
	fixture_start_scheduler(f);
	fixture_add_runner(f, "r0", "desk", "rack0", 1000, 0);
	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_advance(f, 1);
	cr_assert_eq(f->batch, 0);
	fixture_poll_all(f);
	cr_assert_neq(f->batch, 0);
	fixture_destroy(f);
}

Test(scheduler, done_is_published_after_it_is_stored)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit_and_start(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_end_run(f, "r0", 1, ID_A ".0.0.0", 1, END_DONE);
	fixture_advance(f, 1);
	cr_assert_eq(fixture_find_job(f, ID_A)->state, JOB_DONE);
	cr_assert_neq(fixture_find_job(f, ID_A)->stored_state, JOB_DONE);
	cr_assert_eq(f->poll->len, 0, "the end must not be acknowledged before it is in the log");
	fixture_ack_batch(f);
	cr_assert_eq(fixture_find_job(f, ID_A)->stored_state, JOB_DONE);
	fixture_advance(f, 5000);
	cr_assert_eq(f->poll->len, 1);
	cr_assert_eq(g_array_index(f->poll, struct fixture_poll, 0).acked_end, 1);
	fixture_destroy(f);
}

/* An unanswered start is sent again on another path, with the same run number, and then stopped. */
Test(scheduler, an_unanswered_start_is_repeated_and_then_stopped)
{
	struct fixture *f = fixture_default(2, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	fixture_start_answer(f, ID_A ".0.0.0", START_UNKNOWN);
	cr_assert_eq(f->start->len, 1);
	cr_assert_eq(fixture_start_at(f, 0)->run, 1);
	cr_assert_eq(fixture_start_at(f, 0)->attempt, 1);
	fixture_start_answer(f, ID_A ".0.0.0", START_UNKNOWN);
	cr_assert_eq(fixture_start_at(f, 0)->attempt, 2);
	fixture_start_answer(f, ID_A ".0.0.0", START_UNKNOWN);
	fixture_advance(f, 1);
	cr_assert_eq(f->start->len, 0);
	cr_assert_eq(f->stop->len, 1);
	cr_assert_eq(cell_job_peek_task(fixture_find_job(f, ID_A), 0)->last_run, 1,
		     "no second run while the first may exist");
	fixture_destroy(f);
}

Test(scheduler, a_refusal_does_not_settle_an_earlier_unanswered_start)
{
	struct fixture *f = fixture_default(2, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	fixture_start_answer(f, ID_A ".0.0.0", START_UNKNOWN);
	fixture_start_answer(f, ID_A ".0.0.0", START_REFUSED);
	fixture_advance(f, 100);
	cr_assert_not_null(cell_job_live_run(fixture_find_job(f, ID_A), 0));
	fixture_destroy(f);
}

struct refusal_case {
	enum start_result result;
	bool again; /* the task may be placed again at once */
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
		struct fixture *f = fixture_default(1, 1000);

		fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
		fixture_advance(f, 1);
		fixture_ack_batch(f);
		fixture_start_answer(f, ID_A ".0.0.0", cases[i].result);
		cr_expect_eq(cell_job_live_run(fixture_find_job(f, ID_A), 0) == NULL,
			     cases[i].again, "case %zu", i);
		fixture_destroy(f);
	}
}

Test(scheduler, a_fenced_scheduler_stops_deciding)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	fixture_start_answer(f, ID_A ".0.0.0", START_FENCED);
	cr_assert_eq(f->fenced, 1);
	fixture_submit(f, fixture_new_job(ID_B, "urgent", 1, 100));
	fixture_advance(f, 1000);
	cr_assert_eq(f->batch, 0, "no decisions after the fence");
	fixture_destroy(f);
}

/*
 * When a runner stops answering, its task runs again only after the lease has certainly ended.
 * Polls without a reply must not extend the lease.
 */
Test(scheduler, a_task_of_a_silent_runner_waits_for_the_end_of_its_lease)
{
	struct fixture *f = fixture_default(2, 1000);
	g_autofree char *runner = NULL;
	int64_t silent_ms;

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	runner = g_strdup(fixture_start_at(f, 0)->runner);
	fixture_accept_starts(f);
	silent_ms = f->now_ms;
	while (f->now_ms - silent_ms < 6000) {
		fixture_advance(f, 100);
		fixture_ack_batch(f);
		fixture_poll_lost(f, runner);
		fixture_poll_answer(f, g_str_equal(runner, "r0") ? "r1" : "r0", NULL, 0, NULL, 0);
		cr_assert_not_null(cell_job_live_run(fixture_find_job(f, ID_A), 0), "after %ld ms",
				   (long)(f->now_ms - silent_ms));
	}
	while (f->now_ms - silent_ms < 9000 && !f->batch) {
		fixture_advance(f, 100);
		fixture_poll_lost(f, runner);
		fixture_poll_answer(f, g_str_equal(runner, "r0") ? "r1" : "r0", NULL, 0, NULL, 0);
	}
	fixture_ack_batch(f);
	cr_assert_eq(f->start->len, 1);
	cr_assert_eq(fixture_start_at(f, 0)->run, 2);
	cr_assert_str_neq(fixture_start_at(f, 0)->runner, runner);
	fixture_destroy(f);
}

/*
 * If only this scheduler can't reach the store, another one takes over. The leases granted here
 * have to end at a time that the successor knows.
 */
Test(scheduler, no_lease_is_granted_when_a_successor_may_exist)
{
	struct fixture *f = fixture_default(1, 1000);
	const struct poll_running row = { .task = ID_A ".0.0.0", .run = 1, .checkpoint = "" };

	fixture_submit_and_start(f, fixture_new_job(ID_A, "urgent", 1, 100));
	scheduler_grant_until(f->sched, f->now_ms + 2000);
	fixture_advance(f, 1000);
	cr_assert_gt(g_array_index(f->poll, struct fixture_poll, 0).deadline_ms, 0);
	fixture_poll_answer(f, "r0", &row, 1, NULL, 0);
	fixture_advance(f, 1500);
	fixture_submit(f, fixture_new_job(ID_B, "urgent", 1, 100));
	fixture_advance(f, 1);
	cr_assert_eq(f->poll->len, 1, "polls for ends go on");
	cr_assert_eq(g_array_index(f->poll, struct fixture_poll, 0).deadline_ms, 0);
	fixture_ack_batch(f);
	cr_assert_eq(f->start->len, 0);
	fixture_destroy(f);
}

/* A runner that was idle for longer than a lease has no valid lease; a new run must not be lost. */
Test(scheduler, a_start_on_an_idle_runner_does_not_lapse)
{
	struct fixture *f = fixture_default(1, 1000);

	for (int i = 0; i < 20; i++) {
		fixture_advance(f, 1000);
		fixture_poll_answer(f, "r0", NULL, 0, NULL, 0);
	}
	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_advance(f, 1);
	fixture_advance(f, 1);
	cr_assert_not_null(cell_job_live_run(fixture_find_job(f, ID_A), 0));
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 1);
	fixture_destroy(f);
}

Test(scheduler, cancelled_jobs_are_stopped_and_not_started)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_submit(f, fixture_new_job(ID_B, "urgent", 1, 100));
	fixture_advance(f, 1);
	fixture_cancel(f, ID_B);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 1, "the second job was cancelled before its start was sent");
	fixture_accept_starts(f);
	fixture_cancel(f, ID_A);
	cr_assert_eq(f->stop->len, 1);
	fixture_advance(f, 1);
	while (fixture_ack_batch(f))
		;
	cr_assert_eq(fixture_find_job(f, ID_A)->stored_state, JOB_CANCELLED);
	fixture_destroy(f);
}

/* A stop order is repeated until the runner has answered it. */
Test(scheduler, stops_are_repeated)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit_and_start(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_cancel(f, ID_A);
	for (int i = 0; i < 5; i++)
		fixture_advance(f, 800);
	cr_assert_geq(f->stop->len, 4);
	scheduler_stop_answered(f->sched, "r0", ID_A ".0.0.0", 1, true, f->now_ms);
	g_array_set_size(f->stop, 0);
	fixture_advance(f, 800);
	cr_assert_eq(f->stop->len, 0);
	fixture_destroy(f);
}

Test(scheduler, attempts_are_counted)
{
	struct fixture *f = fixture_default(4, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	for (uint32_t run = 1; run <= 3; run++) {
		g_autofree char *runner = NULL;

		fixture_advance(f, 5000);
		while (f->poll->len)
			fixture_poll_answer(f,
					    g_array_index(f->poll, struct fixture_poll, 0).runner,
					    NULL, 0, NULL, 0);
		fixture_advance(f, 1);
		fixture_ack_batch(f);
		cr_assert_eq(f->start->len, 1, "run %u", run);
		runner = g_strdup(fixture_start_at(f, 0)->runner);
		fixture_accept_starts(f);
		fixture_end_run(f, runner, run, ID_A ".0.0.0", run, END_FAILED);
		fixture_advance(f, 1);
		fixture_ack_batch(f);
	}
	cr_assert_eq(fixture_find_job(f, ID_A)->stored_state, JOB_FAILED);
	cr_assert_eq(f->starts, 3);
	fixture_destroy(f);
}

Test(scheduler, lasting_tasks_are_restarted_after_any_end)
{
	struct fixture *f = fixture_default(2, 1000);
	Cell__Job *job = fixture_new_job(ID_A, "urgent", 1, 100);

	job->step[0]->lasting = true;
	fixture_submit(f, job);
	for (uint32_t run = 1; run <= 6; run++) {
		g_autofree char *runner = NULL;

		fixture_advance(f, 5000);
		while (f->poll->len)
			fixture_poll_answer(f,
					    g_array_index(f->poll, struct fixture_poll, 0).runner,
					    NULL, 0, NULL, 0);
		fixture_advance(f, 1);
		fixture_ack_batch(f);
		cr_assert_eq(f->start->len, 1, "run %u", run);
		runner = g_strdup(fixture_start_at(f, 0)->runner);
		fixture_accept_starts(f);
		fixture_end_run(f, runner, run, ID_A ".0.0.0", run,
				run % 2 ? END_FAILED : END_DONE);
		fixture_advance(f, 1);
		fixture_ack_batch(f);
	}
	cr_assert_eq(fixture_find_job(f, ID_A)->stored_state, JOB_RUNNING);
	fixture_destroy(f);
}

/* A runner whose tasks all fail always has room; after two failures in a row it is quarantined. */
Test(scheduler, a_failing_runner_is_quarantined)
{
	struct fixture *f = fixture_default(1, 1000);

	for (uint32_t i = 0; i < 2; i++) {
		g_autofree char *id = g_strdup_printf("00000000000000d%u", i);
		g_autofree char *task = g_strdup_printf("%s.0.0.0", id);

		fixture_submit_and_start(f, fixture_new_job(id, "urgent", 1, 100));
		fixture_end_run(f, "r0", i + 1, task, 1, END_FAILED);
		fixture_advance(f, 1);
		fixture_ack_batch(f);
		fixture_advance(f, 1);
	}
	fixture_submit(f, fixture_new_job(ID_C, "urgent", 1, 100));
	fixture_advance(f, 500);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 2);
	fixture_destroy(f);
}

/*
 * Guards against a sound runner that gets no starts because of one task: each failure of a task
 * that always fails counted against the only runner that its advisor approves, for up to 16 s.
 */
Test(scheduler, a_task_that_fails_again_on_its_runner_puts_it_into_no_quarantine)
{
	enum { ATTEMPTS = 4, AVOIDED_MS = 4100 };
	struct fixture *f = fixture_default(1, 1000);

	fixture_add_queue(f, "often", "desk", 0, ATTEMPTS, 0);
	fixture_submit(f, fixture_new_job(ID_A, "often", 1, 100));
	for (uint32_t run = 1; run < ATTEMPTS; run++) {
		fixture_advance(f, AVOIDED_MS);
		fixture_ack_batch(f);
		cr_assert_eq(f->start->len, 1, "run %u", run);
		fixture_accept_starts(f);
		fixture_end_run(f, "r0", run, ID_A ".0.0.0", run, END_FAILED);
		fixture_advance(f, 1);
		fixture_ack_batch(f);
		fixture_advance(f, 1);
		fixture_poll_answer(f, "r0", NULL, 0, NULL, 0);
	}
	fixture_submit(f, fixture_new_job(ID_C, "urgent", 1, 100));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->start->len, 1);
	cr_expect_str_eq(fixture_start_at(f, 0)->task, ID_C ".0.0.0");
	fixture_destroy(f);
}

#define QUARANTINES_MAX	   5
#define QUARANTINE_RUNS	   6
#define QUARANTINE_STEP_MS 50

struct quarantine_case {
	const char *what;
	uint32_t runs[QUARANTINES_MAX];	   /* that start together and all fail; 0 ends the list */
	uint32_t late_runs;		   /* as many of the first ones fail only after the pause */
	int64_t pause_ms[QUARANTINES_MAX]; /* expected, until the next starts */
};

/* Starts jobs of one task on r0, with ids numbered from first. */
static void start_jobs(struct fixture *f, uint32_t first, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		g_autofree char *id = g_strdup_printf("%016x", first + i);

		fixture_submit(f, fixture_new_job(id, "once", 1, 50));
	}
	fixture_advance(f, 1);
	fixture_ack_batch(f);
}

/* Ends the runs of these jobs as failed in one reply; the next `running` ones go on. */
static void fail_jobs(struct fixture *f, uint32_t first, uint32_t count, uint32_t running)
{
	char task[2 * QUARANTINE_RUNS][32];
	struct poll_ended ended[QUARANTINE_RUNS];
	struct poll_running row[QUARANTINE_RUNS];

	for (uint32_t i = 0; i < count + running; i++)
		g_snprintf(task[i], sizeof(task[i]), "%016x.0.0.0", first + i);
	for (uint32_t i = 0; i < count; i++)
		ended[i] = (struct poll_ended){ .seq = first + i,
						.task = task[i],
						.run = 1,
						.end = END_FAILED,
						.checkpoint = "" };
	for (uint32_t i = 0; i < running; i++)
		row[i] = (struct poll_running){
			.task = task[count + i], .run = 1, .checkpoint = "", .usage = 50
		};
	fixture_advance(f, 1);
	cr_assert(fixture_poll_answer(f, "r0", row, running, ended, count));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
}

/* Returns how long the waiting jobs wait from since_ms on. */
static int64_t wait_for_starts(struct fixture *f, int64_t since_ms)
{
	while (!f->start->len && f->now_ms - since_ms < 60000) {
		fixture_advance(f, QUARANTINE_STEP_MS);
		fixture_ack_batch(f);
	}
	return f->now_ms - since_ms;
}

/*
 * Runs that had started together counted as failures after one another: three of them barred a
 * runner that had recovered, the only one that their step could use, for 16 s instead of 4 s.
 */
Test(scheduler, a_quarantine_grows_only_by_runs_that_started_after_the_last_one)
{
	static const struct quarantine_case cases[] = {
		{ "one by one", { 2, 1, 1, 1, 1 }, 0, { 2000, 4000, 8000, 16000, 16000 } },
		{ "many at first", { 6, 1 }, 0, { 2000, 4000 } },
		{ "three after a quarantine", { 2, 3, 1 }, 0, { 2000, 4000, 8000 } },
		{ "many each time", { 5, 5, 5 }, 0, { 2000, 4000, 8000 } },
		{ "older ones after the pause", { 4, 1, 1 }, 2, { 2000, 4000, 8000 } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct quarantine_case *c = &cases[i];
		struct fixture *f = fixture_default(1, 1000);
		uint32_t first = 1;
		uint32_t late = c->late_runs;

		fixture_add_queue(f, "once", "desk", 0, 1, 0);
		start_jobs(f, first, c->runs[0]);
		for (uint32_t k = 0; k < QUARANTINES_MAX && c->runs[k]; k++) {
			bool last = k + 1 == QUARANTINES_MAX || !c->runs[k + 1];
			uint32_t next = first + c->runs[k];
			int64_t since_ms = f->now_ms;

			cr_assert_eq(f->start->len, c->runs[k], "%s: round %u", c->what, k);
			fixture_accept_starts(f);
			fail_jobs(f, first, c->runs[k] - late, late);
			start_jobs(f, next, last ? 1 : c->runs[k + 1]);
			cr_expect_eq(wait_for_starts(f, since_ms) / 1000 * 1000, c->pause_ms[k],
				     "%s: pause %u", c->what, k);
			if (late)
				fail_jobs(f, next - late, late, 0);
			late = 0;
			first = next;
		}
		fixture_destroy(f);
	}
}

Test(scheduler, draining_runners_get_no_starts)
{
	struct fixture *f = fixture_default(1, 1000);
	struct runner_info info = { .id = "r0",
				    .address = "10.0.0.1:80",
				    .service = "desk",
				    .dc = "dc",
				    .rack = "rack0",
				    .incarnation_ms = 1000,
				    .draining = true,
				    .capacity = { 1000, 1 << 30, 0 } };

	scheduler_update_runner(f->sched, &info, f->now_ms);
	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_advance(f, 1);
	cr_assert_eq(f->batch, 0);
	fixture_destroy(f);
}

Test(scheduler, unknown_runs_are_stopped)
{
	struct fixture *f = fixture_default(1, 1000);
	const struct poll_running rows[] = {
		{ .task = "00000000000000ff.0.0.0", .run = 1, .checkpoint = "" },
		{ .task = "what is this", .run = 1, .checkpoint = "" },
	};

	fixture_advance(f, 4100);
	fixture_poll_answer(f, "r0", rows, 2, NULL, 0);
	cr_assert_eq(f->stop->len, 2);
	fixture_destroy(f);
}

#define GHOST_LATE 1 /* run number of the run that a late order started */

enum ghost_task {
	GHOST_WAITS = 0, /* its task has no other run */
	GHOST_DONE,	 /* its task has ended */
	GHOST_PLANNED,	 /* its task has another start in flight */
	GHOST_MOVED,	 /* its task has another run, which is gone */
	GHOST_UNKNOWN,	 /* of no known task */
};

struct ghost_case {
	const char *what;
	enum ghost_task task;
};

/* A task with a first run that ended on r0, and r0 restarted. */
static struct fixture *ghost_fixture(const struct ghost_case *c)
{
	struct fixture *f = fixture_default(1, 1000);

	fixture_submit_and_start(f, fixture_new_job(ID_A, "urgent", 1, 600));
	fixture_end_run(f, "r0", 1, ID_A ".0.0.0", 1,
			c->task == GHOST_DONE ? END_DONE : END_FAILED);
	if (c->task == GHOST_PLANNED || c->task == GHOST_MOVED) {
		fixture_advance(f, 4100);
		fixture_poll_answer(f, "r0", NULL, 0, NULL, 0);
		fixture_advance(f, 1);
		while (fixture_ack_batch(f))
			;
		cr_assert_eq(f->starts, 2);
	}
	if (c->task == GHOST_MOVED)
		fixture_accept_starts(f);
	while (fixture_ack_batch(f))
		;
	if (c->task != GHOST_PLANNED)
		fixture_restart_r0(f);
	fixture_advance(f, 1);
	while (f->poll->len > 1)
		g_array_remove_index(f->poll, 0);
	return f;
}

/*
 * A late order starts a run on a restarted runner, before the scheduler can fence it. The runner
 * was given more than it holds, and the task was started again while that run was being stopped
 * (simulation, "late orders reach restarted runners", seeds 1004, 1005, 1023).
 */
Test(scheduler, an_unexpected_run_uses_capacity_until_it_has_ended)
{
	static const struct ghost_case cases[] = {
		{ "task waits", GHOST_WAITS },	      { "task done", GHOST_DONE },
		{ "start in flight", GHOST_PLANNED }, { "other run gone", GHOST_MOVED },
		{ "unknown task", GHOST_UNKNOWN },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture *f = ghost_fixture(&cases[i]);
		const struct poll_running row = { .task = cases[i].task == GHOST_UNKNOWN
								  ? ID_C ".0.0.0"
								  : ID_A ".0.0.0",
						  .run = GHOST_LATE,
						  .checkpoint = "" };
		const struct poll_ended end = { .seq = 2,
						.task = row.task,
						.run = row.run,
						.end = END_FAILED,
						.checkpoint = "" };
		uint32_t starts = f->starts;

		fixture_poll_answer(f, "r0", &row, 1, NULL, 0);
		fixture_submit(f, fixture_new_job(ID_B, "urgent", 1, 600));
		if (cases[i].task == GHOST_PLANNED)
			fixture_start_answer(f, ID_A ".0.0.0", START_UNKNOWN);
		for (int k = 0; k < 5; k++) {
			fixture_advance(f, 100);
			while (fixture_ack_batch(f))
				;
		}
		cr_expect_gt(f->stop->len, 0, "%s: not stopped", cases[i].what);
		cr_expect_eq(f->starts, starts, "%s: a start while it is stopped", cases[i].what);
		fixture_advance(f, 1);
		fixture_poll_answer(f, "r0", NULL, 0, &end, 1);
		if (cases[i].task == GHOST_PLANNED)
			scheduler_stop_answered(f->sched, "r0", ID_A ".0.0.0", 2, true, f->now_ms);
		if (cases[i].task == GHOST_DONE)
			cr_expect_eq(fixture_find_job(f, ID_A)->state, JOB_DONE, "%s",
				     cases[i].what);
		for (int k = 0; k < 60; k++) {
			fixture_advance(f, 100);
			while (fixture_ack_batch(f))
				;
			fixture_poll_answer(f, "r0", NULL, 0, NULL, 0);
		}
		cr_expect_gt(f->starts, starts, "%s: no start after its end", cases[i].what);
		fixture_destroy(f);
	}
}

struct hang_case {
	const char *what;
	uint32_t usage;
	bool gang;
	bool filler;
	bool stopped;
};

/* Tasks on a worker hang, without an end or a failure being reported. */
Test(scheduler, hung_tasks_are_stopped)
{
	static const struct hang_case cases[] = {
		{ "no usage", 0, false, false, true },
		{ "some usage", 5, false, false, false },
		{ "a gang may wait for its members", 0, true, false, false },
		{ "a filler may wait for room", 0, false, true, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture *f = fixture_default(1, 1000);
		Cell__Job *job = fixture_new_job(ID_A, "urgent", 1, 100);
		const struct poll_running row = {
			.task = ID_A ".0.0.0", .run = 1, .checkpoint = "", .usage = cases[i].usage
		};

		job->step[0]->gang = cases[i].gang;
		job->step[0]->filler = cases[i].filler;
		fixture_submit(f, job);
		fixture_advance(f, 1);
		fixture_ack_batch(f);
		fixture_accept_starts(f);
		for (int k = 0; k < 20; k++) {
			fixture_advance(f, 100);
			fixture_poll_answer(f, "r0", &row, 1, NULL, 0);
		}
		cr_expect_eq(f->stop->len > 0, cases[i].stopped, "%s", cases[i].what);
		fixture_destroy(f);
	}
}

/* A task that failed on the only approved runner is started there again, after AVOID_ONLY_MS. */
Test(scheduler, the_only_runner_is_avoided_for_a_short_time)
{
	struct fixture *f = fixture_create();

	fixture_add_queue(f, "quick", "desk", 0, 3, 17);
	fixture_start_scheduler(f);
	fixture_add_runner(f, "r0", "desk", "rack0", 1000, 0);
	fixture_poll_all(f);
	fixture_submit(f, fixture_new_job(ID_A, "quick", 1, 100));
	fixture_advance(f, 1);
	fixture_advise(f, "", 5000);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	fixture_accept_starts(f);
	fixture_end_run(f, "r0", 1, ID_A ".0.0.0", 1, END_FAILED);
	fixture_advance(f, 500);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 1);
	fixture_advance(f, 500);
	fixture_ack_batch(f);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 2);
	fixture_destroy(f);
}

/* Other nodes tell how many jobs wait, and know from the log whether a job has begun. */
Test(scheduler, the_first_start_of_a_job_is_written_to_the_log)
{
	struct fixture *f = fixture_default(1, 1000);
	Cell__Progress *m;
	const struct log_record *r;

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 2, 400));
	fixture_advance(f, 1);
	r = f->records->pdata[0];
	m = cell__progress__unpack(NULL, r->size, r->value);
	cr_expect_eq(m->state, JOB_QUEUED, "no start was sent yet");
	cell__progress__free_unpacked(m, NULL);
	fixture_ack_batch(f);
	fixture_accept_starts(f);
	fixture_advance(f, 1);
	cr_expect_eq(f->batch, 0, "it need not be written at once");
	fixture_advance(f, 600);
	cr_assert_not_null(f->records);
	r = f->records->pdata[0];
	m = cell__progress__unpack(NULL, r->size, r->value);
	cr_expect_eq(m->state, JOB_RUNNING);
	cell__progress__free_unpacked(m, NULL);
	cr_expect_eq(fixture_ack_batch(f), 1);
	fixture_advance(f, 1000);
	cr_expect_eq(f->batch, 0, "further starts need no record of their own");
	fixture_destroy(f);
}

/*
 * Guards against a job table that changes while it is searched: deleting an expired job may end an
 * append of another job, which is then dropped from the table.
 */
Test(scheduler, jobs_are_dropped_while_others_expire)
{
	enum { ENDED = 50, TENTATIVE = 900 };
	struct fixture *f = fixture_default(1, 1000);
	g_autoptr(GPtrArray) withdraw = g_ptr_array_new_with_free_func(g_free);
	Cell__Progress m = CELL__PROGRESS__INIT;
	uint8_t buf[64];

	m.state = JOB_DONE;
	m.ended_ms = 1;
	for (int i = 0; i < ENDED; i++) {
		g_autofree char *id = g_strdup_printf("%016x", 0xe000 + i);
		g_autofree char *key = g_strdup_printf("%s/p", id);

		job_table_apply(f->jobs, key, buf, cell__progress__pack(&m, buf));
		fixture_submit(f, fixture_new_job(id, "urgent", 1, 600));
	}
	for (int i = 0; i < TENTATIVE; i++) {
		char *id = g_strdup_printf("%016x", 0x70000 + i);

		fixture_submit_tentative(f, fixture_new_job(id, "urgent", 1, 2000));
		g_ptr_array_add(withdraw, id);
	}
	f->withdraw = withdraw;
	fixture_advance(f, 5000);
	cr_expect_eq(f->expired, ENDED, "%u expired", f->expired);
	cr_expect_eq(job_table_size(f->jobs), ENDED);
	fixture_destroy(f);
}

/* A job that runs on few runners names each of them once in its record. */
Test(scheduler, intents_name_each_runner_once)
{
	enum { TASKS = 40, CPU_MILLI = 1000, BYTES_MAX = 10 * TASKS };
	struct fixture *f = fixture_default(2, (int64_t)CPU_MILLI * TASKS);
	Cell__Progress *m;
	const struct log_record *r;

	fixture_submit(f, fixture_new_job(ID_A, "urgent", TASKS, CPU_MILLI));
	fixture_advance(f, 1);
	cr_assert_not_null(f->records);
	r = f->records->pdata[0];
	cr_expect_leq(r->size, BYTES_MAX, "%zu bytes", r->size);
	m = cell_job_unpack_progress(r->value, r->size);
	cr_assert_not_null(m);
	cr_assert_eq(m->n_task, TASKS);
	for (size_t i = 0; i < m->n_task; i++) {
		cr_expect_eq(*m->task[i]->runner, 'r');
		cr_expect_gt(m->task[i]->born_ms, 0);
	}
	cell__progress__free_unpacked(m, NULL);
	fixture_destroy(f);
}

/*
 * The members of a gang end together, and each runner lists the end of its own. Stop orders to
 * them would be refused; they were a third of all orders on a busy day. Members of another run of
 * the gang still run and have to be stopped.
 */
struct gang_end_case {
	const char *what;
	uint32_t run_ended; /* the run that is listed as done */
	guint stops;
};

static const struct gang_end_case gang_end_cases[] = {
	{ "the current run", 2, 0 },
	{ "an earlier run that was lost", 1, 3 },
};

Test(scheduler, members_of_a_finished_gang_are_not_stopped)
{
	for (size_t i = 0; i < G_N_ELEMENTS(gang_end_cases); i++) {
		const struct gang_end_case *c = &gang_end_cases[i];
		struct fixture *f = fixture_default(3, 1000);
		Cell__Job *job = fixture_new_job(ID_A, "urgent", 3, 1000);
		g_autofree char *runner = NULL;
		g_autofree char *task = NULL;

		job->step[0]->gang = true;
		fixture_submit_and_start(f, job);
		cr_assert_eq(f->starts, 3);
		for (uint32_t k = 0; k < 3; k++)
			cell_job_live_run(fixture_find_job(f, ID_A), k)->number = 2;
		runner = g_strdup(cell_job_live_run(fixture_find_job(f, ID_A), 0)->runner->id);
		task = g_strdup_printf("%s.0.0.0", ID_A);
		fixture_end_run(f, runner, 1, task, c->run_ended, END_DONE);
		fixture_advance(f, 1);
		cr_expect_eq(fixture_find_job(f, ID_A)->state, JOB_DONE, "%s", c->what);
		cr_expect_eq(f->stop->len, c->stops, "%s: %u stops", c->what, f->stop->len);
		fixture_destroy(f);
	}
}

/*
 * A crashed runner comes back under another id at the same address. Its runs were thought to be
 * running until their lease had ended, seconds later.
 */
Test(scheduler, runs_of_a_replaced_runner_are_lost_at_once)
{
	struct fixture *f = fixture_default(2, 1000);
	g_autofree char *runner = NULL;

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 1, 100));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	runner = g_strdup(fixture_start_at(f, 0)->runner);
	fixture_accept_starts(f);
	fixture_advance(f, 1);
	cr_assert(fixture_poll_lost(f, runner));
	fixture_advance(f, 200);
	cr_assert_eq(f->starts, 1, "silence proves nothing");
	cr_assert(fixture_poll_other(f, runner));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 2);
	cr_expect_eq(fixture_start_at(f, 0)->run, 2);
	cr_expect_str_neq(fixture_start_at(f, 0)->runner, runner);
	/* The entry of the ended runner may change once more. */
	fixture_add_runner(f, runner, "desk", "rack0", 1000, 0);
	fixture_submit(f, fixture_new_job(ID_B, "urgent", 10, 100));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	for (guint i = 0; i < f->start->len; i++)
		cr_expect_str_neq(fixture_start_at(f, i)->runner, runner);
	fixture_destroy(f);
}

/* In a slow store a start waits for its intent, and the runner's capacity may shrink meanwhile. */
Test(scheduler, a_start_fits_the_capacity_at_the_time_it_is_sent)
{
	static const struct {
		const char *what;
		int64_t cpu_milli; /* after the change */
		uint32_t starts;
	} cases[] = {
		{ "unchanged", 1000, 2 }, { "grown", 2000, 2 },	      { "still enough", 800, 2 },
		{ "half", 500, 1 },	  { "nothing fits", 300, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture *f = fixture_default(1, 1000);

		fixture_submit(f, fixture_new_job(ID_A, "urgent", 2, 400));
		fixture_advance(f, 1);
		fixture_add_runner(f, "r0", "desk", "rack0", cases[i].cpu_milli, 0);
		fixture_ack_batch(f);
		cr_expect_eq(f->starts, cases[i].starts, "%s: %u starts", cases[i].what, f->starts);
		fixture_destroy(f);
	}
}
