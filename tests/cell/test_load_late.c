#include <criterion/criterion.h>
#include <stdlib.h>

#include "load.h"

/*
 * A small site whose jobs are late since the store was slow, while many others fail again and again
 * and ask for advice each time. Jobs in time came first at the advisor, so late ones got none for
 * 45 s, and some had no run when all others had ended. The advisor can't serve all jobs in time
 * there.
 */
static const struct load_conf small_site = {
	.seed = 1,
	.seconds = 40,
	.runners = 48,
	.runner_cpu_milli = 16000,
	.runner_mem_mib = 32768,
	.advisor_clients = 7,
	.order_ms = 13,
	.store_ms = 20,
	.examine_ns = 12,
	.cpu_milli = 500,
	.takeover_ms = 1200,
	.slow_at_s = 4,
	.slow_s = 14,
	.slow_ms = 800,
	.takeover_at_s = { 6, 14, 22 },
	.n_queue = 3,
	.queue = {
		{ .name = "plans", .priority = 1, .jobs_per_100_s = 15, .steps_milli = 1200,
		  .tasks = 20, .task_ms = 6200, .cpu_milli = 4500, .mem_mib = 6300,
		  .estimate_error_milli = 500, .gang_milli = 1000, .checkpoint_milli = 500,
		  .fail_milli = 5, .poison_milli = 300, .attempts = 4, .stretch_milli = 2200,
		  .objective_ms = 1200, .advice_base_us = 550000, .advice_per_runner_us = 7800,
		  .approved_milli = 300, .worth_milli = 13500 },
		{ .name = "tallies", .priority = 2, .jobs_per_100_s = 1200, .steps_milli = 1500,
		  .tasks = 3, .task_ms = 1500, .cpu_milli = 1000, .mem_mib = 1000,
		  .estimate_error_milli = 500, .checkpoint_milli = 800, .fail_milli = 50,
		  .poison_milli = 300, .attempts = 2, .stretch_milli = 4000,
		  .objective_ms = 3000, .advice_base_us = 155000, .advice_per_runner_us = 2200,
		  .approved_milli = 450, .worth_milli = 2590 },
		{ .name = "posts", .priority = 0, .jobs_per_100_s = 4200, .steps_milli = 1000,
		  .tasks = 3, .task_ms = 800, .cpu_milli = 1500, .mem_mib = 2600,
		  .estimate_error_milli = 900, .gang_milli = 300, .fail_milli = 50,
		  .poison_milli = 300, .attempts = 3, .stretch_milli = 1500,
		  .objective_ms = 400, .advice_base_us = 17000, .advice_per_runner_us = 250,
		  .approved_milli = 700, .worth_milli = 405 },
	},
};

#define SMALL_SITE_SEEDS 8

/*
 * The users' limits: no task whose turn has come waits for LOAD_IDLE_MS while there is room, and
 * each job has ended LOAD_DONE_MS after the traffic.
 */
Test(load_late, late_jobs_get_advice)
{
	const char *seed = g_getenv("KW_LOAD_SEED");
	struct load_conf conf = small_site;
	uint32_t idle_steps = 0;
	uint32_t left_jobs = 0;

	conf.seed = seed ? (uint32_t)atoi(seed) : conf.seed;
	for (uint32_t i = 0; i < SMALL_SITE_SEEDS; i++, conf.seed++) {
		struct load_result r;

		load_run(&conf, &r);
		idle_steps += r.idle_steps;
		left_jobs += r.left_jobs;
	}
	cr_expect_eq(idle_steps, 0, "%u steps without a run", idle_steps);
	cr_expect_eq(left_jobs, 0, "%u jobs did not end", left_jobs);
}
