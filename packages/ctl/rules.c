#include <string.h>

#include <glib.h>

#include "convert.h"
#include "rules.h"

#define BIT(class) (1U << (class))

enum {
	ANSWERS = BIT(WORK_URGENT) | BIT(WORK_REQUEST),
	JOBS = BIT(WORK_GANG) | BIT(WORK_BATCH),
};

/* Classes in which a key has a meaning, and those in which it must be given. */
struct class_rule {
	const char *key;
	unsigned int allowed;
	unsigned int required;
};

static const struct class_rule class_rules[] = {
	{ "count", BIT(WORK_SERVICE), BIT(WORK_SERVICE) },
	{ "run_ms", ANSWERS | JOBS, ANSWERS | JOBS },
	{ "deadline_ms", ANSWERS, 0 },
	{ "answer_max_bytes", ANSWERS, 0 },
	{ "preemptible", JOBS, 0 },
	{ "throttleable", BIT(WORK_SERVICE) | JOBS, 0 },
};

static void check_memory(const struct config_file *cf, const char *mb, const char *bytes,
			 bool required, struct diagnostics *diags)
{
	bool has_mb = config_file_has(cf, mb), has_bytes = config_file_has(cf, bytes);

	if (has_mb && has_bytes)
		diagnostics_add(diags, config_file_path(cf), config_file_position(cf, bytes),
				"%s: \"%s\" is given as well; give one of them", bytes, mb);
	if (required && !has_mb && !has_bytes)
		diagnostics_add(diags, config_file_path(cf), config_file_position(cf, ""),
				"missing key \"%s\" or \"%s\"", mb, bytes);
}

static void check_classes(const struct config_file *cf, enum work_class class,
			  struct diagnostics *diags)
{
	for (size_t i = 0; i < G_N_ELEMENTS(class_rules); i++) {
		const struct class_rule *rule = &class_rules[i];
		bool has = config_file_has(cf, rule->key);

		if (has && !(rule->allowed & BIT(class)))
			diagnostics_add(diags, config_file_path(cf),
					config_file_position(cf, rule->key),
					"%s: has no meaning in class %s", rule->key,
					work_class_name(class));
		if (!has && (rule->required & BIT(class)))
			diagnostics_add(diags, config_file_path(cf), config_file_position(cf, ""),
					"missing key \"%s\", which class %s needs", rule->key,
					work_class_name(class));
	}
}

void rules_service(const struct config_file *cf, struct diagnostics *diags)
{
	const struct service_file *file = config_file_values(cf);
	struct config_service service;

	check_memory(cf, "mem_mb", "mem_bytes", true, diags);
	if (!config_file_valid(cf, "class"))
		return;
	check_classes(cf, file->class, diags);
	if (config_file_has(cf, "deadline_ms") && !config_file_valid(cf, "deadline_ms"))
		return;
	convert_service(file, &service);
	if (service.deadline_ms && service.run_ms > service.deadline_ms)
		diagnostics_add(diags, config_file_path(cf),
				config_file_position(cf, config_file_has(cf, "deadline_ms")
								 ? "deadline_ms"
								 : "run_ms"),
				"run_ms %u is longer than deadline_ms %u", service.run_ms,
				service.deadline_ms);
}

void rules_team(const struct config_file *cf, struct diagnostics *diags)
{
	const struct team_file *file = config_file_values(cf);

	check_memory(cf, "quota_mem_mb", "quota_mem_bytes", false, diags);
	if (config_file_valid(cf, "home_dc") &&
	    strlen(file->home_dc) >= sizeof(((struct config_team *)NULL)->home_dc))
		diagnostics_add(diags, config_file_path(cf), config_file_position(cf, "home_dc"),
				"home_dc: the name is longer than %zu bytes",
				sizeof(((struct config_team *)NULL)->home_dc) - 1);
}

/* One dimension of a size beside its limit. */
struct amount {
	const char *key;
	uint64_t want;
	uint64_t have;
};

static void list_amounts(const struct config_file *cf, const struct res *want,
			 const struct res *have, struct amount amounts[3])
{
	const char *mem = config_file_has(cf, "mem_mb") ? "mem_mb" : "mem_bytes";
	unsigned int shift = config_file_has(cf, "mem_mb") ? 20 : 0;

	amounts[0] = (struct amount){ "cpu_milli", want->cpu_milli, have->cpu_milli };
	amounts[1] = (struct amount){ mem, want->mem_bytes >> shift, have->mem_bytes >> shift };
	amounts[2] = (struct amount){ "accel", want->accel, have->accel };
}

void rules_fit(const struct config_file *cf, const struct vm_list *vm_list,
	       struct diagnostics *diags)
{
	const struct service_file *file = config_file_values(cf);
	struct res largest = vm_list_largest(vm_list);
	struct config_service service;
	struct amount amounts[3];
	bool over = false;

	convert_service(file, &service);
	if (vm_list_any_fits(vm_list, &service.size))
		return;
	list_amounts(cf, &service.size, &largest, amounts);
	for (size_t i = 0; i < G_N_ELEMENTS(amounts); i++) {
		const struct amount *a = &amounts[i];

		if (a->want <= a->have)
			continue;
		over = true;
		diagnostics_add(diags, config_file_path(cf), config_file_position(cf, a->key),
				"%s: %" G_GUINT64_FORMAT " fits no worker; the largest has "
				"%" G_GUINT64_FORMAT,
				a->key, a->want, a->have);
	}
	if (!over)
		diagnostics_add(diags, config_file_path(cf), config_file_position(cf, "service"),
				"service: no single worker has its cpu_milli, memory and accel "
				"together");
}

void rules_quota(const struct config_file *cf, const struct res *quota, struct diagnostics *diags)
{
	const struct service_file *file = config_file_values(cf);
	struct config_service service;
	struct amount amounts[3];

	convert_service(file, &service);
	list_amounts(cf, &service.size, quota, amounts);
	for (size_t i = 0; i < G_N_ELEMENTS(amounts); i++) {
		const struct amount *a = &amounts[i];

		if (a->have != 0 && a->want > a->have)
			diagnostics_add(diags, config_file_path(cf),
					config_file_position(cf, a->key),
					"%s: %" G_GUINT64_FORMAT " for one task is over the quota "
					"%" G_GUINT64_FORMAT " of team %s",
					a->key, a->want, a->have, file->team);
	}
}
