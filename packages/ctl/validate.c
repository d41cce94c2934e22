#include <string.h>

#include <glib.h>

#include "convert.h"
#include "validate.h"

#define CLASS_BIT(class) (1U << (class))

enum {
	REQUEST_CLASSES = CLASS_BIT(WORK_URGENT) | CLASS_BIT(WORK_REQUEST),
	JOB_CLASSES = CLASS_BIT(WORK_GANG) | CLASS_BIT(WORK_BATCH),
};

/* The classes that allow a key and those that require it, as bits. */
struct class_rule {
	const char *key;
	unsigned int allowed;
	unsigned int required;
};

static const struct class_rule class_rules[] = {
	{ "count", CLASS_BIT(WORK_SERVICE), CLASS_BIT(WORK_SERVICE) },
	{ "run_ms", REQUEST_CLASSES | JOB_CLASSES, REQUEST_CLASSES | JOB_CLASSES },
	{ "deadline_ms", REQUEST_CLASSES, 0 },
	{ "answer_max_bytes", REQUEST_CLASSES, 0 },
	{ "preemptible", JOB_CLASSES, 0 },
	{ "throttleable", CLASS_BIT(WORK_SERVICE) | JOB_CLASSES, 0 },
};

static void check_memory(const struct config_file *cf, const char *mb, const char *bytes,
			 bool required, struct diagnostics *diags)
{
	bool has_mb = config_file_has_key(cf, mb), has_bytes = config_file_has_key(cf, bytes);

	if (has_mb && has_bytes)
		diagnostics_add(diags, config_file_path(cf), config_file_position(cf, bytes),
				"%s: \"%s\" is also given; give only one of them", bytes, mb);
	if (required && !has_mb && !has_bytes)
		diagnostics_add(diags, config_file_path(cf), config_file_position(cf, ""),
				"missing key \"%s\" or \"%s\"", mb, bytes);
}

static void check_class_keys(const struct config_file *cf, enum work_class class,
			     struct diagnostics *diags)
{
	for (size_t i = 0; i < G_N_ELEMENTS(class_rules); i++) {
		const struct class_rule *rule = &class_rules[i];
		bool has = config_file_has_key(cf, rule->key);

		if (has && !(rule->allowed & CLASS_BIT(class)))
			diagnostics_add(diags, config_file_path(cf),
					config_file_position(cf, rule->key),
					"%s: has no meaning in class %s", rule->key,
					work_class_name(class));
		if (!has && (rule->required & CLASS_BIT(class)))
			diagnostics_add(diags, config_file_path(cf), config_file_position(cf, ""),
					"missing key \"%s\", which class %s needs", rule->key,
					work_class_name(class));
	}
}

void validate_service(const struct config_file *cf, struct diagnostics *diags)
{
	const struct service_file *file = config_file_values(cf);
	struct config_service service;

	check_memory(cf, "mem_mb", "mem_bytes", true, diags);
	if (!config_file_key_valid(cf, "class"))
		return;
	check_class_keys(cf, file->class, diags);
	if (config_file_has_key(cf, "deadline_ms") && !config_file_key_valid(cf, "deadline_ms"))
		return;
	convert_service(file, &service);
	if (service.deadline_ms && service.run_ms > service.deadline_ms)
		diagnostics_add(diags, config_file_path(cf),
				config_file_position(cf, config_file_has_key(cf, "deadline_ms")
								 ? "deadline_ms"
								 : "run_ms"),
				"run_ms %u is longer than deadline_ms %u", service.run_ms,
				service.deadline_ms);
}

void validate_team(const struct config_file *cf, struct diagnostics *diags)
{
	const struct team_file *file = config_file_values(cf);

	check_memory(cf, "quota_mem_mb", "quota_mem_bytes", false, diags);
	if (config_file_key_valid(cf, "home_dc") &&
	    strlen(file->home_dc) >= sizeof(((struct config_team *)NULL)->home_dc))
		diagnostics_add(diags, config_file_path(cf), config_file_position(cf, "home_dc"),
				"home_dc: the name is longer than %zu bytes",
				sizeof(((struct config_team *)NULL)->home_dc) - 1);
}

/* One dimension of a task's size and its limit, in the unit of the key. */
struct amount {
	const char *key;
	uint64_t wanted;
	uint64_t limit;
};

static void list_amounts(const struct config_file *cf, const struct res *wanted,
			 const struct res *limit, struct amount amounts[3])
{
	const char *mem = config_file_has_key(cf, "mem_mb") ? "mem_mb" : "mem_bytes";
	unsigned int shift = config_file_has_key(cf, "mem_mb") ? 20 : 0;

	amounts[0] = (struct amount){ "cpu_milli", wanted->cpu_milli, limit->cpu_milli };
	amounts[1] = (struct amount){ mem, wanted->mem_bytes >> shift, limit->mem_bytes >> shift };
	amounts[2] = (struct amount){ "accel", wanted->accel, limit->accel };
}

void validate_fits_worker(const struct config_file *cf, const struct vm_list *vm_list,
			  struct diagnostics *diags)
{
	const struct service_file *file = config_file_values(cf);
	struct res largest = vm_list_largest(vm_list);
	struct config_service service;
	struct amount amounts[3];
	bool over = false;

	convert_service(file, &service);
	if (vm_list_has_worker_for(vm_list, &service.size))
		return;
	list_amounts(cf, &service.size, &largest, amounts);
	for (size_t i = 0; i < G_N_ELEMENTS(amounts); i++) {
		const struct amount *a = &amounts[i];

		if (a->wanted <= a->limit)
			continue;
		over = true;
		diagnostics_add(diags, config_file_path(cf), config_file_position(cf, a->key),
				"%s: %" G_GUINT64_FORMAT " fits no worker; the largest has "
				"%" G_GUINT64_FORMAT,
				a->key, a->wanted, a->limit);
	}
	if (!over)
		diagnostics_add(diags, config_file_path(cf), config_file_position(cf, "service"),
				"service: no single worker has its cpu_milli, memory and accel "
				"together");
}

void validate_fits_quota(const struct config_file *cf, const struct res *quota,
			 struct diagnostics *diags)
{
	const struct service_file *file = config_file_values(cf);
	struct config_service service;
	struct amount amounts[3];

	convert_service(file, &service);
	list_amounts(cf, &service.size, quota, amounts);
	for (size_t i = 0; i < G_N_ELEMENTS(amounts); i++) {
		const struct amount *a = &amounts[i];

		if (a->limit != 0 && a->wanted > a->limit)
			diagnostics_add(diags, config_file_path(cf),
					config_file_position(cf, a->key),
					"%s: %" G_GUINT64_FORMAT " for one task is over the quota "
					"%" G_GUINT64_FORMAT " of team %s",
					a->key, a->wanted, a->limit, file->team);
	}
}
