#include <stdio.h>
#include <string.h>

#include "plan.h"

#define STEPS_MAX 1000

struct plan *plan_create(const char *id)
{
	struct plan *p = g_new0(struct plan, 1);

	g_strlcpy(p->id, id, sizeof(p->id));
	return p;
}

static void drop_tasks(struct plan *p)
{
	for (uint32_t i = 0; i < p->n_task; i++)
		g_free(p->task[i].checkpoint);
	g_free(p->task);
	g_free(p->step);
	p->task = NULL;
	p->step = NULL;
	p->n_task = 0;
	p->n_step = 0;
}

void plan_destroy(struct plan *p)
{
	if (!p)
		return;
	drop_tasks(p);
	if (p->job)
		cell__job__free_unpacked(p->job, NULL);
	if (p->stored)
		cell__progress__free_unpacked(p->stored, NULL);
	g_free(p);
}

bool plan_is_id(const char *id)
{
	return strlen(id) == JOB_ID_LEN && strspn(id, "0123456789abcdefABCDEF") == JOB_ID_LEN;
}

static uint32_t occurrences(const Cell__Job *job)
{
	return MAX(job->repeats, 1);
}

const char *plan_check(const Cell__Job *job)
{
	uint64_t tasks = 0;

	if (!plan_is_id(job->id))
		return "id is not 16 hexadecimal digits";
	if (job->n_step == 0 || job->n_step > STEPS_MAX)
		return "there has to be at least one step, and at most 1000";
	for (size_t i = 0; i < job->n_step; i++) {
		const Cell__Step *s = job->step[i];

		if (s->count == 0)
			return "a step has no task";
		for (size_t k = 0; k < s->n_after; k++)
			if (s->after[k] >= i)
				return "a step comes after one that is not before it";
		tasks += s->count;
	}
	if (tasks * occurrences(job) > PLAN_TASKS_MAX)
		return "too many tasks";
	return NULL;
}

bool plan_set_job(struct plan *p, Cell__Job *job)
{
	uint32_t n = 0;
	uint32_t k = 0;

	if (p->job || plan_check(job)) {
		cell__job__free_unpacked(job, NULL);
		return false;
	}
	p->job = job;
	p->n_step = occurrences(job) * (uint32_t)job->n_step;
	p->step = g_new0(struct plan_step, p->n_step);
	for (uint32_t o = 0; o < occurrences(job); o++) {
		for (uint32_t i = 0; i < job->n_step; i++, k++) {
			p->step[k] = (struct plan_step){
				.spec = job->step[i], .occurrence = o, .index = i, .first_task = n
			};
			n += job->step[i]->count;
		}
	}
	p->n_task = n;
	p->task = g_new0(struct plan_task, n);
	if (p->stored)
		plan_apply(p, p->stored);
	return true;
}

static void clear_progress(struct plan *p)
{
	for (uint32_t i = 0; i < p->n_task; i++) {
		g_free(p->task[i].checkpoint);
		p->task[i] = (struct plan_task){ 0 };
	}
	for (uint32_t i = 0; i < p->n_step; i++)
		p->step[i].done = 0;
}

void plan_apply(struct plan *p, const Cell__Progress *progress)
{
	clear_progress(p);
	p->state = p->shown = (enum job_state)progress->state;
	p->ended_ms = progress->ended_ms;
	p->started = p->started || progress->n_task > 0;
	for (size_t i = 0; i < progress->n_task; i++) {
		const Cell__TaskProgress *t = progress->task[i];

		if (t->task >= p->n_task)
			continue;
		p->task[t->task].run = t->run;
		p->task[t->task].failures = t->failures;
		p->task[t->task].done = t->done;
		plan_checkpoint(p, t->task, t->checkpoint);
		if (t->done)
			plan_step_of(p, t->task)->done++;
	}
}

struct plan_step *plan_step_of(const struct plan *p, uint32_t task)
{
	uint32_t low = 0;
	uint32_t high = p->n_step - 1;

	while (low < high) {
		uint32_t mid = (low + high + 1) / 2;

		if (p->step[mid].first_task <= task)
			low = mid;
		else
			high = mid - 1;
	}
	return &p->step[low];
}

int64_t plan_due_ms(const struct plan *p, uint32_t occurrence)
{
	if (p->job->repeats == 0)
		return 0;
	return p->job->first_due_ms + (int64_t)occurrence * p->job->every_ms;
}

bool plan_step_ready(const struct plan *p, const struct plan_step *s, int64_t wall_ms)
{
	const struct plan_step *base = &p->step[s->occurrence * p->job->n_step];

	if (plan_due_ms(p, s->occurrence) > wall_ms)
		return false;
	for (size_t i = 0; i < s->spec->n_after; i++) {
		const struct plan_step *before = &base[s->spec->after[i]];

		if (before->done < before->spec->count)
			return false;
	}
	return true;
}

void plan_started(struct plan *p)
{
	p->started = true;
	if (p->state == JOB_QUEUED)
		p->state = JOB_RUNNING;
}

bool plan_ended(const struct plan *p)
{
	return p->state >= JOB_DONE;
}

static void task_done(struct plan *p, struct plan_step *s, uint32_t task)
{
	if (p->task[task].done)
		return;
	p->task[task].done = true;
	g_clear_pointer(&p->task[task].checkpoint, g_free);
	s->done++;
}

void plan_task_done(struct plan *p, uint32_t task)
{
	struct plan_step *s = plan_step_of(p, task);

	if (!s->spec->gang) {
		task_done(p, s, task);
		return;
	}
	for (uint32_t i = 0; i < s->spec->count; i++)
		task_done(p, s, s->first_task + i);
}

bool plan_task_failed(struct plan *p, uint32_t task)
{
	struct plan_step *s = plan_step_of(p, task);
	uint32_t failures = 0;

	p->task[task].failures++;
	if (s->spec->lasting)
		return false;
	if (s->spec->gang)
		for (uint32_t i = 0; i < s->spec->count; i++)
			failures += p->task[s->first_task + i].failures;
	else
		failures = p->task[task].failures;
	return failures >= MAX(p->job->attempts_max, 1);
}

void plan_checkpoint(struct plan *p, uint32_t task, const char *checkpoint)
{
	if (!*checkpoint || strlen(checkpoint) >= CHECKPOINT_BYTES ||
	    !g_strcmp0(p->task[task].checkpoint, checkpoint))
		return;
	g_free(p->task[task].checkpoint);
	p->task[task].checkpoint = g_strdup(checkpoint);
}

bool plan_all_done(const struct plan *p)
{
	for (uint32_t i = 0; i < p->n_step; i++)
		if (p->step[i].done < p->step[i].spec->count)
			return false;
	return true;
}

bool plan_lasts(const struct plan *p)
{
	for (size_t i = 0; i < p->job->n_step; i++)
		if (p->job->step[i]->lasting)
			return true;
	return false;
}

void plan_step_name(const struct plan *p, const struct plan_step *s, char buf[TASK_NAME_BYTES])
{
	g_snprintf(buf, TASK_NAME_BYTES, "%s.%u.%u", p->id, s->occurrence, s->index);
}

void plan_task_name(const struct plan *p, uint32_t task, char buf[TASK_NAME_BYTES])
{
	const struct plan_step *s = plan_step_of(p, task);

	g_snprintf(buf, TASK_NAME_BYTES, "%s.%u.%u.%u", p->id, s->occurrence, s->index,
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

bool plan_parse_name(const char *name, char id[JOB_ID_LEN + 1], uint32_t *occurrence,
		     uint32_t *step, uint32_t *index)
{
	const char *at = name + JOB_ID_LEN;

	if (strlen(name) <= JOB_ID_LEN)
		return false;
	g_strlcpy(id, name, JOB_ID_LEN + 1);
	if (!plan_is_id(id) || !parse_number(&at, occurrence) || !parse_number(&at, step))
		return false;
	*index = UINT32_MAX;
	if (*at && !parse_number(&at, index))
		return false;
	return *at == '\0';
}

struct plan_step *plan_step_number(const struct plan *p, uint32_t occurrence, uint32_t step)
{
	if (!p->job || occurrence >= occurrences(p->job) || step >= p->job->n_step)
		return NULL;
	return &p->step[occurrence * p->job->n_step + step];
}

uint32_t plan_task_number(const struct plan *p, uint32_t occurrence, uint32_t step, uint32_t index)
{
	const struct plan_step *s = plan_step_number(p, occurrence, step);

	if (!s || index >= s->spec->count)
		return UINT32_MAX;
	return s->first_task + index;
}
