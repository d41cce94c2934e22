#include <criterion/criterion.h>

#include "connection/links.h"
#include "link.h"
#include "fakestore.h"
#include "process/relay.h"
#include "request/intake.h"

/*
 * Links and the relay over loopback: one node schedules, another carries its orders out. Loops run
 * until something has happened; fake_now_ms stands still unless a test moves it.
 */
#define PORT	   24711
#define ROUNDS_MAX 20000 /* of the loop; far more than anything here takes */

struct end {
	struct links *links;
	struct relay *relay;
	uint32_t peers;
	uint32_t asked;
	uint32_t advised;
	uint32_t appended;
	bool answered;
	bool silent;  /* orders are not carried out */
	bool refuses; /* records */
	bool away;    /* as the scheduler it doesn't reach the store */
	char ticket[16];
};

static bool on_state(void *ctx, const char *id, enum job_state *state)
{
	*state = JOB_DONE;
	return g_str_equal(id, "known");
}

static void on_ask(void *ctx, uint64_t call, const char *step, const char *const *runner, size_t n)
{
	struct end *e = ctx;
	const struct ticket t = { .runner = runner[0], .ticket = "paper" };

	e->asked++;
	if (!e->silent)
		links_advised(e->links, call, true, &t, 1, 2000);
}

static void on_advised(void *ctx, uint64_t call, bool answered, const struct ticket *ticket,
		       size_t n, uint32_t validity_ms)
{
	struct end *e = ctx;

	e->advised++;
	e->answered = answered;
	if (n)
		g_strlcpy(e->ticket, ticket[0].ticket, sizeof(e->ticket));
}

static void on_append(void *ctx, struct peer *p, const Cell__AppendAsk *ask)
{
	struct end *e = ctx;

	e->appended++;
	links_appended(e->links, p, ask->call,
		       e->refuses		       ? STORE_REFUSED
		       : g_str_equal(ask->key, "good") ? STORE_OK
		       : g_str_equal(ask->key, "bad")  ? STORE_REFUSED
						       : STORE_UNKNOWN);
}

static void on_order(void *ctx, const Kw__Envelope *m)
{
	struct end *e = ctx;

	if (!e->silent)
		relay_order(e->relay, m);
}

static void on_replied(void *ctx, const Kw__Envelope *m)
{
	relay_replied(((struct end *)ctx)->relay, m);
}

static void on_peer_lost(void *ctx, const struct peer *p)
{
	relay_peer_lost(((struct end *)ctx)->relay, p);
}

static void on_refused(void *ctx)
{
}

static void on_peers(void *ctx, uint32_t n)
{
	((struct end *)ctx)->peers = n;
}

static bool on_renewed(void *ctx)
{
	return !((struct end *)ctx)->away;
}

static const struct links_ops ops = {
	.renewed = on_renewed,
	.state = on_state,
	.ask = on_ask,
	.advised = on_advised,
	.append = on_append,
	.order = on_order,
	.replied = on_replied,
	.peer_lost = on_peer_lost,
	.refused = on_refused,
	.peers = on_peers,
};

/* A runner that does what it is told at once. */
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

static void do_look(void *impl, const struct poll_order *o, uint64_t term, looked_fn fn, void *ctx)
{
	const struct poll_running running = {
		.task = "t", .run = 3, .checkpoint = "c", .usage = 5
	};
	const struct poll_ended ended = {
		.seq = 4, .task = "u", .run = 1, .end = END_FAILED, .checkpoint = ""
	};
	const struct poll_reply look = { .incarnation_ms = 11,
					 .clock_ms = 12,
					 .running = &running,
					 .n_running = 1,
					 .ended = &ended,
					 .n_ended = 1 };

	fn(ctx, o->acked_end == 2 ? &look : NULL);
}

static const struct runner_ops runner_ops = {
	.start = do_start,
	.stop = do_stop,
	.look = do_look,
};

static void end_open(struct end *e, const char *name)
{
	const struct runners runners = { .ops = &runner_ops };

	e->links = links_create(name, "dc", 250, &ops, e);
	e->relay = relay_create(&runners, e->links);
}

static void end_close(struct end *e)
{
	links_destroy(e->links);
	relay_destroy(e->relay);
}

static void run_until(const uint32_t *what, uint32_t least)
{
	for (int i = 0; i < ROUNDS_MAX && *what < least; i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(100);
	}
	cr_assert_geq(*what, least);
}

/* a schedules, b is linked to it. */
static void pair(struct end *a, struct end *b, uint16_t port)
{
	g_autofree char *address = g_strdup_printf("127.0.0.1:%u", port);
	struct status st = STATUS_INIT;

	end_open(a, "a");
	end_open(b, "b");
	cr_assert(links_listen(a->links, "127.0.0.1", port, &st), "%s", st.message);
	links_follow(b->links, address, 9);
	run_until(&a->peers, 1);
	for (int i = 0; i < ROUNDS_MAX && !*links_successor(a->links); i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(100);
	}
	cr_assert_str_eq(links_successor(a->links), "b");
}

struct told {
	uint32_t n;
	bool known;
	enum job_state state;
	enum start_result started;
	bool looked;
	enum store_result stored;
};

static void on_told(void *ctx, bool known, enum job_state state)
{
	struct told *t = ctx;

	t->n++;
	t->known = known;
	t->state = state;
}

static void on_stored(void *ctx, enum store_result stored)
{
	struct told *t = ctx;

	t->n++;
	t->stored = stored;
}

static void on_started(void *ctx, enum start_result result)
{
	struct told *t = ctx;

	t->n++;
	t->started = result;
}

static void on_looked(void *ctx, const struct poll_reply *look)
{
	struct told *t = ctx;

	t->n++;
	t->looked = look && look->incarnation_ms == 11 && look->clock_ms == 12 &&
		    look->n_running == 1 && look->running[0].usage == 5 && look->n_ended == 1 &&
		    look->ended[0].seq == 4 && look->ended[0].end == END_FAILED;
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

Test(links, states_and_records)
{
	struct end a = { 0 };
	struct end b = { 0 };
	struct told t = { 0 };

	pair(&a, &b, PORT);
	cr_assert(links_ask_state(b.links, "known", on_told, &t));
	run_until(&t.n, 1);
	cr_assert(t.known);
	cr_assert_eq(t.state, JOB_DONE);
	cr_assert(links_ask_state(b.links, "unknown", on_told, &t));
	run_until(&t.n, 2);
	cr_assert_not(t.known);
	cr_assert(links_ask_append(b.links, "good", (const uint8_t *)"x", 1, 500, on_stored, &t));
	run_until(&t.n, 3);
	cr_assert_eq(t.stored, STORE_OK);
	cr_assert(links_ask_append(b.links, "bad", (const uint8_t *)"x", 1, 500, on_stored, &t));
	run_until(&t.n, 4);
	cr_assert_eq(t.stored, STORE_REFUSED);
	cr_assert(links_ask_append(b.links, "?", (const uint8_t *)"x", 1, 500, on_stored, &t));
	run_until(&t.n, 5);
	cr_assert_eq(t.stored, STORE_UNKNOWN);
	cr_assert_not(links_ask_state(a.links, "known", on_told, &t), "a has no scheduler to ask");
	end_close(&b);
	end_close(&a);
}

Test(links, a_lost_link_answers_what_waits)
{
	struct end a = { 0 };
	struct end b = { 0 };
	struct told t = { 0 };

	pair(&a, &b, PORT + 1);
	cr_assert(links_ask_append(b.links, "good", (const uint8_t *)"x", 1, 500, on_stored, &t));
	end_close(&a);
	run_until(&t.n, 1);
	cr_assert_eq(t.stored, STORE_UNKNOWN);
	end_close(&b);
}

/* Runs the loop for one beat and its echo; time moves in steps that no stall explains. */
static void beat(int64_t ms)
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
 * Beats tell a node that the scheduler is there, and that it reaches the store; their echo tells
 * the scheduler that the node is.
 */
Test(links, beats)
{
	struct end a = { 0 };
	struct end b = { 0 };

	fake_now_ms = 1000000;
	pair(&a, &b, PORT + 31);
	beat(600);
	cr_assert_lt(links_silence_ms(b.links), 400);
	cr_assert_not_null(links_pick(a.links, "dc", "r", 0));
	a.away = true;
	beat(600);
	cr_assert_geq(links_silence_ms(b.links), 400);
	cr_assert_not_null(links_pick(a.links, "dc", "r", 0));
	end_close(&b);
	end_close(&a);
}

static void ignore_message(void *ctx, struct link *l, const Kw__Envelope *e, uint32_t size)
{
}

static void ignore_closed(void *ctx, struct link *l, const char *why)
{
}

static const struct link_ops mute_ops = { .message = ignore_message, .closed = ignore_closed };
static const struct link_conf mute_conf = { .frame_max_bytes = 65536, .queue_max_bytes = 65536 };

/* A node that has linked to the scheduler and says nothing more. */
static struct link *mute_node(uint16_t port, const char *name, uint32_t cpu_milli)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) conn =
		g_socket_client_connect_to_host(client, "127.0.0.1", port, NULL, NULL);
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__LinkHello hello = CELL__LINK_HELLO__INIT;
	struct link *l;

	cr_assert_not_null(conn);
	l = link_create(conn, &mute_conf, &mute_ops, NULL);
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
	const char *stronger; /* than 250; NULL for none */
};

/*
 * Pattern: VMs of unlike strength, of which a weak one that schedules can't keep up; VMs are
 * restarted in turn, and one that was restarted last stays for longest.
 */
Test(links, successor)
{
	static const struct successor_case cases[] = {
		{ "the youngest", { "a/100", "b/300", "c/200" }, { 250, 250, 250 }, "b/300", NULL },
		{ "the strongest", { "a/1", "b/3", "c/2" }, { 500, 120, 250 }, "a/1", "a/1" },
		{ "the youngest of the strong",
		  { "a/1", "b/3", "c/2" },
		  { 500, 120, 500 },
		  "c/2",
		  "c/2" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct end a = { 0 };
		struct link *mute[3];
		struct status st = STATUS_INIT;
		uint16_t port = (uint16_t)(PORT + 40 + i);

		end_open(&a, "a");
		cr_assert(links_listen(a.links, "127.0.0.1", port, &st), "%s", st.message);
		for (int k = 0; k < 3; k++)
			mute[k] = mute_node(port, cases[i].name[k], cases[i].cpu_milli[k]);
		for (int k = 0;
		     k < ROUNDS_MAX && !g_str_equal(links_successor(a.links), cases[i].best); k++) {
			g_main_context_iteration(NULL, FALSE);
			g_usleep(100);
		}
		cr_expect_str_eq(links_successor(a.links), cases[i].best, "%s", cases[i].what);
		cr_expect_eq(g_strcmp0(links_stronger(a.links), cases[i].stronger), 0, "%s",
			     cases[i].what);
		for (int k = 0; k < 3; k++)
			link_destroy(mute[k]);
		end_close(&a);
	}
}

/* Pattern: a node is cut off. Orders and questions to it would wait until TCP gives up. */
Test(links, nodes_that_fall_silent_get_no_work)
{
	const char *const names[] = { "r1" };
	struct end a = { 0 };
	struct status st = STATUS_INIT;
	struct link *mute;

	fake_now_ms = 1000000;
	end_open(&a, "a");
	cr_assert(links_listen(a.links, "127.0.0.1", PORT + 30, &st), "%s", st.message);
	mute = mute_node(PORT + 30, "mute", 250);
	while (!*links_successor(a.links))
		g_main_context_iteration(NULL, TRUE);
	cr_assert(links_ask_advice(a.links, 1, "s", names, 1, 1000, 5000));
	cr_assert_not_null(links_pick(a.links, "dc", "r", 0));
	beat(700);
	cr_assert_eq(a.advised, 1);
	cr_assert_not(a.answered);
	cr_assert_null(links_pick(a.links, "dc", "r", 0));
	cr_assert_not(links_ask_advice(a.links, 2, "s", names, 1, 1000, 5000));
	link_destroy(mute);
	end_close(&a);
}

Test(links, advice_goes_to_the_node_and_back)
{
	const char *const names[] = { "r1", "r2" };
	struct end a = { 0 };
	struct end b = { 0 };

	pair(&a, &b, PORT + 2);
	cr_assert(links_ask_advice(a.links, 1, "s", names, 2, 1000, 5000));
	run_until(&a.advised, 1);
	cr_assert(a.answered);
	cr_assert_str_eq(a.ticket, "paper");
	cr_assert_not(links_ask_advice(a.links, 2, "s", names, 2, 1000, 0),
		      "with less to do than the node, one asks by oneself");
	end_close(&b);
	end_close(&a);
}

Test(links, advice_of_a_lost_node_counts_as_not_answered)
{
	const char *const names[] = { "r1" };
	struct end a = { 0 };
	struct end b = { .silent = true };

	pair(&a, &b, PORT + 3);
	cr_assert(links_ask_advice(a.links, 1, "s", names, 1, 1000, 5000));
	run_until(&b.asked, 1);
	end_close(&b);
	run_until(&a.advised, 1);
	cr_assert_not(a.answered);
	end_close(&a);
}

Test(relay, orders_are_carried_out_by_the_node)
{
	const struct poll_order look = { .route = { .dc = "dc" },
					 .runner = "r",
					 .address = "x:1",
					 .acked_end = 2,
					 .timeout_ms = 200 };
	struct end a = { 0 };
	struct end b = { 0 };
	struct told t = { 0 };

	pair(&a, &b, PORT + 4);
	relay_start(a.relay, &order, 9, on_started, &t);
	cr_assert_eq(t.n, 0, "it goes over the link");
	run_until(&t.n, 1);
	cr_assert_eq(t.started, START_OK);
	relay_look(a.relay, &look, 9, on_looked, &t);
	run_until(&t.n, 2);
	cr_assert(t.looked);
	end_close(&b);
	end_close(&a);
}

Test(relay, without_a_node_the_scheduler_does_it)
{
	struct end a = { 0 };
	struct told t = { 0 };

	end_open(&a, "a");
	relay_start(a.relay, &order, 9, on_started, &t);
	cr_assert_eq(t.n, 1);
	cr_assert_eq(t.started, START_OK);
	end_close(&a);
}

struct silence_case {
	const char *what;
	bool lost; /* the link, else only the answer */
};

/* Whether the node has done it can't be known. */
Test(relay, without_an_answer_the_outcome_is_unknown)
{
	static const struct silence_case cases[] = { { "no answer", false },
						     { "lost link", true } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct end a = { 0 };
		struct end b = { .silent = true };
		struct told t = { 0 };

		pair(&a, &b, (uint16_t)(PORT + 5 + i));
		relay_start(a.relay, &order, 9, on_started, &t);
		if (cases[i].lost)
			end_close(&b);
		else
			fake_now_ms += 1000;
		run_until(&t.n, 1);
		cr_expect_eq(t.started, START_UNKNOWN, "%s", cases[i].what);
		if (!cases[i].lost)
			end_close(&b);
		end_close(&a);
	}
}

static void on_changed(void *ctx, struct cell_job *p)
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
	struct submitted *t = ctx;

	t->n++;
	t->result = result;
}

struct refusal_case {
	const char *what;
	bool scheduler_refuses; /* else it can't tell */
	enum fake_mode store;	/* as this node sees it */
	enum intake_result told;
};

/*
 * "Refused" is a promise that the job never runs. The scheduler that could not tell may have stored
 * it, whatever the store says to this node afterwards (rule days: REFUSED 54 and 23).
 */
Test(intake, refused_is_said_only_if_nothing_can_be_stored)
{
	static const struct refusal_case cases[] = {
		{ "both refuse", true, FAKE_REFUSES, INTAKE_REFUSED },
		{ "the scheduler can't tell, the store refuses", false, FAKE_REFUSES,
		  INTAKE_UNKNOWN },
		{ "the scheduler refuses, the store is silent", true, FAKE_SILENT, INTAKE_UNKNOWN },
		{ "the scheduler can't tell, the store takes it", false, FAKE_WELL, INTAKE_OK },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct end a = { .refuses = cases[i].scheduler_refuses };
		struct end b = { 0 };
		struct submitted t = { 0 };
		struct fake_log *log = fake_log_create();
		struct fake_client *client = fake_client_create(log);
		struct store store = fake_store(client);
		struct joblog *j = joblog_create(&store, &joblog_ops, NULL);
		struct intake *in;

		pair(&a, &b, (uint16_t)(PORT + 10 + i));
		in = intake_create(j, b.links);
		fake_mode(client, cases[i].store);
		intake_submit(in, make_job(), fake_now_ms + 2000, on_submitted, &t);
		run_until(&a.appended, 1);
		for (int k = 0; k < ROUNDS_MAX && !t.n; k++) {
			g_main_context_iteration(NULL, FALSE);
			fake_now_ms += 1;
			joblog_tick(j);
			fake_serve(log);
		}
		cr_assert_eq(t.n, 1, "%s", cases[i].what);
		cr_expect_eq(t.result, cases[i].told, "%s", cases[i].what);
		intake_destroy(in);
		joblog_destroy(j);
		end_close(&b);
		end_close(&a);
		fake_log_destroy(log);
	}
}
