#define G_LOG_DOMAIN "runners"

#include "scheduler_priv.h"

#define POLL_WAIT_MS	  1500 /* a look waits for an end that long; below the platform's 2 s */
#define POLL_WAIT_MIN_MS  300  /* near an end, so that a look without an answer is noticed soon */
#define POLL_ANSWER_MS	  400  /* beyond its wait: 24 ms there and back, and a slow VM */
#define POLL_IDLE_MS	  4000 /* between looks at a runner on which nothing runs */
#define POLL_RETRY_MS	  150  /* after the second look without an answer; grows with each */
#define POLL_RETRY_MAX_MS 1000
#define STOP_RETRY_MS	  700	/* a stop without an answer is sent again after that */
#define LATE_START_MS	  12000 /* the platform's runners carry out orders up to that late */
#define SILENT_POLLS	  3	/* looks in a row without an answer; single ones get lost */

/* Leases that earlier schedulers have granted may last on it. */
static struct cell_runner *create_incarnation(struct scheduler *s, const struct runner_info *info)
{
	struct cell_runner *rn = cell_runner_create(info, s->next_handle++);

	rn->next_poll_ms = s->now_ms;
	rn->granted_until_ms = s->inherited_until_ms;
	return rn;
}

struct cell_runner *runners_add(struct scheduler *s, const struct runner_info *info)
{
	struct cell_runner *rn = create_incarnation(s, info);

	g_hash_table_replace(s->runners, rn->id, rn);
	return rn;
}

/*
 * What ran in the old life is over. But an order may have come to the new one already, so each run
 * moves there until a look tells; one without an answer is stopped, since it may yet come.
 */
static void move_run(struct scheduler *s, struct run *r, struct cell_runner *to)
{
	cell_runner_detach_run(r->runner, r);
	cell_runner_add_run(to, r);
	/* The log has to tell the next scheduler of this life. */
	scheduler_mark_dirty(s, r->job);
	if (r->state == RUN_CONFIRMED && r->start_orders <= 1)
		return;
	r->state = RUN_UNCONFIRMED;
	r->stopping = true;
	r->stop_sent_ms = 0;
	r->stop_answered_ms = 0;
}

/*
 * An order for the old life may come to the new one, and its deadline is of the old clock. One
 * without an answer may come that late.
 */
static int64_t restart_wait_ms(const struct scheduler *s, const struct cell_runner *rn)
{
	bool doubt = false;

	for (guint i = 0; i < rn->runs->len; i++)
		doubt = doubt || ((const struct run *)rn->runs->pdata[i])->state == RUN_UNCONFIRMED;
	return cell_runner_lease_bound_ms(s->conf.lease_cap_ms) + (doubt ? LATE_START_MS : 0);
}

/* info may point into the old life. */
static void replace_incarnation(struct scheduler *s, struct cell_runner *rn,
				const struct runner_info *info)
{
	struct cell_runner *fresh = create_incarnation(s, info);

	scheduler_report_runner(s, DECISION_RUNNER_RESTARTED, rn, s->now_ms - rn->answered_ms);
	while (rn->runs->len) {
		struct run *r = rn->runs->pdata[rn->runs->len - 1];

		if (r->state == RUN_PLANNED)
			scheduler_lose_run(s, r);
		else
			move_run(s, r, fresh);
	}
	fresh->granted_until_ms =
		MAX(fresh->granted_until_ms, s->now_ms + restart_wait_ms(s, fresh));
	g_hash_table_replace(s->runners, fresh->id, fresh);
}

void scheduler_update_runner(struct scheduler *s, const struct runner_info *info, int64_t now_ms)
{
	struct cell_runner *rn = g_hash_table_lookup(s->runners, info->id);

	s->now_ms = now_ms;
	if (!rn) {
		runners_add(s, info);
		return;
	}
	if (info->born_ms > rn->born_ms && rn->born_ms)
		replace_incarnation(s, rn, info);
	else if (info->born_ms == rn->born_ms || !rn->born_ms)
		cell_runner_update(rn, info);
}

void scheduler_runner_gone(struct scheduler *s, const char *id, int64_t now_ms)
{
	struct cell_runner *rn = g_hash_table_lookup(s->runners, id);

	s->now_ms = now_ms;
	if (rn)
		rn->gone = true;
}

void scheduler_poll_answered(struct scheduler *s, const char *runner, uint64_t no,
			     const struct poll_reply *reply, int64_t now_ms)
{
	struct cell_runner *rn = g_hash_table_lookup(s->runners, runner);
	int64_t sent_ms;

	s->now_ms = now_ms;
	if (!rn)
		return;
	if (reply && reply->fenced) {
		scheduler_fenced(s, runner);
		return;
	}
	/* One that was sent in an older life; that life's successor has a look of its own under
	 * way. */
	if (no != rn->poll_id)
		return;
	sent_ms = rn->poll_sent_ms;
	rn->polling = false;
	rn->next_poll_ms = now_ms;
	if (reply && reply->born_ms > rn->born_ms && rn->born_ms) {
		struct runner_info info = { .id = runner,
					    .address = rn->address,
					    .service = rn->service,
					    .dc = rn->dc,
					    .rack = rn->rack,
					    .capacity = rn->capacity,
					    .born_ms = reply->born_ms };

		for (int i = 0; i < RUNNER_LABELS_MAX; i++)
			info.label[i] = rn->label[i];
		replace_incarnation(s, rn, &info);
		return;
	}
	if (!reply || reply->other_incarnation || reply->born_ms < rn->born_ms) {
		rn->misses++;
		rn->next_poll_ms =
			now_ms + MIN((int64_t)POLL_RETRY_MS * (rn->misses - 1), POLL_RETRY_MAX_MS);
		return;
	}
	if (!rn->born_ms)
		rn->born_ms = reply->born_ms;
	if (rn->misses >= SILENT_POLLS)
		scheduler_report_runner(s, DECISION_RUNNER_RECOVERED, rn, now_ms - rn->answered_ms);
	if (!rn->contacted)
		cell_runner_first_contact(rn, s->conf.lease_ms, now_ms);
	cell_runner_answered(rn, reply->clock_ms, now_ms);
	poll_read_reply(s, rn, reply, sent_ms);
}

/* Half of the time until the run is likely to end. */
static int64_t end_expected(const struct scheduler *s, const struct run *r)
{
	const Cell__Step *spec = cell_job_step_of(r->job, r->task)->spec;
	int64_t left_ms = r->confirmed_ms + spec->estimate_ms - s->now_ms;

	if (r->state != RUN_CONFIRMED || spec->lasting)
		return s->now_ms + POLL_WAIT_MS;
	return s->now_ms + MAX(left_ms / 2, POLL_WAIT_MIN_MS);
}

/*
 * How long a look may wait for an end. Near an end it is short, so that a look whose answer is lost
 * delays what comes after by little; and no longer than until the next one could prove something.
 */
static uint32_t poll_wait(const struct scheduler *s, const struct cell_runner *rn)
{
	int64_t until_ms = s->now_ms + POLL_WAIT_MS;

	for (guint i = 0; i < rn->runs->len; i++) {
		const struct run *r = rn->runs->pdata[i];

		until_ms = MIN(until_ms, end_expected(s, r));
		until_ms = MIN(until_ms, poll_proof_ms(s, r));
	}
	return (uint32_t)MAX(until_ms - s->now_ms, 0);
}

static void send_poll(struct scheduler *s, struct cell_runner *rn)
{
	struct poll_order order = { .poll_id = ++s->last_poll_id,
				    .route = runs_route(rn, 0),
				    .runner = rn->id,
				    .address = rn->address };
	bool unwritten = rn->unacked_end_batch > s->batch_acked;

	if (!unwritten)
		rn->acked_end = rn->unacked_end;
	order.acked_end = rn->acked_end;
	if (rn->contacted && rn->misses == 0 && !unwritten)
		order.wait_ms = rn->runs->len ? poll_wait(s, rn) : 0;
	/* One that does not answer may get every look: its lease has to be let run out. */
	if (rn->runs->len && rn->misses == 0 && s->now_ms <= s->grant_until_ms)
		order.deadline_ms = cell_runner_grant_lease(rn, s->conf.lease_ms, s->now_ms);
	order.timeout_ms = order.wait_ms + POLL_ANSWER_MS;
	rn->polling = true;
	rn->poll_id = order.poll_id;
	rn->poll_sent_ms = s->now_ms;
	s->ops->poll(s->ctx, &order);
}

/* Ends have to be in the store before the runner may forget them; the lease goes on meanwhile. */
static int64_t poll_due(const struct scheduler *s, const struct cell_runner *rn)
{
	if (!rn->contacted || rn->misses)
		return rn->next_poll_ms;
	if (rn->unacked_end_batch > s->batch_acked)
		return MAX(rn->next_poll_ms, rn->granted_until_ms - s->conf.lease_ms / 2);
	if (rn->runs->len == 0 && rn->acked_end == rn->unacked_end)
		return rn->next_poll_ms + POLL_IDLE_MS;
	return rn->next_poll_ms;
}

static void check_runs(struct scheduler *s, struct cell_runner *rn, int64_t *next)
{
	for (guint i = 0; i < rn->runs->len; i++) {
		struct run *r = rn->runs->pdata[i];

		if (!r->stopping || r->stop_answered_ms || r->state == RUN_PLANNED ||
		    r->state == RUN_SENT)
			continue;
		if (s->now_ms - r->stop_sent_ms >= STOP_RETRY_MS)
			runs_send_stop(s, r);
		*next = MIN(*next, r->stop_sent_ms + STOP_RETRY_MS);
	}
}

/* Leases there have ended, and the runs that were ordered with them. */
static void lose_lapsed(struct scheduler *s, struct cell_runner *rn)
{
	for (guint i = rn->runs->len; i > 0; i--) {
		struct run *r = rn->runs->pdata[i - 1];

		if (r->state == RUN_PLANNED)
			continue;
		scheduler_lose_run(s, r);
	}
}

/* True if the runner is to be forgotten. */
static bool check_exec(struct scheduler *s, struct cell_runner *rn, int64_t *next)
{
	int64_t due;

	if (rn->runs->len && cell_runner_leases_lapsed(rn, s->now_ms))
		lose_lapsed(s, rn);
	if (rn->gone && rn->runs->len == 0 && rn->unacked_end_batch <= s->batch_acked)
		return true;
	check_runs(s, rn, next);
	if (rn->polling || !rn->address)
		return false;
	due = poll_due(s, rn);
	if (due <= s->now_ms)
		send_poll(s, rn);
	else
		*next = MIN(*next, due);
	return false;
}

int64_t runners_check(struct scheduler *s, int64_t next_ms)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->runners);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (check_exec(s, value, &next_ms))
			g_hash_table_iter_remove(&it);
	return next_ms;
}
