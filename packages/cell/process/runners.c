#define G_LOG_DOMAIN "runners"

#include "scheduler_priv.h"

#define LOOK_WAIT_MS	  1500 /* a look waits for an end that long; below the platform's 2 s */
#define LOOK_WAIT_MIN_MS  300  /* near an end, so that a look without an answer is noticed soon */
#define LOOK_ANSWER_MS	  400  /* beyond its wait: 24 ms there and back, and a slow VM */
#define LOOK_IDLE_MS	  4000 /* between looks at a runner on which nothing runs */
#define LOOK_RETRY_MS	  150  /* after the second look without an answer; grows with each */
#define LOOK_RETRY_MAX_MS 1000
#define STOP_RETRY_MS	  700	/* a stop without an answer is sent again after that */
#define ORDER_LATE_MS	  12000 /* the platform's runners carry out orders up to that late */
#define SILENT_MISSES	  3	/* looks in a row without an answer; single ones get lost */

/* Leases that earlier schedulers have granted may last on it. */
static struct exec *fresh_life(struct scheduler *s, const struct runner_info *info)
{
	struct exec *e = exec_create(info, s->next_handle++);

	e->look_ms = s->now_ms;
	e->granted_until_ms = s->inherited_until_ms;
	return e;
}

struct exec *runners_add(struct scheduler *s, const struct runner_info *info)
{
	struct exec *e = fresh_life(s, info);

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
	scheduler_mark(s, r->job);
	if (r->state == RUN_ON && r->orders <= 1)
		return;
	r->state = RUN_DOUBT;
	r->stopping = true;
	r->stop_sent_ms = 0;
	r->stop_answered_ms = 0;
}

/*
 * An order for the old life may come to the new one, and its deadline is of the old clock. One
 * without an answer may come that late.
 */
static int64_t reborn_wait_ms(const struct scheduler *s, const struct exec *e)
{
	bool doubt = false;

	for (guint i = 0; i < e->run->len; i++)
		doubt = doubt || ((const struct run *)e->run->pdata[i])->state == RUN_DOUBT;
	return exec_lease_most_ms(s->conf.lease_cap_ms) + (doubt ? ORDER_LATE_MS : 0);
}

/* info may point into the old life. */
static void new_life(struct scheduler *s, struct exec *e, const struct runner_info *info)
{
	struct exec *fresh = fresh_life(s, info);

	scheduler_tell_runner(s, DECISION_RUNNER_BORN, e, s->now_ms - e->answered_ms);
	while (e->run->len) {
		struct run *r = e->run->pdata[e->run->len - 1];

		if (r->state == RUN_PLANNED)
			scheduler_lose_run(s, r);
		else
			move_run(s, r, fresh);
	}
	fresh->granted_until_ms =
		MAX(fresh->granted_until_ms, s->now_ms + reborn_wait_ms(s, fresh));
	g_hash_table_replace(s->exec, fresh->id, fresh);
}

void scheduler_runner(struct scheduler *s, const struct runner_info *info, int64_t now_ms)
{
	struct exec *e = g_hash_table_lookup(s->exec, info->id);

	s->now_ms = now_ms;
	if (!e) {
		runners_add(s, info);
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

void scheduler_looked(struct scheduler *s, const char *runner, uint64_t no, const struct look *look,
		      int64_t now_ms)
{
	struct exec *e = g_hash_table_lookup(s->exec, runner);
	int64_t sent_ms;

	s->now_ms = now_ms;
	if (!e)
		return;
	if (look && look->fenced) {
		scheduler_fenced(s, runner);
		return;
	}
	/* One that was sent in an older life; that life's successor has a look of its own under
	 * way. */
	if (no != e->look_no)
		return;
	sent_ms = e->look_sent_ms;
	e->looking = false;
	e->look_ms = now_ms;
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

/* Half of the time until the run is likely to end. */
static int64_t end_expected(const struct scheduler *s, const struct run *r)
{
	const Cell__Step *spec = cell_job_step_of(r->job, r->task)->spec;
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
	struct look_order order = { .no = ++s->last_look,
				    .route = runs_route(e, 0),
				    .runner = e->id,
				    .address = e->address };
	bool unwritten = e->seen_batch > s->batch_acked;

	if (!unwritten)
		e->seen = e->seen_next;
	order.seen = e->seen;
	if (e->contacted && e->misses == 0 && !unwritten)
		order.wait_ms = e->run->len ? look_wait(s, e) : 0;
	/* One that does not answer may get every look: its lease has to be let run out. */
	if (e->run->len && e->misses == 0 && s->now_ms <= s->grant_until_ms)
		order.deadline_ms = exec_grant(e, s->conf.lease_ms, s->now_ms);
	order.timeout_ms = order.wait_ms + LOOK_ANSWER_MS;
	e->looking = true;
	e->look_no = order.no;
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

int64_t runners_check(struct scheduler *s, int64_t next_ms)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->exec);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (check_exec(s, value, &next_ms))
			g_hash_table_iter_remove(&it);
	return next_ms;
}
