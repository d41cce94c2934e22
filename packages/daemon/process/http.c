#define G_LOG_DOMAIN "http"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <json-glib/json-glib.h>

#include "body_budget.h"
#include "fields.h"
#include "http.h"
#include "idle_set.h"
#include "lingering.h"
#include "log.h"
#include "prefixed_stream.h"

#define BACKLOG		1024
#define PRUNE_MIN	64    /* connections */
#define AHEAD_BYTES	4096  /* of one read */
#define AHEAD_MAX	65536 /* bytes; more than libsoup reads ahead */
#define EVICT_IDLE_MS	1000
#define ACCEPT_BATCH	16 /* connections accepted in one turn of the loop */
#define ACCEPT_PAUSE_MS 100
#define CONN_KEY	"kw-connection"
#define LIMITS_KEY	"kw-limits"
/* A body of up to this many times the limit is discarded, so that the caller can read the 413. */
#define DISCARD_LIMIT_FACTOR 16
#define CONNECTION_BYTES     8192 /* buffers of a connection */
#define BODY_RETRY_AFTER_S   "1"
/* Of the connections at the limit, those that were refused and linger. */
#define REFUSED_DIVISOR 16
#define REFUSED_MAX	64
#define FULL_TEXT                                                                                  \
	"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"              \
	"Content-Length: 0\r\n\r\n"
/* libsoup reads this much of a header that doesn't end, and the system holds more. */
#define HEADER_HELD_BYTES 81920
#define HEADER_TIMEOUT_MS 3000
#define EXTENSION_MS	  500
#define UNFINISHED_MIN	  8 /* connections */

struct route {
	char *method;
	char *prefix;
	http_route_fn fn;
	void *ctx;
};

struct http {
	const struct settings *set;
	SoupServer *server;
	GSocket *listener;
	GSource *accept_source;
	guint accept_timer;
	GPtrArray *routes;
	GPtrArray *connections;	   /* struct conn; closed ones stay until prune_closed() */
	guint prune_at;		   /* number of connections */
	struct lingering *refused; /* connections; NULL until the server listens */
	struct idle_set *parked;   /* connections that libsoup doesn't know */
	struct body_budget *budget;
	GQueue unfinished;	 /* struct read_limits, oldest first */
	uint32_t unfinished_max; /* 0: not limited */
	struct http_refusals refusals;
	uint32_t body_timeout_ms; /* 0: headers and body have idle_ms together */
	uint32_t refs;		  /* of the owner and of requests, which may outlive the server */
	bool draining;
};

/* A caller's connection; shared by the server and libsoup's messages. */
struct conn {
	GSocket *sock;
	GWeakRef stream;   /* GIOStream that was given to libsoup */
	guint park_source; /* takes it away from libsoup; 0 for none */
	int64_t idle_since_us;
	bool serving;	/* libsoup has it, from the first byte of a request on */
	bool answering; /* from the whole request to the end of its answer */
};

/* A connection that waits for the first byte of a request; libsoup doesn't know it. */
struct parked {
	struct conn *conn;
	GIOStream *stream; /* NULL before the first request */
	GSocketAddress *local, *remote;
};

/* Enforces the limits while a request is read. */
struct read_limits {
	struct http *http;
	SoupServerMessage *msg;
	GList *unfinished; /* link, while the headers aren't whole */
	guint timer;
	uint64_t body_bytes;
	uint64_t held_bytes; /* of the budget */
	bool has_headers;
	bool extended;	   /* the time was over before the process read what had arrived */
	bool buffers_held; /* CONNECTION_BYTES are counted */
	bool refused;	   /* answered; the rest of the body is discarded */
};

static void route_free(gpointer data)
{
	struct route *r = data;

	g_free(r->method);
	g_free(r->prefix);
	g_free(r);
}

char *http_query(SoupServerMessage *msg, const char *key)
{
	const char *query = g_uri_get_query(soup_server_message_get_uri(msg));
	g_autoptr(GHashTable) form = query ? soup_form_decode(query) : NULL;

	return form ? g_strdup(g_hash_table_lookup(form, key)) : NULL;
}

void http_reply_json(SoupServerMessage *msg, uint32_t status, const char *text)
{
	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_COPY, text,
					 strlen(text));
}

static char *problem_text(const struct call_end *e)
{
	g_autoptr(JsonBuilder) b = json_builder_new();

	json_builder_begin_object(b);
	fields_add_text(b, "title", soup_status_get_phrase(e->status));
	fields_add_number(b, "status", e->status);
	fields_add_text(b, "outcome", outcome_name(e->outcome));
	fields_add_text(b, "step", e->step);
	fields_add_text(b, "peer", e->peer);
	fields_add_text(b, "detail", e->message);
	if (e->retry_after_ms)
		fields_add_number(b, "retry_after_ms", e->retry_after_ms);
	json_builder_end_object(b);
	return fields_end(b);
}

void http_reply_problem(SoupServerMessage *msg, const struct call_end *e)
{
	SoupMessageHeaders *h = soup_server_message_get_response_headers(msg);
	g_autofree char *body = problem_text(e);

	soup_server_message_set_status(msg, e->status, NULL);
	soup_server_message_set_response(msg, "application/problem+json", SOUP_MEMORY_COPY, body,
					 strlen(body));
	if (e->retry_after_ms) {
		g_autofree char *s = g_strdup_printf("%u", (e->retry_after_ms + 999) / 1000);

		soup_message_headers_replace(h, "Retry-After", s);
	}
}

static void conn_clear(gpointer data)
{
	struct conn *k = data;

	g_weak_ref_clear(&k->stream);
	g_object_unref(k->sock);
}

static void conn_unref(gpointer data)
{
	g_rc_box_release_full(data, conn_clear);
}

static struct conn *conn_create(GSocket *sock)
{
	struct conn *k = g_rc_box_new0(struct conn);

	k->sock = g_object_ref(sock);
	g_weak_ref_init(&k->stream, NULL);
	k->idle_since_us = g_get_monotonic_time();
	return k;
}

/* libsoup tells the sockets only of connections that it has accepted itself. */
static struct conn *get_conn(SoupServerMessage *msg)
{
	GSocketAddress *remote = soup_server_message_get_remote_address(msg);

	return remote ? g_object_get_data(G_OBJECT(remote), CONN_KEY) : NULL;
}

static GSocket *get_socket(SoupServerMessage *msg)
{
	const struct conn *k = get_conn(msg);

	return k ? k->sock : NULL;
}

void http_abort(SoupServerMessage *msg)
{
	GSocket *sock = get_socket(msg);

	if (sock)
		g_socket_shutdown(sock, TRUE, TRUE, NULL);
	/* Otherwise libsoup waits forever for the rest of the body. */
	soup_message_body_complete(soup_server_message_get_response_body(msg));
}

static void http_unref(struct http *h)
{
	if (--h->refs)
		return;
	g_ptr_array_unref(h->connections);
	body_budget_destroy(h->budget);
	g_queue_clear(&h->unfinished);
	g_free(h);
}

static void release_body(struct read_limits *r)
{
	if (!r->held_bytes)
		return;
	body_budget_release(r->http->budget, &r->held_bytes);
	/* libsoup 3.2 doesn't free the messages of all connections. */
	soup_message_body_truncate(soup_server_message_get_request_body(r->msg));
}

static void remove_unfinished(struct read_limits *r)
{
	if (!r->unfinished)
		return;
	g_queue_delete_link(&r->http->unfinished, r->unfinished);
	r->unfinished = NULL;
	body_budget_release_other(r->http->budget, HEADER_HELD_BYTES);
}

/* Closes the connection whose headers have been unfinished for longest, if there are too many. */
static void add_unfinished(struct read_limits *r)
{
	struct http *h = r->http;

	if (h->unfinished_max && h->unfinished.length >= h->unfinished_max) {
		struct read_limits *oldest = g_queue_peek_head(&h->unfinished);

		remove_unfinished(oldest);
		h->refusals.headers_evicted++;
		http_abort(oldest->msg);
	}
	g_queue_push_tail(&h->unfinished, r);
	r->unfinished = h->unfinished.tail;
	body_budget_hold_other(h->budget, HEADER_HELD_BYTES);
}

static void release_buffers(struct read_limits *r)
{
	if (r->buffers_held)
		body_budget_release_other(r->http->budget, CONNECTION_BYTES);
	r->buffers_held = false;
}

static void read_limits_free(gpointer data, GClosure *closure)
{
	struct read_limits *r = data;

	if (r->timer)
		g_source_remove(r->timer);
	remove_unfinished(r);
	release_buffers(r);
	body_budget_release(r->http->budget, &r->held_bytes);
	http_unref(r->http);
	g_free(r);
}

/*
 * Answers before the body was read, which libsoup can't. The rest of the body is discarded: closing
 * at once would reset the connection, and the caller might lose the answer.
 */
static void refuse_body(struct read_limits *r, uint32_t status, const char *headers)
{
	GSocket *sock = get_socket(r->msg);
	g_autofree char *text = g_strdup_printf("HTTP/1.1 %u %s\r\nConnection: close\r\n%s"
						"Content-Length: 0\r\n\r\n",
						status, soup_status_get_phrase(status), headers);
	SoupMessageBody *body = soup_server_message_get_request_body(r->msg);

	r->refused = true;
	body_budget_release(r->http->budget, &r->held_bytes);
	soup_message_body_set_accumulate(body, FALSE);
	soup_message_body_truncate(body);
	soup_server_message_set_status(r->msg, status, NULL);
	soup_message_headers_replace(soup_server_message_get_response_headers(r->msg), "Connection",
				     "close");
	if (!sock || g_socket_send_with_blocking(sock, text, strlen(text), FALSE, NULL, NULL) < 0)
		return;
	g_socket_shutdown(sock, FALSE, TRUE, NULL);
}

/* Whether the caller has sent bytes that were not read yet. */
static bool has_unread_bytes(GSocket *sock)
{
	char byte;

	return recv(g_socket_get_fd(sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Gives a request more time, once, if the process was paused and hasn't read all that came. */
static bool extend_time(struct read_limits *r, GSourceFunc on_timeout)
{
	GSocket *sock = get_socket(r->msg);

	if (r->extended || !sock || !has_unread_bytes(sock))
		return false;
	r->extended = true;
	r->timer = g_timeout_add(EXTENSION_MS, on_timeout, r);
	return true;
}

static gboolean on_read_timeout(gpointer data)
{
	struct read_limits *r = data;

	r->timer = 0;
	if (extend_time(r, on_read_timeout))
		return G_SOURCE_REMOVE;
	if (!r->has_headers)
		r->http->refusals.headers_late++;
	log_info("read", soup_server_message_get_remote_host(r->msg),
		 "request not received in time, closing the connection");
	http_abort(r->msg);
	return G_SOURCE_REMOVE;
}

static gboolean on_body_timeout(gpointer data)
{
	struct read_limits *r = data;

	if (extend_time(r, on_body_timeout))
		return G_SOURCE_REMOVE;
	if (!r->refused) {
		r->http->refusals.bodies_late++;
		refuse_body(r, 408, "");
		/* A caller that sends on would be reset, and might lose the answer. */
		r->extended = true;
		r->timer = g_timeout_add_seconds(LINGER_S, on_read_timeout, r);
		return G_SOURCE_REMOVE;
	}
	/* Bytes that came since can't turn a refused request into another one. */
	r->extended = true;
	return on_read_timeout(data);
}

/* False, with an answer of 503, if the process can't hold this much of the body. */
static bool hold_body(struct read_limits *r, uint64_t bytes)
{
	if (body_budget_grow(r->http->budget, &r->held_bytes, bytes))
		return true;
	r->http->refusals.bodies_over_budget++;
	refuse_body(r, 503, "Retry-After: " BODY_RETRY_AFTER_S "\r\n");
	return false;
}

static void reply_too_large(SoupServerMessage *msg, uint32_t status, const char *what, uint32_t max)
{
	struct call_end e;

	if (soup_server_message_get_status(msg) == status)
		return;
	soup_message_headers_replace(soup_server_message_get_response_headers(msg), "Connection",
				     "close");
	http_reply_problem(msg, call_end_set(&e, OUTCOME_NOT_RUN, status, "read", "",
					     "%s larger than %u bytes", what, max));
}

static void add_size(const char *name, const char *value, gpointer data)
{
	*(uint64_t *)data += strlen(name) + strlen(value) + 4;
}

static void on_got_headers(SoupServerMessage *msg, gpointer data)
{
	struct read_limits *r = data;
	const struct settings *set = r->http->set;
	SoupMessageHeaders *h = soup_server_message_get_request_headers(msg);
	uint64_t size = 0;

	remove_unfinished(r);
	r->has_headers = true;
	soup_message_headers_foreach(h, add_size, &size);
	if (size > set->header_max_bytes)
		reply_too_large(msg, 431, "headers are", set->header_max_bytes);
	else if (soup_message_headers_get_content_length(h) > set->body_max_bytes)
		reply_too_large(msg, 413, "the body is", set->body_max_bytes);
	else
		hold_body(r, (uint64_t)soup_message_headers_get_content_length(h));
	if (!r->http->body_timeout_ms || !r->timer)
		return;
	g_source_remove(r->timer);
	r->timer = g_timeout_add(r->http->body_timeout_ms, on_body_timeout, r);
}

static void on_got_chunk(SoupServerMessage *msg, GBytes *chunk, gpointer data)
{
	struct read_limits *r = data;
	const struct settings *set = r->http->set;

	r->body_bytes += g_bytes_get_size(chunk);
	if (r->body_bytes <= set->body_max_bytes) {
		if (!r->refused)
			hold_body(r, r->body_bytes);
		return;
	}
	if (!r->refused)
		reply_too_large(msg, 413, "the body is", set->body_max_bytes);
	soup_message_body_set_accumulate(soup_server_message_get_request_body(msg), FALSE);
	soup_message_body_truncate(soup_server_message_get_request_body(msg));
	if (r->body_bytes > (uint64_t)DISCARD_LIMIT_FACTOR * set->body_max_bytes)
		http_abort(msg);
}

static void on_request_aborted(SoupServer *server, SoupServerMessage *msg, gpointer data)
{
	struct read_limits *r = g_object_get_data(G_OBJECT(msg), LIMITS_KEY);

	if (!r)
		return;
	release_body(r);
	remove_unfinished(r);
	release_buffers(r);
}

static void on_got_body(SoupServerMessage *msg, gpointer data)
{
	struct read_limits *r = data;

	if (r->timer)
		g_source_remove(r->timer);
	r->timer = 0;
}

static void prune_closed(void *ctx)
{
	struct http *h = ctx;

	for (guint i = h->connections->len; i > 0; i--)
		if (g_socket_is_closed(((const struct conn *)h->connections->pdata[i - 1])->sock))
			g_ptr_array_remove_index_fast(h->connections, i - 1);
	h->prune_at = MAX(2 * h->connections->len, PRUNE_MIN);
}

/*
 * Whether the connection has been without a request since then. One with a part of a request isn't
 * idle, also if the process hasn't read it yet, as after a pause.
 */
static bool is_idle(const struct conn *k, int64_t since_us)
{
	return !k->serving && k->idle_since_us <= since_us && !has_unread_bytes(k->sock);
}

static void close_connection(struct http *h, guint at)
{
	const struct conn *k = h->connections->pdata[at];

	g_socket_shutdown(k->sock, TRUE, TRUE, NULL);
	g_ptr_array_remove_index_fast(h->connections, at);
}

/* Closes the connection that has been idle for longest; false if there is none. */
static bool evict_idle(struct http *h)
{
	int64_t oldest_us = g_get_monotonic_time() - EVICT_IDLE_MS * G_GINT64_CONSTANT(1000);
	guint found = G_MAXUINT;

	for (guint i = 0; i < h->connections->len; i++) {
		const struct conn *k = h->connections->pdata[i];

		if (!is_idle(k, oldest_us))
			continue;
		oldest_us = k->idle_since_us;
		found = i;
	}
	if (found == G_MAXUINT)
		return false;
	close_connection(h, found);
	h->refusals.connections_evicted++;
	return true;
}

static uint32_t refused_max(const struct http *h)
{
	return MIN(h->set->connections_max / REFUSED_DIVISOR, REFUSED_MAX);
}

/* Makes room for a connection; false if there are too many. */
static bool has_room(struct http *h)
{
	uint32_t max = h->set->connections_max - refused_max(h);

	if (h->connections->len < MIN(max, h->prune_at))
		return true;
	prune_closed(h);
	return h->connections->len < max || evict_idle(h);
}

static void parked_free(gpointer data)
{
	struct parked *q = data;

	g_clear_object(&q->stream);
	g_object_unref(q->local);
	g_object_unref(q->remote);
	conn_unref(q->conn);
	g_free(q);
}

/* Takes over the parked connection. */
static void park(struct http *h, struct parked *q)
{
	struct conn *k = q->conn;

	k->serving = false;
	if (!idle_set_add(h->parked, k->sock, h->set->idle_ms, q))
		g_socket_close(k->sock, NULL);
}

/* Gives the connection to libsoup. Takes over q and the stream. */
static void hand_over(struct http *h, struct parked *q, GIOStream *stream)
{
	q->conn->serving = true;
	soup_server_accept_iostream(h->server, stream, q->local, q->remote, NULL);
	g_object_unref(stream);
	parked_free(q);
}

/* Called at the first byte of a request, at the connection's end, or after idle_ms. */
static void on_parked_event(void *ctx, GSocket *sock, void *data)
{
	struct http *h = ctx;
	struct parked *q = data;

	if (g_socket_is_closed(sock) || !has_unread_bytes(sock)) {
		g_socket_close(sock, NULL);
	} else {
		if (!q->stream)
			q->stream =
				G_IO_STREAM(g_socket_connection_factory_create_connection(sock));
		g_weak_ref_set(&q->conn->stream, q->stream);
		hand_over(h, q, g_object_ref(q->stream));
		return;
	}
	parked_free(q);
}

/* Takes the bytes of a next request that libsoup has read; false at the end of the connection. */
static bool read_ahead(GIOStream *taken, GByteArray *ahead)
{
	GPollableInputStream *in = G_POLLABLE_INPUT_STREAM(g_io_stream_get_input_stream(taken));
	guint8 buf[AHEAD_BYTES];
	g_autoptr(GError) err = NULL;
	gssize n;

	do {
		n = g_pollable_input_stream_read_nonblocking(in, buf, sizeof(buf), NULL, &err);
		if (n > 0)
			g_byte_array_append(ahead, buf, (guint)n);
	} while (n > 0 && ahead->len < AHEAD_MAX);
	return n > 0 || (n < 0 && g_error_matches(err, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK));
}

/*
 * Takes the connection of an answered request away from libsoup, whose sources would cost time in
 * each turn of the loop. What libsoup has read ahead goes back to it with the connection.
 */
static void park_answered(struct http *h, struct conn *k, SoupServerMessage *msg)
{
	struct parked *q = g_new0(struct parked, 1);
	g_autoptr(GIOStream) taken = NULL;
	g_autoptr(GByteArray) ahead = g_byte_array_new();

	q->conn = g_rc_box_acquire(k);
	q->local = g_object_ref(soup_server_message_get_local_address(msg));
	q->remote = g_object_ref(soup_server_message_get_remote_address(msg));
	q->stream = g_weak_ref_get(&k->stream);
	/* Wraps the stream that was given to libsoup. */
	taken = soup_server_message_steal_connection(msg);
	if (!taken || !q->stream || !read_ahead(taken, ahead)) {
		g_socket_close(k->sock, NULL);
		parked_free(q);
		return;
	}
	if (!ahead->len) {
		park(h, q);
		return;
	}
	hand_over(h, q, prefixed_stream_new(q->stream, ahead));
}

struct park_call {
	struct http *http;
	SoupServerMessage *msg;
};

static void park_call_free(gpointer data)
{
	struct park_call *p = data;

	g_object_unref(p->msg);
	http_unref(p->http);
	g_free(p);
}

static gboolean on_park(gpointer data)
{
	struct park_call *p = data;
	struct conn *k = get_conn(p->msg);

	k->park_source = 0;
	if (p->http->parked && !g_socket_is_closed(k->sock))
		park_answered(p->http, k, p->msg);
	return G_SOURCE_REMOVE;
}

/*
 * libsoup 3.2 never frees a keep-alive connection whose end it reads after an answer, and fails if
 * it is then taken away. So it is taken away before libsoup's sources are next looked at, hence the
 * high priority.
 */
static void park_soon(struct http *h, struct conn *k, SoupServerMessage *msg)
{
	struct park_call *p = g_new(struct park_call, 1);

	h->refs++;
	*p = (struct park_call){ h, g_object_ref(msg) };
	k->park_source = g_idle_add_full(G_PRIORITY_HIGH, on_park, p, park_call_free);
}

static bool is_keep_alive(SoupServerMessage *msg)
{
	SoupMessageHeaders *in = soup_server_message_get_request_headers(msg);
	SoupMessageHeaders *out = soup_server_message_get_response_headers(msg);

	return soup_server_message_get_http_version(msg) == SOUP_HTTP_1_1 &&
	       !soup_message_headers_header_contains(in, "Connection", "close") &&
	       !soup_message_headers_header_contains(out, "Connection", "close");
}

static void on_request_finished(SoupServer *server, SoupServerMessage *msg, gpointer data)
{
	struct http *h = data;
	struct conn *k = get_conn(msg);
	struct read_limits *limits = g_object_get_data(G_OBJECT(msg), LIMITS_KEY);

	if (limits) {
		release_body(limits);
		release_buffers(limits);
	}
	if (!k)
		return;
	k->answering = false;
	k->idle_since_us = g_get_monotonic_time();
	if (h->parked && !g_socket_is_closed(k->sock) && is_keep_alive(msg))
		park_soon(h, k, msg);
}

static void on_request_started(SoupServer *server, SoupServerMessage *msg, gpointer data)
{
	struct http *h = data;
	struct conn *k = get_conn(msg);
	struct read_limits *r;

	/* libsoup had the whole first line of the next request already. */
	if (k && k->park_source) {
		g_source_remove(k->park_source);
		k->park_source = 0;
	}
	r = g_new0(struct read_limits, 1);
	r->http = h;
	h->refs++;
	r->msg = msg;
	r->timer = g_timeout_add(h->unfinished_max ? MIN(HEADER_TIMEOUT_MS, h->set->idle_ms)
						   : h->set->idle_ms,
				 on_read_timeout, r);
	add_unfinished(r);
	r->buffers_held = true;
	body_budget_hold_other(h->budget, CONNECTION_BYTES);
	g_object_set_data(G_OBJECT(msg), LIMITS_KEY, r);
	g_signal_connect_data(msg, "got-headers", G_CALLBACK(on_got_headers), r, read_limits_free,
			      0);
	g_signal_connect(msg, "got-chunk", G_CALLBACK(on_got_chunk), r);
	g_signal_connect(msg, "got-body", G_CALLBACK(on_got_body), r);
}

static void reply_not_routed(SoupServerMessage *msg, bool path_known)
{
	struct call_end e;

	if (path_known)
		call_end_set(&e, OUTCOME_NOT_RUN, 405, "route", "", "%s is not served on this path",
			     soup_server_message_get_method(msg));
	else
		call_end_set(&e, OUTCOME_NOT_RUN, 404, "route", "", "no such path");
	http_reply_problem(msg, &e);
}

static void on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer data)
{
	struct http *h = data;
	struct conn *k = get_conn(msg);
	bool path_known = false;

	if (k)
		k->answering = true;
	if (soup_server_message_get_status(msg) >= 400)
		return;
	if (h->draining)
		soup_message_headers_replace(soup_server_message_get_response_headers(msg),
					     "Connection", "close");
	for (guint i = 0; i < h->routes->len; i++) {
		const struct route *r = h->routes->pdata[i];

		if (!g_str_has_prefix(path, r->prefix))
			continue;
		path_known = true;
		if (!g_str_equal(soup_server_message_get_method(msg), r->method))
			continue;
		r->fn(r->ctx, msg, path + strlen(r->prefix));
		return;
	}
	reply_not_routed(msg, path_known);
}

struct http *http_create(const struct settings *set)
{
	struct http *h = g_new0(struct http, 1);

	h->set = set;
	h->refs = 1;
	h->budget = body_budget_create(0, prune_closed, h);
	h->server = soup_server_new("server-header", "knapweedwheel", NULL);
	h->connections = g_ptr_array_new_with_free_func(conn_unref);
	h->routes = g_ptr_array_new_with_free_func(route_free);
	g_signal_connect(h->server, "request-started", G_CALLBACK(on_request_started), h);
	g_signal_connect(h->server, "request-finished", G_CALLBACK(on_request_finished), h);
	g_signal_connect(h->server, "request-aborted", G_CALLBACK(on_request_aborted), h);
	soup_server_add_handler(h->server, NULL, on_request, h, NULL);
	return h;
}

void http_set_body_limits(struct http *h, uint64_t budget_bytes, uint32_t timeout_ms)
{
	body_budget_destroy(h->budget);
	h->budget = body_budget_create(budget_bytes, prune_closed, h);
	h->body_timeout_ms = timeout_ms;
}

void http_set_header_budget(struct http *h, uint64_t budget_bytes)
{
	h->unfinished_max = (uint32_t)MAX(budget_bytes / HEADER_HELD_BYTES, UNFINISHED_MIN);
}

void http_get_refusals(const struct http *h, struct http_refusals *r)
{
	*r = h->refusals;
}

/* libsoup's own listener has a backlog of 10, which overflows under a burst of connections. */
static GSocket *open_listener(const struct settings *set, GError **err)
{
	g_autoptr(GSocketAddress) addr =
		g_inet_socket_address_new_from_string(set->listen_host, set->http_port);
	g_autoptr(GSocket) sock = NULL;

	if (!addr) {
		g_set_error(err, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "not an IP address");
		return NULL;
	}
	sock = g_socket_new(g_socket_address_get_family(addr), G_SOCKET_TYPE_STREAM,
			    G_SOCKET_PROTOCOL_TCP, err);
	if (!sock)
		return NULL;
	g_socket_set_listen_backlog(sock, BACKLOG);
	if (!g_socket_bind(sock, addr, TRUE, err) || !g_socket_listen(sock, err))
		return NULL;
	return g_steal_pointer(&sock);
}

static gboolean on_connection(GSocket *listener, GIOCondition cond, gpointer data);

static void start_accepting(struct http *h)
{
	h->accept_source = g_socket_create_source(h->listener, G_IO_IN, NULL);
	g_source_set_callback(h->accept_source, G_SOURCE_FUNC(on_connection), h, NULL);
	g_source_attach(h->accept_source, NULL);
}

static void stop_accepting(struct http *h)
{
	if (h->accept_timer)
		g_source_remove(h->accept_timer);
	h->accept_timer = 0;
	if (!h->accept_source)
		return;
	g_source_destroy(h->accept_source);
	g_clear_pointer(&h->accept_source, g_source_unref);
}

static gboolean on_accept_again(gpointer data)
{
	struct http *h = data;

	h->accept_timer = 0;
	start_accepting(h);
	return G_SOURCE_REMOVE;
}

/* The listener stays readable while accept() fails, so polling it on would take the whole core. */
static void pause_accepting(struct http *h, const GError *err)
{
	h->refusals.accepts_failed++;
	log_warn("accept", "", "%s; trying again in %u ms", err->message, ACCEPT_PAUSE_MS);
	stop_accepting(h);
	h->accept_timer = g_timeout_add(ACCEPT_PAUSE_MS, on_accept_again, h);
}

static void refuse_connection(struct http *h, GSocket *sock)
{
	if (g_socket_send_with_blocking(sock, FULL_TEXT, strlen(FULL_TEXT), FALSE, NULL, NULL) <=
	    0) {
		g_socket_close(sock, NULL);
		return;
	}
	g_socket_shutdown(sock, FALSE, TRUE, NULL);
	lingering_add(h->refused, sock);
}

static void serve_connection(struct http *h, GSocket *sock)
{
	g_autoptr(GSocketAddress) local = NULL;
	g_autoptr(GSocketAddress) peer = NULL;
	struct parked *q;

	if (!has_room(h)) {
		h->refusals.connections_over_limit++;
		refuse_connection(h, sock);
		return;
	}
	/* Fails if the caller has reset the connection already. */
	peer = g_socket_get_remote_address(sock, NULL);
	local = g_socket_get_local_address(sock, NULL);
	if (!peer || !local) {
		g_socket_close(sock, NULL);
		return;
	}
	/* A copy, as the socket has a reference to its own address. */
	q = g_new0(struct parked, 1);
	q->local = g_steal_pointer(&local);
	q->remote = g_inet_socket_address_new(
		g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(peer)),
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(peer)));
	q->conn = conn_create(sock);
	g_ptr_array_add(h->connections, g_rc_box_acquire(q->conn));
	g_object_set_data_full(G_OBJECT(q->remote), CONN_KEY, g_rc_box_acquire(q->conn),
			       conn_unref);
	g_socket_set_option(sock, IPPROTO_TCP, TCP_NODELAY, TRUE, NULL);
	park(h, q);
}

/*
 * At the limit, the next connection waits in the backlog if it would end the time of a refused one
 * too early.
 */
static bool wait_for_refused(struct http *h)
{
	uint32_t wait_ms;

	if (h->connections->len < h->set->connections_max - refused_max(h))
		return false;
	wait_ms = lingering_wait_ms(h->refused);
	if (!wait_ms)
		return false;
	stop_accepting(h);
	h->accept_timer = g_timeout_add(wait_ms, on_accept_again, h);
	return true;
}

static gboolean on_connection(GSocket *listener, GIOCondition cond, gpointer data)
{
	struct http *h = data;

	for (uint32_t i = 0; i < ACCEPT_BATCH && !wait_for_refused(h); i++) {
		g_autoptr(GError) err = NULL;
		g_autoptr(GSocket) sock = g_socket_accept(listener, NULL, &err);

		if (sock) {
			serve_connection(h, sock);
			continue;
		}
		if (!g_error_matches(err, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
			pause_accepting(h, err);
		break;
	}
	return G_SOURCE_CONTINUE;
}

/*
 * libsoup 3.2 keeps connections alive only while it listens itself, but its own accepting doesn't
 * count silent connections, spins without descriptors, and leaks a reference to each socket. So it
 * gets a copy of the listener, whose descriptor is then replaced by a socket on which nothing ever
 * arrives.
 */
static bool listen_on_nothing(struct http *h, GError **err)
{
	g_autoptr(GSocket) nothing = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
						  G_SOCKET_PROTOCOL_UDP, err);
	int fd = nothing ? fcntl(g_socket_get_fd(h->listener), F_DUPFD_CLOEXEC, 0) : -1;
	g_autoptr(GSocket) copy = fd >= 0 ? g_socket_new_from_fd(fd, err) : NULL;

	if (!copy || !soup_server_listen_socket(h->server, copy, 0, err))
		return false;
	if (dup3(g_socket_get_fd(nothing), fd, O_CLOEXEC) >= 0)
		return true;
	g_set_error_literal(err, G_IO_ERROR, g_io_error_from_errno(errno), g_strerror(errno));
	return false;
}

static bool create_parked(struct http *h)
{
	h->parked = idle_set_create(on_parked_event, parked_free, h);
	return h->parked;
}

bool http_listen(struct http *h, struct status *st)
{
	g_autoptr(GError) err = NULL;

	if (h->listener)
		return true;
	h->listener = open_listener(h->set, &err);
	if (h->listener && create_parked(h) && listen_on_nothing(h, &err)) {
		g_socket_set_blocking(h->listener, FALSE);
		h->refused = lingering_create(refused_max(h));
		start_accepting(h);
		return true;
	}
	g_clear_pointer(&h->parked, idle_set_destroy);
	g_clear_object(&h->listener);
	return status_set(st, STATUS_UNAVAILABLE, "listen", h->set->listen_host, "HTTP port %u: %s",
			  h->set->http_port, err ? err->message : g_strerror(errno));
}

/* Without connections beyond the limit, which a caller could open as fast as they are refused. */
static void accept_backlog(struct http *h)
{
	GSocket *sock;

	while (has_room(h) && (sock = g_socket_accept(h->listener, NULL, NULL))) {
		serve_connection(h, sock);
		g_object_unref(sock);
	}
}

void http_drain(struct http *h)
{
	h->draining = true;
}

void http_stop_listening(struct http *h)
{
	h->draining = true;
	stop_accepting(h);
	if (!h->listener || g_socket_is_closed(h->listener))
		return;
	/* Closing the listener resets the connections in its backlog. */
	accept_backlog(h);
	g_socket_close(h->listener, NULL);
}

uint32_t http_close_idle(struct http *h, uint32_t min_idle_ms)
{
	int64_t since_us = g_get_monotonic_time() - min_idle_ms * G_GINT64_CONSTANT(1000);
	uint32_t open = 0;

	prune_closed(h);
	for (guint i = h->connections->len; i > 0; i--) {
		if (is_idle(h->connections->pdata[i - 1], since_us))
			close_connection(h, i - 1);
		else
			open++;
	}
	return open;
}

uint32_t http_answering_count(struct http *h)
{
	uint32_t n = 0;

	prune_closed(h);
	for (guint i = 0; i < h->connections->len; i++)
		n += ((const struct conn *)h->connections->pdata[i])->answering ? 1 : 0;
	return n;
}

uint32_t http_connection_count(struct http *h)
{
	prune_closed(h);
	return h->connections->len + (h->refused ? lingering_count(h->refused) : 0);
}

void http_destroy(struct http *h)
{
	if (!h)
		return;
	http_stop_listening(h);
	g_clear_pointer(&h->parked, idle_set_destroy);
	soup_server_disconnect(h->server);
	g_clear_object(&h->server);
	g_clear_object(&h->listener);
	lingering_destroy(h->refused);
	g_ptr_array_unref(h->routes);
	http_unref(h);
}

void http_add_route(struct http *h, const char *method, const char *prefix, http_route_fn fn,
		    void *ctx)
{
	struct route *r = g_new0(struct route, 1);

	r->method = g_strdup(method);
	r->prefix = g_strdup(prefix);
	r->fn = fn;
	r->ctx = ctx;
	g_ptr_array_add(h->routes, r);
}
