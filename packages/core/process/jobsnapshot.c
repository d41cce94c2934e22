#include <string.h>

#include <glib.h>
#include <jobs.pb-c.h>

#include "jobtable.h"

/* Leaves 64 KiB of a record for the fields around the jobs of a part. */
#define PART_MAX_BYTES (JOBS_RECORD_MAX_BYTES - 65536)
/* A job with more ranges continues in the next message with the same id. */
#define MESSAGE_RUNS_MAX 16384

struct message {
	Kwjobs__Job job;
	Kwjobs__Spec spec;
	uint8_t id[UUID7_BYTES];
	Kwjobs__Run *runs;
};

struct part {
	GPtrArray *messages; /* struct message */
	GPtrArray *daemons;  /* names; not owned */
	size_t bytes;
};

static void message_free(gpointer p)
{
	struct message *m = p;

	g_free(m->job.run);
	g_free(m->runs);
	g_free(m);
}

static void part_free(gpointer p)
{
	struct part *part = p;

	g_ptr_array_free(part->messages, TRUE);
	g_ptr_array_free(part->daemons, TRUE);
	g_free(part);
}

static struct part *part_add(GPtrArray *parts)
{
	struct part *part = g_new0(struct part, 1);

	part->messages = g_ptr_array_new_with_free_func(message_free);
	part->daemons = g_ptr_array_new();
	g_ptr_array_add(parts, part);
	return part;
}

/* Index of a daemon among those of the part, from 1. */
static uint32_t part_daemon_index(const struct jobs *j, struct part *part, uint32_t handle)
{
	const char *name = jobtable_daemon_name(j, handle);
	guint i;

	if (g_ptr_array_find(part->daemons, name, &i))
		return i + 1;
	g_ptr_array_add(part->daemons, (gpointer)name);
	part->bytes += strlen(name) + 8;
	return part->daemons->len;
}

static void fill_run(const struct jobs *j, struct part *part, const struct job *job, uint32_t i,
		     Kwjobs__Run *run)
{
	const struct task_range *r = &job->tasks.range[i];

	kwjobs__run__init(run);
	run->count = task_ranges_length(&job->tasks, i);
	run->attempt = r->attempt;
	/* Only this daemon knows that it is running. */
	run->state = r->state == TASK_RUNNING ? TASK_CLAIMED : r->state;
	run->daemon = r->daemon ? part_daemon_index(j, part, r->daemon) : 0;
	run->failures = r->failures;
}

static void add_message(const struct jobs *j, struct part *part, const struct job *job,
			uint32_t from, uint32_t n)
{
	struct message *m = g_new0(struct message, 1);

	kwjobs__job__init(&m->job);
	jobrecord_encode_spec(&job->spec, &m->spec, m->id);
	m->job.spec = &m->spec;
	m->job.cancelled = job->cancelled;
	m->runs = g_new(Kwjobs__Run, MAX(n, 1));
	m->job.run = g_new(Kwjobs__Run *, MAX(n, 1));
	m->job.n_run = n;
	for (uint32_t i = 0; i < n; i++) {
		m->job.run[i] = &m->runs[i];
		fill_run(j, part, job, from + i, &m->runs[i]);
	}
	part->bytes += kwjobs__job__get_packed_size(&m->job) + 8;
	g_ptr_array_add(part->messages, m);
}

static GPtrArray *split_into_parts(const struct jobs *j)
{
	GPtrArray *parts = g_ptr_array_new_with_free_func(part_free);
	struct part *part = part_add(parts);

	for (const GList *l = j->all.head; l; l = l->next) {
		const struct job *job = l->data;
		uint32_t from = 0;

		do {
			uint32_t n = MIN(job->tasks.n - from, MESSAGE_RUNS_MAX);

			/* A message takes at most half of a part. */
			if (part->bytes > PART_MAX_BYTES / 2)
				part = part_add(parts);
			add_message(j, part, job, from, n);
			from += n;
		} while (from < job->tasks.n);
	}
	return parts;
}

static GBytes *pack_part(const struct jobs *j, const struct part *part, guint i, guint n)
{
	Kwjobs__JobRecord record = KWJOBS__JOB_RECORD__INIT;
	Kwjobs__Snapshot snapshot = KWJOBS__SNAPSHOT__INIT;
	size_t size;
	uint8_t *data;

	snapshot.base_offset = j->next_offset;
	snapshot.writer = j->self;
	snapshot.part = i;
	snapshot.parts = n;
	snapshot.n_daemon = part->daemons->len;
	snapshot.daemon = (char **)part->daemons->pdata;
	snapshot.n_job = part->messages->len;
	/* Valid as Kwjobs__Job is the first member of struct message. */
	snapshot.job = (Kwjobs__Job **)part->messages->pdata;
	record.body_case = KWJOBS__JOB_RECORD__BODY_SNAPSHOT;
	record.snapshot = &snapshot;
	data = jobrecord_pack(&record, &size);
	g_assert(size <= JOBS_RECORD_MAX_BYTES);
	return g_bytes_new_take(data, size);
}

GPtrArray *jobs_record_snapshot_parts(const struct jobs *j)
{
	g_autoptr(GPtrArray) parts = split_into_parts(j);
	GPtrArray *records = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);

	for (guint i = 0; i < parts->len; i++)
		g_ptr_array_add(records, pack_part(j, g_ptr_array_index(parts, i), i, parts->len));
	return records;
}

uint8_t *jobs_record_snapshot(const struct jobs *j, size_t *size)
{
	g_autoptr(GPtrArray) records = jobs_record_snapshot_parts(j);

	if (records->len != 1)
		return NULL;
	return g_bytes_unref_to_data(g_bytes_ref(g_ptr_array_index(records, 0)), size);
}

void jobsnapshot_discard(struct jobs *j)
{
	struct staged_snapshot *s = &j->staged;

	for (guint i = 0; s->jobs && i < s->jobs->len; i++)
		jobtable_free(g_ptr_array_index(s->jobs, i));
	if (s->jobs)
		g_ptr_array_free(s->jobs, TRUE);
	g_free(s->writer);
	memset(s, 0, sizeof(*s));
}

static bool valid_run(const Kwjobs__Run *run, const Kwjobs__Snapshot *part, const struct job *job)
{
	if (run->state >= TASK_STATES || run->daemon > part->n_daemon || !run->count)
		return false;
	if (run->state == TASK_CLAIMED && !run->daemon)
		return false;
	return run->count <= JOBS_TASKS_MAX - job->tasks.count;
}

/* The snapshot doesn't contain the last attempt's outcome, so the next attempt waits. */
static bool must_settle(const struct jobs *j, const Kwjobs__Run *run)
{
	return j->conf.settle_ms && run->state == TASK_WAITING && run->attempt > 1;
}

static bool stage_runs(struct jobs *j, struct job *job, const Kwjobs__Job *in,
		       const Kwjobs__Snapshot *part, int64_t now_ms)
{
	for (size_t i = 0; i < in->n_run; i++) {
		const Kwjobs__Run *run = in->run[i];
		struct task_range r = { .attempt = run->attempt,
					.failures = (uint16_t)run->failures,
					.state = (uint8_t)run->state };

		if (!valid_run(run, part, job))
			return false;
		if (run->daemon)
			r.daemon = jobtable_daemon_handle(j, part->daemon[run->daemon - 1]);
		if (run->state == TASK_CLAIMED || must_settle(j, run))
			r.read_ms = now_ms;
		task_ranges_append(&job->tasks, &r, run->count);
	}
	return true;
}

static bool stage_job(struct jobs *j, const Kwjobs__Job *in, const Kwjobs__Snapshot *part,
		      int64_t now_ms)
{
	GPtrArray *jobs = j->staged.jobs;
	struct job *job = jobs->len ? g_ptr_array_index(jobs, jobs->len - 1) : NULL;
	struct job_spec spec;

	if (!in->spec || !jobrecord_decode_spec(in->spec, &spec))
		return false;
	if (!job || strcmp(job->spec.id, spec.id) != 0) {
		job = jobtable_new(&spec);
		g_ptr_array_add(jobs, job);
	}
	job->cancelled = in->cancelled;
	return stage_runs(j, job, in, part, now_ms);
}

static bool is_complete(const struct job *job)
{
	return job->tasks.count >= job->spec.tasks;
}

static bool install(struct jobs *j, int64_t now_ms)
{
	GPtrArray *jobs = j->staged.jobs;

	for (guint i = 0; i < jobs->len; i++)
		if (!is_complete(g_ptr_array_index(jobs, i)))
			return false;
	for (guint i = 0; i < jobs->len; i++)
		jobtable_add(j, g_ptr_array_index(jobs, i), now_ms);
	g_ptr_array_set_size(jobs, 0);
	j->bootstrapped = true;
	j->next_offset = j->staged.base;
	return true;
}

/* True if part continues the staged snapshot, or begins a new one. */
static bool accept_part(struct jobs *j, const Kwjobs__Snapshot *part)
{
	struct staged_snapshot *s = &j->staged;

	if (part->part == 0) {
		jobsnapshot_discard(j);
		s->jobs = g_ptr_array_new();
		s->writer = g_strdup(part->writer);
		s->base = part->base_offset;
		return true;
	}
	return s->jobs && s->base == part->base_offset && s->next_part == part->part &&
	       strcmp(s->writer, part->writer) == 0;
}

bool jobsnapshot_apply(struct jobs *j, const Kwjobs__Snapshot *part, int64_t now_ms)
{
	bool ok = true;

	if (j->bootstrapped)
		return true;
	if (!accept_part(j, part)) {
		jobsnapshot_discard(j);
		return true;
	}
	j->staged.next_part++;
	for (size_t i = 0; ok && i < part->n_job; i++)
		ok = stage_job(j, part->job[i], part, now_ms);
	if (ok && part->part + 1 < part->parts)
		return true;
	ok = ok && install(j, now_ms);
	jobsnapshot_discard(j);
	return ok;
}
