#define G_LOG_DOMAIN "racks"

#include <string.h>

#include "clock.h"
#include "placement.h"
#include "log.h"

enum action_kind { ACTION_START, ACTION_REFUSE, ACTION_PREEMPT };

struct action {
	enum action_kind kind;
	uint64_t id;
	uint32_t worker;
	enum refuse_reason reason;
	uint32_t retry_after_ms;
};

uint32_t racks_intern(struct racks *r, const char *name)
{
	gpointer found = g_hash_table_lookup(r->names, name);
	char *copy;

	if (found)
		return GPOINTER_TO_UINT(found) - 1;
	copy = g_strdup(name);
	g_ptr_array_add(r->index_names, copy);
	g_hash_table_insert(r->names, copy, GUINT_TO_POINTER(r->index_names->len));
	return r->index_names->len - 1;
}

static void queue_start(void *ctx, uint64_t work, uint32_t worker)
{
	struct action act = { .kind = ACTION_START, .id = work, .worker = worker };

	g_array_append_val(((struct racks *)ctx)->actions, act);
}

static void queue_refuse(void *ctx, uint64_t work, enum refuse_reason reason,
			 uint32_t retry_after_ms)
{
	struct action act = { .kind = ACTION_REFUSE,
			      .id = work,
			      .reason = reason,
			      .retry_after_ms = retry_after_ms };

	g_array_append_val(((struct racks *)ctx)->actions, act);
}

static void queue_preempt(void *ctx, uint64_t work, uint32_t worker)
{
	struct action act = { .kind = ACTION_PREEMPT, .id = work, .worker = worker };

	g_array_append_val(((struct racks *)ctx)->actions, act);
}

static const struct owner_ops owner_ops = {
	.start = queue_start,
	.refuse = queue_refuse,
	.preempt = queue_preempt,
};

static void apply_start(struct placement *pl, uint32_t worker)
{
	pl->worker = g_ptr_array_index(pl->racks->workers, worker);
	pl->phase = PLACEMENT_STARTING;
	if (pl->task_id)
		taskserve_start(pl);
	else
		reqserve_start(pl);
}

static void apply_refusal(struct placement *pl, const struct action *act)
{
	static const struct {
		uint32_t status;
		const char *why;
	} reasons[REFUSE_REASONS] = {
		[REFUSE_NEVER_FITS] = { 422, "larger than the largest worker" },
		[REFUSE_DEADLINE] = { 503, "can't be served before its deadline" },
		[REFUSE_QUEUE_FULL] = { 429, "the queue is full" },
		[REFUSE_QUOTA] = { 429, "the team's quota is used up" },
		[REFUSE_CANCELLED] = { 409, "cancelled" },
	};
	struct call_end e;

	call_end_set(&e, OUTCOME_NOT_RUN, reasons[act->reason].status, "queue",
		     pl->racks->deps.set->name, "%s", reasons[act->reason].why);
	e.retry_after_ms = act->retry_after_ms;
	if (pl->racks->draining)
		placement_draining(pl, &e);
	if (pl->call)
		call_end(pl->call, &e);
	placement_forget(pl);
}

static void apply_action(struct racks *r, const struct action *act)
{
	struct placement *pl = g_hash_table_lookup(r->placements, &act->id);

	if (!pl) {
		if (act->kind == ACTION_START)
			owner_ended(r->owner, act->id, END_UNREACHABLE, now_ms());
		return;
	}
	if (act->kind == ACTION_START)
		apply_start(pl, act->worker);
	else if (act->kind == ACTION_REFUSE)
		apply_refusal(pl, act);
	else
		taskserve_preempt(pl);
}

static gboolean on_schedule(gpointer data);

static gboolean on_timer(gpointer data)
{
	struct racks *r = data;

	r->timer = 0;
	racks_schedule_run(r);
	return G_SOURCE_REMOVE;
}

static void set_timer(struct racks *r)
{
	int64_t next = owner_next_ms(r->owner);

	if (r->timer)
		g_source_remove(r->timer);
	r->timer = 0;
	if (next != INT64_MAX)
		r->timer = g_timeout_add((guint)CLAMP(next - now_ms(), 1, 60000), on_timer, r);
}

static gboolean on_schedule(gpointer data)
{
	struct racks *r = data;
	g_autoptr(GArray) actions = NULL;

	r->schedule_source = 0;
	owner_run(r->owner, now_ms());
	actions = r->actions;
	r->actions = g_array_new(FALSE, FALSE, sizeof(struct action));
	for (guint i = 0; i < actions->len; i++)
		apply_action(r, &g_array_index(actions, struct action, i));
	if (r->actions->len)
		racks_schedule_run(r);
	set_timer(r);
	return G_SOURCE_REMOVE;
}

void racks_schedule_run(struct racks *r)
{
	if (!r->schedule_source)
		r->schedule_source = g_idle_add_full(G_PRIORITY_DEFAULT, on_schedule, r, NULL);
}

static void on_added(void *ctx, struct worker *w)
{
	struct racks *r = ctx;
	struct worker_info info = {
		.name = w->name,
		.rack = w->rack,
		.total = w->total,
		.slots = w->slots,
		.connections = w->connections,
		.service = w->service[0] ? racks_intern(r, w->service) : UINT32_MAX,
	};

	w->handle = owner_worker_add(r->owner, &info);
	if (w->handle >= r->workers->len)
		g_ptr_array_set_size(r->workers, (gint)w->handle + 1);
	r->workers->pdata[w->handle] = w;
}

/* Running requests continue to their end; only core forgets the worker. */
static void detach_requests(struct racks *r, struct worker *w)
{
	g_autoptr(GList) placements = g_hash_table_get_values(r->placements);

	for (GList *i = placements; i; i = i->next) {
		struct placement *pl = i->data;

		if (pl->worker == w && !pl->task_id)
			pl->worker = NULL;
	}
}

static void on_removed(void *ctx, struct worker *w)
{
	struct racks *r = ctx;

	taskserve_rack_moved(r, w);
	detach_requests(r, w);
	owner_worker_remove(r->owner, w->handle);
	r->workers->pdata[w->handle] = NULL;
	g_hash_table_remove(r->foreign_requests, GUINT_TO_POINTER(w->handle));
	w->tasks = 0;
	w->foreign_requests = 0;
}

static void on_inventory(void *ctx, struct worker *w, const struct worker_reply *reply)
{
	taskserve_inventory(ctx, w, reply);
}

static void on_state_changed(void *ctx, struct worker *w)
{
	struct racks *r = ctx;

	owner_worker_set_state(r->owner, w->handle, w->state, now_ms());
	racks_schedule_run(r);
	if (r->on_change)
		r->on_change(r->on_change_ctx);
}

static void on_task_ended(void *ctx, struct worker *w, const struct worker_task *t)
{
	taskserve_ended(ctx, w, t);
}

static bool has_unreported_end(void *ctx, const struct worker *w)
{
	return taskserve_has_unreported_end(ctx, w);
}

static void on_task_usage(void *ctx, struct worker *w, const struct worker_task *t)
{
	struct racks *r = ctx;
	struct placement *pl = g_hash_table_lookup(r->tasks, t->id);

	if (pl)
		owner_usage(r->owner, pl->id, &t->size, now_ms());
}

static void on_request_count(void *ctx, struct worker *w, uint32_t runs, int64_t sent_ms)
{
	reqserve_count_foreign(ctx, w, runs, sent_ms);
}

static void on_leases_lapsed(void *ctx, struct worker *w)
{
	taskserve_lease_lapsed(ctx, w);
}

static const struct fleet_ops fleet_ops = {
	.added = on_added,
	.removed = on_removed,
	.inventory = on_inventory,
	.state_changed = on_state_changed,
	.task_ended = on_task_ended,
	.has_unreported_end = has_unreported_end,
	.task_usage = on_task_usage,
	.request_count = on_request_count,
	.leases_lapsed = on_leases_lapsed,
};

static struct owner *make_owner(struct racks *r)
{
	const struct settings *set = r->deps.set;
	struct owner_conf conf;

	owner_conf_default(&conf);
	conf.policy = set->policy;
	conf.queue_max = set->queue_max;
	conf.team_queue_max = set->team_queue_max;
	conf.urgent_reserve_milli = set->urgent_reserve_milli;
	conf.urgent_start_ms = set->urgent_start_ms;
	conf.quarantine_starts = set->quarantine_starts;
	conf.quarantine_min_ms = set->quarantine_min_ms;
	conf.quarantine_max_ms = set->quarantine_max_ms;
	conf.seed = r->deps.seed;
	return owner_create(&conf, &owner_ops, r);
}

struct racks *racks_create(const struct racks_deps *deps)
{
	struct racks *r = g_new0(struct racks, 1);

	r->deps = *deps;
	r->owner = make_owner(r);
	if (!r->owner) {
		g_free(r);
		return NULL;
	}
	r->placements = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, placement_free);
	r->tasks = g_hash_table_new(g_str_hash, g_str_equal);
	r->foreign_requests =
		g_hash_table_new_full(NULL, NULL, NULL, (GDestroyNotify)g_array_unref);
	r->names = g_hash_table_new(g_str_hash, g_str_equal);
	r->index_names = g_ptr_array_new_with_free_func(g_free);
	r->workers = g_ptr_array_new();
	r->actions = g_array_new(FALSE, FALSE, sizeof(struct action));
	r->next_id = 1;
	r->fleet = fleet_create(deps->set, deps->members, deps->worker_client, deps->worker_ops,
				&fleet_ops, r, deps->seed);
	calls_set_handler(deps->calls, KW__CALL_KIND__CALL_REQUEST, reqserve_call, r);
	calls_set_handler(deps->calls, KW__CALL_KIND__CALL_TASK, taskserve_call, r);
	return r;
}

void racks_destroy(struct racks *r)
{
	if (!r)
		return;
	if (r->timer)
		g_source_remove(r->timer);
	if (r->schedule_source)
		g_source_remove(r->schedule_source);
	g_hash_table_destroy(r->tasks);
	g_hash_table_destroy(r->foreign_requests);
	g_hash_table_destroy(r->placements);
	fleet_destroy(r->fleet);
	owner_destroy(r->owner);
	g_hash_table_destroy(r->names);
	g_ptr_array_unref(r->index_names);
	g_ptr_array_unref(r->workers);
	g_array_unref(r->actions);
	g_free(r);
}

void racks_on_change(struct racks *r, void (*fn)(void *ctx), void *ctx)
{
	r->on_change = fn;
	r->on_change_ctx = ctx;
}

struct fleet *racks_fleet(struct racks *r)
{
	return r->fleet;
}

void racks_drain(struct racks *r)
{
	g_autoptr(GList) placements = g_hash_table_get_values(r->placements);

	r->draining = true;
	for (GList *i = placements; i; i = i->next) {
		struct placement *pl = i->data;

		/* Core refuses it through queue_refuse(), and that action ends the call. */
		if (pl->phase == PLACEMENT_WAITING)
			owner_cancel(r->owner, pl->id, now_ms());
	}
	racks_schedule_run(r);
}

/* Share of a quota. Division must not turn a small limit into 0, which means no limit. */
static uint64_t share(uint64_t quota, uint32_t owners)
{
	return quota ? MAX(quota / owners, 1U) : 0;
}

void racks_config(struct racks *r, const struct config *c, uint32_t owners)
{
	const struct config_team *t;

	owners = MAX(owners, 1U);
	for (size_t i = 0; (t = config_team_at(c, i)); i++) {
		struct res quota = {
			.cpu_milli = (uint32_t)share(t->quota.cpu_milli, owners),
			.mem_bytes = share(t->quota.mem_bytes, owners),
			.accel = (uint32_t)share(t->quota.accel, owners),
		};

		owner_set_team(r->owner, racks_intern(r, t->name), t->weight, &quota);
	}
	racks_schedule_run(r);
}

size_t racks_list_load(struct racks *r, struct service_load *load, size_t n)
{
	g_autofree struct owner_capacity *own = g_new0(struct owner_capacity, n + 1);
	size_t found = MIN(owner_list_capacity(r->owner, own, n, now_ms()), n);

	for (size_t i = 0; i < found; i++)
		load[i] = (struct service_load){
			.service = own[i].service == UINT32_MAX
					   ? ""
					   : r->index_names->pdata[own[i].service],
			.free_slots = own[i].free_slots,
			.queued = own[i].queued,
			.wait_ms = own[i].wait_ms,
			.free = own[i].free,
		};
	return found;
}

bool racks_explain(struct racks *r, const char *job, uint32_t index, char *buf, size_t size)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->placements);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct placement *pl = value;

		if (strcmp(pl->req->job, job) != 0 || pl->req->index != index)
			continue;
		if (owner_explain(r->owner, pl->id, now_ms(), buf, size))
			return true;
		g_snprintf(buf, size, "started on %s", pl->worker ? pl->worker->name : "a worker");
		return true;
	}
	return false;
}

void racks_count(const struct racks *r, struct racks_count *count)
{
	GHashTableIter iter;
	gpointer value;

	*count = (struct racks_count){ .workers = fleet_owned_count(r->fleet),
				       .unready = fleet_unready_count(r->fleet) };
	g_hash_table_iter_init(&iter, r->placements);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct placement *pl = value;

		if (pl->phase == PLACEMENT_WAITING)
			count->waiting++;
		else if (pl->task_id)
			count->tasks += pl->phase != PLACEMENT_ENDED;
		else
			count->requests++;
	}
}
