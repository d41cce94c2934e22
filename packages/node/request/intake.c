#include "intake.h"

#define FORWARD_MS 1200 /* of a caller's time for the scheduler's answer; then we append */

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

void intake_scheduling(struct intake *i, bool yes)
{
	i->scheduling = yes;
}

/* NULL unless the job is known to be stored. */
static const struct cell_job *find_stored(const struct intake *i, const char *id)
{
	const struct cell_job *p = job_table_find(joblog_book(i->log), id);

	return p && !p->tentative ? p : NULL;
}

static enum job_state told_state(const struct cell_job *p)
{
	return p->stored_state == JOB_QUEUED && p->started ? JOB_RUNNING : p->stored_state;
}

bool intake_known(const struct intake *i, const char *id, enum job_state *state)
{
	const struct cell_job *p = find_stored(i, id);

	if (!p || (!i->scheduling && p->stored_state < JOB_DONE))
		return false;
	*state = told_state(p);
	return true;
}

/* A call of a caller that waits for the store. */
struct entry {
	struct intake *intake;
	char id[JOB_ID_LEN + 1];
	char *key; /* of the record to append */
	uint8_t *value;
	size_t size;
	int64_t until_ms;
	bool in_doubt; /* the scheduler may have appended it */
	intake_fn fn;
	intake_state_fn state_fn;
	void *ctx;
};

static struct entry *entry_create(struct intake *i, const char *id, void *ctx)
{
	struct entry *c = g_new0(struct entry, 1);

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

static void entry_free(struct entry *c)
{
	g_free(c->key);
	g_free(c->value);
	g_free(c);
}

static void on_entry_done(void *ctx, enum store_result result)
{
	struct entry *c = ctx;
	enum intake_result told = intake_result(result);

	if (told == INTAKE_REFUSED && c->in_doubt)
		told = INTAKE_UNKNOWN;
	c->fn(c->ctx, told);
	entry_free(c);
}

static void append_here(struct entry *c)
{
	joblog_append(c->intake->log, c->key, g_steal_pointer(&c->value), c->size, c->until_ms,
		      on_entry_done, c);
}

/* Without the scheduler's word the record may be in the log; appending it again is harmless. */
static void on_stored(void *ctx, enum store_result result)
{
	struct entry *c = ctx;

	c->in_doubt = result == STORE_UNKNOWN;
	if (result == STORE_OK)
		on_entry_done(c, STORE_OK);
	else
		append_here(c);
}

/*
 * The scheduler appends what all nodes take in with one call, and knows of it without reading. With
 * a slow store, whose partitions take one append at a time, that is what keeps callers from waiting
 * for each other.
 */
static void store_intake(struct entry *c)
{
	int64_t within_ms = MIN(c->until_ms - node_now_ms(), FORWARD_MS);

	if (c->intake->scheduling || within_ms <= 0 ||
	    !links_ask_append(c->intake->links, c->key, c->value, c->size, (uint32_t)within_ms,
			      on_stored, c))
		append_here(c);
}

void intake_submit(struct intake *i, Cell__Job *job, int64_t until_ms, intake_fn fn, void *ctx)
{
	struct entry *c;

	if (find_stored(i, job->id)) {
		cell__job__free_unpacked(job, NULL);
		fn(ctx, INTAKE_OK);
		return;
	}
	c = entry_create(i, job->id, ctx);
	c->fn = fn;
	c->until_ms = until_ms;
	c->key = g_strdup(job->id);
	c->size = cell__job__get_packed_size(job);
	c->value = g_malloc(c->size + 1);
	cell__job__pack(job, c->value);
	cell__job__free_unpacked(job, NULL);
	store_intake(c);
}

static void append_cancel(struct entry *c)
{
	c->key = g_strdup_printf("%s/c", c->id);
	c->value = g_malloc(1);
	c->value[0] = 1;
	c->size = 1;
	store_intake(c);
}

static void on_cancel_refreshed(void *ctx, enum store_result result)
{
	struct entry *c = ctx;

	if (result == STORE_OK && !find_stored(c->intake, c->id)) {
		c->fn(c->ctx, INTAKE_NOT_FOUND);
		entry_free(c);
	} else if (result == STORE_OK) {
		append_cancel(c);
	} else {
		on_entry_done(c, STORE_REFUSED);
	}
}

void intake_cancel(struct intake *i, const char *id, int64_t until_ms, intake_fn fn, void *ctx)
{
	struct entry *c = entry_create(i, id, ctx);

	c->fn = fn;
	c->until_ms = until_ms;
	if (find_stored(i, id))
		append_cancel(c);
	else
		joblog_refresh(i->log, on_cancel_refreshed, c);
}

static void finish_state(struct entry *c, enum intake_result result, enum job_state state)
{
	c->state_fn(c->ctx, result, state);
	entry_free(c);
}

static void on_state_refreshed(void *ctx, enum store_result result)
{
	struct entry *c = ctx;
	const struct cell_job *p = find_stored(c->intake, c->id);

	if (result != STORE_OK)
		finish_state(c, INTAKE_REFUSED, JOB_QUEUED);
	else if (!p)
		finish_state(c, INTAKE_NOT_FOUND, JOB_QUEUED);
	else
		finish_state(c, INTAKE_OK, told_state(p));
}

static void on_state_told(void *ctx, bool known, enum job_state state)
{
	struct entry *c = ctx;

	if (known)
		finish_state(c, INTAKE_OK, state);
	else
		joblog_refresh(c->intake->log, on_state_refreshed, c);
}

void intake_state(struct intake *i, const char *id, intake_state_fn fn, void *ctx)
{
	struct entry *c;
	enum job_state state;

	if (intake_known(i, id, &state)) {
		fn(ctx, INTAKE_OK, state);
		return;
	}
	c = entry_create(i, id, ctx);
	c->state_fn = fn;
	if (links_ask_state(i->links, id, on_state_told, c))
		return;
	if (joblog_away(i->log))
		finish_state(c, INTAKE_REFUSED, JOB_QUEUED);
	else
		joblog_refresh(i->log, on_state_refreshed, c);
}
