#include <criterion/criterion.h>

#include "process/team_use.h"

#define TEAM "t"
#define GIB  1073741824LL

static const struct team_limit cpu_1000 = { .cap = { .cpu_milli = 1000 }, .over_milli = 100 };
static const struct team_limit gpu_8 = { .cap = { .accel = 8 }, .over_milli = 100 };
static const struct team_limit three = { .cap = { 1000, 4 * GIB, 8 }, .over_milli = 100 };
static const struct team_limit none = { .over_milli = 100 };

/* A use as one run for each of `runs`, the first with all resources. */
static struct team_use *use_of(const struct resources *used, uint32_t runs)
{
	static const struct resources nothing = { 0 };
	struct team_use *u = team_use_create();

	for (uint32_t i = 0; i < runs; i++)
		team_use_add(u, TEAM, i ? &nothing : used);
	return u;
}

struct room_case {
	const char *name;
	const struct team_limit *limit;
	struct resources used;
	uint32_t runs;
	struct resources need;
	uint32_t count;
	uint32_t expected;
};

/*
 * A burst of one team took the whole cell. A task larger than its cap waited for ever, or came on
 * top of what its team had running.
 */
Test(team_use, tasks_that_may_start)
{
	static const struct room_case cases[] = {
		{ "no use", &cpu_1000, { 0 }, 0, { 100 }, 20, 10 },
		{ "fewer than the cap allows", &cpu_1000, { 0 }, 0, { 100 }, 3, 3 },
		{ "some use", &cpu_1000, { 750 }, 2, { 100 }, 20, 2 },
		{ "exactly to the cap", &cpu_1000, { 900 }, 1, { 100 }, 20, 1 },
		{ "at the cap", &cpu_1000, { 1000 }, 1, { 1 }, 20, 0 },
		{ "over the cap after it was lowered", &cpu_1000, { 5000 }, 1, { 1 }, 20, 0 },
		{ "over the cap, a task that needs nothing of it",
		  &gpu_8,
		  { 0, 0, 9 },
		  1,
		  { 100 },
		  20,
		  0 },
		{ "larger than the cap, alone", &cpu_1000, { 0 }, 0, { 5000 }, 20, 1 },
		{ "larger than the cap, not alone", &cpu_1000, { 1 }, 1, { 5000 }, 20, 0 },
		{ "larger than the cap, beside a run without need",
		  &cpu_1000,
		  { 0 },
		  1,
		  { 5000 },
		  20,
		  0 },
		{ "no limit", &none, { 9000, 9 * GIB, 9 }, 9, { 5000, GIB, 8 }, 20, 20 },
		{ "the scarcest field decides",
		  &three,
		  { 100, GIB, 2 },
		  1,
		  { 100, GIB, 1 },
		  20,
		  3 },
		{ "a task without need", &three, { 1000, 0, 0 }, 1, { 0 }, 20, 20 },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct room_case *c = &cases[i];
		struct team_use *u = use_of(&c->used, c->runs);

		cr_expect_eq(team_use_room(u, TEAM, c->limit, &c->need, c->count), c->expected,
			     "%s: %u", c->name,
			     team_use_room(u, TEAM, c->limit, &c->need, c->count));
		team_use_destroy(u);
	}
}

struct gang_case {
	const char *name;
	const struct team_limit *limit;
	struct resources used;
	uint32_t runs;
	struct resources need;
	uint32_t count;
	bool allowed;
	bool can_hold;
};

/* Members of a gang that started one by one blocked each other at the cap. */
Test(team_use, gangs_that_may_start)
{
	static const struct gang_case cases[] = {
		{ "fits", &gpu_8, { 0, 0, 4 }, 4, { 0, 0, 1 }, 4, true, true },
		{ "one member too many", &gpu_8, { 0, 0, 5 }, 5, { 0, 0, 1 }, 4, false, true },
		{ "over by one task, alone", &gpu_8, { 0 }, 0, { 0, 0, 3 }, 3, true, true },
		{ "over by one task, not alone", &gpu_8, { 0 }, 1, { 0, 0, 3 }, 3, false, true },
		{ "over by more than one task", &gpu_8, { 0 }, 0, { 0, 0, 3 }, 4, false, false },
		{ "over by a tenth and a task", &cpu_1000, { 0 }, 0, { 100 }, 12, true, true },
		{ "over by more", &cpu_1000, { 0 }, 0, { 100 }, 13, false, false },
		{ "over in another field", &three, { 0 }, 0, { 10, 2 * GIB, 1 }, 4, false, false },
		{ "no limit", &none, { 900 }, 1, { 0, 0, 8 }, 4000, true, true },
		{ "an absurd need", &three, { 0 }, 0, { 0, INT64_MAX, 0 }, 4000, false, false },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct gang_case *c = &cases[i];
		struct team_use *u = use_of(&c->used, c->runs);

		cr_expect_eq(team_use_allows_gang(u, TEAM, c->limit, &c->need, c->count),
			     c->allowed, "%s", c->name);
		cr_expect_eq(team_use_can_hold(c->limit, &c->need, c->count), c->can_hold, "%s",
			     c->name);
		team_use_destroy(u);
	}
}

struct confirm_case {
	const char *name;
	const struct team_limit *limit;
	struct resources used; /* with the run itself */
	uint32_t runs;
	struct resources need;
	uint32_t own_runs;
	bool expected;
};

/* A start that was planned before the cap was lowered was sent after it. */
Test(team_use, planned_starts)
{
	static const struct confirm_case cases[] = {
		{ "within", &cpu_1000, { 900 }, 2, { 100 }, 1, true },
		{ "at the cap", &cpu_1000, { 1000 }, 2, { 100 }, 1, true },
		{ "above", &cpu_1000, { 1001 }, 2, { 100 }, 1, false },
		{ "a single task", &cpu_1000, { 1001 }, 1, { 1001 }, 1, true },
		{ "a gang within the tolerance", &cpu_1000, { 1200 }, 12, { 100 }, 12, true },
		{ "a gang beyond it", &cpu_1000, { 1300 }, 13, { 100 }, 13, false },
		{ "a gang beside another run", &cpu_1000, { 1200 }, 13, { 100 }, 12, false },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct confirm_case *c = &cases[i];
		struct team_use *u = use_of(&c->used, c->runs);

		cr_expect_eq(team_use_confirms(u, TEAM, c->limit, &c->need, c->own_runs),
			     c->expected, "%s", c->name);
		team_use_destroy(u);
	}
}

/* What is held for a gang belonged to no one in the next pass, and to later steps before. */
Test(team_use, held_needs_count_until_the_next_pass)
{
	static const struct resources gpu = { .accel = 1 };
	static const struct resources cpu = { .cpu_milli = 1 };
	struct team_use *u = use_of(&gpu, 1);

	team_use_hold(u, TEAM, &gpu, 6);
	cr_expect(team_use_holds(u, TEAM, &gpu, 6));
	cr_expect_not(team_use_holds(u, TEAM, &gpu, 7));
	cr_expect_eq(team_use_room(u, TEAM, &gpu_8, &gpu, 9), 1);
	team_use_hold(u, TEAM, &gpu, 7);
	cr_expect_eq(team_use_room(u, TEAM, &gpu_8, &gpu, 9), 0);
	cr_expect_eq(team_use_room(u, TEAM, &gpu_8, &cpu, 9), 9, "another resource");
	cr_expect_eq(team_use_room(u, "u", &gpu_8, &gpu, 9), 8, "another team");
	team_use_hold(u, "u", &gpu, 8);
	cr_expect_eq(team_use_room(u, "u", &gpu_8, &gpu, 9), 0, "held while nothing runs");
	cr_expect_not(team_use_allows_gang(u, "u", &gpu_8, &gpu, 2));
	team_use_begin_pass(u);
	cr_expect_eq(team_use_room(u, TEAM, &gpu_8, &gpu, 9), 7);
	team_use_destroy(u);
}

static void count_teams(void *ctx, const struct team_sum *sum)
{
	(*(uint32_t *)ctx)++;
}

/* Teams that had come and gone stayed in memory; jobs without a team were limited as one. */
Test(team_use, sums_go_with_the_runs)
{
	static const struct resources need = { 100, GIB, 1 };
	struct team_use *u = team_use_create();
	uint32_t teams = 0;

	team_use_add(u, "", &need);
	team_use_add(u, TEAM, &need);
	team_use_add(u, TEAM, &need);
	team_use_count_held_back(u, TEAM, 3);
	team_use_remove(u, "", &need);
	team_use_remove(u, TEAM, &need);
	cr_expect_eq(team_use_sum(u, TEAM).used.mem_bytes, GIB);
	cr_expect_eq(team_use_sum(u, TEAM).runs, 1);
	cr_expect_eq(team_use_sum(u, TEAM).held_back, 3);
	team_use_each(u, count_teams, &teams);
	cr_expect_eq(teams, 1);
	team_use_remove(u, TEAM, &need);
	team_use_begin_pass(u);
	team_use_each(u, count_teams, &teams);
	cr_expect_eq(teams, 1, "no entry is left");
	team_use_destroy(u);
}

struct job_case {
	const char *name;
	uint32_t count;
	uint32_t accel;
	bool gang;
	bool refused;
};

/* Gangs that could never run were accepted and waited for ever. */
Test(team_use, jobs_that_can_never_run)
{
	static const struct job_case cases[] = {
		{ "small gang", 2, 2, true, false },
		{ "gang of the whole cap and a task", 3, 3, true, false },
		{ "too large a gang", 4, 3, true, true },
		{ "wide step", 400, 3, false, false },
		{ "one large task", 1, 64, false, false },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		Cell__Step small = CELL__STEP__INIT;
		Cell__Step step = CELL__STEP__INIT;
		Cell__Step *steps[] = { &small, &step };
		Cell__Job job = CELL__JOB__INIT;

		small.count = 1;
		step.count = cases[i].count;
		step.accel = cases[i].accel;
		step.gang = cases[i].gang;
		job.step = steps;
		job.n_step = 2;
		cr_expect_eq(team_use_check_job(&gpu_8, &job) != NULL, cases[i].refused, "%s",
			     cases[i].name);
		cr_expect_null(team_use_check_job(&none, &job), "%s", cases[i].name);
	}
}
