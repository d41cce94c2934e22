#include "preempt.h"

#define CANDIDATES	   4	 /* workers compared for one task */
#define SPREAD_CANDIDATES  16	 /* for services, which are spread over racks */
#define TASK_TRIES	   8	 /* blocked tasks of the task group passed over in one run */
#define GANG_TRIES	   4	 /* gangs that may fail to start in one run */
#define GANG_RETRY_MS	   20	 /* between attempts to start gangs */
#define UNPARK_MAX	   64	 /* parked teams examined for one unpark */
#define PLACE_FAILURES_MAX 2	 /* unparked teams that fail before the worker is given up */
#define FREED_MAX	   16	 /* freed workers that parked teams are tried on in one run */
#define FREED_RETRY_MS	   1	 /* before the rest of the freed workers are tried */
#define AGED_TEAMS_MAX	   8	 /* teams checked for aged work in one run */
#define AVOID_RETRY_MS	   1000	 /* after work avoided a worker on which its job failed */
#define HOLD_AFTER_MS	   500	 /* how long a gang waits before it holds workers */
#define HOLD_RETRY_MS	   5000	 /* before a gang that found no workers to hold tries again */
#define HOLD_SCAN_MS	   100	 /* before another gang tries after one found no workers */
#define GANGS_EXAMINE_MAX  64	 /* gangs passed over or tried in vain in one run */
#define GANG_BACKOFF_MS	   200	 /* before a gang is tried again */
#define AGED_MS		   10000 /* a task blocked for so long is queued as a gang of one */

static gpointer rack_key(const struct owner *o, const struct work *w, uint32_t worker)
{
	uint64_t rack = worker_index_get(o->workers, worker)->rack;

	return GSIZE_TO_POINTER(w->job * 0x9e3779b97f4a7c15ull + rack);
}

static uint32_t tasks_on_rack(const struct owner *o, const struct work *w, uint32_t worker)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(o->rack_counts, rack_key(o, w, worker)));
}

static void count_rack(struct owner *o, const struct item *it, int by)
{
	gpointer key;
	uint32_t n;

	if (it->w.class != WORK_SERVICE)
		return;
	key = rack_key(o, &it->w, it->worker);
	n = GPOINTER_TO_UINT(g_hash_table_lookup(o->rack_counts, key)) + (uint32_t)by;
	if (n)
		g_hash_table_insert(o->rack_counts, key, GUINT_TO_POINTER(n));
	else
		g_hash_table_remove(o->rack_counts, key);
}

static void update_group(struct owner *o, const struct item *it, int by)
{
	struct runner_group *g;

	if (!it->w.slot)
		return;
	g = owner_group(o, it->w.service);
	if (it->w.class == WORK_URGENT)
		g->urgent_running += (uint32_t)by;
	if (worker_index_get(o->workers, it->worker)->slots)
		runner_group_update(
			owner_group(o, worker_index_get(o->workers, it->worker)->service),
			o->workers, it->worker);
	owner_mark_dirty(o, g);
}

void owner_allocate(struct owner *o, struct item *it, uint32_t worker, int64_t now_ms)
{
	it->state = ITEM_RUNNING;
	it->started_ms = now_ms;
	preempt_add_victim(o, it);
	worker_index_allocate(o->workers, worker, it);
	fair_charge(o->fair, it->w.team, &it->w.size);
	count_rack(o, it, 1);
	update_group(o, it, 1);
}

void owner_release(struct owner *o, struct item *it)
{
	count_rack(o, it, -1);
	preempt_remove_victim(o, it);
	worker_index_release(o->workers, it->worker, it);
	fair_credit(o->fair, it->w.team, &it->w.size);
	update_group(o, it, -1);
}

void owner_start(struct owner *o, struct item *it, int64_t now_ms)
{
	o->waiting--;
	fair_get_team(o->fair, it->w.team)->waiting--;
	it->probe = quarantine_placed(o->quarantine, it->worker, now_ms);
	o->decisions++;
	o->ops->start(o->ctx, it->w.id, it->worker);
}

static bool may_start_on(struct owner *o, const struct item *it, uint32_t worker, int64_t now_ms)
{
	bool needs_healthy = it->w.class == WORK_URGENT || it->w.class == WORK_GANG;

	if (needs_healthy && quarantine_state(o->quarantine, worker) == QUARANTINE_PROBE)
		return false;
	if (!quarantine_has_failures(o->quarantine) ||
	    !quarantine_avoids(o->quarantine, quarantine_key(&it->w), worker, now_ms))
		return true;
	o->avoid_retry_ms = MIN(o->avoid_retry_ms, now_ms + AVOID_RETRY_MS);
	return false;
}

static uint32_t best_candidate(struct owner *o, const struct item *it,
			       const struct worker_search *q, int64_t now_ms)
{
	uint64_t lowest = UINT64_MAX;
	uint32_t worker = WORKER_NONE;

	for (uint32_t i = 0; i < q->n; i++) {
		struct policy_candidate candidate = {
			.w = &it->w, .worker = worker_index_get(o->workers, q->worker[i])
		};
		uint64_t score;

		if (!may_start_on(o, it, q->worker[i], now_ms))
			continue;
		candidate.free =
			worker_index_free_res(candidate.worker, q->set == WORKERS_RESERVED);
		candidate.failures = quarantine_failures(o->quarantine, q->worker[i]);
		if (it->w.class == WORK_SERVICE)
			candidate.same_job_on_rack = tasks_on_rack(o, &it->w, q->worker[i]);
		score = o->policy->score(&candidate);
		if (score >= lowest)
			continue;
		lowest = score;
		worker = q->worker[i];
	}
	return worker;
}

static uint32_t choose_from_set(struct owner *o, const struct item *it, enum worker_set set,
				int64_t now_ms)
{
	struct worker_search q = {
		.want = it->w.size,
		.set = set,
		.order = o->policy->search_order,
		.max = it->w.class == WORK_SERVICE ? SPREAD_CANDIDATES : CANDIDATES,
		.avoid = it->w.avoid_worker,
	};

	if (q.order == SEARCH_FIRST_FIT)
		q.max = 1;
	else if (q.order == SEARCH_WORST_FIT)
		q.max = SEARCH_CANDIDATES_MAX;
	return worker_index_find(o->workers, &q) ? best_candidate(o, it, &q, now_ms) : WORKER_NONE;
}

/* Returns the worker to start a task on, or WORKER_NONE. */
static uint32_t choose_worker(struct owner *o, const struct item *it, int64_t now_ms)
{
	uint32_t worker = choose_from_set(o, it, WORKERS_OPEN, now_ms);
	bool urgent = it->w.class == WORK_URGENT;
	bool short_enough;

	if (worker == WORKER_NONE && urgent)
		worker = choose_from_set(o, it, WORKERS_RESERVED, now_ms);
	if (worker != WORKER_NONE || !o->hold.gang)
		return worker;
	short_enough = it->max_run_ms && now_ms + it->max_run_ms <= o->hold.shadow_ms;
	if (urgent || it->gang == o->hold.gang || short_enough)
		worker = choose_from_set(o, it, WORKERS_HELD, now_ms);
	return worker;
}

static void set_expiry(struct owner *o, struct runner_group *g)
{
	int64_t at = INT64_MAX;

	for (int q = 0; q < RUNNER_QUEUES; q++) {
		const struct item *it =
			runner_group_top(g, (enum runner_queue)q, owner_item_free, o);

		if (it && it->latest_start_ms < INT64_MAX)
			at = MIN(at, it->latest_start_ms + 1);
	}
	if (at == g->expiry_ms)
		return;
	g->expiry_ms = at;
	if (at == INT64_MAX)
		heap_remove(&o->expiry, g);
	else if (g->heap_index == HEAP_NONE)
		heap_push(&o->expiry, g);
	else
		heap_update(&o->expiry, g);
}

/* Returns the next item that can still start in time; refuses those before it, which can't. */
static struct item *next_in_time(struct owner *o, struct runner_group *g, enum runner_queue q,
				 int64_t now_ms)
{
	struct item *it;

	while ((it = runner_group_top(g, q, owner_item_free, o)) && it->latest_start_ms < now_ms) {
		runner_group_pop(g, it);
		owner_refuse(o, it, REFUSE_DEADLINE, now_ms);
		owner_item_free(o, it);
	}
	return it;
}

static uint32_t pick_runner(const struct owner *o, const struct runner_group *g,
			    const struct work *w)
{
	if (o->policy->search_order == SEARCH_FIRST_FIT)
		return runner_group_pick_first(g, o->workers, w);
	return runner_group_pick(g, o->workers, w);
}

static uint32_t schedule_requests(struct owner *o, struct runner_group *g, enum runner_queue q,
				  int64_t now_ms)
{
	uint32_t n = 0;
	struct item *it;

	while ((it = next_in_time(o, g, q, now_ms))) {
		uint32_t reserved = 0;
		uint32_t worker;

		if (q == RUNNER_OTHER && o->policy->reserves)
			reserved = runner_group_reserved_slots(g, o->urgent_reserve.share_milli);
		if (g->free_slots <= reserved)
			break;
		worker = pick_runner(o, g, &it->w);
		if (worker == WORKER_NONE)
			break;
		runner_group_pop(g, it);
		owner_allocate(o, it, worker, now_ms);
		owner_start(o, it, now_ms);
		n++;
	}
	return n;
}

/* Places urgent tasks and tasks with a deadline. A blocked task does not block the next one. */
static uint32_t schedule_tasks(struct owner *o, enum runner_queue q, int64_t now_ms)
{
	struct item *skipped[TASK_TRIES];
	uint32_t tries = 0;
	uint32_t n = 0;
	struct item *it;

	while (tries < TASK_TRIES && (it = next_in_time(o, o->task_group, q, now_ms))) {
		uint32_t worker = choose_worker(o, it, now_ms);

		runner_group_pop(o->task_group, it);
		if (worker == WORKER_NONE) {
			preempt_for(o, it);
			skipped[tries++] = it;
			continue;
		}
		owner_allocate(o, it, worker, now_ms);
		owner_start(o, it, now_ms);
		n++;
	}
	while (tries)
		runner_group_push(o->task_group, skipped[--tries]);
	return n;
}

static uint32_t schedule_groups(struct owner *o, int64_t now_ms)
{
	uint32_t n = 0;
	struct runner_group *g;

	while ((g = heap_top(&o->expiry)) && g->expiry_ms <= now_ms) {
		owner_mark_dirty(o, g);
		g->expiry_ms = INT64_MAX;
		heap_remove(&o->expiry, g);
	}
	while (o->dirty_groups->len) {
		g = o->dirty_groups->pdata[o->dirty_groups->len - 1];
		g_ptr_array_set_size(o->dirty_groups, (gint)o->dirty_groups->len - 1);
		for (int q = 0; q < RUNNER_QUEUES; q++)
			n += g == o->task_group
				     ? schedule_tasks(o, (enum runner_queue)q, now_ms)
				     : schedule_requests(o, g, (enum runner_queue)q, now_ms);
		set_expiry(o, g);
		g->dirty = false;
	}
	return n;
}

/*
 * Handles the head of a team's queue that fits nowhere. If it stays blocked while teams with a
 * larger share are served, the cause is its size: it is moved to the gangs, which can hold workers.
 * True if it was moved.
 */
static bool promote_blocked(struct owner *o, struct fair_queue *q, int64_t now_ms)
{
	struct item *it = q->items.first;
	bool long_enough = it->blocked_since_ms >= 0 && now_ms - it->blocked_since_ms >= AGED_MS;

	if (long_enough && o->policy->holds && q->key <= o->last_served_key[q->lane]) {
		fair_remove(o->fair, q->lane, it);
		gangs_add_aged(&o->gangs, it);
		o->gangs_changed = true;
		return true;
	}
	if (it->blocked_since_ms < 0 || long_enough)
		it->blocked_since_ms = now_ms;
	return false;
}

/* Places the head of a team's queue, or parks the team; true if it was placed. */
static bool place_head(struct owner *o, struct fair_queue *q, int64_t now_ms)
{
	struct item *it = q->items.first;
	uint32_t worker = choose_worker(o, it, now_ms);

	if (worker == WORKER_NONE) {
		if (promote_blocked(o, q, now_ms))
			return false;
		preempt_for(o, it);
		fair_park(o->fair, q);
		return false;
	}
	o->last_served_key[q->lane] = q->key;
	fair_remove(o->fair, q->lane, it);
	owner_allocate(o, it, worker, now_ms);
	owner_start(o, it, now_ms);
	return true;
}

static uint32_t place_ready_teams(struct owner *o, enum fair_lane lane, int64_t now_ms)
{
	uint32_t n = 0;
	struct fair_queue *q;

	while ((q = fair_next(o->fair, lane)))
		n += place_head(o, q, now_ms);
	return n;
}

static void undo_allocations(struct owner *o, struct gang *gang, const GPtrArray *allocated)
{
	for (guint i = allocated->len; i-- > 0;) {
		struct item *it = allocated->pdata[i];

		owner_release(o, it);
		it->state = ITEM_WAITING;
		it->worker = WORKER_NONE;
		item_list_prepend(&gang->waiting, it);
	}
}

/* Allocates capacity for all tasks of the gang or for none. */
static bool allocate_gang(struct owner *o, struct gang *gang, GPtrArray *allocated, int64_t now_ms)
{
	struct item *it;

	while ((it = gang->waiting.first)) {
		uint32_t worker = choose_worker(o, it, now_ms);

		if (worker == WORKER_NONE) {
			undo_allocations(o, gang, allocated);
			return false;
		}
		item_list_remove(&gang->waiting, it);
		owner_allocate(o, it, worker, now_ms);
		g_ptr_array_add(allocated, it);
	}
	return true;
}

static struct res gang_demand(const struct gang *gang)
{
	const struct res *size = &gang->waiting.first->w.size;

	return (struct res){
		.cpu_milli = size->cpu_milli * gang->waiting.n,
		.mem_bytes = size->mem_bytes * gang->waiting.n,
		.accel = size->accel * gang->waiting.n,
	};
}

static uint32_t start_gang(struct owner *o, struct gang *gang, int64_t now_ms)
{
	g_autoptr(GPtrArray) allocated = g_ptr_array_sized_new(gang->waiting.n);
	struct res need = gang_demand(gang);

	if (!res_fits(&need, worker_index_total_free(o->workers)) ||
	    !allocate_gang(o, gang, allocated, now_ms))
		return 0;
	if (o->hold.gang == gang)
		owner_release_hold(o);
	gangs_started(&o->gangs, gang, allocated->len);
	for (guint i = 0; i < allocated->len; i++)
		owner_start(o, allocated->pdata[i], now_ms);
	return allocated->len;
}

/* Lets parked teams try the held workers again. */
static void note_held_as_freed(struct owner *o)
{
	for (guint i = 0; i < o->hold.workers->len; i++) {
		uint32_t worker = g_array_index(o->hold.workers, uint32_t, i);

		if (worker_index_get(o->workers, worker))
			owner_note_freed(o, worker);
	}
}

void owner_release_hold(struct owner *o)
{
	note_held_as_freed(o);
	gang_hold_release(&o->hold, o->workers);
}

static void try_hold(struct owner *o, struct gang *gang, int64_t now_ms)
{
	int64_t from_ms = MAX(gang->queued_ms + HOLD_AFTER_MS, gang->hold_not_before_ms);

	from_ms = MAX(from_ms, o->hold_not_before_ms);
	if (o->hold.gang || !o->policy->holds)
		return;
	if (now_ms < from_ms) {
		o->gangs_due_ms = MIN(o->gangs_due_ms, from_ms);
		return;
	}
	if (gang_hold_take(&o->hold, o->workers, gang, now_ms)) {
		if (preempt_for_gang(o, gang)) {
			o->hold.shadow_ms = now_ms;
			o->hold.update_ms = o->hold.until_ms;
		}
		return;
	}
	o->hold_not_before_ms = now_ms + HOLD_SCAN_MS;
	gang->hold_not_before_ms = now_ms + HOLD_RETRY_MS;
	o->gangs_due_ms = MIN(o->gangs_due_ms, o->hold_not_before_ms);
}

static bool gang_within_quota(struct owner *o, const struct gang *gang)
{
	struct res need = gang_demand(gang);

	return fair_within_quota(fair_get_team(o->fair, gang->waiting.first->w.team), &need);
}

/* Tries gangs by age. Passes over gangs beyond their quota and those tried a short while ago. */
static uint32_t try_gangs(struct owner *o, int64_t now_ms)
{
	struct gang *skipped[GANGS_EXAMINE_MAX];
	uint32_t n_skipped = 0;
	uint32_t tries = 0;
	uint32_t n = 0;
	struct gang *gang;

	while (tries < GANG_TRIES && n_skipped < GANGS_EXAMINE_MAX &&
	       (gang = heap_top(&o->gangs.complete))) {
		bool due = gang == o->hold.gang || gang->not_before_ms <= now_ms;
		uint32_t started;

		if (!due)
			o->gangs_due_ms = MIN(o->gangs_due_ms, gang->not_before_ms);
		if (!due || !gang_within_quota(o, gang)) {
			skipped[n_skipped++] = heap_pop(&o->gangs.complete);
			continue;
		}
		started = start_gang(o, gang, now_ms);
		n += started;
		if (started)
			continue;
		tries++;
		gang->not_before_ms = now_ms + GANG_BACKOFF_MS;
		try_hold(o, gang, now_ms);
		skipped[n_skipped++] = heap_pop(&o->gangs.complete);
	}
	while (n_skipped)
		heap_push(&o->gangs.complete, skipped[--n_skipped]);
	return n;
}

static uint32_t schedule_gangs(struct owner *o, int64_t now_ms)
{
	if (!o->gangs_changed && now_ms < o->gangs_due_ms)
		return 0;
	if (now_ms < o->gangs_not_before_ms) {
		o->gangs_due_ms = o->gangs_not_before_ms;
		return 0;
	}
	o->gangs_due_ms = INT64_MAX;
	o->gangs_changed = false;
	o->gangs_not_before_ms = now_ms + GANG_RETRY_MS;
	return try_gangs(o, now_ms);
}

/*
 * Lets parked teams compete for capacity freed on a worker. Only one team is unparked for each
 * placement, so that the teams unparked first don't take all of the capacity.
 */
static uint32_t place_parked_teams(struct owner *o, enum fair_lane lane, uint32_t worker,
				   int64_t now_ms)
{
	const struct indexed_worker *w = worker_index_get(o->workers, worker);
	uint32_t failed = 0;
	uint32_t n = 0;

	while (failed < PLACE_FAILURES_MAX && w && worker_index_usable(w)) {
		struct res free = worker_index_free_res(w, false);
		bool placed;

		if (!fair_unpark(o->fair, lane, &free, UNPARK_MAX))
			break;
		placed = place_head(o, fair_next(o->fair, lane), now_ms);
		failed += !placed;
		n += placed;
	}
	return n;
}

/* Takes at most max workers off the list of freed workers. */
static uint32_t take_freed(struct owner *o, uint32_t *worker, uint32_t max)
{
	uint32_t n = 0;

	while (n < max && o->freed_first < o->freed->len) {
		worker[n] = g_array_index(o->freed, uint32_t, o->freed_first++);
		if (worker_index_get(o->workers, worker[n]))
			worker_index_get(o->workers, worker[n])->freed = false;
		n++;
	}
	if (o->freed_first == o->freed->len) {
		g_array_set_size(o->freed, 0);
		o->freed_first = 0;
	}
	return n;
}

static uint32_t schedule_teams(struct owner *o, int64_t now_ms)
{
	uint32_t worker[FREED_MAX];
	uint32_t max = take_freed(o, worker, FREED_MAX);
	uint32_t n = 0;

	for (uint32_t i = 0; i < max; i++)
		n += place_parked_teams(o, FAIR_SERVICE, worker[i], now_ms);
	n += place_ready_teams(o, FAIR_SERVICE, now_ms);
	n += schedule_gangs(o, now_ms);
	for (uint32_t i = 0; i < max; i++)
		n += place_parked_teams(o, FAIR_BATCH, worker[i], now_ms);
	n += place_ready_teams(o, FAIR_BATCH, now_ms);
	if (o->freed->len)
		o->retry_ms = MIN(o->retry_ms, now_ms + FREED_RETRY_MS);
	return n;
}

uint32_t owner_run(struct owner *o, int64_t now_ms)
{
	uint32_t n;

	o->retry_ms = INT64_MAX;
	quarantine_run(o->quarantine, now_ms);
	if (o->hold.gang && now_ms >= o->hold.until_ms) {
		owner_release_hold(o);
		o->gangs_changed = true;
		o->hold_not_before_ms = MAX(o->hold_not_before_ms, now_ms + GANG_HOLD_PAUSE_MS);
	}
	if (o->hold.gang && gang_hold_update(&o->hold, o->workers, now_ms))
		note_held_as_freed(o);
	fair_unpark_aged(o->fair, now_ms - AGED_MS, AGED_TEAMS_MAX);
	if (now_ms >= o->avoid_retry_ms) {
		o->avoid_retry_ms = INT64_MAX;
		fair_unpark_aged(o->fair, now_ms, UINT32_MAX);
	}
	n = schedule_groups(o, now_ms);
	return n + schedule_teams(o, now_ms);
}
