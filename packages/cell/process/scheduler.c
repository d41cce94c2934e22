#define G_LOG_DOMAIN "scheduler"

#include "question.h"

#define ASK_RETRY_MS	200  /* after the advisor did not answer */
#define ORDER_WAY_MS	60   /* of a start to its runner: two regions, and the node between */
#define EXPIRE_EVERY_MS 5000 /* between searches for jobs to drop */
#define IDLE_TICK_MS	1000

static void tell(struct scheduler *s, const struct decision *d)
{
	if (s->ops->decided)
		s->ops->decided(s->ctx, d);
}

void scheduler_tell_run(struct scheduler *s, enum decision_kind kind, const struct run *r)
{
	const struct decision d = { .kind = kind,
				    .plan = r->plan,
				    .runner = r->exec->id,
				    .task = r->task,
				    .run = r->no,
				    .age_ms = s->now_ms - r->planned_ms };

	tell(s, &d);
}

void scheduler_tell_runner(struct scheduler *s, enum decision_kind kind, const struct exec *e,
			   int64_t age_ms)
{
	const struct decision d = { .kind = kind, .runner = e->id, .age_ms = age_ms };

	tell(s, &d);
}

void scheduler_tell_job(struct scheduler *s, enum decision_kind kind, const struct plan *p)
{
	const struct decision d = { .kind = kind,
				    .plan = p,
				    .age_ms = s->wall_ms - p->job->accepted_ms };

	tell(s, &d);
}

static void open_job(struct scheduler *s, struct plan *p)
{
	if (p->listed)
		return;
	p->listed = true;
	g_ptr_array_add(s->open, p);
}

bool scheduler_usable(const struct scheduler *s, const struct exec *e)
{
	return e->contacted && !e->gone && !e->draining && e->misses == 0 &&
	       e->barred_until_ms <= s->now_ms;
}

static void stop_all(struct scheduler *s, struct plan *p)
{
	for (uint32_t i = 0; i < p->n_task && p->live; i++)
		if (p->task[i].live)
			scheduler_stop_run(s, p->task[i].live);
}

void scheduler_end_job(struct scheduler *s, struct plan *p, enum job_state state)
{
	p->state = state;
	p->ended_ms = s->wall_ms;
	scheduler_tell_job(s, DECISION_JOB_ENDED, p);
	stop_all(s, p);
	scheduler_mark(s, p);
}

/* Runs that the store knows of: each may exist until its runner says otherwise. */
static void inherit(struct scheduler *s, struct plan *p, const Cell__TaskProgress *t)
{
	struct exec *e;
	struct run *r;

	if (t->done || !*t->runner || t->task >= p->n_task)
		return;
	e = g_hash_table_lookup(s->exec, t->runner);
	if (!e) {
		const struct runner_info unknown = { .id = t->runner, .born_ms = t->born_ms };

		e = runners_add(s, &unknown);
		e->gone = true;
	}
	/*
	 * The order may have come to a newer life than the one that it was noted with, so a run of
	 * an older life is kept too, until a look at the runner tells.
	 */
	e->born_ms = MAX(e->born_ms, t->born_ms);
	r = runs_create(s, p, t->task, t->run);
	r->state = RUN_DOUBT;
	r->inherited = true;
	exec_take(e, r);
	runs_link(p, r);
}

static void take_over(void *ctx, struct plan *p)
{
	struct scheduler *s = ctx;

	p->started = p->started || (p->stored && p->stored->n_task > 0);
	for (size_t i = 0; p->stored && i < p->stored->n_task; i++)
		inherit(s, p, p->stored->task[i]);
	scheduler_job(s, p, s->now_ms);
}

/* With a slow store the intent may take longer than the ticket lasts. */
static bool ticket_over(const struct scheduler *s, const struct run *r)
{
	return r->ticket && r->ticket_until_ms < s->now_ms + ORDER_WAY_MS;
}

/* Those whose intent is stored, and their job too. */
static void order_planned(struct scheduler *s)
{
	for (guint i = s->planned->len; i > 0; i--) {
		struct run *r = s->planned->pdata[i - 1];

		if (!r->batch || r->batch > s->batch_acked || r->plan->tentative)
			continue;
		g_ptr_array_remove_index_fast(s->planned, i - 1);
		if (r->stopping || !scheduler_usable(s, r->exec) || ticket_over(s, r) ||
		    s->now_ms > s->grant_until_ms)
			runs_refused(s, r, 0);
		else
			runs_order_start(s, r);
	}
}

void scheduler_job(struct scheduler *s, struct plan *p, int64_t now_ms)
{
	s->now_ms = now_ms;
	if (plan_ended(p)) {
		if (p->live) {
			open_job(s, p);
			stop_all(s, p);
		}
		return;
	}
	open_job(s, p);
	if (p->cancelled)
		scheduler_end_job(s, p, JOB_CANCELLED);
	else
		order_planned(s);
}

void scheduler_job_dropped(struct scheduler *s, struct plan *p)
{
	while (p->live) {
		for (uint32_t i = 0; i < p->n_task; i++)
			if (p->task[i].live)
				scheduler_drop_run(s, p->task[i].live);
	}
	for (uint32_t i = 0; i < p->n_step; i++) {
		if (p->step[i].advice)
			question_ends(s, p->step[i].advice);
		g_clear_pointer(&p->step[i].advice, advice_destroy);
	}
	g_ptr_array_remove(s->open, p);
	g_ptr_array_remove_fast(s->dirty, p);
}

static void free_exec(gpointer data)
{
	exec_destroy(data);
}

struct scheduler *scheduler_create(const struct scheduler_conf *conf, struct book *book,
				   const struct scheduler_ops *ops, void *ctx, int64_t now_ms)
{
	struct scheduler *s = g_new0(struct scheduler, 1);

	s->conf = *conf;
	s->book = book;
	s->ops = ops;
	s->ctx = ctx;
	s->now_ms = now_ms;
	s->begun_ms = now_ms;
	s->wall_ms = g_get_real_time() / 1000;
	s->batch_next = 1;
	s->inherited_until_ms = now_ms + conf->inherited_ms;
	s->grant_until_ms = INT64_MAX;
	s->exec = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_exec);
	s->open = g_ptr_array_new();
	s->dirty = g_ptr_array_new();
	s->planned = g_ptr_array_new();
	book_each(book, take_over, s);
	return s;
}

static void forget_plan(void *ctx, struct plan *p)
{
	for (uint32_t i = 0; i < p->n_task; i++)
		p->task[i].live = NULL;
	for (uint32_t i = 0; i < p->n_step; i++) {
		g_clear_pointer(&p->step[i].advice, advice_destroy);
		p->step[i].live = 0;
	}
	p->live = 0;
	p->dirty = false;
	p->listed = false;
}

void scheduler_destroy(struct scheduler *s)
{
	if (!s)
		return;
	book_each(s->book, forget_plan, NULL);
	g_ptr_array_unref(s->planned);
	g_ptr_array_unref(s->dirty);
	g_ptr_array_unref(s->open);
	g_hash_table_unref(s->exec);
	g_free(s);
}

void scheduler_set_helpers(struct scheduler *s, uint32_t n)
{
	s->helpers = n;
}

void scheduler_grant_until(struct scheduler *s, int64_t until_ms)
{
	s->grant_until_ms = until_ms;
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

void scheduler_advised(struct scheduler *s, const char *step, const char *const *asked,
		       size_t n_asked, const struct ticket *ticket, size_t n_ticket,
		       int64_t valid_until_ms, bool answered, int64_t now_ms)
{
	char id[JOB_ID_LEN + 1];
	uint32_t occurrence;
	uint32_t number;
	uint32_t index;
	struct plan *p;
	struct plan_step *of;

	s->now_ms = now_ms;
	if (!plan_parse_name(step, id, &occurrence, &number, &index))
		return;
	p = book_find(s->book, id);
	of = p ? plan_step_number(p, occurrence, number) : NULL;
	if (!of || !of->advice)
		return;
	question_ends(s, of->advice);
	if (!answered) {
		of->advice->retry_ms = now_ms + ASK_RETRY_MS;
		return;
	}
	of->advice->answered = true;
	for (size_t i = 0; i < n_asked; i++) {
		const struct exec *e = g_hash_table_lookup(s->exec, asked[i]);
		const char *got = NULL;

		for (size_t k = 0; k < n_ticket; k++)
			if (g_str_equal(ticket[k].runner, asked[i]))
				got = ticket[k].ticket;
		if (e && got)
			advice_approve(of->advice, e->handle, got, valid_until_ms);
		else if (e)
			advice_deny(of->advice, e->handle);
	}
}

/* What stands in the log may be told to callers; jobs that have ended leave the list. */
static void show(struct scheduler *s)
{
	for (guint i = s->open->len; i > 0; i--) {
		struct plan *p = s->open->pdata[i - 1];

		if (p->written_batch && p->written_batch <= s->batch_acked)
			p->shown = p->written_state;
		if (plan_ended(p) && p->shown == p->state && !p->live && !p->dirty) {
			p->listed = false;
			g_ptr_array_remove_index(s->open, i - 1);
		}
	}
}

void scheduler_written(struct scheduler *s, uint64_t batch, int64_t now_ms)
{
	s->now_ms = now_ms;
	if (batch <= s->batch_acked)
		return;
	progress_written(s, batch);
	show(s);
	order_planned(s);
}

static void find_expired(void *ctx, struct plan *p)
{
	struct scheduler *s = ctx;

	if (plan_ended(p) && p->shown == p->state && !p->listed && !p->dirty &&
	    p->ended_ms + (int64_t)s->conf.status_keep_ms < s->wall_ms)
		s->ops->expire(s->ctx, p->id);
}

int64_t scheduler_tick(struct scheduler *s, int64_t now_ms, int64_t wall_ms)
{
	int64_t next = now_ms + IDLE_TICK_MS;

	s->now_ms = now_ms;
	s->wall_ms = wall_ms;
	if (s->fenced)
		return next;
	next = runners_check(s, next);
	pick_tasks(s);
	next = progress_write(s, next);
	if (now_ms >= s->expire_ms) {
		s->expire_ms = now_ms + EXPIRE_EVERY_MS;
		book_each(s->book, find_expired, s);
	}
	return next;
}
