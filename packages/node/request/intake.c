#include "intake.h"
#include "recent_ids.h"

/* For the scheduler's answer. The rest of the caller's time is left for an append by this node. */
#define FORWARD_TIMEOUT_MS 1200

struct intake {
	struct joblog *log;
	struct links *links;
	struct admit *admit;
	struct recent_ids *in_doubt; /* jobs of which an attempt by this node may be stored */
	GQueue open;		     /* struct request */
	bool scheduling;
	bool (*replaced)(void *ctx); /* see intake_set_doubt(); NULL: never */
	void *replaced_ctx;
};

struct intake *intake_create(struct joblog *log, struct links *links, struct admit *admit)
{
	struct intake *i = g_new0(struct intake, 1);

	i->log = log;
	i->links = links;
	i->admit = admit;
	i->in_doubt = recent_ids_create(ADMIT_KEEP_MS);
	g_queue_init(&i->open);
	return i;
}

void intake_destroy(struct intake *i)
{
	if (!i)
		return;
	recent_ids_destroy(i->in_doubt);
	g_free(i);
}

void intake_set_scheduling(struct intake *i, bool scheduling)
{
	i->scheduling = scheduling;
}

void intake_set_doubt(struct intake *i, bool (*replaced)(void *ctx), void *ctx)
{
	i->replaced = replaced;
	i->replaced_ctx = ctx;
}

static bool may_be_replaced(const struct intake *i)
{
	return i->scheduling && i->replaced && i->replaced(i->replaced_ctx);
}

/* Returns NULL unless the job is known to be stored. */
static const struct cell_job *find_stored(const struct intake *i, const char *id)
{
	const struct cell_job *j = job_table_find(joblog_job_table(i->log), id);

	return j && !j->tentative ? j : NULL;
}

/* team: as for intake_cancel(). */
static bool may_access(const struct cell_job *j, const char *team)
{
	return job_table_may_access(j->spec->team, team);
}

static enum job_state visible_state(const struct cell_job *j)
{
	return j->stored_state == JOB_QUEUED && j->started ? JOB_RUNNING : j->stored_state;
}

bool intake_find_state(const struct intake *i, const char *id, enum job_state *state)
{
	const struct cell_job *j = find_stored(i, id);

	if (!j || (j->stored_state < JOB_DONE && (!i->scheduling || may_be_replaced(i))))
		return false;
	*state = visible_state(j);
	return true;
}

/* A caller's request that waits for the store. */
struct request {
	struct intake *intake;
	GList link; /* of open */
	char id[JOB_ID_LEN + 1];
	char *key; /* record to append */
	uint8_t *value;
	size_t size;
	int64_t deadline_ms;
	char *team;    /* of the caller, NULL if it may access the jobs of all teams */
	bool in_doubt; /* the scheduler may have appended the record */
	bool cancels;  /* the record is a cancel */
	bool early;    /* of a job that isn't known */
	bool ended;    /* answered by intake_end(); what it waits for frees it */
	intake_fn fn;
	intake_state_fn state_fn;
	void *ctx;
};

static struct request *request_create(struct intake *i, const char *id, void *ctx)
{
	struct request *r = g_new0(struct request, 1);

	r->intake = i;
	g_strlcpy(r->id, id, sizeof(r->id));
	r->ctx = ctx;
	r->link.data = r;
	g_queue_push_tail_link(&i->open, &r->link);
	return r;
}

static enum intake_result intake_result(enum store_result result)
{
	if (result == STORE_OK)
		return INTAKE_OK;
	return result == STORE_UNKNOWN ? INTAKE_UNKNOWN : INTAKE_REFUSED;
}

static void request_free(struct request *r)
{
	if (!r->ended)
		g_queue_unlink(&r->intake->open, &r->link);
	g_free(r->team);
	g_free(r->key);
	g_free(r->value);
	g_free(r);
}

static void finish(struct request *r, enum intake_result result, uint32_t retry_after_ms)
{
	if (!r->ended)
		r->fn(r->ctx, result, retry_after_ms);
	request_free(r);
}

static void on_request_done(void *ctx, enum store_result result)
{
	struct request *r = ctx;
	enum intake_result answer = intake_result(result);

	if (answer == INTAKE_REFUSED && r->in_doubt)
		answer = INTAKE_UNKNOWN;
	if (answer == INTAKE_OK && r->early)
		answer = INTAKE_NOT_FOUND;
	finish(r, answer, 0);
}

static void append_here(struct request *r)
{
	recent_ids_add(r->intake->in_doubt, r->id, node_now_ms());
	joblog_append(r->intake->log, r->key, g_steal_pointer(&r->value), r->size, r->deadline_ms,
		      on_request_done, r);
}

/* An attempt by this node, which the scheduler may not have read yet, makes a rejection untrue. */
static void reject(struct request *r, uint32_t retry_after_ms)
{
	if (!r->cancels && find_stored(r->intake, r->id))
		finish(r, INTAKE_OK, 0);
	else if (!r->cancels && recent_ids_contains(r->intake->in_doubt, r->id, node_now_ms()))
		finish(r, INTAKE_UNKNOWN, 0);
	else
		finish(r, INTAKE_REJECTED, retry_after_ms);
}

/* Without an answer the record may be in the log already; appending it twice is harmless. */
static void on_append_reply(void *ctx, enum store_result result, uint32_t retry_after_ms)
{
	struct request *r = ctx;

	r->in_doubt = result == STORE_UNKNOWN;
	if (r->ended)
		request_free(r);
	else if (result == STORE_OK)
		on_request_done(r, STORE_OK);
	else if (retry_after_ms)
		reject(r, retry_after_ms);
	else
		append_here(r);
}

/*
 * The scheduler batches the records of all nodes into one append, and learns of the jobs without a
 * read. A slow store takes one append per partition at a time, so separate appends would make
 * callers wait for each other.
 */
static void store_intake(struct request *r)
{
	int64_t timeout_ms = MIN(r->deadline_ms - node_now_ms(), FORWARD_TIMEOUT_MS);
	uint32_t retry_after_ms =
		r->intake->admit ? admit_record(r->intake->admit, r->key, r->value, r->size) : 0;

	if (retry_after_ms)
		reject(r, retry_after_ms);
	else if (r->intake->scheduling || timeout_ms <= 0 ||
		 !links_request_append(r->intake->links, r->key, r->value, r->size,
				       (uint32_t)timeout_ms, on_append_reply, r))
		append_here(r);
}

void intake_submit(struct intake *i, Cell__Job *job, int64_t deadline_ms, intake_fn fn, void *ctx)
{
	const struct cell_job *known = find_stored(i, job->id);
	struct request *r;

	if (known) {
		enum intake_result result = INTAKE_OK;

		if (!may_access(known, *job->team ? job->team : NULL))
			result = INTAKE_FORBIDDEN;
		cell__job__free_unpacked(job, NULL);
		fn(ctx, result, 0);
		return;
	}
	r = request_create(i, job->id, ctx);
	r->fn = fn;
	r->deadline_ms = deadline_ms;
	r->key = g_strdup(job->id);
	r->size = cell__job__get_packed_size(job);
	r->value = g_malloc(r->size + 1);
	cell__job__pack(job, r->value);
	cell__job__free_unpacked(job, NULL);
	store_intake(r);
}

static void append_cancel(struct request *r)
{
	r->cancels = true;
	r->key = g_strdup_printf("%s/c", r->id);
	r->value = job_table_cancel_record(r->team, &r->size);
	store_intake(r);
}

static void cancel_job(struct request *r, const struct cell_job *j)
{
	if (may_access(j, r->team))
		append_cancel(r);
	else
		finish(r, INTAKE_FORBIDDEN, 0);
}

/*
 * The job's record may be on its way: held by a VM that doesn't run, by a link, or by the store. So
 * the answer that there is no such job comes after a record that cancels it, should it come.
 */
static void cancel_early(struct request *r)
{
	const struct early_cancel *known =
		job_table_early_cancel(joblog_job_table(r->intake->log), r->id);

	r->early = true;
	if (known && !job_table_may_access(known->team ? known->team : "", r->team))
		finish(r, INTAKE_FORBIDDEN, 0);
	else if (known && (!known->team || r->team) &&
		 node_now_ms() - known->since_ms < JOBLOG_EARLY_CANCEL_MS / 2)
		finish(r, INTAKE_NOT_FOUND, 0);
	else
		append_cancel(r);
}

static void on_cancel_refreshed(void *ctx, enum store_result result)
{
	struct request *r = ctx;
	const struct cell_job *j = find_stored(r->intake, r->id);

	if (r->ended)
		request_free(r);
	else if (result != STORE_OK)
		finish(r, INTAKE_REFUSED, 0);
	else if (!j)
		cancel_early(r);
	else
		cancel_job(r, j);
}

void intake_cancel(struct intake *i, const char *id, const char *team, int64_t deadline_ms,
		   intake_fn fn, void *ctx)
{
	struct request *r = request_create(i, id, ctx);
	const struct cell_job *j = find_stored(i, id);

	r->fn = fn;
	r->team = g_strdup(team);
	r->deadline_ms = deadline_ms;
	if (j)
		cancel_job(r, j);
	else
		joblog_refresh(i->log, on_cancel_refreshed, r);
}

static void finish_state(struct request *r, enum intake_result result, enum job_state state)
{
	if (!r->ended)
		r->state_fn(r->ctx, result, state);
	request_free(r);
}

static void on_state_refreshed(void *ctx, enum store_result result)
{
	struct request *r = ctx;
	const struct cell_job *j = find_stored(r->intake, r->id);

	if (result != STORE_OK || (j && j->stored_state < JOB_DONE && may_be_replaced(r->intake)))
		finish_state(r, INTAKE_REFUSED, JOB_QUEUED);
	else if (!j)
		finish_state(r, INTAKE_NOT_FOUND, JOB_QUEUED);
	else
		finish_state(r, INTAKE_OK, visible_state(j));
}

static void on_state_reply(void *ctx, bool known, enum job_state state)
{
	struct request *r = ctx;

	if (known || r->ended)
		finish_state(r, INTAKE_OK, state);
	else
		joblog_refresh(r->intake->log, on_state_refreshed, r);
}

/* Asks the scheduler, or else the store, for the state of a job that the caller may access. */
static void request_state(struct request *r)
{
	struct intake *i = r->intake;
	enum job_state state;

	if (intake_find_state(i, r->id, &state))
		finish_state(r, INTAKE_OK, state);
	else if (links_request_state(i->links, r->id, on_state_reply, r))
		return;
	else if (joblog_store_down(i->log))
		finish_state(r, INTAKE_REFUSED, JOB_QUEUED);
	else
		joblog_refresh(i->log, on_state_refreshed, r);
}

static void check_state(struct request *r, const struct cell_job *j)
{
	if (may_access(j, r->team))
		request_state(r);
	else
		finish_state(r, INTAKE_FORBIDDEN, JOB_QUEUED);
}

static void on_owner_refreshed(void *ctx, enum store_result result)
{
	struct request *r = ctx;
	const struct cell_job *j = find_stored(r->intake, r->id);

	if (r->ended || result != STORE_OK)
		finish_state(r, INTAKE_REFUSED, JOB_QUEUED);
	else if (!j)
		finish_state(r, INTAKE_NOT_FOUND, JOB_QUEUED);
	else
		check_state(r, j);
}

void intake_state(struct intake *i, const char *id, const char *team, intake_state_fn fn, void *ctx)
{
	struct request *r = request_create(i, id, ctx);
	const struct cell_job *j = find_stored(i, id);

	r->state_fn = fn;
	r->team = g_strdup(team);
	if (j)
		check_state(r, j);
	else if (!team)
		request_state(r);
	else if (joblog_store_down(i->log))
		finish_state(r, INTAKE_REFUSED, JOB_QUEUED);
	else
		joblog_refresh(i->log, on_owner_refreshed, r);
}

/* A record that isn't queued any more is with the store or the scheduler, and may be stored. */
void intake_end(struct intake *i)
{
	joblog_end_appends(i->log);
	while (i->open.length) {
		struct request *r = i->open.head->data;

		g_queue_unlink(&i->open, &r->link);
		r->ended = true;
		if (r->state_fn)
			r->state_fn(r->ctx, INTAKE_REFUSED, JOB_QUEUED);
		else
			r->fn(r->ctx, r->key ? INTAKE_UNKNOWN : INTAKE_REFUSED, 0);
	}
}
