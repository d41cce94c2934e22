#include <math.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "compare.h"
#include "model.h"
#include "page.h"

static struct slopes *load(const char *text, struct status *st)
{
	g_autofree char *path = NULL;
	int fd = g_file_open_tmp("kwslopes-XXXXXX", &path, NULL);
	struct slopes *s;

	cr_assert_geq(fd, 0);
	g_close(fd, NULL);
	cr_assert(g_file_set_contents(path, text, -1, NULL));
	s = slopes_load(path, st);
	g_unlink(path);
	return s;
}

/* Points of base + slope * x at the sizes 1 to n. */
static struct slopes *points_on_line(const char *name, const char *unit, int n, double base,
				     double slope)
{
	g_autoptr(GString) text = g_string_new(NULL);
	struct status st = STATUS_INIT;
	struct slopes *s;

	for (int x = 1; x <= n; x++)
		g_string_append_printf(text,
				       "{\"name\":\"%s\",\"unit\":\"%s\",\"per\":\"p\",\"x\":%d,"
				       "\"value\":%g}\n",
				       name, unit, x, base + slope * x);
	s = load(text->str, &st);
	cr_assert_not_null(s, "%s", st.message);
	return s;
}

Test(capacity, line_through_four_sizes)
{
	struct slopes *s = points_on_line("a", "bytes", 4, 7, 3);
	struct slopes *few = points_on_line("a", "bytes", 3, 7, 3);
	struct line line;

	cr_assert(slopes_line(s, "a", &line));
	cr_expect_float_eq(line.base, 7, 1e-6);
	cr_expect_float_eq(line.slope, 3, 1e-6);
	cr_expect_float_eq(line.error_milli, 0, 1e-6);
	cr_expect_float_eq(slopes_value(s, "a", 100), 307, 1e-6);
	cr_expect(isnan(slopes_value(s, "b", 100)));
	cr_expect(isnan(slopes_slope(few, "a")));
	slopes_destroy(s);
	slopes_destroy(few);
}

Test(capacity, malformed_points)
{
	static const char *const cases[] = { "nonsense\n", "[]\n", "{\"name\":\"a\"\n" };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct status st = STATUS_INIT;

		cr_expect_null(load(cases[i], &st), "case %zu", i);
		cr_expect(strstr(st.message, ":1: not a point"), "case %zu: %s", i, st.message);
	}
}

struct compare_case {
	const char *unit;
	double factor; /* of the fresh to the committed value */
	int sizes;     /* fresh ones; 4 are committed */
	uint32_t failed;
};

Test(capacity, compare_points)
{
	static const struct compare_case cases[] = {
		{ "bytes", 1, 4, 0 },		{ "bytes", 1.01, 4, 0 },
		{ "bytes", 1.03, 4, 4 },	{ "bytes", 0.5, 4, 0 },
		{ "instructions", 1.09, 4, 0 }, { "instructions", 1.11, 4, 4 },
		{ "messages", 1.001, 4, 4 },	{ "ns", 10, 4, 0 },
		{ "bytes", 1, 3, 1 },		{ "bytes", 1, 5, 1 },
	};
	FILE *out = fopen("/dev/null", "w");

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct compare_case *c = &cases[i];
		struct slopes *committed = points_on_line("a", c->unit, 4, 1000, 1000);
		struct slopes *fresh =
			points_on_line("a", c->unit, c->sizes, 1000 * c->factor, 1000 * c->factor);

		cr_expect_eq(compare_points(fresh, committed, out), c->failed, "case %zu", i);
		slopes_destroy(committed);
		slopes_destroy(fresh);
	}
	fclose(out);
}

struct flow_case {
	const char *slope;
	const char *flow; /* start of its description */
	double per_s;
	double bytes_per_s;
};

/* The rates are computed by hand for 40 daemons, 230 starts per second and the default settings. */
Test(capacity, flows)
{
	static const struct flow_case cases[] = {
		{ "vms_bytes", "list of VMs, changed", 393 * 3 / 86400.0,
		  100 * 3740 * 393 * 3 / 86400.0 },
		{ "vms_same_bytes", "list of VMs, not changed", 0.5 - 393 * 3 / 86400.0,
		  100 * (0.5 - 393 * 3 / 86400.0) },
		{ "start_bytes", "start of a task", 5.75, 100 * 5.75 },
		{ "task_call_bytes", "task handed", 29.325, 100 * 9.775 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct flow_case *c = &cases[i];
		struct slopes *s = points_on_line(c->slope, "bytes", 4, 0, 100);
		struct model m = { s, &design_current, &scenarios[0], MODEL_DAEMONS,
				   target.starts_ordinary_per_s };
		struct flow flow[FLOWS_MAX];
		size_t n = model_flows(&m, flow);
		int found = 0;

		for (size_t k = 0; k < n; k++) {
			if (!g_str_has_prefix(flow[k].description, c->flow))
				continue;
			found++;
			cr_expect_float_eq(flow[k].per_s, c->per_s, 1e-6, "case %zu: %f", i,
					   flow[k].per_s);
			cr_expect_float_eq(flow[k].bytes_per_s, c->bytes_per_s, 1e-6,
					   "case %zu: %f", i, flow[k].bytes_per_s);
		}
		cr_expect_eq(found, 1, "case %zu", i);
		slopes_destroy(s);
	}
}

Test(capacity, page)
{
	static const char *const wrong[] = { "<!-- table nothing -->\n<!-- end -->",
					     "<!-- table cases -->\n", "<!-- table cases" };
	static const char text[] = "before\n<!-- table cases -->\nold\n<!-- end -->\nafter\n";
	struct slopes *s = points_on_line("vms_bytes", "bytes", 4, 0, 100);
	struct status st = STATUS_INIT;
	g_autofree char *page = page_rebuild(text, s, &st);
	g_autofree char *again = NULL;

	cr_assert_not_null(page, "%s", st.message);
	cr_expect(g_str_has_prefix(page, "before\n<!-- table cases -->\n\n| case |"));
	cr_expect(g_str_has_suffix(page, "<!-- end -->\nafter\n"));
	cr_expect_not(strstr(page, "old"));
	cr_expect_not(strstr(page, "nan"));
	again = page_rebuild(page, s, &st);
	cr_expect_str_eq(again, page);
	for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++)
		cr_expect_null(page_rebuild(wrong[i], s, &st), "case %zu", i);
	slopes_destroy(s);
}

/* A value that was not measured is shown as such. A missing slope must not count as 0. */
Test(capacity, not_measured)
{
	struct slopes *s = points_on_line("vms_bytes", "bytes", 4, 0, 100);
	struct status st = STATUS_INIT;
	g_autofree char *page = page_rebuild("<!-- table flows --><!-- end -->", s, &st);
	struct model m = { s, &design_current, &scenarios[0], MODEL_DAEMONS, 230 };

	cr_expect(strstr(page, "| start of a task | worker | 5.8 | not measured |"));
	cr_expect_gt(model_sum(&m).unmeasured, 0);
	slopes_destroy(s);
}
