#define G_LOG_DOMAIN "relay"

#include "log.h"
#include "relay.h"

#define REPLY_SLACK_MS 250 /* for the relaying node's reply, after its own timeout of the order */
#define TICK_MS	       50

enum order_kind {
	ORDER_START = 0,
	ORDER_STOP,
	ORDER_POLL,
};

/* An order that was sent to another node. */
struct sent_order {
	enum order_kind kind;
	const struct peer *peer;
	int64_t deadline_ms;
	union {
		started_fn started;
		stopped_fn stopped;
		polled_fn polled;
	} fn;
	void *ctx;
};

struct relay {
	struct runner_client runners;
	struct links *links;
	GHashTable *sent; /* of struct sent_order by call number */
	uint64_t next_call;
	guint timer;
};

/* An order of the scheduler that this node executes. */
struct received_order {
	struct relay *relay;
	uint64_t link; /* on which it came */
	uint64_t call;
};

/*
 * expires_ms: field of the message in e that gets the time, on the clock of the node that carries
 * the order, at which it is given up here. Returns NULL if no node can carry it.
 */
static struct sent_order *send_order(struct relay *r, const struct route *route, const char *runner,
				     const Kw__Envelope *e, int64_t *expires_ms,
				     enum order_kind kind, uint32_t timeout_ms, void *ctx)
{
	struct peer *p = links_pick_peer(r->links, route->dc, runner, route->attempt);
	int64_t deadline_ms = node_now_ms() + timeout_ms + REPLY_SLACK_MS;
	struct sent_order *o;

	if (!p)
		return NULL;
	*expires_ms = links_peer_clock_ms(p, deadline_ms);
	if (!links_send_order(p, e))
		return NULL;
	o = g_new0(struct sent_order, 1);
	o->kind = kind;
	o->peer = p;
	o->deadline_ms = deadline_ms;
	o->ctx = ctx;
	g_hash_table_insert(r->sent, GUINT_TO_POINTER(r->next_call), o);
	return o;
}

void relay_start(struct relay *r, const struct start_order *order, uint64_t fence, started_fn fn,
		 void *ctx)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__StartOrder m = CELL__START_ORDER__INIT;
	struct sent_order *o;

	m.call = ++r->next_call;
	m.term = fence;
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
	o = send_order(r, &order->route, order->runner, &e, &m.expires_ms, ORDER_START,
		       order->timeout_ms, ctx);
	if (o)
		o->fn.started = fn;
	else
		r->runners.ops->start(r->runners.impl, order, fence, fn, ctx);
}

void relay_stop(struct relay *r, const struct route *route, const char *runner, const char *address,
		const char *task, uint32_t run, uint64_t fence, stopped_fn fn, void *ctx)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__StopOrder m = CELL__STOP_ORDER__INIT;
	struct sent_order *o;

	m.call = ++r->next_call;
	m.term = fence;
	m.runner = (char *)runner;
	m.address = (char *)address;
	m.task = (char *)task;
	m.run = run;
	e.body_case = KW__ENVELOPE__BODY_STOP_ORDER;
	e.stop_order = &m;
	o = send_order(r, route, runner, &e, &m.expires_ms, ORDER_STOP, STOP_TIMEOUT_MS, ctx);
	if (o)
		o->fn.stopped = fn;
	else
		r->runners.ops->stop(r->runners.impl, runner, address, task, run, fence, fn, ctx);
}

void relay_poll(struct relay *r, const struct poll_order *order, uint64_t fence, polled_fn fn,
		void *ctx)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__LookOrder m = CELL__LOOK_ORDER__INIT;
	struct sent_order *o;

	m.call = ++r->next_call;
	m.term = fence;
	m.runner = (char *)order->runner;
	m.address = (char *)order->address;
	m.deadline_ms = order->deadline_ms;
	m.seen = order->acked_end;
	m.wait_ms = order->wait_ms;
	m.timeout_ms = order->timeout_ms;
	e.body_case = KW__ENVELOPE__BODY_LOOK_ORDER;
	e.look_order = &m;
	o = send_order(r, &order->route, order->runner, &e, &m.expires_ms, ORDER_POLL,
		       order->timeout_ms, ctx);
	if (o)
		o->fn.polled = fn;
	else
		r->runners.ops->poll(r->runners.impl, order, fence, fn, ctx);
}

static void fail_order(struct sent_order *o)
{
	if (o->kind == ORDER_START)
		o->fn.started(o->ctx, START_UNKNOWN);
	else if (o->kind == ORDER_STOP)
		o->fn.stopped(o->ctx, false);
	else
		o->fn.polled(o->ctx, NULL);
	g_free(o);
}

/*
 * Fails the orders sent to p and those past their deadline. They are removed first, since the
 * callbacks may send new ones.
 */
static void fail_orders(struct relay *r, const struct peer *p, int64_t now)
{
	g_autoptr(GPtrArray) lost = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->sent);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sent_order *o = value;

		if (o->peer != p && o->deadline_ms > now)
			continue;
		g_ptr_array_add(lost, o);
		g_hash_table_iter_steal(&it);
	}
	for (guint i = 0; i < lost->len; i++)
		fail_order(lost->pdata[i]);
}

void relay_peer_lost(struct relay *r, const struct peer *p)
{
	fail_orders(r, p, 0);
}

void relay_cancel_all(struct relay *r)
{
	fail_orders(r, NULL, INT64_MAX);
}

static bool is_time(int64_t ms)
{
	return ms >= 0 && ms <= JOB_TIME_MAX_MS;
}

/* Other values would be taken for indices and for times to count with. */
static bool is_valid_poll_reply(const Cell__LookReply *m)
{
	if (!is_time((int64_t)m->born_ms) || !is_time((int64_t)m->clock_ms))
		return false;
	for (size_t i = 0; i < m->n_running; i++)
		if (m->running[i]->run == 0)
			return false;
	for (size_t i = 0; i < m->n_ended; i++)
		if (m->ended[i]->run == 0 || m->ended[i]->no == 0 ||
		    m->ended[i]->end > END_GANG_INCOMPLETE)
			return false;
	return true;
}

static void handle_poll_reply(struct sent_order *o, const Cell__LookReply *m)
{
	g_autofree struct poll_running *running = g_new(struct poll_running, m->n_running + 1);
	g_autofree struct poll_ended *ended = g_new(struct poll_ended, m->n_ended + 1);
	struct poll_reply reply = { .fenced = m->fenced,
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
	o->fn.polled(o->ctx, m->answered && is_valid_poll_reply(m) ? &reply : NULL);
}

static struct sent_order *take_sent_order(struct relay *r, const struct peer *p, uint64_t call,
					  enum order_kind kind)
{
	struct sent_order *o = g_hash_table_lookup(r->sent, GUINT_TO_POINTER(call));

	if (!o || o->kind != kind || o->peer != p)
		return NULL;
	g_hash_table_steal(r->sent, GUINT_TO_POINTER(call));
	return o;
}

/* A result of a release that has others may mean that the task runs. */
static enum start_result start_result_of(uint32_t result)
{
	return result < START_UNKNOWN ? (enum start_result)result : START_UNKNOWN;
}

void relay_handle_reply(struct relay *r, const struct peer *p, const Kw__Envelope *e)
{
	struct sent_order *o = NULL;

	if (e->body_case == KW__ENVELOPE__BODY_START_REPLY) {
		o = take_sent_order(r, p, e->start_reply->call, ORDER_START);
		if (o)
			o->fn.started(o->ctx, start_result_of(e->start_reply->result));
	} else if (e->body_case == KW__ENVELOPE__BODY_STOP_REPLY) {
		o = take_sent_order(r, p, e->stop_reply->call, ORDER_STOP);
		if (o)
			o->fn.stopped(o->ctx, e->stop_reply->answered);
	} else if (e->body_case == KW__ENVELOPE__BODY_LOOK_REPLY) {
		o = take_sent_order(r, p, e->look_reply->call, ORDER_POLL);
		if (o)
			handle_poll_reply(o, e->look_reply);
	}
	g_free(o);
}

static struct received_order *received_order_create(struct relay *r, uint64_t link, uint64_t call)
{
	struct received_order *o = g_new0(struct received_order, 1);

	o->relay = r;
	o->link = link;
	o->call = call;
	return o;
}

static void on_started(void *ctx, enum start_result result)
{
	struct received_order *o = ctx;
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__StartReply m = CELL__START_REPLY__INIT;

	m.call = o->call;
	m.result = result;
	e.body_case = KW__ENVELOPE__BODY_START_REPLY;
	e.start_reply = &m;
	links_reply_order(o->relay->links, o->link, &e);
	g_free(o);
}

static void on_stopped(void *ctx, bool answered)
{
	struct received_order *o = ctx;
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__StopReply m = CELL__STOP_REPLY__INIT;

	m.call = o->call;
	m.answered = answered;
	e.body_case = KW__ENVELOPE__BODY_STOP_REPLY;
	e.stop_reply = &m;
	links_reply_order(o->relay->links, o->link, &e);
	g_free(o);
}

static void fill_poll_reply(Cell__LookReply *m, const struct poll_reply *reply,
			    Cell__RunningTask *running, Cell__EndedTask *ended)
{
	m->answered = true;
	m->fenced = reply->fenced;
	m->other = reply->other_incarnation;
	m->born_ms = reply->incarnation_ms;
	m->clock_ms = reply->clock_ms;
	m->n_running = reply->n_running;
	m->n_ended = reply->n_ended;
	for (size_t i = 0; i < reply->n_running; i++) {
		running[i] = (Cell__RunningTask)CELL__RUNNING_TASK__INIT;
		running[i].task = (char *)reply->running[i].task;
		running[i].run = reply->running[i].run;
		running[i].checkpoint = (char *)reply->running[i].checkpoint;
		running[i].usage = reply->running[i].usage;
		m->running[i] = &running[i];
	}
	for (size_t i = 0; i < reply->n_ended; i++) {
		ended[i] = (Cell__EndedTask)CELL__ENDED_TASK__INIT;
		ended[i].no = reply->ended[i].seq;
		ended[i].task = (char *)reply->ended[i].task;
		ended[i].run = reply->ended[i].run;
		ended[i].end = reply->ended[i].end;
		ended[i].checkpoint = (char *)reply->ended[i].checkpoint;
		m->ended[i] = &ended[i];
	}
}

static void on_polled(void *ctx, const struct poll_reply *reply)
{
	struct received_order *o = ctx;
	size_t n_running = reply ? reply->n_running : 0;
	size_t n_ended = reply ? reply->n_ended : 0;
	g_autofree Cell__RunningTask *running = g_new(Cell__RunningTask, n_running + 1);
	g_autofree Cell__EndedTask *ended = g_new(Cell__EndedTask, n_ended + 1);
	g_autofree Cell__RunningTask **running_row = g_new(Cell__RunningTask *, n_running + 1);
	g_autofree Cell__EndedTask **ended_row = g_new(Cell__EndedTask *, n_ended + 1);
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__LookReply m = CELL__LOOK_REPLY__INIT;

	m.call = o->call;
	m.running = running_row;
	m.ended = ended_row;
	if (reply)
		fill_poll_reply(&m, reply, running, ended);
	e.body_case = KW__ENVELOPE__BODY_LOOK_REPLY;
	e.look_reply = &m;
	links_reply_order(o->relay->links, o->link, &e);
	g_free(o);
}

static const char *null_if_empty(const char *text)
{
	return *text ? text : NULL;
}

/*
 * An order may wait for seconds while this process is paused or the link is slow. Its scheduler has
 * given it up then, and has gone on: a runner that has restarted meanwhile has no memory of the run
 * and would execute it again, or would forget ends that nobody has read.
 */
static bool has_expired(int64_t expires_ms, const char *kind, const char *runner, const char *task)
{
	int64_t late_ms = node_now_ms() - expires_ms;

	if (!expires_ms || late_ms < 0)
		return false;
	log_request(LOG_INFO, task, "order", runner,
		    "%s not executed: the scheduler gave it up %" G_GINT64_FORMAT " ms ago", kind,
		    late_ms);
	return true;
}

/* The call may not reach the runner after the order has expired. */
static uint32_t call_timeout_ms(uint32_t timeout_ms, int64_t expires_ms)
{
	if (!expires_ms)
		return timeout_ms;
	return (uint32_t)CLAMP(expires_ms - node_now_ms(), 1, timeout_ms);
}

static void execute_start(struct relay *r, uint64_t link, const Cell__StartOrder *m)
{
	const struct start_order order = {
		.runner = m->runner,
		.address = m->address,
		.task = m->task,
		.payload = m->payload,
		.ticket = null_if_empty(m->ticket),
		.checkpoint = null_if_empty(m->checkpoint),
		.run = m->run,
		.deadline_ms = m->deadline_ms,
		.timeout_ms = call_timeout_ms(m->timeout_ms, m->expires_ms),
	};

	r->runners.ops->start(r->runners.impl, &order, m->term, on_started,
			      received_order_create(r, link, m->call));
}

static void execute_poll(struct relay *r, uint64_t link, const Cell__LookOrder *m)
{
	const struct poll_order order = {
		.runner = m->runner,
		.address = m->address,
		.deadline_ms = m->deadline_ms,
		.acked_end = m->seen,
		.wait_ms = m->wait_ms,
		.timeout_ms = call_timeout_ms(m->timeout_ms, m->expires_ms),
	};

	r->runners.ops->poll(r->runners.impl, &order, m->term, on_polled,
			     received_order_create(r, link, m->call));
}

void relay_handle_order(struct relay *r, uint64_t link, const Kw__Envelope *e)
{
	if (e->body_case == KW__ENVELOPE__BODY_START_ORDER) {
		const Cell__StartOrder *m = e->start_order;

		if (!has_expired(m->expires_ms, "start", m->runner, m->task))
			execute_start(r, link, m);
	} else if (e->body_case == KW__ENVELOPE__BODY_STOP_ORDER) {
		const Cell__StopOrder *m = e->stop_order;

		if (!has_expired(m->expires_ms, "stop", m->runner, m->task))
			r->runners.ops->stop(r->runners.impl, m->runner, m->address, m->task,
					     m->run, m->term, on_stopped,
					     received_order_create(r, link, m->call));
	} else if (e->body_case == KW__ENVELOPE__BODY_LOOK_ORDER) {
		const Cell__LookOrder *m = e->look_order;

		if (!has_expired(m->expires_ms, "poll", m->runner, NULL))
			execute_poll(r, link, m);
	}
}

static gboolean on_tick(gpointer data)
{
	fail_orders(data, NULL, node_now_ms());
	return G_SOURCE_CONTINUE;
}

struct relay *relay_create(const struct runner_client *runners, struct links *links)
{
	struct relay *r = g_new0(struct relay, 1);

	r->runners = *runners;
	r->links = links;
	r->sent = g_hash_table_new(NULL, NULL);
	r->next_call = links_first_call();
	r->timer = g_timeout_add(TICK_MS, on_tick, r);
	return r;
}

void relay_destroy(struct relay *r)
{
	if (!r)
		return;
	g_source_remove(r->timer);
	relay_cancel_all(r);
	g_hash_table_unref(r->sent);
	g_free(r);
}
