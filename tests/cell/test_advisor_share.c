#include <criterion/criterion.h>

#include "process/advisor_share.h"

/* Which requests may be sent, given those in flight. */

#define LONG_US	 200000
#define SHORT_US 25000

struct share_case {
	const char *what;
	uint32_t clients;
	bool long_overdue;
	uint32_t n_long; /* in flight, like all following */
	uint32_t n_long_overdue;
	uint32_t n_short;
	bool may_long;
	bool may_long_overdue;
	bool may_short;
	bool may_short_overdue;
};

static const struct share_case cases[] = {
	{ "nothing in flight", 8, false, 0, 0, 0, true, true, true, true },
	{ "all long clients busy", 8, false, 7, 0, 1, false, false, true, true },
	{ "all but one, no step is overdue", 8, false, 6, 0, 1, true, true, true, true },
	{ "all but one, a step is overdue", 8, true, 6, 0, 1, false, true, true, true },
	{ "all but two, a step is overdue", 8, true, 5, 0, 1, true, true, true, true },
	{ "the reserved client is busy", 8, true, 5, 1, 1, true, false, true, true },
	{ "all clients, no short requests", 8, true, 6, 1, 0, false, true, true, true },
	{ "twelve long requests at eight clients", 8, true, 6, 6, 0, false, false, true, true },
	{ "a large cell, a step is overdue", 39, true, 24, 0, 1, false, true, true, true },
	{ "a large cell, three clients reserved", 39, true, 23, 3, 1, true, false, true, true },
	{ "the short-only client has enough", 8, false, 7, 0, 3, false, false, false, true },
	{ "a single client, after another request", 1, true, 0, 0, 1, true, true, true, true },
	{ "a single busy client", 1, true, 1, 0, 1, false, false, true, true },
};

static bool may_send(const struct advisor_share *a, uint64_t cost_us, bool overdue)
{
	const struct advisor_request r = { cost_us, overdue };

	return advisor_share_may_send(a, &r);
}

static void begin(struct advisor_share *a, uint32_t n, uint64_t cost_us, bool overdue)
{
	const struct advisor_request r = { cost_us, overdue };

	for (uint32_t i = 0; i < n; i++)
		advisor_share_begin(a, &r);
}

/* Without a reserve late steps got no advice; with too much of one, steps in time would be late. */
Test(advisor_share, overdue_steps_have_a_part)
{
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct share_case *c = &cases[i];
		struct advisor_share *a = advisor_share_create();

		advisor_share_set_clients(a, c->clients);
		advisor_share_reserve(a, c->long_overdue);
		begin(a, c->n_long, LONG_US, false);
		begin(a, c->n_long_overdue, LONG_US, true);
		begin(a, c->n_short, SHORT_US, false);
		cr_expect_eq(may_send(a, LONG_US, false), c->may_long, "%s", c->what);
		cr_expect_eq(may_send(a, LONG_US, true), c->may_long_overdue, "%s", c->what);
		cr_expect_eq(may_send(a, SHORT_US, false), c->may_short, "%s", c->what);
		cr_expect_eq(may_send(a, SHORT_US, true), c->may_short_overdue, "%s", c->what);
		advisor_share_destroy(a);
	}
}

/* One client can't reserve a part of itself, so it would starve one of the two. */
Test(advisor_share, a_single_client_serves_both_in_turn)
{
	struct advisor_share *a = advisor_share_create();
	const struct advisor_request other = { LONG_US, false };
	const struct advisor_request overdue = { LONG_US, true };

	advisor_share_reserve(a, true);
	begin(a, 1, SHORT_US, false);
	for (int i = 0; i < 3; i++) {
		cr_expect(advisor_share_may_send(a, &other));
		advisor_share_begin(a, &other);
		cr_expect_not(advisor_share_may_send(a, &overdue));
		advisor_share_end(a, &other);
		cr_expect_not(advisor_share_may_send(a, &other));
		cr_expect(advisor_share_may_send(a, &overdue));
		advisor_share_begin(a, &overdue);
		cr_expect_not(advisor_share_may_send(a, &other));
		advisor_share_end(a, &overdue);
	}
	advisor_share_reserve(a, false);
	begin(a, 1, LONG_US, false);
	advisor_share_end(a, &other);
	cr_expect(advisor_share_may_send(a, &other), "no step is overdue any more");
	advisor_share_destroy(a);
}
