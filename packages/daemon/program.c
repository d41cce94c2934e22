#define G_LOG_DOMAIN "main"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "crash_log.h"
#include "log.h"
#include "platform.h"
#include "program.h"
#include "start_signals.h"
#include "process/daemon.h"

#define PROGRAM	      "knapweedwheeld"
#define EXIT_SETTINGS 1
#define EXIT_USAGE    2

static int run(const char *path, bool check_only)
{
	struct settings *set = NULL;
	struct status st = STATUS_INIT;
	struct daemon *d;
	struct log *log;
	int rc;

	if (!settings_load(path, &set, &st)) {
		fprintf(stderr, "%s: %s\n", PROGRAM, st.message);
		return EXIT_SETTINGS;
	}
	log = log_create(set->log_level, stderr);
	if (!log) {
		fprintf(stderr, "%s: unknown log_level \"%s\"\n", PROGRAM, set->log_level);
		settings_free(set);
		return EXIT_SETTINGS;
	}
	if (check_only) {
		printf("%s: settings are valid\n", path);
		settings_free(set);
		return EXIT_SUCCESS;
	}
	log_install(log);
	crash_log_install(STDERR_FILENO);
	d = daemon_create(set, &st);
	if (!d) {
		log_status(LOG_ERROR, NULL, &st);
		settings_free(set);
		return EXIT_SETTINGS;
	}
	rc = daemon_run(d);
	daemon_destroy(d);
	settings_free(set);
	return rc;
}

static void usage(void **table, FILE *out)
{
	fprintf(out, "Usage: %s", PROGRAM);
	arg_print_syntax(out, table, "\n");
	arg_print_glossary(out, table, "  %-20s %s\n");
}

int program_main(int argc, char **argv)
{
	struct arg_file *file = arg_file0("s", "settings", "FILE", "settings of this daemon");
	struct arg_lit *platform =
		arg_lit0("p", "platform", "run on the platform and take the settings from it");
	struct arg_str *level = arg_str0("l", "log-level", "LEVEL",
					 "lowest level to log with --platform (default: info)");
	struct arg_lit *check = arg_lit0("c", "check", "check the settings and exit");
	struct arg_lit *version = arg_lit0("V", "version", "print the version and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
	struct arg_end *end = arg_end(8);
	void *table[] = { file, platform, level, check, version, help, end };
	int errors = arg_parse(argc, argv, table);
	int rc = EXIT_SUCCESS;

	if (help->count) {
		usage(table, stdout);
	} else if (version->count) {
		printf("%s %s\n", PROGRAM, KW_VERSION);
	} else if (!errors && platform->count) {
		rc = platform_run(level->count ? level->sval[0] : "info");
	} else if (errors || !file->count) {
		if (errors)
			arg_print_errors(stderr, end, PROGRAM);
		usage(table, stderr);
		rc = EXIT_USAGE;
	} else {
		rc = run(file->filename[0], check->count > 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
