#include "owner_priv.h"

struct runner_group *owner_group_of(struct owner *o, const struct work *w)
{
	return owner_group(o, w->slot ? w->service : OWNER_TASKS);
}

bool owner_queued_in_group(const struct work *w)
{
	return w->slot || w->class <= WORK_REQUEST;
}

static bool reject(struct owner *o, const struct work *w, enum refuse_reason reason,
		   uint32_t wait_ms, int64_t now_ms, struct status *st)
{
	static const struct {
		enum status_code code;
		const char *message;
	} reasons[REFUSE_REASONS] = {
		[REFUSE_NEVER_FITS] = { STATUS_INVALID, "larger than the largest worker" },
		[REFUSE_DEADLINE] = { STATUS_TIMEOUT, "can't end before its deadline" },
		[REFUSE_QUEUE_FULL] = { STATUS_FULL, "too much work is waiting" },
		[REFUSE_QUOTA] = { STATUS_FULL, "the team's quota doesn't allow it" },
		[REFUSE_CANCELLED] = { STATUS_CONFLICT, "cancelled" },
	};
	uint32_t retry_ms =
		reason == REFUSE_NEVER_FITS ? 0 : owner_retry_after_ms(o, w, wait_ms, now_ms);

	o->decisions++;
	o->ops->refuse(o->ctx, w->id, reason, retry_ms);
	return status_set(st, reasons[reason].code, "submit", NULL, "%s", reasons[reason].message);
}

static bool never_fits(const struct owner *o, const struct work *w)
{
	enum capacity_use use = w->slot			  ? CAPACITY_FOR_SLOT
				: w->class == WORK_URGENT ? CAPACITY_FOR_URGENT
							  : CAPACITY_FOR_ANY;

	return worker_index_never_fits(o->workers, &w->size, use) ||
	       (w->gang_size > 1 && worker_index_max_count(o->workers, &w->size) < w->gang_size);
}

/* True if the work exceeds the quota even while the team uses nothing. */
static bool over_quota(const struct fair_team *t, const struct res *size)
{
	struct fair_team idle = { .quota = t->quota };

	return !fair_within_quota(&idle, size);
}

static enum refuse_reason check_limits(struct owner *o, const struct work *w)
{
	const struct fair_team *t = fair_get_team(o->fair, w->team);

	if (never_fits(o, w) || (w->slot && w->service == OWNER_TASKS))
		return REFUSE_NEVER_FITS;
	if (over_quota(t, &w->size) ||
	    (owner_queued_in_group(w) && !fair_within_quota(t, &w->size)))
		return REFUSE_QUOTA;
	if (o->waiting >= o->conf.queue_max || t->waiting >= o->conf.team_queue_max)
		return REFUSE_QUEUE_FULL;
	return REFUSE_REASONS;
}

static int64_t latest_start(const struct owner *o, const struct work *w, uint32_t expected_run_ms,
			    int64_t now_ms)
{
	int64_t latest = w->deadline_ms ? w->deadline_ms - expected_run_ms : INT64_MAX;

	if (w->class == WORK_URGENT)
		latest = MIN(latest, now_ms + o->conf.urgent_start_ms);
	return latest;
}

static void enqueue(struct owner *o, struct item *it)
{
	g_hash_table_insert(o->items, &it->w.id, it);
	o->waiting++;
	fair_get_team(o->fair, it->w.team)->waiting++;
	if (owner_queued_in_group(&it->w)) {
		struct runner_group *g = owner_group_of(o, &it->w);

		runner_group_push(g, it);
		owner_mark_dirty(o, g);
	} else if (it->w.class == WORK_GANG) {
		gangs_add(&o->gangs, it);
		o->gangs_changed = true;
	} else {
		fair_push(o->fair, it->w.class == WORK_SERVICE ? FAIR_SERVICE : FAIR_BATCH, it);
	}
}

/*
 * Applies the estimates of the service: the run time, and the memory unless the item could then
 * never run.
 */
static void apply_estimate(struct owner *o, struct item *it)
{
	struct res size = estimates_size(&o->estimates, it->w.service, &it->w.size);
	struct work larger = it->w;

	it->max_run_ms = estimates_run_ms(&o->estimates, it->w.service, it->w.run_ms, true);
	larger.size = size;
	if (!never_fits(o, &larger) && !over_quota(fair_get_team(o->fair, it->w.team), &size))
		it->w.size = size;
}

/* Spends a retry from the budgets of service and team; false if either is exhausted. */
static bool spend_retry(struct owner *o, const struct work *w)
{
	struct retrybudget *service = &owner_group_of(o, w)->retries;
	struct retrybudget *team = &fair_get_team(o->fair, w->team)->retries;

	if (!w->retry) {
		retrybudget_earn(service);
		retrybudget_earn(team);
		return true;
	}
	if (!retrybudget_has(service) || !retrybudget_has(team))
		return false;
	retrybudget_spend(service);
	retrybudget_spend(team);
	return true;
}

/* Reserves as much for each slot of the service's runners as its largest request so far needs. */
static void raise_slot_size(struct owner *o, struct runner_group *g, const struct res *size)
{
	if (res_fits(size, &g->slot_size))
		return;
	g->slot_size.cpu_milli = MAX(g->slot_size.cpu_milli, size->cpu_milli);
	g->slot_size.mem_bytes = MAX(g->slot_size.mem_bytes, size->mem_bytes);
	g->slot_size.accel = MAX(g->slot_size.accel, size->accel);
	for (uint32_t i = 0; i < worker_index_count(o->workers); i++) {
		const struct indexed_worker *w = worker_index_get(o->workers, i);

		if (w && w->slots && w->service == g->service)
			worker_index_set_slot_size(o->workers, i, &g->slot_size);
	}
}

static void estimate_wait(struct owner *o, const struct work *w, struct policy_admission *a)
{
	struct runner_group *g = owner_group_of(o, w);
	int64_t latest_ms;

	a->expected_run_ms = w->run_ms ? w->run_ms : g->run_mean_ms;
	if (o->policy->learns)
		a->expected_run_ms =
			estimates_run_ms(&o->estimates, w->service, a->expected_run_ms, false);
	if (!w->slot)
		return;
	latest_ms = latest_start(o, w, a->expected_run_ms, a->now_ms);
	a->wait_ms = runner_group_expected_wait_ms(
		g, w->class, latest_ms,
		runner_group_reserved_slots(g, o->urgent_reserve.share_milli), a->now_ms);
	if (g->slots)
		a->team_wait_ms = (uint32_t)((uint64_t)runner_group_team_waiting(g, w->team) *
					     g->run_mean_ms / g->slots);
}

bool owner_submit(struct owner *o, const struct work *w, int64_t now_ms, struct status *st)
{
	struct policy_admission a = { .w = w,
				      .now_ms = now_ms,
				      .urgent_start_ms = o->conf.urgent_start_ms };
	enum refuse_reason reason;
	struct item *it;

	if (g_hash_table_contains(o->items, &w->id))
		return status_set(st, STATUS_CONFLICT, "submit", NULL, "the id is in use");
	reason = check_limits(o, w);
	estimate_wait(o, w, &a);
	if (reason == REFUSE_REASONS)
		reason = o->policy->admit(&a);
	if (reason == REFUSE_REASONS && !spend_retry(o, w))
		reason = REFUSE_QUEUE_FULL;
	if (reason != REFUSE_REASONS)
		return reject(o, w, reason, a.wait_ms, now_ms, st);
	if (w->slot)
		raise_slot_size(o, owner_group_of(o, w), &w->size);
	if (w->slot && !owner_group_of(o, w)->run_mean_ms)
		runner_group_note_run(owner_group_of(o, w), a.expected_run_ms);
	it = owner_item_new(o, w, now_ms);
	it->expected_run_ms = a.expected_run_ms;
	it->max_run_ms = w->run_ms;
	it->latest_start_ms = latest_start(o, w, a.expected_run_ms, now_ms);
	if (o->policy->learns && !w->slot)
		apply_estimate(o, it);
	enqueue(o, it);
	return true;
}
