#include <string.h>

#include <criterion/criterion.h>

#include "decode.h"

#define ID "00000000000000a1"

/* More levels than the stack of a recursive parser holds. */
#define NESTED_LEVELS 200000

/* Returns before, then an opening text per level. */
static char *nested_text(const char *before, const char *opening)
{
	GString *text = g_string_new(before);

	for (uint32_t i = 0; i < NESTED_LEVELS; i++)
		g_string_append(text, opening);
	return g_string_free(text, FALSE);
}

/* One deeply nested text ended each process that read it: the JSON library recurses. */
Test(decode, deep_nesting_is_rejected)
{
	static const struct {
		const char *name;
		const char *before;
		const char *opening;
	} cases[] = {
		{ "arrays", "", "[" },
		{ "objects", "", "{\"a\":" },
		{ "a member of an entry", "{\"service\":\"s\",\"labels\":", "[" },
		{ "a member of a job", "{\"spec\":\"s\",\"steps\":[{\"after\":", "[" },
		{ "a member of the configuration", "{\"version\":1,\"routes\":", "[{\"a\":" },
		{ "behind a quote in a comment", "{\"a\":/*\"*/", "[" },
		{ "behind a quote in single quotes", "{\"a\":'\"',\"b\":", "[" },
	};
	const struct queue queue = { .name = "q", .service = "s" };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = nested_text(cases[i].before, cases[i].opening);
		size_t size = strlen(text);
		struct runner_info info;
		JsonNode *root = NULL;
		const char *error;

		cr_expect_not(decode_runner("r", text, size, &info, &root), "%s", cases[i].name);
		cr_expect_null(root, "%s", cases[i].name);
		cr_expect_null(decode_queues(text, size, &error), "%s", cases[i].name);
		cr_expect_null(decode_job(ID, &queue, NULL, text, size, 0, &error), "%s",
			       cases[i].name);
	}
}

struct runner_case {
	const char *name;
	const char *text;
	bool usable;
	bool draining;
};

/* Entries may come from other writers, so invalid ones must be rejected. */
Test(decode, runner_validity)
{
	static const struct runner_case cases[] = {
		{ "complete",
		  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":"
		  "\"ready\","
		  "\"capacity\":{\"cpu\":16000,\"mem-mb\":32,\"gpu\":2},\"labels\":[\"a\",\"r1\"],"
		  "\"born\":7,\"seq\":4}",
		  true, false },
		{ "draining, without labels",
		  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":"
		  "\"draining\","
		  "\"capacity\":{\"cpu\":1,\"mem-mb\":1}}",
		  true, true },
		{ "unknown state",
		  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":\"odd\","
		  "\"capacity\":{\"cpu\":1,\"mem-mb\":1}}",
		  false },
		{ "no capacity",
		  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":"
		  "\"ready\"}",
		  false },
		{ "capacity of another type",
		  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":"
		  "\"ready\","
		  "\"capacity\":{\"cpu\":\"many\",\"mem-mb\":1}}",
		  false },
		{ "address without a port",
		  "{\"service\":\"s\",\"address\":\"10.0.0.1\",\"zone\":\"z\",\"state\":\"ready\","
		  "\"capacity\":{\"cpu\":1,\"mem-mb\":1}}",
		  false },
		{ "service is a number",
		  "{\"service\":5,\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":\"ready\","
		  "\"capacity\":{\"cpu\":1,\"mem-mb\":1}}",
		  false },
		{ "an array", "[]", false },
		{ "truncated", "{\"service\":\"s\"", false },
		{ "not UTF-8", "\xff\xfe\x00", false },
		{ "empty", "", false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct runner_info info;
		JsonNode *root = NULL;
		bool ok = decode_runner("r", cases[i].text, strlen(cases[i].text), &info, &root);

		cr_expect_eq(ok, cases[i].usable, "%s", cases[i].name);
		if (ok)
			cr_expect_eq(info.draining, cases[i].draining, "%s", cases[i].name);
		if (root)
			json_node_unref(root);
	}
}

Test(decode, runner_fields)
{
	const char *text =
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"state\":\"ready\",\"capacity\":{\"cpu\":16000,\"mem-mb\":2,\"gpu\":3},"
		"\"labels\":[\"kind\",\"rack\"],\"born\":1765000000123,\"time-ms\":55}";
	struct runner_info info;
	JsonNode *root;

	cr_assert(decode_runner("r", text, strlen(text), &info, &root));
	cr_assert_eq(info.capacity.cpu_milli, 16000);
	cr_assert_eq(info.capacity.mem_bytes, 2097152);
	cr_assert_eq(info.capacity.accel, 3);
	cr_assert_str_eq(info.rack, "rack");
	cr_assert_str_eq(info.label[0], "kind");
	cr_assert_eq(info.incarnation_ms, 1765000000123);
	cr_assert_eq(info.clock_ms, 55);
	json_node_unref(root);
}

struct config_case {
	const char *name;
	const char *text;
	bool usable;
};

Test(decode, config_validity)
{
	static const struct config_case cases[] = {
		{ "complete",
		  "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/p/\","
		  "\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}]}",
		  true },
		{ "empty list of routes", "{\"version\":7,\"routes\":[]}", true },
		{ "no version", "{\"routes\":[]}", false },
		{ "routes are an object", "{\"version\":7,\"routes\":{}}", false },
		{ "a route without service",
		  "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/p/\"}]}",
		  false },
		{ "a route is a number", "{\"version\":7,\"routes\":[5]}", false },
		{ "not JSON", "version: 7", false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *error = NULL;
		struct queues *q = decode_queues(cases[i].text, strlen(cases[i].text), &error);

		cr_expect_eq(q != NULL, cases[i].usable, "%s", cases[i].name);
		cr_expect_eq(error == NULL, cases[i].usable, "%s", cases[i].name);
		queues_destroy(q);
	}
}

Test(decode, routes_by_host_and_longest_prefix)
{
	const char *text =
		"{\"version\":7,\"routes\":["
		"{\"name\":\"a\",\"host\":\"h.example\",\"prefix\":\"/p/\",\"service\":\"s\"},"
		"{\"name\":\"b\",\"host\":\"h.example\",\"prefix\":\"/p/q/\",\"service\":\"s\","
		"\"advisor\":{\"decide-ms\":17.5,\"interval-ms\":0.24},\"stretch\":1.5}]}";
	const char *error;
	const char *rest;
	struct queues *q = decode_queues(text, strlen(text), &error);

	cr_assert_not_null(q);
	cr_assert_str_eq(queues_route(q, "h.example", "/p/x", &rest)->name, "a");
	cr_assert_str_eq(rest, "x");
	cr_assert_str_eq(queues_route(q, "H.Example:80", "/p/q/x", &rest)->name, "b");
	cr_assert_null(queues_route(q, "other", "/p/x", &rest));
	cr_assert_null(queues_route(q, "h.example", "/x", &rest));
	cr_assert_eq(queues_find(q, "b")->advice_base_us, 17500);
	cr_assert_eq(queues_find(q, "b")->advice_per_runner_us, 240);
	cr_assert_eq(queues_find(q, "b")->stretch_milli, 1500);
	cr_assert(queues_find(q, "b")->advised);
	cr_assert_not(queues_find(q, "a")->advised);
	queues_destroy(q);
}

Test(decode, teams_of_a_configuration)
{
	const char *text = "{\"version\":7,\"routes\":["
			   "{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/p/"
			   "\",\"service\":\"s\",\"public\":true},"
			   "{\"name\":\"b\",\"host\":\"h\",\"prefix\":\"/q/"
			   "\",\"service\":\"s\",\"public\":false}],"
			   "\"tenants\":[{\"name\":\"t\",\"keys\":[\"k1\",7,\"k2\"],\"priority\":1,"
			   "\"weight\":31,"
			   "\"cap\":{\"cpu\":8000,\"mem-mb\":2,\"gpu\":3}},"
			   "{\"name\":\"u\",\"keys\":[]},{\"keys\":[\"k3\"]},5]}";
	const char *error;
	struct queues *q = decode_queues(text, strlen(text), &error);
	const struct teams *teams = queues_teams(q);

	cr_assert_not_null(teams);
	cr_expect(queues_find(q, "a")->public_access);
	cr_expect_not(queues_find(q, "b")->public_access);
	cr_assert_eq(teams_count(teams), 2, "a team without a name is left out");
	cr_assert_not_null(teams_by_key(teams, "k2"));
	cr_expect_str_eq(teams_by_key(teams, "k2")->name, "t");
	cr_expect_eq(teams_by_key(teams, "k1")->weight, 31);
	cr_expect_eq(teams_by_key(teams, "k1")->cap.cpu_milli, 8000);
	cr_expect_eq(teams_by_key(teams, "k1")->cap.mem_bytes, INT64_C(2) * 1048576);
	cr_expect_eq(teams_by_key(teams, "k1")->cap.accel, 3);
	cr_expect_eq(teams_find(teams, "u")->cap.cpu_milli, 0, "no limit");
	cr_expect_null(teams_by_key(teams, "k3"));
	cr_expect_null(teams_by_key(teams, "t"));
	queues_destroy(q);
}

struct job_case {
	const char *name;
	const char *text;
	bool valid;
};

Test(decode, job_validity)
{
	static const struct job_case cases[] = {
		{ "plain", "{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem-mb\":256}]}",
		  true },
		{ "unknown members", "{\"new\":1,\"steps\":[{\"count\":1,\"odd\":[]}]}", true },
		{ "no steps", "{\"spec\":\"x\"}", false },
		{ "steps are a number", "{\"steps\":5}", false },
		{ "a step is a string", "{\"steps\":[\"x\"]}", false },
		{ "step without tasks", "{\"steps\":[{\"count\":0}]}", false },
		{ "after a later step", "{\"steps\":[{\"count\":1,\"after\":[3]}]}", false },
		{ "after a string", "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[\"x\"]}]}",
		  false },
		{ "too many tasks", "{\"steps\":[{\"count\":1000000}]}", false },
		{ "not JSON", "steps", false },
		{ "empty", "", false },
	};
	const struct queue queue = { .name = "q", .service = "s" };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *error = NULL;
		Cell__Job *job = decode_job(ID, &queue, NULL, cases[i].text, strlen(cases[i].text),
					    1, &error);

		cr_expect_eq(job != NULL, cases[i].valid, "%s", cases[i].name);
		cr_expect_eq(error == NULL, cases[i].valid, "%s", cases[i].name);
		if (job)
			cell__job__free_unpacked(job, NULL);
	}
}

Test(decode, payload_limit)
{
	const struct queue queue = { .name = "q", .service = "s" };
	g_autofree char *long_text = g_strnfill(4001, 'x');
	g_autofree char *text =
		g_strdup_printf("{\"spec\":\"%s\",\"steps\":[{\"count\":1}]}", long_text);
	const char *error = NULL;

	cr_assert_null(decode_job(ID, &queue, NULL, text, strlen(text), 1, &error));
	cr_assert_not_null(error);
}
