#define G_LOG_DOMAIN "joblog"

#include <string.h>

#include "joblog.h"
#include "log.h"

#define TOPIC	       "keyed.jobs"
#define PRODUCER       "scheduler"
#define PARTS	       2
#define FOLLOW_MS      1000 /* between reads of a follower; waiting counts may be 2 s old */
#define LEAD_READ_MS   300  /* between reads of the scheduler: most jobs come by way of it */
#define RETRY_MS       80   /* after a refusal or no answer */
#define APPEND_MIN_MS  700  /* a store 90 times as slow answers within it */
#define APPEND_MAX_MS  1400 /* half of the time that callers have; a slow store takes 0.6 s */
#define APPEND_FACTOR  4    /* of the time that appends took lately */
#define TRIES_MAX      3    /* of a record of a caller, who does better with another node then */
#define AWAY_MISSES    2    /* calls in a row without an answer: the store is away */
#define TICK_MS	       20
#define CALL_BYTES_MAX 262144 /* of an append; far below the platform's limit of a call */

struct pending {
	char *key;
	uint8_t *value;
	size_t size;
	int64_t until_ms;
	bool in_doubt; /* some try had no answer */
	uint32_t tries;
	done_fn fn;
	void *ctx;
};

struct waiter {
	done_fn fn;
	void *ctx;
};

/* Reader of one partition. */
struct reader {
	struct joblog *log;
	uint32_t part;
	uint64_t next;
	char *after; /* key after which the newest records are read on, NULL once they were read */
	uint64_t load_next;  /* where to read on after that */
	uint32_t generation; /* answers of older ones are dropped */
	bool reading;
	bool end_seen; /* in the refresh under way */
	int64_t due_ms;
};

struct joblog {
	struct store store;
	const struct joblog_ops *ops;
	void *ctx;
	struct book *book;
	struct reader reader[PARTS];
	guint timer;
	GArray *waiter;	     /* of the refresh under way */
	GArray *waiter_next; /* that came too late for it */
	bool refreshing;
	bool leading;
	bool fencing;
	bool loaded;
	uint32_t misses;   /* calls in a row that the store did not serve */
	int64_t append_ms; /* what appends took lately; doubled by each without an answer */
	uint64_t term;
	uint64_t seq;
	done_fn lead_fn;
	void *lead_ctx;
	/* Appends of the jobs' partition. */
	GQueue queue; /* of struct pending */
	GPtrArray *sent;
	int64_t sent_ms;
	int64_t append_due_ms;
	/* Progress. */
	GPtrArray *batch;
	uint64_t batch_no;
	bool batch_sent;
	int64_t batch_due_ms;
	GPtrArray *drops; /* keys of progress to drop with the next batch */
};

/* Answers of an older term, or of an older batch, are not taken for those of the current one. */
struct batch_call {
	struct joblog *log;
	uint64_t term;
	uint64_t batch;
	int64_t sent_ms;
};

struct read_call {
	struct reader *reader;
	uint32_t generation;
};

static void pending_free(struct pending *p)
{
	g_free(p->key);
	g_free(p->value);
	g_free(p);
}

static void finish(struct pending *p, enum store_result result)
{
	p->fn(p->ctx, result);
	pending_free(p);
}

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

static void reader_reset(struct reader *r)
{
	r->generation++;
	r->reading = false;
	r->next = 0;
	r->load_next = 0;
	r->due_ms = 0;
	g_free(r->after);
	r->after = g_strdup("");
}

static void reset_book(struct joblog *j)
{
	book_destroy(j->book);
	j->book = book_create();
	book_watch(j->book, &book_ops, j);
	for (uint32_t i = 0; i < PARTS; i++)
		reader_reset(&j->reader[i]);
}

static bool reads_part(const struct joblog *j, uint32_t part)
{
	return !j->leading || part == JOBLOG_JOBS;
}

static void read_part(struct reader *r);

/* A read that is under way may have been answered before the refresh was asked for. */
static void begin_refresh(struct joblog *j)
{
	j->refreshing = true;
	for (uint32_t i = 0; i < PARTS; i++) {
		struct reader *r = &j->reader[i];

		r->end_seen = false;
		r->generation += r->reading ? 1 : 0;
		r->reading = false;
		if (reads_part(j, i))
			read_part(r);
	}
}

static void finish_refresh(struct joblog *j, enum store_result result)
{
	GArray *waiter = j->waiter;

	j->refreshing = false;
	j->waiter = j->waiter_next;
	j->waiter_next = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	if (j->waiter->len)
		begin_refresh(j);
	for (guint i = 0; i < waiter->len; i++) {
		const struct waiter *w = &g_array_index(waiter, struct waiter, i);

		w->fn(w->ctx, result);
	}
	g_array_unref(waiter);
}

static void check_refresh(struct joblog *j)
{
	for (uint32_t i = 0; i < PARTS; i++)
		if (reads_part(j, i) && !j->reader[i].end_seen)
			return;
	j->loaded = true;
	if (j->refreshing)
		finish_refresh(j, STORE_OK);
}

static void apply(struct joblog *j, const struct store_page *page)
{
	for (size_t i = 0; i < page->n; i++) {
		const struct store_record *rec = &page->record[i];

		if (!rec->key || !book_apply(j->book, rec->key, rec->value, rec->size))
			log_warn("read", NULL, "unreadable record at offset %" G_GUINT64_FORMAT,
				 rec->offset);
	}
}

/* A page of the newest records; those that were written meanwhile are read afterwards. */
static void take_newest(struct reader *r, const struct store_page *page)
{
	if (!*r->after)
		r->load_next = page->next;
	g_free(r->after);
	r->after = NULL;
	if (page->more && page->n) {
		r->after = g_strdup(page->record[page->n - 1].key);
		return;
	}
	r->next = r->load_next;
}

static void note_answer(struct joblog *j, enum store_result result)
{
	bool served = result != STORE_UNKNOWN && result != STORE_REFUSED;

	if (served && j->misses >= AWAY_MISSES)
		log_notice("store", NULL, "the store answers again");
	j->misses = served ? 0 : j->misses + 1;
	if (j->misses == AWAY_MISSES)
		log_notice("store", NULL, "the store does not answer");
}

static void on_page(void *ctx, enum store_result result, const struct store_page *page)
{
	struct read_call *call = ctx;
	struct reader *r = call->reader;
	struct joblog *j = r->log;
	bool current = call->generation == r->generation;
	bool was_load = r->after != NULL;

	g_free(call);
	if (!current)
		return;
	r->reading = false;
	r->due_ms = node_now_ms();
	note_answer(j, result);
	if (result == STORE_TRIMMED) {
		/* Records were lost from the log before they were read: start over. */
		log_warn("read", NULL, "the log was trimmed past offset %" G_GUINT64_FORMAT,
			 r->next);
		if (j->leading || j->fencing)
			j->ops->fenced(j->ctx);
		else
			reset_book(j);
		return;
	}
	if (result != STORE_OK) {
		r->due_ms += RETRY_MS;
		if (j->refreshing && !j->fencing)
			finish_refresh(j, result);
		return;
	}
	apply(j, page);
	if (was_load) {
		take_newest(r, page);
		return;
	}
	if (page->n)
		r->next = MAX(r->next, page->record[page->n - 1].offset + 1);
	if (r->next < page->next)
		return;
	r->end_seen = true;
	r->due_ms += j->leading ? LEAD_READ_MS : FOLLOW_MS;
	check_refresh(j);
}

static void read_part(struct reader *r)
{
	struct joblog *j = r->log;
	struct read_call *call = g_new(struct read_call, 1);
	call->reader = r;
	call->generation = r->generation;
	r->reading = true;
	if (r->after)
		j->store.ops->newest(j->store.impl, TOPIC, r->part, r->after, on_page, call);
	else
		j->store.ops->read(j->store.impl, TOPIC, r->part, r->next, 0, on_page, call);
}

/* A slow store is given time; one that loses answers is soon asked again. */
static uint32_t append_timeout(const struct joblog *j)
{
	return (uint32_t)CLAMP(j->append_ms * APPEND_FACTOR, APPEND_MIN_MS, APPEND_MAX_MS);
}

static void note_append(struct joblog *j, enum store_result result, int64_t took_ms)
{
	if (result == STORE_UNKNOWN)
		j->append_ms = MIN(MAX(j->append_ms, APPEND_MIN_MS / APPEND_FACTOR) * 2,
				   APPEND_MAX_MS / APPEND_FACTOR);
	else
		j->append_ms = (j->append_ms * 3 + took_ms) / 4;
}

static void send_appends(struct joblog *j);

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

static void on_jobs_appended(void *ctx, enum store_result result, uint64_t offset)
{
	struct joblog *j = ctx;
	GPtrArray *sent = j->sent;
	int64_t now = node_now_ms();

	j->sent = NULL;
	note_answer(j, result);
	note_append(j, result, now - j->sent_ms);
	skip_own(j, result, offset, sent->len);
	for (guint i = sent->len; i > 0; i--) {
		struct pending *p = sent->pdata[i - 1];

		p->in_doubt = p->in_doubt || result == STORE_UNKNOWN;
		p->tries++;
		if (result == STORE_OK) {
			if (j->leading)
				book_apply(j->book, p->key, p->value, p->size);
			finish(p, STORE_OK);
		} else if (worth_a_try(j, p, now))
			g_queue_push_head(&j->queue, p);
		else
			finish(p, p->in_doubt ? STORE_UNKNOWN : STORE_REFUSED);
	}
	g_ptr_array_unref(sent);
	j->append_due_ms = result == STORE_OK ? now : now + RETRY_MS;
	send_appends(j);
}

static void give_up_late(struct joblog *j, int64_t now)
{
	for (GList *i = j->queue.head; i;) {
		GList *next = i->next;
		struct pending *p = i->data;

		if (p->until_ms <= now) {
			g_queue_delete_link(&j->queue, i);
			finish(p, p->in_doubt ? STORE_UNKNOWN : STORE_REFUSED);
		}
		i = next;
	}
}

static void send_appends(struct joblog *j)
{
	g_autoptr(GPtrArray) records = NULL;
	struct append_terms terms = { 0 };
	int64_t now = node_now_ms();
	int64_t timeout = append_timeout(j);
	size_t bytes = 0;

	if (j->sent || j->append_due_ms > now)
		return;
	give_up_late(j, now);
	if (g_queue_is_empty(&j->queue))
		return;
	records = g_ptr_array_new_with_free_func(g_free);
	j->sent = g_ptr_array_new();
	while (!g_queue_is_empty(&j->queue) && bytes < CALL_BYTES_MAX) {
		struct pending *p = g_queue_pop_head(&j->queue);
		struct log_record *rec = g_new0(struct log_record, 1);

		rec->key = p->key;
		rec->value = p->value;
		rec->size = p->size;
		bytes += p->size;
		timeout = MIN(timeout, MAX(p->until_ms - now, RETRY_MS));
		g_ptr_array_add(records, rec);
		g_ptr_array_add(j->sent, p);
	}
	j->sent_ms = now;
	j->store.ops->append(j->store.impl, TOPIC, JOBLOG_JOBS, records, &terms, (uint32_t)timeout,
			     on_jobs_appended, j);
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
	g_queue_push_tail(&j->queue, p);
	send_appends(j);
}

void joblog_refresh(struct joblog *j, done_fn fn, void *ctx)
{
	struct waiter w = { .fn = fn, .ctx = ctx };

	if (j->refreshing) {
		g_array_append_val(j->waiter_next, w);
		return;
	}
	g_array_append_val(j->waiter, w);
	begin_refresh(j);
}

static void send_batch(struct joblog *j);

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

	note_append(j, result, node_now_ms() - call->sent_ms);
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
			     append_timeout(j), on_batch_appended, call);
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
	if (!j->batch_sent)
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
	reset_book(j);
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

	send_appends(j);
	if (j->leading || j->fencing)
		tick_leader(j, now);
	for (uint32_t i = 0; i < PARTS; i++) {
		struct reader *r = &j->reader[i];

		if (!r->reading && r->due_ms <= now && reads_part(j, i))
			read_part(r);
	}
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
	reset_book(j);
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
	while (!g_queue_is_empty(&j->queue))
		pending_free(g_queue_pop_head(&j->queue));
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
