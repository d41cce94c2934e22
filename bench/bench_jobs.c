/* Record sizes, memory and processor time of the job table, by jobs, tasks and ends of tasks. */
#include <glib.h>

#include "bench.h"
#include "process/jobs.h"

#define DAEMON_NAME  "north-a-1"
#define APPLY_ROUNDS 50
#define CLAIM_USE_MS 10000
#define CLAIM_TASKS  64

static const uint32_t record_sizes[] = { 1, 4, 16, 64 };
static const uint32_t job_sizes[] = { 125, 250, 500, 1000 };
static const uint32_t task_sizes[] = { 1000, 2000, 4000, 8000 };

struct job_table {
	struct jobs *jobs;
	uint64_t offset;
	uint64_t nonce;
};

static void table_init(struct job_table *t)
{
	struct jobs_conf conf = { .self = DAEMON_NAME,
				  .claim_use_ms = CLAIM_USE_MS,
				  .drift_ppm = 1000,
				  .keep_ms = 3600000,
				  .jobs_max = 50000 };

	*t = (struct job_table){ .jobs = jobs_create(&conf) };
}

/* Takes ownership of data. */
static void apply_record(struct job_table *t, uint8_t *data, size_t size)
{
	struct status st = STATUS_INIT;

	if (!jobs_apply(t->jobs, t->offset++, data, size, 0, &st))
		g_error("record not applied: %s", st.message);
	g_free(data);
}

static struct job_spec make_spec(uint32_t job, uint32_t tasks)
{
	struct job_spec spec = { .class = WORK_BATCH,
				 .tasks = tasks,
				 .size = { .cpu_milli = 2000, .mem_bytes = (uint64_t)4 << 30 },
				 .run_ms = 30000,
				 .attempts = 3,
				 .idempotent = true,
				 .submitted_wall_ms = 1767225600000 };

	g_snprintf(spec.id, sizeof(spec.id), "01936f00-0000-7000-8000-%012u", job);
	g_strlcpy(spec.team, "team-0123", sizeof(spec.team));
	g_strlcpy(spec.service, "service-0123", sizeof(spec.service));
	return spec;
}

static size_t submit_job(struct job_table *t, uint32_t job, uint32_t tasks)
{
	struct job_spec spec = make_spec(job, tasks);
	size_t size;
	uint8_t *data = jobs_record_submit(&spec, &size);

	apply_record(t, data, size);
	return size;
}

/* Claims tasks of the job from `first` on, and applies the claim so that it is won. */
static size_t claim_tasks(struct job_table *t, uint32_t job, uint32_t first, uint32_t count)
{
	struct job_spec spec = make_spec(job, count);
	struct job_start start;
	size_t size;
	uint8_t *data;

	data = jobs_record_claim(spec.id, first, count, 1, DAEMON_NAME, ++t->nonce, &size);
	jobs_claim_sent(t->jobs, t->nonce, 0);
	apply_record(t, data, size);
	while (jobs_take_won_claim(t->jobs, &start, 0))
		;
	return size;
}

static uint8_t *make_progress_record(struct job_table *t, uint32_t job, uint32_t first,
				     uint32_t count, size_t *size)
{
	struct job_spec spec = make_spec(job, count);
	uint8_t *data;

	for (uint32_t i = 0; i < count; i++)
		jobs_task_ended(t->jobs, spec.id, first + i, 1, OUTCOME_DONE, 0);
	data = jobs_record_progress(t->jobs, size);
	if (!data)
		g_error("no record of progress");
	return data;
}

static void end_every_other(struct job_table *t, uint32_t job, uint32_t first, uint32_t count)
{
	struct job_spec spec = make_spec(job, count);
	uint8_t *data;
	size_t size;

	for (uint32_t i = 0; i < count; i += 2)
		jobs_task_ended(t->jobs, spec.id, first + i, 1, OUTCOME_DONE, 0);
	while ((data = jobs_record_progress(t->jobs, &size)))
		apply_record(t, data, size);
}

/* Ends of n tasks of n jobs, as on a daemon with many small jobs. */
static void measure_records(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(record_sizes); i++) {
		uint32_t n = record_sizes[i];
		struct job_table t;
		size_t bytes = 0;
		size_t size;

		table_init(&t);
		for (uint32_t k = 0; k < n; k++)
			bytes += submit_job(&t, k, CLAIM_TASKS);
		bench_print_point("jobs_submit_record_bytes", "bytes", "jobs", n, (double)bytes);
		bench_print_point("jobs_claim_record_bytes", "bytes", "tasks", n,
				  (double)claim_tasks(&t, 0, 0, n));
		for (uint32_t k = 1; k < n; k++)
			claim_tasks(&t, k, 0, 1);
		for (uint32_t k = 1; k < n; k++) {
			struct job_spec spec = make_spec(k, 1);

			jobs_task_ended(t.jobs, spec.id, 0, 1, OUTCOME_DONE, 0);
		}
		g_free(make_progress_record(&t, 0, 0, 1, &size));
		bench_print_point("jobs_progress_record_bytes", "bytes",
				  "ends, each of another job", n, (double)size);
		jobs_destroy(t.jobs);
	}
}

static size_t snapshot_bytes(const struct job_table *t)
{
	g_autoptr(GPtrArray) parts = jobs_record_snapshot_parts(t->jobs);
	size_t bytes = 0;

	for (guint i = 0; i < parts->len; i++)
		bytes += g_bytes_get_size(parts->pdata[i]);
	return bytes;
}

/* Ends of every other task of one job, so that they form no ranges. */
static void measure_one_job_ends(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(record_sizes); i++) {
		uint32_t n = record_sizes[i];
		struct job_spec spec = make_spec(0, n);
		struct job_table t;
		uint8_t *data;
		size_t size;

		table_init(&t);
		submit_job(&t, 0, 2 * n);
		claim_tasks(&t, 0, 0, 2 * n);
		for (uint32_t k = 0; k < n; k++)
			jobs_task_ended(t.jobs, spec.id, 2 * k, 1, OUTCOME_DONE, 0);
		data = jobs_record_progress(t.jobs, &size);
		bench_print_point("jobs_progress_one_job_bytes", "bytes", "ends of one job", n,
				  (double)size);
		g_free(data);
		jobs_destroy(t.jobs);
	}
}

static void measure_jobs(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(job_sizes); i++) {
		uint64_t before = bench_heap_bytes();
		struct job_table t;

		table_init(&t);
		for (uint32_t k = 0; k < job_sizes[i]; k++)
			submit_job(&t, k, 1);
		bench_print_point("jobs_memory", "bytes", "jobs of 1 task", job_sizes[i],
				  (double)(bench_heap_bytes() - before));
		bench_print_point("jobs_snapshot_bytes", "bytes", "jobs of 1 task", job_sizes[i],
				  (double)snapshot_bytes(&t));
		jobs_destroy(t.jobs);
	}
}

/* Tasks of one job, claimed in ranges like dispatched tasks. Every other one has ended. */
static void measure_tasks(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(task_sizes); i++) {
		uint32_t tasks = task_sizes[i];
		struct job_table t;
		uint64_t before;

		table_init(&t);
		before = bench_heap_bytes();
		submit_job(&t, 0, tasks);
		for (uint32_t k = 0; k < tasks; k += CLAIM_TASKS) {
			uint32_t n = MIN(CLAIM_TASKS, tasks - k);

			claim_tasks(&t, 0, k, n);
			end_every_other(&t, 0, k, n);
		}
		bench_print_point("jobs_task_memory", "bytes", "tasks of a job", tasks,
				  (double)(bench_heap_bytes() - before));
		bench_print_point("jobs_snapshot_task_bytes", "bytes", "tasks of a job", tasks,
				  (double)snapshot_bytes(&t));
		jobs_destroy(t.jobs);
	}
}

struct rounds {
	struct job_table *table;
	uint32_t ends;
	uint32_t next; /* task */
};

/* Claims tasks and appends their progress, APPLY_ROUNDS times. */
static void apply_rounds(void *ctx)
{
	struct rounds *r = ctx;

	for (uint32_t i = 0; i < APPLY_ROUNDS; i++) {
		size_t size;
		uint8_t *data;

		claim_tasks(r->table, 0, r->next, r->ends);
		data = make_progress_record(r->table, 0, r->next, r->ends, &size);
		apply_record(r->table, data, size);
		r->next += r->ends;
	}
}

static void measure_apply(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(record_sizes); i++) {
		struct job_table t;
		struct rounds r = { .table = &t, .ends = record_sizes[i] };

		table_init(&t);
		submit_job(&t, 0, 10 * APPLY_ROUNDS * record_sizes[i]);
		bench_measure("jobs_apply_50", "tasks claimed and ended", record_sizes[i],
			      apply_rounds, &r);
		jobs_destroy(t.jobs);
	}
}

int main(void)
{
	if (!bench_under_callgrind()) {
		measure_records();
		measure_one_job_ends();
		measure_jobs();
		measure_tasks();
	}
	measure_apply();
	return 0;
}
