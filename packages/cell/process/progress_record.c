#include <string.h>

#include "scheduler_priv.h"

#define RUN_MAX INT32_MAX /* no task has so many runs, and the next number must not wrap */

/*
 * The record is written with each change of the job, and read by all nodes. So runners are named
 * once, tasks that are done have one bit, and ended jobs only a state.
 */
struct record {
	Cell__Progress m;
	Cell__TaskProgress *task;
	Cell__TaskProgress **tasks;
	Cell__RunnerRef *runner;
	Cell__RunnerRef **runners;
	uint8_t *done;
};

static void record_init(struct record *r, const struct cell_job *j)
{
	r->m = (Cell__Progress)CELL__PROGRESS__INIT;
	r->task = g_new(Cell__TaskProgress, j->n_task);
	r->tasks = g_new(Cell__TaskProgress *, j->n_task);
	r->runner = g_new(Cell__RunnerRef, j->live_runs + 1);
	r->runners = g_new(Cell__RunnerRef *, j->live_runs + 1);
	r->done = g_new0(uint8_t, j->n_task / 8 + 1);
	r->m.task = r->tasks;
	r->m.runner = r->runners;
	r->m.state = j->state;
	r->m.ended_ms = j->ended_ms;
}

static void record_clear(struct record *r)
{
	g_free(r->done);
	g_free(r->runners);
	g_free(r->runner);
	g_free(r->tasks);
	g_free(r->task);
}

/* Returns index + 1. Most jobs run on few runners, so a linear search is enough. */
static uint32_t add_runner(struct record *r, const struct cell_runner *rn)
{
	Cell__RunnerRef *ref;

	for (size_t i = 0; i < r->m.n_runner; i++)
		if (r->runner[i].id == rn->id)
			return (uint32_t)i + 1;
	ref = &r->runner[r->m.n_runner];
	*ref = (Cell__RunnerRef)CELL__RUNNER_REF__INIT;
	ref->id = rn->id;
	ref->born_ms = rn->incarnation_ms;
	ref->host = rn->host;
	r->runners[r->m.n_runner++] = ref;
	return (uint32_t)r->m.n_runner;
}

/* While a run is known to exist, its runner reports the newest checkpoint. */
static bool has_checkpoint(const struct job_task *task)
{
	return task->checkpoint && (!task->live_run || task->live_run->state != RUN_CONFIRMED);
}

static void add_task(struct record *r, const struct job_task *task, uint32_t number)
{
	const struct task_crashes *crashes = job_task_crashes(task);
	Cell__TaskProgress *t = &r->task[r->m.n_task];

	*t = (Cell__TaskProgress)CELL__TASK_PROGRESS__INIT;
	t->task = number;
	t->run = task->last_run;
	t->failures = task->failures;
	t->failed_run = task->failed_run;
	t->crashes = crashes->crashes;
	t->early_crashes = crashes->early_crashes;
	t->certain_crashes = crashes->certain_crashes;
	t->certain_early_crashes = crashes->certain_early_crashes;
	t->crash_run = crashes->crash_run;
	if (has_checkpoint(task))
		t->checkpoint = task->checkpoint;
	if (task->live_run)
		t->runner_index = add_runner(r, task->live_run->runner);
	r->tasks[r->m.n_task++] = t;
}

static void add_tasks(struct record *r, const struct cell_job *j)
{
	bool ended = cell_job_has_ended(j);

	for (uint32_t i = 0; i < j->n_task; i++) {
		const struct job_task *task = cell_job_peek_task(j, i);
		bool done = cell_job_task_is_done(j, i);

		if (done && !ended) {
			r->done[i / 8] |= (uint8_t)(1 << i % 8);
			r->m.done.data = r->done;
			r->m.done.len = i / 8 + 1;
		}
		if (task->live_run || (task->last_run && !done && !ended))
			add_task(r, task, i);
	}
}

/* A record that the store refuses for its size would keep all later ones from being written. */
static size_t drop_checkpoints(struct record *r, size_t size)
{
	for (size_t i = 0; i < r->m.n_task && size > RECORD_MAX_BYTES; i++) {
		Cell__TaskProgress *t = r->tasks[i];

		size -= strlen(t->checkpoint);
		t->checkpoint = (char *)protobuf_c_empty_string;
	}
	return cell__progress__get_packed_size(&r->m);
}

uint8_t *cell_job_pack_progress(const struct cell_job *j, size_t *size)
{
	struct record r;
	uint8_t *buf;

	record_init(&r, j);
	add_tasks(&r, j);
	*size = cell__progress__get_packed_size(&r.m);
	if (*size > RECORD_MAX_BYTES)
		*size = drop_checkpoints(&r, *size);
	/* An empty value would delete the key. ended_ms has no meaning before the end. */
	if (*size == 0) {
		r.m.ended_ms = -1;
		*size = cell__progress__get_packed_size(&r.m);
	}
	buf = g_malloc(*size);
	cell__progress__pack(&r.m, buf);
	record_clear(&r);
	return buf;
}

/* Copies the runner to the task, where older releases write it. */
static bool resolve_runner(const Cell__Progress *m, Cell__TaskProgress *t)
{
	const Cell__RunnerRef *ref;
	char *id;

	if (!t->runner_index)
		return true;
	if (t->runner_index > m->n_runner || *t->runner)
		return false;
	ref = m->runner[t->runner_index - 1];
	/* Freed with the message, by its allocator. */
	id = strdup(ref->id);
	if (!id)
		return false;
	t->runner = id;
	t->born_ms = ref->born_ms;
	t->runner_index = 0;
	return true;
}

Cell__Progress *cell_job_unpack_progress(const uint8_t *value, size_t size)
{
	Cell__Progress *m = cell__progress__unpack(NULL, size, value);

	if (m && m->state > JOB_CANCELLED) {
		cell__progress__free_unpacked(m, NULL);
		return NULL;
	}
	for (size_t i = 0; m && i < m->n_task; i++) {
		if (m->task[i]->run <= RUN_MAX && resolve_runner(m, m->task[i]))
			continue;
		cell__progress__free_unpacked(m, NULL);
		return NULL;
	}
	return m;
}
