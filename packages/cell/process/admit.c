#include "job_rank.h"
#include "scheduler_priv.h"

/* A planned run counts as a start: its intent is being written. */
static bool waits_for_first_run(const struct cell_job *j)
{
	return !j->started && !j->tentative && !j->live_runs && !cell_job_has_ended(j);
}

static void report_job(struct scheduler *s, const struct cell_job *j)
{
	const struct queue *q = queues_find(s->queues, j->spec->queue);
	struct job_rank rank = job_rank_at(j, s->wall_ms);

	/* A job that is overdue may be impossible to place, and of no use to its caller. */
	if (rank.key > s->wall_ms || rank.tier == JOB_TIER_OVERDUE)
		return;
	admission_add_waiting(s->admission, q ? q->service : j->spec->service, j->spec->team,
			      job_slack_ms(j, s->wall_ms) < s->wall_ms - rank.key);
}

bool scheduler_has_teams(const struct scheduler *s)
{
	return s->queues && queues_teams(s->queues);
}

void scheduler_report_backlog(struct scheduler *s)
{
	if (!scheduler_has_teams(s))
		return;
	admission_begin_pass(s->admission);
	for (guint i = 0; i < s->open_jobs->len; i++)
		if (waits_for_first_run(s->open_jobs->pdata[i]))
			report_job(s, s->open_jobs->pdata[i]);
	admission_end_pass(s->admission, s->now_ms);
}

void scheduler_admit(struct scheduler *s, const Cell__Job *job, int64_t now_ms,
		     struct admission_verdict *v)
{
	struct admission_request req = { .id = job->id,
					 .team = job->team,
					 .priority = job->priority };
	const struct queue *q;
	const struct team *team;

	*v = (struct admission_verdict){ .cause = ADMISSION_ACCEPTED };
	if (!scheduler_has_teams(s))
		return;
	team = teams_find(queues_teams(s->queues), job->team);
	if (!team)
		return;
	q = queues_find(s->queues, job->queue);
	req.pool = q ? q->service : job->service;
	req.weight = team->weight;
	admission_decide(s->admission, &req, now_ms, v);
}
