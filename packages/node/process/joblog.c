#define G_LOG_DOMAIN "joblog"

#include "joblog_priv.h"
#include "log.h"

#define PRODUCER    "scheduler"
#define AWAY_MISSES 2 /* calls in a row without an answer: the store is away */
#define TICK_MS	    20

/* Answers of an older term, or of an older batch, are not taken for those of the current one. */
struct batch_call {
	struct joblog *log;
	uint64_t term;
	uint64_t batch;
	int64_t sent_ms;
};

static void on_changed(void *ctx, struct plan *p)
{
	struct joblog *j = ctx;

	j->ops->changed(j->ctx, p);
}

static void on_dropped(void *ctx, struct plan *p)
{
	struct joblog *j = ctx;

	j->ops->dropped(j->ctx, p);
}

static const struct book_ops book_ops = { .changed = on_changed, .dropped = on_dropped };

void joblog_reset_book(struct joblog *j)
{
	book_destroy(j->book);
	j->book = book_create();
	book_watch(j->book, &book_ops, j);
	for (uint32_t i = 0; i < PARTS; i++)
		joblog_reader_reset(&j->reader[i]);
}

void joblog_note_answer(struct joblog *j, enum store_result result)
{
	bool served = result != STORE_UNKNOWN && result != STORE_REFUSED;

	if (served && j->misses >= AWAY_MISSES)
		log_notice("store", NULL, "the store answers again");
	j->misses = served ? 0 : j->misses + 1;
	if (j->misses == AWAY_MISSES)
		log_notice("store", NULL, "the store does not answer");
}

static void drop_batch(struct joblog *j)
{
	g_clear_pointer(&j->batch, g_ptr_array_unref);
	j->batch_sent = false;
}

static void on_batch_appended(void *ctx, enum store_result result, uint64_t offset)
{
	struct batch_call *call = ctx;
	struct joblog *j = call->log;
	uint64_t batch = call->batch;
	bool current = j->leading && call->term == j->term && j->batch && j->batch_no == batch;

	joblog_note_append(j, result, node_now_ms() - call->sent_ms);
	g_free(call);
	if (!current)
		return;
	j->batch_sent = false;
	if (result == STORE_OK) {
		j->seq++;
		drop_batch(j);
		j->ops->written(j->ctx, batch);
	} else if (result == STORE_FENCED || result == STORE_OUT_OF_SEQUENCE) {
		log_warn("append", NULL, "progress is written by a newer scheduler");
		drop_batch(j);
		j->ops->fenced(j->ctx);
	} else {
		j->batch_due_ms = node_now_ms() + RETRY_MS;
	}
}

/* A repeated batch has the same sequence number, so that it is appended once. */
static void send_batch(struct joblog *j)
{
	struct append_terms terms = { .producer = PRODUCER, .epoch = j->term, .seq = j->seq };
	struct batch_call *call = g_new(struct batch_call, 1);

	*call = (struct batch_call){
		.log = j, .term = j->term, .batch = j->batch_no, .sent_ms = node_now_ms()
	};
	j->batch_sent = true;
	j->store.ops->append(j->store.impl, TOPIC, JOBLOG_PROGRESS, j->batch, &terms,
			     joblog_append_timeout(j), on_batch_appended, call);
}

void joblog_write(struct joblog *j, uint64_t batch, GPtrArray *records)
{
	drop_batch(j);
	j->batch = records;
	j->batch_no = batch;
	for (guint i = 0; i < j->drops->len; i++) {
		struct log_record *rec = g_new0(struct log_record, 1);

		rec->key = g_strdup(j->drops->pdata[i]);
		g_ptr_array_add(records, rec);
	}
	g_ptr_array_set_size(j->drops, 0);
	send_batch(j);
}

static void on_drop(void *ctx, enum store_result result)
{
	if (result != STORE_OK)
		log_info("drop", NULL, "an old job was not dropped; it is tried again later");
}

void joblog_drop(struct joblog *j, const char *id)
{
	int64_t until_ms = node_now_ms() + APPEND_MAX_MS;
	g_autofree char *cancel = g_strdup_printf("%s/c", id);

	g_ptr_array_add(j->drops, g_strdup_printf("%s/p", id));
	joblog_append(j, cancel, NULL, 0, until_ms, on_drop, j);
	joblog_append(j, id, NULL, 0, until_ms, on_drop, j);
}

static void on_lead_read(void *ctx, enum store_result result)
{
	struct joblog *j = ctx;
	done_fn fn = j->lead_fn;

	if (!j->fencing)
		return;
	j->fencing = false;
	j->leading = result == STORE_OK;
	j->lead_fn = NULL;
	/* From here on the scheduler's own memory is newer than what a read may still bring. */
	j->reader[JOBLOG_PROGRESS].generation++;
	j->reader[JOBLOG_PROGRESS].reading = false;
	if (fn)
		fn(j->lead_ctx, result);
}

static void on_fenced(void *ctx, enum store_result result, uint64_t offset)
{
	struct joblog *j = ctx;

	if (!j->fencing)
		return;
	if (result == STORE_OK || result == STORE_OUT_OF_SEQUENCE) {
		joblog_refresh(j, on_lead_read, j);
		return;
	}
	if (result == STORE_FENCED) {
		on_lead_read(j, result);
		return;
	}
	j->batch_due_ms = node_now_ms() + RETRY_MS;
}

static void send_fence(struct joblog *j)
{
	struct append_terms terms = { .producer = PRODUCER, .epoch = j->term };
	g_autoptr(GPtrArray) none = g_ptr_array_new();

	j->batch_due_ms = INT64_MAX;
	j->store.ops->append(j->store.impl, TOPIC, JOBLOG_PROGRESS, none, &terms, APPEND_MAX_MS,
			     on_fenced, j);
}

void joblog_lead(struct joblog *j, uint64_t term, done_fn fn, void *ctx)
{
	drop_batch(j);
	j->term = term;
	j->seq = 1;
	j->fencing = true;
	j->lead_fn = fn;
	j->lead_ctx = ctx;
	send_fence(j);
}

void joblog_follow(struct joblog *j)
{
	drop_batch(j);
	j->leading = false;
	j->fencing = false;
	g_ptr_array_set_size(j->drops, 0);
	joblog_reset_book(j);
}

static void tick_leader(struct joblog *j, int64_t now)
{
	if (j->batch_due_ms > now)
		return;
	if (j->fencing)
		send_fence(j);
	else if (j->batch && !j->batch_sent)
		send_batch(j);
}

void joblog_tick(struct joblog *j)
{
	int64_t now = node_now_ms();

	joblog_send_appends(j);
	if (j->leading || j->fencing)
		tick_leader(j, now);
	joblog_read_tick(j, now);
}

static gboolean on_tick(gpointer data)
{
	joblog_tick(data);
	return G_SOURCE_CONTINUE;
}

struct joblog *joblog_create(const struct store *store, const struct joblog_ops *ops, void *ctx)
{
	struct joblog *j = g_new0(struct joblog, 1);

	j->store = *store;
	j->ops = ops;
	j->ctx = ctx;
	j->waiter = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	j->waiter_next = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	j->drops = g_ptr_array_new_with_free_func(g_free);
	g_queue_init(&j->queue);
	for (uint32_t i = 0; i < PARTS; i++) {
		j->reader[i].log = j;
		j->reader[i].part = i;
	}
	joblog_reset_book(j);
	return j;
}

void joblog_start(struct joblog *j)
{
	if (!j->timer)
		j->timer = g_timeout_add(TICK_MS, on_tick, j);
}

void joblog_destroy(struct joblog *j)
{
	if (!j)
		return;
	if (j->timer)
		g_source_remove(j->timer);
	drop_batch(j);
	joblog_drop_appends(j);
	for (uint32_t i = 0; i < PARTS; i++)
		g_free(j->reader[i].after);
	g_array_unref(j->waiter);
	g_array_unref(j->waiter_next);
	g_ptr_array_unref(j->drops);
	book_destroy(j->book);
	g_free(j);
}

struct book *joblog_book(struct joblog *j)
{
	return j->book;
}

bool joblog_away(const struct joblog *j)
{
	return j->misses >= AWAY_MISSES;
}

bool joblog_loaded(const struct joblog *j)
{
	return j->loaded;
}
