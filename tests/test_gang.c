#include <criterion/criterion.h>

#include "standin/cell.h"

#define GIB    ((uint64_t)1 << 30)
#define CPU(n) ((uint32_t)(n)*1000u)

static const struct worker_info plain = {
	.name = "plain",
	.total = { .cpu_milli = CPU(32), .mem_bytes = 128 * GIB },
	.service = UINT32_MAX,
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

static void finish(struct cell *c)
{
	cr_expect_eq(c->faults, 0, "%s", c->fault);
	cell_clear(c);
}

Test(gang, gang_that_fits_in_part_allocates_nothing)
{
	struct work busy = task(WORK_BATCH, 1, 16, 0);
	struct work big = task(WORK_GANG, 2, 30, 0);
	struct work other = task(WORK_BATCH, 3, 32, 0);
	struct cell c;

	cell_init(&c, NULL);
	cell_workers(&c, &plain, 4);
	cell_state(&c, 3, WORKER_LEAVING);
	big.gang_size = 2;
	for (int i = 0; i < 2; i++) { /* on two different workers */
		cell_submit(&c, &busy);
		cell_run(&c);
		busy.avoid_worker = cell_work(&c, 1)->worker;
	}
	c.now_ms = 100;
	for (uint32_t i = 0; i < big.gang_size; i++)
		cell_submit(&c, &big);
	cr_expect_eq(cell_run(&c), 0);
	cell_submit(&c, &other);
	cr_expect_eq(cell_run(&c), 1);
	finish(&c);
}

Test(gang, gang_is_not_starved_by_small_tasks)
{
	struct work small = task(WORK_BATCH, 1, 4, 5000);
	struct work big = task(WORK_GANG, 2, 30, 5000);
	uint64_t gang = 0;
	struct cell c;

	cell_init(&c, NULL);
	cell_workers(&c, &plain, 10);
	big.gang_size = 6;
	for (c.now_ms = 0; c.now_ms < 60000; c.now_ms += 100) {
		for (int i = 0; i < 4; i++)
			cell_submit(&c, &small);
		for (uint32_t i = 0; c.now_ms == 10000 && i < big.gang_size; i++)
			gang = cell_submit(&c, &big);
		cell_run(&c);
		cell_end_due(&c);
	}
	/* 0.5 s until it holds workers, and 5 s until the work on them has ended. */
	cr_expect_geq(cell_work(&c, gang)->started_ms, 10000);
	cr_expect_leq(cell_work(&c, gang)->started_ms, 15700);
	finish(&c);
}

Test(gang, backfill_does_not_delay_the_gang)
{
	struct work first = task(WORK_BATCH, 1, 30, 20000);
	struct work big = task(WORK_GANG, 2, 30, 1000);
	struct work small = task(WORK_BATCH, 3, 1, 2000);
	struct work slow = task(WORK_BATCH, 4, 1, 60000);
	struct cell c;
	uint64_t gang = 0;
	uint64_t fill;

	cell_init(&c, NULL);
	cell_workers(&c, &plain, 3);
	big.gang_size = 2;
	cell_submit(&c, &first);
	first.run_ms = 60000;
	cell_submit(&c, &first);
	cell_run(&c);
	for (uint32_t i = 0; i < 2; i++)
		gang = cell_submit(&c, &big);
	for (; c.now_ms <= 3000; c.now_ms += 100)
		cell_run(&c);
	small.team = 1;
	for (int i = 0; i < 12; i++)
		cell_submit(&c, &slow);
	fill = cell_submit(&c, &small);
	cell_run(&c);
	cr_expect(cell_work(&c, fill)->running, "ends before the gang can start");
	for (; c.now_ms <= 25000 && !cell_work(&c, gang)->running; c.now_ms += 100) {
		cell_end_due(&c);
		cell_run(&c);
	}
	cr_expect_geq(cell_work(&c, gang)->started_ms, 20000);
	cr_expect_leq(cell_work(&c, gang)->started_ms, 20100);
	finish(&c);
}

struct overdue_case {
	const char *name;
	uint32_t small_run_ms; /* 0: not known */
	int64_t limit_ms;      /* until all have started */
};

/*
 * Guards against tasks that wait beside empty workers: a gang that waited for work past its
 * expected run time held all workers until that had ended. The other side: the gang starts then,
 * though small tasks go on coming.
 */
Test(gang, small_tasks_start_while_a_gang_waits_for_overdue_work)
{
	static const struct overdue_case cases[] = {
		{ "short tasks", 2000, 6000 },
		{ "tasks of unknown run time", 0, 33000 },
	};
	enum { EXPECTED_MS = 8000, RUN_MS = 60000, SMALL = 8 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct work busy = task(WORK_BATCH, 1, 16, EXPECTED_MS);
		struct work big = task(WORK_GANG, 2, 15, 1000);
		struct work small = task(WORK_BATCH, 3, 3, cases[i].small_run_ms);
		uint64_t gang = 0;
		uint64_t id[SMALL];
		uint64_t first;
		struct cell c;

		cell_init(&c, NULL);
		cell_workers(&c, &plain, 7);
		big.gang_size = 14;
		small.team = 1;
		first = cell_submit(&c, &busy);
		cell_run(&c);
		for (uint32_t k = 0; k < big.gang_size; k++)
			gang = cell_submit(&c, &big);
		for (; c.now_ms < EXPECTED_MS; c.now_ms += 100)
			cell_run(&c);
		for (int k = 0; k < SMALL; k++)
			id[k] = cell_submit(&c, &small);
		for (; c.now_ms < RUN_MS; c.now_ms += 100) {
			cell_run(&c);
			for (int k = 0; k < SMALL; k++)
				if (cell_work(&c, id[k])->running &&
				    c.now_ms - cell_work(&c, id[k])->started_ms >= 2000)
					cell_end(&c, id[k], END_OK);
		}
		for (int k = 0; k < SMALL; k++) {
			cr_expect_geq(cell_work(&c, id[k])->started_ms, 0, "%s: %d never starts",
				      cases[i].name, k);
			cr_expect_leq(cell_work(&c, id[k])->started_ms,
				      EXPECTED_MS + cases[i].limit_ms, "%s: %d starts late",
				      cases[i].name, k);
		}
		cell_end(&c, first, END_OK);
		for (; c.now_ms < RUN_MS + 3000; c.now_ms += 100)
			cell_run(&c);
		cr_expect_geq(cell_work(&c, gang)->started_ms, RUN_MS, "%s: the gang",
			      cases[i].name);
		finish(&c);
	}
}

Test(gang, gang_preempts_only_the_work_it_needs_to)
{
	struct work busy = task(WORK_BATCH, 1, 8, 0);
	struct work big = task(WORK_GANG, 2, 20, 0);
	uint32_t stopped = 0;
	uint64_t gang = 0;
	struct cell c;

	cell_init(&c, NULL);
	cell_workers(&c, &plain, 6);
	big.gang_size = 3;
	busy.preemptible = true;
	for (int i = 0; i < 24; i++)
		cell_submit(&c, &busy);
	cell_run(&c);
	for (uint32_t i = 0; i < big.gang_size; i++)
		gang = cell_submit(&c, &big);
	for (; c.now_ms <= 3000; c.now_ms += 100) {
		cell_run(&c);
		for (uint64_t id = 1; id <= 24; id++)
			if (cell_work(&c, id)->preempt && cell_work(&c, id)->running) {
				cell_end(&c, id, END_PREEMPTED);
				stopped++;
			}
	}
	cr_expect_geq(cell_work(&c, gang)->started_ms, 500);
	cr_expect_leq(cell_work(&c, gang)->started_ms, 700);
	cr_expect_leq(stopped, 9, "three tasks of 8 on each of three workers: %u", stopped);
	finish(&c);
}

Test(gang, two_gangs_do_not_wait_for_each_other)
{
	struct work busy = task(WORK_BATCH, 1, 30, 3000);
	struct work a = task(WORK_GANG, 2, 30, 4000);
	struct work b = task(WORK_GANG, 3, 30, 4000);
	uint64_t last_a = 0;
	uint64_t last_b = 0;
	struct cell c;

	cell_init(&c, NULL);
	cell_workers(&c, &plain, 5);
	a.gang_size = 4;
	b.gang_size = 4;
	for (int i = 0; i < 5; i++)
		cell_submit(&c, &busy);
	cell_run(&c);
	for (uint32_t i = 0; i < 4; i++) { /* tasks of both gangs arrive alternately */
		last_a = cell_submit(&c, &a);
		last_b = cell_submit(&c, &b);
	}
	for (; c.now_ms < 12000; c.now_ms += 100) {
		cell_end_due(&c);
		cell_run(&c);
	}
	cr_expect(cell_work(&c, last_a)->ended);
	cr_expect_geq(cell_work(&c, last_b)->started_ms, 0);
	finish(&c);
}

struct blocker_case {
	const char *name;
	struct work blocker;
	uint32_t n;
	struct res quota; /* of the blockers' team */
};

Test(gang, gangs_that_cannot_start_do_not_block_others)
{
	const struct blocker_case cases[] = {
		{ "at quota", task(WORK_GANG, 0, 8, 0), 20, { .cpu_milli = CPU(10) } },
		{ "no capacity beside services", task(WORK_GANG, 0, 32, 0), 6, { 0 } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct work service = task(WORK_SERVICE, 1, 17, 0); /* one per worker */
		struct work small = task(WORK_BATCH, 2, 4, 1000);
		struct work big = task(WORK_GANG, 3, 12, 1000);
		struct work w = cases[i].blocker;
		uint64_t gang = 0;
		struct cell c;

		cell_init(&c, NULL);
		cell_workers(&c, &plain, 5);
		owner_set_team(c.owner, 3, 1, &cases[i].quota);
		for (int j = 0; j < 5; j++)
			cell_submit(&c, &service);
		cell_run(&c);
		w.team = 3;
		w.gang_size = 2;
		big.gang_size = 3;
		for (uint32_t j = 0; j < 2 * cases[i].n; j++) {
			w.job = 100 + j / 2;
			cell_submit(&c, &w);
		}
		for (uint32_t j = 0; j < big.gang_size; j++)
			gang = cell_submit(&c, &big);
		for (; c.now_ms < 6000; c.now_ms += 100) {
			for (int j = 0; j < 4; j++)
				cell_submit(&c, &small);
			cell_run(&c);
			cell_end_due(&c);
		}
		cr_expect_geq(cell_work(&c, gang)->started_ms, 0, "%s", cases[i].name);
		finish(&c);
	}
}

Test(gang, cancelled_gang_releases_its_workers)
{
	struct work busy = task(WORK_BATCH, 1, 20, 0);
	struct work big = task(WORK_GANG, 2, 30, 0);
	struct work small = task(WORK_BATCH, 3, 4, 0);
	struct cell c;
	uint64_t id;

	cell_init(&c, NULL);
	cell_workers(&c, &plain, 2);
	big.gang_size = 1;
	for (int i = 0; i < 2; i++)
		cell_submit(&c, &busy);
	cell_run(&c);
	id = cell_submit(&c, &big);
	for (; c.now_ms < 3000; c.now_ms += 100)
		cell_run(&c);
	for (int i = 0; i < 5; i++)
		cell_submit(&c, &small);
	cr_expect_lt(cell_run(&c), 5);
	cr_expect(owner_cancel(c.owner, id, c.now_ms));
	cell_run(&c);
	cr_expect_eq(c.started, 7);
	finish(&c);
}

Test(gang, large_task_is_not_starved_by_small_ones_of_other_teams)
{
	struct work small = task(WORK_BATCH, 1, 4, 3000);
	struct work large = task(WORK_BATCH, 2, 30, 3000);
	struct cell c;
	uint64_t id = 0;

	cell_init(&c, NULL);
	cell_workers(&c, &plain, 4);
	large.team = 1;
	for (c.now_ms = 0; c.now_ms < 40000; c.now_ms += 100) {
		for (int i = 0; i < 4; i++)
			cell_submit(&c, &small);
		if (c.now_ms == 5000)
			id = cell_submit(&c, &large);
		cell_run(&c);
		cell_end_due(&c);
	}
	cr_expect_geq(cell_work(&c, id)->started_ms, 0);
	cr_expect_leq(cell_work(&c, id)->started_ms, 5000 + 10000 + 3000 + 500);
	finish(&c);
}
