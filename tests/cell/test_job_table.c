#include <criterion/criterion.h>

#include "fixture.h"

#define ID "00000000000000a1"

struct rec {
	char *key;
	uint8_t *value;
	size_t size;
};

static struct rec job_record(void)
{
	Cell__Job *job = fixture_new_job(ID, "q", 2, 100);
	struct rec r = { .key = ID };

	r.size = cell__job__get_packed_size(job);
	r.value = g_malloc(r.size);
	cell__job__pack(job, r.value);
	cell__job__free_unpacked(job, NULL);
	return r;
}

static struct rec progress_record(void)
{
	Cell__Progress m = CELL__PROGRESS__INIT;
	Cell__TaskProgress t = CELL__TASK_PROGRESS__INIT;
	Cell__TaskProgress *rows[] = { &t };
	struct rec r = { .key = ID "/p" };

	t.run = 1;
	t.done = true;
	m.state = JOB_RUNNING;
	m.task = rows;
	m.n_task = 1;
	r.size = cell__progress__get_packed_size(&m);
	r.value = g_malloc(r.size);
	cell__progress__pack(&m, r.value);
	return r;
}

/* The records of one job come from two partitions, so their order is not fixed. */
Test(job_table, order_of_records_does_not_matter)
{
	static const int orders[][3] = { { 0, 1, 2 }, { 0, 2, 1 }, { 1, 0, 2 },
					 { 1, 2, 0 }, { 2, 0, 1 }, { 2, 1, 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
		struct rec r[] = { job_record(),
				   progress_record(),
				   { .key = ID "/c", .value = g_memdup2("\1", 1), .size = 1 } };
		struct job_table *t = job_table_create();
		struct cell_job *j;

		for (int k = 0; k < 3; k++) {
			const struct rec *x = &r[orders[i][k]];

			cr_expect(job_table_apply(t, x->key, x->value, x->size));
		}
		j = job_table_find(t, ID);
		cr_assert_not_null(j, "order %zu", i);
		cr_expect(j->cancelled, "order %zu", i);
		cr_expect_eq(j->stored_state, JOB_RUNNING, "order %zu", i);
		cr_expect(cell_job_task_is_done(j, 0), "order %zu", i);
		job_table_destroy(t);
		for (int k = 0; k < 3; k++)
			g_free(r[k].value);
	}
}

Test(job_table, repeated_submission_is_one_job)
{
	struct rec r = job_record();
	struct rec prog = progress_record();
	struct job_table *t = job_table_create();

	job_table_apply(t, r.key, r.value, r.size);
	job_table_apply(t, prog.key, prog.value, prog.size);
	cr_assert(job_table_apply(t, r.key, r.value, r.size));
	cr_assert_eq(job_table_size(t), 1);
	cr_assert(cell_job_task_is_done(job_table_find(t, ID), 0));
	job_table_destroy(t);
	g_free(r.value);
	g_free(prog.value);
}

Test(job_table, count_waiting_counts_jobs_without_a_start)
{
	struct rec r = job_record();
	struct rec prog = progress_record();
	struct job_table *t = job_table_create();

	cr_assert_eq(job_table_count_waiting(t, "q"), 0);
	job_table_apply(t, r.key, r.value, r.size);
	cr_assert_eq(job_table_count_waiting(t, "q"), 1);
	cr_assert_eq(job_table_count_waiting(t, "other"), 0);
	job_table_apply(t, prog.key, prog.value, prog.size);
	cr_assert_eq(job_table_count_waiting(t, "q"), 0);
	job_table_destroy(t);
	g_free(r.value);
	g_free(prog.value);
}

struct bad_case {
	const char *what;
	const char *key;
	const char *value;
	size_t size;
};

Test(job_table, unreadable_records_change_nothing)
{
	static const struct bad_case cases[] = {
		{ "no id", "x", "abc", 3 },
		{ "empty key", "", "abc", 3 },
		{ "id with another character", "00000000000000g1", "abc", 3 },
		{ "unknown kind", ID "/z", "abc", 3 },
		{ "invalid job record", ID, "\xff\xff\xff", 3 },
		{ "invalid progress record", ID "/p", "\xff\xff\xff", 3 },
	};
	struct rec r = job_record();

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct job_table *t = job_table_create();

		cr_expect_not(job_table_apply(t, cases[i].key, (const uint8_t *)cases[i].value,
					      cases[i].size),
			      "%s", cases[i].what);
		cr_expect_eq(job_table_size(t), 0, "%s", cases[i].what);
		job_table_destroy(t);
	}
	g_free(r.value);
}

static struct rec pack_job(Cell__Job *job)
{
	struct rec r = { .key = ID, .size = cell__job__get_packed_size(job) };

	r.value = g_malloc(r.size);
	cell__job__pack(job, r.value);
	cell__job__free_unpacked(job, NULL);
	return r;
}

/* Guards against a job that an earlier release accepted, that no one knows after an update. */
Test(job_table, stored_jobs_that_cannot_be_done_are_known)
{
	static const struct {
		const char *what;
		uint32_t count;
		uint32_t repeats;
		uint64_t mem_bytes;
		uint32_t after;
	} cases[] = {
		{ "too many tasks", UINT32_MAX, 0, 0, UINT32_MAX },
		{ "no task", 0, 0, 0, UINT32_MAX },
		{ "too many times", 1, UINT32_MAX, 0, UINT32_MAX },
		{ "too much memory", 4000, 0, UINT64_MAX, UINT32_MAX },
		{ "after a step that is missing", 1, 0, 0, 4000000000 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Cell__Job *job = fixture_new_job(ID, "q", cases[i].count, 100);
		struct job_table *t = job_table_create();
		struct rec prog = progress_record();
		struct cell_job *j;
		struct rec r;

		job->repeats = cases[i].repeats;
		job->step[0]->mem_bytes = cases[i].mem_bytes;
		job->step[0]->after = g_new0(uint32_t, 1);
		job->step[0]->after[0] = cases[i].after;
		job->step[0]->n_after = cases[i].after != UINT32_MAX;
		r = pack_job(job);
		cr_expect_not(job_table_add_tentative(t, r.key, r.value, r.size), "%s",
			      cases[i].what);
		cr_expect(job_table_apply(t, r.key, r.value, r.size), "%s", cases[i].what);
		cr_expect(job_table_apply(t, prog.key, prog.value, prog.size), "%s", cases[i].what);
		j = job_table_find(t, ID);
		cr_assert_not_null(j, "%s", cases[i].what);
		cr_expect_not_null(j->invalid, "%s", cases[i].what);
		cr_expect_eq(j->n_task, 0, "%s", cases[i].what);
		cr_expect_eq(cell_job_find_task(j, 0, 0, 0), UINT32_MAX, "%s", cases[i].what);
		job_table_destroy(t);
		g_free(r.value);
		g_free(prog.value);
	}
}

Test(job_table, deleted_keys)
{
	struct rec r = job_record();
	struct rec prog = progress_record();
	struct job_table *t = job_table_create();

	job_table_apply(t, r.key, r.value, r.size);
	job_table_apply(t, ID "/p", NULL, 0);
	cr_assert_not_null(job_table_find(t, ID), "only the progress was deleted");
	job_table_apply(t, ID, NULL, 0);
	cr_assert_null(job_table_find(t, ID));
	/* Old progress that is read after the job was deleted must not leave an entry. */
	job_table_apply(t, prog.key, prog.value, prog.size);
	job_table_apply(t, ID "/p", NULL, 0);
	cr_assert_eq(job_table_size(t), 0);
	job_table_destroy(t);
	g_free(r.value);
	g_free(prog.value);
}

/* A tentative job is confirmed by its record, or dropped. */
Test(job_table, tentative_jobs)
{
	struct rec r = job_record();
	struct job_table *t = job_table_create();

	cr_assert(job_table_add_tentative(t, r.key, r.value, r.size));
	cr_assert(job_table_find(t, ID)->tentative);
	cr_assert_not(job_table_add_tentative(t, r.key, r.value, r.size), "already known");
	cr_assert(job_table_drop_tentative(t, ID));
	cr_assert_null(job_table_find(t, ID));
	cr_assert(job_table_add_tentative(t, r.key, r.value, r.size));
	cr_assert(job_table_apply(t, r.key, r.value, r.size));
	cr_assert_not(job_table_find(t, ID)->tentative);
	cr_assert_not(job_table_drop_tentative(t, ID), "no longer tentative");
	cr_assert_not(job_table_add_tentative(t, ID "/c", (const uint8_t *)"1", 1), "not a job");
	job_table_destroy(t);
	g_free(r.value);
}

struct early_case {
	const char *what;
	const char *cancel_team; /* NULL: may cancel jobs of all teams */
	const char *job_team;
	bool cancelled;
};

/*
 * Guards against a cancel that is lost since its job isn't known yet: the job's record came later,
 * and it ran though its cancelling had been acknowledged.
 */
Test(job_table, a_cancel_holds_for_a_job_that_comes_later)
{
	static const struct early_case cases[] = {
		{ "no teams", NULL, "", true },
		{ "its team", "t", "t", true },
		{ "a caller for all teams", NULL, "t", true },
		{ "another team", "u", "t", false },
		{ "a caller without a team", "", "t", false },
		{ "a job without a team", "t", "", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct early_case *c = &cases[i];
		Cell__Job *job = fixture_new_job(ID, "q", 2, 100);
		struct job_table *t = job_table_create();
		g_autofree uint8_t *cancel = NULL;
		g_autofree uint8_t *value = NULL;
		size_t cancel_size;
		size_t size;

		job->team = g_strdup(c->job_team);
		size = cell__job__get_packed_size(job);
		value = g_malloc(size);
		cell__job__pack(job, value);
		cell__job__free_unpacked(job, NULL);
		cancel = job_table_cancel_record(c->cancel_team, &cancel_size);
		cr_assert(job_table_apply(t, ID "/c", cancel, cancel_size));
		cr_expect_eq(job_table_early_cancels(t), 1);
		cr_expect_null(job_table_find(t, ID));
		cr_expect_eq(job_table_add_tentative(t, ID, value, size), !c->cancelled,
			     "%s: tentative", c->what);
		cr_assert(job_table_apply(t, ID, value, size));
		cr_expect_eq(job_table_find(t, ID)->cancelled, c->cancelled, "%s", c->what);
		cr_expect_eq(job_table_count_waiting(t, "q"), !c->cancelled, "%s", c->what);
		job_table_destroy(t);
	}
}

/* Guards against a job that runs since its first, failed attempt to be stored took the cancel
 * along.
 */
Test(job_table, a_cancel_outlives_a_job_that_was_not_stored)
{
	struct rec r = job_record();
	struct job_table *t = job_table_create();

	cr_assert(job_table_add_tentative(t, r.key, r.value, r.size));
	cr_assert(job_table_apply(t, ID "/c", (const uint8_t *)"\1", 1));
	cr_expect(job_table_find(t, ID)->cancelled);
	cr_assert(job_table_drop_tentative(t, ID));
	cr_assert_null(job_table_find(t, ID));
	cr_assert(job_table_apply(t, r.key, r.value, r.size));
	cr_expect(job_table_find(t, ID)->cancelled);
	job_table_destroy(t);
	g_free(r.value);
}

/* Guards against cancels of jobs that never come and are kept for good. */
Test(job_table, early_cancels_grow_old)
{
	enum { N = 100, AGE_MS = 60000, MAX = 30 };
	struct job_table *t = job_table_create();
	GPtrArray *old;

	for (uint32_t i = 0; i < N; i++) {
		g_autofree char *key = g_strdup_printf("%016x/c", i);

		cr_assert(job_table_apply(t, key, (const uint8_t *)"\1", 1));
	}
	old = job_table_age_cancels(t, 1000, AGE_MS, MAX);
	cr_expect_eq(old->len, 0);
	g_ptr_array_unref(old);
	old = job_table_age_cancels(t, 1000 + AGE_MS - 1, AGE_MS, MAX);
	cr_expect_eq(old->len, 0);
	g_ptr_array_unref(old);
	old = job_table_age_cancels(t, 1000 + AGE_MS, AGE_MS, MAX);
	cr_expect_eq(old->len, MAX);
	for (guint i = 0; i < old->len; i++) {
		g_autofree char *key = g_strdup_printf("%s/c", (char *)old->pdata[i]);

		cr_assert(job_table_apply(t, key, NULL, 0));
		cr_expect_null(job_table_early_cancel(t, old->pdata[i]));
	}
	g_ptr_array_unref(old);
	cr_expect_eq(job_table_early_cancels(t), N - MAX);
	job_table_destroy(t);
}
