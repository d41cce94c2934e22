#include <string.h>

#include <glib.h>

#include "schema.h"

#define REQUIRED	 CYAML_FLAG_DEFAULT
#define OPTIONAL	 CYAML_FLAG_OPTIONAL
#define MAX_CPU_MILLI	 (1024ULL * 1000)
#define MAX_MEM_MB	 (64ULL * 1024 * 1024)
#define MAX_ACCEL	 64ULL
#define MAX_COUNT	 100000ULL
#define MAX_RUN_MS	 (30ULL * 24 * 3600 * 1000)
#define MAX_DEADLINE_MS	 (24ULL * 3600 * 1000)
#define MAX_ANSWER_BYTES (1ULL << 30)
#define MAX_QUOTA	 UINT32_MAX
#define MAX_MEM_BYTES	 (MAX_MEM_MB << 20)

static const cyaml_strval_t class_names[] = {
	{ "urgent", WORK_URGENT }, { "request", WORK_REQUEST }, { "service", WORK_SERVICE },
	{ "gang", WORK_GANG },	   { "batch", WORK_BATCH },
};

#define NAME(key, flags, type)                                                                     \
	CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_POINTER | (flags), type, key, 1,                   \
			       SCHEMA_NAME_MAX_BYTES)
#define UINT(key, type)	 CYAML_FIELD_UINT(#key, OPTIONAL, type, key)
#define BOOL(key, flags) CYAML_FIELD_BOOL(#key, flags, struct service_file, key)

static const cyaml_schema_field_t service_fields[] = {
	NAME(service, REQUIRED, struct service_file),
	NAME(team, REQUIRED, struct service_file),
	CYAML_FIELD_ENUM("class", CYAML_FLAG_STRICT, struct service_file, class, class_names,
			 CYAML_ARRAY_LEN(class_names)),
	BOOL(idempotent, REQUIRED),
	CYAML_FIELD_UINT("cpu_milli", REQUIRED, struct service_file, cpu_milli),
	UINT(mem_mb, struct service_file),
	UINT(mem_bytes, struct service_file),
	UINT(accel, struct service_file),
	UINT(count, struct service_file),
	UINT(run_ms, struct service_file),
	UINT(deadline_ms, struct service_file),
	UINT(answer_max_bytes, struct service_file),
	BOOL(preemptible, OPTIONAL),
	BOOL(throttleable, OPTIONAL),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t team_fields[] = {
	NAME(team, REQUIRED, struct team_file), NAME(home_dc, REQUIRED, struct team_file),
	UINT(weight, struct team_file),		UINT(quota_cpu_milli, struct team_file),
	UINT(quota_mem_mb, struct team_file),	UINT(quota_mem_bytes, struct team_file),
	UINT(quota_accel, struct team_file),	CYAML_FIELD_END,
};

static const cyaml_schema_value_t service_root = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct service_file, service_fields),
};

static const cyaml_schema_value_t team_root = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct team_file, team_fields),
};

static const struct schema_range service_ranges[] = {
	{ "cpu_milli", 1, MAX_CPU_MILLI },
	{ "mem_mb", 1, MAX_MEM_MB },
	{ "mem_bytes", 1, MAX_MEM_BYTES },
	{ "accel", 0, MAX_ACCEL },
	{ "count", 1, MAX_COUNT },
	{ "run_ms", 1, MAX_RUN_MS },
	{ "deadline_ms", 1, MAX_DEADLINE_MS },
	{ "answer_max_bytes", 1, MAX_ANSWER_BYTES },
};

static const struct schema_range team_ranges[] = {
	{ "weight", 1, 1000 },
	{ "quota_cpu_milli", 1, MAX_QUOTA },
	{ "quota_mem_mb", 1, MAX_QUOTA },
	{ "quota_mem_bytes", 1, (uint64_t)MAX_QUOTA << 20 },
	{ "quota_accel", 1, MAX_QUOTA },
};

const struct schema schema_service = {
	.kind = "service file",
	.name_key = "service",
	.root = &service_root,
	.ranges = service_ranges,
	.n_ranges = G_N_ELEMENTS(service_ranges),
};

const struct schema schema_team = {
	.kind = "team file",
	.name_key = "team",
	.root = &team_root,
	.ranges = team_ranges,
	.n_ranges = G_N_ELEMENTS(team_ranges),
};

const struct schema *schema_for_path(const char *path)
{
	g_autofree char *name = g_path_get_basename(path);

	if (strcmp(name, "knapweedwheel.yaml") == 0 || g_str_has_suffix(name, ".service.yaml"))
		return &schema_service;
	if (strcmp(name, "knapweedwheel-team.yaml") == 0 || g_str_has_suffix(name, ".team.yaml"))
		return &schema_team;
	return NULL;
}

const cyaml_schema_field_t *schema_field(const struct schema *schema, const char *key)
{
	const cyaml_schema_field_t *field = schema->root->mapping.fields;

	for (; field->key; field++)
		if (strcmp(field->key, key) == 0)
			return field;
	return NULL;
}

const struct schema_range *schema_range(const struct schema *schema, const char *key)
{
	for (size_t i = 0; i < schema->n_ranges; i++)
		if (strcmp(schema->ranges[i].key, key) == 0)
			return &schema->ranges[i];
	g_assert_not_reached();
}
