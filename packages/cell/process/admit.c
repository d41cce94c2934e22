#include "job_rank.h"
#include "scheduler_priv.h"

static const char *pool_of(const struct scheduler *s, const Cell__Job *job)
{
	const struct queue *q = queues_find(s->queues, job->queue);

	return q ? q->service : job->service;
}

/* A planned run counts as a start: its intent is being written. */
static void report_job(struct scheduler *s, struct cell_job *j)
{
	const Cell__Job *spec = j->spec;
	struct job_rank rank;

	if (j->started || j->live_runs) {
		if (!j->start_reported)
			admission_add_started(s->admission, pool_of(s, spec), spec->team,
					      spec->priority);
		j->start_reported = true;
		return;
	}
	if (j->tentative || cell_job_has_ended(j))
		return;
	rank = job_rank_at(j, s->wall_ms);
	/* A job that is overdue may be impossible to place, and of no use to its caller. */
	if (rank.key > s->wall_ms || rank.tier == JOB_TIER_OVERDUE)
		return;
	admission_add_waiting(s->admission, pool_of(s, spec), spec->team, spec->priority,
			      job_slack_ms(j, s->wall_ms) + s->wall_ms - rank.key,
			      team_use_sum(s->team_use, spec->team).held_back > 0);
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
		report_job(s, s->open_jobs->pdata[i]);
	admission_end_pass(s->admission, s->now_ms);
}

void scheduler_admit(struct scheduler *s, const Cell__Job *job, int64_t now_ms,
		     struct admission_verdict *v)
{
	struct admission_request req = { .id = job->id,
					 .team = job->team,
					 .priority = job->priority };
	const struct team *team;

	*v = (struct admission_verdict){ .cause = ADMISSION_ACCEPTED };
	if (!scheduler_has_teams(s))
		return;
	team = teams_find(queues_teams(s->queues), job->team);
	if (!team)
		return;
	req.pool = pool_of(s, job);
	req.weight = team->weight;
	admission_decide(s->admission, &req, now_ms, v);
}
