#include "relay.h"

#define ANSWER_MS 250 /* of a node, beyond its own time-out of the call */
#define TICK_MS	  50

enum order_kind {
	ORDER_START = 0,
	ORDER_STOP,
	ORDER_LOOK,
};

/* An order that was given to another node. */
struct given {
	enum order_kind kind;
	const struct peer *peer;
	int64_t until_ms;
	union {
		started_fn started;
		stopped_fn stopped;
		looked_fn looked;
	} fn;
	void *ctx;
};

struct relay {
	struct runners runners;
	struct links *links;
	GHashTable *given; /* of struct given by number of the call */
	uint64_t next_call;
	guint timer;
};

/* An order of the scheduler that this node carries out. */
struct taken {
	struct relay *relay;
	uint64_t call;
};

/* NULL if there is no link to give the order to. */
static struct given *give(struct relay *r, const struct route *route, const char *runner,
			  const Kw__Envelope *e, enum order_kind kind, uint32_t timeout_ms,
			  void *ctx)
{
	struct peer *p = links_pick(r->links, route->dc, runner, route->attempt);
	struct given *g;

	if (!p || !links_give(p, e))
		return NULL;
	g = g_new0(struct given, 1);
	g->kind = kind;
	g->peer = p;
	g->until_ms = node_now_ms() + timeout_ms + ANSWER_MS;
	g->ctx = ctx;
	g_hash_table_insert(r->given, GUINT_TO_POINTER(r->next_call), g);
	return g;
}

void relay_start(struct relay *r, const struct start_order *order, uint64_t term, started_fn fn,
		 void *ctx)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__StartOrder m = CELL__START_ORDER__INIT;
	struct given *g;

	m.call = ++r->next_call;
	m.term = term;
	m.runner = (char *)order->runner;
	m.address = (char *)order->address;
	m.task = (char *)order->task;
	m.payload = (char *)order->payload;
	if (order->ticket)
		m.ticket = (char *)order->ticket;
	if (order->checkpoint)
		m.checkpoint = (char *)order->checkpoint;
	m.run = order->run;
	m.deadline_ms = order->deadline_ms;
	m.timeout_ms = order->timeout_ms;
	e.body_case = KW__ENVELOPE__BODY_START_ORDER;
	e.start_order = &m;
	g = give(r, &order->route, order->runner, &e, ORDER_START, order->timeout_ms, ctx);
	if (g)
		g->fn.started = fn;
	else
		r->runners.ops->start(r->runners.impl, order, term, fn, ctx);
}

void relay_stop(struct relay *r, const struct route *route, const char *runner, const char *address,
		const char *task, uint32_t run, uint64_t term, stopped_fn fn, void *ctx)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__StopOrder m = CELL__STOP_ORDER__INIT;
	struct given *g;

	m.call = ++r->next_call;
	m.term = term;
	m.runner = (char *)runner;
	m.address = (char *)address;
	m.task = (char *)task;
	m.run = run;
	e.body_case = KW__ENVELOPE__BODY_STOP_ORDER;
	e.stop_order = &m;
	g = give(r, route, runner, &e, ORDER_STOP, STOP_TIMEOUT_MS, ctx);
	if (g)
		g->fn.stopped = fn;
	else
		r->runners.ops->stop(r->runners.impl, runner, address, task, run, term, fn, ctx);
}

void relay_look(struct relay *r, const struct poll_order *order, uint64_t term, looked_fn fn,
		void *ctx)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__LookOrder m = CELL__LOOK_ORDER__INIT;
	struct given *g;

	m.call = ++r->next_call;
	m.term = term;
	m.runner = (char *)order->runner;
	m.address = (char *)order->address;
	m.deadline_ms = order->deadline_ms;
	m.seen = order->acked_end;
	m.wait_ms = order->wait_ms;
	m.timeout_ms = order->timeout_ms;
	e.body_case = KW__ENVELOPE__BODY_LOOK_ORDER;
	e.look_order = &m;
	g = give(r, &order->route, order->runner, &e, ORDER_LOOK, order->timeout_ms, ctx);
	if (g)
		g->fn.looked = fn;
	else
		r->runners.ops->look(r->runners.impl, order, term, fn, ctx);
}

static void answer_nothing(struct given *g)
{
	if (g->kind == ORDER_START)
		g->fn.started(g->ctx, START_UNKNOWN);
	else if (g->kind == ORDER_STOP)
		g->fn.stopped(g->ctx, false);
	else
		g->fn.looked(g->ctx, NULL);
	g_free(g);
}

/* Answers given without a word to those that the test is true for; callbacks may give new orders.
 */
static void answer_lost(struct relay *r, const struct peer *p, int64_t now)
{
	g_autoptr(GPtrArray) lost = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->given);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct given *g = value;

		if (g->peer != p && g->until_ms > now)
			continue;
		g_ptr_array_add(lost, g);
		g_hash_table_iter_steal(&it);
	}
	for (guint i = 0; i < lost->len; i++)
		answer_nothing(lost->pdata[i]);
}

void relay_peer_lost(struct relay *r, const struct peer *p)
{
	answer_lost(r, p, 0);
}

void relay_clear(struct relay *r)
{
	answer_lost(r, NULL, INT64_MAX);
}

static void take_look(struct given *g, const Cell__LookReply *m)
{
	g_autofree struct poll_running *running = g_new(struct poll_running, m->n_running + 1);
	g_autofree struct poll_ended *ended = g_new(struct poll_ended, m->n_ended + 1);
	struct poll_reply look = { .fenced = m->fenced,
				   .other_incarnation = m->other,
				   .incarnation_ms = m->born_ms,
				   .clock_ms = m->clock_ms,
				   .running = running,
				   .n_running = m->n_running,
				   .ended = ended,
				   .n_ended = m->n_ended };

	for (size_t i = 0; i < m->n_running; i++)
		running[i] = (struct poll_running){ .task = m->running[i]->task,
						    .run = m->running[i]->run,
						    .checkpoint = m->running[i]->checkpoint,
						    .usage = m->running[i]->usage };
	for (size_t i = 0; i < m->n_ended; i++)
		ended[i] = (struct poll_ended){ .seq = m->ended[i]->no,
						.task = m->ended[i]->task,
						.run = m->ended[i]->run,
						.end = (enum run_end)m->ended[i]->end,
						.checkpoint = m->ended[i]->checkpoint };
	g->fn.looked(g->ctx, m->answered ? &look : NULL);
}

static struct given *take_given(struct relay *r, uint64_t call, enum order_kind kind)
{
	struct given *g = g_hash_table_lookup(r->given, GUINT_TO_POINTER(call));

	if (!g || g->kind != kind)
		return NULL;
	g_hash_table_steal(r->given, GUINT_TO_POINTER(call));
	return g;
}

void relay_replied(struct relay *r, const Kw__Envelope *e)
{
	struct given *g = NULL;

	if (e->body_case == KW__ENVELOPE__BODY_START_REPLY) {
		g = take_given(r, e->start_reply->call, ORDER_START);
		if (g)
			g->fn.started(g->ctx, (enum start_result)e->start_reply->result);
	} else if (e->body_case == KW__ENVELOPE__BODY_STOP_REPLY) {
		g = take_given(r, e->stop_reply->call, ORDER_STOP);
		if (g)
			g->fn.stopped(g->ctx, e->stop_reply->answered);
	} else if (e->body_case == KW__ENVELOPE__BODY_LOOK_REPLY) {
		g = take_given(r, e->look_reply->call, ORDER_LOOK);
		if (g)
			take_look(g, e->look_reply);
	}
	g_free(g);
}

static struct taken *taken_create(struct relay *r, uint64_t call)
{
	struct taken *t = g_new0(struct taken, 1);

	t->relay = r;
	t->call = call;
	return t;
}

static void on_started(void *ctx, enum start_result result)
{
	struct taken *t = ctx;
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__StartReply m = CELL__START_REPLY__INIT;

	m.call = t->call;
	m.result = result;
	e.body_case = KW__ENVELOPE__BODY_START_REPLY;
	e.start_reply = &m;
	links_reply(t->relay->links, &e);
	g_free(t);
}

static void on_stopped(void *ctx, bool answered)
{
	struct taken *t = ctx;
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__StopReply m = CELL__STOP_REPLY__INIT;

	m.call = t->call;
	m.answered = answered;
	e.body_case = KW__ENVELOPE__BODY_STOP_REPLY;
	e.stop_reply = &m;
	links_reply(t->relay->links, &e);
	g_free(t);
}

static void fill_look(Cell__LookReply *m, const struct poll_reply *look, Cell__RunningTask *running,
		      Cell__EndedTask *ended)
{
	m->answered = true;
	m->fenced = look->fenced;
	m->other = look->other_incarnation;
	m->born_ms = look->incarnation_ms;
	m->clock_ms = look->clock_ms;
	m->n_running = look->n_running;
	m->n_ended = look->n_ended;
	for (size_t i = 0; i < look->n_running; i++) {
		running[i] = (Cell__RunningTask)CELL__RUNNING_TASK__INIT;
		running[i].task = (char *)look->running[i].task;
		running[i].run = look->running[i].run;
		running[i].checkpoint = (char *)look->running[i].checkpoint;
		running[i].usage = look->running[i].usage;
		m->running[i] = &running[i];
	}
	for (size_t i = 0; i < look->n_ended; i++) {
		ended[i] = (Cell__EndedTask)CELL__ENDED_TASK__INIT;
		ended[i].no = look->ended[i].seq;
		ended[i].task = (char *)look->ended[i].task;
		ended[i].run = look->ended[i].run;
		ended[i].end = look->ended[i].end;
		ended[i].checkpoint = (char *)look->ended[i].checkpoint;
		m->ended[i] = &ended[i];
	}
}

static void on_looked(void *ctx, const struct poll_reply *look)
{
	struct taken *t = ctx;
	size_t n_running = look ? look->n_running : 0;
	size_t n_ended = look ? look->n_ended : 0;
	g_autofree Cell__RunningTask *running = g_new(Cell__RunningTask, n_running + 1);
	g_autofree Cell__EndedTask *ended = g_new(Cell__EndedTask, n_ended + 1);
	g_autofree Cell__RunningTask **running_row = g_new(Cell__RunningTask *, n_running + 1);
	g_autofree Cell__EndedTask **ended_row = g_new(Cell__EndedTask *, n_ended + 1);
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__LookReply m = CELL__LOOK_REPLY__INIT;

	m.call = t->call;
	m.running = running_row;
	m.ended = ended_row;
	if (look)
		fill_look(&m, look, running, ended);
	e.body_case = KW__ENVELOPE__BODY_LOOK_REPLY;
	e.look_reply = &m;
	links_reply(t->relay->links, &e);
	g_free(t);
}

static const char *or_null(const char *text)
{
	return *text ? text : NULL;
}

void relay_order(struct relay *r, const Kw__Envelope *e)
{
	const struct runner_ops *ops = r->runners.ops;

	if (e->body_case == KW__ENVELOPE__BODY_START_ORDER) {
		const Cell__StartOrder *m = e->start_order;
		struct start_order order = { .runner = m->runner,
					     .address = m->address,
					     .task = m->task,
					     .payload = m->payload,
					     .ticket = or_null(m->ticket),
					     .checkpoint = or_null(m->checkpoint),
					     .run = m->run,
					     .deadline_ms = m->deadline_ms,
					     .timeout_ms = m->timeout_ms };

		ops->start(r->runners.impl, &order, m->term, on_started, taken_create(r, m->call));
	} else if (e->body_case == KW__ENVELOPE__BODY_STOP_ORDER) {
		const Cell__StopOrder *m = e->stop_order;

		ops->stop(r->runners.impl, m->runner, m->address, m->task, m->run, m->term,
			  on_stopped, taken_create(r, m->call));
	} else if (e->body_case == KW__ENVELOPE__BODY_LOOK_ORDER) {
		const Cell__LookOrder *m = e->look_order;
		struct poll_order order = { .runner = m->runner,
					    .address = m->address,
					    .deadline_ms = m->deadline_ms,
					    .acked_end = m->seen,
					    .wait_ms = m->wait_ms,
					    .timeout_ms = m->timeout_ms };

		ops->look(r->runners.impl, &order, m->term, on_looked, taken_create(r, m->call));
	}
}

static gboolean on_tick(gpointer data)
{
	answer_lost(data, NULL, node_now_ms());
	return G_SOURCE_CONTINUE;
}

struct relay *relay_create(const struct runners *runners, struct links *links)
{
	struct relay *r = g_new0(struct relay, 1);

	r->runners = *runners;
	r->links = links;
	r->given = g_hash_table_new(NULL, NULL);
	r->timer = g_timeout_add(TICK_MS, on_tick, r);
	return r;
}

void relay_destroy(struct relay *r)
{
	if (!r)
		return;
	g_source_remove(r->timer);
	relay_clear(r);
	g_hash_table_unref(r->given);
	g_free(r);
}
