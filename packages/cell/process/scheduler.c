#define G_LOG_DOMAIN "scheduler"

#include <string.h>

#include "scheduler_priv.h"

#define LOOK_WAIT_MS	  1500 /* a look waits for an end that long; below the platform's 2 s */
#define LOOK_WAIT_MIN_MS  300  /* near an end, so that a look without an answer is noticed soon */
#define LOOK_ANSWER_MS	  400  /* beyond its wait: 24 ms there and back, and a slow VM */
#define LOOK_IDLE_MS	  4000 /* between looks at a runner on which nothing runs */
#define LOOK_RETRY_MS	  150  /* after the second look without an answer; grows with each */
#define LOOK_RETRY_MAX_MS 1000
#define STOP_RETRY_MS	  700  /* a stop without an answer is sent again after that */
#define ASK_RETRY_MS	  200  /* after the advisor did not answer */
#define ORDER_WAY_MS	  60   /* of a start to its runner: two regions, and the node between */
#define EXPIRE_EVERY_MS	  5000 /* between searches for jobs to drop */
#define SILENT_MISSES	  3    /* looks in a row without an answer; single ones get lost */
#define IDLE_TICK_MS	  1000

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

/* Leases there have ended, and the runs that were ordered with them. */
static void lose_lapsed(struct scheduler *s, struct exec *e)
{
	for (guint i = e->run->len; i > 0; i--) {
		struct run *r = e->run->pdata[i - 1];

		if (r->state == RUN_PLANNED)
			continue;
		scheduler_lose_run(s, r);
	}
}

static struct exec *add_exec(struct scheduler *s, const struct runner_info *info)
{
	struct exec *e = exec_create(info, s->next_handle++);

	e->look_ms = s->now_ms;
	e->granted_until_ms = s->now_ms + s->conf.inherited_ms;
	g_hash_table_replace(s->exec, e->id, e);
	return e;
}

/*
 * What ran in the old life is over. But an order may have come to the new one already, so each run
 * moves there until a look tells; one without an answer is stopped, since it may yet come.
 */
static void move_run(struct scheduler *s, struct run *r, struct exec *to)
{
	exec_steal(r->exec, r);
	exec_take(to, r);
	/* The log has to tell the next scheduler of this life. */
	scheduler_mark(s, r->plan);
	if (r->state == RUN_ON && r->orders <= 1)
		return;
	r->state = RUN_DOUBT;
	r->stopping = true;
	r->stop_sent_ms = 0;
	r->stop_answered_ms = 0;
}

/* info may point into the old life. */
static void new_life(struct scheduler *s, struct exec *e, const struct runner_info *info)
{
	struct exec *fresh = exec_create(info, s->next_handle++);

	scheduler_tell_runner(s, DECISION_RUNNER_BORN, e, s->now_ms - e->answered_ms);
	fresh->look_ms = s->now_ms;
	fresh->granted_until_ms = s->now_ms + s->conf.inherited_ms;
	while (e->run->len) {
		struct run *r = e->run->pdata[e->run->len - 1];

		if (r->state == RUN_PLANNED)
			scheduler_lose_run(s, r);
		else
			move_run(s, r, fresh);
	}
	g_hash_table_replace(s->exec, fresh->id, fresh);
}

void scheduler_runner(struct scheduler *s, const struct runner_info *info, int64_t now_ms)
{
	struct exec *e = g_hash_table_lookup(s->exec, info->id);

	s->now_ms = now_ms;
	if (!e) {
		add_exec(s, info);
		return;
	}
	if (info->born_ms > e->born_ms && e->born_ms)
		new_life(s, e, info);
	else if (info->born_ms == e->born_ms || !e->born_ms)
		exec_update(e, info);
}

void scheduler_runner_gone(struct scheduler *s, const char *id, int64_t now_ms)
{
	struct exec *e = g_hash_table_lookup(s->exec, id);

	s->now_ms = now_ms;
	if (e)
		e->gone = true;
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

		e = add_exec(s, &unknown);
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
}

void scheduler_job_dropped(struct scheduler *s, struct plan *p)
{
	while (p->live) {
		for (uint32_t i = 0; i < p->n_task; i++)
			if (p->task[i].live)
				scheduler_drop_run(s, p->task[i].live);
	}
	for (uint32_t i = 0; i < p->n_step; i++) {
		if (p->step[i].advice && p->step[i].advice->asking)
			s->asking_us -= p->step[i].advice->cost_us;
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
	s->wall_ms = g_get_real_time() / 1000;
	s->batch_next = 1;
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

void scheduler_looked(struct scheduler *s, const char *runner, const struct look *look,
		      int64_t now_ms)
{
	struct exec *e = g_hash_table_lookup(s->exec, runner);
	int64_t sent_ms;

	s->now_ms = now_ms;
	if (!e)
		return;
	sent_ms = e->look_sent_ms;
	e->looking = false;
	e->look_ms = now_ms;
	if (look && look->fenced) {
		scheduler_fenced(s, runner);
		return;
	}
	if (look && look->born_ms > e->born_ms && e->born_ms) {
		struct runner_info info = { .id = runner,
					    .address = e->address,
					    .service = e->service,
					    .zone = e->zone,
					    .rack = e->rack,
					    .room = e->room,
					    .born_ms = look->born_ms };

		for (int i = 0; i < EXEC_LABELS_MAX; i++)
			info.label[i] = e->label[i];
		new_life(s, e, &info);
		return;
	}
	if (!look || look->other || look->born_ms < e->born_ms) {
		e->misses++;
		e->look_ms =
			now_ms + MIN((int64_t)LOOK_RETRY_MS * (e->misses - 1), LOOK_RETRY_MAX_MS);
		return;
	}
	if (!e->born_ms)
		e->born_ms = look->born_ms;
	if (e->misses >= SILENT_MISSES)
		scheduler_tell_runner(s, DECISION_RUNNER_BACK, e, now_ms - e->answered_ms);
	if (!e->contacted)
		exec_reached(e, s->conf.lease_ms, now_ms);
	exec_answered(e, look->clock_ms, now_ms);
	looks_read(s, e, look, sent_ms);
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
	if (of->advice->asking) {
		of->advice->asking = false;
		s->asking_us -= of->advice->cost_us;
	}
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

		if (p->written_batch == s->batch_acked)
			p->shown = p->written_state;
		if (plan_ended(p) && p->shown == p->state && !p->live && !p->dirty) {
			p->listed = false;
			g_ptr_array_remove_index(s->open, i - 1);
		}
	}
}

/* With a slow store the intent may take longer than the ticket lasts. */
static bool ticket_over(const struct scheduler *s, const struct run *r)
{
	return r->ticket && r->ticket_until_ms < s->now_ms + ORDER_WAY_MS;
}

void scheduler_written(struct scheduler *s, uint64_t batch, int64_t now_ms)
{
	s->now_ms = now_ms;
	s->writing = false;
	s->batch_acked = batch;
	show(s);
	for (guint i = s->planned->len; i > 0; i--) {
		struct run *r = s->planned->pdata[i - 1];

		if (!r->batch || r->batch > batch)
			continue;
		g_ptr_array_remove_index_fast(s->planned, i - 1);
		if (r->stopping || !scheduler_usable(s, r->exec) || ticket_over(s, r))
			runs_refused(s, r, 0);
		else
			runs_order_start(s, r);
	}
}

/* Half of the time until the run is likely to end. */
static int64_t end_expected(const struct scheduler *s, const struct run *r)
{
	const Cell__Step *spec = plan_step_of(r->plan, r->task)->spec;
	int64_t left_ms = r->on_ms + spec->estimate_ms - s->now_ms;

	if (r->state != RUN_ON || spec->lasting)
		return s->now_ms + LOOK_WAIT_MS;
	return s->now_ms + MAX(left_ms / 2, LOOK_WAIT_MIN_MS);
}

/*
 * How long a look may wait for an end. Near an end it is short, so that a look whose answer is lost
 * delays what comes after by little; and no longer than until the next one could prove something.
 */
static uint32_t look_wait(const struct scheduler *s, const struct exec *e)
{
	int64_t until_ms = s->now_ms + LOOK_WAIT_MS;

	for (guint i = 0; i < e->run->len; i++) {
		const struct run *r = e->run->pdata[i];

		until_ms = MIN(until_ms, end_expected(s, r));
		until_ms = MIN(until_ms, looks_proof_ms(s, r));
	}
	return (uint32_t)MAX(until_ms - s->now_ms, 0);
}

static void send_look(struct scheduler *s, struct exec *e)
{
	struct look_order order = { .route = runs_route(e, 0),
				    .runner = e->id,
				    .address = e->address };
	bool unwritten = e->seen_batch > s->batch_acked;

	if (!unwritten)
		e->seen = e->seen_next;
	order.seen = e->seen;
	if (e->contacted && e->misses == 0 && !unwritten)
		order.wait_ms = e->run->len ? look_wait(s, e) : 0;
	/* One that does not answer may get every look: its lease has to be let run out. */
	if (e->run->len && e->misses == 0)
		order.deadline_ms = exec_grant(e, s->conf.lease_ms, s->now_ms);
	order.timeout_ms = order.wait_ms + LOOK_ANSWER_MS;
	e->looking = true;
	e->look_sent_ms = s->now_ms;
	s->ops->look(s->ctx, &order);
}

/* Ends have to be in the store before the runner may forget them; the lease goes on meanwhile. */
static int64_t look_due(const struct scheduler *s, const struct exec *e)
{
	if (!e->contacted || e->misses)
		return e->look_ms;
	if (e->seen_batch > s->batch_acked)
		return MAX(e->look_ms, e->granted_until_ms - s->conf.lease_ms / 2);
	if (e->run->len == 0 && e->seen == e->seen_next)
		return e->look_ms + LOOK_IDLE_MS;
	return e->look_ms;
}

static void check_runs(struct scheduler *s, struct exec *e, int64_t *next)
{
	for (guint i = 0; i < e->run->len; i++) {
		struct run *r = e->run->pdata[i];

		if (!r->stopping || r->stop_answered_ms || r->state == RUN_PLANNED ||
		    r->state == RUN_SENT)
			continue;
		if (s->now_ms - r->stop_sent_ms >= STOP_RETRY_MS)
			runs_order_stop(s, r);
		*next = MIN(*next, r->stop_sent_ms + STOP_RETRY_MS);
	}
}

/* True if the runner is to be forgotten. */
static bool check_exec(struct scheduler *s, struct exec *e, int64_t *next)
{
	int64_t due;

	if (e->run->len && exec_lapsed(e, s->now_ms))
		lose_lapsed(s, e);
	if (e->gone && e->run->len == 0 && e->seen_batch <= s->batch_acked)
		return true;
	check_runs(s, e, next);
	if (e->looking || !e->address)
		return false;
	due = look_due(s, e);
	if (due <= s->now_ms)
		send_look(s, e);
	else
		*next = MIN(*next, due);
	return false;
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
	GHashTableIter it;
	gpointer value;

	s->now_ms = now_ms;
	s->wall_ms = wall_ms;
	if (s->fenced)
		return next;
	g_hash_table_iter_init(&it, s->exec);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (check_exec(s, value, &next))
			g_hash_table_iter_remove(&it);
	pick_tasks(s);
	progress_write(s);
	if (now_ms >= s->expire_ms) {
		s->expire_ms = now_ms + EXPIRE_EVERY_MS;
		book_each(s->book, find_expired, s);
	}
	return next;
}

void scheduler_sums(const struct scheduler *s, struct scheduler_sums *sums)
{
	GHashTableIter it;
	gpointer value;

	*sums = s->sums;
	sums->open_jobs = s->open->len;
	sums->runners = g_hash_table_size(s->exec);
	g_hash_table_iter_init(&it, s->exec);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct exec *e = value;

		sums->runs += e->run->len;
		sums->silent_runners += e->misses > 0 || !e->contacted;
	}
}

static void add_to_pool(GArray *pools, const struct exec *e)
{
	struct scheduler_pool fresh = { .service = e->service };
	struct scheduler_pool *p = NULL;

	for (guint i = 0; i < pools->len && !p; i++) {
		p = &g_array_index(pools, struct scheduler_pool, i);
		if (!g_str_equal(p->service, e->service))
			p = NULL;
	}
	if (!p) {
		g_array_append_val(pools, fresh);
		p = &g_array_index(pools, struct scheduler_pool, pools->len - 1);
	}
	p->runners++;
	amount_add(&p->room, &e->room);
	amount_add(&p->used, &e->used);
}

void scheduler_each_pool(const struct scheduler *s,
			 void (*fn)(void *ctx, const struct scheduler_pool *pool), void *ctx)
{
	g_autoptr(GArray) pools = g_array_new(FALSE, FALSE, sizeof(struct scheduler_pool));
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->exec);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct exec *e = value;

		if (e->service && scheduler_usable(s, e))
			add_to_pool(pools, e);
	}
	for (guint i = 0; i < pools->len; i++)
		fn(ctx, &g_array_index(pools, struct scheduler_pool, i));
}
