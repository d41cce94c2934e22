#ifndef CTL_SCHEMA_H
#define CTL_SCHEMA_H

#include <stdbool.h>
#include <stdint.h>

#include <cyaml/cyaml.h>

#include "process/types.h"

/* schema - keys, types and ranges of service files and team files. */

enum { SCHEMA_NAME_MAX_BYTES = 63 };

/* A service file as libcyaml loads it. Missing keys are zero. */
struct service_file {
	char *service;
	char *team;
	enum work_class class;
	bool idempotent;
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint64_t mem_bytes;
	uint32_t accel;
	uint32_t count;
	uint32_t run_ms;
	uint32_t deadline_ms;
	uint32_t answer_max_bytes;
	bool preemptible;
	bool throttleable;
};

/* A team file as libcyaml loads it. Missing keys are zero. */
struct team_file {
	char *team;
	char *home_dc;
	uint32_t weight;
	uint32_t quota_cpu_milli;
	uint32_t quota_mem_mb;
	uint64_t quota_mem_bytes;
	uint32_t quota_accel;
};

/* Allowed range of an integer key, inclusive. */
struct schema_range {
	const char *key;
	uint64_t min;
	uint64_t max;
};

struct schema {
	const char *kind; /* for messages, such as "team file" */
	const char *name_key;
	const cyaml_schema_value_t *root;
	const struct schema_range *ranges;
	size_t n_ranges;
};

extern const struct schema schema_service;
extern const struct schema schema_team;

/* schema_for_path - the schema for a file of that name; NULL if it isn't a config file. */
const struct schema *schema_for_path(const char *path);
/* schema_field - the field of key, NULL if the schema has no such key. */
const cyaml_schema_field_t *schema_field(const struct schema *schema, const char *key);
/* schema_range - the range of key, which must be an integer key of the schema. */
const struct schema_range *schema_range(const struct schema *schema, const char *key);

#endif
