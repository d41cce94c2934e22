#include <string.h>

#include <criterion/criterion.h>

#include "process/metrics.h"

Test(metrics, one_series_for_one_label_set)
{
	struct metrics *m = metrics_create();
	struct counter *a = metrics_counter(m, "kw_a_total", "A.", "team", "x", NULL);

	cr_expect_eq(metrics_counter(m, "kw_a_total", "A.", "team", "x", NULL), a);
	cr_expect_neq(metrics_counter(m, "kw_a_total", "A.", "team", "y", NULL), a);
	cr_expect_neq((void *)metrics_gauge(m, "kw_b", "B.", "team", "x", NULL), (void *)a);
	cr_expect_eq(metrics_series_count(m), 3);
	metrics_destroy(m);
}

Test(metrics, text_format)
{
	static const char want[] = "# HELP kw_a_total A.\n"
				   "# TYPE kw_a_total counter\n"
				   "kw_a_total{team=\"a\\\"b\\\\c\\nd\",class=\"urgent\"} 5\n"
				   "# HELP kw_b B.\n"
				   "# TYPE kw_b gauge\n"
				   "kw_b -3\n"
				   "# HELP kw_wait_ms W.\n"
				   "# TYPE kw_wait_ms histogram\n"
				   "kw_wait_ms_bucket{team=\"x\",le=\"3\"} 1\n"
				   "kw_wait_ms_bucket{team=\"x\",le=\"7\"} 1\n"
				   "kw_wait_ms_bucket{team=\"x\",le=\"15\"} 3\n"
				   "kw_wait_ms_bucket{team=\"x\",le=\"+Inf\"} 3\n"
				   "kw_wait_ms_sum{team=\"x\"} 26\n"
				   "kw_wait_ms_count{team=\"x\"} 3\n";
	struct metrics *m = metrics_create();
	GString *out = g_string_new(NULL);
	struct hist *h;

	metrics_counter(m, "kw_a_total", "A.", "team", "a\"b\\c\nd", "class", "urgent", NULL)
		->value += 5;
	metrics_gauge(m, "kw_b", "B.", NULL)->value = -3;
	h = metrics_hist(m, "kw_wait_ms", "W.", "team", "x", NULL);
	hist_add(h, 3);
	hist_add(h, 8);
	hist_add(h, 15);
	metrics_write(m, NULL, out);
	cr_expect_str_eq(out->str, want);
	g_string_truncate(out, 0);
	metrics_write(m, "kw_b", out);
	cr_expect_str_eq(out->str, "# HELP kw_b B.\n# TYPE kw_b gauge\nkw_b -3\n");
	g_string_free(out, TRUE);
	metrics_destroy(m);
}

Test(metrics, values_beyond_the_range_count_under_inf)
{
	struct metrics *m = metrics_create();
	GString *out = g_string_new(NULL);

	hist_add(metrics_hist(m, "kw_h", "H.", NULL), UINT64_MAX);
	metrics_write(m, NULL, out);
	cr_expect(strstr(out->str, "kw_h_bucket{le=\"+Inf\"} 1\n"));
	cr_expect_not(strstr(out->str, "kw_h_bucket{le=\"1"));
	g_string_free(out, TRUE);
	metrics_destroy(m);
}

Test(metrics, series_are_bounded)
{
	struct metrics *m = metrics_create();
	struct counter *last = NULL;

	for (int i = 0; i < METRICS_SERIES_MAX + 100; i++) {
		g_autofree char *team = g_strdup_printf("t%d", i);

		last = metrics_counter(m, "kw_a_total", "A.", "team", team, NULL);
		last->value++;
	}
	cr_expect_eq(metrics_series_count(m), METRICS_SERIES_MAX);
	cr_expect_eq(last, metrics_counter(m, "kw_a_total", "A.", "overflow", "true", NULL));
	cr_expect_eq(last->value, 101);
	metrics_destroy(m);
}
