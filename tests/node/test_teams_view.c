#include <string.h>

#include <criterion/criterion.h>
#include <json-glib/json-glib.h>

#include "request/teams_view.h"

#define GIB	   (1LL << 30)
#define SECRET_KEY "0123456789abcdefghij"

static struct queues *configuration(uint64_t version, bool with_teams)
{
	const char *const keys[] = { SECRET_KEY, "another-secret" };
	const struct team team = { .name = "hot", .weight = 4 };
	struct queues *q = queues_create(version);
	struct teams *teams;

	if (!with_teams)
		return q;
	teams = teams_create();
	teams_add(teams, &team, keys, G_N_ELEMENTS(keys));
	queues_set_teams(q, teams);
	return q;
}

struct node_case {
	const char *what;
	uint64_t version; /* 0: no configuration */
	bool with_teams;
	int64_t age_ms;
	bool keys_usable;
	const char *expected;
};

/* A wrong version or age would hide a VM that still accepts withdrawn keys. */
Test(teams_view, node)
{
	static const struct node_case cases[] = {
		{ "no configuration yet", 0, false, -1, false,
		  "{\"vm\":\"a\",\"config_version\":null,\"config_age_ms\":null,"
		  "\"keys_usable\":false,\"team_count\":0,\"key_count\":0,\"scheduler\":false}" },
		{ "teams", 7, true, 120, true,
		  "{\"vm\":\"a\",\"config_version\":7,\"config_age_ms\":120,"
		  "\"keys_usable\":true,\"team_count\":1,\"key_count\":2,\"scheduler\":false}" },
		{ "a configuration that can't be confirmed", 8, true, 9000, false,
		  "{\"vm\":\"a\",\"config_version\":8,\"config_age_ms\":9000,"
		  "\"keys_usable\":false,\"team_count\":1,\"key_count\":2,\"scheduler\":false}" },
		{ "a cell without teams", 9, false, 0, true,
		  "{\"vm\":\"a\",\"config_version\":9,\"config_age_ms\":0,"
		  "\"keys_usable\":true,\"team_count\":0,\"key_count\":0,\"scheduler\":false}" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct node_case *c = &cases[i];
		struct queues *q = c->version ? configuration(c->version, c->with_teams) : NULL;
		const struct teams_view_node node = { .vm = "a",
						      .queues = q,
						      .config_age_ms = c->age_ms,
						      .keys_usable = c->keys_usable };
		struct teams_view *v = teams_view_create(&node);
		g_autofree char *text = teams_view_end(v);

		cr_expect_str_eq(text, c->expected, "%s", c->what);
		cr_expect_null(strstr(text, SECRET_KEY), "%s", c->what);
		teams_view_destroy(v);
		queues_destroy(q);
	}
}

struct team_case {
	const char *what;
	struct resources capacity;
	struct scheduler_team team;
	struct admit_rejections rejections;
	double cpu_cap; /* negative: no limit */
	double mem_cap;
	double accel_cap;
	double share_percent;
};

static const struct team_case team_cases[] = {
	{ "CPU is the dominant resource",
	  { 100000, 400 * GIB, 10 },
	  { "t", 4, { 20000, 64 * GIB, 8 }, { 12500, 40 * GIB, 1 }, 25, 6, 3 },
	  { 5, 7 },
	  20,
	  64,
	  8,
	  12.5 },
	{ "accelerators are the dominant resource",
	  { 100000, 400 * GIB, 10 },
	  { "t", 1, { 0, 0, 4 }, { 1000, GIB, 3 }, 3, 0, 0 },
	  { 0 },
	  -1,
	  -1,
	  4,
	  30 },
	{ "memory is the dominant resource, no accelerators in the cell",
	  { 100000, 400 * GIB, 0 },
	  { "t", 1, { 0 }, { 1000, 100 * GIB, 0 }, 3, 0, 0 },
	  { 0 },
	  -1,
	  -1,
	  -1,
	  25 },
	{ "no usable runner",
	  { 0 },
	  { "t", 0, { 0 }, { 1000, GIB, 0 }, 1, 0, 0 },
	  { 0 },
	  -1,
	  -1,
	  -1,
	  0 },
};

static void expect_cap(JsonObject *team, const char *name, double expected, const char *what)
{
	if (expected < 0)
		cr_expect(json_object_get_null_member(team, name), "%s: %s", what, name);
	else
		cr_expect_float_eq(json_object_get_double_member(team, name), expected, 1e-9,
				   "%s: %s", what, name);
}

static void check_team(JsonObject *team, const struct team_case *c)
{
	cr_expect_str_eq(json_object_get_string_member(team, "name"), c->team.name);
	cr_expect_eq(json_object_get_int_member(team, "weight"), c->team.weight, "%s", c->what);
	cr_expect_float_eq(json_object_get_double_member(team, "cpu_used"),
			   (double)c->team.used.cpu_milli / 1000, 1e-9, "%s", c->what);
	cr_expect_float_eq(json_object_get_double_member(team, "mem_used"),
			   (double)c->team.used.mem_bytes / (double)GIB, 1e-9, "%s", c->what);
	cr_expect_eq(json_object_get_int_member(team, "accel_used"), c->team.used.accel, "%s",
		     c->what);
	expect_cap(team, "cpu_cap", c->cpu_cap, c->what);
	expect_cap(team, "mem_cap", c->mem_cap, c->what);
	expect_cap(team, "accel_cap", c->accel_cap, c->what);
	cr_expect_float_eq(json_object_get_double_member(team, "share_percent"), c->share_percent,
			   1e-9, "%s", c->what);
	cr_expect_eq(json_object_get_int_member(team, "runs"), c->team.runs, "%s", c->what);
	cr_expect_eq(json_object_get_int_member(team, "waiting_jobs"), c->team.waiting_jobs, "%s",
		     c->what);
	cr_expect_eq(json_object_get_int_member(team, "tasks_held_back"), c->team.held_back, "%s",
		     c->what);
	cr_expect_eq(json_object_get_int_member(team, "rejected_capacity"), c->rejections.capacity,
		     "%s", c->what);
	cr_expect_eq(json_object_get_int_member(team, "rejected_backlog"), c->rejections.backlog,
		     "%s", c->what);
}

/* Guards against mixed-up units, caps of 0 shown as a limit, and a division by zero. */
Test(teams_view, teams)
{
	static const struct teams_view_node node = { .vm = "a" };

	for (size_t i = 0; i < G_N_ELEMENTS(team_cases); i++) {
		const struct team_case *c = &team_cases[i];
		struct teams_view *v = teams_view_create(&node);
		g_autoptr(JsonNode) root = NULL;
		g_autofree char *text = NULL;
		JsonObject *view;

		teams_view_begin_teams(v, &c->capacity);
		teams_view_add_team(v, &c->team, &c->rejections);
		text = teams_view_end(v);
		root = json_from_string(text, NULL);
		cr_assert_not_null(root, "%s: %s", c->what, text);
		view = json_node_get_object(root);
		cr_expect(json_object_get_boolean_member(view, "scheduler"), "%s", c->what);
		cr_assert_eq(json_array_get_length(json_object_get_array_member(view, "teams")), 1);
		check_team(json_array_get_object_element(
				   json_object_get_array_member(view, "teams"), 0),
			   c);
		teams_view_destroy(v);
	}
}

/* A scheduler without teams still says that it is the scheduler. */
Test(teams_view, scheduler_without_teams)
{
	static const struct teams_view_node node = { .vm = "a" };
	static const struct resources capacity = { 0 };
	struct teams_view *v = teams_view_create(&node);
	g_autofree char *text = NULL;

	teams_view_begin_teams(v, &capacity);
	text = teams_view_end(v);
	cr_expect_not_null(strstr(text, "\"scheduler\":true,\"teams\":[]}"), "%s", text);
	teams_view_destroy(v);
}
