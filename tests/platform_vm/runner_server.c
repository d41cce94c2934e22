#include <string.h>

#include <criterion/criterion.h>
#include <gio/gio.h>

#include "fields.h"
#include "process/http.h"
#include "runner_server.h"
#include "test_port.h"

#define BEAT_MS		1500 /* between two entries in the store */
#define TICK_MS		20
#define ENDS_MAX	500	/* in one reply */
#define LEASE_MAX_MS	10000	/* longer leases are cut */
#define CLOCK_OFFSET_MS 1000000 /* the runner's clock is not that of the VMs */
#define BODY_MAX_BYTES	65536
#define IDLE_MS		60000
#define CONNECTIONS_MAX 256
#define WORK_DEFAULT_MS 100

struct run {
	char *task;
	char *checkpoint;
	uint32_t number;
	int64_t started_ms;
	int64_t work_ms; /* INT64_MAX: until it is stopped */
	const char *how; /* it ends by itself */
	bool fills;
	uint32_t tail_ms;
	uint32_t tail_mixed_ms;
};

struct run_end {
	uint64_t seq;
	char *task;
	uint32_t number;
	const char *how;
};

/* A look at the runner that waits for an end. */
struct waiting_look {
	SoupServerMessage *msg;
	int64_t until_ms;
};

/* A call that is carried out later, or never. */
struct late_call {
	SoupServerMessage *msg;
	http_route_fn serve;
	int64_t due_ms;
};

struct runner_server {
	struct runner_conf conf;
	char *id;
	struct settings settings;
	struct http *http;
	int64_t born_ms;
	int64_t origin_ms;
	int64_t lease_ms; /* on the runner's clock */
	int64_t next_beat_ms;
	uint64_t fence;
	uint64_t last_end;
	uint64_t lapsed; /* last end that was listed when the lease was over */
	uint64_t beat;
	GHashTable *running; /* task -> struct run */
	GHashTable *highest; /* task -> highest run that was stopped or ended */
	GPtrArray *finished; /* of struct run_end */
	GArray *waiting;     /* of struct waiting_look */
	GArray *late;	     /* of struct late_call */
	enum runner_mode mode;
	uint32_t late_ms; /* of RUNNER_SLOW */
	uint32_t starts;
	char *last_spec;
	guint timer;
};

static int64_t steady_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static int64_t runner_now(const struct runner_server *r)
{
	return steady_ms() - r->origin_ms + CLOCK_OFFSET_MS;
}

static void run_free(gpointer data)
{
	struct run *run = data;

	g_free(run->task);
	g_free(run->checkpoint);
	g_free(run);
}

static void run_end_free(gpointer data)
{
	struct run_end *e = data;

	g_free(e->task);
	g_free(e);
}

static void write_entry(struct runner_server *r)
{
	g_autofree char *text = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\",\"version\":\"v1\","
		"\"slots\":8,\"state\":\"ready\",\"cold-ms\":0,\"capacity\":{\"cpu\":%u,"
		"\"mem-mb\":%u,\"gpu\":0},\"labels\":[\"%s\",\"r1-1\"],\"time-ms\":"
		"%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT ",\"seq\":%" G_GUINT64_FORMAT "}",
		r->conf.service, r->conf.ip, r->settings.http_port, r->conf.zone, r->conf.cpu_milli,
		r->conf.mem_mib, r->conf.label ? r->conf.label : "a", runner_now(r), r->born_ms,
		++r->beat);

	store_server_put(r->conf.store, "keyed.servers", r->id, text, strlen(text));
	r->next_beat_ms = steady_ms() + BEAT_MS;
}

static JsonBuilder *begin_reply(const struct runner_server *r)
{
	JsonBuilder *b = json_builder_new();

	json_builder_begin_object(b);
	fields_add_number(b, "time-ms", (uint64_t)runner_now(r));
	fields_add_number(b, "born", (uint64_t)r->born_ms);
	return b;
}

static void reply(const struct runner_server *r, SoupServerMessage *msg, uint32_t status,
		  const char *reason)
{
	g_autoptr(JsonBuilder) b = begin_reply(r);
	g_autofree char *text = NULL;

	if (reason)
		fields_add_text(b, "reason", reason);
	json_builder_end_object(b);
	text = fields_end(b);
	http_reply_json(msg, status, text);
}

static bool has_filler(const struct runner_server *r)
{
	GHashTableIter it;
	gpointer run;

	g_hash_table_iter_init(&it, r->running);
	while (g_hash_table_iter_next(&it, NULL, &run))
		if (((const struct run *)run)->fills)
			return true;
	return false;
}

static void add_running(JsonBuilder *b, const struct run *run, bool mixed)
{
	uint32_t tail_ms = mixed ? run->tail_mixed_ms : run->tail_ms;

	json_builder_begin_array(b);
	json_builder_add_string_value(b, run->task);
	json_builder_add_int_value(b, run->number);
	json_builder_add_string_value(b, run->checkpoint);
	json_builder_add_int_value(b, 100);
	json_builder_add_int_value(b, run->work_ms == INT64_MAX ? tail_ms : 1000);
	json_builder_end_array(b);
}

static void add_odd_rows(JsonBuilder *b)
{
	static const char odd[] = "[null,{},[],\"x\",-1,[[]],[1],[\"000000000000000f.0.0.1\"],"
				  "[\"000000000000000f.0.0.1\",-1,\"\",1],"
				  "[1,\"000000000000000f.0.0.1\",1e300,\"done\",\"\"],"
				  "[\"000000000000000f.0.0.1\",4294967296,\"\",1,0]]";
	g_autoptr(JsonNode) root = json_from_string(odd, NULL);
	JsonArray *rows = json_node_get_array(root);

	for (guint i = 0; i < json_array_get_length(rows); i++)
		json_builder_add_value(b, json_array_dup_element(rows, i));
}

static void add_end(JsonBuilder *b, const struct run_end *e)
{
	json_builder_begin_array(b);
	json_builder_add_int_value(b, (gint64)e->seq);
	json_builder_add_string_value(b, e->task);
	json_builder_add_int_value(b, e->number);
	json_builder_add_string_value(b, e->how);
	json_builder_add_string_value(b, "");
	json_builder_end_array(b);
}

static void reply_look(const struct runner_server *r, SoupServerMessage *msg)
{
	g_autoptr(JsonBuilder) b = begin_reply(r);
	g_autofree char *text = NULL;
	GHashTableIter it;
	gpointer run;

	json_builder_set_member_name(b, "running");
	json_builder_begin_array(b);
	g_hash_table_iter_init(&it, r->running);
	while (g_hash_table_iter_next(&it, NULL, &run))
		add_running(b, run, has_filler(r));
	if (r->mode == RUNNER_ODD)
		add_odd_rows(b);
	json_builder_end_array(b);
	json_builder_set_member_name(b, "finished");
	json_builder_begin_array(b);
	for (guint i = 0; i < MIN(r->finished->len, ENDS_MAX); i++)
		add_end(b, r->finished->pdata[i]);
	if (r->mode == RUNNER_ODD)
		add_odd_rows(b);
	json_builder_end_array(b);
	json_builder_end_object(b);
	text = fields_end(b);
	http_reply_json(msg, 200, text);
}

static void answer_waiting(struct runner_server *r, bool all)
{
	for (guint i = r->waiting->len; i > 0; i--) {
		struct waiting_look w = g_array_index(r->waiting, struct waiting_look, i - 1);

		if (!all && !r->finished->len && w.until_ms > steady_ms())
			continue;
		g_array_remove_index_fast(r->waiting, i - 1);
		reply_look(r, w.msg);
		soup_server_message_unpause(w.msg);
		g_object_unref(w.msg);
	}
}

static uint32_t highest_run(const struct runner_server *r, const char *task)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(r->highest, task));
}

static void note_highest(struct runner_server *r, const char *task, uint32_t number)
{
	g_hash_table_replace(r->highest, g_strdup(task),
			     GUINT_TO_POINTER(MAX(number, highest_run(r, task))));
}

static void end_run(struct runner_server *r, const char *task, const char *how)
{
	struct run *run = g_hash_table_lookup(r->running, task);
	struct run_end *e = g_new0(struct run_end, 1);

	e->seq = ++r->last_end;
	e->task = g_strdup(task);
	e->number = run->number;
	e->how = how;
	note_highest(r, task, run->number);
	if (r->conf.record)
		run_record_end(r->conf.record, r, task, run->number, g_str_equal(how, "done"));
	if (r->conf.record && g_str_equal(how, "failed"))
		run_record_failed(r->conf.record, task, run->number);
	g_ptr_array_add(r->finished, e);
	g_hash_table_remove(r->running, e->task);
}

static void end_due_runs(struct runner_server *r)
{
	g_autoptr(GPtrArray) due = g_ptr_array_new_with_free_func(g_free);
	bool lapsed = runner_now(r) >= r->lease_ms;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->running);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct run *run = value;

		if (lapsed || steady_ms() - run->started_ms >= run->work_ms)
			g_ptr_array_add(due, g_strdup(run->task));
	}
	for (guint i = 0; i < due->len; i++) {
		const struct run *run = g_hash_table_lookup(r->running, due->pdata[i]);

		end_run(r, due->pdata[i], lapsed ? "lapsed" : run->how);
	}
	if (lapsed)
		r->lapsed = r->last_end;
}

static bool is_put_off(struct runner_server *r, SoupServerMessage *msg, http_route_fn serve)
{
	struct late_call late = { .serve = serve, .due_ms = INT64_MAX };

	if (r->mode != RUNNER_SLOW && r->mode != RUNNER_SILENT)
		return false;
	if (r->mode == RUNNER_SLOW)
		late.due_ms = steady_ms() + r->late_ms;
	late.msg = g_object_ref(msg);
	g_array_append_val(r->late, late);
	soup_server_message_pause(msg);
	return true;
}

static void serve_late_calls(struct runner_server *r, bool all)
{
	for (guint i = r->late->len; i > 0; i--) {
		struct late_call late = g_array_index(r->late, struct late_call, i - 1);
		bool never = late.due_ms == INT64_MAX;

		if (!all && late.due_ms > steady_ms() && !(never && r->mode != RUNNER_SILENT))
			continue;
		g_array_remove_index_fast(r->late, i - 1);
		soup_server_message_unpause(late.msg);
		if (all || never)
			http_abort(late.msg);
		else
			late.serve(r, late.msg, "");
		g_object_unref(late.msg);
	}
}

static gboolean on_tick(gpointer data)
{
	struct runner_server *r = data;

	serve_late_calls(r, false);
	end_due_runs(r);
	answer_waiting(r, false);
	if (steady_ms() >= r->next_beat_ms)
		write_entry(r);
	return G_SOURCE_CONTINUE;
}

static void extend_lease(struct runner_server *r, JsonObject *o)
{
	int64_t until_ms = fields_number(o, "deadline-ms");

	r->lease_ms = MIN(MAX(r->lease_ms, until_ms), runner_now(r) + LEASE_MAX_MS);
	if (r->conf.record)
		run_record_lease(r->conf.record, r, r->lease_ms - CLOCK_OFFSET_MS + r->origin_ms);
}

static bool has_control(const char *data, gsize size)
{
	for (gsize i = 0; i < size; i++)
		if ((unsigned char)data[i] < 0x20)
			return true;
	return false;
}

/* Parses the body and checks whom it is for; on NULL, the reply is set. */
static JsonNode *read_order(struct runner_server *r, SoupServerMessage *msg)
{
	g_autoptr(GBytes) body =
		soup_message_body_flatten(soup_server_message_get_request_body(msg));
	const char *expected = soup_message_headers_get_one(
		soup_server_message_get_request_headers(msg), "X-Expect-Instance");
	gsize size;
	const char *data = g_bytes_get_data(body, &size);
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonNode *root;
	uint64_t fence;

	if (expected && !g_str_equal(expected, r->id)) {
		reply(r, msg, 421, NULL);
		return NULL;
	}
	if (!size || has_control(data, size) ||
	    !json_parser_load_from_data(parser, data, (gssize)size, NULL)) {
		reply(r, msg, 400, NULL);
		return NULL;
	}
	root = json_parser_steal_root(parser);
	fence = (uint64_t)fields_number(json_node_get_object(root), "fence");
	if (fence < r->fence) {
		reply(r, msg, 409, "fence");
		json_node_unref(root);
		return NULL;
	}
	r->fence = fence;
	return root;
}

static uint32_t number_at(char **word, guint i)
{
	return i < g_strv_length(word) ? (uint32_t)g_ascii_strtoull(word[i], NULL, 10) : 0;
}

static void read_spec(struct run *run, const char *spec)
{
	g_auto(GStrv) word = g_strsplit(spec, " ", 4);
	const char *what = *word ? *word : "";

	run->how = "done";
	run->work_ms = WORK_DEFAULT_MS;
	if (g_ascii_isdigit(*what)) {
		run->work_ms = number_at(word, 0);
	} else if (g_str_equal(what, "lasts")) {
		run->work_ms = INT64_MAX;
		run->tail_ms = number_at(word, 1);
		run->tail_mixed_ms = number_at(word, 2);
	} else if (g_str_equal(what, "fills") || g_str_equal(what, "fails")) {
		run->work_ms = number_at(word, 1);
		run->fills = g_str_equal(what, "fills");
		run->how = run->fills ? "done" : "failed";
	}
}

static void start_run(struct runner_server *r, JsonObject *o, const char *task, uint32_t number)
{
	const char *spec = fields_text(o, "spec");
	struct run *run = g_new0(struct run, 1);

	run->task = g_strdup(task);
	run->checkpoint = g_strdup(fields_text(o, "checkpoint"));
	run->number = number;
	run->started_ms = steady_ms();
	read_spec(run, spec);
	g_hash_table_replace(r->running, run->task, run);
	if (r->conf.record)
		run_record_start(r->conf.record, r, task, number);
	r->starts++;
	g_free(r->last_spec);
	r->last_spec = g_strdup(spec);
}

static void do_start(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct runner_server *r = ctx;
	g_autoptr(JsonNode) root = read_order(r, msg);
	JsonObject *o = root ? json_node_get_object(root) : NULL;
	const char *task = o ? fields_text(o, "task") : "";
	uint32_t number = o ? (uint32_t)fields_number(o, "run") : 0;
	const struct run *run = g_hash_table_lookup(r->running, task);

	if (!o)
		return;
	if (run && run->number == number) {
		reply(r, msg, 200, NULL);
		return;
	}
	extend_lease(r, o);
	if (number <= highest_run(r, task)) {
		reply(r, msg, 409, "old");
	} else if (r->lease_ms <= runner_now(r)) {
		reply(r, msg, 409, "late");
	} else {
		start_run(r, o, task, number);
		reply(r, msg, 200, NULL);
	}
}

static void do_stop(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct runner_server *r = ctx;
	g_autoptr(JsonNode) root = read_order(r, msg);
	JsonObject *o = root ? json_node_get_object(root) : NULL;
	const char *task = o ? fields_text(o, "task") : "";
	const struct run *run = g_hash_table_lookup(r->running, task);

	if (!o)
		return;
	note_highest(r, task, (uint32_t)fields_number(o, "run"));
	if (run && run->number == (uint32_t)fields_number(o, "run"))
		end_run(r, task, "stopped");
	reply(r, msg, 200, NULL);
}

/* Only ends that are listed now: a number of an earlier incarnation says nothing of later ends. */
static void forget_seen(struct runner_server *r, uint64_t seen_upto)
{
	guint n = 0;

	while (n < r->finished->len) {
		const struct run_end *e = r->finished->pdata[n];

		if (e->seq > seen_upto)
			break;
		if (r->conf.record && e->seq > r->lapsed && g_str_equal(e->how, "done"))
			run_record_told(r->conf.record, e->task, e->number);
		n++;
	}
	if (n)
		g_ptr_array_remove_range(r->finished, 0, n);
}

static void do_hold(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct runner_server *r = ctx;
	g_autoptr(JsonNode) root = read_order(r, msg);
	JsonObject *o = root ? json_node_get_object(root) : NULL;
	struct waiting_look w;

	if (!o)
		return;
	extend_lease(r, o);
	forget_seen(r, (uint64_t)fields_number(o, "seen-upto"));
	w.until_ms = steady_ms() + fields_number(o, "wait-ms");
	if (r->mode == RUNNER_AT_ONCE || r->finished->len || w.until_ms <= steady_ms()) {
		reply_look(r, msg);
		return;
	}
	w.msg = g_object_ref(msg);
	g_array_append_val(r->waiting, w);
	soup_server_message_pause(msg);
}

static void on_start(void *ctx, SoupServerMessage *msg, const char *rest)
{
	if (!is_put_off(ctx, msg, do_start))
		do_start(ctx, msg, rest);
}

static void on_stop(void *ctx, SoupServerMessage *msg, const char *rest)
{
	if (!is_put_off(ctx, msg, do_stop))
		do_stop(ctx, msg, rest);
}

static void on_hold(void *ctx, SoupServerMessage *msg, const char *rest)
{
	if (!is_put_off(ctx, msg, do_hold))
		do_hold(ctx, msg, rest);
}

static void begin_incarnation(struct runner_server *r)
{
	r->born_ms = MAX(g_get_real_time() / 1000, r->born_ms + 1);
	r->origin_ms = steady_ms();
	r->lease_ms = 0;
	r->fence = 0;
	r->last_end = 0;
	r->lapsed = 0;
	r->beat = 0;
	if (r->conf.record)
		run_record_lost(r->conf.record, r);
	g_hash_table_remove_all(r->running);
	g_hash_table_remove_all(r->highest);
	g_ptr_array_set_size(r->finished, 0);
	write_entry(r);
}

struct runner_server *runner_server_create(const struct runner_conf *conf)
{
	struct runner_server *r = g_new0(struct runner_server, 1);
	struct status st = STATUS_INIT;

	r->conf = *conf;
	r->id = g_strdup(conf->id);
	r->settings = (struct settings){ .listen_host = (char *)conf->ip,
					 .http_port = test_free_port(conf->ip),
					 .header_max_bytes = 16384,
					 .body_max_bytes = BODY_MAX_BYTES,
					 .connections_max = CONNECTIONS_MAX,
					 .idle_ms = IDLE_MS };
	r->running = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);
	r->highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->finished = g_ptr_array_new_with_free_func(run_end_free);
	r->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting_look));
	r->late = g_array_new(FALSE, FALSE, sizeof(struct late_call));
	r->http = http_create(&r->settings);
	http_add_route(r->http, "POST", "/run-start", on_start, r);
	http_add_route(r->http, "POST", "/run-stop", on_stop, r);
	http_add_route(r->http, "POST", "/hold", on_hold, r);
	cr_assert(http_listen(r->http, &st), "%s", st.message);
	begin_incarnation(r);
	r->timer = g_timeout_add(TICK_MS, on_tick, r);
	return r;
}

void runner_server_destroy(struct runner_server *r)
{
	if (!r)
		return;
	g_source_remove(r->timer);
	serve_late_calls(r, true);
	answer_waiting(r, true);
	http_destroy(r->http);
	g_hash_table_unref(r->running);
	g_hash_table_unref(r->highest);
	g_ptr_array_unref(r->finished);
	g_array_unref(r->waiting);
	g_array_unref(r->late);
	g_free(r->id);
	g_free(r->last_spec);
	g_free(r);
}

void runner_server_restart(struct runner_server *r)
{
	begin_incarnation(r);
	answer_waiting(r, true);
}

void runner_server_set_mode(struct runner_server *r, enum runner_mode mode, uint32_t late_ms)
{
	r->mode = mode;
	r->late_ms = late_ms;
}

uint32_t runner_server_starts(const struct runner_server *r)
{
	return r->starts;
}

const char *runner_server_last_spec(const struct runner_server *r)
{
	return r->last_spec;
}
