/* Memory, text size and processor time of the metrics, by teams. */
#include <glib.h>

#include "bench.h"
#include "process/metrics.h"
#include "process/types.h"

#define SERVICES_PER_TEAM 2

static const uint32_t team_sizes[] = { 50, 170, 345, 690 };

/* The metrics of a daemon that has had requests of each service with every outcome. */
static struct metrics *make_metrics(uint32_t teams)
{
	struct metrics *m = metrics_create();

	for (uint32_t t = 0; t < teams; t++) {
		g_autofree char *team = g_strdup_printf("team-%04u", t);

		for (int c = 0; c < WORK_CLASSES; c++) {
			struct hist *h =
				metrics_hist(m, "kw_request_ms", "Time.", "team", team, "class",
					     work_class_name((enum work_class)c), NULL);

			for (uint64_t v = 1; v < 10000; v *= 2)
				hist_add(h, v);
		}
		for (uint32_t k = 0; k < SERVICES_PER_TEAM * (OUTCOMES - 1); k++) {
			g_autofree char *service = g_strdup_printf("service-%04u", t * 2 + k % 2);
			enum outcome out = (enum outcome)(OUTCOME_DONE + k / SERVICES_PER_TEAM);

			metrics_counter(m, "kw_requests_total", "Requests.", "service", service,
					"outcome", outcome_name(out), NULL)
				->value = 1000;
		}
	}
	return m;
}

static void write_text(void *ctx)
{
	GString *out = g_string_new(NULL);

	metrics_write(ctx, NULL, out);
	g_string_free(out, TRUE);
}

int main(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(team_sizes); i++) {
		uint32_t teams = team_sizes[i];
		uint64_t before = bench_heap_bytes();
		struct metrics *m = make_metrics(teams);
		GString *out;

		if (!bench_under_callgrind()) {
			bench_print_point("metrics_memory", "bytes", "teams", teams,
					  (double)(bench_heap_bytes() - before));
			out = g_string_new(NULL);
			metrics_write(m, NULL, out);
			bench_print_point("metrics_text_bytes", "bytes", "teams", teams,
					  (double)out->len);
			g_string_free(out, TRUE);
		}
		bench_measure("metrics_text", "teams", teams, write_text, m);
		metrics_destroy(m);
	}
	return 0;
}
