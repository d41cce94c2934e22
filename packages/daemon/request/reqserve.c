#define G_LOG_DOMAIN "reqserve"

#include "clock.h"
#include "../process/placement.h"
#include "log.h"

/* The slot of a request that may still run stays reserved for twice its run_ms, within limits. */
#define LINGER_MIN_MS 1000
#define LINGER_MAX_MS 30000
/* Credit for answers that nobody waits for; they are read and discarded. */
#define DISCARD_CREDIT_BYTES 65536

static void on_run_begin(void *ctx, const struct call_begin *b)
{
	struct placement *pl = ctx;

	owner_started(pl->racks->owner, pl->id, now_ms());
	pl->phase = PLACEMENT_RUNNING;
	if (pl->discard_answer)
		run_credit(pl->run, DISCARD_CREDIT_BYTES);
	else if (pl->call)
		call_begin(pl->call, b);
}

static gboolean on_linger_timeout(gpointer data)
{
	struct placement *pl = data;
	struct call_end e = { 0 };

	pl->timer = 0;
	placement_end(pl, END_LOST, &e);
	return G_SOURCE_REMOVE;
}

/* The runner may still process the request, so its slot isn't free yet. */
static void start_linger(struct placement *pl)
{
	uint32_t run_ms = pl->req->run_ms;

	pl->timer = g_timeout_add(CLAMP(2 * run_ms, LINGER_MIN_MS, LINGER_MAX_MS),
				  on_linger_timeout, pl);
}

static void on_run_data(void *ctx, GBytes *data)
{
	struct placement *pl = ctx;
	struct call_end e;

	if (pl->discard_answer) {
		run_credit(pl->run, (uint32_t)g_bytes_get_size(data));
		return;
	}
	if (!pl->call || call_data(pl->call, data))
		return;
	run_cancel(g_steal_pointer(&pl->run));
	call_end(g_steal_pointer(&pl->call),
		 call_end_set(&e, OUTCOME_FAILED, 502, "answer", pl->req->service,
			      "the link to the caller's daemon takes no more"));
	start_linger(pl);
}

static enum end_result outcome_to_end_result(const struct call_end *e)
{
	switch (e->outcome) {
	case OUTCOME_DONE:
		return END_OK;
	case OUTCOME_NOT_RUN:
		return g_str_equal(e->step, "refused") ? END_REFUSED : END_UNREACHABLE;
	case OUTCOME_UNKNOWN:
		return END_LOST;
	default:
		return END_FAILED;
	}
}

/* Updates the worker according to the reason why its runner refused a request. */
static void handle_refusal(struct worker *w, const char *reason)
{
	if (g_str_equal(reason, "leaving"))
		worker_set_leaving(w);
	else if (g_str_equal(reason, "epoch") || g_str_equal(reason, "lapsed"))
		worker_renew_now(w);
}

static void on_run_end(void *ctx, const struct call_end *e)
{
	struct placement *pl = ctx;

	pl->run = NULL;
	if (pl->worker && e->outcome == OUTCOME_NOT_RUN)
		handle_refusal(pl->worker, e->message);
	if (e->outcome != OUTCOME_UNKNOWN) {
		placement_end(pl, outcome_to_end_result(e), e);
		return;
	}
	if (pl->call)
		call_end(g_steal_pointer(&pl->call), e);
	start_linger(pl);
}

static const struct call_requester_ops run_ops = {
	.begin = on_run_begin,
	.data = on_run_data,
	.end = on_run_end,
};

static bool may_start(void *ctx)
{
	const struct placement *pl = ctx;

	return pl->worker && worker_may_start(pl->worker);
}

static void on_credit(void *ctx, uint32_t bytes)
{
	struct placement *pl = ctx;

	if (pl->run)
		run_credit(pl->run, bytes);
}

static void on_cancel(void *ctx, bool lost)
{
	struct placement *pl = ctx;
	struct racks *r = pl->racks;
	struct call_end e = { 0 };

	pl->call = NULL;
	if (pl->phase == PLACEMENT_WAITING) {
		/* Core refuses a cancelled request; that action removes the placement. */
		if (!owner_cancel(r->owner, pl->id, now_ms()))
			placement_end(pl, END_UNREACHABLE, &e);
		racks_schedule_run(r);
		return;
	}
	if (!pl->run)
		return;
	if (!pl->req->idempotent) {
		pl->discard_answer = true;
		run_credit(pl->run, DISCARD_CREDIT_BYTES);
		return;
	}
	if (run_cancel(g_steal_pointer(&pl->run)))
		start_linger(pl);
	else
		placement_end(pl, END_UNREACHABLE, &e);
}

static const struct call_server_ops server_ops = {
	.credit = on_credit,
	.cancel = on_cancel,
};

void reqserve_start(struct placement *pl)
{
	struct worker *w = pl->worker;
	struct racks *r = pl->racks;
	struct call_end e;

	if (!w || !worker_may_start(w)) {
		call_end_set(&e, OUTCOME_NOT_RUN, 503, "start", w ? w->name : "",
			     "no valid lease on the worker");
		placement_end(pl, END_UNREACHABLE, &e);
		return;
	}
	pl->started_ms = now_ms();
	pl->run = run_start(r->deps.runner_client, w->url, w->name, session_epoch(w->session),
			    pl->req, may_start, &run_ops, pl);
	run_credit(pl->run, r->deps.set->credit_bytes);
}

/* Running requests that this owner sent to the worker before sent_ms. */
static uint32_t count_own_runs(struct racks *r, const struct worker *w, int64_t sent_ms)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, r->placements);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct placement *pl = value;

		n += pl->worker == w && !pl->task_id && pl->run && pl->started_ms < sent_ms;
	}
	return n;
}

static GArray *foreign_ids(struct racks *r, const struct worker *w)
{
	GArray *ids = g_hash_table_lookup(r->foreign_requests, GUINT_TO_POINTER(w->handle));

	if (ids)
		return ids;
	ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_insert(r->foreign_requests, GUINT_TO_POINTER(w->handle), ids);
	return ids;
}

static void reserve_foreign_slot(struct racks *r, struct worker *w, GArray *ids)
{
	struct work work = {
		.id = r->next_id++,
		.class = WORK_REQUEST,
		.service = racks_intern(r, w->service),
		.slot = true,
		.avoid_worker = UINT32_MAX,
	};

	owner_worker_adopt(r->owner, w->handle, &work, now_ms());
	g_array_append_val(ids, work.id);
}

static void release_foreign_slot(struct racks *r, GArray *ids)
{
	uint64_t id = g_array_index(ids, uint64_t, ids->len - 1);

	owner_ended(r->owner, id, END_OK, now_ms());
	g_array_set_size(ids, ids->len - 1);
	racks_schedule_run(r);
}

void reqserve_count_foreign(struct racks *r, struct worker *w, uint32_t runs, int64_t sent_ms)
{
	uint32_t own;
	uint32_t foreign;
	GArray *ids;

	/* Only a new session can find foreign requests; later ones are this owner's. */
	if (w->state == WORKER_READY && w->foreign_requests == 0)
		return;
	own = count_own_runs(r, w, sent_ms);
	foreign = runs > own ? runs - own : 0;
	ids = foreign_ids(r, w);
	while (w->state != WORKER_READY && ids->len < foreign)
		reserve_foreign_slot(r, w, ids);
	while (ids->len > foreign)
		release_foreign_slot(r, ids);
	w->foreign_requests = ids->len;
}

void reqserve_call(void *ctx, struct call *c, const Kw__Call *req)
{
	struct racks *r = ctx;
	struct placement *pl = placement_create(r, c, req);

	call_serve(c, &server_ops, pl);
	placement_submit(pl);
}
