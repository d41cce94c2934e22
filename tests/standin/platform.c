#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "standin.h"

#define RECORD_MAX_BYTES (1024UL * 1024)
#define READ_MAX_RECORDS 10000
#define READ_MAX_BYTES	 (4UL * 1024 * 1024)
#define WAIT_MAX_MS	 60000
#define VMS_POLL_MS	 50

struct record {
	GBytes *data;
	int64_t time_ms;
};

struct stream {
	char *name;
	GPtrArray *records; /* of struct record, the first one at offset first */
	uint64_t first;
	GList *waiters;
};

struct waiter {
	struct platform *p;
	struct stream *stream;
	SoupServerMessage *msg;
	uint64_t from;
	uint64_t max;
	guint timer;
};

/* A version of the VM list and the time since which it is valid. */
struct vms {
	char *text;
	int64_t since_ms;
};

enum down_mode { DOWN_NO, DOWN_503, DOWN_DROP };

struct platform {
	SoupServer *server;
	GHashTable *streams;
	char *vms_path;
	GPtrArray *vms; /* of struct vms, oldest first */
	GHashTable *cut;
	enum down_mode down;
	int64_t slow_ms;
	int64_t lose_ack;
	int64_t vms_lag_ms;
	bool vms_frozen;
	bool vms_down;
	uint64_t appends;
	uint64_t reads;
};

/* A request delayed by slow_ms. */
struct delayed {
	struct platform *p;
	SoupServerMessage *msg;
	char *path;
	GHashTable *query;
};

static void record_free(gpointer data)
{
	struct record *r = data;

	g_bytes_unref(r->data);
	g_free(r);
}

static void vms_free(gpointer data)
{
	struct vms *v = data;

	g_free(v->text);
	g_free(v);
}

static struct stream *stream_get(struct platform *p, const char *name)
{
	struct stream *s = g_hash_table_lookup(p->streams, name);

	if (s)
		return s;
	s = g_new0(struct stream, 1);
	s->name = g_strdup(name);
	s->records = g_ptr_array_new_with_free_func(record_free);
	g_hash_table_insert(p->streams, s->name, s);
	return s;
}

static uint64_t stream_next(const struct stream *s)
{
	return s->first + s->records->len;
}

static void reply_gone(SoupServerMessage *msg, const struct stream *s)
{
	JsonBuilder *b = json_builder_new();

	json_builder_begin_object(b);
	standin_set_int(b, "first", (int64_t)s->first);
	standin_set_int(b, "next", (int64_t)stream_next(s));
	json_builder_end_object(b);
	standin_reply(msg, SOUP_STATUS_GONE, b);
}

static void add_record(JsonBuilder *b, uint64_t offset, const struct record *r)
{
	gsize len;
	const guchar *data = g_bytes_get_data(r->data, &len);
	g_autofree char *text = g_base64_encode(data, len);

	json_builder_begin_object(b);
	standin_set_int(b, "offset", (int64_t)offset);
	standin_set_int(b, "time_ms", r->time_ms);
	standin_set_str(b, "data", text);
	json_builder_end_object(b);
}

static void reply_records(SoupServerMessage *msg, const struct stream *s, uint64_t from,
			  uint64_t max)
{
	JsonBuilder *b;
	uint64_t bytes = 0;

	if (from < s->first) {
		reply_gone(msg, s);
		return;
	}
	b = json_builder_new();
	json_builder_begin_object(b);
	standin_set_int(b, "first", (int64_t)s->first);
	standin_set_int(b, "next", (int64_t)stream_next(s));
	json_builder_set_member_name(b, "records");
	json_builder_begin_array(b);
	for (uint64_t at = from; at < stream_next(s) && at - from < max; at++) {
		const struct record *r = g_ptr_array_index(s->records, at - s->first);

		if (bytes && bytes + g_bytes_get_size(r->data) > READ_MAX_BYTES)
			break;
		bytes += g_bytes_get_size(r->data);
		add_record(b, at, r);
	}
	json_builder_end_array(b);
	json_builder_end_object(b);
	standin_reply(msg, SOUP_STATUS_OK, b);
}

static void waiter_end(struct waiter *w)
{
	struct platform *p = w->p;

	w->stream->waiters = g_list_remove(w->stream->waiters, w);
	if (w->timer)
		g_source_remove(w->timer);
	if (p->down == DOWN_503)
		standin_error(w->msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "down");
	else if (p->down == DOWN_DROP)
		standin_drop(w->msg);
	else
		reply_records(w->msg, w->stream, w->from, w->max);
	soup_server_message_unpause(w->msg);
	g_object_unref(w->msg);
	g_free(w);
}

static gboolean waiter_timeout(gpointer data)
{
	struct waiter *w = data;

	w->timer = 0;
	waiter_end(w);
	return G_SOURCE_REMOVE;
}

static void wake_waiters(struct stream *s)
{
	GList *waiters = g_steal_pointer(&s->waiters);

	for (GList *at = waiters; at; at = at->next)
		waiter_end(at->data);
	g_list_free(waiters);
}

static uint64_t query_int(GHashTable *query, const char *name, uint64_t otherwise)
{
	const char *text = query ? g_hash_table_lookup(query, name) : NULL;
	uint64_t value;

	if (!text || !g_ascii_string_to_unsigned(text, 10, 0, UINT64_MAX, &value, NULL))
		return otherwise;
	return value;
}

static void stream_read(struct platform *p, struct stream *s, SoupServerMessage *msg,
			GHashTable *query)
{
	uint64_t from = query_int(query, "from", 0);
	uint64_t max = query_int(query, "max", READ_MAX_RECORDS);
	uint64_t wait_ms = query_int(query, "wait_ms", 0);
	struct waiter *w;

	p->reads++;
	if (from < stream_next(s) || !wait_ms) {
		reply_records(msg, s, from, max);
		return;
	}
	w = g_new0(struct waiter, 1);
	w->p = p;
	w->stream = s;
	w->msg = g_object_ref(msg);
	w->from = from;
	w->max = max;
	w->timer = g_timeout_add((guint)MIN(wait_ms, WAIT_MAX_MS), waiter_timeout, w);
	s->waiters = g_list_append(s->waiters, w);
	soup_server_message_pause(msg);
}

static void stream_append(struct platform *p, struct stream *s, SoupServerMessage *msg)
{
	GBytes *data = soup_message_body_flatten(soup_server_message_get_request_body(msg));
	struct record *r;
	JsonBuilder *b;

	if (g_bytes_get_size(data) > RECORD_MAX_BYTES) {
		g_bytes_unref(data);
		standin_error(msg, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, "record too large");
		return;
	}
	r = g_new0(struct record, 1);
	r->data = data;
	r->time_ms = g_get_real_time() / 1000;
	g_ptr_array_add(s->records, r);
	p->appends++;
	if (p->lose_ack > 0) {
		p->lose_ack--;
		standin_drop(msg);
	} else {
		b = json_builder_new();
		json_builder_begin_object(b);
		standin_set_int(b, "offset", (int64_t)stream_next(s) - 1);
		json_builder_end_object(b);
		standin_reply(msg, SOUP_STATUS_OK, b);
	}
	wake_waiters(s);
}

static void stream_trim(struct stream *s, uint64_t before)
{
	uint64_t count = 0;

	if (before > s->first)
		count = MIN(before - s->first, s->records->len);
	if (!count)
		return;
	g_ptr_array_remove_range(s->records, 0, (guint)count);
	s->first += count;
	wake_waiters(s);
}

/* Loads the file if it changed. An unreadable or half-written file is ignored. */
static gboolean vms_load(gpointer data)
{
	struct platform *p = data;
	g_autofree char *text = NULL;
	g_autoptr(JsonParser) parser = json_parser_new();
	const struct vms *last = NULL;
	struct vms *v;

	if (p->vms->len)
		last = g_ptr_array_index(p->vms, p->vms->len - 1);
	if (p->vms_frozen || !g_file_get_contents(p->vms_path, &text, NULL, NULL))
		return G_SOURCE_CONTINUE;
	if (last && !strcmp(last->text, text))
		return G_SOURCE_CONTINUE;
	if (!json_parser_load_from_data(parser, text, -1, NULL))
		return G_SOURCE_CONTINUE;
	v = g_new0(struct vms, 1);
	v->text = g_steal_pointer(&text);
	v->since_ms = last ? standin_now_ms() : 0;
	g_ptr_array_add(p->vms, v);
	return G_SOURCE_CONTINUE;
}

static void vms_read(struct platform *p, SoupServerMessage *msg)
{
	const struct vms *found = NULL;
	g_autofree char *tag = NULL;
	int64_t at_ms;

	vms_load(p);
	at_ms = standin_now_ms() - p->vms_lag_ms;
	for (guint i = 0; i < p->vms->len; i++) {
		const struct vms *v = g_ptr_array_index(p->vms, i);

		if (!found || v->since_ms <= at_ms)
			found = v;
	}
	if (p->vms_down || !found) {
		standin_error(msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "no list");
		return;
	}
	tag = g_strdup_printf("\"%u-%" G_GINT64_FORMAT "\"", g_str_hash(found->text),
			      found->since_ms);
	soup_message_headers_replace(soup_server_message_get_response_headers(msg), "ETag", tag);
	if (!g_strcmp0(tag,
		       soup_message_headers_get_one(soup_server_message_get_request_headers(msg),
						    "If-None-Match"))) {
		soup_server_message_set_status(msg, SOUP_STATUS_NOT_MODIFIED, NULL);
		return;
	}
	soup_server_message_set_status(msg, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_COPY, found->text,
					 strlen(found->text));
}

static void fault_cut(struct platform *p, JsonArray *hosts)
{
	g_hash_table_remove_all(p->cut);
	for (guint i = 0; hosts && i < json_array_get_length(hosts); i++)
		g_hash_table_add(p->cut, g_strdup(json_array_get_string_element(hosts, i)));
}

static void fault_down(struct platform *p, JsonObject *o)
{
	GHashTableIter it;
	gpointer stream;

	if (!g_strcmp0(standin_str(o, "down", ""), "drop"))
		p->down = DOWN_DROP;
	else
		p->down = standin_flag(o, "down", false) ? DOWN_503 : DOWN_NO;
	if (p->down == DOWN_NO)
		return;
	g_hash_table_iter_init(&it, p->streams);
	while (g_hash_table_iter_next(&it, NULL, &stream))
		wake_waiters(stream);
}

static void fault_set(struct platform *p, SoupServerMessage *msg)
{
	JsonObject *o = standin_body(msg);
	JsonObject *trim;
	JsonBuilder *b;

	if (!o) {
		standin_error(msg, SOUP_STATUS_BAD_REQUEST, "not an object");
		return;
	}
	if (json_object_has_member(o, "down"))
		fault_down(p, o);
	if (json_object_has_member(o, "cut"))
		fault_cut(p, json_object_get_array_member(o, "cut"));
	p->slow_ms = standin_int(o, "slow_ms", p->slow_ms);
	p->lose_ack = standin_int(o, "lose_ack", p->lose_ack);
	p->vms_lag_ms = standin_int(o, "vms_lag_ms", p->vms_lag_ms);
	p->vms_down = standin_flag(o, "vms_down", p->vms_down);
	if (standin_flag(o, "vms_frozen", false))
		vms_load(p);
	p->vms_frozen = standin_flag(o, "vms_frozen", p->vms_frozen);
	if (json_object_has_member(o, "trim")) {
		trim = json_object_get_object_member(o, "trim");
		stream_trim(stream_get(p, standin_str(trim, "stream", "")),
			    (uint64_t)standin_int(trim, "before", 0));
	}
	json_object_unref(o);
	b = json_builder_new();
	json_builder_begin_object(b);
	standin_set_int(b, "appends", (int64_t)p->appends);
	standin_set_int(b, "reads", (int64_t)p->reads);
	json_builder_end_object(b);
	standin_reply(msg, SOUP_STATUS_OK, b);
}

static bool is_cut(struct platform *p, SoupServerMessage *msg)
{
	const char *host = soup_server_message_get_remote_host(msg);

	return p->down == DOWN_DROP || (host && g_hash_table_contains(p->cut, host));
}

static void route(struct platform *p, SoupServerMessage *msg, const char *path, GHashTable *query)
{
	const char *method = soup_server_message_get_method(msg);
	g_auto(GStrv) parts = g_strsplit(path, "/", -1);
	struct stream *s;

	if (is_cut(p, msg)) {
		standin_drop(msg);
	} else if (p->down == DOWN_503) {
		standin_error(msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "down");
	} else if (!strcmp(path, "/v1/vms")) {
		vms_read(p, msg);
	} else if (g_strv_length(parts) == 5 && !strcmp(parts[2], "streams") &&
		   !strcmp(parts[4], "records")) {
		s = stream_get(p, parts[3]);
		if (!strcmp(method, "POST"))
			stream_append(p, s, msg);
		else
			stream_read(p, s, msg, query);
	} else {
		standin_error(msg, SOUP_STATUS_NOT_FOUND, "no such path");
	}
}

static gboolean delayed_end(gpointer data)
{
	struct delayed *d = data;

	soup_server_message_unpause(d->msg);
	route(d->p, d->msg, d->path, d->query);
	g_object_unref(d->msg);
	g_free(d->path);
	if (d->query)
		g_hash_table_unref(d->query);
	g_free(d);
	return G_SOURCE_REMOVE;
}

static void on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer data)
{
	struct platform *p = data;
	struct delayed *d;

	if (!strcmp(path, "/fault")) {
		fault_set(p, msg);
		return;
	}
	if (!p->slow_ms) {
		route(p, msg, path, query);
		return;
	}
	d = g_new0(struct delayed, 1);
	d->p = p;
	d->msg = g_object_ref(msg);
	d->path = g_strdup(path);
	d->query = query ? g_hash_table_ref(query) : NULL;
	soup_server_message_pause(msg);
	g_timeout_add((guint)p->slow_ms, delayed_end, d);
}

static int serve(const char *listen, const char *vms_path)
{
	struct platform p = { .vms_path = g_strdup(vms_path) };
	g_autofree char *host = NULL;
	uint16_t port;

	if (!standin_split(listen, &host, &port)) {
		g_printerr("not HOST:PORT: %s\n", listen);
		return EXIT_FAILURE;
	}
	p.streams = g_hash_table_new(g_str_hash, g_str_equal);
	p.vms = g_ptr_array_new_with_free_func(vms_free);
	p.cut = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p.server = soup_server_new("server-header", "standin-platform", NULL);
	soup_server_add_handler(p.server, NULL, on_request, &p, NULL);
	vms_load(&p);
	g_timeout_add(VMS_POLL_MS, vms_load, &p);
	if (!standin_listen(p.server, host, port))
		return EXIT_FAILURE;
	standin_run();
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arg_str *listen = arg_str1(NULL, "listen", "HOST:PORT", "address to serve on");
	struct arg_str *vms = arg_str1(NULL, "vms", "FILE", "VM list, read again when it changes");
	struct arg_end *end = arg_end(4);
	void *table[] = { listen, vms, end };
	int ret = EXIT_FAILURE;

	if (arg_parse(argc, argv, table) == 0)
		ret = serve(listen->sval[0], vms->sval[0]);
	else
		arg_print_errors(stderr, end, argv[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return ret;
}
