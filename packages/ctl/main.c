#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "command.h"
#include "suggest.h"

static const struct command commands[] = {
	{ "check", "Checks service and team files and prints every error", command_check },
	{ "publish", "Checks files and makes them the configuration in force", command_publish },
	{ "submit", "Submits a job", command_submit },
	{ "status", "Shows the cluster, its data centres, teams or one job", command_status },
	{ "cancel", "Cancels a job", command_cancel },
	{ "explain", "Explains why a job or service waits or can't run", command_explain },
	{ "drain", "Makes a daemon hand over its work and stop", command_drain },
	{ "teams", "Shows teams and the version of the configuration on each VM", command_teams },
	{ "trace", "Collects the log lines of one job from several logs", command_trace },
};

static void print_usage(FILE *out)
{
	fprintf(out, "usage: knapweedwheel COMMAND [--help] ...\n\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-9s %s\n", commands[i].name, commands[i].summary);
	fprintf(out,
		"\nExit status: 0 done, 1 wrong input, 2 usage, 3 another change won, 4 not run "
		"yet,\n5 unreachable, 6 outcome unknown, 7 failed\n");
}

static enum exit_status unknown_command(const char *name)
{
	const char *names[G_N_ELEMENTS(commands)];
	g_autofree char *hint = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		names[i] = commands[i].name;
	hint = suggest_text(name, names, G_N_ELEMENTS(names));
	fprintf(stderr, "knapweedwheel: unknown command \"%s\"%s\n", name, hint);
	return EXIT_USAGE;
}

int main(int argc, char **argv)
{
	if (argc < 2) {
		print_usage(stderr);
		return EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
		print_usage(stdout);
		return EXIT_DONE;
	}
	if (strcmp(argv[1], "--version") == 0) {
		printf("knapweedwheel %s\n", KW_VERSION);
		return EXIT_DONE;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (strcmp(commands[i].name, argv[1]) == 0)
			return commands[i].run(&commands[i], argc - 1, argv + 1);
	return unknown_command(argv[1]);
}
