#include <string.h>

#include "worker.h"

#define USAGE_LAG_MS	      1000
#define USAGE_DEFAULT_PERCENT 70
/* How long a task runs that fails by the fault fail_tasks. */
#define FAILED_TASK_RUN_MS 10
#define WAIT_MAX_MS	   60000

struct task {
	char *id;
	char *job;
	char *team;
	char *service;
	char *class;
	const char *reason; /* NULL while it runs */
	int64_t index;
	int64_t attempt;
	int64_t cpu_milli;
	int64_t mem_bytes;
	int64_t accel;
	int64_t started_ms;
	int64_t ends_ms; /* 0: runs until stopped */
	uint64_t seq;	 /* sequence number of its end */
	int exit;
};

/* A renewal that waits for the end of a task. */
struct renew_waiter {
	struct worker *w;
	SoupServerMessage *msg;
	uint64_t epoch;
	guint timer;
};

static void task_free(gpointer data)
{
	struct task *t = data;

	g_free(t->id);
	g_free(t->job);
	g_free(t->team);
	g_free(t->service);
	g_free(t->class);
	g_free(t);
}

struct worker *worker_create(JsonObject *entry, struct record_file *record)
{
	struct worker *w = g_new0(struct worker, 1);
	JsonBuilder *b;

	w->name = g_strdup(standin_str(entry, "name", ""));
	w->owner = g_strdup("");
	w->record = record;
	w->capacity.cpu_milli = standin_int(entry, "cpu_milli", 0);
	w->capacity.mem_bytes = standin_int(entry, "mem_bytes", 0);
	w->capacity.accel = standin_int(entry, "accel", 0);
	w->capacity.slots = standin_int(entry, "slots", 0);
	w->capacity.connections = standin_int(entry, "connections", 0);
	w->fault.usage_percent = USAGE_DEFAULT_PERCENT;
	w->tasks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, task_free);
	b = record_begin(w->name, "worker");
	standin_set_int(b, "cpu_milli", w->capacity.cpu_milli);
	standin_set_int(b, "mem_bytes", w->capacity.mem_bytes);
	standin_set_int(b, "accel", w->capacity.accel);
	standin_set_int(b, "slots", w->capacity.slots);
	standin_set_int(b, "connections", w->capacity.connections);
	record_end(record, b);
	return w;
}

void worker_overload(struct worker *w, const char *what, const char *id, uint64_t epoch)
{
	JsonBuilder *b = record_begin(w->name, "overload");

	standin_set_str(b, "what", what);
	standin_set_str(b, "id", id);
	standin_set_int(b, "epoch", (int64_t)epoch);
	standin_set_str(b, "owner", w->owner);
	record_end(w->record, b);
}

enum refusal worker_check_epoch(const struct worker *w, uint64_t epoch)
{
	if (epoch != w->epoch && !w->fault.epochs_ignored)
		return REFUSE_EPOCH;
	if (!w->lease_until_ms || standin_now_ms() >= w->lease_until_ms)
		return REFUSE_LAPSED;
	return REFUSE_NONE;
}

static void add_task(JsonBuilder *b, const struct task *t)
{
	standin_set_str(b, "id", t->id);
	standin_set_str(b, "job", t->job);
	standin_set_int(b, "index", t->index);
	standin_set_int(b, "attempt", t->attempt);
	standin_set_str(b, "team", t->team);
	standin_set_str(b, "service", t->service);
	standin_set_str(b, "class", t->class);
	standin_set_int(b, "cpu_milli", t->cpu_milli);
	standin_set_int(b, "mem_bytes", t->mem_bytes);
	standin_set_int(b, "accel", t->accel);
}

static void record_task(struct worker *w, const char *event, const struct task *t,
			const char *reason, uint64_t epoch)
{
	JsonBuilder *b = record_begin(w->name, event);

	add_task(b, t);
	standin_set_int(b, "epoch", (int64_t)epoch);
	standin_set_str(b, "owner", w->owner);
	if (reason)
		standin_set_str(b, "reason", reason);
	if (t->reason)
		standin_set_int(b, "exit", t->exit);
	record_end(w->record, b);
}

static void record_epoch(struct worker *w, const char *event, uint64_t epoch, const char *detail)
{
	JsonBuilder *b = record_begin(w->name, event);

	standin_set_int(b, "epoch", (int64_t)epoch);
	standin_set_int(b, "newest", (int64_t)w->epoch);
	standin_set_str(b, "owner", w->owner);
	standin_set_str(b, "detail", detail);
	record_end(w->record, b);
}

static void reply_epoch(struct worker *w, SoupServerMessage *msg, unsigned int code)
{
	JsonBuilder *b = json_builder_new();

	json_builder_begin_object(b);
	standin_set_int(b, "epoch", (int64_t)w->epoch);
	json_builder_end_object(b);
	standin_reply(msg, code, b);
}

static void reply_renew(struct worker *w, SoupServerMessage *msg)
{
	JsonBuilder *b = json_builder_new();
	GHashTableIter it;
	gpointer value;
	int64_t now_ms = standin_now_ms();

	json_builder_begin_object(b);
	standin_set_bool(b, "leaving", w->fault.leaving);
	standin_set_int(b, "seq", (int64_t)w->ended_seq);
	standin_set_int(b, "runs", w->used.slots);
	json_builder_set_member_name(b, "ended");
	json_builder_begin_array(b);
	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct task *t = value;

		if (!t->reason)
			continue;
		json_builder_begin_object(b);
		standin_set_str(b, "id", t->id);
		standin_set_int(b, "exit", t->exit);
		standin_set_str(b, "reason", t->reason);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
	json_builder_set_member_name(b, "usage");
	json_builder_begin_array(b);
	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct task *t = value;

		if (t->reason || now_ms - t->started_ms < USAGE_LAG_MS)
			continue;
		json_builder_begin_object(b);
		standin_set_str(b, "id", t->id);
		standin_set_int(b, "cpu_milli", t->cpu_milli * w->fault.usage_percent / 100);
		standin_set_int(b, "mem_bytes", t->mem_bytes / 100 * w->fault.usage_percent);
		standin_set_int(b, "accel", t->accel);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
	json_builder_end_object(b);
	standin_reply(msg, SOUP_STATUS_OK, b);
}

static void waiter_end(struct renew_waiter *r)
{
	struct worker *w = r->w;

	w->waiters = g_list_remove(w->waiters, r);
	if (r->timer)
		g_source_remove(r->timer);
	if (r->epoch != w->epoch && !w->fault.epochs_ignored)
		reply_epoch(w, r->msg, SOUP_STATUS_CONFLICT);
	else
		reply_renew(w, r->msg);
	soup_server_message_unpause(r->msg);
	g_object_unref(r->msg);
	g_free(r);
}

static gboolean waiter_timeout(gpointer data)
{
	struct renew_waiter *r = data;

	r->timer = 0;
	waiter_end(r);
	return G_SOURCE_REMOVE;
}

static void wake_waiters(struct worker *w)
{
	GList *waiters = g_steal_pointer(&w->waiters);

	for (GList *at = waiters; at; at = at->next)
		waiter_end(at->data);
	g_list_free(waiters);
}

static void task_end(struct worker *w, struct task *t, const char *reason, int code)
{
	w->used.cpu_milli -= t->cpu_milli;
	w->used.mem_bytes -= t->mem_bytes;
	w->used.accel -= t->accel;
	t->reason = reason;
	t->exit = code;
	t->seq = ++w->ended_seq;
	record_task(w, "end", t, reason, w->epoch);
}

/* Ends each running task that is due, or all of them with the given reason. */
static void end_tasks(struct worker *w, int64_t now_ms, const char *reason)
{
	GHashTableIter it;
	gpointer value;
	bool some = false;

	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct task *t = value;

		if (t->reason || (!reason && (!t->ends_ms || now_ms < t->ends_ms)))
			continue;
		some = true;
		if (reason)
			task_end(w, t, reason, -1);
		else
			task_end(w, t, w->fault.fail_tasks ? "failed" : "done",
				 w->fault.fail_tasks ? 1 : 0);
	}
	if (some)
		wake_waiters(w);
}

void worker_tick(struct worker *w, int64_t now_ms)
{
	if (w->task_lease_until_ms && now_ms >= w->task_lease_until_ms) {
		w->task_lease_until_ms = 0;
		end_tasks(w, now_ms, "lease");
	}
	if (w->lease_until_ms && now_ms >= w->lease_until_ms) {
		w->lease_until_ms = 0;
		record_epoch(w, "lease_lapsed", w->epoch, "");
	}
	if (now_ms >= w->fault.frozen_until_ms)
		end_tasks(w, now_ms, NULL);
}

static void renew_leases(struct worker *w)
{
	int64_t now_ms = standin_now_ms();

	w->lease_until_ms = now_ms + w->lease_ms;
	w->task_lease_until_ms = now_ms + w->task_lease_ms;
}

static void call_session(struct worker *w, SoupServerMessage *msg, JsonObject *o)
{
	const char *owner = standin_str(o, "owner", "");
	uint64_t epoch = (uint64_t)standin_int(o, "epoch", 0);
	bool old = epoch < w->epoch || (epoch == w->epoch && strcmp(owner, w->owner) != 0);
	GHashTableIter it;
	gpointer value;
	JsonBuilder *b;

	if (!epoch || (old && !w->fault.epochs_ignored)) {
		record_epoch(w, "session_refused", epoch, owner);
		reply_epoch(w, msg, SOUP_STATUS_CONFLICT);
		return;
	}
	w->epoch = epoch;
	g_free(w->owner);
	w->owner = g_strdup(owner);
	w->lease_ms = standin_int(o, "lease_ms", 0);
	w->task_lease_ms = standin_int(o, "task_lease_ms", 0);
	renew_leases(w);
	record_epoch(w, "session", epoch, "");
	wake_waiters(w);
	b = json_builder_new();
	json_builder_begin_object(b);
	standin_set_int(b, "epoch", (int64_t)epoch);
	standin_set_bool(b, "leaving", w->fault.leaving);
	standin_set_int(b, "runs", w->used.slots);
	json_builder_set_member_name(b, "tasks");
	json_builder_begin_array(b);
	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct task *t = value;

		json_builder_begin_object(b);
		add_task(b, t);
		standin_set_str(b, "state", t->reason ? "ended" : "running");
		standin_set_int(b, "exit", t->exit);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
	json_builder_end_object(b);
	standin_reply(msg, SOUP_STATUS_OK, b);
}

static gboolean is_acked(gpointer key, gpointer value, gpointer data)
{
	const struct task *t = value;
	const uint64_t *ack = data;

	return t->reason && t->seq <= *ack;
}

static bool has_ended(struct worker *w)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((struct task *)value)->reason)
			return true;
	}
	return false;
}

static void call_renew(struct worker *w, SoupServerMessage *msg, JsonObject *o)
{
	uint64_t ack = (uint64_t)standin_int(o, "ack", 0);
	int64_t wait_ms = CLAMP(standin_int(o, "wait_ms", 0), 0, WAIT_MAX_MS);
	struct renew_waiter *r;

	renew_leases(w);
	g_hash_table_foreach_remove(w->tasks, is_acked, &ack);
	if (!wait_ms || has_ended(w)) {
		reply_renew(w, msg);
		return;
	}
	r = g_new0(struct renew_waiter, 1);
	r->w = w;
	r->msg = g_object_ref(msg);
	r->epoch = w->epoch;
	r->timer = g_timeout_add((guint)wait_ms, waiter_timeout, r);
	w->waiters = g_list_append(w->waiters, r);
	soup_server_message_pause(msg);
}

static struct task *task_create(JsonObject *o)
{
	struct task *t = g_new0(struct task, 1);

	t->id = g_strdup(standin_str(o, "id", ""));
	t->job = g_strdup(standin_str(o, "job", ""));
	t->team = g_strdup(standin_str(o, "team", ""));
	t->service = g_strdup(standin_str(o, "service", ""));
	t->class = g_strdup(standin_str(o, "class", ""));
	t->index = standin_int(o, "index", 0);
	t->attempt = standin_int(o, "attempt", 0);
	t->cpu_milli = standin_int(o, "cpu_milli", 0);
	t->mem_bytes = standin_int(o, "mem_bytes", 0);
	t->accel = standin_int(o, "accel", 0);
	t->started_ms = standin_now_ms();
	t->ends_ms = standin_int(o, "run_ms", 0);
	if (t->ends_ms)
		t->ends_ms += t->started_ms;
	return t;
}

static const char *missing_resource(const struct worker *w, const struct task *t)
{
	if (w->used.cpu_milli + t->cpu_milli > w->capacity.cpu_milli)
		return "cpu_milli";
	if (w->used.mem_bytes + t->mem_bytes > w->capacity.mem_bytes)
		return "mem_bytes";
	if (w->used.accel + t->accel > w->capacity.accel)
		return "accel";
	return NULL;
}

/* Starts a task, or returns the reason of the refusal. Takes ownership of t. */
static const char *task_start(struct worker *w, struct task *t, uint64_t epoch)
{
	const char *missing = missing_resource(w, t);
	const char *reason = NULL;

	if (g_hash_table_contains(w->tasks, t->id))
		reason = "duplicate";
	else if (w->fault.leaving)
		reason = "leaving";
	else if (missing)
		reason = "full";
	else if (w->fault.fail_starts)
		reason = "start_failed";
	if (reason && !strcmp(reason, "full"))
		worker_overload(w, missing, t->id, epoch);
	if (reason) {
		record_task(w, "start_refused", t, reason, epoch);
		task_free(t);
		return reason;
	}
	if (w->fault.fail_tasks)
		t->ends_ms = t->started_ms + FAILED_TASK_RUN_MS;
	w->used.cpu_milli += t->cpu_milli;
	w->used.mem_bytes += t->mem_bytes;
	w->used.accel += t->accel;
	g_hash_table_insert(w->tasks, t->id, t);
	record_task(w, "start", t, NULL, epoch);
	return NULL;
}

static void call_tasks(struct worker *w, SoupServerMessage *msg, JsonObject *o)
{
	uint64_t epoch = (uint64_t)standin_int(o, "epoch", 0);
	JsonArray *tasks = NULL;
	JsonBuilder *b = json_builder_new();

	if (json_object_has_member(o, "tasks"))
		tasks = json_object_get_array_member(o, "tasks");
	json_builder_begin_object(b);
	json_builder_set_member_name(b, "results");
	json_builder_begin_array(b);
	for (guint i = 0; tasks && i < json_array_get_length(tasks); i++) {
		struct task *t = task_create(json_array_get_object_element(tasks, i));
		g_autofree char *id = g_strdup(t->id);
		const char *reason = task_start(w, t, epoch);

		json_builder_begin_object(b);
		standin_set_str(b, "id", id);
		standin_set_bool(b, "ok", !reason);
		if (reason)
			standin_set_str(b, "reason", reason);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
	json_builder_end_object(b);
	standin_reply(msg, SOUP_STATUS_OK, b);
}

static void call_stop(struct worker *w, SoupServerMessage *msg, JsonObject *o)
{
	struct task *t = g_hash_table_lookup(w->tasks, standin_str(o, "id", ""));
	bool running = t && !t->reason;
	JsonBuilder *b = json_builder_new();

	if (running)
		task_end(w, t, standin_flag(o, "checkpoint", false) ? "checkpoint" : "stopped", 0);
	json_builder_begin_object(b);
	standin_set_bool(b, "ok", running);
	json_builder_end_object(b);
	standin_reply(msg, SOUP_STATUS_OK, b);
	if (running)
		wake_waiters(w);
}

static const struct call {
	const char *name;
	void (*serve)(struct worker *w, SoupServerMessage *msg, JsonObject *o);
} calls[] = {
	{ "renew", call_renew },
	{ "tasks", call_tasks },
	{ "stop", call_stop },
};

static void call_checked(struct worker *w, SoupServerMessage *msg, JsonObject *o,
			 const struct call *call)
{
	uint64_t epoch = (uint64_t)standin_int(o, "epoch", 0);

	switch (worker_check_epoch(w, epoch)) {
	case REFUSE_EPOCH:
		record_epoch(w, "fenced", epoch, call->name);
		reply_epoch(w, msg, SOUP_STATUS_CONFLICT);
		break;
	case REFUSE_LAPSED:
		record_epoch(w, "late", epoch, call->name);
		reply_epoch(w, msg, SOUP_STATUS_GONE);
		break;
	default:
		call->serve(w, msg, o);
		break;
	}
}

bool worker_call(struct worker *w, SoupServerMessage *msg, const char *name)
{
	JsonObject *o = standin_body(msg);
	bool known = !strcmp(name, "session");

	if (!o) {
		standin_error(msg, SOUP_STATUS_BAD_REQUEST, "not an object");
		return true;
	}
	if (known)
		call_session(w, msg, o);
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		if (strcmp(name, calls[i].name) != 0)
			continue;
		known = true;
		call_checked(w, msg, o, &calls[i]);
	}
	json_object_unref(o);
	return known;
}

/* Replaces the VM by an empty one of the same name. */
static void restart(struct worker *w)
{
	end_tasks(w, standin_now_ms(), "vm_lost");
	g_hash_table_remove_all(w->tasks);
	w->epoch = 0;
	w->lease_until_ms = 0;
	w->task_lease_until_ms = 0;
	record_epoch(w, "restart", 0, "");
}

void worker_fault(struct worker *w, JsonObject *o)
{
	struct worker_fault *f = &w->fault;
	bool was_leaving = f->leaving;

	if (json_object_has_member(o, "freeze_ms"))
		f->frozen_until_ms = standin_now_ms() + standin_int(o, "freeze_ms", 0);
	f->lose_answers = standin_int(o, "lose_answers", f->lose_answers);
	f->usage_percent = standin_int(o, "usage_percent", f->usage_percent);
	f->fail_starts = standin_flag(o, "fail_starts", f->fail_starts);
	f->fail_tasks = standin_flag(o, "fail_tasks", f->fail_tasks);
	f->leaving = standin_flag(o, "leaving", f->leaving);
	f->drop = standin_flag(o, "drop", f->drop);
	f->epochs_ignored = standin_flag(o, "epochs_ignored", f->epochs_ignored);
	if (f->leaving != was_leaving)
		record_epoch(w, f->leaving ? "leaving" : "staying", w->epoch, "");
	if (f->leaving && !was_leaving)
		wake_waiters(w);
	if (standin_flag(o, "restart", false))
		restart(w);
}
