#define G_LOG_DOMAIN "runners"

#include "crash.h"
#include "interference.h"
#include "lapse.h"
#include "scheduler_priv.h"

#define POLL_WAIT_MS	  1500 /* a poll waits this long for an end; the platform's limit is 2 s */
#define POLL_WAIT_MIN_MS  300  /* near an expected end, so that a lost reply is noticed soon */
#define POLL_ANSWER_MS	  400  /* on top of the wait: 24 ms round trip, and slow VMs */
#define POLL_IDLE_MS	  4000 /* between polls of an idle runner */
#define FIND_ADDRESS_MS	  200  /* between searches for a runner at the address of another */
#define LAPSING_POLL_MS	  200  /* between polls until the lease may be renewed again */
#define POLL_RETRY_MS	  150  /* added with each lost reply after the first */
#define POLL_RETRY_MAX_MS 1000
#define STOP_RETRY_MS	  700	/* between stop orders for one run */
#define LATE_START_MS	  12000 /* the platform's runners may carry out an order this late */
#define SILENT_POLLS	  3	/* polls in a row without a reply; single ones get lost */
/*
 * A runner that started longer ago has no lease from an order to an earlier incarnation. Such
 * orders are sent until the restart is noticed (POLL_IDLE_MS, and polls without a reply), carried
 * out up to LATE_START_MS later, and grant at most lease_cap_ms. 10 s allow for wall clocks.
 */
#define YOUNG_MS 40000

/* Leases granted by earlier schedulers may still be valid on the runner. */
static struct cell_runner *create_incarnation(struct scheduler *s, const struct runner_info *info)
{
	struct cell_runner *rn = cell_runner_create(info, s->next_handle++);

	rn->next_poll_ms = s->now_ms;
	rn->granted_until_ms = lapse_inherited_end_ms(s, rn);
	lapse_add_runner(s, rn);
	return rn;
}

struct cell_runner *runners_add(struct scheduler *s, const struct runner_info *info)
{
	struct cell_runner *rn = create_incarnation(s, info);

	g_hash_table_replace(s->runners, rn->id, rn);
	return rn;
}

/*
 * Runs of the old incarnation have ended. But a start order may have reached the new one, so each
 * run is moved there until a poll shows whether it exists. A run whose order had no answer is
 * stopped, as the order may still arrive.
 */
static void move_run(struct scheduler *s, struct run *r, struct cell_runner *to)
{
	crash_note(r->runner, r, LOSS_RESTARTED);
	cell_runner_detach_run(r->runner, r);
	cell_runner_add_run(to, r);
	/* The next scheduler has to find this incarnation in the log. */
	scheduler_mark_dirty(s, r->job);
	if (r->state == RUN_CONFIRMED && r->start_orders <= 1)
		return;
	r->state = RUN_UNCONFIRMED;
	r->stopping = true;
	r->stop_sent_ms = 0;
	r->stop_answered_ms = 0;
}

/*
 * A start for the old incarnation may reach the new one, with a deadline by the old clock, so its
 * lease lasts up to lease_cap_ms. A start without an answer may arrive LATE_START_MS later.
 */
static int64_t restart_wait_ms(const struct scheduler *s, const struct cell_runner *rn)
{
	bool unconfirmed = false;

	for (guint i = 0; i < rn->runs->len; i++)
		unconfirmed = unconfirmed ||
			      ((const struct run *)rn->runs->pdata[i])->state == RUN_UNCONFIRMED;
	return cell_runner_lease_bound_ms(s->conf.lease_cap_ms) + (unconfirmed ? LATE_START_MS : 0);
}

/* info may point into rn. */
static void replace_incarnation(struct scheduler *s, struct cell_runner *rn,
				const struct runner_info *info)
{
	struct cell_runner *fresh = create_incarnation(s, info);
	const struct decision d = { .kind = DECISION_RUNNER_RESTARTED,
				    .runner = rn->id,
				    .age_ms = s->now_ms - rn->answered_ms,
				    .incarnation_ms = info->incarnation_ms,
				    .old_incarnation_ms = rn->incarnation_ms };

	scheduler_report(s, &d);
	while (rn->runs->len) {
		struct run *r = rn->runs->pdata[rn->runs->len - 1];

		if (r->state == RUN_PLANNED)
			scheduler_lose_run(s, r, LOSS_RESTARTED);
		else
			move_run(s, r, fresh);
	}
	fresh->restarted = true;
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
	if (info->incarnation_ms > rn->incarnation_ms && rn->incarnation_ms)
		replace_incarnation(s, rn, info);
	else if (info->incarnation_ms == rn->incarnation_ms || !rn->incarnation_ms)
		cell_runner_update(rn, info);
}

void scheduler_runner_gone(struct scheduler *s, const char *id, int64_t now_ms)
{
	struct cell_runner *rn = g_hash_table_lookup(s->runners, id);

	s->now_ms = now_ms;
	if (rn)
		rn->gone = true;
}

/*
 * Longest lease at the first contact. An order that was meant for an earlier incarnation has a
 * deadline by the earlier clock, which is far in the future by the new one's.
 */
static int64_t first_lease_ms(const struct scheduler *s, const struct cell_runner *rn)
{
	bool young = s->wall_ms - rn->incarnation_ms < YOUNG_MS || !rn->incarnation_ms;

	return young || rn->restarted ? s->conf.lease_cap_ms : s->conf.lease_ms;
}

/*
 * A new incarnation may be of another kind: with other labels, and less capacity. It has none until
 * the platform lists it.
 */
static void runner_restarted(struct scheduler *s, struct cell_runner *rn, int64_t incarnation_ms)
{
	const struct runner_info info = { .id = rn->id,
					  .address = rn->address,
					  .service = rn->service,
					  .dc = rn->dc,
					  .incarnation_ms = incarnation_ms };

	replace_incarnation(s, rn, &info);
}

/*
 * Another runner answers at the address, so this one has ended, and with it its runs. The entry of
 * the platform's list may be older than that.
 */
static void runner_replaced(struct scheduler *s, struct cell_runner *rn)
{
	/* The entry of a runner that has ended may be listed again. */
	if (rn->contacted)
		scheduler_report_runner(s, DECISION_RUNNER_REPLACED, rn,
					s->now_ms - rn->answered_ms);
	rn->replaced = true;
	rn->gone = true;
	while (rn->runs->len)
		scheduler_lose_run(s, rn->runs->pdata[rn->runs->len - 1], LOSS_REPLACED);
}

void scheduler_poll_answered(struct scheduler *s, const char *runner, uint64_t poll_id,
			     const struct poll_reply *reply, int64_t now_ms)
{
	struct cell_runner *rn = g_hash_table_lookup(s->runners, runner);
	int64_t sent_ms;

	s->now_ms = now_ms;
	if (!rn)
		return;
	/* This poll was sent to an older incarnation; the current one has its own in flight. */
	if (poll_id != rn->poll_id)
		return;
	if (reply && reply->fenced) {
		scheduler_fenced(s, runner);
		return;
	}
	sent_ms = rn->poll_sent_ms;
	rn->polling = false;
	rn->next_poll_ms = now_ms;
	if (reply && reply->incarnation_ms > rn->incarnation_ms && rn->incarnation_ms) {
		runner_restarted(s, rn, reply->incarnation_ms);
		return;
	}
	if (reply && reply->other_incarnation) {
		runner_replaced(s, rn);
		return;
	}
	if (!reply || reply->incarnation_ms < rn->incarnation_ms) {
		rn->misses++;
		rn->next_poll_ms =
			now_ms + MIN((int64_t)POLL_RETRY_MS * (rn->misses - 1), POLL_RETRY_MAX_MS);
		return;
	}
	if (!rn->incarnation_ms)
		rn->incarnation_ms = reply->incarnation_ms;
	if (rn->misses >= SILENT_POLLS)
		scheduler_report_runner(s, DECISION_RUNNER_RECOVERED, rn, now_ms - rn->answered_ms);
	if (!rn->contacted)
		cell_runner_first_contact(rn, first_lease_ms(s, rn), now_ms);
	cell_runner_answered(rn, reply->clock_ms, now_ms);
	poll_read_reply(s, rn, reply, sent_ms);
}

/* Halfway between now and the estimated end of the run. */
static int64_t wait_for_end_until(const struct scheduler *s, const struct run *r)
{
	const Cell__Step *spec = cell_job_step_of(r->job, r->task)->spec;
	int64_t remaining_ms = r->confirmed_ms + spec->estimate_ms - s->now_ms;

	if (r->state != RUN_CONFIRMED || spec->lasting)
		return s->now_ms + POLL_WAIT_MS;
	return s->now_ms + MAX(remaining_ms / 2, POLL_WAIT_MIN_MS);
}

/*
 * Returns how long a poll may wait for an end. The wait is short near an expected end, so that a
 * lost reply delays the following steps only a little. It is over when the next poll could prove
 * that a run is gone.
 */
static uint32_t poll_wait(const struct scheduler *s, const struct cell_runner *rn)
{
	int64_t until_ms =
		s->now_ms + (interference_is_shared(rn) ? INTERFERENCE_POLL_WAIT_MS : POLL_WAIT_MS);

	for (guint i = 0; i < rn->runs->len; i++) {
		const struct run *r = rn->runs->pdata[i];

		until_ms = MIN(until_ms, wait_for_end_until(s, r));
		until_ms = MIN(until_ms, poll_proof_ms(s, r));
	}
	return (uint32_t)MAX(until_ms - s->now_ms, 0);
}

static bool is_idle(const struct scheduler *s, const struct cell_runner *rn)
{
	return rn->runs->len == 0 && !rn->has_unread_runs && rn->unexpected_until_ms <= s->now_ms;
}

static void send_poll(struct scheduler *s, struct cell_runner *rn)
{
	struct poll_order order = { .poll_id = ++s->last_poll_id,
				    .route = runs_route(rn, 0),
				    .fence_seq = rn->handle,
				    .runner = rn->id,
				    .address = rn->address };
	bool unwritten = rn->unacked_end_batch > s->batch_acked;

	if (!unwritten)
		rn->acked_end = rn->unacked_end;
	order.acked_end = rn->acked_end;
	if (rn->contacted && rn->misses == 0 && !unwritten && !rn->has_unread_runs && !rn->lapsing)
		order.wait_ms = is_idle(s, rn) ? 0 : poll_wait(s, rn);
	/* A silent runner may still receive polls: don't renew its lease, so that it runs out. */
	if ((rn->runs->len || rn->has_unread_runs) && rn->misses == 0 && !rn->lapsing &&
	    s->now_ms <= s->grant_until_ms)
		order.deadline_ms = cell_runner_grant_lease(rn, s->conf.lease_ms, s->now_ms);
	order.timeout_ms = order.wait_ms + POLL_ANSWER_MS;
	rn->polling = true;
	rn->poll_id = order.poll_id;
	rn->poll_sent_ms = s->now_ms;
	s->ops->poll(s->ctx, &order);
}

/*
 * A poll acknowledges ends, so it waits until they are in the log, unless the lease has to be
 * renewed first.
 */
static int64_t poll_due(const struct scheduler *s, const struct cell_runner *rn)
{
	if (!rn->contacted || rn->misses)
		return rn->next_poll_ms;
	if (rn->lapsing)
		return rn->next_poll_ms + LAPSING_POLL_MS;
	if (rn->unacked_end_batch > s->batch_acked)
		return MAX(rn->next_poll_ms, rn->granted_until_ms - s->conf.lease_ms / 2);
	if (is_idle(s, rn) && rn->acked_end == rn->unacked_end)
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

/* The leases of the runner have ended, and with them its runs. */
static void lose_lapsed(struct scheduler *s, struct cell_runner *rn)
{
	for (guint i = rn->runs->len; i > 0; i--) {
		struct run *r = rn->runs->pdata[i - 1];

		if (r->state == RUN_PLANNED)
			continue;
		scheduler_lose_run(s, r, LOSS_LEASE_ENDED);
	}
}

/*
 * The platform removes the entry of a runner that has ended, so a new scheduler may not know its
 * address. Another runner may be listed there by now: its answer proves the end.
 */
static void find_address(struct scheduler *s, struct cell_runner *rn, int64_t *next)
{
	GHashTableIter it;
	gpointer value;

	if (rn->address || !rn->host || rn->runs->len == 0)
		return;
	if (rn->next_poll_ms <= s->now_ms) {
		rn->next_poll_ms = s->now_ms + FIND_ADDRESS_MS;
		g_hash_table_iter_init(&it, s->runners);
		while (!rn->address && g_hash_table_iter_next(&it, NULL, &value)) {
			const struct cell_runner *other = value;

			if (other->host == rn->host && other->address)
				cell_runner_set_address(rn, other->address, other->dc);
		}
	}
	*next = MIN(*next, rn->next_poll_ms);
}

/* Returns true if the runner can be removed. */
static bool check_runner(struct scheduler *s, struct cell_runner *rn, int64_t *next)
{
	int64_t due;

	if (rn->runs->len && cell_runner_leases_lapsed(rn, s->now_ms))
		lose_lapsed(s, rn);
	else if (rn->runs->len && (rn->misses || !rn->contacted))
		*next = MIN(*next, rn->granted_until_ms + 1);
	if (rn->gone && rn->runs->len == 0 && rn->unacked_end_batch <= s->batch_acked)
		return true;
	check_runs(s, rn, next);
	*next = lapse_check(s, rn, *next);
	find_address(s, rn, next);
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
		if (check_runner(s, value, &next_ms))
			g_hash_table_iter_remove(&it);
	return next_ms;
}
