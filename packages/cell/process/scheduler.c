#define G_LOG_DOMAIN "scheduler"

#include "advice_request.h"
#include "hold.h"
#include "lapse.h"

#define ADVICE_RETRY_MS	 200  /* after a request without an answer */
#define START_TRANSIT_MS 60   /* of a start order to its runner: two regions and a relaying node */
#define EXPIRE_EVERY_MS	 5000 /* between searches for expired jobs */
#define IDLE_TICK_MS	 1000

void scheduler_report(struct scheduler *s, const struct decision *d)
{
	if (s->ops->decided)
		s->ops->decided(s->ctx, d);
}

void scheduler_report_run(struct scheduler *s, enum decision_kind kind, const struct run *r)
{
	const struct decision d = { .kind = kind,
				    .job = r->job,
				    .runner = r->runner->id,
				    .task = r->task,
				    .run = r->number,
				    .age_ms = s->now_ms - r->planned_ms };

	scheduler_report(s, &d);
}

void scheduler_report_runner(struct scheduler *s, enum decision_kind kind,
			     const struct cell_runner *rn, int64_t age_ms)
{
	const struct decision d = { .kind = kind, .runner = rn->id, .age_ms = age_ms };

	scheduler_report(s, &d);
}

void scheduler_report_job(struct scheduler *s, enum decision_kind kind, const struct cell_job *j)
{
	const struct decision d = { .kind = kind,
				    .job = j,
				    .age_ms = s->wall_ms - j->spec->accepted_ms };

	scheduler_report(s, &d);
}

static void open_job(struct scheduler *s, struct cell_job *j)
{
	if (j->listed)
		return;
	j->listed = true;
	g_ptr_array_add(s->open_jobs, j);
}

bool scheduler_can_use_runner(const struct scheduler *s, const struct cell_runner *rn)
{
	/* How much room runs of unread jobs take is not known yet. */
	return rn->contacted && !rn->gone && !rn->draining && rn->misses == 0 && !rn->lapsing &&
	       !rn->has_unread_runs && rn->quarantined_until_ms <= s->now_ms &&
	       rn->unexpected_until_ms <= s->now_ms;
}

static void stop_all(struct scheduler *s, struct cell_job *j)
{
	for (uint32_t i = 0; i < j->n_task && j->live_runs; i++)
		if (cell_job_live_run(j, i))
			scheduler_stop_run(s, cell_job_live_run(j, i));
}

void scheduler_end_job(struct scheduler *s, struct cell_job *j, enum job_state state)
{
	j->state = state;
	j->ended_ms = s->wall_ms;
	scheduler_report_job(s, DECISION_JOB_ENDED, j);
	stop_all(s, j);
	scheduler_mark_dirty(s, j);
}

static uint64_t find_host(const Cell__Progress *m, const char *runner)
{
	for (size_t i = 0; i < m->n_runner; i++)
		if (g_str_equal(m->runner[i]->id, runner))
			return m->runner[i]->host;
	return 0;
}

/* A run in the log may exist until its runner, or the end of its lease, shows otherwise. */
static void inherit_run(struct scheduler *s, struct cell_job *j, const Cell__Progress *m,
			const Cell__TaskProgress *t)
{
	struct cell_runner *rn;
	struct run *r;

	if (!*t->runner || t->task >= j->n_task)
		return;
	/* A record of another writer may list a task twice. */
	if (cell_job_live_run(j, t->task))
		return;
	rn = g_hash_table_lookup(s->runners, t->runner);
	if (!rn) {
		const struct runner_info unknown = { .id = t->runner,
						     .incarnation_ms = t->born_ms };

		rn = runners_add(s, &unknown);
		rn->gone = true;
	}
	if (!rn->host)
		rn->host = find_host(m, t->runner);
	/*
	 * The order may have reached a newer incarnation than the one in the log, so a run of an
	 * older incarnation is kept too, until a poll shows whether it exists. A newer incarnation
	 * of a runner that has answered shows in a reply.
	 */
	if (!rn->contacted) {
		rn->incarnation_ms = MAX(rn->incarnation_ms, t->born_ms);
		rn->granted_until_ms = MAX(rn->granted_until_ms, lapse_inherited_end_ms(s, rn));
	}
	r = runs_create(s, j, t->task, t->run);
	r->state = RUN_UNCONFIRMED;
	r->inherited = true;
	cell_runner_add_run(rn, r);
	runs_attach(s, j, r);
	/* An earlier run has finished the task. */
	if (cell_job_task_is_done(j, t->task))
		scheduler_stop_run(s, r);
}

/* The job's own record may be read long after the progress that an earlier scheduler wrote. */
static void inherit_runs(struct scheduler *s, struct cell_job *j)
{
	Cell__Progress *m;

	if (j->runs_inherited)
		return;
	j->runs_inherited = true;
	m = cell_job_stored_progress(j);
	if (!m)
		return;
	for (size_t i = 0; i < m->n_task; i++)
		inherit_run(s, j, m, m->task[i]);
	cell__progress__free_unpacked(m, NULL);
}

static void inherit_job(void *ctx, struct cell_job *j)
{
	struct scheduler *s = ctx;

	scheduler_job_changed(s, j, s->now_ms);
}

/* With a slow store, writing the intent may take longer than the ticket is valid. */
static bool ticket_expires(const struct scheduler *s, const struct run *r)
{
	return r->ticket && r->ticket_until_ms < s->now_ms + START_TRANSIT_MS;
}

/* The capacity may have shrunk since the run was planned. */
static bool exceeds_capacity(const struct cell_runner *rn)
{
	return !resources_fits(&rn->used, &rn->capacity);
}

bool scheduler_team_limit(const struct scheduler *s, const struct cell_job *j,
			  struct team_limit *limit)
{
	const struct teams *teams = s->queues ? queues_teams(s->queues) : NULL;
	const struct team *team;

	if (!teams || !*j->spec->team)
		return false;
	team = teams_find(teams, j->spec->team);
	if (!team)
		return false;
	*limit = (struct team_limit){ .cap = team->cap, .over_milli = s->conf.quota_over_milli };
	return true;
}

/* The cap may have been lowered since the run was planned. */
static bool exceeds_cap(struct scheduler *s, const struct run *r)
{
	const struct job_step *step = cell_job_step_of(r->job, r->task);
	struct resources need = team_use_need(step->spec);
	struct team_limit limit;

	if (!scheduler_team_limit(s, r->job, &limit) ||
	    team_use_confirms(s->team_use, r->job->spec->team, &limit, &need,
			      step->spec->gang ? step->live_runs : 1))
		return false;
	scheduler_report_run(s, DECISION_CAP_LOWERED, r);
	return true;
}

/* Sends the starts whose intent and job are stored. */
static void send_planned(struct scheduler *s)
{
	for (guint i = s->planned_runs->len; i > 0; i--) {
		struct run *r = s->planned_runs->pdata[i - 1];

		if (!r->intent_batch || r->intent_batch > s->batch_acked || r->job->tentative)
			continue;
		g_ptr_array_remove_index_fast(s->planned_runs, i - 1);
		if (r->stopping || !scheduler_can_use_runner(s, r->runner) ||
		    exceeds_capacity(r->runner) || ticket_expires(s, r) ||
		    s->now_ms > s->grant_until_ms || exceeds_cap(s, r))
			runs_requeue(s, r, 0);
		else
			runs_send_start(s, r);
	}
}

static void end_invalid(struct scheduler *s, struct cell_job *j)
{
	scheduler_report_job(s, DECISION_JOB_INVALID, j);
	scheduler_end_job(s, j, JOB_FAILED);
}

void scheduler_job_changed(struct scheduler *s, struct cell_job *j, int64_t now_ms)
{
	s->now_ms = now_ms;
	inherit_runs(s, j);
	if (cell_job_has_ended(j)) {
		if (j->live_runs) {
			open_job(s, j);
			stop_all(s, j);
		}
		return;
	}
	open_job(s, j);
	if (j->cancelled)
		scheduler_end_job(s, j, JOB_CANCELLED);
	else if (j->invalid)
		end_invalid(s, j);
	else
		send_planned(s);
}

void scheduler_job_dropped(struct scheduler *s, struct cell_job *j)
{
	while (j->live_runs) {
		for (uint32_t i = 0; i < j->n_task; i++)
			if (cell_job_live_run(j, i))
				scheduler_drop_run(s, cell_job_live_run(j, i));
	}
	for (uint32_t i = 0; i < j->n_step; i++) {
		if (j->step[i].advice)
			advice_request_end(s, j->step[i].advice);
		g_clear_pointer(&j->step[i].advice, advice_destroy);
	}
	g_ptr_array_remove(s->open_jobs, j);
	g_ptr_array_remove_fast(s->begun_jobs, j);
	g_ptr_array_remove_fast(s->dirty_jobs, j);
}

static void free_runner(gpointer data)
{
	cell_runner_destroy(data);
}

struct scheduler *scheduler_create(const struct scheduler_conf *conf, struct job_table *jobs,
				   const struct scheduler_ops *ops, void *ctx, int64_t now_ms)
{
	struct scheduler *s = g_new0(struct scheduler, 1);

	s->conf = *conf;
	s->jobs = jobs;
	s->ops = ops;
	s->ctx = ctx;
	s->now_ms = now_ms;
	s->created_ms = now_ms;
	s->wall_ms = g_get_real_time() / 1000;
	s->batch_next = 1;
	s->inherited_until_ms = now_ms + conf->inherited_ms;
	s->advisor = advisor_share_create();
	s->grant_until_ms = INT64_MAX;
	s->admission = admission_create(now_ms);
	s->runners = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_runner);
	s->open_jobs = g_ptr_array_new();
	s->dirty_jobs = g_ptr_array_new();
	s->begun_jobs = g_ptr_array_new();
	s->planned_runs = g_ptr_array_new();
	s->team_use = team_use_create();
	s->holds = hold_table_create();
	lapse_init(s, conf->lease_ends);
	s->conf.lease_ends = NULL;
	job_table_each(jobs, inherit_job, s);
	return s;
}

static void detach_job(void *ctx, struct cell_job *j)
{
	for (uint32_t i = 0; i < j->n_task && j->live_runs; i++)
		if (cell_job_live_run(j, i))
			cell_job_task(j, i)->live_run = NULL;
	for (uint32_t i = 0; i < j->n_step; i++) {
		g_clear_pointer(&j->step[i].advice, advice_destroy);
		j->step[i].live_runs = 0;
	}
	j->live_runs = 0;
	j->dirty = false;
	j->listed = false;
	j->start_reported = false;
	j->runs_inherited = false;
	j->failed_runner = 0;
	j->written_batch = 0;
}

void scheduler_destroy(struct scheduler *s)
{
	if (!s)
		return;
	job_table_each(s->jobs, detach_job, NULL);
	g_hash_table_unref(s->holds);
	team_use_destroy(s->team_use);
	lapse_clear(s);
	g_ptr_array_unref(s->planned_runs);
	g_ptr_array_unref(s->begun_jobs);
	g_ptr_array_unref(s->dirty_jobs);
	g_ptr_array_unref(s->open_jobs);
	g_hash_table_unref(s->runners);
	admission_destroy(s->admission);
	advisor_share_destroy(s->advisor);
	g_free(s);
}

void scheduler_set_advisor_clients(struct scheduler *s, uint32_t n)
{
	advisor_share_set_clients(s->advisor, n);
}

void scheduler_grant_until(struct scheduler *s, int64_t until_ms)
{
	s->grant_until_ms = until_ms;
}

void scheduler_inherit_until(struct scheduler *s, int64_t until_ms)
{
	GHashTableIter it;
	gpointer value;

	if (until_ms >= s->inherited_until_ms)
		return;
	s->inherited_until_ms = until_ms;
	g_hash_table_iter_init(&it, s->runners);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cell_runner *rn = value;

		/* The others have a bound of their own. */
		if (!rn->contacted && !rn->restarted)
			rn->granted_until_ms = lapse_inherited_end_ms(s, rn);
	}
}

void scheduler_configure(struct scheduler *s, const struct queues *q)
{
	s->queues = q;
}

void scheduler_fenced(struct scheduler *s, const char *by)
{
	if (s->fenced)
		return;
	s->fenced = true;
	s->ops->fenced(s->ctx, by);
}

void scheduler_advice_answered(struct scheduler *s, const char *step, const char *const *asked,
			       size_t n_asked, const struct ticket *ticket, size_t n_ticket,
			       int64_t valid_until_ms, bool answered, int64_t now_ms)
{
	char id[JOB_ID_LEN + 1];
	uint32_t occurrence;
	uint32_t number;
	uint32_t index;
	struct cell_job *j;
	struct job_step *requested;

	s->now_ms = now_ms;
	if (!task_name_parse(step, id, &occurrence, &number, &index))
		return;
	j = job_table_find(s->jobs, id);
	requested = j ? cell_job_find_step(j, occurrence, number) : NULL;
	if (!requested || !requested->advice)
		return;
	advice_request_end(s, requested->advice);
	if (!answered) {
		requested->advice->retry_ms = now_ms + ADVICE_RETRY_MS;
		return;
	}
	requested->advice->answered = true;
	requested->advice->unanswered_since_ms = 0;
	for (size_t i = 0; i < n_asked; i++) {
		const struct cell_runner *rn = g_hash_table_lookup(s->runners, asked[i]);
		const char *got = NULL;

		for (size_t k = 0; k < n_ticket; k++)
			if (g_str_equal(ticket[k].runner, asked[i]))
				got = ticket[k].ticket;
		if (rn && got)
			advice_approve(requested->advice, rn->handle, got, valid_until_ms);
		else if (rn)
			advice_deny(requested->advice, rn->handle);
	}
}

/* Publishes the states that are now in the log, and closes jobs that have ended. */
static void publish_states(struct scheduler *s)
{
	for (guint i = s->open_jobs->len; i > 0; i--) {
		struct cell_job *j = s->open_jobs->pdata[i - 1];

		if (j->written_batch && j->written_batch <= s->batch_acked)
			j->stored_state = j->written_state;
		if (cell_job_has_ended(j) && j->stored_state == j->state && !j->live_runs &&
		    !j->dirty) {
			cell_job_release(j);
			j->listed = false;
			g_ptr_array_remove_index(s->open_jobs, i - 1);
		}
	}
}

void scheduler_written(struct scheduler *s, uint64_t batch, int64_t now_ms)
{
	s->now_ms = now_ms;
	if (batch <= s->batch_acked)
		return;
	progress_written(s, batch);
	publish_states(s);
	send_planned(s);
}

struct expired {
	const struct scheduler *scheduler;
	GPtrArray *id;
};

static void find_expired(void *ctx, struct cell_job *j)
{
	const struct expired *e = ctx;
	const struct scheduler *s = e->scheduler;

	if (cell_job_has_ended(j) && j->stored_state == j->state && !j->listed && !j->dirty &&
	    j->ended_ms + (int64_t)s->conf.status_keep_ms < s->wall_ms)
		g_ptr_array_add(e->id, g_strdup(j->id));
}

/* Deleting a job may drop others from the table, so all are found first. */
static void expire_jobs(struct scheduler *s)
{
	g_autoptr(GPtrArray) id = g_ptr_array_new_with_free_func(g_free);
	struct expired e = { .scheduler = s, .id = id };

	job_table_each(s->jobs, find_expired, &e);
	for (guint i = 0; i < id->len; i++)
		s->ops->expire(s->ctx, id->pdata[i]);
}

int64_t scheduler_tick(struct scheduler *s, int64_t now_ms, int64_t wall_ms)
{
	int64_t next = now_ms + IDLE_TICK_MS;

	s->now_ms = now_ms;
	s->wall_ms = wall_ms;
	if (s->fenced)
		return next;
	next = runners_check(s, next);
	placement_run(s);
	scheduler_report_backlog(s);
	next = progress_write(s, next);
	if (now_ms >= s->next_expiry_ms) {
		s->next_expiry_ms = now_ms + EXPIRE_EVERY_MS;
		expire_jobs(s);
	}
	return next;
}
