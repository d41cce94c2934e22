#include <json-glib/json-glib.h>

#include "fields.h"
#include "dispatch_priv.h"

static const char *state_name(enum job_state s)
{
	static const char *const names[JOB_STATES] = {
		[JOB_WAITING] = "waiting", [JOB_RUNNING] = "running",	  [JOB_DONE] = "done",
		[JOB_FAILED] = "failed",   [JOB_CANCELLED] = "cancelled", [JOB_UNKNOWN] = "unknown",
	};

	return s < JOB_STATES ? names[s] : "invalid";
}

static void add_job(JsonBuilder *b, const struct job_view *v)
{
	static const char *const counts[TASK_STATES] = {
		[TASK_WAITING] = "waiting", [TASK_CLAIMED] = "claimed", [TASK_RUNNING] = "running",
		[TASK_DONE] = "done",	    [TASK_FAILED] = "failed",	[TASK_UNKNOWN] = "unknown",
	};

	json_builder_begin_object(b);
	fields_add_text(b, "id", v->spec->id);
	fields_add_text(b, "team", v->spec->team);
	fields_add_text(b, "service", v->spec->service);
	fields_add_text(b, "class", work_class_name(v->spec->class));
	fields_add_text(b, "state", state_name(v->state));
	json_builder_set_member_name(b, "tasks");
	json_builder_add_int_value(b, v->spec->tasks);
	json_builder_set_member_name(b, "count");
	json_builder_begin_object(b);
	for (int i = 0; i < TASK_STATES; i++) {
		json_builder_set_member_name(b, counts[i]);
		json_builder_add_int_value(b, v->count[i]);
	}
	json_builder_end_object(b);
	json_builder_end_object(b);
}

static void add_listed(void *ctx, const struct job_view *v)
{
	add_job(ctx, v);
}

char *jobsview_list(struct dispatch *d)
{
	g_autoptr(JsonBuilder) b = json_builder_new();

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "jobs");
	json_builder_begin_array(b);
	jobs_each(d->jobs, add_listed, b);
	json_builder_end_array(b);
	json_builder_end_object(b);
	return fields_end(b);
}

char *jobsview_job(struct dispatch *d, const char *id)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	struct job_view v;

	if (!jobs_get(d->jobs, id, &v))
		return NULL;
	add_job(b, &v);
	return fields_end(b);
}

char *jobsview_explain(struct dispatch *d, const char *id)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	struct job_view v;
	char why[200] = "";

	if (!jobs_get(d->jobs, id, &v))
		return NULL;
	for (uint32_t i = 0; i < v.spec->tasks && !why[0]; i++) {
		enum task_state s = jobs_task_state(d->jobs, id, i, NULL);

		if (s == TASK_CLAIMED || s == TASK_RUNNING)
			racks_explain(d->deps.racks, id, i, why, sizeof(why));
	}
	if (!why[0] && v.count[TASK_WAITING])
		g_strlcpy(
			why,
			tail_reachable(d->tail)
				? "its tasks wait for free room on the workers"
				: "the platform's log can't be reached, so no task can be claimed",
			sizeof(why));
	json_builder_begin_object(b);
	fields_add_text(b, "id", id);
	fields_add_text(b, "state", state_name(v.state));
	fields_add_text(b, "why", why[0] ? why : "nothing waits");
	json_builder_end_object(b);
	return fields_end(b);
}
