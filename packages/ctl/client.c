#include <string.h>

#include <libsoup/soup.h>

#include "client.h"
#include "request/json_text.h"

#define STEP "call"

struct client {
	SoupSession *session;
	GPtrArray *urls;
	uint32_t timeout_ms;
};

/* One HTTP request to one daemon and its response. */
struct exchange {
	GMainLoop *loop;
	GCancellable *cancellable;
	SoupMessage *message;
	GBytes *body;
	GError *error;
	bool sent;
	bool timed_out;
};

struct client *client_create(const char *const *urls, size_t n, uint32_t timeout_ms)
{
	struct client *c = g_new0(struct client, 1);

	c->session = soup_session_new_with_options("user-agent", "knapweedwheel/" KW_VERSION,
						   "timeout", 0, NULL);
	c->urls = g_ptr_array_new_with_free_func(g_free);
	c->timeout_ms = timeout_ms;
	for (size_t i = 0; i < n; i++)
		g_ptr_array_add(c->urls, g_strdup(urls[i]));
	return c;
}

void client_destroy(struct client *c)
{
	if (!c)
		return;
	soup_session_abort(c->session);
	g_object_unref(c->session);
	g_ptr_array_unref(c->urls);
	g_free(c);
}

const char *const *client_daemons(const struct client *c, size_t *n)
{
	*n = c->urls->len;
	return (const char *const *)c->urls->pdata;
}

static void on_starting(SoupMessage *message, void *data)
{
	struct exchange *x = data;

	x->sent = true;
}

static void on_response(GObject *source, GAsyncResult *result, void *data)
{
	struct exchange *x = data;

	x->body = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &x->error);
	g_main_loop_quit(x->loop);
}

static gboolean on_timeout(void *data)
{
	struct exchange *x = data;

	x->timed_out = true;
	g_cancellable_cancel(x->cancellable);
	return G_SOURCE_REMOVE;
}

static SoupMessage *build_message(const struct call *call, const char *base)
{
	g_autofree char *url = g_strconcat(base, call->path, NULL);
	SoupMessage *message = soup_message_new(call->method, url);
	SoupMessageHeaders *headers;

	if (!message)
		return NULL;
	headers = soup_message_get_request_headers(message);
	soup_message_headers_replace(headers, "Accept", "application/json");
	if (call->idempotency_key)
		soup_message_headers_replace(headers, "Idempotency-Key", call->idempotency_key);
	if (call->body) {
		g_autoptr(GBytes) body = g_bytes_new(call->body, call->size);

		soup_message_set_request_body_from_bytes(message, call->content_type, body);
	}
	return message;
}

static void run_exchange(struct client *c, struct exchange *x)
{
	guint timer = g_timeout_add(c->timeout_ms, on_timeout, x);

	x->loop = g_main_loop_new(NULL, false);
	x->cancellable = g_cancellable_new();
	g_signal_connect(x->message, "starting", G_CALLBACK(on_starting), x);
	soup_session_send_and_read_async(c->session, x->message, G_PRIORITY_DEFAULT, x->cancellable,
					 on_response, x);
	g_main_loop_run(x->loop);
	if (!x->timed_out)
		g_source_remove(timer);
	g_signal_handlers_disconnect_by_data(x->message, x);
}

static void clear_exchange(struct exchange *x)
{
	g_object_unref(x->message);
	g_object_unref(x->cancellable);
	g_main_loop_unref(x->loop);
	g_bytes_unref(x->body);
	g_clear_error(&x->error);
}

static char *read_detail(const struct reply *reply, const char *reason)
{
	JsonObject *object;
	const char *detail = NULL;

	if (reply->json && JSON_NODE_HOLDS_OBJECT(reply->json)) {
		object = json_node_get_object(reply->json);
		detail = json_object_get_string_member_with_default(object, "detail", NULL);
		if (!detail)
			detail = json_object_get_string_member_with_default(object, "title", NULL);
	}
	return g_strdup(detail ? detail : reason);
}

static void read_reply(const struct exchange *x, const char *base, struct reply *reply)
{
	SoupMessageHeaders *headers = soup_message_get_response_headers(x->message);
	const char *retry = soup_message_headers_get_one(headers, "Retry-After");
	g_autoptr(JsonParser) parser = json_parser_new();
	gsize size;
	const char *text = g_bytes_get_data(x->body, &size);

	*reply = (struct reply){
		.http_status = soup_message_get_status(x->message),
		.daemon = g_strdup(base),
		.retry_after_ms =
			retry ? (uint32_t)MIN(g_ascii_strtoull(retry, NULL, 10), 86400) * 1000 : 0,
	};
	if (json_text_load(parser, text, size, NULL))
		reply->json = json_parser_steal_root(parser);
	reply->detail = read_detail(reply, soup_message_get_reason_phrase(x->message));
}

static bool is_read_only(const struct call *call)
{
	return strcmp(call->method, "GET") == 0;
}

/* Calls one daemon. False if it didn't reply; after STATUS_UNKNOWN the next must not be tried. */
static bool try_daemon(struct client *c, const struct call *call, const char *base,
		       struct reply *reply, struct status *st)
{
	struct exchange x = { .message = build_message(call, base) };
	bool ok;

	if (!x.message)
		return status_set(st, STATUS_INVALID, STEP, base, "invalid URL");
	run_exchange(c, &x);
	ok = x.body != NULL;
	if (ok)
		read_reply(&x, base, reply);
	else
		status_set(st, x.sent && !is_read_only(call) ? STATUS_UNKNOWN : STATUS_UNAVAILABLE,
			   STEP, base, "%s", x.timed_out ? "timed out" : x.error->message);
	clear_exchange(&x);
	return ok;
}

bool client_call(struct client *c, const struct call *call, struct reply *reply, struct status *st)
{
	struct status unused;

	st = st ? st : &unused;
	status_set(st, STATUS_INVALID, STEP, "", "no daemon is given");
	for (guint i = 0; i < c->urls->len; i++) {
		if (try_daemon(c, call, c->urls->pdata[i], reply, st))
			return true;
		if (st->code == STATUS_UNKNOWN)
			return false;
	}
	return false;
}

bool client_call_daemon(struct client *c, size_t i, const struct call *call, struct reply *reply,
			struct status *st)
{
	return try_daemon(c, call, c->urls->pdata[i], reply, st);
}

void reply_clear(struct reply *reply)
{
	if (reply->json)
		json_node_unref(reply->json);
	g_free(reply->daemon);
	g_free(reply->detail);
	*reply = (struct reply){ 0 };
}

bool reply_ok(const struct reply *reply)
{
	return reply->http_status >= 200 && reply->http_status < 300;
}
