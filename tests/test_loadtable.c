#include <criterion/criterion.h>

#include "process/loadtable.h"

#define ANSWER_BYTES 100000

struct owner_row {
	const char *name;
	const char *dc;
	const char *region;
	uint32_t free_slots;
	uint32_t queued;
	uint32_t wait_ms;
};

struct pick_case {
	const char *what;
	struct owner_row owner[3];
	const char *skip;
	uint32_t picks;	  /* requests sent since the heartbeats */
	const char *want; /* owner of the last one, NULL for none */
};

static struct loadtable *make(void)
{
	struct loadtable_conf conf = {
		.dc = "a1",
		.region = "a",
		.dc_delay_ms = 1,
		.region_delay_ms = 12,
		.bytes_per_ms = 20000,
	};

	return loadtable_create(&conf);
}

static void fill(struct loadtable *t, const struct owner_row *o)
{
	struct service_load load = { .service = "desk",
				     .free_slots = o->free_slots,
				     .queued = o->queued,
				     .wait_ms = o->wait_ms };

	loadtable_set(t, o->name, o->dc, o->region, &load, 1);
}

Test(loadtable, picks_the_owner_of_lowest_cost)
{
	static const struct pick_case cases[] = {
		{ "the local one with most free slots",
		  { { "d1", "a1", "a", 2 }, { "d2", "a1", "a", 5 }, { "d3", "b1", "b", 90 } },
		  NULL,
		  1,
		  "d2" },
		{ "a burst between heartbeats spreads",
		  { { "d1", "a1", "a", 2 }, { "d2", "a1", "a", 3 } },
		  NULL,
		  4,
		  "d1" },
		{ "a short local wait is better than another region",
		  { { "d1", "a1", "a", 0, 3, 20 }, { "d3", "b1", "b", 90 } },
		  NULL,
		  1,
		  "d1" },
		{ "a long local wait is worse than another region",
		  { { "d1", "a1", "a", 0, 3, 200 }, { "d3", "b1", "b", 90 } },
		  NULL,
		  1,
		  "d3" },
		{ "another data centre of the region before another region",
		  { { "d1", "a1", "a", 0, 3, 200 },
		    { "d2", "a2", "a", 1 },
		    { "d3", "b1", "b", 90 } },
		  NULL,
		  1,
		  "d2" },
		{ "an owner that was tried is left out",
		  { { "d1", "a1", "a", 9 }, { "d3", "b1", "b", 1 } },
		  "d1",
		  1,
		  "d3" },
		{ "nobody has a runner", { { NULL } }, NULL, 1, NULL },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct pick_case *c = &cases[i];
		struct loadtable *t = make();
		const char *got = NULL;

		for (size_t k = 0; k < 3 && c->owner[k].name; k++)
			fill(t, &c->owner[k]);
		for (uint32_t k = 0; k < c->picks; k++)
			got = loadtable_pick(t, "desk", ANSWER_BYTES, &c->skip, c->skip ? 1 : 0);
		if (c->want)
			cr_expect_str_eq(got, c->want, "%s: %s", c->what, got);
		else
			cr_expect_null(got, "%s", c->what);
		loadtable_destroy(t);
	}
}

Test(loadtable, forgotten_owner_is_not_picked)
{
	static const struct owner_row owner = { "d1", "a1", "a", 4 };
	struct loadtable *t = make();

	fill(t, &owner);
	loadtable_forget(t, "d1");
	cr_expect_null(loadtable_pick(t, "desk", 0, NULL, 0));
	loadtable_destroy(t);
}

Test(loadtable, task_needs_all_of_its_size)
{
	struct loadtable *t = make();
	struct service_load load = { .service = "",
				     .free = { .cpu_milli = 4000, .mem_bytes = 100 } };
	struct res small = { .cpu_milli = 3000, .mem_bytes = 60 };
	struct res wide = { .cpu_milli = 1, .mem_bytes = 101 };

	loadtable_set(t, "d1", "a1", "a", &load, 1);
	cr_expect_null(loadtable_pick_task(t, "a1", &wide));
	cr_expect_str_eq(loadtable_pick_task(t, "a1", &small), "d1");
	cr_expect_null(loadtable_pick_task(t, "a1", &small),
		       "its capacity is deducted until the next heartbeat");
	cr_expect_null(loadtable_pick_task(t, "b1", &small));
	loadtable_destroy(t);
}

struct differ_case {
	struct service_load a;
	struct service_load b;
	bool differ;
};

Test(loadtable, loads_differ)
{
	static const struct differ_case cases[] = {
		{ { "desk", 80, 0, 0 }, { "desk", 80, 0, 0 }, false },
		{ { "desk", 80, 0, 0 }, { "desk", 78, 0, 0 }, false },
		{ { "desk", 80, 0, 0 }, { "desk", 77, 0, 0 }, true },
		{ { "desk", 8, 0, 0 }, { "desk", 7, 0, 0 }, true },
		{ { "desk", 8, 0, 80 }, { "desk", 8, 0, 70 }, false },
		{ { "desk", 1, 0, 0 }, { "desk", 0, 0, 0 }, true },
		{ { "desk", 0, 0, 0 }, { "desk", 0, 1, 0 }, true },
		{ { "desk", 0, 9, 100 }, { "desk", 0, 9, 300 }, true },
		{ { "desk", 8, 0, 0 }, { "other", 8, 0, 0 }, true },
		{ { "", .free = { .mem_bytes = 1 } }, { "", .free = { .mem_bytes = 0 } }, true },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		cr_expect_eq(service_loads_differ(&cases[i].a, 1, &cases[i].b, 1), cases[i].differ,
			     "case %zu", i);
	cr_expect(service_loads_differ(&cases[0].a, 1, NULL, 0), "a service went away");
}

Test(loadtable, unchanged_load_resets_the_requests_sent)
{
	static const struct owner_row owner = { "d1", "a1", "a", 1 };
	static const struct owner_row far = { "d3", "b1", "b", 9 };
	struct loadtable *t = make();

	fill(t, &owner);
	fill(t, &far);
	cr_expect_str_eq(loadtable_pick(t, "desk", 0, NULL, 0), "d1");
	for (int i = 0; i < 40; i++)
		loadtable_pick(t, "desk", 0, NULL, 0);
	loadtable_set_unchanged(t, "d1");
	cr_expect_str_eq(loadtable_pick(t, "desk", 0, NULL, 0), "d1");
	loadtable_destroy(t);
}
