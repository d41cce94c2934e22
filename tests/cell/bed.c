#include <string.h>

#include "bed.h"
#include "process/advice.h"

#define BORN_MS 1000
#define MIB	1048576

static void start_op(void *ctx, const struct start_order *o)
{
	struct bed *b = ctx;
	struct bed_start s = { .runner = g_strdup(o->runner),
			       .task = g_strdup(o->task),
			       .ticket = g_strdup(o->ticket),
			       .checkpoint = g_strdup(o->checkpoint),
			       .run = o->run,
			       .deadline_ms = o->deadline_ms,
			       .rank = o->route.attempt };

	g_array_append_val(b->start, s);
	b->starts++;
}

static void stop_op(void *ctx, const struct route *route, const char *runner, const char *address,
		    const char *task, uint32_t run)
{
	struct bed *b = ctx;
	struct bed_stop s = { .runner = g_strdup(runner), .task = g_strdup(task), .run = run };

	g_array_append_val(b->stop, s);
}

static void poll_op(void *ctx, const struct poll_order *o)
{
	struct bed *b = ctx;
	struct bed_poll l = { .poll_id = o->poll_id,
			      .runner = g_strdup(o->runner),
			      .deadline_ms = o->deadline_ms,
			      .acked_end = o->acked_end,
			      .wait_ms = o->wait_ms };

	g_array_append_val(b->poll, l);
}

static void ask_op(void *ctx, const char *step, const char *const *runner, size_t n,
		   uint64_t cost_us)
{
	struct bed *b = ctx;
	struct bed_ask a = { .step = g_strdup(step),
			     .runner = advice_copy_runners(runner, n),
			     .n = n };

	g_array_append_val(b->ask, a);
	b->asks++;
}

static void write_op(void *ctx, uint64_t batch, GPtrArray *records)
{
	struct bed *b = ctx;

	if (b->records)
		g_ptr_array_unref(b->records);
	b->batch = batch;
	b->records = records;
}

static void expire_op(void *ctx, const char *id)
{
}

static void fenced_op(void *ctx, const char *by)
{
	((struct bed *)ctx)->fenced++;
}

static const struct scheduler_ops ops = {
	.start = start_op,
	.stop = stop_op,
	.poll = poll_op,
	.request_advice = ask_op,
	.write = write_op,
	.expire = expire_op,
	.fenced = fenced_op,
};

static void on_changed(void *ctx, struct cell_job *j)
{
	struct bed *b = ctx;

	if (b->sched)
		scheduler_job_changed(b->sched, j, b->now_ms);
}

static void on_dropped(void *ctx, struct cell_job *j)
{
	struct bed *b = ctx;

	if (b->sched)
		scheduler_job_dropped(b->sched, j);
}

static const struct job_table_ops job_table_ops = { .changed = on_changed, .dropped = on_dropped };

static void clear_start(gpointer data)
{
	struct bed_start *s = data;

	g_free(s->runner);
	g_free(s->task);
	g_free(s->ticket);
	g_free(s->checkpoint);
}

static void clear_stop(gpointer data)
{
	struct bed_stop *s = data;

	g_free(s->runner);
	g_free(s->task);
}

static void clear_poll(gpointer data)
{
	g_free(((struct bed_poll *)data)->runner);
}

static void clear_ask(gpointer data)
{
	struct bed_ask *a = data;

	g_free(a->step);
	g_strfreev(a->runner);
}

struct bed *bed_create(void)
{
	struct bed *b = g_new0(struct bed, 1);

	b->now_ms = 1000000;
	b->born_ms = BORN_MS;
	b->inherited_ms = 15000;
	b->wall_ms = 1760000000000;
	b->jobs = job_table_create();
	b->queues = queues_create(1);
	b->start = g_array_new(FALSE, FALSE, sizeof(struct bed_start));
	b->stop = g_array_new(FALSE, FALSE, sizeof(struct bed_stop));
	b->poll = g_array_new(FALSE, FALSE, sizeof(struct bed_poll));
	b->ask = g_array_new(FALSE, FALSE, sizeof(struct bed_ask));
	g_array_set_clear_func(b->start, clear_start);
	g_array_set_clear_func(b->stop, clear_stop);
	g_array_set_clear_func(b->poll, clear_poll);
	g_array_set_clear_func(b->ask, clear_ask);
	job_table_watch(b->jobs, &job_table_ops, b);
	return b;
}

void bed_destroy(struct bed *b)
{
	scheduler_destroy(b->sched);
	job_table_destroy(b->jobs);
	queues_destroy(b->queues);
	if (b->records)
		g_ptr_array_unref(b->records);
	g_array_unref(b->start);
	g_array_unref(b->stop);
	g_array_unref(b->poll);
	g_array_unref(b->ask);
	g_free(b);
}

void bed_queue(struct bed *b, const char *name, const char *service, uint32_t priority,
	       uint32_t attempts, uint32_t decide_ms)
{
	struct queue q = { .name = (char *)name,
			   .host = "cell.example",
			   .prefix = (char *)name,
			   .service = (char *)service,
			   .priority = priority,
			   .attempts_max = attempts,
			   .stretch_milli = 2000,
			   .objective_ms = 1000,
			   .advised = decide_ms > 0,
			   .advice_base_us = decide_ms * 1000,
			   .advice_per_runner_us = decide_ms * 10 };

	queues_add(b->queues, &q);
}

void bed_begin(struct bed *b)
{
	const struct scheduler_conf conf = { .lease_ms = 6000,
					     .lease_cap_ms = 10000,
					     .stop_ms = 900,
					     .write_every_ms = b->write_every_ms,
					     .status_keep_ms = 120000,
					     .inherited_ms = b->inherited_ms };

	b->sched = scheduler_create(&conf, b->jobs, &ops, b, b->now_ms);
	scheduler_configure(b->sched, b->queues);
	scheduler_set_advisor_clients(b->sched, 8);
}

void bed_runner(struct bed *b, const char *id, const char *service, const char *rack,
		int64_t cpu_milli, int64_t accel)
{
	struct runner_info info = { .id = id,
				    .address = "10.0.0.1:80",
				    .service = service,
				    .dc = "dc",
				    .rack = rack,
				    .label = { "a", rack },
				    .capacity = { .cpu_milli = cpu_milli,
						  .mem_bytes = (int64_t)1024 * MIB,
						  .accel = accel },
				    .born_ms = BORN_MS };

	scheduler_update_runner(b->sched, &info, b->now_ms);
}

Cell__Step *bed_add_step(Cell__Job *job, uint32_t count, uint32_t cpu_milli)
{
	Cell__Step *s = g_new(Cell__Step, 1);

	cell__step__init(s);
	s->count = count;
	s->cpu_milli = cpu_milli;
	s->mem_bytes = MIB;
	s->estimate_ms = 500;
	s->label = g_strdup("");
	s->rack = g_strdup("");
	s->image = g_strdup("");
	job->step = g_renew(Cell__Step *, job->step, job->n_step + 1);
	job->step[job->n_step++] = s;
	return s;
}

Cell__Job *bed_job(const char *id, const char *queue, uint32_t count, uint32_t cpu_milli)
{
	static int64_t accepted_ms = 1760000000000;
	Cell__Job *job = g_new(Cell__Job, 1);

	cell__job__init(job);
	job->id = g_strdup(id);
	job->queue = g_strdup(queue);
	job->service = g_strdup("desk");
	job->payload = g_strdup("payload");
	job->attempts_max = 3;
	job->accepted_ms = accepted_ms++;
	bed_add_step(job, count, cpu_milli);
	return job;
}

static uint8_t *pack(struct bed *b, Cell__Job *job, size_t *size)
{
	const struct queue *q = queues_find(b->queues, job->queue);
	uint8_t *buf;

	job->priority = q ? q->priority : 0;
	job->attempts_max = q ? q->attempts_max : job->attempts_max;
	*size = cell__job__get_packed_size(job);
	buf = g_malloc(*size);
	cell__job__pack(job, buf);
	return buf;
}

void bed_submit(struct bed *b, Cell__Job *job)
{
	size_t size;
	g_autofree uint8_t *buf = pack(b, job, &size);

	job_table_apply(b->jobs, job->id, buf, size);
	cell__job__free_unpacked(job, NULL);
}

void bed_offer(struct bed *b, Cell__Job *job)
{
	size_t size;
	g_autofree uint8_t *buf = pack(b, job, &size);

	job_table_add_tentative(b->jobs, job->id, buf, size);
	cell__job__free_unpacked(job, NULL);
}

void bed_cancel(struct bed *b, const char *id)
{
	g_autofree char *key = g_strdup_printf("%s/c", id);

	job_table_apply(b->jobs, key, (const uint8_t *)"\1", 1);
}

void bed_pass(struct bed *b, int64_t ms)
{
	b->now_ms += ms;
	b->wall_ms += ms;
	scheduler_tick(b->sched, b->now_ms, b->wall_ms);
}

uint32_t bed_ack(struct bed *b)
{
	uint64_t batch = b->batch;
	uint32_t n;

	if (!batch)
		return 0;
	n = b->records->len;
	b->batch = 0;
	g_clear_pointer(&b->records, g_ptr_array_unref);
	scheduler_written(b->sched, batch, b->now_ms);
	bed_pass(b, 0);
	return n;
}

static bool take_poll(struct bed *b, const char *runner, const struct poll_reply *reply)
{
	g_autofree char *id = g_strdup(runner);

	for (guint i = 0; i < b->poll->len; i++) {
		uint64_t no = g_array_index(b->poll, struct bed_poll, i).poll_id;

		if (!g_str_equal(g_array_index(b->poll, struct bed_poll, i).runner, id))
			continue;
		g_array_remove_index(b->poll, i);
		scheduler_poll_answered(b->sched, id, no, reply, b->now_ms);
		return true;
	}
	return false;
}

bool bed_poll_answer(struct bed *b, const char *runner, const struct poll_running *running,
		     size_t n_running, const struct poll_ended *ended, size_t n_ended)
{
	struct poll_reply reply = { .born_ms = b->born_ms,
				    .clock_ms = b->now_ms - 500000,
				    .running = running,
				    .n_running = n_running,
				    .ended = ended,
				    .n_ended = n_ended };

	return take_poll(b, runner, &reply);
}

bool bed_poll_lost(struct bed *b, const char *runner)
{
	return take_poll(b, runner, NULL);
}

void bed_settle(struct bed *b)
{
	bed_pass(b, 1);
	while (b->poll->len) {
		g_autofree char *runner =
			g_strdup(g_array_index(b->poll, struct bed_poll, 0).runner);

		bed_poll_answer(b, runner, NULL, 0, NULL, 0);
	}
	bed_pass(b, 1);
}

bool bed_start_answer(struct bed *b, const char *task, enum start_result result)
{
	for (guint i = 0; i < b->start->len; i++) {
		struct bed_start s = g_array_index(b->start, struct bed_start, i);
		g_autofree char *runner = NULL;

		if (!g_str_equal(s.task, task))
			continue;
		runner = g_strdup(s.runner);
		g_array_remove_index(b->start, i);
		scheduler_start_answered(b->sched, runner, task, s.run, result, b->now_ms);
		return true;
	}
	return false;
}

void bed_accept_all(struct bed *b)
{
	while (b->start->len) {
		g_autofree char *task = g_strdup(g_array_index(b->start, struct bed_start, 0).task);

		bed_start_answer(b, task, START_OK);
	}
}

void bed_end(struct bed *b, const char *runner, uint64_t no, const char *task, uint32_t run,
	     enum run_end end)
{
	struct poll_ended e = { .seq = no, .task = task, .run = run, .end = end, .checkpoint = "" };

	bed_pass(b, 1);
	bed_poll_answer(b, runner, NULL, 0, &e, 1);
}

bool bed_advise(struct bed *b, const char *approved, int64_t validity_ms)
{
	struct bed_ask a;
	g_autofree struct ticket *ticket = NULL;
	size_t n = 0;

	if (!b->ask->len)
		return false;
	a = g_array_index(b->ask, struct bed_ask, 0);
	ticket = g_new0(struct ticket, a.n + 1);
	for (size_t i = 0; i < a.n; i++) {
		if (*approved && !strstr(approved, a.runner[i]))
			continue;
		ticket[n].runner = a.runner[i];
		ticket[n++].ticket = "ticket";
	}
	scheduler_advice_answered(b->sched, a.step, (const char *const *)a.runner, a.n, ticket, n,
				  b->now_ms + validity_ms, true, b->now_ms);
	g_array_remove_index(b->ask, 0);
	return true;
}

struct cell_job *bed_plan(struct bed *b, const char *id)
{
	return job_table_find(b->jobs, id);
}

struct bed *bed_plain(uint32_t runners, int64_t cpu_milli)
{
	struct bed *b = bed_create();

	bed_queue(b, "urgent", "desk", 0, 3, 0);
	bed_queue(b, "batch", "desk", 2, 3, 0);
	bed_begin(b);
	for (uint32_t i = 0; i < runners; i++) {
		g_autofree char *id = g_strdup_printf("r%u", i);

		bed_runner(b, id, "desk", i % 2 ? "rack1" : "rack0", cpu_milli, 0);
	}
	bed_settle(b);
	return b;
}

struct bed_start *bed_start_at(struct bed *b, guint i)
{
	return &g_array_index(b->start, struct bed_start, i);
}

void bed_run(struct bed *b, Cell__Job *job)
{
	bed_submit(b, job);
	bed_pass(b, 1);
	bed_ack(b);
	bed_accept_all(b);
}

void bed_reborn(struct bed *b)
{
	const struct runner_info info = { .id = "r0",
					  .address = "10.0.0.1:80",
					  .service = "desk",
					  .dc = "dc",
					  .rack = "rack0",
					  .born_ms = 2000,
					  .capacity = { 1000, 1 << 30, 0 } };

	scheduler_update_runner(b->sched, &info, b->now_ms);
	b->born_ms = info.born_ms;
}
