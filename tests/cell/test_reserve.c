#include <criterion/criterion.h>

#include "workload.h"

/*
 * Room kept for large tasks and gangs. Both sides: what follows starts when the large task can't,
 * and the large one starts when running work ends, under a stream of small tasks.
 */

#define OCCUPANT "0000000000000001"
#define LARGE	 "00000000000000a" /* and a digit */
#define SMALL	 "00000000000b"	   /* and four digits */
#define LATER	 "00000000000c"

enum { RUNNERS = 6, CPU_MILLI = 32000, ACCEL = 8, SMALL_JOBS = 10 };

struct large_case {
	const char *what;
	uint32_t tasks;
	uint32_t cpu_milli;
	uint32_t accel;
	uint32_t jobs;
	bool gang;
	bool one_rack;
	bool advised;
	const char *queue; /* NULL: that of the small jobs */
	uint32_t spread_max;
};

static const struct large_case large_cases[] = {
	{ "large tasks", RUNNERS, 20000, 0, 1 },
	{ "more large tasks than runners", RUNNERS * 3, 20000, 0, 1 },
	{ "three large jobs", 2, 20000, 0, 3 },
	{ "a gang", RUNNERS, 20000, 0, 1, .gang = true },
	{ "a gang of two members a runner", RUNNERS * 2, 10000, 0, 1, .gang = true },
	{ "two gangs", RUNNERS, 20000, 0, 2, .gang = true },
	{ "a gang in one rack", 3, 20000, 0, 1, .gang = true, .one_rack = true },
	{ "accelerators", RUNNERS, 1000, 6, 1 },
	{ "a gang with accelerators", RUNNERS, 1000, 6, 1, .gang = true },
	{ "an advisor", RUNNERS, 20000, 0, 1, .advised = true },
	{ "a gang with an advisor", RUNNERS, 20000, 0, 1, .gang = true, .advised = true },
	{ "a more urgent queue", RUNNERS, 20000, 0, 1, .queue = "urgent" },
	{ "spread", RUNNERS, 20000, 0, 1, .spread_max = 1 },
};

static struct fixture *fixture_with_runners(void)
{
	struct fixture *f = fixture_create();

	fixture_add_queue(f, "urgent", "desk", 0, 3, 0);
	fixture_add_queue(f, "batch", "desk", 2, 3, 0);
	fixture_add_queue(f, "advised", "desk", 0, 3, 17);
	fixture_start_cell(f, RUNNERS, 2, CPU_MILLI, ACCEL);
	return f;
}

/* Of 14 of 32 cores and 3 of 8 accelerators on each runner. */
static void submit_occupants(struct fixture *f, bool lasting, uint32_t estimate_ms)
{
	Cell__Job *job = fixture_new_job(OCCUPANT, "urgent", RUNNERS, 14000);

	job->step[0]->accel = 3;
	job->step[0]->spread_max = 1;
	job->step[0]->lasting = lasting;
	job->step[0]->estimate_ms = estimate_ms;
	fixture_submit(f, job);
}

static void submit_large(struct fixture *f, const struct large_case *c)
{
	for (uint32_t i = 0; i < c->jobs; i++) {
		g_autofree char *id = g_strdup_printf(LARGE "%u", i);
		const char *queue = c->queue ? c->queue : c->advised ? "advised" : "batch";
		Cell__Job *job = fixture_new_job(id, queue, c->tasks, c->cpu_milli);

		job->step[0]->accel = c->accel;
		job->step[0]->gang = c->gang;
		job->step[0]->one_rack = c->one_rack;
		job->step[0]->spread_max = c->spread_max;
		job->step[0]->estimate_ms = 11000;
		job->stretch_milli = 4000;
		job->objective_ms = 3000;
		fixture_submit(f, job);
	}
}

static void submit_small(struct fixture *f, const char *prefix, uint32_t i, uint32_t cpu_milli)
{
	g_autofree char *id = g_strdup_printf("%s%04u", prefix, i);
	Cell__Job *job = fixture_new_job(id, "batch", 1, cpu_milli);

	job->stretch_milli = 4000;
	job->objective_ms = 3000;
	fixture_submit(f, job);
}

/* Lets time pass; the advisor approves every runner that it is asked about. */
static void run_advised(struct workload *w, struct fixture *f, int64_t ms)
{
	for (int64_t t = 0; t < ms; t += WORKLOAD_STEP_MS) {
		workload_run(w, WORKLOAD_STEP_MS);
		while (fixture_advise(f, "", 2000))
			;
	}
}

/*
 * Guards against jobs that wait beside free capacity: a large task that had room on no runner, as
 * lasting tasks never end, reserved its need on all of them, and no job of its rank started any
 * more.
 */
Test(reserve, small_jobs_start_while_lasting_tasks_keep_large_ones_waiting)
{
	for (size_t i = 0; i < G_N_ELEMENTS(large_cases); i++) {
		const struct large_case *c = &large_cases[i];
		struct fixture *f = fixture_with_runners();
		struct workload *w = workload_create(f);

		workload_add(w, &(struct workload_job){ SMALL, 500, END_DONE, 100 });
		submit_occupants(f, true, 400);
		run_advised(w, f, 200);
		cr_assert_eq(workload_running(w, OCCUPANT, NULL), RUNNERS, "%s", c->what);
		submit_large(f, c);
		run_advised(w, f, 1000);
		for (uint32_t k = 0; k < SMALL_JOBS; k++) {
			submit_small(f, SMALL, k, 500);
			run_advised(w, f, 500);
		}
		run_advised(w, f, 1000);
		cr_expect_eq(workload_started(w, LARGE), 0, "%s: %u large tasks started", c->what,
			     workload_started(w, LARGE));
		cr_expect_eq(workload_started(w, SMALL), SMALL_JOBS, "%s: %u small jobs started",
			     c->what, workload_started(w, SMALL));
		/* The other side: once the lasting tasks are gone, all large tasks start. */
		workload_add(w, &(struct workload_job){ LARGE, 1000, END_DONE, 100 });
		fixture_cancel(f, OCCUPANT);
		for (uint32_t k = 0; k < 60; k++) {
			submit_small(f, LATER, k, 500);
			run_advised(w, f, 200);
		}
		cr_expect_eq(workload_started(w, LARGE), c->tasks * c->jobs,
			     "%s: %u large tasks started", c->what, workload_started(w, LARGE));
		workload_destroy(w);
		fixture_destroy(f);
	}
}

/*
 * Guards against starvation of large tasks: under a stream of small ones at 80 percent of the
 * capacity, room for a large task never appears by itself. It starts when the small tasks end that
 * ran before it came.
 */
Test(reserve, large_tasks_start_under_a_stream_of_small_ones)
{
	enum { LIMIT_MS = 10000, SMALL_MS = 4000, STREAM_MS = 100, STREAM_CPU = 4000 };

	for (size_t i = 0; i < G_N_ELEMENTS(large_cases); i++) {
		struct large_case c = large_cases[i];
		struct fixture *f = fixture_with_runners();
		struct workload *w = workload_create(f);
		uint32_t next = 0;
		uint32_t wanted;

		workload_add(w, &(struct workload_job){ SMALL, SMALL_MS, END_DONE, 100 });
		workload_add(w, &(struct workload_job){ LARGE, 1000, END_DONE, 100 });
		c.tasks = MIN(c.tasks, 3);
		/* No queue is more urgent, so the tasks leave no headroom. */
		c.queue = c.advised ? "advised" : "urgent";
		if (c.cpu_milli >= 20000)
			c.cpu_milli = 28000;
		wanted = c.tasks * c.jobs;
		for (int64_t t = 0; t < 6000 + LIMIT_MS; t += STREAM_MS) {
			g_autofree char *id = g_strdup_printf(SMALL "%04u", next++);
			Cell__Job *job = fixture_new_job(id, "urgent", 1, STREAM_CPU);

			job->step[0]->estimate_ms = SMALL_MS;
			job->step[0]->accel = c.accel ? 1 : 0;
			job->stretch_milli = 4000;
			job->objective_ms = 3000;
			fixture_submit(f, job);
			if (t == 6000)
				submit_large(f, &c);
			run_advised(w, f, STREAM_MS);
		}
		cr_expect_eq(workload_started(w, LARGE), wanted,
			     "%s: %u of %u large tasks started within %d ms", c.what,
			     workload_started(w, LARGE), wanted, LIMIT_MS);
		workload_destroy(w);
		fixture_destroy(f);
	}
}

struct occupant_case {
	const char *what;
	uint32_t estimate_ms;
	int64_t run_ms;
	int64_t before_ms; /* for which the occupants have run when the large job comes */
	uint32_t small_ms; /* run time and estimate of the small jobs */
	int64_t large_ms;  /* after which half of the large tasks have started; 0: later */
};

/* The estimates of the running tasks say when there will be room for the large one. */
static const struct occupant_case occupant_cases[] = {
	{ "room in a minute", 60000, 60000, 1000, 4000, 0 },
	{ "short jobs end before there is room", 11000, 11000, 1000, 500, 11000 },
	{ "long jobs would delay the large task", 5000, 5000, 1000, 4000, 5000 },
	{ "longer than estimated", 400, 12000, 8000, 4000, 5000 },
	{ "far longer than estimated", 400, 60000, 40000, 4000, 0 },
};

/*
 * Guards against small jobs that wait for as long as the large one does, though there are runners
 * whose room it can't use soon, or in whose room they could end before; and against small jobs that
 * take the room of the large one.
 */
Test(reserve, small_jobs_use_room_that_is_not_complete_yet)
{
	const struct large_case large = { "", RUNNERS, 20000, 0, 1 };

	for (size_t i = 0; i < G_N_ELEMENTS(occupant_cases); i++) {
		const struct occupant_case *c = &occupant_cases[i];
		struct fixture *f = fixture_with_runners();
		struct workload *w = workload_create(f);

		workload_add(w, &(struct workload_job){ SMALL, c->small_ms, END_DONE, 100 });
		workload_add(w, &(struct workload_job){ OCCUPANT, c->run_ms, END_DONE, 100 });
		submit_occupants(f, false, c->estimate_ms);
		workload_run(w, c->before_ms);
		submit_large(f, &large);
		workload_run(w, 100);
		for (uint32_t k = 0; k < SMALL_JOBS * 4; k++) {
			g_autofree char *id = g_strdup_printf(SMALL "%04u", k);
			Cell__Job *job = fixture_new_job(id, "batch", 1, 4000);

			job->step[0]->estimate_ms = c->small_ms;
			job->stretch_milli = 9000;
			job->objective_ms = 3000;
			fixture_submit(f, job);
		}
		workload_run(w, 1000);
		/* 3 of 4 cores each beside 14 and the headroom, on half of the runners. */
		cr_expect_geq(workload_started(w, SMALL), 3 * RUNNERS / 2,
			      "%s: %u small jobs started", c->what, workload_started(w, SMALL));
		if (c->large_ms) {
			workload_run(w, c->large_ms - 1000);
			cr_expect_geq(workload_started(w, LARGE), RUNNERS / 2,
				      "%s: %u large tasks started", c->what,
				      workload_started(w, LARGE));
		}
		workload_destroy(w);
		fixture_destroy(f);
	}
}

struct estimate_case {
	const char *what;
	uint32_t estimate_ms;
	int64_t run_ms;
	int64_t every_ms; /* one small task comes */
	int64_t limit_ms; /* until the large tasks start */
	bool gang;
};

static const struct estimate_case estimate_cases[] = {
	{ "as estimated", 4000, 4000, 100, 6000 },
	{ "four times as long", 5000, 20000, 500, 25000 },
	{ "three times as long", 11000, 33000, 800, 40000 },
	{ "without an estimate", 0, 20000, 500, 25000 },
	{ "a gang, as estimated", 4000, 4000, 100, 6000, true },
	{ "a gang, four times as long", 5000, 20000, 500, 25000, true },
	{ "a gang, three times as long", 11000, 33000, 800, 40000, true },
	{ "a gang, without an estimate", 0, 20000, 500, 25000, true },
};

/*
 * Guards against starvation of large tasks by wrong estimates: room was reserved on no runner on
 * which a small task took much longer than estimated, and under a steady stream of these there is
 * one on each runner.
 */
Test(reserve, large_tasks_start_though_estimates_are_wrong)
{
	enum { LASTING_CPU = 3000, SMALL_CPU = 4000, LARGE_TASKS = 3 };

	for (size_t i = 0; i < G_N_ELEMENTS(estimate_cases); i++) {
		const struct estimate_case *c = &estimate_cases[i];
		const struct large_case large = { .tasks = LARGE_TASKS,
						  .cpu_milli = 28000,
						  .jobs = 1,
						  .queue = "urgent",
						  .gang = c->gang };
		struct fixture *f = fixture_with_runners();
		struct workload *w = workload_create(f);
		Cell__Job *lasting = fixture_new_job(OCCUPANT, "urgent", RUNNERS, LASTING_CPU);
		uint32_t next = 0;

		workload_add(w, &(struct workload_job){ SMALL, c->run_ms, END_DONE, 100 });
		workload_add(w, &(struct workload_job){ LARGE, 1000, END_DONE, 100 });
		/* Small tasks don't leave any runner empty. */
		lasting->step[0]->lasting = true;
		lasting->step[0]->spread_max = 1;
		fixture_submit(f, lasting);
		for (int64_t t = 0; t < 2 * c->run_ms + c->limit_ms; t += WORKLOAD_STEP_MS) {
			if (t % c->every_ms == 0) {
				g_autofree char *id = g_strdup_printf(SMALL "%04u", next++);
				Cell__Job *job = fixture_new_job(id, "urgent", 1, SMALL_CPU);

				job->step[0]->estimate_ms = c->estimate_ms;
				job->stretch_milli = 4000;
				job->objective_ms = 3000;
				fixture_submit(f, job);
			}
			if (t == 2 * c->run_ms)
				submit_large(f, &large);
			workload_run(w, WORKLOAD_STEP_MS);
		}
		cr_expect_eq(workload_started(w, LARGE), LARGE_TASKS, "%s: %u of %d started",
			     c->what, workload_started(w, LARGE), LARGE_TASKS);
		workload_destroy(w);
		fixture_destroy(f);
	}
}

struct overdue_case {
	const char *what;
	uint32_t runners;
	uint32_t occupants; /* tasks of 7.6 cores that take far longer than estimated */
	struct large_case large;
	uint32_t small_estimate_ms;
	bool small_gang;
	int64_t limit_ms; /* in which a small job starts */
};

/* finish_s of the users' pages: jobs have to run by then if half of a pool is free. */
#define FINISH_MS	   14000
#define OVERDUE(n, cpu, j) "", n, cpu, 0, j, .queue = "batch"

static const struct overdue_case overdue_cases[] = {
	{ "a gang", 7, 1, { OVERDUE(14, 7600, 1), .gang = true }, 2000, false, 4200 },
	{ "spread",
	  7,
	  1,
	  { OVERDUE(7, 15600, 1), .gang = true, .spread_max = 1 },
	  2000,
	  false,
	  4200 },
	{ "two gangs and tasks", 8, 2, { OVERDUE(16, 7600, 2), .gang = true }, 2000, false, 4200 },
	{ "one rack",
	  2,
	  1,
	  { OVERDUE(4, 7600, 1), .gang = true, .one_rack = true },
	  2000,
	  false,
	  4200 },
	{ "an advisor",
	  7,
	  1,
	  { "", 14, 7600, 0, 1, .gang = true, .advised = true, .queue = "advised" },
	  2000,
	  false,
	  4200 },
	{ "one runner, a large task", 1, 1, { OVERDUE(1, 12000, 1) }, 2000, false, 4200 },
	{ "two runners, large tasks", 2, 2, { OVERDUE(2, 12000, 2) }, 2000, false, 4200 },
	{ "long small tasks",
	  7,
	  1,
	  { OVERDUE(14, 7600, 1), .gang = true },
	  30000,
	  false,
	  FINISH_MS },
	{ "small tasks without an estimate",
	  7,
	  1,
	  { OVERDUE(14, 7600, 1), .gang = true },
	  0,
	  false,
	  FINISH_MS },
	{ "small gangs", 7, 1, { OVERDUE(14, 7600, 1), .gang = true }, 2000, true, FINISH_MS },
	{ "two gangs, small gangs",
	  8,
	  2,
	  { OVERDUE(16, 7600, 2), .gang = true },
	  2000,
	  true,
	  FINISH_MS },
	{ "an advisor, long small tasks",
	  7,
	  1,
	  { "", 14, 7600, 0, 1, .gang = true, .advised = true, .queue = "advised" },
	  30000,
	  false,
	  FINISH_MS },
	{ "one runner, long small tasks", 1, 1, { OVERDUE(1, 12000, 1) }, 30000, false, FINISH_MS },
};

/* Submits a small job, and returns when it was. */
static int64_t submit_behind(struct fixture *f, const struct overdue_case *c, uint32_t i, int64_t t)
{
	g_autofree char *id = g_strdup_printf(SMALL "%04u", i);
	Cell__Job *job = fixture_new_job(id, "batch", c->small_gang ? 2 : 1, 900);

	job->step[0]->gang = c->small_gang;
	job->step[0]->estimate_ms = c->small_estimate_ms;
	job->stretch_milli = 9000;
	job->objective_ms = 3000;
	fixture_submit(f, job);
	return t;
}

/*
 * Guards against jobs that wait beside an empty pool: a gang that waited for one run past its
 * estimate reserved all runners until that run had ended, and nothing else started. The other
 * side: the gang starts when the run has ended, though small jobs go on coming.
 */
Test(reserve, small_jobs_start_while_a_gang_waits_for_an_overdue_run)
{
	enum { CORES_MILLI = 16000, OCCUPANT_MS = 25000, JOBS = 8, EVERY_MS = 1000 };

	for (size_t i = 0; i < G_N_ELEMENTS(overdue_cases); i++) {
		const struct overdue_case *c = &overdue_cases[i];
		struct fixture *f = fixture_create();
		struct workload *w = workload_create(f);
		Cell__Job *occupants = fixture_new_job(OCCUPANT, "urgent", c->occupants, 7600);
		int64_t submitted_ms[JOBS] = { 0 };
		uint32_t wanted = c->large.tasks * c->large.jobs;
		uint32_t next = 0;

		fixture_add_queue(f, "urgent", "desk", 0, 3, 0);
		fixture_add_queue(f, "batch", "desk", 2, 3, 0);
		fixture_add_queue(f, "advised", "desk", 0, 3, 17);
		fixture_start_cell(f, c->runners, 1, CORES_MILLI, 0);
		workload_add(w, &(struct workload_job){ SMALL, 2000, END_DONE, 100 });
		workload_add(w, &(struct workload_job){ LARGE, 1000, END_DONE, 100 });
		workload_add(w, &(struct workload_job){ OCCUPANT, OCCUPANT_MS, END_DONE, 100 });
		occupants->step[0]->estimate_ms = 8000;
		occupants->step[0]->spread_max = 1;
		fixture_submit(f, occupants);
		run_advised(w, f, 1000);
		submit_large(f, &c->large);
		for (int64_t t = 1000; t < OCCUPANT_MS + 6000; t += 200) {
			/* Before the run is overdue, and after. */
			if (t >= 8000 && next < JOBS && t % EVERY_MS == 0) {
				submitted_ms[next] = submit_behind(f, c, next, t);
				next++;
			}
			run_advised(w, f, 200);
			for (uint32_t k = 0; k < next; k++) {
				g_autofree char *id = g_strdup_printf(SMALL "%04u", k);

				if (t - submitted_ms[k] == c->limit_ms)
					cr_expect_gt(workload_started(w, id), 0,
						     "%s: job %u hasn't started", c->what, k);
			}
		}
		cr_expect_eq(workload_started(w, LARGE), wanted, "%s: %u of %u large tasks started",
			     c->what, workload_started(w, LARGE), wanted);
		workload_destroy(w);
		fixture_destroy(f);
	}
}
