#include <signal.h>
#include <string.h>

#include <criterion/criterion.h>

#include "operator.h"

#define WAIT_MS	      15000
#define GRACE_US      2000000
#define ALL_DAEMONS   7U /* bit mask of all daemons */
#define ROUNDS	      5
#define FIRST_VERSION 1 /* version after cell_create() */
#define LOG_RECORD    "/v1/streams/config/records?from=1000000&max=1"

static const struct cell_conf one_dc = { .dcs = 1, .daemons = 3, .workers = 1, .slots = 2 };

static void end_cell(struct cell *c, struct version_sampler *s)
{
	cr_expect_eq(version_sampler_end(s), 0, "a version went backwards");
	cr_expect_eq(cell_check(c, GRACE_US), 0);
	cell_destroy(c);
}

static struct config_change change_of(const char *service, uint64_t base)
{
	return operator_service(service, WORK_REQUEST,
				strcmp(service, CELL_ONCE) ? IDEMPOTENT : NON_IDEMPOTENT, base);
}

static struct reply *publish(struct cell *c, unsigned int i, const char *author, uint64_t nonce,
			     uint64_t base)
{
	struct config_change ch = change_of(CELL_REPEAT, base);

	return operator_publish(c, i, author, nonce, &ch, 1);
}

static void expect_everywhere(struct cell *c, uint64_t version)
{
	cr_expect(operator_wait_version(c, ALL_DAEMONS, version, WAIT_MS),
		  "not all daemons have version %" G_GUINT64_FORMAT, version);
	for (unsigned int i = 0; i < cell_size(c); i++)
		cr_expect_eq(operator_version(c, i), version, "%s", cell_daemon_name(c, i));
}

/* Two concurrent publishes, for one service or for two. */
struct race_case {
	const char *service[2];
	unsigned int wins;
};

static const struct race_case race_cases[] = {
	{ { CELL_REPEAT, CELL_ONCE }, 2 },
	{ { CELL_REPEAT, CELL_REPEAT }, 1 },
};

/* One round. base holds the version of each of the two services and is updated. */
static void race(struct cell *c, const struct race_case *rc, uint64_t nonce, uint64_t base[2])
{
	static const char *const authors[] = { "ann", "ben" };
	struct reply *r[2];
	unsigned int wins = 0;

	for (unsigned int k = 0; k < 2; k++) {
		struct config_change ch = change_of(rc->service[k], base[k]);

		r[k] = operator_publish(c, k, authors[k], nonce + k, &ch, 1);
	}
	for (unsigned int k = 0; k < 2; k++) {
		cr_assert(operator_wait(c, r[k], WAIT_MS));
		wins += r[k]->status == 200;
		if (r[k]->status == 200) {
			base[k] = operator_number(r[k], "version");
			continue;
		}
		cr_expect_eq(r[k]->status, 409, "%u %s", r[k]->status, r[k]->head);
		cr_expect_str_eq(r[k]->outcome, "not_run");
		cr_expect_not_null(strstr(r[k]->head, authors[1 - k]), "%s", r[k]->head);
	}
	cr_expect_eq(wins, rc->wins, "%s, %s: %u accepted", rc->service[0], rc->service[1], wins);
	if (rc->wins == 1)
		base[0] = base[1] = MAX(base[0], base[1]);
}

Test(config_failures, concurrent_publishes, .timeout = 60)
{
	struct cell *c = cell_create(&one_dc);
	struct version_sampler *s = version_sampler_create(c);
	uint64_t base[2] = { FIRST_VERSION, FIRST_VERSION };
	uint64_t version = FIRST_VERSION;
	uint64_t nonce = 100;

	for (size_t i = 0; i < G_N_ELEMENTS(race_cases); i++) {
		for (unsigned int n = 0; n < ROUNDS; n++, nonce += 2) {
			race(c, &race_cases[i], nonce, base);
			version += race_cases[i].wins;
		}
		base[1] = base[0];
		expect_everywhere(c, version);
	}
	end_cell(c, s);
}

/* ctx is a text that each daemon's status has to contain. */
static bool log_state_is(struct cell *c, void *ctx)
{
	for (unsigned int i = 0; i < cell_size(c); i++) {
		struct reply *r = cell_send(c, i, "GET", "/v1/status", NULL, NULL);

		if (!operator_wait(c, r, WAIT_MS) || !strstr(r->head, ctx))
			return false;
	}
	return true;
}

Test(config_failures, log_down_and_up, .timeout = 60)
{
	static const char *const faults[] = { "{\"down\":true}", "{\"down\":\"drop\"}" };
	struct cell *c = cell_create(&one_dc);
	struct version_sampler *s = version_sampler_create(c);
	uint64_t version = FIRST_VERSION;

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct reply *r;

		cell_platform_fault(c, faults[i]);
		cr_assert(cell_wait_until(c, log_state_is, "\"log_reachable\":false", WAIT_MS));
		r = publish(c, 0, "ann", 200 + i, version);
		cr_assert(operator_wait(c, r, WAIT_MS));
		cr_expect_eq(r->status, 503, "%s: %u %s", faults[i], r->status, r->head);
		cr_expect_str_eq(r->outcome, "not_run", "%s: %s", faults[i], r->head);
		cr_expect_gt(r->retry_after_s, 0);
		expect_everywhere(c, version);
		cell_platform_fault(c, "{\"down\":false}");
		cr_assert(cell_wait_until(c, log_state_is, "\"log_reachable\":true", WAIT_MS));
		r = publish(c, 1, "ann", 300 + i, version);
		cr_assert(operator_wait(c, r, WAIT_MS));
		cr_assert_eq(r->status, 200, "%u %s", r->status, r->head);
		expect_everywhere(c, ++version);
	}
	end_cell(c, s);
}

Test(config_failures, append_reply_lost, .timeout = 60)
{
	struct cell *c = cell_create(&one_dc);
	struct version_sampler *s = version_sampler_create(c);

	for (uint64_t n = 0; n < ROUNDS; n++) {
		struct reply *first;
		struct reply *again;

		cell_platform_fault(c, "{\"lose_ack\":1}");
		first = publish(c, 0, "ann", 400 + n, FIRST_VERSION + n);
		cr_assert(operator_wait(c, first, WAIT_MS));
		cr_expect(first->status == 200 || !strcmp(first->outcome, "unknown"), "%u %s",
			  first->status, first->head);
		again = publish(c, n % 3, "ann", 400 + n, FIRST_VERSION + n);
		cr_assert(operator_wait(c, again, WAIT_MS));
		cr_expect_eq(again->status, 200, "%u %s", again->status, again->head);
		cr_expect_eq(operator_number(again, "version"), FIRST_VERSION + n + 1);
		if (first->status == 200)
			cr_expect_eq(operator_number(first, "version"), FIRST_VERSION + n + 1);
		expect_everywhere(c, FIRST_VERSION + n + 1);
	}
	end_cell(c, s);
}

/* Restarts a daemon. It must have the version as soon as it reports ready. */
static void restart(struct cell *c, struct version_sampler *s, unsigned int i, uint64_t version)
{
	struct reply *r;

	version_sampler_restarted(s, i);
	cell_daemon_start(c, i);
	do {
		cell_sleep(c, 20);
		r = cell_send(c, i, "GET", "/readyz", NULL, NULL);
		cr_assert(operator_wait(c, r, WAIT_MS));
	} while (r->status != 200);
	cr_expect_geq(operator_number(r, "config_version"), version,
		      "ready without the version: %s", r->head);
}

static void publish_some(struct cell *c, uint64_t nonce, uint64_t *version)
{
	for (unsigned int n = 0; n < ROUNDS; n++, (*version)++) {
		struct config_change ch = change_of(CELL_REPEAT, *version);

		operator_must_publish(c, 0, nonce + n, &ch, 1, 3);
	}
}

/* Offset after the last record of the stream. */
static uint64_t log_next(struct cell *c)
{
	struct reply *r = cell_send_platform(c, "GET", LOG_RECORD, NULL);

	cr_assert(operator_wait(c, r, WAIT_MS) && r->status == 200, "%u", r->status);
	return operator_number(r, "next");
}

static void trim(struct cell *c, uint64_t before)
{
	g_autofree char *fault = g_strdup_printf(
		"{\"trim\":{\"stream\":\"config\",\"before\":%" G_GUINT64_FORMAT "}}", before);

	cell_platform_fault(c, fault);
}

Test(config_failures, records_dropped_while_a_daemon_was_down, .timeout = 60)
{
	struct cell *c = cell_create(&one_dc);
	struct version_sampler *s = version_sampler_create(c);
	uint64_t version = FIRST_VERSION;
	struct config_change ch;

	cell_daemon_signal(c, 2, SIGKILL);
	cell_daemon_wait_end(c, 2);
	publish_some(c, 500, &version);
	trim(c, log_next(c));
	restart(c, s, 2, version);
	expect_everywhere(c, version);
	ch = change_of(CELL_REPEAT, version);
	operator_must_publish(c, 2, 600, &ch, 1, ALL_DAEMONS);
	expect_everywhere(c, version + 1);
	end_cell(c, s);
}

Test(config_failures, daemon_started_while_the_log_is_down, .timeout = 60)
{
	struct cell *c = cell_create(&one_dc);
	struct version_sampler *s = version_sampler_create(c);
	uint64_t version = FIRST_VERSION;

	publish_some(c, 700, &version);
	cell_platform_fault(c, "{\"down\":true}");
	cell_daemon_signal(c, 2, SIGKILL);
	cell_daemon_wait_end(c, 2);
	version_sampler_restarted(s, 2);
	cell_daemon_start(c, 2);
	expect_everywhere(c, version);
	cell_platform_fault(c, "{\"down\":false}");
	cell_wait_ready(c, 2);
	expect_everywhere(c, version);
	end_cell(c, s);
}

Test(config_failures, all_daemons_restarted_after_records_were_dropped, .timeout = 60)
{
	static const struct cell_conf conf = { .dcs = 1,
					       .daemons = 3,
					       .workers = 1,
					       .slots = 2,
					       .more_settings = "snapshot_ms: 300\n" };
	struct cell *c = cell_create(&conf);
	struct version_sampler *s = version_sampler_create(c);
	uint64_t version = FIRST_VERSION;
	uint64_t end;

	publish_some(c, 800, &version);
	expect_everywhere(c, version);
	end = log_next(c);
	for (unsigned int n = 0; n < WAIT_MS / 100 && log_next(c) == end; n++)
		cell_sleep(c, 100);
	for (unsigned int i = 0; i < cell_size(c); i++) {
		cell_daemon_signal(c, i, SIGKILL);
		cell_daemon_wait_end(c, i);
	}
	/* Only the snapshots appended to the idle stream are left. */
	trim(c, end);
	for (unsigned int i = 0; i < cell_size(c); i++)
		restart(c, s, i, version);
	expect_everywhere(c, version);
	end_cell(c, s);
}
