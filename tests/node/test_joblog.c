#include <criterion/criterion.h>

#include "cell.pb-c.h"
#include "fakestore.h"
#include "process/joblog.h"

#define ID	"00000000000000a1"
#define TOPIC	"keyed.jobs"
#define TICK_MS 20

struct user {
	struct fake_log *log;
	struct fake_client *client;
	struct joblog *jobs;
	uint32_t changed;
	uint64_t written;
	uint32_t fenced;
	enum store_result result;
	uint32_t results;
	int64_t answered_ms;
};

static void on_changed(void *ctx, struct cell_job *p)
{
	((struct user *)ctx)->changed++;
}

static void on_dropped(void *ctx, struct cell_job *p)
{
}

static void on_written(void *ctx, uint64_t batch)
{
	((struct user *)ctx)->written = batch;
}

static void on_fenced(void *ctx)
{
	((struct user *)ctx)->fenced++;
}

static const struct joblog_ops ops = {
	.changed = on_changed, .dropped = on_dropped, .written = on_written, .fenced = on_fenced
};

static void on_done(void *ctx, enum store_result result)
{
	struct user *u = ctx;

	u->result = result;
	u->results++;
	u->answered_ms = fake_now_ms;
}

static void begin(struct user *u, struct fake_log *log)
{
	struct store store;

	u->log = log;
	u->client = fake_client_create(log);
	store = fake_store(u->client);
	u->jobs = joblog_create(&store, &ops, u);
}

static void pass(struct user *u, int64_t ms)
{
	for (int64_t t = 0; t < ms; t += TICK_MS) {
		fake_now_ms += TICK_MS;
		joblog_tick(u->jobs);
		fake_serve(u->log);
	}
}

static void end(struct user *u)
{
	joblog_destroy(u->jobs);
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

static void submit(struct user *u, int64_t within_ms)
{
	size_t size;
	uint8_t *buf = job_bytes(&size);

	joblog_append(u->jobs, ID, buf, size, fake_now_ms + within_ms, on_done, u);
}

static GPtrArray *progress_batch(enum job_state state, uint32_t run)
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
	r->key = g_strdup(ID "/p");
	r->size = cell__progress__get_packed_size(&m);
	r->value = g_malloc(r->size);
	cell__progress__pack(&m, r->value);
	g_ptr_array_add(out, r);
	return out;
}

Test(joblog, a_job_is_taken_when_it_is_in_the_log)
{
	struct user u = { 0 };

	begin(&u, fake_log_create());
	pass(&u, 100);
	submit(&u, 2000);
	cr_assert_eq(u.results, 0);
	pass(&u, 20);
	cr_assert_eq(u.result, STORE_OK);
	cr_assert_eq(fake_count(u.log, TOPIC, JOBLOG_JOBS), 1);
	joblog_refresh(u.jobs, on_done, &u);
	pass(&u, 20);
	cr_assert_not_null(job_table_find(joblog_book(u.jobs), ID));
	end(&u);
}

Test(joblog, jobs_that_come_together_share_a_call)
{
	struct user u = { 0 };
	uint32_t before;

	begin(&u, fake_log_create());
	pass(&u, 100);
	before = fake_appends(u.client);
	for (int i = 0; i < 10; i++)
		submit(&u, 2000);
	pass(&u, 40);
	cr_assert_eq(u.results, 10);
	cr_assert_eq(fake_appends(u.client) - before, 2, "one under way, one for all that waited");
	end(&u);
}

struct away_case {
	const char *what;
	enum fake_mode mode;
	enum store_result result;
	uint32_t in_log;
};

/* "Refused" is a promise: it may be said only if nothing can have been done. */
Test(joblog, what_is_said_while_the_store_fails)
{
	static const struct away_case cases[] = {
		{ "it refuses", FAKE_REFUSES, STORE_REFUSED, 0 },
		{ "it is silent", FAKE_SILENT, STORE_UNKNOWN, 0 },
		{ "answers are lost", FAKE_LOSES_ANSWER, STORE_UNKNOWN, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct user u = { 0 };
		int64_t asked_ms;

		begin(&u, fake_log_create());
		pass(&u, 100);
		fake_mode(u.client, cases[i].mode);
		asked_ms = fake_now_ms;
		submit(&u, 2700);
		pass(&u, 3000);
		cr_expect_eq(u.results, 1, "%s", cases[i].what);
		cr_expect_eq(u.result, cases[i].result, "%s", cases[i].what);
		cr_expect_lt(u.answered_ms - asked_ms, 1400, "%s: told late", cases[i].what);
		cr_expect_geq(fake_count(u.log, TOPIC, JOBLOG_JOBS), cases[i].in_log);
		end(&u);
	}
}

Test(joblog, a_store_that_is_away_is_not_tried_for_new_jobs)
{
	struct user u = { 0 };
	uint32_t appends;

	begin(&u, fake_log_create());
	pass(&u, 100);
	fake_mode(u.client, FAKE_SILENT);
	pass(&u, 4000);
	cr_assert(joblog_away(u.jobs));
	appends = fake_appends(u.client);
	submit(&u, 2700);
	cr_assert_eq(u.results, 1, "told at once");
	cr_assert_eq(u.result, STORE_REFUSED);
	cr_assert_eq(fake_appends(u.client), appends);
	fake_mode(u.client, FAKE_WELL);
	pass(&u, 2000);
	cr_assert_not(joblog_away(u.jobs));
	end(&u);
}

static void lead(struct user *u, uint64_t term)
{
	u->results = 0;
	joblog_lead(u->jobs, term, on_done, u);
	pass(u, 60);
	cr_assert_eq(u->results, 1);
	cr_assert_eq(u->result, STORE_OK);
}

Test(joblog, an_older_scheduler_is_fenced)
{
	struct fake_log *log = fake_log_create();
	struct user u = { 0 };
	struct user newer = { 0 };

	begin(&u, log);
	begin(&newer, log);
	pass(&u, 100);
	lead(&u, 5);
	joblog_write(u.jobs, 1, progress_batch(JOB_RUNNING, 1));
	pass(&u, 40);
	cr_assert_eq(u.written, 1);
	pass(&newer, 100);
	lead(&newer, 9);
	joblog_write(u.jobs, 2, progress_batch(JOB_RUNNING, 2));
	pass(&u, 40);
	cr_assert_eq(u.fenced, 1);
	cr_assert_eq(u.written, 1);
	end(&u);
	end(&newer);
}

Test(joblog, a_batch_whose_answer_is_lost_is_written_once)
{
	struct user u = { 0 };

	begin(&u, fake_log_create());
	pass(&u, 100);
	lead(&u, 5);
	fake_mode(u.client, FAKE_LOSES_ANSWER);
	joblog_write(u.jobs, 1, progress_batch(JOB_RUNNING, 1));
	pass(&u, 400);
	cr_assert_eq(u.written, 0);
	fake_mode(u.client, FAKE_WELL);
	pass(&u, 400);
	cr_assert_eq(u.written, 1);
	cr_assert_eq(fake_count(u.log, TOPIC, JOBLOG_PROGRESS), 1);
	end(&u);
}

/* The first of two batches is lost; the second is refused, since it does not follow. */
Test(joblog, batches_that_overlap_are_stored_in_order)
{
	static const enum fake_mode modes[] = { FAKE_SILENT, FAKE_LOSES_ANSWER, FAKE_REFUSES };

	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
		struct user u = { 0 };

		begin(&u, fake_log_create());
		pass(&u, 100);
		lead(&u, 5);
		joblog_write(u.jobs, 1, progress_batch(JOB_RUNNING, 1));
		pass(&u, 20);
		fake_mode(u.client, modes[i]);
		joblog_write(u.jobs, 2, progress_batch(JOB_RUNNING, 2));
		pass(&u, 20);
		fake_mode(u.client, FAKE_WELL);
		joblog_write(u.jobs, 3, progress_batch(JOB_RUNNING, 3));
		pass(&u, 20);
		pass(&u, 400);
		cr_expect_eq(u.written, 3, "case %zu", i);
		cr_expect_eq(u.fenced, 0, "case %zu", i);
		cr_expect_eq(fake_count(u.log, TOPIC, JOBLOG_PROGRESS), 3, "case %zu", i);
		end(&u);
	}
}

/*
 * Pattern: a new scheduler while the store loses answers (our own day odd-2: TWICE). Its first
 * batch was lost and the second stored in its place, which was taken for both being stored: ends
 * that were acknowledged to runners were known to nobody.
 */
Test(joblog, the_first_batch_of_a_term_is_waited_for)
{
	struct user u = { 0 };

	begin(&u, fake_log_create());
	pass(&u, 100);
	lead(&u, 5);
	fake_mode(u.client, FAKE_SILENT);
	joblog_write(u.jobs, 1, progress_batch(JOB_RUNNING, 1));
	fake_serve(u.log);
	fake_mode(u.client, FAKE_WELL);
	joblog_write(u.jobs, 2, progress_batch(JOB_RUNNING, 2));
	fake_serve(u.log);
	cr_assert_eq(u.written, 0);
	cr_assert_eq(fake_count(u.log, TOPIC, JOBLOG_PROGRESS), 0);
	pass(&u, 400);
	cr_assert_eq(u.written, 2);
	cr_assert_eq(fake_count(u.log, TOPIC, JOBLOG_PROGRESS), 2);
	end(&u);
}

/*
 * Pattern: a slow store. Advice and intents need not wait for the job's own record, so the
 * scheduler gets the job at once, as one that may not be told of.
 */
Test(joblog, jobs_are_offered_to_the_scheduler_while_they_are_stored)
{
	static const struct {
		enum fake_mode mode;
		bool stays;
	} cases[] = { { FAKE_WELL, true }, { FAKE_REFUSES, false }, { FAKE_SILENT, false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct user u = { 0 };
		const struct cell_job *p;

		begin(&u, fake_log_create());
		pass(&u, 100);
		lead(&u, 5);
		u.changed = 0;
		fake_mode(u.client, cases[i].mode);
		submit(&u, 2000);
		p = job_table_find(joblog_book(u.jobs), ID);
		cr_assert_not_null(p);
		cr_expect(p->tentative);
		cr_expect_eq(u.changed, 1);
		cr_expect_eq(job_table_count_waiting(joblog_book(u.jobs), "q"), 0);
		pass(&u, 3000);
		p = job_table_find(joblog_book(u.jobs), ID);
		cr_expect_eq(p && !p->tentative, cases[i].stays, "case %zu", i);
		cr_expect_eq(p != NULL, cases[i].stays, "case %zu", i);
		end(&u);
	}
}

/*
 * A read of the progress was under way when the node became the scheduler. Applied afterwards, it
 * made the scheduler forget the runs that it had started since (rule days: LIMIT 40, TWICE 14).
 */
Test(joblog, a_read_under_way_does_not_overwrite_the_schedulers_memory)
{
	struct user u = { 0 };
	struct cell_job *p;

	begin(&u, fake_log_create());
	pass(&u, 100);
	submit(&u, 2000);
	pass(&u, 1100);
	u.results = 0;
	fake_hold(u.client, TOPIC, JOBLOG_JOBS);
	joblog_lead(u.jobs, 7, on_done, &u);
	pass(&u, 60);
	cr_assert_eq(u.results, 0, "the jobs were not read yet");
	fake_hold(u.client, TOPIC, JOBLOG_PROGRESS);
	fake_put(u.log, TOPIC, JOBLOG_PROGRESS, ID "/p", (const uint8_t *)"\x08\x01", 2);
	pass(&u, 1200);
	fake_let_go(u.client, TOPIC, JOBLOG_JOBS);
	pass(&u, 60);
	cr_assert_eq(u.results, 1);
	p = job_table_find(joblog_book(u.jobs), ID);
	cr_assert_not_null(p);
	p->task[0].last_run = 3;
	fake_let_go(u.client, TOPIC, JOBLOG_PROGRESS);
	pass(&u, 3000);
	cr_assert_eq(p->task[0].last_run, 3);
	end(&u);
}

/* The answer to a batch of an earlier term is not the answer to that of the current one. */
Test(joblog, answers_of_an_older_term)
{
	struct user u = { 0 };

	begin(&u, fake_log_create());
	pass(&u, 100);
	lead(&u, 5);
	joblog_write(u.jobs, 1, progress_batch(JOB_RUNNING, 1));
	fake_hold_appends(u.client);
	joblog_follow(u.jobs);
	lead(&u, 6);
	joblog_write(u.jobs, 1, progress_batch(JOB_RUNNING, 2));
	fake_mode(u.client, FAKE_REFUSES);
	fake_answer_appends(u.client);
	pass(&u, 60);
	cr_assert_eq(u.written, 0, "the store has refused the current batch so far");
	fake_mode(u.client, FAKE_WELL);
	pass(&u, 200);
	cr_assert_eq(u.written, 1);
	end(&u);
}

Test(joblog, dropped_jobs_leave_the_log)
{
	struct user u = { 0 };

	begin(&u, fake_log_create());
	pass(&u, 100);
	submit(&u, 2000);
	pass(&u, 40);
	lead(&u, 5);
	cr_assert_not_null(job_table_find(joblog_book(u.jobs), ID));
	joblog_drop(u.jobs, ID);
	pass(&u, 1000);
	cr_assert_null(job_table_find(joblog_book(u.jobs), ID));
	end(&u);
}
