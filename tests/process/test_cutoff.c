#include <signal.h>
#include <string.h>

#include <criterion/criterion.h>

#include "operator.h"
#include "task_records.h"
#include "request_set.h"

#define WAIT_MS	      30000
#define QUIET_MS      1500
#define GRACE_US      2000000
#define TASKS	      24
#define RUN_MS	      3000
#define SERVICE_TASKS 2 /* tasks of each long-running service */
#define FAR_TEAM      "outpost"
#define JOB	      operator_job_id(0)
#define LATER_JOB     operator_job_id(1)

static const struct cell_conf two_dcs = {
	.dcs = 2, .daemons = 3, .workers = 3, .slots = 4, .more_settings = "far_beat_ms: 200\n"
};

/* Team and services whose home is one data centre. */
struct home {
	const char *team;
	const char *batch;
	const char *watch;
};

static const struct home homes[] = {
	{ CELL_TEAM, "nightly", "watch" },
	{ FAR_TEAM, "far-nightly", "far-watch" },
};

struct cutoff_case {
	unsigned int dc;	    /* cut off; data centre 0 is the home of the keys */
	unsigned int once_complete; /* of 15 requests with keys */
};

static struct config_change change_of(const struct home *home, const char *name,
				      enum work_class class)
{
	struct config_change ch = operator_service(name, class, IDEMPOTENT, 0);

	g_strlcpy(ch.service.team, home->team, sizeof(ch.service.team));
	ch.service.count = class == WORK_SERVICE ? SERVICE_TASKS : 0;
	return ch;
}

static void publish_homes(struct cell *c)
{
	const struct config_change changes[] = {
		{ .is_team = true,
		  .team = { .name = FAR_TEAM, .home_dc = "central-a", .weight = 1 } },
		change_of(&homes[0], homes[0].batch, WORK_BATCH),
		change_of(&homes[0], homes[0].watch, WORK_SERVICE),
		change_of(&homes[1], homes[1].batch, WORK_BATCH),
		change_of(&homes[1], homes[1].watch, WORK_SERVICE),
	};

	operator_must_publish(c, 0, 10, changes, G_N_ELEMENTS(changes), (1U << cell_size(c)) - 1);
}

struct wanted_tasks {
	const char *job;     /* or NULL */
	const char *service; /* or NULL */
	unsigned int running;
	unsigned int done;
};

static bool has_tasks(struct cell *c, void *ctx)
{
	const struct wanted_tasks *w = ctx;
	struct task_sum s = w->job ? task_sum_job(c, w->job) : task_sum_service(c, w->service);

	return s.running == w->running && s.done == w->done;
}

static void wait_tasks(struct cell *c, struct wanted_tasks w)
{
	cr_assert(cell_wait_until(c, has_tasks, &w, WAIT_MS), "%s: not %u running, %u done",
		  w.job ? w.job : w.service, w.running, w.done);
}

/* A text that the status of each daemon of a data centre has to contain, at least times often. */
struct wanted_status {
	unsigned int dc;
	const char *text;
	unsigned int times;
};

static unsigned int count_of(const char *text, const char *part)
{
	unsigned int n = 0;

	for (const char *at = strstr(text, part); at; at = strstr(at + 1, part))
		n++;
	return n;
}

static bool status_has(struct cell *c, void *ctx)
{
	const struct wanted_status *w = ctx;

	for (unsigned int i = 0; i < cell_size(c); i++) {
		struct reply *r;

		if (i / two_dcs.daemons != w->dc)
			continue;
		r = cell_send(c, i, "GET", "/v1/status", NULL, NULL);
		if (!operator_wait(c, r, WAIT_MS) || count_of(r->head, w->text) < w->times)
			return false;
	}
	return true;
}

static void wait_status(struct cell *c, unsigned int dc, const char *text, unsigned int times)
{
	struct wanted_status w = { .dc = dc, .text = text, .times = times };

	cr_assert(cell_wait_until(c, status_has, &w, WAIT_MS),
		  "not in the status of every daemon: %s", text);
}

/* Cuts a data centre off from the platform and pauses all daemons of the other one. */
static void cut_off(struct cell *c, unsigned int dc)
{
	GString *fault = g_string_new("{\"cut\":[");

	for (unsigned int i = 0; i < cell_size(c); i++) {
		if (i / two_dcs.daemons == dc)
			g_string_append_printf(fault, "%s\"%s\"",
					       g_str_has_suffix(fault->str, "[") ? "" : ",",
					       cell_daemon_host(c, i));
		else
			cell_daemon_signal(c, i, SIGSTOP);
	}
	g_string_append(fault, "]}");
	cell_platform_fault(c, fault->str);
	g_string_free(fault, TRUE);
	wait_status(c, dc, "\"log_reachable\":false", 1);
	wait_status(c, dc, "\"state\":\"dead\"", two_dcs.daemons);
}

static void reconnect(struct cell *c)
{
	cell_platform_fault(c, "{\"cut\":[]}");
	for (unsigned int i = 0; i < cell_size(c); i++)
		cell_daemon_signal(c, i, SIGCONT);
	for (unsigned int dc = 0; dc < cell_dcs(c); dc++) {
		wait_status(c, dc, "\"log_reachable\":true", 1);
		wait_status(c, dc, "\"state\":\"alive\"", cell_size(c));
	}
}

static void expect_not_run(struct cell *c, struct reply *r, const char *what)
{
	cr_assert(operator_wait(c, r, WAIT_MS), "%s: no answer", what);
	cr_expect_eq(r->status, 503, "%s: %u %s", what, r->status, r->head);
	cr_expect_str_eq(r->outcome, "not_run", "%s: %s", what, r->head);
	cr_expect_gt(r->retry_after_s, 0, "%s: %s", what, r->head);
}

/* Sends 5 requests to each daemon of one data centre and returns their outcomes. */
static struct request_outcomes serve(struct cell *c, const char *service, unsigned int dc)
{
	struct request_set *set = request_set_create(c, service);
	struct request_outcomes sum;

	for (unsigned int i = 0; i < two_dcs.daemons; i++)
		request_set_send(set, dc * two_dcs.daemons + i, 5, "\"delay_ms\":20");
	sum = request_set_wait(set, WAIT_MS);
	request_set_destroy(set);
	return sum;
}

static void expect_refusals(struct cell *c, unsigned int dc)
{
	unsigned int i = dc * two_dcs.daemons;
	struct config_change ch = change_of(&homes[0], "late", WORK_BATCH);

	for (unsigned int h = 0; h < G_N_ELEMENTS(homes); h++)
		expect_not_run(c,
			       operator_submit(c, i + 1, homes[h].team, homes[h].batch, LATER_JOB,
					       TASKS, 100),
			       homes[h].team);
	expect_not_run(c, operator_publish(c, i, "ann", 20, &ch, 1), "publish");
	if (dc != 0)
		expect_not_run(c, cell_request(c, i, CELL_ONCE, "{}", 10000, operator_job_id(2)),
			       "key");
}

static void expect_autonomous(struct cell *c, const struct cutoff_case *cc)
{
	const struct home *home = &homes[cc->dc];
	struct request_outcomes sum = serve(c, CELL_REPEAT, cc->dc);

	cr_expect_eq(sum.complete, 15, "%u complete", sum.complete);
	sum = serve(c, CELL_ONCE, cc->dc);
	cr_expect_eq(sum.complete, cc->once_complete, "%u complete", sum.complete);
	cr_expect_eq(sum.not_run, 15 - cc->once_complete, "%u not run", sum.not_run);
	expect_refusals(c, cc->dc);
	wait_tasks(c, (struct wanted_tasks){ .job = JOB, .done = TASKS });
	wait_tasks(c, (struct wanted_tasks){ .service = home->watch, .running = SERVICE_TASKS });
}

static void expect_recovery(struct cell *c, const struct cutoff_case *cc)
{
	const struct home *home = &homes[cc->dc];
	unsigned int i = cc->dc * two_dcs.daemons;
	struct reply *r;

	reconnect(c);
	cr_expect(operator_wait_job(c, i, JOB, "done", WAIT_MS));
	r = operator_submit(c, i, home->team, home->batch, LATER_JOB, TASKS, 100);
	cr_assert(operator_wait(c, r, WAIT_MS));
	cr_expect_eq(r->status, 202, "%u %s", r->status, r->head);
	cr_expect(operator_wait_job(c, i, LATER_JOB, "done", WAIT_MS));
	for (unsigned int dc = 0; dc < cell_dcs(c); dc++) {
		wait_tasks(c, (struct wanted_tasks){ .service = homes[dc].watch,
						     .running = SERVICE_TASKS });
		cr_expect_eq(serve(c, CELL_REPEAT, dc).complete, 15, "after reconnecting, %u", dc);
		cr_expect_eq(serve(c, CELL_ONCE, dc).complete, 15, "after reconnecting, %u", dc);
	}
	cell_sleep(c, QUIET_MS);
	cr_expect_eq(task_sum_job(c, JOB).starts, TASKS);
	cr_expect_eq(task_sum_job(c, LATER_JOB).starts, TASKS);
	cr_expect_eq(task_sum_service(c, home->watch).starts, SERVICE_TASKS);
}

static void run_case(const struct cutoff_case *cc)
{
	struct cell *c = cell_create(&two_dcs);
	unsigned int i = cc->dc * two_dcs.daemons;
	struct reply *r;

	publish_homes(c);
	for (unsigned int h = 0; h < G_N_ELEMENTS(homes); h++)
		wait_tasks(c, (struct wanted_tasks){ .service = homes[h].watch,
						     .running = SERVICE_TASKS });
	r = operator_submit(c, i, homes[cc->dc].team, homes[cc->dc].batch, JOB, TASKS, RUN_MS);
	cr_assert(operator_wait(c, r, WAIT_MS));
	cr_assert_eq(r->status, 202, "%u %s", r->status, r->head);
	wait_tasks(c, (struct wanted_tasks){ .job = JOB, .running = TASKS });
	cut_off(c, cc->dc);
	expect_autonomous(c, cc);
	expect_recovery(c, cc);
	cr_expect_eq(cell_check(c, GRACE_US), 0);
	cell_destroy(c);
}

Test(cutoff, of_the_home_of_the_keys, .timeout = 60)
{
	run_case(&(struct cutoff_case){ .dc = 0, .once_complete = 15 });
}

Test(cutoff, of_another_data_centre, .timeout = 60)
{
	run_case(&(struct cutoff_case){ .dc = 1, .once_complete = 0 });
}
