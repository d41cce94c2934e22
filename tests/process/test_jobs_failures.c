#include <signal.h>
#include <string.h>

#include <criterion/criterion.h>

#include "operator.h"
#include "process/members.h"
#include "task_records.h"

#define WAIT_MS	 30000
#define QUIET_MS 1500
#define ACK_MS	 1300 /* several renewals, by which a daemon learns of the ends */
#define DROP_MS	 800
#define GRACE_US 2000000
#define SLOW_MS	 1500
#define BATCH	 "nightly" /* idempotent */
#define BILLED	 "billed"  /* not idempotent */
#define JOB_A	 operator_job_id(0)
#define JOB_B	 operator_job_id(1)
#define TASKS	 16 /* of each job; the cell can run all of both at once */
#define MANY	 30 /* of each job; some of them have to wait */
#define LOG	 "/v1/streams/jobs.north-a/records?from=0&max=4"

/* One data centre. The tests run an idempotent and a non-idempotent job on it. */
static const struct cell_conf one_dc = { .dcs = 1,
					 .daemons = 3,
					 .workers = 3,
					 .slots = 2,
					 .more_settings = "claim_use_ms: 1500\n"
							  "drain_ms: 60000\n" };

static struct cell *begin_cell(const struct cell_conf *conf)
{
	struct cell *c = cell_create(conf);
	const struct config_change changes[] = {
		operator_service(BATCH, WORK_BATCH, IDEMPOTENT, 0),
		operator_service(BILLED, WORK_BATCH, NON_IDEMPOTENT, 0),
	};

	operator_must_publish(c, 0, 10, changes, G_N_ELEMENTS(changes), (1U << cell_size(c)) - 1);
	return c;
}

static void end_cell(struct cell *c)
{
	cr_expect_eq(cell_check(c, GRACE_US), 0);
	cell_destroy(c);
}

static void submit(struct cell *c, unsigned int i, const char *service, const char *id,
		   unsigned int tasks, unsigned int run_ms)
{
	struct reply *r = operator_submit(c, i, CELL_TEAM, service, id, tasks, run_ms);

	cr_assert(operator_wait(c, r, WAIT_MS), "no answer to a submit");
	cr_assert_eq(r->status, 202, "submit: %u %s", r->status, r->head);
}

static void submit_both(struct cell *c, unsigned int i, unsigned int tasks, unsigned int run_ms)
{
	submit(c, i, BATCH, JOB_A, tasks, run_ms);
	submit(c, i, BILLED, JOB_B, tasks, run_ms);
}

struct wanted_starts {
	const char *job;
	unsigned int starts;
};

static bool has_started(struct cell *c, void *ctx)
{
	const struct wanted_starts *w = ctx;

	return task_sum_job(c, w->job).starts >= w->starts;
}

static void wait_started(struct cell *c, const char *job, unsigned int starts)
{
	struct wanted_starts w = { .job = job, .starts = starts };

	cr_assert(cell_wait_until(c, has_started, &w, WAIT_MS), "job %s: not %u starts", job,
		  starts);
}

/*
 * Both jobs have to end at daemon i. The idempotent one has to be done, with each task run to its
 * end once and not started again after that. No task of the other one may have been started twice;
 * billed_states are the states that it may end in.
 */
static void expect_ends(struct cell *c, unsigned int i, unsigned int tasks,
			const char *billed_states)
{
	g_autofree char *state = NULL;
	struct task_sum a;
	struct task_sum b;

	cr_expect(operator_wait_job(c, i, JOB_A, "done", WAIT_MS), "the batch is not done");
	cr_expect(operator_wait_job(c, i, JOB_B, billed_states, WAIT_MS),
		  "the billed job did not end");
	state = operator_job_state(c, i, JOB_B);
	a = task_sum_job(c, JOB_A);
	b = task_sum_job(c, JOB_B);
	g_printerr("batch: %u starts, %u done; billed: %u starts, %u done, %s\n", a.starts, a.done,
		   b.starts, b.done, state);
	cr_expect_eq(a.done, tasks, "%u of the batch are done", a.done);
	cr_expect_eq(a.reruns, 0, "%u run again after their end", a.reruns);
	cr_expect_eq(b.twice, 0, "%u billed tasks were started twice", b.twice);
	cr_expect_leq(b.starts, tasks);
	if (!strcmp(state, "done"))
		cr_expect_eq(b.done, tasks, "%u of the billed are done", b.done);
	end_cell(c);
}

/* Name of the daemon with a claim among the first records of the log, "" if there is none. */
static char *find_claimant(struct cell *c)
{
	struct reply *r = cell_send_platform(c, "GET", LOG, NULL);
	g_auto(GStrv) parts = NULL;

	cr_assert(operator_wait(c, r, WAIT_MS));
	parts = g_strsplit(r->head, "\"data\":\"", -1);
	for (guint i = 1; parts[i]; i++) {
		gsize size;
		g_autofree guchar *data = NULL;

		*strchrnul(parts[i], '"') = '\0';
		data = g_base64_decode(parts[i], &size);
		for (unsigned int d = 0; d < cell_size(c); d++) {
			g_autofree char *name = g_strdup_printf("%s@", cell_daemon_name(c, d));

			if (memmem(data, size, name, strlen(name)))
				return g_strdup(cell_daemon_name(c, d));
		}
	}
	return g_strdup("");
}

static bool is_claimed(struct cell *c, void *ctx)
{
	g_autofree char *name = find_claimant(c);

	return name[0] != '\0';
}

static void signal_all(struct cell *c, int signal)
{
	for (unsigned int i = 0; i < cell_size(c); i++)
		cell_daemon_signal(c, i, signal);
}

/* Ranks the daemons as coordinators of a job, the way that they do it themselves. */
static void rank_daemons(struct cell *c, const char *job, unsigned int ranked[3])
{
	struct members_conf conf = { .self = "", .dc = "north-a", .region = "north" };
	struct members *m = members_create(&conf);
	struct member_info info[3] = { 0 };
	const char *names[3];

	for (unsigned int i = 0; i < G_N_ELEMENTS(info); i++) {
		g_strlcpy(info[i].name, cell_daemon_name(c, i), sizeof(info[i].name));
		g_strlcpy(info[i].dc, conf.dc, sizeof(info[i].dc));
	}
	members_set_list(m, info, G_N_ELEMENTS(info), 0);
	cr_assert_eq(members_rank(m, conf.dc, job, false, names, 3), 3);
	for (unsigned int i = 0; i < G_N_ELEMENTS(names); i++)
		ranked[i] = cell_daemon_find(c, names[i]);
	members_destroy(m);
}

/*
 * A claim reaches the log, but its claimant is killed before it starts anything. The log delays
 * each call by SLOW_MS, and all daemons are paused while the claim is in flight.
 */
Test(jobs_failures, coordinator_killed_between_claim_and_start, .timeout = 60)
{
	struct cell *c = begin_cell(&one_dc);
	g_autofree char *claimant = NULL;
	unsigned int ranked[3];
	unsigned int victim;
	unsigned int other;

	rank_daemons(c, JOB_A, ranked);
	victim = ranked[0];
	other = ranked[1];

	cell_platform_fault(c, "{\"slow_ms\":" G_STRINGIFY(SLOW_MS) "}");
	submit(c, other, BATCH, JOB_A, TASKS, 500);
	cr_assert(operator_wait_job(c, victim, JOB_A, "waiting", WAIT_MS));
	cell_sleep(c, SLOW_MS / 3);
	signal_all(c, SIGSTOP);
	cell_sleep(c, SLOW_MS);
	cell_platform_fault(c, "{\"slow_ms\":0}");
	cr_assert(cell_wait_until(c, is_claimed, NULL, WAIT_MS), "no claim");
	claimant = find_claimant(c);
	cr_assert_str_eq(claimant, cell_daemon_name(c, victim));
	cr_assert_eq(task_sum_job(c, JOB_A).starts, 0, "started before the coordinator was killed");
	cell_daemon_signal(c, victim, SIGKILL);
	signal_all(c, SIGCONT);
	submit(c, other, BILLED, JOB_B, TASKS, 500);
	expect_ends(c, other, TASKS, "done");
}

/* Index of the daemon with the latest session to a worker that runs a task of the job. */
static unsigned int owner_of_task(struct cell *c, const char *job)
{
	g_autofree char *worker = task_worker(c, 0, job);
	struct records *r = cell_records(c);
	g_autofree char *name = records_owner(r, worker);

	records_destroy(r);
	return cell_daemon_find(c, name);
}

Test(jobs_failures, owner_killed_while_tasks_run, .timeout = 60)
{
	struct cell *c = begin_cell(&one_dc);
	unsigned int victim;

	submit_both(c, 0, TASKS, 2000);
	wait_started(c, JOB_A, TASKS / 2);
	wait_started(c, JOB_B, 1);
	victim = owner_of_task(c, JOB_A);
	cell_daemon_signal(c, victim, SIGKILL);
	expect_ends(c, (victim + 1) % 3, TASKS, "done|unknown");
}

/*
 * Tasks stopped by a lapsed lease did not run to their end, so those of the batch are started
 * again.
 */
Test(jobs_failures, workers_cut_off_past_the_task_lease, .timeout = 60)
{
	struct cell *c = begin_cell(&one_dc);
	g_autofree char *worker = NULL;
	g_autofree char *drop = NULL;
	struct task_sum sum;

	submit_both(c, 0, TASKS, 6000);
	wait_started(c, JOB_A, TASKS / 2);
	wait_started(c, JOB_B, 1);
	worker = task_worker(c, 0, JOB_A);
	drop = g_strdup_printf("{\"worker\":\"%s\",\"drop\":true}", worker);
	cell_worker_fault(c, 0, drop);
	cell_worker_fault(c, 0, "{\"worker\":\"north-a-billing-1\",\"freeze_ms\":5500}");
	cell_sleep(c, 5500);
	g_free(drop);
	drop = g_strdup_printf("{\"worker\":\"%s\",\"drop\":false}", worker);
	cell_worker_fault(c, 0, drop);
	cr_expect(operator_wait_job(c, 0, JOB_A, "done", WAIT_MS));
	sum = task_sum_job(c, JOB_A);
	cr_expect_gt(sum.twice, 0, "no task was stopped by its lease");
	expect_ends(c, 0, TASKS, "failed|unknown");
}

static bool has_ended(struct cell *c, void *ctx)
{
	struct task_sum sum = task_sum_job(c, ctx);

	return sum.starts >= TASKS && sum.running == 0;
}

/*
 * The tasks end while they have no coordinator, and a daemon that learned of ends is killed before
 * the next coordinator asks. The workers have to report the ends again.
 */
Test(jobs_failures, owner_killed_with_ends_that_nobody_asked_for, .timeout = 60)
{
	static const struct cell_conf slow_claims = { .dcs = 1,
						      .daemons = 3,
						      .workers = 3,
						      .slots = 2,
						      .more_settings = "claim_use_ms: 4000\n" };
	struct cell *c = begin_cell(&slow_claims);
	unsigned int ranked[3];

	rank_daemons(c, JOB_A, ranked);
	submit_both(c, ranked[1], TASKS, 1500);
	wait_started(c, JOB_A, TASKS);
	cell_daemon_signal(c, ranked[0], SIGKILL);
	cr_assert(cell_wait_until(c, has_ended, (void *)JOB_A, WAIT_MS));
	cell_sleep(c, ACK_MS);
	cell_daemon_signal(c, ranked[2], SIGKILL);
	expect_ends(c, ranked[1], TASKS, "done|unknown");
}

Test(jobs_failures, submit_reply_lost, .timeout = 60)
{
	static const struct cell_conf two_dcs = {
		.dcs = 2, .daemons = 2, .workers = 3, .slots = 2
	};
	struct cell *c = begin_cell(&two_dcs);

	for (unsigned int i = 0; i < cell_size(c); i++) {
		const char *service = i % 2 ? BILLED : BATCH;
		const char *id = i % 2 ? JOB_B : JOB_A;
		struct reply *r;

		cell_platform_fault(c, "{\"lose_ack\":1}");
		r = operator_submit(c, i, CELL_TEAM, service, id, TASKS, 300);
		cr_assert(operator_wait(c, r, WAIT_MS));
		cr_expect(r->status == 202 || !strcmp(r->outcome, "unknown"), "%u %s", r->status,
			  r->head);
		cell_platform_fault(c, "{\"lose_ack\":0}");
		submit(c, (i + 1) % cell_size(c), service, id, TASKS, 300);
	}
	cr_expect(operator_wait_job(c, 0, JOB_A, "done", WAIT_MS));
	cr_expect(operator_wait_job(c, 0, JOB_B, "done", WAIT_MS));
	cell_sleep(c, QUIET_MS);
	cr_expect_eq(task_sum_job(c, JOB_A).starts, TASKS);
	expect_ends(c, 0, TASKS, "done");
}

Test(jobs_failures, log_down_during_a_run, .timeout = 60)
{
	struct cell *c = begin_cell(&one_dc);
	struct reply *r;

	submit_both(c, 0, TASKS, 1500);
	wait_started(c, JOB_A, TASKS / 2);
	wait_started(c, JOB_B, TASKS / 2);
	cell_platform_fault(c, "{\"down\":true}");
	cell_sleep(c, 3000);
	r = operator_submit(c, 0, CELL_TEAM, BATCH, operator_job_id(2), 1, 1);
	cr_assert(operator_wait(c, r, WAIT_MS));
	cr_expect_eq(r->status, 503, "%u %s", r->status, r->head);
	cr_expect_str_eq(r->outcome, "not_run");
	cr_expect_gt(r->retry_after_s, 0);
	cell_platform_fault(c, "{\"down\":false}");
	cr_expect(operator_wait_job(c, 0, JOB_A, "done", WAIT_MS));
	cr_expect_eq(task_sum_job(c, JOB_A).starts, TASKS);
	expect_ends(c, 0, TASKS, "done");
}

Test(jobs_failures, daemons_replaced_one_by_one, .timeout = 60)
{
	struct cell *c = begin_cell(&one_dc);

	submit_both(c, 0, MANY, 1500);
	wait_started(c, JOB_A, 1);
	for (unsigned int i = 0; i < cell_size(c); i++) {
		cell_daemon_signal(c, i, SIGTERM);
		cr_expect_eq(cell_daemon_wait_end(c, i), 0);
		cell_daemon_start(c, i);
		cell_wait_ready(c, i);
	}
	expect_ends(c, 0, MANY, "done");
}

Test(jobs_failures, all_daemons_killed_at_once, .timeout = 60)
{
	struct cell *c = begin_cell(&one_dc);

	submit_both(c, 0, TASKS, 2500);
	wait_started(c, JOB_A, TASKS / 2);
	wait_started(c, JOB_B, TASKS / 2);
	signal_all(c, SIGKILL);
	for (unsigned int i = 0; i < cell_size(c); i++) {
		cell_daemon_wait_end(c, i);
		cell_daemon_start(c, i);
	}
	for (unsigned int i = 0; i < cell_size(c); i++)
		cell_wait_ready(c, i);
	expect_ends(c, 0, TASKS, "done|unknown");
}

static bool none_runs(struct cell *c, void *ctx)
{
	return task_sum_job(c, ctx).running == 0;
}

/* Stops sent to one of the workers are lost at first. */
Test(jobs_failures, job_of_many_tasks_cancelled, .timeout = 60)
{
	const char *const jobs[] = { JOB_A, JOB_B };
	struct cell *c = begin_cell(&one_dc);

	submit(c, 0, BATCH, JOB_A, 200, 60000);
	submit(c, 1, BILLED, JOB_B, 200, 60000);
	for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
		g_autofree char *path = g_strdup_printf("/v1/jobs/%s", jobs[i]);
		struct reply *r;

		wait_started(c, jobs[i], 8);
		cell_worker_fault(c, 0, "{\"worker\":\"north-a-clips-1\",\"drop\":true}");
		r = cell_send(c, 2, "DELETE", path, NULL, NULL);
		cr_assert(operator_wait(c, r, WAIT_MS));
		cr_expect_eq(r->status, 202, "%u %s", r->status, r->head);
		cell_sleep(c, DROP_MS);
		cell_worker_fault(c, 0, "{\"worker\":\"north-a-clips-1\",\"drop\":false}");
	}
	for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
		struct task_sum sum;

		cr_expect(operator_wait_job(c, 1, jobs[i], "cancelled", WAIT_MS));
		cr_expect(cell_wait_until(c, none_runs, (void *)jobs[i], WAIT_MS),
			  "tasks still run");
		sum = task_sum_job(c, jobs[i]);
		cell_sleep(c, QUIET_MS);
		cr_expect_eq(task_sum_job(c, jobs[i]).starts, sum.starts, "started after the end");
		cr_expect_eq(sum.twice, 0);
		cr_expect_eq(sum.done, 0);
	}
	end_cell(c);
}
