#define G_LOG_DOMAIN "peers"

#include <string.h>

#include "clock.h"
#include "link.h"

#include "log.h"
#include "peers.h"

#define PROTOCOL_VERSION 1
#define BACKLOG		 128
#define DIAL_TIMEOUT_S	 2
#define DIAL_MIN_MS	 200
#define DIAL_MAX_MS	 5000
#define MESSAGE_KINDS	 (KW__ENVELOPE__BODY_RECORDS + 1)

struct peer {
	struct peers *peers;
	char *name; /* NULL for an accepted link until its Hello */
	struct link *link;
	uint64_t incarnation;
	bool hello_received;
	bool dialling;
	int64_t next_dial_ms;
	uint32_t dial_delay_ms;
};

struct message_handler {
	peers_message_fn fn;
	void *ctx;
};

struct state_handler {
	peers_state_fn fn;
	void *ctx;
};

struct peers {
	const struct settings *set;
	struct members *members;
	struct traffic *traffic;
	uint64_t incarnation;
	GSocketService *service;
	GSocketClient *client;
	GCancellable *cancel;
	GHashTable *by_name;	 /* name -> struct peer */
	GPtrArray *unidentified; /* accepted links that have not sent Hello */
	struct message_handler handlers[MESSAGE_KINDS];
	GArray *state_handlers;
};

static void on_link_message(void *ctx, struct link *l, const Kw__Envelope *e, uint32_t size);
static void on_link_closed(void *ctx, struct link *l, const char *why);

static const struct link_ops link_ops = {
	.message = on_link_message,
	.closed = on_link_closed,
};

static void peer_free(gpointer data)
{
	struct peer *q = data;

	link_destroy(q->link);
	g_free(q->name);
	g_free(q);
}

static enum traffic_role message_role(Kw__Envelope__BodyCase kind)
{
	switch (kind) {
	case KW__ENVELOPE__BODY_HELLO:
	case KW__ENVELOPE__BODY_BEAT:
		return ROLE_MEMBERSHIP;
	case KW__ENVELOPE__BODY_VOTE_ASK:
	case KW__ENVELOPE__BODY_VOTE_REPLY:
	case KW__ENVELOPE__BODY_VOTE_FINISH:
		return ROLE_COORDINATOR;
	case KW__ENVELOPE__BODY_RECORDS_ASK:
	case KW__ENVELOPE__BODY_RECORDS:
		return ROLE_CONFIG;
	default:
		return ROLE_GATEWAY;
	}
}

static uint64_t message_data_bytes(const Kw__Envelope *e)
{
	if (e->body_case == KW__ENVELOPE__BODY_CHUNK)
		return e->chunk->data.len;
	if (e->body_case == KW__ENVELOPE__BODY_CALL)
		return e->call->body.len;
	return 0;
}

enum traffic_link peers_link_kind(const struct peers *p, const char *peer)
{
	const struct member_info *m = members_find(p->members, peer);

	if (!m || strcmp(m->region, p->set->region) != 0)
		return LINK_OTHER_REGION;
	return strcmp(m->dc, p->set->dc) == 0 ? LINK_SAME_DC : LINK_OTHER_DC;
}

static void count_traffic(struct peers *p, const struct peer *q, enum traffic_dir dir,
			  const Kw__Envelope *e, uint32_t size)
{
	uint64_t data = message_data_bytes(e);
	enum traffic_link kind = q->name ? peers_link_kind(p, q->name) : LINK_OTHER_REGION;

	traffic_add(p->traffic, message_role(e->body_case), kind, dir, size, data);
}

static bool peer_send(struct peer *q, const Kw__Envelope *e, uint64_t tag)
{
	uint32_t size = link_send(q->link, e, tag);

	if (size == 0)
		return false;
	count_traffic(q->peers, q, TRAFFIC_OUT, e, size);
	return true;
}

static void send_hello(struct peer *q)
{
	const struct settings *set = q->peers->set;
	Kw__Hello hello = KW__HELLO__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;

	hello.version = PROTOCOL_VERSION;
	hello.cell = set->cell;
	hello.daemon = set->name;
	hello.dc = set->dc;
	hello.region = set->region;
	hello.incarnation = q->peers->incarnation;
	e.body_case = KW__ENVELOPE__BODY_HELLO;
	e.hello = &hello;
	peer_send(q, &e, 0);
}

static void attach_link(struct peer *q, GSocketConnection *conn)
{
	struct link_conf conf = {
		.frame_max_bytes = q->peers->set->frame_max_bytes,
		.queue_max_bytes = q->peers->set->link_queue_max_bytes,
	};

	/* The client's timeout is for dialling only. */
	g_socket_set_timeout(g_socket_connection_get_socket(conn), 0);
	q->hello_received = false;
	q->link = link_create(conn, &conf, &link_ops, q);
	send_hello(q);
}

static void notify_state(struct peers *p, const char *name, bool up)
{
	for (guint i = 0; i < p->state_handlers->len; i++) {
		struct state_handler *h =
			&g_array_index(p->state_handlers, struct state_handler, i);

		h->fn(h->ctx, name, up);
	}
}

/* Calls the state handlers before it closes the link, so that they can check its queue. */
static void drop_link(struct peer *q)
{
	bool was_up = q->hello_received;

	q->hello_received = false;
	if (was_up && q->name)
		notify_state(q->peers, q->name, false);
	link_destroy(q->link);
	q->link = NULL;
}

static void on_link_closed(void *ctx, struct link *l, const char *why)
{
	struct peer *q = ctx;
	struct peers *p = q->peers;

	if (!q->name) {
		g_ptr_array_remove_fast(p->unidentified, q);
		return;
	}
	if (q->hello_received)
		log_info("link", q->name, "link closed: %s", why);
	drop_link(q);
	q->next_dial_ms = now_ms() + DIAL_MIN_MS;
}

static bool hello_is_valid(const struct peers *p, const Kw__Hello *h)
{
	if (h->version != PROTOCOL_VERSION) {
		log_warn("hello", h->daemon, "protocol version is %u, expected %u", h->version,
			 PROTOCOL_VERSION);
		return false;
	}
	if (strcmp(h->cell, p->set->cell) != 0) {
		log_warn("hello", h->daemon, "peer belongs to cell \"%s\"", h->cell);
		return false;
	}
	return h->daemon[0] != '\0' && strcmp(h->daemon, p->set->name) != 0;
}

/* Names an accepted link after its daemon and closes an older link of the same daemon. */
static void identify_peer(struct peers *p, struct peer *q, const char *name)
{
	struct peer *old = g_hash_table_lookup(p->by_name, name);
	guint i;

	if (old && old->link)
		drop_link(old);
	q->dialling = old && old->dialling;
	q->name = g_strdup(name);
	if (g_ptr_array_find(p->unidentified, q, &i))
		g_ptr_array_steal_index_fast(p->unidentified, i);
	g_hash_table_replace(p->by_name, q->name, q);
}

static void on_hello(struct peer *q, const Kw__Hello *h)
{
	struct peers *p = q->peers;

	if (q->hello_received)
		return;
	if (!hello_is_valid(p, h) || (q->name && strcmp(q->name, h->daemon) != 0)) {
		on_link_closed(q, q->link, "invalid Hello");
		return;
	}
	if (!q->name)
		identify_peer(p, q, h->daemon);
	q->hello_received = true;
	q->incarnation = h->incarnation;
	q->dial_delay_ms = DIAL_MIN_MS;
	members_heartbeat(p->members, q->name, h->incarnation, false, now_ms());
	log_info("link", q->name, "link is up");
	notify_state(p, q->name, true);
}

static void on_link_message(void *ctx, struct link *l, const Kw__Envelope *e, uint32_t size)
{
	struct peer *q = ctx;
	struct peers *p = q->peers;
	const struct message_handler *h;

	count_traffic(p, q, TRAFFIC_IN, e, size);
	if (e->body_case == KW__ENVELOPE__BODY_HELLO) {
		on_hello(q, e->hello);
		return;
	}
	if (!q->hello_received || e->body_case == KW__ENVELOPE__BODY__NOT_SET ||
	    e->body_case >= MESSAGE_KINDS)
		return;
	if (e->body_case == KW__ENVELOPE__BODY_BEAT)
		members_heartbeat(p->members, q->name, q->incarnation, e->beat->draining, now_ms());
	h = &p->handlers[e->body_case];
	if (h->fn)
		h->fn(h->ctx, q->name, e);
}

static gboolean on_incoming(GSocketService *service, GSocketConnection *conn, GObject *src,
			    gpointer data)
{
	struct peers *p = data;
	struct peer *q = g_new0(struct peer, 1);

	q->peers = p;
	g_ptr_array_add(p->unidentified, q);
	attach_link(q, conn);
	return TRUE;
}

/* A connection that is being opened. It doesn't hold the peer, which another link may replace. */
struct dial {
	struct peers *peers; /* freed if the dial was cancelled */
	char *name;
};

static void dial_free(struct dial *d)
{
	g_free(d->name);
	g_free(d);
}

static void finish_dial(struct peers *p, const char *name, GSocketConnection *conn,
			const GError *err)
{
	struct peer *q = g_hash_table_lookup(p->by_name, name);

	q->dialling = false;
	if (!conn) {
		if (g_error_matches(err, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED))
			members_conn_refused(p->members, name, now_ms());
		q->dial_delay_ms = MIN(q->dial_delay_ms * 2, DIAL_MAX_MS);
		q->next_dial_ms = now_ms() + q->dial_delay_ms;
		return;
	}
	if (!q->link)
		attach_link(q, conn);
}

static void on_dialled(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GError) err = NULL;
	g_autoptr(GSocketConnection) conn =
		g_socket_client_connect_finish(G_SOCKET_CLIENT(src), res, &err);
	struct dial *d = data;

	if (!g_error_matches(err, G_IO_ERROR, G_IO_ERROR_CANCELLED))
		finish_dial(d->peers, d->name, conn, err);
	dial_free(d);
}

static struct peer *get_or_create_peer(struct peers *p, const char *name)
{
	struct peer *q = g_hash_table_lookup(p->by_name, name);

	if (q)
		return q;
	q = g_new0(struct peer, 1);
	q->peers = p;
	q->name = g_strdup(name);
	q->dial_delay_ms = DIAL_MIN_MS;
	g_hash_table_insert(p->by_name, q->name, q);
	return q;
}

static void dial(struct peers *p, const struct member_info *m)
{
	struct peer *q = get_or_create_peer(p, m->name);
	g_autoptr(GInetAddress) ip = NULL;
	g_autoptr(GSocketAddress) addr = NULL;
	struct dial *d;

	if (q->link || q->dialling || now_ms() < q->next_dial_ms)
		return;
	ip = g_inet_address_new_from_string(m->host);
	if (!ip)
		return;
	addr = g_inet_socket_address_new(ip, m->port);
	q->dialling = true;
	d = g_new(struct dial, 1);
	*d = (struct dial){ .peers = p, .name = g_strdup(m->name) };
	g_socket_client_connect_async(p->client, G_SOCKET_CONNECTABLE(addr), p->cancel, on_dialled,
				      d);
}

void peers_dial(struct peers *p)
{
	const struct member_info *m;
	enum member_state state;

	for (size_t i = 0; (m = members_get(p->members, i, &state)); i++)
		if (strcmp(p->set->name, m->name) < 0)
			dial(p, m);
}

void peers_drop(struct peers *p, const char *peer)
{
	struct peer *q = g_hash_table_lookup(p->by_name, peer);

	if (!q || !q->link)
		return;
	drop_link(q);
	q->next_dial_ms = now_ms() + DIAL_MIN_MS;
}

struct peers *peers_create(const struct settings *set, struct members *members,
			   struct traffic *traffic, uint64_t incarnation)
{
	struct peers *p = g_new0(struct peers, 1);
	g_autoptr(GInetAddress) ip = g_inet_address_new_from_string(set->listen_host);
	g_autoptr(GSocketAddress) local = g_inet_socket_address_new(ip, 0);

	p->set = set;
	p->members = members;
	p->traffic = traffic;
	p->incarnation = incarnation;
	p->cancel = g_cancellable_new();
	p->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	p->unidentified = g_ptr_array_new_with_free_func(peer_free);
	p->state_handlers = g_array_new(FALSE, FALSE, sizeof(struct state_handler));
	p->client = g_socket_client_new();
	g_socket_client_set_enable_proxy(p->client, FALSE);
	g_socket_client_set_local_address(p->client, local);
	g_socket_client_set_timeout(p->client, DIAL_TIMEOUT_S);
	return p;
}

void peers_destroy(struct peers *p)
{
	if (!p)
		return;
	g_cancellable_cancel(p->cancel);
	if (p->service) {
		g_socket_service_stop(p->service);
		g_socket_listener_close(G_SOCKET_LISTENER(p->service));
		g_object_unref(p->service);
	}
	g_hash_table_destroy(p->by_name);
	g_ptr_array_unref(p->unidentified);
	g_array_unref(p->state_handlers);
	g_object_unref(p->client);
	g_object_unref(p->cancel);
	g_free(p);
}

bool peers_listen(struct peers *p, struct status *st)
{
	g_autoptr(GInetAddress) ip = g_inet_address_new_from_string(p->set->listen_host);
	g_autoptr(GSocketAddress) addr = g_inet_socket_address_new(ip, p->set->link_port);
	g_autoptr(GError) err = NULL;

	p->service = g_socket_service_new();
	g_socket_listener_set_backlog(G_SOCKET_LISTENER(p->service), BACKLOG);
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(p->service), addr,
					   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
					   &err))
		return status_set(st, STATUS_UNAVAILABLE, "listen", p->set->listen_host,
				  "link port %u: %s", p->set->link_port, err->message);
	g_signal_connect(p->service, "incoming", G_CALLBACK(on_incoming), p);
	g_socket_service_start(p->service);
	return true;
}

void peers_on_message(struct peers *p, Kw__Envelope__BodyCase kind, peers_message_fn fn, void *ctx)
{
	g_assert(kind < MESSAGE_KINDS && !p->handlers[kind].fn);
	p->handlers[kind] = (struct message_handler){ .fn = fn, .ctx = ctx };
}

void peers_on_state(struct peers *p, peers_state_fn fn, void *ctx)
{
	struct state_handler h = { .fn = fn, .ctx = ctx };

	g_array_append_val(p->state_handlers, h);
}

static struct peer *find_up(const struct peers *p, const char *name)
{
	struct peer *q = g_hash_table_lookup(p->by_name, name);

	return q && q->link && q->hello_received ? q : NULL;
}

bool peers_send(struct peers *p, const char *peer, const Kw__Envelope *e, uint64_t tag)
{
	struct peer *q = find_up(p, peer);

	return q && peer_send(q, e, tag);
}

bool peers_is_up(const struct peers *p, const char *peer)
{
	return find_up(p, peer) != NULL;
}

bool peers_unwritten(const struct peers *p, const char *peer, uint64_t tag)
{
	const struct peer *q = g_hash_table_lookup(p->by_name, peer);

	return q && q->link && link_unwritten(q->link, tag);
}

uint64_t peers_incarnation(const struct peers *p, const char *peer)
{
	const struct peer *q = find_up(p, peer);

	return q ? q->incarnation : 0;
}
