#include <criterion/criterion.h>

#include "process/cell_runner.h"

#define LEASE_MS 6000

static struct cell_runner *make(void)
{
	const struct runner_info info = { .id = "r", .capacity = { 1000, 1000, 0 } };

	return cell_runner_create(&info, 0);
}

Test(cell_runner, no_lease_before_the_clock_is_known)
{
	struct cell_runner *rn = make();

	cr_assert_eq(cell_runner_grant_lease(rn, LEASE_MS, 100), 0);
	cell_runner_destroy(rn);
}

struct grant_case {
	int64_t answered_ms; /* our clock at the answer */
	int64_t clock_ms;    /* the runner's */
	int64_t granted_ms;  /* our clock at the grant */
	int64_t deadline_ms; /* expected, on the runner's clock */
	int64_t alive_ms;    /* not lapsed yet */
	int64_t lapsed_ms;   /* lapsed */
};

/* The runner's clock may be 2% slow, so a lease of 6,000 ms may last 6,123 ms by ours. */
Test(cell_runner, lapse_allows_for_a_slow_clock)
{
	static const struct grant_case cases[] = {
		{ 1000, 500, 1000, 6500, 7123, 7300 },
		{ 1000, 500, 3000, 8500, 9164, 9400 },
		{ 50000, 10, 50000, 6010, 56123, 56400 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cell_runner *rn = make();

		cell_runner_answered(rn, cases[i].clock_ms, cases[i].answered_ms);
		cr_expect_eq(cell_runner_grant_lease(rn, LEASE_MS, cases[i].granted_ms),
			     cases[i].deadline_ms, "case %zu", i);
		cr_expect_not(cell_runner_leases_lapsed(rn, cases[i].alive_ms), "case %zu", i);
		cr_expect(cell_runner_leases_lapsed(rn, cases[i].lapsed_ms), "case %zu", i);
		cell_runner_destroy(rn);
	}
}

Test(cell_runner, a_later_lease_does_not_shorten_an_earlier_one)
{
	struct cell_runner *rn = make();

	cell_runner_answered(rn, 500, 1000);
	cell_runner_grant_lease(rn, LEASE_MS, 3000);
	cell_runner_grant_lease(rn, 100, 3000);
	cr_assert_not(cell_runner_leases_lapsed(rn, 9100));
	cell_runner_destroy(rn);
}

Test(cell_runner, reordered_answers_do_not_set_the_clock_back)
{
	struct cell_runner *rn = make();

	cell_runner_answered(rn, 2000, 5000);
	cell_runner_answered(rn, 1000, 5010);
	cr_assert_eq(rn->clock_ms, 2000);
	cr_assert_eq(rn->clock_local_ms, 5000);
	cell_runner_destroy(rn);
}
