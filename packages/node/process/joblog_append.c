#include "joblog_priv.h"

/* A store 90 times as slow takes 522 ms, and 174 for each call before this one. */
#define APPEND_MIN_MS  900
#define APPEND_FACTOR  4      /* of the time that appends took lately */
#define TRIES_MAX      3      /* of a record of a caller, who does better with another node then */
#define CALL_BYTES_MAX 262144 /* of an append; far below the platform's limit of a call */

struct pending {
	bool offered; /* the scheduler plans the job before it is stored */
	char *key;
	uint8_t *value;
	size_t size;
	int64_t until_ms;
	bool in_doubt; /* some try had no answer */
	uint32_t tries;
	done_fn fn;
	void *ctx;
};

static void pending_free(struct pending *p)
{
	g_free(p->key);
	g_free(p->value);
	g_free(p);
}

static void finish(struct joblog *j, struct pending *p, enum store_result result)
{
	if (p->offered && result != STORE_OK)
		joblog_withdraw(j, p->key);
	p->fn(p->ctx, result);
	pending_free(p);
}

uint32_t joblog_append_timeout(const struct joblog *j)
{
	/* Without a scheduler all nodes append, and a slow store takes them one after the other. */
	if (!j->leading)
		return APPEND_MAX_MS;
	return (uint32_t)CLAMP(j->append_ms * APPEND_FACTOR, APPEND_MIN_MS, APPEND_MAX_MS);
}

void joblog_note_append(struct joblog *j, enum store_result result, int64_t took_ms)
{
	if (result == STORE_UNKNOWN)
		j->append_ms = MIN(MAX(j->append_ms, APPEND_MIN_MS / APPEND_FACTOR) * 2,
				   APPEND_MAX_MS / APPEND_FACTOR);
	else
		j->append_ms = (j->append_ms * 3 + took_ms) / 4;
}

/* Whether another try is better than telling the caller, who can ask another node. */
static bool worth_a_try(const struct joblog *j, const struct pending *p, int64_t now)
{
	if (joblog_away(j) || p->tries >= TRIES_MAX)
		return false;
	return now + RETRY_MS < p->until_ms;
}

/* The scheduler need not read what it has appended. */
static void skip_own(struct joblog *j, enum store_result result, uint64_t offset, uint32_t n)
{
	struct reader *r = &j->reader[JOBLOG_JOBS];

	if (result == STORE_OK && j->leading && !r->after && offset == r->next)
		r->next += n;
}

/* Records of one append of the jobs' partition. */
struct jobs_call {
	struct joblog *log;
	GPtrArray *sent; /* of struct pending */
	int64_t sent_ms;
};

static void take_result(struct joblog *j, struct pending *p, enum store_result result, int64_t now)
{
	p->in_doubt = p->in_doubt || result == STORE_UNKNOWN;
	p->tries++;
	if (result == STORE_OK) {
		if (j->leading)
			job_table_apply(j->book, p->key, p->value, p->size);
		finish(j, p, STORE_OK);
	} else if (worth_a_try(j, p, now)) {
		g_queue_push_head(&j->queue, p);
	} else {
		finish(j, p, p->in_doubt ? STORE_UNKNOWN : STORE_REFUSED);
	}
}

static void on_jobs_appended(void *ctx, enum store_result result, uint64_t offset)
{
	struct jobs_call *call = ctx;
	struct joblog *j = call->log;
	int64_t now = node_now_ms();

	j->calls--;
	joblog_note_answer(j, result);
	joblog_note_append(j, result, now - call->sent_ms);
	skip_own(j, result, offset, call->sent->len);
	for (guint i = call->sent->len; i > 0; i--)
		take_result(j, call->sent->pdata[i - 1], result, now);
	g_ptr_array_unref(call->sent);
	g_free(call);
	j->append_due_ms = result == STORE_OK ? now : now + RETRY_MS;
	joblog_send_appends(j);
}

static void give_up_late(struct joblog *j, int64_t now)
{
	for (GList *i = j->queue.head; i;) {
		GList *next = i->next;
		struct pending *p = i->data;

		if (p->until_ms <= now) {
			g_queue_delete_link(&j->queue, i);
			finish(j, p, p->in_doubt ? STORE_UNKNOWN : STORE_REFUSED);
		}
		i = next;
	}
}

void joblog_send_appends(struct joblog *j)
{
	g_autoptr(GPtrArray) records = NULL;
	struct append_terms terms = { 0 };
	struct jobs_call *call;
	int64_t now = node_now_ms();
	int64_t timeout = joblog_append_timeout(j);
	size_t bytes = 0;

	if (j->append_due_ms > now || j->calls >= (j->leading ? CALLS_MAX : 1))
		return;
	if (j->calls && now - j->sent_ms < MAX(OVERLAP_MS, j->append_ms / CALLS_MAX))
		return;
	give_up_late(j, now);
	if (g_queue_is_empty(&j->queue))
		return;
	records = g_ptr_array_new_with_free_func(g_free);
	call = g_new0(struct jobs_call, 1);
	call->log = j;
	call->sent = g_ptr_array_new();
	call->sent_ms = now;
	while (!g_queue_is_empty(&j->queue) && bytes < CALL_BYTES_MAX) {
		struct pending *p = g_queue_pop_head(&j->queue);
		struct log_record *rec = g_new0(struct log_record, 1);

		rec->key = p->key;
		rec->value = p->value;
		rec->size = p->size;
		bytes += p->size;
		timeout = MIN(timeout, MAX(p->until_ms - now, RETRY_MS));
		g_ptr_array_add(records, rec);
		g_ptr_array_add(call->sent, p);
	}
	j->calls++;
	j->sent_ms = now;
	j->store.ops->append(j->store.impl, TOPIC, JOBLOG_JOBS, records, &terms, (uint32_t)timeout,
			     on_jobs_appended, call);
}

void joblog_append(struct joblog *j, const char *key, uint8_t *value, size_t size, int64_t until_ms,
		   done_fn fn, void *ctx)
{
	struct pending *p;

	if (joblog_away(j)) {
		g_free(value);
		fn(ctx, STORE_REFUSED);
		return;
	}
	p = g_new0(struct pending, 1);
	p->key = g_strdup(key);
	p->value = value;
	p->size = size;
	p->until_ms = until_ms;
	p->fn = fn;
	p->ctx = ctx;
	/* Advice and the intents of the first starts need not wait for the record. */
	p->offered = j->leading && job_table_add_tentative(j->book, key, value, size);
	g_queue_push_tail(&j->queue, p);
	joblog_send_appends(j);
}

void joblog_drop_appends(struct joblog *j)
{
	while (!g_queue_is_empty(&j->queue))
		pending_free(g_queue_pop_head(&j->queue));
}
