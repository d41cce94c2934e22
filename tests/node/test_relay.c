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

static void start_oddly(void *impl, const struct start_order *o, uint64_t term, started_fn fn,
			void *ctx)
{
	fn(ctx, (enum start_result)99);
}

static void poll_oddly(void *impl, const struct poll_order *o, uint64_t term, polled_fn fn,
		       void *ctx)
{
	const struct poll_ended ended = {
		.seq = 1, .task = "u", .run = 1, .end = (enum run_end)99, .checkpoint = ""
	};
	const struct poll_reply reply = { .ended = &ended, .n_ended = 1 };

	fn(ctx, &reply);
}

static void on_any_poll(void *ctx, const struct poll_reply *reply)
{
	struct reply *r = ctx;

	r->n++;
	r->polled = reply != NULL;
}

/* Guards against an index out of range: texts and actions are looked up by these numbers. */
Test(relay, results_of_another_release_are_unknown)
{
	static const struct runner_ops odd_ops = { .start = start_oddly, .poll = poll_oddly };
	const struct runner_client odd = { .ops = &odd_ops };
	const struct poll_order poll = { .route = { .dc = "dc" }, .runner = "r", .address = "x:1" };
	struct endpoint a = { 0 };
	struct endpoint b = { .runners = &odd };
	struct reply r = { .polled = true };

	endpoint_connect_pair(&a, &b);
	relay_start(a.relay, &order, 9, on_started, &r);
	endpoint_run_until(&r.n, 1);
	cr_expect_eq(r.started, START_UNKNOWN);
	relay_poll(a.relay, &poll, 9, on_any_poll, &r);
	endpoint_run_until(&r.n, 2);
	cr_expect_not(r.polled, "the list is not whole");
	endpoint_close(&b);
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

/* A runner that answers polls only when told to, and any number of them. */
struct slow_runner {
	uint32_t n;
	polled_fn fn[4];
	void *ctx[4];
};

static void hold_poll(void *impl, const struct poll_order *o, uint64_t term, polled_fn fn,
		      void *ctx)
{
	struct slow_runner *r = impl;

	r->fn[r->n] = fn;
	r->ctx[r->n++] = ctx;
}

static void answer_poll(const struct slow_runner *r, uint32_t i, int64_t incarnation_ms)
{
	const struct poll_reply reply = { .incarnation_ms = incarnation_ms };

	r->fn[i](r->ctx[i], &reply);
}

static void on_incarnation(void *ctx, const struct poll_reply *reply)
{
	if (reply)
		g_array_append_val((GArray *)ctx, reply->incarnation_ms);
}

static void run_loop(void)
{
	for (int i = 0; i < 600; i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(100);
	}
}

/* A node that has a poll of one scheduler in hand, and one of the next, to which it is linked. */
struct two_schedulers {
	struct slow_runner runner;
	struct runner_client client;
	struct endpoint before;
	struct endpoint after;
	struct endpoint node;
	uint64_t first_link; /* link and number of the poll of r1 by the scheduler before */
	uint64_t first_call;
	GArray *got; /* incarnations in the replies that were delivered */
};

static void two_schedulers_open(struct two_schedulers *t)
{
	static const struct runner_ops slow_ops = { .poll = hold_poll };
	const struct poll_order first = { .route = { .dc = "dc" }, .runner = "r1" };
	const struct poll_order second = { .route = { .dc = "dc" },
					   .runner = "r2",
					   .timeout_ms = 5000 };

	*t = (struct two_schedulers){ .client = { .ops = &slow_ops, .impl = &t->runner } };
	t->got = g_array_new(FALSE, FALSE, sizeof(int64_t));
	t->node.runners = &t->client;
	endpoint_open(&t->before, "before");
	endpoint_open(&t->after, "after");
	endpoint_open(&t->node, "b");
	endpoint_link(&t->before, &t->node, endpoint_listen(&t->before), 9);
	relay_poll(t->before.relay, &first, 9, on_incarnation, t->got);
	endpoint_run_until(&t->runner.n, 1);
	t->first_link = t->node.last_link;
	t->first_call = t->node.last_call;
	endpoint_link(&t->after, &t->node, endpoint_listen(&t->after), 10);
	relay_poll(t->after.relay, &second, 10, on_incarnation, t->got);
	endpoint_run_until(&t->runner.n, 2);
}

/* Answers both polls; only that of r2 may be delivered. */
static void two_schedulers_close(struct two_schedulers *t)
{
	answer_poll(&t->runner, 0, 111);
	run_loop();
	cr_expect_eq(t->got->len, 0, "the list of r1 was delivered as that of r2");
	answer_poll(&t->runner, 1, 222);
	run_loop();
	cr_assert_eq(t->got->len, 1);
	cr_expect_eq(g_array_index(t->got, int64_t, 0), 222);
	g_array_unref(t->got);
	endpoint_close(&t->node);
	endpoint_close(&t->after);
	endpoint_close(&t->before);
}

/* A reply to the poll of this number, as if r1 had answered. */
static void fill_reply(Kw__Envelope *e, Cell__LookReply *m, uint64_t call)
{
	kw__envelope__init(e);
	cell__look_reply__init(m);
	m->call = call;
	m->answered = true;
	m->born_ms = 111;
	e->body_case = KW__ENVELOPE__BODY_LOOK_REPLY;
	e->look_reply = m;
}

/*
 * Guards against a reply being taken for that of another order: a node finishes a poll of one
 * scheduler after it has linked to the next one. The next one took the list of one runner for that
 * of another, and lost runs that had ended.
 */
Test(relay, reply_to_an_order_of_another_scheduler_is_not_delivered)
{
	struct two_schedulers t;

	two_schedulers_open(&t);
	two_schedulers_close(&t);
}

/* The same if both schedulers gave their polls the same number: the link and the peer tell. */
Test(relay, reply_on_another_link_or_of_another_peer_is_not_delivered)
{
	struct two_schedulers t;
	Kw__Envelope e;
	Cell__LookReply m;

	two_schedulers_open(&t);
	fill_reply(&e, &m, t.node.last_call);
	links_reply_order(t.node.links, t.first_link, &e);
	run_loop();
	cr_expect_eq(t.got->len, 0, "a reply on the link to the scheduler before was delivered");
	relay_handle_reply(t.after.relay, NULL, &e);
	cr_expect_eq(t.got->len, 0, "a reply of a node that was not asked was delivered");
	two_schedulers_close(&t);
}

/*
 * Guards against the same fault with nodes of the release before, which answer every order on the
 * link that they have then: the reply to the earlier scheduler's order had the number of an order
 * that the next scheduler had sent to the same node.
 */
Test(relay, reply_of_an_older_release_to_an_earlier_scheduler_is_not_delivered)
{
	struct two_schedulers t;
	Kw__Envelope e;
	Cell__LookReply m;

	two_schedulers_open(&t);
	fill_reply(&e, &m, t.first_call);
	links_reply_order(t.node.links, t.node.last_link, &e);
	run_loop();
	cr_expect_eq(t.got->len, 0, "the list of r1 was delivered as that of r2");
	two_schedulers_close(&t);
}

/* What a node replies, and whether that can be used. */
struct odd_reply {
	const char *name;
	struct poll_ended ended;
	uint32_t running_run;
	int64_t clock_ms;
	int64_t incarnation_ms;
	bool usable;
};

static void reply_odd_start(void *impl, const struct start_order *o, uint64_t term, started_fn fn,
			    void *ctx)
{
	fn(ctx, (enum start_result)(START_UNKNOWN + 1));
}

static void reply_odd_poll(void *impl, const struct poll_order *o, uint64_t term, polled_fn fn,
			   void *ctx)
{
	const struct odd_reply *odd = impl;
	const struct poll_running running = { .task = "t",
					      .run = odd->running_run,
					      .checkpoint = "" };
	const struct poll_reply reply = { .clock_ms = odd->clock_ms,
					  .incarnation_ms = odd->incarnation_ms,
					  .running = &running,
					  .n_running = 1,
					  .ended = &odd->ended,
					  .n_ended = 1 };

	fn(ctx, &reply);
}

static void on_odd_polled(void *ctx, const struct poll_reply *reply)
{
	struct reply *r = ctx;

	r->n++;
	r->polled = reply != NULL;
}

/* Guards against values that no runner sends: they were used as indices and to count times. */
Test(relay, odd_replies_of_a_node_are_not_used)
{
	static const struct runner_ops ops = { .start = reply_odd_start, .poll = reply_odd_poll };
	static const struct odd_reply cases[] = {
		{ "usual", { 1, "t", 1, END_GANG_INCOMPLETE, "" }, 1, 5, 7, true },
		{ "unknown end", { 1, "t", 1, END_GANG_INCOMPLETE + 1, "" }, 1, 5, 7, false },
		{ "end without a number", { 0, "t", 1, END_DONE, "" }, 1, 5, 7, false },
		{ "end of run 0", { 1, "t", 0, END_DONE, "" }, 1, 5, 7, false },
		{ "run 0", { 1, "t", 1, END_DONE, "" }, 0, 5, 7, false },
		{ "clock before 0", { 1, "t", 1, END_DONE, "" }, 1, -1, 7, false },
		{ "clock that sums wrap on", { 1, "t", 1, END_DONE, "" }, 1, INT64_MAX, 7, false },
		{ "incarnation before 0", { 1, "t", 1, END_DONE, "" }, 1, 5, -7, false },
	};
	static const struct poll_order poll = {
		.route = { .dc = "dc" }, .runner = "r", .address = "x:1", .timeout_ms = 200
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct runner_client runners = { .ops = &ops, .impl = (void *)&cases[i] };
		struct endpoint a = { 0 };
		struct endpoint b = { .runners = &runners };
		struct reply r = { 0 };

		endpoint_connect_pair(&a, &b);
		relay_start(a.relay, &order, 9, on_started, &r);
		endpoint_run_until(&r.n, 1);
		cr_expect_eq(r.started, START_UNKNOWN);
		relay_poll(a.relay, &poll, 9, on_odd_polled, &r);
		endpoint_run_until(&r.n, 2);
		cr_expect_eq(r.polled, cases[i].usable, "%s", cases[i].name);
		endpoint_close(&b);
		endpoint_close(&a);
	}
}

#define NODES	      12
#define BURST	      7000
#define PAYLOAD_BYTES 4000

/*
 * Guards against sound nodes that are disconnected because the scheduler has more starts for them
 * at once than it may hold: those that don't fit are for the scheduler itself to execute.
 */
Test(relay, burst_of_starts_drops_no_node)
{
	g_autofree char *payload = g_strnfill(PAYLOAD_BYTES, 'p');
	struct start_order large = order;
	struct endpoint a = { 0 };
	struct endpoint b[NODES] = { 0 };
	struct reply r = { 0 };
	uint16_t port;

	large.payload = payload;
	endpoint_open(&a, "a");
	port = endpoint_listen(&a);
	for (uint32_t i = 0; i < NODES; i++) {
		g_autofree char *name = g_strdup_printf("b-%u", i);
		g_autofree char *address = g_strdup_printf("127.0.0.1:%u", port);

		endpoint_open(&b[i], name);
		links_set_scheduler(b[i].links, address, 9);
	}
	endpoint_run_until(&a.peers, NODES);
	for (uint32_t i = 0; i < BURST; i++) {
		g_autofree char *runner = g_strdup_printf("r-%u", i);

		large.runner = runner;
		relay_start(a.relay, &large, 9, on_started, &r);
	}
	cr_expect_gt(r.n, 0, "%u starts were queued", BURST);
	cr_expect_lt(r.n, BURST / 2, "%u of %u starts were refused", r.n, BURST);
	endpoint_run_for(200);
	endpoint_run_until(&r.n, BURST);
	cr_expect_eq(r.n, BURST, "%u starts have a result", r.n);
	cr_expect_eq(a.lost, 0, "%u of %u nodes were dropped", a.lost, NODES);
	cr_expect_eq(a.peers, NODES);
	for (uint32_t i = 0; i < NODES; i++)
		endpoint_close(&b[i]);
	endpoint_close(&a);
}

/* A runner that counts the orders that reach it; it has no memory of earlier ones. */
struct counting_runner {
	uint32_t started;
	uint32_t stopped;
	uint32_t polled;
	uint32_t timeout_ms; /* of the last start or poll */
};

static void count_start(void *impl, const struct start_order *o, uint64_t term, started_fn fn,
			void *ctx)
{
	struct counting_runner *c = impl;

	c->started++;
	c->timeout_ms = o->timeout_ms;
	fn(ctx, START_OK);
}

static void count_stop(void *impl, const char *runner, const char *address, const char *task,
		       uint32_t run, uint64_t term, stopped_fn fn, void *ctx)
{
	((struct counting_runner *)impl)->stopped++;
	fn(ctx, true);
}

static void count_poll(void *impl, const struct poll_order *o, uint64_t term, polled_fn fn,
		       void *ctx)
{
	struct counting_runner *c = impl;

	c->polled++;
	c->timeout_ms = o->timeout_ms;
	fn(ctx, NULL);
}

static const struct runner_ops counting_ops = { .start = count_start,
						.stop = count_stop,
						.poll = count_poll };

static void on_stopped(void *ctx, bool answered)
{
	((struct reply *)ctx)->n++;
}

struct held_case {
	const char *what;
	int64_t held_ms;
	uint32_t started;
	uint32_t stopped;
	uint32_t polled;
};

/*
 * Guards against orders that a node executes after its process was paused, or that a link has
 * delayed: a runner that had restarted meanwhile executed starts of tasks that had ended, and polls
 * made it forget ends that nobody had read. A node that is only slow has to execute them.
 */
Test(relay, orders_held_until_the_scheduler_gave_them_up_are_not_executed)
{
	static const struct poll_order poll = {
		.route = { .dc = "dc" }, .runner = "r", .address = "x:1", .timeout_ms = 1200
	};
	static const struct held_case cases[] = {
		{ "at once", 0, 1, 1, 1 },
		{ "a slow node", 400, 1, 1, 1 },
		{ "the start was given up", 450, 0, 1, 1 },
		{ "start and stop were given up", 850, 0, 0, 1 },
		{ "all were given up", 1450, 0, 0, 0 },
		{ "a pause", 4000, 0, 0, 0 },
		{ "a long pause", 60000, 0, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct counting_runner c = { 0 };
		const struct runner_client runners = { .ops = &counting_ops, .impl = &c };
		struct endpoint a = { 0 };
		struct endpoint b = { .runners = &runners };
		struct reply r = { 0 };

		endpoint_connect_pair(&a, &b);
		relay_start(a.relay, &order, 9, on_started, &r);
		relay_stop(a.relay, &order.route, "r", "x:1", "t", 3, 9, on_stopped, &r);
		relay_poll(a.relay, &poll, 9, on_any_poll, &r);
		fake_now_ms += cases[i].held_ms;
		endpoint_run_until(&r.n, 3);
		run_loop();
		cr_expect_eq(c.started, cases[i].started, "%s: start", cases[i].what);
		cr_expect_eq(c.stopped, cases[i].stopped, "%s: stop", cases[i].what);
		cr_expect_eq(c.polled, cases[i].polled, "%s: poll", cases[i].what);
		endpoint_close(&b);
		endpoint_close(&a);
	}
}

/* Guards against a call to a runner that is made in time and is sent after the order is given up.
 */
Test(relay, calls_to_runners_end_when_their_orders_are_given_up)
{
	struct counting_runner c = { 0 };
	const struct runner_client runners = { .ops = &counting_ops, .impl = &c };
	struct endpoint a = { 0 };
	struct endpoint b = { .runners = &runners };
	struct reply r = { 0 };

	endpoint_connect_pair(&a, &b);
	relay_start(a.relay, &order, 9, on_started, &r);
	endpoint_run_until(&r.n, 1);
	cr_expect_eq(c.timeout_ms, 200);
	relay_start(a.relay, &order, 9, on_started, &r);
	fake_now_ms += 430;
	endpoint_run_until(&c.started, 2);
	cr_expect_leq(c.timeout_ms, 20);
	cr_expect_gt(c.timeout_ms, 0);
	endpoint_close(&b);
	endpoint_close(&a);
}
