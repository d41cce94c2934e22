#define G_LOG_DOMAIN "joblog"

#include "joblog_priv.h"
#include "log.h"

#define FOLLOWER_READ_MS  1000 /* between reads of a follower; waiting counts may be 2 s old */
#define SCHEDULER_READ_MS 300  /* between reads of the scheduler, which appends most jobs itself */
#define PAGE_MIN_BYTES	  8192 /* 330 ms on a link of 200 Kbit/s */

struct read_call {
	struct reader *reader;
	uint32_t generation;
};

void joblog_reader_reset(struct reader *r)
{
	r->generation++;
	r->reading = false;
	r->end_seen = false;
	r->next_offset = 0;
	r->resume_offset = 0;
	r->due_ms = 0;
	r->page_bytes = STORE_PAGE_BYTES;
	g_free(r->after_key);
	r->after_key = g_strdup("");
}

static bool reads_part(const struct joblog *j, uint32_t part)
{
	return !j->leading || part == JOBLOG_JOBS;
}

static bool apply_record(struct joblog *j, const struct store_record *rec)
{
	if (g_str_equal(rec->key, LEASE_ENDS_KEY))
		return lease_ends_apply(j->lease_ends, rec->key, rec->value, rec->size,
					node_now_ms());
	return job_table_apply(j->jobs, rec->key, rec->value, rec->size);
}

static void apply(struct joblog *j, const struct store_page *page)
{
	for (size_t i = 0; i < page->n; i++) {
		const struct store_record *rec = &page->record[i];

		if (!rec->key || !apply_record(j, rec))
			log_warn("read", NULL, "unreadable record at offset %" G_GUINT64_FORMAT,
				 rec->offset);
	}
}

/* A page of the initial load. Records written since it began are read from resume_offset on. */
static void handle_newest(struct reader *r, const struct store_page *page)
{
	if (!*r->after_key)
		r->resume_offset = page->next_offset;
	g_free(r->after_key);
	r->after_key = NULL;
	if (page->more) {
		r->after_key = g_strdup(page->last_key);
		return;
	}
	r->next_offset = r->resume_offset;
	job_table_end_reload(r->log->jobs,
			     r->part == JOBLOG_JOBS ? JOB_TABLE_JOBS : JOB_TABLE_PROGRESS);
}

static void read_part(struct reader *r);

/* Cancels reads in flight: they may have been served before the refresh was requested. */
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
	j->waiter = j->next_waiter;
	j->next_waiter = g_array_new(FALSE, FALSE, sizeof(struct waiter));
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

/*
 * A page that the link doesn't carry within the read's timeout would be requested again and again,
 * and would delay all other messages meanwhile. A page may be too small for the next record.
 */
static void adapt_page(struct reader *r, enum store_result result, const struct store_page *page)
{
	if (result == STORE_UNKNOWN)
		r->page_bytes = MAX(r->page_bytes / 2, PAGE_MIN_BYTES);
	else if (result == STORE_OK && page->n == 0 && r->next_offset < page->next_offset)
		r->page_bytes = MIN(r->page_bytes * 2, STORE_PAGE_MAX_BYTES);
	else if (result == STORE_OK && r->page_bytes != STORE_PAGE_BYTES)
		r->page_bytes =
			r->page_bytes < STORE_PAGE_BYTES ? r->page_bytes * 2 : STORE_PAGE_BYTES;
}

static void on_page(void *ctx, enum store_result result, const struct store_page *page)
{
	struct read_call *call = ctx;
	struct reader *r = call->reader;
	struct joblog *j = r->log;
	bool current = call->generation == r->generation;
	bool was_load = r->after_key != NULL;

	g_free(call);
	if (!current)
		return;
	r->reading = false;
	r->due_ms = node_now_ms();
	joblog_record_result(j, result);
	if (!was_load)
		adapt_page(r, result, page);
	if (result == STORE_TRIMMED) {
		/* Records were trimmed before they were read: load the log again. */
		log_warn("read", NULL, "the log was trimmed past offset %" G_GUINT64_FORMAT,
			 r->next_offset);
		if (j->leading || j->fencing)
			j->ops->fenced(j->ctx);
		else
			joblog_reload(j);
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
		handle_newest(r, page);
		return;
	}
	if (page->n)
		r->next_offset = MAX(r->next_offset, page->record[page->n - 1].offset + 1);
	if (r->next_offset < page->next_offset)
		return;
	r->end_seen = true;
	r->due_ms += j->leading || j->fencing ? SCHEDULER_READ_MS : FOLLOWER_READ_MS;
	check_refresh(j);
}

static void read_part(struct reader *r)
{
	struct joblog *j = r->log;
	struct read_call *call = g_new(struct read_call, 1);

	call->reader = r;
	call->generation = r->generation;
	r->reading = true;
	if (r->after_key)
		j->store.ops->newest(j->store.impl, TOPIC, r->part, r->after_key, on_page, call);
	else
		j->store.ops->read(j->store.impl, TOPIC, r->part, r->next_offset, 0, r->page_bytes,
				   on_page, call);
}

void joblog_refresh(struct joblog *j, joblog_done_fn fn, void *ctx)
{
	struct waiter w = { .fn = fn, .ctx = ctx };

	if (j->refreshing) {
		g_array_append_val(j->next_waiter, w);
		return;
	}
	g_array_append_val(j->waiter, w);
	begin_refresh(j);
}

void joblog_read_tick(struct joblog *j, int64_t now_ms)
{
	for (uint32_t i = 0; i < PARTS; i++) {
		struct reader *r = &j->reader[i];

		if (!r->reading && r->due_ms <= now_ms && reads_part(j, i))
			read_part(r);
	}
}
