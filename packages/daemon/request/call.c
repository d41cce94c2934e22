#define G_LOG_DOMAIN "call"

#include <stdarg.h>
#include <stdio.h>

#include "call.h"
#include "log.h"

#define CALL_KINDS (KW__CALL_KIND__CALL_ADMIN + 1)

struct handler {
	call_handler_fn fn;
	void *ctx;
};

struct calls {
	struct peers *peers;
	char *self;
	uint64_t next_id;
	GHashTable *outgoing; /* id -> struct call, served by another daemon */
	GHashTable *incoming; /* peer and id -> struct call, served here */
	size_t n_local;
	struct handler handlers[CALL_KINDS];
};

struct call {
	struct calls *calls;
	uint64_t id;
	char *peer; /* the other daemon, NULL for a local call */
	char *key;  /* in calls->incoming */
	bool is_outgoing;
	bool is_incoming;
	const struct call_requester_ops *requester;
	void *requester_ctx;
	const struct call_server_ops *server;
	void *server_ctx;
	uint8_t *req; /* packed; for a local call, until its handler runs */
	size_t req_size;
	guint idle_source;
	uint64_t pending_credit_bytes;
};

static void call_free(struct call *c)
{
	if (c->idle_source)
		g_source_remove(c->idle_source);
	if (!c->peer)
		c->calls->n_local--;
	g_free(c->req);
	g_free(c->peer);
	g_free(c->key);
	g_free(c);
}

static char *incoming_key(const char *peer, uint64_t id)
{
	return g_strdup_printf("%s %" G_GUINT64_FORMAT, peer, id);
}

static void call_remove(struct call *c)
{
	struct calls *cs = c->calls;

	if (c->is_outgoing)
		g_hash_table_steal(cs->outgoing, &c->id);
	if (c->is_incoming)
		g_hash_table_steal(cs->incoming, c->key);
	call_free(c);
}

struct call_end *call_end_set(struct call_end *e, enum outcome outcome, uint32_t status,
			      const char *step, const char *peer, const char *fmt, ...)
{
	va_list ap;

	*e = (struct call_end){ .outcome = outcome, .status = status };
	g_strlcpy(e->step, step, sizeof(e->step));
	g_strlcpy(e->peer, peer ? peer : "", sizeof(e->peer));
	va_start(ap, fmt);
	vsnprintf(e->message, sizeof(e->message), fmt, ap);
	va_end(ap);
	return e;
}

static void end_unsupported(struct call *c, Kw__CallKind kind)
{
	struct call_end e;

	call_end(c, call_end_set(&e, OUTCOME_NOT_RUN, 501, "dispatch", c->calls->self,
				 "calls of kind %d are not served", (int)kind));
}

static void dispatch_call(struct call *c, const Kw__Call *req)
{
	struct calls *cs = c->calls;
	const struct handler *h = NULL;

	g_assert(cs);
	if ((unsigned int)req->kind < CALL_KINDS)
		h = &cs->handlers[req->kind];
	if (h && h->fn)
		h->fn(h->ctx, c, req);
	else
		end_unsupported(c, req->kind);
}

static gboolean on_local_open(gpointer data)
{
	struct call *c = data;
	Kw__Call *req = kw__call__unpack(NULL, c->req_size, c->req);

	c->idle_source = 0;
	g_clear_pointer(&c->req, g_free);
	dispatch_call(c, req);
	kw__call__free_unpacked(req, NULL);
	return G_SOURCE_REMOVE;
}

static struct call *open_local(struct calls *cs, const Kw__Call *req)
{
	struct call *c = g_new0(struct call, 1);

	c->calls = cs;
	c->id = req->id;
	c->req_size = kw__call__get_packed_size(req);
	c->req = g_malloc(c->req_size + 1);
	kw__call__pack(req, c->req);
	c->idle_source = g_idle_add_full(G_PRIORITY_DEFAULT, on_local_open, c, NULL);
	cs->n_local++;
	return c;
}

static struct call *open_remote(struct calls *cs, const char *dest, Kw__Call *req)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	struct call *c;

	e.body_case = KW__ENVELOPE__BODY_CALL;
	e.call = req;
	if (!peers_send(cs->peers, dest, &e, req->id))
		return NULL;
	c = g_new0(struct call, 1);
	c->calls = cs;
	c->id = req->id;
	c->peer = g_strdup(dest);
	c->is_outgoing = true;
	g_hash_table_insert(cs->outgoing, &c->id, c);
	return c;
}

struct call *call_open(struct calls *cs, const char *dest, Kw__Call *req,
		       const struct call_requester_ops *ops, void *ctx)
{
	struct call *c;

	req->id = cs->next_id++;
	c = g_str_equal(dest, cs->self) ? open_local(cs, req) : open_remote(cs, dest, req);
	if (!c)
		return NULL;
	c->requester = ops;
	c->requester_ctx = ctx;
	return c;
}

static void send_credit(struct call *c, uint32_t bytes)
{
	Kw__Credit credit = KW__CREDIT__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;

	credit.id = c->id;
	credit.bytes = bytes;
	e.body_case = KW__ENVELOPE__BODY_CREDIT;
	e.credit = &credit;
	peers_send(c->calls->peers, c->peer, &e, 0);
}

void call_credit(struct call *c, uint32_t bytes)
{
	if (c->is_outgoing)
		send_credit(c, bytes);
	else if (c->server)
		c->server->credit(c->server_ctx, bytes);
	else
		c->pending_credit_bytes += bytes;
}

static gboolean on_local_cancel(gpointer data)
{
	struct call *c = data;

	c->idle_source = 0;
	if (c->server)
		c->server->cancel(c->server_ctx, false);
	call_remove(c);
	return G_SOURCE_REMOVE;
}

static void send_cancel(struct call *c)
{
	Kw__Cancel cancel = KW__CANCEL__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;

	cancel.id = c->id;
	e.body_case = KW__ENVELOPE__BODY_CANCEL;
	e.cancel = &cancel;
	peers_send(c->calls->peers, c->peer, &e, 0);
}

void call_cancel(struct call *c)
{
	c->requester = NULL;
	if (c->is_outgoing) {
		send_cancel(c);
		call_remove(c);
		return;
	}
	/* Deferred to the main loop, since the server may be within call_data(). */
	if (c->idle_source)
		g_source_remove(c->idle_source);
	c->idle_source = g_idle_add_full(G_PRIORITY_DEFAULT, on_local_cancel, c, NULL);
}

void call_detach(struct call *c)
{
	if (c->is_outgoing)
		call_remove(c);
	else
		c->requester = NULL;
}

void call_serve(struct call *c, const struct call_server_ops *ops, void *ctx)
{
	c->server = ops;
	c->server_ctx = ctx;
	if (c->pending_credit_bytes)
		ops->credit(ctx, (uint32_t)c->pending_credit_bytes);
	c->pending_credit_bytes = 0;
}

void call_begin(struct call *c, const struct call_begin *b)
{
	Kw__Begin begin = KW__BEGIN__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;

	if (!c->is_incoming) {
		if (c->requester)
			c->requester->begin(c->requester_ctx, b);
		return;
	}
	begin.id = c->id;
	begin.status = b->status;
	begin.content_type = (char *)(b->content_type ? b->content_type : "");
	begin.length_bytes = b->length_bytes;
	begin.worker = (char *)(b->worker ? b->worker : "");
	e.body_case = KW__ENVELOPE__BODY_BEGIN;
	e.begin = &begin;
	peers_send(c->calls->peers, c->peer, &e, 0);
}

bool call_data(struct call *c, GBytes *data)
{
	Kw__Chunk chunk = KW__CHUNK__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;
	gsize size;

	if (!c->is_incoming) {
		if (c->requester)
			c->requester->data(c->requester_ctx, data);
		return true;
	}
	chunk.id = c->id;
	chunk.data.data = (uint8_t *)g_bytes_get_data(data, &size);
	chunk.data.len = size;
	e.body_case = KW__ENVELOPE__BODY_CHUNK;
	e.chunk = &chunk;
	return peers_send(c->calls->peers, c->peer, &e, 0);
}

static void send_end(struct call *c, const struct call_end *end)
{
	Kw__End msg = KW__END__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;

	msg.id = c->id;
	msg.outcome = (Kw__Outcome)end->outcome;
	msg.status = end->status;
	msg.step = (char *)end->step;
	msg.peer = (char *)end->peer;
	msg.message = (char *)end->message;
	msg.retry_after_ms = end->retry_after_ms;
	msg.total_bytes = end->total_bytes;
	msg.covered_workers = end->covered_workers;
	e.body_case = KW__ENVELOPE__BODY_END;
	e.end = &msg;
	peers_send(c->calls->peers, c->peer, &e, 0);
}

void call_end(struct call *c, const struct call_end *end)
{
	if (c->is_incoming)
		send_end(c, end);
	else if (c->requester)
		c->requester->end(c->requester_ctx, end);
	call_remove(c);
}

const char *call_requester(const struct call *c)
{
	return c->peer ? c->peer : c->calls->self;
}

static void on_call(void *ctx, const char *peer, const Kw__Envelope *e)
{
	struct calls *cs = ctx;
	struct call *c = g_new0(struct call, 1);

	c->calls = cs;
	c->id = e->call->id;
	c->peer = g_strdup(peer);
	c->key = incoming_key(peer, c->id);
	if (g_hash_table_contains(cs->incoming, c->key)) {
		log_warn("call", peer,
			 "call id %" G_GUINT64_FORMAT " is already in use, call dropped", c->id);
		call_free(c);
		return;
	}
	c->is_incoming = true;
	g_hash_table_insert(cs->incoming, c->key, c);
	dispatch_call(c, e->call);
}

/* The call that a message of the peer refers to, NULL if it isn't served by that peer. */
static struct call *find_outgoing(struct calls *cs, const char *peer, uint64_t id)
{
	struct call *c = g_hash_table_lookup(cs->outgoing, &id);

	return c && g_str_equal(c->peer, peer) ? c : NULL;
}

static void on_begin(void *ctx, const char *peer, const Kw__Envelope *e)
{
	struct call *c = find_outgoing(ctx, peer, e->begin->id);
	struct call_begin b = {
		.content_type = e->begin->content_type,
		.worker = e->begin->worker,
		.length_bytes = e->begin->length_bytes,
		.status = e->begin->status,
	};

	if (c)
		c->requester->begin(c->requester_ctx, &b);
}

static void on_chunk(void *ctx, const char *peer, const Kw__Envelope *e)
{
	struct call *c = find_outgoing(ctx, peer, e->chunk->id);
	g_autoptr(GBytes) data = NULL;

	if (!c)
		return;
	data = g_bytes_new(e->chunk->data.data, e->chunk->data.len);
	c->requester->data(c->requester_ctx, data);
}

static void on_end(void *ctx, const char *peer, const Kw__Envelope *e)
{
	struct call *c = find_outgoing(ctx, peer, e->end->id);
	struct call_end end = {
		.outcome = (enum outcome)e->end->outcome,
		.status = e->end->status,
		.retry_after_ms = e->end->retry_after_ms,
		.total_bytes = e->end->total_bytes,
		.covered_workers = e->end->covered_workers,
	};

	if (!c)
		return;
	g_strlcpy(end.step, e->end->step, sizeof(end.step));
	g_strlcpy(end.peer, e->end->peer, sizeof(end.peer));
	g_strlcpy(end.message, e->end->message, sizeof(end.message));
	c->requester->end(c->requester_ctx, &end);
	call_remove(c);
}

static struct call *find_incoming(struct calls *cs, const char *peer, uint64_t id)
{
	g_autofree char *key = incoming_key(peer, id);

	return g_hash_table_lookup(cs->incoming, key);
}

static void on_credit(void *ctx, const char *peer, const Kw__Envelope *e)
{
	struct call *c = find_incoming(ctx, peer, e->credit->id);

	if (c && c->server)
		c->server->credit(c->server_ctx, e->credit->bytes);
	else if (c)
		c->pending_credit_bytes += e->credit->bytes;
}

static void on_cancel(void *ctx, const char *peer, const Kw__Envelope *e)
{
	struct call *c = find_incoming(ctx, peer, e->cancel->id);

	if (!c)
		return;
	if (c->server)
		c->server->cancel(c->server_ctx, false);
	call_remove(c);
}

/* Ids instead of pointers, since ending one call may end others in the list. */
static GArray *outgoing_ids(const struct calls *cs, const char *peer)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, cs->outgoing);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct call *c = value;

		if (g_str_equal(c->peer, peer))
			g_array_append_val(ids, c->id);
	}
	return ids;
}

static GPtrArray *incoming_keys(const struct calls *cs, const char *peer)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, cs->incoming);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct call *c = value;

		if (g_str_equal(c->peer, peer))
			g_ptr_array_add(keys, g_strdup(c->key));
	}
	return keys;
}

static void end_disconnected(struct call *c)
{
	bool unwritten = peers_unwritten(c->calls->peers, c->peer, c->id);
	struct call_end e;

	if (unwritten)
		call_end_set(&e, OUTCOME_NOT_RUN, 503, "send", c->peer,
			     "the link closed before the call was written");
	else
		call_end_set(&e, OUTCOME_UNKNOWN, 504, "await", c->peer,
			     "the link closed before the answer came");
	c->requester->end(c->requester_ctx, &e);
	call_remove(c);
}

static void cancel_disconnected(struct call *c)
{
	if (c->server)
		c->server->cancel(c->server_ctx, true);
	call_remove(c);
}

static void on_peer_state(void *ctx, const char *peer, bool up)
{
	struct calls *cs = ctx;
	g_autoptr(GArray) ids = NULL;
	g_autoptr(GPtrArray) keys = NULL;
	struct call *c;

	if (up)
		return;
	ids = outgoing_ids(cs, peer);
	for (guint i = 0; i < ids->len; i++) {
		c = g_hash_table_lookup(cs->outgoing, &g_array_index(ids, uint64_t, i));
		if (c)
			end_disconnected(c);
	}
	keys = incoming_keys(cs, peer);
	for (guint i = 0; i < keys->len; i++) {
		c = g_hash_table_lookup(cs->incoming, keys->pdata[i]);
		if (c)
			cancel_disconnected(c);
	}
}

Kw__Call *call_request_copy(const Kw__Call *req)
{
	size_t size = kw__call__get_packed_size(req);
	g_autofree uint8_t *buf = g_malloc(size + 1);

	kw__call__pack(req, buf);
	return kw__call__unpack(NULL, size, buf);
}

struct calls *calls_create(struct peers *peers, const char *self, uint64_t first_id)
{
	struct calls *cs = g_new0(struct calls, 1);

	cs->peers = peers;
	cs->self = g_strdup(self);
	cs->next_id = first_id;
	cs->outgoing = g_hash_table_new(g_int64_hash, g_int64_equal);
	cs->incoming = g_hash_table_new(g_str_hash, g_str_equal);
	peers_on_message(peers, KW__ENVELOPE__BODY_CALL, on_call, cs);
	peers_on_message(peers, KW__ENVELOPE__BODY_BEGIN, on_begin, cs);
	peers_on_message(peers, KW__ENVELOPE__BODY_CHUNK, on_chunk, cs);
	peers_on_message(peers, KW__ENVELOPE__BODY_END, on_end, cs);
	peers_on_message(peers, KW__ENVELOPE__BODY_CREDIT, on_credit, cs);
	peers_on_message(peers, KW__ENVELOPE__BODY_CANCEL, on_cancel, cs);
	peers_on_state(peers, on_peer_state, cs);
	return cs;
}

void calls_destroy(struct calls *cs)
{
	if (!cs)
		return;
	g_hash_table_destroy(cs->outgoing);
	g_hash_table_destroy(cs->incoming);
	g_free(cs->self);
	g_free(cs);
}

void calls_set_handler(struct calls *cs, Kw__CallKind kind, call_handler_fn fn, void *ctx)
{
	g_assert((unsigned int)kind < CALL_KINDS);
	cs->handlers[kind] = (struct handler){ .fn = fn, .ctx = ctx };
}

size_t calls_open_count(const struct calls *cs)
{
	return g_hash_table_size(cs->outgoing) + g_hash_table_size(cs->incoming) + cs->n_local;
}
