#define G_LOG_DOMAIN "worker"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "fields.h"
#include "request/json_text.h"
#include "worker.h"

#define TIMEOUT_S		 10
#define HTTP_OVERHEAD_BYTES	 134 /* HTTP headers, in each direction */
#define CONNECTIONS_MAX		 1024
#define CONNECTIONS_PER_HOST_MAX 1024

struct worker_client {
	const struct settings *set;
	struct traffic *traffic;
	SoupSession *session;
	GCancellable *cancel;
};

struct exchange {
	struct worker_client *client;
	SoupMessage *msg;
	worker_reply_fn fn;
	void *ctx;
	bool request_written;
};

static void on_starting(SoupMessage *msg, gpointer data)
{
	((struct exchange *)data)->request_written = true;
}

static void read_task(JsonObject *o, struct worker_task *t)
{
	*t = (struct worker_task){
		.id = fields_text(o, "id"),
		.job = fields_text(o, "job"),
		.team = fields_text(o, "team"),
		.service = fields_text(o, "service"),
		.reason = fields_text(o, "reason"),
		.size = { .cpu_milli = (uint32_t)fields_number(o, "cpu_milli"),
			  .mem_bytes = (uint64_t)fields_number(o, "mem_bytes"),
			  .accel = (uint32_t)fields_number(o, "accel") },
		.class = WORK_BATCH,
		.index = (uint32_t)fields_number(o, "index"),
		.attempt = (uint32_t)fields_number(o, "attempt"),
		.exit = (int32_t)fields_number(o, "exit"),
		.ended = g_str_equal(fields_text(o, "state"), "ended"),
		.accepted = fields_flag(o, "ok"),
	};
	work_class_parse(fields_text(o, "class"), &t->class);
}

static struct worker_task *read_tasks(JsonObject *o, const char *key, size_t *n)
{
	JsonArray *list =
		json_object_has_member(o, key) ? json_object_get_array_member(o, key) : NULL;
	struct worker_task *t;

	*n = list ? json_array_get_length(list) : 0;
	t = g_new0(struct worker_task, *n + 1);
	for (size_t i = 0; i < *n; i++)
		read_task(json_array_get_object_element(list, (guint)i), &t[i]);
	return t;
}

static enum worker_result reply_result(const struct exchange *x, const GError *err, bool parsed)
{
	guint status = soup_message_get_status(x->msg);

	if (err)
		return x->request_written ? WORKER_NO_ANSWER : WORKER_NOT_SENT;
	if (status == SOUP_STATUS_CONFLICT)
		return WORKER_NEWER_EPOCH;
	if (status == SOUP_STATUS_GONE)
		return WORKER_LAPSED;
	return status == SOUP_STATUS_OK && parsed ? WORKER_OK : WORKER_NO_ANSWER;
}

static void handle_reply(struct exchange *x, GBytes *body, const GError *err)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	g_autofree struct worker_task *task = NULL;
	g_autofree struct worker_task *usage = NULL;
	struct worker_reply r = { .error = err ? err->message : "" };
	JsonObject *o = NULL;
	gsize size = 0;
	const char *data = body ? g_bytes_get_data(body, &size) : NULL;

	if (data && json_text_load(parser, data, size, NULL) &&
	    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		o = json_node_get_object(json_parser_get_root(parser));
	r.result = reply_result(x, err, o != NULL);
	if (o) {
		const char *key = json_object_has_member(o, "ended")   ? "ended"
				  : json_object_has_member(o, "tasks") ? "tasks"
								       : "results";

		r.epoch = (uint64_t)fields_number(o, "epoch");
		r.seq = (uint64_t)fields_number(o, "seq");
		r.runs = (uint32_t)fields_number(o, "runs");
		r.leaving = fields_flag(o, "leaving");
		task = read_tasks(o, key, &r.n_task);
		usage = read_tasks(o, "usage", &r.n_usage);
		r.task = task;
		r.usage = usage;
	}
	traffic_add(x->client->traffic, ROLE_OWNER, LINK_WORKER, TRAFFIC_IN,
		    size + HTTP_OVERHEAD_BYTES, 0);
	x->fn(x->ctx, &r);
}

static void on_reply(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GError) err = NULL;
	g_autoptr(GBytes) body = soup_session_send_and_read_finish(SOUP_SESSION(src), res, &err);
	struct exchange *x = data;

	if (!g_error_matches(err, G_IO_ERROR, G_IO_ERROR_CANCELLED))
		handle_reply(x, body, err);
	g_object_unref(x->msg);
	g_free(x);
}

static void post(struct worker_client *wc, const char *url, const char *action, JsonBuilder *b,
		 worker_reply_fn fn, void *ctx)
{
	g_autofree char *full = g_strdup_printf("%s/%s", url, action);
	g_autoptr(JsonNode) root = json_builder_get_root(b);
	char *body = json_to_string(root, FALSE);
	gsize size = strlen(body);
	g_autoptr(GBytes) bytes = g_bytes_new_take(body, size);
	struct exchange *x = g_new0(struct exchange, 1);

	x->client = wc;
	x->fn = fn;
	x->ctx = ctx;
	x->msg = soup_message_new("POST", full);
	/* Safe to repeat: the worker checks the epoch and the task id. */
	soup_message_add_flags(x->msg, SOUP_MESSAGE_IDEMPOTENT);
	soup_message_set_request_body_from_bytes(x->msg, "application/json", bytes);
	g_signal_connect(x->msg, "starting", G_CALLBACK(on_starting), x);
	traffic_add(wc->traffic, ROLE_OWNER, LINK_WORKER, TRAFFIC_OUT, size + HTTP_OVERHEAD_BYTES,
		    0);
	soup_session_send_and_read_async(wc->session, x->msg, G_PRIORITY_DEFAULT, wc->cancel,
					 on_reply, x);
}

static void http_open(struct worker_client *wc, const char *url, const char *owner, uint64_t epoch,
		      worker_reply_fn fn, void *ctx)
{
	g_autoptr(JsonBuilder) b = json_builder_new();

	json_builder_begin_object(b);
	fields_add_text(b, "owner", owner);
	fields_add_number(b, "epoch", epoch);
	fields_add_number(b, "lease_ms", wc->set->lease_ms);
	fields_add_number(b, "task_lease_ms", wc->set->task_lease_ms);
	json_builder_end_object(b);
	post(wc, url, "session", b, fn, ctx);
}

static void http_renew(struct worker_client *wc, const char *url, uint64_t epoch, uint64_t ack,
		       uint32_t wait_ms, worker_reply_fn fn, void *ctx)
{
	g_autoptr(JsonBuilder) b = json_builder_new();

	json_builder_begin_object(b);
	fields_add_number(b, "epoch", epoch);
	fields_add_number(b, "ack", ack);
	fields_add_number(b, "wait_ms", wait_ms);
	json_builder_end_object(b);
	post(wc, url, "renew", b, fn, ctx);
}

static void add_task(JsonBuilder *b, const struct worker_task *t)
{
	json_builder_begin_object(b);
	fields_add_text(b, "id", t->id);
	fields_add_text(b, "job", t->job);
	fields_add_number(b, "index", t->index);
	fields_add_number(b, "attempt", t->attempt);
	fields_add_text(b, "team", t->team);
	fields_add_text(b, "service", t->service);
	fields_add_text(b, "class", work_class_name(t->class));
	fields_add_number(b, "cpu_milli", t->size.cpu_milli);
	fields_add_number(b, "mem_bytes", t->size.mem_bytes);
	fields_add_number(b, "accel", t->size.accel);
	fields_add_number(b, "run_ms", t->run_ms);
	json_builder_end_object(b);
}

static void http_start(struct worker_client *wc, const char *url, uint64_t epoch,
		       const struct worker_task *task, size_t n, worker_reply_fn fn, void *ctx)
{
	g_autoptr(JsonBuilder) b = json_builder_new();

	json_builder_begin_object(b);
	fields_add_number(b, "epoch", epoch);
	json_builder_set_member_name(b, "tasks");
	json_builder_begin_array(b);
	for (size_t i = 0; i < n; i++)
		add_task(b, &task[i]);
	json_builder_end_array(b);
	json_builder_end_object(b);
	post(wc, url, "tasks", b, fn, ctx);
}

static void http_stop(struct worker_client *wc, const char *url, uint64_t epoch, const char *id,
		      bool checkpoint, worker_reply_fn fn, void *ctx)
{
	g_autoptr(JsonBuilder) b = json_builder_new();

	json_builder_begin_object(b);
	fields_add_number(b, "epoch", epoch);
	fields_add_text(b, "id", id);
	json_builder_set_member_name(b, "checkpoint");
	json_builder_add_boolean_value(b, checkpoint);
	json_builder_end_object(b);
	post(wc, url, "stop", b, fn, ctx);
}

const struct worker_ops worker_http_ops = {
	.open = http_open,
	.renew = http_renew,
	.start = http_start,
	.stop = http_stop,
};

struct worker_client *worker_client_create(const struct settings *set, struct traffic *traffic)
{
	struct worker_client *wc = g_new0(struct worker_client, 1);
	g_autoptr(GInetAddress) ip = g_inet_address_new_from_string(set->listen_host);
	g_autoptr(GSocketAddress) local = g_inet_socket_address_new(ip, 0);

	wc->set = set;
	wc->traffic = traffic;
	wc->cancel = g_cancellable_new();
	wc->session = soup_session_new_with_options(
		"local-address", local, "timeout", TIMEOUT_S + set->renew_ms / 1000, "max-conns",
		CONNECTIONS_MAX, "max-conns-per-host", CONNECTIONS_PER_HOST_MAX, NULL);
	return wc;
}

void worker_client_destroy(struct worker_client *wc)
{
	if (!wc)
		return;
	g_cancellable_cancel(wc->cancel);
	soup_session_abort(wc->session);
	g_object_unref(wc->session);
	g_object_unref(wc->cancel);
	g_free(wc);
}
