#include <criterion/criterion.h>

#include "fixture.h"

/* Placement of tasks: room, spread, labels and racks, gangs, and room made for large tasks. */

#define ID_A "00000000000000a1"
#define ID_B "00000000000000b2"

Test(placement, capacity_is_not_exceeded)
{
	struct fixture *f = fixture_default(2, 1000);

	fixture_submit(f, fixture_new_job(ID_A, "urgent", 7, 300));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 6, "three of 300 fit on each runner of 1000");
	fixture_accept_starts(f);
	fixture_advance(f, 1);
	cr_assert_eq(f->batch, 0);
	fixture_destroy(f);
}

Test(placement, spread)
{
	struct fixture *f = fixture_default(3, 1000);
	Cell__Job *job = fixture_new_job(ID_A, "urgent", 7, 10);

	job->step[0]->spread_max = 2;
	fixture_submit(f, job);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 6);
	fixture_destroy(f);
}

Test(placement, labels_and_racks)
{
	struct fixture *f = fixture_default(4, 1000);
	Cell__Job *near = fixture_new_job(ID_A, "urgent", 2, 400);
	Cell__Job *labelled = fixture_new_job(ID_B, "urgent", 1, 400);

	g_free(near->step[0]->rack);
	near->step[0]->rack = g_strdup("rack1");
	g_free(labelled->step[0]->label);
	labelled->step[0]->label = g_strdup("none");
	fixture_submit(f, near);
	fixture_submit(f, labelled);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 2, "no runner has the label");
	for (guint i = 0; i < f->start->len; i++)
		cr_assert(g_str_equal(fixture_start_at(f, i)->runner, "r1") ||
			  g_str_equal(fixture_start_at(f, i)->runner, "r3"));
	fixture_destroy(f);
}

Test(placement, gangs_start_whole_or_not_at_all)
{
	struct fixture *f = fixture_default(2, 1000);
	Cell__Job *big = fixture_new_job(ID_A, "urgent", 3, 600);
	Cell__Job *fits = fixture_new_job(ID_B, "urgent", 2, 600);

	big->step[0]->gang = true;
	fits->step[0]->gang = true;
	fixture_submit(f, big);
	fixture_advance(f, 1);
	cr_assert_eq(f->batch, 0);
	fixture_cancel(f, ID_A);
	fixture_submit(f, fits);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 2);
	cr_assert_eq(fixture_start_at(f, 0)->run, fixture_start_at(f, 1)->run);
	fixture_destroy(f);
}

Test(placement, a_gang_without_a_member_is_stopped_and_restarted_with_one_run_number)
{
	struct fixture *f = fixture_default(2, 1000);
	Cell__Job *job = fixture_new_job(ID_A, "urgent", 2, 600);
	g_autofree char *runner = NULL;

	job->step[0]->gang = true;
	fixture_submit(f, job);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	fixture_start_answer(f, ID_A ".0.0.0", START_OK);
	fixture_start_answer(f, ID_A ".0.0.1", START_REFUSED);
	cr_assert_eq(f->stop->len, 1);
	runner = g_strdup(g_array_index(f->stop, struct fixture_stop, 0).runner);
	fixture_advance(f, 100);
	cr_assert_eq(f->start->len, 0, "not while the other member may run");
	fixture_poll_answer(f, runner, NULL, 0, NULL, 0);
	fixture_end_run(f, runner, 1, ID_A ".0.0.0", 1, END_STOPPED);
	fixture_poll_all(f);
	fixture_ack_batch(f);
	fixture_poll_all(f);
	fixture_ack_batch(f);
	cr_assert_eq(f->start->len, 2);
	cr_assert_eq(fixture_start_at(f, 0)->run, 2);
	cr_assert_eq(fixture_start_at(f, 1)->run, 2);
	fixture_destroy(f);
}

struct preempt_case {
	const char *what;
	const char *queue; /* of the small tasks */
	bool checkpoints;
	uint32_t estimate_ms; /* a long estimate means a later deadline */
	uint32_t stops;
};

/*
 * In a pool of accelerators at 90%, small tasks are spread over all runners, and gangs that need
 * whole runners wait for seconds (queues damage-match and tracking). Tasks with checkpoints and
 * time to spare are preempted for them.
 */
Test(placement, gangs_preempt_less_urgent_tasks)
{
	static const struct preempt_case cases[] = {
		{ "less urgent, with checkpoints", "batch", true, 5000, 2 },
		{ "no checkpoints", "batch", false, 5000, 0 },
		{ "no time to spare", "batch", true, 2000, 0 },
		{ "as urgent", "urgent", true, 5000, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture *f = fixture_default(2, 1000);
		Cell__Job *small = fixture_new_job(ID_A, cases[i].queue, 2, 300);
		Cell__Job *gang = fixture_new_job(ID_B, "urgent", 2, 900);

		small->step[0]->checkpoints = cases[i].checkpoints;
		small->step[0]->estimate_ms = cases[i].estimate_ms;
		small->step[0]->spread_max = 1;
		small->stretch_milli = gang->stretch_milli = 2000;
		small->objective_ms = gang->objective_ms = 1000;
		gang->step[0]->gang = true;
		fixture_submit_and_start(f, small);
		cr_assert_eq(f->starts, 2, "%s", cases[i].what);
		fixture_submit(f, gang);
		for (int k = 0; k < 3; k++)
			fixture_advance(f, 1);
		cr_expect_eq(f->stop->len, cases[i].stops, "%s: %u", cases[i].what, f->stop->len);
		fixture_destroy(f);
	}
}

/*
 * Large tasks of the second priority in a pool full of small ones of the third (queues
 * damage-match and plate-read): whenever a small task ended, the next one took its room, and the
 * large tasks never started.
 */
Test(placement, room_is_reserved_for_large_tasks)
{
	struct fixture *f = fixture_default(1, 1000);
	Cell__Job *large = fixture_new_job(ID_B, "urgent", 1, 900);
	const struct poll_ended end = {
		.seq = 1, .task = ID_A ".0.0.0", .run = 1, .end = END_DONE, .checkpoint = ""
	};

	fixture_submit_and_start(f, fixture_new_job(ID_A, "batch", 6, 300));
	cr_assert_eq(f->starts, 3);
	large->stretch_milli = 5000;
	large->objective_ms = 10000;
	fixture_submit(f, large);
	fixture_advance(f, 1);
	fixture_poll_answer(f, "r0", NULL, 0, &end, 1);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 3, "free room is reserved for the large task");
	fixture_destroy(f);
}

/* Small tasks with checkpoints and time to spare are preempted for a large one. */
Test(placement, large_tasks_preempt_small_ones)
{
	struct fixture *f = fixture_default(1, 1000);
	Cell__Job *small = fixture_new_job(ID_A, "batch", 3, 300);
	Cell__Job *large = fixture_new_job(ID_B, "urgent", 1, 800);

	small->step[0]->checkpoints = true;
	small->stretch_milli = large->stretch_milli = 5000;
	small->objective_ms = large->objective_ms = 10000;
	fixture_submit_and_start(f, small);
	fixture_submit(f, large);
	for (int i = 0; i < 3; i++)
		fixture_advance(f, 1);
	cr_assert_eq(f->stop->len, 2, "as few as are needed, and only once");
	fixture_destroy(f);
}

/* The spread of a step holds for a gang too, whose members are placed at once. */
struct gang_spread_case {
	uint32_t runners;
	uint32_t members;
	uint32_t spread_max;
	uint32_t starts;
};

static const struct gang_spread_case gang_spread_cases[] = {
	{ 2, 3, 1, 0 }, { 3, 3, 1, 3 }, { 2, 3, 2, 3 }, { 2, 5, 2, 0 }, { 1, 4, 0, 4 },
};

Test(placement, gangs_are_spread)
{
	for (size_t i = 0; i < G_N_ELEMENTS(gang_spread_cases); i++) {
		const struct gang_spread_case *c = &gang_spread_cases[i];
		struct fixture *f = fixture_default(c->runners, 1000);
		Cell__Job *job = fixture_new_job(ID_A, "urgent", c->members, 10);

		job->step[0]->gang = true;
		job->step[0]->spread_max = c->spread_max;
		fixture_submit(f, job);
		fixture_advance(f, 1);
		if (f->batch)
			fixture_ack_batch(f);
		cr_expect_eq(f->starts, c->starts, "case %zu: %u starts", i, f->starts);
		fixture_destroy(f);
	}
}

/*
 * A gang that waits for room on one of its runners keeps what there is on the others. A stream of
 * small, less urgent tasks used to take it, so that the gang waited for all of them to pause: only
 * two steps of a pool reserved room.
 */
Test(placement, gangs_keep_room_on_approved_runners)
{
	enum { BUSY = 8, GANGS = 3 };
	struct fixture *f = fixture_create();

	fixture_add_queue(f, "first", "desk", 0, 3, 0);
	fixture_add_queue(f, "gang", "desk", 1, 3, 17);
	fixture_add_queue(f, "small", "desk", 2, 3, 0);
	fixture_start_scheduler(f);
	for (int i = 0; i < BUSY; i++) {
		g_autofree char *id = g_strdup_printf("busy%d", i);

		fixture_add_runner(f, id, "desk", "rack0", 1000, 0);
	}
	fixture_poll_all(f);
	fixture_submit_and_start(f, fixture_new_job("00000000000000f1", "first", BUSY, 900));
	cr_assert_eq(f->starts, BUSY);
	for (int i = 0; i < GANGS; i++) {
		g_autofree char *id = g_strdup_printf("free%d", i);

		fixture_add_runner(f, id, "desk", "rack0", 1000, 0);
	}
	fixture_advance(f, 1);
	fixture_poll_all(f);
	/* Each gang needs a busy runner and one of the free ones. */
	for (int i = 0; i < GANGS; i++) {
		g_autofree char *id = g_strdup_printf("00000000000000d%d", i);
		Cell__Job *job = fixture_new_job(id, "gang", 2, 600);

		job->step[0]->gang = true;
		fixture_submit(f, job);
	}
	fixture_advance(f, 1);
	for (int i = 0; i < GANGS; i++) {
		g_autofree char *approved = g_strdup_printf("busy0 free%d", i);

		cr_assert(fixture_advise(f, approved, 20000));
	}
	fixture_advance(f, 1);
	cr_assert_eq(f->starts, BUSY, "there is room for one member of each only");
	fixture_submit(f, fixture_new_job(ID_B, "small", GANGS, 500));
	fixture_advance(f, 1);
	if (f->batch)
		fixture_ack_batch(f);
	cr_expect_eq(f->starts, BUSY, "the small tasks have to wait");
	fixture_destroy(f);
}

/*
 * The cost of a pass, as the number of times that a runner is examined. It used to grow with the
 * number of tasks that wait: passes took so long that jobs became late, which added to the backlog.
 */
struct pass_cost_case {
	const char *what;
	uint32_t jobs;
	uint32_t tasks; /* of each */
	bool gang;
	bool advised;	       /* by an advisor that does not answer */
	uint32_t per_step_max; /* times that each runner is examined, for each step that waits */
};

static const struct pass_cost_case pass_cost_cases[] = {
	{ "wide steps", 20, 100, false, false, 4 },
	{ "gangs with room for all members but one", 20, 41, true, false, 4 },
	{ "steps without advice", 200, 10, false, true, 1 },
};

Test(placement, cost_of_a_pass)
{
	enum { RUNNERS = 40 };

	for (size_t i = 0; i < G_N_ELEMENTS(pass_cost_cases); i++) {
		const struct pass_cost_case *c = &pass_cost_cases[i];
		struct fixture *f = fixture_create();
		struct scheduler_stats before;
		struct scheduler_stats after;
		uint64_t limit = (uint64_t)c->per_step_max * c->jobs * RUNNERS;

		fixture_add_queue(f, "work", "desk", 0, 3, c->advised ? 400 : 0);
		fixture_start_cell(f, RUNNERS, 1, 1000, 0);
		for (uint32_t k = 0; k < c->jobs; k++) {
			g_autofree char *id = g_strdup_printf("%016x", 0xa000 + k);
			Cell__Job *job = fixture_new_job(id, "work", c->tasks, 600);

			job->step[0]->gang = c->gang;
			fixture_submit(f, job);
		}
		fixture_advance(f, 1);
		scheduler_stats(f->sched, &before);
		fixture_advance(f, 1);
		scheduler_stats(f->sched, &after);
		cr_expect_leq(after.examined - before.examined, limit, "%s: %lu times, limit %lu",
			      c->what, (unsigned long)(after.examined - before.examined),
			      (unsigned long)limit);
		fixture_destroy(f);
	}
}

struct unrunnable_case {
	const char *what;
	uint32_t cpu_milli;
	uint32_t accel;
	const char *label;
	bool advised;
};

static const struct unrunnable_case unrunnable_cases[] = {
	{ "more of the processor than any runner has", 1001, 0, "", false },
	{ "accelerators", 600, 1, "", false },
	{ "a label that no runner has", 600, 0, "none", false },
	{ "accelerators, with an advisor", 600, 1, "", true },
};

/*
 * Guards against jobs that wait for ever beside idle runners: steps that no runner could run
 * counted as "without room", and after 48 of them the pass ended. A pass examines the runners once
 * for all such steps of a kind, as it goes through all of them now.
 */
Test(placement, steps_that_no_runner_could_run_do_not_end_the_pass)
{
	enum { RUNNERS = 10, MANY = 60, TASKS = 3 };

	for (size_t i = 0; i < G_N_ELEMENTS(unrunnable_cases); i++) {
		const struct unrunnable_case *c = &unrunnable_cases[i];
		struct fixture *f = fixture_create();
		struct scheduler_stats before;
		struct scheduler_stats after;

		fixture_add_queue(f, "work", "desk", 0, 3, c->advised ? 400 : 0);
		fixture_add_queue(f, "small", "desk", 0, 3, 0);
		fixture_start_cell(f, RUNNERS, 1, 1000, 0);
		for (uint32_t k = 0; k < MANY; k++) {
			g_autofree char *id = g_strdup_printf("%016x", 0xa000 + k);
			Cell__Job *job = fixture_new_job(id, "work", TASKS, c->cpu_milli);

			job->step[0]->accel = c->accel;
			g_free(job->step[0]->label);
			job->step[0]->label = g_strdup(c->label);
			fixture_submit(f, job);
		}
		fixture_submit(f, fixture_new_job(ID_B, "small", TASKS, 600));
		fixture_advance(f, 1);
		if (f->batch)
			fixture_ack_batch(f);
		cr_expect_eq(f->starts, TASKS, "%s: %u starts", c->what, f->starts);
		scheduler_stats(f->sched, &before);
		fixture_advance(f, 1);
		scheduler_stats(f->sched, &after);
		cr_expect_eq(after.waiting_tasks, MANY * TASKS, "%s: %u wait", c->what,
			     after.waiting_tasks);
		cr_expect_leq(after.examined - before.examined, RUNNERS, "%s: %lu times", c->what,
			      (unsigned long)(after.examined - before.examined));
		fixture_destroy(f);
	}
}

struct stuck_case {
	const char *what;
	uint32_t cpu_milli;
	uint32_t mem_mib;
	uint32_t accel;
	const char *label;
	const char *service_queue;
	bool lasting;
	bool gang;
	bool filler;
	uint32_t spread_max;
	uint32_t step_milli;  /* each job's tasks need so much more than those of the one before */
	uint32_t small_milli; /* of the small jobs */
};

/* The runners with label b have no accelerator, core or memory left; the others are empty. */
static const struct stuck_case stuck_cases[] = {
	{ "a label", 100, 1, 0, "b", "first" },
	{ "a label, lasting", 100, 1, 0, "b", "first", .lasting = true },
	{ "a label, gangs", 100, 1, 0, "b", "first", .gang = true },
	{ "a label, spread", 100, 1, 0, "b", "first", .spread_max = 1 },
	{ "a label, fillers that need memory", 100, 1, 0, "b", "first", .filler = true },
	{ "memory", 10, 900, 0, "b", "first" },
	{ "accelerators", 10, 1, 4, "", "first" },
	{ "size", 700, 1, 0, "", "first", .small_milli = 50 },
	{ "sizes that grow", 700, 1, 0, "", "first", .step_milli = 1, .small_milli = 50 },
	{ "a less urgent queue", 100, 1, 0, "b", "last" },
	{ "an advisor that denies all", 100, 1, 0, "b", "advised" },
};

enum { STUCK_RUNNERS = 12, STUCK_FULL = 2, STUCK_SMALL = 5 };

static struct fixture *stuck_fixture(const struct stuck_case *c)
{
	struct fixture *f = fixture_create();
	Cell__Job *full;

	fixture_add_queue(f, "first", "desk", 0, 3, 0);
	fixture_add_queue(f, "advised", "desk", 0, 3, 17);
	fixture_add_queue(f, "last", "desk", 2, 3, 0);
	fixture_add_queue(f, "small", "desk", 1, 3, 0);
	fixture_start_scheduler(f);
	for (uint32_t k = 0; k < STUCK_RUNNERS; k++) {
		g_autofree char *id = g_strdup_printf("r%u", k);
		bool b = k < STUCK_FULL;

		fixture_add_runner(f, id, "desk", b ? "b" : "rack0", 1000, b ? 4 : 0);
	}
	fixture_poll_all(f);
	full = fixture_new_job(ID_A, "first", STUCK_FULL, 1000);
	full->step[0]->mem_bytes = INT64_C(1024) << 20;
	full->step[0]->accel = 4;
	full->step[0]->lasting = true;
	fixture_submit_and_start(f, full);
	/* Where size is the trouble, half of each other runner is in use. */
	if (c->small_milli) {
		Cell__Job *half = fixture_new_job("00000000000000a2", "first",
						  STUCK_RUNNERS - STUCK_FULL, 400);

		half->step[0]->lasting = true;
		half->step[0]->spread_max = 1;
		fixture_submit_and_start(f, half);
	}
	return f;
}

static void submit_stuck(struct fixture *f, const struct stuck_case *c, uint32_t jobs)
{
	for (uint32_t k = 0; k < jobs; k++) {
		g_autofree char *id = g_strdup_printf("%016x", 0xa000 + k);
		Cell__Job *job = fixture_new_job(id, c->service_queue, 2,
						 c->cpu_milli + MIN(k, 200) * c->step_milli);
		Cell__Step *s = job->step[0];

		s->mem_bytes = (uint64_t)c->mem_mib << 20;
		s->accel = c->accel;
		s->lasting = c->lasting;
		s->gang = c->gang;
		s->filler = c->filler;
		s->spread_max = c->spread_max;
		g_free(s->label);
		s->label = g_strdup(c->label);
		fixture_submit(f, job);
	}
	fixture_advance(f, 1);
	while (fixture_advise(f, "none", 60000))
		fixture_advance(f, 1);
}

/* Submits small jobs behind many that are stuck. Returns the cost of a pass afterwards. */
static uint64_t play_stuck(const struct stuck_case *c, uint32_t jobs)
{
	struct fixture *f = stuck_fixture(c);
	struct scheduler_stats before;
	struct scheduler_stats after;
	uint32_t starts;

	submit_stuck(f, c, jobs);
	starts = f->starts;
	for (uint32_t k = 0; k < STUCK_SMALL; k++) {
		g_autofree char *id = g_strdup_printf("%016x", 0xf000 + k);

		fixture_submit(
			f, fixture_new_job(id, "small", 1, c->small_milli ? c->small_milli : 500));
	}
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_expect_eq(f->starts - starts, STUCK_SMALL, "%s, %u jobs: %u small ones started", c->what,
		     jobs, f->starts - starts);
	scheduler_stats(f->sched, &before);
	fixture_advance(f, 1);
	scheduler_stats(f->sched, &after);
	fixture_destroy(f);
	return after.examined - before.examined;
}

/*
 * Guards against jobs that wait for ever beside idle runners: after 48 steps in a row without room
 * the pass ended, though they waited for a label, accelerators or more room than others need. The
 * other side: the cost of a pass doesn't grow with the number of such steps.
 */
Test(placement, small_jobs_start_behind_many_steps_without_room)
{
	for (size_t i = 0; i < G_N_ELEMENTS(stuck_cases); i++) {
		const struct stuck_case *c = &stuck_cases[i];
		uint64_t few = play_stuck(c, 150);
		uint64_t many = play_stuck(c, 1500);

		cr_expect_leq(many, few + few / 10,
			      "%s: %lu runners examined behind 150 jobs, %lu "
			      "behind 1500",
			      c->what, (unsigned long)few, (unsigned long)many);
	}
}
