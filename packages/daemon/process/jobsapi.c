#define G_LOG_DOMAIN "jobs"

#include <json-glib/json-glib.h>
#include <string.h>

#include "dispatch_priv.h"
#include "id.h"
#include "log.h"
#include "process/voter.h"
#include "request/json_text.h"

#define PREFIX		    "/v1/jobs"
#define TASKS_MAX	    100000
#define ATTEMPTS_MAX	    5
#define SUBMIT_WAIT_MS	    5000
#define RETRY_AFTER_MS	    2000
#define FULL_RETRY_AFTER_MS 60000

/* A submit whose append is in flight or whose record is awaited because the reply was lost. */
struct pending_submit {
	struct dispatch *dispatch;
	SoupServerMessage *msg;
	char id[37];
	char dc[32]; /* home of the job */
	guint timer;
	bool is_local; /* its stream is read by this daemon */
};

/* Outlives the submit, which reading the record back may answer first. */
struct submit_append {
	struct dispatch *dispatch;
	char id[37];
};

static void pending_submit_free(gpointer data)
{
	struct pending_submit *s = data;

	if (s->timer)
		g_source_remove(s->timer);
	g_object_unref(s->msg);
	g_free(s);
}

static struct pending_submit *find_submit(const struct dispatch *d, const char *id)
{
	for (guint i = 0; i < d->pending_submits->len; i++) {
		struct pending_submit *s = d->pending_submits->pdata[i];

		if (strcmp(s->id, id) == 0)
			return s;
	}
	return NULL;
}

static void reply_accepted(struct pending_submit *s, const char *offset)
{
	g_autofree char *text = g_strdup_printf("{\"id\":\"%s\"%s}", s->id, offset);

	joblookup_accepted(s->dispatch, s->id, s->dc);
	http_reply_json(s->msg, SOUP_STATUS_ACCEPTED, text);
	soup_server_message_unpause(s->msg);
	g_ptr_array_remove_fast(s->dispatch->pending_submits, s);
}

static void reply_problem(struct pending_submit *s, const struct call_end *e)
{
	http_reply_problem(s->msg, e);
	soup_server_message_unpause(s->msg);
	g_ptr_array_remove_fast(s->dispatch->pending_submits, s);
}

static gboolean on_submit_timeout(gpointer data)
{
	struct pending_submit *s = data;
	struct call_end e;

	s->timer = 0;
	call_end_set(&e, OUTCOME_UNKNOWN, 504, "append", "platform",
		     "job %s may stand in the log; submit it again with this id", s->id);
	e.retry_after_ms = RETRY_AFTER_MS;
	reply_problem(s, &e);
	return G_SOURCE_REMOVE;
}

static void on_submitted(void *ctx, enum append_result result, uint64_t offset, const char *why)
{
	g_autofree struct submit_append *a = ctx;
	struct pending_submit *s = find_submit(a->dispatch, a->id);
	g_autofree char *text = g_strdup_printf(",\"offset\":%" G_GUINT64_FORMAT, offset);
	struct call_end e;

	if (!s)
		return;
	if (result == APPEND_OK) {
		reply_accepted(s, text);
		return;
	}
	if (result == APPEND_UNKNOWN)
		return; /* the record or the timer will answer */
	call_end_set(&e, OUTCOME_NOT_RUN, 503, "append", "platform", "%s", why);
	e.retry_after_ms = RETRY_AFTER_MS;
	reply_problem(s, &e);
}

void jobsapi_record_applied(struct dispatch *d)
{
	struct job_view v;

	for (guint i = d->pending_submits->len; i-- > 0;) {
		struct pending_submit *s = d->pending_submits->pdata[i];

		if (s->is_local && jobs_get(d->jobs, s->id, &v))
			reply_accepted(s, "");
	}
}

static bool reject(struct call_end *e, uint32_t status, const char *fmt, ...) G_GNUC_PRINTF(3, 4);

static bool reject(struct call_end *e, uint32_t status, const char *fmt, ...)
{
	char text[200];
	va_list ap;

	va_start(ap, fmt);
	g_vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	call_end_set(e, OUTCOME_NOT_RUN, status, "check", "", "%s", text);
	return false;
}

static bool read_number(JsonObject *o, const char *key, int64_t min, int64_t max, int64_t *value,
			struct call_end *e)
{
	JsonNode *node = json_object_get_member(o, key);

	if (!node)
		return true;
	if (!JSON_NODE_HOLDS_VALUE(node) || json_node_get_value_type(node) != G_TYPE_INT64)
		return reject(e, 400, "\"%s\" is not a whole number", key);
	*value = json_node_get_int(node);
	if (*value < min || *value > max)
		return reject(e, 400,
			      "\"%s\" is not between %" G_GINT64_FORMAT " and %" G_GINT64_FORMAT,
			      key, min, max);
	return true;
}

static bool read_text(JsonObject *o, const char *key, const char **value, struct call_end *e)
{
	JsonNode *node = json_object_get_member(o, key);

	*value = NULL;
	if (!node)
		return true;
	if (!JSON_NODE_HOLDS_VALUE(node) || json_node_get_value_type(node) != G_TYPE_STRING)
		return reject(e, 400, "\"%s\" is not a string", key);
	*value = json_node_get_string(node);
	return true;
}

static bool check_id(const char *id, uint32_t keep_ms, struct job_spec *spec, struct call_end *e)
{
	int64_t wall_ms;

	if (!id) {
		id_make(spec->id);
		return true;
	}
	if (!uuid7_time_ms(id, &wall_ms))
		return reject(e, 400, "the job's id is not a UUIDv7");
	/* A job that ended with this id may have been dropped already. */
	if (g_get_real_time() / 1000 - wall_ms >= keep_ms) {
		call_end_set(
			e, OUTCOME_UNKNOWN, 409, "check", "",
			"the job's id is older than %u ms; whether it ran is not known any more",
			keep_ms);
		return false;
	}
	g_strlcpy(spec->id, id, sizeof(spec->id));
	return true;
}

static bool check_service(const struct dispatch *d, const char *service, const char *team,
			  const struct config_service **s, const struct config_team **t,
			  struct call_end *e)
{
	const struct config *conf = config_sync_current(d->deps.config_sync);

	if (!service || !team)
		return reject(e, 400, "\"%s\" is missing", service ? "team" : "service");
	*s = config_service(conf, service);
	if (!*s)
		return reject(e, 404, "no service \"%.63s\"", service);
	*t = config_team(conf, team);
	if (!*t)
		return reject(e, 403, "no team \"%.63s\"", team);
	if ((*s)->class != WORK_BATCH && (*s)->class != WORK_GANG)
		return reject(e, 409, "service \"%s\" is of class %s and takes no jobs", (*s)->name,
			      work_class_name((*s)->class));
	return true;
}

/* Rejects a job whose tasks no worker could ever hold. */
static bool check_size(const struct dispatch *d, const struct config_service *s,
		       const struct config_team *t, struct call_end *e)
{
	struct res max = fleet_largest_worker(racks_fleet(d->deps.racks));

	g_assert(s && t);
	if (strcmp(t->home_dc, d->deps.set->dc) != 0 || res_fits(&s->size, &max))
		return true;
	return reject(e, 422,
		      "a task needs %u milli-processors, %" G_GUINT64_FORMAT
		      " bytes and %u accelerators; the largest worker has %u, %" G_GUINT64_FORMAT
		      " and %u",
		      s->size.cpu_milli, s->size.mem_bytes, s->size.accel, max.cpu_milli,
		      max.mem_bytes, max.accel);
}

/* key is the caller's Idempotency-Key, which is the id of the job unless the body has one. */
static bool read_spec(const struct dispatch *d, JsonObject *o, const char *key,
		      struct job_spec *spec, const struct config_team **team, struct call_end *e)
{
	const struct config_service *s = NULL;
	const char *service;
	const char *name;
	const char *id;
	int64_t tasks = 1;
	int64_t run_ms = -1;

	*spec = (struct job_spec){ 0 };
	if (!read_text(o, "service", &service, e) || !read_text(o, "team", &name, e) ||
	    !read_text(o, "id", &id, e) || !read_number(o, "tasks", 1, TASKS_MAX, &tasks, e) ||
	    !read_number(o, "run_ms", 0, G_MAXINT32, &run_ms, e) ||
	    !check_service(d, service, name, &s, team, e) || !check_size(d, s, *team, e) ||
	    !check_id(id ? id : key, d->deps.set->job_keep_ms, spec, e))
		return false;
	g_strlcpy(spec->team, (*team)->name, sizeof(spec->team));
	g_strlcpy(spec->service, s->name, sizeof(spec->service));
	spec->class = s->class;
	spec->tasks = (uint32_t)tasks;
	spec->size = s->size;
	spec->run_ms = run_ms >= 0 ? (uint32_t)run_ms : s->run_ms;
	spec->idempotent = s->idempotency == IDEMPOTENT;
	spec->attempts = spec->idempotent ? ATTEMPTS_MAX : 1;
	spec->submitted_wall_ms = g_get_real_time() / 1000;
	return true;
}

/* An append to an unreachable log could end in an unknown outcome; refusing it is certain. */
static bool check_log(const struct dispatch *d, struct call_end *e)
{
	if (tail_reachable(d->tail))
		return true;
	call_end_set(e, OUTCOME_NOT_RUN, 503, "append", "platform", "the log can't be reached");
	e->retry_after_ms = RETRY_AFTER_MS;
	return false;
}

static void append_job(struct dispatch *d, SoupServerMessage *msg, const struct job_spec *spec,
		       const char *home_dc)
{
	g_autofree char *stream = g_strdup_printf("jobs.%s", home_dc);
	g_autofree uint8_t *data = NULL;
	struct submit_append *a;
	struct pending_submit *s;
	struct call_end e;
	size_t size;

	if (!check_log(d, &e)) {
		http_reply_problem(msg, &e);
		return;
	}
	s = g_new0(struct pending_submit, 1);
	a = g_new0(struct submit_append, 1);
	s->dispatch = a->dispatch = d;
	s->msg = g_object_ref(msg);
	g_strlcpy(s->id, spec->id, sizeof(s->id));
	g_strlcpy(a->id, spec->id, sizeof(a->id));
	g_strlcpy(s->dc, home_dc, sizeof(s->dc));
	s->is_local = strcmp(stream, d->stream) == 0;
	s->timer = g_timeout_add(SUBMIT_WAIT_MS, on_submit_timeout, s);
	g_ptr_array_add(d->pending_submits, s);
	soup_server_message_pause(msg);
	data = jobs_record_submit(spec, &size);
	platform_append(d->deps.platform, stream, data, size, on_submitted, a);
}

static void on_submit(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct dispatch *d = ctx;
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	g_autoptr(GBytes) bytes = soup_message_body_flatten(body);
	g_autoptr(JsonParser) parser = json_parser_new();
	g_autoptr(GError) err = NULL;
	const struct config_team *team = NULL;
	struct job_spec spec;
	struct call_end e;
	gsize size;
	const char *text = g_bytes_get_data(bytes, &size);
	const char *key = soup_message_headers_get_one(soup_server_message_get_request_headers(msg),
						       "Idempotency-Key");

	if (!json_text_load(parser, text, size, &err) ||
	    !JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser))) {
		reject(&e, 400, "the body is not a JSON object%s%s", err ? ": " : "",
		       err ? err->message : "");
		http_reply_problem(msg, &e);
		return;
	}
	if (jobs_full(d->jobs)) {
		call_end_set(&e, OUTCOME_NOT_RUN, 429, "submit", d->deps.set->name,
			     "%u jobs are listed already", d->deps.set->jobs_max);
		e.retry_after_ms = FULL_RETRY_AFTER_MS;
		http_reply_problem(msg, &e);
		return;
	}
	if (!read_spec(d, json_node_get_object(json_parser_get_root(parser)), key, &spec, &team,
		       &e))
		http_reply_problem(msg, &e);
	else if (find_submit(d, spec.id))
		http_reply_problem(msg, call_end_set(&e, OUTCOME_UNKNOWN, 409, "submit", "",
						     "job %s is being submitted", spec.id));
	else
		append_job(d, msg, &spec, team->home_dc);
}

static void on_get(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct dispatch *d = ctx;
	bool explain = g_str_has_suffix(rest, "/explain");
	g_autofree char *id = NULL;
	g_autofree char *text = NULL;

	if (rest[0] != '/' || !rest[1]) {
		text = jobsview_list(d);
		http_reply_json(msg, SOUP_STATUS_OK, text);
		return;
	}
	id = g_strndup(rest + 1, strlen(rest + 1) - (explain ? strlen("/explain") : 0));
	text = explain ? jobsview_explain(d, id) : jobsview_job(d, id);
	if (text)
		http_reply_json(msg, SOUP_STATUS_OK, text);
	else
		joblookup_start(d, msg, explain ? "explain" : "job", id, false);
}

static void on_cancelled(void *ctx, enum append_result result, uint64_t offset, const char *why)
{
	SoupServerMessage *msg = ctx;
	struct call_end e;

	if (result == APPEND_OK) {
		http_reply_json(msg, SOUP_STATUS_ACCEPTED, "{\"cancelled\":true}");
	} else {
		call_end_set(&e, result == APPEND_REFUSED ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
			     result == APPEND_REFUSED ? 503 : 504, "append", "platform",
			     "%s; cancelling again does no harm", why);
		e.retry_after_ms = RETRY_AFTER_MS;
		http_reply_problem(msg, &e);
	}
	soup_server_message_unpause(msg);
	g_object_unref(msg);
}

void jobsapi_cancel(struct dispatch *d, SoupServerMessage *msg, const char *id, const char *dc)
{
	g_autofree char *stream = g_strdup_printf("jobs.%s", dc);
	g_autofree uint8_t *data = NULL;
	struct call_end e;
	size_t size;

	if (!check_log(d, &e)) {
		http_reply_problem(msg, &e);
		soup_server_message_unpause(msg);
		return;
	}
	data = jobs_record_cancel(id, &size);
	platform_append(d->deps.platform, stream, data, size, on_cancelled, g_object_ref(msg));
}

static void on_delete(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct dispatch *d = ctx;
	const char *id = rest[0] == '/' ? rest + 1 : rest;
	struct job_view v;

	if (!jobs_get(d->jobs, id, &v)) {
		joblookup_start(d, msg, "job", id, true);
		return;
	}
	soup_server_message_pause(msg);
	jobsapi_cancel(d, msg, id, d->deps.set->dc);
}

void jobsapi_create(struct dispatch *d)
{
	d->pending_submits = g_ptr_array_new_with_free_func(pending_submit_free);
	joblookup_create(d);
	http_add_route(d->deps.http, "POST", PREFIX, on_submit, d);
	http_add_route(d->deps.http, "GET", PREFIX, on_get, d);
	http_add_route(d->deps.http, "DELETE", PREFIX, on_delete, d);
	calls_set_handler(d->deps.calls, KW__CALL_KIND__CALL_ADMIN, joblookup_serve, d);
}

void jobsapi_destroy(struct dispatch *d)
{
	g_ptr_array_unref(d->pending_submits);
	joblookup_destroy(d);
}
