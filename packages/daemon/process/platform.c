#define G_LOG_DOMAIN "platform"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include <string.h>

#include "fields.h"
#include "log.h"
#include "platform.h"
#include "request/json_text.h"

#define APPEND_TIMEOUT_S 5
#define TAIL_BATCH	 256

struct platform {
	const struct settings *set;
	struct traffic *traffic;
	SoupSession *session;	   /* appends and VM lists */
	SoupSession *tail_session; /* long polls */
	GCancellable *cancel;
	GPtrArray *tails;
	vms_fn vms;
	void *vms_ctx;
	char *vms_etag; /* ETag of the last list */
	guint vms_timer;
	bool vms_in_flight;
};

struct tail {
	struct platform *platform;
	char *stream;
	uint64_t next;
	const struct tail_ops *ops;
	void *ctx;
	guint timer;
	uint32_t delay_ms;
	bool reachability_known;
	bool is_reachable;
	bool in_flight;
};

struct append {
	struct platform *platform;
	SoupMessage *msg;
	append_fn fn;
	void *ctx;
	bool sent;
};

static SoupSession *make_session(const struct settings *set, uint32_t timeout_s)
{
	g_autoptr(GInetAddress) ip = g_inet_address_new_from_string(set->listen_host);
	g_autoptr(GSocketAddress) local = g_inet_socket_address_new(ip, 0);

	return soup_session_new_with_options("local-address", local, "timeout", timeout_s,
					     "max-conns", 64, "max-conns-per-host", 32, NULL);
}

static uint64_t body_size(GBytes *b)
{
	return b ? g_bytes_get_size(b) : 0;
}

static void count_bytes(struct platform *p, enum traffic_role role, enum traffic_dir dir,
			uint64_t bytes)
{
	traffic_add(p->traffic, role, LINK_PLATFORM, dir, bytes, 0);
}

static JsonObject *parse_object(GBytes *body, JsonParser *parser)
{
	gsize size;
	const char *data = body ? g_bytes_get_data(body, &size) : NULL;
	JsonNode *root;

	if (!data || !json_text_load(parser, data, size, NULL))
		return NULL;
	root = json_parser_get_root(parser);
	return root && JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root) : NULL;
}

static void on_append_starting(SoupMessage *msg, gpointer data)
{
	((struct append *)data)->sent = true;
}

static void append_done(struct append *a, GBytes *body, const GError *err)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *o = parse_object(body, parser);
	guint status = soup_message_get_status(a->msg);

	if (!err && status == SOUP_STATUS_OK && o && json_object_has_member(o, "offset"))
		a->fn(a->ctx, APPEND_OK, (uint64_t)json_object_get_int_member(o, "offset"), "");
	else if (!a->sent || (!err && status >= 400))
		a->fn(a->ctx, APPEND_REFUSED, 0,
		      err ? err->message : soup_status_get_phrase(status));
	else
		a->fn(a->ctx, APPEND_UNKNOWN, 0, err ? err->message : "the answer is malformed");
}

static void on_append(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GError) err = NULL;
	g_autoptr(GBytes) body = soup_session_send_and_read_finish(SOUP_SESSION(src), res, &err);
	struct append *a = data;

	if (!g_error_matches(err, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
		count_bytes(a->platform, ROLE_JOBS, TRAFFIC_IN, body_size(body));
		append_done(a, body, err);
	}
	g_object_unref(a->msg);
	g_free(a);
}

void platform_append(struct platform *p, const char *stream, const uint8_t *data, size_t size,
		     append_fn fn, void *ctx)
{
	g_autofree char *url =
		g_strdup_printf("%s/v1/streams/%s/records", p->set->platform_url, stream);
	g_autoptr(GBytes) body = g_bytes_new(data, size);
	struct append *a = g_new0(struct append, 1);

	a->platform = p;
	a->fn = fn;
	a->ctx = ctx;
	a->msg = soup_message_new("POST", url);
	soup_message_set_request_body_from_bytes(a->msg, "application/octet-stream", body);
	g_signal_connect(a->msg, "starting", G_CALLBACK(on_append_starting), a);
	count_bytes(p, ROLE_JOBS, TRAFFIC_OUT, size);
	soup_session_send_and_read_async(p->session, a->msg, G_PRIORITY_DEFAULT, p->cancel,
					 on_append, a);
}

static void tail_poll(struct tail *t);

static enum traffic_role tail_role(const struct tail *t)
{
	return g_str_has_prefix(t->stream, "jobs.") ? ROLE_JOBS : ROLE_CONFIG;
}

static void set_reachable(struct tail *t, bool yes)
{
	if (t->reachability_known && t->is_reachable == yes)
		return;
	t->reachability_known = true;
	t->is_reachable = yes;
	if (!yes)
		log_warn("tail", t->stream, "log not reachable");
	t->ops->reachable(t->ctx, yes);
}

static gboolean on_tail_timer(gpointer data)
{
	struct tail *t = data;

	t->timer = 0;
	tail_poll(t);
	return G_SOURCE_REMOVE;
}

static void tail_poll_later(struct tail *t)
{
	const struct settings *set = t->platform->set;

	t->delay_ms = CLAMP(t->delay_ms * 2, set->log_retry_min_ms, set->log_retry_max_ms);
	t->timer = g_timeout_add(t->delay_ms, on_tail_timer, t);
}

static void tail_pass_record(struct tail *t, JsonObject *rec)
{
	uint64_t offset = (uint64_t)json_object_get_int_member(rec, "offset");
	g_autofree guchar *data = NULL;
	gsize size;

	if (offset != t->next)
		return;
	data = g_base64_decode(json_object_get_string_member(rec, "data"), &size);
	t->next = offset + 1;
	t->ops->record(t->ctx, offset, data, size);
}

/* Passes the records of an answer on. Returns false if the answer is invalid. */
static bool tail_pass_records(struct tail *t, JsonObject *o)
{
	JsonArray *records = o && json_object_has_member(o, "records")
				     ? json_object_get_array_member(o, "records")
				     : NULL;

	if (!records)
		return false;
	if ((uint64_t)json_object_get_int_member(o, "next") < t->next) {
		log_error("tail", t->stream,
			  "the log ends before offset %" G_GUINT64_FORMAT
			  ", which was read already",
			  t->next);
		return false;
	}
	for (guint i = 0; i < json_array_get_length(records); i++)
		tail_pass_record(t, json_array_get_object_element(records, i));
	if (t->next >= (uint64_t)json_object_get_int_member(o, "next"))
		t->ops->caught_up(t->ctx, t->next);
	return true;
}

static void tail_handle_answer(struct tail *t, guint status, GBytes *body)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *o = parse_object(body, parser);

	if (status == SOUP_STATUS_GONE && o && json_object_has_member(o, "first")) {
		set_reachable(t, true);
		t->ops->truncated(t->ctx, (uint64_t)json_object_get_int_member(o, "first"));
		tail_poll_later(t);
		return;
	}
	if (status != SOUP_STATUS_OK || !tail_pass_records(t, o)) {
		set_reachable(t, false);
		tail_poll_later(t);
		return;
	}
	t->delay_ms = 0;
	set_reachable(t, true);
	tail_poll(t);
}

static void on_tail(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GError) err = NULL;
	g_autoptr(GBytes) body = soup_session_send_and_read_finish(SOUP_SESSION(src), res, &err);
	SoupMessage *msg = soup_session_get_async_result_message(SOUP_SESSION(src), res);
	struct tail *t = data;

	if (g_error_matches(err, G_IO_ERROR, G_IO_ERROR_CANCELLED))
		return;
	t->in_flight = false;
	count_bytes(t->platform, tail_role(t), TRAFFIC_IN, body_size(body));
	tail_handle_answer(t, err ? 0 : soup_message_get_status(msg), body);
}

static void tail_poll(struct tail *t)
{
	struct platform *p = t->platform;
	g_autofree char *url = g_strdup_printf("%s/v1/streams/%s/records?from=%" G_GUINT64_FORMAT
					       "&max=%u&wait_ms=%u",
					       p->set->platform_url, t->stream, t->next, TAIL_BATCH,
					       t->is_reachable ? p->set->log_wait_ms : 0);
	g_autoptr(SoupMessage) msg = soup_message_new("GET", url);

	if (t->in_flight)
		return;
	t->in_flight = true;
	count_bytes(p, tail_role(t), TRAFFIC_OUT, strlen(url));
	soup_session_send_and_read_async(p->tail_session, msg, G_PRIORITY_DEFAULT, p->cancel,
					 on_tail, t);
}

struct tail *platform_tail(struct platform *p, const char *stream, uint64_t from,
			   const struct tail_ops *ops, void *ctx)
{
	struct tail *t = g_new0(struct tail, 1);

	t->platform = p;
	t->stream = g_strdup(stream);
	t->next = from;
	t->ops = ops;
	t->ctx = ctx;
	g_ptr_array_add(p->tails, t);
	tail_poll(t);
	return t;
}

void tail_seek(struct tail *t, uint64_t offset)
{
	t->next = offset;
}

bool tail_reachable(const struct tail *t)
{
	return t->is_reachable;
}

static void read_vm(JsonObject *o, struct vm *vm)
{
	*vm = (struct vm){
		.name = fields_text(o, "name"),
		.dc = fields_text(o, "dc"),
		.region = fields_text(o, "region"),
		.rack = fields_text(o, "rack"),
		.host = fields_text(o, "host"),
		.path = fields_text(o, "path"),
		.service = fields_text(o, "service"),
		.total = { .cpu_milli = (uint32_t)fields_number(o, "cpu_milli"),
			   .mem_bytes = (uint64_t)fields_number(o, "mem_bytes"),
			   .accel = (uint32_t)fields_number(o, "accel") },
		.slots = (uint32_t)fields_number(o, "slots"),
		.connections = (uint32_t)fields_number(o, "connections"),
		.port = (uint16_t)fields_number(o, "port"),
		.is_entry = g_str_equal(fields_text(o, "kind"), "entry"),
		.leaving = fields_flag(o, "leaving"),
	};
}

static void parse_vms(struct platform *p, GBytes *body)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *o = parse_object(body, parser);
	g_autofree struct vm *vm = NULL;
	JsonArray *list;
	guint n;

	if (!o || !json_object_has_member(o, "vms"))
		return;
	list = json_object_get_array_member(o, "vms");
	n = json_array_get_length(list);
	vm = g_new0(struct vm, n + 1);
	for (guint i = 0; i < n; i++)
		read_vm(json_array_get_object_element(list, i), &vm[i]);
	p->vms(p->vms_ctx, vm, n);
}

static void on_vms(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GError) err = NULL;
	g_autoptr(GBytes) body = soup_session_send_and_read_finish(SOUP_SESSION(src), res, &err);
	SoupMessage *msg = soup_session_get_async_result_message(SOUP_SESSION(src), res);
	struct platform *p = data;

	if (g_error_matches(err, G_IO_ERROR, G_IO_ERROR_CANCELLED))
		return;
	p->vms_in_flight = false;
	if (!err && soup_message_get_status(msg) == SOUP_STATUS_NOT_MODIFIED) {
		count_bytes(p, ROLE_MEMBERSHIP, TRAFFIC_IN, 0);
		p->vms(p->vms_ctx, NULL, 0);
	}
	if (err || soup_message_get_status(msg) != SOUP_STATUS_OK)
		return;
	count_bytes(p, ROLE_MEMBERSHIP, TRAFFIC_IN, body_size(body));
	g_free(p->vms_etag);
	p->vms_etag = g_strdup(
		soup_message_headers_get_one(soup_message_get_response_headers(msg), "ETag"));
	parse_vms(p, body);
}

static gboolean poll_vms(gpointer data)
{
	struct platform *p = data;
	g_autofree char *url = NULL;
	g_autoptr(SoupMessage) msg = NULL;

	if (p->vms_in_flight)
		return G_SOURCE_CONTINUE;
	url = g_strdup_printf("%s/v1/vms", p->set->platform_url);
	msg = soup_message_new("GET", url);
	if (p->vms_etag)
		soup_message_headers_replace(soup_message_get_request_headers(msg), "If-None-Match",
					     p->vms_etag);
	p->vms_in_flight = true;
	count_bytes(p, ROLE_MEMBERSHIP, TRAFFIC_OUT, strlen(url));
	soup_session_send_and_read_async(p->session, msg, G_PRIORITY_DEFAULT, p->cancel, on_vms, p);
	return G_SOURCE_CONTINUE;
}

void platform_watch_vms(struct platform *p, vms_fn fn, void *ctx)
{
	p->vms = fn;
	p->vms_ctx = ctx;
	p->vms_timer = g_timeout_add(p->set->vms_poll_ms, poll_vms, p);
	poll_vms(p);
}

static void tail_free(gpointer data)
{
	struct tail *t = data;

	if (t->timer)
		g_source_remove(t->timer);
	g_free(t->stream);
	g_free(t);
}

struct platform *platform_create(const struct settings *set, struct traffic *traffic)
{
	struct platform *p = g_new0(struct platform, 1);

	p->set = set;
	p->traffic = traffic;
	p->session = make_session(set, APPEND_TIMEOUT_S);
	p->tail_session = make_session(set, APPEND_TIMEOUT_S + set->log_wait_ms / 1000);
	p->cancel = g_cancellable_new();
	p->tails = g_ptr_array_new_with_free_func(tail_free);
	return p;
}

void platform_destroy(struct platform *p)
{
	if (!p)
		return;
	g_cancellable_cancel(p->cancel);
	if (p->vms_timer)
		g_source_remove(p->vms_timer);
	soup_session_abort(p->session);
	soup_session_abort(p->tail_session);
	g_ptr_array_unref(p->tails);
	g_object_unref(p->session);
	g_object_unref(p->tail_session);
	g_object_unref(p->cancel);
	g_free(p->vms_etag);
	g_free(p);
}
