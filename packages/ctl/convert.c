#include <glib.h>

#include "convert.h"

static uint64_t memory_bytes(uint64_t bytes, uint32_t mb)
{
	return bytes ? bytes : (uint64_t)mb << 20;
}

static const char *text_or_empty(const char *value)
{
	return value ? value : "";
}

void convert_team(const struct team_file *file, struct config_team *team)
{
	*team = (struct config_team){
		.weight = file->weight ? file->weight : DEFAULT_WEIGHT,
		.quota = { .cpu_milli = file->quota_cpu_milli,
			   .mem_bytes = memory_bytes(file->quota_mem_bytes, file->quota_mem_mb),
			   .accel = file->quota_accel },
	};
	g_strlcpy(team->name, text_or_empty(file->team), sizeof(team->name));
	g_strlcpy(team->home_dc, text_or_empty(file->home_dc), sizeof(team->home_dc));
}

void convert_service(const struct service_file *file, struct config_service *service)
{
	bool is_request = file->class == WORK_URGENT || file->class == WORK_REQUEST;

	*service = (struct config_service){
		.class = file->class,
		.idempotency = file->idempotent ? IDEMPOTENT : NON_IDEMPOTENT,
		.size = { .cpu_milli = file->cpu_milli,
			  .mem_bytes = memory_bytes(file->mem_bytes, file->mem_mb),
			  .accel = file->accel },
		.count = file->count,
		.run_ms = file->run_ms,
		.deadline_ms = file->deadline_ms,
		.answer_max_bytes = file->answer_max_bytes,
		.preemptible = file->preemptible,
		.throttleable = file->throttleable,
	};
	if (is_request && !service->deadline_ms)
		service->deadline_ms = DEFAULT_DEADLINE_MS;
	if (is_request && !service->answer_max_bytes)
		service->answer_max_bytes = DEFAULT_ANSWER_MAX_BYTES;
	g_strlcpy(service->name, text_or_empty(file->service), sizeof(service->name));
	g_strlcpy(service->team, text_or_empty(file->team), sizeof(service->team));
}
