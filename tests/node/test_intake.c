#include <criterion/criterion.h>

#include "endpoint.h"
#include "fakestore.h"
#include "request/intake.h"

#define TOPIC	   "keyed.jobs"
#define END_ROUNDS 3000 /* longer than anything waits for an answer */

static void on_changed(void *ctx, struct cell_job *j)
{
}

static void on_written(void *ctx, uint64_t batch)
{
}

static void on_fenced(void *ctx)
{
}

static const struct joblog_ops joblog_ops = {
	.changed = on_changed, .dropped = on_changed, .written = on_written, .fenced = on_fenced
};

static Cell__Job *make_job(void)
{
	Cell__Job *job = g_new(Cell__Job, 1);

	cell__job__init(job);
	job->id = g_strdup("00000000000000a1");
	job->queue = g_strdup("q");
	job->service = g_strdup("s");
	job->payload = g_strdup("");
	return job;
}

static void add_step(Cell__Job *job)
{
	Cell__Step *step = g_new(Cell__Step, 1);

	cell__step__init(step);
	step->count = 1;
	job->step = g_new(Cell__Step *, 1);
	job->step[job->n_step++] = step;
}

struct submitted {
	uint32_t n;
	enum intake_result result;
	uint32_t retry_after_ms;
};

static void on_submitted(void *ctx, enum intake_result result, uint32_t retry_after_ms)
{
	struct submitted *r = ctx;

	r->n++;
	r->retry_after_ms = retry_after_ms;
	r->result = result;
}

struct refusal_case {
	const char *what;
	bool scheduler_refuses; /* otherwise its answer is STORE_UNKNOWN */
	enum fake_mode store;	/* for the appends of this node */
	enum intake_result expected;
};

/*
 * INTAKE_REFUSED promises that the job never runs. A scheduler whose answer was STORE_UNKNOWN may
 * have stored the job, whatever the store answers this node afterwards. Two test days counted 54
 * and 23 violations of the rule REFUSED.
 */
Test(intake, job_is_refused_only_if_it_cannot_have_been_stored)
{
	static const struct refusal_case cases[] = {
		{ "both refuse", true, FAKE_REFUSES, INTAKE_REFUSED },
		{ "the scheduler can't tell, the store refuses", false, FAKE_REFUSES,
		  INTAKE_UNKNOWN },
		{ "the scheduler refuses, the store is silent", true, FAKE_SILENT, INTAKE_UNKNOWN },
		{ "the scheduler can't tell, the store takes it", false, FAKE_OK, INTAKE_OK },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct endpoint a = { .refuses_appends = cases[i].scheduler_refuses };
		struct endpoint b = { 0 };
		struct submitted r = { 0 };
		struct fake_log *log = fake_log_create();
		struct fake_client *client = fake_client_create(log);
		struct store store = fake_store(client);
		struct joblog *j = joblog_create(&store, &joblog_ops, NULL);
		struct intake *in;

		endpoint_connect_pair(&a, &b);
		in = intake_create(j, b.links, NULL);
		fake_set_mode(client, cases[i].store);
		intake_submit(in, make_job(), fake_now_ms + 2000, on_submitted, &r);
		endpoint_run_until(&a.appended, 1);
		for (int k = 0; k < ROUNDS_MAX && !r.n; k++) {
			g_main_context_iteration(NULL, FALSE);
			fake_now_ms += 1;
			joblog_tick(j);
			fake_serve(log);
		}
		cr_assert_eq(r.n, 1, "%s", cases[i].what);
		cr_expect_eq(r.result, cases[i].expected, "%s", cases[i].what);
		intake_destroy(in);
		joblog_destroy(j);
		endpoint_close(&b);
		endpoint_close(&a);
		fake_log_destroy(log);
	}
}

/* An intake with a store of its own, linked to a scheduler. */
struct intake_env {
	struct endpoint a;
	struct endpoint b;
	struct fake_log *log;
	struct fake_client *client;
	struct store store;
	struct joblog *joblog;
	struct intake *intake;
	struct submitted submitted;
	struct submitted other;
};

static void env_open(struct intake_env *e, bool linked)
{
	e->log = fake_log_create();
	e->client = fake_client_create(e->log);
	e->store = fake_store(e->client);
	e->joblog = joblog_create(&e->store, &joblog_ops, NULL);
	if (linked) {
		endpoint_connect_pair(&e->a, &e->b);
	} else {
		endpoint_open(&e->a, "a");
		endpoint_open(&e->b, "b");
	}
	e->intake = intake_create(e->joblog, e->b.links, NULL);
}

static void env_close(struct intake_env *e)
{
	intake_destroy(e->intake);
	joblog_destroy(e->joblog);
	endpoint_close(&e->b);
	endpoint_close(&e->a);
	fake_log_destroy(e->log);
}

static void env_submit(struct intake_env *e)
{
	uint32_t before = e->submitted.n;
	Cell__Job *job = make_job();

	add_step(job);
	intake_submit(e->intake, job, fake_now_ms + 2000, on_submitted, &e->submitted);
	for (int k = 0; k < ROUNDS_MAX && e->submitted.n == before; k++) {
		g_main_context_iteration(NULL, FALSE);
		fake_now_ms += 1;
		joblog_tick(e->joblog);
		fake_serve(e->log);
	}
	cr_assert_eq(e->submitted.n, before + 1);
}

struct rejection_case {
	const char *what;
	bool linked;	      /* to the scheduler, which rejects the job */
	bool earlier;	      /* an attempt, which the scheduler doesn't answer for */
	enum fake_mode store; /* for the appends of this node, the earlier one included */
	int64_t later_ms;     /* time between the attempts */
	enum intake_result expected;
	uint32_t retry_after_ms;
	bool stored;
	bool unread; /* this node can't read the log */
};

/*
 * A job of a team above its rate was appended by the entry node when the scheduler had not accepted
 * it; and "certainly not stored" was said of a job whose earlier attempt was in the store.
 */
Test(intake, rejected_job_is_not_appended_and_rejection_is_true)
{
	static const struct rejection_case cases[] = {
		{ "rejected", true, false, FAKE_OK, 0, INTAKE_REJECTED, 2500, false },
		{ "rejected while the store is away", true, false, FAKE_SILENT, 0, INTAKE_REJECTED,
		  2500, false },
		{ "an earlier attempt is stored without an answer", true, true, FAKE_LOSES_REPLY,
		  500, INTAKE_UNKNOWN, 0, true, true },
		{ "an earlier attempt is stored and was read", true, true, FAKE_LOSES_REPLY, 500,
		  INTAKE_OK, 0, true },
		{ "an earlier attempt, a minute ago, had no effect", true, true, FAKE_SILENT, 60000,
		  INTAKE_REJECTED, 2500, false },
		{ "no link to the scheduler", false, false, FAKE_OK, 0, INTAKE_OK, 0, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct rejection_case *c = &cases[i];
		struct intake_env e = { 0 };
		uint32_t appends;

		env_open(&e, c->linked);
		fake_set_mode(e.client, c->store);
		if (c->unread)
			fake_hold_reads(e.client, TOPIC, JOBLOG_JOBS);
		if (c->earlier) {
			env_submit(&e);
			cr_assert_eq(e.submitted.result, INTAKE_UNKNOWN, "%s", c->what);
		}
		fake_now_ms += c->later_ms;
		appends = fake_append_calls(e.client);
		e.a.rejects_for_ms = 2500;
		env_submit(&e);
		cr_expect_eq(e.submitted.result, c->expected, "%s: %u", c->what,
			     e.submitted.result);
		cr_expect_eq(e.submitted.retry_after_ms, c->retry_after_ms, "%s", c->what);
		if (c->linked)
			cr_expect_eq(fake_append_calls(e.client), appends,
				     "%s: appended after the rejection", c->what);
		cr_expect_eq(fake_record_count(e.log, TOPIC, JOBLOG_JOBS) > 0, c->stored, "%s",
			     c->what);
		env_close(&e);
	}
}

static void on_state(void *ctx, enum intake_result result, enum job_state state)
{
	on_submitted(ctx, result, 0);
}

struct owner_case {
	const char *what;
	bool read;	  /* the node has read the job's record */
	const char *team; /* of the caller, NULL for a configuration without teams */
	enum fake_mode store;
	enum intake_result expected;
};

/*
 * A node that had not read the record of a new job yet let the key of another team query and cancel
 * it.
 */
Test(intake, jobs_of_other_teams_are_not_accessible)
{
	static const struct owner_case cases[] = {
		{ "owner", true, "t", FAKE_OK, INTAKE_OK },
		{ "owner, record not read yet", false, "t", FAKE_OK, INTAKE_OK },
		{ "other team", true, "u", FAKE_OK, INTAKE_FORBIDDEN },
		{ "other team, record not read yet", false, "u", FAKE_OK, INTAKE_FORBIDDEN },
		{ "caller without a team, record not read yet", false, "", FAKE_OK,
		  INTAKE_FORBIDDEN },
		{ "owner can't be read", false, "u", FAKE_REFUSES, INTAKE_REFUSED },
		{ "no teams any more", true, NULL, FAKE_OK, INTAKE_OK },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (int cancel = 0; cancel < 2; cancel++) {
			const struct owner_case *c = &cases[i];
			Cell__Job *job = make_job();
			struct intake_env e = { 0 };
			g_autofree uint8_t *value = NULL;
			size_t size;

			env_open(&e, false);
			job->team = g_strdup("t");
			add_step(job);
			size = cell__job__get_packed_size(job);
			value = g_malloc(size);
			cell__job__pack(job, value);
			if (c->read)
				job_table_apply(joblog_job_table(e.joblog), job->id, value, size);
			else
				fake_add_record(e.log, TOPIC, JOBLOG_JOBS, job->id, value, size);
			fake_set_mode(e.client, c->store);
			if (cancel)
				intake_cancel(e.intake, job->id, c->team, fake_now_ms + 2000,
					      on_submitted, &e.submitted);
			else
				intake_state(e.intake, job->id, c->team, on_state, &e.submitted);
			for (int k = 0; k < ROUNDS_MAX && !e.submitted.n; k++) {
				g_main_context_iteration(NULL, FALSE);
				fake_now_ms += 1;
				joblog_tick(e.joblog);
				fake_serve(e.log);
			}
			cr_assert_eq(e.submitted.n, 1, "%s", c->what);
			cr_expect_eq(e.submitted.result, c->expected, "%s, cancel %d: %u", c->what,
				     cancel, e.submitted.result);
			cell__job__free_unpacked(job, NULL);
			env_close(&e);
		}
	}
}

struct early_case {
	const char *what;
	enum fake_mode store; /* for the appends */
	enum intake_result expected;
	bool cancelled; /* a job that comes later */
};

static void env_run(struct intake_env *e, uint32_t answers)
{
	for (int k = 0; k < ROUNDS_MAX && e->other.n < answers; k++) {
		g_main_context_iteration(NULL, FALSE);
		fake_now_ms += 1;
		joblog_tick(e->joblog);
		fake_serve(e->log);
	}
	cr_assert_eq(e->other.n, answers);
}

static void env_cancel(struct intake_env *e, const char *id, const char *team)
{
	intake_cancel(e->intake, id, team, fake_now_ms + 2000, on_submitted, &e->other);
	env_run(e, e->other.n + 1);
}

/*
 * Guards against "no such job" for a job whose record is on its way, as in a process that doesn't
 * run: its caller's cancel was acknowledged so, and it was stored and started afterwards. A job
 * that is submitted anew after its cancel is accepted, and cancelled.
 */
Test(intake, no_such_job_means_that_it_does_not_run)
{
	static const struct early_case cases[] = {
		{ "stored", FAKE_OK, INTAKE_NOT_FOUND, true },
		{ "refused", FAKE_REFUSES, INTAKE_REFUSED, false },
		{ "no answer", FAKE_LATE, INTAKE_UNKNOWN, false },
		{ "the log can't be read", FAKE_SILENT, INTAKE_REFUSED, false },
		{ "answer lost", FAKE_LOSES_REPLY, INTAKE_UNKNOWN, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct early_case *c = &cases[i];
		struct intake_env e = { 0 };
		const struct cell_job *j;

		env_open(&e, false);
		fake_set_mode(e.client, c->store);
		env_cancel(&e, "00000000000000a1", NULL);
		cr_expect_eq(e.other.result, c->expected, "%s: %u", c->what, e.other.result);
		fake_set_mode(e.client, FAKE_OK);
		fake_now_ms += 5000;
		joblog_tick(e.joblog);
		fake_serve(e.log);
		env_submit(&e);
		cr_expect_eq(e.submitted.result, INTAKE_OK, "%s", c->what);
		for (int k = 0; k < 100; k++) {
			fake_now_ms += 20;
			joblog_tick(e.joblog);
			fake_serve(e.log);
		}
		j = job_table_find(joblog_job_table(e.joblog), "00000000000000a1");
		cr_assert_not_null(j, "%s", c->what);
		cr_expect_eq(j->cancelled, c->cancelled, "%s", c->what);
		env_close(&e);
	}
}

/*
 * Guards against cancels of jobs that never existed and that fill the log and the memory: a repeat
 * appends nothing, another team is refused, and their number is limited.
 */
Test(intake, early_cancels_are_bounded)
{
	struct intake_env e = { 0 };
	struct admit *admit;
	uint32_t records;

	env_open(&e, false);
	admit = admit_create(e.joblog, NULL);
	intake_destroy(e.intake);
	e.intake = intake_create(e.joblog, e.b.links, admit);
	fake_now_ms += INT64_C(10) * JOBLOG_EARLY_CANCEL_MS;
	env_cancel(&e, "00000000000000a1", "t");
	cr_expect_eq(e.other.result, INTAKE_NOT_FOUND);
	for (int k = 0; k < 100; k++) {
		fake_now_ms += 20;
		joblog_tick(e.joblog);
		fake_serve(e.log);
	}
	records = fake_record_count(e.log, TOPIC, JOBLOG_JOBS);
	for (int k = 0; k < 10; k++) {
		env_cancel(&e, "00000000000000a1", "t");
		cr_expect_eq(e.other.result, INTAKE_NOT_FOUND);
	}
	cr_expect_eq(fake_record_count(e.log, TOPIC, JOBLOG_JOBS), records);
	env_cancel(&e, "00000000000000a1", "u");
	cr_expect_eq(e.other.result, INTAKE_FORBIDDEN);
	for (uint32_t k = 1; k < EARLY_CANCELS_MAX; k++) {
		g_autofree char *key = g_strdup_printf("%016x/c", 0x1000 + k);

		job_table_apply(joblog_job_table(e.joblog), key, (const uint8_t *)"\1", 1);
	}
	env_cancel(&e, "00000000000000a2", "t");
	cr_expect_eq(e.other.result, INTAKE_REJECTED);
	cr_expect_eq(e.other.retry_after_ms, ADMIT_CANCEL_RETRY_MS);
	cr_expect_eq(fake_record_count(e.log, TOPIC, JOBLOG_JOBS), records);
	env_close(&e);
	admit_destroy(admit);
}

static bool is_in_doubt(void *ctx)
{
	return *(const bool *)ctx;
}

static void on_visible(void *ctx, enum intake_result result, enum job_state state)
{
	on_submitted(ctx, result, state);
}

/* Guards against states of a scheduler that was paused and has been replaced. */
Test(intake, a_scheduler_in_doubt_reports_no_state_that_may_have_changed)
{
	static const struct {
		const char *what;
		bool doubt;
		enum job_state stored;
		enum intake_result expected;
	} cases[] = {
		{ "running", false, JOB_RUNNING, INTAKE_OK },
		{ "running, in doubt", true, JOB_RUNNING, INTAKE_REFUSED },
		{ "done", false, JOB_DONE, INTAKE_OK },
		{ "done, in doubt", true, JOB_DONE, INTAKE_OK },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct intake_env e = { 0 };
		bool doubt = cases[i].doubt;
		enum job_state state;
		struct cell_job *j;

		env_open(&e, false);
		env_submit(&e);
		for (int k = 0; k < 100; k++) {
			fake_now_ms += 20;
			joblog_tick(e.joblog);
			fake_serve(e.log);
		}
		j = job_table_find(joblog_job_table(e.joblog), "00000000000000a1");
		cr_assert_not_null(j);
		j->stored_state = cases[i].stored;
		intake_set_scheduling(e.intake, true);
		intake_set_doubt(e.intake, is_in_doubt, &doubt);
		cr_expect_eq(intake_find_state(e.intake, j->id, &state),
			     cases[i].expected == INTAKE_OK, "%s: asked by a node", cases[i].what);
		intake_state(e.intake, j->id, NULL, on_visible, &e.other);
		env_run(&e, 1);
		cr_expect_eq(e.other.result, cases[i].expected, "%s", cases[i].what);
		if (cases[i].expected == INTAKE_OK)
			cr_expect_eq(e.other.retry_after_ms, cases[i].stored, "%s", cases[i].what);
		env_close(&e);
	}
}

enum wait_kind {
	WAIT_APPEND,  /* a job, in an append that the store doesn't answer */
	WAIT_QUEUED,  /* a job that waits until that append is over */
	WAIT_FORWARD, /* a job that was sent to the scheduler */
	WAIT_STATE,   /* a query, for the scheduler */
	WAIT_READ,    /* a query, for the store */
	WAIT_CANCEL,  /* a cancel whose job has to be read first */
};

struct end_case {
	const char *what;
	enum wait_kind kind;
	enum intake_result expected;
};

static void env_submit_id(struct intake_env *e, const char *id, struct submitted *s)
{
	Cell__Job *job = make_job();

	add_step(job);
	g_free(job->id);
	job->id = g_strdup(id);
	intake_submit(e->intake, job, fake_now_ms + 600000, on_submitted, s);
}

static void env_begin(struct intake_env *e, enum wait_kind kind)
{
	static const char id[] = "00000000000000a1";

	switch (kind) {
	case WAIT_QUEUED:
		env_submit_id(e, "00000000000000a2", &e->other);
		__attribute__((fallthrough));
	case WAIT_APPEND:
	case WAIT_FORWARD:
		env_submit_id(e, id, &e->submitted);
		break;
	case WAIT_STATE:
	case WAIT_READ:
		intake_state(e->intake, id, NULL, on_state, &e->submitted);
		break;
	case WAIT_CANCEL:
		intake_cancel(e->intake, id, NULL, fake_now_ms + 600000, on_submitted,
			      &e->submitted);
		break;
	}
}

/*
 * Guards against a stop that leaves requests without an answer, answers one twice, or says of a job
 * or a cancel that it wasn't stored and stores it afterwards.
 */
Test(intake, requests_that_wait_are_answered_at_the_end)
{
	static const struct end_case cases[] = {
		{ "the store doesn't answer", WAIT_APPEND, INTAKE_UNKNOWN },
		{ "the job wasn't sent yet", WAIT_QUEUED, INTAKE_REFUSED },
		{ "the scheduler doesn't answer", WAIT_FORWARD, INTAKE_UNKNOWN },
		{ "the scheduler doesn't tell the state", WAIT_STATE, INTAKE_REFUSED },
		{ "the log isn't read", WAIT_READ, INTAKE_REFUSED },
		{ "the job of a cancel isn't read", WAIT_CANCEL, INTAKE_REFUSED },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct end_case *k = &cases[i];
		bool linked = k->kind == WAIT_FORWARD || k->kind == WAIT_STATE;
		g_autofree uint8_t *value = NULL;
		Cell__Job *job = make_job();
		struct intake_env e = { 0 };
		uint32_t appends;
		uint32_t records;
		size_t size;

		env_open(&e, linked);
		add_step(job);
		size = cell__job__get_packed_size(job);
		value = g_malloc(size);
		cell__job__pack(job, value);
		if (k->kind == WAIT_CANCEL)
			fake_add_record(e.log, TOPIC, JOBLOG_JOBS, job->id, value, size);
		env_begin(&e, k->kind);
		cr_assert_eq(e.submitted.n, 0, "%s", k->what);
		appends = fake_append_calls(e.client);
		intake_end(e.intake);
		cr_expect_eq(e.submitted.n, 1, "%s: %u answers", k->what, e.submitted.n);
		cr_expect_eq(e.submitted.result, k->expected, "%s: %u", k->what,
			     e.submitted.result);
		for (int n = 0; n < END_ROUNDS; n++) {
			g_main_context_iteration(NULL, FALSE);
			fake_now_ms += 1;
			joblog_tick(e.joblog);
			fake_serve(e.log);
		}
		records = fake_record_count(e.log, TOPIC, JOBLOG_JOBS);
		cr_expect_eq(e.submitted.n, 1, "%s: %u answers", k->what, e.submitted.n);
		cr_expect_eq(fake_append_calls(e.client), appends, "%s: appended afterwards",
			     k->what);
		if (k->expected == INTAKE_REFUSED)
			cr_expect_leq(records, 1, "%s: %u records", k->what, records);
		cell__job__free_unpacked(job, NULL);
		env_close(&e);
	}
}
