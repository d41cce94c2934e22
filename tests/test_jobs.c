#include <stdio.h>

#include "joblog.h"
#include "process/uuid7.h"

/*
 * Life cycles of jobs at one daemon. A step is a letter and first task + count @ attempt: c claims;
 * d done, f failed, u unknown and n not run are outcomes; x cancels the job; s sets the count of a
 * service. The expected result is the number of tasks in each state (waiting, claimed, running,
 * done, failed, unknown) and what jobs_unclaimed() returns.
 */
struct life_cycle_case {
	const char *name;
	enum work_class class;
	uint32_t tasks, attempts;
	enum job_state state;
	const char *steps;
	const char *want;
};

static const struct life_cycle_case life_cycles[] = {
	{ "new", WORK_BATCH, 4, 2, JOB_WAITING, "", "4 0 0 0 0 0, 0+4@1" },
	{ "claimed in part", WORK_BATCH, 4, 2, JOB_RUNNING, "c0+2@1", "2 2 0 0 0 0, 2+2@1" },
	{ "the second claim gets the remaining tasks", WORK_BATCH, 4, 2, JOB_RUNNING,
	  "c1+2@1 c0+4@1", "0 4 0 0 0 0, 0+0@0" },
	{ "a claim for another attempt gets nothing", WORK_BATCH, 4, 2, JOB_WAITING, "c0+4@2",
	  "4 0 0 0 0 0, 0+4@1" },
	{ "done", WORK_BATCH, 4, 2, JOB_DONE, "c0+4@1 d0+4@1", "0 0 0 4 0 0, 0+0@0" },
	{ "failed and retried", WORK_BATCH, 4, 2, JOB_RUNNING, "c0+4@1 d0+3@1 f3+1@1 f3+1@1",
	  "1 0 0 3 0 0, 3+1@2" },
	{ "failed for the last time", WORK_BATCH, 1, 2, JOB_FAILED, "c0+1@1 u0+1@1 c0+1@2 f0+1@2",
	  "0 0 0 0 1 0, 0+0@0" },
	{ "an attempt that did not run doesn't count", WORK_BATCH, 1, 1, JOB_WAITING,
	  "c0+1@1 n0+1@1", "1 0 0 0 0 0, 0+1@2" },
	{ "non-idempotent with an unknown outcome", WORK_BATCH, 2, 1, JOB_UNKNOWN,
	  "c0+2@1 u0+1@1 d1+1@1 c0+1@2", "0 0 0 1 0 1, 0+0@0" },
	{ "the unknown outcome becomes known", WORK_BATCH, 1, 1, JOB_DONE, "c0+1@1 u0+1@1 d0+1@1",
	  "0 0 0 1 0 0, 0+0@0" },
	{ "non-idempotent and failed", WORK_BATCH, 1, 1, JOB_FAILED, "c0+1@1 f0+1@1",
	  "0 0 0 0 1 0, 0+0@0" },
	{ "cancelled", WORK_BATCH, 3, 2, JOB_CANCELLED, "c0+1@1 x0+1@1 c1+2@1 f0+1@1",
	  "2 0 0 0 1 0, 0+0@0" },
	{ "a service is restarted whatever the outcome", WORK_SERVICE, 3, 1, JOB_RUNNING,
	  "c0+3@1 d0+1@1 u1+1@1", "2 1 0 0 0 0, 0+2@2" },
	{ "a service with a higher count", WORK_SERVICE, 3, 1, JOB_WAITING, "s0+5@1",
	  "5 0 0 0 0 0, 0+5@1" },
	{ "an older count arrives late", WORK_SERVICE, 3, 1, JOB_WAITING, "s0+5@2 s0+4@1",
	  "5 0 0 0 0 0, 0+5@1" },
	{ "a service with a lower count", WORK_SERVICE, 3, 1, JOB_WAITING, "c2+1@1 s0+1@1 f2+1@1",
	  "1 0 0 2 0 0, 0+1@1" },
	{ "a service whose count is raised again", WORK_SERVICE, 2, 1, JOB_WAITING,
	  "c1+1@1 s0+0@1 f1+1@1 s0+2@2", "2 0 0 0 0 0, 0+1@1" },
};

static uint8_t *step_record(const struct life_cycle_case *c, char op, uint32_t first,
			    uint32_t count, uint32_t attempt, size_t *size)
{
	static const char *const outcomes = " dnfu"; /* by enum outcome */
	struct job_spec spec = spec_of(c->class, count, c->attempts);
	struct jobs *j = jobs_create(&conf);
	uint8_t *data;

	spec.version = 1 + attempt;
	for (uint32_t i = 0; strchr(outcomes, op) && i < count; i++)
		jobs_task_ended(j, JOB, first + i, attempt, strchr(outcomes, op) - outcomes, 0);
	if (op == 'c')
		data = jobs_record_claim(JOB, first, count, attempt, "a/1", first, size);
	else if (op == 'x')
		data = jobs_record_cancel(JOB, size);
	else if (op == 's')
		data = jobs_record_submit(&spec, size);
	else
		data = jobs_record_progress(j, size);
	jobs_destroy(j);
	return data;
}

static void play(GPtrArray *log, const struct life_cycle_case *c)
{
	uint32_t first, count, attempt;
	uint8_t *data;
	size_t size = 0;
	char op;
	int used;

	for (const char *s = c->steps;
	     sscanf(s, " %c%u+%u@%u%n", &op, &first, &count, &attempt, &used) == 4; s += used) {
		data = step_record(c, op, first, count, attempt, &size);
		append(log, data, size);
	}
}

static void check_life_cycle(const struct life_cycle_case *c, const struct jobs *j, const char *how)
{
	uint32_t first = 0, more = 0, attempt = 0;
	g_autoptr(GString) got = g_string_new(NULL);
	struct job_view view;

	cr_assert(jobs_get(j, JOB, &view), "%s", c->name);
	cr_expect_eq(view.state, c->state, "%s, %s: state %d", c->name, how, view.state);
	for (int i = 0; i < TASK_STATES; i++)
		g_string_append_printf(got, "%s%u", i ? " " : "", view.count[i]);
	jobs_unclaimed(j, JOB, 100, &first, &more, &attempt);
	g_string_append_printf(got, ", %u+%u@%u", first, more, attempt);
	cr_expect_str_eq(got->str, c->want, "%s, %s: %s", c->name, how, got->str);
}

Test(jobs, life_cycles)
{
	for (size_t i = 0; i < sizeof(life_cycles) / sizeof(life_cycles[0]); i++) {
		const struct life_cycle_case *c = &life_cycles[i];
		struct job_spec spec = spec_of(c->class, c->tasks, c->attempts);
		g_autoptr(GPtrArray) log = new_log();
		struct jobs *j = jobs_create(&conf);
		struct jobs *late = jobs_create(&conf);
		size_t size = 0;
		g_autofree uint8_t *data = NULL;
		uint8_t *submit = jobs_record_submit(&spec, &size);

		append(log, submit, size);
		play(log, c);
		read_log(j, log, 1);
		check_life_cycle(c, j, "from the log");
		data = jobs_record_snapshot(j, &size);
		jobs_reset(late, 0, false, "b/1");
		cr_assert(jobs_apply(late, 7, data, size, 1, NULL));
		cr_expect_eq(jobs_next_offset(late), log->len);
		check_life_cycle(c, late, "from the snapshot");
		jobs_destroy(late);
		jobs_destroy(j);
	}
}

static void nth_id(uint32_t n, char id[UUID7_TEXT_BYTES])
{
	uint8_t random[10] = { [7] = (uint8_t)(n >> 16), (uint8_t)(n >> 8), (uint8_t)n };

	uuid7_make(1700000000000, random, id);
}

/*
 * Target size: 20,000 jobs per day, all kept, and 13,000 running tasks claimed by 36 daemons. A job
 * with a running task also has ended and waiting ones.
 */
#define DAY_JOBS    20000
#define DAY_RUNNING 13000
#define DAY_DAEMONS 36

static struct jobs *day_of_jobs(void)
{
	struct jobs *j = jobs_create(&conf);
	uint64_t offset = 0;

	for (uint32_t n = 0; n < DAY_JOBS; n++) {
		struct job_spec spec = spec_of(WORK_BATCH, 100, 2);
		g_autofree char *daemon = g_strdup_printf("d%u/1", n % DAY_DAEMONS);
		g_autofree uint8_t *data = NULL;
		size_t size;

		nth_id(n, spec.id);
		data = jobs_record_submit(&spec, &size);
		cr_assert(jobs_apply(j, offset++, data, size, 1, NULL));
		if (n >= DAY_RUNNING)
			continue;
		g_free(data);
		data = jobs_record_claim(spec.id, 10, 2, 1, daemon, n, &size);
		cr_assert(jobs_apply(j, offset++, data, size, 1, NULL));
		jobs_task_ended(j, spec.id, 10, 1, OUTCOME_DONE, 1);
		g_free(data);
		data = jobs_record_progress(j, &size);
		cr_assert(jobs_apply(j, offset++, data, size, 1, NULL));
	}
	return j;
}

static void hash_view(void *ctx, const struct job_view *v)
{
	uint32_t *hash = ctx;

	*hash = *hash * 31 + g_str_hash(v->spec->id) + v->state;
	for (int i = 0; i < TASK_STATES; i++)
		*hash = *hash * 31 + v->count[i];
}

static void apply_part(struct jobs *j, const GPtrArray *parts, guint i, uint64_t offset)
{
	size_t size;
	const uint8_t *data = g_bytes_get_data(g_ptr_array_index(parts, i), &size);

	cr_assert_leq(size, JOBS_RECORD_MAX_BYTES);
	cr_assert(jobs_apply(j, offset, data, size, 1, NULL));
}

Test(jobs, memory_and_snapshots_of_a_day_of_jobs)
{
	struct jobs *j = day_of_jobs(), *fresh = jobs_create(&conf);
	g_autoptr(GPtrArray) parts = jobs_record_snapshot_parts(j);
	uint64_t base = jobs_next_offset(j);
	uint32_t hash[2] = { 0, 0 };
	g_autofree uint8_t *cancel = NULL;
	char id[UUID7_TEXT_BYTES];
	size_t size;

	cr_log_info("%zu bytes for each of %d jobs, %u parts", jobs_memory_bytes(j) / DAY_JOBS,
		    DAY_JOBS, parts->len);
	cr_expect_lt(jobs_memory_bytes(j) / DAY_JOBS, 600);
	cr_assert_gt(parts->len, 2);

	/* A new reader starts in the middle of the log and misses a part of the first snapshot. */
	jobs_reset(fresh, base + 1, false, "b/1");
	for (guint i = 0; i < parts->len; i++)
		if (i != 1)
			apply_part(fresh, parts, i, base + 10 + i);
	cr_assert_not(jobs_bootstrapped(fresh));
	for (guint i = 0; i < parts->len; i++)
		apply_part(fresh, parts, i, base + 100 + i);
	cr_assert(jobs_bootstrapped(fresh));
	cr_assert_eq(jobs_next_offset(fresh), base);

	/* It then reads the records between base and the snapshot. */
	nth_id(DAY_JOBS - 1, id);
	cancel = jobs_record_cancel(id, &size);
	for (int i = 0; i < 2; i++) {
		cr_assert(jobs_apply(i ? j : fresh, base, cancel, size, 1, NULL));
		jobs_each(i ? j : fresh, hash_view, &hash[i]);
	}
	cr_expect_eq(hash[0], hash[1]);
	jobs_destroy(fresh);
	jobs_destroy(j);
}

Test(jobs, outcomes_of_a_batch_are_coalesced)
{
	enum { TASKS = 10000, BATCH = 500 };
	struct jobs *j = jobs_create(&conf);
	size_t separate = 0, coalesced = 0, size;

	/* Outcomes arrive out of order within windows of 32, as with similar run times. */
	for (uint32_t n = 0; n < TASKS; n++) {
		jobs_task_ended(j, JOB, n ^ 0x1f, 1, OUTCOME_DONE, 0);
		g_free(jobs_record_progress(j, &size));
		separate += size;
	}
	for (uint32_t n = 0; n < TASKS; n++) {
		jobs_task_ended(j, JOB, n ^ 0x1f, 1, n % 100 ? OUTCOME_DONE : OUTCOME_FAILED, 0);
		if ((n + 1) % BATCH)
			continue;
		g_free(jobs_record_progress(j, &size));
		coalesced += size;
	}
	cr_log_info("%zu bytes one by one, %zu coalesced", separate, coalesced);
	cr_expect_lt(coalesced * 50, separate);
	cr_expect_null(jobs_record_progress(j, &size));
	jobs_destroy(j);
}

static bool all_gone(void *ctx, const char *daemon)
{
	return true;
}

static void count_orphan(void *ctx, const struct job_spec *spec, uint32_t index, uint32_t attempt)
{
	++*(int *)ctx;
}

Test(jobs, damaged_records_are_skipped)
{
	struct job_spec spec = spec_of(WORK_BATCH, 5, 2);
	struct jobs *j = jobs_create(&conf);
	GRand *rand = g_rand_new_with_seed(11);
	int orphans = 0;
	size_t size, table_size;
	g_autofree uint8_t *good = jobs_record_submit(&spec, &size);
	g_autofree uint8_t *claim = jobs_record_claim(JOB, 1, 2, 1, "b/1", 1, &table_size);
	g_autofree uint8_t *table = NULL;

	cr_assert(jobs_apply(j, 0, good, size, 0, NULL));
	cr_assert(jobs_apply(j, 1, claim, table_size, 0, NULL));
	table = jobs_record_snapshot(j, &table_size);
	for (uint64_t n = 2; n <= 20000; n++) {
		bool snapshot = n % 2;
		size_t length = snapshot ? table_size : size;
		g_autofree uint8_t *bad = g_memdup2(snapshot ? table : good, length);
		struct status st = STATUS_INIT;

		if (snapshot)
			jobs_reset(j, n, false, "a/2");
		for (int k = g_rand_int_range(rand, 1, 4); k; k--)
			bad[g_rand_int_range(rand, 0, (gint32)length)] =
				(uint8_t)g_rand_int_range(rand, 0, k == 1 ? 4 : 256);
		length -= (size_t)g_rand_int_range(rand, 0, 3);
		jobs_apply(j, n, bad, length, 0, &st);
		jobs_each_orphan(j, all_gone, count_orphan, &orphans, 5000);
	}
	cr_expect_gt(jobs_skipped(j), 1000);
	spec.idempotent = false;
	cr_expect_null(jobs_record_submit(&spec, &size), "more than one attempt");
	g_rand_free(rand);
	jobs_destroy(j);
}

struct window_case {
	int64_t take_ms, orphan_ms; /* the claim is sent at 0 and read at 100 */
	bool taken, orphan;
};

Test(jobs, a_claim_expires_only_after_its_last_use)
{
	/*
	 * Clock rates differ by up to 10 %, so the claimant uses a claim of 1000 ms until 900 ms
	 * after it was sent, and others consider it expired 1101 ms after reading it.
	 */
	static const struct window_case cases[] = {
		{ 899, 1200, true, false },
		{ 900, 1201, false, true },
	};
	struct jobs_conf slow = { .self = "a/1", .claim_use_ms = 1000, .drift_ppm = 100000 };

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct job_spec spec = spec_of(WORK_BATCH, 1, 2);
		g_autoptr(GPtrArray) log = new_log();
		struct jobs *j = jobs_create(&slow);
		struct job_start start;
		int orphans = 0;
		size_t size;
		uint8_t *data = jobs_record_submit(&spec, &size);

		append(log, data, size);
		data = jobs_record_claim(JOB, 0, 1, 1, "a/1", 7, &size);
		append(log, data, size);
		jobs_claim_sent(j, 7, 0);
		read_log(j, log, 100);
		jobs_each_orphan(j, all_gone, count_orphan, &orphans, cases[i].orphan_ms);
		cr_expect_eq(orphans, cases[i].orphan, "case %zu", i);
		cr_expect_eq(jobs_take_won_claim(j, &start, cases[i].take_ms), cases[i].taken,
			     "case %zu", i);
		cr_expect_not(jobs_take_won_claim(j, &start, 0), "returned twice");
		cr_expect_eq(jobs_task_wanted(j, JOB, 0, 1), true);
		cr_expect_eq(jobs_task_wanted(j, JOB, 0, 2), false);
		jobs_destroy(j);
	}
}

Test(jobs, the_next_attempt_waits_after_an_unknown_outcome)
{
	struct jobs_conf own = conf;
	struct job_spec spec = spec_of(WORK_SERVICE, 2, 1);
	g_autoptr(GPtrArray) log = new_log();
	struct jobs *j, *fresh;
	struct job_start start;
	uint32_t first, count, attempt;
	size_t size;
	uint8_t *data = jobs_record_submit(&spec, &size);

	own.settle_ms = 50;
	j = jobs_create(&own);
	fresh = jobs_create(&own);
	append(log, data, size);
	data = jobs_record_claim(JOB, 0, 2, 1, "b/1", 1, &size);
	append(log, data, size);
	jobs_task_ended(j, JOB, 0, 1, OUTCOME_UNKNOWN, 0);
	jobs_task_ended(j, JOB, 1, 1, OUTCOME_FAILED, 0);
	data = jobs_record_progress(j, &size);
	append(log, data, size);
	read_log(j, log, 100);
	cr_expect(jobs_unclaimed(j, JOB, 2, &first, &count, &attempt) && first == 1 && count == 1);
	jobs_take_won_claim(j, &start, 149);
	cr_expect(jobs_unclaimed(j, JOB, 2, &first, &count, &attempt) && first == 1);
	jobs_take_won_claim(j, &start, 150);
	cr_expect(jobs_unclaimed(j, JOB, 2, &first, &count, &attempt) && first == 0);

	/* A snapshot doesn't tell which of them had the unknown outcome, so both wait. */
	data = jobs_record_snapshot(j, &size);
	jobs_reset(fresh, 0, false, "c/1");
	cr_assert(jobs_apply(fresh, 0, data, size, 200, NULL));
	cr_expect_not(jobs_unclaimed(fresh, JOB, 2, &first, &count, &attempt));
	g_free(data);
	jobs_destroy(fresh);
	jobs_destroy(j);
}
