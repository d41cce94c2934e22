#include <criterion/criterion.h>

#include "cell.pb-c.h"
#include "fakestore.h"
#include "process/joblog.h"

#define ID	"00000000000000a1"
#define TOPIC	"keyed.jobs"
#define TICK_MS 20

struct fixture {
	struct fake_log *log;
	struct fake_client *client;
	struct joblog *joblog;
	uint32_t changed;
	uint64_t written;
	uint32_t fenced;
	enum store_result result;
	uint32_t results;
	int64_t answered_ms;
	uint32_t stored_at_written; /* records of progress in the log, when written was set */
};

static void on_changed(void *ctx, struct cell_job *j)
{
	((struct fixture *)ctx)->changed++;
}

static void on_dropped(void *ctx, struct cell_job *j)
{
}

static void on_written(void *ctx, uint64_t batch)
{
	struct fixture *f = ctx;

	f->written = batch;
	f->stored_at_written = fake_record_count(f->log, TOPIC, JOBLOG_PROGRESS);
}

static void on_fenced(void *ctx)
{
	((struct fixture *)ctx)->fenced++;
}

static const struct joblog_ops ops = {
	.changed = on_changed, .dropped = on_dropped, .written = on_written, .fenced = on_fenced
};

static void on_result(void *ctx, enum store_result result)
{
	struct fixture *f = ctx;

	f->result = result;
	f->results++;
	f->answered_ms = fake_now_ms;
}

static void setup(struct fixture *f, struct fake_log *log)
{
	struct store store;

	f->log = log;
	f->client = fake_client_create(log);
	store = fake_store(f->client);
	f->joblog = joblog_create(&store, &ops, f);
}

static void advance(struct fixture *f, int64_t ms)
{
	for (int64_t t = 0; t < ms; t += TICK_MS) {
		fake_now_ms += TICK_MS;
		joblog_tick(f->joblog);
		fake_serve(f->log);
	}
}

static void teardown(struct fixture *f)
{
	joblog_destroy(f->joblog);
}

static uint8_t *job_bytes(size_t *size)
{
	Cell__Job job = CELL__JOB__INIT;
	Cell__Step step = CELL__STEP__INIT;
	Cell__Step *steps[] = { &step };
	uint8_t *buf;

	step.count = 2;
	job.id = ID;
	job.queue = "q";
	job.step = steps;
	job.n_step = 1;
	*size = cell__job__get_packed_size(&job);
	buf = g_malloc(*size);
	cell__job__pack(&job, buf);
	return buf;
}

static void submit(struct fixture *f, int64_t within_ms)
{
	size_t size;
	uint8_t *buf = job_bytes(&size);

	joblog_append(f->joblog, ID, buf, size, fake_now_ms + within_ms, on_result, f);
}

static GPtrArray *progress_batch_of(const char *id, enum job_state state, uint32_t run)
{
	Cell__Progress m = CELL__PROGRESS__INIT;
	Cell__TaskProgress t = CELL__TASK_PROGRESS__INIT;
	Cell__TaskProgress *rows[] = { &t };
	struct log_record *r = g_new0(struct log_record, 1);
	GPtrArray *out = g_ptr_array_new();

	t.run = run;
	m.state = state;
	m.task = rows;
	m.n_task = 1;
	r->key = g_strdup_printf("%s/p", id);
	r->size = cell__progress__get_packed_size(&m);
	r->value = g_malloc(r->size);
	cell__progress__pack(&m, r->value);
	g_ptr_array_add(out, r);
	return out;
}

static GPtrArray *progress_batch(enum job_state state, uint32_t run)
{
	return progress_batch_of(ID, state, run);
}

/* Adds a record of the job's progress, as another scheduler would. */
static void add_progress(struct fake_log *log, enum job_state state)
{
	GPtrArray *batch = progress_batch(state, 1);
	struct log_record *r = batch->pdata[0];

	fake_add_record(log, TOPIC, JOBLOG_PROGRESS, r->key, r->value, r->size);
	g_free(r->key);
	g_free(r->value);
	g_free(r);
	g_ptr_array_unref(batch);
}

Test(joblog, job_is_accepted_once_it_is_stored)
{
	struct fixture f = { 0 };

	setup(&f, fake_log_create());
	advance(&f, 100);
	submit(&f, 2000);
	cr_assert_eq(f.results, 0);
	advance(&f, 20);
	cr_assert_eq(f.result, STORE_OK);
	cr_assert_eq(fake_record_count(f.log, TOPIC, JOBLOG_JOBS), 1);
	joblog_refresh(f.joblog, on_result, &f);
	advance(&f, 20);
	cr_assert_not_null(job_table_find(joblog_job_table(f.joblog), ID));
	teardown(&f);
}

Test(joblog, concurrent_jobs_share_an_append)
{
	struct fixture f = { 0 };
	uint32_t before;

	setup(&f, fake_log_create());
	advance(&f, 100);
	before = fake_append_calls(f.client);
	for (int i = 0; i < 10; i++)
		submit(&f, 2000);
	advance(&f, 40);
	cr_assert_eq(f.results, 10);
	cr_assert_eq(fake_append_calls(f.client) - before, 2,
		     "one append in flight, one for all queued jobs");
	teardown(&f);
}

struct failure_case {
	const char *what;
	enum fake_mode mode;
	enum store_result result;
	uint32_t in_log;
};

/* STORE_REFUSED promises that nothing was stored, so an unanswered attempt rules it out. */
Test(joblog, results_while_the_store_fails)
{
	static const struct failure_case cases[] = {
		{ "it refuses", FAKE_REFUSES, STORE_REFUSED, 0 },
		{ "it is silent", FAKE_SILENT, STORE_UNKNOWN, 0 },
		{ "answers are lost", FAKE_LOSES_REPLY, STORE_UNKNOWN, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f = { 0 };
		int64_t asked_ms;

		setup(&f, fake_log_create());
		advance(&f, 100);
		fake_set_mode(f.client, cases[i].mode);
		asked_ms = fake_now_ms;
		submit(&f, 2700);
		advance(&f, 3000);
		cr_expect_eq(f.results, 1, "%s", cases[i].what);
		cr_expect_eq(f.result, cases[i].result, "%s", cases[i].what);
		cr_expect_lt(f.answered_ms - asked_ms, 1400, "%s: answered late", cases[i].what);
		cr_expect_geq(fake_record_count(f.log, TOPIC, JOBLOG_JOBS), cases[i].in_log);
		teardown(&f);
	}
}

Test(joblog, jobs_are_refused_at_once_while_the_store_is_down)
{
	struct fixture f = { 0 };
	uint32_t appends;

	setup(&f, fake_log_create());
	advance(&f, 100);
	fake_set_mode(f.client, FAKE_SILENT);
	advance(&f, 4000);
	cr_assert(joblog_store_down(f.joblog));
	appends = fake_append_calls(f.client);
	submit(&f, 2700);
	cr_assert_eq(f.results, 1, "answered at once");
	cr_assert_eq(f.result, STORE_REFUSED);
	cr_assert_eq(fake_append_calls(f.client), appends);
	fake_set_mode(f.client, FAKE_OK);
	advance(&f, 2000);
	cr_assert_not(joblog_store_down(f.joblog));
	teardown(&f);
}

static void begin_term(struct fixture *f, uint64_t term)
{
	f->results = 0;
	joblog_begin_term(f->joblog, term, on_result, f);
	advance(f, 60);
	cr_assert_eq(f->results, 1);
	cr_assert_eq(f->result, STORE_OK);
}

/* A scheduler in its first term, on a log of its own. */
static void setup_in_term(struct fixture *f)
{
	setup(f, fake_log_create());
	advance(f, 100);
	begin_term(f, 5);
}

/*
 * Guards against jobs that wait for a second at the start of a term: other nodes, not linked to the
 * scheduler yet, store them themselves, and it read the log as seldom as a follower at first.
 */
Test(joblog, the_first_jobs_of_a_term_are_read_soon)
{
	enum { READ_MAX_MS = 400 };
	struct fixture f = { 0 };
	struct fixture other = { 0 };

	setup(&f, fake_log_create());
	setup(&other, f.log);
	advance(&f, 100);
	begin_term(&f, 5);
	submit(&other, 2000);
	advance(&other, TICK_MS);
	cr_assert_eq(other.result, STORE_OK);
	advance(&f, READ_MAX_MS);
	cr_expect_not_null(job_table_find(joblog_job_table(f.joblog), ID));
	teardown(&other);
	teardown(&f);
	fake_log_destroy(f.log);
}

Test(joblog, older_scheduler_is_fenced)
{
	struct fake_log *log = fake_log_create();
	struct fixture f = { 0 };
	struct fixture newer = { 0 };

	setup(&f, log);
	setup(&newer, log);
	advance(&f, 100);
	begin_term(&f, 5);
	joblog_write(f.joblog, 1, progress_batch(JOB_RUNNING, 1));
	advance(&f, 40);
	cr_assert_eq(f.written, 1);
	advance(&newer, 100);
	begin_term(&newer, 9);
	joblog_write(f.joblog, 2, progress_batch(JOB_RUNNING, 2));
	advance(&f, 40);
	cr_assert_eq(f.fenced, 1);
	cr_assert_eq(f.written, 1);
	teardown(&f);
	teardown(&newer);
}

Test(joblog, batch_whose_answer_is_lost_is_stored_once)
{
	struct fixture f = { 0 };

	setup_in_term(&f);
	fake_set_mode(f.client, FAKE_LOSES_REPLY);
	joblog_write(f.joblog, 1, progress_batch(JOB_RUNNING, 1));
	advance(&f, 400);
	cr_assert_eq(f.written, 0);
	fake_set_mode(f.client, FAKE_OK);
	advance(&f, 400);
	cr_assert_eq(f.written, 1);
	cr_assert_eq(fake_record_count(f.log, TOPIC, JOBLOG_PROGRESS), 1);
	teardown(&f);
}

#define LARGE_RECORDS 40
#define LARGE_BYTES   200000 /* 40 of them take four calls of the store's 2,097,152 bytes */

static GPtrArray *large_batch(void)
{
	GPtrArray *out = g_ptr_array_new();

	for (uint32_t i = 0; i < LARGE_RECORDS; i++) {
		struct log_record *r = g_new0(struct log_record, 1);

		r->key = g_strdup_printf("%016x/p", i);
		r->size = LARGE_BYTES;
		r->value = g_malloc0(LARGE_BYTES);
		g_ptr_array_add(out, r);
	}
	return out;
}

/*
 * Guards against a batch that is larger than a call may be: the store refuses it for ever, and no
 * later one is sent. No part of it counts as stored before all are, also when answers are lost.
 */
Test(joblog, large_batches_are_written_in_parts)
{
	static const enum fake_mode modes[] = { FAKE_OK, FAKE_REFUSES, FAKE_SILENT,
						FAKE_LOSES_REPLY };

	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
		struct fixture f = { 0 };
		uint32_t calls;

		setup_in_term(&f);
		joblog_write(f.joblog, 1, progress_batch(JOB_RUNNING, 1));
		advance(&f, 40);
		cr_assert_eq(f.written, 1);
		calls = fake_append_calls(f.client);
		fake_set_mode(f.client, modes[i]);
		joblog_write(f.joblog, 2, large_batch());
		advance(&f, 400);
		fake_set_mode(f.client, FAKE_OK);
		advance(&f, 1000);
		cr_expect_eq(f.written, 2, "mode %d", modes[i]);
		cr_expect_eq(f.stored_at_written, LARGE_RECORDS + 1,
			     "mode %d: a part is not the whole", modes[i]);
		joblog_write(f.joblog, 3, progress_batch(JOB_RUNNING, 3));
		advance(&f, 40);
		cr_expect_eq(f.written, 3, "mode %d", modes[i]);
		cr_expect_eq(f.fenced, 0, "mode %d", modes[i]);
		cr_expect_eq(fake_record_count(f.log, TOPIC, JOBLOG_PROGRESS), LARGE_RECORDS + 2,
			     "mode %d", modes[i]);
		cr_expect_geq(fake_append_calls(f.client) - calls, 5, "mode %d", modes[i]);
		cr_expect_leq(fake_largest_append(f.client), 2097152, "mode %d", modes[i]);
		teardown(&f);
	}
}

static GPtrArray *lease_batch(uint64_t term, int64_t left_ms)
{
	g_autoptr(GArray) ends = g_array_new(FALSE, FALSE, sizeof(struct lease_end));
	const struct lease_end end = { .runner = "r0", .incarnation_ms = 1, .end_ms = left_ms };
	struct log_record *r = g_new0(struct log_record, 1);
	GPtrArray *out = g_ptr_array_new();
	guint named;

	g_array_append_val(ends, end);
	r->key = g_strdup(LEASE_ENDS_KEY);
	r->value = lease_ends_pack(ends, term, 1, 0, &named, &r->size);
	g_ptr_array_add(out, r);
	return out;
}

static void note_end(void *ctx, const struct lease_end *end)
{
	*(int64_t *)ctx = end->end_ms;
}

/* -1 for none. */
static int64_t end_of_lease(const struct fixture *f)
{
	int64_t end_ms = -1;

	lease_ends_each(joblog_lease_ends(f->joblog), note_end, &end_ms);
	return end_ms;
}

/*
 * A new scheduler waited for a whole lease, since what was left of it was known to its predecessor
 * only. A record that was written and not stored counts no more once the log is read again.
 */
Test(joblog, ends_of_leases_outlive_the_scheduler)
{
	struct fake_log *log = fake_log_create();
	struct fixture f = { 0 };
	struct fixture follower = { 0 };
	int64_t end_ms;

	setup(&f, log);
	setup(&follower, log);
	advance(&f, 100);
	advance(&follower, 100);
	begin_term(&f, 5);
	end_ms = fake_now_ms + 6000;
	joblog_write(f.joblog, 1, lease_batch(5, 6000));
	advance(&f, 40);
	cr_expect_eq(f.written, 1);
	cr_expect_eq(end_of_lease(&f), end_ms);
	advance(&follower, 1200);
	cr_expect_geq(end_of_lease(&follower), end_ms);
	cr_expect_leq(end_of_lease(&follower), end_ms + 1200);
	joblog_end_term(f.joblog);
	cr_expect_eq(end_of_lease(&f), -1, "nothing is known until it is read");
	advance(&f, 200);
	cr_expect_eq(end_of_lease(&f), end_ms, "it counts from its writing");

	begin_term(&follower, 9);
	fake_set_mode(follower.client, FAKE_REFUSES);
	joblog_write(follower.joblog, 1, lease_batch(9, 1));
	advance(&follower, 200);
	joblog_end_term(follower.joblog);
	fake_set_mode(follower.client, FAKE_OK);
	advance(&follower, 400);
	cr_expect_geq(end_of_lease(&follower), end_ms, "the record of 1 ms is not in the log");
	teardown(&f);
	teardown(&follower);
}

/* Of two batches in flight the first is lost, and the second refused as out of sequence. */
Test(joblog, overlapping_batches_are_stored_in_order)
{
	static const enum fake_mode modes[] = { FAKE_SILENT, FAKE_LOSES_REPLY, FAKE_REFUSES };

	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
		struct fixture f = { 0 };

		setup_in_term(&f);
		joblog_write(f.joblog, 1, progress_batch(JOB_RUNNING, 1));
		advance(&f, 20);
		fake_set_mode(f.client, modes[i]);
		joblog_write(f.joblog, 2, progress_batch(JOB_RUNNING, 2));
		advance(&f, 20);
		fake_set_mode(f.client, FAKE_OK);
		joblog_write(f.joblog, 3, progress_batch(JOB_RUNNING, 3));
		advance(&f, 20);
		advance(&f, 400);
		cr_expect_eq(f.written, 3, "case %zu", i);
		cr_expect_eq(f.fenced, 0, "case %zu", i);
		cr_expect_eq(fake_record_count(f.log, TOPIC, JOBLOG_PROGRESS), 3, "case %zu", i);
		teardown(&f);
	}
}

/*
 * After an outage of the store: the repeated first batch was overtaken by the next one, which the
 * store refused and which was repeated in its turn. This went on for as long as batches came, so
 * that each start waited for two appends and a pause.
 */
Test(joblog, one_refusal_does_not_delay_all_later_batches)
{
	static const int64_t spacing_ms[] = { 40, 60, 100 };
	const uint32_t batches = 20;

	for (size_t i = 0; i < G_N_ELEMENTS(spacing_ms); i++) {
		struct fixture f = { 0 };
		uint32_t calls;

		setup_in_term(&f);
		joblog_write(f.joblog, 1, progress_batch(JOB_RUNNING, 1));
		advance(&f, 40);
		calls = fake_append_calls(f.client);
		fake_set_mode(f.client, FAKE_REFUSES);
		for (uint32_t k = 2; k < batches + 2; k++) {
			joblog_write(f.joblog, k, progress_batch(JOB_RUNNING, k));
			fake_serve(f.log);
			fake_set_mode(f.client, FAKE_OK);
			advance(&f, spacing_ms[i]);
		}
		advance(&f, 100);
		cr_expect_eq(f.written, batches + 1, "%" G_GINT64_FORMAT " ms", spacing_ms[i]);
		calls = fake_append_calls(f.client) - calls;
		/* The refused one is sent twice, and so may be the one that overtakes it. */
		cr_expect_leq(calls, batches + 2, "%" G_GINT64_FORMAT " ms: %u calls",
			      spacing_ms[i], calls);
		teardown(&f);
	}
}

/*
 * A batch overtook the one before it and was refused; the answer came after that one was stored.
 * The scheduler took it for the sign of a newer scheduler and stepped down.
 */
Test(joblog, a_late_refusal_for_overtaking_is_no_fence)
{
	struct fixture f = { 0 };

	setup_in_term(&f);
	joblog_write(f.joblog, 1, progress_batch(JOB_RUNNING, 1));
	advance(&f, 40);
	joblog_write(f.joblog, 2, progress_batch(JOB_RUNNING, 2));
	joblog_write(f.joblog, 3, progress_batch(JOB_RUNNING, 3));
	fake_overtake_appends(f.client);
	fake_release_appends(f.client);
	advance(&f, 100);
	cr_expect_eq(f.fenced, 0);
	cr_expect_eq(f.written, 3);
	cr_expect_eq(fake_record_count(f.log, TOPIC, JOBLOG_PROGRESS), 3);
	teardown(&f);
}

/*
 * A new scheduler with a store that loses answers (deploy/days/odd-2.toml, rule TWICE). Its first
 * batch was lost and the second stored in its place, which looked as if both were stored. Ends of
 * runs had been acknowledged to the runners, but were recorded nowhere.
 */
Test(joblog, later_batches_wait_for_the_first_one_of_a_term)
{
	struct fixture f = { 0 };

	setup_in_term(&f);
	fake_set_mode(f.client, FAKE_SILENT);
	joblog_write(f.joblog, 1, progress_batch(JOB_RUNNING, 1));
	fake_serve(f.log);
	fake_set_mode(f.client, FAKE_OK);
	joblog_write(f.joblog, 2, progress_batch(JOB_RUNNING, 2));
	fake_serve(f.log);
	cr_assert_eq(f.written, 0);
	cr_assert_eq(fake_record_count(f.log, TOPIC, JOBLOG_PROGRESS), 0);
	advance(&f, 400);
	cr_assert_eq(f.written, 2);
	cr_assert_eq(fake_record_count(f.log, TOPIC, JOBLOG_PROGRESS), 2);
	teardown(&f);
}

/*
 * With a slow store, advice and intents need not wait for the job's own record. The scheduler
 * therefore gets the job at once, as a tentative one that is not shown to callers.
 */
Test(joblog, jobs_are_offered_to_the_scheduler_before_they_are_stored)
{
	static const struct {
		enum fake_mode mode;
		bool stored;
	} cases[] = { { FAKE_OK, true }, { FAKE_REFUSES, false }, { FAKE_SILENT, false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f = { 0 };
		const struct cell_job *j;

		setup_in_term(&f);
		f.changed = 0;
		fake_set_mode(f.client, cases[i].mode);
		submit(&f, 2000);
		j = job_table_find(joblog_job_table(f.joblog), ID);
		cr_assert_not_null(j);
		cr_expect(j->tentative);
		cr_expect_eq(f.changed, 1);
		cr_expect_eq(job_table_count_waiting(joblog_job_table(f.joblog), "q"), 0);
		advance(&f, 3000);
		j = job_table_find(joblog_job_table(f.joblog), ID);
		cr_expect_eq(j && !j->tentative, cases[i].stored, "case %zu", i);
		cr_expect_eq(j != NULL, cases[i].stored, "case %zu", i);
		teardown(&f);
	}
}

/*
 * Guards against a start after a cancel that another node has stored: the scheduler had been
 * paused, and took its own job for stored without having read the records before it.
 */
Test(joblog, records_of_others_come_before_own_ones)
{
	static const struct {
		const char *what;
		bool cancelled; /* by another node, before the job is stored */
		bool other;	/* another record is stored before */
	} cases[] = {
		{ "nothing else", false, false },
		{ "a cancel", true, false },
		{ "another job's cancel", false, true },
		{ "both", true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f = { 0 };
		const struct cell_job *j;
		bool started = false;

		setup_in_term(&f);
		if (cases[i].other)
			fake_add_record(f.log, TOPIC, JOBLOG_JOBS, "00000000000000b2/c",
					(const uint8_t *)"\1", 1);
		if (cases[i].cancelled)
			fake_add_record(f.log, TOPIC, JOBLOG_JOBS, ID "/c", (const uint8_t *)"\1",
					1);
		submit(&f, 2000);
		for (int k = 0; k < 50; k++) {
			advance(&f, TICK_MS);
			j = job_table_find(joblog_job_table(f.joblog), ID);
			started |= j && !j->tentative && !j->cancelled;
		}
		cr_expect_eq(f.results, 2, "%s", cases[i].what);
		cr_expect_eq(f.result, STORE_OK, "%s", cases[i].what);
		j = job_table_find(joblog_job_table(f.joblog), ID);
		cr_assert(j && !j->tentative, "%s", cases[i].what);
		cr_expect_eq(started, !cases[i].cancelled, "%s: may start", cases[i].what);
		cr_expect_eq(j->cancelled, cases[i].cancelled, "%s: cancelled", cases[i].what);
		teardown(&f);
	}
}

/* Guards against records of cancels that fill the log, as nobody deletes those of unknown jobs. */
Test(joblog, early_cancels_leave_the_log)
{
	enum { N = 600 };
	struct fixture f = { 0 };

	setup_in_term(&f);
	for (uint32_t i = 0; i < N; i++) {
		g_autofree char *key = g_strdup_printf("%016x/c", i);

		fake_add_record(f.log, TOPIC, JOBLOG_JOBS, key, (const uint8_t *)"\1", 1);
	}
	advance(&f, JOBLOG_EARLY_CANCEL_MS / 2);
	cr_expect_eq(job_table_early_cancels(joblog_job_table(f.joblog)), N);
	advance(&f, JOBLOG_EARLY_CANCEL_MS / 2 + 6000);
	cr_expect_eq(job_table_early_cancels(joblog_job_table(f.joblog)), 0);
	teardown(&f);
}

/*
 * A read of the progress was in flight when the node became the scheduler. Applied afterwards, it
 * overwrote the runs started since. Test days counted 40 violations of the rule LIMIT and 14 of
 * TWICE.
 */
Test(joblog, read_in_flight_does_not_overwrite_newer_progress)
{
	struct fixture f = { 0 };
	struct cell_job *j;

	setup(&f, fake_log_create());
	advance(&f, 100);
	submit(&f, 2000);
	advance(&f, 1100);
	f.results = 0;
	fake_hold_reads(f.client, TOPIC, JOBLOG_JOBS);
	joblog_begin_term(f.joblog, 7, on_result, &f);
	advance(&f, 60);
	cr_assert_eq(f.results, 0, "the jobs have not been read yet");
	fake_hold_reads(f.client, TOPIC, JOBLOG_PROGRESS);
	fake_add_record(f.log, TOPIC, JOBLOG_PROGRESS, ID "/p", (const uint8_t *)"\x08\x01", 2);
	advance(&f, 1200);
	fake_release_reads(f.client, TOPIC, JOBLOG_JOBS);
	advance(&f, 60);
	cr_assert_eq(f.results, 1);
	j = job_table_find(joblog_job_table(f.joblog), ID);
	cr_assert_not_null(j);
	cell_job_task(j, 0)->last_run = 3;
	fake_release_reads(f.client, TOPIC, JOBLOG_PROGRESS);
	advance(&f, 3000);
	cr_assert_eq(cell_job_peek_task(j, 0)->last_run, 3);
	teardown(&f);
}

/* An answer to a batch of an earlier term must not count for the current batch of that number. */
Test(joblog, answers_of_an_older_term_are_ignored)
{
	struct fixture f = { 0 };

	setup_in_term(&f);
	joblog_write(f.joblog, 1, progress_batch(JOB_RUNNING, 1));
	fake_hold_appends(f.client);
	joblog_end_term(f.joblog);
	begin_term(&f, 6);
	joblog_write(f.joblog, 1, progress_batch(JOB_RUNNING, 2));
	fake_set_mode(f.client, FAKE_REFUSES);
	fake_release_appends(f.client);
	advance(&f, 60);
	cr_assert_eq(f.written, 0, "the store has refused the current batch so far");
	fake_set_mode(f.client, FAKE_OK);
	advance(&f, 200);
	cr_assert_eq(f.written, 1);
	teardown(&f);
}

/*
 * A node lost the lease and won it again before the answer to its first fence came. That answer
 * began the second term, whose fence was not stored yet: the scheduler in between could still write
 * progress that the new one did not know.
 */
Test(joblog, fence_of_an_earlier_term_does_not_begin_a_later_one)
{
	struct fake_log *log = fake_log_create();
	struct fixture f = { 0 };
	struct fixture between = { 0 };

	setup(&f, log);
	setup(&between, log);
	advance(&f, 100);
	advance(&between, 100);
	joblog_begin_term(f.joblog, 5, on_result, &f);
	fake_hold_appends(f.client);
	joblog_end_term(f.joblog);
	begin_term(&between, 7);
	fake_set_mode(f.client, FAKE_LATE);
	joblog_begin_term(f.joblog, 9, on_result, &f);
	fake_release_appends(f.client);
	advance(&f, 400);
	cr_assert_eq(f.results, 0, "term 9 began without a fence");
	joblog_write(between.joblog, 1, progress_batch(JOB_RUNNING, 1));
	advance(&between, 40);
	cr_assert_eq(between.written, 1);
	fake_set_mode(f.client, FAKE_OK);
	advance(&f, 400);
	cr_assert_eq(f.results, 1);
	cr_assert_eq(f.result, STORE_OK);
	teardown(&f);
	teardown(&between);
}

/*
 * A node lost the lease while it read the log for its term, and won it again before the end of that
 * read, which began the second term without its fence.
 */
Test(joblog, read_for_an_earlier_term_does_not_begin_a_later_one)
{
	struct fixture f = { 0 };

	setup(&f, fake_log_create());
	advance(&f, 100);
	fake_hold_reads(f.client, TOPIC, JOBLOG_JOBS);
	joblog_begin_term(f.joblog, 5, on_result, &f);
	advance(&f, 60);
	cr_assert_eq(f.results, 0);
	joblog_end_term(f.joblog);
	fake_set_mode(f.client, FAKE_LATE);
	joblog_begin_term(f.joblog, 9, on_result, &f);
	fake_release_reads(f.client, TOPIC, JOBLOG_JOBS);
	advance(&f, 400);
	cr_assert_eq(f.results, 0, "term 9 began without a fence");
	fake_set_mode(f.client, FAKE_OK);
	advance(&f, 400);
	cr_assert_eq(f.results, 1);
	cr_assert_eq(f.result, STORE_OK);
	teardown(&f);
}

/*
 * Guards against an answer from what was read before the log was trimmed: a refresh that had read
 * the jobs ended although all of the log had to be loaded again. What is known stays meanwhile.
 */
Test(joblog, refresh_waits_for_a_trimmed_log)
{
	struct fixture f = { 0 };

	setup(&f, fake_log_create());
	submit(&f, 2000);
	advance(&f, 1200);
	fake_hold_reads(f.client, TOPIC, JOBLOG_PROGRESS);
	advance(&f, 1200);
	for (uint32_t i = 0; i < 10; i++)
		add_progress(f.log, JOB_RUNNING);
	fake_trim(f.log, TOPIC, JOBLOG_PROGRESS, 9);
	f.results = 0;
	joblog_refresh(f.joblog, on_result, &f);
	advance(&f, 60);
	fake_release_reads(f.client, TOPIC, JOBLOG_PROGRESS);
	fake_hold_reads(f.client, TOPIC, JOBLOG_JOBS);
	advance(&f, 200);
	cr_expect_eq(f.results, 0, "the jobs have not been read again");
	cr_expect_not_null(job_table_find(joblog_job_table(f.joblog), ID));
	fake_release_reads(f.client, TOPIC, JOBLOG_JOBS);
	advance(&f, 200);
	cr_expect_eq(f.results, 1);
	cr_assert_not_null(job_table_find(joblog_job_table(f.joblog), ID));
	cr_expect_eq(job_table_find(joblog_job_table(f.joblog), ID)->stored_state, JOB_RUNNING);
	teardown(&f);
}

static void add_jobs(struct fake_log *log, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		Cell__Job job = CELL__JOB__INIT;
		Cell__Step step = CELL__STEP__INIT;
		Cell__Step *steps[] = { &step };
		g_autofree char *id = g_strdup_printf("%016x", 0x1000 + i);
		uint8_t buf[256];

		step.count = 2;
		job.id = id;
		job.queue = "q";
		job.payload = "payload";
		job.step = steps;
		job.n_step = 1;
		fake_add_record(log, TOPIC, JOBLOG_JOBS, id, buf, cell__job__pack(&job, buf));
	}
}

struct reload_case {
	const char *what;
	bool term;    /* the node is the scheduler before */
	bool trimmed; /* the log is, before the node has read on */
};

/*
 * Guards against wrong counts and states while the log is read again: a former scheduler discarded
 * its jobs at the end of its term, and gave none or some of those that waited as waiting.
 */
Test(joblog, jobs_are_known_while_the_log_is_read_again)
{
	static const struct reload_case cases[] = {
		{ "a term ends", true, false },
		{ "the log was trimmed", false, true },
		{ "both", true, true },
	};
	enum { JOBS = 2000 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f = { 0 };
		struct job_table *t;

		setup(&f, fake_log_create());
		add_jobs(f.log, JOBS);
		advance(&f, 1200);
		if (cases[i].term)
			begin_term(&f, 5);
		t = joblog_job_table(f.joblog);
		cr_assert_eq(job_table_count_waiting(t, "q"), JOBS, "%s", cases[i].what);
		if (cases[i].trimmed) {
			fake_hold_reads(f.client, TOPIC, JOBLOG_JOBS);
			for (uint32_t k = 0; k < 10; k++)
				fake_add_record(f.log, TOPIC, JOBLOG_JOBS, "00000000000000b2/c",
						(const uint8_t *)"\1", 1);
			fake_trim(f.log, TOPIC, JOBLOG_JOBS, JOBS + 9);
			fake_release_reads(f.client, TOPIC, JOBLOG_JOBS);
		}
		if (cases[i].term)
			joblog_end_term(f.joblog);
		for (int k = 0; k < 200; k++) {
			t = joblog_job_table(f.joblog);
			cr_assert_eq(job_table_count_waiting(t, "q"), JOBS, "%s: %u after %d ms",
				     cases[i].what, job_table_count_waiting(t, "q"), k * TICK_MS);
			advance(&f, TICK_MS);
		}
		f.results = 0;
		joblog_refresh(f.joblog, on_result, &f);
		advance(&f, 1000);
		cr_expect_eq(f.results, 1, "%s", cases[i].what);
		cr_expect_eq(job_table_size(t), JOBS, "%s", cases[i].what);
		teardown(&f);
	}
}

/*
 * The other side: what the scheduler of a term knew, but had not stored, isn't true for the next
 * one, and what was deleted meanwhile is gone.
 */
Test(joblog, progress_that_was_not_stored_is_forgotten_after_the_term)
{
	static const struct {
		const char *what;
		bool stored; /* a record of progress, by another scheduler */
		enum job_state state;
	} cases[] = {
		{ "never stored", false, JOB_QUEUED },
		{ "stored as running", true, JOB_RUNNING },
		{ "stored as done", true, JOB_DONE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f = { 0 };
		struct cell_job *j;

		setup(&f, fake_log_create());
		add_jobs(f.log, 2);
		submit(&f, 2000);
		advance(&f, 1200);
		begin_term(&f, 5);
		submit(&f, 2000);
		j = job_table_find(joblog_job_table(f.joblog), ID);
		cr_assert_not_null(j, "%s", cases[i].what);
		cell_job_mark_started(j);
		cell_job_mark_task_done(j, 0);
		cell_job_task(j, 1)->last_run = 7;
		j->suspect = true;
		if (cases[i].stored)
			add_progress(f.log, cases[i].state);
		joblog_end_term(f.joblog);
		advance(&f, 1200);
		j = job_table_find(joblog_job_table(f.joblog), ID);
		cr_assert_not_null(j, "%s", cases[i].what);
		cr_expect_eq(j->state, cases[i].state, "%s", cases[i].what);
		cr_expect_eq(j->stored_state, cases[i].state, "%s", cases[i].what);
		cr_expect_eq(j->started, cases[i].state != JOB_QUEUED, "%s", cases[i].what);
		cr_expect_not(cell_job_task_is_done(j, 0), "%s", cases[i].what);
		cr_expect_eq(cell_job_peek_task(j, 1)->last_run, 0, "%s", cases[i].what);
		cr_expect_not(j->suspect, "%s", cases[i].what);
		cr_expect_eq(j->stored_progress != NULL, cases[i].stored, "%s", cases[i].what);
		teardown(&f);
	}
}

/*
 * A refresh had read a part of the log when that was loaded again. It ended before the part was
 * read for the second time, so a caller was told that an accepted job does not exist. After a term
 * the progress is read again; see refresh_waits_for_a_trimmed_log for the jobs.
 */
Test(joblog, refresh_waits_for_a_reload)
{
	struct fixture f = { 0 };

	setup(&f, fake_log_create());
	advance(&f, 100);
	submit(&f, 2000);
	advance(&f, 1200);
	f.results = 0;
	fake_hold_reads(f.client, TOPIC, JOBLOG_JOBS);
	joblog_refresh(f.joblog, on_result, &f);
	advance(&f, 60);
	joblog_begin_term(f.joblog, 5, on_result, &f);
	joblog_end_term(f.joblog);
	fake_hold_reads(f.client, TOPIC, JOBLOG_PROGRESS);
	fake_release_reads(f.client, TOPIC, JOBLOG_JOBS);
	advance(&f, 60);
	cr_assert_eq(f.results, 0, "the progress was not read again");
	fake_release_reads(f.client, TOPIC, JOBLOG_PROGRESS);
	advance(&f, 60);
	cr_assert_eq(f.results, 1);
	cr_assert_not_null(job_table_find(joblog_job_table(f.joblog), ID));
	teardown(&f);
}

/*
 * An expired job's progress was deleted although its own record was not. The next scheduler took it
 * for a new job and ran its tasks again (rules TWICE and BUDGET).
 */
Test(joblog, progress_outlives_the_record_of_a_deleted_job)
{
	struct fake_log *log = fake_log_create();
	struct fixture f = { 0 };
	struct fixture next = { 0 };
	const struct cell_job *j;

	setup(&f, log);
	setup(&next, log);
	advance(&f, 100);
	submit(&f, 2000);
	advance(&f, 40);
	begin_term(&f, 5);
	joblog_write(f.joblog, 1, progress_batch(JOB_DONE, 1));
	advance(&f, 40);
	fake_set_mode(f.client, FAKE_REFUSES);
	joblog_delete(f.joblog, ID);
	advance(&f, 1000);
	fake_set_mode(f.client, FAKE_OK);
	joblog_write(f.joblog, 2, progress_batch_of("00000000000000b2", JOB_RUNNING, 1));
	advance(&f, 400);
	cr_assert_eq(f.written, 2);
	advance(&next, 100);
	begin_term(&next, 6);
	j = job_table_find(joblog_job_table(next.joblog), ID);
	cr_assert(j && j->state == JOB_DONE, "the job would run again");
	teardown(&f);
	teardown(&next);
}

Test(joblog, deleted_jobs_leave_the_log)
{
	struct fixture f = { 0 };

	setup(&f, fake_log_create());
	advance(&f, 100);
	submit(&f, 2000);
	advance(&f, 40);
	begin_term(&f, 5);
	cr_assert_not_null(job_table_find(joblog_job_table(f.joblog), ID));
	joblog_write(f.joblog, 1, progress_batch(JOB_DONE, 1));
	advance(&f, 40);
	joblog_delete(f.joblog, ID);
	advance(&f, 1000);
	cr_assert_null(job_table_find(joblog_job_table(f.joblog), ID));
	joblog_write(f.joblog, 2, progress_batch_of("00000000000000b2", JOB_RUNNING, 1));
	advance(&f, 40);
	joblog_end_term(f.joblog);
	advance(&f, 100);
	cr_assert_eq(job_table_size(joblog_job_table(f.joblog)), 1, "only the other job is left");
	teardown(&f);
}

static uint32_t last_run(struct fixture *f)
{
	const struct cell_job *j = job_table_find(joblog_job_table(f->joblog), ID);

	return j ? cell_job_peek_task(j, 0)->last_run : 0;
}

static void write_run(struct fixture *f, uint64_t batch, uint32_t run)
{
	joblog_write(f->joblog, batch, progress_batch(JOB_RUNNING, run));
}

enum earlier_term {
	EARLIER_FENCE_ANSWERED,	 /* its fence has taken effect, the answer is late */
	EARLIER_FENCE_REFUSED,	 /* the same, but another scheduler had fenced it */
	EARLIER_READ_UNFINISHED, /* the fence was answered, the read that follows it was not */
};

/*
 * A node that loses the role and gets it back within the time of a call to the store. What the
 * earlier term waited for was taken for the fence or the read of the new one, so the scheduler
 * began before it had fenced the scheduler in between, and never read that one's last batches:
 * ended tasks were started again (rules TWICE and BUDGET).
 */
Test(joblog, term_begins_after_its_own_fence_and_read)
{
	static const enum earlier_term cases[] = { EARLIER_FENCE_ANSWERED, EARLIER_FENCE_REFUSED,
						   EARLIER_READ_UNFINISHED };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_log *log = fake_log_create();
		struct fixture f = { 0 };
		struct fixture other = { 0 };

		setup(&f, log);
		setup(&other, log);
		submit(&other, 2000);
		advance(&other, 100);
		advance(&f, 100);
		if (cases[i] == EARLIER_FENCE_REFUSED)
			begin_term(&other, 6);
		joblog_begin_term(f.joblog, 5, on_result, &f);
		if (cases[i] == EARLIER_READ_UNFINISHED) {
			fake_hold_reads(f.client, TOPIC, JOBLOG_JOBS);
			advance(&f, 40);
		} else {
			fake_hold_appends(f.client);
		}
		joblog_end_term(f.joblog);
		if (cases[i] != EARLIER_FENCE_REFUSED)
			begin_term(&other, 6);
		write_run(&other, 1, 1);
		advance(&other, 40);
		f.results = 0;
		fake_release_reads(f.client, TOPIC, JOBLOG_JOBS);
		fake_release_appends(f.client);
		joblog_begin_term(f.joblog, 7, on_result, &f);
		fake_delay_appends(f.client);
		advance(&f, 1000);
		cr_expect_eq(f.results, 0, "case %zu: begun before its fence", i);
		write_run(&other, 2, 2);
		advance(&other, 40);
		cr_expect_eq(other.written, 2, "case %zu", i);
		fake_release_appends(f.client);
		advance(&f, 100);
		cr_expect_eq(f.results, 1, "case %zu", i);
		cr_expect_eq(f.result, STORE_OK, "case %zu", i);
		cr_expect_eq(last_run(&f), 2, "case %zu", i);
		teardown(&other);
		teardown(&f);
	}
}

/*
 * The log is loaded again while a caller's request waits for a refresh. What had been read before
 * the reload counted for the refresh, so the caller was told that a known job is unknown (410,
 * rules LOST and MIXED).
 */
Test(joblog, refresh_reads_everything_again_after_a_reload)
{
	struct fixture f = { 0 };

	setup(&f, fake_log_create());
	submit(&f, 2000);
	advance(&f, 100);
	f.results = 0;
	fake_hold_reads(f.client, TOPIC, JOBLOG_JOBS);
	joblog_refresh(f.joblog, on_result, &f);
	advance(&f, 40);
	cr_assert_eq(f.results, 0);
	joblog_end_term(f.joblog);
	fake_hold_reads(f.client, TOPIC, JOBLOG_PROGRESS);
	fake_release_reads(f.client, TOPIC, JOBLOG_JOBS);
	advance(&f, 100);
	cr_expect_eq(f.results, 0, "the progress has not been read again");
	fake_release_reads(f.client, TOPIC, JOBLOG_PROGRESS);
	advance(&f, 100);
	cr_expect_eq(f.results, 1);
	cr_expect_not_null(job_table_find(joblog_job_table(f.joblog), ID));
	teardown(&f);
}

/*
 * The store refuses the deletion of an ended job, but stores that of its progress. The next
 * scheduler found a job that had never run, and ran it again (rules TWICE and BUDGET).
 */
Test(joblog, progress_is_deleted_only_after_its_job)
{
	static const bool refused[] = { true, false };

	for (size_t i = 0; i < G_N_ELEMENTS(refused); i++) {
		struct fake_log *log = fake_log_create();
		struct fixture f = { 0 };
		struct fixture next = { 0 };
		const struct cell_job *j;

		setup(&f, log);
		submit(&f, 2000);
		advance(&f, 100);
		begin_term(&f, 5);
		joblog_write(f.joblog, 1, progress_batch(JOB_FAILED, 3));
		advance(&f, 40);
		fake_set_mode(f.client, refused[i] ? FAKE_REFUSES : FAKE_OK);
		joblog_delete(f.joblog, ID);
		advance(&f, 1000);
		fake_set_mode(f.client, FAKE_OK);
		joblog_write(f.joblog, 2, g_ptr_array_new());
		advance(&f, 200);
		cr_assert_eq(f.written, 2);
		setup(&next, log);
		advance(&next, 100);
		begin_term(&next, 6);
		j = job_table_find(joblog_job_table(next.joblog), ID);
		cr_expect_eq(j != NULL, refused[i], "case %zu", i);
		if (j)
			cr_expect_eq(j->state, JOB_FAILED, "it would run again");
		cr_expect_eq(job_table_size(joblog_job_table(next.joblog)), refused[i],
			     "case %zu: its progress has to be deleted too", i);
		teardown(&next);
		teardown(&f);
	}
}

static void on_fence(void *ctx, enum store_result result, uint64_t offset)
{
	*(enum store_result *)ctx = result;
}

/*
 * A scheduler of an earlier release would read the records of progress as those of jobs without
 * runs, and start their tasks again. Such a release uses the bare term as the epoch.
 */
Test(joblog, scheduler_of_an_earlier_release_is_refused)
{
	struct fixture f = { 0 };
	struct append_cond cond = { .producer = "scheduler", .epoch = 1000 };
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	enum store_result result = STORE_OK;
	struct store store;

	setup_in_term(&f);
	store = fake_store(f.client);
	store.ops->append(store.impl, TOPIC, JOBLOG_PROGRESS, none, &cond, 900, on_fence, &result);
	fake_serve(f.log);
	cr_expect_eq(result, STORE_FENCED, "result %d", result);
	joblog_write(f.joblog, 1, progress_batch(JOB_RUNNING, 1));
	advance(&f, 40);
	cr_expect_eq(f.written, 1, "this release goes on");
	teardown(&f);
}

/*
 * A follower that is behind reads what its link carries within the timeout of a read. It used to
 * request everything at once, which timed out each time and took all of the link.
 */
#define REFRESHES_MAX 4

struct page_case {
	const char *what;
	uint32_t records;
	size_t record_bytes;
	size_t carried_bytes;
};

static const struct page_case page_cases[] = {
	{ "many records", 60, 20000, 300000 },
	{ "a record larger than a page", 3, 200000, 250000 },
	{ "a narrow link", 200, 4000, 20000 },
};

Test(joblog, pages_suit_the_link)
{
	for (size_t i = 0; i < G_N_ELEMENTS(page_cases); i++) {
		const struct page_case *c = &page_cases[i];
		g_autofree uint8_t *filler = g_malloc0(c->record_bytes);
		struct fixture f = { 0 };

		setup(&f, fake_log_create());
		advance(&f, 1200);
		for (uint32_t k = 0; k < c->records; k++) {
			g_autofree char *key = g_strdup_printf("%016x/c", k);

			fake_add_record(f.log, TOPIC, JOBLOG_JOBS, key, filler, c->record_bytes);
		}
		fake_limit_pages(f.client, c->carried_bytes);
		for (int k = 0; k < REFRESHES_MAX && f.results == 0; k++) {
			joblog_refresh(f.joblog, on_result, &f);
			advance(&f, 2000);
			f.results = f.result == STORE_OK ? f.results : 0;
		}
		cr_expect_eq(f.result, STORE_OK, "%s", c->what);
		cr_expect_geq(f.results, 1, "%s", c->what);
		teardown(&f);
	}
}
