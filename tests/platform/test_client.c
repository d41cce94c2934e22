#include <string.h>
#include <sys/resource.h>

#include <criterion/criterion.h>

#include "client.h"
#include "flood.h"
#include "rawserver.h"

#define TIMEOUT_MS    2000
#define LARGE_BYTES   33554432
#define SILENCE_MS    150
#define HELD_UP_BYTES 200000 /* fit into the buffers of both sockets, not of one */
#define TEXT(status)  "HTTP/1.1 " status "\r\nContent-Length: 2\r\n\r\n{}"
#define OK	      TEXT("200 OK")
#define UNAVAILABLE   TEXT("503 Service Unavailable")
#define CUT_BODY      "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{}"
#define CUT_CHUNK     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n{}"

#define CUT_STATUS "HTTP/1.1 200 O"
#define CUT_HEADER "HTTP/1.1 200 OK\r\nContent-Le"
#define CONTINUE   "HTTP/1.1 100 Continue\r\n\r\n"
#define TRAILER                                                                                    \
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n2\r\n{}\r\n0\r\nA: "   \
	"b\r\n\r\n"
/* A call and what the client reported. */
struct exchange {
	struct raw_server *server;
	uint32_t replies;
	uint32_t over_limit; /* replies that say that too many calls are in flight */
	uint32_t status;
	bool sent;
};

static void on_reply(void *ctx, const struct client_reply *reply)
{
	struct exchange *x = ctx;

	x->replies++;
	x->over_limit += reply->error && g_str_has_prefix(reply->error, "Too many calls");
	x->status = reply->status;
	x->sent = reply->sent;
}

static bool is_answered(void *ctx)
{
	struct exchange *x = ctx;

	if (x->server)
		raw_server_serve(x->server);
	return x->replies > 0;
}

static struct exchange call(struct client *c, struct raw_server *s, uint16_t port,
			    const char *method, const char *text, uint32_t timeout_ms)
{
	g_autofree char *address = g_strdup_printf("%s:%u", RAW_HOST, port);
	g_autoptr(GBytes) body = text ? g_bytes_new_static(text, strlen(text)) : NULL;
	struct exchange x = { .server = s };
	struct client_call order = { .method = method,
				     .address = address,
				     .path = "/order",
				     .content_type = text ? "text/plain" : NULL,
				     .body = body,
				     .timeout_ms = timeout_ms };

	client_send(c, &order, on_reply, &x);
	cr_assert(raw_wait_until(is_answered, &x));
	raw_settle();
	if (s)
		raw_server_serve(s);
	cr_assert_eq(x.replies, 1);
	return x;
}

static const struct {
	const char *name;
	const char *method;
	const char *body;
} calls[] = {
	{ "POST", "POST", "text" },
	{ "POST without a body", "POST", "" },
	{ "GET", "GET", NULL },
};

/*
 * A start or an append of which a copy was refused was taken for refused, while the first copy took
 * effect: the task ran twice.
 */
Test(client, request_is_not_sent_again)
{
	static const struct {
		const char *name;
		struct raw_step end;
	} ends[] = {
		{ "closed", { RAW_ANSWER_CLOSE, "" } },
		{ "reset", { RAW_RESET, NULL } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(ends) * G_N_ELEMENTS(calls); i++) {
		size_t k = i % G_N_ELEMENTS(calls);
		const char *end = ends[i / G_N_ELEMENTS(calls)].name;
		const struct raw_step steps[] = { { RAW_ANSWER, OK },
						  ends[i / G_N_ELEMENTS(calls)].end,
						  { RAW_ANSWER, UNAVAILABLE } };
		struct raw_server *s = raw_server_create(steps, G_N_ELEMENTS(steps));
		struct client *c = client_create();
		uint16_t port = raw_server_port(s);
		struct exchange x;

		x = call(c, s, port, calls[k].method, calls[k].body, TIMEOUT_MS);
		cr_assert_eq(x.status, 200);
		x = call(c, s, port, calls[k].method, calls[k].body, TIMEOUT_MS);
		cr_expect_eq(raw_server_requests(s), 2, "%s, %s: %u requests", calls[k].name, end,
			     raw_server_requests(s));
		cr_expect_eq(raw_server_connections(s), 1, "%s, %s: %u connections", calls[k].name,
			     end, raw_server_connections(s));
		cr_expect_eq(x.status, 0, "%s, %s: status %u", calls[k].name, end, x.status);
		cr_expect(x.sent, "%s, %s: not sent", calls[k].name, end);
		x = call(c, s, port, calls[k].method, calls[k].body, TIMEOUT_MS);
		cr_expect_eq(x.status, 503, "%s, %s: the next call", calls[k].name, end);
		client_destroy(c);
		raw_server_destroy(s);
	}
}

/* Sends two calls at the same time, so that two connections are kept. */
static void call_twice(struct client *c, struct raw_server *s)
{
	g_autofree char *address = g_strdup_printf("%s:%u", RAW_HOST, raw_server_port(s));
	const struct client_call order = {
		.method = "GET", .address = address, .path = "/order", .timeout_ms = TIMEOUT_MS
	};
	struct exchange first = { .server = s };
	struct exchange second = { .server = s };

	client_send(c, &order, on_reply, &first);
	client_send(c, &order, on_reply, &second);
	cr_assert(raw_wait_until(is_answered, &first) && raw_wait_until(is_answered, &second));
	cr_assert(first.status == 200 && second.status == 200);
	cr_assert_eq(raw_server_connections(s), 2);
}

/* With two kept connections, a second copy of a start could go out on the other one. */
Test(client, request_is_not_sent_again_on_another_kept_connection)
{
	for (size_t k = 0; k < G_N_ELEMENTS(calls); k++) {
		static const struct raw_step steps[] = { { RAW_ANSWER, OK },
							 { RAW_ANSWER, OK },
							 { RAW_RESET, NULL },
							 { RAW_ANSWER, UNAVAILABLE } };
		struct raw_server *s = raw_server_create(steps, G_N_ELEMENTS(steps));
		struct client *c = client_create();
		struct exchange x;

		call_twice(c, s);
		x = call(c, s, raw_server_port(s), calls[k].method, calls[k].body, TIMEOUT_MS);
		cr_expect_eq(raw_server_requests(s), 3, "%s: %u requests", calls[k].name,
			     raw_server_requests(s));
		cr_expect_eq(raw_server_connections(s), 2);
		cr_expect_eq(x.status, 0, "%s: status %u", calls[k].name, x.status);
		cr_expect(x.sent, "%s: not sent", calls[k].name);
		client_destroy(c);
		raw_server_destroy(s);
	}
}

/* A connection that closed while it was idle isn't used: nothing was sent on it. */
Test(client, replaces_an_idle_connection_that_closed)
{
	static const struct raw_step steps[] = { { RAW_ANSWER, OK } };

	for (size_t i = 0; i < 4 * G_N_ELEMENTS(calls); i++) {
		bool reset = i & 1;
		bool settle = i & 2;
		size_t k = i / 4;
		struct raw_server *s = raw_server_create(steps, G_N_ELEMENTS(steps));
		struct client *c = client_create();
		uint16_t port = raw_server_port(s);
		struct exchange x;

		call(c, s, port, calls[k].method, calls[k].body, TIMEOUT_MS);
		raw_server_close_all(s, reset);
		if (settle)
			raw_settle();
		x = call(c, s, port, calls[k].method, calls[k].body, TIMEOUT_MS);
		cr_expect_eq(x.status, 200, "%s, reset %d, settle %d: status %u", calls[k].name,
			     reset, settle, x.status);
		cr_expect_eq(raw_server_requests(s), 2);
		cr_expect_eq(raw_server_connections(s), 2);
		client_destroy(c);
		raw_server_destroy(s);
	}
}

Test(client, keeps_connections)
{
	static const struct raw_step steps[] = { { RAW_ANSWER, OK } };
	struct raw_server *s = raw_server_create(steps, G_N_ELEMENTS(steps));
	struct client *c = client_create();

	for (size_t i = 0; i < 4 * G_N_ELEMENTS(calls); i++) {
		size_t k = i % G_N_ELEMENTS(calls);

		cr_expect_eq(
			call(c, s, raw_server_port(s), calls[k].method, calls[k].body, TIMEOUT_MS)
				.status,
			200);
	}
	cr_expect_eq(raw_server_connections(s), 1);
	client_destroy(c);
	raw_server_destroy(s);
}

#define KEPT	       6
#define SILENT_CALLS   10
#define SILENT_TIME_MS 200

static bool has_kept(void *ctx)
{
	struct exchange *x = ctx;

	raw_server_serve(x->server);
	return x->replies == KEPT;
}

/*
 * Guards against a lost term, and lost calls to runners, after open connections went silent while
 * new ones worked: each kept connection cost a call that timed out.
 */
Test(client, silent_connections_are_given_up_together)
{
	static const struct raw_step steps[] = { { RAW_ANSWER, OK } };
	static const uint32_t pauses_ms[] = { 0, 1100 }; /* the age is compared in seconds */

	for (size_t i = 0; i < G_N_ELEMENTS(pauses_ms); i++) {
		struct raw_server *s = raw_server_create(steps, G_N_ELEMENTS(steps));
		struct client *c = client_create();
		uint16_t port = raw_server_port(s);
		g_autofree char *address = g_strdup_printf("%s:%u", RAW_HOST, port);
		const struct client_call order = { .method = "GET",
						   .address = address,
						   .path = "/order",
						   .timeout_ms = TIMEOUT_MS };
		struct exchange x = { .server = s };
		uint32_t failed = 0;

		for (uint32_t k = 0; k < KEPT; k++)
			client_send(c, &order, on_reply, &x);
		cr_assert(raw_wait_until(has_kept, &x));
		cr_assert_eq(raw_server_connections(s), KEPT);
		g_usleep(pauses_ms[i] * 1000UL);
		raw_server_ignore_all(s);
		for (uint32_t k = 0; k < SILENT_CALLS; k++) {
			failed += call(c, s, port, "GET", NULL, SILENT_TIME_MS).status != 200;
			g_usleep(k == 1 ? pauses_ms[i] * 1000UL : 0);
		}
		cr_expect_eq(failed, 1, "pause of %u ms: %u calls failed", pauses_ms[i], failed);
		client_destroy(c);
		raw_server_destroy(s);
	}
}

/* "Not sent" lets a task start elsewhere at once, so it has to be true. */
Test(client, reports_whether_a_request_was_sent)
{
	static const struct {
		const char *name;
		struct raw_step step;
		uint32_t status;
	} cases[] = {
		{ "no answer", { RAW_SILENT, NULL }, 0 },
		{ "closed", { RAW_ANSWER_CLOSE, "" }, 0 },
		{ "reset", { RAW_RESET, NULL }, 0 },
		{ "status line cut off", { RAW_ANSWER_CLOSE, CUT_STATUS }, 0 },
		{ "header cut off", { RAW_ANSWER_CLOSE, CUT_HEADER }, 0 },
		{ "second header cut off", { RAW_ANSWER_CLOSE, CONTINUE CUT_HEADER }, 0 },
		{ "body cut off", { RAW_ANSWER_CLOSE, CUT_BODY }, 0 },
		{ "body late", { RAW_ANSWER, CUT_BODY }, 0 },
		{ "chunk cut off", { RAW_ANSWER_CLOSE, CUT_CHUNK }, 0 },
		{ "trailer", { RAW_ANSWER, TRAILER }, 200 },
		{ "two headers", { RAW_ANSWER, CONTINUE OK }, 200 },
		{ "answered", { RAW_ANSWER, OK }, 200 },
		{ "refused", { RAW_ANSWER, UNAVAILABLE }, 503 },
	};
	uint16_t closed_port = raw_free_port();
	struct client *c = client_create();

	for (size_t i = 0; i < G_N_ELEMENTS(cases) * G_N_ELEMENTS(calls); i++) {
		size_t k = i % G_N_ELEMENTS(calls);
		size_t n = i / G_N_ELEMENTS(calls);
		struct raw_server *s = raw_server_create(&cases[n].step, 1);
		struct exchange x;

		x = call(c, s, raw_server_port(s), calls[k].method, calls[k].body, SILENCE_MS);
		cr_expect_eq(x.status, cases[n].status, "%s, %s: status %u", cases[n].name,
			     calls[k].name, x.status);
		cr_expect(x.sent, "%s, %s: not sent", cases[n].name, calls[k].name);
		cr_expect_eq(raw_server_requests(s), 1);
		x = call(c, NULL, closed_port, calls[k].method, calls[k].body, SILENCE_MS);
		cr_expect_eq(x.status, 0);
		cr_expect(!x.sent, "after %s, %s: sent to a closed port", cases[n].name,
			  calls[k].name);
		raw_server_destroy(s);
	}
	client_destroy(c);
}

/* A full accept queue drops connection requests: the call ends without having sent anything. */
Test(client, reports_a_connection_that_was_never_made_as_not_sent)
{
	g_autoptr(GInetAddress) ip = g_inet_address_new_from_string(RAW_HOST);
	g_autoptr(GSocketAddress) any = g_inet_socket_address_new(ip, 0);
	g_autoptr(GSocketAddress) own = NULL;
	GSocket *full = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				     G_SOCKET_PROTOCOL_TCP, NULL);
	struct client *c = client_create();
	GSocket *first;
	uint16_t port;

	g_socket_set_listen_backlog(full, 0);
	cr_assert(g_socket_bind(full, any, TRUE, NULL) && g_socket_listen(full, NULL));
	own = g_socket_get_local_address(full, NULL);
	port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(own));
	first = raw_connect(port);
	for (size_t k = 0; k < G_N_ELEMENTS(calls); k++) {
		struct exchange x = call(c, NULL, port, calls[k].method, calls[k].body, SILENCE_MS);

		cr_expect_eq(x.status, 0);
		cr_expect(!x.sent, "%s: sent", calls[k].name);
	}
	raw_close(first, false);
	raw_close(full, false);
	client_destroy(c);
}

/* A body that doesn't fit into the socket's buffers is sent in part. */
Test(client, reports_a_body_that_is_sent_in_part_as_sent)
{
	static const struct raw_step steps[] = { { RAW_ANSWER, OK } };
	g_autofree char *text = g_strnfill(LARGE_BYTES, 'x');
	struct raw_server *s = raw_server_create(steps, G_N_ELEMENTS(steps));
	struct client *c = client_create();
	struct exchange x;

	/* The server isn't served, so it reads nothing. */
	x = call(c, NULL, raw_server_port(s), "POST", text, SILENCE_MS);
	cr_expect_eq(x.status, 0);
	cr_expect(x.sent);
	cr_expect_eq(raw_server_requests(s), 0);
	client_destroy(c);
	raw_server_destroy(s);
}

/*
 * Guards against calls that a process sends after it was paused, or that the kernel delivers after
 * they timed out, as behind a link that recovers: a runner executes starts that were given up.
 */
Test(client, calls_that_timed_out_are_not_delivered)
{
	static const struct raw_step steps[] = { { RAW_ANSWER, OK } };
	static const struct {
		const char *name;
		size_t body_bytes;
		uint32_t calls_before; /* leave a connection open */
		uint32_t pause_ms;     /* before the process runs its loop */
	} cases[] = {
		{ "a pause before the connection", 4, 0, 3 * SILENCE_MS },
		{ "a pause before a kept connection is used", 4, 1, 3 * SILENCE_MS },
		{ "data held up", HELD_UP_BYTES, 0, 0 },
		{ "data held up on a kept connection", HELD_UP_BYTES, 1, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strnfill(cases[i].body_bytes, 'x');
		g_autoptr(GBytes) body = g_bytes_new_static(text, cases[i].body_bytes);
		struct raw_server *s = raw_server_create(steps, G_N_ELEMENTS(steps));
		g_autofree char *address = g_strdup_printf("%s:%u", RAW_HOST, raw_server_port(s));
		struct client_call order = { .method = "POST",
					     .address = address,
					     .path = "/order",
					     .content_type = "text/plain",
					     .body = body,
					     .timeout_ms = SILENCE_MS };
		struct client *c = client_create();
		struct exchange x = { 0 };

		for (uint32_t k = 0; k < cases[i].calls_before; k++)
			call(c, s, raw_server_port(s), "POST", "", TIMEOUT_MS);
		client_send(c, &order, on_reply, &x);
		g_usleep(cases[i].pause_ms * 1000ul);
		/* The server isn't served, so it reads nothing until the call has ended. */
		cr_assert(raw_wait_until(is_answered, &x));
		cr_expect_eq(x.status, 0);
		for (uint32_t k = 0; k < 50; k++) {
			raw_server_serve(s);
			raw_settle();
		}
		cr_expect_eq(raw_server_requests(s), cases[i].calls_before, "%s: delivered",
			     cases[i].name);
		client_destroy(c);
		raw_server_destroy(s);
	}
}

#define PART_BYTES	4096
#define SENT_MAX_BYTES	16777216  /* the limit and what the buffers of both sockets hold */
#define PEER_MAX_BYTES	268435456 /* stops a test in which the reply is read on */
#define HELD_CALLS	24
#define HELD_PART_BYTES 2000000
#define HELD_MAX_BYTES	2097152

/* Guards against a process that ends by its memory, as a service sends a reply without end. */
Test(client, reply_larger_than_the_limit_is_refused)
{
	static const struct {
		const char *name;
		const char *head;
		const char *before; /* before and after the text of each part */
		const char *after;
	} cases[] = {
		{ "length", "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n", "", "" },
		{ "no length", "HTTP/1.1 200 OK\r\n\r\n", "", "" },
		{ "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n",
		  "\r\n" },
		{ "header lines", "HTTP/1.1 200 OK\r\n", "A: ", "\r\n" },
		{ "one header line", "HTTP/1.1 200 OK\r\nA: ", "", "" },
		{ "interim replies", "", "HTTP/1.1 100 Continue\r\nA: ", "\r\n\r\n" },
		{ "trailer",
		  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
		  "A: ", "\r\n" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strnfill(PART_BYTES, 'x');
		g_autofree char *part = g_strconcat(cases[i].before, text, cases[i].after, NULL);
		const struct flood_conf conf = { .head = cases[i].head,
						 .part = part,
						 .max_bytes = PEER_MAX_BYTES };
		struct flood *f = flood_create(&conf);
		struct client *c = client_create();
		struct exchange x;
		uint64_t sent;

		x = call(c, NULL, flood_port(f), "GET", NULL, TIMEOUT_MS);
		cr_expect_eq(x.status, 0, "%s: status %u", cases[i].name, x.status);
		cr_expect(x.sent, "%s: not sent", cases[i].name);
		client_destroy(c);
		sent = flood_destroy(f);
		cr_expect_lt(sent, SENT_MAX_BYTES, "%s: %" G_GUINT64_FORMAT " bytes were read",
			     cases[i].name, sent);
	}
}

static bool are_enough_refused(void *ctx)
{
	const struct exchange *x = ctx;
	uint32_t refused = 0;

	for (size_t i = 0; i < HELD_CALLS; i++)
		refused += x[i].replies;
	return refused + CLIENT_HELD_MAX_BYTES / HELD_PART_BYTES >= HELD_CALLS;
}

/* Guards against replies that are each within their limit, and together end the process. */
Test(client, replies_in_progress_are_limited_together)
{
	g_autofree char *part = g_strnfill(HELD_PART_BYTES, 'x');
	const struct flood_conf conf = {
		.head = "HTTP/1.1 200 OK\r\nContent-Length: 2097152\r\n\r\n",
		.part = part,
		.max_bytes = HELD_PART_BYTES,
		.keeps_open = true
	};
	struct flood *f = flood_create(&conf);
	g_autofree char *address = g_strdup_printf("%s:%u", RAW_HOST, flood_port(f));
	struct exchange x[HELD_CALLS] = { 0 };
	struct client *c = client_create();

	for (size_t i = 0; i < HELD_CALLS; i++) {
		const struct client_call order = { .method = "GET",
						   .address = address,
						   .path = "/order",
						   .timeout_ms = 60000,
						   .reply_max_bytes = HELD_MAX_BYTES };

		client_send(c, &order, on_reply, &x[i]);
	}
	cr_expect(raw_wait_until(are_enough_refused, x));
	for (size_t i = 0; i < HELD_CALLS; i++)
		cr_expect_eq(x[i].status, 0);
	client_destroy(c);
	flood_destroy(f);
}

/* For as many connections as calls may be in flight. */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

/*
 * Guards against memory and descriptors of calls to runners that never answer, and against such
 * calls keeping out those to the store, by which the term was lost.
 */
Test(client, calls_in_flight_are_limited)
{
	struct client *c = client_create();
	struct exchange refused = { 0 };
	struct exchange reserved_refused = { 0 };
	struct exchange others = { 0 };
	uint16_t port;
	GSocket *silent = raw_listen(&port);
	g_autofree char *address = g_strdup_printf("%s:%u", RAW_HOST, port);
	struct client_call order = {
		.method = "GET", .address = address, .path = "/order", .timeout_ms = 60000
	};

	raise_descriptor_limit();
	for (uint32_t i = 0; i < CLIENT_OPEN_CALLS_MAX; i++)
		client_send(c, &order, on_reply, &others);
	/* Refused calls wait for the loop; they leave room as well. */
	for (uint32_t i = 0; i < CLIENT_CALLS_MAX; i++)
		client_send(c, &order, on_reply, &refused);
	order.reserved = true;
	for (uint32_t i = CLIENT_OPEN_CALLS_MAX; i < CLIENT_CALLS_MAX; i++)
		client_send(c, &order, on_reply, &others);
	client_send(c, &order, on_reply, &reserved_refused);
	cr_expect_eq(refused.replies, 0, "a reply from within client_send()");
	cr_expect_eq(reserved_refused.replies, 0, "a reply from within client_send()");
	cr_assert(raw_wait_until(is_answered, &reserved_refused));
	cr_expect_eq(reserved_refused.status, 0);
	cr_expect(!reserved_refused.sent);
	cr_expect_eq(reserved_refused.over_limit, 1);
	cr_expect_eq(refused.replies, CLIENT_CALLS_MAX);
	cr_expect_eq(refused.over_limit, CLIENT_CALLS_MAX);
	cr_expect_eq(refused.status, 0);
	cr_expect(!refused.sent);
	/* Those that get no connection in time end as well, but aren't refused. */
	cr_expect_eq(others.over_limit, 0, "%u calls within the limits were refused",
		     others.over_limit);
	client_destroy(c);
	raw_close(silent, false);
}
