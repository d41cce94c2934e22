#include <math.h>
#include <stdio.h>
#include <string.h>

#include "trace_sim.h"

/*
 * replay - replays traces against the core and checks their expected outcomes
 *
 *   replay [--policy NAME] TRACE...   exits with 1 if an outcome is not met
 *   replay --compare TRACE...         prints waits and counts under each policy, without checks
 */
static void print_number(const char *key, double value)
{
	if (isnan(value))
		printf(",\"%s\":null", key);
	else
		printf(",\"%s\":%.10g", key, value);
}

static bool check_outcome(const char *trace, const struct trace_sim *sim,
			  const struct trace_event *expect)
{
	double value = trace_sim_measure(sim, expect);
	bool ok = !(value > expect->max) && !(value < expect->min);
	double bound = isnan(expect->max) ? expect->min : expect->max;

	printf("{\"name\":\"%s.%s", trace, expect->name);
	if (expect->select_class != TRACE_ANY)
		printf(".%s", work_class_name((enum work_class)expect->select_class));
	if (expect->select_team != TRACE_ANY)
		printf(".team%ld", (long)expect->select_team);
	if (expect->select_job != TRACE_ANY)
		printf(".job%ld", (long)expect->select_job);
	printf("\"");
	print_number("value", value);
	printf(",\"unit\":\"%s\"", g_str_has_suffix(expect->name, "_ms") ? "ms" : "count");
	print_number("bound", bound);
	printf(",\"ok\":%s,\"why\":\"%s\"}\n", ok ? "true" : "false", expect->reason);
	return ok;
}

static bool replay_trace(const char *trace, const GArray *events, const char *policy)
{
	struct trace_sim sim;
	bool ok;

	trace_sim_run(&sim, events, policy);
	ok = !sim.cell.faults;
	printf("{\"name\":\"%s.faults\",\"value\":%u,\"unit\":\"count\",\"bound\":0,\"ok\":%s}\n",
	       trace, sim.cell.faults, ok ? "true" : "false");
	if (!ok)
		fprintf(stderr, "%s: %s\n", trace, sim.cell.fault);
	for (guint i = 0; i < events->len; i++) {
		const struct trace_event *expect = &g_array_index(events, struct trace_event, i);

		if (expect->kind == TRACE_EXPECT)
			ok &= check_outcome(trace, &sim, expect);
	}
	trace_sim_clear(&sim);
	return ok;
}

static void print_waits(const char *trace, const char *policy, const struct trace_sim *sim,
			enum work_class class)
{
	static const struct {
		const char *name;
		double fraction;
	} quantiles[] = { { "p50", 0.5 }, { "p99", 0.99 }, { "max", 1 } };
	struct trace_event select = { .select_class = class,
				      .select_team = TRACE_ANY,
				      .select_job = TRACE_ANY };
	g_autoptr(GArray) waits = trace_sim_waits(sim, &select);

	for (size_t i = 0; waits->len && i < G_N_ELEMENTS(quantiles); i++)
		printf("{\"name\":\"%s.%s.wait_%s.%s\",\"value\":%ld,\"unit\":\"ms\",\"bound\":"
		       "null,"
		       "\"ok\":true}\n",
		       trace, policy, quantiles[i].name, work_class_name(class),
		       (long)g_array_index(waits, int64_t,
					   (guint)(quantiles[i].fraction * (waits->len - 1))));
}

static void compare_policies(const char *trace, const GArray *events)
{
	static const char *const policies[] = { "default", "first-fit-fifo", "least-loaded" };
	static const char *const outcomes[] = { "submitted", "in_time", "late", "not_run",
						"refused_later" };

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		struct trace_sim sim;

		trace_sim_run(&sim, events, policies[i]);
		for (int class = 0; class < WORK_CLASSES; class ++)
			print_waits(trace, policies[i], &sim, (enum work_class) class);
		for (size_t j = 0; j < G_N_ELEMENTS(outcomes); j++) {
			struct trace_event expect = { .name = (char *)outcomes[j],
						      .select_class = TRACE_ANY,
						      .select_team = TRACE_ANY,
						      .select_job = TRACE_ANY };

			printf("{\"name\":\"%s.%s.%s\",\"value\":%.10g,\"unit\":\"count\","
			       "\"bound\":null,\"ok\":true}\n",
			       trace, policies[i], outcomes[j], trace_sim_measure(&sim, &expect));
		}
		trace_sim_clear(&sim);
	}
}

int main(int argc, char **argv)
{
	bool compare = argc > 1 && strcmp(argv[1], "--compare") == 0;
	bool has_policy = argc > 2 && strcmp(argv[1], "--policy") == 0;
	const char *policy = has_policy ? argv[2] : NULL;
	bool ok = true;

	for (int i = 1 + compare + 2 * has_policy; i < argc; i++) {
		g_autofree char *base = g_path_get_basename(argv[i]);
		g_autoptr(GError) err = NULL;
		GArray *events = trace_load(argv[i], &err);

		if (!events) {
			fprintf(stderr, "%s: %s\n", argv[i], err->message);
			return 2;
		}
		*strchrnul(base, '.') = '\0';
		if (compare)
			compare_policies(base, events);
		else
			ok &= replay_trace(base, events, policy);
		g_array_unref(events);
	}
	return ok ? 0 : 1;
}
