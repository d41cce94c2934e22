#include "intake.h"

/* The rest of the caller's time is left for an append by this node. */
#define FORWARD_TIMEOUT_MS 1200

struct intake {
	struct joblog *log;
	struct links *links;
	bool scheduling;
};

struct intake *intake_create(struct joblog *log, struct links *links)
{
	struct intake *i = g_new0(struct intake, 1);

	i->log = log;
	i->links = links;
	return i;
}

void intake_destroy(struct intake *i)
{
	g_free(i);
}

void intake_set_scheduling(struct intake *i, bool scheduling)
{
	i->scheduling = scheduling;
}

/* Returns NULL unless the job is known to be stored. */
static const struct plan *find_stored(const struct intake *i, const char *id)
{
	const struct plan *p = book_find(joblog_book(i->log), id);

	return p && !p->tentative ? p : NULL;
}

static enum job_state visible_state(const struct plan *p)
{
	return p->shown == JOB_QUEUED && p->started ? JOB_RUNNING : p->shown;
}

bool intake_find_state(const struct intake *i, const char *id, enum job_state *state)
{
	const struct plan *p = find_stored(i, id);

	if (!p || (!i->scheduling && p->shown < JOB_DONE))
		return false;
	*state = visible_state(p);
	return true;
}

/* A caller's request that waits for the store. */
struct request {
	struct intake *intake;
	char id[JOB_ID_LEN + 1];
	char *key; /* record to append */
	uint8_t *value;
	size_t size;
	int64_t deadline_ms;
	bool in_doubt; /* the scheduler may have appended the record */
	intake_fn fn;
	intake_state_fn state_fn;
	void *ctx;
};

static struct request *request_create(struct intake *i, const char *id, void *ctx)
{
	struct request *c = g_new0(struct request, 1);

	c->intake = i;
	g_strlcpy(c->id, id, sizeof(c->id));
	c->ctx = ctx;
	return c;
}

static enum intake_result intake_result(enum store_result result)
{
	if (result == STORE_OK)
		return INTAKE_OK;
	return result == STORE_UNKNOWN ? INTAKE_UNKNOWN : INTAKE_REFUSED;
}

static void request_free(struct request *c)
{
	g_free(c->key);
	g_free(c->value);
	g_free(c);
}

static void on_request_done(void *ctx, enum store_result result)
{
	struct request *c = ctx;
	enum intake_result answer = intake_result(result);

	if (answer == INTAKE_REFUSED && c->in_doubt)
		answer = INTAKE_UNKNOWN;
	c->fn(c->ctx, answer);
	request_free(c);
}

static void append_here(struct request *c)
{
	joblog_append(c->intake->log, c->key, g_steal_pointer(&c->value), c->size, c->deadline_ms,
		      on_request_done, c);
}

/* Without an answer the record may be in the log already; appending it twice is harmless. */
static void on_stored(void *ctx, enum store_result result)
{
	struct request *c = ctx;

	c->in_doubt = result == STORE_UNKNOWN;
	if (result == STORE_OK)
		on_request_done(c, STORE_OK);
	else
		append_here(c);
}

/*
 * The scheduler batches the records of all nodes into one append, and learns of the jobs without a
 * read. A slow store takes one append per partition at a time, so separate appends would make
 * callers wait for each other.
 */
static void store_intake(struct request *c)
{
	int64_t timeout_ms = MIN(c->deadline_ms - node_now_ms(), FORWARD_TIMEOUT_MS);

	if (c->intake->scheduling || timeout_ms <= 0 ||
	    !links_request_append(c->intake->links, c->key, c->value, c->size, (uint32_t)timeout_ms,
				  on_stored, c))
		append_here(c);
}

void intake_submit(struct intake *i, Cell__Job *job, int64_t deadline_ms, intake_fn fn, void *ctx)
{
	struct request *c;

	if (find_stored(i, job->id)) {
		cell__job__free_unpacked(job, NULL);
		fn(ctx, INTAKE_OK);
		return;
	}
	c = request_create(i, job->id, ctx);
	c->fn = fn;
	c->deadline_ms = deadline_ms;
	c->key = g_strdup(job->id);
	c->size = cell__job__get_packed_size(job);
	c->value = g_malloc(c->size + 1);
	cell__job__pack(job, c->value);
	cell__job__free_unpacked(job, NULL);
	store_intake(c);
}

static void append_cancel(struct request *c)
{
	c->key = g_strdup_printf("%s/c", c->id);
	c->value = g_malloc(1);
	c->value[0] = 1;
	c->size = 1;
	store_intake(c);
}

static void on_cancel_refreshed(void *ctx, enum store_result result)
{
	struct request *c = ctx;

	if (result == STORE_OK && !find_stored(c->intake, c->id)) {
		c->fn(c->ctx, INTAKE_NOT_FOUND);
		request_free(c);
	} else if (result == STORE_OK) {
		append_cancel(c);
	} else {
		on_request_done(c, STORE_REFUSED);
	}
}

void intake_cancel(struct intake *i, const char *id, int64_t deadline_ms, intake_fn fn, void *ctx)
{
	struct request *c = request_create(i, id, ctx);

	c->fn = fn;
	c->deadline_ms = deadline_ms;
	if (find_stored(i, id))
		append_cancel(c);
	else
		joblog_refresh(i->log, on_cancel_refreshed, c);
}

static void finish_state(struct request *c, enum intake_result result, enum job_state state)
{
	c->state_fn(c->ctx, result, state);
	request_free(c);
}

static void on_state_refreshed(void *ctx, enum store_result result)
{
	struct request *c = ctx;
	const struct plan *p = find_stored(c->intake, c->id);

	if (result != STORE_OK)
		finish_state(c, INTAKE_REFUSED, JOB_QUEUED);
	else if (!p)
		finish_state(c, INTAKE_NOT_FOUND, JOB_QUEUED);
	else
		finish_state(c, INTAKE_OK, visible_state(p));
}

static void on_state_reply(void *ctx, bool known, enum job_state state)
{
	struct request *c = ctx;

	if (known)
		finish_state(c, INTAKE_OK, state);
	else
		joblog_refresh(c->intake->log, on_state_refreshed, c);
}

void intake_state(struct intake *i, const char *id, intake_state_fn fn, void *ctx)
{
	struct request *c;
	enum job_state state;

	if (intake_find_state(i, id, &state)) {
		fn(ctx, INTAKE_OK, state);
		return;
	}
	c = request_create(i, id, ctx);
	c->state_fn = fn;
	if (links_request_state(i->links, id, on_state_reply, c))
		return;
	if (joblog_store_down(i->log))
		finish_state(c, INTAKE_REFUSED, JOB_QUEUED);
	else
		joblog_refresh(i->log, on_state_refreshed, c);
}
