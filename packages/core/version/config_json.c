#include "config_json.h"

static void add_string(JsonBuilder *b, const char *key, const char *value)
{
	json_builder_set_member_name(b, key);
	json_builder_add_string_value(b, value);
}

static void add_int(JsonBuilder *b, const char *key, uint64_t value)
{
	json_builder_set_member_name(b, key);
	json_builder_add_int_value(b, (int64_t)value);
}

static void add_bool(JsonBuilder *b, const char *key, bool value)
{
	json_builder_set_member_name(b, key);
	json_builder_add_boolean_value(b, value);
}

static void add_team(JsonBuilder *b, const struct config_team *team, const char *author)
{
	json_builder_begin_object(b);
	add_string(b, "name", team->name);
	add_string(b, "home_dc", team->home_dc);
	add_int(b, "weight", team->weight);
	add_int(b, "quota_cpu_milli", team->quota.cpu_milli);
	add_int(b, "quota_mem_bytes", team->quota.mem_bytes);
	add_int(b, "quota_accel", team->quota.accel);
	add_int(b, "version", team->version);
	add_string(b, "author", author);
	json_builder_end_object(b);
}

static void add_service(JsonBuilder *b, const struct config_service *s)
{
	json_builder_begin_object(b);
	add_string(b, "name", s->name);
	add_string(b, "team", s->team);
	add_string(b, "class", work_class_name(s->class));
	add_bool(b, "idempotent", s->idempotency == IDEMPOTENT);
	add_int(b, "cpu_milli", s->size.cpu_milli);
	add_int(b, "mem_bytes", s->size.mem_bytes);
	add_int(b, "accel", s->size.accel);
	add_int(b, "count", s->count);
	add_int(b, "run_ms", s->run_ms);
	add_int(b, "deadline_ms", s->deadline_ms);
	add_int(b, "answer_max_bytes", s->answer_max_bytes);
	add_bool(b, "preemptible", s->preemptible);
	add_bool(b, "throttleable", s->throttleable);
	add_int(b, "version", s->version);
	add_string(b, "author", s->author);
	json_builder_end_object(b);
}

void config_json_add(JsonBuilder *b, const struct config *c)
{
	const struct config_team *team;
	const struct config_service *service;

	add_int(b, "version", config_version(c));
	add_int(b, "next_offset", config_next_offset(c));
	json_builder_set_member_name(b, "teams");
	json_builder_begin_array(b);
	for (size_t i = 0; (team = config_team_at(c, i)); i++)
		add_team(b, team, config_team_author(c, team->name));
	json_builder_end_array(b);
	json_builder_set_member_name(b, "services");
	json_builder_begin_array(b);
	for (size_t i = 0; (service = config_service_at(c, i)); i++)
		add_service(b, service);
	json_builder_end_array(b);
}

static bool read_string(JsonObject *object, const char *key, char *to, size_t size)
{
	const char *value = json_object_get_string_member_with_default(object, key, "");

	return value && g_strlcpy(to, value, size) < size && value[0] != '\0';
}

static uint64_t read_uint(JsonObject *object, const char *key)
{
	return (uint64_t)json_object_get_int_member_with_default(object, key, 0);
}

static bool read_bool(JsonObject *object, const char *key)
{
	return json_object_get_boolean_member_with_default(object, key, false);
}

bool config_json_read_team(JsonObject *object, struct config_team *team, char *author, size_t size)
{
	*team = (struct config_team){
		.weight = (uint32_t)read_uint(object, "weight"),
		.quota = { .cpu_milli = (uint32_t)read_uint(object, "quota_cpu_milli"),
			   .mem_bytes = read_uint(object, "quota_mem_bytes"),
			   .accel = (uint32_t)read_uint(object, "quota_accel") },
		.version = read_uint(object, "version"),
	};
	read_string(object, "home_dc", team->home_dc, sizeof(team->home_dc));
	read_string(object, "author", author, size);
	return read_string(object, "name", team->name, sizeof(team->name));
}

bool config_json_read_service(JsonObject *object, struct config_service *s)
{
	char class[16];

	*s = (struct config_service){
		.idempotency = read_bool(object, "idempotent") ? IDEMPOTENT : NON_IDEMPOTENT,
		.size = { .cpu_milli = (uint32_t)read_uint(object, "cpu_milli"),
			  .mem_bytes = read_uint(object, "mem_bytes"),
			  .accel = (uint32_t)read_uint(object, "accel") },
		.count = (uint32_t)read_uint(object, "count"),
		.run_ms = (uint32_t)read_uint(object, "run_ms"),
		.deadline_ms = (uint32_t)read_uint(object, "deadline_ms"),
		.answer_max_bytes = (uint32_t)read_uint(object, "answer_max_bytes"),
		.preemptible = read_bool(object, "preemptible"),
		.throttleable = read_bool(object, "throttleable"),
		.version = read_uint(object, "version"),
	};
	read_string(object, "author", s->author, sizeof(s->author));
	return read_string(object, "name", s->name, sizeof(s->name)) &&
	       read_string(object, "team", s->team, sizeof(s->team)) &&
	       read_string(object, "class", class, sizeof(class)) &&
	       work_class_parse(class, &s->class);
}
