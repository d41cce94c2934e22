#include <math.h>
#include <string.h>

#include <json-glib/json-glib.h>

#include "trace.h"

#define MIB ((uint64_t)1 << 20)
#define GIB ((uint64_t)1 << 30)

static const char *const event_names[] = {
	"workers", "team", "work", "worker", "cancel", "expect"
};

static int64_t get_int(JsonObject *o, const char *name, int64_t fallback)
{
	return json_object_has_member(o, name) ? json_object_get_int_member(o, name) : fallback;
}

static uint32_t get_u32(JsonObject *o, const char *name, uint32_t fallback)
{
	return (uint32_t)get_int(o, name, fallback);
}

static double get_double(JsonObject *o, const char *name)
{
	return json_object_has_member(o, name) ? json_object_get_double_member(o, name) : NAN;
}

static bool get_bool(JsonObject *o, const char *name)
{
	return json_object_has_member(o, name) && json_object_get_boolean_member(o, name);
}

static const char *get_string(JsonObject *o, const char *name)
{
	return json_object_has_member(o, name) ? json_object_get_string_member(o, name) : "";
}

static int64_t get_class(JsonObject *o, int64_t fallback)
{
	enum work_class class;

	return work_class_parse(get_string(o, "class"), &class) ? (int64_t) class : fallback;
}

static struct res get_resources(JsonObject *o)
{
	return (struct res){
		.cpu_milli = get_u32(o, "cpu_milli", 0),
		.mem_bytes = (uint64_t)get_int(o, "mem_mib", 0) * MIB +
			     (uint64_t)get_int(o, "mem_gib", 0) * GIB,
		.accel = get_u32(o, "accel", 0),
	};
}

static void read_work(JsonObject *o, struct trace_event *e)
{
	e->work = (struct work){
		.job = (uint64_t)get_int(o, "job", 0),
		.deadline_ms = get_int(o, "deadline_ms", 0),
		.size = get_resources(o),
		.class = (enum work_class)get_class(o, WORK_BATCH),
		.team = get_u32(o, "team", 0),
		.service = get_u32(o, "service", 0),
		.run_ms = get_u32(o, "run_ms", 0),
		.gang_size = get_u32(o, "gang", 0),
		.slot = get_bool(o, "slot"),
		.preemptible = get_bool(o, "preemptible"),
		.avoid_worker = UINT32_MAX,
	};
	e->count = get_u32(o, "n", 1);
	e->over_ms = get_u32(o, "over_ms", 0);
	e->teams = get_u32(o, "teams", 1);
	e->actual_run_ms = get_u32(o, "true_ms", e->work.run_ms);
	e->spread_percent = get_u32(o, "spread_percent", 0);
	e->max_retries = get_u32(o, "attempts", 0);
	e->actual_mem_bytes = (uint64_t)get_int(o, "used_mib", 0) * MIB;
	e->fails = get_bool(o, "fails");
}

static void read_workers(JsonObject *o, struct trace_event *e)
{
	e->count = get_u32(o, "n", 1);
	e->per_rack = get_u32(o, "per_rack", 5);
	e->worker = (struct worker_info){
		.total = get_resources(o),
		.slots = get_u32(o, "slots", 0),
		.connections = get_u32(o, "connections", 0),
		.service = get_u32(o, "service", UINT32_MAX),
	};
}

static bool read_event(JsonObject *o, struct trace_event *e)
{
	const char *name = get_string(o, "ev");
	int kind = 0;

	while (kind < (int)G_N_ELEMENTS(event_names) && strcmp(name, event_names[kind]) != 0)
		kind++;
	if (kind == (int)G_N_ELEMENTS(event_names))
		return false;
	*e = (struct trace_event){
		.t_ms = get_int(o, "t", 0),
		.kind = (enum trace_kind)kind,
		.name = g_strdup(get_string(o, kind == TRACE_EXPECT   ? "what"
					       : kind == TRACE_WORKER ? "condition"
								      : "name")),
		.reason = g_strdup(get_string(o, "why")),
		.select_class = get_class(o, TRACE_ANY),
		.select_team = get_int(o, "team", TRACE_ANY),
		.select_job = get_int(o, "job", TRACE_ANY),
		.select_worker = get_int(o, "worker", TRACE_ANY),
		.max = get_double(o, "le"),
		.min = get_double(o, "ge"),
	};
	if (kind == TRACE_WORKERS)
		read_workers(o, e);
	else if (kind == TRACE_WORK || kind == TRACE_CANCEL || kind == TRACE_TEAM)
		read_work(o, e);
	if (kind == TRACE_TEAM)
		e->count = get_u32(o, "weight", 1);
	return true;
}

static void event_clear(gpointer event)
{
	struct trace_event *e = event;

	g_free(e->name);
	g_free(e->reason);
}

static bool read_line(const char *line, GArray *events, GError **err)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	struct trace_event e;

	if (!json_parser_load_from_data(parser, line, -1, err))
		return false;
	if (!read_event(json_node_get_object(json_parser_get_root(parser)), &e)) {
		g_set_error(err, G_FILE_ERROR, G_FILE_ERROR_INVAL, "unknown event: %s", line);
		return false;
	}
	e.line = events->len;
	g_array_append_val(events, e);
	return true;
}

static int compare_times(const void *a, const void *b)
{
	const struct trace_event *first = a;
	const struct trace_event *second = b;

	if (first->t_ms != second->t_ms)
		return first->t_ms < second->t_ms ? -1 : 1;
	return first->line < second->line ? -1 : 1;
}

GArray *trace_load(const char *path, GError **err)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	GArray *events;

	if (!g_file_get_contents(path, &text, NULL, err))
		return NULL;
	lines = g_strsplit(text, "\n", -1);
	events = g_array_new(FALSE, TRUE, sizeof(struct trace_event));
	g_array_set_clear_func(events, event_clear);
	for (char **l = lines; *l; l++) {
		if (!**l || read_line(*l, events, err))
			continue;
		g_array_unref(events);
		return NULL;
	}
	g_array_sort(events, compare_times);
	return events;
}
