#define G_LOG_DOMAIN "node"

#include <string.h>

#include "admit.h"
#include "log.h"
#include "recent_ids.h"

#define COUNT_EVERY_MS 1000

struct admit {
	struct joblog *log;
	struct metrics *metrics;
	struct scheduler *scheduler;
	struct recent_ids *accepted;
	GHashTable *rejections; /* of struct admit_rejections by team */
	uint64_t jobs_max_bytes;
	uint64_t jobs_bytes; /* at the last count, and of the jobs admitted since */
	uint32_t jobs_known; /* the number of these jobs */
	int64_t count_due_ms;
};

struct admit *admit_create(struct joblog *log, struct metrics *metrics)
{
	struct admit *a = g_new0(struct admit, 1);

	a->log = log;
	a->metrics = metrics;
	a->accepted = recent_ids_create(ADMIT_KEEP_MS);
	a->rejections = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return a;
}

void admit_destroy(struct admit *a)
{
	if (!a)
		return;
	recent_ids_destroy(a->accepted);
	g_hash_table_unref(a->rejections);
	g_free(a);
}

void admit_set_jobs_max(struct admit *a, uint64_t bytes)
{
	a->jobs_max_bytes = bytes;
}

void admit_set_scheduler(struct admit *a, struct scheduler *s)
{
	a->scheduler = s;
}

static void count_rejection(struct admit *a, const char *team, enum admission_cause cause)
{
	struct admit_rejections *r = g_hash_table_lookup(a->rejections, team);

	if (!r) {
		r = g_new0(struct admit_rejections, 1);
		g_hash_table_insert(a->rejections, g_strdup(team), r);
	}
	if (cause == ADMISSION_BACKLOG)
		r->backlog++;
	else
		r->capacity++;
}

struct admit_rejections admit_rejections(const struct admit *a, const char *team)
{
	const struct admit_rejections *r = g_hash_table_lookup(a->rejections, team);

	return r ? *r : (struct admit_rejections){ 0 };
}

static void count_rejected_job(struct admit *a, const Cell__Job *job, const char *cause)
{
	if (a->metrics)
		metrics_counter(a->metrics, "kw_jobs_rejected_total",
				"Jobs that were not accepted, to be sent again later.", "cause",
				cause, "team", job->team, NULL)
			->value++;
}

static void record_rejection(struct admit *a, const Cell__Job *job,
			     const struct admission_verdict *v)
{
	const char *cause = admission_cause_name(v->cause);

	count_rejection(a, job->team, v->cause);
	count_rejected_job(a, job, cause);
	log_request(LOG_INFO, job->id, "admit", job->team,
		    "rejected for %s, retry after %u ms: %u.%03u of %u tokens left, %u jobs in "
		    "excess; %u jobs that wait would start within %u ms, at most %u; priority %u, "
		    "queue %s",
		    cause, v->retry_after_ms, v->tokens_milli / 1000, v->tokens_milli % 1000,
		    v->burst_milli / 1000, v->excess, v->backlog.waiting, v->backlog.wait_ms,
		    v->backlog.limit_ms, job->priority, job->queue);
}

static bool has_teams(const struct admit *a)
{
	return a->scheduler && scheduler_has_teams(a->scheduler);
}

static uint32_t admit_job(struct admit *a, const Cell__Job *job, int64_t now_ms)
{
	struct admission_verdict v;

	if (!has_teams(a))
		return 0;
	scheduler_admit(a->scheduler, job, now_ms, &v);
	if (v.cause != ADMISSION_ACCEPTED)
		record_rejection(a, job, &v);
	return v.retry_after_ms;
}

/*
 * Counting all jobs takes too long for each request. Jobs that other nodes have stored are counted
 * with the first request after they are read.
 */
static void count_jobs(struct admit *a, int64_t now_ms)
{
	const struct job_table *jobs = joblog_job_table(a->log);

	if (now_ms < a->count_due_ms && job_table_size(jobs) <= a->jobs_known)
		return;
	a->count_due_ms = now_ms + COUNT_EVERY_MS;
	a->jobs_bytes = job_table_bytes(jobs);
	a->jobs_known = job_table_size(jobs);
}

static uint32_t admit_bytes(struct admit *a, const Cell__Job *job, uint32_t job_bytes,
			    int64_t now_ms)
{
	uint32_t retry_after_ms;

	if (!a->jobs_max_bytes)
		return 0;
	count_jobs(a, now_ms);
	if (a->jobs_bytes + job_bytes <= a->jobs_max_bytes)
		return 0;
	retry_after_ms =
		ADMIT_MEMORY_RETRY_MIN_MS + g_str_hash(job->id) % ADMIT_MEMORY_RETRY_SPREAD_MS;
	count_rejected_job(a, job, "memory");
	log_request(LOG_NOTICE, job->id, "admit", job->team,
		    "rejected for memory, retry after %u ms: the jobs may take %" G_GUINT64_FORMAT
		    " of %" G_GUINT64_FORMAT " bytes, and this one %u",
		    retry_after_ms, a->jobs_bytes, a->jobs_max_bytes, job_bytes);
	return retry_after_ms;
}

static uint32_t admit_valid_job(struct admit *a, const Cell__Job *job, int64_t now_ms)
{
	uint32_t job_bytes = cell_job_open_bytes(job);
	uint32_t retry_after_ms = admit_bytes(a, job, job_bytes, now_ms);

	if (!retry_after_ms)
		retry_after_ms = admit_job(a, job, now_ms);
	if (retry_after_ms)
		return retry_after_ms;
	a->jobs_bytes += job_bytes;
	a->jobs_known++;
	recent_ids_add(a->accepted, job->id, now_ms);
	return 0;
}

static uint32_t admit_cancel(const struct admit *a, const char *key)
{
	const struct job_table *jobs = joblog_job_table(a->log);
	char id[JOB_ID_LEN + 1];

	g_strlcpy(id, key, sizeof(id));
	if (job_table_find(jobs, id) || job_table_early_cancel(jobs, id) ||
	    job_table_early_cancels(jobs) < EARLY_CANCELS_MAX)
		return 0;
	log_request(LOG_NOTICE, id, "admit", NULL,
		    "cancel rejected, retry after %u ms: the jobs of %u earlier ones aren't known",
		    ADMIT_CANCEL_RETRY_MS, EARLY_CANCELS_MAX);
	return ADMIT_CANCEL_RETRY_MS;
}

uint32_t admit_record(struct admit *a, const char *key, const uint8_t *value, size_t size)
{
	int64_t now_ms = node_now_ms();
	uint32_t retry_after_ms = 0;
	Cell__Job *job;

	if (strlen(key) > JOB_ID_LEN)
		return size ? admit_cancel(a, key) : 0;
	if ((!a->jobs_max_bytes && !has_teams(a)) || !job_id_is_valid(key))
		return 0;
	if (job_table_find(joblog_job_table(a->log), key) ||
	    recent_ids_contains(a->accepted, key, now_ms))
		return 0;
	job = cell__job__unpack(NULL, size, value);
	if (!job)
		return 0;
	if (g_str_equal(job->id, key) && !cell_job_check_spec(job))
		retry_after_ms = admit_valid_job(a, job, now_ms);
	cell__job__free_unpacked(job, NULL);
	return retry_after_ms;
}
