#define G_LOG_DOMAIN "forward"

#include "clock.h"
#include "forward.h"
#include "log.h"

#define ATTEMPTS_MAX	      4
#define RETRY_AFTER_MIN_MS    1000
#define SECOND_ROUND_DELAY_MS 50
/* Another owner may accept what one refused, but is tried only with this much time left. */
#define RETRY_MIN_LEFT_MS 20

struct forward {
	struct forward_deps deps;
	Kw__Call *req;
	uint64_t answer_bytes;
	int64_t deadline_ms;
	const struct call_requester_ops *ops;
	void *ctx;
	struct call *call;
	char *tried[ATTEMPTS_MAX];
	size_t n_tried;
	struct call_end last_end;
	guint source;
	bool answer_begun;
	bool second_round; /* owners that were tried before may be tried once more */
};

static void forward_free(struct forward *f)
{
	if (f->source)
		g_source_remove(f->source);
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

	f->answer_begun = true;
	f->ops->begin(f->ctx, b);
}

static void on_data(void *ctx, GBytes *data)
{
	struct forward *f = ctx;

	f->ops->data(f->ctx, data);
}

static gboolean on_attempt(gpointer data);

/* True if another owner may be tried after an attempt ended with e. */
static bool may_retry(const struct forward *f, const struct call_end *e)
{
	if (f->answer_begun || f->n_tried >= ATTEMPTS_MAX ||
	    f->deadline_ms - now_ms() < RETRY_MIN_LEFT_MS)
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
		f->last_end = *e;
		if (e->outcome == OUTCOME_NOT_RUN && (e->status == 503 || e->status == 429))
			f->last_end.retry_after_ms = MAX(e->retry_after_ms, RETRY_AFTER_MIN_MS);
		finish(f, &f->last_end);
		return;
	}
	log_request(LOG_INFO, f->req->request_id, "retry", f->tried[f->n_tried - 1],
		    "%s in step %s at %s: %s", outcome_name(e->outcome), e->step, e->peer,
		    e->message);
	f->last_end = *e;
	f->last_end.retry_after_ms = MAX(e->retry_after_ms, RETRY_AFTER_MIN_MS);
	f->source = g_idle_add_full(G_PRIORITY_DEFAULT, on_attempt, f, NULL);
}

static const struct call_requester_ops attempt_ops = {
	.begin = on_begin,
	.data = on_data,
	.end = on_end,
};

/* All owners were tried; one of them may have another worker by now. */
static bool start_second_round(struct forward *f)
{
	if (f->second_round || f->n_tried == 0 || f->n_tried >= ATTEMPTS_MAX)
		return false;
	f->second_round = true;
	f->source = g_timeout_add(SECOND_ROUND_DELAY_MS, on_attempt, f);
	return true;
}

static void end_no_owner(struct forward *f)
{
	struct call_end e;

	if (start_second_round(f))
		return;
	if (f->last_end.outcome != OUTCOME_NONE) {
		finish(f, &f->last_end);
		return;
	}
	call_end_set(&e, OUTCOME_NOT_RUN, 503, "route", f->req->service,
		     "no live daemon has a runner of this service");
	e.retry_after_ms = RETRY_AFTER_MIN_MS;
	finish(f, &e);
}

static gboolean on_attempt(gpointer data)
{
	struct forward *f = data;
	const char *owner;

	f->source = 0;
	while (f->n_tried < ATTEMPTS_MAX) {
		owner = loadtable_pick(f->deps.loads, f->req->service, f->answer_bytes,
				       (const char *const *)f->tried,
				       f->second_round ? 0 : f->n_tried);
		if (!owner)
			break;
		f->tried[f->n_tried++] = g_strdup(owner);
		f->req->deadline_ms = (uint32_t)MAX(f->deadline_ms - now_ms(), 1);
		f->call = call_open(f->deps.calls, owner, f->req, &attempt_ops, f);
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
	f->source = g_idle_add_full(G_PRIORITY_DEFAULT, on_attempt, f, NULL);
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
