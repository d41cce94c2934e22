#include <criterion/criterion.h>

#include "version/access.h"

#define MAX_AGE_MS 4750
#define KEYS_MANY  10000

static struct queues *configuration(bool with_teams)
{
	static const char *const keys[] = { "k1", "k2" };
	static const char *const more[] = { "k3", "k1" };
	const struct queue closed = { .name = "q", .host = "h", .prefix = "/q/", .service = "s" };
	const struct queue open = {
		.name = "p", .host = "h", .prefix = "/p/", .service = "s", .public_access = true
	};
	const struct team t = { .name = "t", .weight = 3 };
	const struct team u = { .name = "u", .weight = 1 };
	struct queues *q = queues_create(1);
	struct teams *teams;

	queues_add(q, &closed);
	queues_add(q, &open);
	if (!with_teams)
		return q;
	teams = teams_create();
	teams_add(teams, &t, keys, G_N_ELEMENTS(keys));
	teams_add(teams, &u, more, G_N_ELEMENTS(more));
	queues_set_teams(q, teams);
	return q;
}

struct access_case {
	const char *name;
	bool with_teams;
	const char *queue;
	const char *key;
	int64_t age_ms; /* of the configuration */
	uint32_t max_age_ms;
	enum access_result expected;
	const char *team; /* NULL for none */
};

/*
 * A call with a key that no configuration holds was served, and one with a withdrawn key by a node
 * that had lost the store.
 */
Test(access, key_and_age_of_the_configuration)
{
	static const struct access_case cases[] = {
		{ "known key", true, "q", "k1", 10, MAX_AGE_MS, ACCESS_OK, "t" },
		{ "second key", true, "q", "k2", 10, MAX_AGE_MS, ACCESS_OK, "t" },
		{ "other team", true, "q", "k3", 10, MAX_AGE_MS, ACCESS_OK, "u" },
		{ "unknown key", true, "q", "k9", 10, MAX_AGE_MS, ACCESS_UNKNOWN_KEY, NULL },
		{ "no key", true, "q", NULL, 10, MAX_AGE_MS, ACCESS_UNKNOWN_KEY, NULL },
		{ "empty key", true, "q", "", 10, MAX_AGE_MS, ACCESS_UNKNOWN_KEY, NULL },
		{ "a team's name is no key", true, "q", "t", 10, MAX_AGE_MS, ACCESS_UNKNOWN_KEY,
		  NULL },
		{ "prefix of a key", true, "q", "k", 10, MAX_AGE_MS, ACCESS_UNKNOWN_KEY, NULL },
		{ "public queue", true, "p", NULL, 10, MAX_AGE_MS, ACCESS_OK, NULL },
		{ "public queue, any key", true, "p", "k9", 10, MAX_AGE_MS, ACCESS_OK, NULL },
		{ "public queue, store lost", true, "p", NULL, 60000, MAX_AGE_MS, ACCESS_OK, NULL },
		{ "just in time", true, "q", "k1", MAX_AGE_MS - 1, MAX_AGE_MS, ACCESS_OK, "t" },
		{ "too old", true, "q", "k1", MAX_AGE_MS, MAX_AGE_MS, ACCESS_STALE_CONFIG, NULL },
		{ "too old for an unknown key", true, "q", "k9", 60000, MAX_AGE_MS,
		  ACCESS_STALE_CONFIG, NULL },
		{ "no limit on the age", true, "q", "k1", 60000, 0, ACCESS_OK, "t" },
		{ "no teams", false, "q", NULL, 60000, MAX_AGE_MS, ACCESS_OK, NULL },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct queues *q = configuration(cases[i].with_teams);
		const struct access_request req = { .queues = q,
						    .queue = queues_find(q, cases[i].queue),
						    .key = cases[i].key,
						    .confirmed_ms = 1000000 - cases[i].age_ms,
						    .now_ms = 1000000,
						    .max_age_ms = cases[i].max_age_ms };
		const struct team *team;

		cr_expect_eq(access_check(&req, &team), cases[i].expected, "%s", cases[i].name);
		cr_expect_eq(team != NULL, cases[i].team != NULL, "%s", cases[i].name);
		if (team && cases[i].team)
			cr_expect_str_eq(team->name, cases[i].team, "%s", cases[i].name);
		queues_destroy(q);
	}
}

/* A key is shared by mistake: it must not move from one team to another with a change of order. */
Test(access, first_owner_keeps_a_key)
{
	struct queues *q = configuration(true);

	cr_expect_str_eq(teams_by_key(queues_teams(q), "k1")->name, "t");
	cr_expect_eq(teams_key_count(queues_teams(q)), 3);
	queues_destroy(q);
}

Test(access, each_of_many_keys_finds_its_team)
{
	struct teams *teams = teams_create();

	for (int i = 0; i < KEYS_MANY; i++) {
		g_autofree char *name = g_strdup_printf("team-%d", i / 2);
		g_autofree char *key = g_strdup_printf("key-%d", i);
		const char *const keys[] = { key };
		const struct team team = { .name = name, .weight = (uint32_t)i };

		teams_add(teams, &team, keys, 1);
	}
	cr_expect_eq(teams_key_count(teams), KEYS_MANY);
	cr_expect_eq(teams_by_key(teams, "key-0")->weight, 0);
	cr_expect_eq(teams_by_key(teams, "key-9999")->weight, KEYS_MANY - 1);
	teams_destroy(teams);
}
