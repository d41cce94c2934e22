#include <glib.h>

#include "heap.h"
#include "quarantine.h"

#define FAILURES_MAX	8		    /* counted for one worker */
#define JOB_RECORDS_MAX 4096		    /* the oldest is dropped */
#define REQUEST_KEY	((uint64_t)1 << 63) /* flag in the key of a service's requests */
#define AVOID_MS	5000		    /* how long a job avoids a worker on which it failed */
#define JITTER_DIVISOR	4		    /* jitter is at most delay / JITTER_DIVISOR */

/* Failures of one job, or of the requests of one service. */
struct job_record {
	uint64_t key;
	uint32_t worker[QUARANTINE_BAD_JOB_WORKERS];
	int64_t failed_ms[QUARANTINE_BAD_JOB_WORKERS];
	uint32_t n;
	bool bad;
	bool succeeded; /* on any worker, since its first failure */
};

struct worker_record {
	uint32_t worker;
	uint64_t failed_key[FAILURES_MAX]; /* quarantine_key() of each, or 0 */
	uint32_t failures;
	uint32_t delay_ms;
	int64_t until_ms;
	uint32_t heap_index;
	enum quarantine_state state;
};

struct quarantine {
	const struct quarantine_ops *ops;
	void *ctx;
	GHashTable *jobs;
	GQueue order; /* job records, oldest first */
	GPtrArray *workers;
	struct heap quarantined; /* by end of delay */
	GRand *rand;
	uint32_t threshold; /* failures before quarantine */
	uint32_t min_ms;
	uint32_t max_ms;
};

static bool released_first(const void *a, const void *b)
{
	return ((const struct worker_record *)a)->until_ms <
	       ((const struct worker_record *)b)->until_ms;
}

struct quarantine *quarantine_create(const struct owner_conf *conf,
				     const struct quarantine_ops *ops, void *ctx)
{
	struct quarantine *q = g_new0(struct quarantine, 1);

	q->ops = ops;
	q->ctx = ctx;
	q->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&q->order);
	q->workers = g_ptr_array_new_with_free_func(g_free);
	heap_init(&q->quarantined, released_first, offsetof(struct worker_record, heap_index));
	q->rand = g_rand_new_with_seed((guint32)conf->seed);
	q->threshold = CLAMP(conf->quarantine_starts, 1, FAILURES_MAX);
	q->min_ms = conf->quarantine_min_ms;
	q->max_ms = conf->quarantine_max_ms;
	return q;
}

void quarantine_destroy(struct quarantine *q)
{
	g_hash_table_destroy(q->jobs);
	g_queue_clear_full(&q->order, g_free);
	g_ptr_array_free(q->workers, TRUE);
	heap_clear(&q->quarantined);
	g_rand_free(q->rand);
	g_free(q);
}

static struct worker_record *find_worker(const struct quarantine *q, uint32_t worker)
{
	return worker < q->workers->len ? q->workers->pdata[worker] : NULL;
}

static struct worker_record *get_worker(struct quarantine *q, uint32_t worker)
{
	struct worker_record *wr = find_worker(q, worker);

	if (wr)
		return wr;
	if (worker >= q->workers->len)
		g_ptr_array_set_size(q->workers, (gint)worker + 1);
	wr = g_new0(struct worker_record, 1);
	wr->worker = worker;
	wr->heap_index = HEAP_NONE;
	q->workers->pdata[worker] = wr;
	return wr;
}

void quarantine_forget(struct quarantine *q, uint32_t worker)
{
	struct worker_record *wr = find_worker(q, worker);

	if (!wr)
		return;
	heap_remove(&q->quarantined, wr);
	q->workers->pdata[worker] = NULL;
	g_free(wr);
}

uint64_t quarantine_key(const struct work *w)
{
	return w->job ? w->job : REQUEST_KEY | w->service;
}

static struct job_record *get_job(struct quarantine *q, uint64_t key)
{
	struct job_record *jr = g_hash_table_lookup(q->jobs, &key);

	if (jr)
		return jr;
	if (g_queue_get_length(&q->order) >= JOB_RECORDS_MAX) {
		jr = g_queue_pop_head(&q->order);
		g_hash_table_remove(q->jobs, &jr->key);
		g_free(jr);
	}
	jr = g_new0(struct job_record, 1);
	jr->key = key;
	g_hash_table_insert(q->jobs, &jr->key, jr);
	g_queue_push_tail(&q->order, jr);
	return jr;
}

static uint32_t jitter(struct quarantine *q, uint32_t delay_ms)
{
	return delay_ms +
	       (uint32_t)g_rand_int_range(q->rand, 0, (gint32)(delay_ms / JITTER_DIVISOR) + 1);
}

static void start_quarantine(struct quarantine *q, struct worker_record *wr, bool longer,
			     int64_t now_ms)
{
	if (!wr->delay_ms)
		wr->delay_ms = q->min_ms;
	else if (longer)
		wr->delay_ms = MIN(2 * wr->delay_ms, q->max_ms);
	wr->until_ms = now_ms + jitter(q, wr->delay_ms);
	wr->state = QUARANTINE_ACTIVE;
	if (wr->heap_index == HEAP_NONE)
		heap_push(&q->quarantined, wr);
	else
		heap_update(&q->quarantined, wr);
	q->ops->changed(q->ctx, wr->worker, true, now_ms);
}

static void end_quarantine(struct quarantine *q, struct worker_record *wr, int64_t now_ms)
{
	bool quarantined = wr->state != QUARANTINE_NONE;

	wr->failures = 0;
	wr->delay_ms = 0;
	wr->state = QUARANTINE_NONE;
	heap_remove(&q->quarantined, wr);
	if (quarantined)
		q->ops->changed(q->ctx, wr->worker, false, now_ms);
}

/* Discards the failures of a bad job from a worker's count. */
static void discard_failures(struct quarantine *q, struct worker_record *wr, uint64_t key,
			     int64_t now_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < wr->failures; i++)
		if (wr->failed_key[i] != key)
			wr->failed_key[n++] = wr->failed_key[i];
	if (n == wr->failures)
		return;
	wr->failures = n;
	if (wr->state != QUARANTINE_NONE && n < q->threshold)
		end_quarantine(q, wr, now_ms);
}

static void job_failed(struct quarantine *q, struct job_record *jr, struct worker_record *wr,
		       int64_t now_ms)
{
	uint32_t i = 0;

	while (i < jr->n && jr->worker[i] != wr->worker)
		i++;
	if (i == QUARANTINE_BAD_JOB_WORKERS || (i == jr->n && wr->state != QUARANTINE_NONE))
		return;
	jr->worker[i] = wr->worker;
	jr->failed_ms[i] = now_ms;
	if (i == jr->n)
		jr->n++;
	if (jr->n < QUARANTINE_BAD_JOB_WORKERS || jr->bad)
		return;
	jr->bad = true;
	for (guint j = 0; j < q->workers->len; j++)
		if (q->workers->pdata[j])
			discard_failures(q, q->workers->pdata[j], jr->key, now_ms);
}

/* Counts a failure against the worker; key 0 if no job can be the cause. */
static void count_failure(struct quarantine *q, struct worker_record *wr, uint64_t key, bool repeat,
			  int64_t now_ms)
{
	for (uint32_t i = 0; i < wr->failures && !repeat; i++)
		if (wr->failed_key[i] == key)
			return;
	if (wr->failures < FAILURES_MAX)
		wr->failed_key[wr->failures++] = key;
	if (wr->state == QUARANTINE_NONE && wr->failures >= q->threshold)
		start_quarantine(q, wr, true, now_ms);
}

static void succeeded(struct quarantine *q, uint32_t worker, uint64_t key, int64_t now_ms)
{
	struct job_record *jr = g_hash_table_lookup(q->jobs, &key);
	struct worker_record *wr = find_worker(q, worker);

	if (jr) {
		jr->succeeded = true;
		jr->bad = false;
		jr->n = 0;
	}
	/* Work placed before the quarantine may still succeed; that does not end it. */
	if (wr && (wr->state == QUARANTINE_NONE || wr->state == QUARANTINE_PROBING))
		end_quarantine(q, wr, now_ms);
}

static void failed(struct quarantine *q, uint32_t worker, uint64_t key, bool probe, int64_t now_ms)
{
	struct worker_record *wr = get_worker(q, worker);
	struct job_record *jr = get_job(q, key);

	job_failed(q, jr, wr, now_ms);
	if (probe && wr->state == QUARANTINE_PROBING) {
		start_quarantine(q, wr, !jr->bad, now_ms);
		return;
	}
	if (!jr->bad)
		count_failure(q, wr, key, jr->succeeded, now_ms);
}

void quarantine_result(struct quarantine *q, uint32_t worker, uint64_t key, enum end_result result,
		       bool probe, int64_t now_ms)
{
	struct worker_record *wr;

	switch (result) {
	case END_OK:
		succeeded(q, worker, key, now_ms);
		return;
	case END_FAILED:
		failed(q, worker, key, probe, now_ms);
		return;
	default:
		break;
	}
	wr = get_worker(q, worker);
	if (probe && wr->state == QUARANTINE_PROBING)
		start_quarantine(q, wr, result != END_PREEMPTED, now_ms);
	else if (result != END_PREEMPTED)
		count_failure(q, wr, 0, true, now_ms);
}

bool quarantine_placed(struct quarantine *q, uint32_t worker, int64_t now_ms)
{
	struct worker_record *wr = find_worker(q, worker);

	if (!wr || wr->state != QUARANTINE_PROBE)
		return false;
	wr->state = QUARANTINE_PROBING;
	q->ops->changed(q->ctx, worker, true, now_ms);
	return true;
}

bool quarantine_avoids(const struct quarantine *q, uint64_t key, uint32_t worker, int64_t now_ms)
{
	const struct job_record *jr = g_hash_table_lookup(q->jobs, &key);

	for (uint32_t i = 0; jr && !jr->bad && i < jr->n; i++)
		if (jr->worker[i] == worker)
			return now_ms < jr->failed_ms[i] + AVOID_MS;
	return false;
}

bool quarantine_has_failures(const struct quarantine *q)
{
	return g_hash_table_size(q->jobs) > 0;
}

bool quarantine_bad_job(const struct quarantine *q, uint64_t key)
{
	const struct job_record *jr = g_hash_table_lookup(q->jobs, &key);

	return jr && jr->bad;
}

enum quarantine_state quarantine_state(const struct quarantine *q, uint32_t worker)
{
	const struct worker_record *wr = find_worker(q, worker);

	return wr ? wr->state : QUARANTINE_NONE;
}

uint32_t quarantine_failures(const struct quarantine *q, uint32_t worker)
{
	const struct worker_record *wr = find_worker(q, worker);

	return wr ? wr->failures : 0;
}

void quarantine_run(struct quarantine *q, int64_t now_ms)
{
	struct worker_record *wr;

	while ((wr = heap_top(&q->quarantined)) && wr->until_ms <= now_ms) {
		heap_pop(&q->quarantined);
		wr->state = QUARANTINE_PROBE;
		q->ops->changed(q->ctx, wr->worker, false, now_ms);
	}
}

int64_t quarantine_next_ms(const struct quarantine *q)
{
	const struct worker_record *wr = heap_top(&q->quarantined);

	return wr ? wr->until_ms : INT64_MAX;
}
