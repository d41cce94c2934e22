#define G_LOG_DOMAIN "taskserve"

#include <string.h>

#include "clock.h"
#include "placement.h"
#include "log.h"

/* How long an end is kept for a coordinator to ask for. */
#define UNREPORTED_END_KEEP_MS 120000

static gboolean on_keep_timeout(gpointer data)
{
	struct placement *pl = data;

	pl->timer = 0;
	placement_forget(pl);
	return G_SOURCE_REMOVE;
}

/*
 * Ends a task. Its capacity is freed at once; the end is reported, or kept until the coordinator
 * asks.
 */
static void end_task(struct placement *pl, enum end_result result, const struct call_end *e)
{
	struct racks *r = pl->racks;

	if (pl->phase == PLACEMENT_ENDED)
		return;
	if (pl->worker && pl->worker->tasks > 0 && pl->phase != PLACEMENT_WAITING)
		pl->worker->tasks--;
	if (pl->call) {
		placement_end(pl, result, e);
		return;
	}
	owner_ended(r->owner, pl->id, result, now_ms());
	racks_schedule_run(r);
	pl->phase = PLACEMENT_ENDED;
	pl->worker = NULL;
	pl->end = *e;
	pl->timer = g_timeout_add(UNREPORTED_END_KEEP_MS, on_keep_timeout, pl);
}

static void mark_running(struct placement *pl)
{
	struct call_begin b = { .worker = pl->worker->name, .length_bytes = -1, .status = 200 };

	if (pl->phase == PLACEMENT_RUNNING)
		return;
	pl->phase = PLACEMENT_RUNNING;
	owner_started(pl->racks->owner, pl->id, now_ms());
	if (pl->call)
		call_begin(pl->call, &b);
}

struct start_batch {
	struct racks *racks;
	char *worker;
	GPtrArray *task_ids;
};

static void end_not_started(struct placement *pl, enum end_result result, const char *step,
			    const char *why)
{
	struct call_end e;

	call_end_set(&e, OUTCOME_NOT_RUN, 503, step, pl->worker ? pl->worker->name : "", "%s", why);
	end_task(pl, result, &e);
}

/* Ends a placement whose rack moved to another owner. Core has removed the worker. */
static void end_moved(struct placement *pl, const struct call_end *e)
{
	if (pl->call)
		call_end(g_steal_pointer(&pl->call), e);
	placement_forget(pl);
}

static struct call_end *set_moved(struct call_end *e, const char *worker)
{
	return call_end_set(e, OUTCOME_UNKNOWN, 503, "moved", worker, "the rack has another owner");
}

static void end_start_after_move(struct placement *pl, bool not_started)
{
	struct call_end e;

	set_moved(&e, "");
	if (not_started)
		call_end_set(&e, OUTCOME_NOT_RUN, 503, "start", "",
			     "the rack went to another owner before the start");
	end_moved(pl, &e);
}

static void apply_start_result(struct racks *r, const struct worker_task *t)
{
	struct placement *pl = g_hash_table_lookup(r->tasks, t->id);
	struct call_end e;

	if (!pl || pl->phase != PLACEMENT_STARTING)
		return;
	if (!pl->worker) {
		end_start_after_move(pl, !t->accepted && !g_str_equal(t->reason, "duplicate"));
		return;
	}
	if (t->accepted || g_str_equal(t->reason, "duplicate")) {
		mark_running(pl);
		return;
	}
	if (g_str_equal(t->reason, "start_failed")) {
		call_end_set(&e, OUTCOME_FAILED, 502, "start", pl->worker->name,
			     "the worker could not start the task");
		end_task(pl, END_FAILED, &e);
		return;
	}
	if (g_str_equal(t->reason, "leaving"))
		worker_set_leaving(pl->worker);
	end_not_started(pl, END_REFUSED, "refused", t->reason);
}

/*
 * Handles a start without a valid reply. If none came, the task may have started: opening the
 * session again shows it, and fences the start if it is still on its way.
 */
static void handle_failed_start(struct start_batch *b, const struct worker_reply *reply)
{
	struct racks *r = b->racks;
	struct worker *w = NULL;

	for (guint i = 0; i < b->task_ids->len; i++) {
		struct placement *pl = g_hash_table_lookup(r->tasks, b->task_ids->pdata[i]);

		if (!pl || pl->phase != PLACEMENT_STARTING)
			continue;
		if (!pl->worker) {
			end_start_after_move(pl, reply->result != WORKER_NO_ANSWER);
			continue;
		}
		w = pl->worker;
		if (reply->result != WORKER_NO_ANSWER)
			end_not_started(pl,
					reply->result == WORKER_NOT_SENT ? END_UNREACHABLE
									 : END_REFUSED,
					"start", reply->error);
	}
	if (!w)
		return;
	if (reply->result == WORKER_NO_ANSWER)
		worker_reopen_session(w);
	else if (reply->result != WORKER_NOT_SENT)
		worker_handle_refusal(w, reply);
}

static void on_started(void *ctx, const struct worker_reply *reply)
{
	struct start_batch *b = ctx;

	if (reply->result != WORKER_OK)
		handle_failed_start(b, reply);
	else
		for (size_t i = 0; i < reply->n_task; i++)
			apply_start_result(b->racks, &reply->task[i]);
	g_ptr_array_unref(b->task_ids);
	g_free(b);
}

static void describe_task(struct worker_task *t, const struct placement *pl)
{
	const Kw__Call *q = pl->req;

	*t = (struct worker_task){
		.id = pl->task_id,
		.job = q->job,
		.team = q->team,
		.service = q->service,
		.size = { .cpu_milli = q->cpu_milli, .mem_bytes = q->mem_bytes, .accel = q->accel },
		.class = (enum work_class)q->work_class,
		.index = q->index,
		.attempt = q->attempt,
		.run_ms = q->run_ms,
	};
}

void taskserve_start(struct placement *pl)
{
	struct worker *w = pl->worker;
	struct worker_task t;
	struct start_batch *b;

	if (pl->req->deadline_ms && now_ms() >= pl->received_ms + pl->req->deadline_ms) {
		pl->phase = PLACEMENT_WAITING;
		end_not_started(pl, END_UNREACHABLE, "claim", "the claim on the task expired");
		return;
	}
	if (!w || !worker_may_start(w)) {
		pl->phase = PLACEMENT_WAITING;
		end_not_started(pl, END_UNREACHABLE, "start", "no valid lease on the worker");
		return;
	}
	w->tasks++;
	describe_task(&t, pl);
	b = g_new0(struct start_batch, 1);
	b->racks = pl->racks;
	b->task_ids = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(b->task_ids, g_strdup(pl->task_id));
	worker_start(w, &t, 1, on_started, b);
	worker_poll_soon(w);
}

void taskserve_preempt(struct placement *pl)
{
	if (pl->worker && pl->phase == PLACEMENT_RUNNING)
		worker_stop(pl->worker, pl->task_id, true);
}

static void on_credit(void *ctx, uint32_t bytes)
{
}

/* A lost link leaves the task running; only an explicit cancel of the coordinator stops it. */
static void on_cancel(void *ctx, bool lost)
{
	struct placement *pl = ctx;
	struct racks *r = pl->racks;

	pl->call = NULL;
	if (lost)
		return;
	if (pl->phase == PLACEMENT_WAITING) {
		if (!owner_cancel(r->owner, pl->id, now_ms()))
			placement_forget(pl);
		racks_schedule_run(r);
	} else if (pl->phase != PLACEMENT_ENDED && pl->worker) {
		worker_stop(pl->worker, pl->task_id, false);
	}
}

static const struct call_server_ops server_ops = {
	.credit = on_credit,
	.cancel = on_cancel,
};

/* Attaches a new call of the coordinator to the task. */
static void attach(struct placement *pl, struct call *c)
{
	struct call_begin b = { .length_bytes = -1, .status = 200 };
	struct call_end e;

	if (pl->phase == PLACEMENT_ENDED) {
		call_end(c, &pl->end);
		placement_forget(pl);
		return;
	}
	if (pl->call)
		call_end(pl->call,
			 call_end_set(&e, OUTCOME_UNKNOWN, 409, "attach", pl->racks->deps.set->name,
				      "another call took over the task"));
	pl->call = c;
	call_serve(c, &server_ops, pl);
	if (pl->phase != PLACEMENT_RUNNING)
		return;
	b.worker = pl->worker->name;
	call_begin(c, &b);
}

static void reply_not_found(struct racks *r, struct call *c)
{
	uint32_t unready = fleet_unready_count(r->fleet);
	struct call_end e;

	if (unready == 0) {
		call_end_set(&e, OUTCOME_NOT_RUN, 404, "attach", r->deps.set->name,
			     "no worker of this owner has the task");
		e.covered_workers = fleet_owned_count(r->fleet);
	} else {
		call_end_set(&e, OUTCOME_UNKNOWN, 503, "attach", r->deps.set->name,
			     "%u workers have not been read", unready);
	}
	call_end(c, &e);
}

/*
 * Withdraws a task that waits, for a draining coordinator. The task's own call then ends as not
 * run.
 */
static void withdraw(struct placement *pl, struct call *c)
{
	struct racks *r = pl->racks;
	struct call_end e;

	if (pl->phase == PLACEMENT_WAITING && owner_cancel(r->owner, pl->id, now_ms()))
		racks_schedule_run(r);
	call_end(c, call_end_set(&e, OUTCOME_NOT_RUN, 404, "withdraw", r->deps.set->name,
				 "the task's own call says what became of it"));
}

void taskserve_call(void *ctx, struct call *c, const Kw__Call *req)
{
	struct racks *r = ctx;
	char *id = g_strdup_printf("%s/%u/%u", req->job, req->index, req->attempt);
	struct placement *pl = g_hash_table_lookup(r->tasks, id);

	if (pl && req->withdraw) {
		withdraw(pl, c);
		g_free(id);
		return;
	}
	if (pl) {
		attach(pl, c);
		g_free(id);
		return;
	}
	if (req->attach_only) {
		reply_not_found(r, c);
		g_free(id);
		return;
	}
	pl = placement_create(r, c, req);
	pl->task_id = id;
	g_hash_table_insert(r->tasks, pl->task_id, pl);
	call_serve(c, &server_ops, pl);
	placement_submit(pl);
}

static void adopt(struct racks *r, struct worker *w, const struct worker_task *t)
{
	Kw__Call req = KW__CALL__INIT;
	struct placement *pl;
	struct work work;

	req.kind = KW__CALL_KIND__CALL_TASK;
	req.job = (char *)t->job;
	req.team = (char *)t->team;
	req.service = (char *)t->service;
	req.index = t->index;
	req.attempt = t->attempt;
	req.work_class = t->class;
	pl = placement_create(r, NULL, &req);
	pl->task_id = g_strdup(t->id);
	pl->worker = w;
	pl->phase = PLACEMENT_RUNNING;
	g_hash_table_insert(r->tasks, pl->task_id, pl);
	w->tasks++;
	work = (struct work){
		.id = pl->id,
		.job = g_str_hash(t->job) + 1ULL,
		.size = t->size,
		.class = t->class,
		.team = pl->team,
		.service = racks_intern(r, t->service),
		.avoid_worker = UINT32_MAX,
	};
	owner_worker_adopt(r->owner, w->handle, &work, now_ms());
}

static GPtrArray *tasks_on(struct racks *r, const struct worker *w)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct placement *)value)->worker == w)
			g_ptr_array_add(found, value);
	return found;
}

/* Ends tasks started by this owner that are missing from the inventory. */
static void end_absent_tasks(struct racks *r, struct worker *w, GHashTable *present)
{
	g_autoptr(GPtrArray) tasks = tasks_on(r, w);
	struct call_end e;

	for (guint i = 0; i < tasks->len; i++) {
		struct placement *pl = tasks->pdata[i];

		if (g_hash_table_contains(present, pl->task_id) || pl->phase == PLACEMENT_ENDED)
			continue;
		if (pl->phase == PLACEMENT_STARTING) {
			end_not_started(pl, END_UNREACHABLE, "start",
					"the start did not arrive before it was fenced");
			continue;
		}
		call_end_set(&e, OUTCOME_UNKNOWN, 502, "inventory", w->name,
			     "the worker has no record of the task any more");
		end_task(pl, END_LOST, &e);
	}
}

void taskserve_inventory(struct racks *r, struct worker *w, const struct worker_reply *reply)
{
	g_autoptr(GHashTable) present = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < reply->n_task; i++) {
		const struct worker_task *t = &reply->task[i];
		struct placement *pl = g_hash_table_lookup(r->tasks, t->id);

		g_hash_table_add(present, (gpointer)t->id);
		/* The rack moved away and back while the start was in flight. */
		if (pl && pl->phase == PLACEMENT_STARTING && !pl->worker) {
			end_start_after_move(pl, false);
			pl = NULL;
		}
		if (!pl)
			adopt(r, w, t);
		else if (pl->phase == PLACEMENT_STARTING && pl->worker == w)
			mark_running(pl);
		if (t->ended)
			taskserve_ended(r, w, t);
	}
	end_absent_tasks(r, w, present);
	if (w->tasks)
		worker_poll_soon(w);
}

void taskserve_ended(struct racks *r, struct worker *w, const struct worker_task *t)
{
	struct placement *pl = g_hash_table_lookup(r->tasks, t->id);
	bool ran = g_str_equal(t->reason, "done") || g_str_equal(t->reason, "failed");
	bool stopped = t->reason[0] && !ran;
	struct call_end e;

	if (!pl || pl->worker != w)
		return;
	if (pl->phase == PLACEMENT_STARTING)
		mark_running(pl);
	if (t->exit == 0 && !stopped)
		call_end_set(&e, OUTCOME_DONE, 200, "end", w->name, "exit status 0");
	else
		call_end_set(&e, OUTCOME_FAILED, 502, "end", w->name, "exit status %d %s", t->exit,
			     t->reason);
	end_task(pl, stopped ? END_PREEMPTED : t->exit == 0 ? END_OK : END_FAILED, &e);
}

bool taskserve_has_unreported_end(struct racks *r, const struct worker *w)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct placement *pl = value;

		if (pl->phase == PLACEMENT_ENDED && g_str_equal(pl->end.peer, w->name))
			return true;
	}
	return false;
}

void taskserve_lease_lapsed(struct racks *r, struct worker *w)
{
	g_autoptr(GPtrArray) tasks = tasks_on(r, w);
	struct call_end e;

	for (guint i = 0; i < tasks->len; i++) {
		call_end_set(&e, OUTCOME_FAILED, 502, "lease", w->name,
			     "the task's lease lapsed, so the worker has stopped it");
		end_task(tasks->pdata[i], END_LOST, &e);
	}
}

void taskserve_rack_moved(struct racks *r, struct worker *w)
{
	g_autoptr(GPtrArray) tasks = tasks_on(r, w);
	struct call_end e;

	for (guint i = 0; i < tasks->len; i++) {
		struct placement *pl = tasks->pdata[i];

		set_moved(&e, w->name);
		/* The reply to the start will tell whether the task was started. */
		if (pl->phase == PLACEMENT_STARTING)
			pl->worker = NULL;
		else
			end_moved(pl, &e);
	}
}
