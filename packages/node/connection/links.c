#define G_LOG_DOMAIN "links"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include <xxhash.h>

#include "link.h"
#include "links.h"
#include "log.h"

#define FRAME_MAX_BYTES	 1048576
#define QUEUE_MAX_BYTES	 4194304
#define DIAL_RETRY_MS	 300
#define DIAL_TIMEOUT_S	 2
#define STATE_TIMEOUT_MS 400  /* then the store is read instead */
#define SILENCE_MS	 1000 /* unacknowledged bytes end a link after that */
#define ASK_TIMEOUT_MS	 3500 /* an advisor's queue of calls is shorter */
#define TICK_MS		 50
#define BACKLOG		 256

/* A node that is linked to this one. */
struct peer {
	struct links *links;
	struct link *link;
	char *name;
	char *dc;
	bool weak;
	uint64_t load_us; /* of the questions under way */
};

struct question {
	struct peer *peer;
	uint64_t call;
	uint64_t cost_us;
	int64_t until_ms;
};

/* A question to the scheduler, about a state or with a record to append. */
struct state_call {
	uint64_t call;
	int64_t until_ms;
	state_fn fn;
	stored_fn stored; /* one of them */
	void *ctx;
};

struct links {
	char *self;
	char *dc;
	bool weak;
	const struct links_ops *ops;
	void *ctx;
	GSocketService *service;
	GPtrArray *peer;
	GArray *question;
	/* The link to the scheduler. */
	struct link *up;
	char *address;
	uint64_t term;
	bool dialling;
	GCancellable *dial;
	int64_t dial_ms;
	GArray *state_call;
	uint64_t next_call;
	guint timer;
};

static const struct link_conf conf = { .frame_max_bytes = FRAME_MAX_BYTES,
				       .queue_max_bytes = QUEUE_MAX_BYTES };

/*
 * A peer behind a cut does not answer; the kernel gives the connection up after that time. The
 * time-out of dialling is not to end a link on which nothing is said.
 */
static void bound_silence(GSocketConnection *conn)
{
	GSocket *sock = g_socket_connection_get_socket(conn);

	g_socket_set_timeout(sock, 0);
	g_socket_set_option(sock, IPPROTO_TCP, TCP_USER_TIMEOUT, SILENCE_MS, NULL);
}

static void answer_advice(struct links *l, guint i, bool answered, const struct ticket *ticket,
			  size_t n, uint32_t validity_ms)
{
	struct question q = g_array_index(l->question, struct question, i);

	g_array_remove_index_fast(l->question, i);
	if (q.peer)
		q.peer->load_us -= q.cost_us;
	l->ops->advised(l->ctx, q.call, answered, ticket, n, validity_ms);
}

static void drop_peer(struct peer *p)
{
	struct links *l = p->links;

	for (guint i = l->question->len; i > 0; i--)
		if (g_array_index(l->question, struct question, i - 1).peer == p)
			answer_advice(l, i - 1, false, NULL, 0, 0);
	l->ops->peer_lost(l->ctx, p);
	link_destroy(p->link);
	g_ptr_array_remove_fast(l->peer, p);
	g_free(p->dc);
	g_free(p->name);
	g_free(p);
	l->ops->peers(l->ctx, l->peer->len);
}

static void reply_state(struct peer *p, const Cell__StateAsk *ask)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__StateReply m = CELL__STATE_REPLY__INIT;
	enum job_state state = JOB_QUEUED;

	m.call = ask->call;
	m.known = p->links->ops->state(p->links->ctx, ask->id, &state);
	m.state = state;
	e.body_case = KW__ENVELOPE__BODY_STATE_REPLY;
	e.state_reply = &m;
	link_send(p->link, &e, 0);
}

static void take_advice(struct links *l, const Cell__AdviceReply *m)
{
	g_autofree struct ticket *ticket = g_new0(struct ticket, m->n_ticket + 1);

	for (size_t i = 0; i < m->n_ticket; i++) {
		ticket[i].runner = m->ticket[i]->runner;
		ticket[i].ticket = m->ticket[i]->ticket;
	}
	for (guint i = 0; i < l->question->len; i++) {
		if (g_array_index(l->question, struct question, i).call != m->call)
			continue;
		answer_advice(l, i, m->answered, ticket, m->n_ticket, m->validity_ms);
		return;
	}
}

static void on_peer_message(void *ctx, struct link *link, const Kw__Envelope *e, uint32_t size)
{
	struct peer *p = ctx;

	if (e->body_case == KW__ENVELOPE__BODY_LINK_HELLO) {
		g_free(p->name);
		p->name = g_strdup(e->link_hello->node);
		g_free(p->dc);
		p->dc = g_strdup(e->link_hello->dc);
		p->weak = e->link_hello->weak;
		log_info("accept", p->name, "linked");
		p->links->ops->peers(p->links->ctx, p->links->peer->len);
	} else if (e->body_case == KW__ENVELOPE__BODY_STATE_ASK) {
		reply_state(p, e->state_ask);
	} else if (e->body_case == KW__ENVELOPE__BODY_ADVICE_REPLY) {
		take_advice(p->links, e->advice_reply);
	} else if (e->body_case == KW__ENVELOPE__BODY_APPEND_ASK) {
		p->links->ops->append(p->links->ctx, p, e->append_ask);
	} else {
		p->links->ops->replied(p->links->ctx, e);
	}
}

static void on_peer_closed(void *ctx, struct link *link, const char *why)
{
	struct peer *p = ctx;

	log_info("link", p->name, "link lost: %s", why);
	drop_peer(p);
}

static const struct link_ops peer_ops = { .message = on_peer_message, .closed = on_peer_closed };

static gboolean on_incoming(GSocketService *service, GSocketConnection *conn, GObject *src,
			    gpointer data)
{
	struct links *l = data;
	struct peer *p = g_new0(struct peer, 1);

	bound_silence(conn);
	p->links = l;
	p->link = link_create(conn, &conf, &peer_ops, p);
	g_ptr_array_add(l->peer, p);
	l->ops->peers(l->ctx, l->peer->len);
	return TRUE;
}

static struct state_call take_call(struct links *l, guint i)
{
	struct state_call c = g_array_index(l->state_call, struct state_call, i);

	g_array_remove_index_fast(l->state_call, i);
	return c;
}

/* No answer came, or none will. */
static void finish_lost(struct links *l, guint i)
{
	struct state_call c = take_call(l, i);

	if (c.stored)
		c.stored(c.ctx, STORE_UNKNOWN);
	else
		c.fn(c.ctx, false, JOB_QUEUED);
}

static void close_up(struct links *l)
{
	struct link *up = l->up;

	l->up = NULL;
	link_destroy(up);
	while (l->state_call->len)
		finish_lost(l, l->state_call->len - 1);
}

static bool find_call(const struct links *l, uint64_t call, guint *i)
{
	for (*i = 0; *i < l->state_call->len; (*i)++)
		if (g_array_index(l->state_call, struct state_call, *i).call == call)
			return true;
	return false;
}

static void take_state(struct links *l, const Cell__StateReply *m)
{
	struct state_call c;
	guint i;

	if (!find_call(l, m->call, &i))
		return;
	c = take_call(l, i);
	if (c.fn)
		c.fn(c.ctx, m->known, (enum job_state)m->state);
}

static void take_stored(struct links *l, const Cell__AppendReply *m)
{
	struct state_call c;
	guint i;

	if (!find_call(l, m->call, &i))
		return;
	c = take_call(l, i);
	if (c.stored)
		c.stored(c.ctx, m->stored ? STORE_OK : m->refused ? STORE_REFUSED : STORE_UNKNOWN);
}

static void on_up_message(void *ctx, struct link *link, const Kw__Envelope *e, uint32_t size)
{
	struct links *l = ctx;

	if (e->body_case == KW__ENVELOPE__BODY_STATE_REPLY)
		take_state(l, e->state_reply);
	else if (e->body_case == KW__ENVELOPE__BODY_APPEND_REPLY)
		take_stored(l, e->append_reply);
	else if (e->body_case == KW__ENVELOPE__BODY_ADVICE_ASK)
		l->ops->ask(l->ctx, e->advice_ask->call, e->advice_ask->step,
			    (const char *const *)e->advice_ask->runner, e->advice_ask->n_runner);
	else
		l->ops->order(l->ctx, e);
}

static void on_up_closed(void *ctx, struct link *link, const char *why)
{
	struct links *l = ctx;

	log_info("link", l->address, "link to the scheduler lost: %s", why);
	l->dial_ms = 0;
	close_up(l);
}

static const struct link_ops up_ops = { .message = on_up_message, .closed = on_up_closed };

static void greet(struct links *l)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__LinkHello m = CELL__LINK_HELLO__INIT;

	m.node = l->self;
	m.term = l->term;
	m.dc = l->dc;
	m.weak = l->weak;
	e.body_case = KW__ENVELOPE__BODY_LINK_HELLO;
	e.link_hello = &m;
	link_send(l->up, &e, 0);
}

static void on_dialled(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GError) err = NULL;
	g_autoptr(GSocketConnection) conn =
		g_socket_client_connect_to_host_finish(G_SOCKET_CLIENT(src), res, &err);
	struct links *l = data;

	if (g_error_matches(err, G_IO_ERROR, G_IO_ERROR_CANCELLED))
		return;
	l->dialling = false;
	if (!conn) {
		log_info("dial", l->address, "%s", err->message);
		l->dial_ms = node_now_ms() + DIAL_RETRY_MS;
		if (g_error_matches(err, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED))
			l->ops->refused(l->ctx);
		return;
	}
	bound_silence(conn);
	l->up = link_create(conn, &conf, &up_ops, l);
	greet(l);
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

void links_follow(struct links *l, const char *address, uint64_t term)
{
	if (l->dial)
		g_cancellable_cancel(l->dial);
	l->dialling = false;
	l->dial_ms = 0;
	l->term = term;
	g_free(l->address);
	l->address = g_strdup(address);
	if (l->up)
		close_up(l);
}

void links_lead(struct links *l, bool lead)
{
	while (!lead && l->peer->len)
		drop_peer(l->peer->pdata[0]);
}

bool links_ask_state(struct links *l, const char *id, state_fn fn, void *ctx)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__StateAsk m = CELL__STATE_ASK__INIT;
	struct state_call c = { .fn = fn, .ctx = ctx };

	if (!l->up)
		return false;
	c.call = ++l->next_call;
	c.until_ms = node_now_ms() + STATE_TIMEOUT_MS;
	m.call = c.call;
	m.id = (char *)id;
	e.body_case = KW__ENVELOPE__BODY_STATE_ASK;
	e.state_ask = &m;
	if (!link_send(l->up, &e, 0))
		return false;
	g_array_append_val(l->state_call, c);
	return true;
}

bool links_ask_append(struct links *l, const char *key, const uint8_t *value, size_t size,
		      uint32_t within_ms, stored_fn fn, void *ctx)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__AppendAsk m = CELL__APPEND_ASK__INIT;
	struct state_call c = { .stored = fn, .ctx = ctx };

	if (!l->up)
		return false;
	c.call = ++l->next_call;
	c.until_ms = node_now_ms() + within_ms;
	m.call = c.call;
	m.key = (char *)key;
	m.value.data = (uint8_t *)value;
	m.value.len = size;
	m.within_ms = within_ms;
	e.body_case = KW__ENVELOPE__BODY_APPEND_ASK;
	e.append_ask = &m;
	if (!link_send(l->up, &e, 0))
		return false;
	g_array_append_val(l->state_call, c);
	return true;
}

void links_appended(struct links *l, const struct peer *p, uint64_t call, enum store_result result)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__AppendReply m = CELL__APPEND_REPLY__INIT;
	guint i;

	if (!g_ptr_array_find(l->peer, p, &i))
		return;
	m.call = call;
	m.stored = result == STORE_OK;
	m.refused = result == STORE_REFUSED;
	e.body_case = KW__ENVELOPE__BODY_APPEND_REPLY;
	e.append_reply = &m;
	link_send(p->link, &e, 0);
}

bool links_ask_advice(struct links *l, uint64_t call, const char *step, const char *const *runner,
		      size_t n, uint64_t cost_us, uint64_t own_us)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__AdviceAsk m = CELL__ADVICE_ASK__INIT;
	struct question q = { .call = call, .cost_us = cost_us };

	for (guint i = 0; i < l->peer->len; i++) {
		struct peer *p = l->peer->pdata[i];

		if (p->name && p->load_us < own_us && (!q.peer || p->load_us < q.peer->load_us))
			q.peer = p;
	}
	if (!q.peer)
		return false;
	m.call = call;
	m.step = (char *)step;
	m.runner = (char **)runner;
	m.n_runner = n;
	e.body_case = KW__ENVELOPE__BODY_ADVICE_ASK;
	e.advice_ask = &m;
	if (!link_send(q.peer->link, &e, 0))
		return false;
	q.until_ms = node_now_ms() + ASK_TIMEOUT_MS;
	q.peer->load_us += cost_us;
	g_array_append_val(l->question, q);
	return true;
}

void links_advised(struct links *l, uint64_t call, bool answered, const struct ticket *ticket,
		   size_t n, uint32_t validity_ms)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__AdviceReply m = CELL__ADVICE_REPLY__INIT;
	g_autofree Cell__Ticket *row = g_new(Cell__Ticket, n + 1);
	g_autofree Cell__Ticket **rows = g_new(Cell__Ticket *, n + 1);

	if (!l->up)
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
	link_send(l->up, &e, 0);
}

/* Highest random weight: a change of the links moves few runners. */
static uint64_t weight(const struct peer *p, const char *dc, const char *runner)
{
	uint64_t hash = XXH3_64bits_withSeed(runner, strlen(runner), g_str_hash(p->name));

	return (hash >> 1) | (g_strcmp0(p->dc, dc) == 0 ? UINT64_C(1) << 63 : 0);
}

struct peer *links_pick(struct links *l, const char *dc, const char *runner, uint32_t rank)
{
	uint64_t below = UINT64_MAX;
	struct peer *best = NULL;

	if (l->peer->len == 0)
		return NULL;
	rank %= l->peer->len;
	for (uint32_t i = 0; i <= rank; i++) {
		uint64_t best_weight = 0;
		struct peer *found = NULL;

		for (guint k = 0; k < l->peer->len; k++) {
			struct peer *p = l->peer->pdata[k];
			uint64_t w = p->name ? weight(p, dc, runner) : 0;

			if (w && w < below && w > best_weight) {
				found = p;
				best_weight = w;
			}
		}
		if (!found)
			break;
		best = found;
		below = best_weight;
	}
	return best;
}

uint32_t links_count(const struct links *l)
{
	return l->peer->len;
}

const char *links_successor(const struct links *l)
{
	const char *name = "";

	for (guint i = 0; i < l->peer->len; i++) {
		const struct peer *p = l->peer->pdata[i];

		if (p->name && !p->weak)
			return p->name;
		if (p->name)
			name = p->name;
	}
	return name;
}

bool links_give(struct peer *p, const Kw__Envelope *e)
{
	return link_send(p->link, e, 0) > 0;
}

void links_reply(struct links *l, const Kw__Envelope *e)
{
	if (l->up)
		link_send(l->up, e, 0);
}

static gboolean on_tick(gpointer data)
{
	struct links *l = data;
	int64_t now = node_now_ms();

	for (guint i = l->question->len; i > 0; i--)
		if (g_array_index(l->question, struct question, i - 1).until_ms <= now)
			answer_advice(l, i - 1, false, NULL, 0, 0);
	for (guint i = l->state_call->len; i > 0; i--)
		if (g_array_index(l->state_call, struct state_call, i - 1).until_ms <= now)
			finish_lost(l, i - 1);
	if (!l->up && !l->dialling && l->address && *l->address && l->dial_ms <= now)
		dial(l);
	return G_SOURCE_CONTINUE;
}

struct links *links_create(const char *self, const char *dc, bool weak, const struct links_ops *ops,
			   void *ctx)
{
	struct links *l = g_new0(struct links, 1);

	l->self = g_strdup(self);
	l->dc = g_strdup(dc);
	l->weak = weak;
	l->ops = ops;
	l->ctx = ctx;
	l->peer = g_ptr_array_new();
	l->question = g_array_new(FALSE, FALSE, sizeof(struct question));
	l->state_call = g_array_new(FALSE, FALSE, sizeof(struct state_call));
	l->timer = g_timeout_add(TICK_MS, on_tick, l);
	return l;
}

bool links_listen(struct links *l, const char *ip, uint16_t port, struct status *st)
{
	g_autoptr(GInetAddress) inet = g_inet_address_new_from_string(ip);
	g_autoptr(GSocketAddress) addr = inet ? g_inet_socket_address_new(inet, port) : NULL;
	g_autoptr(GError) err = NULL;

	if (!addr)
		return status_set(st, STATUS_INVALID, "listen", ip, "not an IP address");
	l->service = g_socket_service_new();
	g_socket_listener_set_backlog(G_SOCKET_LISTENER(l->service), BACKLOG);
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(l->service), addr,
					   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
					   &err))
		return status_set(st, STATUS_UNAVAILABLE, "listen", ip, "link port %u: %s", port,
				  err->message);
	g_signal_connect(l->service, "incoming", G_CALLBACK(on_incoming), l);
	g_socket_service_start(l->service);
	return true;
}

void links_destroy(struct links *l)
{
	if (!l)
		return;
	g_source_remove(l->timer);
	if (l->service) {
		g_socket_service_stop(l->service);
		g_socket_listener_close(G_SOCKET_LISTENER(l->service));
		g_object_unref(l->service);
	}
	if (l->dial) {
		g_cancellable_cancel(l->dial);
		g_object_unref(l->dial);
	}
	while (l->peer->len)
		drop_peer(l->peer->pdata[0]);
	if (l->up)
		close_up(l);
	g_array_unref(l->question);
	g_array_unref(l->state_call);
	g_ptr_array_unref(l->peer);
	g_free(l->address);
	g_free(l->dc);
	g_free(l->self);
	g_free(l);
}
