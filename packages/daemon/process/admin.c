#define G_LOG_DOMAIN "admin"

#include <json-glib/json-glib.h>
#include <string.h>

#include "fields.h"
#include "admin.h"
#include "log.h"

#define EXPLAIN_OWNERS_MAX 128
#define TRAFFIC_ROWS_MAX   ((size_t)TRAFFIC_ROLES * TRAFFIC_LINKS * TRAFFIC_DIRS)

struct admin {
	struct admin_deps deps;
	bool draining;
};

static const char *state_name(enum member_state s)
{
	switch (s) {
	case MEMBER_ALIVE:
		return "alive";
	case MEMBER_SUSPECT:
		return "suspect";
	case MEMBER_DEAD:
		return "dead";
	case MEMBER_LEAVING:
		return "leaving";
	default:
		return "absent";
	}
}

static void add_daemon(struct admin *a, JsonBuilder *b, const struct member_info *m,
		       enum member_state state)
{
	bool self = strcmp(m->name, a->deps.set->name) == 0;
	uint64_t version = self ? config_version(config_sync_current(a->deps.config_sync))
				: heartbeat_peer_config_version(a->deps.heartbeat, m->name);

	json_builder_begin_object(b);
	fields_add_text(b, "name", m->name);
	fields_add_text(b, "dc", m->dc);
	fields_add_text(b, "region", m->region);
	fields_add_text(b, "state", state_name(state));
	fields_add_number(b, "config_version", version);
	fields_add_flag(b, "reachable", self || peers_is_up(a->deps.peers, m->name));
	json_builder_end_object(b);
}

static void add_self(struct admin *a, JsonBuilder *b)
{
	struct racks_count count;

	racks_count(a->deps.racks, &count);
	json_builder_set_member_name(b, "self");
	json_builder_begin_object(b);
	fields_add_text(b, "name", a->deps.set->name);
	fields_add_text(b, "dc", a->deps.set->dc);
	fields_add_flag(b, "draining", a->draining);
	fields_add_flag(b, "log_reachable", config_sync_log_reachable(a->deps.config_sync));
	fields_add_number(b, "workers", count.workers);
	fields_add_number(b, "workers_unready", count.unready);
	fields_add_number(b, "waiting", count.waiting);
	fields_add_number(b, "requests", count.requests);
	fields_add_number(b, "tasks", count.tasks);
	json_builder_end_object(b);
}

/* Adds each data centre with its number of daemons, in the order of the member list. */
static void add_dcs(struct admin *a, JsonBuilder *b)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	const struct member_info *m;
	const struct member_info *n;
	enum member_state state;

	for (size_t i = 0; (m = members_get(a->deps.members, i, &state)); i++) {
		uint64_t daemons = 0;
		uint64_t alive = 0;

		if (!g_hash_table_add(seen, (gpointer)m->dc))
			continue;
		for (size_t k = 0; (n = members_get(a->deps.members, k, &state)); k++) {
			bool same = strcmp(n->dc, m->dc) == 0;

			daemons += same;
			alive += same && state == MEMBER_ALIVE;
		}
		json_builder_begin_object(b);
		fields_add_text(b, "name", m->dc);
		fields_add_text(b, "region", m->region);
		fields_add_number(b, "daemons", daemons);
		fields_add_number(b, "alive", alive);
		json_builder_end_object(b);
	}
}

static void add_teams(struct admin *a, JsonBuilder *b)
{
	const struct config_team *t;

	for (size_t i = 0; (t = config_team_at(config_sync_current(a->deps.config_sync), i)); i++) {
		json_builder_begin_object(b);
		fields_add_text(b, "name", t->name);
		fields_add_text(b, "home_dc", t->home_dc);
		fields_add_number(b, "weight", t->weight);
		fields_add_number(b, "quota_cpu_milli", t->quota.cpu_milli);
		fields_add_number(b, "quota_mem_bytes", t->quota.mem_bytes);
		fields_add_number(b, "quota_accel", t->quota.accel);
		json_builder_end_object(b);
	}
}

static void on_status(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct admin *a = ctx;
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autofree char *text = NULL;
	const struct member_info *m;
	enum member_state state;

	json_builder_begin_object(b);
	fields_add_text(b, "cell", a->deps.set->cell);
	fields_add_number(b, "config_version",
			  config_version(config_sync_current(a->deps.config_sync)));
	add_self(a, b);
	json_builder_set_member_name(b, "daemons");
	json_builder_begin_array(b);
	for (size_t i = 0; (m = members_get(a->deps.members, i, &state)); i++)
		add_daemon(a, b, m, state);
	json_builder_end_array(b);
	json_builder_set_member_name(b, "dcs");
	json_builder_begin_array(b);
	add_dcs(a, b);
	json_builder_end_array(b);
	json_builder_set_member_name(b, "teams");
	json_builder_begin_array(b);
	add_teams(a, b);
	json_builder_end_array(b);
	json_builder_end_object(b);
	text = fields_end(b);
	http_reply_json(msg, SOUP_STATUS_OK, text);
}

static void add_owner_load(JsonBuilder *b, const struct loadtable_row *row)
{
	json_builder_begin_object(b);
	fields_add_text(b, "owner", row->owner);
	fields_add_text(b, "dc", row->dc);
	fields_add_number(b, "free_slots", row->load.free_slots);
	fields_add_number(b, "queued", row->load.queued);
	fields_add_number(b, "wait_ms", row->load.wait_ms);
	json_builder_end_object(b);
}

/* One sentence on whether a request of the service could start now. */
static const char *explain_service(const struct config_service *s, const struct loadtable_row *row,
				   size_t n)
{
	bool queues = false;

	if (!s)
		return "no such service in the configuration in force";
	if (s->class == WORK_SERVICE)
		return "its tasks are kept running; explain its job for each of them";
	if (s->class != WORK_REQUEST && s->class != WORK_URGENT)
		return "it takes jobs; explain one of them";
	if (n == 0)
		return "no live daemon has a runner of this service";
	for (size_t i = 0; i < n; i++) {
		if (row[i].load.free_slots)
			return "a request starts at once";
		queues |= row[i].load.queued > 0;
	}
	return queues ? "all slots are taken, and requests wait for them" : "all slots are taken";
}

static void on_explain(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct admin *a = ctx;
	g_autofree char *name = http_query(msg, "service");
	g_autoptr(JsonBuilder) b = json_builder_new();
	struct loadtable_row row[EXPLAIN_OWNERS_MAX] = { 0 };
	g_autofree char *text = NULL;
	struct call_end e;
	size_t n;

	if (!name) {
		http_reply_problem(msg, call_end_set(&e, OUTCOME_NOT_RUN, 400, "check", "",
						     "the query has no service=NAME"));
		return;
	}
	n = MIN(loadtable_list(a->deps.loads, name, row, EXPLAIN_OWNERS_MAX), EXPLAIN_OWNERS_MAX);
	json_builder_begin_object(b);
	fields_add_text(b, "service", name);
	fields_add_text(
		b, "why",
		explain_service(config_service(config_sync_current(a->deps.config_sync), name), row,
				n));
	json_builder_set_member_name(b, "owners");
	json_builder_begin_array(b);
	for (size_t i = 0; i < n; i++)
		add_owner_load(b, &row[i]);
	json_builder_end_array(b);
	json_builder_end_object(b);
	text = fields_end(b);
	http_reply_json(msg, SOUP_STATUS_OK, text);
}

static void on_drain(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct admin *a = ctx;

	a->deps.drain(a->deps.drain_ctx);
	http_reply_json(msg, SOUP_STATUS_ACCEPTED, "{\"draining\":true}");
}

static void on_health(void *ctx, SoupServerMessage *msg, const char *rest)
{
	http_reply_json(msg, SOUP_STATUS_OK, "{\"healthy\":true}");
}

static void on_ready(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct admin *a = ctx;
	struct racks_count count;
	bool ready;
	g_autofree char *text = NULL;

	racks_count(a->deps.racks, &count);
	ready = !a->draining && heartbeat_ready(a->deps.heartbeat);
	text = g_strdup_printf("{\"ready\":%s,\"draining\":%s,\"workers\":%u,"
			       "\"workers_unready\":%u,\"config_version\":%" G_GUINT64_FORMAT "}",
			       ready ? "true" : "false", a->draining ? "true" : "false",
			       count.workers, count.unready,
			       config_version(config_sync_current(a->deps.config_sync)));
	http_reply_json(msg, ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, text);
}

static void write_traffic(struct admin *a, GString *out)
{
	struct traffic_row row[TRAFFIC_ROWS_MAX];
	size_t n = MIN(traffic_rows(a->deps.traffic, row, TRAFFIC_ROWS_MAX), TRAFFIC_ROWS_MAX);

	g_string_append(out, "# HELP kw_traffic_messages_total Messages by role and link\n"
			     "# TYPE kw_traffic_messages_total counter\n"
			     "# HELP kw_traffic_bytes_total Bytes by role, link and kind\n"
			     "# TYPE kw_traffic_bytes_total counter\n");
	for (size_t i = 0; i < n; i++) {
		g_autofree char *labels = g_strdup_printf(
			"role=\"%s\",link=\"%s\",dir=\"%s\"", traffic_role_name(row[i].role),
			traffic_link_name(row[i].link), row[i].dir == TRAFFIC_OUT ? "out" : "in");

		g_string_append_printf(
			out,
			"kw_traffic_messages_total{%s} %" G_GUINT64_FORMAT "\n"
			"kw_traffic_bytes_total{%s,kind=\"control\"} %" G_GUINT64_FORMAT "\n"
			"kw_traffic_bytes_total{%s,kind=\"data\"} %" G_GUINT64_FORMAT "\n",
			labels, row[i].messages, labels, row[i].control_bytes, labels,
			row[i].data_bytes);
	}
}

static void set_gauges(struct admin *a)
{
	struct metrics *m = a->deps.metrics;
	struct racks_count count;

	racks_count(a->deps.racks, &count);
	metrics_gauge(m, "kw_workers", "Workers of owned racks", NULL)->value = count.workers;
	metrics_gauge(m, "kw_workers_unready", "Owned workers without a valid session", NULL)
		->value = count.unready;
	metrics_gauge(m, "kw_waiting", "Requests and tasks in the queues", NULL)->value =
		count.waiting;
	metrics_gauge(m, "kw_requests_running", "Requests on runners", NULL)->value =
		count.requests;
	metrics_gauge(m, "kw_tasks_running", "Tasks on workers", NULL)->value = count.tasks;
	metrics_gauge(m, "kw_config_version", "Version of the configuration in force", NULL)
		->value = (int64_t)config_version(config_sync_current(a->deps.config_sync));
}

static void on_metrics(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct admin *a = ctx;
	g_autofree char *prefix = http_query(msg, "prefix");
	g_autoptr(GString) out = g_string_new(NULL);

	set_gauges(a);
	metrics_write(a->deps.metrics, prefix, out);
	write_traffic(a, out);
	soup_server_message_set_status(msg, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(msg, "text/plain; version=0.0.4", SOUP_MEMORY_COPY,
					 out->str, out->len);
}

struct admin *admin_create(const struct admin_deps *deps)
{
	struct admin *a = g_new0(struct admin, 1);

	a->deps = *deps;
	http_add_route(deps->http, "GET", "/v1/status", on_status, a);
	http_add_route(deps->http, "GET", "/v1/explain", on_explain, a);
	http_add_route(deps->http, "POST", "/v1/drain", on_drain, a);
	http_add_route(deps->http, "GET", "/metrics", on_metrics, a);
	http_add_route(deps->http, "GET", "/healthz", on_health, a);
	http_add_route(deps->http, "GET", "/readyz", on_ready, a);
	return a;
}

void admin_destroy(struct admin *a)
{
	g_free(a);
}

void admin_set_draining(struct admin *a)
{
	a->draining = true;
}
