/* Sizes of records and snapshots, memory and processor time of the configuration. */
#include <glib.h>

#include "bench.h"
#include "version/config.h"

#define SERVICES_PER_TEAM 2
#define APPLY_ROUNDS	  8

static const uint32_t change_sizes[] = { 1, 4, 16, 64 };
static const uint32_t team_sizes[] = { 50, 170, 345, 690 };

static struct config_change team_change(uint32_t i, uint64_t base)
{
	struct config_change c = { .is_team = true, .base_version = base };

	g_snprintf(c.team.name, sizeof(c.team.name), "team-%04u", i);
	g_strlcpy(c.team.home_dc, "north-a", sizeof(c.team.home_dc));
	c.team.weight = 100;
	c.team.quota = (struct res){ .cpu_milli = 640000, .mem_bytes = (uint64_t)1 << 40 };
	return c;
}

static struct config_change service_change(uint32_t i, uint64_t base)
{
	struct config_change c = { .base_version = base };
	struct config_service *s = &c.service;

	g_snprintf(s->name, sizeof(s->name), "service-%04u", i);
	g_snprintf(s->team, sizeof(s->team), "team-%04u", i / SERVICES_PER_TEAM);
	s->class = WORK_REQUEST;
	s->size = (struct res){ .cpu_milli = 2000, .mem_bytes = (uint64_t)4 << 30 };
	s->run_ms = 30000;
	s->deadline_ms = 60000;
	s->answer_max_bytes = 1 << 20;
	return c;
}

static struct config *apply(struct config *c, const struct config_change *change, size_t n)
{
	struct status st = STATUS_INIT;
	size_t size;
	g_autofree uint8_t *data = config_encode_record(
		"an.author@shuangxi.example", config_next_offset(c) + 1, change, n, &size);
	struct config *next = config_apply(c, config_next_offset(c), data, size, &st);

	if (st.code != STATUS_OK)
		g_error("record refused: %s", st.message);
	config_unref(c);
	return next;
}

static struct config *build(uint32_t teams)
{
	struct config *c = config_empty();

	for (uint32_t t = 0; t < teams; t++) {
		struct config_change change[1 + SERVICES_PER_TEAM] = { team_change(t, 0) };

		for (uint32_t k = 0; k < SERVICES_PER_TEAM; k++)
			change[1 + k] = service_change(t * SERVICES_PER_TEAM + k, 0);
		c = apply(c, change, G_N_ELEMENTS(change));
	}
	return c;
}

/* Many changes in a row of the same service. */
static void apply_rounds(void *ctx)
{
	struct config **c = ctx;

	for (int i = 0; i < APPLY_ROUNDS; i++) {
		uint64_t base = config_service(*c, "service-0000")->version;
		struct config_change change = service_change(0, base);

		*c = apply(*c, &change, 1);
	}
}

static void measure_records(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(change_sizes); i++) {
		g_autofree struct config_change *change =
			g_new0(struct config_change, change_sizes[i]);
		size_t size;

		for (uint32_t k = 0; k < change_sizes[i]; k++)
			change[k] = service_change(1000 + k, 7000);
		g_free(config_encode_record("an.author@shuangxi.example", 1, change,
					    change_sizes[i], &size));
		bench_print_point("config_record_bytes", "bytes", "changed services",
				  change_sizes[i], (double)size);
	}
}

int main(void)
{
	if (!bench_under_callgrind())
		measure_records();
	for (size_t i = 0; i < G_N_ELEMENTS(team_sizes); i++) {
		uint64_t before = bench_heap_bytes();
		struct config *c = build(team_sizes[i]);
		size_t size;

		if (!bench_under_callgrind()) {
			bench_print_point("config_memory", "bytes", "teams", team_sizes[i],
					  (double)(bench_heap_bytes() - before));
			g_free(config_encode_snapshot(c, &size));
			bench_print_point("config_snapshot_bytes", "bytes", "teams", team_sizes[i],
					  (double)size);
		}
		bench_measure("config_apply_8", "teams", team_sizes[i], apply_rounds, &c);
		config_unref(c);
	}
	return 0;
}
