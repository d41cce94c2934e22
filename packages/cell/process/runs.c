#define G_LOG_DOMAIN "runs"

#include "crash.h"
#include "scheduler_priv.h"

#define START_TIMEOUT_MS      200 /* then a start is sent again; an answer takes 1 to 30 ms */
#define START_LAST_TIMEOUT_MS 600 /* of the last try */
#define START_ORDERS_MAX      3	  /* unanswered starts of a run, after which it is stopped */
#define REFUSED_RETRY_MS      50  /* before a refused task is placed again */

static struct resources team_need(const struct run *r)
{
	return team_use_need(cell_job_step_of(r->job, r->task)->spec);
}

void runs_attach(struct scheduler *s, struct cell_job *j, struct run *r)
{
	struct resources need = team_need(r);

	cell_job_task(j, r->task)->live_run = r;
	cell_job_step_of(j, r->task)->live_runs++;
	j->live_runs++;
	team_use_add(s->team_use, j->spec->team, &need);
}

struct resources scheduler_step_resources(const Cell__Step *spec)
{
	return (struct resources){ .cpu_milli = spec->filler ? 0 : spec->cpu_milli,
				   .mem_bytes = (int64_t)spec->mem_bytes,
				   .accel = spec->accel };
}

struct run *runs_create(struct scheduler *s, struct cell_job *j, uint32_t task, uint32_t run_number)
{
	struct run *r = g_new0(struct run, 1);

	r->job = j;
	r->task = task;
	r->spec = cell_job_step_of(j, task)->spec;
	r->number = run_number;
	r->need = scheduler_step_resources(r->spec);
	r->planned_ms = s->now_ms;
	return r;
}

struct run *scheduler_plan_run(struct scheduler *s, struct cell_job *j, uint32_t task,
			       struct cell_runner *rn, const char *ticket)
{
	struct job_task *t = cell_job_task(j, task);
	struct run *r = runs_create(s, j, task, t->last_run + 1);

	t->last_run = r->number;
	if (t->crashes)
		t->crashes->alone_until_ms = 0;
	r->ticket = g_strdup(ticket);
	cell_runner_add_run(rn, r);
	runs_attach(s, j, r);
	g_ptr_array_add(s->planned_runs, r);
	scheduler_mark_dirty(s, j);
	return r;
}

void scheduler_drop_run(struct scheduler *s, struct run *r)
{
	struct cell_job *j = r->job;
	struct resources need = team_need(r);

	g_ptr_array_remove_fast(s->planned_runs, r);
	cell_job_task(j, r->task)->live_run = NULL;
	cell_job_release_task(j, r->task);
	cell_job_step_of(j, r->task)->live_runs--;
	j->live_runs--;
	team_use_remove(s->team_use, j->spec->team, &need);
	scheduler_mark_dirty(s, j);
	cell_runner_free_run(r->runner, r);
}

/* The members of a gang run together or not at all. */
static void drop_run(struct scheduler *s, struct run *r)
{
	struct cell_job *j = r->job;
	struct job_step *step = cell_job_step_of(j, r->task);

	scheduler_drop_run(s, r);
	if (step->spec->gang)
		scheduler_stop_gang(s, j, step);
}

static void give_up(struct scheduler *s, struct cell_job *j, uint32_t task)
{
	const struct decision d = { .kind = DECISION_GIVEN_UP,
				    .job = j,
				    .task = task,
				    .run = cell_job_peek_task(j, task)->last_run,
				    .age_ms = s->wall_ms - j->spec->accepted_ms };

	scheduler_report(s, &d);
	scheduler_end_job(s, j, JOB_FAILED);
}

void scheduler_lose_run(struct scheduler *s, struct run *r, enum run_loss loss)
{
	const struct decision d = { .kind = DECISION_LOST,
				    .job = r->job,
				    .runner = r->runner->id,
				    .task = r->task,
				    .run = r->number,
				    .age_ms = s->now_ms - r->planned_ms,
				    .loss = loss,
				    .survived_ms = cell_runner_survived_ms(r->runner, r) };
	struct cell_job *j = r->job;
	uint32_t task = r->task;

	s->stats.runs_lost++;
	scheduler_report(s, &d);
	crash_note(r->runner, r, loss);
	drop_run(s, r);
	if (!cell_job_has_ended(j) && !cell_job_task_is_done(j, task) &&
	    crash_is_conclusive(cell_job_peek_task(j, task)))
		give_up(s, j, task);
}

struct route runs_route(const struct cell_runner *rn, uint32_t tries)
{
	return (struct route){ .dc = rn->dc, .attempt = rn->misses + tries };
}

void scheduler_send_stop(struct scheduler *s, const struct cell_runner *rn, const char *task,
			 uint32_t run_number)
{
	struct route route = runs_route(rn, 0);

	s->ops->stop(s->ctx, &route, rn->handle, rn->id, rn->address, task, run_number);
}

void runs_send_stop(struct scheduler *s, struct run *r)
{
	char name[TASK_NAME_BYTES];

	/* A runner known only from the log has no address until the platform lists it. */
	if (!r->runner->address)
		return;
	r->stop_sent_ms = s->now_ms;
	cell_job_task_name(r->job, r->task, name);
	scheduler_send_stop(s, r->runner, name, r->number);
}

void scheduler_stop_run(struct scheduler *s, struct run *r)
{
	if (r->stopping || r->gang_done)
		return;
	r->stopping = true;
	/* In RUN_SENT the stop follows the answer to the start, which is due soon. */
	if (r->state == RUN_CONFIRMED || r->state == RUN_UNCONFIRMED)
		runs_send_stop(s, r);
}

void scheduler_stop_gang(struct scheduler *s, struct cell_job *j, struct job_step *step)
{
	for (uint32_t i = 0; i < step->spec->count && step->live_runs; i++) {
		struct run *r = cell_job_live_run(j, step->first_task + i);

		if (r)
			scheduler_stop_run(s, r);
	}
}

struct run *scheduler_find_run(struct scheduler *s, const char *runner, const char *task,
			       uint32_t run_number)
{
	struct cell_job *j;
	uint32_t number = job_table_find_task(s->jobs, task, &j);
	struct run *r;

	if (number == UINT32_MAX)
		return NULL;
	r = cell_job_live_run(j, number);
	return r && r->number == run_number && g_str_equal(r->runner->id, runner) ? r : NULL;
}

void runs_send_start(struct scheduler *s, struct run *r)
{
	char name[TASK_NAME_BYTES];
	const struct job_task *t = cell_job_peek_task(r->job, r->task);
	struct start_order order = {
		.route = runs_route(r->runner, r->start_orders),
		.fence_seq = r->runner->handle,
		.runner = r->runner->id,
		.address = r->runner->address,
		.task = name,
		.payload = r->job->spec->payload,
		.ticket = r->ticket,
		.checkpoint = t->checkpoint,
		.run = r->number,
		.deadline_ms = cell_runner_grant_lease(r->runner, s->conf.lease_ms, s->now_ms),
		.timeout_ms = r->start_orders + 1 < START_ORDERS_MAX ? START_TIMEOUT_MS
								     : START_LAST_TIMEOUT_MS,
	};

	cell_job_task_name(r->job, r->task, name);
	r->state = RUN_SENT;
	r->sent_ms = s->now_ms;
	r->start_orders++;
	s->stats.starts++;
	s->ops->start(s->ctx, &order);
}

void runs_requeue(struct scheduler *s, struct run *r, int64_t wait_ms)
{
	s->stats.starts_refused++;
	scheduler_report_run(s, DECISION_REFUSED, r);
	cell_job_task(r->job, r->task)->not_before_ms = s->now_ms + wait_ms;
	drop_run(s, r);
}

static void start_unanswered(struct scheduler *s, struct run *r)
{
	r->state = RUN_UNCONFIRMED;
	if (r->stopping || r->start_orders >= START_ORDERS_MAX || s->now_ms > s->grant_until_ms ||
	    r->runner->lapsing) {
		r->stopping = true;
		scheduler_report_run(s, DECISION_UNANSWERED, r);
		runs_send_stop(s, r);
	} else {
		runs_send_start(s, r);
	}
}

void scheduler_start_answered(struct scheduler *s, const char *runner, const char *task,
			      uint32_t run, enum start_result result, int64_t now_ms)
{
	struct run *r = scheduler_find_run(s, runner, task, run);

	s->now_ms = now_ms;
	/* An order to an earlier incarnation may be refused with our own, higher fence. */
	if (!r || r->state != RUN_SENT)
		return;
	if (result == START_FENCED) {
		scheduler_fenced(s, runner);
		return;
	}
	if (result == START_OK) {
		r->state = RUN_CONFIRMED;
		r->confirmed_ms = now_ms;
		r->runner->alive_ms = now_ms;
		if (!r->job->started)
			scheduler_report_job(s, DECISION_FIRST_START, r->job);
		scheduler_mark_started(s, r->job);
		r->runner->next_poll_ms = MIN(r->runner->next_poll_ms, now_ms);
		if (r->stopping)
			runs_send_stop(s, r);
		return;
	}
	if (result == START_UNKNOWN) {
		start_unanswered(s, r);
		return;
	}
	/* If an earlier order had no answer, a refusal of this one doesn't tell its result. */
	if (r->start_orders > 1 || result == START_STALE_RUN) {
		r->state = RUN_UNCONFIRMED;
		r->stopping = true;
		runs_send_stop(s, r);
		return;
	}
	if (result == START_NOT_SENT || result == START_REFUSED) {
		r->runner->misses++;
		r->runner->next_poll_ms = MIN(r->runner->next_poll_ms, now_ms);
	}
	if (result == START_BAD_TICKET) {
		struct job_step *step = cell_job_step_of(r->job, r->task);

		if (step->advice)
			advice_invalidate_ticket(step->advice, r->runner->handle);
	}
	runs_requeue(s, r, REFUSED_RETRY_MS);
}

void scheduler_stop_answered(struct scheduler *s, const char *runner, const char *task,
			     uint32_t run, bool answered, int64_t now_ms)
{
	struct run *r = scheduler_find_run(s, runner, task, run);

	s->now_ms = now_ms;
	if (!r || !answered)
		return;
	r->stop_answered_ms = now_ms;
	r->runner->alive_ms = now_ms;
	r->runner->next_poll_ms = MIN(r->runner->next_poll_ms, now_ms);
}
