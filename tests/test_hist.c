#include <criterion/criterion.h>

#include "process/hist.h"

Test(hist, buckets_cover_the_range)
{
	for (uint32_t i = 1; i < HIST_BUCKETS; i++)
		cr_assert_gt(hist_upper_bound(i), hist_upper_bound(i - 1));
	cr_assert_eq(hist_upper_bound(0), 1);
	cr_assert_eq(hist_upper_bound(HIST_BUCKETS - 1), (uint64_t)1 << 36);
}

struct value_case {
	uint64_t value;
	uint32_t bucket;
};

Test(hist, value_to_bucket)
{
	static const struct value_case cases[] = {
		{ 0, 0 },
		{ 7, 7 },
		{ 8, 8 },
		{ 15, 15 },
		{ 16, 16 },
		{ 17, 16 },
		{ 18, 17 },
		{ 1000, 8 * 7 + 7 },
		{ ((uint64_t)1 << 36) - 1, HIST_BUCKETS - 1 },
		{ UINT64_MAX, HIST_BUCKETS - 1 },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct hist h = { 0 };

		hist_add(&h, cases[i].value);
		cr_expect_eq(h.bucket[cases[i].bucket], 1, "case %zu", i);
	}
}

/* A second value, 4 times as large, keeps the quantile from being capped by the maximum. */
Test(hist, relative_error)
{
	for (uint64_t v = 1; v < (uint64_t)1 << 34; v += 1 + v / 97) {
		struct hist h = { 0 };
		uint64_t q;

		hist_add(&h, v);
		hist_add(&h, v * 4);
		q = hist_quantile(&h, 250);
		cr_assert_leq((q > v ? q - v : v - q) * 16, v, "value %lu gives %lu", v, q);
	}
}

struct quantile_case {
	uint32_t q_milli;
	uint64_t low;
	uint64_t high;
};

Test(hist, quantiles_and_merge)
{
	static const struct quantile_case cases[] = {
		{ 0, 1, 1 },	    { 500, 470, 532 },	  { 990, 930, 1000 },
		{ 999, 938, 1000 }, { 1000, 1000, 1000 }, { 5000, 1000, 1000 },
	};
	struct hist odd = { 0 };
	struct hist even = { 0 };

	cr_assert_eq(hist_quantile(&odd, 500), 0);
	for (uint64_t v = 1; v <= 1000; v++)
		hist_add(v % 2 ? &odd : &even, v);
	hist_merge(&odd, &even);
	cr_assert_eq(odd.count, 1000);
	cr_assert_eq(odd.sum, 500500);
	cr_assert_eq(odd.max, 1000);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint64_t q = hist_quantile(&odd, cases[i].q_milli);

		cr_expect(q >= cases[i].low && q <= cases[i].high, "case %zu: %lu", i, q);
	}
}

Test(hist, bucket_counts_saturate)
{
	struct hist a = { .count = UINT32_MAX, .max = 1, .bucket = { 0, UINT32_MAX } };
	struct hist b = { 0 };

	hist_add(&a, 1);
	cr_expect_eq(a.bucket[1], UINT32_MAX);
	hist_add(&b, 1);
	hist_merge(&a, &b);
	cr_expect_eq(a.bucket[1], UINT32_MAX);
	cr_expect_eq(a.count, (uint64_t)UINT32_MAX + 2);
}
