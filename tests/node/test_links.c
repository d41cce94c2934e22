#include <criterion/criterion.h>

#include "endpoint.h"
#include "fakestore.h"
#include "link.h"

struct reply {
	uint32_t n;
	bool known;
	enum job_state state;
	enum store_result stored;
	uint32_t retry_after_ms;
};

static void on_state_reply(void *ctx, bool known, enum job_state state)
{
	struct reply *r = ctx;

	r->n++;
	r->known = known;
	r->state = state;
}

static void on_append_reply(void *ctx, enum store_result stored, uint32_t retry_after_ms)
{
	struct reply *r = ctx;

	r->n++;
	r->retry_after_ms = retry_after_ms;
	r->stored = stored;
}

/* The scheduler learns which process of a node runs now, and so that earlier ones have ended. */
Test(links, scheduler_learns_the_names_of_processes)
{
	struct endpoint a = { 0 };
	struct endpoint b = { 0 };

	endpoint_connect_pair(&a, &b);
	cr_expect_str_eq(a.last_peer, "b");
	endpoint_close(&a);
	endpoint_close(&b);
}

Test(links, state_queries_and_appends)
{
	struct endpoint a = { 0 };
	struct endpoint b = { 0 };
	struct reply r = { 0 };

	endpoint_connect_pair(&a, &b);
	cr_assert(links_request_state(b.links, "known", on_state_reply, &r));
	endpoint_run_until(&r.n, 1);
	cr_assert(r.known);
	cr_assert_eq(r.state, JOB_DONE);
	cr_assert(links_request_state(b.links, "unknown", on_state_reply, &r));
	endpoint_run_until(&r.n, 2);
	cr_assert_not(r.known);
	cr_assert(links_request_append(b.links, "good", (const uint8_t *)"x", 1, 500,
				       on_append_reply, &r));
	endpoint_run_until(&r.n, 3);
	cr_assert_eq(r.stored, STORE_OK);
	cr_assert(links_request_append(b.links, "bad", (const uint8_t *)"x", 1, 500,
				       on_append_reply, &r));
	endpoint_run_until(&r.n, 4);
	cr_assert_eq(r.stored, STORE_REFUSED);
	cr_assert(links_request_append(b.links, "?", (const uint8_t *)"x", 1, 500, on_append_reply,
				       &r));
	endpoint_run_until(&r.n, 5);
	cr_assert_eq(r.stored, STORE_UNKNOWN);
	cr_assert_eq(r.retry_after_ms, 0);
	cr_assert_not(links_request_state(a.links, "known", on_state_reply, &r),
		      "a is linked to no scheduler");
	endpoint_close(&b);
	endpoint_close(&a);
}

/* Guards against an index out of range: the texts of states are looked up by the answer's number.
 */
Test(links, a_state_of_another_release_is_none)
{
	struct endpoint a = { 0 };
	struct endpoint b = { 0 };
	struct reply r = { .known = true };

	endpoint_connect_pair(&a, &b);
	cr_assert(links_request_state(b.links, "unheard-of", on_state_reply, &r));
	endpoint_run_until(&r.n, 1);
	cr_expect_not(r.known);
	cr_expect_leq(r.state, JOB_CANCELLED);
	endpoint_close(&b);
	endpoint_close(&a);
}

/* A rejection that arrives without its time to retry is taken for a refusal, and the job appended.
 */
Test(links, rejection_carries_the_time_to_retry)
{
	static const uint32_t times[] = { 1000, 2345, 10000 };

	for (size_t i = 0; i < G_N_ELEMENTS(times); i++) {
		struct endpoint a = { .rejects_for_ms = times[i] };
		struct endpoint b = { 0 };
		struct reply r = { 0 };

		endpoint_connect_pair(&a, &b);
		cr_assert(links_request_append(b.links, "good", (const uint8_t *)"x", 1, 500,
					       on_append_reply, &r));
		endpoint_run_until(&r.n, 1);
		cr_expect_eq(r.stored, STORE_REFUSED);
		cr_expect_eq(r.retry_after_ms, times[i]);
		endpoint_close(&b);
		endpoint_close(&a);
	}
}

Test(links, outstanding_calls_fail_when_the_link_is_lost)
{
	struct endpoint a = { 0 };
	struct endpoint b = { 0 };
	struct reply r = { 0 };

	endpoint_connect_pair(&a, &b);
	cr_assert(links_request_append(b.links, "good", (const uint8_t *)"x", 1, 500,
				       on_append_reply, &r));
	endpoint_close(&a);
	endpoint_run_until(&r.n, 1);
	cr_assert_eq(r.stored, STORE_UNKNOWN);
	endpoint_close(&b);
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
	endpoint_connect_pair(&a, &b);
	endpoint_run_for(600);
	cr_assert_lt(links_scheduler_silence_ms(b.links), 400);
	cr_assert_not_null(links_pick_peer(a.links, "dc", "r", 0));
	a.store_down = true;
	endpoint_run_for(600);
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

static void send_hello(struct link *l, const char *name, uint32_t cpu_milli)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__LinkHello hello = CELL__LINK_HELLO__INIT;

	hello.node = (char *)name;
	hello.cpu_milli = cpu_milli;
	hello.dc = "dc";
	e.body_case = KW__ENVELOPE__BODY_LINK_HELLO;
	e.link_hello = &hello;
	cr_assert_gt(link_send(l, &e, 0), 0);
}

/* A node that links to the scheduler and then sends nothing. */
static struct link *silent_node(uint16_t port, const char *name, uint32_t cpu_milli)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) conn =
		g_socket_client_connect_to_host(client, "127.0.0.1", port, NULL, NULL);
	struct link *l;

	cr_assert_not_null(conn);
	l = link_create(conn, &silent_conf, &silent_ops, NULL);
	send_hello(l, name, cpu_milli);
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
		uint16_t port;

		endpoint_open(&a, "a");
		port = endpoint_listen(&a);
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
	struct link *silent;

	fake_now_ms = 1000000;
	endpoint_open(&a, "a");
	silent = silent_node(endpoint_listen(&a), "silent", 250);
	while (!*links_pick_successor(a.links))
		g_main_context_iteration(NULL, TRUE);
	cr_assert(links_request_advice(a.links, 1, "s", names, 1, 1000, 5000));
	cr_assert_not_null(links_pick_peer(a.links, "dc", "r", 0));
	endpoint_run_for(700);
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

	endpoint_connect_pair(&a, &b);
	cr_assert(links_request_advice(a.links, 1, "s", names, 2, 1000, 5000));
	endpoint_run_until(&a.advised, 1);
	cr_assert(a.answered);
	cr_assert_str_eq(a.ticket, "paper");
	cr_assert_not(links_request_advice(a.links, 2, "s", names, 2, 1000, 0),
		      "a scheduler with less load than the node asks the advisor itself");
	endpoint_close(&b);
	endpoint_close(&a);
}

/*
 * Guards against advice for the wrong step: a node answers a request of an earlier scheduler after
 * it has linked to the next one, which has a request with the same number.
 */
Test(links, advice_for_an_earlier_scheduler_is_not_delivered)
{
	const char *const names[] = { "r1" };
	const struct ticket ticket = { .runner = "r1", .ticket = "paper" };
	struct endpoint before = { 0 };
	struct endpoint after = { 0 };
	struct endpoint node = { .ignores_orders = true };
	uint64_t link;

	endpoint_open(&before, "before");
	endpoint_open(&after, "after");
	endpoint_open(&node, "b");
	endpoint_link(&before, &node, endpoint_listen(&before), 9);
	cr_assert(links_request_advice(before.links, 1, "s1", names, 1, 1000, 5000));
	endpoint_run_until(&node.asked, 1);
	link = node.last_link;
	endpoint_link(&after, &node, endpoint_listen(&after), 10);
	cr_assert(links_request_advice(after.links, 1, "s2", names, 1, 1000, 5000));
	endpoint_run_until(&node.asked, 2);
	links_reply_advice(node.links, link, 1, true, &ticket, 1, 2000);
	endpoint_run_for(200);
	cr_expect_eq(after.advised, 0, "the advice for s1 was delivered as that for s2");
	endpoint_close(&node);
	endpoint_close(&after);
	endpoint_close(&before);
}

/*
 * Guards against a job that is reported as stored though it is not: the scheduler answers an
 * append of a node that has gone to one that has linked since and waits for an append of the same
 * number.
 */
Test(links, reply_to_an_append_of_a_lost_node_is_dropped)
{
	struct endpoint a = { .ignores_orders = true };
	struct endpoint b = { 0 };
	struct endpoint c = { 0 };
	struct reply r = { 0 };
	uint16_t port;
	uint64_t link;

	endpoint_open(&a, "a");
	endpoint_open(&b, "b");
	endpoint_open(&c, "b");
	port = endpoint_listen(&a);
	endpoint_link(&a, &b, port, 9);
	cr_assert(links_request_append(b.links, "good", (const uint8_t *)"x", 1, 60000,
				       on_append_reply, &r));
	endpoint_run_until(&a.appended, 1);
	link = a.last_link;
	endpoint_close(&b);
	endpoint_run_until(&r.n, 1);
	while (a.peers)
		g_main_context_iteration(NULL, TRUE);
	endpoint_link(&a, &c, port, 9);
	cr_assert(links_request_append(c.links, "good", (const uint8_t *)"x", 1, 60000,
				       on_append_reply, &r));
	endpoint_run_until(&a.appended, 2);
	cr_expect_neq(a.last_link, link, "numbers of links are not reused");
	/* With the number that the other node waits for, so that only the link tells them apart. */
	links_reply_append(a.links, link, a.last_call, STORE_OK);
	endpoint_run_for(200);
	cr_expect_eq(r.n, 1, "the answer to the lost node was delivered to the other one");
	endpoint_close(&c);
	endpoint_close(&a);
}

/*
 * The same with a scheduler of an earlier release, which took a node that has linked since for the
 * lost one if they were at the same address in memory: the numbers of the two nodes were equal.
 */
Test(links, reply_to_an_append_of_another_node_is_dropped)
{
	struct endpoint a = { .ignores_orders = true };
	struct endpoint b = { 0 };
	struct endpoint c = { 0 };
	struct reply r = { 0 };
	uint16_t port;
	uint64_t call;

	endpoint_open(&a, "a");
	endpoint_open(&b, "b");
	endpoint_open(&c, "b");
	port = endpoint_listen(&a);
	endpoint_link(&a, &b, port, 9);
	cr_assert(links_request_append(b.links, "good", (const uint8_t *)"x", 1, 60000,
				       on_append_reply, &r));
	endpoint_run_until(&a.appended, 1);
	call = a.last_call;
	endpoint_close(&b);
	endpoint_run_until(&r.n, 1);
	while (a.peers)
		g_main_context_iteration(NULL, TRUE);
	endpoint_link(&a, &c, port, 9);
	cr_assert(links_request_append(c.links, "good", (const uint8_t *)"x", 1, 60000,
				       on_append_reply, &r));
	endpoint_run_until(&a.appended, 2);
	links_reply_append(a.links, a.last_link, call, STORE_OK);
	endpoint_run_for(200);
	cr_expect_eq(r.n, 1, "the answer to the append of one node was taken by another");
	endpoint_close(&c);
	endpoint_close(&a);
}

Test(links, advice_of_a_lost_node_counts_as_not_answered)
{
	const char *const names[] = { "r1" };
	struct endpoint a = { 0 };
	struct endpoint b = { .ignores_orders = true };

	endpoint_connect_pair(&a, &b);
	cr_assert(links_request_advice(a.links, 1, "s", names, 1, 1000, 5000));
	endpoint_run_until(&b.asked, 1);
	endpoint_close(&b);
	endpoint_run_until(&a.advised, 1);
	cr_assert_not(a.answered);
	endpoint_close(&a);
}

/* Guards against a lookup beyond the names of states, by a state that this release doesn't know. */
Test(links, unknown_state_of_the_scheduler_is_no_state)
{
	static const struct {
		uint32_t state;
		bool known;
	} cases[] = { { JOB_RUNNING, true },
		      { JOB_CANCELLED, true },
		      { JOB_CANCELLED + 1, false },
		      { UINT32_MAX, false } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct endpoint a = { .known_state = cases[i].state };
		struct endpoint b = { 0 };
		struct reply r = { 0 };

		endpoint_connect_pair(&a, &b);
		cr_assert(links_request_state(b.links, "known", on_state_reply, &r));
		endpoint_run_until(&r.n, 1);
		cr_expect_eq(r.known, cases[i].known, "state %u", cases[i].state);
		endpoint_close(&b);
		endpoint_close(&a);
	}
}

static void count_closed(void *ctx, struct link *l, const char *why)
{
	++*(uint32_t *)ctx;
}

static struct link *counted_link(uint16_t port, uint32_t *closed)
{
	static const struct link_ops ops = { .message = ignore_message, .closed = count_closed };
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) conn =
		g_socket_client_connect_to_host(client, "127.0.0.1", port, NULL, NULL);

	cr_assert_not_null(conn);
	return link_create(conn, &silent_conf, &ops, closed);
}

/*
 * Guards against records that anyone who connects can append, and against a key that is longer than
 * the byte that holds its length.
 */
Test(links, appends_of_odd_peers_are_not_requested)
{
	static const struct {
		const char *name;
		bool hello;
		size_t key_bytes;
		uint32_t appended;
	} cases[] = {
		{ "a peer", true, LINKS_KEY_MAX_BYTES, 1 },
		{ "no hello", false, 16, 0 },
		{ "no key", true, 0, 0 },
		{ "a long key", true, LINKS_KEY_MAX_BYTES + 1, 0 },
		{ "a key of 300 bytes", true, 300, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *key = g_strnfill(cases[i].key_bytes, 'k');
		struct endpoint a = { 0 };
		Kw__Envelope e = KW__ENVELOPE__INIT;
		Cell__AppendAsk ask = CELL__APPEND_ASK__INIT;
		struct link *l;
		uint32_t closed = 0;
		uint16_t port;

		endpoint_open(&a, "a");
		port = endpoint_listen(&a);
		l = cases[i].hello ? silent_node(port, "odd/1", 250) : counted_link(port, &closed);
		ask.key = key;
		e.body_case = KW__ENVELOPE__BODY_APPEND_ASK;
		e.append_ask = &ask;
		cr_assert_gt(link_send(l, &e, 0), 0);
		endpoint_run_for(200);
		cr_expect_eq(a.appended, cases[i].appended, "%s: %u", cases[i].name, a.appended);
		link_destroy(l);
		endpoint_close(&a);
	}
}

/* Guards against connections that stay for good without a word, and their descriptors. */
Test(links, connection_without_a_hello_is_closed)
{
	struct endpoint a = { 0 };
	struct link *l;
	uint32_t closed = 0;

	fake_now_ms = 1000000;
	endpoint_open(&a, "a");
	l = counted_link(endpoint_listen(&a), &closed);
	endpoint_run_for(LINKS_HELLO_TIMEOUT_MS - 500);
	cr_expect_eq(closed, 0);
	endpoint_run_for(1000);
	cr_expect_eq(closed, 1);
	cr_expect_eq(a.peers, 0, "it counts as a node");
	link_destroy(l);
	endpoint_close(&a);
}

#define SLOW_NODES 256

/*
 * Guards against nodes that are dropped, and dial again at once, because many link at the same time
 * and say hello late; and against connections without a hello and without a limit.
 */
Test(links, late_hellos_of_many_nodes)
{
	for (uint32_t more = 0; more <= 1; more++) {
		const uint32_t n = SLOW_NODES + more;
		g_autoptr(GPtrArray) links = g_ptr_array_new();
		struct endpoint a = { 0 };
		uint32_t closed = 0;
		uint16_t port;

		fake_now_ms = 1000000;
		endpoint_open(&a, "a");
		port = endpoint_listen(&a);
		for (uint32_t i = 0; i < n; i++) {
			g_ptr_array_add(links, counted_link(port, &closed));
			g_main_context_iteration(NULL, FALSE);
		}
		endpoint_run_for(200);
		cr_expect_eq(closed, more, "%u of %u nodes dropped before their hello", closed, n);
		for (uint32_t i = more; i < n && closed == more; i++) {
			g_autofree char *name = g_strdup_printf("n-%u/1", i);

			send_hello(links->pdata[i], name, 250);
		}
		endpoint_run_for(200);
		cr_expect_eq(a.peers, SLOW_NODES, "%u nodes linked", a.peers);
		cr_expect_eq(closed, more);
		for (uint32_t i = 0; i < n; i++)
			link_destroy(links->pdata[i]);
		endpoint_close(&a);
	}
}

/* A node whose clock shows something else, and which keeps the last start that it receives. */
struct odd_clock {
	int64_t ahead_ms; /* of the scheduler's clock */
	uint32_t received;
	int64_t expires_ms;
	struct link *link;
};

static void keep_start(void *ctx, struct link *l, const Kw__Envelope *e, uint32_t size)
{
	struct odd_clock *c = ctx;

	if (e->body_case != KW__ENVELOPE__BODY_START_ORDER)
		return;
	c->received++;
	c->expires_ms = e->start_order->expires_ms;
}

/* Sends the clock as it was delay_ms ago. */
static void send_clock(const struct odd_clock *c, int64_t delay_ms)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__LeadBeat beat = CELL__LEAD_BEAT__INIT;

	beat.clock_ms = fake_now_ms + c->ahead_ms - delay_ms;
	e.body_case = KW__ENVELOPE__BODY_LEAD_BEAT;
	e.lead_beat = &beat;
	cr_assert_gt(link_send(c->link, &e, 0), 0);
	for (int i = 0; i < 600; i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(100);
	}
}

static void ignore_started(void *ctx, enum start_result result)
{
}

/* Returns how long the node may execute a start that is sent now; INT64_MAX without a limit. */
static int64_t validity_of_start(struct endpoint *a, struct odd_clock *c)
{
	const struct start_order order = { .route = { .dc = "dc" },
					   .runner = "r",
					   .address = "x:1",
					   .task = "t",
					   .payload = "",
					   .run = 1,
					   .timeout_ms = 200 };
	uint32_t received = c->received;
	int64_t sent_ms = fake_now_ms;

	relay_start(a->relay, &order, 9, ignore_started, NULL);
	endpoint_run_until(&c->received, received + 1);
	return c->expires_ms ? c->expires_ms - c->ahead_ms - sent_ms : INT64_MAX;
}

/*
 * Guards against an age of orders that holds only on machines with a common clock, or that becomes
 * longer or shorter with the delay of single messages: expired orders are executed then, or orders
 * in time are not.
 */
Test(links, orders_expire_on_the_clock_of_the_node)
{
	static const struct link_ops ops = { .message = keep_start, .closed = ignore_closed };
	static const int64_t ahead_ms[] = { 0, 5, 1000000, 1 - 100000 };
	const int64_t given_up_ms = 450;

	fake_now_ms = 200000;
	for (size_t i = 0; i < G_N_ELEMENTS(ahead_ms); i++) {
		g_autoptr(GSocketClient) client = g_socket_client_new();
		g_autoptr(GSocketConnection) conn = NULL;
		struct odd_clock c = { .ahead_ms = ahead_ms[i] };
		struct endpoint a = { 0 };
		int64_t valid_ms;

		endpoint_open(&a, "a");
		conn = g_socket_client_connect_to_host(client, "127.0.0.1", endpoint_listen(&a),
						       NULL, NULL);
		cr_assert_not_null(conn);
		c.link = link_create(conn, &silent_conf, &ops, &c);
		send_hello(c.link, "b/1", 250);
		endpoint_run_until(&a.peers, 1);
		cr_expect_eq(validity_of_start(&a, &c), INT64_MAX, "a node without a clock");
		send_clock(&c, 300);
		valid_ms = validity_of_start(&a, &c);
		cr_expect(valid_ms <= given_up_ms && valid_ms >= given_up_ms - 302, "%d",
			  (int)valid_ms);
		send_clock(&c, 0);
		valid_ms = validity_of_start(&a, &c);
		cr_expect(valid_ms <= given_up_ms && valid_ms >= given_up_ms - 2, "%d",
			  (int)valid_ms);
		send_clock(&c, 400);
		valid_ms = validity_of_start(&a, &c);
		cr_expect(valid_ms <= given_up_ms && valid_ms >= given_up_ms - 4,
			  "a delayed message: %d", (int)valid_ms);
		link_destroy(c.link);
		endpoint_close(&a);
	}
}
