#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "command.h"
#include "output.h"

/* Commands for the cell and its daemons: status and drain. */

/* What the status command can show. */
struct status_view {
	const char *name;
	const char *list_key; /* array to print as a table, NULL for the whole response */
	bool is_job;
};

static const struct status_view status_views[] = {
	{ "cluster", NULL, false },
	{ "dc", "dcs", false },
	{ "team", "teams", false },
	{ "job", NULL, true },
};

static const struct status_view *find_view(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(status_views); i++)
		if (strcmp(status_views[i].name, name) == 0)
			return &status_views[i];
	return NULL;
}

static enum exit_status print_list(JsonObject *object, const struct status_view *view,
				   const char *name)
{
	JsonNode *list = json_object_get_member(object, view->list_key);
	size_t n = 0;

	if (list && JSON_NODE_HOLDS_ARRAY(list))
		n = output_table(json_node_get_array(list), name ? "name" : NULL, name, stdout);
	if (n > 0 || !name)
		return EXIT_DONE;
	fprintf(stderr, "no %s \"%s\"\n", view->name, name);
	return EXIT_WRONG_INPUT;
}

static enum exit_status print_status(const struct reply *reply, const struct status_view *view,
				     const char *name, bool json)
{
	if (!reply->json || !JSON_NODE_HOLDS_OBJECT(reply->json)) {
		fprintf(stderr, "%s: the response is not a JSON object\n", reply->daemon);
		return EXIT_FAILED;
	}
	if (json) {
		output_json(reply->json, stdout);
		return EXIT_DONE;
	}
	if (view->list_key)
		return print_list(json_node_get_object(reply->json), view, name);
	output_object(json_node_get_object(reply->json), stdout);
	return EXIT_DONE;
}

static enum exit_status show_status(const struct daemon_options *daemon,
				    const struct status_view *view, const char *name, bool json)
{
	g_autofree char *escaped = name ? g_uri_escape_string(name, NULL, false) : NULL;
	g_autofree char *path =
		view->is_job ? g_strconcat("/v1/jobs/", escaped, NULL) : g_strdup("/v1/status");
	const struct call call = { .method = "GET", .path = path };
	struct client *client = command_client(daemon);
	enum exit_status ret = EXIT_USAGE;
	struct reply reply;

	if (client && command_call(client, &call, &reply, &ret)) {
		ret = print_status(&reply, view, name, json);
		reply_clear(&reply);
	}
	client_destroy(client);
	return ret;
}

enum exit_status command_status(const struct command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print the response as JSON");
	struct daemon_options daemon = command_daemon_options();
	struct arg_str *view_name =
		arg_str0(NULL, NULL, "cluster|dc|team|job", "what to show (default cluster)");
	struct arg_str *name =
		arg_str0(NULL, NULL, "NAME", "show only this one; for a job, its id (required)");
	struct arg_end *end = arg_end(20);
	void *table[] = { help, json, daemon.daemon, daemon.timeout_ms, view_name, name, end };
	const struct status_view *view;
	enum exit_status ret;

	if (command_parse(command, argc, argv, table, G_N_ELEMENTS(table), &ret)) {
		const char *id = name->count ? name->sval[0] : NULL;

		ret = EXIT_USAGE;
		view = find_view(view_name->count ? view_name->sval[0] : "cluster");
		if (!view)
			fprintf(stderr,
				"knapweedwheel status: expected cluster, dc, team or job\n");
		else if (view->is_job && !id)
			fprintf(stderr, "knapweedwheel status: job needs the id of a job\n");
		else
			ret = show_status(&daemon, view, id, json->count > 0);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return ret;
}

/* Takes exactly one daemon: after a failure, no other daemon may be drained in its place. */
enum exit_status command_drain(const struct command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct daemon_options daemon = {
		.daemon = arg_str1(NULL, "daemon", "URL", "base URL of the daemon to drain"),
		.timeout_ms = arg_int0(NULL, "timeout-ms", "N",
				       "timeout of the call in ms (default 10000)"),
	};
	struct arg_end *end = arg_end(20);
	void *table[] = { help, daemon.daemon, daemon.timeout_ms, end };
	const struct call call = { .method = "POST",
				   .path = "/v1/drain",
				   .content_type = "application/json",
				   .body = "{}",
				   .size = 2 };
	enum exit_status ret;

	if (command_parse(command, argc, argv, table, G_N_ELEMENTS(table), &ret)) {
		struct client *client = command_client(&daemon);
		struct reply reply;

		ret = EXIT_USAGE;
		if (client && command_call(client, &call, &reply, &ret)) {
			printf("%s is draining\n", reply.daemon);
			reply_clear(&reply);
			ret = EXIT_DONE;
		}
		client_destroy(client);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return ret;
}
