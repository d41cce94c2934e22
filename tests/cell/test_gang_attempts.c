#include <criterion/criterion.h>

#include "workload.h"

/*
 * The attempts of a gang. One run of it counts once, whichever of its members fail, and in whatever
 * order, batch or process their ends are noted; a gang whose runs all fail has exactly as many as
 * its job has attempts.
 */

#define GANG "00000000000000a1"

enum { ATTEMPTS = 3, MEMBERS_MAX = 8, PLAY_MS = 12000 };

struct member_case {
	const char *what;
	uint32_t runners;
	uint32_t members;
	/* When each member fails, in ms after its start; 0: it runs until it is stopped. */
	int64_t fails_ms[MEMBERS_MAX];
};

static const struct member_case member_cases[] = {
	{ "all at once, a runner each", 4, 4, { 300, 300, 300, 300 } },
	{ "all at once, on one runner", 1, 4, { 300, 300, 300, 300 } },
	{ "all at once, two a runner", 2, 4, { 300, 300, 300, 300 } },
	{ "one after the other", 4, 4, { 300, 320, 340, 360 } },
	{ "one after the other, the last first", 4, 4, { 360, 340, 320, 300 } },
	{ "two of seven", 7, 7, { 0, 0, 300, 0, 0, 300, 0 } },
	{ "six of seven", 7, 7, { 300, 300, 300, 0, 300, 300, 300 } },
	{ "one", 4, 4, { 0, 0, 300, 0 } },
};

static const char *const member_name[MEMBERS_MAX] = {
	GANG ".0.0.0", GANG ".0.0.1", GANG ".0.0.2", GANG ".0.0.3",
	GANG ".0.0.4", GANG ".0.0.5", GANG ".0.0.6", GANG ".0.0.7",
};

static void set_failures(struct workload *w, uint32_t members, const int64_t *fails_ms)
{
	for (uint32_t i = 0; i < members; i++) {
		const struct workload_job job = { member_name[i], fails_ms[i], END_FAILED, 100 };

		workload_add(w, &job);
	}
}

/* Each runner has room for no more members than its share. */
static struct fixture *fixture_with_gang(uint32_t runners, uint32_t members)
{
	int64_t share = (members + runners - 1) / runners;
	struct fixture *f = fixture_default(runners, 1000 * share);
	Cell__Job *job = fixture_new_job(GANG, "urgent", members, 1000);

	job->step[0]->gang = true;
	job->step[0]->estimate_ms = 1000;
	fixture_submit(f, job);
	return f;
}

/* Replaces the scheduler at takeover_ms, or never if that is negative. */
static void check_attempts(const struct member_case *c, int64_t takeover_ms, bool lose_all)
{
	struct fixture *f = fixture_with_gang(c->runners, c->members);
	struct workload *w = workload_create(f);
	enum job_state state;

	set_failures(w, c->members, c->fails_ms);
	if (takeover_ms >= 0) {
		workload_run(w, takeover_ms);
		fixture_replace_scheduler(f, lose_all);
	}
	workload_run(w, PLAY_MS);
	state = fixture_find_job(f, GANG)->state;
	cr_expect_eq(state, JOB_FAILED, "%s, takeover at %d ms: state %d after %u failed runs",
		     c->what, (int)takeover_ms, state, workload_failed_runs(w, GANG));
	cr_expect_eq(workload_failed_runs(w, GANG), ATTEMPTS,
		     "%s, takeover at %d ms: %u runs failed", c->what, (int)takeover_ms,
		     workload_failed_runs(w, GANG));
	workload_destroy(w);
	fixture_destroy(f);
}

/*
 * Guards against jobs that are shown as failed although attempts are left: when several members of
 * one run of a gang failed, each of them counted as an attempt.
 */
Test(gang_attempts, a_run_counts_once_whichever_members_fail)
{
	for (size_t i = 0; i < G_N_ELEMENTS(member_cases); i++)
		check_attempts(&member_cases[i], -1, false);
}

/* The same where a part of the ends is noted by one scheduler and the rest by its successor. */
Test(gang_attempts, a_run_counts_once_over_a_takeover_at_any_moment)
{
	for (size_t i = 0; i < G_N_ELEMENTS(member_cases); i++)
		for (int64_t ms = 200; ms <= 600; ms += WORKLOAD_STEP_MS)
			for (int lose_all = 0; lose_all < 2; lose_all++)
				check_attempts(&member_cases[i], ms, lose_all);
}

struct varied_case {
	const char *what;
	int64_t fails_ms[ATTEMPTS][4]; /* by run and member */
};

static const struct varied_case varied_cases[] = {
	{ "a different member each time",
	  { { 300, 0, 0, 0 }, { 0, 300, 0, 0 }, { 0, 0, 300, 0 } } },
	{ "two others each time", { { 300, 300, 0, 0 }, { 0, 300, 300, 0 }, { 0, 0, 300, 300 } } },
	{ "all, then one", { { 300, 300, 300, 300 }, { 300, 0, 0, 0 }, { 0, 300, 0, 0 } } },
};

/* Guards against a gang that is given up too late, as members that fail in turn count apart. */
Test(gang_attempts, runs_in_which_different_members_fail_add_up)
{
	for (size_t i = 0; i < G_N_ELEMENTS(varied_cases); i++) {
		const struct varied_case *c = &varied_cases[i];
		struct fixture *f = fixture_with_gang(4, 4);
		struct workload *w = workload_create(f);

		for (uint32_t run = 0; run < ATTEMPTS; run++) {
			cr_expect_eq(fixture_find_job(f, GANG)->state >= JOB_DONE, false,
				     "%s: ended before run %u", c->what, run + 1);
			set_failures(w, 4, c->fails_ms[run]);
			for (int t = 0; t < 500 && workload_failed_runs(w, GANG) <= run; t++)
				workload_run(w, WORKLOAD_STEP_MS);
		}
		workload_run(w, PLAY_MS);
		cr_expect_eq(fixture_find_job(f, GANG)->state, JOB_FAILED, "%s", c->what);
		cr_expect_eq(workload_failed_runs(w, GANG), ATTEMPTS, "%s: %u runs failed", c->what,
			     workload_failed_runs(w, GANG));
		workload_destroy(w);
		fixture_destroy(f);
	}
}

/* A job that succeeds after runs in which several members failed. */
Test(gang_attempts, a_gang_may_succeed_in_its_last_attempt)
{
	const int64_t fails_ms[] = { 300, 300, 300, 300 };
	struct fixture *f = fixture_with_gang(4, 4);
	struct workload *w = workload_create(f);

	set_failures(w, 4, fails_ms);
	for (int t = 0; t < 500 && workload_failed_runs(w, GANG) < ATTEMPTS - 1; t++)
		workload_run(w, WORKLOAD_STEP_MS);
	workload_add(w, &(struct workload_job){ GANG, 300, END_DONE, 100 });
	workload_run(w, PLAY_MS);
	cr_expect_eq(fixture_find_job(f, GANG)->state, JOB_DONE, "state %d",
		     fixture_find_job(f, GANG)->state);
	workload_destroy(w);
	fixture_destroy(f);
}

struct old_case {
	const char *what;
	uint32_t failures[4];
	uint32_t last_run;
	uint32_t live;	      /* members from this one on have a run */
	uint32_t failed_runs; /* until the job fails, with all members failing in each run */
};

static const struct old_case old_cases[] = {
	{ "all failed in the first run", { 1, 1, 1, 1 }, 1, 4, 2 },
	{ "three of them", { 1, 1, 1, 0 }, 1, 4, 2 },
	{ "one of them", { 0, 1, 0, 0 }, 1, 4, 2 },
	{ "half have ended, the others go on", { 1, 1, 0, 0 }, 1, 2, 3 },
	{ "one has ended in the second run", { 2, 1, 1, 1 }, 2, 1, 2 },
	{ "two in two runs", { 2, 2, 0, 0 }, 2, 4, 1 },
	{ "one each in two runs", { 1, 1, 0, 0 }, 2, 4, 1 },
	{ "all in the first, the second goes on", { 1, 1, 1, 1 }, 2, 0, 2 },
	{ "none", { 0, 0, 0, 0 }, 1, 0, 3 },
};

/* Stores the progress as releases wrote it that counted a run for each member that failed. */
static void store_old_progress(struct fixture *f, const struct old_case *c)
{
	Cell__Progress m = CELL__PROGRESS__INIT;
	Cell__TaskProgress task[4];
	Cell__TaskProgress *tasks[4];
	Cell__RunnerRef runner[4];
	Cell__RunnerRef *runners[4];
	char id[4][16];
	g_autofree uint8_t *buf = NULL;

	m.state = JOB_RUNNING;
	m.task = tasks;
	m.n_task = 4;
	m.runner = runners;
	for (uint32_t i = 0; i < 4; i++) {
		task[i] = (Cell__TaskProgress)CELL__TASK_PROGRESS__INIT;
		task[i].task = i;
		task[i].run = c->last_run;
		task[i].failures = c->failures[i];
		tasks[i] = &task[i];
		if (i < c->live)
			continue;
		g_snprintf(id[i], sizeof(id[i]), "r%u", i);
		runner[i] = (Cell__RunnerRef)CELL__RUNNER_REF__INIT;
		runner[i].id = id[i];
		runner[i].born_ms = 1000;
		runners[m.n_runner++] = &runner[i];
		task[i].runner_index = (uint32_t)m.n_runner;
	}
	buf = g_malloc(cell__progress__get_packed_size(&m));
	g_hash_table_replace(f->log, g_strdup(GANG "/p"),
			     g_bytes_new(buf, cell__progress__pack(&m, buf)));
}

/*
 * Guards against jobs that fail too early, or too late, after an update: older releases counted a
 * run for each member that failed.
 */
Test(gang_attempts, progress_of_older_releases)
{
	const int64_t fails_ms[] = { 300, 300, 300, 300 };

	for (size_t i = 0; i < G_N_ELEMENTS(old_cases); i++) {
		const struct old_case *c = &old_cases[i];
		struct fixture *f = fixture_with_gang(4, 4);
		struct workload *w = workload_create(f);

		set_failures(w, 4, fails_ms);
		store_old_progress(f, c);
		fixture_replace_scheduler(f, true);
		for (uint32_t k = c->live; k < 4; k++) {
			g_autofree char *runner = g_strdup_printf("r%u", k);

			workload_adopt(w, runner, member_name[k], c->last_run);
		}
		workload_run(w, PLAY_MS);
		cr_expect_eq(fixture_find_job(f, GANG)->state, JOB_FAILED, "%s", c->what);
		cr_expect_eq(workload_failed_runs(w, GANG), c->failed_runs, "%s: %u runs failed",
			     c->what, workload_failed_runs(w, GANG));
		workload_destroy(w);
		fixture_destroy(f);
	}
}

/*
 * Guards against a runner that gets no starts because of one failed run: two members of a gang that
 * failed on it counted as two failures in a row, which put it into quarantine.
 */
Test(gang_attempts, members_that_fail_together_put_no_runner_into_quarantine)
{
	const int64_t fails_ms[] = { 300, 300, 300, 300 };
	struct fixture *f = fixture_with_gang(1, 4);
	struct workload *w = workload_create(f);

	set_failures(w, 4, fails_ms);
	while (workload_failed_runs(w, GANG) == 0)
		workload_run(w, WORKLOAD_STEP_MS);
	fixture_cancel(f, GANG);
	fixture_submit(f, fixture_new_job("00000000000000b2", "urgent", 4, 1000));
	workload_run(w, 500);
	cr_expect_eq(workload_started(w, "00000000000000b2"), 4, "%u of 4 tasks started",
		     workload_started(w, "00000000000000b2"));
	workload_destroy(w);
	fixture_destroy(f);
}
