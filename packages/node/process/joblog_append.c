#include "joblog_priv.h"

/*
 * A store slowed down 90 times takes 522 ms for an append, and 174 ms more for each call queued
 * before it. The bound covers two such calls.
 */
#define APPEND_MIN_MS  900
#define APPEND_FACTOR  4      /* timeout of an append, as a multiple of the mean duration */
#define TRIES_MAX      3      /* then the caller gets an error and can try another node */
#define CALL_BYTES_MAX 262144 /* per append; far below the platform's limit for a call */

struct pending_record {
	bool offered; /* the scheduler places the job before it is stored */
	char *key;
	uint8_t *value;
	size_t size;
	int64_t deadline_ms;
	bool in_doubt; /* an attempt was not answered */
	uint32_t tries;
	joblog_done_fn fn;
	void *ctx;
};

static void pending_record_free(struct pending_record *p)
{
	g_free(p->key);
	g_free(p->value);
	g_free(p);
}

static void finish(struct joblog *j, struct pending_record *p, enum store_result result)
{
	if (p->offered && result != STORE_OK)
		joblog_withdraw(j, p->key);
	p->fn(p->ctx, result);
	pending_record_free(p);
}

static void give_up(struct joblog *j, struct pending_record *p)
{
	finish(j, p, p->in_doubt ? STORE_UNKNOWN : STORE_REFUSED);
}

uint32_t joblog_append_timeout(const struct joblog *j)
{
	/*
	 * Without a scheduler all nodes append, and a slow store serves them one after the other.
	 */
	if (!j->leading)
		return APPEND_MAX_MS;
	return (uint32_t)CLAMP(j->append_ms * APPEND_FACTOR, APPEND_MIN_MS, APPEND_MAX_MS);
}

void joblog_record_append(struct joblog *j, enum store_result result, int64_t took_ms)
{
	if (result == STORE_UNKNOWN)
		j->append_ms = MIN(MAX(j->append_ms, APPEND_MIN_MS / APPEND_FACTOR) * 2,
				   APPEND_MAX_MS / APPEND_FACTOR);
	else
		j->append_ms = (j->append_ms * 3 + took_ms) / 4;
}

/* A caller that is answered at once has time left to try another node. */
static bool should_retry(const struct joblog *j, const struct pending_record *p, int64_t now)
{
	if (j->appends_ended || joblog_store_down(j) || p->tries >= TRIES_MAX)
		return false;
	return now + RETRY_MS < p->deadline_ms;
}

/*
 * The scheduler need not read back its own records, unless those of others come before them: a job
 * may have been cancelled there. Returns whether they are skipped.
 */
static bool skip_own_records(struct joblog *j, uint64_t offset, uint32_t n)
{
	struct reader *r = &j->reader[JOBLOG_JOBS];

	if (!j->leading || r->after_key || offset != r->next_offset)
		return false;
	r->next_offset += n;
	return true;
}

static void on_others_read(void *ctx, enum store_result result)
{
}

/* One append to JOBLOG_JOBS. */
struct append_call {
	struct joblog *log;
	GPtrArray *sent; /* of struct pending_record */
	int64_t sent_ms;
};

/* skipped: the records will not be read. Nothing that comes before a deletion matters. */
static void handle_result(struct joblog *j, struct pending_record *p, enum store_result result,
			  bool skipped, int64_t now)
{
	p->in_doubt = p->in_doubt || result == STORE_UNKNOWN;
	p->tries++;
	if (result == STORE_OK) {
		if (skipped || (j->leading && p->size == 0))
			job_table_apply(j->jobs, p->key, p->value, p->size);
		finish(j, p, STORE_OK);
	} else if (should_retry(j, p, now)) {
		g_queue_push_head(&j->queue, p);
	} else {
		give_up(j, p);
	}
}

static void on_jobs_appended(void *ctx, enum store_result result, uint64_t offset)
{
	struct append_call *call = ctx;
	struct joblog *j = call->log;
	int64_t now = node_now_ms();
	bool skipped = result == STORE_OK && skip_own_records(j, offset, call->sent->len);

	j->appends_in_flight--;
	joblog_record_result(j, result);
	joblog_record_append(j, result, now - call->sent_ms);
	for (guint i = call->sent->len; i > 0; i--)
		handle_result(j, call->sent->pdata[i - 1], result, skipped, now);
	if (result == STORE_OK && j->leading && !skipped)
		joblog_refresh(j, on_others_read, j);
	g_ptr_array_unref(call->sent);
	g_free(call);
	j->append_due_ms = result == STORE_OK ? now : now + RETRY_MS;
	joblog_send_appends(j);
}

static void expire_pending(struct joblog *j, int64_t now)
{
	for (GList *i = j->queue.head; i;) {
		GList *next = i->next;
		struct pending_record *p = i->data;

		if (p->deadline_ms <= now) {
			g_queue_delete_link(&j->queue, i);
			give_up(j, p);
		}
		i = next;
	}
}

void joblog_send_appends(struct joblog *j)
{
	g_autoptr(GPtrArray) records = NULL;
	struct append_cond cond = { 0 };
	struct append_call *call;
	int64_t now = node_now_ms();
	int64_t timeout = joblog_append_timeout(j);
	size_t bytes = 0;

	if (j->append_due_ms > now ||
	    j->appends_in_flight >= (j->leading ? APPENDS_IN_FLIGHT_MAX : 1))
		return;
	if (j->appends_in_flight &&
	    now - j->append_sent_ms < MAX(OVERLAP_MS, j->append_ms / APPENDS_IN_FLIGHT_MAX))
		return;
	expire_pending(j, now);
	if (g_queue_is_empty(&j->queue))
		return;
	records = g_ptr_array_new_with_free_func(g_free);
	call = g_new0(struct append_call, 1);
	call->log = j;
	call->sent = g_ptr_array_new();
	call->sent_ms = now;
	while (!g_queue_is_empty(&j->queue) && bytes < CALL_BYTES_MAX) {
		struct pending_record *p = g_queue_pop_head(&j->queue);
		struct log_record *rec = g_new0(struct log_record, 1);

		rec->key = p->key;
		rec->value = p->value;
		rec->size = p->size;
		bytes += p->size;
		timeout = MIN(timeout, MAX(p->deadline_ms - now, RETRY_MS));
		g_ptr_array_add(records, rec);
		g_ptr_array_add(call->sent, p);
	}
	j->appends_in_flight++;
	j->append_sent_ms = now;
	j->store.ops->append(j->store.impl, TOPIC, JOBLOG_JOBS, records, &cond, (uint32_t)timeout,
			     on_jobs_appended, call);
}

void joblog_append(struct joblog *j, const char *key, uint8_t *value, size_t size,
		   int64_t deadline_ms, joblog_done_fn fn, void *ctx)
{
	struct pending_record *p;

	if (j->appends_ended || joblog_store_down(j)) {
		g_free(value);
		fn(ctx, STORE_REFUSED);
		return;
	}
	p = g_new0(struct pending_record, 1);
	p->key = g_strdup(key);
	p->value = value;
	p->size = size;
	p->deadline_ms = deadline_ms;
	p->fn = fn;
	p->ctx = ctx;
	/* Advice and the intents of the first starts need not wait until the record is stored. */
	p->offered = j->leading && job_table_add_tentative(j->jobs, key, value, size);
	g_queue_push_tail(&j->queue, p);
	joblog_send_appends(j);
}

void joblog_end_appends(struct joblog *j)
{
	j->appends_ended = true;
	while (!g_queue_is_empty(&j->queue))
		give_up(j, g_queue_pop_head(&j->queue));
}

void joblog_free_appends(struct joblog *j)
{
	while (!g_queue_is_empty(&j->queue))
		pending_record_free(g_queue_pop_head(&j->queue));
}
