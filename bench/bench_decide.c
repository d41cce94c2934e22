#include <inttypes.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/policy.h"
#include "standin/cell.h"

/*
 * bench_decide - cost of placement decisions, and how well they pack
 *
 *   bench_decide                      prints counts and utilization as JSON lines
 *   bench_decide steady WORKERS OPS   runs OPS decisions in a full cell, to count instructions
 *   bench_decide cancel N KEEP        submits N requests and N tasks; cancels them if KEEP is 0
 */
#define GIB		     ((uint64_t)1 << 30)
#define CPU(n)		     ((uint32_t)(n)*1000u)
#define TEAMS		     690
#define TARGET_WORKERS	     3700
#define TARGET_RUNNING_TASKS 13000
#define STARTS_PER_S	     2300
#define RUNNING_PER_SERVICE  5	/* running tasks per task of a service */
#define RUNNING_PER_WAITING  10 /* running tasks per waiting batch task */
#define TASKS_PER_ACCEL_TASK 15 /* tasks per task that needs accelerators */
#define EXAMINED_MAX	     64 /* workers per decision; the search has a limit of its own */
#define GANG_INTERVAL_STEPS  512
#define GANG_SIZE	     8
#define MEMORY_MAX_BYTES     256e6 /* budget of a whole daemon */
#define RESERVE_SHARE	     0.05  /* kept for urgent work by the default policy */

struct bench {
	struct cell c;
	GRand *rand;
	GArray *running; /* ids of running work, without services */
};

static const struct worker_info worker_kinds[] = {
	{ .name = "desk",
	  .total = { .cpu_milli = CPU(32), .mem_bytes = 128 * GIB },
	  .slots = 8,
	  .connections = 64,
	  .service = 1 },
	{ .name = "plain",
	  .total = { .cpu_milli = CPU(64), .mem_bytes = 256 * GIB },
	  .service = UINT32_MAX },
	{ .name = "lab",
	  .total = { .cpu_milli = CPU(128), .mem_bytes = 512 * GIB, .accel = 8 },
	  .service = UINT32_MAX },
};

static uint32_t random_below(struct bench *b, uint32_t n)
{
	return (uint32_t)g_rand_int_range(b->rand, 0, (gint32)n);
}

static struct work random_task(struct bench *b, enum work_class class)
{
	static const uint32_t cpus[] = { 2, 4, 8, 8, 16, 16, 32 };
	uint32_t cpu = cpus[random_below(b, G_N_ELEMENTS(cpus))];
	bool accel = random_below(b, TASKS_PER_ACCEL_TASK) == 0;

	return (struct work){
		.class = class,
		.job = 1 + random_below(b, 20000),
		.team = random_below(b, TEAMS),
		.service = 10 + random_below(b, 50),
		.size = { .cpu_milli = CPU(cpu),
			  .mem_bytes = (uint64_t)cpu * (1 + random_below(b, 5)) * GIB,
			  .accel = accel ? 1 + random_below(b, 4) : 0 },
		.run_ms = 1000 + random_below(b, 10000),
		.preemptible = random_below(b, 2) == 0,
		.avoid_worker = UINT32_MAX,
	};
}

static void on_started(void *ctx, struct cell_work *w)
{
	struct bench *b = ctx;

	if (w->w.class != WORK_SERVICE)
		g_array_append_val(b->running, w->w.id);
}

static const struct cell_hooks hooks = { .started = on_started };

static void bench_init(struct bench *b, const char *policy, uint32_t workers)
{
	struct owner_conf conf;

	owner_conf_default(&conf);
	conf.policy = policy;
	*b = (struct bench){ .rand = g_rand_new_with_seed(7) };
	b->running = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	cell_init(&b->c, &conf);
	b->c.hooks = &hooks;
	b->c.hooks_ctx = b;
	for (uint32_t i = 0; i < workers; i++) {
		struct worker_info info = worker_kinds[i % 10 < 4 ? 0 : i % 10 < 9 ? 1 : 2];
		g_autofree char *rack = g_strdup_printf("r%u", i / 5);

		info.rack = rack;
		cell_worker(&b->c, &info);
	}
}

static void bench_clear(struct bench *b)
{
	cell_clear(&b->c);
	g_array_free(b->running, TRUE);
	g_rand_free(b->rand);
}

static void end_random(struct bench *b)
{
	uint32_t i;
	uint64_t id;

	if (!b->running->len)
		return;
	i = random_below(b, b->running->len);
	id = g_array_index(b->running, uint64_t, i);
	g_array_remove_index_fast(b->running, i);
	cell_end(&b->c, id, END_OK);
	g_hash_table_remove(b->c.works, &id);
}

/* Fills the cell to the density of the target load, and then until work has to wait. */
static void fill(struct bench *b, uint32_t workers)
{
	uint32_t running = (uint32_t)((uint64_t)TARGET_RUNNING_TASKS * workers / TARGET_WORKERS);
	uint32_t submitted = 0;

	for (uint32_t i = 0; i < running / RUNNING_PER_SERVICE; i++, submitted++) {
		struct work w = random_task(b, WORK_SERVICE);

		cell_submit(&b->c, &w);
	}
	while (b->c.started < running || submitted < b->c.started + running / RUNNING_PER_WAITING) {
		struct work w = random_task(b, WORK_BATCH);

		cell_submit(&b->c, &w);
		submitted++;
		if (submitted % 64 == 0)
			cell_run(&b->c);
		if (submitted > 20 * running + 1000)
			break;
	}
}

static void submit_gang(struct bench *b)
{
	struct work w = random_task(b, WORK_GANG);

	w.job = b->c.next_id << 20;
	w.gang_size = GANG_SIZE;
	for (int i = 0; i < GANG_SIZE; i++)
		cell_submit(&b->c, &w);
}

/* One piece of work ends, another is submitted, and the owner decides on what is waiting. */
static void step(struct bench *b, uint32_t i)
{
	static const enum work_class classes[] = { WORK_URGENT, WORK_REQUEST, WORK_REQUEST,
						   WORK_BATCH,	WORK_BATCH,   WORK_BATCH,
						   WORK_BATCH,	WORK_BATCH,   WORK_BATCH,
						   WORK_BATCH };
	struct work w = random_task(b, classes[i % G_N_ELEMENTS(classes)]);

	b->c.now_ms = 1000 + (int64_t)i * 1000 / STARTS_PER_S;
	if (w.class <= WORK_REQUEST) {
		w.slot = true;
		w.service = 1;
		w.size = (struct res){ 0 };
		w.deadline_ms = b->c.now_ms + 20000;
	}
	if (i % GANG_INTERVAL_STEPS == 0)
		submit_gang(b);
	end_random(b);
	cell_submit(&b->c, &w);
	cell_run(&b->c);
}

static void print_measure(const char *name, const char *policy, double value, const char *unit,
			  double bound, bool ok)
{
	printf("{\"name\":\"%s%s%s\",\"value\":%.4g,\"unit\":\"%s\",", name, policy ? "." : "",
	       policy ? policy : "", value, unit);
	if (isnan(bound))
		printf("\"bound\":null,\"ok\":%s}\n", ok ? "true" : "false");
	else
		printf("\"bound\":%.6g,\"ok\":%s}\n", bound, ok ? "true" : "false");
}

static bool run_steady(uint32_t workers, uint32_t ops, bool print_measures)
{
	struct owner_stats before;
	struct owner_stats after;
	struct bench b;
	int64_t start_us;
	double wall_us;
	bool ok;

	bench_init(&b, NULL, workers);
	fill(&b, workers);
	owner_stats(b.c.owner, &before);
	start_us = g_get_monotonic_time();
	for (uint32_t i = 0; i < ops; i++)
		step(&b, i);
	wall_us = (double)(g_get_monotonic_time() - start_us);
	owner_stats(b.c.owner, &after);
	ok = !b.c.faults;
	if (!ok)
		fprintf(stderr, "%s\n", b.c.fault);
	if (print_measures) {
		g_autofree char *examined = g_strdup_printf("decide.examined.%u", workers);
		g_autofree char *wall = g_strdup_printf("decide.wall.%u", workers);
		g_autofree char *allocs = g_strdup_printf("decide.allocations.%u", workers);
		double decisions = (double)MAX(after.decisions - before.decisions, 1);
		double examined_mean = (double)(after.examined - before.examined) / decisions;
		double allocs_mean = (double)(after.allocations - before.allocations) / decisions;

		ok &= examined_mean <= EXAMINED_MAX && allocs_mean <= 1;
		print_measure(examined, NULL, examined_mean, "workers/decision", EXAMINED_MAX,
			      examined_mean <= EXAMINED_MAX);
		print_measure(wall, NULL, wall_us / decisions, "us/decision", NAN, true);
		print_measure(allocs, NULL, allocs_mean, "allocations/decision", 1,
			      allocs_mean <= 1);
	} else {
		printf("%" PRIu64 " decisions, %u running\n", after.decisions - before.decisions,
		       b.running->len);
	}
	bench_clear(&b);
	return ok;
}

struct utilization {
	double cpu;
	double mem;
	double accel;
	double stranded_accel;
};

static struct utilization measure_utilization(const struct cell *c)
{
	struct utilization u = { 0 };
	double cpu = 0;
	double mem = 0;
	double accel = 0;

	for (guint i = 0; i < c->workers->len; i++) {
		const struct cell_worker *w = &g_array_index(c->workers, struct cell_worker, i);
		uint32_t cpu_left = w->info.total.cpu_milli - w->used.cpu_milli;
		uint64_t mem_left = w->info.total.mem_bytes - w->used.mem_bytes;

		cpu += w->info.total.cpu_milli;
		mem += (double)w->info.total.mem_bytes;
		accel += w->info.total.accel;
		u.cpu += w->used.cpu_milli;
		u.mem += (double)w->used.mem_bytes;
		u.accel += w->used.accel;
		if (cpu_left < CPU(1) || mem_left < GIB)
			u.stranded_accel += w->info.total.accel - w->used.accel;
	}
	u.cpu /= cpu;
	u.mem /= mem;
	u.accel /= accel;
	u.stranded_accel /= accel;
	return u;
}

/* Utilization when the first task has to wait. */
static struct utilization fill_until_wait(const char *policy)
{
	struct utilization u;
	struct bench b;
	uint32_t submitted = 0;

	bench_init(&b, policy, 500);
	while (b.c.started == submitted) {
		struct work w = random_task(&b, WORK_BATCH);

		w.team = 0;
		cell_submit(&b.c, &w);
		submitted++;
		cell_run(&b.c);
	}
	u = measure_utilization(&b.c);
	bench_clear(&b);
	return u;
}

static bool check_packing(void)
{
	static const char *const policies[] = { "first-fit-fifo", "least-loaded" };
	struct utilization dflt = fill_until_wait(NULL);
	struct utilization best = { .stranded_accel = 1 };
	bool ok;

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		struct utilization u = fill_until_wait(policies[i]);

		print_measure("pack.cpu", policies[i], u.cpu, "share", NAN, true);
		print_measure("pack.mem", policies[i], u.mem, "share", NAN, true);
		print_measure("pack.accel", policies[i], u.accel, "share", NAN, true);
		print_measure("pack.stranded", policies[i], u.stranded_accel,
			      "share of accelerators", NAN, true);
		best.cpu = MAX(best.cpu, u.cpu);
		best.mem = MAX(best.mem, u.mem);
		best.stranded_accel = MIN(best.stranded_accel, u.stranded_accel);
	}
	best.cpu -= RESERVE_SHARE;
	best.mem -= RESERVE_SHARE;
	ok = dflt.cpu >= best.cpu && dflt.mem >= best.mem &&
	     dflt.stranded_accel <= best.stranded_accel;
	print_measure("pack.cpu", "default", dflt.cpu, "share", best.cpu, dflt.cpu >= best.cpu);
	print_measure("pack.mem", "default", dflt.mem, "share", best.mem, dflt.mem >= best.mem);
	print_measure("pack.accel", "default", dflt.accel, "share", NAN, true);
	print_measure("pack.stranded", "default", dflt.stranded_accel, "share of accelerators",
		      best.stranded_accel, dflt.stranded_accel <= best.stranded_accel);
	return ok;
}

static void ignore_start(void *ctx, uint64_t work, uint32_t worker)
{
}

static void ignore_refuse(void *ctx, uint64_t work, enum refuse_reason reason,
			  uint32_t retry_after_ms)
{
}

/* Memory of an owner with these workers and tasks. Tasks that don't fit wait. */
static double owner_heap_bytes(uint32_t workers, uint32_t tasks)
{
	static const struct owner_ops ops = { .start = ignore_start, .refuse = ignore_refuse };
	size_t before = mallinfo2().uordblks;
	struct owner_conf conf;
	struct owner *o;
	double bytes;

	owner_conf_default(&conf);
	o = owner_create(&conf, &ops, NULL);
	for (uint32_t i = 0; i < workers; i++) {
		g_autofree char *rack = g_strdup_printf("r%u", i / 5);
		struct worker_info info = worker_kinds[1];

		info.rack = rack;
		owner_worker_set_state(o, owner_worker_add(o, &info), WORKER_READY, 0);
	}
	for (uint32_t i = 0; i < tasks; i++) {
		struct work w = { .id = i + 1,
				  .job = 1,
				  .class = WORK_BATCH,
				  .team = i % TEAMS,
				  .size = { .cpu_milli = CPU(17), .mem_bytes = GIB },
				  .avoid_worker = UINT32_MAX };

		owner_submit(o, &w, 0, NULL);
	}
	owner_run(o, 0);
	bytes = (double)(mallinfo2().uordblks - before);
	owner_destroy(o);
	return bytes;
}

/* One owner of the whole cell, with as many tasks waiting as running, and the memory per item. */
static bool check_memory(void)
{
	double loaded = owner_heap_bytes(TARGET_WORKERS, 2 * TARGET_RUNNING_TASKS);
	double idle = owner_heap_bytes(TARGET_WORKERS, 0);
	double empty = owner_heap_bytes(0, 0);

	print_measure("decide.memory.3700", NULL, loaded, "bytes", MEMORY_MAX_BYTES,
		      loaded <= MEMORY_MAX_BYTES);
	print_measure("decide.memory.empty", NULL, empty, "bytes", NAN, true);
	print_measure("decide.memory.worker", NULL, (idle - empty) / TARGET_WORKERS, "bytes", NAN,
		      true);
	print_measure("decide.memory.task", NULL, (loaded - idle) / (2 * TARGET_RUNNING_TASKS),
		      "bytes", NAN, true);
	return loaded <= MEMORY_MAX_BYTES;
}

/* Cancels n waiting requests and n waiting tasks. With keep, only submits them. */
static int run_cancellations(uint32_t n, bool keep)
{
	static const struct owner_ops ops = { .start = ignore_start, .refuse = ignore_refuse };
	struct owner_conf conf;
	struct owner *o;

	owner_conf_default(&conf);
	conf.team_queue_max = conf.queue_max;
	o = owner_create(&conf, &ops, NULL);
	for (uint32_t i = 0; i < 2 * n; i++) {
		struct work w = { .id = i + 1,
				  .job = 1 + i / 100,
				  .class = i % 2 ? WORK_BATCH : WORK_REQUEST,
				  .slot = i % 2 == 0,
				  .team = i % TEAMS,
				  .service = 1,
				  .size = { .cpu_milli = CPU(1), .mem_bytes = GIB },
				  .avoid_worker = UINT32_MAX };

		owner_submit(o, &w, i, NULL);
	}
	for (uint32_t i = 0; i < 2 * n && !keep; i++)
		owner_cancel(o, i + 1, INT32_MAX);
	owner_destroy(o);
	return 0;
}

int main(int argc, char **argv)
{
	static const uint32_t sizes[] = { 50, 500, 3700, 10000 };
	bool ok = true;

	if (argc == 4 && strcmp(argv[1], "steady") == 0)
		return run_steady((uint32_t)atoi(argv[2]), (uint32_t)atoi(argv[3]), false) ? 0 : 1;
	if (argc == 4 && strcmp(argv[1], "cancel") == 0)
		return run_cancellations((uint32_t)atoi(argv[2]), atoi(argv[3]));
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		ok &= run_steady(sizes[i], 20000, true);
	ok &= check_packing();
	ok &= check_memory();
	return ok ? 0 : 1;
}
