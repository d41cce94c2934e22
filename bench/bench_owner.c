/* Memory of an owner, by workers and waiting work; processor time of its decisions, by workers. */
#include <glib.h>

#include "bench.h"
#include "process/owner.h"

#define DECISIONS	 200
#define TASKS_PER_WORKER 3
#define TEAMS		 64

static const uint32_t worker_sizes[] = { 24, 48, 96, 192 };
static const uint32_t queue_sizes[] = { 256, 512, 1024, 2048 };

struct owner_bench {
	struct owner *owner;
	GQueue running; /* ids, oldest first */
	uint64_t next_id;
	int64_t now_ms;
};

static void on_start(void *ctx, uint64_t work, uint32_t worker)
{
	struct owner_bench *b = ctx;

	g_queue_push_tail(&b->running, GSIZE_TO_POINTER(work));
}

static void on_refuse(void *ctx, uint64_t work, enum refuse_reason reason, uint32_t retry_after_ms)
{
	g_error("work %" G_GUINT64_FORMAT " was refused: %d", work, reason);
}

static void on_preempt(void *ctx, uint64_t work, uint32_t worker)
{
}

static const struct owner_ops ops = { on_start, on_refuse, on_preempt };

static void submit(struct owner_bench *b)
{
	struct work w = {
		.id = ++b->next_id,
		.job = b->next_id,
		.size = { .cpu_milli = 8000, .mem_bytes = (uint64_t)16 << 30 },
		.class = WORK_BATCH,
		.team = (uint32_t)(b->next_id % TEAMS),
		.service = (uint32_t)(b->next_id % TEAMS),
		.run_ms = 30000,
		.avoid_worker = UINT32_MAX,
	};
	struct status st = STATUS_INIT;

	if (!owner_submit(b->owner, &w, b->now_ms, &st))
		g_error("work not accepted: %s", st.message);
}

static void owner_bench_init(struct owner_bench *b, uint32_t workers)
{
	struct owner_conf conf;

	*b = (struct owner_bench){ 0 };
	owner_conf_default(&conf);
	conf.queue_max = conf.team_queue_max = 1 << 20;
	b->owner = owner_create(&conf, &ops, b);
	for (uint32_t i = 0; i < workers; i++) {
		g_autofree char *name = g_strdup_printf("worker-%04u", i);
		g_autofree char *rack = g_strdup_printf("rack-%03u", i / 5);
		struct worker_info info = {
			.name = name,
			.rack = rack,
			.total = { .cpu_milli = 32000, .mem_bytes = (uint64_t)128 << 30 },
			.service = UINT32_MAX,
		};

		owner_worker_set_state(b->owner, owner_worker_add(b->owner, &info), WORKER_READY,
				       0);
	}
}

static void owner_bench_clear(struct owner_bench *b)
{
	owner_destroy(b->owner);
	g_queue_clear(&b->running);
}

/* A task ends; another one is submitted and placed. DECISIONS times. */
static void decide_many(void *ctx)
{
	struct owner_bench *b = ctx;

	for (int i = 0; i < DECISIONS; i++) {
		uint64_t ended = GPOINTER_TO_SIZE(g_queue_pop_head(&b->running));

		b->now_ms += 10;
		owner_ended(b->owner, ended, END_OK, b->now_ms);
		submit(b);
		if (owner_run(b->owner, b->now_ms) != 1)
			g_error("task not placed");
		owner_started(b->owner, b->next_id, b->now_ms);
	}
}

static void measure_decisions(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(worker_sizes); i++) {
		uint64_t before = bench_heap_bytes();
		uint32_t workers = worker_sizes[i];
		struct owner_bench b;

		owner_bench_init(&b, workers);
		for (uint32_t k = 0; k < workers * TASKS_PER_WORKER; k++)
			submit(&b);
		owner_run(b.owner, 0);
		if (!bench_under_callgrind())
			bench_print_point("owner_worker_memory", "bytes", "workers with 3 tasks",
					  workers, (double)(bench_heap_bytes() - before));
		bench_measure("owner_decide_200", "workers", workers, decide_many, &b);
		owner_bench_clear(&b);
	}
}

static void measure_queue(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(queue_sizes); i++) {
		struct owner_bench b;
		uint64_t before;

		owner_bench_init(&b, 1);
		before = bench_heap_bytes();
		for (uint32_t k = 0; k < queue_sizes[i]; k++)
			submit(&b);
		bench_print_point("owner_work_memory", "bytes", "work waiting", queue_sizes[i],
				  (double)(bench_heap_bytes() - before));
		owner_bench_clear(&b);
	}
}

int main(void)
{
	measure_decisions();
	if (!bench_under_callgrind())
		measure_queue();
	return 0;
}
