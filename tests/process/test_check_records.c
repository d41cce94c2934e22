#include <criterion/criterion.h>

#include "check_records.h"

#define GRACE_US 1000

#define LINE(t, worker, event, more)                                                               \
	"{\"t_us\":" #t ",\"worker\":\"" worker "\",\"event\":\"" event "\"" more "}\n"
#define CAPACITY                                                                                   \
	",\"cpu_milli\":1000,\"mem_bytes\":100,\"accel\":1,\"slots\":1,"                           \
	"\"connections\":2"
#define WORKERS                                                                                    \
	LINE(1, "a", "worker", CAPACITY)                                                           \
	LINE(1, "b", "worker", CAPACITY)                                                           \
	LINE(2, "a", "session", ",\"epoch\":5")                                                    \
	LINE(2, "b", "session", ",\"epoch\":5")
#define TASK(id, job, index, cpu, mem, accel)                                                      \
	",\"epoch\":5,\"id\":\"" id "\",\"job\":\"" job "\",\"index\":" #index                     \
	",\"cpu_milli\":" #cpu ",\"mem_bytes\":" #mem ",\"accel\":" #accel
#define RUN(id, tag, idempotent)                                                                   \
	",\"epoch\":5,\"id\":\"" id "\",\"tag\":\"" tag "\",\"idempotent\":" idempotent

struct records_case {
	const char *name;
	const char *lines[10];
	unsigned int found[RECORDS_CHECKS];
};

static const struct records_case cases[] = {
	{
		.name = "clean",
		.lines = { WORKERS, LINE(10, "a", "start", TASK("1", "j", 0, 1000, 100, 1)),
			   LINE(11, "b", "start", TASK("2", "j", 1, 1000, 100, 1)),
			   LINE(20, "a", "end", TASK("1", "j", 0, 1000, 100, 1)),
			   LINE(21, "a", "start", TASK("3", "j", 0, 1000, 100, 1)),
			   LINE(22, "a", "run_begin", RUN("r", "x", "false")),
			   LINE(23, "a", "run_end", RUN("r", "", "1")),
			   LINE(24, "b", "run_begin", RUN("s", "y", "true")) },
	},
	{
		.name = "events are sorted by time",
		.lines = { WORKERS, LINE(30, "b", "start", TASK("2", "j", 0, 1, 1, 0)),
			   LINE(10, "a", "start", TASK("1", "j", 0, 1, 1, 0)),
			   LINE(20, "a", "end", TASK("1", "j", 0, 1, 1, 0)) },
	},
	{
		.name = "processors",
		.lines = { WORKERS, LINE(10, "a", "start", TASK("1", "j", 0, 1001, 1, 0)) },
		.found = { [CHECK_CAPACITY] = 1 },
	},
	{
		.name = "memory of two tasks",
		.lines = { WORKERS, LINE(10, "a", "start", TASK("1", "j", 0, 1, 60, 0)),
			   LINE(11, "a", "start", TASK("2", "j", 1, 1, 60, 0)) },
		.found = { [CHECK_CAPACITY] = 1 },
	},
	{
		.name = "accelerators",
		.lines = { WORKERS, LINE(10, "a", "start", TASK("1", "j", 0, 1, 1, 2)) },
		.found = { [CHECK_CAPACITY] = 1 },
	},
	{
		.name = "slots",
		.lines = { WORKERS, LINE(10, "a", "run_begin", RUN("r", "x", "true")),
			   LINE(11, "a", "run_begin", RUN("s", "y", "true")) },
		.found = { [CHECK_CAPACITY] = 1 },
	},
	{
		.name = "asked for too much and refused",
		.lines = { WORKERS, LINE(10, "a", "overload", ",\"what\":\"slots\"") },
		.found = { [CHECK_OVERLOAD] = 1 },
	},
	{
		.name = "task on two workers",
		.lines = { WORKERS, LINE(10, "a", "start", TASK("1", "j", 0, 1, 1, 0)),
			   LINE(11, "b", "start", TASK("2", "j", 0, 1, 1, 0)) },
		.found = { [CHECK_ONE_PLACE] = 1 },
	},
	{
		.name = "task twice on one worker; the end of one run does not end the other",
		.lines = { WORKERS, LINE(10, "a", "start", TASK("1", "j", 0, 1, 1, 0)),
			   LINE(11, "a", "start", TASK("2", "j", 0, 1, 1, 0)),
			   LINE(12, "a", "end", TASK("1", "j", 0, 1, 1, 0)),
			   LINE(13, "a", "start", TASK("3", "j", 0, 1, 1, 0)) },
		.found = { [CHECK_ONE_PLACE] = 2 },
	},
	{
		.name = "request id twice",
		.lines = { WORKERS, LINE(10, "a", "run_begin", RUN("r", "x", "false")),
			   LINE(11, "a", "run_end", RUN("r", "", "1")),
			   LINE(12, "b", "run_begin", RUN("r", "x", "false")) },
		.found = { [CHECK_AT_MOST_ONCE] = 1 },
	},
	{
		.name = "same tag under two request ids",
		.lines = { WORKERS, LINE(10, "a", "run_begin", RUN("r", "x", "false")),
			   LINE(11, "b", "run_begin", RUN("s", "x", "false")) },
		.found = { [CHECK_AT_MOST_ONCE] = 1 },
	},
	{
		.name = "within the grace of leaving, after it, refused after it, and no longer "
			"leaving",
		.lines = { WORKERS, LINE(10, "a", "leaving", ""),
			   LINE(1010, "a", "run_begin", RUN("r", "x", "true")),
			   LINE(1011, "a", "run_end", RUN("r", "", "1")),
			   LINE(1012, "a", "run_begin", RUN("s", "y", "true")),
			   LINE(1013, "a", "start_refused", ""), LINE(1014, "a", "staying", ""),
			   LINE(1015, "a", "start", TASK("1", "j", 0, 1, 1, 0)) },
		.found = { [CHECK_LEAVING] = 2 },
	},
	{
		.name = "start under an old epoch",
		.lines = { WORKERS, LINE(10, "a", "session", ",\"epoch\":6"),
			   LINE(11, "a", "start", TASK("1", "j", 0, 1, 1, 0)) },
		.found = { [CHECK_EPOCH] = 1 },
	},
	{
		.name = "session under an old epoch",
		.lines = { WORKERS, LINE(10, "a", "session", ",\"epoch\":4") },
		.found = { [CHECK_EPOCH] = 1 },
	},
	{
		.name = "run after the lease lapsed",
		.lines = { WORKERS, LINE(10, "a", "lease_lapsed", ",\"epoch\":5"),
			   LINE(11, "a", "run_begin", RUN("r", "x", "true")) },
		.found = { [CHECK_EPOCH] = 1 },
	},
};

Test(check_records, finds_exactly_the_violations)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct records *r = records_create();

		for (const char *const *line = cases[i].lines; *line; line++)
			cr_assert(records_add(r, *line), "%s: %s", cases[i].name, *line);
		for (int c = 0; c < RECORDS_CHECKS; c++) {
			unsigned int found =
				records_check(r, (enum records_check)c, GRACE_US, NULL);

			cr_expect_eq(found, cases[i].found[c], "%s: %s found %u", cases[i].name,
				     records_check_name((enum records_check)c), found);
		}
		records_destroy(r);
	}
}

Test(check_records, parses_lines)
{
	struct records *r = records_create();
	GPtrArray *found = g_ptr_array_new_with_free_func(g_free);

	cr_expect_not(records_add(r, "{broken\n" WORKERS));
	cr_expect(records_add(r, WORKERS "{cut while it was writ"));
	cr_expect_eq(records_count(r, "worker", NULL, NULL), 2);
	cr_expect_eq(records_count(r, "session", "b", NULL), 1);
	cr_expect(records_add(r, LINE(9, "a", "overload", ",\"what\":\"accel\",\"id\":\"t1\"")));
	records_check(r, CHECK_OVERLOAD, GRACE_US, found);
	cr_assert_eq(found->len, 1);
	cr_expect_str_eq(found->pdata[0], "asked: a overload at 9: accel (id t1)");
	g_ptr_array_unref(found);
	records_destroy(r);
}
