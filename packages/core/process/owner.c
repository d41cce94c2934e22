#include <inttypes.h>

#include "preempt.h"

#define QUEUE_MAX	     65536
#define TEAM_QUEUE_MAX	     16384
#define URGENT_RESERVE_MILLI 50
#define URGENT_START_MS	     1500
#define QUARANTINE_STARTS    3
#define QUARANTINE_MIN_MS    5000
#define QUARANTINE_MAX_MS    300000
#define RETRY_MS	     1000 /* retry delay if no run time is known */

void owner_conf_default(struct owner_conf *conf)
{
	*conf = (struct owner_conf){
		.queue_max = QUEUE_MAX,
		.team_queue_max = TEAM_QUEUE_MAX,
		.urgent_reserve_milli = URGENT_RESERVE_MILLI,
		.urgent_start_ms = URGENT_START_MS,
		.quarantine_starts = QUARANTINE_STARTS,
		.quarantine_min_ms = QUARANTINE_MIN_MS,
		.quarantine_max_ms = QUARANTINE_MAX_MS,
		.seed = 1,
	};
}

static bool expires_first(const void *a, const void *b)
{
	return ((const struct runner_group *)a)->expiry_ms <
	       ((const struct runner_group *)b)->expiry_ms;
}

static void usability_changed(struct owner *o, uint32_t worker, bool was_usable)
{
	struct indexed_worker *w = worker_index_get(o->workers, worker);
	bool usable = worker_index_usable(w);

	worker_index_update(o->workers, worker);
	if (w->slots) {
		struct runner_group *g = owner_group(o, w->service);

		runner_group_update(g, o->workers, worker);
		owner_mark_dirty(o, g);
	}
	if (o->policy->reserves && usable && !was_usable)
		urgent_reserve_worker_usable(&o->urgent_reserve, o->workers, worker);
	else if (o->policy->reserves && !usable && was_usable)
		urgent_reserve_worker_unusable(&o->urgent_reserve, o->workers, worker);
	if (usable)
		owner_note_freed(o, worker);
}

static void quarantine_changed(void *ctx, uint32_t worker, bool quarantined, int64_t now_ms)
{
	struct owner *o = ctx;
	struct indexed_worker *w = worker_index_get(o->workers, worker);
	bool was_usable = worker_index_usable(w);

	w->quarantined = quarantined;
	usability_changed(o, worker, was_usable);
}

static const struct quarantine_ops quarantine_ops = {
	.changed = quarantine_changed,
};

struct owner *owner_create(const struct owner_conf *conf, const struct owner_ops *ops, void *ctx)
{
	const struct policy_ops *policy = policy_find(conf->policy);
	struct owner *o;

	if (!policy)
		return NULL;
	o = g_new0(struct owner, 1);
	o->conf = *conf;
	o->ops = ops;
	o->ctx = ctx;
	o->policy = policy;
	o->workers = worker_index_create();
	o->urgent_reserve.share_milli = conf->urgent_reserve_milli;
	o->fair = fair_create(policy->team_key, worker_index_total(o->workers));
	o->quarantine = quarantine_create(conf, &quarantine_ops, o);
	gangs_init(&o->gangs);
	estimates_init(&o->estimates);
	preempt_init(&o->victims);
	gang_hold_init(&o->hold);
	o->items = g_hash_table_new(g_int64_hash, g_int64_equal);
	o->groups = g_hash_table_new(NULL, NULL);
	heap_init(&o->expiry, expires_first, offsetof(struct runner_group, heap_index));
	o->dirty_groups = g_ptr_array_new();
	o->freed = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	o->rack_counts = g_hash_table_new(NULL, NULL);
	o->rand = g_rand_new_with_seed((guint32)(conf->seed ^ (conf->seed >> 32)));
	o->retry_ms = INT64_MAX;
	o->gangs_due_ms = INT64_MAX;
	o->avoid_retry_ms = INT64_MAX;
	o->gangs_not_before_ms = INT64_MIN;
	o->hold_not_before_ms = INT64_MIN;
	o->task_group = owner_group(o, OWNER_TASKS);
	return o;
}

static void free_running(struct owner *o)
{
	for (uint32_t i = 0; i < worker_index_count(o->workers); i++) {
		struct indexed_worker *w = worker_index_get(o->workers, i);

		while (w && w->running.first) {
			struct item *it = w->running.first;

			item_list_remove(&w->running, it);
			owner_item_free(o, it);
		}
	}
}

void owner_destroy(struct owner *o)
{
	GHashTableIter iter;
	gpointer group;

	if (!o)
		return;
	g_hash_table_iter_init(&iter, o->groups);
	while (g_hash_table_iter_next(&iter, NULL, &group))
		runner_group_destroy(group, owner_item_free, o);
	fair_destroy(o->fair, owner_item_free, o);
	gangs_clear(&o->gangs, owner_item_free, o);
	free_running(o);
	while (o->free_items) {
		struct item *it = o->free_items;

		o->free_items = it->next;
		g_free(it);
	}
	gang_hold_clear(&o->hold);
	heap_clear(&o->victims);
	estimates_clear(&o->estimates);
	quarantine_destroy(o->quarantine);
	worker_index_destroy(o->workers);
	heap_clear(&o->expiry);
	g_ptr_array_free(o->dirty_groups, TRUE);
	g_array_free(o->freed, TRUE);
	g_hash_table_destroy(o->items);
	g_hash_table_destroy(o->groups);
	g_hash_table_destroy(o->rack_counts);
	g_rand_free(o->rand);
	g_free(o);
}

struct runner_group *owner_group(struct owner *o, uint32_t service)
{
	struct runner_group *g = g_hash_table_lookup(o->groups, GUINT_TO_POINTER(service));

	if (g)
		return g;
	g = runner_group_create(service, o->policy->order);
	g_hash_table_insert(o->groups, GUINT_TO_POINTER(service), g);
	return g;
}

void owner_mark_dirty(struct owner *o, struct runner_group *g)
{
	if (g->dirty)
		return;
	g->dirty = true;
	g_ptr_array_add(o->dirty_groups, g);
}

void owner_note_freed(struct owner *o, uint32_t worker)
{
	struct indexed_worker *w = worker_index_get(o->workers, worker);

	if (!worker_index_usable(w))
		return;
	if (!w->freed) {
		w->freed = true;
		g_array_append_val(o->freed, worker);
	}
	o->gangs_changed = true;
	if (o->task_group->waiting[RUNNER_URGENT] || o->task_group->waiting[RUNNER_OTHER])
		owner_mark_dirty(o, o->task_group);
}

uint32_t owner_worker_add(struct owner *o, const struct worker_info *info)
{
	uint32_t worker = worker_index_add(o->workers, info);

	if (worker_index_get(o->workers, worker)->slots)
		worker_index_set_slot_size(o->workers, worker,
					   &owner_group(o, info->service)->slot_size);
	return worker;
}

void owner_worker_remove(struct owner *o, uint32_t worker)
{
	struct indexed_worker *w = worker_index_get(o->workers, worker);

	if (!w)
		return;
	owner_worker_set_state(o, worker, WORKER_LOST, 0);
	while (w->running.first) {
		struct item *it = w->running.first;

		owner_release(o, it);
		if (it->gang)
			gangs_ended(&o->gangs, it);
		g_hash_table_remove(o->items, &it->w.id);
		owner_item_free(o, it);
	}
	quarantine_forget(o->quarantine, worker);
	worker_index_remove(o->workers, worker);
}

void owner_worker_set_state(struct owner *o, uint32_t worker, enum worker_state state,
			    int64_t now_ms)
{
	struct indexed_worker *w = worker_index_get(o->workers, worker);
	bool was_usable;

	if (!w || w->state == state)
		return;
	was_usable = worker_index_usable(w);
	w->state = state;
	usability_changed(o, worker, was_usable);
}

struct item *owner_item_new(struct owner *o, const struct work *w, int64_t now_ms)
{
	struct item *it = o->free_items;

	if (it) {
		o->free_items = it->next;
	} else {
		it = g_new(struct item, 1);
		o->allocations++;
	}
	*it = (struct item){
		.w = *w,
		.queued_ms = now_ms,
		.latest_start_ms = INT64_MAX,
		.seq = o->seq++,
		.heap_index = HEAP_NONE,
		.victim_index = HEAP_NONE,
		.worker = WORKER_NONE,
		.blocked_since_ms = -1,
	};
	return it;
}

void owner_item_free(void *ctx, struct item *it)
{
	struct owner *o = ctx;

	it->next = o->free_items;
	o->free_items = it;
}

void owner_worker_adopt(struct owner *o, uint32_t worker, const struct work *w, int64_t now_ms)
{
	struct item *it;

	if (!worker_index_get(o->workers, worker) || g_hash_table_contains(o->items, &w->id))
		return;
	it = owner_item_new(o, w, now_ms);
	it->state = ITEM_RUNNING;
	it->accepted = true;
	it->adopted = true;
	it->expected_run_ms = w->run_ms;
	g_hash_table_insert(o->items, &it->w.id, it);
	if (w->gang_size > 1)
		gangs_adopt(&o->gangs, it);
	owner_allocate(o, it, worker, now_ms);
}

void owner_set_team(struct owner *o, uint32_t team, uint32_t weight, const struct res *quota)
{
	fair_set_team(o->fair, team, weight, quota);
}

uint32_t owner_retry_after_ms(struct owner *o, const struct work *w, uint32_t wait_ms,
			      int64_t now_ms)
{
	struct runner_group *g = owner_group_of(o, w);
	uint32_t run_ms = g->run_mean_ms ? g->run_mean_ms : RETRY_MS;
	uint64_t interval_us = (uint64_t)run_ms * 1000 / MAX(g->slots, 1);

	if (wait_ms == UINT32_MAX)
		wait_ms = RETRY_MS;
	return retrypace_after_ms(&g->pace, wait_ms, (uint32_t)interval_us, o->rand, now_ms);
}

void owner_refuse(struct owner *o, struct item *it, enum refuse_reason reason, int64_t now_ms)
{
	uint64_t id = it->w.id;
	uint32_t retry_ms = 0;

	if (reason == REFUSE_DEADLINE)
		retry_ms = owner_retry_after_ms(o, &it->w, owner_group_of(o, &it->w)->run_mean_ms,
						now_ms);
	o->waiting--;
	fair_get_team(o->fair, it->w.team)->waiting--;
	g_hash_table_remove(o->items, &it->w.id);
	o->decisions++;
	o->ops->refuse(o->ctx, id, reason, retry_ms);
}

bool owner_cancel(struct owner *o, uint64_t work_id, int64_t now_ms)
{
	struct item *it = g_hash_table_lookup(o->items, &work_id);

	if (!it || it->state != ITEM_WAITING)
		return false;
	if (owner_queued_in_group(&it->w)) {
		owner_refuse(o, it, REFUSE_CANCELLED, now_ms);
		runner_group_cancel(owner_group_of(o, &it->w), it, owner_item_free, o);
		return true;
	}
	if (it->gang && it->gang == o->hold.gang)
		owner_release_hold(o);
	if (it->gang)
		gangs_remove(&o->gangs, it);
	else
		fair_remove(o->fair, it->w.class == WORK_SERVICE ? FAIR_SERVICE : FAIR_BATCH, it);
	owner_refuse(o, it, REFUSE_CANCELLED, now_ms);
	owner_item_free(o, it);
	return true;
}

void owner_started(struct owner *o, uint64_t work_id, int64_t now_ms)
{
	struct item *it = g_hash_table_lookup(o->items, &work_id);

	if (it && it->state == ITEM_RUNNING)
		it->accepted = true;
}

static void note_result(struct owner *o, struct item *it, enum end_result result, int64_t now_ms)
{
	if (!o->policy->learns)
		return;
	quarantine_result(o->quarantine, it->worker, quarantine_key(&it->w), result, it->probe,
			  now_ms);
	if (result != END_OK || it->adopted)
		return;
	estimates_add_run(&o->estimates, it->w.service, (uint32_t)(now_ms - it->started_ms));
	if (it->w.slot)
		runner_group_note_run(owner_group_of(o, &it->w),
				      (uint32_t)(now_ms - it->started_ms));
}

void owner_ended(struct owner *o, uint64_t work_id, enum end_result result, int64_t now_ms)
{
	struct item *it = g_hash_table_lookup(o->items, &work_id);
	uint32_t worker;

	if (!it || it->state != ITEM_RUNNING)
		return;
	worker = it->worker;
	g_hash_table_remove(o->items, &it->w.id);
	if (it->gang)
		gangs_ended(&o->gangs, it);
	owner_release(o, it);
	note_result(o, it, result, now_ms);
	owner_note_freed(o, worker);
	owner_item_free(o, it);
}

void owner_usage(struct owner *o, uint64_t work_id, const struct res *used, int64_t now_ms)
{
	struct item *it = g_hash_table_lookup(o->items, &work_id);
	struct res size;

	if (!it || it->state != ITEM_RUNNING || !o->policy->on_usage)
		return;
	if (!it->w.slot)
		estimates_add_usage(&o->estimates, it->w.service, used);
	size = o->policy->on_usage(&it->w, used);
	if (res_fits(&size, &it->w.size))
		return;
	fair_credit(o->fair, it->w.team, &it->w.size);
	worker_index_resize(o->workers, it, &size);
	fair_charge(o->fair, it->w.team, &it->w.size);
}

int64_t owner_next_ms(const struct owner *o)
{
	const struct runner_group *g = heap_top(&o->expiry);
	int64_t next = MIN(MIN(o->retry_ms, o->avoid_retry_ms), o->gangs_due_ms);

	next = MIN(next, quarantine_next_ms(o->quarantine));
	if (g)
		next = MIN(next, g->expiry_ms);
	if (o->hold.gang)
		next = MIN(next, MIN(o->hold.until_ms, o->hold.update_ms));
	return next;
}

void owner_stats(const struct owner *o, struct owner_stats *stats)
{
	*stats = (struct owner_stats){
		.decisions = o->decisions,
		.examined = worker_index_examined(o->workers),
		.allocations = o->allocations,
	};
}

static struct owner_capacity group_capacity(const struct owner *o, const struct runner_group *g,
					    int64_t now_ms)
{
	uint32_t reserved = runner_group_reserved_slots(g, o->urgent_reserve.share_milli);

	return (struct owner_capacity){
		.service = g->service,
		.free_slots = g->free_slots > reserved ? g->free_slots - reserved : 0,
		.queued = g->waiting[RUNNER_URGENT] + g->waiting[RUNNER_OTHER],
		.wait_ms =
			runner_group_expected_wait_ms(g, WORK_REQUEST, INT64_MAX, reserved, now_ms),
	};
}

size_t owner_list_capacity(const struct owner *o, struct owner_capacity *cap, size_t n,
			   int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, o->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_group *g = value;

		if (g->service != OWNER_TASKS && !g->slots && !g->waiting[RUNNER_OTHER])
			continue;
		if (count < n)
			cap[count] = group_capacity(o, g, now_ms);
		if (count < n && g->service == OWNER_TASKS) {
			cap[count].wait_ms = 0;
			cap[count].queued = o->waiting;
			cap[count].free = *worker_index_total_free(o->workers);
		}
		count++;
	}
	return count;
}

bool owner_explain(const struct owner *o, uint64_t work_id, int64_t now_ms, char *buf, size_t size)
{
	const struct item *it = g_hash_table_lookup(o->items, &work_id);
	const char *why = "waits for its turn";

	if (!it)
		return false;
	if (it->state == ITEM_RUNNING) {
		g_snprintf(buf, size, "%s on %s since %" PRId64 " ms",
			   it->accepted ? "runs" : "starts",
			   worker_index_get(o->workers, it->worker)->name, now_ms - it->started_ms);
		return true;
	}
	if (it->gang)
		why = it->gang->waiting.n + it->gang->running < it->gang->size
			      ? "waits for the other tasks of its job"
			      : "waits for room for all its tasks at once";
	else if (owner_queued_in_group(&it->w))
		why = it->w.slot ? "waits for a slot" : "waits for room";
	else if (!fair_within_quota(fair_get_team(o->fair, it->w.team), &it->w.size))
		why = "waits for its team to use less than its quota";
	else if (it->blocked_since_ms >= 0)
		why = "finds no room of its size";
	g_snprintf(buf, size, "%s, for %" PRId64 " ms", why, now_ms - it->queued_ms);
	return true;
}
