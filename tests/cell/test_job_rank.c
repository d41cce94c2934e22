#include <criterion/criterion.h>

#include "fixture.h"
#include "process/job_rank.h"

#define ID "00000000000000a1"

/* A chain of steps of 500 ms each; the objective is 2 x the chain + 1,000 ms. */
static struct cell_job *make(uint32_t steps, bool lasting)
{
	Cell__Job *job = fixture_new_job(ID, "q", 1, 100);
	struct cell_job *j = cell_job_create(ID);

	for (uint32_t i = 1; i < steps; i++) {
		Cell__Step *s = fixture_add_step(job, 1, 100);

		s->after = g_new0(uint32_t, 1);
		s->after[0] = i - 1;
		s->n_after = 1;
	}
	job->step[0]->lasting = lasting;
	job->stretch_milli = 2000;
	job->objective_ms = 1000;
	job->accepted_ms = 10000;
	cr_assert(cell_job_set_spec(j, job));
	return j;
}

struct tier_case {
	uint32_t steps;
	uint32_t done;
	int64_t waited_ms;
	enum job_tier tier;
};

Test(job_rank, tiers)
{
	static const struct tier_case cases[] = {
		{ 1, 0, 0, JOB_TIER_IN_TIME },	  { 1, 0, 1450, JOB_TIER_IN_TIME },
		{ 1, 0, 1451, JOB_TIER_LATE },	  { 1, 0, 5450, JOB_TIER_LATE },
		{ 1, 0, 5451, JOB_TIER_OVERDUE }, { 2, 0, 1950, JOB_TIER_IN_TIME },
		{ 2, 0, 1951, JOB_TIER_LATE },	  { 2, 1, 2450, JOB_TIER_IN_TIME },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cell_job *j = make(cases[i].steps, false);

		for (uint32_t k = 0; k < cases[i].done; k++)
			cell_job_mark_task_done(j, k);
		cr_expect_eq(job_rank_at(j, 10000 + cases[i].waited_ms).tier, cases[i].tier,
			     "case %zu", i);
		cell_job_destroy(j);
	}
}

Test(job_rank, lasting_jobs_are_never_late)
{
	struct cell_job *j = make(1, true);

	cr_assert_eq(job_rank_at(j, 1000000).tier, JOB_TIER_LASTING);
	cell_job_destroy(j);
}

struct rank_case {
	struct job_rank first;
	struct job_rank second;
};

Test(job_rank, comparison)
{
	static const struct rank_case cases[] = {
		{ { JOB_TIER_LASTING, 5, 9 }, { JOB_TIER_IN_TIME, 0, 1 } },
		{ { JOB_TIER_IN_TIME, 2, 9 }, { JOB_TIER_LATE, 0, 1 } },
		{ { JOB_TIER_IN_TIME, 0, 9 }, { JOB_TIER_IN_TIME, 1, 1 } },
		{ { JOB_TIER_IN_TIME, 1, 1 }, { JOB_TIER_IN_TIME, 1, 9 } },
		{ { JOB_TIER_LATE, 2, 9 }, { JOB_TIER_OVERDUE, 0, 1 } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		cr_expect_lt(job_rank_compare(&cases[i].first, &cases[i].second), 0, "case %zu", i);
		cr_expect_gt(job_rank_compare(&cases[i].second, &cases[i].first), 0, "case %zu", i);
	}
}

/*
 * In a burst of urgent jobs without enough room, oldest first would make each of them late in turn.
 * Jobs that can't be in time any more have to come last.
 */
Test(job_rank, in_a_burst_late_jobs_come_last)
{
	struct fixture *f = fixture_create();
	const struct fixture_start *first;

	fixture_add_queue(f, "urgent", "desk", 0, 3, 0);
	fixture_start_scheduler(f);
	fixture_add_runner(f, "r0", "desk", "rack0", 100, 0);
	fixture_poll_all(f);
	for (int i = 0; i < 2; i++) {
		g_autofree char *id = g_strdup_printf("00000000000000d%d", i);
		Cell__Job *job = fixture_new_job(id, "urgent", 1, 100);

		job->stretch_milli = 2000;
		job->objective_ms = 1000;
		job->accepted_ms = f->wall_ms - 5000 + (int64_t)i * 5000;
		fixture_submit(f, job);
	}
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 1);
	first = &g_array_index(f->start, struct fixture_start, 0);
	cr_assert_str_eq(first->task, "00000000000000d1.0.0.0");
	fixture_destroy(f);
}

Test(job_rank, each_occurrence_of_a_repeated_job_has_its_own_objective)
{
	Cell__Job *job = fixture_new_job(ID, "q", 1, 100);
	struct cell_job *j = cell_job_create(ID);

	job->stretch_milli = 2000;
	job->objective_ms = 1000;
	job->accepted_ms = 10000;
	job->repeats = 2;
	job->first_due_ms = 20000;
	job->every_ms = 5000;
	cr_assert(cell_job_set_spec(j, job));
	cr_assert_eq(job_rank_at(j, 21000).tier, JOB_TIER_IN_TIME);
	cr_assert_eq(job_rank_at(j, 22000).tier, JOB_TIER_LATE);
	cell_job_mark_task_done(j, 0);
	cr_assert_eq(job_rank_at(j, 26000).tier, JOB_TIER_IN_TIME);
	cell_job_destroy(j);
}
