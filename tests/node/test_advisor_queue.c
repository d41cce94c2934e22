#include <criterion/criterion.h>

#include "process/advisor_queue.h"

struct fake_advisor {
	uint32_t answered;
	uint64_t last_call;
	advised_fn fn;
	void *ctx;
	uint32_t sent;
};

static void on_ask(void *impl, const char *step, const char *const *runner, size_t n, advised_fn fn,
		   void *ctx)
{
	struct fake_advisor *a = impl;

	a->sent++;
	a->fn = fn;
	a->ctx = ctx;
}

static const struct advisor_ops advisor_ops = { .ask = on_ask };

static void on_advice_done(void *ctx, uint64_t call, uint64_t link, bool answered,
			   const struct ticket *ticket, size_t n, uint32_t validity_ms)
{
	struct fake_advisor *a = ctx;

	a->answered++;
	a->last_call = call;
}

/* Requests are sent one at a time; those of an older scheduler are dropped if not sent yet. */
Test(advisor_queue, one_request_at_a_time)
{
	const char *const names[] = { "r" };
	struct fake_advisor a = { 0 };
	const struct advisor advisor = { .ops = &advisor_ops, .impl = &a };
	struct advisor_queue *q = advisor_queue_create(&advisor, on_advice_done, &a);

	for (uint64_t call = 1; call <= 3; call++)
		advisor_queue_ask(q, call, 7, "s", names, 1, 100);
	cr_assert_eq(a.sent, 1);
	cr_assert_eq(advisor_queue_load_us(q), 300);
	a.fn(a.ctx, true, NULL, 0, 0);
	cr_assert_eq(a.last_call, 1);
	cr_assert_eq(a.sent, 2);
	advisor_queue_clear(q, true);
	cr_assert_eq(advisor_queue_load_us(q), 100);
	a.fn(a.ctx, true, NULL, 0, 0);
	cr_assert_eq(a.answered, 2, "the third request must not be sent");
	advisor_queue_destroy(q);
}
