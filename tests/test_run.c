#include <string.h>

#include <criterion/criterion.h>

#include "rawnet.h"
#include "request/run.h"

#define ALL  SIZE_MAX
#define BODY "a billed body"

static struct settings set = { .listen_host = RAW_HOST, .chunk_bytes = 1024 };

/* What the runner does with a request. */
struct plan {
	size_t read_bytes;	/* of the request; then it closes */
	size_t answer_bytes;	/* of the answer; then it closes */
	const char *answer;	/* NULL: silent */
	const char *extra;	/* sent right behind the answer, in the same segment */
	const char *late_extra; /* sent on the first connection when the next request begins */
	bool reset;		/* closes with a reset */
	bool at_accept;		/* closes before it reads */
	bool keep;		/* keeps the connection after the answer */
};

struct runner {
	GSocket *listener;
	GSource *accepting;
	GPtrArray *conns;
	struct plan plan;
	uint16_t port;
	uint32_t accepted;
	bool naming;	 /* names the request in its answers */
	char id[32];	 /* of the request that is asked */
	uint32_t starts; /* requests of which a byte came */
	size_t bytes;	 /* of all requests */
};

struct conn {
	struct runner *runner;
	GSocket *sock;
	GSource *reading;
	GByteArray *in;
};

static void conn_end(struct conn *c)
{
	g_source_destroy(c->reading);
	g_source_unref(c->reading);
	g_byte_array_unref(c->in);
	raw_close(c->sock, c->runner->plan.reset);
	g_free(c);
}

static bool is_whole(const GByteArray *in)
{
	g_autofree char *s = g_strndup((const char *)in->data, in->len);
	const char *end = strstr(s, "\r\n\r\n");
	const char *len = strstr(s, "Content-Length: ");
	size_t body = len ? g_ascii_strtoull(len + 16, NULL, 10) : 0;

	return end && in->len == (size_t)(end - s) + 4 + body;
}

/* Puts the request's id into the first head. */
static void name_answer(char **out, const char *id)
{
	const char *rest = strstr(*out, "\r\n") + 2;
	char *named =
		g_strdup_printf("%.*sKw-Request-Id: %s\r\n%s", (int)(rest - *out), *out, id, rest);

	g_free(*out);
	*out = named;
}

/* Returns false once the connection has to close. */
static bool give_answer(struct conn *c)
{
	const struct plan *p = &c->runner->plan;
	size_t size = p->answer ? MIN(strlen(p->answer), p->answer_bytes) : 0;
	g_autofree char *out = NULL;

	g_byte_array_set_size(c->in, 0);
	if (!p->answer)
		return true;
	out = g_strdup_printf("%.*s%s", (int)size, p->answer, p->extra ? p->extra : "");
	if (c->runner->naming)
		name_answer(&out, c->runner->id);
	g_socket_send(c->sock, out, strlen(out), NULL, NULL);
	return p->keep;
}

static gboolean on_readable(GSocket *sock, GIOCondition cond, gpointer data)
{
	struct conn *c = data;
	struct runner *r = c->runner;
	char buf[1024];
	size_t room = MIN(sizeof(buf), r->plan.read_bytes - c->in->len);
	gssize n = room ? g_socket_receive(sock, buf, room, NULL, NULL) : 0;

	if (n > 0) {
		if (c->in->len == 0)
			r->starts++;
		if (c->in->len == 0 && r->plan.late_extra && c == r->conns->pdata[0])
			g_socket_send(sock, r->plan.late_extra, strlen(r->plan.late_extra), NULL,
				      NULL);
		r->bytes += (size_t)n;
		g_byte_array_append(c->in, (guint8 *)buf, (guint)n);
	}
	if (n <= 0 || c->in->len == r->plan.read_bytes || (is_whole(c->in) && !give_answer(c)))
		g_ptr_array_remove(r->conns, c);
	return G_SOURCE_CONTINUE;
}

static gboolean on_accept(GSocket *sock, GIOCondition cond, gpointer data)
{
	struct runner *r = data;
	GSocket *s = g_socket_accept(sock, NULL, NULL);
	struct conn *c;

	r->accepted++;
	if (r->plan.at_accept) {
		raw_close(s, r->plan.reset);
		return G_SOURCE_CONTINUE;
	}
	g_socket_set_blocking(s, FALSE);
	c = g_new0(struct conn, 1);
	c->runner = r;
	c->sock = s;
	c->in = g_byte_array_new();
	c->reading = g_socket_create_source(s, G_IO_IN, NULL);
	g_source_set_callback(c->reading, G_SOURCE_FUNC(on_readable), c, NULL);
	g_source_attach(c->reading, NULL);
	g_ptr_array_add(r->conns, c);
	return G_SOURCE_CONTINUE;
}

static void runner_init(struct runner *r)
{
	*r = (struct runner){ .plan = { .read_bytes = ALL, .answer_bytes = ALL } };
	r->listener = raw_listen(&r->port);
	r->conns = g_ptr_array_new_with_free_func((GDestroyNotify)conn_end);
	r->accepting = g_socket_create_source(r->listener, G_IO_IN, NULL);
	g_source_set_callback(r->accepting, G_SOURCE_FUNC(on_accept), r, NULL);
	g_source_attach(r->accepting, NULL);
}

static void runner_end(struct runner *r)
{
	g_ptr_array_unref(r->conns);
	g_source_destroy(r->accepting);
	g_source_unref(r->accepting);
	raw_close(r->listener, false);
}

/* The side that asks. */
struct asker {
	GByteArray *got;
	struct call_end end;
	uint32_t begun, ended;
	bool refuse_start;
};

static void on_begin(void *ctx, const struct call_begin *b)
{
	((struct asker *)ctx)->begun++;
}

static void on_data(void *ctx, GBytes *data)
{
	gsize size;
	const void *p = g_bytes_get_data(data, &size);

	g_byte_array_append(((struct asker *)ctx)->got, p, (guint)size);
}

static void on_end(void *ctx, const struct call_end *e)
{
	struct asker *a = ctx;

	a->ended++;
	a->end = *e;
}

static const struct call_requester_ops ops = { .begin = on_begin, .data = on_data, .end = on_end };

static bool may_start(void *ctx)
{
	return !((struct asker *)ctx)->refuse_start;
}

static bool has_ended(void *ctx)
{
	return ((struct asker *)ctx)->ended > 0;
}

struct world {
	struct runner runner;
	struct traffic *traffic;
	struct runner_client *client;
	struct asker asker;
	uint32_t asked;
};

static void world_init(struct world *w)
{
	runner_init(&w->runner);
	w->runner.naming = true;
	w->traffic = traffic_create();
	w->client = runner_client_create(&set, w->traffic);
	w->asker = (struct asker){ .got = g_byte_array_new() };
	w->asked = 0;
}

static void world_end(struct world *w)
{
	runner_client_destroy(w->client);
	traffic_destroy(w->traffic);
	g_byte_array_unref(w->asker.got);
	raw_settle();
	runner_end(&w->runner);
}

static struct run *start(struct world *w, uint16_t port, bool idempotent)
{
	g_autofree char *url = g_strdup_printf("http://" RAW_HOST ":%u", port);
	Kw__Call req = KW__CALL__INIT;
	struct run *r;

	g_byte_array_set_size(w->asker.got, 0);
	w->asker = (struct asker){ .got = w->asker.got, .refuse_start = w->asker.refuse_start };
	w->runner.starts = 0;
	w->runner.bytes = 0;
	g_snprintf(w->runner.id, sizeof(w->runner.id), "r%u", ++w->asked);
	req.request_id = w->runner.id;
	req.service = "s";
	req.team = "t";
	req.idempotent = idempotent;
	req.body = (ProtobufCBinaryData){ strlen(BODY), (uint8_t *)BODY };
	r = run_start(w->client, url, "w1", 7, &req, may_start, &ops, &w->asker);
	run_credit(r, 1 << 20);
	return r;
}

static void ask(struct world *w, bool idempotent)
{
	start(w, w->runner.port, idempotent);
	cr_assert(raw_wait_until(has_ended, &w->asker), "the run does not end");
	raw_settle();
	cr_assert_eq(w->asker.ended, 1);
}

#define HEAD	"HTTP/1.1 200 OK\r\n"
#define LENGTH	HEAD "Content-Length: 11\r\n\r\n0123456789a"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n7\r\n456789a\r\n0\r\n\r\n"
/* The refusal stands once this line is whole. */
#define REFUSAL "HTTP/1.1 503 Full\r\nKw-Refused: full\r\n"
#define REFUSED REFUSAL "Content-Length: 0\r\n\r\n"
#define LATE	HEAD "Kw-Request-Id: r1\r\nContent-Length: 6\r\n\r\nforged"
#define FORGED	HEAD "Content-Length: 6\r\n\r\nforged"

static bool got_all(const struct asker *a)
{
	return a->got->len == 11 && memcmp(a->got->data, "0123456789a", 11) == 0;
}

/* What holds whatever the runner did. */
static void judge(const struct world *w, size_t at, const char *what)
{
	enum outcome o = w->asker.end.outcome;

	cr_assert_leq(w->runner.starts, 1, "%s %zu: started %u times", what, at, w->runner.starts);
	cr_assert(o != OUTCOME_NOT_RUN || w->runner.bytes == 0, "%s %zu: not_run after %zu bytes",
		  what, at, w->runner.bytes);
	cr_assert(o != OUTCOME_DONE || got_all(&w->asker), "%s %zu: done with %u bytes", what, at,
		  w->asker.got->len);
}

Test(run, request_is_cut_after_every_byte)
{
	static const struct cut_case {
		const char *what;
		bool reset, idempotent, kept;
	} cases[] = {
		{ "close", false, false, false },
		{ "reset", true, false, false },
		{ "close, idempotent", false, true, false },
		{ "reset, idempotent", true, true, false },
		{ "close, kept", false, false, true },
		{ "reset, kept", true, false, true },
		{ "close, idempotent, kept", false, true, true },
		{ "reset, idempotent, kept", true, true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct cut_case *c = &cases[i];
		size_t all = 1;

		for (size_t k = 0; k <= all; k++) {
			struct world w;

			world_init(&w);
			w.runner.plan.answer = LENGTH;
			w.runner.plan.keep = c->kept;
			if (c->kept || k == 0) {
				ask(&w, true);
				cr_assert_eq(w.asker.end.outcome, OUTCOME_DONE);
				all = w.runner.bytes;
			}
			w.runner.plan.read_bytes = k;
			w.runner.plan.reset = c->reset;
			ask(&w, c->idempotent);
			judge(&w, k, c->what);
			cr_assert_neq(w.asker.end.outcome, OUTCOME_DONE);
			world_end(&w);
		}
	}
}

Test(run, answer_is_cut_after_every_byte)
{
	static const struct answer_case {
		const char *answer;
		enum outcome whole;
	} cases[] = {
		{ LENGTH, OUTCOME_DONE },
		{ CHUNKED, OUTCOME_FAILED },
		{ REFUSED, OUTCOME_NOT_RUN },
		{ HEAD "\r\n0123456789a", OUTCOME_FAILED },
		{ "HTTP/1.0 200 OK\r\n\r\n0123456789a", OUTCOME_FAILED },
		{ "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", OUTCOME_FAILED },
		{ "HTTP/1.1 302 No\r\nLocation: /run\r\nContent-Length: 0\r\n\r\n",
		  OUTCOME_UNKNOWN },
		{ "HTTP/1.1 307 No\r\nLocation: /run\r\nContent-Length: 11\r\n\r\n0123456789a",
		  OUTCOME_DONE },
		{ "HTTP/1.1 100 Continue\r\n\r\n" LENGTH, OUTCOME_DONE },
		{ "nonsense\r\n\r\n", OUTCOME_UNKNOWN },
	};

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(cases); i++) {
		const struct answer_case *c = &cases[i / 2];
		size_t all = strlen(c->answer);

		for (size_t k = 0; k <= all; k++) {
			struct world w;

			world_init(&w);
			w.runner.naming = false;
			w.runner.plan.answer = c->answer;
			w.runner.plan.answer_bytes = k;
			w.runner.plan.reset = i % 2 && k < all;
			ask(&w, i % 4 < 2);
			if (c->whole != OUTCOME_NOT_RUN || k < strlen(REFUSAL))
				judge(&w, k, c->answer);
			if (k == all)
				cr_assert_eq(w.asker.end.outcome, c->whole, "%s: %s", c->answer,
					     outcome_name(w.asker.end.outcome));
			world_end(&w);
		}
	}
}

/* The first byte is never written, or nobody can tell. */
Test(run, runner_does_not_take_it)
{
	static const struct gone_case {
		const char *what;
		bool refused, at_accept, reset;
	} cases[] = {
		{ "refused", true, false, false },
		{ "closed at accept", false, true, false },
		{ "reset at accept", false, true, true },
	};

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(cases); i++) {
		const struct gone_case *c = &cases[i / 2];
		struct world w;

		world_init(&w);
		w.runner.plan.at_accept = c->at_accept;
		w.runner.plan.reset = c->reset;
		start(&w, c->refused ? raw_free_port() : w.runner.port, i % 2);
		cr_assert(raw_wait_until(has_ended, &w.asker));
		raw_settle();
		judge(&w, i, c->what);
		cr_assert(!c->refused || w.asker.end.outcome == OUTCOME_NOT_RUN);
		cr_assert_neq(w.asker.end.outcome, OUTCOME_DONE);
		cr_assert_leq(w.runner.accepted, 1, "%s: connected again", c->what);
		world_end(&w);
	}
}

static bool has_started(void *ctx)
{
	return ((struct runner *)ctx)->starts > 0;
}

Test(run, black_hole_is_cancelled)
{
	for (int written = 0; written < 2; written++) {
		struct world w;
		struct run *r;
		bool told;

		world_init(&w);
		r = start(&w, w.runner.port, false);
		if (written)
			cr_assert(raw_wait_until(has_started, &w.runner));
		told = run_cancel(r);
		raw_settle();
		cr_assert(told || w.runner.bytes == 0, "said unwritten after %zu bytes",
			  w.runner.bytes);
		cr_assert_eq(told, written);
		cr_assert_eq(w.asker.ended, 0);
		world_end(&w);
	}
}

Test(run, fence_writes_nothing)
{
	for (int i = 0; i < 4; i++) {
		struct world w;

		world_init(&w);
		w.runner.plan.answer = LENGTH;
		w.runner.plan.keep = true;
		if (i / 2)
			ask(&w, true);
		w.asker.refuse_start = true;
		ask(&w, i % 2);
		cr_assert_eq(w.asker.end.outcome, OUTCOME_NOT_RUN);
		cr_assert_eq(w.runner.bytes, 0);
		world_end(&w);
	}
}

/* A second answer on a kept connection is nobody's. */
Test(run, extra_answer_reaches_nobody)
{
	static const struct extra_case {
		const char *what, *extra, *late_extra;
		bool idempotent, naming;
	} cases[] = {
		{ "pipelined", FORGED, NULL, true, true },
		{ "pipelined, not naming", FORGED, NULL, true, false },
		{ "pipelined, not idempotent", FORGED, NULL, false, true },
		{ "part", "HTTP/1.1 200 ", NULL, true, true },
		{ "late", NULL, LATE, true, true },
		{ "late, without a name", NULL, FORGED, true, true },
		{ "late, not naming", NULL, FORGED, true, false },
		{ "late, not idempotent", NULL, LATE, false, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct extra_case *c = &cases[i];
		struct world w;

		world_init(&w);
		w.runner.plan.answer = LENGTH;
		w.runner.plan.keep = true;
		w.runner.plan.extra = c->extra;
		w.runner.naming = c->naming;
		ask(&w, true);
		cr_assert(got_all(&w.asker));
		w.runner.plan.extra = NULL;
		w.runner.plan.late_extra = c->late_extra;
		ask(&w, c->idempotent);
		judge(&w, i, c->what);
		cr_assert_eq(w.asker.got->len, got_all(&w.asker) ? 11 : 0, "%s: got %.*s", c->what,
			     (int)w.asker.got->len, w.asker.got->data);
		world_end(&w);
	}
}

/* What libsoup does by itself when a kept connection closes without an answer. */
static void on_sent(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GBytes) body = soup_session_send_and_read_finish(SOUP_SESSION(src), res, NULL);

	(*(uint32_t *)data)++;
}

static bool has_sent(void *ctx)
{
	return *(uint32_t *)ctx > 0;
}

static void send_plain(SoupSession *session, struct runner *r, const char *method,
		       SoupMessageFlags flags)
{
	g_autofree char *url = g_strdup_printf("http://" RAW_HOST ":%u/run", r->port);
	g_autoptr(SoupMessage) msg = soup_message_new(method, url);
	uint32_t sent = 0;

	soup_message_add_flags(msg, flags);
	r->starts = 0;
	soup_session_send_and_read_async(session, msg, G_PRIORITY_DEFAULT, NULL, on_sent, &sent);
	cr_assert(raw_wait_until(has_sent, &sent));
}

Test(libsoup, resends)
{
	static const struct resend_case {
		const char *method;
		SoupMessageFlags flags;
		uint32_t starts, accepted;
	} cases[] = {
		{ "POST", 0, 1, 2 },
		{ "POST", SOUP_MESSAGE_IDEMPOTENT, 1, 1 },
		{ "POST", SOUP_MESSAGE_NEW_CONNECTION, 1, 2 },
		{ "GET", 0, 2, 2 },
		{ "GET", SOUP_MESSAGE_NEW_CONNECTION, 1, 2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct resend_case *c = &cases[i];
		g_autoptr(SoupSession) session = soup_session_new();
		struct runner r;

		runner_init(&r);
		r.plan.answer = LENGTH;
		r.plan.keep = true;
		send_plain(session, &r, "GET", 0);
		r.plan.answer = "";
		r.plan.keep = false;
		send_plain(session, &r, c->method, c->flags);
		raw_settle();
		cr_expect_eq(r.starts, c->starts, "%s %d: %u starts", c->method, (int)c->flags,
			     r.starts);
		cr_expect_eq(r.accepted, c->accepted, "%s %d: %u connections", c->method,
			     (int)c->flags, r.accepted);
		soup_session_abort(session);
		runner_end(&r);
	}
}
