#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_job.h"
#include "resources.h"

/* Upper bounds, with the overhead of each allocation. */
#define JOB_BYTES  1024				  /* without its steps and its payload */
#define STEP_BYTES (sizeof(Cell__Step) + 64)	  /* besides its texts and lists */
#define TASK_BYTES (sizeof(struct job_task) + 40) /* with its row in the stored progress */
#define TASK_CHECKPOINT_BYTES                                                                      \
	(UINT64_C(3) * CHECKPOINT_BYTES) /* in the task and in the stored progress */

struct cell_job *cell_job_create(const char *id)
{
	struct cell_job *j = g_new0(struct cell_job, 1);

	g_strlcpy(j->id, id, sizeof(j->id));
	return j;
}

static const struct job_task unknown_task;
static const struct task_crashes no_crashes;

static uint32_t chunks_of(const struct cell_job *j)
{
	return (j->n_task + JOB_CHUNK_TASKS - 1) / JOB_CHUNK_TASKS;
}

static uint32_t chunk_tasks(const struct cell_job *j, uint32_t number)
{
	return MIN(JOB_CHUNK_TASKS, j->n_task - number * JOB_CHUNK_TASKS);
}

static struct job_task *chunk_of(const struct cell_job *j, uint32_t task)
{
	return j->chunk ? j->chunk[task / JOB_CHUNK_TASKS] : NULL;
}

const struct job_task *cell_job_peek_task(const struct cell_job *j, uint32_t task)
{
	const struct job_task *chunk = chunk_of(j, task);

	return chunk ? &chunk[task % JOB_CHUNK_TASKS] : &unknown_task;
}

struct job_task *cell_job_task(struct cell_job *j, uint32_t task)
{
	struct job_task **chunk;

	if (!j->chunk)
		j->chunk = g_new0(struct job_task *, chunks_of(j));
	chunk = &j->chunk[task / JOB_CHUNK_TASKS];
	if (!*chunk)
		*chunk = g_new0(struct job_task, chunk_tasks(j, task / JOB_CHUNK_TASKS));
	return &(*chunk)[task % JOB_CHUNK_TASKS];
}

const struct task_crashes *job_task_crashes(const struct job_task *t)
{
	return t->crashes ? t->crashes : &no_crashes;
}

struct run *cell_job_live_run(const struct cell_job *j, uint32_t task)
{
	return cell_job_peek_task(j, task)->live_run;
}

bool cell_job_task_is_done(const struct cell_job *j, uint32_t task)
{
	return j->done && j->done[task / 8] >> task % 8 & 1;
}

static void mark_done(struct cell_job *j, uint32_t task)
{
	if (!j->done)
		j->done = g_new0(uint8_t, j->n_task / 8 + 1);
	j->done[task / 8] |= (uint8_t)(1 << task % 8);
}

static void free_chunk(struct cell_job *j, uint32_t number)
{
	struct job_task *chunk = j->chunk[number];

	for (uint32_t i = 0; chunk && i < chunk_tasks(j, number); i++) {
		j->released_runs += chunk[i].last_run;
		j->released_failures += chunk[i].failures;
		g_free(chunk[i].checkpoint);
		g_free(chunk[i].crashes);
	}
	g_clear_pointer(&j->chunk[number], g_free);
}

static void free_chunks(struct cell_job *j)
{
	for (uint32_t i = 0; j->chunk && i < chunks_of(j); i++)
		free_chunk(j, i);
	g_clear_pointer(&j->chunk, g_free);
}

void cell_job_release_task(struct cell_job *j, uint32_t task)
{
	const struct job_task *chunk = chunk_of(j, task);
	uint32_t number = task / JOB_CHUNK_TASKS;

	for (uint32_t i = 0; chunk && i < chunk_tasks(j, number); i++)
		if (chunk[i].live_run || !cell_job_task_is_done(j, number * JOB_CHUNK_TASKS + i))
			return;
	if (chunk)
		free_chunk(j, number);
}

/* Only a start needs the payload. */
static void free_payload(Cell__Job *spec)
{
	if (!*spec->payload)
		return;
	free(spec->payload); /* by the allocator of the message */
	spec->payload = (char *)protobuf_c_empty_string;
}

void cell_job_release(struct cell_job *j)
{
	if (!cell_job_has_ended(j) || j->live_runs || !j->spec)
		return;
	free_chunks(j);
	free_payload(j->spec);
}

uint32_t cell_job_runs(const struct cell_job *j)
{
	uint32_t n = j->released_runs;

	for (uint32_t i = 0; i < j->n_task; i++)
		n += cell_job_peek_task(j, i)->last_run;
	return n;
}

uint32_t cell_job_failures(const struct cell_job *j)
{
	uint32_t n = j->released_failures;

	for (uint32_t i = 0; i < j->n_task; i++)
		n += cell_job_peek_task(j, i)->failures;
	return n;
}

static void drop_tasks(struct cell_job *j)
{
	free_chunks(j);
	g_clear_pointer(&j->done, g_free);
	g_clear_pointer(&j->step, g_free);
	j->n_task = 0;
	j->n_step = 0;
}

void cell_job_destroy(struct cell_job *j)
{
	if (!j)
		return;
	drop_tasks(j);
	if (j->spec)
		cell__job__free_unpacked(j->spec, NULL);
	g_free(j->stored_progress);
	g_free(j);
}

bool job_id_is_valid(const char *id)
{
	return strlen(id) == JOB_ID_LEN && strspn(id, "0123456789abcdefABCDEF") == JOB_ID_LEN;
}

static uint32_t occurrences(const Cell__Job *job)
{
	return MAX(job->repeats, 1);
}

static bool exceeds_any_runner(const Cell__Step *s)
{
	return s->cpu_milli > RESOURCES_CPU_MAX_MILLI || s->accel > RESOURCES_ACCEL_MAX ||
	       s->mem_bytes > (uint64_t)RESOURCES_MEM_MAX_BYTES;
}

static bool is_time(int64_t ms)
{
	return ms >= -JOB_TIME_MAX_MS && ms <= JOB_TIME_MAX_MS;
}

const char *cell_job_check_spec(const Cell__Job *job)
{
	uint64_t tasks = 0;

	if (!job_id_is_valid(job->id))
		return "id is not 16 hexadecimal digits";
	if (job->n_step == 0 || job->n_step > JOB_STEPS_MAX)
		return "there has to be at least one step, and at most " G_STRINGIFY(JOB_STEPS_MAX);
	if (job->repeats > JOB_TASKS_MAX)
		return "more occurrences than " G_STRINGIFY(JOB_TASKS_MAX);
	/* No JSON can carry it to a runner. */
	if (!g_utf8_validate(job->payload, -1, NULL))
		return "the payload is not UTF-8";
	if (!is_time(job->first_due_ms) || !is_time(job->accepted_ms))
		return "a time is beyond the range of clocks";
	if (job->interval_ms < 0 || job->interval_ms > JOB_INTERVAL_MAX_MS)
		return "the time between occurrences is out of range";
	for (size_t i = 0; i < job->n_step; i++) {
		const Cell__Step *s = job->step[i];

		if (s->count == 0)
			return "a step has no task";
		if (s->count > JOB_TASKS_MAX)
			return "a step has more tasks than " G_STRINGIFY(JOB_TASKS_MAX);
		if (exceeds_any_runner(s))
			return "a task needs more than any runner can have";
		for (size_t k = 0; k < s->n_after; k++)
			if (s->after[k] >= i)
				return "a step comes after one that is not before it";
		tasks += s->count;
	}
	if (tasks * occurrences(job) > JOB_TASKS_MAX)
		return "more tasks than " G_STRINGIFY(JOB_TASKS_MAX) " over all steps and times";
	return NULL;
}

static void apply_stored(struct cell_job *j)
{
	Cell__Progress *m = cell_job_stored_progress(j);

	if (!m)
		return;
	cell_job_apply_progress(j, m);
	cell__progress__free_unpacked(m, NULL);
}

uint32_t cell_job_ended_bytes(const Cell__Job *job)
{
	size_t bytes = JOB_BYTES + occurrences(job) * job->n_step * sizeof(struct job_step);

	for (size_t i = 0; i < job->n_step; i++)
		bytes += STEP_BYTES + cell__step__get_packed_size(job->step[i]) +
			 job->step[i]->n_after * sizeof(uint32_t);
	return (uint32_t)bytes;
}

uint32_t cell_job_open_bytes(const Cell__Job *job)
{
	size_t bytes = 0;

	for (size_t i = 0; i < job->n_step; i++)
		bytes += job->step[i]->count * (job->step[i]->checkpoints
							? TASK_BYTES + TASK_CHECKPOINT_BYTES
							: TASK_BYTES);
	return (uint32_t)(bytes * occurrences(job) + strlen(job->payload)) +
	       cell_job_ended_bytes(job);
}

bool cell_job_set_spec(struct cell_job *j, Cell__Job *job)
{
	uint32_t n = 0;
	uint32_t k = 0;

	if (j->spec || cell_job_check_spec(job)) {
		cell__job__free_unpacked(job, NULL);
		return false;
	}
	j->spec = job;
	j->n_step = occurrences(job) * (uint32_t)job->n_step;
	j->step = g_new0(struct job_step, j->n_step);
	for (uint32_t o = 0; o < occurrences(job); o++) {
		for (uint32_t i = 0; i < job->n_step; i++, k++) {
			j->step[k] = (struct job_step){
				.spec = job->step[i], .occurrence = o, .index = i, .first_task = n
			};
			n += job->step[i]->count;
		}
	}
	j->n_task = n;
	j->open_bytes = cell_job_open_bytes(job);
	j->ended_bytes = cell_job_ended_bytes(job);
	apply_stored(j);
	return true;
}

void cell_job_set_invalid_spec(struct cell_job *j, Cell__Job *job, const char *why)
{
	for (size_t i = 0; i < job->n_step; i++)
		cell__step__free_unpacked(job->step[i], NULL);
	job->n_step = 0;
	job->repeats = 0;
	if (!is_time(job->accepted_ms))
		job->accepted_ms = 0;
	j->spec = job;
	j->invalid = why;
	j->ended_bytes = cell_job_ended_bytes(job);
	j->open_bytes = j->ended_bytes + (uint32_t)strlen(job->payload);
	apply_stored(j);
}

static void clear_progress(struct cell_job *j)
{
	free_chunks(j);
	g_clear_pointer(&j->done, g_free);
	j->released_runs = 0;
	j->released_failures = 0;
	j->suspect = false;
	for (uint32_t i = 0; i < j->n_step; i++)
		j->step[i].done = 0;
}

static void apply_task(struct cell_job *j, const Cell__TaskProgress *t)
{
	struct job_task *task = cell_job_task(j, t->task);

	task->last_run = t->run;
	task->failures = t->failures;
	task->failed_run = t->failed_run;
	if (t->crash_run || t->crashes) {
		if (!task->crashes)
			task->crashes = g_new0(struct task_crashes, 1);
		*task->crashes = (struct task_crashes){
			.crashes = t->crashes,
			.early_crashes = t->early_crashes,
			.certain_crashes = t->certain_crashes,
			.certain_early_crashes = t->certain_early_crashes,
			.crash_run = t->crash_run,
		};
	}
	j->suspect = j->suspect || t->crashes;
	if (t->done)
		mark_done(j, t->task);
	cell_job_set_checkpoint(j, t->task, t->checkpoint);
}

struct gang_sum {
	uint32_t failures;
	uint32_t failed_run; /* last run that is counted */
	uint32_t last_run;
};

static struct gang_sum gang_sum(const struct cell_job *j, const struct job_step *s)
{
	struct gang_sum sum = { 0 };

	for (uint32_t i = 0; i < s->spec->count; i++) {
		const struct job_task *t = cell_job_peek_task(j, s->first_task + i);

		sum.failures += t->failures;
		sum.failed_run = MAX(sum.failed_run, t->failed_run);
		sum.last_run = MAX(sum.last_run, t->last_run);
	}
	return sum;
}

/* Members of the gang whose last run may exist. */
static uint32_t stored_runs(const Cell__Progress *progress, const struct job_step *s)
{
	uint32_t n = 0;

	for (size_t i = 0; i < progress->n_task; i++) {
		const Cell__TaskProgress *t = progress->task[i];

		n += *t->runner && t->task >= s->first_task &&
		     t->task - s->first_task < s->spec->count;
	}
	return n;
}

/*
 * Older releases count a run of a gang for each member that fails, and don't say which run it was.
 * No more runs can have failed than have ended for a member.
 */
static void limit_gang_failures(struct cell_job *j, const Cell__Progress *progress,
				const struct job_step *s)
{
	struct gang_sum sum = gang_sum(j, s);
	uint32_t live;
	uint32_t ended;

	if (!sum.failures || sum.failed_run)
		return;
	live = stored_runs(progress, s);
	ended = sum.last_run - (sum.last_run && live == s->spec->count);
	for (uint32_t i = 0; i < s->spec->count; i++) {
		struct job_task *t = cell_job_task(j, s->first_task + i);

		/* It is the failure of a member that ends the run of the others. */
		if (live && live < s->spec->count && t->failures)
			t->failed_run = sum.last_run;
		t->failures = MIN(t->failures, ended);
		ended -= t->failures;
	}
}

static bool is_marked_done(const Cell__Progress *progress, uint32_t task)
{
	return task / 8 < progress->done.len && progress->done.data[task / 8] >> task % 8 & 1;
}

void cell_job_apply_progress(struct cell_job *j, const Cell__Progress *progress)
{
	clear_progress(j);
	j->state = j->stored_state = (enum job_state)progress->state;
	j->ended_ms = progress->ended_ms;
	/* A task with a run number may have been planned only. */
	j->started = j->started || j->state != JOB_QUEUED;
	for (size_t i = 0; i < progress->n_task; i++)
		if (progress->task[i]->task < j->n_task)
			apply_task(j, progress->task[i]);
	for (uint32_t i = 0; i < j->n_task && progress->done.len; i++)
		if (is_marked_done(progress, i))
			mark_done(j, i);
	for (uint32_t i = 0; j->done && i < j->n_task; i++)
		if (cell_job_task_is_done(j, i))
			cell_job_step_of(j, i)->done++;
	for (uint32_t i = 0; i < j->n_step; i++)
		if (j->step[i].spec->gang && !j->step[i].done)
			limit_gang_failures(j, progress, &j->step[i]);
	cell_job_release(j);
}

bool cell_job_store_progress(struct cell_job *j, const uint8_t *value, size_t size)
{
	Cell__Progress *m = cell_job_unpack_progress(value, size);

	if (!m)
		return false;
	/* Starts that a scheduler of this process has seen may not have been written. */
	if (j->progress_stale)
		j->started = false;
	j->progress_stale = false;
	if (j->spec)
		cell_job_apply_progress(j, m);
	cell__progress__free_unpacked(m, NULL);
	g_free(j->stored_progress);
	j->stored_progress = g_memdup2(value, size);
	j->stored_bytes = size;
	return true;
}

void cell_job_reset_progress(struct cell_job *j)
{
	clear_progress(j);
	g_clear_pointer(&j->stored_progress, g_free);
	j->stored_bytes = 0;
	j->state = j->stored_state = JOB_QUEUED;
	j->started = false;
	j->ended_ms = 0;
	j->progress_stale = false;
}

Cell__Progress *cell_job_stored_progress(const struct cell_job *j)
{
	if (!j->stored_progress)
		return NULL;
	return cell_job_unpack_progress(j->stored_progress, j->stored_bytes);
}

struct job_step *cell_job_step_of(const struct cell_job *j, uint32_t task)
{
	uint32_t low = 0;
	uint32_t high = j->n_step - 1;

	while (low < high) {
		uint32_t mid = (low + high + 1) / 2;

		if (j->step[mid].first_task <= task)
			low = mid;
		else
			high = mid - 1;
	}
	return &j->step[low];
}

static int64_t interval_ms(const Cell__Job *job)
{
	return job->interval_ms ? job->interval_ms : job->every_ms;
}

int64_t cell_job_due_ms(const struct cell_job *j, uint32_t occurrence)
{
	if (j->spec->repeats == 0)
		return 0;
	return j->spec->first_due_ms + occurrence * interval_ms(j->spec);
}

bool cell_job_step_ready(const struct cell_job *j, const struct job_step *s, int64_t wall_ms)
{
	const struct job_step *base = &j->step[s->occurrence * j->spec->n_step];

	if (cell_job_due_ms(j, s->occurrence) > wall_ms)
		return false;
	for (size_t i = 0; i < s->spec->n_after; i++) {
		const struct job_step *before = &base[s->spec->after[i]];

		if (before->done < before->spec->count)
			return false;
	}
	return true;
}

void cell_job_mark_started(struct cell_job *j)
{
	j->started = true;
	if (j->state == JOB_QUEUED)
		j->state = JOB_RUNNING;
}

bool cell_job_has_ended(const struct cell_job *j)
{
	return j->state >= JOB_DONE;
}

static void task_done(struct cell_job *j, struct job_step *s, uint32_t task)
{
	if (cell_job_task_is_done(j, task))
		return;
	mark_done(j, task);
	if (chunk_of(j, task))
		g_clear_pointer(&cell_job_task(j, task)->checkpoint, g_free);
	s->done++;
	cell_job_release_task(j, task);
}

void cell_job_mark_task_done(struct cell_job *j, uint32_t task)
{
	struct job_step *s = cell_job_step_of(j, task);

	if (!s->spec->gang) {
		task_done(j, s, task);
		return;
	}
	for (uint32_t i = 0; i < s->spec->count; i++)
		task_done(j, s, s->first_task + i);
}

bool cell_job_run_has_failed(const struct cell_job *j, uint32_t task, uint32_t run)
{
	const struct job_step *s = cell_job_step_of(j, task);

	return s->spec->gang && gang_sum(j, s).failed_run >= run;
}

bool cell_job_mark_run_failed(struct cell_job *j, uint32_t task, uint32_t run)
{
	struct job_step *s = cell_job_step_of(j, task);
	struct job_task *t = cell_job_task(j, task);
	uint32_t failures;

	if (!cell_job_run_has_failed(j, task, run)) {
		t->failures++;
		t->failed_run = s->spec->gang ? run : 0;
	}
	if (s->spec->lasting)
		return false;
	failures = s->spec->gang ? gang_sum(j, s).failures : t->failures;
	return failures >= MAX(j->spec->attempts_max, 1);
}

void cell_job_set_checkpoint(struct cell_job *j, uint32_t task, const char *checkpoint)
{
	struct job_task *t;

	if (!*checkpoint || strlen(checkpoint) >= CHECKPOINT_BYTES ||
	    !g_strcmp0(cell_job_peek_task(j, task)->checkpoint, checkpoint))
		return;
	t = cell_job_task(j, task);
	g_free(t->checkpoint);
	t->checkpoint = g_strdup(checkpoint);
}

bool cell_job_all_done(const struct cell_job *j)
{
	for (uint32_t i = 0; i < j->n_step; i++)
		if (j->step[i].done < j->step[i].spec->count)
			return false;
	return true;
}

bool cell_job_has_lasting_step(const struct cell_job *j)
{
	for (size_t i = 0; i < j->spec->n_step; i++)
		if (j->spec->step[i]->lasting)
			return true;
	return false;
}

void cell_job_step_name(const struct cell_job *j, const struct job_step *s,
			char buf[TASK_NAME_BYTES])
{
	g_snprintf(buf, TASK_NAME_BYTES, "%s.%u.%u", j->id, s->occurrence, s->index);
}

void cell_job_task_name(const struct cell_job *j, uint32_t task, char buf[TASK_NAME_BYTES])
{
	const struct job_step *s = cell_job_step_of(j, task);

	g_snprintf(buf, TASK_NAME_BYTES, "%s.%u.%u.%u", j->id, s->occurrence, s->index,
		   task - s->first_task);
}

static bool parse_number(const char **at, uint32_t *out)
{
	char *end;
	guint64 v;

	if (**at != '.' || !g_ascii_isdigit((*at)[1]))
		return false;
	v = g_ascii_strtoull(*at + 1, &end, 10);
	if (v >= UINT32_MAX)
		return false;
	*out = (uint32_t)v;
	*at = end;
	return true;
}

bool task_name_parse(const char *name, char id[JOB_ID_LEN + 1], uint32_t *occurrence,
		     uint32_t *step, uint32_t *index)
{
	const char *at = name + JOB_ID_LEN;

	if (strlen(name) <= JOB_ID_LEN)
		return false;
	g_strlcpy(id, name, JOB_ID_LEN + 1);
	if (!job_id_is_valid(id) || !parse_number(&at, occurrence) || !parse_number(&at, step))
		return false;
	*index = UINT32_MAX;
	if (*at && !parse_number(&at, index))
		return false;
	return *at == '\0';
}

struct job_step *cell_job_find_step(const struct cell_job *j, uint32_t occurrence, uint32_t step)
{
	if (!j->spec || occurrence >= occurrences(j->spec) || step >= j->spec->n_step)
		return NULL;
	return &j->step[occurrence * j->spec->n_step + step];
}

uint32_t cell_job_find_task(const struct cell_job *j, uint32_t occurrence, uint32_t step,
			    uint32_t index)
{
	const struct job_step *s = cell_job_find_step(j, occurrence, step);

	if (!s || index >= s->spec->count)
		return UINT32_MAX;
	return s->first_task + index;
}
