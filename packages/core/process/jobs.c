#include <string.h>

#include <glib.h>
#include <jobs.pb-c.h>
#include <xxhash.h>

#include "jobtable.h"

static guint id_hash(gconstpointer p)
{
	return (guint)XXH64(p, UUID7_BYTES, 0);
}

static gboolean id_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, UUID7_BYTES) == 0;
}

void jobs_service_id(const char *dc, const char *service, char id[UUID7_TEXT_BYTES])
{
	g_autofree char *name = g_strdup_printf("%s/%s", dc, service);
	XXH128_hash_t hash = XXH3_128bits(name, strlen(name));
	XXH128_canonical_t bytes;

	XXH128_canonicalFromHash(&bytes, hash);
	uuid7_make(0, bytes.digest, id);
}

struct jobs *jobs_create(const struct jobs_conf *conf)
{
	struct jobs *j = g_new0(struct jobs, 1);

	j->conf = *conf;
	j->self = g_strdup(conf->self);
	j->bootstrapped = true;
	j->by_id = g_hash_table_new(id_hash, id_equal);
	g_queue_init(&j->all);
	g_queue_init(&j->live);
	g_queue_init(&j->ended);
	j->daemons = g_ptr_array_new_with_free_func(g_free);
	j->sent_claims = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	j->won_claims = g_array_new(FALSE, FALSE, sizeof(struct won_claim));
	j->pending_ends = g_array_new(FALSE, FALSE, sizeof(struct task_end));
	return j;
}

struct job *jobtable_new(const struct job_spec *spec)
{
	struct job *job = g_new0(struct job, 1);

	job->spec = *spec;
	uuid7_parse(spec->id, job->id);
	job->all_link.data = job;
	job->state_link.data = job;
	task_ranges_init(&job->tasks);
	return job;
}

void jobtable_free(struct job *job)
{
	task_ranges_clear(&job->tasks);
	g_free(job);
}

static void remove_job(struct jobs *j, struct job *job)
{
	for (guint i = j->won_claims->len; i > 0; i--)
		if (g_array_index(j->won_claims, struct won_claim, i - 1).job == job)
			g_array_remove_index(j->won_claims, i - 1);
	g_hash_table_remove(j->by_id, job->id);
	g_queue_unlink(&j->all, &job->all_link);
	g_queue_unlink(job->ended ? &j->ended : &j->live, &job->state_link);
	jobtable_free(job);
}

static void remove_all(struct jobs *j)
{
	while (!g_queue_is_empty(&j->all))
		remove_job(j, g_queue_peek_head(&j->all));
}

void jobs_destroy(struct jobs *j)
{
	if (!j)
		return;
	remove_all(j);
	jobsnapshot_discard(j);
	g_hash_table_destroy(j->by_id);
	g_hash_table_destroy(j->sent_claims);
	g_ptr_array_free(j->daemons, TRUE);
	g_array_free(j->won_claims, TRUE);
	g_array_free(j->pending_ends, TRUE);
	g_free(j->self);
	g_free(j);
}

void jobs_reset(struct jobs *j, uint64_t first, bool from_start, const char *self)
{
	remove_all(j);
	jobsnapshot_discard(j);
	g_array_set_size(j->won_claims, 0);
	g_hash_table_remove_all(j->sent_claims);
	g_free(j->self);
	j->self = g_strdup(self);
	j->bootstrapped = from_start;
	j->next_offset = first;
}

bool jobs_bootstrapped(const struct jobs *j)
{
	return j->bootstrapped;
}

uint64_t jobs_next_offset(const struct jobs *j)
{
	return j->next_offset;
}

bool jobs_full(const struct jobs *j)
{
	return g_hash_table_size(j->by_id) >= j->conf.jobs_max;
}

uint64_t jobs_skipped(const struct jobs *j)
{
	return j->skipped;
}

struct job *jobtable_find_id(const struct jobs *j, const uint8_t id[UUID7_BYTES])
{
	return g_hash_table_lookup(j->by_id, id);
}

struct job *jobtable_find(const struct jobs *j, const char *id)
{
	uint8_t bytes[UUID7_BYTES];

	return uuid7_parse(id, bytes) ? jobtable_find_id(j, bytes) : NULL;
}

uint32_t jobtable_daemon_handle(struct jobs *j, const char *name)
{
	for (guint i = j->daemons->len; i > 0; i--)
		if (strcmp(g_ptr_array_index(j->daemons, i - 1), name) == 0)
			return i;
	g_ptr_array_add(j->daemons, g_strdup(name));
	return j->daemons->len;
}

const char *jobtable_daemon_name(const struct jobs *j, uint32_t handle)
{
	g_assert(handle >= 1 && handle <= j->daemons->len);
	return g_ptr_array_index(j->daemons, handle - 1);
}

static void count_tasks(const struct job *job, uint32_t count[TASK_STATES])
{
	memset(count, 0, TASK_STATES * sizeof(count[0]));
	for (uint32_t i = 0; i < job->tasks.n; i++)
		count[job->tasks.range[i].state] += task_ranges_length(&job->tasks, i);
}

static enum job_state job_state_from(const struct job *job, const uint32_t count[TASK_STATES])
{
	uint32_t in_flight = count[TASK_CLAIMED] + count[TASK_RUNNING];

	if (job->cancelled)
		return JOB_CANCELLED;
	if (count[TASK_UNKNOWN])
		return JOB_UNKNOWN;
	if (job->spec.class == WORK_SERVICE)
		return in_flight ? JOB_RUNNING : JOB_WAITING;
	if (in_flight)
		return JOB_RUNNING;
	if (count[TASK_WAITING])
		return count[TASK_WAITING] == job->tasks.count ? JOB_WAITING : JOB_RUNNING;
	return count[TASK_FAILED] ? JOB_FAILED : JOB_DONE;
}

void jobtable_update_state(struct jobs *j, struct job *job, int64_t now_ms)
{
	uint32_t count[TASK_STATES];
	uint32_t open;

	count_tasks(job, count);
	job->state = (uint8_t)job_state_from(job, count);
	open = count[TASK_CLAIMED] + count[TASK_RUNNING];
	if (!job->cancelled)
		open += count[TASK_WAITING];
	if (open || job->ended || (job->spec.class == WORK_SERVICE && !job->cancelled))
		return;
	job->ended = true;
	job->ended_ms = now_ms;
	g_queue_unlink(&j->live, &job->state_link);
	g_queue_push_tail_link(&j->ended, &job->state_link);
}

void jobtable_add(struct jobs *j, struct job *job, int64_t now_ms)
{
	g_hash_table_insert(j->by_id, job->id, job);
	g_queue_push_tail_link(&j->all, &job->all_link);
	g_queue_push_tail_link(&j->live, &job->state_link);
	jobtable_update_state(j, job, now_ms);
}

static void remove_expired(struct jobs *j, int64_t now_ms)
{
	struct job *job;

	while ((job = g_queue_peek_head(&j->ended)) && job->ended_ms + j->conf.keep_ms <= now_ms)
		remove_job(j, job);
}

/* Tasks of a service that are within its count again continue with their next attempt. */
static void resume_range(struct task_range *r, uint32_t count, void *ctx)
{
	if (r->state != TASK_DONE)
		return;
	r->state = TASK_WAITING;
	r->attempt++;
}

static void apply_count(struct job *job)
{
	static const struct task_range waiting = { .state = TASK_WAITING, .attempt = 1 };
	struct task_ranges *t = &job->tasks;

	task_ranges_change(t, 0, job->spec.tasks, resume_range, NULL);
	if (job->spec.tasks > t->count)
		task_ranges_append(t, &waiting, job->spec.tasks - t->count);
}

static void stop_range(struct task_range *r, uint32_t count, void *ctx)
{
	if (r->state != TASK_WAITING)
		return;
	/* The attempt was not used; resume_range() increments it again. */
	r->state = TASK_DONE;
	r->attempt--;
}

static bool apply_submit(struct jobs *j, const Kwjobs__Spec *in, int64_t now_ms)
{
	struct job_spec spec;
	struct job *job;

	if (!in || !jobrecord_decode_spec(in, &spec))
		return false;
	job = jobtable_find(j, spec.id);
	if (!job) {
		job = jobtable_new(&spec);
		apply_count(job);
		jobtable_add(j, job, now_ms);
		return true;
	}
	if (spec.class != WORK_SERVICE || job->spec.class != WORK_SERVICE || job->cancelled)
		return true;
	if (spec.version <= job->spec.version)
		return true;
	job->spec = spec;
	apply_count(job);
	task_ranges_change(&job->tasks, spec.tasks, job->tasks.count, stop_range, NULL);
	jobtable_update_state(j, job, now_ms);
	return true;
}

static struct job *record_job(const struct jobs *j, const ProtobufCBinaryData *id)
{
	return id->len == UUID7_BYTES ? jobtable_find_id(j, id->data) : NULL;
}

static void apply_cancel(struct jobs *j, const Kwjobs__Cancel *in, int64_t now_ms)
{
	struct job *job = record_job(j, &in->id);

	if (!job || job->ended)
		return;
	job->cancelled = true;
	jobtable_update_state(j, job, now_ms);
}

static void apply_claim(struct jobs *j, const Kwjobs__Claim *in, int64_t now_ms)
{
	struct job *job = record_job(j, &in->id);
	struct job_start claim = { .first = in->first, .count = in->count, .attempt = in->attempt };

	if (!job || job->cancelled)
		return;
	jobclaims_apply(j, job, &claim, in->daemon, in->nonce, now_ms);
	jobtable_update_state(j, job, now_ms);
}

static void apply_progress(struct jobs *j, const Kwjobs__Progress *in, int64_t now_ms)
{
	for (size_t i = 0; i < in->n_job; i++) {
		const Kwjobs__JobEnds *ends = in->job[i];
		struct job *job = record_job(j, &ends->id);

		if (!job)
			continue;
		for (size_t k = 0; k < ends->n_end; k++) {
			const Kwjobs__End *e = ends->end[k];

			if (e->outcome < OUTCOMES)
				jobclaims_end(j, job, e->first, e->count, e->attempt,
					      (enum outcome)e->outcome);
		}
		jobtable_update_state(j, job, now_ms);
	}
}

static bool apply(struct jobs *j, const Kwjobs__JobRecord *r, int64_t now_ms)
{
	if (r->body_case == KWJOBS__JOB_RECORD__BODY_SNAPSHOT)
		return jobsnapshot_apply(j, r->snapshot, now_ms);
	if (!j->bootstrapped)
		return true;
	switch (r->body_case) {
	case KWJOBS__JOB_RECORD__BODY_SUBMIT:
		return apply_submit(j, r->submit->spec, now_ms);
	case KWJOBS__JOB_RECORD__BODY_CANCEL:
		apply_cancel(j, r->cancel, now_ms);
		return true;
	case KWJOBS__JOB_RECORD__BODY_CLAIM:
		apply_claim(j, r->claim, now_ms);
		return true;
	case KWJOBS__JOB_RECORD__BODY_PROGRESS:
		apply_progress(j, r->progress, now_ms);
		return true;
	default:
		return false;
	}
}

bool jobs_apply(struct jobs *j, uint64_t offset, const uint8_t *data, size_t size, int64_t now_ms,
		struct status *st)
{
	Kwjobs__JobRecord *record;
	bool ok;

	if (offset < j->next_offset)
		return true;
	j->next_offset = offset + 1;
	j->now_ms = MAX(j->now_ms, now_ms);
	remove_expired(j, now_ms);
	record = kwjobs__job_record__unpack(NULL, size, data);
	ok = record && apply(j, record, now_ms);
	if (record)
		kwjobs__job_record__free_unpacked(record, NULL);
	if (ok)
		return true;
	j->skipped++;
	return status_set(st, STATUS_INVALID, "job_record", NULL,
			  "record at offset %" G_GUINT64_FORMAT " can't be decoded", offset);
}

static void fill_view(const struct job *job, struct job_view *view)
{
	view->spec = &job->spec;
	view->state = (enum job_state)job->state;
	count_tasks(job, view->count);
}

bool jobs_get(const struct jobs *j, const char *id, struct job_view *view)
{
	const struct job *job = jobtable_find(j, id);

	if (job)
		fill_view(job, view);
	return job;
}

void jobs_each(const struct jobs *j, void (*fn)(void *ctx, const struct job_view *view), void *ctx)
{
	struct job_view view;

	for (const GList *i = j->all.head; i; i = i->next) {
		fill_view(i->data, &view);
		fn(ctx, &view);
	}
}

enum task_state jobs_task_state(const struct jobs *j, const char *id, uint32_t index,
				uint32_t *attempt)
{
	const struct job *job = jobtable_find(j, id);
	const struct task_range *r;

	if (!job || index >= job->tasks.count)
		return TASK_UNKNOWN;
	r = task_ranges_at(&job->tasks, index);
	if (attempt)
		*attempt = r->attempt;
	return (enum task_state)r->state;
}

bool jobs_task_wanted(const struct jobs *j, const char *id, uint32_t index, uint32_t attempt)
{
	const struct job *job = jobtable_find(j, id);
	const struct task_range *r;

	if (!job || job->cancelled || index >= job->spec.tasks)
		return false;
	r = task_ranges_at(&job->tasks, index);
	if (r->state != TASK_CLAIMED && r->state != TASK_RUNNING)
		return false;
	return r->attempt == attempt;
}

size_t jobs_memory_bytes(const struct jobs *j)
{
	/* A GLib hash table stores key, value and hash, and is at least half full. */
	size_t entry = 2 * (2 * sizeof(gpointer) + sizeof(guint));
	size_t bytes = sizeof(*j) + g_hash_table_size(j->by_id) * entry;

	for (const GList *i = j->all.head; i; i = i->next) {
		const struct job *job = i->data;

		bytes += sizeof(*job) + task_ranges_bytes(&job->tasks);
	}
	bytes += g_hash_table_size(j->sent_claims) * (entry + 2 * sizeof(int64_t));
	bytes += j->pending_ends->len * sizeof(struct task_end);
	bytes += j->won_claims->len * sizeof(struct won_claim);
	return bytes;
}
