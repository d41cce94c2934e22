#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "command.h"

#define PROGRAM "knapweedwheel"

enum { DEFAULT_TIMEOUT_MS = 10000, TIMEOUT_MIN_MS = 1 };

struct daemon_options command_daemon_options(void)
{
	struct daemon_options o = {
		.daemon = arg_strn(NULL, "daemon", "URL", 0, 64,
				   "base URL of a daemon; repeat for more, tried in order"),
		.timeout_ms = arg_int0(NULL, "timeout-ms", "N",
				       "timeout of one call in ms (default 10000)"),
	};

	return o;
}

static void add_url(GPtrArray *urls, const char *url)
{
	char *copy = g_strdup(url);
	size_t n = strlen(copy);

	while (n > 0 && copy[n - 1] == '/')
		copy[--n] = '\0';
	if (n == 0) {
		g_free(copy);
		return;
	}
	g_ptr_array_add(urls, copy);
}

static void add_urls_from_environment(GPtrArray *urls)
{
	const char *text = g_getenv("KNAPWEEDWHEEL_DAEMONS");
	g_auto(GStrv) parts = NULL;

	if (!text)
		return;
	parts = g_strsplit_set(text, ", ", -1);
	for (char **part = parts; *part; part++)
		add_url(urls, *part);
}

struct client *command_client(const struct daemon_options *options)
{
	g_autoptr(GPtrArray) urls = g_ptr_array_new_with_free_func(g_free);
	int timeout_ms =
		options->timeout_ms->count ? options->timeout_ms->ival[0] : DEFAULT_TIMEOUT_MS;

	for (int i = 0; i < options->daemon->count; i++)
		add_url(urls, options->daemon->sval[i]);
	if (options->daemon->count == 0)
		add_urls_from_environment(urls);
	if (urls->len == 0) {
		fprintf(stderr,
			PROGRAM ": no daemon given, use --daemon or KNAPWEEDWHEEL_DAEMONS\n");
		return NULL;
	}
	return client_create((const char *const *)urls->pdata, urls->len,
			     (uint32_t)MAX(timeout_ms, TIMEOUT_MIN_MS));
}

static void print_help(const struct command *command, void **table)
{
	printf("usage: " PROGRAM " %s", command->name);
	arg_print_syntax(stdout, table, "\n");
	printf("\n%s.\n\n", command->summary);
	arg_print_glossary(stdout, table, "  %-28s %s\n");
}

bool command_parse(const struct command *command, int argc, char **argv, void **table, size_t n,
		   enum exit_status *ret)
{
	struct arg_lit *help = table[0];
	struct arg_end *end = table[n - 1];
	g_autofree char *name = g_strconcat(PROGRAM " ", command->name, NULL);
	int errors = arg_parse(argc, argv, table);

	if (help->count > 0) {
		print_help(command, table);
		*ret = EXIT_DONE;
		return false;
	}
	if (errors == 0)
		return true;
	arg_print_errors(stderr, end, name);
	fprintf(stderr, "Try \"%s --help\".\n", name);
	*ret = EXIT_USAGE;
	return false;
}

bool command_call(struct client *c, const struct call *call, struct reply *reply,
		  enum exit_status *ret)
{
	struct status st = STATUS_INIT;

	if (!client_call(c, call, reply, &st)) {
		fprintf(stderr, "%s %s: %s\n", st.step, st.peer, st.message);
		*ret = exit_of_status(&st);
		return false;
	}
	if (reply_ok(reply))
		return true;
	fprintf(stderr, "%s: %u %s\n", reply->daemon, reply->http_status, reply->detail);
	if (reply->retry_after_ms)
		fprintf(stderr, "retry in %u s\n", reply->retry_after_ms / 1000);
	*ret = exit_of_reply(reply);
	reply_clear(reply);
	return false;
}
