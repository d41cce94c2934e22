#include "output.h"
#include "teams_report.h"

#define PATH "/teams"

/* What one daemon answered. */
struct vm_answer {
	const char *url;
	JsonNode *json; /* NULL if there is no usable answer */
	char *error;
	enum exit_status status;
};

struct report {
	GArray *answers;       /* of struct vm_answer, one for each daemon */
	JsonObject *scheduler; /* of its answer; NULL for none */
	uint32_t schedulers;
	int64_t newest; /* highest version of the configuration; -1 for none */
};

static void clear_answer(gpointer data)
{
	struct vm_answer *a = data;

	g_clear_pointer(&a->json, json_node_unref);
	g_free(a->error);
}

static bool is_view(JsonNode *json)
{
	return json && JSON_NODE_HOLDS_OBJECT(json) &&
	       json_object_get_string_member_with_default(json_node_get_object(json), "vm", NULL);
}

static void read_answer(struct vm_answer *a, struct reply *reply)
{
	if (!reply_ok(reply)) {
		a->status = exit_of_reply(reply);
		a->error = g_strdup_printf("%u %s", reply->http_status, reply->detail);
	} else if (!is_view(reply->json)) {
		a->status = EXIT_FAILED;
		a->error = g_strdup("the response is not a view of teams");
	} else {
		a->json = g_steal_pointer(&reply->json);
	}
}

static void ask_daemon(struct client *c, size_t i, struct vm_answer *a)
{
	const struct call call = { .method = "GET", .path = PATH };
	struct status st = STATUS_INIT;
	struct reply reply;

	if (client_call_daemon(c, i, &call, &reply, &st)) {
		read_answer(a, &reply);
		reply_clear(&reply);
		return;
	}
	a->status = exit_of_status(&st);
	a->error = g_strdup(st.message);
}

static void note_answer(struct report *r, const struct vm_answer *a)
{
	JsonObject *view;

	if (!a->json)
		return;
	view = json_node_get_object(a->json);
	r->newest =
		MAX(r->newest, json_object_get_int_member_with_default(view, "config_version", -1));
	if (!json_object_get_boolean_member_with_default(view, "scheduler", false))
		return;
	r->schedulers++;
	if (!r->scheduler)
		r->scheduler = view;
}

static void ask_all(struct client *c, struct report *r)
{
	size_t n;
	const char *const *urls = client_daemons(c, &n);

	r->newest = -1;
	r->answers = g_array_new(false, true, sizeof(struct vm_answer));
	g_array_set_clear_func(r->answers, clear_answer);
	for (size_t i = 0; i < n; i++) {
		struct vm_answer a = { .url = urls[i] };

		ask_daemon(c, i, &a);
		g_array_append_val(r->answers, a);
		note_answer(r, &a);
	}
}

/* What an operator has to look at; "" for nothing. */
static const char *mark(const struct report *r, JsonObject *view)
{
	int64_t version = json_object_get_int_member_with_default(view, "config_version", -1);

	if (version < 0)
		return "no configuration";
	if (!json_object_get_boolean_member_with_default(view, "keys_usable", false))
		return version < r->newest ? "older version, not confirmed" : "not confirmed";
	return version < r->newest ? "older version" : "";
}

static void copy_member(JsonObject *to, const char *name, JsonObject *from, const char *member)
{
	JsonNode *node = from ? json_object_get_member(from, member) : NULL;

	json_object_set_member(to, name,
			       node ? json_node_copy(node) : json_node_new(JSON_NODE_NULL));
}

static JsonArray *list_vms(const struct report *r)
{
	JsonArray *array = json_array_new();

	for (guint i = 0; i < r->answers->len; i++) {
		const struct vm_answer *a = &g_array_index(r->answers, struct vm_answer, i);
		JsonObject *view = a->json ? json_node_get_object(a->json) : NULL;
		JsonObject *row = json_object_new();

		copy_member(row, "vm", view, "vm");
		json_object_set_string_member(row, "daemon", a->url);
		copy_member(row, "version", view, "config_version");
		copy_member(row, "age_ms", view, "config_age_ms");
		copy_member(row, "teams", view, "team_count");
		copy_member(row, "keys", view, "key_count");
		copy_member(row, "scheduler", view, "scheduler");
		json_object_set_string_member(row, "note", view ? mark(r, view) : a->error);
		json_array_add_object_element(array, row);
	}
	return array;
}

static JsonArray *list_teams(const struct report *r, const char *name)
{
	JsonNode *node = r->scheduler ? json_object_get_member(r->scheduler, "teams") : NULL;
	JsonArray *array = json_array_new();

	for (guint i = 0; node && JSON_NODE_HOLDS_ARRAY(node) &&
			  i < json_array_get_length(json_node_get_array(node));
	     i++) {
		JsonNode *team = json_array_get_element(json_node_get_array(node), i);
		const char *member;

		if (!JSON_NODE_HOLDS_OBJECT(team))
			continue;
		member = json_object_get_string_member_with_default(json_node_get_object(team),
								    "name", "");
		if (!name || g_strcmp0(member, name) == 0)
			json_array_add_element(array, json_node_copy(team));
	}
	return array;
}

static void set_amount(JsonObject *row, const char *name, JsonObject *team, const char *member)
{
	JsonNode *node = json_object_get_member(team, member);
	g_autofree char *text = node && JSON_NODE_HOLDS_VALUE(node)
					? g_strdup_printf("%.1f", json_node_get_double(node))
					: g_strdup("-");

	json_object_set_string_member(row, name, text);
}

static JsonObject *team_row(JsonObject *team)
{
	JsonObject *row = json_object_new();

	copy_member(row, "team", team, "name");
	copy_member(row, "weight", team, "weight");
	set_amount(row, "cpu", team, "cpu_used");
	set_amount(row, "cpu-cap", team, "cpu_cap");
	set_amount(row, "mem-gib", team, "mem_used");
	set_amount(row, "mem-cap", team, "mem_cap");
	set_amount(row, "accel", team, "accel_used");
	set_amount(row, "accel-cap", team, "accel_cap");
	set_amount(row, "share-%", team, "share_percent");
	copy_member(row, "runs", team, "runs");
	copy_member(row, "waiting-jobs", team, "waiting_jobs");
	copy_member(row, "held-back", team, "tasks_held_back");
	copy_member(row, "rejected-capacity", team, "rejected_capacity");
	copy_member(row, "rejected-backlog", team, "rejected_backlog");
	return row;
}

static void print_tables(JsonArray *vms, JsonArray *teams, FILE *out)
{
	g_autoptr(JsonArray) rows = json_array_new();

	output_table(vms, NULL, NULL, out);
	for (guint i = 0; i < json_array_get_length(teams); i++)
		json_array_add_object_element(rows,
					      team_row(json_array_get_object_element(teams, i)));
	if (json_array_get_length(rows) > 0) {
		fputc('\n', out);
		output_table(rows, NULL, NULL, out);
	}
}

static void print_json(JsonArray *vms, JsonArray *teams, FILE *out)
{
	g_autoptr(JsonNode) root = json_node_new(JSON_NODE_OBJECT);
	JsonObject *object = json_object_new();

	json_object_set_array_member(object, "vms", json_array_ref(vms));
	json_object_set_array_member(object, "teams", json_array_ref(teams));
	json_node_take_object(root, object);
	output_json(root, out);
}

/* Of several failures the first one that shows that a daemon is there. */
static enum exit_status status_of_failures(const struct report *r)
{
	enum exit_status ret = EXIT_UNREACHABLE;

	for (guint i = 0; i < r->answers->len; i++) {
		enum exit_status status = g_array_index(r->answers, struct vm_answer, i).status;

		if (status != EXIT_UNREACHABLE && status != EXIT_USAGE)
			return status;
		if (i == 0 || status == EXIT_UNREACHABLE)
			ret = status;
	}
	return ret;
}

static enum exit_status report_result(const struct report *r, JsonArray *teams,
				      const struct teams_options *o)
{
	bool answered = false;

	for (guint i = 0; i < r->answers->len; i++)
		answered |= g_array_index(r->answers, struct vm_answer, i).json != NULL;
	if (!answered) {
		fprintf(o->err, "no daemon answered\n");
		return status_of_failures(r);
	}
	if (!r->scheduler) {
		fprintf(o->err, "none of the daemons that answered is the scheduler\n");
		return EXIT_NOT_RUN;
	}
	if (r->schedulers > 1)
		fprintf(o->err, "%u daemons act as the scheduler; the first one is shown\n",
			r->schedulers);
	if (o->team && json_array_get_length(teams) == 0) {
		fprintf(o->err, "no team \"%s\"\n", o->team);
		return EXIT_WRONG_INPUT;
	}
	return EXIT_DONE;
}

enum exit_status teams_report_run(struct client *c, const struct teams_options *o)
{
	struct report r = { 0 };
	g_autoptr(JsonArray) vms = NULL;
	g_autoptr(JsonArray) teams = NULL;
	enum exit_status ret;

	ask_all(c, &r);
	vms = list_vms(&r);
	teams = list_teams(&r, o->team);
	if (o->json)
		print_json(vms, teams, o->out);
	else
		print_tables(vms, teams, o->out);
	ret = report_result(&r, teams, o);
	g_array_unref(r.answers);
	return ret;
}
