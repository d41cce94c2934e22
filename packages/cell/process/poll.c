#define G_LOG_DOMAIN "poll"

#include "crash.h"
#include "interference.h"
#include "scheduler_priv.h"

#define FAILURES_MAX	   2	 /* failures in a row that put a runner into quarantine */
#define QUARANTINE_MIN_MS  2000	 /* first quarantine; the next ones double */
#define HANG_AGE_MS	   800	 /* younger runs are not judged: usage covers the last 500 ms */
#define HANG_IDLE_MS	   500	 /* a run that reports no usage for this long is hung */
#define HANG_QUARANTINE_MS 3000	 /* of a runner with a hung run */
#define POLL_ENDS_MAX	   500	 /* ends of runs in one reply, the platform's limit */
#define QUARANTINE_MAX_MS  16000 /* a recovered runner is tried within this time */
#define STOPS_MAX	   64 /* of runs of unknown tasks, for one reply; the next reply has the others */
#define UNREAD_RETRY_MS	   100 /* between polls of a runner with runs of unread jobs */

/* Runs from before the quarantine don't show whether the runner still fails after it. */
static bool is_older_than_quarantine(const struct cell_runner *rn, const struct run *r)
{
	return rn->consecutive_failures >= FAILURES_MAX && r->planned_ms < rn->quarantined_until_ms;
}

static void count_failure(struct scheduler *s, struct cell_runner *rn, const struct run *r)
{
	struct cell_job *j = r->job;
	int64_t pause = QUARANTINE_MIN_MS;

	if (cell_job_has_ended(j) || cell_job_task_is_done(j, r->task) ||
	    is_older_than_quarantine(rn, r))
		return;
	/* A task that fails again where it has failed before says nothing new of the runner. */
	if (cell_job_peek_task(j, r->task)->avoid_runner == rn->handle + 1)
		return;
	/* If tasks of the job fail on other runners too, it's not the fault of this one. */
	if (j->failed_runner && j->failed_runner != rn->handle + 1)
		return;
	j->failed_runner = rn->handle + 1;
	if (++rn->consecutive_failures < FAILURES_MAX)
		return;
	for (uint32_t i = FAILURES_MAX; i < rn->consecutive_failures && pause < QUARANTINE_MAX_MS;
	     i++)
		pause *= 2;
	rn->quarantined_until_ms = s->now_ms + MIN(pause, QUARANTINE_MAX_MS);
	scheduler_report_runner(s, DECISION_RUNNER_QUARANTINED, rn, MIN(pause, QUARANTINE_MAX_MS));
}

/* The members of a gang end together. Only those of another run of the gang have to be stopped. */
static void finish_gang(struct scheduler *s, struct cell_job *j, struct job_step *step,
			uint32_t run_number)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		struct run *r = cell_job_live_run(j, step->first_task + i);

		if (r && r->number == run_number)
			r->gang_done = true;
	}
	scheduler_stop_gang(s, j, step);
}

static void finish_task(struct scheduler *s, struct cell_job *j, uint32_t task, uint32_t run_number)
{
	struct job_step *step = cell_job_step_of(j, task);

	if (cell_job_has_ended(j))
		return;
	cell_job_mark_task_done(j, task);
	if (step->spec->gang)
		finish_gang(s, j, step, run_number);
	if (cell_job_all_done(j))
		scheduler_end_job(s, j, JOB_DONE);
}

static void end_failed(struct scheduler *s, const struct cell_runner *rn, struct cell_job *j,
		       uint32_t task, uint32_t run_number)
{
	struct job_task *t = cell_job_task(j, task);

	t->avoid_runner = rn->handle + 1;
	t->avoid_until_ms = s->now_ms + AVOID_MS;
	if (cell_job_has_ended(j))
		return;
	if (cell_job_mark_run_failed(j, task, run_number))
		scheduler_end_job(s, j, JOB_FAILED);
}

static void apply_end(struct scheduler *s, struct cell_runner *rn, struct cell_job *j,
		      uint32_t task, const struct poll_ended *end)
{
	struct job_step *step = cell_job_step_of(j, task);

	cell_job_set_checkpoint(j, task, end->checkpoint);
	s->stats.ends[end->end]++;
	if (end->end == END_DONE) {
		rn->consecutive_failures = 0;
		if (step->spec->lasting)
			return;
		finish_task(s, j, task, end->run);
	} else if (end->end == END_FAILED) {
		crash_clear(cell_job_task(j, task));
		end_failed(s, rn, j, task, end->run);
	}
}

static void ignore_end(struct scheduler *s, const struct cell_runner *rn, const struct cell_job *j,
		       uint32_t task, const struct poll_ended *end)
{
	const struct decision d = { .kind = DECISION_END_IGNORED,
				    .job = j,
				    .runner = rn->id,
				    .task = task,
				    .run = end->run,
				    .end = end->end };

	scheduler_report(s, &d);
}

static void process_end(struct scheduler *s, struct cell_runner *rn, const struct poll_ended *end)
{
	struct cell_job *j;
	uint32_t task = job_table_find_task(s->jobs, end->task, &j);
	struct job_step *step;
	struct run *r;

	if (task == UINT32_MAX) {
		g_info("runner %s lists the end of unknown task %s", rn->id, end->task);
		return;
	}
	scheduler_mark_started(s, j);
	if (!cell_job_task_is_done(j, task) && !cell_job_has_ended(j))
		crash_forgive(cell_job_task(j, task), end->run);
	step = cell_job_step_of(j, task);
	r = cell_job_live_run(j, task);
	if (r && r->number == end->run && r->runner == rn) {
		if (end->end == END_FAILED) {
			scheduler_report_run(s, DECISION_FAILED, r);
			/* Members of a gang that fail together are one failure. */
			if (!cell_job_run_has_failed(j, task, end->run))
				count_failure(s, rn, r);
		}
		scheduler_drop_run(s, r);
		if (cell_job_task_is_done(j, task)) {
			ignore_end(s, rn, j, task, end);
			return;
		}
	} else if (end->end != END_DONE || cell_job_task_is_done(j, task)) {
		/* This end of an older run changes nothing. */
		ignore_end(s, rn, j, task, end);
		return;
	} else if (r) {
		/* An older run finished the task after all: the newer one is redundant. */
		scheduler_stop_run(s, r);
	}
	apply_end(s, rn, j, task, end);
	if (step->spec->gang && !cell_job_task_is_done(j, task))
		scheduler_stop_gang(s, j, step);
	scheduler_mark_dirty(s, j);
}

/*
 * A task that uses no CPU hangs and would never end. Three kinds of tasks are never taken as hung:
 * members of a gang may wait for each other, fillers may wait for capacity, and the usage of
 * lasting tasks is their tail latency.
 */
static bool is_hung(const struct scheduler *s, struct run *r, uint32_t usage)
{
	const Cell__Step *spec = cell_job_step_of(r->job, r->task)->spec;

	if (spec->gang || spec->filler || spec->lasting || spec->cpu_milli == 0 || r->stopping)
		return false;
	if (usage > 0 || s->now_ms - r->confirmed_ms < HANG_AGE_MS) {
		r->idle_since_ms = 0;
		return false;
	}
	if (!r->idle_since_ms)
		r->idle_since_ms = s->now_ms;
	return s->now_ms - r->idle_since_ms >= HANG_IDLE_MS;
}

static void stop_hung(struct scheduler *s, struct cell_runner *rn, struct run *r)
{
	struct job_task *task = cell_job_task(r->job, r->task);

	task->avoid_runner = rn->handle + 1;
	task->avoid_until_ms = s->now_ms + AVOID_MS;
	rn->quarantined_until_ms = MAX(rn->quarantined_until_ms, s->now_ms + HANG_QUARANTINE_MS);
	scheduler_report_run(s, DECISION_HUNG, r);
	scheduler_stop_run(s, r);
}

/*
 * A late order started the run in this incarnation. It uses capacity and keeps its task from being
 * placed until it has ended, like any other run.
 */
static void adopt_run(struct scheduler *s, struct cell_runner *rn, struct cell_job *j,
		      uint32_t task, uint32_t run_number)
{
	struct run *r = runs_create(s, j, task, run_number);
	struct job_task *t;

	r->state = RUN_CONFIRMED;
	r->confirmed_ms = s->now_ms;
	r->listed = true;
	cell_runner_add_run(rn, r);
	runs_attach(s, j, r);
	t = cell_job_task(j, task);
	t->last_run = MAX(t->last_run, run_number);
	scheduler_mark_dirty(s, j);
	scheduler_job_changed(s, j, s->now_ms);
	scheduler_stop_run(s, r);
}

/*
 * A run of an unknown task, or a second run of one, is not tracked. Until it has been stopped, the
 * runner gets no starts, and the task has no further one.
 */
static void stop_unexpected(struct scheduler *s, struct cell_runner *rn,
			    const struct poll_running *row, uint32_t *stops)
{
	struct cell_job *j;
	uint32_t task = job_table_find_task(s->jobs, row->task, &j);

	if (task == UINT32_MAX && ++*stops > STOPS_MAX)
		return;
	g_info("stopping an unexpected run on runner %s: %s (run %u)", rn->id, row->task, row->run);
	if (task != UINT32_MAX && !cell_job_live_run(j, task)) {
		adopt_run(s, rn, j, task, row->run);
		return;
	}
	rn->unexpected_until_ms = s->now_ms + s->conf.stop_ms + RUNNER_LEASE_SLACK_MS;
	if (task != UINT32_MAX) {
		struct job_task *t = cell_job_task(j, task);

		t->not_before_ms = MAX(t->not_before_ms, rn->unexpected_until_ms);
		/* A start without an answer must not be repeated. */
		if (t->live_run->state != RUN_CONFIRMED)
			scheduler_stop_run(s, t->live_run);
	}
	scheduler_send_stop(s, rn, row->task, row->run);
}

/* A run of a job that was not read yet is known from the job's progress. */
static bool is_unexpected(struct scheduler *s, const struct cell_runner *rn,
			  const struct poll_running *row)
{
	return !scheduler_find_run(s, rn->id, row->task, row->run) &&
	       !job_table_expects_run(s->jobs, row->task, row->run, rn->id);
}

static void process_running(struct scheduler *s, struct cell_runner *rn,
			    const struct poll_running *row)
{
	struct run *r = scheduler_find_run(s, rn->id, row->task, row->run);

	if (!r && job_table_expects_run(s->jobs, row->task, row->run, rn->id))
		rn->has_unread_runs = true;
	if (!r)
		return;
	r->listed = true;
	r->inherited = false;
	if (r->state != RUN_CONFIRMED) {
		r->state = RUN_CONFIRMED;
		r->confirmed_ms = s->now_ms;
		scheduler_mark_started(s, r->job);
	}
	if (s->now_ms - r->confirmed_ms >= crash_alone_ms(cell_job_peek_task(r->job, r->task)))
		cell_runner_share(rn, r);
	if (s->now_ms - r->confirmed_ms >= CRASH_CLEARED_MS)
		crash_clear(cell_job_task(r->job, r->task));
	cell_job_set_checkpoint(r->job, r->task, row->checkpoint);
	if (is_hung(s, r, row->usage))
		stop_hung(s, rn, r);
	if (r->spec->tail_target_ms)
		interference_note_tail(s, r, row->usage);
}

/* A run that is being stopped may be in neither list until it has ended. */
int64_t poll_proof_ms(const struct scheduler *s, const struct run *r)
{
	int64_t stopped_ms = s->conf.stop_ms + RUNNER_LEASE_SLACK_MS;

	if (r->inherited)
		return r->runner->contacted ? r->runner->first_contact_ms + stopped_ms : INT64_MAX;
	return r->stop_answered_ms ? r->stop_answered_ms + stopped_ms : INT64_MAX;
}

/* Whether the reply to the poll sent at sent_ms proves that the run doesn't exist. */
static bool proven_gone(const struct scheduler *s, const struct run *r, int64_t sent_ms)
{
	if (r->listed)
		return false;
	if (poll_proof_ms(s, r) <= sent_ms)
		return true;
	return r->state == RUN_CONFIRMED && !r->stop_sent_ms && r->confirmed_ms < sent_ms;
}

static void lose_missing(struct scheduler *s, struct cell_runner *rn, int64_t sent_ms)
{
	for (guint i = rn->runs->len; i > 0; i--) {
		struct run *r = rn->runs->pdata[i - 1];

		if (proven_gone(s, r, sent_ms))
			scheduler_lose_run(s, r, LOSS_NOT_LISTED);
	}
}

void poll_read_reply(struct scheduler *s, struct cell_runner *rn, const struct poll_reply *reply,
		     int64_t sent_ms)
{
	bool all_read = reply->n_ended < POLL_ENDS_MAX; /* a full list may omit ends */
	uint32_t stops = 0;

	rn->has_unread_runs = false;
	for (guint i = 0; i < rn->runs->len; i++)
		((struct run *)rn->runs->pdata[i])->listed = false;
	for (size_t i = 0; i < reply->n_ended; i++) {
		if (reply->ended[i].seq <= rn->last_end)
			continue;
		/* The runner keeps this end and the later ones until the job's record is read. */
		if (job_table_expects_run(s->jobs, reply->ended[i].task, reply->ended[i].run,
					  rn->id)) {
			rn->has_unread_runs = true;
			all_read = false;
			break;
		}
		process_end(s, rn, &reply->ended[i]);
		rn->last_end = reply->ended[i].seq;
		rn->unacked_end = rn->last_end;
		rn->unacked_end_batch = s->dirty_jobs->len ? s->batch_next : s->batch_next - 1;
	}
	for (size_t i = 0; i < reply->n_running; i++)
		process_running(s, rn, &reply->running[i]);
	if (rn->has_unread_runs)
		rn->next_poll_ms = s->now_ms + UNREAD_RETRY_MS;
	if (all_read)
		lose_missing(s, rn, sent_ms);
	/* Last, since a task whose run is gone may have an earlier run here. */
	for (size_t i = 0; i < reply->n_running; i++)
		if (is_unexpected(s, rn, &reply->running[i]))
			stop_unexpected(s, rn, &reply->running[i], &stops);
}
