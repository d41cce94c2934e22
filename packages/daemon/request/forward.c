#define G_LOG_DOMAIN "forward"

#include "clock.h"
#include "forward.h"
#include "log.h"

#define TRIES_MAX    4
#define COME_BACK_MS 1000
#define AGAIN_MS     50
/* A refusal that another owner may not share is worth another try only with this much time left. */
#define RETRY_LEAST_MS 20

struct forward {
	struct forward_deps deps;
	Kw__Call *req;
	uint64_t answer_bytes;
	int64_t deadline_ms;
	const struct call_requester_ops *ops;
	void *ctx;
	struct call *call;
	char *tried[TRIES_MAX];
	size_t n_tried;
	struct call_end last;
	guint idle;
	bool begun;
	bool again; /* the owners asked before may be asked again */
};

static void forward_free(struct forward *f)
{
	if (f->idle)
		g_source_remove(f->idle);
	for (size_t i = 0; i < f->n_tried; i++)
		g_free(f->tried[i]);
	kw__call__free_unpacked(f->req, NULL);
	g_free(f);
}

static void finish(struct forward *f, const struct call_end *e)
{
	const struct call_requester_ops *ops = f->ops;
	void *ctx = f->ctx;

	ops->end(ctx, e);
	forward_free(f);
}

static void on_begin(void *ctx, const struct call_begin *b)
{
	struct forward *f = ctx;

	f->begun = true;
	f->ops->begin(f->ctx, b);
}

static void on_data(void *ctx, GBytes *data)
{
	struct forward *f = ctx;

	f->ops->data(f->ctx, data);
}

static gboolean on_try(gpointer data);

/* Whether another owner may be asked after this end of a try. */
static bool may_retry(const struct forward *f, const struct call_end *e)
{
	if (f->begun || f->n_tried >= TRIES_MAX || f->deadline_ms - now_ms() < RETRY_LEAST_MS)
		return false;
	if (e->outcome == OUTCOME_NOT_RUN)
		return e->status == 503 || e->status == 429;
	return e->outcome == OUTCOME_UNKNOWN && f->req->idempotent;
}

static void on_end(void *ctx, const struct call_end *e)
{
	struct forward *f = ctx;

	f->call = NULL;
	if (!may_retry(f, e)) {
		f->last = *e;
		if (e->outcome == OUTCOME_NOT_RUN && (e->status == 503 || e->status == 429))
			f->last.retry_after_ms = MAX(e->retry_after_ms, COME_BACK_MS);
		finish(f, &f->last);
		return;
	}
	log_request(LOG_INFO, f->req->request_id, "retry", f->tried[f->n_tried - 1],
		    "%s at %s of %s: %s", outcome_name(e->outcome), e->step, e->peer, e->message);
	f->last = *e;
	f->last.retry_after_ms = MAX(e->retry_after_ms, COME_BACK_MS);
	f->idle = g_idle_add_full(G_PRIORITY_DEFAULT, on_try, f, NULL);
}

static const struct call_requester_ops try_ops = {
	.begin = on_begin,
	.data = on_data,
	.end = on_end,
};

/* No owner is left that was not asked: those asked may have another worker by now. */
static bool try_again(struct forward *f)
{
	if (f->again || f->n_tried == 0 || f->n_tried >= TRIES_MAX)
		return false;
	f->again = true;
	f->idle = g_timeout_add(AGAIN_MS, on_try, f);
	return true;
}

static void end_no_owner(struct forward *f)
{
	struct call_end e;

	if (try_again(f))
		return;
	if (f->last.outcome != OUTCOME_NONE) {
		finish(f, &f->last);
		return;
	}
	call_end_set(&e, OUTCOME_NOT_RUN, 503, "route", f->req->service,
		     "no live daemon has a runner of this service");
	e.retry_after_ms = COME_BACK_MS;
	finish(f, &e);
}

static gboolean on_try(gpointer data)
{
	struct forward *f = data;
	const char *owner;

	f->idle = 0;
	while (f->n_tried < TRIES_MAX) {
		owner = loadtable_pick(f->deps.rooms, f->req->service, f->answer_bytes,
				       (const char *const *)f->tried, f->again ? 0 : f->n_tried);
		if (!owner)
			break;
		f->tried[f->n_tried++] = g_strdup(owner);
		f->req->deadline_ms = (uint32_t)MAX(f->deadline_ms - now_ms(), 1);
		f->call = call_open(f->deps.calls, owner, f->req, &try_ops, f);
		if (f->call)
			return G_SOURCE_REMOVE;
	}
	end_no_owner(f);
	return G_SOURCE_REMOVE;
}

struct forward *forward_start(const struct forward_deps *deps, const Kw__Call *req,
			      uint64_t answer_bytes, int64_t deadline_ms,
			      const struct call_requester_ops *ops, void *ctx)
{
	struct forward *f = g_new0(struct forward, 1);

	f->deps = *deps;
	f->req = call_request_copy(req);
	f->req->kind = KW__CALL_KIND__CALL_REQUEST;
	f->answer_bytes = answer_bytes;
	f->deadline_ms = deadline_ms;
	f->ops = ops;
	f->ctx = ctx;
	f->idle = g_idle_add_full(G_PRIORITY_DEFAULT, on_try, f, NULL);
	return f;
}

void forward_credit(struct forward *f, uint32_t bytes)
{
	if (f->call)
		call_credit(f->call, bytes);
}

void forward_cancel(struct forward *f)
{
	if (f->call)
		call_cancel(f->call);
	forward_free(f);
}

bool forward_handed_over(const struct forward *f)
{
	return f->call != NULL;
}
