#include <criterion/criterion.h>

#include "bed.h"

#define ID "00000000000000a1"

struct name_case {
	const char *name;
	bool valid;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

Test(plan, names)
{
	static const struct name_case cases[] = {
		{ ID ".0.0.0", true, 0, 0, 0 },
		{ ID ".3.1.17", true, 3, 1, 17 },
		{ ID ".3.1", true, 3, 1, UINT32_MAX },
		{ ID, false },
		{ ID ".0", false },
		{ ID ".0.1.2.3", false },
		{ ID ".0.x.2", false },
		{ ID ".0.-1.2", false },
		{ ID ".0.0.99999999999", false },
		{ "short.0.0.0", false },
		{ "", false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char id[JOB_ID_LEN + 1];
		uint32_t o = 0, s = 0, x = 0;
		bool ok = plan_parse_name(cases[i].name, id, &o, &s, &x);

		cr_expect_eq(ok, cases[i].valid, "case %zu", i);
		if (!ok || !cases[i].valid)
			continue;
		cr_expect_str_eq(id, ID);
		cr_expect_eq(o, cases[i].occurrence, "case %zu", i);
		cr_expect_eq(s, cases[i].step, "case %zu", i);
		cr_expect_eq(x, cases[i].index, "case %zu", i);
	}
}

static struct plan *make(Cell__Job *job)
{
	struct plan *p = plan_create(job->id);

	cr_assert(plan_set_job(p, job));
	return p;
}

Test(plan, task_names_go_both_ways)
{
	Cell__Job *job = bed_job(ID, "q", 3, 100);
	struct plan *p;

	bed_add_step(job, 4, 100);
	job->repeats = 2;
	p = make(job);
	cr_assert_eq(p->n_task, 14);
	for (uint32_t t = 0; t < p->n_task; t++) {
		char name[TASK_NAME_BYTES];
		char id[JOB_ID_LEN + 1];
		uint32_t o, s, x;

		plan_task_name(p, t, name);
		cr_assert(plan_parse_name(name, id, &o, &s, &x));
		cr_assert_eq(plan_task_number(p, o, s, x), t);
	}
	cr_assert_eq(plan_task_number(p, 2, 0, 0), UINT32_MAX);
	cr_assert_eq(plan_task_number(p, 0, 2, 0), UINT32_MAX);
	cr_assert_eq(plan_task_number(p, 0, 1, 4), UINT32_MAX);
	plan_destroy(p);
}

struct check_case {
	const char *what;
	uint32_t count;
	uint32_t after; /* UINT32_MAX for none */
	uint32_t repeats;
	const char *id;
	bool valid;
};

Test(plan, check)
{
	static const struct check_case cases[] = {
		{ "plain", 2, UINT32_MAX, 0, ID, true },
		{ "no task", 0, UINT32_MAX, 0, ID, false },
		{ "after itself", 1, 0, 0, ID, false },
		{ "after a later step", 1, 7, 0, ID, false },
		{ "too many tasks", PLAN_TASKS_MAX + 1, UINT32_MAX, 0, ID, false },
		{ "too many with repeats", 100, UINT32_MAX, 1000, ID, false },
		{ "id too short", 1, UINT32_MAX, 0, "abc", false },
		{ "id not hexadecimal", 1, UINT32_MAX, 0, "000000000000000g", false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Cell__Job *job = bed_job(cases[i].id, "q", cases[i].count, 100);

		job->repeats = cases[i].repeats;
		if (cases[i].after != UINT32_MAX) {
			job->step[0]->after = g_new0(uint32_t, 1);
			job->step[0]->after[0] = cases[i].after;
			job->step[0]->n_after = 1;
		}
		cr_expect_eq(plan_check(job) == NULL, cases[i].valid, "%s", cases[i].what);
		cell__job__free_unpacked(job, NULL);
	}
}

Test(plan, a_step_waits_for_all_it_comes_after_and_for_its_time)
{
	Cell__Job *job = bed_job(ID, "q", 2, 100);
	Cell__Step *second = bed_add_step(job, 1, 100);
	struct plan *p;

	second->after = g_new0(uint32_t, 1);
	second->n_after = 1;
	job->repeats = 2;
	job->first_due_ms = 5000;
	job->every_ms = 1000;
	p = make(job);
	cr_assert_not(plan_step_ready(p, &p->step[0], 4999));
	cr_assert(plan_step_ready(p, &p->step[0], 5000));
	cr_assert_not(plan_step_ready(p, &p->step[2], 5999));
	cr_assert(plan_step_ready(p, &p->step[2], 6000));
	plan_task_done(p, 0);
	cr_assert_not(plan_step_ready(p, &p->step[1], 9000));
	plan_task_done(p, 1);
	cr_assert(plan_step_ready(p, &p->step[1], 9000));
	plan_destroy(p);
}

Test(plan, a_gang_counts_failures_together_and_ends_together)
{
	Cell__Job *job = bed_job(ID, "q", 3, 100);
	struct plan *p;

	job->step[0]->gang = true;
	job->attempts_max = 2;
	p = make(job);
	cr_assert_not(plan_task_failed(p, 0));
	cr_assert(plan_task_failed(p, 2));
	plan_task_done(p, 1);
	cr_assert(plan_all_done(p));
	plan_destroy(p);
}

Test(plan, progress_survives_the_log)
{
	struct plan *p = make(bed_job(ID, "q", 3, 100));
	struct plan *q = make(bed_job(ID, "q", 3, 100));
	g_autofree uint8_t *buf = NULL;
	Cell__Progress *m;
	size_t size;

	p->state = JOB_RUNNING;
	p->task[0].run = 2;
	p->task[0].failures = 1;
	plan_checkpoint(p, 0, "abc");
	p->task[1].run = 1;
	plan_task_done(p, 1);
	buf = plan_progress(p, &size);
	m = cell__progress__unpack(NULL, size, buf);
	plan_apply(q, m);
	cr_assert_eq(q->shown, JOB_RUNNING);
	cr_assert_eq(q->task[0].run, 2);
	cr_assert_eq(q->task[0].failures, 1);
	cr_assert_str_eq(q->task[0].checkpoint, "abc");
	cr_assert(q->task[1].done);
	cr_assert_eq(q->step[0].done, 1);
	cr_assert_eq(q->task[2].run, 0);
	cr_assert(q->started);
	cell__progress__free_unpacked(m, NULL);
	plan_destroy(p);
	plan_destroy(q);
}

Test(plan, nothing_done_yet_is_still_a_record)
{
	struct plan *p = make(bed_job(ID, "q", 1, 100));
	size_t size = 0;

	g_free(plan_progress(p, &size));
	cr_assert_gt(size, 0, "a record without a value would drop the key");
	plan_destroy(p);
}
