#include <string.h>

#include <criterion/criterion.h>

#include "request_set.h"

#define MIB		 (1024L * 1024)
#define WAIT_MS		 30000
#define PEAK_MAX_BYTES	 (48 * MIB)
#define LEAVING_GRACE_US 2000000

struct answer_case {
	const char *name;
	const char *directive;
	int64_t answer_bytes;
	unsigned int requests;
	struct request_outcomes want;
};

static const struct answer_case answer_cases[] = {
	{ "short", NULL, -1, 8, { .complete = 8 } },
	{ "1 byte", "\"answer_bytes\":1", 1, 8, { .complete = 8 } },
	{ "empty", "\"answer_bytes\":0", 0, 2, { .complete = 2 } },
	{ "1 MiB", "\"answer_bytes\":1048576", MIB, 8, { .complete = 8 } },
	{ "64 MiB", "\"answer_bytes\":67108864", 64 * MIB, 2, { .complete = 2 } },
	{ "late", "\"delay_ms\":800", -1, 8, { .complete = 8 } },
	{ "sent twice by the runner", "\"duplicate\":true", -1, 8, { .complete = 8 } },
	{ "failed", "\"fail\":true", -1, 4, { .failed = 4 } },
};

static void expect_sum(const char *name, const struct request_outcomes *got,
		       const struct request_outcomes *want)
{
	cr_expect_eq(got->complete, want->complete, "%s: complete %u", name, got->complete);
	cr_expect_eq(got->not_run, want->not_run, "%s: not_run %u", name, got->not_run);
	cr_expect_eq(got->failed, want->failed, "%s: failed %u", name, got->failed);
	cr_expect_eq(got->unknown, want->unknown, "%s: unknown %u", name, got->unknown);
	cr_expect_eq(got->cut, want->cut, "%s: cut %u", name, got->cut);
	cr_expect_eq(got->no_answer, want->no_answer, "%s: no answer %u", name, got->no_answer);
	cr_expect_eq(got->wrong, want->wrong, "%s: wrong %u", name, got->wrong);
}

static const struct cell_conf two_dcs = { .dcs = 2, .daemons = 2, .workers = 2, .slots = 8 };

Test(answers, complete_through_every_daemon, .timeout = 120)
{
	struct cell *c = cell_create(&two_dcs);

	for (size_t i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
		const struct answer_case *k = &answer_cases[i];
		struct request_set *set = request_set_create(c, CELL_REPEAT);
		struct request_outcomes sum;

		request_set_expect_bytes(set, k->answer_bytes);
		for (unsigned int n = 0; n < k->requests; n++)
			request_set_send(set, n % cell_size(c), 1, k->directive);
		sum = request_set_wait(set, WAIT_MS);
		expect_sum(k->name, &sum, &k->want);
		request_set_destroy(set);
	}
	for (unsigned int i = 0; i < cell_size(c); i++)
		cr_expect_leq(cell_daemon_peak_bytes(c, i), PEAK_MAX_BYTES,
			      "%s used %ld bytes at its peak", cell_daemon_name(c, i),
			      (long)cell_daemon_peak_bytes(c, i));
	cr_expect_eq(cell_check(c, LEAVING_GRACE_US), 0);
	cell_destroy(c);
}

Test(answers, truncated_by_the_runner_never_reported_as_complete, .timeout = 120)
{
	static const char *const directives[] = {
		"\"answer_bytes\":100000,\"cut_after\":0",
		"\"answer_bytes\":100000,\"cut_after\":1",
		"\"answer_bytes\":100000,\"cut_after\":99999",
		"\"answer_bytes\":10485760,\"cut_after\":5000000",
	};
	struct cell *c = cell_create(&two_dcs);

	for (size_t i = 0; i < G_N_ELEMENTS(directives); i++) {
		struct request_set *set = request_set_create(c, CELL_ONCE);
		struct request_outcomes sum;

		request_set_send(set, 0, 2, directives[i]);
		request_set_send(set, cell_size(c) - 1, 2, directives[i]);
		sum = request_set_wait(set, WAIT_MS);
		cr_expect_eq(request_set_run_count(set), 4, "%s: %u runs", directives[i],
			     request_set_run_count(set));
		cr_expect_eq(sum.complete, 0, "%s: %u complete", directives[i], sum.complete);
		cr_expect_eq(sum.wrong, 0, "%s: %u wrong", directives[i], sum.wrong);
		cr_expect_eq(sum.cut + sum.failed + sum.unknown + sum.no_answer, 4);
		request_set_destroy(set);
	}
	cr_expect_eq(cell_check(c, LEAVING_GRACE_US), 0);
	cell_destroy(c);
}

Test(answers, out_of_order_matched_to_their_requests, .timeout = 120)
{
	struct cell *c = cell_create(&two_dcs);
	struct request_set *set = request_set_create(c, CELL_REPEAT);
	struct request_outcomes sum;

	for (unsigned int i = 0; i < 24; i++) {
		g_autofree char *directive =
			g_strdup_printf("\"delay_ms\":%u,\"answer_bytes\":%u", (24 - i) * 40, 5000);

		request_set_send(set, i % 2, 1, directive);
	}
	request_set_expect_bytes(set, 5000);
	sum = request_set_wait(set, WAIT_MS);
	cr_expect_eq(sum.complete, 24, "%u complete", sum.complete);
	cr_expect_eq(cell_check(c, LEAVING_GRACE_US), 0);
	request_set_destroy(set);
	cell_destroy(c);
}

/* An invalid request and the error that it gets. */
struct refusal_case {
	const char *method;
	const char *path;
	struct reply_header headers[4];
	const char *body;
	unsigned int status;
	const char *step;
	const char *detail; /* part of the detail */
};

#define TEAM                                                                                       \
	{                                                                                          \
		"Kw-Team", CELL_TEAM                                                               \
	}
#define REQUEST "/v1/requests/" CELL_REPEAT

static const struct refusal_case refusal_cases[] = {
	{ "POST", "/v1/requests/nix", { TEAM }, "{}", 404, "check", "no service" },
	{ "POST", REQUEST, { { NULL } }, "{}", 400, "check", "Kw-Team" },
	{ "POST", REQUEST, { { "Kw-Team", "nobody" } }, "{}", 403, "check", "no team" },
	{ "POST", REQUEST, { TEAM, { "Kw-Deadline-Ms", "0" } }, "{}", 504, "deadline", "expired" },
	{ "POST",
	  REQUEST,
	  { TEAM, { "Kw-Deadline-Ms", "soon" } },
	  "{}",
	  400,
	  "check",
	  "Kw-Deadline" },
	{ "POST", REQUEST, { TEAM, { "Idempotency-Key", "7" } }, "{}", 400, "check", "UUIDv7" },
	{ "PUT", REQUEST, { TEAM }, "{}", 405, "route", "PUT" },
	{ "GET", "/v2", { { NULL } }, NULL, 404, "route", "no such path" },
	{ "POST", "/v1/jobs", { { NULL } }, "no JSON", 400, "check", "JSON" },
	{ "POST", "/v1/jobs", { { NULL } }, "{}", 400, "check", "service" },
	{ "POST",
	  "/v1/jobs",
	  { { NULL } },
	  "{\"service\":\"nix\",\"team\":\"" CELL_TEAM "\"}",
	  404,
	  "check",
	  "no service" },
	{ "POST",
	  "/v1/jobs",
	  { { NULL } },
	  "{\"service\":\"" CELL_REPEAT "\",\"team\":\"" CELL_TEAM "\"}",
	  409,
	  "check",
	  "takes no jobs" },
	{ "POST", "/v1/config", { { NULL } }, "no record", 400, "publish", "not a configuration" },
	{ "GET", "/v1/explain", { { NULL } }, NULL, 400, "check", "service=" },
};

static bool reply_ended(struct cell *c, void *r)
{
	return ((struct reply *)r)->ended;
}

Test(answers, invalid_requests_get_the_stated_error, .timeout = 60)
{
	static const struct cell_conf one = { .dcs = 1, .daemons = 1, .workers = 1, .slots = 2 };
	struct cell *c = cell_create(&one);

	for (size_t i = 0; i < G_N_ELEMENTS(refusal_cases); i++) {
		const struct refusal_case *k = &refusal_cases[i];
		struct reply *r = cell_send(c, 0, k->method, k->path, k->body, k->headers);
		g_autofree char *step = g_strdup_printf("\"step\":\"%s\"", k->step);

		cr_assert(cell_wait_until(c, reply_ended, r, WAIT_MS));
		cr_expect_eq(r->status, k->status, "case %zu: %u", i, r->status);
		cr_expect_str_eq(r->outcome, "not_run", "case %zu: %s", i, r->outcome);
		cr_expect(strstr(r->head, step), "case %zu: %s", i, r->head);
		cr_expect(strstr(r->head, k->detail), "case %zu: %s", i, r->head);
	}
	cr_expect_eq(cell_check(c, LEAVING_GRACE_US), 0);
	cell_destroy(c);
}
