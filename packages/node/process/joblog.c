#define G_LOG_DOMAIN "joblog"

#include <string.h>

#include "joblog_priv.h"
#include "log.h"

#define PRODUCER	 "scheduler"
#define STORE_DOWN_CALLS 2 /* failed calls in a row, after which the store counts as down */
#define TICK_MS		 20
#define CANCELS_EVERY_MS 1000 /* between looks for early cancels that are too old */
#define CANCELS_DROP_MAX 256  /* that are deleted at a time */
/* Of one append; the platform takes 2,097,152 bytes, and the last record may go beyond. */
#define PART_BYTES	    1048576
#define PARTS_IN_FLIGHT_MAX 4 /* the store knows a producer's last five appends again */
/*
 * Added to the term. Raised with each format of the progress records that earlier releases misread,
 * so that the store refuses their schedulers once a newer one has written. The second format has
 * the ends of leases, which bind all schedulers.
 */
#define FORMAT_EPOCH (UINT64_C(2) << 32)

static uint64_t epoch_of(uint64_t term)
{
	return FORMAT_EPOCH + term;
}

/* A batch of the scheduler, or a part of a large one, that is not known to be stored yet. */
struct batch {
	uint64_t number;
	bool last; /* of the batch's parts */
	uint64_t seq;
	GPtrArray *records;
	bool sent;
	bool overtook;	/* it reached the store before an earlier batch, and was refused */
	int64_t due_ms; /* earliest time to send it again */
};

/* An append of a batch. Its answer is ignored if the term is over or the batch is stored. */
struct batch_call {
	struct joblog *log;
	uint64_t term;
	uint64_t seq;
	bool first; /* no earlier batch was waiting when it was sent */
	int64_t sent_ms;
};

/* The fence of a term, then the read after it. Their results are ignored if the term is over. */
struct term_call {
	struct joblog *log;
	uint64_t term;
};

/* The deletion of a job's own record. */
struct deletion {
	struct joblog *log;
	uint64_t term;
	char id[JOB_ID_LEN + 1];
};

static void on_changed(void *ctx, struct cell_job *job)
{
	struct joblog *j = ctx;

	j->ops->changed(j->ctx, job);
}

static void on_dropped(void *ctx, struct cell_job *job)
{
	struct joblog *j = ctx;

	j->ops->dropped(j->ctx, job);
}

static const struct job_table_ops job_table_ops = { .changed = on_changed, .dropped = on_dropped };

/* The table keeps its jobs, which are read again: it answers callers meanwhile. */
static void reload_progress(struct joblog *j)
{
	lease_ends_reload(j->lease_ends);
	job_table_begin_reload(j->jobs, JOB_TABLE_PROGRESS);
	joblog_reader_reset(&j->reader[JOBLOG_PROGRESS]);
}

void joblog_reload(struct joblog *j)
{
	reload_progress(j);
	job_table_begin_reload(j->jobs, JOB_TABLE_JOBS);
	joblog_reader_reset(&j->reader[JOBLOG_JOBS]);
}

void joblog_record_result(struct joblog *j, enum store_result result)
{
	bool served = result != STORE_UNKNOWN && result != STORE_REFUSED;

	if (served && j->failed_calls >= STORE_DOWN_CALLS)
		log_notice("store", NULL, "the store answers again");
	j->failed_calls = served ? 0 : j->failed_calls + 1;
	if (j->failed_calls == STORE_DOWN_CALLS)
		log_notice("store", NULL, "the store does not answer");
}

static void batch_free(gpointer data)
{
	struct batch *b = data;

	g_ptr_array_unref(b->records);
	g_free(b);
}

static struct batch *find_batch(const struct joblog *j, uint64_t seq)
{
	for (guint i = 0; i < j->batch->len; i++) {
		struct batch *b = j->batch->pdata[i];

		if (b->seq == seq)
			return b;
	}
	return NULL;
}

static void send_due_batches(struct joblog *j, int64_t now);

/* The store checks sequence numbers, so all earlier batches are stored too. */
static void batch_stored(struct joblog *j, uint64_t seq)
{
	uint64_t written = 0;

	j->first_batch_stored = true;
	while (j->batch->len) {
		const struct batch *b = j->batch->pdata[0];

		if (b->seq > seq)
			break;
		if (b->last)
			written = b->number;
		g_ptr_array_remove_index(j->batch, 0);
	}
	send_due_batches(j, node_now_ms());
	if (written)
		j->ops->written(j->ctx, written);
}

static void on_batch_appended(void *ctx, enum store_result result, uint64_t offset)
{
	struct batch_call *call = ctx;
	struct joblog *j = call->log;
	struct batch *b = j->leading && call->term == j->term ? find_batch(j, call->seq) : NULL;
	bool first = call->first;

	joblog_record_append(j, result, node_now_ms() - call->sent_ms);
	g_free(call);
	if (!b)
		return;
	b->sent = false;
	if (result == STORE_OK) {
		batch_stored(j, b->seq);
	} else if (result == STORE_FENCED || (result == STORE_OUT_OF_SEQUENCE && first)) {
		log_warn("append", NULL, "a newer scheduler writes the progress");
		g_ptr_array_set_size(j->batch, 0);
		j->ops->fenced(j->ctx);
	} else if (result == STORE_OUT_OF_SEQUENCE) {
		b->overtook = true;
		send_due_batches(j, node_now_ms());
	} else {
		b->due_ms = node_now_ms() + RETRY_MS;
	}
}

/* A repeated batch keeps its sequence number, so that the store deduplicates it. */
static void send_batch(struct joblog *j, struct batch *b)
{
	struct append_cond cond = { .producer = PRODUCER,
				    .epoch = epoch_of(j->term),
				    .seq = b->seq };
	struct batch_call *call = g_new(struct batch_call, 1);

	*call = (struct batch_call){ .log = j,
				     .term = j->term,
				     .seq = b->seq,
				     .first = b == j->batch->pdata[0],
				     .sent_ms = node_now_ms() };
	b->sent = true;
	j->store.ops->append(j->store.impl, TOPIC, JOBLOG_PROGRESS, b->records, &cond,
			     joblog_append_timeout(j), on_batch_appended, call);
}

/*
 * The store accepts any sequence number in the first batch of a term. If the first batch was lost,
 * it would accept the second one in its place.
 *
 * Later it refuses a batch that overtakes an earlier one. So a batch follows the one before it, and
 * after a refusal it waits until that one is stored. If it were sent again after a fixed time, each
 * new batch would overtake the repeated one, and all batches would be sent twice from then on.
 */
static bool may_send(const struct joblog *j, guint index)
{
	const struct batch *b = j->batch->pdata[index];
	const struct batch *prior = index ? j->batch->pdata[index - 1] : NULL;

	if (b->sent || index >= PARTS_IN_FLIGHT_MAX)
		return false;
	return !prior || (j->first_batch_stored && prior->sent && !b->overtook);
}

static void send_due_batches(struct joblog *j, int64_t now)
{
	for (guint i = 0; i < j->batch->len; i++) {
		struct batch *b = j->batch->pdata[i];

		if (may_send(j, i) && b->due_ms <= now)
			send_batch(j, b);
	}
}

/* Deletes come before the batch's own records, since a deleted job may have been added again. */
static void add_progress_deletes(struct joblog *j, GPtrArray *records)
{
	for (guint i = 0; i < j->progress_deletes->len; i++) {
		struct log_record *rec = g_new0(struct log_record, 1);

		rec->key = g_strdup(j->progress_deletes->pdata[i]);
		g_ptr_array_insert(records, 0, rec);
	}
	g_ptr_array_set_size(j->progress_deletes, 0);
}

/* After the term this node reads the record again, but the time counts from its writing. */
static void note_lease_ends(struct joblog *j, const GPtrArray *records)
{
	for (guint i = 0; i < records->len; i++) {
		const struct log_record *r = records->pdata[i];

		lease_ends_apply(j->lease_ends, r->key, r->value, r->size, node_now_ms());
	}
}

static void record_free(gpointer data)
{
	struct log_record *r = data;

	g_free(r->key);
	g_free(r->value);
	g_free(r);
}

static void add_part(struct joblog *j, uint64_t number, GPtrArray *records, bool last)
{
	struct batch *b = g_new0(struct batch, 1);

	b->number = number;
	b->last = last;
	b->seq = j->seq++;
	b->records = records;
	g_ptr_array_add(j->batch, b);
	if (may_send(j, j->batch->len - 1))
		send_batch(j, b);
}

/* The store refuses a call that is too large, and all later ones would wait for it. */
void joblog_write(struct joblog *j, uint64_t batch, GPtrArray *records)
{
	GPtrArray *part = g_ptr_array_new_with_free_func(record_free);
	g_autofree gpointer *rec = NULL;
	size_t bytes = 0;
	gsize n;

	note_lease_ends(j, records);
	add_progress_deletes(j, records);
	rec = g_ptr_array_steal(records, &n);
	g_ptr_array_unref(records);
	for (gsize i = 0; i < n; i++) {
		const struct log_record *r = rec[i];

		if (bytes >= PART_BYTES) {
			add_part(j, batch, part, false);
			part = g_ptr_array_new_with_free_func(record_free);
			bytes = 0;
		}
		bytes += strlen(r->key) + r->size;
		g_ptr_array_add(part, rec[i]);
	}
	add_part(j, batch, part, true);
}

void joblog_withdraw(struct joblog *j, const char *id)
{
	if (j->leading && job_table_drop_tentative(j->jobs, id))
		g_ptr_array_add(j->progress_deletes, g_strdup_printf("%s/p", id));
}

static void on_cancel_deleted(void *ctx, enum store_result result)
{
}

/* A job whose progress is gone, but whose own record is not, would be taken for a new one. */
static void on_job_deleted(void *ctx, enum store_result result)
{
	struct deletion *call = ctx;
	struct joblog *j = call->log;

	if (result != STORE_OK)
		log_info("drop", NULL, "an expired job was not deleted; retrying later");
	else if (j->leading && call->term == j->term && !job_table_find(j->jobs, call->id))
		g_ptr_array_add(j->progress_deletes, g_strdup_printf("%s/p", call->id));
	g_free(call);
}

void joblog_delete(struct joblog *j, const char *id)
{
	int64_t deadline_ms = node_now_ms() + APPEND_MAX_MS;
	g_autofree char *cancel = g_strdup_printf("%s/c", id);
	struct deletion *call = g_new(struct deletion, 1);

	*call = (struct deletion){ .log = j, .term = j->term };
	g_strlcpy(call->id, id, sizeof(call->id));
	joblog_append(j, cancel, NULL, 0, deadline_ms, on_cancel_deleted, j);
	joblog_append(j, call->id, NULL, 0, deadline_ms, on_job_deleted, call);
}

static void end_fencing(struct joblog *j, enum store_result result)
{
	joblog_done_fn fn = j->term_begun_fn;

	j->fencing = false;
	j->leading = result == STORE_OK;
	j->term_begun_fn = NULL;
	/* From now on the scheduler's own state is newer than the result of a read in flight. */
	j->reader[JOBLOG_PROGRESS].generation++;
	j->reader[JOBLOG_PROGRESS].reading = false;
	if (fn)
		fn(j->term_begun_ctx, result);
}

static bool is_fencing(const struct term_call *call)
{
	return call->log->fencing && call->term == call->log->term;
}

static void on_term_read(void *ctx, enum store_result result)
{
	g_autofree struct term_call *call = ctx;

	if (is_fencing(call))
		end_fencing(call->log, result);
}

static void on_fenced(void *ctx, enum store_result result, uint64_t offset)
{
	g_autofree struct term_call *call = ctx;
	struct joblog *j = call->log;

	if (!is_fencing(call))
		return;
	if (result == STORE_OK || result == STORE_OUT_OF_SEQUENCE)
		joblog_refresh(j, on_term_read, g_steal_pointer(&call));
	else if (result == STORE_FENCED)
		end_fencing(j, result);
	else
		j->fence_due_ms = node_now_ms() + RETRY_MS;
}

static void send_fence(struct joblog *j)
{
	struct append_cond cond = { .producer = PRODUCER, .epoch = epoch_of(j->term) };
	struct term_call *call = g_new(struct term_call, 1);
	g_autoptr(GPtrArray) none = g_ptr_array_new();

	*call = (struct term_call){ .log = j, .term = j->term };
	j->fence_due_ms = INT64_MAX;
	j->store.ops->append(j->store.impl, TOPIC, JOBLOG_PROGRESS, none, &cond, APPEND_MAX_MS,
			     on_fenced, call);
}

void joblog_begin_term(struct joblog *j, uint64_t term, joblog_done_fn fn, void *ctx)
{
	g_ptr_array_set_size(j->batch, 0);
	j->term = term;
	j->seq = 1;
	j->first_batch_stored = false;
	j->fencing = true;
	j->term_begun_fn = fn;
	j->term_begun_ctx = ctx;
	send_fence(j);
}

void joblog_end_term(struct joblog *j)
{
	g_ptr_array_set_size(j->batch, 0);
	j->leading = false;
	j->fencing = false;
	g_ptr_array_set_size(j->progress_deletes, 0);
	/* Jobs were read during the term. Its progress was not, and may not have been stored. */
	job_table_drop_all_tentative(j->jobs);
	reload_progress(j);
}

static void tick_leader(struct joblog *j, int64_t now)
{
	if (j->fencing) {
		if (j->fence_due_ms <= now)
			send_fence(j);
		return;
	}
	send_due_batches(j, now);
}

/* All processes note the age, as each may be the scheduler later. */
static void drop_early_cancels(struct joblog *j, int64_t now)
{
	g_autoptr(GPtrArray) old = NULL;

	if (now < j->cancels_due_ms)
		return;
	j->cancels_due_ms = now + CANCELS_EVERY_MS;
	old = job_table_age_cancels(j->jobs, now, JOBLOG_EARLY_CANCEL_MS, CANCELS_DROP_MAX);
	for (guint i = 0; j->leading && i < old->len; i++) {
		g_autofree char *key = g_strdup_printf("%s/c", (const char *)old->pdata[i]);

		joblog_append(j, key, NULL, 0, now + CANCELS_EVERY_MS, on_cancel_deleted, j);
	}
}

void joblog_tick(struct joblog *j)
{
	int64_t now = node_now_ms();

	drop_early_cancels(j, now);
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
	j->next_waiter = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	j->batch = g_ptr_array_new_with_free_func(batch_free);
	j->progress_deletes = g_ptr_array_new_with_free_func(g_free);
	g_queue_init(&j->queue);
	for (uint32_t i = 0; i < PARTS; i++) {
		j->reader[i].log = j;
		j->reader[i].part = i;
	}
	j->lease_ends = lease_ends_create();
	j->jobs = job_table_create();
	job_table_watch(j->jobs, &job_table_ops, j);
	joblog_reload(j);
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
	g_ptr_array_unref(j->batch);
	joblog_free_appends(j);
	for (uint32_t i = 0; i < PARTS; i++)
		g_free(j->reader[i].after_key);
	g_array_unref(j->waiter);
	g_array_unref(j->next_waiter);
	g_ptr_array_unref(j->progress_deletes);
	job_table_destroy(j->jobs);
	lease_ends_destroy(j->lease_ends);
	g_free(j);
}

const struct lease_ends *joblog_lease_ends(const struct joblog *j)
{
	return j->lease_ends;
}

struct job_table *joblog_job_table(struct joblog *j)
{
	return j->jobs;
}

bool joblog_store_down(const struct joblog *j)
{
	return j->failed_calls >= STORE_DOWN_CALLS;
}

bool joblog_loaded(const struct joblog *j)
{
	return j->loaded;
}
