#include <criterion/criterion.h>

#include "process/advisor_queue.h"

#define REQUESTS_MAX 8

struct fake_advisor {
	uint32_t answered;
	uint64_t last_call;
	advised_fn fn[REQUESTS_MAX];
	void *ctx[REQUESTS_MAX];
	uint32_t sent;
};

static void on_ask(void *impl, const char *step, const char *const *runner, size_t n, advised_fn fn,
		   void *ctx)
{
	struct fake_advisor *a = impl;

	a->fn[a->sent] = fn;
	a->ctx[a->sent++] = ctx;
}

static const struct advisor_ops advisor_ops = { .ask = on_ask };

static void on_advice_done(void *ctx, uint64_t call, uint64_t link, bool answered,
			   const struct ticket *ticket, size_t n, uint32_t validity_ms)
{
	struct fake_advisor *a = ctx;

	a->answered++;
	a->last_call = call;
}

static void answer(struct fake_advisor *a, uint32_t i)
{
	a->fn[i](a->ctx[i], true, NULL, 0, 0);
}

/*
 * A burst of urgent steps: with one request at a time the advisor was idle for a VM during each
 * round trip. No more than two are sent, so that those of an older scheduler can be dropped.
 */
Test(advisor_queue, two_requests_at_a_time)
{
	const char *const names[] = { "r" };
	struct fake_advisor a = { 0 };
	const struct advisor advisor = { .ops = &advisor_ops, .impl = &a };
	struct advisor_queue *q = advisor_queue_create(&advisor, on_advice_done, &a);

	for (uint64_t call = 1; call <= 4; call++)
		advisor_queue_ask(q, call, 7, "s", names, 1, 100);
	cr_assert_eq(a.sent, 2);
	cr_assert_eq(advisor_queue_load_us(q), 400);
	answer(&a, 0);
	cr_assert_eq(a.last_call, 1);
	cr_assert_eq(a.sent, 3);
	advisor_queue_clear(q, true);
	cr_assert_eq(advisor_queue_load_us(q), 200);
	answer(&a, 2);
	cr_assert_eq(a.last_call, 3, "replies may overtake each other");
	answer(&a, 1);
	cr_assert_eq(a.answered, 3, "the fourth request must not be sent");
	cr_assert_eq(a.sent, 3);
	advisor_queue_destroy(q);
}
