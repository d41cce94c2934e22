#include <criterion/criterion.h>

#include "endpoint.h"
#include "fakestore.h"

struct reply {
	uint32_t n;
	enum start_result started;
	bool polled;
};

static void on_started(void *ctx, enum start_result result)
{
	struct reply *r = ctx;

	r->n++;
	r->started = result;
}

static void on_polled(void *ctx, const struct poll_reply *reply)
{
	struct reply *r = ctx;

	r->n++;
	r->polled = reply && reply->incarnation_ms == 11 && reply->clock_ms == 12 &&
		    reply->n_running == 1 && reply->running[0].usage == 5 && reply->n_ended == 1 &&
		    reply->ended[0].seq == 4 && reply->ended[0].end == END_FAILED;
}

static const struct start_order order = { .route = { .dc = "dc" },
					  .runner = "r",
					  .address = "x:1",
					  .task = "t",
					  .payload = "p",
					  .checkpoint = "c",
					  .run = 3,
					  .deadline_ms = 77,
					  .timeout_ms = 200 };

Test(relay, orders_are_executed_by_the_node)
{
	const struct poll_order poll = { .route = { .dc = "dc" },
					 .runner = "r",
					 .address = "x:1",
					 .acked_end = 2,
					 .timeout_ms = 200 };
	struct endpoint a = { 0 };
	struct endpoint b = { 0 };
	struct reply r = { 0 };

	endpoint_connect_pair(&a, &b);
	relay_start(a.relay, &order, 9, on_started, &r);
	cr_assert_eq(r.n, 0, "the order goes over the link");
	endpoint_run_until(&r.n, 1);
	cr_assert_eq(r.started, START_OK);
	relay_poll(a.relay, &poll, 9, on_polled, &r);
	endpoint_run_until(&r.n, 2);
	cr_assert(r.polled);
	endpoint_close(&b);
	endpoint_close(&a);
}

Test(relay, without_a_node_the_scheduler_calls_the_runner)
{
	struct endpoint a = { 0 };
	struct reply r = { 0 };

	endpoint_open(&a, "a");
	relay_start(a.relay, &order, 9, on_started, &r);
	cr_assert_eq(r.n, 1);
	cr_assert_eq(r.started, START_OK);
	endpoint_close(&a);
}

struct silence_case {
	const char *what;
	bool lost; /* the link is lost, otherwise only the answer */
};

/* The node may or may not have executed the order. */
Test(relay, result_is_unknown_without_an_answer)
{
	static const struct silence_case cases[] = { { "no answer", false },
						     { "lost link", true } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct endpoint a = { 0 };
		struct endpoint b = { .ignores_orders = true };
		struct reply r = { 0 };

		endpoint_connect_pair(&a, &b);
		relay_start(a.relay, &order, 9, on_started, &r);
		if (cases[i].lost)
			endpoint_close(&b);
		else
			fake_now_ms += 1000;
		endpoint_run_until(&r.n, 1);
		cr_expect_eq(r.started, START_UNKNOWN, "%s", cases[i].what);
		if (!cases[i].lost)
			endpoint_close(&b);
		endpoint_close(&a);
	}
}
