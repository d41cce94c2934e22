#define G_LOG_DOMAIN "taskrun"

#include <string.h>

#include "clock.h"
#include "log.h"
#include "taskrun.h"

#define SEARCH_RETRY_MS	   300
#define SEARCH_INTERVAL_MS 1000

struct taskrun {
	struct taskrun_deps deps;
	struct job_spec spec;
	uint32_t index;
	uint32_t attempt;
	const struct taskrun_ops *ops;
	void *ctx;
	struct call *call;	/* to the owner that the attempt was handed to */
	struct query *attached; /* query of the owner that has the task, NULL if none */
	GPtrArray *queries;	/* of struct query, in flight */
	char worker[64];
	char owner[64]; /* name of the owner that the attempt was handed to */
	guint timer;
	uint32_t covered_workers; /* workers known not to have the task */
	bool inconclusive;	  /* an owner couldn't answer for all its workers */
	bool stopping;
};

/* A query to one owner. */
struct query {
	struct taskrun *run;
	struct call *call;
};

static void report_end(struct taskrun *t, enum outcome out, const char *why)
{
	t->ops->ended(t->ctx, t, out, why);
}

static void fill_call(const struct taskrun *t, Kw__Call *c)
{
	const struct job_spec *s = &t->spec;

	kw__call__init(c);
	c->kind = KW__CALL_KIND__CALL_TASK;
	c->request_id = (char *)s->id;
	c->job = (char *)s->id;
	c->team = (char *)s->team;
	c->service = (char *)s->service;
	c->index = t->index;
	c->attempt = t->attempt;
	c->cpu_milli = s->size.cpu_milli;
	c->mem_bytes = s->size.mem_bytes;
	c->accel = s->size.accel;
	c->run_ms = s->run_ms;
	c->work_class = s->class;
	c->idempotent = s->idempotent;
	c->gang_size = s->class == WORK_GANG ? s->tasks : 0;
	c->preemptible = s->class == WORK_BATCH && s->idempotent;
}

static void on_begin(void *ctx, const struct call_begin *b)
{
	struct taskrun *t = ctx;

	g_strlcpy(t->worker, b->worker ? b->worker : "", sizeof(t->worker));
	t->ops->started(t->ctx, t);
}

static void on_data(void *ctx, GBytes *data)
{
}

static void search_owners(struct taskrun *t);

static gboolean on_search_timer(gpointer data)
{
	struct taskrun *t = data;

	t->timer = 0;
	search_owners(t);
	return G_SOURCE_REMOVE;
}

static void search_later(struct taskrun *t, uint32_t ms)
{
	if (t->timer)
		g_source_remove(t->timer);
	t->timer = g_timeout_add(ms, on_search_timer, t);
}

static void on_end(void *ctx, const struct call_end *e)
{
	struct taskrun *t = ctx;

	t->call = NULL;
	if (e->outcome == OUTCOME_UNKNOWN) {
		/* The link or the owner failed, not the task: another owner may have it now. */
		search_later(t, SEARCH_RETRY_MS);
		return;
	}
	report_end(t, e->outcome, e->message);
}

static const struct call_requester_ops run_ops = {
	.begin = on_begin,
	.data = on_data,
	.end = on_end,
};

static void free_queries(struct taskrun *t)
{
	for (guint i = 0; i < t->queries->len; i++)
		g_free(t->queries->pdata[i]);
	g_ptr_array_set_size(t->queries, 0);
}

/* Called when all owners have answered and none has the task. */
static void finish_search(struct taskrun *t)
{
	if (t->call)
		return;
	if (t->inconclusive || t->covered_workers < fleet_listed_count(t->deps.fleet)) {
		search_later(t, SEARCH_INTERVAL_MS);
		return;
	}
	report_end(t, OUTCOME_UNKNOWN, "no worker has the task, and its end was not seen");
}

static void query_done(struct query *q)
{
	struct taskrun *t = q->run;

	g_ptr_array_remove_fast(t->queries, q);
	g_free(q);
	if (t->queries->len == 0)
		finish_search(t);
}

/* This owner has the task; the query serves as its call from now on. */
static void on_query_begin(void *ctx, const struct call_begin *b)
{
	struct query *q = ctx;
	struct taskrun *t = q->run;

	t->attached = q;
	/* The task still runs, so an earlier stop arrived before the start or was lost. */
	t->stopping = false;
	on_begin(t, b);
}

/*
 * True if the owner had the attempt and certainly did not start it. An attempt is handed to one
 * owner only, so no other one can have started it.
 */
static bool certainly_not_started(const struct call_end *e)
{
	static const char *const steps[] = { "claim", "start", "refused", "drain" };

	if (e->outcome != OUTCOME_NOT_RUN || e->status != 503)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++)
		if (g_str_equal(e->step, steps[i]))
			return true;
	return false;
}

static void on_query_end(void *ctx, const struct call_end *e)
{
	struct query *q = ctx;
	struct taskrun *t = q->run;

	q->call = NULL;
	if (t->attached == q)
		t->attached = NULL;
	if (e->outcome == OUTCOME_DONE || e->outcome == OUTCOME_FAILED) {
		report_end(t, e->outcome, e->message);
		return;
	}
	if (certainly_not_started(e)) {
		report_end(t, OUTCOME_NOT_RUN, e->message);
		return;
	}
	if (e->outcome == OUTCOME_NOT_RUN && e->status == 404)
		t->covered_workers += e->covered_workers;
	else
		t->inconclusive = true;
	query_done(q);
}

static const struct call_requester_ops query_ops = {
	.begin = on_query_begin,
	.data = on_data,
	.end = on_query_end,
};

static void query_owner(struct taskrun *t, const char *name)
{
	Kw__Call c;
	struct query *q = g_new0(struct query, 1);

	fill_call(t, &c);
	c.attach_only = true;
	q->run = t;
	q->call = call_open(t->deps.calls, name, &c, &query_ops, q);
	if (!q->call) {
		t->inconclusive = true;
		g_free(q);
		return;
	}
	g_ptr_array_add(t->queries, q);
}

static void search_owners(struct taskrun *t)
{
	const struct member_info *m;
	enum member_state state;

	if (t->queries->len)
		return;
	t->covered_workers = 0;
	t->inconclusive = false;
	for (size_t i = 0; (m = members_get(t->deps.members, i, &state)); i++)
		if (strcmp(m->dc, t->deps.set->dc) == 0 && state != MEMBER_DEAD &&
		    state != MEMBER_ABSENT)
			query_owner(t, m->name);
	if (t->queries->len == 0)
		search_later(t, SEARCH_INTERVAL_MS);
}

static struct taskrun *create(const struct taskrun_deps *deps, const struct job_spec *spec,
			      uint32_t index, uint32_t attempt, const struct taskrun_ops *ops,
			      void *ctx)
{
	struct taskrun *t = g_new0(struct taskrun, 1);

	t->deps = *deps;
	t->spec = *spec;
	t->index = index;
	t->attempt = attempt;
	t->ops = ops;
	t->ctx = ctx;
	t->queries = g_ptr_array_new();
	return t;
}

struct taskrun *taskrun_start(const struct taskrun_deps *deps, const struct job_spec *spec,
			      uint32_t index, uint32_t attempt, int64_t use_until_ms,
			      const char *owner, const struct taskrun_ops *ops, void *ctx)
{
	struct taskrun *t = create(deps, spec, index, attempt, ops, ctx);
	int64_t left = use_until_ms - now_ms();
	Kw__Call c;

	fill_call(t, &c);
	c.deadline_ms = (uint32_t)MAX(left, 1);
	g_strlcpy(t->owner, owner, sizeof(t->owner));
	if (left > 0)
		t->call = call_open(deps->calls, owner, &c, &run_ops, t);
	if (t->call)
		return t;
	taskrun_free(t);
	return NULL;
}

struct taskrun *taskrun_find(const struct taskrun_deps *deps, const struct job_spec *spec,
			     uint32_t index, uint32_t attempt, const struct taskrun_ops *ops,
			     void *ctx)
{
	struct taskrun *t = create(deps, spec, index, attempt, ops, ctx);

	search_later(t, 1);
	return t;
}

void taskrun_stop(struct taskrun *t)
{
	struct query *q = t->attached;

	if (t->stopping || (!t->call && !q))
		return;
	t->stopping = true;
	/* Cancelling the call stops the task at its worker; the search then finds its end. */
	if (t->call)
		call_cancel(g_steal_pointer(&t->call));
	if (q) {
		call_cancel(g_steal_pointer(&q->call));
		g_ptr_array_remove_fast(t->queries, q);
		g_free(q);
		t->attached = NULL;
	}
	search_later(t, SEARCH_RETRY_MS);
}

static void on_withdrawn_begin(void *ctx, const struct call_begin *b)
{
}

/* The outcome is reported on the task's own call. */
static void on_withdrawn(void *ctx, const struct call_end *e)
{
}

static const struct call_requester_ops withdraw_ops = {
	.begin = on_withdrawn_begin,
	.data = on_data,
	.end = on_withdrawn,
};

void taskrun_withdraw(struct taskrun *t)
{
	Kw__Call c;

	if (!taskrun_waiting(t))
		return;
	fill_call(t, &c);
	c.attach_only = true;
	c.withdraw = true;
	call_open(t->deps.calls, t->owner, &c, &withdraw_ops, NULL);
}

bool taskrun_waiting(const struct taskrun *t)
{
	return t->call && !t->worker[0];
}

/* The owners are not told, since the task must not be stopped. */
void taskrun_free(struct taskrun *t)
{
	if (t->timer)
		g_source_remove(t->timer);
	if (t->call)
		call_detach(t->call);
	for (guint i = 0; i < t->queries->len; i++)
		if (((struct query *)t->queries->pdata[i])->call)
			call_detach(((struct query *)t->queries->pdata[i])->call);
	free_queries(t);
	g_ptr_array_unref(t->queries);
	g_free(t);
}

const char *taskrun_job(const struct taskrun *t)
{
	return t->spec.id;
}

uint32_t taskrun_index(const struct taskrun *t)
{
	return t->index;
}

uint32_t taskrun_attempt(const struct taskrun *t)
{
	return t->attempt;
}

const char *taskrun_worker(const struct taskrun *t)
{
	return t->worker;
}
