#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "settings.h"

#define EXAMPLE SOURCE_ROOT "/examples/knapweedwheeld.yaml"

#define BASE                                                                                       \
	"cell: c\nname: n\ndc: d\nregion: r\nlisten_host: 127.0.0.1\nplatform_url: "               \
	"http://127.0.0.1:9\nhttp_port: 1\nlink_port: 2\n" /* 8 lines */

static bool load_text(const char *text, struct settings **out, struct status *st)
{
	g_autofree char *path = NULL;
	int fd = g_file_open_tmp("kwsettings-XXXXXX", &path, NULL);
	bool ok;

	cr_assert_geq(fd, 0);
	g_close(fd, NULL);
	cr_assert(g_file_set_contents(path, text, -1, NULL));
	ok = settings_load(path, out, st);
	if (!ok) {
		/* The path is random, so the cases start after it. */
		cr_assert(g_str_has_prefix(st->message, path), "%s", st->message);
		memmove(st->message, st->message + strlen(path),
			strlen(st->message) - strlen(path) + 1);
	}
	g_unlink(path);
	return ok;
}

Test(settings, defaults)
{
	struct settings *s = NULL;
	struct status st = STATUS_INIT;

	cr_assert(load_text(BASE, &s, &st), "%s", st.message);
	cr_expect_str_eq(s->cell, "c");
	cr_expect_eq(s->link_port, 2);
	cr_expect_eq(s->lease_ms, 15000);
	cr_expect_eq(s->drain_ms, 30000);
	cr_expect_str_eq(s->policy, "default");
	settings_free(s);
}

struct invalid_case {
	const char *text;
	const char *message;
};

Test(settings, invalid_files)
{
	static const struct invalid_case cases[] = {
		{ "", ":1: the file must be a single mapping" },
		{ "- a\n", ":1: the file must be a single mapping" },
		{ "cell: x\n  a: [\n", ":2: mapping values are not allowed" },
		{ BASE "...\n---\ncell: x\n", "the file has more than one document" },
		{ "name: n\n", ":1: cell: Missing required mapping field: cell" },
		{ BASE "leese_ms: 1\n", ":9: leese_ms: Unexpected key: leese_ms" },
		{ BASE "idle_ms: 50\nidle_ms: 50\n", ":10: idle_ms: Mapping field already seen" },
		{ BASE "lease_ms: 12s\n", ":9: lease_ms: \"12s\" is not a whole number" },
		{ BASE "lease_ms: -1\n", ":9: lease_ms: \"-1\" is not a whole number" },
		{ BASE "lease_ms:\n", ":9: lease_ms: \"\" is not a whole number" },
		{ BASE "lease_ms: [1]\n", ":9: lease_ms: \"\" is not a whole number" },
		{ BASE "\nlease_ms: 99999999999\n", ":10: lease_ms: Invalid UINT value" },
		{ BASE "\nlease_ms: 99\n", ":10: lease_ms: 99 is not between 100 and 600000" },
		{ BASE "log_level: loud\n", ":9: log_level: \"loud\" is not one of" },
		{ BASE "policy: \"\"\n", ":9: policy: STRING length < 1" },
		{ BASE "guard_ms: 15000\n",
		  ":9: guard_ms: guard_ms must be below lease_ms (15000)" },
		{ BASE "renew_ms: 7500\n", ":9: renew_ms: twice renew_ms must be below lease_ms" },
		{ BASE "task_lease_ms: 15000\n",
		  ":9: lease_ms: lease_ms must be below task_lease_ms" },
		{ BASE "suspect_ms: 900\n",
		  ":9: beat_ms: twice beat_ms must be at most suspect_ms" },
		{ BASE "dead_ms: 1500\n", ":9: suspect_ms: suspect_ms must be below dead_ms" },
		{ BASE "drift_ppm: 70000\n", ":9: guard_ms: drift_ppm of lease_ms must be" },
		{ BASE "body_max_bytes: 2097152\n", ":9: body_max_bytes: body_max_bytes must be" },
		{ BASE "team_queue_max: 4097\n", ":9: team_queue_max: team_queue_max must be at" },
		{ "cell: A_b\nname: n\ndc: d\nregion: r\nlisten_host: 127.0.0.1\nplatform_url: "
		  "http://a\nhttp_port: 1\nlink_port: 2\n",
		  ":1: cell: \"A_b\" has characters other than" },
		{ "cell: c\nname: n\ndc: d\nregion: r\nlisten_host: here\nplatform_url: "
		  "http://a\nhttp_port: 1\nlink_port: 2\n",
		  ":5: listen_host: \"here\" is not an IP address" },
		{ "cell: c\nname: n\ndc: d\nregion: r\nlisten_host: 127.0.0.1\nplatform_url: "
		  "ftp://a\nhttp_port: 1\nlink_port: 2\n",
		  ":6: platform_url: \"ftp://a\" is not an http URL" },
		{ "cell: c\nname: n\ndc: d\nregion: r\nlisten_host: 127.0.0.1\nplatform_url: "
		  "http://a\nhttp_port: 2\nlink_port: 2\n",
		  ":8: link_port: must differ from http_port" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct settings *s = NULL;
		struct status st = STATUS_INIT;

		cr_expect_not(load_text(cases[i].text, &s, &st), "case %zu", i);
		cr_expect_null(s, "case %zu", i);
		cr_expect_eq(st.code, STATUS_INVALID, "case %zu", i);
		cr_expect(strstr(st.message, cases[i].message), "case %zu: %s", i, st.message);
		settings_free(s);
	}
}

Test(settings, missing_file)
{
	struct settings *s = NULL;
	struct status st = STATUS_INIT;

	cr_expect_not(settings_load("/nonexistent/x.yaml", &s, &st));
	cr_expect_eq(st.code, STATUS_NOT_FOUND);
}

/* The example file loads, has every key and its numbers are the defaults. */
Test(settings, example_is_complete)
{
	struct settings *shown = NULL;
	struct settings *defaults = NULL;
	struct status st = STATUS_INIT;
	g_autofree char *text = NULL;

	cr_assert(settings_load(EXAMPLE, &shown, &st), "%s", st.message);
	cr_assert(load_text(BASE, &defaults, &st), "%s", st.message);
	cr_assert(g_file_get_contents(EXAMPLE, &text, NULL, NULL));
	for (size_t i = 0; settings_key(i); i++) {
		g_autofree char *line = g_strdup_printf("\n%s: ", settings_key(i));

		cr_expect(strstr(text, line), "%s is not in the example", settings_key(i));
	}
#define SAME(key, def, min, max)                                                                   \
	cr_expect((def) == 0 || shown->key == defaults->key, #key " differs from its default");
	SETTINGS_NUMBERS(SAME)
	cr_expect_str_eq(shown->log_level, defaults->log_level);
	cr_expect_str_eq(shown->policy, defaults->policy);
	settings_free(shown);
	settings_free(defaults);
}
