#include <criterion/criterion.h>
#include <stdlib.h>

#include "sim.h"

/*
 * Checks the scheduler's invariants under random faults, by default with fixed seeds.
 * KW_SIM_SEEDS=N runs N seeds per case instead, starting at KW_SIM_FIRST, and KW_SIM_CASE is the
 * first case.
 */

struct sim_case {
	const char *what;
	struct sim_conf conf;
	uint32_t seeds;
};

static const struct sim_conf base = { .runners = 6,
				      .jobs = 60,
				      .job_every_ms = 400,
				      .tasks = 5,
				      .task_ms = 900,
				      .task_cpu_milli = 5000 };

static struct sim_conf faults(uint32_t fail, uint32_t lost, uint32_t late, uint32_t replace,
			      uint32_t silent, uint32_t restart, uint32_t gang, uint32_t cancel,
			      uint32_t advise)
{
	struct sim_conf c = base;

	c.fail_milli = fail;
	c.lost_milli = lost;
	c.late_milli = late;
	c.replace_every_ms = replace;
	c.silent_every_ms = silent;
	c.restart_milli = restart;
	c.gang_milli = gang;
	c.cancel_milli = cancel;
	c.advise_ms = advise;
	c.approved_milli = 500;
	return c;
}

/* Jobs with few attempts, some of whose runs all fail; replies to polls are lost or late. */
static struct sim_conf with_poison(struct sim_conf c, uint32_t late_poll)
{
	c.poison_milli = 300;
	c.attempts = 4;
	c.late_poll_milli = late_poll;
	return c;
}

/* Gangs whose members often fail together. */
static struct sim_conf with_failing_gangs(struct sim_conf c)
{
	c.gang_milli = 600;
	c.gang_fails_milli = 700;
	return c;
}

static struct sim_conf with_slow_writes(struct sim_conf c)
{
	c = with_poison(c, 0);
	c.write_ms = 180;
	return c;
}

static struct sim_conf with_slow_store(struct sim_conf c)
{
	c.attempts = 4;
	c.poison_milli = 300;
	c.store_ms = 400;
	c.job_every_ms = 100;
	c.jobs = 200;
	c.task_ms = 400;
	return c;
}

static struct sim_conf with_stops(struct sim_conf c)
{
	c = with_poison(c, 0);
	c.hang_milli = 100;
	c.checkpoint_milli = 700;
	c.job_every_ms = 250;
	c.jobs = 100;
	return c;
}

static struct sim_conf with_small_tasks(struct sim_conf c)
{
	c = with_poison(c, 0);
	c.runners = 1;
	c.jobs = 12;
	c.job_every_ms = 1000;
	c.tasks = 500;
	c.task_ms = 200;
	c.task_cpu_milli = 10;
	return c;
}

/* Restarts that the platform lists late, and few attempts. */
static struct sim_conf restarts(uint32_t late, uint32_t replace, uint32_t quick,
				uint32_t list_delay)
{
	struct sim_conf c = faults(150, 30, late, replace, 1500, 700, 200, 50, 0);

	c.attempts = 3;
	c.quick_milli = quick;
	c.list_delay_ms = list_delay;
	return c;
}

/* Entries of runners that are removed and return. */
static struct sim_conf removals(uint32_t late, uint32_t replace, uint32_t restart)
{
	struct sim_conf c = restarts(late, replace, 300, 1500);

	c.restart_milli = restart;
	c.removed_milli = 700;
	return c;
}

/* Jobs with a task that crashes its runner right after its start, or somewhat later. */
static struct sim_conf crashes(struct sim_conf c, uint32_t after_ms, uint32_t new_id)
{
	c.crash_milli = 100;
	c.crash_after_ms = after_ms;
	c.new_id_milli = new_id;
	c.list_delay_ms = 1500;
	c.runners = 12;
	c.jobs = 100;
	return c;
}

/* Runners whose capacity changes, in a store that stores nothing for seconds now and then. */
static struct sim_conf resizes(struct sim_conf c, uint32_t outage)
{
	c.resize_every_ms = 500;
	c.outage_every_ms = outage;
	c.task_cpu_milli = 8000;
	c.list_delay_ms = 1500;
	return c;
}

/* Teams whose jobs need more than their caps at times; the caps change. */
static struct sim_conf teams(struct sim_conf c, uint32_t cap_every)
{
	c.cap_milli = 10000;
	c.cap_every_ms = cap_every;
	c.list_delay_ms = 1500;
	return c;
}

static void check(const char *what, const struct sim_conf *conf)
{
	struct sim_result r;

	sim_run(conf, &r);
	cr_expect_eq(r.over_capacity, 0, "%s, seed %lu: %s", what, (unsigned long)conf->seed,
		     r.first_violation);
	cr_expect_eq(r.over_cap, 0, "%s, seed %lu: %s", what, (unsigned long)conf->seed,
		     r.first_violation);
	cr_expect_eq(r.duplicate_runs, 0, "%s, seed %lu: %s", what, (unsigned long)conf->seed,
		     r.first_violation);
	cr_expect_eq(r.reruns, 0, "%s, seed %lu: %s", what, (unsigned long)conf->seed,
		     r.first_violation);
	cr_expect_eq(r.starts_over_attempts, 0, "%s, seed %lu: %s", what, (unsigned long)conf->seed,
		     r.first_violation);
	cr_expect_eq(r.starts_over_crashes, 0, "%s, seed %lu: %s", what, (unsigned long)conf->seed,
		     r.first_violation);
	cr_expect_eq(r.starts_after_cancel, 0, "%s, seed %lu: %s", what, (unsigned long)conf->seed,
		     r.first_violation);
	cr_expect_eq(r.failed_early, 0, "%s, seed %lu: %s", what, (unsigned long)conf->seed,
		     r.first_violation);
	cr_expect_eq(r.open_jobs, 0, "%s, seed %lu: %u jobs did not end", what,
		     (unsigned long)conf->seed, r.open_jobs);
}

static uint32_t env_number(const char *name, uint32_t preset)
{
	const char *v = getenv(name);

	return v ? (uint32_t)strtoul(v, NULL, 10) : preset;
}

Test(sim, invariants_hold_under_faults)
{
	const struct sim_case cases[] = {
		{ "no faults", faults(0, 0, 0, 0, 0, 0, 0, 0, 0), 2 },
		{ "failures and cancellations", faults(50, 0, 0, 0, 0, 0, 200, 150, 0), 4 },
		{ "lost replies", faults(20, 100, 0, 0, 0, 0, 200, 50, 0), 6 },
		{ "late orders", faults(20, 30, 60, 0, 0, 0, 200, 50, 0), 6 },
		{ "silent runners", faults(20, 0, 0, 0, 1500, 0, 200, 50, 0), 6 },
		{ "restarted runners", faults(20, 20, 20, 0, 1500, 600, 200, 50, 0), 6 },
		{ "replaced schedulers", faults(20, 0, 0, 4000, 0, 0, 200, 100, 0), 8 },
		{ "replaced every second", faults(20, 50, 30, 1000, 2500, 300, 200, 100, 0), 6 },
		{ "replaced at once", faults(50, 100, 60, 300, 1500, 300, 300, 100, 0), 6 },
		{ "all together", faults(20, 50, 30, 3000, 2500, 300, 200, 100, 0), 12 },
		{ "all together, with advice", faults(20, 50, 30, 3000, 2500, 300, 200, 100, 60),
		  8 },
		{ "poison", with_poison(faults(50, 0, 0, 0, 0, 0, 300, 50, 0), 0), 4 },
		{ "poison, lost and late orders",
		  with_poison(faults(50, 50, 30, 0, 0, 0, 300, 50, 0), 0), 6 },
		{ "poison, replaced schedulers",
		  with_poison(faults(50, 50, 0, 3000, 0, 0, 300, 50, 0), 0), 8 },
		{ "poison, silent runners",
		  with_poison(faults(50, 50, 0, 0, 1500, 0, 300, 50, 0), 0), 6 },
		{ "poison, all together",
		  with_poison(faults(50, 50, 30, 3000, 2500, 300, 300, 50, 0), 0), 8 },
		{ "poison, slow store", with_slow_writes(faults(50, 50, 0, 2000, 0, 0, 300, 50, 0)),
		  8 },
		{ "jobs are stored slowly",
		  with_slow_store(faults(50, 30, 0, 800, 0, 0, 200, 0, 0)), 8 },
		{ "poison, stops of hung and preempted runs",
		  with_stops(faults(50, 50, 0, 3000, 2500, 0, 200, 50, 0)), 8 },
		{ "poison, hundreds of ends at once",
		  with_small_tasks(faults(50, 50, 0, 3000, 0, 0, 0, 0, 0)), 2 },
		{ "poison, late polls",
		  with_poison(faults(50, 50, 0, 3000, 1500, 0, 300, 50, 0), 30), 6 },
		/* Few seeds show a fault of this kind, so there are many. */
		{ "poison, late polls of restarted runners",
		  with_poison(faults(50, 50, 0, 0, 1500, 600, 300, 50, 0), 30), 60 },
		{ "late orders reach restarted runners", restarts(100, 0, 300, 1500), 12 },
		{ "late orders reach quickly restarted runners", restarts(100, 0, 1000, 3000), 12 },
		{ "late orders, restarts, replaced schedulers", restarts(60, 3000, 500, 1500), 12 },
		{ "entries are removed and return", removals(60, 0, 0), 8 },
		{ "entries are removed, restarts", removals(60, 0, 500), 8 },
		{ "entries are removed, restarts, replaced schedulers", removals(60, 3000, 500),
		  8 },
		{ "crashing tasks", crashes(faults(0, 0, 0, 0, 0, 0, 0, 0, 0), 10, 1000), 4 },
		{ "crashing tasks, runners keep their ids",
		  crashes(faults(20, 0, 0, 0, 0, 0, 0, 50, 0), 10, 0), 6 },
		{ "crashing tasks, gangs and advice",
		  crashes(faults(20, 20, 0, 0, 0, 0, 300, 50, 60), 10, 700), 6 },
		{ "tasks that crash later",
		  crashes(faults(20, 20, 0, 0, 0, 0, 200, 50, 0), 2000, 700), 6 },
		{ "crashing tasks, lost and late orders",
		  crashes(faults(20, 50, 30, 0, 0, 0, 200, 50, 0), 10, 700), 8 },
		{ "crashing tasks, silent and restarted runners",
		  crashes(faults(20, 20, 0, 0, 1500, 500, 200, 50, 0), 10, 700), 8 },
		{ "crashing tasks, replaced schedulers",
		  crashes(faults(20, 20, 0, 3000, 0, 0, 200, 50, 0), 10, 700), 8 },
		{ "crashing tasks, all together",
		  crashes(faults(20, 50, 30, 3000, 2500, 300, 200, 100, 60), 10, 700), 12 },
		{ "capacity changes", resizes(faults(0, 0, 0, 0, 0, 0, 200, 50, 0), 0), 6 },
		{ "capacity changes, outages of the store",
		  resizes(faults(20, 0, 0, 0, 0, 0, 200, 50, 0), 3000), 8 },
		{ "capacity changes, restarts",
		  resizes(faults(20, 20, 20, 0, 1500, 600, 200, 50, 0), 0), 8 },
		{ "capacity changes, all together",
		  resizes(faults(20, 50, 30, 3000, 2500, 300, 200, 100, 0), 6000), 8 },
		{ "teams", teams(faults(0, 0, 0, 0, 0, 0, 200, 50, 0), 0), 4 },
		{ "teams, caps change", teams(faults(20, 0, 0, 0, 0, 0, 200, 50, 0), 2000), 6 },
		{ "teams, lost and late orders",
		  teams(faults(20, 50, 60, 0, 0, 0, 200, 50, 0), 3000), 8 },
		{ "teams, silent and restarted runners",
		  teams(faults(20, 20, 20, 0, 1500, 600, 200, 50, 0), 3000), 8 },
		{ "teams, replaced schedulers",
		  teams(faults(20, 30, 0, 2000, 0, 0, 200, 50, 0), 3000), 8 },
		{ "teams, jobs are stored slowly",
		  teams(with_slow_store(faults(50, 30, 0, 800, 0, 0, 200, 0, 0)), 3000), 8 },
		{ "teams, all together, with advice",
		  teams(faults(20, 50, 30, 3000, 2500, 300, 200, 100, 60), 3000), 12 },
		{ "gangs fail together",
		  with_failing_gangs(with_poison(faults(100, 0, 0, 0, 0, 0, 0, 50, 0), 0)), 4 },
		{ "gangs fail together, lost and late orders",
		  with_failing_gangs(with_poison(faults(100, 50, 30, 0, 0, 0, 0, 50, 0), 30)), 8 },
		{ "gangs fail together, silent and restarted runners",
		  with_failing_gangs(restarts(30, 0, 500, 1500)), 8 },
		{ "gangs fail together, replaced schedulers",
		  with_failing_gangs(with_poison(faults(100, 30, 0, 800, 0, 0, 0, 50, 0), 0)), 8 },
		{ "gangs fail together, slow store",
		  with_failing_gangs(with_slow_writes(faults(100, 30, 0, 1500, 0, 0, 0, 50, 0))),
		  8 },
		{ "gangs fail together, all together, with advice",
		  with_failing_gangs(
			  with_poison(faults(100, 50, 30, 3000, 2500, 300, 0, 100, 60), 0)),
		  8 },
	};
	uint32_t first = env_number("KW_SIM_FIRST", 1);
	uint32_t more = env_number("KW_SIM_SEEDS", 0);

	for (size_t i = env_number("KW_SIM_CASE", 0); i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct sim_conf conf = cases[i].conf;

		for (uint32_t k = 0; k < (more ? more : cases[i].seeds); k++) {
			conf.seed = first + k + (more ? 0 : 100 * i);
			check(cases[i].what, &conf);
		}
	}
}
