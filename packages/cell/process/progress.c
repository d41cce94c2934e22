#include "lapse.h"

/* A slow store takes 180 ms for each append, and a partition takes them one after the other. */
#define BATCHES_MAX	 2   /* in flight; more would only queue in the store */
#define BATCH_OVERLAP_MS 100 /* a fast store answers sooner, so one batch at a time is enough */
#define BEGUN_WRITE_MS	 500 /* other nodes may count a job that has begun as waiting for 2 s */
#define WRITE_WEIGHT	 4   /* the last write counts 1/4 in the moving average */

void scheduler_mark_dirty(struct scheduler *s, struct cell_job *j)
{
	if (j->dirty)
		return;
	j->dirty = true;
	g_ptr_array_add(s->dirty_jobs, j);
}

void scheduler_mark_started(struct scheduler *s, struct cell_job *j)
{
	if (j->started)
		return;
	cell_job_mark_started(j);
	if (s->begun_jobs->len == 0)
		s->begun_due_ms = s->now_ms + BEGUN_WRITE_MS;
	g_ptr_array_add(s->begun_jobs, j);
}

/* Returns when begun jobs need a batch of their own. */
static int64_t begun_due_ms(const struct scheduler *s)
{
	return s->begun_jobs->len ? s->begun_due_ms : INT64_MAX;
}

static void record_free(gpointer data)
{
	struct log_record *r = data;

	g_free(r->key);
	g_free(r->value);
	g_free(r);
}

/* The intents of all runs planned so far are in the batch that is being written. */
static void stamp_intents(struct scheduler *s)
{
	for (guint i = 0; i < s->planned_runs->len; i++) {
		struct run *r = s->planned_runs->pdata[i];

		if (!r->intent_batch)
			r->intent_batch = s->batch_next;
	}
}

/* One batch at a time while the store is fast, to make few calls. */
static int64_t write_due_ms(const struct scheduler *s)
{
	if (s->batches_in_flight == 0)
		return s->batch_sent_ms + s->conf.write_every_ms;
	if (s->batches_in_flight >= BATCHES_MAX)
		return INT64_MAX;
	return s->batch_sent_ms + MAX(s->mean_write_ms / BATCHES_MAX, BATCH_OVERLAP_MS);
}

void progress_written(struct scheduler *s, uint64_t batch)
{
	/* batch_sent_ms is known only for the last batch. */
	if (batch + 1 == s->batch_next)
		s->mean_write_ms =
			(s->mean_write_ms * (WRITE_WEIGHT - 1) + s->now_ms - s->batch_sent_ms) /
			WRITE_WEIGHT;
	s->batches_in_flight -= (uint32_t)(batch - s->batch_acked);
	s->batch_acked = batch;
	lapse_written(s);
}

int64_t progress_write(struct scheduler *s, int64_t next_ms)
{
	GPtrArray *records;

	if (s->dirty_jobs->len == 0 && !s->lapse_due && begun_due_ms(s) > s->now_ms)
		return MIN(next_ms, begun_due_ms(s));
	if (write_due_ms(s) > s->now_ms)
		return MIN(next_ms, write_due_ms(s));
	for (guint i = 0; i < s->begun_jobs->len; i++)
		scheduler_mark_dirty(s, s->begun_jobs->pdata[i]);
	g_ptr_array_set_size(s->begun_jobs, 0);
	records = g_ptr_array_new_with_free_func(record_free);
	for (guint i = 0; i < s->dirty_jobs->len; i++) {
		struct cell_job *j = s->dirty_jobs->pdata[i];
		struct log_record *r = g_new0(struct log_record, 1);

		r->key = g_strdup_printf("%s/p", j->id);
		r->value = cell_job_pack_progress(j, &r->size);
		g_ptr_array_add(records, r);
		j->dirty = false;
		j->written_state = j->state;
		j->written_batch = s->batch_next;
	}
	g_ptr_array_set_size(s->dirty_jobs, 0);
	lapse_write(s, records);
	if (!records->len) {
		g_ptr_array_unref(records);
		return next_ms;
	}
	stamp_intents(s);
	s->batches_in_flight++;
	s->batch_sent_ms = s->now_ms;
	s->ops->write(s->ctx, s->batch_next++, records);
	return next_ms;
}
