#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "trace.h"

#define ID "00000000000000a1"
#define LINE(time, request, step, message)                                                         \
	"{\"time\":\"2026-01-01T00:00:" time                                                       \
	"Z\",\"level\":\"info\",\"module\":\"m\",\"request\":\"" request "\",\"step\":\"" step     \
	"\",\"message\":\"" message "\"}\n"

static bool read_text(struct trace *t, const char *text, uint32_t *unreadable)
{
	FILE *in = fmemopen((void *)text, strlen(text), "r");
	bool ok = trace_read(t, in, "file", unreadable);

	fclose(in);
	return ok;
}

struct file_case {
	const char *what;
	const char *text;
	bool ok;
	uint32_t lines;
	uint32_t unreadable;
};

Test(trace, files)
{
	static const struct file_case cases[] = {
		{ "the job itself", LINE("01.000", ID, "submit", "x"), true, 1, 0 },
		{ "a step and a task",
		  LINE("01.000", ID ".0.1", "a", "x") LINE("01.000", ID ".0.1.3", "a", "x"), true,
		  2, 0 },
		{ "another job", LINE("01.000", "00000000000000a2", "submit", "x"), true, 0, 0 },
		{ "an id that starts with the job's id", LINE("01.000", ID "f", "submit", "x"),
		  true, 0, 0 },
		{ "a truncated last line", LINE("01.000", ID, "submit", "x") "{\"time\":\"2026",
		  true, 1, 1 },
		{ "a collector's prefix before the line",
		  "  1.5 vm-a " LINE("01.000", ID, "submit", "x"), true, 1, 0 },
		{ "not a log", "hello\nworld\n", false, 0, 2 },
		{ "JSON without the members of a log line", "{\"a\":1}\n", false, 0, 1 },
		{ "an invalid time", "{\"time\":\"now\",\"module\":\"m\",\"request\":\"" ID "\"}\n",
		  false, 0, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct trace *t = trace_create(ID);
		uint32_t unreadable;

		cr_expect_eq(read_text(t, cases[i].text, &unreadable), cases[i].ok, "%s",
			     cases[i].what);
		cr_expect_eq(trace_lines(t)->len, cases[i].lines, "%s", cases[i].what);
		cr_expect_eq(unreadable, cases[i].unreadable, "%s", cases[i].what);
		trace_destroy(t);
	}
}

Test(trace, lines_of_several_logs_are_sorted_by_time)
{
	struct trace *t = trace_create(ID);
	uint32_t unreadable;
	char *out = NULL;
	size_t size;
	FILE *f = open_memstream(&out, &size);

	read_text(t, LINE("03.500", ID, "ended", "done"), &unreadable);
	read_text(t,
		  LINE("01.000", ID, "submit", "accepted") LINE("01.250", ID, "first-start", "s"),
		  &unreadable);
	trace_print(t, f);
	fclose(f);
	cr_assert(strstr(out, "accepted") < strstr(out, "first-start"));
	cr_assert(strstr(out, "first-start") < strstr(out, "ended"));
	cr_assert_not_null(strstr(out, "longest gap: 2.250 s, before m/ended"));
	free(out);
	trace_destroy(t);
}
