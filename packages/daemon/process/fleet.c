#define G_LOG_DOMAIN "fleet"

#include <string.h>

#include "clock.h"
#include "fleet.h"
#include "log.h"

#define POLL_GAP_MS 50
/* Poll interval while requests of an earlier owner still run. */
#define FOREIGN_POLL_MS 250
/* A worker that repeats an unacknowledged end answers renewals at once, so they are paced. */
#define UNACKED_POLL_GAP_MS 500

struct fleet {
	const struct settings *set;
	struct members *members;
	struct worker_client *client;
	const struct worker_ops *worker_ops;
	const struct fleet_ops *ops;
	void *ctx;
	GHashTable *by_name;
	uint64_t seed; /* shared by all sessions: the low bits mark this daemon's epochs */
	uint32_t last_generation; /* of all workers, also those that are not listed any more */
	bool releasing;
};

/* A message in flight. The worker may be gone when the reply arrives. */
struct exchange {
	struct fleet *fleet;
	char *name;
	uint32_t generation;
};

static void drive_session(struct worker *w);

static struct exchange *exchange_create(struct worker *w)
{
	struct exchange *x = g_new0(struct exchange, 1);

	x->fleet = w->fleet;
	x->name = g_strdup(w->name);
	x->generation = w->generation;
	return x;
}

static struct worker *exchange_end(struct exchange *x)
{
	struct worker *w = g_hash_table_lookup(x->fleet->by_name, x->name);

	if (w && (!w->is_owned || w->generation != x->generation))
		w = NULL;
	g_free(x->name);
	g_free(x);
	return w;
}

static void worker_free(gpointer data)
{
	struct worker *w = data;

	if (w->timer)
		g_source_remove(w->timer);
	session_destroy(w->session);
	g_free(w->name);
	g_free(w->rack);
	g_free(w->url);
	g_free(w->service);
	g_free(w);
}

static bool is_leaving(const struct worker *w)
{
	return w->listed_leaving || w->reported_leaving;
}

static void update_state(struct worker *w)
{
	enum session_state s = session_state(w->session, now_ms());
	enum worker_state next = WORKER_UNREADY;

	if (s == SESSION_READY)
		next = is_leaving(w) ? WORKER_LEAVING : WORKER_READY;
	else if (s == SESSION_LOST || s == SESSION_FENCED)
		next = WORKER_LOST;
	if (next == w->state || !w->is_owned)
		return;
	w->state = next;
	w->fleet->ops->state_changed(w->fleet->ctx, w);
}

static gboolean on_timer(gpointer data)
{
	struct worker *w = data;

	w->timer = 0;
	drive_session(w);
	return G_SOURCE_REMOVE;
}

static void drive_session_at(struct worker *w, int64_t at_ms)
{
	int64_t delay = CLAMP(at_ms - now_ms(), 0, 60000);

	if (w->timer)
		g_source_remove(w->timer);
	w->timer = g_timeout_add((guint)delay, on_timer, w);
}

static void check_leases(struct worker *w)
{
	int64_t now = now_ms();

	if (session_state(w->session, now) != SESSION_LAPSED || w->state == WORKER_UNREADY)
		return;
	update_state(w);
	w->fleet->ops->leases_lapsed(w->fleet->ctx, w);
}

static void report_ends(struct worker *w, const struct worker_reply *r)
{
	struct fleet *f = w->fleet;

	for (size_t i = 0; i < r->n_task; i++)
		f->ops->task_ended(f->ctx, w, &r->task[i]);
	for (size_t i = 0; i < r->n_usage; i++)
		f->ops->task_usage(f->ctx, w, &r->usage[i]);
	/*
	 * The renewal after next acknowledges the ends if all were reported by then. The worker
	 * repeats an end that no coordinator asked for here to the next owner.
	 */
	w->has_unacked_end = r->n_task && f->ops->has_unreported_end(f->ctx, w);
	if (!w->has_unacked_end)
		w->ack_seq = w->read_seq;
	w->read_seq = r->seq;
}

void worker_handle_refusal(struct worker *w, const struct worker_reply *r)
{
	int64_t now = now_ms();

	if (r->result == WORKER_NEWER_EPOCH) {
		log_info("session", w->name,
			 "refused: another owner has the newer epoch %" G_GUINT64_FORMAT, r->epoch);
		session_refused(w->session, r->epoch, now);
	} else if (r->result == WORKER_LAPSED) {
		session_expired(w->session, now);
	} else {
		session_unreachable(w->session, now);
	}
	update_state(w);
}

/* Returns the worker that replied, or NULL if it is gone or refused; a refusal is handled here. */
static struct worker *accept_reply(void *ctx, const struct worker_reply *r)
{
	struct worker *w = exchange_end(ctx);

	if (!w)
		return NULL;
	w->in_flight = false;
	if (r->result == WORKER_OK)
		return w;
	worker_handle_refusal(w, r);
	drive_session(w);
	return NULL;
}

static void on_opened(void *ctx, const struct worker_reply *r)
{
	struct worker *w = accept_reply(ctx, r);

	if (!w)
		return;
	session_opened(w->session, r->epoch, now_ms());
	w->reported_leaving = r->leaving;
	w->ack_seq = w->read_seq = 0;
	w->fleet->ops->inventory(w->fleet->ctx, w, r);
	w->fleet->ops->request_count(w->fleet->ctx, w, r->runs, w->sent_ms);
	update_state(w);
	drive_session(w);
}

static void on_renewed(void *ctx, const struct worker_reply *r)
{
	struct worker *w = accept_reply(ctx, r);

	if (!w)
		return;
	session_renewed(w->session, now_ms());
	w->reported_leaving = r->leaving;
	report_ends(w, r);
	w->fleet->ops->request_count(w->fleet->ctx, w, r->runs, w->sent_ms);
	update_state(w);
	if (w->foreign_requests)
		drive_session_at(w, now_ms() + FOREIGN_POLL_MS);
	else if (w->tasks)
		drive_session_at(
			w, now_ms() + (w->has_unacked_end ? UNACKED_POLL_GAP_MS : POLL_GAP_MS));
	else
		drive_session(w);
}

static void send_open(struct worker *w)
{
	struct fleet *f = w->fleet;

	w->in_flight = true;
	w->sent_ms = now_ms();
	session_sent(w->session, SESSION_SEND_OPEN, now_ms());
	f->worker_ops->open(f->client, w->url, f->set->name, session_epoch(w->session), on_opened,
			    exchange_create(w));
}

static void send_renew(struct worker *w)
{
	struct fleet *f = w->fleet;
	uint32_t wait_ms = w->tasks && !w->foreign_requests ? f->set->renew_ms : 0;

	w->in_flight = true;
	w->sent_ms = now_ms();
	session_sent(w->session, SESSION_SEND_RENEW, now_ms());
	f->worker_ops->renew(f->client, w->url, session_epoch(w->session), w->ack_seq, wait_ms,
			     on_renewed, exchange_create(w));
}

static void drive_session(struct worker *w)
{
	int64_t now = now_ms();
	int64_t at_ms = INT64_MAX;
	enum session_action act;

	if (w->in_flight || !w->is_owned)
		return;
	check_leases(w);
	act = session_next(w->session, now, &at_ms);
	if (act == SESSION_SEND_OPEN)
		send_open(w);
	else if (act == SESSION_SEND_RENEW || ((w->tasks || w->foreign_requests) &&
					       session_state(w->session, now) == SESSION_READY))
		send_renew(w);
	else if (at_ms != INT64_MAX)
		drive_session_at(w, at_ms);
}

static struct session *make_session(struct fleet *f)
{
	struct session_conf conf = {
		.lease_ms = f->set->lease_ms,
		.task_lease_ms = f->set->task_lease_ms,
		.renew_ms = f->set->renew_ms,
		.guard_ms = f->set->guard_ms,
		.drift_ppm = f->set->drift_ppm,
		.reopen_min_ms = f->set->reopen_min_ms,
		.reopen_max_ms = f->set->reopen_max_ms,
	};

	return session_create(&conf, f->seed);
}

static void own_worker(struct worker *w)
{
	w->is_owned = true;
	w->state = WORKER_UNREADY;
	w->fleet->ops->added(w->fleet->ctx, w);
	session_set_wanted(w->session, true, now_ms());
	drive_session(w);
}

static void disown_worker(struct worker *w)
{
	w->is_owned = false;
	w->in_flight = false;
	w->generation = ++w->fleet->last_generation;
	session_set_wanted(w->session, false, now_ms());
	w->fleet->ops->removed(w->fleet->ctx, w);
	/* Replies to the old session must not be taken for replies to a new one. */
	session_destroy(w->session);
	w->session = make_session(w->fleet);
}

static void update_owned(struct fleet *f, struct worker *w)
{
	const char *owner = members_owner(f->members, f->set->dc, w->rack);
	bool is_ours = !f->releasing && w->is_listed && owner && strcmp(owner, f->set->name) == 0;

	if (is_ours && !w->is_owned)
		own_worker(w);
	else if (!is_ours && w->is_owned)
		disown_worker(w);
}

void fleet_update_owned(struct fleet *f)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct worker *w = value;

		update_owned(f, w);
		if (!w->is_listed && !w->is_owned)
			g_hash_table_iter_remove(&it);
	}
}

void fleet_release_all(struct fleet *f)
{
	f->releasing = true;
	fleet_update_owned(f);
}

static struct worker *add_worker(struct fleet *f, const struct vm *vm)
{
	g_autofree char *url = g_strdup_printf("http://%s:%u/%s", vm->host, vm->port, vm->path);
	struct worker *w;

	if (!g_uri_is_valid(url, G_URI_FLAGS_NONE, NULL)) {
		log_warn("list", vm->name, "invalid worker URL from the VM list: %s", url);
		return NULL;
	}
	w = g_new0(struct worker, 1);
	w->fleet = f;
	w->generation = ++f->last_generation;
	w->name = g_strdup(vm->name);
	w->rack = g_strdup(vm->rack);
	w->url = g_steal_pointer(&url);
	w->service = g_strdup(vm->service);
	w->total = vm->total;
	w->slots = vm->slots;
	w->connections = vm->connections;
	w->session = make_session(f);
	g_hash_table_insert(f->by_name, w->name, w);
	return w;
}

static void list_worker(struct fleet *f, const struct vm *vm)
{
	struct worker *w = g_hash_table_lookup(f->by_name, vm->name);

	if (!w)
		w = add_worker(f, vm);
	if (!w)
		return;
	w->is_listed = true;
	if (w->listed_leaving == vm->leaving)
		return;
	w->listed_leaving = vm->leaving;
	update_state(w);
}

void fleet_set_vms(struct fleet *f, const struct vm *vm, size_t n)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct worker *)value)->is_listed = false;
	for (size_t i = 0; i < n; i++)
		if (!vm[i].is_entry && strcmp(vm[i].dc, f->set->dc) == 0)
			list_worker(f, &vm[i]);
	fleet_update_owned(f);
}

uint32_t fleet_unready_count(const struct fleet *f)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, f->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct worker *w = value;

		if (!w->is_owned || w->state == WORKER_READY || w->state == WORKER_LEAVING)
			continue;
		n += session_state(w->session, now_ms()) != SESSION_LAPSED;
	}
	return n;
}

uint32_t fleet_owned_count(const struct fleet *f)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, f->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += ((const struct worker *)value)->is_owned;
	return n;
}

uint32_t fleet_listed_count(const struct fleet *f)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, f->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += ((const struct worker *)value)->is_listed;
	return n;
}

struct res fleet_largest_worker(const struct fleet *f)
{
	struct res max = { 0 };
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct worker *w = value;

		max.cpu_milli = MAX(max.cpu_milli, w->total.cpu_milli);
		max.mem_bytes = MAX(max.mem_bytes, w->total.mem_bytes);
		max.accel = MAX(max.accel, w->total.accel);
	}
	return max;
}

bool worker_may_start(const struct worker *w)
{
	return w->is_owned && !is_leaving(w) && session_may_start(w->session, now_ms());
}

void worker_start(struct worker *w, const struct worker_task *task, size_t n, worker_reply_fn fn,
		  void *ctx)
{
	struct fleet *f = w->fleet;

	f->worker_ops->start(f->client, w->url, session_epoch(w->session), task, n, fn, ctx);
}

static void on_stopped(void *ctx, const struct worker_reply *r)
{
	struct worker *w = exchange_end(ctx);

	if (w && r->result != WORKER_OK)
		log_warn("stop", w->name, "stop not confirmed: %s", r->error);
}

void worker_stop(struct worker *w, const char *id, bool checkpoint)
{
	struct fleet *f = w->fleet;

	worker_poll_soon(w);
	f->worker_ops->stop(f->client, w->url, session_epoch(w->session), id, checkpoint,
			    on_stopped, exchange_create(w));
}

void worker_poll_soon(struct worker *w)
{
	if (!w->in_flight)
		drive_session_at(w, now_ms() + POLL_GAP_MS);
}

void worker_set_leaving(struct worker *w)
{
	w->reported_leaving = true;
	update_state(w);
}

void worker_renew_now(struct worker *w)
{
	if (!w->in_flight && session_state(w->session, now_ms()) == SESSION_READY)
		send_renew(w);
}

void worker_reopen_session(struct worker *w)
{
	session_expired(w->session, now_ms());
	update_state(w);
	drive_session(w);
}

struct fleet *fleet_create(const struct settings *set, struct members *members,
			   struct worker_client *client, const struct worker_ops *worker_ops,
			   const struct fleet_ops *ops, void *ctx, uint64_t seed)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->set = set;
	f->members = members;
	f->client = client;
	f->worker_ops = worker_ops;
	f->ops = ops;
	f->ctx = ctx;
	f->seed = seed;
	f->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, worker_free);
	return f;
}

void fleet_destroy(struct fleet *f)
{
	if (!f)
		return;
	g_hash_table_destroy(f->by_name);
	g_free(f);
}
