#include <criterion/criterion.h>

#include "process/exec.h"

#define LEASE_MS 6000

static struct exec *make(void)
{
	const struct runner_info info = { .id = "r", .room = { 1000, 1000, 0 } };

	return exec_create(&info, 0);
}

Test(exec, no_grant_before_its_clock_is_known)
{
	struct exec *e = make();

	cr_assert_eq(exec_grant(e, LEASE_MS, 100), 0);
	exec_destroy(e);
}

struct grant_case {
	int64_t answered_ms; /* our clock at the answer */
	int64_t clock_ms;    /* the runner's */
	int64_t granted_ms;  /* our clock at the grant */
	int64_t deadline_ms; /* expected, on the runner's clock */
	int64_t alive_ms;    /* must not count as lapsed then */
	int64_t lapsed_ms;   /* has to count as lapsed then */
};

/* The runner's clock may be 2% slow: a lease of 6,000 ms may take 6,123 ms of ours. */
Test(exec, lapse_allows_for_a_slow_clock)
{
	static const struct grant_case cases[] = {
		{ 1000, 500, 1000, 6500, 7123, 7300 },
		{ 1000, 500, 3000, 8500, 9164, 9400 },
		{ 50000, 10, 50000, 6010, 56123, 56400 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct exec *e = make();

		exec_answered(e, cases[i].clock_ms, cases[i].answered_ms);
		cr_expect_eq(exec_grant(e, LEASE_MS, cases[i].granted_ms), cases[i].deadline_ms,
			     "case %zu", i);
		cr_expect_not(exec_lapsed(e, cases[i].alive_ms), "case %zu", i);
		cr_expect(exec_lapsed(e, cases[i].lapsed_ms), "case %zu", i);
		exec_destroy(e);
	}
}

Test(exec, a_later_grant_never_shortens)
{
	struct exec *e = make();

	exec_answered(e, 500, 1000);
	exec_grant(e, LEASE_MS, 3000);
	exec_grant(e, 100, 3000);
	cr_assert_not(exec_lapsed(e, 9100));
	exec_destroy(e);
}

Test(exec, overtaken_answers_do_not_set_the_clock_back)
{
	struct exec *e = make();

	exec_answered(e, 2000, 5000);
	exec_answered(e, 1000, 5010);
	cr_assert_eq(e->clock_ms, 2000);
	cr_assert_eq(e->clock_local_ms, 5000);
	exec_destroy(e);
}
