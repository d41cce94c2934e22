#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define G_LOG_DOMAIN "tester"

#include <criterion/criterion.h>
#include <json-glib/json-glib.h>

#include "log.h"

struct fixture {
	char *text;
	size_t size;
	FILE *out;
	struct log *log;
};

static void setup(struct fixture *f, const char *level)
{
	f->out = open_memstream(&f->text, &f->size);
	f->log = log_create(level, f->out);
	cr_assert_not_null(f->log);
}

static void teardown(struct fixture *f)
{
	log_destroy(f->log);
	fclose(f->out);
	free(f->text);
}

static void write_message(struct fixture *f, GLogLevelFlags level, const char *message,
			  int64_t now_ms)
{
	const GLogField fields[] = { { "MESSAGE", message, -1 },
				     { "GLIB_DOMAIN", "mod", -1 },
				     { "KW_PEER", "p", -1 } };

	log_write(f->log, level, fields, G_N_ELEMENTS(fields), now_ms);
}

static int count_lines(const struct fixture *f)
{
	int n = 0;

	for (size_t i = 0; i < f->size; i++)
		n += f->text[i] == '\n';
	return n;
}

Test(log, all_fields)
{
	struct fixture f;

	setup(&f, "info");
	write_message(&f, LOG_INFO, "hello", 1767225600042);
	cr_expect_str_eq(f.text, "{\"time\":\"2026-01-01T00:00:00.042Z\",\"level\":\"info\","
				 "\"module\":\"mod\",\"peer\":\"p\",\"message\":\"hello\"}\n");
	teardown(&f);
}

/* Any message is written as one line that parses to the same text. */
Test(log, escaping)
{
	static const char *const cases[] = { "a \"quoted\" \\ one", "two\nlines\r\n\ttab",
					     "\x01\x1f\x7f", "\xe5\x8f\xb0\xe7\x81\xa3", "" };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(JsonParser) parser = json_parser_new();
		struct fixture f;

		setup(&f, "debug");
		write_message(&f, LOG_DEBUG, cases[i], 0);
		cr_expect_eq(count_lines(&f), 1, "case %zu", i);
		cr_assert(json_parser_load_from_data(parser, f.text, -1, NULL), "case %zu", i);
		cr_expect_str_eq(
			json_object_get_string_member(
				json_node_get_object(json_parser_get_root(parser)), "message"),
			cases[i], "case %zu", i);
		teardown(&f);
	}
}

Test(log, invalid_utf8_is_replaced)
{
	const GLogField fields[] = { { "MESSAGE",
				       "\xff"
				       "cut",
				       1 },
				     { "KW_STEP", "\xfe", -1 } };
	struct fixture f;

	setup(&f, "info");
	log_write(f.log, LOG_INFO, fields, G_N_ELEMENTS(fields), 0);
	cr_expect(strstr(f.text, "\"step\":\"\xef\xbf\xbd\",\"message\":\"\xef\xbf\xbd\"}"), "%s",
		  f.text);
	teardown(&f);
}

struct level_case {
	const char *level;
	int written; /* lines written of one at each of the five levels */
};

Test(log, level_filter)
{
	static const struct level_case cases[] = {
		{ "debug", 5 }, { "info", 4 }, { "notice", 3 }, { "warning", 2 }, { "error", 1 },
	};
	static const GLogLevelFlags levels[] = { LOG_DEBUG, LOG_INFO, LOG_NOTICE, LOG_WARNING,
						 LOG_ERROR };

	cr_expect_null(log_create("loud", stderr));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f;

		setup(&f, cases[i].level);
		for (size_t k = 0; k < G_N_ELEMENTS(levels); k++)
			write_message(&f, levels[k], "x", 0);
		cr_expect_eq(count_lines(&f), cases[i].written, "case %zu", i);
		teardown(&f);
	}
}

Test(log, repeated_lines_are_limited)
{
	struct fixture f;

	setup(&f, "info");
	for (int i = 0; i < 100; i++)
		write_message(&f, LOG_WARNING, "same", i);
	cr_expect_eq(count_lines(&f), LOG_REPEAT_MAX);
	write_message(&f, LOG_WARNING, "other", 100);
	cr_expect_eq(count_lines(&f), LOG_REPEAT_MAX + 1);
	write_message(&f, LOG_WARNING, "same", LOG_REPEAT_MS);
	cr_expect(strstr(f.text, "\"suppressed\":95,\"message\":\"same\""));
	for (int i = 0; i < 100; i++)
		write_message(&f, LOG_ERROR, "grave", i);
	cr_expect_eq(count_lines(&f), LOG_REPEAT_MAX + 2 + 100);
	teardown(&f);
}

Test(log, macros_through_glib)
{
	struct status st = { STATUS_TIMEOUT, "renew", "w1", "no answer" };
	struct fixture f;

	setup(&f, "info");
	log_install(f.log);
	log_warn("open", "w2", "%d of %d", 1, 2);
	cr_expect(strstr(f.text, "\"level\":\"warning\",\"module\":\"tester\",\"step\":\"open\","
				 "\"peer\":\"w2\",\"message\":\"1 of 2\"}\n"));
	log_request(LOG_INFO, "r-1", NULL, NULL, "queued");
	cr_expect(strstr(f.text, "\"request\":\"r-1\",\"message\":\"queued\"}\n"));
	log_status(LOG_NOTICE, "r-2", &st);
	cr_expect(strstr(f.text, "\"level\":\"notice\",\"module\":\"tester\",\"request\":\"r-2\","
				 "\"step\":\"renew\",\"peer\":\"w1\","
				 "\"message\":\"timeout: no answer\"}\n"));
	log_debug(NULL, NULL, "unseen");
	cr_expect_not(strstr(f.text, "unseen"));
}

/* Lines about requests rarely repeat, so they are limited by module and step. */
Test(log, request_lines_are_limited_by_step)
{
	struct fixture f;
	int before;

	setup(&f, "info");
	for (int i = 0; i < 1000; i++) {
		g_autofree char *id = g_strdup_printf("%d", i);
		const GLogField fields[] = { { "MESSAGE", "accepted", -1 },
					     { "KW_REQUEST", id, -1 },
					     { "KW_STEP", "submit", -1 } };

		log_write(f.log, LOG_INFO, fields, G_N_ELEMENTS(fields), 5000);
	}
	cr_expect_eq(count_lines(&f), LOG_REQUEST_MAX);
	before = count_lines(&f);
	for (int i = 0; i < 2; i++) {
		const GLogField fields[] = { { "MESSAGE", "accepted", -1 },
					     { "KW_REQUEST", "x", -1 },
					     { "KW_STEP", "submit", -1 } };

		log_write(f.log, LOG_INFO, fields, G_N_ELEMENTS(fields), 5000 + LOG_REQUEST_MS);
	}
	cr_expect_eq(count_lines(&f), before + 2);
	cr_expect(strstr(f.text, "\"suppressed\":900"),
		  "the next line reports the number of suppressed lines");
	teardown(&f);
}

/* A stalled reader must not block the process; lines are dropped whole and counted. */
Test(log, full_pipe_drops_lines_without_blocking)
{
	int fd[2];
	FILE *out;
	struct log *l;
	char buf[65536];
	ssize_t n;
	size_t n_read = 0;
	int starts = 0;
	int ends = 0;

	cr_assert_eq(pipe(fd), 0);
	out = fdopen(fd[1], "w");
	l = log_create("info", out);
	log_set_nonblocking(l);
	for (int i = 0; i < 20000; i++) {
		g_autofree char *message = g_strdup_printf("line %d", i);
		const GLogField fields[] = { { "MESSAGE", message, -1 } };

		log_write(l, LOG_INFO, fields, G_N_ELEMENTS(fields), 5000);
	}
	cr_expect_gt(log_lost_count(l), 0);
	fcntl(fd[0], F_SETFL, O_NONBLOCK);
	while ((n = read(fd[0], buf, sizeof(buf))) > 0) {
		n_read += (size_t)n;
		for (ssize_t i = 0; i < n; i++) {
			starts += buf[i] == '{';
			ends += buf[i] == '\n';
		}
	}
	cr_expect_gt(n_read, 0);
	for (int i = 0; i < 2; i++) {
		g_autofree char *message = g_strdup_printf("later %d", i);
		const GLogField fields[] = { { "MESSAGE", message, -1 } };

		log_write(l, LOG_INFO, fields, G_N_ELEMENTS(fields), 5000);
	}
	n = read(fd[0], buf, sizeof(buf) - 1);
	cr_assert_gt(n, 0);
	buf[n] = '\0';
	cr_expect(strstr(buf, "\"lost\":"), "the next line reports the number of lost lines: %s",
		  buf);
	for (ssize_t i = 0; i < n; i++) {
		starts += buf[i] == '{';
		ends += buf[i] == '\n';
	}
	cr_expect_eq(starts, ends, "a line was truncated");
	log_destroy(l);
	fclose(out);
	close(fd[0]);
}
