#include <criterion/criterion.h>

#include "endpoint.h"
#include "fakestore.h"
#include "request/intake.h"

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

struct submitted {
	uint32_t n;
	enum intake_result result;
};

static void on_submitted(void *ctx, enum intake_result result)
{
	struct submitted *r = ctx;

	r->n++;
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
		in = intake_create(j, b.links);
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
