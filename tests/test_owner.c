#include <criterion/criterion.h>

#include "standin/cell.h"

#define GIB    ((uint64_t)1 << 30)
#define CPU(n) ((uint32_t)(n)*1000u)
#define TEAMS  8

static const struct worker_info runner = {
	.name = "runner",
	.rack = "r1",
	.total = { .cpu_milli = CPU(32), .mem_bytes = 128 * GIB },
	.slots = 8,
	.connections = 64,
	.service = 1,
};

static const struct worker_info plain = {
	.name = "plain",
	.rack = "r1",
	.total = { .cpu_milli = CPU(32), .mem_bytes = 128 * GIB },
	.service = UINT32_MAX,
};

static const struct worker_info gpu = {
	.name = "gpu",
	.rack = "r2",
	.total = { .cpu_milli = CPU(128), .mem_bytes = 512 * GIB, .accel = 8 },
	.service = UINT32_MAX,
};

static struct work request(uint32_t deadline_ms, enum work_class class)
{
	return (struct work){ .class = class,
			      .slot = true,
			      .service = 1,
			      .run_ms = 100,
			      .deadline_ms = deadline_ms,
			      .avoid_worker = UINT32_MAX };
}

static struct work task(enum work_class class, uint32_t cpus, uint32_t accel)
{
	return (struct work){ .class = class,
			      .size = { .cpu_milli = CPU(cpus), .mem_bytes = GIB, .accel = accel },
			      .job = 7,
			      .service = 2,
			      .avoid_worker = UINT32_MAX };
}

static void no_faults(const struct cell *c)
{
	cr_expect_eq(c->faults, 0, "%s", c->fault);
}

struct state_case {
	const char *name;
	enum worker_state state;
	uint32_t starts;
};

Test(owner, only_ready_workers_get_work)
{
	static const struct state_case cases[] = {
		{ "unready", WORKER_UNREADY, 0 },
		{ "ready", WORKER_READY, 2 },
		{ "leaving", WORKER_LEAVING, 0 },
		{ "lost", WORKER_LOST, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct work w = task(WORK_BATCH, 1, 0);
		struct work r = request(0, WORK_REQUEST);
		struct cell c;

		cell_init(&c, NULL);
		cell_worker(&c, &runner);
		cell_state(&c, 0, cases[i].state);
		cell_submit(&c, &w);
		cell_submit(&c, &r);
		cr_expect_eq(cell_run(&c), cases[i].starts, "%s", cases[i].name);
		no_faults(&c);
		cell_clear(&c);
	}
}

struct refuse_case {
	const char *name;
	struct work w;
	uint32_t busy; /* requests that run before */
	enum refuse_reason reason;
};

Test(owner, refused_at_submit)
{
	const struct refuse_case cases[] = {
		{ "fits", task(WORK_BATCH, 30, 0), 0, REFUSE_REASONS },
		{ "larger than the largest worker", task(WORK_BATCH, 129, 0), 0,
		  REFUSE_NEVER_FITS },
		{ "more accelerators than any has", task(WORK_BATCH, 1, 9), 0, REFUSE_NEVER_FITS },
		{ "deadline can be met", request(100, WORK_REQUEST), 0, REFUSE_REASONS },
		{ "deadline shorter than its run", request(99, WORK_REQUEST), 0, REFUSE_DEADLINE },
		{ "deadline can't be met behind others", request(110, WORK_REQUEST), 7,
		  REFUSE_DEADLINE },
		{ "a slot is reserved for urgent requests", request(110, WORK_URGENT), 7,
		  REFUSE_REASONS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct work busy = request(0, WORK_REQUEST);
		const struct cell_work *w;
		struct cell c;

		cell_init(&c, NULL);
		cell_worker(&c, &runner);
		cell_worker(&c, &gpu);
		for (uint32_t j = 0; j < cases[i].busy; j++)
			cell_submit(&c, &busy);
		cell_run(&c);
		w = cell_work(&c, cell_submit(&c, &cases[i].w));
		cr_expect_eq(w->refused, cases[i].reason, "%s", cases[i].name);
		cr_expect_eq(w->retry_after_ms > 0, w->refused == REFUSE_DEADLINE, "%s",
			     cases[i].name);
		cr_expect_eq(cell_run(&c), w->refused == REFUSE_REASONS, "%s", cases[i].name);
		no_faults(&c);
		cell_clear(&c);
	}
}

Test(owner, earliest_deadline_first)
{
	static const uint32_t deadline_ms[] = { 900, 500, 700, 300 };
	static const uint32_t order[] = { 3, 1, 2, 0 };
	struct work busy = request(0, WORK_REQUEST);
	uint64_t first[7];
	uint64_t id[4];
	struct cell c;

	cell_init(&c, NULL);
	cell_worker(&c, &runner);
	for (int i = 0; i < 7; i++)
		first[i] = cell_submit(&c, &busy);
	cell_run(&c);
	for (int i = 0; i < 4; i++) {
		struct work w = request(deadline_ms[i], WORK_REQUEST);

		id[i] = cell_submit(&c, &w);
	}
	for (int i = 0; i < 4; i++) {
		cell_end(&c, first[i], END_OK);
		cell_run(&c);
		cr_expect(cell_work(&c, id[order[i]])->running, "position %d", i);
	}
	no_faults(&c);
	cell_clear(&c);
}

Test(owner, request_is_refused_once_it_can_no_longer_start_in_time)
{
	struct work busy = request(0, WORK_REQUEST);
	struct work w = request(500, WORK_REQUEST);
	struct cell c;
	uint64_t id;

	cell_init(&c, NULL);
	cell_worker(&c, &runner);
	for (int i = 0; i < 7; i++)
		cell_submit(&c, &busy);
	cell_run(&c);
	id = cell_submit(&c, &w);
	cell_run(&c);
	cr_expect_eq(owner_next_ms(c.owner), 401);
	c.now_ms = 400;
	cell_run(&c);
	cr_expect_eq(cell_work(&c, id)->refused, REFUSE_REASONS);
	c.now_ms = 401;
	cell_run(&c);
	cr_expect_eq(cell_work(&c, id)->refused, REFUSE_DEADLINE);
	cr_expect_gt(cell_work(&c, id)->retry_after_ms, 0);
	cell_clear(&c);
}

Test(owner, tasks_without_accelerators_prefer_workers_without_them)
{
	struct work none = task(WORK_BATCH, 4, 0);
	struct work some = task(WORK_BATCH, 4, 2);
	struct cell c;

	cell_init(&c, NULL);
	cell_worker(&c, &gpu);
	cell_worker(&c, &plain);
	for (int i = 0; i < 7; i++)
		cell_submit(&c, &none);
	cell_submit(&c, &some);
	cr_expect_eq(cell_run(&c), 8);
	cr_expect_eq(g_array_index(c.workers, struct cell_worker, 0).running, 1);
	cr_expect_eq(g_array_index(c.workers, struct cell_worker, 1).running, 7);
	no_faults(&c);
	cell_clear(&c);
}

Test(owner, tasks_leave_capacity_for_runner_slots)
{
	struct work r = request(0, WORK_REQUEST);
	struct work batch = task(WORK_BATCH, 1, 0);
	uint32_t tasks = 0;
	struct cell c;

	cell_init(&c, NULL);
	r.size = (struct res){ .cpu_milli = CPU(2), .mem_bytes = GIB };
	cell_worker(&c, &runner);
	cell_submit(&c, &r);
	cell_worker(&c, &runner); /* added after the size of a request is known */
	for (int i = 0; i < 64; i++)
		cell_submit(&c, &batch);
	cell_run(&c);
	for (uint64_t id = 2; id < c.next_id; id++)
		tasks += cell_work(&c, id)->running;
	/* 16 of 32 processors on each, except that one is reserved in part for urgent tasks */
	cr_expect_eq(tasks, 30, "%u", tasks);
	for (int i = 0; i < 14; i++)
		cell_submit(&c, &r);
	cr_expect_eq(cell_run(&c), 14);
	no_faults(&c);
	cell_clear(&c);
}

Test(owner, runner_slots_reserve_at_most_half_of_a_worker)
{
	struct worker_info gpu_runner = gpu;
	struct work r = request(0, WORK_REQUEST);
	struct work gang = task(WORK_GANG, 4, 1);
	struct cell c;
	uint64_t id;

	cell_init(&c, NULL);
	gpu_runner.slots = gpu_runner.connections = 8;
	gpu_runner.service = 1;
	r.size = (struct res){ .cpu_milli = CPU(8), .mem_bytes = GIB, .accel = 1 };
	cell_worker(&c, &gpu_runner);
	cell_worker(&c, &gpu_runner);
	id = cell_submit(&c, &r);
	cr_expect_eq(cell_run(&c), 1);
	cell_end(&c, id, END_OK);
	gang.gang_size = 4;
	for (int i = 0; i < 4; i++)
		cell_submit(&c, &gang);
	c.now_ms += 1000;
	cr_expect_eq(cell_run(&c), 4, "eight slots of one accelerator each would fill the worker");
	no_faults(&c);
	cell_clear(&c);
}

Test(owner, adopted_work_may_exceed_a_worker_and_blocks_starts)
{
	struct work big = task(WORK_BATCH, 40, 0);
	struct work small = task(WORK_BATCH, 1, 0);
	struct cell c;

	cell_init(&c, NULL);
	cell_worker(&c, &plain);
	big.id = 1000;
	owner_worker_adopt(c.owner, 0, &big, 0);
	cell_submit(&c, &small);
	cr_expect_eq(cell_run(&c), 0);
	owner_ended(c.owner, 1000, END_OK, 0);
	owner_ended(c.owner, 1000, END_OK, 0);
	cr_expect_eq(cell_run(&c), 1);
	cell_clear(&c);
}

Test(owner, waiting_work_of_each_class_can_be_cancelled)
{
	static const enum work_class classes[] = { WORK_URGENT, WORK_REQUEST, WORK_SERVICE,
						   WORK_GANG, WORK_BATCH };

	for (size_t i = 0; i < G_N_ELEMENTS(classes); i++) {
		struct work w = task(classes[i], 32, 0);
		struct cell c;
		uint64_t id;

		cell_init(&c, NULL);
		cell_worker(&c, &plain);
		cell_state(&c, 0, WORKER_UNREADY);
		id = cell_submit(&c, &w);
		cell_run(&c);
		cr_expect(owner_cancel(c.owner, id, 0));
		cr_expect_not(owner_cancel(c.owner, id, 0));
		cr_expect_eq(cell_work(&c, id)->refused, REFUSE_CANCELLED);
		cell_state(&c, 0, WORKER_READY);
		cr_expect_eq(cell_run(&c), 0);
		no_faults(&c);
		cell_clear(&c);
	}
}

Test(owner, removed_worker_loses_its_work)
{
	struct work w = task(WORK_BATCH, 32, 0);
	struct cell c;
	uint64_t id;

	cell_init(&c, NULL);
	cell_worker(&c, &gpu);
	id = cell_submit(&c, &w);
	cell_run(&c);
	owner_worker_remove(c.owner, 0);
	owner_ended(c.owner, id, END_LOST, 0);
	owner_worker_remove(c.owner, 0);
	cr_expect_eq(owner_worker_add(c.owner, &gpu), 0);
	cell_clear(&c);
}

struct explain_case {
	struct work w;
	const char *text;
};

Test(owner, explains_why_work_waits)
{
	struct work half_gang = task(WORK_GANG, 1, 0);
	struct work whole_gang = task(WORK_GANG, 30, 0);
	struct work at_quota = task(WORK_BATCH, 1, 0);
	struct cell c;

	half_gang.gang_size = 2;
	whole_gang.gang_size = 1;
	whole_gang.job = 8;
	at_quota.team = 5;

	const struct explain_case cases[] = {
		{ task(WORK_BATCH, 31, 0), "runs on plain since 100 ms" },
		{ request(0, WORK_REQUEST), "waits for a slot, for 100 ms" },
		{ task(WORK_BATCH, 30, 0), "starts on plain since 100 ms" },
		{ task(WORK_BATCH, 30, 0), "finds no room of its size, for 100 ms" },
		{ task(WORK_BATCH, 30, 0), "waits for its turn, for 100 ms" },
		{ half_gang, "waits for the other tasks of its job, for 100 ms" },
		{ whole_gang, "waits for room for all its tasks at once, for 100 ms" },
		{ at_quota, "starts on plain since 100 ms" },
		{ at_quota, "waits for its team to use less than its quota, for 100 ms" },
	};

	cell_init(&c, NULL);
	owner_set_team(c.owner, 5, 1, &(struct res){ .cpu_milli = CPU(1) });
	cell_worker(&c, &plain);
	cell_worker(&c, &plain);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		cell_submit(&c, &cases[i].w);
		cell_run(&c);
	}
	owner_started(c.owner, 1, 0);
	for (uint64_t id = 1; id <= G_N_ELEMENTS(cases); id++) {
		char text[128] = "";

		cr_expect(owner_explain(c.owner, id, 100, text, sizeof(text)));
		cr_expect_str_eq(text, cases[id - 1].text, "%s", text);
	}
	cr_expect_not(owner_explain(c.owner, 99, 100, NULL, 0));
	cell_clear(&c);
}

static struct work random_work(GRand *rand)
{
	static const uint32_t gang_sizes[] = { 2, 3, 5 };
	enum work_class class = (enum work_class)g_rand_int_range(rand, 0, WORK_CLASSES);
	struct work w = task(class, (uint32_t)g_rand_int_range(rand, 1, 20),
			     g_rand_int_range(rand, 0, 6) ? 0 : 2);

	w.team = (uint32_t)g_rand_int_range(rand, 0, TEAMS);
	w.job = (uint64_t)g_rand_int_range(rand, 1, 50);
	w.service = (uint32_t)g_rand_int_range(rand, 2, 6);
	w.run_ms = g_rand_int_range(rand, 0, 2) ? 500 : 0;
	w.preemptible = g_rand_int_range(rand, 0, 2);
	w.retry = g_rand_int_range(rand, 0, 4) == 0;
	if (class <= WORK_REQUEST && g_rand_int_range(rand, 0, 3)) {
		w.slot = true;
		w.service = 1;
		w.size = (struct res){ .cpu_milli = CPU(g_rand_int_range(rand, 1, 3)),
				       .mem_bytes = GIB };
	}
	if (class == WORK_GANG)
		w.gang_size = gang_sizes[w.job % G_N_ELEMENTS(gang_sizes)];
	return w;
}

static void random_submit(struct cell *c, GRand *rand)
{
	struct work w = random_work(rand);

	if (w.class <= WORK_REQUEST && g_rand_int_range(rand, 0, 2))
		w.deadline_ms = c->now_ms + g_rand_int_range(rand, 0, 3000);
	if (w.class == WORK_GANG)
		w.job = 1000 + c->next_id; /* each gang is complete and a job of its own */
	for (uint32_t i = 0; i < MAX(w.gang_size, 1); i++)
		cell_submit(c, &w);
}

static void random_step(struct cell *c, GRand *rand)
{
	static const enum end_result results[] = { END_OK,     END_OK,	     END_OK,
						   END_FAILED, END_REFUSED,  END_UNREACHABLE,
						   END_LOST,   END_PREEMPTED };
	uint64_t id = c->next_id - MIN(c->next_id, (uint64_t)g_rand_int_range(rand, 1, 400));
	uint32_t worker = (uint32_t)g_rand_int_range(rand, 0, (gint32)c->workers->len);
	struct res used = { .cpu_milli = CPU(30), .mem_bytes = 3 * GIB };
	struct work w = random_work(rand);

	c->now_ms += g_rand_int_range(rand, 0, 50);
	switch (g_rand_int_range(rand, 0, 40)) {
	case 0:
		cell_state(c, worker, (enum worker_state)g_rand_int_range(rand, 0, 4));
		break;
	case 1:
		cell_state(c, worker, WORKER_READY);
		break;
	case 2:
		cell_remove(c, worker);
		cell_worker(c, worker % 3 == 0 ? &runner : worker % 3 == 1 ? &plain : &gpu);
		break;
	case 3:
		w.gang_size = 0;
		w.slot = w.slot && g_array_index(c->workers, struct cell_worker, worker).info.slots;
		cell_state(c, worker, WORKER_LEAVING);
		cell_adopt(c, worker, &w);
		break;
	case 4:
		owner_usage(c->owner, id, &used, c->now_ms);
		break;
	case 5:
	case 6:
		owner_cancel(c->owner, id, c->now_ms);
		break;
	default:
		if (g_rand_int_range(rand, 0, 3))
			cell_end(c, id, results[g_rand_int_range(rand, 0, G_N_ELEMENTS(results))]);
		else
			random_submit(c, rand);
	}
}

struct random_case {
	uint32_t seed;
	uint32_t reserve_milli;
};

static void expect_capacity_restored(struct cell *c, const struct owner_capacity *before, size_t n,
				     const struct random_case *rc)
{
	struct owner_capacity after[8];

	cr_assert_eq(owner_list_capacity(c->owner, after, 8, c->now_ms), n);
	for (size_t i = 0; i < n; i++) {
		cr_expect_eq(after[i].queued, 0);
		cr_expect_eq(after[i].free_slots, before[i].free_slots);
		if (rc->reserve_milli) /* other workers than before may hold the reserve */
			continue;
		cr_expect_eq(after[i].free.cpu_milli, before[i].free.cpu_milli);
		cr_expect_eq(after[i].free.mem_bytes, before[i].free.mem_bytes);
		cr_expect_eq(after[i].free.accel, before[i].free.accel);
	}
}

/* No sequence of events exceeds a limit, and all capacity is free again at the end. */
Test(owner, random_events_keep_the_limits)
{
	static const struct random_case cases[] = { { 11, 0 }, { 12, 50 }, { 13, 300 } };

	for (size_t j = 0; j < G_N_ELEMENTS(cases); j++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(cases[j].seed);
		struct work largest = task(WORK_REQUEST, 2, 0);
		struct owner_capacity before[8];
		struct owner_conf conf;
		struct cell c;
		size_t n;

		owner_conf_default(&conf);
		conf.urgent_reserve_milli = cases[j].reserve_milli;
		cell_init(&c, &conf);
		for (int i = 0; i < 12; i++)
			cell_worker(&c, i % 3 == 0 ? &runner : i % 3 == 1 ? &plain : &gpu);
		largest.slot = true;
		largest.service = 1;
		cell_submit(&c, &largest); /* from now on, capacity is reserved for the slots */
		cell_run(&c);
		cell_end(&c, 1, END_OK);
		n = owner_list_capacity(c.owner, before, 8, 0);
		for (int i = 0; i < 20000 && !c.faults; i++) {
			random_step(&c, rand);
			cell_run(&c);
		}
		no_faults(&c);
		cr_expect_gt(c.started, 1000);
		for (uint64_t id = 1; id < c.next_id; id++) {
			owner_cancel(c.owner, id, c.now_ms);
			cell_end(&c, id, END_OK);
		}
		for (uint32_t i = 0; i < c.workers->len; i++)
			cell_state(&c, i, WORKER_READY);
		c.now_ms += 1000000;
		cr_expect_eq(cell_run(&c), 0);
		expect_capacity_restored(&c, before, n, &cases[j]);
		for (uint32_t t = 0; t < TEAMS; t++) {
			struct work w = task(WORK_BATCH, 1, 0);

			w.team = t;
			owner_set_team(c.owner, t, 1, &w.size);
			cell_submit(&c, &w);
		}
		cr_expect_eq(cell_run(&c), TEAMS, "no team still counts as using capacity");
		cell_clear(&c);
	}
}
