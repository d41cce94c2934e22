#include <string.h>

#include <criterion/criterion.h>

#include "rawnet.h"
#include "request/run.h"

#define UNLIMITED SIZE_MAX
#define BODY	  "a billed body"

static struct settings set = { .listen_host = RAW_HOST, .chunk_bytes = 1024 };

/* How the runner handles a request. */
struct script {
	size_t read_bytes;	/* closes after reading this many */
	size_t answer_bytes;	/* closes after sending this many of answer */
	const char *answer;	/* NULL: sends nothing */
	const char *extra;	/* sent with the answer, in the same segment */
	const char *late_extra; /* sent on the first connection when the next request begins */
	bool reset;		/* closes with a reset */
	bool close_on_accept;	/* closes before it reads */
	bool keep_alive;	/* keeps the connection after the answer */
};

struct runner {
	GSocket *listener;
	GSource *accept_source;
	GPtrArray *conns;
	struct script script;
	uint16_t port;
	uint32_t n_accepted;
	bool echoes_id;	    /* answers carry the request's id */
	char id[32];	    /* of the current request */
	uint32_t n_started; /* requests of which a byte was received */
	size_t bytes;	    /* of all requests */
};

struct conn {
	struct runner *runner;
	GSocket *sock;
	GSource *read_source;
	GByteArray *in;
};

static void conn_close(struct conn *c)
{
	g_source_destroy(c->read_source);
	g_source_unref(c->read_source);
	g_byte_array_unref(c->in);
	raw_close(c->sock, c->runner->script.reset);
	g_free(c);
}

static bool request_is_complete(const GByteArray *in)
{
	g_autofree char *s = g_strndup((const char *)in->data, in->len);
	const char *end = strstr(s, "\r\n\r\n");
	const char *len = strstr(s, "Content-Length: ");
	size_t body = len ? g_ascii_strtoull(len + 16, NULL, 10) : 0;

	return end && in->len == (size_t)(end - s) + 4 + body;
}

/* Adds the request's id to the headers of the first answer. */
static void add_request_id(char **out, const char *id)
{
	const char *rest = strstr(*out, "\r\n") + 2;
	char *named =
		g_strdup_printf("%.*sKw-Request-Id: %s\r\n%s", (int)(rest - *out), *out, id, rest);

	g_free(*out);
	*out = named;
}

/* Returns false if the connection must be closed. */
static bool send_answer(struct conn *c)
{
	const struct script *p = &c->runner->script;
	size_t size = p->answer ? MIN(strlen(p->answer), p->answer_bytes) : 0;
	g_autofree char *out = NULL;

	g_byte_array_set_size(c->in, 0);
	if (!p->answer)
		return true;
	out = g_strdup_printf("%.*s%s", (int)size, p->answer, p->extra ? p->extra : "");
	if (c->runner->echoes_id)
		add_request_id(&out, c->runner->id);
	g_socket_send(c->sock, out, strlen(out), NULL, NULL);
	return p->keep_alive;
}

static gboolean on_readable(GSocket *sock, GIOCondition cond, gpointer data)
{
	struct conn *c = data;
	struct runner *r = c->runner;
	char buf[1024];
	size_t size = MIN(sizeof(buf), r->script.read_bytes - c->in->len);
	gssize n = size ? g_socket_receive(sock, buf, size, NULL, NULL) : 0;

	if (n > 0) {
		if (c->in->len == 0)
			r->n_started++;
		if (c->in->len == 0 && r->script.late_extra && c == r->conns->pdata[0])
			g_socket_send(sock, r->script.late_extra, strlen(r->script.late_extra),
				      NULL, NULL);
		r->bytes += (size_t)n;
		g_byte_array_append(c->in, (guint8 *)buf, (guint)n);
	}
	if (n <= 0 || c->in->len == r->script.read_bytes ||
	    (request_is_complete(c->in) && !send_answer(c)))
		g_ptr_array_remove(r->conns, c);
	return G_SOURCE_CONTINUE;
}

static gboolean on_accept(GSocket *sock, GIOCondition cond, gpointer data)
{
	struct runner *r = data;
	GSocket *s = g_socket_accept(sock, NULL, NULL);
	struct conn *c;

	r->n_accepted++;
	if (r->script.close_on_accept) {
		raw_close(s, r->script.reset);
		return G_SOURCE_CONTINUE;
	}
	g_socket_set_blocking(s, FALSE);
	c = g_new0(struct conn, 1);
	c->runner = r;
	c->sock = s;
	c->in = g_byte_array_new();
	c->read_source = g_socket_create_source(s, G_IO_IN, NULL);
	g_source_set_callback(c->read_source, G_SOURCE_FUNC(on_readable), c, NULL);
	g_source_attach(c->read_source, NULL);
	g_ptr_array_add(r->conns, c);
	return G_SOURCE_CONTINUE;
}

static void runner_init(struct runner *r)
{
	*r = (struct runner){ .script = { .read_bytes = UNLIMITED, .answer_bytes = UNLIMITED } };
	r->listener = raw_listen(&r->port);
	r->conns = g_ptr_array_new_with_free_func((GDestroyNotify)conn_close);
	r->accept_source = g_socket_create_source(r->listener, G_IO_IN, NULL);
	g_source_set_callback(r->accept_source, G_SOURCE_FUNC(on_accept), r, NULL);
	g_source_attach(r->accept_source, NULL);
}

static void runner_end(struct runner *r)
{
	g_ptr_array_unref(r->conns);
	g_source_destroy(r->accept_source);
	g_source_unref(r->accept_source);
	raw_close(r->listener, false);
}

struct requester {
	GByteArray *answer;
	struct call_end end;
	uint32_t begin_count, end_count;
	bool refuse_start;
};

static void on_begin(void *ctx, const struct call_begin *b)
{
	((struct requester *)ctx)->begin_count++;
}

static void on_data(void *ctx, GBytes *data)
{
	gsize size;
	const void *p = g_bytes_get_data(data, &size);

	g_byte_array_append(((struct requester *)ctx)->answer, p, (guint)size);
}

static void on_end(void *ctx, const struct call_end *e)
{
	struct requester *q = ctx;

	q->end_count++;
	q->end = *e;
}

static const struct call_requester_ops ops = { .begin = on_begin, .data = on_data, .end = on_end };

static bool may_start(void *ctx)
{
	return !((struct requester *)ctx)->refuse_start;
}

static bool has_ended(void *ctx)
{
	return ((struct requester *)ctx)->end_count > 0;
}

struct fixture {
	struct runner runner;
	struct traffic *traffic;
	struct runner_client *client;
	struct requester requester;
	uint32_t n_sent;
};

static void setup(struct fixture *f)
{
	runner_init(&f->runner);
	f->runner.echoes_id = true;
	f->traffic = traffic_create();
	f->client = runner_client_create(&set, f->traffic);
	f->requester = (struct requester){ .answer = g_byte_array_new() };
	f->n_sent = 0;
}

static void teardown(struct fixture *f)
{
	runner_client_destroy(f->client);
	traffic_destroy(f->traffic);
	g_byte_array_unref(f->requester.answer);
	raw_settle();
	runner_end(&f->runner);
}

static struct run *start(struct fixture *f, uint16_t port, bool idempotent)
{
	g_autofree char *url = g_strdup_printf("http://" RAW_HOST ":%u", port);
	Kw__Call req = KW__CALL__INIT;
	struct run *r;

	g_byte_array_set_size(f->requester.answer, 0);
	f->requester = (struct requester){ .answer = f->requester.answer,
					   .refuse_start = f->requester.refuse_start };
	f->runner.n_started = 0;
	f->runner.bytes = 0;
	g_snprintf(f->runner.id, sizeof(f->runner.id), "r%u", ++f->n_sent);
	req.request_id = f->runner.id;
	req.service = "s";
	req.team = "t";
	req.idempotent = idempotent;
	req.body = (ProtobufCBinaryData){ strlen(BODY), (uint8_t *)BODY };
	r = run_start(f->client, url, "w1", 7, &req, may_start, &ops, &f->requester);
	run_credit(r, 1 << 20);
	return r;
}

static void run_to_end(struct fixture *f, bool idempotent)
{
	start(f, f->runner.port, idempotent);
	cr_assert(raw_wait_until(has_ended, &f->requester), "the run does not end");
	raw_settle();
	cr_assert_eq(f->requester.end_count, 1);
}

#define HEAD	"HTTP/1.1 200 OK\r\n"
#define LENGTH	HEAD "Content-Length: 11\r\n\r\n0123456789a"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n7\r\n456789a\r\n0\r\n\r\n"
/* The request counts as refused once this is received in full. */
#define REFUSAL "HTTP/1.1 503 Full\r\nKw-Refused: full\r\n"
#define REFUSED REFUSAL "Content-Length: 0\r\n\r\n"
#define LATE	HEAD "Kw-Request-Id: r1\r\nContent-Length: 6\r\n\r\nforged"
#define FORGED	HEAD "Content-Length: 6\r\n\r\nforged"

static bool answer_is_complete(const struct requester *q)
{
	return q->answer->len == 11 && memcmp(q->answer->data, "0123456789a", 11) == 0;
}

/* A request starts at most once, not_run means not sent, and done means the whole answer. */
static void check_invariants(const struct fixture *f, size_t at, const char *what)
{
	enum outcome o = f->requester.end.outcome;

	cr_assert_leq(f->runner.n_started, 1, "%s %zu: started %u times", what, at,
		      f->runner.n_started);
	cr_assert(o != OUTCOME_NOT_RUN || f->runner.bytes == 0, "%s %zu: not_run after %zu bytes",
		  what, at, f->runner.bytes);
	cr_assert(o != OUTCOME_DONE || answer_is_complete(&f->requester),
		  "%s %zu: done with %u bytes", what, at, f->requester.answer->len);
}

/* The runner closes after each byte of the request. */
Test(run, request_is_cut_after_every_byte)
{
	static const struct cut_case {
		const char *what;
		bool reset, idempotent, reuse;
	} cases[] = {
		{ "close", false, false, false },
		{ "reset", true, false, false },
		{ "close, idempotent", false, true, false },
		{ "reset, idempotent", true, true, false },
		{ "close, reused connection", false, false, true },
		{ "reset, reused connection", true, false, true },
		{ "close, idempotent, reused connection", false, true, true },
		{ "reset, idempotent, reused connection", true, true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct cut_case *c = &cases[i];
		size_t all = 1;

		for (size_t k = 0; k <= all; k++) {
			struct fixture f;

			setup(&f);
			f.runner.script.answer = LENGTH;
			f.runner.script.keep_alive = c->reuse;
			if (c->reuse || k == 0) {
				run_to_end(&f, true);
				cr_assert_eq(f.requester.end.outcome, OUTCOME_DONE);
				all = f.runner.bytes;
			}
			f.runner.script.read_bytes = k;
			f.runner.script.reset = c->reset;
			run_to_end(&f, c->idempotent);
			check_invariants(&f, k, c->what);
			cr_assert_neq(f.requester.end.outcome, OUTCOME_DONE);
			teardown(&f);
		}
	}
}

/* The runner closes after each byte of the answer. */
Test(run, answer_is_cut_after_every_byte)
{
	static const struct answer_case {
		const char *answer;
		enum outcome outcome; /* if the runner sends all of answer */
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
			struct fixture f;

			setup(&f);
			f.runner.echoes_id = false;
			f.runner.script.answer = c->answer;
			f.runner.script.answer_bytes = k;
			f.runner.script.reset = i % 2 && k < all;
			run_to_end(&f, i % 4 < 2);
			if (c->outcome != OUTCOME_NOT_RUN || k < strlen(REFUSAL))
				check_invariants(&f, k, c->answer);
			if (k == all)
				cr_assert_eq(f.requester.end.outcome, c->outcome, "%s: %s",
					     c->answer, outcome_name(f.requester.end.outcome));
			teardown(&f);
		}
	}
}

/* A refused connection ends as not_run; one closed before the runner reads may be unknown. */
Test(run, connection_is_refused_or_closed)
{
	static const struct refused_case {
		const char *what;
		bool refused, close_on_accept, reset;
	} cases[] = {
		{ "refused", true, false, false },
		{ "closed at accept", false, true, false },
		{ "reset at accept", false, true, true },
	};

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(cases); i++) {
		const struct refused_case *c = &cases[i / 2];
		struct fixture f;

		setup(&f);
		f.runner.script.close_on_accept = c->close_on_accept;
		f.runner.script.reset = c->reset;
		start(&f, c->refused ? raw_free_port() : f.runner.port, i % 2);
		cr_assert(raw_wait_until(has_ended, &f.requester));
		raw_settle();
		check_invariants(&f, i, c->what);
		cr_assert(!c->refused || f.requester.end.outcome == OUTCOME_NOT_RUN);
		cr_assert_neq(f.requester.end.outcome, OUTCOME_DONE);
		cr_assert_leq(f.runner.n_accepted, 1, "%s: connected again", c->what);
		teardown(&f);
	}
}

static bool has_started(void *ctx)
{
	return ((struct runner *)ctx)->n_started > 0;
}

/* The runner never answers; run_cancel() tells whether the request may have been written. */
Test(run, silent_runner_is_cancelled)
{
	for (int written = 0; written < 2; written++) {
		struct fixture f;
		struct run *r;
		bool may_be_written;

		setup(&f);
		r = start(&f, f.runner.port, false);
		if (written)
			cr_assert(raw_wait_until(has_started, &f.runner));
		may_be_written = run_cancel(r);
		raw_settle();
		cr_assert(may_be_written || f.runner.bytes == 0,
			  "reported as unwritten after %zu bytes", f.runner.bytes);
		cr_assert_eq(may_be_written, written);
		cr_assert_eq(f.requester.end_count, 0);
		teardown(&f);
	}
}

/* If may_start() returns false, nothing is written, also on a reused connection. */
Test(run, fenced_start_writes_nothing)
{
	for (int i = 0; i < 4; i++) {
		struct fixture f;

		setup(&f);
		f.runner.script.answer = LENGTH;
		f.runner.script.keep_alive = true;
		if (i / 2)
			run_to_end(&f, true);
		f.requester.refuse_start = true;
		run_to_end(&f, i % 2);
		cr_assert_eq(f.requester.end.outcome, OUTCOME_NOT_RUN);
		cr_assert_eq(f.runner.bytes, 0);
		teardown(&f);
	}
}

/* A second answer on a reused connection must not be taken for the next request's. */
Test(run, extra_answer_is_dropped)
{
	static const struct extra_case {
		const char *what, *extra, *late_extra;
		bool idempotent, echoes_id;
	} cases[] = {
		{ "pipelined", FORGED, NULL, true, true },
		{ "pipelined, runner echoes no id", FORGED, NULL, true, false },
		{ "pipelined, not idempotent", FORGED, NULL, false, true },
		{ "part", "HTTP/1.1 200 ", NULL, true, true },
		{ "late", NULL, LATE, true, true },
		{ "late, extra answer without id", NULL, FORGED, true, true },
		{ "late, runner echoes no id", NULL, FORGED, true, false },
		{ "late, not idempotent", NULL, LATE, false, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct extra_case *c = &cases[i];
		struct fixture f;

		setup(&f);
		f.runner.script.answer = LENGTH;
		f.runner.script.keep_alive = true;
		f.runner.script.extra = c->extra;
		f.runner.echoes_id = c->echoes_id;
		run_to_end(&f, true);
		cr_assert(answer_is_complete(&f.requester));
		f.runner.script.extra = NULL;
		f.runner.script.late_extra = c->late_extra;
		run_to_end(&f, c->idempotent);
		check_invariants(&f, i, c->what);
		cr_assert_eq(f.requester.answer->len, answer_is_complete(&f.requester) ? 11 : 0,
			     "%s: got %.*s", c->what, (int)f.requester.answer->len,
			     f.requester.answer->data);
		teardown(&f);
	}
}

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
	r->n_started = 0;
	soup_session_send_and_read_async(session, msg, G_PRIORITY_DEFAULT, NULL, on_sent, &sent);
	cr_assert(raw_wait_until(has_sent, &sent));
}

/*
 * Which requests libsoup sends again by itself when a reused connection closes without an answer.
 * run_start() relies on this when it chooses the flags of a message.
 */
Test(libsoup, resends_after_close)
{
	static const struct resend_case {
		const char *method;
		SoupMessageFlags flags;
		uint32_t n_started, n_accepted;
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
		r.script.answer = LENGTH;
		r.script.keep_alive = true;
		send_plain(session, &r, "GET", 0);
		r.script.answer = "";
		r.script.keep_alive = false;
		send_plain(session, &r, c->method, c->flags);
		raw_settle();
		cr_expect_eq(r.n_started, c->n_started, "%s %d: %u starts", c->method,
			     (int)c->flags, r.n_started);
		cr_expect_eq(r.n_accepted, c->n_accepted, "%s %d: %u connections", c->method,
			     (int)c->flags, r.n_accepted);
		soup_session_abort(session);
		runner_end(&r);
	}
}
