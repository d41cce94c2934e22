#include <criterion/criterion.h>

#include "process/estimate.h"
#include "process/policy.h"
#include "standin/cell.h"

#define GIB    ((uint64_t)1 << 30)
#define CPU(n) ((uint32_t)(n)*1000u)

struct admit_case {
	const char *name;
	const char *policy;
	struct work w;
	uint32_t wait_ms;
	uint32_t team_wait_ms;
	enum refuse_reason reason;
};

Test(policy, admits_what_can_end_in_time)
{
	static const struct admit_case cases[] = {
		{ "in time",
		  NULL,
		  { .class = WORK_REQUEST, .deadline_ms = 2000 },
		  900,
		  0,
		  REFUSE_REASONS },
		{ "too late",
		  NULL,
		  { .class = WORK_REQUEST, .deadline_ms = 2000 },
		  901,
		  0,
		  REFUSE_DEADLINE },
		{ "no deadline", NULL, { .class = WORK_REQUEST }, UINT32_MAX, 0, REFUSE_REASONS },
		{ "no runner",
		  NULL,
		  { .class = WORK_REQUEST, .deadline_ms = 2000 },
		  UINT32_MAX,
		  0,
		  REFUSE_DEADLINE },
		{ "urgent in time", NULL, { .class = WORK_URGENT }, 1500, 0, REFUSE_REASONS },
		{ "urgent too late", NULL, { .class = WORK_URGENT }, 1501, 0, REFUSE_DEADLINE },
		{ "leaves time to others",
		  NULL,
		  { .class = WORK_REQUEST, .deadline_ms = 2000 },
		  450,
		  450,
		  REFUSE_REASONS },
		{ "leaves no time to others",
		  NULL,
		  { .class = WORK_REQUEST, .deadline_ms = 2000 },
		  451,
		  451,
		  REFUSE_QUEUE_FULL },
		{ "baseline admits all",
		  "first-fit-fifo",
		  { .class = WORK_REQUEST, .deadline_ms = 2000 },
		  5000,
		  5000,
		  REFUSE_REASONS },
		{ "baseline admits all",
		  "least-loaded",
		  { .class = WORK_REQUEST, .deadline_ms = 2000 },
		  5000,
		  5000,
		  REFUSE_REASONS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct policy_admission a = { .w = &cases[i].w,
					      .now_ms = 1000,
					      .expected_run_ms = 100,
					      .wait_ms = cases[i].wait_ms,
					      .team_wait_ms = cases[i].team_wait_ms,
					      .urgent_start_ms = 1500 };

		cr_expect_eq(policy_find(cases[i].policy)->admit(&a), cases[i].reason, "%s %s",
			     cases[i].name, cases[i].policy);
	}
	cr_expect_null(policy_find("unknown"));
}

struct preempt_case {
	enum work_class victim;
	enum work_class by;
	bool stops;
};

Test(policy, preempts_only_less_urgent_classes)
{
	static const struct preempt_case cases[] = {
		{ WORK_BATCH, WORK_URGENT, true },   { WORK_BATCH, WORK_SERVICE, true },
		{ WORK_BATCH, WORK_GANG, true },     { WORK_BATCH, WORK_BATCH, false },
		{ WORK_GANG, WORK_BATCH, false },    { WORK_GANG, WORK_URGENT, true },
		{ WORK_SERVICE, WORK_GANG, false },  { WORK_SERVICE, WORK_SERVICE, false },
		{ WORK_URGENT, WORK_URGENT, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct item victim = { .w.class = cases[i].victim };
		struct item it = { .w.class = cases[i].by };

		cr_expect_eq(policy_find(NULL)->preempt(&victim, &it), cases[i].stops, "case %zu",
			     i);
	}
	cr_expect_null(policy_find("first-fit-fifo")->preempt);
}

static struct worker_info random_worker(GRand *rand)
{
	return (struct worker_info){
		.name = "w",
		.rack = "r",
		.total = { .cpu_milli = CPU(g_rand_int_range(rand, 1, 129)),
			   .mem_bytes = (uint64_t)g_rand_int_range(rand, 1, 513) * GIB,
			   .accel = g_rand_int_range(rand, 0, 4) ? 0 : 8 },
		.service = UINT32_MAX,
	};
}

/* The index finds a worker whenever one fits, and never one that does not. */
Test(policy, index_finds_what_a_full_scan_finds)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(3);
	struct worker_index *wi = worker_index_create();

	for (int i = 0; i < 200; i++) {
		struct worker_info info = random_worker(rand);
		uint32_t worker = worker_index_add(wi, &info);

		worker_index_get(wi, worker)->state = WORKER_READY;
		worker_index_update(wi, worker);
	}
	for (int i = 0; i < 5000; i++) {
		struct item *it = g_new0(struct item, 1);
		struct worker_search q = {
			.want = { .cpu_milli = CPU(g_rand_int_range(rand, 1, 65)),
				  .mem_bytes = (uint64_t)g_rand_int_range(rand, 1, 200) * GIB,
				  .accel = g_rand_int_range(rand, 0, 5) ? 0 : 2 },
			.max = 1,
			.avoid = UINT32_MAX
		};
		struct worker_search all = q;

		all.order = SEARCH_FIRST_FIT;
		cr_assert_eq(worker_index_find(wi, &q), worker_index_find(wi, &all), "search %d",
			     i);
		it->w.size = q.want;
		if (q.n)
			worker_index_allocate(wi, q.worker[0], it);
		else
			g_free(it);
		for (uint32_t w = 0; !q.n && w < worker_index_count(wi); w += 7) {
			struct item *first = worker_index_get(wi, w)->running.first;

			if (first)
				worker_index_release(wi, w, first);
			g_free(first);
		}
	}
	for (uint32_t w = 0; w < worker_index_count(wi); w++) {
		struct indexed_worker *rw = worker_index_get(wi, w);

		cr_expect(res_fits(&rw->task_used, &rw->total));
		while (rw->running.first) {
			struct item *it = rw->running.first;

			worker_index_release(wi, w, it);
			g_free(it);
		}
	}
	worker_index_destroy(wi);
}

struct share_case {
	const char *name;
	uint32_t weight[2];
	struct res quota; /* of the first team */
	uint32_t cpus[2]; /* of each task */
	uint32_t running[2];
};

Test(policy, teams_share_by_weight_and_quota)
{
	static const struct share_case cases[] = {
		{ "equal", { 1, 1 }, { 0 }, { 1, 1 }, { 16, 16 } },
		{ "by weight", { 3, 1 }, { 0 }, { 1, 1 }, { 24, 8 } },
		{ "by use, not by number", { 1, 1 }, { 0 }, { 4, 1 }, { 4, 16 } },
		{ "quota", { 1, 1 }, { .cpu_milli = CPU(5) }, { 1, 1 }, { 5, 27 } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct worker_info info = { .name = "w",
					    .total = { .cpu_milli = CPU(32),
						       .mem_bytes = 1024 * GIB },
					    .service = UINT32_MAX };
		uint32_t running[2] = { 0 };
		struct owner_conf conf;
		struct cell c;

		owner_conf_default(&conf);
		conf.urgent_reserve_milli = 0;
		cell_init(&c, &conf);
		cell_worker(&c, &info);
		for (uint32_t t = 0; t < 2; t++)
			owner_set_team(c.owner, t, cases[i].weight[t],
				       t ? &(struct res){ 0 } : &cases[i].quota);
		for (uint32_t j = 0; j < 80; j++) {
			uint32_t t = j < 40 ? 0 : 1; /* the first team submits first */
			struct work w = { .class = WORK_BATCH,
					  .job = 1 + t,
					  .team = t,
					  .size = { .cpu_milli = CPU(cases[i].cpus[t]),
						    .mem_bytes = GIB },
					  .avoid_worker = UINT32_MAX };

			cell_submit(&c, &w);
		}
		cell_run(&c);
		for (uint64_t id = 1; id <= 80; id++)
			running[cell_work(&c, id)->w.team] += cell_work(&c, id)->running;
		for (int t = 0; t < 2; t++)
			cr_expect_eq(running[t], cases[i].running[t], "%s: team %d has %u",
				     cases[i].name, t, running[t]);
		cr_expect_eq(c.faults, 0, "%s", c.fault);
		cell_clear(&c);
	}
}

Test(policy, services_are_spread_over_racks)
{
	uint32_t seen = 0;
	struct cell c;

	cell_init(&c, NULL);
	for (uint32_t i = 0; i < 12; i++) {
		g_autofree char *rack = g_strdup_printf("r%u", i / 3);
		struct worker_info info = { .name = "w",
					    .rack = rack,
					    .total = { .cpu_milli = CPU(32),
						       .mem_bytes = 128 * GIB },
					    .service = UINT32_MAX };

		cell_worker(&c, &info);
	}
	for (uint64_t id = 1; id <= 4; id++) {
		struct work w = { .class = WORK_SERVICE,
				  .job = 9,
				  .size = { .cpu_milli = CPU(1), .mem_bytes = GIB },
				  .avoid_worker = UINT32_MAX };

		cell_submit(&c, &w);
		cell_run(&c);
		seen |= 1u << (cell_work(&c, id)->worker / 3);
	}
	cr_expect_eq(seen, 0xf);
	cell_clear(&c);
}

Test(policy, estimates_follow_the_samples)
{
	struct res declared = { .mem_bytes = GIB };
	struct res used = { .mem_bytes = 8 * GIB };
	struct estimates e;

	estimates_init(&e);
	for (int i = 0; i < ESTIMATE_SAMPLES_MIN; i++) {
		cr_expect_eq(estimates_run_ms(&e, 1, 500, true), 500);
		estimates_add_run(&e, 1, 1000);
		estimates_add_usage(&e, 1, &used);
	}
	for (uint32_t i = 0; i < 4000; i++)
		estimates_add_run(&e, 1, 1000 + i * 7919 % 1000);
	cr_expect_geq(estimates_run_ms(&e, 1, 500, false), 1350);
	cr_expect_leq(estimates_run_ms(&e, 1, 500, false), 1650);
	cr_expect_geq(estimates_run_ms(&e, 1, 500, true), 1850);
	cr_expect_eq(estimates_size(&e, 1, &declared).mem_bytes, 8 * GIB);
	cr_expect_eq(estimates_size(&e, 2, &declared).mem_bytes, GIB);
	estimates_clear(&e);
}
