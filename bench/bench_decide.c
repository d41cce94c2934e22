#include <inttypes.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/policy.h"
#include "standin/cell.h"

/*
 * bench_decide - what deciding costs and how well it packs.
 *
 *   bench_decide                      prints counts and packing as JSON lines
 *   bench_decide steady WORKERS OPS   runs OPS decisions in a full cell, for counting instructions
 *   bench_decide cancel N KEEP        submits N requests and N tasks, and cancels them unless KEEP
 * is 1
 */
#define GIB	       ((uint64_t)1 << 30)
#define CPU(n)	       ((uint32_t)(n)*1000u)
#define TEAMS	       690
#define TARGET_WORKERS 3700
#define TARGET_RUNNING 13000
#define STARTS_PER_S   2300
#define SERVICE_PART   5   /* one in so many running tasks is a service */
#define BACKLOG_PART   10  /* batch tasks waiting, as a part of those running */
#define ACCEL_PART     15  /* one in so many tasks wants accelerators */
#define EXAMINED_BOUND 64  /* workers looked at for a placement, of the search's own limit */
#define GANG_EVERY     512 /* steps */
#define GANG_SIZE      8
#define MEMORY_BOUND   256e6 /* bytes, of a daemon with all its parts */
#define RESERVE_SHARE  0.05  /* kept for urgent work by the default policy */

struct bench {
	struct cell c;
	GRand *rand;
	GArray *running; /* ids of work that ends */
};

static const struct worker_info kinds[] = {
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

static uint32_t pick(struct bench *b, uint32_t n)
{
	return (uint32_t)g_rand_int_range(b->rand, 0, (gint32)n);
}

static struct work random_task(struct bench *b, enum work_class class)
{
	static const uint32_t cpus[] = { 2, 4, 8, 8, 16, 16, 32 };
	uint32_t cpu = cpus[pick(b, G_N_ELEMENTS(cpus))];
	bool accel = pick(b, ACCEL_PART) == 0;

	return (struct work){
		.class = class,
		.job = 1 + pick(b, 20000),
		.team = pick(b, TEAMS),
		.service = 10 + pick(b, 50),
		.size = { .cpu_milli = CPU(cpu),
			  .mem_bytes = (uint64_t)cpu * (1 + pick(b, 5)) * GIB,
			  .accel = accel ? 1 + pick(b, 4) : 0 },
		.run_ms = 1000 + pick(b, 10000),
		.preemptible = pick(b, 2) == 0,
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
		struct worker_info info = kinds[i % 10 < 4 ? 0 : i % 10 < 9 ? 1 : 2];
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

static void end_one(struct bench *b)
{
	uint32_t i;
	uint64_t id;

	if (!b->running->len)
		return;
	i = pick(b, b->running->len);
	id = g_array_index(b->running, uint64_t, i);
	g_array_remove_index_fast(b->running, i);
	cell_end(&b->c, id, END_OK);
	g_hash_table_remove(b->c.works, &id);
}

/* Fills the cell to the target's density, and then until work has to wait. */
static void fill(struct bench *b, uint32_t workers)
{
	uint32_t running = (uint32_t)((uint64_t)TARGET_RUNNING * workers / TARGET_WORKERS);
	uint32_t submitted = 0;

	for (uint32_t i = 0; i < running / SERVICE_PART; i++, submitted++) {
		struct work w = random_task(b, WORK_SERVICE);

		cell_submit(&b->c, &w);
	}
	while (b->c.started < running || submitted < b->c.started + running / BACKLOG_PART) {
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

/* One step: some work ends, as much comes, and all that can be decided is. */
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
	if (i % GANG_EVERY == 0)
		submit_gang(b);
	end_one(b);
	cell_submit(&b->c, &w);
	cell_run(&b->c);
}

static void print(const char *name, const char *policy, double value, const char *unit,
		  double bound, bool ok)
{
	printf("{\"name\":\"%s%s%s\",\"value\":%.4g,\"unit\":\"%s\",", name, policy ? "." : "",
	       policy ? policy : "", value, unit);
	if (isnan(bound))
		printf("\"bound\":null,\"ok\":%s}\n", ok ? "true" : "false");
	else
		printf("\"bound\":%.6g,\"ok\":%s}\n", bound, ok ? "true" : "false");
}

static bool steady(uint32_t workers, uint32_t ops, bool report)
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
	if (report) {
		g_autofree char *examined = g_strdup_printf("decide.examined.%u", workers);
		g_autofree char *wall = g_strdup_printf("decide.wall.%u", workers);
		g_autofree char *allocs = g_strdup_printf("decide.allocations.%u", workers);
		double decisions = (double)MAX(after.decisions - before.decisions, 1);
		double n = (double)(after.examined - before.examined) / decisions;
		double a = (double)(after.allocations - before.allocations) / decisions;

		ok &= n <= EXAMINED_BOUND && a <= 1;
		print(examined, NULL, n, "workers/decision", EXAMINED_BOUND, n <= EXAMINED_BOUND);
		print(wall, NULL, wall_us / decisions, "us/decision", NAN, true);
		print(allocs, NULL, a, "allocations/decision", 1, a <= 1);
	} else {
		printf("%" PRIu64 " decisions, %u running\n", after.decisions - before.decisions,
		       b.running->len);
	}
	bench_clear(&b);
	return ok;
}

struct packed {
	double cpu;
	double mem;
	double accel;
	double stranded;
};

static struct packed packed_now(const struct cell *c)
{
	struct packed p = { 0 };
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
		p.cpu += w->used.cpu_milli;
		p.mem += (double)w->used.mem_bytes;
		p.accel += w->used.accel;
		if (cpu_left < CPU(1) || mem_left < GIB)
			p.stranded += w->info.total.accel - w->used.accel;
	}
	p.cpu /= cpu;
	p.mem /= mem;
	p.accel /= accel;
	p.stranded /= accel;
	return p;
}

/* Share used at the moment at which the first task has to wait. */
static struct packed pack(const char *policy)
{
	struct packed p;
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
	p = packed_now(&b.c);
	bench_clear(&b);
	return p;
}

static bool packing(void)
{
	static const char *const policies[] = { "first-fit-fifo", "least-loaded" };
	struct packed own = pack(NULL);
	struct packed best = { .stranded = 1 };
	bool ok;

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		struct packed p = pack(policies[i]);

		print("pack.cpu", policies[i], p.cpu, "share", NAN, true);
		print("pack.mem", policies[i], p.mem, "share", NAN, true);
		print("pack.accel", policies[i], p.accel, "share", NAN, true);
		print("pack.stranded", policies[i], p.stranded, "share of accelerators", NAN, true);
		best.cpu = MAX(best.cpu, p.cpu);
		best.mem = MAX(best.mem, p.mem);
		best.stranded = MIN(best.stranded, p.stranded);
	}
	best.cpu -= RESERVE_SHARE;
	best.mem -= RESERVE_SHARE;
	ok = own.cpu >= best.cpu && own.mem >= best.mem && own.stranded <= best.stranded;
	print("pack.cpu", "default", own.cpu, "share", best.cpu, own.cpu >= best.cpu);
	print("pack.mem", "default", own.mem, "share", best.mem, own.mem >= best.mem);
	print("pack.accel", "default", own.accel, "share", NAN, true);
	print("pack.stranded", "default", own.stranded, "share of accelerators", best.stranded,
	      own.stranded <= best.stranded);
	return ok;
}

static void ignore_start(void *ctx, uint64_t work, uint32_t worker)
{
}

static void ignore_refuse(void *ctx, uint64_t work, enum refuse_reason reason,
			  uint32_t retry_after_ms)
{
}

/* Memory of an owner with so many workers and tasks, of which those that find room run. */
static double memory_of(uint32_t workers, uint32_t tasks)
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
		struct worker_info info = kinds[1];

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

/* The whole cell in one owner, with as much waiting as running, and what each part adds. */
static bool memory(void)
{
	double all = memory_of(TARGET_WORKERS, 2 * TARGET_RUNNING);
	double idle = memory_of(TARGET_WORKERS, 0);
	double none = memory_of(0, 0);

	print("decide.memory.3700", NULL, all, "bytes", MEMORY_BOUND, all <= MEMORY_BOUND);
	print("decide.memory.empty", NULL, none, "bytes", NAN, true);
	print("decide.memory.worker", NULL, (idle - none) / TARGET_WORKERS, "bytes", NAN, true);
	print("decide.memory.task", NULL, (all - idle) / (2 * TARGET_RUNNING), "bytes", NAN, true);
	return all <= MEMORY_BOUND;
}

/* A wave of cancellations of work that waits. */
static int wave(uint32_t n, bool keep)
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
		return steady((uint32_t)atoi(argv[2]), (uint32_t)atoi(argv[3]), false) ? 0 : 1;
	if (argc == 4 && strcmp(argv[1], "cancel") == 0)
		return wave((uint32_t)atoi(argv[2]), atoi(argv[3]));
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		ok &= steady(sizes[i], 20000, true);
	ok &= packing();
	ok &= memory();
	return ok ? 0 : 1;
}
