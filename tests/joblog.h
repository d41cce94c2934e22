#ifndef TESTS_JOBLOG_H
#define TESTS_JOBLOG_H

#include <glib.h>

#include <criterion/criterion.h>

#include "process/jobs.h"

/*
 * joblog - job specification and in-memory log for the tests of jobs.
 */
#define JOB    "01890a5d-ac96-774b-bcce-b302099a8057"
#define USE_MS 10

static const struct jobs_conf conf = {
	.self = "a/1", .claim_use_ms = USE_MS, .keep_ms = 1000, .jobs_max = 100
};

static inline struct job_spec spec_of(enum work_class class, uint32_t tasks, uint32_t attempts)
{
	struct job_spec s = { .id = JOB,
			      .team = "t",
			      .service = "s",
			      .class = class,
			      .tasks = tasks,
			      .attempts = attempts,
			      .idempotent = attempts > 1,
			      .size = { .mem_bytes = 1 << 30, .cpu_milli = 1000 },
			      .run_ms = 60000,
			      .submitted_wall_ms = 1700000000000,
			      .version = 1 };

	return s;
}

/* Appends a record to the log and takes ownership of data. */
static inline void append(GPtrArray *log, uint8_t *data, size_t size)
{
	cr_assert_not_null(data);
	g_ptr_array_add(log, g_bytes_new_take(data, size));
}

static inline GPtrArray *new_log(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
}

static inline void read_log(struct jobs *j, const GPtrArray *log, int64_t now_ms)
{
	struct status st = STATUS_INIT;

	for (guint i = jobs_next_offset(j); i < log->len; i = jobs_next_offset(j)) {
		size_t size;
		const uint8_t *data = g_bytes_get_data(g_ptr_array_index(log, i), &size);

		cr_assert(jobs_apply(j, i, data, size, now_ms, &st), "%s", st.message);
	}
}

#endif
