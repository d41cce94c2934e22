#define G_LOG_DOMAIN "node"

#include "decisions.h"
#include "log.h"

static const char *state_name(enum job_state state)
{
	static const char *const names[] = { [JOB_QUEUED] = "queued",
					     [JOB_RUNNING] = "running",
					     [JOB_DONE] = "done",
					     [JOB_FAILED] = "failed",
					     [JOB_CANCELLED] = "cancelled" };

	return names[state];
}

static void log_job(const struct decision *d, uint64_t term)
{
	const struct cell_job *j = d->job;

	if (d->kind == DECISION_FIRST_START) {
		log_request(LOG_INFO, j->id, "first-start", NULL,
			    "%" G_GINT64_FORMAT " ms after it was accepted, queue %s", d->age_ms,
			    j->spec->queue);
		return;
	}
	if (d->kind == DECISION_JOB_INVALID) {
		log_request(LOG_WARNING, j->id, "job", NULL,
			    "the job in the log can't be done and fails: %s", j->invalid);
		return;
	}
	log_request(LOG_INFO, j->id, "ended", NULL,
		    "%s after %" G_GINT64_FORMAT
		    " ms: %u tasks, %u runs, %u failures, term %" G_GUINT64_FORMAT,
		    state_name(j->state), d->age_ms, j->n_task, cell_job_runs(j),
		    cell_job_failures(j), term);
}

static void log_run(const struct decision *d)
{
	static const char *const names[] = {
		[DECISION_REFUSED] = "start refused",
		[DECISION_UNANSWERED] = "start not answered, stopped",
		[DECISION_FAILED] = "run failed",
		[DECISION_HUNG] = "run makes no progress, stopped",
		[DECISION_PREEMPTED] = "preempted for more urgent work",
		[DECISION_INTERFERES] = "stopped for a serving task beside it",
		[DECISION_CAP_LOWERED] = "start withdrawn: over its team's cap"
	};
	static const char *const ends[] = { [END_DONE] = "done",
					    [END_FAILED] = "failed",
					    [END_STOPPED] = "stopped",
					    [END_LAPSED] = "lapsed",
					    [END_GANG_BROKEN] = "broken gang",
					    [END_GANG_INCOMPLETE] = "incomplete gang" };
	static const char *const losses[] = {
		[LOSS_LEASE_ENDED] = "the runner is silent and the lease has ended",
		[LOSS_RESTARTED] = "the runner has restarted",
		[LOSS_REPLACED] = "another runner answers at its address",
		[LOSS_NOT_LISTED] = "the runner doesn't list it",
	};
	char task[TASK_NAME_BYTES];

	cell_job_task_name(d->job, d->task, task);
	if (d->kind == DECISION_END_IGNORED) {
		log_request(LOG_INFO, task, "end", d->runner,
			    "%s: ignored, as run %u is not the current one", ends[d->end], d->run);
		return;
	}
	if (d->kind == DECISION_GIVEN_UP) {
		const struct task_crashes *t =
			job_task_crashes(cell_job_peek_task(d->job, d->task));

		log_request(LOG_NOTICE, task, "run", NULL,
			    "given up after run %u: %u runners in a row ended under its runs, the "
			    "last %u right after the start",
			    d->run, t->crashes, t->early_crashes);
		return;
	}
	if (d->kind == DECISION_LOST) {
		log_request(LOG_INFO, task, "run", d->runner,
			    "run lost: %s; run %u, planned %" G_GINT64_FORMAT
			    " ms ago, last answer of the runner after %" G_GINT64_FORMAT
			    " ms of it",
			    losses[d->loss], d->run, d->age_ms, d->survived_ms);
		return;
	}
	log_request(LOG_INFO, task, "run", d->runner,
		    "%s: run %u, planned %" G_GINT64_FORMAT " ms ago", names[d->kind], d->run,
		    d->age_ms);
}

static void log_runner(const struct decision *d)
{
	static const char *const names[] = {
		[DECISION_RUNNER_SILENT] = "silent for",
		[DECISION_RUNNER_RECOVERED] = "answers again after",
		[DECISION_RUNNER_QUARANTINED] = "its runs fail; no starts for",
		[DECISION_RUNNER_REPLACED] = "another runner answers at its address; last answer",
		[DECISION_LEASE_LAPSING] = "its lease is not renewed any more; rest of it",
		[DECISION_LEASE_RESUMED] = "its lease is renewed again; last answer"
	};

	if (d->kind == DECISION_RUNNER_RESTARTED) {
		log_info("runner", d->runner,
			 "restarted: incarnation %" G_GINT64_FORMAT " instead of %" G_GINT64_FORMAT
			 ", which last answered %" G_GINT64_FORMAT " ms ago",
			 d->incarnation_ms, d->old_incarnation_ms, d->age_ms);
		return;
	}
	log_info("runner", d->runner, "%s %" G_GINT64_FORMAT " ms", names[d->kind], d->age_ms);
}

static void count(const struct decision *d, struct metrics *m)
{
	static const char *const names[] = { [DECISION_JOB_ENDED] = "job_ended",
					     [DECISION_JOB_INVALID] = "job_invalid",
					     [DECISION_FIRST_START] = "first_start",
					     [DECISION_REFUSED] = "start_refused",
					     [DECISION_UNANSWERED] = "start_unanswered",
					     [DECISION_FAILED] = "run_failed",
					     [DECISION_HUNG] = "run_hangs",
					     [DECISION_LOST] = "run_lost",
					     [DECISION_GIVEN_UP] = "task_given_up",
					     [DECISION_RUNNER_SILENT] = "runner_silent",
					     [DECISION_RUNNER_RECOVERED] = "runner_back",
					     [DECISION_RUNNER_QUARANTINED] = "runner_barred",
					     [DECISION_RUNNER_RESTARTED] = "runner_born",
					     [DECISION_RUNNER_REPLACED] = "runner_replaced",
					     [DECISION_LEASE_LAPSING] = "lease_lapsing",
					     [DECISION_LEASE_RESUMED] = "lease_resumed",
					     [DECISION_PREEMPTED] = "run_preempted",
					     [DECISION_INTERFERES] = "filler_stopped",
					     [DECISION_CAP_LOWERED] = "start_over_cap",
					     [DECISION_END_IGNORED] = "end_ignored" };

	metrics_counter(m, "kw_decisions_total", "Decisions of the scheduler by kind.", "kind",
			names[d->kind], NULL)
		->value++;
	if (!d->job)
		return;
	if (d->kind == DECISION_JOB_ENDED)
		hist_add(metrics_hist(m, "kw_job_ms", "Time from acceptance to the end of a job.",
				      "queue", d->job->spec->queue, "state",
				      state_name(d->job->state), NULL),
			 (uint64_t)MAX(d->age_ms, 0));
	else if (d->kind == DECISION_FIRST_START)
		hist_add(metrics_hist(m, "kw_first_start_ms",
				      "Time from acceptance to the first start.", "queue",
				      d->job->spec->queue, NULL),
			 (uint64_t)MAX(d->age_ms, 0));
}

void decisions_record(const struct decision *d, struct metrics *metrics, uint64_t term)
{
	count(d, metrics);
	if (d->kind <= DECISION_FIRST_START)
		log_job(d, term);
	else if (d->kind <= DECISION_END_IGNORED)
		log_run(d);
	else
		log_runner(d);
}

static int64_t percent(int64_t part, int64_t whole)
{
	return whole ? part * 100 / whole : 0;
}

static void log_pool(void *ctx, const struct scheduler_pool *p)
{
	log_info("pool", p->service,
		 "%u runners, in use: cpu %" G_GINT64_FORMAT "%%, memory %" G_GINT64_FORMAT
		 "%%, accelerators %" G_GINT64_FORMAT "%%",
		 p->runners, percent(p->used.cpu_milli, p->capacity.cpu_milli),
		 percent(p->used.mem_bytes, p->capacity.mem_bytes),
		 percent(p->used.accel, p->capacity.accel));
}

static void log_team(void *ctx, const struct scheduler_team *t)
{
	if (!t->runs && !t->held_back && !t->waiting_jobs)
		return;
	log_info("team", t->name,
		 "%u runs, cpu %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
		 " milli, memory %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
		 " bytes, accelerators %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
		 "; held back by the cap: %u tasks; jobs not started: %u",
		 t->runs, t->used.cpu_milli, t->cap.cpu_milli, t->used.mem_bytes, t->cap.mem_bytes,
		 t->used.accel, t->cap.accel, t->held_back, t->waiting_jobs);
}

void decisions_log_stats(const struct scheduler *scheduler)
{
	struct scheduler_stats s;

	scheduler_stats(scheduler, &s);
	log_info("sums", NULL,
		 "open jobs %u, runs %u, runners %u (%u silent), starts %" G_GUINT64_FORMAT
		 ", refused %" G_GUINT64_FORMAT ", done %" G_GUINT64_FORMAT
		 ", failed %" G_GUINT64_FORMAT ", lost %" G_GUINT64_FORMAT
		 ", advice requests %" G_GUINT64_FORMAT
		 "; waiting tasks %u, gangs %u, steps: without capacity %u, waiting for advice %u, "
		 "advice postponed %u; tasks held back by caps %u",
		 s.open_jobs, s.runs, s.runners, s.silent_runners, s.starts, s.starts_refused,
		 s.ends[END_DONE], s.ends[END_FAILED], s.runs_lost, s.advice_requests,
		 s.waiting_tasks, s.gangs_waiting, s.steps_without_room, s.steps_awaiting_advice,
		 s.steps_advice_deferred, s.tasks_held_back);
	scheduler_each_pool(scheduler, log_pool, NULL);
	scheduler_each_team(scheduler, log_team, NULL);
}
