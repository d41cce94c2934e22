#define G_LOG_DOMAIN "links"

#include "links_priv.h"
#include "log.h"

#define DIAL_RETRY_MS	 300
#define DIAL_TIMEOUT_S	 2
#define STATE_TIMEOUT_MS 400 /* the store is read after that */

/* An outstanding request to the scheduler: a state query or an append. */
struct uplink_call {
	uint64_t number;
	int64_t deadline_ms;
	job_state_fn state_fn;
	append_reply_fn append_fn; /* exactly one of the two is set */
	void *ctx;
};

static struct uplink_call take_call_at(struct links *l, guint i)
{
	struct uplink_call c = g_array_index(l->call, struct uplink_call, i);

	g_array_remove_index_fast(l->call, i);
	return c;
}

/* Returns false if the call has timed out. */
static bool take_call(struct links *l, uint64_t number, struct uplink_call *c)
{
	for (guint i = 0; i < l->call->len; i++) {
		if (g_array_index(l->call, struct uplink_call, i).number != number)
			continue;
		*c = take_call_at(l, i);
		return true;
	}
	return false;
}

static void fail_call(struct links *l, guint i)
{
	struct uplink_call c = take_call_at(l, i);

	if (c.append_fn)
		c.append_fn(c.ctx, STORE_UNKNOWN, 0);
	else
		c.state_fn(c.ctx, false, JOB_QUEUED);
}

static void close_uplink(struct links *l)
{
	struct link *uplink = l->uplink;

	l->uplink = NULL;
	link_destroy(uplink);
	while (l->call->len)
		fail_call(l, l->call->len - 1);
}

static void handle_state_reply(struct links *l, const Cell__StateReply *m)
{
	struct uplink_call c;

	bool known = m->known && m->state <= JOB_CANCELLED;

	if (take_call(l, m->call, &c) && c.state_fn)
		c.state_fn(c.ctx, known, known ? (enum job_state)m->state : JOB_QUEUED);
}

static void handle_append_reply(struct links *l, const Cell__AppendReply *m)
{
	struct uplink_call c;

	if (!take_call(l, m->call, &c) || !c.append_fn)
		return;
	if (m->stored)
		c.append_fn(c.ctx, STORE_OK, 0);
	else if (m->refused)
		c.append_fn(c.ctx, STORE_REFUSED, m->rejected ? MAX(m->retry_after_ms, 1) : 0);
	else
		c.append_fn(c.ctx, STORE_UNKNOWN, 0);
}

/* The echo tells the scheduler that this node is reachable, and what its clock shows. */
static void handle_heartbeat(struct links *l, const Cell__LeadBeat *beat)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__LeadBeat echo = *beat;

	echo.clock_ms = node_now_ms();
	if (beat->renewed)
		l->scheduler_heard_ms = echo.clock_ms;
	e.body_case = KW__ENVELOPE__BODY_LEAD_BEAT;
	e.lead_beat = &echo;
	link_send(l->uplink, &e, 0);
}

static void on_uplink_message(void *ctx, struct link *link, const Kw__Envelope *e, uint32_t size)
{
	struct links *l = ctx;

	if (e->body_case == KW__ENVELOPE__BODY_STATE_REPLY)
		handle_state_reply(l, e->state_reply);
	else if (e->body_case == KW__ENVELOPE__BODY_APPEND_REPLY)
		handle_append_reply(l, e->append_reply);
	else if (e->body_case == KW__ENVELOPE__BODY_LEAD_BEAT)
		handle_heartbeat(l, e->lead_beat);
	else if (e->body_case == KW__ENVELOPE__BODY_ADVICE_ASK)
		l->ops->advice_requested(
			l->ctx, l->uplink_number, e->advice_ask->call, e->advice_ask->step,
			(const char *const *)e->advice_ask->runner, e->advice_ask->n_runner);
	else
		l->ops->order_received(l->ctx, l->uplink_number, e);
}

static void on_uplink_closed(void *ctx, struct link *link, const char *why)
{
	struct links *l = ctx;

	log_info("link", l->address, "link to the scheduler lost: %s", why);
	l->next_dial_ms = 0;
	close_uplink(l);
}

static const struct link_ops uplink_ops = { .message = on_uplink_message,
					    .closed = on_uplink_closed };

static void send_hello(struct links *l)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__LinkHello m = CELL__LINK_HELLO__INIT;

	m.node = l->self;
	m.term = l->term;
	m.dc = l->dc;
	m.cpu_milli = l->cpu_milli;
	m.clock_ms = node_now_ms();
	e.body_case = KW__ENVELOPE__BODY_LINK_HELLO;
	e.link_hello = &m;
	link_send(l->uplink, &e, 0);
}

static void on_dialled(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GError) err = NULL;
	g_autoptr(GSocketConnection) conn =
		g_socket_client_connect_to_host_finish(G_SOCKET_CLIENT(src), res, &err);
	struct links *l = data;
	const struct link_conf conf = { .frame_max_bytes = LINKS_FRAME_MAX_BYTES,
					.queue_max_bytes = LINKS_QUEUE_MAX_BYTES,
					.queued = &l->queued };

	if (g_error_matches(err, G_IO_ERROR, G_IO_ERROR_CANCELLED))
		return;
	l->dialling = false;
	if (!conn) {
		log_info("dial", l->address, "%s", err->message);
		l->next_dial_ms = node_now_ms() + DIAL_RETRY_MS;
		if (g_error_matches(err, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED))
			l->ops->connection_refused(l->ctx);
		return;
	}
	links_set_timeouts(conn);
	l->uplink = link_create(conn, &conf, &uplink_ops, l);
	l->uplink_number = ++l->last_link;
	send_hello(l);
}

static void dial(struct links *l)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();

	g_socket_client_set_enable_proxy(client, FALSE);
	g_socket_client_set_timeout(client, DIAL_TIMEOUT_S);
	l->dialling = true;
	g_clear_object(&l->dial);
	l->dial = g_cancellable_new();
	g_socket_client_connect_to_host_async(client, l->address, 0, l->dial, on_dialled, l);
}

void links_set_scheduler(struct links *l, const char *address, uint64_t term)
{
	if (l->dial)
		g_cancellable_cancel(l->dial);
	l->dialling = false;
	l->next_dial_ms = 0;
	l->scheduler_heard_ms = node_now_ms();
	l->term = term;
	g_free(l->address);
	l->address = g_strdup(address);
	if (l->uplink)
		close_uplink(l);
}

int64_t links_scheduler_silence_ms(const struct links *l)
{
	return l->address && *l->address ? node_now_ms() - l->scheduler_heard_ms : 0;
}

static bool send_call(struct links *l, const Kw__Envelope *e, const struct uplink_call *c)
{
	if (!link_send(l->uplink, e, 0))
		return false;
	g_array_append_vals(l->call, c, 1);
	return true;
}

bool links_request_state(struct links *l, const char *id, job_state_fn fn, void *ctx)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__StateAsk m = CELL__STATE_ASK__INIT;
	struct uplink_call c = { .state_fn = fn, .ctx = ctx };

	if (!l->uplink)
		return false;
	c.number = ++l->next_call;
	c.deadline_ms = node_now_ms() + STATE_TIMEOUT_MS;
	m.call = c.number;
	m.id = (char *)id;
	e.body_case = KW__ENVELOPE__BODY_STATE_ASK;
	e.state_ask = &m;
	return send_call(l, &e, &c);
}

bool links_request_append(struct links *l, const char *key, const uint8_t *value, size_t size,
			  uint32_t timeout_ms, append_reply_fn fn, void *ctx)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__AppendAsk m = CELL__APPEND_ASK__INIT;
	struct uplink_call c = { .append_fn = fn, .ctx = ctx };

	if (!l->uplink)
		return false;
	c.number = ++l->next_call;
	c.deadline_ms = node_now_ms() + timeout_ms;
	m.call = c.number;
	m.key = (char *)key;
	m.value.data = (uint8_t *)value;
	m.value.len = size;
	m.within_ms = timeout_ms;
	e.body_case = KW__ENVELOPE__BODY_APPEND_ASK;
	e.append_ask = &m;
	return send_call(l, &e, &c);
}

static bool is_uplink(const struct links *l, uint64_t link)
{
	return l->uplink && l->uplink_number == link;
}

void links_reply_advice(struct links *l, uint64_t link, uint64_t call, bool answered,
			const struct ticket *ticket, size_t n, uint32_t validity_ms)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__AdviceReply m = CELL__ADVICE_REPLY__INIT;
	g_autofree Cell__Ticket *row = g_new(Cell__Ticket, n + 1);
	g_autofree Cell__Ticket **rows = g_new(Cell__Ticket *, n + 1);

	if (!is_uplink(l, link))
		return;
	for (size_t i = 0; i < n; i++) {
		row[i] = (Cell__Ticket)CELL__TICKET__INIT;
		row[i].runner = (char *)ticket[i].runner;
		row[i].ticket = (char *)ticket[i].ticket;
		rows[i] = &row[i];
	}
	m.call = call;
	m.answered = answered;
	m.validity_ms = validity_ms;
	m.ticket = rows;
	m.n_ticket = n;
	e.body_case = KW__ENVELOPE__BODY_ADVICE_REPLY;
	e.advice_reply = &m;
	link_send(l->uplink, &e, 0);
}

void links_reply_order(struct links *l, uint64_t link, const Kw__Envelope *e)
{
	if (is_uplink(l, link))
		link_send(l->uplink, e, 0);
}

void uplink_tick(struct links *l, int64_t now_ms)
{
	for (guint i = l->call->len; i > 0; i--)
		if (g_array_index(l->call, struct uplink_call, i - 1).deadline_ms <= now_ms)
			fail_call(l, i - 1);
	if (!l->uplink && !l->dialling && l->address && *l->address && l->next_dial_ms <= now_ms)
		dial(l);
}

void uplink_create(struct links *l)
{
	l->call = g_array_new(FALSE, FALSE, sizeof(struct uplink_call));
	l->next_call = links_first_call();
}

void uplink_destroy(struct links *l)
{
	if (l->dial) {
		g_cancellable_cancel(l->dial);
		g_object_unref(l->dial);
	}
	if (l->uplink)
		close_uplink(l);
	g_array_unref(l->call);
	g_free(l->address);
}
