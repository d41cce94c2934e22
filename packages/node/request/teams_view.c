#include <json-glib/json-glib.h>

#include "request/json_text.h"
#include "teams_view.h"

#define MILLI_PER_CORE 1000.0
#define BYTES_PER_GIB  ((double)(1 << 30))

struct teams_view {
	JsonBuilder *builder;
	struct resources capacity;
	bool has_teams;
};

static void add_int(struct teams_view *v, const char *name, int64_t value)
{
	json_builder_set_member_name(v->builder, name);
	json_builder_add_int_value(v->builder, value);
}

static void add_bool(struct teams_view *v, const char *name, bool value)
{
	json_builder_set_member_name(v->builder, name);
	json_builder_add_boolean_value(v->builder, value);
}

static void add_string(struct teams_view *v, const char *name, const char *value)
{
	json_builder_set_member_name(v->builder, name);
	json_builder_add_string_value(v->builder, value);
}

static void add_null(struct teams_view *v, const char *name)
{
	json_builder_set_member_name(v->builder, name);
	json_builder_add_null_value(v->builder);
}

static void add_amount(struct teams_view *v, const char *name, double value)
{
	json_builder_set_member_name(v->builder, name);
	json_builder_add_double_value(v->builder, (double)(int64_t)(value * 1000 + 0.5) / 1000);
}

static void add_cap(struct teams_view *v, const char *name, int64_t cap, double unit)
{
	if (cap)
		add_amount(v, name, (double)cap / unit);
	else
		add_null(v, name);
}

struct teams_view *teams_view_create(const struct teams_view_node *node)
{
	const struct teams *teams = node->queues ? queues_teams(node->queues) : NULL;
	struct teams_view *v = g_new0(struct teams_view, 1);

	v->builder = json_builder_new();
	json_builder_begin_object(v->builder);
	add_string(v, "vm", node->vm);
	if (node->queues)
		add_int(v, "config_version", (int64_t)queues_version(node->queues));
	else
		add_null(v, "config_version");
	if (node->config_age_ms >= 0)
		add_int(v, "config_age_ms", node->config_age_ms);
	else
		add_null(v, "config_age_ms");
	add_bool(v, "keys_usable", node->keys_usable);
	add_int(v, "team_count", teams ? (int64_t)teams_count(teams) : 0);
	add_int(v, "key_count", teams ? (int64_t)teams_key_count(teams) : 0);
	return v;
}

void teams_view_destroy(struct teams_view *v)
{
	if (!v)
		return;
	g_object_unref(v->builder);
	g_free(v);
}

void teams_view_begin_teams(struct teams_view *v, const struct resources *capacity)
{
	v->capacity = *capacity;
	v->has_teams = true;
	add_bool(v, "scheduler", true);
	json_builder_set_member_name(v->builder, "teams");
	json_builder_begin_array(v->builder);
}

static double share(int64_t used, int64_t capacity)
{
	return capacity > 0 ? (double)used / (double)capacity : 0;
}

static double dominant_share(const struct resources *used, const struct resources *capacity)
{
	double max = share(used->cpu_milli, capacity->cpu_milli);

	max = MAX(max, share(used->mem_bytes, capacity->mem_bytes));
	return MAX(max, share(used->accel, capacity->accel));
}

void teams_view_add_team(struct teams_view *v, const struct scheduler_team *team,
			 const struct admit_rejections *rejections)
{
	json_builder_begin_object(v->builder);
	add_string(v, "name", team->name);
	add_int(v, "weight", team->weight);
	add_amount(v, "cpu_used", (double)team->used.cpu_milli / MILLI_PER_CORE);
	add_cap(v, "cpu_cap", team->cap.cpu_milli, MILLI_PER_CORE);
	add_amount(v, "mem_used", (double)team->used.mem_bytes / BYTES_PER_GIB);
	add_cap(v, "mem_cap", team->cap.mem_bytes, BYTES_PER_GIB);
	add_int(v, "accel_used", team->used.accel);
	add_cap(v, "accel_cap", team->cap.accel, 1);
	add_amount(v, "share_percent", 100 * dominant_share(&team->used, &v->capacity));
	add_int(v, "runs", team->runs);
	add_int(v, "waiting_jobs", team->waiting_jobs);
	add_int(v, "tasks_held_back", team->held_back);
	add_int(v, "rejected_capacity", (int64_t)rejections->capacity);
	add_int(v, "rejected_backlog", (int64_t)rejections->backlog);
	json_builder_end_object(v->builder);
}

char *teams_view_end(struct teams_view *v)
{
	g_autoptr(JsonNode) root = NULL;

	if (v->has_teams)
		json_builder_end_array(v->builder);
	else
		add_bool(v, "scheduler", false);
	json_builder_end_object(v->builder);
	root = json_builder_get_root(v->builder);
	return json_text_write(root);
}
