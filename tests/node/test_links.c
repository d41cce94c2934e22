#include <criterion/criterion.h>

#include "connection/links.h"
#include "link.h"
#include "fakestore.h"
#include "process/relay.h"
#include "request/intake.h"

/*
 * Links and the relay over loopback: endpoint a schedules, b executes its orders. The loop runs
 * until a counter is reached; fake_now_ms is constant unless a test advances it.
 */
#define PORT	   24711
#define ROUNDS_MAX 20000 /* iterations of the loop, far more than any test takes */

struct endpoint {
	struct links *links;
	struct relay *relay;
	uint32_t peers;
	uint32_t asked;
	uint32_t advised;
	uint32_t appended;
	bool answered;
	bool ignores_orders;  /* neither executes orders nor answers requests for advice */
	bool refuses_appends; /* of any record */
	bool store_down;      /* as the scheduler, it does not reach the store */
	char ticket[16];
};

static bool on_job_state(void *ctx, const char *id, enum job_state *state)
{
	*state = JOB_DONE;
	return g_str_equal(id, "known");
}

static void on_advice_requested(void *ctx, uint64_t call, const char *step,
				const char *const *runner, size_t n)
{
	struct endpoint *e = ctx;
	const struct ticket t = { .runner = runner[0], .ticket = "paper" };

	e->asked++;
	if (!e->ignores_orders)
		links_reply_advice(e->links, call, true, &t, 1, 2000);
}

static void on_advice_received(void *ctx, uint64_t call, bool answered, const struct ticket *ticket,
			       size_t n, uint32_t validity_ms)
{
	struct endpoint *e = ctx;

	e->advised++;
	e->answered = answered;
	if (n)
		g_strlcpy(e->ticket, ticket[0].ticket, sizeof(e->ticket));
}

static void on_append_requested(void *ctx, struct peer *p, const Cell__AppendAsk *ask)
{
	struct endpoint *e = ctx;

	e->appended++;
	links_reply_append(e->links, p, ask->call,
			   e->refuses_appends		   ? STORE_REFUSED
			   : g_str_equal(ask->key, "good") ? STORE_OK
			   : g_str_equal(ask->key, "bad")  ? STORE_REFUSED
							   : STORE_UNKNOWN);
}

static void on_order_received(void *ctx, const Kw__Envelope *m)
{
	struct endpoint *e = ctx;

	if (!e->ignores_orders)
		relay_handle_order(e->relay, m);
}

static void on_order_replied(void *ctx, const Kw__Envelope *m)
{
	relay_handle_reply(((struct endpoint *)ctx)->relay, m);
}

static void on_peer_lost(void *ctx, const struct peer *p)
{
	relay_peer_lost(((struct endpoint *)ctx)->relay, p);
}

static void on_connection_refused(void *ctx)
{
}

static void on_peers_changed(void *ctx, uint32_t n)
{
	((struct endpoint *)ctx)->peers = n;
}

static bool on_store_reachable(void *ctx)
{
	return !((struct endpoint *)ctx)->store_down;
}

static const struct links_ops ops = {
	.store_reachable = on_store_reachable,
	.job_state = on_job_state,
	.advice_requested = on_advice_requested,
	.advice_received = on_advice_received,
	.append_requested = on_append_requested,
	.order_received = on_order_received,
	.order_replied = on_order_replied,
	.peer_lost = on_peer_lost,
	.connection_refused = on_connection_refused,
	.peers_changed = on_peers_changed,
};

/* A runner that executes every order at once; it checks that all fields arrive. */
static void do_start(void *impl, const struct start_order *o, uint64_t term, started_fn fn,
		     void *ctx)
{
	bool whole = g_str_equal(o->runner, "r") && g_str_equal(o->task, "t") && o->run == 3 &&
		     g_str_equal(o->payload, "p") && !o->ticket &&
		     g_strcmp0(o->checkpoint, "c") == 0 && o->deadline_ms == 77 && term == 9;

	fn(ctx, whole ? START_OK : START_REFUSED);
}

static void do_stop(void *impl, const char *runner, const char *address, const char *task,
		    uint32_t run, uint64_t term, stopped_fn fn, void *ctx)
{
	fn(ctx, true);
}

static void do_poll(void *impl, const struct poll_order *o, uint64_t term, polled_fn fn, void *ctx)
{
	const struct poll_running running = {
		.task = "t", .run = 3, .checkpoint = "c", .usage = 5
	};
	const struct poll_ended ended = {
		.seq = 4, .task = "u", .run = 1, .end = END_FAILED, .checkpoint = ""
	};
	const struct poll_reply reply = { .incarnation_ms = 11,
					  .clock_ms = 12,
					  .running = &running,
					  .n_running = 1,
					  .ended = &ended,
					  .n_ended = 1 };

	fn(ctx, o->acked_end == 2 ? &reply : NULL);
}

static const struct runner_ops runner_ops = {
	.start = do_start,
	.stop = do_stop,
	.poll = do_poll,
};

static void endpoint_open(struct endpoint *e, const char *name)
{
	const struct runner_client runners = { .ops = &runner_ops };

	e->links = links_create(name, "dc", 250, &ops, e);
	e->relay = relay_create(&runners, e->links);
}

static void endpoint_close(struct endpoint *e)
{
	links_destroy(e->links);
	relay_destroy(e->relay);
}

static void run_until(const uint32_t *count, uint32_t least)
{
	for (int i = 0; i < ROUNDS_MAX && *count < least; i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(100);
	}
	cr_assert_geq(*count, least);
}

/* Makes a the scheduler, with b linked to it. */
static void connect_pair(struct endpoint *a, struct endpoint *b, uint16_t port)
{
	g_autofree char *address = g_strdup_printf("127.0.0.1:%u", port);
	struct status st = STATUS_INIT;

	endpoint_open(a, "a");
	endpoint_open(b, "b");
	cr_assert(links_listen(a->links, "127.0.0.1", port, &st), "%s", st.message);
	links_set_scheduler(b->links, address, 9);
	run_until(&a->peers, 1);
	for (int i = 0; i < ROUNDS_MAX && !*links_pick_successor(a->links); i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(100);
	}
	cr_assert_str_eq(links_pick_successor(a->links), "b");
}

struct reply {
	uint32_t n;
	bool known;
	enum job_state state;
	enum start_result started;
	bool polled;
	enum store_result stored;
};

static void on_state_reply(void *ctx, bool known, enum job_state state)
{
	struct reply *r = ctx;

	r->n++;
	r->known = known;
	r->state = state;
}

static void on_append_reply(void *ctx, enum store_result stored)
{
	struct reply *r = ctx;

	r->n++;
	r->stored = stored;
}

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

Test(links, state_queries_and_appends)
{
	struct endpoint a = { 0 };
	struct endpoint b = { 0 };
	struct reply r = { 0 };

	connect_pair(&a, &b, PORT);
	cr_assert(links_request_state(b.links, "known", on_state_reply, &r));
	run_until(&r.n, 1);
	cr_assert(r.known);
	cr_assert_eq(r.state, JOB_DONE);
	cr_assert(links_request_state(b.links, "unknown", on_state_reply, &r));
	run_until(&r.n, 2);
	cr_assert_not(r.known);
	cr_assert(links_request_append(b.links, "good", (const uint8_t *)"x", 1, 500,
				       on_append_reply, &r));
	run_until(&r.n, 3);
	cr_assert_eq(r.stored, STORE_OK);
	cr_assert(links_request_append(b.links, "bad", (const uint8_t *)"x", 1, 500,
				       on_append_reply, &r));
	run_until(&r.n, 4);
	cr_assert_eq(r.stored, STORE_REFUSED);
	cr_assert(links_request_append(b.links, "?", (const uint8_t *)"x", 1, 500, on_append_reply,
				       &r));
	run_until(&r.n, 5);
	cr_assert_eq(r.stored, STORE_UNKNOWN);
	cr_assert_not(links_request_state(a.links, "known", on_state_reply, &r),
		      "a is linked to no scheduler");
	endpoint_close(&b);
	endpoint_close(&a);
}

Test(links, outstanding_calls_fail_when_the_link_is_lost)
{
	struct endpoint a = { 0 };
	struct endpoint b = { 0 };
	struct reply r = { 0 };

	connect_pair(&a, &b, PORT + 1);
	cr_assert(links_request_append(b.links, "good", (const uint8_t *)"x", 1, 500,
				       on_append_reply, &r));
	endpoint_close(&a);
	run_until(&r.n, 1);
	cr_assert_eq(r.stored, STORE_UNKNOWN);
	endpoint_close(&b);
}

/* Runs the loop while time advances in steps short enough not to count as a stall. */
static void run_for(int64_t ms)
{
	for (int64_t t = 0; t < ms; t += 50) {
		fake_now_ms += 50;
		for (int i = 0; i < 600; i++) {
			g_main_context_iteration(NULL, FALSE);
			g_usleep(100);
		}
	}
}

/*
 * Heartbeats tell a node that the scheduler is alive and whether it reaches the store; the echo
 * tells the scheduler that the node is alive.
 */
Test(links, heartbeats)
{
	struct endpoint a = { 0 };
	struct endpoint b = { 0 };

	fake_now_ms = 1000000;
	connect_pair(&a, &b, PORT + 31);
	run_for(600);
	cr_assert_lt(links_scheduler_silence_ms(b.links), 400);
	cr_assert_not_null(links_pick_peer(a.links, "dc", "r", 0));
	a.store_down = true;
	run_for(600);
	cr_assert_geq(links_scheduler_silence_ms(b.links), 400);
	cr_assert_not_null(links_pick_peer(a.links, "dc", "r", 0));
	endpoint_close(&b);
	endpoint_close(&a);
}

static void ignore_message(void *ctx, struct link *l, const Kw__Envelope *e, uint32_t size)
{
}

static void ignore_closed(void *ctx, struct link *l, const char *why)
{
}

static const struct link_ops silent_ops = { .message = ignore_message, .closed = ignore_closed };
static const struct link_conf silent_conf = { .frame_max_bytes = 65536, .queue_max_bytes = 65536 };

/* A node that links to the scheduler and then sends nothing. */
static struct link *silent_node(uint16_t port, const char *name, uint32_t cpu_milli)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) conn =
		g_socket_client_connect_to_host(client, "127.0.0.1", port, NULL, NULL);
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__LinkHello hello = CELL__LINK_HELLO__INIT;
	struct link *l;

	cr_assert_not_null(conn);
	l = link_create(conn, &silent_conf, &silent_ops, NULL);
	hello.node = (char *)name;
	hello.cpu_milli = cpu_milli;
	hello.dc = "dc";
	e.body_case = KW__ENVELOPE__BODY_LINK_HELLO;
	e.link_hello = &hello;
	cr_assert_gt(link_send(l, &e, 0), 0);
	return l;
}

struct successor_case {
	const char *what;
	const char *name[3];
	uint32_t cpu_milli[3];
	const char *best;
	const char *larger; /* larger than 250; NULL for none */
};

/*
 * A small VM that schedules cannot keep up, so the VM with the most CPU is preferred. In a rolling
 * restart the VM that was restarted last stays up longest.
 */
Test(links, choice_of_the_successor)
{
	static const struct successor_case cases[] = {
		{ "started last", { "a/100", "b/300", "c/200" }, { 250, 250, 250 }, "b/300", NULL },
		{ "most CPU", { "a/1", "b/3", "c/2" }, { 500, 120, 250 }, "a/1", "a/1" },
		{ "started last of those with most CPU",
		  { "a/1", "b/3", "c/2" },
		  { 500, 120, 500 },
		  "c/2",
		  "c/2" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct endpoint a = { 0 };
		struct link *silent[3];
		struct status st = STATUS_INIT;
		uint16_t port = (uint16_t)(PORT + 40 + i);

		endpoint_open(&a, "a");
		cr_assert(links_listen(a.links, "127.0.0.1", port, &st), "%s", st.message);
		for (int k = 0; k < 3; k++)
			silent[k] = silent_node(port, cases[i].name[k], cases[i].cpu_milli[k]);
		for (int k = 0;
		     k < ROUNDS_MAX && !g_str_equal(links_pick_successor(a.links), cases[i].best);
		     k++) {
			g_main_context_iteration(NULL, FALSE);
			g_usleep(100);
		}
		cr_expect_str_eq(links_pick_successor(a.links), cases[i].best, "%s", cases[i].what);
		cr_expect_eq(g_strcmp0(links_larger_peer(a.links), cases[i].larger), 0, "%s",
			     cases[i].what);
		for (int k = 0; k < 3; k++)
			link_destroy(silent[k]);
		endpoint_close(&a);
	}
}

/* Work sent to a partitioned node would wait until TCP times out. */
Test(links, silent_nodes_get_no_work)
{
	const char *const names[] = { "r1" };
	struct endpoint a = { 0 };
	struct status st = STATUS_INIT;
	struct link *silent;

	fake_now_ms = 1000000;
	endpoint_open(&a, "a");
	cr_assert(links_listen(a.links, "127.0.0.1", PORT + 30, &st), "%s", st.message);
	silent = silent_node(PORT + 30, "silent", 250);
	while (!*links_pick_successor(a.links))
		g_main_context_iteration(NULL, TRUE);
	cr_assert(links_request_advice(a.links, 1, "s", names, 1, 1000, 5000));
	cr_assert_not_null(links_pick_peer(a.links, "dc", "r", 0));
	run_for(700);
	cr_assert_eq(a.advised, 1);
	cr_assert_not(a.answered);
	cr_assert_null(links_pick_peer(a.links, "dc", "r", 0));
	cr_assert_not(links_request_advice(a.links, 2, "s", names, 1, 1000, 5000));
	link_destroy(silent);
	endpoint_close(&a);
}

Test(links, advice_is_requested_from_the_node)
{
	const char *const names[] = { "r1", "r2" };
	struct endpoint a = { 0 };
	struct endpoint b = { 0 };

	connect_pair(&a, &b, PORT + 2);
	cr_assert(links_request_advice(a.links, 1, "s", names, 2, 1000, 5000));
	run_until(&a.advised, 1);
	cr_assert(a.answered);
	cr_assert_str_eq(a.ticket, "paper");
	cr_assert_not(links_request_advice(a.links, 2, "s", names, 2, 1000, 0),
		      "a scheduler with less load than the node asks the advisor itself");
	endpoint_close(&b);
	endpoint_close(&a);
}

Test(links, advice_of_a_lost_node_counts_as_not_answered)
{
	const char *const names[] = { "r1" };
	struct endpoint a = { 0 };
	struct endpoint b = { .ignores_orders = true };

	connect_pair(&a, &b, PORT + 3);
	cr_assert(links_request_advice(a.links, 1, "s", names, 1, 1000, 5000));
	run_until(&b.asked, 1);
	endpoint_close(&b);
	run_until(&a.advised, 1);
	cr_assert_not(a.answered);
	endpoint_close(&a);
}

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

	connect_pair(&a, &b, PORT + 4);
	relay_start(a.relay, &order, 9, on_started, &r);
	cr_assert_eq(r.n, 0, "the order goes over the link");
	run_until(&r.n, 1);
	cr_assert_eq(r.started, START_OK);
	relay_poll(a.relay, &poll, 9, on_polled, &r);
	run_until(&r.n, 2);
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

		connect_pair(&a, &b, (uint16_t)(PORT + 5 + i));
		relay_start(a.relay, &order, 9, on_started, &r);
		if (cases[i].lost)
			endpoint_close(&b);
		else
			fake_now_ms += 1000;
		run_until(&r.n, 1);
		cr_expect_eq(r.started, START_UNKNOWN, "%s", cases[i].what);
		if (!cases[i].lost)
			endpoint_close(&b);
		endpoint_close(&a);
	}
}

static void on_changed(void *ctx, struct cell_job *j)
{
}

static void on_written(void *ctx, uint64_t batch)
{
}

static void on_fenced(void *ctx)
{
}

static const struct joblog_ops joblog_ops = {
	.changed = on_changed, .dropped = on_changed, .written = on_written, .fenced = on_fenced
};

static Cell__Job *make_job(void)
{
	Cell__Job *job = g_new(Cell__Job, 1);

	cell__job__init(job);
	job->id = g_strdup("00000000000000a1");
	job->queue = g_strdup("q");
	job->service = g_strdup("s");
	job->payload = g_strdup("");
	return job;
}

struct submitted {
	uint32_t n;
	enum intake_result result;
};

static void on_submitted(void *ctx, enum intake_result result)
{
	struct submitted *r = ctx;

	r->n++;
	r->result = result;
}

struct refusal_case {
	const char *what;
	bool scheduler_refuses; /* otherwise its answer is STORE_UNKNOWN */
	enum fake_mode store;	/* for the appends of this node */
	enum intake_result expected;
};

/*
 * INTAKE_REFUSED promises that the job never runs. A scheduler whose answer was STORE_UNKNOWN may
 * have stored the job, whatever the store answers this node afterwards. Two test days counted 54
 * and 23 violations of the rule REFUSED.
 */
Test(intake, job_is_refused_only_if_it_cannot_have_been_stored)
{
	static const struct refusal_case cases[] = {
		{ "both refuse", true, FAKE_REFUSES, INTAKE_REFUSED },
		{ "the scheduler can't tell, the store refuses", false, FAKE_REFUSES,
		  INTAKE_UNKNOWN },
		{ "the scheduler refuses, the store is silent", true, FAKE_SILENT, INTAKE_UNKNOWN },
		{ "the scheduler can't tell, the store takes it", false, FAKE_OK, INTAKE_OK },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct endpoint a = { .refuses_appends = cases[i].scheduler_refuses };
		struct endpoint b = { 0 };
		struct submitted r = { 0 };
		struct fake_log *log = fake_log_create();
		struct fake_client *client = fake_client_create(log);
		struct store store = fake_store(client);
		struct joblog *j = joblog_create(&store, &joblog_ops, NULL);
		struct intake *in;

		connect_pair(&a, &b, (uint16_t)(PORT + 10 + i));
		in = intake_create(j, b.links);
		fake_set_mode(client, cases[i].store);
		intake_submit(in, make_job(), fake_now_ms + 2000, on_submitted, &r);
		run_until(&a.appended, 1);
		for (int k = 0; k < ROUNDS_MAX && !r.n; k++) {
			g_main_context_iteration(NULL, FALSE);
			fake_now_ms += 1;
			joblog_tick(j);
			fake_serve(log);
		}
		cr_assert_eq(r.n, 1, "%s", cases[i].what);
		cr_expect_eq(r.result, cases[i].expected, "%s", cases[i].what);
		intake_destroy(in);
		joblog_destroy(j);
		endpoint_close(&b);
		endpoint_close(&a);
		fake_log_destroy(log);
	}
}
