#include <string.h>

#include <glib.h>
#include <jobs.pb-c.h>

#include "jobtable.h"

uint8_t *jobrecord_pack(const Kwjobs__JobRecord *record, size_t *size)
{
	uint8_t *data;

	*size = kwjobs__job_record__get_packed_size(record);
	data = g_malloc(*size);
	kwjobs__job_record__pack(record, data);
	return data;
}

static bool valid_text(const char *text, size_t size)
{
	return text && *text && strlen(text) < size;
}

static bool valid_spec(const struct job_spec *spec)
{
	if (!valid_text(spec->team, sizeof(spec->team)) ||
	    !valid_text(spec->service, sizeof(spec->service)))
		return false;
	if (spec->tasks > JOBS_TASKS_MAX || (!spec->tasks && spec->class != WORK_SERVICE))
		return false;
	if (!spec->attempts || (!spec->idempotent && spec->attempts > 1))
		return false;
	return spec->class < WORK_CLASSES;
}

bool jobrecord_decode_spec(const Kwjobs__Spec *in, struct job_spec *spec)
{
	memset(spec, 0, sizeof(*spec));
	if (in->id.len != UUID7_BYTES || in->work_class >= WORK_CLASSES)
		return false;
	if (!valid_text(in->team, sizeof(spec->team)) ||
	    !valid_text(in->service, sizeof(spec->service)))
		return false;
	uuid7_format(in->id.data, spec->id);
	g_strlcpy(spec->team, in->team, sizeof(spec->team));
	g_strlcpy(spec->service, in->service, sizeof(spec->service));
	spec->class = (enum work_class)in->work_class;
	spec->tasks = in->tasks;
	spec->size.cpu_milli = in->cpu_milli;
	spec->size.mem_bytes = in->mem_bytes;
	spec->size.accel = in->accel;
	spec->run_ms = in->run_ms;
	spec->attempts = in->attempts;
	spec->idempotent = in->idempotent;
	spec->submitted_wall_ms = in->submitted_wall_ms;
	spec->version = in->version;
	return valid_spec(spec);
}

bool jobrecord_encode_spec(const struct job_spec *spec, Kwjobs__Spec *out, uint8_t id[UUID7_BYTES])
{
	if (!uuid7_parse(spec->id, id) || !valid_spec(spec))
		return false;
	kwjobs__spec__init(out);
	out->id.data = id;
	out->id.len = UUID7_BYTES;
	out->team = (char *)spec->team;
	out->service = (char *)spec->service;
	out->work_class = spec->class;
	out->tasks = spec->tasks;
	out->cpu_milli = spec->size.cpu_milli;
	out->mem_bytes = spec->size.mem_bytes;
	out->accel = spec->size.accel;
	out->run_ms = spec->run_ms;
	out->attempts = spec->attempts;
	out->idempotent = spec->idempotent;
	out->submitted_wall_ms = spec->submitted_wall_ms;
	out->version = spec->version;
	return true;
}

uint8_t *jobs_record_submit(const struct job_spec *spec, size_t *size)
{
	Kwjobs__JobRecord record = KWJOBS__JOB_RECORD__INIT;
	Kwjobs__Submit submit = KWJOBS__SUBMIT__INIT;
	Kwjobs__Spec out;
	uint8_t id[UUID7_BYTES];

	if (!jobrecord_encode_spec(spec, &out, id))
		return NULL;
	submit.spec = &out;
	record.body_case = KWJOBS__JOB_RECORD__BODY_SUBMIT;
	record.submit = &submit;
	return jobrecord_pack(&record, size);
}

uint8_t *jobs_record_cancel(const char *job, size_t *size)
{
	Kwjobs__JobRecord record = KWJOBS__JOB_RECORD__INIT;
	Kwjobs__Cancel cancel = KWJOBS__CANCEL__INIT;
	uint8_t id[UUID7_BYTES];

	if (!uuid7_parse(job, id))
		return NULL;
	cancel.id.data = id;
	cancel.id.len = UUID7_BYTES;
	record.body_case = KWJOBS__JOB_RECORD__BODY_CANCEL;
	record.cancel = &cancel;
	return jobrecord_pack(&record, size);
}

uint8_t *jobs_record_claim(const char *job, uint32_t first, uint32_t count, uint32_t attempt,
			   const char *daemon, uint64_t nonce, size_t *size)
{
	Kwjobs__JobRecord record = KWJOBS__JOB_RECORD__INIT;
	Kwjobs__Claim claim = KWJOBS__CLAIM__INIT;
	uint8_t id[UUID7_BYTES];

	if (!uuid7_parse(job, id))
		return NULL;
	claim.id.data = id;
	claim.id.len = UUID7_BYTES;
	claim.first = first;
	claim.count = count;
	claim.attempt = attempt;
	claim.daemon = (char *)daemon;
	claim.nonce = nonce;
	record.body_case = KWJOBS__JOB_RECORD__BODY_CLAIM;
	record.claim = &claim;
	return jobrecord_pack(&record, size);
}
