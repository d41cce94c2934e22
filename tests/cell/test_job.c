#include <malloc.h>

#include <criterion/criterion.h>

#include "fixture.h"
#include "request/resources.h"

#define ID "00000000000000a1"

struct name_case {
	const char *name;
	bool valid;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

Test(cell_job, parse_names)
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
		bool ok = task_name_parse(cases[i].name, id, &o, &s, &x);

		cr_expect_eq(ok, cases[i].valid, "case %zu", i);
		if (!ok || !cases[i].valid)
			continue;
		cr_expect_str_eq(id, ID);
		cr_expect_eq(o, cases[i].occurrence, "case %zu", i);
		cr_expect_eq(s, cases[i].step, "case %zu", i);
		cr_expect_eq(x, cases[i].index, "case %zu", i);
	}
}

static struct cell_job *make(Cell__Job *job)
{
	struct cell_job *j = cell_job_create(job->id);

	cr_assert(cell_job_set_spec(j, job));
	return j;
}

Test(cell_job, task_names_round_trip)
{
	Cell__Job *job = fixture_new_job(ID, "q", 3, 100);
	struct cell_job *j;

	fixture_add_step(job, 4, 100);
	job->repeats = 2;
	j = make(job);
	cr_assert_eq(j->n_task, 14);
	for (uint32_t t = 0; t < j->n_task; t++) {
		char name[TASK_NAME_BYTES];
		char id[JOB_ID_LEN + 1];
		uint32_t o, s, x;

		cell_job_task_name(j, t, name);
		cr_assert(task_name_parse(name, id, &o, &s, &x));
		cr_assert_eq(cell_job_find_task(j, o, s, x), t);
	}
	cr_assert_eq(cell_job_find_task(j, 2, 0, 0), UINT32_MAX);
	cr_assert_eq(cell_job_find_task(j, 0, 2, 0), UINT32_MAX);
	cr_assert_eq(cell_job_find_task(j, 0, 1, 4), UINT32_MAX);
	cell_job_destroy(j);
}

struct check_case {
	const char *what;
	uint32_t count;
	uint32_t after; /* UINT32_MAX for none */
	uint32_t repeats;
	const char *id;
	bool valid;
	uint32_t steps; /* 0: one; all are alike */
	uint32_t cpu_milli;
	uint64_t mem_bytes;
	uint32_t accel;
	int64_t first_due_ms;
	int64_t interval_ms;
};

#define SOUND_ID UINT32_MAX, 0, ID

static Cell__Job *make_case(const struct check_case *c)
{
	Cell__Job *job = fixture_new_job(c->id, "q", c->count, c->cpu_milli);

	for (uint32_t i = 1; i < c->steps; i++)
		fixture_add_step(job, c->count, c->cpu_milli);
	for (size_t i = 0; i < job->n_step; i++) {
		job->step[i]->mem_bytes = c->mem_bytes;
		job->step[i]->accel = c->accel;
	}
	job->repeats = c->repeats;
	job->first_due_ms = c->first_due_ms;
	job->interval_ms = c->interval_ms;
	if (c->after != UINT32_MAX) {
		job->step[0]->after = g_new0(uint32_t, 1);
		job->step[0]->after[0] = c->after;
		job->step[0]->n_after = 1;
	}
	return job;
}

/* Guards against orders that no runner can read: the log may hold any bytes. */
Test(cell_job, a_payload_that_is_not_text_is_invalid)
{
	Cell__Job *job = fixture_new_job(ID, "q", 1, 100);

	job->payload[0] = '\xff';
	cr_expect_not_null(cell_job_check_spec(job));
	cell__job__free_unpacked(job, NULL);
}

/* Guards against products of counts that wrap: one such job ended every process of a cell. */
Test(cell_job, check_spec)
{
	static const struct check_case cases[] = {
		{ "plain", 2, UINT32_MAX, 0, ID, true },
		{ "no task", 0, UINT32_MAX, 0, ID, false },
		{ "after itself", 1, 0, 0, ID, false },
		{ "after a later step", 1, 7, 0, ID, false },
		{ "too many tasks", JOB_TASKS_MAX + 1, UINT32_MAX, 0, ID, false },
		{ "too many with repeats", 100, UINT32_MAX, 1000, ID, false },
		{ "id too short", 1, UINT32_MAX, 0, "abc", false },
		{ "id not hexadecimal", 1, UINT32_MAX, 0, "000000000000000g", false },
		{ "tasks whose product wraps to 0", UINT32_C(1) << 31, UINT32_MAX, 1 << 24, ID,
		  false, 512 },
		{ "tasks whose sum over the steps wraps", UINT32_MAX, SOUND_ID, false, 1000 },
		{ "times whose product wraps to 0", 1, UINT32_MAX, UINT32_MAX, ID, false, 1000 },
		{ "too many times", 1, UINT32_MAX, JOB_TASKS_MAX + 1, ID, false },
		{ "most tasks in one step", JOB_TASKS_MAX, SOUND_ID, true },
		{ "most tasks over the times", 2, UINT32_MAX, JOB_TASKS_MAX / 2, ID, true },
		{ "most steps", 4, SOUND_ID, true, JOB_STEPS_MAX },
		{ "too many steps", 1, SOUND_ID, false, JOB_STEPS_MAX + 1 },
		{ "most resources", JOB_TASKS_MAX, SOUND_ID, true, 1, RESOURCES_CPU_MAX_MILLI,
		  RESOURCES_MEM_MAX_BYTES, RESOURCES_ACCEL_MAX },
		{ "too much cpu", 1, SOUND_ID, false, 1, RESOURCES_CPU_MAX_MILLI + 1 },
		{ "too much memory", 1, SOUND_ID, false, 1, 1, RESOURCES_MEM_MAX_BYTES + 1 },
		{ "memory that is negative in 64 bits", 1, SOUND_ID, false, 1, 1, UINT64_MAX },
		{ "too many accelerators", 1, SOUND_ID, false, 1, 1, 1, RESOURCES_ACCEL_MAX + 1 },
		{ "latest time", 1, SOUND_ID, true, 1, 1, 1, 1, JOB_TIME_MAX_MS },
		{ "a time whose sums wrap", 1, SOUND_ID, false, 1, 1, 1, 1, INT64_MAX },
		{ "longest time between occurrences", 1, SOUND_ID, true, 1, 1, 1, 1, 1,
		  JOB_INTERVAL_MAX_MS },
		{ "too long a time between occurrences", 1, SOUND_ID, false, 1, 1, 1, 1, 1,
		  JOB_INTERVAL_MAX_MS + 1 },
		{ "a negative time between occurrences", 1, SOUND_ID, false, 1, 1, 1, 1, 1, -1 },
		{ "a time before all clocks", 1, SOUND_ID, false, 1, 1, 1, 1, INT64_MIN },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Cell__Job *job = make_case(&cases[i]);

		cr_expect_eq(cell_job_check_spec(job) == NULL, cases[i].valid, "%s", cases[i].what);
		cell__job__free_unpacked(job, NULL);
	}
}

Test(cell_job, a_step_waits_for_earlier_steps_and_its_due_time)
{
	Cell__Job *job = fixture_new_job(ID, "q", 2, 100);
	Cell__Step *second = fixture_add_step(job, 1, 100);
	struct cell_job *j;

	second->after = g_new0(uint32_t, 1);
	second->n_after = 1;
	job->repeats = 2;
	job->first_due_ms = 5000;
	job->every_ms = 1000;
	j = make(job);
	cr_assert_not(cell_job_step_ready(j, &j->step[0], 4999));
	cr_assert(cell_job_step_ready(j, &j->step[0], 5000));
	cr_assert_not(cell_job_step_ready(j, &j->step[2], 5999));
	cr_assert(cell_job_step_ready(j, &j->step[2], 6000));
	cell_job_mark_task_done(j, 0);
	cr_assert_not(cell_job_step_ready(j, &j->step[1], 9000));
	cell_job_mark_task_done(j, 1);
	cr_assert(cell_job_step_ready(j, &j->step[1], 9000));
	cell_job_destroy(j);
}

Test(cell_job, a_gang_counts_failures_together_and_ends_together)
{
	Cell__Job *job = fixture_new_job(ID, "q", 3, 100);
	struct cell_job *j;

	job->step[0]->gang = true;
	job->attempts_max = 2;
	j = make(job);
	cr_assert_not(cell_job_mark_run_failed(j, 0, 1));
	cr_assert(cell_job_mark_run_failed(j, 2, 2));
	cell_job_mark_task_done(j, 1);
	cr_assert(cell_job_all_done(j));
	cell_job_destroy(j);
}

Test(cell_job, progress_round_trip)
{
	struct cell_job *j = make(fixture_new_job(ID, "q", 3, 100));
	struct cell_job *copy = make(fixture_new_job(ID, "q", 3, 100));
	g_autofree uint8_t *buf = NULL;
	Cell__Progress *m;
	size_t size;

	j->state = JOB_RUNNING;
	cell_job_task(j, 0)->last_run = 2;
	cell_job_task(j, 0)->failures = 1;
	cell_job_set_checkpoint(j, 0, "abc");
	cell_job_task(j, 1)->last_run = 1;
	cell_job_mark_task_done(j, 1);
	buf = cell_job_pack_progress(j, &size);
	m = cell_job_unpack_progress(buf, size);
	cell_job_apply_progress(copy, m);
	cr_assert_eq(copy->stored_state, JOB_RUNNING);
	cr_assert_eq(cell_job_peek_task(copy, 0)->last_run, 2);
	cr_assert_eq(cell_job_peek_task(copy, 0)->failures, 1);
	cr_assert_str_eq(cell_job_peek_task(copy, 0)->checkpoint, "abc");
	cr_assert(cell_job_task_is_done(copy, 1));
	cr_assert_eq(copy->step[0].done, 1);
	cr_assert_eq(cell_job_peek_task(copy, 2)->last_run, 0);
	cr_assert(copy->started);
	cell__progress__free_unpacked(m, NULL);
	cell_job_destroy(j);
	cell_job_destroy(copy);
}

Test(cell_job, empty_progress_is_not_an_empty_record)
{
	struct cell_job *j = make(fixture_new_job(ID, "q", 1, 100));
	size_t size = 0;

	g_free(cell_job_pack_progress(j, &size));
	cr_assert_gt(size, 0, "an empty record would delete the key");
	cell_job_destroy(j);
}

/* Records of releases that named the runner of each task, and of records that can't be read. */
struct unpack_case {
	const char *what;
	Cell__TaskProgress task;
	uint32_t runners;   /* named in the record */
	const char *runner; /* of the task, NULL if the record can't be read */
	bool done;
	uint32_t state;
};

static const struct unpack_case unpack_cases[] = {
	{ "no runner", { .run = 1 }, 0, "", false },
	{ "an older release", { .run = 1, .runner = "r7", .born_ms = 5 }, 0, "r7", false },
	{ "an older release, done", { .run = 1, .done = true }, 0, "", true },
	{ "a runner named once", { .run = 1, .runner_index = 2 }, 2, "s1", false },
	{ "a runner that is missing", { .run = 1, .runner_index = 3 }, 2, NULL, false },
	{ "a runner named twice", { .run = 1, .runner = "r7", .runner_index = 1 }, 1, NULL, false },
	{ "a run after which the number wraps", { .run = UINT32_MAX }, 0, NULL, false },
	{ "an unknown state", { .run = 1 }, 0, NULL, false, JOB_CANCELLED + 1 },
};

static uint8_t *pack_case(const struct unpack_case *c, size_t *size)
{
	Cell__Progress m = CELL__PROGRESS__INIT;
	Cell__TaskProgress t = CELL__TASK_PROGRESS__INIT;
	Cell__TaskProgress *tasks[] = { &t };
	Cell__RunnerRef ref[2] = { CELL__RUNNER_REF__INIT, CELL__RUNNER_REF__INIT };
	Cell__RunnerRef *refs[] = { &ref[0], &ref[1] };
	uint8_t *buf;

	t.run = c->task.run;
	t.done = c->task.done;
	t.runner_index = c->task.runner_index;
	t.born_ms = c->task.born_ms;
	if (c->task.runner)
		t.runner = c->task.runner;
	ref[0].id = "s0";
	ref[1].id = "s1";
	m.state = c->state;
	m.task = tasks;
	m.n_task = 1;
	m.runner = refs;
	m.n_runner = c->runners;
	*size = cell__progress__get_packed_size(&m);
	buf = g_malloc(*size);
	cell__progress__pack(&m, buf);
	return buf;
}

Test(cell_job, progress_of_other_releases)
{
	for (size_t i = 0; i < G_N_ELEMENTS(unpack_cases); i++) {
		const struct unpack_case *c = &unpack_cases[i];
		struct cell_job *j = make(fixture_new_job(ID, "q", 1, 100));
		size_t size;
		g_autofree uint8_t *buf = pack_case(c, &size);
		Cell__Progress *m = cell_job_unpack_progress(buf, size);

		cr_expect_eq(m != NULL, c->runner != NULL, "%s", c->what);
		if (m && c->runner) {
			cr_expect_str_eq(m->task[0]->runner, c->runner, "%s", c->what);
			cell_job_apply_progress(j, m);
			cr_expect_eq(cell_job_task_is_done(j, 0), c->done, "%s", c->what);
			cr_expect_eq(cell_job_peek_task(j, 0)->last_run, 1, "%s", c->what);
		}
		if (m)
			cell__progress__free_unpacked(m, NULL);
		cell_job_destroy(j);
	}
}

/* All nodes read each record, so tasks that are done and jobs that have ended take little room. */
struct size_case {
	const char *what;
	uint32_t done; /* of 100 tasks, each with a run */
	enum job_state state;
	size_t max_bytes;
};

static const struct size_case size_cases[] = {
	{ "no task is done", 0, JOB_RUNNING, 700 },
	{ "all but one are done", 99, JOB_RUNNING, 40 },
	{ "failed, half of them done", 50, JOB_FAILED, 12 },
	{ "done", 100, JOB_DONE, 12 },
};

Test(cell_job, progress_is_small)
{
	for (size_t i = 0; i < G_N_ELEMENTS(size_cases); i++) {
		const struct size_case *c = &size_cases[i];
		struct cell_job *j = make(fixture_new_job(ID, "q", 100, 100));
		struct cell_job *copy = make(fixture_new_job(ID, "q", 100, 100));
		g_autofree uint8_t *buf = NULL;
		Cell__Progress *m;
		size_t size;

		for (uint32_t k = 0; k < 100; k++) {
			cell_job_task(j, k)->last_run = 3;
			if (k < c->done)
				cell_job_mark_task_done(j, k);
		}
		j->state = c->state;
		buf = cell_job_pack_progress(j, &size);
		cr_expect_leq(size, c->max_bytes, "%s: %zu bytes", c->what, size);
		m = cell_job_unpack_progress(buf, size);
		cr_assert_not_null(m);
		cell_job_apply_progress(copy, m);
		cr_expect_eq(copy->stored_state, c->state, "%s", c->what);
		if (c->state == JOB_RUNNING)
			cr_expect_eq(copy->step[0].done, c->done, "%s", c->what);
		cell__progress__free_unpacked(m, NULL);
		cell_job_destroy(copy);
		cell_job_destroy(j);
	}
}

static Cell__Progress *pack_and_read(const struct cell_job *j, size_t *size)
{
	g_autofree uint8_t *buf = cell_job_pack_progress(j, size);

	return cell_job_unpack_progress(buf, *size);
}

/*
 * Guards against a record that the store refuses for its size: no progress of any job was written
 * after it, and nothing started.
 */
Test(cell_job, progress_of_the_largest_job_fits_into_a_record)
{
	struct cell_job *j = make(fixture_new_job(ID, "q", JOB_TASKS_MAX, 100));
	g_autofree char *checkpoint = g_strnfill(CHECKPOINT_BYTES - 1, 'c');
	uint32_t checkpoints = 0;
	Cell__Progress *m;
	size_t size;

	for (uint32_t i = 0; i < j->n_task; i++) {
		struct job_task *t = cell_job_task(j, i);

		t->last_run = 200;
		t->failures = 2;
		t->crashes = g_new0(struct task_crashes, 1);
		t->crashes->crashes = 3;
		t->crashes->crash_run = 200;
		cell_job_set_checkpoint(j, i, checkpoint);
	}
	m = pack_and_read(j, &size);
	cr_assert_not_null(m);
	cr_expect_leq(size, RECORD_MAX_BYTES);
	cr_expect_eq(m->n_task, JOB_TASKS_MAX, "no run is left out");
	for (size_t i = 0; i < m->n_task; i++) {
		cr_expect_eq(m->task[i]->run, 200);
		cr_expect_eq(m->task[i]->failures, 2);
		checkpoints += *m->task[i]->checkpoint != '\0';
	}
	cr_expect_gt(checkpoints, JOB_TASKS_MAX / 2, "no more are left out than needed");
	cell__progress__free_unpacked(m, NULL);
	cell_job_destroy(j);
}

struct memory_case {
	const char *what;
	uint32_t tasks;
	uint32_t steps;
	uint32_t repeats;
	uint32_t payload_bytes;
	bool checkpoints;
	uint32_t run_every; /* one of so many tasks has run and failed; 0: none */
	enum job_state state;
	uint32_t bytes_max; /* besides the payload; 0: the bound of an open job */
};

static size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static Cell__Job *new_memory_job(const struct memory_case *c)
{
	Cell__Job *job = fixture_new_job(ID, "q", c->tasks, 100);

	for (uint32_t i = 1; i < c->steps; i++)
		fixture_add_step(job, c->tasks, 100);
	for (uint32_t i = 0; i < c->steps; i++)
		job->step[i]->checkpoints = c->checkpoints;
	job->repeats = c->repeats;
	g_free(job->payload);
	job->payload = g_strnfill(c->payload_bytes, '1');
	return job;
}

/* A record of the state that the case describes. */
static uint8_t *pack_memory_progress(const struct memory_case *c, size_t *size)
{
	struct cell_job *j = make(new_memory_job(c));
	g_autofree char *checkpoint = g_strnfill(CHECKPOINT_BYTES - 1, 'c');
	uint8_t *value;

	for (uint32_t i = 0; c->run_every && i < j->n_task; i += c->run_every) {
		cell_job_task(j, i)->last_run = 3;
		cell_job_task(j, i)->failures = 2;
		if (c->checkpoints)
			cell_job_set_checkpoint(j, i, checkpoint);
	}
	j->state = c->state;
	value = cell_job_pack_progress(j, size);
	cell_job_destroy(j);
	return value;
}

/*
 * Guards against jobs that take memory for each task though nothing is known of it, and against a
 * bound that is lower than what a job takes: too many jobs would be accepted.
 */
Test(cell_job, memory_is_bounded)
{
	static const struct memory_case cases[] = {
		{ "new", 3000, 1, 0, 4000, false, 0, JOB_QUEUED, 1600 },
		{ "one task has run", 3000, 1, 0, 4000, false, 4000, JOB_RUNNING, 6000 },
		{ "all tasks have run", 3000, 1, 0, 4000, false, 1, JOB_RUNNING, 0 },
		{ "some tasks have run", 3000, 1, 0, 4000, false, JOB_CHUNK_TASKS, JOB_RUNNING, 0 },
		{ "checkpoints", 3000, 1, 0, 4000, true, 1, JOB_RUNNING, 0 },
		{ "small", 1, 1, 0, 10, true, 1, JOB_RUNNING, 0 },
		{ "many steps", 4, 1000, 0, 0, false, 1, JOB_RUNNING, 0 },
		{ "many repeats", 1, 4, 1000, 0, false, 0, JOB_QUEUED, 0 },
		{ "ended", 3000, 1, 0, 4000, true, 1, JOB_DONE, 1600 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct memory_case *c = &cases[i];
		Cell__Job *job = new_memory_job(c);
		size_t spec_size = cell__job__get_packed_size(job);
		g_autofree uint8_t *spec = g_malloc(spec_size);
		size_t progress_size;
		g_autofree uint8_t *progress = pack_memory_progress(c, &progress_size);
		struct cell_job *j;
		size_t before;
		size_t bytes;
		size_t bound;

		cell__job__pack(job, spec);
		cell__job__free_unpacked(job, NULL);
		before = heap_bytes();
		j = cell_job_create(ID);
		cr_assert(cell_job_set_spec(j, cell__job__unpack(NULL, spec_size, spec)));
		cr_assert(cell_job_store_progress(j, progress, progress_size));
		bytes = heap_bytes() - before;
		bound = c->bytes_max ? c->bytes_max + strlen(j->spec->payload)
				     : cell_job_open_bytes(j->spec);
		cr_log_info("%s: %zu bytes, bound %zu", c->what, bytes, bound);
		cr_expect_leq(bytes, bound, "%s: %zu bytes, bound %zu", c->what, bytes, bound);
		cell_job_destroy(j);
	}
}
