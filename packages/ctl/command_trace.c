#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "command.h"
#include "trace.h"

#define LOG_FILES_MAX 1000

static bool read_file(struct trace *t, const char *path)
{
	FILE *in = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	uint32_t unreadable;
	bool ok;

	if (!in) {
		fprintf(stderr, "knapweedwheel: %s: cannot be opened\n", path);
		return false;
	}
	ok = trace_read(t, in, path, &unreadable);
	if (!ok)
		fprintf(stderr, "knapweedwheel: %s: not a log of knapweedwheeld\n", path);
	else if (unreadable)
		fprintf(stderr,
			"knapweedwheel: %s: skipped %u lines that are not log lines, such as a "
			"truncated last line\n",
			path, unreadable);
	if (in != stdin)
		fclose(in);
	return ok;
}

enum exit_status command_trace(const struct command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "id of the job");
	struct arg_file *file = arg_filen(NULL, NULL, "FILE", 1, LOG_FILES_MAX,
					  "logs of daemons, - for standard input");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, id, file, end };
	enum exit_status ret = EXIT_DONE;
	struct trace *t;

	if (!command_parse(command, argc, argv, table, G_N_ELEMENTS(table), &ret))
		return ret;
	t = trace_create(id->sval[0]);
	for (int i = 0; i < file->count && ret == EXIT_DONE; i++)
		if (!read_file(t, file->filename[i]))
			ret = EXIT_WRONG_INPUT;
	if (ret == EXIT_DONE && trace_lines(t)->len == 0) {
		fprintf(stderr, "knapweedwheel: no lines about %s in these logs\n", id->sval[0]);
		ret = EXIT_WRONG_INPUT;
	}
	if (ret == EXIT_DONE)
		trace_print(t, stdout);
	trace_destroy(t);
	arg_freetable(table, G_N_ELEMENTS(table));
	return ret;
}
