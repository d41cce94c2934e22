/* Memory of an owner and work of its decisions, by workers, waiting work and waiting teams. */
#include <glib.h>

#include "bench.h"
#include "process/owner.h"

#define ROUNDS		 200
#define TASKS_PER_WORKER 3
#define TEAMS		 64

static const uint32_t worker_sizes[] = { 24, 48, 96, 192 };
static const uint32_t queue_sizes[] = { 256, 512, 1024, 2048 };

struct cell {
	struct owner *owner;
	GQueue running; /* ids, oldest first */
	uint64_t next_id;
	int64_t now_ms;
};

static void on_start(void *ctx, uint64_t work, uint32_t worker)
{
	struct cell *c = ctx;

	g_queue_push_tail(&c->running, GSIZE_TO_POINTER(work));
}

static void on_refuse(void *ctx, uint64_t work, enum refuse_reason reason, uint32_t retry_after_ms)
{
	g_error("work %" G_GUINT64_FORMAT " was refused: %d", work, reason);
}

static void on_preempt(void *ctx, uint64_t work, uint32_t worker)
{
}

static const struct owner_ops ops = { on_start, on_refuse, on_preempt };

static void submit(struct cell *c)
{
	struct work w = {
		.id = ++c->next_id,
		.job = c->next_id,
		.size = { .cpu_milli = 8000, .mem_bytes = (uint64_t)16 << 30 },
		.class = WORK_BATCH,
		.team = (uint32_t)(c->next_id % TEAMS),
		.service = (uint32_t)(c->next_id % TEAMS),
		.run_ms = 30000,
		.avoid_worker = UINT32_MAX,
	};
	struct status st = STATUS_INIT;

	if (!owner_submit(c->owner, &w, c->now_ms, &st))
		g_error("not taken: %s", st.message);
}

static void cell_init(struct cell *c, uint32_t workers)
{
	struct owner_conf conf;

	*c = (struct cell){ 0 };
	owner_conf_default(&conf);
	conf.queue_max = conf.team_queue_max = 1 << 20;
	c->owner = owner_create(&conf, &ops, c);
	for (uint32_t i = 0; i < workers; i++) {
		g_autofree char *name = g_strdup_printf("worker-%04u", i);
		g_autofree char *rack = g_strdup_printf("rack-%03u", i / 5);
		struct worker_info info = {
			.name = name,
			.rack = rack,
			.total = { .cpu_milli = 32000, .mem_bytes = (uint64_t)128 << 30 },
			.service = UINT32_MAX,
		};

		owner_worker_set_state(c->owner, owner_worker_add(c->owner, &info), WORKER_READY,
				       0);
	}
}

static void cell_clear(struct cell *c)
{
	owner_destroy(c->owner);
	g_queue_clear(&c->running);
}

/* A task ends, its successor is submitted and placed. */
static void decide_rounds(void *ctx)
{
	struct cell *c = ctx;

	for (int i = 0; i < ROUNDS; i++) {
		uint64_t ended = GPOINTER_TO_SIZE(g_queue_pop_head(&c->running));

		c->now_ms += 10;
		owner_ended(c->owner, ended, END_OK, c->now_ms);
		submit(c);
		if (owner_run(c->owner, c->now_ms) != 1)
			g_error("not placed");
		owner_started(c->owner, c->next_id, c->now_ms);
	}
}

static void measure_decisions(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(worker_sizes); i++) {
		uint64_t before = bench_memory_bytes();
		uint32_t workers = worker_sizes[i];
		struct cell c;

		cell_init(&c, workers);
		for (uint32_t k = 0; k < workers * TASKS_PER_WORKER; k++)
			submit(&c);
		owner_run(c.owner, 0);
		if (!bench_counting())
			bench_value("owner_worker_memory", "bytes", "workers with 3 tasks", workers,
				    (double)(bench_memory_bytes() - before));
		bench_measure("owner_decide_200", "workers", workers, decide_rounds, &c);
		cell_clear(&c);
	}
}

static void measure_queue(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(queue_sizes); i++) {
		struct cell c;
		uint64_t before;

		cell_init(&c, 1);
		before = bench_memory_bytes();
		for (uint32_t k = 0; k < queue_sizes[i]; k++)
			submit(&c);
		bench_value("owner_work_memory", "bytes", "work waiting", queue_sizes[i],
			    (double)(bench_memory_bytes() - before));
		cell_clear(&c);
	}
}

int main(void)
{
	measure_decisions();
	if (!bench_counting())
		measure_queue();
	return 0;
}
