#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "command.h"
#include "id.h"
#include "output.h"
#include "rollout.h"

/* Commands for jobs: submit, cancel and explain. */

enum { POLL_MS = 500 };

/* Arguments of submit. */
struct submit_args {
	struct arg_lit *help;
	struct arg_str *service;
	struct arg_str *team;
	struct arg_int *tasks;
	struct arg_int *run_ms;
	struct arg_str *key;
	struct arg_int *wait_ms;
	struct daemon_options daemon;
	struct arg_end *end;
};

static struct submit_args submit_arguments(void)
{
	struct submit_args a = {
		.help = arg_lit0("h", "help", "print this help"),
		.service = arg_str1(NULL, "service", "NAME", "gang or batch service to run"),
		.team = arg_str1(NULL, "team", "NAME", "team that the job belongs to"),
		.tasks = arg_int0(NULL, "tasks", "N", "number of tasks (default 1)"),
		.run_ms = arg_int0(NULL, "run-ms", "N",
				   "declared run time of a task in ms (default: the service's)"),
		.key = arg_str0(NULL, "key", "KEY",
				"Idempotency-Key; use the same one to repeat a submit"),
		.wait_ms = arg_int0(NULL, "wait-ms", "N", "wait at most N ms for the job to end"),
		.daemon = command_daemon_options(),
		.end = arg_end(20),
	};

	return a;
}

static char *submit_body(const struct submit_args *a)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonNode) root = NULL;

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "service");
	json_builder_add_string_value(b, a->service->sval[0]);
	json_builder_set_member_name(b, "team");
	json_builder_add_string_value(b, a->team->sval[0]);
	json_builder_set_member_name(b, "tasks");
	json_builder_add_int_value(b, a->tasks->count ? a->tasks->ival[0] : 1);
	if (a->run_ms->count) {
		json_builder_set_member_name(b, "run_ms");
		json_builder_add_int_value(b, a->run_ms->ival[0]);
	}
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	return json_to_string(root, false);
}

static const char *string_member(const struct reply *reply, const char *key)
{
	if (!reply->json || !JSON_NODE_HOLDS_OBJECT(reply->json))
		return "";
	return json_object_get_string_member_with_default(json_node_get_object(reply->json), key,
							  "");
}

static char *job_path(const char *id, const char *suffix)
{
	g_autofree char *escaped = g_uri_escape_string(id, NULL, false);

	return g_strconcat("/v1/jobs/", escaped, suffix, NULL);
}

/* True if the job has ended; sets ret to the exit status for its state. */
static bool job_ended(const struct reply *reply, enum exit_status *ret)
{
	static const struct {
		const char *state;
		enum exit_status ret;
	} end_states[] = {
		{ "done", EXIT_DONE },	       { "failed", EXIT_FAILED },
		{ "cancelled", EXIT_NOT_RUN }, { "not_run", EXIT_NOT_RUN },
		{ "unknown", EXIT_UNKNOWN },
	};
	const char *state = string_member(reply, "state");

	for (size_t i = 0; i < G_N_ELEMENTS(end_states); i++) {
		if (strcmp(end_states[i].state, state) != 0)
			continue;
		*ret = end_states[i].ret;
		return true;
	}
	return false;
}

static enum exit_status wait_job(struct client *c, const char *id, uint32_t wait_ms)
{
	int64_t end_us = g_get_monotonic_time() + (int64_t)wait_ms * 1000;
	g_autofree char *path = job_path(id, "");
	const struct call call = { .method = "GET", .path = path };
	enum exit_status ret = EXIT_NOT_RUN;
	struct reply reply;
	bool ended = false;

	while (!ended) {
		if (!command_call(c, &call, &reply, &ret))
			return ret;
		ended = job_ended(&reply, &ret);
		if (ended)
			printf("%s\n", string_member(&reply, "state"));
		reply_clear(&reply);
		if (!ended && g_get_monotonic_time() >= end_us)
			break;
		if (!ended)
			main_loop_sleep(POLL_MS);
	}
	if (ended)
		return ret;
	fprintf(stderr, "job %s has not ended within %u ms\n", id, wait_ms);
	return EXIT_NOT_RUN;
}

static enum exit_status submit_job(struct client *c, const struct submit_args *a)
{
	g_autofree char *body = submit_body(a);
	char generated_key[37];
	const char *key = a->key->count ? a->key->sval[0] : generated_key;
	g_autofree char *id = NULL;
	const struct call call = { .method = "POST",
				   .path = "/v1/jobs",
				   .content_type = "application/json",
				   .body = body,
				   .size = strlen(body),
				   .idempotency_key = key };
	enum exit_status ret;
	struct reply reply;

	id_make(generated_key);
	if (!command_call(c, &call, &reply, &ret)) {
		if (ret == EXIT_UNKNOWN)
			fprintf(stderr,
				"it is not known whether the job was accepted; submit it again "
				"with --key %s\n",
				key);
		return ret;
	}
	id = g_strdup(string_member(&reply, "id"));
	reply_clear(&reply);
	printf("%s\n", id);
	fflush(stdout);
	return a->wait_ms->count ? wait_job(c, id, (uint32_t)MAX(a->wait_ms->ival[0], 0))
				 : EXIT_DONE;
}

enum exit_status command_submit(const struct command *command, int argc, char **argv)
{
	struct submit_args a = submit_arguments();
	void *table[] = { a.help,    a.service,	      a.team,
			  a.tasks,   a.run_ms,	      a.key,
			  a.wait_ms, a.daemon.daemon, a.daemon.timeout_ms,
			  a.end };
	enum exit_status ret;

	if (command_parse(command, argc, argv, table, G_N_ELEMENTS(table), &ret)) {
		struct client *client = command_client(&a.daemon);

		ret = client ? submit_job(client, &a) : EXIT_USAGE;
		client_destroy(client);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return ret;
}

/* Makes a call and prints the response. */
static enum exit_status call_and_print(const struct daemon_options *daemon, const struct call *call,
				       bool json)
{
	struct client *client = command_client(daemon);
	enum exit_status ret = EXIT_USAGE;
	struct reply reply;

	if (client && command_call(client, call, &reply, &ret)) {
		ret = EXIT_DONE;
		if (reply.json && json)
			output_json(reply.json, stdout);
		else if (reply.json && JSON_NODE_HOLDS_OBJECT(reply.json))
			output_object(json_node_get_object(reply.json), stdout);
		reply_clear(&reply);
	}
	client_destroy(client);
	return ret;
}

enum exit_status command_cancel(const struct command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print the response as JSON");
	struct daemon_options daemon = command_daemon_options();
	struct arg_str *id = arg_str1(NULL, NULL, "JOB", "id that submit printed");
	struct arg_end *end = arg_end(20);
	void *table[] = { help, json, daemon.daemon, daemon.timeout_ms, id, end };
	enum exit_status ret;

	if (command_parse(command, argc, argv, table, G_N_ELEMENTS(table), &ret)) {
		g_autofree char *path = job_path(id->sval[0], "");
		const struct call call = { .method = "DELETE", .path = path };

		ret = call_and_print(&daemon, &call, json->count > 0);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return ret;
}

static char *explain_path(const struct arg_str *id, const struct arg_str *service)
{
	g_autofree char *escaped = NULL;

	if (id->count)
		return job_path(id->sval[0], "/explain");
	escaped = g_uri_escape_string(service->sval[0], NULL, false);
	return g_strconcat("/v1/explain?service=", escaped, NULL);
}

enum exit_status command_explain(const struct command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print the response as JSON");
	struct arg_str *service =
		arg_str0(NULL, "service", "NAME", "explain a service instead of a job");
	struct daemon_options daemon = command_daemon_options();
	struct arg_str *id = arg_str0(NULL, NULL, "JOB", "id that submit printed");
	struct arg_end *end = arg_end(20);
	void *table[] = { help, json, service, daemon.daemon, daemon.timeout_ms, id, end };
	enum exit_status ret;

	if (command_parse(command, argc, argv, table, G_N_ELEMENTS(table), &ret)) {
		if (id->count + service->count == 1) {
			g_autofree char *path = explain_path(id, service);
			const struct call call = { .method = "GET", .path = path };

			ret = call_and_print(&daemon, &call, json->count > 0);
		} else {
			fprintf(stderr, "knapweedwheel explain: give either JOB or --service\n");
			ret = EXIT_USAGE;
		}
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return ret;
}
