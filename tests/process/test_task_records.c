#include <criterion/criterion.h>

#include "task_records.h"

#define EVENT(t, name, index, more)                                                                \
	"{\"t_us\":" t ",\"event\":\"" name                                                        \
	"\",\"worker\":\"w\",\"job\":\"j\",\"index\":" index more "}\n"
#define START(t, index)	      EVENT(t, "start", index, "")
#define END(t, index, reason) EVENT(t, "end", index, ",\"reason\":\"" reason "\"")

static const struct sum_case {
	const char *text;
	struct task_sum sum;
} sum_cases[] = {
	{ "", { 0 } },
	{ START("1", "0") START("2", "1"), { .starts = 2, .running = 2, .tasks = 2 } },
	{ START("1", "0") END("2", "0", "done"), { .starts = 1, .tasks = 1, .done = 1 } },
	/* Restarted after its lease lapsed, which is allowed for idempotent tasks. */
	{ START("1", "0") END("2", "0", "lease") START("3", "0") END("4", "0", "done"),
	  { .starts = 2, .tasks = 1, .done = 1, .twice = 1 } },
	/* Run again after its end, with the events of two workers' records out of order. */
	{ START("3", "0") START("1", "0") END("2", "0", "done"),
	  { .starts = 2, .running = 1, .tasks = 1, .done = 1, .twice = 1, .reruns = 1 } },
	{ START("1", "0") "{\"t_us\":2,\"event\":\"start\",\"job\":\"k\"}\n{\"t_us\":3,\"ev",
	  { .starts = 1, .running = 1, .tasks = 1 } },
};

Test(task_records, sums)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sum_cases); i++) {
		const struct task_sum *want = &sum_cases[i].sum;
		struct task_sum got = task_sum_text(sum_cases[i].text, "job", "j");

		cr_expect_eq(got.starts, want->starts, "case %zu: %u starts", i, got.starts);
		cr_expect_eq(got.running, want->running, "case %zu: %u running", i, got.running);
		cr_expect_eq(got.tasks, want->tasks, "case %zu: %u tasks", i, got.tasks);
		cr_expect_eq(got.done, want->done, "case %zu: %u done", i, got.done);
		cr_expect_eq(got.twice, want->twice, "case %zu: %u twice", i, got.twice);
		cr_expect_eq(got.reruns, want->reruns, "case %zu: %u again", i, got.reruns);
	}
}
