#include <criterion/criterion.h>

#include "process/quarantine.h"
#include "process/retrybudget.h"
#include "standin/cell.h"

#define GIB    ((uint64_t)1 << 30)
#define CPU(n) ((uint32_t)(n)*1000u)

static const struct worker_info plain = {
	.name = "plain",
	.total = { .cpu_milli = CPU(32), .mem_bytes = 128 * GIB },
	.service = UINT32_MAX,
};

static const struct worker_info runner = {
	.name = "runner",
	.total = { .cpu_milli = CPU(32), .mem_bytes = 128 * GIB },
	.slots = 8,
	.connections = 64,
	.service = 1,
};

static struct work task(enum work_class class, uint64_t job, uint32_t cpus, uint32_t run_ms)
{
	return (struct work){ .class = class,
			      .size = { .cpu_milli = CPU(cpus), .mem_bytes = GIB },
			      .job = job,
			      .service = 2,
			      .run_ms = run_ms,
			      .avoid_worker = UINT32_MAX };
}

static struct work request(uint32_t team, int64_t deadline_ms)
{
	return (struct work){ .class = WORK_REQUEST,
			      .slot = true,
			      .team = team,
			      .service = 1,
			      .run_ms = 100,
			      .deadline_ms = deadline_ms,
			      .avoid_worker = UINT32_MAX };
}

static void finish(struct cell *c)
{
	cr_expect_eq(c->faults, 0, "%s", c->fault);
	cell_clear(c);
}

struct result_step {
	uint32_t worker;
	uint64_t job;
	enum end_result result;
};

struct quarantine_case {
	const char *name;
	struct result_step step[10];
	uint32_t steps;
	bool quarantined[3];
	bool bad_job; /* job 1 */
};

static void on_changed(void *ctx, uint32_t worker, bool quarantined, int64_t now_ms)
{
	((bool *)ctx)[worker] = quarantined;
}

static const struct quarantine_ops quarantine_ops = { .changed = on_changed };

Test(failures, quarantine_tells_bad_workers_from_bad_jobs)
{
	static const struct quarantine_case cases[] = {
		{ "three jobs fail on one worker",
		  { { 0, 1, END_FAILED }, { 0, 2, END_FAILED }, { 0, 3, END_FAILED } },
		  3,
		  { true } },
		{ "one job fails again and again on one worker",
		  { { 0, 1, END_FAILED }, { 0, 1, END_FAILED }, { 0, 1, END_FAILED } },
		  3,
		  { false } },
		{ "a success between",
		  { { 0, 1, END_FAILED },
		    { 0, 2, END_FAILED },
		    { 0, 9, END_OK },
		    { 0, 3, END_FAILED },
		    { 0, 4, END_FAILED } },
		  5,
		  { false } },
		{ "a job that runs well elsewhere",
		  { { 0, 1, END_FAILED },
		    { 1, 1, END_OK },
		    { 0, 1, END_FAILED },
		    { 0, 1, END_FAILED } },
		  4,
		  { true } },
		{ "a job that fails on three workers",
		  { { 0, 1, END_FAILED },
		    { 1, 1, END_FAILED },
		    { 2, 1, END_FAILED },
		    { 0, 1, END_FAILED },
		    { 0, 1, END_FAILED },
		    { 0, 1, END_FAILED } },
		  6,
		  { false },
		  true },
		{ "failures of a bad job are discarded",
		  { { 0, 2, END_FAILED },
		    { 0, 3, END_FAILED },
		    { 0, 1, END_FAILED },
		    { 1, 1, END_FAILED },
		    { 2, 1, END_FAILED },
		    { 1, 1, END_FAILED } },
		  6,
		  { false },
		  true },
		{ "starts that the worker refuses",
		  { { 0, 1, END_REFUSED }, { 0, 1, END_UNREACHABLE }, { 0, 1, END_LOST } },
		  3,
		  { true } },
		{ "work that was preempted",
		  { { 0, 1, END_PREEMPTED }, { 0, 2, END_PREEMPTED }, { 0, 3, END_PREEMPTED } },
		  3,
		  { false } },
	};
	struct owner_conf conf;

	owner_conf_default(&conf);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bool quarantined[3] = { false };
		struct quarantine *q = quarantine_create(&conf, &quarantine_ops, quarantined);

		for (uint32_t j = 0; j < cases[i].steps; j++) {
			const struct result_step *s = &cases[i].step[j];

			quarantine_result(q, s->worker, s->job, s->result, false, j);
		}
		for (int j = 0; j < 3; j++)
			cr_expect_eq(quarantined[j], cases[i].quarantined[j], "%s: %d",
				     cases[i].name, j);
		cr_expect_eq(quarantine_bad_job(q, 1), cases[i].bad_job, "%s", cases[i].name);
		quarantine_destroy(q);
	}
}

Test(failures, probe_delay_doubles_until_a_probe_succeeds)
{
	bool quarantined[1] = { false };
	struct owner_conf conf;
	struct quarantine *q;
	int64_t now_ms = 0;
	uint32_t delay_ms;

	owner_conf_default(&conf);
	q = quarantine_create(&conf, &quarantine_ops, quarantined);
	for (uint64_t job = 1; job <= 3; job++)
		quarantine_result(q, 0, job, END_FAILED, false, 0);
	delay_ms = conf.quarantine_min_ms;
	for (int i = 0; i < 8; i++) {
		int64_t next_ms = quarantine_next_ms(q);

		cr_expect_geq(next_ms - now_ms, delay_ms);
		cr_expect_leq(next_ms - now_ms, delay_ms + delay_ms / 4);
		quarantine_run(q, next_ms - 1);
		cr_expect(quarantined[0]);
		quarantine_run(q, next_ms);
		cr_expect_not(quarantined[0]);
		cr_expect(quarantine_placed(q, 0, next_ms));
		cr_expect(quarantined[0], "one probe only");
		now_ms = next_ms;
		delay_ms = MIN(2 * delay_ms, conf.quarantine_max_ms);
		quarantine_result(q, 0, 10, i < 7 ? END_FAILED : END_OK, true, now_ms);
	}
	cr_expect_not(quarantined[0]);
	cr_expect_eq(quarantine_next_ms(q), INT64_MAX);
	quarantine_destroy(q);
}

Test(failures, worker_that_fails_everything_gets_little_work)
{
	uint64_t job = 1;
	struct cell c;

	cell_init(&c, NULL);
	cell_workers(&c, &plain, 10);
	for (c.now_ms = 0; c.now_ms < 60000; c.now_ms += 100) {
		for (int i = 0; i < 5; i++) {
			struct work w = task(WORK_BATCH, job++, 4, 1000);
			uint64_t id = cell_submit(&c, &w);

			cell_run(&c);
			if (cell_work(&c, id)->running && cell_work(&c, id)->worker == 0)
				cell_end(&c, id, END_FAILED);
		}
		cell_end_due(&c);
	}
	/* Three starts, then one probe after each of 5, 10, 20 and 40 s. */
	cr_expect_leq(g_array_index(c.workers, struct cell_worker, 0).starts, 7);
	cr_expect_eq(c.started, 3000);
	finish(&c);
}

Test(failures, bad_job_does_not_quarantine_workers)
{
	struct work bad = task(WORK_BATCH, 5, 4, 0);
	struct work good = task(WORK_BATCH, 6, 32, 0);
	struct cell c;

	cell_init(&c, NULL);
	cell_workers(&c, &plain, 6);
	for (uint64_t id = 1; id <= 200; id++) {
		cell_submit(&c, &bad);
		cell_run(&c);
		if (id % 10 == 0)
			for (uint64_t j = id - 9; j <= id; j++)
				cell_end(&c, j, END_FAILED);
		c.now_ms += 1000;
	}
	c.now_ms += 1000;
	for (int i = 0; i < 6; i++)
		cell_submit(&c, &good);
	/* One of the six is reserved in part for urgent work, so the task doesn't fit on it. */
	cr_expect_eq(cell_run(&c), 5);
	finish(&c);
}

struct urgent_case {
	const char *name;
	int workers;
	bool preemptible;
	uint32_t cpus;
};

Test(failures, urgent_task_starts_in_time_in_a_full_cell)
{
	static const struct urgent_case cases[] = {
		{ "large, from the reserve", 40, false, 16 },
		{ "small, from the reserve of a small cell", 4, false, 1 },
		{ "large, by preemption", 4, true, 16 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct work batch = task(WORK_BATCH, 1, 1, 0);
		struct work urgent = task(WORK_URGENT, 0, cases[i].cpus, 1000);
		struct cell c;
		uint64_t id;

		cell_init(&c, NULL);
		cell_workers(&c, &plain, cases[i].workers);
		batch.preemptible = cases[i].preemptible;
		for (int j = 0; j < 32 * cases[i].workers; j++)
			cell_submit(&c, &batch);
		cell_run(&c);
		c.now_ms = 1000;
		id = cell_submit(&c, &urgent);
		cell_run(&c);
		for (uint64_t j = 1; j < id; j++)
			if (cell_work(&c, j)->preempt)
				cell_end(&c, j, END_PREEMPTED);
		c.now_ms = 2500;
		cell_run(&c);
		cr_expect(cell_work(&c, id)->running, "%s", cases[i].name);
		finish(&c);
	}
}

Test(failures, burst_of_one_team_leaves_time_for_others)
{
	uint32_t refused = 0;
	uint32_t late = 0;
	struct cell c;

	cell_init(&c, NULL);
	cell_workers(&c, &runner, 10);
	for (c.now_ms = 0; c.now_ms < 5000; c.now_ms += 20) {
		struct work mine = request(1, c.now_ms + 2000);
		struct work theirs = request(2, c.now_ms + 2000);
		uint64_t id;

		for (int i = 0; c.now_ms < 2000 && i < 100; i++)
			cell_submit(&c, &theirs);
		id = cell_submit(&c, &mine);
		refused += cell_work(&c, id)->refused != REFUSE_REASONS;
		cell_run(&c);
		cell_end_due(&c);
	}
	for (uint64_t id = 1; id < c.next_id; id++)
		late += cell_work(&c, id)->running &&
			cell_work(&c, id)->started_ms > cell_work(&c, id)->w.deadline_ms - 100;
	cr_expect_eq(refused, 0);
	cr_expect_eq(late, 0);
	cr_expect_gt(c.refused[REFUSE_QUEUE_FULL], 1000);
	finish(&c);
}

Test(failures, mass_cancellation_leaves_the_queues_working)
{
	struct work waiting = request(0, 0);
	struct work batch = task(WORK_BATCH, 1, 32, 0);
	struct work last = request(0, 0);
	struct cell c;
	uint64_t id;

	cell_init(&c, NULL);
	cell_workers(&c, &runner, 2);
	for (int i = 0; i < 5000; i++) {
		cell_submit(&c, &waiting);
		cell_submit(&c, &batch);
	}
	cell_run(&c);
	id = cell_submit(&c, &last);
	for (uint64_t j = 1; j < id; j++)
		owner_cancel(c.owner, j, 0);
	cr_expect_eq(c.started + c.refused[REFUSE_CANCELLED], 10000);
	for (uint64_t j = 1; j < id && !cell_work(&c, id)->running; j++)
		if (cell_work(&c, j)->w.slot)
			cell_end(&c, j, END_OK);
	cr_expect_eq(cell_run(&c), 1);
	cr_expect(cell_work(&c, id)->running);
	finish(&c);
}

Test(failures, retry_times_are_spread_and_retries_are_limited)
{
	uint32_t in_second[80] = { 0 };
	struct work again;
	struct cell c;

	cell_init(&c, NULL);
	cell_workers(&c, &runner, 10);
	for (int i = 0; i < 2000; i++) {
		struct work w = request((uint32_t)i % 50, 200);
		const struct cell_work *cw = cell_work(&c, cell_submit(&c, &w));

		if (cw->refused != REFUSE_REASONS)
			in_second[MIN(cw->retry_after_ms / 1000, 79)]++;
	}
	cell_run(&c);
	/* 80 slots serve 800 requests per second, each of 100 ms. */
	for (int i = 0; i < 80; i++)
		cr_expect_leq(in_second[i], 1200, "second %d: %u", i, in_second[i]);
	c.now_ms = 1000;
	cell_end_due(&c);
	c.started = 0;
	for (int i = 0; i < 1000; i++) {
		again = request(3, 3000);
		again.retry = true;
		cell_submit(&c, &again);
	}
	cell_run(&c);
	cr_expect_leq(c.started, RETRYBUDGET_MAX_MILLI / 1000);
	finish(&c);
}

Test(failures, memory_use_beyond_the_declared_size_is_accounted_for)
{
	struct work w = task(WORK_BATCH, 1, 1, 0);
	struct res used = { .cpu_milli = CPU(1), .mem_bytes = 32 * GIB };
	struct cell c;

	cell_init(&c, NULL);
	cell_worker(&c, &plain);
	for (int i = 0; i < 3; i++)
		cell_submit(&c, &w);
	cell_run(&c);
	for (int round = 0; round < 20; round++)
		for (uint64_t id = 1; id <= 3; id++)
			owner_usage(c.owner, id, &used, 0);
	for (int i = 0; i < 3; i++)
		cell_submit(&c, &w);
	/* Batch may use 95% of 128 GiB: after three tasks of 32 GiB, a fourth does not fit. */
	cr_expect_eq(cell_run(&c), 0);
	finish(&c);
}
