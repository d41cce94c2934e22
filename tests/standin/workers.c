#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "runner.h"

#define TICK_MS 10

/* All workers of one data centre. */
struct site {
	SoupServer *server;
	GHashTable *by_path; /* base path, without outer slashes -> struct worker */
	GHashTable *by_name;
	GHashTable *addresses; /* set of HOST:PORT */
	struct record_file *record;
};

/* A call delayed while its worker is frozen. */
struct frozen {
	struct worker *w;
	SoupServerMessage *msg;
	char *call;
};

static void on_exchange_end(SoupServerMessage *msg, gpointer data)
{
	struct worker *w = data;

	w->used.connections--;
	g_signal_handlers_disconnect_by_func(msg, on_exchange_end, data);
}

static void serve_call(struct worker *w, SoupServerMessage *msg, const char *call)
{
	worker_tick(w, standin_now_ms());
	if (w->fault.drop) {
		standin_drop(msg);
		return;
	}
	if (!strcmp(call, "run"))
		runner_call(w, msg);
	else if (!worker_call(w, msg, call))
		standin_error(msg, SOUP_STATUS_NOT_FOUND, "no such call");
	if (w->fault.lose_answers > 0) {
		w->fault.lose_answers--;
		standin_drop(msg);
	}
}

static gboolean thaw(gpointer data)
{
	struct frozen *f = data;

	soup_server_message_unpause(f->msg);
	serve_call(f->w, f->msg, f->call);
	g_object_unref(f->msg);
	g_free(f->call);
	g_free(f);
	return G_SOURCE_REMOVE;
}

static void freeze(struct worker *w, SoupServerMessage *msg, const char *call, int64_t wait_ms)
{
	struct frozen *f = g_new0(struct frozen, 1);

	f->w = w;
	f->msg = g_object_ref(msg);
	f->call = g_strdup(call);
	soup_server_message_pause(msg);
	g_timeout_add((guint)wait_ms, thaw, f);
}

static void set_fault(struct site *site, SoupServerMessage *msg)
{
	JsonObject *o = standin_body(msg);
	const char *name = standin_str(o, "worker", "");
	GHashTableIter it;
	gpointer key;
	gpointer value;
	guint count = 0;
	JsonBuilder *b;

	g_hash_table_iter_init(&it, site->by_name);
	while (o && g_hash_table_iter_next(&it, &key, &value)) {
		if (strcmp(name, "*") != 0 && strcmp(name, key) != 0)
			continue;
		worker_fault(value, o);
		count++;
	}
	if (o)
		json_object_unref(o);
	b = json_builder_new();
	json_builder_begin_object(b);
	standin_set_int(b, "workers", count);
	json_builder_end_object(b);
	standin_reply(msg, count ? SOUP_STATUS_OK : SOUP_STATUS_NOT_FOUND, b);
}

static void on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer data)
{
	struct site *site = data;
	const char *call = strrchr(path, '/');
	g_autofree char *base = NULL;
	struct worker *w;
	int64_t frozen_ms;

	if (!strcmp(path, "/fault")) {
		set_fault(site, msg);
		return;
	}
	if (!strcmp(path, "/healthz")) {
		soup_server_message_set_status(msg, SOUP_STATUS_OK, NULL);
		return;
	}
	while (path[0] == '/' && path < call)
		path++;
	base = g_strndup(path, (gsize)(call - path));
	w = g_hash_table_lookup(site->by_path, base);
	if (!w || strcmp(soup_server_message_get_method(msg), "POST") != 0) {
		standin_error(msg, SOUP_STATUS_NOT_FOUND, "no such worker or call");
		return;
	}
	w->used.connections++;
	if (w->capacity.connections && w->used.connections > w->capacity.connections)
		worker_overload(w, "connections", "", w->epoch);
	g_signal_connect(msg, "finished", G_CALLBACK(on_exchange_end), w);
	frozen_ms = w->fault.frozen_until_ms - standin_now_ms();
	if (frozen_ms > 0)
		freeze(w, msg, call + 1, frozen_ms);
	else
		serve_call(w, msg, call + 1);
}

static gboolean on_tick(gpointer data)
{
	struct site *site = data;
	int64_t now_ms = standin_now_ms();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, site->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		worker_tick(value, now_ms);
		runner_tick(value);
	}
	return G_SOURCE_CONTINUE;
}

static void add_worker(struct site *site, JsonObject *entry)
{
	struct worker *w = worker_create(entry, site->record);
	char *path = g_strdup(standin_str(entry, "path", ""));
	char *base = path;

	while (*base == '/')
		base++;
	while (*base && base[strlen(base) - 1] == '/')
		base[strlen(base) - 1] = '\0';
	g_hash_table_insert(site->by_path, base, w);
	g_hash_table_insert(site->by_name, w->name, w);
	g_hash_table_add(site->addresses,
			 g_strdup_printf("%s:%" G_GINT64_FORMAT, standin_str(entry, "host", ""),
					 standin_int(entry, "port", 0)));
}

static bool load_workers(struct site *site, const char *vms_path, const char *dc)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	g_autoptr(GError) error = NULL;
	JsonArray *vms;

	if (!json_parser_load_from_file(parser, vms_path, &error)) {
		g_printerr("%s: %s\n", vms_path, error->message);
		return false;
	}
	vms = json_object_get_array_member(json_node_get_object(json_parser_get_root(parser)),
					   "vms");
	for (guint i = 0; i < json_array_get_length(vms); i++) {
		JsonObject *entry = json_array_get_object_element(vms, i);

		if (!strcmp(standin_str(entry, "kind", ""), "worker") &&
		    !strcmp(standin_str(entry, "dc", ""), dc))
			add_worker(site, entry);
	}
	if (!g_hash_table_size(site->by_name))
		g_printerr("%s: no workers in %s\n", vms_path, dc);
	return g_hash_table_size(site->by_name) > 0;
}

static bool listen_all(struct site *site)
{
	GHashTableIter it;
	gpointer address;

	g_hash_table_iter_init(&it, site->addresses);
	while (g_hash_table_iter_next(&it, &address, NULL)) {
		g_autofree char *host = NULL;
		uint16_t port;

		if (!standin_split(address, &host, &port) ||
		    !standin_listen(site->server, host, port))
			return false;
	}
	return true;
}

static int serve(const char *vms_path, const char *dc, const char *record_path)
{
	struct site site = { .record = record_open(record_path) };

	if (!site.record)
		return EXIT_FAILURE;
	site.by_path = g_hash_table_new(g_str_hash, g_str_equal);
	site.by_name = g_hash_table_new(g_str_hash, g_str_equal);
	site.addresses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	site.server = soup_server_new("server-header", "standin-workers", NULL);
	soup_server_add_handler(site.server, NULL, on_request, &site, NULL);
	if (!load_workers(&site, vms_path, dc) || !listen_all(&site))
		return EXIT_FAILURE;
	g_timeout_add(TICK_MS, on_tick, &site);
	standin_run();
	record_close(site.record);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arg_str *vms = arg_str1(NULL, "vms", "FILE", "VM list");
	struct arg_str *dc = arg_str1(NULL, "dc", "NAME", "serve the workers of this data centre");
	struct arg_str *record = arg_str1(NULL, "record", "FILE", "write the events there");
	struct arg_end *end = arg_end(4);
	void *table[] = { vms, dc, record, end };
	int ret = EXIT_FAILURE;

	if (arg_parse(argc, argv, table) == 0)
		ret = serve(vms->sval[0], dc->sval[0], record->sval[0]);
	else
		arg_print_errors(stderr, end, argv[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return ret;
}
